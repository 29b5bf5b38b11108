"""Task that runs the membership protocol with the other nodes over UDP."""

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
    'Gossip',
    'HostsListed',
    'Leave',
    'OwnDigest',
    'OwnState',
    'PeerDigest',
    'PromptsAssigned',
    'PromptsReceived',
    'SendEngineNotice',
    'Standing',
    'StoreConfirmed',
    'Survey',
    'TableAdopted',
]

TICK_INTERVAL_S = 0.1
#: Maximum number of other members to which prompt notices are sent.
MAX_PROMPT_RECEIVERS = 16
RECEIVE_BYTES = 65_507
#: A quorum counts as lasting if its evidence stays valid for this share of
#: ``stale_after_s``. Otherwise the store is read, and if it does not answer,
#: all members are probed.
MIN_QUORUM_VALIDITY_SHARE = 0.5
#: The store counts as unreachable when its last confirmation is older than
#: this share of ``stale_after_s``.
STORE_UNREACHABLE_SHARE = 0.7
SURVEY_INTERVAL_S = 1.0
#: A larger quorum can't be probed at once; it relies on the store alone.
MAX_SURVEYED_QUORUM = 32

LOG = logs.get('gossip')


class TableAdopted(typing.NamedTuple):
    """This node now holds a table with these revisions.

    :param staged_revision: revision of its last staged edit
    """

    table_revision: int
    staged_revision: int


class StoreConfirmed(typing.NamedTuple):
    """A read of the store returned a table with these revisions.

    :param sent_s: monotonic time at which the read was sent
    """

    sent_s: float
    table_revision: int
    staged_revision: int


class OwnState(typing.NamedTuple):
    """A change of the state that this node sends to its peers.

    :param spare: share of its capacity that is free, 0 to 1; None keeps the
        last value
    :param takes_work: whether the node accepts requests, False while it stops
        or drains; None keeps the last value
    """

    spare: float | None = None
    takes_work: bool | None = None


class OwnDigest(typing.NamedTuple):
    """The encoded digest that this node sends to its peers."""

    data: bytes


class SendEngineNotice(typing.NamedTuple):
    """Send an engine notice to all members, and apply it on this node.

    :param notice: a :class:`magnoliadyke.core.notices.EngineNotice`
    """

    notice: notices.EngineNotice


class HostsListed(typing.NamedTuple):
    """The platform's host list was read.

    :param hosts: a :class:`magnoliadyke.core.hostdiscovery.HostList`
    """

    hosts: hostdiscovery.HostList


class PromptsAssigned(typing.NamedTuple):
    """Notify the other members of prompts that this node sent to engines.

    :param prompts: tuple of :class:`magnoliadyke.core.notices.PromptNotice`
    """

    prompts: tuple


class PromptsReceived(typing.NamedTuple):
    """Prompts that another node sent to engines, from its notification.

    :param prompts: tuple of :class:`magnoliadyke.core.notices.PromptNotice`
    """

    prompts: tuple


class Survey(typing.NamedTuple):
    """Probe all members at once instead of one in each period."""


class PeerDigest(typing.NamedTuple):
    """The encoded digest of another node."""

    host: str
    data: bytes


class Leave(mailbox.Ask):
    """Announce to all members that this node leaves.

    The reply follows when the datagrams have been sent.

    :param successor: host that took over this node's records, or ''
    """

    def __init__(self, successor=''):
        super().__init__()
        self.successor = successor


class Standing(typing.NamedTuple):
    """Conclusions of ``core.freshness`` from this node's evidence.

    :param at_s: monotonic time of the evaluation
    :param fresh: whether the node may rely on its table
    :param takes_work: whether the node accepts requests
    :param has_quorum: whether the evidence from enough peers that they hold no
        newer table stays valid for ``MIN_QUORUM_VALIDITY_SHARE``
    :param is_store_read_due: whether the store has to be read
    :param acts_on_staged: whether the last confirmation by the store is so old
        that staged edits may have to be put in force
    :param newer_table_address: ``ip:port`` of a peer with a newer table, or ''
    :param newest_revision: highest revision that a member has reported,
        staged or accepted
    :param acceptance: whether the staged edit may be accepted, an outcome of
        :mod:`magnoliadyke.core.freshness`; None without a staged edit
    """

    at_s: float
    fresh: bool = False
    takes_work: bool = False
    has_quorum: bool = False
    is_store_read_due: bool = True
    acts_on_staged: bool = True
    newer_table_address: str = ''
    newest_revision: int = 0
    acceptance: object = None


class Gossip(mailbox.Task):
    """Owns the UDP socket on this host's peer port and the membership state.

    It publishes the topics ``members``
    (:class:`magnoliadyke.core.membership.MembersView`), ``standings``
    (:class:`Standing`), ``digests`` (every :class:`PeerDigest` received),
    ``engine_uses`` (every ``core.notices.EngineUse``), ``prompts`` (every
    :class:`PromptsReceived`), ``pauses`` (``core.membership.Paused``) and
    ``superseded`` (``core.membership.Superseded``: another process runs for
    this host, and this node has to stop).

    It accepts :class:`TableAdopted`, :class:`StoreConfirmed`,
    :class:`OwnState`, :class:`OwnDigest`, :class:`SendEngineNotice`,
    :class:`PromptsAssigned`, :class:`HostsListed`, :class:`Survey` and
    :class:`Leave`.

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
        seeds = {each.name: seed_member(each) for each in settings.hosts}
        self.configured_hosts = frozenset(seeds)
        self.host_list = hostdiscovery.HostList(-math.inf)
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
        self.engine_uses = mailbox.Topic()
        self.prompts = mailbox.Topic()
        self.notices = notices.EngineNotices()
        self.pauses = mailbox.Topic()
        self.superseded = mailbox.Topic()
        self.next_survey_s = 0.0
        self.sent_bytes = 0
        self.received_bytes = 0
        self.socket = None
        self.reader = None

    def start(self):
        """Bind the socket, then start the task and the reader."""
        own = self.membership.own
        self.socket = bind_udp(own.address, own.peer_port)
        super().start()
        self.reader = gevent.spawn(self.read)

    def stop(self, deadline_s=5.0):
        """Stop the task and the reader, then close the socket."""
        super().stop(deadline_s)
        if self.reader is not None:
            self.reader.kill()
        if self.socket is not None:
            self.socket.close()

    def read(self):
        """Post each received datagram to the task."""
        while True:
            try:
                data, _ = self.socket.recvfrom(RECEIVE_BYTES)
            except ConnectionRefusedError:
                continue  # ICMP: a datagram was sent to a closed port
            except OSError:
                return
            self.received_bytes += len(data)
            self.post(data)

    def handle(self, message):
        """Handle one message or received datagram."""
        now_s = self.clock.now_s()
        match message:
            case bytes():
                self.receive(message, now_s)
            case TableAdopted():
                self.record_table(message, now_s)
            case StoreConfirmed():
                self.membership.freshness.record_store_confirmation(*message)
                self.publish(now_s)
            case OwnState():
                self.update_own_state(message)
            case OwnDigest(data):
                self.membership.digest = data
            case SendEngineNotice(notice):
                self.send_notice(notice, now_s)
            case PromptsAssigned(prompts):
                self.send_prompts(prompts)
            case HostsListed(hosts):
                self.update_host_list(hosts)
                self.publish(now_s)
            case Survey():
                self.execute(self.membership.survey(now_s))
            case Leave(successor=successor):
                self.execute(self.membership.leave(successor, now_s))
                message.reply(True)

    def update_host_list(self, listed):
        """Apply a new host list to the hosts that are probed.

        Hosts that are only on the list become seeds. Hosts that are neither
        on it nor in the settings are no longer seeds. An older list than the
        present one is ignored.
        """
        if listed.at_s < self.host_list.at_s:
            return
        self.host_list = listed
        protocol = self.membership
        names = {row.host for row in listed.hosts}
        for host in protocol.seeds.keys() - self.configured_hosts - names:
            del protocol.seeds[host]
        for peer in hostdiscovery.hosts_to_probe(
            listed, protocol.seeds, protocol.own
        ):
            LOG.event('host_listed', member=peer.host, address=peer.address)
            protocol.add_seed(peer)

    def view(self):
        """Return the members, with those that leave marked as such.

        A host that the host list shows as leaving gets no new requests.
        """
        view = self.membership.view()
        own = self.membership.own.host
        members = hostdiscovery.without_leaving(
            view.members, self.host_list, own
        )
        return view._replace(members=members)

    def record_table(self, held, now_s):
        """Record the revisions of this node's table, and publish changes."""
        self.membership.set_table(*held)
        self.publish(now_s)

    def update_own_state(self, state):
        """Record a change of the state that is sent to the peers."""
        if state.spare is not None:
            self.membership.set_spare(state.spare)
        if state.takes_work is not None:
            self.membership.accepts = state.takes_work

    def send_notice(self, notice, now_s):
        """Send an engine notice to all members, and apply it on this node."""
        own = self.membership.own
        message = gossip_codec.Notice(own, notice)
        data = gossip_codec.encode_notice(self.deployment, message)
        for member in self.members.last.alive():
            if member.host != own.host:
                self.send_data((member.address, member.peer_port), data)
        self.publish_engine_uses(self.notices.apply(notice, now_s))

    def send_prompts(self, prompts):
        """Send prompt notices to all members of a small fleet.

        Every node processes the notices of all prompts in the fleet. In a
        large fleet these would be most of the control traffic; its nodes rely
        on load reports alone.
        """
        others = [
            member
            for member in self.members.last.alive()
            if member.host != self.membership.own.host
        ]
        if len(others) > MAX_PROMPT_RECEIVERS:
            return
        message = gossip_codec.Prompts(self.membership.own, prompts)
        data = gossip_codec.encode_prompts(self.deployment, message)
        for member in others:
            self.send_data((member.address, member.peer_port), data)

    def publish_engine_uses(self, uses):
        """Log and publish each engine that was taken out of or into use."""
        for use in uses:
            LOG.event('engine_use', engine=use.engine, state=use.state)
            self.engine_uses.publish(use)

    def tick(self):
        """Run the timers of the notices and of the membership protocol."""
        now_s = self.clock.now_s()
        self.publish_engine_uses(self.notices.expire(now_s))
        self.execute(self.membership.tick(now_s))
        self.survey_before_expiry(now_s)
        self.publish(now_s)

    def survey_before_expiry(self, now_s):
        """Probe all members at once before the evidence from them expires.

        When half of the fleet is unreachable, many probes in a row go to
        hosts that don't answer, and the probe timeout grows with the failures.
        Meanwhile the evidence from the reachable half expires, and a group
        that may continue to serve would stop for seconds. While the store
        confirms the table nothing depends on this evidence, and it may expire.
        """
        evidence = self.membership.freshness
        store_unreachable_s = (
            STORE_UNREACHABLE_SHARE * evidence.settings.stale_s
        )
        is_store_unreachable = (
            evidence.store_age_s(now_s) > store_unreachable_s
        )
        if (
            is_store_unreachable
            and now_s >= self.next_survey_s
            and not self.has_quorum()
        ):
            self.next_survey_s = now_s + SURVEY_INTERVAL_S
            self.execute(self.membership.survey(now_s))

    def has_quorum(self):
        """Whether the evidence from a quorum stays valid for long enough.

        It has to last for ``MIN_QUORUM_VALIDITY_SHARE`` of the time after
        which evidence expires.
        """
        evidence = self.membership.freshness
        lasts_s = MIN_QUORUM_VALIDITY_SHARE * evidence.settings.stale_s
        soon_s = self.clock.now_s() + lasts_s
        return len(evidence.group(soon_s)) >= evidence.quorum

    def receive(self, data, now_s):
        """Decode and handle one datagram; a malformed one is logged."""
        try:
            message = gossip_codec.decode(self.deployment, data)
        except errors.ProtocolError as error:
            LOG.throttled_warning(
                'datagram_ignored', 'datagram', reason=str(error)
            )
            return
        match message:
            case gossip_codec.Notice(notice=notice):
                self.publish_engine_uses(self.notices.apply(notice, now_s))
                return
            case gossip_codec.Prompts(prompts=prompts):
                self.prompts.publish(PromptsReceived(prompts))
                return
        self.execute(self.membership.receive(message, now_s))
        if isinstance(message, membership.Ack):
            self.publish(now_s)

    def execute(self, actions):
        """Execute the actions returned by ``core.membership``."""
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
        """Send one datagram, without the updates that exceed its size limit.

        The membership protocol handles lost datagrams.
        """
        data = gossip_codec.encode(self.deployment, message)
        while len(data) > constants.MAX_DATAGRAM_BYTES and message.updates:
            # Only with long host names and a full digest. Updates are sent
            # several times, but the digest of this second only once.
            message = message._replace(updates=message.updates[:-1])
            data = gossip_codec.encode(self.deployment, message)
        self.send_data(address, data)

    def send_data(self, address, data):
        """Send the bytes of one datagram; an error is logged.

        :param address: IP address and port
        """
        try:
            self.socket.sendto(data, address)
        except OSError as error:
            LOG.throttled_warning('send_failed', address[0], error=str(error))
            return
        self.sent_bytes += len(data)

    def publish(self, now_s):
        """Publish the members and the standing if they have changed."""
        view = self.view()
        if view != self.members.last:
            self.log_changes(self.members.last, view)
            self.members.publish(view)
        new_standing = self.build_standing(now_s)
        if new_standing != self.standings.last._replace(at_s=now_s):
            self.standings.publish(new_standing)

    def build_standing(self, now_s):
        """Return this node's :class:`Standing` at ``now_s``."""
        evidence = self.membership.freshness
        staged = evidence.staged_revision > evidence.table_revision
        newest_revision = max(
            (each.staged_revision for each in self.members.last.alive()),
            default=0,
        )
        return Standing(
            at_s=now_s,
            fresh=evidence.is_fresh(now_s),
            takes_work=evidence.takes_work(now_s),
            has_quorum=self.has_quorum(),
            is_store_read_due=evidence.is_store_read_due(now_s),
            acts_on_staged=evidence.acts_on_staged(now_s),
            newer_table_address=self.peer_address(
                evidence.host_with_newer_table()
                or self.host_with_newer_revision()
            ),
            newest_revision=max(newest_revision, evidence.staged_revision),
            acceptance=self.acceptance(now_s) if staged else None,
        )

    def host_with_newer_revision(self):
        """Return a live host that has reported a newer table, or None.

        Members report their revisions in every datagram, so they are
        available before there is evidence, which only answers to this
        node's own probes provide. They suffice for fetching the table.
        """
        evidence = self.membership.freshness
        for member in self.members.last.alive():
            newer_staged = member.staged_revision > evidence.staged_revision
            if newer_staged or member.table_revision > evidence.table_revision:
                return member.host
        return None

    def acceptance(self, now_s):
        """Return whether the staged edit may be accepted.

        :returns: an outcome of :mod:`magnoliadyke.core.freshness`
        """
        left = [
            host
            for host, member in self.membership.members.items()
            if member.state == membership.LEFT
        ]
        return self.membership.freshness.acceptance(now_s, left)

    def peer_address(self, host):
        """Return a member's peer address as ``ip:port``.

        :returns: '' if there is no record of the host
        """
        member = self.membership.members.get(host)
        if member is None:
            return ''
        return f'{member.address}:{member.peer_port}'

    def log_changes(self, before, after):
        """Log the members that are new or have changed their state."""
        for host, member in after.members.items():
            previous = before.members.get(host)
            if previous is None or previous.state != member.state:
                LOG.event(
                    'member',
                    member=host,
                    state=member.state,
                    incarnation=member.incarnation,
                )


def bind_udp(address, port):
    """Return a UDP socket bound to a numeric address and a port."""
    bound = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    bound.bind((address, port))
    return bound


def seed_member(host):
    """Return the seed member for a host of the settings."""
    return membership.Member(
        host=host.name,
        incarnation=0,
        address=host.address,
        caller_port=host.caller_port,
        peer_port=host.peer_port,
        failure_domain=host.failure_domain,
    )
