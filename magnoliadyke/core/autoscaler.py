"""Plan how many endpoints a service runs, by kind and failure domain.

Prompts arrive in bursts of seconds, shorter than the start of an endpoint.
The capacity for a burst has to be available before it, so the number of
endpoints follows the recent peak demand.  Reclaimable endpoints keep the cost
low: they are spread over the failure domains, with enough of them to lose
those of any one domain.
"""

from collections.abc import Mapping
from typing import NamedTuple

__all__ = ['Autoscaler', 'AvailableCapacity', 'ScaleOrder', 'ScalingLimits']


class ScaleOrder(NamedTuple):
    """Order to run a number of endpoints of one kind in a failure domain.

    :param count: endpoints of that kind that the domain is to run
    :param reclaimable: whether the endpoints are of the kind that the
        provider may reclaim at short notice
    """

    service: str
    failure_domain: str
    count: int
    reclaimable: bool


class AvailableCapacity(NamedTuple):
    """Numbers of endpoints in a failure domain that accept work, by kind.

    :param on_demand: endpoints that the provider does not reclaim
    :param reclaimable: endpoints that it may reclaim at short notice
    """

    on_demand: int = 0
    reclaimable: int = 0


class ScalingLimits(NamedTuple):
    """Limits and prices of the endpoints of a service.

    :param min_endpoints: minimum in each failure domain, both kinds together
    :param max_endpoints: maximum in each failure domain, both kinds together
    :param boot_s: time from an order to the first request, in seconds
    :param reclaimable_price: price of a reclaimable endpoint, relative to
        an on-demand one
    :param prices: price of an endpoint per second, by failure domain
    """

    min_endpoints: int
    max_endpoints: int
    boot_s: float
    reclaimable_price: float
    prices: Mapping[str, float]


#: Delay before a kind that was unavailable in a failure domain is ordered
#: there again, in seconds.
UNAVAILABLE_RETRY_S = 3.0
#: Time from the start of an endpoint until it is registered, in seconds.
REGISTRATION_S = 3.0
#: How long a surplus has to last before it is removed, in seconds: endpoints
#: that are being replaced stay until their replacements accept work.
SURPLUS_DELAY_S = 8.0

#: A failure domain and whether the endpoint is reclaimable.
Kind = tuple[str, bool]


class Autoscaler:
    """Plans the endpoints of one service; it must not be called concurrently.

    :ivar ordered: count and time of the latest order, by domain and kind
    :ivar unavailable_until_s: when an unavailable kind may be ordered again,
        by domain and kind
    :ivar surplus_since_s: since when there are more endpoints than planned,
        by domain and kind
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
        required_count: int,
        now_s: float,
    ) -> list[ScaleOrder]:
        """Return the orders to send now.

        :param available: endpoints that accept work, by failure domain
        :param required_count: number of endpoints that the load needs
        """
        targets = self.targets(limits, available, required_count, now_s)
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
        # Reclaimable endpoints first: they replace on-demand ones, which are
        # removed only once their replacements accept work.
        orders.sort(key=lambda order: not order.reclaimable)
        return orders

    def targets(
        self,
        limits: ScalingLimits,
        available: Mapping[str, AvailableCapacity],
        required_count: int,
        now_s: float,
    ) -> dict[Kind, int]:
        """Return the planned number of endpoints, by domain and kind.

        :param available: endpoints that accept work, by failure domain
        :param required_count: number of endpoints that the load needs
        """
        domains = sorted(limits.prices, key=lambda d: (limits.prices[d], d))
        reclaimable_targets = self._reclaimable_targets(
            limits, available, domains, required_count, now_s
        )
        counts = {
            (domain, True): count
            for domain, count in reclaimable_targets.items()
        }
        ready = sum(
            min(_count(available, domain, True), reclaimable_targets[domain])
            for domain in domains
        )
        # On-demand endpoints stay until reclaimable ones replace them.
        short = max(0, required_count - ready)
        for domain in domains:
            on_demand = min(_count(available, domain, False), short)
            short -= on_demand
            counts[domain, False] = on_demand
        missing = required_count - sum(counts.values())
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
        required_count: int,
        now_s: float,
    ) -> dict[str, int]:
        """Return the planned number of reclaimable endpoints, by domain.

        They suffice for the load even if all those of any one domain are
        lost.  Existing endpoints are not moved to another domain: for a
        while both the old and the new one would be paid for, without a gain
        in capacity.
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
        while sum(counts.values()) - max(counts.values()) < required_count:
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
            if sum(counts.values()) - max(counts.values()) < required_count:
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
        """Return a domain's reclaimable endpoints, pending ones included."""
        count = _count(available, domain, True)
        ordered_count, at_s = self.ordered.get(
            (domain, True), (0, float('-inf'))
        )
        is_pending = now_s < at_s + limits.boot_s + REGISTRATION_S
        return max(count, ordered_count) if is_pending else count

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
        ordered_count, at_s = self.ordered.get(kind, (None, float('-inf')))
        if target != ordered_count:
            # A reduction of reclaimable endpoints is never urgent.
            return (
                not kind[1] or target > count or self._is_surplus(kind, now_s)
            )
        if now_s < at_s + limits.boot_s + REGISTRATION_S:
            return False
        return target > count or self._is_surplus(kind, now_s)

    def _is_surplus(self, kind: Kind, now_s: float) -> bool:
        """Whether the surplus has outlasted any replacement in progress."""
        return now_s - self.surplus_since_s.get(kind, now_s) >= SURPLUS_DELAY_S

    def record_accepted(self, order: ScaleOrder, now_s: float) -> None:
        """Record an order that was, or may have been, accepted."""
        kind = (order.failure_domain, order.reclaimable)
        self.ordered[kind] = (order.count, now_s)
        self.surplus_since_s.pop(kind, None)

    def record_unavailable(self, order: ScaleOrder, now_s: float) -> None:
        """Record that the ordered kind is unavailable in the domain."""
        kind = (order.failure_domain, order.reclaimable)
        self.unavailable_until_s[kind] = now_s + UNAVAILABLE_RETRY_S


def _count(
    available: Mapping[str, AvailableCapacity], domain: str, reclaimable: bool
) -> int:
    capacity = available.get(domain, AvailableCapacity())
    return capacity.reclaimable if reclaimable else capacity.on_demand
