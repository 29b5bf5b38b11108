"""One node: builds the tasks, joins them, starts and stops them."""

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
from magnoliadyke import hostlist
from magnoliadyke import keyvalue
from magnoliadyke import logs
from magnoliadyke import mailbox
from magnoliadyke import metrics
from magnoliadyke import nodeparts
from magnoliadyke import peer

__all__ = ['Bridge', 'Departure', 'Node', 'run']

#: How often a node tells its peers whether it takes work, in seconds.
OWN_STATE_INTERVAL_S = 0.25
#: Time for telling the peers that this node leaves, in seconds.
LEAVE_TIMEOUT_S = 2.0
#: Exit status after a second stop signal.
EXIT_FORCED = 3


class Bridge(mailbox.Task):
    """Carries messages between tasks that don't know each other.

    :param status: :class:`magnoliadyke.callers.NodeStatus`
    :param stop_asked: event that makes the process stop gracefully
    """

    tick_interval_s = OWN_STATE_INTERVAL_S

    def __init__(
        self, clock, status, stop_asked, members, table, work, planning
    ):
        super().__init__('bridge', clock)
        self.status = status
        self.stop_asked = stop_asked
        self.members = members
        self.work = work
        self.planning = planning
        self.log = logs.get('bridge')
        members.digests.subscribe(self)
        members.uses.subscribe(self)
        members.prompts.subscribe(self)
        work.prompts.subscribe(self)
        members.superseded.subscribe(self)
        table.permits.subscribe(self)
        work.digest.subscribe(self)
        work.demand.subscribe(self)

    def handle(self, message):
        """Pass one message on to whom it concerns."""
        match message:
            case gossip.PeerDigest(host=host, data=data):
                self.pass_digest(host, data)
            case configuration.WorkPermit(allowed=allowed, reason=reason):
                self.permit(allowed, reason)
            case notices.EngineUse(engine=engine, state=state):
                self.work.post(dispatch.StateSeen(engine, state))
            case gossip.PromptsHeard(prompts=prompts):
                self.work.post(dispatch.PromptsHeard(prompts))
            case membership.Superseded():
                self.stop_superseded()
            case dispatch.CrashSeen(digest=digest):
                self.spread_at_once(digest)
            case scheduler.Digest():
                self.members.post(gossip.OwnDigest(message.to_bytes()))
            case dispatch.PromptsPlaced(prompts=prompts):
                self.members.post(gossip.PromptsSent(prompts))
            case dispatch.Demands(pools=pools):
                self.planning.post(duties.Demands(pools))

    def pass_digest(self, host, data):
        """Decode a peer's digest; one that can't be read is dropped.

        During a rollout a newer node may send a digest of another shape. It
        corrects shares of limits only, so doing without it is safe.
        """
        try:
            digest = scheduler.Digest.from_bytes(data)
        except (ValueError, TypeError, KeyError) as error:
            self.log.throttled_warning(
                'digest_unreadable', host, error=str(error)
            )
            return
        self.work.post(dispatch.PeerDigest(host, digest))

    def spread_at_once(self, digest):
        """Tell the peers now which requests may have crashed an endpoint.

        One probe a period takes seconds to reach all. A caller that is told
        the outcome and sends the request again would be faster, and the
        request would crash an endpoint for each host that has not heard.
        """
        self.members.post(gossip.OwnDigest(digest.to_bytes()))
        self.members.post(gossip.Survey())

    def stop_superseded(self):
        """Stop: a newer process runs under this host's name.

        This one was paused so long that it was replaced. If both went on,
        peers would take turns in believing either, and callers would be
        sent to a host that is left out a moment later.
        """
        self.log.event('node_superseded')
        self.stop_asked.set()

    def permit(self, allowed, reason):
        """Take new work or stop taking it, and say so when it changes."""
        if self.status.fresh != allowed:
            self.log.event('work_permit', allowed=allowed, reason=reason)
        self.status.fresh = allowed

    def tick(self):
        """Tell the peers how this node does."""
        self.members.post(
            gossip.OwnState(
                spare=self.status.spare, takes_work=self.status.takes_work
            )
        )


class Departure(app.Component):
    """Announces that this node leaves, after its last request has ended.

    Without the announcement the peers would find the node dead only after
    probes time out, and until then would relay to it requests whose records
    it has handed over; their callers would see ``Unknown``.
    """

    def __init__(self, status, members):
        self.status = status
        self.members = members

    def start(self):
        """Do nothing."""

    def stop(self, deadline_s):
        """Name the successor of this node's records to the peers."""
        leave = gossip.Leave(self.status.successor)
        try:
            self.members.ask(leave, min(deadline_s, LEAVE_TIMEOUT_S))
        except gevent.Timeout:
            logs.get('node').event('leave_unannounced')


class Closer(app.Component):
    """Closes connections that no task owns."""

    def __init__(self, *owners):
        self.owners = owners

    def start(self):
        """Do nothing."""

    def stop(self, deadline_s):
        """Close them."""
        for owner in self.owners:
            owner.close()


class Node:
    """Everything that runs in the process of one host.

    :param settings: :class:`magnoliadyke.settings.Settings`
    :param host: name of this host
    :param clock: a :class:`magnoliadyke.clock.Clock`
    """

    def __init__(self, settings, host, clock):
        self.settings = settings
        self.host = host
        self.clock = clock
        self.rng = random.SystemRandom()
        # Larger than those of earlier processes on this host, as long as
        # its wall clock does not run backwards across a restart.
        self.incarnation = int(clock.wall_s() * 1000)
        self.status = callers.NodeStatus()
        self.stop_asked = event.Event()
        self.app = app.Application(clock)
        self.build()

    def build(self):
        """Make all components, in the order in which they start."""
        self.metrics = self.app.add(
            metrics.Metrics(self.settings, self.host, self.clock)
        )
        self.build_coordination()
        self.build_request_path()
        self.admin = self.app.add(admin.Admin(self))
        self.app.add(Departure(self.status, self.gossip))
        self.callers = self.app.add(self.build_callers())
        self.join_peers()
        self.add_gauges()

    def build_coordination(self):
        """Make what the nodes agree through."""
        settings, host, clock = self.settings, self.host, self.clock
        self.keyvalue = keyvalue.HttpKeyValue(settings, host, clock)
        self.peers = peer.PeerClients(settings, host, clock)
        self.app.add(Closer(self.keyvalue, self.peers))
        self.peer_server = self.app.add(
            peer.PeerServer(settings, host, self.incarnation, clock)
        )
        self.gossip = self.app.add(
            gossip.Gossip(settings, host, clock, self.rng, self.incarnation)
        )
        self.app.add(
            hostlist.HostListReader(settings, clock, self.rng, self.gossip)
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
        """Make what places requests."""
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
                self.stop_asked,
                self.gossip,
                self.configuration,
                self.dispatcher,
                self.duties,
            )
        )

    def build_callers(self):
        """Make the listener for callers."""
        parts = nodeparts.NodeParts(
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
            parts, self.dispatcher, self.status, self.metrics
        )

    def join_peers(self):
        """Let the peer server answer from the tasks of this node."""
        self.peer_server.fetch_table = self.configuration.fetch_table
        self.peer_server.take_records = self.callers.take_records
        self.peer_server.pool_status = self.duties.pool_status

    def add_gauges(self):
        """Let the cost of control be read from the metrics."""
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
        """Stop gracefully, within the time of the settings."""
        logs.get('node').event('node_stopping')
        self.app.stop(self.settings.timing.stop_s)
        logs.get('node').event('node_stopped')


def run(settings, host):
    """Run a node until a stop signal; the process's whole life.

    The first SIGTERM or SIGINT stops it gracefully. A second one ends the
    process at once, for operators who can't wait.

    :param settings: :class:`magnoliadyke.settings.Settings`
    :param host: name of this host
    :return: the process's exit status
    """
    clock = clocks.SystemClock()
    logs.setup(settings, clock, host)
    node = Node(settings, host, clock)

    def on_signal():
        if node.stop_asked.is_set():
            os._exit(EXIT_FORCED)
        node.stop_asked.set()

    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, on_signal)
    node.start()
    node.stop_asked.wait()
    node.stop()
    return 0
