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
LEAST_TOKENS = 1000
#: Part of the time to read them again that it waits at most.
SHARE = 0.5
#: Times that a prompt waits so: what was to be read may fail to come.
MOST_TIMES = 2


class Deferral:
    """Jobs that are in no queue until parts of their prompt are read.

    :ivar moments: when parts should have been read, and whose; a heap
    :ivar jobs: the jobs that wait, and the queue that each goes back to
    """

    def __init__(self, pool: enginepool.EnginePool) -> None:
        self.pool = pool
        self.moments: list[tuple[float, int]] = []
        self.jobs: dict[int, tuple[promptjobs.Job, promptjobs.JobQueue]] = {}

    def __contains__(self, job_id: int) -> bool:
        return job_id in self.jobs

    def put(
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
        kept_tokens = self.pool.caches.kept(job.parts).most_tokens
        again = option.tokens - (job.tokens - kept_tokens)
        if again < LEAST_TOKENS or job.deferred >= MOST_TIMES:
            return False
        coming_s = self.pool.coming_s(job.parts, kept_tokens, now_s)
        if coming_s is None or coming_s <= now_s:
            return False
        begins_s = option.ready_s - option.read_s
        if coming_s > begins_s + self.pool.saved_s(again) * SHARE:
            return False
        job.deferred += 1
        self.hold(job, queue, coming_s)
        return True

    def hold(
        self, job: promptjobs.Job, queue: promptjobs.JobQueue, until_s: float
    ) -> None:
        """Keep a job out of its queue until a moment."""
        heapq.heappush(self.moments, (until_s, job.id))
        self.jobs[job.id] = (job, queue)

    def resume(self, now_s: float) -> None:
        """Queue those again whose parts should have been read by now."""
        while self.moments and self.moments[0][0] <= now_s:
            _, job_id = heapq.heappop(self.moments)
            job, queue = self.jobs.pop(job_id, (None, None))
            if job is not None:
                queue.put(job)

    def resumes_s(self) -> float | None:
        """When :meth:`resume` has something to do next."""
        return self.moments[0][0] if self.moments else None

    def take(self, job_id: int) -> None:
        """A job waits no longer."""
        self.jobs.pop(job_id, None)

    def take_all(self) -> list[promptjobs.Job]:
        """No job waits any longer; returns those that did."""
        waiting = [job for job, _ in self.jobs.values()]
        self.jobs.clear()
        return waiting
