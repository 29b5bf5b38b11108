"""Tests of the sums that a pool's queue keeps."""

import types

import hypothesis
import hypothesis.strategies as st
import pytest

from magnoliadyke.core import admission
from magnoliadyke.core import jobs
from magnoliadyke.core import pools


def make_pool():
    endpoints = types.SimpleNamespace(name='p', members=[None] * 5)
    return pools.PoolQueue(endpoints, admission.DEFAULT_SETTINGS)


def make_waiting(priority, prefill_s, customer='lease'):
    job = jobs.Job('j', customer, 'p', priority=priority)
    return types.SimpleNamespace(job=job, prefill_s=prefill_s, decode_s=1.0)


def test_sums_by_priority_and_of_all():
    pool = make_pool()
    urgent, normal = make_waiting(2, 0.1), make_waiting(5, 0.6)
    for run in (urgent, normal, make_waiting(5, 3.0, 'portal')):
        pool.update_waiting(run, 1)
    assert pool.waiting_ahead('lease', 2) == (0.1, 1.0)
    assert pool.waiting_ahead('lease', 5) == (0.7, 2.0)
    assert pool.waiting_count('lease') == 2
    assert pool.backlog()[0] == 3
    pool.update_waiting(urgent, -1)
    assert pool.waiting_ahead('lease', 5) == (0.6, 1.0)


def test_the_mix_tells_what_goes_before_a_priority():
    pool = make_pool()
    assert pool.priority_share(2) == 1.0
    for _ in range(500):
        pool.record_prompt_priority(5, 0.9)
        pool.record_prompt_priority(2, 0.1)
    assert 0.08 < pool.priority_share(2) < 0.12
    assert pool.priority_share(5) == 1.0


def arrive(pool, customer, prefill_s, decode_s, seconds=60):
    job = jobs.Job('j', customer, 'p')
    run = types.SimpleNamespace(
        job=job, prefill_s=prefill_s / 10, decode_s=decode_s / 10
    )
    for number in range(seconds * 10):
        pool.record_arrival(run, number / 10)


def test_a_flood_is_told_as_far_as_it_will_be_served():
    # The portal asks for seven engines of five, mostly decode; it will be
    # served the one that lease leaves. Were all of it told, the pool would
    # be turned to decode and lease's prompts would go unread.
    pool = make_pool()
    pool.queue.set_weight('lease', 8)
    pool.queue.set_weight('portal', 2)
    arrive(pool, 'lease', 2.4, 1.5)
    arrive(pool, 'portal', 2.0, 5.0)
    news = pool.demand_report(60.0)
    assert news.arriving_s_per_s == pytest.approx(10.9, rel=0.05)
    total = news.prefill_s_per_s + news.decode_s_per_s
    assert total == pytest.approx(5.0, rel=0.05)
    assert news.prefill_s_per_s == pytest.approx(2.4 + 1.1 * 2 / 7, rel=0.05)


@hypothesis.given(
    st.lists(st.floats(0.01, 10), min_size=1, max_size=6),
    st.lists(st.floats(0.1, 10), min_size=6, max_size=6),
)
def test_fair_parts_fill_the_capacity_and_no_more(demands, weights):
    pool = make_pool()
    for number, (demand, weight) in enumerate(
        zip(demands, weights, strict=False)
    ):
        pool.queue.set_weight(f'c{number}', weight)
        pool.arrivals[f'c{number}'] = pools.Arrivals(0.0)
        pool.arrivals[f'c{number}'].sustained.per_s = demand
    parts = pool.fair_shares(5.0, 0.0)
    served = [parts[f'c{n}'] * demand for n, demand in enumerate(demands)]
    assert sum(served) == pytest.approx(min(5.0, sum(demands)), rel=1e-6)
    entitled = [
        5.0 * weight / sum(weights[: len(demands)]) for weight in weights
    ]
    for got, demand, least in zip(served, demands, entitled, strict=False):
        assert got >= min(demand, least) * (1 - 1e-6)
