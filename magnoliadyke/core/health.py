"""Endpoint health: states, outlier ejection and probation after a return."""

from typing import NamedTuple

__all__ = [
    'OUT_STATES',
    'UP',
    'EndpointHealth',
    'HealthSettings',
    'can_eject',
]

UP = 'up'
LEAVING = 'leaving'
LEFT = 'left'
CRASHED = 'crashed'
CHANGING = 'changing'
OUT_STATES = frozenset({LEAVING, LEFT, CRASHED, CHANGING})
#: States from which an endpoint returns on probation, since its process may
#: have been restarted.
PROBATION_STATES = frozenset({LEAVING, LEFT, CRASHED})


class HealthSettings(NamedTuple):
    """Constants of ejection and probation.

    :param failures: consecutive failures that eject an endpoint
    :param first_ejection_s: duration of the first ejection, in seconds
    :param max_ejection_s: maximum duration, in seconds; each ejection lasts
        twice as long as the one before
    :param max_ejected_share: share of a pool that may be ejected at once
    :param probation_successes: successes that end probation
    """

    failures: int = 3
    first_ejection_s: float = 5.0
    max_ejection_s: float = 60.0
    max_ejected_share: float = 0.34
    probation_successes: int = 1


DEFAULT_SETTINGS = HealthSettings()


class EndpointHealth:
    """Health of one endpoint.

    Its state has three sources: the probes and the host list (``observed``),
    the endpoint's own load reports (``reported``) and the operators' table
    (``table_state``).  The endpoint is out if any of them says so, since each
    may lag behind the others.

    :ivar probation_left: successes until the endpoint may run more than one
        job of this node at a time
    """

    __slots__ = (
        'ejected_until_s',
        'ejections',
        'failures',
        'observed',
        'observed_s',
        'probation_left',
        'reported',
        'settings',
        'table_state',
    )

    def __init__(self, settings=DEFAULT_SETTINGS):
        self.settings = settings
        self.observed = UP
        self.observed_s = float('-inf')
        self.reported = UP
        self.table_state = UP
        self.failures = 0
        self.ejections = 0
        self.ejected_until_s = float('-inf')
        self.probation_left = 0

    def record_observation(self, state, now_s):
        """Record a state from a probe or the host list.

        :returns: whether the endpoint returned and starts probation
        """
        returned = state == UP and self.observed in PROBATION_STATES
        if returned:
            # The host list lags and may name a host that has just crashed,
            # so the endpoint gets a single job before any others.
            self.probation_left = self.settings.probation_successes
        self.observed = state
        self.observed_s = now_s
        return returned

    def record_report(self, state, at_s):
        """Record the state in the endpoint's own load report.

        :param at_s: when the endpoint made the report
        """
        if at_s < self.observed_s and state == UP:
            # The report is older than the observed state, so it is no
            # evidence that the endpoint has returned.
            return
        if state == UP and self.reported in PROBATION_STATES:
            self.probation_left = self.settings.probation_successes
        self.reported = state

    def record_success(self):
        """Record a success; resets the counts of failures and ejections."""
        self.failures = 0
        self.ejections = 0
        self.probation_left = max(0, self.probation_left - 1)

    def record_failure(self):
        """Record a failure.

        :returns: whether the endpoint should be ejected
        """
        self.failures += 1
        return self.failures >= self.settings.failures

    def eject(self, now_s):
        """Eject the endpoint, each time for twice as long, up to a limit."""
        length_s = self.settings.first_ejection_s * 2**self.ejections
        length_s = min(length_s, self.settings.max_ejection_s)
        self.ejections += 1
        self.failures = 0
        self.ejected_until_s = now_s + length_s
        self.probation_left = self.settings.probation_successes

    def is_out(self):
        """Whether the observed, reported or table state excludes new work."""
        return (
            self.observed in OUT_STATES
            or self.reported in OUT_STATES
            or self.table_state in OUT_STATES
        )

    def takes_work(self, now_s, in_flight):
        """Whether the endpoint may be given a job.

        :param in_flight: jobs of this node in flight at the endpoint
        """
        if self.is_out() or now_s < self.ejected_until_s:
            return False
        return in_flight == 0 or self.probation_left == 0


def can_eject(healths, now_s, settings=DEFAULT_SETTINGS):
    """Whether one more endpoint of a pool may be ejected.

    When most of a pool fails, the endpoints are hardly the cause.  Ejecting
    each failing endpoint would overload the others, one after another.

    :param healths: health of each endpoint of the pool
    """
    present = [health for health in healths if not health.is_out()]
    ejected = sum(now_s < health.ejected_until_s for health in present)
    return ejected + 1 <= settings.max_ejected_share * len(present)
