"""Requests that crash endpoints, sent to several hosts."""

import pytest

from tests import gatewayworld

CHAT = gatewayworld.prompt((0x1, 40), (0x2, 60))


@pytest.fixture
def world():
    with gatewayworld.world() as made:
        made.configure()
        yield made


def hosts(world, count):
    for _ in range(count):
        world.node()
    for node in world.nodes:
        gatewayworld.wait_for(
            lambda node=node: node.members.count() == count, 'all hosts'
        )
    return world.nodes


def send(node, path, request_id, body, method='POST', **headers):
    client = gatewayworld.Client(node)
    try:
        head, _ = client.call(method, path, request_id, body, **headers)
    finally:
        client.close()
    return head


def crashed(endpoints, body):
    return sum(
        arrival.body == body for each in endpoints for arrival in each.runs
    )


def test_request_that_crashes_endpoints_is_stopped_at_all_hosts(world):
    """A caller's request crashes each endpoint that begins to run it.

    Its caller sends it again and again, each time to another host.  The
    third crash has to be the last: without word between the hosts each of
    them would offer three endpoints to it.
    """
    endpoints = [world.endpoint(f'p{n}') for n in range(8)]
    for each in endpoints:
        each.crash_on_body = b'poison'
    nodes = hosts(world, 3)
    statuses = []
    for number in range(12):
        head = send(nodes[number % 3], '/unsafe/x', f'r{number}', b'poison')
        statuses.append(head.status)
        last = head
    assert crashed(endpoints, b'poison') == 3
    assert sorted(statuses) == [502] * 3 + [503] * 9
    assert float(last.value(b'retry-after')) > 10.0


def test_other_requests_go_on(world):
    endpoints = [world.endpoint(f'p{n}') for n in range(4)]
    for each in endpoints:
        each.crash_on_body = b'poison'
    (node,) = hosts(world, 1)
    for number in range(6):
        send(node, '/unsafe/x', f'r{number}', b'poison')
    assert send(node, '/unsafe/x', 's1', b'fine').status == 200
    assert send(node, '/unsafe/y', 's2', b'fine').status == 200


def test_prompt_that_crashes_engines_is_stopped(world):
    """The same for a short prompt that goes straight to an engine."""
    engines = [world.endpoint(f'd{n}', 'model', 'decode') for n in range(6)]
    for each in engines:
        each.crash_on_body = b'poison'
    nodes = hosts(world, 2)
    for number in range(10):
        send(nodes[number % 2], '/chat/x', f'r{number}', b'poison', **CHAT)
    assert crashed(engines, b'poison') == 3
    assert send(nodes[0], '/chat/x', 's', b'fine', **CHAT).status == 200
