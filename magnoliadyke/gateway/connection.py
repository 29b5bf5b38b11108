"""A persistent HTTP/1.1 client connection, for one request at a time."""

import itertools
from typing import Callable
from typing import NamedTuple

import gevent
from gevent import socket

from magnoliadyke.core import answerend
from magnoliadyke.core import heldbodies
from magnoliadyke.gateway import http
from magnoliadyke.gateway import transport

__all__ = ['Answer', 'Connection', 'request_bytes']

#: Bodies up to this size are sent before the response is read: they fit into
#: the socket's buffer, so that sending does not block if a server responds
#: before it has read the body.
INLINE_BODY_BYTES = 65536
#: Maximum size of the body of the response to a :meth:`Connection.call`, in
#: bytes: those are reports and results, not what callers are given.
MAX_CALL_BODY_BYTES = 1 << 20
#: Maximum number of bytes from the start of an answer to the end of the line
#: with its id, where the answer is looked for in the body of another.
MAX_LINES_TO_ID_BYTES = 8192
#: Number of requests after which a connection is closed, which bounds the ids
#: that it keeps.
MAX_REQUESTS = 1000

_numbers = itertools.count(1)


class Answer(NamedTuple):
    """A complete response."""

    head: http.Head
    body: bytes


def request_bytes(
    method: bytes, target: bytes, headers: http.Headers, body: bytes
) -> bytes:
    """Return the encoded request line and headers of a request.

    Content-Length is added if there is a body, or if the method usually has
    one.
    """
    lines = [b'%s %s HTTP/1.1' % (method, target)]
    lines += [b'%s: %s' % header for header in headers]
    if body or method not in (b'GET', b'HEAD', b'DELETE'):
        lines.append(b'Content-Length: %d' % len(body))
    return b'\r\n'.join(lines) + b'\r\n\r\n'


class Connection:
    """An open connection to a server.

    :param address: numeric ``ip:port``
    :param timeout_s: time limit for connecting, in seconds
    :ivar number: its number among the connections of this process
    :ivar sent: whether bytes of the current request may have been sent
    :ivar sends: number of requests sent on it
    :ivar opened_s: when its owner opened it, in monotonic seconds
    :ivar sent_s: when the owner sent the current request, in monotonic
        seconds
    :ivar last_used_s: when the owner last got the connection back after a
        request, in monotonic seconds
    :ivar length: Content-Length of the current answer in bytes, None without
        one or before its head
    :ivar framing: framing of the current answer, None before its head
    :ivar ended_by_close: whether the end of the connection is all that marked
        the end of the current answer
    :ivar undelivered: number of bytes of the current request that the server
        had not acknowledged when its answer ended with the connection
    :ivar last_request_id: id of the last request that was to be sent on it,
        empty without one
    :ivar idle_limit_s: idle time after which the server closes the connection,
        in seconds; None if the server did not send it
    :raises OSError: the connection failed or timed out
    """

    def __init__(self, address: str, timeout_s: float) -> None:
        self.address = address
        self.number = next(_numbers)
        self.sock = transport.Transport(http.connect(address, timeout_s))
        self.reader = http.AnswerReader(self.sock)
        self.sent = False
        self.sends = 0
        self.opened_s = 0.0
        self.sent_s = 0.0
        self.last_used_s = 0.0
        self.idle_limit_s: float | None = None
        self.length: int | None = None
        self.framing: answerend.Framing | None = None
        self.ended_by_close = False
        self.undelivered = 0
        self._has_body = False
        self._reusable = False
        self._complete = False
        self._sender: gevent.Greenlet | None = None
        self.last_request_id = b''
        self._request_ids: set[int] = set()

    def record_request(self, request_id: bytes) -> None:
        """Record the id of a request that is to be sent."""
        self.last_request_id = request_id
        self._request_ids.add(hash(request_id))

    def has_carried(self, request_id: bytes) -> bool:
        """Return whether a request with this id was to be sent here.

        A late copy of its answer could not be told from the answer to another
        request with the id.
        """
        return hash(request_id) in self._request_ids

    def send(
        self,
        method: bytes,
        target: bytes,
        headers: http.Headers,
        body: bytes = b'',
    ) -> None:
        """Send a request; a large body is sent in the background.

        :raises OSError: the connection failed; the server may have received
            part of the request
        """
        self._begin_answer()
        self.sent = True
        self.sends += 1
        data = request_bytes(method, target, headers, body)
        if len(body) <= INLINE_BODY_BYTES:
            self.sock.sendall(data + body)
            return
        self.sock.sendall(data)
        self._sender = self.sock.send_in_background(body)

    def _begin_answer(self) -> None:
        self._complete = False
        self._reusable = False
        self.length = None
        self.framing = None
        self.ended_by_close = False
        self.undelivered = 0
        self._has_body = False

    def drop_answer(self) -> None:
        """Discard the answer whose head was read, to wait for the next one.

        :raises http.BrokenMessage: the answer was broken off, and the next
            one was read as the rest of its body
        :raises http.PeerClosed: the answer was broken off
        """
        mark = b'%s\r\n' % self.last_request_id
        tail = b''
        while not isinstance(part := self.part(), http.MessageEnd):
            tail = tail[-MAX_LINES_TO_ID_BYTES:] + part.data
            if http.holds_answer(tail, mark):
                raise http.BrokenMessage(
                    'late copy: broken off, the next answer follows it'
                )
        self._begin_answer()

    def head(self) -> http.Head:
        """Wait for the final response's head; skip interim responses.

        :raises http.BrokenMessage: the received bytes are not valid HTTP
        :raises http.PeerClosed: the connection ended before the head
        """
        while True:
            part = self.reader.next_part()
            match part:
                case http.Head(is_interim=False):
                    self._reusable = part.reusable
                    self.length = part.length
                    self.framing = part.framing
                    return part

    def part(self) -> http.Body | http.MessageEnd:
        """Wait for the next part of the response's body.

        :raises http.PeerClosed: the response was broken off
        """
        part = self.reader.next_part()
        match part:
            case http.Body():
                self._has_body = True
            case http.MessageEnd(by_close=True):
                self.undelivered = self.sock.undelivered()
                self._check_close()
                self._complete = self.ended_by_close = True
            case http.MessageEnd():
                self._complete = True
        return part

    def _check_close(self) -> None:
        """Check that an orderly close may be the end of the response.

        :raises http.PeerClosed: it is not
        """
        ended = answerend.AnswerEnd(
            self.framing,
            answerend.End.CLOSED,
            is_empty=not self._has_body,
            is_undelivered=self.undelivered > 0,
        )
        reason = answerend.break_reason(ended)
        if reason is not None:
            raise http.PeerClosed(reason, orderly=True)

    def body(
        self,
        held: heldbodies.HeldBody,
        next_part: Callable[[], http.Part] | None = None,
    ) -> bytes:
        """Wait for the rest of the response's body and return it.

        :param held: where it is held; to be released by the caller
        :param next_part: waits for a part in place of :meth:`part`
        :raises http.BrokenMessage: the body is too large
        :raises http.PeerClosed: the response was broken off
        """
        if self.length is not None:
            held.expect(self.length)
        try:
            while not held.given_up:
                match (next_part or self.part)():
                    case http.Body(data):
                        held.add(data)
                    case http.MessageEnd() if not held.given_up:
                        return held.complete()
            raise http.BrokenMessage(held.given_up)
        except BaseException:
            held.release()
            raise

    def call(
        self,
        method: bytes,
        target: bytes,
        headers: http.Headers,
        body: bytes = b'',
    ) -> Answer:
        """Send a request and wait for its complete response."""
        self.send(method, target, headers, body)
        head = self.head()
        bodies = heldbodies.HeldBodies(MAX_CALL_BODY_BYTES)
        return Answer(head, self.body(bodies.begin()))

    @property
    def reusable(self) -> bool:
        """Whether another request may be sent on this connection.

        It may not while a body is still being sent: a server may respond
        before it has read the body, and would parse the rest of it as the
        next request.  Bytes received after the response belong to no request,
        so they also rule out reuse.
        """
        if not (self._complete and self._reusable):
            return False
        if self.sends >= MAX_REQUESTS:
            return False
        if self._sender is not None:
            if not self._sender.ready() or not self._sender.value:
                return False
            self._sender = None
        return self.reader.between_messages and self.reader.error is None

    def is_quiet(self) -> bool:
        """Whether the idle connection is open and has no unread bytes."""
        return self.sock.is_quiet()

    def has_unread_bytes(self) -> bool:
        """Whether the server has sent bytes that are not read yet."""
        return self.sock.has_unread_bytes()

    def sends_within(self, wait_s: float) -> bool:
        """Return whether the server sends something within a time."""
        with gevent.Timeout(wait_s, False):
            socket.wait_read(self.sock.fileno())
        return self.has_unread_bytes()

    def close(self) -> None:
        """Close the connection and abandon a request in flight."""
        if self._sender is not None:
            self._sender.kill(block=False)
        http.drop(self.sock)
