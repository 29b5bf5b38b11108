"""Which requests a host takes after it was told to stop."""

from hypothesis import given
from hypothesis import strategies

from magnoliadyke.core import shutdown

COURSE = shutdown.Shutdown(started_s=100.0, grace_s=8.0, directory_ttl_s=2.0)


def test_callers_that_know_of_no_other_host_are_served():
    assert COURSE.accepts(now_s=100.1, deadline_s=115.1)
    assert COURSE.accepts(now_s=102.4, deadline_s=117.4)


def test_request_that_is_over_in_time_is_taken_until_the_listener_closes():
    assert COURSE.accepts(now_s=105.9, deadline_s=106.9)


def test_request_that_may_outlast_its_host_is_refused():
    assert not COURSE.accepts(now_s=102.6, deadline_s=117.6)
    assert not COURSE.accepts(now_s=105.9, deadline_s=107.9)


@given(
    strategies.floats(0.1, 60.0),
    strategies.floats(0.1, 30.0),
    strategies.floats(0.0, 60.0),
    strategies.floats(0.0, 60.0),
)
def test_whatever_is_taken_late_is_over_before_the_end(
    grace_s, ttl_s, after_s, wait_s
):
    course = shutdown.Shutdown(0.0, grace_s, ttl_s)
    if after_s >= course.refuses_from_s and course.accepts(
        after_s, after_s + wait_s
    ):
        assert after_s + wait_s < course.ends_s


@given(strategies.floats(0.1, 60.0), strategies.floats(0.1, 30.0))
def test_steps_of_a_stop_come_in_their_order(grace_s, ttl_s):
    """With a short grace time the listener was closed too late."""
    course = shutdown.Shutdown(0.0, grace_s, ttl_s)
    assert course.refuses_from_s <= course.closes_s < course.ends_s
    assert course.ends_s < course.exits_s < grace_s


@given(
    strategies.floats(0.1, 60.0),
    strategies.floats(0.1, 30.0),
    strategies.floats(0.0, 60.0),
    strategies.floats(0.0, 60.0),
)
def test_nothing_is_taken_once_requests_have_been_given_up(
    grace_s, ttl_s, late_s, wait_s
):
    """With a short grace time requests were taken until the process ended."""
    course = shutdown.Shutdown(0.0, grace_s, ttl_s)
    now_s = course.ends_s + late_s
    assert not course.accepts(now_s, now_s + wait_s)
