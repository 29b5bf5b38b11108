"""How long callers of streams may wait, kept in the store.

Hosts that have all just started know the routes of the present configuration
only; callers that came by an earlier one may still wait for longer.
"""

import json
import math
import random

import gevent

from magnoliadyke import clock as clocks
from magnoliadyke.core import catalog
from magnoliadyke.core import position
from magnoliadyke.core import streamversions
from magnoliadyke.gateway import keymirror
from magnoliadyke.gateway import members
from magnoliadyke.gateway import store
from magnoliadyke import logs

__all__ = ['WAITS_KEY', 'CallerWaits']

LOG = logs.get('callerwaits')

WAITS_KEY = 'magnoliadyke/caller-waits'
FIELD = 'longest_ms'
#: Time from a longer wait to its write, in seconds: hosts that start together
#: find no key of their own making.
WRITE_DELAY_S = 5.0
#: Interval for one host among all to write a longer wait, in seconds.  Hosts
#: that learn of it together do not write it together.
WRITE_INTERVAL_S = 0.1


class CallerWaits(keymirror.Listener):
    """Keeps the longest time for which callers of streams may wait.

    :ivar longest_s: longest known wait, in seconds; it only grows
    :ivar stored_s: wait that the store keeps, in seconds; 0 without one
    :ivar position: position of the store's key, None without one
    :ivar due_s: when this host writes a longer wait unless another one has
    :ivar greenlet: the last write, None before the first one
    """

    def __init__(
        self,
        kv_store: store.Store,
        endpoint_catalog: catalog.Catalog,
        others: members.Members,
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        self.store = kv_store
        self.catalog = endpoint_catalog
        self.members = others
        self.clock = clock
        self.rng = rng
        self.longest_s = 0.0
        self.stored_s = 0.0
        self.position: position.Position | None = None
        self.due_s: float | None = None
        self.greenlet: gevent.Greenlet | None = None

    def record(self, wait_s: float) -> None:
        """Record how long callers of a route may wait, in seconds."""
        bounded_s = min(wait_s, streamversions.MAX_RECORD_S)
        self.longest_s = max(self.longest_s, bounded_s)

    # Notifications of the store.

    def changed(self, item: store.Item) -> None:
        """Adopt the wait that the store keeps."""
        self.position = item.position
        self.stored_s = _decode(item)
        self.record(self.stored_s)

    def removed(self, key: str) -> None:
        """Record that the store keeps no wait."""
        self.position = None
        self.stored_s = 0.0

    def restored(
        self, items: dict[str, store.Item], at: position.Position
    ) -> None:
        """Adopt the wait of a store that was restored from a backup."""
        self.removed(WAITS_KEY)
        if WAITS_KEY in items:
            self.changed(items[WAITS_KEY])

    # Writing.

    def write_if_due(self) -> None:
        """Have the store keep the longest wait, unless another host does."""
        if self.longest_s <= self.stored_s:
            self.due_s = None
            return
        if self.greenlet is not None and not self.greenlet.ready():
            return
        now_s = self.clock.now_s()
        if self.due_s is None:
            spread_s = WRITE_INTERVAL_S * self.members.count()
            self.due_s = now_s + WRITE_DELAY_S + spread_s * self.rng.random()
        if now_s >= self.due_s:
            self.due_s = None
            self.greenlet = gevent.spawn(self._write)

    def _write(self) -> None:
        longest_s = self.longest_s
        value = json.dumps({FIELD: math.ceil(longest_s * 1000)}).encode()
        era = self.catalog.position.era
        expected = self.position or position.Position(era, 0)
        put = store.Put(WAITS_KEY, value)
        match self.store.commit({WAITS_KEY: expected}, (put,)):
            case store.Written(written):
                self.changed(store.Item(WAITS_KEY, value, written))
                LOG.event('caller_wait_kept', longest_s=longest_s)
            case store.Conflict(items):
                self.removed(WAITS_KEY)
                for item in items:
                    self.changed(item)

    def stop(self) -> None:
        """End a write that is under way."""
        if self.greenlet is not None:
            self.greenlet.kill()


def _decode(item: store.Item) -> float:
    """Return the wait in a value, in seconds; the longest if unreadable."""
    try:
        found = json.loads(item.value)
        longest_ms = found[FIELD]
        if isinstance(longest_ms, bool) or not 0 <= longest_ms < 1e9:
            raise ValueError(FIELD)
        return longest_ms / 1000
    except (ValueError, TypeError, KeyError, RecursionError):
        LOG.throttled_warning(
            'caller_wait_unreadable',
            item.key,
            key=item.key,
            expected=f'object with {FIELD}, a number of milliseconds',
            got=f'{item.value!r:.80}',
            position=item.position,
        )
        return streamversions.MAX_RECORD_S
