"""Tests for the operators' table."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from magnoliadyke.core import table

KEY = 'sha256:' + 'a' * 64
INVENTORY = table.ConfiguredNames(
    {'lease-model': ('e1', 'e2', 'e3')},
    frozenset({'e1', 'e2', 'e3', 's1'}),
    frozenset({'h1', 'h2'}),
)


def edited(document, cells, edit_id='e', base=None, operator='op', floor=0):
    if base is None:
        base = table.staged_revision(document)
    edit = table.Edit(edit_id, operator, base, cells)
    return table.stage(document, edit, INVENTORY, floor)


def accepted(document, cells, edit_id='e'):
    outcome = edited(document, cells, edit_id)
    return table.accept(outcome.document, outcome.revision)


def test_staged_edit_is_not_in_force_before_acceptance():
    outcome = edited(table.empty(), {'customers/lease/weight': 5})
    assert not table.view(outcome.document).customers
    assert table.view(outcome.document, True).customers['lease'].weight == 5
    document = table.accept(outcome.document, outcome.revision)
    assert table.view(document).customers['lease'].weight == 5
    assert document['history'][-1]['operator'] == 'op'


def test_acceptance_keeps_later_edits_staged():
    first = edited(table.empty(), {'customers/lease/weight': 5}, 'a')
    second = edited(first.document, {'customers/portal/weight': 2}, 'b')
    document = table.accept(second.document, first.revision)
    assert set(table.view(document).customers) == {'lease'}
    assert table.staged_revision(document) == second.revision


def test_dump_round_trip_keeps_unknown_fields():
    document = accepted(table.empty(), {'customers/lease/keys': [KEY]})
    document = {**document, 'from_a_newer_release': 1}
    again = table.parse(table.dump(document))
    assert again == document
    assert table.view(again).customers['lease'].keys == (KEY,)
    with pytest.raises(ValueError, match='restore'):
        table.parse('[]')


def test_bad_cell_spoils_the_whole_edit():
    cells = {'customers/lease/weight': 5, 'customers/lease/priority': 77}
    assert isinstance(edited(table.empty(), cells), table.Invalid)


def test_full_table_is_refused():
    cells = {
        f'customers/{"c" * 40}{n}/queue_wait_s': 20.125 for n in range(12000)
    }
    outcome = edited(table.empty(), cells)
    assert 'remove rows' in str(outcome.problems[0])


def test_same_cell_from_older_base_conflicts():
    """The second operator sees both values and whose the other one is.

    Two operators open the table and change the same weight; the first
    edit is already accepted when the second arrives with its old base.
    """
    document = accepted(table.empty(), {'customers/lease/weight': 5}, 'a')
    cells = {'customers/lease/weight': 9}
    outcome = edited(document, cells, 'b', base=0, operator='other')
    assert outcome == table.Conflict(
        {'customers/lease/weight': (5, 9)}, 1, ('op',)
    )
    same = edited(document, {'customers/lease/weight': 5}, 'c', base=0)
    assert isinstance(same, table.Staged)


def test_restored_store_gives_no_revision_twice():
    """An edit after the restore must not look like the one it replaces.

    The store comes back with an older copy; the next edit would get the
    revision of one that nodes still hold.  The floor lifts it above.
    """
    old = accepted(table.empty(), {'customers/lease/weight': 5}, 'a')
    new = accepted(old, {'customers/lease/weight': 6}, 'b')
    again = edited(old, {'customers/lease/weight': 7}, 'c', floor=10)
    assert again.revision == 10
    assert table.newest(old, new) is new
    assert table.newest(new, old) is new


def test_rows_as_texts_and_back():
    document = accepted(
        table.empty(),
        {
            'customers/lease/weight': 5,
            'customers/lease/keys': [KEY],
            'customers/portal/weight': 0.5,
        },
    )
    lines = table.rows_of(document['cells'], 'customers')
    assert table.changes_from_rows(document['cells'], lines) == {}
    lines[1][1] = '7.5'
    del lines[2]
    assert table.changes_from_rows(document['cells'], lines) == {
        'customers/lease/weight': 7.5,
        'customers/portal/weight': None,
    }
    lines[1][1] = 'heavy'
    problems = table.changes_from_rows(document['cells'], lines).problems
    assert 'customers/lease/weight' in str(problems[0])


def test_history_is_bounded():
    document = table.empty()
    for number in range(table.MAX_HISTORY_CHANGES + 5):
        cells = {'customers/lease/weight': number + 1}
        document = accepted(document, cells, f'e{number}')
    assert len(document['history']) == table.MAX_HISTORY_CHANGES
    cells = {f'customers/{"c" * 60}{n}/weight': 2 for n in range(2000)}
    document = accepted(document, cells, 'large')
    assert len(table.dump({**document, 'cells': {}, 'changed': {}})) < 110_000


class Editors(stateful.RuleBasedStateMachine):
    """Operators edit at once; replies get lost and edits are sent again.

    No accepted value may vanish unless a later edit, whose operator had
    seen it, replaced it; and no edit may take effect twice.
    """

    def __init__(self):
        super().__init__()
        self.stored = table.empty()
        self.seen = dict.fromkeys(range(3), self.stored)
        self.unsettled = []
        self.done = {}

    @stateful.rule(
        operator=strategies.integers(0, 2),
        row=strategies.sampled_from(['lease', 'portal']),
        value=strategies.integers(1, 9),
        lost=strategies.booleans(),
    )
    def edit(self, operator, row, value, lost):
        seen = self.seen[operator]
        cells = {f'customers/{row}/weight': value}
        base = table.staged_revision(seen)
        edit = table.Edit(f'id{len(self.done)}', str(operator), base, cells)
        outcome = table.stage(self.stored, edit, INVENTORY)
        self.done[edit.id] = edit
        if isinstance(outcome, table.Conflict):
            assert outcome.cells.keys() == cells.keys()
            assert table.staged_revision(self.stored) > base
            return
        assert table.staged_revision(outcome.document) == outcome.revision
        self.stored = outcome.document
        if lost:
            self.unsettled.append(edit)

    @stateful.rule(operator=strategies.integers(0, 2))
    def look(self, operator):
        self.seen[operator] = self.stored

    @stateful.precondition(lambda self: self.unsettled)
    @stateful.rule()
    def send_again(self):
        edit = self.unsettled.pop()
        outcome = table.stage(self.stored, edit, INVENTORY)
        assert isinstance(outcome, table.AlreadyApplied)

    @stateful.rule(back=strategies.integers(0, 2))
    def accept(self, back):
        revision = table.staged_revision(self.stored) - back
        before = table.cells_with_staged(self.stored)
        self.stored = table.accept(self.stored, revision)
        assert table.cells_with_staged(self.stored) == before

    @stateful.invariant()
    def every_edit_counts_once(self):
        changes = [*self.stored['history'], *self.stored['staged']]
        revisions = [change['revision'] for change in changes]
        assert revisions == sorted(set(revisions))
        assert len({change['id'] for change in changes}) == len(changes)

    @stateful.invariant()
    def cells_are_the_changes_in_order(self):
        cells = {}
        for change in [*self.stored['history'], *self.stored['staged']]:
            cells.update(change['cells'])
        assert cells == table.cells_with_staged(self.stored)


TestEditors = Editors.TestCase
TestEditors.settings = hypothesis.settings(
    max_examples=40, stateful_step_count=25
)
