"""Callers of the platform that reuse connections and pause after refusals."""

import json
import random
import time
from typing import Sequence

import gevent
from gevent import socket

from magnoliadyke.gateway import http
from magnoliadyke.gateway import transport
from magnoliadyke.lab import platformcheck
from magnoliadyke.lab import platformfleet
from magnoliadyke.lab import platformmix
from magnoliadyke.lab import platformrecords

__all__ = ['Callers']

KINDS = ('safe', 'unsafe', 'once', 'chat', platformmix.SPLIT_KIND)
KIND_WEIGHTS = (4, 3, 2, 3, 2)
#: Kinds of requests, and their weights, of callers with long work.
LASTING_KINDS = ('safe', 'unsafe', 'slow', 'long')
LASTING_WEIGHTS = (2, 1, 2, 4)
LONG_KINDS = ('slow', 'long')
#: Deadline that callers with long work set for their other requests.
SHORT_DEADLINE_MS = 1000
#: Longest pause of callers with long work between two requests, in addition
#: to that of all callers, in seconds.
MAX_LASTING_PAUSE_S = 3.0
#: Connections that are held open to a host about to be stopped.  Each is
#: used once; the requests are spread over the grace period of the stop.
HELD_CONNECTIONS = 12
#: Interval between two requests of :meth:`Callers.try_host`, in seconds.
TRY_INTERVAL_S = 0.1
#: Sizes of uploads, in bytes, and the interval between two of
#: :meth:`Callers.send_uploads`, in seconds.
UPLOAD_SIZES = (100_000, 400_000, 2_000_000, 4_000_000)
UPLOAD_INTERVAL_S = 0.1
#: Callers with long work use an answer of the directory for its time to live
#: multiplied by this factor, and longer while the directory does not answer.
TTL_FACTOR = 3
#: Longest pause between two requests of a caller, in seconds.
MAX_PAUSE_S = 0.1
#: Time without a byte from the host after which a caller closes the
#: connection, in seconds: longer than the timeout of any route, so that the
#: host ends each request first.
ANSWER_TIMEOUT_S = 6.0
CONNECT_TIMEOUT_S = 1.0
#: Number of times that a caller takes one stream up.
MAX_TAKE_UPS = 3
#: Longest additional pause of a caller after a refusal, in seconds.
MAX_RETRY_PAUSE_S = 1.0
SHARED_PROMPTS = 4
#: Mean time between two requests with a part that crashes engines, in seconds.
CRASHING_INTERVAL_S = 0.5


class Callers:
    """Callers that send requests to the hosts of a fleet.

    :param count: number of callers that choose among all hosts
    :param lasting: number of additional callers with long work, which use
        outdated answers of the directory
    :param mix: their workspaces, and the number of further callers whose
        streams have backups
    :ivar requests: requests of all callers, in the order of their sending
    :ivar held_count: connections that were opened by
        :meth:`hold_connections`
    :ivar tried_count: connections that were tried by :meth:`try_host`
    """

    def __init__(
        self,
        fleet: platformfleet.Fleet,
        count: int,
        rng: random.Random,
        lasting: int = 0,
        mix: platformmix.Mix = platformmix.UNIFORM,
    ) -> None:
        self.fleet = fleet
        self.mix = mix
        self.requests: list[platformcheck.CallerRequest] = []
        self.stopped = False
        self.held_count = 0
        self.tried_count = 0
        self.greenlets = [
            gevent.Greenlet(self._run_caller, number, rng.getrandbits(32))
            for number in range(count)
        ]
        self.greenlets += [
            gevent.Greenlet(
                self._run_lasting_caller, number, rng.getrandbits(32)
            )
            for number in range(lasting)
        ]
        self.greenlets += [
            gevent.Greenlet(
                self._run_caller, number, rng.getrandbits(32), is_backed=True
            )
            for number in range(mix.backed_callers)
        ]

    def start(self) -> None:
        """Start all callers."""
        for greenlet in self.greenlets:
            greenlet.start()

    def hold_connections(self, host: str) -> None:
        """Open connections to a host that is about to be stopped.

        Each sends one long request during the grace period of the stop, if
        the host has not closed it by then.
        """
        for number in range(HELD_CONNECTIONS):
            connection = self._connect(host, number)
            if connection is not None:
                self.held_count += 1
                after_s = (
                    platformfleet.STOP_GRACE_S
                    * (number + 0.5)
                    / HELD_CONNECTIONS
                )
                self.greenlets.append(
                    gevent.spawn(
                        self._use_held_connection,
                        self.held_count,
                        connection,
                        after_s,
                    )
                )

    def _use_held_connection(
        self, number: int, connection: '_Connection', after_s: float
    ) -> None:
        gevent.sleep(after_s)
        if connection.is_open():
            kind = LONG_KINDS[number % len(LONG_KINDS)]
            request = self._new_request(f'k{number}', kind, connection)
            connection.exchange(request, random.Random(number))
        connection.close()

    def try_host(self, host: str, for_s: float) -> None:
        """Send a host requests on new connections at a steady rate.

        Callers that a host refuses go to others, so that too few of their
        requests come there to judge it by.

        :param for_s: time in which they are sent, in seconds
        """
        rng = random.Random(host)
        until_s = time.monotonic() + for_s
        while not self.stopped and time.monotonic() < until_s:
            self.tried_count += 1
            self.greenlets.append(
                gevent.spawn(
                    self._send_once, host, self.tried_count, rng.random()
                )
            )
            gevent.sleep(TRY_INTERVAL_S)

    def send_uploads(
        self, kinds: Sequence[str], seed: int, for_s: float
    ) -> None:
        """Send requests with large bodies to all hosts for a time.

        :param kinds: kinds of the requests
        :param for_s: time in which they are sent, in seconds
        """
        rng = random.Random(seed)
        until_s = time.monotonic() + for_s
        while not self.stopped and time.monotonic() < until_s:
            host = rng.choice(self.fleet.hosts())
            self.tried_count += 1
            number = self.tried_count
            connection = self._connect(host, number)
            if connection is not None:
                request = self._new_request(
                    f'u{number}', rng.choice(kinds), connection
                )
                request.upload_bytes = rng.choice(UPLOAD_SIZES)
                self.greenlets.append(
                    gevent.spawn(_send_only, connection, request, rng.random())
                )
            gevent.sleep(UPLOAD_INTERVAL_S)

    def send_crashing(self, part: int) -> None:
        """Send requests with a part that crashes engines until the end."""
        self.greenlets.append(gevent.spawn(self._run_crashing, part))

    def _run_crashing(self, part: int) -> None:
        rng = random.Random(part)
        number = 0
        while not self.stopped:
            gevent.sleep(rng.expovariate(1 / CRASHING_INTERVAL_S))
            connection = self._connect(rng.choice(self.fleet.hosts()))
            if connection is None:
                continue
            number += 1
            kind = rng.choice(('once', 'chat'))
            request = self._new_request(
                f'g{part:x}n{number}', kind, connection
            )
            request.is_crashing = True
            request.prompt = tuple(_prompt(rng, part))
            connection.exchange(request, rng)
            connection.close()

    def _send_once(self, host: str, number: int, seed: float) -> None:
        connection = self._connect(host, number)
        if connection is None:
            return
        rng = random.Random(seed)
        (kind,) = rng.choices(KINDS, KIND_WEIGHTS)
        request = self._new_request(f't{number}', kind, connection)
        connection.exchange(request, rng)
        connection.close()

    def stop(self) -> None:
        """Wait until each caller has ended its present request, and end."""
        self.stopped = True
        gevent.joinall(self.greenlets, raise_error=True)

    def _run_caller(
        self, number: int, seed: int, is_backed: bool = False
    ) -> None:
        rng = random.Random(seed)
        name, kinds, weights = f'c{number}', KINDS, KIND_WEIGHTS
        if is_backed:
            name, kinds = f'b{number}', (platformmix.BACKED_KIND,)
            weights = None
        connection = None
        sent = 0
        while not self.stopped:
            if connection is None:
                host = rng.choice(self.fleet.hosts())
                connection = self._connect(host, number)
                if connection is None:
                    gevent.sleep(0.05)
                    continue
            sent += 1
            (kind,) = rng.choices(kinds, weights)
            request = self._new_request(f'{name}-{sent}', kind, connection)
            if not connection.exchange(request, rng):
                connection.close()
                connection = None
                self._take_up(request, rng)
            gevent.sleep(self._pause_s(request, rng))
        if connection is not None:
            connection.close()

    def _run_lasting_caller(self, number: int, seed: int) -> None:
        rng = random.Random(seed)
        directory = _Directory(self.fleet, rng)
        connection = None
        sent = 0
        while not self.stopped:
            if connection is not None and not connection.is_open():
                connection.close()
                connection = None
            if connection is None:
                connection = self._connect(directory.pick(), number)
                if connection is None:
                    gevent.sleep(0.05)
                    continue
            sent += 1
            (kind,) = rng.choices(LASTING_KINDS, LASTING_WEIGHTS)
            request = self._new_request(f'l{number}-{sent}', kind, connection)
            if kind not in LONG_KINDS:
                request.wait_s = SHORT_DEADLINE_MS / 1000
            if not connection.exchange(request, rng):
                connection.close()
                connection = None
                self._take_up(request, rng)
            pause_s = self._pause_s(request, rng)
            gevent.sleep(
                pause_s + rng.choice((0, MAX_LASTING_PAUSE_S)) * rng.random()
            )
        if connection is not None:
            connection.close()

    def _take_up(
        self, broken: platformcheck.CallerRequest, rng: random.Random
    ) -> None:
        """Take a stream that was broken off up, at any host."""
        root, after = broken, 0
        for number in range(MAX_TAKE_UPS):
            events = broken.body.count(platformcheck.EVENT_END)
            if broken.kind not in platformcheck.RESUMABLE_KINDS or not (
                broken.status == 200 and not broken.complete and events
            ):
                return
            after += events
            connection = self._connect(rng.choice(self.fleet.hosts()))
            if connection is None:
                return
            taken = self._new_request(
                f'{root.id}-u{number}', root.kind, connection
            )
            taken.workspace = root.workspace
            taken.resumes, taken.after = root.id, after
            taken.prompt = root.prompt
            connection.exchange(taken, rng)
            connection.close()
            broken = taken

    def _pause_s(
        self, request: platformcheck.CallerRequest, rng: random.Random
    ) -> float:
        pause_s = MAX_PAUSE_S * rng.random()
        if request.status in platformcheck.NOT_RUN:
            pause_s += MAX_RETRY_PAUSE_S * rng.random()
        return pause_s

    def _new_request(
        self, request_id: str, kind: str, connection: '_Connection'
    ) -> platformcheck.CallerRequest:
        wait_ms = platformfleet.ROUTE_TIMEOUT_MS
        if kind in (*LONG_KINDS, platformmix.BACKED_KIND):
            wait_ms = platformfleet.LONG_ROUTE_TIMEOUT_MS
        request = platformcheck.CallerRequest(
            request_id, kind, connection.host, time.monotonic()
        )
        request.wait_s = wait_ms / 1000
        request.workspace = connection.workspace
        self.requests.append(request)
        return request

    def _connect(self, host: str, number: int = 0) -> '_Connection | None':
        """Connect the caller with a number, by its workspace, to a host."""
        workspace = self.mix.workspace(number)
        try:
            address = self.fleet.callers_address(host)
            return _Connection(host, address, workspace)
        except OSError:
            # The host does not listen at present; the caller tries another.
            return None


def _send_only(
    connection: '_Connection',
    request: platformcheck.CallerRequest,
    seed: float,
) -> None:
    connection.exchange(request, random.Random(seed))
    connection.close()


class _Directory:
    """Hosts of the last answer of the directory that one caller received."""

    def __init__(self, fleet: platformfleet.Fleet, rng: random.Random) -> None:
        self.fleet = fleet
        self.rng = rng
        self.cached_hosts = fleet.hosts()
        self.refresh_at_s = 0.0

    def pick(self) -> str:
        """Choose the host of the next connection; refresh an expired list."""
        if time.monotonic() >= self.refresh_at_s:
            self._refresh(self.rng.choice(self.cached_hosts))
        return self.rng.choice(self.cached_hosts)

    def _refresh(self, host: str) -> None:
        try:
            connection = _Connection(
                host,
                self.fleet.directory_address(host),
                timeout_s=CONNECT_TIMEOUT_S,
            )
        except OSError:
            return
        try:
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
            cached_hosts = [
                each
                for each in self.fleet.hosts()
                if '%s:%d' % self.fleet.callers_address(each) in addresses
            ]
            self.cached_hosts = cached_hosts or self.cached_hosts
            self.refresh_at_s = time.monotonic() + TTL_FACTOR * answer['ttl_s']


class _Connection:
    """A caller's connection to a host.

    :param timeout_s: longest wait for bytes, in seconds
    """

    def __init__(
        self,
        host: str,
        address: tuple[str, int],
        workspace: str = '',
        timeout_s: float = ANSWER_TIMEOUT_S,
    ) -> None:
        self.host = host
        self.workspace = workspace
        sock = socket.create_connection(address, CONNECT_TIMEOUT_S)
        sock.settimeout(timeout_s)
        self.sock = transport.Transport(sock)
        self.reader = http.AnswerReader(self.sock)

    def is_open(self) -> bool:
        """Whether the host has neither closed it nor sent anything."""
        return self.sock.is_quiet()

    def close(self) -> None:
        """Close it."""
        http.drop(self.sock)

    def exchange(
        self, request: platformcheck.CallerRequest, rng: random.Random
    ) -> bool:
        """Send a request, and record its answer in it.

        :param rng: source of the target and the prompt
        :returns: whether the connection can be used again
        """
        try:
            self.sock.sendall(_request(request, rng))
            head = self.reader.next_part()
            request.status = head.status
            request.sealed = head.value(b'x-server-seal') is not None
            while isinstance(part := self.reader.next_part(), http.Body):
                request.body += part.data
            request.complete = True
            return head.reusable
        except http.BrokenMessage as error:
            request.invalid = str(error)
            return False
        except (OSError, http.PeerClosed):
            # The request records how much of the answer was received.
            return False
        finally:
            request.ended_s = time.monotonic()


def _request(
    request: platformcheck.CallerRequest, rng: random.Random
) -> bytes:
    unrepeatable = request.kind in platformcheck.UNREPEATABLE_KINDS
    has_body = unrepeatable or request.upload_bytes > 0
    method = 'POST' if has_body else 'GET'
    lines = [
        f'{method} /{request.kind}/{rng.randrange(20)} HTTP/1.1',
        f'Host: {platformrecords.SITE}',
        f'X-Request-Id: {request.id}',
    ]
    if request.workspace:
        lines.append(f'api-key: {platformmix.api_key(request.workspace)}')
    wait_ms = round(request.wait_s * 1000)
    if wait_ms != platformfleet.ROUTE_TIMEOUT_MS:
        lines.append(f'X-Deadline-Ms: {wait_ms}')
    body = b''
    if has_body:
        body = f'order {request.id}'.encode().ljust(request.upload_bytes)
        lines.append(f'Content-Length: {len(body)}')
    if request.kind in platformcheck.STREAM_KINDS:
        is_short = request.kind == platformmix.BACKED_KIND
        prompt = request.prompt or tuple(_prompt(rng, is_short=is_short))
        request.prompt = prompt
        lines += request.prompt
    if request.resumes:
        lines.append(f'Last-Event-Id: {request.after}')
        lines.append(f'Resumes: {request.resumes}')
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


def _prompt(
    rng: random.Random, inserted: int | None = None, is_short: bool = False
) -> list[str]:
    """Headers of a prompt.

    Six of ten prompts begin with one of a few long parts, which they share.

    :param inserted: a part that comes before the last one
    :param is_short: it begins with no such part
    """
    parts = [(rng.getrandbits(30) + 100, rng.choice((40, 900)))]
    if not is_short and rng.random() < 0.6:
        parts.insert(0, (rng.randrange(SHARED_PROMPTS) + 1, 4000))
    if inserted is not None:
        parts.insert(len(parts) - 1, (inserted, 40))
    total = sum(tokens for _, tokens in parts)
    text = ','.join(f'{name:x}:{tokens}' for name, tokens in parts)
    return [
        'X-Model: m',
        f'X-Token-Counts: {total},5',
        f'X-Prompt-Prefix: {text}',
    ]
