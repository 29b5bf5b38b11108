"""The listener that callers talk to."""

import sys

import gevent
from gevent import pool
from gevent import pywsgi
from gevent import socket

from magnoliadyke import caller_codec
from magnoliadyke import callerroutes
from magnoliadyke.core import outcomes
from magnoliadyke import followers
from magnoliadyke import homes
from magnoliadyke import logs
from magnoliadyke import reports
from magnoliadyke import streams

__all__ = ['Callers', 'NodeStatus']

LOG = logs.get('callers')

KEEP_ALIVE_S = 1.0
BACKLOG = 1024
SEND_BUFFER_BYTES = 128 << 10
#: Requests at which a node calls itself half full.
BUSY_REQUESTS = 100

UNKNOWN_CALLER = outcomes.Rejected(
    'bad_credential', "send 'Authorization: Bearer KEY' with your key", 401
)
TOO_LARGE = outcomes.Rejected('body_too_large', 'send a smaller request', 413)
TOO_SLOW = outcomes.Rejected(
    'body_too_slow', 'send the whole request without pauses', 408
)
ELSEWHERE_AFTER_S = 0.2
HOSTS_NAMED = 3


class NodeStatus:
    """What gossip tells other nodes about this one; plain attributes.

    :ivar fresh: whether the table is confirmed fresh enough to take new
        work (written by the configuration task, read by the callers)
    :ivar takes_work: whether new requests are accepted here (written by the
        callers; advertised to the others)
    :ivar spare: share of capacity left, 0 to 1 (written by the callers)
    :ivar leaving: whether a planned stop has begun
    :ivar successor: ``HOST`` that got this node's records, or ``''``
    """

    def __init__(self):
        self.fresh = False
        self.takes_work = False
        self.spare = 1.0
        self.leaving = False
        self.successor = ''


class Handler(pywsgi.WSGIHandler):
    """A connection of a caller, with bounds on slow senders."""

    idle_s = 60.0
    read_s = 20.0
    owner = None

    def get_environ(self):
        """Return the WSGI environment with this handler in it."""
        environ = super().get_environ()
        environ[callerroutes.HANDLER] = self
        return environ

    def read_requestline(self):
        """Wait for the next request, but not for good."""
        with gevent.Timeout(self.idle_s, False):
            return super().read_requestline()
        return None

    def read_request(self, raw_requestline):
        """Read the headers; a caller that drips them is cut off."""
        with gevent.Timeout(self.read_s, False):
            return super().read_request(raw_requestline)
        return None

    def log_request(self):
        """Write no line for each request; the server would format one."""

    def handle_one_response(self):
        """Answer one request, counted among those under way."""
        self.owner.active += 1
        try:
            super().handle_one_response()
        finally:
            self.owner.active -= 1

    def handle_error(self, t, v, tb):
        """End the connection where there is nothing true to answer.

        The caller has gone, or this node's time to stop is up. The server's
        own answer, a plain 500, would look like the service's; a connection
        that ends without one tells the caller to ask again with its key.
        """
        if issubclass(t, (followers.CallerGone, gevent.GreenletExit)):
            self.close_connection = True
            return
        super().handle_error(t, v, tb)


class Callers:
    """Serve the caller routes; own the request records of this node.

    ``stop`` refuses new work at once (other hosts are named), lets running
    requests end until the deadline, hands the records to a successor and
    only then closes the listener.

    :param parts: :class:`magnoliadyke.requestdependencies.RequestDependencies`
    :param dispatcher: :class:`magnoliadyke.dispatch.Dispatcher`
    :param status: :class:`NodeStatus` shared with gossip
    :param metrics: :class:`magnoliadyke.metrics.Metrics`, or None
    """

    def __init__(self, parts, dispatcher, status, metrics=None):
        self.settings = parts.settings
        self.host = parts.host
        self.clock = parts.clock
        self.rng = parts.rng
        self.table = parts.table
        self.members = parts.members
        self.status = status
        self.own = parts.settings.host(parts.host)
        self.streams = streams.Streams(dispatcher, parts.clock)
        self.homes = homes.Homes(
            parts,
            self.streams,
            self.closed,
            reports.Reports(metrics, dispatcher, parts.clock),
        )
        self.key_ring = None
        self.key_ring_view = None
        self.followers = set()
        self.active = 0
        self.ticker = None
        self.app = callerroutes.build_app(self)
        self.server = None

    # Life cycle.

    def start(self):
        """Open the listener."""
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
            listener(self.own.address, self.own.caller_port),
            self.app,
            log=None,
            error_log=sys.stderr,
            handler_class=handler,
            spawn=pool.Pool(limits.connections),
        )
        self.server.start()
        self.update_status()

    def stop(self, deadline_s=30.0):
        """Stop without cutting a running request.

        :param deadline_s: longest wait for running requests, in seconds
        """
        end_s = self.clock.now_s() + deadline_s
        self.begin_stop()
        self.wait_for_runs(end_s)
        self.homes.handover.finish()
        self.server.stop_accepting()
        self.wait_for_answers(end_s)
        self.server.stop(timeout=0.1)
        self.ticker.kill()
        self.homes.stop()
        self.streams.stop()

    def begin_stop(self):
        """Run no new work; hosts answers leave this one out.

        The records go to a successor at once. New requests that still come
        are relayed to it.
        """
        self.status.leaving = True
        self.update_status()
        self.status.successor = self.homes.hand_over()
        LOG.event('records_handed_over', successor=self.status.successor)

    def wait_for_runs(self, end_s):
        """Let the requests that run here end.

        :param end_s: monotonic seconds
        """
        while self.homes.runs and self.clock.now_s() < end_s:
            self.clock.sleep(0.05)

    def wait_for_answers(self, end_s):
        """Let relays and the last bytes of answers go out."""
        while self.active and self.clock.now_s() < end_s:
            self.clock.sleep(0.05)

    def tick_forever(self):
        """Keep idle streams alive and the status up to date."""
        while True:
            self.clock.sleep(KEEP_ALIVE_S / 2)
            for follower in list(self.followers):
                follower.keep_alive()
            self.update_status()

    def update_status(self):
        """Tell gossip whether and how much work is taken."""
        self.status.takes_work = self.accepts_work()
        running = len(self.homes.runs)
        self.status.spare = 1.0 / (1.0 + running / BUSY_REQUESTS)

    def take_records(self, host, incarnation, lines, last):
        """Take over records; see :meth:`homes.Homes.take_records`."""
        return self.homes.take_records(host, incarnation, lines, last)

    # Who may come in.

    def closed(self, customer):
        """Return ``NotRun`` when no new work is taken, else None.

        :param customer: customer name, or ``''`` for any
        """
        reason = self.closed_reason()
        return self.elsewhere(reason) if reason else None

    def closed_reason(self):
        """Return why no new work is taken, or ``''``."""
        if self.table.last is None:
            return 'no_table'
        if self.status.leaving:
            return 'stopping'
        return '' if self.status.fresh else 'stale_table'

    def elsewhere(self, reason):
        """Return ``NotRun`` that names other hosts."""
        others = [
            f'{member.address}:{member.caller_port}'
            for member in self.ordered_members()
            if member.host != self.host
        ]
        listed = ', '.join(others[:HOSTS_NAMED]) or 'none known'
        return outcomes.NotRun(
            reason,
            f'use a ticket of another host and send it again; hosts: {listed}',
            ELSEWHERE_AFTER_S,
        )

    def accepts_work(self):
        """Tell whether callers should be sent to this host.

        A drained host is left out, and serves what still comes.
        """
        if self.closed_reason():
            return False
        row = self.table.last.hosts.get(self.host)
        return row is None or row.state != 'drain'

    def customer_of(self, credential):
        """Return the customer that a credential belongs to.

        :param credential: value of the Authorization header
        """
        view = self.table.last
        if view is None:
            raise caller_codec.OutcomeError(self.elsewhere('no_table'))
        if view is not self.key_ring_view:
            self.key_ring = caller_codec.KeyRing(view)
            self.key_ring_view = view
        customer = self.key_ring.customer(credential)
        if customer is None:
            raise caller_codec.OutcomeError(UNKNOWN_CALLER)
        return customer

    def read_body(self, req):
        """Return the body of a request, within the bounds."""
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

    def hosts_answer(self):
        """Return the answer to ``GET /v1/hosts`` as a dict."""
        listed = [
            {
                'host': member.host,
                'address': f'{member.address}:{member.caller_port}',
                'failure_domain': member.failure_domain,
            }
            for member in self.ordered_members()
        ]
        return {
            'hosts': listed,
            'keep_s': self.settings.timing.hosts_keep_s,
            'ticket': self.homes.issuer.issue(self.clock.now_s()),
        }

    def ordered_members(self):
        """Return members that take work: own failure domain first.

        Within a domain the order is drawn by spare capacity, so that
        callers that ask at once don't all choose the same host.
        """
        view = self.members.last
        members = view.members.values() if view is not None else ()
        able = [member for member in members if self.takes_work(member)]
        return sorted(
            able,
            key=lambda member: (
                member.failure_domain != self.own.failure_domain,
                -(self.rng.random() ** (1.0 / max(member.spare, 0.01))),
            ),
        )

    def takes_work(self, member):
        """Tell whether callers should be sent to a member."""
        if member.host == self.host:
            return self.accepts_work()
        view = self.table.last
        row = view.hosts.get(member.host) if view is not None else None
        if row is not None and row.state == 'drain':
            return False
        return member.state == 'alive' and member.takes_work


def listener(address, port):
    """Return a listening socket whose connections send without delay.

    Head and body of an answer leave in two writes. Without TCP_NODELAY the
    second can wait 40 ms for a delayed acknowledgement.
    """
    handle = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    handle.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    # Without this bound the kernel takes megabytes for a caller that doesn't
    # read, and it takes as long until the node notices.
    handle.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
    handle.bind((address, port))
    handle.listen(BACKLOG)
    return handle
