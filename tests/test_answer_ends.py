"""How answers end, framing by framing: what callers may take for whole."""

import pytest

from magnoliadyke.core import answerend
from magnoliadyke.gateway import http
from magnoliadyke.lab import framedanswer
from tests import gatewayworld

PROMPT = gatewayworld.prompt((0xA, 2000), (0xB, 3000), (0xC, 500))
AT = framedanswer.BreakAt
BY = framedanswer.BreakBy
EVENTS = [b'id: %d\ndata: piece %d\n\n' % (n, n) for n in (1, 2, 3)]


@pytest.fixture
def world():
    with gatewayworld.world() as made:
        made.configure()
        yield made


@pytest.fixture
def plain(world):
    return world.endpoint('p1')


@pytest.fixture
def engines(world):
    world.endpoint('e1', 'model', 'prefill')
    return world.endpoint('e2', 'model', 'decode')


def read_answer(world, path, request_id='r1', **headers):
    """The answer to one request; whether its framing says that it is whole.

    :returns: status, body, and whether it looks whole
    """
    client = gatewayworld.Client(world.nodes[0])
    body = b''
    status = 0
    try:
        client.request('POST', path, request_id, b'x', **headers)
        head = client.reader.next_part()
        status = head.status
        while isinstance(part := client.reader.next_part(), http.Body):
            body += part.data
        # Callers can't tell such an answer from one that was broken off.
        assert not part.by_close
        return status, body, True
    except http.PeerClosed:
        return status, body, False
    finally:
        client.close()


#: Ends inside an event that look like that of a whole answer.
INSIDE = [
    pytest.param(framing, framedanswer.Break(AT.INSIDE, by), id=framing.value)
    for framing, by in (
        (answerend.Framing.CLOSE, BY.CLOSE),
        (answerend.Framing.LENGTH, BY.MARKED),
        (answerend.Framing.CHUNKED, BY.MARKED),
    )
]


@pytest.mark.parametrize('framing, broken', INSIDE)
def test_stream_that_ends_inside_an_event_never_looks_whole(
    world, engines, framing, broken
):
    """A stream that was broken off was passed on as a whole one."""
    engines.framing, engines.broken = framing, broken
    world.node()
    status, body, whole = read_answer(world, '/once/x', **PROMPT)
    assert (status, body, whole) == (200, EVENTS[0], False)


@pytest.mark.parametrize('framing, broken', INSIDE)
def test_stream_that_ends_inside_an_event_goes_on_elsewhere(
    world, engines, framing, broken
):
    """A stream that was broken off ended where it could go on elsewhere."""
    other = world.endpoint('e3', 'model', 'decode')
    for each in (engines, other):
        each.framing, each.broken = framing, broken
        each.pause_s = 0.1
    node = world.node()
    client = gatewayworld.Client(node)
    client.request('POST', '/chat/x', 'r1', b'hi', **PROMPT)
    gatewayworld.wait_for(
        lambda: engines.runs or other.runs, 'the first engine'
    )
    (other if engines.runs else engines).broken = None
    head, body = client.answer()
    assert (head.status, body) == (200, b''.join(EVENTS))


def test_answer_to_a_prompt_that_is_no_stream_is_not_split_into_events(
    world, engines
):
    """An answer in another format has no events, so it ends inside none."""
    engines.content_type = b'application/json'
    engines.broken = framedanswer.Break(AT.INSIDE, BY.MARKED)
    world.node()
    status, body, whole = read_answer(world, '/once/x', **PROMPT)
    assert (status, whole) == (200, True)
    assert body == EVENTS[0] + EVENTS[1][: len(EVENTS[1]) // 2]


@pytest.mark.parametrize(
    'path, headers', [('/unsafe/x', {}), ('/once/x', PROMPT)]
)
@pytest.mark.parametrize('by', [BY.CLOSE, BY.RESET, BY.SILENCE])
@pytest.mark.parametrize('at', [AT.START, AT.INSIDE])
def test_refusal_counts_though_its_body_is_broken_off(
    world, plain, engines, path, headers, at, by
):
    """A caller was told 502 of a request that had not run."""
    for each in (plain, engines):
        each.mode = 'shed'
        each.broken = framedanswer.Break(at, by)
    world.node()
    status, _, whole = read_answer(world, path, **headers)
    assert (status, whole) == (503, True)
    assert not plain.runs and not engines.runs
