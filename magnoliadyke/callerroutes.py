"""The routes of the callers' listener."""

import json
import re
from urllib import parse

import falcon

from magnoliadyke import caller_codec
from magnoliadyke.core import attempts
from magnoliadyke.core import outcomes
from magnoliadyke.core import records
from magnoliadyke import directory
from magnoliadyke import followers
from magnoliadyke import homes
from magnoliadyke import streams

__all__ = ['HANDLER', 'build_app']

#: Key of the WSGI environment under which the connection's handler is.
HANDLER = 'magnoliadyke.handler'
JSON = 'application/json'
EVENTS = 'text/event-stream'
#: An answer begins at the latest after this long, so that the caller's
#: library sees keep-alive comments and can tell slow from dead.
HEAD_WAIT_S = 1.0
SERVICES = re.compile(r'/v1/services/(?P<name>[^/?]+)(?P<path>/[^?]*)?')
ANSWERS = re.compile(r'/v1/answers/(?P<key>.+)')
BAD_PATH = outcomes.Rejected(
    'bad_path', "send the path without '.' and '..' segments"
)
CALLER_LEFT = outcomes.Unknown(
    'caller_left', 'keep the connection open, and ask again with the same key'
)
#: Headers of a service call that go on to the service.
PASSED_HEADERS = ('Content-Type', 'Accept', 'Accept-Language')


def build_app(owner):
    """Return the WSGI application of the caller routes.

    :param owner: :class:`magnoliadyke.callers.Callers`
    """
    app = falcon.App()
    app.add_route('/v1/hosts', HostsResource(owner))
    app.add_route('/v1/completions', ModelResource(owner, chat=False))
    app.add_route('/v1/chat/completions', ModelResource(owner, chat=True))
    app.add_route(f'{directory.HOMES_PATH}{{home}}', HomesResource(owner))
    app.add_sink(AnswersSink(owner), ANSWERS)
    app.add_sink(ServicesSink(owner), SERVICES)
    app.add_error_handler(caller_codec.OutcomeError, tell_error)
    app.add_error_handler(followers.CallerGone, caller_gone)
    return app


def tell_error(req, resp, error, params):
    """Answer with the outcome that ended the handling of a request."""
    tell(resp, error.outcome)


def caller_gone(req, resp, error, params):
    """Answer a caller that has closed its side, in case it still reads."""
    req.env[HANDLER].close_connection = True
    tell(resp, CALLER_LEFT)


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
            return min(max(int(number), caller_codec.MOST_URGENT), 9)
        row = self.owner.table.last.customers[customer]
        text = req.get_header('X-Priority') or ''
        return caller_codec.read_priority(text, row.priority)

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
            'hops': self.hops(req),
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
        self.read_work = (
            caller_codec.read_chat if chat else caller_codec.read_completion
        )

    def on_post(self, req, resp):
        """Run a completion, or follow one whose key is known."""
        customer = self.customer(req)
        document = caller_codec.read_object(self.owner.read_body(req))
        request = self.request(req, customer, self.read_work(document))
        place = self.homes.place(request)
        reader = Reader(self, req, resp, self.chat, request.key)
        reader.answer(place, bool(document.get('stream')))

    def request(self, req, customer, work):
        """Return the :class:`caller_codec.ModelRequest` of a request."""
        digest = caller_codec.request_digest(
            customer, work['model'], str(work['max_tokens']), work['prompt']
        )
        return caller_codec.ModelRequest(
            work=work,
            repeatable=self.repeatable(req),
            digest=digest,
            **self.common(req, customer),
        )


class AnswersSink(RequestResource):
    """``GET /v1/answers/KEY?offset=N``: go on reading an answer."""

    def __call__(self, req, resp, key):
        """Follow the answer of a key from an offset on."""
        offset = req.get_param_as_int('offset', min_value=0, default=0)
        request = caller_codec.ModelRequest(
            key=parse.unquote(key),
            customer=self.customer(req),
            credential=req.get_header('Authorization'),
            work={},
            priority=caller_codec.MOST_URGENT,
            repeatable=False,
            digest='',
            hops=self.hops(req),
        )
        place = self.homes.find(request, offset)
        reader = Reader(self, req, resp, False, request.key, offset)
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
            case homes.Settled(outcome):
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
            tell(self.resp, records.KEY_REUSED)
            return
        events = streams.model_events(answer)
        if stream:
            self.resp.content_type = EVENTS
            self.resp.data = self.replay(events)
        else:
            self.resp.content_type = JSON
            key = self.resp.get_header('X-Request-Key')
            self.resp.data = caller_codec.render_answer(key, events, self.chat)

    def replay(self, events):
        """Return kept events as the rest of a stream."""
        rest = attempts.events_from(events, self.offset)
        shaped = caller_codec.chat_events(rest) if self.chat else rest
        return shaped + attempts.DONE

    def follow(self, run):
        """Stream a run's events."""
        follower = followers.Follower(
            run,
            self.req.env[HANDLER],
            self.offset,
            caller_codec.chat_events if self.chat else None,
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
        place = self.homes.place(request)
        match place:
            case homes.Settled(outcome):
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
        """Return the :class:`caller_codec.ServiceRequest` of a call."""
        body = self.owner.read_body(req)
        path = service_path(req.env[HANDLER].path)
        route = path.partition('?')[0]
        may_repeat = self.route_repeatable(name, req.method, route)
        headers = tuple(
            (each, req.get_header(each))
            for each in PASSED_HEADERS
            if req.get_header(each)
        )
        return caller_codec.ServiceRequest(
            service=name,
            method=req.method,
            path=path,
            headers=headers,
            body=body,
            repeatable=may_repeat and self.repeatable(req),
            digest=caller_codec.request_digest(
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


def service_path(raw_path):
    """Return path and query below the service's name, as they were sent.

    A service that resolves ``..`` would serve ``/notice/../charge`` as
    ``/charge``, while here it counts as a route below ``/notice/`` that may
    be repeated. Such paths are rejected, in any spelling.

    :param raw_path: path and query of the request line
    """
    named = raw_path.partition('/v1/services/')[2]
    name, slash, rest = named.partition('/')
    if not slash:
        _, mark, query = name.partition('?')
        return f'/{mark}{query}'
    segments = parse.unquote(rest.partition('?')[0]).split('/')
    if '..' in segments or '.' in segments:
        raise caller_codec.OutcomeError(BAD_PATH)
    return f'/{rest}'


def path_matches(pattern, path):
    """Tell whether a path is the pattern's, or below one that ends in *."""
    if pattern.endswith('*'):
        return path.startswith(pattern[:-1])
    return path == pattern
