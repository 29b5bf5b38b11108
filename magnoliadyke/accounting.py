"""Counts each request at its end: outcome, times, cause."""

import collections

from magnoliadyke.core import burn
from magnoliadyke.core import notices
from magnoliadyke.core import outcomes
from magnoliadyke.core import records
from magnoliadyke import logs
from magnoliadyke import streams

__all__ = ['Accounting', 'outcome_word']

#: Role changes remembered for each pool; a request waits through few.
CHANGES_KEPT = 16

STATUS_SERVER_ERROR = 500


class Accounting:
    """Turns the ends of requests into metrics, burn counts and log lines.

    It follows the Topic of :class:`magnoliadyke.core.notices.EngineUse`, so
    that waiting can be blamed on a role change.

    :param settings: the deployment's settings
    :param clock: a :class:`magnoliadyke.clock.Clock`
    :param metrics: the :class:`magnoliadyke.metrics.Metrics` of this node
    """

    def __init__(self, settings, clock, metrics):
        self.clock = clock
        self.metrics = metrics
        self.log = logs.get('requests')
        self.pool_of = {
            endpoint.name: pool.name
            for pool in settings.pools
            for endpoint in pool.endpoints
        }
        self.began_s = {}
        self.changes = collections.defaultdict(
            lambda: collections.deque(maxlen=CHANGES_KEPT)
        )

    def post(self, use):
        """Take news of an engine that goes out of use, or comes back.

        :param use: :class:`magnoliadyke.core.notices.EngineUse`
        """
        now_s = self.clock.now_s()
        if use.state == notices.CHANGING:
            self.began_s.setdefault(use.engine, now_s)
            return
        began_s = self.began_s.pop(use.engine, None)
        if began_s is not None:
            pool = self.pool_of.get(use.engine, '')
            self.changes[pool].append((began_s, now_s))

    def ended(self, run):
        """Count a request that ran, or was refused from the queue.

        :param run: the :class:`magnoliadyke.streams.EndpointRun`
        """
        now_s = self.clock.now_s()
        word = outcome_word(run.outcome)
        timings = self.timings(run, now_s)
        answer = run.outcome if word == 'answered' else None
        verdict = self.metrics.request_finished(
            run.job.customer,
            word,
            timings,
            answer.prompt_tokens if answer else 0,
            answer.output_tokens if answer else 0,
        )
        if word in ('answered', 'cancelled'):
            self.log.debug_event(
                'request_ended',
                key=run.key,
                customer=run.job.customer,
                outcome=word,
                cause=verdict.cause,
                first_token_s=timings.first_token_s,
                queued_s=timings.queued_s,
            )
            return
        reason = getattr(run.outcome, 'reason', 'endpoint_error')
        self.log.repeated(
            'request_failed',
            (run.job.customer, word, reason),
            key=run.key,
            customer=run.job.customer,
            outcome=word,
            reason=reason,
            cause=verdict.cause,
        )

    def refused(self, customer, outcome):
        """Count a request that was refused before it was queued.

        :param outcome: the tagged outcome that the caller got
        """
        self.metrics.request_finished(customer, outcome_word(outcome))

    def timings(self, run, now_s):
        """Return where the time of a run went.

        :param now_s: when it ended, in monotonic seconds
        """
        job = run.job
        placed_s = run.placed_s if run.placed_s is not None else now_s
        first_s = run.first_s
        answered = isinstance(run.outcome, records.Answer)
        if first_s is None and answered:
            first_s = now_s  # a plain service answers in one piece
        per_token_s = None
        if answered and run.outcome.output_tokens > 1:
            gaps = run.outcome.output_tokens - 1
            per_token_s = (now_s - first_s) / gaps
        return burn.Timings(
            None if first_s is None else first_s - job.arrived_s,
            per_token_s,
            placed_s - job.arrived_s,
            self.role_change_s(job.pool, job.arrived_s, placed_s),
            max(0, run.number - 1),
            job.first_token_s,
            job.per_token_s,
        )

    def role_change_s(self, pool, since_s, until_s):
        """Return for how long a role change of the pool was under way.

        :param since_s: start of the time asked about, in monotonic seconds
        :param until_s: its end
        """
        running = [
            (began_s, until_s)
            for engine, began_s in self.began_s.items()
            if self.pool_of.get(engine) == pool
        ]
        return burn.covered_s(
            [*self.changes[pool], *running], since_s, until_s
        )


def outcome_word(outcome):
    """Return the word of :data:`magnoliadyke.metrics.OUTCOMES`.

    :param outcome: :class:`records.Answer` or a tagged outcome
    """
    match outcome:
        case records.Answer(status=status) if status >= STATUS_SERVER_ERROR:
            return 'failed'
        case records.Answer():
            return 'answered'
        case outcomes.NotRun(reason=reason):
            limited = reason in outcomes.LIMIT_REASONS
            return 'limited' if limited else 'not_run'
        case streams.ABANDONED:
            return 'cancelled'
        case outcomes.Unknown():
            return 'unknown'
        case outcomes.Rejected():
            return 'rejected'
