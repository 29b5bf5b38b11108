"""Tests of magnoliadyke.endpoint: connections and what they prove."""

import gevent
from gevent import server
import pytest

from magnoliadyke import clock as clocks
from magnoliadyke import endpoint
from magnoliadyke import errors

ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'


class Peer:
    """A server that does to each connection what it is told.

    :ivar accepted: connections so far
    :ivar requests: requests received, as bytes
    """

    def __init__(self, answers=(ANSWER,)):
        self.answers = answers
        self.accepted = 0
        self.requests = []
        self.server = server.StreamServer(('127.0.0.1', 0), self.serve)
        self.server.start()
        self.clock = clocks.ManualClock()
        self.connections = endpoint.Connections(
            f'127.0.0.1:{self.server.server_port}',
            self.clock,
            endpoint.DEFAULTS,
        )

    def serve(self, handle, address):
        self.accepted += 1
        for answer in self.answers:
            data = handle.recv(65536)
            if not data:
                return
            self.requests.append(data)
            handle.sendall(answer)
        handle.close()

    def get(self, **options):
        return self.connections.call('GET', '/', b'', (), 0.3, **options)


@pytest.fixture
def peers():
    made = []

    def make(*arguments):
        made.append(Peer(*arguments))
        return made[-1]

    yield make
    for peer in made:
        peer.server.stop(timeout=0.01)


def test_an_idle_connection_is_used_again_while_young(peers):
    peer = peers((ANSWER,) * 4)
    peer.get()
    peer.get()
    assert peer.accepted == 1
    peer.clock.advance(endpoint.DEFAULTS.idle_s + 1)
    peer.get()
    assert peer.accepted == 2


def test_a_call_that_must_not_repeat_gets_a_new_connection(peers):
    peer = peers((ANSWER,) * 4)
    peer.get()
    peer.get(fresh=True)
    assert peer.accepted == 2


def test_a_connection_that_the_other_end_closed_is_not_used(peers):
    """The endpoint closed an idle connection.

    A request written to it would be lost, and nobody could say whether it
    ran. The close is seen before anything is sent.
    """
    peer = peers()
    peer.get()
    gevent.sleep(0.05)
    assert peer.get().status == 200
    assert peer.accepted == 2


def test_nothing_was_sent_when_nobody_accepts(peers):
    peer = peers()
    peer.server.stop(timeout=0.01)
    with pytest.raises(errors.EndpointUnreachable) as caught:
        peer.get()
    assert not caught.value.sent


@pytest.mark.parametrize('answer', [b'', ANSWER[:30], b'garbage\r\n\r\n'])
def test_a_broken_answer_is_never_asked_for_again(peers, answer):
    """The endpoint got the request; its answer is cut or damaged.

    The request may have run. The library below must not send it again by
    itself, and the error says that it was sent.
    """
    peer = peers((answer,))
    with pytest.raises(errors.EndpointUnreachable) as caught:
        peer.get()
    assert caught.value.sent
    assert len(peer.requests) == 1


def test_one_silence_makes_the_siblings_suspect(peers):
    peer = peers((ANSWER,) * 4)
    peer.get()
    assert not peer.connections.is_suspect()
    peer.connections.mark_suspect()
    assert peer.connections.is_suspect()
    assert peer.connections.idle == []
    peer.clock.advance(endpoint.Connections.SUSPECT_S + 1)
    assert not peer.connections.is_suspect()
