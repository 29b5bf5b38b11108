"""The HTTP server for callers, and admission of their requests."""

import sys

import gevent
from gevent import pool
from gevent import pywsgi
from gevent import socket

from magnoliadyke import caller_codec
from magnoliadyke import callerroutes
from magnoliadyke.core import outcomes
from magnoliadyke import homes
from magnoliadyke import logs
from magnoliadyke import reports
from magnoliadyke import responsestream
from magnoliadyke import streams

__all__ = ['Callers', 'NodeStatus']

LOG = logs.get('callers')

KEEP_ALIVE_S = 1.0
BACKLOG = 1024
SEND_BUFFER_BYTES = 128 << 10
#: Running requests at which a node advertises half of its capacity as spare.
BUSY_REQUESTS = 100

UNKNOWN_CALLER = outcomes.Rejected(
    'bad_credential', "send 'Authorization: Bearer KEY' with your key", 401
)
TOO_LARGE = outcomes.Rejected('body_too_large', 'send a smaller request', 413)
TOO_SLOW = outcomes.Rejected(
    'body_too_slow', 'send the whole request without pauses', 408
)
OTHER_HOST_RETRY_AFTER_S = 0.2
MAX_HOSTS_LISTED = 3


class NodeStatus:
    """This node's state that gossip sends to other nodes; plain attributes.

    :ivar fresh: whether the table is confirmed fresh enough to accept new
        requests (written by the configuration task, read by
        :class:`Callers`)
    :ivar takes_work: whether new requests are accepted here (written by
        :class:`Callers`; advertised to other nodes)
    :ivar spare: estimated share of capacity that is free, 0 to 1 (written by
        :class:`Callers`)
    :ivar leaving: whether a planned stop has begun
    :ivar successor: ``HOST`` that took over this node's records, or ``''``
    """

    def __init__(self):
        self.fresh = False
        self.takes_work = False
        self.spare = 1.0
        self.leaving = False
        self.successor = ''


class Handler(pywsgi.WSGIHandler):
    """A connection of a caller, with timeouts for slow senders.

    :cvar idle_s: longest wait for the next request, in seconds
    :cvar read_s: longest time to receive the headers, in seconds
    :cvar owner: the :class:`Callers` that serve it
    """

    idle_s = 60.0
    read_s = 20.0
    owner = None

    def get_environ(self):
        """Return the WSGI environment, with this handler added."""
        environ = super().get_environ()
        environ[callerroutes.HANDLER] = self
        return environ

    def read_requestline(self):
        """Wait for the next request, at most ``idle_s``."""
        with gevent.Timeout(self.idle_s, False):
            return super().read_requestline()
        return None

    def read_request(self, raw_requestline):
        """Read the headers; close the connection after ``read_s``."""
        with gevent.Timeout(self.read_s, False):
            return super().read_request(raw_requestline)
        return None

    def log_request(self):
        """Write no access log: formatting a line per request costs time."""

    def handle_one_response(self):
        """Serve one request, which counts as active meanwhile."""
        self.owner.active_requests += 1
        try:
            super().handle_one_response()
        finally:
            self.owner.active_requests -= 1

    def handle_error(self, t, v, tb):
        """Close the connection without a response if the outcome is unknown.

        That is so when the caller has disconnected, or when this node's stop
        has reached its deadline. A plain 500 from the WSGI server would look
        like the response of a service. After a connection that is closed
        without a response, the caller resends the request with its key.
        """
        if issubclass(
            t, (responsestream.CallerDisconnected, gevent.GreenletExit)
        ):
            self.close_connection = True
            return
        super().handle_error(t, v, tb)


class Callers:
    """Serves the caller routes; owns the request records of this node.

    :meth:`stop` refuses new requests at once (the refusal lists other
    hosts), hands the records to a successor, lets running requests end until
    the deadline and only then closes the listener.

    :param dependencies:
        :class:`magnoliadyke.requestdependencies.RequestDependencies`
    :param dispatcher: :class:`magnoliadyke.dispatch.Dispatcher`
    :param status: :class:`NodeStatus` shared with gossip
    :param metrics: :class:`magnoliadyke.metrics.Metrics`, or None
    :ivar host_settings: this host's row of the settings
    :ivar key_ring: :class:`caller_codec.KeyRing` built from the table
        ``key_ring_view``
    :ivar subscribers: :class:`magnoliadyke.responsestream.ResponseStream` of
        each open stream
    :ivar active: number of requests that are being served
    """

    def __init__(self, dependencies, dispatcher, status, metrics=None):
        self.settings = dependencies.settings
        self.host = dependencies.host
        self.clock = dependencies.clock
        self.rng = dependencies.rng
        self.table = dependencies.table
        self.members = dependencies.members
        self.status = status
        self.host_settings = dependencies.settings.host(dependencies.host)
        self.streams = streams.Streams(dispatcher, dependencies.clock)
        self.homes = homes.Homes(
            dependencies,
            self.streams,
            self.refusal_for,
            reports.Reports(metrics, dispatcher, dependencies.clock),
        )
        self.key_ring = None
        self.key_ring_view = None
        self.subscribers = set()
        self.active_requests = 0
        self.ticker = None
        self.app = callerroutes.build_app(self)
        self.server = None

    # Life cycle.

    def start(self):
        """Start the tasks and open the listener."""
        self.streams.start()
        self.homes.start()
        self.ticker = gevent.spawn(self.tick_forever)
        limits = self.settings.limits
        handler = type(
            'CallerHandler',
            (Handler,),
            {
                'idle_s': limits.idle_s,
                'read_s': limits.read_s,
                'owner': self,
            },
        )
        self.server = pywsgi.WSGIServer(
            listener(
                self.host_settings.address, self.host_settings.caller_port
            ),
            self.app,
            log=None,
            error_log=sys.stderr,
            handler_class=handler,
            spawn=pool.Pool(limits.connections),
        )
        self.server.start()
        self.update_status()

    def stop(self, deadline_s=30.0):
        """Stop gracefully: let running requests end first.

        :param deadline_s: longest wait for running requests, in seconds
        """
        end_s = self.clock.now_s() + deadline_s
        self.begin_stop()
        self.wait_for_runs(end_s)
        self.homes.handover.finish_transfer()
        self.server.stop_accepting()
        self.wait_for_answers(end_s)
        self.server.stop(timeout=0.1)
        self.ticker.kill()
        self.homes.stop()
        self.streams.stop()

    def begin_stop(self):
        """Stop running new requests; hand the records to a successor.

        ``GET /v1/hosts`` no longer lists this host. New requests that still
        arrive are relayed to the successor.
        """
        self.status.leaving = True
        self.update_status()
        self.status.successor = self.homes.hand_over()
        LOG.event('records_handed_over', successor=self.status.successor)

    def wait_for_runs(self, end_s):
        """Wait for the end of the requests that run here.

        :param end_s: deadline in monotonic seconds
        """
        while self.homes.runs and self.clock.now_s() < end_s:
            self.clock.sleep(0.05)

    def wait_for_answers(self, end_s):
        """Wait until relays have ended and all responses are written.

        :param end_s: deadline in monotonic seconds
        """
        while self.active_requests and self.clock.now_s() < end_s:
            self.clock.sleep(0.05)

    def tick_forever(self):
        """Send keep-alives on idle streams and update the status."""
        while True:
            self.clock.sleep(KEEP_ALIVE_S / 2)
            for follower in list(self.subscribers):
                follower.keep_alive()
            self.update_status()

    def update_status(self):
        """Update the admission and capacity that gossip sends to peers."""
        self.status.takes_work = self.accepts_work()
        running = len(self.homes.runs)
        self.status.spare = 1.0 / (1.0 + running / BUSY_REQUESTS)

    def receive_records(self, host, incarnation, lines, last):
        """Take over records; see :meth:`homes.Homes.receive_records`."""
        return self.homes.receive_records(host, incarnation, lines, last)

    # Admission.

    def refusal_for(self, customer):
        """Return ``NotRun`` when no new requests are accepted, else None.

        :param customer: customer name, or ``''`` for any
        """
        reason = self.refusal_reason()
        return self.refer_to_other_hosts(reason) if reason else None

    def refusal_reason(self):
        """Return the reason to refuse new requests, or ``''``."""
        if self.table.last is None:
            return 'no_table'
        if self.status.leaving:
            return 'stopping'
        return '' if self.status.fresh else 'stale_table'

    def refer_to_other_hosts(self, reason):
        """Return a ``NotRun`` whose remedy lists other hosts.

        :param reason: reason code of the refusal
        """
        others = [
            f'{member.address}:{member.caller_port}'
            for member in self.ordered_members()
            if member.host != self.host
        ]
        listed = ', '.join(others[:MAX_HOSTS_LISTED]) or 'none known'
        return outcomes.NotRun(
            reason,
            f'use a ticket of another host and send it again; hosts: {listed}',
            OTHER_HOST_RETRY_AFTER_S,
        )

    def accepts_work(self):
        """Return whether callers should be sent to this host.

        A drained host is not listed, but serves requests that still arrive.
        """
        if self.refusal_reason():
            return False
        row = self.table.last.hosts.get(self.host)
        return row is None or row.state != 'drain'

    def customer_of(self, credential):
        """Return the customer that a credential belongs to.

        :param credential: value of the Authorization header
        :raises OutcomeError: for an unknown credential, or without a table
        """
        view = self.table.last
        if view is None:
            raise caller_codec.OutcomeError(
                self.refer_to_other_hosts('no_table')
            )
        if view is not self.key_ring_view:
            self.key_ring = caller_codec.KeyRing(view)
            self.key_ring_view = view
        customer = self.key_ring.customer(credential)
        if customer is None:
            raise caller_codec.OutcomeError(UNKNOWN_CALLER)
        return customer

    def read_body(self, req):
        """Return the body of a request.

        :raises OutcomeError: when it exceeds the size limit or the timeout
        """
        limits = self.settings.limits
        if (req.content_length or 0) > limits.body_bytes:
            req.env[callerroutes.HANDLER].close_connection = True
            raise caller_codec.OutcomeError(TOO_LARGE)
        try:
            with gevent.Timeout(limits.read_s, TimeoutError('slow sender')):
                body = req.env['wsgi.input'].read(limits.body_bytes + 1)
        except OSError as error:
            req.env[callerroutes.HANDLER].close_connection = True
            raise caller_codec.OutcomeError(TOO_SLOW) from error
        if len(body) > limits.body_bytes:
            req.env[callerroutes.HANDLER].close_connection = True
            raise caller_codec.OutcomeError(TOO_LARGE)
        return body

    # Hosts.

    def build_hosts_response(self):
        """Return the response to ``GET /v1/hosts`` as a dict."""
        hosts = [
            {
                'host': member.host,
                'address': f'{member.address}:{member.caller_port}',
                'failure_domain': member.failure_domain,
            }
            for member in self.ordered_members()
        ]
        return {
            'hosts': hosts,
            'keep_s': self.settings.timing.hosts_keep_s,
            'ticket': self.homes.issuer.issue(self.clock.now_s()),
        }

    def ordered_members(self):
        """Return members that accept requests, own failure domain first.

        Among members of the own domain, and among all others, the order is
        random, weighted by spare capacity, so that callers that query at the
        same time don't all choose the same host.
        """
        view = self.members.last
        members = view.members.values() if view is not None else ()
        candidates = [member for member in members if self.takes_work(member)]
        return sorted(
            candidates,
            key=lambda member: (
                member.failure_domain != self.host_settings.failure_domain,
                -(self.rng.random() ** (1.0 / max(member.spare, 0.01))),
            ),
        )

    def takes_work(self, member):
        """Return whether callers should be sent to a member."""
        if member.host == self.host:
            return self.accepts_work()
        view = self.table.last
        row = view.hosts.get(member.host) if view is not None else None
        if row is not None and row.state == 'drain':
            return False
        return member.state == 'alive' and member.takes_work


def listener(address, port):
    """Return a listening socket whose connections have TCP_NODELAY set.

    The head and the body of a response are two writes. Without TCP_NODELAY
    the second can wait 40 ms for a delayed acknowledgement.
    """
    handle = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    handle.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    # Without this limit the kernel buffers megabytes for a caller that does
    # not read, and the node detects the stall only when they are full.
    handle.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
    handle.bind((address, port))
    handle.listen(BACKLOG)
    return handle
