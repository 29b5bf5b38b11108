"""Nodes and the platform: configurations, endpoints, hosts, stops."""

import json
import urllib.request

import gevent
import pytest

from magnoliadyke.core import catalog
from magnoliadyke.core import position
from magnoliadyke.core import promptcache
from magnoliadyke.core import shutdown
from tests import gatewayworld


@pytest.fixture
def world():
    with gatewayworld.world() as made:
        made.configure()
        yield made


def call(world, path, node=0, request_id='r1'):
    client = gatewayworld.Client(world.nodes[node])
    try:
        return client.call('GET', path, request_id)
    finally:
        client.close()


def addresses(node):
    """What a host answers callers that ask where to connect."""
    return gevent.get_hub().threadpool.apply(_resolve, (node,))


def _resolve(node):
    url = f'http://{node.settings.directory}/api/resolve?name=x'
    with urllib.request.urlopen(url, timeout=5) as answer:
        return json.load(answer)['addresses']


def test_new_configuration_is_in_force(world):
    world.endpoint('p1')
    node = world.node()
    more = [
        gatewayworld.route('safe', '/safe/', 'safe', 'plain'),
        gatewayworld.route('new', '/new/', 'safe', 'plain'),
    ]
    world.configure(version=5, routes=more)
    gatewayworld.wait_for(
        lambda: node.catalog.configuration.version == 5, 'version 5'
    )
    assert call(world, '/new/x')[0].status == 200


def test_older_configuration_never_comes_back(world):
    """The store answers with an older copy after a newer one was read.

    Callers would see a configuration that has been replaced.
    """
    world.endpoint('p1')
    node = world.node()
    world.configure(version=9)
    gatewayworld.wait_for(
        lambda: node.catalog.configuration.version == 9, 'version 9'
    )
    world.configure(version=4)
    world.endpoint('p2')
    gatewayworld.wait_for(lambda: 'p2' in node.catalog.endpoints, 'p2')
    assert node.catalog.configuration.version == 9


def test_history_that_is_gone_is_read_again(world):
    """The store drops its history and cuts the watches meanwhile.

    The host reads everything anew and misses no change.
    """
    world.endpoint('p1')
    node = world.node()
    world.endpoint('p2')
    world.store.compact()
    world.store.cut()
    gatewayworld.wait_for(lambda: 'p2' in node.catalog.endpoints, 'p2')


def test_leaving_endpoint_gets_no_new_work(world):
    first = world.endpoint('p1')
    second = world.endpoint('p2')
    node = world.node()
    first.state = 'draining'
    world.list(first)
    gatewayworld.wait_for(
        lambda: node.catalog.endpoints['p1'].leaving, 'the word of p1'
    )
    before = len(first.arrivals)
    for number in range(10):
        assert call(world, '/safe/x', 0, f'd{number}')[0].status == 200
    assert len(first.arrivals) == before
    assert len(second.runs) == 10


def test_entries_that_lapse_while_the_store_is_away_come_back(world):
    """The store is away, the entries of all endpoints lapse meanwhile.

    Endpoints that live write them again within two seconds; until then
    they are used as before.
    """
    endpoint = world.endpoint('p1')
    node = world.node()
    world.store.mode = 'busy'
    world.store.cut()
    gatewayworld.wait_for(
        lambda: node.follower.failing_since_s is not None, 'the outage'
    )
    world.store.remove('servers/p1')
    world.store.mode = 'up'
    gatewayworld.wait_for(
        lambda: node.follower.failing_since_s is None, 'the return'
    )
    gatewayworld.wait_for(
        lambda: 'p1' in node.follower.mirror.expired_entries.grace_until_s,
        'the doubt',
    )
    assert call(world, '/safe/x')[0].status == 200
    world.list(endpoint)
    gatewayworld.wait_for(
        lambda: 'p1' not in node.follower.mirror.expired_entries.grace_until_s,
        'the entry',
    )
    assert 'p1' in node.catalog.endpoints


def test_entry_that_stays_away_is_gone(world):
    world.endpoint('p1')
    world.endpoint('p2')
    node = world.node()
    world.store.remove('servers/p1')
    gatewayworld.wait_for(
        lambda: 'p1' not in node.catalog.endpoints, 'the end of p1'
    )


def test_hosts_serve_while_the_store_is_silent(world):
    world.endpoint('p1')
    world.node()
    world.store.mode = 'silent'
    world.store.cut()
    for number in range(5):
        assert call(world, '/safe/x', 0, f's{number}')[0].status == 200


def test_hosts_find_each_other_and_drop_who_leaves(world):
    """A host is told to stop: all others stop naming it at once.

    Callers that were sent there would find nobody.
    """
    world.endpoint('p1')
    first, second = world.node(), world.node()
    both = {first.settings.callers, second.settings.callers}
    gatewayworld.wait_for(lambda: set(addresses(first)) == both, 'both hosts')
    gatewayworld.wait_for(lambda: set(addresses(second)) == both, 'both hosts')
    second.members.leave()
    gatewayworld.wait_for(
        lambda: addresses(first) == [first.settings.callers], 'the farewell'
    )


def test_key_that_was_taken_away_is_written_again(world):
    world.endpoint('p1')
    node = world.node()
    gatewayworld.wait_for(
        lambda: node.own_record.key in world.store.items, 'the own key'
    )
    world.store.remove(node.own_record.key)
    gatewayworld.wait_for(
        lambda: node.own_record.key in world.store.items, 'the key again'
    )


def test_one_host_places_and_another_takes_over(world):
    """The host that places dies without a word.

    Its lease still runs; gossip finds it dead, and another host takes the
    key over, but orders no engine before the orders of the dead one have
    certainly ended.
    """
    world.endpoint('p1')
    first, second = world.node(), world.node()
    gatewayworld.wait_for(
        lambda: (
            first.placement_service.leading != second.placement_service.leading
        ),
        'one leader',
    )
    dead, left = (
        (first, second) if first.placement_service.leading else (second, first)
    )
    gatewayworld.wait_for(
        lambda: (
            left.leadership.holder == dead.own_record.host
            and dead.own_record.host in left.members.membership.members
        ),
        'the word of the leader',
    )
    for part in (
        dead.leadership,
        dead.members,
        dead.placement_service,
        dead.follower,
    ):
        part.stop = lambda _: None
    dead.leadership.greenlet.kill()
    dead.members.greenlets[0].kill()
    dead.members.greenlets[1].kill()
    dead.members.registering.kill()
    dead.members.socket.close()
    left.placement_service.leader_retry_at_s = float('inf')
    gatewayworld.wait_for(
        lambda: left.placement_service.leading, 'the new leader'
    )
    assert not left.leadership.may_order()
    gatewayworld.wait_for(left.leadership.may_order, 'the right to order')


def test_new_placing_host_learns_what_engines_keep(world):
    """The placing host changes; engines keep what they were given before.

    Taken for empty, their prompts would be read anew for some seconds.
    """
    world.endpoint('e1', 'model', 'prefill')
    world.endpoint('e2', 'model', 'decode')
    first, second = world.node(), world.node()
    gatewayworld.wait_for(
        lambda: (
            first.placement_service.leading != second.placement_service.leading
            and (
                first.placement_service.leader
                or second.placement_service.leader
            )
        ),
        'one leader, known to both',
    )
    old, new = (
        (first, second) if first.placement_service.leading else (second, first)
    )
    gatewayworld.wait_for(lambda: new.placement_service.leader, 'the leader')
    client = gatewayworld.Client(old)
    prompt = gatewayworld.prompt((0xA, 2000), (0xB, 3000), (0xC, 500))
    head, _ = client.call('POST', '/once/x', 'r1', b'text', **prompt)
    assert head.status == 200
    new.placement_service.lead()
    old.placement_service.follow(new.settings.ip, position.Position(9, 1))

    def has_learned():
        pool = new.placement_service.served.get('model')
        return pool is not None and 0xB in pool.placement.pool.caches.by_part

    gatewayworld.wait_for(has_learned, 'the memory')


def test_draining_host_ends_kept_connections_with_an_answer(world):
    world.endpoint('p1')
    node = world.node()
    client = gatewayworld.Client(node)
    assert client.call('GET', '/safe/x', 'a')[0].status == 200
    course = shutdown.Shutdown(node.clock.now_s(), 8.0, 2.0)
    node.ingress.drain(course)
    head, _ = client.call('GET', '/safe/x', 'b')
    assert head.status == 200
    assert head.value(b'connection') == b'close'


BORN_MS = 1_786_000_000_000


def reborn(world, name, started_ms):
    """The entry of a process that has started again under its name."""
    endpoint = world.endpoints[name]
    endpoint.started_ms = started_ms
    world.list(endpoint)


def only_engine(node):
    pool = node.placement_service._pool(node.placement_service.served, 'model')
    (engine,) = pool.placement.pool.engines.values()
    return pool.placement, engine


def test_engine_that_starts_again_is_taken_for_a_new_one(world):
    """An engine crashes and is back under the id that it had.

    It keeps no prompt, runs nothing, and its count of orders is 0 again.
    Believed to be the former one, prompts would be sent to it for parts that
    it has lost, and slots would count as taken for good.
    """
    world.endpoint('d1', 'model', 'decode')
    reborn(world, 'd1', BORN_MS)
    node = world.node()
    gatewayworld.wait_for(
        lambda: node.placement_service.leading, 'the placing host'
    )
    core, engine = only_engine(node)
    former = engine.endpoint.id
    parts = (promptcache.PromptPart(1, 4000),)
    core.restore_cache(former, parts)
    core.answers.reserve_slot(7, former, 100, 0.0)
    engine.failures = 5
    core.pool.cool_down(former, node.clock.now_s() + 60.0)
    reborn(world, 'd1', BORN_MS + 5000)
    gatewayworld.wait_for(
        lambda: former not in node.catalog.endpoints, 'the new process'
    )
    core, engine = only_engine(node)
    assert engine.endpoint.name == 'd1'
    assert engine.endpoint.id != former
    assert not engine.runs and not engine.failures
    assert engine.cooldown_until_s == float('-inf')
    assert core.pool.caches.cached_prefixes(parts).max_tokens == 0


def test_late_word_of_a_former_process_changes_nothing(world):
    """What was sent to the former process fails after the new one is known.

    Its failures say nothing of the new process, which must not rest, nor
    count as having served.
    """
    world.endpoint('d1', 'model', 'decode')
    reborn(world, 'd1', BORN_MS)
    node = world.node()
    gatewayworld.wait_for(
        lambda: node.placement_service.leading, 'the placing host'
    )
    former = only_engine(node)[1].endpoint.id
    reborn(world, 'd1', BORN_MS + 5000)
    gatewayworld.wait_for(
        lambda: former not in node.catalog.endpoints, 'the new process'
    )
    only_engine(node)
    node.placement_service.record_failure('model', 1, former)
    node.placement_service.record_prefill_done('model', 2, former)
    node.placement_service.record_kv_transfer('model', 3, former, 0.5)
    _, engine = only_engine(node)
    assert engine.failures == 0
    assert engine.last_success_s == float('-inf')
    assert engine.cooldown_until_s == float('-inf')


def test_entry_of_a_former_process_is_not_taken_back(world):
    """A write of the former process comes late, after that of the new one."""
    world.endpoint('p1')
    reborn(world, 'p1', BORN_MS + 5000)
    node = world.node()
    (present,) = node.catalog.endpoints
    reborn(world, 'p1', BORN_MS)
    gatewayworld.wait_for(
        lambda: node.follower.mirror.unusable['former endpoint'],
        'the old entry',
    )
    assert list(node.catalog.endpoints) == [present]
    assert call(world, '/safe/x')[0].status == 200


def test_request_names_the_process_by_its_published_id(world):
    endpoint = world.endpoint('p1')
    reborn(world, 'p1', BORN_MS)
    world.node()
    assert call(world, '/safe/x')[0].status == 200
    assert endpoint.runs[0].headers[b'x-expect-instance'] == b'p1'


def test_entry_of_another_writer_takes_only_its_own_endpoint_out(world):
    """Somebody writes nonsense under the key of one of two endpoints.

    It names no endpoint to use; requests go to the other one, and the first
    is used again when its own entry is back.
    """
    first = world.endpoint('p1')
    second = world.endpoint('p2')
    node = world.node()
    gatewayworld.wait_for(
        lambda: len(node.catalog.endpoints) == 2, 'both endpoints'
    )
    for value in (b'\xff\xfe', b'[1]', b'{"slots": -4}', b'null'):
        world.store.put('servers/p1', value)
        world.store.put('servers/other', value)
    gatewayworld.wait_for(
        lambda: 'p1' not in node.catalog.endpoints, 'the word of it'
    )
    assert node.follower.mirror.unusable['endpoint']
    for number in range(6):
        assert call(world, f'/safe/{number}')[0].status == 200
    assert not first.runs and len(second.runs) == 6
    world.list(first)
    gatewayworld.wait_for(
        lambda: 'p1' in node.catalog.endpoints, 'its own entry'
    )


def test_configuration_that_cannot_be_read_is_kept_out(world):
    """The one in force stays, and the next good one takes its place."""
    world.endpoint('p1')
    node = world.node()
    before = node.catalog.configuration.version
    wrong = gatewayworld.configuration(version=before + 1)
    wrong['routes'][0]['timeout_ms'] = 'soon'
    world.store.put('op/config', wrong)
    gatewayworld.wait_for(
        lambda: node.follower.mirror.unusable['configuration'],
        'the word of it',
    )
    assert node.catalog.configuration.version == before
    assert call(world, '/safe/x')[0].status == 200
    world.configure(version=before + 2)
    gatewayworld.wait_for(
        lambda: node.catalog.configuration.version == before + 2, 'the next'
    )


def test_host_that_takes_over_knows_what_prompts_take(world):
    """The placing host goes; the one after it places the next prompt.

    Learned anew, what a prompt takes would be guessed for seconds: the first
    burst after each change of host would be let in by a guess.
    """
    world.endpoint('p1', 'model', 'prefill')
    world.endpoint('d1', 'model', 'decode')
    first, second = world.node(), world.node()
    gatewayworld.wait_for(
        lambda: (
            first.placement_service.leading != second.placement_service.leading
        ),
        'one leader',
    )
    old, new = (
        (first, second) if first.placement_service.leading else (second, first)
    )
    core = old.placement_service._pool(
        old.placement_service.served, 'model'
    ).placement
    reading = core.pool.costs[catalog.Stage.PREFILL]
    reading.set_coefficients(0.04, 0.009, 0.0002)
    reading.count = 1000
    gatewayworld.wait_for(
        lambda: new.placement_service.learned_costs, 'what was learned'
    )
    new.placement_service.lead()
    core = new.placement_service._pool(
        new.placement_service.served, 'model'
    ).placement
    found = core.pool.costs[catalog.Stage.PREFILL].coefficients
    assert [round(each, 6) for each in found] == [0.04, 0.009, 0.0002]
