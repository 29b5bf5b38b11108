"""Tests of magnoliadyke.callers: the path from a caller and back."""

from tests import requestpath


def test_streams_a_whole_answer():
    with requestpath.Bench() as bench:
        reply = bench.complete(50)
    assert reply.status == 200
    assert reply.text() == requestpath.answer_of(50)
    assert reply.body.endswith(b'data: [DONE]\n\n')


def test_answers_whole_when_no_stream_is_asked_for():
    with requestpath.Bench() as bench:
        reply = bench.complete(20, stream=False)
    assert reply.text() == requestpath.answer_of(20)
    assert reply.json()['usage']['completion_tokens'] == 20


def test_a_resent_key_gets_the_same_answer_at_any_host():
    with requestpath.Bench(2) as bench:
        key = bench.ticket() + '/1'
        first = bench.complete(30, Idempotency_Key=key)
        again = bench.complete(30, Idempotency_Key=key)
        other = bench.complete(30, 'host-2', Idempotency_Key=key)
        assert len(bench.runs()) == 1
    assert first.text() == again.text() == other.text()
    assert first.headers['x-request-key'] == key


def test_a_foreign_key_is_claimed_once():
    with requestpath.Bench(2) as bench:
        first = bench.complete(30, Idempotency_Key='order 17')
        other = bench.complete(30, 'host-2', Idempotency_Key='order 17')
        assert len(bench.runs()) == 1
    assert first.text() == other.text() == requestpath.answer_of(30)


def test_a_foreign_key_is_not_run_while_the_store_is_down():
    with requestpath.Bench() as bench:
        bench.store.down = True
        reply = bench.complete(3, Idempotency_Key='order 17')
        assert reply.status == 503
        assert reply.error() == ('not_run', 'claims_unavailable')
        assert bench.runs() == []


def test_calls_a_plain_service():
    with requestpath.Bench() as bench:
        path = '/v1/services/portal/notice?x=1'
        reply = bench.call('POST', path, {'a': 1})
        assert reply.status == 200
        assert reply.json()['path'] == '/notice'
        assert len(bench.service_runs()) == 1


def test_the_hosts_answer_names_the_others_when_a_node_stops():
    with requestpath.Bench(2) as bench:
        bench.nodes['host-1'].callers.begin_stop()
        hosts = bench.call('GET', '/v1/hosts').json()['hosts']
    assert [each['host'] for each in hosts] == ['host-2']


def test_an_unknown_credential_is_rejected():
    with requestpath.Bench() as bench:
        reply = bench.complete(3, Authorization='Bearer wrong')
    assert reply.status == 401
    assert reply.error() == ('rejected', 'bad_credential')


def test_chat_events_have_the_chat_shape():
    work = {
        'model': requestpath.MODEL,
        'messages': [{'role': 'user', 'content': 'answer-tokens:4'}],
        'stream': True,
    }
    with requestpath.Bench() as bench:
        reply = bench.call('POST', '/v1/chat/completions', work)
    assert b'"delta":{"content":"' in reply.body
    assert b'"object":"chat.completion.chunk"' in reply.body
