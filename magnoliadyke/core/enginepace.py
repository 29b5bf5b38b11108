"""Estimates the interval between the events that each engine sends."""

import collections
from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
import math
import statistics
from typing import NamedTuple

__all__ = ['KEEPS_PAUSE', 'EnginePaces', 'Pace', 'PaceCounter', 'PaceSample']

#: Engines whose intervals differ by no more than this share count as equal.
TOLERANCE = 0.2
#: Share of the pause that a route allows between two events up to which an
#: engine is expected to keep it; the rest is for the network.
PAUSE_SHARE = 0.8
#: Highest rank of an engine that keeps the pauses of a stream.
KEEPS_PAUSE = 1
#: Time for which the longest interval that was reported counts, in seconds: an
#: engine that is slow by turns is not used for a stream while it is slow.
LONGEST_WINDOW_S = 2.0
#: Age from which on an estimate is no longer used, in seconds.
MAX_AGE_S = 5.0
#: Number of events over which earlier samples decay in the moving average.
MEMORY_EVENTS = 60
#: Interval between two computations of the median, in seconds: each placement
#: asks for it, and it changes little within this time.
SUMMARY_INTERVAL_S = 0.1
#: Longest interval that is recorded, in seconds: a longer one is an engine
#: that is stalled, which other checks find.
MAX_INTERVAL_S = 10.0


class PaceSample(NamedTuple):
    """Events of the streams of one engine since the previous sample.

    :param events: number of intervals between two events
    :param mean_s: mean interval, in seconds
    :param longest_s: longest interval, in seconds
    """

    engine: str
    events: int
    mean_s: float
    longest_s: float


class Pace(NamedTuple):
    """Expected intervals between the events of an engine.

    :param mean_s: expected interval, in seconds
    :param longest_s: longest interval that is to be expected, in seconds
    """

    mean_s: float
    longest_s: float


class PaceCounter:
    """Counts the intervals between events at the host that relays them.

    :ivar sums: number, sum and maximum of the intervals, by engine
    """

    def __init__(self) -> None:
        self.sums: dict[str, tuple[int, float, float]] = {}

    def add(self, engine: str, interval_s: float) -> None:
        """Count an interval between two events of one stream."""
        interval_s = min(interval_s, MAX_INTERVAL_S)
        count, total_s, longest_s = self.sums.get(engine, (0, 0.0, 0.0))
        self.sums[engine] = (
            count + 1,
            total_s + interval_s,
            max(longest_s, interval_s),
        )

    def take(self) -> list[PaceSample]:
        """Return the samples since the last call, and start new ones."""
        taken = [
            PaceSample(engine, count, total_s / count, longest_s)
            for engine, (count, total_s, longest_s) in self.sums.items()
        ]
        self.sums = {}
        return taken


@dataclasses.dataclass(slots=True)
class _Estimate:
    """The estimate for one engine.

    :ivar updated_s: when the engine was last reported
    :ivar longest: times and longest intervals of the latest samples, without
        those that a later one reaches: the first is the longest
    """

    mean_s: float
    updated_s: float
    longest: collections.deque[tuple[float, float]]


class EnginePaces:
    """The intervals between events of the engines of one service.

    Answers streams of seconds that are late if two of their events are too
    far apart, on engines of unlike speed or that are slow by turns.

    :ivar estimates: by engine id
    """

    def __init__(self) -> None:
        self.estimates: dict[str, _Estimate] = {}
        self._summary_s = float('-inf')
        self._median_s = math.nan
        self._fastest_s = math.nan
        self._uneven = False

    def record(self, sample: PaceSample, now_s: float) -> None:
        """Update the estimate of an engine."""
        known = self.estimates.get(sample.engine)
        if known is None or now_s - known.updated_s > MAX_AGE_S:
            known = _Estimate(sample.mean_s, now_s, collections.deque())
            self.estimates[sample.engine] = known
        weight = 1 - math.exp(-sample.events / MEMORY_EVENTS)
        known.mean_s += weight * (sample.mean_s - known.mean_s)
        known.updated_s = now_s
        longest = known.longest
        while longest and longest[-1][1] <= sample.longest_s:
            longest.pop()
        longest.append((now_s, sample.longest_s))
        while now_s - longest[0][0] > LONGEST_WINDOW_S:
            longest.popleft()

    def drop_unlisted(self, listed: Iterable[str]) -> None:
        """Drop the estimates of engines that are no longer listed."""
        kept = frozenset(listed)
        self.estimates = {
            engine: known
            for engine, known in self.estimates.items()
            if engine in kept
        }
        self._summary_s = float('-inf')

    def is_uneven(self, now_s: float) -> bool:
        """Whether some engine differs from the median by over 20 %."""
        self._summarize(now_s)
        return self._uneven

    def pace(self, engine: str, now_s: float) -> Pace | None:
        """Return what to expect of an engine.

        An engine without a recent estimate counts as the median one.

        :returns: None if no engine has an estimate
        """
        self._summarize(now_s)
        mean_s, longest_s = self._intervals_s(engine, now_s)
        return None if math.isnan(mean_s) else Pace(mean_s, longest_s)

    def _intervals_s(self, engine: str, now_s: float) -> tuple[float, float]:
        """Return the fields of :class:`Pace`, NaN without any estimate."""
        known = self.estimates.get(engine)
        if known is None or now_s - known.updated_s > MAX_AGE_S:
            return self._median_s, self._median_s
        for at_s, longest_s in known.longest:
            if now_s - at_s <= LONGEST_WINDOW_S:
                return known.mean_s, max(known.mean_s, longest_s)
        return known.mean_s, known.mean_s

    def rank(self, engine: str, pause_s: float, now_s: float) -> int:
        """Return how well an engine suits a stream; 0 is best.

        :param pause_s: longest pause between two events for which the stream
            is on time, in seconds
        :returns: 0 for an engine that keeps the pause and is as fast as the
            fastest, 1 for one that keeps the pause, higher the further it
            exceeds the pause; 0 for all while the engines are alike
        """
        return self.ranks((engine,), pause_s, now_s)[0]

    def ranks(
        self, engines: Sequence[str], pause_s: float, now_s: float
    ) -> list[int]:
        """Return the :meth:`rank` of each of some engines."""
        if not self.is_uneven(now_s):
            return [0] * len(engines)
        limit_s = pause_s * PAUSE_SHARE
        fast_s = self._fastest_s * (1 + TOLERANCE)
        found = []
        for engine in engines:
            mean_s, longest_s = self._intervals_s(engine, now_s)
            if longest_s > limit_s:
                found.append(KEEPS_PAUSE + 1 + int(mean_s / limit_s * 4))
            else:
                found.append(int(mean_s > fast_s))
        return found

    def relative(self, engine: str, now_s: float) -> float | None:
        """Return an engine's interval over the median one, None if unknown."""
        self._summarize(now_s)
        known = self.estimates.get(engine)
        if known is None or now_s - known.updated_s > MAX_AGE_S:
            return None
        return known.mean_s / self._median_s

    def samples(self, now_s: float, first: int, most: int) -> list[PaceSample]:
        """Return some of the estimates as samples for another host.

        :param first: number of the first engine, in the order of their ids
        :param most: maximum number of samples
        """
        ids = sorted(
            engine
            for engine, known in self.estimates.items()
            if now_s - known.updated_s <= MAX_AGE_S
        )
        found = []
        for offset in range(min(most, len(ids))):
            engine = ids[(first + offset) % len(ids)]
            pace = self.pace(engine, now_s)
            found.append(
                PaceSample(engine, MEMORY_EVENTS, pace.mean_s, pace.longest_s)
            )
        return found

    def _summarize(self, now_s: float) -> None:
        """Compute the median and the fastest interval, if they are old."""
        if now_s - self._summary_s < SUMMARY_INTERVAL_S:
            return
        self._summary_s = now_s
        means_s = [
            known.mean_s
            for known in self.estimates.values()
            if now_s - known.updated_s <= MAX_AGE_S
        ]
        if not means_s:
            self._median_s = self._fastest_s = math.nan
            self._uneven = False
            return
        self._median_s = statistics.median(means_s)
        self._fastest_s = min(means_s)
        slowest_s = max(means_s)
        self._uneven = slowest_s > self._median_s * (
            1 + TOLERANCE
        ) or self._fastest_s < self._median_s * (1 - TOLERANCE)
