"""Tests of the capacity probes: they run, and their figures make sense."""

import json

import pytest

from magnoliadyke.lab import capacity
from magnoliadyke.lab import contentioncost
from magnoliadyke.lab import placementcost


@pytest.fixture(autouse=True)
def small(monkeypatch):
    monkeypatch.setattr(capacity, 'MEMBER_SIZES', (8, 16))
    monkeypatch.setattr(capacity, 'ENDPOINT_SIZES', (5, 20))
    monkeypatch.setattr(capacity, 'RECORD_SIZES', (100, 400))
    monkeypatch.setattr(capacity, 'CUSTOMER_SIZES', (2, 20))
    monkeypatch.setattr(contentioncost, 'ENGINE_SIZES', (4, 12))
    monkeypatch.setattr(contentioncost, 'CALLS', 20)
    monkeypatch.setattr(placementcost, 'MEASURED', 20)


def test_every_core_probe_runs_and_state_grows_with_what_it_holds(capsys):
    # A probe that calls what has been renamed is noticed only by whoever
    # next needs the page on capacity.
    assert capacity.main(['--json', '--only', 'core']) == 0
    rows = {row['name']: row for row in json.loads(capsys.readouterr().out)}
    assert rows['membership state']['slope'] > 100
    assert rows['remembered keys, answers shed']['slope'] > 100
    assert rows['the table']['slope'] > 100
    assert rows['the table']['at_target'] < 1_000_000
    assert rows['a request placed and ended']['base'] > 0
    assert rows['a stream, engines alike']['points'][0][1] > 0
    assert rows['learned paces']['slope'] > 0


def test_an_unknown_probe_is_named_with_the_known_ones():
    with pytest.raises(SystemExit, match='membership'):
        capacity.parse_probes('memberships')
