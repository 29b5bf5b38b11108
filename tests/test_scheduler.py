"""Tests of the scheduler as a whole."""

import random

from magnoliadyke.core import jobs
from magnoliadyke.core import outcomes
from magnoliadyke.core import scheduler


def make_endpoints():
    return [
        jobs.EndpointInfo('p1', 'lease-model', 'model', '', role='prefill'),
        jobs.EndpointInfo('d1', 'lease-model', 'model', ''),
        jobs.EndpointInfo('s1', 'portal', 'service', ''),
    ]


def test_a_job_is_dispatched_and_forgotten():
    plan = scheduler.Scheduler(make_endpoints(), random.Random(1))
    job = jobs.Job('j1', 'lease', 'lease-model', prompt_tokens=100)
    actions = plan.submit(job, 0.0)
    assert [action.endpoint for action in actions] == ['d1']
    assert plan.finished('j1', jobs.Finished(100, 5), 1.0) == []
    assert plan.submit(jobs.Job('j2', 'portal', 'portal', 'service'), 0.0)


def test_a_failed_run_that_may_not_repeat_is_unknown():
    plan = scheduler.Scheduler(make_endpoints(), random.Random(1))
    plan.submit(
        jobs.Job('j1', 'portal', 'portal', 'service', repeatable=False), 0.0
    )
    failed = jobs.Failed('s1', 'decode', ran=True)
    (refusal,) = plan.finished('j1', failed, 0.1)
    assert isinstance(refusal.outcome, outcomes.Unknown)
