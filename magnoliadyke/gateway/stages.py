"""Orders engines to change between prefill and decode, as the leader."""

import dataclasses
import enum
import math
from typing import NamedTuple

import gevent
import gevent.pool

from magnoliadyke import app
from magnoliadyke import clock as clocks
from magnoliadyke.core import catalog
from magnoliadyke.core import stageplan
from magnoliadyke.gateway import enginecontrol
from magnoliadyke.gateway import leadership
from magnoliadyke.gateway import placementservice
from magnoliadyke.gateway import store
from magnoliadyke import logs

__all__ = ['Stages']

LOG = logs.get('stages')

#: Interval between planning rounds, in seconds.
TICK_S = 0.5
#: An engine that did not answer an order gets no other for this long, in
#: seconds.  The order may still be carried out seconds later, also by a new
#: process under the same name, whose order count starts again.
UNANSWERED_COOLDOWN_S = 15.0
#: Cooldown of an engine after an order that it refused, in seconds.  While no
#: engine is in the decode stage an unanswered order is repeated after this
#: time too.  It is longer than the timeout of an order.
RETRY_INTERVAL_S = 2.0
#: Limit on concurrent calls to engines.
MAX_CONCURRENT_ORDERS = 8
#: Time for running requests to finish, allowed in addition to the duration of
#: the stage change itself, in seconds.
DRAIN_ALLOWANCE_S = 8.0


class BlockedReason(enum.Enum):
    """Why a planning round sent no order for a service."""

    NONE = 'none'
    NO_ENGINE = 'the service has no usable engine'
    LEASE = 'the leader lease allows no order now'
    PLAN = 'the stage plan requires no change'
    COOLING_DOWN = 'all candidate engines are in cooldown after an order'


class _Fleet(NamedTuple):
    """The usable engines of a service, by stage."""

    prefilling: list[catalog.Endpoint]
    decoding: list[catalog.Endpoint]
    changing: list[catalog.Endpoint]


@dataclasses.dataclass(slots=True)
class _Outage:
    """A period in which a service has no engine in the decode stage.

    :ivar hindrance: last logged reason that no order was sent; None if none
        was logged yet
    """

    started_s: float
    hindrance: BlockedReason | None = None


class Stages(app.Component):
    """Applies the stage plan of each service while this host leads.

    :ivar changing: target stage of each engine that is changing, and when
        the change counts as failed, by endpoint id
    :ivar cooldown_until_s: when an engine may get its next order, by name
    :ivar retry_from_s: when an engine may get its next order while no engine
        is in the decode stage, by name
    :ivar outages: services without an engine in the decode stage
    """

    def __init__(
        self,
        host: str,
        leader: leadership.Leadership,
        placement_service: placementservice.PlacementService,
        endpoint_catalog: catalog.Catalog,
        control: enginecontrol.EngineControl,
        clock: clocks.Clock,
    ) -> None:
        self.host = host
        self.leadership = leader
        self.placement_service = placement_service
        self.catalog = endpoint_catalog
        self.control = control
        self.clock = clock
        self.plans: dict[str, stageplan.StagePlan] = {}
        self.changing: dict[str, tuple[catalog.Stage, float]] = {}
        self.cooldown_until_s: dict[str, float] = {}
        self.retry_from_s: dict[str, float] = {}
        self.outages: dict[str, _Outage] = {}
        self.greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start the planning loop."""
        self.greenlet = gevent.spawn(self._run)

    def stop(self, deadline_s: float) -> None:
        """Stop the planning loop."""
        if self.greenlet is not None:
            self.greenlet.kill()

    def _run(self) -> None:
        while True:
            self.clock.sleep(TICK_S)
            if not self.placement_service.leading:
                self.plans.clear()
                self.outages.clear()
                continue
            for service, pool in list(self.placement_service.served.items()):
                if self.placement_service.is_model_service(service):
                    self._plan(service, pool.placement)

    def _plan(self, service: str, placement) -> None:
        now_s = self.clock.now_s()
        plan = self.plans.setdefault(service, stageplan.StagePlan())
        self._drop_finished_changes(now_s)
        fleet = self._fleet(service)
        plan.record_load(
            placement.load(now_s), self._sizes(fleet, placement), now_s
        )
        hindrance = self._order_change(plan, fleet, placement, now_s)
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
        self, plan: stageplan.StagePlan, fleet: _Fleet, placement, now_s: float
    ) -> BlockedReason:
        """Order the stage changes that the plan requires.

        :returns: why no order was sent, ``NONE`` if orders were attempted
        """
        if not any(fleet):
            return BlockedReason.NO_ENGINE
        if not self.leadership.may_order():
            return BlockedReason.LEASE
        change = plan.decide(self._sizes(fleet, placement), now_s)
        if change is None:
            return BlockedReason.PLAN
        candidates = self._candidates(change, fleet, now_s)
        if not candidates:
            return BlockedReason.COOLING_DOWN
        candidates.sort(
            key=lambda e: (
                _limit_sort_key(placement.limit_s(e.id), change.to_prefill),
                _pace_sort_key(placement, e.id, change.to_prefill, now_s),
                placement.load_sort_key(e.id, now_s),
            )
        )
        candidates = stageplan.prefer_by_version(
            candidates, fleet.decoding, change.to_prefill
        )
        target = catalog.Stage.DECODE
        if change.to_prefill:
            target = catalog.Stage.PREFILL
        self._order(
            _spread_over_domains(candidates, change.count), target, placement
        )
        return BlockedReason.NONE

    def _sizes(self, fleet: _Fleet, placement) -> stageplan.Fleet:
        return stageplan.Fleet(
            len(fleet.prefilling),
            len(fleet.decoding),
            len(fleet.changing),
            self._to_decode(fleet),
            placement.traits.stage_change_s,
            _limits_s(fleet.prefilling, placement),
            _limits_s(fleet.decoding, placement),
        )

    def _candidates(
        self, change: stageplan.Change, fleet: _Fleet, now_s: float
    ) -> list[catalog.Endpoint]:
        """Return the engines that may be sent an order now.

        Without an engine in the decode stage the service serves no request,
        and after a lost order it would stay so for
        ``UNANSWERED_COOLDOWN_S``, so orders are repeated sooner.  This is
        safe: both orders carry the same count of accepted orders, so the
        engine carries out at most one of them.
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
        """Log start, blocked reason and end of an outage of the decode stage.

        Without an engine in the decode stage the service serves no request.
        The reason that no order was sent shows which component is at fault.
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
        """Drop stage changes that finished, timed out or lost their engine."""
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
        placement,
    ) -> None:
        """Send orders to engines, after a check of the lease at the store.

        A delayed order of a previous leader is rejected by the engine, as
        the count of accepted orders that it carries is out of date.
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
            workers.map(lambda one: self._send(*one, stage, placement), ready)

    def _accepted_orders(
        self, endpoint: catalog.Endpoint, stage: catalog.Stage
    ) -> int | None:
        """Ask an engine for its count of accepted orders.

        :returns: the count, or None if the engine must not get an order now
        """
        state = self.control.state(endpoint)
        cause = None
        if isinstance(state, enginecontrol.Unreachable):
            cause = state.reason
        elif state.busy or state.stage is stage:
            cause = (
                'the engine is carrying out an order or already has the stage'
            )
        if cause is None:
            return state.orders
        LOG.event('order_put_off', endpoint=endpoint.id, cause=cause)
        return None

    def _send(
        self,
        endpoint: catalog.Endpoint,
        orders: int,
        stage: catalog.Stage,
        placement,
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
                    now_s + placement.traits.stage_change_s + DRAIN_ALLOWANCE_S
                )
                self.changing[endpoint.id] = (stage, until_s)
                placement.change_stage(endpoint.id, stage, until_s)
            case enginecontrol.Unreachable():
                self._start_cooldown(
                    endpoint.name, UNANSWERED_COOLDOWN_S, now_s
                )
            case _:
                self._start_cooldown(endpoint.name, RETRY_INTERVAL_S, now_s)

    def _start_cooldown(self, name: str, for_s: float, now_s: float) -> None:
        self.cooldown_until_s[name] = now_s + for_s
        self.retry_from_s[name] = now_s + RETRY_INTERVAL_S


def _limits_s(engines: list[catalog.Endpoint], placement) -> tuple[float, ...]:
    limits_s = (placement.limit_s(each.id) for each in engines)
    return tuple(each for each in limits_s if each is not None)


def _limit_sort_key(limit_s: float | None, to_prefill: bool) -> float:
    """Return a sort key by which engines are chosen for a stage change.

    Engines with low limits change to prefill first, and those without one to
    decode; see :meth:`stageplan.Fleet.with_limits_of`.
    """
    limit_s = math.inf if limit_s is None else limit_s
    return limit_s if to_prefill else -limit_s


def _pace_sort_key(
    placement, engine_id: str, to_prefill: bool, now_s: float
) -> int:
    """Return a sort key by which engines are chosen for a stage change.

    Streams are late if an engine is too slow between two of their events, and
    long prompts can still be divided among more engines, so the slow engines
    prefill.
    """
    key = placement.pace_sort_key(engine_id, now_s)
    return -key if to_prefill else key


def _spread_over_domains(
    candidates: list[catalog.Endpoint], count: int
) -> list[catalog.Endpoint]:
    """Choose engines, each from the domain with the most candidates left.

    If all engines of a stage were in one failure domain, they would fail
    together, and the hosts of the other domains would have none near by.

    :param candidates: engines in order of preference
    :param count: number of engines to choose
    """
    by_domain: dict[str, list[catalog.Endpoint]] = {}
    for endpoint in candidates:
        by_domain.setdefault(endpoint.failure_domain, []).append(endpoint)
    chosen: list[catalog.Endpoint] = []
    while len(chosen) < min(count, len(candidates)):
        fullest = max(by_domain.values(), key=len)
        chosen.append(fullest.pop(0))
    return chosen
