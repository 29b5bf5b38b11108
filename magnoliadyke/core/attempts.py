"""Put the event stream of an answer together, attempt by attempt.

Engines put first in each event which output tokens it holds, so that this
module reads a few bytes of each event and passes the rest on unparsed.
"""

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
OFFSET_START = b'data: {"offset":'
OFFSET_LENGTH = len(OFFSET_START)
END_FIELD = b',"end":'
#: The usual next event: one token. Others are read by the long way.
NEXT_EVENT_START = OFFSET_START + b'%d' + END_FIELD + b'%d,'
UNFINISHED = b'"finish_reason":null'
TEXT = re.compile(rb'"text":\s*("(?:[^"\\]|\\.)*")')
# Room for one event; an engine that never ends one must not fill memory.
MAX_EVENT_BYTES = 1 << 20


def attempt_id(key, number):
    """Return the id under which an engine knows one attempt.

    It follows from the key, so that another node can find the stream.

    :param key: short digest of the request key
    :param number: 1 for the first attempt
    """
    return f'{key}-{number}'


class Assembly:
    """The answer so far, from however many attempts it took.

    Only the current attempt adds to it, only at the present offset, and
    only a finish mark at that offset completes it.

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

    def begin(self, attempt):
        """Take events of ``attempt`` from now on, and of no other.

        :param attempt: attempt id, also after a resume on a new connection
        """
        self.attempt = attempt
        self.unparsed = b''
        self.gap = False
        self.error = None

    def feed(self, attempt, data):
        """Read what an attempt has sent.

        :param attempt: id of the attempt whose connection this came from
        :param data: bytes of an event stream, cut anywhere
        :return: whole events to pass on, as bytes, ``b''`` if none
        """
        # A connection that was given up may still deliver: its bytes would
        # double or cross the text of the attempt that replaced it.
        if attempt != self.attempt or self.finished is not None:
            return b''
        if self.feed_next_event(attempt, data):
            return data
        return self.feed_chunk(data)

    def feed_next_event(self, attempt, data):
        """Take ``data`` if it is exactly the one event that is due.

        This runs for each token, hence no more is parsed than this.

        :return: whether it was taken; nothing has happened if not
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
        """Go on at an offset."""
        self.offset = offset
        self.next_event_start = NEXT_EVENT_START % (offset, offset + 1)

    def feed_chunk(self, data):
        """Cut ``data`` into events and take them one by one."""
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
        """Judge one whole event; return whether it is passed on."""
        if not event.startswith(OFFSET_START):
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
            self.finished = event
        return True

    def record_error(self, event):
        """Note an error event; comments and the end mark say nothing."""
        if event.startswith(b'event: error'):
            _, _, event = event.partition(b'\n')
        if event.startswith(b'data: {"error"'):
            self.error = json.loads(event[len(b'data: ') :])['error']


def end_of(event):
    """Return the offset behind an event's tokens, 0 if it doesn't tell.

    How many tokens an event holds is the engine's word alone: text can be
    cut into tokens in any way, and a count that was off by one would drop
    the next event as one that had been seen.
    """
    after = event.index(b',', OFFSET_LENGTH)
    start = after + len(END_FIELD)
    if event[after:start] != END_FIELD:
        return 0
    return int(event[start : event.index(b',', start)])


def read_usage(final_event):
    """Return the usage figures (tokens) of a final event as a dict."""
    document = json.loads(final_event[len(b'data: ') :])
    return document.get('usage') or {}


def text_of(events):
    """Return the text of a run of events."""
    pieces = TEXT.findall(events)
    return ''.join(json.loads(b'[' + b','.join(pieces) + b']'))


def events_from(events, offset):
    """Return the part of ``events`` that starts at an output offset.

    A reader that stopped inside an event gets all: its :class:`Assembly`
    drops what it has.

    :param events: whole events in order
    :param offset: output tokens the reader has already
    """
    mark = events.find(OFFSET_START + b'%d,' % offset)
    return events[mark:] if mark > 0 else events


class SilenceTimeout:
    """Predict when a stream should have spoken again.

    An engine sends a comment after each idle second, so a connection with
    nothing at all for clearly longer has lost its other end. A stream whose
    tokens came fast is doubted sooner.

    :param shortest_s: least silence that is doubted, in seconds
    :param longest_s: silence that is always doubted, in seconds
    """

    TOKENS_MISSED = 20
    WEIGHT = 0.2

    def __init__(self, min_silence_s=1.5, max_silence_s=2.5):
        self.min_silence_s = min_silence_s
        self.max_silence_s = max_silence_s
        self.token_interval_s = None
        self.observed_s = 0.0
        self.observed_tokens = 0

    def observe(self, tokens, now_s):
        """Note how far the stream is; called now and then, not per token.

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
            self.token_interval_s = old_s + self.WEIGHT * (
                token_interval_s - old_s
            )
        if new > 0:
            self.observed_tokens = tokens
            self.observed_s = now_s

    def silence_limit_s(self, suspect=False):
        """Return the silence after which the connection is doubted.

        :param suspect: a sibling connection to the same address went silent
        """
        if self.token_interval_s is None:
            limit_s = self.max_silence_s
        else:
            predicted_s = self.token_interval_s * self.TOKENS_MISSED
            limit_s = min(
                max(predicted_s, self.min_silence_s), self.max_silence_s
            )
        return limit_s / 2 if suspect else limit_s
