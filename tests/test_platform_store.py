"""The store's client against its stand-in."""

import json

import gevent
from gevent import server
import pytest

from magnoliadyke import clock as clocks
from magnoliadyke.core import position
from magnoliadyke.gateway import store
from magnoliadyke.lab import platformstore
from magnoliadyke.platform import store as platform_store


ERA = 1
ABSENT = position.Position(ERA, 0)


def at(revision, era=ERA):
    return position.Position(era, revision)


def restore(standin, client, copy):
    """Restore the store; the client's connections end with it."""
    standin.restore(copy)
    client.close()


@pytest.fixture
def standin():
    made = platformstore.PlatformStoreStandIn()
    made.start()
    yield made
    made.stop()


@pytest.fixture
def client(standin):
    made = platform_store.PlatformStore(standin.address, clocks.SystemClock())
    yield made
    made.close()


def test_items_come_in_pages(standin, client):
    for number in range(platformstore.PAGE_SIZE + 20):
        standin.put(f'a/{number:04}', b'%d' % number)
    standin.put('b', b'other')
    found = client.list_prefix('a/')
    assert len(found.items) == platformstore.PAGE_SIZE + 20
    assert found.items[7].value == b'7'
    assert found.position == at(standin.revision)


def test_watch_tells_what_changed(standin, client):
    start = standin.put('a', b'1')
    gevent.spawn_later(0.05, standin.put, 'b', b'2')
    changes = client.watch('', at(start), 5.0)
    assert changes.changes == (store.Item('b', b'2', at(start + 1)),)
    standin.remove('a')
    changes = client.watch('', changes.position, 5.0)
    assert changes.changes == (store.Removed('a', at(start + 2)),)


def test_watch_ends_without_changes(standin, client):
    assert client.watch('', at(standin.revision), 0.05).changes == ()


def test_history_that_is_gone(standin, client):
    start = standin.put('a', b'1')
    standin.put('a', b'2')
    standin.compact()
    assert client.watch('', at(start), 1.0) == store.Compacted()


def test_conditions(standin, client):
    first = client.commit({'k': ABSENT}, (store.Put('k', b'1'),))
    assert isinstance(first, store.Written)
    again = client.commit({'k': ABSENT}, (store.Put('k', b'2'),))
    assert again == store.Conflict((store.Item('k', b'1', first.position),))
    assert isinstance(
        client.commit({'k': first.position}, (), ('k',)), store.Written
    )
    assert 'k' not in standin.items


def test_check_that_writes_nothing(standin, client):
    written = client.commit({'k': ABSENT}, (store.Put('k', b'1'),))
    before = standin.revision
    assert isinstance(client.commit({'k': written.position}), store.Written)
    assert standin.revision == before


def test_keys_end_with_their_lease(standin, client):
    granted = client.grant(0.2)
    client.commit({}, (store.Put('k', b'1', granted.lease),))
    assert isinstance(client.renew(granted.lease), store.Granted)
    client.revoke(granted.lease)
    assert 'k' not in standin.items
    assert client.renew(granted.lease) == store.NoLease()
    put = store.Put('k', b'1', granted.lease)
    assert client.commit({}, (put,)) == store.NoLease()


def test_busy_store_has_done_nothing(standin, client):
    standin.mode = 'busy'
    outcome = client.commit({}, (store.Put('k', b'1'),))
    assert isinstance(outcome, store.Unavailable)
    assert not outcome.maybe_applied


def test_lost_answer_may_have_been_applied(standin, client):
    """The store writes, and its answer is lost on the way.

    Told as "not done", a second write would conflict with the first.
    """
    standin.lose_answers = True
    outcome = client.commit({}, (store.Put('k', b'1'),))
    assert isinstance(outcome, store.Unavailable)
    assert outcome.maybe_applied
    assert 'k' in standin.items


def test_store_that_is_down():
    client = platform_store.PlatformStore('127.0.0.1:1', clocks.SystemClock())
    assert isinstance(client.list_prefix(''), store.Unavailable)


def test_connection_that_the_store_closed_is_not_used_again(standin, client):
    assert isinstance(client.list_prefix(''), store.Items)
    standin.cut()
    gevent.sleep(0.05)
    assert isinstance(client.list_prefix(''), store.Items)


def test_answers_carry_the_era(standin, client):
    copy = standin.snapshot()
    seen = []
    client.era_changed = lambda: seen.append(client.era)
    standin.put('a', b'1')
    assert client.list_prefix('').position == at(standin.revision)
    restore(standin, client, copy)
    assert client.list_prefix('').position == at(copy.revision, era=2)
    assert seen == [2]
    assert client.restores == 1


def test_watch_of_a_lost_future_tells_of_the_restore(standin, client):
    copy = standin.snapshot()
    lost = at(standin.put('a', b'1'))
    restore(standin, client, copy)
    assert client.watch('', lost, 1.0) == store.Restored(2)
    for _ in range(3):
        standin.put('b', b'2')
    assert client.watch('', lost, 1.0) == store.Restored(2)


def test_transaction_on_a_revision_given_out_twice_is_no_success(
    standin, client
):
    copy = standin.snapshot()
    written = at(standin.put('a', b'mine'))
    assert client.list_prefix('').position == written
    restore(standin, client, copy)
    assert standin.put('a', b'of another') == written.revision
    outcome = client.commit({'a': written}, (store.Put('a', b'again'),))
    assert outcome == store.Restored(2)
    calls = len(standin.calls)
    assert client.commit({'a': written}) == store.Restored(2)
    assert len(standin.calls) == calls


def test_renewal_answered_in_a_later_era_is_no_success(standin, client):
    copy = standin.snapshot()
    lease = client.grant(9.0).lease
    restore(standin, client, copy)
    standin._grant_lease({'ttl_ms': 9000})
    assert lease in standin.leases
    assert client.renew(lease) == store.Restored(2)


def test_answer_of_an_earlier_era_is_none(standin, client):
    assert isinstance(client.list_prefix(''), store.Items)
    standin.era = 2
    assert client.list_prefix('').position.era == 2
    standin.era = 1
    outcome = client.list_prefix('')
    assert isinstance(outcome, store.Unavailable)
    assert 'era 1' in outcome.reason
    assert client.era == 2


@pytest.fixture
def slow():
    """A store that answers each call in pieces, with a pause after each."""

    class Slow(server.StreamServer):
        pieces = 8
        pause_s = 0.2
        stalls_after = 8

        def handle(self, sock, address):
            sock.recv(65536)
            body = json.dumps({'events': [], 'store_revision': 7}).encode()
            body += b' ' * 800
            sock.sendall(
                b'HTTP/1.1 200 OK\r\nstore-era: 1\r\n'
                b'Content-Length: %d\r\n\r\n' % len(body)
            )
            size = -(-len(body) // self.pieces)
            for number in range(self.pieces):
                if number >= self.stalls_after:
                    gevent.sleep(30.0)
                sock.sendall(body[number * size : (number + 1) * size])
                gevent.sleep(self.pause_s)

    made = Slow(('127.0.0.1', 0))
    made.start()
    yield made
    made.stop(timeout=0)


def call_of(slow):
    return platform_store.PlatformStore(
        f'127.0.0.1:{slow.server_port}', clocks.SystemClock()
    )


def test_large_answer_over_a_narrow_link_is_no_loss_of_the_store(slow):
    """It takes longer than a store that is silent is waited for."""
    assert slow.pieces * slow.pause_s > platform_store.CALL_TIMEOUT_S
    changes = call_of(slow).watch('', at(3), 0.0)
    assert changes == store.Changes((), at(7))


def test_answer_that_stops_midway_is_given_up(slow):
    slow.stalls_after = 3
    with gevent.Timeout(3 * slow.pause_s + platform_store.WATCH_GRACE_S + 0.3):
        outcome = call_of(slow).watch('', at(3), 0.0)
    assert isinstance(outcome, store.Unavailable)


def test_answer_that_never_ends_is_given_up(slow):
    slow.pieces = 100
    with gevent.Timeout(platform_store.RESPONSE_TIMEOUT_S + 1.0):
        outcome = call_of(slow).watch('', at(3), 0.0)
    assert isinstance(outcome, store.Unavailable)


@pytest.mark.parametrize(
    'answer',
    [
        b'HTTP/1.1 200 OK\r\n\r\n',
        b'HTTP/1.1 200 OK\r\n\r\n{"items":[],"store_rev',
        b'HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{"items":[]}',
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n',
        b'HTTP/1.1 200 O',
        b'',
    ],
)
def test_answer_that_was_broken_off_is_none(answer):
    """A write without an answer passed for an answer without fields."""

    def serve(sock, address):
        sock.recv(65536)
        sock.sendall(answer)
        sock.close()

    breaking = server.StreamServer(('127.0.0.1', 0), serve)
    breaking.start()
    client = platform_store.PlatformStore(
        f'127.0.0.1:{breaking.server_port}', clocks.SystemClock()
    )
    try:
        written = client.commit({'a': ABSENT}, (store.Put('a', b'1', 0),))
        assert isinstance(written, store.Unavailable)
        assert written.maybe_applied
        for found in (
            client.list_prefix(''),
            client.read('a'),
            client.watch('', at(1), 0.1),
            client.grant(1.0),
            client.renew(1),
        ):
            assert isinstance(found, store.Unavailable)
    finally:
        client.close()
        breaking.stop()


@pytest.fixture
def told():
    """A store that answers each call with the next of some bodies."""

    class Told(server.StreamServer):
        bodies = []
        status = 200
        era = b'1'

        def handle(self, sock, address):
            while sock.recv(65536):
                body = self.bodies[0]
                if len(self.bodies) > 1:
                    self.bodies.pop(0)
                sock.sendall(
                    b'HTTP/1.1 %d OK\r\nstore-era: %s\r\n'
                    b'Content-Length: %d\r\n\r\n'
                    % (self.status, self.era, len(body))
                    + body
                )

    made = Told(('127.0.0.1', 0))
    made.start()
    yield made
    made.stop(timeout=0)


def all_calls(client):
    return (
        client.list_prefix(''),
        client.read('a'),
        client.watch('', at(1), 0.1),
        client.watch('', at(1), 0.0),
        client.commit({'a': ABSENT}, (store.Put('a', b'1'),)),
        client.grant(1.0),
        client.renew(1),
    )


@pytest.mark.parametrize(
    'body',
    [
        b'no JSON',
        b'\xff',
        b'[' * 100_000,
        b'{"a":' * 100_000,
        b'{"store_revision":%s}' % (b'9' * 5000),
        b'null',
        b'[]',
        b'"text"',
        b'{}',
        b'{"store_revision":7,"revision":7}',
        b'{"items":{},"events":{},"more_pages":false,"store_revision":7}',
        b'{"items":"a","events":"a","more_pages":false,"store_revision":7}',
        b'{"items":[],"events":[],"more_pages":false}',
        b'{"items":[],"events":[],"more_pages":true,"store_revision":7}',
        b'{"items":[],"events":[],"more_pages":1,"store_revision":null}',
        *(
            b'{"items":[],"events":[],"more_pages":false,"key":"a",'
            b'"store_revision":%s,"revision":%s,"lease":%s,"ttl_ms":%s}'
            % (number, number, number, number)
            for number in (
                b'-1',
                b'true',
                b'"7"',
                b'7.5',
                b'NaN',
                b'1e999',
                b'9' * 400,
                b'[]',
            )
        ),
    ],
    ids=lambda body: repr(body[:40]),
)
def test_answer_that_no_store_gives_is_none(told, body):
    """It ended whoever made the call: the follower, the leader's duties."""
    told.bodies = [body]
    client = call_of(told)
    for found in all_calls(client):
        assert isinstance(
            found,
            store.Unavailable | store.Changes | store.Written | store.Granted,
        )
    told.status = 412
    found = client.commit({'a': ABSENT}, (store.Put('a', b'1'),))
    assert isinstance(found, store.Unavailable | store.Conflict)
    client.close()


@pytest.mark.parametrize('era', [b'-1', b'1' * 30, b'9' * 5000, b'1_0', b'x'])
def test_era_that_can_not_be_is_not_kept(told, era):
    """All later answers counted as ones of an earlier era."""
    told.bodies = [b'{"items":[],"more_pages":false,"store_revision":7}']
    client = call_of(told)
    told.era = era
    assert isinstance(client.list_prefix(''), store.Unavailable)
    told.era = b'2'
    assert client.list_prefix('').position == at(7, era=2)
    client.close()


ODD_ITEMS = [
    None,
    7,
    'text',
    [],
    {},
    {'key': 'b', 'value': 'MQ=='},
    {'value': 'MQ==', 'revision': 5},
    {'key': None, 'value': 'MQ==', 'revision': 5},
    {'key': 7, 'value': 'MQ==', 'revision': 5},
    {'key': [], 'value': 'MQ==', 'revision': 5},
    {'key': '', 'value': 'MQ==', 'revision': 5},
    {'key': '\ud800', 'value': 'MQ==', 'revision': 5},
    *(
        {'key': 'b', 'value': 'MQ==', 'revision': each}
        for each in (None, True, -1, '5', 5.5, 10**400, 2**60, [], {})
    ),
    {'key': 'b', 'tombstone': 'yes', 'revision': 5},
    {'key': 'b', 'tombstone': True},
]


@pytest.mark.parametrize('odd', ODD_ITEMS, ids=repr)
def test_odd_item_hides_no_other(told, odd):
    """One that could not be decoded ended the follower of the list."""
    good = {'key': 'a', 'value': 'MQ==', 'revision': 4}
    last = {'key': 'c', 'value': 'Mg==', 'revision': 6}
    body = {
        'items': [good, odd, last],
        'events': [good, odd, last],
        'store_revision': 7,
        'more_pages': False,
    }
    told.bodies = [json.dumps(body).encode()]
    client = call_of(told)
    listed = client.list_prefix('').items
    changes = client.watch('', at(1), 0.1)
    kept = (store.Item('a', b'1', at(4)), store.Item('c', b'2', at(6)))
    # One without the mark of a removal is a written item in a list.
    assert [i for i in listed if i.key != 'b'] == list(kept)
    assert changes == store.Changes(kept, at(7))
    client.close()


@pytest.mark.parametrize('value', ['MQ', 'M', '\u00e9', '***', 7, [1], True])
def test_value_that_is_no_base64_is_a_change_all_the_same(told, value):
    """The entry that it replaces holds no longer."""
    odd = {'key': 'a', 'value': value, 'revision': 5}
    told.bodies = [json.dumps({'events': [odd], 'store_revision': 7}).encode()]
    client = call_of(told)
    changes = client.watch('', at(1), 0.1)
    assert changes.changes == (store.Item('a', b'', at(5)),)
    client.close()


def test_pages_that_do_not_advance_end(told):
    """The same page over and over filled the memory."""
    item = {'key': 'a', 'value': '', 'revision': 4}
    body = {'items': [item], 'more_pages': True, 'store_revision': 7}
    told.bodies = [json.dumps(body).encode()]
    client = call_of(told)
    with gevent.Timeout(2.0):
        assert isinstance(client.list_prefix(''), store.Unavailable)
    client.close()
