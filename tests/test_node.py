"""The whole path with real processes: callers, nodes, endpoints, store."""

import http.client
import json
import pathlib

import pytest

from magnoliadyke.lab import cluster

EXAMPLES = pathlib.Path(__file__).parent.parent / 'examples'
IN_FORCE_WAIT_S = 10


@pytest.fixture(scope='module')
def dala(tmp_path_factory):
    document = json.loads((EXAMPLES / 'dala.json').read_text())
    options = cluster.Options(directory=str(tmp_path_factory.mktemp('dala')))
    with cluster.Cluster(document, options) as running:
        running.start()
        yield running


def call(running, host, method, path, customer, body=None, headers=()):
    """Call a node as a customer; status and body text."""
    connection = http.client.HTTPConnection(
        running.caller_address(host), timeout=20
    )
    key = cluster.caller_key(customer)
    sent = {'Authorization': f'Bearer {key}', **dict(headers)}
    data = None if body is None else json.dumps(body)
    connection.request(method, path, data, sent)
    answer = connection.getresponse()
    text = answer.read().decode()
    connection.close()
    return answer.status, text


def streamed_text(text):
    """Join the text of a stream's events; check that it ended whole."""
    events = [line[6:] for line in text.split('\n') if line[:6] == 'data: ']
    assert events[-1] == '[DONE]'
    choices = [json.loads(event)['choices'][0] for event in events[:-1]]
    assert choices[-1]['finish_reason'] == 'stop'
    return ''.join(choice['text'] for choice in choices)


def test_any_host_comes_to_name_all_hosts(dala):
    # A host whose probe was late, as on a busy machine, is suspected and left
    # out for a moment; it must come back into every host's answer by itself.
    for host in dala.hosts:
        dala.wait_for(host, lambda host=host: names_all(dala, host))


def names_all(running, host):
    """Whether a host's answer names exactly the hosts there are."""
    status, text = call(running, host, 'GET', '/v1/hosts', 'lease')
    named = [row['host'] for row in json.loads(text)['hosts']]
    return status == 200 and sorted(named) == sorted(running.hosts)


@pytest.mark.parametrize('customer', ['lease', 'portal'])
def test_a_streamed_answer_is_whole_and_the_same_as_an_unstreamed_one(
    dala, customer
):
    body = {
        'model': 'lease-model',
        'prompt': f'what does {customer} owe',
        'max_tokens': 12,
    }
    host = next(iter(dala.hosts))
    path = '/v1/completions'
    status, text = call(
        dala, host, 'POST', path, customer, {**body, 'stream': True}
    )
    assert status == 200
    plain_status, plain = call(dala, host, 'POST', path, customer, body)
    assert plain_status == 200
    whole = json.loads(plain)['choices'][0]['text']
    assert streamed_text(text) == whole
    assert len(whole.split()) == 12


def test_a_service_call_reaches_an_endpoint_once(dala):
    host = list(dala.hosts)[3]
    path = '/v1/services/portal/notices'
    status, text = call(dala, host, 'POST', path, 'portal', {'to': 'unit 7'})
    answer = json.loads(text)
    assert status == 200
    assert answer['path'] == '/notices'
    assert json.loads(answer['body']) == {'to': 'unit 7'}
    runs = [
        row
        for name in dala.endpoints
        for row in dala.ledger(name)
        if row['what'] == 'run' and row.get('path') == '/notices'
    ]
    assert len(runs) == 1


def test_a_wrong_key_is_refused(dala):
    host = next(iter(dala.hosts))
    status, text = call(
        dala, host, 'POST', '/v1/completions', 'nobody', {'model': 'x'}
    )
    assert status == 401
    assert json.loads(text)['error']['remedy']


def test_a_resent_key_gets_the_same_answer_through_another_host(dala):
    # The caller sees the same whole answer twice. It sends a request that
    # may not be repeated, loses the answer, and sends the key again to
    # another host; that host relays to the key's home, which has the
    # answer, so that the endpoint's ledger holds one run.
    first, second = list(dala.hosts)[:2]
    ticket = json.loads(call(dala, first, 'GET', '/v1/hosts', 'lease')[1])
    headers = {
        'Idempotency-Key': f'{ticket["ticket"]}/1',
        'X-Repeatable': 'false',
    }
    body = {'model': 'lease-model', 'prompt': 'bill once', 'max_tokens': 5}
    answers = [
        call(dala, host, 'POST', '/v1/completions', 'lease', body, headers)
        for host in (first, second, first)
    ]
    assert [status for status, _ in answers] == [200, 200, 200]
    texts = {json.loads(a)['choices'][0]['text'] for _, a in answers}
    assert len(texts) == 1
    runs = [
        row
        for name in dala.endpoints
        for row in dala.ledger(name)
        if row['what'] == 'run'
        and row['key'] == headers['Idempotency-Key']
        and row['kind'] != 'prefill'
    ]
    assert len(runs) == 1


def test_an_edit_is_in_force_on_all_hosts_and_a_clash_is_shown(dala):
    # The operator sees a conflict: two operators start from the same
    # revision, both change one cell, the second must not win unseen.
    host = next(iter(dala.hosts))
    base = dala.admin(host, 'GET', '/admin/table')[1]['revision']
    edit = {
        'edit': 'first',
        'operator': 'one',
        'base_revision': base,
        'cells': {'customers/portal/weight': 3},
        'wait_s': IN_FORCE_WAIT_S,
    }
    status, body = dala.admin(
        host, 'POST', '/admin/table', edit, 2 * IN_FORCE_WAIT_S
    )
    assert (status, body['state']) == (200, 'in_force')
    for each in dala.hosts:
        status, shown = dala.admin(each, 'GET', '/admin/table')
        row = shown['sheets']['customers']['rows']['portal']
        assert row['weight'] == 3
    clash = {
        **edit,
        'edit': 'second',
        'operator': 'two',
        'cells': {'customers/portal/weight': 4},
    }
    other = list(dala.hosts)[5]
    status, body = dala.admin(other, 'POST', '/admin/table', clash)
    assert status == 409
    assert body['error']['code'] == 'conflict'


def test_a_planned_stop_cuts_no_stream(dala):
    # The caller sees its whole answer although its node is told to stop
    # while the answer streams: the node takes no new work, but ends only
    # after the stream has.
    host = list(dala.hosts)[-1]
    connection = http.client.HTTPConnection(
        dala.caller_address(host), timeout=30
    )
    key = cluster.caller_key('lease')
    body = {
        'model': 'lease-model',
        'prompt': 'a long answer please',
        'max_tokens': 60,
        'stream': True,
    }
    connection.request(
        'POST',
        '/v1/completions',
        json.dumps(body),
        {'Authorization': f'Bearer {key}'},
    )
    answer = connection.getresponse()
    head = answer.read(10).decode()
    dala.terminate(host)
    text = head + answer.read().decode()
    connection.close()
    assert len(streamed_text(text).split()) == 60
    assert dala.wait(host) == 0
