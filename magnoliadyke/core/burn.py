"""Burn rates of customers' error budgets, with multi-window alerts.

A customer's row in the operators' table promises that ``met_share`` of its
requests meet their objectives; the remainder is its error budget.  The burn
rate of a window is the share of bad requests in it, divided by that budget.
At a rate of 1 the budget lasts exactly for its period; at 14.4 a thirtieth of
it is used up within an hour.
"""

import array
import dataclasses
import math
from typing import Iterable
from typing import Mapping
from typing import NamedTuple

__all__ = [
    'CAUSES',
    'RULES',
    'WINDOWS_S',
    'Alert',
    'BurnCounters',
    'Counts',
    'CustomerBurn',
    'Rule',
    'Timings',
    'Verdict',
    'WindowBurn',
    'covered_s',
    'evaluate',
    'judge',
    'merge',
]

#: Causes of a bad request; of equally frequent ones an alert names the first.
CAUSES = ('fault', 'role_change', 'queue', 'engine')

#: Time slots of each window; the window advances by one slot at a time.
SLOTS = 30

#: Bad requests that the long window of a rule needs for an alert.  Without
#: this minimum, a customer with three requests an hour would raise an alert
#: at a single late answer.
MIN_BAD = 5

#: Upper limit of the bad share at which a rule fires.  With a large budget
#: the rule's factor can't be reached (14.4 times 10 % is more than all
#: requests), and a customer whose every request fails would raise no alert.
MAX_THRESHOLD_SHARE = 0.8

#: Queueing times up to this one, in seconds, are treated as 0.
MIN_QUEUED_S = 1e-9


class Rule(NamedTuple):
    """Alert rule: the burn rate reaches a factor in two windows at once.

    The long window shows that the burn is significant, the short one that it
    continues, so that the alert ends soon after its cause.

    :param severity: ``page`` or ``ticket``
    :param long_s: length of the long window, in seconds
    :param short_s: length of the short window, in seconds
    :param factor: burn rate that both windows must reach
    """

    severity: str
    long_s: int
    short_s: int
    factor: float


RULES = (
    Rule('page', 3600, 300, 14.4),
    Rule('page', 21600, 1800, 6.0),
    Rule('ticket', 259200, 21600, 1.0),
)

WINDOWS_S = tuple(
    sorted({r.long_s for r in RULES} | {r.short_s for r in RULES})
)


class Timings(NamedTuple):
    """Latencies of one request and its objectives.

    :param first_token_s: time from arrival to the first token, in seconds;
        None if no token was sent
    :param per_token_s: mean time between tokens, in seconds; None for a
        single token
    :param queued_s: time in the node's queue, in seconds
    :param role_change_s: part of ``queued_s`` during which an engine of
        the pool was unavailable for a role change, in seconds
    :param failed_attempts: attempts that failed at an endpoint or on the
        network
    :param first_token_objective_s: objective for ``first_token_s``, from the
        customer's row
    :param per_token_objective_s: objective for ``per_token_s``, from the
        customer's row
    :param shed: whether the request was refused before it ran because its
        pool was overloaded
    """

    first_token_s: float | None = None
    per_token_s: float | None = None
    queued_s: float = 0.0
    role_change_s: float = 0.0
    failed_attempts: int = 0
    first_token_objective_s: float = 2.0
    per_token_objective_s: float = 0.07
    shed: bool = False


class Verdict(NamedTuple):
    """Whether a request met its objectives, and if not, the cause.

    :param cause: one of :data:`CAUSES`; '' if the request met them
    """

    met: bool
    cause: str = ''


def judge(timings: Timings, complete: bool) -> Verdict:
    """Return whether a request met its objectives, with one cause if not.

    :param complete: whether the caller got the complete answer
    """
    first_s = timings.first_token_s
    late = first_s is not None and first_s > timings.first_token_objective_s
    slow = (
        timings.per_token_s is not None
        and timings.per_token_s > timings.per_token_objective_s
    )
    if complete and not late and not slow:
        return Verdict(True)
    broken = not complete and first_s is not None
    if timings.failed_attempts or broken:
        return Verdict(False, 'fault')
    if slow and not late:
        return Verdict(False, 'engine')
    return Verdict(False, _wait_cause(timings, complete))


def _wait_cause(timings: Timings, complete: bool) -> str:
    # A request refused from the queue has no first token: it spent all its
    # time queued.  For others, queueing is the cause if it took at least
    # half of the time.
    total_s = timings.first_token_s
    if total_s is None:
        total_s = timings.queued_s
    if not timings.shed:
        if timings.queued_s <= MIN_QUEUED_S:
            return 'engine' if complete else 'fault'
        if timings.queued_s * 2 < total_s:
            return 'engine'
    if timings.role_change_s > 0:
        if timings.role_change_s * 2 >= timings.queued_s:
            return 'role_change'
    return 'queue'


def covered_s(
    intervals: Iterable[tuple[float, float]], since_s: float, until_s: float
) -> float:
    """Return how many seconds of a period the intervals cover.

    :param intervals: pairs of start and end, in seconds; they may overlap
    :param since_s: start of the period, in seconds
    :param until_s: end of the period, in seconds
    """
    covered = 0.0
    reached_s = since_s
    for begin_s, end_s in sorted(intervals):
        begin_s = max(begin_s, reached_s)
        end_s = min(end_s, until_s)
        if end_s > begin_s:
            covered += end_s - begin_s
            reached_s = end_s
    return covered


class Counts(NamedTuple):
    """Numbers of requests of one customer in one window.

    :param total: good and bad requests
    :param causes: bad requests for each of :data:`CAUSES`
    """

    total: int = 0
    causes: tuple[int, ...] = (0,) * len(CAUSES)

    @property
    def bad(self) -> int:
        """The number of requests that did not meet their objectives."""
        return sum(self.causes)


class Ring:
    """Request counts of one sliding window, in equal time slots.

    :param window_s: length of the window in seconds
    """

    def __init__(self, window_s: int):
        self.slot_s = window_s / SLOTS
        self.width = 1 + len(CAUSES)
        self.cells = array.array('I', [0] * self.width * SLOTS)
        self.newest = 0

    def add(self, column: int, now_s: float) -> None:
        """Count a request.

        :param column: 0 for a good request, else 1 plus the index of its
            cause in :data:`CAUSES`
        """
        self._advance(now_s)
        self.cells[self.newest % SLOTS * self.width + column] += 1

    def sums(self, now_s: float) -> Counts:
        """Return the counts of the window that ends now."""
        self._advance(now_s)
        columns = [
            sum(self.cells[column :: self.width])
            for column in range(self.width)
        ]
        return Counts(sum(columns), tuple(columns[1:]))

    def _advance(self, now_s: float) -> None:
        slot = int(now_s / self.slot_s)
        for passed in range(max(self.newest + 1, slot - SLOTS + 1), slot + 1):
            start = passed % SLOTS * self.width
            for column in range(self.width):
                self.cells[start + column] = 0
        self.newest = max(self.newest, slot)


class BurnCounters:
    """Request counts of every customer since the start of one node.

    Memory is bounded by :data:`SLOTS` slots for each window and customer.
    """

    def __init__(self) -> None:
        self.rings: dict[str, dict[int, Ring]] = {}

    def record(self, customer: str, verdict: Verdict, now_s: float) -> None:
        """Count one request.

        :param now_s: monotonic seconds
        """
        rings = self.rings.get(customer)
        if rings is None:
            rings = {window_s: Ring(window_s) for window_s in WINDOWS_S}
            self.rings[customer] = rings
        column = 0 if verdict.met else 1 + CAUSES.index(verdict.cause)
        for ring in rings.values():
            ring.add(column, now_s)

    def forget(self, customers: Iterable[str]) -> None:
        """Drop the counts of customers removed from the operators' table."""
        for customer in customers:
            self.rings.pop(customer, None)

    def snapshot(self, now_s: float) -> dict[str, dict[int, Counts]]:
        """Return the counts of all customers, by customer and window.

        :param now_s: monotonic seconds
        """
        return {
            customer: {
                window_s: ring.sums(now_s) for window_s, ring in rings.items()
            }
            for customer, rings in self.rings.items()
        }


def merge(
    snapshots: Iterable[Mapping[str, Mapping[int, Counts]]],
) -> dict[str, dict[int, Counts]]:
    """Return the sum of the snapshots of several nodes.

    :param snapshots: results of :meth:`BurnCounters.snapshot`
    """
    merged: dict[str, dict[int, Counts]] = {}
    for snapshot in snapshots:
        for customer, windows in snapshot.items():
            sums = merged.setdefault(customer, {})
            for window_s, counts in windows.items():
                sums[window_s] = _add(sums.get(window_s, Counts()), counts)
    return merged


def _add(one: Counts, other: Counts) -> Counts:
    causes = tuple(
        left + right
        for left, right in zip(one.causes, other.causes, strict=True)
    )
    return Counts(one.total + other.total, causes)


@dataclasses.dataclass(frozen=True, slots=True)
class WindowBurn:
    """Burn rate of one customer in one window.

    :param window_s: length of the window, in seconds
    :param burn_rate: share of bad requests divided by the error budget
    :param bad: number of bad requests
    :param total: number of all requests
    :param causes: number of bad requests by cause
    """

    window_s: int
    burn_rate: float
    bad: int
    total: int
    causes: dict[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class Alert:
    """An alert that a rule raises now.

    :param threshold: burn rate that both windows have reached
    :param cause: most frequent cause in the short window
    """

    severity: str
    long_s: int
    short_s: int
    threshold: float
    cause: str


@dataclasses.dataclass(frozen=True, slots=True)
class CustomerBurn:
    """Burn rates and alerts of one customer.

    :param objective: ``met_share`` of its row
    """

    name: str
    objective: float
    windows: tuple[WindowBurn, ...]
    alerts: tuple[Alert, ...]


def evaluate(
    snapshot: Mapping[str, Mapping[int, Counts]],
    objectives: Mapping[str, float],
    history_s: float = math.inf,
) -> list[CustomerBurn]:
    """Return the burn rates and alerts of each customer.

    A rule is evaluated only once the counts fill its short window.  A minute
    after the start all windows hold the same counts, and one bad minute would
    raise the ticket that is meant for three days.

    :param snapshot: counts of one node, or merged ones of several
    :param objectives: ``met_share`` of each customer of the operators'
        table; other customers are left out
    :param history_s: time that the counts cover, in seconds
    """
    rules = [rule for rule in RULES if rule.short_s <= history_s]
    return [
        _customer_burn(name, objective, snapshot.get(name, {}), rules)
        for name, objective in sorted(objectives.items())
    ]


def _customer_burn(
    name: str,
    objective: float,
    counts: Mapping[int, Counts],
    rules: Iterable[Rule],
) -> CustomerBurn:
    budget = 1.0 - objective
    windows = {
        window_s: _window_burn(
            window_s, counts.get(window_s, Counts()), budget
        )
        for window_s in WINDOWS_S
    }
    alerts = (_alert(rule, windows, budget) for rule in rules)
    return CustomerBurn(
        name,
        objective,
        tuple(windows.values()),
        tuple(alert for alert in alerts if alert is not None),
    )


def _window_burn(window_s: int, counts: Counts, budget: float) -> WindowBurn:
    share = counts.bad / counts.total if counts.total else 0.0
    causes = dict(zip(CAUSES, counts.causes, strict=True))
    return WindowBurn(
        window_s, share / budget, counts.bad, counts.total, causes
    )


def _alert(
    rule: Rule, windows: Mapping[int, WindowBurn], budget: float
) -> Alert | None:
    long, short = windows[rule.long_s], windows[rule.short_s]
    threshold = min(rule.factor, MAX_THRESHOLD_SHARE / budget)
    if long.bad < MIN_BAD or long.burn_rate < threshold:
        return None
    if short.burn_rate < threshold:
        return None
    cause = max(CAUSES, key=short.causes.__getitem__)
    return Alert(rule.severity, rule.long_s, rule.short_s, threshold, cause)
