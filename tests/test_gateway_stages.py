"""Orders to engines: under the lease, checked at the store."""

import logbook
import pytest

from magnoliadyke.core import catalog
from magnoliadyke.gateway import enginecontrol
from magnoliadyke.gateway import metricscollector
from magnoliadyke.gateway import stages

from tests import gatewayworld


@pytest.fixture
def fleet():
    with gatewayworld.world() as world:
        world.configure()
        for number in range(2):
            world.endpoint(f'p{number}', 'model', 'prefill')
        for number in range(3):
            world.endpoint(f'd{number}', 'model', 'decode')
        node = world.node()
        gatewayworld.wait_for(node.leadership.may_order, 'the lease')
        gatewayworld.wait_for(
            lambda: len(node.catalog.usable('model')) == 5, 'all engines'
        )
        yield world, node


def served(node):
    """The placement of the service that has engines."""
    return node.placement_service._pool(node.placement_service.served, 'model')


def press(node):
    """Ask for more reading than the engines that read can do."""
    pool = served(node)
    pool.placement.prefill_demand.add(50.0, node.clock.now_s())
    return pool.placement


@pytest.fixture
def pair():
    """One engine that reads, one that answers; both carry orders out."""
    with gatewayworld.world() as world:
        world.configure()
        world.engine('p0', 'prefill')
        world.engine('d0', 'decode')
        node = world.node()
        gatewayworld.wait_for(node.leadership.may_order, 'the lease')
        yield world, node


def orders(world):
    return [o for e in world.endpoints.values() for o in e.orders]


def test_pressed_stage_gets_an_engine(fleet):
    world, node = fleet
    press(node)
    gatewayworld.wait_for(lambda: orders(world), 'the order')
    (order,) = orders(world)
    assert order['stage'] == 'prefill'
    assert order['holder'] == node.settings.name
    assert order['fence'] == node.leadership.fencing
    assert order['precondition'] == 0
    (changed,) = [e for e in world.endpoints.values() if e.orders]
    engine = node.placement_service.served['model'].placement.pool.engines[
        changed.name
    ]
    # The engine has the order before the host has its answer.
    gatewayworld.wait_for(
        lambda: engine.cooldown_until_s > node.clock.now_s(), 'the rest'
    )


def test_holder_that_lost_its_key_orders_nothing(fleet):
    """The key was taken over while its holder was paused.

    Its own clock still says that the lease runs; the store's word is asked
    for before each order, so no engine hears of two holders.
    """
    world, node = fleet
    world.store.remove('magnoliadyke/leader')
    core = press(node)
    control = node.stages.control
    target = node.catalog.endpoints['d0']
    asked = []
    original = control.order_stage
    control.order_stage = lambda *args: asked.append(args) or original(*args)
    node.stages._order([target], catalog.Stage.PREFILL, core)
    assert not asked
    assert not world.endpoints['d0'].orders


def test_no_order_right_after_another_holder(fleet):
    _, node = fleet
    node.leadership.order_from_s = node.clock.now_s() + 60
    assert not node.leadership.may_order()


def test_no_order_once_the_lease_may_have_ended(fleet):
    _, node = fleet
    node.leadership.order_until_s = node.clock.now_s() - 0.1
    assert not node.leadership.may_order()


def test_order_without_an_answer_leaves_the_engine_alone(fleet):
    """An order that got no answer may be carried out seconds later.

    Another one meanwhile would be a second change on top of it.
    """
    world, node = fleet
    engine = node.catalog.endpoints['d1']
    world.endpoints['d1'].stop()
    core = press(node)
    node.stages._send(engine, 0, catalog.Stage.PREFILL, core)
    assert node.stages.cooldown_until_s['d1'] > node.clock.now_s() + 10


@pytest.fixture
def logged():
    handler = logbook.TestHandler()
    with handler.applicationbound():
        yield handler


def lines(logged, event):
    return [
        each.message
        for each in logged.records
        if each.message.startswith(f'event={event} ')
    ]


@pytest.mark.parametrize(
    ('may_order', 'left_alone', 'hindrance'),
    [
        (False, False, stages.BlockedReason.LEASE),
        (True, True, stages.BlockedReason.COOLING_DOWN),
    ],
)
def test_log_tells_why_no_engine_is_made_to_answer(
    fleet, logged, may_order, left_alone, hindrance
):
    """All engines that answer leave, and no order brings another.

    Whether the lease or an order on its way holds the change back can't be
    seen at the engines: the line names it, once, until it changes.
    """
    world, node = fleet
    served(node)
    node.stages.leadership.may_order = lambda: may_order
    if left_alone:
        for name in ('p0', 'p1'):
            node.stages.retry_from_s[name] = node.clock.now_s() + 60
    for name in ('d0', 'd1', 'd2'):
        world.store.remove(f'servers/{name}')
    gatewayworld.wait_for(lambda: lines(logged, 'no_engine_answers'), 'line')
    gatewayworld.gevent.sleep(3 * stages.TICK_S)
    (line,) = lines(logged, 'no_engine_answers')
    assert f'hindrance="{hindrance.value}"' in line
    assert 'reading=2' in line
    assert not orders(world)
    for name in ('d0', 'd1', 'd2'):
        world.list(world.endpoints[name])
    gatewayworld.wait_for(lambda: lines(logged, 'engine_answers'), 'the end')


def test_metrics_count_engines_by_stage(fleet):
    """An alarm on a stage without an engine needs its zero."""
    world, node = fleet
    for name in ('d0', 'd1', 'd2'):
        world.store.remove(f'servers/{name}')
    gatewayworld.wait_for(
        lambda: len(node.catalog.usable('model')) == 2, 'that they left'
    )
    text = node.metrics.answer(
        b'GET', metricscollector.METRICS_PATH
    ).body.decode()
    count = 'magnoliadyke_engines{service="model",stage="%s"} %.1f'
    assert count % ('decode', 0) in text
    assert count % ('prefill', 2) in text


LONG = gatewayworld.prompt((1, 4000), (2, 1000))


def test_engine_that_is_left_alone_is_made_to_answer(pair):
    """Every caller of a model service is refused, for good.

    All its engines leave but one, and that one only reads.  Engines that
    answer can read as well, at half speed; those that read can't answer, so
    nothing is served until it changes.  The plan had no place for a fleet of
    one: the engine idled, before and after all hosts came back, and the log
    named neither the lease nor an order but "the stage plan requires no
    change".
    """
    world, node = pair
    client = gatewayworld.Client(node)
    head, _ = client.call('POST', '/chat/a', 'r1', b'x', **LONG)
    assert head.status == 200
    world.store.remove('servers/d0')
    gatewayworld.wait_for(
        lambda: world.endpoints['p0'].stage == 'decode', 'the change'
    )
    gatewayworld.wait_for(
        lambda: served(node).placement.pool.has_open_engine(),
        'the engine as known',
    )
    head, _ = client.call('POST', '/chat/a', 'r2', b'x', **LONG)
    assert head.status == 200


def test_order_that_is_lost_is_repeated_while_no_engine_answers(pair):
    """Every caller is refused for a quarter of a minute after a lost order.

    The engine that answers leaves; the order to the other one is lost on its
    way.  An order without an answer may come late, so its engine is left
    alone for 15 s, and there is no other engine to ask.
    """
    world, node = pair
    lost = []
    original = node.stages.control.order_stage

    def order_stage(endpoint, stage, holder, fencing, accepted):
        if not lost:
            lost.append(accepted)
            return enginecontrol.Unreachable('lost')
        return original(endpoint, stage, holder, fencing, accepted)

    node.stages.control.order_stage = order_stage
    served(node)
    world.store.remove('servers/d0')
    gatewayworld.wait_for(lambda: orders(world), 'the order again')
    (order,) = orders(world)
    assert [order['precondition']] == lost
    assert order['stage'] == 'decode'
