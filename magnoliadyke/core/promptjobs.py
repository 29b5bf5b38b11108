"""Requests that need an engine, and what was decided of them."""

import collections
import dataclasses
from typing import NamedTuple

from magnoliadyke.core import promptcache

__all__ = ['Decision', 'Job', 'JobQueue', 'Placed', 'Refused']


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
    came_s: float = 0.0

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

    def take(self, job_id: int) -> Job | None:
        job = self.jobs.pop(job_id, None)
        if job is not None:
            self.need_s = max(0.0, self.need_s - job.need_s)
        return job

    def first(self) -> Job:
        return next(iter(self.jobs.values()))
