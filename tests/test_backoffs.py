"""How long endpoints want nothing from a host."""

from magnoliadyke.core import backoffs
from magnoliadyke.core import catalog


def endpoint(name):
    return catalog.Endpoint(
        name, 'plain', '10.0.0.1:1', 'z1', 4, False, catalog.Stage.NONE
    )


ONE, TWO = endpoint('e1'), endpoint('e2')


def test_backoff_ends_with_its_time():
    made = backoffs.Backoffs()
    made.record_backoff('e1', 3.0, 10.0)
    assert made.remaining_s('e1', 11.0) == 2.0
    assert made.remaining_s('e1', 13.0) == 0.0
    assert made.remaining_s('e2', 11.0) == 0.0
    assert made.available([ONE, TWO], 11.0) == [TWO]
    assert made.active(11.0) == ['e1']
    assert made.active(13.0) == []


def test_refusal_that_comes_late_does_not_shorten_a_backoff():
    """An older answer replaced the backoff that a later one had asked for."""
    made = backoffs.Backoffs()
    made.record_backoff('e1', 3.0, 10.0)
    made.record_backoff('e1', 0.5, 10.1)
    assert made.remaining_s('e1', 11.0) == 2.0


def test_none_may_be_asked_only_if_each_asked_to_back_off():
    made = backoffs.Backoffs()
    made.record_backoff('e1', 3.0, 10.0)
    assert made.shortest_remaining_s([ONE, TWO], 10.0) == 0.0
    made.record_backoff('e2', 1.0, 10.0)
    assert made.shortest_remaining_s([ONE, TWO], 10.0) == 1.0
    assert made.shortest_remaining_s([], 10.0) == 0.0


def test_backoffs_that_are_over_take_no_room(monkeypatch):
    monkeypatch.setattr(backoffs, 'MAX_BACKOFFS', 4)
    made = backoffs.Backoffs()
    for number in range(20):
        made.record_backoff(f'e{number}', 1.0, float(number))
    assert len(made.until_s) <= 4
