"""Engines of a model service: free capacity and the cost of each placement."""

from collections.abc import Iterable
import dataclasses
import heapq
import itertools
import math
from typing import NamedTuple

from magnoliadyke.core import capacity as capacities
from magnoliadyke.core import catalog
from magnoliadyke.core import decodeengines
from magnoliadyke.core import endpointlimits
from magnoliadyke.core import enginemodel
from magnoliadyke.core import enginepace
from magnoliadyke.core import limits
from magnoliadyke.core import prefillcost
from magnoliadyke.core import promptcache
from magnoliadyke.core import routes

__all__ = ['EnginePool', 'Option', 'PoolSettings']


class PoolSettings(NamedTuple):
    """Parameters of the pool.

    :param lead_s: an engine is sent its next prompt this many seconds, plus
        its measured fixed latency, before it is expected to complete the last
        one; that latency includes the network time to the engine, which is
        most of it on narrow links
    :param max_pending_prefills: limit of prompts sent to one engine and not
        yet prefilled, in case the estimates are wrong
    :param fetch_gain: a cached part is fetched from another engine if that
        takes at most this share of the time to prefill it again
    :param candidates: number of engines that are compared for one prompt,
        divided evenly among the stages; engines that cache part of the
        prompt are compared in addition.  A higher number costs time and
        improves the choice little.
    """

    lead_s: float = 0.005
    max_pending_prefills: int = 8
    fetch_gain: float = 0.6
    candidates: int = 12


#: Time until a transfer between engines sends its first byte, in seconds.
TRANSFER_SETUP_S = 0.0007
#: Factor by which transfers between failure domains take longer.
REMOTE_FACTOR = 2.0
#: Time of a decode engine that a transferred prompt takes besides the
#: transfer, in seconds: one step for its first token, in which the engine
#: receives no other prompt.
FIRST_STEP_S = 0.005
#: Share of KV cache memory that cached parts may fill; running requests use
#: the remainder.
CACHE_SHARE = 0.9
#: Cooldown of an engine after a failed job, in seconds; it doubles with each
#: consecutive failure up to the maximum.
COOLDOWN_S = 0.5
MAX_COOLDOWN_S = 4.0
#: An engine that has served a request within this time, in seconds, is not
#: regarded as down when it fails another.
RECENT_SUCCESS_S = 0.4
#: No cached parts are fetched for this long, in seconds, from an engine whose
#: transfers hang.
FETCH_SUSPENSION_S = 3.0
#: A prefill engine whose prompts are rejected twice within this window, in
#: seconds, is placed in a cooldown, as its prefills are wasted.
REJECTION_WINDOW_S = 1.0
REJECTION_COOLDOWN_S = 2.0
#: A stalled engine is reported again after this time, in seconds, while
#: prompts are queued there: the first report may have been lost.
STALL_REPORT_INTERVAL_S = 0.5
#: Number of measured prompts from which on the learned cost coefficients are
#: handed to the next placement leader.
MIN_PROMPTS = 40
#: Prompt length at which the speeds of two engines are compared, in tokens.
TYPICAL_TOKENS = 4000
#: Age up to which a computed capacity is reused, in seconds; it is off by
#: about one job at most.
CAPACITY_MAX_AGE_S = 0.01
#: Weight of a prompt in the moving average of the prefill time.
NEED_WEIGHT = 0.05
#: Time constant of the measured rate of short prompts, in seconds.
SHORT_RATE_TIME_CONSTANT_S = 1.5
#: Least share of the prefill speed that rate limits of the decode engines
#: leave, so that waits stay finite.
MIN_SPEED_SHARE = 0.01
#: Engines that are considered as the source of cached parts.
MAX_SOURCES = 3


@dataclasses.dataclass(slots=True)
class Option:
    """One placement of a prompt, with its expected times.

    :ivar source: engine to fetch cached parts from, if any
    :ivar tokens: tokens to prefill
    :ivar fetch_s: time to fetch the cached parts, in seconds
    :ivar prefill_s: time to fetch and prefill, in seconds
    :ivar ready_s: moment at which the prompt is prefilled, and its KV cache
        is at the decode engine
    :ivar transferred_s: moment at which the decode engine's link is free
        again
    :ivar cost_s: engine time that the prompt takes, with its transfer, in
        seconds
    """

    prefill_engine: enginemodel.EngineModel
    decode_engine: enginemodel.EngineModel
    source: enginemodel.EngineModel | None
    tokens: int
    fetch_s: float
    prefill_s: float
    ready_s: float
    transferred_s: float
    cost_s: float


class EnginePool:
    """The engines, the prompts sent to them, and their estimated caches.

    :param pacer: paces the requests to engines with a rate limit; without it
        no engine has one
    :ivar mean_need_s: average prefill time of a prompt, in seconds
    :ivar limits_bind: whether rate limits bound the latest capacity
    :ivar short_prompts: rate of prompts that decode engines prefill
        themselves
    :ivar paces: intervals between the events of each engine
    :ivar costs: cost model of prefill, by the engine's stage
    :ivar open: engines that may be sent a prompt now, by stage; the one that
        has been open longest is first
    :ivar allow_interference: decode engines prefill prompts even while they
        generate long answers, as no other engine can
    """

    def __init__(
        self,
        traits: routes.EngineTraits,
        settings: PoolSettings | None = None,
        pacer: endpointlimits.Pacer | None = None,
    ) -> None:
        self.traits = traits
        self.settings = settings or PoolSettings()
        self.pacer = pacer or endpointlimits.Pacer(
            endpointlimits.NamedLimits(), endpointlimits.TOLERANCE_S
        )
        self.mean_need_s = 0.0
        self.limits_bind = False
        self.short_prompts = limits.Rate(SHORT_RATE_TIME_CONSTANT_S, 0.0)
        self.engines: dict[str, enginemodel.EngineModel] = {}
        self.paces = enginepace.EnginePaces()
        self.decode_engines = decodeengines.DecodeEngines(
            self.engines, self.pacer, self.paces
        )
        prefill_cost = prefillcost.FittedCost()
        self.costs: dict[catalog.Stage, prefillcost.PrefillCost] = {
            catalog.Stage.NONE: prefill_cost,
            catalog.Stage.PREFILL: prefill_cost,
            catalog.Stage.DECODE: prefillcost.DecodeStagePrefillCost(
                prefill_cost
            ),
        }
        self.caches = promptcache.CacheIndex()
        self.open: dict[catalog.Stage, dict[str, None]] = {
            stage: {} for stage in catalog.Stage
        }
        self.allow_interference = False
        self._opening_heap: list[tuple[float, str]] = []
        self._capacity = capacities.Capacity(())
        self._capacity_s = float('-inf')

    # Membership and cooldowns.

    def set_engines(self, endpoints: list[catalog.Endpoint]) -> None:
        """Replace the list of engines that requests may be placed on.

        The cache of a removed engine is regarded as lost: an engine that
        returns has been restarted.
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
        self.paces.drop_unlisted(listed)
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
            model.reset_slowness()
            model.cost = self.costs[endpoint.stage]
            model.cooldown_until_s = float('-inf')
            self._close(endpoint.id)
            if self._can_prefill(model):
                self.open[endpoint.stage][endpoint.id] = None

    def cool_down(self, engine_id: str, until_s: float) -> None:
        """Place no work on an engine until the given moment."""
        engine = self.engines.get(engine_id)
        if engine is not None:
            engine.cooldown_until_s = until_s
            self._close(engine_id)
            heapq.heappush(self._opening_heap, (until_s, engine_id))
            self._capacity_s = float('-inf')

    def record_failure(
        self, engine_id: str, job_id: int, now_s: float
    ) -> None:
        """Record that an engine refused a job, timed out or was unreachable.

        The engine gets a cooldown, unless it has just served other requests:
        then the failure is attributed to the job, as an unneeded cooldown
        costs capacity.
        """
        self.caches.abandon(job_id)
        engine = self.engines.get(engine_id)
        if engine is None:
            return
        engine.drop_prefill(job_id, now_s)
        if now_s - engine.last_success_s < RECENT_SUCCESS_S:
            self._update_open(engine, now_s)
            return
        if now_s - engine.last_stalled_s < STALL_REPORT_INTERVAL_S:
            # The engine was found stalled, and all its prompts fail at once.
            # They count as one failure: counted separately, they would give
            # an engine that was busy for a moment a cooldown of seconds.
            return
        engine.failures += 1
        cooldown_s = COOLDOWN_S * 2 ** min(engine.failures - 1, 3)
        self.cool_down(engine_id, now_s + min(cooldown_s, MAX_COOLDOWN_S))

    def find_stalled(self, now_s: float) -> list[str]:
        """Put engines whose prefill makes no progress in a cooldown.

        :returns: ids of these engines
        """
        stalled = []
        for engine_id, engine in self.engines.items():
            if now_s - engine.last_stalled_s < STALL_REPORT_INTERVAL_S:
                continue
            if engine.endpoint.stage is catalog.Stage.DECODE:
                # The events of its answers show whether it works.
                continue
            if engine.is_stalled(now_s):
                engine.last_stalled_s = now_s
                engine.failures += 1
                self.cool_down(engine_id, now_s + COOLDOWN_S)
                stalled.append(engine_id)
        return stalled

    def suspend_fetch(self, engine_id: str, now_s: float) -> None:
        """Fetch no cached parts from an engine for a while.

        Called when a fetch from it hangs; the parts are prefilled instead.
        """
        engine = self.engines.get(engine_id)
        if engine is not None:
            engine.no_fetch_until_s = now_s + FETCH_SUSPENSION_S

    def record_rejection(
        self, prefill_engine_id: str, decode_engine_id: str, now_s: float
    ) -> None:
        """Record that a decode engine rejected a prefilled request.

        Either the decode engine is full or changes its stage, or the KV
        cache of the prompt is lost at the prefill engine; the rejection is
        the same for both.  A decode engine that rejects the prompts of two
        prefill engines is at fault itself.  A prefill engine is at fault if
        its prompts are rejected by two decode engines, or by one that
        accepts the prompts of others.  Where one decode engine rejects all
        prompts of one prefill engine, either may be at fault, and the decode
        engine gets the first cooldown: otherwise one decode engine that is
        down would put all prefill engines in a cooldown, and no request
        would be served.
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

    # Open engines.

    def refresh(self, now_s: float) -> None:
        """Mark the engines as open that can be sent a prompt at this time."""
        while self._opening_heap and self._opening_heap[0][0] <= now_s:
            _, engine_id = heapq.heappop(self._opening_heap)
            engine = self.engines.get(engine_id)
            if engine is not None:
                for job_id in engine.expire(now_s):
                    self.caches.abandon(job_id)
                self._update_open(engine, now_s)

    def next_opening_s(self) -> float | None:
        """Return when the next engine is expected to become open.

        :returns: a moment in seconds, or None if no opening is scheduled
        """
        return self._opening_heap[0][0] if self._opening_heap else None

    def has_open_engine(self) -> bool:
        """Whether any engine may be sent a prompt to prefill."""
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
        lead_s = self.settings.lead_s + engine.overlapped_latency_s
        next_opening_s = engine.free_s(now_s) - lead_s
        full = len(engine.pending_prefills) >= self._max_pending_prefills(
            engine
        )
        if next_opening_s <= now_s and not full:
            of_stage[engine_id] = None
            return
        of_stage.pop(engine_id, None)
        if full:
            next_opening_s = max(next_opening_s, now_s + enginemodel.LOST_S)
        heapq.heappush(self._opening_heap, (next_opening_s, engine_id))

    def _max_pending_prefills(self, engine: enginemodel.EngineModel) -> int:
        """Return how many prompts an engine may have at a time.

        A prompt holds a slot also while it is queued at the engine.  An
        engine that failed is tried with a single prompt: if it is still
        down, all prompts sent to it are late.
        """
        if engine.failures:
            return 1
        return min(
            self.settings.max_pending_prefills,
            max(1, engine.endpoint.slots - 1),
        )

    # Prompts and answers in flight.

    def assign(
        self,
        job_id: int,
        parts: tuple[promptcache.PromptPart, ...],
        option: Option,
        now_s: float,
    ) -> None:
        """Account for a prompt that is sent to the engines of an option."""
        prefill_engine, decode_engine = (
            option.prefill_engine,
            option.decode_engine,
        )
        tokens = promptcache.total_tokens(parts)
        prefill_engine.assign(
            job_id, option.tokens, option.fetch_s, now_s, tokens
        )
        self.caches.add_pending(prefill_engine.endpoint.id, job_id, parts)
        if decode_engine is not prefill_engine:
            self.caches.add_pending(decode_engine.endpoint.id, job_id, parts)
            decode_engine.transfer_until_s = option.transferred_s
            decode_engine.expect_run(option.ready_s, now_s)
            self.pacer.take(decode_engine.endpoint.id, now_s)
        self.pacer.take(prefill_engine.endpoint.id, now_s)
        self.decode_engines.record_assignment(decode_engine, now_s)
        self._update_open(prefill_engine, now_s)

    def assign_short(
        self, engine: enginemodel.EngineModel, now_s: float
    ) -> None:
        """Account for a short prompt that is sent to a decode engine."""
        self.short_prompts.add(1.0, now_s)
        self.pacer.take(engine.endpoint.id, now_s)
        self.decode_engines.record_assignment(engine, now_s)

    def adopt(
        self, job_id: int, engine_id: str, tokens: int, now_s: float
    ) -> None:
        """Account for a prompt that the previous leader sent to an engine."""
        engine = self.engines[engine_id]
        engine.assign(job_id, tokens, 0.0, now_s, sent_now=False)
        self._update_open(engine, now_s)

    def record_prefill_done(
        self, job_id: int, engine_id: str, now_s: float
    ) -> None:
        """Record that an engine has completed the prefill of a prompt."""
        self.caches.record_prefill_done(job_id)
        engine = self.engines.get(engine_id)
        if engine is not None:
            engine.record_prefill_done(job_id, now_s)
            self.decode_engines.record_success(engine_id, now_s)
            self._update_open(engine, now_s)

    def drop_prefill(self, job_id: int, engine_id: str, now_s: float) -> None:
        """Stop accounting for a prompt that an engine will not prefill."""
        self.caches.abandon(job_id)
        engine = self.engines.get(engine_id)
        if engine is not None:
            engine.drop_prefill(job_id, now_s)
            self._update_open(engine, now_s)

    def start_run(self, job_id: int, engine_id: str, now_s: float) -> None:
        """Record that an engine starts a long answer."""
        engine = self.engines[engine_id]
        engine.runs.add(job_id)
        self._update_open(engine, now_s)

    def end_run(self, job_id: int, engine_id: str, now_s: float) -> None:
        """Record that a long answer has ended or continues elsewhere."""
        engine = self.engines.get(engine_id)
        if engine is not None:
            engine.runs.discard(job_id)
            self._update_open(engine, now_s)

    # Cost estimates and choice of engines.

    def learned_costs(self) -> prefillcost.CostCoefficients | None:
        """Return the learned cost coefficients.

        :returns: None until :data:`MIN_PROMPTS` prompts have been measured
        """
        prefill_cost = self.costs[catalog.Stage.PREFILL]
        decode_stage = self.costs[catalog.Stage.DECODE]
        if prefill_cost.count < MIN_PROMPTS:
            return None
        return prefillcost.CostCoefficients(
            *prefill_cost.coefficients, decode_stage.factor.median_s
        )

    def restore_costs(
        self, coefficients: prefillcost.CostCoefficients
    ) -> None:
        """Start from the coefficients that another host has learned."""
        *prefill_cost, factor = coefficients
        self.costs[catalog.Stage.PREFILL].set_coefficients(*prefill_cost)
        self.costs[catalog.Stage.DECODE].factor.median_s = factor

    def need_s(self, cached: promptcache.CachedPrefixes, tokens: int) -> float:
        """Return the prefill time at the engine that caches most of a prompt.

        :param tokens: length of the complete prompt, in tokens
        """
        cost = self.costs[catalog.Stage.PREFILL]
        most = cached.max_tokens
        return cost.seconds(prefillcost.PromptSize(tokens - most, most))

    def prefill_s(self, tokens: int) -> float:
        """Return the time of a prefill engine for this many tokens."""
        cost = self.costs[catalog.Stage.PREFILL]
        return cost.seconds(prefillcost.PromptSize(tokens))

    def capacity(self, now_s: float) -> capacities.Capacity:
        """Return the prefill capacity of all engines that may prefill."""
        if now_s - self._capacity_s >= CAPACITY_MAX_AGE_S:
            self._capacity_s = now_s
            self._update_interference(now_s)
            self._capacity = self._current_capacity(now_s)
        return self._capacity

    def _current_capacity(self, now_s: float) -> capacities.Capacity:
        """Return the capacity within the rate limits of the engines.

        A prompt also needs a request to a decode engine, so the limits of
        these bound the prefill capacity that is of use.
        """
        prefilling = [
            engine
            for engine in self.engines.values()
            if engine.cooldown_until_s <= now_s and self._can_prefill(engine)
        ]
        backlogs = [
            (engine.free_s(now_s) - now_s, 1 / self.relative_cost(engine))
            for engine in prefilling
        ]
        self.limits_bind = False
        if not self.pacer.has_limits:
            return capacities.Capacity(backlogs)
        unlimited = sum(speed for _, speed in backlogs)
        backlogs = [
            (
                max(free_s, self.pacer.wait_s(engine.endpoint.id, now_s)),
                self._prefill_speed(engine),
            )
            for engine, (free_s, _) in zip(prefilling, backlogs, strict=True)
        ]
        speed = sum(each for _, each in backlogs)
        decoded_s = self.decode_engines.rate_s(now_s)
        decoded_s -= self.short_prompts.now(now_s)
        limit = max(decoded_s * self.mean_need_s, speed * MIN_SPEED_SHARE)
        self.limits_bind = min(speed, limit) < unlimited
        if limit < speed:
            share = limit / speed
            backlogs = [(free_s, each * share) for free_s, each in backlogs]
        return capacities.Capacity(backlogs)

    def _prefill_speed(self, engine: enginemodel.EngineModel) -> float:
        """Return an engine's speed relative to a prefill engine.

        A rate limit bounds it by the prompts that the engine accepts.
        """
        speed = 1 / self.relative_cost(engine)
        rate_s = self.pacer.rate_s(engine.endpoint.id)
        if rate_s == math.inf:
            return speed
        return min(speed, max(rate_s * self.mean_need_s, MIN_SPEED_SHARE))

    def record_need(self, need_s: float) -> None:
        """Record the prefill time of a new prompt, in seconds."""
        if not self.mean_need_s:
            self.mean_need_s = need_s
        self.mean_need_s += NEED_WEIGHT * (need_s - self.mean_need_s)

    def decode_stage_capacity(self, now_s: float) -> tuple[float, int]:
        """Return the prefill capacity of the decode engines.

        :returns: their capacity in units of one prefill engine, and the
            number of decode engines that generate long answers
        """
        decode_stage = [
            engine
            for engine in self.engines.values()
            if engine.endpoint.stage is catalog.Stage.DECODE
        ]
        speed = sum(
            self._prefill_speed(engine)
            for engine in decode_stage
            if engine.cooldown_until_s <= now_s and self._can_prefill(engine)
        )
        return speed, sum(1 for each in decode_stage if each.long_runs)

    def _update_interference(self, now_s: float) -> None:
        """Allow prefill on engines with long answers while no other can.

        When all prefill engines have left, are down or change their stage,
        nearly every decode engine generates a long answer at any time.  If
        these did not prefill, all prompts would be refused although the
        engines have time for many of them.  Prefill slows down the long
        answers on the same engine, which is better than refused requests.
        """
        none_can_prefill = not any(
            engine.cooldown_until_s <= now_s and can_prefill(engine)
            for engine in self.engines.values()
        )
        if none_can_prefill is self.allow_interference:
            return
        self.allow_interference = none_can_prefill
        for engine in self.engines.values():
            if engine.long_runs:
                self._update_open(engine, now_s)

    def _can_prefill(self, engine: enginemodel.EngineModel) -> bool:
        return self.allow_interference or can_prefill(engine)

    def relative_cost(self, engine: enginemodel.EngineModel) -> float:
        """Return an engine's prefill time relative to a prefill engine's."""
        cost = self.costs[catalog.Stage.PREFILL]
        reference_s = cost.seconds(prefillcost.PromptSize(TYPICAL_TOKENS))
        return max(0.2, engine.expected_s(TYPICAL_TOKENS) / reference_s)

    def best_option(
        self,
        parts: tuple[promptcache.PromptPart, ...],
        avoid: tuple[str, ...],
        now_s: float,
        pause_s: float = 0.0,
        is_long: bool = True,
    ) -> Option | None:
        """Return the cheapest placement among the open engines, if any.

        For a long answer a decode engine that keeps the pause comes before a
        cheaper one that does not.

        :param avoid: ids of engines that may not prefill the prompt
        :param pause_s: longest pause between two events for which the answer
            is on time, in seconds; 0 if any is
        :param is_long: whether the answer is long
        """
        cached = self.caches.cached_prefixes(parts)
        decode_engine = self.decode_engines.choose_for_prefilled(
            avoid, now_s, pause_s, is_long
        )
        best: Option | None = None
        best_order = (True, float('inf'))
        for engine_id in self._candidates(cached, avoid, now_s):
            prefill_engine = self.engines[engine_id]
            target = decode_engine
            if prefill_engine.endpoint.stage is catalog.Stage.DECODE:
                target = prefill_engine
            if target is None:
                continue
            option = self._option(cached, parts, prefill_engine, target, now_s)
            if not decodeengines.has_slot(target, option.ready_s, now_s):
                continue
            order = (
                is_long
                and self.decode_engines.exceeds_pause(target, pause_s, now_s),
                option.ready_s + option.cost_s,
            )
            if best is None or order < best_order:
                best, best_order = option, order
        return best

    def prefilled_at_s(
        self,
        parts: tuple[promptcache.PromptPart, ...],
        tokens: int,
        now_s: float,
    ) -> float | None:
        """Return when an engine will have prefilled the start of a prompt.

        :param tokens: length of the prefix that the engine has to cache
        :returns: the earliest moment, or None if no engine has the prefix or
            is prefilling it
        """
        cached = self.caches.cached_prefixes(parts)
        ready_times_s = []
        for engine_id in cached.holders(MAX_SOURCES):
            if cached.tokens(engine_id) < tokens:
                continue
            engine = self.engines[engine_id]
            if self.caches.ready_tokens(engine_id, parts) >= tokens:
                ready_times_s.append(now_s)
                continue
            completions_s = [
                engine.pending_prefills[job_id].until_s
                for job_id in self.caches.pending_jobs(engine_id, parts)
                if job_id in engine.pending_prefills
            ]
            if completions_s:
                ready_times_s.append(max(completions_s) + engine.latency_s)
        return min(ready_times_s, default=None)

    def _candidates(
        self,
        cached: promptcache.CachedPrefixes,
        avoid: tuple[str, ...],
        now_s: float,
    ) -> Iterable[str]:
        """Return the ids of the open engines to compare for a prompt.

        The candidates come from each stage.  Chosen regardless of stage, a
        dozen engines that can't take the prompt could hide all others, and
        requests would be refused while engines are idle.
        """
        found: dict[str, None] = {}
        stages = [of_stage for of_stage in self.open.values() if of_stage]
        most = self.settings.candidates // max(1, len(stages))
        for of_stage in stages:
            usable = (
                each
                for each in of_stage
                if each not in avoid and not self.pacer.wait_s(each, now_s)
            )
            found.update(dict.fromkeys(itertools.islice(usable, most)))
            if len(of_stage) > most:
                for holder in cached.holders(MAX_SOURCES):
                    if (
                        holder in of_stage
                        and holder not in avoid
                        and not self.pacer.wait_s(holder, now_s)
                    ):
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
        prefill_s = (
            prefill_engine.expected_s(missing, tokens - missing) + fetch_s
        )
        ready_s = (
            prefill_engine.free_s(now_s)
            + enginemodel.HOP_S
            + prefill_s
            + prefill_engine.latency_s
        )
        cost_s = prefill_s
        transferred_s = ready_s
        if decode_engine is not prefill_engine:
            transfer_s = self._transfer_s(
                prefill_engine, decode_engine, tokens
            )
            transferred_s = (
                max(ready_s, decode_engine.transfer_until_s) + transfer_s
            )
            # The delay after a transfer does not occupy the engine's link.
            # Included in transferred_s it would add up from prompt to
            # prompt, and soon every prompt would be expected a minute late.
            delay_s = self.decode_engines.delay_s(decode_engine)
            ready_s = transferred_s + delay_s
            cost_s += transfer_s + delay_s
        return Option(
            prefill_engine,
            decode_engine,
            source,
            missing,
            fetch_s,
            prefill_s,
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
        """Choose an engine to fetch cached parts from, if that is quicker.

        :param missing: tokens of the prompt that the prefill engine lacks
        :returns: the engine or None, tokens left to prefill, time to fetch
        """
        cached_tokens = promptcache.total_tokens(parts) - missing
        if cached.max_tokens <= cached_tokens:
            return None, missing, 0.0
        for holder in cached.holders(MAX_SOURCES):
            source = self.engines.get(holder)
            if source is None or source is prefill_engine:
                continue
            gained = self.caches.ready_tokens(holder, parts) - cached_tokens
            if gained <= 0 or source.no_fetch_until_s > now_s:
                continue
            saved_s = prefill_engine.expected_s(gained, cached_tokens)
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
        source_domain = source.endpoint.failure_domain
        if source_domain != target.endpoint.failure_domain:
            return seconds * REMOTE_FACTOR
        return seconds

    def handoff_s(self, tokens: int) -> float:
        """Return how long a decode engine takes to receive a KV cache.

        The KV cache is that of a prefilled prompt, and the time includes the
        first decode step.  Each engine is equally likely to send the cache, so
        most transfers come from another failure domain.
        """
        domains = {
            engine.endpoint.failure_domain for engine in self.engines.values()
        }
        remote_share = 1 - 1 / max(1, len(domains))
        bits = tokens * self.traits.bytes_per_token * 8
        seconds = TRANSFER_SETUP_S + bits / (self.traits.link_bits_s or 1e9)
        return (
            seconds * (1 + (REMOTE_FACTOR - 1) * remote_share) + FIRST_STEP_S
        )


def can_prefill(engine: enginemodel.EngineModel) -> bool:
    """Whether an engine may prefill prompts while other engines can too.

    A decode engine with long answers may not: each of their decode steps
    would wait for a chunk of the prompt.
    """
    return not (
        engine.endpoint.stage is catalog.Stage.DECODE and engine.long_runs
    )
