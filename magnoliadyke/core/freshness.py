"""Who may go on with the table it has, and when an edit may be accepted.

Both sides of a partition compute the rule in this module, so that what one
side accepts is known to every node that takes work on the other.

A node is *fresh* while, within the last ``stale_s``, either

* the store confirmed the table that the node holds, to itself or to a peer
  at the end of a chain of answered probes, or
* at least ``quorum`` hosts of the settings, itself among them, were seen
  that know no newer table.

A staged edit is *accepted* once every host has acknowledged it, or fewer
than ``quorum`` hosts are missing and those have had the time to notice that
they are cut off.  Hosts that miss an edit are then always too few to go on
by themselves, and any host that they would count in has the edit and shows
it.  A missing group of ``quorum`` hosts or more goes on serving, hence it
blocks the edit until it is back or an operator overrides.

Evidence comes from answers to own probes only, and dates from when the probe
was sent.  A process that was stopped finds old datagrams in its socket; they
would else look like news.
"""

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
    'Sighting',
    'Wait',
    'quorum_of',
]

#: A clock may run this much faster or slower than another one.
MAX_CLOCK_DRIFT_SHARE = 0.1
#: A confirmation of this age, as a share of ``stale_s``, is worth renewing.
RENEW_SHARE = 0.4
NEVER = -math.inf


class FreshnessSettings(NamedTuple):
    """Times of the rule; the same on all nodes.

    :param stale_s: longest time on old evidence.
    :param join_s: how long a starting node listens for peers that know a
        newer table than the store does.
    """

    stale_s: float = 3.0
    join_s: float = 1.0


class Sighting(NamedTuple):
    """What a host knew at some moment.

    :param age_s: time since that moment, when the datagram was made.
    :param store_age_s: age of the store's word behind that host's table.
    :param rooted: the process has once held a table confirmed by the store
        or by a quorum; others may count it in.
    :param spare: free share of the host, 0 to 1.
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
    """The staged revision may be accepted."""

    revision: int
    missing: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True)
class Wait:
    """Not yet: these hosts have not acknowledged, or have to stop first."""

    revision: int
    laggards: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class Blocked:
    """Too many hosts are missing; they may be serving by themselves."""

    revision: int
    missing: tuple[str, ...]
    remedy: str = 'bring the hosts back, or accept with an override'


class _Evidence(NamedTuple):
    at_s: float
    sighting: Sighting


def quorum_of(failure_domains: Mapping[str, str]) -> int:
    """Hosts that make a group large enough to go on without the store.

    One more than the largest failure domain holds: the loss of any one
    domain never blocks an edit.  At most half of the hosts, so that an even
    split leaves both sides serving.

    :param failure_domains: the failure domain of each host.
    """
    sizes: dict[str, int] = {}
    for domain in failure_domains.values():
        sizes[domain] = sizes.get(domain, 0) + 1
    largest = max(sizes.values(), default=0)
    return max(1, min(largest + 1, math.ceil(len(failure_domains) / 2)))


class Freshness:
    """The rule, as one node computes it.

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
        """The node now holds this table."""
        self.has_table = True
        self.table_revision = table_revision
        self.staged_revision = staged_revision

    def store_confirmed(
        self, sent_s: float, table_revision: int, staged_revision: int
    ) -> None:
        """A read of the store, begun at ``sent_s``, showed these revisions."""
        if self._holds(table_revision, staged_revision):
            self.store_at_s = max(self.store_at_s, sent_s)
            self.rooted = True

    def handle_probe_answer(
        self, sent_s: float, now_s: float, sightings: Iterable[Sighting]
    ) -> None:
        """A probe sent at ``sent_s`` was answered; the peer comes first."""
        for position, sighting in enumerate(sightings):
            if sighting.host == self.host:
                continue
            at_s = sent_s - max(0.0, sighting.age_s)
            self._record_evidence(at_s, sighting)
            if position == 0:
                self.first_peer_s = min(self.first_peer_s, now_s)
                self._adopt_store_confirmation(sent_s, sighting)

    def _record_evidence(self, at_s: float, sighting: Sighting) -> None:
        known = self.evidence.get(sighting.host)
        if known is None or self._is_newer(at_s, sighting, known):
            self.evidence[sighting.host] = _Evidence(at_s, sighting)

    @staticmethod
    def _is_newer(at_s: float, sighting: Sighting, known: _Evidence) -> bool:
        if sighting.incarnation != known.sighting.incarnation:
            return sighting.incarnation > known.sighting.incarnation
        return at_s > known.at_s

    def _adopt_store_confirmation(self, sent_s: float, peer: Sighting) -> None:
        """Take over the store's word from a peer that knows no more."""
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
        """A host that was seen with a newer table, to fetch it from."""
        newest = max(
            self.evidence.values(),
            key=lambda e: (
                e.sighting.staged_revision,
                e.sighting.table_revision,
            ),
            default=None,
        )
        if newest is None or self._holds(
            newest.sighting.table_revision, newest.sighting.staged_revision
        ):
            return None
        return newest.sighting.host

    def store_age_s(self, now_s: float) -> float:
        """Seconds since the store's word, own or passed on, was true."""
        return now_s - self.store_at_s

    def is_store_read_due(self, now_s: float) -> bool:
        """Whether a read of the store is due.

        Peers pass the store's word on; so a few reads serve the fleet.
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
        """Hosts that were seen lately and know no newer table."""
        hosts = {
            host
            for host, evidence in self._recent(now_s)
            if evidence.sighting.rooted
            and self._holds(
                evidence.sighting.table_revision,
                evidence.sighting.staged_revision,
            )
        }
        return hosts | ({self.host} if self.rooted else set())

    def takes_work(self, now_s: float) -> bool:
        """Whether the node takes new work.

        A store that was restored to an older copy would start a node with
        a table that had been replaced.  Hence it listens for peers first.
        """
        if not self.is_fresh(now_s):
            return False
        return now_s >= min(
            self.first_peer_s, self.started_s + self.settings.join_s
        )

    def tick(self, now_s: float) -> None:
        """Let a process that started without the store count as a member.

        It may have acknowledged an edit in its former life and have met a
        group that misses this edit.  After twice ``stale_s`` all evidence
        is younger than any acceptance that still relied on that life, and
        a quorum that shows nothing newer is then as good as the store.
        """
        waited_s = now_s - self.started_s
        if self.rooted or waited_s < 2 * self.settings.stale_s:
            return
        if len(self.group(now_s)) >= self.quorum:
            self.rooted = True

    def acts_on_staged(self, now_s: float) -> bool:
        """Whether staged edits are to be put in force unconfirmed.

        A node that has acknowledged an edit and then loses touch cannot
        tell whether the edit was accepted.  Since a staged edit is never
        withdrawn, acting on it early contradicts nothing.
        """
        return self.store_age_s(now_s) > self.settings.stale_s

    def sighting(self, now_s: float) -> Sighting:
        """What this node tells of itself."""
        return Sighting(
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

    def relayed_sightings(
        self, now_s: float, max_hosts: int, rng: Any
    ) -> list[Sighting]:
        """What this node can tell of others, ``most`` of them drawn by lot.

        :param rng: an object with ``randrange``.
        """
        recent = [evidence for _, evidence in self._recent(now_s)]
        chosen = []
        while recent and len(chosen) < max_hosts:
            drawn = rng.randrange(len(recent))
            recent[drawn], recent[-1] = recent[-1], recent[drawn]
            chosen.append(recent.pop())
        return [
            evidence.sighting._replace(age_s=now_s - evidence.at_s)
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
        """Whether the staged revision held may be accepted.

        The node must itself be fresh by the store: the caller follows with
        a compare-and-swap there.

        :param stopped: hosts that said farewell.
        """
        revision = self.staged_revision
        recent = dict(self._recent(now_s))
        newer = [
            host
            for host, evidence in recent.items()
            if evidence.sighting.table_revision > revision
        ]
        if newer:
            return Wait(revision, tuple(sorted(newer)))
        holders = {
            host
            for host, evidence in recent.items()
            if evidence.sighting.staged_revision >= revision
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
        """Hosts that have stopped to take work.

        One that was seen idle before the edit was staged may have begun to
        work since; it is waited for like the others.
        """
        return frozenset(
            host
            for host, evidence in recent.items()
            if not evidence.sighting.takes_work
            and evidence.at_s >= self._staged_s
        )

    def _hosts_outside_settings(self, revision: int) -> set[str]:
        """Hosts outside the settings that may work without the edit.

        They came by the platform's list of hosts. The quorum does not count
        them, but they are given the time to learn of the edit or to stop.
        """
        oldest_s = self._staged_s - self.settings.stale_s * (
            1 + MAX_CLOCK_DRIFT_SHARE
        )
        return {
            host
            for host, evidence in self.evidence.items()
            if host not in self.configured_hosts
            and evidence.at_s > oldest_s
            and evidence.sighting.staged_revision < revision
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
        """Whether all hosts that miss the edit are stale by now.

        Their evidence dates from before the last host acknowledged: any
        later answer would have shown them the edit.
        """
        waited_s = now_s - self._last_acknowledged_s
        return waited_s > self.settings.stale_s * (1 + MAX_CLOCK_DRIFT_SHARE)
