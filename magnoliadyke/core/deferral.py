"""Prompts that wait for parts which an engine is reading now.

Several prompts of one subject come within the time in which the first of them
is read.  Read by another engine in the meantime, the parts that they share
take its time for nothing; fetched, they are there in a few hundredths of a
second.
"""

import heapq

from magnoliadyke.core import enginepool
from magnoliadyke.core import promptjobs

__all__ = ['Deferral']

#: Tokens that another engine is reading for which a prompt waits: fewer take
#: hardly longer to read again than to fetch.
MIN_SHARED_TOKENS = 1000
#: Part of the time to read them again that it waits at most.
MAX_WAIT_SHARE = 0.5
#: Times that a prompt waits so: what was to be read may fail to come.
MAX_DEFERRALS = 2


class Deferral:
    """Jobs that are in no queue until parts of their prompt are read.

    :ivar moments: when parts should have been read, and whose; a heap
    :ivar jobs: the jobs that wait, and the queue that each goes back to
    """

    def __init__(self, pool: enginepool.EnginePool) -> None:
        self.pool = pool
        self.resume_heap: list[tuple[float, int]] = []
        self.jobs: dict[int, tuple[promptjobs.Job, promptjobs.JobQueue]] = {}

    def __contains__(self, job_id: int) -> bool:
        return job_id in self.jobs

    def try_defer(
        self,
        job: promptjobs.Job,
        option: enginepool.Option,
        queue: promptjobs.JobQueue,
        now_s: float,
    ) -> bool:
        """Have a job wait if it gains by it; returns whether it waits.

        Waits only who is served clearly sooner for it: what a prompt waits
        for is a forecast, and one that waited as long as it would have read
        came late too often.
        """
        cached_tokens = self.pool.caches.cached_prefixes(job.parts).max_tokens
        repeated_tokens = option.tokens - (job.tokens - cached_tokens)
        if (
            repeated_tokens < MIN_SHARED_TOKENS
            or job.deferred >= MAX_DEFERRALS
        ):
            return False
        prefilled_s = self.pool.prefilled_at_s(job.parts, cached_tokens, now_s)
        if prefilled_s is None or prefilled_s <= now_s:
            return False
        begins_s = option.ready_s - option.read_s
        if (
            prefilled_s
            > begins_s + self.pool.prefill_s(repeated_tokens) * MAX_WAIT_SHARE
        ):
            return False
        job.deferred += 1
        self.hold(job, queue, prefilled_s)
        return True

    def hold(
        self, job: promptjobs.Job, queue: promptjobs.JobQueue, until_s: float
    ) -> None:
        """Keep a job out of its queue until a moment."""
        heapq.heappush(self.resume_heap, (until_s, job.id))
        self.jobs[job.id] = (job, queue)

    def resume(self, now_s: float) -> None:
        """Queue those again whose parts should have been read by now."""
        while self.resume_heap and self.resume_heap[0][0] <= now_s:
            _, job_id = heapq.heappop(self.resume_heap)
            job, queue = self.jobs.pop(job_id, (None, None))
            if job is not None:
                queue.put(job)

    def resumes_s(self) -> float | None:
        """When :meth:`resume` has something to do next."""
        return self.resume_heap[0][0] if self.resume_heap else None

    def pop(self, job_id: int) -> None:
        """A job waits no longer."""
        self.jobs.pop(job_id, None)

    def pop_all(self) -> list[promptjobs.Job]:
        """No job waits any longer; returns those that did."""
        waiting = [job for job, _ in self.jobs.values()]
        self.jobs.clear()
        return waiting
