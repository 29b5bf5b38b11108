"""Baseline role policies: fixed, greedy, hysteresis and hindsight.

Each has the methods `observe` and `plan` of
:class:`magnoliadyke.core.roles.Planner`, so that all policies run on the same
scheduler and fake engines.

The hindsight plan is the optimum, computed by dynamic programming, of a
relaxed problem over the complete trace.  The relaxed model differs from the
fake engines as follows:

- Work is a fluid, without queues, batches or interrupted requests.
- Demand that is not served in its time step is dropped, so an overload costs
  nothing later.
- Demand is smoothed over `SMOOTH_S`, the slack that the objectives leave.
- A role change makes an engine unavailable for exactly
  `role_change_downtime_s`.
- An engine is loaded up to its maximum utilization, and idle decode capacity
  serves prefill at a fixed rate.

The plan starts from the same split as greedy, hysteresis and the planner.  No
online policy can compute the plan, since it depends on future demand.  The
plan is no strict upper bound: since the model differs from the fake engines,
another plan may do better on them.  Experiments therefore compute a plan for
each of several maximum utilizations and take the best run as the ceiling.
"""

from typing import NamedTuple

from magnoliadyke.core import forecast
from magnoliadyke.core import roles
from magnoliadyke.lab import traces

__all__ = [
    'Fixed',
    'Greedy',
    'Hysteresis',
    'Schedule',
    'fluid_demand',
    'hindsight_plan',
    'rank_splits',
]

#: Time step of the relaxed model.
CELL_S = 2.0
SMOOTH_S = 4.0
#: Distance of the target from the present split, in engines, from which on
#: hysteresis considers a change.
HYSTERESIS_BAND = 0.75
#: Time for which the target has to stay outside the band before a change.
HYSTERESIS_HOLD_S = 10.0
#: Shortest time between two changes.
HYSTERESIS_DWELL_S = 30.0
DEMAND_TIME_CONSTANT_S = 10.0
#: Time per output token over which the relaxed model spreads an answer.
DECODE_TOKEN_INTERVAL_S = 0.04


def _change_towards(state, prefills):
    """Return the change that moves the split one engine towards a target.

    :param state: :class:`magnoliadyke.core.roles.PoolState`
    :param prefills: target number of prefill engines
    :returns: :class:`magnoliadyke.core.roles.RoleChange` of the least loaded
        engine; None while another engine changes its role or if the target
        is reached
    """
    ready = [each for each in state.engines if each.state in roles.READY]
    if any(each.state == 'changing' for each in state.engines):
        return None
    prefilling = [each for each in ready if each.role == roles.PREFILL]
    decoding = [each for each in ready if each.role == roles.DECODE]
    max_prefills = len(ready) - state.min_decode
    target_prefills = max(state.min_prefill, min(max_prefills, prefills))
    if target_prefills > len(prefilling) and decoding:
        least_loaded = min(decoding, key=lambda engine: engine.load)
        return roles.RoleChange(least_loaded.name, roles.PREFILL)
    if target_prefills < len(prefilling):
        least_loaded = min(prefilling, key=lambda engine: engine.load)
        return roles.RoleChange(least_loaded.name, roles.DECODE)
    return None


class Fixed:
    """Policy that never changes a role."""

    def observe(self, demand, now_s):
        """Ignore the demand."""

    def plan(self, state, now_s):
        """Return no change."""
        return None


class _DemandFollower:
    """Base of policies that follow the prefill share of smoothed demand."""

    def __init__(self):
        self.prefill = forecast.Series(DEMAND_TIME_CONSTANT_S)
        self.decode = forecast.Series(DEMAND_TIME_CONSTANT_S)

    def observe(self, demand, now_s):
        """Add a sample of the demand."""
        self.prefill.add(demand.prefill_s_per_s, now_s)
        self.decode.add(demand.decode_s_per_s, now_s)

    def target_prefills(self, state):
        """Return the prefill engines that fit the demand, not rounded.

        :returns: None if there is no demand
        """
        prefill = self.prefill.mean()
        decode = self.decode.mean()
        ready = sum(each.state in roles.READY for each in state.engines)
        if prefill + decode <= 0:
            return None
        return ready * prefill / (prefill + decode)


class Greedy(_DemandFollower):
    """Policy that changes to the split nearest to the demand at once."""

    def plan(self, state, now_s):
        """Return a change towards the nearest split."""
        target_prefills = self.target_prefills(state)
        if target_prefills is None:
            return None
        return _change_towards(state, round(target_prefills))


class Hysteresis(_DemandFollower):
    """Policy that changes after demand stays outside a band for some time."""

    def __init__(self):
        super().__init__()
        self.outside_band_since_s = None
        self.changed_at_s = float('-inf')

    def plan(self, state, now_s):
        """Return a change if hold time and dwell time have passed."""
        target_prefills = self.target_prefills(state)
        ready = [each for each in state.engines if each.state in roles.READY]
        prefills = sum(each.role == roles.PREFILL for each in ready)
        if (
            target_prefills is None
            or abs(target_prefills - prefills) < HYSTERESIS_BAND
        ):
            self.outside_band_since_s = None
            return None
        if self.outside_band_since_s is None:
            self.outside_band_since_s = now_s
        if now_s - self.outside_band_since_s < HYSTERESIS_HOLD_S:
            return None
        if now_s - self.changed_at_s < HYSTERESIS_DWELL_S:
            return None
        change = _change_towards(state, round(target_prefills))
        if change is not None:
            self.changed_at_s = now_s
        return change


class Change(NamedTuple):
    """A change of the split.

    :param at_s: time from which on the split applies
    :param prefills: number of prefill engines
    """

    at_s: float
    prefills: int


class Schedule:
    """Policy that follows a given schedule.

    :param changes: list of :class:`Change` by time
    """

    def __init__(self, changes):
        self.changes = list(changes)

    def observe(self, demand, now_s):
        """Ignore the demand, since the schedule is given."""

    def plan(self, state, now_s):
        """Return a change towards the scheduled engines of each role."""
        started = [each for each in self.changes if each.at_s <= now_s]
        if not started:
            return None
        return _change_towards(state, started[-1].prefills)


def fluid_demand(requests, cells):
    """Compute the smoothed demand in each time step.

    A prompt counts in the time step of its arrival; an output is spread over
    the time that its tokens take.

    :param requests: :class:`traces.Request` by arrival time
    :param cells: number of time steps
    :returns: list of (prefill, decode) in engine-seconds per second
    """
    prefill = [0.0] * cells
    decode = [0.0] * cells
    for request in requests:
        first = min(int(request.at_s / CELL_S), cells - 1)
        work_s = request.prompt_tokens * traces.PREFILL_TOKEN_S
        prefill[first] += work_s / CELL_S
        work_s = request.output_tokens * traces.DECODE_TOKEN_S
        spread = 1 + int(
            request.output_tokens * DECODE_TOKEN_INTERVAL_S / CELL_S
        )
        for cell in range(first, min(first + spread, cells)):
            decode[cell] += work_s / spread / CELL_S
    return list(zip(_smooth(prefill), _smooth(decode), strict=True))


def _smooth(values):
    keep = CELL_S / SMOOTH_S
    level = values[0] if values else 0.0
    smoothed = []
    for value in values:
        level += keep * (value - level)
        smoothed.append(level)
    return smoothed


def hindsight_plan(
    requests, length_s, engines, price_tokens, settings, first=None
):
    """Compute the optimal changes of the relaxed problem.

    :param requests: :class:`traces.Request` by arrival time
    :param length_s: length of the trace
    :param engines: number of engines
    :param price_tokens: number of tokens deducted for each role change
    :param settings: :class:`magnoliadyke.core.roles.PlannerSettings`
    :param first: initial number of prefill engines; None to optimize it
    :returns: (initial number of prefill engines, list of :class:`Change`,
        tokens per second of the relaxed optimum)
    """
    cells = max(1, int(length_s / CELL_S))
    demand = fluid_demand(requests, cells)
    values = [_served_tokens(settings, engines, each) for each in demand]
    downtime_cells = max(1, round(settings.role_change_downtime_s / CELL_S))
    splits = range(1, engines)
    # best[cell][split]: the largest number of tokens from this time step to
    # the end, and the step of the split (0, 1 or -1) that attains it.
    best = [{split: (0.0, 0) for split in splits} for _ in range(cells + 1)]
    for cell in range(cells - 1, -1, -1):
        for split in splits:
            stay = values[cell][split, engines - split]
            options = [(stay + best[cell + 1][split][0], 0)]
            for step in (1, -1):
                after = split + step
                if after not in splits:
                    continue
                end = min(cell + downtime_cells, cells)
                left = min(split, after)
                rest = engines - max(split, after)
                total = sum(values[c][left, rest] for c in range(cell, end))
                total += best[end][after][0] - price_tokens
                options.append((total, step))
            best[cell][split] = max(options)
    if first is None:
        first = max(splits, key=lambda split: best[0][split][0])
    changes = _extract_changes(best, first, cells, downtime_cells)
    return first, changes, best[0][first][0] / (cells * CELL_S)


def rank_splits(requests, length_s, engines, settings):
    """Rank the fixed splits by the tokens that the relaxed model serves.

    The parameters are those of :func:`hindsight_plan`.

    :returns: numbers of prefill engines, the best first
    """
    cells = max(1, int(length_s / CELL_S))
    demand = fluid_demand(requests, cells)
    values = [_served_tokens(settings, engines, each) for each in demand]
    return sorted(
        range(1, engines),
        key=lambda split: -sum(v[split, engines - split] for v in values),
    )


def _served_tokens(settings, engines, demand):
    """Return the tokens served in a time step, by (prefills, decodes).

    All splits of the pool are included, also with one engine unavailable.
    """
    values = {}
    for prefills in range(engines):
        for decodes in (engines - prefills, engines - prefills - 1):
            served = roles.served_tokens_s(
                settings, prefills, decodes, *demand
            )
            values[prefills, decodes] = served * CELL_S
    return values


def _extract_changes(best, split, cells, downtime_cells):
    changes = []
    cell = 0
    while cell < cells:
        step = best[cell][split][1]
        if not step:
            cell += 1
            continue
        split += step
        changes.append(Change(cell * CELL_S, split))
        cell += downtime_cells
    return changes
