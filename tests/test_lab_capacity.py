"""Tests of the capacity probes: they run, and their figures make sense."""

import json

import pytest

from magnoliadyke.lab import capacity


def test_state_grows_with_what_it_holds(capsys):
    assert capacity.main(['--json', '--only', 'membership,table']) == 0
    rows = {row['name']: row for row in json.loads(capsys.readouterr().out)}
    assert rows['membership state']['slope'] > 100
    assert rows['the table']['slope'] > 100
    assert rows['the table']['at_target'] < 1_000_000


def test_an_unknown_probe_is_named_with_the_known_ones():
    with pytest.raises(SystemExit, match='membership'):
        capacity.chosen('memberships')
