"""Answers of stand-ins that never end: each of their parts in turn."""

import enum
import itertools

import gevent

from magnoliadyke.gateway import caller as callers
from magnoliadyke.gateway import http
from magnoliadyke.lab import httpstandin

__all__ = ['Endless', 'EndlessStandIn', 'send']

#: Bytes that are sent at a time, so that the sender is not what limits the
#: speed.
PIECE_BYTES = 65536
#: Time after the last bytes of those that are limited, in seconds.
SILENCE_S = 60.0


class Endless(enum.Enum):
    """The part of an answer that does not end, and the bytes it consists of.

    INTERIM: answers with status 100.  EVENT: one event of a stream.
    EXTRA: bytes after a complete answer.
    """

    GARBAGE = b'\x00\xff'
    STATUS_LINE = b'OK '
    HEADER_LINES = b'a: b\r\n'
    HEADER_VALUE = b'value '
    INTERIM = b'HTTP/1.1 100 Continue\r\n\r\n'
    CHUNK_SIZE = b'0'
    CHUNK_EXTENSION = b'a=b;'
    TRAILERS = b'a:  b\r\n'
    LENGTH = b'body '
    CHUNKS = b'4\r\nbody\r\n'
    CLOSE = b' body'
    EVENT = b'data: piece\n'
    COMMENTS = b': comment\n\n'
    EXTRA = b'more'


def begin(kind: Endless, headers: http.Headers) -> bytes:
    """Return what is sent before the part that does not end."""
    lines = [b'HTTP/1.1 200 OK', *(b'%s: %s' % each for each in headers)]
    head = b'\r\n'.join(lines) + b'\r\n'
    chunked = head + b'Transfer-Encoding: chunked\r\n\r\n'
    match kind:
        case Endless.GARBAGE | Endless.INTERIM:
            return b''
        case Endless.STATUS_LINE:
            return b'HTTP/1.1 200 '
        case Endless.HEADER_LINES:
            return head
        case Endless.HEADER_VALUE:
            return head + b'a: '
        case Endless.CHUNK_SIZE | Endless.CHUNKS:
            return chunked
        case Endless.CHUNK_EXTENSION:
            return chunked + b'4;'
        case Endless.TRAILERS:
            return chunked + b'4\r\nbody\r\n0\r\n'
        case Endless.LENGTH:
            return head + b'Content-Length: %d\r\n\r\n' % 10**15
        case Endless.CLOSE:
            return head + b'\r\n'
        case Endless.EVENT | Endless.COMMENTS:
            return head + b'Content-Type: text/event-stream\r\n\r\n'
        case Endless.EXTRA:
            return head + b'Content-Length: 4\r\n\r\nbody'


def send(
    caller: callers.Caller,
    kind: Endless,
    headers: http.Headers,
    pause_s: float | None = None,
    max_bytes: int | None = None,
) -> None:
    """Send an answer until the other side closes the connection.

    :param pause_s: time between two bytes in seconds, None to send as fast as
        the other side reads
    :param max_bytes: number of bytes after which nothing more is sent, None
        without end
    :raises callers.CallerLeft: always, in the end
    """
    caller._send(begin(kind, headers))
    if pause_s is None:
        piece = kind.value * (PIECE_BYTES // len(kind.value))
        for sent in itertools.count(0, len(piece)):
            if max_bytes is not None and sent + len(piece) > max_bytes:
                gevent.sleep(SILENCE_S)
            caller._send(piece)
    while True:
        for byte in kind.value:
            caller._send(bytes([byte]))
            gevent.sleep(pause_s)


class EndlessStandIn(httpstandin.HttpStandIn):
    """Answers each request without end.

    :param kind: the part of the answer that does not end
    :ivar headers: headers of the answers
    :ivar pause_s: see :func:`send`
    :ivar open: number of answers that are being sent
    """

    def __init__(self, kind: Endless, address: str = '127.0.0.1:0') -> None:
        super().__init__(address)
        self.kind = kind
        self.headers: http.Headers = []
        self.pause_s: float | None = None
        self.open = 0

    def _serve_one(
        self, caller: callers.Caller, reader: http.RequestReader
    ) -> bool:
        httpstandin.read_request(reader)
        self.open += 1
        try:
            send(caller, self.kind, self.headers, self.pause_s)
        finally:
            self.open -= 1
        return False
