"""Tell the metrics what became of each request."""

from magnoliadyke.core import burn
from magnoliadyke.core import outcomes
from magnoliadyke.core import records
from magnoliadyke import streams

__all__ = ['Reports', 'outcome_word']

SERVER_ERROR = 500


def outcome_word(outcome):
    """Return the word that the metrics use for an outcome."""
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


class Reports:
    """Counts the requests that ended at this node, their home.

    :param metrics: :class:`magnoliadyke.metrics.Metrics`, or None
    :param dispatcher: :class:`magnoliadyke.dispatch.Dispatcher`
    """

    def __init__(self, metrics, dispatcher, clock):
        self.metrics = metrics
        self.dispatcher = dispatcher
        self.clock = clock

    def refused(self, customer, outcome):
        """Count a request that was refused before it had a run."""
        if self.metrics is not None:
            self.metrics.request_finished(customer, outcome_word(outcome))

    def ended(self, run):
        """Count a run that has ended.

        :param run: :class:`magnoliadyke.streams.EndpointRun`
        """
        if self.metrics is None:
            return
        prompt_tokens = output_tokens = 0
        if isinstance(run.outcome, records.Answer):
            prompt_tokens = run.outcome.prompt_tokens
            output_tokens = run.outcome.output_tokens
        self.metrics.request_finished(
            run.job.customer,
            outcome_word(run.outcome),
            self.timings(run, output_tokens),
            prompt_tokens,
            output_tokens,
        )

    def timings(self, run, output_tokens):
        """Return where the time of a run went."""
        job, now_s = run.job, self.clock.now_s()
        first_s, per_token_s = None, None
        if run.first_output_s is not None:
            first_s = run.first_output_s - job.arrived_s
            if output_tokens > 1:
                span_s = now_s - run.first_output_s
                per_token_s = span_s / (output_tokens - 1)
        waited_until_s = run.dispatched_s or now_s
        return burn.Timings(
            first_s,
            per_token_s,
            waited_until_s - job.arrived_s,
            self.dispatcher.changing_s(
                job.pool, job.arrived_s, waited_until_s
            ),
            run.failures,
            job.first_token_s,
            job.per_token_s,
        )
