"""Reads of the table's key: one watch, and single reads when needed."""

import typing

import gevent

from magnoliadyke import app
from magnoliadyke.core import budget
from magnoliadyke import keyvalue

__all__ = ['KEY', 'StoreRead', 'TableReader', 'TableWatch']

#: The key that holds the table's document.
KEY = 'table'
#: Longest wait of one watch; the store counts each as a call.
WATCH_WAIT_S = 20.0
#: Pause after a failure, before the budget's own pauses are added.
MIN_PAUSE_S = 0.05


class StoreRead(typing.NamedTuple):
    """What a read of the table's key showed.

    :param outcome: Found, Absent, Unchanged, Unavailable or RateLimited
    :param sent_s: monotonic time at which the read began
    """

    outcome: object
    sent_s: float


class TableReader:
    """Reads the key and posts what it shows.

    :param owner: task that gets :class:`StoreRead`
    :param store: a :class:`magnoliadyke.keyvalue.KeyValue`
    """

    def __init__(self, owner, store, clock):
        self.owner = owner
        self.store = store.with_call_kind(budget.CallKind.TABLE_READ)
        self.clock = clock
        self.busy = False

    def read(self):
        """Read once; return the outcome."""
        sent_s = self.clock.now_s()
        outcome = self.store.get(KEY)
        self.owner.post(StoreRead(outcome, sent_s))
        return outcome

    def read_in_background(self):
        """Read once in the background, unless a read is under way."""
        if not self.busy:
            self.busy = True
            gevent.spawn(self.read_once)

    def read_once(self):
        """Read, then allow the next read."""
        try:
            self.read()
        finally:
            self.busy = False


class TableWatch(app.Component):
    """Follows the key; pauses with jitter while the store is away.

    :param owner: task that gets :class:`StoreRead`
    :param store: a :class:`magnoliadyke.keyvalue.KeyValue`
    :param rng: source of randomness
    :ivar after: revision that the watch under way waits to pass, or None
    """

    def __init__(self, owner, store, clock, rng):
        self.owner = owner
        self.store = store.with_call_kind(budget.CallKind.WATCH)
        self.reader = TableReader(owner, store, clock)
        self.clock = clock
        self.rng = rng
        self.after = None
        self.greenlet = None

    def start(self):
        """Follow the key in a greenlet of its own."""
        self.greenlet = gevent.spawn(self.run)

    def stop(self, deadline_s):
        """End; a waiting call is dropped."""
        if self.greenlet is not None:
            self.greenlet.kill()

    def run(self):
        """Read, then watch from the revision that the read showed.

        A store that was restored to an older copy counts on from an older
        revision, and a watch for a later one stays silent. The read after
        each quiet watch finds that out.
        """
        while True:
            after = self.revision_to_watch(self.reader.read())
            while after is not None:
                after = self.revision_to_watch(self.watch_once(after))

    def watch_once(self, after):
        """Watch once; return what it, or the read after it, showed."""
        sent_s = self.clock.now_s()
        self.after = after
        outcome = self.store.watch(KEY, after, WATCH_WAIT_S)
        self.after = None
        match outcome:
            case keyvalue.Unchanged():
                return self.reader.read()
        self.owner.post(StoreRead(outcome, sent_s))
        return outcome

    def revision_to_watch(self, outcome):
        """Return the revision to watch from, None to read again."""
        match outcome:
            case keyvalue.Found(revision=revision):
                return revision
            case keyvalue.Absent():
                return 0
            case keyvalue.RateLimited(after_s):
                self.pause(after_s)
            case _:
                self.pause(0.0)
        return None

    def pause(self, least_s):
        """Wait; nodes that fail together don't come back together."""
        spread_s = max(least_s, MIN_PAUSE_S) * self.rng.random()
        self.clock.sleep(least_s + MIN_PAUSE_S + spread_s)
