"""Tests of the fitted lines."""

from magnoliadyke.lab import slopes


def test_a_straight_line_is_found_again():
    line = slopes.fit([(1, 5.0), (2, 7.0), (4, 11.0)])
    assert round(line.base, 9) == 3.0
    assert round(line.slope, 9) == 2.0
    assert line.residual < 1e-9
    assert round(line.at(10), 9) == 23.0


def test_the_residual_shows_that_points_are_no_line():
    assert slopes.fit([(1, 1.0), (2, 4.0), (3, 9.0)]).residual > 0.05


def test_a_summary_works_the_cost_out_for_the_target():
    series = slopes.Series('node', 'x', 'us', 'n', [(0, 1), (2, 5)], 4, 'm')
    row = slopes.summary(series)
    assert row['at_target'] == 9.0
    assert '0: 1, 2: 5' in slopes.format_table([row])[2]
