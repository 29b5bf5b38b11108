"""The longest wait of callers, as the store keeps it."""

import gevent
import pytest

from magnoliadyke.core import position
from magnoliadyke.core import streamversions
from magnoliadyke.gateway import callerwaits
from magnoliadyke.gateway import store
from tests import gatewayworld


@pytest.fixture
def world(monkeypatch):
    monkeypatch.setattr(callerwaits, 'WRITE_DELAY_S', 0.0)
    with gatewayworld.world() as made:
        made.endpoint('d1', 'model', 'decode')
        yield made


def configure(world, version, timeout_s):
    routes = gatewayworld.platformrecords.usual_routes(
        timeout_ms=timeout_s * 1000
    )
    world.configure(version=version, routes=routes)


def wait_for_key(world):
    gatewayworld.wait_for(
        lambda: callerwaits.WAITS_KEY in world.store.items, 'the key'
    )


def test_wait_of_an_earlier_configuration_outlives_all_hosts(world):
    """Streams of before a change were forgotten while callers still came."""
    configure(world, 1, 30.0)
    node = world.node()
    wait_for_key(world)
    configure(world, 2, 2.0)
    world.kill(node)
    node = world.start_again(node)
    assert node.catalog.configuration.version == 2
    assert node.streams._window_s() >= 30.0


def test_raised_wait_is_kept_too(world):
    configure(world, 1, 12.0)
    node = world.node()
    wait_for_key(world)
    configure(world, 2, 30.0)
    gatewayworld.wait_for(
        lambda: node.waits.stored_s >= 30.0, 'the longer wait'
    )


def test_hosts_write_the_wait_once(world):
    """Each host of a large fleet would call the store for it."""
    configure(world, 1, 12.0004)
    for _ in range(3):
        world.node()
    gatewayworld.wait_for(
        lambda: all(each.waits.stored_s for each in world.nodes), 'the key'
    )
    written = world.store.items[callerwaits.WAITS_KEY]
    gevent.sleep(0.5)
    assert world.store.items[callerwaits.WAITS_KEY] == written


def test_host_does_not_take_a_later_start_for_the_first(world):
    """It would be certain that no other version had ever served."""
    configure(world, 1, 12.0)
    node = world.node(first_start=True)
    assert node.streams.history.since_s == float('-inf')
    wait_for_key(world)
    world.kill(node)
    node = world.start_again(node)
    assert node.settings.first_start
    node.streams._update()
    assert node.streams.history.since_s > 0


@pytest.mark.parametrize(
    'value',
    [
        b'',
        b'7',
        b'[]',
        b'{}',
        b'{"longest_ms": null}',
        b'{"longest_ms": true}',
        b'{"longest_ms": -1}',
        b'{"longest_ms": 1e400}',
        b'{"longest_ms": "17000"}',
        b'\xff',
        b'[' * 100_000,
    ],
)
def test_unreadable_wait_counts_as_the_longest(world, value):
    """A host that went by a shorter one would guess versions too early."""
    configure(world, 1, 12.0)
    node = world.node()
    at = position.Position(0, 999)
    node.waits.changed(store.Item(callerwaits.WAITS_KEY, value, at))
    assert node.waits.longest_s == streamversions.MAX_RECORD_S
