"""Observations of endpoints that hosts share, and what they are used for."""

import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from magnoliadyke import clock as clocks
from magnoliadyke.core import balance
from magnoliadyke.core import catalog
from magnoliadyke.core import observations
from magnoliadyke import errors
from magnoliadyke.gateway import observation_codec
from magnoliadyke.gateway import observationexchange
from magnoliadyke.gateway import placement_codec
from magnoliadyke.wire.placement import ttypes
from tests import gatewayworld

NAMES = ('a', 'b', 'c', 'd')
DRAWN = settings(derandomize=True, deadline=None)


def endpoint(name):
    return catalog.Endpoint(
        name, 's', f'{name}:1', 'z1', 6, False, catalog.Stage.NONE
    )


ENDPOINTS = [endpoint(name) for name in NAMES]


def seen(name='a', responses=0, mean_s=0.0, failures=0, cooldown_s=0.0):
    return observations.Observation(
        name, responses, mean_s, failures, 0, cooldown_s
    )


def report(*observed, host='h1', incarnation=1):
    return observation_codec.ObservationReport(host, incarnation, observed)


def balancer(seed=1):
    return balance.Balancer('z1', random.Random(seed))


class Hosts:
    """Other hosts; stands in for members and for the placement service."""

    def __init__(self, count=90):
        self.addresses = [f'10.0.0.{n}' for n in range(1, count)]
        self.sent = []

    def count(self):
        return len(self.addresses) + 1

    def reachable_addresses(self):
        return self.addresses

    def send(self, address, message):
        placement_codec.decode(placement_codec.encode(message))
        self.sent.append((address, message))


@pytest.fixture
def exchange():
    known = catalog.Catalog()
    known.endpoints = {each.id: each for each in ENDPOINTS}
    hosts = Hosts()
    return observationexchange.ObservationExchange(
        ('own', 1),
        balancer(),
        known,
        hosts,
        hosts,
        clocks.ManualClock(0.0),
        random.Random(1),
    )


def play_hosts(seed, share, lost=0.0, rate=0.5, slow=3.5):
    """Return an endpoint's share of the requests, and their mean time.

    90 hosts send requests to 4 endpoints of 6 slots that take 60 ms; from 20 s
    on one of them takes longer. The results are those of the next 12 s.

    :param share: whether the hosts report to each other
    :param lost: share of the reports that are lost
    :param rate: requests of each host per second
    :param slow: how many times as long that endpoint takes
    """
    rng = random.Random(seed)
    hosts = [balancer(rng.random()) for _ in range(90)]
    running, sent = [], []
    for tick in range(320):
        now_s = tick / 10
        for each in [r for r in running if r[0] <= now_s]:
            running.remove(each)
            _, host, name, took_s = each
            host.record_answer(name, took_s, False, now_s)
        for host in hosts:
            if rng.random() >= rate / 10:
                continue
            name = host.choose(ENDPOINTS, set(), now_s).id
            load = sum(r[2] == name for r in running)
            took_s = 0.06 * (slow if name == 'a' and now_s >= 20 else 1)
            took_s *= rng.uniform(0.8, 1.2) * max(1, (load + 1) / 6)
            sent += [(name, took_s)] * (now_s >= 20)
            host.record_sent(name)
            running.append((now_s + took_s, host, name, took_s))
        if not share or tick % 5:
            continue
        for number, host in enumerate(hosts):
            observed = host.take_report(now_s)
            others = [h for h in hosts if h is not host]
            for receiver in rng.sample(others, 3):
                if observed and rng.random() >= lost:
                    receiver.shared.record(str(number), 1, observed, now_s)
    to_slow = sum(name == 'a' for name, _ in sent)
    return to_slow / len(sent), sum(took for _, took in sent) / len(sent)


@pytest.mark.parametrize(
    ('shares', 'lost'), [(True, 0.0), (True, 0.3), (False, 0.0)]
)
def test_hosts_learn_of_a_slow_endpoint_together(shares, lost):
    """Each host alone has to send it requests before it knows.

    Lost reports reduce the accuracy only.
    """
    low = [play_hosts(n, shares, lost)[0] < 1 / 4 / 2 for n in range(3)]
    assert low == [shares] * 3


@pytest.mark.parametrize('seed', range(3))
def test_hosts_do_not_turn_to_the_same_endpoint(seed):
    """Two thirds of the slots are in use; 0.1 s is the shortest objective.

    Reports are seconds old; hosts that only went by them would all turn to
    the endpoint that was the fastest then, and overload it.
    """
    _, mean_s = play_hosts(seed, share=True, rate=3.0, slow=1)
    assert mean_s < 0.1


@pytest.mark.parametrize('a', [seen('a', 9, 0.2), seen('a', 9, 0.01, 6)])
def test_host_that_starts_relies_on_others(a):
    """An endpoint that fails at once would look the fastest to it."""
    made = balancer()
    made.shared.record('h1', 1, [a, seen('b', 9, 0.05)], 0.0)
    assert made.choose(ENDPOINTS[:2], set(), 0.1).id == 'b'


def test_cooldown_of_another_host_counts_in_part():
    """One of 3 s counts for 1 s, and leaves out none without another."""
    made = balancer()
    made.shared.record('h1', 1, [seen('a', 2, 0, 2, 3.0)], 0.0)
    assert made.ready(ENDPOINTS[:2], 0.99) == ENDPOINTS[1:2]
    assert made.ready(ENDPOINTS[:1], 0.5) == ENDPOINTS[:1]
    assert made.ready(ENDPOINTS[:2], 1.0) == ENDPOINTS[:2]


def test_host_that_reaches_an_endpoint_ignores_a_cut_off_one():
    """A partitioned host would keep all others from a healthy endpoint."""
    made = balancer()
    made.record_sent('a')
    made.record_answer('a', 0.02, False, 0.0)
    made.shared.record('h1', 1, [seen('a', 2, 0, 2, 4.0)], 0.2)
    assert made.ready(ENDPOINTS[:2], 0.9) == ENDPOINTS[:2]
    assert made.ready(ENDPOINTS[:2], 1.1) == ENDPOINTS[1:2]


def test_older_process_does_not_replace_a_newer_one():
    """Its last datagram may arrive after those of the next process."""
    shared = observations.SharedObservations()
    assert shared.record('h1', 2, [seen('a', 1, 0.1)], 0.0)
    assert not shared.record('h1', 1, [seen('a', 1, 0.9)], 0.1)
    assert shared.summary('a', 0.1).mean_s == pytest.approx(0.1)


@pytest.mark.parametrize(('hosts', 'sent'), [(90, 3), (17, 3), (16, 0)])
def test_report_goes_to_three_hosts_of_many(exchange, hosts, sent):
    """Up to 16 hosts choose as before; an idle host is silent."""
    exchange.members.addresses = exchange.members.addresses[: hosts - 1]
    exchange.tick()
    exchange.balancer.record_sent('a')
    exchange.balancer.record_answer('a', 0.1, False, 0.0)
    exchange.tick()
    exchange.tick()
    assert len({address for address, _ in exchange.members.sent}) == sent
    assert all(
        m.observations == (seen('a', 1, 0.1),)
        for _, m in exchange.members.sent
    )
    exchange.handle(report(seen('a', 1, 0.1)))
    assert bool(exchange.balancer.shared.reports) == bool(sent)


def test_long_ids_fit_the_datagram(exchange):
    for number in range(40):
        exchange.balancer.record_sent(f'{number:064}')
    exchange.tick()
    message = exchange.members.sent[0][1]
    assert 10 < len(message.observations) <= 24
    assert len(placement_codec.encode(message)) <= 1400


@pytest.mark.parametrize('machine', [False, True])
def test_suspended_host_neither_sends_nor_uses_old_reports(exchange, machine):
    """What it observed, and what waits in its socket, would count as new."""
    clock, shared = exchange.clock, exchange.balancer.shared
    exchange.handle(report(seen('b', 1, 0.1)))
    exchange.balancer.record_sent('a')
    if machine:
        clock.suspended_s += 9.0
    else:
        clock.advance(9.0)
    exchange.handle(report(seen('a', 1, 0.1), host='h2'))
    exchange.tick()
    exchange.handle(report(seen('a', 1, 0.1), host='h2'))
    assert not exchange.members.sent
    assert not shared.is_recent(clock.now_s())
    assert exchange.counts == {'received': 3, 'dropped': 2}
    clock.advance(0.5)
    exchange.tick()
    exchange.handle(report(seen('a', 1, 0.1), host='h2'))
    assert shared.summary('a', clock.now_s()) is not None


def test_unusable_datagram_loses_nothing_else(monkeypatch):
    """Neither the report after it, nor what that one says of known ones."""
    with gatewayworld.world() as world:
        world.endpoint('p0')
        world.configure()
        node = world.node()
        gatewayworld.wait_for(lambda: node.catalog.endpoints, 'an endpoint')
        (known,) = node.catalog.endpoints
        monkeypatch.setattr(node.members, 'count', lambda: 17)
        for observed in (seen(known, -1), seen('new', 1), seen(known, 1)):
            node.placement_service.send(node.settings.ip, report(observed))
        shared = node.balancer.shared
        gatewayworld.wait_for(lambda: shared.reports, 'a report')
        assert set(shared.reports) == {known}
        assert node.observations.counts['received'] == 2


def test_leaving_an_endpoint_out_is_logged_once(exchange, monkeypatch):
    lines = []
    monkeypatch.setattr(
        observationexchange.LOG,
        'event',
        lambda name, **f: lines.append((name, f['reported_by'], f['age_ms'])),
    )
    for host in ('h1', 'h2'):
        exchange.handle(report(seen('a', 2, 0, 2, 3.0), host=host))
    exchange.clock.advance(1.0)
    exchange.tick()
    exchange.tick()
    assert lines == [
        ('endpoint_left_out', 'h1', '0'),
        ('endpoint_used_again', 'h1,h2', '1000,1000'),
    ]


@pytest.mark.parametrize(
    ('fields', 'text'),
    [
        (('a', -1, 0, 0, 0), 'responses is -1, expected 0 to 10000'),
        (('a', 1, 60_000_001, 0, 0), 'mean_us is 60000001'),
        (('a', 1, 0, 2, 0), 'failures is 2, expected 0 to 1'),
        (('a', 1, 0, 0, 0, -5), 'cooldown_ms is -5'),
        (('a', None, 0, 0, 0), 'responses is None'),
        (('', 1, 0, 0, 0), "endpoint is '', expected an id"),
        (('a', 1, 0, 0, 0) * 25, 'endpoints is 25, expected at most 24'),
    ],
)
def test_unusable_report_is_named(fields, text):
    """One host with such a figure would decide for all others."""
    count = len(fields) // 5
    observed = [ttypes.EndpointObservation(*fields[: 6 if count == 1 else 5])]
    datagram = ttypes.Datagram(
        endpoint_observations=ttypes.EndpointObservations(
            'h1', 1, observed * count
        )
    )
    with pytest.raises(errors.ProtocolError) as caught:
        observation_codec.decode(datagram)
    assert text in str(caught.value)


def today(made, endpoints, now_s):
    """The choice of a host that knows of no other host's reports."""
    ready = [
        e
        for e in endpoints
        if e.id not in made.stats_by_id
        or made.stats_by_id[e.id].cooldown_until_s <= now_s
    ]

    def cost(each):
        stats = made.stats_by_id.get(each.id) or balance.EndpointStats()
        found = stats.response_s * (1 + stats.in_flight / 6)
        found *= 1 + balance.FAILURE_COST * stats.failure_rate
        return found * (1 + 0.05 * made.rng.random())

    return min(ready or endpoints, key=cost)


NAME = st.sampled_from(NAMES)
RESULT = st.sampled_from(['answer', 'failed', 'unreachable', 'cancel'])
RESULTS = st.lists(st.tuples(NAME, RESULT, st.floats(0.001, 2)), max_size=30)
REPORT = st.tuples(
    st.integers(0, 200), st.integers(0, 2), st.sets(NAME), st.floats(0, 4)
)
REPORTS = st.lists(st.tuples(REPORT, st.floats(0, 0.4)), max_size=80)


def play(made, results):
    now_s = 0.0
    for name, result, took_s in results:
        now_s += took_s
        made.record_sent(name)
        if result == 'unreachable':
            made.record_failure(name, now_s)
        elif result == 'cancel':
            made.record_cancel(name)
        else:
            made.record_answer(name, took_s, result == 'failed', now_s)
    return now_s


@DRAWN
@given(RESULTS, st.booleans())
def test_without_recent_reports_the_choice_is_that_of_today(results, old):
    made, reference = balancer(), balancer()
    if old:
        made.shared.record('h1', 1, [seen('a', 5, 9.0, 5, 4.0)], -3.0)
    now_s = play(made, results)
    play(reference, results)
    for _ in range(5):
        expected = today(reference, ENDPOINTS, now_s)
        assert made.choose(ENDPOINTS, set(), now_s) == expected
    assert made.rng.getstate() == reference.rng.getstate()


@DRAWN
@given(RESULTS, REPORTS, st.sets(NAME, min_size=1))
def test_state_is_bounded_and_no_last_endpoint_is_left_out(
    results, reports, listed
):
    made = balancer()
    now_s = play(made, results)
    for (host, incarnation, names, cooldown_s), after_s in reports:
        now_s += after_s
        observed = [seen(name, 2, 0.1, 1, cooldown_s) for name in names]
        made.shared.record(str(host), incarnation, observed, now_s)
        usable = [e for e in ENDPOINTS if e.id in listed]
        ready = made.ready(usable, now_s)
        assert ready
        assert made.choose(usable, set(), now_s) in ready
        for by_host in made.shared.reports.values():
            assert 0 < len(by_host) <= 64
            assert min(r.received_s for r in by_host.values()) > now_s - 3
    made.drop_unlisted(set())
    assert not made.shared.reports
    assert not made.own_counts.by_id


def test_reports_kept_are_those_of_the_latest_64_hosts():
    shared = observations.SharedObservations()
    for number in range(1000):
        shared.record(str(number), 1, [seen('a', 1, 0.1)], 0.0)
    assert list(shared.reports['a']) == [str(n) for n in range(936, 1000)]
    assert len(shared.incarnations) == observations.MAX_INCARNATIONS
