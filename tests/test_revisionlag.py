"""When a host counts as behind the others."""

import hypothesis
from hypothesis import strategies
import pytest

from magnoliadyke.core import position
from magnoliadyke.core import revisionlag

ALLOWED_S = 0.25


def at(revision, era=3):
    return position.Position(era, revision)


@pytest.fixture
def lag():
    made = revisionlag.RevisionLag(ALLOWED_S)
    made.record_own_position(at(10))
    return made


def test_host_that_has_seen_all_is_not_behind(lag):
    lag.record_peer_position('b', at(10), 0.0)
    assert lag.behind(100.0) is None


def test_host_is_behind_after_the_time_allowed(lag):
    lag.record_peer_position('b', at(12), 1.0)
    assert lag.behind(1.0 + ALLOWED_S - 0.0625) is None
    behind = lag.behind(1.0 + ALLOWED_S)
    assert (behind.host, behind.position) == ('b', at(12))


def test_host_that_has_caught_up_is_not_behind(lag):
    lag.record_peer_position('b', at(12), 1.0)
    lag.record_own_position(at(12))
    assert lag.behind(9.0) is None


def test_what_is_not_told_in_a_pause_is_no_lag(lag):
    """The store is asked again half a second later and answers at once.

    Counted from the word of others, each pause would look like a watch that
    tells nothing, and every host would read everything anew.
    """
    lag.record_poll(1.5)
    lag.record_peer_position('b', at(12), 1.0)
    assert lag.behind(1.5 + ALLOWED_S - 0.0625) is None
    assert lag.behind(1.5 + ALLOWED_S) is not None


def test_changes_one_after_the_other_do_not_put_it_off(lag):
    """Others see changes all the time; this host sees none of them."""
    for number in range(20):
        lag.record_peer_position('b', at(11 + number), number * 0.125)
    behind = lag.behind(2.375)
    assert behind.for_s >= ALLOWED_S
    assert behind.position == at(11 + 17)


def test_host_that_can_not_ask_is_behind_at_once(lag):
    lag.record_poll(1.5)
    lag.record_peer_position('b', at(12), 1.0)
    assert lag.behind(1.0, store_reachable=False).position == at(12)


def test_part_that_has_been_seen_counts_no_longer(lag):
    lag.record_peer_position('b', at(11), 0.0)
    lag.record_peer_position('c', at(12), 5.0)
    lag.record_own_position(at(11))
    assert lag.behind(5.125) is None
    assert lag.behind(5.0 + ALLOWED_S).host == 'c'


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(('hear', 'see')),
            strategies.builds(
                position.Position,
                strategies.integers(0, 3),
                strategies.integers(1, 100),
            ),
        ),
        max_size=200,
    )
)
def test_host_is_behind_just_while_others_know_more(steps):
    lag = revisionlag.RevisionLag(ALLOWED_S)
    newest = own = position.START
    for step, seen in steps:
        if step == 'hear':
            lag.record_peer_position('b', seen, 0.0)
            newest = max(newest, seen)
        else:
            lag.record_own_position(seen)
            own = max(own, seen)
        assert (lag.behind(ALLOWED_S) is not None) == (newest > own)
        assert len(lag.unseen) <= revisionlag.MAX_POSITIONS


def test_host_that_knows_a_lost_future_is_behind_the_next_era(lag):
    """Another host has read a restored store; its revision is lower."""
    lag.record_own_position(at(50))
    lag.record_peer_position('b', at(20, era=4), 1.0)
    assert lag.behind(1.0 + ALLOWED_S).position == at(20, era=4)
    lag.record_own_position(at(20, era=4))
    lag.record_peer_position('c', at(60), 2.0)
    assert lag.behind(9.0) is None
