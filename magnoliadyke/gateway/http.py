"""Readers of HTTP/1.1 requests and responses, and socket helpers."""

import collections
import dataclasses
import errno
import itertools
import re
from typing import NamedTuple

import gevent
from gevent import socket
import httptools

from magnoliadyke.core import answerend
from magnoliadyke import errors
from magnoliadyke.gateway import fields

__all__ = [
    'AnswerReader',
    'Body',
    'BrokenMessage',
    'MessageEnd',
    'Head',
    'Headers',
    'OutOfTime',
    'PeerClosed',
    'RequestReader',
    'connect',
    'drop',
    'holds_answer',
]

READ_BYTES = 65536
#: Maximum number of bytes from the start of a message to the end of its head,
#: with the interim answers before it, and between two pieces of its body or
#: after the last one, where chunk lines and trailers are.  One read may go
#: beyond it.
MAX_FRAMING_BYTES = 65536
#: Maximum number of headers of a message, with its trailers.
MAX_HEADERS = 1000
#: Maximum number of interim answers before a final one: many of them fit into
#: one read, and take much more memory than their bytes.
MAX_INTERIM_ANSWERS = 100
#: Range of the statuses that have a meaning (RFC 9110, section 15).
MIN_STATUS = 100
MAX_STATUS = 599
#: Begin of a response.
HTTP = b'HTTP/'
#: Status line of a response.
STATUS_LINE = re.compile(rb'HTTP/\d\.\d +\d{3}(?!\d)')
#: TCP keepalive: seconds until the first probe, seconds between probes, and
#: unanswered probes after which the kernel ends the connection.  A connection
#: whose state a middlebox has dropped ends within 3 s, the shortest time in
#: which hosts have to detect a failure.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
#: The kernel ends a connection whose sent bytes stay unacknowledged for this
#: long; above the 1 s that a lost SYN costs.
USER_TIMEOUT_MS = 3000

Headers = list[tuple[bytes, bytes]]


class BrokenMessage(errors.MagnoliadykeError):
    """The received bytes are not a valid HTTP/1.1 message."""


class OutOfTime(Exception):
    """A time limit expired.

    Not an OSError, so that handlers of connection errors do not catch it.
    """


class PeerClosed(errors.MagnoliadykeError):
    """The connection ended before the message was complete.

    :param orderly: whether the peer closed the connection, without a reset
    """

    def __init__(self, message: str, orderly: bool) -> None:
        self.orderly = orderly
        super().__init__(message)


@dataclasses.dataclass(slots=True)
class Head:
    """Start line and headers of a message.

    :param method: method of a request; empty for a response
    :param target: target of a request; empty for a response
    :param status: status of a response; 0 for a request
    :param length: value of Content-Length in bytes, None without that header
    :param chunked: whether the message has a Transfer-Encoding
    :param reusable: whether the connection may be used again afterwards
    :param http_1_0: whether a request is of HTTP/1.0
    """

    method: bytes
    target: bytes
    status: int
    headers: Headers
    length: int | None
    chunked: bool
    reusable: bool
    http_1_0: bool = False

    @property
    def is_interim(self) -> bool:
        """Whether it is of a response that another one follows."""
        return not self.method and self.status < 200

    @property
    def framing(self) -> answerend.Framing:
        """What marks the end of the message."""
        if self.chunked:
            return answerend.Framing.CHUNKED
        if self.length is not None:
            return answerend.Framing.LENGTH
        return answerend.Framing.CLOSE

    def values(self, name: bytes) -> list[bytes]:
        """Return all values of a header.

        :param name: name of the header in lower case
        """
        return [v for k, v in self.headers if k.lower() == name]

    def value(self, name: bytes) -> bytes | None:
        """Return the first value of a header, None if it is absent.

        :param name: name of the header in lower case
        """
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return None


class Body(NamedTuple):
    """A piece of a message's body."""

    data: bytes


class MessageEnd(NamedTuple):
    """Marks the end of a message.

    :param by_close: whether the end of the connection is all that marks it
    """

    by_close: bool = False


Part = Head | Body | MessageEnd


class _Reader:
    """Parses messages from a socket into a queue of parts.

    :ivar parts: parsed parts that the owner has not taken yet
    :ivar pieces: pieces of the body that were parsed since the last part
    :ivar header_bytes: bytes parsed since the end of the last message
    :ivar framing_bytes: bytes parsed since the last head, piece of a body or
        end of a message
    :ivar max_framing_bytes: maximum of these
    :ivar in_head: whether a head is expected, or partly parsed
    :ivar unyielded_bytes: bytes read since other greenlets could run
    :ivar error: raised once the parts parsed before the error are taken
    """

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.parts: collections.deque[Part] = collections.deque()
        self.pieces: list[bytes] = []
        self.headers: Headers = []
        self.header_bytes = 0
        self.framing_bytes = 0
        self.max_framing_bytes = MAX_FRAMING_BYTES
        self.in_head = True
        self.unyielded_bytes = 0
        self.target = b''
        self.error: BrokenMessage | None = None
        self.parser = self._new_parser()

    def _new_parser(self):
        raise NotImplementedError

    # Callbacks of httptools.

    def on_message_begin(self) -> None:
        self.headers = []
        self.target = b''

    def on_url(self, target: bytes) -> None:
        self.target += target

    def on_header(self, name: bytes, value: bytes) -> None:
        if len(self.headers) == MAX_HEADERS:
            raise BrokenMessage(
                f'headers: expected {MAX_HEADERS} at most, got more'
            )
        self.headers.append((name, value))

    def on_headers_complete(self) -> None:
        head = self._head()
        self.parts.append(head)
        # The final head still has to follow an interim one.
        self.in_head = head.is_interim
        if not self.in_head:
            self.framing_bytes = 0

    def on_body(self, data: bytes) -> None:
        self.framing_bytes = 0
        self.pieces.append(data)

    def on_message_complete(self) -> None:
        self.header_bytes = 0
        if not self.in_head:
            self.framing_bytes = 0
            self.in_head = True
        self._join_pieces()
        self.parts.append(MessageEnd())

    def _join_pieces(self) -> None:
        """Queue the pieces of the body as one part: chunks may be tiny."""
        if self.pieces:
            self.parts.append(Body(b''.join(self.pieces)))
            self.pieces = []

    def _head(self) -> Head:
        raise NotImplementedError

    def _framing(self) -> tuple[int | None, bool]:
        length = None
        chunked = False
        for name, value in self.headers:
            lowered = name.lower()
            if lowered == b'content-length':
                length = int(value)
            elif lowered == b'transfer-encoding':
                chunked = True
        return length, chunked

    # Interface for the connection that owns the reader.

    @property
    def between_messages(self) -> bool:
        """Whether no part is queued: nothing follows the last message."""
        return not self.parts

    def next_part(self) -> Part:
        """Return the next part of a message: head, body piece or end.

        Reads from the socket as needed.

        :raises BrokenMessage: the received bytes are not a valid message
        :raises PeerClosed: the connection ended
        """
        while not self.parts:
            self.check()
            self.wait_for_bytes()
        return self.parts.popleft()

    def check(self) -> None:
        """Raise the parser's error, if it found one.

        :raises BrokenMessage: the received bytes are not a valid message
        """
        if self.error is not None:
            raise self.error

    def wait_for_bytes(self) -> None:
        """Receive bytes from the socket and parse them.

        :raises PeerClosed: the connection ended
        """
        try:
            data = self.sock.recv(READ_BYTES)
        except OSError as error:
            raise PeerClosed(
                f'connection failed: {error}', orderly=False
            ) from error
        if not data:
            self._closed()
            return
        self.feed(data)
        # A socket that has bytes at any time would not let others run, nor
        # time limits expire.
        self.unyielded_bytes += len(data)
        if self.unyielded_bytes >= READ_BYTES:
            self.unyielded_bytes = 0
            gevent.sleep(0)

    def feed(self, data: bytes) -> None:
        """Parse bytes and queue their parts.

        A parser error is stored for :meth:`check`, so that the parts before
        it can still be taken.
        """
        self.header_bytes += len(data)
        self.framing_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            self.error = BrokenMessage(f'HTTP upgrade not supported: {error}')
        except httptools.HttpParserError as error:
            cause = error.__context__
            if not isinstance(cause, BrokenMessage):
                cause = BrokenMessage(f'invalid HTTP message: {error}')
            self.error = cause
        self._join_pieces()
        if self.error is None and self.framing_bytes > self.max_framing_bytes:
            part = 'head' if self.in_head else 'chunk line or trailers'
            self.error = BrokenMessage(
                f'{part}: expected the end within {self.max_framing_bytes} '
                f'bytes, got {self.framing_bytes} without it'
            )

    def _closed(self) -> None:
        raise PeerClosed('the peer closed the connection', orderly=True)


class RequestReader(_Reader):
    """Reads requests from a caller's connection.

    :ivar message_started: whether a request is partly parsed
    """

    def __init__(self, sock: socket.socket) -> None:
        self.message_started = False
        super().__init__(sock)

    def _new_parser(self):
        return httptools.HttpRequestParser(self)

    def on_message_begin(self) -> None:
        super().on_message_begin()
        self.message_started = True

    def on_message_complete(self) -> None:
        super().on_message_complete()
        self.message_started = False

    def _head(self) -> Head:
        length, chunked = self._framing()
        version = self.parser.get_http_version()
        return Head(
            self.parser.get_method(),
            self.target,
            0,
            self.headers,
            length,
            chunked,
            self.parser.should_keep_alive(),
            version == '1.0',
        )


class AnswerReader(_Reader):
    """Reads responses from a connection to a server.

    A response with neither a length nor chunks ends where the peer closes the
    connection; after a reset it is incomplete.

    :ivar until_close: whether the current response ends with the connection
    :ivar interim_answers: number of them since the last final response
    :ivar reason: reason of the head that is parsed
    """

    def __init__(self, sock: socket.socket) -> None:
        self.until_close = False
        self.interim_answers = 0
        self.reason = b''
        super().__init__(sock)

    def _new_parser(self):
        return httptools.HttpResponseParser(self)

    def on_status(self, reason: bytes) -> None:
        self.reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        super().on_header(name, value)
        self._check_one_head(value)

    def feed(self, data: bytes) -> None:
        """Parse bytes and queue their parts.

        A message that is cut short takes its last bytes from the one after it,
        whose rest is then invalid. Such a message is not queued.
        """
        queued = len(self.parts)
        super().feed(data)
        if self.error is None:
            return
        new = list(itertools.islice(self.parts, queued, None))
        heads = sum(isinstance(part, Head) for part in new)
        has_ended = any(isinstance(part, MessageEnd) for part in new)
        has_other_head = data.count(HTTP) > heads or HTTP.startswith(data)
        if has_ended and has_other_head:
            for _ in new:
                self.parts.pop()

    def _check_one_head(self, value: bytes) -> None:
        """Check that no second head begins inside the head.

        Without the end of a line between them, the parser joins them.

        :param value: reason or value of a header
        :raises BrokenMessage: one does
        """
        if HTTP in value and STATUS_LINE.search(value):
            raise BrokenMessage('head: broken off, another one follows it')

    def _head(self) -> Head:
        self._check_one_head(self.reason)
        self.reason = b''
        length, chunked = self._framing()
        status = self.parser.get_status_code()
        if not MIN_STATUS <= status <= MAX_STATUS:
            raise BrokenMessage(
                f'status: expected {MIN_STATUS} to {MAX_STATUS}, '
                f'got {status:03}'
            )
        self._count_interim(status)
        bodiless = status in (204, 304) or status < 200
        if bodiless and status != 304 and (length or chunked):
            raise BrokenMessage(
                f'status {status}: expected no body, got a length or chunks'
            )
        self.until_close = length is None and not chunked and not bodiless
        return Head(
            b'',
            b'',
            status,
            self.headers,
            length,
            chunked,
            self.parser.should_keep_alive() and not self.until_close,
        )

    def _count_interim(self, status: int) -> None:
        """Check that a final response comes in time.

        :raises BrokenMessage: it does not
        """
        if status >= 200:
            self.interim_answers = 0
            return
        self.interim_answers += 1
        if self.interim_answers > MAX_INTERIM_ANSWERS:
            raise BrokenMessage(
                f'interim answers: expected {MAX_INTERIM_ANSWERS} at most, '
                f'got more'
            )

    def _closed(self) -> None:
        if not self.until_close:
            super()._closed()
        self.until_close = False
        self.parts.append(MessageEnd(by_close=True))


def holds_answer(body: bytes, mark: bytes) -> bool:
    """Whether another response begins inside a body, or a part of it.

    :param mark: bytes that only responses to this request have
    """
    if b'HTTP/' not in body:
        return False
    begins = STATUS_LINE.search(body)
    return begins is not None and body.find(mark, begins.end()) >= 0


def connect(address: str, timeout_s: float) -> socket.socket:
    """Open a TCP connection.

    :param address: numeric ``ip:port``
    :param timeout_s: time limit for connecting, in seconds
    :raises OSError: the address is no ``ip:port``, or the connection failed
        or timed out
    """
    host, _, port = address.rpartition(':')
    try:
        number = int(port)
        # Resolvers take a larger port modulo 65536.
        if not fields.is_ip(host) or not 0 < number <= fields.MAX_PORT:
            raise ValueError('not numeric, or out of range')
        sock = socket.create_connection((host, number), timeout_s)
    except ValueError as error:
        raise OSError(
            errno.EINVAL, f'expected ip:port, got {address!r:.80}: {error}'
        ) from error
    sock.settimeout(None)
    set_socket_options(sock)
    return sock


def set_socket_options(sock: socket.socket) -> None:
    """Disable Nagle's algorithm and enable detection of dead peers."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S
    )
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
    )


def drop(sock: socket.socket) -> None:
    """Close a socket and ignore errors."""
    try:
        sock.close()
    except OSError:
        # close() fails only if the connection has already ended.
        return
