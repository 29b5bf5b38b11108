"""Routes whose requests are split among services of two kinds."""

import collections
import random

import pytest

from magnoliadyke.core import promptjobs
from magnoliadyke.core import refusals
from magnoliadyke.gateway import store
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


# Changes under load.

#: Endpoints of each service, in the order in which they start.
SERVICES = {
    'plain': ('',),
    'model': ('prefill', 'decode'),
    'plain2': ('',),
    'model2': ('prefill', 'decode'),
}
WEIGHTS = (1, 50, 99)
CHANGES = 6
ASKED_PER_ROUTE = 4


def services(names):
    """Services as the operator lists them."""
    listed = gatewayworld.configuration()['services']
    found = {each['name']: each for each in listed}
    return [found[name.rstrip('2')] | {'name': name} for name in names]


class Changes:
    """Draws configurations: routes that come, go, move, split and join.

    :ivar routes: the present routes, by name
    :ivar known: names of the services that are configured
    """

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.version = 0
        self.routes = {}
        self.known = ['plain', 'model']
        for name in ('first', 'second'):
            self.add(name)

    def add(self, name):
        kind = self.rng.choice(['safe', 'unsafe', 'streaming'])
        made = gatewayworld.route(name, f'/{name}/', kind, 'plain')
        made['sticky'] = self.rng.random() < 0.5
        self.routes[name] = made
        self.aim(name)

    def aim(self, name):
        """Send a route to another service, or to several."""
        made = dict(self.routes[name])
        made.pop('traffic_split', None)
        made['service'] = self.rng.choice(self.known)
        if self.rng.random() < 0.6:
            del made['service']
            picked = self.rng.sample(
                self.known, self.rng.randint(2, len(self.known))
            )
            made['traffic_split'] = [
                {'service': each, 'weight': self.rng.choice(WEIGHTS)}
                for each in picked
            ]
        self.routes[name] = made

    def targets(self, name):
        made = self.routes[name]
        if 'service' in made:
            return {made['service']}
        return {each['service'] for each in made['traffic_split']}

    def change(self):
        """Draw one change of a route."""
        name = self.rng.choice(sorted(self.routes))
        if len(self.routes) < 3 or self.rng.random() < 0.3:
            self.add(f'r{self.version}-{len(self.routes)}')
        elif len(self.routes) > 4:
            del self.routes[name]
        else:
            self.aim(name)

    def write(self, world):
        """Write the present configuration."""
        self.version += 1
        routes = list(self.routes.values())
        made = gatewayworld.configuration(self.version, routes)
        made['services'] = services(self.known)
        world.store.put('op/config', made)


def start(world, service):
    for stage in SERVICES[service]:
        world.endpoint(f'{service}-{stage or "p"}', service, stage)


def wait_for_version(world, changes):
    gatewayworld.wait_for(
        lambda: all(
            each.catalog.configuration.version == changes.version
            for each in world.nodes
        ),
        f'configuration {changes.version}',
    )


def ask_routes(world, changes):
    """Ask on each route at each node, and check who ran the requests."""
    for name in changes.routes:
        for number in range(ASKED_PER_ROUTE):
            node = number % len(world.nodes)
            headers = PROMPT if changes.rng.random() < 0.7 else {}
            request_id = f'{changes.version}-{name}-{number}'
            head = world.ask(
                f'/{name}/x', request_id=request_id, node=node, **headers
            )
            assert head.status == 200, (request_id, changes.routes[name])
            ran_by = {
                each.service
                for each in world.endpoints.values()
                for run in each.runs
                if run.id.decode() == request_id
            }
            assert ran_by and ran_by <= changes.targets(name)


@pytest.mark.parametrize('seed', range(4))
def test_each_route_is_served_through_drawn_changes(seed):
    """Routes added, moved, split or joined ended with errors or elsewhere."""
    changes = Changes(seed)
    with gatewayworld.world() as world:
        for service in changes.known:
            start(world, service)
        changes.write(world)
        for _ in range(2):
            world.node()
        ask_routes(world, changes)
        for step in range(CHANGES):
            if step == 1:
                changes.known = list(SERVICES)
            for _ in range(changes.rng.choice([1, 3])):
                changes.change()
                changes.write(world)
            if step == 1:
                # The services come later than the routes that name them.
                for service in ('plain2', 'model2'):
                    start(world, service)
            if step == 2:
                world.node()
            wait_for_version(world, changes)
            gatewayworld.wait_for(
                lambda: all(
                    world.endpoints.keys() <= each.catalog.endpoints.keys()
                    for each in world.nodes
                ),
                'the endpoints',
            )
            ask_routes(world, changes)


def test_route_is_refused_until_its_service_has_endpoints(world):
    """Requests waited for a service that had none yet, or ended in errors."""
    changes = Changes(0)
    changes.known = ['model2', 'plain2']
    changes.routes = {}
    for name, service in (('a', 'model2'), ('b', 'plain2')):
        kind = 'streaming'
        changes.routes[name] = gatewayworld.route(
            name, f'/{name}/', kind, service
        )
    changes.write(world)
    world.node()
    for name in changes.routes:
        for headers in (PROMPT, {}):
            head = world.ask(f'/{name}/x', **headers)
            assert head.status == 503
            assert head.value(b'retry-after')
    for service in changes.known:
        start(world, service)
    gatewayworld.wait_for(
        lambda: (
            world.endpoints.keys() <= world.nodes[0].catalog.endpoints.keys()
        ),
        'the endpoints',
    )
    ask_routes(world, changes)


def test_route_at_a_host_that_the_store_tells_nothing(world):
    """It refused or lost requests of a route that others told it of."""
    changes = Changes(1)
    changes.write(world)
    for _ in range(2):
        world.node()
    blind = world.nodes[1]
    gatewayworld.wait_for(lambda: blind.members.count() == 2, 'the other host')
    blind.store.watch = lambda *args: store.Unavailable('cut off', False)
    blind.store.list_prefix = blind.store.watch
    changes.change()
    changes.write(world)
    wait_for_version(world, changes)
    ask_routes(world, changes)
