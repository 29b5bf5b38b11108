"""Tests of the online cost fits."""

import random

import pytest

from magnoliadyke.core import costs
from magnoliadyke.core import jobs


def test_slopes_are_found_from_a_wrong_prior():
    rng = random.Random(1)
    model = costs.CostModel()
    for _ in range(2000):
        tokens = rng.randrange(100, 4000)
        noise = 0.8 + 0.4 * rng.random()
        model.observe_prefill('prefill', tokens, tokens * 0.0005 * noise)
        streams = rng.randrange(1, 64)
        pace_s = (0.01 + 0.001 * streams) * noise
        model.observe_decode_steps(streams, 100, 100 * pace_s)
    assert model.prefill.ratio == pytest.approx(0.0005, rel=0.1)
    assert model.decode_step.base == pytest.approx(0.01, rel=0.2)
    assert model.decode_step.slope == pytest.approx(0.001, rel=0.1)


def test_prompts_of_other_nodes_are_not_taken_for_cost():
    # Half of our prompts are read after those of another node, which we
    # don't see. Their mean time is twice what reading takes.
    rng = random.Random(1)
    model = costs.CostModel()
    for number in range(2000):
        own_s = 2000 * 0.0004
        foreign_s = 4 * own_s * rng.random() if number % 2 else 0.0
        elapsed_s = own_s * (0.95 + 0.1 * rng.random()) + foreign_s
        model.observe_prefill('prefill', 2000, elapsed_s)
    assert model.prefill.ratio == pytest.approx(0.0004, rel=0.15)


def test_steady_load_does_not_wash_out_the_split():
    # The number of streams never moves, so the samples say nothing about
    # base against slope; the prior has to keep them apart.
    model = costs.CostModel()
    for _ in range(10_000):
        model.observe_decode_steps(30, 100, 100 * 0.032)
    assert model.decode_step.at(30) == pytest.approx(0.032, rel=0.01)
    assert model.decode_step.base == pytest.approx(0.02, rel=0.1)


def test_streams_within_an_objective():
    model = costs.CostModel()
    assert model.streams_within(0.03) == 25
    assert model.streams_within(1.0) == model.max_streams
    assert model.streams_within(0.001) == 1


def test_output_and_bytes_are_learnt():
    model = costs.CostModel()
    job = jobs.Job('j', 'lease', 'p', prompt_tokens=100, output_tokens=1000)
    for _ in range(50):
        model.observe_finish(job, jobs.Finished(100, 200, 50))
        model.bytes.add(100, 300)
    assert model.output_tokens('lease', 500) == pytest.approx(100, rel=0.1)
    assert model.output_tokens('portal', 500) == 500
    assert model.prompt_tokens(3000) == pytest.approx(1000, rel=0.1)
    assert model.uncached.ratio < 0.95


def test_streams_within_when_no_stream_keeps_the_pace_and_none_adds_to_it():
    # A node places nothing any more: after a pause of an engine the fitted
    # step is long whatever the streams, the slope is 0, and each decision
    # of the scheduler ended in a division by it.
    model = costs.CostModel()
    model.decode_step.base = 0.5
    model.decode_step.slope = 0.0
    assert model.streams_within(0.07) == 1
    assert model.streams_within(0.6) == 64
