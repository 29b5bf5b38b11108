"""Streaming of a run's output to the connection of a caller."""

import os
import socket

import gevent
from gevent import event

from magnoliadyke import caller_codec
from magnoliadyke.core import attempts
from magnoliadyke.core import records

__all__ = ['CallerDisconnected', 'OutcomeWaiter', 'ResponseStream']

KEEP_ALIVE = b': keep-alive\n\n'
READABLE = 1
PEEK_TIMEOUT_S = 0.05


class CallerDisconnected(Exception):
    """The caller closed its connection or reads no more of the response."""


class OutcomeWaiter:
    """Waits for a run's outcome while it watches the caller's connection.

    :param run: :class:`magnoliadyke.streams.Run`
    :param handler: the connection's WSGI handler
    """

    def __init__(self, run, handler):
        self.run = run
        self.handler = handler
        self.writes_directly = False
        self.wake = event.Event()
        self.watcher = None
        run.subscribers.append(self)

    def handle_end(self):
        """Wake the waiting greenlet when the run has ended.

        It may be called in the hub, so it must not block.
        """
        self.wake.set()

    def deliver(self, block, framed):
        """Ignore output of the run; only its outcome is waited for."""

    def close(self):
        """Unsubscribe from the run and stop watching the connection."""
        self.writes_directly = False
        self.unwatch()
        if self in self.run.subscribers:
            self.run.subscribers.remove(self)

    def wait_for_outcome(self):
        """Wait for the run's outcome and return it.

        :raises CallerDisconnected: if the caller closes its connection first
        """
        self.watch()
        while self.run.outcome is None:
            self.wake.clear()
            self.wake.wait()
            self.check_caller()
        return self.run.outcome

    def watch(self):
        """Wake the waiting greenlet when the connection becomes readable."""
        if self.watcher is None:
            loop = gevent.get_hub().loop
            fileno = self.handler.socket.fileno()
            self.watcher = loop.io(fileno, READABLE)
            self.watcher.start(self.handle_readable)

    def unwatch(self):
        """Stop watching the caller's connection."""
        if self.watcher is not None:
            self.watcher.stop()
            self.watcher.close()
            self.watcher = None

    def handle_readable(self):
        """Wake the waiting greenlet to check the connection.

        It is readable if the caller closed it or sent its next request early.
        """
        self.watcher.stop()
        self.wake.set()

    def check_caller(self):
        """Check the connection if it has become readable.

        :raises CallerDisconnected: if the caller has closed it
        """
        if self.watcher is None or self.watcher.active:
            return
        # The event may have been spurious: a blocking read would stall the
        # response until the caller sends something.
        with gevent.Timeout(PEEK_TIMEOUT_S, False):
            try:
                left = self.handler.socket.recv(1, socket.MSG_PEEK) == b''
            except OSError:
                left = True
            if left:
                raise CallerDisconnected
            return
        self.watcher.start(self.handle_readable)


class ResponseStream(OutcomeWaiter):
    """Streams a run's events to a caller.

    While the socket accepts them, the run writes events to it directly and
    without a switch of greenlets. When the socket's buffer is full, the
    greenlet of the caller's request writes the backlog.

    :param offset: number of output tokens that the caller has already received
    :param shape: converts events to the format that the caller requested, or
        None to send them as they are
    :param stall_s: longest time in which the caller reads no bytes, in seconds
    :ivar writes_directly: whether the run writes to the socket itself
    :ivar forwards_chunks: whether HTTP chunks of the run are written unchanged
    :ivar index: number of the run's pieces that were taken
    :ivar ready: events of pieces that were taken, but not written yet
    :ivar backlog: bytes that the socket has not accepted yet
    :ivar is_idle: whether nothing was written since the last keep-alive
    """

    def __init__(self, run, handler, offset=0, shape=None, stall_s=20.0):
        self.stall_s = stall_s
        self.shape = shape
        self.forwards_chunks = False
        self.fileno = -1
        self.is_disconnected = False
        self.backlog = b''
        self.is_idle = False
        self.index = len(run.pieces)
        self.ready = b''
        if self.index:
            events = b''.join(run.pieces)
            self.ready = attempts.events_from(events, offset)
        super().__init__(run, handler)

    def deliver(self, block, framed):
        """Write new output, or wake the greenlet that writes it.

        :param block: events, the newest of the run's pieces
        :param framed: the same events as an HTTP chunk, or None
        """
        if not self.writes_directly:
            self.wake.set()
        elif framed is None or not self.forwards_chunks:
            self.write_available()
        else:
            self.index += 1
            self.is_idle = False
            self.write(framed)

    def wait_for_first_output(self, max_wait_s):
        """Wait for the first output or the outcome, to choose the HTTP status.

        :param max_wait_s: longest wait, in seconds; the response then starts
            without a token, and later errors are sent within the stream
        :return: whether there is output or an outcome
        """
        self.watch()
        with gevent.Timeout(max_wait_s, False):
            while not self.ready and self.index == len(self.run.pieces):
                if self.run.outcome is not None:
                    break
                self.wake.clear()
                self.wake.wait()
                self.check_caller()
            return True
        return False

    def take_output(self):
        """Return the output since the last call, in the caller's format."""
        pieces = self.run.pieces
        data = self.ready + b''.join(pieces[self.index :])
        self.ready = b''
        self.index = len(pieces)
        return self.shape(data) if self.shape and data else data

    def __iter__(self):
        """Yield the first and the last part; write the rest to the socket.

        The server sends the response head together with the first part.
        """
        try:
            yield self.take_output() or KEEP_ALIVE
            while self.run.outcome is None:
                self.stream()
            yield self.take_output() + self.final_events()
        finally:
            self.close()

    def final_events(self):
        """Return the final events of the stream, according to the outcome."""
        outcome = self.run.outcome
        if isinstance(outcome, records.Answer):
            return attempts.DONE
        return caller_codec.error_event(outcome)

    def stream(self):
        """Let the run write directly until it ends or the socket is full.

        Then write the backlog.
        """
        self.wake.clear()
        self.writes_directly = True
        self.forwards_chunks = (
            self.shape is None and self.handler.response_use_chunked
        )
        self.fileno = self.handler.socket.fileno()
        self.write_available()
        try:
            if self.run.outcome is None and self.writes_directly:
                self.wake.wait()
        finally:
            self.writes_directly = False
        self.drain()
        if self.is_disconnected:
            raise CallerDisconnected
        self.check_caller()

    def write_available(self):
        """Write the available output without blocking.

        Once the run has ended, wakes the greenlet that writes the final
        events instead.
        """
        if self.run.outcome is not None:
            self.writes_directly = False
            self.wake.set()
            return
        data = self.take_output()
        if data:
            self.is_idle = False
            self.write(self.to_chunk(data))

    def keep_alive(self):
        """Write a keep-alive comment if the last interval had no output.

        It shows the caller that its connection and the node are alive.
        """
        if self.writes_directly and self.is_idle:
            self.write(self.to_chunk(KEEP_ALIVE))
        self.is_idle = True

    def to_chunk(self, data):
        """Return data as an HTTP chunk if the response uses chunks."""
        if self.handler.response_use_chunked:
            return b'%x\r\n%b\r\n' % (len(data), data)
        return data

    def write(self, data):
        """Write without blocking; unwritten bytes become the backlog."""
        try:
            sent = os.write(self.fileno, data)
        except BlockingIOError:
            sent = 0
        except OSError:
            self.is_disconnected = True
            sent = len(data)
        if sent < len(data):
            self.backlog = data[sent:]
        if self.backlog or self.is_disconnected:
            self.writes_directly = False
            self.wake.set()

    def drain(self):
        """Write the backlog as fast as the caller reads.

        Without a limit, the response to a caller that stops reading would
        stay in memory forever; its connection is closed if it reads nothing
        for ``stall_s``.
        """
        peer = self.handler.socket
        while self.backlog and not self.is_disconnected:
            try:
                with gevent.Timeout(self.stall_s, TimeoutError('stalled')):
                    sent = peer.send(self.backlog)
            except OSError:
                self.is_disconnected = True
                break
            self.backlog = self.backlog[sent:]
