"""Clients of endpoints: abstract interfaces, and their HTTP versions."""

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
#: Maximum number of bytes from the start of a response to the end of its head,
#: and between two pieces of its body or after the last one, where chunk lines
#: and trailers are.  One read may go beyond it.
MAX_FRAMING_BYTES = 65536
#: Range of the statuses that have a meaning (RFC 9110, section 15).
MIN_STATUS = 100
MAX_STATUS = 599
NO_CONTENT = 204
ERROR_BYTES = 1 << 20
ERROR_TIMEOUT_S = 2.0
JSON_HEADERS = (('Content-Type', 'application/json'),)


class EndpointSettings(typing.NamedTuple):
    """Timeouts and limits of calls to endpoints.

    :param connect_s: timeout of a TCP connect
    :param idle_s: time up to which an idle connection is reused; a firewall
        or proxy in between may have dropped one that was idle for longer
    :param head_s: timeout for each read of a stream's response head; engines
        send it at once and then keep the stream alive
    :param prefill_s: timeout for each read of a prefill response
    :param service_s: timeout of a call of a plain service
    :param control_s: timeout for each read of polls, cancels and exports
    :param answer_bytes: maximum size of a response body
    :param idle_connections: maximum number of idle connections kept for an
        address
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
    """A complete response of an endpoint, or of another node.

    :param outcome: kind of the outcome by the header of a node, ``''`` when
        the response is that of a service
    :param request_key: key by the header of a node that passes on a
        service's response; a response with neither is not a node's but that
        of the HTTP server in between
    """

    status: int
    content_type: str
    body: bytes
    outcome: str = ''
    request_key: str = ''

    def json(self):
        """Return the body parsed as JSON.

        :raises ValueError: when it is not JSON
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
    """The head of a streamed response, and its connection.

    :param first: body bytes that were received with the head
    :param connection: :class:`Connection` on which the rest arrives
    """

    status: int
    first: bytes
    connection: 'Connection'

    def read_whole(self):
        """Read the rest of an error response; close the connection.

        :return: :class:`Reply`
        :raises EndpointUnreachable: when it is incomplete or too long
        """
        connection = self.connection
        try:
            rest = connection.read_body(ERROR_BYTES, ERROR_TIMEOUT_S)
        finally:
            connection.close()
        return build_reply(connection.parser, self.first + rest)


class Parser(responses.HTTPResponse):
    """A parser of one HTTP response that collects body bytes as they arrive.

    :ivar has_final_head: whether the head of the final response was parsed
    """

    def __init__(self, method):
        super().__init__(method=method)
        self.parts = []
        self.has_final_head = False

    @property
    def is_final(self):
        """Whether the head of the final response is complete."""
        return self.headers_complete and self.status_code >= 200

    def feed(self, data):
        """Parse bytes.

        :raises HTTPParseError: when they are not valid HTTP, or not one
            response
        """
        super().feed(data)
        # The library raises no error after a head of a response to HEAD.
        if self.parser_failed() and not self.has_final_head:
            raise responses.HTTPParseError('invalid response to HEAD')

    def _on_message_begin(self):
        if self.has_final_head:
            raise responses.HTTPProtocolViolationError(
                'expected one response, got another after it'
            )
        super()._on_message_begin()

    def _on_headers_complete(self):
        skips_body = super()._on_headers_complete()
        status = self.status_code
        if not MIN_STATUS <= status <= MAX_STATUS:
            raise responses.HTTPProtocolViolationError(
                f'status: expected {MIN_STATUS} to {MAX_STATUS}, '
                f'got {status:03}'
            )
        is_interim = status < 200
        if is_interim or status == NO_CONTENT:
            if self.content_length or 'transfer-encoding' in self:
                raise responses.HTTPProtocolViolationError(
                    f'status {status}: expected no body, '
                    'got a length or chunks'
                )
        self.has_final_head = not is_interim
        return skips_body

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


def connect(address, timeout_s):
    """Return a connected socket.

    :param address: ``ip:port``, numeric
    :param timeout_s: timeout in seconds, also of the socket
    :raises OSError: when the connect fails
    """
    ip, _, port = address.rpartition(':')
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.settimeout(timeout_s)
    try:
        sock.connect((ip, int(port)))
    except OSError:
        sock.close()
        raise
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


class Connection:
    """One connection to an endpoint, used by one request at a time.

    :param address: ``ip:port``, numeric
    :param connect_s: timeout in seconds
    :raises EndpointUnreachable: when the connect fails; nothing was sent
    :ivar framing_bytes: bytes parsed since the last head or piece of a body
    :ivar idle_since_s: when the last response was complete, in monotonic
        seconds
    """

    def __init__(self, address, connect_s):
        self.address = address
        self.connect_s = connect_s
        try:
            self.socket = connect(address, connect_s)
        except OSError as error:
            raise errors.EndpointUnreachable(
                f'{address}: {error}', sent=False
            ) from error
        self.parser = Parser('GET')
        self.framing_bytes = 0
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
        """Send a complete request.

        :raises EndpointUnreachable: with ``sent`` set, since part of the
            request may have arrived
        """
        self.parser = Parser(method)
        self.framing_bytes = 0
        try:
            self.socket.sendall(data)
        except OSError as error:
            self.fail(error)

    def fail(self, error):
        """Close the connection and raise.

        :raises EndpointUnreachable: with ``sent`` set, since a byte may have
            reached the endpoint
        """
        self.close()
        raise errors.EndpointUnreachable(
            f'{self.address}: {error or type(error).__name__}', sent=True
        ) from error

    def read_head(self, timeout_s):
        """Read until the head of the response is complete.

        :param timeout_s: timeout of each read, in seconds
        :raises EndpointUnreachable: after a timeout or error
        """
        parser = self.parser
        self.socket.settimeout(timeout_s)
        try:
            while not parser.is_final:
                self.feed(self.socket.recv(RECEIVE_BYTES))
                # A socket that has bytes at any time would not let others
                # run.
                gevent.sleep(0)
        except (OSError, responses.HTTPParseError) as error:
            self.fail(error)

    def feed(self, data):
        """Pass received bytes to the parser.

        :raises ConnectionResetError: when the endpoint closed the connection
            before the end of its response
        :raises HTTPParseError: when the bytes are not valid HTTP, or too many
            of them belong to no body
        """
        if not data:
            raise ConnectionResetError(
                'connection closed before the end of the response'
            )
        parser = self.parser
        had_head = parser.is_final
        parser.feed(data)
        if parser.parts or (parser.is_final and not had_head):
            self.framing_bytes = 0
            return
        self.framing_bytes += len(data)
        if self.framing_bytes > MAX_FRAMING_BYTES:
            part = 'chunk line or trailers' if had_head else 'head'
            raise responses.HTTPParseError(
                f'{part}: expected the end within {MAX_FRAMING_BYTES} bytes, '
                f'got {self.framing_bytes} without it'
            )

    def read_body(self, limit_bytes, timeout_s):
        """Read and return the rest of the response body.

        :param limit_bytes: longest body accepted
        :param timeout_s: timeout of each read, in seconds
        :raises EndpointUnreachable: after a timeout or error, or when the
            body is too long
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
                gevent.sleep(0)
        except (OSError, responses.HTTPParseError) as error:
            self.fail(error)
        if size > limit_bytes:
            self.fail(ValueError(f'response body over {limit_bytes} bytes'))
        return b''.join(pieces)

    def decode_body(self, data):
        """Return the body bytes that received bytes hold.

        :raises ConnectionResetError: when the endpoint closed the connection
            before the end of its response
        :raises HTTPParseError: when the bytes are not valid HTTP
        """
        self.feed(data)
        return self.parser.take_body()

    def is_reusable(self):
        """Return whether another request may be sent on this connection.

        The last bytes of a stream arrive a little after its last event; they
        are read here.
        """
        if self.closed or not self.parser.headers_complete:
            return False
        self.socket.settimeout(0.0)
        left = RECEIVE_BYTES
        try:
            while left > 0:
                data = self.socket.recv(left)
                left -= len(data)
                self.feed(data)
            return False
        except BlockingIOError:
            pass
        except (OSError, responses.HTTPParseError):
            return False
        # A send would fail at the first byte that the kernel has no room for.
        self.socket.settimeout(self.connect_s)
        return not self.parser.should_close()


class Connections:
    """Connection pool of one address; it never sends a request twice.

    :param address: ``ip:port``, numeric
    :param clock: a :class:`magnoliadyke.clock.Clock`
    :param settings: :class:`EndpointSettings`
    :ivar idle: open connections that can be reused
    :ivar suspect_until_s: monotonic seconds until which streams from this
        address have a shorter silence timeout, since one went silent
    """

    SUSPECT_S = 10.0

    def __init__(self, address, clock, settings):
        self.address = address
        self.clock = clock
        self.settings = settings
        self.idle = []
        self.suspect_until_s = 0.0

    def open(self):
        """Return a new connection, which shows that the address accepts.

        :raises EndpointUnreachable: when the connect fails
        """
        return Connection(self.address, self.settings.connect_s)

    def reuse_or_open(self):
        """Return a connection idle for at most ``idle_s``, or a new one."""
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
        """Keep a connection for reuse after its response was read."""
        full = len(self.idle) >= self.settings.idle_connections
        if full or connection.closed:
            connection.close()
            return
        connection.idle_since_s = self.clock.now_s()
        self.idle.append(connection)

    def mark_suspect(self):
        """Mark the connections to this address as suspect: one went silent.

        A firewall or proxy in between that dropped one connection may have
        dropped others. Idle ones are closed, so the next request opens a new
        one. Running streams get a shorter silence timeout for ``SUSPECT_S``.
        """
        self.suspect_until_s = self.clock.now_s() + self.SUSPECT_S
        self.close()

    def is_suspect(self):
        """Return whether a connection went silent within ``SUSPECT_S``."""
        return self.clock.now_s() < self.suspect_until_s

    def close(self):
        """Close the idle connections."""
        while self.idle:
            self.idle.pop().close()

    def call(self, method, path, body, headers, timeout_s, fresh=False):
        """Send one request and read its complete response.

        :param headers: pairs of name and value
        :param timeout_s: timeout of each read, in seconds
        :param fresh: use a new connection, not one that may be stale
        :return: :class:`Reply`
        :raises EndpointUnreachable: ``sent`` says whether a byte may have
            arrived
        """
        connection = self.open() if fresh else self.reuse_or_open()
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
        """Send one request and read the head of its response.

        :param headers: pairs of name and value
        :param timeout_s: timeout of each read, in seconds
        :param fresh: use a new connection, not one that may be stale
        :return: :class:`StreamReply`
        :raises EndpointUnreachable: ``sent`` says whether a byte may have
            arrived
        """
        connection = self.open() if fresh else self.reuse_or_open()
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
    """Return a document as compact JSON, in bytes."""
    return json.dumps(document, separators=(',', ':')).encode()


def build_reply(parser, body):
    """Return the :class:`Reply` of a response that was read completely."""
    names = ('content-type', 'x-outcome', 'x-request-key')
    content_type, outcome, key = (str(parser.get(n) or '') for n in names)
    return Reply(parser.status_code, content_type, body, outcome, key)


def request_bytes(method, path, address, headers, body):
    """Return an HTTP/1.1 request as bytes.

    :param headers: pairs of name and value
    :param body: bytes
    """
    lines = [f'{method} {path} HTTP/1.1', f'Host: {address}']
    lines += [f'{name}: {value}' for name, value in headers]
    if body or method not in ('GET', 'HEAD', 'DELETE'):
        lines.append(f'Content-Length: {len(body)}')
    text = '\r\n'.join(lines) + '\r\n\r\n'
    return text.encode('latin-1') + body


class ModelEndpoint(abc.ABC):
    """Client of a model engine; support for a platform implements it.

    Every method may raise :class:`magnoliadyke.errors.EndpointUnreachable`,
    whose ``sent`` says whether a byte of the request may have arrived. No
    method sends a request twice.
    """

    @abc.abstractmethod
    def prefill(self, work, headers):
        """Compute the KV cache of a prompt, which the engine keeps.

        :param work: request body as a dict
        :param headers: pairs of name and value
        :return: :class:`Reply` with the handle of the KV cache
        """

    @abc.abstractmethod
    def complete(self, work, headers, fresh):
        """Start a completion; return a :class:`StreamReply`.

        :param work: request body as a dict
        :param headers: pairs of name and value
        :param fresh: use a new connection, for a request that may not be
            repeated
        """

    @abc.abstractmethod
    def resume(self, attempt, offset):
        """Resume reading a running answer; return a :class:`StreamReply`.

        :param attempt: id with which the answer was started
        :param offset: output tokens that were read already
        """

    @abc.abstractmethod
    def cancel(self, attempt):
        """Cancel a running answer.

        :param attempt: id with which the answer was started
        """

    @abc.abstractmethod
    def export(self, attempt):
        """Stop a completion so that another engine can continue it.

        :param attempt: id with which the answer was started
        :return: handle of its KV cache as a dict, None if it does not run
        """

    @abc.abstractmethod
    def refuses_connections(self):
        """Return whether connects are refused: the engine has crashed."""

    @abc.abstractmethod
    def load(self):
        """Return the load report as a dict; it may be out of date."""

    @abc.abstractmethod
    def cache_events(self, after, wait_s):
        """Return the prefix cache events that follow a given one.

        :param after: number of the last event that was received
        :param wait_s: longest wait for a new event, in seconds
        :return: the engine's JSON document as a dict
        """

    @abc.abstractmethod
    def poll_state(self):
        """Return ``up``, ``leaving`` or ``crashed``."""


class ServiceEndpoint(abc.ABC):
    """Client of a server of a plain service."""

    @abc.abstractmethod
    def call(self, method, path, body, headers, fresh):
        """Make one call; return a :class:`Reply`.

        :param headers: pairs of name and value
        :param fresh: use a new connection, for a call that may not be
            repeated
        """

    @abc.abstractmethod
    def poll_state(self):
        """Return ``up``, ``leaving`` or ``crashed``."""


STATES = {'in': 'up', 'left': 'leaving', 'leaving': 'leaving'}


class HttpEndpoint:
    """Base of the clients of model engines and plain services over HTTP.

    :param info: :class:`magnoliadyke.core.jobs.EndpointInfo`
    """

    def __init__(self, info, clock, settings=DEFAULTS):
        self.info = info
        self.name = info.name
        self.settings = settings
        self.connections = Connections(info.address, clock, settings)

    def get_json(self, path, timeout_s):
        """Send a GET request; return its JSON response as a dict.

        :param timeout_s: timeout of each read, in seconds
        :raises EndpointUnreachable: also when the status is not 200 or the
            body is not JSON
        """
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
        """Query ``/health``; return ``up``, ``leaving`` or ``crashed``.

        An endpoint that does not respond counts as crashed.
        """
        try:
            document = self.get_json('/health', self.settings.control_s)
        except errors.EndpointUnreachable:
            return 'crashed'
        return STATES.get(document.get('state', 'in'), 'up')

    def close(self):
        """Close idle connections."""
        self.connections.close()


class HttpModelEndpoint(HttpEndpoint, ModelEndpoint):
    """Client of a model engine, over the platform's HTTP protocol."""

    def prefill(self, work, headers):
        """Compute a KV cache; the engine responds when that is done."""
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
        """Start a completion; return a :class:`StreamReply`."""
        return self.connections.stream(
            'POST',
            '/v1/completions',
            json_bytes(work),
            headers,
            self.settings.head_s,
            fresh,
        )

    def resume(self, attempt, offset):
        """Resume reading an answer, on a new connection."""
        path = f'/v1/streams/{parse.quote(attempt)}?offset={offset}'
        return self.connections.stream(
            'GET', path, b'', (), self.settings.head_s
        )

    def cancel(self, attempt):
        """Cancel a running answer on the engine."""
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
        """Return whether the engine's host refuses a connection."""
        try:
            self.connections.open().close()
        except errors.EndpointUnreachable as error:
            return isinstance(error.__cause__, ConnectionRefusedError)
        return False

    def load(self):
        """Return the load report."""
        return self.get_json('/v1/load', self.settings.control_s)

    def cache_events(self, after, wait_s):
        """Wait for prefix cache events, at most ``wait_s``."""
        path = f'/v1/cache_events?after={after}&wait_s={wait_s:g}'
        return self.get_json(path, wait_s + self.settings.control_s)


class HttpServiceEndpoint(HttpEndpoint, ServiceEndpoint):
    """Client of a server of a plain service, over HTTP."""

    def call(self, method, path, body, headers, fresh):
        """Make one call, which may take ``service_s`` in total."""
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
    """Raised when a call exceeds its timeout; it may have run."""

    def __init__(self):
        super().__init__('call timed out', sent=True)
