"""Server-sent events cut out of the bytes of a stream."""

from typing import NamedTuple

__all__ = ['Event', 'EventSplitter']


class Event(NamedTuple):
    """One whole event.

    :param id: its id, None if it has none
    """

    id: bytes | None
    data: bytes


class EventSplitter:
    """Collects bytes and gives whole events.

    An endpoint may break off in the middle of an event.  Only whole events
    are passed on, so that the stream can go on at another endpoint.
    """

    def __init__(self) -> None:
        self.incomplete = b''

    def feed(self, data: bytes) -> list[Event]:
        """Take bytes in; returns the events that are complete now."""
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
