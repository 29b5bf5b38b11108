"""What workspaces have used, in windows of the time of day.

Each host counts the requests that began to run and tells the one that
reports, again and again and as totals: a message that is lost, late or
doubled changes nothing.  What a window has is fixed once, in the store,
before it is reported; so a successor repeats a report and never makes a
second one.
"""

import collections
from collections.abc import Iterable
from collections.abc import Iterator
import json
import math
from typing import NamedTuple

__all__ = [
    'Ledger',
    'Report',
    'Reports',
    'Tally',
    'kept_windows',
    'split',
    'window_of',
]

#: Windows that are kept beyond those whose reports may still be in time: the
#: present one, and one that has just ended.
SPARE_WINDOWS = 2


def window_of(wall_s: float, length_s: float) -> int:
    """Number of the window that a moment lies in."""
    return math.floor(wall_s / length_s)


def kept_windows(length_s: float, due_s: float) -> int:
    """How many windows there is still something to be done about.

    :param due_s: from the end of a window to when its report is due
    """
    return math.ceil(due_s / length_s) + SPARE_WINDOWS


def split(
    windows: dict[int, dict[str, int]], max_counts: int
) -> Iterator[dict[int, dict[str, int]]]:
    """Parts of what is to be told, with so many counts at most.

    At least one part, also if there is nothing to tell.
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


class Tally:
    """What one process has counted.

    :param length_s: of a window
    :param kept: windows that are told
    """

    def __init__(self, length_s: float, kept: int) -> None:
        self.length_s = length_s
        self.kept = kept
        self.windows: dict[int, collections.Counter[str]] = {}

    def record_start(self, workspace: str, wall_s: float) -> None:
        """A request of a workspace began to run."""
        window = window_of(wall_s, self.length_s)
        counts = self.windows.setdefault(window, collections.Counter())
        counts[workspace] += 1

    def shift(self, by_s: float) -> None:
        """The time of day was off by so much when requests were counted."""
        by = round(by_s / self.length_s)
        self.windows = {
            window + by: counts for window, counts in self.windows.items()
        }

    def recent(self, wall_s: float) -> dict[int, dict[str, int]]:
        """What is to be told of the present window and those before it."""
        present = window_of(wall_s, self.length_s)
        for window in list(self.windows):
            if window <= present - self.kept:
                del self.windows[window]
        return {
            window: dict(counts) for window, counts in self.windows.items()
        }


class Ledger:
    """What all hosts have told, at the host that reports.

    :param kept: windows of which counts are kept
    """

    def __init__(self, kept: int) -> None:
        self.kept = kept
        self.windows: dict[int, dict[tuple[str, int], dict[str, int]]] = {}

    def record_tally(
        self, host: str, incarnation: int, window: int, begun: dict[str, int]
    ) -> None:
        """Take the totals of one process in one window."""
        of_window = self.windows.setdefault(window, {})
        known = of_window.setdefault((host, incarnation), {})
        for workspace, count in begun.items():
            known[workspace] = max(count, known.get(workspace, 0))
        for old in sorted(self.windows)[: -self.kept]:
            del self.windows[old]

    def by_process(
        self, since: int
    ) -> dict[tuple[str, int], dict[int, dict[str, int]]]:
        """What is known of each process, by window.

        :param since: first window that matters
        """
        found: dict[tuple[str, int], dict[int, dict[str, int]]] = {}
        for window, of_window in self.windows.items():
            if window >= since:
                for process, begun in of_window.items():
                    found.setdefault(process, {})[window] = begun
        return found

    def counts(self, window: int) -> dict[str, int]:
        """All requests that began in a window, by workspace."""
        total: collections.Counter[str] = collections.Counter()
        for begun in self.windows.get(window, {}).values():
            total.update(begun)
        return dict(sorted(total.items()))


class Report(NamedTuple):
    """What is reported of a window, for good."""

    window: int
    counts: dict[str, int]


class Reports:
    """The reports that are fixed, the latest of them as the store has them.

    :param kept: how many a successor may have to repeat
    :ivar fixed: by window
    """

    def __init__(self, kept: int, reports: Iterable[Report] = ()) -> None:
        self.kept = kept
        self.fixed = {each.window: each for each in reports}

    @property
    def last(self) -> int | None:
        """The latest window that has been fixed."""
        return max(self.fixed, default=None)

    def merge(self, other: 'Reports') -> None:
        """Take reports that were read; one that is known stays as it is."""
        self.fixed = other.fixed | self.fixed
        self._trim()

    def fix(self, report: Report) -> 'Reports':
        """The reports with one more."""
        made = Reports(self.kept, self.fixed.values())
        made.fixed.setdefault(report.window, report)
        made._trim()
        return made

    def _trim(self) -> None:
        for window in sorted(self.fixed)[: -self.kept]:
            del self.fixed[window]

    def dump(self) -> bytes:
        """Write them as the store keeps them."""
        fields = [[w, self.fixed[w].counts] for w in sorted(self.fixed)]
        return json.dumps(fields, separators=(',', ':')).encode()

    def parse(self, value: bytes) -> 'Reports':
        """Read reports as the store keeps them.

        :raises ValueError, TypeError: they are not in this form
        """
        return Reports(
            self.kept,
            (Report(int(w), dict(counts)) for w, counts in json.loads(value)),
        )
