"""Elects the placement leader through a lease in the store."""

import collections
import hashlib
import json
import random
from typing import Callable
from typing import NamedTuple
from typing import TypeVar

import gevent

from magnoliadyke import app
from magnoliadyke import clock as clocks
from magnoliadyke.core import membership
from magnoliadyke.core import position
from magnoliadyke.gateway import fields
from magnoliadyke.gateway import follower
from magnoliadyke.gateway import keymirror
from magnoliadyke.gateway import members
from magnoliadyke.gateway import operatorcalls
from magnoliadyke.gateway import placement_codec
from magnoliadyke.gateway import placementservice
from magnoliadyke.gateway import store
from magnoliadyke import logs

__all__ = ['LEADER_KEY', 'Leadership', 'placement_capacity']

LOG = logs.get('leadership')

LEADER_KEY = 'magnoliadyke/leader'
#: Time to live of the lease, in seconds.  A change of leader loses the
#: leader's record of jobs at the engines, so the lease outlasts the usual
#: network interruptions between one host and the store.  A leader that dies
#: is replaced sooner, once gossip reports it dead.
LEASE_S = 12.0
#: Interval between renewals of the lease, in seconds.
RENEW_S = 2.0
#: Share of the time to live during which the leader may send orders, counted
#: from before the renewal was sent.  The remainder allows for drift between
#: its clock and the store's.
ORDER_TTL_SHARE = 0.8
#: Interval between checks for a vacant lease on other hosts, in seconds.
TICK_S = 0.1
#: The leader yields after it has not reached the store, or as the only host
#: has reached no engine, for this long, in seconds.  A failed watch is
#: detected within 0.5 s, and after an outage of the store all hosts reconnect
#: within that time.
YIELD_S = 1.5
#: A host replaces a yielding leader only after the store has been reachable
#: for this long, in seconds.
MIN_REACHABLE_S = 1.0
#: A leader that is not a member in gossip, and that does not answer
#: placement requests, is treated as dead this long after this host learned
#: of its lease, in seconds: gossip takes as long to declare a host dead.
UNKNOWN_LEADER_TIMEOUT_S = 2.0
#: Interval between the leader's checks of its lease and of its connection
#: to the store, in seconds.
LEASE_CHECK_INTERVAL_S = 0.25
#: Shortest pause after a failed call to the store, in seconds; jitter adds
#: up to as much again.
RETRY_S = 0.5
#: A host that has just started and has found no leader waits this long before
#: it contends, in seconds, so that the other hosts are listed first.  Else
#: the first listed host would lead, whatever its capacity.  Hosts of a fleet
#: start within some tenths of a second, and reread the list within 0.5 s.
GATHERING_S = 1.5
#: Cost of one placement to the leader: CPU seconds, and bits on its network
#: link for the request, the decision and the reports.
PLACEMENT_CORE_S = 0.0003
PLACEMENT_LINK_BITS = 12_000
#: A candidate waits this long per rank, in seconds, so that usually only one
#: writes the key.
RANK_DELAY_S = 0.12
#: Rank of the candidates with the longest delay.
MAX_RANK = 8
#: Margin added to the gap between two leaders' orders, in seconds.  A leader
#: checks at the store that it still holds the key before each order, so the
#: previous leader sent its last order at most one call's duration after the
#: key changed.
GAP_MARGIN_S = 1.5


#: After a restore of the store the current leader keeps placing, and the
#: other hosts wait this much longer before they contend, in seconds.  Hosts
#: read the restored store up to one retry pause apart.
REACQUIRE_GRACE_S = 1.5
#: Number of terms remembered, to recognize a former leader that a restored
#: copy of the store names.
MAX_TERMS = 32


#: Outcome of a call to the platform.
_Outcome = TypeVar('_Outcome')


class _Term(NamedTuple):
    """Term of one process as leader, with the revision of its leader key."""

    host: str
    incarnation: int
    revision: int


class _LeaderRecord(NamedTuple):
    """The value of the leader key."""

    host: str
    incarnation: int
    address: str

    @classmethod
    def parse(cls, value: bytes) -> '_LeaderRecord':
        """Decode a stored record.

        :raises fields.BadField: not a JSON object, or a field is missing or
            has a wrong type or value
        """
        found = fields.parse_object(value)
        return cls(
            fields.read_string(found, 'host'),
            fields.read_integer(found, 'incarnation', 0),
            fields.read_ip(found, 'address'),
        )


class Leadership(app.Component, keymirror.Listener):
    """Acquires and renews the leader lease, or follows its holder.

    :param min_lease_s: shortest time to live that the store grants, in
        seconds
    :param order_gap_s: minimum time between the last order of one leader and
        the first order of the next, in seconds
    :param broadcast: sends a message to all other hosts
    :ivar contact: follower of the store, which reports whether the store is
        reachable
    :ivar engines_cut_off_s: returns for how long this host alone has reached
        no engine, in seconds
    :ivar yielding: whether this host holds the lease and requests a
        successor, as it can't reach the store or the engines
    :ivar yielded: position of the key of a leader that requests a successor
    :ivar held_position: position of this host's own key while it holds the
        lease
    :ivar acquired_position: position of this host's own key when it last
        acquired leadership; a restore of the store does not change it
    :ivar held_s: latest time at which this host is known to have held the key,
        in seconds of the boot clock
    :ivar holder_position: position of the current leader's key, or of the
        key of a former leader in a restored copy of the store; ``START`` if
        there is no key
    :ivar holder_since_s: when this host learned of the current leader
    :ivar order_from_s: when this host may send its first order, after those
        of the previous leader have taken effect
    """

    def __init__(
        self,
        own: members.HostRecord,
        others: members.Members,
        placement_service: placementservice.PlacementService,
        kv_store: store.Store,
        min_lease_s: float,
        order_gap_s: float,
        broadcast: Callable[[placement_codec.LeaderAnnouncement], None],
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        self.own = own
        self.members = others
        self.placement_service = placement_service
        self.store = kv_store
        self.lease_s = max(LEASE_S, min_lease_s)
        self.order_gap_s = order_gap_s
        self.broadcast = broadcast
        self.contact: follower.Follower | None = None
        self.engines_cut_off_s: Callable[[], float] = lambda: 0.0
        self.yielding = False
        self.yielded = position.START
        self.renew_s = 0.0
        self.clock = clock
        self.rng = rng
        self.lease: int | None = None
        self.held_position = position.START
        self.acquired_position = position.START
        self.held_s = float('-inf')
        self.order_from_s = 0.0
        self.order_until_s = 0.0
        self.holder: str | None = None
        self.holder_incarnation = 0
        self.holder_position = position.START
        self.terms: collections.deque[_Term] = collections.deque(
            maxlen=MAX_TERMS
        )
        self.holder_since_s = clock.now_s()
        self.vacant_since_s: float | None = clock.now_s()
        self.gathered_s = clock.now_s() + GATHERING_S
        self.greenlet: gevent.Greenlet | None = None

    @property
    def fencing(self) -> int:
        """Fencing token of this host's orders.

        The token grows with each change of leader and each store epoch.
        """
        return self.held_position.packed

    def start(self) -> None:
        """Start to contend for the lease."""
        self.greenlet = gevent.spawn(self._run)

    def stop(self, deadline_s: float) -> None:
        """Stop contending and revoke the lease."""
        if self.greenlet is not None:
            self.greenlet.kill()
        self.resign()

    def resign(self) -> None:
        """Revoke the lease so that another host can take over."""
        lease, self.lease = self.lease, None
        self.placement_service.leading = False
        if lease is not None:
            self.store.revoke(lease)

    def may_order(self) -> bool:
        """Whether an order sent now is certainly covered by the lease."""
        return (
            self.lease is not None
            and not self.yielding
            and self.order_from_s <= self.clock.now_s() < self.order_until_s
        )

    def confirm(
        self,
    ) -> store.Written | store.Conflict | store.Restored | store.Unavailable:
        """Check at the store that this host still holds the key.

        The transaction writes nothing.  With it a host that was suspended
        detects that it has lost the lease before it sends an order.

        :returns: ``Written`` if this host still holds the key
        """
        asked_s = self.clock.boot_s()
        checked = self.store.commit({LEADER_KEY: self.held_position})
        if isinstance(checked, store.Written):
            self.held_s = max(self.held_s, asked_s)
        return checked

    def is_only_caller(self) -> bool:
        """Whether no other host can have made calls since this one led.

        A host that replaces this one makes none for a while.
        """
        return self.clock.boot_s() - self.held_s < self._first_order_delay_s

    def call(
        self, make: Callable[[operatorcalls.Caller], _Outcome]
    ) -> _Outcome | operatorcalls.Unreachable:
        """Make a call that only the leader may make.

        Checks first at the store that this host still is the leader.

        :param make: makes the call, given this host's name and fencing token
        :returns: ``Unreachable`` if the call was not made, else its outcome
        """
        checked = self.confirm()
        if not isinstance(checked, store.Written):
            return operatorcalls.Unreachable(
                f'call not made: lease not confirmed: {checked}'
            )
        if not self.may_order():
            return operatorcalls.Unreachable(
                'call not made: outside the time for orders under the lease'
            )
        return make(operatorcalls.Caller(self.own.host, self.fencing))

    def absent(self) -> position.Position:
        """Return the expected position of a key that does not exist."""
        return position.Position(self.era(), 0)

    def era(self) -> int:
        """Return the era of the store that this host has read."""
        return 0 if self.contact is None else self.contact.lag.own_position.era

    # Notifications of the store.

    def changed(self, item: store.Item) -> None:
        """Record the host that the leader key names, and follow it.

        A key that names none is vacant, and is replaced by the next leader.
        """
        record = _parse(item)
        if record is None:
            self._record_lease_lost()
            self._record_vacancy(item.position)
            return
        self._record_holder(record.host, record.incarnation, item.position)
        own = (self.own.host, self.own.incarnation)
        if record[:2] != own and item.position > self.held_position:
            self._record_lease_lost()
        if self.holder != self.own.host or self.lease is None:
            self.placement_service.follow(record.address, item.position)
            LOG.event('leader', leader=self.holder, position=item.position)

    def removed(self, key: str) -> None:
        """Record that the leader key was removed.

        Placement requests still go to the last leader until there is a new
        one: the store may have been down while the leader runs.
        """
        self._record_vacancy(position.START)

    def _record_lease_lost(self) -> None:
        """Record that this host no longer holds the lease, if it did."""
        if self.lease is not None:
            LOG.warning_event('leadership_lost', fencing=self.fencing)
            self.lease = None
            self.yielding = False

    def _record_held(self) -> None:
        """Record until when this host has read that it holds the key."""
        if (
            self.lease is not None
            and self.contact is not None
            and (self.holder, self.holder_incarnation)
            == (self.own.host, self.own.incarnation)
        ):
            self.held_s = max(self.held_s, self.contact.read_s)

    def _record_vacancy(self, key: position.Position) -> None:
        """Record that no host holds the lease.

        :param key: position of the key that a former leader left behind
        """
        self.holder = None
        self.holder_position = key
        self.vacant_since_s = self.clock.now_s()
        LOG.event('leader_gone')

    def restored(
        self, items: dict[str, store.Item], at: position.Position
    ) -> None:
        """Handle a restore of the store from an older copy.

        The copy may name a leader that has been replaced since.  Such a
        leader is not followed, and contending does not wait for it.
        """
        self._record_held()
        item = items.get(LEADER_KEY)
        present = _Term(
            self.holder or '',
            self.holder_incarnation,
            self.holder_position.revision,
        )
        term = None if item is None else _term(item)
        if term == present and self.lease is not None:
            # The lease may be missing from the copy: send no orders before
            # it has been renewed.  Another host may have led since the copy
            # was made, so the gap between leaders' orders applies too.
            self.held_position = self.holder_position = item.position
            self.order_from_s = self._first_order_s()
            self.order_until_s = 0.0
            self.renew_s = 0.0
            return
        self._record_lease_lost()
        if term is not None and (term == present or term not in self.terms):
            self.changed(item)
            return
        self._record_vacancy(position.START if item is None else item.position)
        if not self.placement_service.leading:
            self.vacant_since_s += REACQUIRE_GRACE_S

    def _record_holder(
        self, host: str, incarnation: int, key: position.Position
    ) -> None:
        if key != self.holder_position:
            self.holder_since_s = self.clock.now_s()
        self.holder = host
        self.holder_incarnation = incarnation
        self.holder_position = key
        self.vacant_since_s = None
        term = _Term(host, incarnation, key.revision)
        if term not in self.terms:
            self.terms.append(term)

    # Messages from other hosts.

    def handle_announcement(
        self, message: placement_codec.LeaderAnnouncement
    ) -> None:
        """Handle the announcement of a host that leads or yields.

        Without it a leader that the store rejects would keep placing, beside
        the host that replaced it, until its lease expires.
        """
        announced = message.position
        if announced < self.holder_position or announced.era < self.era():
            return
        if message.yields:
            self.yielded = announced
        elif self.yielded == announced:
            self.yielded = position.START
        if announced == self.holder_position:
            return
        self._record_holder(message.host, message.incarnation, announced)
        if self.lease is not None:
            LOG.warning_event('leadership_taken', by=message.host)
            self.lease = None
            self.yielding = False
        self.placement_service.follow(message.address, announced)
        LOG.event('leader', leader=self.holder, position=announced)

    def _announcement(self) -> placement_codec.LeaderAnnouncement:
        return placement_codec.LeaderAnnouncement(
            self.own.host,
            self.own.address,
            self.own.incarnation,
            self.held_position,
            self.yielding,
        )

    # Renewing the lease and contending for it.

    def _run(self) -> None:
        while True:
            if self.lease is not None:
                self._maintain_lease()
                self.clock.sleep(LEASE_CHECK_INTERVAL_S)
            else:
                self.clock.sleep(TICK_S)
                self._contend()

    def _maintain_lease(self) -> None:
        if self.clock.now_s() >= self.renew_s:
            self._renew()
            self.renew_s = self.clock.now_s() + RENEW_S
        if self.lease is None or self.contact is None:
            return
        cut_off_s = max(self.contact.unreachable_s(), self.engines_cut_off_s())
        cut_off = cut_off_s >= YIELD_S
        if cut_off or self.yielding:
            if cut_off != self.yielding:
                LOG.event('yielding', yields=cut_off, fencing=self.fencing)
            self.yielding = cut_off
            self.broadcast(self._announcement())

    def _contend(self) -> None:
        if self.members.leaving:
            return
        if not self.members.listed and not self.placement_service.leading:
            return
        now_s = self.clock.now_s()
        if self.holder is not None and not self._holder_is_dead():
            self.vacant_since_s = None
            return
        if self.holder is None and now_s < self.gathered_s:
            return
        if self.vacant_since_s is None:
            self.vacant_since_s = now_s
        vacant_s = now_s - max(self.vacant_since_s, self.gathered_s)
        # A host that already places has the state of the engines, so it
        # contends first.
        rank = 0 if self.placement_service.leading else 1 + self._rank()
        if self.engines_cut_off_s():
            # A host that can order no engine leads only if no other does.
            rank += 1 + MAX_RANK
        if vacant_s >= rank * RANK_DELAY_S:
            self._acquire()

    def _holder_is_dead(self) -> bool:
        """Whether the leader process has to be replaced, by all evidence.

        Until a dead leader is replaced every host places alone, which serves
        callers far worse than a needless change of leader.
        """
        if self.holder == self.own.host:
            return self.holder_incarnation != self.own.incarnation
        if self.yielded and self.yielded == self.holder_position:
            return self._is_store_reachable() and not self.engines_cut_off_s()
        member = self.members.membership.view().members.get(self.holder)
        if member is None:
            return self._is_unknown_and_silent()
        if member.incarnation > self.holder_incarnation:
            return True
        if member.state == membership.SUSPECT:
            return (
                self.clock.now_s() < self.placement_service.leader_retry_at_s
            )
        return member.state in (membership.DEAD, membership.LEFT)

    def _is_unknown_and_silent(self) -> bool:
        """Whether a leader unknown to gossip leaves requests unanswered.

        This happens when all hosts were killed and the leader's does not
        restart.  Gossip declares only its members dead, so without this
        check every host would place alone, and no host would order an
        engine, until the lease expires.  A running leader joins gossip or
        answers a placement request within ``UNKNOWN_LEADER_TIMEOUT_S``.  A
        host with no prompts to place has sent no requests, so to it the
        leader does not count as silent.
        """
        now_s = self.clock.now_s()
        if now_s - self.holder_since_s < UNKNOWN_LEADER_TIMEOUT_S:
            return False
        return now_s < self.placement_service.leader_retry_at_s

    def _is_store_reachable(self) -> bool:
        return (
            self.contact is not None
            and self.contact.reachable_s() >= MIN_REACHABLE_S
        )

    def _rank(self) -> int:
        """Return how many listed hosts rank before this one.

        Hosts rank by placement capacity, then by a hash of their names.
        """
        listed = [
            self.members.records[host]
            for host in self.members.listed
            if host in self.members.records
        ]
        own = _rank_key(self.own)
        return min(
            MAX_RANK, sum(1 for each in listed if _rank_key(each) < own)
        )

    def _acquire(self) -> None:
        asked_s = self.clock.now_s()
        asked_boot_s = self.clock.boot_s()
        # Another host may have become leader by the time the store answers:
        # the key is replaced only if it still is that of the dead leader.
        replaced = self.holder_position
        expected = replaced
        if replaced == position.START:
            expected = self.absent()
        granted = self.store.grant(self.lease_s)
        if not isinstance(granted, store.Granted):
            self.clock.sleep(RETRY_S * (1 + self.rng.random()))
            return
        value = json.dumps(
            {
                'host': self.own.host,
                'address': self.own.address,
                'incarnation': self.own.incarnation,
            }
        ).encode()
        put = store.Put(LEADER_KEY, value, granted.lease)
        match self.store.commit({LEADER_KEY: expected}, (put,)):
            case store.Written() if self.members.leaving:
                # This host began to shut down during the call.
                self.store.revoke(granted.lease)
            case store.Written(written):
                by_force = replaced != position.START
                self.held_s = max(self.held_s, asked_boot_s)
                self._record_acquired(granted, written, asked_s, by_force)
            case store.Conflict():
                self.vacant_since_s = None
                self.store.revoke(granted.lease)
            case store.Restored():
                # The write could have replaced a leader that is alive.
                self.vacant_since_s = self.clock.now_s()
                self.store.revoke(granted.lease)
            case _:
                # The watch will show whether the key was written.  The lease
                # is not renewed, so it expires by itself.
                self.vacant_since_s = self.clock.now_s()

    def _record_acquired(
        self,
        granted: store.Granted,
        written: position.Position,
        asked_s: float,
        by_force: bool,
    ) -> None:
        now_s = self.clock.now_s()
        self.lease = granted.lease
        self.held_position = self.acquired_position = written
        self._record_holder(self.own.host, self.own.incarnation, written)
        self.order_from_s = self._first_order_s()
        self.order_until_s = asked_s + granted.ttl_s * ORDER_TTL_SHARE
        self.yielding = False
        self.renew_s = now_s + RENEW_S
        self.placement_service.lead()
        self.broadcast(self._announcement())
        LOG.event(
            'leading',
            fencing=self.fencing,
            position=written,
            lease=granted.lease,
            by_force=by_force,
        )

    def _first_order_s(self) -> float:
        """Return when a leader that starts now may send its first order."""
        return self.clock.now_s() + self._first_order_delay_s

    @property
    def _first_order_delay_s(self) -> float:
        return self.order_gap_s + GAP_MARGIN_S

    def _renew(self) -> None:
        asked_s = self.clock.now_s()
        match self.store.renew(self.lease):
            case store.Granted(_, ttl_s):
                self.order_until_s = asked_s + ttl_s * ORDER_TTL_SHARE
            case store.NoLease():
                # Keep placing until another host leads: no other host has a
                # record of the jobs in flight at the engines.
                LOG.warning_event('leadership_lost', fencing=self.fencing)
                self.lease = None
                if self.holder == self.own.host:
                    self.removed(LEADER_KEY)


def _parse(item: store.Item) -> _LeaderRecord | None:
    """Return the record in the leader key, None if it is malformed."""
    try:
        return _LeaderRecord.parse(item.value)
    except fields.BadField as error:
        LOG.throttled_warning(
            'leader_ignored',
            item.key,
            key=item.key,
            error=str(error),
            position=item.position,
        )
        return None


def _term(item: store.Item) -> _Term | None:
    record = _parse(item)
    if record is None:
        return None
    return _Term(record.host, record.incarnation, item.position.revision)


def placement_capacity(cores: float, link_mbps: float) -> float:
    """Return how many prompts per second a machine can place as leader.

    On a slow network link the placement requests of other hosts queue behind
    the bodies of the machine's own requests, and those hosts place alone.
    """
    return min(cores / PLACEMENT_CORE_S, link_mbps * 1e6 / PLACEMENT_LINK_BITS)


def _rank_key(record: members.HostRecord) -> tuple[float, bytes]:
    digest = hashlib.blake2b(record.host.encode(), digest_size=8).digest()
    return (-record.capacity, digest)
