"""Prefill capacity of all engines of a service, and when it is free."""

import bisect
from collections.abc import Iterable

__all__ = ['Capacity']


class Capacity:
    """Prefill speed and backlog of the engines of a service.

    :param backlogs: for each engine, its prefill backlog in seconds and its
        prefill speed relative to an engine of the prefill stage
    """

    def __init__(self, backlogs: Iterable[tuple[float, float]]) -> None:
        self.speed = 0.0
        # One entry for each engine, in the order in which they become idle:
        # the time from now, the work that the engines before it have started
        # by then, and the joint speed from then on.
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
        """Return the time until the engines have started that much more work.

        The engine that is idle first takes the next prompt, so an engine
        with a much larger backlog than the others delays no prompt.

        :param work_s: seconds of work of an engine of the prefill stage
        """
        if not self.speed:
            return 0.0
        # Work that was added and removed again may leave a sum just below 0.
        work_s = max(0.0, work_s)
        last = bisect.bisect_right(self._work_s, work_s) - 1
        remaining_s = work_s - self._work_s[last]
        return self._free_s[last] + remaining_s / self._speeds[last]
