"""Endpoints that send an answer a second time, late."""

import gevent
import pytest

from magnoliadyke.gateway import upstream
from magnoliadyke.lab import framedanswer
from tests import gatewayworld

PROMPT = gatewayworld.prompt((0xA, 2000), (0xB, 3000), (0xC, 500))
#: An answer of this many tokens is long: it holds a slot.
LONG_ANSWER = gatewayworld.prompt((0x1, 40), (0x2, 60), output=60)
#: Time in which a send that should not have been made begins to run.
LATE_RUN_S = 0.3


@pytest.fixture
def world():
    with gatewayworld.world() as made:
        made.configure()
        yield made


@pytest.fixture
def reused(monkeypatch):
    """Connections are used again however long a step of the test takes."""
    monkeypatch.setattr(upstream, 'MAX_IDLE_UNREPEATABLE_S', 60.0)
    monkeypatch.setattr(upstream, 'MAX_IDLE_S', 60.0)


@pytest.fixture
def engines(world):
    made = (
        world.endpoint('e1', 'model', 'prefill'),
        world.endpoint('d1', 'model', 'decode'),
    )
    for each in made:
        each.sends_copies = True
    return made


def configure(world, max_attempts):
    route = gatewayworld.route(
        'once', '/once/', 'streaming', 'model', max_attempts=max_attempts
    )
    world.configure(version=2, routes=[route])


@pytest.mark.parametrize('max_attempts', [1, 2])
def test_copy_of_a_refusal_does_not_answer_the_second_send(
    world, engines, max_attempts
):
    """Callers got 503 for streams that ran, or the streams ran twice."""
    _, decoding = engines
    decoding.refusals = 1
    configure(world, max_attempts)
    world.node()
    assert world.ask('/once/x', **PROMPT).status == 200
    gevent.sleep(LATE_RUN_S)
    assert len(decoding.runs) == 1


def test_copy_of_an_answer_does_not_answer_the_second_prefill(world, engines):
    """A stream was to go on from a KV cache that was used up."""
    _, decoding = engines
    decoding.refusals = 2
    configure(world, max_attempts=2)
    world.node()
    assert world.ask('/once/x', **PROMPT).status == 200
    gevent.sleep(LATE_RUN_S)
    (run,) = decoding.runs
    assert run.headers[b'x-kv-source'].endswith(b'/e1-2')


def test_copy_of_a_refusal_does_not_answer_the_second_continuation(world):
    """A stream that went on at the engine with its backup ran there twice."""
    routes = gatewayworld.platformrecords.usual_routes(timeout_ms=8000)
    world.configure(version=2, routes=routes, backups=True)
    world.endpoint('e1', 'model', 'prefill')
    first = world.endpoint('d1', 'model', 'decode')
    first.broken = framedanswer.Break(
        framedanswer.BreakAt.BETWEEN, framedanswer.BreakBy.RESET
    )
    first.runs_on = True
    second = world.endpoint('d2', 'model', 'decode', domain='z2')
    second.refusals = 1
    second.sends_copies = True
    node = world.node()
    gatewayworld.wait_for(
        lambda: node.placement_service.leading, 'the placing host'
    )
    assert world.ask('/once/x', **LONG_ANSWER).status == 200
    assert len(second.runs) == 1


def test_refusal_without_an_id_is_nobodys_on_a_used_connection(world, reused):
    """It may be a late one to another request, and this one may run."""
    endpoint = world.endpoint('p1')
    world.node()
    assert world.ask('/unsafe/x', request_id='r1').status == 200
    endpoint.names_requests = False
    endpoint.refusals = 1
    assert world.ask('/unsafe/x', request_id='r2').status == 502


def test_refusal_without_an_id_counts_on_a_new_connection(world):
    """Nothing else was sent on it, so callers may send the request again."""
    endpoint = world.endpoint('p1')
    endpoint.names_requests = False
    endpoint.refusals = 1
    world.node()
    assert world.ask('/unsafe/x').status == 503


@pytest.mark.parametrize('path', ['/unsafe/x', '/once/x'])
def test_copy_for_another_request_costs_no_answer(world, reused, path):
    """Callers got 502 for requests that ran and were answered."""
    endpoint = world.endpoint('p1')
    decoding = world.endpoint('d1', 'model', 'decode')
    endpoint.sends_copies = decoding.sends_copies = True
    node = world.node()
    headers = LONG_ANSWER if path == '/once/x' else {}
    bodies = []
    for request_id in ('r1', 'r2', 'r3'):
        client = gatewayworld.Client(node)
        head, body = client.call('POST', path, request_id, b'x', **headers)
        client.close()
        assert head.status == 200
        assert head.value(b'x-request-id') == request_id.encode()
        bodies.append(body)
    if not headers:
        assert bodies == [b'answer to r1', b'answer to r2', b'answer to r3']
    text = node.metrics.answer(b'GET', b'/metrics').body.decode()
    assert 'magnoliadyke_late_copies 2.0' in text


def test_connection_of_a_release_serves_no_request(world, engines):
    """A late copy answered the release, whose answer went to the next one."""
    prefilling, decoding = engines
    decoding.refusals = 1
    node = world.node()
    assert world.ask('/once/x', **PROMPT).status == 200
    gatewayworld.wait_for(lambda: prefilling.released_handles, 'the release')
    gatewayworld.wait_for(
        lambda: not node.upstream.in_use['e1'], 'its connection'
    )
    assert not node.upstream.idle.get('e1')
