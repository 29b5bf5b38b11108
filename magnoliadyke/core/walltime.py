"""The time of day, though clocks of some machines are set forth and back.

A host takes the time of day once and goes on by its steady clock, so a step
of its clock changes nothing.  What remains is a process that started while
its machine's clock was off: the hosts' median tells it.
"""

import statistics

__all__ = ['MedianClock', 'AdjustedClock']

#: A host that differs from the median by more is told the time, in seconds.
MAX_OFFSET_S = 0.15
#: How long a host's word counts for the median, in seconds.
SAMPLE_RETENTION_S = 10.0


class AdjustedClock:
    """The time of day as one host has it.

    :param wall_s: seconds since the epoch, by the machine's clock
    :param now_s: steady seconds at the same moment, by a clock that goes on
        while the machine is suspended
    """

    def __init__(self, wall_s: float, now_s: float) -> None:
        self.offset_s = wall_s - now_s

    def at(self, now_s: float) -> float:
        """Seconds since the epoch at a steady moment."""
        return now_s + self.offset_s

    def set(self, wall_s: float, now_s: float) -> None:
        """Take the time that most hosts have."""
        self.offset_s = wall_s - now_s


class MedianClock:
    """The median of what the hosts take for the time of day.

    A word that was long on its way, or waited while this host stood still,
    looks like that of a clock that is behind.  Of a host's words the one that
    was quickest counts, for some seconds.

    :param own: of the host that asks the others
    """

    def __init__(self, own: AdjustedClock) -> None:
        self.own = own
        self._samples: dict[str, tuple[float, float]] = {}

    def record_peer_time(
        self, host: str, wall_s: float, now_s: float
    ) -> float | None:
        """A host has told its time.

        :returns: the time to tell it, if it is off
        """
        sample = (wall_s - self.own.at(now_s), now_s)
        known = self._samples.get(host)
        if known is not None and now_s - known[1] <= SAMPLE_RETENTION_S:
            sample = max(sample, known)
        self._samples[host] = sample
        ahead_s = sample[0]
        median_s = self._median_s(now_s)
        if abs(median_s) > MAX_OFFSET_S:
            # Of all hosts this one differs: the others' words stay as they
            # are, seen from the new time.
            self.own.set(self.own.at(now_s) + median_s, now_s)
            self._samples = {
                each: (ahead - median_s, at_s)
                for each, (ahead, at_s) in self._samples.items()
            }
            ahead_s -= median_s
            median_s = 0.0
        if abs(ahead_s - median_s) <= MAX_OFFSET_S:
            return None
        return self.own.at(now_s) + median_s

    def _median_s(self, now_s: float) -> float:
        self._samples = {
            host: sample
            for host, sample in self._samples.items()
            if now_s - sample[1] <= SAMPLE_RETENTION_S
        }
        return statistics.median(
            [0.0, *(ahead_s for ahead_s, _ in self._samples.values())]
        )
