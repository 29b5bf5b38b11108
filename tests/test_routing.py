"""Tests of the choice of endpoints."""

import random

import pytest

from magnoliadyke.core import costs
from magnoliadyke.core import jobs
from magnoliadyke.core import prefixes
from magnoliadyke.core import routing

CONTEXT = routing.PlacementContext(spare_s=2.0)


def make_pool(prefills=2, decodes=3):
    roles = ['prefill'] * prefills + ['decode'] * decodes
    members = [
        routing.Endpoint(
            jobs.EndpointInfo(f'e{number}', 'p', 'model', '', role=role)
        )
        for number, role in enumerate(roles)
    ]
    return routing.Pool('p', 'model', members, len(members))


def make_router(seed=1, **settings):
    return routing.Router(
        costs.CostModels(),
        prefixes.PrefixCacheEstimate(),
        random.Random(seed),
        routing.RoutingSettings(**settings),
    )


def make_job(prompt=3000, output=60, blocks=(), priority=5):
    return jobs.Job(
        'j', 'lease', 'p', 'model', 'm', prompt, output, blocks, priority
    )


def fill_prompts(pool, role, seconds):
    for number, endpoint in enumerate(pool.by_role[role]):
        endpoint.load.add_prompt(f'x{number}', 5, seconds, 0.0)


def test_a_long_prompt_is_split_over_two_engines():
    placement = make_router().place(make_job(), make_pool(), CONTEXT, 0.0)
    assert placement.prefill.role == 'prefill'
    assert placement.endpoint.role == 'decode'
    assert placement.first_token_s == pytest.approx(0.65, abs=0.05)


def test_a_short_prompt_goes_to_a_decode_engine_when_that_is_sooner():
    pool = make_pool()
    fill_prompts(pool, 'prefill', 1.0)
    placement = make_router().place(make_job(200, 80), pool, CONTEXT, 0.0)
    assert placement.mixed()
    assert placement.endpoint.role == 'decode'


def test_a_long_prompt_waits_rather_than_be_late_on_a_decode_engine():
    pool = make_pool()
    fill_prompts(pool, 'prefill', 0.5)
    assert make_router().place(make_job(4000), pool, CONTEXT, 0.0) is None


def test_full_engines_take_nothing():
    pool = make_pool()
    for endpoint in pool.by_role['decode']:
        endpoint.load.streams.add(64, 0.0)
    assert make_router().place(make_job(), pool, CONTEXT, 0.0) is None


def test_the_cached_prefix_decides_until_its_engine_is_busy():
    # A hot prefix draws all its requests to one engine. When that is busy
    # for longer than reading the prefix anew takes, another engine does it
    # and holds the prefix from then on.
    pool = make_pool(prefills=4)
    router = make_router()
    blocks = tuple(f'b{number}' for number in range(40))
    router.cache_estimate.record_sent('e2', blocks)
    job = make_job(blocks=blocks)
    for _ in range(20):
        assert router.place(job, pool, CONTEXT, 0.0).prefill.name == 'e2'
    pool.by_role['prefill'][2].load.add_prompt('x', 5, 0.9, 0.0)
    assert router.place(job, pool, CONTEXT, 0.0).prefill.name != 'e2'


def test_a_customer_ahead_of_its_share_does_not_overtake_in_the_engine():
    # The portal floods with urgent requests. The engine reads urgent ones
    # first, so it would never be free for the lease file whose turn it is.
    pool = make_pool(decodes=1)
    fill_prompts(pool, 'prefill', 0.5)
    pool.by_role['decode'][0].load.add_prompt('y', 5, 0.5, 0.0)
    job = make_job(150, 60, priority=2)
    router = make_router()
    assert router.place(job, pool, CONTEXT, 0.0) is not None
    behind = CONTEXT._replace(first=False)
    assert router.place(job, pool, behind, 0.0) is None


def test_leaving_endpoints_and_those_kept_for_a_suspect_are_left_out():
    pool = make_pool(prefills=2, decodes=2)
    pool.by_role['decode'][0].health.record_observation('leaving', 0.0)
    pool.by_role['prefill'][0].is_reserved_for_trial = True
    pool.rebuild_by_role()
    router = make_router()
    for _ in range(20):
        placement = router.place(make_job(), pool, CONTEXT, 0.0)
        assert placement.endpoint.name == 'e3'
        assert placement.prefill.name == 'e1'


def test_one_role_alone_does_both_phases():
    for pool in (make_pool(0, 2), make_pool(2, 0)):
        placement = make_router().place(make_job(), pool, CONTEXT, 0.0)
        assert placement.mixed()


def test_memory_of_an_engine_is_respected():
    pool = make_pool(decodes=2)
    for endpoint in pool.by_role['decode']:
        endpoint.load.kv_capacity = 10_000
    pool.by_role['decode'][0].load.kv_tokens.add(8000, 0.0)
    pool.by_role['decode'][0].load.streams.add(1, 0.0)
    pool.by_role['decode'][1].load.streams.add(30, 0.0)
    placement = make_router().place(make_job(), pool, CONTEXT, 0.0)
    assert placement.endpoint.name == 'e3'


def test_nodes_with_the_same_view_choose_different_engines():
    chosen = set()
    for seed in range(8):
        router = make_router(seed)
        placement = router.place(make_job(), make_pool(4, 4), CONTEXT, 0.0)
        chosen.add(placement.endpoint.name)
    assert len(chosen) >= 3


def test_old_reports_do_not_send_all_nodes_to_one_engine():
    # Reports say that other nodes' prompts wait at one engine and not at
    # the other. All nodes read the same, so that the second one will be the
    # busier a moment later if each of them believes it.
    pool = make_pool()
    for number, endpoint in enumerate(pool.by_role['prefill']):
        endpoint.load.peers.report(0.5 * number, 0.0)
        endpoint.load.peers.mean_s = 0.3
    router = make_router()
    places = [
        router.place(make_job(), pool, CONTEXT, 0.0).prefill.name
        for _ in range(200)
    ]
    assert 0.15 < places.count('e1') / len(places) < 0.4


def test_a_big_pool_is_used_in_even_parts():
    infos = [
        jobs.EndpointInfo(f'e{number}', 'p', 'model', '')
        for number in range(600)
    ]
    used = dict.fromkeys((info.name for info in infos), 0)
    for salt in range(100):
        chosen = routing.select_subset(infos, 60, salt)
        assert len(chosen) == 60
        for info in chosen:
            used[info.name] += 1
    assert min(used.values()) >= 1
    assert max(used.values()) <= 25
