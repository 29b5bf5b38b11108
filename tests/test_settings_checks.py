"""Tests of the search for problems in settings."""

import copy
import json
import pathlib

import pytest

from magnoliadyke import settings_checks

DALA = json.loads(
    (pathlib.Path(__file__).parents[1] / 'examples' / 'dala.json').read_text()
)


def problems(changes):
    """Change places of the Dala sample; return problems by path."""
    document = copy.deepcopy(DALA)
    for path, value in changes.items():
        *parents, last = path
        place = document
        for step in parents:
            place = place[step]
        if value is None:
            del place[last]
        else:
            place[last] = value
    found = settings_checks.find_problems(document)
    return {problem.path: problem for problem in found}


ENGINE = ('pools', 0, 'endpoints', 0)
LEASE = ('initial_table', 'customers', 'lease')

CASES = {
    'unknown key': (('hosts', 5, 'adress'), 'x', 'hosts[5].adress'),
    'missing key': (('weight_store',), None, 'weight_store'),
    'wrong type': (('timing', 'stop_s'), 'soon', 'timing.stop_s'),
    'truth value for a number': (
        ('hosts', 0, 'caller_port'),
        True,
        'hosts[0].caller_port',
    ),
    'port out of range': (
        ('hosts', 1, 'peer_port'),
        65536,
        'hosts[1].peer_port',
    ),
    'host by name': (
        ('hosts', 0, 'address'),
        'entry-1.example',
        'hosts[0].address',
    ),
    'endpoint without port': (
        (*ENGINE, 'address'),
        '127.0.2.1',
        'pools[0].endpoints[0].address',
    ),
    'store by name': (
        ('keyvalue', 'address'),
        'store:7300',
        'keyvalue.address',
    ),
    'two listeners of a host': (
        ('hosts', 2, 'caller_port'),
        7082,
        'hosts[2].peer_port',
    ),
    'endpoint on the port of another': (
        (*ENGINE, 'address'),
        '127.0.2.2:7100',
        'pools[0].endpoints[1].address',
    ),
    'unknown failure domain': (
        ('hosts', 3, 'failure_domain'),
        'nowhere',
        'hosts[3].failure_domain',
    ),
    'host twice': (('hosts', 4, 'name'), 'entry-1', 'hosts[4].name'),
    'pool of no kind': (('pools', 1, 'kind'), 'serv', 'pools[1].kind'),
    'engine without a role': (
        (*ENGINE, 'role'),
        None,
        'pools[0].endpoints[0].role',
    ),
    'fewer engines than the minimum': (
        ('initial_table', 'pools', 'lease-model', 'min_prefill'),
        3,
        'pools[0].endpoints',
    ),
    'cell out of range': (
        (*LEASE, 'weight'),
        -1,
        'initial_table.customers.lease.weight',
    ),
    'row of no pool': (
        ('initial_table', 'pools', 'lease-mode'),
        {'min_prefill': 1},
        'initial_table.pools.lease-mode.min_prefill',
    ),
    'column that is not there': (
        (*LEASE, 'wait'),
        1,
        'initial_table.customers.lease.wait',
    ),
}


def test_samples_are_clean():
    assert problems({}) == {}


@pytest.mark.parametrize(
    ('path', 'value', 'reported'), CASES.values(), ids=CASES
)
def test_each_problem_is_found_with_its_remedy(path, value, reported):
    found = problems({path: value})
    assert reported in found
    assert found[reported].remedy


def test_all_problems_are_found_at_once():
    # What the operator sees: one run of `check` lists every mistake of the
    # file, also those that one mistake could hide, such as a clash of ports
    # behind a part that is missing.
    together = [
        'unknown key',
        'missing key',
        'host by name',
        'two listeners of a host',
        'unknown failure domain',
        'engine without a role',
        'cell out of range',
        'row of no pool',
    ]
    found = problems({CASES[name][0]: CASES[name][1] for name in together})
    assert {CASES[name][2] for name in together} <= set(found)


@pytest.mark.parametrize(
    'path', [('admin_token',), (*LEASE, 'keys')], ids=['token', 'keys']
)
def test_secret_written_in_the_clear_is_not_repeated(path):
    # An operator writes the key itself in place of its hash.  The message
    # goes to a terminal or a log, so it must not hold the key.
    secret = 'a-key-in-the-clear'
    value = [secret] if path[-1] == 'keys' else secret
    found = problems({path: value})
    assert len(found) == 1
    assert secret not in ' '.join(str(problem) for problem in found.values())


def test_key_of_two_customers():
    keys = DALA['initial_table']['customers']['lease']['keys']
    found = problems({('initial_table', 'customers', 'portal', 'keys'): keys})
    assert list(found) == ['initial_table.customers.portal.keys']


@pytest.mark.parametrize('document', [None, [], {}, {'hosts': [1]}])
def test_any_shape_is_answered_by_problems(document):
    assert settings_checks.find_problems(document)
