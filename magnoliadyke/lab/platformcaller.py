"""Callers of the platform that keep connections and try again."""

import json
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
#: Of callers with long work.
LASTING_KINDS = ('safe', 'unsafe', 'slow', 'long')
LASTING_WEIGHTS = (2, 1, 2, 4)
LONG_KINDS = ('slow', 'long')
#: The time that they give to all else, in milliseconds.
SHORT_MS = 1000
#: Their pause between two requests, in seconds, at most.
REST_S = 3.0
#: Connections that are kept to a host that is told to stop; each is used once,
#: all through its grace time.
KEPT = 12
#: They keep an answer of the directory for so many times its time to live,
#: and longer while it does not answer.
KEEP_FACTOR = 3
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

    :param lasting: callers with long work that go by old answers of the
        directory, beside the others
    :ivar tries: all their requests, in the order of their sending
    """

    def __init__(
        self,
        fleet: platformfleet.Fleet,
        count: int,
        rng: random.Random,
        lasting: int = 0,
    ) -> None:
        self.fleet = fleet
        self.tries: list[platformcheck.Try] = []
        self.stopped = False
        self.kept = 0
        self.greenlets = [
            gevent.Greenlet(self._call_on, number, rng.getrandbits(32))
            for number in range(count)
        ]
        self.greenlets += [
            gevent.Greenlet(self._call_lasting, number, rng.getrandbits(32))
            for number in range(lasting)
        ]

    def start(self) -> None:
        """Begin to call."""
        for greenlet in self.greenlets:
            greenlet.start()

    def keep(self, host: str) -> None:
        """Use connections to a host until its process is gone."""
        for number in range(KEPT):
            connection = self._connect(host)
            if connection is not None:
                self.kept += 1
                after_s = platformfleet.STOP_S * (number + 0.5) / KEPT
                self.greenlets.append(
                    gevent.spawn(
                        self._call_late, self.kept, connection, after_s
                    )
                )

    def _call_late(
        self, number: int, connection: '_Connection', after_s: float
    ) -> None:
        gevent.sleep(after_s)
        if connection.is_open():
            kind = LONG_KINDS[number % len(LONG_KINDS)]
            one = self._one(f'k{number}', kind, connection)
            connection.exchange(one, random.Random(number))
        connection.close()

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
                connection = self._connect(rng.choice(self.fleet.hosts()))
                if connection is None:
                    gevent.sleep(0.05)
                    continue
            sent += 1
            (kind,) = rng.choices(KINDS, KIND_WEIGHTS)
            one = self._one(f'c{number}-{sent}', kind, connection)
            if not connection.exchange(one, rng):
                connection.close()
                connection = None
            gevent.sleep(self._pause_s(one, rng))
        if connection is not None:
            connection.close()

    def _call_lasting(self, number: int, seed: int) -> None:
        rng = random.Random(seed)
        directory = _Directory(self.fleet, rng)
        connection = None
        sent = 0
        while not self.stopped:
            if connection is not None and not connection.is_open():
                connection.close()
                connection = None
            if connection is None:
                connection = self._connect(directory.pick())
                if connection is None:
                    gevent.sleep(0.05)
                    continue
            sent += 1
            (kind,) = rng.choices(LASTING_KINDS, LASTING_WEIGHTS)
            one = self._one(f'l{number}-{sent}', kind, connection)
            if kind not in LONG_KINDS:
                one.wait_s = SHORT_MS / 1000
            if not connection.exchange(one, rng):
                connection.close()
                connection = None
            pause_s = self._pause_s(one, rng)
            gevent.sleep(pause_s + rng.choice((0, REST_S)) * rng.random())
        if connection is not None:
            connection.close()

    def _pause_s(self, one: platformcheck.Try, rng: random.Random) -> float:
        pause_s = THINK_S * rng.random()
        if one.status in platformcheck.NOT_RUN:
            pause_s += MOST_RETRY_S * rng.random()
        return pause_s

    def _one(
        self, request_id: str, kind: str, connection: '_Connection'
    ) -> platformcheck.Try:
        wait_ms = platformfleet.TIMEOUT_MS
        if kind in LONG_KINDS:
            wait_ms = platformfleet.LONG_TIMEOUT_MS
        one = platformcheck.Try(
            request_id, kind, connection.host, time.monotonic()
        )
        one.wait_s = wait_ms / 1000
        self.tries.append(one)
        return one

    def _connect(self, host: str) -> '_Connection | None':
        try:
            return _Connection(host, self.fleet.callers_address(host))
        except OSError:
            # Nobody listens there just now; callers go to another host.
            return None


class _Directory:
    """What one caller knows of the hosts."""

    def __init__(self, fleet: platformfleet.Fleet, rng: random.Random) -> None:
        self.fleet = fleet
        self.rng = rng
        self.known = fleet.hosts()
        self.until_s = 0.0

    def pick(self) -> str:
        """The host for the next connection."""
        if time.monotonic() >= self.until_s:
            self._ask(self.rng.choice(self.known))
        return self.rng.choice(self.known)

    def _ask(self, host: str) -> None:
        try:
            connection = _Connection(host, self.fleet.directory_address(host))
        except OSError:
            return
        try:
            connection.sock.settimeout(CONNECT_S)
            connection.sock.sendall(
                b'GET /api/resolve HTTP/1.1\r\nHost: x\r\n\r\n'
            )
            head, body = connection.reader.next_part(), b''
            while isinstance(part := connection.reader.next_part(), http.Body):
                body += part.data
        except (OSError, http.BrokenMessage, http.PeerClosed):
            return
        finally:
            connection.close()
        if head.status == 200:
            answer = json.loads(body)
            addresses = answer['addresses']
            known = [
                each
                for each in self.fleet.hosts()
                if '%s:%d' % self.fleet.callers_address(each) in addresses
            ]
            self.known = known or self.known
            self.until_s = time.monotonic() + KEEP_FACTOR * answer['ttl_s']


class _Connection:
    """A caller's connection to a host."""

    def __init__(self, host: str, address: tuple[str, int]) -> None:
        self.host = host
        self.sock = socket.create_connection(address, CONNECT_S)
        self.sock.settimeout(WAIT_S)
        self.reader = http.AnswerReader(self.sock)

    def is_open(self) -> bool:
        """Whether the host has not closed it."""
        return http.is_quiet(self.sock)

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
    unrepeatable = one.kind in platformcheck.UNREPEATABLE
    method = 'POST' if unrepeatable else 'GET'
    lines = [
        f'{method} /{one.kind}/{rng.randrange(20)} HTTP/1.1',
        f'Host: {platformrecords.SITE}',
        f'X-Request-Id: {one.id}',
    ]
    wait_ms = round(one.wait_s * 1000)
    if wait_ms != platformfleet.TIMEOUT_MS:
        lines.append(f'X-Deadline-Ms: {wait_ms}')
    body = b''
    if unrepeatable:
        body = f'order {one.id}'.encode()
        lines.append(f'Content-Length: {len(body)}')
    if one.kind in platformcheck.STREAMS:
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
