"""The UDP task that keeps this node's view of the others."""

import math
import typing

import gevent
from gevent import socket

from magnoliadyke.core import freshness
from magnoliadyke.core import hostdiscovery
from magnoliadyke.core import membership
from magnoliadyke.core import notices
from magnoliadyke import errors
from magnoliadyke import gossip_codec
from magnoliadyke import logs
from magnoliadyke import mailbox
from magnoliadyke.wire import constants

__all__ = [
    'Announce',
    'Gossip',
    'HoldTable',
    'Leave',
    'Listed',
    'OwnDigest',
    'OwnState',
    'PeerDigest',
    'PromptsHeard',
    'PromptsSent',
    'Standing',
    'StoreConfirmed',
    'Survey',
]

TICK_INTERVAL_S = 0.1
#: Most other members that are told of each prompt.
MOST_TOLD = 16
RECEIVE_BYTES = 65_507
#: Evidence has to hold for this share of its time from now on to be relied
#: on; else the store is read, and a survey made when it does not answer.
RENEW_SHARE = 0.5
#: Age of the store's word, as a share likewise, at which it counts as out.
STORE_OUT_SHARE = 0.7
RENEW_INTERVAL_S = 1.0
#: Larger quorums can't be asked at once; the store's word serves instead.
MAX_RENEWED_QUORUM = 32

LOG = logs.get('gossip')


class HoldTable(typing.NamedTuple):
    """This node now holds this table."""

    table_revision: int
    staged_revision: int


class StoreConfirmed(typing.NamedTuple):
    """A read of the store, begun at ``sent_s``, showed these revisions."""

    sent_s: float
    table_revision: int
    staged_revision: int


class OwnState(typing.NamedTuple):
    """What this node tells of itself; None leaves a field alone.

    :param spare: share of its capacity that is free, 0 to 1
    :param takes_work: False while it stops or drains
    """

    spare: float | None = None
    takes_work: bool | None = None


class OwnDigest(typing.NamedTuple):
    """This node's digest for the others, already encoded."""

    data: bytes


class Announce(typing.NamedTuple):
    """Tell all members, this node included, of one engine.

    :param notice: a :class:`magnoliadyke.core.notices.EngineNotice`
    """

    notice: notices.EngineNotice


class Listed(typing.NamedTuple):
    """The platform's list of hosts was read.

    :param hosts: a :class:`magnoliadyke.core.hostdiscovery.HostList`
    """

    hosts: hostdiscovery.HostList


class PromptsSent(typing.NamedTuple):
    """Tell the other members what this node has given to engines.

    :param prompts: :class:`magnoliadyke.core.notices.PromptNotice` each
    """

    prompts: tuple


class PromptsHeard(typing.NamedTuple):
    """Another node's prompts, as it told of them."""

    prompts: tuple


class Survey(typing.NamedTuple):
    """Probe all members now instead of one a period."""


class PeerDigest(typing.NamedTuple):
    """Another node's digest."""

    host: str
    data: bytes


class Leave(mailbox.Ask):
    """Announce that this node leaves; answers when it has been sent.

    :param successor: host that got this node's records, or ''
    """

    def __init__(self, successor=''):
        super().__init__()
        self.successor = successor


class Standing(typing.NamedTuple):
    """What this node may conclude from its evidence of the others.

    :param at_s: monotonic time of the conclusion
    :param fresh: it may rely on its table
    :param takes_work: it takes new work
    :param quorate: enough others know no newer table, and will do so for a
        while
    :param wants_store: a read of the store is due
    :param unconfirmed: the store's last word is old
    :param newer_at: ``ip:port`` of a peer with a newer table, or ''
    :param newest: newest revision heard of, staged or accepted
    :param acceptance: an outcome of :mod:`magnoliadyke.core.freshness`
    """

    at_s: float
    fresh: bool = False
    takes_work: bool = False
    quorate: bool = False
    wants_store: bool = True
    unconfirmed: bool = True
    newer_at: str = ''
    newest: int = 0
    acceptance: object = None


class Gossip(mailbox.Task):
    """Owns the UDP socket on this host's peer port and its membership.

    Topics: ``members`` (:class:`magnoliadyke.core.membership.MembersView`),
    ``standings`` (:class:`Standing`), ``digests`` (:class:`PeerDigest`, each
    as it comes), ``uses`` (``core.notices.EngineUse``, each as it comes),
    ``prompts`` (:class:`PromptsHeard`, each as it comes),
    ``pauses`` (``core.membership.Paused``) and ``superseded``
    (``core.membership.Superseded``: another process runs for this host; the
    node has to stop). Takes :class:`HoldTable`, :class:`StoreConfirmed`,
    :class:`OwnState`, :class:`OwnDigest`, :class:`Announce`,
    :class:`PromptsSent`, :class:`Listed`, :class:`Survey` and :class:`Leave`.

    :param settings: the deployment's settings
    :param host: name of this host
    :param clock: a :class:`magnoliadyke.clock.Clock`
    :param rng: source of randomness
    :param incarnation: number of this process, larger than those before it
    """

    tick_interval_s = TICK_INTERVAL_S

    def __init__(self, settings, host, clock, rng, incarnation):
        super().__init__('gossip', clock)
        self.deployment = settings.deployment
        self.incarnation = incarnation
        seeds = {each.name: seed(each) for each in settings.hosts}
        self.settled_hosts = frozenset(seeds)
        self.listed = hostdiscovery.HostList(-math.inf)
        own = seeds[host]._replace(incarnation=incarnation)
        self.membership = membership.Membership(
            own,
            membership.MembershipSettings(),
            rng,
            seeds.values(),
            clock.now_s(),
            freshness.FreshnessSettings(stale_s=settings.timing.stale_after_s),
        )
        self.members = mailbox.Topic(self.membership.view())
        self.standings = mailbox.Topic(Standing(clock.now_s()))
        self.digests = mailbox.Topic()
        self.uses = mailbox.Topic()
        self.prompts = mailbox.Topic()
        self.notices = notices.EngineNotices()
        self.pauses = mailbox.Topic()
        self.superseded = mailbox.Topic()
        self.next_renewal_s = 0.0
        self.sent_bytes = 0
        self.received_bytes = 0
        self.socket = None
        self.reader = None

    def start(self):
        """Bind the socket, then work."""
        own = self.membership.own
        self.socket = bind(own.address, own.peer_port)
        super().start()
        self.reader = gevent.spawn(self.read)

    def stop(self, deadline_s=5.0):
        """End the tasks, then close the socket."""
        super().stop(deadline_s)
        if self.reader is not None:
            self.reader.kill()
        if self.socket is not None:
            self.socket.close()

    def read(self):
        """Post each datagram to the task."""
        while True:
            try:
                data, _ = self.socket.recvfrom(RECEIVE_BYTES)
            except ConnectionRefusedError:
                continue  # an earlier datagram of ours met a closed port
            except OSError:
                return
            self.received_bytes += len(data)
            self.post(data)

    def handle(self, message):
        """Act on one message."""
        now_s = self.clock.now_s()
        match message:
            case bytes():
                self.receive(message, now_s)
            case HoldTable():
                self.hold_table(message, now_s)
            case StoreConfirmed():
                self.membership.freshness.record_store_confirmation(*message)
                self.publish(now_s)
            case OwnState():
                self.take_own_state(message)
            case OwnDigest(data):
                self.membership.digest = data
            case Announce(notice):
                self.announce(notice, now_s)
            case PromptsSent(prompts):
                self.tell_prompts(prompts)
            case Listed(hosts):
                self.take_list(hosts)
                self.publish(now_s)
            case Survey():
                self.act(self.membership.survey(now_s))
            case Leave(successor=successor):
                self.act(self.membership.leave(successor, now_s))
                message.reply(True)

    def take_list(self, listed):
        """Knock at hosts that only the list knows; forget those it lost."""
        if listed.at_s < self.listed.at_s:
            return
        self.listed = listed
        known = self.membership
        names = {row.host for row in listed.hosts}
        for host in known.seeds.keys() - self.settled_hosts - names:
            del known.seeds[host]
        for peer in hostdiscovery.hosts_to_probe(
            listed, known.seeds, known.own
        ):
            LOG.event('host_listed', member=peer.host, address=peer.address)
            known.add_seed(peer)

    def view(self):
        """Return the members as the rest of the node is to see them."""
        view = self.membership.view()
        own = self.membership.own.host
        members = hostdiscovery.without_leaving(view.members, self.listed, own)
        return view._replace(members=members)

    def hold_table(self, held, now_s):
        """Tell the others which table this node holds."""
        self.membership.set_table(*held)
        self.publish(now_s)

    def take_own_state(self, state):
        """Tell the others of a change in this node."""
        if state.spare is not None:
            self.membership.set_spare(state.spare)
        if state.takes_work is not None:
            self.membership.accepts = state.takes_work

    def announce(self, notice, now_s):
        """Send a notice to all members and heed it here."""
        own = self.membership.own
        message = gossip_codec.Notice(own, notice)
        data = gossip_codec.encode_notice(self.deployment, message)
        for member in self.members.last.alive():
            if member.host != own.host:
                self.send_data((member.address, member.peer_port), data)
        self.publish_uses(self.notices.apply(notice, now_s))

    def tell_prompts(self, prompts):
        """Send word of prompts to all members of a small fleet.

        Each node pays for each prompt of the others. Where there are many,
        that would be most of the traffic for control; nodes of a large
        fleet rely on load reports alone.
        """
        others = [
            member
            for member in self.members.last.alive()
            if member.host != self.membership.own.host
        ]
        if len(others) > MOST_TOLD:
            return
        message = gossip_codec.Prompts(self.membership.own, prompts)
        data = gossip_codec.encode_prompts(self.deployment, message)
        for member in others:
            self.send_data((member.address, member.peer_port), data)

    def publish_uses(self, uses):
        """Publish each engine whose use changed."""
        for use in uses:
            LOG.event('engine_use', engine=use.engine, state=use.state)
            self.uses.publish(use)

    def tick(self):
        """Drive the protocol's timers."""
        now_s = self.clock.now_s()
        self.publish_uses(self.notices.expire(now_s))
        self.act(self.membership.tick(now_s))
        self.renew_evidence(now_s)
        self.publish(now_s)

    def renew_evidence(self, now_s):
        """Ask all members at once before the evidence of them runs out.

        When half the fleet is cut off, probe after probe goes to hosts that
        do not answer, each waited for the longer the more of them fail.
        Meanwhile the evidence of the reachable half grows old, and a group
        that may go on serving would stop for seconds. With the store's word
        at hand nothing depends on that evidence; it is left to run out.
        """
        known = self.membership.freshness
        store_out_s = STORE_OUT_SHARE * known.settings.stale_s
        store_out = known.store_age_s(now_s) > store_out_s
        if store_out and now_s >= self.next_renewal_s and not self.quorate():
            self.next_renewal_s = now_s + RENEW_INTERVAL_S
            self.act(self.membership.survey(now_s))

    def quorate(self):
        """Whether the evidence of the others will do for a while."""
        known = self.membership.freshness
        lasts_s = RENEW_SHARE * known.settings.stale_s
        soon_s = self.clock.now_s() + lasts_s
        return len(known.group(soon_s)) >= known.quorum

    def receive(self, data, now_s):
        """Take one datagram in."""
        try:
            message = gossip_codec.decode(self.deployment, data)
        except errors.ProtocolError as error:
            LOG.repeated('datagram_ignored', 'datagram', reason=str(error))
            return
        match message:
            case gossip_codec.Notice(notice=notice):
                self.publish_uses(self.notices.apply(notice, now_s))
                return
            case gossip_codec.Prompts(prompts=prompts):
                self.prompts.publish(PromptsHeard(prompts))
                return
        self.act(self.membership.receive(message, now_s))
        if isinstance(message, membership.Ack):
            self.publish(now_s)

    def act(self, actions):
        """Carry out what the core decided."""
        for action in actions:
            match action:
                case membership.SendDatagram(address, message):
                    self.send(address, message)
                case membership.DigestReceived(host, digest):
                    self.digests.publish(PeerDigest(host, digest))
                case membership.Paused(for_s):
                    LOG.warning_event('paused', for_s=for_s)
                    self.pauses.publish(action)
                case membership.Superseded(incarnation):
                    LOG.warning_event('superseded', by=incarnation)
                    self.superseded.publish(action)

    def send(self, address, message):
        """Send one datagram; a lost one is the protocol's matter."""
        data = gossip_codec.encode(self.deployment, message)
        while len(data) > constants.MAX_DATAGRAM_BYTES and message.updates:
            # Long names and a full digest at once. Members are told of
            # several times over; the digest of this second goes out once.
            message = message._replace(updates=message.updates[:-1])
            data = gossip_codec.encode(self.deployment, message)
        self.send_data(address, data)

    def send_data(self, address, data):
        """Send the bytes of one datagram."""
        try:
            self.socket.sendto(data, address)
        except OSError as error:
            LOG.repeated('send_failed', address[0], error=str(error))
            return
        self.sent_bytes += len(data)

    def publish(self, now_s):
        """Publish the view and the standing if they say something new."""
        view = self.view()
        if view != self.members.last:
            self.log_changes(self.members.last, view)
            self.members.publish(view)
        standing = self.conclude(now_s)
        if standing != self.standings.last._replace(at_s=now_s):
            self.standings.publish(standing)

    def conclude(self, now_s):
        """Return this node's :class:`Standing`."""
        known = self.membership.freshness
        staged = known.staged_revision > known.table_revision
        newest = max(
            (each.staged_revision for each in self.members.last.alive()),
            default=0,
        )
        return Standing(
            at_s=now_s,
            fresh=known.is_fresh(now_s),
            takes_work=known.takes_work(now_s),
            quorate=self.quorate(),
            wants_store=known.is_store_read_due(now_s),
            unconfirmed=known.acts_on_staged(now_s),
            newer_at=self.peer_address(
                known.host_with_newer_table() or self.ahead()
            ),
            newest=max(newest, known.staged_revision),
            acceptance=self.acceptance(now_s) if staged else None,
        )

    def ahead(self):
        """A live host that told of a newer table than this node holds.

        Its word comes with any datagram, sooner than evidence, which comes
        with answers to own probes only; it is enough to ask for the table.
        """
        known = self.membership.freshness
        for member in self.members.last.alive():
            newer_staged = member.staged_revision > known.staged_revision
            if newer_staged or member.table_revision > known.table_revision:
                return member.host
        return None

    def acceptance(self, now_s):
        """Whether the staged edit may be accepted."""
        left = [
            host
            for host, member in self.membership.members.items()
            if member.state == membership.LEFT
        ]
        return self.membership.freshness.acceptance(now_s, left)

    def peer_address(self, host):
        """Peer address of a member as ``ip:port``, '' if unknown."""
        member = self.membership.members.get(host)
        if member is None:
            return ''
        return f'{member.address}:{member.peer_port}'

    def log_changes(self, before, after):
        """Log members that came, went or changed their state."""
        for host, member in after.members.items():
            known = before.members.get(host)
            if known is None or known.state != member.state:
                LOG.event(
                    'member',
                    member=host,
                    state=member.state,
                    incarnation=member.incarnation,
                )


def bind(address, port):
    """Return a UDP socket bound to a numeric address and a port."""
    bound = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    bound.bind((address, port))
    return bound


def seed(host):
    """Member to join by, from the settings of a host."""
    return membership.Member(
        host=host.name,
        incarnation=0,
        address=host.address,
        caller_port=host.caller_port,
        peer_port=host.peer_port,
        failure_domain=host.failure_domain,
    )
