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
from magnoliadyke.core import prefillcost
from magnoliadyke.gateway import members
from magnoliadyke.gateway import placement_codec
from magnoliadyke.gateway import placementservice
from magnoliadyke.platform import directory

Basis = hostselection.Basis


def fleet(*groups):
    """Make hosts from (count, capacity) pairs, in three failure domains."""
    capacities = [each for count, each in groups for _ in range(count)]
    return [
        hostselection.Host(f'10.0.0.{n}:80', f'd{n % 3}', float(capacity))
        for n, capacity in enumerate(capacities)
    ]


FLEETS = strategies.lists(
    strategies.tuples(
        strategies.integers(1, 40),
        strategies.sampled_from((0, 1, 1.9, 5, 400, 7000)),
    ),
    min_size=1,
    max_size=4,
).map(lambda groups: fleet(*groups))
DEMANDS = strategies.none() | strategies.floats(0, 1e5)


def by_domain(hosts, domain):
    return [host for host in hosts if host.failure_domain == domain]


@pytest.mark.parametrize(
    ('groups', 'demand_s', 'listed', 'basis'),
    [
        (((8, 7000), (82, 400)), 500, 8, Basis.DEMAND),
        (((8, 7000), (82, 400)), None, 8, Basis.UNKNOWN_DEMAND),
        (((8, 7000), (82, 400)), 20000, 64, Basis.DEMAND),
        (((12, 700), (6, 300), (9, 100)), None, 18, Basis.UNKNOWN_DEMAND),
        (((9, 700), (6, 300)), 1575, 9, Basis.DEMAND),
        (((9, 700), (6, 300)), 1576, 15, Basis.DEMAND),
        (((40, 7000), (5, 3501)), 1, 45, Basis.EQUAL_HOSTS),
        ((), 1, 0, Basis.EQUAL_HOSTS),
    ],
)
def test_hosts_are_listed_by_demand(groups, demand_s, listed, basis):
    found = hostselection.select(fleet(*groups), demand_s, random.Random(1))
    assert (len(found.hosts), found.basis) == (listed, basis)


@hypothesis.given(FLEETS, DEMANDS, strategies.integers())
def test_minimum_of_hosts_domains_and_capacity_is_listed(hosts, demand, seed):
    """Too short a list would leave callers no host, or an overloaded one."""
    found = hostselection.select(hosts, demand, random.Random(seed)).hosts
    limit = hostselection.MAX_LISTED_HOSTS
    assert min(8, len(hosts)) <= len(found) <= limit
    assert set(found) <= set(hosts)
    for domain in ('d0', 'd1', 'd2'):
        best = sorted(h.capacity for h in by_domain(hosts, domain))[-2:]
        if len(best) == 2:
            kept = sorted(h.capacity for h in by_domain(found, domain))
            assert kept[-2:] == best
    if demand is not None and len(found) < min(limit, len(hosts)):
        assert sum(h.capacity for h in found) >= 4 * demand


@hypothesis.given(FLEETS, DEMANDS, strategies.integers())
def test_hosts_of_equal_capacity_are_treated_alike(hosts, demand, seed):
    found = hostselection.select(hosts, demand, random.Random(seed)).hosts
    if len(found) < hostselection.MAX_LISTED_HOSTS:
        left_out = {h.capacity for h in set(hosts) - set(found)}
        assert not left_out & {h.capacity for h in found}
    if len({h.capacity for h in hosts}) == 1 and len(hosts) <= 64:
        assert found == tuple(hosts)


def record(number, capacity):
    address = f'10.0.0.{number}'
    return members.HostRecord(
        f'h{number}',
        1,
        address,
        f'{address}:80',
        9,
        f'd{number % 3}',
        capacity,
    )


def hear_of(made, heard):
    source = members._member(heard)
    ping = membership.Ping(1, source, made.own.host, (), (), b'')
    made.membership.receive(ping, made.clock.now_s())


def members_of(capacities, clock=None):
    """Make the membership of h0, which has heard of all other hosts."""
    clock = clock or clocks.ManualClock()
    records = [record(n, each) for n, each in enumerate(capacities)]
    made = members.Members(records[0], None, clock, random.Random(1), 5)
    for each in records[1:]:
        made.add_listed_host(each.dump())
        hear_of(made, each)
    return made


def service_of(clock):
    return placementservice.PlacementService(
        '10.0.0.0', 10, catalog.Catalog(), clock, random.Random(1), 5
    )


def update(requests_s):
    costs = prefillcost.CostCoefficients(0.04, 0.009, 0.0002, 2.5)
    return placement_codec.CostUpdate('model', costs, requests_s=requests_s)


def test_callers_are_told_the_selected_hosts(monkeypatch):
    """Bodies queue on narrow links if callers are told of all hosts."""
    made = members_of([7000] * 9 + [400] * 20)
    made.demand = lambda: placementservice.Demand(5000, 1000.0)
    lines = []
    monkeypatch.setattr(
        members.LOG, 'event', lambda name, **fields: lines.append(fields)
    )
    answers = directory.Directory(made.addresses, lambda: True, 2.0)
    for _ in range(2):
        reply = answers.resolve(b'GET', directory.RESOLVE)
        assert sorted(json.loads(reply.body)['addresses']) == [
            f'10.0.0.{n}:80' for n in range(9)
        ]
    assert lines == [
        {
            'alive': 29,
            'listed': 9,
            'basis': 'demand',
            'capacity_s': 63000,
            'demand_s': 5000,
            'demand_age_s': 0.0,
        }
    ]
    made.accepts_requests = lambda: False
    assert '10.0.0.0:80' not in made.addresses()


def test_all_fast_hosts_are_listed_while_no_leader_tells_the_demand():
    """Silence of the leader must not look like a demand of 0."""
    clock = clocks.ManualClock()
    service = service_of(clock)
    made = members_of([7000] * 8 + [3000] * 4 + [400] * 20, clock)
    made.demand = service.demand
    assert len(made.addresses()) == 12
    for requests_s, listed in ((10, 8), (-1, 8), (None, 8)):
        service._receive(update(requests_s), '10.0.0.1')
        assert len(made.addresses()) == listed
    clock.advance(placementservice.DEMAND_TTL_S + 0.1)
    assert len(made.addresses()) == 12


def test_new_leader_goes_by_the_demand_of_the_former_one_at_first():
    """Its average starts at 0, which would shorten the list in a burst."""
    clock = clocks.ManualClock()
    service = service_of(clock)
    service._receive(update(500), '10.0.0.1')
    service.lead()
    assert service.demand().requests_s == 500
    clock.advance(placementservice.DEMAND_WARM_UP_S)
    assert service.demand() == placementservice.Demand(0, clock.now_s())


@pytest.mark.parametrize('capacity', ['1', float('nan'), -1, 10**400, None])
def test_host_without_a_usable_record_counts_with_the_lowest(capacity):
    """A lost or malformed record must neither hide nor prefer a host."""
    made = members_of([7000] * 8 + [400] * 4)
    bad = record(12, capacity)
    made.add_listed_host(bad.dump())
    hear_of(made, bad)
    assert made.count() == 13
    assert len(made.addresses()) == 8
    made.demand = lambda: placementservice.Demand(14100, 1000.0)
    assert '10.0.0.12:80' in made.addresses()
