"""Long answers: which engines give them, and for how long they hold a slot.

Short answers take a few steps and are over before another request wants
their slot; only the long ones have to be accounted.

The load that this answers: within seconds long answers become so many that
they fill every slot, until more engines answer.  Left to it, none of the
prompts that are read elsewhere could begin, though each of them needs a slot
for a few hundredths of a second only; engines that read would idle.  So some
slots are kept for short answers, and long ones wait for the others.
"""

import dataclasses
import heapq

from magnoliadyke.core import decodeengines
from magnoliadyke.core import enginemodel
from magnoliadyke.core import enginepool
from magnoliadyke.core import promptjobs

__all__ = ['LongAnswers']

#: Slots counted as taken no longer than this without word of the end, in
#: seconds.
RUN_LOST_S = 20.0
#: Seconds for each token of an answer before any was measured.
PRIOR_OUTPUT_S = 0.02
#: Weight of a new answer in that figure.
OUTPUT_WEIGHT = 0.1
#: Expected time until a slot is free when nobody can say, in seconds; a long
#: answer takes about a second or two.
UNKNOWN_SLOT_S = 1.0


@dataclasses.dataclass(slots=True)
class _Run:
    """A long answer under way.

    :ivar output_tokens: 0 if it is not known when it began
    """

    engine: str
    begun_s: float
    output_tokens: int


class LongAnswers:
    """The long answers under way.

    :param long_run_s: answers expected to take longer are long
    :ivar output_s: seconds for each token of an answer
    :ivar waiting: jobs that wait for a slot, in the order of their coming
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
        """Whether an answer of so many tokens holds a slot."""
        return output_tokens * self.output_s > self.long_run_s

    def hold(
        self, job_id: int, engine_id: str, output_tokens: int, now_s: float
    ) -> None:
        """An answer begins; 0 tokens if it began some time ago."""
        if job_id in self.runs:
            return
        self.pool.begin_run(job_id, engine_id, now_s)
        self.runs[job_id] = _Run(engine_id, now_s, output_tokens)
        heapq.heappush(self.expiry_heap, (now_s + RUN_LOST_S, job_id))

    def ended(self, job_id: int, now_s: float) -> None:
        """An answer is complete, or was broken off."""
        run = self.release(job_id, now_s)
        if run is not None and run.output_tokens:
            took_s = (now_s - run.begun_s) / run.output_tokens
            self.output_s += OUTPUT_WEIGHT * (took_s - self.output_s)

    def release(self, job_id: int, now_s: float) -> _Run | None:
        """An answer will not be given there; its slot is free."""
        run = self.runs.pop(job_id, None)
        if run is None:
            return None
        self.pool.end_run(job_id, run.engine, now_s)
        return run

    def available_engine(
        self, avoid: tuple[str, ...], now_s: float
    ) -> enginemodel.EngineModel | None:
        """An engine with a slot for one more, None if there is none."""
        engine = self.pool.decode_engines.for_short_prompt(avoid, now_s)
        if engine is None or not decodeengines.has_long_slot(engine):
            return None
        return engine

    def wait_s(self, now_s: float) -> float:
        """Time until one more that waits is expected to get a slot."""
        ends_s = sorted(
            run.begun_s + run.output_tokens * self.output_s
            for run in self.runs.values()
            if run.output_tokens
        )
        if len(self.waiting) >= len(ends_s):
            return UNKNOWN_SLOT_S
        return max(0.0, ends_s[len(self.waiting)] - now_s)

    def expire(self, now_s: float) -> None:
        """Give up answers of which no end was reported."""
        while self.expiry_heap and self.expiry_heap[0][0] <= now_s:
            _, job_id = heapq.heappop(self.expiry_heap)
            self.release(job_id, now_s)
