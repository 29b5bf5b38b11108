"""Tests that the operators' page tells what the code does."""

import pathlib

from magnoliadyke.core import burn
from magnoliadyke.core import table

PAGE = pathlib.Path(__file__).parents[1] / 'docs' / 'OPERATIONS.md'


def test_page_lists_every_column_with_its_effect():
    text = PAGE.read_text()
    for column in table.SCHEMA:
        assert f'| `{column.sheet}` | `{column.name}` |' in text
        assert column.effect.replace("'", '`') in text


def test_page_lists_every_cause_and_rule():
    text = PAGE.read_text()
    for cause in burn.CAUSES:
        assert f'| `{cause}` |' in text
    for rule in burn.RULES:
        assert f'| {rule.severity} | {rule.factor:g} |' in text
