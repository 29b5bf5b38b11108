"""Reports the pace of engines to the placement leader, and back."""

import collections
from collections.abc import Iterator
from typing import Callable

import gevent

from magnoliadyke import app
from magnoliadyke import clock as clocks
from magnoliadyke.core import enginepace
from magnoliadyke.gateway import pace_codec
from magnoliadyke.gateway import placementservice
from magnoliadyke import logs

__all__ = ['PaceReporter']

LOG = logs.get('pacereports')

#: Interval between the reports of a host, in seconds: some events of a stream.
REPORT_INTERVAL_S = 0.5
#: Number of report intervals between two messages of the leader on what it
#: has learned.  In 20 s it tells of 450 engines.
TELL_INTERVALS = 2
#: Delay of a report, in seconds, from which on its intervals are dropped: this
#: process was suspended or overloaded, and events waited here.
MAX_DELAY_S = 0.1


class PaceReporter(app.Component):
    """Counts the events of streams and reports their intervals.

    :ivar counters: intervals since the last report, by service
    :ivar told: number of the engine from which the leader goes on to tell, by
        service
    :ivar uneven: whether engines of a service differed when last logged
    :ivar broadcast: sends a message to all other hosts
    :ivar counts: number of reports sent, received, and dropped as this host
        was delayed, for the metrics
    """

    def __init__(
        self,
        placement_service: placementservice.PlacementService,
        clock: clocks.Clock,
    ) -> None:
        self.placement_service = placement_service
        self.clock = clock
        self.counters: collections.defaultdict[str, enginepace.PaceCounter] = (
            collections.defaultdict(enginepace.PaceCounter)
        )
        self.told: collections.Counter[str] = collections.Counter()
        self.uneven: dict[str, bool] = {}
        self.broadcast: Callable[[pace_codec.Message], None] | None = None
        self.counts: collections.Counter[str] = collections.Counter()
        self.greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start to send reports."""
        self.greenlet = gevent.spawn(self._run)

    def stop(self, deadline_s: float) -> None:
        """Stop sending reports."""
        if self.greenlet is not None:
            self.greenlet.kill()

    def add(self, service: str, engine: str, interval_s: float) -> None:
        """Count the time between two events of a stream."""
        self.counters[service].add(engine, interval_s)

    def handle_report(self, message: pace_codec.PaceReport) -> None:
        """Record the report of another host, as the leader."""
        self.counts['received'] += 1
        if self.placement_service.leading:
            self.placement_service.record_paces(
                message.service, message.samples
            )

    def handle_learned(self, message: pace_codec.LearnedPaces) -> None:
        """Keep what the leader has learned, for a time without it."""
        if not self.placement_service.leading:
            self.placement_service.restore_paces(
                message.service, message.samples
            )

    def _run(self) -> None:
        rounds = 0
        while True:
            due_s = self.clock.now_s() + REPORT_INTERVAL_S
            self.clock.sleep(REPORT_INTERVAL_S)
            rounds += 1
            if self.clock.now_s() - due_s > MAX_DELAY_S:
                self.counts['dropped'] += len(self.counters)
                self.counters.clear()
            for service in list(self.counters):
                self._report(service)
            if rounds % TELL_INTERVALS == 0:
                self._tell()

    def _report(self, service: str) -> None:
        samples = self.counters.pop(service).take()
        leader = self.placement_service.answering_leader()
        self.placement_service.record_paces(service, samples)
        if leader is None or self.placement_service.leading:
            return
        for part in _parts(samples):
            self.placement_service.send(
                leader, pace_codec.PaceReport(service, part)
            )
            self.counts['sent'] += 1

    def _tell(self) -> None:
        """Send all hosts the paces of some engines, as the leader.

        Nothing is sent of engines that are alike.
        """
        if not self.placement_service.leading or self.broadcast is None:
            return
        now_s = self.clock.now_s()
        for service, pool in list(self.placement_service.served.items()):
            paces = pool.placement.pool.paces
            uneven = paces.is_uneven(now_s)
            if uneven is not self.uneven.get(service, False):
                self.uneven[service] = uneven
                LOG.event(
                    'engine_paces',
                    service=service,
                    uneven=uneven,
                    engines=len(paces.estimates),
                )
            if not uneven:
                continue
            first = self.told[service]
            self.told[service] += pace_codec.MAX_ENGINES
            samples = paces.samples(now_s, first, pace_codec.MAX_ENGINES)
            self.broadcast(pace_codec.LearnedPaces(service, tuple(samples)))


def _parts(
    samples: list[enginepace.PaceSample],
) -> Iterator[tuple[enginepace.PaceSample, ...]]:
    for start in range(0, len(samples), pace_codec.MAX_ENGINES):
        yield tuple(samples[start : start + pace_codec.MAX_ENGINES])
