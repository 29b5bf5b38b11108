"""Decides whether a node's table is fresh and when an edit is accepted."""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import math
from typing import Any
from typing import NamedTuple

__all__ = [
    'Accept',
    'Blocked',
    'Freshness',
    'FreshnessSettings',
    'HostState',
    'Wait',
    'quorum_of',
]

#: Maximum difference between the rates of two hosts' clocks.
MAX_CLOCK_DRIFT_SHARE = 0.1
#: Share of ``stale_s`` after which the store's confirmation is renewed.
RENEW_SHARE = 0.4
NEVER = -math.inf


class FreshnessSettings(NamedTuple):
    """Timeouts of the table's freshness checks; the same on all nodes.

    :param stale_s: age at which evidence expires, in seconds.
    :param join_s: maximum time, in seconds, that a starting node waits for a
        first peer, which may hold a newer table than the store.
    """

    stale_s: float = 3.0
    join_s: float = 1.0


class HostState(NamedTuple):
    """State of a host at one moment, as gossip carries it.

    :param age_s: time from that moment to the encoding of the datagram, in
        seconds.
    :param store_age_s: age of the store's confirmation of the host's table,
        in seconds.
    :param rooted: whether the process has ever held a table confirmed by the
        store or by a quorum; only such hosts count towards a quorum.
    :param spare: share of the host's capacity that is free, 0 to 1.
    """

    host: str
    incarnation: int
    age_s: float
    table_revision: int
    staged_revision: int
    store_age_s: float
    rooted: bool
    takes_work: bool
    spare: float


@dataclasses.dataclass(frozen=True)
class Accept:
    """The staged revision may be accepted.

    :param missing: hosts that have not acknowledged it.
    """

    revision: int
    missing: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True)
class Wait:
    """The staged revision can't be accepted yet.

    :param laggards: hosts that have not acknowledged the edit, that hold a
        newer table, or whose evidence has to expire first.
    """

    revision: int
    laggards: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class Blocked:
    """The edit can't be accepted: the missing hosts may serve without it.

    There are enough of them to form a quorum.

    :param missing: hosts that have not acknowledged the edit.
    """

    revision: int
    missing: tuple[str, ...]
    remedy: str = 'bring the hosts back, or accept with an override'


class _Evidence(NamedTuple):
    at_s: float
    host_state: HostState


def quorum_of(failure_domains: Mapping[str, str]) -> int:
    """Number of hosts that may continue without the store.

    It is one more than the largest failure domain has, so that the loss of
    any one domain never blocks an edit.  It is at most half of the hosts,
    rounded up, so that after an even split both sides continue.

    :param failure_domains: the failure domain of each host.
    """
    sizes: dict[str, int] = {}
    for domain in failure_domains.values():
        sizes[domain] = sizes.get(domain, 0) + 1
    largest = max(sizes.values(), default=0)
    return max(1, min(largest + 1, math.ceil(len(failure_domains) / 2)))


class Freshness:
    """Decides on one node whether its table is fresh.

    Both sides of a partition apply the same rule, so that every node that
    accepts requests on one side has the edits that the other side has
    accepted.

    A node is *fresh* while, within the last ``stale_s``, either

    * the store confirmed the node's table, to the node or to a peer at the
      end of a chain of answered probes, or
    * at least ``quorum`` hosts of the settings, including the node, were
      seen that hold no newer table.

    A staged edit may be *accepted* once every host has acknowledged it, or
    fewer than ``quorum`` hosts are missing and their evidence has expired.
    The hosts that miss an edit are then always too few for a quorum, and any
    further host that they could count has the edit and shows it to them.
    A missing group of ``quorum`` hosts or more continues to serve, so it
    blocks the edit until it is back or an operator overrides.

    Only answers to a node's own probes are evidence, dated from when the
    probe was sent: a process that was stopped finds old datagrams in its
    socket, which would otherwise look recent.

    :param failure_domains: the failure domain of every host in the settings.
    """

    def __init__(
        self,
        host: str,
        incarnation: int,
        failure_domains: Mapping[str, str],
        settings: FreshnessSettings,
        now_s: float,
    ) -> None:
        self.host = host
        self.incarnation = incarnation
        self.configured_hosts = frozenset(failure_domains) | {host}
        self.quorum = quorum_of({host: '', **failure_domains})
        self.settings = settings
        self.started_s = now_s
        self.table_revision = 0
        self.staged_revision = 0
        self.has_table = False
        self.rooted = False
        self.spare = 1.0
        self.store_at_s = NEVER
        self.first_peer_s = math.inf
        self.evidence: dict[str, _Evidence] = {}
        self._acknowledged: set[str] = set()
        self._acknowledged_revision = 0
        self._last_acknowledged_s = NEVER
        self._staged_s = NEVER

    def set_held_revisions(
        self, table_revision: int, staged_revision: int
    ) -> None:
        """Set the revisions of the table that the node holds."""
        self.has_table = True
        self.table_revision = table_revision
        self.staged_revision = staged_revision

    def record_store_confirmation(
        self, sent_s: float, table_revision: int, staged_revision: int
    ) -> None:
        """Record the revisions that a read of the store returned.

        :param sent_s: when the read was sent.
        """
        if self._holds(table_revision, staged_revision):
            self.store_at_s = max(self.store_at_s, sent_s)
            self.rooted = True

    def handle_probe_answer(
        self, sent_s: float, now_s: float, host_states: Iterable[HostState]
    ) -> None:
        """Record the evidence in the answer to a probe.

        :param sent_s: when the probe was sent.
        :param host_states: the state of the peer, then those that it relays.
        """
        for position, host_state in enumerate(host_states):
            if host_state.host == self.host:
                continue
            at_s = sent_s - max(0.0, host_state.age_s)
            self._record_evidence(at_s, host_state)
            if position == 0:
                self.first_peer_s = min(self.first_peer_s, now_s)
                self._adopt_store_confirmation(sent_s, host_state)

    def _record_evidence(self, at_s: float, host_state: HostState) -> None:
        known = self.evidence.get(host_state.host)
        if known is None or self._is_newer(at_s, host_state, known):
            self.evidence[host_state.host] = _Evidence(at_s, host_state)

    @staticmethod
    def _is_newer(
        at_s: float, host_state: HostState, known: _Evidence
    ) -> bool:
        if host_state.incarnation != known.host_state.incarnation:
            return host_state.incarnation > known.host_state.incarnation
        return at_s > known.at_s

    def _adopt_store_confirmation(
        self, sent_s: float, peer: HostState
    ) -> None:
        """Adopt the store's confirmation of a peer without a newer table."""
        if not self._holds(peer.table_revision, peer.staged_revision):
            return
        at_s = sent_s - max(0.0, peer.store_age_s)
        self.store_at_s = max(self.store_at_s, at_s)
        if at_s > self.started_s:
            self.rooted = True

    def _holds(self, table_revision: int, staged_revision: int) -> bool:
        return (
            self.has_table
            and table_revision <= self.table_revision
            and staged_revision <= self.staged_revision
        )

    def host_with_newer_table(self) -> str | None:
        """The host to fetch a newer table from; None if none is known."""
        newest = max(
            self.evidence.values(),
            key=lambda e: (
                e.host_state.staged_revision,
                e.host_state.table_revision,
            ),
            default=None,
        )
        if newest is None or self._holds(
            newest.host_state.table_revision, newest.host_state.staged_revision
        ):
            return None
        return newest.host_state.host

    def store_age_s(self, now_s: float) -> float:
        """Age of the store's last confirmation, also one through peers."""
        return now_s - self.store_at_s

    def is_store_read_due(self, now_s: float) -> bool:
        """Whether a read of the store is due.

        Peers relay the store's confirmation, so few nodes have to read it.
        """
        age_s = self.store_age_s(now_s)
        return age_s > RENEW_SHARE * self.settings.stale_s

    def is_fresh(self, now_s: float) -> bool:
        """Whether the node may rely on its table."""
        if not self.has_table:
            return False
        if self.store_age_s(now_s) <= self.settings.stale_s:
            return True
        return len(self.group(now_s)) >= self.quorum

    def group(self, now_s: float) -> set[str]:
        """Hosts with recent evidence that count towards a quorum.

        They hold no newer table than this node.  The node itself is included
        if it is rooted.
        """
        hosts = {
            host
            for host, evidence in self._recent(now_s)
            if evidence.host_state.rooted
            and self._holds(
                evidence.host_state.table_revision,
                evidence.host_state.staged_revision,
            )
        }
        return hosts | ({self.host} if self.rooted else set())

    def takes_work(self, now_s: float) -> bool:
        """Whether the node accepts new requests.

        From a store that was restored from a backup, a starting node may
        read a table that has been replaced.  It therefore waits for a first
        peer, for at most ``join_s``.
        """
        if not self.is_fresh(now_s):
            return False
        return now_s >= min(
            self.first_peer_s, self.started_s + self.settings.join_s
        )

    def tick(self, now_s: float) -> None:
        """Let a process that started without the store count in a quorum.

        An earlier process of this host may have acknowledged an edit, and
        the hosts that this process sees may lack this edit.  After twice
        ``stale_s`` all evidence is younger than any acceptance that relied on
        the earlier process.  A quorum without a newer table is then as
        reliable as the store.
        """
        waited_s = now_s - self.started_s
        if self.rooted or waited_s < 2 * self.settings.stale_s:
            return
        if len(self.group(now_s)) >= self.quorum:
            self.rooted = True

    def acts_on_staged(self, now_s: float) -> bool:
        """Whether staged edits are in force before they are accepted.

        A node that has acknowledged an edit and then has no recent
        confirmation by the store has no proof that the edit was accepted.
        A staged edit is never withdrawn, so applying it early is consistent.
        """
        return self.store_age_s(now_s) > self.settings.stale_s

    def own_host_state(self, now_s: float) -> HostState:
        """Return the state of this host that the node sends to peers."""
        return HostState(
            self.host,
            self.incarnation,
            0.0,
            self.table_revision,
            self.staged_revision,
            self.store_age_s(now_s),
            self.rooted,
            self.takes_work(now_s),
            self.spare,
        )

    def relayed_host_states(
        self, now_s: float, max_hosts: int, rng: Any
    ) -> list[HostState]:
        """Return the states of other hosts to relay, chosen at random.

        :param max_hosts: maximum number of hosts.
        :param rng: an object with ``randrange``.
        """
        recent = [evidence for _, evidence in self._recent(now_s)]
        chosen = []
        while recent and len(chosen) < max_hosts:
            drawn = rng.randrange(len(recent))
            recent[drawn], recent[-1] = recent[-1], recent[drawn]
            chosen.append(recent.pop())
        return [
            evidence.host_state._replace(age_s=now_s - evidence.at_s)
            for evidence in chosen
        ]

    def _recent(self, now_s: float) -> list[tuple[str, _Evidence]]:
        oldest_s = now_s - self.settings.stale_s
        return [
            (host, evidence)
            for host, evidence in self.evidence.items()
            if evidence.at_s >= oldest_s and host in self.configured_hosts
        ]

    def acceptance(
        self, now_s: float, stopped: Iterable[str] = ()
    ) -> Accept | Wait | Blocked:
        """Whether the staged revision that the node holds may be accepted.

        The store must have confirmed the node's table within ``stale_s``;
        the caller then accepts by a compare-and-swap in the store.

        :param stopped: hosts that have announced that they leave.
        """
        revision = self.staged_revision
        recent = dict(self._recent(now_s))
        newer = [
            host
            for host, evidence in recent.items()
            if evidence.host_state.table_revision > revision
        ]
        if newer:
            return Wait(revision, tuple(sorted(newer)))
        holders = {
            host
            for host, evidence in recent.items()
            if evidence.host_state.staged_revision >= revision
        } | {self.host}
        self._record_acknowledgements(holders, revision, now_s)
        stopped = frozenset(stopped)
        missing = tuple(sorted(self.configured_hosts - holders))
        idle = stopped | self._idle_since_staged(recent)
        lagging = tuple(
            host for host in missing if host in recent and host not in idle
        )
        if lagging:
            return Wait(revision, lagging)
        if missing and len(missing) >= self.quorum:
            return Blocked(revision, missing)
        unsure = (
            set(missing) - idle
            | self._hosts_outside_settings(revision) - stopped
        )
        if unsure and not self._are_missing_hosts_stale(now_s):
            return Wait(revision, tuple(sorted(unsure)))
        return Accept(revision, missing)

    def _idle_since_staged(
        self, recent: Mapping[str, _Evidence]
    ) -> frozenset[str]:
        """Hosts seen not to accept requests after the edit was staged.

        A host that was last seen so before that may have started to accept
        requests, so acceptance waits for it like for any other host.
        """
        return frozenset(
            host
            for host, evidence in recent.items()
            if not evidence.host_state.takes_work
            and evidence.at_s >= self._staged_s
        )

    def _hosts_outside_settings(self, revision: int) -> set[str]:
        """Hosts outside the settings that may serve without the edit.

        They were found by the platform's list of hosts.  They do not count
        in the quorum, but acceptance waits until they have the edit or their
        evidence has expired.
        """
        oldest_s = self._staged_s - self.settings.stale_s * (
            1 + MAX_CLOCK_DRIFT_SHARE
        )
        return {
            host
            for host, evidence in self.evidence.items()
            if host not in self.configured_hosts
            and evidence.at_s > oldest_s
            and evidence.host_state.staged_revision < revision
        }

    def _record_acknowledgements(
        self, holders: set[str], revision: int, now_s: float
    ) -> None:
        if revision != self._acknowledged_revision:
            self._acknowledged_revision = revision
            self._acknowledged = set()
            self._staged_s = now_s
        if holders - self._acknowledged:
            self._acknowledged |= holders
            self._last_acknowledged_s = now_s

    def _are_missing_hosts_stale(self, now_s: float) -> bool:
        """Whether the evidence of all hosts that miss the edit has expired.

        It dates from before the last acknowledgement, since any later answer
        would have shown them the edit.
        """
        waited_s = now_s - self._last_acknowledged_s
        return waited_s > self.settings.stale_s * (1 + MAX_CLOCK_DRIFT_SHARE)
