"""Estimates which prompt parts the engines' LRU prefix caches hold."""

import collections
from collections.abc import Sequence
import itertools
from typing import NamedTuple

__all__ = [
    'CacheIndex',
    'CachedPrefixes',
    'PromptCache',
    'PromptPart',
    'total_tokens',
]


class PromptPart(NamedTuple):
    """A part of a prompt, which other prompts may share.

    :param id: hash of the part's identity
    :param tokens: length of the part
    """

    id: int
    tokens: int


def total_tokens(parts: Sequence[PromptPart]) -> int:
    """Return the total length of the parts in tokens."""
    return sum(part.tokens for part in parts)


class PromptCache:
    """Estimated prefix cache of one engine, from the prompts sent to it.

    Engines evict the least recently used parts, so the contents follow from
    the order of use and the cache size, without reports from the engine.

    :param capacity_tokens: cache size
    :ivar parts: tokens of each cached part, least recently used first
    """

    def __init__(self, capacity_tokens: float) -> None:
        self.capacity_tokens = capacity_tokens
        self.parts: collections.OrderedDict[int, int] = (
            collections.OrderedDict()
        )
        self.used_tokens = 0

    def use(self, parts: Sequence[PromptPart]) -> list[int]:
        """Add parts that the engine prefills or receives from another.

        :returns: ids of the evicted parts
        """
        for part in parts:
            known = self.parts.pop(part.id, None)
            if known is not None:
                self.used_tokens -= known
            self.parts[part.id] = part.tokens
            self.used_tokens += part.tokens
        dropped = []
        while self.used_tokens > self.capacity_tokens and self.parts:
            dropped_id, tokens = self.parts.popitem(last=False)
            self.used_tokens -= tokens
            dropped.append(dropped_id)
        return dropped

    def drop(self, part_id: int) -> None:
        """Remove a part that is not in the engine's cache."""
        tokens = self.parts.pop(part_id, None)
        if tokens is not None:
            self.used_tokens -= tokens


class CachedPrefixes:
    """Lengths of the prefix of one prompt that engines cache.

    A cached part is of use only if all parts before it are cached too, so
    the sets of engines shrink from the first level to the last.

    :ivar levels: for the first 1, 2, ... parts, the engines that cache all
        of these, and their total tokens
    """

    def __init__(self, levels: list[tuple[set[str], int]]) -> None:
        self.levels = levels

    @property
    def max_tokens(self) -> int:
        """Length of the longest prefix that any engine caches, in tokens."""
        return self.levels[-1][1] if self.levels else 0

    def tokens(self, engine: str) -> int:
        """Return the length of the prefix that an engine caches, in tokens."""
        for engines, tokens in reversed(self.levels):
            if engine in engines:
                return tokens
        return 0

    def holders(self, limit: int) -> list[str]:
        """Return the engines that cache the longest prefixes.

        :param limit: maximum number of engines
        """
        found: dict[str, None] = {}
        for engines, _ in reversed(self.levels):
            for engine in itertools.islice(engines, limit):
                found[engine] = None
            if len(found) >= limit:
                break
        return list(itertools.islice(found, limit))


class CacheIndex:
    """Estimated prefix caches of all engines, with an index by part.

    With the index the cost of a lookup depends on the number of parts of the
    prompt, not on the number of engines.

    As an engine prefills one prompt after another, the parts of a prompt
    that was sent to it count as cached for later prompts at that engine.
    Other engines can fetch them only after the prefill: an earlier fetch
    returns nothing, and a prompt of tens of thousands of tokens would be
    prefilled again.

    :ivar by_part: engines that cache a part, by part
    :ivar pending: parts that were sent to an engine and are not prefilled
        yet, with the job that contains them, by engine
    :ivar expected: engines and parts that are pending for a job, by job
    """

    def __init__(self) -> None:
        self.caches: dict[str, PromptCache] = {}
        self.by_part: dict[int, set[str]] = {}
        self.pending: dict[str, dict[int, int]] = {}
        self.expected: dict[int, list[tuple[str, int]]] = {}

    def add(self, engine: str, capacity_tokens: float) -> None:
        """Add an engine with an empty cache."""
        self.drop(engine)
        self.caches[engine] = PromptCache(capacity_tokens)
        self.pending[engine] = {}

    def drop(self, engine: str) -> None:
        """Remove an engine and its cache."""
        self.pending.pop(engine, None)
        cache = self.caches.pop(engine, None)
        if cache is not None:
            for part in cache.parts:
                self._forget(engine, part)

    def use(self, engine: str, parts: Sequence[PromptPart]) -> None:
        """Add parts to an engine's cache.

        The engine has the parts, or will have them before it prefills the
        next prompt.
        """
        cache = self.caches.get(engine)
        if cache is None:
            return
        for part in parts:
            self.by_part.setdefault(part.id, set()).add(engine)
        for dropped in cache.use(parts):
            self._forget(engine, dropped)

    def add_pending(
        self, engine: str, job_id: int, parts: Sequence[PromptPart]
    ) -> None:
        """Add parts that an engine will prefill or receive with a job."""
        cache = self.caches.get(engine)
        if cache is None:
            return
        missing = [part.id for part in parts if part.id not in cache.parts]
        self.use(engine, parts)
        self.pending[engine].update(dict.fromkeys(missing, job_id))
        pending_jobs = self.expected.setdefault(job_id, [])
        pending_jobs.extend((engine, part) for part in missing)

    def record_prefill_done(self, job_id: int) -> None:
        """Record that the prompt of a job is prefilled."""
        for engine, part in self.expected.pop(job_id, ()):
            pending = self.pending.get(engine, {})
            if pending.get(part) == job_id:
                del pending[part]

    def abandon(self, job_id: int) -> None:
        """Remove the pending parts of a job that will not be prefilled."""
        for engine, part in self.expected.pop(job_id, ()):
            pending = self.pending.get(engine, {})
            if pending.get(part) == job_id:
                del pending[part]
                self.caches[engine].drop(part)
                self._forget(engine, part)

    def pending_jobs(
        self, engine: str, parts: Sequence[PromptPart]
    ) -> set[int]:
        """Return the jobs for which an engine has yet to prefill the parts."""
        pending = self.pending.get(engine, {})
        return {pending[part.id] for part in parts if part.id in pending}

    def ready_tokens(self, engine: str, parts: Sequence[PromptPart]) -> int:
        """Return the length of the prefix that others can fetch now.

        :returns: tokens of the leading parts that the engine has prefilled
        """
        cache = self.caches.get(engine)
        if cache is None:
            return 0
        pending = self.pending[engine]
        tokens = 0
        for part in parts:
            if part.id not in cache.parts or part.id in pending:
                break
            tokens += part.tokens
        return tokens

    def cached_prefixes(self, parts: Sequence[PromptPart]) -> CachedPrefixes:
        """Return which engines cache how much of a prompt."""
        levels: list[tuple[set[str], int]] = []
        engines: set[str] | None = None
        tokens = 0
        for part in parts:
            holders = self.by_part.get(part.id)
            if not holders:
                break
            engines = holders if engines is None else engines & holders
            if not engines:
                break
            tokens += part.tokens
            levels.append((engines, tokens))
        return CachedPrefixes(levels)

    def _forget(self, engine: str, part: int) -> None:
        holders = self.by_part.get(part)
        if holders is None:
            return
        holders.discard(engine)
        if not holders:
            del self.by_part[part]
