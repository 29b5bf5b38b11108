"""Limit of the retries that a host may send to a service.

All hosts together may retry the share ``ratio`` of the requests, plus
``extra`` retries in each window.  Each host applies the ratio to the requests
that it received.  It takes a part of ``extra`` only while the store lists it,
so that the hosts that divide ``extra`` are those that count each other.
"""

import collections

__all__ = ['Budgets', 'RetryBudget']

#: Slices of the sliding window; its length is exact to one slice.
SLICES = 10
#: Share of the allowance that hosts use: for a moment hosts may disagree on
#: the number of hosts, and each counts only the requests that it received.
USABLE_SHARE = 0.7


class RetryBudget:
    """One host's share of the fleet's retries within a sliding window.

    :param ratio: retries allowed per request
    :param extra: further retries per window, for all hosts together
    :param window_s: length of the window, in seconds
    :ivar hosts: number of hosts that divide ``extra``; 0 if this host takes
        no part of it
    """

    def __init__(self, ratio: float, extra: float, window_s: float) -> None:
        self.ratio = ratio
        self.extra = extra
        self.slice_s = window_s / SLICES
        self.hosts = 0
        self.requests: collections.deque[tuple[int, int]] = collections.deque()
        self.retries: collections.deque[tuple[int, int]] = collections.deque()

    def record_request(self, now_s: float) -> None:
        """Count a caller's request for the service."""
        self._count(self.requests, now_s)

    def taken(self, now_s: float) -> int:
        """Return the number of retries in the window."""
        return self._sum(self.retries, now_s)

    def allowance(self, now_s: float) -> float:
        """Return how many retries this host may send in the window."""
        allowed = self.ratio * self._sum(self.requests, now_s)
        if self.hosts:
            allowed += self.extra / self.hosts
        return allowed * USABLE_SHARE

    def has_left(self, now_s: float, count: int = 1) -> bool:
        """Return whether some retries could be sent now.

        :param count: number of retries
        """
        return self.taken(now_s) + count <= self.allowance(now_s)

    def try_acquire(self, now_s: float) -> bool:
        """Count one retry, if one is left.

        :returns: whether the retry may be sent
        """
        if not self.has_left(now_s):
            return False
        self._count(self.retries, now_s)
        return True

    def _count(
        self, counts: collections.deque[tuple[int, int]], now_s: float
    ) -> None:
        number = int(now_s / self.slice_s)
        if counts and counts[-1][0] == number:
            counts[-1] = (number, counts[-1][1] + 1)
        else:
            counts.append((number, 1))

    def _sum(
        self, counts: collections.deque[tuple[int, int]], now_s: float
    ) -> int:
        oldest = int(now_s / self.slice_s) - SLICES
        while counts and counts[0][0] < oldest:
            counts.popleft()
        return sum(count for _, count in counts)


class Budgets(dict):
    """Retry budgets by service, created on first access.

    See :class:`RetryBudget` for the other parameters.

    :param now_s: when this process started, in monotonic seconds
    :ivar unlisted_s: when the store last did not list this host for certain
    :ivar hosts: number of hosts that divide the budgets' ``extra``; 0 if this
        host takes no part of it
    """

    def __init__(
        self, ratio: float, extra: float, window_s: float, now_s: float
    ) -> None:
        super().__init__()
        self.ratio = ratio
        self.extra = extra
        self.window_s = window_s
        self.unlisted_s = now_s
        self.hosts = 0
        self.counts: collections.deque[tuple[float, int]] = collections.deque()

    def __missing__(self, service: str) -> RetryBudget:
        budget = self[service] = RetryBudget(
            self.ratio, self.extra, self.window_s
        )
        budget.hosts = self.hosts
        return budget

    def set_hosts(self, listed: int, is_listed: bool, now_s: float) -> None:
        """Divide ``extra`` evenly among the hosts that the store lists.

        A host that is removed from the list may have sent its part within the
        present window.  The others of one that was not listed have divided
        ``extra`` without it until then.

        :param listed: number of hosts that the store lists
        :param is_listed: whether the store lists this host for certain
        """
        while self.counts and self.counts[-1][1] <= listed:
            self.counts.pop()
        self.counts.append((now_s, listed))
        while self.counts[0][0] < now_s - self.window_s:
            if len(self.counts) == 1:
                break
            self.counts.popleft()
        self.hosts = 0
        if not is_listed:
            self.unlisted_s = now_s
        elif now_s - self.unlisted_s >= self.window_s:
            self.hosts = max(1, self.counts[0][1])
        for budget in self.values():
            budget.hosts = self.hosts
