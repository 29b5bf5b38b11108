"""Errors of a host's own code: each request that was read gets an answer."""

import gevent
import hypothesis
from hypothesis import strategies as st
import pytest

from magnoliadyke.core import routes as core_routes
from magnoliadyke.gateway import http
from magnoliadyke.lab import platformrecords
from tests import gatewayworld

CHAT = gatewayworld.prompt((0x1, 40), (0x2, 60))


@pytest.fixture
def world():
    with gatewayworld.world() as made:
        made.configure()
        made.endpoint('p1')
        made.endpoint('d1', 'model', 'decode')
        yield made


def fail(*_, **__):
    raise LookupError('lost')


def assert_closed(client):
    """The host closes the connection in order, without a further byte."""
    with pytest.raises(http.PeerClosed) as caught:
        client.answer()
    assert caught.value.orderly


def assert_not_run(world, path='/safe/x', method='GET', **headers):
    """A request is refused as not run, and its connection closes in order."""
    client = gatewayworld.Client(world.nodes[0])
    head, body = client.call(method, path, 'r1', b'hi', **headers)
    assert head.status == 503
    assert float(head.value(b'retry-after')) > 0
    assert body
    assert_closed(client)
    assert world.nodes[0].ingress.open_requests == 0
    assert not any(each.runs for each in world.endpoints.values())
    return head


@pytest.mark.parametrize('digits', [12, 400, 2500])
def test_caller_may_wait_for_any_number_of_milliseconds(world, digits):
    """A large number ended the connection without an answer."""
    node = world.node()
    assert world.ask('/safe/x', X_Deadline_Ms='9' * digits).status == 200
    assert node.ingress.open_requests == 0


@pytest.mark.parametrize(
    'name, value',
    [
        ('X-Deadline-Ms', '1e3'),
        ('X-Prompt-Prefix', 'a:' + '9' * 400),
        ('X-Prompt-Prefix', 'a:-5'),
        ('X-Prompt-Prefix', f'a:{2**31 - 1},b:1'),
        ('X-Token-Counts', f'60,{2**31}'),
        ('X-Token-Counts', '60,'),
    ],
)
def test_refusal_of_a_header_names_it(world, name, value):
    """A caller could not tell which header was at fault, or got 500."""
    world.node()
    client = gatewayworld.Client(world.nodes[0])
    headers = CHAT | {name.replace('-', '_'): value}
    head, body = client.call('POST', '/chat/x', 'r1', b'hi', **headers)
    assert head.status == 400
    assert name.lower() in body.decode()
    assert_closed(client)
    assert not world.endpoints['d1'].arrivals


def test_prompts_of_any_length_are_answered_by_hosts_that_do_not_place(world):
    """A prompt too long for a message between hosts got 500."""
    for _ in range(2):
        world.node()
    gatewayworld.wait_for(
        lambda: all(
            each.placement_service.leading or each.placement_service.leader
            for each in world.nodes
        ),
        'the placing host',
    )
    headers = gatewayworld.prompt((0x1, 2**31))
    for number in range(2):
        head = world.ask('/chat/x', node=number, **headers)
        assert head.status == 400


def test_error_in_decoding_is_answered(world, monkeypatch):
    """An error outside of the exchange ended the connection."""
    node = world.node()
    monkeypatch.setattr(node.ingress.parts.codec, 'decode', fail)
    assert_not_run(world)


def test_error_in_the_look_up_is_answered(world, monkeypatch):
    """An error outside of the exchange ended the connection."""
    world.node()
    monkeypatch.setattr(core_routes.Configuration, 'match', fail)
    head = assert_not_run(world)
    assert head.value(b'x-request-id') == b'r1'


def test_error_in_the_denial_of_a_request_is_answered(world, monkeypatch):
    """A connection error of a host's own call passed for one of the caller."""
    node = world.node()

    def closed():
        raise http.PeerClosed('the store closed the connection', orderly=True)

    monkeypatch.setattr(node.ingress, 'prove_for_denial', closed)
    assert_not_run(world, '/none/x')


def test_error_in_the_choice_of_a_service_is_answered(world, monkeypatch):
    """An error outside of the exchange ended the connection."""
    world.node()
    monkeypatch.setattr(core_routes.Route, 'draw_service', fail)
    assert_not_run(world)


def test_error_in_the_placement_says_not_run(world, monkeypatch):
    """A prompt that was sent nowhere got 500, which is not tried again."""
    node = world.node()
    monkeypatch.setattr(node.placement_service, 'place', fail)
    assert_not_run(world, '/chat/x', 'POST', **CHAT)


def test_error_after_the_request_was_sent_does_not_say_not_run(
    world, monkeypatch
):
    """A request that has run was refused as not run."""
    node = world.node()
    monkeypatch.setattr(node.balancer, 'record_answer', fail)
    head = world.ask('/unsafe/x')
    assert head.status == 500
    assert head.value(b'retry-after') is None
    assert len(world.endpoints['p1'].runs) == 1


def test_error_in_the_record_of_an_answer_keeps_the_connection(
    world, monkeypatch
):
    """The next request on the connection ended without an answer."""
    node = world.node()
    monkeypatch.setattr(node.ingress, 'record', fail)
    client = gatewayworld.Client(node)
    for request_id in ('r1', 'r2'):
        head, body = client.call('GET', '/safe/x', request_id)
        assert (head.status, body) == (200, f'answer to {request_id}'.encode())
    assert node.ingress.open_requests == 0


#: Bytes that a header's value may have on the wire.
VALUES = st.binary(max_size=40).map(
    lambda data: bytes(b for b in data if b > 32 and b != 127)
)
NUMBERS = st.integers(min_value=-(10**420), max_value=10**420).map(
    lambda number: b'%d' % number
) | st.just(b'9' * 5000)
ENTRIES = st.lists(
    st.tuples(VALUES, NUMBERS | VALUES).map(b':'.join), max_size=4
).map(b','.join)
DRAWN_HEADERS = st.lists(
    st.tuples(
        st.sampled_from(
            [
                b'X-Deadline-Ms',
                b'X-Token-Counts',
                b'X-Prompt-Prefix',
                b'Last-Event-Id',
                b'Resumes',
                b'Api-Key',
                b'X-Model',
                b'Connection',
                b'Keep-Alive',
            ]
        ),
        NUMBERS | VALUES | ENTRIES,
    ),
    max_size=6,
)


def test_any_headers_get_an_answer():
    """Headers with odd values ended a connection, or were errors."""
    with gatewayworld.world() as world:
        world.configure(max_header_bytes=200_000)
        world.endpoint('p1')
        world.endpoint('d1', 'model', 'decode')
        node = world.node()

        @hypothesis.settings(max_examples=150, deadline=None)
        @hypothesis.given(
            st.sampled_from([b'/safe/x', b'/unsafe/x', b'/chat/x', b'/n/x']),
            VALUES.filter(bool),
            DRAWN_HEADERS,
        )
        def run(path, request_id, headers):
            client = gatewayworld.Client(node)
            lines = [
                b'POST %s HTTP/1.1' % path,
                b'Host: %s' % gatewayworld.HOST.encode(),
                b'X-Request-Id: %s' % request_id,
                *(b'%s: %s' % each for each in headers),
            ]
            client.send(b'\r\n'.join(lines) + b'\r\n\r\n')
            head, _ = client.answer()
            assert head.status in (200, 400, 404, 503)
            client.close()

        run()
        gatewayworld.wait_for(
            lambda: not node.ingress.open_requests, 'the last end'
        )


def model_route(name, prefix, service='model', **fields):
    return platformrecords.route(name, prefix, 'streaming', service, **fields)


#: Configurations that may follow each other while requests are in flight.
CONFIGURATIONS = {
    'usual': platformrecords.usual_routes(),
    'no routes': [],
    # A stream that has begun may break off at its time-out.
    'short time-outs': [
        platformrecords.route('safe', '/safe/', 'safe', 'plain', timeout_ms=1)
    ],
    'unlisted service': [
        platformrecords.route('safe', '/safe/', 'safe', 'elsewhere'),
        model_route('chat', '/chat/', resumable=True, service='elsewhere'),
    ],
    'weights': [
        platformrecords.route(
            'safe',
            '/safe/',
            'safe',
            None,
            traffic_split=[
                {'service': 'plain', 'weight': 1e-300},
                {'service': 'elsewhere', 'weight': 0},
            ],
        ),
        model_route(
            'chat',
            '/chat/',
            service=None,
            traffic_split=[
                {'service': 'model', 'weight': 2.0**53},
                {'service': 'elsewhere', 'weight': 1},
            ],
        ),
    ],
    'other kinds': [
        platformrecords.route('safe', '/safe/', 'streaming', 'plain'),
        platformrecords.route('chat', '/chat/', 'safe', 'model'),
        platformrecords.route('once', '/once/', 'unsafe', 'model'),
    ],
}


class Sent:
    """A request in flight, and how its connection went on.

    :ivar status: status of its answer, None without one
    :ivar whole: whether the answer was complete
    """

    def __init__(self, node, path, request_id):
        self.client = gatewayworld.Client(node)
        headers = {} if path == '/safe/x' else CHAT
        self.client.request('POST', path, request_id, b'hi', **headers)
        self.status = None
        self.whole = False
        self.greenlet = gevent.spawn(self.read)

    def read(self):
        try:
            self.status = self.client.reader.next_part().status
            while not isinstance(
                self.client.reader.next_part(), http.MessageEnd
            ):
                pass
            self.whole = True
        except http.PeerClosed:
            pass
        finally:
            self.client.close()


def test_any_change_of_the_configuration_leaves_each_request_an_answer():
    """A change met requests between look-up, placement and answer."""
    with gatewayworld.world() as world:
        world.configure()
        world.endpoint('p1').work_s = 0.05
        world.endpoint('e1', 'model', 'prefill').work_s = 0.03
        engine = world.endpoint('d1', 'model', 'decode')
        engine.pause_s = 0.02
        node = world.node()
        versions = iter(range(2, 10**6))
        ids = iter(range(10**6))

        @hypothesis.settings(max_examples=20, deadline=None)
        @hypothesis.given(
            st.lists(
                st.tuples(
                    st.sampled_from(sorted(CONFIGURATIONS)),
                    st.booleans(),
                    st.floats(0.0, 0.08),
                ),
                min_size=1,
                max_size=4,
            )
        )
        def run(changes):
            sent = []
            for name, has_services, pause_s in changes:
                for path in ('/safe/x', '/chat/x', '/once/x'):
                    sent.append(Sent(node, path, f'r{next(ids)}'))
                gevent.sleep(pause_s)
                fields = gatewayworld.configuration(
                    version=next(versions), routes=CONFIGURATIONS[name]
                )
                if not has_services:
                    fields['services'] = []
                world.store.put('op/config', fields)
            for each in sent:
                each.greenlet.get(timeout=gatewayworld.WAIT_S)
            assert {each.status for each in sent} <= {200, 404, 503, 504}
            assert all(each.whole for each in sent)
            assert node.ingress.open_requests == 0

        run()
        parts = node.ingress.parts
        gatewayworld.wait_for(
            lambda: not parts.upstream.in_use.total(), 'the last end'
        )
