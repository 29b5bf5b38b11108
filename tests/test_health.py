"""Tests of endpoint states, ejection and return."""

from magnoliadyke.core import health


def test_the_first_word_that_it_is_out_wins():
    # The endpoint itself says that it leaves; the host list still names it
    # as live for a while. It gets nothing new from the first word on.
    one = health.EndpointHealth()
    one.record_report('leaving', 5.0)
    one.record_observation('up', 6.0)
    assert not one.takes_work(6.0, 0)


def test_an_old_report_does_not_bring_it_back():
    one = health.EndpointHealth()
    one.record_report('leaving', 4.0)
    one.record_observation('leaving', 5.0)
    one.record_report('up', 4.5)
    one.record_observation('up', 6.0)
    assert one.is_out()
    one.record_report('up', 6.5)
    assert one.takes_work(7.0, 0)


def test_coming_back_needs_proof():
    one = health.EndpointHealth()
    one.record_observation('crashed', 1.0)
    one.record_observation('up', 2.0)
    assert one.takes_work(2.0, 0)
    assert not one.takes_work(2.0, 1)
    one.record_success()
    assert one.takes_work(2.0, 1)


def test_a_planned_change_needs_none():
    one = health.EndpointHealth()
    one.record_observation('changing', 1.0)
    assert not one.takes_work(1.0, 0)
    one.record_observation('up', 7.0)
    assert one.takes_work(7.0, 5)


def test_failures_in_a_row_eject_for_longer_each_time():
    one = health.EndpointHealth()
    lengths = []
    for _ in range(6):
        verdicts = [one.record_failure() for _ in range(3)]
        assert verdicts == [False, False, True]
        one.eject(100.0)
        lengths.append(one.ejected_until_s - 100.0)
    assert lengths == [5.0, 10.0, 20.0, 40.0, 60.0, 60.0]
    one.record_success()
    one.eject(0.0)
    assert one.ejected_until_s == 5.0


def test_most_of_a_pool_is_never_ejected():
    # The network fails, so every endpoint seems to. Ejecting them all would
    # leave nothing to try; the floor keeps two of three.
    pool = [health.EndpointHealth() for _ in range(6)]
    ejected = 0
    for one in pool:
        if health.can_eject(pool, 0.0):
            one.eject(0.0)
            ejected += 1
    assert ejected == 2
