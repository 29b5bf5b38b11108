"""Tests of the autoscaler: endpoints by kind and failure domain."""

import hypothesis
from hypothesis import strategies

from magnoliadyke.core import autoscaler

PRICES = {'a': 0.85, 'b': 1.2, 'c': 1.0, 'd': 1.1}
LIMITS = autoscaler.ScalingLimits(1, 9, 4.0, 0.15, PRICES)


class Platform:
    """Carries orders out after a while, on a paused clock."""

    def __init__(self, limits=LIMITS, **on_demand):
        self.limits = limits
        self.plan = autoscaler.Autoscaler('s')
        self.present = {
            d: autoscaler.AvailableCapacity(n) for d, n in on_demand.items()
        }
        self.scarce = set()
        self.coming = []
        self.orders = []
        self.now_s = 0.0
        self.least = sum(on_demand.values())

    def run(self, required_count, for_s):
        until_s = self.now_s + for_s
        while self.now_s < until_s:
            self._carry_out()
            orders = self.plan.decide(
                self.limits, self.present, required_count, self.now_s
            )
            for order in orders:
                self._take(order)
            total = sum(sum(each) for each in self.present.values())
            self.least = min(self.least, total)
            self.now_s += 0.5
        return self

    def _take(self, order):
        if order.reclaimable and order.failure_domain in self.scarce:
            self.plan.record_unavailable(order, self.now_s)
            return
        self.orders.append(order)
        self.plan.record_accepted(order, self.now_s)
        count = self.present.get(
            order.failure_domain, autoscaler.AvailableCapacity()
        )
        more = order.count > count[order.reclaimable]
        due_s = self.now_s + (self.limits.boot_s if more else 0.0)
        self.coming.append((due_s, order))

    def _carry_out(self):
        due = [each for each in self.coming if each[0] <= self.now_s]
        self.coming = [each for each in self.coming if each[0] > self.now_s]
        for _, order in due:
            domain = order.failure_domain
            if order.reclaimable and domain in self.scarce:
                continue
            there = self.present.get(domain, autoscaler.AvailableCapacity())
            name = 'reclaimable' if order.reclaimable else 'on_demand'
            self.present[domain] = there._replace(**{name: order.count})

    def reclaim(self, domain):
        there = self.present[domain]
        self.present[domain] = there._replace(reclaimable=0)
        self.scarce.add(domain)

    def counts(self):
        on_demand = sum(each.on_demand for each in self.present.values())
        return on_demand, [each.reclaimable for each in self.present.values()]


def test_cheap_kind_replaces_the_other_and_covers_the_loss_of_a_domain():
    platform = Platform(a=5, b=5, c=4, d=4).run(18, 20.0)
    on_demand, cheap = platform.counts()
    assert on_demand == 0
    assert sum(cheap) - max(cheap) >= 18
    assert platform.least >= 18


def test_loss_of_a_domain_is_made_up_for_in_the_others():
    """None of the kind is to be had there for a while."""
    platform = Platform(a=5, b=5, c=4, d=4).run(18, 20.0)
    platform.reclaim('d')
    platform.run(18, 8.0)
    on_demand, cheap = platform.counts()
    assert sum(cheap) + on_demand >= 18
    assert sum(cheap) - max(cheap) >= 18
    asked = [o for o in platform.orders if o.failure_domain == 'd']
    platform.scarce.clear()
    platform.run(18, 30.0)
    again = [o for o in platform.orders if o.failure_domain == 'd']
    assert len(again) - len(asked) <= 1


def test_where_none_of_the_cheap_kind_is_to_be_had_the_other_is_ordered():
    platform = Platform(a=1)
    platform.scarce = set(PRICES)
    platform.run(6, 30.0)
    on_demand, cheap = platform.counts()
    assert sum(cheap) == 0
    assert on_demand == 6
    assert platform.present['a'].on_demand == 6


def test_kind_that_is_no_cheaper_is_not_ordered():
    limits = LIMITS._replace(reclaimable_price=1.0)
    platform = Platform(limits, a=3, b=3).run(6, 20.0)
    assert platform.counts() == (6, [0, 0])
    assert not platform.orders


def test_endpoints_that_replace_others_are_not_sent_away():
    """A release starts the new ones before the old ones leave."""
    platform = Platform(a=5, b=5, c=4, d=4).run(18, 30.0)
    ordered = len(platform.orders)
    before = dict(platform.present)
    for domain, there in before.items():
        more = there._replace(reclaimable=there.reclaimable + 1)
        platform.present[domain] = more
        platform.run(18, 3.0)
        platform.present[domain] = there
    assert len(platform.orders) == ordered


def test_surplus_that_stays_is_ordered_away():
    platform = Platform(a=5, b=5, c=4, d=4).run(18, 30.0)
    there = platform.present['b']
    platform.present['b'] = there._replace(on_demand=4)
    platform.run(18, 20.0)
    assert platform.present['b'].on_demand == 0


@hypothesis.settings(derandomize=True, max_examples=60, deadline=None)
@hypothesis.given(
    strategies.dictionaries(
        strategies.sampled_from('abcd'), strategies.integers(0, 9), min_size=1
    ),
    strategies.integers(1, 40),
    strategies.integers(1, 12),
    strategies.sampled_from((0.1, 0.5, 0.9, 1.0)),
    strategies.sets(strategies.sampled_from('abcd')),
)
def test_plan_settles_within_the_limits(
    on_demand, required_count, max_endpoints, share, scarce
):
    limits = LIMITS._replace(
        max_endpoints=max_endpoints, reclaimable_price=share
    )
    present = {d: min(n, max_endpoints) for d, n in on_demand.items()}
    platform = Platform(limits, **present)
    platform.scarce = scarce
    platform.run(required_count, 60.0)
    settled = len(platform.orders)
    platform.run(required_count, 30.0)
    assert len(platform.orders) == settled
    for there in platform.present.values():
        assert sum(there) <= max_endpoints
    total = sum(sum(each) for each in platform.present.values())
    assert total >= min(required_count, max_endpoints * len(PRICES))
