"""The commands as functions: one for each verb of the command line.

The functions take and return plain values and raise the errors of
:mod:`magnoliadyke.errors`; :mod:`magnoliadyke.cli` is a thin layer over them.
"""

import getpass
import json
import os
import pathlib
from typing import Any
from typing import Mapping
from typing import NamedTuple
from typing import Sequence
import uuid

from magnoliadyke import adminclient
from magnoliadyke import client as client_module
from magnoliadyke.core import outcomes
from magnoliadyke.core import table
from magnoliadyke import errors
from magnoliadyke import explain as explanation
from magnoliadyke import labverbs
from magnoliadyke import settings as settings_module
from magnoliadyke import sheets

__all__ = [
    'EditResult',
    'admin_client',
    'call_model',
    'call_service',
    'caller_client',
    'check',
    'drain',
    'hosts',
    'lab',
    'node',
    'parse_value',
    'plot_burn',
    'read_token',
    'report_burn',
    'roles',
    'status',
    'table_export',
    'table_get',
    'table_history',
    'table_import',
    'table_override',
    'table_set',
    'table_show',
    'table_unset',
]

#: Maximum number of history entries that an import reads to reconstruct the
#: table as it was when the sheet was exported.
HISTORY_LIMIT = 1000


class EditResult(NamedTuple):
    """Outcome of an edit that was not refused.

    :param state: ``in_force``, ``accepted``, ``pending`` or ``unchanged``.
    :param body: the host's answer, empty if nothing was sent.
    """

    state: str
    body: Mapping[str, Any]


def node(settings_path: str, host: str) -> int:
    """Run the node of one host until it gets a stop signal.

    :param settings_path: the settings file.
    :param host: name of the host.
    :returns: the exit status.
    :raises UsageError: if the settings name no such host.
    """
    settings = settings_module.load(settings_path)
    settings.host(host)
    from magnoliadyke import node as node_module

    return node_module.run(settings, host) or 0


def check(settings_path: str) -> list[settings_module.Problem]:
    """Return all problems of a settings file, without starting a node.

    :param settings_path: the settings file.
    """
    return settings_module.check(settings_path)


def admin_client(
    settings_path: str = '', address: str = '', token: str = ''
) -> adminclient.AdminClient:
    """Return a client of the admin listeners.

    :param settings_path: settings whose hosts are tried in turn.
    :param address: ``IP:PORT`` of a single listener, instead.
    :param token: the operators' token.
    :raises UsageError: if the address is malformed, or neither is given.
    """
    if address:
        ip, _, port = address.rpartition(':')
        if not ip or not port.isdigit():
            raise errors.UsageError(
                f'{address!r} is not an admin address', 'write IP:PORT'
            )
        addresses = [adminclient.AdminAddress(address, ip, int(port))]
    elif settings_path:
        addresses = [
            adminclient.AdminAddress(
                host.name, host.admin_address, host.admin_port
            )
            for host in settings_module.load(settings_path).hosts
        ]
    else:
        raise errors.UsageError(
            'neither settings nor an admin address are given',
            'give --settings=FILE or --admin=IP:PORT, or set '
            'MAGNOLIADYKE_SETTINGS',
        )
    return adminclient.AdminClient(addresses, token)


def caller_client(
    settings_path: str = '', address: str = '', key: str = ''
) -> client_module.Client:
    """Return a client that sends the requests of a customer.

    :param settings_path: settings whose hosts it starts from.
    :param address: ``IP:PORT`` of a single host to start from, instead.
    :param key: the customer's key.
    :raises UsageError: if neither settings nor an address are given.
    """
    if address:
        seeds = [address]
    elif settings_path:
        seeds = [
            f'{host.address}:{host.caller_port}'
            for host in settings_module.load(settings_path).hosts
        ]
    else:
        raise errors.UsageError(
            'neither settings nor the address of a host are given',
            'give --settings=FILE or --entry=IP:PORT, or set '
            'MAGNOLIADYKE_SETTINGS',
        )
    return client_module.Client(seeds, key)


def hosts(client: client_module.Client) -> list[client_module.CallerHost]:
    """Return the hosts to send requests to, best first.

    :param client: the client of a customer.
    :raises HostUnreachable: if no host answers.
    """
    return client.hosts()


def call_model(
    client: client_module.Client,
    model: str,
    prompt: str,
    max_tokens: int,
    **options: Any,
) -> outcomes.Outcome:
    """Send a prompt to a model and return the outcome.

    :param client: the client of a customer.
    :param model: name of the model.
    :param prompt: the prompt.
    :param max_tokens: maximum length of the answer, in tokens.
    :param options: as for :meth:`magnoliadyke.client.Client.complete`.
    """
    return client.complete(model, prompt, max_tokens, **options)


def call_service(
    client: client_module.Client,
    name: str,
    method: str,
    path: str,
    body: str = '',
    **options: Any,
) -> outcomes.Outcome:
    """Call a plain service.

    :param client: the client of a customer.
    :param name: name of the service.
    :param method: HTTP method.
    :param path: path and query below the service's name.
    :param body: sent in UTF-8.
    :param options: as for :meth:`magnoliadyke.client.Client.call`.
    :raises UsageError: if the path does not start with ``/``.
    """
    if not path.startswith('/'):
        raise errors.UsageError(
            f"the path {path!r} does not start with '/'", "start it with '/'"
        )
    return client.call(name, method.upper(), path, body.encode(), **options)


def table_show(
    client: adminclient.AdminClient, sheet: str = ''
) -> dict[str, Any]:
    """Return the table with its staged edits.

    :param client: the admin client.
    :param sheet: name of a single sheet, ``''`` for all.
    :raises UsageError: if there is no such sheet.
    """
    if sheet and sheet not in table.SHEETS:
        raise errors.UsageError(
            f'there is no sheet {sheet!r}',
            'use one of ' + ', '.join(table.SHEETS),
        )
    return client.get('/admin/table' + (f'?sheet={sheet}' if sheet else ''))


def table_get(client: adminclient.AdminClient, cell: str) -> Any:
    """Return the value of a cell, the default of its column if not set.

    :param client: the admin client.
    :param cell: ``SHEET/ROW/COLUMN``.
    :raises UsageError: if there is no such sheet, row or column.
    """
    sheet, row, column = _split_cell(cell)
    content = table_show(client, sheet)['sheets'][sheet]
    sheet_columns = {item['name']: item for item in content['columns']}
    if column not in sheet_columns:
        raise errors.UsageError(
            f'sheet {sheet} has no column {column!r}',
            'use one of ' + ', '.join(sheet_columns),
        )
    if row not in content['rows']:
        raise errors.UsageError(
            f'sheet {sheet} has no row {row!r}',
            'use one of ' + ', '.join(sorted(content['rows'])),
        )
    return content['rows'][row].get(column, sheet_columns[column]['default'])


def table_set(
    client: adminclient.AdminClient,
    cells: Mapping[str, Any],
    operator: str = '',
    base_revision: int | None = None,
    wait_s: float = 10.0,
) -> EditResult:
    """Change cells in one edit and wait until it is in force on all hosts.

    :param client: the admin client.
    :param cells: new value of each, ``None`` to unset it.
    :param operator: name for the history; by default the login name.
    :param base_revision: revision that the operator had read; a cell that
        was changed after it is then a conflict.
    :param wait_s: maximum wait in seconds.
    :raises EditConflict: if a cell was changed after the base revision.
    :raises AdminRefused: if the edit is invalid.
    """
    for cell in cells:
        _split_cell(cell)
    if not cells:
        return EditResult('unchanged', {})
    answer = client.post(
        '/admin/table',
        {
            'edit': uuid.uuid4().hex,
            'operator': operator or _login_name(),
            'base_revision': base_revision,
            'cells': dict(cells),
            'wait_s': wait_s,
        },
    )
    return EditResult(answer.body['state'], answer.body)


def table_unset(
    client: adminclient.AdminClient, cells: Sequence[str], **options: Any
) -> EditResult:
    """Reset cells to the defaults of their columns.

    :param client: the admin client.
    :param cells: the cells.
    :param options: as for :func:`table_set`.
    """
    return table_set(client, dict.fromkeys(cells), **options)


def table_export(client: adminclient.AdminClient, sheet: str) -> str:
    """Return one sheet as CSV.

    :param client: the admin client.
    :param sheet: name of the sheet.
    :raises UsageError: if there is no such sheet.
    """
    shown = table_show(client, sheet)
    return sheets.write_csv(sheets.cells_of(shown), sheet, shown['revision'])


def table_import(
    client: adminclient.AdminClient, path: str, **options: Any
) -> EditResult:
    """Apply the changes made in an exported sheet, as one edit.

    The edit has only the cells that differ from the exported revision, so
    that later changes by other operators are kept.

    :param client: the admin client.
    :param path: the CSV file.
    :param options: as for :func:`table_set`.
    :raises UsageError: if the file is unreadable or holds invalid cells.
    """
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8-sig')
    except (OSError, UnicodeDecodeError) as error:
        raise errors.UsageError(
            f'{path} cannot be read: {error}', 'give a CSV file in UTF-8'
        ) from error
    imported = sheets.read_csv(text)
    shown = table_show(client, imported.name)
    base = sheets.cells_of(shown)
    if imported.revision is not None:
        if imported.revision < shown['revision']:
            history = table_history(client, HISTORY_LIMIT)
            base = sheets.base_cells(base, history, imported.revision)
        options.setdefault('base_revision', imported.revision)
    return table_set(client, imported.changes(base), **options)


def table_history(
    client: adminclient.AdminClient, limit: int = 20
) -> list[dict[str, Any]]:
    """Return the accepted edits, newest first.

    :param client: the admin client.
    :param limit: maximum number of edits.
    """
    return client.get(f'/admin/table/history?limit={limit}')['history']


def table_override(
    client: adminclient.AdminClient, edit: str = '', operator: str = ''
) -> EditResult:
    """Accept a pending edit although hosts are missing.

    :param client: the admin client.
    :param edit: id of the edit, ``''`` for all that are pending.
    :param operator: name for the history; by default the login name.
    """
    answer = client.post(
        '/admin/table/override',
        {'edit': edit or None, 'operator': operator or _login_name()},
    )
    return EditResult(answer.body['state'], answer.body)


def status(client: adminclient.AdminClient) -> dict[str, Any]:
    """Return the state of hosts, endpoints and customers.

    :param client: the admin client.
    """
    return client.get('/admin/status')


def roles(client: adminclient.AdminClient) -> dict[str, Any]:
    """Return the engines' roles and the plans for them.

    :param client: the admin client.
    """
    return client.get('/admin/roles')


def drain(
    client: adminclient.AdminClient,
    kind: str,
    name: str,
    undo: bool = False,
    operator: str = '',
) -> EditResult:
    """Drain a host or an endpoint, or end its drain.

    :param client: the admin client.
    :param kind: ``host`` or ``endpoint``.
    :param name: its name.
    :param undo: end the drain.
    :param operator: name for the history; by default the login name.
    """
    answer = client.post(
        '/admin/drain',
        {kind: name, 'undo': undo, 'operator': operator or _login_name()},
    )
    return EditResult(answer.body['state'], answer.body)


def report_burn(client: adminclient.AdminClient) -> dict[str, Any]:
    """Return the burn rate of each customer's error budget.

    :param client: the admin client.
    """
    return client.get('/admin/burn')


def plot_burn(report: Mapping[str, Any], path: str) -> None:
    """Plot burn rates by window and bad requests by cause.

    :param report: the report of :func:`report_burn`.
    :param path: PNG file to write.
    :raises UsageError: if matplotlib is not installed.
    """
    try:
        from magnoliadyke import burnplot
    except ModuleNotFoundError as error:
        raise errors.UsageError(
            'matplotlib is not installed',
            "install it by pip install 'magnoliadyke[plots]'",
        ) from error
    burnplot.draw(report, path)


def lab(argv: Sequence[str]) -> int:
    """Run a program of the lab.

    :param argv: name of the program and its arguments.
    :returns: its exit status.
    """
    return labverbs.run(argv)


def parse_value(cell: str, text: str) -> Any:
    """Parse the value of a cell from the command line; the hosts check it.

    :param cell: the cell.
    :param text: JSON, a plain word, or key digests separated by blanks.
    """
    column = table.column_of(cell)
    if column is not None and column.kind == 'keys':
        return text.split()
    try:
        return json.loads(text)
    except ValueError:
        return text


def read_token(environ: Mapping[str, str] = os.environ) -> str:
    """Return the operators' token from the environment, ``''`` if not set.

    A token on the command line would be visible in the list of processes.

    :param environ: the environment.
    :raises UsageError: if its file cannot be read.
    """
    path = environ.get('MAGNOLIADYKE_TOKEN_FILE')
    if not path:
        return environ.get('MAGNOLIADYKE_TOKEN', '')
    try:
        return pathlib.Path(path).read_text(encoding='utf-8').strip()
    except OSError as error:
        raise errors.UsageError(
            f'the token file {path} cannot be read: {error.strerror}',
            'correct MAGNOLIADYKE_TOKEN_FILE',
        ) from error


class Explanation(NamedTuple):
    """Log lines that explain a request.

    :param lines: lines that name the request
    :param beliefs: lines on state changes shortly before, which may have
        affected it
    """

    lines: list[explanation.LogLine]
    beliefs: list[explanation.LogLine]


#: State changes up to this long before a request are shown, in seconds: a
#: host waits no longer than this for a reply of the store.
EXPLAIN_BEFORE_S = 5.0


def explain(request_id: str, paths: Sequence[str]) -> Explanation:
    """Return the log lines of all hosts that explain a request.

    :param request_id: id of the request in the logs
    :param paths: log files of the hosts
    :raises UsageError: if a log file cannot be read
    """
    texts: list[str] = []
    for path in paths:
        try:
            content = pathlib.Path(path).read_text('utf-8', 'replace')
        except OSError as error:
            raise errors.UsageError(
                f'{path} cannot be read: {error.strerror}',
                'give the log files of the hosts',
            ) from error
        texts += content.splitlines()
    lines = explanation.find_request_lines(request_id, texts)
    near = explanation.find_state_changes(texts, lines, EXPLAIN_BEFORE_S)
    return Explanation(lines, near)


def platform(settings: str | None, check: bool) -> Sequence[object]:
    """Run a node on the platform, or only check its settings.

    :param settings: the settings file; None for that of the environment
    :param check: do not run the node
    :returns: problems of the settings
    """
    from magnoliadyke.platform import __main__ as program
    from magnoliadyke.platform import settings as node_settings

    try:
        loaded = node_settings.load(settings)
    except errors.SettingsError as error:
        return error.problems
    if not check:
        program.run(loaded)
    return ()


def _split_cell(cell: str) -> tuple[str, str, str]:
    parts = cell.split('/')
    if len(parts) != 3 or not all(parts):
        raise errors.UsageError(
            f'the cell {cell!r} is not of the form SHEET/ROW/COLUMN',
            'write it such as customers/lease/weight',
        )
    return parts[0], parts[1], parts[2]


def _login_name() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return 'unknown'
