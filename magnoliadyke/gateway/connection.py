"""One kept connection to an HTTP server, for one request at a time."""

from typing import NamedTuple

import gevent
from gevent import socket

from magnoliadyke.gateway import http

__all__ = ['Answer', 'Connection', 'request_bytes']

#: Bodies up to this size are sent before the answer is looked at: they fit
#: the socket's buffer, so that sending can't block on a server that answers
#: before it has read them.
INLINE_BODY_BYTES = 65536


class Answer(NamedTuple):
    """A whole answer."""

    head: http.Head
    body: bytes


def request_bytes(
    method: bytes, target: bytes, headers: http.Headers, body: bytes
) -> bytes:
    """A request's head, with the body's length if it has one."""
    lines = [b'%s %s HTTP/1.1' % (method, target)]
    lines += [b'%s: %s' % header for header in headers]
    if body or method not in (b'GET', b'HEAD', b'DELETE'):
        lines.append(b'Content-Length: %d' % len(body))
    return b'\r\n'.join(lines) + b'\r\n\r\n'


class Connection:
    """An open connection.

    :param address: numeric ``ip:port``
    :param timeout_s: longest time to connect
    :ivar sent: bytes of the present request may have left
    :ivar used_s: set by the pool when the connection was last given back
    :raises OSError: it could not be opened
    """

    def __init__(self, address: str, timeout_s: float) -> None:
        self.address = address
        self.sock: socket.socket = http.connect(address, timeout_s)
        self.reader = http.AnswerReader(self.sock)
        self.sent = False
        self.last_used_s = 0.0
        self.kept = False
        self.idle_limit_s: float | None = None
        self._reusable = False
        self._complete = False
        self._sender: gevent.Greenlet | None = None

    def send(
        self,
        method: bytes,
        target: bytes,
        headers: http.Headers,
        body: bytes = b'',
    ) -> None:
        """Send a request.

        :raises OSError: the connection broke; bytes may have left
        """
        self._complete = False
        self._reusable = False
        self.sent = True
        data = request_bytes(method, target, headers, body)
        if len(body) <= INLINE_BODY_BYTES:
            self.sock.sendall(data + body)
            return
        self.sock.sendall(data)
        self._sender = gevent.spawn(self._send_rest, body)

    def _send_rest(self, body: bytes) -> bool:
        try:
            self.sock.sendall(body)
        except OSError:
            # The reader sees the same end of the connection and reports it.
            return False
        return True

    def head(self) -> http.Head:
        """Wait for the answer's head; interim answers are skipped.

        :raises http.BrokenMessage: the bytes are no answer
        :raises http.PeerClosed: the connection ended before it
        """
        while True:
            part = self.reader.next_part()
            match part:
                case http.Head() if part.status >= 200:
                    self._reusable = part.reusable
                    return part

    def part(self) -> http.Body | http.End:
        """Wait for the next part of the answer's body."""
        part = self.reader.next_part()
        if isinstance(part, http.End):
            self._complete = True
        return part

    def body(self) -> bytes:
        """Wait for the rest of the answer."""
        pieces = []
        while True:
            match self.part():
                case http.Body(data):
                    pieces.append(data)
                case http.End():
                    return b''.join(pieces)

    def call(
        self,
        method: bytes,
        target: bytes,
        headers: http.Headers,
        body: bytes = b'',
    ) -> Answer:
        """Send a request and read its whole answer."""
        self.send(method, target, headers, body)
        head = self.head()
        return Answer(head, self.body())

    @property
    def reusable(self) -> bool:
        """Another request may be sent on this connection.

        A server may answer before it has read a long body; the rest of the
        body would then be where it expects the next request.  Bytes after
        the answer belong to no request, so such a connection is not used
        again either.
        """
        if not (self._complete and self._reusable):
            return False
        if self._sender is not None:
            if not self._sender.ready() or not self._sender.value:
                return False
            self._sender = None
        return self.reader.between_messages and self.reader.error is None

    def is_quiet(self) -> bool:
        """Whether nothing has arrived since the last answer."""
        return http.is_quiet(self.sock)

    def close(self) -> None:
        """Close the connection; a request under way is abandoned."""
        if self._sender is not None:
            self._sender.kill(block=False)
        http.drop(self.sock)
