"""Rate limit of a node's calls to the store, by kind of call.

The store's capacity grows more slowly than the fleet.  Each node therefore
has a token bucket, in which less urgent kinds of calls leave a reserve.
Failures are followed by growing pauses with jitter.  When the store comes
back, calls that can wait are spread out, since all nodes notice its return at
the same moment.
"""

import collections
import dataclasses
import enum
from typing import Any
from typing import NamedTuple

__all__ = [
    'BudgetSettings',
    'CallKind',
    'Granted',
    'RetryLater',
    'StoreBudget',
]


class CallKind(enum.IntEnum):
    """Kinds of calls to the store, the most urgent first."""

    LEASE = 0
    TABLE_WRITE = 1
    INTENT = 2
    CLAIMS = 3
    TABLE_READ = 4
    WATCH = 5


class BudgetSettings(NamedTuple):
    """Limits of one node's calls.

    :param fleet_rate_s: maximum calls per second of all nodes together
    :param rate_s: maximum calls per second of one node
    :param burst: capacity of the token bucket, in calls
    :param reserve_share: share of ``burst`` that each step down in urgency
        has to leave in the bucket
    :param backoff_s: base of the exponential backoff, in seconds
    :param max_backoff_s: longest backoff, in seconds
    :param spread_s: time over which calls that can wait are spread after the
        store came back, in seconds
    """

    fleet_rate_s: float = 400.0
    rate_s: float = 20.0
    burst: float = 40.0
    reserve_share: float = 0.1
    backoff_s: float = 0.1
    max_backoff_s: float = 5.0
    spread_s: float = 2.0


@dataclasses.dataclass(frozen=True)
class Granted:
    """The call may be made now.

    Its result is reported by :meth:`StoreBudget.record_success`,
    :meth:`~StoreBudget.record_failure` or
    :meth:`~StoreBudget.record_throttling`.
    """


@dataclasses.dataclass(frozen=True)
class RetryLater:
    """The call may not be made yet.

    :param after_s: when to request the call again, in seconds from now
    """

    after_s: float


class StoreBudget:
    """One node's budget of calls to the store.

    :param rng: source of randomness
    """

    def __init__(
        self, settings: BudgetSettings, rng: Any, now_s: float = 0.0
    ) -> None:
        self.settings = settings
        self.rng = rng
        self.calls: collections.Counter[CallKind] = collections.Counter()
        self.failures = 0
        self._rate_factor = 1.0
        self._rate_s = settings.rate_s
        self._tokens = settings.burst
        self._refilled_s = now_s
        self._not_before_s: dict[CallKind, float] = {}

    @property
    def rate_s(self) -> float:
        """Present limit, in calls per second."""
        return self._rate_s * self._rate_factor

    def set_nodes(self, nodes: int) -> None:
        """Split the fleet's rate evenly among the live nodes."""
        share_s = self.settings.fleet_rate_s / max(1, nodes)
        self._rate_s = min(self.settings.rate_s, share_s)

    def try_acquire(
        self, kind: CallKind, now_s: float
    ) -> Granted | RetryLater:
        """Return whether a call may be made now, and count it if so."""
        self._refill(now_s)
        wait_s = self._not_before_s.get(kind, 0.0) - now_s
        if wait_s > 0:
            return RetryLater(wait_s)
        reserve = kind * self.settings.reserve_share * self.settings.burst
        missing_tokens = 1 + reserve - self._tokens
        if missing_tokens > 0:
            return RetryLater(max(missing_tokens / self.rate_s, 0.01))
        self._tokens -= 1
        self.calls[kind] += 1
        return Granted()

    def _refill(self, now_s: float) -> None:
        gained = (now_s - self._refilled_s) * self.rate_s
        self._tokens = min(self.settings.burst, self._tokens + gained)
        self._refilled_s = now_s

    def record_success(self, kind: CallKind, now_s: float) -> None:
        """Record that the store answered a call."""
        if self.failures:
            self._spread_resumption(kind, now_s)
        self.failures = 0
        self._rate_factor = min(1.0, self._rate_factor + 0.05)
        self._not_before_s.pop(kind, None)

    def _spread_resumption(self, kind: CallKind, now_s: float) -> None:
        """Delay other kinds of calls that can wait by random times.

        If all nodes made their pending calls at once, the store would
        fail again.
        """
        for other in CallKind:
            if other is not kind and other >= CallKind.CLAIMS:
                delay_s = self.rng.random() * self.settings.spread_s
                self._not_before_s[other] = now_s + delay_s
            else:
                self._not_before_s.pop(other, None)

    def record_failure(self, kind: CallKind, now_s: float) -> None:
        """Record a call without an answer or with an error.

        Calls of its kind back off exponentially, with jitter.
        """
        self.failures += 1
        ceiling_s = min(
            self.settings.max_backoff_s,
            self.settings.backoff_s * 2 ** min(self.failures, 16),
        )
        if kind is CallKind.LEASE:
            # A lease expires unless it is renewed in time: wait only briefly.
            ceiling_s = min(ceiling_s, 4 * self.settings.backoff_s)
        pause_s = ceiling_s * (0.5 + 0.5 * self.rng.random())
        self._not_before_s[kind] = now_s + pause_s

    def record_throttling(
        self, kind: CallKind, now_s: float, retry_after_s: float = 0.0
    ) -> None:
        """Record that the store refused a call because of its rate limit.

        Halves this node's rate, which each later success raises a little.

        :param retry_after_s: shortest pause that the store requested, in
            seconds
        """
        self._rate_factor = max(0.05, self._rate_factor / 2)
        self.record_failure(kind, now_s)
        earliest_s = now_s + retry_after_s
        self._not_before_s[kind] = max(self._not_before_s[kind], earliest_s)
