"""Estimates the interval between the events that each engine sends."""

import collections
from collections.abc import Iterable
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
#: Number of earlier events that the moving average weighs at most.
MEMORY_EVENTS = 60
#: Events from which on an engine's own mean is used, about a third of those of
#: a stream: the interval between two events alone may be any.
MIN_EVENTS = 20
#: Interval between two computations of the median, in seconds: each placement
#: asks for it, and it changes little within this time.
SUMMARY_INTERVAL_S = 0.1
#: Shortest interval that is recorded, in seconds: of two events that come in
#: one piece the clock may read the same time.
MIN_INTERVAL_S = 1e-6
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
        interval_s = max(MIN_INTERVAL_S, min(interval_s, MAX_INTERVAL_S))
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
    :ivar events: number of events that the mean is made of
    :ivar longest: times and longest intervals of the latest samples that no
        later sample equals or exceeds, so the first that counts is the longest
    """

    mean_s: float
    updated_s: float
    events: int
    longest: collections.deque[tuple[float, float]]

    def is_settled(self, now_s: float) -> bool:
        """Whether the mean is recent and made of enough events."""
        return self.events >= MIN_EVENTS and self.is_recent(now_s)

    def is_recent(self, now_s: float) -> bool:
        """Whether the engine was reported within :data:`MAX_AGE_S`."""
        return now_s - self.updated_s <= MAX_AGE_S

    def add_longest(self, longest_s: float, now_s: float) -> None:
        """Add the longest interval of a sample."""
        longest = self.longest
        while longest and longest[-1][1] <= longest_s:
            longest.pop()
        longest.append((now_s, longest_s))
        while now_s - longest[0][0] > LONGEST_WINDOW_S:
            longest.popleft()

    def longest_s(self, now_s: float) -> float:
        """Return the longest interval that counts, in seconds; 0 if none."""
        for at_s, longest_s in self.longest:
            if now_s - at_s <= LONGEST_WINDOW_S:
                return longest_s
        return 0.0


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
        if known is None or not known.is_recent(now_s):
            known = _Estimate(sample.mean_s, now_s, 0, collections.deque())
            self.estimates[sample.engine] = known
        events = known.events + sample.events
        weight = sample.events / events
        known.events = min(events, MEMORY_EVENTS)
        known.mean_s += weight * (sample.mean_s - known.mean_s)
        known.updated_s = now_s
        known.add_longest(sample.longest_s, now_s)

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

        An engine without a recent estimate, or with one of few events, counts
        as the median one.  A long interval counts even then.

        :returns: None if no engine has an estimate
        """
        self._summarize(now_s)
        known = self.estimates.get(engine)
        mean_s = self._median_s
        if known is not None and known.is_settled(now_s):
            mean_s = known.mean_s
        if math.isnan(mean_s):
            return None
        longest_s = known.longest_s(now_s) if known is not None else 0.0
        return Pace(mean_s, max(mean_s, longest_s))

    def rank(self, engine: str, pause_s: float, now_s: float) -> int:
        """Return how well an engine suits a stream; 0 is best.

        :param pause_s: longest pause between two events for which the stream
            is on time, in seconds
        :returns: 0 for an engine that keeps the pause and is as fast as the
            fastest, 1 for one that keeps the pause, higher the further it
            exceeds the pause; 0 for all while the engines are alike
        """
        if not self.is_uneven(now_s):
            return 0
        pace = self.pace(engine, now_s)
        if pace is None:
            return 0
        limit_s = pause_s * PAUSE_SHARE
        if pace.longest_s > limit_s:
            return KEEPS_PAUSE + 1 + int(pace.mean_s / limit_s * 4)
        return int(pace.mean_s > self._fastest_s * (1 + TOLERANCE))

    def relative(self, engine: str, now_s: float) -> float | None:
        """Return an engine's interval over the median one, None if unknown."""
        self._summarize(now_s)
        known = self.estimates.get(engine)
        if known is None or not known.is_settled(now_s):
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
            if known.is_settled(now_s)
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
            if known.is_settled(now_s)
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
