"""Tests of the sums that a pool's queue keeps."""

import types

from magnoliadyke.core import admission
from magnoliadyke.core import jobs
from magnoliadyke.core import pools


def make_pool():
    endpoints = types.SimpleNamespace(name='p')
    return pools.PoolQueue(endpoints, admission.DEFAULT_SETTINGS)


def make_waiting(priority, prefill_s, customer='lease'):
    job = jobs.Job('j', customer, 'p', priority=priority)
    return types.SimpleNamespace(job=job, prefill_s=prefill_s, decode_s=1.0)


def test_sums_by_priority_and_of_all():
    pool = make_pool()
    urgent, normal = make_waiting(2, 0.1), make_waiting(5, 0.6)
    for run in (urgent, normal, make_waiting(5, 3.0, 'portal')):
        pool.count(run, 1)
    assert pool.ahead('lease', 2) == (0.1, 1.0)
    assert pool.ahead('lease', 5) == (0.7, 2.0)
    assert pool.waiting_count('lease') == 2
    assert pool.backlog()[0] == 3
    pool.count(urgent, -1)
    assert pool.ahead('lease', 5) == (0.6, 1.0)


def test_the_mix_tells_what_goes_before_a_priority():
    pool = make_pool()
    assert pool.mix_before(2) == 1.0
    for _ in range(500):
        pool.note_mix(5, 0.9)
        pool.note_mix(2, 0.1)
    assert 0.08 < pool.mix_before(2) < 0.12
    assert pool.mix_before(5) == 1.0
