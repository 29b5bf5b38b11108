"""Tests of magnoliadyke.reports."""

import types

from magnoliadyke import clock as clocks
from magnoliadyke.core import burn
from magnoliadyke.core import jobs
from magnoliadyke.core import outcomes
from magnoliadyke.core import records
from magnoliadyke import reports
from magnoliadyke import streams


class Metrics:
    def __init__(self):
        self.seen = []

    def record_request_end(self, *arguments):
        self.seen.append(arguments)
        return burn.Verdict(False, 'queue')


def run_of(outcome, **fields):
    job = jobs.Job('k', 'lease', 'lease-model', arrived_s=990.0)
    fields = {'dispatched_s': 992.0, 'first_output_s': 993.0} | fields
    return types.SimpleNamespace(
        key='k', job=job, outcome=outcome, failures=1, **fields
    )


def make():
    metrics = Metrics()
    dispatcher = types.SimpleNamespace(changing_s=lambda *_: 0.5)
    return metrics, reports.Reports(metrics, dispatcher, clocks.ManualClock())


def test_an_answer_is_reported_with_its_times():
    metrics, counter = make()
    answer = records.Answer('model', 200, '', b'', 100, 8)
    counter.record_run_end(run_of(answer))
    ((customer, word, times, prompt_tokens, output_tokens),) = metrics.seen
    assert (customer, word) == ('lease', 'answered')
    assert (prompt_tokens, output_tokens) == (100, 8)
    assert times.first_token_s == 3.0
    assert times.per_token_s == 1.0
    assert times.queued_s == 2.0
    assert times.role_change_s == 0.5
    assert times.failed_attempts == 1


def test_a_refused_run_has_waited_until_its_end():
    metrics, counter = make()
    refused = outcomes.NotRun('overloaded', 'later')
    counter.record_run_end(
        run_of(refused, dispatched_s=None, first_output_s=None)
    )
    assert metrics.seen[0][1] == 'not_run'
    assert metrics.seen[0][2].queued_s == 10.0
    assert metrics.seen[0][2].shed


def test_refusal_at_the_door_sends_the_caller_elsewhere():
    metrics, counter = make()
    counter.record_refusal(
        'lease', outcomes.NotRun('stopping', 'ask another host')
    )
    assert metrics.seen == [('lease', 'declined')]


def test_service_that_answers_late_is_late():
    metrics, counter = make()
    answer = records.Answer('service', 200, '', b'')
    counter.record_run_end(run_of(answer, first_output_s=None))
    assert metrics.seen[0][2].first_token_s == 10.0


def test_each_outcome_has_its_word():
    words = {
        streams.ABANDONED: 'cancelled',
        streams.ENDPOINT_LOST: 'unknown',
        outcomes.NotRun('concurrency_limit', ''): 'limited',
        outcomes.Rejected('x', ''): 'rejected',
        records.Answer('service', 500, '', b''): 'failed',
    }
    for outcome, word in words.items():
        assert reports.outcome_label(outcome) == word
