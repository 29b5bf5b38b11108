"""Which endpoint of a plain service gets the next request."""

import dataclasses
from typing import Any

from magnoliadyke.core import catalog

__all__ = ['Balancer']

#: Weight of a new answer time in the mean; half of a change after 6 answers.
TIME_WEIGHT = 0.1
#: Weight of a new answer in the share of failures.
FAILURE_WEIGHT = 0.1
#: Answer time before anything was measured, in seconds.
PRIOR_S = 0.02
#: An endpoint outside the own failure domain has to be this much better.
REMOTE_FACTOR = 1.25
#: How much a failure costs a caller, in answer times.
FAILURE_COST = 8.0
#: An endpoint that could not be reached rests this long, doubled in a row.
REST_S = 0.5
MAX_REST_S = 4.0


@dataclasses.dataclass(slots=True)
class Standing:
    """What a host has seen of an endpoint."""

    outstanding: int = 0
    answer_s: float = PRIOR_S
    failures: float = 0.0
    unreachable: int = 0
    rest_until_s: float = 0.0


class Balancer:
    """Picks endpoints by what they cost a caller.

    No health probes: real requests tell of slow and failing endpoints
    sooner, and probes may lie either way.

    :param failure_domain: of this host
    :param rng: source of randomness
    """

    def __init__(self, failure_domain: str, rng: Any) -> None:
        self.failure_domain = failure_domain
        self.rng = rng
        self.standings: dict[str, Standing] = {}

    def choose(
        self,
        endpoints: list[catalog.Endpoint],
        avoid: set[str],
        now_s: float,
    ) -> catalog.Endpoint | None:
        """The endpoint that is expected to serve a caller best.

        Endpoints that rest are used only when there is no other one: a
        refusal would be certain, a send only likely to fail.
        """
        usable = [e for e in endpoints if e.id not in avoid]
        awake = [e for e in usable if self._rests_until_s(e) <= now_s]
        candidates = awake or usable
        if not candidates:
            return None
        return min(candidates, key=self._cost)

    def _rests_until_s(self, endpoint: catalog.Endpoint) -> float:
        standing = self.standings.get(endpoint.id)
        return standing.rest_until_s if standing is not None else 0.0

    def _cost(self, endpoint: catalog.Endpoint) -> float:
        standing = self.standings.get(endpoint.id) or Standing()
        waiting = standing.outstanding / max(1, endpoint.slots)
        cost = standing.answer_s * (1 + waiting)
        cost *= 1 + FAILURE_COST * standing.failures
        if endpoint.failure_domain != self.failure_domain:
            cost *= REMOTE_FACTOR
        return cost * (1 + 0.05 * self.rng.random())

    def _standing(self, endpoint_id: str) -> Standing:
        return self.standings.setdefault(endpoint_id, Standing())

    def sent(self, endpoint_id: str) -> None:
        """A request is on its way."""
        self._standing(endpoint_id).outstanding += 1

    def answered(self, endpoint_id: str, took_s: float, failed: bool) -> None:
        """An answer came.

        :param failed: it was the endpoint's own failure
        """
        standing = self._standing(endpoint_id)
        standing.outstanding -= 1
        standing.unreachable = 0
        standing.answer_s += TIME_WEIGHT * (took_s - standing.answer_s)
        self._note(standing, failed)

    def left(self, endpoint_id: str) -> None:
        """The caller left before the answer; nothing is learned."""
        self._standing(endpoint_id).outstanding -= 1

    def lost(self, endpoint_id: str, now_s: float) -> None:
        """The endpoint did not answer, or could not be reached."""
        standing = self._standing(endpoint_id)
        standing.outstanding -= 1
        standing.unreachable += 1
        self._note(standing, True)
        if standing.unreachable >= 2:
            rest_s = REST_S * 2 ** min(standing.unreachable - 2, 3)
            standing.rest_until_s = now_s + min(rest_s, MAX_REST_S)

    def forget(self, listed: set[str]) -> None:
        """Drop what is known of endpoints that are gone."""
        for endpoint_id in [e for e in self.standings if e not in listed]:
            if self.standings[endpoint_id].outstanding <= 0:
                del self.standings[endpoint_id]

    def _note(self, standing: Standing, failed: bool) -> None:
        target = 1.0 if failed else 0.0
        standing.failures += FAILURE_WEIGHT * (target - standing.failures)
