"""Whether a host has missed what other hosts know of the store.

Hosts tell each other up to which position they have seen the store's keys.  A
host whose own position stays behind has a watch that tells it nothing, or
does not reach the store at all: it would send work to endpoints that have
left, and serve a configuration that has been replaced.
"""

import collections
from typing import NamedTuple

from magnoliadyke.core import position

__all__ = ['Behind', 'RevisionLag']

#: Positions that are remembered until this host has seen them; beyond so
#: many, the oldest one already shows how long it has been behind.
MOST_TOLD = 64


class Behind(NamedTuple):
    """Another host knows more, and has for too long.

    :param host: which one
    :param position: that it has seen
    :param for_s: how long this host has missed it, in seconds
    """

    host: str
    position: position.Position
    for_s: float


class _Told(NamedTuple):
    host: str
    position: position.Position
    at_s: float


class RevisionLag:
    """How long this host has been behind the others.

    :param allowed_s: longest time that the store may take to tell, in seconds
    :ivar own: position that this host has seen
    """

    def __init__(self, allowed_s: float) -> None:
        self.allowed_s = allowed_s
        self.own = position.START
        self.told: collections.deque[_Told] = collections.deque()
        self.asked_s = float('-inf')

    def seen(self, upto: position.Position) -> None:
        """This host has seen the store's keys up to a position."""
        self.own = max(self.own, upto)
        while self.told and self.told[0].position <= self.own:
            self.told.popleft()

    def asks(self, at_s: float) -> None:
        """The store is asked for changes then, and not before.

        What it does not tell in a pause between two calls is no lag.
        """
        self.asked_s = at_s

    def hear(self, host: str, upto: position.Position, now_s: float) -> None:
        """Another host has told up to where it has seen the keys."""
        newest = self.told[-1].position if self.told else self.own
        if upto > newest and len(self.told) < MOST_TOLD:
            self.told.append(_Told(host, upto, now_s))

    def missed_s(self, now_s: float) -> float:
        """How long ago another host told first what this one has not seen.

        Zero if there is nothing; also counted while the store is not asked.
        """
        return now_s - self.told[0].at_s if self.told else 0.0

    def behind(self, now_s: float, asks: bool = True) -> Behind | None:
        """The newest that this host should have seen by now, or None.

        :param asks: it may still hear from the store; else it is behind as
            soon as another host knows more
        """
        newest = None
        for told in self.told:
            for_s = now_s - max(told.at_s, self.asked_s)
            if asks and for_s < self.allowed_s:
                break
            newest = Behind(told.host, told.position, for_s)
        return newest
