"""Tests of weighted fair queueing."""

import hypothesis
import hypothesis.strategies as st
import pytest

from magnoliadyke.core import fairness

CUSTOMERS = ('lease', 'portal', 'floor')


def serve(queue, cost_s):
    customer = queue.customers_by_counter()[0]
    queue.remove(queue.next_job(customer))
    queue.charge(customer, cost_s)
    return customer


def test_backlogged_customers_are_served_by_weight():
    queue = fairness.FairQueue()
    queue.set_weight('lease', 8)
    queue.set_weight('portal', 2)
    for number in range(1000):
        queue.push(f'l{number}', 'lease', number)
        queue.push(f'p{number}', 'portal', number)
    served = [serve(queue, 1.0) for _ in range(500)]
    assert served.count('lease') == pytest.approx(400, abs=2)


def test_idleness_earns_no_credit():
    # The portal is idle while lease is served for an hour, then floods.
    # Without the lift it would be served alone until it had caught up,
    # and lease would wait for an hour.
    queue = fairness.FairQueue()
    for number in range(2000):
        queue.push(f'l{number}', 'lease', number)
    for _ in range(1000):
        serve(queue, 3.6)
    for number in range(100):
        queue.push(f'p{number}', 'portal', number)
    served = [serve(queue, 1.0) for _ in range(100)]
    assert served.count('lease') >= 49


def test_service_elsewhere_counts_up_to_a_lead():
    # A digest that comes late tells of an hour's service on other nodes.
    # It may cost the customer its next turns, but not an hour of them.
    queue = fairness.FairQueue(max_lead_s=10.0)
    for number in range(100):
        queue.push(f'l{number}', 'lease', number)
        queue.push(f'p{number}', 'portal', number)
    queue.charge_remote('lease', 3600.0)
    served = [serve(queue, 1.0) for _ in range(30)]
    assert served[:9] == ['portal'] * 9
    assert 'lease' in served[9:12]


def test_own_order_is_by_key_and_skips_the_removed():
    queue = fairness.FairQueue()
    for job_id, key in (('slow', 5), ('urgent', 0), ('gone', 1)):
        queue.push(job_id, 'lease', key)
    queue.remove('gone')
    assert queue.next_jobs('lease', 4) == ['urgent', 'slow']
    assert not queue.remove('gone')


steps = st.lists(
    st.tuples(
        st.sampled_from(('push', 'serve', 'correct', 'remote')),
        st.sampled_from(CUSTOMERS),
        st.floats(0.001, 100),
    ),
    max_size=200,
)


@hypothesis.given(steps)
def test_counters_conserve(script):
    queue = fairness.FairQueue(max_lead_s=float('inf'))
    weights = dict(zip(CUSTOMERS, (8, 2, 0.5), strict=True))
    remote = dict.fromkeys(CUSTOMERS, 0.0)
    for customer, weight in weights.items():
        queue.set_weight(customer, weight)
        queue.counters[customer] = 0.0
    for number, (kind, customer, cost_s) in enumerate(script):
        if kind == 'push':
            queue.push(number, customer, cost_s)
        elif kind == 'serve' and len(queue):
            least = min(queue.counters[each] for each in queue.heaps)
            assert queue.counters[serve(queue, cost_s)] >= least
        elif kind == 'correct':
            queue.charge(customer, -cost_s)
        elif kind == 'remote':
            queue.charge_remote(customer, cost_s)
            remote[customer] += cost_s
    for customer, weight in weights.items():
        counted = queue.counters[customer] * weight
        known = queue.served.get(customer, 0.0) + remote[customer]
        known += queue.raised_s.get(customer, 0.0)
        assert counted == pytest.approx(known, abs=1e-6)
