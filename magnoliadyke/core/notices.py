"""Notices that take engines out of use during a role change.

A role change suspends the requests that run on an engine.  The planner
therefore announces to all nodes that the engine gets no new work, and waits
until its requests have ended.  A notice expires by itself, so that a planner
that crashes during the change does not keep the engine out of use.
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
    """A planner's announcement that an engine is in or out of use.

    :param fencing: the planner's fencing token; a notice with a lower
        token than an earlier one is ignored
    :param changing: whether the engine is out of use
    :param for_s: time after which the notice expires, in seconds
    """

    engine: str
    fencing: int
    changing: bool
    for_s: float


class PromptNotice(NamedTuple):
    """A node's announcement that it has assigned a prompt to an engine.

    :param read_s: prefill time of the prompt, predicted by that node, in
        seconds
    """

    engine: str
    read_s: float


class EngineUse(NamedTuple):
    """Whether an engine may get new work.

    :param state: 'up' or 'changing'
    """

    engine: str
    state: str


class EngineNotices:
    """The notices in force at one node.

    :ivar until_s: when the notice of an engine out of use expires
    :ivar fencing: highest fencing token received, by engine
    """

    def __init__(self) -> None:
        self.until_s: dict[str, float] = {}
        self.fencing: dict[str, int] = {}

    def apply(self, notice: EngineNotice, now_s: float) -> list[EngineUse]:
        """Apply a notice.

        A notice with a lower fencing token is ignored: a planner that lost
        its lease while its process was paused would otherwise put an engine
        back into use during a change by its successor.

        :returns: the engines whose use changed
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
        """Remove expired notices and return their engines, now usable."""
        over = [e for e, until_s in self.until_s.items() if until_s <= now_s]
        for engine in over:
            del self.until_s[engine]
        return [EngineUse(engine, UP) for engine in over]
