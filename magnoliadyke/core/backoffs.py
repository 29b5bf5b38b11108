"""Backoffs that endpoints asked this host for."""

from collections.abc import Iterable
import math

from magnoliadyke.core import catalog

__all__ = ['Backoffs']

#: From this number of backoffs on, those that ended are removed first when a
#: new one is added.
MAX_BACKOFFS = 1024


class Backoffs:
    """Backoffs of the endpoints that rejected requests of this host.

    :ivar until_s: end of the backoff in monotonic seconds, by endpoint id
    """

    def __init__(self) -> None:
        self.until_s: dict[str, float] = {}

    def record_backoff(
        self, endpoint_id: str, for_s: float, now_s: float
    ) -> None:
        """Record that an endpoint rejected a request and asked to back off.

        A recorded backoff that ends later is kept.

        :param for_s: how long to back off, in seconds
        """
        if len(self.until_s) >= MAX_BACKOFFS:
            self.remove_expired(now_s)
        until_s = max(now_s + for_s, self.until_s.get(endpoint_id, 0.0))
        self.until_s[endpoint_id] = until_s

    def remaining_s(self, endpoint_id: str, now_s: float) -> float:
        """Return the time left of an endpoint's backoff in seconds, or 0."""
        return max(0.0, self.until_s.get(endpoint_id, now_s) - now_s)

    def available(
        self, endpoints: Iterable[catalog.Endpoint], now_s: float
    ) -> list[catalog.Endpoint]:
        """Return the endpoints without a backoff."""
        return [e for e in endpoints if not self.remaining_s(e.id, now_s)]

    def shortest_remaining_s(
        self, endpoints: Iterable[catalog.Endpoint], now_s: float
    ) -> float:
        """Return when the first of some endpoints is available, in seconds.

        0 if one is available now, or if there are no endpoints.
        """
        shortest_s = math.inf
        for endpoint in endpoints:
            remaining_s = self.remaining_s(endpoint.id, now_s)
            if not remaining_s:
                return 0.0
            shortest_s = min(shortest_s, remaining_s)
        return shortest_s if shortest_s < math.inf else 0.0

    def active(self, now_s: float) -> list[str]:
        """Return the ids of the endpoints with a backoff."""
        return [e for e, until_s in self.until_s.items() if until_s > now_s]

    def remove_expired(self, now_s: float) -> None:
        """Remove the backoffs that have ended."""
        for endpoint_id, until_s in list(self.until_s.items()):
            if until_s <= now_s:
                del self.until_s[endpoint_id]
