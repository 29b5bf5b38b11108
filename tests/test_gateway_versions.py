"""Streams beside two software versions, over answers, hosts and retries."""

import contextlib

import pytest

from magnoliadyke.gateway import http
from magnoliadyke.lab import framedanswer
from tests import gatewayworld

#: Streams begun and taken up in a test: at random half of them would go on at
#: the other version.
STREAMS = 12
BREAK = framedanswer.Break(
    framedanswer.BreakAt.BETWEEN, framedanswer.BreakBy.RESET
)


@pytest.fixture
def world():
    with gatewayworld.world() as made:
        routes = gatewayworld.platformrecords.usual_routes(
            timeout_ms=8000, gap_aim_ms=1000
        )
        made.configure(routes=routes)
        yield made


def prompt(request_id):
    """Headers of a prompt of its own, for which no engine is preferred."""
    number = int(request_id[1:])
    return gatewayworld.prompt((2 * number + 1, 40), (2 * number + 2, 60))


def begin(world, request_id, node=0, events=1):
    """Begin a stream and leave it; returns the number of its last event."""
    client = gatewayworld.Client(world.nodes[node])
    client.request('POST', '/chat/x', request_id, b'hi', **prompt(request_id))
    body = b''
    with contextlib.suppress(http.PeerClosed):
        while body.count(b'\n\n') < events:
            part = client.reader.next_part()
            if isinstance(part, http.Body):
                body += part.data
    client.close()
    return body.count(b'\n\n')


def take_up(world, request_id, resumes, after, node=0):
    """Take a stream up; returns status and body of the answer."""
    client = gatewayworld.Client(world.nodes[node])
    try:
        head, body = client.call(
            'POST',
            '/chat/x',
            request_id,
            b'hi',
            Last_Event_Id=after,
            **({} if resumes is None else {'Resumes': resumes}),
            **prompt(request_id),
        )
    finally:
        client.close()
    return head.status, body


def versions(engines, *request_ids):
    """Versions of the engines that ran any of some requests."""
    return {
        engine.version
        for engine in engines
        for run in engine.runs
        if run.id.decode() in request_ids
    }


@pytest.mark.parametrize('others', [('v2',), ('v2', 'v1', 'v2')])
def test_stream_goes_on_in_its_answer_at_its_version_only(world, others):
    """A host resumed a stream at an engine of another software version."""
    world.endpoint('e1', 'model', 'prefill')
    first = world.endpoint('d0', 'model', 'decode', version='v1')
    first.pause_s, first.broken = 1.5, BREAK
    world.node()
    client = gatewayworld.Client(world.nodes[0])
    client.request('POST', '/chat/x', 'r1', b'hi', **prompt('r1'))
    gatewayworld.wait_for(lambda: first.runs, 'the first engine')
    engines = [first] + [
        world.join(f'd{n}', 'model', 'decode', version=version)
        for n, version in enumerate(others, 1)
    ]
    if 'v1' in others:
        _, body = client.answer()
        assert body.count(b'data') == 3
    else:
        with pytest.raises(http.PeerClosed):
            client.answer()
    assert versions(engines, 'r1') == {'v1'}


@pytest.mark.parametrize('killed', [False, True], ids=['alive', 'killed'])
@pytest.mark.parametrize('later', [('v1', 'v2'), ('v2', 'v1')])
def test_stream_taken_up_at_another_host_goes_on_at_its_version(
    world, later, killed
):
    """A caller's retry at another host went on at another version."""
    world.endpoint('e1', 'model', 'prefill')
    engines = [world.endpoint('d0', 'model', 'decode', version='v1')]
    engines[0].pause_s = 0.05
    for _ in range(3):
        world.node()
    gatewayworld.wait_for(
        lambda: all(each.members.count() == 3 for each in world.nodes),
        'three hosts',
    )
    last = [begin(world, f'r{n}') for n in range(STREAMS)]
    engines += [
        world.join(f'd{n}', 'model', 'decode', version=version)
        for n, version in enumerate(later, 1)
    ]
    engines[0].mode = 'shed'
    if killed:
        world.kill(world.nodes[0])
    statuses = []
    for number, after in enumerate(last):
        status, body = take_up(
            world, f's{number}', f'r{number}', after, node=number % 2 - 2
        )
        statuses.append(status)
        assert versions(engines, f'r{number}', f's{number}') == {'v1'}
        if status == 200:
            assert body.count(b'data') == 3 - after
    assert statuses.count(200) >= STREAMS * 3 // 4
