"""Collects a host's metrics, for scrapers and for periodic log lines."""

import collections
import time
from typing import NamedTuple

from magnoliadyke import clock as clocks
from magnoliadyke.core import catalog
from magnoliadyke.core import routes
from magnoliadyke.gateway import autoscaling
from magnoliadyke.gateway import confirming
from magnoliadyke.gateway import endpointlimits
from magnoliadyke.gateway import follower
from magnoliadyke.gateway import ingress
from magnoliadyke.gateway import members
from magnoliadyke.gateway import metricsregistry
from magnoliadyke.gateway import observationexchange
from magnoliadyke.gateway import outcomes
from magnoliadyke.gateway import placementservice
from magnoliadyke.gateway import smallserver
from magnoliadyke.gateway import store
from magnoliadyke.gateway import upstream
from magnoliadyke.gateway import usageduty
from magnoliadyke import logs

__all__ = ['METRICS_PATH', 'MetricsCollector', 'MetricSources']

LOG = logs.get('node')

METRICS_PATH = b'/metrics'


class MetricSources(NamedTuple):
    """The components of a host whose metrics are collected."""

    catalog: catalog.Catalog
    confirming: confirming.ConfigurationConfirmer
    fleet: autoscaling.AutoscalingDuty
    follower: follower.Follower
    ingress: ingress.Ingress
    limits: endpointlimits.EndpointLimits
    members: members.Members
    observations: observationexchange.ObservationExchange
    placement_service: placementservice.PlacementService
    store: store.Store
    upstream: upstream.Upstream
    usage: usageduty.UsageDuty


class MetricsCollector:
    """Collects the metrics of a host's components.

    :ivar sources: the components; set before the first scrape or log line
    :ivar outcomes: number of requests by outcome
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self.clock = clock
        self.sources: MetricSources | None = None
        self.registry = metricsregistry.MetricsRegistry()
        self.outcomes: collections.Counter[str] = collections.Counter()

    def record(
        self, outcome: outcomes.Outcome, route: routes.Route, took_s: float
    ) -> None:
        """Count a finished request."""
        self.outcomes[type(outcome).__name__.lower()] += 1
        self.registry.record(outcome, route, took_s)

    def answer(self, method: bytes, target: bytes) -> smallserver.Reply:
        """Answer a request of a metrics scraper."""
        if target.split(b'?', 1)[0] != METRICS_PATH:
            return smallserver.Reply(404)
        self._gather()
        return smallserver.Reply(
            200, self.registry.content_type, self.registry.text()
        )

    def _gather(self) -> None:
        gauges, parts = self.registry, self.sources
        for by, count in parts.placement_service.counts.items():
            gauges.placed.labels(by).set(count)
        for labels, count in parts.placement_service.refusals.items():
            gauges.prompts_refused.labels(*labels).set(count)
        for labels, count in parts.placement_service.outcomes.items():
            gauges.prompt_outcomes.labels(*labels).set(count)
        for call, count in parts.store.calls.items():
            gauges.store_calls.labels(call).set(count)
        gauges.restores.set(parts.store.restores)
        for kind, count in parts.follower.mirror.unusable.items():
            gauges.unusable.labels(kind).set(count)
        for source, count in parts.follower.catch_up.caught_up.items():
            gauges.caught_up.labels(source).set(count)
        if parts.confirming.is_proof_required():
            age_s = self.clock.boot_s() - parts.confirming.proof.proved_s
            gauges.proof_age.set(age_s)
        gauges.usage_skipped.set(parts.usage.skipped)
        if parts.usage.reports.last is not None:
            gauges.usage_window.set(parts.usage.reports.last)
        for service, wanted in parts.fleet.wanted.items():
            gauges.endpoints_wanted.labels(service).set(wanted)
        for service, budget in parts.ingress.parts.budgets.items():
            now_s = self.clock.now_s()
            gauges.retries.labels(service).set(budget.taken(now_s))
            gauges.retry_allowance.labels(service).set(budget.allowance(now_s))
        self._gather_limits()
        self._count_engines()
        gauges.unreachable_endpoints.set(
            len(parts.upstream.reachability.failing_since_s)
        )
        for ended, count in parts.upstream.ends.items():
            gauges.answer_ends.labels(
                ended.framing.value if ended.framing else 'none',
                ended.end.value,
                str(bool(ended.left_over)).lower(),
            ).set(count)
        gauges.late_copies.set(parts.upstream.late_copies)
        gauges.late_bytes.set(parts.upstream.late_bytes)
        for outcome, count in parts.upstream.silences.items():
            gauges.silent_runs.labels(outcome).set(count)
        for of, bodies in (
            ('requests', parts.ingress.bodies),
            ('answers', parts.upstream.bodies),
        ):
            gauges.bodies_given_up.labels(of).set(bodies.given_up)
        reports = parts.ingress.parts.crashreports
        gauges.broken_off.set(reports.broken_off)
        gauges.barred_causes.set(len(reports.causes.bars))
        for outcome, count in reports.counts.items():
            gauges.barred_requests.labels(outcome).set(count)
        streams = parts.ingress.parts.streams
        for known, count in streams.counts.items():
            gauges.streams_taken_up.labels(known).set(count)
        gauges.stream_records.set(len(streams.versions))
        backups = parts.ingress.parts.streambackups
        for event, count in backups.counts.items():
            gauges.stream_backups.labels(event).set(count)
        relayer = parts.ingress.parts.relayer
        for outcome, count in relayer.counts.items():
            gauges.relayed.labels(outcome).set(count)
        for outcome, count in parts.observations.counts.items():
            gauges.observation_reports.labels(outcome).set(count)
        paces = parts.ingress.parts.paces
        for outcome, count in paces.counts.items():
            gauges.pace_reports.labels(outcome).set(count)
        gauges.hosts.set(parts.members.count())
        gauges.hosts_listed.set(len(parts.members.addresses()))
        gauges.open_requests.set(parts.ingress.open_requests)
        if parts.catalog.configuration is not None:
            gauges.version.set(parts.catalog.configuration.version)
        if parts.catalog.confirmed_s is not None:
            gauges.store_age.set(
                self.clock.now_s() - parts.catalog.confirmed_s
            )

    def _gather_limits(self) -> None:
        gauges, limits = self.registry, self.sources.limits
        gauges.endpoint_limit.clear()
        for endpoint, rate_s in limits.named.limited().items():
            gauges.endpoint_limit.labels(endpoint).set(rate_s)
        for outcome, count in limits.counts.items():
            gauges.permits.labels(outcome).set(count)
        gauges.limited_sends.clear()
        for endpoint, count in limits.sends.items():
            gauges.limited_sends.labels(endpoint).set(count)

    def _count_engines(self) -> None:
        """Set the number of engines of each service by stage.

        A service whose engines have all left is reported with 0 engines.
        """
        known = self.sources.catalog
        if known.configuration is None:
            return
        for service, traits in known.configuration.services.items():
            if traits.engine is None:
                continue
            held = [each.stage for each in known.usable(service)]
            for stage in (catalog.Stage.PREFILL, catalog.Stage.DECODE):
                gauge = self.registry.engines.labels(service, stage.value)
                gauge.set(held.count(stage))

    def log(self) -> None:
        """Log the metrics, and the placement state while this host leads."""
        parts = self.sources
        if parts.placement_service.leading:
            for service, pool in parts.placement_service.served.items():
                LOG.event(
                    'placement',
                    service=service,
                    **pool.placement.log_fields(self.clock.now_s()),
                )
        LOG.event(
            'figures',
            hosts=parts.members.count(),
            open=parts.ingress.open_requests,
            processor_s=round(time.process_time(), 3),
            opened=parts.upstream.opened,
            after_reading_ms=round(
                parts.placement_service.transfer_s.high_s * 1000, 1
            ),
            **self.outcomes,
            **{
                f'placed_{k}': v
                for k, v in parts.placement_service.counts.items()
            },
            **{f'store_{k}': v for k, v in parts.store.calls.items()},
        )
