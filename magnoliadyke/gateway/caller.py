"""A caller's connection: answers to it, and word that the caller left."""

import contextlib
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
#: An event-loop watcher of this kind fires when bytes or an end arrive.
READ = 1


class Interrupted(Exception):
    """Nothing more is to be done for a request that is under way."""


class CallerLeft(Interrupted):
    """The caller closed its connection while its request was under way."""


class HostStops(Interrupted):
    """This process ends while a request is under way."""


class Caller:
    """One caller's connection.

    :ivar closing: the connection ends with the next answer
    :ivar told: the caller knows from an answer that it ends
    :ivar begun: bytes of an answer to the present request have been sent
    :ivar serving: who serves the present request and can be interrupted
    """

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.closing = False
        self.close_announced = False
        self.answer_begun = False
        self.streaming = False
        self.broken = False
        self.greenlet: gevent.Greenlet | None = None

    # Word that the caller left.

    @contextlib.contextmanager
    def watch_disconnect(self) -> Iterator[None]:
        """Raise :class:`CallerLeft` inside when the caller closes.

        :class:`HostStops` is raised on :meth:`interrupt`.

        Nobody reads the connection while a request is under way, so its
        end would go unnoticed and the endpoint would work for nobody.
        Bytes of a further request end the watch: they can't be read past
        without taking them.
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

    def interrupt(self) -> None:
        """Raise :class:`HostStops` in whoever serves the present request."""
        gevent.get_hub().loop.run_callback(self._throw, HostStops())

    def _throw(self, error: Interrupted) -> None:
        # Called by the event loop, like the timer of a Timeout.
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

    # Answers.

    def answer(self, status: int, headers: http.Headers, body: bytes) -> None:
        """Send a whole answer.

        :raises CallerLeft: it can't be delivered
        """
        lines = [b'HTTP/1.1 %d %s' % (status, REASONS.get(status, b'Status'))]
        lines += [b'%s: %s' % header for header in headers]
        if status not in (204, 304):
            lines.append(b'Content-Length: %d' % len(body))
        if self.closing:
            self.close_announced = True
            lines.append(b'Connection: close')
        self._send(b'\r\n'.join(lines) + b'\r\n\r\n' + body)

    def begin_stream(self, status: int, headers: http.Headers) -> None:
        """Send the head of an answer whose body follows in chunks."""
        lines = [b'HTTP/1.1 %d %s' % (status, REASONS.get(status, b'Status'))]
        lines += [b'%s: %s' % header for header in headers]
        lines.append(b'Transfer-Encoding: chunked')
        if self.closing:
            self.close_announced = True
            lines.append(b'Connection: close')
        self.streaming = True
        self._send(b'\r\n'.join(lines) + b'\r\n\r\n')

    def chunk(self, data: bytes) -> None:
        """Send a part of a stream."""
        self._send(b'%x\r\n%s\r\n' % (len(data), data))

    def end_stream(self) -> None:
        """Mark a stream as complete."""
        self.streaming = False
        self._send(b'0\r\n\r\n')

    def _send(self, data: bytes) -> None:
        self.answer_begun = True
        try:
            self.sock.sendall(data)
        except OSError as error:
            self.broken = True
            raise CallerLeft() from error
