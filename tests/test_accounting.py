"""Tests of what is counted at the end of a request."""

import types

import pytest

from magnoliadyke import accounting
from magnoliadyke.core import jobs
from magnoliadyke.core import notices
from magnoliadyke.core import outcomes
from magnoliadyke.core import records
from magnoliadyke import streams
from tests import fakenode

ANSWER = records.Answer('model', 200, '', b'', 100, 11)


@pytest.fixture
def node():
    node = fakenode.make()
    node.accounting = accounting.Accounting(
        node.settings, node.clock, node.metrics
    )
    return node


def run(outcome, placed_s=None, first_s=None, number=1):
    job = jobs.Job('j', 'lease', 'lease-model', arrived_s=1000.0)
    return types.SimpleNamespace(
        key='k',
        job=job,
        outcome=outcome,
        placed_s=placed_s,
        first_s=first_s,
        number=number,
    )


@pytest.mark.parametrize(
    ('outcome', 'word'),
    [
        (ANSWER, 'answered'),
        (records.Answer('service', 502, '', b''), 'failed'),
        (outcomes.NotRun('queue_full', ''), 'not_run'),
        (outcomes.NotRun('token_rate_limit', ''), 'limited'),
        (streams.ABANDONED, 'cancelled'),
        (streams.LOST, 'unknown'),
        (outcomes.Rejected('bad_request', ''), 'rejected'),
    ],
)
def test_every_end_is_counted_once(node, outcome, word):
    node.accounting.ended(run(outcome))
    assert node.metrics.totals == {'lease': {word: 1}}


def test_times_of_an_answer(node):
    """Placed at 0.5 s, first token at 1 s, the last of 11 at 3 s."""
    node.clock.advance(3.0)
    timings = node.accounting.timings(run(ANSWER, 1000.5, 1001.0), 1003.0)
    assert timings.queued_s == 0.5
    assert timings.first_token_s == 1.0
    assert timings.per_token_s == pytest.approx(0.2)
    assert timings.failed_attempts == 0


def test_waiting_through_a_role_change_is_blamed_on_it(node):
    """The caller waits 4 s for its first token, 3 s of it in the queue.

    An engine of the pool goes out of use for 2 s of these 3 s; two thirds
    of the waiting fall into the change, so the change is to blame.
    """
    node.clock.advance(0.5)
    node.accounting.post(notices.EngineUse(fakenode.ENGINE, 'changing'))
    node.clock.advance(2.0)
    node.accounting.post(notices.EngineUse(fakenode.ENGINE, 'up'))
    node.clock.advance(1.6)
    node.accounting.ended(run(ANSWER, 1003.0, 1004.0))
    causes = node.metrics.burn_snapshot()['lease'][300].causes
    assert causes == (0, 1, 0, 0)


def test_change_that_still_goes_on_counts_up_to_now(node):
    node.accounting.post(notices.EngineUse(fakenode.ENGINE, 'changing'))
    spent_s = node.accounting.role_change_s('lease-model', 1000.0, 1002.0)
    assert spent_s == 2.0
    assert node.accounting.role_change_s('portal', 1000.0, 1002.0) == 0.0
