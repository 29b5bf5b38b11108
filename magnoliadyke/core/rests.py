"""Endpoints that asked this host for rest."""

from collections.abc import Iterable
import math

from magnoliadyke.core import catalog

__all__ = ['Rests']

#: Rests that are remembered before those that are over are looked for.
MOST_RESTS = 1024


class Rests:
    """Until when endpoints want nothing from this host.

    :ivar until_s: by endpoint
    """

    def __init__(self) -> None:
        self.until_s: dict[str, float] = {}

    def asked(self, endpoint_id: str, for_s: float, now_s: float) -> None:
        """An endpoint has turned a request away and asks for rest.

        :param for_s: how long, in seconds
        """
        if len(self.until_s) >= MOST_RESTS:
            self.forget(now_s)
        until_s = max(now_s + for_s, self.until_s.get(endpoint_id, 0.0))
        self.until_s[endpoint_id] = until_s

    def left_s(self, endpoint_id: str, now_s: float) -> float:
        """How much longer an endpoint rests, in seconds."""
        return max(0.0, self.until_s.get(endpoint_id, now_s) - now_s)

    def awake(
        self, endpoints: Iterable[catalog.Endpoint], now_s: float
    ) -> list[catalog.Endpoint]:
        """Endpoints that do not rest."""
        return [e for e in endpoints if not self.left_s(e.id, now_s)]

    def all_rest_s(
        self, endpoints: Iterable[catalog.Endpoint], now_s: float
    ) -> float:
        """How long all of them rest; 0 if one does not, or there is none."""
        shortest_s = math.inf
        for endpoint in endpoints:
            left_s = self.left_s(endpoint.id, now_s)
            if not left_s:
                return 0.0
            shortest_s = min(shortest_s, left_s)
        return shortest_s if shortest_s < math.inf else 0.0

    def resting(self, now_s: float) -> list[str]:
        """Ids of the endpoints that rest."""
        return [e for e, until_s in self.until_s.items() if until_s > now_s]

    def forget(self, now_s: float) -> None:
        """Drop the rests that are over."""
        for endpoint_id, until_s in list(self.until_s.items()):
            if until_s <= now_s:
                del self.until_s[endpoint_id]
