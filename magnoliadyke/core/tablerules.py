"""Checks the operators' table across rows and against the settings."""

from collections.abc import Iterable
from collections.abc import Mapping
from typing import NamedTuple

from magnoliadyke.core import schema

__all__ = ['ConfiguredNames', 'problems']


class ConfiguredNames(NamedTuple):
    """Names in the settings, for the checks across rows.

    :param pools: names of the endpoints of each pool of model engines.
    :param endpoints: names of all endpoints.
    :param hosts: names of all hosts.
    """

    pools: Mapping[str, tuple[str, ...]]
    endpoints: frozenset[str]
    hosts: frozenset[str]


def problems(
    cells: schema.Cells, configured_names: ConfiguredNames | None
) -> list[schema.Problem]:
    """Problems of valid cells that concern several rows or the settings.

    :param configured_names: names in the settings; None skips the checks
        on them.
    """
    found = _shared_keys(cells)
    if configured_names is not None:
        found += _unknown_rows(cells, configured_names)
        found += _undersized_pools(cells, configured_names)
        found += _all_drained(cells, configured_names)
    return found


def _shared_keys(cells: schema.Cells) -> list[schema.Problem]:
    owners: dict[str, str] = {}
    problems = []
    for cell, value in sorted(cells.items()):
        if not cell.startswith('customers/') or not cell.endswith('/keys'):
            continue
        for key in value:
            owner = owners.setdefault(key, cell)
            if owner != cell:
                remedy = 'remove it there in the same edit, or use another key'
                reason = f'the key is also in {owner}'
                problems.append(schema.Problem(cell, key, reason, remedy))
    return problems


def _unknown_rows(
    cells: schema.Cells, configured_names: ConfiguredNames
) -> list[schema.Problem]:
    known = {
        'pools': set(configured_names.pools),
        'endpoints': configured_names.endpoints,
        'hosts': configured_names.hosts,
    }
    problems = []
    for cell, value in cells.items():
        sheet, row, _ = cell.split('/')
        if sheet in known and row not in known[sheet]:
            names = ', '.join(sorted(known[sheet]))
            reason = f'the settings name no {row!r} among the {sheet}'
            problems.append(
                schema.Problem(cell, value, reason, f'use one of {names}')
            )
    return problems


def _undersized_pools(
    cells: schema.Cells, configured_names: ConfiguredNames
) -> list[schema.Problem]:
    rows = schema.view_of(cells, 0)
    problems = []
    for pool, endpoints in configured_names.pools.items():
        row = rows.pool(pool)
        required = row.min_prefill + row.min_decode
        working = [e for e in endpoints if rows.endpoint(e).state == 'in']
        if len(working) >= required or not _mentions_pool(
            cells, pool, endpoints
        ):
            continue
        reason = (
            f"{len(working)} endpoints of the pool have state 'in'; "
            f'at least {required} are required '
            f'(min_prefill {row.min_prefill} + min_decode {row.min_decode})'
        )
        remedy = (
            'in the same edit, lower min_prefill or min_decode or set '
            "endpoints to 'in'"
        )
        cell = f'pools/{pool}/min_decode'
        problems.append(schema.Problem(cell, row.min_decode, reason, remedy))
    return problems


def _mentions_pool(
    cells: schema.Cells, pool: str, endpoints: Iterable[str]
) -> bool:
    rows = {f'pools/{pool}', *(f'endpoints/{e}' for e in endpoints)}
    return any(cell.rpartition('/')[0] in rows for cell in cells)


def _all_drained(
    cells: schema.Cells, configured_names: ConfiguredNames
) -> list[schema.Problem]:
    drained = {
        cell.split('/')[1]
        for cell, value in cells.items()
        if cell.startswith('hosts/') and value == 'drain'
    }
    if not configured_names.hosts or configured_names.hosts - drained:
        return []
    cell = f'hosts/{min(drained)}/state'
    reason = (
        f"all {len(configured_names.hosts)} hosts would have state 'drain'"
    )
    remedy = "leave at least one host 'in'"
    return [schema.Problem(cell, 'drain', reason, remedy)]
