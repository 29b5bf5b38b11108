"""Calls that only one host at a time may make, and days that judge them."""

import pytest

from magnoliadyke.lab import dutycheck
from magnoliadyke.lab import platformcloud
from magnoliadyke.lab import platformday
from magnoliadyke.lab import platformmix
from magnoliadyke.lab import soak

LEASE_S = 3.0


def call(at_s, holder, fencing, window=1, counts=None):
    body = {'window_id': window, 'counts': counts or {}}
    return platformcloud.Call(at_s, '/usage', holder, fencing, body, 'usage')


def broken(*calls, disturbed=()):
    found = dutycheck.breaches(calls, list(disturbed), LEASE_S)
    return [breach.rule for breach in found]


def test_exact_repeat_of_a_report_is_allowed():
    assert not broken(
        call(1.0, 'a', 1, 7, {'w': 2}), call(9.0, 'b', 2, 7, {'w': 2})
    )


def test_window_with_two_counts_is_caught_also_if_it_is_late():
    frozen = dutycheck.Interval('b', 0.0, 9.0)
    assert broken(
        call(1.0, 'a', 1, 7, {'w': 2}),
        call(9.0, 'b', 2, 7),
        disturbed=[frozen],
    ) == ['a window has one report']


def test_token_that_falls_is_caught():
    assert broken(call(1.0, 'a', 5), call(9.0, 'b', 4)) == [
        'fencing tokens do not fall'
    ]


def test_token_of_two_holders_is_caught():
    assert broken(call(1.0, 'a', 5), call(9.0, 'b', 5)) == [
        'a token has one holder'
    ]


@pytest.mark.parametrize(('at_s', 'is_broken'), [(3.9, True), (4.1, False)])
def test_holders_that_alternate_within_the_lease_are_caught(at_s, is_broken):
    calls = call(1.0, 'a', 5), call(2.0, 'b', 6), call(at_s, 'a', 7)
    assert bool(broken(*calls)) is is_broken


@pytest.mark.parametrize(('to_s', 'is_broken'), [(1.0, True), (8.8, False)])
def test_call_just_after_its_sender_was_thawed_does_not_count(to_s, is_broken):
    frozen = dutycheck.Interval('b', 0.0, to_s)
    calls = call(1.0, 'a', 5), call(9.0, 'b', 4)
    assert bool(broken(*calls, disturbed=[frozen])) is is_broken


def test_windows_left_out_are_those_between_reports():
    calls = [call(1.0, 'a', 1, window) for window in (3, 4, 7)]
    assert dutycheck.unreported(calls) == [5, 6]
    assert dutycheck.unreported([]) == []


def test_soak_draws_the_end_of_all_hosts_near_restores():
    faults = soak.draw(1, 600.0, 4).faults
    restores = [
        fault.at_s + fault.for_s
        for fault in faults
        if fault.kind == 'store_restore'
    ]
    kills = [fault.at_s for fault in faults if fault.kind == 'kill_all']
    assert len(kills) > 5
    for at_s in kills:
        assert any(
            soak.MIN_KILL_OFFSET_S - 0.01
            <= at_s - restore_s
            <= soak.MAX_KILL_OFFSET_S + 0.01
            for restore_s in restores
        )


@pytest.mark.parametrize('offset_s', [0.1, 1.0])
def test_day_on_which_all_forget_reports_has_one_report_a_window(
    tmp_path, offset_s
):
    """The store and all hosts had forgotten a report that was accepted."""
    faults = (
        platformday.Fault(5.0, 'store_restore', 3.0, pick=3),
        platformday.Fault(8.0 + offset_s, 'kill_all', 0.1),
    )
    mix = platformmix.Mix(workspaces=('w1', 'w2'))
    plan = platformday.Plan(9.0, faults, 3, 6, mix=mix)
    found, seen = platformday.play(plan, 1, tmp_path)
    assert not found
    assert len({call.fencing for call in seen.calls}) > 1
