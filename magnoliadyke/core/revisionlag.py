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
MAX_POSITIONS = 64


class Behind(NamedTuple):
    """Another host knows more, and has for too long.

    :param host: which one
    :param position: that it has seen
    :param for_s: how long this host has missed it, in seconds
    """

    host: str
    position: position.Position
    for_s: float


class _PeerPosition(NamedTuple):
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
        self.unseen: collections.deque[_PeerPosition] = collections.deque()
        self.polled_s = float('-inf')

    def record_own_position(self, upto: position.Position) -> None:
        """This host has seen the store's keys up to a position."""
        self.own = max(self.own, upto)
        while self.unseen and self.unseen[0].position <= self.own:
            self.unseen.popleft()

    def record_poll(self, at_s: float) -> None:
        """The store is asked for changes then, and not before.

        What it does not tell in a pause between two calls is no lag.
        """
        self.polled_s = at_s

    def record_peer_position(
        self, host: str, upto: position.Position, now_s: float
    ) -> None:
        """Another host has told up to where it has seen the keys."""
        newest = self.unseen[-1].position if self.unseen else self.own
        if upto > newest and len(self.unseen) < MAX_POSITIONS:
            self.unseen.append(_PeerPosition(host, upto, now_s))

    def missed_s(self, now_s: float) -> float:
        """How long ago another host told first what this one has not seen.

        Zero if there is nothing; also counted while the store is not asked.
        """
        return now_s - self.unseen[0].at_s if self.unseen else 0.0

    def behind(
        self, now_s: float, store_reachable: bool = True
    ) -> Behind | None:
        """The newest that this host should have seen by now, or None.

        :param asks: it may still hear from the store; else it is behind as
            soon as another host knows more
        """
        newest = None
        for each in self.unseen:
            for_s = now_s - max(each.at_s, self.polled_s)
            if store_reachable and for_s < self.allowed_s:
                break
            newest = Behind(each.host, each.position, for_s)
        return newest
