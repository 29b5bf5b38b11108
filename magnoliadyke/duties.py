"""Duties held by one node at a time: planning the engines of each pool."""

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

__all__ = [
    'Demands',
    'Duties',
    'EngineStatus',
    'PoolStatus',
    'ShowPoolStatuses',
]

EngineStatus = poolstatus.EngineStatus
PoolStatus = poolstatus.PoolStatus

TICK_INTERVAL_S = 0.1
#: Maximum number of nodes that contend for the lease of one pool. Each reads
#: the lease every second, so this limits the calls to the store for a fleet
#: of any size; with three, two may fail at the same time.
MAX_CANDIDATES = 3
RELEASE_TIMEOUT_S = 3.0

LOG = logs.get('duties')


class Demands(typing.NamedTuple):
    """The fleet's demand by pool, as estimated by this node's scheduler.

    :param pools: pool name to ``core.scheduler.Demand``
    """

    pools: dict


class ShowPoolStatuses(mailbox.Ask):
    """Request for the status of all pools.

    The answer maps names of pools to :class:`PoolStatus`.
    """


class ReleaseDuties(mailbox.Ask):
    """Request to release all leases; the reply follows when none is held.

    :param end_s: monotonic time at which to stop waiting for changes in
        progress
    """

    def __init__(self, end_s):
        super().__init__()
        self.end_s = end_s


class Duties(mailbox.Task):
    """Contends for the lease of each pool, and plans the pools that it holds.

    It answers :class:`ShowPoolStatuses`, expects :class:`Demands` every
    second, and subscribes to ``gossip.members``, ``gossip.pauses``,
    ``configuration.views`` and ``configuration.permits``.

    :param settings: the deployment's settings
    :param host: name of this host
    :param clock: a :class:`magnoliadyke.clock.Clock`
    :param rng: source of randomness
    :param keyvalue: a :class:`magnoliadyke.keyvalue.KeyValue`
    :param gossip: the :class:`magnoliadyke.gossip.Gossip` of this node
    :param configuration: :class:`magnoliadyke.configuration.Configuration`
    :param control_for: function that returns the
        :class:`magnoliadyke.enginecontrol.EngineControl` for the settings of
        an endpoint; HTTP if None
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
        self.lease_store = keyvalue.with_call_kind(budget.CallKind.LEASE)
        self.intent_store = keyvalue.with_call_kind(budget.CallKind.INTENT)
        self.gossip = gossip
        self.configuration = configuration
        self.peers = configuration.peers
        self.view = None
        self.has_work_permit = False
        self.members = membership.MembersView({})
        self.release = None
        self.metrics = metrics
        control_for = control_for or self.make_http_control
        self.pools = {
            pool.name: poolduty.PoolDuty(
                pool,
                self,
                {each.name: control_for(each) for each in pool.endpoints},
            )
            for pool in settings.pools
            if pool.kind == 'model'
        }

    def make_http_control(self, endpoint):
        """Return the control of an engine of the settings, over HTTP."""
        return enginecontrol.HttpEngineControl(
            endpoint.address, self.host, self.clock
        )

    def start(self):
        """Start the task and subscribe to the topics of other tasks."""
        super().start()
        self.gossip.members.subscribe(self)
        self.gossip.pauses.subscribe(self)
        self.configuration.views.subscribe(self)
        self.configuration.permits.subscribe(self)

    def stop(self, deadline_s=5.0):
        """Release the leases, so that other nodes can claim them at once."""
        wait_s = min(deadline_s, RELEASE_TIMEOUT_S)
        release = ReleaseDuties(self.clock.now_s() + wait_s)
        try:
            self.ask(release, wait_s + TICK_INTERVAL_S)
        except gevent.Timeout:
            LOG.event('duties_lapse')
        super().stop(deadline_s)
        for duty in self.pools.values():
            duty.close()

    def spawn(self, work):
        """Run a blocking call in a new greenlet; it posts its own result."""
        gevent.spawn(work)

    # Messages.

    def handle(self, message):
        """Handle one message."""
        match message:
            case Demands(pools):
                self.observe(pools)
            case table.View():
                self.view = message
            case configurations.WorkPermit(allowed=allowed):
                self.has_work_permit = allowed
            case membership.MembersView():
                self.members = message
            case membership.Paused():
                self.drop_leases()
            case ShowPoolStatuses():
                self.spawn(lambda: message.reply(self.pool_statuses()))
            case ReleaseDuties():
                self.release = message
            case _:
                self.handle_answer(message)

    def handle_answer(self, message):
        """Pass the result of a blocking call to the duty of its pool."""
        now_s = self.clock.now_s()
        duty = self.pools[message.pool]
        match message:
            case poolduty.LeaseAnswered():
                duty.handle_lease_answer(message, now_s)
            case poolduty.IntentAnswered():
                duty.handle_intent_answer(message, now_s)
            case poolduty.StateAnswered():
                duty.handle_state_answer(message, now_s)
            case poolduty.CommandAnswered():
                duty.handle_command_answer(message, now_s)
            case poolduty.WeightsAnswered():
                duty.handle_weights_answer(message, now_s)

    def observe(self, pools):
        """Record the demand of each pool in its planner."""
        now_s = self.clock.now_s()
        for name, demand in pools.items():
            if name in self.pools:
                self.pools[name].observe(demand, now_s)

    def drop_leases(self):
        """Drop the authority of all leases, after this process was paused.

        Other nodes may hold the leases by now, so this node must not send the
        commands that it was about to send.
        """
        for duty in self.pools.values():
            duty.lease.drop()

    def tick(self):
        """Release the leases if requested, then run each pool's duty."""
        now_s = self.clock.now_s()
        if self.release is not None:
            self.release_leases(now_s)
        for name, duty in self.pools.items():
            duty.tick(now_s, self.is_candidate(name))

    def release_leases(self, now_s):
        """Release the leases; reply to the request once none is held.

        Shortly before the end of the wait, leases are dropped even if a change
        is in progress.
        """
        held = [
            duty
            for duty in self.pools.values()
            if duty.lease.authority is not None
        ]
        if not held:
            self.release.reply(True)
            return
        can_wait = now_s < self.release.end_s - 2 * TICK_INTERVAL_S
        for duty in held:
            duty.release(can_wait)

    def is_candidate(self, pool):
        """Whether this node stands for election for a pool."""
        if (
            self.release is not None
            or not self.has_work_permit
            or self.is_host_out_of_use()
        ):
            return False
        hosts = {
            member.host
            for member in self.members.alive()
            if member.takes_work or member.host == self.host
        }
        return self.host in candidates(pool, hosts)

    def is_host_out_of_use(self):
        """Whether the operators' table takes this host out of use.

        While the node has no table, the host counts as out of use.
        """
        if self.view is None:
            return True
        return self.view.host(self.host).state != 'in'

    # Status for operators.

    def pool_statuses(self):
        """Return the status of every pool, by name."""
        return {name: self.pool_status_of(name) for name in self.pools}

    def pool_status_of(self, name):
        """Return the status of one pool.

        It is requested from the node that holds the pool's lease. If that
        node does not answer, the records of this node are returned.
        """
        duty = self.pools[name]
        now_s = self.clock.now_s()
        if duty.lease.held(now_s) is not None:
            return duty.status(now_s)
        holder, fencing = self.fetch_holder(duty)
        member = self.members.members.get(holder)
        alive = member is not None and member.state == membership.ALIVE
        if alive and holder != self.host:
            status = self.fetch_planner_status(name, member)
            if status is not None:
                return status
        return duty.status(now_s)._replace(holder=holder, fencing=fencing)

    def fetch_holder(self, duty):
        """Read the holder of a lease and its fencing token from the store.

        :returns: host, '' if there is none, and fencing token; if the store
            does not answer, the holder that was read last and 0
        """
        match self.lease_store.get(duty.key):
            case keyvalues.Found(value=text):
                value = leases.LeaseValue.parse(text)
                holder = '' if value.released else value.holder
                return holder, value.fencing
        return duty.lease.holder() or '', 0

    def fetch_planner_status(self, name, member):
        """Request the status of a pool from the node that plans it.

        :returns: :class:`PoolStatus`, None if the node gives no status
        """
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
        """Return the status of a pool that this node plans, for a peer.

        :returns: JSON text, None if another node plans the pool; see
            :class:`magnoliadyke.peer.PeerServer`
        """
        duty = self.pools.get(name)
        now_s = self.clock.now_s()
        if duty is None or duty.lease.held(now_s) is None:
            return None
        return duty.status(now_s).dump()


def candidates(pool, hosts):
    """Return the hosts that contend for the lease of a pool.

    They are chosen by rendezvous hashing (highest random weight): all nodes
    with the same view choose the same hosts, and if one of them fails the
    others remain chosen.

    :param hosts: names of the hosts that can hold the lease
    """

    def weight(host):
        return hashlib.blake2b(f'{pool}/{host}'.encode()).digest()

    return sorted(hosts, key=weight)[:MAX_CANDIDATES]
