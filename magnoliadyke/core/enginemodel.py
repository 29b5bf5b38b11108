"""Estimates when an engine completes the prompts that were sent to it."""

import collections
import dataclasses

from magnoliadyke.core import catalog
from magnoliadyke.core import costs
from magnoliadyke.core import prefillcost

__all__ = ['HOP_S', 'EngineModel']

#: Weight of a new sample in the moving average of one engine's latency.
LATENCY_WEIGHT = 0.1
#: An engine's latency above this multiple of the usual latency is queueing
#: behind prompts from elsewhere, and does not overlap with the next prompt.
MAX_LATENCY_FACTOR = 2.0
#: Upper bound of the excess latency of one sample, in seconds.
MAX_LATENCY_S = 0.3
#: Prefill time over which most of an engine's earlier speed samples decay,
#: and the weight of the prior, in seconds.  Samples are weighted by time and
#: not by prompt: engines work in steps, and of two short prompts in one step
#: the first seems to take all of it and the second nothing.
SLOWNESS_MEMORY_S = 0.5
SLOWNESS_PRIOR_S = 0.1
#: Weight of a sample from an idle engine that is faster than estimated, which
#: no other prompt can have affected: three such samples remove four fifths of
#: the error.
RECOVERY_WEIGHT = 0.4
MIN_SLOWNESS = 0.5
MAX_SLOWNESS = 20.0
#: Only engines below this multiple of the typical slowness contribute samples
#: to the common cost model.
NORMAL_SLOWNESS = 1.5
#: One-way network time between a host and an engine, and between hosts, in
#: seconds; a typical value within an area.
HOP_S = 0.001
#: A job whose end was not reported is regarded as lost after this multiple of
#: its expected duration, and not before this many seconds.
LOST_FACTOR = 5.0
LOST_S = 0.5
#: An engine is stalled if it shows no progress for this many seconds after a
#: prompt was due, and for this multiple of the time to prefill all of that
#: prompt.  An engine that is busy with prompts from elsewhere, or that runs
#: at half of its usual speed, makes progress within that time.
STALL_TIMEOUT_S = 0.5
STALL_FACTOR = 2.0
#: Time for which a short answer holds a slot after the KV transfer, in
#: seconds: a few decode steps, and the network time of the request.
SHORT_RUN_S = 0.02
#: Lower bound of a measured prefill time, in seconds.
MIN_SAMPLE_S = 0.0002


@dataclasses.dataclass(slots=True)
class PendingPrefill:
    """A prompt that was sent to an engine and is not yet prefilled.

    :ivar expected_s: prefill time at ordinary speed, in seconds
    :ivar uncached_s: the same if nothing is cached
    :ivar sent_s: when the prompt was sent, and cached parts were fetched
    :ivar until_s: when the prefill is expected to be complete
    :ivar was_idle: whether the engine was idle when the prompt was sent
    """

    size: prefillcost.PromptSize
    expected_s: float
    uncached_s: float
    sent_s: float
    until_s: float
    was_idle: bool


class EngineModel:
    """The placement's model of one engine.

    An engine prefills prompts one after another at a steady rate.  Each
    prompt also has a fixed latency, which overlaps with the prefill of the
    next one.  Counted as prefill time, that latency would make an engine look
    half as fast as it is, and it would idle between prompts.  So the two are
    measured separately: prefill time where one prompt follows another without
    a gap, latency where a prompt was sent to an idle engine.

    :ivar slowness_fit: fit of the ratio of measured to expected prefill time
    :ivar excess_latency_s: latency of this engine above the usual latency, in
        seconds
    :ivar pending_prefills: prompts sent and not yet reported as prefilled,
        by job
    :ivar runs: jobs with a long answer in progress; each holds a slot
    :ivar short_ends: expected end of each short answer, in order
    :ivar transfer_until_s: when the engine's link is free of KV transfers
    :ivar first_event_s: average time from the end of a prefill on another
        engine to the first event here, in seconds
    :ivar cooldown_until_s: no work is placed on the engine until then
    :ivar failures: consecutive failures
    :ivar probe_until_s: an engine that may be down is probed with one request
        until then, and gets no other
    :ivar last_rejected: the decode engine that last rejected a prompt
        prefilled here, and when
    :ivar last_accepted_s: when the engine last accepted a prompt that another
        engine prefilled
    :ivar rejected_at_s: when this engine last rejected a prompt of each
        prefill engine, by the id of the latter
    :ivar last_success_s: when the engine last showed that it works
    :ivar freed_s: when it last completed a prefill, as far as reported
    :ivar last_stalled_s: when the engine was last found stalled
    :ivar no_fetch_until_s: no cached parts are fetched from the engine until
        then
    """

    def __init__(
        self,
        endpoint: catalog.Endpoint,
        cost: prefillcost.PrefillCost,
    ) -> None:
        self.endpoint = endpoint
        self.cost = cost
        self.slowness_fit = _new_slowness_fit()
        self.excess_latency_s = 0.0
        self.pending_prefills: dict[int, PendingPrefill] = {}
        self.runs: set[int] = set()
        self.short_ends: collections.deque[float] = collections.deque()
        self.freed_s = 0.0
        self.transfer_until_s = 0.0
        self.first_event_s = 0.0
        self.cooldown_until_s = float('-inf')
        self.failures = 0
        self.probe_until_s = float('-inf')
        self.last_rejected = ('', float('-inf'))
        self.last_accepted_s = float('-inf')
        self.rejected_at_s: dict[str, float] = {}
        self.last_success_s = float('-inf')
        self.last_stalled_s = float('-inf')
        self.no_fetch_until_s = float('-inf')

    @property
    def slowness(self) -> float:
        """Ratio of measured to expected prefill time, within bounds."""
        return min(MAX_SLOWNESS, max(MIN_SLOWNESS, self.slowness_fit.ratio))

    def reset_slowness(self) -> None:
        """Reset the estimate of the engine's speed."""
        self.slowness_fit = _new_slowness_fit()

    @property
    def long_runs(self) -> int:
        """Number of long answers in progress, which prefill would delay."""
        return len(self.runs)

    @property
    def latency_s(self) -> float:
        """Latency of a prompt on this engine besides its prefill time."""
        return self.cost.latency_s + max(0.0, self.excess_latency_s)

    @property
    def overlapped_latency_s(self) -> float:
        """The part of the latency that overlaps with the next prefill."""
        return min(self.latency_s, MAX_LATENCY_FACTOR * self.cost.latency_s)

    def expect_run(self, ready_s: float, now_s: float) -> None:
        """Account for a short answer to a prompt that another engine prefills.

        :param ready_s: when the KV cache is expected to be transferred
        """
        self.short_ends.append(max(ready_s, now_s) + SHORT_RUN_S)

    def slots_in_use(self, at_s: float, now_s: float) -> int:
        """Return the number of slots that answers hold at a moment.

        Short answers count only for their expected duration, not while
        another engine still prefills their prompt.

        :param at_s: the moment, in monotonic seconds
        """
        while self.short_ends and self.short_ends[0] <= now_s:
            self.short_ends.popleft()
        short = 0
        for end_s in reversed(self.short_ends):
            if end_s <= at_s:
                break
            short += 1
        return len(self.runs) + short

    def expected_s(self, tokens: float, cached_tokens: float = 0.0) -> float:
        """Return the time that this engine needs to prefill tokens.

        :param tokens: uncached tokens
        :param cached_tokens: cached tokens that precede them
        """
        size = prefillcost.PromptSize(tokens, cached_tokens)
        return self.cost.seconds(size) * self.slowness

    def free_s(self, now_s: float) -> float:
        """Return when the engine completes all pending prefills."""
        latest_s = now_s
        for prefill in self.pending_prefills.values():
            if prefill.until_s > latest_s:
                latest_s = prefill.until_s
        return latest_s

    def assign(
        self,
        job_id: int,
        tokens: int,
        fetch_s: float,
        now_s: float,
        prompt_tokens: int = 0,
        sent_now: bool = True,
    ) -> float:
        """Account for a prompt that is sent to this engine.

        :param tokens: tokens to prefill
        :param fetch_s: time to fetch cached parts from another engine, in
            seconds
        :param prompt_tokens: length of the prompt, with its cached tokens
        :param sent_now: whether the prompt is sent now; if it was sent at an
            unknown time before, its end is no sample of the engine's speed
        :returns: when the prefill is expected to be complete
        """
        prompt_tokens = max(tokens, prompt_tokens)
        size = prefillcost.PromptSize(tokens, prompt_tokens - tokens)
        expected_s = self.cost.seconds(size)
        free_s = self.free_s(now_s)
        start_s = max(free_s, now_s + HOP_S + fetch_s)
        until_s = start_s + expected_s * self.slowness
        self.pending_prefills[job_id] = PendingPrefill(
            size,
            expected_s,
            self.cost.seconds(prefillcost.PromptSize(prompt_tokens)),
            now_s + fetch_s,
            until_s,
            sent_now and not self.pending_prefills,
        )
        return until_s

    def record_prefill_done(self, job_id: int, now_s: float) -> None:
        """Record that a prompt is prefilled, and update the estimates.

        :param now_s: when the report of the prompt's host arrived
        """
        prefill = self.pending_prefills.pop(job_id, None)
        if prefill is None:
            return
        latency_s = self.overlapped_latency_s
        arrived_s = prefill.sent_s + HOP_S
        freed_s = now_s - 2 * HOP_S - latency_s
        took_s = freed_s - max(arrived_s, self.freed_s)
        if prefill.was_idle:
            elapsed_s = now_s - 2 * HOP_S - arrived_s
            self._bound_slowness(prefill, elapsed_s)
            self._learn_from_idle(prefill, elapsed_s, now_s)
        elif arrived_s + latency_s <= self.freed_s:
            self._learn(prefill, max(MIN_SAMPLE_S, took_s), now_s)
        self.freed_s = max(self.freed_s, freed_s)
        self._reschedule(now_s)

    def drop_prefill(self, job_id: int, now_s: float) -> None:
        """Stop accounting for a prompt that will not be prefilled here."""
        if self.pending_prefills.pop(job_id, None) is not None:
            self._reschedule(now_s)

    def expire(self, now_s: float) -> list[int]:
        """Drop prompts whose end was never reported.

        The host that sent them died, or its report was lost.  Without this
        the engine would be regarded as busy forever.

        :returns: ids of the dropped jobs
        """
        lost = [
            job_id
            for job_id, prefill in self.pending_prefills.items()
            if now_s > self._lost_s(prefill)
        ]
        for job_id in lost:
            del self.pending_prefills[job_id]
        return lost

    def _lost_s(self, prefill: PendingPrefill) -> float:
        """Return when a prompt counts as lost.

        An engine that has completed others since is done with it.  An engine
        that has not is still busy or is stalled.  A stalled engine is
        reported to the hosts first: dropped earlier, its prompts would make
        it look idle, and it would be sent more.
        """
        duration_s = prefill.until_s - prefill.sent_s
        lost_s = prefill.sent_s + max(LOST_S, duration_s * LOST_FACTOR)
        if self.last_success_s > prefill.until_s:
            return lost_s
        return max(
            lost_s, prefill.until_s + 2 * self._stall_timeout_s(prefill)
        )

    def is_stalled(self, now_s: float) -> bool:
        """Whether the engine makes no progress with its pending prefills.

        A single slow prompt proves little: its engine may be busy with other
        prompts, slow, or down.  A busy or slow engine completes others in
        the meantime; one that is down completes none.
        """
        if not self.pending_prefills:
            return False
        first = next(iter(self.pending_prefills.values()))
        progress_s = max(first.until_s, self.last_success_s)
        return now_s - progress_s > self._stall_timeout_s(first)

    def _stall_timeout_s(self, prefill: PendingPrefill) -> float:
        """Return how long an engine may show no progress with a prompt.

        The time covers a prefill of the whole prompt, as the parts that are
        estimated to be cached may have been evicted.
        """
        return max(
            STALL_TIMEOUT_S, prefill.uncached_s * self.slowness * STALL_FACTOR
        )

    def _learn_from_idle(
        self, prefill: PendingPrefill, elapsed_s: float, now_s: float
    ) -> None:
        """Update the estimates from a prompt sent to the idle engine.

        Its time includes the latency.  The excess over the usual latency is
        kept per engine, so that an engine that has become slow is noticed
        even while it gets few prompts.

        :param elapsed_s: time from arrival to completion, in seconds
        """
        excess_latency_s = elapsed_s - prefill.expected_s * self.slowness
        excess_latency_s = min(
            MAX_LATENCY_S, excess_latency_s - self.cost.latency_s
        )
        self.excess_latency_s += LATENCY_WEIGHT * (
            excess_latency_s - self.excess_latency_s
        )
        if self._has_normal_speed():
            self.cost.update(
                prefill.size, max(MIN_SAMPLE_S, elapsed_s), True, now_s
            )

    def _bound_slowness(
        self, prefill: PendingPrefill, elapsed_s: float
    ) -> None:
        """Lower the slowness if a prompt sent to the idle engine disproves it.

        An engine that is regarded as slow gets few prompts, and is idle when
        they arrive.  Without this bound, the engine would be regarded as slow
        long after its recovery, and with several such engines nearly all
        requests would be refused while the engines are idle.

        :param elapsed_s: time from arrival to completion, in seconds
        """
        ratio = max(MIN_SLOWNESS, elapsed_s / prefill.expected_s)
        if ratio < self.slowness:
            ratio = self.slowness + RECOVERY_WEIGHT * (ratio - self.slowness)
            self.slowness_fit = _new_slowness_fit(ratio)

    def _learn(
        self, prefill: PendingPrefill, took_s: float, now_s: float
    ) -> None:
        self.slowness_fit.add(prefill.expected_s, took_s)
        self.cost.typical_slowness.add(self.slowness)
        if self._has_normal_speed():
            self.cost.update(prefill.size, took_s, False, now_s)

    def _has_normal_speed(self) -> bool:
        """Whether the engine's samples are fit for the common cost model.

        The engine's slowness is compared with the typical one: while the
        model's estimates are too low for all engines, no engine is slow.
        """
        usual = max(1.0, self.cost.typical_slowness.median_s)
        return self.slowness < NORMAL_SLOWNESS * usual

    def _reschedule(self, now_s: float) -> None:
        """Recompute the expected completion of all pending prefills."""
        until_s = self.freed_s
        for prefill in self.pending_prefills.values():
            until_s = max(until_s, prefill.sent_s + HOP_S)
            until_s += prefill.expected_s * self.slowness
            prefill.until_s = until_s


def _new_slowness_fit(ratio: float = 1.0) -> costs.RatioFit:
    return costs.RatioFit(ratio, SLOWNESS_PRIOR_S, SLOWNESS_MEMORY_S)
