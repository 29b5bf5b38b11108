"""How far a host's view of the store lags behind other hosts.

Hosts send each other the position up to which they have read the store's
keys.  A host whose own position stays behind has a watch that returns
nothing, or cannot reach the store: it would send work to endpoints that have
left, and serve a configuration that has been replaced.
"""

import collections
from typing import NamedTuple

from magnoliadyke.core import position

__all__ = ['Behind', 'RevisionLag']

#: Maximum number of peers' positions kept until this host reaches them.  More
#: are not needed: the oldest one shows how long this host has been behind.
MAX_POSITIONS = 64


class Behind(NamedTuple):
    """Another host's position that this host should have reached by now.

    :param host: name of the other host
    :param position: the position that it reported
    :param for_s: how long this host has been behind it, in seconds
    """

    host: str
    position: position.Position
    for_s: float


class _PeerPosition(NamedTuple):
    host: str
    position: position.Position
    at_s: float


class RevisionLag:
    """Lag of this host's position behind those of other hosts.

    :param allowed_s: longest time that the store may take to report a change,
        in seconds
    :ivar own_position: position up to which this host has read the store
    :ivar unseen: positions of other hosts that this one has not reached, in
        ascending order
    :ivar polled_s: when the store is next polled for changes
    """

    def __init__(self, allowed_s: float) -> None:
        self.allowed_s = allowed_s
        self.own_position = position.START
        self.unseen: collections.deque[_PeerPosition] = collections.deque()
        self.polled_s = float('-inf')

    def record_own_position(self, upto: position.Position) -> None:
        """Record that this host has read the store's keys up to a position."""
        self.own_position = max(self.own_position, upto)
        while self.unseen and self.unseen[0].position <= self.own_position:
            self.unseen.popleft()

    def record_poll(self, at_s: float) -> None:
        """Record when the store is next polled for changes.

        The pause until then does not count as lag.
        """
        self.polled_s = at_s

    def record_peer_position(
        self, host: str, upto: position.Position, now_s: float
    ) -> None:
        """Record the position up to which another host has read the keys."""
        newest = self.unseen[-1].position if self.unseen else self.own_position
        if upto > newest and len(self.unseen) < MAX_POSITIONS:
            self.unseen.append(_PeerPosition(host, upto, now_s))

    def missed_s(self, now_s: float) -> float:
        """Return the age of the oldest position not reached, in seconds.

        Zero if this host has reached all; pauses between calls count too.
        """
        return now_s - self.unseen[0].at_s if self.unseen else 0.0

    def behind(
        self, now_s: float, store_reachable: bool = True
    ) -> Behind | None:
        """Return the newest position that is overdue at this host, or None.

        :param store_reachable: whether the store may still report it; if not,
            every position not reached is overdue at once
        """
        newest = None
        for each in self.unseen:
            for_s = now_s - max(each.at_s, self.polled_s)
            if store_reachable and for_s < self.allowed_s:
                break
            newest = Behind(each.host, each.position, for_s)
        return newest
