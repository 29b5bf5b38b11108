"""Hosts that only the platform's list knows, with real processes."""

import copy
import json
import pathlib

import pytest

from magnoliadyke.lab import cluster
from magnoliadyke import program

DALA = pathlib.Path(__file__).parent.parent / 'examples' / 'dala.json'
OLD = ['entry-1', 'entry-2']
NEW = ['entry-3', 'entry-4']


@pytest.fixture
def dala(tmp_path):
    document = json.loads(DALA.read_text())
    document['pools'] = document['pools'][:1]
    hosts = document['hosts']
    options = cluster.Options(
        directory=str(tmp_path), hosts=2, host_list={'lag_s': 1.0}
    )
    with cluster.Cluster(document, options) as running:
        text = json.dumps(hosts).replace(
            '127.0.', f'127.{options_run(running)}.'
        )
        rows = json.loads(text)
        running.others = {row['name']: row for row in rows}
        running.start()
        yield running


def options_run(running):
    """Second number of the run's addresses."""
    return running.options.run


def start_stranger(running, name):
    """Start a node whose settings name only itself and hosts long gone."""
    settings = copy.deepcopy(running.settings)
    names = [name, 'entry-7', 'entry-8']
    settings['hosts'] = [running.others[each] for each in names]
    path = running.directory / f'{name}.json'
    path.write_text(json.dumps(settings))
    running.hosts[name] = running.others[name]
    words = ['node', str(path), '--host', name]
    running.launch(name, program.command(*words), {})
    list_host(running, name, 'live')


def list_host(running, name, state):
    row = running.others[name]
    listed = {'host': name, 'state': state, 'address': row['address']}
    cluster.call_json(running.address('host_list'), 'POST', '/hosts', listed)


def named_by(running, host):
    """Hosts that a host names to callers."""
    answer = cluster.call_json(
        running.caller_address(host), 'GET', '/v1/hosts'
    )[1]
    return sorted(row['host'] for row in answer['hosts'])


def wait_named(running, host, names):
    running.wait_for(host, lambda: named_by(running, host) == names)


def test_a_fleet_of_which_every_host_was_replaced_still_joins(dala):
    # Callers would be sent to one host for good: the new hosts' settings
    # name hosts that are gone, nobody's settings name the new ones, and the
    # old ones, by which they met, have left. The platform's list names them.
    for name in NEW:
        start_stranger(dala, name)
    for name in OLD + NEW:
        wait_named(dala, name, OLD + NEW)
    for name in OLD:
        list_host(dala, name, 'gone')
        dala.terminate(name)
    for name in OLD:
        assert dala.wait(name) == 0
    for name in NEW:
        wait_named(dala, name, NEW)
    dala.kill('entry-4')
    wait_named(dala, 'entry-3', ['entry-3'])
    dala.restart('entry-4')
    for name in NEW:
        wait_named(dala, name, NEW)


def test_a_leaving_host_is_not_named_until_it_is_started_anew(dala):
    list_host(dala, 'entry-2', 'leaving')
    wait_named(dala, 'entry-1', ['entry-1'])
    dala.kill('entry-2')
    dala.restart('entry-2')
    wait_named(dala, 'entry-1', OLD)
