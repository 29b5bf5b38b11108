"""Which host places: one that the store turns away gives way."""

import gevent
import pytest

from magnoliadyke import clock as clocks
from magnoliadyke.core import position
from magnoliadyke.gateway import leadership
from magnoliadyke.gateway import placementservice
from magnoliadyke.gateway import store
from tests import gatewayworld


@pytest.fixture
def world():
    with gatewayworld.world() as made:
        made.configure()
        made.endpoint('p1')
        yield made


def hosts(world, count):
    """Nodes that know of each other and of who leads; the leader first."""
    for _ in range(count):
        world.node()
    gatewayworld.wait_for(
        lambda: all(n.members.count() == count for n in world.nodes),
        'all hosts',
    )
    gatewayworld.wait_for(
        lambda: all(n.leadership.holder for n in world.nodes), 'a leader'
    )
    return sorted(world.nodes, key=lambda n: n.leadership.lease is None)


def cut_off(node):
    """The store turns this host away, and serves the others."""

    def unavailable(*arguments, **named):
        gevent.sleep(0.01)
        return store.Unavailable('status 429', False)

    for call in ('list_prefix', 'watch', 'commit', 'grant', 'renew'):
        setattr(node.store, call, unavailable)


def test_host_that_the_store_turns_away_gives_way(world):
    """The store refuses the host that places, and no other one.

    It can order no stage, however the load shifts, until its lease has
    ended.  Another host takes over within seconds, and the first one hears
    of it though it can't read the store.
    """
    first, *others = hosts(world, 3)
    gevent.sleep(1.2)
    cut_off(first)
    gatewayworld.wait_for(
        lambda: any(n.leadership.lease is not None for n in others),
        'another leader',
        wait_s=8.0,
    )
    (leader,) = [n for n in others if n.leadership.lease is not None]
    gatewayworld.wait_for(
        lambda: first.placement_service.leader == leader.own_record.address,
        'word of it',
    )
    assert not first.placement_service.leading
    assert not first.leadership.may_order()
    assert leader.leadership.fencing > first.leadership.fencing


def test_store_that_is_away_for_all_changes_no_leader(world):
    """The store is away for everybody, and comes back.

    Nobody could do better than the host that places: it stays.
    """
    first, *_ = hosts(world, 2)
    fencing = first.leadership.fencing
    gevent.sleep(1.2)
    world.store.mode = 'busy'
    world.store.cut()
    gatewayworld.wait_for(
        lambda: first.leadership.yielding, 'the store out of reach'
    )
    assert not first.leadership.may_order()
    world.store.mode = 'up'
    gatewayworld.wait_for(
        lambda: not first.leadership.yielding, 'the store in reach'
    )
    gevent.sleep(1.5)
    assert first.placement_service.leading
    assert first.leadership.fencing == fencing


def test_host_with_the_widest_link_leads_though_listed_last(world):
    """All hosts of a fleet start, the smallest one first.

    It would place for all over a link that its own requests fill: the
    questions of the others are answered late, and most of them place alone.
    """
    world.gathers = True
    clock = clocks.ManualClock()
    for link_mbps in (10.0, 10.0, 10.0, 1000.0):
        made = world.node(wait=False, clock=clock, link_mbps=link_mbps)
        # Contends when the test says so, however long the others take.
        made.leadership.greenlet.kill()
    *small, widest = world.nodes

    def listed(node, count):
        clock.advance(0.05)
        return len(node.members.listed) >= count

    gatewayworld.wait_for(lambda: listed(small[0], 1), 'the first host')
    first = small[0].leadership
    first.gathered_s = clock.now_s() + 60.0
    first._contend()
    assert leadership.LEADER_KEY not in world.store.items
    for node in world.nodes:
        gatewayworld.wait_for(lambda n=node: listed(n, 4), 'all hosts')
    for node in world.nodes:
        node.leadership.gathered_s = clock.now_s()
        node.leadership.vacant_since_s = clock.now_s()
    clock.advance(leadership.RANK_DELAY_S)
    for node in world.nodes:
        node.leadership._contend()
    assert widest.leadership.lease is not None
    assert not any(node.leadership.lease for node in small)


def test_host_that_starts_gives_the_others_time_to_be_listed(world):
    world.gathers = True
    clock = clocks.ManualClock()
    node = world.node(wait=False, clock=clock)
    waits_s = node.leadership.gathered_s - clock.now_s()
    assert waits_s == pytest.approx(leadership.GATHERING_S)


def test_capacity_is_bound_by_the_link_or_the_processor():
    assert leadership.placement_capacity(
        0.5, 10.0
    ) < leadership.placement_capacity(0.5, 100.0)
    assert leadership.placement_capacity(
        0.5, 1000.0
    ) == leadership.placement_capacity(0.5, 10_000.0)
    assert leadership.placement_capacity(
        0.5, 1000.0
    ) < leadership.placement_capacity(1.0, 1000.0)


def test_answer_is_waited_for_as_long_as_the_own_link_may_hold_it_up():
    """A long request leaves over a link of 10 Mbit/s, and takes 50 ms.

    A question that follows it is answered later than that; the host would
    take the placing host for dead, and place alone for half a second.
    """
    assert placementservice.request_timeout_s(10.0) > 0.05
    assert placementservice.request_timeout_s(1000.0) < 0.025


def test_late_word_of_an_earlier_leader_changes_nothing(world):
    first, second = hosts(world, 2)
    word = first.leadership._announcement()
    second.leadership.handle_announcement(
        word._replace(host='old', position=position.Position(1, 1))
    )
    assert second.leadership.holder == first.own_record.host
    assert second.placement_service.leader == first.own_record.address


def test_leader_that_comes_first_is_not_replaced(world):
    """Two hosts want to lead at once, and one of them has just got the key.

    The other hears of it while the store still answers its own first call.
    It must not take the key from a holder that nobody misses: leaders would
    follow each other within a second, each knowing less of the engines.
    """
    first, second = hosts(world, 2)
    contender = second.leadership
    fencing = first.leadership.fencing
    word = first.leadership._announcement()
    contender.holder = None
    contender.holder_position = position.START
    grant = second.store.grant

    def slow_grant(ttl_s):
        granted = grant(ttl_s)
        contender.handle_announcement(word)
        return granted

    second.store.grant = slow_grant
    contender._acquire()
    assert contender.lease is None
    assert contender.holder == first.own_record.host
    assert first.leadership.fencing == fencing


def test_hosts_that_gathered_do_not_all_ask_for_the_lease():
    """Each would take the vacancy to be as old as its own start."""
    with gatewayworld.world() as world:
        world.gathers = True
        world.configure()
        world.endpoint('p1')
        for _ in range(6):
            world.node(wait=False)
        gatewayworld.wait_for(
            lambda: all(n.leadership.holder for n in world.nodes), 'a leader'
        )
        gevent.sleep(0.5)
        asked = [
            node.store.calls['revoke']
            for node in world.nodes
            if node.leadership.lease is None
        ]
        assert sum(asked) <= 1


def test_leader_that_was_replaced_holds_no_key_after_a_restore(world):
    """It took its successor's key for its own, and both had one token."""
    first, second, *_ = hosts(world, 3)
    second.leadership.broadcast = lambda message: None
    second.leadership._acquire()
    assert second.leadership.lease is not None
    gatewayworld.wait_for(
        lambda: first.leadership.holder == second.own_record.host,
        'the successor in the store',
    )
    copy = world.store.snapshot()
    for _ in range(3):
        world.store.put('magnoliadyke/other', b'1')
    world.store.restore(copy)
    gatewayworld.wait_for(
        lambda: all(
            n.follower.lag.own_position.era == world.store.era
            for n in world.nodes
        ),
        'the era',
    )
    gatewayworld.wait_for(
        lambda: second.leadership.held_position.era == world.store.era,
        'the key in the era',
    )
    assert first.leadership.lease is None
    assert not first.leadership.may_order()
    assert first.leadership.fencing != second.leadership.fencing
