"""Accounts for long answers and the decode slots that they hold."""

import dataclasses
import heapq

from magnoliadyke.core import decodeengines
from magnoliadyke.core import enginemodel
from magnoliadyke.core import enginepool
from magnoliadyke.core import promptjobs

__all__ = ['LongAnswers']

#: Time after which a slot counts as free if the end of the answer was not
#: reported, in seconds.
RUN_LOST_S = 20.0
#: Prior decode time per token, in seconds.
PRIOR_OUTPUT_S = 0.02
#: Weight of a new answer in the average decode time per token.
OUTPUT_WEIGHT = 0.1
#: Expected wait for a slot, in seconds, when there are more queued jobs than
#: answers with an expected end; a long answer takes a second or two.
UNKNOWN_SLOT_S = 1.0


@dataclasses.dataclass(slots=True)
class _Run:
    """A long answer in progress.

    :ivar output_tokens: expected length; 0 if the start time is unknown
    """

    engine: str
    started_s: float
    output_tokens: int


class LongAnswers:
    """The long answers in progress.

    A short answer takes a few decode steps and releases its slot before
    another request needs it, so only long answers are tracked.

    Under a burst, long answers can fill every slot within seconds, until more
    engines change to the decode stage.  Then no prompt from a prefill engine
    could start, although each needs a slot for only a few hundredths of a
    second, and the prefill engines would idle.  So some slots are reserved
    for short answers, and long answers queue for the others.

    :param long_run_s: duration above which an answer counts as long, in
        seconds
    :ivar expiry_heap: when to release the slot of each answer whose end was
        not reported, with its job
    :ivar output_s: average decode time per token, in seconds
    :ivar waiting: queue of the jobs that wait for a slot
    """

    def __init__(self, pool: enginepool.EnginePool, long_run_s: float) -> None:
        self.pool = pool
        self.long_run_s = long_run_s
        self.runs: dict[int, _Run] = {}
        self.expiry_heap: list[tuple[float, int]] = []
        self.output_s = PRIOR_OUTPUT_S
        self.waiting = promptjobs.JobQueue()

    def __len__(self) -> int:
        return len(self.runs)

    def is_long(self, output_tokens: int) -> bool:
        """Whether an answer of this many tokens holds a slot."""
        return output_tokens * self.output_s > self.long_run_s

    def reserve_slot(
        self, job_id: int, engine_id: str, output_tokens: int, now_s: float
    ) -> None:
        """Account for the slot of an answer that starts.

        :param output_tokens: expected length; 0 if the answer started at an
            unknown time before
        """
        if job_id in self.runs:
            return
        self.pool.start_run(job_id, engine_id, now_s)
        self.runs[job_id] = _Run(engine_id, now_s, output_tokens)
        heapq.heappush(self.expiry_heap, (now_s + RUN_LOST_S, job_id))

    def record_end(self, job_id: int, now_s: float) -> None:
        """Release the slot of an answer that is complete or was aborted."""
        run = self.release(job_id, now_s)
        if run is not None and run.output_tokens:
            took_s = (now_s - run.started_s) / run.output_tokens
            self.output_s += OUTPUT_WEIGHT * (took_s - self.output_s)

    def release(self, job_id: int, now_s: float) -> _Run | None:
        """Release the slot of an answer without updating the estimates.

        :returns: the answer, or None if it was not tracked
        """
        run = self.runs.pop(job_id, None)
        if run is None:
            return None
        self.pool.end_run(job_id, run.engine, now_s)
        return run

    def available_engine(
        self,
        avoid: tuple[str, ...],
        now_s: float,
        pause_s: float = 0.0,
    ) -> enginemodel.EngineModel | None:
        """Return an engine with a free slot for a long answer, if any.

        :param avoid: ids of engines to use only if there are no others
        :param pause_s: longest pause between two events for which the answer
            is on time, in seconds; 0 if any is
        """
        engine = self.pool.decode_engines.choose_for_short_prompt(
            avoid, now_s, pause_s=pause_s
        )
        if engine is None or not decodeengines.has_long_slot(engine):
            return None
        return engine

    def wait_s(self, now_s: float) -> float:
        """Return the expected wait of a new job in the queue for a slot."""
        ends_s = sorted(
            run.started_s + run.output_tokens * self.output_s
            for run in self.runs.values()
            if run.output_tokens
        )
        if len(self.waiting) >= len(ends_s):
            return UNKNOWN_SLOT_S
        return max(0.0, ends_s[len(self.waiting)] - now_s)

    def expire(self, now_s: float) -> None:
        """Release the slots of answers whose end was not reported in time."""
        while self.expiry_heap and self.expiry_heap[0][0] <= now_s:
            _, job_id = heapq.heappop(self.expiry_heap)
            self.release(job_id, now_s)
