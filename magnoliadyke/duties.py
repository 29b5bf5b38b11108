"""Duties that one node at a time performs: role planning of each pool."""

import hashlib
import typing

import gevent

from magnoliadyke import configuration as configurations
from magnoliadyke.core import budget
from magnoliadyke.core import leases
from magnoliadyke.core import membership
from magnoliadyke.core import table
from magnoliadyke import enginecontrol
from magnoliadyke import errors
from magnoliadyke import keyvalue as keyvalues
from magnoliadyke import logs
from magnoliadyke import mailbox
from magnoliadyke import poolduty
from magnoliadyke import poolstatus

__all__ = ['Demands', 'Duties', 'EngineStatus', 'PoolStatus', 'RoleStatus']

EngineStatus = poolstatus.EngineStatus
PoolStatus = poolstatus.PoolStatus

TICK_INTERVAL_S = 0.1
#: Nodes that stand for election for one pool. Each of them reads the lease
#: every second, so their number bounds the calls to the store at any size
#: of the fleet; with three, two may die together.
CANDIDATES = 3
RELEASE_TIMEOUT_S = 3.0

LOG = logs.get('duties')


class Demands(typing.NamedTuple):
    """Demand of the pools as this node's scheduler sees the fleet's.

    :param pools: pool name to ``core.scheduler.Demand``
    """

    pools: dict


class RoleStatus(mailbox.Ask):
    """Ask for the duties; the answer maps pool to :class:`PoolStatus`."""


class Release(mailbox.Ask):
    """Give all duties up; answers when that is done.

    :param end_s: monotonic time at which to stop waiting for changes
    """

    def __init__(self, end_s):
        super().__init__()
        self.end_s = end_s


class Duties(mailbox.Task):
    """Takes part in the election of each pool's planner; plans if elected.

    Answers :class:`RoleStatus`. Subscribes to ``gossip.pauses`` and
    ``configuration.views``; wants :class:`Demands` every second.

    :param settings: the deployment's settings
    :param host: name of this host
    :param clock: a :class:`magnoliadyke.clock.Clock`
    :param rng: source of randomness
    :param keyvalue: a :class:`magnoliadyke.keyvalue.KeyValue`
    :param gossip: the :class:`magnoliadyke.gossip.Gossip` of this node
    :param configuration: :class:`magnoliadyke.configuration.Configuration`
    :param control_for: makes an engine's
        :class:`magnoliadyke.enginecontrol.EngineControl` from its address
    :param metrics: :class:`magnoliadyke.metrics.Metrics`, or None
    """

    tick_interval_s = TICK_INTERVAL_S

    def __init__(
        self,
        settings,
        host,
        clock,
        rng,
        keyvalue,
        gossip,
        configuration,
        control_for=None,
        metrics=None,
    ):
        super().__init__('duties', clock)
        self.settings = settings
        self.host = host
        self.rng = rng
        self.incarnation = gossip.incarnation
        self.lease_store = keyvalue.of_kind(budget.CallKind.LEASE)
        self.intent_store = keyvalue.of_kind(budget.CallKind.INTENT)
        self.gossip = gossip
        self.configuration = configuration
        self.peers = configuration.peers
        self.view = None
        self.permitted = False
        self.members = membership.MembersView({})
        self.release = None
        self.metrics = metrics
        control_for = control_for or self.http_control
        self.pools = {
            pool.name: poolduty.PoolDuty(
                pool,
                self,
                {each.name: control_for(each) for each in pool.endpoints},
            )
            for pool in settings.pools
            if pool.kind == 'model'
        }

    def http_control(self, endpoint):
        """Control of an engine of the settings."""
        return enginecontrol.HttpEngineControl(
            endpoint.address, self.host, self.clock
        )

    def start(self):
        """Listen to the other tasks, then work."""
        super().start()
        self.gossip.members.subscribe(self)
        self.gossip.pauses.subscribe(self)
        self.configuration.views.subscribe(self)
        self.configuration.permits.subscribe(self)

    def stop(self, deadline_s=5.0):
        """Give the duties up, so that others take them at once."""
        wait_s = min(deadline_s, RELEASE_TIMEOUT_S)
        release = Release(self.clock.now_s() + wait_s)
        try:
            self.ask(release, wait_s + TICK_INTERVAL_S)
        except gevent.Timeout:
            LOG.event('duties_lapse')
        super().stop(deadline_s)
        for duty in self.pools.values():
            duty.close()

    def spawn(self, work):
        """Run a call that waits; it posts its answer."""
        gevent.spawn(work)

    # Messages.

    def handle(self, message):
        """Act on one message."""
        match message:
            case Demands(pools):
                self.observe(pools)
            case table.View():
                self.view = message
            case configurations.WorkPermit(allowed=allowed):
                self.permitted = allowed
            case membership.MembersView():
                self.members = message
            case membership.Paused():
                self.drop_all()
            case RoleStatus():
                self.spawn(lambda: message.reply(self.statuses()))
            case Release():
                self.release = message
            case _:
                self.take_answer(message)

    def take_answer(self, message):
        """Hand an answer to the duty that waits for it."""
        now_s = self.clock.now_s()
        duty = self.pools[message.pool]
        match message:
            case poolduty.LeaseAnswered():
                duty.take_lease_answer(message, now_s)
            case poolduty.IntentAnswered():
                duty.take_intent_answer(message, now_s)
            case poolduty.StateAnswered():
                duty.take_state_answer(message, now_s)
            case poolduty.CommandAnswered():
                duty.take_command_answer(message, now_s)
            case poolduty.WeightsAnswered():
                duty.take_weights(message, now_s)

    def observe(self, pools):
        """Feed the planners."""
        now_s = self.clock.now_s()
        for name, demand in pools.items():
            if name in self.pools:
                self.pools[name].observe(demand, now_s)

    def drop_all(self):
        """Stop acting at once: this process had stood still.

        Its leases may have passed to others meanwhile; whatever it was about
        to send must not go out.
        """
        for duty in self.pools.values():
            duty.lease.drop()

    def tick(self):
        """Do what is due for each pool."""
        now_s = self.clock.now_s()
        if self.release is not None:
            self.release_all(now_s)
        for name, duty in self.pools.items():
            duty.tick(now_s, self.contends(name))

    def release_all(self, now_s):
        """Release, wait for the store, then answer."""
        held = [
            duty
            for duty in self.pools.values()
            if duty.lease.authority is not None
        ]
        if not held:
            self.release.reply(True)
            return
        in_time = now_s < self.release.end_s - 2 * TICK_INTERVAL_S
        for duty in held:
            duty.release(in_time)

    def contends(self, pool):
        """Whether this node stands for election for a pool."""
        if self.release is not None or not self.permitted or self.drains():
            return False
        hosts = {
            member.host
            for member in self.members.alive()
            if member.takes_work or member.host == self.host
        }
        return self.host in candidates(pool, hosts)

    def drains(self):
        """Whether the operators' table takes this host out of use."""
        if self.view is None:
            return True
        return self.view.host(self.host).state != 'in'

    # What operators ask.

    def statuses(self):
        """Status of every pool, from its planner where that is another."""
        return {name: self.status_of(name) for name in self.pools}

    def status_of(self, name):
        """Status of one pool."""
        duty = self.pools[name]
        now_s = self.clock.now_s()
        if duty.lease.held(now_s) is not None:
            return duty.status(now_s)
        holder, fencing = self.holder_of(duty)
        member = self.members.members.get(holder)
        alive = member is not None and member.state == membership.ALIVE
        if alive and holder != self.host:
            status = self.ask_planner(name, member)
            if status is not None:
                return status
        return duty.status(now_s)._replace(holder=holder, fencing=fencing)

    def holder_of(self, duty):
        """Host that holds the lease and its number, by the store."""
        match self.lease_store.get(duty.key):
            case keyvalues.Found(value=text):
                value = leases.LeaseValue.parse(text)
                holder = '' if value.released else value.holder
                return holder, value.fencing
        return duty.lease.holder() or '', 0

    def ask_planner(self, name, member):
        """Status of a pool as its planner tells it, None if it doesn't."""
        address = f'{member.address}:{member.peer_port}'
        try:
            text = self.peers.pool_status(address, name)
        except errors.HostUnreachable as error:
            LOG.throttled_warning(
                'planner_silent', member.host, error=str(error)
            )
            return None
        return PoolStatus.parse(text) if text else None

    def pool_status(self, name):
        """Answer a peer; see :class:`magnoliadyke.peer.PeerServer`."""
        duty = self.pools.get(name)
        now_s = self.clock.now_s()
        if duty is None or duty.lease.held(now_s) is None:
            return None
        return duty.status(now_s).dump()


def candidates(pool, hosts):
    """The hosts that stand for election for a pool.

    Highest random weight: every node draws the same few hosts from the same
    view, and the loss of one changes nothing for the others.
    """

    def weight(host):
        return hashlib.blake2b(f'{pool}/{host}'.encode()).digest()

    return sorted(hosts, key=weight)[:CANDIDATES]
