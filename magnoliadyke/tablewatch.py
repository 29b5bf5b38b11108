"""Reader and watch of the key that holds the table document."""

import typing

import gevent

from magnoliadyke import app
from magnoliadyke.core import budget
from magnoliadyke import keyvalue

__all__ = ['KEY', 'StoreRead', 'TableReader', 'TableWatch']

#: The key that holds the table document.
KEY = 'table'
#: Timeout of one watch; the store counts each watch as one call.
WATCH_WAIT_S = 20.0
#: Shortest pause after a failure; the budget's backoff comes on top of it.
MIN_PAUSE_S = 0.05


class StoreRead(typing.NamedTuple):
    """The outcome of a read of the table's key.

    :param outcome: Found, Absent, Unavailable or RateLimited, of
        :mod:`magnoliadyke.keyvalue`
    :param sent_s: monotonic time at which the read was sent
    """

    outcome: object
    sent_s: float


class TableReader:
    """Reads the key and posts the outcomes.

    :param owner: task to which each :class:`StoreRead` is posted
    :param store: a :class:`magnoliadyke.keyvalue.KeyValue`
    :ivar busy: whether a read in the background is in flight
    """

    def __init__(self, owner, store, clock):
        self.owner = owner
        self.store = store.with_call_kind(budget.CallKind.TABLE_READ)
        self.clock = clock
        self.busy = False

    def read(self):
        """Read the key once, post the outcome and return it."""
        sent_s = self.clock.now_s()
        outcome = self.store.get(KEY)
        self.owner.post(StoreRead(outcome, sent_s))
        return outcome

    def read_in_background(self):
        """Read once in a new greenlet, unless such a read is in flight."""
        if not self.busy:
            self.busy = True
            gevent.spawn(self.read_once)

    def read_once(self):
        """Read once, then allow the next read in the background."""
        try:
            self.read()
        finally:
            self.busy = False


class TableWatch(app.Component):
    """Watches the key; pauses with jitter while the store does not answer.

    :param owner: task to which each :class:`StoreRead` is posted
    :param store: a :class:`magnoliadyke.keyvalue.KeyValue`
    :param rng: source of randomness
    :ivar watched_after_revision: the watch in flight waits for a revision
        above this one; None if there is no watch in flight
    """

    def __init__(self, owner, store, clock, rng):
        self.owner = owner
        self.store = store.with_call_kind(budget.CallKind.WATCH)
        self.reader = TableReader(owner, store, clock)
        self.clock = clock
        self.rng = rng
        self.watched_after_revision = None
        self.greenlet = None

    def start(self):
        """Start to watch the key in a new greenlet."""
        self.greenlet = gevent.spawn(self.run)

    def stop(self, deadline_s):
        """Stop watching; a call in flight is abandoned."""
        if self.greenlet is not None:
            self.greenlet.kill()

    def run(self):
        """Read the key, then watch for revisions above the one that was read.

        A store that was restored from a backup continues at an older
        revision, and a watch for a higher one ends without a change. The read
        after each such watch detects this.
        """
        while True:
            after = self.revision_to_watch(self.reader.read())
            while after is not None:
                after = self.revision_to_watch(self.watch_once(after))

    def watch_once(self, after):
        """Watch once; return the outcome.

        If the key did not change, it is read and the outcome of the read is
        returned.
        """
        sent_s = self.clock.now_s()
        self.watched_after_revision = after
        outcome = self.store.watch(KEY, after, WATCH_WAIT_S)
        self.watched_after_revision = None
        match outcome:
            case keyvalue.Unchanged():
                return self.reader.read()
        self.owner.post(StoreRead(outcome, sent_s))
        return outcome

    def revision_to_watch(self, outcome):
        """Return the revision after which to watch.

        :returns: None, after a pause, if the key has to be read again
        """
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

    def pause(self, min_pause_s):
        """Sleep with jitter, so that nodes do not retry at the same time.

        :param min_pause_s: shortest pause, in seconds
        """
        jitter_s = max(min_pause_s, MIN_PAUSE_S) * self.rng.random()
        self.clock.sleep(min_pause_s + MIN_PAUSE_S + jitter_s)
