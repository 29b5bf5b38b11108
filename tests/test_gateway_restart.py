"""All hosts are killed at the same moment and start again."""

import pytest

from magnoliadyke.gateway import leadership
from tests import gatewayworld

LONG = gatewayworld.prompt((1, 4000), (2, 1000))


@pytest.fixture
def restarted(monkeypatch):
    """Two hosts that were killed together and are back, and their world.

    The lease outlasts the test, so that nobody can wait for its end.
    """
    monkeypatch.setattr(leadership, 'LEASE_S', 120.0)
    with gatewayworld.world() as world:
        world.configure()
        world.engine('p0', 'prefill')
        world.engine('d0', 'decode')
        before = [world.node(), world.node()]
        gatewayworld.wait_for(
            lambda: any(each.placer.leading for each in before), 'a leader'
        )
        for node in before:
            world.kill(node)
        assert leadership.LEADER_KEY in world.store.items
        yield world, [world.start_again(node) for node in before]


def ask(node, number):
    client = gatewayworld.Client(node)
    head, _ = client.call('POST', '/chat/a', f'r{number}', b'x', **LONG)
    return head.status


def test_callers_are_served_while_the_former_holder_has_the_key(restarted):
    """The placing host's process is gone, its key is not.

    Nobody answers under its name for a moment; each host places for itself
    and serves its callers.
    """
    _, nodes = restarted
    assert [ask(node, number) for number, node in enumerate(nodes)] == [
        200,
        200,
    ]


def test_engine_is_ordered_long_before_the_former_lease_ends(restarted):
    """No caller of a model service is served for the rest of a lease.

    All hosts are killed, and the engine that answers leaves meanwhile.
    Another one can be ordered by a holder of the lease only, and the lease
    of the process that is gone lasts 12 s.  The new process of that host, or
    another one that has met it, knows that it is gone and takes over.
    """
    world, nodes = restarted
    world.store.remove('servers/d0')
    gatewayworld.wait_for(
        lambda: any(each.placer.leading for each in nodes), 'the new holder'
    )

    def asked_until_changed():
        for node in nodes:
            ask(node, 9)
        return world.endpoints['p0'].stage == 'decode'

    gatewayworld.wait_for(asked_until_changed, 'the change')
    gatewayworld.wait_for(lambda: ask(nodes[0], 10) == 200, 'an answer')
