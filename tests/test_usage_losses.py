"""Usage reports when the store is restored and hosts end within seconds."""

import gevent
import pytest

from magnoliadyke.gateway import members
from magnoliadyke.gateway import usageduty
from magnoliadyke.lab import platformcloud
from tests import gatewayworld
from tests import test_gateway_keys

WINDOW_S = 2.0
DUE_S = 30.0
call_for = test_gateway_keys.call_for


@pytest.fixture
def cloud():
    made = platformcloud.PlatformCloudStandIn()
    made.start()
    yield made
    made.stop()


@pytest.fixture
def world():
    with gatewayworld.world() as made:
        made.configure(workspaces=test_gateway_keys.KEYS)
        made.endpoint('p1')
        yield made


def serving_nodes(world, cloud, count=3):
    return test_gateway_keys.serving_nodes(
        world, cloud, count, window_s=WINDOW_S, due_s=DUE_S
    )


def report_after_a_copy(world, cloud):
    """Return a copy of the store that lacks a report that was accepted."""
    gatewayworld.wait_for(cloud.reports, 'a report in the copy')
    copy = world.store.snapshot()
    known = set(cloud.reports())
    call_for(world, WINDOW_S)
    gatewayworld.wait_for(
        lambda: any(
            sum(counts[0].values())
            for window, counts in cloud.reports().items()
            if window not in known
        ),
        'a report after the copy',
    )
    return copy


def kill_all(world):
    killed = list(world.nodes)
    for node in killed:
        world.kill(node)
    return killed


def start_all(world, killed):
    for node in killed:
        world.start_again(node)


def wait_for_reports(world, cloud, count=2):
    """Wait for reports of windows that begin from now on."""
    start = world.nodes[0].usage._window(0.0) + 1
    call_for(world, 2 * WINDOW_S)
    gatewayworld.wait_for(
        lambda: sum(w >= start for w in cloud.reports()) >= count,
        'reports after the losses',
        wait_s=30.0,
    )


@pytest.mark.parametrize('delay_s', [0.0, 0.6])
def test_report_that_store_and_all_hosts_forgot_is_not_made_again(
    world, cloud, delay_s
):
    """A window was billed twice after a restore and the end of all hosts."""
    serving_nodes(world, cloud)
    copy = report_after_a_copy(world, cloud)
    if delay_s:
        world.store.restore(copy)
        gevent.sleep(delay_s)
        killed = kill_all(world)
    else:
        killed = kill_all(world)
        world.store.restore(copy)
    start_all(world, killed)
    wait_for_reports(world, cloud)
    assert not cloud.breaches()


def test_report_that_only_the_dead_leader_knew_is_not_made_again(
    world, cloud, monkeypatch
):
    """Hosts that follow others in reading the store hear of no reports."""
    monkeypatch.setattr(members, 'MAX_ALL_WATCH_HOSTS', 2)
    monkeypatch.setattr(members, 'WATCHERS', 1)
    leader, *others = serving_nodes(world, cloud, 4)
    gatewayworld.wait_for(
        lambda: any(n.follower.is_following_peers for n in others),
        'hosts that follow others',
    )
    copy = report_after_a_copy(world, cloud)
    listening = [n for n in others if n.follower.is_following_peers]
    for node in set(world.nodes) - set(listening):
        world.kill(node)
    world.store.restore(copy)
    wait_for_reports(world, cloud)
    assert not cloud.breaches()


def test_restore_alone_costs_no_report(world, cloud):
    """The leader knows all reports, as no other host can have made any."""
    leader, *_ = serving_nodes(world, cloud)
    copy = report_after_a_copy(world, cloud)
    first = min(cloud.reports())
    world.store.restore(copy)
    wait_for_reports(world, cloud)
    windows = sorted(w for w in cloud.reports() if w >= first)
    assert windows == list(range(first, windows[-1] + 1))
    assert not cloud.breaches()
    assert leader.usage.history.is_recorded()


def test_end_of_all_hosts_alone_costs_no_report(world, cloud):
    """The store tells that it holds all reports of its era."""
    serving_nodes(world, cloud)
    report_after_a_copy(world, cloud)
    first = min(cloud.reports())
    start_all(world, kill_all(world))
    wait_for_reports(world, cloud)
    windows = sorted(w for w in cloud.reports() if w >= first)
    assert windows == list(range(first, windows[-1] + 1))
    assert not cloud.breaches()


def test_leader_writes_reports_again_that_a_restore_has_lost(world, cloud):
    """Else they are lost if all hosts end before the next report."""
    leader, *_ = serving_nodes(world, cloud)
    copy = report_after_a_copy(world, cloud)
    known = dict(leader.usage.reports.fixed)
    world.store.restore(copy)
    gatewayworld.wait_for(
        lambda: world.store.items[usageduty.ERA_KEY].revision > copy.revision,
        'a record of the new era',
    )
    value = world.store.items[usageduty.REPORTS_KEY].value
    assert known.items() <= leader.usage.reports.parse(value).fixed.items()


def test_leader_that_stood_still_over_a_restore_does_not_know_all_reports(
    world, cloud
):
    """Another host can have led, and reported, in the meantime."""
    leader, *_ = serving_nodes(world, cloud)
    copy = report_after_a_copy(world, cloud)
    leader.leadership.held_s -= 60.0
    leader.follower.read_s -= 60.0
    leader.leadership._record_held = lambda: None
    world.store.restore(copy)
    gatewayworld.wait_for(lambda: leader.usage.history.era == 2, 'the era')
    present = leader.usage._window(0.0)
    assert present - 1 <= leader.usage._first_unreported() <= present
