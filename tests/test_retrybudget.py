"""Repeats within the fleet's allowance."""

import hypothesis
from hypothesis import strategies

from magnoliadyke.core import retrybudget


def test_share_of_a_host():
    budget = retrybudget.RetryBudget(0.2, 56, 10.0)
    budget.hosts = 8
    taken = sum(budget.try_acquire(1.0) for _ in range(100))
    assert taken == int(56 / 8 * retrybudget.USABLE_SHARE)


def test_requests_add_to_it():
    budget = retrybudget.RetryBudget(0.2, 0, 10.0)
    for _ in range(100):
        budget.record_request(1.0)
    taken = sum(budget.try_acquire(1.0) for _ in range(100))
    assert taken == int(100 * 0.2 * retrybudget.USABLE_SHARE)


def test_window_slides():
    budget = retrybudget.RetryBudget(0.0, 10, 10.0)
    assert sum(budget.try_acquire(0.0) for _ in range(20)) == 7
    assert not budget.try_acquire(9.0)
    assert budget.try_acquire(12.0)


@hypothesis.settings(derandomize=True, max_examples=60)
@hypothesis.given(
    strategies.lists(
        strategies.tuples(strategies.floats(0, 0.5), strategies.booleans()),
        max_size=300,
    )
)
def test_no_window_holds_more_than_the_allowance(steps):
    budget = retrybudget.RetryBudget(0.2, 20, 10.0)
    now_s = 0.0
    requests = []
    repeats = []
    for pause_s, is_request in steps:
        now_s += pause_s
        if is_request:
            budget.record_request(now_s)
            requests.append(now_s)
        elif budget.try_acquire(now_s):
            repeats.append(now_s)
    for start_s in repeats:
        inside = sum(start_s <= t < start_s + 10 for t in repeats)
        # Requests of the window before it count too, by the rule.
        asked = sum(start_s - 10 <= t < start_s + 10 for t in requests)
        assert inside <= 0.2 * asked + 20
