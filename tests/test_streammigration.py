"""Moving an answer, with the dispatcher and the engines as fakes."""

import types

import gevent
import pytest

from magnoliadyke.core import jobs
from magnoliadyke import errors
from magnoliadyke import streammigration
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


class Pump:
    """A connection on which an answer comes in."""

    connections = types.SimpleNamespace(is_suspect=lambda: False)

    def __init__(self, run):
        self.target_run = run

    def check(self, now_s, suspect):
        """The connection is well."""
        return False

    def progress(self):
        """Nothing to report."""


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
    run.attempt_number = 1
    return run


def test_the_place_is_found_before_the_stream_is_stopped():
    # The answer would end in the middle: its engine has stopped it, and no
    # other engine takes work.
    run = make_run([])
    assert not streammigration.StreamMigration(run).wait_for_export()
    assert run.engine.exported == []


@pytest.mark.parametrize(
    'outcome', [None, errors.EndpointUnreachable('away', sent=True)]
)
def test_a_stream_that_is_not_exported_stays(outcome):
    run = make_run(['e2'], outcome)
    assert not streammigration.StreamMigration(run).wait_for_export()


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
    run.migration = streammigration.StreamMigration(run)
    gevent.sleep(0)
    assert run.resume_attempt('e1') == 'answer'
    assert asked == [('e2', 'digest-2', KV), ('e3', 'digest-3', KV)]


def test_refusals_of_all_come_to_an_end():
    run = make_run(['e2'] * 9)
    run.decode = lambda name, work: jobs.Failed(name, 'decode', ran=False)
    run.migration = streammigration.StreamMigration(run)
    assert run.resume_attempt('e1').ran is False
    assert run.attempt_number == 1 + streammigration.MAX_TARGETS


def test_a_stream_that_found_no_place_at_first_is_moved_later():
    # It would stand still for the whole change: at the moment of the first
    # try no other engine took work.
    run = make_run(['', 'e2'])
    run.assembly.offset = 5
    run.engine.name = 'e1'
    run.dispatcher.changing = {'e1': 0.0}
    clock = types.SimpleNamespace(now_s=lambda: 10.0)
    watch = streams.Streams(run.dispatcher, clock)
    watch.pumps.add(Pump(run))
    tried = []
    for _ in range(9):
        watch.tick()
        gevent.sleep(0)
        tried.append(len(run.engine.exported))
    assert tried[0] == 0
    assert tried[-1] == 1
