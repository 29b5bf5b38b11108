"""What workspaces have used, and the time of day."""

import hypothesis
from hypothesis import strategies
import pytest

from magnoliadyke.core import usage
from magnoliadyke.core import walltime
from magnoliadyke.gateway import duty_codec
from magnoliadyke.gateway import placement_codec

WINDOW_S = 5.0
KEPT = usage.retained_window_count(WINDOW_S, 10.0)


def test_windows_begin_with_the_epoch():
    assert usage.window_of(0.0, WINDOW_S) == 0
    assert usage.window_of(4.999, WINDOW_S) == 0
    assert usage.window_of(1.767225600e9, WINDOW_S) == 353445120


def test_tally_tells_the_windows_until_they_are_long_over():
    tally = usage.ProcessCounts(WINDOW_S, KEPT)
    tally.record_start('a', 101.0)
    tally.record_start('a', 104.0)
    tally.record_start('b', 106.0)
    assert tally.recent(106.0) == {20: {'a': 2}, 21: {'b': 1}}
    assert tally.recent(119.0) == {20: {'a': 2}, 21: {'b': 1}}
    assert tally.recent(120.0) == {21: {'b': 1}}


@hypothesis.settings(derandomize=True, max_examples=100)
@hypothesis.given(strategies.data())
def test_lost_late_and_doubled_messages_change_nothing(data):
    tallies = {
        (f'h{n}', 1): usage.ProcessCounts(WINDOW_S, KEPT) for n in range(3)
    }
    sent = []
    for _ in range(data.draw(strategies.integers(0, 30))):
        who = data.draw(strategies.sampled_from(sorted(tallies)))
        tallies[who].record_start(
            data.draw(strategies.sampled_from('ab')), 101.0
        )
        sent.append((who, tallies[who].recent(101.0)))
    arriving = data.draw(strategies.permutations(sent + sent[::2]))
    ledger = usage.Ledger(KEPT)
    for (host, incarnation), windows in arriving:
        for window, begun in windows.items():
            ledger.record_counts(host, incarnation, window, begun)
    for who, tally in tallies.items():
        for window, begun in tally.recent(104.0).items():
            ledger.record_counts(*who, window, begun)
    total = {}
    for tally in tallies.values():
        for name, count in tally.windows.get(20, {}).items():
            total[name] = total.get(name, 0) + count
    assert ledger.counts(20) == total


def test_counts_follow_a_clock_that_is_set_right():
    tally = usage.ProcessCounts(WINDOW_S, KEPT)
    tally.record_start('a', 101.0 + 2400.0)
    tally.shift(-2400.0)
    assert tally.recent(102.0) == {20: {'a': 1}}


def test_counts_of_a_thousand_workspaces_fit_datagrams():
    """A message with too many of them would be none at the other end."""
    begun = {f'workspace-{n:04}': n for n in range(1000)}
    ledger = usage.Ledger(KEPT)
    for part in usage.split({20: begun, 21: {'a': 1}}, 40):
        message = duty_codec.Usage('host-name-1', 17, part, 1.7e9)
        data = placement_codec.encode(message)
        assert len(data) <= 1400
        for window, counts in placement_codec.decode(data).windows.items():
            ledger.record_counts('h', 1, window, counts)
    assert ledger.counts(20) == begun
    assert ledger.by_process(21) == {('h', 1): {21: {'a': 1}}}
    assert list(usage.split({}, 40)) == [{}]


def test_two_processes_of_one_host_are_both_counted():
    ledger = usage.Ledger(KEPT)
    ledger.record_counts('h', 1, 20, {'a': 5})
    ledger.record_counts('h', 2, 20, {'a': 3})
    assert ledger.counts(20) == {'a': 8}


def test_report_that_is_fixed_stays():
    """A window that is reported with two counts is billed twice."""
    first = usage.Reports(KEPT).fix(usage.Report(20, {'a': 5}))
    again = first.fix(usage.Report(20, {'a': 6}))
    assert again.fixed[20].counts == {'a': 5}
    read = again.parse(again.dump())
    assert read.fixed == again.fixed
    read.merge(usage.Reports(KEPT, [usage.Report(20, {'a': 7})]))
    assert read.fixed[20].counts == {'a': 5}


def test_only_the_latest_reports_are_kept():
    reports = usage.Reports(KEPT)
    for window in range(20, 40):
        reports = reports.fix(usage.Report(window, {}))
    assert sorted(reports.fixed) == [36, 37, 38, 39]
    assert reports.last == 39


@pytest.mark.parametrize('value', [b'', b'{}x', b'[1]', b'[["a", {}]]'])
def test_reports_of_other_writers_are_no_reports(value):
    with pytest.raises((ValueError, TypeError)):
        usage.Reports(KEPT).parse(value)


def test_step_of_a_clock_changes_nothing_that_is_running():
    wall = walltime.AdjustedClock(1.7e9, 50.0)
    assert wall.at(60.0) == 1.7e9 + 10.0


def test_host_that_started_with_a_clock_that_was_off_hears_the_time():
    fleet = walltime.MedianClock(walltime.AdjustedClock(1000.0, 0.0))
    for host in ('a', 'b'):
        assert fleet.record_peer_time(host, 1010.0, 10.0) is None
    assert fleet.record_peer_time('c', 1010.0 + 2400.0, 10.0) == pytest.approx(
        1010.0
    )


def test_host_that_asks_goes_by_the_others_if_it_is_the_one_that_is_off():
    own = walltime.AdjustedClock(1000.0 - 2400.0, 0.0)
    fleet = walltime.MedianClock(own)
    for host in ('a', 'b', 'c', 'd'):
        fleet.record_peer_time(host, 1010.0, 10.0)
    assert own.at(10.0) == pytest.approx(1010.0)
    assert fleet.record_peer_time('a', 1010.0, 10.0) is None


def test_first_word_of_a_clock_that_is_off_moves_nobody():
    """It moved the leader by half, and the third host was told to follow."""
    own = walltime.AdjustedClock(1000.0, 0.0)
    fleet = walltime.MedianClock(own)
    fleet.min_clocks = 3
    assert fleet.record_peer_time('a', 1010.0 - 7.0, 10.0) is None
    assert own.at(10.0) == 1010.0
    assert fleet.record_peer_time('b', 1010.0, 10.0) is None
    told_s = fleet.record_peer_time('a', 1010.0 - 7.0, 10.0)
    assert told_s == pytest.approx(1010.0)
    assert own.at(10.0) == pytest.approx(1010.0)


def test_words_that_waited_while_a_host_stood_still_move_nobody():
    """They tell the time at which they were sent, some seconds ago."""
    own = walltime.AdjustedClock(1000.0, 0.0)
    fleet = walltime.MedianClock(own)
    hosts = [f'h{number}' for number in range(8)]
    for host in hosts:
        assert fleet.record_peer_time(host, 1010.0, 10.0) is None
    for sent_s in (1011.0, 1013.0, 1016.0):
        for host in hosts:
            assert fleet.record_peer_time(host, sent_s, 16.0) is None
    assert own.at(16.0) == pytest.approx(1016.0)


def test_clocks_of_a_quarter_of_the_hosts_move_nobody():
    own = walltime.AdjustedClock(1000.0, 0.0)
    fleet = walltime.MedianClock(own)
    for number in range(12):
        off_s = 2400.0 if number % 4 == 0 else 0.0
        fleet.record_peer_time(f'h{number}', 1010.0 + off_s, 10.0)
    assert own.at(10.0) == pytest.approx(1010.0)
