"""Limits that endpoints name, and the pace of requests to them."""

import bisect
import random

import hypothesis
from hypothesis import strategies as st
import pytest

from magnoliadyke.core import endpointlimits

E = 'e1'
WINDOW_S = 4.0


def said(rate_s, sent_s, received_s):
    return endpointlimits.Statement(rate_s, sent_s, received_s)


def test_limit_is_in_force_until_a_later_answer_lacks_it():
    named = endpointlimits.NamedLimits()
    assert not named.record(E, said(None, 0.0, 0.1))
    assert named.record(E, said(8.0, 1.0, 1.1))
    assert not named.record(E, said(8.0, 1.5, 1.6))
    assert named.limited() == {E: 8.0}
    assert named.record(E, said(None, 1.7, 1.8))
    assert named.rate_s(E) is None


def test_answer_under_way_when_a_limit_was_named_does_not_end_it():
    """An older answer without the limit ended it."""
    named = endpointlimits.NamedLimits()
    named.record(E, said(8.0, 1.0, 1.1))
    assert not named.record(E, said(None, 1.05, 1.3))
    assert not named.record(E, said(20.0, 1.05, 1.3))
    assert named.rate_s(E) == 8.0
    assert named.record(E, said(5.0, 1.05, 1.3))
    assert not named.record(E, said(None, 1.2, 1.4))
    assert named.rate_s(E) == 5.0


def test_limit_told_late_does_not_come_back():
    """Another host's report of a limit arrived after its end."""
    named = endpointlimits.NamedLimits()
    named.record(E, said(8.0, 1.0, 1.1))
    named.record(E, said(None, 2.0, 2.1))
    assert not named.record(E, said(8.0, 1.5, 1.6))
    assert named.rate_s(E) is None
    assert named.record(E, said(8.0, 1.9, 2.05))


def test_endpoints_that_are_gone_take_no_room(monkeypatch):
    monkeypatch.setattr(endpointlimits, 'MAX_ENDPOINTS', 2)
    named = endpointlimits.NamedLimits()
    for number in range(4):
        named.record(f'e{number}', said(8.0, 0.0, 0.1))
    assert set(named.latest) == {'e2', 'e3'}
    named.drop('e2')
    assert set(named.latest) == {'e3'}


def pacer(rate_s, tolerance_s=endpointlimits.TOLERANCE_S, rng=None):
    named = endpointlimits.NamedLimits()
    named.record(E, said(rate_s, 0.0, 0.1))
    return endpointlimits.Pacer(named, tolerance_s, rng)


def sent_by(made, from_s, to_s, step_s=0.01):
    """Times at which a sender that always has a request may send."""
    found = []
    for step in range(round((to_s - from_s) / step_s)):
        now_s = from_s + step * step_s
        while made.reserve(E, 0.0, now_s) is not None:
            found.append(now_s)
    return found


def most_in_window(times, window_s=WINDOW_S):
    times = sorted(times)
    return max(
        (
            bisect.bisect(times, first_s + window_s) - number
            for number, first_s in enumerate(times)
        ),
        default=0,
    )


@pytest.mark.parametrize('rate_s', [0.5, 8.3, 14.1, 200.0])
def test_pacer_uses_a_limit_and_keeps_it(rate_s):
    times = sent_by(pacer(rate_s), 10.0, 30.0)
    assert most_in_window(times) <= rate_s * (WINDOW_S + 0.25) + 1
    assert len(times) >= rate_s * 19 - 1


def test_pause_saves_no_more_than_the_tolerance():
    made = pacer(20.0)
    sent_by(made, 10.0, 12.0)
    burst = sent_by(made, 40.0, 40.01)
    assert len(burst) <= 20 * endpointlimits.TOLERANCE_S + 1


@pytest.mark.parametrize('rate_s', [0.0, 1e-9])
def test_endpoint_that_takes_nothing_is_asked_again(rate_s):
    """Without a request its limit lasted for ever."""
    times = sent_by(pacer(rate_s), 10.0, 40.0, 0.02)
    assert times
    assert most_in_window(times) <= 2


def test_limit_above_all_loads_makes_no_difference():
    made = pacer(1e308)
    made.wait_s(E, 10.0)
    assert made.reserve(E, 0.0, 11.0) == 0.0
    assert made.wait_s(E, 11.0) == 0.0


def test_changed_limit_keeps_what_was_granted():
    made = pacer(10.0)
    now_s = 10.0
    for _ in range(5):
        made.reserve(E, 1.0, now_s)
    waited_s = made.wait_s(E, now_s)
    made.named.record(E, said(5.0, 9.0, 9.1))
    assert made.wait_s(E, now_s) == pytest.approx(2 * waited_s)
    made.named.record(E, said(None, 9.2, 9.3))
    assert made.wait_s(E, now_s) == 0.0


def test_next_leader_does_not_grant_again_what_the_last_one_did():
    """Requests that the former leader granted were granted once more."""
    former, later = pacer(14.1), pacer(14.1)
    times = sent_by(former, 10.0, 14.0) + sent_by(later, 14.0, 20.0)
    assert most_in_window(times) <= 14.1 * (WINDOW_S + 0.25) + 1


@pytest.mark.parametrize('hosts', [8, 30, 300])
@pytest.mark.parametrize('rate_s', [8.0, 60.0])
def test_hosts_without_a_leader_keep_a_limit_together(hosts, rate_s):
    """Each host sent the full rate, or one saved request at the same time."""
    rng = random.Random(hosts)
    times = []
    for _ in range(hosts):
        pacers = endpointlimits.new_pacers(rng)
        pacers.named.record(E, said(rate_s, 0.0, 0.1))
        pacers.set_hosts(1, hosts - 1)
        times += sent_by(pacers.alone, 10.0, 40.0)
    assert most_in_window(times) <= 1.5 * rate_s * WINDOW_S + 5
    assert len(times) >= rate_s * 30 * 0.8


class Fleet:
    """Hosts that press on one endpoint, with a leader that may change.

    :ivar leader: index of the present leader
    :ivar leaders: index of the leader that each host follows, None for alone
    :ivar paused: hosts that do nothing
    :ivar silent: hosts whose leader does not answer
    """

    def __init__(self, hosts, rate_s, seed):
        self.rng = random.Random(seed)
        self.pacers = [
            endpointlimits.new_pacers(self.rng) for _ in range(hosts)
        ]
        for each in self.pacers:
            each.named.record(E, said(rate_s, 0.0, 0.1))
            each.set_hosts(hosts, 0)
        self.leader = 0
        self.leaders = [0] * hosts
        self.paused = set()
        self.silent = set()
        self.times = []

    def run(self, from_s, to_s, load_s):
        """Each host gets requests at random; some messages are lost."""
        now_s = from_s
        hosts = len(self.pacers)
        while now_s < to_s:
            now_s += self.rng.expovariate(load_s)
            host = self.rng.randrange(hosts)
            if host in self.paused:
                continue
            leader = self.leaders[host]
            lost = self.rng.random() < 0.05
            if leader is None or leader in self.paused or lost:
                pacer = self.pacers[host].alone
                if host not in self.silent:
                    self.silent.add(host)
                    self.pacers[host].record_silence(now_s)
            else:
                pacer = self.pacers[leader].granted
                self.silent.discard(host)
                if self.rng.random() < 0.02:
                    # The reply is lost, and the request is not sent.
                    pacer.reserve(E, 0.05, now_s)
                    continue
            wait_s = pacer.reserve(E, 0.05, now_s)
            if wait_s is not None:
                self.times.append(now_s + wait_s)


EVENTS = st.lists(
    st.tuples(
        st.sampled_from(('new leader', 'cut', 'pause', 'heal')),
        st.integers(0, 10_000),
        st.floats(0.3, 4.0),
    ),
    max_size=6,
)


@hypothesis.given(
    hosts=st.sampled_from((3, 8, 30, 300)),
    rate_s=st.sampled_from((2.0, 8.0, 14.1, 60.0)),
    events=EVENTS,
    seed=st.integers(0, 1000),
)
@hypothesis.settings(max_examples=60)
def test_limit_is_kept_over_changes_cuts_and_pauses(
    hosts, rate_s, events, seed
):
    """Bound: that of the rule, 1.5 times the rate and 5 requests."""
    fleet = Fleet(hosts, rate_s, seed)
    now_s = 10.0
    fleet.run(now_s, now_s + 3.0, rate_s * 10)
    now_s += 3.0
    for kind, pick, for_s in events:
        host = pick % hosts
        match kind:
            case 'new leader':
                fleet.pacers[host].granted.reset()
                fleet.leader = host
                fleet.leaders = [host] * hosts
            case 'cut':
                cut = max(1, hosts // 4)
                for each in range(host, host + cut):
                    fleet.leaders[each % hosts] = None
                alone = fleet.leaders.count(None)
                for each in fleet.pacers:
                    each.set_hosts(hosts - alone, alone)
            case 'pause':
                fleet.paused = {host}
            case 'heal':
                fleet.paused = set()
                fleet.leaders = [fleet.leader] * hosts
        fleet.run(now_s, now_s + for_s, rate_s * 10)
        now_s += for_s
    assert most_in_window(fleet.times) <= 1.5 * rate_s * WINDOW_S + 5
    assert len(fleet.times) >= rate_s * 2.0


@pytest.mark.parametrize('hosts', [8, 30])
def test_host_that_lost_a_message_does_not_pace_alone_at_once(hosts):
    """Hosts that lost a message sent their parts beside what was granted."""
    fleet = Fleet(hosts, 60.0, seed=1)
    fleet.run(10.0, 30.0, 600.0)
    assert most_in_window(fleet.times) <= 60.0 * (WINDOW_S + 0.25 + 0.05) + 1
