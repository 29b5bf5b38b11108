"""Messages that are broken off inside their head, at each of its bytes."""

import contextlib
import functools

import gevent
from gevent import socket
import logbook
import pytest

from magnoliadyke import clock as clocks
from magnoliadyke.core import answerend
from magnoliadyke.core import catalog
from magnoliadyke.core import heldbodies
from magnoliadyke.core import position
from magnoliadyke.core import streambackup
from magnoliadyke.gateway import connection
from magnoliadyke.gateway import enginecontrol
from magnoliadyke.gateway import http
from magnoliadyke.gateway import store
from magnoliadyke.gateway import upstream
from magnoliadyke.lab import framedanswer
from magnoliadyke.lab import httpstandin
from magnoliadyke.lab import platformstore
from magnoliadyke.platform import engines as platform_engines
from magnoliadyke.platform import store as platform_store
from tests import gatewayworld

BY = framedanswer.BreakBy
ENDS = [BY.CLOSE, BY.RESET]
FRAMINGS = list(answerend.Framing)
WHOLE = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
NAMED = b'X-Request-Id: r1\r\nX-Server-Seal: s\r\n'
INTERIM = (
    b'HTTP/1.1 100 Continue\r\n\r\n'
    b'HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n'
)
#: Heads after which a body has to follow.
INCOMPLETE = {
    'length': b'HTTP/1.1 200 OK\r\n%sContent-Length: 123\r\n\r\n' % NAMED,
    'chunked': b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n%s\r\n'
    % NAMED,
    'neither': b'HTTP/1.1 200 OK\r\n%s\r\n' % NAMED,
    'http-1.0': b'HTTP/1.0 200 OK\r\n%s\r\n' % NAMED,
    'http-1.0-length': b'HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n'
    b'Content-Length: 123\r\n\r\n',
    'interim': INTERIM,
    'interim-length': INTERIM
    + b'HTTP/1.1 200 OK\r\nContent-Length: 123\r\n\r\n',
    'interim-chunked': INTERIM
    + b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n',
    'interim-neither': INTERIM + b'HTTP/1.1 200 OK\r\n\r\n',
    'line-feeds': b'HTTP/1.1 200 OK\nContent-Length: 123\n\n',
}
#: Heads that are a whole answer.
COMPLETE = {
    'empty': b'HTTP/1.1 200 OK\r\n%sContent-Length: 0\r\n\r\n' % NAMED,
    'empty-http-1.0': b'HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n',
    '204': b'HTTP/1.1 204 No Content\r\n%s\r\n' % NAMED,
    '304': b'HTTP/1.1 304 Not Modified\r\n%sContent-Length: 9\r\n\r\n' % NAMED,
    'interim-empty': INTERIM + b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n',
    'interim-204': INTERIM + b'HTTP/1.1 204 No Content\r\n\r\n',
}
#: Step between the positions at which heads are broken off where the time of
#: a test allows no more.
DRAWN = 7
#: Time in which what should not happen does, in seconds.
LATE_S = 0.05


@pytest.fixture
def listener():
    with contextlib.closing(socket.socket()) as made:
        made.bind(('127.0.0.1', 0))
        made.listen()
        yield made


def end(sock, by):
    """Close a connection."""
    if by is BY.RESET:
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, framedanswer.LINGER_RESET
        )
    sock.close()


def read_whole(conn):
    """Read an answer; returns its status and its body."""
    with gevent.Timeout(gatewayworld.WAIT_S):
        head = conn.head()
        held = heldbodies.HeldBodies(1000).begin()
        return head.status, conn.body(held)


def read_broken(listener, data, by, is_reused):
    """Read an answer of which some bytes arrive; its status and its body."""
    address = '%s:%d' % listener.getsockname()
    conn = connection.Connection(address, gatewayworld.WAIT_S)
    server, _ = listener.accept()
    try:
        if is_reused:
            conn.send(b'GET', b'/', [])
            server.sendall(WHOLE)
            assert read_whole(conn) == (200, b'ok')
            assert conn.reusable
        conn.send(b'GET', b'/', [])
        # Unread bytes would turn a close into a reset.
        server.recv(http.READ_BYTES)
        server.sendall(data)
        end(server, by)
        return read_whole(conn)
    finally:
        conn.close()


@pytest.mark.parametrize('is_reused', [False, True], ids=['new', 'reused'])
@pytest.mark.parametrize('by', ENDS)
@pytest.mark.parametrize('name', [*INCOMPLETE, *COMPLETE])
def test_broken_head_is_no_answer(listener, name, by, is_reused):
    """A part of a head was taken for an answer, or waited for without end."""
    whole = (INCOMPLETE | COMPLETE)[name]
    for size in range(len(whole) + (name in INCOMPLETE)):
        with pytest.raises((http.PeerClosed, http.BrokenMessage)):
            read_broken(listener, whole[:size], by, is_reused)


@pytest.mark.parametrize('is_reused', [False, True], ids=['new', 'reused'])
@pytest.mark.parametrize('name', COMPLETE)
def test_whole_head_without_a_body_is_an_answer(listener, name, is_reused):
    """The checks of broken heads would pass if every head was one."""
    status, body = read_broken(listener, COMPLETE[name], BY.CLOSE, is_reused)
    assert body == b''
    assert b' %d ' % status in COMPLETE[name]


@pytest.mark.parametrize('size', [1, 7, 1000])
def test_dropped_answer_ends_where_the_next_one_begins(listener, size):
    """An answer that has others in its body was taken for a broken one."""
    address = '%s:%d' % listener.getsockname()
    conn = connection.Connection(address, gatewayworld.WAIT_S)
    server, _ = listener.accept()
    conn.record_request(b's1')
    body = WHOLE + b'X-Request-Id: r1\r\n: s1: s1\n' + INTERIM
    data = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % len(body)
    data += body + WHOLE
    with contextlib.closing(conn), contextlib.closing(server):
        for at in range(0, len(data), size):
            conn.reader.feed(data[at : at + size])
        conn.head()
        conn.drop_answer()
        assert read_whole(conn) == (200, b'ok')
        assert conn.reusable


#: Whole answers that may follow a broken one on its connection.
FOLLOWING = {
    'empty': b'HTTP/1.1 500 Internal Server Error\r\n'
    b'Content-Length: 0\r\n\r\n',
    'no-reason': b'HTTP/1.1 500\r\nContent-Length: 0\r\n\r\n',
    'http-1.0': b'HTTP/1.0 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n',
    'bodiless': b'HTTP/1.1 204 No Content\r\n%s\r\n' % NAMED,
    'interim': INTERIM + WHOLE,
    'whole': WHOLE,
}


@pytest.mark.parametrize('is_split', [False, True], ids=['once', 'split'])
@pytest.mark.parametrize('following', FOLLOWING)
@pytest.mark.parametrize('name', ['neither', 'length', 'chunked', '204'])
def test_two_heads_are_not_read_as_one(name, following, is_split):
    """The first status was taken for that of the answer behind it."""
    whole = (INCOMPLETE | COMPLETE)[name]
    for size in range(1, len(whole)):
        reader = http.AnswerReader(None)
        data = whole[:size], FOLLOWING[following]
        for each in data if is_split else [b''.join(data)]:
            reader.feed(each)
        assert reader.error is not None or not reader.parts
        assert not any(
            isinstance(part, http.Head) and not part.is_interim
            for part in reader.parts
        )


@pytest.fixture
def world():
    with gatewayworld.world() as made:
        routes = gatewayworld.platformrecords.usual_routes(timeout_ms=8000)
        made.configure(routes=routes)
        yield made


def head_bytes(address, path='/x', **headers):
    """Return the length of the head of an endpoint's answer."""
    with contextlib.closing(gatewayworld.Client(None, address)) as client:
        client.request('POST', path, 'r000', b'x', **headers)
        data = b''
        while b'\r\n\r\n' not in data:
            data += client.sock.recv(http.READ_BYTES)
    return data.index(b'\r\n\r\n') + len(b'\r\n\r\n')


def prompt(number):
    """A prompt that no other request has."""
    first = 100 * number + 1
    return gatewayworld.prompt((first, 40), (first + 1, 60))


LONG = gatewayworld.prompt((0xA, 4000), (0xB, 2000))
EVENTS = b''.join(b'id: %d\ndata: piece %d\n\n' % (n, n) for n in (1, 2, 3))


def check_cuts(node, endpoint, path, sizes, by, allowed, follow_up=b''):
    """Break off an answer after each number of bytes; ask again after it.

    :param allowed: statuses of the answers to requests that are broken off
    :param follow_up: what the endpoint sends in place of the other bytes
    """
    is_plain = path in ('/safe/x', '/unsafe/x')
    with contextlib.closing(gatewayworld.Client(node)) as client:
        for size in sizes:
            request_id = f'r{size:03}'
            headers = {} if is_plain else prompt(size)
            endpoint.cut_off = httpstandin.CutOff(size, by, follow_up)
            head, body = client.call(
                'POST', path, request_id, request_id.encode(), **headers
            )
            assert head.value(b'x-request-id') == request_id.encode()
            assert head.status in allowed, (size, body)
            endpoint.cut_off = None
            request_id = f's{size:03}'
            headers = {} if is_plain else prompt(size + 5000)
            head, body = client.call(
                'POST', path, request_id, request_id.encode(), **headers
            )
            assert head.value(b'x-request-id') == request_id.encode()
            assert head.status == 200, (size, body)
            expected = b'answer to ' + request_id.encode()
            assert body == (expected if is_plain else EVENTS)


@pytest.mark.parametrize('by', ENDS)
@pytest.mark.parametrize('framing', FRAMINGS)
def test_broken_head_of_a_body_is_a_failure(world, framing, by):
    """Callers got a success with an empty or a short body."""
    endpoint = world.endpoint('p1')
    endpoint.framing = framing
    sizes = range(head_bytes(endpoint.address) + 1)
    check_cuts(world.node(), endpoint, '/unsafe/x', sizes, by, {502})


@pytest.mark.parametrize('path', ['/once/x', '/chat/x'])
@pytest.mark.parametrize('by', ENDS)
@pytest.mark.parametrize('framing', FRAMINGS)
def test_broken_head_of_a_stream_is_a_failure(world, framing, by, path):
    """Callers got a success with an empty or a short stream."""
    world.endpoint('e1', 'model', 'prefill')
    endpoint = world.endpoint('e2', 'model', 'decode')
    endpoint.framing = framing
    whole = head_bytes(endpoint.address, **prompt(9999))
    sizes = range(0, whole + 1, 6 * DRAWN if path == '/chat/x' else 3)
    check_cuts(world.node(), endpoint, path, sizes, by, {502})


@pytest.mark.parametrize('by', ENDS)
def test_broken_head_of_a_safe_request_is_replaced(world, by):
    """Callers got it although another endpoint had a whole answer."""
    endpoint = world.endpoint('p1')
    world.endpoint('p2')
    node = world.node()
    # It would spare the endpoint otherwise.
    node.balancer.record_failure = lambda endpoint_id, now_s: None
    node.budgets['plain'].try_acquire = lambda now_s: True
    sizes = range(0, head_bytes(endpoint.address) + 1, DRAWN)
    with contextlib.closing(gatewayworld.Client(node)) as client:
        for size in sizes:
            request_id = f'r{size:03}'.encode()
            endpoint.cut_off = httpstandin.CutOff(size, by)
            head, body = client.call(
                'POST', '/safe/x', request_id.decode(), request_id
            )
            assert (head.status, body) == (200, b'answer to ' + request_id)
    assert len(endpoint.arrivals) > len(sizes) / 4


@pytest.mark.parametrize('by', ENDS)
@pytest.mark.parametrize('size', range(0, 100, 5 * DRAWN))
def test_broken_head_of_a_prefill_is_no_kv_cache(world, by, size):
    """Streams were to go on from KV caches that nobody had announced."""
    prefilling = world.endpoint('e1', 'model', 'prefill')
    decoding = world.endpoint('e2', 'model', 'decode')
    world.node()
    prefilling.cut_off = httpstandin.CutOff(size, by)
    with contextlib.closing(gatewayworld.Client(world.nodes[0])) as client:
        head, body = client.call('POST', '/once/x', 'r1', b'x', **LONG)
        assert prefilling.arrivals
        assert (head.status, body) == (200, EVENTS)
        assert not any(
            b'x-kv-source' in each.headers for each in decoding.arrivals
        )
        prefilling.cut_off = None
        head, body = client.call('POST', '/once/x', 'r2', b'x', **LONG)
        assert (head.status, body) == (200, EVENTS)


@pytest.mark.parametrize('framing', FRAMINGS)
@pytest.mark.parametrize('path', ['/unsafe/x', '/once/x'])
def test_broken_head_before_another_answer_is_a_failure(world, path, framing):
    """Callers got an empty success, with the failure that a server sent."""
    is_plain = path == '/unsafe/x'
    if not is_plain:
        world.endpoint('e1', 'model', 'prefill')
    endpoint = (
        world.endpoint('p1')
        if is_plain
        else world.endpoint('e2', 'model', 'decode')
    )
    endpoint.framing = framing
    headers = {} if is_plain else prompt(9999)
    sizes = range(1, head_bytes(endpoint.address, **headers), 2)
    check_cuts(
        world.node(),
        endpoint,
        path,
        sizes,
        BY.CLOSE,
        {502},
        follow_up=FOLLOWING['empty'],
    )


class OtherHost:
    """Takes the requests that a host passes on."""

    def __init__(self, node, endpoint):
        self.endpoint = endpoint
        address, _, port = endpoint.address.rpartition(':')
        node.relayer.port = int(port)
        node.paths.is_cut_off = lambda service: True
        node.paths.choose_host = lambda service, declined: address
        node.members.relay_token = lambda address: 'secret'


@pytest.mark.parametrize('path', ['/unsafe/x', '/once/x'])
@pytest.mark.parametrize('by', ENDS)
@pytest.mark.parametrize('framing', FRAMINGS)
def test_broken_head_of_another_host_is_a_failure(world, framing, by, path):
    """Callers got a success with an empty or a short body."""
    other = world.endpoint('other')
    other.framing = answerend.Framing.LENGTH
    node = world.node()
    OtherHost(node, other)
    is_plain = path == '/unsafe/x'
    headers = {} if is_plain else prompt(9999)
    with contextlib.closing(gatewayworld.Client(node)) as client:
        for size in range(0, head_bytes(other.address, **headers) + 1, DRAWN):
            request_id = f'r{size:03}'
            headers = {} if is_plain else prompt(size)
            other.framing = framing
            other.cut_off = httpstandin.CutOff(size, by)
            head, _ = client.call('POST', path, request_id, b'x', **headers)
            assert head.status == 502
            other.framing = (
                answerend.Framing.LENGTH
                if is_plain
                else answerend.Framing.CHUNKED
            )
            other.cut_off = None
            head, body = client.call(
                'POST', path, f's{size:03}', b'x', **headers
            )
            assert head.status == 200
            expected = b'answer to s%03d' % size
            assert body == (expected if is_plain else EVENTS)


#: Longest answer to a call below, with its head, in bytes.
MAX_CALL_BYTES = 2000


def check_calls(stand_in, call, failures):
    """Break off the answer to a call after each of its bytes."""
    for by in ENDS:
        for size in range(0, MAX_CALL_BYTES, DRAWN):
            stand_in.cut_off = httpstandin.CutOff(size, by)
            with gevent.Timeout(gatewayworld.WAIT_S):
                result = call()
            if not isinstance(result, failures):
                break
        # Only one that is whole is no failure.
        assert len('HTTP/1.1 200 OK') < size < MAX_CALL_BYTES - DRAWN
        stand_in.cut_off = None
        assert call() == result


ENGINE_CALLS = {
    'state': (
        platform_engines.PlatformEngines.state,
        (),
        enginecontrol.Unreachable,
    ),
    'order': (
        platform_engines.PlatformEngines.order_stage,
        (catalog.Stage.DECODE, 'h1', 1, 0),
        enginecontrol.Unreachable,
    ),
    'stop': (
        platform_engines.PlatformEngines.stop_run,
        (b'r1', '127.0.0.1:1'),
        streambackup.Uncertain,
    ),
    'check of a silent engine': (
        platform_engines.PlatformEngines.check_responds,
        (),
        streambackup.Uncertain,
    ),
}


@pytest.mark.parametrize('name', ENGINE_CALLS)
def test_broken_head_of_an_engine_says_nothing_of_it(world, name):
    """A run was taken for stopped, or an order for accepted."""
    method, args, failure = ENGINE_CALLS[name]
    engine = world.endpoint('e1', 'model', 'decode')
    endpoint = catalog.Endpoint(
        'e1', 'model', engine.address, 'z1', 16, False, catalog.Stage.DECODE
    )
    call = functools.partial(
        method, platform_engines.PlatformEngines(), endpoint, *args
    )
    check_calls(engine, call, failure)


STORE_CALLS = {
    'list': lambda client: client.list_prefix('servers/'),
    'read': lambda client: client.read('servers/p1'),
    'watch': lambda client: client.watch(
        'servers/', position.Position(platformstore.FIRST_ERA, 1), 0.01
    ),
    'commit': lambda client: type(client.commit({}, (store.Put('k', b'v'),))),
    'grant': lambda client: type(client.grant(10.0)),
}


@pytest.mark.parametrize('name', STORE_CALLS)
def test_broken_head_of_the_store_is_no_state_of_it(world, name):
    """Keys were taken for absent, or writes for made."""
    world.endpoint('p1')
    client = platform_store.PlatformStore(
        world.store.address, clocks.SystemClock()
    )

    def call():
        result = STORE_CALLS[name](client)
        if result is store.Unavailable:
            return store.Unavailable('', True)
        return result

    check_calls(world.store, call, store.Unavailable)
    client.close()


@pytest.mark.parametrize('by', ENDS)
def test_host_serves_and_learns_on_after_broken_heads_of_the_store(world, by):
    """A host lost its configuration or its endpoints, or followed no more."""
    world.endpoint('p1')
    node = world.node()
    for version in range(2, 12):
        world.store.cut_off = httpstandin.CutOff(10 * version, by)
        world.store.cut()
        world.configure(version=version)
        gevent.sleep(LATE_S)
        assert node.catalog.configuration.version < version
        assert world.ask('/unsafe/x', request_id=f'r{version}').status == 200
    world.store.cut_off = None
    gatewayworld.wait_for(
        lambda: node.catalog.configuration.version == 11, 'the configuration'
    )
    assert world.ask('/unsafe/x').status == 200


REQUEST = (
    b'POST /unsafe/x HTTP/1.1\r\nHost: %s\r\nX-Request-Id: r1\r\n'
    b'Content-Length: 10\r\n\r\n' % gatewayworld.HOST.encode()
)
CHUNKED_REQUEST = REQUEST.replace(
    b'Content-Length: 10', b'Transfer-Encoding: chunked'
)


@pytest.mark.parametrize('is_reused', [False, True], ids=['new', 'reused'])
@pytest.mark.parametrize('end_with', ['close', 'half-close', 'reset'])
@pytest.mark.parametrize(
    'request_head', [REQUEST, CHUNKED_REQUEST], ids=['length', 'chunked']
)
def test_broken_head_of_a_request_reaches_no_endpoint(
    world, request_head, end_with, is_reused
):
    """Parts of requests were run or answered, or filled the log."""
    endpoint = world.endpoint('p1')
    node = world.node()
    sizes = range(0, len(request_head) + 1, DRAWN if is_reused else 1)
    logged = logbook.TestHandler()
    with logged.applicationbound():
        for size in sizes:
            client = gatewayworld.Client(node)
            if is_reused:
                client.call('POST', '/unsafe/x', f'r{size}', b'x')
            client.send(request_head[:size])
            if end_with == 'half-close':
                client.sock.shutdown(socket.SHUT_WR)
                assert client.sock.recv(1) == b''
            end(client.sock, BY.RESET if end_with == 'reset' else BY.CLOSE)
        gatewayworld.wait_for(
            lambda: not node.ingress.connections, 'the ends of all'
        )
        gevent.sleep(LATE_S)
    assert len(endpoint.arrivals) == len(sizes) * is_reused
    assert node.ingress.open_requests == 0
    ended = [
        r for r in logged.records if r.message.startswith('event=request_')
    ]
    assert len(ended) == len(endpoint.arrivals)
    assert len(logged.records) < len(sizes) + len(endpoint.arrivals)


#: Status of an endpoint's answers by how it serves requests.
ANSWERS = {'ok': 200, 'error': 500, 'shed': 503}


@pytest.mark.parametrize(
    'first, second',
    [('ok', 'error'), ('error', 'ok'), ('shed', 'ok'), ('shed', 'error')],
)
def test_broken_head_of_a_late_copy_answers_nothing(
    world, monkeypatch, first, second
):
    """Its status was taken for that of the answer behind it."""
    monkeypatch.setattr(upstream, 'MAX_IDLE_UNREPEATABLE_S', 60.0)
    monkeypatch.setattr(upstream, 'MAX_IDLE_S', 60.0)
    endpoint = world.endpoint('p1')
    node = world.node()
    endpoint.mode = first
    sizes = range(1, head_bytes(endpoint.address), DRAWN)
    endpoint.sends_copies = True
    wrong = []
    with contextlib.closing(gatewayworld.Client(node)) as client:
        for size in sizes:
            node.upstream.drop_endpoint('p1')
            endpoint.mode = first
            head, _ = client.call(
                'POST', '/unsafe/x', f'r{size:03}', b'r%d' % size
            )
            assert head.status == ANSWERS[first]
            endpoint.mode, endpoint.copied_bytes = second, size
            head, body = client.call(
                'POST', '/unsafe/x', f's{size:03}', b's%d' % size
            )
            if head.status == 502:
                continue
            if head.status != ANSWERS[second] or (
                head.status == 200 and body != b'answer to s%03d' % size
            ):
                wrong.append((size, head.status, body))
    assert wrong == []
