"""Passes requests on through hosts that reach the endpoints.

A host that is cut off from a service hands the whole request to another host,
which owns it from then on: it chooses the endpoint, retries and accounts.
This host only carries bytes.  A request is passed on once: a host that is cut
off itself declines it, as does one that goes by another configuration.
"""

import math
import typing
from typing import NamedTuple
from urllib import parse

import gevent

from magnoliadyke import clock as clocks
from magnoliadyke.core import answerend
from magnoliadyke.core import workspaces
from magnoliadyke.gateway import caller as callers
from magnoliadyke.gateway import connection
from magnoliadyke.gateway import events
from magnoliadyke.gateway import http
from magnoliadyke.gateway import members
from magnoliadyke.gateway import outcomes
from magnoliadyke.gateway import paths
from magnoliadyke.gateway import upstream
from magnoliadyke import logs

if typing.TYPE_CHECKING:
    from magnoliadyke.gateway import exchange

__all__ = [
    'DECLINED',
    'MAX_HEADER_BYTES',
    'Relayed',
    'Relayer',
    'pop_header',
]

LOG = logs.get('relaying')

#: First header of a relayed request.
HEADER = b'Relay'
#: Header of the answer of a host that does not take a relayed request.
DECLINED = b'Relay-Declined'
#: Bytes that the header may add to those of the caller's request.
MAX_HEADER_BYTES = 1024
#: Most digits of a number in the header.
MAX_DIGITS = 18
#: Number of hosts that a request is offered to.
MAX_HOSTS = 3
#: Pause before a request is offered again after a host declined it, in
#: seconds, and how often the hosts are offered it anew: a configuration that
#: has just changed reaches all of them within this time.
RETRY_PAUSE_S = 0.1
MAX_ROUNDS = 5
#: Time added to the caller's remaining time for the other host's own failure
#: to arrive, in seconds.
MARGIN_S = 0.1
#: Retry-After if no other host takes the request, in seconds.
RETRY_AFTER_S = 0.4
UNREACHABLE = 'this host and those asked reach no endpoint'


class Relayed(NamedTuple):
    """What a relayed request says of itself.

    :param host: name of the host that relays it
    :param version: version of the configuration by which it was admitted
    :param waited_s: time since it arrived at that host, in seconds
    :param token: secret of the host that it is passed on to, which the store
        tells hosts and no caller
    :param service: service that was drawn for the request, None if the host
        does not tell
    :param workspace: the workspace that its key belongs to, None without one
    """

    host: str
    version: int
    waited_s: float
    token: str
    service: str | None
    workspace: workspaces.Workspace | None

    def encode(self) -> tuple[bytes, bytes]:
        """Return the header."""
        fields = {
            'host': self.host,
            'version': self.version,
            'waited_ms': round(self.waited_s * 1000),
            'token': self.token,
        }
        if self.service is not None:
            fields['service'] = self.service
        if self.workspace is not None:
            fields['workspace'] = self.workspace.name
        return HEADER, parse.urlencode(fields).encode()


def pop_header(head: http.Head) -> Relayed:
    """Remove the header of a relayed request, and decode it.

    :raises http.BrokenMessage: the header is missing or malformed
    """
    if not head.headers or head.headers[0][0].lower() != HEADER.lower():
        raise http.BrokenMessage(f'header {HEADER.decode()}: missing')
    _, value = head.headers.pop(0)
    fields = dict(parse.parse_qsl(value.decode('ascii', 'replace')))
    try:
        workspace = fields.get('workspace')
        return Relayed(
            fields['host'],
            _number(fields['version']),
            _number(fields['waited_ms']) / 1000,
            fields['token'],
            fields.get('service'),
            None if workspace is None else workspaces.Workspace(workspace),
        )
    except (KeyError, ValueError) as error:
        raise http.BrokenMessage(
            f'header {HEADER.decode()}: expected host, version, waited_ms and '
            f'token, got {sorted(fields)}'
        ) from error


def _number(text: str) -> int:
    """Return a number of at most :data:`MAX_DIGITS` decimal digits.

    :raises ValueError: it is none
    """
    if not text.isascii() or not text.isdigit() or len(text) > MAX_DIGITS:
        raise ValueError(f'expected a number, got {text!r:.40}')
    return int(text)


class _Host(NamedTuple):
    """Another host, as :class:`upstream.Upstream` connects to it.

    :param id: IP address
    :param address: ``ip:port`` at which it takes relayed requests
    """

    id: str
    address: str


class Relayer:
    """Passes requests of this host on through others.

    :param host: name of this host
    :param port: port at which hosts take relayed requests
    :param others: the other hosts, with their secrets
    :ivar connections: pool of connections to other hosts
    :ivar counts: number of requests that another host took, and of those that
        none did
    """

    def __init__(
        self,
        host: str,
        port: int,
        path_monitor: paths.PathMonitor,
        others: members.Members,
        clock: clocks.Clock,
    ) -> None:
        self.host = host
        self.port = port
        self.paths = path_monitor
        self.members = others
        self.clock = clock
        self.connections = upstream.Upstream(clock)
        self.counts: dict[str, int] = {'taken': 0, 'not_taken': 0}

    def relay(self, active: 'exchange.Exchange') -> outcomes.Outcome:
        """Have another host serve a request, and pass its answer on."""
        reason = UNREACHABLE
        for _ in range(MAX_ROUNDS):
            declined: set[str] = set()
            while len(declined) < MAX_HOSTS and active.left_s > 0:
                address = self.paths.choose_host(active.service, declined)
                if address is None:
                    break
                result = self._offer(active, address)
                if not isinstance(result, outcomes.NotRun):
                    self.counts['taken'] += 1
                    return result
                reason = result.reason
                declined.add(address)
            if active.left_s < RETRY_PAUSE_S * 2:
                break
            self.clock.sleep(RETRY_PAUSE_S)
        self.counts['not_taken'] += 1
        return outcomes.Refused(reason, RETRY_AFTER_S)

    def _offer(
        self, active: 'exchange.Exchange', address: str
    ) -> outcomes.Outcome | outcomes.NotRun:
        """Offer a request to one host.

        :returns: ``NotRun`` if the host did not take it
        """
        token = self.members.relay_token(address)
        if not token:
            self.paths.peers.drop(address)
            return outcomes.NotRun(f'host {address}: no token known', False)
        host = _Host(address, f'{address}:{self.port}')
        try:
            used = self.connections.acquire(
                host, 0, active.route.repeatable, active.request.id
            )
        except upstream.NoConnection as error:
            self.paths.peers.drop(address)
            self._log(active, address, str(error))
            return outcomes.NotRun(str(error), was_received=False)
        active.runs += 1
        active.send_count += 1
        active.endpoint = address
        self.paths.peers.record_begin(address)
        try:
            limit_s = max(0.0, active.left_s) + MARGIN_S
            with gevent.Timeout(limit_s, http.OutOfTime('out of time')):
                result = self._exchange(active, used, token)
        except http.OutOfTime as error:
            result = outcomes.Failed(504, str(error))
        except (OSError, http.PeerClosed, http.BrokenMessage) as error:
            result = outcomes.Failed(502, f'host {address}: {error}')
        finally:
            self.paths.peers.record_end(address)
            if not used.reusable:
                used.close()
            self.connections.release(host, used)
        if isinstance(result, outcomes.NotRun | outcomes.Refused):
            active.runs -= 1
        if isinstance(result, outcomes.Failed) and (
            active.caller.answer_started
        ):
            active.caller.broken = True
        self._log(active, address, type(result).__name__.lower())
        return result

    def _exchange(
        self,
        active: 'exchange.Exchange',
        used: connection.Connection,
        token: str,
    ) -> outcomes.Outcome | outcomes.NotRun:
        request = active.request
        known = active.parts.catalog.configuration
        relayed = Relayed(
            self.host,
            known.version,
            self.clock.now_s() - active.arrived_s,
            token,
            active.service,
            request.workspace,
        )
        codec = active.parts.codec
        headers = [relayed.encode(), *codec.relay_headers(request)]
        used.send(request.method, request.target, headers, request.body)
        head = used.head()
        facts = codec.facts(head)
        if facts.request_id not in (None, request.id):
            raise http.BrokenMessage('answer to another request')
        if not facts.sealed:
            return self._read_unsealed(head, used.body(active.hold_body()))
        if head.chunked:
            return self._pass_stream(active, used, head)
        if head.framing is answerend.Framing.CLOSE:
            raise http.PeerClosed(
                f'answer of host {used.address}: expected a length or chunks',
                orderly=True,
            )
        body = used.body(active.hold_body())
        if events.is_stream(head):
            _check_end(head, events.ends_inside(body))
        active.caller.answer(head.status, codec.answer_headers(head), body)
        return outcomes.Answered(head.status, active.endpoint)

    def _read_unsealed(
        self, head: http.Head, body: bytes
    ) -> outcomes.NotRun | outcomes.Refused | outcomes.Failed:
        """Return the outcome of an answer that is the other host's own."""
        reason = body.decode('utf-8', 'replace')
        if head.value(DECLINED.lower()) is not None:
            return outcomes.NotRun(reason, was_received=False)
        if head.status == 503:
            return outcomes.Refused(reason, _retry_after_s(head))
        return outcomes.Failed(head.status, reason)

    def _pass_stream(
        self,
        active: 'exchange.Exchange',
        used: connection.Connection,
        head: http.Head,
    ) -> outcomes.Answered:
        """Pass a stream on, in whole events.

        :raises http.PeerClosed: the stream was broken off
        """
        caller: callers.Caller = active.caller
        headers = active.parts.codec.answer_headers(head)
        splitter = events.EventSplitter(active.hold_body())
        caller.start_stream(head.status, headers)
        while not isinstance(part := used.part(), http.MessageEnd):
            complete = splitter.feed(part.data)
            if complete.data:
                caller.chunk(complete.data)
        _check_end(head, splitter.left_over)
        if splitter.incomplete:
            caller.chunk(splitter.incomplete)
        caller.end_stream()
        return outcomes.Answered(head.status, active.endpoint)

    def _log(
        self, active: 'exchange.Exchange', address: str, outcome: str
    ) -> None:
        LOG.event(
            'relayed',
            id=active.request.id.decode('latin-1'),
            service=active.service,
            to=address,
            outcome=outcome,
            left_ms=round(active.left_s * 1000),
        )


def _retry_after_s(head: http.Head) -> float:
    try:
        after_s = float(head.value(b'retry-after') or RETRY_AFTER_S)
    except ValueError:
        return RETRY_AFTER_S
    return after_s if 0 <= after_s < math.inf else RETRY_AFTER_S


def _check_end(head: http.Head, left_over: int) -> None:
    """Check that a stream that another host marked as whole is.

    :param left_over: bytes after the last whole event
    :raises http.PeerClosed: it was broken off
    """
    ended = answerend.AnswerEnd(head.framing, answerend.End.MARKED, left_over)
    reason = answerend.break_reason(ended)
    if reason is not None:
        raise http.PeerClosed(reason, orderly=True)
