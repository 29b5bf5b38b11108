"""Chooses which waiting prompts give way under overload, by rank and share.

Handles bursts of up to twice the prefill capacity from many workspaces, a few
of which send most of the requests.
"""

from collections.abc import Callable
from collections.abc import Iterable
import enum
import heapq
from typing import NamedTuple

from magnoliadyke.core import limits
from magnoliadyke.core import promptjobs

__all__ = [
    'Arrival',
    'GivesWay',
    'ServedTime',
    'arrival',
    'give_way',
    'usage_s',
]

#: Time constant of the engine-seconds given to a workspace, in seconds: longer
#: than a burst, so that one who fills a burst pays for it within the burst.
TIME_CONSTANT_S = 5.0
#: Engine-seconds below which a workspace's counter is dropped.
MIN_SERVED_S = 0.001
#: Interval of the search for counters to drop, in seconds.
DROP_INTERVAL_S = 1.0


class ServedTime:
    """Engine-seconds that workspaces were given of late, decaying.

    :ivar rates: moving rate by workspace; bounded by the number of
        workspaces served within some time constants
    """

    def __init__(self) -> None:
        self.rates: dict[str, limits.Rate] = {}
        self.dropped_s = 0.0

    def charge(self, workspace: str, engine_s: float, now_s: float) -> None:
        """Add the prefill time of a placed job, in seconds."""
        if now_s - self.dropped_s >= DROP_INTERVAL_S:
            self.dropped_s = now_s
            for name in list(self.rates):
                if self.served_s(name, now_s) < MIN_SERVED_S:
                    del self.rates[name]
        rate = self.rates.get(workspace)
        if rate is None:
            rate = self.rates[workspace] = limits.Rate(TIME_CONSTANT_S, now_s)
        rate.add(engine_s, now_s)

    def served_s(self, workspace: str, now_s: float) -> float:
        """Return the engine-seconds given to a workspace, decayed."""
        rate = self.rates.get(workspace)
        return rate.now(now_s) * TIME_CONSTANT_S if rate is not None else 0.0

    def largest(self, count: int, now_s: float) -> list[tuple[str, float]]:
        """Return the workspaces that were given most, with their seconds."""
        served = [(name, self.served_s(name, now_s)) for name in self.rates]
        return heapq.nlargest(count, served, key=lambda each: each[1])


class Arrival(enum.Enum):
    """What becomes of a new job for which the queue has no room.

    DISPLACES: another waiting job has to give way to it.  LESS_URGENT,
    ABOVE_SHARE: it gives way itself, because of its rank or its workspace's
    share.  EQUAL: neither rank nor share tells it from those waiting.
    """

    DISPLACES = enum.auto()
    LESS_URGENT = enum.auto()
    ABOVE_SHARE = enum.auto()
    EQUAL = enum.auto()


class GivesWay(NamedTuple):
    """A job that gives way to others.

    :param arrival: why this job: LESS_URGENT, ABOVE_SHARE or EQUAL
    """

    job: promptjobs.Job
    arrival: Arrival


def usage_s(
    jobs: Iterable[promptjobs.Job], served: ServedTime, now_s: float
) -> dict[str, float]:
    """Return the engine-seconds given to and awaited by each workspace.

    :param jobs: waiting jobs; only their workspaces are listed
    """
    usage: dict[str, float] = {}
    for job in jobs:
        known_s = usage.get(job.workspace)
        if known_s is None:
            known_s = served.served_s(job.workspace, now_s)
        usage[job.workspace] = known_s + job.need_s
    return usage


def arrival(
    job: promptjobs.Job,
    waiting: Iterable[promptjobs.Job],
    usage: dict[str, float],
) -> Arrival:
    """Decide whether a job that would be late displaces a waiting one.

    :param waiting: the jobs ahead of it
    :param usage: engine-seconds by workspace, those of the new job included
    """
    own_s = usage[job.workspace]
    found = Arrival.EQUAL
    for other in waiting:
        if other.priority > job.priority:
            return Arrival.DISPLACES
        if other.priority < job.priority:
            found = Arrival.LESS_URGENT
        elif other.workspace != job.workspace:
            if usage[other.workspace] > own_s:
                return Arrival.DISPLACES
            if found is Arrival.EQUAL:
                found = Arrival.ABOVE_SHARE
    return found


def give_way(
    jobs: Iterable[promptjobs.Job],
    start_s: Callable[[float], float],
    usage: dict[str, float],
) -> list[GivesWay]:
    """Choose the jobs to demote such that the others meet their objective.

    The Moore-Hodgson algorithm, extended by ranks and shares: where the next
    job would be late, one of the jobs so far gives way.  That is one of the
    least urgent rank; in it one of the workspace that uses most; of those the
    longest.  With one rank and one workspace it is the longest job so far.
    Taking from the workspace that uses most, until all fit, leaves every
    workspace what max-min fairness with equal weights gives it.

    :param jobs: waiting jobs, earliest latest start first
    :param start_s: returns when a job starts behind so much work
    :param usage: engine-seconds by workspace; not changed
    """
    candidates = _Candidates(dict(usage))
    chosen: list[GivesWay] = []
    work_s = 0.0
    for job in jobs:
        starts_s = start_s(work_s)
        candidates.add(job)
        work_s += job.need_s
        # The longest job makes enough room at once; one of another rank or
        # workspace may be shorter than the job that would be late.
        while starts_s > job.latest_start_s:
            enough = candidates.have_one_group
            victim = candidates.pop()
            chosen.append(victim)
            work_s -= victim.job.need_s
            if enough or victim.job is job:
                break
            starts_s = start_s(work_s - job.need_s)
    return chosen


class _Candidates:
    """Jobs that may give way, grouped by rank and workspace.

    :ivar longest: heaps of jobs, longest first, by workspace, by rank
    :ivar heaviest: heaps of workspaces by usage, by rank.  The usage only
        falls, so an outdated entry is too high and is corrected at the top.
    """

    def __init__(self, usage: dict[str, float]) -> None:
        self.usage = usage
        self.longest: dict[
            int, dict[str, list[tuple[float, int, promptjobs.Job]]]
        ] = {}
        self.heaviest: dict[int, list[tuple[float, str]]] = {}

    @property
    def have_one_group(self) -> bool:
        return len(self.longest) == 1 and all(
            len(each) == 1 for each in self.longest.values()
        )

    def add(self, job: promptjobs.Job) -> None:
        ranked = self.longest.setdefault(job.priority, {})
        heap = ranked.get(job.workspace)
        if heap is None:
            heap = ranked[job.workspace] = []
            heapq.heappush(
                self.heaviest.setdefault(job.priority, []),
                (-self.usage[job.workspace], job.workspace),
            )
        heapq.heappush(heap, (-job.need_s, job.id, job))

    def pop(self) -> GivesWay:
        rank = max(self.longest)
        ranked, heaviest = self.longest[rank], self.heaviest[rank]
        why = Arrival.EQUAL
        if len(self.longest) > 1:
            why = Arrival.LESS_URGENT
        elif len(ranked) > 1:
            why = Arrival.ABOVE_SHARE
        while -heaviest[0][0] != self.usage[heaviest[0][1]]:
            workspace = heaviest[0][1]
            heapq.heapreplace(heaviest, (-self.usage[workspace], workspace))
        workspace = heaviest[0][1]
        job = heapq.heappop(ranked[workspace])[2]
        self.usage[workspace] -= job.need_s
        if not ranked[workspace]:
            del ranked[workspace]
            heapq.heappop(heaviest)
        if not ranked:
            del self.longest[rank], self.heaviest[rank]
        return GivesWay(job, why)
