"""Orders endpoints from the platform by the autoscaler, as the leader."""

import json

import gevent

from magnoliadyke import app
from magnoliadyke import clock as clocks
from magnoliadyke.core import autoscaler
from magnoliadyke.core import catalog
from magnoliadyke.core import position
from magnoliadyke.gateway import fields
from magnoliadyke.gateway import keymirror
from magnoliadyke.gateway import leadership
from magnoliadyke.gateway import operatorcalls
from magnoliadyke.gateway import placementservice
from magnoliadyke.gateway import store
from magnoliadyke import logs

__all__ = ['FLEET_PREFIX', 'AutoscalingDuty']

LOG = logs.get('fleet')

#: Prefix of the keys with the target number of endpoints of a service; the
#: name of the service follows.
FLEET_PREFIX = 'magnoliadyke/fleet/'
#: Interval between scaling rounds, in seconds.
TICK_S = 0.5
#: The endpoints of a new service are listed one after the other.  Their
#: number becomes the target once it has been unchanged for this long, in
#: seconds.
STABLE_COUNT_S = 2.0
#: Pause after an order that was rejected, or whose outcome is unknown, in
#: seconds.
RETRY_S = 1.0


class AutoscalingDuty(app.Component, keymirror.Listener):
    """Sends the autoscaler's orders to the platform while this host leads.

    The target of a service is the number of endpoints that it was set up
    with.  The first leader writes this number to the store, as later the
    endpoints differ in kind and can be more.

    :param calls: sends the orders to the platform; None if the platform takes
        no orders from this system
    :ivar wanted: target number of endpoints by service, as stored
    :ivar lost: services whose target a restored store lacks
    :ivar initial_counts: number of listed endpoints, and since when it is
        unchanged, of services without a target
    """

    def __init__(
        self,
        leader: leadership.Leadership,
        placement_service: placementservice.PlacementService,
        endpoint_catalog: catalog.Catalog,
        kv_store: store.Store,
        calls: operatorcalls.OperatorCalls | None,
        clock: clocks.Clock,
    ) -> None:
        self.leadership = leader
        self.placement_service = placement_service
        self.catalog = endpoint_catalog
        self.store = kv_store
        self.calls = calls
        self.clock = clock
        self.plans: dict[str, autoscaler.Autoscaler] = {}
        self.wanted: dict[str, int] = {}
        self.lost: set[str] = set()
        self.initial_counts: dict[str, tuple[int, float]] = {}
        self.greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start the scaling loop, if the platform takes orders."""
        if self.calls is not None:
            self.greenlet = gevent.spawn(self._run)

    def stop(self, deadline_s: float) -> None:
        """Stop the scaling loop."""
        if self.greenlet is not None:
            self.greenlet.kill()

    # Target numbers read from the store.

    def changed(self, item: store.Item) -> None:
        """Record a service's target number of endpoints from the store."""
        service = item.key.removeprefix(FLEET_PREFIX)
        self.lost.discard(service)
        try:
            wanted = {service: fields.parse(item.value)}
            self.wanted[service] = fields.read_integer(wanted, service, 0)
        except fields.BadField as error:
            LOG.throttled_warning(
                'fleet_size_ignored',
                item.key,
                key=item.key,
                error=str(error),
                position=item.position,
            )

    def restored(
        self, items: dict[str, store.Item], at: position.Position
    ) -> None:
        """Keep the targets that a restored store lacks, to write them again.

        Else the next leader that starts would take the number of endpoints
        that are listed then for the target.
        """
        self.lost = set(self.wanted)
        for item in items.values():
            self.changed(item)

    # Orders.

    def _run(self) -> None:
        while True:
            self.clock.sleep(TICK_S)
            if not self.placement_service.leading:
                self.plans.clear()
                continue
            configuration = self.catalog.configuration
            if configuration is None:
                continue
            for service in configuration.services.values():
                if service.scaling is not None:
                    self._step(service.name, service.scaling)

    def _step(self, service: str, limits: autoscaler.ScalingLimits) -> None:
        present = self._available_capacity(service)
        if service in self.lost:
            self._store_target(service, self.wanted[service])
        if service not in self.wanted:
            self._record_initial_size(
                service, sum(each.on_demand for each in present.values())
            )
            return
        if not self.leadership.may_order():
            return
        plan = self.plans.setdefault(service, autoscaler.Autoscaler(service))
        now_s = self.clock.now_s()
        wanted = self.wanted[service]
        for order in plan.decide(limits, present, wanted, now_s):
            self._order(plan, order)

    def _record_initial_size(self, service: str, count: int) -> None:
        """Store a service's target once its endpoint count is stable.

        :param count: number of endpoints listed now
        """
        now_s = self.clock.now_s()
        before, since_s = self.initial_counts.get(service, (0, now_s))
        if count != before:
            self.initial_counts[service] = (count, now_s)
            return
        if not count or now_s - since_s < STABLE_COUNT_S:
            return
        self._store_target(service, count)
        LOG.event(
            'fleet_size',
            service=service,
            listed=count,
            wanted=self.wanted.get(service, 'unknown'),
        )

    def _store_target(self, service: str, count: int) -> None:
        """Store a service's target, unless the store has one."""
        put = store.Put(FLEET_PREFIX + service, json.dumps(count).encode())
        match self.store.commit({put.key: self.leadership.absent()}, (put,)):
            case store.Written(written):
                self.changed(store.Item(put.key, put.value, written))
            case store.Conflict(items):
                for item in items:
                    self.changed(item)

    def _available_capacity(
        self, service: str
    ) -> dict[str, autoscaler.AvailableCapacity]:
        found: dict[str, autoscaler.AvailableCapacity] = {}
        for endpoint in self.catalog.usable(service):
            domain = endpoint.failure_domain
            capacity = found.get(domain, autoscaler.AvailableCapacity())
            if endpoint.reclaimable:
                capacity = capacity._replace(
                    reclaimable=capacity.reclaimable + 1
                )
            else:
                capacity = capacity._replace(on_demand=capacity.on_demand + 1)
            found[domain] = capacity
        return found

    def _order(
        self, plan: autoscaler.Autoscaler, order: autoscaler.ScaleOrder
    ) -> None:
        outcome = self.leadership.call(
            lambda caller: self.calls.order_endpoints(caller, order)
        )
        LOG.event(
            'endpoints_ordered',
            service=order.service,
            failure_domain=order.failure_domain,
            count=order.count,
            reclaimable=order.reclaimable,
            outcome=type(outcome).__name__.lower(),
            reason=getattr(outcome, 'reason', 'none'),
            fencing=self.leadership.fencing,
        )
        now_s = self.clock.now_s()
        match outcome:
            case operatorcalls.Done():
                plan.record_accepted(order, now_s)
            case operatorcalls.Rejected(scarce=True):
                plan.record_unavailable(order, now_s)
            case _:
                self.clock.sleep(RETRY_S)
