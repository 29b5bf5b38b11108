"""What operators see of a host: its metrics and its regular log line."""

import collections
import time
from typing import NamedTuple

from magnoliadyke import clock as clocks
from magnoliadyke.core import catalog
from magnoliadyke.core import routes
from magnoliadyke.gateway import autoscaling
from magnoliadyke.gateway import confirming
from magnoliadyke.gateway import follower
from magnoliadyke.gateway import ingress
from magnoliadyke.gateway import measures
from magnoliadyke.gateway import members
from magnoliadyke.gateway import outcomes
from magnoliadyke.gateway import placing
from magnoliadyke.gateway import smallserver
from magnoliadyke.gateway import store
from magnoliadyke.gateway import upstream
from magnoliadyke.gateway import usageduty
from magnoliadyke import logs

__all__ = ['METRICS_PATH', 'Figures', 'Watched']

LOG = logs.get('node')

METRICS_PATH = b'/metrics'


class Watched(NamedTuple):
    """The parts of a host whose figures are told."""

    catalog: catalog.Catalog
    confirming: confirming.ConfigurationConfirmer
    fleet: autoscaling.AutoscalingDuty
    follower: follower.Follower
    ingress: ingress.Ingress
    members: members.Members
    placer: placing.Placer
    store: store.Store
    upstream: upstream.Upstream
    usage: usageduty.UsageDuty


class Figures:
    """Gathers the figures of a host's parts.

    :ivar watched: set before the first one is asked for
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self.clock = clock
        self.watched: Watched | None = None
        self.measures = measures.Measures()
        self.outcomes: collections.Counter[str] = collections.Counter()

    def record(
        self, outcome: outcomes.Outcome, route: routes.Route, took_s: float
    ) -> None:
        """Count one request."""
        self.outcomes[type(outcome).__name__.lower()] += 1
        self.measures.record(outcome, route, took_s)

    def answer(self, method: bytes, target: bytes) -> smallserver.Reply:
        """Answer a scraper."""
        if target.split(b'?', 1)[0] != METRICS_PATH:
            return smallserver.Reply(404)
        self._gather()
        return smallserver.Reply(
            200, self.measures.content_type, self.measures.text()
        )

    def _gather(self) -> None:
        told, parts = self.measures, self.watched
        for by, count in parts.placer.counts.items():
            told.placed.labels(by).set(count)
        for call, count in parts.store.calls.items():
            told.store_calls.labels(call).set(count)
        told.restores.set(parts.store.restores)
        for kind, count in parts.follower.mirror.unusable.items():
            told.unusable.labels(kind).set(count)
        for source, count in parts.follower.catch_up.caught_up.items():
            told.caught_up.labels(source).set(count)
        if parts.confirming.needed():
            age_s = self.clock.boot_s() - parts.confirming.proof.proved_s
            told.proof_age.set(age_s)
        if parts.usage.reports.last is not None:
            told.usage_window.set(parts.usage.reports.last)
        for service, wanted in parts.fleet.wanted.items():
            told.endpoints_wanted.labels(service).set(wanted)
        self._count_engines()
        told.hosts.set(parts.members.count())
        told.open_requests.set(parts.ingress.open_requests)
        if parts.catalog.configuration is not None:
            told.version.set(parts.catalog.configuration.version)
        if parts.catalog.checked_s is not None:
            told.store_age.set(self.clock.now_s() - parts.catalog.checked_s)

    def _count_engines(self) -> None:
        """Count engines by stage; a service whose engines all left keeps 0."""
        known = self.watched.catalog
        if known.configuration is None:
            return
        for service, traits in known.configuration.services.items():
            if traits.engine is None:
                continue
            held = [each.stage for each in known.usable(service)]
            for stage in (catalog.Stage.PREFILL, catalog.Stage.DECODE):
                gauge = self.measures.engines.labels(service, stage.value)
                gauge.set(held.count(stage))

    def log(self) -> None:
        """Write the regular lines."""
        parts = self.watched
        if parts.placer.leading:
            for service, pool in parts.placer.served.items():
                LOG.event(
                    'placement',
                    service=service,
                    **pool.core.log_fields(),
                )
        LOG.event(
            'figures',
            hosts=parts.members.count(),
            open=parts.ingress.open_requests,
            processor_s=round(time.process_time(), 3),
            opened=parts.upstream.opened,
            after_reading_ms=round(
                parts.placer.after_reading_s.high_s * 1000, 1
            ),
            **self.outcomes,
            **{f'placed_{k}': v for k, v in parts.placer.counts.items()},
            **{f'store_{k}': v for k, v in parts.store.calls.items()},
        )
