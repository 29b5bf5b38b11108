"""Endpoints that send an answer a second time, late."""

import gevent
import pytest

from magnoliadyke.core import answerend
from magnoliadyke.gateway import promptexchange
from magnoliadyke.gateway import upstream
from magnoliadyke.lab import framedanswer
from tests import gatewayworld

PROMPT = gatewayworld.prompt((0xA, 2000), (0xB, 3000), (0xC, 500))
#: An answer of this many tokens is long: it holds a slot.
LONG_ANSWER = gatewayworld.prompt((0x1, 40), (0x2, 60), output=60)
#: Number of requests of a test of many.
REQUESTS = 12
PLAIN_ONCE = gatewayworld.route('once', '/once/', 'streaming', 'plain')
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
    routes = [
        gatewayworld.route(
            'once', '/once/', 'streaming', 'model', max_attempts=max_attempts
        ),
        gatewayworld.route('unsafe', '/unsafe/', 'unsafe', 'plain'),
    ]
    world.configure(version=2, routes=routes)


def ask_all(world, endpoints):
    """Ask for streams and plain answers in turn, and check each answer."""
    answers = {}
    for number in range(REQUESTS):
        path = ('/once/x', '/unsafe/x')[number % 2]
        headers = PROMPT if path == '/once/x' else {}
        client = gatewayworld.Client(world.nodes[0])
        request_id = f'r{number}'
        head, body = client.call('POST', path, request_id, b'x', **headers)
        client.close()
        answers[request_id] = head.status
        assert head.value(b'x-request-id') == request_id.encode()
        assert head.status in (200, 503)
        if head.status == 200 and not headers:
            assert body == f'answer to {request_id}'.encode()
    gevent.sleep(LATE_RUN_S)
    ran = [run.id.decode() for each in endpoints for run in each.runs]
    assert sorted(ran) == sorted(r for r, s in answers.items() if s == 200)
    assert ran


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


@pytest.mark.parametrize('copies, answers', [(1, 3), (3, 1), (3, 3)])
@pytest.mark.parametrize('max_attempts', [1, 3])
@pytest.mark.parametrize('decode_engines', [1, 3])
def test_copies_of_any_answer_answer_nothing(
    world, reused, decode_engines, max_attempts, copies, answers
):
    """More copies, and later ones, than the answer before left behind."""
    stages = ['prefill'] + ['decode'] * decode_engines
    made = [
        world.endpoint(f'e{n}', 'model', stage)
        for n, stage in enumerate(stages)
    ]
    made.append(world.endpoint('p1'))
    for each in made:
        each.sends_copies = True
        each.copies, each.copied_answers = copies, answers
        each.refusals = 2
    configure(world, max_attempts)
    world.node()
    ask_all(world, made)


def test_copies_answer_no_relayed_request(world, reused):
    """Another host sent it, over connections that others had used."""
    made = [
        world.endpoint('e1', 'model', 'prefill'),
        world.endpoint('d1', 'model', 'decode'),
        world.endpoint('p1'),
    ]
    for each in made:
        each.sends_copies = True
        each.copies = each.copied_answers = 2
        each.refusals = 2
    configure(world, max_attempts=2)
    for _ in range(2):
        world.node()
    first, second = world.nodes
    gatewayworld.wait_for(
        lambda: first.members.relay_token(second.settings.ip), 'the other host'
    )
    first.paths.is_cut_off = lambda service: True
    first.paths.choose_host = lambda service, declined: second.settings.ip
    ask_all(world, made)
    assert first.relayer.counts['taken'] == REQUESTS


@pytest.mark.parametrize('path', ['/unsafe/x', '/once/x'])
@pytest.mark.parametrize(
    'framing', [None, answerend.Framing.LENGTH, answerend.Framing.CHUNKED]
)
def test_copy_that_is_cut_short_does_not_hide_the_answer(
    world, reused, path, framing
):
    """The answer was read as its rest, and waited for until the deadline."""
    endpoint = world.endpoint('p1')
    decoding = world.endpoint('d1', 'model', 'decode')
    for each in (endpoint, decoding):
        each.sends_copies = True
        # In the body, which a long id and many events make a long one.
        each.copied_bytes = 800
        each.events = 40
        each.framing = framing
    world.node()
    headers = LONG_ANSWER if path == '/once/x' else {}
    first = world.ask(path, request_id='r' * 600, **headers)
    assert first.status == 200
    decoding.events = 2
    second = world.ask(path, request_id='s1', X_Deadline_Ms=2000, **headers)
    assert second.status == 502


def test_stop_between_two_sends_promises_nothing(world, engines):
    """The second send may run, whatever became of the first one."""
    _, decoding = engines
    decoding.refusals = 1
    decoding.mode = 'silent'
    configure(world, max_attempts=2)
    node = world.node()
    asked = gevent.spawn(world.ask, '/once/x', **PROMPT)
    gatewayworld.wait_for(lambda: decoding.runs, 'the second send')
    node.ingress.interrupt_all()
    assert asked.get(timeout=gatewayworld.WAIT_S).status == 504
    assert len(decoding.runs) == 1


def test_configuration_between_two_sends_changes_no_answer(
    world, reused, engines
):
    """The route left for another service as its copies were on their way."""
    _, decoding = engines
    decoding.refusals = 1
    decoding.copies = 3
    node = world.node()
    alternative = promptexchange.PromptExchange._alternative_engine

    def configure_first(active, failed):
        world.configure(version=9, routes=[PLAIN_ONCE])
        gatewayworld.wait_for(
            lambda: node.catalog.configuration.version == 9, 'the change'
        )
        return alternative(active, failed)

    with pytest.MonkeyPatch.context() as patched:
        patched.setattr(
            promptexchange.PromptExchange,
            '_alternative_engine',
            configure_first,
        )
        assert world.ask('/once/x', **PROMPT).status == 200
    gevent.sleep(LATE_RUN_S)
    assert len(decoding.runs) == 1


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
