"""Tests of the porcelain against the admin routes of a fake node."""

import pytest

from magnoliadyke import adminclient
from magnoliadyke import errors
from magnoliadyke import porcelain
from magnoliadyke import tablemessages
from tests import adminserver
from tests import fakenode

WEIGHT = 'customers/portal/weight'
LEASE = 'customers/lease/weight'


@pytest.fixture
def node():
    made = fakenode.make()
    show(made, 12, {LEASE: 8, WEIGHT: 2})
    answer(made, tablemessages.Accepted(13, 0.5))
    return made


@pytest.fixture
def client(node):
    with adminserver.serve(node) as address:
        yield adminserver.client(address)


def show(node, revision, cells):
    states = {
        cell: tablemessages.CellState(value, False, None)
        for cell, value in cells.items()
    }
    node.configuration.answers[tablemessages.ShowTable] = (
        tablemessages.TableShown(revision, revision, states, {})
    )


def answer(node, result):
    node.configuration.answers[tablemessages.EditCells] = result


def edits_of(node):
    return [
        message
        for message in node.configuration.asked
        if isinstance(message, tablemessages.EditCells)
    ]


def test_set_carries_the_edit(node, client):
    result = porcelain.table_set(client, {WEIGHT: 3}, 'aigul', 12)
    assert result.state == 'in_force'
    (edit,) = edits_of(node)
    assert edit.edits == {WEIGHT: 3}
    assert edit.author == 'aigul'


def test_unset_sends_null(node, client):
    porcelain.table_unset(client, [WEIGHT])
    assert edits_of(node)[0].edits == {WEIGHT: None}


def test_get_gives_the_default_of_an_unset_cell(client):
    assert porcelain.table_get(client, LEASE) == 8
    assert porcelain.table_get(client, 'customers/lease/priority') == 5


@pytest.mark.parametrize(
    'cell', ['weight', 'customers/lease/wait', 'customers/nobody/weight']
)
def test_get_of_no_cell_names_the_remedy(client, cell):
    with pytest.raises(errors.UsageError) as caught:
        porcelain.table_get(client, cell)
    assert caught.value.remedy


def test_conflict_shows_both_values(node, client):
    answer(node, tablemessages.Conflict({WEIGHT: (5, 3)}, 14, ('bolat',)))
    with pytest.raises(adminclient.EditConflict) as caught:
        porcelain.table_set(client, {WEIGHT: 3})
    (conflict,) = caught.value.conflicts
    assert (conflict['their_value'], conflict['your_value']) == (5, 3)


def test_import_leaves_the_changes_of_others(node, client, tmp_path):
    # One operator exports the sheet and edits a weight in a spreadsheet.
    # Meanwhile another changes a second weight.  The import must not bring
    # the second weight back to what the file still says.
    path = tmp_path / 'customers.csv'
    text = porcelain.table_export(client, 'customers')
    path.write_text(text.replace('portal,2', 'portal,3'))
    show(node, 13, {LEASE: 9, WEIGHT: 2})
    node.configuration.answers[tablemessages.History] = [
        change(12, {LEASE: 8}),
        change(13, {LEASE: 9}),
    ]
    porcelain.table_import(client, str(path))
    (edit,) = edits_of(node)
    assert edit.edits == {WEIGHT: 3}
    assert edit.base_revision == 12


def change(revision, cells):
    return {
        'revision': revision,
        'id': f'e{revision}',
        'operator': 'bolat',
        'at_s': 0.0,
        'cells': cells,
    }


def test_import_without_changes_asks_nothing(node, client, tmp_path):
    path = tmp_path / 'customers.csv'
    path.write_text(porcelain.table_export(client, 'customers'))
    assert porcelain.table_import(client, str(path)).state == 'unchanged'
    assert edits_of(node) == []


def test_drain_is_an_edit_of_the_state(node, client):
    porcelain.drain(client, 'endpoint', 'lease-model-2')
    porcelain.drain(client, 'endpoint', 'lease-model-2', undo=True)
    cell = 'endpoints/lease-model-2/state'
    assert [edit.edits for edit in edits_of(node)] == [
        {cell: 'drain'},
        {cell: None},
    ]


def test_next_host_is_asked_when_one_is_down(node, client):
    down = adminclient.AdminAddress('entry-9', '127.0.0.1', 1)
    both = adminclient.AdminClient((down, *client.addresses), fakenode.TOKEN)
    assert porcelain.status(both)['host'] == fakenode.HOST
    with pytest.raises(errors.HostUnreachable, match='entry-9'):
        porcelain.status(adminclient.AdminClient([down], ''))


def test_wrong_token_is_refused(client):
    client.token = 'wrong'
    with pytest.raises(errors.AdminRefused) as caught:
        porcelain.status(client)
    assert caught.value.status == 401


def test_deployment_must_be_named():
    with pytest.raises(errors.UsageError, match='MAGNOLIADYKE_SETTINGS'):
        porcelain.admin_client()


def test_token_comes_from_a_file(tmp_path):
    path = tmp_path / 'token'
    path.write_text('secret\n')
    environ = {'MAGNOLIADYKE_TOKEN_FILE': str(path)}
    assert porcelain.read_token(environ) == 'secret'
    assert porcelain.read_token({'MAGNOLIADYKE_TOKEN': 'x'}) == 'x'
