"""Tests of what finished work teaches."""

import random

import pytest

from magnoliadyke.core import admission
from magnoliadyke.core import costs
from magnoliadyke.core import jobs
from magnoliadyke.core import learning
from magnoliadyke.core import prefixes
from magnoliadyke.core import routing
from magnoliadyke.core import runs


def make_learner():
    models = costs.CostModels()
    cache_estimate = prefixes.PrefixCacheEstimate()
    router = routing.Router(models, cache_estimate, random.Random(1))
    return learning.Learner(models, cache_estimate, router)


def make_run(tokens=1000):
    job = jobs.Job('j', 'lease', 'p', 'model', 'm', tokens, 100)
    run = runs.Run(job, admission.Timing(2.0, 1.0), (0.2, 0.1))
    run.dispatched_s = 0.0
    run.prefill_undisturbed = True
    return run


def make_endpoint(role):
    info = jobs.EndpointInfo('e', 'p', 'model', '', role=role)
    return routing.Endpoint(info)


def test_the_time_since_the_last_prompt_is_the_cost():
    # Two prompts are sent at once. The second is read after the first, so
    # its own cost is not the time since it was sent.
    learner = make_learner()
    endpoint = make_endpoint('prefill')
    for number in range(1, 300):
        learner.record_prefill_done(make_run(), endpoint, number * 0.5)
    ratio = learner.models.cost_model('m').prefill.ratio
    assert ratio == pytest.approx(0.0005, rel=0.1)


def test_a_slow_endpoint_is_known_among_others():
    learner = make_learner()
    paces_s = (0.08, 0.02, 0.02, 0.02, 0.02)
    endpoints = [make_endpoint('decode') for _ in paces_s]
    for _ in range(50):
        for endpoint, pace_s in zip(endpoints, paces_s, strict=True):
            run = make_run()
            run.join_stream(endpoint, 0.0)
            run.start_stream(0.0)
            run.first_token_s = 1.0
            result = jobs.Finished(1000, 101, 0)
            learner.record_finish(run, result, 1.0 + 100 * pace_s)
            run.leave_stream(9.0)
    slow, *others = [each.slowness for each in endpoints]
    assert slow > 1.5 * max(others)
    assert slow <= learning.MAX_SLOWNESS


def test_late_first_tokens_correct_the_prediction():
    learner = make_learner()
    endpoint = make_endpoint('prefill')
    for _ in range(300):
        run = make_run()
        run.prefill_endpoint = endpoint
        run.expected_s = 1.0
        learner.record_first_token(run, False, 1.4)
    bias_s = learner.router.bias_s['prefill', 5]
    assert bias_s == pytest.approx(0.4, abs=0.02)
