"""Callers of the platform that keep connections and try again."""

import random
import time

import gevent
from gevent import socket

from magnoliadyke.gateway import http
from magnoliadyke.lab import platformcheck
from magnoliadyke.lab import platformfleet
from magnoliadyke.lab import platformrecords

__all__ = ['Callers']

KINDS = ('safe', 'unsafe', 'once', 'chat')
KIND_WEIGHTS = (4, 3, 2, 3)
#: Pause between two requests of a caller, in seconds, at most.
THINK_S = 0.1
#: How long a caller waits for an answer, in seconds: more than a route's
#: time, so that the host ends each request first.
WAIT_S = 6.0
CONNECT_S = 1.0
#: Longest pause that a caller makes when told to come back later.
MOST_RETRY_S = 1.0
SHARED_PROMPTS = 4


class Callers:
    """Callers at work.

    :ivar tries: all their requests, in the order of their sending
    """

    def __init__(
        self, fleet: platformfleet.Fleet, count: int, rng: random.Random
    ) -> None:
        self.fleet = fleet
        self.tries: list[platformcheck.Try] = []
        self.stopped = False
        self.greenlets = [
            gevent.Greenlet(self._call_on, number, rng.getrandbits(32))
            for number in range(count)
        ]

    def start(self) -> None:
        """Begin to call."""
        for greenlet in self.greenlets:
            greenlet.start()

    def stop(self) -> None:
        """Let each end its request, then no more."""
        self.stopped = True
        gevent.joinall(self.greenlets, raise_error=True)

    def _call_on(self, number: int, seed: int) -> None:
        rng = random.Random(seed)
        connection = None
        sent = 0
        while not self.stopped:
            if connection is None:
                connection = self._connect(rng)
                if connection is None:
                    gevent.sleep(0.05)
                    continue
            sent += 1
            one = self._one(f'c{number}-{sent}', connection, rng)
            self.tries.append(one)
            if not connection.exchange(one, rng):
                connection.close()
                connection = None
            gevent.sleep(self._pause_s(one, rng))
        if connection is not None:
            connection.close()

    def _pause_s(self, one: platformcheck.Try, rng: random.Random) -> float:
        pause_s = THINK_S * rng.random()
        if one.status in platformcheck.NOT_RUN:
            pause_s += MOST_RETRY_S * rng.random()
        return pause_s

    def _one(
        self, request_id: str, connection: '_Connection', rng: random.Random
    ) -> platformcheck.Try:
        (kind,) = rng.choices(KINDS, KIND_WEIGHTS)
        return platformcheck.Try(
            request_id, kind, connection.host, time.monotonic()
        )

    def _connect(self, rng: random.Random) -> '_Connection | None':
        host = rng.choice(self.fleet.hosts())
        try:
            return _Connection(host, self.fleet.callers_address(host))
        except OSError:
            # Nobody listens there just now; callers go to another host.
            return None


class _Connection:
    """A caller's connection to a host."""

    def __init__(self, host: str, address: tuple[str, int]) -> None:
        self.host = host
        self.sock = socket.create_connection(address, CONNECT_S)
        self.sock.settimeout(WAIT_S)
        self.reader = http.AnswerReader(self.sock)

    def close(self) -> None:
        """Close it."""
        http.drop(self.sock)

    def exchange(self, one: platformcheck.Try, rng: random.Random) -> bool:
        """Send a request and read its answer.

        :returns: whether the connection can be used again
        """
        try:
            self.sock.sendall(_request(one, rng))
            head = self.reader.next_part()
            one.status = head.status
            one.sealed = head.value(b'x-server-seal') is not None
            while isinstance(part := self.reader.next_part(), http.Body):
                one.body += part.data
            one.complete = True
            return head.reusable
        except (OSError, http.BrokenMessage, http.PeerClosed):
            # What the caller got says the rest.
            return False
        finally:
            one.ended_s = time.monotonic()


def _request(one: platformcheck.Try, rng: random.Random) -> bytes:
    method = 'POST' if one.kind == 'unsafe' else 'GET'
    lines = [
        f'{method} /{one.kind}/{rng.randrange(20)} HTTP/1.1',
        f'Host: {platformrecords.SITE}',
        f'X-Request-Id: {one.id}',
    ]
    body = b''
    if one.kind == 'unsafe':
        body = f'order {one.id}'.encode()
        lines.append(f'Content-Length: {len(body)}')
    if one.kind in ('once', 'chat'):
        lines += _prompt(rng)
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


def _prompt(rng: random.Random) -> list[str]:
    """Headers of a prompt: short ones, and long ones that share a part."""
    parts = [(rng.getrandbits(30) + 100, rng.choice((40, 900)))]
    if rng.random() < 0.6:
        parts.insert(0, (rng.randrange(SHARED_PROMPTS) + 1, 4000))
    total = sum(tokens for _, tokens in parts)
    text = ','.join(f'{name:x}:{tokens}' for name, tokens in parts)
    return [
        'X-Model: m',
        f'X-Token-Counts: {total},5',
        f'X-Prompt-Prefix: {text}',
    ]
