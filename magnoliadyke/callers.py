"""The listener that callers talk to."""

import json
import re
import sys
from urllib import parse

import falcon
import gevent
from gevent import pool
from gevent import pywsgi
from gevent import socket

from magnoliadyke.core import outcomes
from magnoliadyke.core import records
from magnoliadyke import directory
from magnoliadyke import followers
from magnoliadyke import forms
from magnoliadyke import homes
from magnoliadyke import logs
from magnoliadyke import reports
from magnoliadyke import streams

__all__ = ['Callers', 'NodeStatus']

LOG = logs.get('callers')

HANDLER = 'magnoliadyke.handler'
JSON = 'application/json'
EVENTS = 'text/event-stream'
#: An answer begins at the latest after this long, so that the caller's
#: library sees keep-alive comments and can tell slow from dead.
HEAD_WAIT_S = 1.0
KEEP_ALIVE_S = 1.0
BACKLOG = 1024
SEND_BUFFER_BYTES = 128 << 10
#: Requests at which a node calls itself half full.
BUSY_REQUESTS = 100
SERVICES = re.compile(r'/v1/services/(?P<name>[^/?]+)(?P<path>/[^?]*)?')
ANSWERS = re.compile(r'/v1/answers/(?P<key>.+)')
#: Headers of a service call that go on to the service.
PASSED_HEADERS = ('Content-Type', 'Accept', 'Accept-Language')

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

    def get_environ(self):
        """Return the WSGI environment with this handler in it."""
        environ = super().get_environ()
        environ[HANDLER] = self
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

    def handle_error(self, t, v, tb):
        """End the connection of a caller that has gone, without a trace."""
        if issubclass(t, followers.CallerGone):
            self.close_connection = True
            return
        super().handle_error(t, v, tb)


class Callers:
    """Serve the caller routes; own the request records of this node.

    ``stop`` refuses new work at once (other hosts are named), lets running
    requests end until the deadline, hands the records to a successor and
    only then closes the listener.

    :param settings: :class:`magnoliadyke.settings.Settings`
    :param host: this node's host name
    :param incarnation: this node's incarnation number
    :param clock: a :class:`magnoliadyke.clock.Clock`
    :param rng: source of randomness (``random.SystemRandom`` outside tests)
    :param table: Topic of :class:`magnoliadyke.core.table.View`
    :param members: Topic of :class:`magnoliadyke.core.membership.MembersView`
    :param dispatcher: :class:`magnoliadyke.dispatch.Dispatcher`
    :param store: :class:`magnoliadyke.keyvalue.KeyValue`, for claims of keys
        that callers made themselves
    :param peers: :class:`magnoliadyke.peer.PeerClients`; its ``handover``
        delivers records to a successor, whose ``take_records`` should be
        :meth:`take_records`
    :param status: :class:`NodeStatus` shared with gossip
    :param metrics: :class:`magnoliadyke.metrics.Metrics`, or None
    """

    def __init__(
        self,
        settings,
        host,
        incarnation,
        clock,
        rng,
        table,
        members,
        dispatcher,
        store,
        peers,
        status,
        metrics=None,
    ):
        self.settings = settings
        self.host = host
        self.clock = clock
        self.rng = rng
        self.table = table
        self.members = members
        self.status = status
        self.own = settings.host(host)
        self.streams = streams.Streams(dispatcher, clock)
        self.homes = homes.Homes(
            settings,
            host,
            incarnation,
            clock,
            rng,
            members,
            table,
            store,
            peers,
            self.streams,
            self.door,
            reports.Reports(metrics, dispatcher, clock),
        )
        self.key_ring = None
        self.key_ring_view = None
        self.followers = set()
        self.ticker = None
        self.app = build_app(self)
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
            {'idle_s': limits.idle_s, 'read_s': limits.read_s},
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
        while self.followers and self.clock.now_s() < end_s:
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

    def door(self, customer):
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
            raise forms.OutcomeError(self.elsewhere('no_table'))
        if view is not self.key_ring_view:
            self.key_ring = forms.KeyRing(view)
            self.key_ring_view = view
        customer = self.key_ring.customer(credential)
        if customer is None:
            raise forms.OutcomeError(UNKNOWN_CALLER)
        return customer

    def read_body(self, req):
        """Return the body of a request, within the bounds."""
        limits = self.settings.limits
        if (req.content_length or 0) > limits.body_bytes:
            req.env[HANDLER].close_connection = True
            raise forms.OutcomeError(TOO_LARGE)
        try:
            with gevent.Timeout(limits.read_s, TimeoutError('slow sender')):
                body = req.env['wsgi.input'].read(limits.body_bytes + 1)
        except OSError as error:
            req.env[HANDLER].close_connection = True
            raise forms.OutcomeError(TOO_SLOW) from error
        if len(body) > limits.body_bytes:
            req.env[HANDLER].close_connection = True
            raise forms.OutcomeError(TOO_LARGE)
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
            'ticket': self.homes.office.issue(self.clock.now_s()),
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


def build_app(owner):
    """Return the WSGI application of the caller routes."""
    app = falcon.App()
    app.add_route('/v1/hosts', HostsResource(owner))
    app.add_route('/v1/completions', ModelResource(owner, chat=False))
    app.add_route('/v1/chat/completions', ModelResource(owner, chat=True))
    app.add_route(f'{directory.HOMES_PATH}{{home}}', HomesResource(owner))
    app.add_sink(AnswersSink(owner), ANSWERS)
    app.add_sink(ServicesSink(owner), SERVICES)
    app.add_error_handler(forms.OutcomeError, tell_error)
    return app


def tell_error(req, resp, error, params):
    """Answer with the outcome that ended the handling of a request."""
    tell(resp, error.outcome)


def tell(resp, outcome):
    """Answer with an outcome."""
    answer = outcomes.to_http(outcome)
    resp.set_header('X-Outcome', type(outcome).__name__)
    resp.status = answer.status
    resp.content_type = JSON
    resp.data = answer.body
    for name, value in answer.headers:
        resp.set_header(name, value)


class HostsResource:
    """``GET /v1/hosts``."""

    def __init__(self, owner):
        self.owner = owner

    def on_get(self, req, resp):
        """Name the hosts to use, and give a ticket."""
        resp.content_type = JSON
        resp.data = json.dumps(self.owner.hosts_answer()).encode()


class HomesResource:
    """``GET /v1/homes/HOME``: other nodes ask who has a home's records."""

    def __init__(self, owner):
        self.owner = owner

    def on_get(self, req, resp, home):
        """Name the successor, as far as it is known here."""
        successor = self.owner.homes.successor_of(home)
        resp.content_type = JSON
        resp.data = json.dumps({'successor': successor}).encode()


class RequestResource:
    """What the routes share that lead to a run."""

    def __init__(self, owner):
        self.owner = owner
        self.homes = owner.homes

    def hops(self, req):
        """Return the hosts that relayed a request."""
        text = req.get_header('X-Relayed-By') or ''
        return tuple(part for part in text.split(',') if part)

    def priority(self, req, customer):
        """Return the priority a request asks for."""
        number = req.get_header('X-Priority-Number')
        if number is not None and number.isdigit():
            return min(max(int(number), forms.MOST_URGENT), 9)
        row = self.owner.table.last.customers[customer]
        text = req.get_header('X-Priority') or ''
        return forms.read_priority(text, row.priority)

    def repeatable(self, req):
        """Return whether the caller lets the request run twice."""
        return (req.get_header('X-Repeatable') or 'true').lower() != 'false'

    def common(self, req, customer):
        """Return the fields that all requests share."""
        return {
            'key': req.get_header('Idempotency-Key') or '',
            'customer': customer,
            'credential': req.get_header('Authorization') or '',
            'priority': self.priority(req, customer),
            'first': req.get_header('X-First-Attempt') == 'true',
        }

    def customer(self, req):
        """Return the customer that sent a request."""
        return self.owner.customer_of(req.get_header('Authorization') or '')

    def wait_end(self, req, place):
        """Return the outcome of a run; the caller may leave meanwhile."""
        waiter = followers.Waiter(place.run, req.env[HANDLER])
        try:
            return waiter.wait_end()
        finally:
            waiter.close()
            has_key = req.get_header('Idempotency-Key') is not None
            self.homes.left(place.run, has_key)


class ModelResource(RequestResource):
    """``POST /v1/completions`` and ``/v1/chat/completions``."""

    def __init__(self, owner, chat):
        super().__init__(owner)
        self.chat = chat
        self.read_work = forms.read_chat if chat else forms.read_completion

    def on_post(self, req, resp):
        """Run a completion, or follow one whose key is known."""
        customer = self.customer(req)
        document = forms.read_object(self.owner.read_body(req))
        request = self.request(req, customer, self.read_work(document))
        place = self.homes.place(request, self.hops(req))
        reader = Reader(self, req, resp, self.chat, request.key)
        reader.answer(place, bool(document.get('stream')))

    def request(self, req, customer, work):
        """Return the :class:`forms.ModelRequest` of a request."""
        digest = forms.request_digest(
            customer, work['model'], str(work['max_tokens']), work['prompt']
        )
        return forms.ModelRequest(
            work=work,
            repeatable=self.repeatable(req),
            digest=digest,
            **self.common(req, customer),
        )


class AnswersSink(RequestResource):
    """``GET /v1/answers/KEY?offset=N``: go on reading an answer."""

    def __call__(self, req, resp, key):
        """Follow the answer of a key from an offset on."""
        customer = self.customer(req)
        key = parse.unquote(key)
        offset = req.get_param_as_int('offset', min_value=0, default=0)
        place = self.homes.find(
            key,
            customer,
            req.get_header('Authorization'),
            offset,
            self.hops(req),
        )
        reader = Reader(self, req, resp, False, key, offset)
        reader.answer(place, True)


class Reader:
    """Answers one caller from the place where its request belongs.

    :param chat: whether the caller wants the shape of chat events
    :param key: the caller's own key, or ``''``
    :param offset: output tokens the caller has already
    """

    def __init__(self, resource, req, resp, chat, key, offset=0):
        self.resource = resource
        self.owner = resource.owner
        self.req = req
        self.resp = resp
        self.chat = chat
        self.key = key
        self.offset = offset

    def answer(self, place, stream):
        """Answer as a stream or whole.

        :param place: what :meth:`homes.Homes.place` returned
        """
        match place:
            case homes.Told(outcome):
                tell(self.resp, outcome)
            case homes.Kept(answer):
                self.name_key(self.key)
                self.give(answer, stream)
            case homes.Following(run, key):
                self.name_key(self.key or key)
                if stream:
                    self.follow(run)
                else:
                    self.end(self.resource.wait_end(self.req, place))

    def name_key(self, key):
        """Tell the caller the key that it can ask again with."""
        self.resp.set_header('X-Request-Key', key)

    def end(self, outcome):
        """Answer with the end of a run."""
        if isinstance(outcome, records.Answer):
            self.give(outcome, False)
        else:
            tell(self.resp, outcome)

    def give(self, answer, stream):
        """Answer with a whole answer."""
        if answer.kind != 'model':
            tell(self.resp, records.OTHER_BODY)
            return
        events = streams.model_events(answer)
        if stream:
            self.resp.content_type = EVENTS
            self.resp.data = self.replay(events)
        else:
            self.resp.content_type = JSON
            key = self.resp.get_header('X-Request-Key')
            self.resp.data = forms.render_answer(key, events, self.chat)

    def replay(self, events):
        """Return kept events as the rest of a stream."""
        rest = streams.attempts.events_from(events, self.offset)
        shaped = forms.chat_events(rest) if self.chat else rest
        return shaped + streams.attempts.DONE

    def follow(self, run):
        """Stream a run's events."""
        follower = followers.Follower(
            run,
            self.req.env[HANDLER],
            self.offset,
            forms.chat_events if self.chat else None,
            self.owner.settings.limits.write_stall_s,
        )
        stream = CallerStream(follower, self.owner, bool(self.key))
        try:
            follower.wait_head(HEAD_WAIT_S)
        except BaseException:
            stream.close()
            raise
        if run.outcome is not None and not run.pieces:
            stream.close()
            self.end(run.outcome)
            return
        self.resp.content_type = EVENTS
        self.resp.set_header('Cache-Control', 'no-cache')
        self.resp.stream = stream


class CallerStream:
    """The body of a streamed answer, for the WSGI server.

    :param has_key: whether the caller can ask for the answer again
    """

    def __init__(self, follower, owner, has_key):
        self.follower = follower
        self.owner = owner
        self.has_key = has_key
        owner.followers.add(follower)

    def __iter__(self):
        return iter(self.follower)

    def close(self):
        """Stop to follow; called by the server in any case."""
        self.owner.followers.discard(self.follower)
        self.follower.close()
        self.owner.homes.left(self.follower.run, self.has_key)


class ServicesSink(RequestResource):
    """Any call of ``/v1/services/NAME/PATH``."""

    def __call__(self, req, resp, name, path):
        """Make a call of a plain service, or give its kept answer."""
        customer = self.customer(req)
        request = self.request(req, customer, name)
        place = self.homes.place(request, self.hops(req))
        match place:
            case homes.Told(outcome):
                tell(resp, outcome)
            case homes.Kept(answer):
                self.give(resp, request.key, answer)
            case homes.Following(key=key):
                outcome = self.wait_end(req, place)
                if isinstance(outcome, records.Answer):
                    self.give(resp, request.key or key, outcome)
                else:
                    tell(resp, outcome)

    def give(self, resp, key, answer):
        """Answer as the service did."""
        resp.set_header('X-Request-Key', key)
        resp.status = answer.status
        if answer.content_type:
            resp.content_type = answer.content_type
        resp.data = answer.body

    def request(self, req, customer, name):
        """Return the :class:`forms.ServiceRequest` of a call."""
        body = self.owner.read_body(req)
        raw_path = req.env[HANDLER].path
        prefix = f'/v1/services/{name}'
        path = raw_path.removeprefix(prefix) or '/'
        route = path.partition('?')[0]
        may_repeat = self.route_repeatable(name, req.method, route)
        headers = tuple(
            (each, req.get_header(each))
            for each in PASSED_HEADERS
            if req.get_header(each)
        )
        return forms.ServiceRequest(
            service=name,
            method=req.method,
            path=path,
            headers=headers,
            body=body,
            repeatable=may_repeat and self.repeatable(req),
            digest=forms.request_digest(
                customer, name, req.method, path, body
            ),
            **self.common(req, customer),
        )

    def route_repeatable(self, name, method, path):
        """Return whether a call of a route may run twice."""
        service = self.homes.pool_of_service(name)
        for route in service.routes if service is not None else ():
            if route.method == method and path_matches(route.path, path):
                return route.repeatable
        return False


def path_matches(pattern, path):
    """Tell whether a path is the pattern's, or below one that ends in *."""
    if pattern.endswith('*'):
        return path.startswith(pattern[:-1])
    return path == pattern
