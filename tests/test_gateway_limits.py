"""Endpoints that name the requests per second they take from all hosts."""

import bisect
import time

import gevent
import pytest

from tests import gatewayworld

LONG = gatewayworld.prompt((0xA, 4000), (0xB, 2000))
CHAT = gatewayworld.prompt((0x1, 40), (0x2, 60))
RATE_S = 10.0
HOSTS = 3
#: Time for which requests are counted, in seconds.
COUNTED_S = 4.0
#: Share of the limit that a caller who always has a request waiting gets.
LEAST_USED = 0.6


@pytest.fixture
def world():
    with gatewayworld.world() as made:
        made.configure()
        yield made


def hosts(world, count=HOSTS):
    """Start nodes that know of each other and of one leader."""
    for _ in range(count):
        world.node()
    gatewayworld.wait_for(
        lambda: all(n.members.count() == count for n in world.nodes),
        'all hosts',
    )
    gatewayworld.wait_for(
        lambda: all(
            n.placement_service.leading or n.placement_service.leader
            for n in world.nodes
        ),
        'a leader',
    )


def ask_all(world, path, number, **headers):
    """Ask each node once; the statuses."""
    asking = [
        gevent.spawn(
            world.ask, path, request_id=f'{number}-{n}', node=n, **headers
        )
        for n in range(len(world.nodes))
    ]
    gevent.joinall(asking, raise_error=True)
    return [each.value.status for each in asking]


def press(world, paths, for_s):
    """Keep asking all nodes on all paths for some time."""
    started_s = world.nodes[0].clock.now_s()
    number = 0

    def ask_on(path, headers):
        nonlocal number
        while world.nodes[0].clock.now_s() < started_s + for_s:
            number += 1
            ask_all(world, path, f'{path}{number}', **headers)
            gevent.sleep(0.02)

    gevent.joinall(
        [gevent.spawn(ask_on, path, headers) for path, headers in paths],
        raise_error=True,
    )


def counted(world, endpoint, paths):
    """Let all nodes learn of the limit; then count the arrivals.

    :returns: the most arrivals in any window, and the mean number in one
    """
    press(world, paths, 1.5)
    endpoint.arrivals.clear()
    press(world, paths, COUNTED_S + 1)
    times = [each.at_s for each in endpoint.arrivals]
    assert times, 'nothing arrived'
    most = max(
        bisect.bisect(times, first_s + COUNTED_S) - number
        for number, first_s in enumerate(times)
    )
    return most, len(times) * COUNTED_S / (times[-1] - times[0])


@pytest.mark.parametrize(
    'stage, paths',
    [
        ('', [('/safe/x', {}), ('/unsafe/x', {})]),
        ('prefill', [('/chat/a', LONG)]),
        ('decode', [('/chat/a', LONG), ('/once/a', CHAT)]),
    ],
)
def test_all_hosts_together_keep_an_endpoint_s_limit(world, stage, paths):
    """An endpoint got all requests that its hosts chose it for."""
    world.endpoint('p1')
    world.endpoint('e-prefill', 'model', 'prefill')
    world.endpoint('e-decode', 'model', 'decode')
    limited = world.endpoints[f'e-{stage}' if stage else 'p1']
    limited.rate_limit = b'%g' % RATE_S
    hosts(world)
    most, mean = counted(world, limited, paths)
    assert most <= RATE_S * COUNTED_S * 1.25
    assert mean >= RATE_S * COUNTED_S * LEAST_USED


def learn(world, endpoint, node=0, path='/safe/x', **headers):
    """Let a node get an answer that names the endpoint's limit."""
    world.ask(path, node=node, **headers)
    limits = world.nodes[node].limits
    gatewayworld.wait_for(
        lambda: limits.is_limited(_id(world, endpoint)), 'the limit'
    )


def _id(world, endpoint):
    return world.nodes[0].catalog.by_name[endpoint.name]


def test_request_beyond_a_limit_is_refused_at_once(world):
    """It waited for its deadline, or counted as a failure."""
    limited = world.endpoint('p1')
    limited.rate_limit = b'0.5'
    node = world.node()
    learn(world, limited)
    gevent.sleep(1.0)
    statuses = [world.ask('/safe/x', request_id=f'a{n}') for n in range(4)]
    refused = [head for head in statuses if head.status == 503]
    assert len(refused) >= 3
    for head in refused:
        assert 0.1 < float(head.value(b'retry-after')) <= 4.0
    stats = node.balancer.stats_by_id[_id(world, limited)]
    assert (stats.unreachable, stats.in_flight) == (0, 0)
    assert stats.failure_rate == 0.0


def test_caller_who_returns_finds_room_under_a_limit_first(world):
    """Refused again, a caller who returns gets no answer at all."""
    limited = world.endpoint('p1')
    limited.rate_limit = b'2'
    hosts(world, 1)
    node = world.nodes[0]
    learn(world, limited)
    gatewayworld.wait_for(
        lambda: world.ask('/safe/x').status == 503, 'the limit to be used up'
    )
    node.limits.denials.clear()
    assert world.ask('/safe/x', request_id='first').status == 503
    node.limits.denials.clear()
    again = world.ask('/safe/x', request_id='again', X_Deadline_Ms=1800)
    assert again.status == 200


def test_endpoint_without_a_limit_serves_what_a_limited_one_may_not(world):
    limited = world.endpoint('p1')
    limited.rate_limit = b'1'
    world.node()
    learn(world, limited)
    world.join('p2')
    for number in range(30):
        assert world.ask('/safe/x', request_id=f'a{number}').status == 200
    assert len(limited.arrivals) <= 3


def test_unreachable_endpoint_takes_no_permits_from_others(world):
    """Its unused slots were granted again and again."""
    gone, limited = world.endpoint('p1'), world.endpoint('p2')
    gone.rate_limit = limited.rate_limit = b'10'
    hosts(world, 1)
    press(world, [('/safe/x', {})], 1.0)
    gone.crash()
    press(world, [('/safe/x', {})], 1.0)
    limited.arrivals.clear()
    press(world, [('/safe/x', {})], 2.0)
    assert len(limited.arrivals) >= 2.0 * RATE_S * LEAST_USED


def test_limit_ends_with_the_answers_that_name_it(world):
    """A limit lasted after the endpoint had stopped to name it."""
    limited = world.endpoint('p1')
    limited.rate_limit = b'2'
    hosts(world, 2)
    learn(world, limited)
    for node in world.nodes:
        gatewayworld.wait_for(
            lambda n=node: n.limits.is_limited(_id(world, limited)),
            'the limit at all hosts',
        )
    limited.rate_limit = None
    gatewayworld.wait_for(
        lambda: world.ask('/safe/x').status == 200, 'the next slot'
    )
    for node in world.nodes:
        gatewayworld.wait_for(
            lambda n=node: not n.limits.is_limited(_id(world, limited)),
            'the end at all hosts',
        )
    for number in range(20):
        assert world.ask('/safe/x', request_id=f'e{number}').status == 200


@pytest.mark.parametrize('value', [b'soon', b'-1', b'nan', b''])
def test_limit_that_is_no_number_leaves_the_last_one_in_force(world, value):
    """It was read as no limit."""
    limited = world.endpoint('p1')
    limited.rate_limit = b'2'
    node = world.node()
    learn(world, limited)
    limited.rate_limit = value
    gatewayworld.wait_for(
        lambda: world.ask('/safe/x').status == 200, 'the next slot'
    )
    assert node.limits.named.limited() == {_id(world, limited): 2.0}


def test_answer_to_another_request_ends_no_limit(world):
    limited = world.endpoint('p1')
    limited.rate_limit = b'4'
    node = world.node()
    learn(world, limited)
    limited.rate_limit = None
    limited.mode = 'foreign'
    arrived = len(limited.arrivals)
    gatewayworld.wait_for(
        lambda: world.ask('/unsafe/x') and len(limited.arrivals) > arrived,
        'a request',
    )
    assert node.limits.is_limited(_id(world, limited))


def test_host_that_starts_hears_of_a_limit_before_it_asks(world):
    """It sent as many requests as it liked until its own first answer."""
    limited = world.endpoint('p1')
    limited.rate_limit = b'5'
    hosts(world, 2)
    learn(world, limited)
    late = world.node()
    gatewayworld.wait_for(
        lambda: late.limits.is_limited(_id(world, limited)), 'the limit'
    )
    assert not late.limits.sends


def test_next_leader_keeps_a_limit(world):
    """The hosts sent without one while no leader was known."""
    limited = world.endpoint('p1')
    limited.rate_limit = b'%g' % RATE_S
    hosts(world)
    press(world, [('/safe/x', {})], 1.5)
    limited.arrivals.clear()
    leader = next(n for n in world.nodes if n.placement_service.leading)
    world.kill(leader)
    press(world, [('/safe/x', {})], COUNTED_S + 1)
    times = [each.at_s for each in limited.arrivals]
    most = max(
        bisect.bisect(times, first_s + COUNTED_S) - number
        for number, first_s in enumerate(times)
    )
    assert most <= RATE_S * COUNTED_S * 1.25


def test_hosts_without_a_leader_share_a_limit(world):
    """Each of them sent the full rate, or nothing for ever."""
    limited = world.endpoint('p1')
    limited.rate_limit = b'%g' % RATE_S
    hosts(world)
    press(world, [('/safe/x', {})], 1.0)
    for node in world.nodes:
        node.leadership.greenlet.kill()
        node.placement_service.leading = False
        node.placement_service.leader = '127.0.0.1'
    press(world, [('/safe/x', {})], 1.5)
    limited.arrivals.clear()
    press(world, [('/safe/x', {})], COUNTED_S)
    assert 3 <= len(limited.arrivals) <= RATE_S * COUNTED_S * 0.75


def test_stream_taken_over_counts_at_the_engine_that_takes_it(world):
    """Only first sends were counted."""
    world.endpoint('e0', 'model', 'prefill')
    limited = world.endpoint('d1', 'model', 'decode')
    limited.rate_limit = b'2'
    world.node()
    learn(world, limited, path='/chat/a', **CHAT)
    world.join('d2', 'model', 'decode').mode = 'cut'
    limited.arrivals.clear()
    asked = 8
    began_s = time.monotonic()
    for number in range(asked):
        client = gatewayworld.Client(world.nodes[0])
        client.request('POST', '/chat/a', f'm{number}', b'x', **CHAT)
        client.reader.next_part()
        client.close()
    took_s = time.monotonic() - began_s
    assert len(limited.arrivals) <= 1 + 2 * took_s
