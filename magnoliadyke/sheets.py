"""Table sheets as CSV files, which spreadsheets read and write."""

import csv
import io
import json
from typing import Any
from typing import Iterable
from typing import Mapping
from typing import NamedTuple

from magnoliadyke import errors

__all__ = [
    'ImportedSheet',
    'base_cells',
    'changed_cells',
    'parse_value',
    'read_csv',
    'write_csv',
]


class ImportedSheet(NamedTuple):
    """What a CSV file says.

    :param sheet: name of the sheet.
    :param base_revision: revision that it was exported from, if it tells.
    :param cells: value of each cell, ``None`` for an empty one.
    """

    sheet: str
    base_revision: int | None
    cells: Mapping[str, Any]


def parse_value(text: str) -> Any:
    """Read a cell's value as JSON, or as a string where it isn't JSON.

    :param text: what the operator wrote.
    """
    try:
        return json.loads(text)
    except ValueError:
        return text


def format_value(value: Any) -> str:
    """Write a cell's value so that ``parse_value`` reads it back.

    :param value: the value, ``None`` for a cell that is not set.
    """
    if value is None:
        return ''
    if isinstance(value, str) and parse_value(value) == value:
        return value
    return json.dumps(value)


def write_csv(table: Mapping[str, Any], sheet: str) -> str:
    """Write one sheet; its revision stands in the first heading.

    :param table: the table as the admin interface gives it.
    :param sheet: name of the sheet.
    """
    columns = [column['name'] for column in _sheet(table, sheet)['columns']]
    out = io.StringIO()
    writer = csv.writer(out, lineterminator='\n')
    writer.writerow([f'{sheet}@{table["revision"]}', *columns])
    for name, row in sorted(table['sheets'][sheet]['rows'].items()):
        values = [format_value(row.get(column)) for column in columns]
        writer.writerow([name, *values])
    return out.getvalue()


def read_csv(text: str) -> ImportedSheet:
    """Read a sheet that ``write_csv`` or a spreadsheet wrote.

    :param text: content of the file.
    :raises UsageError: if it is no such sheet.
    """
    lines = [line for line in csv.reader(io.StringIO(text)) if any(line)]
    if not lines or not lines[0][0]:
        raise errors.UsageError(
            'the file has no heading',
            "write SHEET or SHEET@REVISION and the columns' names first",
        )
    (corner, *columns), rows = lines[0], lines[1:]
    sheet, _, revision = corner.strip().lstrip('\ufeff').partition('@')
    if revision and not revision.isdigit():
        raise errors.UsageError(
            f'{corner!r} has no revision after the @',
            'write SHEET or SHEET@REVISION',
        )
    cells = {}
    for number, (name, *values) in enumerate(rows, start=2):
        if len(values) > len(columns):
            raise errors.UsageError(
                f'line {number} has more values than the heading',
                'remove them or quote the values that hold commas',
            )
        for column, value in zip(columns, values, strict=False):
            cell = f'{sheet}/{name.strip()}/{column.strip()}'
            cells[cell] = parse_value(value) if value.strip() else None
    return ImportedSheet(sheet, int(revision) if revision else None, cells)


def table_cells(table: Mapping[str, Any]) -> dict[str, Any]:
    """Give the set cells of a table, by cell id.

    :param table: the table as the admin interface gives it.
    """
    return {
        f'{sheet}/{row}/{column}': value
        for sheet, content in table['sheets'].items()
        for row, columns in content['rows'].items()
        for column, value in columns.items()
    }


def base_cells(
    table: Mapping[str, Any],
    history: Iterable[Mapping[str, Any]],
    base_revision: int,
) -> dict[str, Any]:
    """Give the cells as they were at an older revision.

    :param table: the table of today.
    :param history: its changes, newest first.
    :param base_revision: the older revision.
    """
    cells = table_cells(table)
    for entry in history:
        if entry['revision'] <= base_revision:
            break
        for cell, change in entry['cells'].items():
            cells[cell] = change['old']
    return cells


def changed_cells(
    cells: Mapping[str, Any], base: Mapping[str, Any]
) -> dict[str, Any]:
    """Keep what differs, so that an edit names no cell it doesn't change.

    :param cells: the wanted cells, ``None`` for one that is not to be set.
    :param base: the cells that they started from.
    """
    return {
        cell: value for cell, value in cells.items() if value != base.get(cell)
    }


def _sheet(table: Mapping[str, Any], sheet: str) -> Mapping[str, Any]:
    try:
        return table['sheets'][sheet]
    except KeyError:
        raise errors.UsageError(
            f'there is no sheet {sheet!r}',
            'use one of ' + ', '.join(sorted(table['sheets'])),
        ) from None
