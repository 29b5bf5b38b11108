"""Endpoints that asked this host to back off."""

from collections.abc import Iterable
import math

from magnoliadyke.core import catalog

__all__ = ['Backoffs']

#: Backoffs that are remembered before those that are over are looked for.
MAX_BACKOFFS = 1024


class Backoffs:
    """Until when endpoints want nothing from this host.

    :ivar until_s: by endpoint
    """

    def __init__(self) -> None:
        self.until_s: dict[str, float] = {}

    def record_backoff(
        self, endpoint_id: str, for_s: float, now_s: float
    ) -> None:
        """An endpoint has turned a request away and told when to return.

        :param for_s: how long to back off, in seconds
        """
        if len(self.until_s) >= MAX_BACKOFFS:
            self.forget(now_s)
        until_s = max(now_s + for_s, self.until_s.get(endpoint_id, 0.0))
        self.until_s[endpoint_id] = until_s

    def remaining_s(self, endpoint_id: str, now_s: float) -> float:
        """How much longer an endpoint wants nothing, in seconds."""
        return max(0.0, self.until_s.get(endpoint_id, now_s) - now_s)

    def available(
        self, endpoints: Iterable[catalog.Endpoint], now_s: float
    ) -> list[catalog.Endpoint]:
        """Endpoints that may be asked."""
        return [e for e in endpoints if not self.remaining_s(e.id, now_s)]

    def shortest_remaining_s(
        self, endpoints: Iterable[catalog.Endpoint], now_s: float
    ) -> float:
        """How long none of them may be asked; 0 if one may, or none is."""
        shortest_s = math.inf
        for endpoint in endpoints:
            remaining_s = self.remaining_s(endpoint.id, now_s)
            if not remaining_s:
                return 0.0
            shortest_s = min(shortest_s, remaining_s)
        return shortest_s if shortest_s < math.inf else 0.0

    def active(self, now_s: float) -> list[str]:
        """Ids of the endpoints that want nothing."""
        return [e for e, until_s in self.until_s.items() if until_s > now_s]

    def forget(self, now_s: float) -> None:
        """Drop the backoffs that are over."""
        for endpoint_id, until_s in list(self.until_s.items()):
            if until_s <= now_s:
                del self.until_s[endpoint_id]
