"""Step model of an engine: continuous batching, KV cache and roles."""

import collections
import heapq
from typing import NamedTuple

from magnoliadyke.core import jobs

__all__ = [
    'BLOCK_TOKENS',
    'CacheEvicted',
    'CacheStored',
    'DECODE',
    'EngineModel',
    'EngineSpec',
    'Finished',
    'NO_STREAM',
    'PREFILL',
    'PrefillDone',
    'RoleChanged',
    'Token',
    'Work',
]

PREFILL = 'prefill'
DECODE = 'decode'
BLOCK_TOKENS = 64
NO_STREAM = -1


class EngineSpec(NamedTuple):
    """Speeds and sizes of an engine.

    The defaults describe an engine whose decode step with a full batch of
    64 takes 46 ms (1,400 tokens/s) and that prefills 5,000 tokens/s.

    :param prefill_s_per_token: seconds per prompt token, prefill role
    :param decode_base_s: fixed part of a decode step, in seconds
    :param decode_s_per_stream: seconds that each stream adds to a step
    :param prefill_penalty_on_decode: factor on prefill time, decode role
    :param decode_penalty_on_prefill: factor on decode time, prefill role
    :param max_batch: maximum number of streams in one decode step
    :param kv_capacity_tokens: size of the KV cache in tokens, including the
        prefix cache
    :param chunk_tokens: maximum prompt tokens in one step
    :param min_chunk_tokens: minimum prompt tokens in a step of the decode
        role with running streams, if that many wait
    :param step_target_s: step time for which the decode role sizes its
        prefill chunks
    :param role_change_s: duration of a role change; no step runs meanwhile
    :param kv_import_s_per_token: seconds to import one token of KV cache
    """

    prefill_s_per_token: float = 0.0002
    decode_base_s: float = 0.02
    decode_s_per_stream: float = 0.0004
    prefill_penalty_on_decode: float = 2.5
    decode_penalty_on_prefill: float = 2.5
    max_batch: int = 64
    kv_capacity_tokens: int = 400_000
    chunk_tokens: int = 1024
    min_chunk_tokens: int = 32
    step_target_s: float = 0.06
    role_change_s: float = 6.0
    kv_import_s_per_token: float = 0.00001


class Work(NamedTuple):
    """A request, or one stage of it, submitted to an engine.

    :param kind: 'prefill' (computes the KV cache only), 'decode' (imports
        the KV cache from another engine) or 'both'
    :param output_tokens: length of the complete output, `offset` included
    :param priority: lower values run first
    :param offset: number of output tokens generated earlier
    """

    id: str
    kind: str
    prompt_tokens: int
    output_tokens: int = 0
    priority: int = 5
    prefix_blocks: tuple = ()
    offset: int = 0


class PrefillDone(NamedTuple):
    """The prefill is complete; the KV cache of the prompt is ready."""

    id: str
    at_s: float
    cached_tokens: int


class Token(NamedTuple):
    """Output token number `index` was generated."""

    id: str
    index: int
    at_s: float


class Finished(NamedTuple):
    """All output tokens were generated."""

    id: str
    at_s: float


class RoleChanged(NamedTuple):
    """A role change is complete."""

    role: str
    at_s: float


class CacheStored(NamedTuple):
    """Blocks were added to the prefix cache."""

    blocks: tuple
    at_s: float


class CacheEvicted(NamedTuple):
    """Blocks were evicted from the prefix cache."""

    blocks: tuple
    at_s: float


class _Entry:
    """Progress of one work item."""

    __slots__ = (
        'cached_tokens',
        'end_step',
        'needed_tokens',
        'prefill_left',
        'ready_s',
        'work',
    )

    def __init__(self, work, now_s):
        self.work = work
        self.ready_s = now_s
        self.prefill_left = NO_STREAM
        self.cached_tokens = 0
        self.end_step = 0
        self.needed_tokens = work.prompt_tokens
        if work.kind != PREFILL:
            self.needed_tokens += work.output_tokens


class EngineModel:
    """Simulates one engine; :meth:`advance` moves its clock.

    The model runs in steps, as an engine with continuous batching does:
    a step generates one token for each running stream and prefills a chunk
    of the waiting prompts.  A stream's end is stored as a step number, so
    simulating a step costs the same for any batch size.  Steps in which no
    work starts or ends are simulated as one span, unless `report_tokens`
    is set.

    :param spec: speeds and sizes
    :param role: 'prefill' or 'decode'
    :param report_tokens: report every token, not only each stream's first
    """

    def __init__(self, spec, role, report_tokens=False, now_s=0.0):
        self.spec = spec
        self.role = role
        self.target_role = role
        self.report_tokens = report_tokens
        self.state = 'in'
        self.generation = 0
        self.kv_used_tokens = 0
        self.cache = collections.OrderedDict()
        self.running = {}
        self.waiting_prompt_tokens = 0
        self._entries = {}
        self._waiting_prompts = []
        self._imports = []
        self._stream_ends = []
        self._new_streams = []
        self._serial = 0
        self._step_count = 0
        self._events = []
        self._at_s = now_s
        self._span_steps = 0
        self._step_s = 0.0
        self._step_prompts = ()
        self._change_end_s = None

    def submit(self, work, now_s):
        """Enqueue a work item; it may join the batch at the next step."""
        self._complete_steps(now_s)
        entry = _Entry(work, now_s)
        self._entries[work.id] = entry
        self._serial += 1
        key = (work.priority, self._serial, entry)
        if work.kind == DECODE:
            entry.ready_s = now_s + self._import_s(work)
            heapq.heappush(self._imports, key)
        else:
            heapq.heappush(self._waiting_prompts, key)
            self.waiting_prompt_tokens += work.prompt_tokens
        self._start_step(now_s)

    def cancel(self, work_id, now_s):
        """Remove a work item.

        :returns: number of output tokens so far, or `NO_STREAM` if the
            engine does not hold the work item
        """
        self._complete_steps(now_s)
        entry = self._entries.pop(work_id, None)
        if entry is None:
            return NO_STREAM
        offset = self._output_offset(entry)
        if self.running.pop(work_id, None) is not None:
            self.kv_used_tokens -= entry.needed_tokens
        elif entry.work.kind != DECODE:
            self.waiting_prompt_tokens -= self._prompt_left(entry)
            if entry.prefill_left != NO_STREAM:
                self.kv_used_tokens -= entry.needed_tokens
        self._start_step(now_s)
        return offset

    def offset(self, work_id):
        """Return the number of output tokens that a work item has so far.

        :returns: `NO_STREAM` if the engine does not hold the work item
        """
        entry = self._entries.get(work_id)
        return NO_STREAM if entry is None else self._output_offset(entry)

    def set_role(self, role, now_s):
        """Start a role change; running work pauses until it is complete.

        The prefix cache is cleared.  The caller has to drain the engine
        first if its work must not pause.
        """
        self._complete_steps(now_s)
        self.target_role = role
        self.generation += 1
        self.state = 'changing'
        self._step_prompts = ()
        self._change_end_s = now_s + self.spec.role_change_s
        self._span_steps = 0
        self._evict(len(self.cache), now_s)

    def crash(self, now_s):
        """Drop all work, the KV cache and the prefix cache.

        :returns: ids of the dropped work items
        """
        self._complete_steps(now_s)
        lost = list(self._entries)
        self.state = 'crashed'
        self._change_end_s = None
        self._span_steps = 0
        self._entries = {}
        self.running = {}
        self._waiting_prompts = []
        self._imports = []
        self._stream_ends = []
        self._new_streams = []
        self._step_prompts = ()
        self.waiting_prompt_tokens = 0
        self.kv_used_tokens = 0
        self._evict(len(self.cache), now_s)
        return lost

    def restart(self, now_s):
        """Accept work again, with empty caches, after a crash."""
        self.state = 'in'
        self._at_s = now_s

    def advance(self, now_s):
        """Simulate up to `now_s`.

        :returns: events since the last call, oldest first
        """
        self._complete_steps(now_s)
        self._start_step(now_s)
        events, self._events = self._events, []
        return events

    def next_event_s(self):
        """Return the time of the next event, or None if no work can run."""
        if self._events:
            return self._at_s
        if self._change_end_s is not None:
            return self._change_end_s
        if self._span_steps:
            return self._at_s + self._span_steps * self._step_s
        if self._imports and self.state == 'in':
            return min(key[2].ready_s for key in self._imports)
        return None

    def report(self, now_s):
        """Return the engine's current load report."""
        queued = len(self._entries) - len(self.running)
        return jobs.LoadReport(
            at_s=now_s,
            role=self.role,
            state=self.state,
            generation=self.generation,
            running=len(self.running),
            queued=queued,
            queued_prompt_tokens=self.waiting_prompt_tokens,
            kv_used_tokens=self.kv_used_tokens,
            kv_capacity_tokens=self.spec.kv_capacity_tokens,
        )

    def _import_s(self, work):
        tokens = work.prompt_tokens + work.offset
        return tokens * self.spec.kv_import_s_per_token

    def _output_offset(self, entry):
        if entry.work.id not in self.running:
            return entry.work.offset
        left = entry.end_step - self._step_count
        return entry.work.output_tokens - left

    def _prompt_left(self, entry):
        if entry.prefill_left == NO_STREAM:
            return entry.work.prompt_tokens
        return entry.prefill_left

    def _complete_steps(self, now_s):
        """Apply the effects of all steps that end by `now_s`."""
        if self._change_end_s is not None:
            if self._change_end_s > now_s:
                return
            self._complete_role_change()
        while self._span_steps:
            end_s = self._at_s + self._span_steps * self._step_s
            if end_s > now_s:
                self._truncate_span(now_s)
                return
            self._step_count += self._span_steps
            self._at_s = end_s
            self._span_steps = 0
            self._complete_step()
            self._start_step(end_s)

    def _truncate_span(self, now_s):
        """Complete the steps of the span that end by `now_s`."""
        if self._span_steps == 1:
            return
        completed_steps = int((now_s - self._at_s) / self._step_s)
        completed_steps = min(max(completed_steps, 0), self._span_steps - 1)
        self._step_count += completed_steps
        self._at_s += completed_steps * self._step_s
        self._span_steps -= completed_steps

    def _complete_role_change(self):
        self.role = self.target_role
        self.state = 'in'
        self._at_s = self._change_end_s
        self._change_end_s = None
        self._events.append(RoleChanged(self.role, self._at_s))
        self._start_step(self._at_s)

    def _start_step(self, now_s):
        """Schedule the next step, or cut a span short so that work may join.

        A span that is under way is reduced to its current step.
        """
        if self.state != 'in':
            return
        if self._span_steps:
            if self._has_joinable_work():
                self._span_steps = 1
            return
        self._at_s = max(self._at_s, now_s)
        self._admit_imports()
        decode_s = self._decode_s()
        prompts_s = self._schedule_prefill(decode_s)
        if not self.running and not self._step_prompts:
            return
        self._step_s = decode_s + prompts_s
        self._span_steps = self._steps_ahead()

    def _steps_ahead(self):
        if self.report_tokens or self._new_streams or self._step_prompts:
            return 1
        if self._has_joinable_work():
            return 1
        while (
            self._stream_ends
            and self._stream_ends[0][2].work.id not in self.running
        ):
            heapq.heappop(self._stream_ends)
        return max(1, self._stream_ends[0][0] - self._step_count)

    def _has_joinable_work(self):
        if self._waiting_prompts:
            return True
        return self._imports and len(self.running) < self.spec.max_batch

    def _decode_s(self):
        streams = len(self.running)
        if not streams:
            return 0.0
        spec = self.spec
        step_s = spec.decode_base_s + spec.decode_s_per_stream * streams
        if self.role == PREFILL:
            step_s *= spec.decode_penalty_on_prefill
        return step_s

    def _admit_imports(self):
        later = []
        while self._imports and len(self.running) < self.spec.max_batch:
            key = heapq.heappop(self._imports)
            entry = key[2]
            if self._entries.get(entry.work.id) is not entry:
                continue
            if entry.ready_s > self._at_s or not self._reserve_kv(entry):
                later.append(key)
                continue
            self._start_stream(entry)
        for key in later:
            heapq.heappush(self._imports, key)

    def _reserve_kv(self, entry):
        free = self.spec.kv_capacity_tokens - self.kv_used_tokens
        if entry.needed_tokens > free and self.kv_used_tokens:
            return False
        self.kv_used_tokens += entry.needed_tokens
        self._evict_excess()
        return True

    def _start_stream(self, entry):
        work = entry.work
        self.running[work.id] = entry
        left = max(work.output_tokens - work.offset, 1)
        entry.end_step = self._step_count + left
        self._serial += 1
        heapq.heappush(
            self._stream_ends, (entry.end_step, self._serial, entry)
        )
        self._new_streams.append(entry)

    def _schedule_prefill(self, decode_s):
        """Choose the prompt tokens that the next step prefills.

        :returns: seconds that their prefill adds to the step
        """
        budget, token_s = self._prompt_budget(decode_s)
        left = budget
        chosen = []
        kept = []
        is_blocked = False
        while self._waiting_prompts and left > 0:
            key = heapq.heappop(self._waiting_prompts)
            entry = key[2]
            if not self._needs_prefill(entry):
                continue
            kept.append(key)
            if entry.prefill_left == NO_STREAM:
                # Prompts whose prefill has started continue ahead of one
                # that can't reserve KV cache: if they waited behind it,
                # they would never release the memory that it needs.
                is_blocked = is_blocked or not self._start_prefill(entry)
                if is_blocked:
                    continue
            tokens = min(left, entry.prefill_left)
            chosen.append((entry, tokens))
            left -= tokens
        for key in kept:
            heapq.heappush(self._waiting_prompts, key)
        self._step_prompts = chosen
        return (budget - left) * token_s

    def _needs_prefill(self, entry):
        present = self._entries.get(entry.work.id) is entry
        return present and entry.prefill_left != 0

    def _prompt_budget(self, decode_s):
        spec = self.spec
        token_s = spec.prefill_s_per_token
        if self.role == PREFILL:
            return spec.chunk_tokens, token_s
        token_s *= spec.prefill_penalty_on_decode
        if not self.running:
            return spec.chunk_tokens, token_s
        fitting = int((spec.step_target_s - decode_s) / token_s)
        fitting = max(spec.min_chunk_tokens, fitting)
        return min(spec.chunk_tokens, fitting), token_s

    def _start_prefill(self, entry):
        """Reserve KV cache for a prompt and look up its cached prefix.

        :returns: False if the batch or the KV cache is full
        """
        work = entry.work
        streams = len(self.running)
        if work.kind != PREFILL and streams >= self.spec.max_batch:
            return False
        if not self._reserve_kv(entry):
            return False
        cached = self._cached_tokens(work)
        entry.cached_tokens = cached
        entry.prefill_left = work.prompt_tokens - cached
        self.waiting_prompt_tokens -= cached
        return True

    def _cached_tokens(self, work):
        blocks = 0
        for block in work.prefix_blocks:
            if block not in self.cache:
                break
            blocks += 1
        for block in reversed(work.prefix_blocks[:blocks]):
            self.cache.move_to_end(block)
        return min(blocks * BLOCK_TOKENS, max(work.prompt_tokens - 1, 0))

    def _complete_step(self):
        self._report_tokens()
        self._new_streams = []
        while (
            self._stream_ends and self._stream_ends[0][0] <= self._step_count
        ):
            entry = heapq.heappop(self._stream_ends)[2]
            if self.running.get(entry.work.id) is entry:
                self._finish_stream(entry)
        chosen, self._step_prompts = self._step_prompts, ()
        for entry, tokens in chosen:
            self._complete_prefill_chunk(entry, tokens)

    def _report_tokens(self):
        entries = self._new_streams
        if self.report_tokens:
            entries = self.running.values()
        for entry in entries:
            if self.running.get(entry.work.id) is entry:
                index = self._output_offset(entry) - 1
                self._events.append(Token(entry.work.id, index, self._at_s))

    def _finish_stream(self, entry):
        work_id = entry.work.id
        del self.running[work_id]
        del self._entries[work_id]
        self.kv_used_tokens -= entry.needed_tokens
        self._events.append(Finished(work_id, self._at_s))

    def _complete_prefill_chunk(self, entry, tokens):
        work = entry.work
        if self._entries.get(work.id) is not entry:
            return
        entry.prefill_left -= tokens
        self.waiting_prompt_tokens -= tokens
        if entry.prefill_left > 0:
            return
        done = PrefillDone(work.id, self._at_s, entry.cached_tokens)
        self._events.append(done)
        self._store_blocks(work.prefix_blocks)
        if work.kind == PREFILL:
            del self._entries[work.id]
            self.kv_used_tokens -= entry.needed_tokens
        else:
            self._start_stream(entry)

    def _store_blocks(self, blocks):
        new = tuple(block for block in blocks if block not in self.cache)
        for block in reversed(blocks):
            self.cache[block] = None
            self.cache.move_to_end(block)
        if new:
            self._events.append(CacheStored(new, self._at_s))
        self._evict_excess()

    def _evict_excess(self):
        free = self.spec.kv_capacity_tokens - self.kv_used_tokens
        over = len(self.cache) - max(free, 0) // BLOCK_TOKENS
        if over > 0:
            self._evict(over, self._at_s)

    def _evict(self, count, now_s):
        count = min(count, len(self.cache))
        if not count:
            return
        evicted = tuple(
            self.cache.popitem(last=False)[0] for _ in range(count)
        )
        self._events.append(CacheEvicted(evicted, now_s))
