"""Scheduler of one node: takes events, returns dispatches and refusals."""

import dataclasses
import heapq
from typing import NamedTuple

from magnoliadyke.core import admission
from magnoliadyke.core import costs
from magnoliadyke.core import digestexchange
from magnoliadyke.core import digests
from magnoliadyke.core import health
from magnoliadyke.core import jobs
from magnoliadyke.core import learning
from magnoliadyke.core import limits
from magnoliadyke.core import outcomes
from magnoliadyke.core import pools
from magnoliadyke.core import prefixes
from magnoliadyke.core import quarantine
from magnoliadyke.core import retries
from magnoliadyke.core import routing
from magnoliadyke.core import runs
from magnoliadyke.core import suspects
from magnoliadyke.core import table

__all__ = [
    'Demand',
    'Digest',
    'Dispatch',
    'Refuse',
    'Scheduler',
    'SchedulerSettings',
]

# Re-exported for callers outside core.
Digest = digests.Digest
Demand = digestexchange.Demand

#: A dispatch round of a pool ends after this many customers without a
#: placeable job. Bounds the work of one event when many customers wait for
#: a full pool.
MAX_UNPLACED_JOBS = 6
#: Queued jobs of one customer that a dispatch round tries to place.
LOOKAHEAD_JOBS = 4
#: Interval, in seconds, at which this node's share of the streams that a
#: pool's engines may serve is recomputed.
CREDIT_SHARE_INTERVAL_S = 0.25
#: Prefill capacity of a decode engine, as a fraction of a prefill engine.
MIXED_PREFILL_CAPACITY = 0.2
#: Cached blocks that are tracked in total, divided between the engines.
ESTIMATED_BLOCKS = 60_000
#: Minimum number of cached blocks that are tracked for each engine.
MIN_CACHED_BLOCKS = 512
#: Minimum queue timeout of a suspect job, in seconds; other jobs overtake it.
MIN_SUSPECT_WAIT_S = 30.0
#: Health states by the state in a load report, where the names differ.
REPORTED_STATES = {'in': health.UP}
#: Health states by the state in an endpoint's table row; others: leaving.
TABLE_STATES = {'in': health.UP}


@dataclasses.dataclass(frozen=True, slots=True)
class Dispatch:
    """Action: send the job to its endpoints now.

    :param endpoint: decodes the job, or serves the call of a plain service
    :param prefill_endpoint: prefills the prompt first; None when
        ``endpoint`` does both
    :param is_only_job: whether this node runs no other job on the endpoint
        meanwhile
    :param prompt_s: predicted prefill time in seconds, 0 for a service
    """

    job_id: str
    endpoint: str
    prefill_endpoint: str | None = None
    is_only_job: bool = False
    prompt_s: float = dataclasses.field(default=0.0, compare=False)


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Action: answer the caller with the outcome; the job has ended."""

    job_id: str
    outcome: outcomes.Outcome


class SchedulerSettings(NamedTuple):
    """Constants of one scheduler.

    :param max_streams: maximum number of streams that an engine decodes in
        one step
    """

    max_streams: int = 64
    priors: costs.CostPriors = costs.DEFAULT_PRIORS
    admission_settings: admission.AdmissionSettings = (
        admission.DEFAULT_SETTINGS
    )
    limit_settings: limits.LimitSettings = limits.DEFAULT_SETTINGS
    routing_settings: routing.RoutingSettings = routing.DEFAULT_SETTINGS
    health_settings: health.HealthSettings = health.DEFAULT_SETTINGS
    quarantine_settings: quarantine.QuarantineSettings = (
        quarantine.DEFAULT_SETTINGS
    )


DEFAULT_SETTINGS = SchedulerSettings()
DEFAULT_ROW = table.CustomerRow()


class Scheduler:
    """Queues of one node and its estimates of each endpoint's state.

    Every method that takes an event returns a list of actions, empty for
    events that only update estimates. A submitted job ends in exactly one
    way: :meth:`record_result` receives :class:`jobs.Finished` or
    :class:`jobs.Cancelled` after a :class:`Dispatch`, the scheduler returns
    :class:`Refuse`, or :meth:`cancel` is called (no action for the job
    follows). After :class:`jobs.Failed` the scheduler either dispatches the
    job again, at once or later, or refuses it with the outcome for the
    caller.

    :param endpoints: iterable of :class:`jobs.EndpointInfo`
    :param rng: with ``random()``, ``randrange()`` and ``choice()``
    :param self_failure_domain: failure domain of this node
    """

    def __init__(
        self,
        endpoints,
        rng,
        settings=DEFAULT_SETTINGS,
        self_failure_domain='',
    ):
        self.settings = settings
        self.rng = rng
        self.epoch = rng.randrange(1 << 32)
        self.models = costs.CostModels(settings.priors, settings.max_streams)
        self.cache_estimate = prefixes.PrefixCacheEstimate()
        self.router = routing.Router(
            self.models,
            self.cache_estimate,
            rng,
            settings.routing_settings,
            self_failure_domain,
        )
        self.shares = limits.Shares(settings.limit_settings)
        self.limits = limits.Limits(self.shares, settings.limit_settings)
        self.quarantine = quarantine.Quarantine(settings.quarantine_settings)
        self.retries = retries.RetryBudgets()
        self.rows = {}
        self.runs = {}
        self.expiries = []
        self.pool_models = {}
        self._add_endpoints(list(endpoints))
        self.learner = learning.Learner(
            self.models, self.cache_estimate, self.router
        )
        self.suspects = suspects.SuspectQueue(self.quarantine)
        self.digest_exchange = digestexchange.DigestExchange(
            self.epoch, self.pools, self.limits, self.quarantine
        )

    def _add_endpoints(self, infos):
        by_pool = {}
        for info in infos:
            by_pool.setdefault((info.pool, info.kind), []).append(info)
        self.endpoints = {}
        self.pools = {}
        size = self.settings.routing_settings.subset_size
        for (name, kind), each in by_pool.items():
            members = [
                routing.Endpoint(info, self.settings.health_settings)
                for info in routing.select_subset(each, size, self.epoch)
            ]
            self.endpoints.update((one.name, one) for one in members)
            pool = routing.Pool(name, kind, members, len(each))
            self.pools[name] = pools.PoolQueue(
                pool, self.settings.admission_settings
            )
        used = sum(len(p.endpoints.members) for p in self.pools.values())
        blocks = ESTIMATED_BLOCKS // max(1, used)
        blocks = min(max(blocks, MIN_CACHED_BLOCKS), prefixes.MAX_BLOCKS)
        self.cache_estimate.max_blocks = blocks

    # Configuration, load reports and endpoint events

    def set_table(self, view, now_s):
        """Apply a new revision of the table of customers and endpoints."""
        self.rows = view.customers
        self.limits.set_rows(view.customers)
        for name, row in view.customers.items():
            for pool in self.pools.values():
                pool.queue.set_weight(name, row.weight)
                self.digest_exchange.register_name(name, pool.name)
        for name, endpoint in self.endpoints.items():
            row = view.endpoints.get(name)
            state = row.state if row is not None else 'in'
            state = TABLE_STATES.get(state, health.LEAVING)
            endpoint.health.table_state = state
        for pool in self.pools.values():
            pool.endpoints.rebuild_by_role()
        return self._dispatch_all(now_s)

    def set_node_count(self, count, now_s):
        """Set the number of live nodes, this one included."""
        self.shares.set_nodes(count, now_s)
        return []

    def handle_load_report(self, name, report, now_s):
        """Apply an engine's load report, unless a newer one was applied.

        :param report: :class:`jobs.LoadReport`, valid at ``report.at_s``
        """
        endpoint = self.endpoints.get(name)
        if endpoint is None or report.at_s < endpoint.reported_at_s:
            return []
        endpoint.reported_at_s = report.at_s
        endpoint.reported_streams = report.running
        state = REPORTED_STATES.get(report.state, report.state)
        was_out = endpoint.health.is_out()
        endpoint.health.record_report(state, report.at_s)
        if endpoint.health.is_out() != was_out:
            self.pools[endpoint.info.pool].endpoints.rebuild_by_role()
        load = endpoint.load
        load.streams.report(report.running, report.at_s)
        load.kv_tokens.report(report.kv_used_tokens, report.at_s)
        load.kv_capacity = report.kv_capacity_tokens
        model = self.models.cost_model(self._model_of(endpoint))
        prompts_s = model.prefill_s(
            report.role, report.queued_prompt_tokens, report.running
        )
        load.record_prefill_backlog(prompts_s, report.at_s, now_s)
        self._set_role(endpoint, report.role, now_s)
        return self._dispatch_all(now_s)

    def handle_cache_events(self, name, events, gap, now_s):
        """Apply an engine's prefix cache events.

        :param events: mappings with ``kind`` and ``blocks``
        :param gap: whether events before these did not arrive
        """
        if name not in self.endpoints:
            return []
        if gap:
            self.cache_estimate.record_event_gap(name)
        for event in events:
            if event['kind'] == 'stored':
                self.cache_estimate.record_stored(name, event['blocks'])
            else:
                self.cache_estimate.record_evicted(name, event['blocks'])
        return []

    def set_endpoint_state(self, name, state, now_s):
        """Record an observed change of an endpoint's state.

        :param state: 'up', 'leaving', 'left', 'crashed' or 'changing'
        """
        endpoint = self.endpoints.get(name)
        if endpoint is None:
            return []
        endpoint.health.record_observation(state, now_s)
        if state == health.CRASHED:
            self._record_crash(endpoint, now_s)
        if state in (health.CRASHED, health.LEFT):
            self.cache_estimate.record_cache_loss(name)
        self.pools[endpoint.info.pool].endpoints.rebuild_by_role()
        return self._dispatch_all(now_s)

    def set_endpoint_role(self, name, role, now_s):
        """Record that an engine has taken a role, 'prefill' or 'decode'."""
        endpoint = self.endpoints.get(name)
        if endpoint is None:
            return []
        self._set_role(endpoint, role, now_s)
        return self._dispatch_all(now_s)

    def record_migration(self, job_id, name, now_s):
        """Record that a stream's KV cache was migrated to another engine.

        :param name: engine that decodes the stream from now on
        """
        run = self.runs.get(job_id)
        endpoint = self.endpoints.get(name)
        if run is None or endpoint is None:
            return []
        run.leave_stream(now_s)
        run.join_stream(endpoint, now_s)
        run.start_stream(now_s)
        return self._dispatch_all(now_s)

    def _set_role(self, endpoint, role, now_s):
        if endpoint.info.kind != 'model' or role not in routing.ROLES:
            return
        if endpoint.role == role:
            return
        endpoint.role = role
        # A role change clears the engine's cache, and its streams were
        # migrated or ended before it.
        self.cache_estimate.record_cache_loss(endpoint.name)
        for job_id in list(endpoint.load.jobs):
            run = self.runs[job_id]
            if run.stream_at is endpoint and run.streaming:
                run.leave_stream(now_s)
        self.pools[endpoint.info.pool].endpoints.rebuild_by_role()

    def _model_of(self, endpoint):
        # Most pools serve one model. Further models have cost models of
        # their own, but load reports do not name the models of queued
        # prompts, so the pool's first one is assumed for them.
        return self.pool_models.get(endpoint.info.pool, endpoint.info.pool)

    # Job events

    def submit(self, job, now_s):
        """Admit a job: dispatch it, queue it, or refuse it at once."""
        refusal = self._early_refusal(job, now_s)
        if refusal is not None:
            return [Refuse(job.id, refusal)]
        row = self.rows.get(job.customer, DEFAULT_ROW)
        self.retries.deposit(job.customer, row.retry_share)
        run = self._new_run(job, row)
        pool = self.pools[job.pool]
        excess_s = self._excess_wait_s(run, pool, now_s)
        if excess_s <= 0:
            # Checked last: a job refused for another reason must not
            # consume the customer's rate limit.
            tokens = run.admitted_tokens
            exceeded = self.limits.admit(job.customer, tokens, now_s)
            if exceeded is not None:
                return [Refuse(job.id, admission.limit_exceeded(exceeded))]
        pool.record_prompt_priority(job.priority, run.prefill_s)
        pool.record_arrival(run, now_s)
        if excess_s > 0:
            return [
                self._overloaded(job, pool, excess_s),
                *self._dispatch_all(now_s),
            ]
        self.runs[job.id] = run
        self._enqueue(run, pool, now_s)
        actions = self._dispatch_all(now_s)
        if run.dispatched_s is None and job.id in self.runs:
            waiting = pool.waiting_count(job.customer)
            if waiting > row.queue_limit:
                self._forget(run, now_s)
                wait_s = self._predicted_wait_s(run, pool)
                outcome = admission.queue_full(wait_s, self.rng)
                actions.append(Refuse(job.id, outcome))
        return actions

    def cancel(self, job_id, now_s):
        """End a job whose caller disconnected or that the node dropped."""
        run = self.runs.get(job_id)
        if run is None:
            return []
        self._forget(run, now_s)
        self._refund_unused(run)
        return self._dispatch_all(now_s)

    def record_prefill_done(self, job_id, now_s):
        """Record that the job's prefill is complete."""
        run = self.runs.get(job_id)
        if run is None or run.prefill_done_s is not None:
            return []
        self._end_prefill(run, now_s)
        return self._dispatch_all(now_s)

    def record_first_token(self, job_id, now_s):
        """Record that the job's first output token has arrived."""
        run = self.runs.get(job_id)
        if run is None or run.first_token_s is not None:
            return []
        was_prefilled = run.prefill_done_s is not None
        if not was_prefilled:
            self._end_prefill(run, now_s)
        run.first_token_s = now_s
        run.tokens = max(run.tokens, 1)
        self.learner.record_first_token(run, was_prefilled, now_s)
        if run.timing.strict:
            pool = self.pools[run.job.pool]
            pool.lateness.add(now_s - run.expected_s)
        if run.stream_at is not None:
            run.streams_at_first = run.stream_at.load.streams.total()
        return [] if was_prefilled else self._dispatch_all(now_s)

    def record_progress(self, job_id, tokens, now_s):
        """Record how many output tokens the job has produced so far."""
        run = self.runs.get(job_id)
        if run is not None:
            run.tokens = max(run.tokens, tokens)
        return []

    def record_result(self, job_id, result, now_s):
        """Record how a dispatched attempt ended.

        :param result: :class:`jobs.Finished`, :class:`jobs.Failed` or
            :class:`jobs.Cancelled`
        """
        run = self.runs.get(job_id)
        if run is None or run.dispatched_s is None:
            return []
        match result:
            case jobs.Finished():
                self._complete(run, result, now_s)
                actions = []
            case jobs.Failed():
                actions = self._handle_failure(run, result, now_s)
            case jobs.Cancelled():
                self._forget(run, now_s)
                self._refund_unused(run)
                actions = []
        return actions + self._dispatch_all(now_s)

    def tick(self, now_s):
        """Refuse expired jobs and try to dispatch queued ones."""
        self.shares.tick(now_s)
        self.quarantine.tick(now_s)
        actions = self._dispatch_all(now_s)
        for pool in self.pools.values():
            actions += self._try_suspects(pool, now_s)
        return actions

    def _early_refusal(self, job, now_s):
        """Outcome of a job that is refused before queueing, or None."""
        pool = self.pools.get(job.pool)
        if pool is None:
            return outcomes.Rejected(
                'unknown_pool', 'ask for a pool that the settings name', 404
            )
        if pool.endpoints.kind != job.kind:
            return outcomes.Rejected(
                'wrong_kind', f'send it to a pool of kind {job.kind}'
            )
        fingerprint = quarantine.fingerprint_of(job.fingerprint)
        verdict = self.quarantine.verdict(fingerprint, now_s)
        if verdict == quarantine.CONVICTED:
            self.quarantine.extend_retention(fingerprint, now_s)
            return _crash_rejection()
        if not pool.endpoints.available_count():
            return admission.no_endpoint(admission.MAX_RETRY_S / 10, self.rng)
        return None

    def _new_run(self, job, row):
        model = self.models.job_cost_model(job)
        if job.kind == 'model':
            self.pool_models.setdefault(job.pool, job.model or job.pool)
        uncached = job.prompt_tokens * model.uncached.ratio
        service_s = self.router.idle_service_s(job)
        timing = admission.timing(
            job, service_s, row.queue_wait_s, self.settings.admission_settings
        )
        return runs.Run(job, timing, model.job_cost(job, uncached))

    def _excess_wait_s(self, run, pool, now_s):
        """Seconds by which the predicted wait exceeds the allowed one.

        Above 0 the job is refused on arrival.
        """
        if not pool.waiting.get(run.job.customer):
            return 0.0
        wait_s = self._predicted_wait_s(run, pool)
        allowed_s = max(0.0, run.timing.latest_start_s - now_s)
        allowed_s *= self.settings.admission_settings.early_factor
        return wait_s - allowed_s

    def _predicted_wait_s(self, run, pool):
        job = run.job
        prefill_s, decode_s = pool.waiting_ahead(job.customer, job.priority)
        share = pool.queue.share(job.customer)
        capacity = self._capacity(pool)
        return admission.predicted_wait_s(prefill_s, decode_s, capacity, share)

    def _capacity(self, pool):
        by_role = pool.endpoints.by_role
        decode = len(by_role[routing.DECODE])
        prefill = len(by_role[routing.PREFILL])
        services = (
            len(by_role['']) * self.settings.routing_settings.service_slots
        )
        credit_share = pool.credit_share
        return admission.Capacity(
            (prefill + MIXED_PREFILL_CAPACITY * decode) * credit_share,
            (decode + services) * credit_share,
        )

    def _enqueue(self, run, pool, now_s):
        """Queue a job: by fair share, or for a trial if it is a suspect."""
        if self.suspects.verdict(run, now_s) == quarantine.SUSPECT:
            row = self.rows.get(run.job.customer, DEFAULT_ROW)
            until_s = now_s + max(row.queue_wait_s, MIN_SUSPECT_WAIT_S)
            run.timing = admission.Timing(until_s, until_s)
            self.suspects.add(run, pool, now_s)
        else:
            key = (run.job.priority, run.timing.deadline_s)
            pool.queue.push(run.job.id, run.job.customer, key)
            pool.update_waiting(run, 1)
            usage = self.limits.usage(run.job.customer, now_s)
            usage.waiting += 1
        item = (run.timing.latest_start_s, run.job.id)
        heapq.heappush(self.expiries, item)

    def _dequeue(self, run):
        pool = self.pools[run.job.pool]
        if pool.queue.remove(run.job.id):
            pool.update_waiting(run, -1)
            self.limits.usage(run.job.customer).waiting -= 1
        elif run in pool.suspects:
            pool.suspects.remove(run)

    def _forget(self, run, now_s):
        """Remove an ended job from its queue, its endpoints and the node."""
        self._dequeue(run)
        self._release(run, now_s)
        self.runs.pop(run.job.id, None)

    # Placement

    def _dispatch_all(self, now_s):
        actions = self._refuse_expired(now_s)
        for pool in self.pools.values():
            if len(pool.queue):
                self._dispatch_pool(pool, now_s, actions)
        return actions

    def _dispatch_pool(self, pool, now_s, actions):
        """Dispatch queued jobs of a pool by fair share until none fits."""
        credit_share = self._credit_share(pool, now_s)
        unplaced = 0
        progress = True
        while progress:
            progress = False
            first = True
            for customer in pool.queue.customers_by_counter():
                if not self.limits.may_start(customer, now_s):
                    continue
                context = routing.PlacementContext(
                    credit_share,
                    backlog_s=self._prefill_backlog_s(pool),
                    first=first,
                )
                first = False
                action = self._dispatch_next(pool, customer, context, now_s)
                if action is not None:
                    actions.append(action)
                    progress = True
                    break
                unplaced += 1
                if unplaced >= MAX_UNPLACED_JOBS:
                    return

    def _prefill_backlog_s(self, pool):
        """Seconds that the prefill engines need for all queued prompts."""
        engines = len(pool.endpoints.by_role[routing.PREFILL])
        return pool.backlog()[1] / max(1, engines)

    def _dispatch_next(self, pool, customer, context, now_s):
        """Dispatch or refuse one of the customer's next jobs.

        :returns: the action, or None if none of them can be placed now
        """
        head = pool.queue.next_job(customer)
        action = self._try_place(self.runs[head], pool, context, now_s)
        if action is not None:
            return action
        for job_id in pool.queue.next_jobs(customer, LOOKAHEAD_JOBS)[1:]:
            action = self._try_place(self.runs[job_id], pool, context, now_s)
            if action is not None:
                return action
        return None

    def _try_place(self, run, pool, context, now_s):
        """Dispatch a queued job, or refuse it if it is predicted late.

        :returns: the action, or None if no endpoint has capacity now
        """
        spare_s = run.timing.deadline_s - now_s
        share = pool.priority_share(run.job.priority)
        context = context._replace(
            spare_s=spare_s, peers_share=share, avoid=run.avoid
        )
        placement = self.router.place(run.job, pool.endpoints, context, now_s)
        if placement is None:
            return None
        expected_s = placement.first_token_s + pool.lateness.value
        if run.timing.strict and expected_s > spare_s:
            return self._refuse_late(run, now_s)
        self._dequeue(run)
        return self._dispatch(run, pool, placement, now_s)

    def _dispatch(self, run, pool, placement, now_s, is_only_job=False):
        job = run.job
        run.reset_attempt()
        run.attempts += 1
        run.dispatched_s = now_s
        run.prefill_endpoint = placement.prefill
        run.estimated_cached_tokens = placement.cached_tokens
        run.expected_s = now_s + placement.first_token_s
        pool.running += 1
        pool.refusals.add(job.customer, False)
        self.limits.usage(job.customer, now_s).running += 1
        run.charged_s = run.cost_s()
        pool.queue.charge(job.customer, run.charged_s)
        run.join_stream(placement.endpoint, now_s)
        if job.kind == 'model':
            prefill_engine = placement.prefill
            run.join_prompt(prefill_engine, placement.prompt_s, now_s)
            self.cache_estimate.record_sent(
                prefill_engine.name, job.prefix_blocks
            )
        split = job.kind == 'model' and not placement.mixed()
        return Dispatch(
            job.id,
            placement.endpoint.name,
            placement.prefill.name if split else None,
            is_only_job,
            placement.prompt_s if job.kind == 'model' else 0.0,
        )

    def _credit_share(self, pool, now_s):
        """Return this node's share of the streams of a pool's engines."""
        if self.shares.nodes == 1:
            pool.credit_share = 1.0
        elif now_s >= pool.credit_share_due_s:
            # Cached: the share sums the demand of all peers, too much work
            # for each placement.
            pool.credit_share_due_s = now_s + CREDIT_SHARE_INTERVAL_S
            demand = pool.demand_s(now_s)
            key = ('pool', pool.name_checksum)
            part = self.shares.fraction(key, demand, now_s)
            members = pool.endpoints
            part *= members.total / len(members.members)
            pool.credit_share = min(1.0, part)
        return pool.credit_share

    def _refuse_expired(self, now_s):
        """Refuse queued jobs whose latest start has passed."""
        actions = []
        while self.expiries and self.expiries[0][0] < now_s:
            latest_s, job_id = heapq.heappop(self.expiries)
            run = self.runs.get(job_id)
            if run is None or run.timing.latest_start_s != latest_s:
                continue
            if run.dispatched_s is not None:
                continue
            actions.append(self._refuse_late(run, now_s))
        return actions

    def _refuse_late(self, run, now_s):
        pool = self.pools[run.job.pool]
        self._forget(run, now_s)
        if run.ran:
            return Refuse(run.job.id, _unknown_outcome('not_run_again'))
        self.limits.correct_tokens(run.job.customer, -run.admitted_tokens)
        wait_s = self._predicted_wait_s(run, pool)
        return self._overloaded(run.job, pool, wait_s)

    def _overloaded(self, job, pool, excess_s):
        pool.refusals.add(job.customer, True)
        attempts = pool.refusals.attempts(job.customer)
        outcome = admission.overloaded(excess_s, self.rng, attempts)
        return Refuse(job.id, outcome)

    # End of jobs and attempts

    def _release(self, run, now_s):
        """Release what the job holds on its endpoints."""
        run.leave_prompt(now_s)
        run.leave_stream(now_s)
        if run.dispatched_s is not None:
            run.dispatched_s = None
            self.pools[run.job.pool].running -= 1
            self.limits.usage(run.job.customer).running -= 1

    def _refund_unused(self, run):
        """Refund the charged engine-seconds that an attempt did not use."""
        if run.charged_s:
            self._correct_charge(run, run.used_s())

    def _correct_charge(self, run, used_s):
        """Replace the predicted charge by the engine-seconds used."""
        queue = self.pools[run.job.pool].queue
        queue.charge(run.job.customer, used_s - run.charged_s)
        run.charged_s = used_s

    def _end_prefill(self, run, now_s):
        endpoint = run.prompt_at
        run.prefill_done_s = now_s
        if endpoint is not None:
            self.learner.record_prefill_done(run, endpoint, now_s)
            endpoint.health.record_success()
            run.leave_prompt(now_s)
        run.start_stream(now_s)

    def _complete(self, run, result, now_s):
        """End a job whose complete answer has arrived."""
        self.quarantine.record_success(run.fingerprint, now_s)
        self._correct_charge(
            run, self.learner.record_finish(run, result, now_s)
        )
        tokens = result.prompt_tokens + result.output_tokens
        if run.job.kind == 'model':
            self.limits.correct_tokens(
                run.job.customer, tokens - run.admitted_tokens
            )
        self._forget(run, now_s)

    # Failures

    def _handle_failure(self, run, failed, now_s):
        """Requeue or refuse a job whose attempt failed."""
        endpoint = self.endpoints.get(failed.endpoint)
        if endpoint is not None:
            self._record_endpoint_failure(run, endpoint, failed, now_s)
        run.ran = run.ran or failed.ran
        # An engine that begins a role change or leaves rejects its work at
        # once and looks idle: all retries would go there within a moment.
        run.avoid |= {failed.endpoint}
        self._release(run, now_s)
        self._refund_unused(run)
        verdict = quarantine.CLEAR
        if failed.crashed:
            verdict = self.suspects.verdict(run, now_s)
        if verdict == quarantine.CONVICTED:
            return self._refuse(run, _crash_rejection(), now_s)
        may_repeat = run.job.repeatable or not run.ran
        if failed.retryable and may_repeat:
            if self._can_retry(run, endpoint, failed):
                self._requeue(run, now_s)
                return []
        outcome = (
            _unknown_outcome('endpoint_failed')
            if run.ran
            else _not_run_outcome()
        )
        return self._refuse(run, outcome, now_s)

    def _record_endpoint_failure(self, run, endpoint, failed, now_s):
        if failed.crashed:
            self._record_crash(endpoint, now_s)
            # The failure shows that the job had reached the endpoint, even
            # if the end of its prefill was not recorded.
            self.suspects.record_blame(run, endpoint, now_s)
            endpoint.health.eject(now_s)
            self.cache_estimate.record_cache_loss(endpoint.name)
            return
        if endpoint.health.record_failure() and not endpoint.health.is_out():
            members = self.pools[endpoint.info.pool].endpoints.members
            states = [each.health for each in members]
            if health.can_eject(states, now_s, self.settings.health_settings):
                endpoint.health.eject(now_s)

    def _record_crash(self, endpoint, now_s):
        runs = [self.runs[job_id] for job_id in endpoint.load.jobs]
        self.suspects.record_engine_crash(endpoint, runs, now_s)

    def _can_retry(self, run, endpoint, failed):
        if run.attempts >= retries.MAX_ATTEMPTS:
            return False
        if failed.crashed:
            # Jobs that shared the crashed engine's batch retry without
            # using the retry budget: crashes are too rare, and quarantine
            # too strict, for these retries to multiply load.
            return True
        planned = endpoint is not None and endpoint.health.is_out()
        if planned and not failed.ran:
            # The endpoint left while the request was in transit, which does
            # not count as a failure.
            return True
        return self.retries.withdraw(run.job.customer, run.attempts)

    def _requeue(self, run, now_s):
        """Queue a job for another attempt.

        A job that may have run, or whose latest start has passed, gets the
        full queue timeout of its customer again.
        """
        row = self.rows.get(run.job.customer, DEFAULT_ROW)
        until_s = now_s + row.queue_wait_s
        if run.tokens or run.ran or run.timing.latest_start_s < now_s:
            run.timing = admission.Timing(until_s, until_s)
        self._enqueue(run, self.pools[run.job.pool], now_s)

    def _refuse(self, run, outcome, now_s):
        self._forget(run, now_s)
        return [Refuse(run.job.id, outcome)]

    def _try_suspects(self, pool, now_s):
        """Dispatch the next suspect job to the pool's trial endpoint.

        Suspects that have been judged meanwhile are refused or queued.
        """
        actions = []
        for run, verdict in self.suspects.pop_decided(pool, now_s):
            if verdict == quarantine.CONVICTED:
                actions += self._refuse(run, _crash_rejection(), now_s)
            else:
                self._enqueue(run, pool, now_s)
        run = self.suspects.next_suspect(pool, self.runs, now_s)
        if run is None:
            return actions
        spare_s = run.timing.latest_start_s - now_s
        context = routing.PlacementContext(
            self._credit_share(pool, now_s), spare_s
        )
        placement = self.router.place(
            run.job, pool.endpoints, context, now_s, only_endpoint=pool.trial
        )
        if placement is None:
            return actions
        is_only_job = not pool.trial.load.jobs
        self.suspects.record_trial_start(run, pool, now_s)
        action = self._dispatch(run, pool, placement, now_s, is_only_job)
        return [*actions, action]

    # Peers

    def digest(self, now_s):
        """Return the gossip digest of this node's state, for all peers."""
        return self.digest_exchange.digest(self.runs.values(), now_s)

    def merge_peer_digest(self, host, digest, now_s):
        """Merge a peer's gossip digest."""
        self.digest_exchange.receive_digest(host, digest, now_s)
        return []

    def record_peer_prompt(self, name, read_s, now_s):
        """Record a prompt that another node has just sent to an engine.

        :param name: the engine
        :param read_s: predicted prefill time in seconds
        """
        endpoint = self.endpoints.get(name)
        if endpoint is not None:
            endpoint.load.peers.record_peer_prompt(read_s, now_s)

    def demand(self, pool_name, now_s):
        """Return the pool's demand, summed over nodes with fresh digests."""
        return self.digest_exchange.demand(pool_name, now_s)

    def subset_names(self, pool_name):
        """Names of the pool's endpoints that this node uses.

        The node needs load reports and cache events of these only.
        """
        members = self.pools[pool_name].endpoints.members
        return [endpoint.name for endpoint in members]

    def in_flight(self, endpoint_name):
        """Number of this node's jobs on an endpoint."""
        endpoint = self.endpoints.get(endpoint_name)
        return len(endpoint.load.jobs) if endpoint is not None else 0


def _crash_rejection():
    return outcomes.Rejected(
        'crashes_endpoints',
        'this very request crashed two endpoints; change it before you '
        'send it again',
        422,
    )


def _unknown_outcome(reason):
    return outcomes.Unknown(
        reason, 'look whether it took effect before you send it again'
    )


def _not_run_outcome():
    return outcomes.NotRun(
        'endpoint_failed', 'send it again after retry_after_s'
    )
