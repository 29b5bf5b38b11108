"""The operators' table: cells, edits and the document kept in the store.

The document is one value in the key-value service.  An edit is first
*staged*: visible, but neither in force nor promised.  It becomes *accepted*
by a second compare-and-swap, once :mod:`magnoliadyke.core.freshness` says
that every node that takes work knows of it.  Staged edits are accepted in
the order of their revisions and are never withdrawn; who regrets one stages
another.  All functions are pure: they answer a new document.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import json
import operator
from typing import NamedTuple
from typing import TypedDict

from magnoliadyke.core import schema
from magnoliadyke.core import tablerules

__all__ = [
    'SCHEMA',
    'SHEETS',
    'AlreadyApplied',
    'Change',
    'Column',
    'Conflict',
    'CustomerRow',
    'Document',
    'Edit',
    'EndpointRow',
    'HostRow',
    'Invalid',
    'Inventory',
    'PoolRow',
    'Problem',
    'Staged',
    'View',
    'accept',
    'cell_text',
    'cells_with_staged',
    'changes_from_rows',
    'column_of',
    'dump',
    'edit_revision',
    'empty',
    'newest',
    'parse',
    'parse_cell',
    'problems_of',
    'rows_of',
    'stage',
    'staged_revision',
    'view',
]

FORMAT = 1
MAX_HISTORY_CHANGES = 100
MAX_HISTORY_BYTES = 100_000
MAX_EDIT_IDS = 512
#: The store holds a megabyte; the rest is for its own envelope.
MAX_DOCUMENT_BYTES = 900_000

# The rest of the node knows the table by this module.
SCHEMA = schema.SCHEMA
SHEETS = schema.SHEETS
ROW_TYPES = schema.ROW_TYPES
Cell = schema.Cell
Cells = schema.Cells
Column = schema.Column
CustomerRow = schema.CustomerRow
EndpointRow = schema.EndpointRow
HostRow = schema.HostRow
Inventory = tablerules.Inventory
PoolRow = schema.PoolRow
Problem = schema.Problem
View = schema.View
cell_text = schema.cell_text
column_of = schema.column_of
parse_cell = schema.parse_cell


class Change(TypedDict):
    """An edit as the document keeps it."""

    revision: int
    id: str
    operator: str
    at_s: float
    cells: dict[str, Cell]
    override: str


class Document(TypedDict):
    """The value in the store.

    ``changed`` holds, for every cell ever set, the revision of its last
    change, so that an edit made from an older base is found out even when
    the history no longer reaches back to it.
    """

    format: int
    revision: int
    cells: dict[str, Cell]
    changed: dict[str, int]
    staged: list[Change]
    applied: dict[str, int]
    history: list[Change]


class Edit(NamedTuple):
    """Cells that an operator wants changed together.

    :param id: made by whoever edits; the same id is the same edit.
    :param base_revision: the newest revision, staged or accepted, that
        the operator had seen.
    :param cells: new value of each cell; None takes the cell back to its
        default.
    :param at_s: wall-clock time, for the history only.
    """

    id: str
    operator: str
    base_revision: int
    cells: Mapping[str, Cell]
    at_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class Staged:
    """The edit fits; ``document`` is to be written."""

    document: Document
    revision: int


@dataclasses.dataclass(frozen=True)
class Conflict:
    """Someone else changed a cell since the operator looked.

    :param cells: for each such cell (value now, value wanted).
    """

    cells: Mapping[str, tuple[Cell, Cell]]
    revision: int
    operators: tuple[str, ...]
    remedy: str = 'look at both values, then send the edit again'


@dataclasses.dataclass(frozen=True)
class Invalid:
    """The edit breaks a rule; nothing of it is applied."""

    problems: tuple[Problem, ...]


@dataclasses.dataclass(frozen=True)
class AlreadyApplied:
    """An earlier try with the same edit id took effect."""

    revision: int
    accepted: bool


def empty() -> Document:
    """The document of a deployment that has no table yet."""
    return {
        'format': FORMAT,
        'revision': 0,
        'cells': {},
        'changed': {},
        'staged': [],
        'applied': {},
        'history': [],
    }


def parse(text: str) -> Document:
    """Read a document; unknown fields are kept for a newer release.

    :raises ValueError: when the text is not a table.
    """
    document = json.loads(text)
    if not isinstance(document, dict) or 'cells' not in document:
        raise ValueError('not a table; restore the value of the table key')
    return {**empty(), **document}


def dump(document: Document) -> str:
    """Write a document as the store keeps it."""
    return json.dumps(document, separators=(',', ':'), sort_keys=True)


def staged_revision(document: Document) -> int:
    """The newest revision in the document, accepted or not."""
    if document['staged']:
        return document['staged'][-1]['revision']
    return document['revision']


def newest(one: Document, other: Document) -> Document:
    """The document to keep; a lower revision never replaces a higher one."""
    if _rank(other) > _rank(one):
        return other
    return one


def _rank(document: Document) -> tuple[int, int]:
    return (document['revision'], staged_revision(document))


def edit_revision(document: Document, edit_id: str) -> AlreadyApplied | None:
    """What became of an edit; this settles a write whose reply was lost."""
    if edit_id in document['applied']:
        return AlreadyApplied(document['applied'][edit_id], True)
    for change in document['staged']:
        if change['id'] == edit_id:
            return AlreadyApplied(change['revision'], False)
    return None


def stage(
    document: Document,
    edit: Edit,
    inventory: Inventory | None = None,
    min_revision: int = 0,
) -> Staged | Conflict | Invalid | AlreadyApplied:
    """Add an edit to the staged ones.

    :param floor: the least revision to give: the newest one heard of from
        any peer, plus one, or the wall clock in milliseconds.  A store that
        was restored to an older copy would else give a number twice.
    """
    known = edit_revision(document, edit.id)
    if known is not None:
        return known
    problems = schema.cell_problems(edit.cells)
    if problems:
        return Invalid(tuple(problems))
    conflict = _conflict(document, edit)
    if conflict is not None:
        return conflict
    cells = _apply(cells_with_staged(document), edit.cells)
    problems = tablerules.problems(cells, inventory)
    if problems:
        return Invalid(tuple(problems))
    revision = max(staged_revision(document) + 1, min_revision)
    change = _change(edit, revision)
    after: Document = {**document, 'staged': [*document['staged'], change]}
    size = len(dump(after))
    if size > MAX_DOCUMENT_BYTES:
        return Invalid((_too_large(edit, size),))
    return Staged(after, revision)


def accept(document: Document, revision: int, override: str = '') -> Document:
    """Put the staged edits up to a revision in force.

    :param override: the operator who accepts although hosts are missing.
    """
    ready = [c for c in document['staged'] if c['revision'] <= revision]
    if not ready:
        return document
    if override:
        ready = [{**change, 'override': override} for change in ready]
    cells = dict(document['cells'])
    changed = dict(document['changed'])
    applied = dict(document['applied'])
    for change in ready:
        cells = _apply(cells, change['cells'])
        changed.update(dict.fromkeys(change['cells'], change['revision']))
        applied[change['id']] = change['revision']
    return {
        **document,
        'revision': ready[-1]['revision'],
        'cells': cells,
        'changed': changed,
        'applied': _newest_edit_ids(applied),
        'staged': document['staged'][len(ready) :],
        'history': _trimmed([*document['history'], *ready]),
    }


def cells_with_staged(document: Document) -> dict[str, Cell]:
    """The cells as they will be once all staged edits are accepted."""
    cells = dict(document['cells'])
    for change in document['staged']:
        cells = _apply(cells, change['cells'])
    return cells


def view(document: Document, with_staged: bool = False) -> View:
    """The rows in force.

    :param with_staged: treat the staged edits as accepted.
    """
    if with_staged:
        cells = cells_with_staged(document)
        return schema.view_of(cells, staged_revision(document))
    return schema.view_of(document['cells'], document['revision'])


def problems_of(
    cells: Cells, inventory: Inventory | None = None
) -> list[Problem]:
    """All that is wrong with the cells of a whole table."""
    return schema.cell_problems(cells) or tablerules.problems(cells, inventory)


def rows_of(cells: Cells, sheet: str) -> list[list[str]]:
    """A sheet as lines of texts, headed by the names of the columns."""
    columns = [c.name for c in SCHEMA if c.sheet == sheet]
    rows = {c.split('/')[1] for c in cells if c.startswith(f'{sheet}/')}
    lines = [[sheet, *columns]]
    for name in sorted(rows):
        values = [cells.get(f'{sheet}/{name}/{c}') for c in columns]
        lines.append([name, *map(cell_text, values)])
    return lines


def changes_from_rows(
    cells: Cells, lines: Sequence[Sequence[str]]
) -> dict[str, Cell] | Invalid:
    """The changes that turn a sheet into the lines given.

    A row that is missing from the lines is removed; a column that is
    missing is left alone.
    """
    sheet, *columns = lines[0]
    wanted: dict[str, Cell] = {}
    for line in lines[1:]:
        for column, text in zip(columns, line[1:], strict=False):
            cell = f'{sheet}/{line[0]}/{column}'
            wanted[cell] = parse_cell(cell, text)
    problems = [v for v in wanted.values() if isinstance(v, Problem)]
    if problems:
        return Invalid(tuple(problems))
    listed = {line[0] for line in lines[1:]}
    for cell in cells:
        name, row, _ = cell.split('/')
        if name == sheet and row not in listed:
            wanted[cell] = None
    return {
        cell: value
        for cell, value in wanted.items()
        if cells.get(cell) != value
    }


def _trimmed(history: list[Change]) -> list[Change]:
    kept: list[Change] = []
    size = 0
    for change in reversed(history[-MAX_HISTORY_CHANGES:]):
        size += len(json.dumps(change))
        if size > MAX_HISTORY_BYTES:
            break
        kept.append(change)
    return kept[::-1]


def _newest_edit_ids(applied: Mapping[str, int]) -> dict[str, int]:
    by_age = sorted(applied.items(), key=operator.itemgetter(1))
    return dict(by_age[-MAX_EDIT_IDS:])


def _change(edit: Edit, revision: int) -> Change:
    return {
        'revision': revision,
        'id': edit.id,
        'operator': edit.operator,
        'at_s': edit.at_s,
        'cells': dict(edit.cells),
        'override': '',
    }


def _apply(cells: Cells, changes: Cells) -> dict[str, Cell]:
    after = dict(cells)
    for cell, value in changes.items():
        if value is None:
            after.pop(cell, None)
        else:
            after[cell] = value
    return after


def _conflict(document: Document, edit: Edit) -> Conflict | None:
    changed = dict(document['changed'])
    for change in document['staged']:
        changed.update(dict.fromkeys(change['cells'], change['revision']))
    now = cells_with_staged(document)
    clashes = {
        cell: (now.get(cell), value)
        for cell, value in edit.cells.items()
        if changed.get(cell, 0) > edit.base_revision and now.get(cell) != value
    }
    if not clashes:
        return None
    return Conflict(
        clashes, staged_revision(document), _editors(document, clashes)
    )


def _editors(document: Document, cells: Iterable[str]) -> tuple[str, ...]:
    changes = [*document['history'], *document['staged']]
    wanted = set(cells)
    found = [c['operator'] for c in changes if wanted & set(c['cells'])]
    return tuple(dict.fromkeys(found))


def _too_large(edit: Edit, size: int) -> Problem:
    return Problem(
        next(iter(edit.cells), ''),
        size,
        f'the table would take {size} of {MAX_DOCUMENT_BYTES} bytes',
        'remove rows that are no longer used, then send the edit again',
    )
