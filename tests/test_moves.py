"""Moving an answer, with the dispatcher and the engines as fakes."""

import types

import gevent
import pytest

from magnoliadyke.core import jobs
from magnoliadyke import errors
from magnoliadyke import moves
from magnoliadyke import streams

KV = {'address': '192.0.2.1:1', 'kv_id': 'k'}


class Engine:
    """An engine that exports, or not."""

    def __init__(self, outcome):
        self.outcome = outcome
        self.exported = []

    def export(self, attempt):
        self.exported.append(attempt)
        if isinstance(self.outcome, Exception):
            raise self.outcome
        return self.outcome


def make_run(places, outcome=KV):
    """A run on an engine; the dispatcher names these places in turn."""
    left = list(places)
    dispatcher = types.SimpleNamespace(
        ask=lambda message, timeout_s: left.pop(0) if left else '',
        clock=None,
        host='h1',
    )
    task = types.SimpleNamespace(dispatcher=dispatcher, clock=None)
    job = jobs.Job('j', 'c', 'p', repeatable=False)
    run = streams.ModelRun('key', job, {}, 'digest', task, None)
    run.engine = Engine(outcome)
    run.attempt_id = 'digest-1'
    run.number = 1
    return run


def test_the_place_is_found_before_the_stream_is_stopped():
    # The answer would end in the middle: its engine has stopped it, and no
    # other engine takes work.
    run = make_run([])
    assert not moves.Move(run).done()
    assert run.engine.exported == []


@pytest.mark.parametrize(
    'outcome', [None, errors.EndpointUnreachable('away', sent=True)]
)
def test_a_stream_that_is_not_exported_stays(outcome):
    run = make_run(['e2'], outcome)
    assert not moves.Move(run).done()


def test_an_engine_that_refuses_is_passed_over():
    # A request that may not be repeated would end as unknown: it was moved
    # just when the chosen engine's queue was full. That engine has not run
    # it, so a further one is asked.
    run = make_run(['e2', 'e3'])
    asked = []

    def decode(name, work):
        asked.append((name, work['id'], work['kv']))
        if name == 'e2':
            return jobs.Failed(name, 'decode', ran=False)
        return 'answer'

    run.decode = decode
    run.moving = moves.Move(run)
    gevent.sleep(0)
    assert run.read_on('e1') == 'answer'
    assert asked == [('e2', 'digest-2', KV), ('e3', 'digest-3', KV)]


def test_refusals_of_all_come_to_an_end():
    run = make_run(['e2'] * 9)
    run.decode = lambda name, work: jobs.Failed(name, 'decode', ran=False)
    run.moving = moves.Move(run)
    assert run.read_on('e1').ran is False
    assert run.number == 1 + moves.MOST_PLACES
