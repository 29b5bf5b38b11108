"""Refuses jobs, with the time after which their callers may retry."""

from typing import Any

from magnoliadyke.core import promptjobs
from magnoliadyke.core import returns

__all__ = ['NO_ENGINE_REASON', 'NO_ENGINE_S', 'Refusals']

#: Reason of a refusal when there is no decode engine.
NO_ENGINE_REASON = 'no engine answers'
#: Lower bound of the expected wait from which a retry time is drawn, in
#: seconds.
MIN_RETRY_S = 0.1
#: Longest retry time as a share of the time left until the deadline.
MAX_RETRY_SHARE = 1 / 3
#: Jitter of the retry time: its lower bound and its range, in shares of the
#: expected wait.  Without jitter the retries would arrive as a burst.
MIN_SPREAD = 0.75
SPREAD = 0.5
#: Jitter of a scheduled return time, as a share of it; the times themselves
#: are spread.
SCHEDULE_JITTER = 0.1
#: Expected wait when no engine can prefill or decode at all, in seconds.
NO_ENGINE_S = 1.0
#: Time from the loss of the last decode engine to the order by which another
#: engine changes its stage, in seconds: the stage plan is evaluated twice a
#: second, and its calls to the engine and the store take some hundredths of a
#: second.
STAGE_ORDER_S = 0.6


class Refusals:
    """Refuses jobs and computes their retry times.

    :param stage_change_s: time for which an engine is unavailable while it
        changes its stage, in seconds
    :param rng: source of randomness, with ``random()``
    :ivar returns: scheduled return times of refused callers
    :ivar outage_since_s: since when there is no decode engine; None while
        there is one
    """

    def __init__(self, stage_change_s: float, rng: Any) -> None:
        self.stage_change_s = stage_change_s
        self.rng = rng
        self.returns = returns.Returns()
        self.outage_since_s: float | None = None

    def refuse(
        self, job: promptjobs.Job, now_s: float, wait_s: float, reason: str
    ) -> promptjobs.Refused:
        """Refuse a job with a retry time around the expected wait.

        :param wait_s: expected time until an engine has capacity, in seconds
        :param reason: why the job is refused
        """
        left_s = max(0.0, job.deadline_s - now_s)
        spread = MIN_SPREAD + SPREAD * self.rng.random()
        after_s = max(MIN_RETRY_S, wait_s) * spread
        times = promptjobs.RefusalTimes(wait_s, job.need_s, left_s)
        return promptjobs.Refused(
            job.id, min(after_s, left_s * MAX_RETRY_SHARE), reason, times
        )

    def refuse_until_scheduled(
        self,
        job: promptjobs.Job,
        now_s: float,
        ahead_s: float,
        took_s: float,
        reason: str,
    ) -> promptjobs.Refused:
        """Refuse a job for which the prefill engines have no room in time.

        Its caller is told to come back when the work ahead of it is done,
        that of the requests refused before it included.

        :param ahead_s: time until the waiting prompts are prefilled
        :param took_s: time in which the engines prefill the job's prompt
        """
        left_s = max(0.0, job.deadline_s - now_s)
        longest_s = left_s * MAX_RETRY_SHARE
        times = promptjobs.RefusalTimes(ahead_s, job.need_s, left_s)
        after_s = self.returns.schedule(
            now_s, max(MIN_RETRY_S, ahead_s), took_s, longest_s
        )
        if after_s is None:
            # All who get the longest time would else come back as they came.
            spread = (1 - MIN_SPREAD) * self.rng.random()
            after_s = longest_s * (1 - spread)
        else:
            after_s *= 1 + SCHEDULE_JITTER * self.rng.random()
        after_s = min(after_s, longest_s)
        return promptjobs.Refused(job.id, after_s, reason, times)

    def record_availability(self, available: bool, now_s: float) -> None:
        """Record whether there is any decode engine."""
        if available:
            self.outage_since_s = None
        elif self.outage_since_s is None:
            self.outage_since_s = now_s

    def refuse_without_decode_engine(
        self, job: promptjobs.Job, now_s: float
    ) -> promptjobs.Refused:
        """Refuse a job because there is no decode engine.

        The retry time covers the stage change of a prefill engine.  If that
        change should be over already, the retry time is based on
        :data:`NO_ENGINE_S`.  A job that is queued instead would use up the
        time left for a retry.
        """
        wait_s = NO_ENGINE_S
        if self.outage_since_s is not None:
            over_s = self.outage_since_s + STAGE_ORDER_S + self.stage_change_s
            wait_s = max(wait_s, (over_s - now_s) / MIN_SPREAD)
        return self.refuse(job, now_s, wait_s, NO_ENGINE_REASON)
