"""Which host places prompts and orders stages: the holder of a lease."""

import hashlib
import json
import random

import gevent

from magnoliadyke import app
from magnoliadyke import clock as clocks
from magnoliadyke.gateway import follower
from magnoliadyke.gateway import members
from magnoliadyke.gateway import placing
from magnoliadyke.gateway import store
from magnoliadyke import logs

__all__ = ['LEADER_KEY', 'Leadership']

LOG = logs.get('leadership')

LEADER_KEY = 'magnoliadyke/leader'
#: Time to live of the lease; while a dead holder's runs out each host
#: places by itself, so a short one costs renewals and a long one worth.
LEASE_S = 1.5
RENEW_S = 0.5
#: Part of the time to live after which the holder gives no more orders,
#: counted from before the renewal was sent: its clock and the store's may
#: run apart by the rest.
ORDER_SHARE = 0.8
TICK_S = 0.1
#: Each candidate waits this much longer than the one before it, so that
#: mostly one writes.
RANK_DELAY_S = 0.12
MAX_RANK = 8


class Leadership(app.Component, follower.Listener):
    """Takes, keeps and follows the lease.

    :param min_lease_s: shortest lease that the store grants
    :ivar fencing: revision of the holder's key; grows with each holder
    :ivar since_s: when this host took the lease
    """

    def __init__(
        self,
        own: members.HostRecord,
        others: members.Members,
        placer: placing.Placer,
        kept: store.Store,
        min_lease_s: float,
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        self.own = own
        self.members = others
        self.placer = placer
        self.store = kept
        self.lease_s = max(LEASE_S, min_lease_s)
        self.clock = clock
        self.rng = rng
        self.lease: int | None = None
        self.fencing = 0
        self.since_s = 0.0
        self.order_until_s = 0.0
        self.holder: str | None = None
        self.vacant_since_s: float | None = clock.now_s()
        self.greenlet: gevent.Greenlet | None = None

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
            self.lease is not None and self.clock.now_s() < self.order_until_s
        )

    # Word of the store.

    def changed(self, item: store.Item) -> None:
        """A host holds the lease."""
        fields = json.loads(item.value)
        self.holder = fields['host']
        self.vacant_since_s = None
        if self.holder != self.own.host or self.lease is None:
            self.placer.leading = False
            self.placer.leader = fields['address']
            self.placer.silent_until_s = 0.0
            LOG.event('leader', leader=self.holder, revision=item.revision)

    def removed(self, key: str) -> None:
        """Nobody holds the lease.

        The last holder is asked as before until there is another one: the
        store may have been away while the holder lives.
        """
        self.holder = None
        self.vacant_since_s = self.clock.now_s()
        LOG.event('leader_gone')

    # Holding.

    def _run(self) -> None:
        while True:
            if self.lease is not None:
                self._renew()
                self.clock.sleep(RENEW_S)
            else:
                self.clock.sleep(TICK_S)
                self._contend()

    def _contend(self) -> None:
        if self.vacant_since_s is None or self.members.leaving:
            return
        if not self.members.listed:
            return
        waited_s = self.clock.now_s() - self.vacant_since_s
        if waited_s < self._rank() * RANK_DELAY_S:
            return
        self._take()

    def _rank(self) -> int:
        """How many hosts are better placed: larger, then by a hash."""
        listed = [
            self.members.records[host]
            for host in self.members.listed
            if host in self.members.records
        ]
        own = _order(self.own)
        return min(MAX_RANK, sum(1 for each in listed if _order(each) < own))

    def _take(self) -> None:
        asked_s = self.clock.now_s()
        granted = self.store.grant(self.lease_s)
        if not isinstance(granted, store.Granted):
            return
        value = json.dumps(
            {'host': self.own.host, 'address': self.own.address}
        ).encode()
        put = store.Put(LEADER_KEY, value, granted.lease)
        match self.store.commit({LEADER_KEY: 0}, (put,)):
            case store.Written(revision):
                self._taken(granted, revision, asked_s)
            case store.Conflict():
                self.vacant_since_s = None
                self.store.revoke(granted.lease)
            case _:
                # Whether it was written shows in the watch; without a
                # renewal the lease ends by itself.
                self.vacant_since_s = self.clock.now_s()

    def _taken(
        self, granted: store.Granted, revision: int, asked_s: float
    ) -> None:
        self.lease = granted.lease
        self.lease_s = granted.ttl_s
        self.fencing = revision
        self.since_s = self.clock.now_s()
        self.order_until_s = asked_s + granted.ttl_s * ORDER_SHARE
        self.vacant_since_s = None
        self.placer.leading = True
        LOG.event('leading', fencing=revision, lease=granted.lease)

    def _renew(self) -> None:
        asked_s = self.clock.now_s()
        match self.store.renew(self.lease):
            case store.Granted(_, ttl_s):
                self.order_until_s = asked_s + ttl_s * ORDER_SHARE
            case store.NoLease():
                LOG.warning_event('leadership_lost', fencing=self.fencing)
                self.lease = None
                self.placer.leading = False
                if self.holder in (None, self.own.host):
                    self.vacant_since_s = self.clock.now_s()


def _order(record: members.HostRecord) -> tuple[float, bytes]:
    digest = hashlib.blake2b(record.host.encode(), digest_size=8).digest()
    return (-record.capacity, digest)
