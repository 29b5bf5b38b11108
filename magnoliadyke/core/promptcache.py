"""A model of one engine's prompt cache: parts in order of their last use."""

import collections
from collections.abc import Sequence
from typing import NamedTuple

__all__ = ['PromptCache', 'PromptPart', 'total_tokens']


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

    def cached_tokens(self, parts: Sequence[PromptPart]) -> int:
        """Tokens that need not be read: those of the leading kept parts."""
        tokens = 0
        for part in parts:
            if part.id not in self.parts:
                break
            tokens += part.tokens
        return tokens

    def use(self, parts: Sequence[PromptPart]) -> None:
        """The engine reads these parts, or takes them over from another."""
        for part in parts:
            known = self.parts.pop(part.id, None)
            if known is not None:
                self.used_tokens -= known
            self.parts[part.id] = part.tokens
            self.used_tokens += part.tokens
        while self.used_tokens > self.capacity_tokens and self.parts:
            _, tokens = self.parts.popitem(last=False)
            self.used_tokens -= tokens

    def clear(self) -> None:
        """The engine has lost its memory."""
        self.parts.clear()
        self.used_tokens = 0
