"""Cache events of an engine stand-in, published late and with gaps."""

import collections
import random
import time
import typing

import gevent
from gevent import event

__all__ = ['EventLog', 'Entry']

MAX_ENTRIES = 4_000
MAX_WAIT_S = 30.0


class Entry(typing.NamedTuple):
    """One event; ``blocks`` is ``None`` if the event was lost.

    :param kind: ``stored`` or ``evicted``
    :param ready_s: monotonic time from which it is published
    """

    seq: int
    kind: str
    blocks: tuple[str, ...] | None
    ready_s: float


class EventLog:
    """Log of an engine's cache events.

    :param delay_s: seconds until an event is published
    :param loss: share of events that are never published
    """

    def __init__(self, delay_s, loss):
        self.delay_s = delay_s
        self.loss = loss
        self.seq = 0
        self.entries = collections.deque(maxlen=MAX_ENTRIES)
        self.added = event.Event()
        self.rng = random.Random(0)

    def add(self, kind, blocks, now_s, loss):
        """Append one event.

        :param loss: probability that the event is lost
        """
        self.seq += 1
        lost = self.rng.random() < loss
        published_blocks = None if lost else blocks
        self.entries.append(
            Entry(self.seq, kind, published_blocks, now_s + self.delay_s)
        )
        added, self.added = self.added, event.Event()
        added.set()

    def read(self, after, wait_s):
        """Return the events after a sequence number, as the protocol has them.

        :param wait_s: maximum wait for the first event, in seconds
        """
        end_s = time.monotonic() + min(wait_s, MAX_WAIT_S)
        while True:
            now_s = time.monotonic()
            ready = self.ready_entries(after, now_s)
            if ready or now_s >= end_s:
                return self.format_entries(after, ready)
            self.wait_for_entry(after, now_s, end_s)

    def ready_entries(self, after, now_s):
        """Return the entries after ``after`` whose delay is over."""
        return [
            e for e in self.entries if e.seq > after and e.ready_s <= now_s
        ]

    def wait_for_entry(self, after, now_s, end_s):
        """Wait until an entry after ``after`` is ready, or until ``end_s``."""
        ready_times_s = [e.ready_s for e in self.entries if e.seq > after]
        until_s = min([end_s, *ready_times_s])
        if ready_times_s:
            gevent.sleep(until_s - now_s)
        else:
            self.added.wait(until_s - now_s)

    def format_entries(self, after, ready):
        """Return the body of ``GET /v1/cache_events``."""
        next_seq = ready[-1].seq if ready else after
        # After a restart of the engine its log starts again at 1, so that a
        # reader's sequence number may be larger than any in the log.
        restarted = after > self.seq
        trimmed = bool(self.entries) and self.entries[0].seq > after + 1
        lost = any(e.blocks is None for e in ready)
        return {
            'events': [
                {'seq': e.seq, 'kind': e.kind, 'blocks': e.blocks}
                for e in ready
                if e.blocks is not None
            ],
            'next': 0 if restarted else next_seq,
            'gap': restarted or trimmed or lost,
        }
