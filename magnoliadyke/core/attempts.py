"""Assembly of an answer's event stream from one or more attempts."""

import json
import re

__all__ = [
    'DONE',
    'Assembly',
    'SilenceTimeout',
    'attempt_id',
    'events_from',
    'read_usage',
    'text_of',
]

EVENT_END = b'\n\n'
DONE = b'data: [DONE]\n\n'
OFFSET_FIELD = b'data: {"offset":'
OFFSET_LENGTH = len(OFFSET_FIELD)
END_FIELD = b',"end":'
#: Start of the usual next event, which holds one token. Only such events
#: take the fast path of :meth:`Assembly.feed_next_event`.
NEXT_EVENT_START = OFFSET_FIELD + b'%d' + END_FIELD + b'%d,'
UNFINISHED = b'"finish_reason":null'
TEXT = re.compile(rb'"text":\s*("(?:[^"\\]|\\.)*")')
# An engine that never ends an event must not exhaust memory.
MAX_EVENT_BYTES = 1 << 20


def attempt_id(key, number):
    """Return the id of one attempt at an engine.

    It is derived from the request key, so that another node can resume the
    stream.

    :param key: short digest of the request key
    :param number: 1 for the first attempt
    """
    return f'{key}-{number}'


class Assembly:
    """The answer so far, assembled from the events of all attempts.

    Only events of the current attempt that start at the present offset are
    accepted, and only a final event at that offset completes the answer.
    Each event begins with its token offsets, so only its first bytes are
    parsed and the rest is passed on as it is.

    :ivar attempt: id of the current attempt
    :ivar offset: output tokens accepted
    :ivar finished: the final event, or None
    :ivar gap: whether tokens are missing; the attempt has to be resumed
    :ivar error: an error event of the engine (dict), or None
    """

    def __init__(self, offset=0):
        self.attempt = None
        self.offset = offset
        self.next_event_start = NEXT_EVENT_START % (offset, offset + 1)
        self.finished = None
        self.gap = False
        self.error = None
        self.unparsed = b''

    def start_attempt(self, attempt):
        """Accept events of ``attempt`` from now on, and of no other.

        :param attempt: attempt id; the same after a resume on a new
            connection
        """
        self.attempt = attempt
        self.unparsed = b''
        self.gap = False
        self.error = None

    def feed(self, attempt, data):
        """Process bytes that an engine has sent for an attempt.

        :param attempt: id of the attempt whose connection sent the bytes
        :param data: bytes of an event stream, cut anywhere
        :return: complete events to pass on, as bytes, ``b''`` if none
        """
        # A dropped connection may still deliver bytes, which would repeat
        # or interleave with the text of the attempt that replaced it.
        if attempt != self.attempt or self.finished is not None:
            return b''
        if self.feed_next_event(attempt, data):
            return data
        return self.feed_chunk(data)

    def feed_next_event(self, attempt, data):
        """Accept ``data`` if it is exactly the expected one-token event.

        Runs for each token, so it parses no more than this check needs.

        :return: whether it was accepted; if not, nothing has changed
        """
        if (
            not data.startswith(self.next_event_start)
            or data.find(EVENT_END) != len(data) - 2
            or UNFINISHED not in data
            or attempt != self.attempt
            or self.unparsed
            or self.finished is not None
        ):
            return False
        self.advance(self.offset + 1)
        return True

    def advance(self, offset):
        """Set the offset at which the next event is accepted."""
        self.offset = offset
        self.next_event_start = NEXT_EVENT_START % (offset, offset + 1)

    def feed_chunk(self, data):
        """Split buffered bytes and ``data`` into events and apply each.

        :return: accepted events, as bytes
        """
        data = self.unparsed + data
        accepted = []
        start = 0
        while not self.gap and self.finished is None:
            end = data.find(EVENT_END, start)
            if end < 0:
                break
            event = data[start : end + 2]
            start = end + 2
            if self.apply_event(event):
                accepted.append(event)
        self.unparsed = data[start:]
        if len(self.unparsed) > MAX_EVENT_BYTES:
            self.error = {'code': 'event_too_long'}
        return b''.join(accepted)

    def apply_event(self, event):
        """Apply one complete event; return whether to pass it on.

        :raises ValueError: if it is invalid
        """
        if not event.startswith(OFFSET_FIELD):
            self.record_error(event)
            return False
        offset = int(event[OFFSET_LENGTH : event.index(b',', OFFSET_LENGTH)])
        if offset > self.offset:
            self.gap = True
            return False
        if offset < self.offset:
            return False
        if UNFINISHED in event:
            self.advance(max(end_of(event), offset + 1))
        else:
            check_final(event)
            self.finished = event
        return True

    def record_error(self, event):
        """Record an error event; ignore comments and the end mark."""
        if event.startswith(b'event: error'):
            _, _, event = event.partition(b'\n')
        if event.startswith(b'data: {"error"'):
            error = json.loads(event[len(b'data: ') :])['error']
            self.error = error if isinstance(error, dict) else {}


def end_of(event):
    """Return the offset after an event's tokens, 0 without an ``end`` field.

    The number of tokens is taken from the engine only: text can be split
    into tokens in several ways, and with a count one too high the next
    event would be dropped as a repetition.
    """
    after = event.index(b',', OFFSET_LENGTH)
    start = after + len(END_FIELD)
    if event[after:start] != END_FIELD:
        return 0
    return int(event[start : event.index(b',', start)])


def check_final(event):
    """Check that an event which goes on with no token ends the answer.

    :raises ValueError: if it does not, such as a part of an event
    """
    try:
        choice = json.loads(event[len(b'data: ') :])['choices'][0]
        is_final = choice['finish_reason'] is not None
    except (IndexError, KeyError, RecursionError, TypeError):
        is_final = False
    if not is_final:
        raise ValueError(
            f'final event: expected a finish_reason, got {event[:80]!r}'
        )


def read_usage(final_event):
    """Return the ``usage`` field of a final event, token counts by name."""
    document = json.loads(final_event[len(b'data: ') :])
    return document.get('usage') or {}


def text_of(events):
    """Return the concatenated text of consecutive events."""
    pieces = TEXT.findall(events)
    return ''.join(json.loads(b'[' + b','.join(pieces) + b']'))


def events_from(events, offset):
    """Return the part of ``events`` that starts at an output offset.

    If no event starts at the offset, all are returned: the receiver's
    :class:`Assembly` drops those that it has already.

    :param events: complete events in order, as bytes
    :param offset: output tokens that the receiver has already
    """
    mark = events.find(OFFSET_FIELD + b'%d,' % offset)
    return events[mark:] if mark > 0 else events


class SilenceTimeout:
    """Adaptive timeout for a stream on which no bytes arrive.

    An engine sends a comment after each idle second, so a connection that
    stays silent for clearly longer has lost its peer. The faster the tokens
    of a stream have arrived, the shorter is its timeout.

    :param min_silence_s: minimum timeout, in seconds
    :param max_silence_s: maximum timeout, in seconds, also before the first
        estimate
    """

    MAX_MISSED_TOKENS = 20
    SMOOTHING = 0.2

    def __init__(self, min_silence_s=1.5, max_silence_s=2.5):
        self.min_silence_s = min_silence_s
        self.max_silence_s = max_silence_s
        self.token_interval_s = None
        self.observed_s = 0.0
        self.observed_tokens = 0

    def observe(self, tokens, now_s):
        """Update the estimated time between tokens.

        Called at intervals, not for each token.

        :param tokens: output tokens so far
        """
        new = tokens - self.observed_tokens
        if new > 0 and self.observed_tokens:
            token_interval_s = (now_s - self.observed_s) / new
            old_s = (
                token_interval_s
                if self.token_interval_s is None
                else self.token_interval_s
            )
            self.token_interval_s = old_s + self.SMOOTHING * (
                token_interval_s - old_s
            )
        if new > 0:
            self.observed_tokens = tokens
            self.observed_s = now_s

    def silence_limit_s(self, suspect=False):
        """Return the silence in seconds after which a connection is suspect.

        :param suspect: whether another connection to the same address has
            exceeded its timeout, which halves this one
        """
        if self.token_interval_s is None:
            limit_s = self.max_silence_s
        else:
            predicted_s = self.token_interval_s * self.MAX_MISSED_TOKENS
            limit_s = min(
                max(predicted_s, self.min_silence_s), self.max_silence_s
            )
        return limit_s / 2 if suspect else limit_s
