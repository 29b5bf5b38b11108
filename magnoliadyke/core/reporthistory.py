"""Which windows of usage no process can have reported unknown to this one.

Within an era the store holds all final reports.  A restore from a backup loses
the latest of them, and the processes that made them may have ended too, while
the platform has accepted what they sent.  So a process keeps the time since
which it knows of all final reports.  A report is made some time after the end
of its window; a window that ended too early for that may have been reported.
"""

import json
import math
from typing import NamedTuple

__all__ = ['EraRecord', 'ReportHistory']

ALWAYS = float('-inf')
NEVER = float('inf')
#: Largest era and time of day that are read from the store.
MAX_ERA = 2**53
MAX_TIME_S = 2.0**53


class EraRecord(NamedTuple):
    """What the store tells processes that start later in an era.

    :param era: era of the store in which the record holds
    :param since_s: time of day since which the store has all final reports
    """

    era: int
    since_s: float

    def dump(self) -> bytes:
        """Return the record as JSON for the store."""
        return json.dumps(
            {'era': self.era, 'since_s': max(0.0, self.since_s)}
        ).encode()

    @classmethod
    def parse(cls, value: bytes) -> 'EraRecord':
        """Decode a stored record.

        :raises ValueError: the value is not in the form of :meth:`dump`
        """
        try:
            found = json.loads(value)
        except RecursionError as error:
            raise ValueError(f'invalid JSON: {error}') from error
        match found:
            case {'era': int(era), 'since_s': int() | float() as since_s} if (
                0 <= era <= MAX_ERA and 0 <= since_s <= MAX_TIME_S
            ):
                return cls(era, float(since_s))
        raise ValueError(
            f'expected an era and a time of day, got {value[:80]!r}'
        )


class ReportHistory:
    """Since when this process knows of all final reports.

    A time that this process has observed is kept in seconds of the boot clock,
    as its time of day may be corrected later.

    :ivar era: era of the store that the times hold in; None before this
        process has read the store
    :ivar since_s: boot time since which this process knows all final reports,
        together with those in the store
    :ivar record: latest record read from the store or written to it
    """

    def __init__(self) -> None:
        self.era: int | None = None
        self.since_s = NEVER
        self.record: EraRecord | None = None

    def enter_era(
        self, era: int, now_s: float, is_complete: bool, boot_wall_s: float
    ) -> bool:
        """Record that the store answers in an era.

        :param now_s: boot time at which this process learned of the era
        :param is_complete: whether this process knows all reports that the
            store may have lost
        :param boot_wall_s: time of day at boot time 0
        :returns: whether the era is new to this process
        """
        if self.era is not None and era <= self.era:
            return False
        if not era:
            # Without eras the store is never restored.
            self.since_s = ALWAYS
        elif self.era is not None and is_complete:
            self.since_s = self.known_since_s(boot_wall_s) - boot_wall_s
        else:
            self.since_s = now_s
        self.era = era
        return True

    def merge(self, era: int, since_s: float) -> None:
        """Take over since when another process knows that the store has all.

        :param since_s: boot time of this process
        """
        if era == self.era:
            self.since_s = min(self.since_s, since_s)

    def is_recorded(self) -> bool:
        """Whether the store has a record of this era, if it needs one."""
        return not self.era or (
            self.record is not None and self.record.era == self.era
        )

    def known_since_s(self, boot_wall_s: float) -> float:
        """Return the time of day since which all final reports are known.

        :param boot_wall_s: time of day at boot time 0
        """
        since_s = self.since_s + boot_wall_s
        if self.record is not None and self.record.era == self.era:
            since_s = min(since_s, self.record.since_s)
        return since_s

    def first_unreported(
        self, boot_wall_s: float, window_s: float, report_age_s: float
    ) -> int | None:
        """Return the first window that only a known report can be of.

        :param boot_wall_s: time of day at boot time 0
        :param window_s: length of a window, in seconds
        :param report_age_s: shortest time from the end of a window until its
            report is made final, in seconds
        :returns: None if there is no such window
        """
        since_s = self.known_since_s(boot_wall_s)
        if since_s == NEVER:
            return None
        if since_s == ALWAYS:
            return 0
        return max(0, math.ceil((since_s - report_age_s) / window_s) - 1)
