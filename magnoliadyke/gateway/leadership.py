"""Which host places prompts and orders stages: the holder of a lease."""

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
from magnoliadyke.gateway import follower
from magnoliadyke.gateway import keymirror
from magnoliadyke.gateway import members
from magnoliadyke.gateway import operatorcalls
from magnoliadyke.gateway import placing
from magnoliadyke.gateway import placing_codec
from magnoliadyke.gateway import store
from magnoliadyke import logs

__all__ = ['LEADER_KEY', 'Leadership', 'placement_capacity']

LOG = logs.get('leadership')

LEADER_KEY = 'magnoliadyke/leader'
#: Time to live of the lease.  What a holder knows of the engines is lost
#: with it, so it outlasts the usual cuts between one host and the store; a
#: holder that dies is replaced sooner, by the word of gossip.
LEASE_S = 12.0
RENEW_S = 2.0
#: Part of the time to live after which the holder gives no more orders,
#: counted from before the renewal was sent: its clock and the store's may
#: run apart by the rest.
ORDER_SHARE = 0.8
TICK_S = 0.1
#: A holder that the store has not answered for this long gives way, and
#: another host takes over that has had the store in reach for so long: a
#: watch that fails is seen within half a second, and a store that nobody
#: reaches comes back to all hosts within that time.
YIELD_S = 1.5
IN_REACH_S = 1.0
#: A holder that a host has never met, and that answers nothing, counts as gone
#: this long after the host has heard of it, in seconds: gossip takes as long
#: to find a host dead.
UNMET_TIMEOUT_S = 2.0
#: How often the holder looks whether it has to give way.
HOLD_CHECK_INTERVAL_S = 0.25
#: Pause after a call to the store that failed, spread by as much again.
RETRY_S = 0.5
#: A host that has just started, and has heard of no holder, gives the others
#: so long to be listed, in seconds: the first one listed would else lead
#: whatever its machine.  Hosts of a fleet start within some tenths of a
#: second, and read the list again within half a second.
GATHERING_S = 1.5
#: What placing one prompt takes of the placing host: seconds of a core, and
#: bits on its link for the question, the answer and the reports.
PLACEMENT_CORE_S = 0.0003
PLACEMENT_LINK_BITS = 12_000
#: Each candidate waits this much longer than the one before it, so that
#: mostly one writes.
RANK_DELAY_S = 0.12
MAX_RANK = 8
#: Added to the time that two holders' orders are apart, in seconds.  The one
#: before asks the store whether it still holds the key before each order,
#: so its last one left within a call's time of the key's change.
GAP_MARGIN_S = 1.5


#: After a restore of the store whoever leads goes on placing, and has this
#: long to take the key again before others do, in seconds: hosts read the
#: restored store up to a pause between two calls apart.
REACQUIRE_GRACE_S = 1.5
#: Terms of holders that are remembered, to know them in a copy of the store.
MAX_TERMS = 32


#: What a call came to.
_Outcome = TypeVar('_Outcome')


class _Term(NamedTuple):
    """Who holds the lease, and the revision of the key."""

    host: str
    incarnation: int
    revision: int


class Leadership(app.Component, keymirror.Listener):
    """Takes, keeps and follows the lease.

    :param min_lease_s: shortest lease that the store grants
    :param order_gap_s: orders of two holders are at least this far apart
    :param tell: sends a message to all other hosts
    :ivar contact: knows whether the store is in reach
    :ivar yielding: this host holds the lease and gives way
    :ivar yielded: position of a holder that gives way
    :ivar held: position of the own key, as long as this host holds the lease
    :ivar holder_position: position of the key of the present holder, or of
        one that no longer holds it in a copy of the store; ``START`` where
        there is no key
    :ivar holder_since_s: when this host heard of the present holder
    :ivar order_from_s: when orders of the holder before have long ended
    """

    def __init__(
        self,
        own: members.HostRecord,
        others: members.Members,
        placer: placing.Placer,
        kv_store: store.Store,
        min_lease_s: float,
        order_gap_s: float,
        broadcast: Callable[[placing_codec.Leads], None],
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        self.own = own
        self.members = others
        self.placer = placer
        self.store = kv_store
        self.lease_s = max(LEASE_S, min_lease_s)
        self.order_gap_s = order_gap_s
        self.broadcast = broadcast
        self.contact: follower.Follower | None = None
        self.yielding = False
        self.yielded = position.START
        self.renew_s = 0.0
        self.clock = clock
        self.rng = rng
        self.lease: int | None = None
        self.held = position.START
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
        """Token of this host's orders; grows with each holder and era."""
        return self.held.packed

    def start(self) -> None:
        """Begin to contend."""
        self.greenlet = gevent.spawn(self._run)

    def stop(self, deadline_s: float) -> None:
        """Give the lease up."""
        if self.greenlet is not None:
            self.greenlet.kill()
        self.resign()

    def resign(self) -> None:
        """Let another host take over."""
        lease, self.lease = self.lease, None
        self.placer.leading = False
        if lease is not None:
            self.store.revoke(lease)

    def may_order(self) -> bool:
        """Whether an order sent now is certainly under the own lease."""
        return (
            self.lease is not None
            and not self.yielding
            and self.order_from_s <= self.clock.now_s() < self.order_until_s
        )

    def confirm(
        self,
    ) -> store.Written | store.Conflict | store.Restored | store.Unavailable:
        """Ask the store whether the key is still this holder's.

        A transaction that writes nothing: a host that was paused learns so
        that it has lost the lease before it orders anything.

        :returns: ``Written`` if it is
        """
        return self.store.commit({LEADER_KEY: self.held})

    def call(
        self, make: Callable[[operatorcalls.Caller], _Outcome]
    ) -> _Outcome | operatorcalls.Unreachable:
        """Make a call that only the holder may make.

        The store is asked first whether this host still is the holder.
        """
        checked = self.confirm()
        if not isinstance(checked, store.Written):
            return operatorcalls.Unreachable(f'not made: {checked}')
        if not self.may_order():
            return operatorcalls.Unreachable('not made: the lease is over')
        return make(operatorcalls.Caller(self.own.host, self.fencing))

    def absent(self) -> position.Position:
        """Where a key is expected that is not there."""
        return position.Position(self._era(), 0)

    # Word of the store.

    def changed(self, item: store.Item) -> None:
        """A host holds the lease."""
        fields = json.loads(item.value)
        self._record_holder(
            fields['host'], fields['incarnation'], item.position
        )
        if self.holder != self.own.host or self.lease is None:
            self.placer.follow(fields['address'], item.position)
            LOG.event('leader', leader=self.holder, position=item.position)

    def removed(self, key: str) -> None:
        """Nobody holds the lease.

        The last holder is asked as before until there is another one: the
        store may have been away while the holder lives.
        """
        self._record_vacancy(position.START)

    def _record_vacancy(self, key: position.Position) -> None:
        """Nobody holds the lease.

        :param key: where the key is that a holder of before has left
        """
        self.holder = None
        self.holder_position = key
        self.vacant_since_s = self.clock.now_s()
        LOG.event('leader_gone')

    def restored(
        self, items: dict[str, store.Item], at: position.Position
    ) -> None:
        """The store came back from an older copy.

        The copy may name a holder that has been replaced since.  It leads
        nobody any more, and is neither followed nor waited for.
        """
        item = items.get(LEADER_KEY)
        present = _Term(
            self.holder or '',
            self.holder_incarnation,
            self.holder_position.revision,
        )
        term = None if item is None else _term(item)
        if term == present and self.lease is not None:
            # Its lease may be gone: no orders before it has been renewed.
            # Another host may have led since the copy was made.
            self.held = self.holder_position = item.position
            self.order_from_s = self._first_order_s()
            self.order_until_s = 0.0
            self.renew_s = 0.0
            return
        if self.lease is not None:
            LOG.warning_event('leadership_lost', fencing=self.fencing)
            self.lease = None
            self.yielding = False
        if term is not None and (term == present or term not in self.terms):
            self.changed(item)
            return
        self._record_vacancy(position.START if item is None else item.position)
        if not self.placer.leading:
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

    def _era(self) -> int:
        return 0 if self.contact is None else self.contact.lag.own_position.era

    # Word of other hosts.

    def handle_announcement(self, message: placing_codec.Leads) -> None:
        """Another host leads, or gives way.

        A host that the store turns away would otherwise go on placing for
        itself, beside the one that took over, until its lease ends.
        """
        announced = message.position
        if announced < self.holder_position or announced.era < self._era():
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
        self.placer.follow(message.address, announced)
        LOG.event('leader', leader=self.holder, position=announced)

    def _announcement(self) -> placing_codec.Leads:
        return placing_codec.Leads(
            self.own.host,
            self.own.address,
            self.own.incarnation,
            self.held,
            self.yielding,
        )

    # Holding.

    def _run(self) -> None:
        while True:
            if self.lease is not None:
                self._hold()
                self.clock.sleep(HOLD_CHECK_INTERVAL_S)
            else:
                self.clock.sleep(TICK_S)
                self._contend()

    def _hold(self) -> None:
        if self.clock.now_s() >= self.renew_s:
            self._renew()
            self.renew_s = self.clock.now_s() + RENEW_S
        if self.lease is None or self.contact is None:
            return
        cut_off = self.contact.cut_off_s() >= YIELD_S
        if cut_off or self.yielding:
            if cut_off != self.yielding:
                LOG.event('yielding', yields=cut_off, fencing=self.fencing)
            self.yielding = cut_off
            self.broadcast(self._announcement())

    def _contend(self) -> None:
        if self.members.leaving:
            return
        if not self.members.listed and not self.placer.leading:
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
        # Who leads already knows the engines, and goes first.
        rank = 0 if self.placer.leading else 1 + self._rank()
        if vacant_s >= rank * RANK_DELAY_S:
            self._acquire()

    def _holder_is_dead(self) -> bool:
        """The process that holds the lease is gone, as far as is known.

        Until it is replaced every host places alone, which serves callers
        far worse than a holder replaced without need.
        """
        if self.holder == self.own.host:
            return self.holder_incarnation != self.own.incarnation
        if self.yielded and self.yielded == self.holder_position:
            return self._in_reach()
        member = self.members.core.view().members.get(self.holder)
        if member is None:
            return self._is_unmet()
        if member.incarnation > self.holder_incarnation:
            return True
        if member.state == membership.SUSPECT:
            return self.clock.now_s() < self.placer.silent_until_s
        return member.state in (membership.DEAD, membership.LEFT)

    def _is_unmet(self) -> bool:
        """A holder that gossip has never met does not answer either.

        All hosts were killed and the holder's stays away: gossip finds dead
        only whom it has met, and every host would place alone, and none
        order an engine, until the lease ends.  A holder that lives is met
        or answers within this time, and a host that places for nobody has
        not asked it.
        """
        now_s = self.clock.now_s()
        if now_s - self.holder_since_s < UNMET_TIMEOUT_S:
            return False
        return now_s < self.placer.silent_until_s

    def _in_reach(self) -> bool:
        return (
            self.contact is not None
            and self.contact.in_reach_s() >= IN_REACH_S
        )

    def _rank(self) -> int:
        """How many hosts can place more prompts; of equals, by a hash."""
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
        # Another host may lead by the time that the store has answered; the
        # key is taken only from the holder that was found to be gone.
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
                # Told to stop meanwhile.
                self.store.revoke(granted.lease)
            case store.Written(written):
                by_force = replaced != position.START
                self._record_acquired(granted, written, asked_s, by_force)
            case store.Conflict():
                self.vacant_since_s = None
                self.store.revoke(granted.lease)
            case store.Restored():
                # It may have replaced a holder that lives.
                self.vacant_since_s = self.clock.now_s()
                self.store.revoke(granted.lease)
            case _:
                # Whether it was written shows in the watch; without a
                # renewal the lease ends by itself.
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
        self.held = written
        self._record_holder(self.own.host, self.own.incarnation, written)
        self.order_from_s = self._first_order_s()
        self.order_until_s = asked_s + granted.ttl_s * ORDER_SHARE
        self.yielding = False
        self.renew_s = now_s + RENEW_S
        self.placer.lead()
        self.broadcast(self._announcement())
        LOG.event(
            'leading',
            fencing=self.fencing,
            position=written,
            lease=granted.lease,
            by_force=by_force,
        )

    def _first_order_s(self) -> float:
        """When orders of a holder before this one have long ended."""
        return self.clock.now_s() + self.order_gap_s + GAP_MARGIN_S

    def _renew(self) -> None:
        asked_s = self.clock.now_s()
        match self.store.renew(self.lease):
            case store.Granted(_, ttl_s):
                self.order_until_s = asked_s + ttl_s * ORDER_SHARE
            case store.NoLease():
                # It goes on placing until somebody else leads: no one
                # else knows what the engines have been given.
                LOG.warning_event('leadership_lost', fencing=self.fencing)
                self.lease = None
                if self.holder == self.own.host:
                    self.removed(LEADER_KEY)


def _term(item: store.Item) -> _Term:
    fields = json.loads(item.value)
    return _Term(fields['host'], fields['incarnation'], item.position.revision)


def placement_capacity(cores: float, link_mbps: float) -> float:
    """Prompts a second that a machine can place for all.

    Where its link is narrow the questions of other hosts wait behind the
    bodies of its own requests, and those hosts place alone.
    """
    return min(cores / PLACEMENT_CORE_S, link_mbps * 1e6 / PLACEMENT_LINK_BITS)


def _rank_key(record: members.HostRecord) -> tuple[float, bytes]:
    digest = hashlib.blake2b(record.host.encode(), digest_size=8).digest()
    return (-record.capacity, digest)
