"""Decide what runs where and when: events in, typed actions out.

Every input method returns a list of actions. A job that was submitted ends
in exactly one way: its user reports :class:`jobs.Finished` or
:class:`jobs.Cancelled`
after a :class:`Dispatch`, the scheduler answers :class:`Refuse`, or the user
calls :meth:`Scheduler.cancel` (no action follows). After :class:`jobs.Failed` the
scheduler decides: it dispatches the job again, at once or later, or it
refuses it with the outcome to tell the caller.
"""

import dataclasses
import json
from typing import Any, NamedTuple

from magnoliadyke.core import jobs
from magnoliadyke.core import outcomes

__all__ = [
    'Cancelled',
    'Demand',
    'Digest',
    'Dispatch',
    'Failed',
    'Finished',
    'Refuse',
    'Scheduler',
    'SchedulerSettings',
]


@dataclasses.dataclass(frozen=True, slots=True)
class Dispatch:
    """Send the job now.

    :param endpoint: decodes the job, or serves the call of a plain service
    :param prefill_endpoint: runs the prompt first; None when ``endpoint``
        does both
    :param alone: no other job runs on the endpoint meanwhile
    """

    job_id: str
    endpoint: str
    prefill_endpoint: str | None = None
    alone: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Tell the caller this outcome; the job is forgotten."""

    job_id: str
    outcome: Any


# The results that `finished` takes, under the names its users know.
Finished = jobs.Finished
Failed = jobs.Failed
Cancelled = jobs.Cancelled


class Demand(NamedTuple):
    """Work that a pool is asked for, for the planner of roles.

    :param prefill_s_per_s: engine-seconds of prefill arriving a second
    :param decode_s_per_s: engine-seconds of decode arriving a second
    :param queued: jobs waiting in this node
    :param queued_prefill_s: engine-seconds of prefill waiting
    :param queued_decode_s: engine-seconds of decode waiting
    :param running: jobs dispatched and not finished
    """

    prefill_s_per_s: float
    decode_s_per_s: float
    queued: int
    queued_prefill_s: float
    queued_decode_s: float
    running: int


class Digest(NamedTuple):
    """What a node tells its peers about its work."""

    served: dict
    demand: dict

    def to_bytes(self):
        return json.dumps(self._asdict(), separators=(',', ':')).encode()

    @classmethod
    def from_bytes(cls, data):
        return cls(**json.loads(data))


class SchedulerSettings(NamedTuple):
    """Constants of one scheduler."""

    engine_slots: int = 32


class Scheduler:
    """Owns the queue of one node and what it believes of each endpoint."""

    def __init__(
        self,
        endpoints,
        rng,
        settings=SchedulerSettings(),
        self_failure_domain='',
    ):
        self.endpoints = {info.name: info for info in endpoints}
        self.rng = rng
        self.settings = settings
        self.self_failure_domain = self_failure_domain
        self.states = {name: 'up' for name in self.endpoints}
        self.roles = {
            name: info.role if info.kind == 'model' else None
            for name, info in self.endpoints.items()
        }
        self.in_flight = {name: 0 for name in self.endpoints}
        self.queue = {}
        self.running = {}

    def set_table(self, view, now_s):
        return []

    def set_peers(self, count, now_s):
        return []

    def submit(self, job, now_s):
        pools = {info.pool for info in self.endpoints.values()}
        if job.pool not in pools:
            return [
                Refuse(
                    job.id,
                    outcomes.Rejected(
                        'unknown_pool', 'ask for a pool of the settings', 404
                    ),
                )
            ]
        self.queue[job.id] = job
        return self.drain_queue()

    def cancel(self, job_id, now_s):
        self.queue.pop(job_id, None)
        self.release(job_id)
        return self.drain_queue()

    def dispatched_prefill_done(self, job_id, now_s):
        return []

    def first_token(self, job_id, now_s):
        return []

    def progress(self, job_id, tokens, now_s):
        return []

    def finished(self, job_id, result, now_s):
        job = self.release(job_id)
        if job is None:
            return []
        match result:
            case Failed(ran=False, retryable=True):
                self.queue[job_id] = job
            case Failed(ran=False):
                return [
                    Refuse(
                        job_id,
                        outcomes.NotRun('endpoint_failed', 'send it again'),
                    )
                ]
            case Failed(retryable=True) if job.repeatable:
                self.queue[job_id] = job
            case Failed():
                return [
                    Refuse(
                        job_id,
                        outcomes.Unknown(
                            'endpoint_failed', 'look whether it took effect'
                        ),
                    )
                ]
        return self.drain_queue()

    def load_report(self, endpoint, report, now_s):
        if self.endpoints[endpoint].kind == 'model':
            self.roles[endpoint] = report.role
        return self.drain_queue()

    def cache_events(self, endpoint, events, gap, now_s):
        return []

    def endpoint_state(self, endpoint, state, now_s):
        self.states[endpoint] = state
        return self.drain_queue()

    def endpoint_role(self, endpoint, role, now_s):
        self.roles[endpoint] = role
        return self.drain_queue()

    def digest(self, now_s):
        return Digest({}, {})

    def peer_digest(self, host, digest, now_s):
        return []

    def tick(self, now_s):
        return self.drain_queue()

    def demand(self, pool, now_s):
        queued = [job for job in self.queue.values() if job.pool == pool]
        return Demand(0.0, 0.0, len(queued), 0.0, 0.0, len(self.running))

    def release(self, job_id):
        job, names = self.running.pop(job_id, (None, ()))
        for name in names:
            self.in_flight[name] -= 1
        return job

    def drain_queue(self):
        actions = []
        for job in list(self.queue.values()):
            decode = self.least_loaded(job, ('decode', None))
            prefill = self.least_loaded(job, ('prefill',))
            chosen = decode or prefill
            if chosen is None:
                continue
            names = [chosen]
            if job.kind == 'model' and prefill and decode:
                names.append(prefill)
            del self.queue[job.id]
            for name in names:
                self.in_flight[name] += 1
            self.running[job.id] = job, names
            actions.append(
                Dispatch(job.id, chosen, names[1] if len(names) > 1 else None)
            )
        return actions

    def least_loaded(self, job, roles):
        names = [
            name
            for name, info in self.endpoints.items()
            if info.pool == job.pool
            and self.states[name] == 'up'
            and self.roles.get(name) in roles
            and self.in_flight[name] < self.settings.engine_slots
        ]
        return min(names, key=self.in_flight.get, default=None)
