"""Formats the results of the operators' commands as text."""

import json
from typing import Any
from typing import Iterable
from typing import Mapping
from typing import Sequence

__all__ = [
    'burn',
    'cell',
    'columns',
    'conflicts',
    'edit',
    'history',
    'hosts',
    'roles',
    'status',
    'table',
]

#: Maximum length of the text of a value, in characters.
MAX_SHOWN_CHARACTERS = 48
NO_VALUE = '-'


def columns(heading: Sequence[str], rows: Iterable[Sequence[Any]]) -> str:
    """Format rows as aligned columns, with numbers right-aligned.

    :param heading: name of each column.
    :param rows: values of each row, one for each column.
    """
    lines = [[cell(value) for value in row] for row in rows]
    found = [_column(texts) for texts in zip(heading, *lines, strict=True)]
    return '\n'.join(
        '  '.join(texts).rstrip() for texts in zip(*found, strict=True)
    )


def _column(texts: Sequence[str]) -> list[str]:
    width = max(len(text) for text in texts)
    values = [text for text in texts[1:] if text != NO_VALUE]
    if values and all(_is_number(text) for text in values):
        return [text.rjust(width) for text in texts]
    return [text.ljust(width) for text in texts]


def cell(value: Any) -> str:
    """Format one value, shortened to :data:`MAX_SHOWN_CHARACTERS`.

    :param value: a JSON scalar or list.
    """
    match value:
        case None:
            return NO_VALUE
        case bool():
            return 'yes' if value else 'no'
        case float():
            return f'{value:.4g}'
        case list() if value and all(
            str(item).startswith('sha256:') for item in value
        ):
            return f'{len(value)} hashed'
        case list():
            text = ','.join(str(item) for item in value) or NO_VALUE
        case _:
            text = str(value)
    if len(text) > MAX_SHOWN_CHARACTERS:
        return text[: MAX_SHOWN_CHARACTERS - 3] + '...'
    return text


def table(answer: Mapping[str, Any]) -> str:
    """Format the table, with default values in parentheses.

    :param answer: the response of ``GET /admin/table``.
    """
    parts = [f'revision {answer["revision"]}']
    for sheet, content in answer['sheets'].items():
        names = [column['name'] for column in content['columns']]
        defaults = {
            column['name']: column['default'] for column in content['columns']
        }
        rows = [
            [row, *(_or_default(cells, name, defaults) for name in names)]
            for row, cells in sorted(content['rows'].items())
        ]
        parts.append(columns([sheet, *names], rows))
    for staged in answer.get('staged', ()):
        parts.append(_staged(staged))
    behind = [
        f'{host} at {revision}'
        for host, revision in sorted(answer.get('in_force', {}).items())
        if revision < answer['revision']
    ]
    if behind:
        parts.append('not yet in force on: ' + ', '.join(behind))
    return '\n\n'.join(parts)


def edit(state: str, body: Mapping[str, Any]) -> str:
    """Format the result of an edit.

    :param state: ``unchanged``, ``in_force``, ``accepted`` or ``pending``.
    :param body: the response of the host.
    """
    match state:
        case 'unchanged':
            return 'nothing to change'
        case 'in_force':
            return (
                f'revision {body.get("revision")} accepted, in force on all '
                f'live hosts after {_seconds(body.get("in_force_s"))}'
            )
        case 'accepted':
            return (
                f'revision {body.get("revision")} accepted, not yet in '
                'force on '
                + (', '.join(body.get('laggards', ())) or 'some hosts')
            )
        case 'pending':
            missing = ', '.join(body.get('missing', ())) or 'some hosts'
            remedy = body.get('remedy') or (
                "wait, or accept it without them with 'table override'"
            )
            return (
                f'revision {body.get("staged_revision")} is staged and not '
                f'in force; no acknowledgement from {missing}; {remedy}'
            )
    return f'{state}: {json.dumps(dict(body))}'


def conflicts(found: Iterable[Mapping[str, Any]]) -> str:
    """Format both values of each cell in conflict.

    :param found: the conflicts in the response of the admin interface.
    """
    return columns(
        ['cell', 'yours', 'theirs', 'revision'],
        [
            [
                item.get('cell'),
                item.get('your_value'),
                item.get('their_value'),
                item.get('revision'),
            ]
            for item in found
        ],
    )


def history(entries: Iterable[Mapping[str, Any]]) -> str:
    """Format accepted edits, one line for each changed cell.

    :param entries: the edits in the response of the admin interface.
    """
    rows = [
        [
            entry['revision'],
            entry.get('at'),
            entry.get('operator'),
            name,
            change.get('old'),
            change.get('new'),
        ]
        for entry in entries
        for name, change in sorted(entry['cells'].items())
    ]
    return columns(['revision', 'at', 'operator', 'cell', 'old', 'new'], rows)


def hosts(found: Sequence[Mapping[str, Any]]) -> str:
    """Format the hosts for callers.

    :param found: the hosts, the preferred one first.
    """
    return _rows(found, ('host', 'address', 'failure_domain'))


def status(answer: Mapping[str, Any]) -> str:
    """Format the state of a deployment.

    :param answer: the response of ``GET /admin/status``.
    """
    state = answer.get('table', {})
    accepts = (
        'accepts requests'
        if answer.get('takes_work')
        else 'accepts no requests'
    )
    store = answer.get('store', {})
    reach = 'reachable' if store.get('reachable') else 'NOT REACHABLE'
    parts = [
        f'{answer.get("deployment")}, as seen by {answer.get("host")} '
        f'({accepts}); table revision {state.get("revision")}; store {reach}, '
        f'last answer {_seconds(store.get("last_answer_s"))} ago'
    ]
    parts.extend(_sections(answer, STATUS_SECTIONS))
    return '\n\n'.join(parts)


STATUS_SECTIONS = {
    'members': (
        'host',
        'state',
        'address',
        'failure_domain',
        'table_revision',
        'takes_work',
    ),
    'endpoints': (
        'name',
        'pool',
        'failure_domain',
        'state',
        'role',
        'running',
        'queued',
        'report_age_s',
    ),
    'customers': (
        'name',
        'running',
        'queued',
        'answered',
        'not_run',
        'unknown',
        'rejected',
        'share',
    ),
    'leases': ('name', 'holder', 'expires_s'),
}


def roles(answer: Mapping[str, Any]) -> str:
    """Format the engines of each pool with their roles.

    :param answer: the response of ``GET /admin/roles``.
    """
    parts = []
    for pool in answer['pools']:
        demand = pool.get('demand', {})
        parts.append(
            f'{pool["name"]}: planning {pool.get("planning")}, '
            f'{pool.get("role_changes", 0)} role changes; demand prefill '
            f'{cell(demand.get("prefill_s_per_s"))}, decode '
            f'{cell(demand.get("decode_s_per_s"))} engine-s/s; '
            f'{pool.get("last_plan") or "no plan yet"}\n'
            + _rows(
                pool.get('endpoints', ()),
                (
                    'name',
                    'role',
                    'target',
                    'changing',
                    'generation',
                    'checks_fencing',
                ),
            )
        )
    return '\n\n'.join(parts)


def burn(answer: Mapping[str, Any]) -> str:
    """Format burn rates by customer and window, with alerts and causes.

    :param answer: the response of ``GET /admin/burn``.
    """
    if answer.get('text'):
        return answer['text']
    parts = []
    for customer in answer['customers']:
        lines = [f'{customer["name"]}: objective {customer.get("objective")}']
        lines.append(
            _rows(
                customer.get('windows', ()),
                ('window_s', 'burn_rate', 'bad', 'total'),
            )
        )
        causes = customer.get('causes') or {}
        lines.append(
            'causes: '
            + (
                ', '.join(f'{key} {cell(causes[key])}' for key in causes)
                or 'none'
            )
        )
        alerts = customer.get('alerts') or ()
        lines.extend(f'ALERT {_alert(alert)}' for alert in alerts)
        parts.append('\n'.join(lines))
    return '\n\n'.join(parts)


def _alert(alert: Any) -> str:
    if isinstance(alert, dict):
        return ' '.join(f'{key}={cell(alert[key])}' for key in alert)
    return str(alert)


def _sections(
    answer: Mapping[str, Any], sections: Mapping[str, Sequence[str]]
) -> Iterable[str]:
    for key, names in sections.items():
        if answer.get(key):
            yield _rows(answer[key], names)


def _rows(items: Iterable[Mapping[str, Any]], names: Sequence[str]) -> str:
    heading = [name.replace('_', ' ') for name in names]
    return columns(
        heading, [[item.get(name) for name in names] for item in items]
    )


def _or_default(
    cells: Mapping[str, Any], name: str, defaults: Mapping[str, Any]
) -> str:
    if name in cells:
        return cell(cells[name])
    return f'({cell(defaults[name])})'


def _staged(staged: Mapping[str, Any]) -> str:
    changes = ', '.join(
        f'{name} = {cell(value)}' for name, value in staged['cells'].items()
    )
    waiting = ', '.join(staged.get('waiting', ())) or 'acceptance'
    return (
        f'staged as {staged.get("revision")} by {staged.get("operator")} '
        f'(edit {staged.get("edit")}): {changes}; waits for {waiting}'
    )


def _seconds(value: float | None) -> str:
    return NO_VALUE if value is None else f'{value:.2f} s'


def _is_number(text: str) -> bool:
    try:
        float(text.strip('()'))
    except ValueError:
        return False
    return True
