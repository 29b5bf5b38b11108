"""Endpoints of a plain service, by what they cost a caller."""

import random

from magnoliadyke.core import balance
from magnoliadyke.core import catalog


def endpoint(name, domain='z1'):
    return catalog.Endpoint(
        name, 's', f'{name}:1', domain, 6, False, catalog.Stage.NONE
    )


def balancer():
    return balance.Balancer('z1', random.Random(1))


def chosen(made, endpoints, now_s=0.0, times=50):
    names = []
    for _ in range(times):
        each = made.choose(endpoints, set(), now_s)
        names.append(each.id)
        made.record_sent(each.id)
        made.record_answer(each.id, 0.02, False)
    return names


def test_own_failure_domain_when_equal():
    names = chosen(balancer(), [endpoint('far', 'z2'), endpoint('near')])
    assert set(names) == {'near'}


def test_slow_endpoint_is_avoided():
    made = balancer()
    for _ in range(10):
        made.record_sent('slow')
        made.record_answer('slow', 0.2, False)
    names = chosen(made, [endpoint('slow'), endpoint('far', 'z2')])
    assert set(names) == {'far'}


def test_endpoint_that_fails_some_requests_is_avoided():
    """It answers at once with failures and its health is good."""
    made = balancer()
    for number in range(20):
        made.record_sent('grey')
        made.record_answer('grey', 0.001, number % 2 == 0)
    names = chosen(made, [endpoint('grey'), endpoint('far', 'z2')])
    assert names.count('far') > 40


def test_busy_endpoint_shares():
    made = balancer()
    for _ in range(12):
        made.record_sent('near')
    assert (
        made.choose([endpoint('near'), endpoint('far', 'z2')], set(), 0.0).id
        == 'far'
    )


def test_unreachable_endpoint_rests_and_is_tried_again():
    made = balancer()
    for _ in range(2):
        made.record_sent('near')
        made.record_failure('near', 0.0)
    both = [endpoint('near'), endpoint('far', 'z2')]
    assert made.choose(both, set(), 0.1).id == 'far'
    assert made.choose([endpoint('near')], set(), 0.1).id == 'near'


def test_nobody_left():
    assert balancer().choose([endpoint('a')], {'a'}, 0.0) is None


def test_gone_endpoints_are_forgotten():
    made = balancer()
    chosen(made, [endpoint('near')], times=1)
    made.drop_unlisted(set())
    assert not made.stats_by_id
