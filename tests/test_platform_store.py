"""The store's client against its stand-in."""

import gevent
import pytest

from magnoliadyke import clock as clocks
from magnoliadyke.gateway import store
from magnoliadyke.lab import platformstore
from magnoliadyke.platform import store as platform_store


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
    for number in range(platformstore.PAGE + 20):
        standin.put(f'a/{number:04}', b'%d' % number)
    standin.put('b', b'other')
    found = client.list_prefix('a/')
    assert len(found.items) == platformstore.PAGE + 20
    assert found.items[7].value == b'7'
    assert found.revision == standin.revision


def test_watch_tells_what_changed(standin, client):
    start = standin.put('a', b'1')
    gevent.spawn_later(0.05, standin.put, 'b', b'2')
    changes = client.watch('', start, 5.0)
    assert changes.changes == (store.Item('b', b'2', start + 1),)
    standin.remove('a')
    changes = client.watch('', changes.revision, 5.0)
    assert changes.changes == (store.Removed('a', start + 2),)


def test_watch_ends_without_changes(standin, client):
    assert client.watch('', standin.revision, 0.05).changes == ()


def test_history_that_is_gone(standin, client):
    start = standin.put('a', b'1')
    standin.put('a', b'2')
    standin.compact()
    assert client.watch('', start, 1.0) == store.Compacted()


def test_conditions(standin, client):
    first = client.commit({'k': 0}, (store.Put('k', b'1'),))
    assert isinstance(first, store.Written)
    again = client.commit({'k': 0}, (store.Put('k', b'2'),))
    assert again == store.Conflict((store.Item('k', b'1', first.revision),))
    assert isinstance(
        client.commit({'k': first.revision}, (), ('k',)), store.Written
    )
    assert 'k' not in standin.items


def test_check_that_writes_nothing(standin, client):
    written = client.commit({'k': 0}, (store.Put('k', b'1'),))
    before = standin.revision
    assert isinstance(client.commit({'k': written.revision}), store.Written)
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
