"""Tests of stale entries from an older copy of the store."""

import pytest

from magnoliadyke.core import catalog
from magnoliadyke.core import position
from magnoliadyke.core import staleentries

COPIED = position.Position(2, 20)
WRITTEN_SINCE = position.Position(2, 31)
NOW_S = 100.0


def endpoint(**fields):
    ready = catalog.Endpoint(
        'e', 's', '10.0.0.1:80', 'd', 6, False, catalog.Stage.PREFILL
    )
    return ready._replace(**fields)


@pytest.fixture
def known():
    return catalog.Catalog()


@pytest.fixture
def old(known):
    return staleentries.StaleEntries(known)


def is_old(old, after_s=0.0, written=COPIED):
    return old.is_stale('e', written, NOW_S + after_s)


def test_entry_as_it_is_known_is_used(known, old):
    known.put(endpoint())
    old.record_restored(endpoint(), COPIED, NOW_S)
    assert not is_old(old)


def test_leave_is_never_taken_back_by_a_copy(known, old):
    known.put(endpoint(leaving=True))
    old.record_restored(endpoint(), COPIED, NOW_S)
    assert is_old(old, after_s=3600.0)
    assert not is_old(old, written=WRITTEN_SINCE)
    assert not old.entries


def test_leave_that_only_the_copy_has_is_applied(known, old):
    known.put(endpoint())
    old.record_restored(endpoint(leaving=True), COPIED, NOW_S)
    assert not is_old(old)


def test_stage_of_a_copy_is_applied_after_a_delay(known, old):
    known.put(endpoint(stage=catalog.Stage.DECODE))
    old.record_restored(endpoint(), COPIED, NOW_S)
    assert is_old(old)
    assert not old.expired_names(NOW_S)
    assert old.expired_names(NOW_S + staleentries.REWRITE_TIMEOUT_S) == ['e']
    assert not is_old(old, staleentries.REWRITE_TIMEOUT_S)


def test_endpoint_that_was_gone_comes_back_when_it_is_still_listed(old):
    old.record_removal('e', NOW_S - 1.0)
    old.record_restored(endpoint(), COPIED, NOW_S)
    assert is_old(old)
    assert not is_old(old, staleentries.UNRENEWED_ENTRY_TTL_S)


def test_endpoint_gone_long_ago_is_not_remembered(old):
    old.record_removal('e', NOW_S - staleentries.REMOVAL_RETENTION_S - 1.0)
    old.record_restored(endpoint(), COPIED, NOW_S)
    assert not is_old(old)


def test_second_restore_judges_anew(known, old):
    known.put(endpoint(leaving=True))
    old.record_restored(endpoint(), COPIED, NOW_S)
    old.record_restored(
        endpoint(leaving=True), position.Position(3, 20), NOW_S
    )
    assert not is_old(old, written=position.Position(3, 20))


def test_skipped_entries_can_be_reported(known, old):
    known.put(endpoint(leaving=True))
    old.record_removal('f', NOW_S)
    old.record_restored(endpoint(), COPIED, NOW_S)
    old.record_restored(endpoint(id='f'), COPIED, NOW_S)
    other = staleentries.StaleEntries(catalog.Catalog())
    for each in old.export(NOW_S + 1.0):
        other.merge_peer_entry(each, NOW_S + 1.0)
    assert other.entries == old.entries
