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
TOKEN_TIMEOUT_S = 90.0
LINE_END = b'\r\n'
#: Where to look for the end of a chunk's size.
MAX_CHUNK_HEADER_BYTES = 10
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
        self.target_run = run
        self.connection = connection
        self.assembly = run.assembly
        self.append = run.append
        self.fileno = connection.fileno()
        self.between_chunks = False
        self.label = label
        self.stopped = event.Event()
        self.watcher = None
        self.read_count = 0
        self.connections = run.connections
        self.silence_timeout = attempts.SilenceTimeout()
        self.checked_read_count = -1
        self.last_read_s = 0.0
        self.checked_offset = -1
        self.last_token_s = 0.0
        self.reported = 0

    def run(self, first):
        """Read until the finish mark or until the connection fails.

        :param first: body bytes that came with the head
        :return: whether the answer is whole
        """
        streams = self.target_run.streams
        if not self.feed_body(first):
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
        self.read_count += 1
        try:
            data = os.read(self.fileno, RECEIVE_BYTES)
            if self.between_chunks and self.feed_single_chunk(data):
                return
            if self.feed_body(self.connection.decode_body(data)):
                self.stop()
            self.between_chunks = data.endswith(CHUNK_OF_EVENTS_END)
        except BlockingIOError:
            return
        except (OSError, ValueError, responses.HTTPParseError):
            self.stop()

    def feed_single_chunk(self, data):
        """Take the usual case, one event in one chunk, without the parser.

        The parser stands between two chunks and stays there. The chunk goes
        to the callers as it came, framing and all.

        :return: whether that was the case; nothing has happened if not
        """
        start = data.find(LINE_END, 0, MAX_CHUNK_HEADER_BYTES)
        if start < 1 or not data.endswith(CHUNK_OF_EVENTS_END):
            return False
        if int(data[:start], 16) != len(data) - start - 4:
            return False
        body = data[start + 2 : -2]
        if not self.assembly.feed_next_event(self.label, body):
            return False
        self.append(body, data)
        return True

    def feed_body(self, body):
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
        run = self.target_run
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
        if self.assembly.offset != self.checked_offset:
            self.checked_offset = self.assembly.offset
            self.last_token_s = now_s
            self.silence_timeout.observe(self.checked_offset, now_s)
        if self.read_count != self.checked_read_count:
            self.checked_read_count = self.read_count
            self.last_read_s = now_s
            self.check_stalled(now_s)
            return False
        quiet_s = now_s - self.last_read_s
        if quiet_s < self.silence_timeout.silence_limit_s(suspect):
            return False
        self.stop()
        return True

    def check_stalled(self, now_s):
        """Give up a stream that lives but has made no token for very long.

        Its connection is not to blame, so its siblings are not suspect.
        """
        if now_s - self.last_token_s >= TOKEN_TIMEOUT_S:
            self.stop()
