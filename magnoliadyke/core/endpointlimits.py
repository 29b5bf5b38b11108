"""Rate limits that endpoints named in their responses."""

import collections
import math
from typing import NamedTuple

__all__ = ['NamedLimits', 'Statement']

#: Maximum number of endpoints whose limit, or its end, is kept; more than the
#: largest supported fleet has.
MAX_ENDPOINTS = 8192


class Statement(NamedTuple):
    """What one response states about its endpoint's rate limit.

    The endpoint made the statement at an unknown moment between the two
    given ones.

    :param rate_s: requests per second that the endpoint accepts from all
        hosts together; None if the response named no limit
    :param sent_s: when the request was sent, in monotonic seconds
    :param received_s: when the response was received, in monotonic seconds
    """

    rate_s: float | None
    sent_s: float
    received_s: float

    @property
    def bound_s(self) -> float:
        """The rate, infinite without a limit."""
        return math.inf if self.rate_s is None else self.rate_s


class NamedLimits:
    """The latest rate limit of each endpoint.

    Responses overtake each other, and so do messages between hosts.  Of two
    statements whose order is unknown the stricter one applies: a limit is
    raised or lifted only by a response to a request that was sent after the
    last response with the limit was received.

    :ivar latest: the statement in force, by endpoint id
    """

    def __init__(self) -> None:
        self.latest: collections.OrderedDict[str, Statement] = (
            collections.OrderedDict()
        )

    def rate_s(self, endpoint_id: str) -> float | None:
        """Return an endpoint's limit in requests per second, None if none."""
        known = self.latest.get(endpoint_id)
        return None if known is None else known.rate_s

    def limited(self) -> dict[str, float]:
        """Return the limits in force, by endpoint id."""
        return {
            endpoint_id: known.rate_s
            for endpoint_id, known in self.latest.items()
            if known.rate_s is not None
        }

    def record(self, endpoint_id: str, statement: Statement) -> bool:
        """Record a statement.

        :returns: whether the limit in force has changed
        """
        known = self.latest.get(endpoint_id)
        if known is None:
            if statement.rate_s is None:
                return False
            self._keep(endpoint_id, statement)
            return True
        if statement.received_s < known.sent_s:
            return False
        if known.received_s < statement.sent_s:
            self._keep(endpoint_id, statement)
            return statement.rate_s != known.rate_s
        if statement.bound_s > known.bound_s:
            return False
        received_s = max(known.received_s, statement.received_s)
        self._keep(endpoint_id, statement._replace(received_s=received_s))
        return statement.rate_s != known.rate_s

    def _keep(self, endpoint_id: str, statement: Statement) -> None:
        self.latest[endpoint_id] = statement
        self.latest.move_to_end(endpoint_id)
        if len(self.latest) > MAX_ENDPOINTS:
            self.latest.popitem(last=False)

    def drop(self, endpoint_id: str) -> None:
        """Forget an endpoint that has left."""
        self.latest.pop(endpoint_id, None)
