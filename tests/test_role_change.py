"""Role changes under streams, with real processes.

The engines' ledgers are the witnesses: what ran on which engine and when,
and which command was taken from whom.
"""

import http.client
import json
import pathlib
import time

import gevent
import pytest

from magnoliadyke.lab import cluster
from magnoliadyke.lab import engine as engines

DALA = pathlib.Path(__file__).parent.parent / 'examples' / 'dala.json'
POOL = 'lease-model'
STREAMS = 9
MOST_STREAMS = 40
TOKENS = 900
#: At 20 ms a token a stream of this age outlasts the wait for its engine to
#: be empty: unless it is moved, the change finds it there.
YOUNG_S = 7.0
CHANGE_WAIT_S = 60


def document(checks_fencing):
    """Settings with engines of one kind and nothing else."""
    made = json.loads(DALA.read_text())
    made['pools'] = made['pools'][:1]
    for endpoint in made['pools'][0]['endpoints']:
        endpoint['checks_fencing'] = checks_fencing
    return made


@pytest.fixture(params=[True, False], ids=['checks', 'ignores'])
def dala(request, tmp_path):
    options = cluster.Options(
        directory=str(tmp_path),
        hosts=3,
        engine={'speeds': {'role_change_s': 1.0}},
    )
    made = cluster.Cluster(document(request.param), options)
    with made as running:
        running.start()
        yield running


def edit(running, **cells):
    """Put cells of the pool's row in force."""
    host = next(iter(running.hosts))
    status, shown = running.admin(host, 'GET', '/admin/table')
    assert status == 200
    body = {
        'edit': json.dumps(cells),
        'operator': 'ann',
        'base_revision': shown['revision'],
        'cells': {f'pools/{POOL}/{name}': v for name, v in cells.items()},
        'wait_s': 10,
    }
    status, answer = running.admin(host, 'POST', '/admin/table', body, 20)
    assert (status, answer['state']) == (200, 'in_force')


def stream(running, host, number):
    """Ask for a long answer; return its text and finish reason."""
    connection = http.client.HTTPConnection(
        running.caller_address(host), timeout=60
    )
    body = {
        'model': POOL,
        'prompt': f'stream {number}',
        'max_tokens': TOKENS,
        'stream': True,
    }
    connection.request(
        'POST',
        '/v1/completions',
        json.dumps(body),
        {
            'Authorization': f'Bearer {cluster.caller_key("lease")}',
            'X-Repeatable': 'false' if number % 2 else 'true',
        },
    )
    answer = connection.getresponse()
    text = answer.read().decode()
    connection.close()
    events = [line[6:] for line in text.split('\n') if line[:6] == 'data: ']
    assert events[-1] == '[DONE]', text[-300:]
    choices = [json.loads(event)['choices'][0] for event in events[:-1]]
    assert choices[-1]['finish_reason'] == 'stop'
    return ''.join(choice['text'] for choice in choices)


def live_at(rows, at_s):
    """Ids of what ran or waited on an engine at a moment."""
    begun = {r['id'] for r in rows if r['what'] == 'run' and r['at_s'] < at_s}
    ended = {r['id'] for r in rows if r['what'] == 'end' and r['at_s'] < at_s}
    return begun - ended


def changed_engine(running):
    """Name of the engine that has changed its role, or ''."""
    for name in running.endpoints:
        if any(row['what'] == 'change_done' for row in running.ledger(name)):
            return name
    return ''


def fencing_numbers(rows):
    """Numbers of the commands that an engine took, in their order."""
    return [
        row['fencing']
        for row in rows
        if row['what'] == 'command' and row['status'] == 202
    ]


def young_streams(rows):
    """Ids of the streams that an engine has and that began there lately."""
    ended = {row['id'] for row in rows if row['what'] == 'end'}
    born_s = time.time() - YOUNG_S
    return {
        row['id']
        for row in rows
        if row['what'] == 'run'
        and row['kind'] != 'prefill'
        and row['offset'] == 0
        and row['at_s'] > born_s
    } - ended


class Callers:
    """Callers that keep each engine that decodes at work.

    Streams that come within a few hundredths of a second are placed before
    the hosts hear of each other's, so an engine may be left out; and on a
    busy machine the streams of an engine may end before the change is due.
    It would then be the one that changes, with nothing to move.

    :ivar had: engine to its young streams when all engines had some last
    """

    def __init__(self, running):
        self.running = running
        self.hosts = list(running.hosts)
        self.answers = []
        self.had = {}
        self.decoding = [
            name
            for name in running.endpoints
            if shown_role(running, name) == 'decode'
        ]

    def ask(self, count):
        """Begin streams, on the hosts in turn."""
        for _ in range(count):
            number = len(self.answers)
            assert number < MOST_STREAMS, 'an engine that decodes gets none'
            host = self.hosts[number % len(self.hosts)]
            answer = gevent.spawn(stream, self.running, host, number)
            self.answers.append(answer)

    def all_stream(self):
        """Whether all engines have young streams; begins some if not."""
        found = {
            name: young_streams(self.running.ledger(name))
            for name in self.decoding
        }
        if all(found.values()):
            self.had = found
            return True
        without = sum(not young for young in found.values())
        self.ask(without if self.answers else STREAMS)
        gevent.sleep(1.0)
        return False

    def change_seen(self):
        """Whether an engine is to change; keeps all at work until then."""
        rows = [
            row
            for name in self.decoding
            for row in self.running.ledger(name)
            if row['what'] == 'change_begun' or row.get('end') == 'exported'
        ]
        if not rows:
            self.all_stream()
        return bool(rows)

    def texts(self):
        """Wait for the answers to end; return them."""
        return [answer.get() for answer in self.answers]


def test_a_role_change_neither_cuts_nor_freezes_a_stream(dala):
    # Callers would see their answers stand still for the seconds of a role
    # change. All decode engines stream when one is to change; its streams
    # would outlast any wait. So the nodes are told to place nothing new
    # there, take the streams elsewhere, and only then the command goes out.
    host = next(iter(dala.hosts))
    edit(dala, planning='fixed')
    callers = Callers(dala)
    dala.wait_for(host, callers.all_stream)
    edit(dala, min_prefill=3)
    dala.wait_for(host, callers.change_seen, CHANGE_WAIT_S)
    dala.wait_for(host, lambda: changed_engine(dala), CHANGE_WAIT_S)
    texts = callers.texts()
    assert texts == [
        engines.answer_text(engines.digest(f'stream {number}'), 0, TOKENS)
        for number in range(len(texts))
    ]
    name = changed_engine(dala)
    rows = dala.ledger(name)
    (begun,) = [row for row in rows if row['what'] == 'change_begun']
    assert begun['role'] == 'prefill'
    assert live_at(rows, begun['at_s']) == set()
    ends = {row['id']: row['end'] for row in rows if row['what'] == 'end'}
    assert callers.had[name]
    assert {ends[each] for each in callers.had[name]} == {'exported'}, rows
    assert set(ends.values()) <= {'exported', 'finished'}, rows
    dala.wait_for(host, lambda: shown_role(dala, name) == 'prefill')
    numbers = fencing_numbers(rows)
    assert numbers == sorted(numbers)
    assert numbers


def shown_role(running, name):
    """Role of an engine as any node shows it to operators."""
    host = list(running.hosts)[-1]
    status, shown = running.admin(host, 'GET', '/admin/roles')
    assert status == 200
    roles = {
        each['name']: each['role']
        for pool in shown['pools']
        for each in pool['endpoints']
    }
    return roles[name]
