"""Move events from a connection into a run, without a task of their own."""

import os

import gevent
from gevent import event
from geventhttpclient import response as responses

from magnoliadyke.core import attempts

__all__ = ['Pump']

READABLE = 1
RECEIVE_BYTES = 16384
#: No token for so long, in spite of comments, means that the engine has lost
#: the request. A long prompt or a role change takes less.
STALL_S = 90.0
LINE_END = b'\r\n'
#: Where to look for the end of a chunk's size.
LONGEST_SIZE = 10
#: An event ends with an empty line and its chunk with a line end. Inside an
#: event a line end can't stand, so the data ends where a chunk ends.
CHUNK_OF_EVENTS_END = b'\n\n\r\n'


class Pump:
    """Moves events from an engine's connection into a run.

    Its callback runs in the hub: no task switch, timer or log per token.

    :param run: :class:`ModelRun`, or another with ``assembly`` and
        ``append``
    :param connection: :class:`magnoliadyke.endpoint.Connection`
    :param label: attempt label that the assembly expects
    """

    def __init__(self, run, connection, label):
        self.run_ = run
        self.connection = connection
        self.assembly = run.assembly
        self.append = run.append
        self.fileno = connection.fileno()
        self.between_chunks = False
        self.label = label
        self.stopped = event.Event()
        self.watcher = None
        self.heard = 0
        self.connections = run.connections
        self.pace = attempts.SilenceTimeout()
        self.seen_heard = -1
        self.quiet_since_s = 0.0
        self.seen_offset = -1
        self.still_since_s = 0.0
        self.reported = 0

    def run(self, first):
        """Read until the finish mark or until the connection fails.

        :param first: body bytes that came with the head
        :return: whether the answer is whole
        """
        streams = self.run_.streams
        if not self.take(first):
            loop = gevent.get_hub().loop
            self.watcher = loop.io(self.fileno, READABLE)
            self.watcher.start(self.on_readable)
            streams.pumps.add(self)
            try:
                self.stopped.wait()
            finally:
                streams.pumps.discard(self)
                self.watcher.stop()
                self.watcher.close()
        return self.assembly.finished is not None

    def on_readable(self):
        """Take what the engine has sent; called by the event loop."""
        self.heard += 1
        try:
            data = os.read(self.fileno, RECEIVE_BYTES)
            if self.between_chunks and self.take_chunk(data):
                return
            if self.take(self.connection.unchunk(data)):
                self.stop()
            self.between_chunks = data.endswith(CHUNK_OF_EVENTS_END)
        except BlockingIOError:
            return
        except (OSError, ValueError, responses.HTTPParseError):
            self.stop()

    def take_chunk(self, data):
        """Take the usual case, one event in one chunk, without the parser.

        The parser stands between two chunks and stays there. The chunk goes
        to the callers as it came, framing and all.

        :return: whether that was the case; nothing has happened if not
        """
        start = data.find(LINE_END, 0, LONGEST_SIZE)
        if start < 1 or not data.endswith(CHUNK_OF_EVENTS_END):
            return False
        if int(data[:start], 16) != len(data) - start - 4:
            return False
        body = data[start + 2 : -2]
        if not self.assembly.feed_next_event(self.label, body):
            return False
        self.append(body, data)
        return True

    def take(self, body):
        """Feed bytes; return whether this connection is done with."""
        assembly = self.assembly
        block = assembly.feed(self.label, body)
        if block:
            self.append(block)
        if assembly.finished is not None or assembly.gap:
            return True
        if assembly.error is not None:
            return True
        return self.connection.parser.message_complete

    def stop(self):
        """End :meth:`run`."""
        if self.watcher is not None:
            self.watcher.stop()
        self.stopped.set()

    def progress(self):
        """Return job id and tokens when there are more than last time."""
        run = self.run_
        tokens = self.assembly.offset
        if tokens == self.reported or run.job is None:
            return None
        self.reported = tokens
        return run.job.id, tokens

    def check(self, now_s, suspect):
        """Give the connection up when it is silent for too long.

        :param suspect: a sibling connection went silent
        :return: whether it was given up
        """
        if self.assembly.offset != self.seen_offset:
            self.seen_offset = self.assembly.offset
            self.still_since_s = now_s
            self.pace.observe(self.seen_offset, now_s)
        if self.heard != self.seen_heard:
            self.seen_heard = self.heard
            self.quiet_since_s = now_s
            self.check_stalled(now_s)
            return False
        quiet_s = now_s - self.quiet_since_s
        if quiet_s < self.pace.silence_limit_s(suspect):
            return False
        self.stop()
        return True

    def check_stalled(self, now_s):
        """Give up a stream that lives but has made no token for very long.

        Its connection is not to blame, so its siblings are not suspect.
        """
        if now_s - self.still_since_s >= STALL_S:
            self.stop()
