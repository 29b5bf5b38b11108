"""Snapshot of a node's endpoints and customers, for display."""

import collections
from typing import NamedTuple

from magnoliadyke.core import health

__all__ = ['CustomerSnapshot', 'EndpointSnapshot', 'Snapshot', 'take']

EJECTED = 'ejected'
ON_TRIAL = 'suspect'


class EndpointSnapshot(NamedTuple):
    """One node's view of an endpoint.

    :param state: 'up', or why it gets no work: 'crashed', 'leaving',
        'left', 'changing', 'ejected' after failures, 'suspect' while it
        runs a suspect request without others
    :param role: 'prefill' or 'decode', empty for a plain service
    :param running: streams in its last load report; without a report, this
        node's jobs there
    :param own: this node's jobs on the endpoint
    :param report_age_s: age of its last load report in seconds, None without
        one
    """

    state: str
    role: str
    running: int
    own: int
    report_age_s: float | None


class CustomerSnapshot(NamedTuple):
    """Number of a customer's requests in this node, by state."""

    running: int
    queued: int


class Snapshot(NamedTuple):
    """Endpoints and customers of a node, by name."""

    endpoints: dict[str, EndpointSnapshot]
    customers: dict[str, CustomerSnapshot]


def take(scheduler, now_s: float) -> Snapshot:
    """Return a snapshot of a scheduler's state.

    :param scheduler: the :class:`magnoliadyke.core.scheduler.Scheduler`
    :param now_s: monotonic seconds
    """
    endpoints = {
        name: _endpoint(endpoint, now_s)
        for name, endpoint in scheduler.endpoints.items()
    }
    return Snapshot(endpoints, _customers(scheduler.runs.values()))


def _endpoint(endpoint, now_s):
    state = _state(endpoint, now_s)
    reported = endpoint.reported_at_s > float('-inf')
    own = len(endpoint.load.jobs)
    running = endpoint.reported_streams if reported else own
    return EndpointSnapshot(
        state,
        endpoint.role,
        0 if state == health.CRASHED else running,
        own,
        now_s - endpoint.reported_at_s if reported else None,
    )


def _state(endpoint, now_s):
    endpoint_health = endpoint.health
    for state in (
        endpoint_health.table_state,
        endpoint_health.observed,
        endpoint_health.reported,
    ):
        if state in health.OUT_STATES:
            return state
    if now_s < endpoint_health.ejected_until_s:
        return EJECTED
    if endpoint.exclusive_job_id is not None:
        return ON_TRIAL
    return health.UP


def _customers(runs):
    running = collections.Counter()
    queued = collections.Counter()
    for run in runs:
        waits = run.dispatched_s is None
        (queued if waits else running)[run.job.customer] += 1
    return {
        name: CustomerSnapshot(running[name], queued[name])
        for name in running.keys() | queued.keys()
    }
