"""Caller connections: sends answers and detects disconnects."""

import contextlib
from typing import Callable
from typing import Iterator

import gevent
from gevent import socket

from magnoliadyke.gateway import http

__all__ = ['Caller', 'CallerLeft', 'HostStops', 'Interrupted']

REASONS = {
    200: b'OK',
    400: b'Bad Request',
    404: b'Not Found',
    408: b'Request Timeout',
    413: b'Content Too Large',
    431: b'Request Header Fields Too Large',
    500: b'Internal Server Error',
    502: b'Bad Gateway',
    503: b'Service Unavailable',
    504: b'Gateway Timeout',
}
#: Maximum size of a body that is sent with its head, in bytes; a larger one
#: would be copied.
INLINE_BODY_BYTES = 65536
#: Event mask of a watcher that fires when a socket is readable: bytes or the
#: end of the connection have arrived.
READ = 1


class Interrupted(Exception):
    """Raised in a request's greenlet to abort the request."""


class CallerLeft(Interrupted):
    """The caller closed its connection while its request was in flight."""


class HostStops(Interrupted):
    """This host stops while a request is in flight."""


class Caller:
    """One caller's connection.

    :param is_peer: whether it is another host that passes requests on
    :ivar closing: whether the connection is closed after the next answer
    :ivar close_announced: whether an answer had ``Connection: close``
    :ivar answer_started: whether bytes of an answer to the current request
        have been sent
    :ivar streaming: whether a chunked answer has started and is not complete
    :ivar broken: whether the connection can carry no further answer
    :ivar greenlet: greenlet that serves the current request and can be
        interrupted
    """

    def __init__(self, sock: socket.socket, is_peer: bool = False) -> None:
        self.sock = sock
        self.is_peer = is_peer
        self.closing = False
        self.close_announced = False
        self.answer_started = False
        self.streaming = False
        self.broken = False
        self.greenlet: gevent.Greenlet | None = None

    # Disconnects and interrupts.

    @contextlib.contextmanager
    def watch_disconnect(self) -> Iterator[None]:
        """Raise :class:`CallerLeft` in the block when the caller disconnects.

        :meth:`interrupt` raises :class:`HostStops` in the block.

        The connection is not read while a request is in flight, so without
        this watch a disconnect would go unnoticed and the endpoint would go
        on generating an answer that is never delivered. The watch ends when
        bytes of a further request arrive: a disconnect behind them can't be
        detected without consuming them.
        """
        self.greenlet = gevent.getcurrent()
        loop = gevent.get_hub().loop
        watcher = loop.io(self.sock.fileno(), READ)

        def readable() -> None:
            watcher.stop()
            if not self._has_disconnected():
                return
            self._throw(CallerLeft())

        watcher.start(readable)
        try:
            yield
        finally:
            self.greenlet = None
            watcher.stop()
            watcher.close()

    def interrupt(self, condition: Callable[[], bool] | None = None) -> None:
        """Raise :class:`HostStops` in the greenlet that serves a request.

        It is raised in the next turn of the loop, before which that greenlet
        may run.

        :param condition: whether it is to be raised, asked in that turn; it
            is in any case if None
        """
        gevent.get_hub().loop.run_callback(self._interrupt, condition)

    def _interrupt(self, condition: Callable[[], bool] | None) -> None:
        if condition is None or condition():
            self._throw(HostStops())

    def _throw(self, error: Interrupted) -> None:
        # Runs in the event loop, like the timer of a gevent.Timeout.
        greenlet, self.greenlet = self.greenlet, None
        if greenlet is not None:
            greenlet.throw(error)

    def _has_disconnected(self) -> bool:
        try:
            data = self.sock._sock.recv(
                1, socket.MSG_PEEK | socket.MSG_DONTWAIT
            )
        except BlockingIOError:
            return False
        except OSError:
            return True
        return not data

    # Sending answers to the caller.

    def answer(self, status: int, headers: http.Headers, body: bytes) -> None:
        """Send a complete answer.

        :raises CallerLeft: the answer can't be delivered
        """
        lines = [b'HTTP/1.1 %d %s' % (status, REASONS.get(status, b'Status'))]
        lines += [b'%s: %s' % header for header in headers]
        if status not in (204, 304):
            lines.append(b'Content-Length: %d' % len(body))
        if self.closing:
            self.close_announced = True
            lines.append(b'Connection: close')
        head = b'\r\n'.join(lines) + b'\r\n\r\n'
        if len(body) <= INLINE_BODY_BYTES:
            self._send(head + body)
            return
        self._send(head)
        self._send(body)

    def start_stream(self, status: int, headers: http.Headers) -> None:
        """Send the head of a chunked answer.

        :raises CallerLeft: the head can't be delivered
        """
        lines = [b'HTTP/1.1 %d %s' % (status, REASONS.get(status, b'Status'))]
        lines += [b'%s: %s' % header for header in headers]
        lines.append(b'Transfer-Encoding: chunked')
        if self.closing:
            self.close_announced = True
            lines.append(b'Connection: close')
        self.streaming = True
        self._send(b'\r\n'.join(lines) + b'\r\n\r\n')

    def chunk(self, data: bytes) -> None:
        """Send one chunk of a stream."""
        self._send(b'%x\r\n%s\r\n' % (len(data), data))

    def end_stream(self) -> None:
        """Send the last chunk, which marks the stream as complete."""
        self.streaming = False
        self._send(b'0\r\n\r\n')

    def _send(self, data: bytes) -> None:
        self.answer_started = True
        try:
            self.sock.sendall(data)
        except OSError as error:
            self.broken = True
            raise CallerLeft() from error
