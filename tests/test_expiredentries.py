"""Endpoints whose entries have vanished."""

import pytest

from magnoliadyke.core import catalog
from magnoliadyke.core import expiredentries


def endpoint(name, leaving=False):
    return catalog.Endpoint(
        name, 's', '10.0.0.1:80', 'd', 6, leaving, catalog.Stage.NONE
    )


@pytest.fixture
def known():
    made = catalog.Catalog()
    for number in range(5):
        made.put(endpoint(f'e{number}'))
    return made


@pytest.fixture
def lapsed(known):
    return expiredentries.Lapses(known)


def test_one_that_vanishes_is_gone(lapsed):
    assert lapsed.lost(['e0', 'unknown'], 10.0) == ['e0']


def test_one_that_vanishes_after_an_outage_may_be_back(lapsed):
    lapsed.regained(10.0, lost_s=4.0)
    assert lapsed.lost(['e0'], 11.0) == []
    assert lapsed.settle(10.0 + expiredentries.LAPSE_S - 0.1) == []
    assert lapsed.settle(10.0 + expiredentries.LAPSE_S) == ['e0']
    assert not lapsed.doubted


def test_one_that_is_back_stays(lapsed):
    lapsed.regained(10.0, lost_s=4.0)
    lapsed.lost(['e0'], 11.0)
    lapsed.listed('e0')
    assert lapsed.settle(99.0) == []


def test_one_that_has_said_that_it_leaves_is_gone(known, lapsed):
    known.put(endpoint('e1', leaving=True))
    lapsed.regained(10.0, lost_s=4.0)
    assert lapsed.lost(['e1'], 10.0) == ['e1']


def test_most_that_vanish_together_are_kept_for_a_moment(lapsed):
    """The store may have been away without a host's notice."""
    assert lapsed.lost(['e0', 'e1', 'e2'], 10.0) == []
    gone = lapsed.settle(10.0 + expiredentries.TOGETHER_S)
    assert sorted(gone) == ['e0', 'e1', 'e2']


def test_outage_of_this_host_alone_makes_no_entry_lapse(lapsed):
    """The store turned this host away, and an endpoint left meanwhile.

    All others dropped it when it left; kept here for two seconds more, it
    would be given requests that it no longer takes.
    """
    lapsed.regained(10.0, lost_s=4.0)
    assert lapsed.lost(['e0'], 10.0) == []
    assert lapsed.asks_others()
    assert lapsed.explained(listed=()) == ['e0']
    assert not lapsed.asks_others()
    assert lapsed.lost(['e1'], 10.5) == ['e1']


def test_outage_of_all_lets_entries_lapse(lapsed):
    lapsed.regained(10.0, lost_s=4.0)
    lapsed.lost(['e0'], 10.0)
    lapsed.shared()
    assert not lapsed.asks_others()
    assert lapsed.settle(10.0 + expiredentries.LAPSE_S) == ['e0']


def test_nobody_is_asked_while_nothing_is_doubted(lapsed):
    lapsed.regained(10.0, lost_s=4.0)
    assert not lapsed.asks_others()


def test_who_has_had_the_store_long_enough_shows_an_outage_of_one(lapsed):
    lapsed.regained(10.0, lost_s=4.0)
    settled = expiredentries.Reach(expiredentries.LAPSE_S + 0.1, 0.0)
    shared = expiredentries.Reach(0.3, 0.0)
    assert lapsed.alone([shared, None, settled], 10.1)
    assert lapsed.alone([shared, shared], 10.1) is False


def test_outage_stays_unexplained_until_all_asked_can_tell(lapsed):
    lapsed.regained(10.0, lost_s=4.0)
    shared = expiredentries.Reach(0.3, 0.0)
    before_the_return = expiredentries.Reach(100.0, 0.2)
    assert lapsed.alone([], 10.1) is None
    assert lapsed.alone([shared, None], 10.1) is None
    assert lapsed.alone([before_the_return], 10.1) is None


def test_short_outage_of_one_is_shown_by_who_had_none(lapsed):
    lapsed.regained(10.0, lost_s=9.5)
    assert lapsed.alone([expiredentries.Reach(1.0, 0.0)], 10.1)


def test_endpoint_that_another_host_still_lists_is_not_gone(lapsed):
    lapsed.regained(10.0, lost_s=4.0)
    lapsed.lost(['e0', 'e1'], 10.0)
    assert lapsed.explained(listed={'e1'}) == ['e0']
    assert lapsed.asks_others()
    assert 'e1' in lapsed.doubted
