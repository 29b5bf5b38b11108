"""Tests of how one node keeps suspects apart."""

import random

from magnoliadyke.core import jobs
from magnoliadyke.core import quarantine
from magnoliadyke.core import scheduler

SETTLE_S = quarantine.DEFAULT_SETTINGS.settle_s


def make_plan():
    infos = [
        jobs.EndpointInfo(name, 'p', 'model', '') for name in ('d1', 'd2')
    ]
    return scheduler.Scheduler(infos, random.Random(1))


def make_job(job_id, **fields):
    return jobs.Job(
        job_id, 'lease', 'p', 'model', 'm', 100, 50, (), 5, **fields
    )


def crash(plan, now_s):
    """Run two jobs on one engine, and let it die."""
    plan.set_endpoint_state('d2', 'leaving', now_s)
    for job_id in ('j1', 'j2'):
        plan.submit(make_job(job_id, fingerprint=job_id), now_s)
    plan.set_endpoint_state('d2', 'up', now_s)
    plan.set_endpoint_state('d1', 'crashed', now_s)
    for job_id in ('j1', 'j2'):
        failed = jobs.Failed('d1', 'decode', ran=True, crashed=True)
        assert plan.record_result(job_id, failed, now_s) == []


def test_batch_mates_wait_and_then_run_alone_one_by_one():
    plan = make_plan()
    crash(plan, 0.0)
    assert plan.tick(SETTLE_S - 0.1) == []
    (action,) = plan.tick(SETTLE_S)
    assert action.is_only_job
    assert plan.tick(SETTLE_S + 1.0) == []
    result = jobs.Finished(100, 50, 0)
    plan.record_result(action.job_id, result, SETTLE_S + 1.0)
    (other,) = plan.tick(SETTLE_S + 1.1)
    assert {action.job_id, other.job_id} == {'j1', 'j2'}


def test_the_engine_of_a_suspect_is_kept_from_others():
    plan = make_plan()
    crash(plan, 0.0)
    (action,) = plan.tick(SETTLE_S)
    job = make_job('j3', arrived_s=SETTLE_S, first_token_s=0.1)
    assert action.endpoint == 'd2'
    assert plan.submit(job, SETTLE_S) == []


def test_a_convicted_job_and_its_resend_are_rejected():
    plan = make_plan()
    crash(plan, 0.0)
    (action,) = plan.tick(SETTLE_S)
    failed = jobs.Failed('d2', 'decode', ran=True, crashed=True)
    (rejected,) = plan.record_result(action.job_id, failed, SETTLE_S + 1.0)
    assert rejected.outcome.reason == 'crashes_endpoints'
    resend = make_job('j4', fingerprint=action.job_id)
    (refusal,) = plan.submit(resend, SETTLE_S + 1.1)
    assert refusal.outcome.reason == 'crashes_endpoints'
