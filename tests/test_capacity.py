"""When the engines of a service can take in more to read."""

import hypothesis
from hypothesis import strategies
import pytest

from magnoliadyke.core import capacity

BACKLOGS = strategies.lists(
    strategies.tuples(
        strategies.floats(0.0, 5.0), strategies.sampled_from((0.5, 1.0, 2.0))
    ),
    min_size=1,
    max_size=8,
)


def simulated_s(backlogs, work_s):
    """Pour work onto whoever is free, in small steps."""
    step_s = 0.002
    at_s = min(backlog for backlog, _ in backlogs)
    while work_s > 0:
        speed = sum(s for backlog, s in backlogs if backlog <= at_s)
        work_s -= speed * step_s
        at_s += step_s
    return at_s


@hypothesis.given(BACKLOGS, strategies.floats(0.0, 3.0))
def test_wait_is_that_of_whoever_is_free_first(backlogs, work_s):
    made = capacity.Capacity(backlogs)
    expected_s = simulated_s(backlogs, work_s)
    assert made.wait_s(work_s) == pytest.approx(expected_s, abs=0.02)


def test_engine_that_is_far_behind_delays_nobody():
    made = capacity.Capacity([(0.0, 1.0), (9.0, 1.0)])
    assert made.wait_s(1.0) == 1.0


def test_work_that_was_taken_away_again_leaves_no_wait():
    """Sums of floats end a hair below zero; that is no work, not much."""
    made = capacity.Capacity([(0.1, 1.0), (9.0, 1.0)])
    assert made.wait_s(0.1 + 0.2 - 0.3 - 1e-16) == pytest.approx(0.1)
    assert made.wait_s(-1e-12) == pytest.approx(0.1)


def test_no_engine_reads():
    assert capacity.Capacity([]).wait_s(1.0) == 0.0
