"""Reading power of all engines of a service, and when it is free."""

import bisect
from collections.abc import Iterable

__all__ = ['Capacity']


class Capacity:
    """Reading power of all engines, and what each has still to read.

    :param backlogs: seconds that an engine has still to read, and its speed
        in engines of the reading stage
    """

    def __init__(self, backlogs: Iterable[tuple[float, float]]) -> None:
        self.speed = 0.0
        # Where another engine gets free: the moment, and the work that the
        # others have taken in by then.
        self._free_s: list[float] = []
        self._work_s: list[float] = []
        self._speeds: list[float] = []
        work_s = 0.0
        for backlog_s, speed in sorted(backlogs):
            if self._free_s:
                work_s += (backlog_s - self._free_s[-1]) * self.speed
            self.speed += speed
            self._free_s.append(backlog_s)
            self._work_s.append(work_s)
            self._speeds.append(self.speed)

    def wait_s(self, work_s: float) -> float:
        """Time until the engines have taken in so much more work.

        Whoever is free first takes the next prompt, so an engine that is
        far behind the others delays nobody.

        :param work_s: seconds of an engine of the reading stage
        """
        if not self.speed:
            return 0.0
        # Work that was added and taken away again may end just below zero.
        work_s = max(0.0, work_s)
        last = bisect.bisect_right(self._work_s, work_s) - 1
        remaining_s = work_s - self._work_s[last]
        return self._free_s[last] + remaining_s / self._speeds[last]
