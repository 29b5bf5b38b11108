"""Requests that need an engine, and what was decided of them."""

import collections
import dataclasses
import heapq
from typing import NamedTuple

from magnoliadyke.core import promptcache

__all__ = ['Decision', 'Job', 'JobQueue', 'Placed', 'Refused', 'SlackQueue']


@dataclasses.dataclass(slots=True)
class Job:
    """A request that needs an engine.

    :param objective_s: moment at which its first event is due
    :param deadline_s: moment at which its caller gives up
    :param returning: it has been refused before
    :param resumed: part of its answer was given by another engine
    :param avoid: engines that failed it
    :ivar tokens: of the whole prompt
    :ivar came_s: when it was submitted
    :ivar deferred: times that it has waited for parts that are being read
    :ivar latest_s: when an engine has to begin for it to be in time
    :ivar need_s: reading time, where most of the prompt is kept
    """

    id: int
    parts: tuple[promptcache.PromptPart, ...]
    output_tokens: int
    objective_s: float
    deadline_s: float
    failure_domain: str
    returning: bool = False
    resumed: bool = False
    avoid: tuple[str, ...] = ()
    tokens: int = 0
    need_s: float = 0.0
    submitted_s: float = 0.0
    latest_start_s: float = 0.0
    deferred: int = 0

    def __post_init__(self) -> None:
        self.tokens = promptcache.total_tokens(self.parts)


class Placed(NamedTuple):
    """Where a job goes.

    :param prefill: engine that reads the prompt; None if ``run`` does
    :param run: engine that answers
    :param fetch_from: address of an engine that keeps more of the prompt
        than the reader does
    :param read_tokens: tokens expected to be read
    :param expected_s: time until they are read
    :param tell_end: the end of the answer is to be reported
    """

    job: int
    prefill: str | None
    run: str
    fetch_from: str | None
    read_tokens: int
    expected_s: float
    tell_end: bool


class Refused(NamedTuple):
    """The job is not placed; come back after so many seconds."""

    job: int
    retry_after_s: float
    reason: str


Decision = Placed | Refused


class JobQueue:
    """Jobs in the order in which they came, and their reading time."""

    def __init__(self) -> None:
        self.jobs: collections.OrderedDict[int, Job] = (
            collections.OrderedDict()
        )
        self.need_s = 0.0

    def __len__(self) -> int:
        return len(self.jobs)

    def put(self, job: Job) -> None:
        self.jobs[job.id] = job
        self.need_s += job.need_s

    def pop(self, job_id: int) -> Job | None:
        job = self.jobs.pop(job_id, None)
        if job is not None:
            self.need_s = max(0.0, self.need_s - job.need_s)
        return job

    def put_back(self, job: Job) -> None:
        """Put a job that was taken where it was, before all others."""
        self.put(job)
        self.jobs.move_to_end(job.id, last=False)

    def first(self) -> Job:
        return next(iter(self.jobs.values()))


class SlackQueue(JobQueue):
    """Jobs that can still be in time; first who has the least to spare.

    The load that this answers: some requests are due in half the time of
    others and take twice as long.  In the order of their coming they wait
    behind those that have seconds to spare, and come late one and all.
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
        # Its entry is still there unless another job was looked for since.
        if not self.order or self.order[0] != entry:
            heapq.heappush(self.order, entry)

    def first(self) -> Job:
        while self.order[0][1] not in self.jobs:
            heapq.heappop(self.order)
        return self.jobs[self.order[0][1]]

    def in_order(self) -> list[Job]:
        """All of them, first who has the least to spare."""
        return sorted(self.jobs.values(), key=lambda job: job.latest_start_s)

    def need_before_s(self, latest_start_s: float) -> float:
        """Reading time of those that would go before one of this moment."""
        return sum(
            job.need_s
            for job in self.jobs.values()
            if job.latest_start_s <= latest_start_s
        )
