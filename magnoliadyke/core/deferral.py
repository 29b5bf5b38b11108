"""Defers prompts while another engine prefills a prefix that they share."""

import heapq

from magnoliadyke.core import enginepool
from magnoliadyke.core import promptjobs

__all__ = ['Deferral']

#: Minimum of shared tokens for which a prompt is deferred: with fewer, a
#: second prefill takes hardly longer than the fetch.
MIN_SHARED_TOKENS = 1000
#: Longest deferral as a share of the time to prefill the shared tokens again.
MAX_WAIT_SHARE = 0.5
#: Number of times that a prompt may be deferred: the prefill that it waits
#: for may fail.
MAX_DEFERRALS = 2


class Deferral:
    """Jobs that are held out of their queue until a shared prefix is ready.

    Several prompts with a shared prefix often arrive during the prefill of
    the first of them.  A second engine that prefills the same prefix wastes
    its time, while a fetch of the prefilled prefix takes a few hundredths of
    a second.

    :ivar resume_heap: expected end of the prefill and the waiting job
    :ivar jobs: the deferred jobs, and the queue that each returns to, by job
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
        """Defer a job if the deferral is expected to serve it clearly sooner.

        The end of the awaited prefill is an estimate: jobs that were
        deferred for as long as a second prefill takes would be late too
        often.

        :param option: the placement that the job would get now
        :param queue: the queue that the job returns to
        :returns: whether the job is deferred
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
        begins_s = option.ready_s - option.prefill_s
        if (
            prefilled_s
            > begins_s + self.pool.prefill_s(repeated_tokens) * MAX_WAIT_SHARE
        ):
            return False
        job.deferred += 1
        self.defer_until(job, queue, prefilled_s)
        return True

    def defer_until(
        self, job: promptjobs.Job, queue: promptjobs.JobQueue, until_s: float
    ) -> None:
        """Keep a job out of its queue until the given moment."""
        heapq.heappush(self.resume_heap, (until_s, job.id))
        self.jobs[job.id] = (job, queue)

    def resume(self, now_s: float) -> None:
        """Return the jobs to their queues whose deferral has ended."""
        while self.resume_heap and self.resume_heap[0][0] <= now_s:
            _, job_id = heapq.heappop(self.resume_heap)
            job, queue = self.jobs.pop(job_id, (None, None))
            if job is not None:
                queue.put(job)

    def next_resume_s(self) -> float | None:
        """Return when the next deferral ends, None if no job is deferred."""
        return self.resume_heap[0][0] if self.resume_heap else None

    def pop(self, job_id: int) -> None:
        """Remove a job from the deferred jobs, if it is one."""
        self.jobs.pop(job_id, None)

    def pop_all(self) -> list[promptjobs.Job]:
        """Remove and return all deferred jobs."""
        waiting = [job for job, _ in self.jobs.values()]
        self.jobs.clear()
        return waiting
