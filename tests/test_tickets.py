"""Tests of magnoliadyke.core.tickets."""

from hypothesis import given
from hypothesis import strategies

from magnoliadyke.core import tickets

SECRET = bytes(16)


def test_a_key_names_its_home():
    issuer = tickets.TicketIssuer('alm-medeu-1', 42, SECRET)
    key = tickets.parse_key(issuer.issue(99.9) + '/17')
    assert key.home == 'alm-medeu-1.42'
    assert key.issued_s == 99
    assert issuer.accepts(key)


def test_tickets_differ():
    issuer = tickets.TicketIssuer('a', 1, SECRET)
    assert issuer.issue(5.0) != issuer.issue(5.0)


@given(strategies.integers(0, 2**40), strategies.integers(0, 15))
def test_a_changed_serial_is_not_accepted(issued_s, digit):
    issuer = tickets.TicketIssuer('a', 1, SECRET)
    ticket = issuer.issue(7.0)
    _, _, mac = ticket.rpartition('-')
    forged = tickets.parse_key(f'a.1.{issued_s:x}-{digit:x}-{mac}/1')
    assert issuer.accepts(forged) == (issued_s == 7 and digit == 1)


def test_another_incarnation_does_not_accept():
    key = tickets.parse_key(
        tickets.TicketIssuer('a', 1, SECRET).issue(1.0) + '/1'
    )
    assert not tickets.TicketIssuer('a', 2, SECRET).accepts(key)


@given(strategies.text())
def test_other_text_is_a_foreign_key(text):
    assert tickets.parse_key(text) is None
