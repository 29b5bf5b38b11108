"""The engines of a model service: who has room, and what a way costs."""

from collections.abc import Iterable
import dataclasses
import heapq
import itertools
from typing import NamedTuple

from magnoliadyke.core import capacity
from magnoliadyke.core import catalog
from magnoliadyke.core import decodeengines
from magnoliadyke.core import enginemodel
from magnoliadyke.core import prefillcost
from magnoliadyke.core import promptcache
from magnoliadyke.core import routes

__all__ = ['EnginePool', 'Option', 'PoolSettings']


class PoolSettings(NamedTuple):
    """Constants of the pool.

    :param ahead_s: an engine gets its next prompt this long before it is
        expected to be free, and the measured latency beside reading: the
        way there is part of that, and on narrow links most of it
    :param most_ahead: prompts at one engine, for when the forecast is off
    :param fetch_gain: a cached part is fetched from another engine if that
        takes less than this share of the time to read it again
    :param candidates: engines that are compared for one prompt, beside
        those that keep part of it, the same number of each stage; more gain
        little and cost time
    """

    ahead_s: float = 0.005
    max_ahead: int = 8
    fetch_gain: float = 0.6
    candidates: int = 12


#: What a transfer takes before its first byte, in seconds.
TRANSFER_SETUP_S = 0.0007
#: Transfers between failure domains take twice as long.
REMOTE_FACTOR = 2.0
#: What a prompt that was read elsewhere takes of the engine that answers it
#: beside the transfer, in seconds: a step for its first token, in which it
#: takes over no other.
FIRST_STEP_S = 0.005
#: Part of the memory that cached parts may fill; running requests use the
#: rest.
CACHE_SHARE = 0.9
#: An engine that failed a send rests this long, doubled each time in a row.
COOLDOWN_S = 0.5
MAX_COOLDOWN_S = 4.0
#: An engine that has served somebody within this time is not down.
RECENT_SUCCESS_S = 0.4
#: Nothing is fetched for this long from an engine whose transfers hang.
FETCH_SUSPENSION_S = 3.0
#: Two lapses of an engine's read prompts within this time make it rest for
#: this long, in seconds: it reads for nothing.
REJECTION_WINDOW_S = 1.0
REJECTION_COOLDOWN_S = 2.0
#: An engine that reads nothing is told of again after this time, in seconds,
#: while prompts wait there: the word of it may have been lost.
STALL_REPORT_INTERVAL_S = 0.5
#: Measured prompts after which the figures are no guess any more.
MIN_PROMPTS = 40
#: Prompt length at which the speeds of two engines are compared.
TYPICAL_TOKENS = 4000
#: How long a computed capacity is used, in seconds: a job more or less.
CAPACITY_MAX_AGE_S = 0.01
#: Holders of a part that are considered for fetching it.
MAX_SOURCES = 3


@dataclasses.dataclass(slots=True)
class Option:
    """One way to serve a prompt.

    :ivar source: address of an engine that keeps more of it
    :ivar tokens: to be read
    :ivar ready_s: moment at which it is read, and moved if it has to be
    :ivar moved_s: moment at which the runner's link is free of it
    """

    prefill_engine: enginemodel.EngineModel
    decode_engine: enginemodel.EngineModel
    source: enginemodel.EngineModel | None
    tokens: int
    fetch_s: float
    read_s: float
    ready_s: float
    transferred_s: float
    cost_s: float


class EnginePool:
    """The engines, what they were given and what they keep.

    :ivar open: engines that may be given a prompt to read now, by stage;
        first the one that has been waiting longest
    :ivar beside: engines read beside their long answers, as no other can
    """

    def __init__(
        self,
        traits: routes.EngineTraits,
        settings: PoolSettings | None = None,
    ) -> None:
        self.traits = traits
        self.settings = settings or PoolSettings()
        self.engines: dict[str, enginemodel.EngineModel] = {}
        self.decode_engines = decodeengines.DecodeEngines(self.engines)
        reading = prefillcost.FittedCost()
        self.costs: dict[catalog.Stage, prefillcost.PrefillCost] = {
            catalog.Stage.NONE: reading,
            catalog.Stage.PREFILL: reading,
            catalog.Stage.DECODE: prefillcost.DecodeStagePrefillCost(reading),
        }
        self.caches = promptcache.CacheIndex()
        self.open: dict[catalog.Stage, dict[str, None]] = {
            stage: {} for stage in catalog.Stage
        }
        self.allow_interference = False
        self._opening_heap: list[tuple[float, str]] = []
        self._capacity = capacity.Capacity(())
        self._capacity_s = float('-inf')

    # Which engines there are.

    def set_engines(self, endpoints: list[catalog.Endpoint]) -> None:
        """Take the engines that may be given work.

        One that left keeps nothing: it would come back without its memory.
        """
        listed = {each.id: each for each in endpoints}
        for removed_id in [e for e in self.engines if e not in listed]:
            del self.engines[removed_id]
            for engine in self.engines.values():
                engine.rejected_at_s.pop(removed_id, None)
            self.caches.drop(removed_id)
            self._close(removed_id)
        for endpoint in endpoints:
            self._set_engine(endpoint)
        self.decode_engines.refresh()
        self._capacity_s = float('-inf')

    def _set_engine(self, endpoint: catalog.Endpoint) -> None:
        model = self.engines.get(endpoint.id)
        if model is None:
            cost = self.costs[endpoint.stage]
            self.engines[endpoint.id] = enginemodel.EngineModel(endpoint, cost)
            self.caches.add(
                endpoint.id, self.traits.cache_tokens * CACHE_SHARE
            )
            self.open[endpoint.stage][endpoint.id] = None
            return
        changed = model.endpoint.stage is not endpoint.stage
        model.endpoint = endpoint
        if changed:
            model.forget_pace()
            model.cost = self.costs[endpoint.stage]
            model.cooldown_until_s = float('-inf')
            self._close(endpoint.id)
            if self._can_prefill(model):
                self.open[endpoint.stage][endpoint.id] = None

    def cool_down(self, engine_id: str, until_s: float) -> None:
        """Give an engine no work for a time."""
        engine = self.engines.get(engine_id)
        if engine is not None:
            engine.cooldown_until_s = until_s
            self._close(engine_id)
            heapq.heappush(self._opening_heap, (until_s, engine_id))
            self._capacity_s = float('-inf')

    def failed(self, engine_id: str, job: int, now_s: float) -> None:
        """An engine refused a job, did not answer, or was out of reach.

        One that has just served others rests no time: what failed was this
        job, and each engine that rests without need is missed by many.
        """
        self.caches.abandon(job)
        engine = self.engines.get(engine_id)
        if engine is None:
            return
        engine.forget(job, now_s)
        if now_s - engine.last_success_s < RECENT_SUCCESS_S:
            self._update_open(engine, now_s)
            return
        if now_s - engine.last_stalled_s < STALL_REPORT_INTERVAL_S:
            # It was found to read nothing, and all its prompts are given up
            # at once.  That is one failure: counted each, one engine that
            # was busy for a moment would be left idle for seconds.
            return
        engine.failures += 1
        cooldown_s = COOLDOWN_S * 2 ** min(engine.failures - 1, 3)
        self.cool_down(engine_id, now_s + min(cooldown_s, MAX_COOLDOWN_S))

    def find_stalled(self, now_s: float) -> list[str]:
        """Engines that read nothing of what they were given; they rest."""
        stalled = []
        for engine_id, engine in self.engines.items():
            if now_s - engine.last_stalled_s < STALL_REPORT_INTERVAL_S:
                continue
            if engine.endpoint.stage is catalog.Stage.DECODE:
                # Its answers show whether it lives, event by event.
                continue
            if engine.is_stalled(now_s):
                engine.last_stalled_s = now_s
                engine.failures += 1
                self.cool_down(engine_id, now_s + COOLDOWN_S)
                stalled.append(engine_id)
        return stalled

    def suspend_fetch(self, engine_id: str, now_s: float) -> None:
        """Fetching from an engine took far too long; read for a while."""
        engine = self.engines.get(engine_id)
        if engine is not None:
            engine.no_fetch_until_s = now_s + FETCH_SUSPENSION_S

    def record_rejection(
        self, prefill_engine_id: str, decode_engine_id: str, now_s: float
    ) -> None:
        """An engine turned away a request whose prompt another had read.

        Either it is full or changing, or what was read is gone; both say
        the same.  An engine that turns away the prompts of two readers is
        at fault itself; a reader whose prompts are turned away by two
        engines, or by one that takes those of others, reads for nothing.
        Where one turns away all that one reads it may be either: the engine
        that answers rests first.  Taken for the readers' fault, one engine
        that is down would make all of them rest, and nobody be served.
        """
        prefill_engine = self.engines.get(prefill_engine_id)
        decode_engine = self.engines.get(decode_engine_id)
        if prefill_engine is None or decode_engine is None:
            return
        since_s = now_s - REJECTION_WINDOW_S
        last_decode_engine_id, before_s = prefill_engine.last_rejected
        prefill_engine.last_rejected = (decode_engine_id, now_s)
        decode_engine.rejected_at_s[prefill_engine_id] = now_s
        recent = [
            s for s in decode_engine.rejected_at_s.values() if s > since_s
        ]
        if len(recent) > 1:
            self.cool_down(decode_engine_id, now_s + COOLDOWN_S)
        elif before_s <= since_s:
            return
        elif (
            last_decode_engine_id != decode_engine_id
            or decode_engine.last_accepted_s > since_s
            or decode_engine.cooldown_until_s > since_s
        ):
            self.cool_down(prefill_engine_id, now_s + REJECTION_COOLDOWN_S)
        else:
            self.cool_down(decode_engine_id, now_s + COOLDOWN_S)

    # Who has room.

    def refresh(self, now_s: float) -> None:
        """Note the engines that have got room by now."""
        while self._opening_heap and self._opening_heap[0][0] <= now_s:
            _, engine_id = heapq.heappop(self._opening_heap)
            engine = self.engines.get(engine_id)
            if engine is not None:
                for lost in engine.expire(now_s):
                    self.caches.abandon(lost)
                self._update_open(engine, now_s)

    def opens_s(self) -> float | None:
        """When an engine is expected to get room without further word."""
        return self._opening_heap[0][0] if self._opening_heap else None

    def has_open(self) -> bool:
        """Whether any engine may be given a prompt to read."""
        return any(self.open.values())

    def _close(self, engine_id: str) -> None:
        for of_stage in self.open.values():
            of_stage.pop(engine_id, None)

    def _update_open(
        self, engine: enginemodel.EngineModel, now_s: float
    ) -> None:
        engine_id = engine.endpoint.id
        if engine.cooldown_until_s > now_s or not self._can_prefill(engine):
            self._close(engine_id)
            return
        of_stage = self.open[engine.endpoint.stage]
        if not engine.pending_prefills:
            of_stage[engine_id] = None
            return
        ahead_s = self.settings.ahead_s + engine.overlapped_latency_s
        opens_s = engine.free_s(now_s) - ahead_s
        full = len(engine.pending_prefills) >= self._max_ahead(engine)
        if opens_s <= now_s and not full:
            of_stage[engine_id] = None
            return
        of_stage.pop(engine_id, None)
        if full:
            opens_s = max(opens_s, now_s + enginemodel.LOST_S)
        heapq.heappush(self._opening_heap, (opens_s, engine_id))

    def _max_ahead(self, engine: enginemodel.EngineModel) -> int:
        """A prompt takes a slot, also while it waits for the one before.

        An engine that failed is tried with one: were it still down, all
        that it was given would be late.
        """
        if engine.failures:
            return 1
        return min(self.settings.max_ahead, max(1, engine.endpoint.slots - 1))

    # What becomes of prompts.

    def assign(
        self,
        job: int,
        parts: tuple[promptcache.PromptPart, ...],
        option: Option,
        now_s: float,
    ) -> None:
        """Give a prompt to the engines of an option."""
        prefill_engine, decode_engine = (
            option.prefill_engine,
            option.decode_engine,
        )
        tokens = promptcache.total_tokens(parts)
        prefill_engine.assign(
            job, option.tokens, option.fetch_s, now_s, tokens
        )
        self.caches.expect(prefill_engine.endpoint.id, job, parts)
        if decode_engine is not prefill_engine:
            self.caches.expect(decode_engine.endpoint.id, job, parts)
            decode_engine.transfer_until_s = option.transferred_s
            decode_engine.expect_run(option.ready_s, now_s)
        self.decode_engines.record_assignment(decode_engine, now_s)
        self._update_open(prefill_engine, now_s)

    def adopt(
        self, job: int, engine_id: str, tokens: int, now_s: float
    ) -> None:
        """An engine is at work on a prompt that somebody else gave it."""
        engine = self.engines[engine_id]
        engine.assign(job, tokens, 0.0, now_s, sent_now=False)
        self._update_open(engine, now_s)

    def record_prefill_done(
        self, job: int, engine_id: str, now_s: float
    ) -> None:
        """An engine has read a prompt."""
        self.caches.record_prefill_done(job)
        engine = self.engines.get(engine_id)
        if engine is not None:
            engine.record_prefill_done(job, now_s)
            self.decode_engines.record_success(engine_id, now_s)
            self._update_open(engine, now_s)

    def forget(self, job: int, engine_id: str, now_s: float) -> None:
        """An engine will not read a prompt after all."""
        self.caches.abandon(job)
        engine = self.engines.get(engine_id)
        if engine is not None:
            engine.forget(job, now_s)
            self._update_open(engine, now_s)

    def begin_run(self, job: int, engine_id: str, now_s: float) -> None:
        """An engine gives a long answer, and may not read beside it."""
        engine = self.engines[engine_id]
        engine.runs.add(job)
        self._update_open(engine, now_s)

    def end_run(self, job: int, engine_id: str, now_s: float) -> None:
        """A long answer has ended, or goes on elsewhere."""
        engine = self.engines.get(engine_id)
        if engine is not None:
            engine.runs.discard(job)
            self._update_open(engine, now_s)

    # What it costs.

    def learned_costs(self) -> prefillcost.CostCoefficients | None:
        """What prompts were found to take; None while it is a guess."""
        reading = self.costs[catalog.Stage.PREFILL]
        answering = self.costs[catalog.Stage.DECODE]
        if reading.count < MIN_PROMPTS:
            return None
        return prefillcost.CostCoefficients(
            *reading.coefficients, answering.factor.median_s
        )

    def restore_costs(self, figures: prefillcost.CostCoefficients) -> None:
        """Take what another place has found; measurements go on."""
        *reading, factor = figures
        self.costs[catalog.Stage.PREFILL].set_coefficients(*reading)
        self.costs[catalog.Stage.DECODE].factor.median_s = factor

    def need_s(self, cached: promptcache.CachedPrefixes, tokens: int) -> float:
        """Reading time of a prompt where most of it is kept."""
        cost = self.costs[catalog.Stage.PREFILL]
        most = cached.max_tokens
        return cost.seconds(prefillcost.PromptSize(tokens - most, most))

    def prefill_s(self, tokens: int) -> float:
        """Reading time of so many tokens at an engine that only reads."""
        cost = self.costs[catalog.Stage.PREFILL]
        return cost.seconds(prefillcost.PromptSize(tokens))

    def capacity(self, now_s: float) -> capacity.Capacity:
        """Reading power of the engines that may read."""
        if now_s - self._capacity_s >= CAPACITY_MAX_AGE_S:
            self._capacity_s = now_s
            self._update_interference(now_s)
            self._capacity = capacity.Capacity(
                (engine.free_s(now_s) - now_s, 1 / self.relative_cost(engine))
                for engine in self.engines.values()
                if engine.cooldown_until_s <= now_s
                and self._can_prefill(engine)
            )
        return self._capacity

    def decode_stage_capacity(self, now_s: float) -> tuple[float, int]:
        """What engines that answer can read.

        :returns: engines' worth of reading, and the number of those that
            give long answers and read nothing
        """
        answering = [
            engine
            for engine in self.engines.values()
            if engine.endpoint.stage is catalog.Stage.DECODE
        ]
        power = sum(
            1 / self.relative_cost(engine)
            for engine in answering
            if engine.cooldown_until_s <= now_s and self._can_prefill(engine)
        )
        return power, sum(1 for each in answering if each.long_runs)

    def _update_interference(self, now_s: float) -> None:
        """Have engines read beside long answers while no other one can.

        The engines that read have left, are down or are changing, and each
        of the others gives a long answer nearly always: prompts were refused
        to the last one by engines that had time for many of them.  Answers
        beside which prompts are read take longer, but a refused caller has
        nothing.
        """
        beside = not any(
            engine.cooldown_until_s <= now_s and can_prefill(engine)
            for engine in self.engines.values()
        )
        if beside is self.allow_interference:
            return
        self.allow_interference = beside
        for engine in self.engines.values():
            if engine.long_runs:
                self._update_open(engine, now_s)

    def _can_prefill(self, engine: enginemodel.EngineModel) -> bool:
        return self.allow_interference or can_prefill(engine)

    def relative_cost(self, engine: enginemodel.EngineModel) -> float:
        """How much longer an engine reads than one of the reading stage."""
        cost = self.costs[catalog.Stage.PREFILL]
        reference_s = cost.seconds(prefillcost.PromptSize(TYPICAL_TOKENS))
        return max(0.2, engine.expected_s(TYPICAL_TOKENS) / reference_s)

    def best_option(
        self,
        parts: tuple[promptcache.PromptPart, ...],
        avoid: tuple[str, ...],
        now_s: float,
    ) -> Option | None:
        """The best way among the engines that have room."""
        cached = self.caches.cached_prefixes(parts)
        decode_engine = self.decode_engines.for_prefilled(avoid, now_s)
        best: Option | None = None
        for engine_id in self._candidates(cached, avoid):
            prefill_engine = self.engines[engine_id]
            target = decode_engine
            if prefill_engine.endpoint.stage is catalog.Stage.DECODE:
                target = prefill_engine
            if target is None:
                continue
            option = self._option(cached, parts, prefill_engine, target, now_s)
            if not decodeengines.has_slot(target, option.ready_s, now_s):
                continue
            if best is None or (
                option.ready_s + option.cost_s < best.ready_s + best.cost_s
            ):
                best = option
        return best

    def prefilled_at_s(
        self,
        parts: tuple[promptcache.PromptPart, ...],
        tokens: int,
        now_s: float,
    ) -> float | None:
        """When an engine will have read so much of a prompt; None if none is.

        :param tokens: of the first parts, to be kept there
        """
        cached = self.caches.cached_prefixes(parts)
        moments = []
        for engine_id in cached.holders(MAX_SOURCES):
            if cached.tokens(engine_id) < tokens:
                continue
            engine = self.engines[engine_id]
            if self.caches.ready_tokens(engine_id, parts) >= tokens:
                moments.append(now_s)
                continue
            completions_s = [
                engine.pending_prefills[job].until_s
                for job in self.caches.pending_jobs(engine_id, parts)
                if job in engine.pending_prefills
            ]
            if completions_s:
                moments.append(max(completions_s) + engine.latency_s)
        return min(moments, default=None)

    def _candidates(
        self, cached: promptcache.CachedPrefixes, avoid: tuple[str, ...]
    ) -> Iterable[str]:
        """Engines to compare for a prompt.

        Some of each stage: where the first ones were taken whatever their
        stage, a dozen that could not take the prompt hid all others, and
        callers were refused by a fleet that idled.
        """
        found: dict[str, None] = {}
        stages = [of_stage for of_stage in self.open.values() if of_stage]
        most = self.settings.candidates // max(1, len(stages))
        for of_stage in stages:
            usable = (each for each in of_stage if each not in avoid)
            found.update(dict.fromkeys(itertools.islice(usable, most)))
            if len(of_stage) > most:
                for holder in cached.holders(MAX_SOURCES):
                    if holder in of_stage and holder not in avoid:
                        found[holder] = None
        return found

    def _option(
        self,
        cached: promptcache.CachedPrefixes,
        parts: tuple[promptcache.PromptPart, ...],
        prefill_engine: enginemodel.EngineModel,
        decode_engine: enginemodel.EngineModel,
        now_s: float,
    ) -> Option:
        tokens = promptcache.total_tokens(parts)
        missing = tokens - cached.tokens(prefill_engine.endpoint.id)
        source, missing, fetch_s = self._source(
            cached, parts, prefill_engine, missing, now_s
        )
        read_s = prefill_engine.expected_s(missing, tokens - missing) + fetch_s
        ready_s = (
            prefill_engine.free_s(now_s)
            + enginemodel.HOP_S
            + read_s
            + prefill_engine.latency_s
        )
        cost_s = read_s
        transferred_s = ready_s
        if decode_engine is not prefill_engine:
            move_s = self._transfer_s(prefill_engine, decode_engine, tokens)
            transferred_s = (
                max(ready_s, decode_engine.transfer_until_s) + move_s
            )
            # What an engine takes beside the transfer keeps no prompt off
            # its link: added up, it would soon put every prompt into the
            # next minute.
            delay_s = self.decode_engines.delay_s(decode_engine)
            ready_s = transferred_s + delay_s
            cost_s += move_s + delay_s
        return Option(
            prefill_engine,
            decode_engine,
            source,
            missing,
            fetch_s,
            read_s,
            ready_s,
            transferred_s,
            cost_s,
        )

    def _source(
        self,
        cached: promptcache.CachedPrefixes,
        parts: tuple[promptcache.PromptPart, ...],
        prefill_engine: enginemodel.EngineModel,
        missing: int,
        now_s: float,
    ) -> tuple[enginemodel.EngineModel | None, int, float]:
        """Another engine to fetch cached parts from, if that is quicker.

        :returns: the engine or None, tokens left to read, time to fetch
        """
        has = promptcache.total_tokens(parts) - missing
        if cached.max_tokens <= has:
            return None, missing, 0.0
        for holder in cached.holders(MAX_SOURCES):
            source = self.engines.get(holder)
            if source is None or source is prefill_engine:
                continue
            gained = self.caches.ready_tokens(holder, parts) - has
            if gained <= 0 or source.no_fetch_until_s > now_s:
                continue
            saved_s = prefill_engine.expected_s(gained, has)
            fetch_s = self._transfer_s(source, prefill_engine, gained)
            if fetch_s <= saved_s * self.settings.fetch_gain:
                return source, missing - gained, fetch_s
        return None, missing, 0.0

    def _transfer_s(
        self,
        source: enginemodel.EngineModel,
        target: enginemodel.EngineModel,
        tokens: int,
    ) -> float:
        bits = tokens * self.traits.bytes_per_token * 8
        seconds = TRANSFER_SETUP_S + bits / (self.traits.link_bits_s or 1e9)
        here = source.endpoint.failure_domain
        if here != target.endpoint.failure_domain:
            return seconds * REMOTE_FACTOR
        return seconds

    def handoff_s(self, tokens: int) -> float:
        """Time that an engine needs to take over what another has read.

        Any other engine is as likely to have read it, so most transfers
        come from another failure domain.
        """
        domains = {
            engine.endpoint.failure_domain for engine in self.engines.values()
        }
        remote = 1 - 1 / max(1, len(domains))
        bits = tokens * self.traits.bytes_per_token * 8
        seconds = TRANSFER_SETUP_S + bits / (self.traits.link_bits_s or 1e9)
        return seconds * (1 + (REMOTE_FACTOR - 1) * remote) + FIRST_STEP_S


def can_prefill(engine: enginemodel.EngineModel) -> bool:
    """Whether an engine may be given prompts while others can read too.

    Not beside long answers: each step of these would wait for a piece of
    the prompt.
    """
    return not (
        engine.endpoint.stage is catalog.Stage.DECODE and engine.long_runs
    )
