"""Keys of workspaces through real nodes: who is served, what is passed on."""

import io
import sys

import gevent
import pytest

from magnoliadyke import clock as clocks
from magnoliadyke.core import usage
from magnoliadyke.gateway import confirming
from magnoliadyke.gateway import duty_codec
from magnoliadyke.gateway import members
from magnoliadyke.gateway import store
from magnoliadyke.lab import platformcloud
from tests import gatewayworld

KEYS = {'large': ['key-large-1', 'key-large-2'], 'small': ['key-small']}
PROMPT = gatewayworld.prompt((0xA, 2000), (0xB, 3000), (0xC, 500))
BOUND_S = 1.5


@pytest.fixture
def world():
    with gatewayworld.world() as made:
        made.configure(workspaces=KEYS)
        yield made


@pytest.fixture
def plain(world):
    return world.endpoint('p1')


def run(world, key=None, path='/safe/x', method='GET', node=0, **headers):
    if key is not None:
        headers['Api_Key'] = key
    client = gatewayworld.Client(world.nodes[node])
    try:
        return client.call(method, path, 'r1', **headers)
    finally:
        client.close()


def test_endpoint_hears_the_workspace_and_not_the_key(world, plain):
    world.node()
    head, _ = run(world, 'key-large-2')
    assert head.status == 200
    (arrival,) = plain.arrivals
    assert arrival.headers[b'x-tenant'] == b'large'
    assert b'api-key' not in arrival.headers


def test_workspace_that_a_caller_names_is_not_believed(world, plain):
    world.node()
    run(world, 'key-small', X_Tenant='large')
    (arrival,) = plain.arrivals
    assert arrival.headers[b'x-tenant'] == b'small'


@pytest.mark.parametrize('key', [None, '', 'key-of-nobody', 'KEY-SMALL'])
def test_unknown_key_is_rejected_with_a_remedy(world, plain, key):
    world.node()
    head, body = run(world, key)
    assert head.status == 401
    assert b'key' in body
    assert not plain.arrivals


@pytest.mark.parametrize(
    ('path', 'status'), [('/safe/x', 401), ('/of-nobody', 404)]
)
def test_host_that_has_missed_changes_does_not_say_no_for_good(
    world, plain, path, status
):
    """The key or the route may be of a configuration that it has not read."""
    node = world.node()
    assert run(world, 'key-new', path)[0].status == status
    own = node.follower.lag.own_position
    heard_s = node.clock.now_s() - 1.0
    node.follower.lag.record_peer_position(
        'x', own._replace(revision=own.revision + 50), heard_s
    )
    head, _ = run(world, 'key-new', path)
    assert head.status == 503
    assert head.value(b'retry-after')
    assert run(world, 'key-small')[0].status == 200
    node.follower.lag.unseen.clear()
    assert run(world, 'key-new', path)[0].status == status


def test_two_keys_are_no_key(world, plain):
    world.node()
    client = gatewayworld.Client(world.nodes[0])
    client.send(
        b'GET /safe/x HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: r1\r\n'
        b'Api-Key: key-small\r\nApi-Key: key-large-1\r\n\r\n'
    )
    head, _ = client.answer()
    assert head.status == 400
    assert not plain.arrivals


def test_public_route_needs_no_key_and_names_no_workspace(world, plain):
    world.configure(
        version=2,
        workspaces=KEYS,
        routes=[
            gatewayworld.route('s', '/safe/', 'safe', 'plain', public=True)
        ],
    )
    world.node()
    head, _ = run(world, 'key-small', X_Tenant='large')
    assert head.status == 200
    (arrival,) = plain.arrivals
    assert b'x-tenant' not in arrival.headers
    assert b'api-key' not in arrival.headers


def test_key_is_seen_nowhere_but_at_the_host_that_got_it(world, monkeypatch):
    """First tries, prompts read elsewhere, repeats, logs, other hosts."""
    written = io.StringIO()
    monkeypatch.setattr(sys, 'stdout', written)
    datagrams = []
    world.endpoint('p1').mode = 'error'
    world.endpoint('p2')
    world.endpoint('e1', 'model', 'prefill')
    world.endpoint('e2', 'model', 'decode')
    for _ in range(2):
        node = world.node()
        send = node.placement_service.send
        monkeypatch.setattr(
            node.placement_service,
            'send',
            lambda to, m, send=send: (datagrams.append(m), send(to, m)),
        )
    for node in range(2):
        assert run(world, 'key-small', node=node)[0].status == 200
        head, _ = run(world, 'key-large-1', '/once/x', 'POST', node, **PROMPT)
        assert head.status == 200
        assert run(world, 'key-wrong', node=node)[0].status == 401
    arrivals = [a for e in world.endpoints.values() for a in e.arrivals]
    assert len(arrivals) >= 6
    keys = (b'key-small', b'key-large', b'key-wrong')
    seen = repr([(a.headers, a.target, a.body) for a in arrivals]).encode()
    seen += repr(datagrams).encode()
    seen += written.getvalue().encode()
    for node in world.nodes:
        seen += node.metrics.answer(b'GET', b'/metrics').body
    seen += repr(world.store.items.get('magnoliadyke/usage')).encode()
    for key in keys:
        assert key not in seen


def test_key_that_was_taken_away_is_refused_and_a_new_one_works(world, plain):
    world.node()
    assert run(world, 'key-small')[0].status == 200
    world.configure(
        version=2, workspaces={'large': ['key-new'], 'small': ['key-large-1']}
    )
    gatewayworld.wait_for(
        lambda: run(world, 'key-new')[0].status == 200, 'the new key'
    )
    assert run(world, 'key-small')[0].status == 401
    assert run(world, 'key-large-1')[0].status == 200
    assert plain.arrivals[-1].headers[b'x-tenant'] == b'small'


def fail(node, calls=('list_prefix', 'watch', 'read', 'commit', 'renew')):
    """The store answers this host no more."""

    def unavailable(*arguments, **named):
        gevent.sleep(0.01)
        return store.Unavailable('status 503', False)

    for call in calls:
        setattr(node.store, call, unavailable)


def strict_node(world, **fields):
    node = world.node(revoke_s=BOUND_S, **fields)
    gatewayworld.wait_for(node.confirming.is_proof_valid, 'a proof')
    return node


def test_host_that_hears_of_nothing_stops_in_time(world, plain):
    """A key that was taken away behind its back would run for good."""
    node = strict_node(world)
    assert run(world, 'key-small')[0].status == 200
    fail(node)
    gevent.sleep(BOUND_S + 0.05)
    arrived = len(plain.arrivals)
    head, _ = run(world, 'key-small')
    assert head.status == 503
    assert float(head.value(b'retry-after')) > 0
    assert run(world, 'key-of-nobody')[0].status == 503
    assert len(plain.arrivals) == arrived
    assert not node._is_ready()


def test_host_that_was_suspended_does_not_trust_what_it_knew(world, plain):
    """The steady clock stands still while a machine is suspended."""
    node = strict_node(world)
    fail(node)
    monkey = node.confirming.clock
    jump = monkey.boot_s() + BOUND_S
    node.confirming.clock = Suspended(monkey, BOUND_S)
    assert node.confirming.clock.boot_s() >= jump
    assert run(world, 'key-small')[0].status == 503


class Suspended(clocks.SystemClock):
    """A clock whose machine has been suspended for a time."""

    def __init__(self, clock, for_s):
        self.clock = clock
        self.for_s = for_s

    def boot_s(self):
        return self.clock.boot_s() + self.for_s


def test_host_cut_off_from_the_store_serves_by_the_others_proof(world, plain):
    strict_node(world)
    node = strict_node(world)
    gatewayworld.wait_for(lambda: node.members.count() == 2, 'two hosts')
    fail(node)
    gevent.sleep(2 * BOUND_S)
    assert run(world, 'key-small', node=1)[0].status == 200


def test_host_cut_off_from_the_store_takes_no_key_that_was_revoked(
    world, plain
):
    """It hears from the others that there is a newer configuration."""
    strict_node(world)
    node = strict_node(world)
    gatewayworld.wait_for(lambda: node.members.count() == 2, 'two hosts')
    fail(node)
    world.configure(version=2, workspaces={'large': KEYS['large']})
    gevent.sleep(BOUND_S)
    assert run(world, 'key-small', node=1)[0].status in (401, 503)
    gatewayworld.wait_for(
        lambda: run(world, 'key-large-1', node=1)[0].status == 200,
        'the key that stays',
    )


def test_host_that_starts_on_a_copy_of_the_store_asks_the_others(world, plain):
    """The copy brings a key back that was taken away since."""
    first = strict_node(world)
    copy = world.store.snapshot()
    world.configure(version=2, workspaces={'large': KEYS['large']})
    gatewayworld.wait_for(
        lambda: first.catalog.configuration.version == 2, 'version 2'
    )
    world.store.restore(copy)
    world.node(revoke_s=BOUND_S, wait=False)
    until_s = gevent.get_hub().loop.now() + 7.0
    while gevent.get_hub().loop.now() < until_s:
        status = run(world, 'key-small', node=1)[0].status
        assert status in (401, 503)
        gevent.sleep(0.1)


def test_hosts_that_all_start_on_a_copy_take_no_key_that_was_revoked(
    world, plain, monkeypatch
):
    """None of them knows more than the copy, so none can vouch for it."""
    monkeypatch.setattr(confirming, 'RESTORED_WAIT_S', 60.0)
    for _ in range(3):
        strict_node(world)
    copy = world.store.snapshot()
    world.configure(version=2, workspaces={'large': KEYS['large']})
    gatewayworld.wait_for(
        lambda: all(n.catalog.configuration.version == 2 for n in world.nodes),
        'version 2',
    )
    killed = list(world.nodes)
    for node in killed:
        world.kill(node)
    world.store.restore(copy)
    for node in killed:
        world.start_again(node, wait=False)
    until_s = gevent.get_hub().loop.now() + 2.0
    while gevent.get_hub().loop.now() < until_s:
        assert run(world, 'key-small', node=1)[0].status in (401, 503)
        gevent.sleep(0.05)
    world.configure(version=2, workspaces={'large': KEYS['large']})
    gatewayworld.wait_for(
        lambda: run(world, 'key-large-1', node=1)[0].status == 200,
        'the key that stays',
    )
    assert run(world, 'key-small', node=1)[0].status == 401


def test_denial_asks_another_host_until_one_has_replied(
    world, plain, monkeypatch
):
    """A store that was never restored may be behind another host as well."""
    node = world.node()
    asked = []
    monkeypatch.setattr(node.confirming, '_ask_peers', asked.append)
    node.confirming.proof.proved_s = float('-inf')
    assert run(world, 'key-new')[0].status == 401
    assert asked


def test_end_of_all_hosts_alone_delays_no_key(world, plain, monkeypatch):
    """The store was not restored, and says that it is trusted."""
    world.settled = False
    for _ in range(3):
        strict_node(world)
    gatewayworld.wait_for(
        lambda: confirming.ERA_KEY in world.store.items, 'the record'
    )
    monkeypatch.setattr(confirming, 'RESTORED_WAIT_S', 60.0)
    killed = list(world.nodes)
    for node in killed:
        world.kill(node)
    for node in killed:
        world.start_again(node, wait=False)
    gatewayworld.wait_for(
        lambda: run(world, 'key-small')[0].status == 200, 'a request'
    )


def test_proof_is_renewed_by_one_host(world, plain):
    for _ in range(4):
        strict_node(world)
    gatewayworld.wait_for(
        lambda: all(
            n.placement_service.leading or n.placement_service.leader
            for n in world.nodes
        ),
        'who leads',
    )
    gevent.sleep(1.0)
    before = world.store.calls.count('/api/kv-key')
    gevent.sleep(3.0)
    calls = world.store.calls.count('/api/kv-key') - before
    assert 3 <= calls <= 3.0 / (0.2 * BOUND_S) + 2
    assert all(n.confirming.is_proof_valid() for n in world.nodes)


def duty_settings(cloud, window_s=1.0, due_s=5.0):
    return {
        'address': cloud.address,
        'names': ['usage_report', 'autoscale'],
        'usage_window_s': window_s,
        'usage_due_s': due_s,
    }


@pytest.fixture
def cloud():
    made = platformcloud.PlatformCloudStandIn()
    made.start()
    yield made
    made.stop()


def began(world, window_s=1.0):
    """Runs by window and workspace, as the endpoints saw them."""
    return sum(
        1 for e in world.endpoints.values() for a in e.arrivals if a.run
    )


def reported(cloud):
    return sum(sum(counts[0].values()) for counts in cloud.reports().values())


def serving_nodes(world, cloud, count=3, **windows):
    """Nodes of which one may order, that one first."""
    for _ in range(count):
        world.node(duties=duty_settings(cloud, **windows))
    gatewayworld.wait_for(
        lambda: any(n.leadership.may_order() for n in world.nodes),
        'a host that may order',
    )
    return sorted(world.nodes, key=lambda n: not n.leadership.may_order())


def call_for(world, seconds, key='key-small'):
    until_s = gevent.get_hub().loop.now() + seconds
    number = 0
    while gevent.get_hub().loop.now() < until_s:
        node = number % len(world.nodes)
        assert run(world, key, node=node)[0].status == 200
        number += 1
        gevent.sleep(0.05)
    return number


def test_what_endpoints_began_is_reported_once(world, plain, cloud):
    serving_nodes(world, cloud)
    made = call_for(world, 2.0) + call_for(world, 0.5, 'key-large-1')
    gatewayworld.wait_for(lambda: reported(cloud) == made, 'all reports')
    assert began(world) == made
    assert not cloud.breaches()
    totals = {}
    for counts in cloud.reports().values():
        for name, count in counts[0].items():
            totals[name] = totals.get(name, 0) + count
    assert set(totals) == {'large', 'small'}


def test_report_whose_answer_is_lost_is_repeated_exactly(world, plain, cloud):
    """Counted again it would be another report of the same window."""
    cloud.lose_answers = True
    serving_nodes(world, cloud)
    made = call_for(world, 1.0)
    gatewayworld.wait_for(lambda: len(cloud.calls) >= 4, 'repeats')
    cloud.lose_answers = False
    gatewayworld.wait_for(lambda: reported(cloud) == made, 'all reports')
    assert not cloud.breaches()


@pytest.mark.parametrize('mode', ['busy', 'limited', 'reset'])
def test_reports_wait_for_a_platform_that_does_not_answer(
    world, plain, cloud, mode
):
    cloud.mode = mode
    serving_nodes(world, cloud)
    made = call_for(world, 1.0)
    gevent.sleep(1.5)
    cloud.mode = 'up'
    gatewayworld.wait_for(lambda: reported(cloud) == made, 'all reports')
    assert not cloud.breaches()


def test_successor_repeats_what_was_fixed(world, plain, cloud):
    """The host that reports is killed between the call and its answer."""
    leader, *_ = serving_nodes(world, cloud, window_s=2.0, due_s=20.0)
    made = call_for(world, 1.0)
    cloud.lose_answers = True
    gevent.sleep(1.2)
    gatewayworld.wait_for(lambda: cloud.calls, 'a report')
    world.kill(leader)
    cloud.lose_answers = False
    gatewayworld.wait_for(
        lambda: (
            reported(cloud) == made
            and len({call.holder for call in cloud.calls}) == 2
        ),
        'the reports of the other host',
        wait_s=20.0,
    )
    assert not cloud.breaches()


def test_restore_of_the_store_makes_no_second_report(world, plain, cloud):
    """The copy is from before the report was fixed."""
    serving_nodes(world, cloud)
    copy = world.store.snapshot()
    call_for(world, 1.0)
    gatewayworld.wait_for(lambda: cloud.reports(), 'a report')
    world.store.restore(copy)
    call_for(world, 1.0)
    before = len(cloud.reports())
    gatewayworld.wait_for(
        lambda: len(cloud.reports()) > before + 1, 'more reports', wait_s=20.0
    )
    assert not cloud.breaches()


def test_hosts_that_do_not_report_hear_nothing_of_reports(
    world, plain, cloud, monkeypatch
):
    """A report is larger than a datagram: each host would read it anew."""
    monkeypatch.setattr(members, 'MAX_ALL_WATCH_HOSTS', 2)
    monkeypatch.setattr(members, 'WATCHERS', 1)
    serving_nodes(world, cloud, 4)
    gatewayworld.wait_for(
        lambda: sum(n.follower.is_following_peers for n in world.nodes) >= 2,
        'hosts that listen',
    )
    listening = [n for n in world.nodes if n.follower.is_following_peers]
    gatewayworld.wait_for(lambda: cloud.reports(), 'a report')
    before = [n.store.calls['watch'] for n in listening]
    reports = len(cloud.reports())
    gatewayworld.wait_for(
        lambda: len(cloud.reports()) >= reports + 3, 'three more'
    )
    still = [n for n in listening if n.follower.is_following_peers]
    assert still
    for node, calls in zip(listening, before, strict=True):
        if node in still:
            assert node.store.calls['watch'] - calls <= 1


class Stepped(clocks.SystemClock):
    """A clock whose time of day is off."""

    def __init__(self, by_s):
        self.by_s = by_s

    def wall_s(self):
        return super().wall_s() + self.by_s


def test_host_that_starts_with_a_clock_that_is_far_off_is_counted(
    world, plain, cloud
):
    """Its windows would be later ones, and push those of others out."""
    for by_s in (0.0, 0.0, 2400.0):
        clock = Stepped(by_s)
        world.node(clock=clock, duties=duty_settings(cloud))
    gatewayworld.wait_for(
        lambda: any(n.leadership.may_order() for n in world.nodes),
        'a host that may order',
    )
    leader = next(n for n in world.nodes if n.leadership.may_order())
    later = leader.usage._window(0.0) + 2400
    windows = {later + number: {'small': 1} for number in range(20)}
    leader.usage.handle_usage(duty_codec.Usage('front-9', 1, windows, None))
    made = call_for(world, 1.0)
    gatewayworld.wait_for(lambda: reported(cloud) == made, 'all reports')
    present = world.nodes[0].usage._window(0.0)
    assert all(abs(w - present) < 60 for w in cloud.reports())
    assert not cloud.breaches()


def test_time_that_waited_while_this_host_stood_still_is_not_taken(
    world, plain, cloud
):
    leader, *others = serving_nodes(world, cloud)
    node = others[0].usage
    before_s = node.wall.offset_s
    node.last_sent_s -= 6.0
    node.handle_wall_time(duty_codec.WallTime(node.wall_s() - 6.0))
    assert node.wall.offset_s == before_s
    node.last_sent_s = node.clock.boot_s()
    node.handle_wall_time(duty_codec.WallTime(node.wall_s() - 6.0))
    assert node.wall.offset_s < before_s - 5.0


def test_host_that_knows_of_no_report_cannot_fix_another_one(
    world, plain, cloud
):
    """Both count the window, and have heard of different requests."""
    first, second, *_ = serving_nodes(world, cloud)
    call_for(world, 0.5)
    gatewayworld.wait_for(lambda: reported(cloud), 'a report')
    window, fixed = max(first.usage.reports.fixed.items())
    other = second.usage
    other.key = None
    other.reports = usage.Reports(other.retained_windows)
    other.ledger.record_counts('front-9', 1, window, {'small': 99})
    assert not other._finalize(window)
    assert other.reports.fixed[window] == fixed
