"""Tests of deadlines, predicted waits and refusals."""

import random

import pytest

from magnoliadyke.core import admission
from magnoliadyke.core import jobs


def make_job(**fields):
    return jobs.Job('j', 'lease', 'lease-model', arrived_s=100.0, **fields)


def test_a_job_starts_early_enough_for_its_objective():
    timing = admission.timing(make_job(first_token_s=2.0), 0.5, 20.0)
    assert timing.strict
    assert timing.latest_start_s == pytest.approx(101.5)


def test_the_longest_wait_of_the_table_bounds_it():
    timing = admission.timing(make_job(first_token_s=30.0), 0.5, 5.0)
    assert timing.latest_start_s == 105.0


def test_an_objective_out_of_reach_is_served_late():
    # A prompt so long that no engine reads it in time. Refusing it would
    # refuse it for ever; it is served, and isn't held to the objective.
    timing = admission.timing(make_job(first_token_s=2.0), 6.0, 20.0)
    assert not timing.strict
    assert timing.latest_start_s == pytest.approx(106.0)


def test_background_work_waits_as_long_as_the_table_lets_it():
    timing = admission.timing(make_job(priority=8), 0.5, 20.0)
    assert timing.latest_start_s == 120.0
    assert not timing.strict


def test_the_tighter_phase_decides_the_wait():
    capacity = admission.Capacity(2.0, 3.0)
    assert admission.predicted_wait_s(4.0, 0.0, capacity, 0.5) == 4.0
    assert admission.predicted_wait_s(4.0, 12.0, capacity, 0.5) == 8.0
    assert (
        admission.predicted_wait_s(4.0, 1.0, admission.Capacity(0, 0), 1) == 0
    )


def test_retry_times_are_spread():
    rng = random.Random(1)
    times = {admission.retry_after_s(4.0, rng) for _ in range(100)}
    assert len(times) > 90
    assert min(times) >= 4.0
    assert max(times) <= 6.0


def test_the_error_quantile_is_followed():
    rng = random.Random(1)
    quantile = admission.ErrorQuantile(0.9, 0.01)
    for _ in range(5000):
        quantile.add(rng.random())
    assert quantile.value == pytest.approx(0.9, abs=0.06)


def test_overload_sends_callers_away_for_longer():
    # Nine of ten requests are refused. The queue is short, since all that
    # would be late is shed, so its length alone would bring them all back
    # within a second to be refused again.
    rng = random.Random(1)
    refusals = admission.RefusalShares()
    for number in range(1000):
        refusals.add('lease', number % 10 > 0)
    attempts = refusals.attempts('lease')
    assert 8 < attempts < 13
    assert refusals.attempts('portal') == 1.0
    calm = admission.overloaded(0.5, rng)
    busy = admission.overloaded(0.5, rng, attempts)
    assert busy.retry_after_s > 4 * calm.retry_after_s
