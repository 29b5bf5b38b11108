"""Tells all hosts of endpoints that announce in a response that they leave."""

from typing import Callable

import gevent

from magnoliadyke import app
from magnoliadyke import clock as clocks
from magnoliadyke.core import catalog
from magnoliadyke.core import position
from magnoliadyke.gateway import limit_codec
from magnoliadyke.gateway import placementservice
from magnoliadyke import logs

__all__ = ['Departures']

LOG = logs.get('departures')

#: Interval at which an announcement is sent again, and the time for which it
#: is, in seconds: a datagram may be lost, and the leader may change.
REPEAT_INTERVAL_S = 1.0
REPEAT_S = 4.0
#: Maximum number of endpoints in a datagram, so that it does not exceed the
#: 1,400 bytes of a network packet.
MAX_ENDPOINTS_PER_DATAGRAM = 24


class Departures(app.Component):
    """Endpoints that announced that they leave.

    The host that receives such a response tells the placement leader, which
    tells all hosts: each of them would else send the endpoint a request first.

    :ivar broadcast: sends a message to all other hosts
    :ivar heard_s: when this host heard of an announcement, by endpoint id
    :ivar told: ids of the endpoints that the leader has told of
    :ivar told_leader: address and term of that leader
    """

    def __init__(
        self,
        endpoint_catalog: catalog.Catalog,
        placement_service: placementservice.PlacementService,
        clock: clocks.Clock,
    ) -> None:
        self.catalog = endpoint_catalog
        self.placement_service = placement_service
        self.clock = clock
        self.broadcast: Callable[[limit_codec.Message], None] | None = None
        self.heard_s: dict[str, float] = {}
        self.told: set[str] = set()
        self.told_leader: tuple[str | None, position.Position] = (
            None,
            position.START,
        )
        self.greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start to repeat announcements."""
        self.greenlet = gevent.spawn(self._run)

    def stop(self, deadline_s: float) -> None:
        """Stop repeating announcements."""
        if self.greenlet is not None:
            self.greenlet.kill()

    def _run(self) -> None:
        while True:
            self.clock.sleep(REPEAT_INTERVAL_S)
            until_s = self.clock.now_s() - REPEAT_S
            for endpoint_id, heard_s in list(self.heard_s.items()):
                if heard_s <= until_s:
                    del self.heard_s[endpoint_id]
                    self.told.discard(endpoint_id)
            self._tell()

    def record(self, endpoint_id: str, request_id: bytes) -> None:
        """Record that an endpoint announced in a response that it leaves."""
        source = request_id.decode('latin-1')
        if self._mark(endpoint_id, id=source, source='response'):
            self._tell()

    def handle(self, message: limit_codec.Leaving) -> None:
        """Record the announcements that another host received."""
        source = 'leader' if message.leads else 'host'
        new = [e for e in message.endpoints if self._mark(e, source=source)]
        if message.leads:
            self.told.update(message.endpoints)
        if new and self.placement_service.leading:
            self._tell()

    def _mark(self, endpoint_id: str, **fields: str) -> bool:
        if not self.catalog.mark_leaving(endpoint_id):
            return False
        self.heard_s[endpoint_id] = self.clock.now_s()
        LOG.event('endpoint_said_leaving', endpoint=endpoint_id, **fields)
        return True

    def _tell(self) -> None:
        """Tell all hosts as the leader, or the leader what it has not told."""
        service = self.placement_service
        endpoints = list(self.heard_s)
        leader = None if service.leading else service.leader
        if (leader, service.term) != self.told_leader:
            # A new leader, or a later process of the same host, may not know.
            self.told_leader = leader, service.term
            self.told.clear()
        if not service.leading:
            endpoints = [each for each in endpoints if each not in self.told]
        for start in range(0, len(endpoints), MAX_ENDPOINTS_PER_DATAGRAM):
            chunk = endpoints[start : start + MAX_ENDPOINTS_PER_DATAGRAM]
            message = limit_codec.Leaving(tuple(chunk), service.leading)
            if service.leading:
                self.broadcast(message)
            elif leader is not None:
                service.send(leader, message)
