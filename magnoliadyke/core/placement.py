"""Which engine reads a prompt, which one answers it, and when it is refused.

The load that this answers: prompts of thousands of tokens, of which two
thirds are shared with others, come in bursts of seconds at up to twice what
the engines can read.  Reading is what is scarce; answers are short.

One place decides for all hosts of a service, so it knows what each engine
has been given.  Prompts wait here, not at the engines: the order can still
change, a caller that leaves costs nothing, and who can't be served is told
at once.  An engine gets the next prompt a little before it has read the one
before, enough to cover the way there and back.
"""

import collections
import dataclasses
from typing import Any
from typing import NamedTuple

from magnoliadyke.core import catalog
from magnoliadyke.core import enginemodel
from magnoliadyke.core import limits
from magnoliadyke.core import promptcache
from magnoliadyke.core import routes
from magnoliadyke.core import stageplan

__all__ = [
    'Job',
    'Placed',
    'Placement',
    'PlacementSettings',
    'Refused',
]


class PlacementSettings(NamedTuple):
    """Constants of the placement.

    :param ahead_s: an engine gets its next prompt this long before it is
        expected to be free: a report and a placement take two hops each
    :param most_ahead: prompts at one engine, for when the forecast is off
    :param reserve_s: kept free between the forecast and the objective, for
        hops to the caller and back and the first step of the answer
    :param short_tokens: prompts up to this size are read beside the answers
        of others without delaying them
    :param hold_share: share of a caller's time that it may wait here for a
        place that comes too late for its objective
    :param fetch_gain: a cached part is fetched from another engine if that
        takes less than this share of the time to read it again
    :param late_turn: one of so many places goes to a request that is late
        already; without it a long burst would leave them all unserved
    :param long_run_s: answers that take longer than this are kept away from
        engines that read prompts beside them: each step of the answer would
        wait for a piece of a prompt, and its pauses grow several times over
    """

    ahead_s: float = 0.008
    most_ahead: int = 8
    reserve_s: float = 0.030
    short_tokens: int = 1200
    hold_share: float = 0.35
    fetch_gain: float = 0.6
    late_turn: int = 6
    long_run_s: float = 0.3


#: What a transfer takes before its first byte, in seconds; measured by the
#: engines' own description at under a thousandth.
TRANSFER_SETUP_S = 0.0007
#: Transfers between failure domains take twice as long.
REMOTE_FACTOR = 2.0
#: Part of the memory that cached parts may fill; running requests use the
#: rest.
CACHE_SHARE = 0.9
#: An engine that failed a send rests this long, doubled each time in a row.
REST_S = 0.5
MAX_REST_S = 4.0
#: Slots counted as taken no longer than this without word of the end.
RUN_LOST_S = 20.0
#: Seconds for each token of an answer before any was measured.
PRIOR_OUTPUT_S = 0.02
#: Weight of a new answer in that figure.
OUTPUT_WEIGHT = 0.1
#: Late jobs are looked through this often, in seconds: a wait that grows by
#: this much costs no caller anything.
SORT_S = 0.02
#: Time constant of measured demand, in seconds: half a swing of the load.
DEMAND_S = 1.5
#: Shortest time to tell a refused caller to stay away, in seconds.
MIN_RETRY_S = 0.1
#: Largest part of its remaining time that a caller can be asked to wait.
MAX_RETRY_SHARE = 1 / 3


@dataclasses.dataclass(slots=True)
class Job:
    """A request that needs an engine.

    :param objective_s: moment at which its first event is due
    :param deadline_s: moment at which its caller gives up
    :param returning: it has been refused before
    :param resumed: part of its answer was given by another engine
    :param avoid: engines that failed it
    """

    id: int
    parts: tuple[promptcache.PromptPart, ...]
    output_tokens: int
    objective_s: float
    deadline_s: float
    failure_domain: str
    returning: bool = False
    resumed: bool = False
    avoid: tuple[str, ...] = ()
    tokens: int = 0

    def __post_init__(self) -> None:
        self.tokens = promptcache.total_tokens(self.parts)


class Placed(NamedTuple):
    """Where a job goes.

    :param prefill: engine that reads the prompt; None if ``run`` does
    :param run: engine that answers
    :param fetch_from: address of an engine that keeps more of the prompt
        than the reader does
    :param read_tokens: tokens expected to be read
    :param expected_s: time until they are read
    """

    job: int
    prefill: str | None
    run: str
    fetch_from: str | None
    read_tokens: int
    expected_s: float


class Refused(NamedTuple):
    """The job is not placed; come back after so many seconds."""

    job: int
    retry_after_s: float
    reason: str


Decision = Placed | Refused


@dataclasses.dataclass(slots=True)
class _Run:
    """An answer under way.

    :ivar lost_s: when it is given up for lost
    :ivar long: it takes long enough to be disturbed by prompts
    """

    engine: str
    begun_s: float
    lost_s: float
    output_tokens: int
    long: bool


@dataclasses.dataclass(slots=True)
class _Option:
    """One way to serve a job."""

    reader: enginemodel.EngineModel
    runner: enginemodel.EngineModel
    source: enginemodel.EngineModel | None
    tokens: int
    fetch_s: float
    ready_s: float
    cost_s: float


class Placement:
    """Places the requests of one model service.

    :param rng: source of randomness, with ``random()``
    :param sharers: hosts that place on these engines at the same time, each
        without knowing of the others; 1 when this is the only place
    """

    def __init__(
        self,
        traits: routes.EngineTraits,
        rng: Any,
        settings: PlacementSettings | None = None,
        sharers: int = 1,
    ) -> None:
        self.traits = traits
        self.rng = rng
        self.settings = settings or PlacementSettings()
        self.sharers = sharers
        self.engines: dict[str, enginemodel.EngineModel] = {}
        self.costs = {
            stage: enginemodel.ReadingCost() for stage in catalog.Stage
        }
        self.fresh: collections.OrderedDict[int, Job] = (
            collections.OrderedDict()
        )
        self.late: collections.OrderedDict[int, Job] = (
            collections.OrderedDict()
        )
        self.returned: collections.OrderedDict[int, Job] = (
            collections.OrderedDict()
        )
        self.sorted_s = 0.0
        self.turns = 0
        self.runs: dict[int, _Run] = {}
        self.output_s = PRIOR_OUTPUT_S
        self.asked = limits.Rate(DEMAND_S, 0.0)
        self.asked_fresh = limits.Rate(DEMAND_S, 0.0)

    # The engines.

    def set_engines(self, endpoints: list[catalog.Endpoint]) -> None:
        """Take the engines that may be given work.

        One that left keeps nothing: it would come back without its memory.
        """
        listed = {each.id: each for each in endpoints}
        for gone in [e for e in self.engines if e not in listed]:
            del self.engines[gone]
        for endpoint in endpoints:
            model = self.engines.get(endpoint.id)
            if model is None:
                self.engines[endpoint.id] = self._new_engine(endpoint)
            else:
                if model.endpoint.stage is not endpoint.stage:
                    model.slowness = 1.0
                    model.cost = self.costs[endpoint.stage]
                    model.rest_until_s = 0.0
                model.endpoint = endpoint

    def change_stage(
        self, engine_id: str, stage: catalog.Stage, until_s: float
    ) -> None:
        """An engine was ordered to change; it takes no work until it has."""
        engine = self.engines.get(engine_id)
        if engine is not None and engine.endpoint.stage is not stage:
            engine.rest_until_s = until_s

    def busyness(self, engine_id: str, now_s: float) -> tuple[float, float]:
        """How much would wait for an engine that changes its stage."""
        engine = self.engines.get(engine_id)
        if engine is None:
            return (0.0, 0.0)
        return (len(engine.runs), engine.free_s(now_s) - now_s)

    def load(self, now_s: float) -> stageplan.Load:
        """What is asked of the engines now, refused work included."""
        answering = sum(1 for run in self.runs.values() if run.long)
        return stageplan.Load(
            self.asked.now(now_s), answering, self.traits.slots
        )

    def figures(self) -> dict[str, str]:
        """What has been learned, for the log."""
        found = {}
        for stage, cost in self.costs.items():
            if stage is not catalog.Stage.NONE:
                found[stage.value] = (
                    f'{cost.fit.base * 1e3:.2f}ms+'
                    f'{cost.fit.slope * 1e6:.2f}us+'
                    f'{cost.latency_s * 1e3:.1f}ms'
                )
        for engine in self.engines.values():
            found[engine.endpoint.id] = (
                f'{engine.endpoint.stage.value}/{engine.slowness:.2f}/'
                f'{len(engine.readings)}/{engine.long_runs}/{len(engine.runs)}'
            )
        return found

    def _new_engine(
        self, endpoint: catalog.Endpoint
    ) -> enginemodel.EngineModel:
        return enginemodel.EngineModel(
            endpoint,
            self.traits.cache_tokens * CACHE_SHARE,
            self.costs[endpoint.stage],
        )

    def _readers(
        self, stage: catalog.Stage, now_s: float
    ) -> list[enginemodel.EngineModel]:
        return [
            engine
            for engine in self.engines.values()
            if engine.endpoint.stage is stage and engine.rest_until_s <= now_s
        ]

    # Jobs.

    def submit(self, job: Job, now_s: float) -> list[Decision]:
        """Take a job: it is placed, refused, or waits."""
        if job.resumed or job.tokens <= self.settings.short_tokens:
            return [self._place_short(job, now_s)]
        need_s = self._typical_s(job)
        self.asked.add(need_s, now_s)
        if now_s + self._wait_s(now_s) + need_s <= self._due_s(job):
            self.asked_fresh.add(need_s, now_s)
            self.fresh[job.id] = job
            return self.pump(now_s)
        wait_s = self._late_wait_s(now_s)
        left_s = job.deadline_s - now_s
        if wait_s + need_s > left_s * self.settings.hold_share:
            return [self._refuse(job, now_s, wait_s, 'no room in time')]
        self._put_late(job)
        return self.pump(now_s)

    def waits(self, job_id: int) -> bool:
        """Whether a job is in a queue."""
        return any(
            job_id in queue for queue in (self.fresh, self.returned, self.late)
        )

    def _put_late(self, job: Job) -> None:
        """Who has been refused before goes first: it has no further try."""
        queue = self.returned if job.returning else self.late
        queue[job.id] = job

    def withdraw(self, job_id: int, now_s: float) -> None:
        """The caller has left, or the host takes the job elsewhere."""
        for queue in (self.fresh, self.returned, self.late):
            queue.pop(job_id, None)
        for engine in self.engines.values():
            engine.forget(job_id, now_s)
        self._end_run(job_id)

    def has_read(
        self, job_id: int, engine_id: str, now_s: float
    ) -> list[Decision]:
        """An engine has read a job's prompt."""
        engine = self.engines.get(engine_id)
        if engine is not None:
            engine.read(job_id, now_s)
            engine.failures = 0
        return self.pump(now_s)

    def ended(self, job_id: int, now_s: float) -> list[Decision]:
        """A job's answer is complete, or was broken off."""
        for engine in self.engines.values():
            engine.forget(job_id, now_s)
        run = self._end_run(job_id)
        if run is not None and run.output_tokens > 0:
            took_s = (now_s - run.begun_s) / run.output_tokens
            self.output_s += OUTPUT_WEIGHT * (took_s - self.output_s)
        return self.pump(now_s)

    def _begin_run(
        self, job: Job, engine: enginemodel.EngineModel, now_s: float
    ) -> None:
        engine.runs.add(job.id)
        expected_s = job.output_tokens * self.output_s
        self.runs[job.id] = _Run(
            engine.endpoint.id,
            now_s,
            now_s + RUN_LOST_S,
            job.output_tokens,
            expected_s > self.settings.long_run_s,
        )
        if self.runs[job.id].long:
            engine.long_runs += 1

    def _end_run(self, job_id: int) -> _Run | None:
        run = self.runs.pop(job_id, None)
        if run is None:
            return None
        engine = self.engines.get(run.engine)
        if engine is not None and job_id in engine.runs:
            engine.runs.discard(job_id)
            if run.long:
                engine.long_runs -= 1
        return run

    def failed(
        self, job_id: int, engine_id: str, now_s: float
    ) -> list[Decision]:
        """An engine refused a job, or could not be reached."""
        engine = self.engines.get(engine_id)
        if engine is not None:
            engine.forget(job_id, now_s)
            self._end_run(job_id)
            engine.failures += 1
            rest_s = REST_S * 2 ** min(engine.failures - 1, 3)
            engine.rest_until_s = now_s + min(rest_s, MAX_REST_S)
        return self.pump(now_s)

    # Choosing.

    def pump(self, now_s: float) -> list[Decision]:
        """Place what can be placed now; refuse what can't be in time."""
        decisions: list[Decision] = []
        for engine in self.engines.values():
            engine.expire(now_s)
        self._expire_runs(now_s)
        self._sort_out(now_s, decisions)
        while (queue := self._next_queue()) is not None:
            job = next(iter(queue.values()))
            option = self._best(job, now_s, only_free=True)
            if option is None:
                break
            del queue[job.id]
            self.turns += 1
            decisions.append(self._take(job, option, now_s))
        return decisions

    def _expire_runs(self, now_s: float) -> None:
        """Give up runs of which no end was reported, the oldest first."""
        for job_id, run in list(self.runs.items()):
            if run.lost_s > now_s:
                break
            self._end_run(job_id)

    def wake_s(self, now_s: float) -> float | None:
        """When :meth:`pump` has something to do without further word."""
        if self._next_queue() is None:
            return None
        frees = [
            e.free_s(now_s) - self.settings.ahead_s
            for e in self.engines.values()
            if len(e.readings) < self.settings.most_ahead
        ]
        soonest_s = min(frees, default=now_s + 0.05)
        return max(now_s + 0.001, min(soonest_s, now_s + 0.05))

    def _next_queue(self) -> collections.OrderedDict[int, Job] | None:
        late = self.returned or self.late
        if not self.fresh:
            return late or None
        if late and self.turns % self.settings.late_turn == 0:
            return late
        return self.fresh

    def _sort_out(self, now_s: float, decisions: list[Decision]) -> None:
        """Move on whoever has waited too long for its queue."""
        for job in list(self.fresh.values()):
            if now_s + self._typical_s(job) <= self._due_s(job):
                break
            del self.fresh[job.id]
            self._put_late(job)
        if now_s - self.sorted_s < SORT_S:
            return
        self.sorted_s = now_s
        speed, given_s = self._capacity(now_s)
        if not speed:
            return
        speed *= self._late_share(speed, now_s)
        ahead_s = given_s
        for queue in (self.returned, self.late):
            for job in list(queue.values()):
                need_s = self._typical_s(job)
                ends_s = now_s + ahead_s / speed * self.sharers + need_s
                if ends_s + self.settings.reserve_s <= job.deadline_s:
                    ahead_s += need_s
                    continue
                del queue[job.id]
                wait_s = ahead_s / speed
                decisions.append(self._refuse(job, now_s, wait_s, 'too late'))

    def _due_s(self, job: Job) -> float:
        return job.objective_s - self.settings.reserve_s

    def _typical_s(self, job: Job) -> float:
        """Reading time of a job at the engine that can do it soonest."""
        best_s = None
        for engine in self.engines.values():
            missing = job.tokens - engine.cache.cached_tokens(job.parts)
            expected_s = engine.expected_s(missing)
            if best_s is None or expected_s < best_s:
                best_s = expected_s
        return best_s if best_s is not None else 0.0

    def _wait_s(self, now_s: float) -> float:
        """Time until the engines have read what they have and the queue of
        those that can still be in time."""
        speed, given_s = self._capacity(now_s)
        if not speed:
            return 1.0
        return (given_s + self._queue_s(self.fresh)) / speed * self.sharers

    def _late_wait_s(self, now_s: float) -> float:
        """Time until one who is late already gets a place.

        Those who can be in time go first, so the late have what these leave
        over, and one turn in several at least.
        """
        speed, given_s = self._capacity(now_s)
        if not speed:
            return 1.0
        ahead_s = (given_s + self._queue_s(self.fresh)) / speed
        late_s = self._queue_s(self.returned) + self._queue_s(self.late)
        late_s /= speed * self._late_share(speed, now_s)
        return (ahead_s + late_s) * self.sharers

    def _late_share(self, speed: float, now_s: float) -> float:
        """Part of the engines' time that is left for late prompts."""
        taken = self.asked_fresh.now(now_s) * self.sharers / speed
        return max(1 / self.settings.late_turn, 1 - taken)

    def _capacity(self, now_s: float) -> tuple[float, float]:
        """Reading speed of all, in engines, and what they have to read."""
        speed = 0.0
        given_s = 0.0
        for engine in self.engines.values():
            if engine.rest_until_s > now_s or self._answers_only(engine):
                continue
            share = 1 / self._relative(engine)
            speed += share
            given_s += (engine.free_s(now_s) - now_s) * share
        return speed, given_s

    def _answers_only(self, engine: enginemodel.EngineModel) -> bool:
        """It gives long answers, which prompts would disturb."""
        return engine.long_runs > 0

    def _relative(self, engine: enginemodel.EngineModel) -> float:
        """How much longer an engine takes than an ideal prefill engine."""
        reference_s = self.costs[catalog.Stage.PREFILL].seconds(4000)
        return max(0.2, engine.expected_s(4000) / reference_s)

    def _queue_s(self, queue: collections.OrderedDict[int, Job]) -> float:
        if not queue:
            return 0.0
        cost = self.costs[catalog.Stage.PREFILL]
        mean = sum(job.tokens for job in queue.values()) / len(queue)
        return cost.seconds(mean * self._uncached_share()) * len(queue)

    def _uncached_share(self) -> float:
        return 0.45

    def _best(self, job: Job, now_s: float, only_free: bool) -> _Option | None:
        best: _Option | None = None
        best_score = 0.0
        prefills = self._readers(catalog.Stage.PREFILL, now_s)
        decodes = self._readers(catalog.Stage.DECODE, now_s)
        runner = self._runner(decodes, job, now_s)
        for reader in prefills if runner is not None else ():
            option = self._option(job, reader, runner, now_s, only_free)
            if option is None:
                continue
            score = option.ready_s + option.cost_s
            if best is None or score < best_score:
                best, best_score = option, score
        for reader in decodes:
            if self._answers_only(reader):
                continue
            option = self._option(job, reader, reader, now_s, only_free)
            if option is None:
                continue
            score = option.ready_s + option.cost_s
            if best is None or score < best_score:
                best, best_score = option, score
        return best

    def _option(
        self,
        job: Job,
        reader: enginemodel.EngineModel,
        runner: enginemodel.EngineModel,
        now_s: float,
        only_free: bool,
    ) -> _Option | None:
        if reader.endpoint.id in job.avoid or runner.endpoint.id in job.avoid:
            return None
        free_s = reader.free_s(now_s)
        if only_free and not self._has_room(reader, free_s, now_s):
            return None
        cached = reader.cache.cached_tokens(job.parts)
        source, tokens, fetch_s = self._source(job, reader, cached)
        read_s = reader.expected_s(tokens) + fetch_s
        ready_s = free_s + enginemodel.HOP_S + read_s + reader.cost.latency_s
        cost_s = read_s
        if runner is not reader:
            move_s = self._transfer_s(reader, runner, job.tokens)
            ready_s = max(ready_s, runner.transfer_until_s) + move_s
            cost_s += move_s
        return _Option(
            reader, runner, source, tokens, fetch_s, ready_s, cost_s
        )

    def _has_room(
        self, reader: enginemodel.EngineModel, free_s: float, now_s: float
    ) -> bool:
        if not reader.readings:
            return True
        if len(reader.readings) >= self.settings.most_ahead:
            return False
        return free_s - now_s <= self.settings.ahead_s

    def _source(
        self, job: Job, reader: enginemodel.EngineModel, cached: int
    ) -> tuple[enginemodel.EngineModel | None, int, float]:
        """Another engine to fetch cached parts from, if that is quicker.

        :returns: the engine or None, tokens left to read, time to fetch
        """
        missing = job.tokens - cached
        best = None
        best_tokens = cached
        for engine in self.engines.values():
            if engine is reader:
                continue
            kept = engine.cache.cached_tokens(job.parts)
            if kept > best_tokens:
                best, best_tokens = engine, kept
        if best is None:
            return None, missing, 0.0
        gained = best_tokens - cached
        saved_s = reader.expected_s(gained) - reader.expected_s(0)
        fetch_s = self._transfer_s(best, reader, gained)
        if fetch_s > saved_s * self.settings.fetch_gain:
            return None, missing, 0.0
        return best, missing - gained, fetch_s

    def _transfer_s(
        self,
        source: enginemodel.EngineModel,
        target: enginemodel.EngineModel,
        tokens: int,
    ) -> float:
        bits = tokens * self.traits.bytes_per_token * 8
        rate = self.traits.link_bits_s or 1e9
        seconds = TRANSFER_SETUP_S + bits / rate
        here = source.endpoint.failure_domain
        if here != target.endpoint.failure_domain:
            return seconds * REMOTE_FACTOR
        return seconds

    def _runner(
        self,
        decodes: list[enginemodel.EngineModel],
        job: Job,
        now_s: float,
    ) -> enginemodel.EngineModel | None:
        """The engine to answer what another one has read."""
        usable = [e for e in decodes if e.endpoint.id not in job.avoid]
        if not usable:
            return None
        return min(
            usable,
            key=lambda e: (
                len(e.runs) >= e.endpoint.slots,
                max(e.transfer_until_s - now_s, 0.0)
                + (e.free_s(now_s) - now_s),
                len(e.runs),
            ),
        )

    def _take(self, job: Job, option: _Option, now_s: float) -> Placed:
        reader, runner = option.reader, option.runner
        reader.give(job.id, option.tokens, option.fetch_s, now_s)
        reader.cache.use(job.parts)
        self._begin_run(job, runner, now_s)
        prefill = None
        if runner is not reader:
            runner.cache.use(job.parts)
            runner.transfer_until_s = option.ready_s
            prefill = reader.endpoint.id
        source = option.source
        return Placed(
            job.id,
            prefill,
            runner.endpoint.id,
            source.endpoint.address if source is not None else None,
            option.tokens,
            option.ready_s - now_s,
        )

    def _place_short(self, job: Job, now_s: float) -> Decision:
        """A short prompt goes straight to an engine that answers."""
        decodes = self._readers(catalog.Stage.DECODE, now_s)
        usable = [e for e in decodes if e.endpoint.id not in job.avoid]
        if not usable:
            usable = [
                e
                for e in self.engines.values()
                if e.endpoint.stage is catalog.Stage.DECODE
            ]
        if not usable:
            return self._refuse(job, now_s, 0.2, 'no engine to answer')
        engine = min(
            usable,
            key=lambda e: self._short_order(e, now_s),
        )
        missing = job.tokens - engine.cache.cached_tokens(job.parts)
        engine.cache.use(job.parts)
        self._begin_run(job, engine, now_s)
        return Placed(
            job.id,
            None,
            engine.endpoint.id,
            None,
            missing,
            engine.expected_s(missing),
        )

    def _short_order(
        self, engine: enginemodel.EngineModel, now_s: float
    ) -> tuple[bool, float, int]:
        """Long answers share few engines, so that the others can read."""
        full = len(engine.runs) >= engine.endpoint.slots
        if full:
            return (True, engine.free_s(now_s) - now_s, len(engine.runs))
        return (False, engine.slowness > 2.0, -engine.long_runs)

    def _refuse(
        self, job: Job, now_s: float, wait_s: float, reason: str
    ) -> Refused:
        """Tell when there will be room, spread over half of that time."""
        left_s = max(0.0, job.deadline_s - now_s)
        after_s = max(MIN_RETRY_S, wait_s) * (0.75 + 0.5 * self.rng.random())
        return Refused(job.id, min(after_s, left_s * MAX_RETRY_SHARE), reason)
