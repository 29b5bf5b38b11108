"""Tests of status and roles."""

import gevent
import pytest

from magnoliadyke import dispatch
from magnoliadyke import duties
from magnoliadyke import fleetqueries
from tests import fakenode


@pytest.fixture(autouse=True)
def others(monkeypatch):
    """Answer for the other hosts: none is there, unless a test adds one."""
    answers = {'entry-2': None}
    monkeypatch.setattr(fleetqueries, 'query_other_hosts', lambda *_: answers)
    return answers


def test_status_tells_hosts_customers_store_and_leases():
    node = fakenode.make()
    node.metrics.record_request_end('lease', 'answered')
    body = fakenode.client(node).simulate_get('/admin/status').json
    assert body['table']['revision'] == 12
    assert body['members'][0]['host'] == fakenode.HOST
    assert body['store']['reachable'] is True
    assert body['store']['last_answer_s'] == 1.0
    assert body['customers'][0]['answered'] == 1
    assert body['customers'][0]['unknown'] == 0
    assert body['endpoints'][0]['name'] == fakenode.ENGINE
    assert body['endpoints'][0]['state'] == 'up'
    assert 'state' not in body['endpoints'][1]
    assert body['leases'][0]['holder'] == fakenode.HOST


def test_status_adds_up_the_customers_of_all_hosts(others):
    node = fakenode.make()
    node.metrics.record_request_end('lease', 'answered')
    counts = {'name': 'lease', 'answered': 2, 'queued': 3}
    others['entry-2'] = {'customers': [counts]}
    client = fakenode.client(node)
    (lease,) = client.simulate_get('/admin/status').json['customers']
    assert (lease['answered'], lease['queued']) == (3, 5)
    own = client.simulate_get('/admin/status?scope=host').json
    assert own['customers'][0]['answered'] == 1


def test_status_of_a_host_that_has_no_table_yet():
    node = fakenode.make()
    node.configuration.views.last = None
    node.gossip.members.last = None
    node.keyvalue.last_answer_s = None
    body = fakenode.client(node).simulate_get('/admin/status').json
    assert body['table']['revision'] == 0
    assert body['store']['reachable'] is False
    assert body['members'] == []


def test_status_is_readable_while_a_task_hangs():
    """Two tasks do not answer; the rest of the status is shown."""
    node = fakenode.make()
    node.dispatcher.answers[dispatch.TakeSnapshot] = gevent.Timeout(1)
    node.duties.answers[duties.ShowPoolStatuses] = gevent.Timeout(1)
    client = fakenode.client(node)
    body = client.simulate_get('/admin/status').json
    assert body['members'] and 'no answer' in body['leases'][0]['holder']
    assert client.simulate_get('/admin/roles').status_code == 503


def test_roles_tell_engines_and_their_planner():
    body = fakenode.client(fakenode.make()).simulate_get('/admin/roles').json
    pool = body['pools'][0]
    assert (pool['planning'], pool['holder']) == ('auto', fakenode.HOST)
    assert pool['role_changes'] == 1
    engine = pool['endpoints'][0]
    assert (engine['role'], engine['target']) == ('decode', 'prefill')
    assert engine['checks_fencing'] is True
