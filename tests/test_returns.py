"""When refused callers come back, and what they find."""

import random

import hypothesis
from hypothesis import strategies

from magnoliadyke.core import placement
from magnoliadyke.core import refusals
from magnoliadyke.core import returns
from tests import promptload

SETTINGS = hypothesis.settings(derandomize=True, deadline=None)
TIMES = strategies.floats(0.0, 2.0)


@SETTINGS
@hypothesis.given(
    strategies.lists(strategies.tuples(TIMES, TIMES, TIMES), max_size=60),
    strategies.randoms(use_true_random=False),
)
def test_returns_are_spread_and_within_the_callers_time(rows, rng):
    """Guards against a Retry-After that the caller can't honour."""
    made = refusals.Refusals(3.0, rng)
    at_s, now_s, ended_s, scheduled = 0.0, 0.0, 0.0, 0
    for passed_s, ahead_s, left_s in rows:
        now_s += passed_s / 10
        job = promptload.Play([]).job(1, now_s)
        job.deadline_s = now_s + left_s
        before_s = made.returns.free_s
        refused = made.refuse_until_scheduled(
            job, now_s, ahead_s, 0.03, 'no room in time'
        )
        assert 0 <= refused.retry_after_s <= left_s / 3 + 1e-9
        if made.returns.free_s != before_s:
            scheduled += 1
            at_s = made.returns.free_s - 0.03
            assert at_s >= ended_s - 1e-9
            assert now_s + refused.retry_after_s >= at_s - 1e-9
            ended_s = made.returns.free_s
    assert sum(count for _, count in made.returns.slots) == scheduled


def test_each_due_entry_is_taken_once():
    """Guards against privileges of retries that nobody scheduled."""
    made = returns.Returns()
    assert not made.take_due(0.0)
    for _ in range(3):
        assert made.schedule(0.0, 0.1, 0.2, 0.6) is not None
    assert made.schedule(0.0, 0.1, 0.2, 0.6) is None
    assert not made.take_due(0.05)
    assert made.take_due(0.1)
    assert not made.take_due(0.1)
    assert made.take_due(0.6)
    assert not made.take_due(9.0)


def play():
    made = placement.Placement(promptload.TRAITS, random.Random(1))
    made.set_engines(promptload.fleet())
    return made


def returning(number, now_s, objective_s):
    job = promptload.Play([]).job(number, now_s)
    job.is_retry = True
    job.objective_s = now_s + objective_s
    return job


def test_due_return_goes_ahead_of_new_jobs_of_its_rank():
    """Guards callers who came back when told against a second refusal."""
    made = play()
    for number in range(12):
        made.submit(promptload.Play([]).job(number, 0.0), 0.0)
    assert len(made.on_time) > 1
    made.refusals.returns.schedule(0.0, 0.0, 0.1, 1.0)
    made.submit(returning(50, 0.0, 0.12), 0.0)
    assert made.on_time.first().id == 50


def test_late_due_return_goes_ahead_of_other_late_jobs():
    """Guards against a due return that waits behind repeats not scheduled."""
    made = play()
    for number in range(12):
        made.submit(promptload.Play([]).job(number, 0.0), 0.0)
    made.refusals.returns.schedule(0.0, 0.0, 0.1, 1.0)
    made.submit(returning(50, 0.0, 0.0), 0.0)
    made.submit(returning(51, 0.0, 0.0), 0.0)
    assert list(made.returned.jobs) == [50]
    assert list(made.resubmitted.jobs) == [51]
    made.on_time.jobs.clear()
    assert made._next_job(0.0)[1].id == 50
