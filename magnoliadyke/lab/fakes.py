"""Simulated model endpoints for a scheduler, on virtual time."""

import collections
import heapq
from typing import NamedTuple

from magnoliadyke.core import jobs
from magnoliadyke.core import scheduler as schedulers
from magnoliadyke.lab import enginemodel

__all__ = ['Answer', 'FakePool', 'Timeline']

READY = 'up'
RESTART_S = 20.0
CACHE_EVENT_LAG_S = 1.0


class Timeline:
    """Virtual clock that runs calls by time, then in order of scheduling."""

    def __init__(self):
        self.now_s = 0.0
        self._calls = []
        self._serial = 0

    def at(self, at_s, call, *arguments):
        """Schedule `call(*arguments)` at `at_s`, or now if that is past."""
        self._serial += 1
        key = (max(at_s, self.now_s), self._serial, call, arguments)
        heapq.heappush(self._calls, key)

    def run(self, until_s):
        """Run all calls scheduled up to `until_s`; later ones stay."""
        while self._calls and self._calls[0][0] <= until_s:
            self.now_s, _, call, arguments = heapq.heappop(self._calls)
            call(*arguments)
        self.now_s = until_s


class Answer:
    """Progress and outcome of one job.

    :ivar dispatched_s: time of its first dispatch, None before
    :ivar first_token_s: time of its first output token, None before
    :ivar finished_s: time at which the output was complete, None before
    :ivar outcome: reason of its rejection, None if it was not rejected
    """

    __slots__ = (
        'cached_tokens',
        'dispatched_s',
        'finished_s',
        'first_token_s',
        'job',
        'outcome',
    )

    def __init__(self, job):
        self.job = job
        self.dispatched_s = None
        self.first_token_s = None
        self.finished_s = None
        self.outcome = None
        self.cached_tokens = 0

    def met_objectives(self):
        """Return whether the answer is complete and met both objectives."""
        if self.finished_s is None:
            return False
        job = self.job
        if self.first_token_s - job.arrived_s > job.first_token_s:
            return False
        return self.per_token_s() <= job.per_token_s

    def per_token_s(self):
        """Return the mean time per output token after the first."""
        later = max(1, self.job.output_tokens - 1)
        return (self.finished_s - self.first_token_s) / later


class _Run(NamedTuple):
    """A dispatch, and the engine on which its decode has started."""

    action: schedulers.Dispatch
    decode_engine: str | None


class FakePool:
    """The engines of a pool, with one scheduler.

    It does in virtual time what the dispatcher and the duties do over HTTP:
    it starts the jobs that the scheduler dispatches, reports their progress
    and results to the scheduler, and executes role changes without failing
    requests: the engine gets no new work, its streams migrate to decode
    engines, its prefills complete (within `drain_s`), and then its role
    changes.

    :param spec: speeds and sizes of all engines
    :param roles: initial role of each engine by name
    :param drain_s: maximum time to drain an engine, in seconds
    """

    def __init__(self, timeline, scheduler, spec, roles, drain_s=8.0):
        self.timeline = timeline
        self.scheduler = scheduler
        self.spec = spec
        self.drain_s = drain_s
        self.engines = {
            name: enginemodel.EngineModel(spec, role)
            for name, role in roles.items()
        }
        self.states = {name: READY for name in roles}
        self.answers = {}
        self.runs = {}
        self.queued = collections.defaultdict(set)
        self.role_changes = 0
        self.changing = {}
        self.report_lag_s = 0.25
        self.reported_at_s = {name: 0.0 for name in roles}
        self.state_set_at_s = {name: 0.0 for name in roles}
        self.reported_state = {name: 'in' for name in roles}
        self.reported_load = {name: 0 for name in roles}
        self.fail_change_until_s = -1.0
        self._wake_versions = {name: 0 for name in roles}

    # Jobs

    def submit(self, job):
        """Submit a job to the scheduler."""
        self.answers[job.id] = Answer(job)
        self.queued[job.customer].add(job.id)
        self.apply_actions(self.scheduler.submit(job, self.timeline.now_s))

    def waiting(self, customers):
        """Return the number of jobs not dispatched yet, by customer."""
        return {name: len(self.queued[name]) for name in customers}

    def prefills(self):
        """Return the number of engines whose role is prefill."""
        engines = self.engines.values()
        return sum(each.role == enginemodel.PREFILL for each in engines)

    def crash_during_role_changes(self, until_s):
        """Make engines crash half-way through their role changes.

        :param until_s: virtual time; changes that start later succeed
        """
        self.fail_change_until_s = until_s

    def tick(self):
        """Run the scheduler's tick at the present time."""
        self.apply_actions(self.scheduler.tick(self.timeline.now_s))

    def apply_actions(self, actions):
        """Execute the actions that the scheduler returned."""
        for action in actions:
            job = self.answers[action.job_id].job
            self.queued[job.customer].discard(job.id)
            match action:
                case schedulers.Dispatch():
                    self._dispatch(action)
                case schedulers.Refuse():
                    answer = self.answers[action.job_id]
                    answer.outcome = action.outcome

    def _dispatch(self, action):
        answer = self.answers[action.job_id]
        if answer.dispatched_s is None:
            answer.dispatched_s = self.timeline.now_s
        self.runs[action.job_id] = _Run(action, None)
        if action.prefill_endpoint is None:
            self._start(action.endpoint, answer.job, 'both')
        else:
            self._start(action.prefill_endpoint, answer.job, 'prefill')

    def _start(self, name, job, kind, offset=0):
        engine = self.engines[name]
        now_s = self.timeline.now_s
        if engine.state == 'crashed':
            self._fail(job.id, name, ran=False)
            return
        if kind != 'prefill':
            run = self.runs[job.id]
            self.runs[job.id] = run._replace(decode_engine=name)
        work = enginemodel.Work(
            id=job.id,
            kind=kind,
            prompt_tokens=job.prompt_tokens,
            output_tokens=job.output_tokens,
            priority=job.priority,
            prefix_blocks=job.prefix_blocks,
            offset=offset,
        )
        engine.submit(work, now_s)
        self._schedule_wake(name)

    def _fail(self, job_id, name, ran, crashed=False):
        run = self.runs.pop(job_id)
        stage = 'decode' if run.decode_engine else 'prefill'
        failed = jobs.Failed(name, stage, ran=ran, crashed=crashed)
        now_s = self.timeline.now_s
        self.apply_actions(self.scheduler.record_result(job_id, failed, now_s))

    # Engines

    def _schedule_wake(self, name):
        """Schedule an engine's next event; earlier wake-ups are ignored."""
        at_s = self.engines[name].next_event_s()
        self._wake_versions[name] += 1
        if at_s is not None:
            version = self._wake_versions[name]
            self.timeline.at(at_s, self._wake, name, version)

    def _wake(self, name, version):
        if version != self._wake_versions[name]:
            return
        for event in self.engines[name].advance(self.timeline.now_s):
            self._on_event(name, event)
        self._schedule_wake(name)

    def _on_event(self, name, event):
        now_s = self.timeline.now_s
        match event:
            case enginemodel.PrefillDone():
                self._on_prefill_done(name, event)
            case enginemodel.Token():
                answer = self.answers[event.id]
                if answer.first_token_s is None:
                    answer.first_token_s = event.at_s
                    self.apply_actions(
                        self.scheduler.record_first_token(event.id, now_s)
                    )
            case enginemodel.Finished():
                self._on_finished(name, event)
            case enginemodel.RoleChanged():
                self._on_role_changed(name, event)
            case enginemodel.CacheStored():
                self._publish_cache_event(name, 'stored', event.blocks)
            case enginemodel.CacheEvicted():
                self._publish_cache_event(name, 'evicted', event.blocks)

    def _publish_cache_event(self, name, kind, blocks):
        """Send the scheduler a cache event, after `CACHE_EVENT_LAG_S`."""
        events = ({'kind': kind, 'blocks': blocks},)
        arrives_s = self.timeline.now_s + CACHE_EVENT_LAG_S
        self.timeline.at(arrives_s, self._on_cache_events, name, events)

    def _on_cache_events(self, name, events):
        now_s = self.timeline.now_s
        self.apply_actions(
            self.scheduler.handle_cache_events(name, events, False, now_s)
        )

    def _on_prefill_done(self, name, event):
        now_s = self.timeline.now_s
        self.answers[event.id].cached_tokens = event.cached_tokens
        self.apply_actions(self.scheduler.record_prefill_done(event.id, now_s))
        action = self.runs[event.id].action
        if action.prefill_endpoint is not None:
            job = self.answers[event.id].job
            target = self._decode_endpoint(action.endpoint)
            self._start(target, job, 'decode')
            if target != action.endpoint:
                self.apply_actions(
                    self.scheduler.record_migration(event.id, target, now_s)
                )
        if name in self.changing:
            self._change_when_drained(name)

    def _decode_endpoint(self, name):
        """Return the endpoint, or a substitute while its role changes."""
        if self.states[name] == READY and name not in self.changing:
            return name
        return self._least_running(name) or name

    def _on_finished(self, name, event):
        answer = self.answers[event.id]
        answer.finished_s = event.at_s
        del self.runs[event.id]
        job = answer.job
        result = jobs.Finished(
            job.prompt_tokens, job.output_tokens, answer.cached_tokens
        )
        now_s = self.timeline.now_s
        self.apply_actions(
            self.scheduler.record_result(event.id, result, now_s)
        )
        if name in self.changing:
            self._change_when_drained(name)

    def report(self, name):
        """Send the scheduler an engine's load report, after the lag."""
        engine = self.engines[name]
        now_s = self.timeline.now_s
        if engine.state != 'crashed':
            report = engine.report(now_s)
            arrives_s = now_s + self.report_lag_s
            self.timeline.at(arrives_s, self._on_report, name, report)

    def _on_report(self, name, report):
        if report.at_s < self.state_set_at_s[name]:
            # The report is older than the last change of state: it would
            # restore the old role in the scheduler, and cause wrong routes
            # until a newer report arrives.
            return
        self.reported_at_s[name] = report.at_s
        self.reported_load[name] = report.running + report.queued
        now_s = self.timeline.now_s
        self.apply_actions(
            self.scheduler.handle_load_report(name, report, now_s)
        )
        if report.state != self.reported_state[name]:
            # The scheduler groups its endpoints by state only when a state
            # is set; without this an engine whose reports lag behind the
            # end of its role change would get no work.
            self.reported_state[name] = report.state
            self._set_state(name, self.states[name])

    # Role changes

    def change_role(self, name, role):
        """Drain an engine, then start a change of its role."""
        now_s = self.timeline.now_s
        self.role_changes += 1
        self.changing[name] = role
        self._set_state(name, 'changing')
        self._move_streams(name)
        self.timeline.at(now_s + self.drain_s, self._start_change, name, role)
        self._change_when_drained(name)

    def _move_streams(self, name):
        """Migrate an engine's streams to the least loaded decode engines."""
        engine = self.engines[name]
        for job_id in list(engine.running):
            target = self._least_running(name)
            if target is None:
                return
            now_s = self.timeline.now_s
            offset = engine.cancel(job_id, now_s)
            job = self.answers[job_id].job
            self._start(target, job, 'decode', offset)
            self.apply_actions(
                self.scheduler.record_migration(job_id, target, now_s)
            )
        self._schedule_wake(name)

    def _least_running(self, excluded):
        names = [
            name
            for name, engine in self.engines.items()
            if name != excluded
            and self.states[name] == READY
            and engine.role == enginemodel.DECODE
        ]
        return min(
            names,
            key=lambda name: len(self.engines[name].running),
            default=None,
        )

    def _change_when_drained(self, name):
        report = self.engines[name].report(self.timeline.now_s)
        if not report.running and not report.queued:
            self._start_change(name, self.changing[name])

    def _start_change(self, name, role):
        engine = self.engines[name]
        if self.changing.get(name) != role or engine.state != 'in':
            return
        now_s = self.timeline.now_s
        engine.set_role(role, now_s)
        if now_s < self.fail_change_until_s:
            half_s = self.spec.role_change_s / 2
            self.timeline.at(now_s + half_s, self.crash, name, RESTART_S)
        self._schedule_wake(name)

    def _on_role_changed(self, name, event):
        del self.changing[name]
        now_s = self.timeline.now_s
        self.apply_actions(
            self.scheduler.set_endpoint_role(name, event.role, now_s)
        )
        self._set_state(name, READY)

    def _set_state(self, name, state):
        now_s = self.timeline.now_s
        if state != self.states[name]:
            self.state_set_at_s[name] = now_s
        self.states[name] = state
        self.apply_actions(
            self.scheduler.set_endpoint_state(name, state, now_s)
        )

    # Faults

    def crash(self, name, for_s):
        """Crash an engine; it restarts empty and in its old role.

        :param for_s: seconds until the restart; None for no restart
        """
        if self.engines[name].state == 'crashed':
            return
        now_s = self.timeline.now_s
        lost = self.engines[name].crash(now_s)
        self._wake_versions[name] += 1
        self.changing.pop(name, None)
        self._set_state(name, 'crashed')
        for job_id in lost:
            self._fail(job_id, name, ran=True, crashed=True)
        if for_s is not None:
            self.timeline.at(now_s + for_s, self._restart, name)

    def _restart(self, name):
        engine = self.engines[name]
        now_s = self.timeline.now_s
        engine.restart(now_s)
        self.apply_actions(
            self.scheduler.set_endpoint_role(name, engine.role, now_s)
        )
        self._set_state(name, READY)

    def withdraw(self, name, for_s):
        """Withdraw an engine: it gets no new work, its streams complete.

        :param for_s: seconds until it is available; None for never
        """
        self._set_state(name, 'leaving')
        if for_s is not None:
            back_s = self.timeline.now_s + for_s
            self.timeline.at(back_s, self._set_state, name, READY)
