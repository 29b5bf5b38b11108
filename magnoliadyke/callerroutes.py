"""The HTTP routes for callers."""

import json
import re
from urllib import parse

import falcon

from magnoliadyke import caller_codec
from magnoliadyke.core import attempts
from magnoliadyke.core import outcomes
from magnoliadyke.core import records
from magnoliadyke import homedirectory
from magnoliadyke import homes
from magnoliadyke import responsestream
from magnoliadyke import streams

__all__ = ['HANDLER', 'build_app']

#: Key of the connection's handler in the WSGI environment.
HANDLER = 'magnoliadyke.handler'
JSON = 'application/json'
EVENTS = 'text/event-stream'
#: Time after which the head of a streamed response is sent even without a
#: token. The caller's library then gets keep-alive comments, by which it
#: distinguishes a slow node from an unreachable one.
HEAD_WAIT_S = 1.0
SERVICES = re.compile(r'/v1/services/(?P<name>[^/?]+)(?P<path>/[^?]*)?')
ANSWERS = re.compile(r'/v1/answers/(?P<key>.+)')
BAD_PATH = outcomes.Rejected(
    'bad_path', "send the path without '.' and '..' segments"
)
CALLER_LEFT = outcomes.Unknown(
    'caller_left', 'keep the connection open, and ask again with the same key'
)
#: Headers of a service call that are forwarded to the service.
PASSED_HEADERS = ('Content-Type', 'Accept', 'Accept-Language')


def build_app(owner):
    """Return the WSGI application of the caller routes.

    :param owner: :class:`magnoliadyke.callers.Callers`
    """
    app = falcon.App()
    app.add_route('/v1/hosts', HostsResource(owner))
    app.add_route('/v1/completions', ModelResource(owner, chat=False))
    app.add_route('/v1/chat/completions', ModelResource(owner, chat=True))
    app.add_route(f'{homedirectory.HOMES_PATH}{{home}}', HomesResource(owner))
    app.add_sink(AnswersSink(owner), ANSWERS)
    app.add_sink(ServicesSink(owner), SERVICES)
    app.add_error_handler(caller_codec.OutcomeError, send_error)
    app.add_error_handler(responsestream.CallerDisconnected, send_caller_left)
    return app


def send_error(req, resp, error, params):
    """Send the outcome that a :class:`caller_codec.OutcomeError` holds."""
    set_response(resp, error.outcome)


def send_caller_left(req, resp, error, params):
    """Send an outcome to a caller that shut down its sending side only."""
    req.env[HANDLER].close_connection = True
    set_response(resp, CALLER_LEFT)


def set_response(resp, outcome):
    """Set the response to an outcome."""
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
        """Return the hosts that accept requests, and a ticket for keys."""
        resp.content_type = JSON
        resp.data = json.dumps(self.owner.build_hosts_response()).encode()


class HomesResource:
    """``GET /v1/homes/HOME``: the successor of a home, for other nodes."""

    def __init__(self, owner):
        self.owner = owner

    def on_get(self, req, resp, home):
        """Return the successor, ``''`` if this node has no record of one."""
        successor = self.owner.homes.successor_of(home)
        resp.content_type = JSON
        resp.data = json.dumps({'successor': successor}).encode()


class RequestResource:
    """Base of the routes whose requests run on an endpoint.

    :param owner: :class:`magnoliadyke.callers.Callers`
    """

    def __init__(self, owner):
        self.owner = owner
        self.homes = owner.homes

    def hops(self, req):
        """Return the hosts that relayed a request, in order."""
        text = req.get_header('X-Relayed-By') or ''
        return tuple(part for part in text.split(',') if part)

    def priority(self, req, customer):
        """Return the priority of a request; smaller numbers are more urgent.

        A relay sends a number. A caller sends ``urgent``, ``normal`` or
        ``background``, or nothing to get the customer's default.
        """
        number = req.get_header('X-Priority-Number')
        if number is not None and number.isdigit():
            return min(max(int(number), caller_codec.MOST_URGENT), 9)
        row = self.owner.table.last.customers[customer]
        text = req.get_header('X-Priority') or ''
        return caller_codec.read_priority(text, row.priority)

    def repeatable(self, req):
        """Return whether the caller allows the request to run twice."""
        return (req.get_header('X-Repeatable') or 'true').lower() != 'false'

    def common_fields(self, req, customer):
        """Return the fields that both kinds of requests share, as a dict."""
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

    def wait_for_run_outcome(self, req, routed):
        """Wait for the outcome of a run, and return it.

        :param routed: :class:`homes.Following`
        :raises CallerDisconnected: when the caller disconnects first
        """
        waiter = responsestream.OutcomeWaiter(routed.run, req.env[HANDLER])
        try:
            return waiter.wait_for_outcome()
        finally:
            waiter.close()
            has_key = req.get_header('Idempotency-Key') is not None
            self.homes.on_follower_left(routed.run, has_key)


class ModelResource(RequestResource):
    """``POST /v1/completions`` and ``/v1/chat/completions``."""

    def __init__(self, owner, chat):
        super().__init__(owner)
        self.chat = chat
        self.read_work = (
            caller_codec.read_chat if chat else caller_codec.read_completion
        )

    def on_post(self, req, resp):
        """Run a completion, or subscribe to the run that its key has."""
        customer = self.customer(req)
        document = caller_codec.read_object(self.owner.read_body(req))
        request = self.request(req, customer, self.read_work(document))
        routed = self.homes.route_request(request)
        responder = ModelResponder(self, req, resp, self.chat, request.key)
        responder.answer(routed, bool(document.get('stream')))

    def request(self, req, customer, work):
        """Return the :class:`caller_codec.ModelRequest` of an HTTP call."""
        digest = caller_codec.request_digest(
            customer, work['model'], str(work['max_tokens']), work['prompt']
        )
        return caller_codec.ModelRequest(
            work=work,
            repeatable=self.repeatable(req),
            digest=digest,
            **self.common_fields(req, customer),
        )


class AnswersSink(RequestResource):
    """``GET /v1/answers/KEY?offset=N``: resume reading an answer."""

    def __call__(self, req, resp, key):
        """Stream the answer of a key from an offset on."""
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
        routed = self.homes.find_answer(request, offset)
        responder = ModelResponder(self, req, resp, False, request.key, offset)
        responder.answer(routed, True)


class ModelResponder:
    """Sends the answer of a model to one caller.

    :param resource: the :class:`RequestResource` of the route
    :param chat: whether to send events in the chat format
    :param key: the caller's own key, or ``''``
    :param offset: output tokens that the caller has already
    """

    def __init__(self, resource, req, resp, chat, key, offset=0):
        self.resource = resource
        self.owner = resource.owner
        self.req = req
        self.resp = resp
        self.chat = chat
        self.key = key
        self.offset = offset

    def answer(self, routed, stream):
        """Send the answer as a stream, or as one document.

        :param routed: what :meth:`homes.Homes.route_request` returned
        :param stream: whether to stream
        """
        match routed:
            case homes.Settled(outcome):
                set_response(self.resp, outcome)
            case homes.KeptAnswer(answer):
                self.send_key(self.key)
                self.send_answer(answer, stream)
            case homes.Following(run, key):
                self.send_key(self.key or key)
                if stream:
                    self.stream_run(run)
                else:
                    self.send_result(
                        self.resource.wait_for_run_outcome(self.req, routed)
                    )

    def send_key(self, key):
        """Send the key with which the caller can resend or resume."""
        self.resp.set_header('X-Request-Key', key)

    def send_result(self, outcome):
        """Send the answer or outcome of a run that has ended."""
        if isinstance(outcome, records.Answer):
            self.send_answer(outcome, False)
        else:
            set_response(self.resp, outcome)

    def send_answer(self, answer, stream):
        """Send a complete answer, as a stream of events or as one document.

        If the answer is a service's, the key was used for a service before.
        """
        if answer.kind != 'model':
            set_response(self.resp, records.KEY_REUSED)
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
        """Return recorded events as a stream from the offset on."""
        rest = attempts.events_from(events, self.offset)
        shaped = caller_codec.chat_events(rest) if self.chat else rest
        return shaped + attempts.DONE

    def stream_run(self, run):
        """Stream a run's events, or send its outcome if it has no output."""
        follower = responsestream.ResponseStream(
            run,
            self.req.env[HANDLER],
            self.offset,
            caller_codec.chat_events if self.chat else None,
            self.owner.settings.limits.write_stall_s,
        )
        stream = CallerStream(follower, self.owner, bool(self.key))
        try:
            follower.wait_for_first_output(HEAD_WAIT_S)
        except BaseException:
            stream.close()
            raise
        if run.outcome is not None and not run.pieces:
            stream.close()
            self.send_result(run.outcome)
            return
        self.resp.content_type = EVENTS
        self.resp.set_header('Cache-Control', 'no-cache')
        self.resp.stream = stream


class CallerStream:
    """The body of a streamed response, for the WSGI server.

    :param has_key: whether the caller sent a key, and so can resume
    """

    def __init__(self, follower, owner, has_key):
        self.follower = follower
        self.owner = owner
        self.has_key = has_key
        owner.subscribers.add(follower)

    def __iter__(self):
        return iter(self.follower)

    def close(self):
        """Unsubscribe from the run; the server always calls this."""
        self.owner.subscribers.discard(self.follower)
        self.follower.close()
        self.owner.homes.on_follower_left(self.follower.run, self.has_key)


class ServicesSink(RequestResource):
    """``/v1/services/NAME/PATH``, with any method."""

    def __call__(self, req, resp, name, path):
        """Call a plain service, or send the recorded response."""
        customer = self.customer(req)
        request = self.request(req, customer, name)
        routed = self.homes.route_request(request)
        match routed:
            case homes.Settled(outcome):
                set_response(resp, outcome)
            case homes.KeptAnswer(answer):
                self.send_answer(resp, request.key, answer)
            case homes.Following(key=key):
                outcome = self.wait_for_run_outcome(req, routed)
                if isinstance(outcome, records.Answer):
                    self.send_answer(resp, request.key or key, outcome)
                else:
                    set_response(resp, outcome)

    def send_answer(self, resp, key, answer):
        """Send the response of the service."""
        resp.set_header('X-Request-Key', key)
        resp.status = answer.status
        if answer.content_type:
            resp.content_type = answer.content_type
        resp.data = answer.body

    def request(self, req, customer, name):
        """Return the :class:`caller_codec.ServiceRequest` for a request."""
        body = self.owner.read_body(req)
        path = service_path(req.env[HANDLER].path)
        route = path.partition('?')[0]
        route_is_repeatable = self.route_repeatable(name, req.method, route)
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
            repeatable=route_is_repeatable and self.repeatable(req),
            digest=caller_codec.request_digest(
                customer, name, req.method, path, body
            ),
            **self.common_fields(req, customer),
        )

    def route_repeatable(self, name, method, path):
        """Return whether the settings allow a call of a route to run twice.

        :param name: name of the service
        """
        service = self.homes.pool_of_service(name)
        for route in service.routes if service is not None else ():
            if route.method == method and path_matches(route.path, path):
                return route.repeatable
        return False


def service_path(raw_path):
    """Return path and query below the service's name, as they were sent.

    A service that resolves ``..`` would serve ``/notice/../charge`` as
    ``/charge``, while the settings may list it as a repeatable route below
    ``/notice/``. Such paths are rejected, percent-encoded ones as well.

    :param raw_path: path and query of the request line
    :raises OutcomeError: for a path with ``.`` or ``..`` segments
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
    """Return whether a path equals a pattern, or its prefix before ``*``."""
    if pattern.endswith('*'):
        return path.startswith(pattern[:-1])
    return path == pattern
