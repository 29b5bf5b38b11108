"""The node of one host: builds, connects, starts and stops its tasks."""

import os
import random
import signal

import gevent
from gevent import event

from magnoliadyke import admin
from magnoliadyke import app
from magnoliadyke import callers
from magnoliadyke import clock as clocks
from magnoliadyke import configuration
from magnoliadyke.core import membership
from magnoliadyke.core import notices
from magnoliadyke.core import scheduler
from magnoliadyke import dispatch
from magnoliadyke import duties
from magnoliadyke import gossip
from magnoliadyke import hostlistreader
from magnoliadyke import keyvalue
from magnoliadyke import logs
from magnoliadyke import mailbox
from magnoliadyke import metrics
from magnoliadyke import peer
from magnoliadyke import requestdependencies

__all__ = ['Bridge', 'LeaveAnnouncer', 'Node', 'run']

#: Interval at which a node reports to its peers whether it accepts requests.
OWN_STATE_INTERVAL_S = 0.25
#: Time limit for announcing to the peers that this node leaves.
LEAVE_TIMEOUT_S = 2.0
#: Exit status after a second stop signal.
EXIT_FORCED = 3


class Bridge(mailbox.Task):
    """Forwards messages between tasks that hold no reference to each other.

    :param clock: a :class:`magnoliadyke.clock.Clock`
    :param status: :class:`magnoliadyke.callers.NodeStatus`
    :param stop_requested: event that makes the process stop gracefully
    :param gossip_task: the :class:`magnoliadyke.gossip.Gossip`
    :param configuration_task: the
        :class:`magnoliadyke.configuration.Configuration`
    :param dispatcher: the :class:`magnoliadyke.dispatch.Dispatcher`
    :param duties_task: the :class:`magnoliadyke.duties.Duties`
    """

    tick_interval_s = OWN_STATE_INTERVAL_S

    def __init__(
        self,
        clock,
        status,
        stop_requested,
        gossip_task,
        configuration_task,
        dispatcher,
        duties_task,
    ):
        super().__init__('bridge', clock)
        self.status = status
        self.stop_requested = stop_requested
        self.gossip_task = gossip_task
        self.dispatcher = dispatcher
        self.duties_task = duties_task
        self.log = logs.get('bridge')
        gossip_task.digests.subscribe(self)
        gossip_task.engine_uses.subscribe(self)
        gossip_task.prompts.subscribe(self)
        dispatcher.prompts.subscribe(self)
        gossip_task.superseded.subscribe(self)
        configuration_task.permits.subscribe(self)
        dispatcher.digest.subscribe(self)
        dispatcher.demand.subscribe(self)

    def handle(self, message):
        """Forward one message to the task that processes it."""
        match message:
            case gossip.PeerDigest(host=host, data=data):
                self.forward_digest(host, data)
            case configuration.WorkPermit(allowed=allowed, reason=reason):
                self.apply_permit(allowed, reason)
            case notices.EngineUse(engine=engine, state=state):
                self.dispatcher.post(
                    dispatch.EndpointStateChanged(engine, state)
                )
            case gossip.PromptsReceived(prompts=prompts):
                self.dispatcher.post(dispatch.PeerPromptsPlaced(prompts))
            case membership.Superseded():
                self.stop_superseded()
            case dispatch.CrashReported(digest=digest):
                self.broadcast_crash_digest(digest)
            case scheduler.Digest():
                self.gossip_task.post(gossip.OwnDigest(message.to_bytes()))
            case dispatch.PromptsPlaced(prompts=prompts):
                self.gossip_task.post(gossip.PromptsAssigned(prompts))
            case dispatch.Demands(pools=pools):
                self.duties_task.post(duties.Demands(pools))

    def forward_digest(self, host, data):
        """Forward a peer's digest to the dispatcher; drop a malformed one.

        During a rollout a newer node may send a digest of another format.
        Digests only correct how limits are shared, so dropping one is safe.

        :param host: the peer
        :param data: the encoded :class:`magnoliadyke.core.scheduler.Digest`
        """
        try:
            digest = scheduler.Digest.from_bytes(data)
        except (ValueError, TypeError, KeyError) as error:
            self.log.throttled_warning(
                'digest_unreadable', host, error=str(error)
            )
            return
        self.dispatcher.post(dispatch.PeerDigest(host, digest))

    def broadcast_crash_digest(self, digest):
        """Send all peers at once the requests that may crash an endpoint.

        One probe per gossip period takes seconds to reach all peers. A
        caller that retries at once after the failure would be faster, and
        its request would crash another endpoint at each host that has not
        received the digest.
        """
        self.gossip_task.post(gossip.OwnDigest(digest.to_bytes()))
        self.gossip_task.post(gossip.Survey())

    def stop_superseded(self):
        """Stop the node, since a newer process runs under its host's name.

        This process was paused for so long that it was replaced. If both
        continued, the peers' view of the host would alternate between them,
        and callers would be sent to a host that is removed a moment later.
        """
        self.log.event('node_superseded')
        self.stop_requested.set()

    def apply_permit(self, allowed, reason):
        """Start or stop accepting requests; log each change.

        :param allowed: whether this node may accept new requests
        :param reason: reason code for the refusal, '' if allowed
        """
        if self.status.fresh != allowed:
            self.log.event('work_permit', allowed=allowed, reason=reason)
        self.status.fresh = allowed

    def tick(self):
        """Report to the peers spare capacity and whether it accepts work."""
        self.gossip_task.post(
            gossip.OwnState(
                spare=self.status.spare, takes_work=self.status.takes_work
            )
        )


class LeaveAnnouncer(app.Component):
    """Announces that this node leaves, after its last request has ended.

    Without the announcement the peers would detect its end only when probes
    time out. Until then they would relay requests to it whose records it has
    handed over, and the callers would get ``Unknown``.

    :param status: :class:`magnoliadyke.callers.NodeStatus`
    :param gossip_task: the :class:`magnoliadyke.gossip.Gossip`
    """

    def __init__(self, status, gossip_task):
        self.status = status
        self.gossip_task = gossip_task

    def start(self):
        """Do nothing."""

    def stop(self, deadline_s):
        """Announce the leave, with the successor for the request records.

        :param deadline_s: time limit in seconds
        """
        leave = gossip.Leave(self.status.successor)
        try:
            self.gossip_task.ask(leave, min(deadline_s, LEAVE_TIMEOUT_S))
        except gevent.Timeout:
            logs.get('node').event('leave_unannounced')


class ConnectionCloser(app.Component):
    """Closes the connections of objects that are not tasks, at the stop.

    :param owners: objects with a ``close`` method
    """

    def __init__(self, *owners):
        self.owners = owners

    def start(self):
        """Do nothing."""

    def stop(self, deadline_s):
        """Close the connections."""
        for owner in self.owners:
            owner.close()


class Node:
    """All components of the process of one host.

    :param settings: :class:`magnoliadyke.settings.Settings`
    :param host: name of this host
    :param clock: a :class:`magnoliadyke.clock.Clock`
    """

    def __init__(self, settings, host, clock):
        self.settings = settings
        self.host = host
        self.clock = clock
        self.rng = random.SystemRandom()
        # Larger than those of earlier processes on this host, unless its
        # wall clock is set back across a restart.
        self.incarnation = int(clock.wall_s() * 1000)
        self.status = callers.NodeStatus()
        self.stop_requested = event.Event()
        self.app = app.Application(clock)
        self.build()

    def build(self):
        """Create all components, in the order in which they start."""
        self.metrics = self.app.add(
            metrics.Metrics(self.settings, self.host, self.clock)
        )
        self.build_coordination()
        self.build_request_path()
        self.admin = self.app.add(admin.Admin(self))
        self.app.add(LeaveAnnouncer(self.status, self.gossip))
        self.callers = self.app.add(self.build_callers())
        self.connect_peer_server()
        self.add_gauges()

    def build_coordination(self):
        """Create store client, gossip, configuration and duties."""
        settings, host, clock = self.settings, self.host, self.clock
        self.keyvalue = keyvalue.HttpKeyValue(settings, host, clock)
        self.peers = peer.PeerClients(settings, host, clock)
        self.app.add(ConnectionCloser(self.keyvalue, self.peers))
        self.peer_server = self.app.add(
            peer.PeerServer(settings, host, self.incarnation, clock)
        )
        self.gossip = self.app.add(
            gossip.Gossip(settings, host, clock, self.rng, self.incarnation)
        )
        self.app.add(
            hostlistreader.HostListReader(
                settings, clock, self.rng, self.gossip
            )
        )
        self.configuration = self.app.add(
            configuration.Configuration(
                settings,
                host,
                clock,
                self.rng,
                self.keyvalue,
                self.gossip,
                self.peers,
            )
        )
        self.duties = self.app.add(
            duties.Duties(
                settings,
                host,
                clock,
                self.rng,
                self.keyvalue,
                self.gossip,
                self.configuration,
                metrics=self.metrics,
            )
        )

    def build_request_path(self):
        """Create the dispatcher and the bridge."""
        self.dispatcher = self.app.add(
            dispatch.Dispatcher(
                self.settings,
                self.clock,
                random.Random(self.rng.getrandbits(64)),
                self.configuration.views,
                self.gossip.members,
                self.host,
            )
        )
        self.app.add(
            Bridge(
                self.clock,
                self.status,
                self.stop_requested,
                self.gossip,
                self.configuration,
                self.dispatcher,
                self.duties,
            )
        )

    def build_callers(self):
        """Return the listener for callers."""
        dependencies = requestdependencies.RequestDependencies(
            settings=self.settings,
            host=self.host,
            incarnation=self.incarnation,
            clock=self.clock,
            rng=self.rng,
            table=self.configuration.views,
            members=self.gossip.members,
            store=self.keyvalue,
            peers=self.peers,
        )
        return callers.Callers(
            dependencies, self.dispatcher, self.status, self.metrics
        )

    def connect_peer_server(self):
        """Give the peer server the handlers of its calls."""
        self.peer_server.fetch_table = self.configuration.fetch_table
        self.peer_server.receive_records = self.callers.receive_records
        self.peer_server.pool_status = self.duties.pool_status

    def add_gauges(self):
        """Add metrics of the traffic between nodes and to the store."""
        self.metrics.add_gauge(
            'magnoliadyke.peer_bytes',
            'Bytes of membership datagrams since the start.',
            lambda: [
                ({'direction': 'sent'}, self.gossip.sent_bytes),
                ({'direction': 'received'}, self.gossip.received_bytes),
            ],
        )
        self.metrics.add_gauge(
            'magnoliadyke.store_calls',
            'Calls to the key-value service since the start.',
            lambda: [
                ({'kind': kind}, count)
                for kind, count in self.keyvalue.counts.items()
            ],
        )

    def start(self):
        """Start all components."""
        self.app.start()
        logs.get('node').event('node_started', incarnation=self.incarnation)

    def stop(self):
        """Stop gracefully, within ``timing.stop_s`` of the settings."""
        logs.get('node').event('node_stopping')
        self.app.stop(self.settings.timing.stop_s)
        logs.get('node').event('node_stopped')


def run(settings, host):
    """Run a node until a stop signal.

    The first SIGTERM or SIGINT stops it gracefully. A second one ends the
    process at once, with status EXIT_FORCED.

    :param settings: :class:`magnoliadyke.settings.Settings`
    :param host: name of this host
    :return: the process's exit status
    """
    clock = clocks.SystemClock()
    logs.setup(settings, clock, host)
    node = Node(settings, host, clock)

    def on_signal():
        if node.stop_requested.is_set():
            os._exit(EXIT_FORCED)
        node.stop_requested.set()

    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, on_signal)
    node.start()
    node.stop_requested.wait()
    node.stop()
    return 0
