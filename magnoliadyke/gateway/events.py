"""Splits the bytes of a stream into server-sent events."""

from collections.abc import Iterator
import re
from typing import NamedTuple

from magnoliadyke.core import heldbodies
from magnoliadyke.gateway import http

__all__ = ['Event', 'EventSplitter', 'Events', 'ends_inside', 'is_stream']

CONTENT_TYPE = b'text/event-stream'
#: Two line ends, of which the second ends a blank line: each is a carriage
#: return, a line feed, or both.
BLANK_LINE = re.compile(rb'(?:\r\n|\n|\r(?!\n)){2}')
#: The same where no carriage return was received, which is faster to find.
LINE_FEEDS = re.compile(rb'\n\n')
#: Maximum length of what ends an event, in bytes.
BLANK_LINE_BYTES = 4
LINE_ENDS = b'\r\n'
#: Maximum size of an event, in bytes.
MAX_EVENT_BYTES = 1 << 20


class Event(NamedTuple):
    """One complete server-sent event.

    :param id: value of the event's ``id`` field, None if it has none
    :param data: bytes of the event, with its terminating blank line
    """

    id: bytes | None
    data: bytes

    @property
    def has_data(self) -> bool:
        """Whether it has a ``data`` field; others are not dispatched."""
        return any(line.startswith(b'data') for line in self.data.splitlines())


class Events(NamedTuple):
    """Complete events that came together, of which there may be very many.

    :param data: bytes of all of them
    :param blank_line: pattern of what ends an event
    """

    data: bytes
    blank_line: re.Pattern[bytes]

    @property
    def have_ids(self) -> bool:
        """Whether any of them has an id."""
        return self._has_line(b'id:')

    @property
    def have_data(self) -> bool:
        """Whether any of them has a ``data`` field."""
        return self._has_line(b'data')

    def _has_line(self, begin: bytes) -> bool:
        return (
            self.data.startswith(begin)
            or b'\n' + begin in self.data
            or b'\r' + begin in self.data
        )

    def split(self) -> Iterator[Event]:
        """Return each of them."""
        begin = 0
        for blank in self.blank_line.finditer(self.data):
            event = self.data[begin : blank.end()]
            begin = blank.end()
            yield Event(_event_id(event), event)


class EventSplitter:
    """Buffers the bytes of a stream and returns complete server-sent events.

    An endpoint may break off in the middle of an event. Only complete events
    are relayed to the caller, so that another endpoint can resume the stream.

    :param held: where the bytes are held, to be released by the owner; None
        to hold them apart from those of other streams
    :ivar blank_line: pattern of what ends an event
    """

    def __init__(self, held: heldbodies.HeldBody | None = None) -> None:
        if held is None:
            held = heldbodies.HeldBodies(2 * MAX_EVENT_BYTES).begin()
        self.held = held
        self.blank_line = LINE_FEEDS

    def feed(self, data: bytes) -> Events:
        """Append bytes; return the events that they complete.

        These occupy room until the next call.

        :raises http.BrokenMessage: the event has more bytes than
            ``MAX_EVENT_BYTES`` without its end, or has no room
        """
        self.held.free_taken()
        if b'\r' in data:
            self.blank_line = BLANK_LINE
        # Only a blank line that the new bytes complete can be new.
        searched = max(0, len(self.incomplete) - BLANK_LINE_BYTES + 1)
        self.held.add(data)
        self._check_held()
        end = 0
        for blank in self.blank_line.finditer(self.incomplete, searched):
            end = blank.end()
        if not end and len(self.incomplete) > MAX_EVENT_BYTES:
            raise http.BrokenMessage(
                f'event: expected the end within {MAX_EVENT_BYTES} bytes, '
                f'got {len(self.incomplete)} without it'
            )
        return Events(self.held.take(end), self.blank_line)

    def _check_held(self) -> None:
        """Check that no bytes were given up for lack of room.

        :raises http.BrokenMessage: they were
        """
        if self.held.given_up:
            raise http.BrokenMessage(self.held.given_up)

    @property
    def incomplete(self) -> bytearray:
        """Bytes of the event that is not complete yet."""
        return self.held.data

    @property
    def left_over(self) -> int:
        """Number of bytes of an event that is not complete.

        Line ends between two events belong to none.

        :raises http.BrokenMessage: the event had no room
        """
        self._check_held()
        return len(self.incomplete.lstrip(LINE_ENDS))


def is_stream(head: http.Head) -> bool:
    """Return whether the body of a response is a stream of events."""
    content_type = head.value(b'content-type') or b''
    return content_type.split(b';', 1)[0].strip().lower() == CONTENT_TYPE


def ends_inside(body: bytes) -> int:
    """Return the bytes after the last complete event of a whole stream."""
    blank_line = BLANK_LINE if b'\r' in body else LINE_FEEDS
    end = 0
    for blank in blank_line.finditer(body):
        end = blank.end()
    return len(body[end:].lstrip(LINE_ENDS))


def _event_id(event: bytes) -> bytes | None:
    for line in event.splitlines():
        if line.startswith(b'id:'):
            return line[3:].strip()
    return None
