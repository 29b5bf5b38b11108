"""Loads of models under the weight store's rate, with real processes."""

import copy
import json
import pathlib

import pytest

from magnoliadyke.lab import cluster

DALA = pathlib.Path(__file__).parent.parent / 'examples' / 'dala.json'
LOAD_WAIT_S = 60
#: The stand-in gives 20e9 bytes at once and 2e9 a second.
MODEL_BYTES = 8e9


def document():
    """Two pools of two engines; none has a model in it."""
    made = json.loads(DALA.read_text())
    first = made['pools'][0]
    second = copy.deepcopy(first)
    second.update(name='reply-model', model='reply-model')
    first['endpoints'] = [first['endpoints'][i] for i in (0, 3)]
    second['endpoints'] = [second['endpoints'][i] for i in (1, 4)]
    for pool in (first, second):
        pool['model_bytes'] = MODEL_BYTES
    made['pools'] = [first, second]
    return made


@pytest.fixture
def dala(tmp_path):
    options = cluster.Options(
        directory=str(tmp_path),
        hosts=3,
        engine={'models': [], 'load_s': 0.5},
    )
    with cluster.Cluster(document(), options) as running:
        running.start()
        yield running


def rows_of(running, name, what):
    return [row for row in running.ledger(name) if row['what'] == what]


def all_loaded(running):
    return all(rows_of(running, name, 'loaded') for name in running.endpoints)


def test_pools_share_the_weight_store_and_come_back_when_told(dala):
    # Requests would wait for weights that trickle in: loads of two pools
    # begin together, share the store's rate, and each comes late. The holder
    # of each pool asks the store first and begins one load at a time; the
    # store's 429 says when to ask again, so that it is not asked in between.
    dala.wait_for('entry-1', lambda: all_loaded(dala), LOAD_WAIT_S)
    for name in dala.endpoints:
        loads = rows_of(dala, name, 'command')
        taken = [row for row in loads if row['kind'] == 'load']
        assert [row['status'] for row in taken] == [202]
        assert [row['model'] for row in taken] == [dala.pool_of(name)['model']]
    ledger = cluster.call_json(dala.address('weight_store'), 'GET', '/ledger')[
        1
    ]
    loads = len(dala.endpoints)
    assert ledger['granted'] == loads
    # With two pools, a wait may be in vain once for each load of the other.
    assert 0 < ledger['refused'] <= 2 * loads
