"""Tests for the budget of calls to the store."""

import random

import pytest

from magnoliadyke.core import budget

SETTINGS = budget.BudgetSettings()
LEASE = budget.CallKind.LEASE
WATCH = budget.CallKind.WATCH
READ = budget.CallKind.TABLE_READ


def a_budget(seed=1):
    return budget.StoreBudget(SETTINGS, random.Random(seed))


def grants(one, kind, now_s):
    """Calls granted until the first refusal."""
    count = 0
    while isinstance(one.try_acquire(kind, now_s), budget.Granted):
        count += 1
    return count


def test_urgent_kinds_find_a_reserve():
    one = a_budget()
    assert grants(one, WATCH, 0.0) < grants(a_budget(), LEASE, 0.0)
    assert grants(one, LEASE, 0.0) == pytest.approx(20, abs=1)


def test_rate_is_split_among_nodes():
    one = a_budget()
    one.set_nodes(420)
    grants(one, LEASE, 0.0)
    assert grants(one, LEASE, 30.0) == pytest.approx(
        30 * SETTINGS.fleet_rate_s / 420, abs=1
    )


def test_pauses_grow_but_leases_are_never_held_up_for_long():
    one = a_budget()
    for _ in range(10):
        one.record_failure(READ, 0.0)
        one.record_failure(LEASE, 0.0)
    assert one.try_acquire(READ, 0.0).after_s > SETTINGS.max_backoff_s / 2
    assert one.try_acquire(LEASE, 0.0).after_s < 0.5


def test_no_herd_when_the_store_returns():
    """All nodes notice the return of the store within one lease renewal.

    Each would then read the table and open its watch at once; the calls
    that can wait are spread out instead.
    """
    starts = []
    for seed in range(420):
        one = a_budget(seed)
        one.record_failure(LEASE, 0.0)
        one.record_failure(WATCH, 0.0)
        one.record_success(LEASE, 1.0)
        answer = one.try_acquire(WATCH, 1.0)
        starts.append(getattr(answer, 'after_s', 0.0))
    for quarter in range(4):
        low_s = SETTINGS.spread_s * quarter / 4
        high_s = low_s + SETTINGS.spread_s / 4
        inside = [s for s in starts if low_s <= s < high_s]
        assert 60 < len(inside) < 150


def test_refusal_for_the_rate_halves_it():
    one = a_budget()
    one.record_throttling(READ, 0.0, retry_after_s=3.0)
    assert one.rate_s == SETTINGS.rate_s / 2
    assert one.try_acquire(READ, 0.0).after_s >= 3.0
    for _ in range(20):
        one.record_success(READ, 4.0)
    assert one.rate_s == SETTINGS.rate_s
