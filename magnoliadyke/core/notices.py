"""Engines that are out of use for a change, as their planners announce it.

A role change freezes what runs on an engine. Its planner therefore tells all
nodes to place nothing new there, and waits until what runs has ended. A
notice lapses by itself: a planner that dies half-way must not keep an engine
out of use for good.
"""

from collections.abc import Iterable
from typing import NamedTuple

__all__ = [
    'CHANGING',
    'UP',
    'EngineNotice',
    'EngineNotices',
    'EngineUse',
    'PromptNotice',
]

CHANGING = 'changing'
UP = 'up'


class EngineNotice(NamedTuple):
    """What a planner announces.

    :param fencing: the planner's number; a lower one than seen is ignored
    :param for_s: time after which the notice lapses
    """

    engine: str
    fencing: int
    changing: bool
    for_s: float


class PromptNotice(NamedTuple):
    """A node gave an engine a prompt to read.

    :param read_s: how long reading it takes, as that node predicts
    """

    engine: str
    read_s: float


class EngineUse(NamedTuple):
    """Whether an engine is to get new work.

    :param state: 'up' or 'changing'
    """

    engine: str
    state: str


class EngineNotices:
    """The notices in force at one node."""

    def __init__(self) -> None:
        self.until_s: dict[str, float] = {}
        self.fencing: dict[str, int] = {}

    def apply(self, notice: EngineNotice, now_s: float) -> list[EngineUse]:
        """Take a notice in; return what it changes.

        A planner that lost its authority while it was paused would else put
        an engine back to use in the middle of its successor's change.
        """
        if notice.fencing < self.fencing.get(notice.engine, 0):
            return []
        self.fencing[notice.engine] = notice.fencing
        if notice.changing:
            known = notice.engine in self.until_s
            self.until_s[notice.engine] = now_s + notice.for_s
            return [] if known else [EngineUse(notice.engine, CHANGING)]
        if self.until_s.pop(notice.engine, None) is None:
            return []
        return [EngineUse(notice.engine, UP)]

    def expire(self, now_s: float) -> Iterable[EngineUse]:
        """Return the engines whose notices lapsed."""
        over = [e for e, until_s in self.until_s.items() if until_s <= now_s]
        for engine in over:
            del self.until_s[engine]
        return [EngineUse(engine, UP) for engine in over]
