"""Orders of endpoints, by real nodes to the stand-in of the platform."""

import pytest

from magnoliadyke.core import autoscaler
from magnoliadyke.gateway import autoscaling
from magnoliadyke.lab import platformcloud
from magnoliadyke.lab import platformendpoint
from tests import gatewayworld

DOMAINS = ('z1', 'z2', 'z3')
SCALING = {
    'min_replicas': 1,
    'max_replicas': 9,
    'boot_s': 0.2,
    'spot_price': 0.15,
    'zone_prices': dict.fromkeys(DOMAINS, 1.0),
}


class Spot(platformendpoint.EndpointStandIn):
    """An engine that may be taken away."""

    def entry(self):
        return super().entry() | {'spot': True}


@pytest.fixture
def cloud():
    made = platformcloud.PlatformCloudStandIn()
    made.start()
    yield made
    made.stop()


@pytest.fixture
def world(cloud):
    with gatewayworld.world() as made:
        value = gatewayworld.configuration()
        value['services'][1]['autoscale'] = SCALING
        made.store.put('op/config', value)
        for number in range(4):
            made.endpoint(f'e{number}', 'model', 'decode', domain='z1')
        yield made


def nodes(world, cloud, count):
    duties = {
        'address': cloud.address,
        'names': ['autoscale'],
        'usage_window_s': 5.0,
        'usage_due_s': 10.0,
    }
    for _ in range(count):
        world.node(duties=duties, wait=False)


def orders(cloud, reclaimable):
    return {
        call.body['zone']: call.body['desired_count']
        for call in cloud.calls
        if bool(call.body.get('spot')) is reclaimable
    }


def start_what_was_ordered(world, cloud):
    for domain, count in orders(cloud, True).items():
        for number in range(count):
            name = f's-{domain}-{number}'
            if name not in world.endpoints:
                made = Spot(name, 'model', 'decode', domain)
                made.start()
                world.endpoints[name] = made
                world.list(made)


def test_cheap_endpoints_come_before_the_others_leave(world, cloud):
    nodes(world, cloud, 1)
    gatewayworld.wait_for(lambda: len(orders(cloud, True)) == 3, 'orders')
    assert not orders(cloud, False)
    start_what_was_ordered(world, cloud)
    gatewayworld.wait_for(lambda: orders(cloud, False) == {'z1': 0}, 'less')
    counts = orders(cloud, True).values()
    assert sum(counts) - max(counts) >= 4
    assert not cloud.breaches()


def test_successor_orders_no_more_than_the_first(world, cloud):
    """It finds more endpoints than the service was set up with."""
    nodes(world, cloud, 2)
    gatewayworld.wait_for(lambda: len(orders(cloud, True)) == 3, 'orders')
    start_what_was_ordered(world, cloud)
    gatewayworld.wait_for(lambda: orders(cloud, False) == {'z1': 0}, 'less')
    before = orders(cloud, True)
    leader = next(n for n in world.nodes if n.leadership.may_order())
    world.kill(leader)
    (other,) = world.nodes
    gatewayworld.wait_for(other.leadership.may_order, 'a successor', 20.0)
    gatewayworld.wait_for(lambda: other.fleet.plans, 'its plan')
    assert other.fleet.wanted == {'model': 4}
    assert orders(cloud, True) == before
    assert not cloud.breaches()


def test_target_that_a_restore_has_lost_is_written_again(world, cloud):
    """All hosts that started later took what was listed for the target."""
    copy = world.store.snapshot()
    nodes(world, cloud, 2)
    key = autoscaling.FLEET_PREFIX + 'model'
    gatewayworld.wait_for(lambda: key in world.store.items, 'the target')
    value = world.store.items[key].value
    gatewayworld.wait_for(
        lambda: all(n.fleet.wanted for n in world.nodes), 'all to know it'
    )
    world.store.restore(copy)
    assert key not in world.store.items
    world.endpoint('e9', 'model', 'decode', domain='z1')
    gatewayworld.wait_for(
        lambda: key in world.store.items, 'the target', wait_s=20.0
    )
    assert world.store.items[key].value == value


def test_deployment_without_scaling_is_left_as_it_is(world, cloud):
    world.configure(version=2)
    nodes(world, cloud, 1)
    gatewayworld.wait_for(world.nodes[0].leadership.may_order, 'a leader')
    assert not cloud.calls
    assert not world.store.items.get(autoscaling.FLEET_PREFIX + 'model')


@pytest.mark.parametrize('value', [b'', b'"9"', b'-1', b'[]', b'1.5'])
def test_number_of_another_writer_is_not_used(world, cloud, value):
    nodes(world, cloud, 1)
    node = world.nodes[0]
    world.store.put(autoscaling.FLEET_PREFIX + 'model', value)
    gatewayworld.wait_for(
        lambda: (
            autoscaling.FLEET_PREFIX + 'model' in node.follower.mirror.items
        ),
        'the record',
    )
    assert node.fleet.wanted.get('model') in (None, 4)


def test_limits_that_cannot_be_read_change_nothing(world, cloud):
    for wrong in ([1], {'min_replicas': -1, 'max_replicas': 3}, {'x': 1}):
        value = gatewayworld.configuration(9)
        value['services'][1]['autoscale'] = wrong
        world.store.put('op/config', value)
    nodes(world, cloud, 1)
    mirror = world.nodes[0].follower.mirror
    gatewayworld.wait_for(lambda: mirror.unusable['configuration'], 'a look')
    assert world.nodes[0].catalog.configuration is None


def test_limits_are_decoded(world, cloud):
    nodes(world, cloud, 1)
    gatewayworld.wait_for(world.nodes[0]._is_ready, 'a ready node')
    service = world.nodes[0].catalog.configuration.services['model']
    assert service.scaling == autoscaler.ScalingLimits(
        1, 9, 0.2, 0.15, SCALING['zone_prices']
    )
