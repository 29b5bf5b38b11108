"""Time of day that does not depend on steps of a machine's wall clock.

A host reads its wall clock once and then advances by its monotonic clock, so
a later step of the wall clock has no effect.  A process that started while
the wall clock was wrong is corrected to the median of all hosts.
"""

import statistics

__all__ = ['MedianClock', 'AdjustedClock']

#: Largest tolerated difference from the median, in seconds; a host beyond it
#: is sent the corrected time.
MAX_OFFSET_S = 0.15
#: How long a host's time sample counts for the median, in seconds.
SAMPLE_RETENTION_S = 10.0


class AdjustedClock:
    """The time of day on one host.

    :param wall_s: seconds since the epoch, by the machine's clock
    :param now_s: monotonic seconds at the same moment, by a clock that
        advances while the machine is suspended
    """

    def __init__(self, wall_s: float, now_s: float) -> None:
        self.offset_s = wall_s - now_s

    def at(self, now_s: float) -> float:
        """Return the seconds since the epoch at a monotonic time."""
        return now_s + self.offset_s

    def set(self, wall_s: float, now_s: float) -> None:
        """Set the time of day.

        :param wall_s: seconds since the epoch at ``now_s``
        :param now_s: monotonic seconds
        """
        self.offset_s = wall_s - now_s


class MedianClock:
    """The median of the hosts' times of day.

    A sample that was delayed in the network, or while this host was
    suspended, looks like one of a clock that is behind.  So of each host's
    samples the one furthest ahead counts, for ``SAMPLE_RETENTION_S``.

    :param own_clock: clock of the host that collects the samples
    :ivar min_clocks: number of clocks, this host's among them, below which
        none is corrected: of two that differ, either may be right
    """

    def __init__(self, own_clock: AdjustedClock) -> None:
        self.own_clock = own_clock
        self.min_clocks = 2
        self._samples: dict[str, tuple[float, float]] = {}

    def record_peer_time(
        self, host: str, wall_s: float, now_s: float
    ) -> float | None:
        """Record a host's time; correct this host's if it deviates too far.

        :returns: the corrected time to send to that host, None if its time
            is within the tolerance
        """
        sample = (wall_s - self.own_clock.at(now_s), now_s)
        known = self._samples.get(host)
        if known is not None and now_s - known[1] <= SAMPLE_RETENTION_S:
            sample = max(sample, known)
        self._samples[host] = sample
        ahead_s = sample[0]
        median_s = self._median_s(now_s)
        if len(self._samples) + 1 < self.min_clocks:
            return None
        if abs(median_s) > MAX_OFFSET_S:
            # This host's time deviates too far: correct it, and express the
            # samples relative to the new time.
            self.own_clock.set(self.own_clock.at(now_s) + median_s, now_s)
            self._samples = {
                each: (ahead - median_s, at_s)
                for each, (ahead, at_s) in self._samples.items()
            }
            ahead_s -= median_s
            median_s = 0.0
        if abs(ahead_s - median_s) <= MAX_OFFSET_S:
            return None
        return self.own_clock.at(now_s) + median_s

    def _median_s(self, now_s: float) -> float:
        self._samples = {
            host: sample
            for host, sample in self._samples.items()
            if now_s - sample[1] <= SAMPLE_RETENTION_S
        }
        return statistics.median(
            [0.0, *(ahead_s for ahead_s, _ in self._samples.values())]
        )
