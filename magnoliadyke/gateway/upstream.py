"""Pool of keep-alive connections to the endpoints."""

import collections
import math
from typing import Callable

from magnoliadyke import clock as clocks
from magnoliadyke.core import answerend
from magnoliadyke.core import catalog
from magnoliadyke.core import heldbodies
from magnoliadyke.core import reachability
from magnoliadyke.gateway import connection
from magnoliadyke import logs

__all__ = ['NoConnection', 'Upstream']

LOG = logs.get('upstream')

#: Timeout for opening a connection, in seconds: an endpoint that needs longer
#: is down or unreachable, and another one can still answer in time.
CONNECT_TIMEOUT_S = 0.25
#: Maximum idle time of a connection that is reused for a request that may
#: run at most once, in seconds. The endpoint may be closing a connection that
#: has idled for longer; it would then be unknown whether the request has run.
#: Under load, connections are reused well within this time.
MAX_IDLE_UNREPEATABLE_S = 0.3
#: Maximum idle time of a connection for requests that may be sent again, in
#: seconds; older connections are closed.
MAX_IDLE_S = 1.5
#: Maximum number of idle connections to one endpoint.
MAX_IDLE_CONNECTIONS = 16
#: Share of an endpoint's connections that is divided among the live hosts;
#: the rest is for hosts that have just started.
CONNECTION_SHARE = 0.8
#: Maximum size of all bodies of answers that a host holds, in bytes: with a
#: copy of each, less than half of the 300 MB of a process.
MAX_HELD_BYTES = 64 << 20
#: Time in which connections to an endpoint end that end together, in seconds.
SAME_MOMENT_S = 0.01
#: Number of connections to one endpoint that each host may use, however many
#: hosts there are.
MIN_CONNECTIONS = 3


class NoConnection(Exception):
    """No connection is available; nothing has been sent."""


class Upstream:
    """Opens, reuses and closes connections to endpoints.

    :ivar hosts: number of live hosts, which share each endpoint's connections
    :ivar idle: idle connections by endpoint id, most recently used last
    :ivar in_use: number of acquired connections by endpoint id
    :ivar broken_s: when an endpoint last broke off an answer by the end of its
        connection, by endpoint id, in monotonic seconds
    :ivar connect: opens a connection to an address within a time limit in
        seconds; raises OSError
    :ivar opened: number of connections opened since the start
    :ivar bodies: bodies of answers that are being received or passed on
    :ivar ends: number of answers by how they ended
    :ivar late_copies: number of answers dropped that had come before, for an
        earlier request on their connection
    :ivar late_bytes: number of idle connections closed with unread bytes
    :ivar silences: number of runs at silent engines by what came of them:
        ``begins``, ``waits`` for the engine, ``replaced`` by a run elsewhere,
        ``stopped`` and moved to the engine with the backup, ``ended``
    :ivar reachability: which endpoints connections could be opened to
    :ivar on_unreachable: called with an endpoint when the first connection to
        it could not be opened
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self.clock = clock
        self.hosts = 1
        self.idle: dict[str, collections.deque[connection.Connection]] = {}
        self.in_use: collections.Counter[str] = collections.Counter()
        self.broken_s: dict[str, float] = {}
        self.connect: Callable[[str, float], connection.Connection] = (
            connection.Connection
        )
        self.opened = 0
        self.bodies = heldbodies.HeldBodies(MAX_HELD_BYTES)
        self.ends: collections.Counter[answerend.AnswerEnd] = (
            collections.Counter()
        )
        self.late_copies = 0
        self.late_bytes = 0
        self.silences: collections.Counter[str] = collections.Counter()
        self.reachability = reachability.Reachability()
        self.on_unreachable: Callable[[catalog.Endpoint], None] = (
            lambda endpoint: None
        )

    def acquire(
        self,
        endpoint: catalog.Endpoint,
        max_connections: int,
        repeatable: bool,
        request_id: bytes | None = None,
    ) -> connection.Connection:
        """Return an idle or a new connection for one request.

        :param max_connections: number of connections that the endpoint
            accepts from all hosts together; 0 if unlimited
        :param repeatable: whether the request may be sent again
        :param request_id: id that tells the answer from others, for which no
            connection is used twice; None for a request without one
        :raises NoConnection: this host's share is in use, or connecting
            failed
        """
        limit_s = MAX_IDLE_S if repeatable else MAX_IDLE_UNREPEATABLE_S
        kept = self._pop_idle(endpoint.id, limit_s, request_id)
        if kept is None:
            kept = self._open(endpoint, max_connections)
        if request_id is not None:
            kept.record_request(request_id)
        self.in_use[endpoint.id] += 1
        return kept

    def _pop_idle(
        self, endpoint_id: str, limit_s: float, request_id: bytes | None
    ) -> connection.Connection | None:
        """Remove and return the suitable connection that was used last."""
        idle = self.idle.get(endpoint_id)
        now_s = self.clock.now_s()
        unsuitable = []
        found = None
        while idle:
            kept = idle.pop()
            max_idle_s = _max_idle_s(kept, limit_s)
            idle_s = now_s - kept.last_used_s
            if idle_s > MAX_IDLE_S or not kept.is_quiet():
                self._close_idle(endpoint_id, kept)
            elif idle_s > max_idle_s:
                # Too old for this request, but a repeatable one can use it.
                unsuitable.append(kept)
                break
            elif request_id is not None and kept.has_carried(request_id):
                unsuitable.append(kept)
            else:
                found = kept
                break
        if unsuitable:
            idle.extend(reversed(unsuitable))
        return found

    def _close_idle(
        self, endpoint_id: str, kept: connection.Connection
    ) -> None:
        """Close an idle connection, and log bytes that belong to no request.

        They may be a second answer to the last request.
        """
        if kept.has_unread_bytes():
            self.late_bytes += 1
            LOG.event(
                'late_bytes_dropped',
                id=kept.last_request_id.decode('latin-1'),
                endpoint=endpoint_id,
                connection=f'{kept.number}.{kept.sends}',
                idle_ms=_milliseconds(self.clock.now_s() - kept.last_used_s),
            )
        kept.close()

    def _open(
        self, endpoint: catalog.Endpoint, max_connections: int
    ) -> connection.Connection:
        if max_connections:
            share = int(max_connections * CONNECTION_SHARE / self.hosts)
            if self.in_use[endpoint.id] >= max(MIN_CONNECTIONS, share):
                raise NoConnection('all connections of this host are in use')
        return self._connect(endpoint)

    def _connect(self, endpoint: catalog.Endpoint) -> connection.Connection:
        """Open a connection, and record whether the endpoint was reached.

        :raises NoConnection: the connection was refused or timed out
        """
        known = self.reachability
        tried_s = self.clock.now_s()
        try:
            opened = self.connect(endpoint.address, CONNECT_TIMEOUT_S)
        except OSError as error:
            now_s = self.clock.now_s()
            if known.record_failed(endpoint.id, tried_s, now_s):
                reached_s = known.reached_ago_s(endpoint.id, now_s)
                LOG.event(
                    'endpoint_unreachable',
                    endpoint=endpoint.id,
                    cause=str(error),
                    reached_ago_ms=_milliseconds(reached_s),
                )
                self.on_unreachable(endpoint)
            raise NoConnection(f'connection not opened: {error}') from error
        opened.opened_s = now_s = self.clock.now_s()
        failing_s = known.failing_s(endpoint.id, now_s)
        if known.record_connected(endpoint.id, now_s):
            LOG.event(
                'endpoint_reached',
                endpoint=endpoint.id,
                after_ms=_milliseconds(failing_s),
            )
        self.opened += 1
        return opened

    def has_idle(self, endpoint_id: str) -> bool:
        """Return whether a connection to an endpoint can be used at once."""
        return any(each.is_quiet() for each in self.idle.get(endpoint_id, ()))

    def probe(self, endpoint: catalog.Endpoint) -> bool:
        """Try to open a connection, and keep it for the next request.

        :returns: whether it could be opened
        """
        try:
            opened = self._connect(endpoint)
        except NoConnection:
            return False
        opened.last_used_s = self.clock.now_s()
        self._keep(endpoint, opened)
        return True

    def accepts(self, endpoint: catalog.Endpoint, is_staying: bool) -> bool:
        """Return whether an endpoint accepts connections.

        :param is_staying: whether it also accepts new work; only then the
            connection that is opened is kept, and a failure counts as an
            endpoint out of reach
        """
        if is_staying:
            return self.probe(endpoint)
        try:
            self.connect(endpoint.address, CONNECT_TIMEOUT_S).close()
        except OSError:
            return False
        return True

    def record_broken(self, endpoint_id: str) -> None:
        """Record that the end of a connection broke an answer off."""
        self.broken_s[endpoint_id] = self.clock.now_s()

    def drop_ended(self, endpoint_id: str) -> None:
        """Close the idle connections to an endpoint that have ended."""
        idle = self.idle.get(endpoint_id, ())
        for kept in [each for each in idle if not each.is_quiet()]:
            idle.remove(kept)
            self._close_idle(endpoint_id, kept)

    def have_others_ended(
        self, endpoint: catalog.Endpoint, used: connection.Connection
    ) -> bool:
        """Return whether the connections to an endpoint end at this moment.

        A process that ends, or something between it and this host, ends all of
        them, those that idle and those that carry answers.  Idle ones that the
        endpoint may have closed for their age tell nothing, nor do answers
        that broke off before the request was sent.  Two answers without a
        frame may end together.

        :param used: a connection that has ended, with its answer
        """
        begun_s = self.clock.now_s()
        self.clock.sleep(SAME_MOMENT_S)
        broken_s = self.broken_s.get(endpoint.id, -math.inf)
        if broken_s > max(begun_s - SAME_MOMENT_S, used.sent_s):
            return True
        return any(
            each.sock.has_ended()
            for each in self.idle.get(endpoint.id, ())
            if begun_s - each.last_used_s < _max_idle_s(each, MAX_IDLE_S)
        )

    def record_end(self, ended: answerend.AnswerEnd) -> None:
        """Count an answer by its framing and by what ended it."""
        counted = ended._replace(left_over=min(1, ended.left_over))
        self.ends[counted] += 1

    def release(
        self, endpoint: catalog.Endpoint, used: connection.Connection
    ) -> None:
        """Return a connection to the pool, or close it if not reusable."""
        if not used.reusable:
            self.discard(endpoint, used)
            return
        self.in_use[endpoint.id] -= 1
        used.last_used_s = self.clock.now_s()
        self._keep(endpoint, used)

    def discard(
        self, endpoint: catalog.Endpoint, used: connection.Connection
    ) -> None:
        """Close an acquired connection."""
        self.in_use[endpoint.id] -= 1
        used.close()

    def _keep(
        self, endpoint: catalog.Endpoint, used: connection.Connection
    ) -> None:
        idle = self.idle.setdefault(endpoint.id, collections.deque())
        idle.append(used)
        if len(idle) > MAX_IDLE_CONNECTIONS:
            self._close_idle(endpoint.id, idle.popleft())

    def drop_endpoint(self, endpoint_id: str) -> None:
        """Close the idle connections to a removed endpoint."""
        self.broken_s.pop(endpoint_id, None)
        for kept in self.idle.pop(endpoint_id, ()):
            self._close_idle(endpoint_id, kept)

    def trim(self) -> None:
        """Close connections that have idled for over ``MAX_IDLE_S``."""
        now_s = self.clock.now_s()
        for endpoint_id, idle in list(self.idle.items()):
            while idle and now_s - idle[0].last_used_s > MAX_IDLE_S:
                self._close_idle(endpoint_id, idle.popleft())
            if not idle:
                del self.idle[endpoint_id]

    def close(self) -> None:
        """Close all idle connections."""
        for endpoint_id in list(self.idle):
            self.drop_endpoint(endpoint_id)


def _max_idle_s(kept: connection.Connection, limit_s: float) -> float:
    """Return after what idle time a connection may have been closed."""
    if kept.idle_limit_s is None:
        return limit_s
    return min(limit_s, kept.idle_limit_s / 2)


def _milliseconds(seconds: float) -> int | str:
    return round(seconds * 1000) if math.isfinite(seconds) else 'none'
