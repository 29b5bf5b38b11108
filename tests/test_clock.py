"""Tests of the clock."""

import gevent

from magnoliadyke import clock


def test_manual_clock_wakes_sleepers_in_order():
    manual = clock.ManualClock(start_s=0.0)
    woken = []

    def sleeper(seconds):
        manual.sleep(seconds)
        woken.append((seconds, manual.now_s()))

    sleepers = [gevent.spawn(sleeper, seconds) for seconds in (3, 1, 2)]
    manual.advance(2.5)
    assert woken == [(1, 1.0), (2, 2.0)]
    manual.advance(1.0)
    gevent.joinall(sleepers)
    assert woken[-1] == (3, 3.0)
    assert manual.now_s() == 3.5


def test_wall_time_moves_with_monotonic_time():
    manual = clock.ManualClock(start_s=5.0, wall_start_s=100.0)
    manual.advance(2.0)
    assert manual.wall_s() == 102.0
