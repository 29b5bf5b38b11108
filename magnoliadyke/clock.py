"""Clocks: that of the machine, and one that tests advance."""

import abc
import heapq
import time

import gevent
from gevent import event

__all__ = ['Clock', 'ManualClock', 'SystemClock']


class Clock(abc.ABC):
    """Source of the time; modules of the core are passed plain seconds."""

    @abc.abstractmethod
    def now_s(self):
        """Return the monotonic time, in seconds."""

    @abc.abstractmethod
    def boot_s(self):
        """Return the monotonic time with that of suspensions, in seconds."""

    @abc.abstractmethod
    def wall_s(self):
        """Return the time since the epoch, in seconds."""

    @abc.abstractmethod
    def sleep(self, seconds):
        """Suspend the calling task while other tasks run.

        :param seconds: duration, in seconds
        """


class SystemClock(Clock):
    """The clock of the machine."""

    def now_s(self):
        """Return the monotonic time, in seconds."""
        return time.monotonic()

    def boot_s(self):
        """Return the time since the machine was booted, in seconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall_s(self):
        """Return the time since the epoch, in seconds."""
        return time.time()

    def sleep(self, seconds):
        """Suspend the calling greenlet while others run.

        :param seconds: duration, in seconds
        """
        gevent.sleep(seconds)


class ManualClock(Clock):
    """A clock for tests, which moves only when it is advanced.

    :param start_s: initial monotonic time, in seconds
    :param wall_start_s: initial wall time, in seconds since the epoch
    :ivar suspended_s: total time for which the machine was suspended, in
        seconds
    :ivar sleepers: heap of wake-up time, sequence number and event of each
        sleeping task
    """

    def __init__(self, start_s=1000.0, wall_start_s=1.7e9):
        self.monotonic_s = start_s
        self.wall_offset_s = wall_start_s - start_s
        self.suspended_s = 0.0
        self.sleepers = []
        self.sequence = 0

    def now_s(self):
        """Return the manual monotonic time, in seconds."""
        return self.monotonic_s

    def boot_s(self):
        """Return the manual time with that of suspensions, in seconds."""
        return self.monotonic_s + self.suspended_s

    def wall_s(self):
        """Return the manual wall time since the epoch, in seconds."""
        return self.monotonic_s + self.wall_offset_s

    def sleep(self, seconds):
        """Block until :meth:`advance` reaches the wake-up time.

        :param seconds: duration, in seconds
        """
        wake = event.Event()
        self.sequence += 1
        due_s = self.monotonic_s + seconds
        heapq.heappush(self.sleepers, (due_s, self.sequence, wake))
        wake.wait()

    def advance(self, seconds):
        """Advance the time and wake sleepers in order of their wake-up times.

        :param seconds: time to advance by, in seconds
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
