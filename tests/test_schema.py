"""Tests for columns, rows and single cells."""

import pytest

from magnoliadyke.core import schema


def test_schema_matches_rows():
    for sheet, row_type in schema.ROW_TYPES.items():
        columns = {c.name: c for c in schema.SCHEMA if c.sheet == sheet}
        assert set(columns) == set(row_type._fields)
        for name, default in row_type._field_defaults.items():
            assert columns[name].default == default
            assert columns[name].effect.endswith('.')


@pytest.mark.parametrize(
    ('cell', 'value', 'remedy'),
    [
        ('customers/lease/weight', -1, 'from 0.001 to 1e+06 (share)'),
        ('customers/lease/weight', '5', 'a number from'),
        ('customers/lease/weight', True, 'a number from'),
        ('customers/lease/priority', 2.5, 'a whole number from 0 to 9'),
        ('customer/lease/weight', 1, 'use one of customers, pools'),
        ('customers/lease/colour', 1, 'use one of weight, concurrency'),
        ('customers/a/b/weight', 1, 'SHEET/ROW/COLUMN'),
        ('customers/lease/weight', '', 'unset the cell'),
        ('customers//weight', 1, 'printable'),
        ('customers/lease/keys', ['secret'], '64 lower-case hex'),
        ('pools/lease-model/planning', 'sometimes', 'auto, fixed'),
    ],
)
def test_bad_cell_names_cell_value_and_remedy(cell, value, remedy):
    (problem,) = schema.cell_problems({cell: value})
    assert cell in str(problem)
    assert repr(value) in str(problem)
    assert remedy in str(problem)


def test_cells_of_a_newer_release_are_passed_over():
    view = schema.view_of({'customers/lease/colour': 1, 'x': 2}, 3)
    assert view == schema.View(3, {}, {}, {}, {})
