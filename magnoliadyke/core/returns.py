"""Schedules the times at which refused callers are to come back.

Handles refusals in bursts: callers who were all told the same time would come
back together, into the same burst.
"""

import collections

__all__ = ['Returns']

#: Width of the slots in which expected returns are counted, in seconds.
SLOT_S = 0.02
#: Slots kept; the oldest are dropped first.
MAX_SLOTS = 512
#: Time after which a return that did not come is no longer expected, in
#: seconds.
EXPECTED_FOR_S = 2.0


class Returns:
    """Expected returns of the refused requests of one service.

    A returning request has another id than the refused one, so returns are
    counted by time and not linked to requests.

    :ivar free_s: when the work ahead of the next refused request is done
    :ivar slots: begin of each slot, and its number of expected returns
    """

    def __init__(self) -> None:
        self.free_s = 0.0
        self.slots: collections.deque[list] = collections.deque(
            maxlen=MAX_SLOTS
        )

    def schedule(
        self, now_s: float, ahead_s: float, took_s: float, longest_s: float
    ) -> float | None:
        """Schedule the return of a request that is refused.

        A request that can't be told its time adds no work: under sustained
        overload the scheduled times would otherwise move out of the reach of
        all callers.

        :param ahead_s: time until the waiting work is done, in seconds
        :param took_s: time in which the engines do the request's own work
        :param longest_s: longest time that the caller waits
        :returns: time until its return, in seconds; None if that is longer
            than ``longest_s``
        """
        at_s = max(self.free_s, now_s + ahead_s)
        if at_s - now_s > longest_s:
            return None
        self.free_s = at_s + took_s
        slot_s = at_s // SLOT_S * SLOT_S
        if self.slots and self.slots[-1][0] >= slot_s:
            self.slots[-1][1] += 1
        else:
            self.slots.append([slot_s, 1])
        return at_s - now_s

    def take_due(self, now_s: float) -> bool:
        """Consume an expected return whose time has come.

        :returns: whether there was one
        """
        while self.slots and now_s - self.slots[0][0] > EXPECTED_FOR_S:
            self.slots.popleft()
        if not self.slots or self.slots[0][0] > now_s:
            return False
        self.slots[0][1] -= 1
        if not self.slots[0][1]:
            self.slots.popleft()
        return True
