"""Tests of the demand forecast."""

import math
import random

from magnoliadyke.core import forecast


def test_line_is_continued():
    series = forecast.Series(12.0)
    for now_s in range(60):
        series.add(1.0 + 0.05 * now_s, float(now_s))
    found = series.forecast()
    assert math.isclose(found.level, 3.95, rel_tol=1e-3)
    assert math.isclose(found.slope, 0.05, rel_tol=1e-3)


def test_slope_within_the_noise_is_ignored():
    rng = random.Random(1)
    series = forecast.Series(12.0)
    slopes = []
    for now_s in range(300):
        series.add(2.0 + rng.gauss(0, 0.5), float(now_s))
        slopes.append(abs(series.forecast().slope))
    assert sum(slopes[20:]) / 280 < 0.03
    assert abs(series.forecast().level - 2.0) < 3 * series.forecast().error


def test_rhythm_is_found_and_told_ahead():
    rng = random.Random(1)
    rhythm = forecast.SeasonalForecast()
    for now_s in range(600):
        swing = math.sin(2 * math.pi * now_s / 120)
        noise = rng.gauss(0, 0.5), rng.gauss(0, 0.5)
        rhythm.add(2 + swing + noise[0], 2 - swing + noise[1], float(now_s))
    assert abs(rhythm.period_s - 120) <= 8
    # A quarter period ahead the swing is at its top.
    first, second = rhythm.expected_at(30.0)
    assert first > 2.5
    assert second < 1.5


def test_noise_and_slow_change_have_no_rhythm():
    rng = random.Random(2)
    noise = forecast.SeasonalForecast()
    drift = forecast.SeasonalForecast()
    for now_s in range(600):
        noise.add(rng.gauss(2, 0.5), rng.gauss(2, 0.5), float(now_s))
        drift.add(now_s / 300, 2 - now_s / 300, float(now_s))
    assert noise.period_s is None
    assert drift.period_s is None
    assert drift.expected_at(10.0) is None


def test_a_gap_forgets_the_phase():
    rhythm = forecast.SeasonalForecast()
    for now_s in range(600):
        swing = math.sin(2 * math.pi * now_s / 120)
        rhythm.add(2 + swing, 2 - swing, float(now_s))
    assert rhythm.period_s is not None
    rhythm.add(2.0, 2.0, 700.0)
    assert rhythm.period_s is None
