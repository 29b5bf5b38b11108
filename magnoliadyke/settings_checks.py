"""Validates a settings document and reports all of its problems at once."""

import collections
import ipaddress
from typing import Any
from typing import Iterator
from typing import NamedTuple

import jsonschema

from magnoliadyke.core import table
from magnoliadyke import settings_schema

__all__ = ['Problem', 'find_problems']

#: Shown in place of a value that may be a secret.
REDACTED = '(hidden)'
#: Maximum length of a value that a problem quotes, in characters.
MAX_SHOWN_CHARACTERS = 60


class Problem(NamedTuple):
    """An error in a settings file.

    :param path: JSON path of the value, such as ``hosts[2].caller_port``;
        ``$`` for the whole file.
    :param value: the invalid value, shortened, or ``''`` if there is none.
    :param message: why the value is invalid.
    :param remedy: how to correct it, with what is expected.
    """

    path: str
    value: str
    message: str
    remedy: str

    def __str__(self) -> str:
        shown = f' = {self.value}' if self.value else ''
        place = 'settings file' if self.path == '$' else self.path
        return f'{place}{shown}: {self.message}; {self.remedy}'


def find_problems(document: Any) -> list[Problem]:
    """Check a document against the schema and its parts against each other.

    Cross checks skip values of the wrong type, which the schema check reports;
    so they can run on any document, and one call finds all problems.

    :param document: the settings as decoded from JSON.
    """
    problems = list(_find_schema_problems(document))
    if isinstance(document, dict):
        for find in CROSS_CHECKS:
            problems.extend(find(document))
    return problems


def _find_schema_problems(document: Any) -> Iterator[Problem]:
    validator = jsonschema.Draft202012Validator(settings_schema.SCHEMA)
    found = sorted(
        validator.iter_errors(document), key=lambda error: error.json_path
    )
    for error in found:
        yield from _to_problems(error)


def _to_problems(error: jsonschema.ValidationError) -> Iterator[Problem]:
    path = error.json_path.removeprefix('$').removeprefix('.')
    kind, wanted = error.validator, error.validator_value
    if kind == 'required':
        for key in wanted:
            if key not in error.instance and f"'{key}'" in error.message:
                yield _problem(
                    _join(path, key), None, 'required key is missing', 'add it'
                )
        return
    if kind == 'additionalProperties':
        remedy = settings_schema.remedy_for(kind, error.schema['properties'])
        for key in sorted(
            set(error.instance) - set(error.schema['properties'])
        ):
            yield _problem(_join(path, key), None, 'unknown key', remedy)
        return
    remedy = settings_schema.remedy_for(kind, wanted) + _unit_of(path)
    value = error.instance
    if wanted == settings_schema.HASH_PATTERN:
        # It may be the secret itself, written in place of its digest.
        value = REDACTED
    yield _problem(path or '$', value, _MESSAGES.get(kind, kind), remedy)


_MESSAGES = {
    'type': 'has the wrong type',
    'enum': 'is not one of the allowed values',
    'const': 'is not the allowed value',
    'minItems': 'has too few items',
    'minimum': 'is too small',
    'maximum': 'is too large',
    'exclusiveMinimum': 'is too small',
    'pattern': 'has the wrong form',
}


def _unit_of(path: str) -> str:
    for suffix, unit in (('_s', 'seconds'), ('_bytes', 'bytes')):
        if path.endswith(suffix):
            return f', in {unit}'
    return ''


def _join(path: str, key: str) -> str:
    return f'{path}.{key}' if path else key


def _problem(path: str, value: Any, message: str, remedy: str) -> Problem:
    if value is None:
        shown = ''
    elif value is REDACTED:
        shown = REDACTED
    else:
        shown = repr(value)
        if len(shown) > MAX_SHOWN_CHARACTERS:
            shown = shown[: MAX_SHOWN_CHARACTERS - 3] + '...'
    return Problem(path, shown, message, remedy)


class _Item(NamedTuple):
    path: str
    item: dict[str, Any]


def _items(document: dict[str, Any], key: str) -> list[_Item]:
    found = document.get(key)
    if not isinstance(found, list):
        return []
    return [
        _Item(f'{key}[{index}]', item)
        for index, item in enumerate(found)
        if isinstance(item, dict)
    ]


def _endpoints(document: dict[str, Any]) -> list[_Item]:
    return [
        _Item(f'{pool.path}.{inner.path}', inner.item)
        for pool in _items(document, 'pools')
        for inner in _items(pool.item, 'endpoints')
    ]


def _check_addresses(document: dict[str, Any]) -> Iterator[Problem]:
    for path, host in _items(document, 'hosts'):
        for key in ('address', 'admin_address'):
            yield from _check_ip(f'{path}.{key}', host.get(key))
    for path, address in _remote_addresses(document):
        yield from _check_ip_port(path, address)


def _remote_addresses(document: dict[str, Any]) -> Iterator[tuple[str, Any]]:
    for path, endpoint in _endpoints(document):
        yield f'{path}.address', endpoint.get('address')
    for key in ('keyvalue', 'weight_store', 'host_list'):
        part = document.get(key)
        if isinstance(part, dict):
            yield f'{key}.address', part.get('address')


def _check_ip(path: str, value: Any, shown: Any = None) -> Iterator[Problem]:
    if not isinstance(value, str):
        return
    try:
        ipaddress.IPv4Address(value)
    except ValueError:
        yield _problem(
            path,
            shown or value,
            'is not an IPv4 address',
            'write an address such as 10.0.0.7; host names are not resolved',
        )


def _check_ip_port(path: str, value: Any) -> Iterator[Problem]:
    if not isinstance(value, str):
        return
    ip, _, port = value.rpartition(':')
    bad_port = not port.isascii() or not port.isdigit()
    if bad_port or not 0 < int(port) < 65536:
        yield _problem(
            path,
            value,
            'has no port number from 1 to 65535',
            'write IP:PORT such as 10.0.0.7:7100',
        )
        return
    yield from _check_ip(path, ip, shown=value)


def _check_port_conflicts(document: dict[str, Any]) -> Iterator[Problem]:
    users = collections.defaultdict(list)
    for path, host in _items(document, 'hosts'):
        for address_key, port_key in (
            ('address', 'caller_port'),
            ('admin_address', 'admin_port'),
            ('address', 'peer_port'),
        ):
            address, port = host.get(address_key), host.get(port_key)
            if isinstance(address, str) and isinstance(port, int):
                users[f'{address}:{port}'].append(f'{path}.{port_key}')
    for path, address in _remote_addresses(document):
        if isinstance(address, str):
            users[address].append(path)
    for address, paths in users.items():
        for path in paths[1:]:
            yield _problem(
                path,
                address,
                f'is already used by {paths[0]}',
                'give each listener an address and port of its own',
            )


def _check_failure_domains(document: dict[str, Any]) -> Iterator[Problem]:
    declared = document.get('failure_domains')
    if not isinstance(declared, list):
        return
    for path, item in _items(document, 'hosts') + _endpoints(document):
        domain = item.get('failure_domain')
        if isinstance(domain, str) and domain not in declared:
            yield _problem(
                f'{path}.failure_domain',
                domain,
                'is not listed in failure_domains',
                'add it there'
                + (
                    ' or use one of ' + ', '.join(map(str, declared))
                    if declared
                    else ''
                ),
            )


def _check_unique_names(document: dict[str, Any]) -> Iterator[Problem]:
    domains = document.get('failure_domains')
    if isinstance(domains, list):
        yield from _find_duplicates(
            (f'failure_domains[{index}]', name)
            for index, name in enumerate(domains)
        )
    for found in (
        _items(document, 'hosts'),
        _items(document, 'pools'),
        _endpoints(document),
    ):
        yield from _find_duplicates(
            (f'{path}.name', item.get('name')) for path, item in found
        )
    yield from _find_duplicates(
        (f'{path}.model', item.get('model'))
        for path, item in _items(document, 'pools')
    )


def _find_duplicates(named: Iterator[tuple[str, Any]]) -> Iterator[Problem]:
    first: dict[str, str] = {}
    for path, name in named:
        if not isinstance(name, str):
            continue
        if name in first:
            yield _problem(
                path,
                name,
                f'is already used by {first[name]}',
                'choose a unique name',
            )
        first.setdefault(name, path)


def _rows(
    document: dict[str, Any], sheet: str
) -> Iterator[tuple[str, dict[str, Any]]]:
    table = document.get('initial_table')
    rows = table.get(sheet) if isinstance(table, dict) else None
    if isinstance(rows, dict):
        for name, row in rows.items():
            if isinstance(row, dict):
                yield name, row


def _check_initial_cells(document: dict[str, Any]) -> Iterator[Problem]:
    cells = {
        f'{sheet}/{row}/{column}': value
        for sheet in table.SHEETS
        for row, values in _rows(document, sheet)
        for column, value in values.items()
    }
    problems = table.problems_of(cells)
    # Rules across rows are evaluated only if every cell is valid: drop the
    # invalid cells, so that both kinds of problems are found in one call.
    for problem in problems:
        cells.pop(problem.cell, None)
    problems += table.problems_of(cells, _configured_names(document))
    for problem in problems:
        value = REDACTED if problem.cell.endswith('/keys') else problem.value
        yield _problem(
            'initial_table.' + problem.cell.replace('/', '.'),
            value,
            problem.reason,
            problem.remedy,
        )


def _configured_names(document: dict[str, Any]) -> table.ConfiguredNames:
    pools = {
        str(pool.item.get('name')): _names(_items(pool.item, 'endpoints'))
        for pool in _items(document, 'pools')
        if pool.item.get('kind') == 'model'
    }
    return table.ConfiguredNames(
        pools,
        frozenset(_names(_endpoints(document))),
        frozenset(_names(_items(document, 'hosts'))),
    )


def _names(items: list[_Item]) -> tuple[str, ...]:
    return tuple(str(item.get('name')) for _, item in items)


def _check_pool_minimums(document: dict[str, Any]) -> Iterator[Problem]:
    rows = dict(_rows(document, 'pools'))
    for path, pool in _items(document, 'pools'):
        if pool.get('kind') != 'model':
            continue
        roles = [item.get('role') for _, item in _items(pool, 'endpoints')]
        row = rows.get(str(pool.get('name')), {})
        for role in ('prefill', 'decode'):
            least = row.get(f'min_{role}', 1)
            if not isinstance(least, int) or roles.count(role) >= least:
                continue
            yield _problem(
                f'{path}.endpoints',
                None,
                f'{roles.count(role)} endpoints start in role {role}, but '
                f'min_{role} of the pool is {least}',
                f'give this role to at least {least} or lower min_{role}',
            )


CROSS_CHECKS = (
    _check_addresses,
    _check_port_conflicts,
    _check_failure_domains,
    _check_unique_names,
    _check_initial_cells,
    _check_pool_minimums,
)
