"""Messages of HTTP/1.1 read from a socket, one at a time, by a library."""

import collections
import dataclasses
from typing import NamedTuple

from gevent import socket
import httptools

from magnoliadyke import errors

__all__ = [
    'AnswerReader',
    'Body',
    'BrokenMessage',
    'End',
    'Head',
    'Headers',
    'OutOfTime',
    'PeerClosed',
    'RequestReader',
    'connect',
    'drop',
    'is_quiet',
]

READ_BYTES = 65536
#: Idle seconds after which the kernel asks whether the peer is there, the
#: seconds between such questions, and how many go unanswered: a connection
#: that something between the ends has forgotten ends within three seconds,
#: inside the shortest time in which hosts have to notice (3 s).
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
#: Sent bytes that are not acknowledged for this long end the connection; in
#: milliseconds, above the second that a lost opening packet costs.
USER_TIMEOUT_MS = 3000

Headers = list[tuple[bytes, bytes]]


class BrokenMessage(errors.MagnoliadykeError):
    """The bytes are no message of the protocol."""


class OutOfTime(Exception):
    """Raised by a time limit.

    No kind of OSError, so that no handler of broken connections mistakes it
    for one.
    """


class PeerClosed(errors.MagnoliadykeError):
    """The connection ended.

    :param orderly: the peer closed it, with nothing cut off by a reset
    """

    def __init__(self, message: str, orderly: bool) -> None:
        self.orderly = orderly
        super().__init__(message)


@dataclasses.dataclass(slots=True)
class Head:
    """Start of a message.

    :param method: of a request, else empty
    :param target: of a request, else empty
    :param status: of an answer, else 0
    :param length: bytes of the body as declared, None if not declared
    :param chunked: the body comes in chunks
    :param reusable: the connection may carry another message after this
    """

    method: bytes
    target: bytes
    status: int
    headers: Headers
    length: int | None
    chunked: bool
    reusable: bool
    http_1_0: bool = False

    def values(self, name: bytes) -> list[bytes]:
        """All values of a header.

        :param name: in lower case
        """
        return [v for k, v in self.headers if k.lower() == name]

    def value(self, name: bytes) -> bytes | None:
        """First value of a header, None without one."""
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return None


class Body(NamedTuple):
    """Part of a body."""

    data: bytes


class End(NamedTuple):
    """The message is complete."""


Part = Head | Body | End


class _Reader:
    """What both directions share: the socket, the parser and its parts."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.parts: collections.deque[Part] = collections.deque()
        self.headers: Headers = []
        self.header_bytes = 0
        self.target = b''
        self.error: BrokenMessage | None = None
        self.parser = self._new_parser()

    def _new_parser(self):
        raise NotImplementedError

    # Called by the parser.

    def on_message_begin(self) -> None:
        self.headers = []
        self.target = b''

    def on_url(self, target: bytes) -> None:
        self.target += target

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers.append((name, value))

    def on_headers_complete(self) -> None:
        self.parts.append(self._head())

    def on_body(self, data: bytes) -> None:
        self.parts.append(Body(data))

    def on_message_complete(self) -> None:
        self.header_bytes = 0
        self.parts.append(End())

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

    # Called by the owner.

    @property
    def between_messages(self) -> bool:
        """Nothing of a further message has been parsed."""
        return not self.parts

    def next_part(self) -> Part:
        """Wait for the next part.

        :raises BrokenMessage: bytes that are no message
        :raises PeerClosed: the connection ended
        """
        while not self.parts:
            self.check()
            self.wait_for_bytes()
        return self.parts.popleft()

    def check(self) -> None:
        """Say what is wrong with the bytes that came last.

        :raises BrokenMessage: they are no message
        """
        if self.error is not None:
            raise self.error

    def wait_for_bytes(self) -> None:
        """Wait for bytes and parse them.

        :raises PeerClosed: the connection ended
        """
        try:
            data = self.sock.recv(READ_BYTES)
        except OSError as error:
            raise PeerClosed(f'reset: {error}', orderly=False) from error
        if not data:
            self._closed()
            return
        self.feed(data)

    def feed(self, data: bytes) -> None:
        """Parse bytes; what is wrong shows once the parts before are used."""
        self.header_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            self.error = BrokenMessage(f'upgrade refused: {error}')
        except httptools.HttpParserError as error:
            self.error = BrokenMessage(f'no HTTP message: {error}')

    def _closed(self) -> None:
        raise PeerClosed('closed by the peer', orderly=True)


class RequestReader(_Reader):
    """Requests from one caller's connection."""

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
    """Answers on one connection to an endpoint.

    An answer that declares no length ends with its connection; it is only
    complete if the peer closed it, not if it was reset on the way.
    """

    def __init__(self, sock: socket.socket) -> None:
        self.until_close = False
        super().__init__(sock)

    def _new_parser(self):
        return httptools.HttpResponseParser(self)

    def _head(self) -> Head:
        length, chunked = self._framing()
        status = self.parser.get_status_code()
        bodiless = status in (204, 304) or status < 200
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

    def _closed(self) -> None:
        if not self.until_close:
            super()._closed()
        self.until_close = False
        self.parts.append(End())


def connect(address: str, timeout_s: float) -> socket.socket:
    """Open a connection.

    :param address: numeric ``ip:port``
    :raises OSError: it could not be opened in time
    """
    host, _, port = address.rpartition(':')
    sock = socket.create_connection((host, int(port)), timeout_s)
    sock.settimeout(None)
    set_socket_options(sock)
    return sock


def set_socket_options(sock: socket.socket) -> None:
    """Make a silent connection end by itself, and send without delay."""
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


def is_quiet(sock: socket.socket) -> bool:
    """Whether nothing, not even an end, has arrived on an idle socket."""
    try:
        # gevent's sockets are non-blocking underneath; the base class's
        # recv is asked so that no greenlet switches here.
        sock._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False


def drop(sock: socket.socket) -> None:
    """Close a socket, whatever state it is in."""
    try:
        sock.close()
    except OSError:
        # Closing can only fail for a socket that is gone already.
        return
