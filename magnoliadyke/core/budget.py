"""The calls that a node may make to the store, by kind.

The store serves the whole fleet at rates that grow more slowly than the
fleet.  Each node therefore has a token bucket, of which the less urgent
kinds leave a reserve; failures are followed by growing, jittered pauses;
and when the store comes back, postponable calls are spread out, since all
nodes notice its return at the same moment.
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
    'Later',
    'StoreBudget',
]


class CallKind(enum.IntEnum):
    """Kinds of calls, the most urgent first."""

    LEASE = 0
    TABLE_WRITE = 1
    INTENT = 2
    CLAIMS = 3
    TABLE_READ = 4
    WATCH = 5


class BudgetSettings(NamedTuple):
    """Rates of one node.

    :param fleet_rate_s: calls a second that all nodes together may make.
    :param rate_s: most calls a second of one node.
    :param reserve_share: share of the burst that each step down in urgency
        leaves untouched.
    :param spread_s: time over which postponable calls return.
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
    """Make the call now, then report ``succeeded`` or ``failed``."""


@dataclasses.dataclass(frozen=True)
class Later:
    """Ask again after so many seconds."""

    after_s: float


class StoreBudget:
    """One node's budget.

    :param rng: source of randomness.
    """

    def __init__(
        self, settings: BudgetSettings, rng: Any, now_s: float = 0.0
    ) -> None:
        self.settings = settings
        self.rng = rng
        self.calls: collections.Counter[CallKind] = collections.Counter()
        self.failures = 0
        self._share = 1.0
        self._rate_s = settings.rate_s
        self._tokens = settings.burst
        self._refilled_s = now_s
        self._not_before_s: dict[CallKind, float] = {}

    @property
    def rate_s(self) -> float:
        """Calls a second at present."""
        return self._rate_s * self._share

    def set_nodes(self, nodes: int) -> None:
        """Split the fleet's rate among the live nodes."""
        share_s = self.settings.fleet_rate_s / max(1, nodes)
        self._rate_s = min(self.settings.rate_s, share_s)

    def ask(self, kind: CallKind, now_s: float) -> Granted | Later:
        """Whether a call may be made now."""
        self._refill(now_s)
        wait_s = self._not_before_s.get(kind, 0.0) - now_s
        if wait_s > 0:
            return Later(wait_s)
        reserve = kind * self.settings.reserve_share * self.settings.burst
        short = 1 + reserve - self._tokens
        if short > 0:
            return Later(max(short / self.rate_s, 0.01))
        self._tokens -= 1
        self.calls[kind] += 1
        return Granted()

    def _refill(self, now_s: float) -> None:
        gained = (now_s - self._refilled_s) * self.rate_s
        self._tokens = min(self.settings.burst, self._tokens + gained)
        self._refilled_s = now_s

    def succeeded(self, kind: CallKind, now_s: float) -> None:
        """The store answered."""
        if self.failures:
            self._spread_resumption(kind, now_s)
        self.failures = 0
        self._share = min(1.0, self._share + 0.05)
        self._not_before_s.pop(kind, None)

    def _spread_resumption(self, kind: CallKind, now_s: float) -> None:
        """Spread what piled up; a herd would bring the store down again."""
        for other in CallKind:
            if other is not kind and other >= CallKind.CLAIMS:
                delay_s = self.rng.random() * self.settings.spread_s
                self._not_before_s[other] = now_s + delay_s
            else:
                self._not_before_s.pop(other, None)

    def failed(self, kind: CallKind, now_s: float) -> None:
        """No answer, or an error: pause, longer each time, with jitter."""
        self.failures += 1
        ceiling_s = min(
            self.settings.max_backoff_s,
            self.settings.backoff_s * 2 ** min(self.failures, 16),
        )
        if kind is CallKind.LEASE:
            # A lease that is not renewed lapses: it never waits for long.
            ceiling_s = min(ceiling_s, 4 * self.settings.backoff_s)
        pause_s = ceiling_s * (0.5 + 0.5 * self.rng.random())
        self._not_before_s[kind] = now_s + pause_s

    def throttled(
        self, kind: CallKind, now_s: float, retry_after_s: float = 0.0
    ) -> None:
        """The store refused for its rate: halve ours, regain it slowly."""
        self._share = max(0.05, self._share / 2)
        self.failed(kind, now_s)
        least_s = now_s + retry_after_s
        self._not_before_s[kind] = max(self._not_before_s[kind], least_s)
