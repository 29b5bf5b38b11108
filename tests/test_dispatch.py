"""Tests of magnoliadyke.dispatch."""

import time
import types

import gevent
import logbook
import pytest

from magnoliadyke.core import jobs
from magnoliadyke.core import outcomes
from magnoliadyke.core import scheduler
from magnoliadyke import dispatch
from tests import requestpath


@pytest.fixture
def dispatcher():
    with requestpath.Bench() as bench:
        yield bench.nodes['host-1'].dispatcher


def job(name, **fields):
    return jobs.Job(
        name,
        'lease',
        requestpath.MODEL,
        model=requestpath.MODEL,
        prompt_tokens=3,
        output_tokens=3,
        arrived_s=time.monotonic(),
        **fields,
    )


def test_places_a_job(dispatcher):
    action = dispatcher.ask(dispatch.SubmitJob(job('a')), 2.0)
    assert action == scheduler.Dispatch('a', 'engine-1', None, False)


def test_an_error_of_the_scheduler_ends_the_wait(dispatcher):
    """The scheduler raises on a message; its run must not wait for good."""

    def broken(*arguments):
        raise RuntimeError('made by the test')

    dispatcher.scheduler.submit = dispatcher.scheduler.record_result = broken
    logged = logbook.TestHandler()
    with logged.applicationbound():
        refused = dispatcher.ask(dispatch.SubmitJob(job('a')), 2.0)
        assert isinstance(refused.outcome, outcomes.NotRun)
        failed = jobs.Failed('engine-1', 'decode', True)
        refused = dispatcher.ask(dispatch.JobFailed('a', failed), 2.0)
        assert isinstance(refused.outcome, outcomes.Unknown)
    assert 'made by the test' in logged.formatted_records[0]


def test_peers_hear_of_a_crash_before_the_caller_has_its_answer(dispatcher):
    # Without it an engine is lost for each host: the caller is told that the
    # engine died, sends the same request to the next host at once, and that
    # host has not heard yet that it is a suspect.
    seen = []
    dispatcher.digest.subscribe(types.SimpleNamespace(post=seen.append))
    dispatcher.ask(dispatch.SubmitJob(job('a', fingerprint='lease:x')), 2.0)
    failed = jobs.Failed('engine-1', 'decode', True, crashed=True)
    dispatcher.ask(dispatch.JobFailed('a', failed), 20.0)
    (crash,) = [m for m in seen if isinstance(m, dispatch.CrashReported)]
    assert crash.digest.suspects


def test_a_decision_that_nobody_waits_for_gives_the_slot_back(dispatcher):
    """The caller left while its request was being placed."""
    dispatcher.post(dispatch.SubmitJob(job('a')))
    dispatcher.post(dispatch.CancelJob('a'))
    gevent.sleep(0.1)
    assert 'a' not in dispatcher.scheduler.runs


def test_remembers_when_an_endpoint_was_away_for_a_change(dispatcher):
    dispatcher.record_role_change('engine-1', 'changing', 100.0)
    assert dispatcher.changing_s(requestpath.MODEL, 90.0, 103.0) == 3.0
    dispatcher.record_role_change('engine-1', 'up', 106.0)
    assert dispatcher.changing_s(requestpath.MODEL, 104.0, 200.0) == 2.0


def test_health_needs_two_lost_answers():
    seen = []
    owner = types.SimpleNamespace(post=seen.append)
    health = dispatch.HealthTracker(owner, 'engine-1')
    health.record_no_response()
    assert seen == []
    health.record_no_response()
    health.record_response('in')
    assert [each.state for each in seen] == ['crashed', 'up']


def test_only_endpoints_that_may_be_used_are_polled(dispatcher):
    # Each node of a large fleet would read the load of every runner twice a
    # second, and spend more on that than on its requests.
    names = {each.info.name for each in dispatcher.used_endpoints()}
    assert names == set(dispatcher.endpoints)
    dispatcher.scheduler.subset_names = lambda pool: []
    assert dispatcher.used_endpoints() == []


def test_other_nodes_are_told_of_long_prompts_only(dispatcher):
    # Nodes that share an engine would all choose the one that a late report
    # calls idle. Each tells what it gave an engine to read, but not of
    # prompts so short that the word would cost more than the wait.
    seen = []
    dispatcher.prompts.subscribe(types.SimpleNamespace(post=seen.append))
    long = scheduler.Dispatch('a', 'd1', 'p1', prompt_s=0.5)
    whole = scheduler.Dispatch('b', 'd1', prompt_s=0.4)
    short = scheduler.Dispatch('c', 'd1', 'p1', prompt_s=0.01)
    dispatcher.publish_prompts([long, whole, short])
    dispatcher.publish_prompts([short])
    (placed,) = seen
    assert placed.prompts == (('p1', 0.5), ('d1', 0.4))
