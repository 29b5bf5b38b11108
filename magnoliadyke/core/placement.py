"""Chooses the prefill and the decode engine of each request, or refuses it."""

from collections.abc import Iterable
import math
from typing import Any
from typing import NamedTuple

from magnoliadyke.core import capacity as capacities
from magnoliadyke.core import catalog
from magnoliadyke.core import decodeengines
from magnoliadyke.core import deferral
from magnoliadyke.core import endpointlimits
from magnoliadyke.core import enginemodel
from magnoliadyke.core import enginepace
from magnoliadyke.core import enginepool
from magnoliadyke.core import fairshare
from magnoliadyke.core import limits
from magnoliadyke.core import longanswers
from magnoliadyke.core import promptcache
from magnoliadyke.core import promptjobs
from magnoliadyke.core import refusals
from magnoliadyke.core import routes
from magnoliadyke.core import sizeclasses
from magnoliadyke.core import sizeshares
from magnoliadyke.core import stageplan
from magnoliadyke.core import streambackup

__all__ = [
    'REASONS',
    'Placement',
    'PlacementSettings',
]


class PlacementSettings(NamedTuple):
    """Parameters of the placement.

    :param reserve_s: margin between the expected first event and the
        objective, in seconds, for the network time to the caller and back,
        which the placement can't measure
    :param short_tokens: decode engines prefill prompts of up to this size
        without a noticeable delay to the answers that they generate
    :param max_wait_share: share of the time until its deadline for which a
        request that will miss its objective may queue
    :param limited_wait_share: the same while rate limits of the engines bind,
        for a request that was not refused before
    :param late_placement_interval: one of this many placements goes to a
        request that will miss its objective, even while others can still
        meet theirs; without it a long burst would leave all late requests
        unserved
    :param least_urgent_interval: one of this many placements goes to the
        least urgent rank that waits, which a burst of more urgent requests
        would otherwise leave unserved
    :param long_run_s: an answer that takes longer than this, in seconds,
        keeps its engine from prefilling prompts at the same time: each
        decode step would wait for a chunk of a prompt, and the pauses
        between tokens would grow several times over
    """

    reserve_s: float = 0.016
    short_tokens: int = 1200
    max_wait_share: float = 0.35
    limited_wait_share: float = 0.1
    late_placement_interval: int = 6
    least_urgent_interval: int = 12
    long_run_s: float = 0.3


#: Weight of a newly placed prompt in the moving average of the ratio between
#: the prefill time at placement and the estimate made on arrival.
BIAS_WEIGHT = 0.03
#: Interval of the checks for jobs to demote or refuse, in seconds; a refusal
#: that is delayed by this much costs no caller anything.
LATE_CHECK_INTERVAL_S = 0.02
#: Retried jobs that one pass over the queue may skip because no open engine
#: is left to them besides those that failed them.
MAX_SKIPPED_JOBS = 8
#: Longest time between two passes over the queue, in seconds.
PLACEMENT_INTERVAL_S = 0.05
#: Reason of a refusal for the rate limits of the decode engines.
LIMIT_REASON = 'the limits of the engines leave no room'
#: Reasons of a refusal for the prefill engines, by what decided.
ROOM_REASONS = {
    fairshare.Arrival.LESS_URGENT: 'more urgent requests need the engines',
    fairshare.Arrival.ABOVE_SHARE: 'above the fair share of the workspace',
    fairshare.Arrival.EQUAL: 'no room in time',
}
#: Turn of the least urgent rank within its interval; late jobs have another.
LEAST_URGENT_TURN = 3
#: Workspaces named in the log with the engine-seconds given to them.
MAX_LOGGED_WORKSPACES = 3
#: Reason of a refusal when no engine of the version of a stream is listed.
VERSION_GONE_REASON = 'no engine of the version that began the stream serves'
#: Ratio of the speeds from which on engines are told apart when one is chosen
#: for a change of stage.
PACE_STEP = 1.5
#: Reason of a refusal of a late job that no longer fits into its time.
TOO_LATE_REASON = 'too late'
#: Reason of a refusal of a job whose engine is in a cooldown.
DOWN_REASON = 'the engine is down'
#: Reason of a refusal of a long answer for which no slot gets free.
SLOT_REASON = 'no slot in time'
#: All reasons of refusals by the placement.
REASONS = frozenset(
    (
        *ROOM_REASONS.values(),
        DOWN_REASON,
        LIMIT_REASON,
        SLOT_REASON,
        TOO_LATE_REASON,
        VERSION_GONE_REASON,
        refusals.NO_ENGINE_REASON,
    )
)
#: Time constant of measured demand, in seconds: half a period of the load's
#: fluctuation.
DEMAND_TIME_CONSTANT_S = 1.5


class _Prefill(NamedTuple):
    """The engine that prefills a prompt.

    :param engine: id of the engine
    :param source: id of the engine from which cached parts are fetched, if
        any
    """

    engine: str
    source: str | None


class Placement:
    """Places the requests of one model service.

    Designed for prompts of thousands of tokens, of which two thirds are
    shared with other prompts, that arrive in bursts of seconds at up to twice
    the prefill capacity of the engines.  Prefill is the scarce resource;
    answers are short.

    One host, the placement leader, decides for all hosts of a service, so it
    has a record of all prompts sent to each engine.  Prompts queue at the
    leader, not at the engines: their order can still change, a request that
    the caller cancels costs no engine time, and a request that can't be
    served is refused at once.  An engine is sent the next prompt shortly
    before it completes the prefill of the previous one, early enough to cover
    the network round trip.

    :param rng: source of randomness, with ``random()``
    :param placing_hosts: number of hosts that place on these engines at the
        same time without coordination; 1 on the placement leader
    :param pacer: paces the requests to engines with a rate limit; without it
        no engine has one
    :ivar on_time: jobs that can still meet their objective
    :ivar late: jobs that will miss their objective, on their first attempt
    :ivar underserved: those whose size is placed less often than others
    :ivar resubmitted: those that will miss it and were refused before
    :ivar returned: those whose scheduled return time had come
    :ivar served: engine-seconds given to workspaces
    :ivar sizes: how often prompts of each size are placed
    :ivar prefills: prompts sent to engines and not yet prefilled, by job
    :ivar bias: average ratio of prefill time at placement to the estimate
    """

    def __init__(
        self,
        traits: routes.EngineTraits,
        rng: Any,
        settings: PlacementSettings | None = None,
        placing_hosts: int = 1,
        pool_settings: enginepool.PoolSettings | None = None,
        pacer: endpointlimits.Pacer | None = None,
    ) -> None:
        self.traits = traits
        self.settings = settings or PlacementSettings()
        self.placing_hosts = placing_hosts
        self.pool = enginepool.EnginePool(traits, pool_settings, pacer)
        self.on_time = promptjobs.SlackQueue()
        self.late = promptjobs.JobQueue()
        self.resubmitted = promptjobs.JobQueue()
        self.returned = promptjobs.JobQueue()
        self.underserved = promptjobs.JobQueue()
        self.late_queues = (
            self.returned,
            self.underserved,
            self.resubmitted,
            self.late,
        )
        self.served = fairshare.ServedTime()
        self.sizes = sizeshares.SizeShares()
        self.deferral = deferral.Deferral(self.pool)
        self.refusals = refusals.Refusals(traits.stage_change_s, rng)
        self.prefills: dict[int, _Prefill] = {}
        self.answers = longanswers.LongAnswers(
            self.pool, self.settings.long_run_s
        )
        self.prefill_demand = limits.Rate(DEMAND_TIME_CONSTANT_S, 0.0)
        self.on_time_demand = limits.Rate(DEMAND_TIME_CONSTANT_S, 0.0)
        self.transfer_demand = limits.Rate(DEMAND_TIME_CONSTANT_S, 0.0)
        self.request_demand = limits.Rate(DEMAND_TIME_CONSTANT_S, 0.0)
        self.placements = 0
        self.bias = 1.0
        self.late_checked_s = 0.0

    # Engines.

    def set_engines(self, endpoints: list[catalog.Endpoint]) -> None:
        """Replace the list of engines that requests may be placed on."""
        self.pool.set_engines(endpoints)

    def change_stage(
        self, engine_id: str, stage: catalog.Stage, until_s: float
    ) -> None:
        """Place no work on an engine while it changes its stage.

        :param stage: the stage that the engine was ordered to change to
        :param until_s: when the change is expected to be complete
        """
        engine = self.pool.engines.get(engine_id)
        if engine is not None and engine.endpoint.stage is not stage:
            self.pool.cool_down(engine_id, until_s)

    def limit_s(self, engine_id: str) -> float | None:
        """Return an engine's rate limit in requests per second, if any."""
        rate_s = self.pool.pacer.rate_s(engine_id)
        return None if rate_s == math.inf else rate_s

    def record_paces(
        self, samples: Iterable[enginepace.PaceSample], now_s: float
    ) -> None:
        """Record the intervals between events that a host has received."""
        for sample in samples:
            if sample.engine in self.pool.engines:
                self.pool.paces.record(sample, now_s)

    def pace_sort_key(self, engine_id: str, now_s: float) -> int:
        """Return a sort key by which fast engines come first.

        Decode engines are compared by the intervals between their events,
        others by their prefill speed.

        :returns: 0 for all engines while they are alike, else the logarithm of
            the time that the engine takes, in steps of :data:`PACE_STEP`
        """
        engine = self.pool.engines.get(engine_id)
        if engine is None or not self.pool.paces.is_uneven(now_s):
            return 0
        relative = self.pool.paces.relative(engine_id, now_s)
        if relative is None:
            relative = engine.slowness
        return round(math.log(relative, PACE_STEP))

    def load_sort_key(
        self, engine_id: str, now_s: float
    ) -> tuple[float, float]:
        """Return a sort key by which engines are chosen for a stage change.

        An engine with less work sorts first.

        :returns: long answers in progress, and seconds of queued prefill
        """
        engine = self.pool.engines.get(engine_id)
        if engine is None:
            return (0.0, 0.0)
        return (len(engine.runs), engine.free_s(now_s) - now_s)

    def load(self, now_s: float) -> stageplan.Load:
        """Return the current demand on the engines, refused work included."""
        long_answers = len(self.answers) + len(self.answers.waiting)
        slots = decodeengines.long_slots(self.traits.slots)
        decode_capacity, busy_engines = self.pool.decode_stage_capacity(now_s)
        return stageplan.Load(
            self.prefill_demand.now(now_s),
            self.transfer_demand.now(now_s),
            long_answers / max(1, slots),
            decode_capacity,
            busy_engines,
            self.request_demand.now(now_s),
            self.pool.mean_need_s,
        )

    def log_fields(self, now_s: float) -> dict[str, str]:
        """Return queue lengths and learned estimates as log fields."""
        fields = {
            'fresh': str(len(self.on_time)),
            'late': str(sum(len(queue) for queue in self.late_queues)),
            'bias': f'{self.bias:.2f}',
            'output': f'{self.answers.output_s * 1000:.1f}ms/token',
        }
        largest = self.served.largest(MAX_LOGGED_WORKSPACES, now_s)
        fields['served'] = ','.join(
            f'{name or "none"}:{served_s:.2f}s' for name, served_s in largest
        )
        if self.sizes.underserved:
            fields['underserved'] = ','.join(
                f'{rank}:{sizeclasses.largest_tokens(size_class)}'
                for rank, size_class in sorted(self.sizes.underserved)
            )
        for stage, cost in self.pool.costs.items():
            if stage is not catalog.Stage.NONE:
                fields[stage.value] = cost.coefficients_text()
        for engine in self.pool.engines.values():
            fields[engine.endpoint.id] = (
                f'{engine.endpoint.stage.value}/{engine.slowness:.2f}/'
                f'{len(engine.pending_prefills)}/{len(engine.runs)}'
            )
            pace = self.pool.paces.pace(engine.endpoint.id, now_s)
            if pace is not None and self.pool.paces.is_uneven(now_s):
                fields[engine.endpoint.id] += (
                    f'/pace={pace.mean_s * 1000:.0f}'
                    f'..{pace.longest_s * 1000:.0f}ms'
                )
            limit_s = self.limit_s(engine.endpoint.id)
            if limit_s is not None:
                fields[engine.endpoint.id] += f'/limit={limit_s:.1f}'
        return fields

    def restore_cache(
        self, engine_id: str, parts: tuple[promptcache.PromptPart, ...]
    ) -> None:
        """Add the parts of a prompt that the previous leader placed."""
        self.pool.caches.use(engine_id, parts)

    def adopt(
        self,
        job_id: int,
        engine_id: str,
        prefill_tokens: int | None,
        holds_slot: bool,
        now_s: float,
    ) -> None:
        """Account for a job that the previous leader placed on an engine.

        :param prefill_tokens: tokens still to prefill, None if prefill is done
        :param holds_slot: whether the engine generates a long answer
        """
        if engine_id not in self.pool.engines:
            return
        if prefill_tokens is not None and job_id not in self.prefills:
            self.pool.adopt(job_id, engine_id, prefill_tokens, now_s)
            self.prefills[job_id] = _Prefill(engine_id, None)
        if holds_slot:
            self.answers.reserve_slot(job_id, engine_id, 0, now_s)

    # Jobs.

    def submit(
        self, job: promptjobs.Job, now_s: float
    ) -> list[promptjobs.Decision]:
        """Place, queue or refuse a job.

        :returns: decisions on this and on other jobs; none on this job if it
            was queued
        """
        job.submitted_s = now_s
        self.request_demand.add(1.0, now_s)
        if self._has_no_decode_engine(now_s):
            return [self.refusals.refuse_without_decode_engine(job, now_s)]
        if job.resumed or job.tokens <= self.settings.short_tokens:
            return self._submit_short(job, now_s)
        cached = self.pool.caches.cached_prefixes(job.parts)
        job.need_s = self.pool.need_s(cached, job.tokens) * self.bias
        self.pool.record_need(job.need_s)
        self.prefill_demand.add(job.need_s, now_s)
        self.transfer_demand.add(self.pool.handoff_s(job.tokens), now_s)
        job.latest_start_s = self._due_s(job) - job.need_s
        self.sizes.record_arrival(job, now_s)
        job.underserved = self.sizes.is_underserved(job)
        if job.is_retry and self.refusals.returns.take_due(now_s):
            return self._submit_returned(job, now_s)
        if now_s + self._wait_s(job, now_s) <= job.latest_start_s:
            self.on_time_demand.add(job.need_s, now_s)
            self.on_time.put(job)
            return self.place_queued(now_s)
        found = self._arrival(job, now_s)
        if found is fairshare.Arrival.DISPLACES:
            # The next check for late jobs demotes the one that gives way.
            self.on_time.put(job)
            return self.place_queued(now_s)
        refused = self._put_late_or_refuse(job, now_s, found)
        return [refused] if refused is not None else self.place_queued(now_s)

    def _submit_returned(
        self, job: promptjobs.Job, now_s: float
    ) -> list[promptjobs.Decision]:
        """Queue a job ahead of others, as its return time has come.

        Among the jobs that can be on time its place is that of its slack,
        which counts from its first arrival; new jobs give way to it.  A late
        one is admitted like other late ones, since more of them would take
        turns from jobs that can be on time, but goes before them.
        """
        capacity = self.pool.capacity(now_s)
        wait_s = capacity.wait_s(0.0) * self.placing_hosts
        if capacity.speed and now_s + wait_s <= job.latest_start_s:
            self.on_time_demand.add(job.need_s, now_s)
            self.on_time.put(job)
            return self.place_queued(now_s)
        refused = self._put_late_or_refuse(job, now_s)
        if refused is not None:
            return [refused]
        self._late_queue(job).pop(job.id)
        self.returned.put(job)
        return self.place_queued(now_s)

    def _arrival(self, job: promptjobs.Job, now_s: float) -> fairshare.Arrival:
        """Decide whether a job that would be late displaces another one."""
        if self.on_time.has_one_group(job) and not job.underserved:
            return fairshare.Arrival.EQUAL
        capacity = self.pool.capacity(now_s)
        wait_s = capacity.wait_s(0.0) * self.placing_hosts
        if not capacity.speed or now_s + wait_s > job.latest_start_s:
            return fairshare.Arrival.EQUAL
        waiting = self.on_time.jobs.values()
        usage = fairshare.usage_s([*waiting, job], self.served, now_s)
        ahead = (
            each
            for each in waiting
            if each.latest_start_s <= job.latest_start_s
        )
        return fairshare.arrival(job, ahead, usage)

    def _put_late_or_refuse(
        self,
        job: promptjobs.Job,
        now_s: float,
        found: fairshare.Arrival = fairshare.Arrival.EQUAL,
    ) -> promptjobs.Refused | None:
        wait_s = self._late_wait_s(now_s, job)
        left_s = job.deadline_s - now_s
        takes_s = wait_s + job.need_s + self.settings.reserve_s
        held_s = wait_s
        if not job.underserved:
            # A long prompt is not refused while the engines are idle.
            held_s += min(wait_s, job.need_s)
        if held_s > left_s * self._late_wait_share(job) or takes_s > left_s:
            if self.pool.limits_bind:
                return self.refusals.refuse(job, now_s, wait_s, LIMIT_REASON)
            return self._refuse_until_scheduled(
                job, now_s, wait_s, ROOM_REASONS[found]
            )
        self._put_late(job)
        return None

    def _refuse_until_scheduled(
        self,
        job: promptjobs.Job,
        now_s: float,
        wait_s: float,
        reason: str,
    ) -> promptjobs.Refused:
        """Refuse a job with its scheduled return time.

        Without workspaces there are no shares to schedule by, and the time is
        drawn around the expected wait.

        :param wait_s: expected wait of a late job, in seconds
        """
        capacity = self.pool.capacity(now_s)
        if not job.workspace or not capacity.speed:
            return self.refusals.refuse(job, now_s, wait_s, reason)
        work_s = self.on_time.need_s
        work_s += sum(queue.need_s for queue in self.late_queues)
        refused = self.refusals.refuse_until_scheduled(
            job,
            now_s,
            capacity.wait_s(work_s) * self.placing_hosts,
            job.need_s / capacity.speed * self.placing_hosts,
            reason,
        )
        times = refused.times._replace(wait_s=wait_s)
        return refused._replace(times=times)

    def is_waiting(self, job_id: int) -> bool:
        """Whether a job is queued or deferred."""
        return job_id in self.deferral or any(
            job_id in queue.jobs for queue in self._queues()
        )

    def _queues(self) -> tuple[promptjobs.JobQueue, ...]:
        return self.on_time, *self.late_queues, self.answers.waiting

    def _submit_short(
        self, job: promptjobs.Job, now_s: float
    ) -> list[promptjobs.Decision]:
        """Place a job whose prompt the decode engine prefills itself.

        Two kinds of job are queued: one with a long answer, unless part of
        the answer was already sent to the caller, and one that has just
        failed at the only available decode engine.
        """
        if job.version is not None and not (
            self.pool.decode_engines.has_version(job.version)
        ):
            return [self.refusals.refuse(job, now_s, 0.0, VERSION_GONE_REASON)]
        if (cooldown_s := self._cooldown_s(job, now_s)) > 0:
            return self._hold(job, cooldown_s, DOWN_REASON, now_s)
        if (limit_wait_s := self._limit_wait_s(job, now_s)) > 0:
            return self._hold(job, limit_wait_s, LIMIT_REASON, now_s)
        if job.resumed or not self.answers.is_long(job.output_tokens):
            return [self._place_short(job, now_s)]
        if not len(self.answers.waiting):
            if self._available_engine(job, now_s) is not None:
                return [self._place_short(job, now_s)]
        wait_s = self.answers.wait_s(now_s)
        return self._hold(job, wait_s, SLOT_REASON, now_s)

    def _hold(
        self, job: promptjobs.Job, wait_s: float, reason: str, now_s: float
    ) -> list[promptjobs.Decision]:
        """Queue a job for a decode engine, or refuse it.

        :param wait_s: expected wait for a decode engine, in seconds
        :param reason: reason of the refusal, if the wait is too long
        """
        left_s = job.deadline_s - now_s
        if wait_s > left_s * self.settings.max_wait_share:
            return [self.refusals.refuse(job, now_s, wait_s, reason)]
        self.answers.waiting.put(job)
        return []

    def _limit_wait_s(self, job: promptjobs.Job, now_s: float) -> float:
        """Return the wait for the rate limits of the decode engines.

        The jobs in the queue go first.
        """
        decode_engines = self.pool.decode_engines
        wait_s = decode_engines.limit_wait_s(job.avoid, now_s, job.version)
        if not wait_s:
            return 0.0
        rate_s = decode_engines.rate_s(now_s)
        return wait_s + len(self.answers.waiting) / rate_s

    def _cooldown_s(self, job: promptjobs.Job, now_s: float) -> float:
        """Return the remaining cooldown of a decode engine that failed a job.

        Zero or less if the job may be sent to a decode engine now.  The
        engine that failed the job is chosen again only if no other decode
        engine is available.  If it were retried at the same engine at once,
        a job would use up its attempts within some hundredths of a second
        while the engine is down for a second or two.
        """
        if not job.avoid:
            return 0.0
        engine = self.pool.decode_engines.choose_for_short_prompt(
            job.avoid, now_s, job.version, self._pause_s(job)
        )
        if engine is None or engine.endpoint.id not in job.avoid:
            return 0.0
        return engine.cooldown_until_s - now_s

    def _place_queued_short(
        self, now_s: float, decisions: list[promptjobs.Decision]
    ) -> None:
        """Place queued jobs with short prompts on free decode slots.

        A job that can't be placed yet holds back those behind it, unless it
        waits for engines of its version.
        """
        waiting = self.answers.waiting
        for job in list(waiting.jobs.values()):
            if self._can_place_short(job, now_s):
                waiting.pop(job.id)
                decisions.append(self._place_short(job, now_s))
            elif job.version is None:
                return

    def _can_place_short(self, job: promptjobs.Job, now_s: float) -> bool:
        if self._cooldown_s(job, now_s) > 0:
            return False
        decode_engines = self.pool.decode_engines
        if decode_engines.limit_wait_s(job.avoid, now_s, job.version) > 0:
            return False
        is_long = self.answers.is_long(job.output_tokens)
        if job.version is not None or not is_long:
            return True
        return self._available_engine(job, now_s) is not None

    def _available_engine(
        self, job: promptjobs.Job, now_s: float
    ) -> enginemodel.EngineModel | None:
        return self.answers.available_engine(
            job.avoid, now_s, self._pause_s(job)
        )

    def _pause_s(self, job: promptjobs.Job) -> float:
        """Return the pause that the engine of a job is to keep, in seconds.

        0 for a short answer, whose value depends on the first event.
        """
        return job.pause_s if self.answers.is_long(job.output_tokens) else 0.0

    def _put_late(self, job: promptjobs.Job) -> None:
        self._late_queue(job).put(job)

    def _late_queue(self, job: promptjobs.Job) -> promptjobs.JobQueue:
        """Return the queue of a late job.

        One that was refused before has priority, as its caller does not retry
        again, but not before those whose size is underserved.
        """
        if job.underserved:
            return self.underserved
        return self.resubmitted if job.is_retry else self.late

    def withdraw(self, job_id: int, now_s: float) -> list[promptjobs.Decision]:
        """Drop a job that its caller cancelled or its host places itself."""
        self.deferral.pop(job_id)
        for queue in self._queues():
            queue.pop(job_id)
        return self.record_end(job_id, now_s)

    def record_prefill_done(
        self, job_id: int, engine_id: str, now_s: float
    ) -> list[promptjobs.Decision]:
        """Record that an engine has completed the prefill of a job."""
        self.prefills.pop(job_id, None)
        self.pool.record_prefill_done(job_id, engine_id, now_s)
        return self.place_queued(now_s)

    def release_job(
        self, job_id: int, now_s: float
    ) -> list[promptjobs.Decision]:
        """Stop accounting for a job that another leader takes over."""
        prefill = self.prefills.pop(job_id, None)
        if prefill is not None:
            self.pool.drop_prefill(job_id, prefill.engine, now_s)
        self.answers.release(job_id, now_s)
        return self.place_queued(now_s)

    def record_end(
        self, job_id: int, now_s: float
    ) -> list[promptjobs.Decision]:
        """Record that a job's answer is complete, or was aborted."""
        prefill = self.prefills.pop(job_id, None)
        if prefill is not None:
            self.pool.drop_prefill(job_id, prefill.engine, now_s)
        self.answers.record_end(job_id, now_s)
        return self.place_queued(now_s)

    def record_failure(
        self, job_id: int, engine_id: str, now_s: float
    ) -> list[promptjobs.Decision]:
        """Record that an engine refused a job or could not be reached.

        Where the prompt was to be fetched from another engine's cache, that
        engine is held at fault, and fetches from it are suspended.
        """
        prefill = self.prefills.pop(job_id, None)
        self.answers.release(job_id, now_s)
        if prefill is not None and prefill.source is not None:
            self.pool.suspend_fetch(prefill.source, now_s)
            self.pool.drop_prefill(job_id, engine_id, now_s)
            return self.place_queued(now_s)
        self.pool.record_failure(engine_id, job_id, now_s)
        return self.place_queued(now_s)

    def find_stalled(self, now_s: float) -> list[str]:
        """Return the ids of engines whose prefill makes no progress.

        The prompts sent to them should be placed elsewhere.
        """
        return self.pool.find_stalled(now_s)

    def record_kv_transfer(
        self, engine_id: str, took_s: float, now_s: float
    ) -> list[promptjobs.Decision]:
        """Record the first event of an answer after a KV transfer.

        :param engine_id: the decode engine
        :param took_s: seconds from the end of prefill to the first event
        """
        self.pool.decode_engines.record_kv_transfer(engine_id, took_s, now_s)
        return []

    def record_rejection(
        self,
        job_id: int,
        prefill_engine_id: str,
        decode_engine_id: str,
        now_s: float,
    ) -> list[promptjobs.Decision]:
        """Record that a decode engine rejected a prefilled request."""
        self.answers.release(job_id, now_s)
        self.pool.record_rejection(prefill_engine_id, decode_engine_id, now_s)
        return self.place_queued(now_s)

    # Queues.

    def place_queued(self, now_s: float) -> list[promptjobs.Decision]:
        """Place queued jobs on open engines; refuse those that are too late.

        :returns: the decisions made in this pass
        """
        decisions: list[promptjobs.Decision] = []
        self.pool.refresh(now_s)
        if self._has_no_decode_engine(now_s):
            return self._refuse_waiting(now_s)
        self.deferral.resume(now_s)
        self.answers.expire(now_s)
        self._place_queued_short(now_s, decisions)
        self._update_queues(now_s, decisions)
        skipped: list[tuple[promptjobs.JobQueue, promptjobs.Job]] = []
        while (
            self.pool.has_open_engine()
            and (found := self._next_job(now_s)) is not None
        ):
            queue, job = found
            option = self.pool.best_option(
                job.parts,
                job.avoid,
                now_s,
                job.pause_s,
                self.answers.is_long(job.output_tokens),
            )
            if option is None:
                if not job.avoid or len(skipped) >= MAX_SKIPPED_JOBS:
                    break
                # Jobs behind this one may still fit on the open engines.
                queue.pop(job.id)
                skipped.append((queue, job))
                continue
            queue.pop(job.id)
            if self.deferral.try_defer(job, option, queue, now_s):
                continue
            self.placements += 1
            decisions.append(self._place(job, option, now_s))
        for queue, job in reversed(skipped):
            queue.put_back(job)
        return decisions

    def wake_s(self, now_s: float) -> float | None:
        """Return when to call :meth:`place_queued` if no event comes first.

        :returns: a moment in seconds, or None if no job is queued
        """
        latest_s = now_s + PLACEMENT_INTERVAL_S
        next_resume_s = self.deferral.next_resume_s()
        if next_resume_s is not None:
            latest_s = min(latest_s, max(now_s, next_resume_s))
        if self._next_queue() is None:
            waits = next_resume_s is not None or len(self.answers.waiting)
            return latest_s if waits else None
        next_opening_s = self.pool.next_opening_s()
        if next_opening_s is None:
            return latest_s
        return max(now_s + 0.001, min(next_opening_s, latest_s))

    def _next_queue(self) -> promptjobs.JobQueue | None:
        late = next((each for each in self.late_queues if each), self.late)
        if not len(self.on_time):
            return late if len(late) else None
        if (
            len(late)
            and self.placements % self.settings.late_placement_interval == 0
        ):
            return late
        return self.on_time

    def _next_job(
        self, now_s: float
    ) -> tuple[promptjobs.JobQueue, promptjobs.Job] | None:
        """Return the job to place next, and its queue."""
        queue = self._next_queue()
        if queue is None:
            return None
        ranks = set(self.on_time.ranks)
        for each in self.late_queues:
            ranks.update(each.ranks)
        if len(ranks) == 1:
            return queue, queue.first()
        interval = self.settings.least_urgent_interval
        if self.placements % interval == LEAST_URGENT_TURN:
            return self._first_of((self.on_time, *self.late_queues), ranks)
        if queue is self.on_time:
            return queue, self.on_time.next_by_rank(now_s)
        late = self.late_queues
        rank = min(min(each.ranks) for each in late if each)
        return self._first_of(late, {rank})

    def _first_of(
        self, queues: tuple[promptjobs.JobQueue, ...], ranks: set[int]
    ) -> tuple[promptjobs.JobQueue, promptjobs.Job]:
        """Return the first job of the least urgent of some ranks."""
        rank = max(ranks)
        queue = next(each for each in queues if rank in each.ranks)
        return queue, queue.first_of(rank)

    def _update_queues(
        self, now_s: float, decisions: list[promptjobs.Decision]
    ) -> None:
        """Demote jobs that can't be on time; refuse those past their wait."""
        while len(self.on_time):
            job = self.on_time.first()
            if now_s <= job.latest_start_s:
                break
            self.on_time.pop(job.id)
            self._put_late(job)
        if now_s - self.late_checked_s < LATE_CHECK_INTERVAL_S:
            return
        self.late_checked_s = now_s
        self.sizes.update(now_s)
        self._demote_late(now_s, decisions)
        self._shed_waiting(now_s, decisions)
        self._shed_late(now_s, decisions)

    def _demote_late(
        self, now_s: float, decisions: list[promptjobs.Decision]
    ) -> None:
        """Demote the fewest jobs such that the others meet their objective.

        Otherwise each job that is due soon would delay others past their
        objective, and under overload nearly all jobs would miss it.
        """
        capacity = self.pool.capacity(now_s)
        if not capacity.speed:
            return
        factor = self._late_wait_factor()

        def start_s(work_s: float) -> float:
            wait_s = capacity.wait_s(work_s * factor)
            return now_s + wait_s * self.placing_hosts

        waiting = self.on_time.in_order()
        for job in waiting:
            job.underserved = self.sizes.is_underserved(job)
        usage = fairshare.usage_s(waiting, self.served, now_s)
        for late, why in fairshare.give_way(waiting, start_s, usage):
            self.on_time.pop(late.id)
            refused = self._put_late_or_refuse(late, now_s, why)
            if refused is not None:
                decisions.append(refused)

    def _late_wait_factor(self) -> float:
        """Return the factor by which late jobs' placements lengthen a wait."""
        if any(self.late_queues):
            return 1 + 1 / (self.settings.late_placement_interval - 1)
        return 1.0

    def _shed_waiting(
        self, now_s: float, decisions: list[promptjobs.Decision]
    ) -> None:
        """Refuse jobs that have used up their time to wait for a slot."""
        waiting = self.answers.waiting
        for job in list(waiting.jobs.values()):
            if _has_waited(job, self.settings.max_wait_share, now_s):
                waiting.pop(job.id)
                wait_s = self.answers.wait_s(now_s)
                refused = self.refusals.refuse(job, now_s, wait_s, SLOT_REASON)
                decisions.append(refused)

    def _shed_late(
        self, now_s: float, decisions: list[promptjobs.Decision]
    ) -> None:
        """Refuse late jobs whose first event would miss their deadline."""
        capacity = self.pool.capacity(now_s)
        if not capacity.speed:
            return
        late_share = self._late_share(capacity, now_s)
        ahead_s = 0.0
        for queue in self.late_queues:
            for job in list(queue.jobs.values()):
                wait_s = capacity.wait_s(ahead_s / late_share)
                wait_s *= self.placing_hosts
                ends_s = now_s + wait_s + job.need_s + self.settings.reserve_s
                reason = TOO_LATE_REASON
                wait_share = self._late_wait_share(job)
                if self.pool.limits_bind and _has_waited(
                    job, wait_share, now_s
                ):
                    reason = LIMIT_REASON
                elif ends_s <= job.deadline_s:
                    ahead_s += job.need_s
                    continue
                queue.pop(job.id)
                if reason is LIMIT_REASON:
                    refused = self.refusals.refuse(job, now_s, wait_s, reason)
                else:
                    refused = self._refuse_until_scheduled(
                        job, now_s, wait_s, reason
                    )
                decisions.append(refused)

    def _late_wait_share(self, job: promptjobs.Job) -> float:
        """Return the share of its time for which a late job may queue.

        Rate limits of a few requests per second leave waits that can't be
        forecast, so a job that was not refused before is refused soon.
        """
        if self.pool.limits_bind and not job.is_retry:
            return self.settings.limited_wait_share
        return self.settings.max_wait_share

    def _due_s(self, job: promptjobs.Job) -> float:
        """Return when the prefill has to be complete to meet the objective."""
        latency_s = self.pool.costs[catalog.Stage.PREFILL].latency_s
        return job.objective_s - self.settings.reserve_s - latency_s

    def _wait_s(self, job: promptjobs.Job, now_s: float) -> float:
        """Return the expected wait of a job that can still be on time."""
        capacity = self.pool.capacity(now_s)
        if not capacity.speed:
            return refusals.NO_ENGINE_S
        work_s = self.on_time.need_before_s(job.latest_start_s)
        work_s *= self._late_wait_factor()
        return capacity.wait_s(work_s) * self.placing_hosts

    def _late_wait_s(self, now_s: float, job: promptjobs.Job) -> float:
        """Return the expected wait of a late job until it is placed.

        Jobs that can be on time go first.  Late jobs get the capacity that
        remains, and at least one of ``late_placement_interval`` placements,
        those whose size is underserved before others.
        """
        capacity = self.pool.capacity(now_s)
        if not capacity.speed:
            return refusals.NO_ENGINE_S
        ahead = self.late_queues
        if job.underserved:
            ahead = (self.returned, self.underserved)
        late_s = sum(queue.need_s for queue in ahead)
        work_s = self.on_time.need_s
        work_s += late_s / self._late_share(capacity, now_s)
        return capacity.wait_s(work_s) * self.placing_hosts

    def _late_share(
        self, capacity: capacities.Capacity, now_s: float
    ) -> float:
        """Return the share of prefill capacity that is left for late jobs."""
        taken = (
            self.on_time_demand.now(now_s)
            * self.placing_hosts
            / capacity.speed
        )
        return max(1 / self.settings.late_placement_interval, 1 - taken)

    # Placement and refusal.

    def _place(
        self, job: promptjobs.Job, option: enginepool.Option, now_s: float
    ) -> promptjobs.Placed:
        self.pool.assign(job.id, job.parts, option, now_s)
        prefill, decode_engine = option.prefill_engine, option.decode_engine
        self._learn_bias(job, option)
        self.served.charge(job.workspace, job.need_s, now_s)
        self.sizes.record_placement(job, now_s)
        source = option.source
        self.prefills[job.id] = _Prefill(
            prefill.endpoint.id,
            source.endpoint.id if source is not None else None,
        )
        is_long = self._begin_run(job, decode_engine.endpoint.id, now_s)
        return promptjobs.Placed(
            job.id,
            prefill.endpoint.id if decode_engine is not prefill else None,
            decode_engine.endpoint.id,
            source.endpoint.address if source is not None else None,
            option.tokens,
            option.ready_s - now_s,
            is_long,
        )

    def _learn_bias(
        self, job: promptjobs.Job, option: enginepool.Option
    ) -> None:
        """Update the ratio of prefill time at placement to the estimate.

        The estimate on arrival assumes that a prompt goes to the engine that
        caches most of it.  Often that engine is busy, and cached parts are
        prefilled again or fetched.  Without the ratio too many jobs are
        admitted, and all of them are late.
        """
        took_s = option.prefill_s / self.pool.relative_cost(
            option.prefill_engine
        )
        ratio = took_s / max(job.need_s / self.bias, 0.0005)
        ratio = min(4.0, max(0.5, ratio))
        self.bias += BIAS_WEIGHT * (ratio - self.bias)

    def _place_short(
        self, job: promptjobs.Job, now_s: float
    ) -> promptjobs.Decision:
        """Place a job with a short prompt on a decode engine, or refuse it."""
        engine = self.pool.decode_engines.choose_for_short_prompt(
            job.avoid, now_s, job.version, self._pause_s(job)
        )
        if engine is None:
            return self.refusals.refuse_without_decode_engine(job, now_s)
        self.pool.assign_short(engine, now_s)
        engine_id = engine.endpoint.id
        cached = self.pool.caches.cached_prefixes(job.parts)
        missing = job.tokens - cached.tokens(engine_id)
        self.pool.caches.use(engine_id, job.parts)
        is_long = self._begin_run(job, engine_id, now_s)
        expected_s = engine.expected_s(missing)
        backup = None
        if job.backed_up:
            backup = streambackup.choose(
                self.pool.engines.values(), engine, job, now_s
            )
        return promptjobs.Placed(
            job.id,
            None,
            engine_id,
            None,
            missing,
            expected_s,
            is_long,
            backup.endpoint.id if backup is not None else None,
        )

    def _has_no_decode_engine(self, now_s: float) -> bool:
        available = self.pool.decode_engines.has_any()
        self.refusals.record_availability(available, now_s)
        return not available

    def _refuse_waiting(self, now_s: float) -> list[promptjobs.Decision]:
        """Refuse all queued and deferred jobs, as there is no decode engine.

        Left in the queues they would wait until their deadline: nothing can
        be placed, and few callers have as much time left as an engine needs
        to change its stage.
        """
        waiting = self.deferral.pop_all()
        for queue in self._queues():
            waiting += [queue.pop(job_id) for job_id in list(queue.jobs)]
        return [
            self.refusals.refuse_without_decode_engine(job, now_s)
            for job in waiting
        ]

    def _begin_run(
        self, job: promptjobs.Job, engine_id: str, now_s: float
    ) -> bool:
        """Reserve a decode slot if the answer is long.

        :returns: whether the answer is long
        """
        if not self.answers.is_long(job.output_tokens):
            return False
        self.answers.reserve_slot(job.id, engine_id, job.output_tokens, now_s)
        return True


def _has_waited(job: promptjobs.Job, share: float, now_s: float) -> bool:
    """Whether a job has queued for a share of the time until its deadline."""
    return now_s - job.submitted_s > share * (job.deadline_s - job.submitted_s)
