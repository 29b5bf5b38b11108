"""The operators' table: cells, edits and the document kept in the store.

The document is one value in the key-value service.  An edit is first
*staged*: visible, but neither in force nor promised.  It becomes *accepted*
by a second compare-and-swap, once :mod:`magnoliadyke.core.freshness` says
that every node that takes work knows of it.  Staged edits are accepted in
the order of their revisions and are never withdrawn; who regrets one stages
another.  All functions are pure: they answer a new document.
"""

import dataclasses
import json
import operator
from collections.abc import Iterable, Mapping, Sequence
from typing import Any, NamedTuple, TypedDict

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
HISTORY_LENGTH = 100
HISTORY_BYTES = 100_000
EDIT_IDS_KEPT = 512
#: The store holds a megabyte; the rest is for its own envelope.
DOCUMENT_BYTES = 900_000
NAME_LENGTH = 64

Cell = Any
Cells = Mapping[str, Cell]


class Column(NamedTuple):
    """One column of a sheet.

    :param kind: 'count', 'number', 'share', 'choice' or 'keys'.
    :param low: least value, for numbers.
    :param high: greatest value, for numbers.
    """

    sheet: str
    name: str
    kind: str
    unit: str
    default: Cell
    low: float
    high: float
    choices: tuple[str, ...]
    effect: str


class CustomerRow(NamedTuple):
    """Weights, limits and objectives of a customer."""

    weight: float = 1
    concurrency: int = 1000
    requests_s: float = 0
    tokens_s: float = 0
    queue_limit: int = 1000
    queue_wait_s: float = 20
    priority: int = 5
    first_token_s: float = 2.0
    per_token_s: float = 0.07
    met_share: float = 0.95
    retry_share: float = 0.1
    keys: tuple[str, ...] = ()


class PoolRow(NamedTuple):
    """How the roles of a pool are planned."""

    role_change_price: float = 500
    min_prefill: int = 1
    min_decode: int = 1
    planning: str = 'auto'
    dwell_s: float = 10


class EndpointRow(NamedTuple):
    """Whether an endpoint receives work."""

    state: str = 'in'


class HostRow(NamedTuple):
    """Whether a host takes work."""

    state: str = 'in'


ROW_TYPES = {
    'customers': CustomerRow,
    'pools': PoolRow,
    'endpoints': EndpointRow,
    'hosts': HostRow,
}
SHEETS = tuple(ROW_TYPES)


def _number(
    sheet: str,
    name: str,
    kind: str,
    unit: str,
    low: float,
    high: float,
    effect: str,
) -> Column:
    default = ROW_TYPES[sheet]._field_defaults[name]
    return Column(sheet, name, kind, unit, default, low, high, (), effect)


def _choice(
    sheet: str, name: str, choices: tuple[str, ...], effect: str
) -> Column:
    default = ROW_TYPES[sheet]._field_defaults[name]
    return Column(sheet, name, 'choice', '', default, 0, 0, choices, effect)


SCHEMA = [
    _number(
        'customers',
        'weight',
        'number',
        'share',
        0.001,
        1e6,
        'Share of engine time among customers that have work waiting.',
    ),
    _number(
        'customers',
        'concurrency',
        'count',
        'requests',
        1,
        1e6,
        'Most requests of the customer at work at once, fleet-wide.',
    ),
    _number(
        'customers',
        'requests_s',
        'number',
        'requests/s',
        0,
        1e6,
        'Rate limit on requests, fleet-wide; 0 is no limit.',
    ),
    _number(
        'customers',
        'tokens_s',
        'number',
        'tokens/s',
        0,
        1e9,
        'Rate limit on prompt and output tokens, fleet-wide; 0 is no limit.',
    ),
    _number(
        'customers',
        'queue_limit',
        'count',
        'requests',
        0,
        1e6,
        'Most requests that wait in the queue of one node.',
    ),
    _number(
        'customers',
        'queue_wait_s',
        'number',
        's',
        0.05,
        3600,
        'Longest wait in the queue; then the request is refused unrun.',
    ),
    _number(
        'customers',
        'priority',
        'count',
        '0 urgent .. 9',
        0,
        9,
        'Priority of a request that names none.',
    ),
    _number(
        'customers',
        'first_token_s',
        'number',
        's',
        0.01,
        600,
        'Objective for the time to the first token.',
    ),
    _number(
        'customers',
        'per_token_s',
        'number',
        's',
        0.001,
        60,
        'Objective for the mean time between tokens.',
    ),
    _number(
        'customers',
        'met_share',
        'share',
        'of requests',
        0.5,
        0.9999,
        'Share of requests that is to meet both objectives.',
    ),
    _number(
        'customers',
        'retry_share',
        'share',
        'of requests',
        0,
        1,
        'Second attempts allowed, as a share of first ones.',
    ),
    Column(
        'customers',
        'keys',
        'keys',
        'sha256:HEX',
        (),
        0,
        0,
        (),
        'Digests of the bearer keys of the customer.',
    ),
    _number(
        'pools',
        'role_change_price',
        'number',
        'tokens',
        0,
        1e9,
        'What a role change must gain beyond the time it takes.',
    ),
    _number(
        'pools',
        'min_prefill',
        'count',
        'endpoints',
        0,
        1e5,
        'Endpoints that stay in the prefill role.',
    ),
    _number(
        'pools',
        'min_decode',
        'count',
        'endpoints',
        0,
        1e5,
        'Endpoints that stay in the decode role.',
    ),
    _choice(
        'pools',
        'planning',
        ('auto', 'fixed'),
        "Whether roles follow the load; 'fixed' leaves them as they are.",
    ),
    _number(
        'pools',
        'dwell_s',
        'number',
        's',
        0,
        86400,
        'Least time between two role changes of an endpoint.',
    ),
    _choice(
        'endpoints',
        'state',
        ('in', 'drain', 'withdrawn'),
        "'drain' gives no new work; 'withdrawn' also forgets the endpoint.",
    ),
    _choice(
        'hosts',
        'state',
        ('in', 'drain'),
        "'drain' sends callers elsewhere and finishes what runs.",
    ),
]
_COLUMNS = {(column.sheet, column.name): column for column in SCHEMA}


class View(NamedTuple):
    """The table as the rest of the node reads it.

    A customer without a row is unknown; other rows fall back to defaults.
    """

    revision: int
    customers: Mapping[str, CustomerRow]
    pools: Mapping[str, PoolRow]
    endpoints: Mapping[str, EndpointRow]
    hosts: Mapping[str, HostRow]

    def pool(self, name: str) -> PoolRow:
        return self.pools.get(name, PoolRow())

    def endpoint(self, name: str) -> EndpointRow:
        return self.endpoints.get(name, EndpointRow())

    def host(self, name: str) -> HostRow:
        return self.hosts.get(name, HostRow())


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


class Inventory(NamedTuple):
    """Names that the settings know, for the checks across rows.

    :param pools: endpoint names of each pool of model engines.
    :param endpoints: names of all endpoints.
    :param hosts: names of all hosts.
    """

    pools: Mapping[str, tuple[str, ...]]
    endpoints: frozenset[str]
    hosts: frozenset[str]


class Problem(NamedTuple):
    """What is wrong with a cell, and what to do about it."""

    cell: str
    value: Cell
    reason: str
    remedy: str

    def __str__(self) -> str:
        return f'{self.cell}={self.value!r}: {self.reason}; {self.remedy}'


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
    floor: int = 0,
) -> Staged | Conflict | Invalid | AlreadyApplied:
    """Add an edit to the staged ones.

    :param floor: the least revision to give: the newest one heard of from
        any peer, plus one, or the wall clock in milliseconds.  A store that
        was restored to an older copy would else give a number twice.
    """
    known = edit_revision(document, edit.id)
    if known is not None:
        return known
    problems = _cell_problems(edit.cells)
    if problems:
        return Invalid(tuple(problems))
    conflict = _conflict(document, edit)
    if conflict is not None:
        return conflict
    cells = _apply(cells_with_staged(document), edit.cells)
    problems = _row_problems(cells, inventory)
    if problems:
        return Invalid(tuple(problems))
    revision = max(staged_revision(document) + 1, floor)
    change = _change(edit, revision)
    after: Document = {**document, 'staged': [*document['staged'], change]}
    size = len(dump(after))
    if size > DOCUMENT_BYTES:
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
        'applied': _youngest(applied),
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
    cells = document['cells']
    revision = document['revision']
    if with_staged:
        cells = cells_with_staged(document)
        revision = staged_revision(document)
    rows: dict[str, dict[str, dict[str, Cell]]] = {s: {} for s in SHEETS}
    for cell, value in cells.items():
        if column_of(cell) is not None:
            sheet, row, column = cell.split('/')
            rows[sheet].setdefault(row, {})[column] = _frozen(value)
    made = {
        sheet: {name: ROW_TYPES[sheet](**row) for name, row in named.items()}
        for sheet, named in rows.items()
    }
    return View(revision, **made)


def column_of(cell: str) -> Column | None:
    """The column of a cell, None when there is none."""
    parts = cell.split('/')
    if len(parts) != 3:
        return None
    return _COLUMNS.get((parts[0], parts[2]))


def problems_of(
    cells: Cells, inventory: Inventory | None = None
) -> list[Problem]:
    """All that is wrong with the cells of a whole table."""
    return _cell_problems(cells) or _row_problems(cells, inventory)


def parse_cell(cell: str, text: str) -> Cell | Problem:
    """The value that a text stands for; an empty text is the default."""
    column = column_of(cell)
    if column is None:
        return _unknown(cell, text)
    text = text.strip()
    if not text:
        return None
    if column.kind == 'keys':
        return text.split()
    if column.kind == 'choice':
        return text
    try:
        number = float(text)
    except ValueError:
        return _out_of_range(cell, text, column)
    return int(number) if number.is_integer() else number


def cell_text(value: Cell) -> str:
    """The text of a cell, as :func:`parse_cell` reads it."""
    if value is None:
        return ''
    if isinstance(value, list | tuple):
        return ' '.join(value)
    return str(value)


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
    for change in reversed(history[-HISTORY_LENGTH:]):
        size += len(json.dumps(change))
        if size > HISTORY_BYTES:
            break
        kept.append(change)
    return kept[::-1]


def _youngest(applied: Mapping[str, int]) -> dict[str, int]:
    by_age = sorted(applied.items(), key=operator.itemgetter(1))
    return dict(by_age[-EDIT_IDS_KEPT:])


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


def _frozen(value: Cell) -> Cell:
    return tuple(value) if isinstance(value, list) else value


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


def _cell_problems(cells: Cells) -> list[Problem]:
    found = (_cell_problem(cell, value) for cell, value in cells.items())
    return [problem for problem in found if problem is not None]


def _cell_problem(cell: str, value: Cell) -> Problem | None:
    column = column_of(cell)
    if column is None:
        return _unknown(cell, value)
    name = cell.split('/')[1]
    if not 0 < len(name) <= NAME_LENGTH or not name.isprintable():
        return Problem(
            cell,
            value,
            'the name of the row is empty, too long or unprintable',
            f'use 1 to {NAME_LENGTH} printable characters without a slash',
        )
    if value is None or _fits(column, value):
        return None
    return _out_of_range(cell, value, column)


def _fits(column: Column, value: Cell) -> bool:
    if column.kind == 'choice':
        return value in column.choices
    if column.kind == 'keys':
        return isinstance(value, list | tuple) and all(map(_is_key, value))
    if isinstance(value, bool) or not isinstance(value, int | float):
        return False
    if column.kind == 'count' and not float(value).is_integer():
        return False
    return column.low <= value <= column.high


def _is_key(value: Cell) -> bool:
    if not isinstance(value, str) or not value.startswith('sha256:'):
        return False
    digits = value.removeprefix('sha256:')
    return len(digits) == 64 and set(digits) <= set('0123456789abcdef')


def _unknown(cell: str, value: Cell) -> Problem:
    known = ', '.join(f'{c.sheet}/ROW/{c.name}' for c in SCHEMA)
    return Problem(cell, value, 'no such cell', f'use one of {known}')


def _out_of_range(cell: str, value: Cell, column: Column) -> Problem:
    if column.kind == 'choice':
        remedy = 'use one of ' + ', '.join(column.choices)
    elif column.kind == 'keys':
        remedy = 'use a list of sha256: with 64 lower-case hex digits'
    else:
        whole = 'a whole number' if column.kind == 'count' else 'a number'
        remedy = f'use {whole} from {column.low:g} to {column.high:g}'
        remedy += f' ({column.unit})'
    return Problem(cell, value, f'not a valid {column.name}', remedy)


def _too_large(edit: Edit, size: int) -> Problem:
    return Problem(
        next(iter(edit.cells), ''),
        size,
        f'the table would take {size} of {DOCUMENT_BYTES} bytes',
        'remove rows that are no longer used, then send the edit again',
    )


def _row_problems(cells: Cells, inventory: Inventory | None) -> list[Problem]:
    problems = _shared_keys(cells)
    if inventory is not None:
        problems += _unknown_rows(cells, inventory)
        problems += _starved_pools(cells, inventory)
        problems += _all_drained(cells, inventory)
    return problems


def _shared_keys(cells: Cells) -> list[Problem]:
    owners: dict[str, str] = {}
    problems = []
    for cell, value in sorted(cells.items()):
        if not cell.startswith('customers/') or not cell.endswith('/keys'):
            continue
        for key in value:
            owner = owners.setdefault(key, cell)
            if owner != cell:
                remedy = 'give each customer keys of its own'
                reason = f'the key also stands in {owner}'
                problems.append(Problem(cell, key, reason, remedy))
    return problems


def _unknown_rows(cells: Cells, inventory: Inventory) -> list[Problem]:
    known = {
        'pools': set(inventory.pools),
        'endpoints': inventory.endpoints,
        'hosts': inventory.hosts,
    }
    problems = []
    for cell, value in cells.items():
        sheet, row, _ = cell.split('/')
        if sheet in known and row not in known[sheet]:
            names = ', '.join(sorted(known[sheet]))
            reason = f'the settings name no {row!r} among the {sheet}'
            problems.append(Problem(cell, value, reason, f'use {names}'))
    return problems


def _starved_pools(cells: Cells, inventory: Inventory) -> list[Problem]:
    rows = view({**empty(), 'cells': dict(cells)})
    problems = []
    for pool, endpoints in inventory.pools.items():
        row = rows.pool(pool)
        least = row.min_prefill + row.min_decode
        working = [e for e in endpoints if rows.endpoint(e).state == 'in']
        if len(working) >= least or not _touches(cells, pool, endpoints):
            continue
        reason = f'{len(working)} endpoints are in, {least} are the least'
        remedy = 'lower min_prefill or min_decode, or take endpoints in'
        cell = f'pools/{pool}/min_decode'
        problems.append(Problem(cell, row.min_decode, reason, remedy))
    return problems


def _touches(cells: Cells, pool: str, endpoints: Iterable[str]) -> bool:
    rows = {f'pools/{pool}', *(f'endpoints/{e}' for e in endpoints)}
    return any(cell.rpartition('/')[0] in rows for cell in cells)


def _all_drained(cells: Cells, inventory: Inventory) -> list[Problem]:
    drained = {
        cell.split('/')[1]
        for cell, value in cells.items()
        if cell.startswith('hosts/') and value == 'drain'
    }
    if not inventory.hosts or inventory.hosts - drained:
        return []
    cell = f'hosts/{min(drained)}/state'
    remedy = "leave one host 'in'"
    return [Problem(cell, 'drain', 'no host would take work', remedy)]
