"""Endpoints as the node talks to them: abstract, and over HTTP."""

import abc
import json
import typing
from urllib import parse

import gevent
from gevent import socket
from geventhttpclient import response as responses

from magnoliadyke import errors

__all__ = [
    'Connections',
    'EndpointSettings',
    'HttpModelEndpoint',
    'HttpServiceEndpoint',
    'ModelEndpoint',
    'Reply',
    'ServiceEndpoint',
    'StreamReply',
    'json_bytes',
]

RECEIVE_BYTES = 65536
ERROR_BYTES = 1 << 20
ERROR_TIMEOUT_S = 2.0
JSON_HEADERS = (('Content-Type', 'application/json'),)


class EndpointSettings(typing.NamedTuple):
    """Times and sizes of calls to endpoints, in seconds and bytes.

    :param idle_s: age up to which an idle connection is used again; what
        lies between the two ends may forget a connection that is older
    :param head_s: longest wait for the first byte of a stream's answer;
        engines answer at once and then keep the stream alive
    """

    connect_s: float = 1.0
    idle_s: float = 5.0
    head_s: float = 3.0
    prefill_s: float = 120.0
    service_s: float = 30.0
    control_s: float = 2.0
    answer_bytes: int = 16 << 20
    idle_connections: int = 32


DEFAULTS = EndpointSettings()


class Reply(typing.NamedTuple):
    """A whole answer of an endpoint, or of another node.

    :param outcome: kind of outcome that a node says its answer is, ``''``
        when the answer is a service's own
    :param request_key: key under which a node passes a service's answer on;
        an answer with neither comes from the HTTP server in between
    """

    status: int
    content_type: str
    body: bytes
    outcome: str = ''
    request_key: str = ''

    def json(self):
        """Return the body as a JSON document.

        :raises ValueError: when it is none
        """
        return json.loads(self.body)

    def error_code(self):
        """Return the code of a JSON error body, or ``''``."""
        if b'"error"' not in self.body:
            return ''
        try:
            return self.json()['error']['code']
        except (ValueError, KeyError, TypeError):
            return ''


class StreamReply(typing.NamedTuple):
    """The head of a streamed answer and the connection it comes on.

    :param first: body bytes that came with the head
    """

    status: int
    first: bytes
    connection: 'Connection'

    def read_whole(self):
        """Read an answer that is no stream; return a :class:`Reply`."""
        connection = self.connection
        try:
            rest = connection.read_body(ERROR_BYTES, ERROR_TIMEOUT_S)
        finally:
            connection.close()
        return build_reply(connection.parser, self.first + rest)


class Parser(responses.HTTPResponse):
    """Hands body bytes over as they come."""

    def __init__(self, method):
        super().__init__(method=method)
        self.parts = []

    def _on_body(self, data):
        self.parts.append(bytes(data))

    def take_body(self):
        """Return the body bytes read since the last call."""
        parts = self.parts
        if len(parts) == 1:
            body = parts[0]
        else:
            body = b''.join(parts)
        parts.clear()
        return body


class Connection:
    """One connection to an endpoint, used by one request at a time.

    :param address: ``ip:port``, numeric
    :param connect_s: longest wait in seconds
    :raises EndpointUnreachable: when nobody accepts; nothing was sent
    """

    def __init__(self, address, connect_s):
        self.address = address
        ip, _, port = address.rpartition(':')
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.socket.settimeout(connect_s)
        try:
            self.socket.connect((ip, int(port)))
        except OSError as error:
            self.socket.close()
            raise errors.EndpointUnreachable(
                f'{address}: {error}', sent=False
            ) from error
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.parser = Parser('GET')
        self.closed = False
        self.idle_since_s = 0.0

    def close(self):
        """Close the connection."""
        self.closed = True
        self.socket.close()

    def fileno(self):
        """Return the file descriptor."""
        return self.socket.fileno()

    def send(self, method, data):
        """Send a whole request.

        A failure counts as sent: part of the request may have arrived.
        """
        self.parser = Parser(method)
        try:
            self.socket.sendall(data)
        except OSError as error:
            self.fail(error)

    def fail(self, error):
        """Close, and raise that a byte may have reached the endpoint."""
        self.close()
        raise errors.EndpointUnreachable(
            f'{self.address}: {error or type(error).__name__}', sent=True
        ) from error

    def read_head(self, timeout_s):
        """Read until the head of the answer is complete.

        :param timeout_s: longest wait for each piece, in seconds
        """
        parser = self.parser
        self.socket.settimeout(timeout_s)
        try:
            while not parser.headers_complete or parser.status_code < 200:
                self.feed(self.socket.recv(RECEIVE_BYTES))
        except (OSError, responses.HTTPParseError) as error:
            self.fail(error)

    def feed(self, data):
        """Give received bytes to the parser."""
        if not data:
            raise ConnectionResetError('closed before the end of the answer')
        self.parser.feed(data)

    def read_body(self, limit_bytes, timeout_s):
        """Read the rest of the answer.

        :param limit_bytes: longest body taken
        :param timeout_s: longest wait for each piece, in seconds
        """
        parser = self.parser
        self.socket.settimeout(timeout_s)
        pieces = [parser.take_body()]
        size = len(pieces[0])
        try:
            while not parser.message_complete and size <= limit_bytes:
                self.feed(self.socket.recv(RECEIVE_BYTES))
                pieces.append(parser.take_body())
                size += len(pieces[-1])
        except (OSError, responses.HTTPParseError) as error:
            self.fail(error)
        if size > limit_bytes:
            self.fail(ValueError(f'answer is over {limit_bytes} bytes'))
        return b''.join(pieces)

    def decode_body(self, data):
        """Return the body bytes in received bytes.

        :raises ConnectionResetError: when the other end closed too early
        :raises HTTPParseError: when it is not HTTP
        """
        self.feed(data)
        return self.parser.take_body()

    def is_reusable(self):
        """Tell whether another request may follow on this connection.

        The last bytes of a stream come a little after its last event; they
        are read here.
        """
        if self.closed or not self.parser.headers_complete:
            return False
        self.socket.settimeout(0.0)
        try:
            while True:
                self.feed(self.socket.recv(RECEIVE_BYTES))
        except BlockingIOError:
            pass
        except (OSError, responses.HTTPParseError):
            return False
        parser = self.parser
        return parser.message_complete and parser.should_keep_alive()


class Connections:
    """Connections to one endpoint; a request is never sent twice.

    :param address: ``ip:port``, numeric
    :param clock: a :class:`magnoliadyke.clock.Clock`
    :param settings: :class:`EndpointSettings`
    :ivar suspect_until_s: until when streams to this address are doubted
        sooner, since a sibling connection went silent
    """

    SUSPECT_S = 10.0

    def __init__(self, address, clock, settings):
        self.address = address
        self.clock = clock
        self.settings = settings
        self.idle = []
        self.suspect_until_s = 0.0

    def open(self):
        """Return a new connection, which proves the address alive."""
        return Connection(self.address, self.settings.connect_s)

    def take(self):
        """Return an idle connection of young age, or a new one."""
        oldest_s = self.clock.now_s() - self.settings.idle_s
        while self.idle:
            connection = self.idle.pop()
            if (
                connection.idle_since_s >= oldest_s
                and connection.is_reusable()
            ):
                return connection
            connection.close()
        return self.open()

    def give_back(self, connection):
        """Keep a connection whose answer was read for the next request."""
        full = len(self.idle) >= self.settings.idle_connections
        if full or connection.closed:
            connection.close()
            return
        connection.idle_since_s = self.clock.now_s()
        self.idle.append(connection)

    def mark_suspect(self):
        """A connection went silent: doubt its siblings.

        What sits between the two ends has lost track of one connection and
        may have lost others with it. Idle ones are closed; the next request
        opens a new one. Running streams get a shorter silence limit.
        """
        self.suspect_until_s = self.clock.now_s() + self.SUSPECT_S
        self.close()

    def is_suspect(self):
        """Tell whether a sibling went silent a short time ago."""
        return self.clock.now_s() < self.suspect_until_s

    def close(self):
        """Close the idle connections."""
        while self.idle:
            self.idle.pop().close()

    def call(self, method, path, body, headers, timeout_s, fresh=False):
        """Send one request and read its whole answer.

        :param fresh: use a new connection, not one that may be stale
        :param timeout_s: longest silence while waiting, in seconds
        :return: :class:`Reply`
        :raises EndpointUnreachable: ``sent`` tells whether a byte may have
            arrived
        """
        connection = self.open() if fresh else self.take()
        data = request_bytes(method, path, self.address, headers, body)
        try:
            connection.send(method, data)
            connection.read_head(timeout_s)
            text = connection.read_body(self.settings.answer_bytes, timeout_s)
        except BaseException:
            connection.close()
            raise
        reply = build_reply(connection.parser, text)
        self.give_back(connection)
        return reply

    def stream(self, method, path, body, headers, timeout_s, fresh=True):
        """Send one request and read the answer's head.

        :param fresh: use a new connection, not one that may be stale
        :return: :class:`StreamReply`
        """
        connection = self.open() if fresh else self.take()
        data = request_bytes(method, path, self.address, headers, body)
        try:
            connection.send(method, data)
            connection.read_head(timeout_s)
        except BaseException:
            connection.close()
            raise
        parser = connection.parser
        return StreamReply(parser.status_code, parser.take_body(), connection)


def json_bytes(document):
    """Return a document as compact JSON."""
    return json.dumps(document, separators=(',', ':')).encode()


def build_reply(parser, body):
    """Return a :class:`Reply` for an answer that was read whole."""
    names = ('content-type', 'x-outcome', 'x-request-key')
    content_type, outcome, key = (str(parser.get(n) or '') for n in names)
    return Reply(parser.status_code, content_type, body, outcome, key)


def request_bytes(method, path, address, headers, body):
    """Return a request in HTTP/1.1 form.

    :param headers: sequence of pairs of text
    :param body: bytes
    """
    lines = [f'{method} {path} HTTP/1.1', f'Host: {address}']
    lines += [f'{name}: {value}' for name, value in headers]
    if body or method not in ('GET', 'HEAD', 'DELETE'):
        lines.append(f'Content-Length: {len(body)}')
    text = '\r\n'.join(lines) + '\r\n\r\n'
    return text.encode('latin-1') + body


class ModelEndpoint(abc.ABC):
    """A model engine; another platform plugs in by writing one of these.

    Every method raises :class:`magnoliadyke.errors.EndpointUnreachable`
    whose ``sent`` tells whether a byte of the request may have arrived.
    No method sends a request twice.
    """

    @abc.abstractmethod
    def prefill(self, work, headers):
        """Run a prompt and keep its KV cache; return a :class:`Reply`."""

    @abc.abstractmethod
    def complete(self, work, headers, fresh):
        """Start an answer; return a :class:`StreamReply`.

        :param fresh: use a connection that is proved alive, for a request
            that may not be repeated
        """

    @abc.abstractmethod
    def resume(self, attempt, offset):
        """Continue to read a running answer; return a :class:`StreamReply`.

        :param attempt: id it was started with
        :param offset: output tokens read already
        """

    @abc.abstractmethod
    def cancel(self, attempt):
        """End an answer that nobody wants any more."""

    @abc.abstractmethod
    def export(self, attempt):
        """Stop an answer so that another engine can go on with it.

        :return: handle of its KV cache as a dict, None if it does not run
        """

    @abc.abstractmethod
    def refuses_connections(self):
        """Tell whether no process listens there any more: it crashed."""

    @abc.abstractmethod
    def load(self):
        """Return the load report as a dict, late as it is."""

    @abc.abstractmethod
    def cache_events(self, after, wait_s):
        """Return cache events after a number as a dict."""

    @abc.abstractmethod
    def poll_state(self):
        """Return ``up``, ``leaving`` or ``crashed``."""


class ServiceEndpoint(abc.ABC):
    """A server of a plain service."""

    @abc.abstractmethod
    def call(self, method, path, body, headers, fresh):
        """Make one call; return a :class:`Reply`.

        :param fresh: use a connection that is proved alive, for a call that
            may not be repeated
        """

    @abc.abstractmethod
    def poll_state(self):
        """Return ``up``, ``leaving`` or ``crashed``."""


STATES = {'in': 'up', 'left': 'leaving', 'leaving': 'leaving'}


class HttpEndpoint:
    """What both kinds of HTTP endpoints share.

    :param info: :class:`magnoliadyke.core.jobs.EndpointInfo`
    """

    def __init__(self, info, clock, settings=DEFAULTS):
        self.info = info
        self.name = info.name
        self.settings = settings
        self.connections = Connections(info.address, clock, settings)

    def get_json(self, path, timeout_s):
        """Return a JSON answer as a dict."""
        reply = self.connections.call('GET', path, b'', (), timeout_s)
        if reply.status != 200:
            raise errors.EndpointUnreachable(
                f'{self.info.address}{path} answered {reply.status}', sent=True
            )
        try:
            return json.loads(reply.body)
        except ValueError as error:
            raise errors.EndpointUnreachable(
                f'{self.info.address}{path} is not JSON', sent=True
            ) from error

    def poll_state(self):
        """Return ``up``, ``leaving`` or ``crashed``."""
        try:
            document = self.get_json('/health', self.settings.control_s)
        except errors.EndpointUnreachable:
            return 'crashed'
        return STATES.get(document.get('state', 'in'), 'up')

    def close(self):
        """Close idle connections."""
        self.connections.close()


class HttpModelEndpoint(HttpEndpoint, ModelEndpoint):
    """A model engine behind the platform's HTTP protocol."""

    def prefill(self, work, headers):
        """Run a prompt; the answer comes after it has run."""
        body = json_bytes(work)
        return self.connections.call(
            'POST',
            '/v1/prefill',
            body,
            headers,
            self.settings.prefill_s,
            fresh=True,
        )

    def complete(self, work, headers, fresh):
        """Start an answer."""
        return self.connections.stream(
            'POST',
            '/v1/completions',
            json_bytes(work),
            headers,
            self.settings.head_s,
            fresh,
        )

    def resume(self, attempt, offset):
        """Continue an answer on a new connection."""
        path = f'/v1/streams/{parse.quote(attempt)}?offset={offset}'
        return self.connections.stream(
            'GET', path, b'', (), self.settings.head_s
        )

    def cancel(self, attempt):
        """Ask the engine to end an answer."""
        path = f'/v1/streams/{parse.quote(attempt)}/cancel'
        self.connections.call('POST', path, b'', (), self.settings.control_s)

    def export(self, attempt):
        """Stop an answer; return the handle of its KV cache."""
        body = json_bytes({'id': attempt})
        reply = self.connections.call(
            'POST',
            '/v1/kv/export',
            body,
            JSON_HEADERS,
            self.settings.control_s,
            fresh=True,
        )
        try:
            kv_id = reply.json()['kv_id']
        except (ValueError, KeyError, TypeError):
            return None
        return {'address': self.info.address, 'kv_id': kv_id}

    def refuses_connections(self):
        """Tell whether the engine's host refuses a connection."""
        try:
            self.connections.open().close()
        except errors.EndpointUnreachable as error:
            return isinstance(error.__cause__, ConnectionRefusedError)
        return False

    def load(self):
        """Return the load report."""
        return self.get_json('/v1/load', self.settings.control_s)

    def cache_events(self, after, wait_s):
        """Wait for cache events."""
        path = f'/v1/cache_events?after={after}&wait_s={wait_s:g}'
        return self.get_json(path, wait_s + self.settings.control_s)


class HttpServiceEndpoint(HttpEndpoint, ServiceEndpoint):
    """A server of a plain service over HTTP."""

    def call(self, method, path, body, headers, fresh):
        """Make one call."""
        with gevent.Timeout(self.settings.service_s, TimeoutExpired()):
            return self.connections.call(
                method,
                path,
                body,
                headers,
                self.settings.service_s,
                fresh=fresh,
            )


class TimeoutExpired(errors.EndpointUnreachable):
    """A call took longer than it may; it may have run."""

    def __init__(self):
        super().__init__('no answer in time', sent=True)
