"""Forecast demand from noisy samples: a line, and a rhythm if there is one."""

import collections
import math
import operator
from typing import NamedTuple

__all__ = ['ForecastErrors', 'Forecast', 'SeasonalForecast', 'Series']

BIN_S = 4.0
MAX_BINS = 240
MIN_PERIOD_BINS = 15
MAX_PERIOD_BINS = 150
SEARCH_BINS = 4
SMOOTHED_BINS = 3
MIN_CORRELATION = 0.45
#: Standard errors by which a correlation has to stand out.
SIGNIFICANCE = 3.0
#: A correlation this high makes the rhythm the whole forecast.
FULL_WEIGHT_CORRELATION = 0.6
MAX_CYCLES = 4


class Forecast(NamedTuple):
    """Demand ahead, in engine-seconds a second.

    :param level: now
    :param slope: change per second
    :param error: standard error of the level
    :param noise: standard deviation of a sample
    """

    level: float
    slope: float
    error: float
    noise: float

    def at(self, ahead_s, trend_s):
        """Mean demand `ahead_s` from now; the trend fades with `trend_s`."""
        reach_s = trend_s * (1.0 - math.exp(-ahead_s / trend_s))
        return max(0.0, self.level + self.slope * reach_s)


class Series:
    """A line through recent samples, weighted by their age.

    :param overlap: samples that share what they measure, as each is a mean
        over a while: their noise is no smaller than that of one in so many

    Sums are kept relative to the newest sample, so that a sample costs the
    same however many came before it.
    """

    def __init__(self, memory_s, overlap=1.0):
        self.memory_s = memory_s
        self.overlap = overlap
        self.at_s = None
        self._weight = 0.0
        self._squares = 0.0
        self._time = 0.0
        self._time2 = 0.0
        self._value = 0.0
        self._cross = 0.0
        self._value2 = 0.0

    def add(self, value, now_s):
        """Take a sample."""
        if self.at_s is not None:
            self._decay(now_s - self.at_s)
        self.at_s = now_s
        self._weight += 1.0
        self._squares += 1.0
        self._value += value
        self._value2 += value * value

    def _decay(self, passed_s):
        keep = math.exp(-passed_s / self.memory_s)
        # Times are negative: a sample's time is minus its age.
        self._time2 += passed_s * (passed_s * self._weight - 2 * self._time)
        self._time -= passed_s * self._weight
        self._cross -= passed_s * self._value
        for name in ('_time', '_time2', '_value', '_value2', '_cross'):
            setattr(self, name, keep * getattr(self, name))
        self._weight *= keep
        self._squares *= keep * keep

    def mean(self):
        """The weighted mean of the samples."""
        return self._value / self._weight if self._weight else 0.0

    def forecast(self):
        """Fit the line; a slope within its own error counts for little."""
        if not self._weight:
            return Forecast(0.0, 0.0, 0.0, 0.0)
        mean = self._value / self._weight
        mean_time = self._time / self._weight
        spread = self._time2 / self._weight - mean_time * mean_time
        variance = max(0.0, self._value2 / self._weight - mean * mean)
        count = self._weight * self._weight / self._squares / self.overlap
        if spread <= 0 or count < 3:
            noise = math.sqrt(variance)
            return Forecast(mean, 0.0, noise, noise)
        slope = (self._cross / self._weight - mean * mean_time) / spread
        residual = max(0.0, variance - slope * slope * spread)
        noise = math.sqrt(residual * count / (count - 2))
        slope_error2 = noise * noise / (count * spread)
        slope2 = slope * slope
        slope *= max(0.0, slope2 - slope_error2) / slope2 if slope2 else 0.0
        level = mean - slope * mean_time
        error2 = noise * noise / count + mean_time * mean_time * slope_error2
        return Forecast(max(0.0, level), slope, math.sqrt(error2), noise)


class SeasonalForecast:
    """Finds a period in two series and tells what came at this phase.

    Token mixes swing with shifts and batch runs, often in even periods. A
    line through the last seconds lags behind such a swing; what came a
    period ago does not.

    :ivar period_s: the period found, None without one
    :ivar weight: how far to trust it, 0 to 1
    """

    def __init__(self):
        self.period_s = None
        self.weight = 0.0
        self._bins = collections.deque(maxlen=MAX_BINS)
        self._open = []
        self._bin_end_s = None
        self._smoothed = ()
        self._lag = None

    def add(self, first, second, now_s):
        """Take a sample of both series."""
        if self._bin_end_s is None:
            self._bin_end_s = now_s + BIN_S
        if now_s >= self._bin_end_s and self._open:
            self._close_bin()
            self._bin_end_s += BIN_S
            if now_s > self._bin_end_s:
                # Samples are missing: phases before the gap are lost.
                self._bins.clear()
                self._lag = self.period_s = None
                self._bin_end_s = now_s + BIN_S
        self._open.append((first, second))

    def expected_at(self, ahead_s):
        """Mean of both series at this phase in past cycles, or None."""
        if self._lag is None:
            return None
        bin_index = len(self._bins) - 1 + round(ahead_s / BIN_S)
        sums = [0.0, 0.0]
        count = 0
        while count < MAX_CYCLES:
            bin_index -= self._lag
            if bin_index < 0:
                break
            if bin_index >= len(self._smoothed):
                continue
            for index in (0, 1):
                sums[index] += self._smoothed[bin_index][index]
            count += 1
        if not count:
            return None
        return sums[0] / count, sums[1] / count

    def _close_bin(self):
        count = len(self._open)
        columns = zip(*self._open, strict=True)
        self._bins.append(tuple(sum(column) / count for column in columns))
        self._open = []
        self._smoothed = _smooth(self._bins)
        if len(self._bins) % SEARCH_BINS == 0 or self._bins.maxlen == len(
            self._bins
        ):
            self._search()

    def _search(self):
        """Find the lag at which the series resemble themselves most."""
        columns = [
            _centred(column) for column in zip(*self._smoothed, strict=True)
        ]
        count = len(self._smoothed)
        longest = min(MAX_PERIOD_BINS, 2 * count // 3)
        found = {
            lag: _correlation(columns, lag)
            for lag in range(MIN_PERIOD_BINS // 2, longest)
        }
        self._lag = self.period_s = None
        self.weight = 0.0
        # Any slow change resembles itself a little later; only what became
        # unlike itself and then like itself again is a cycle.
        negative_lags = [lag for lag, value in found.items() if value <= 0]
        if not negative_lags:
            return
        candidates = {
            lag: found[lag] for lag in found if lag > negative_lags[0]
        }
        # A multiple of the period is as good a lag; the shortest counts.
        min_peak = 0.9 * max(candidates.values(), default=0.0)
        peaks = [
            lag
            for lag, value in candidates.items()
            if value >= min_peak
            and lag >= MIN_PERIOD_BINS
            and value >= found[lag - 1]
            and value >= found.get(lag + 1, 1.0)
        ]
        for lag in peaks:
            overlap = (count - lag) / SMOOTHED_BINS
            needed = max(MIN_CORRELATION, SIGNIFICANCE / math.sqrt(overlap))
            if found[lag] >= needed:
                self._lag = lag
                self.period_s = lag * BIN_S
                self.weight = min(1.0, found[lag] / FULL_WEIGHT_CORRELATION)
                return


def _smooth(bins):
    """Means over a bin and its neighbours."""
    bins = list(bins)
    smoothed = []
    for bin_index in range(len(bins)):
        neighbours = bins[max(0, bin_index - 1) : bin_index + 2]
        smoothed.append(
            tuple(
                sum(column) / len(neighbours)
                for column in zip(*neighbours, strict=True)
            )
        )
    return smoothed


def _centred(values):
    mean = sum(values) / len(values)
    return [value - mean for value in values]


def _correlation(columns, lag):
    cross = old = new = 0.0
    for column in columns:
        cross += sum(map(operator.mul, column[lag:], column))
        old += sum(map(operator.mul, column[:-lag], column[:-lag]))
        new += sum(map(operator.mul, column[lag:], column[lag:]))
    if old <= 0 or new <= 0:
        return 0.0
    return cross / math.sqrt(old * new)


class ForecastErrors:
    """How wrong forecasts have been, by how far they looked ahead.

    :param memory_s: time constant with which errors are forgotten
    """

    def __init__(self, memory_s):
        self.memory_s = memory_s
        self._due = collections.deque()
        self._squares = {}

    def record_forecast(self, lead_s, due_s, values):
        """Note a forecast of several series for `due_s`.

        Forecasts of one lead have to come in the order of their times.
        """
        self._due.append((due_s, lead_s, values))

    def observe(self, values, now_s):
        """Compare what has come with what was expected by now."""
        left = collections.deque()
        for due_s, lead_s, expected in self._due:
            if due_s > now_s:
                left.append((due_s, lead_s, expected))
                continue
            pairs = zip(values, expected, strict=True)
            squares = [(value - predicted) ** 2 for value, predicted in pairs]
            self._update_error(lead_s, squares, now_s)
        self._due = left

    def _update_error(self, lead_s, squares, now_s):
        known = self._squares.get(lead_s)
        if known is None:
            self._squares[lead_s] = now_s, squares
            return
        keep = math.exp((known[0] - now_s) / self.memory_s)
        mixed = [
            keep * old + (1 - keep) * new
            for old, new in zip(known[1], squares, strict=True)
        ]
        self._squares[lead_s] = now_s, mixed

    def errors(self, ahead_s, min_errors):
        """Standard errors so far ahead, from the nearest leads.

        :param least: errors that are certain, by series
        """
        if not self._squares:
            return min_errors
        lead_s = min(self._squares, key=lambda each: abs(each - ahead_s))
        squares = self._squares[lead_s][1]
        return tuple(
            max(floor, math.sqrt(square))
            for floor, square in zip(min_errors, squares, strict=True)
        )
