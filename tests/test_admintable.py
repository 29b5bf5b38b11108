"""Tests of the table's admin routes."""

import pytest

from magnoliadyke.core import freshness
from magnoliadyke.core import table
from magnoliadyke import gossip
from magnoliadyke import tablemessages
from tests import fakenode

WEIGHT = 'customers/lease/weight'


@pytest.fixture
def node():
    return fakenode.make()


def post(node, result, path='/admin/table', **body):
    node.configuration.answers[tablemessages.EditCells] = result
    body = {'operator': 'aigul', 'edit': 'e1'} | body
    return fakenode.client(node).simulate_post(path, json=body)


def staged_document():
    """Return a document with one accepted and one staged edit."""
    document = table.empty()
    for operator, value in (('aigul', 4), ('marat', 5)):
        edit = table.Edit(operator, operator, 9, {WEIGHT: value}, 1.7e9)
        document = table.stage(document, edit).document
        if operator == 'aigul':
            document = table.accept(document, 1)
    return document


def test_shows_cells_with_columns_and_staged_edit(node):
    document = staged_document()
    node.configuration.documents.last.document = document
    node.gossip.standings.last = gossip.Standing(
        0.0, acceptance=freshness.Blocked(2, ('entry-2',))
    )
    node.configuration.answers[tablemessages.ShowTable] = (
        tablemessages.TableShown(
            1,
            2,
            {WEIGHT: tablemessages.CellState(4, True, 5)},
            {'entry-1': 1, 'entry-2': 1},
        )
    )
    body = fakenode.client(node).simulate_get('/admin/table').json
    assert body['revision'] == 1
    assert body['sheets']['customers']['rows'] == {'lease': {'weight': 4}}
    assert body['sheets']['hosts']['rows']['entry-8'] == {}
    columns = body['sheets']['customers']['columns']
    assert [c['default'] for c in columns if c['name'] == 'weight'] == [1]
    (staged,) = body['staged']
    assert (staged['edit'], staged['cells']) == ('marat', {WEIGHT: 5})
    assert staged['waiting'] == ['entry-2']


def test_history_leaves_staged_edits_out(node):
    document = staged_document()
    node.configuration.documents.last.document = document
    node.configuration.answers[tablemessages.History] = [
        *document['history'],
        *document['staged'],
    ]
    client = fakenode.client(node)
    (entry,) = client.simulate_get('/admin/table/history').json['history']
    assert entry['operator'] == 'aigul'


def test_edit_in_force_everywhere(node):
    result = post(
        node, tablemessages.Accepted(13, 0.9), cells={WEIGHT: 5}, wait_s=2
    )
    assert result.status_code == 200
    assert result.json['state'] == 'in_force'
    asked = node.configuration.asked[-1]
    assert (asked.edits, asked.author, asked.edit_id) == (
        {WEIGHT: 5},
        'aigul',
        'e1',
    )


def test_edit_that_not_all_hosts_have_yet(node):
    result = post(
        node, tablemessages.Accepted(13, 9.0, ('entry-2',)), cells={WEIGHT: 5}
    )
    assert result.status_code == 202
    assert result.json['laggards'] == ['entry-2']


def test_edit_that_waits_for_missing_hosts(node):
    pending = tablemessages.Pending(13, ('entry-2',))
    result = post(node, pending, cells={WEIGHT: 5})
    assert result.status_code == 202
    assert result.json['state'] == 'pending'
    assert result.json['missing'] == ['entry-2']
    assert 'override' in result.json['remedy']


def test_conflict_shows_both_values(node):
    conflict = tablemessages.Conflict({WEIGHT: (6, 5)}, 13, ('marat',))
    result = post(node, conflict, cells={WEIGHT: 5}, base_revision=12)
    assert result.status_code == 409
    found = result.json['error']['conflicts'][0]
    assert (found['their_value'], found['your_value']) == (6, 5)
    assert 'marat' in result.json['error']['message']


def test_invalid_cell_names_value_and_remedy(node):
    problem = table.Problem(WEIGHT, -1, 'not a valid weight', 'use more')
    result = post(node, tablemessages.Invalid((problem,)), cells={WEIGHT: -1})
    assert result.status_code == 400
    found = result.json['error']['problems'][0]
    assert (found['cell'], found['value'], found['remedy']) == (
        WEIGHT,
        -1,
        'use more',
    )


def test_store_that_does_not_answer(node):
    result = post(
        node, tablemessages.StoreUnavailable(True), cells={WEIGHT: 5}
    )
    assert result.status_code == 503
    assert result.json['error']['maybe_applied'] is True
    assert 'same edit id' in result.json['error']['remedy']


@pytest.mark.parametrize(
    'body',
    [
        {'cells': {}},
        {'cells': [WEIGHT]},
        {'cells': {WEIGHT: 5}, 'operator': ''},
        {'cells': {WEIGHT: 5}, 'operator': 'a\nb'},
        {'cells': {WEIGHT: 5}, 'base_revision': '12'},
        {'cells': {WEIGHT: 5}, 'wait_s': 'long'},
    ],
)
def test_edit_that_is_no_edit_reaches_nobody(node, body):
    assert post(node, None, **body).status_code == 400
    assert node.configuration.asked == []


def test_drain_is_an_edit_of_the_state(node):
    accepted = tablemessages.Accepted(13, 0.5)
    post(node, accepted, '/admin/drain', host='entry-1')
    post(node, accepted, '/admin/drain', endpoint='lease-model-1', undo=True)
    assert [asked.edits for asked in node.configuration.asked] == [
        {'hosts/entry-1/state': 'drain'},
        {'endpoints/lease-model-1/state': None},
    ]
    both = post(node, accepted, '/admin/drain', host='a', endpoint='b')
    assert both.status_code == 400


def test_override_names_the_staged_edit(node):
    post(node, tablemessages.Accepted(13, 0.5), '/admin/table/override')
    asked = node.configuration.asked[-1]
    assert (asked.edit_id, asked.override, asked.edits) == ('e1', True, {})


def test_history_pairs_old_and_new_values(node):
    change = {'operator': 'aigul', 'at_s': 1.7e9, 'override': ''}
    node.configuration.answers[tablemessages.History] = [
        change | {'revision': 1, 'id': 'a', 'cells': {WEIGHT: 4}},
        change | {'revision': 2, 'id': 'b', 'cells': {WEIGHT: 5}},
    ]
    client = fakenode.client(node)
    history = client.simulate_get('/admin/table/history?limit=1').json
    assert len(history['history']) == 1
    assert history['history'][0]['cells'] == {WEIGHT: {'old': 4, 'new': 5}}
    assert history['history'][0]['at'] == '2023-11-14T22:13:20+00:00'
