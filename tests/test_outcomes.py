"""Tests of the outcomes and their one HTTP mapping."""

import json

import pytest

from magnoliadyke.core import outcomes


@pytest.mark.parametrize(
    'outcome, status, kind',
    [
        (outcomes.NotRun('overloaded', 'come back', 2.2), 503, 'not_run'),
        (outcomes.NotRun('concurrency_limit', 'wait', 0.2), 429, 'not_run'),
        (outcomes.Unknown('home_gone', 'ask again'), 504, 'unknown'),
        (outcomes.Rejected('too_large', 'shorten', 413), 413, 'rejected'),
    ],
)
def test_status_and_body(outcome, status, kind):
    answer = outcomes.to_http(outcome)
    error = json.loads(answer.body)['error']
    assert answer.status == status
    assert error['type'] == kind
    assert error['code'] == outcome.reason
    assert error['remedy'] == outcome.remedy


def test_retry_after_is_rounded_up_in_the_header_and_exact_in_the_body():
    answer = outcomes.to_http(outcomes.NotRun('overloaded', 'wait', 2.2))
    assert dict(answer.headers)['Retry-After'] == '3'
    assert json.loads(answer.body)['error']['retry_after_s'] == 2.2


def test_an_answer_carries_its_usage():
    answer = outcomes.to_http(outcomes.Answered('k', 'text', 'stop', 3, 4))
    body = json.loads(answer.body)
    assert answer.status == 200
    assert body['usage']['total_tokens'] == 7
    assert body['choices'][0]['text'] == 'text'
