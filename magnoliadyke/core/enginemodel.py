"""When an engine will be done with the prompts it was given.

An engine reads prompts one after another at a steady rate; each also takes
a fixed time that does not keep it from reading the next one.  Taken for
reading time, that latency made an engine look half as fast as it is, and it
idled between prompts.  So both are measured apart: reading time where one
prompt follows another without a gap, latency where a prompt came alone.
"""

import collections
import dataclasses

from magnoliadyke.core import catalog
from magnoliadyke.core import costs
from magnoliadyke.core import prefillcost

__all__ = ['HOP_S', 'EngineModel']

#: Weight of a new measurement in the latency of one engine.
LATENCY_WEIGHT = 0.1
#: An engine's latency above this multiple of the usual one is the wait for
#: prompts that nobody here knows of; it says nothing of the next prompt.
MAX_LATENCY_FACTOR = 2.0
MAX_LATENCY_S = 0.3
#: Reading time after which most of what an engine has shown is forgotten, in
#: seconds, and what its first guess counts for.  Counted by time and not by
#: prompts: engines work in steps, and of two short prompts in one step the
#: first seems to take all of it and the second nothing.
PACE_MEMORY_S = 0.5
PACE_PRIOR_S = 0.1
#: Weight of a sample that shows an engine faster than it was taken for, in
#: which no other prompt can have had a part: three take away four fifths.
RECOVERY_WEIGHT = 0.4
MIN_SLOWNESS = 0.5
MAX_SLOWNESS = 20.0
#: Samples of engines within this range of slowness teach the common fit.
NORMAL_SLOWNESS = 1.5
#: One way between a host and an engine, and between hosts; a thousandth of
#: a second is what hops inside an area take.
HOP_S = 0.001
#: A job whose end was never reported is taken as lost after this many
#: times its expected length, and never before this many seconds.
LOST_FACTOR = 5.0
LOST_S = 0.5
#: An engine that has shown no life for this long, in seconds, since it was
#: due with a prompt, and for so many times what it takes to read all of that
#: prompt, reads nothing.  One that is busy with what nobody here knows of,
#: or that reads at half of its usual speed, is back within it.
STALL_TIMEOUT_S = 0.5
STALL_FACTOR = 2.0
#: How long a short answer holds a slot after its prompt was moved, in
#: seconds: a few steps, and the way of the request there.
SHORT_RUN_S = 0.02
#: Shortest time that counts as measured.
MIN_SAMPLE_S = 0.0002


@dataclasses.dataclass(slots=True)
class PendingPrefill:
    """A prompt that an engine has been given.

    :ivar expected_s: reading time at ordinary speed
    :ivar whole_s: the same if none of it is kept after all
    :ivar until_s: when the engine is expected to be free of it
    :ivar alone: the engine had nothing to read when it came
    """

    size: prefillcost.PromptSize
    expected_s: float
    whole_s: float
    sent_s: float
    until_s: float
    was_idle: bool


class EngineModel:
    """One engine as the placement sees it.

    :ivar pace: what reading took, over what it was expected to
    :ivar extra_s: what prompts take here beside being read, beyond the usual
    :ivar readings: prompts given and not yet reported as read
    :ivar runs: long answers, which hold a slot
    :ivar after_s: time from a prompt read elsewhere to its first event
    :ivar failures: in a row
    :ivar probe_until_s: one that may be down is tried by a request until
        then, and gets no other
    :ivar turned_away: whose prompts it turned away, and when last
    :ivar lapsed_at: who turned away a prompt that it had read, and when
    :ivar took_s: when it last answered a prompt that another had read
    :ivar freed_s: when it was last free of a prompt, as far as reported
    :ivar silent_s: when it was last found to read nothing
    """

    def __init__(
        self,
        endpoint: catalog.Endpoint,
        cost: prefillcost.PrefillCost,
    ) -> None:
        self.endpoint = endpoint
        self.cost = cost
        self.pace = _new_pace()
        self.extra_s = 0.0
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
        """Measured over expected reading time."""
        return min(MAX_SLOWNESS, max(MIN_SLOWNESS, self.pace.ratio))

    def forget_pace(self) -> None:
        """Nothing is known of how fast it reads."""
        self.pace = _new_pace()

    @property
    def long_runs(self) -> int:
        """How many long answers it gives; prompts would disturb them."""
        return len(self.runs)

    @property
    def latency_s(self) -> float:
        """What a prompt takes here beside being read."""
        return self.cost.latency_s + max(0.0, self.extra_s)

    @property
    def overlapped_latency_s(self) -> float:
        """The part of its latency in which it can read the next prompt."""
        return min(self.latency_s, MAX_LATENCY_FACTOR * self.cost.latency_s)

    def expect_run(self, ready_s: float, now_s: float) -> None:
        """A short answer follows a prompt that was read elsewhere."""
        self.short_ends.append(max(ready_s, now_s) + SHORT_RUN_S)

    def slots_in_use(self, at_s: float, now_s: float) -> int:
        """Slots that answers hold at a moment.

        Short answers hold one only for their expected time, not while
        their prompt is still being read elsewhere.
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
        """Time that this engine needs to read uncached tokens.

        :param before: cached tokens that come before them
        """
        size = prefillcost.PromptSize(tokens, cached_tokens)
        return self.cost.seconds(size) * self.slowness

    def free_s(self, now_s: float) -> float:
        """When it has read all that it was given."""
        latest_s = now_s
        for prefill in self.pending_prefills.values():
            if prefill.until_s > latest_s:
                latest_s = prefill.until_s
        return latest_s

    def assign(
        self,
        job: int,
        tokens: int,
        fetch_s: float,
        now_s: float,
        prompt_tokens: int = 0,
        sent_now: bool = True,
    ) -> float:
        """Account a prompt; returns when it is expected to be read.

        :param all_tokens: of the prompt, with those that are kept
        :param fetch_s: time in which cached parts come from elsewhere
        :param seen: it is sent now; else nobody here knows how long the
            engine has had it, and its end says little of the engine
        """
        prompt_tokens = max(tokens, prompt_tokens)
        size = prefillcost.PromptSize(tokens, prompt_tokens - tokens)
        expected_s = self.cost.seconds(size)
        free_s = self.free_s(now_s)
        start_s = max(free_s, now_s + HOP_S + fetch_s)
        until_s = start_s + expected_s * self.slowness
        self.pending_prefills[job] = PendingPrefill(
            size,
            expected_s,
            self.cost.seconds(prefillcost.PromptSize(prompt_tokens)),
            now_s + fetch_s,
            until_s,
            sent_now and not self.pending_prefills,
        )
        return until_s

    def record_prefill_done(self, job: int, now_s: float) -> None:
        """A prompt has been read; its host has just said so."""
        prefill = self.pending_prefills.pop(job, None)
        if prefill is None:
            return
        latency_s = self.overlapped_latency_s
        arrived_s = prefill.sent_s + HOP_S
        freed_s = now_s - 2 * HOP_S - latency_s
        took_s = freed_s - max(arrived_s, self.freed_s)
        if prefill.was_idle:
            whole_s = now_s - 2 * HOP_S - arrived_s
            self._bound_slowness(prefill, whole_s)
            self._learn_from_idle(prefill, whole_s, now_s)
        elif arrived_s + latency_s <= self.freed_s:
            self._learn(prefill, max(MIN_SAMPLE_S, took_s), now_s)
        self.freed_s = max(self.freed_s, freed_s)
        self._reschedule(now_s)

    def forget(self, job: int, now_s: float) -> None:
        """A prompt will not be read here after all."""
        if self.pending_prefills.pop(job, None) is not None:
            self._reschedule(now_s)

    def expire(self, now_s: float) -> list[int]:
        """Drop jobs whose end was never reported; returns them.

        The host that sent them died, or its datagram was lost: without
        this the engine would count as busy for good.
        """
        lost = [
            job
            for job, prefill in self.pending_prefills.items()
            if now_s > self._lost_s(prefill)
        ]
        for job in lost:
            del self.pending_prefills[job]
        return lost

    def _lost_s(self, prefill: PendingPrefill) -> float:
        """From when on a prompt counts as lost.

        An engine that has read others since is done with it.  One that has
        not is busy still, or reads nothing, and then the hosts are told so:
        taken for free it would be given more.
        """
        length_s = prefill.until_s - prefill.sent_s
        lost_s = prefill.sent_s + max(LOST_S, length_s * LOST_FACTOR)
        if self.last_success_s > prefill.until_s:
            return lost_s
        return max(
            lost_s, prefill.until_s + 2 * self._stall_timeout_s(prefill)
        )

    def is_stalled(self, now_s: float) -> bool:
        """Whether it reads nothing of what it was given.

        A prompt that takes long says little: its engine may be busy with
        others, slow, or down.  One that is busy or slow reads others in the
        meantime, and each of them is a sign of life; one that is down gives
        none at all.
        """
        if not self.pending_prefills:
            return False
        first = next(iter(self.pending_prefills.values()))
        life_s = max(first.until_s, self.last_success_s)
        return now_s - life_s > self._stall_timeout_s(first)

    def _stall_timeout_s(self, prefill: PendingPrefill) -> float:
        """How long an engine may show no life while it reads a prompt.

        What was believed to be kept may be gone; then all of it is read.
        """
        return max(
            STALL_TIMEOUT_S, prefill.whole_s * self.slowness * STALL_FACTOR
        )

    def _learn_from_idle(
        self, prefill: PendingPrefill, whole_s: float, now_s: float
    ) -> None:
        """A prompt came alone; its time has the latency in it.

        What is beyond the usual is kept by engine: one that has turned slow
        shows it here also while it gets few prompts.
        """
        extra_s = whole_s - prefill.expected_s * self.slowness
        extra_s = min(MAX_LATENCY_S, extra_s - self.cost.latency_s)
        self.extra_s += LATENCY_WEIGHT * (extra_s - self.extra_s)
        if self._has_normal_speed():
            self.cost.learn(
                prefill.size, max(MIN_SAMPLE_S, whole_s), True, now_s
            )

    def _bound_slowness(self, prefill: PendingPrefill, whole_s: float) -> None:
        """A prompt that came alone was read within the time it took.

        An engine that is taken for slow gets few prompts, each of them
        alone: it would keep the name for good, long after it has
        recovered, and with several of them nearly all callers would be
        refused by idle engines.
        """
        ratio = max(MIN_SLOWNESS, whole_s / prefill.expected_s)
        if ratio < self.slowness:
            ratio = self.slowness + RECOVERY_WEIGHT * (ratio - self.slowness)
            self.pace = _new_pace(ratio)

    def _learn(
        self, prefill: PendingPrefill, took_s: float, now_s: float
    ) -> None:
        self.pace.add(prefill.expected_s, took_s)
        self.cost.typical_slowness.add(self.slowness)
        if self._has_normal_speed():
            self.cost.learn(prefill.size, took_s, False, now_s)

    def _has_normal_speed(self) -> bool:
        """Whether what it takes says something of engines in general.

        Measured against what prompts usually take: while the expectation is
        too low for all, none of them is slow.
        """
        usual = max(1.0, self.cost.typical_slowness.median_s)
        return self.slowness < NORMAL_SLOWNESS * usual

    def _reschedule(self, now_s: float) -> None:
        """Expect the remaining prompts anew, one after another."""
        until_s = self.freed_s
        for prefill in self.pending_prefills.values():
            until_s = max(until_s, prefill.sent_s + HOP_S)
            until_s += prefill.expected_s * self.slowness
            prefill.until_s = until_s


def _new_pace(ratio: float = 1.0) -> costs.RatioFit:
    return costs.RatioFit(ratio, PACE_PRIOR_S, PACE_MEMORY_S)
