"""Load balancing of requests to the endpoints of a plain service."""

import dataclasses
from typing import Any

from magnoliadyke.core import catalog
from magnoliadyke.core import observations

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
#: Maximum number of responses for which this host's own averages count beside
#: those of other hosts: so many that their first values weigh under 5 %. They
#: do not lose weight by age: what other hosts report is seconds old and known
#: to many hosts, which would all turn to the same endpoint and overload it.
MAX_OWN_RESPONSES = 30
#: Time after an own response of an endpoint during which cooldowns that other
#: hosts report do not count, in seconds: this host reaches the endpoint.
REACHED_S = 1.0
NEVER_S = float('-inf')


@dataclasses.dataclass(slots=True)
class EndpointStats:
    """Statistics of one endpoint.

    :ivar in_flight: requests in flight
    :ivar response_s: moving average of the response time, in seconds
    :ivar failure_rate: moving average of failures, 0 to 1
    :ivar unreachable: consecutive attempts without a response
    :ivar cooldown_until_s: when its cooldown ends, in monotonic seconds
    :ivar responses: number of responses, up to :data:`MAX_OWN_RESPONSES`
    :ivar results: the same of responses and failures to reach it
    :ivar response_at_s: time of the last response, in monotonic seconds
    :ivar initial_share: weight that :data:`INITIAL_RESPONSE_S` still has in
        ``response_s``, 0 to 1
    """

    in_flight: int = 0
    response_s: float = INITIAL_RESPONSE_S
    failure_rate: float = 0.0
    unreachable: int = 0
    cooldown_until_s: float = 0.0
    responses: int = 0
    results: int = 0
    response_at_s: float = NEVER_S
    initial_share: float = 1.0

    @property
    def measured_s(self) -> float:
        """The average response time without the initial one, in seconds.

        It compares with what other hosts report; the average itself is too
        low where an endpoint has had few responses of a slow service.
        """
        if self.initial_share == 1:
            return self.response_s
        total_s = self.response_s - self.initial_share * INITIAL_RESPONSE_S
        return total_s / (1 - self.initial_share)


class Balancer:
    """Picks endpoints by expected cost to the caller.

    There are no health probes: requests show slow and failing endpoints
    sooner, and a probe may succeed where requests fail or the other way
    round.

    :param failure_domain: failure domain of this host
    :param rng: source of randomness
    :ivar stats_by_id: :class:`EndpointStats` by endpoint id
    :ivar shared: what other hosts observed of the endpoints
    :ivar own_counts: what this host observed since its last report
    """

    def __init__(self, failure_domain: str, rng: Any) -> None:
        self.failure_domain = failure_domain
        self.rng = rng
        self.stats_by_id: dict[str, EndpointStats] = {}
        self.shared = observations.SharedObservations()
        self.own_counts = observations.OwnCounts()

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
        return min(candidates, key=lambda each: self._cost(each, now_s))

    def ready(
        self, endpoints: list[catalog.Endpoint], now_s: float
    ) -> list[catalog.Endpoint]:
        """Return the endpoints that are not in cooldown; all if none is.

        One that only other hosts have in cooldown is used before one that
        this host has.
        """
        found = [e for e in endpoints if self._cooldown_until_s(e) <= now_s]
        preferred = [
            e for e in found if self.shared_cooldown(e.id, now_s) is None
        ]
        return preferred or found or endpoints

    def shared_cooldown(
        self, endpoint_id: str, now_s: float
    ) -> observations.Cooldown | None:
        """Return the cooldown that this host adopts from others, or None."""
        stats = self.stats_by_id.get(endpoint_id)
        if stats is not None and now_s - stats.response_at_s < REACHED_S:
            return None
        return self.shared.cooldown(endpoint_id, now_s)

    def shared_cooldowns(
        self, now_s: float
    ) -> dict[str, observations.Cooldown]:
        """Return the cooldowns adopted from other hosts by endpoint id."""
        found = {
            e: self.shared_cooldown(e, now_s) for e in self.shared.reports
        }
        return {e: each for e, each in found.items() if each is not None}

    def take_report(self, now_s: float) -> list[observations.Observation]:
        """Return what this host observed since the last call.

        Endpoints in cooldown are first, then those with most responses.
        """
        used = set(self.own_counts.by_id)
        used.update(e for e, s in self.stats_by_id.items() if s.in_flight > 0)
        found = []
        for endpoint_id in sorted(used):
            stats = self.stats_by_id.get(endpoint_id) or EndpointStats()
            found.append(
                self.own_counts.take(endpoint_id)._replace(
                    in_flight=max(0, stats.in_flight),
                    cooldown_s=max(0.0, stats.cooldown_until_s - now_s),
                )
            )
        found.sort(key=lambda each: (not each.cooldown_s, -each.responses))
        return found

    def _cooldown_until_s(self, endpoint: catalog.Endpoint) -> float:
        stats = self.stats_by_id.get(endpoint.id)
        return stats.cooldown_until_s if stats is not None else 0.0

    def _cost(self, endpoint: catalog.Endpoint, now_s: float) -> float:
        stats = self.stats_by_id.get(endpoint.id) or EndpointStats()
        in_flight = stats.in_flight
        response_s = stats.response_s
        failure_rate = stats.failure_rate
        shared = None
        if self.shared.is_recent(now_s):
            response_s = stats.measured_s
            shared = self.shared.summary(endpoint.id, now_s)
        if shared is not None:
            in_flight += shared.in_flight
            response_s = _weighted_mean(
                response_s,
                stats.responses,
                shared.mean_s,
                shared.successes,
            )
            failure_rate = _weighted_mean(
                failure_rate,
                stats.results,
                shared.failure_rate,
                shared.responses,
            )
        waiting = in_flight / max(1, endpoint.slots)
        cost = response_s * (1 + waiting)
        cost *= 1 + FAILURE_COST * failure_rate
        if endpoint.failure_domain != self.failure_domain:
            cost *= REMOTE_FACTOR
        return cost * (1 + 0.05 * self.rng.random())

    def _stats(self, endpoint_id: str) -> EndpointStats:
        return self.stats_by_id.setdefault(endpoint_id, EndpointStats())

    def record_sent(self, endpoint_id: str) -> None:
        """Record that a request is sent to an endpoint."""
        self._stats(endpoint_id).in_flight += 1
        self.own_counts.record_use(endpoint_id)

    def record_answer(
        self,
        endpoint_id: str,
        took_s: float,
        failed: bool,
        now_s: float = NEVER_S,
    ) -> None:
        """Record a response of an endpoint.

        :param took_s: response time, in seconds
        :param failed: whether it reports a failure of the endpoint itself
        :param now_s: when it was received, in monotonic seconds; without it
            the response does not count as recent
        """
        stats = self._stats(endpoint_id)
        stats.in_flight -= 1
        stats.unreachable = 0
        stats.response_s += RESPONSE_WEIGHT * (took_s - stats.response_s)
        stats.initial_share *= 1 - RESPONSE_WEIGHT
        stats.responses = min(stats.responses + 1, MAX_OWN_RESPONSES)
        stats.response_at_s = max(stats.response_at_s, now_s)
        self._record_result(endpoint_id, took_s, failed)

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
        self._record_result(endpoint_id, 0.0, True)
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
        self.shared.drop_unlisted(listed)
        self.own_counts.drop_unlisted(listed)

    def _record_result(
        self, endpoint_id: str, took_s: float, failed: bool
    ) -> None:
        stats = self._stats(endpoint_id)
        stats.results = min(stats.results + 1, MAX_OWN_RESPONSES)
        self.own_counts.record_result(endpoint_id, took_s, failed)
        target = 1.0 if failed else 0.0
        stats.failure_rate += FAILURE_WEIGHT * (target - stats.failure_rate)


def _weighted_mean(
    own: float, own_weight: float, others: float, others_weight: float
) -> float:
    weight = own_weight + others_weight
    if not weight:
        return own
    return (own * own_weight + others * others_weight) / weight
