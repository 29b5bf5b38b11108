"""Usage counts of workspaces, in windows of the time of day.

Each host counts the requests that began to run and repeatedly sends its
totals to the leader, which reports them: a message that is lost, late or
duplicated changes nothing.  The report of a window is written to the store
once, before it is sent; so the next leader repeats that report and never
makes a different one.
"""

import collections
from collections.abc import Iterable
from collections.abc import Iterator
import json
import math
from typing import Any
from typing import NamedTuple

__all__ = [
    'Ledger',
    'Report',
    'Reports',
    'ProcessCounts',
    'retained_window_count',
    'split',
    'window_of',
]

#: Windows kept beyond those whose reports are not overdue: the present one and
#: one that has just ended.
SPARE_WINDOWS = 2
#: Largest window and count that are read from the store.
MAX_COUNT = 2**53


def window_of(wall_s: float, length_s: float) -> int:
    """Return the number of the window that contains a time of day.

    :param wall_s: seconds since the epoch
    :param length_s: length of a window, in seconds
    """
    return math.floor(wall_s / length_s)


def retained_window_count(length_s: float, due_s: float) -> int:
    """Return how many windows to keep.

    :param length_s: length of a window, in seconds
    :param due_s: time from the end of a window until its report is due, in
        seconds
    """
    return math.ceil(due_s / length_s) + SPARE_WINDOWS


def split(
    windows: dict[int, dict[str, int]], max_counts: int
) -> Iterator[dict[int, dict[str, int]]]:
    """Split counts into parts of at most ``max_counts`` counts.

    Yields at least one part, which is empty if there are no counts.

    :param windows: request counts by window and workspace
    """
    part: dict[int, dict[str, int]] = {}
    size = 0
    for window, begun in windows.items():
        for workspace, count in begun.items():
            if size == max_counts:
                yield part
                part, size = {}, 0
            part.setdefault(window, {})[workspace] = count
            size += 1
    yield part


class ProcessCounts:
    """Request counts of one process.

    :param length_s: length of a window, in seconds
    :param max_windows: number of windows that are kept and sent
    """

    def __init__(self, length_s: float, max_windows: int) -> None:
        self.length_s = length_s
        self.max_windows = max_windows
        self.windows: dict[int, collections.Counter[str]] = {}

    def record_start(self, workspace: str, wall_s: float) -> None:
        """Count a request of a workspace that began to run."""
        window = window_of(wall_s, self.length_s)
        counts = self.windows.setdefault(window, collections.Counter())
        counts[workspace] += 1

    def shift(self, by_s: float) -> None:
        """Move the counts to other windows after a correction of the clock.

        :param by_s: correction in seconds, positive if the clock was behind
        """
        by = round(by_s / self.length_s)
        self.windows = {
            window + by: counts for window, counts in self.windows.items()
        }

    def recent(self, wall_s: float) -> dict[int, dict[str, int]]:
        """Drop expired windows and return the counts of the others."""
        present = window_of(wall_s, self.length_s)
        for window in list(self.windows):
            if window <= present - self.max_windows:
                del self.windows[window]
        return {
            window: dict(counts) for window, counts in self.windows.items()
        }


class Ledger:
    """Request counts received from all processes.

    :param max_windows: number of windows that are kept
    """

    def __init__(self, max_windows: int) -> None:
        self.max_windows = max_windows
        self.windows: dict[int, dict[tuple[str, int], dict[str, int]]] = {}

    def record_counts(
        self, host: str, incarnation: int, window: int, begun: dict[str, int]
    ) -> None:
        """Merge the totals of one process in one window."""
        of_window = self.windows.setdefault(window, {})
        known = of_window.setdefault((host, incarnation), {})
        for workspace, count in begun.items():
            known[workspace] = max(count, known.get(workspace, 0))
        for old in sorted(self.windows)[: -self.max_windows]:
            del self.windows[old]

    def by_process(
        self, since: int
    ) -> dict[tuple[str, int], dict[int, dict[str, int]]]:
        """Return the counts of each process, by window.

        :param since: first window to return
        """
        found: dict[tuple[str, int], dict[int, dict[str, int]]] = {}
        for window, of_window in self.windows.items():
            if window >= since:
                for process, begun in of_window.items():
                    found.setdefault(process, {})[window] = begun
        return found

    def counts(self, window: int) -> dict[str, int]:
        """Return the requests that began in a window, by workspace."""
        total: collections.Counter[str] = collections.Counter()
        for begun in self.windows.get(window, {}).values():
            total.update(begun)
        return dict(sorted(total.items()))


class Report(NamedTuple):
    """The final counts of a window, by workspace."""

    window: int
    counts: dict[str, int]


class Reports:
    """The latest final reports, as stored.

    :param max_windows: number of windows whose reports are kept, as the
        next leader may have to send them again
    :ivar fixed: final reports by window
    """

    def __init__(
        self, max_windows: int, reports: Iterable[Report] = ()
    ) -> None:
        self.max_windows = max_windows
        self.fixed = {each.window: each for each in reports}

    @property
    def last(self) -> int | None:
        """The latest window with a final report, None if there is none."""
        return max(self.fixed, default=None)

    def merge(self, other: 'Reports') -> None:
        """Add reports read from the store; those already present are kept."""
        self.fixed = other.fixed | self.fixed
        self._trim()

    def fix(self, report: Report) -> 'Reports':
        """Return a copy with a report added, unless its window has one."""
        made = Reports(self.max_windows, self.fixed.values())
        made.fixed.setdefault(report.window, report)
        made._trim()
        return made

    def _trim(self) -> None:
        for window in sorted(self.fixed)[: -self.max_windows]:
            del self.fixed[window]

    def dump(self) -> bytes:
        """Return the reports as JSON for the store."""
        fields = [[w, self.fixed[w].counts] for w in sorted(self.fixed)]
        return json.dumps(fields, separators=(',', ':')).encode()

    def parse(self, value: bytes) -> 'Reports':
        """Return the reports that :meth:`dump` encoded.

        :raises ValueError: the value is not in that form
        """
        try:
            found = json.loads(value)
        except RecursionError as error:
            raise ValueError(f'invalid JSON: {error}') from error
        if not isinstance(found, list):
            raise ValueError(
                f'expected a list of reports, got {type(found).__name__}'
            )
        return Reports(self.max_windows, [_report(each) for each in found])


def _report(found: Any) -> Report:
    match found:
        case [int(window), dict(counts)] if _is_count(window) and all(
            map(_is_count, counts.values())
        ):
            return Report(window, counts)
    raise ValueError(
        'expected reports of a window and its counts by workspace, from 0 to '
        f'{MAX_COUNT} each, got one of another form'
    )


def _is_count(found: Any) -> bool:
    return type(found) is int and 0 <= found <= MAX_COUNT
