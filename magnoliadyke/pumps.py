"""Pass events from an engine's connection to a run, in the event loop."""

import os

import gevent
from gevent import event
from geventhttpclient import response as responses

from magnoliadyke.core import attempts

__all__ = ['Pump']

READABLE = 1
RECEIVE_BYTES = 16384
#: Time without a token, in spite of keep-alive comments, after which the
#: request counts as lost by the engine. A long prompt or a role change takes
#: less.
TOKEN_TIMEOUT_S = 90.0
LINE_END = b'\r\n'
#: Bytes of a chunk within which the line with its size ends.
MAX_CHUNK_HEADER_BYTES = 10
#: An event ends with an empty line and its chunk with CR LF. An event holds
#: no CR LF, so data that ends like this ends with a complete chunk.
CHUNK_OF_EVENTS_END = b'\n\n\r\n'


class Pump:
    """Passes events from an engine's connection to a run.

    Its callback runs in the hub, which saves a task switch, a timer and a
    log line per token.

    :param run: :class:`magnoliadyke.streams.ModelRun`, or another run with
        ``assembly``, ``append``, ``connections``, ``job`` and ``streams``
    :param connection: :class:`magnoliadyke.endpoint.Connection`
    :param label: attempt label that the assembly expects
    :ivar between_chunks: whether the parser is at the start of a chunk
    :ivar read_count: number of times that the connection was readable
    :ivar last_read_s: when :meth:`check` last saw ``read_count`` grow, in
        monotonic seconds
    :ivar last_token_s: when :meth:`check` last saw more tokens, in monotonic
        seconds
    :ivar reported_tokens: output tokens at the last report of progress
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
        self.reported_tokens = 0

    def run(self, first):
        """Read until the final event or until the connection fails.

        :param first: body bytes that were received with the head
        :return: whether the answer is complete
        """
        streams = self.target_run.streams
        try:
            has_ended = self.feed_body(first)
        except ValueError:
            return False
        if not has_ended:
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
        """Read what the engine has sent; called by the event loop."""
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
        """Pass on data that is one event in one chunk, without the parser.

        That is the usual case. The parser stays at the start of a chunk, and
        callers get the chunk with its framing, as it was received.

        :param data: bytes read from the connection
        :return: whether the data was passed on; if not, nothing has changed
        """
        start = data.find(LINE_END, 0, MAX_CHUNK_HEADER_BYTES)
        if start < 1 or not data.endswith(CHUNK_OF_EVENTS_END):
            return False
        # Callers get the size as it is, so it must be one that all can read.
        if data[:start].lower() != b'%x' % (len(data) - start - 4):
            return False
        body = data[start + 2 : -2]
        if not self.assembly.feed_next_event(self.label, body):
            return False
        self.append(body, data)
        return True

    def feed_body(self, body):
        """Pass body bytes to the assembly, and accepted events to the run.

        :return: whether nothing more is to be read from this connection
        """
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
        """Make :meth:`run` return."""
        if self.watcher is not None:
            self.watcher.stop()
        self.stopped.set()

    def progress(self):
        """Return job id and output tokens if they grew since the last call.

        :return: a pair; None without new tokens, or for a relay
        """
        run = self.target_run
        tokens = self.assembly.offset
        if tokens == self.reported_tokens or run.job is None:
            return None
        self.reported_tokens = tokens
        return run.job.id, tokens

    def check(self, now_s, suspect):
        """Stop reading from a connection that is silent for too long.

        Called at each tick of :class:`magnoliadyke.streams.Streams`.

        :param suspect: whether another connection to the same address went
            silent a short time ago
        :return: whether this connection was silent for too long
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
        silent_s = now_s - self.last_read_s
        if silent_s < self.silence_timeout.silence_limit_s(suspect):
            return False
        self.stop()
        return True

    def check_stalled(self, now_s):
        """Stop reading a stream with no new token for ``TOKEN_TIMEOUT_S``.

        It still gets keep-alive comments, so the connection is not at fault
        and others to the same address do not become suspect.
        """
        if now_s - self.last_token_s >= TOKEN_TIMEOUT_S:
            self.stop()
