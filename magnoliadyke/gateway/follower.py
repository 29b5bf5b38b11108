"""Keeps a host's copy of the store's keys current, by watch or relay."""

import abc
import math
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
from magnoliadyke.gateway import placement_codec
from magnoliadyke.gateway import store
from magnoliadyke import logs

__all__ = ['Follower', 'Others']

LOG = logs.get('follower')

#: Longest wait of one watch call, in seconds.  The connection's own probes
#: detect that it is dead; this limit detects a store that keeps it open and
#: reports no changes.
WATCH_TIMEOUT_S = 3.0
#: Pause between two watch calls, in seconds.  It batches changes, which saves
#: most of the calls while a fleet starts.  It is well below the shortest limit
#: for a change to take effect (2 s).
BATCH_INTERVAL_S = 0.4
#: Pause after a failed call, in seconds, with as much random jitter on top.
#: It doubles with each consecutive failure, since calls count toward the
#: store's call rate also while it is unavailable.  After a pause of
#: MAX_RETRY_S a change still takes effect within the shortest limit.
RETRY_S = 0.25
MAX_RETRY_S = 0.7
#: Time limit of a read of the latest changes for which requests wait, in
#: seconds.
READ_LATEST_TIMEOUT_S = 0.3
#: Share of ``bound_s`` within which the store must report to this host a
#: change that another host has seen.  Other hosts read a change within
#: BATCH_INTERVAL_S, and gossip carries their position here within a second.
MAX_LAG_SHARE = 0.15
#: Interval between checks whether a grace period has ended and whether a relay
#: of updates is due, in seconds.
CHECK_INTERVAL_S = 0.1
#: Shares of ``bound_s``: a watching host sends an update at least every
#: RELAY_SHARE, and a host that misses two of them (RELAY_TIMEOUT_SHARE)
#: watches the store itself.
RELAY_SHARE = 0.15
RELAY_TIMEOUT_SHARE = 0.35
#: Interval at which a host that does not watch checks for missed updates, in
#: seconds.
PEER_UPDATES_CHECK_INTERVAL_S = 0.1
#: Hosts that have missed the same update delay their read of the store by a
#: random time up to this, in seconds.
MISSED_SPREAD_S = 0.2
#: Upper limit of the contact time reported to other hosts, in seconds; a host
#: that never lost the store reports this value.
MAX_REACHABLE_S = 3600.0


class Others(abc.ABC):
    """The other hosts that follow the same store."""

    @abc.abstractmethod
    def peer_addresses(self, first: str) -> list[str]:
        """Return the addresses of the other hosts that gossip lists as alive.

        :param first: name of the host to put first; the rest are in any order
        """

    @abc.abstractmethod
    def broadcast_position(self, upto: position.Position) -> None:
        """Send the position up to which this host has read the store."""

    @abc.abstractmethod
    def is_watcher(self) -> bool:
        """Return whether this host watches the store for other hosts."""

    @abc.abstractmethod
    def max_relay_bytes(self) -> float:
        """Return how many bytes of changes one relay may send to each host."""

    @abc.abstractmethod
    def relay(self, updates: list[placement_codec.KeyUpdates]) -> None:
        """Send changes to the hosts that do not watch the store."""


class Follower(app.Component):
    """Reads all keys of the store once, then follows their changes.

    One watch covers all keys, since each watch counts as a call of the store.
    In a large fleet a few hosts of each failure domain watch the store and
    relay its changes to the others, which read from the store only what they
    missed.

    If another host reports a later position and this host's watch stays
    behind, the keys are read again, or fetched from that host if the store
    does not answer.

    :param host: name of this host
    :param kv_store: client of the store
    :param mirror: applies the keys, as of ``lag.own_position``
    :param bound_s: shortest limit for a change to take effect, in seconds
    :ivar others: the other hosts, None for a host that runs alone
    :ivar is_always_watcher: returns whether this host must watch the store
        even where other hosts relay changes to it
    :ivar on_full_read: called after a read of all keys with the time at which
        the read began, by the clock that also runs during a suspension
    :ivar is_following_peers: whether this host applies the updates that other
        hosts relay, and does not watch the store itself
    :ivar missed: whether a relayed update was incomplete or left a gap
    :ivar updated_s: when a watching host last sent an update to this one
    :ivar relayed_s: when this host last relayed an update
    :ivar regained_s: when the store last came back after an outage
    :ivar failing_since_s: when the store's present outage began, None if the
        store answers
    :ivar read_s: when the latest answer of the store that this host applied
        was asked for, in seconds of the boot clock
    :ivar reread_needed: set when all keys have to be read again
    :ivar catch_up: fetches from other hosts what this one lacks
    :ivar not_relayed: keys that are not sent to other hosts; the hosts that
        need them read them
    """

    def __init__(
        self,
        host: str,
        kv_store: store.Store,
        mirror: keymirror.KeyMirror,
        clock: clocks.Clock,
        rng: random.Random,
        bound_s: float,
        others: Others | None = None,
    ) -> None:
        self.host = host
        self.store = kv_store
        self.mirror = mirror
        self.clock = clock
        self.rng = rng
        self.bound_s = bound_s
        self.others = others
        self.catch_up = catchup.CatchUp(self)
        self.failures = 0
        self.failing_since_s: float | None = None
        self.read_s = float('-inf')
        self.regained_s = float('-inf')
        self.lag = revisionlag.RevisionLag(bound_s * MAX_LAG_SHARE)
        self.reread_needed = event.Event()
        self.is_always_watcher: Callable[[], bool] = lambda: False
        self.on_full_read: Callable[[float], None] = lambda asked_s: None
        self.not_relayed: frozenset[str] = frozenset()
        self.is_following_peers = False
        self.missed = False
        self.updated_s = float('-inf')
        self.relayed_s = float('-inf')
        self.greenlets: list[gevent.Greenlet] = []
        self.watch_s = WATCH_TIMEOUT_S

    def start(self) -> None:
        """Start to read and watch the store, and to relay its changes."""
        self.greenlets = [
            gevent.spawn(self._run),
            gevent.spawn(self._run_checks),
            gevent.spawn(self.catch_up.run),
        ]

    def stop(self, deadline_s: float) -> None:
        """Stop at once; the deadline is not needed."""
        gevent.killall(self.greenlets)

    def unreachable_s(self) -> float:
        """Return how long the store has not answered; 0 if it answers."""
        if self.failing_since_s is None:
            return 0.0
        return self.clock.now_s() - self.failing_since_s

    def reachable_s(self) -> float:
        """Return how long the store has answered; 0 if it does not."""
        if self.failing_since_s is not None:
            return 0.0
        return self.clock.now_s() - self.regained_s

    def list_age_s(self) -> float:
        """Return how long ago this host knew all keys, in seconds.

        A host that follows others knows them by each of their updates.
        Infinite before the first read.
        """
        known_s = [self.mirror.catalog.confirmed_s]
        if self.is_following_peers and not self.missed:
            known_s.append(self.updated_s)
        latest_s = max((s for s in known_s if s is not None), default=None)
        if latest_s is None:
            return math.inf
        return self.clock.now_s() - latest_s

    def is_behind(self) -> bool:
        """Return whether a change seen by another host is overdue here."""
        missed_s = self.lag.missed_s(self.clock.now_s())
        return missed_s > BATCH_INTERVAL_S + self.lag.allowed_s

    def state(self, known: position.Position) -> peerstate.PeerState:
        """Return the keys that this host has read, for another host.

        :param known: position of the other host; the values of keys written up
            to it are left out, unless it is of another era
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
            self.store_contact(),
            self.mirror.expired_entries.since_regained_s(now_s),
            self.mirror.stale_entries.export(now_s),
        )

    def store_contact(self) -> expiredentries.StoreContact | None:
        """Return this host's contact with the store, direct or by relay.

        None during an outage and before the first read.
        """
        if (
            self.failing_since_s is not None
            or self.lag.own_position == position.START
        ):
            return None
        now_s = self.clock.now_s()
        since_s = self.regained_s
        age_s = 0.0
        if self.is_following_peers:
            since_s = max(since_s, self.mirror.expired_entries.regained_s)
            age_s = now_s - self.updated_s
        return expiredentries.StoreContact(
            min(now_s - since_s, MAX_REACHABLE_S), age_s
        )

    # Reading and watching the store.

    def _run(self) -> None:
        while True:
            if self._read_all():
                while self._follow():
                    pass
                if self.reread_needed.is_set():
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
        self.read_s = asked_s
        self.reread_needed.clear()
        self.on_full_read(asked_s)
        return True

    def _follow(self) -> bool:
        follows_peers = self._can_follow_peers()
        if follows_peers is not self.is_following_peers:
            self.is_following_peers = follows_peers
            by = 'other hosts' if follows_peers else 'its own watch'
            LOG.event('follows', by=by, position=self.lag.own_position)
        return (
            self._follow_peers() if self.is_following_peers else self._watch()
        )

    def _can_follow_peers(self) -> bool:
        """Return whether other hosts relay the changes to this one."""
        if (
            self.others is None
            or self.is_always_watcher()
            or self.others.is_watcher()
        ):
            return False
        return (
            self.clock.now_s() - self.updated_s
            < self.bound_s * RELAY_TIMEOUT_SHARE
        )

    def _follow_peers(self) -> bool:
        """Wait one interval for relayed updates; read those missed.

        :returns: False if all keys have to be read again
        """
        self.clock.sleep(PEER_UPDATES_CHECK_INTERVAL_S)
        if not self.missed and not self.reread_needed.is_set():
            return True
        self.reread_needed.clear()
        self.clock.sleep(MISSED_SPREAD_S * self.rng.random())
        return self._read_missed()

    def _read_missed(self) -> bool:
        """Read the changes that were not relayed, without waiting for more.

        :returns: False if all keys have to be read again
        """
        self.missed = False
        base = self.lag.own_position
        match self.store.watch('', base, 0.0):
            case store.Changes(changes, upto):
                self._record_success()
                if base == self.lag.own_position:
                    self.mirror.apply_changes(changes)
                    self._record_position(upto)
                return True
            case store.Restored():
                self.reread_needed.set()
            case store.Unavailable(reason):
                self._record_failure(reason)
        return False

    def read_latest(self) -> bool:
        """Apply the changes up to this moment; return whether that was done.

        During an outage the store is not asked.
        """
        if self.failing_since_s is not None:
            return False
        base = self.lag.own_position
        found = None
        with gevent.Timeout(READ_LATEST_TIMEOUT_S, False):
            found = self.store.watch('', base, 0.0)
        match found:
            case store.Changes(changes, upto):
                if base == self.lag.own_position:
                    self._record_success()
                    self.mirror.apply_changes(changes)
                    self._record_position(upto)
                    self._relay(base, changes)
                return self.lag.own_position >= upto
        return False

    def _watch(self) -> bool:
        """Apply and relay the changes that one watch call returns.

        :returns: False if all keys have to be read again
        """
        self.lag.record_poll(self.clock.now_s() + BATCH_INTERVAL_S)
        self.clock.sleep(BATCH_INTERVAL_S)
        base = self.lag.own_position
        asked_s = self.clock.boot_s()
        match self._watch_unless_behind(base, self.watch_s):
            case store.Changes(changes, upto):
                self._record_success()
                if base == self.lag.own_position:
                    self.mirror.apply_changes(changes)
                    self._record_position(upto)
                    self.read_s = asked_s
                    self._relay(base, changes)
                return True
            case store.Compacted():
                LOG.warning_event('watch_compacted', position=base)
            case store.Restored(era):
                LOG.warning_event('watch_of_earlier_era', era=era)
                self.reread_needed.set()
            case store.Unavailable(reason, was_cut=True):
                # Whether the store is away is told by the read that follows.
                LOG.warning_event('watch_cut', position=base, reason=reason)
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
        """Watch the store; abandon the call if all keys must be read again.

        A watch that the store holds open without reporting changes would
        otherwise last up to ``wait_s``, longer than a change may take.

        :returns: outcome of the watch, None if it was abandoned
        """
        self.reread_needed.clear()
        call = gevent.spawn(self.store.watch, '', after, wait_s)
        try:
            gevent.wait([call, self.reread_needed], count=1)
            return call.get() if call.ready() else None
        finally:
            call.kill()

    def take_all(
        self, items: dict[str, store.Item], at: position.Position
    ) -> None:
        """Apply all keys as of a position, unless a later one is applied.

        A response of the store that was in flight while another host relayed
        later changes would revert them.
        """
        own = self.lag.own_position
        if at < own:
            return
        if own not in (position.START, at):
            self.mirror.catalog.gaps += 1
        if own != position.START and at.era > own.era:
            self.mirror.restored(items, at)
        else:
            self.mirror.replace(items)
        if own == position.START and at.era:
            self.catch_up.start_stale_query()
        self._record_position(at)

    def _record_position(self, upto: position.Position) -> None:
        self.lag.record_own_position(upto)
        self.mirror.catalog.position = self.lag.own_position
        if self.others is not None:
            self.others.broadcast_position(self.lag.own_position)

    # Updates from and to other hosts.

    def record_peer_position(self, host: str, upto: position.Position) -> None:
        """Record the position up to which another host has read the store.

        A host that follows relayed updates counts the lag one batch interval
        later, since the watching hosts pause that long between two watches.
        """
        at_s = self.clock.now_s()
        if self.is_following_peers:
            at_s += BATCH_INTERVAL_S
        self.lag.record_peer_position(host, upto, at_s)

    def apply_updates(self, updates: placement_codec.KeyUpdates) -> None:
        """Apply an update relayed by a host that watches the store.

        Updates of an earlier era are ignored: their sender has not noticed
        yet that the store was restored.
        """
        if updates.position.era < self.lag.own_position.era:
            return
        now_s = self.clock.now_s()
        self.updated_s = now_s
        if not self.is_following_peers:
            return
        self.mirror.expired_entries.record_peer_regained(
            updates.regained_s, now_s
        )
        if updates.position <= self.lag.own_position:
            return
        if updates.base > self.lag.own_position or not updates.complete:
            self.missed = True
            return
        self.mirror.apply_changes(
            tuple(
                c
                for c in updates.changes
                if c.position > self.lag.own_position
            )
        )
        self._record_position(updates.position)

    def _relay(
        self,
        base: position.Position,
        changes: tuple[store.Item | store.Removed, ...] = (),
    ) -> None:
        """Send changes to the hosts that do not watch, if this one watches."""
        if self.others is None:
            return
        if not self.is_always_watcher() and not self.others.is_watcher():
            return
        now_s = self.clock.now_s()
        self.relayed_s = now_s
        regained_s = self.mirror.expired_entries.since_regained_s(now_s)
        updates = tuple(
            each for each in changes if each.key not in self.not_relayed
        )
        self.others.relay(
            keyupdates.split(
                self.host,
                base,
                self.lag.own_position,
                updates,
                regained_s,
                self.others.max_relay_bytes(),
            )
        )

    def _relay_idle(self) -> None:
        """Send an empty update if none was sent for bound_s * RELAY_SHARE.

        The update shows the other hosts that this host still reaches the
        store.
        """
        if self.is_following_peers or self.failing_since_s is not None:
            return
        if self.clock.now_s() - self.relayed_s >= self.bound_s * RELAY_SHARE:
            self._relay(self.lag.own_position)

    def _run_checks(self) -> None:
        # A grace period ends on time also while a call of the store waits.
        while True:
            self.clock.sleep(CHECK_INTERVAL_S)
            self.mirror.drop_expired()
            self._relay_idle()

    # Store outages.

    def era_changed(self) -> None:
        """Have all keys read again: the store answers in a later era."""
        self.reread_needed.set()

    def _record_success(self) -> None:
        now_s = self.clock.now_s()
        self.mirror.catalog.confirmed_s = now_s
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
