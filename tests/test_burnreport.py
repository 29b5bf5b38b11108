"""Tests of the burn report over hosts."""

from magnoliadyke.core import burn
from magnoliadyke import errors
from magnoliadyke import fleetqueries
from tests import fakenode

LATE = burn.Timings(first_token_s=3.0, queued_s=2.8)


class FakeClient:
    """Answers for the other hosts: one has counts, the rest are down."""

    def __init__(self, addresses, token):
        self.host = addresses[0].host

    def get(self, path):
        if self.host != 'entry-2':
            raise errors.HostUnreachable('down', 'start it')
        counts = {'lease': {'300': [30, 0, 0, 10, 0]}}
        return {'host': 'entry-2', 'covered_s': 60.0, 'counts': counts}


def test_hosts_are_added_up_and_missing_ones_named(monkeypatch):
    """Ten late ones of ten here, ten of thirty there: 20 of 40 are bad.

    The objective is 95 %, so the 5-minute rate is 0.5 / 0.05 = 10.
    """
    monkeypatch.setattr(fleetqueries.adminclient, 'AdminClient', FakeClient)
    node = fakenode.make()
    for _ in range(10):
        node.metrics.record_request_end('lease', 'answered', LATE)
    body = fakenode.client(node).simulate_get('/admin/burn').json
    window = body['customers'][0]['windows'][0]
    assert (window['bad'], window['total']) == (20, 40)
    assert round(window['burn_rate'], 6) == 10
    assert body['hosts'] == ['entry-1', 'entry-2']
    assert 'entry-3' in body['missing']
    assert '5 min' in body['text'] and 'queue 20' in body['text']


def test_part_of_one_host_holds_its_counts():
    node = fakenode.make()
    node.metrics.record_request_end('lease', 'answered', LATE)
    path = '/admin/burn?scope=host'
    body = fakenode.client(node).simulate_get(path).json
    assert body['counts']['lease']['300'] == [1, 0, 0, 1, 0]
