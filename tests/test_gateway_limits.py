"""Endpoints that name the requests per second they take from all hosts."""

import bisect

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
