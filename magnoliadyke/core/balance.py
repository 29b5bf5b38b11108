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
COOLDOWN_S = 0.5
MAX_COOLDOWN_S = 4.0


@dataclasses.dataclass(slots=True)
class EndpointStats:
    """What a host has seen of an endpoint."""

    outstanding: int = 0
    answer_s: float = PRIOR_S
    failure_rate: float = 0.0
    unreachable: int = 0
    cooldown_until_s: float = 0.0


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
        self.stats_by_id: dict[str, EndpointStats] = {}

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
        ready = [e for e in usable if self._cooldown_until_s(e) <= now_s]
        candidates = ready or usable
        if not candidates:
            return None
        return min(candidates, key=self._cost)

    def _cooldown_until_s(self, endpoint: catalog.Endpoint) -> float:
        stats = self.stats_by_id.get(endpoint.id)
        return stats.cooldown_until_s if stats is not None else 0.0

    def _cost(self, endpoint: catalog.Endpoint) -> float:
        stats = self.stats_by_id.get(endpoint.id) or EndpointStats()
        waiting = stats.outstanding / max(1, endpoint.slots)
        cost = stats.answer_s * (1 + waiting)
        cost *= 1 + FAILURE_COST * stats.failure_rate
        if endpoint.failure_domain != self.failure_domain:
            cost *= REMOTE_FACTOR
        return cost * (1 + 0.05 * self.rng.random())

    def _stats(self, endpoint_id: str) -> EndpointStats:
        return self.stats_by_id.setdefault(endpoint_id, EndpointStats())

    def record_sent(self, endpoint_id: str) -> None:
        """A request is on its way."""
        self._stats(endpoint_id).outstanding += 1

    def record_answer(
        self, endpoint_id: str, took_s: float, failed: bool
    ) -> None:
        """An answer came.

        :param failed: it was the endpoint's own failure
        """
        stats = self._stats(endpoint_id)
        stats.outstanding -= 1
        stats.unreachable = 0
        stats.answer_s += TIME_WEIGHT * (took_s - stats.answer_s)
        self._update_failure_rate(stats, failed)

    def record_cancel(self, endpoint_id: str) -> None:
        """The caller left before the answer; nothing is learned."""
        self._stats(endpoint_id).outstanding -= 1

    def record_failure(self, endpoint_id: str, now_s: float) -> None:
        """The endpoint did not answer, or could not be reached."""
        stats = self._stats(endpoint_id)
        stats.outstanding -= 1
        stats.unreachable += 1
        self._update_failure_rate(stats, True)
        if stats.unreachable >= 2:
            cooldown_s = COOLDOWN_S * 2 ** min(stats.unreachable - 2, 3)
            stats.cooldown_until_s = now_s + min(cooldown_s, MAX_COOLDOWN_S)

    def forget(self, listed: set[str]) -> None:
        """Drop what is known of endpoints that are gone."""
        for endpoint_id in [e for e in self.stats_by_id if e not in listed]:
            if self.stats_by_id[endpoint_id].outstanding <= 0:
                del self.stats_by_id[endpoint_id]

    def _update_failure_rate(self, stats: EndpointStats, failed: bool) -> None:
        target = 1.0 if failed else 0.0
        stats.failure_rate += FAILURE_WEIGHT * (target - stats.failure_rate)
