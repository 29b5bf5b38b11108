"""Admin routes that show hosts, endpoints, customers and roles."""

from magnoliadyke import adminerrors
from magnoliadyke.core import snapshot
from magnoliadyke import dispatch
from magnoliadyke import duties
from magnoliadyke import fleetqueries
from magnoliadyke import metrics

__all__ = ['RolesResource', 'StatusResource', 'roles', 'status']

#: Maximum wait for a response of another task of this node, in seconds.
READ_TIMEOUT_S = 2.0

#: Outcomes that are shown with a count of 0 if none occurred.
SHOWN_OUTCOMES = ('answered', 'not_run', 'unknown', 'rejected')

#: Fields of a customer that are summed over the hosts.
SUMMED_FIELDS = ('running', 'queued', *metrics.OUTCOMES)


class StatusResource:
    """The state of the deployment, from the records of this host.

    :param node: the :class:`magnoliadyke.node.Node`
    """

    def __init__(self, node):
        self.node = node

    def on_get(self, request, response):
        """Respond with the state.

        Customers' counts are summed over all hosts that respond, or are those
        of this host alone with the query parameter ``scope=host``.
        """
        own = status(self.node)
        if request.get_param('scope') != 'host':
            token = fleetqueries.operator_token(request)
            path = '/admin/status?scope=host'
            others = fleetqueries.query_other_hosts(self.node, token, path)
            _add_customer_counts(own, [a for a in others.values() if a])
        response.media = own


class RolesResource:
    """The roles of all engines.

    :param node: the :class:`magnoliadyke.node.Node`
    """

    def __init__(self, node):
        self.node = node

    def on_get(self, _request, response):
        """Respond with each pool of engines, its planner and its engines."""
        response.media = roles(self.node)


def status(node):
    """Collect the state of the deployment from the tasks of a node.

    :param node: the :class:`magnoliadyke.node.Node`
    """
    now_s = node.clock.now_s()
    view = node.configuration.views.last
    scheduler_snapshot = _snapshot(node)
    return {
        'deployment': node.settings.deployment,
        'host': node.host,
        'incarnation': node.incarnation,
        'failure_domain': node.settings.host(node.host).failure_domain,
        'table': {
            'revision': view.revision if view else 0,
            'fresh': node.gossip.standings.last.fresh,
        },
        'takes_work': node.status.takes_work,
        'work_permit': node.configuration.permits.last.reason or 'granted',
        'store': _store(node.keyvalue, now_s),
        'members': _members(node.gossip.members.last),
        'endpoints': _endpoints(node, scheduler_snapshot),
        'customers': _customers(node, view, scheduler_snapshot),
        'leases': _leases(node),
    }


def _store(keyvalue, now_s):
    last_s = keyvalue.last_answer_s
    age_s = None if last_s is None else round(now_s - last_s, 3)
    failing = getattr(keyvalue, 'failing_since_s', None) is not None
    return {
        'reachable': last_s is not None and not failing,
        'last_answer_s': age_s,
        'calls': dict(keyvalue.counts),
        'failures': dict(keyvalue.failures),
    }


def _members(view):
    if view is None:
        return []
    return [
        {
            'host': member.host,
            'state': member.state,
            'address': f'{member.address}:{member.caller_port}',
            'failure_domain': member.failure_domain,
            'table_revision': member.table_revision,
            'takes_work': member.takes_work and member.state == 'alive',
            'spare': round(member.spare, 3),
        }
        for member in sorted(view.members.values())
    ]


def _snapshot(node):
    try:
        return adminerrors.ask(
            node.dispatcher, dispatch.TakeSnapshot(), READ_TIMEOUT_S
        )
    except adminerrors.Refusal:
        return snapshot.Snapshot({}, {})


def _endpoints(node, scheduler_snapshot):
    return [
        {
            'name': endpoint.name,
            'pool': pool.name,
            'failure_domain': endpoint.failure_domain,
        }
        | _fields(scheduler_snapshot.endpoints.get(endpoint.name))
        for pool in node.settings.pools
        for endpoint in pool.endpoints
    ]


def _customers(node, view, scheduler_snapshot):
    if view is None:
        return []
    return [
        {'name': name}
        | _fields(
            scheduler_snapshot.customers.get(
                name, snapshot.CustomerSnapshot(0, 0)
            )
        )
        | dict.fromkeys(SHOWN_OUTCOMES, 0)
        | node.metrics.totals.get(name, {})
        for name in sorted(view.customers)
    ]


def _fields(entry):
    return entry._asdict() if entry is not None else {}


def _add_customer_counts(own, others):
    """Add the counts of the other hosts to those of this one.

    :param own: the status of this host, which is changed
    :param others: the statuses of the hosts that responded
    """
    totals = {customer['name']: customer for customer in own['customers']}
    for status_of_other in others:
        for customer in status_of_other['customers']:
            total = totals.get(customer['name'])
            if total is None:
                continue
            for field in SUMMED_FIELDS:
                if field in total or field in customer:
                    total[field] = total.get(field, 0) + customer.get(field, 0)


def _leases(node):
    # The status serves to diagnose faults, so a task that does not respond
    # must not make the rest of it unavailable.
    try:
        pools = _pools(node)
    except adminerrors.Refusal:
        return [{'name': 'duties', 'holder': 'no answer from this host'}]
    return [
        {
            'name': f'pool {name}',
            'holder': pool.holder,
            'fencing': pool.fencing,
        }
        for name, pool in sorted(pools.items())
    ]


def _pools(node):
    return adminerrors.ask(
        node.duties, duties.ShowPoolStatuses(), READ_TIMEOUT_S
    )


def roles(node):
    """Collect the roles of all engines and the planner of each pool.

    :param node: the :class:`magnoliadyke.node.Node`
    :raises adminerrors.Refusal: the task that plans roles did not respond
    """
    pools = _pools(node)
    view = node.configuration.views.last
    demands_message = node.dispatcher.demand.last
    demands = demands_message.pools if demands_message is not None else {}
    return {
        'pools': [
            _pool_roles(node, pool, view, demands.get(name))
            for name, pool in sorted(pools.items())
        ]
    }


def _pool_roles(node, pool, view, demand):
    checks = {
        endpoint.name: endpoint.checks_fencing
        for settings in node.settings.pools
        for endpoint in settings.endpoints
    }
    return {
        'name': pool.pool,
        'planning': view.pool(pool.pool).planning if view else '',
        'holder': pool.holder,
        'fencing': pool.fencing,
        'role_changes': len(pool.changes),
        'changes': [list(change) for change in pool.changes],
        'last_plan': getattr(pool, 'last_plan', ''),
        'demand': demand._asdict() if demand else {},
        'endpoints': [
            {
                'name': engine.name,
                'role': engine.role,
                'target': engine.target,
                'changing': engine.changing,
                'generation': engine.generation,
                'checks_fencing': checks.get(engine.name),
            }
            for engine in pool.engines
        ],
    }
