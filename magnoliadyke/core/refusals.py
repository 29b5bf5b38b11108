"""What callers are told whom no engine serves, and when to come back."""

from typing import Any

from magnoliadyke.core import promptjobs

__all__ = ['NO_ENGINE_S', 'Refusals']

#: Shortest time to tell a refused caller to stay away, in seconds.
MIN_RETRY_S = 0.1
#: Largest part of its remaining time that a caller can be asked to wait.
MAX_RETRY_SHARE = 1 / 3
#: Refused callers return spread over this range, in shares of their wait: all
#: at once they would be a burst of their own.
MIN_SPREAD = 0.75
SPREAD = 0.5
#: Wait told when no engine can read or answer at all, in seconds.
NO_ENGINE_S = 1.0
#: From when no engine answers to the order that has another one answer, in
#: seconds: the plan looks twice a second, and its calls to the engine and the
#: store take some hundredths.
STAGE_ORDER_S = 0.6


class Refusals:
    """Refuses jobs.

    :param stage_change_s: how long a change of stage takes an engine away
    :param rng: source of randomness, with ``random()``
    :ivar unanswered_s: since when no engine answers; None while one does
    """

    def __init__(self, stage_change_s: float, rng: Any) -> None:
        self.stage_change_s = stage_change_s
        self.rng = rng
        self.outage_since_s: float | None = None

    def refuse(
        self, job: promptjobs.Job, now_s: float, wait_s: float, reason: str
    ) -> promptjobs.Refused:
        """Tell when there will be room, spread over half of that time."""
        left_s = max(0.0, job.deadline_s - now_s)
        spread = MIN_SPREAD + SPREAD * self.rng.random()
        after_s = max(MIN_RETRY_S, wait_s) * spread
        return promptjobs.Refused(
            job.id, min(after_s, left_s * MAX_RETRY_SHARE), reason
        )

    def record_availability(self, available: bool, now_s: float) -> None:
        """Take whether any engine answers."""
        if available:
            self.outage_since_s = None
        elif self.outage_since_s is None:
            self.outage_since_s = now_s

    def refuse_unanswered(
        self, job: promptjobs.Job, now_s: float
    ) -> promptjobs.Refused:
        """No engine answers; tell when there should be one that does.

        By then one of the engines that read has changed its stage; nobody
        knows how long it takes where that is over.  Held in the queue instead,
        callers would lose the time in which they could come back.
        """
        wait_s = NO_ENGINE_S
        if self.outage_since_s is not None:
            over_s = self.outage_since_s + STAGE_ORDER_S + self.stage_change_s
            wait_s = max(wait_s, (over_s - now_s) / MIN_SPREAD)
        return self.refuse(job, now_s, wait_s, 'no engine answers')
