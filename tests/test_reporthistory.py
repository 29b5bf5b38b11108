"""Since when a process knows of all final reports."""

import pytest

from magnoliadyke.core import reporthistory

WALL_S = 1000.0
WINDOW_S = 5.0


def first(history):
    return history.first_unreported(WALL_S, WINDOW_S, 2.5)


def test_nothing_is_known_before_the_store_was_read():
    assert first(reporthistory.ReportHistory()) is None


def test_store_without_eras_is_never_restored():
    history = reporthistory.ReportHistory()
    assert history.enter_era(0, 50.0, False, WALL_S)
    assert first(history) == 0
    assert history.is_recorded()


@pytest.mark.parametrize(
    ('since_s', 'window'), [(52.4, 209), (52.5, 209), (52.6, 210)]
)
def test_window_may_be_reported_that_ended_too_late_for_others(
    since_s, window
):
    history = reporthistory.ReportHistory()
    history.enter_era(3, since_s, False, WALL_S)
    assert first(history) == window


def test_process_that_knows_all_reports_keeps_its_time_over_a_restore():
    history = reporthistory.ReportHistory()
    history.enter_era(1, 50.0, False, WALL_S)
    history.record = reporthistory.EraRecord(1, 900.0)
    assert history.enter_era(2, 90.0, True, WALL_S)
    assert history.known_since_s(WALL_S) == 900.0
    assert not history.is_recorded()
    assert history.enter_era(3, 95.0, False, WALL_S)
    assert history.known_since_s(WALL_S) == 1095.0
    assert not history.enter_era(2, 99.0, True, WALL_S)


def test_record_of_an_earlier_era_tells_nothing():
    history = reporthistory.ReportHistory()
    history.enter_era(2, 50.0, False, WALL_S)
    history.record = reporthistory.EraRecord(1, 900.0)
    assert history.known_since_s(WALL_S) == 1050.0
    history.record = reporthistory.EraRecord(2, 900.0)
    assert history.known_since_s(WALL_S) == 900.0


def test_record_is_read_as_it_was_written():
    record = reporthistory.EraRecord(7, 1.7e9 + 0.25)
    assert reporthistory.EraRecord.parse(record.dump()) == record
    always = reporthistory.EraRecord(7, reporthistory.ALWAYS)
    assert reporthistory.EraRecord.parse(always.dump()).since_s == 0.0


@pytest.mark.parametrize(
    'value',
    [
        b'',
        b'[]',
        b'{"era":"1","since_s":1}',
        b'{"era":1}',
        b'{"era":-1,"since_s":1}',
        b'{"era":1,"since_s":NaN}',
        b'{"era":1,"since_s":Infinity}',
        b'[' * 100_000,
    ],
)
def test_record_of_another_writer_is_refused(value):
    with pytest.raises(ValueError):
        reporthistory.EraRecord.parse(value)
