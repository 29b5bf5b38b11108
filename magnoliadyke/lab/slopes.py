"""Linear fits of measured costs, extrapolated to a target size."""

from typing import NamedTuple
from typing import Sequence

__all__ = ['Series', 'fit', 'summary', 'format_table']


class Series(NamedTuple):
    """A cost measured at several sizes.

    :param role: component that bears the cost, such as ``node``
    :param name: the measured quantity
    :param unit: unit of the values
    :param size_name: what is counted by the size, such as ``endpoints``
    :param points: (size, value) pairs
    :param target: size to extrapolate the cost to
    :param mechanism: why the cost grows as it does, in a few words
    """

    role: str
    name: str
    unit: str
    size_name: str
    points: Sequence[tuple[float, float]]
    target: float
    mechanism: str


class Line(NamedTuple):
    """Fitted line ``value = base + slope * size``.

    :param residual: largest absolute deviation of a point from the line,
        divided by the largest absolute value
    """

    base: float
    slope: float
    residual: float

    def at(self, size):
        """Return the value on the line at a size."""
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
    """Return a series and its fit as a JSON-serializable mapping."""
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
    """Format summaries as a Markdown table.

    :param rows: results of :func:`summary`
    :return: list of lines
    """
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
