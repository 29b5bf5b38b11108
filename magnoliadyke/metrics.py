"""Metrics by OpenTelemetry: scraped on the admin listener, or pushed.

Values are recorded once per request or less often, never per token.
"""

import collections

import gevent
from opentelemetry.exporter import prometheus
from opentelemetry import metrics as api
from opentelemetry.sdk import metrics as sdk
from opentelemetry.sdk.metrics import export
from opentelemetry.sdk import resources
import prometheus_client

from magnoliadyke import app
from magnoliadyke.core import burn
from magnoliadyke import logs
from magnoliadyke import mailbox

__all__ = ['OUTCOMES', 'Metrics']

#: Outcomes of a request. ``failed`` is a response in which the endpoint
#: reports an error, ``limited`` a refusal by the limits in the customer's row,
#: ``cancelled`` an abort by the caller, and ``declined`` a refusal by a host
#: that accepts no requests at the time: its caller tries another host at once.
OUTCOMES = (
    'answered',
    'failed',
    'not_run',
    'limited',
    'unknown',
    'rejected',
    'cancelled',
    'declined',
)

#: Outcomes that are left out of the burn rate, as they neither meet nor miss
#: an objective: they follow from the request or the customer's row, or the
#: request is counted at the next host that its caller tries.
UNSCORED_OUTCOMES = frozenset({'limited', 'rejected', 'cancelled', 'declined'})

# Histograms have few buckets: with 270 customers each bucket adds 270 lines
# to every scrape.
FIRST_TOKEN_BOUNDS_S = (0.1, 0.25, 0.42, 0.7, 1, 2, 5, 20)
PER_TOKEN_BOUNDS_S = (0.01, 0.02, 0.04, 0.07, 0.1, 0.3, 1)
QUEUED_BOUNDS_S = (0.05, 0.25, 1, 5, 20)

#: Maximum number of series of one instrument: customers times outcomes times
#: causes, which exceeds the SDK's default of 2000. All series beyond the
#: limit are counted as one.
SERIES_LIMIT = 20_000
SERIES_LIMITS = {sdk.Counter: SERIES_LIMIT, sdk.Histogram: SERIES_LIMIT}

#: Maximum time for one push including retries, in seconds.
PUSH_TIMEOUT_S = 5.0


class Metrics(app.Component):
    """Counts the requests and role changes of a node.

    :param settings: the deployment's settings
    :param host: name of this host
    :param clock: a :class:`magnoliadyke.clock.Clock`
    :ivar burn_counters: good and bad requests by customer and window
    :ivar totals: requests by customer and outcome, since the node started
    """

    def __init__(self, settings, host, clock):
        self.clock = clock
        self.started_s = clock.now_s()
        self.burn_counters = burn.BurnCounters()
        self.totals = collections.defaultdict(collections.Counter)
        self.registry = prometheus_client.CollectorRegistry()
        self.scrape = prometheus.PrometheusMetricReader(
            scope_info_enabled=False,
            registry=self.registry,
            cardinality_limits=SERIES_LIMITS,
        )
        readers = [self.scrape]
        self.pusher = None
        if settings.metrics.otlp_endpoint:
            self.pusher = Pusher(settings.metrics, clock)
            readers.append(self.pusher.reader)
        self.provider = sdk.MeterProvider(
            metric_readers=readers,
            resource=resources.Resource(
                {
                    'service.name': 'magnoliadyke',
                    'service.instance.id': host,
                    'deployment.name': settings.deployment,
                }
            ),
            shutdown_on_exit=False,
        )
        self.meter = self.provider.get_meter('magnoliadyke')
        self.create_instruments()

    def create_instruments(self):
        """Create all counters and histograms."""
        self.requests = self.meter.create_counter(
            'magnoliadyke.requests',
            description='Requests by customer, outcome and cause.',
        )
        self.tokens = self.meter.create_counter(
            'magnoliadyke.tokens',
            description='Tokens of finished requests by customer, direction.',
        )
        self.role_changes = self.meter.create_counter(
            'magnoliadyke.role_changes',
            description='Role changes that this node commanded.',
        )
        self.first_token = self.create_seconds_histogram(
            'magnoliadyke.first_token',
            'Time from arrival to the first token.',
            FIRST_TOKEN_BOUNDS_S,
        )
        self.per_token = self.create_seconds_histogram(
            'magnoliadyke.per_token',
            'Mean time between the tokens of a request.',
            PER_TOKEN_BOUNDS_S,
        )
        self.queued = self.create_seconds_histogram(
            'magnoliadyke.queued',
            'Time in the queue of this node.',
            QUEUED_BOUNDS_S,
        )

    def create_seconds_histogram(self, name, description, bounds_s):
        """Create a histogram of durations in seconds.

        :param name: such as ``magnoliadyke.queued``
        :param description: text for readers of the metric
        :param bounds_s: upper bounds of the buckets, in seconds
        """
        return self.meter.create_histogram(
            name,
            unit='s',
            description=description,
            explicit_bucket_boundaries_advisory=bounds_s,
        )

    def add_gauge(self, name, description, read, unit=''):
        """Add a gauge whose values are read at each collection of metrics.

        :param name: such as ``magnoliadyke.members``
        :param description: text for readers of the metric
        :param read: returns pairs of (attributes mapping, number)
        :param unit: unit of the values, ``''`` for a plain number
        """

        def observe(_options):
            return [
                api.Observation(value, attributes)
                for attributes, value in read()
            ]

        self.meter.create_observable_gauge(
            name, callbacks=[observe], unit=unit, description=description
        )

    def record_request_end(
        self, customer, outcome, timings=None, prompt_tokens=0, output_tokens=0
    ):
        """Count a request that has ended with any outcome.

        :param customer: name of a row of the table, never a name from a
            request, as each name adds series
        :param outcome: one of :data:`OUTCOMES`
        :param timings: :class:`magnoliadyke.core.burn.Timings`; None if the
            request was refused before it was queued
        :param prompt_tokens: tokens of the prompt
        :param output_tokens: tokens of the answer
        :returns: the :class:`magnoliadyke.core.burn.Verdict`
        """
        timings = timings or burn.Timings()
        objective_result = burn.Verdict(True)
        if outcome not in UNSCORED_OUTCOMES:
            objective_result = burn.judge(timings, outcome == 'answered')
            self.burn_counters.record(
                customer, objective_result, self.clock.now_s()
            )
        self.totals[customer][outcome] += 1
        labels = {'customer': customer}
        self.requests.add(
            1, labels | {'outcome': outcome, 'cause': objective_result.cause}
        )
        self.queued.record(timings.queued_s, labels)
        if timings.first_token_s is not None:
            self.first_token.record(timings.first_token_s, labels)
        if timings.per_token_s is not None:
            self.per_token.record(timings.per_token_s, labels)
        if prompt_tokens or output_tokens:
            self.tokens.add(prompt_tokens, labels | {'direction': 'prompt'})
            self.tokens.add(output_tokens, labels | {'direction': 'output'})
        return objective_result

    def record_role_change(self, pool, endpoint, role):
        """Count a role change that this node has commanded.

        :param pool: name of the pool
        :param endpoint: name of the engine
        :param role: the new role
        """
        self.role_changes.add(
            1, {'pool': pool, 'endpoint': endpoint, 'role': role}
        )

    def burn_snapshot(self):
        """Return this node's burn counts of all customers and windows."""
        return self.burn_counters.snapshot(self.clock.now_s())

    def covered_s(self):
        """Return the time since this node began to count, in seconds."""
        return self.clock.now_s() - self.started_s

    def render_prometheus(self):
        """Return all metrics in the Prometheus text format, as bytes.

        Each metric family is rendered by itself, and other greenlets run in
        between. With many customers, rendering all families at once would
        delay every stream of this node by more than the time between two
        tokens.
        """
        parts = []
        for family in self.registry.collect():
            parts.append(
                prometheus_client.generate_latest(FamilyCollector([family]))
            )
            gevent.sleep(0)
        return b''.join(parts)

    def start(self):
        """Start to push, if the settings name a collector."""
        if self.pusher is not None:
            self.pusher.start()

    def stop(self, deadline_s):
        """Push the last values and shut down.

        :param deadline_s: time for the last push, in seconds
        """
        if self.pusher is not None:
            self.pusher.stop(deadline_s)
        self.provider.shutdown()


class FamilyCollector:
    """Presents metric families to prometheus_client as a registry.

    :param families: the metric families to render
    """

    def __init__(self, families):
        self.families = families

    def collect(self):
        """Return the families."""
        return self.families


class OnDemandReader(export.MetricReader):
    """Collects metrics when :meth:`collect_now` is called."""

    def __init__(self):
        super().__init__(cardinality_limits=SERIES_LIMITS)
        self.collected = None

    def _receive_metrics(self, metrics_data, timeout_millis=0, **kwargs):
        self.collected = metrics_data

    def collect_now(self):
        """Collect and return the metrics, or None if there are none."""
        self.collect()
        collected, self.collected = self.collected, None
        return collected

    def shutdown(self, timeout_millis=0, **kwargs):
        """Do nothing: the reader holds no resources."""


class Pusher(mailbox.Task):
    """Pushes metrics over OTLP from a task of its own.

    The SDK's periodic reader would start a thread and install a fork hook.
    This task is a greenlet: a collector that does not respond blocks only this
    task, and the next push starts after the current one has ended.

    :param settings: :class:`magnoliadyke.settings.MetricsSettings`
    :param clock: a :class:`magnoliadyke.clock.Clock`
    """

    def __init__(self, settings, clock):
        super().__init__('metrics', clock)
        # Imported here, as requests and protobuf take memory that a
        # deployment without a collector does not need.
        from opentelemetry.exporter.otlp.proto.http import metric_exporter

        self.tick_interval_s = settings.export_s
        self.reader = OnDemandReader()
        self.log = logs.get('metrics')
        self.exporter = metric_exporter.OTLPMetricExporter(
            endpoint=settings.otlp_endpoint, timeout=PUSH_TIMEOUT_S
        )

    def tick(self):
        """Push once.

        Values are cumulative, so a failed push loses nothing that the next
        one does not carry.
        """
        collected = self.reader.collect_now()
        if collected is None:
            return
        try:
            result = self.exporter.export(collected)
        except Exception as error:
            self.log.throttled_warning('push_failed', '', error=str(error))
            return
        if result is not export.MetricExportResult.SUCCESS:
            self.log.throttled_warning(
                'push_failed', '', error='refused or no answer'
            )

    def on_stop(self):
        """Push the last values and close the connection."""
        self.tick()
        self.exporter.shutdown()
