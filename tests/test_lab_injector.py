"""Tests of how the lab causes faults."""

import time

import gevent

from magnoliadyke.lab import injector
from magnoliadyke.lab import observer
from magnoliadyke.lab import schedules


class Editors:
    """Operators whose edits are accepted at once."""

    def __init__(self):
        self.undone_s = []

    def post(self, path, body):
        if body.get('undo'):
            self.undone_s.append(time.time())
        return observer.EditOutcome(time.time(), 'accepted', 1, 0.0)


def test_a_drain_ends_when_another_operator_takes_the_endpoint_in():
    # Two operators drain one endpoint. The first takes it in again, nodes
    # give it work as the table says, and the second drain, still under way
    # for the lab, made that work a violation.
    editors = Editors()
    lab = injector.Injector(None, editors, None)
    drains = [
        schedules.Fault(0.0, 'drain_endpoint', 'e1', for_s, {})
        for for_s in (0.01, 0.05)
    ]
    gevent.joinall([gevent.spawn(lab.inject, drain) for drain in drains])
    assert len(lab.departures) == 2
    for departure in lab.departures:
        assert departure.at_s <= departure.returned_s <= editors.undone_s[0]
