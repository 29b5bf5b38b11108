"""Jobs to place on engines, their queues, and the decisions on them."""

import collections
import dataclasses
import heapq
from typing import NamedTuple

from magnoliadyke.core import promptcache

__all__ = [
    'Decision',
    'Job',
    'JobQueue',
    'Placed',
    'RefusalTimes',
    'Refused',
    'SlackQueue',
]


@dataclasses.dataclass(slots=True)
class Job:
    """A request to place on engines.

    :param objective_s: when the first event is due, in monotonic seconds
    :param deadline_s: when the caller's timeout ends, in monotonic seconds
    :param is_retry: whether the request is a retry after a refusal
    :param resumed: whether another engine generated part of the answer
    :param avoid: ids of engines that failed the job
    :param version: software version at which the answer may go on, None for
        any; set for resumed jobs only
    :param pause_s: longest pause between two events for which the answer is
        on time, in seconds; 0 if any is
    :param backed_up: whether another engine is to keep a backup copy of the
        answer's KV cache
    :ivar tokens: length of the complete prompt, in tokens
    :ivar submitted_s: when the job was submitted
    :ivar deferred: number of times that the job was deferred until another
        prompt's prefill
    :ivar latest_start_s: when the prefill has to start to meet the objective
    :ivar need_s: prefill time at the engine that caches most of the prompt,
        in seconds
    :ivar underserved: whether prompts of its size are placed less often than
        others of its rank
    :param priority: rank of the request, 0 for the most urgent
    :param workspace: name of the workspace, empty without one
    """

    id: int
    parts: tuple[promptcache.PromptPart, ...]
    output_tokens: int
    objective_s: float
    deadline_s: float
    failure_domain: str
    is_retry: bool = False
    resumed: bool = False
    avoid: tuple[str, ...] = ()
    version: str | None = None
    tokens: int = 0
    need_s: float = 0.0
    submitted_s: float = 0.0
    latest_start_s: float = 0.0
    deferred: int = 0
    pause_s: float = 0.0
    backed_up: bool = False
    priority: int = 0
    workspace: str = ''
    underserved: bool = False

    def __post_init__(self) -> None:
        self.tokens = promptcache.total_tokens(self.parts)


class Placed(NamedTuple):
    """The decision to place a job.

    :param prefill_engine: id of the prefill engine; None if
        ``decode_engine`` prefills
    :param decode_engine: id of the engine that generates the answer
    :param fetch_from: address of an engine to fetch cached parts from, if
        any
    :param prefill_tokens: tokens expected to be prefilled
    :param expected_s: expected time until the answer can start, in seconds
    :param report_end: whether the end of the answer has to be reported
    :param backup: id of the engine that keeps the backup copy, None without
        one
    """

    job: int
    prefill_engine: str | None
    decode_engine: str
    fetch_from: str | None
    prefill_tokens: int
    expected_s: float
    report_end: bool
    backup: str | None = None


class RefusalTimes(NamedTuple):
    """The times that decided that a job was refused, in seconds.

    :param wait_s: expected wait until its prefill can start
    :param need_s: expected time of its prefill
    :param left_s: time until its deadline
    """

    wait_s: float
    need_s: float
    left_s: float


class Refused(NamedTuple):
    """The decision to refuse a job, with the time until a retry.

    :param times: the times that decided it; known to the placing host only
    """

    job: int
    retry_after_s: float
    reason: str
    times: RefusalTimes | None = None


Decision = Placed | Refused


class JobQueue:
    """A first-in, first-out queue of jobs.

    :ivar need_s: total prefill time of the jobs, in seconds
    :ivar ranks: number of jobs by rank
    :ivar workspaces: number of jobs by workspace
    """

    def __init__(self) -> None:
        self.jobs: collections.OrderedDict[int, Job] = (
            collections.OrderedDict()
        )
        self.need_s = 0.0
        self.ranks: dict[int, int] = {}
        self.workspaces: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self.jobs)

    def put(self, job: Job) -> None:
        if job.id not in self.jobs:
            _add(self.ranks, job.priority)
            _add(self.workspaces, job.workspace)
        self.jobs[job.id] = job
        self.need_s += job.need_s

    def pop(self, job_id: int) -> Job | None:
        job = self.jobs.pop(job_id, None)
        if job is not None:
            self.need_s = max(0.0, self.need_s - job.need_s)
            _remove(self.ranks, job.priority)
            _remove(self.workspaces, job.workspace)
        return job

    def put_back(self, job: Job) -> None:
        """Return a popped job to the head of the queue."""
        self.put(job)
        self.jobs.move_to_end(job.id, last=False)

    def first(self) -> Job:
        return next(iter(self.jobs.values()))

    def first_of(self, rank: int) -> Job:
        """Return the first job of a rank that has one."""
        return next(job for job in self.jobs.values() if job.priority == rank)


class SlackQueue(JobQueue):
    """A queue of jobs that can be on time, ordered by least slack.

    Some requests have half the time to their objective of others and take
    twice as long.  In first-in, first-out order they would all wait behind
    jobs with seconds of slack and miss their objective.

    :ivar order: heap of the latest start and the id of each job; entries of
        removed jobs are dropped when they reach the top
    """

    def __init__(self) -> None:
        super().__init__()
        self.order: list[tuple[float, int]] = []

    def put(self, job: Job) -> None:
        super().put(job)
        heapq.heappush(self.order, (job.latest_start_s, job.id))

    def put_back(self, job: Job) -> None:
        super().put(job)
        entry = (job.latest_start_s, job.id)
        # The heap entry remains unless first() was called in the meantime.
        if not self.order or self.order[0] != entry:
            heapq.heappush(self.order, entry)

    def first(self) -> Job:
        while self.order[0][1] not in self.jobs:
            heapq.heappop(self.order)
        return self.jobs[self.order[0][1]]

    def has_one_group(self, job: Job) -> bool:
        """Whether all jobs are of a job's rank and workspace."""
        return self.ranks.keys() <= {job.priority} and (
            self.workspaces.keys() <= {job.workspace}
        )

    def first_of(self, rank: int) -> Job:
        return min(
            (job for job in self.jobs.values() if job.priority == rank),
            key=lambda job: (job.latest_start_s, job.id),
        )

    def next_by_rank(self, now_s: float) -> Job:
        """Return the job with the least slack that delays none more urgent.

        A less urgent job does not go before a more urgent one that would
        miss its objective if it started only after the less urgent one.
        """
        job = self.first()
        for rank in sorted(self.ranks):
            if rank >= job.priority:
                break
            urgent = self.first_of(rank)
            if urgent.latest_start_s - now_s < job.need_s:
                return urgent
        return job

    def in_order(self) -> list[Job]:
        """Return all jobs, least slack first."""
        return sorted(self.jobs.values(), key=lambda job: job.latest_start_s)

    def need_before_s(self, latest_start_s: float) -> float:
        """Return the total prefill time of the jobs ahead of a new one.

        :param latest_start_s: latest start of the new job
        """
        return sum(
            job.need_s
            for job in self.jobs.values()
            if job.latest_start_s <= latest_start_s
        )


def _add(counts: dict, key: int | str) -> None:
    counts[key] = counts.get(key, 0) + 1


def _remove(counts: dict, key: int | str) -> None:
    counts[key] -= 1
    if not counts[key]:
        del counts[key]
