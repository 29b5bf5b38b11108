"""Exchanges observations of endpoints of plain services between hosts."""

import collections
import random

import gevent

from magnoliadyke import app
from magnoliadyke import clock as clocks
from magnoliadyke.core import balance
from magnoliadyke.core import catalog
from magnoliadyke.core import observations
from magnoliadyke.gateway import members
from magnoliadyke.gateway import observation_codec
from magnoliadyke.gateway import placementservice
from magnoliadyke import logs

__all__ = ['ObservationExchange']

LOG = logs.get('observationexchange')

#: Interval of the reports, in seconds.
REPORT_INTERVAL_S = 0.5
#: Number of hosts to which a report is sent: with the interval, a host
#: receives about 18 reports in the 3 s for which one counts.
RECEIVERS = 3
#: Up to this number of hosts each observes enough itself, and none reports.
MAX_UNSHARED_HOSTS = 16
#: Time without a turn of the own loop after which this process counts as
#: having been suspended, in seconds.
SUSPENDED_S = 2.0
#: Maximum number of reporting hosts in a log line.
MAX_LOGGED_HOSTS = 8


class ObservationExchange(app.Component):
    """Sends this host's observations, and records those of others.

    :param own: name and incarnation of this host
    :ivar counts: number of reports ``sent``, ``received`` and ``dropped``
    :ivar cooldowns: cooldowns adopted from other hosts, by endpoint id, as
        last logged
    :ivar ticked_s: time of the last turn, in seconds of the boot clock
    :ivar fresh_from_s: until then received reports may have waited while this
        process was suspended, in seconds of the boot clock
    """

    def __init__(
        self,
        own: tuple[str, int],
        balancer: balance.Balancer,
        endpoint_catalog: catalog.Catalog,
        host_members: members.Members,
        placement_service: placementservice.PlacementService,
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        self.own_host, self.incarnation = own
        self.balancer = balancer
        self.catalog = endpoint_catalog
        self.members = host_members
        self.placement_service = placement_service
        self.clock = clock
        self.rng = rng
        self.counts: collections.Counter[str] = collections.Counter()
        self.cooldowns: dict[str, observations.Cooldown] = {}
        self.ticked_s = clock.boot_s()
        self.fresh_from_s = float('-inf')
        self.greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start to send reports."""
        self.ticked_s = self.clock.boot_s()
        self.greenlet = gevent.spawn(self._run)

    def stop(self, deadline_s: float) -> None:
        """Stop sending reports."""
        if self.greenlet is not None:
            self.greenlet.kill()

    def _run(self) -> None:
        while True:
            self.clock.sleep(REPORT_INTERVAL_S)
            self.tick()

    def tick(self) -> None:
        """Send what this host observed since the last call.

        Observations from before a suspension are dropped: they would count as
        new at the receivers, and the monotonic clock may have stopped.
        """
        now_s, boot_s = self.clock.now_s(), self.clock.boot_s()
        suspended = boot_s - self.ticked_s > SUSPENDED_S
        self.ticked_s = boot_s
        observed = self.balancer.take_report(now_s)
        if suspended:
            # Datagrams that arrived meanwhile may still wait in the socket.
            self.fresh_from_s = boot_s + REPORT_INTERVAL_S
            self.balancer.shared.reports.clear()
        elif observed and self._is_enabled():
            self._send(observed)
        self._log_changes(now_s)

    def _is_enabled(self) -> bool:
        return self.members.count() > MAX_UNSHARED_HOSTS

    def _send(self, observed: list[observations.Observation]) -> None:
        fitting: list[observations.Observation] = []
        free_bytes = observation_codec.MAX_OBSERVATIONS_BYTES
        for each in observed[: observation_codec.MAX_ENDPOINTS]:
            free_bytes -= observation_codec.encoded_bytes(each)
            if free_bytes < 0:
                break
            fitting.append(each)
        if not fitting:
            return
        message = observation_codec.ObservationReport(
            self.own_host, self.incarnation, tuple(fitting)
        )
        addresses = self.members.reachable_addresses()
        for address in self.rng.sample(
            addresses, min(RECEIVERS, len(addresses))
        ):
            self.placement_service.send(address, message)
            self.counts['sent'] += 1

    def handle(self, report: observation_codec.ObservationReport) -> None:
        """Record the report of another host.

        Observations of endpoints that this host does not know are ignored.
        """
        now_s, boot_s = self.clock.now_s(), self.clock.boot_s()
        self.counts['received'] += 1
        waited = (
            boot_s < self.fresh_from_s or boot_s - self.ticked_s > SUSPENDED_S
        )
        known = [
            each
            for each in report.observations
            if each.endpoint in self.catalog.endpoints
        ]
        if (
            waited
            or report.host == self.own_host
            or not self._is_enabled()
            or not self.balancer.shared.record(
                report.host, report.incarnation, known, now_s
            )
        ):
            self.counts['dropped'] += 1
            return
        self._log_changes(now_s)

    def _log_changes(self, now_s: float) -> None:
        """Log the endpoints that are left out from now on, or no longer."""
        current = self.balancer.shared_cooldowns(now_s)
        for endpoint, cooldown in current.items():
            if endpoint not in self.cooldowns:
                self._log('endpoint_left_out', endpoint, cooldown, now_s)
        for endpoint, cooldown in self.cooldowns.items():
            if endpoint not in current:
                self._log('endpoint_used_again', endpoint, cooldown, now_s)
        self.cooldowns = current

    def _log(
        self,
        name: str,
        endpoint: str,
        cooldown: observations.Cooldown,
        now_s: float,
    ) -> None:
        hosts = sorted(cooldown.received_s, key=cooldown.received_s.get)
        ages_ms = [
            round((now_s - cooldown.received_s[host]) * 1000) for host in hosts
        ]
        LOG.event(
            name,
            endpoint=endpoint,
            reported_by=','.join(hosts[-MAX_LOGGED_HOSTS:]),
            age_ms=','.join(map(str, ages_ms[-MAX_LOGGED_HOSTS:])),
            reports=len(hosts),
            until_ms=round((cooldown.until_s - now_s) * 1000),
        )
