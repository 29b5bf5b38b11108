"""Tests for drawn schedules and schedule files."""

import random

import pytest

from magnoliadyke import errors
from magnoliadyke.lab import injector
from magnoliadyke.lab import schedules

TARGETS = schedules.Targets(('h1', 'h2'), ('e1',), ('e1', 's1'), ('d1',))


def test_drawn_schedules_are_valid_and_the_same_again():
    kinds = set()
    for seed in range(len(schedules.KINDS)):
        drawn = schedules.draw(TARGETS, random.Random(seed), 2, seed)
        again = schedules.draw(TARGETS, random.Random(seed), 2, seed)
        assert drawn == again
        for fault in drawn:
            kind = schedules.KINDS[fault.kind]
            assert fault.target in TARGETS.names_of(kind.target)
            kinds.add(fault.kind)
    assert kinds == schedules.KINDS.keys() - schedules.EXCLUDED_KINDS


def test_every_kind_can_be_injected():
    for kind in schedules.KINDS:
        assert callable(getattr(injector.Injector, kind))


def test_file_is_read_in_order():
    lines = [
        '{"at_s": 9, "kind": "kill_host", "target": "h2", "for_s": 2}',
        '',
        '{"at_s": 3, "kind": "store_slow", "with": {"delay_s": 1}}',
    ]
    faults = schedules.read(lines, 'f', TARGETS, random.Random(1))
    assert [fault.kind for fault in faults] == ['store_slow', 'kill_host']
    assert faults[0].detail == {'delay_s': 1}
    assert faults[1][:4] == (9.0, 'kill_host', 'h2', 2.0)


@pytest.mark.parametrize(
    ('line', 'reason'),
    [
        ('{"at_s": 1, "kind": "flood"}', 'none of kill_host'),
        ('{"at_s": 1, "kind": "kill_host", "target": "x"}', 'of h1, h2'),
        ('{"kind": "kill_host"}', 'at_s'),
        ('nonsense', 'line 1'),
    ],
)
def test_bad_line_is_named(line, reason):
    with pytest.raises(errors.UsageError) as caught:
        schedules.read([line], 'f', TARGETS, random.Random(1))
    assert reason in str(caught.value)
    assert 'f, line 1' in str(caught.value)
