"""Admin routes of the table: read, edit, override and drain."""

import datetime
import reprlib
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

#: Time limit of a request that involves no other host, in seconds.
READ_TIMEOUT_S = 5.0

#: Default and maximum of ``wait_s``, how long a request waits until its edit
#: is in force, in seconds.
DEFAULT_WAIT_S = 10.0
MAX_WAIT_S = 60.0

#: Time limit for the store's replies, in addition to ``wait_s``, in seconds.
EDIT_MARGIN_S = 10.0

#: Default number of edits in the answer of the history.
HISTORY_LIMIT = 50


class TableResource:
    """``/admin/table``: the table with its staged edits, and edits of it.

    :param node: the :class:`magnoliadyke.node.Node` that serves the request
    """

    def __init__(self, node):
        self.node = node

    def on_get(self, request, response):
        """Answer with all sheets, or the one that the query names."""
        shown = adminerrors.ask(
            self.node.configuration, tablemessages.ShowTable(), READ_TIMEOUT_S
        )
        response.media = _table_body(
            self.node, shown, request.get_param('sheet')
        )

    def on_post(self, request, response):
        """Change cells in one edit.

        :raises Refusal: the body is malformed, or the edit is refused
        """
        body = _read_body(request)
        cells = body.get('cells')
        if not isinstance(cells, dict) or not cells:
            raise adminerrors.Refusal(
                400,
                'invalid',
                f"'cells' is {_json_type(cells)}, "
                'not an object with at least one cell',
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
    """``/admin/table/history``: the accepted edits.

    :param node: the :class:`magnoliadyke.node.Node` that serves the request
    """

    def __init__(self, node):
        self.node = node

    def on_get(self, request, response):
        """Answer with the accepted edits, newest first."""
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
    """``/admin/table/override``: accepts edits although hosts are missing.

    :param node: the :class:`magnoliadyke.node.Node` that serves the request
    """

    def __init__(self, node):
        self.node = node

    def on_post(self, request, response):
        """Accept the named edit and those staged before it, or all staged.

        :raises Refusal: the body is malformed, or the store did not answer
        """
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
    """``/admin/drain``: drains a host or an endpoint, or ends its drain.

    :param node: the :class:`magnoliadyke.node.Node` that serves the request
    """

    def __init__(self, node):
        self.node = node

    def on_post(self, request, response):
        """Set or reset the state cell of the host or the endpoint.

        :raises Refusal: the body is malformed, or the edit is refused
        """
        body = _read_body(request)
        names = {
            sheet: adminerrors.optional_text(body, field)
            for sheet, field in (('hosts', 'host'), ('endpoints', 'endpoint'))
        }
        named_rows = [(sheet, name) for sheet, name in names.items() if name]
        if len(named_rows) != 1:
            raise adminerrors.Refusal(
                400,
                'invalid',
                f'{len(named_rows)} names are given in host and endpoint, '
                'not exactly one',
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
    """One request for an edit, sent to the configuration task.

    :param cells: cell to its new value, None for the default
    :param base_revision: revision that the operator had read, None for the
        newest
    :param operator: name of the operator
    :param edit_id: idempotency key of the edit
    :param override: accept even if hosts are missing
    """

    def __init__(self, cells, base_revision, operator, edit_id, override):
        self.cells = cells
        self.base_revision = base_revision
        self.operator = operator
        self.edit_id = edit_id
        self.override = override

    def run(self, node, wait_s, response):
        """Send the edit to the configuration task and answer its outcome.

        :param node: the :class:`magnoliadyke.node.Node`
        :param wait_s: longest wait for all hosts, in seconds
        :param response: the falcon response, which gets status and body
        :raises Refusal: the edit is invalid or in conflict, or a time limit
            was exceeded
        """
        base = self.base_revision
        if base is not None and not isinstance(base, int):
            raise adminerrors.Refusal(
                400,
                'invalid',
                f"'base_revision' is {reprlib.repr(base)}, not a whole number",
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
                f'{len(result.cells)} cell(s) of this edit were changed after '
                'its base revision; operators who have changed them: '
                + ', '.join(result.operators or ('unknown',)),
                'compare both values, then send the edit again',
                conflicts=_conflicts(result),
            )
        case tablemessages.Invalid():
            raise adminerrors.Refusal(
                400,
                'invalid',
                'the edit is invalid',
                'correct each cell; nothing was changed',
                problems=_problems(result.problems),
            )
        case tablemessages.StoreUnavailable():
            raise adminerrors.Refusal(
                503,
                'store_unavailable',
                'the edit was not confirmed by the key-value service in time; '
                + (
                    'it may have been staged'
                    if result.maybe_applied
                    else 'it was not staged'
                ),
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
    """Return the rows that each sheet shows even if none of its cells is set.

    They are the names in the settings.
    """
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
    """Return the edits not yet accepted, with the hosts they wait for."""
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
    """Return the edits with old and new values, newest edit first.

    The old value is null if no older edit in the history changed the cell.
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


def _json_type(value):
    """Name the type only: the value may hold keys in the clear."""
    match value:
        case None:
            return 'missing or null'
        case dict():
            return f'an object with {len(value)} values'
        case list():
            return f'an array with {len(value)} values'
        case str():
            return 'a string'
    return 'a number or a boolean'


def _read_body(request):
    body = request.get_media(default_when_empty={})
    if not isinstance(body, dict):
        raise adminerrors.Refusal(
            400,
            'invalid',
            f'the body is {_json_type(body)}, not a JSON object',
            'send a JSON object',
        )
    return body


def _read_wait_s(body):
    wait_s = body.get('wait_s', DEFAULT_WAIT_S)
    if isinstance(wait_s, bool) or not isinstance(wait_s, int | float):
        raise adminerrors.Refusal(
            400,
            'invalid',
            f"'wait_s' is {reprlib.repr(wait_s)}, not a number",
            'send a number of seconds',
        )
    return min(max(0.0, wait_s), MAX_WAIT_S)
