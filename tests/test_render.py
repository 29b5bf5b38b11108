"""Tests of text for people."""

import pytest

from magnoliadyke import render


@pytest.mark.parametrize(
    ('value', 'shown'),
    [
        (None, '-'),
        (True, 'yes'),
        (0.123456, '0.1235'),
        (['sha256:' + '0' * 64], '1 hashed'),
        (['a', 'b'], 'a,b'),
        ([], '-'),
        ('x' * 60, 'x' * 45 + '...'),
    ],
)
def test_cell(value, shown):
    assert render.cell(value) == shown


def test_numbers_stand_to_the_right():
    assert render.columns(['name', 'n'], [['a', 5], ['bcdef', 12]]) == (
        'name    n\na       5\nbcdef  12'
    )


def test_alert_and_causes_of_a_burn_report():
    text = render.burn(
        {
            'customers': [
                {
                    'name': 'lease',
                    'objective': 0.95,
                    'windows': [
                        {
                            'window_s': 300,
                            'burn_rate': 20.0,
                            'bad': 10,
                            'total': 10,
                        }
                    ],
                    'alerts': [{'severity': 'page'}],
                    'causes': {'queue': 10},
                }
            ]
        }
    )
    assert 'ALERT severity=page' in text
    assert 'causes: queue 10' in text


@pytest.mark.parametrize(
    ('state', 'body', 'text'),
    [
        ('unchanged', {}, 'nothing to change'),
        ('accepted', {'revision': 3, 'laggards': ['a']}, 'not yet in force'),
        ('pending', {'staged_revision': 3, 'missing': ['a']}, 'override'),
        ('later', {'x': 1}, 'later'),
    ],
)
def test_edit(state, body, text):
    assert text in render.edit(state, body)
