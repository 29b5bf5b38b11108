"""Load balancing of requests to the endpoints of a plain service."""

import dataclasses
from typing import Any

from magnoliadyke.core import catalog

__all__ = ['Balancer']

#: Weight of a new response time in the moving average: half of a change shows
#: after 6 responses.
RESPONSE_WEIGHT = 0.1
#: Weight of a new result in the moving average of failures.
FAILURE_WEIGHT = 0.1
#: Assumed response time of an endpoint without responses yet, in seconds.
INITIAL_RESPONSE_S = 0.02
#: Cost factor of endpoints outside this host's failure domain.
REMOTE_FACTOR = 1.25
#: Cost of a failed request, as a multiple of the response time.
FAILURE_COST = 8.0
#: Cooldown of an endpoint after two consecutive failures to reach it, in
#: seconds; it doubles with each further one.
COOLDOWN_S = 0.5
MAX_COOLDOWN_S = 4.0


@dataclasses.dataclass(slots=True)
class EndpointStats:
    """Statistics of one endpoint.

    :ivar in_flight: requests in flight
    :ivar response_s: moving average of the response time, in seconds
    :ivar failure_rate: moving average of failures, 0 to 1
    :ivar unreachable: consecutive attempts without a response
    :ivar cooldown_until_s: when its cooldown ends, in monotonic seconds
    """

    in_flight: int = 0
    response_s: float = INITIAL_RESPONSE_S
    failure_rate: float = 0.0
    unreachable: int = 0
    cooldown_until_s: float = 0.0


class Balancer:
    """Picks endpoints by expected cost to the caller.

    There are no health probes: requests show slow and failing endpoints
    sooner, and a probe may succeed where requests fail or the other way
    round.

    :param failure_domain: failure domain of this host
    :param rng: source of randomness
    :ivar stats_by_id: :class:`EndpointStats` by endpoint id
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
        """Return the endpoint with the lowest expected cost, or None.

        Endpoints in cooldown are used only if there is no other: a request
        sent to them is likely to fail, but a refusal fails for certain.

        :param avoid: ids of endpoints not to use
        """
        usable = [e for e in endpoints if e.id not in avoid]
        candidates = self.ready(usable, now_s)
        if not candidates:
            return None
        return min(candidates, key=self._cost)

    def ready(
        self, endpoints: list[catalog.Endpoint], now_s: float
    ) -> list[catalog.Endpoint]:
        """Return the endpoints that are not in cooldown; all if none is."""
        found = [e for e in endpoints if self._cooldown_until_s(e) <= now_s]
        return found or endpoints

    def _cooldown_until_s(self, endpoint: catalog.Endpoint) -> float:
        stats = self.stats_by_id.get(endpoint.id)
        return stats.cooldown_until_s if stats is not None else 0.0

    def _cost(self, endpoint: catalog.Endpoint) -> float:
        stats = self.stats_by_id.get(endpoint.id) or EndpointStats()
        waiting = stats.in_flight / max(1, endpoint.slots)
        cost = stats.response_s * (1 + waiting)
        cost *= 1 + FAILURE_COST * stats.failure_rate
        if endpoint.failure_domain != self.failure_domain:
            cost *= REMOTE_FACTOR
        return cost * (1 + 0.05 * self.rng.random())

    def _stats(self, endpoint_id: str) -> EndpointStats:
        return self.stats_by_id.setdefault(endpoint_id, EndpointStats())

    def record_sent(self, endpoint_id: str) -> None:
        """Record that a request is sent to an endpoint."""
        self._stats(endpoint_id).in_flight += 1

    def record_answer(
        self, endpoint_id: str, took_s: float, failed: bool
    ) -> None:
        """Record a response of an endpoint.

        :param took_s: response time, in seconds
        :param failed: whether it reports a failure of the endpoint itself
        """
        stats = self._stats(endpoint_id)
        stats.in_flight -= 1
        stats.unreachable = 0
        stats.response_s += RESPONSE_WEIGHT * (took_s - stats.response_s)
        self._update_failure_rate(stats, failed)

    def record_cancel(self, endpoint_id: str) -> None:
        """Record that the caller disconnected before the response.

        Only the requests in flight change: it shows nothing of the endpoint.
        """
        self._stats(endpoint_id).in_flight -= 1

    def record_failure(self, endpoint_id: str, now_s: float) -> None:
        """Record that an endpoint did not respond or was unreachable."""
        stats = self._stats(endpoint_id)
        stats.in_flight -= 1
        stats.unreachable += 1
        self._update_failure_rate(stats, True)
        if stats.unreachable >= 2:
            cooldown_s = COOLDOWN_S * 2 ** min(stats.unreachable - 2, 3)
            stats.cooldown_until_s = now_s + min(cooldown_s, MAX_COOLDOWN_S)

    def drop_unlisted(self, listed: set[str]) -> None:
        """Drop the statistics of endpoints that are no longer listed.

        Those with requests in flight are kept.

        :param listed: ids of the listed endpoints
        """
        for endpoint_id in [e for e in self.stats_by_id if e not in listed]:
            if self.stats_by_id[endpoint_id].in_flight <= 0:
                del self.stats_by_id[endpoint_id]

    def _update_failure_rate(self, stats: EndpointStats, failed: bool) -> None:
        target = 1.0 if failed else 0.0
        stats.failure_rate += FAILURE_WEIGHT * (target - stats.failure_rate)
