"""Write a run's output to a caller's connection as it comes."""

import os
import socket

import gevent
from gevent import event

from magnoliadyke import caller_codec
from magnoliadyke.core import attempts
from magnoliadyke.core import records

__all__ = ['CallerGone', 'Follower', 'Waiter']

KEEP_ALIVE = b': keep-alive\n\n'
READABLE = 1
PEEK_S = 0.05


class CallerGone(Exception):
    """The caller closed its connection or stopped reading."""


class Waiter:
    """Waits for a run's end while watching the caller's connection.

    :param run: :class:`magnoliadyke.streams.Run`
    :param handler: the connection's WSGI handler
    """

    def __init__(self, run, handler):
        self.run = run
        self.handler = handler
        self.direct = False
        self.wake = event.Event()
        self.watcher = None
        run.followers.append(self)

    def notify(self):
        """The run has ended; called by the run, maybe in the hub."""
        self.wake.set()

    def pass_on(self, block, framed):
        """The run has output; only its end matters here."""

    def close(self):
        """Stop to follow."""
        self.direct = False
        self.unwatch()
        if self in self.run.followers:
            self.run.followers.remove(self)

    def wait_end(self):
        """Return the run's outcome.

        :raises CallerGone: when the caller leaves first
        """
        self.watch()
        while self.run.outcome is None:
            self.wake.clear()
            self.wake.wait()
            self.check_caller()
        return self.run.outcome

    def watch(self):
        """Wake when the caller's connection can be read."""
        if self.watcher is None:
            loop = gevent.get_hub().loop
            fileno = self.handler.socket.fileno()
            self.watcher = loop.io(fileno, READABLE)
            self.watcher.start(self.on_readable)

    def unwatch(self):
        """Stop to watch the caller's connection."""
        if self.watcher is not None:
            self.watcher.stop()
            self.watcher.close()
            self.watcher = None

    def on_readable(self):
        """The caller closed, or sent its next request early."""
        self.watcher.stop()
        self.wake.set()

    def check_caller(self):
        """Raise if the caller has closed its connection."""
        if self.watcher is None or self.watcher.active:
            return
        # The event may have been spurious: a read that waits would stop the
        # answer until the caller sends something.
        with gevent.Timeout(PEEK_S, False):
            try:
                left = self.handler.socket.recv(1, socket.MSG_PEEK) == b''
            except OSError:
                left = True
            if left:
                raise CallerGone
            return
        self.watcher.start(self.on_readable)


class Follower(Waiter):
    """Streams a run's events to a caller.

    While the caller keeps up, events go from the run straight to its socket
    without a task switch (``direct``). When the socket is full, the
    caller's own greenlet takes over until it has drained.

    :param offset: output tokens the caller has already
    :param shape: turns events into what the caller asked for, or None
    :param stall_s: longest time without progress of the caller's reading
    """

    def __init__(self, run, handler, offset=0, shape=None, stall_s=20.0):
        self.stall_s = stall_s
        self.shape = shape
        self.plain = False
        self.fileno = -1
        self.gone = False
        self.backlog = b''
        self.idle = False
        self.index = len(run.pieces)
        self.ready = b''
        if self.index:
            events = b''.join(run.pieces)
            self.ready = attempts.events_from(events, offset)
        super().__init__(run, handler)

    def pass_on(self, block, framed):
        """Write new output, or wake the greenlet that will.

        :param block: events, the newest of the run's pieces
        :param framed: the same as a chunk of HTTP, or None
        """
        if not self.direct:
            self.wake.set()
        elif framed is None or not self.plain:
            self.push()
        else:
            self.index += 1
            self.idle = False
            self.write(framed)

    def wait_head(self, longest_s):
        """Wait until it is clear how the answer begins.

        :param longest_s: after so long the answer begins without a token,
            and whatever goes wrong later is told inside the stream
        :return: whether there is output or an end
        """
        self.watch()
        with gevent.Timeout(longest_s, False):
            while not self.ready and self.index == len(self.run.pieces):
                if self.run.outcome is not None:
                    break
                self.wake.clear()
                self.wake.wait()
                self.check_caller()
            return True
        return False

    def take(self):
        """Return the output that came since the last call."""
        pieces = self.run.pieces
        data = self.ready + b''.join(pieces[self.index :])
        self.ready = b''
        self.index = len(pieces)
        return self.shape(data) if self.shape and data else data

    def __iter__(self):
        """Yield the first part to the server, then write to the socket.

        The server sends the head of the answer with the first part.
        """
        try:
            yield self.take() or KEEP_ALIVE
            while self.run.outcome is None:
                self.stream()
            yield self.take() + self.ending()
        finally:
            self.close()

    def ending(self):
        """Return the last events, by the run's outcome."""
        outcome = self.run.outcome
        if isinstance(outcome, records.Answer):
            return attempts.DONE
        return caller_codec.error_event(outcome)

    def stream(self):
        """Write directly until the end or until the socket is full."""
        self.wake.clear()
        self.direct = True
        self.plain = self.shape is None and self.handler.response_use_chunked
        self.fileno = self.handler.socket.fileno()
        self.push()
        try:
            if self.run.outcome is None and self.direct:
                self.wake.wait()
        finally:
            self.direct = False
        self.drain()
        if self.gone:
            raise CallerGone
        self.check_caller()

    def push(self):
        """Write what has come, without waiting."""
        if self.run.outcome is not None:
            self.direct = False
            self.wake.set()
            return
        data = self.take()
        if data:
            self.idle = False
            self.write(self.framed(data))

    def keep_alive(self):
        """Show an idle caller that its connection and node live."""
        if self.direct and self.idle:
            self.write(self.framed(KEEP_ALIVE))
        self.idle = True

    def framed(self, data):
        """Return data as a chunk of the HTTP answer."""
        if self.handler.response_use_chunked:
            return b'%x\r\n%b\r\n' % (len(data), data)
        return data

    def write(self, data):
        """Write without waiting; what does not fit waits in the backlog."""
        try:
            sent = os.write(self.fileno, data)
        except BlockingIOError:
            sent = 0
        except OSError:
            self.gone = True
            sent = len(data)
        if sent < len(data):
            self.backlog = data[sent:]
        if self.backlog or self.gone:
            self.direct = False
            self.wake.set()

    def drain(self):
        """Write the backlog, as fast as the caller reads.

        A caller that stops reading would hold its answer in memory for
        good; without progress for ``stall_s`` its connection is closed.
        """
        peer = self.handler.socket
        while self.backlog and not self.gone:
            try:
                with gevent.Timeout(self.stall_s, TimeoutError('stalled')):
                    sent = peer.send(self.backlog)
            except OSError:
                self.gone = True
                break
            self.backlog = self.backlog[sent:]
