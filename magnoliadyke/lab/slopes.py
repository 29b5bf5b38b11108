"""Straight lines through measured points, and what they say of a size."""

from typing import NamedTuple
from typing import Sequence

__all__ = ['Series', 'fit', 'summary', 'format_table']


class Series(NamedTuple):
    """A cost measured at several sizes.

    :param role: who bears it, such as ``node``
    :param name: what was measured
    :param unit: unit of the values
    :param size_name: what grows, such as ``endpoints``
    :param points: (size, value) pairs
    :param target: the size to work the cost out for
    :param mechanism: what carries it
    """

    role: str
    name: str
    unit: str
    size_name: str
    points: Sequence[tuple[float, float]]
    target: float
    mechanism: str


class Line(NamedTuple):
    """``value = base + slope * size``.

    :param residual: largest distance of a point from the line, relative to
        the largest value
    """

    base: float
    slope: float
    residual: float

    def at(self, size):
        """Return the line's value at a size."""
        return self.base + self.slope * size


def fit(points):
    """Fit a line by least squares.

    :param points: (size, value) pairs of at least two sizes
    :return: :class:`Line`
    """
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    squares = sum((x - mean_x) ** 2 for x, _ in points)
    covariance = sum((x - mean_x) * (y - mean_y) for x, y in points)
    slope = covariance / squares
    base = mean_y - slope * mean_x
    largest = max(abs(y) for _, y in points) or 1.0
    max_error = max(abs(y - base - slope * x) for x, y in points)
    return Line(base, slope, max_error / largest)


def summary(series):
    """Return a series with its fit as a mapping for JSON."""
    line = fit(series.points)
    return {
        'role': series.role,
        'name': series.name,
        'unit': series.unit,
        'size_name': series.size_name,
        'points': [list(point) for point in series.points],
        'base': line.base,
        'slope': line.slope,
        'residual': line.residual,
        'target': series.target,
        'at_target': line.at(series.target),
        'mechanism': series.mechanism,
    }


def format_table(rows):
    """Return the summaries as lines of a Markdown table."""
    lines = [
        '| role | what | measured at | base + slope | residual | at target |',
        '|---|---|---|---|---|---|',
    ]
    for row in rows:
        points = ', '.join(f'{x:g}: {y:.4g}' for x, y in row['points'])
        lines.append(
            f'| {row["role"]} | {row["name"]} ({row["unit"]}) '
            f'| {row["size_name"]} {points} '
            f'| {row["base"]:.4g} + {row["slope"]:.4g} x '
            f'| {row["residual"]:.0%} '
            f'| {row["at_target"]:.4g} at {row["target"]:g} |'
        )
    return lines
