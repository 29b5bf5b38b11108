"""Follows the store's keys, by its own watch or by what others tell."""

import abc
import random
from typing import Callable

import gevent
from gevent import event

from magnoliadyke import app
from magnoliadyke import clock as clocks
from magnoliadyke.core import expiredentries
from magnoliadyke.core import position
from magnoliadyke.core import revisionlag
from magnoliadyke.gateway import catchup
from magnoliadyke.gateway import keymirror
from magnoliadyke.gateway import keyupdates
from magnoliadyke.gateway import peerstate
from magnoliadyke.gateway import placing_codec
from magnoliadyke.gateway import store
from magnoliadyke import logs

__all__ = ['Follower', 'Others']

LOG = logs.get('follower')

#: Longest wait of one watch.  The connection's own probes notice one that
#: went silent; the end of the wait notices a store that holds it open and
#: tells nothing.
WATCH_TIMEOUT_S = 3.0
#: Pause between two watches: changes that come together are told together,
#: which saves most of the calls while a fleet starts.  Well inside the
#: shortest time in which a change has to be in force (2 s).
BATCH_INTERVAL_S = 0.4
#: Pause after a failure, spread by as much again; it doubles in a row, as
#: each call of each host is counted also while the store is away, up to a
#: pause after which a change is still in force inside the shortest time.
RETRY_S = 0.25
MAX_RETRY_S = 0.7
#: Longest wait of a watch while entries are doubted, in seconds.
GRACE_WATCH_TIMEOUT_S = 0.2
#: Share of the shortest time in which a change has to be in force: how long
#: the store may take to tell what other hosts know.  A change reaches the
#: others within GATHER_S and their word of it within a second.
LAG_SHARE = 0.15
#: How often this host compares itself with the others, in seconds.
LAG_TICK_S = 0.1
#: More such shares: hosts that watch tell the others at least this often, and
#: one that has not heard of them twice watches by itself.
RELAY_SHARE = 0.15
RELAY_TIMEOUT_SHARE = 0.35
#: How often a host that does not watch looks what it has missed, in seconds.
PEER_UPDATES_TICK_S = 0.1
#: Hosts that have missed the same change read it spread over this time, in
#: seconds.
MISSED_SPREAD_S = 0.2
#: What a host that never lost the store says of how long it has had it.
MAX_REACHABLE_S = 3600.0


class Others(abc.ABC):
    """The other hosts, which follow the same store."""

    @abc.abstractmethod
    def peers(self, first: str) -> list[str]:
        """Addresses of those that are thought to run.

        :param first: name of the host that comes first; the others come in
            any order
        """

    @abc.abstractmethod
    def broadcast_position(self, upto: position.Position) -> None:
        """Tell them up to where this host has seen the store's keys."""

    @abc.abstractmethod
    def watches(self) -> bool:
        """Whether this host is one of those that watch the store."""

    @abc.abstractmethod
    def room(self) -> float:
        """Most bytes of changes to tell each of those that don't, at once."""

    @abc.abstractmethod
    def relay(self, told: list[placing_codec.KeyUpdates]) -> None:
        """Tell changes to those that don't; a host that watches does so."""


class Follower(app.Component):
    """Reads everything once, then watches.

    One watch for all keys: each watch is a call that is counted.  In a large
    fleet a few hosts of each failure domain watch and tell the others, which
    read only what they have missed.

    What other hosts have seen earlier makes it read anew, and is taken from
    them where the store does not answer.

    :param host: name of this host
    :param mirror: takes the keys, as of ``lag.own_position``
    :param bound_s: shortest time in which a change has to be in force
    :ivar others: the other hosts, None for one that is alone
    :ivar always_watches: whether this host watches though others would tell it
    :ivar read_whole: called once all keys were read, with the moment at which
        they were asked for, by the clock that passes during a suspension
    :ivar listening: it goes by what others tell
    :ivar updated_s: when one that watches last relayed something
    :ivar catch_up: asks other hosts for what this one lacks
    :ivar untold: keys that other hosts are told nothing of: whoever needs them
        reads them
    """

    def __init__(
        self,
        host: str,
        kept: store.Store,
        mirror: keymirror.KeyMirror,
        clock: clocks.Clock,
        rng: random.Random,
        bound_s: float,
        others: Others | None = None,
    ) -> None:
        self.host = host
        self.store = kept
        self.mirror = mirror
        self.clock = clock
        self.rng = rng
        self.bound_s = bound_s
        self.others = others
        self.catch_up = catchup.CatchUp(self)
        self.failures = 0
        self.failing_since_s: float | None = None
        self.regained_s = float('-inf')
        self.lag = revisionlag.RevisionLag(bound_s * LAG_SHARE)
        self.behind = event.Event()
        self.is_always_watcher: Callable[[], bool] = lambda: False
        self.on_full_read: Callable[[float], None] = lambda asked_s: None
        self.not_relayed: frozenset[str] = frozenset()
        self.listening = False
        self.missed = False
        self.updated_s = float('-inf')
        self.relayed_s = float('-inf')
        self.greenlets: list[gevent.Greenlet] = []
        self.watch_s = WATCH_TIMEOUT_S

    def start(self) -> None:
        """Begin to follow."""
        self.greenlets = [
            gevent.spawn(self._run),
            gevent.spawn(self._run_relay_loop),
            gevent.spawn(self.catch_up.run),
        ]

    def stop(self, deadline_s: float) -> None:
        """Stop following."""
        gevent.killall(self.greenlets)

    def unreachable_s(self) -> float:
        """For how long the store has been out of reach; 0 if it isn't."""
        if self.failing_since_s is None:
            return 0.0
        return self.clock.now_s() - self.failing_since_s

    def reachable_s(self) -> float:
        """For how long the store has been in reach; 0 if it isn't."""
        if self.failing_since_s is not None:
            return 0.0
        return self.clock.now_s() - self.regained_s

    def is_behind(self) -> bool:
        """Whether others have known for long what this host has not seen."""
        missed_s = self.lag.missed_s(self.clock.now_s())
        return missed_s > BATCH_INTERVAL_S + self.lag.allowed_s

    def state(self, known: position.Position) -> peerstate.PeerState:
        """What this host has seen, for one that asks.

        :param known: items up to it are left out if it is of this era
        """
        now_s = self.clock.now_s()
        return peerstate.PeerState(
            tuple(
                item
                for item in self.mirror.items.values()
                if item.key not in self.not_relayed
                and (item.position > known or known.era != item.position.era)
            ),
            {
                key: item.position
                for key, item in self.mirror.items.items()
                if key not in self.not_relayed
            },
            self.lag.own_position,
            self._store_contact(now_s),
            self.mirror.expired_entries.since_regained_s(now_s),
            self.mirror.stale_entries.export(now_s),
        )

    def _store_contact(
        self, now_s: float
    ) -> expiredentries.StoreContact | None:
        """Word of the store, its own or that of a host that watches."""
        if (
            self.failing_since_s is not None
            or self.lag.own_position == position.START
        ):
            return None
        since_s = self.regained_s
        age_s = 0.0
        if self.listening:
            since_s = max(since_s, self.mirror.expired_entries.regained_s)
            age_s = now_s - self.updated_s
        return expiredentries.StoreContact(
            min(now_s - since_s, MAX_REACHABLE_S), age_s
        )

    # The store.

    def _run(self) -> None:
        while True:
            if self._read_all():
                while self._follow():
                    pass
                if self.behind.is_set():
                    continue
            pause_s = min(MAX_RETRY_S, RETRY_S * 2 ** min(self.failures, 4))
            self.clock.sleep(pause_s * (1 + self.rng.random()))

    def _read_all(self) -> bool:
        asked_s = self.clock.boot_s()
        found = self.store.list_prefix('')
        if isinstance(found, store.Unavailable):
            self._record_failure(found.reason)
            return False
        self._record_success()
        self.take_all({i.key: i for i in found.items}, found.position)
        self.behind.clear()
        self.on_full_read(asked_s)
        return True

    def _follow(self) -> bool:
        listening = self._can_follow_peers()
        if listening is not self.listening:
            self.listening = listening
            by = 'other hosts' if listening else 'its own watch'
            LOG.event('follows', by=by, position=self.lag.own_position)
        return self._follow_peers() if self.listening else self._watch()

    def _can_follow_peers(self) -> bool:
        """Whether this host hears of changes without a watch of its own."""
        if (
            self.others is None
            or self.is_always_watcher()
            or self.others.watches()
        ):
            return False
        return (
            self.clock.now_s() - self.updated_s
            < self.bound_s * RELAY_TIMEOUT_SHARE
        )

    def _follow_peers(self) -> bool:
        """Wait for word of others; False where all has to be read anew."""
        self.clock.sleep(PEER_UPDATES_TICK_S)
        self.mirror.drop_expired()
        if not self.missed and not self.behind.is_set():
            return True
        self.behind.clear()
        self.clock.sleep(MISSED_SPREAD_S * self.rng.random())
        return self._read_missed()

    def _read_missed(self) -> bool:
        """Read the changes that nobody has told, without waiting for more."""
        self.missed = False
        base = self.lag.own_position
        match self.store.watch('', base, 0.0):
            case store.Changes(changes, upto):
                self._record_success()
                if base == self.lag.own_position:
                    self.mirror.change(changes)
                    self._record_position(upto)
                return True
            case store.Restored():
                self.behind.set()
            case store.Unavailable(reason):
                self._record_failure(reason)
        return False

    def _watch(self) -> bool:
        """Take the next changes; False where all has to be read anew."""
        self.lag.record_poll(self.clock.now_s() + BATCH_INTERVAL_S)
        self.clock.sleep(BATCH_INTERVAL_S)
        self.mirror.drop_expired()
        wait_s = self.watch_s
        if self.mirror.expired_entries.grace_until_s:
            wait_s = min(wait_s, GRACE_WATCH_TIMEOUT_S)
        base = self.lag.own_position
        match self._watch_unless_behind(base, wait_s):
            case store.Changes(changes, upto):
                self._record_success()
                if base == self.lag.own_position:
                    self.mirror.change(changes)
                    self._record_position(upto)
                    self._relay(base, changes)
                return True
            case store.Compacted():
                LOG.warning_event('watch_compacted', position=base)
            case store.Restored(era):
                LOG.warning_event('watch_of_earlier_era', era=era)
                self.behind.set()
            case store.Unavailable(reason):
                self._record_failure(reason)
            case None:
                LOG.warning_event('watch_given_up', position=base)
        return False

    def _watch_unless_behind(
        self, after: position.Position, wait_s: float
    ) -> (
        store.Changes
        | store.Compacted
        | store.Restored
        | store.Unavailable
        | None
    ):
        """Watch, but no longer than until this host is found to be behind.

        A watch that the store holds open and that tells nothing would else
        be waited for to its end, longer than a change may take.

        :returns: the watch's outcome, None if it was given up
        """
        self.behind.clear()
        call = gevent.spawn(self.store.watch, '', after, wait_s)
        try:
            gevent.wait([call, self.behind], count=1)
            return call.get() if call.ready() else None
        finally:
            call.kill()

    def take_all(
        self, items: dict[str, store.Item], at: position.Position
    ) -> None:
        """Take all keys as of a position, unless newer ones are known.

        An answer of the store that was under way while another host told of
        later changes would take them back.
        """
        own = self.lag.own_position
        if at < own:
            return
        if own != position.START and at.era > own.era:
            self.mirror.restored(items, at)
        else:
            self.mirror.replace(items)
        if own == position.START and at.era:
            self.catch_up.begin()
        self._record_position(at)

    def _record_position(self, upto: position.Position) -> None:
        self.lag.record_own_position(upto)
        if self.others is not None:
            self.others.broadcast_position(self.lag.own_position)

    # Other hosts.

    def record_peer_position(self, host: str, upto: position.Position) -> None:
        """Another host has told up to where it has seen the keys.

        Those that tell this one what has changed may pause as long as any
        host that watches.
        """
        at_s = self.clock.now_s()
        if self.listening:
            at_s += BATCH_INTERVAL_S
        self.lag.record_peer_position(host, upto, at_s)

    def apply_updates(self, told: placing_codec.KeyUpdates) -> None:
        """A host that watches the store tells what it has seen.

        One that has not noticed a restore yet tells nothing that holds.
        """
        if told.position.era < self.lag.own_position.era:
            return
        now_s = self.clock.now_s()
        self.updated_s = now_s
        if not self.listening:
            return
        self.mirror.expired_entries.record_peer_regained(
            told.regained_s, now_s
        )
        if told.position <= self.lag.own_position:
            return
        if told.base > self.lag.own_position or not told.complete:
            self.missed = True
            return
        self.mirror.change(
            tuple(
                c for c in told.changes if c.position > self.lag.own_position
            )
        )
        self._record_position(told.position)

    def _relay(
        self,
        base: position.Position,
        changes: tuple[store.Item | store.Removed, ...] = (),
    ) -> None:
        """Tell the hosts that do not watch, if this one is to."""
        if self.others is None:
            return
        if not self.is_always_watcher() and not self.others.watches():
            return
        now_s = self.clock.now_s()
        self.relayed_s = now_s
        regained_s = self.mirror.expired_entries.since_regained_s(now_s)
        told = tuple(
            each for each in changes if each.key not in self.not_relayed
        )
        self.others.relay(
            keyupdates.split(
                self.host,
                base,
                self.lag.own_position,
                told,
                regained_s,
                self.others.room(),
            )
        )

    def _relay_idle(self) -> None:
        """Tell that nothing has changed, as long as the store is there."""
        if self.listening or self.failing_since_s is not None:
            return
        if self.clock.now_s() - self.relayed_s >= self.bound_s * RELAY_SHARE:
            self._relay(self.lag.own_position)

    def _run_relay_loop(self) -> None:
        while True:
            self.clock.sleep(LAG_TICK_S)
            self._relay_idle()

    # Whether the store is there.

    def era_changed(self) -> None:
        """The store answers in a later era: all has to be read anew."""
        self.behind.set()

    def _record_success(self) -> None:
        now_s = self.clock.now_s()
        self.mirror.catalog.checked_s = now_s
        self.failures = 0
        if self.failing_since_s is not None:
            LOG.event('store_regained', after_s=now_s - self.failing_since_s)
            self.mirror.expired_entries.record_store_regained(
                now_s, self.failing_since_s
            )
            self.failing_since_s = None
            self.regained_s = now_s

    def _record_failure(self, reason: str) -> None:
        self.failures += 1
        if self.failing_since_s is None:
            self.failing_since_s = self.clock.now_s()
            LOG.warning_event('store_lost', reason=reason)
