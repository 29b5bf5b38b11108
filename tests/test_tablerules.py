"""Tests for rules that concern several rows."""

import pytest

from magnoliadyke.core import tablerules

KEY = 'sha256:' + 'a' * 64
INVENTORY = tablerules.ConfiguredNames(
    {'lease-model': ('e1', 'e2', 'e3')},
    frozenset({'e1', 'e2', 'e3', 's1'}),
    frozenset({'h1', 'h2'}),
)


@pytest.mark.parametrize(
    ('cells', 'reason'),
    [
        ({'endpoints/nobody/state': 'drain'}, 'use one of e1, e2, e3, s1'),
        ({'pools/lease-model/min_decode': 3}, 'lower min_prefill'),
        (
            {'endpoints/e1/state': 'drain', 'endpoints/e2/state': 'drain'},
            "1 endpoints of the pool have state 'in'; at least 2 are required",
        ),
        (
            {'customers/a/keys': [KEY], 'customers/b/keys': [KEY]},
            'the key is also in customers/a/keys',
        ),
        (
            {'hosts/h1/state': 'drain', 'hosts/h2/state': 'drain'},
            "all 2 hosts would have state 'drain'",
        ),
    ],
)
def test_rows_that_do_not_go_together(cells, reason):
    (problem,) = tablerules.problems(cells, INVENTORY)
    assert reason in str(problem)


def test_one_of_several_may_be_drained():
    cells = {'endpoints/e1/state': 'drain', 'hosts/h1/state': 'drain'}
    assert tablerules.problems(cells, INVENTORY) == []
