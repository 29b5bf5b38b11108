"""How long endpoints want nothing from a host."""

from magnoliadyke.core import catalog
from magnoliadyke.core import rests


def endpoint(name):
    return catalog.Endpoint(
        name, 'plain', '10.0.0.1:1', 'z1', 4, False, catalog.Stage.NONE
    )


ONE, TWO = endpoint('e1'), endpoint('e2')


def test_rest_ends_with_its_time():
    made = rests.Rests()
    made.asked('e1', 3.0, 10.0)
    assert made.left_s('e1', 11.0) == 2.0
    assert made.left_s('e1', 13.0) == 0.0
    assert made.left_s('e2', 11.0) == 0.0
    assert made.awake([ONE, TWO], 11.0) == [TWO]
    assert made.resting(11.0) == ['e1']
    assert made.resting(13.0) == []


def test_refusal_that_comes_late_does_not_shorten_a_rest():
    """An older answer replaced the rest that a later one had asked for."""
    made = rests.Rests()
    made.asked('e1', 3.0, 10.0)
    made.asked('e1', 0.5, 10.1)
    assert made.left_s('e1', 11.0) == 2.0


def test_all_rest_only_if_each_one_does():
    made = rests.Rests()
    made.asked('e1', 3.0, 10.0)
    assert made.all_rest_s([ONE, TWO], 10.0) == 0.0
    made.asked('e2', 1.0, 10.0)
    assert made.all_rest_s([ONE, TWO], 10.0) == 1.0
    assert made.all_rest_s([], 10.0) == 0.0


def test_rests_that_are_over_take_no_room(monkeypatch):
    monkeypatch.setattr(rests, 'MOST_RESTS', 4)
    made = rests.Rests()
    for number in range(20):
        made.asked(f'e{number}', 1.0, float(number))
    assert len(made.until_s) <= 4
