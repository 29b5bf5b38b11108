"""Decide what runs where and when: events in, typed actions out.

Every input method returns a list of actions. A job that was submitted ends
in exactly one way: its user reports :class:`jobs.Finished` or
:class:`jobs.Cancelled` after a :class:`Dispatch`, the scheduler answers
:class:`Refuse`, or the user calls :meth:`Scheduler.cancel` (no action
follows). After :class:`jobs.Failed` the scheduler decides: it dispatches the
job again, at once or later, or it refuses it with the outcome to tell the
caller.
"""

import dataclasses
import heapq
from typing import NamedTuple

from magnoliadyke.core import admission
from magnoliadyke.core import costs
from magnoliadyke.core import digests
from magnoliadyke.core import exchange
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

# The names under which the shell knows these.
Digest = digests.Digest
Demand = exchange.Demand

#: Jobs that can't be placed before a round gives up. Bounds the work of one
#: event when many customers wait for a full pool.
MOST_MISSES = 6
#: Jobs of one customer that are tried when its first has no place.
LOOK_AHEAD = 4
#: How long a node's part of the credits is taken as it was.
FRACTION_S = 0.25
#: Prefill that a decode engine does beside its streams, in engines.
MIXED_CAPACITY = 0.2
BELIEVED_BLOCKS = 60_000
LEAST_BELIEVED = 512
#: Least patience of a suspect: others go before it.
SUSPECT_WAIT_S = 30.0
REPORTED_STATES = {'in': health.UP}
TABLE_STATES = {'in': health.UP}


@dataclasses.dataclass(frozen=True, slots=True)
class Dispatch:
    """Send the job now.

    :param endpoint: decodes the job, or serves the call of a plain service
    :param prefill_endpoint: runs the prompt first; None when ``endpoint``
        does both
    :param alone: no other job of this node runs on the endpoint meanwhile
        :param prompt_s: predicted time to read the prompt, 0 for a service
    """

    job_id: str
    endpoint: str
    prefill_endpoint: str | None = None
    alone: bool = False
    prompt_s: float = dataclasses.field(default=0.0, compare=False)


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Tell the caller this outcome; the job is forgotten."""

    job_id: str
    outcome: outcomes.Outcome


class SchedulerSettings(NamedTuple):
    """Constants of one scheduler.

    :param max_streams: streams that an engine decodes in one step
    """

    max_streams: int = 64
    priors: costs.CostPriors = costs.DEFAULT_PRIORS
    patience: admission.AdmissionSettings = admission.DEFAULT_SETTINGS
    sharing: limits.LimitSettings = limits.DEFAULT_SETTINGS
    routes: routing.RoutingSettings = routing.DEFAULT_SETTINGS
    ejection: health.HealthSettings = health.DEFAULT_SETTINGS
    suspicion: quarantine.QuarantineSettings = quarantine.DEFAULT_SETTINGS


DEFAULT_SETTINGS = SchedulerSettings()
DEFAULT_ROW = table.CustomerRow()


class Scheduler:
    """Owns the queues of one node and what it believes of each endpoint.

    :param endpoints: iterable of :class:`jobs.EndpointInfo`
    :param rng: with ``random()``, ``randrange()`` and ``choice()``
    :param self_failure_domain: of this node
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
        self.beliefs = prefixes.PrefixBeliefs()
        self.router = routing.Router(
            self.models,
            self.beliefs,
            rng,
            settings.routes,
            self_failure_domain,
        )
        self.shares = limits.Shares(settings.sharing)
        self.limits = limits.Limits(self.shares, settings.sharing)
        self.quarantine = quarantine.Quarantine(settings.suspicion)
        self.retries = retries.RetryBudgets()
        self.rows = {}
        self.runs = {}
        self.expiries = []
        self.pool_models = {}
        self._add_endpoints(list(endpoints))
        self.learner = learning.Learner(self.models, self.beliefs, self.router)
        self.suspects = suspects.SuspectQueue(self.quarantine)
        self.exchange = exchange.Exchange(
            self.epoch, self.pools, self.limits, self.quarantine
        )

    def _add_endpoints(self, infos):
        by_pool = {}
        for info in infos:
            by_pool.setdefault((info.pool, info.kind), []).append(info)
        self.endpoints = {}
        self.pools = {}
        size = self.settings.routes.subset
        for (name, kind), each in by_pool.items():
            members = [
                routing.Endpoint(info, self.settings.ejection)
                for info in routing.subset(each, size, self.epoch)
            ]
            self.endpoints.update((one.name, one) for one in members)
            pool = routing.Pool(name, kind, members, len(each))
            self.pools[name] = pools.PoolQueue(pool, self.settings.patience)
        used = sum(len(p.endpoints.members) for p in self.pools.values())
        blocks = BELIEVED_BLOCKS // max(1, used)
        blocks = min(max(blocks, LEAST_BELIEVED), prefixes.MOST_BLOCKS)
        self.beliefs.most_blocks = blocks

    # What the node learns

    def set_table(self, view, now_s):
        """A new revision of the table is in force."""
        self.rows = view.customers
        self.limits.set_rows(view.customers)
        for name, row in view.customers.items():
            for pool in self.pools.values():
                pool.queue.set_weight(name, row.weight)
                self.exchange.know(name, pool.name)
        for name, endpoint in self.endpoints.items():
            row = view.endpoints.get(name)
            state = row.state if row is not None else 'in'
            state = TABLE_STATES.get(state, health.LEAVING)
            endpoint.health.tabled = state
        for pool in self.pools.values():
            pool.endpoints.sort()
        return self._drain_all(now_s)

    def set_peers(self, count, now_s):
        """So many nodes are live, this one included."""
        self.shares.set_nodes(count, now_s)
        return []

    def load_report(self, name, report, now_s):
        """An engine's load, true at ``report.at_s`` and maybe lagging."""
        endpoint = self.endpoints.get(name)
        if endpoint is None or report.at_s < endpoint.reported_at_s:
            return []
        endpoint.reported_at_s = report.at_s
        endpoint.reported_streams = report.running
        state = REPORTED_STATES.get(report.state, report.state)
        was_out = endpoint.health.is_out()
        endpoint.health.report(state, report.at_s)
        if endpoint.health.is_out() != was_out:
            self.pools[endpoint.info.pool].endpoints.sort()
        load = endpoint.load
        load.streams.report(report.running, report.at_s)
        load.kv_tokens.report(report.kv_used_tokens, report.at_s)
        load.kv_capacity = report.kv_capacity_tokens
        model = self.models.of(self._model_of(endpoint))
        prompts_s = model.prefill_s(
            report.role, report.queued_prompt_tokens, report.running
        )
        load.report_prompts(prompts_s, report.at_s, now_s)
        self._set_role(endpoint, report.role, now_s)
        return self._drain_all(now_s)

    def cache_events(self, name, events, gap, now_s):
        """An engine's cache events: mappings with ``kind`` and ``blocks``."""
        if name not in self.endpoints:
            return []
        if gap:
            self.beliefs.gap(name)
        for event in events:
            if event['kind'] == 'stored':
                self.beliefs.stored(name, event['blocks'])
            else:
                self.beliefs.evicted(name, event['blocks'])
        return []

    def endpoint_state(self, name, state, now_s):
        """'up', 'leaving', 'left', 'crashed' or 'changing'."""
        endpoint = self.endpoints.get(name)
        if endpoint is None:
            return []
        endpoint.health.observe(state, now_s)
        if state == health.CRASHED:
            self._crashed(endpoint, now_s)
        if state in (health.CRASHED, health.LEFT):
            self.beliefs.wiped(name)
        self.pools[endpoint.info.pool].endpoints.sort()
        return self._drain_all(now_s)

    def endpoint_role(self, name, role, now_s):
        """An engine works in this role now."""
        endpoint = self.endpoints.get(name)
        if endpoint is None:
            return []
        self._set_role(endpoint, role, now_s)
        return self._drain_all(now_s)

    def moved(self, job_id, name, now_s):
        """A stream was moved to another engine, by its KV cache."""
        run = self.runs.get(job_id)
        endpoint = self.endpoints.get(name)
        if run is None or endpoint is None:
            return []
        run.leave_stream(now_s)
        run.join_stream(endpoint, now_s)
        run.begin_stream(now_s)
        return self._drain_all(now_s)

    def _set_role(self, endpoint, role, now_s):
        if endpoint.info.kind != 'model' or role not in routing.ROLES:
            return
        if endpoint.role == role:
            return
        endpoint.role = role
        # The engine lost its cache, and its streams went elsewhere before.
        self.beliefs.wiped(endpoint.name)
        for job_id in list(endpoint.load.jobs):
            run = self.runs[job_id]
            if run.stream_at is endpoint and run.streaming:
                run.leave_stream(now_s)
        self.pools[endpoint.info.pool].endpoints.sort()

    def _model_of(self, endpoint):
        # One model a pool is the rule; costs of further ones are fitted
        # apart, and only this guess about others' prompts uses the first.
        return self.pool_models.get(endpoint.info.pool, endpoint.info.pool)

    # A job's life

    def submit(self, job, now_s):
        """Queue a job, dispatch it, or refuse it at once."""
        refusal = self._refusal(job, now_s)
        if refusal is not None:
            return [Refuse(job.id, refusal)]
        row = self.rows.get(job.customer, DEFAULT_ROW)
        self.retries.deposit(job.customer, row.retry_share)
        run = self._new_run(job, row)
        pool = self.pools[job.pool]
        excess_s = self._excess_s(run, pool, now_s)
        if excess_s <= 0:
            # Last, as what is refused otherwise must not use up the limit.
            tokens = run.admitted_tokens
            exceeded = self.limits.admit(job.customer, tokens, now_s)
            if exceeded is not None:
                return [Refuse(job.id, admission.limit_exceeded(exceeded))]
        pool.note_mix(job.priority, run.prefill_s)
        pool.arrived(run, now_s)
        if excess_s > 0:
            return [
                self._overloaded(job, pool, excess_s),
                *self._drain_all(now_s),
            ]
        self.runs[job.id] = run
        self._queue(run, pool, now_s)
        actions = self._drain_all(now_s)
        if run.dispatched_s is None and job.id in self.runs:
            waiting = pool.waiting_count(job.customer)
            if waiting > row.queue_limit:
                self._forget(run, now_s)
                wait_s = self._wait_s(run, pool)
                outcome = admission.queue_full(wait_s, self.rng)
                actions.append(Refuse(job.id, outcome))
        return actions

    def cancel(self, job_id, now_s):
        """The caller went away, or the node gave the job up."""
        run = self.runs.get(job_id)
        if run is None:
            return []
        self._forget(run, now_s)
        self._give_back(run)
        return self._drain_all(now_s)

    def dispatched_prefill_done(self, job_id, now_s):
        """The prompt has been read."""
        run = self.runs.get(job_id)
        if run is None or run.prefill_done_s is not None:
            return []
        self._prompt_done(run, now_s)
        return self._drain_all(now_s)

    def first_token(self, job_id, now_s):
        """The first output token has come."""
        run = self.runs.get(job_id)
        if run is None or run.first_token_s is not None:
            return []
        was_read = run.prefill_done_s is not None
        if not was_read:
            self._prompt_done(run, now_s)
        run.first_token_s = now_s
        run.tokens = max(run.tokens, 1)
        self.learner.first_token(run, was_read, now_s)
        if run.timing.strict:
            pool = self.pools[run.job.pool]
            pool.lateness.add(now_s - run.expected_s)
        if run.stream_at is not None:
            run.streams_at_first = run.stream_at.load.streams.total()
        return [] if was_read else self._drain_all(now_s)

    def progress(self, job_id, tokens, now_s):
        """So many output tokens have come."""
        run = self.runs.get(job_id)
        if run is not None:
            run.tokens = max(run.tokens, tokens)
        return []

    def finished(self, job_id, result, now_s):
        """The attempt has ended."""
        run = self.runs.get(job_id)
        if run is None or run.dispatched_s is None:
            return []
        match result:
            case jobs.Finished():
                self._whole(run, result, now_s)
                actions = []
            case jobs.Failed():
                actions = self._failed(run, result, now_s)
            case jobs.Cancelled():
                self._forget(run, now_s)
                self._give_back(run)
                actions = []
        return actions + self._drain_all(now_s)

    def tick(self, now_s):
        """Time has passed: give up what is too late, try what waits."""
        self.shares.tick(now_s)
        self.quarantine.tick(now_s)
        actions = self._drain_all(now_s)
        for pool in self.pools.values():
            actions += self._try_suspects(pool, now_s)
        return actions

    def _refusal(self, job, now_s):
        """Why a new job can't be taken, or None."""
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
            self.quarantine.record_sighting(fingerprint, now_s)
            return _convicted()
        if not pool.endpoints.present():
            return admission.no_endpoint(admission.MOST_RETRY_S / 10, self.rng)
        return None

    def _new_run(self, job, row):
        model = self.models.of_job(job)
        if job.kind == 'model':
            self.pool_models.setdefault(job.pool, job.model or job.pool)
        uncached = job.prompt_tokens * model.uncached.ratio
        service_s = self.router.idle_service_s(job)
        timing = admission.timing(
            job, service_s, row.queue_wait_s, self.settings.patience
        )
        return runs.Run(job, timing, model.job_cost(job, uncached))

    def _excess_s(self, run, pool, now_s):
        """How far the predicted wait exceeds what the job can bear."""
        if not pool.waiting.get(run.job.customer):
            return 0.0
        wait_s = self._wait_s(run, pool)
        bearable_s = max(0.0, run.timing.latest_start_s - now_s)
        bearable_s *= self.settings.patience.early_factor
        return wait_s - bearable_s

    def _wait_s(self, run, pool):
        job = run.job
        prefill_s, decode_s = pool.ahead(job.customer, job.priority)
        share = pool.queue.share(job.customer)
        capacity = self._capacity(pool)
        return admission.predicted_wait_s(prefill_s, decode_s, capacity, share)

    def _capacity(self, pool):
        by_role = pool.endpoints.by_role
        decode = len(by_role[routing.DECODE])
        prefill = len(by_role[routing.PREFILL])
        services = len(by_role['']) * self.settings.routes.service_slots
        fraction = pool.fraction
        return admission.Capacity(
            (prefill + MIXED_CAPACITY * decode) * fraction,
            (decode + services) * fraction,
        )

    def _queue(self, run, pool, now_s):
        """Put a job in line, or among the suspects."""
        if self.suspects.verdict(run, now_s) == quarantine.SUSPECT:
            row = self.rows.get(run.job.customer, DEFAULT_ROW)
            until_s = now_s + max(row.queue_wait_s, SUSPECT_WAIT_S)
            run.timing = admission.Timing(until_s, until_s)
            self.suspects.add(run, pool, now_s)
        else:
            key = (run.job.priority, run.timing.deadline_s)
            pool.queue.push(run.job.id, run.job.customer, key)
            pool.count(run, 1)
            usage = self.limits.usage(run.job.customer, now_s)
            usage.waiting += 1
        item = (run.timing.latest_start_s, run.job.id)
        heapq.heappush(self.expiries, item)

    def _unqueue(self, run):
        pool = self.pools[run.job.pool]
        if pool.queue.remove(run.job.id):
            pool.count(run, -1)
            self.limits.usage(run.job.customer).waiting -= 1
        elif run in pool.suspects:
            pool.suspects.remove(run)

    def _forget(self, run, now_s):
        """The job has ended, whatever way."""
        self._unqueue(run)
        self._release(run, now_s)
        self.runs.pop(run.job.id, None)

    # Placing

    def _drain_all(self, now_s):
        actions = self._expire(now_s)
        for pool in self.pools.values():
            if len(pool.queue):
                self._drain(pool, now_s, actions)
        return actions

    def _drain(self, pool, now_s, actions):
        """Dispatch as much as has a place, in fair order."""
        fraction = self._fraction(pool, now_s)
        misses = 0
        progress = True
        while progress:
            progress = False
            first = True
            for customer in pool.queue.order():
                if not self.limits.may_start(customer, now_s):
                    continue
                terms = routing.Terms(
                    fraction,
                    ahead_s=self._prompts_ahead_s(pool),
                    first=first,
                )
                first = False
                action = self._next(pool, customer, terms, now_s)
                if action is not None:
                    actions.append(action)
                    progress = True
                    break
                misses += 1
                if misses >= MOST_MISSES:
                    return

    def _prompts_ahead_s(self, pool):
        """Seconds in which the engines read the prompts that wait."""
        engines = len(pool.endpoints.by_role[routing.PREFILL])
        return pool.backlog()[1] / max(1, engines)

    def _next(self, pool, customer, terms, now_s):
        """Dispatch or refuse one of the customer's first jobs, or None."""
        head = pool.queue.head(customer)
        action = self._try(self.runs[head], pool, terms, now_s)
        if action is not None:
            return action
        for job_id in pool.queue.first(customer, LOOK_AHEAD)[1:]:
            action = self._try(self.runs[job_id], pool, terms, now_s)
            if action is not None:
                return action
        return None

    def _try(self, run, pool, terms, now_s):
        spare_s = run.timing.deadline_s - now_s
        share = pool.mix_before(run.job.priority)
        terms = terms._replace(
            spare_s=spare_s, others_share=share, avoid=run.avoid
        )
        placement = self.router.place(run.job, pool.endpoints, terms, now_s)
        if placement is None:
            return None
        expected_s = placement.first_token_s + pool.lateness.value
        if run.timing.strict and expected_s > spare_s:
            return self._give_up(run, now_s)
        self._unqueue(run)
        return self._dispatch(run, pool, placement, now_s)

    def _dispatch(self, run, pool, placement, now_s, alone=False):
        job = run.job
        run.begin()
        run.attempts += 1
        run.dispatched_s = now_s
        run.read_by = placement.prefill
        run.believed_tokens = placement.cached_tokens
        run.expected_s = now_s + placement.first_token_s
        pool.running += 1
        pool.refusals.add(job.customer, False)
        self.limits.usage(job.customer, now_s).running += 1
        run.charged_s = run.cost_s()
        pool.queue.charge(job.customer, run.charged_s)
        run.join_stream(placement.endpoint, now_s)
        if job.kind == 'model':
            reader = placement.prefill
            run.join_prompt(reader, placement.prompt_s, now_s)
            self.beliefs.sent(reader.name, job.prefix_blocks)
        split = job.kind == 'model' and not placement.mixed()
        return Dispatch(
            job.id,
            placement.endpoint.name,
            placement.prefill.name if split else None,
            alone,
            placement.prompt_s if job.kind == 'model' else 0.0,
        )

    def _fraction(self, pool, now_s):
        """This node's part of the credits of the engines it uses."""
        if self.shares.nodes == 1:
            pool.fraction = 1.0
        elif now_s >= pool.fraction_due_s:
            # Summed over all peers, so not anew for each decision.
            pool.fraction_due_s = now_s + FRACTION_S
            demand = pool.demand_s(now_s)
            key = ('pool', pool.number)
            part = self.shares.fraction(key, demand, now_s)
            members = pool.endpoints
            part *= members.total / len(members.members)
            pool.fraction = min(1.0, part)
        return pool.fraction

    def _expire(self, now_s):
        """Refuse at once whatever can't start in time any more."""
        actions = []
        while self.expiries and self.expiries[0][0] < now_s:
            latest_s, job_id = heapq.heappop(self.expiries)
            run = self.runs.get(job_id)
            if run is None or run.timing.latest_start_s != latest_s:
                continue
            if run.dispatched_s is not None:
                continue
            actions.append(self._give_up(run, now_s))
        return actions

    def _give_up(self, run, now_s):
        pool = self.pools[run.job.pool]
        self._forget(run, now_s)
        if run.ran:
            return Refuse(run.job.id, _unknown('not_run_again'))
        self.limits.correct(run.job.customer, -run.admitted_tokens)
        wait_s = self._wait_s(run, pool)
        return self._overloaded(run.job, pool, wait_s)

    def _overloaded(self, job, pool, excess_s):
        pool.refusals.add(job.customer, True)
        attempts = pool.refusals.attempts(job.customer)
        outcome = admission.overloaded(excess_s, self.rng, attempts)
        return Refuse(job.id, outcome)

    # Ends

    def _release(self, run, now_s):
        """Nothing of the job is on any endpoint any more."""
        run.leave_prompt(now_s)
        run.leave_stream(now_s)
        if run.dispatched_s is not None:
            run.dispatched_s = None
            self.pools[run.job.pool].running -= 1
            self.limits.usage(run.job.customer).running -= 1

    def _give_back(self, run):
        """Take back the charge for what a cancelled job did not use."""
        if run.charged_s:
            self._recharge(run, run.used_s())

    def _recharge(self, run, used_s):
        """Put what a job took in truth in place of the prediction."""
        queue = self.pools[run.job.pool].queue
        queue.charge(run.job.customer, used_s - run.charged_s)
        run.charged_s = used_s

    def _prompt_done(self, run, now_s):
        endpoint = run.prompt_at
        run.prefill_done_s = now_s
        if endpoint is not None:
            self.learner.prompt_read(run, endpoint, now_s)
            endpoint.health.succeeded()
            run.leave_prompt(now_s)
        run.begin_stream(now_s)

    def _whole(self, run, result, now_s):
        """A job's whole answer has come."""
        self.quarantine.record_success(run.fingerprint, now_s)
        self._recharge(run, self.learner.finished(run, result, now_s))
        tokens = result.prompt_tokens + result.output_tokens
        if run.job.kind == 'model':
            self.limits.correct(run.job.customer, tokens - run.admitted_tokens)
        self._forget(run, now_s)

    # Failures

    def _failed(self, run, failed, now_s):
        """Decide what becomes of a job whose attempt failed."""
        endpoint = self.endpoints.get(failed.endpoint)
        if endpoint is not None:
            self._blame_endpoint(run, endpoint, failed, now_s)
        run.ran = run.ran or failed.ran
        # An engine that began to change or to leave refuses its work at
        # once and looks idle: all attempts would go there within a moment.
        run.avoid |= {failed.endpoint}
        self._release(run, now_s)
        self._give_back(run)
        verdict = quarantine.CLEAR
        if failed.crashed:
            verdict = self.suspects.verdict(run, now_s)
        if verdict == quarantine.CONVICTED:
            return self._refuse(run, _convicted(), now_s)
        may_repeat = run.job.repeatable or not run.ran
        if failed.retryable and may_repeat:
            if self._may_retry(run, endpoint, failed):
                self._queue_again(run, now_s)
                return []
        outcome = _unknown('endpoint_failed') if run.ran else _not_run()
        return self._refuse(run, outcome, now_s)

    def _blame_endpoint(self, run, endpoint, failed, now_s):
        if failed.crashed:
            self._crashed(endpoint, now_s)
            # It was there, whether or not its prefill was known done.
            self.suspects.record_blame(run, endpoint, now_s)
            endpoint.health.eject(now_s)
            self.beliefs.wiped(endpoint.name)
            return
        if endpoint.health.failed() and not endpoint.health.is_out():
            members = self.pools[endpoint.info.pool].endpoints.members
            states = [each.health for each in members]
            if health.may_eject(states, now_s, self.settings.ejection):
                endpoint.health.eject(now_s)

    def _crashed(self, endpoint, now_s):
        runs = [self.runs[job_id] for job_id in endpoint.load.jobs]
        self.suspects.record_engine_crash(endpoint, runs, now_s)

    def _may_retry(self, run, endpoint, failed):
        if run.attempts >= retries.MAX_ATTEMPTS:
            return False
        if failed.crashed:
            # Batch mates of a crash go on elsewhere; crashes are too rare,
            # and quarantine too strict, for this to multiply load.
            return True
        planned = endpoint is not None and endpoint.health.is_out()
        if planned and not failed.ran:
            # It was on its way when the endpoint left: no failure at all.
            return True
        return self.retries.withdraw(run.job.customer, run.attempts)

    def _queue_again(self, run, now_s):
        """Put a job in line for another attempt, with time to wait."""
        row = self.rows.get(run.job.customer, DEFAULT_ROW)
        until_s = now_s + row.queue_wait_s
        if run.tokens or run.ran or run.timing.latest_start_s < now_s:
            run.timing = admission.Timing(until_s, until_s)
        self._queue(run, self.pools[run.job.pool], now_s)

    def _refuse(self, run, outcome, now_s):
        self._forget(run, now_s)
        return [Refuse(run.job.id, outcome)]

    def _try_suspects(self, pool, now_s):
        """Run the suspect whose turn it is, on the engine kept for it."""
        actions = []
        for run, verdict in self.suspects.pop_decided(pool, now_s):
            if verdict == quarantine.CONVICTED:
                actions += self._refuse(run, _convicted(), now_s)
            else:
                self._queue(run, pool, now_s)
        run = self.suspects.next_suspect(pool, self.runs, now_s)
        if run is None:
            return actions
        spare_s = run.timing.latest_start_s - now_s
        terms = routing.Terms(self._fraction(pool, now_s), spare_s)
        placement = self.router.place(
            run.job, pool.endpoints, terms, now_s, among=pool.trial
        )
        if placement is None:
            return actions
        alone = not pool.trial.load.jobs
        self.suspects.record_trial_start(run, pool, now_s)
        action = self._dispatch(run, pool, placement, now_s, alone)
        return [*actions, action]

    # Peers

    def digest(self, now_s):
        """This node's news, for all peers."""
        return self.exchange.digest(self.runs.values(), now_s)

    def peer_digest(self, host, digest, now_s):
        """A peer's news."""
        self.exchange.hear(host, digest, now_s)
        return []

    def peer_prompt(self, name, read_s, now_s):
        """Another node gave an engine a prompt, a moment ago.

        :param read_s: how long the engine will read it
        """
        endpoint = self.endpoints.get(name)
        if endpoint is not None:
            endpoint.load.others.told(read_s, now_s)

    def demand(self, pool_name, now_s):
        """What the pool is asked for, by all nodes heard of late."""
        return self.exchange.demand(pool_name, now_s)

    def subset(self, pool_name):
        """Names of the pool's endpoints that this node uses.

        Only these need their load reports and cache events read.
        """
        members = self.pools[pool_name].endpoints.members
        return [endpoint.name for endpoint in members]

    def in_flight(self, endpoint_name):
        """This node's jobs on an endpoint."""
        endpoint = self.endpoints.get(endpoint_name)
        return len(endpoint.load.jobs) if endpoint is not None else 0


def _convicted():
    return outcomes.Rejected(
        'crashes_endpoints',
        'this very request crashed two endpoints; change it before you '
        'send it again',
        422,
    )


def _unknown(reason):
    return outcomes.Unknown(
        reason, 'look whether it took effect before you send it again'
    )


def _not_run():
    return outcomes.NotRun(
        'endpoint_failed', 'send it again after retry_after_s'
    )
