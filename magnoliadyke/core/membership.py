"""SWIM group membership with Lifeguard's local health score."""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import math
from typing import Any
from typing import NamedTuple

from magnoliadyke.core import freshness

__all__ = [
    'Ack',
    'DigestReceived',
    'Member',
    'MembersView',
    'Membership',
    'MembershipSettings',
    'Paused',
    'Ping',
    'PingRequest',
    'SendDatagram',
    'Superseded',
]

ALIVE = 'alive'
SUSPECT = 'suspect'
DEAD = 'dead'
LEFT = 'left'
_STATE_RANK = {ALIVE: 0, SUSPECT: 1, DEAD: 2, LEFT: 3}
#: Maximum of the local health score; 0 is healthy.
MAX_HEALTH_SCORE = 4
#: Confirmations by other hosts that reduce the suspicion timeout to its
#: minimum.
MAX_CONFIRMATIONS = 2
#: Each update is sent this many times per doubling of the fleet size.
RETRANSMIT_FACTOR = 3


class MembershipSettings(NamedTuple):
    """Intervals and limits of the protocol.

    :param period_s: time between two probes, in seconds.
    :param ping_timeout_s: time without an answer, in seconds, after which
        indirect probes are requested, at a health score of 0.
    :param suspicion_s: minimum time from suspecting a host to declaring it
        dead, in seconds.
    :param max_helpers: maximum number of peers that are asked for an indirect
        probe.
    :param max_updates: maximum number of members in a datagram.
    :param max_host_states: maximum number of host states in a datagram.
    :param pause_threshold_s: a longer gap between two ticks, in seconds,
        means that the process was paused.
    :param unreachable_probe_interval_s: time between two probes of hosts
        that are dead, have left or have never answered, in seconds.
    :param max_survey_probes: maximum number of peers that a survey probes.
    """

    period_s: float = 0.5
    ping_timeout_s: float = 0.15
    suspicion_s: float = 1.0
    max_helpers: int = 3
    max_updates: int = 4
    max_host_states: int = 8
    pause_threshold_s: float = 1.5
    unreachable_probe_interval_s: float = 1.0
    max_survey_probes: int = 64


class Member(NamedTuple):
    """Gossip state of a host.

    :param incarnation: identifies a process of the host; a process that
        starts later has a higher one.
    :param refutations: suspicions that this process has refuted; orders its
        updates within the incarnation.
    :param spare: share of the host's capacity that is free, 0 to 1.
    :param successor: host that took over the records of a host that left.
    """

    host: str
    incarnation: int
    address: str
    caller_port: int
    peer_port: int
    failure_domain: str
    state: str = ALIVE
    refutations: int = 0
    table_revision: int = 0
    staged_revision: int = 0
    spare: float = 1.0
    takes_work: bool = False
    successor: str = ''


class Ping(NamedTuple):
    """A probe.

    :param source: state of the sender.
    :param target: probed host; a process of another host that now has the
        address does not answer.
    """

    sequence: int
    source: Member
    target: str
    updates: tuple[Member, ...]
    host_states: tuple[freshness.HostState, ...]
    digest: bytes


class PingRequest(NamedTuple):
    """A request to probe the target and to forward its answer."""

    sequence: int
    source: Member
    target: str
    target_address: str
    target_port: int
    updates: tuple[Member, ...]
    host_states: tuple[freshness.HostState, ...]
    digest: bytes


class Ack(NamedTuple):
    """The answer to a probe.

    :param source: state of the probed host, also in a forwarded answer.
    """

    sequence: int
    source: Member
    target: str
    updates: tuple[Member, ...]
    host_states: tuple[freshness.HostState, ...]
    digest: bytes


Message = Ping | PingRequest | Ack


@dataclasses.dataclass(frozen=True)
class SendDatagram:
    """A datagram to send.

    :param address: numeric address and port.
    """

    address: tuple[str, int]
    message: Message


@dataclasses.dataclass(frozen=True)
class DigestReceived:
    """A peer's digest, as encoded by that peer."""

    host: str
    digest: bytes


@dataclasses.dataclass(frozen=True)
class Paused:
    """The process was paused: leases must be dropped before it acts.

    :param for_s: duration of the pause, in seconds.
    """

    for_s: float


@dataclasses.dataclass(frozen=True)
class Superseded:
    """A newer process of this host is running: this one must stop."""

    incarnation: int


Action = SendDatagram | DigestReceived | Paused | Superseded


class MembersView(NamedTuple):
    """The members, including this host.

    :param lost_domains: failure domains without an alive host.
    """

    members: Mapping[str, Member]
    lost_domains: frozenset[str] = frozenset()

    def alive(self) -> list[Member]:
        """The members in state alive, including this host."""
        return [m for m in self.members.values() if m.state == ALIVE]


@dataclasses.dataclass
class _Probe:
    target: str
    sequence: int
    sent_s: float
    asked_indirectly: bool = False


class _Relay(NamedTuple):
    requester: Member
    sequence: int
    sent_s: float


@dataclasses.dataclass
class _Suspicion:
    since_s: float
    sources: set[str]


class Membership:
    """Protocol state of one node.

    Each period the node probes one peer.  If the peer does not answer, peers
    in several failure domains are asked to probe it.  If they get no answer
    either, it is suspected, and declared dead unless it refutes the
    suspicion in time.  Updates are piggybacked on probes and answers.  The
    bytes of a datagram and the datagrams of a period are bounded, whatever
    the size of the fleet.

    :param self_member: this host, with the incarnation of this process.
    :param rng: source of randomness.
    :param peers: hosts of the settings, used as seeds; their states and
        revisions are ignored.
    """

    def __init__(
        self,
        self_member: Member,
        settings: MembershipSettings,
        rng: Any,
        peers: Iterable[Member] = (),
        now_s: float = 0.0,
        freshness_settings: freshness.FreshnessSettings | None = None,
    ) -> None:
        self.own = self_member
        self.settings = settings
        self.rng = rng
        self.digest = b''
        self.accepts = True
        self.health_score = 0
        self.members: dict[str, Member] = {}
        self.seeds = {p.host: p for p in peers if p.host != self_member.host}
        domains = {p.host: p.failure_domain for p in self.seeds.values()}
        domains[self_member.host] = self_member.failure_domain
        self.freshness = freshness.Freshness(
            self_member.host,
            self_member.incarnation,
            domains,
            freshness_settings or freshness.FreshnessSettings(),
            now_s,
        )
        self._sequence = 0
        self._probe_order: list[str] = []
        self._probe: _Probe | None = None
        self._next_probe_s = now_s
        self._next_unreachable_probe_s = now_s
        self._last_tick_s = now_s
        self._unscheduled_probes: dict[int, float] = {}
        self._timed_out: dict[int, float] = {}
        self._received_s = now_s
        self._relays: dict[int, _Relay] = {}
        self._suspicions: dict[str, _Suspicion] = {}
        self._update_sends: dict[str, int] = {}
        self._hosts: list[str] = []
        self._view: MembersView | None = None

    # Interface to the rest of the node.

    def view(self) -> MembersView:
        """The current members; the same object until one of them changes.

        The view is read at each tick and for each datagram.  Rebuilding it
        each time would take most of the CPU time that membership uses in a
        large fleet.
        """
        if self._view is None or self._view.members[self.own.host] != self.own:
            self._view = self._build_view()
        return self._view

    def _build_view(self) -> MembersView:
        members = {self.own.host: self.own, **self.members}
        domains: dict[str, bool] = {}
        for member in members.values():
            if member.state == LEFT:
                continue
            answers = member.state == ALIVE
            domain = member.failure_domain
            domains[domain] = domains.get(domain, False) or answers
        lost = frozenset(d for d, answers in domains.items() if not answers)
        return MembersView(members, lost)

    def set_table(self, table_revision: int, staged_revision: int) -> None:
        """Set the table revisions that gossip announces for this node."""
        self.freshness.set_held_revisions(table_revision, staged_revision)

    def set_spare(self, spare: float) -> None:
        """Set the free capacity that gossip announces for this node.

        :param spare: free share, 0 to 1
        """
        self.freshness.spare = spare

    def stop_taking_work(self) -> None:
        """Announce permanently that this node accepts no new requests."""
        self.accepts = False

    def survey(self, now_s: float) -> list[Action]:
        """Probe many peers at once for the table revisions that they hold.

        With one probe a period this would take one period per host.  Edits
        of the table are rare enough for the additional datagrams.
        """
        peers = self._shuffled(self._peers_in_state(ALIVE, SUSPECT))
        sends: list[Action] = []
        for peer in peers[: self.settings.max_survey_probes]:
            sends.append(self._ping(peer, now_s))
            self._unscheduled_probes[self._sequence] = now_s
        return sends

    def add_seed(self, peer: Member) -> None:
        """Add a host of the platform's list to the hosts that are probed.

        The list lags, so the host becomes a member only when it answers.
        """
        if peer.host != self.own.host:
            self.seeds.setdefault(peer.host, peer)

    def leave(self, successor: str, now_s: float) -> list[Action]:
        """Announce to some peers that this host leaves.

        :param successor: host that takes over the records.
        """
        self.own = self.own._replace(state=LEFT, successor=successor)
        peers = self._shuffled(self._peers_in_state(ALIVE))
        chosen = peers[: 2 * self.settings.max_helpers]
        return [self._ping(peer, now_s) for peer in chosen]

    # Timers.

    def tick(self, now_s: float) -> list[Action]:
        """Handle due timers; to be called about every 0.1 s."""
        actions: list[Action] = []
        gap_s = now_s - self._last_tick_s
        self._last_tick_s = now_s
        if gap_s > self.settings.pause_threshold_s:
            actions.append(self._handle_pause(gap_s, now_s))
        self.freshness.tick(now_s)
        self._refresh_own(now_s)
        actions += self._check_probe(now_s)
        if now_s >= self._next_probe_s:
            actions += self._start_probe(now_s)
        if now_s >= self._next_unreachable_probe_s:
            actions += self._probe_unreachable(now_s)
        self._expire_suspicions(now_s)
        self._expire_probes(now_s)
        return actions

    def _handle_pause(self, gap_s: float, now_s: float) -> Paused:
        """Drop the probe and restart all suspicions after a pause.

        Their timeouts passed while this process could not receive answers.
        """
        self._raise_health_score()
        self._probe = None
        for suspicion in self._suspicions.values():
            suspicion.since_s = now_s
        self._refute(self.own.refutations)
        return Paused(gap_s)

    def _refresh_own(self, now_s: float) -> None:
        seen = self._own_host_state(now_s)
        self.own = self.own._replace(
            table_revision=seen.table_revision,
            staged_revision=seen.staged_revision,
            spare=seen.spare,
            takes_work=seen.takes_work,
        )

    def _own_host_state(self, now_s: float) -> freshness.HostState:
        seen = self.freshness.own_host_state(now_s)
        accepts = self.accepts and self.own.state == ALIVE
        return seen._replace(takes_work=seen.takes_work and accepts)

    def _start_probe(self, now_s: float) -> list[Action]:
        self._next_probe_s = now_s + self.settings.period_s
        target = self._next_target()
        if target is None or self._probe is not None:
            return []
        send = self._ping(target, now_s)
        self._probe = _Probe(target.host, self._sequence, now_s)
        return [send]

    def _next_target(self) -> Member | None:
        """The next peer to probe, round-robin in a shuffled order."""
        for _ in range(len(self.members) + 1):
            if not self._probe_order:
                others = self._peers_in_state(ALIVE, SUSPECT)
                self._probe_order = [m.host for m in self._shuffled(others)]
                if not self._probe_order:
                    return None
            member = self.members.get(self._probe_order.pop())
            if member is not None and member.state in (ALIVE, SUSPECT):
                return member
        return None

    def _check_probe(self, now_s: float) -> list[Action]:
        probe = self._probe
        if probe is None:
            return []
        waited_s = now_s - probe.sent_s
        health_multiplier = 1 + self.health_score
        if waited_s >= self.settings.period_s * health_multiplier:
            self._probe = None
            self._timed_out[probe.sequence] = probe.sent_s
            if self._received_s < probe.sent_s:
                self._raise_health_score()
            self._suspect(probe.target, self.own.host, now_s)
            return []
        late = waited_s >= self.settings.ping_timeout_s * health_multiplier
        if late and not probe.asked_indirectly:
            probe.asked_indirectly = True
            return self._send_ping_requests(probe, now_s)
        return []

    def _raise_health_score(self) -> None:
        """Lengthen all timeouts: this host may be slow or partitioned.

        The signs are that no datagram at all arrives, that answers arrive
        after the timeout, or that others suspect this host.  While other
        peers answer in time, a silent peer has failed, and longer timeouts
        would only delay the detection of several failures.
        """
        self.health_score = min(MAX_HEALTH_SCORE, self.health_score + 1)

    def _send_ping_requests(self, probe: _Probe, now_s: float) -> list[Action]:
        target = self.members.get(probe.target)
        if target is None:
            return []
        return [
            SendDatagram(
                (helper.address, helper.peer_port),
                PingRequest(
                    probe.sequence,
                    self.own,
                    target.host,
                    target.address,
                    target.peer_port,
                    *self._piggyback(helper, now_s),
                ),
            )
            for helper in self._helpers(target)
        ]

    def _helpers(self, target: Member) -> list[Member]:
        """Peers that send indirect probes, first one per failure domain.

        When a whole domain is partitioned, helpers in other domains detect
        it; helpers in the domain of the target would still reach it.
        """
        others = [
            m for m in self._peers_in_state(ALIVE) if m.host != target.host
        ]
        others = self._shuffled(others)
        domains: set[str] = set()
        first_of_domain = []
        others_of_domain = []
        for member in others:
            if member.failure_domain in domains:
                others_of_domain.append(member)
            else:
                domains.add(member.failure_domain)
                first_of_domain.append(member)
        return (first_of_domain + others_of_domain)[
            : self.settings.max_helpers
        ]

    def _probe_unreachable(self, now_s: float) -> list[Action]:
        """Probe a random seed that is dead, has left or never answered.

        Without these probes the two sides of a partition would not find
        each other again after it has healed.
        """
        self._next_unreachable_probe_s = (
            now_s + self.settings.unreachable_probe_interval_s
        )
        unreachable = [
            self.members.get(host, seed)
            for host, seed in self.seeds.items()
            if host not in self.members
            or self.members[host].state in (DEAD, LEFT)
        ]
        if not unreachable:
            return []
        send = self._ping(self.rng.choice(unreachable), now_s)
        self._unscheduled_probes[self._sequence] = now_s
        return [send]

    def _expire_suspicions(self, now_s: float) -> None:
        for host, suspicion in list(self._suspicions.items()):
            if now_s - suspicion.since_s >= self._suspicion_timeout_s(
                suspicion
            ):
                del self._suspicions[host]
                member = self.members[host]
                if member.state == SUSPECT:
                    self._set_and_announce(member._replace(state=DEAD))

    def _suspicion_timeout_s(self, suspicion: _Suspicion) -> float:
        """Time from suspicion to death.

        Without a confirmation by other hosts it is three times the minimum.
        A slow node suspects all others: nobody confirms it, and its own
        health score lengthens the timeout further.
        """
        min_s = self.settings.suspicion_s
        confirmed = min(MAX_CONFIRMATIONS, len(suspicion.sources) - 1)
        share = math.log(1 + confirmed) / math.log(1 + MAX_CONFIRMATIONS)
        factor = 3 - 2 * share
        return min_s * max(1.0, factor) * (1 + self.health_score / 4)

    def _expire_probes(self, now_s: float) -> None:
        oldest_s = now_s - 2 * MAX_HEALTH_SCORE * self.settings.period_s
        self._relays = {
            s: r for s, r in self._relays.items() if r.sent_s > oldest_s
        }
        for sent in (self._unscheduled_probes, self._timed_out):
            for sequence, sent_s in list(sent.items()):
                if sent_s < oldest_s:
                    del sent[sequence]

    # Messages.

    def receive(self, message: Message, now_s: float) -> list[Action]:
        """Handle a received datagram."""
        self._received_s = now_s
        actions = self._merge_all((message.source, *message.updates), now_s)
        self._merge_host_states(message.host_states)
        if message.digest:
            actions.append(DigestReceived(message.source.host, message.digest))
        match message:
            case Ping():
                actions += self._handle_ping(message, now_s)
            case PingRequest():
                actions += self._handle_ping_request(message, now_s)
            case Ack():
                actions += self._handle_ack(message, now_s)
        return actions

    def _handle_ping(self, ping: Ping, now_s: float) -> list[Action]:
        if ping.target != self.own.host:
            return []
        self._refresh_own(now_s)
        source = ping.source
        ack = Ack(
            ping.sequence,
            self.own,
            source.host,
            *self._piggyback(source, now_s),
        )
        return [SendDatagram((source.address, source.peer_port), ack)]

    def _handle_ping_request(
        self, request: PingRequest, now_s: float
    ) -> list[Action]:
        self._sequence += 1
        self._relays[self._sequence] = _Relay(
            request.source, request.sequence, now_s
        )
        known = self.members.get(request.target)
        ping = Ping(
            self._sequence,
            self.own,
            request.target,
            *self._piggyback(known, now_s),
        )
        return [
            SendDatagram((request.target_address, request.target_port), ping)
        ]

    def _handle_ack(self, ack: Ack, now_s: float) -> list[Action]:
        relay = self._relays.pop(ack.sequence, None)
        if relay is not None:
            forwarded = ack._replace(
                sequence=relay.sequence, target=relay.requester.host
            )
            address = (relay.requester.address, relay.requester.peer_port)
            return [SendDatagram(address, forwarded)]
        sent_s = self._unscheduled_probes.pop(ack.sequence, None)
        late_s = self._timed_out.pop(ack.sequence, None)
        if late_s is not None:
            self._raise_health_score()
            sent_s = late_s
        probe = self._probe
        if probe is not None and probe.sequence == ack.sequence:
            if probe.target != ack.source.host:
                return []
            sent_s = probe.sent_s
            self._probe = None
            self.health_score = max(0, self.health_score - 1)
        if sent_s is not None:
            self._clear_own_suspicion(ack.source)
            self.freshness.handle_probe_answer(sent_s, now_s, ack.host_states)
        return []

    def _clear_own_suspicion(self, source: Member) -> None:
        """End a suspicion that only this node has raised: the peer answered.

        Suspicions by other hosts are refuted by the peer itself.
        """
        member = self.members.get(source.host)
        if member is not None and member.state == SUSPECT:
            suspicion = self._suspicions.get(source.host)
            if suspicion is not None and suspicion.sources == {self.own.host}:
                del self._suspicions[source.host]
                self._set_member(member._replace(state=ALIVE))

    # Member states.

    def _merge_all(
        self, members: Iterable[Member], now_s: float
    ) -> list[Action]:
        actions: list[Action] = []
        source = ''
        for member in members:
            source = source or member.host
            if member.host == self.own.host:
                actions += self._merge_self(member)
            else:
                self._merge(member, source, now_s)
        return actions

    def _merge_self(self, received: Member) -> list[Action]:
        if received.incarnation > self.own.incarnation:
            return [Superseded(received.incarnation)]
        is_accused = (
            received.state in (SUSPECT, DEAD) and self.own.state == ALIVE
        )
        if is_accused and received.incarnation == self.own.incarnation:
            if received.refutations >= self.own.refutations:
                self._raise_health_score()
                self._refute(received.refutations)
        return []

    def _refute(self, refutations: int) -> None:
        self.own = self.own._replace(refutations=refutations + 1)
        self._update_sends[self.own.host] = 0

    def _merge(self, received: Member, source: str, now_s: float) -> None:
        known = self.members.get(received.host)
        if known is None:
            if received.state != DEAD:
                self._set_and_announce(received)
                if received.state == SUSPECT:
                    self._suspicions[received.host] = _Suspicion(
                        now_s, {source}
                    )
            return
        if _supersedes(received, known):
            self._set_and_announce(_with_revisions(received, known))
            if received.state == SUSPECT:
                self._suspicions[received.host] = _Suspicion(now_s, {source})
            else:
                self._suspicions.pop(received.host, None)
        elif received.state == SUSPECT and _version(received) == _version(
            known
        ):
            suspicion = self._suspicions.get(received.host)
            if suspicion is not None:
                suspicion.sources.add(source)

    def _suspect(self, host: str, source: str, now_s: float) -> None:
        member = self.members.get(host)
        if member is None or member.state not in (ALIVE, SUSPECT):
            return
        if member.state == ALIVE:
            self._set_and_announce(member._replace(state=SUSPECT))
        suspicion = self._suspicions.setdefault(host, _Suspicion(now_s, set()))
        suspicion.sources.add(source)

    def _set_and_announce(self, member: Member) -> None:
        self._set_member(member)
        self._update_sends[member.host] = 0

    def _set_member(self, member: Member) -> None:
        known = self.members.get(member.host)
        if known is None:
            self._hosts.append(member.host)
        if known != member:
            self.members[member.host] = member
            self._view = None

    def _merge_host_states(
        self, host_states: Iterable[freshness.HostState]
    ) -> None:
        """Merge table revisions, free capacity and readiness for work.

        Revisions only grow within an incarnation, so host states may
        arrive in any order.
        """
        for seen in host_states:
            known = self.members.get(seen.host)
            if known is None or known.incarnation != seen.incarnation:
                continue
            seen_now = known._replace(
                table_revision=max(known.table_revision, seen.table_revision),
                staged_revision=max(
                    known.staged_revision, seen.staged_revision
                ),
                spare=seen.spare,
                takes_work=seen.takes_work,
            )
            self._set_member(seen_now)

    # Piggybacked updates, host states and digest of each datagram.

    def _ping(self, peer: Member, now_s: float) -> SendDatagram:
        self._sequence += 1
        ping = Ping(
            self._sequence, self.own, peer.host, *self._piggyback(peer, now_s)
        )
        return SendDatagram((peer.address, peer.peer_port), ping)

    def _piggyback(
        self, receiver: Member | None, now_s: float
    ) -> tuple[tuple[Member, ...], tuple[freshness.HostState, ...], bytes]:
        max_relayed = self.settings.max_host_states - 1
        relayed = self.freshness.relayed_host_states(
            now_s, max_relayed, self.rng
        )
        host_states = (self._own_host_state(now_s), *relayed)
        return self._updates(receiver), host_states, self.digest

    def _updates(self, receiver: Member | None) -> tuple[Member, ...]:
        """Members to send in a datagram, those sent least often first.

        If the receiver is suspected or declared dead, its own state comes
        first, since only the receiver can refute it.
        """
        chosen = []
        if receiver is not None:
            known = self.members.get(receiver.host)
            if known is not None and known.state in (SUSPECT, DEAD):
                chosen.append(known)
        limit = RETRANSMIT_FACTOR * math.ceil(math.log2(len(self.members) + 2))
        for host in sorted(
            self._update_sends, key=self._update_sends.__getitem__
        ):
            if len(chosen) >= self.settings.max_updates:
                break
            self._update_sends[host] += 1
            if self._update_sends[host] > limit:
                del self._update_sends[host]
            member = self.members.get(host)
            if member is not None and member not in chosen:
                chosen.append(member)
        return tuple(chosen + self._random_update(chosen))

    def _random_update(self, chosen: list[Member]) -> list[Member]:
        """A random further member if the datagram has space for one.

        A host that has just joined thus receives all members in time.
        """
        if len(chosen) >= min(self.settings.max_updates, len(self._hosts)):
            return []
        while True:
            member = self.members[self.rng.choice(self._hosts)]
            if member not in chosen:
                return [member]

    def _shuffled(self, items: list[Any]) -> list[Any]:
        return sorted(items, key=lambda _: self.rng.random())

    def _peers_in_state(self, *states: str) -> list[Member]:
        return [m for m in self.members.values() if m.state in states]


def _version(member: Member) -> tuple[int, int]:
    return (member.incarnation, member.refutations)


def _supersedes(received: Member, known: Member) -> bool:
    if _version(received) != _version(known):
        return _version(received) > _version(known)
    return _STATE_RANK[received.state] > _STATE_RANK[known.state]


def _with_revisions(received: Member, known: Member) -> Member:
    if received.incarnation != known.incarnation:
        return received
    return received._replace(
        table_revision=max(received.table_revision, known.table_revision),
        staged_revision=max(received.staged_revision, known.staged_revision),
    )
