"""Tests of the measurement of a scrape."""

from magnoliadyke.lab import scrape
from tests import fakenode


def test_scrape_grows_with_the_customers():
    few = scrape.measure(fakenode.settings(), 1)
    more = scrape.measure(fakenode.settings(), 3)
    assert 0 < few.text_bytes < more.text_bytes
    assert 0 < few.state_bytes < more.state_bytes
