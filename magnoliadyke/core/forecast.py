"""Forecast demand by a weighted linear fit and a detected seasonal period."""

import collections
import math
import operator
from typing import NamedTuple

__all__ = ['Forecast', 'ForecastErrors', 'SeasonalForecast', 'Series']

#: Samples are averaged over bins of this length, in seconds, before the period
#: search.
BIN_S = 4.0
MAX_BINS = 240
MIN_PERIOD_BINS = 15
MAX_PERIOD_BINS = 150
#: The period is searched again after this many new bins.
SEARCH_BINS = 4
#: Bins that each smoothed value is averaged over.
SMOOTHED_BINS = 3
MIN_CORRELATION = 0.45
#: Standard errors by which an autocorrelation has to exceed zero.
SIGNIFICANCE = 3.0
#: From this autocorrelation on the seasonal forecast has weight 1.
FULL_WEIGHT_CORRELATION = 0.6
#: Past cycles that are averaged.
MAX_CYCLES = 4


class Forecast(NamedTuple):
    """A linear demand forecast, in engine-seconds per second.

    :param level: estimated present demand
    :param slope: change of the demand per second
    :param error: standard error of the level
    :param noise: standard deviation of a sample
    """

    level: float
    slope: float
    error: float
    noise: float

    def at(self, ahead_s, trend_s):
        """Return the mean demand `ahead_s` from now.

        :param trend_s: time constant with which the slope decays, in seconds
        """
        effective_s = trend_s * (1.0 - math.exp(-ahead_s / trend_s))
        return max(0.0, self.level + self.slope * effective_s)


class Series:
    """A linear fit of recent samples, weighted by age.

    Sums are kept relative to the time of the newest sample, so that adding
    a sample takes constant time.

    :param time_constant_s: time constant with which the weight of samples
        decays, in seconds
    :param overlap: number of consecutive samples that are means over
        overlapping times; the fit treats them as one independent sample
    """

    def __init__(self, time_constant_s, overlap=1.0):
        self.time_constant_s = time_constant_s
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
        """Add a sample taken at `now_s`."""
        if self.at_s is not None:
            self._decay(now_s - self.at_s)
        self.at_s = now_s
        self._weight += 1.0
        self._squares += 1.0
        self._value += value
        self._value2 += value * value

    def _decay(self, elapsed_s):
        keep = math.exp(-elapsed_s / self.time_constant_s)
        # The time of a sample is its negative age.
        self._time2 += elapsed_s * (elapsed_s * self._weight - 2 * self._time)
        self._time -= elapsed_s * self._weight
        self._cross -= elapsed_s * self._value
        for name in ('_time', '_time2', '_value', '_value2', '_cross'):
            setattr(self, name, keep * getattr(self, name))
        self._weight *= keep
        self._squares *= keep * keep

    def mean(self):
        """Return the weighted mean of the samples, 0 without any."""
        return self._value / self._weight if self._weight else 0.0

    def forecast(self):
        """Fit a line to the weighted samples.

        The slope is shrunk by the share of its square that its own squared
        standard error makes up, to zero if that is all of it.
        """
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
    """Forecasts two series from past cycles of a period that it detects.

    Token mixes swing with shifts and batch runs, often at a constant period.
    A line through the last seconds lags behind such a swing; the values of
    one period ago do not.

    :ivar period_s: detected period in seconds, None without one
    :ivar weight: confidence in the period, from 0 to 1
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
        """Add a sample of both series taken at `now_s`."""
        if self._bin_end_s is None:
            self._bin_end_s = now_s + BIN_S
        if now_s >= self._bin_end_s and self._open:
            self._close_bin()
            self._bin_end_s += BIN_S
            if now_s > self._bin_end_s:
                # Samples are missing for longer than a bin, so the phase of
                # the bins before the gap is unknown.
                self._bins.clear()
                self._lag = self.period_s = None
                self._bin_end_s = now_s + BIN_S
        self._open.append((first, second))

    def expected_at(self, ahead_s):
        """Return the mean of both series at a phase in past cycles.

        :param ahead_s: time from now to the phase, in seconds
        :returns: a pair, or None while there is no period or no past cycle
        """
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
        """Set the period to the shortest lag of high autocorrelation."""
        columns = [
            _centred(column) for column in zip(*self._smoothed, strict=True)
        ]
        count = len(self._smoothed)
        longest = min(MAX_PERIOD_BINS, 2 * count // 3)
        correlations = {
            lag: _correlation(columns, lag)
            for lag in range(MIN_PERIOD_BINS // 2, longest)
        }
        self._lag = self.period_s = None
        self.weight = 0.0
        # Any slow change correlates with itself at short lags.  Only a
        # correlation that falls to zero and rises again is a cycle.
        negative_lags = [
            lag for lag, value in correlations.items() if value <= 0
        ]
        if not negative_lags:
            return
        candidates = {
            lag: correlations[lag]
            for lag in correlations
            if lag > negative_lags[0]
        }
        # Multiples of the period correlate as well; the shortest lag is the
        # period.
        min_peak = 0.9 * max(candidates.values(), default=0.0)
        peaks = [
            lag
            for lag, value in candidates.items()
            if value >= min_peak
            and lag >= MIN_PERIOD_BINS
            and value >= correlations[lag - 1]
            and value >= correlations.get(lag + 1, 1.0)
        ]
        for lag in peaks:
            overlap = (count - lag) / SMOOTHED_BINS
            needed = max(MIN_CORRELATION, SIGNIFICANCE / math.sqrt(overlap))
            if correlations[lag] >= needed:
                self._lag = lag
                self.period_s = lag * BIN_S
                self.weight = min(
                    1.0, correlations[lag] / FULL_WEIGHT_CORRELATION
                )
                return


def _smooth(bins):
    """Return the means over each bin and its two neighbours."""
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
    """Standard errors of past forecasts, by lead time.

    :param time_constant_s: time constant with which the weight of errors
        decays, in seconds
    """

    def __init__(self, time_constant_s):
        self.time_constant_s = time_constant_s
        self._due = collections.deque()
        self._squares = {}

    def record_forecast(self, lead_s, due_s, values):
        """Record a forecast, to be compared with the demand at `due_s`.

        Forecasts of one lead time have to be recorded in order of `due_s`.

        :param lead_s: time from the forecast to `due_s`, in seconds
        :param values: forecast value of each series
        """
        self._due.append((due_s, lead_s, values))

    def observe(self, values, now_s):
        """Update the errors by the recorded forecasts that are due.

        :param values: present value of each series
        """
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
        previous = self._squares.get(lead_s)
        if previous is None:
            self._squares[lead_s] = now_s, squares
            return
        keep = math.exp((previous[0] - now_s) / self.time_constant_s)
        mixed = [
            keep * old + (1 - keep) * new
            for old, new in zip(previous[1], squares, strict=True)
        ]
        self._squares[lead_s] = now_s, mixed

    def errors(self, ahead_s, min_errors):
        """Return the standard errors at the lead time nearest to `ahead_s`.

        :param min_errors: lower bounds of the errors, by series
        """
        if not self._squares:
            return min_errors
        lead_s = min(self._squares, key=lambda each: abs(each - ahead_s))
        squares = self._squares[lead_s][1]
        return tuple(
            max(floor, math.sqrt(square))
            for floor, square in zip(min_errors, squares, strict=True)
        )
