"""Endpoints that say in their answers that they leave."""

import pytest

from tests import gatewayworld

LONG = gatewayworld.prompt((0xA, 4000), (0xB, 2000))
CHAT = gatewayworld.prompt((0x1, 40), (0x2, 60))


@pytest.fixture
def world():
    with gatewayworld.world() as made:
        made.configure()
        yield made


def ask(world, path, method='POST', node=0, request_id='r1', **headers):
    client = gatewayworld.Client(world.nodes[node])
    try:
        return client.call(method, path, request_id, b'x', **headers)[0]
    finally:
        client.close()


def say(world, endpoint, path, **headers):
    """Ask until an endpoint has told in an answer that it leaves."""
    endpoint.says_leaving = True

    def heard():
        ask(world, path, **headers)
        return endpoint.arrivals

    gatewayworld.wait_for(heard, 'its word')
    endpoint.arrivals.clear()


@pytest.mark.parametrize('path', ['/safe/x', '/unsafe/x'])
def test_endpoint_that_said_so_gets_no_request(world, path):
    """Requests went on to an endpoint that was leaving, for a whole outage."""
    world.endpoint('p1')
    world.endpoint('p2')
    world.node()
    say(world, world.endpoints['p1'], path)
    for number in range(10):
        assert ask(world, path, request_id=f'n{number}').status == 200
    assert not world.endpoints['p1'].arrivals


@pytest.mark.parametrize('stage', ['prefill', 'decode'])
def test_engine_that_said_so_gets_no_prompt(world, stage):
    """The same for the engine that reads and for the one that answers."""
    for name in ('a', 'b'):
        world.endpoint(f'{name}-prefill', 'model', 'prefill')
        world.endpoint(f'{name}-decode', 'model', 'decode')
    world.node()
    leaver = world.endpoints[f'a-{stage}']
    say(world, leaver, '/chat/a', **LONG)
    for number in range(10):
        head = ask(world, '/chat/a', request_id=f'n{number}', **LONG)
        assert head.status == 200
    assert not leaver.arrivals


def test_stream_does_not_go_on_at_an_engine_that_said_so(world):
    """A stream that broke off was resumed there."""
    world.endpoint('d1', 'model', 'decode')
    leaver = world.endpoint('d2', 'model', 'decode')
    world.endpoint('e0', 'model', 'prefill')
    world.node()
    say(world, leaver, '/chat/a', **CHAT)
    world.endpoints['d1'].mode = 'cut'
    for number in range(4):
        ask(world, '/once/a', request_id=f'n{number}', **CHAT)
        client = gatewayworld.Client(world.nodes[0])
        client.request('POST', '/chat/a', f'm{number}', b'x', **CHAT)
        client.reader.next_part()
        client.close()
    assert not leaver.arrivals


def test_engine_is_not_asked_after_it_said_so_of_a_refusal(world):
    """It turned a request away, and was given the next one."""
    leaver = world.endpoint('p1')
    other = world.endpoint('p2')
    world.node()
    leaver.mode = 'shed'
    say(world, leaver, '/safe/x', method='GET')
    leaver.mode = 'ok'
    for number in range(10):
        assert ask(world, '/safe/x', request_id=f'n{number}').status == 200
    assert not leaver.arrivals
    assert len(other.runs) >= 10


def test_request_for_the_only_endpoint_that_said_so_is_refused(world):
    leaver = world.endpoint('p1')
    world.node()
    say(world, leaver, '/safe/x')
    assert ask(world, '/safe/x').status == 503
    assert not leaver.arrivals


def test_entry_that_says_ready_does_not_bring_it_back(world):
    """The store's older word was taken for newer than the endpoint's own."""
    leaver = world.endpoint('p1')
    world.endpoint('p2')
    node = world.node()
    say(world, leaver, '/safe/x')
    leaver.slots += 1
    world.list(leaver)
    gatewayworld.wait_for(
        lambda: node.catalog.endpoints['p1'].slots == leaver.slots, 'the entry'
    )
    assert node.catalog.endpoints['p1'].leaving
    world.store.remove('servers/p1')
    gatewayworld.wait_for(
        lambda: 'p1' not in node.catalog.endpoints, 'its end'
    )
    world.list(leaver)
    gatewayworld.wait_for(lambda: 'p1' in node.catalog.endpoints, 'its return')
    assert node.catalog.endpoints['p1'].leaving


def test_word_of_a_former_process_says_nothing_of_the_next(world):
    leaver = world.endpoint('p1')
    leaver.born_ms = 1_786_000_000_000
    world.list(leaver)
    node = world.node()
    say(world, leaver, '/safe/x')
    leaver.says_leaving = False
    leaver.born_ms += 5000
    world.list(leaver)
    gatewayworld.wait_for(lambda: node.catalog.usable('plain'), 'the next run')
    assert ask(world, '/safe/x').status == 200


def test_word_of_another_process_at_a_reused_address_is_not_believed(world):
    """An endpoint is taken for leaving though its successor there is."""
    present = world.endpoint('p1')
    node = world.node()
    present.says_leaving = True
    present.name = 'p9'
    assert ask(world, '/safe/x').status == 503
    assert not node.catalog.endpoints['p1'].leaving
