"""How many endpoints a service runs, of which kind, in which domain.

The load that this answers: prompts in rushes of seconds, shorter than an
endpoint takes to start.  What a rush needs has to be there before it, so the
number follows the most that was needed lately; the price is held down by the
kind that may be taken away, spread over the failure domains, with enough of
it to lose those of one domain.
"""

from collections.abc import Mapping
from typing import NamedTuple

__all__ = ['Autoscaler', 'ScalingLimits', 'ScaleOrder', 'AvailableCapacity']


class ScaleOrder(NamedTuple):
    """Run so many endpoints of a kind in a failure domain.

    :param reclaimable: of the kind that may be taken away at short notice
    """

    service: str
    failure_domain: str
    count: int
    reclaimable: bool


class AvailableCapacity(NamedTuple):
    """The endpoints in a failure domain that take work, by kind."""

    on_demand: int = 0
    reclaimable: int = 0


class ScalingLimits(NamedTuple):
    """What may be ordered, and what it costs.

    :param least: endpoints in each failure domain, both kinds together
    :param most: the same
    :param boot_s: from an order to the first request
    :param reclaimable_price: of an endpoint of that kind, by that of another
    :param prices: of an endpoint and second, by failure domain
    """

    min_endpoints: int
    max_endpoints: int
    boot_s: float
    reclaimable_price: float
    prices: Mapping[str, float]


#: How long a failure domain is left alone that had none of a kind, in
#: seconds.
UNAVAILABLE_RETRY_S = 3.0
#: Beyond the start of an endpoint: how long it may take to be listed.
REGISTRATION_S = 3.0
#: How long more endpoints than wanted are left alone, in seconds: those that
#: replace others come before these leave.
SURPLUS_DELAY_S = 8.0

#: A failure domain, and whether the kind is reclaimable.
Kind = tuple[str, bool]


class Autoscaler:
    """The plan for one service; one call at a time changes it.

    :ivar ordered: count and time of the latest order, by domain and kind
    :ivar scarce_until_s: when a kind is tried again in a domain
    :ivar surplus_since_s: since when there are more than ordered
    """

    def __init__(self, service: str) -> None:
        self.service = service
        self.ordered: dict[Kind, tuple[int, float]] = {}
        self.unavailable_until_s: dict[Kind, float] = {}
        self.surplus_since_s: dict[Kind, float] = {}

    def decide(
        self,
        limits: ScalingLimits,
        available: Mapping[str, AvailableCapacity],
        wanted: int,
        now_s: float,
    ) -> list[ScaleOrder]:
        """What to order now.

        :param present: by failure domain
        :param wanted: endpoints that the load needs
        """
        targets = self.targets(limits, available, wanted, now_s)
        orders = [
            ScaleOrder(self.service, domain, target, reclaimable)
            for (domain, reclaimable), target in targets.items()
            if self._is_due(
                (domain, reclaimable),
                target,
                _count(available, domain, reclaimable),
                limits,
                now_s,
            )
        ]
        # More before less: nothing leaves before what replaces it is there.
        orders.sort(key=lambda order: not order.reclaimable)
        return orders

    def targets(
        self,
        limits: ScalingLimits,
        available: Mapping[str, AvailableCapacity],
        wanted: int,
        now_s: float,
    ) -> dict[Kind, int]:
        """How many of each kind there should be, by domain."""
        domains = sorted(limits.prices, key=lambda d: (limits.prices[d], d))
        reclaimable_targets = self._reclaimable_targets(
            limits, available, domains, wanted, now_s
        )
        counts = {
            (domain, True): count
            for domain, count in reclaimable_targets.items()
        }
        ready = sum(
            min(_count(available, domain, True), reclaimable_targets[domain])
            for domain in domains
        )
        # Those that last stay until the others are there.
        short = max(0, wanted - ready)
        for domain in domains:
            on_demand = min(_count(available, domain, False), short)
            short -= on_demand
            counts[domain, False] = on_demand
        missing = wanted - sum(counts.values())
        for domain in domains:
            room = (
                limits.max_endpoints
                - counts[domain, True]
                - counts[domain, False]
            )
            added = max(0, min(missing, room))
            counts[domain, False] += added
            missing -= added
        return counts

    def _reclaimable_targets(
        self,
        limits: ScalingLimits,
        available: Mapping[str, AvailableCapacity],
        domains: list[str],
        wanted: int,
        now_s: float,
    ) -> dict[str, int]:
        """How many of the kind that may be taken away, by domain.

        So many, and so spread, that the others outlast the loss of those of
        any one domain.  Where they are is left as it is: one that moves is
        paid for twice, and has kept nothing.
        """
        if limits.reclaimable_price >= 1 or len(domains) < 2:
            return dict.fromkeys(domains, 0)
        rooms = {
            domain: limits.max_endpoints - _count(available, domain, False)
            for domain in domains
        }
        counts = {
            domain: min(
                self._expected_count(domain, available, limits, now_s),
                limits.max_endpoints,
            )
            for domain in domains
        }
        while sum(counts.values()) - max(counts.values()) < wanted:
            open_to = [
                domain
                for domain in domains
                if counts[domain] < rooms[domain]
                and self.unavailable_until_s.get((domain, True), now_s)
                <= now_s
            ]
            if not open_to:
                break
            counts[min(open_to, key=counts.__getitem__)] += 1
        while fullest := max(reversed(domains), key=counts.__getitem__):
            if counts[fullest] <= limits.min_endpoints:
                break
            counts[fullest] -= 1
            if sum(counts.values()) - max(counts.values()) < wanted:
                counts[fullest] += 1
                break
        return counts

    def _expected_count(
        self,
        domain: str,
        available: Mapping[str, AvailableCapacity],
        limits: ScalingLimits,
        now_s: float,
    ) -> int:
        """Endpoints of the kind in a domain, with those that are to come."""
        count = _count(available, domain, True)
        last, at_s = self.ordered.get((domain, True), (0, float('-inf')))
        is_pending = now_s < at_s + limits.boot_s + REGISTRATION_S
        return max(count, last) if is_pending else count

    def _is_due(
        self,
        kind: Kind,
        target: int,
        count: int,
        limits: ScalingLimits,
        now_s: float,
    ) -> bool:
        if target >= count:
            self.surplus_since_s.pop(kind, None)
        else:
            self.surplus_since_s.setdefault(kind, now_s)
        if (
            target == count
            or self.unavailable_until_s.get(kind, now_s) > now_s
        ):
            return False
        last, at_s = self.ordered.get(kind, (None, float('-inf')))
        if target != last:
            # Less of the kind that may go is never urgent.
            return (
                not kind[1] or target > count or self._is_surplus(kind, now_s)
            )
        if now_s < at_s + limits.boot_s + REGISTRATION_S:
            return False
        return target > count or self._is_surplus(kind, now_s)

    def _is_surplus(self, kind: Kind, now_s: float) -> bool:
        """Whether the surplus is none that comes with a replacement."""
        return now_s - self.surplus_since_s.get(kind, now_s) >= SURPLUS_DELAY_S

    def record_accepted(self, order: ScaleOrder, now_s: float) -> None:
        """An order was taken, or may have been."""
        kind = (order.failure_domain, order.reclaimable)
        self.ordered[kind] = (order.count, now_s)
        self.surplus_since_s.pop(kind, None)

    def record_unavailable(self, order: ScaleOrder, now_s: float) -> None:
        """There is none of the kind in the domain at the moment."""
        kind = (order.failure_domain, order.reclaimable)
        self.unavailable_until_s[kind] = now_s + UNAVAILABLE_RETRY_S


def _count(
    available: Mapping[str, AvailableCapacity], domain: str, reclaimable: bool
) -> int:
    there = available.get(domain, AvailableCapacity())
    return there.reclaimable if reclaimable else there.on_demand
