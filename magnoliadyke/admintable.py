"""Admin routes of the table: read, edit, override, drain."""

import datetime
import uuid

from magnoliadyke import adminerrors
from magnoliadyke.core import freshness
from magnoliadyke.core import table
from magnoliadyke import tablemessages

__all__ = [
    'DrainResource',
    'HistoryResource',
    'OverrideResource',
    'TableResource',
]

#: Longest wait for an answer that needs no other host, in seconds.
READ_TIMEOUT_S = 5.0

#: Waits for an edit to be in force, in seconds.
DEFAULT_WAIT_S = 10.0
MAX_WAIT_S = 60.0

#: Beyond the wait: time for the store to answer, in seconds.
EDIT_MARGIN_S = 10.0

HISTORY_LIMIT = 50


class TableResource:
    """The table with the state of each cell; edits."""

    def __init__(self, node):
        self.node = node

    def on_get(self, request, response):
        """Answer all sheets, or the one that the query names."""
        shown = adminerrors.ask(
            self.node.configuration, tablemessages.ShowTable(), READ_TIMEOUT_S
        )
        response.media = _table_body(
            self.node, shown, request.get_param('sheet')
        )

    def on_post(self, request, response):
        """Change cells."""
        body = _read_body(request)
        cells = body.get('cells')
        if not isinstance(cells, dict) or not cells:
            raise adminerrors.Refusal(
                400,
                'invalid',
                'cells is not a mapping of cell to value',
                'send {"cells": {"SHEET/ROW/COLUMN": VALUE}}',
            )
        edit = EditRequest(
            cells,
            body.get('base_revision'),
            adminerrors.require_text(body, 'operator'),
            adminerrors.optional_text(body, 'edit') or uuid.uuid4().hex,
            bool(body.get('override')),
        )
        edit.run(self.node, _read_wait_s(body), response)


class HistoryResource:
    """Edits that were accepted."""

    def __init__(self, node):
        self.node = node

    def on_get(self, request, response):
        """Answer the newest edits first."""
        limit = request.get_param_as_int('limit', default=HISTORY_LIMIT)
        changes = adminerrors.ask(
            self.node.configuration, tablemessages.History(), READ_TIMEOUT_S
        )
        staged = {edit['edit'] for edit in _staged_edits(self.node)}
        entries = _history_entries(
            [change for change in changes if change['id'] not in staged]
        )
        response.media = {'history': entries[: max(0, limit)]}


class OverrideResource:
    """Accepts staged edits although hosts are missing."""

    def __init__(self, node):
        self.node = node

    def on_post(self, request, response):
        """Accept the named edit and those staged before it, or all."""
        body = _read_body(request)
        edit = EditRequest(
            {},
            None,
            adminerrors.require_text(body, 'operator'),
            adminerrors.optional_text(body, 'edit'),
            True,
        )
        edit.run(self.node, _read_wait_s(body), response)


class DrainResource:
    """Takes new work away from a host or an endpoint, or gives it back."""

    def __init__(self, node):
        self.node = node

    def on_post(self, request, response):
        """Edit the state cell of the host or the endpoint."""
        body = _read_body(request)
        named = {
            sheet: adminerrors.optional_text(body, field)
            for sheet, field in (('hosts', 'host'), ('endpoints', 'endpoint'))
        }
        named_rows = [(sheet, name) for sheet, name in named.items() if name]
        if len(named_rows) != 1:
            raise adminerrors.Refusal(
                400,
                'invalid',
                'one host or one endpoint has to be named',
                'send {"host": NAME} or {"endpoint": NAME}',
            )
        sheet, name = named_rows[0]
        edit = EditRequest(
            {f'{sheet}/{name}/state': None if body.get('undo') else 'drain'},
            None,
            adminerrors.require_text(body, 'operator'),
            adminerrors.optional_text(body, 'edit') or uuid.uuid4().hex,
            False,
        )
        edit.run(self.node, _read_wait_s(body), response)


class EditRequest:
    """One edit on its way through the configuration task."""

    def __init__(self, cells, base_revision, operator, edit_id, override):
        self.cells = cells
        self.base_revision = base_revision
        self.operator = operator
        self.edit_id = edit_id
        self.override = override

    def run(self, node, wait_s, response):
        """Make the edit and answer what became of it.

        :param wait_s: longest wait for all hosts, in seconds
        """
        base = self.base_revision
        if base is not None and not isinstance(base, int):
            raise adminerrors.Refusal(
                400,
                'invalid',
                'base_revision is not a whole number',
                'send the revision that GET /admin/table gave, or null',
            )
        message = tablemessages.EditCells(
            self.cells,
            base,
            self.operator,
            self.edit_id,
            self.override,
        )
        result = adminerrors.ask(
            node.configuration, message, wait_s + EDIT_MARGIN_S
        )
        response.status, response.media = _edit_answer(result)
        response.media['edit'] = self.edit_id


def _edit_answer(result):
    match result:
        case tablemessages.Accepted(laggards=()):
            return 200, _accepted_body(result, 'in_force')
        case tablemessages.Accepted():
            return 202, _accepted_body(result, 'accepted')
        case tablemessages.Pending():
            return 202, {
                'state': 'pending',
                'staged_revision': result.revision,
                'missing': list(result.missing),
                'remedy': result.remedy,
            }
        case tablemessages.Conflict():
            raise adminerrors.Refusal(
                409,
                'conflict',
                'someone else changed the same cells: '
                + ', '.join(result.operators or ('unknown',)),
                'look at both values, then send the edit again',
                conflicts=_conflicts(result),
            )
        case tablemessages.Invalid():
            raise adminerrors.Refusal(
                400,
                'invalid',
                'the table can’t take these values',
                'correct each cell; nothing was changed',
                problems=_problems(result.problems),
            )
        case tablemessages.StoreUnavailable():
            raise adminerrors.Refusal(
                503,
                'store_unavailable',
                'the key-value service did not answer',
                'send the edit again with the same edit id',
                maybe_applied=result.maybe_applied,
            )


def _accepted_body(result, state):
    return {
        'state': state,
        'revision': result.revision,
        'in_force_s': round(result.in_force_s, 3),
        'laggards': list(result.laggards),
    }


def _conflicts(result):
    return [
        {
            'cell': cell,
            'their_value': theirs,
            'your_value': yours,
            'revision': result.revision,
        }
        for cell, (theirs, yours) in result.cells.items()
    ]


def _problems(problems):
    return [
        {
            'cell': problem.cell,
            'value': problem.value,
            'message': problem.reason,
            'remedy': problem.remedy,
        }
        for problem in problems
    ]


def _configured_rows(settings):
    """Name the rows that exist with no cell of theirs set."""
    models = [pool for pool in settings.pools if pool.kind == 'model']
    return {
        'customers': (),
        'pools': [pool.name for pool in models],
        'endpoints': [
            endpoint.name
            for pool in settings.pools
            for endpoint in pool.endpoints
        ],
        'hosts': [host.name for host in settings.hosts],
    }


def _table_body(node, shown, only_sheet):
    configured_rows = _configured_rows(node.settings)
    sheets = {
        sheet: {
            'columns': _columns(sheet),
            'rows': {row: {} for row in configured_rows[sheet]},
        }
        for sheet in table.SHEETS
        if only_sheet in (None, sheet)
    }
    for cell, state in shown.cells.items():
        sheet, row, column = cell.split('/')
        if sheet in sheets:
            cells = sheets[sheet]['rows'].setdefault(row, {})
            if state.value is not None:
                cells[column] = state.value
    return {
        'revision': shown.revision,
        'staged_revision': shown.staged_revision,
        'staged': _staged_edits(node),
        'sheets': sheets,
        'in_force': shown.in_force,
    }


def _staged_edits(node):
    """Tell the edits that are not accepted yet, and what they wait for."""
    document = node.configuration.documents.last.document or table.empty()
    waiting = list(_awaited_hosts(node.gossip.standings.last.acceptance))
    return [
        {
            'revision': change['revision'],
            'edit': change['id'],
            'operator': change['operator'],
            'cells': change['cells'],
            'since_s': round(node.clock.wall_s() - change['at_s'], 1),
            'waiting': waiting,
        }
        for change in document['staged']
    ]


def _awaited_hosts(acceptance):
    match acceptance:
        case freshness.Wait(laggards=hosts):
            return hosts
        case freshness.Blocked(missing=hosts):
            return hosts
    return ()


def _columns(sheet):
    return [
        {
            'name': column.name,
            'kind': column.kind,
            'unit': column.unit,
            'default': column.default,
            'low': column.low,
            'high': column.high,
            'choices': column.choices,
            'effect': column.effect,
        }
        for column in table.SCHEMA
        if column.sheet == sheet
    ]


def _history_entries(changes):
    """Pair each value with the one before it, newest edit first.

    The old value of a cell that no older edit in the history names is not
    known and reads as null.
    """
    values = {}
    entries = []
    for change in sorted(changes, key=lambda change: change['revision']):
        cells = {}
        for cell, value in change['cells'].items():
            cells[cell] = {'old': values.get(cell), 'new': value}
            values[cell] = value
        entries.append(_history_entry(change, cells))
    entries.reverse()
    return entries


def _history_entry(change, cells):
    moment = datetime.datetime.fromtimestamp(change['at_s'], datetime.UTC)
    return {
        'revision': change['revision'],
        'edit': change['id'],
        'operator': change['operator'],
        'override': change.get('override', ''),
        'at': moment.isoformat(timespec='seconds'),
        'cells': cells,
    }


def _read_body(request):
    body = request.get_media(default_when_empty={})
    if not isinstance(body, dict):
        raise adminerrors.Refusal(
            400, 'invalid', 'the body is not a JSON object', 'send one'
        )
    return body


def _read_wait_s(body):
    wait_s = body.get('wait_s', DEFAULT_WAIT_S)
    if isinstance(wait_s, bool) or not isinstance(wait_s, int | float):
        raise adminerrors.Refusal(
            400, 'invalid', 'wait_s is not a number', 'send seconds'
        )
    return min(max(0.0, wait_s), MAX_WAIT_S)
