"""Endpoints that turn a request away and ask to back off."""

import pytest

from tests import gatewayworld

LONG = gatewayworld.prompt((0xA, 4000), (0xB, 2000))
CHAT = gatewayworld.prompt((0x1, 40), (0x2, 60))
BACKOFF_S = 60.0


@pytest.fixture
def world():
    with gatewayworld.world() as made:
        made.configure()
        yield made


def turn_away(world, endpoint, path, node=0, **headers):
    """Have an endpoint turn a request away and ask to back off."""
    endpoint.mode, endpoint.backoff_s = 'shed', BACKOFF_S
    world.ask(path, node=node, **headers)
    assert endpoint.arrivals
    endpoint.arrivals.clear()
    endpoint.mode = 'ok'


@pytest.mark.parametrize('path', ['/safe/x', '/unsafe/x'])
def test_plain_requests_back_off_from_an_endpoint(world, path):
    """A refusal was one failure among many, and the next request came."""
    full = world.endpoint('p1')
    world.node()
    turn_away(world, full, path)
    world.join('p2').mode = 'error'
    for number in range(20):
        world.ask(path, request_id=f'n{number}')
    assert not full.arrivals


@pytest.mark.parametrize('stage', ['prefill', 'decode'])
def test_prompts_back_off_from_an_engine(world, stage):
    """The same for the engine that reads and for the one that answers."""
    world.endpoint('a-prefill', 'model', 'prefill')
    world.endpoint('a-decode', 'model', 'decode')
    world.node()
    full = world.endpoints[f'a-{stage}']
    turn_away(world, full, '/chat/a', **LONG)
    world.join('b', 'model', stage)
    for number in range(10):
        head = world.ask('/chat/a', request_id=f'n{number}', **LONG)
        assert head.status == 200
    assert not full.arrivals


def test_stream_that_goes_on_backs_off_from_an_engine(world):
    """It was resumed where the host had just been turned away."""
    full = world.endpoint('d1', 'model', 'decode')
    world.endpoint('e0', 'model', 'prefill')
    world.node()
    turn_away(world, full, '/chat/a', **CHAT)
    other = world.join('d2', 'model', 'decode')
    other.mode = 'cut'
    ask_broken(world, '/chat/a', **CHAT)
    assert other.runs
    assert not full.arrivals


def ask_broken(world, path, **headers):
    client = gatewayworld.Client(world.nodes[0])
    client.request('POST', path, 'm1', b'x', **headers)
    client.reader.next_part()
    gatewayworld.wait_for(
        lambda: not world.nodes[0].ingress.open_requests, 'the end'
    )
    client.close()


def test_all_paths_of_a_host_keep_one_backoff(world):
    """A backoff asked of one kind of request was broken by the others."""
    full = world.endpoint('d1', 'model', 'decode')
    world.endpoint('e0', 'model', 'prefill')
    world.node()
    turn_away(world, full, '/chat/a', **CHAT)
    for number in range(5):
        world.ask('/once/a', request_id=f'o{number}', **CHAT)
        world.ask('/chat/a', request_id=f'l{number}', **LONG)
        world.ask('/chat/a', request_id=f'c{number}', **CHAT)
    assert not full.arrivals


@pytest.mark.parametrize(
    'path, headers', [('/safe/x', {}), ('/chat/a', CHAT), ('/chat/a', LONG)]
)
def test_callers_are_told_when_to_return(world, path, headers):
    """They were told to come back in vain, at the endpoint's cost."""
    world.endpoint('p1')
    world.endpoint('d1', 'model', 'decode')
    world.endpoint('e0', 'model', 'prefill')
    world.node()
    name = 'd1' if headers else 'p1'
    turn_away(world, world.endpoints[name], path, **headers)
    head = world.ask(path, **headers)
    assert head.status == 503
    retry_after_s = float(head.value(b'retry-after'))
    assert BACKOFF_S / 2 < retry_after_s <= BACKOFF_S
    assert not world.endpoints[name].arrivals


def test_endpoint_is_asked_again_after_the_backoff(world):
    full = world.endpoint('p1')
    world.node()
    full.mode, full.backoff_s = 'shed', 0.2
    assert world.ask('/safe/x').status == 503
    full.mode = 'ok'
    gatewayworld.wait_for(lambda: world.ask('/safe/x').status == 200, 'it')


def test_backoff_is_that_of_the_host_that_was_turned_away(world):
    """All hosts left an endpoint alone that one of them had overrun."""
    full = world.endpoint('p1')
    world.node()
    world.node()
    turn_away(world, full, '/safe/x')
    assert world.ask('/safe/x', node=1).status == 200
    assert world.ask('/safe/x').status == 503


def test_next_process_of_an_endpoint_is_not_left_alone(world):
    full = world.endpoint('p1')
    full.started_ms = 1_786_000_000_000
    world.list(full)
    node = world.node()
    turn_away(world, full, '/safe/x')
    before = set(node.catalog.endpoints)
    full.started_ms += 5000
    world.list(full)
    gatewayworld.wait_for(
        lambda: set(node.catalog.endpoints) != before, 'the next run'
    )
    assert world.ask('/safe/x').status == 200
