"""A model of the engines' prompt caches: parts in order of their last use."""

import collections
from collections.abc import Sequence
import itertools
from typing import NamedTuple

__all__ = ['CacheIndex', 'Kept', 'PromptCache', 'PromptPart', 'total_tokens']


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


class Kept:
    """Which engines keep how much of one prompt.

    A part is of use only where all parts before it are kept too, so the
    levels are sets that shrink from the first part to the last.

    :ivar levels: engines that keep the first 1, 2, ... parts, and the
        tokens of these together
    """

    def __init__(self, levels: list[tuple[set[str], int]]) -> None:
        self.levels = levels

    @property
    def most_tokens(self) -> int:
        """What the engine that keeps most has of the prompt."""
        return self.levels[-1][1] if self.levels else 0

    def tokens(self, engine: str) -> int:
        """What an engine has of the prompt."""
        for engines, tokens in reversed(self.levels):
            if engine in engines:
                return tokens
        return 0

    def holders(self, most: int) -> list[str]:
        """Engines that have the most of the prompt, a few of them."""
        if not self.levels:
            return []
        return list(itertools.islice(self.levels[-1][0], most))


class CacheIndex:
    """The caches of all engines, found by part.

    With it the cost of a placement follows the depth of the prompt and not
    the number of engines.
    """

    def __init__(self) -> None:
        self.caches: dict[str, PromptCache] = {}
        self.by_part: dict[int, set[str]] = {}

    def add(self, engine: str, capacity_tokens: float) -> None:
        """An engine with an empty cache has come."""
        self.drop(engine)
        self.caches[engine] = PromptCache(capacity_tokens)

    def drop(self, engine: str) -> None:
        """An engine is gone, and its cache with it."""
        cache = self.caches.pop(engine, None)
        if cache is not None:
            for part in cache.parts:
                self._forget(engine, part)

    def use(self, engine: str, parts: Sequence[PromptPart]) -> None:
        """An engine reads these parts, or takes them over from another."""
        cache = self.caches.get(engine)
        if cache is None:
            return
        for part in parts:
            self.by_part.setdefault(part.id, set()).add(engine)
        for dropped in cache.use(parts):
            self._forget(engine, dropped)

    def kept(self, parts: Sequence[PromptPart]) -> Kept:
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
        return Kept(levels)

    def _forget(self, engine: str, part: int) -> None:
        holders = self.by_part.get(part)
        if holders is None:
            return
        holders.discard(engine)
        if not holders:
            del self.by_part[part]
