"""Finds out which endpoints this host alone can't reach, and who can.

Nothing is sent while all endpoints are reached: the evidence is what requests
meet.  A failed connection, or a request that waits in silence, has the other
endpoints of the service tried and some other hosts asked.
"""

from collections.abc import Iterable
import random
from typing import Callable

import gevent

from magnoliadyke import app
from magnoliadyke import clock as clocks
from magnoliadyke.core import catalog
from magnoliadyke.core import reachability
from magnoliadyke.gateway import members
from magnoliadyke.gateway import path_codec
from magnoliadyke.gateway import placementservice
from magnoliadyke.gateway import upstream
from magnoliadyke import logs

__all__ = ['PathMonitor']

LOG = logs.get('paths')

TICK_S = 0.1
#: Time that a request waits without an answer from its endpoint before a
#: connection to it is tried, in seconds.
SILENCE_S = 0.3
#: An endpoint that was reached within this time counts as reached, in seconds.
FRESH_S = 1.0
#: Interval between two rounds of trying the unreachable endpoints of a service
#: and of asking other hosts, in seconds.  It doubles up to the maximum while
#: no other host reaches them either.
CHECK_INTERVAL_S = 0.4
MAX_CHECK_INTERVAL_S = 3.2
#: Shortest time between two attempts to connect to an endpoint, in seconds.
PROBE_INTERVAL_S = 0.3
#: Time for which a request waits for the first replies of other hosts, in
#: seconds.
REPLY_WAIT_S = 0.05
#: Maximum number of endpoints tried in one round, and named in a query.
MAX_PROBES = 4
MAX_QUERIED_ENDPOINTS = 16
#: Number of hosts asked in one round in this failure domain, and in others.
PEERS_ASKED = 2


class PathMonitor(app.Component):
    """Decides whether this host is cut off from the endpoints of a service.

    :param address: IP address of this host, to which others reply
    :ivar is_stopping: returns whether this host takes no requests of others
    :ivar relayed: returns how many requests of other hosts are in flight here
    :ivar own: what this host reaches
    :ivar peers: what other hosts reach
    :ivar cut_off_since_s: services that this host alone can't reach, and since
        when
    """

    def __init__(
        self,
        address: str,
        connections: upstream.Upstream,
        endpoint_catalog: catalog.Catalog,
        others: members.Members,
        placement_service: placementservice.PlacementService,
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        self.address = address
        self.upstream = connections
        self.own = connections.reachability
        self.peers = reachability.PeerPaths()
        self.catalog = endpoint_catalog
        self.members = others
        self.placement_service = placement_service
        self.clock = clock
        self.rng = rng
        self.is_stopping: Callable[[], bool] = lambda: False
        self.relayed: Callable[[], int] = lambda: 0
        self.cut_off_since_s: dict[str, float] = {}
        self.next_check_s: dict[str, float] = {}
        self.check_interval_s: dict[str, float] = {}
        self.greenlet: gevent.Greenlet | None = None
        connections.on_unreachable = self._check_at_once

    def start(self) -> None:
        """Start to watch for endpoints that can't be reached."""
        self.greenlet = gevent.spawn(self._run)

    def stop(self, deadline_s: float) -> None:
        """Stop watching for them."""
        if self.greenlet is not None:
            self.greenlet.kill()

    # Decisions.

    def is_cut_off(self, service: str) -> bool:
        """Return whether this host alone can't reach a service's endpoints.

        Of a service with engines, it can't if it reaches none of one stage.
        """
        if not self.own.failing_since_s:
            return False
        return reachability.is_cut_off(
            self._groups(service), self.own, self.peers, self.clock.now_s()
        )

    def engines_cut_off_s(self) -> float:
        """Return for how long this host alone can't reach a service's engines.

        :returns: the time in seconds, 0 if it reaches those of each service
        """
        since_s = [
            since_s
            for service, since_s in self.cut_off_since_s.items()
            if any(
                each.stage is not catalog.Stage.NONE
                for each in self.catalog.by_service.get(service, {}).values()
            )
        ]
        return self.clock.now_s() - min(since_s) if since_s else 0.0

    def unreachable(self, service: str) -> list[str]:
        """Return the endpoints of a service that this host can't reach."""
        if not self.own.failing_since_s:
            return []
        listed = self.catalog.by_service.get(service, {})
        return [e for e in self.own.failing_since_s if e in listed]

    def do_others_reach(self, service: str) -> bool:
        """Return whether others reach endpoints that this host can't.

        Waits for the first replies if it has just found that it can't.
        """
        lost = self.unreachable(service)
        if not lost:
            return False
        now_s = self.clock.now_s()
        found = self.peers.hosts(lost, now_s)
        if not found and any(
            self.own.failing_s(each, now_s) < REPLY_WAIT_S for each in lost
        ):
            self.clock.sleep(REPLY_WAIT_S)
            found = self.peers.hosts(lost, self.clock.now_s())
        return bool(found)

    def reachable(
        self, endpoints: list[catalog.Endpoint]
    ) -> list[catalog.Endpoint]:
        """Return those endpoints that this host reaches; all, if it can none.

        The latest attempt may be out of date, so without another choice an
        unreachable endpoint is tried again.
        """
        if not self.own.failing_since_s:
            return endpoints
        found = [e for e in endpoints if not self.own.is_unreachable(e.id)]
        return found or endpoints

    def choose_host(self, service: str, declined: set[str]) -> str | None:
        """Return the address of a host that reaches a service.

        :param declined: hosts that have declined the request
        :returns: None if no other one is known
        """
        found = [
            each
            for each in self.peers.hosts(
                self.unreachable(service), self.clock.now_s()
            )
            if each not in declined
        ]
        # Hosts with the same reports would else all choose the same one.
        return self.rng.choice(found[:2]) if found else None

    def _groups(self, service: str) -> Iterable[list[str]]:
        stages: dict[catalog.Stage, list[str]] = {}
        for each in self.catalog.usable(service):
            stages.setdefault(each.stage, []).append(each.id)
        return stages.values()

    # Trying endpoints, and asking other hosts.

    def _run(self) -> None:
        while True:
            self.clock.sleep(TICK_S)
            now_s = self.clock.now_s()
            for endpoint in self._silent(now_s):
                gevent.spawn(self._probe, endpoint)
            services = {
                self.catalog.endpoints[each].service
                for each in self.own.failing_since_s
                if each in self.catalog.endpoints
            }
            for service in services:
                if now_s >= self.next_check_s.get(service, now_s):
                    self._check(service)
            for service in [s for s in self.next_check_s if s not in services]:
                del self.next_check_s[service]
                self.check_interval_s.pop(service, None)
            self._record_changes(services)

    def _silent(self, now_s: float) -> list[catalog.Endpoint]:
        """Return the endpoints at which a request waits without an answer."""
        return [
            self.catalog.endpoints[each]
            for each in self.own.paths
            if self.own.silent_s(each, now_s) > SILENCE_S
            and each in self.catalog.endpoints
        ][:MAX_PROBES]

    def _check_at_once(self, endpoint: catalog.Endpoint) -> None:
        """Check a service of which an endpoint has become unreachable."""
        now_s = self.clock.now_s()
        interval_s = self.check_interval_s.get(endpoint.service)
        if interval_s is None or interval_s > CHECK_INTERVAL_S:
            self._check(endpoint.service)
        else:
            self.next_check_s[endpoint.service] = now_s

    def _check(self, service: str) -> None:
        """Try endpoints of a service, and ask others about those that fail."""
        now_s = self.clock.now_s()
        failing = self.unreachable(service)
        before_s = self.check_interval_s.get(service, CHECK_INTERVAL_S / 2)
        interval_s = CHECK_INTERVAL_S
        if not self.peers.hosts(failing, now_s):
            interval_s = min(before_s * 2, MAX_CHECK_INTERVAL_S)
        self.check_interval_s[service] = interval_s
        self.next_check_s[service] = now_s + interval_s
        self._ask_peers(failing)
        in_doubt = [
            each
            for each in self.catalog.usable(service)
            if self.own.tried_ago_s(each.id, now_s) > PROBE_INTERVAL_S
            and (
                self.own.is_unreachable(each.id)
                or self.own.reached_ago_s(each.id, now_s) > SILENCE_S
            )
        ]
        for each in self._sample(in_doubt, MAX_PROBES):
            gevent.spawn(self._probe, each)

    def _probe(self, endpoint: catalog.Endpoint) -> bool:
        """Try to connect to an endpoint; the connection is kept for use."""
        return self.upstream.probe(endpoint)

    def _ask_peers(self, endpoint_ids: list[str]) -> None:
        if not endpoint_ids:
            return
        asked = self._sample(endpoint_ids, MAX_QUERIED_ENDPOINTS)
        query = path_codec.PathQuery(self.address, tuple(asked))
        for addresses in self.members.peers_by_domain():
            for each in self._sample(addresses, PEERS_ASKED):
                self.placement_service.send(each, query)

    def _sample(self, found: list, count: int) -> list:
        return self.rng.sample(found, min(count, len(found)))

    def _record_changes(self, services: set[str]) -> None:
        """Log the services that this host alone can't reach, on changes."""
        now_s = self.clock.now_s()
        for service in services | set(self.cut_off_since_s):
            is_cut_off = self.is_cut_off(service)
            since_s = self.cut_off_since_s.get(service)
            if is_cut_off and since_s is None:
                self.cut_off_since_s[service] = now_s
                LOG.warning_event(
                    'cut_off',
                    service=service,
                    endpoints=len(self.unreachable(service)),
                    hosts=','.join(
                        self.peers.hosts(self.unreachable(service), now_s)
                    ),
                )
            elif since_s is not None and not is_cut_off:
                del self.cut_off_since_s[service]
                LOG.event(
                    'cut_off_ended',
                    service=service,
                    after_s=round(now_s - since_s, 3),
                    endpoints=len(self.unreachable(service)),
                )

    # Messages of other hosts.

    def handle_query(self, query: path_codec.PathQuery) -> None:
        """Reply which of some endpoints this host reaches."""
        if not self.is_stopping():
            gevent.spawn(self._reply, query)

    def _reply(self, query: path_codec.PathQuery) -> None:
        now_s = self.clock.now_s()
        known = [
            each
            for each in map(self.catalog.find_staying, query.endpoints)
            if each is not None
        ]
        reached = [e for e in known if self._is_fresh(e.id, now_s)]
        if not reached:
            tried = [
                each
                for each in known
                if self.own.tried_ago_s(each.id, now_s) > PROBE_INTERVAL_S
            ][:MAX_PROBES]
            probes = [gevent.spawn(self._probe, each) for each in tried]
            gevent.joinall(probes)
            reached = [
                each
                for each, probe in zip(tried, probes, strict=True)
                if probe.value
            ]
        reply = path_codec.PathReply(
            self.address, tuple(e.id for e in reached), self.relayed()
        )
        self.placement_service.send(query.address, reply)

    def _is_fresh(self, endpoint_id: str, now_s: float) -> bool:
        return (
            not self.own.is_unreachable(endpoint_id)
            and self.own.reached_ago_s(endpoint_id, now_s) <= FRESH_S
        )

    def handle_reply(self, reply: path_codec.PathReply) -> None:
        """Record which endpoints another host reaches."""
        self.peers.record_report(
            reply.address,
            reply.endpoints,
            self.members.is_near(reply.address),
            reply.relayed,
            self.clock.now_s(),
        )
