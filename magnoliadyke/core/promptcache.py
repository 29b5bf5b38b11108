"""A model of the engines' prompt caches: parts in order of their last use."""

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
    """A part of a prompt; requests may share it.

    :param id: hash of its identity
    """

    id: int
    tokens: int


def total_tokens(parts: Sequence[PromptPart]) -> int:
    """Tokens of all parts together."""
    return sum(part.tokens for part in parts)


class PromptCache:
    """What an engine is believed to keep, by what it was given to read.

    Engines drop the least recently used parts, so the order of use and the
    size of the memory say what is left; no word from the engine is needed.

    :param capacity_tokens: memory for cached parts
    """

    def __init__(self, capacity_tokens: float) -> None:
        self.capacity_tokens = capacity_tokens
        self.parts: collections.OrderedDict[int, int] = (
            collections.OrderedDict()
        )
        self.used_tokens = 0

    def use(self, parts: Sequence[PromptPart]) -> list[int]:
        """The engine reads these parts, or takes them over from another.

        :returns: ids of the parts that had to make room
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
        """A part is not there after all."""
        tokens = self.parts.pop(part_id, None)
        if tokens is not None:
            self.used_tokens -= tokens


class CachedPrefixes:
    """Which engines keep how much of one prompt.

    A part is of use only where all parts before it are kept too, so the
    levels are sets that shrink from the first part to the last.

    :ivar levels: engines that keep the first 1, 2, ... parts, and the
        tokens of these together
    """

    def __init__(self, levels: list[tuple[set[str], int]]) -> None:
        self.levels = levels

    @property
    def max_tokens(self) -> int:
        """What the engine that keeps most has of the prompt."""
        return self.levels[-1][1] if self.levels else 0

    def tokens(self, engine: str) -> int:
        """What an engine has of the prompt."""
        for engines, tokens in reversed(self.levels):
            if engine in engines:
                return tokens
        return 0

    def holders(self, limit: int) -> list[str]:
        """Engines that have the most of the prompt, a few of them."""
        found: dict[str, None] = {}
        for engines, _ in reversed(self.levels):
            for engine in itertools.islice(engines, limit):
                found[engine] = None
            if len(found) >= limit:
                break
        return list(itertools.islice(found, limit))


class CacheIndex:
    """The caches of all engines, found by part.

    With it the cost of a placement follows the depth of the prompt and not
    the number of engines.

    An engine that was given a prompt keeps its parts for those that follow
    at the same engine, which reads one prompt after another.  For others it
    has them only when it has read them: fetched sooner, nothing would come,
    and the prompt of tens of thousands of tokens would be read anew.

    :ivar unread: parts that an engine has been given and not read yet, and
        the job with which it gets them
    :ivar expected: where a job's parts are still to come, by job
    """

    def __init__(self) -> None:
        self.caches: dict[str, PromptCache] = {}
        self.by_part: dict[int, set[str]] = {}
        self.pending: dict[str, dict[int, int]] = {}
        self.expected: dict[int, list[tuple[str, int]]] = {}

    def add(self, engine: str, capacity_tokens: float) -> None:
        """An engine with an empty cache has come."""
        self.drop(engine)
        self.caches[engine] = PromptCache(capacity_tokens)
        self.pending[engine] = {}

    def drop(self, engine: str) -> None:
        """An engine is gone, and its cache with it."""
        self.pending.pop(engine, None)
        cache = self.caches.pop(engine, None)
        if cache is not None:
            for part in cache.parts:
                self._forget(engine, part)

    def use(self, engine: str, parts: Sequence[PromptPart]) -> None:
        """An engine keeps these parts, or will before it is asked."""
        cache = self.caches.get(engine)
        if cache is None:
            return
        for part in parts:
            self.by_part.setdefault(part.id, set()).add(engine)
        for dropped in cache.use(parts):
            self._forget(engine, dropped)

    def expect(
        self, engine: str, job: int, parts: Sequence[PromptPart]
    ) -> None:
        """An engine is to read these parts, or to take them over."""
        cache = self.caches.get(engine)
        if cache is None:
            return
        missing = [part.id for part in parts if part.id not in cache.parts]
        self.use(engine, parts)
        self.pending[engine].update(dict.fromkeys(missing, job))
        pending_jobs = self.expected.setdefault(job, [])
        pending_jobs.extend((engine, part) for part in missing)

    def record_prefill_done(self, job: int) -> None:
        """A job's prompt has been read."""
        for engine, part in self.expected.pop(job, ()):
            pending = self.pending.get(engine, {})
            if pending.get(part) == job:
                del pending[part]

    def abandon(self, job: int) -> None:
        """A job's prompt will not be read; its parts are not kept."""
        for engine, part in self.expected.pop(job, ()):
            pending = self.pending.get(engine, {})
            if pending.get(part) == job:
                del pending[part]
                self.caches[engine].drop(part)
                self._forget(engine, part)

    def pending_jobs(
        self, engine: str, parts: Sequence[PromptPart]
    ) -> set[int]:
        """Jobs with which an engine gets parts that it has not read yet."""
        pending = self.pending.get(engine, {})
        return {pending[part.id] for part in parts if part.id in pending}

    def ready_tokens(self, engine: str, parts: Sequence[PromptPart]) -> int:
        """What another engine could fetch of a prompt now."""
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
        """Which engines keep how much of a prompt."""
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
