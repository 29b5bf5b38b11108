"""Rate limits that endpoints name, and the pacing of requests to them."""

import collections
import dataclasses
import math
from typing import Any
from typing import NamedTuple

__all__ = ['NamedLimits', 'Pacer', 'Pacers', 'Statement', 'new_pacers']

#: Maximum number of endpoints whose limit, or its end, is kept; more than the
#: largest supported fleet has.
MAX_ENDPOINTS = 8192
#: Rate at which an endpoint is asked that accepts fewer requests, also none,
#: in requests per second: without a request its limit would never end.
MIN_RATE_S = 0.2
#: Rate above which a limit makes no difference, in requests per second.
MAX_RATE_S = 1e6
#: Time for which an unused slot remains usable, in seconds.
TOLERANCE_S = 0.25
#: The same on a host that paces alone: its slots are so far apart that few
#: requests arrive within a shorter time.
ALONE_TOLERANCE_S = 1.0
#: Pause before the first slot of an endpoint, in seconds.  Requests that a
#: former leader granted may still be sent in it.
START_PAUSE_S = 0.5
#: Silence of the leader after which a host paces alone, in seconds.  The
#: leader, which lost no more than some messages, grants the whole limit.
ALONE_DELAY_S = 1.0
#: Least number of hosts among which a host that paces alone divides a limit:
#: a host that has just started may have heard of no other one yet.
MIN_ALONE_HOSTS = 8


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
    :ivar limited_ids: ids of the endpoints with a limit
    """

    def __init__(self) -> None:
        self.latest: collections.OrderedDict[str, Statement] = (
            collections.OrderedDict()
        )
        self.limited_ids: set[str] = set()

    def rate_s(self, endpoint_id: str) -> float | None:
        """Return an endpoint's limit in requests per second, None if none."""
        known = self.latest.get(endpoint_id)
        return None if known is None else known.rate_s

    def limited(self) -> dict[str, float]:
        """Return the limits in force, by endpoint id."""
        return {each: self.latest[each].rate_s for each in self.limited_ids}

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
        if statement.rate_s is None:
            self.limited_ids.discard(endpoint_id)
        else:
            self.limited_ids.add(endpoint_id)
        if len(self.latest) > MAX_ENDPOINTS:
            self.drop(next(iter(self.latest)))

    def drop(self, endpoint_id: str) -> None:
        """Forget an endpoint that has left."""
        self.latest.pop(endpoint_id, None)
        self.limited_ids.discard(endpoint_id)


@dataclasses.dataclass(slots=True)
class _Slots:
    """Equally spaced moments, each for one request.

    :ivar next_s: the first moment without a request, in monotonic seconds
    :ivar interval_s: time between two moments, in seconds
    """

    next_s: float
    interval_s: float

    def set_interval(self, interval_s: float, now_s: float) -> None:
        """Change the interval; the same number of requests stays granted."""
        if interval_s == self.interval_s:
            return
        if self.next_s > now_s:
            ahead = (self.next_s - now_s) / self.interval_s
            self.next_s = now_s + ahead * interval_s
        self.interval_s = interval_s

    def expire(self, before_s: float) -> None:
        """Give up the moments before a given one."""
        missed_s = before_s - self.next_s
        if missed_s > 0:
            missed = math.ceil(missed_s / self.interval_s)
            self.next_s += missed * self.interval_s


class Pacer:
    """Spaces the requests to endpoints with a rate limit.

    Each limited endpoint has equally spaced slots.  In any time ``t`` at most
    ``rate * (t + tolerance) + 1`` requests are granted.

    A slot that is not used in time is lost, and the slots keep their phase.  A
    token bucket, in contrast, saves at least one token at each host: where
    hundreds of hosts share a limit of a few requests per second, the saved
    tokens alone exceed it.

    :param tolerance_s: time for which an unused slot remains usable, in
        seconds
    :param rng: source of randomness, with ``random()``, for the phase of the
        slots; None if no other host paces the same endpoints
    :ivar share: part of each limit that this pacer grants, above 0
    :ivar starts_s: no slot before this moment is used, in monotonic seconds
    """

    def __init__(
        self, named: NamedLimits, tolerance_s: float, rng: Any = None
    ) -> None:
        self.named = named
        self.tolerance_s = tolerance_s
        self.rng = rng
        self.share = 1.0
        self.starts_s = float('-inf')
        self.slots: dict[str, _Slots] = {}

    @property
    def has_limits(self) -> bool:
        """Whether any endpoint has a limit."""
        return bool(self.named.limited_ids)

    def rate_s(self, endpoint_id: str) -> float:
        """Return the rate granted, in requests per second.

        Infinite for an endpoint without a limit.
        """
        rate_s = self.named.rate_s(endpoint_id)
        if rate_s is None:
            return math.inf
        return min(max(rate_s, MIN_RATE_S), MAX_RATE_S) * self.share

    def wait_s(self, endpoint_id: str, now_s: float) -> float:
        """Return the time until a request may be sent, in seconds.

        0 if it may be sent now.
        """
        slots = self._current_slots(endpoint_id, now_s)
        return 0.0 if slots is None else max(0.0, slots.next_s - now_s)

    def take(self, endpoint_id: str, now_s: float) -> None:
        """Use the next slot of an endpoint for a request."""
        slots = self._current_slots(endpoint_id, now_s)
        if slots is not None:
            slots.next_s += slots.interval_s

    def reserve(
        self, endpoint_id: str, max_wait_s: float, now_s: float
    ) -> float | None:
        """Use the next slot of an endpoint if it is near enough.

        :returns: the time until the slot, in seconds; None if it is not used
        """
        wait_s = self.wait_s(endpoint_id, now_s)
        if wait_s > max_wait_s:
            return None
        self.take(endpoint_id, now_s)
        return wait_s

    def reset(self) -> None:
        """Forget all slots; new ones begin after ``START_PAUSE_S``."""
        self.slots.clear()

    def drop(self, endpoint_id: str) -> None:
        """Forget an endpoint that has left."""
        self.slots.pop(endpoint_id, None)

    def _current_slots(self, endpoint_id: str, now_s: float) -> _Slots | None:
        rate_s = self.rate_s(endpoint_id)
        slots = self.slots.get(endpoint_id)
        if rate_s == math.inf:
            if slots is not None:
                del self.slots[endpoint_id]
            return None
        interval_s = 1 / rate_s
        if slots is None:
            first_s = now_s + START_PAUSE_S
            if self.rng is not None:
                first_s += interval_s * self.rng.random()
            slots = self.slots[endpoint_id] = _Slots(first_s, interval_s)
        slots.set_interval(interval_s, now_s)
        slots.expire(max(now_s - self.tolerance_s, self.starts_s))
        return slots


class Pacers(NamedTuple):
    """The limits that a host knows, and its pacers.

    :param granted: paces the requests of all hosts, used by the placement
        leader
    :param alone: paces this host's requests while no leader answers
    """

    named: NamedLimits
    granted: Pacer
    alone: Pacer

    def record_silence(self, since_s: float) -> None:
        """Record that the leader does not answer.

        :param since_s: when the silence began, in monotonic seconds
        """
        self.alone.starts_s = since_s + ALONE_DELAY_S

    def set_hosts(self, alive: int, unheard: int) -> None:
        """Divide the limits among the hosts.

        Hosts that are not heard of may run behind a cut and pace alone, so
        the leader leaves them the shares that they take.

        :param alive: number of hosts that are heard of, this one included
        :param unheard: number of others that may run
        """
        total = max(1, alive + unheard)
        self.granted.share = max(1, alive) / total
        self.alone.share = 1 / max(total, MIN_ALONE_HOSTS)


def new_pacers(rng: Any) -> Pacers:
    """Return the pacers of a host that knows of no limit yet.

    :param rng: source of randomness, with ``random()``
    """
    named = NamedLimits()
    pacers = Pacers(
        named,
        Pacer(named, TOLERANCE_S),
        Pacer(named, ALONE_TOLERANCE_S, rng),
    )
    pacers.set_hosts(1, 0)
    return pacers
