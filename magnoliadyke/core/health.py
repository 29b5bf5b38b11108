"""Which endpoints may receive work: states, ejection, proof of return."""

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
#: States from which an endpoint comes back without its past.
PROBATION_STATES = frozenset({LEAVING, LEFT, CRASHED})


class HealthSettings(NamedTuple):
    """Constants of ejection.

    :param failures: failures in a row that eject an endpoint
    :param first_ejection_s: length of the first ejection
    :param most_ejection_s: longest one; each doubles the one before
    :param most_ejected_share: part of a pool that may be ejected at once
    :param proofs: answers in a row that end the trial after a return
    """

    failures: int = 3
    first_ejection_s: float = 5.0
    max_ejection_s: float = 60.0
    max_ejected_share: float = 0.34
    probation_successes: int = 1


DEFAULT_SETTINGS = HealthSettings()


class EndpointHealth:
    """What is known of one endpoint's fitness for work.

    Several sources speak: the shell that probes and reads the host list
    (`observed`), the endpoint's own load reports (`reported`) and the
    operators' table (`tabled`). The first that says it is out wins, since
    each may lag behind the others.
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
        'tabled',
    )

    def __init__(self, settings=DEFAULT_SETTINGS):
        self.settings = settings
        self.observed = UP
        self.observed_s = float('-inf')
        self.reported = UP
        self.tabled = UP
        self.failures = 0
        self.ejections = 0
        self.ejected_until_s = float('-inf')
        self.probation_left = 0

    def record_observation(self, state, now_s):
        """Take a state from the shell.

        :returns: whether the endpoint came back from having lost its past
        """
        returned = state == UP and self.observed in PROBATION_STATES
        if returned:
            # The list that says so lags: it may name a host that just
            # died, so a single job goes first and the rest after it.
            self.probation_left = self.settings.probation_successes
        self.observed = state
        self.observed_s = now_s
        return returned

    def record_report(self, state, at_s):
        """Take the endpoint's own word, true at ``at_s``."""
        if at_s < self.observed_s and state == UP:
            # Older than what was observed since: no reason to come back.
            return
        if state == UP and self.reported in PROBATION_STATES:
            self.probation_left = self.settings.probation_successes
        self.reported = state

    def record_success(self):
        """Account a success: failures and ejections start from none."""
        self.failures = 0
        self.ejections = 0
        self.probation_left = max(0, self.probation_left - 1)

    def record_failure(self):
        """Account a failure.

        :returns: whether the endpoint should be ejected
        """
        self.failures += 1
        return self.failures >= self.settings.failures

    def eject(self, now_s):
        """Take the endpoint out for a while, twice as long each time."""
        length_s = self.settings.first_ejection_s * 2**self.ejections
        length_s = min(length_s, self.settings.max_ejection_s)
        self.ejections += 1
        self.failures = 0
        self.ejected_until_s = now_s + length_s
        self.probation_left = self.settings.probation_successes

    def is_out(self):
        """Whether it said or was said to be out: nothing new goes there."""
        return (
            self.observed in OUT_STATES
            or self.reported in OUT_STATES
            or self.tabled in OUT_STATES
        )

    def takes_work(self, now_s, in_flight):
        """Whether a job may go there.

        :param in_flight: jobs of this node that are there already
        """
        if self.is_out() or now_s < self.ejected_until_s:
            return False
        return in_flight == 0 or self.probation_left == 0


def can_eject(healths, now_s, settings=DEFAULT_SETTINGS):
    """Whether a pool can bear one more ejected endpoint.

    When most of a pool fails, the cause is hardly the endpoints: ejecting
    them too would leave the rest to be overrun one after another.

    :param healths: of all endpoints in the pool
    """
    present = [health for health in healths if not health.is_out()]
    ejected = sum(now_s < health.ejected_until_s for health in present)
    return ejected + 1 <= settings.max_ejected_share * len(present)
