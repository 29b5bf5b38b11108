"""How many repeats a host may send to a service."""

import collections

__all__ = ['Budgets', 'RetryBudget']

#: Slices into which the window is cut; the budget errs by at most one.
SLICES = 10
#: Share of the allowance that is spent: hosts differ for a moment in how
#: many they think there are, and requests are counted where they arrive.
USABLE_SHARE = 0.7


class RetryBudget:
    """Repeats within a sliding window, as a share of the fleet's allowance.

    All hosts together may repeat ``ratio`` of the requests and ``extra``
    besides.  The ratio is applied to the host's own requests, the extra is
    split evenly, so the shares add up to the allowance without any message.

    :param window_s: span over which repeats count
    """

    def __init__(self, ratio: float, extra: float, window_s: float) -> None:
        self.ratio = ratio
        self.extra = extra
        self.slice_s = window_s / SLICES
        self.hosts = 1
        self.requests: collections.deque[tuple[int, int]] = collections.deque()
        self.retries: collections.deque[tuple[int, int]] = collections.deque()

    def record_request(self, now_s: float) -> None:
        """A caller's request for the service has arrived."""
        self._count(self.requests, now_s)

    def has_left(self, now_s: float) -> bool:
        """Whether a repeat could be sent now."""
        allowed = self.ratio * self._sum(self.requests, now_s)
        allowed = (allowed + self.extra / self.hosts) * USABLE_SHARE
        return self._sum(self.retries, now_s) + 1 <= allowed

    def try_acquire(self, now_s: float) -> bool:
        """Spend one repeat, if one is left.

        :returns: whether the repeat may be sent
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
    """Retry budgets by service, made when first asked for.

    See :class:`RetryBudget` for the parameters.
    """

    def __init__(self, ratio: float, extra: float, window_s: float) -> None:
        super().__init__()
        self.ratio = ratio
        self.extra = extra
        self.window_s = window_s
        self.hosts = 1

    def __missing__(self, service: str) -> RetryBudget:
        budget = self[service] = RetryBudget(
            self.ratio, self.extra, self.window_s
        )
        budget.hosts = self.hosts
        return budget

    def set_hosts(self, hosts: int) -> None:
        """Split the allowance among the live hosts."""
        self.hosts = hosts
        for budget in self.values():
            budget.hosts = hosts
