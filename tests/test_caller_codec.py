"""Tests of magnoliadyke.caller_codec."""

import json

from hypothesis import given
from hypothesis import strategies
import pytest

from magnoliadyke import caller_codec
from magnoliadyke.core import outcomes
from magnoliadyke.core import table
from magnoliadyke import endpoint
from tests import requestpath

BAD_COMPLETIONS = [
    {},
    {'prompt': 'p'},
    {'prompt': 7, 'model': 'm'},
    {'prompt': ' ', 'model': 'm'},
    {'prompt': 'p', 'model': 'm', 'max_tokens': 0},
    {'prompt': 'p', 'model': 'm', 'max_tokens': '5'},
]
BAD_CHATS = [{}, {'messages': []}, {'messages': ['x']}, {'messages': [{}]}]


@pytest.mark.parametrize('document', BAD_COMPLETIONS)
def test_bad_completions_are_rejected(document):
    with pytest.raises(caller_codec.OutcomeError) as caught:
        caller_codec.read_completion(document)
    assert isinstance(caught.value.outcome, outcomes.Rejected)


@pytest.mark.parametrize('document', BAD_CHATS)
def test_bad_chats_are_rejected(document):
    with pytest.raises(caller_codec.OutcomeError):
        caller_codec.read_chat({'model': 'm', **document})


@given(strategies.binary())
def test_any_bytes_are_an_object_or_rejected(body):
    try:
        assert isinstance(caller_codec.read_object(body), dict)
    except caller_codec.OutcomeError as error:
        assert error.outcome.reason == 'bad_json'


def test_finds_the_customer_by_key():
    row = table.CustomerRow(keys=(requestpath.hashed('a'),))
    ring = caller_codec.KeyRing(table.View(1, {'lease': row}, {}, {}, {}))
    assert ring.customer('Bearer a') == 'lease'
    assert ring.customer('Bearer b') is None
    assert ring.customer('Basic a') is None
    assert ring.customer('') is None


def test_the_digest_tells_parts_apart():
    assert caller_codec.request_digest(
        'ab', 'c'
    ) != caller_codec.request_digest('a', 'bc')


@pytest.mark.parametrize(
    'outcome',
    [
        outcomes.NotRun('overloaded', 'later', 2.5),
        outcomes.Unknown('home_lost', 'look'),
        outcomes.Rejected('bad_json', 'mend it', 400),
    ],
)
def test_an_outcome_passes_between_nodes(outcome):
    answer = outcomes.to_http(outcome)
    kind = type(outcome).__name__
    reply = endpoint.Reply(answer.status, '', answer.body, kind)
    assert caller_codec.outcome_from(reply) == outcome
    error = json.loads(caller_codec.error_event(outcome).split(b'data: ')[1])
    assert caller_codec.error_outcome(error['error'], 400) == outcome


def test_a_services_own_error_is_not_an_outcome():
    body = b'{"error": {"type": "not_run", "code": "x"}}'
    assert caller_codec.outcome_from(endpoint.Reply(400, '', body)) is None


ODD_BODIES = [
    b'[' * 100_000,
    b'{"error":' * 100_000,
    b'9' * 5000,
    b'\xff',
    b'null',
    b'{}',
    b'{"error":null}',
    b'{"error":[]}',
    b'{"error":"text"}',
]


@pytest.mark.parametrize('body', ODD_BODIES, ids=lambda body: repr(body[:30]))
def test_odd_bodies(body):
    """A nested body was an error of the node, not of its sender."""
    try:
        assert isinstance(caller_codec.read_object(body), dict)
    except caller_codec.OutcomeError as error:
        assert error.outcome.reason == 'bad_json'
    reply = endpoint.Reply(503, 'application/json', body, outcome='not_run')
    assert isinstance(caller_codec.outcome_from(reply), outcomes.NotRun)


@pytest.mark.parametrize(
    'found',
    ['soon', None, True, -1, 10**400, float('nan'), float('inf'), []],
    ids=lambda found: repr(found)[:20],
)
def test_odd_retry_after_of_another_node(found):
    error = {'type': 'not_run', 'retry_after_s': found}
    outcome = caller_codec.error_outcome(error)
    assert outcome.retry_after_s == caller_codec.RETRY_AFTER_S
