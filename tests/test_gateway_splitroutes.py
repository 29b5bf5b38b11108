"""Routes whose requests are split among services of two kinds."""

import collections

import pytest

from magnoliadyke.core import promptjobs
from magnoliadyke.core import refusals
from tests import gatewayworld

PROMPT = gatewayworld.prompt((0xA, 2000), (0xB, 500))
REQUESTS = 20


@pytest.fixture
def world():
    with gatewayworld.world() as made:
        made.endpoint('p1')
        made.endpoint('e1', 'model', 'prefill')
        made.endpoint('d1', 'model', 'decode')
        yield made


def split(world, version, model, plain, kind='streaming'):
    """Configure a route that is split by two weights."""
    route = gatewayworld.route('split', '/split/', kind, None, max_attempts=1)
    del route['service']
    route['traffic_split'] = [
        {'service': 'model', 'weight': model},
        {'service': 'plain', 'weight': plain},
    ]
    world.configure(version=version, routes=[route])


def ask_all(world, headers, node=0):
    """Ask for a number of requests; the statuses of their answers."""
    heads = [
        world.ask('/split/x', request_id=f'{node}-{n}', node=node, **headers)
        for n in range(REQUESTS)
    ]
    return collections.Counter(head.status for head in heads)


@pytest.mark.parametrize('headers', [PROMPT, {}], ids=['prompt', 'none'])
@pytest.mark.parametrize('weights', [(10, 90), (90, 10), (0, 100), (100, 0)])
def test_request_is_served_by_the_service_that_was_drawn(
    world, weights, headers
):
    """Nine in ten ended with an error of the host's own."""
    split(world, 1, *weights)
    world.node()
    assert ask_all(world, headers) == {200: REQUESTS}
    for weight, name in zip(weights, ('d1', 'p1'), strict=True):
        assert bool(world.endpoints[name].runs) == bool(weight)


def test_request_without_a_prompt_goes_to_no_engine_that_prefills(world):
    """Each was refused there, and its retries were spent."""
    prefilling = [world.endpoints['e1']]
    prefilling += [
        world.endpoint(name, 'model', 'prefill') for name in ('e2', 'e3', 'e4')
    ]
    split(world, 1, 100, 0)
    world.node()
    assert ask_all(world, {}) == {200: REQUESTS}
    assert not any(each.arrivals for each in prefilling)


def test_request_without_a_prompt_is_refused_beside_engines_that_prefill(
    world,
):
    """It was sent to them, though none can run it."""
    world.endpoints['d1'].stage = 'prefill'
    world.list(world.endpoints['d1'])
    split(world, 1, 100, 0)
    world.node()
    assert ask_all(world, {}) == {503: REQUESTS}
    assert not world.endpoints['d1'].arrivals


def test_relayed_request_keeps_its_service(world):
    """Another host drew again, a service that the first had not drawn."""
    split(world, 1, 50, 50)
    for _ in range(2):
        world.node()
    first, second = world.nodes
    gatewayworld.wait_for(
        lambda: first.members.relay_token(second.settings.ip), 'the other host'
    )
    drawn = []

    def choose_host(service, declined):
        drawn.append(service)
        return second.settings.ip

    first.paths.is_cut_off = lambda service: True
    first.paths.choose_host = choose_host
    assert ask_all(world, {}) == {200: REQUESTS}
    ran_by = {
        run.id.decode(): endpoint.service
        for endpoint in world.endpoints.values()
        for run in endpoint.runs
    }
    assert drawn == [ran_by[f'0-{n}'] for n in range(REQUESTS)]


def test_prompt_waits_while_its_service_loses_its_engines(world):
    """The request ended with an error of the host's own."""
    world.configure()
    node = world.node()
    place = node.placement_service.place

    def configure_and_place(service, job):
        changed = gatewayworld.configuration(version=2)
        del changed['services'][1]['engine']
        world.store.put('op/config', changed)
        gatewayworld.wait_for(
            lambda: node.catalog.configuration.version == 2, 'the change'
        )
        decision = place(service, job)
        assert isinstance(decision, promptjobs.Refused)
        return decision

    node.placement_service.place = configure_and_place
    client = gatewayworld.Client(node)
    head, body = client.call('POST', '/once/x', 'r1', b'x', **PROMPT)
    client.close()
    assert head.status == 503
    assert body.decode() == refusals.NO_ENGINE_REASON
