"""The clock of the runtime; tests pause and advance it."""

import abc
import heapq
import time

import gevent
from gevent import event

__all__ = ['Clock', 'ManualClock', 'SystemClock']


class Clock(abc.ABC):
    """Time as the shell sees it; the core gets plain seconds."""

    @abc.abstractmethod
    def now_s(self):
        """Return monotonic seconds."""

    @abc.abstractmethod
    def boot_s(self):
        """Return steady seconds that also pass while the machine sleeps."""

    @abc.abstractmethod
    def wall_s(self):
        """Return seconds since the epoch."""

    @abc.abstractmethod
    def sleep(self, seconds):
        """Let other tasks run for that long.

        :param seconds: how long, in seconds
        """


class SystemClock(Clock):
    """The machine's own clock."""

    def now_s(self):
        """Return monotonic seconds."""
        return time.monotonic()

    def boot_s(self):
        """Return seconds since the machine was started."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall_s(self):
        """Return seconds since the epoch."""
        return time.time()

    def sleep(self, seconds):
        """Yield to the other greenlets for ``seconds``."""
        gevent.sleep(seconds)


class ManualClock(Clock):
    """A clock that stands still until a test advances it.

    :param start_s: first monotonic reading, in seconds
    :param wall_start_s: first wall reading, in seconds since the epoch
    :ivar suspended_s: time that the machine was suspended for, in seconds
    """

    def __init__(self, start_s=1000.0, wall_start_s=1.7e9):
        self.monotonic_s = start_s
        self.wall_offset_s = wall_start_s - start_s
        self.suspended_s = 0.0
        self.sleepers = []
        self.sequence = 0

    def now_s(self):
        """Return the paused monotonic time in seconds."""
        return self.monotonic_s

    def boot_s(self):
        """Return the paused time with that of suspensions, in seconds."""
        return self.monotonic_s + self.suspended_s

    def wall_s(self):
        """Return the paused wall time in seconds since the epoch."""
        return self.monotonic_s + self.wall_offset_s

    def sleep(self, seconds):
        """Block until :meth:`advance` has passed the wake-up time."""
        wake = event.Event()
        self.sequence += 1
        due_s = self.monotonic_s + seconds
        heapq.heappush(self.sleepers, (due_s, self.sequence, wake))
        wake.wait()

    def advance(self, seconds):
        """Move time on, waking sleepers in order of their wake-up times.

        :param seconds: by how much, in seconds
        """
        target_s = self.monotonic_s + seconds
        gevent.sleep(0)
        while self.sleepers and self.sleepers[0][0] <= target_s:
            due_s, _, wake = heapq.heappop(self.sleepers)
            self.monotonic_s = max(self.monotonic_s, due_s)
            wake.set()
            gevent.sleep(0)
            gevent.sleep(0)
        self.monotonic_s = target_s
        gevent.sleep(0)
