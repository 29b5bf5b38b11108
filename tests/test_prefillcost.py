"""Tests of the prefill cost, learned from prompts of all sizes."""

import random

from magnoliadyke.core import prefillcost

LATENCY_S = 0.040
TOKEN_S = 9e-6
PAIR_S = 0.2e-9


def truth_s(size, with_latency):
    seconds = size.tokens * TOKEN_S + size.attention_pairs * PAIR_S
    return seconds + (LATENCY_S if with_latency else 0.0)


def taught(count, step_s=0.0, seed=1):
    rng = random.Random(seed)
    cost = prefillcost.FittedCost()
    for number in range(count):
        tokens = rng.lognormvariate(7.5, 1.0)
        size = prefillcost.PromptSize(tokens, rng.choice((0, 6000, 13000)))
        alone = rng.random() < 0.5
        seconds = truth_s(size, alone) + rng.uniform(-step_s, step_s)
        cost.update(size, max(0.0002, seconds), alone, number * 0.05)
    return cost


def assert_close(cost, share, least_s=0.0):
    for tokens, before in ((1000, 0), (3000, 13000), (17000, 0), (50000, 0)):
        size = prefillcost.PromptSize(tokens, before)
        error_s = abs(cost.seconds(size) - truth_s(size, False))
        assert error_s <= max(least_s, share * truth_s(size, False))


def test_latency_tokens_and_pairs_are_told_apart():
    """Long prompts take more for each token, and all a fixed time.

    Prompts of a thousand tokens with that time taken for reading would make
    an engine look a quarter as fast as it is, and it would idle.
    """
    cost = taught(300)
    assert abs(cost.latency_s - LATENCY_S) < 0.1 * LATENCY_S
    assert_close(cost, 0.1)


def test_initial_cost_is_corrected_by_the_first_prompts():
    cost = taught(60)
    assert abs(cost.latency_s - LATENCY_S) < 0.25 * LATENCY_S
    assert_close(cost, 0.35)


def test_engines_work_in_steps():
    """Two prompts end in one step: one takes all of it, the other nothing.

    A prompt that took nothing must not teach that reading is for nothing.
    """
    cost = taught(600, step_s=0.012)
    assert_close(cost, 0.2, least_s=0.012)


def test_prompts_queued_behind_others_have_little_weight():
    """A place begins while engines still read what they were given before.

    The first prompts of all engines take ten times as long.  Believed, that
    would make every prompt late for seconds.
    """
    cost = taught(0)
    size = prefillcost.PromptSize(9000)
    for number in range(8):
        cost.update(size, 0.4, True, number * 0.01)
    assert cost.latency_s < 0.012


def test_decode_engine_is_assumed_half_as_fast_at_first():
    reference = taught(300)
    cost = prefillcost.DecodeStagePrefillCost(reference)
    size = prefillcost.PromptSize(5000, 2000)
    assert cost.seconds(size) == 2 * reference.seconds(size)
    for number in range(60):
        seconds = 3 * truth_s(size, False)
        cost.update(size, seconds + LATENCY_S, True, 30 + number * 0.1)
    assert 2.5 < cost.factor.median_s < 3.5
