"""Admission control: start deadlines, refusals and their retry-after."""

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
#: Random increase of a retry-after by up to this share, so that refused
#: callers do not all retry at the same time.
RETRY_SPREAD = 0.5


class AdmissionSettings(NamedTuple):
    """Constants of admission control.

    :param reserve_share: an objective counts as reachable if service on
        idle engines leaves more than this share of it
    :param late_share: jobs whose first token is predicted to be late with a
        greater probability are refused
    :param error_step_s: maximum change of the quantile of the errors by one
        prediction error, in seconds
    :param background_priority: from this priority on, the objective for
        the first token does not apply, only the queue timeout does
    :param unreachable_factor: a job whose objective is out of reach even on
        an idle engine may wait this many times its own service time
    :param early_factor: a job is refused on arrival if its predicted wait
        exceeds this many times the wait that its latest start allows
    """

    reserve_share: float = 0.1
    late_share: float = 0.1
    error_step_s: float = 0.01
    background_priority: int = 8
    unreachable_factor: float = 1.0
    early_factor: float = 1.2


DEFAULT_SETTINGS = AdmissionSettings()


class Timing(NamedTuple):
    """Deadlines of a job, in monotonic seconds.

    A job that cannot meet its deadline any more is refused at once with a
    retry-after: it would only take engine time from jobs that can.

    :param deadline_s: when the first token is due; for background jobs and
        suspect jobs, when the queue timeout ends
    :param latest_start_s: the job is refused if not dispatched by then
    :param strict: whether the job is refused if its first token is
        predicted after ``deadline_s``
    """

    deadline_s: float
    latest_start_s: float
    strict: bool = False


class Capacity(NamedTuple):
    """Capacity of a pool that this node may use, in engines."""

    prefill: float
    decode: float


def timing(job, service_s, queue_wait_s, settings=DEFAULT_SETTINGS):
    """Compute the deadlines of a job.

    :param service_s: predicted time to its first token on idle engines, in
        seconds
    :param queue_wait_s: queue timeout of its customer, in seconds
    :returns: :class:`Timing`
    """
    wait_end_s = job.arrived_s + queue_wait_s
    if job.priority >= settings.background_priority:
        return Timing(wait_end_s, wait_end_s)
    spare_s = job.first_token_s - service_s
    deadline_s = job.arrived_s + job.first_token_s
    if spare_s <= settings.reserve_share * job.first_token_s:
        # No engine is fast enough for the objective: the job is served
        # late rather than refused, and may wait in proportion to its own
        # service time.
        spare_s = settings.unreachable_factor * service_s
        latest_s = min(job.arrived_s + spare_s, wait_end_s)
        return Timing(deadline_s, latest_s)
    latest_s = min(job.arrived_s + spare_s, wait_end_s)
    return Timing(deadline_s, latest_s, strict=True)


class RefusalShares:
    """Moving share of refused requests, by customer.

    A retry-after from the queue length alone would be too short: shedding
    keeps the queue short at any overload, and most callers would be refused
    again and again. The share gives the expected number of attempts.
    """

    STEP = 0.03
    MAX_SHARE = 0.95

    def __init__(self):
        self.shares = {}

    def add(self, customer, refused):
        """Record that a request was refused as overload or dispatched.

        :param refused: whether the request was refused
        """
        share = self.shares.get(customer, 0.0)
        target = 1.0 if refused else 0.0
        self.shares[customer] = share + self.STEP * (target - share)

    def attempts(self, customer):
        """Expected number of requests until one of them is dispatched."""
        share = min(self.shares.get(customer, 0.0), self.MAX_SHARE)
        return 1.0 / (1.0 - share)


class ErrorQuantile:
    """Online estimate of a quantile of the prediction errors.

    :param share: share of the errors that should lie below the quantile
    :param step: maximum change of the estimate by one error, in seconds
    """

    __slots__ = ('share', 'step', 'value')

    def __init__(self, share, step):
        self.share = share
        self.step = step
        self.value = 0.0

    def add(self, error):
        """Update the quantile estimate with an observed prediction error.

        :param error: in seconds, above 0 when the prediction was too early
        """
        above = error > self.value
        self.value += self.step * (self.share - (0.0 if above else 1.0))


def predicted_wait_s(prefill_s, decode_s, capacity, share):
    """Predict the time until the queued work ahead of a job is dispatched.

    :param prefill_s: engine-seconds of prefill that the customer has queued
        ahead of the job
    :param decode_s: engine-seconds of decode, likewise
    :param capacity: :class:`Capacity`
    :param share: the customer's share of the capacity
    """
    waits = [0.0]
    if capacity.prefill > 0:
        waits.append(prefill_s / (capacity.prefill * share))
    if capacity.decode > 0:
        waits.append(decode_s / (capacity.decode * share))
    return max(waits)


def retry_after_s(excess_s, rng, attempts=1.0):
    """Compute the retry-after of a refusal, in seconds.

    :param excess_s: time in which the excess queue is served, in seconds
    :param attempts: expected number of attempts until one is accepted
    """
    spread = 1.0 + RETRY_SPREAD * rng.random()
    wait_s = max(excess_s, MIN_RETRY_S) * attempts
    return min(wait_s * spread, MAX_RETRY_S)


def overloaded(excess_s, rng, attempts=1.0):
    """Return the outcome of a job that can't meet its objectives.

    :param excess_s: time in which the excess queue is served, in seconds
    :param attempts: expected number of attempts until one is accepted
    """
    return outcomes.NotRun(
        'overloaded',
        'send it again after retry_after_s; if this lasts, raise the '
        "customer's weight or first_token_s",
        retry_after_s(excess_s, rng, attempts),
    )


def queue_full(excess_s, rng):
    """Return the outcome of a job over its customer's queue limit.

    :param excess_s: time in which the excess queue is served, in seconds
    """
    return outcomes.NotRun(
        'queue_full',
        "send it again after retry_after_s, or raise the customer's "
        'queue_limit',
        retry_after_s(excess_s, rng),
    )


def limit_exceeded(exceeded):
    """Return the outcome of a job that exceeds a rate limit.

    :param exceeded: :class:`magnoliadyke.core.limits.Exceeded`
    """
    return outcomes.NotRun(
        exceeded.reason,
        "send it again after retry_after_s, or raise the customer's limit",
        exceeded.retry_after_s,
    )


def no_endpoint(excess_s, rng):
    """Return the outcome of a job whose pool has no available endpoint.

    :param excess_s: time after which an endpoint may be available again, in
        seconds
    """
    return outcomes.NotRun(
        'no_endpoint',
        'send it again after retry_after_s; see `status` for why no '
        'endpoint of the pool accepts requests',
        retry_after_s(excess_s, rng),
    )
