"""Repeats within the fleet's allowance."""

import hypothesis
from hypothesis import strategies

from magnoliadyke.core import retrybudget


def test_share_of_a_host():
    budget = retrybudget.RetryBudget(0.2, 56, 10.0)
    budget.hosts = 8
    taken = sum(budget.take(1.0) for _ in range(100))
    assert taken == int(56 / 8 * retrybudget.SPENT_SHARE)


def test_requests_add_to_it():
    budget = retrybudget.RetryBudget(0.2, 0, 10.0)
    for _ in range(100):
        budget.request(1.0)
    taken = sum(budget.take(1.0) for _ in range(100))
    assert taken == int(100 * 0.2 * retrybudget.SPENT_SHARE)


def test_window_slides():
    budget = retrybudget.RetryBudget(0.0, 10, 10.0)
    assert sum(budget.take(0.0) for _ in range(20)) == 7
    assert not budget.take(9.0)
    assert budget.take(12.0)


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
            budget.request(now_s)
            requests.append(now_s)
        elif budget.take(now_s):
            repeats.append(now_s)
    for start_s in repeats:
        inside = sum(start_s <= t < start_s + 10 for t in repeats)
        # Requests of the window before it count too, by the rule.
        asked = sum(start_s - 10 <= t < start_s + 10 for t in requests)
        assert inside <= 0.2 * asked + 20
