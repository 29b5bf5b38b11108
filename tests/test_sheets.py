"""Tests of sheets as CSV."""

import pytest

from magnoliadyke import errors
from magnoliadyke import sheets

KEY = 'sha256:' + '0' * 64
CELLS = {
    'customers/lease/weight': 8,
    'customers/lease/keys': [KEY],
    'customers/portal/weight': 2,
    'customers/portal/met_share': 0.9,
    'pools/lease-model/planning': 'fixed',
}


def exported():
    return sheets.write_csv(CELLS, 'customers', 12)


def test_exported_sheet_changes_nothing():
    sheet = sheets.read_csv(exported())
    assert (sheet.name, sheet.revision) == ('customers', 12)
    assert sheet.changes(CELLS) == {}


def test_only_edited_cells_are_changes():
    text = exported().replace('portal,2', 'portal,3')
    changes = sheets.read_csv(text).changes(CELLS)
    assert changes == {'customers/portal/weight': 3}


def test_row_left_out_of_an_export_is_removed():
    text = '\n'.join(
        line
        for line in exported().splitlines()
        if not line.startswith('portal')
    )
    assert sheets.read_csv(text).changes(CELLS) == {
        'customers/portal/weight': None,
        'customers/portal/met_share': None,
    }


def test_file_written_by_hand_removes_nothing():
    sheet = sheets.read_csv('customers,weight\nfloor,4\n')
    assert sheet.revision is None
    assert sheet.changes(CELLS) == {'customers/floor/weight': 4}


@pytest.mark.parametrize(
    ('text', 'message'),
    [
        ('', 'names no sheet'),
        ('customer,weight\n', 'names no sheet'),
        ('customers@x,weight\n', 'names no sheet'),
        ('customers,weight\nlease,1,2\n', 'row 2 has more values'),
    ],
)
def test_file_that_is_no_sheet(text, message):
    with pytest.raises(errors.UsageError, match=message):
        sheets.read_csv(text)


def test_cell_that_cannot_be_read():
    sheet = sheets.read_csv('customers,weight\nlease,heavy\n')
    with pytest.raises(errors.UsageError, match='customers/lease/weight'):
        sheet.changes(CELLS)


def test_cells_as_they_were():
    history = [
        {'revision': 14, 'cells': {'a': {'old': 2, 'new': 3}}},
        {'revision': 13, 'cells': {'a': {'old': 1, 'new': 2}}},
        {'revision': 12, 'cells': {'a': {'old': 0, 'new': 1}}},
    ]
    assert sheets.base_cells({'a': 3, 'b': 1}, history, 12) == {
        'a': 1,
        'b': 1,
    }
