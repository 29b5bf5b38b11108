"""Counters, gauges and latency histograms in Prometheus text format.

``prometheus_client``, on which OpenTelemetry's Prometheus exporter builds, is
used directly, because the whole SDK would take some megabytes of each host's
memory.
"""

import prometheus_client

from magnoliadyke.core import routes
from magnoliadyke.gateway import outcomes

__all__ = ['MetricsRegistry']

#: Histogram buckets below, around and above the usual latency objectives
#: (0.1 to 0.25 s), up to the longest timeouts.
LATENCY_BUCKETS_S = (0.02, 0.05, 0.1, 0.15, 0.25, 0.5, 1, 2, 5, 15)


class MetricsRegistry:
    """The metrics of a host.

    :ivar content_type: content type of :meth:`text`
    """

    def __init__(self) -> None:
        self.content_type = prometheus_client.CONTENT_TYPE_LATEST.encode()
        self.registry = prometheus_client.CollectorRegistry()
        self.requests = self._counter(
            'requests',
            'Requests by kind of route and outcome.',
            'kind',
            'outcome',
        )
        self.early = self._counter(
            'early_answers',
            'Requests without a route, a known key or a proof, by status.',
            'status',
        )
        self.took = prometheus_client.Histogram(
            'magnoliadyke_answer_seconds',
            'Time from a read head to the end of the answer.',
            ('kind', 'outcome'),
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.placed = self._gauge(
            'placed', 'Prompts by who placed them.', 'by'
        )
        self.prompts_refused = self._gauge(
            'prompts_refused',
            'Prompts that were not placed, by reason, rank and largest size '
            'of the size class.',
            'reason',
            'rank',
            'tokens',
        )
        self.prompt_outcomes = self._gauge(
            'prompt_outcomes',
            'Requests with prompts by route, largest size of the size class, '
            'and outcome.',
            'route',
            'tokens',
            'outcome',
        )
        self.store_calls = self._gauge(
            'store_calls', 'Calls to the store by kind.', 'call'
        )
        self.caught_up = self._gauge(
            'caught_up',
            'Times that this host lagged behind others, by what ended it.',
            'source',
        )
        self.restores = self._gauge(
            'store_restores',
            'Times that the store came back from an older copy.',
        )
        self.unusable = self._gauge(
            'unusable_records', 'Records of the store not used.', 'kind'
        )
        self.proof_age = self._gauge(
            'confirmation_age_seconds',
            'Time since the configuration was last confirmed as the newest.',
        )
        self.usage_window = self._gauge(
            'usage_window', 'Latest window of which the usage was fixed.'
        )
        self.usage_skipped = self._gauge(
            'usage_skipped_windows',
            'Windows not reported, as an unknown process may have done so.',
        )
        self.endpoints_wanted = self._gauge(
            'endpoints_wanted',
            'Endpoints that a service is to have.',
            'service',
        )
        self.hosts = self._gauge('hosts', 'Hosts thought to run.')
        self.hosts_listed = self._gauge(
            'hosts_listed', 'Hosts that callers are told to connect to.'
        )
        self.engines = self._gauge(
            'engines',
            'Engines that may be given work.',
            'service',
            'stage',
        )
        self.unreachable_endpoints = self._gauge(
            'unreachable_endpoints',
            'Endpoints to which the latest connection could not be opened.',
        )
        self.relayed = self._gauge(
            'relayed_requests',
            'Requests for which other hosts were asked, by whether one took '
            'them.',
            'outcome',
        )
        self.observation_reports = self._gauge(
            'observation_reports',
            'Reports on endpoints of plain services, sent to other hosts, '
            'received, and dropped of those received.',
            'outcome',
        )
        self.pace_reports = self._gauge(
            'pace_reports',
            'Reports on the pace of engines, sent to the placement leader, '
            'received, and dropped as this host was delayed.',
            'outcome',
        )
        self.endpoint_limit = self._gauge(
            'endpoint_limit',
            'Requests per second that an endpoint takes from all hosts.',
            'endpoint',
        )
        self.permits = self._gauge(
            'permits',
            'Permits for endpoints with a limit, by who decided and how.',
            'outcome',
        )
        self.limited_sends = self._gauge(
            'limited_sends',
            'Requests that this host sent to endpoints that named a limit.',
            'endpoint',
        )
        self.retries = self._gauge(
            'retries',
            'Retries of this host in the window of its budget.',
            'service',
        )
        self.retry_allowance = self._gauge(
            'retry_allowance',
            'Retries that the budget allows this host in the window.',
            'service',
        )
        self.answer_ends = self._gauge(
            'answer_ends',
            'Answers of endpoints by framing, by what ended them, and whether '
            'bytes of an event were left over.',
            'framing',
            'end',
            'in_event',
        )
        self.late_copies = self._gauge(
            'late_copies',
            'Answers of endpoints dropped as copies of earlier ones.',
        )
        self.late_bytes = self._gauge(
            'late_bytes',
            'Idle connections to endpoints closed with unread bytes.',
        )
        self.silent_runs = self._gauge(
            'silent_runs',
            'Runs at engines that were silent, by what came of them.',
            'outcome',
        )
        self.bodies_given_up = self._gauge(
            'bodies_given_up',
            'Bodies of requests and answers, and events, that had no room.',
            'of',
        )
        self.broken_off = self._gauge(
            'broken_off', 'Attempts that endpoints broke off.'
        )
        self.barred_causes = self._gauge(
            'barred_causes',
            'Causes of crashes with which requests are not run.',
        )
        self.barred_requests = self._gauge(
            'barred_requests',
            'Requests with barred causes, not run or tried.',
            'outcome',
        )
        self.streams_taken_up = self._gauge(
            'streams_taken_up',
            'Streams that callers took up, by how their version was known.',
            'known',
        )
        self.stream_records = self._gauge(
            'stream_records', 'Streams of which this host keeps the version.'
        )
        self.stream_backups = self._gauge(
            'stream_backups',
            'Backups of streams requested, breaks by how the old run was '
            'stopped, and continuations by outcome.',
            'event',
        )
        self.open_requests = self._gauge(
            'open_requests', 'Requests under way.'
        )
        self.version = self._gauge(
            'configuration_version', 'Configuration in force.'
        )
        self.store_age = self._gauge(
            'store_age_seconds', "Age of the store's last answer."
        )

    def _counter(
        self, name: str, text: str, *labels: str
    ) -> prometheus_client.Counter:
        return prometheus_client.Counter(
            f'magnoliadyke_{name}', text, labels, registry=self.registry
        )

    def _gauge(
        self, name: str, text: str, *labels: str
    ) -> prometheus_client.Gauge:
        return prometheus_client.Gauge(
            f'magnoliadyke_{name}', text, labels, registry=self.registry
        )

    def record(
        self, outcome: outcomes.Outcome, route: routes.Route, took_s: float
    ) -> None:
        """Count a finished request and record its duration."""
        labels = (route.kind.value, type(outcome).__name__.lower())
        self.requests.labels(*labels).inc()
        self.took.labels(*labels).observe(took_s)

    def record_early(self, status: int) -> None:
        """Count a request that was answered before an exchange began."""
        self.early.labels(str(status)).inc()

    def text(self) -> bytes:
        """Return all metrics in Prometheus text format."""
        return prometheus_client.generate_latest(self.registry)
