"""Records the outcome and the timings of each request in the metrics."""

from magnoliadyke.core import burn
from magnoliadyke.core import outcomes
from magnoliadyke.core import records
from magnoliadyke import logs
from magnoliadyke import streams

__all__ = ['Reports', 'outcome_label']

LOG = logs.get('requests')

SERVER_ERROR = 500

#: Outcomes that are logged, so that an operator can trace each such request.
LOGGED_OUTCOMES = frozenset({'failed', 'not_run', 'unknown'})
#: Refusals for lack of capacity.
SHED_REASONS = frozenset({'overloaded', 'queue_full'})
#: A request that is shed on arrival has not waited in a queue, so it is
#: attributed to a role change that was in progress within this time before.
SHED_LOOK_BACK_S = 1.0


def outcome_label(outcome):
    """Return the value of the metrics' label ``outcome`` for an outcome."""
    match outcome:
        case records.Answer(status=status):
            return 'failed' if status >= SERVER_ERROR else 'answered'
        case streams.ABANDONED:
            return 'cancelled'
        case outcomes.NotRun(reason):
            limited = reason in outcomes.LIMIT_REASONS
            return 'limited' if limited else 'not_run'
        case outcomes.Rejected():
            return 'rejected'
        case _:
            return 'unknown'


def is_shed(outcome):
    """Return whether a request was refused because its pool was overloaded."""
    match outcome:
        case outcomes.NotRun(reason=reason):
            return reason in SHED_REASONS
    return False


class Reports:
    """Counts the requests whose home is this node when they end.

    :param metrics: :class:`magnoliadyke.metrics.Metrics`; None to count
        nothing
    :param dispatcher: :class:`magnoliadyke.dispatch.Dispatcher`
    :param clock: a :class:`magnoliadyke.clock.Clock`
    """

    def __init__(self, metrics, dispatcher, clock):
        self.metrics = metrics
        self.dispatcher = dispatcher
        self.clock = clock

    def record_refusal(self, customer, outcome):
        """Count a request that was refused before a run was started.

        :param customer: name of the customer's row
        :param outcome: one of :mod:`magnoliadyke.core.outcomes`
        """
        if self.metrics is not None:
            label = outcome_label(outcome)
            # The caller tries another host, which counts the request.
            if label == 'not_run':
                label = 'declined'
            self.metrics.record_request_end(customer, label)

    def record_run_end(self, run):
        """Count a run that has ended.

        :param run: :class:`magnoliadyke.streams.EndpointRun`
        """
        if self.metrics is None:
            return
        prompt_tokens = output_tokens = 0
        if isinstance(run.outcome, records.Answer):
            prompt_tokens = run.outcome.prompt_tokens
            output_tokens = run.outcome.output_tokens
        label = outcome_label(run.outcome)
        verdict = self.metrics.record_request_end(
            run.job.customer,
            label,
            self.timings(run, output_tokens),
            prompt_tokens,
            output_tokens,
        )
        if label in LOGGED_OUTCOMES:
            reason = getattr(run.outcome, 'reason', 'endpoint_error')
            LOG.throttled_warning(
                'request_failed',
                (run.job.customer, label, reason),
                key=run.key,
                customer=run.job.customer,
                outcome=label,
                reason=reason,
                cause=verdict.cause,
            )

    def timings(self, run, output_tokens):
        """Return the timings of a run that has ended.

        :param run: :class:`magnoliadyke.streams.EndpointRun`
        :param output_tokens: tokens of its answer
        """
        job, now_s = run.job, self.clock.now_s()
        first_output_s = run.first_output_s
        if first_output_s is None and isinstance(run.outcome, records.Answer):
            first_output_s = now_s  # a service's response is not streamed
        first_s, per_token_s = None, None
        if first_output_s is not None:
            first_s = first_output_s - job.arrived_s
            if output_tokens > 1:
                span_s = now_s - first_output_s
                per_token_s = span_s / (output_tokens - 1)
        waited_until_s = run.dispatched_s or now_s
        was_shed = is_shed(run.outcome)
        since_s = now_s - SHED_LOOK_BACK_S if was_shed else job.arrived_s
        return burn.Timings(
            first_s,
            per_token_s,
            waited_until_s - job.arrived_s,
            self.dispatcher.changing_s(job.pool, since_s, waited_until_s),
            run.failures,
            job.first_token_s,
            job.per_token_s,
            was_shed,
        )
