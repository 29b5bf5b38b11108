"""Table sheets as CSV files, which spreadsheets read and write."""

import csv
import io
from typing import Any
from typing import Iterable
from typing import Mapping
from typing import NamedTuple

from magnoliadyke.core import table
from magnoliadyke import errors

__all__ = ['Sheet', 'base_cells', 'cells_of', 'read_csv', 'write_csv']


class Sheet(NamedTuple):
    """A sheet that was read from a CSV file.

    :param name: name of the sheet.
    :param revision: revision of the table that the file was exported from,
        None if its heading names none.
    :param lines: the heading and the rows, as texts.
    """

    name: str
    revision: int | None
    lines: list[list[str]]

    def changes(self, base: Mapping[str, Any]) -> dict[str, Any]:
        """Return the cells that the file changes, with their new values.

        A missing row is removed only if the file was exported: a file
        written by hand may list only the rows to change.

        :param base: the cells at the revision that the file was made from.
        :raises UsageError: if a column is unknown or a value is no number.
        """
        result = table.changes_from_rows(base, self.lines)
        if isinstance(result, table.Invalid):
            raise errors.UsageError(
                f'{len(result.problems)} cell(s) of the file are invalid:\n  '
                + '\n  '.join(str(problem) for problem in result.problems),
                'correct them; nothing was changed',
            )
        listed = {line[0] for line in self.lines[1:]}
        return {
            cell: value
            for cell, value in result.items()
            if self.revision is not None or cell.split('/')[1] in listed
        }


def write_csv(cells: Mapping[str, Any], sheet: str, revision: int) -> str:
    """Return one sheet as CSV; the first heading is ``SHEET@REVISION``.

    :param cells: the cells of the table that are set.
    :param sheet: name of the sheet.
    :param revision: revision of the table.
    """
    heading, *rows = table.rows_of(cells, sheet)
    out = io.StringIO()
    writer = csv.writer(out, lineterminator='\n')
    writer.writerow([f'{sheet}@{revision}', *heading[1:]])
    writer.writerows(rows)
    return out.getvalue()


def read_csv(text: str) -> Sheet:
    """Parse a sheet that ``write_csv`` or a spreadsheet wrote.

    :param text: content of the file.
    :raises UsageError: if the heading names no sheet, or a row is too long.
    """
    lines = [
        [value.strip() for value in line]
        for line in csv.reader(io.StringIO(text))
        if any(value.strip() for value in line)
    ]
    name, _, revision = lines[0][0].partition('@') if lines else ('', '', '')
    if name not in table.SHEETS or (revision and not revision.isdigit()):
        raise errors.UsageError(
            f'the first heading {lines[0][0] if lines else ""!r} names no '
            'sheet',
            'write SHEET or SHEET@REVISION there, SHEET being one of '
            + ', '.join(table.SHEETS),
        )
    heading, *rows = lines
    for number, row in enumerate(rows, start=2):
        if len(row) > len(heading):
            raise errors.UsageError(
                f'row {number} has more values than the heading: {len(row)}, '
                f'not {len(heading)} or fewer',
                'remove them, or quote the values that contain commas',
            )
    return Sheet(
        name,
        int(revision) if revision else None,
        [[name, *heading[1:]], *rows],
    )


def cells_of(shown: Mapping[str, Any]) -> dict[str, Any]:
    """Return the cells of a table that are set, by cell name.

    :param shown: the table as ``GET /admin/table`` returns it.
    """
    return {
        f'{sheet}/{row}/{column}': value
        for sheet, content in shown['sheets'].items()
        for row, columns in content['rows'].items()
        for column, value in columns.items()
    }


def base_cells(
    cells: Mapping[str, Any],
    history: Iterable[Mapping[str, Any]],
    revision: int,
) -> dict[str, Any]:
    """Return the cells that were set at an older revision.

    :param cells: the cells that are set now.
    :param history: the accepted edits, newest first.
    :param revision: the older revision.
    """
    base = dict(cells)
    for entry in history:
        if entry['revision'] <= revision:
            break
        for cell, change in entry['cells'].items():
            base[cell] = change['old']
    return {cell: value for cell, value in base.items() if value is not None}
