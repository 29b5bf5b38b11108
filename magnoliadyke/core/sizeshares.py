"""Finds the size classes of prompts that are served less often than others.

Handles bursts of seconds in which the engines can't prefill all prompts, and
prompts of which some take several times as long as the mean.
"""

from typing import NamedTuple

from magnoliadyke.core import limits
from magnoliadyke.core import promptjobs
from magnoliadyke.core import sizeclasses

__all__ = ['MIN_SHARE', 'SizeGroup', 'SizeShares']

#: Least share of the prompts of a size class that is to be placed, relative
#: to that of all prompts of their rank.
MIN_SHARE = 0.75
#: Prompts placed as often as all others that are added to each class, so that
#: a class is not judged by its first one or two prompts.
PRIOR_PROMPTS = 3.0
#: Time constant of the counts, in seconds: longer than a burst, so that what
#: a class lost in a burst is made up for within the burst.
TIME_CONSTANT_S = 10.0
#: Prompts below which the counts of a class are dropped.
MIN_PROMPTS = 0.01


class SizeGroup(NamedTuple):
    """Prompts that are compared with others of their rank.

    :param rank: rank of the requests, 0 for the most urgent
    :param size_class: see :func:`sizeclasses.size_class`
    """

    rank: int
    size_class: int


class _Counts:
    """Prompts of a group that came and that were placed, decaying."""

    def __init__(self, now_s: float) -> None:
        self.arrived = limits.Rate(TIME_CONSTANT_S, now_s)
        self.placed = limits.Rate(TIME_CONSTANT_S, now_s)


class SizeShares:
    """Counts prompts and placements by rank and size class.

    :ivar counts: counts by group; bounded by the groups with prompts within
        some time constants
    :ivar underserved: groups placed less often than their least share when
        :meth:`update` was last called
    """

    def __init__(self) -> None:
        self.counts: dict[SizeGroup, _Counts] = {}
        self.underserved: frozenset[SizeGroup] = frozenset()

    def record_arrival(self, job: promptjobs.Job, now_s: float) -> None:
        """Count a new prompt; one that returns was counted before."""
        if not job.is_retry:
            self._counts(job, now_s).arrived.add(1.0, now_s)

    def record_placement(self, job: promptjobs.Job, now_s: float) -> None:
        """Count a prompt that is sent to an engine."""
        self._counts(job, now_s).placed.add(1.0, now_s)

    def is_underserved(self, job: promptjobs.Job) -> bool:
        """Whether a job's group is placed less often than its least share."""
        return _group(job) in self.underserved

    def update(self, now_s: float) -> None:
        """Find the groups that are placed less often than their least share.

        Each is compared with all prompts of its rank, as a less urgent rank
        is meant to be placed less often.
        """
        by_rank: dict[int, dict[SizeGroup, tuple[float, float]]] = {}
        for group, counts in list(self.counts.items()):
            arrived = counts.arrived.now(now_s) * TIME_CONSTANT_S
            placed = counts.placed.now(now_s) * TIME_CONSTANT_S
            if max(arrived, placed) < MIN_PROMPTS:
                del self.counts[group]
                continue
            by_rank.setdefault(group.rank, {})[group] = arrived, placed
        underserved: set[SizeGroup] = set()
        for groups in by_rank.values():
            underserved |= _find_underserved(groups)
        self.underserved = frozenset(underserved)

    def _counts(self, job: promptjobs.Job, now_s: float) -> _Counts:
        group = _group(job)
        counts = self.counts.get(group)
        if counts is None:
            counts = self.counts[group] = _Counts(now_s)
        return counts


def _find_underserved(
    groups: dict[SizeGroup, tuple[float, float]],
) -> set[SizeGroup]:
    """Return the groups of one rank that are below their least share.

    :param groups: prompts that arrived and that were placed, by group
    """
    all_arrived = sum(arrived for arrived, _ in groups.values())
    if not all_arrived:
        return set()
    share = sum(placed for _, placed in groups.values()) / all_arrived
    least_share = MIN_SHARE * share
    return {
        group
        for group, (arrived, placed) in groups.items()
        if placed + PRIOR_PROMPTS * share
        < least_share * (arrived + PRIOR_PROMPTS)
    }


def _group(job: promptjobs.Job) -> SizeGroup:
    return SizeGroup(job.priority, sizeclasses.size_class(job.tokens))
