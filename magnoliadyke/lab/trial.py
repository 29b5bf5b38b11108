"""Run of a trace on the scheduler and fake engines, in virtual time."""

import json
import random
from typing import NamedTuple

from magnoliadyke.core import jobs
from magnoliadyke.core import roles
from magnoliadyke.core import scheduler as schedulers
from magnoliadyke.core import table
from magnoliadyke import errors
from magnoliadyke.lab import enginemodel
from magnoliadyke.lab import fakes
from magnoliadyke.lab import measures
from magnoliadyke.lab import traces

__all__ = ['FAULT_KINDS', 'Fault', 'Trial', 'planner_settings', 'read_faults']

TICK_INTERVAL_S = 0.1
REPORT_INTERVAL_S = 0.5
PLAN_INTERVAL_S = 1.0
COMPLETION_TIMEOUT_S = 60.0
INITIAL_PREFILLS = 2
URGENT_FIRST_TOKEN_S = 1.0
URGENT_PRIORITY = 2
NORMAL_PRIORITY = 5

FAULT_KINDS = (
    'crash',
    'withdrawn',
    'report_lag',
    'no_authority',
    'change_fails',
)
#: Delay of load reports during a `report_lag` fault.
FAULT_LAG_S = 5.0


class Fault(NamedTuple):
    """A fault injected at the interface between scheduler and engines.

    :param at_s: time of injection
    :param kind: one of `FAULT_KINDS`
    :param target: name of the endpoint; '' for kinds that affect all
    :param for_s: how long the fault lasts; None for the rest of the run
    """

    at_s: float
    kind: str
    target: str = ''
    for_s: float | None = None


def read_faults(file, path, deployment):
    """Read faults from JSON lines.

    :param file: iterable of lines
    :param path: path of the file, for messages
    :param deployment: :class:`traces.Deployment` that has the targets
    :returns: list of :class:`Fault`
    :raises TraceError: with a remedy for each invalid line
    """
    faults = []
    problems = []
    for number, line in enumerate(file, 1):
        if not line.strip():
            continue
        try:
            faults.append(_fault(line, deployment))
        except ValueError as error:
            problems.append(f'line {number}: {error}')
    if problems:
        raise traces.TraceError(path, problems)
    return faults


def _fault(line, deployment):
    try:
        fields = json.loads(line)
        fault = Fault(**fields)
    except (json.JSONDecodeError, TypeError):
        raise ValueError(
            f'{line.strip()!r} is not a fault; give a JSON object with '
            f'the fields {", ".join(Fault._fields)}'
        ) from None
    if fault.kind not in FAULT_KINDS:
        raise ValueError(
            f'kind {fault.kind!r}; use one of {", ".join(FAULT_KINDS)}'
        )
    for value in (fault.at_s, 0 if fault.for_s is None else fault.for_s):
        if not isinstance(value, (int, float)) or value < 0:
            raise ValueError(f'time {value!r}; give seconds from 0')
    names = engine_names(deployment)
    if fault.kind in ('crash', 'withdrawn') and fault.target not in names:
        raise ValueError(
            f'target {fault.target!r}; use one of {", ".join(names)}'
        )
    return fault


def engine_names(deployment):
    """Return the names of the pool's engines, as in the settings."""
    count = deployment.engines
    return [f'{deployment.pool}-{number + 1}' for number in range(count)]


def planner_settings(spec=traces.SPEC):
    """Return planner settings with the speeds of the fake engines."""
    return roles.PlannerSettings(
        prefill_tokens_s=1.0 / traces.PREFILL_TOKEN_S,
        decode_tokens_s=1.0 / traces.DECODE_TOKEN_S,
    )


class Trial:
    """One run of a trace under one planner.

    :param deployment: :class:`traces.Deployment`
    :param requests: :class:`traces.Request` by arrival time, at least one
    :param planner: object with the methods `observe` and `plan` of
        :class:`magnoliadyke.core.roles.Planner`
    :param prefills: number of engines that start in the prefill role
    :param faults: :class:`Fault` to inject
    :param seed: seed of the scheduler
    """

    def __init__(self, deployment, requests, planner, prefills, faults, seed):
        self.deployment = deployment
        self.requests = requests
        self.planner = planner
        self.length_s = max(requests[-1].at_s, TICK_INTERVAL_S)
        self.names = engine_names(deployment)
        self.timeline = fakes.Timeline()
        initial_roles = {
            name: enginemodel.PREFILL
            if number < prefills
            else enginemodel.DECODE
            for number, name in enumerate(self.names)
        }
        self.scheduler = self._build_scheduler(
            initial_roles, random.Random(f's{seed}')
        )
        self.pool = fakes.FakePool(
            self.timeline, self.scheduler, traces.SPEC, initial_roles
        )
        self.backlog = measures.Backlog()
        self.blocks_by_prefix = {}
        self.no_authority_until_s = -1.0
        self.splits = []
        for fault in faults:
            self.timeline.at(fault.at_s, self._inject_fault, fault)

    def _build_scheduler(self, initial_roles, rng):
        deployment = self.deployment
        domains = deployment.failure_domains
        infos = [
            jobs.EndpointInfo(
                name=name,
                pool=deployment.pool,
                kind='model',
                address='',
                failure_domain=domains[number % len(domains)],
                role=initial_roles[name],
            )
            for number, name in enumerate(self.names)
        ]
        scheduler = schedulers.Scheduler(infos, rng)
        scheduler.set_node_count(1, 0.0)
        scheduler.set_table(self._build_table_view(), 0.0)
        return scheduler

    def _build_table_view(self):
        deployment = self.deployment
        customers = {
            name: table.CustomerRow(
                weight=weight,
                queue_wait_s=deployment.queue_wait_s[name],
                queue_limit=1000,
            )
            for name, weight in deployment.weights.items()
        }
        row = table.PoolRow(
            role_change_price=deployment.price_tokens,
            dwell_s=deployment.dwell_s,
        )
        return table.View(1, customers, {deployment.pool: row}, {}, {})

    def run(self):
        """Run the trace and `COMPLETION_TIMEOUT_S` for requests still open.

        :returns: result of :func:`measures.figures`
        """
        self.timeline.at(0.0, self._arrive, 0)
        self.timeline.at(0.0, self._tick)
        self.timeline.at(0.0, self._report)
        self.timeline.at(PLAN_INTERVAL_S / 2, self._plan)
        self.timeline.run(self.length_s + COMPLETION_TIMEOUT_S)
        return measures.figures(
            self.pool.answers.values(),
            self.backlog,
            self.deployment.weights,
            self.length_s,
            self.pool.role_changes,
            self.deployment.price_tokens,
        )

    def _arrive(self, number):
        request = self.requests[number]
        self.pool.submit(self._build_job(number, request))
        if number + 1 < len(self.requests):
            at_s = self.requests[number + 1].at_s
            self.timeline.at(at_s, self._arrive, number + 1)

    def _build_job(self, number, request):
        urgent = request.first_token_s <= URGENT_FIRST_TOKEN_S
        return jobs.Job(
            id=f'r{number}',
            customer=request.customer,
            pool=self.deployment.pool,
            model=request.model,
            prompt_tokens=request.prompt_tokens,
            output_tokens=request.output_tokens,
            prefix_blocks=self._prefix_blocks(request),
            priority=URGENT_PRIORITY if urgent else NORMAL_PRIORITY,
            repeatable=request.repeatable,
            first_token_s=request.first_token_s,
            per_token_s=request.per_token_s,
            fingerprint=f'f{number}',
            arrived_s=self.timeline.now_s,
        )

    def _prefix_blocks(self, request):
        count = request.prefix_tokens // enginemodel.BLOCK_TOKENS
        key = request.customer, request.prefix_id
        created_blocks = self.blocks_by_prefix.get(key, ())
        if len(created_blocks) < count:
            created_blocks = tuple(
                f'{key[0]}/{key[1]}/{n}' for n in range(count)
            )
            self.blocks_by_prefix[key] = created_blocks
        return created_blocks[:count]

    def _tick(self):
        now_s = self.timeline.now_s
        self.pool.tick()
        self.backlog.record_sample(
            self.pool.waiting(self.deployment.weights), now_s
        )
        if now_s < self.length_s + COMPLETION_TIMEOUT_S:
            self.timeline.at(now_s + TICK_INTERVAL_S, self._tick)

    def _report(self):
        now_s = self.timeline.now_s
        for name in self.names:
            self.pool.report(name)
        if now_s < self.length_s + COMPLETION_TIMEOUT_S:
            self.timeline.at(now_s + REPORT_INTERVAL_S, self._report)

    def _plan(self):
        now_s = self.timeline.now_s
        demand = self.scheduler.demand(self.deployment.pool, now_s)
        self.planner.observe(demand, now_s)
        self.splits.append((now_s, self.pool.prefills(), demand))
        if now_s >= self.no_authority_until_s:
            change = self.planner.plan(self._pool_state(), now_s)
            if change is not None:
                self.pool.change_role(change.endpoint, change.role)
        if now_s + PLAN_INTERVAL_S < self.length_s:
            self.timeline.at(now_s + PLAN_INTERVAL_S, self._plan)

    def _pool_state(self):
        pool = self.pool
        views = tuple(
            roles.EngineView(
                name=name,
                role=pool.engines[name].role,
                state=pool.states[name],
                load=pool.reported_load[name],
                reported_at_s=pool.reported_at_s[name],
            )
            for name in self.names
        )
        return roles.PoolState(
            engines=views,
            price_tokens=self.deployment.price_tokens,
            dwell_s=self.deployment.dwell_s,
        )

    def _inject_fault(self, fault):
        now_s = self.timeline.now_s
        duration_s = float('inf') if fault.for_s is None else fault.for_s
        match fault.kind:
            case 'crash':
                self.pool.crash(fault.target, fault.for_s)
            case 'withdrawn':
                self.pool.withdraw(fault.target, fault.for_s)
            case 'report_lag':
                previous_lag_s = self.pool.report_lag_s
                self.pool.report_lag_s = FAULT_LAG_S
                if fault.for_s is not None:
                    self.timeline.at(
                        now_s + duration_s, self._set_lag, previous_lag_s
                    )
            case 'no_authority':
                self.no_authority_until_s = now_s + duration_s
            case 'change_fails':
                self.pool.crash_during_role_changes(now_s + duration_s)
            case _:
                raise errors.UsageError(
                    f'unknown kind of fault {fault.kind!r}'
                )

    def _set_lag(self, lag_s):
        self.pool.report_lag_s = lag_s
