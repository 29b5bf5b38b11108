"""Carries the stage plan out, under the lease."""

import dataclasses
import enum
from typing import NamedTuple

import gevent
import gevent.pool

from magnoliadyke import app
from magnoliadyke import clock as clocks
from magnoliadyke.core import catalog
from magnoliadyke.core import stageplan
from magnoliadyke.gateway import enginecontrol
from magnoliadyke.gateway import leadership
from magnoliadyke.gateway import placing
from magnoliadyke.gateway import store
from magnoliadyke import logs

__all__ = ['Stages']

LOG = logs.get('stages')

TICK_S = 0.5
#: An order without an answer may be carried out seconds later, also by the
#: next process of that name, whose count of orders begins anew; the engine of
#: that name is left alone for so long.
UNANSWERED_COOLDOWN_S = 15.0
#: While no engine answers, an order without an answer, or one that was
#: refused, is repeated after this time, in seconds: longer than the engine's
#: answer is waited for.
RETRY_INTERVAL_S = 2.0
#: Orders under way at one time.
MAX_CONCURRENT_ORDERS = 8
#: Time beyond the change itself in which running requests end.
DRAIN_ALLOWANCE_S = 8.0


class BlockedReason(enum.Enum):
    """Why no order goes out in a look at a service."""

    NONE = 'none'
    NO_ENGINE = 'there is no engine to change'
    LEASE = 'the lease allows no order now'
    PLAN = 'the plan wants no change'
    COOLING_DOWN = 'engines are left alone after an order'


class _Fleet(NamedTuple):
    """The engines of a service, by what they do."""

    prefilling: list[catalog.Endpoint]
    decoding: list[catalog.Endpoint]
    changing: list[catalog.Endpoint]


@dataclasses.dataclass(slots=True)
class _Outage:
    """No engine of a service answers.

    :ivar hindrance: as last logged, None before the first line
    """

    started_s: float
    hindrance: BlockedReason | None = None


class Stages(app.Component):
    """Orders engines to change their stage while this host leads."""

    def __init__(
        self,
        host: str,
        leader: leadership.Leadership,
        placer: placing.Placer,
        known: catalog.Catalog,
        control: enginecontrol.EngineControl,
        clock: clocks.Clock,
    ) -> None:
        self.host = host
        self.leadership = leader
        self.placer = placer
        self.catalog = known
        self.control = control
        self.clock = clock
        self.plans: dict[str, stageplan.StagePlan] = {}
        self.changing: dict[str, tuple[catalog.Stage, float]] = {}
        self.cooldown_until_s: dict[str, float] = {}
        self.retry_from_s: dict[str, float] = {}
        self.outages: dict[str, _Outage] = {}
        self.greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Begin to plan."""
        self.greenlet = gevent.spawn(self._run)

    def stop(self, deadline_s: float) -> None:
        """Order nothing from now on."""
        if self.greenlet is not None:
            self.greenlet.kill()

    def _run(self) -> None:
        while True:
            self.clock.sleep(TICK_S)
            if not self.placer.leading:
                self.plans.clear()
                self.outages.clear()
                continue
            for service, pool in list(self.placer.served.items()):
                self._plan(service, pool.core)

    def _plan(self, service: str, core) -> None:
        now_s = self.clock.now_s()
        plan = self.plans.setdefault(service, stageplan.StagePlan())
        self._drop_finished_changes(now_s)
        fleet = self._fleet(service)
        plan.record_load(core.load(now_s), self._sizes(fleet, core), now_s)
        hindrance = self._order_change(plan, fleet, core, now_s)
        self._log_outage(service, fleet, hindrance, now_s)

    def _fleet(self, service: str) -> _Fleet:
        engines = self.catalog.usable(service)
        steady = [e for e in engines if e.id not in self.changing]
        return _Fleet(
            [e for e in steady if e.stage is catalog.Stage.PREFILL],
            [e for e in steady if e.stage is catalog.Stage.DECODE],
            [e for e in engines if e.id in self.changing],
        )

    def _order_change(
        self, plan: stageplan.StagePlan, fleet: _Fleet, core, now_s: float
    ) -> BlockedReason:
        """Order what the plan wants.

        :returns: why nothing was ordered
        """
        if not any(fleet):
            return BlockedReason.NO_ENGINE
        if not self.leadership.may_order():
            return BlockedReason.LEASE
        change = plan.decide(self._sizes(fleet, core), now_s)
        if change is None:
            return BlockedReason.PLAN
        candidates = self._candidates(change, fleet, now_s)
        if not candidates:
            return BlockedReason.COOLING_DOWN
        candidates.sort(key=lambda e: core.load_order(e.id, now_s))
        target = catalog.Stage.DECODE
        if change.to_prefill:
            target = catalog.Stage.PREFILL
        self._order(
            _spread_over_domains(candidates, change.count), target, core
        )
        return BlockedReason.NONE

    def _sizes(self, fleet: _Fleet, core) -> stageplan.Fleet:
        return stageplan.Fleet(
            len(fleet.prefilling),
            len(fleet.decoding),
            len(fleet.changing),
            self._to_decode(fleet),
            core.traits.stage_change_s,
        )

    def _candidates(
        self, change: stageplan.Change, fleet: _Fleet, now_s: float
    ) -> list[catalog.Endpoint]:
        """Engines that may be given an order now.

        While no engine answers nothing is served, and an order that was lost
        would keep it so for a quarter of a minute.  It is safe to repeat:
        both name the same number of orders before them, so the engine
        carries out one of them at most.
        """
        if change.to_prefill:
            engines, from_s = fleet.decoding, self.cooldown_until_s
        elif fleet.decoding:
            engines, from_s = fleet.prefilling, self.cooldown_until_s
        else:
            engines, from_s = fleet.prefilling, self.retry_from_s
        return [e for e in engines if from_s.get(e.name, 0.0) <= now_s]

    def _to_decode(self, fleet: _Fleet) -> int:
        wanted = [self.changing[each.id][0] for each in fleet.changing]
        return wanted.count(catalog.Stage.DECODE)

    def _log_outage(
        self,
        service: str,
        fleet: _Fleet,
        hindrance: BlockedReason,
        now_s: float,
    ) -> None:
        """Log that no engine answers, what holds a change back, and the end.

        Without an engine that answers no request of the service is served,
        and what holds the change back tells whose fault that is.
        """
        outage = self.outages.get(service)
        if fleet.decoding:
            if outage is not None:
                del self.outages[service]
                after_s = now_s - outage.started_s
                LOG.event('engine_answers', service=service, after_s=after_s)
            return
        if outage is None:
            outage = self.outages[service] = _Outage(now_s)
        if outage.hindrance is hindrance:
            return
        outage.hindrance = hindrance
        LOG.warning_event(
            'no_engine_answers',
            service=service,
            reading=len(fleet.prefilling),
            changing=len(fleet.changing),
            hindrance=hindrance.value,
        )

    def _drop_finished_changes(self, now_s: float) -> None:
        """Engines that have changed, or will not, are steady again."""
        for endpoint_id, (stage, until_s) in list(self.changing.items()):
            endpoint = self.catalog.endpoints.get(endpoint_id)
            if endpoint is None or endpoint.stage is stage or now_s > until_s:
                del self.changing[endpoint_id]
                LOG.event(
                    'stage_settled',
                    endpoint=endpoint_id,
                    stage=endpoint.stage.value if endpoint else 'gone',
                    wanted=stage.value,
                )

    def _order(
        self,
        endpoints: list[catalog.Endpoint],
        stage: catalog.Stage,
        core,
    ) -> None:
        """Check the lease at the store, then order.

        An order of a holder before that is still on its way is refused by
        the engine: it names the number of orders that it was meant for.
        """
        workers = gevent.pool.Pool(MAX_CONCURRENT_ORDERS)
        states = workers.map(
            lambda e: self._accepted_orders(e, stage), endpoints
        )
        ready = [
            (endpoint, orders)
            for endpoint, orders in zip(endpoints, states, strict=True)
            if orders is not None
        ]
        if not ready:
            return
        checked = self.leadership.confirm()
        if not isinstance(checked, store.Written):
            LOG.event('orders_put_off', count=len(ready), cause=checked)
            return
        if self.leadership.may_order():
            workers.map(lambda one: self._send(*one, stage, core), ready)

    def _accepted_orders(
        self, endpoint: catalog.Endpoint, stage: catalog.Stage
    ) -> int | None:
        """The number of orders before this one; None if none may be given."""
        state = self.control.state(endpoint)
        cause = None
        if isinstance(state, enginecontrol.Unreachable):
            cause = state.reason
        elif state.busy or state.stage is stage:
            cause = 'the engine is busy with an order or has the stage'
        if cause is None:
            return state.orders
        LOG.event('order_put_off', endpoint=endpoint.id, cause=cause)
        return None

    def _send(
        self,
        endpoint: catalog.Endpoint,
        orders: int,
        stage: catalog.Stage,
        core,
    ) -> None:
        now_s = self.clock.now_s()
        outcome = self.control.order_stage(
            endpoint, stage, self.host, self.leadership.fencing, orders
        )
        LOG.event(
            'order',
            endpoint=endpoint.id,
            stage=stage.value,
            fencing=self.leadership.fencing,
            orders=orders,
            outcome=type(outcome).__name__.lower(),
            reason=outcome.reason,
        )
        match outcome:
            case enginecontrol.Ordered(accepted=True):
                until_s = (
                    now_s + core.traits.stage_change_s + DRAIN_ALLOWANCE_S
                )
                self.changing[endpoint.id] = (stage, until_s)
                core.change_stage(endpoint.id, stage, until_s)
            case enginecontrol.Unreachable():
                self._start_cooldown(
                    endpoint.name, UNANSWERED_COOLDOWN_S, now_s
                )
            case _:
                self._start_cooldown(endpoint.name, RETRY_INTERVAL_S, now_s)

    def _start_cooldown(self, name: str, for_s: float, now_s: float) -> None:
        self.cooldown_until_s[name] = now_s + for_s
        self.retry_from_s[name] = now_s + RETRY_INTERVAL_S


def _spread_over_domains(
    candidates: list[catalog.Endpoint], count: int
) -> list[catalog.Endpoint]:
    """The first ones of each failure domain in turn.

    All from one domain would leave its hosts, or those of the others, no
    engine of that stage near by, and lose them together.

    :param candidates: those to be taken first come first
    """
    by_domain: dict[str, list[catalog.Endpoint]] = {}
    for endpoint in candidates:
        by_domain.setdefault(endpoint.failure_domain, []).append(endpoint)
    chosen: list[catalog.Endpoint] = []
    while len(chosen) < min(count, len(candidates)):
        fullest = max(by_domain.values(), key=len)
        chosen.append(fullest.pop(0))
    return chosen
