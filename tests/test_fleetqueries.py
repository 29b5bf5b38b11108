"""Tests of asking the other hosts."""

import gevent
import pytest

from magnoliadyke import fleetqueries
from tests import fakenode


class FakeClient:
    """Host entry-2 answers, entry-3 is paused, all others are down."""

    def __init__(self, addresses, token):
        self.host = addresses[0].host
        self.token = token

    def get(self, path):
        if self.host == 'entry-2':
            return {'token': self.token, 'path': path}
        if self.host == 'entry-3':
            gevent.sleep(60)
        raise fleetqueries.errors.HostUnreachable('down', 'start it')


@pytest.fixture(autouse=True)
def client(monkeypatch):
    monkeypatch.setattr(fleetqueries.adminclient, 'AdminClient', FakeClient)
    monkeypatch.setattr(fleetqueries, 'HOST_TIMEOUT_S', 0.05)


def test_hosts_that_do_not_answer_do_not_hold_up_the_report():
    """The operator gets the figures of the hosts that answer.

    One host is paused: its kernel accepts the connection and nobody reads.
    Without a bound the report would come only after the 30 s of an edit.
    """
    answers = fleetqueries.query_other_hosts(fakenode.make(), 'secret', '/x')
    assert answers['entry-2'] == {'token': 'secret', 'path': '/x'}
    assert answers['entry-3'] is None
    assert answers['entry-8'] is None
    assert fakenode.HOST not in answers
