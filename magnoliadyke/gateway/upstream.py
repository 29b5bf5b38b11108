"""Connections to the endpoints, kept between requests."""

import collections

from magnoliadyke import clock as clocks
from magnoliadyke.core import catalog
from magnoliadyke.gateway import connection

__all__ = ['NoConnection', 'Upstream']

#: Time for an opening packet and its answer; an endpoint that needs longer
#: is down or out of reach, and another one can still be in time.
CONNECT_TIMEOUT_S = 0.25
#: A connection that idled for longer than this is not used for requests
#: that may run at most once: the endpoint may just be closing it, and then
#: nobody could tell whether the request has run.  Connections in use are
#: back well within it.
FRESH_IDLE_S = 0.3
#: The same for requests that may be sent again.
MAX_IDLE_S = 1.5
#: Idle connections kept to one endpoint.
MAX_IDLE = 16
#: Share of an endpoint's connections that hosts use together; the rest is
#: for hosts that have just come.
CONNECTION_SHARE = 0.8
#: Connections that a host may have at least, however many hosts there are.
MIN_CONNECTIONS = 3


class NoConnection(Exception):
    """No connection could be had; nothing has been sent."""


class Upstream:
    """Opens, keeps and closes connections to endpoints.

    :ivar hosts: live hosts, which share each endpoint's connections
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self.clock = clock
        self.hosts = 1
        self.idle: dict[str, collections.deque[connection.Connection]] = {}
        self.in_use: collections.Counter[str] = collections.Counter()
        self.opened = 0

    def take(
        self,
        endpoint: catalog.Endpoint,
        max_connections: int,
        repeatable: bool,
    ) -> connection.Connection:
        """Get a connection for one request.

        :param max_connections: that the endpoint accepts from all hosts
        :param repeatable: the request may be sent again
        :raises NoConnection: none could be opened
        """
        limit_s = MAX_IDLE_S if repeatable else FRESH_IDLE_S
        kept = self._kept(endpoint.id, limit_s)
        if kept is None:
            kept = self._open(endpoint, max_connections)
        self.in_use[endpoint.id] += 1
        return kept

    def _kept(
        self, endpoint_id: str, limit_s: float
    ) -> connection.Connection | None:
        idle = self.idle.get(endpoint_id)
        now_s = self.clock.now_s()
        while idle:
            kept = idle.pop()
            most_s = limit_s
            if kept.idle_limit_s is not None:
                most_s = min(most_s, kept.idle_limit_s / 2)
            if now_s - kept.last_used_s <= most_s and kept.is_quiet():
                kept.kept = True
                return kept
            if now_s - kept.last_used_s <= MAX_IDLE_S and kept.is_quiet():
                # Too old for this request, good for another one.
                idle.append(kept)
                return None
            kept.close()
        return None

    def _open(
        self, endpoint: catalog.Endpoint, max_connections: int
    ) -> connection.Connection:
        if max_connections:
            share = int(max_connections * CONNECTION_SHARE / self.hosts)
            if self.in_use[endpoint.id] >= max(MIN_CONNECTIONS, share):
                raise NoConnection('all connections of this host are in use')
        try:
            opened = connection.Connection(endpoint.address, CONNECT_TIMEOUT_S)
        except OSError as error:
            raise NoConnection(str(error)) from error
        self.opened += 1
        return opened

    def give(
        self, endpoint: catalog.Endpoint, used: connection.Connection
    ) -> None:
        """Give a connection back; it is closed unless it can be reused."""
        self.in_use[endpoint.id] -= 1
        if not used.reusable:
            used.close()
            return
        used.last_used_s = self.clock.now_s()
        idle = self.idle.setdefault(endpoint.id, collections.deque())
        idle.append(used)
        if len(idle) > MAX_IDLE:
            idle.popleft().close()

    def drop_endpoint(self, endpoint_id: str) -> None:
        """Close the idle connections to an endpoint that is gone."""
        for kept in self.idle.pop(endpoint_id, ()):
            kept.close()

    def trim(self) -> None:
        """Close connections that have idled for too long."""
        now_s = self.clock.now_s()
        for endpoint_id, idle in list(self.idle.items()):
            while idle and now_s - idle[0].last_used_s > MAX_IDLE_S:
                idle.popleft().close()
            if not idle:
                del self.idle[endpoint_id]

    def close(self) -> None:
        """Close all idle connections."""
        for endpoint_id in list(self.idle):
            self.drop_endpoint(endpoint_id)
