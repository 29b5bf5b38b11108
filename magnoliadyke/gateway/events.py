"""Splits the bytes of a stream into server-sent events."""

from typing import NamedTuple

__all__ = ['Event', 'EventSplitter']


class Event(NamedTuple):
    """One complete server-sent event.

    :param id: value of the event's ``id`` field, None if it has none
    :param data: bytes of the event, with its terminating blank line
    """

    id: bytes | None
    data: bytes


class EventSplitter:
    """Buffers the bytes of a stream and returns complete server-sent events.

    An endpoint may break off in the middle of an event. Only complete events
    are relayed to the caller, so that another endpoint can resume the stream.

    :ivar incomplete: bytes of the event that is not complete yet
    """

    def __init__(self) -> None:
        self.incomplete = b''

    def feed(self, data: bytes) -> list[Event]:
        """Append bytes; return the events that they complete."""
        self.incomplete += data
        events = []
        while (end := self.incomplete.find(b'\n\n')) >= 0:
            event, self.incomplete = (
                self.incomplete[: end + 2],
                self.incomplete[end + 2 :],
            )
            events.append(Event(_event_id(event), event))
        return events


def _event_id(event: bytes) -> bytes | None:
    for line in event.split(b'\n'):
        if line.startswith(b'id:'):
            return line[3:].strip()
    return None
