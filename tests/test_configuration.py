"""Edits and the spread of the table, with links cut and nodes killed."""

import pytest

from magnoliadyke.core import table
from magnoliadyke import tablemessages
from tests import fleet as fleets

WEIGHT = 'customers/lease/weight'


@pytest.fixture
def fleet(monkeypatch):
    made = fleets.Fleet(monkeypatch)
    made.start()
    made.run_until(lambda: len(made.working()) == 4, 5.0)
    yield made
    made.stop()


def others(fleet, host):
    return [name for name in fleet.names if name != host]


def test_the_first_table_is_written_once(fleet):
    assert fleet.weights() == dict.fromkeys(fleet.names, 4)
    assert fleet.values.revision == 1


def test_an_edit_is_in_force_on_all_nodes_when_it_is_answered(fleet):
    answer, passed_s = fleet.edit('h1', {WEIGHT: 9}, 'e1')
    assert isinstance(answer, tablemessages.Accepted)
    assert answer.laggards == ()
    assert passed_s < 1.0
    assert fleet.weights() == dict.fromkeys(fleet.names, 9)


def test_invalid_edits_and_conflicts_are_typed(fleet):
    answer, _ = fleet.edit('h0', {WEIGHT: 'heavy'}, 'e1')
    assert isinstance(answer, tablemessages.Invalid)
    fleet.edit('h0', {WEIGHT: 9}, 'e2', base=1)
    answer, _ = fleet.edit('h1', {WEIGHT: 7}, 'e3', base=1)
    assert answer.cells == {WEIGHT: (9, 7)}
    assert fleet.weights()['h0'] == 9


def test_operators_at_several_nodes_edit_at_once(fleet):
    columns = ['weight', 'concurrency', 'queue_limit', 'priority']
    asks = [
        tablemessages.EditCells(
            {f'customers/lease/{column}': 3}, None, 'ann', column
        )
        for column in columns
    ]
    for name, ask in zip(fleet.names, asks, strict=True):
        fleet.nodes[name].configuration.post(ask)
    fleet.run_until(lambda: all(a.result.ready() for a in asks), 10.0)
    row = fleet.nodes['h0'].configuration.views.last.customers['lease']
    assert [getattr(row, column) for column in columns] == [3, 3, 3, 3]


def test_a_lost_reply_is_settled_by_reading_back(fleet):
    # The operator would see a conflict with their own edit, or have it
    # applied twice: the store takes the write and its answer is lost. The
    # node reads back, finds the edit id and goes on from there.
    fleet.nodes['h0'].store.lost_replies = 1
    answer, _ = fleet.edit('h0', {WEIGHT: 9}, 'e1')
    assert isinstance(answer, tablemessages.Accepted)
    again, _ = fleet.edit('h0', {WEIGHT: 9}, 'e1')
    assert again.revision == answer.revision
    history = fleet.nodes['h0'].configuration.history()
    assert [change['id'] for change in history] == ['initial', 'e1']


def test_an_edit_waits_until_a_node_that_is_cut_off_has_stopped(fleet):
    # Callers of one node would be served by the old table while the
    # operator was told that the new one is in force: the node reaches
    # neither store nor peers. It stops taking work after the time of the
    # settings, and the edit is accepted only after that.
    fleet.separate(['h3'], [*others(fleet, 'h3'), fleets.STORE])
    ask = tablemessages.EditCells({WEIGHT: 9}, None, 'ann', 'e1')
    fleet.nodes['h0'].configuration.post(ask)
    fleet.run_until(ask.result.ready, 9.0)
    assert 'h3' not in fleet.working()
    assert fleet.weights() == {'h0': 9, 'h1': 9, 'h2': 9, 'h3': 4}
    fleet.cuts.clear()
    fleet.run_until(lambda: fleet.weights()['h3'] == 9, 5.0)
    fleet.run_until(lambda: 'h3' in fleet.working(), 5.0)


def test_half_the_fleet_missing_blocks_an_edit_until_it_is_back(fleet):
    # One half of the fleet would go by another table than the other half
    # for as long as the network is cut. The halves are too large to stop,
    # so the edit stays pending, names the missing and takes effect when
    # they are back.
    fleet.separate(['h0', 'h1'], ['h2', 'h3'])
    fleet.cuts |= {frozenset((name, fleets.STORE)) for name in ('h2', 'h3')}
    answer, _ = fleet.edit('h0', {WEIGHT: 9}, 'e1')
    assert isinstance(answer, tablemessages.Pending)
    assert answer.missing == ('h2', 'h3')
    assert fleet.working() == set(fleet.names)
    assert fleet.weights() == dict.fromkeys(fleet.names, 4)
    fleet.cuts.clear()
    nine = dict.fromkeys(fleet.names, 9)
    fleet.run_until(lambda: fleet.weights() == nine, 12.0)


def test_an_operator_may_override_for_the_rest(fleet):
    fleet.separate(['h0', 'h1'], ['h2', 'h3'])
    fleet.cuts |= {frozenset((name, fleets.STORE)) for name in ('h2', 'h3')}
    fleet.edit('h0', {WEIGHT: 9}, 'e1')
    answer, _ = fleet.edit('h0', {}, 'e1', override=True)
    assert isinstance(answer, tablemessages.Accepted)
    assert fleet.weights()['h1'] == 9
    history = fleet.nodes['h0'].configuration.history()
    assert history[-1]['override'] == 'ann'


def test_another_node_accepts_when_the_one_that_staged_dies(fleet):
    # The operator would see a staged edit hang for ever: the node that took
    # it dies before it accepts it. Any node that sees it acknowledged by
    # all accepts it after a while.
    node = fleet.nodes['h0'].configuration
    edit = table.Edit('e1', 'ann', 1, {WEIGHT: 9})
    staged = node.stage(node.documents.last.document, edit)
    node.writer.write(staged.document, node.documents.last.store_revision)
    fleet.kill('h0')
    nine = dict.fromkeys(others(fleet, 'h0'), 9)
    fleet.run_until(lambda: fleet.weights() == nine, 15.0)


def test_a_node_starts_from_its_peers_while_the_store_is_out(fleet):
    fleet.edit('h0', {WEIGHT: 9}, 'e1')
    fleet.kill('h3')
    fleet.separate(fleet.names, [fleets.STORE])
    fleet.run(6.0)
    assert fleet.working() == {'h0', 'h1', 'h2'}
    fleet.start('h3')
    fleet.run_until(lambda: 'h3' in fleet.working(), 5.0)
    assert fleet.weights()['h3'] == 9


def test_an_edit_in_a_store_outage_is_refused_as_such(fleet):
    fleet.separate(fleet.names, [fleets.STORE])
    answer, _ = fleet.edit('h0', {WEIGHT: 9}, 'e1')
    assert answer == tablemessages.StoreUnavailable(maybe_applied=False)


def test_a_store_restored_to_an_older_copy_reverts_nothing(fleet):
    # An accepted edit would be undone, first on nodes that start later: the
    # platform restores its store from a backup. Nodes keep the newest table
    # they know, one of them writes it back, and numbers go on from there.
    fleet.run(1.0)
    before = dict(fleet.values.items)
    first, _ = fleet.edit('h0', {WEIGHT: 9}, 'e1')
    fleet.values.items = before
    answer, _ = fleet.edit('h1', {'customers/lease/priority': 2}, 'e2')
    assert answer.revision > first.revision
    fleet.run(2.0)
    assert fleet.weights() == dict.fromkeys(fleet.names, 9)
    stored = table.parse(fleet.values.items['table'].value)
    assert stored['cells'][WEIGHT] == 9


def test_cells_show_what_is_pending(fleet):
    fleet.separate(['h0', 'h1'], ['h2', 'h3'])
    fleet.cuts |= {frozenset((name, fleets.STORE)) for name in ('h2', 'h3')}
    answer, _ = fleet.edit('h0', {WEIGHT: 9}, 'e1')
    shown = fleet.nodes['h0'].configuration.show()
    assert shown.cells[WEIGHT] == tablemessages.CellState(4, True, 9)
    assert (shown.revision, shown.staged_revision) == (1, answer.revision)
