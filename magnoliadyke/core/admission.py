"""Which requests are refused unrun, when, and what their callers are told.

A request that can't be answered in time any more only takes engine time
from those that can.  It is refused at once with the time after which a new
one would fare better, and isn't held in the hope of a miracle.
"""

from typing import NamedTuple

from magnoliadyke.core import outcomes

__all__ = [
    'AdmissionSettings',
    'Capacity',
    'ErrorQuantile',
    'RefusalShares',
    'Timing',
    'limit_exceeded',
    'no_endpoint',
    'overloaded',
    'predicted_wait_s',
    'queue_full',
    'retry_after_s',
    'timing',
]

MIN_RETRY_S = 0.5
MAX_RETRY_S = 60.0
#: Retry times are spread by up to this part, lest callers come back as one.
RETRY_SPREAD = 0.5


class AdmissionSettings(NamedTuple):
    """Constants of admission.

    :param reserve_share: least part of its objective that a job's prefill
        must leave on an idle engine for the objective to be in reach
    :param late_share: jobs that are predicted to be late with a greater
        probability are refused
    :param background_priority: from this priority on, the objective for
        the first token doesn't count, only the longest wait does
    :param hopeless_factor: a job that takes longer than its objective even
        on an idle engine may wait this many times its own service time
    :param early_factor: refused on arrival when the wait is predicted at
        this many times what the job can bear
    """

    reserve_share: float = 0.1
    late_share: float = 0.1
    error_step_s: float = 0.01
    background_priority: int = 8
    unreachable_factor: float = 1.0
    early_factor: float = 1.2


DEFAULT_SETTINGS = AdmissionSettings()


class Timing(NamedTuple):
    """When a job has to start.

    :param deadline_s: when the first token is due, or the wait ends
    :param latest_start_s: starting later, it misses that
    :param strict: a late first token is worth nothing
    """

    deadline_s: float
    latest_start_s: float
    strict: bool = False


class Capacity(NamedTuple):
    """Engines that serve a pool now, weighted by their speed."""

    prefill: float
    decode: float


def timing(job, service_s, queue_wait_s, settings=DEFAULT_SETTINGS):
    """Work out how long a job may wait.

    :param service_s: least time to its first token, on an idle engine
    :param queue_wait_s: longest wait of its customer's row
    """
    wait_end_s = job.arrived_s + queue_wait_s
    if job.priority >= settings.background_priority:
        return Timing(wait_end_s, wait_end_s)
    spare_s = job.first_token_s - service_s
    deadline_s = job.arrived_s + job.first_token_s
    if spare_s <= settings.reserve_share * job.first_token_s:
        # No engine is fast enough for its objective: it is served late
        # rather than never, and waits as long as it will take.
        spare_s = settings.unreachable_factor * service_s
        latest_s = min(job.arrived_s + spare_s, wait_end_s)
        return Timing(deadline_s, latest_s)
    latest_s = min(job.arrived_s + spare_s, wait_end_s)
    return Timing(deadline_s, latest_s, strict=True)


class RefusalShares:
    """What part of its late requests each customer had refused.

    The queue alone says little about when to come back: shedding keeps it
    short however great the overload is. Were callers told the length of the
    queue, most would be refused again, and again.
    """

    STEP = 0.03
    MAX_SHARE = 0.95

    def __init__(self):
        self.shares = {}

    def add(self, customer, refused):
        """Account what became of a request that was late in the queue.

        :param refused: whether it was refused
        """
        share = self.shares.get(customer, 0.0)
        target = 1.0 if refused else 0.0
        self.shares[customer] = share + self.STEP * (target - share)

    def attempts(self, customer):
        """Requests that it now takes, on average, to get one taken."""
        share = min(self.shares.get(customer, 0.0), self.MAX_SHARE)
        return 1.0 / (1.0 - share)


class ErrorQuantile:
    """A quantile of how far predictions fall short, followed online.

    :param share: part of the errors that should lie below
    :param step: how far one error moves the quantile
    """

    __slots__ = ('share', 'step', 'value')

    def __init__(self, share, step):
        self.share = share
        self.step = step
        self.value = 0.0

    def add(self, error):
        """Move the quantile towards an error that was observed.

        :param error: in seconds, above 0 when the prediction was too short
        """
        above = error > self.value
        self.value += self.step * (self.share - (0.0 if above else 1.0))


def predicted_wait_s(prefill_s, decode_s, capacity, share):
    """Time until so much queued work ahead has gone to engines.

    :param prefill_s: engine-seconds of the customer's prefill ahead
    :param decode_s: engine-seconds of its decode ahead
    :param share: the customer's part of the capacity
    """
    waits = [0.0]
    if capacity.prefill > 0:
        waits.append(prefill_s / (capacity.prefill * share))
    if capacity.decode > 0:
        waits.append(decode_s / (capacity.decode * share))
    return max(waits)


def retry_after_s(excess_s, rng, attempts=1.0):
    """An honest time to come back.

    :param excess_s: until what is too much will have drained
    :param attempts: that it takes on average to be taken
    """
    spread = 1.0 + RETRY_SPREAD * rng.random()
    wait_s = max(excess_s, MIN_RETRY_S) * attempts
    return min(wait_s * spread, MAX_RETRY_S)


def overloaded(excess_s, rng, attempts=1.0):
    """Refuse a job that can't be served within its objectives.

    :param excess_s: until what is too much will have drained
    :param attempts: that it takes on average to be taken
    """
    return outcomes.NotRun(
        'overloaded',
        'send it again after retry_after_s; if this lasts, raise the '
        "customer's weight or first_token_s",
        retry_after_s(excess_s, rng, attempts),
    )


def queue_full(excess_s, rng):
    """Refuse a job for which its customer's queue has no room.

    :param excess_s: until what is too much will have drained
    """
    return outcomes.NotRun(
        'queue_full',
        "send it again after retry_after_s, or raise the customer's "
        'queue_limit',
        retry_after_s(excess_s, rng),
    )


def limit_exceeded(exceeded):
    """Refuse a job that would break a limit.

    :param exceeded: :class:`magnoliadyke.core.limits.Exceeded`
    """
    return outcomes.NotRun(
        exceeded.reason,
        "send it again after retry_after_s, or raise the customer's limit",
        exceeded.retry_after_s,
    )


def no_endpoint(excess_s, rng):
    """Refuse a job whose pool has no endpoint that takes work.

    :param excess_s: until one may be back
    """
    return outcomes.NotRun(
        'no_endpoint',
        'send it again after retry_after_s; see `status` for why no '
        'endpoint of the pool takes work',
        retry_after_s(excess_s, rng),
    )
