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
#: Rounding error of sums of prefill times that is ignored, in seconds.
ROUNDING_S = 1e-9
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
    names = {job.workspace}
    found = Arrival.EQUAL
    for other in waiting:
        if other.priority > job.priority:
            return Arrival.DISPLACES
        if (
            job.underserved
            and not other.underserved
            and other.priority == job.priority
        ):
            return Arrival.DISPLACES
        if other.priority < job.priority:
            found = Arrival.LESS_URGENT
        elif other.workspace != job.workspace:
            names.add(other.workspace)
            if found is Arrival.EQUAL:
                found = Arrival.ABOVE_SHARE
    share_s = sum(usage[name] for name in names) / len(names)
    if len(names) > 1 and usage[job.workspace] < share_s:
        return Arrival.DISPLACES
    return found


def give_way(
    jobs: list[promptjobs.Job],
    start_s: Callable[[float], float],
    usage: dict[str, float],
) -> list[GivesWay]:
    """Choose the jobs to demote such that the others meet their objective.

    The Moore-Hodgson algorithm, extended by ranks and shares: where the next
    job would be late, one of the jobs so far gives way.  That is one of the
    least urgent rank; in it one of a workspace that uses more than an equal
    share; of those the longest, but one whose size is underserved only after
    all others.  With one rank, one workspace and no such size it is the
    longest job so far.  The share is the mean usage of the workspaces that
    wait, which falls as jobs give way, so that a workspace that asks for less
    than max-min fairness leaves it keeps all that it asks for.

    :param jobs: waiting jobs, earliest latest start first
    :param start_s: returns when a job starts behind so much work
    :param usage: engine-seconds by workspace; not changed
    """
    if (
        len(usage) <= 1
        and len({job.priority for job in jobs}) <= 1
        and not any(job.underserved for job in jobs)
    ):
        return _give_way_by_length(jobs, start_s)
    candidates = _Candidates(jobs, dict(usage))
    chosen: list[GivesWay] = []
    work_s = 0.0
    idle_s = start_s(0.0)
    for job in jobs:
        if job.underserved and idle_s > job.latest_start_s:
            # No other job could make room for it.
            chosen.append(GivesWay(job, Arrival.EQUAL))
            continue
        starts_s = start_s(work_s)
        candidates.add(job)
        work_s += job.need_s
        # A job of another rank or workspace may be shorter than the one that
        # would be late, and not make enough room for it.
        while starts_s > job.latest_start_s:
            victim = candidates.pop()
            chosen.append(victim)
            work_s -= victim.job.need_s
            if victim.job is job:
                break
            # A sum that was reduced again may be off by a rounding error.
            starts_s = start_s(work_s - job.need_s) - ROUNDING_S
    return chosen


def _give_way_by_length(
    jobs: list[promptjobs.Job], start_s: Callable[[float], float]
) -> list[GivesWay]:
    """Choose the longest job so far wherever the next one would be late."""
    longest: list[tuple[float, int, promptjobs.Job]] = []
    chosen: list[GivesWay] = []
    work_s = 0.0
    for job in jobs:
        starts_s = start_s(work_s)
        heapq.heappush(longest, (-job.need_s, job.id, job))
        work_s += job.need_s
        if starts_s > job.latest_start_s:
            late = heapq.heappop(longest)[2]
            work_s -= late.need_s
            chosen.append(GivesWay(late, Arrival.EQUAL))
    return chosen


def _order(job: promptjobs.Job) -> tuple[bool, float]:
    """Return a sort key by which the job to give way comes first."""
    return job.underserved, -job.need_s


class _Candidates:
    """Jobs that may give way, by rank.

    :param jobs: all waiting jobs, also those that are not candidates yet
    :param usage: engine-seconds by workspace; changed
    :ivar ranks: the ranks of all waiting jobs
    :ivar count: number of candidates by rank, where there are any
    """

    def __init__(
        self, jobs: list[promptjobs.Job], usage: dict[str, float]
    ) -> None:
        self.usage = usage
        names: dict[int, set[str]] = {}
        for job in jobs:
            names.setdefault(job.priority, set()).add(job.workspace)
        self.ranks = {rank: _Rank(each, usage) for rank, each in names.items()}
        self.count: dict[int, int] = {}

    def add(self, job: promptjobs.Job) -> None:
        self.count[job.priority] = self.count.get(job.priority, 0) + 1
        self.ranks[job.priority].add(job)

    def pop(self) -> GivesWay:
        number = max(self.count)
        why = Arrival.EQUAL
        if len(self.count) > 1:
            why = Arrival.LESS_URGENT
        elif len(self.ranks[number].first) > 1:
            why = Arrival.ABOVE_SHARE
        job = self.ranks[number].pop()
        self.usage[job.workspace] -= job.need_s
        for rank in self.ranks.values():
            if job.workspace in rank.names:
                rank.total_s -= job.need_s
        self.count[number] -= 1
        if not self.count[number]:
            del self.count[number]
        return GivesWay(job, why)


class _Rank:
    """Candidates of one rank, by workspace.

    The usage of a workspace only falls, and so does the share.  Each heap has
    outdated entries, which are corrected or dropped at its top.

    :param names: the workspaces with waiting jobs of the rank
    :ivar total_s: usage of these workspaces
    :ivar first: heap of jobs by workspace, the one to give way first
    :ivar above: workspaces found above the share
    :ivar above_heap: first job of each of these, the one to give way first
    :ivar below_heap: the other workspaces, highest usage first
    """

    def __init__(self, names: set[str], usage: dict[str, float]) -> None:
        self.names = names
        self.usage = usage
        self.total_s = sum(usage[name] for name in names)
        self.first: dict[
            str, list[tuple[tuple[bool, float], int, promptjobs.Job]]
        ] = {}
        self.above: set[str] = set()
        self.above_heap: list[tuple[tuple[bool, float], int, str]] = []
        self.below_heap: list[tuple[float, str]] = []

    def add(self, job: promptjobs.Job) -> None:
        name = job.workspace
        if name not in self.first:
            self.first[name] = []
            heapq.heappush(self.below_heap, (-self.usage[name], name))
        heapq.heappush(self.first[name], (_order(job), job.id, job))
        if name in self.above and self.first[name][0][2] is job:
            heapq.heappush(self.above_heap, (_order(job), job.id, name))

    def pop(self) -> promptjobs.Job:
        """Remove the first job of the workspaces above the share.

        If these have no candidate, the workspace that uses most has the job.
        """
        self._sort_by_share()
        if self.above_heap:
            name = heapq.heappop(self.above_heap)[2]
        else:
            name = self.below_heap[0][1]
        jobs = self.first[name]
        job = heapq.heappop(jobs)[2]
        if jobs and name in self.above:
            order, job_id, _ = jobs[0]
            heapq.heappush(self.above_heap, (order, job_id, name))
        elif not jobs:
            del self.first[name]
            if name in self.above:
                self.above.remove(name)
            else:
                heapq.heappop(self.below_heap)
        return job

    def _sort_by_share(self) -> None:
        """Bring both heaps up to date, as far as their tops go."""
        share_s = self.total_s / len(self.names)
        while self.below_heap:
            used_s, name = self.below_heap[0]
            if -used_s != self.usage[name]:
                entry = (-self.usage[name], name)
                heapq.heapreplace(self.below_heap, entry)
            elif -used_s > share_s:
                heapq.heappop(self.below_heap)
                self.above.add(name)
                order, job_id, _ = self.first[name][0]
                heapq.heappush(self.above_heap, (order, job_id, name))
            else:
                break
        while self.above_heap:
            _, job_id, name = self.above_heap[0]
            if name in self.above and self.first[name][0][1] == job_id:
                if self.usage[name] > share_s:
                    break
                self.above.remove(name)
                entry = (-self.usage[name], name)
                heapq.heappush(self.below_heap, entry)
            heapq.heappop(self.above_heap)
