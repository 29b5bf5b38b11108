"""Limits that endpoints name, and the pace of requests to them."""

from magnoliadyke.core import endpointlimits

E = 'e1'


def said(rate_s, sent_s, received_s):
    return endpointlimits.Statement(rate_s, sent_s, received_s)


def test_limit_is_in_force_until_a_later_answer_lacks_it():
    named = endpointlimits.NamedLimits()
    assert not named.record(E, said(None, 0.0, 0.1))
    assert named.record(E, said(8.0, 1.0, 1.1))
    assert not named.record(E, said(8.0, 1.5, 1.6))
    assert named.limited() == {E: 8.0}
    assert named.record(E, said(None, 1.7, 1.8))
    assert named.rate_s(E) is None


def test_answer_under_way_when_a_limit_was_named_does_not_end_it():
    """An older answer without the limit ended it."""
    named = endpointlimits.NamedLimits()
    named.record(E, said(8.0, 1.0, 1.1))
    assert not named.record(E, said(None, 1.05, 1.3))
    assert not named.record(E, said(20.0, 1.05, 1.3))
    assert named.rate_s(E) == 8.0
    assert named.record(E, said(5.0, 1.05, 1.3))
    assert not named.record(E, said(None, 1.2, 1.4))
    assert named.rate_s(E) == 5.0


def test_limit_told_late_does_not_come_back():
    """Another host's report of a limit arrived after its end."""
    named = endpointlimits.NamedLimits()
    named.record(E, said(8.0, 1.0, 1.1))
    named.record(E, said(None, 2.0, 2.1))
    assert not named.record(E, said(8.0, 1.5, 1.6))
    assert named.rate_s(E) is None
    assert named.record(E, said(8.0, 1.9, 2.05))


def test_endpoints_that_are_gone_take_no_room(monkeypatch):
    monkeypatch.setattr(endpointlimits, 'MAX_ENDPOINTS', 2)
    named = endpointlimits.NamedLimits()
    for number in range(4):
        named.record(f'e{number}', said(8.0, 0.0, 0.1))
    assert set(named.latest) == {'e2', 'e3'}
    named.drop('e2')
    assert set(named.latest) == {'e3'}
