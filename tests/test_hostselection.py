"""Tests of the selection of hosts for callers, and of its inputs."""

import json
import random

import hypothesis
from hypothesis import strategies
import pytest

from magnoliadyke import clock as clocks
from magnoliadyke.core import catalog
from magnoliadyke.core import hostselection
from magnoliadyke.core import membership
from magnoliadyke.core import position
from magnoliadyke.core import prefillcost
from magnoliadyke.gateway import members
from magnoliadyke.gateway import placement_codec
from magnoliadyke.gateway import placementservice
from magnoliadyke.gateway import store
from magnoliadyke.platform import directory

Basis = hostselection.Basis


def fleet(*groups, block=1):
    """Make hosts from (count, capacity) pairs, in three failure domains."""
    capacities = [each for count, each in groups for _ in range(count)]
    return [
        hostselection.Host(
            f'10.0.0.{n}:80', f'd{n // block % 3}', float(capacity)
        )
        for n, capacity in enumerate(capacities)
    ]


@pytest.mark.parametrize(
    ('groups', 'demand_s', 'listed', 'basis'),
    [
        (((8, 7000), (82, 400)), 500, 8, Basis.DEMAND),
        (((8, 7000), (82, 400)), 20000, 8, Basis.DEMAND),
        (((12, 700), (6, 300), (9, 100)), None, 12, Basis.UNKNOWN_DEMAND),
        (((9, 700), (20, 300)), 1575, 9, Basis.DEMAND),
        (((9, 700), (20, 300)), 1576, 29, Basis.DEMAND),
        (((9, 700), (60, 300)), 1576, 64, Basis.DEMAND),
        (((40, 7000), (5, 3501)), 1, 45, Basis.EQUAL_HOSTS),
        ((), 1, 0, Basis.EQUAL_HOSTS),
    ],
)
def test_hosts_are_listed_by_demand(groups, demand_s, listed, basis):
    found = hostselection.select(fleet(*groups), demand_s)
    assert (len(found.hosts), found.basis) == (listed, basis)


GROUPS = strategies.tuples(
    strategies.integers(1, 40), strategies.sampled_from((0, 1, 1.9, 5, 7000))
)


@hypothesis.given(
    strategies.lists(GROUPS, min_size=1, max_size=4),
    strategies.none() | strategies.floats(0, 1e5),
    strategies.integers(1, 60),
)
@hypothesis.example([(6, 7000), (94, 5)], 1e5, 1)
def test_list_is_long_enough_and_treats_equal_hosts_alike(
    groups, demand, block
):
    """Too short a list would leave callers no host, or an overloaded one."""
    hosts = fleet(*groups, block=block)
    found = hostselection.select(hosts, demand).hosts
    assert found == hostselection.select(hosts, demand).hosts
    assert min(4, len(hosts)) <= len(found) <= 64
    for domain in ('d0', 'd1', 'd2'):
        best, kept = (
            sorted(h.capacity for h in some if h.failure_domain == domain)[-1:]
            for some in (hosts, found)
        )
        assert kept == best
    left_out = {host.capacity for host in set(hosts) - set(found)}
    if left_out and len(found) < 64:
        assert len({host.capacity for host in hosts}) > 1
        assert not left_out & {host.capacity for host in found}
        # Callers choose at random, so the weakest host bounds the list.
        shortest = len(found) * min(host.capacity for host in found)
        longest = len(hosts) * min(host.capacity for host in hosts)
        enough = longest if demand is None else min(longest, 4 * demand)
        assert shortest >= enough


def record(number, capacity):
    ip = f'10.0.0.{number}'
    return members.HostRecord(
        f'h{number}',
        1,
        ip,
        f'{ip}:80',
        9,
        f'd{number % 3}',
        1.0,
        prompts_s=capacity,
    )


def hear_of(made, heard):
    made.add_listed_host(store.Item(heard.key, heard.dump(), position.START))
    source = members._member(heard)
    ping = membership.Ping(1, source, made.own.host, (), (), b'')
    made.membership.receive(ping, made.clock.now_s())


def members_of(capacities, clock):
    """Make the membership of h0, which has heard of all other hosts."""
    own, *others = (record(n, each) for n, each in enumerate(capacities))
    made = members.Members(own, None, clock, random.Random(1), 5)
    for each in others:
        hear_of(made, each)
    return made


def service_told(clock, *demands_s):
    service = placementservice.PlacementService(
        '10.0.0.0', 10, catalog.Catalog(), clock, random.Random(1), 5
    )
    costs = prefillcost.CostCoefficients(0.04, 0.009, 0.0002, 2.5)
    for demand_s in demands_s:
        update = placement_codec.CostUpdate(
            'model', costs, requests_s=demand_s
        )
        service._receive(update, '10.0.0.1')
    return service


def test_directory_tells_the_selected_hosts(monkeypatch):
    """Bodies queue on narrow links if callers are told of all hosts."""
    clock = clocks.ManualClock()
    made = members_of([7000] * 9 + [400] * 20, clock)
    made.demand = lambda: placementservice.Demand(5000, 1000.0)
    lines = []
    monkeypatch.setattr(members.LOG, 'event', lambda _, **f: lines.append(f))
    answers = directory.Directory(made.addresses, lambda: True, 2.0)
    for _ in range(2):
        clock.advance(members.SELECTION_LOG_INTERVAL_S)
        reply = answers.resolve(b'GET', directory.RESOLVE)
        told = json.loads(reply.body)['addresses']
        assert set(told) == {f'10.0.0.{n}:80' for n in range(9)}
    assert [(f['alive'], f['listed'], f['basis']) for f in lines] == [
        (29, 9, 'demand')
    ]
    made.accepts_requests = lambda: False
    assert '10.0.0.0:80' not in made.addresses()


def test_fast_hosts_are_listed_while_the_demand_is_unknown():
    """Silence of the leader must not look like a demand of 0."""
    clock = clocks.ManualClock()
    made = members_of([700] * 8 + [600] * 4 + [40] * 20, clock)
    assert len(made.addresses()) == 12
    made.demand = service_told(clock, 10, -1, None).demand
    assert made.demand().requests_s == 10
    assert len(made.addresses()) == 8
    clock.advance(placementservice.DEMAND_TTL_S + 0.1)
    assert len(made.addresses()) == 12


def test_new_leader_goes_by_the_demand_of_the_former_one_at_first():
    """Its average starts at 0, which would shorten the list in a burst."""
    clock = clocks.ManualClock()
    service = service_told(clock, 500)
    service.lead()
    assert service.demand().requests_s == 500
    clock.advance(placementservice.DEMAND_WARM_UP_S)
    assert service.demand() == placementservice.Demand(0, clock.now_s())


@pytest.mark.parametrize('capacity', ['1', float('nan'), -1, 10**400])
def test_host_without_a_usable_record_counts_with_the_lowest(capacity):
    """A lost or malformed record must neither hide nor prefer a host."""
    made = members_of([700] * 8 + [300] * 40, clocks.ManualClock())
    hear_of(made, record(48, capacity))
    made.demand = lambda: placementservice.Demand(1400, 1000.0)
    assert len(made.addresses()) == 8
    made.demand = lambda: placementservice.Demand(1401, 1000.0)
    assert len(made.addresses()) == 49
