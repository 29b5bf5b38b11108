"""Schema of the operators' table: sheets, columns, rows and cells."""

from collections.abc import Mapping
from typing import Any
from typing import NamedTuple

__all__ = [
    'SCHEMA',
    'SHEETS',
    'Cell',
    'Cells',
    'Column',
    'CustomerRow',
    'EndpointRow',
    'HostRow',
    'PoolRow',
    'Problem',
    'View',
    'cell_problems',
    'cell_text',
    'column_of',
    'parse_cell',
    'view_of',
]

MAX_NAME_LENGTH = 64

Cell = Any
Cells = Mapping[str, Cell]


class Column(NamedTuple):
    """One column of a sheet.

    :param kind: 'count', 'number', 'share', 'choice' or 'keys'.
    :param low: minimum value, for numbers.
    :param high: maximum value, for numbers.
    :param choices: allowed values, for kind 'choice'.
    :param effect: description for operators.
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
    """How prefill and decode roles are assigned to a pool's endpoints."""

    role_change_price: float = 500
    min_prefill: int = 1
    min_decode: int = 1
    planning: str = 'auto'
    dwell_s: float = 10


class EndpointRow(NamedTuple):
    """Whether an endpoint receives work."""

    state: str = 'in'


class HostRow(NamedTuple):
    """Whether a host accepts requests."""

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
    """The rows of the table at one revision.

    A customer without a row is unknown; pools, endpoints and hosts without
    a row have the defaults.
    """

    revision: int
    customers: Mapping[str, CustomerRow]
    pools: Mapping[str, PoolRow]
    endpoints: Mapping[str, EndpointRow]
    hosts: Mapping[str, HostRow]

    def pool(self, name: str) -> PoolRow:
        """The row of a pool, or the defaults if it has none."""
        return self.pools.get(name, PoolRow())

    def endpoint(self, name: str) -> EndpointRow:
        """The row of an endpoint, or the defaults if it has none."""
        return self.endpoints.get(name, EndpointRow())

    def host(self, name: str) -> HostRow:
        """The row of a host, or the defaults if it has none."""
        return self.hosts.get(name, HostRow())


class Problem(NamedTuple):
    """An invalid cell, with the reason and the remedy."""

    cell: str
    value: Cell
    reason: str
    remedy: str

    def __str__(self) -> str:
        return f'{self.cell}={self.value!r}: {self.reason}; {self.remedy}'


def column_of(cell: str) -> Column | None:
    """The column of a cell; None if the schema has no such column.

    :param cell: name of the cell, as sheet/row/column
    """
    parts = cell.split('/')
    if len(parts) != 3:
        return None
    return _COLUMNS.get((parts[0], parts[2]))


def view_of(cells: Cells, revision: int) -> View:
    """Build the rows from cells; cells of unknown columns are ignored."""
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


def parse_cell(cell: str, text: str) -> Cell | Problem:
    """Parse the text of a cell; an empty text gives None, the default."""
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
    """Format a value as text that :func:`parse_cell` accepts."""
    if value is None:
        return ''
    if isinstance(value, list | tuple):
        return ' '.join(value)
    return str(value)


def cell_problems(cells: Cells) -> list[Problem]:
    """Problems of single cells, without the rules across rows."""
    found = (_cell_problem(cell, value) for cell, value in cells.items())
    return [problem for problem in found if problem is not None]


def _cell_problem(cell: str, value: Cell) -> Problem | None:
    column = column_of(cell)
    if column is None:
        return _unknown(cell, value)
    name = cell.split('/')[1]
    if not 0 < len(name) <= MAX_NAME_LENGTH or not name.isprintable():
        reason = f'the row name has {len(name)} characters'
        if not name.isprintable():
            reason = f'the row name {name!r} has unprintable characters'
        return Problem(
            cell,
            value,
            reason,
            f'use 1 to {MAX_NAME_LENGTH} printable characters without a slash',
        )
    if value is None or _is_valid(column, value):
        return None
    return _out_of_range(cell, value, column)


def _is_valid(column: Column, value: Cell) -> bool:
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
    parts = cell.split('/')
    if len(parts) != 3:
        reason = 'the cell is not of the form SHEET/ROW/COLUMN'
        remedy = 'write it such as customers/lease/weight'
    elif parts[0] not in SHEETS:
        reason = f'there is no sheet {parts[0]!r}'
        remedy = 'use one of ' + ', '.join(SHEETS)
    else:
        reason = f'sheet {parts[0]} has no column {parts[2]!r}'
        columns = [c.name for c in SCHEMA if c.sheet == parts[0]]
        remedy = 'use one of ' + ', '.join(columns)
    return Problem(cell, value, reason, remedy)


def _out_of_range(cell: str, value: Cell, column: Column) -> Problem:
    if column.kind == 'choice':
        reason = f'not a {column.name}'
        remedy = 'use one of ' + ', '.join(column.choices)
    elif column.kind == 'keys':
        reason = _key_reason(value)
        remedy = "use a list of 'sha256:' with 64 lower-case hex digits each"
    else:
        whole = 'a whole number' if column.kind == 'count' else 'a number'
        reason = f'not {whole} in the range of {column.name}'
        remedy = f'use {whole} from {column.low:g} to {column.high:g}'
        remedy += f' ({column.unit})'
    if not isinstance(value, list | tuple) and value in ('', None):
        reason = 'the value is empty'
        remedy += ', or unset the cell to have its default'
    return Problem(cell, value, reason, remedy)


def _key_reason(value: Cell) -> str:
    if not isinstance(value, list | tuple):
        return 'not a list of key digests'
    # The entry is not repeated: it may be a key in the clear.
    numbers = [n for n, key in enumerate(value, 1) if not _is_key(key)]
    return f'entry {numbers[0]} of {len(value)} is not a key digest'


def _frozen(value: Cell) -> Cell:
    return tuple(value) if isinstance(value, list) else value
