"""Metrics by OpenTelemetry: scraped on the admin listener, or pushed.

All counting is per request or rarer; nothing here runs per token.
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

#: What may become of a request. ``failed`` is an answer by which the endpoint
#: itself reports an error, ``limited`` a refusal by the customer's own limits,
#: ``cancelled`` the caller's own wish, and ``declined`` a refusal by a host
#: that takes no work for now: its caller goes on at another host at once.
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

#: Outcomes that neither meet nor miss an objective: the caller or the
#: customer's row asked for them, or another host decides.
UNSCORED_OUTCOMES = frozenset({'limited', 'rejected', 'cancelled', 'declined'})

# Few bounds: with 270 customers each one is 270 more lines of every scrape.
FIRST_TOKEN_BOUNDS_S = (0.1, 0.25, 0.42, 0.7, 1, 2, 5, 20)
PER_TOKEN_BOUNDS_S = (0.01, 0.02, 0.04, 0.07, 0.1, 0.3, 1)
QUEUED_BOUNDS_S = (0.05, 0.25, 1, 5, 20)

#: Series of one instrument, above the SDK's own bound of 2000: customers
#: times outcomes times causes; what is beyond is counted as one.
SERIES_LIMIT = 20_000
SERIES_LIMITS = {sdk.Counter: SERIES_LIMIT, sdk.Histogram: SERIES_LIMIT}

#: Longest time for one push, retries included, in seconds.
PUSH_TIMEOUT_S = 5.0


class Metrics(app.Component):
    """Counts what the node does.

    :param settings: the deployment's settings
    :param host: name of this host
    :param clock: a :class:`magnoliadyke.clock.Clock`
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
        """Create a histogram of times."""
        return self.meter.create_histogram(
            name,
            unit='s',
            description=description,
            explicit_bucket_boundaries_advisory=bounds_s,
        )

    def add_gauge(self, name, description, read, unit=''):
        """Add a value that is read whenever metrics are collected.

        :param name: such as ``magnoliadyke.members``
        :param read: returns pairs of (attributes mapping, number)
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
        """Count a request that has ended, whatever became of it.

        :param customer: a row of the table; never a name a caller made up
        :param outcome: one of :data:`OUTCOMES`
        :param timings: :class:`magnoliadyke.core.burn.Timings`
        :returns: the :class:`magnoliadyke.core.burn.Verdict`
        """
        timings = timings or burn.Timings()
        verdict = burn.Verdict(True)
        if outcome not in UNSCORED_OUTCOMES:
            verdict = burn.judge(timings, outcome == 'answered')
            self.burn_counters.record(customer, verdict, self.clock.now_s())
        self.totals[customer][outcome] += 1
        labels = {'customer': customer}
        self.requests.add(
            1, labels | {'outcome': outcome, 'cause': verdict.cause}
        )
        self.queued.record(timings.queued_s, labels)
        if timings.first_token_s is not None:
            self.first_token.record(timings.first_token_s, labels)
        if timings.per_token_s is not None:
            self.per_token.record(timings.per_token_s, labels)
        if prompt_tokens or output_tokens:
            self.tokens.add(prompt_tokens, labels | {'direction': 'prompt'})
            self.tokens.add(output_tokens, labels | {'direction': 'output'})
        return verdict

    def record_role_change(self, pool, endpoint, role):
        """Count a role change that this node has commanded."""
        self.role_changes.add(
            1, {'pool': pool, 'endpoint': endpoint, 'role': role}
        )

    def burn_snapshot(self):
        """Give this node's burn counts of all customers and windows."""
        return self.burn_counters.snapshot(self.clock.now_s())

    def covered_s(self):
        """Return how far back the counts go, in seconds."""
        return self.clock.now_s() - self.started_s

    def render_prometheus(self):
        """Return all metrics in the Prometheus text format, as bytes.

        Each family is rendered by itself, and other greenlets run between
        them: all in one piece would hold up every stream of this node for
        longer than the time between two tokens once customers are many.
        """
        parts = []
        for family in self.registry.collect():
            parts.append(
                prometheus_client.generate_latest(FamilyCollector([family]))
            )
            gevent.sleep(0)
        return b''.join(parts)

    def start(self):
        """Begin to push, if the settings ask for it."""
        if self.pusher is not None:
            self.pusher.start()

    def stop(self, deadline_s):
        """Push what is left and end."""
        if self.pusher is not None:
            self.pusher.stop(deadline_s)
        self.provider.shutdown()


class FamilyCollector:
    """Metric families in the place of a registry."""

    def __init__(self, families):
        self.families = families

    def collect(self):
        """Return the families."""
        return self.families


class OnDemandReader(export.MetricReader):
    """Collects when told to and keeps the result for whoever told it."""

    def __init__(self):
        super().__init__(cardinality_limits=SERIES_LIMITS)
        self.collected = None

    def _receive_metrics(self, metrics_data, timeout_millis=0, **kwargs):
        self.collected = metrics_data

    def collect_now(self):
        """Collect now and return the metrics."""
        self.collect()
        collected, self.collected = self.collected, None
        return collected

    def shutdown(self, timeout_millis=0, **kwargs):
        """Do nothing: the pusher owns what there is to end."""


class Pusher(mailbox.Task):
    """Pushes metrics over OTLP from a task of its own.

    The SDK's own reader starts a thread and a hook for forked children.
    Here the push runs in a greenlet: a collector that hangs holds up this
    task alone, and the next tick waits until it has ended.

    :param settings: :class:`magnoliadyke.settings.MetricsSettings`
    """

    def __init__(self, settings, clock):
        super().__init__('metrics', clock)
        # Only here: requests and protobuf cost memory that a deployment
        # without a collector need not spend.
        from opentelemetry.exporter.otlp.proto.http import metric_exporter

        self.tick_interval_s = settings.export_s
        self.reader = OnDemandReader()
        self.log = logs.get('metrics')
        self.exporter = metric_exporter.OTLPMetricExporter(
            endpoint=settings.otlp_endpoint, timeout=PUSH_TIMEOUT_S
        )

    def tick(self):
        """Push once; the next push carries the same sums if this fails."""
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
        """Push the last counts and close the connection."""
        self.tick()
        self.exporter.shutdown()
