"""Who is alive: gossip with indirect probes, suspicion and incarnations.

The protocol is SWIM with the local health of Lifeguard.  Each period a node
probes one peer; a peer that does not answer is asked for through helpers in
several failure domains, then suspected, and declared dead unless it refutes
in time.  News rides on probes and answers; the bytes of a datagram and the
datagrams of a period are bounded, whatever the size of the fleet.

An incarnation belongs to a process and is given at its start; a later
process of the host has a higher one.  ``refutations`` counts within it.
"""

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
    'Send',
    'Superseded',
]

ALIVE = 'alive'
SUSPECT = 'suspect'
DEAD = 'dead'
LEFT = 'left'
_STATE_RANK = {ALIVE: 0, SUSPECT: 1, DEAD: 2, LEFT: 3}
MAX_HEALTH = 4
#: Independent suspicions that shorten the wait to its least.
MAX_CONFIRMATIONS = 2
#: Each update is sent this often for each doubling of the fleet.
RETRANSMIT_FACTOR = 3


class MembershipSettings(NamedTuple):
    """Times and bounds of the protocol.

    :param suspicion_s: least time between suspicion and death.
    :param helpers: peers asked to probe in one's stead.
    :param updates: members told of in a datagram.
    :param sightings: hosts vouched for in a datagram.
    :param pause_s: a gap between ticks that counts as a pause.
    :param knock_s: time between probes of a host believed gone.
    :param survey: most peers probed at once by a survey.
    """

    period_s: float = 0.5
    ping_timeout_s: float = 0.15
    suspicion_s: float = 1.0
    helpers: int = 3
    updates: int = 4
    sightings: int = 8
    pause_threshold_s: float = 1.5
    unreachable_probe_interval_s: float = 1.0
    survey: int = 64


class Member(NamedTuple):
    """A host as others see it.

    :param spare: free share of the host, 0 to 1.
    :param successor: host that took over the records of one that left.
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
    """Are you there?

    :param source: the sender, first-hand.
    :param target: host meant; another process at its address keeps still.
    """

    sequence: int
    source: Member
    target: str
    updates: tuple[Member, ...]
    sightings: tuple[freshness.Sighting, ...]
    digest: bytes


class PingRequest(NamedTuple):
    """Probe the target for me and pass its answer on."""

    sequence: int
    source: Member
    target: str
    target_address: str
    target_port: int
    updates: tuple[Member, ...]
    sightings: tuple[freshness.Sighting, ...]
    digest: bytes


class Ack(NamedTuple):
    """Here I am; ``source`` is the probed host, also through a helper."""

    sequence: int
    source: Member
    target: str
    updates: tuple[Member, ...]
    sightings: tuple[freshness.Sighting, ...]
    digest: bytes


Message = Ping | PingRequest | Ack


@dataclasses.dataclass(frozen=True)
class Send:
    """Send a datagram.

    :param address: numeric address and port.
    """

    address: tuple[str, int]
    message: Message


@dataclasses.dataclass(frozen=True)
class DigestReceived:
    """A peer's digest, as it set it."""

    host: str
    digest: bytes


@dataclasses.dataclass(frozen=True)
class Paused:
    """The process stood still; leases are to be dropped before acting."""

    for_s: float


@dataclasses.dataclass(frozen=True)
class Superseded:
    """A newer process runs for this host; this one is to stop."""

    incarnation: int


Action = Send | DigestReceived | Paused | Superseded


class MembersView(NamedTuple):
    """The members, oneself among them.

    :param lost_domains: failure domains of which no host answers.
    """

    members: Mapping[str, Member]
    lost_domains: frozenset[str] = frozenset()

    def alive(self) -> list[Member]:
        """Members that are thought to be alive, oneself among them."""
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
    """The protocol of one node.

    :param self_member: oneself, with the incarnation of this process.
    :param rng: source of randomness.
    :param peers: hosts of the settings, to join by; state and revisions in
        them are not believed.
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
        self.health = 0
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

    # What the rest of the node reads and tells.

    def view(self) -> MembersView:
        """The members now; the same object until one of them changes.

        It is asked for at each tick and datagram. Rebuilt each time, it
        took a node of a large fleet most of what membership costs.
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
        """Tell the others which table this node holds."""
        self.freshness.set_held_revisions(table_revision, staged_revision)

    def set_spare(self, spare: float) -> None:
        """Tell the others how much room this node has.

        :param spare: 0 (none) to 1
        """
        self.freshness.spare = spare

    def stop_taking_work(self) -> None:
        """Take no new work from now on, whatever the evidence says."""
        self.accepts = False

    def survey(self, now_s: float) -> list[Action]:
        """Probe many peers at once, to hear soon who holds which table.

        One probe a period would take a period for each host; an edit is
        rare enough to pay for more.
        """
        peers = self._shuffled(self._peers_in_state(ALIVE, SUSPECT))
        sends: list[Action] = []
        for peer in peers[: self.settings.survey]:
            sends.append(self._ping(peer, now_s))
            self._unscheduled_probes[self._sequence] = now_s
        return sends

    def add_seed(self, peer: Member) -> None:
        """A host that the platform lists; it lags, so it is only knocked."""
        if peer.host != self.own.host:
            self.seeds.setdefault(peer.host, peer)

    def leave(self, successor: str, now_s: float) -> list[Action]:
        """Say farewell; the records go to the successor."""
        self.own = self.own._replace(state=LEFT, successor=successor)
        peers = self._shuffled(self._peers_in_state(ALIVE))
        chosen = peers[: 2 * self.settings.helpers]
        return [self._ping(peer, now_s) for peer in chosen]

    # Time.

    def tick(self, now_s: float) -> list[Action]:
        """To be called about every tenth of a second."""
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
        """Doubt oneself first: probes and suspicions ran out unheard."""
        self._raise_health_score()
        self._probe = None
        for suspicion in self._suspicions.values():
            suspicion.since_s = now_s
        self._refute(self.own.refutations)
        return Paused(gap_s)

    def _refresh_own(self, now_s: float) -> None:
        seen = self._own_sighting(now_s)
        self.own = self.own._replace(
            table_revision=seen.table_revision,
            staged_revision=seen.staged_revision,
            spare=seen.spare,
            takes_work=seen.takes_work,
        )

    def _own_sighting(self, now_s: float) -> freshness.Sighting:
        seen = self.freshness.sighting(now_s)
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
        """Go round in a shuffled order, so that each has its turn."""
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
        health_multiplier = 1 + self.health
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
        """Be more patient: it may be oneself who is slow or cut off.

        Signs are that nobody at all is heard, or that answers come after
        their time.  While others are heard in time, a peer that is not has
        failed, and patience would only delay the news of several failures.
        """
        self.health = min(MAX_HEALTH, self.health + 1)

    def _send_ping_requests(self, probe: _Probe, now_s: float) -> list[Action]:
        target = self.members.get(probe.target)
        if target is None:
            return []
        return [
            Send(
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
        """Peers to probe in one's stead, first one of each failure domain.

        When a whole domain is cut off, helpers elsewhere say so at once;
        helpers near the target alone could not tell.
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
        return (first_of_domain + others_of_domain)[: self.settings.helpers]

    def _probe_unreachable(self, now_s: float) -> list[Action]:
        """Probe a host believed gone: after a partition someone must."""
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
        """Three times the least wait when alone, less when others agree.

        A slow node thinks that all the others are; nobody confirms, and its
        own local health draws the wait out further.
        """
        min_s = self.settings.suspicion_s
        confirmed = min(MAX_CONFIRMATIONS, len(suspicion.sources) - 1)
        share = math.log(1 + confirmed) / math.log(1 + MAX_CONFIRMATIONS)
        factor = 3 - 2 * share
        return min_s * max(1.0, factor) * (1 + self.health / 4)

    def _expire_probes(self, now_s: float) -> None:
        oldest_s = now_s - 2 * MAX_HEALTH * self.settings.period_s
        self._relays = {
            s: r for s, r in self._relays.items() if r.sent_s > oldest_s
        }
        for sent in (self._unscheduled_probes, self._timed_out):
            for sequence, sent_s in list(sent.items()):
                if sent_s < oldest_s:
                    del sent[sequence]

    # Messages.

    def receive(self, message: Message, now_s: float) -> list[Action]:
        """Take a datagram in."""
        self._received_s = now_s
        actions = self._merge_all((message.source, *message.updates), now_s)
        self._merge_sightings(message.sightings)
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
        return [Send((source.address, source.peer_port), ack)]

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
        return [Send((request.target_address, request.target_port), ping)]

    def _handle_ack(self, ack: Ack, now_s: float) -> list[Action]:
        relay = self._relays.pop(ack.sequence, None)
        if relay is not None:
            forwarded = ack._replace(
                sequence=relay.sequence, target=relay.requester.host
            )
            address = (relay.requester.address, relay.requester.peer_port)
            return [Send(address, forwarded)]
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
            self.health = max(0, self.health - 1)
        if sent_s is not None:
            self._clear_own_suspicion(ack.source)
            self.freshness.handle_probe_answer(sent_s, now_s, ack.sightings)
        return []

    def _clear_own_suspicion(self, source: Member) -> None:
        """It answered: own suspicion of it ends; it refutes the others'."""
        member = self.members.get(source.host)
        if member is not None and member.state == SUSPECT:
            suspicion = self._suspicions.get(source.host)
            if suspicion is not None and suspicion.sources == {self.own.host}:
                del self._suspicions[source.host]
                self._set_member(member._replace(state=ALIVE))

    # State.

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

    def _merge_sightings(
        self, sightings: Iterable[freshness.Sighting]
    ) -> None:
        """Revisions only grow within an incarnation; order is no matter."""
        for seen in sightings:
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

    # Riders: what every datagram carries.

    def _ping(self, peer: Member, now_s: float) -> Send:
        self._sequence += 1
        ping = Ping(
            self._sequence, self.own, peer.host, *self._piggyback(peer, now_s)
        )
        return Send((peer.address, peer.peer_port), ping)

    def _piggyback(
        self, receiver: Member | None, now_s: float
    ) -> tuple[tuple[Member, ...], tuple[freshness.Sighting, ...], bytes]:
        max_relayed = self.settings.sightings - 1
        relayed = self.freshness.relayed_sightings(
            now_s, max_relayed, self.rng
        )
        sightings = (self._own_sighting(now_s), *relayed)
        return self._updates(receiver), sightings, self.digest

    def _updates(self, receiver: Member | None) -> tuple[Member, ...]:
        """Members to tell of, the least told first.

        A receiver that is believed gone is told so above all; only it can
        refute.
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
            if len(chosen) >= self.settings.updates:
                break
            self._update_sends[host] += 1
            if self._update_sends[host] > limit:
                del self._update_sends[host]
            member = self.members.get(host)
            if member is not None and member not in chosen:
                chosen.append(member)
        return tuple(chosen + self._random_update(chosen))

    def _random_update(self, chosen: list[Member]) -> list[Member]:
        """One more member, told at random: a newcomer hears of all."""
        if len(chosen) >= min(self.settings.updates, len(self._hosts)):
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
