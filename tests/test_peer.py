"""Calls between nodes over socket pairs."""

import types

import gevent
from gevent import socket
import pytest

from magnoliadyke import clock
from magnoliadyke import errors
from magnoliadyke import peer

ADDRESS = '192.0.2.1:7100'
SETTINGS = types.SimpleNamespace(
    hosts=[
        types.SimpleNamespace(name='h1', address='192.0.2.1', peer_port=7100)
    ]
)


@pytest.fixture
def pair(monkeypatch):
    """A server and clients whose connections are socket pairs."""
    ticking = clock.ManualClock()
    server = peer.PeerServer(SETTINGS, 'h1', 5, ticking)
    clients = peer.PeerClients(SETTINGS, 'h2', ticking)
    clients.connections = 0

    def connect(address):
        clients.connections += 1
        near, far = socket.socketpair()
        gevent.spawn(server.serve, far, ('', 0))
        return near

    monkeypatch.setattr(peer, 'connect', connect)
    return server, clients, ticking


def test_fetches_a_large_table_and_hands_records_over(pair):
    server, clients, _ = pair
    text = 'x' * 900_000
    server.fetch_table = lambda known: (7, text if known < 7 else None)
    server.receive_records = lambda host, incarnation, records, last: len(
        records
    )
    assert clients.fetch_table(ADDRESS, 3) == (7, text)
    assert clients.fetch_table(ADDRESS, 7) is None
    assert clients.handover(ADDRESS, 1, [b'a', b'b'], True) == 2
    assert clients.connections == 1


def test_refused_records_are_told_apart_from_none_taken(pair):
    server, clients, _ = pair
    server.receive_records = lambda *_: None
    assert clients.handover(ADDRESS, 1, [b'a'], True) is None


def test_idle_connection_is_probed_before_a_call(pair):
    # A node that learned of a newer table would wait out a whole timeout
    # before it has it: its connection went silent while idle. The probe has
    # a short timeout, and the call then goes over a new connection.
    server, clients, ticking = pair
    server.fetch_table = lambda known: (7, None)
    clients.fetch_table(ADDRESS, 7)
    clients.idle[ADDRESS].handle.close()
    ticking.advance(60)
    assert clients.fetch_table(ADDRESS, 7) is None
    assert clients.connections == 2


def test_unreachable_host_is_a_typed_error(monkeypatch):
    def refuse(address):
        raise ConnectionRefusedError

    monkeypatch.setattr(peer, 'connect', refuse)
    clients = peer.PeerClients(SETTINGS, 'h2', clock.ManualClock())
    with pytest.raises(errors.HostUnreachable):
        clients.fetch_table(ADDRESS, 0)
