"""Role policies to compare with: fixed, greedy, hysteresis, hindsight.

Each has the two methods of :class:`magnoliadyke.core.roles.Planner` that the
experiments call, so that all run over the same scheduler and fakes.

The hindsight plan is the optimum, found by dynamic programming, of a
relaxed problem over the known trace.  It relaxes these things:

- the work is a fluid: no queue, no batch, no request that is cut in two;
- a request that is not served within its second is lost without trace, so
  overload costs nothing later;
- demand is smoothed over `SMOOTH_S`, the slack that the objectives leave;
- an engine that changes is away for exactly the outage;
- an engine's time up to the usable shares can be sold, and the idle
  rest in the other role at a fixed rate.

It starts from the split that the other moving policies start from.  As it
knows the future, the plan is not one that could be had; and as its
model is not the fakes', another plan may do better on the fakes.  So it is
tried with several usable shares and the best run counts as the ceiling.
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

CELL_S = 2.0
SMOOTH_S = 4.0
HYSTERESIS_BAND = 0.75
HYSTERESIS_HOLD_S = 10.0
HYSTERESIS_DWELL_S = 30.0
DEMAND_TIME_CONSTANT_S = 10.0
DECODE_TOKEN_INTERVAL_S = 0.04


def _change_towards(state, prefills):
    """The change that moves the split one engine towards `prefills`."""
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
    """Never changes a role."""

    def observe(self, demand, now_s):
        """Heed no demand."""

    def plan(self, state, now_s):
        """Change nothing."""
        return None


class _DemandFollower:
    """Follows the share of prefill in a smoothed demand."""

    def __init__(self):
        self.prefill = forecast.Series(DEMAND_TIME_CONSTANT_S)
        self.decode = forecast.Series(DEMAND_TIME_CONSTANT_S)

    def observe(self, demand, now_s):
        """Take a demand into the smoothed one."""
        self.prefill.add(demand.prefill_s_per_s, now_s)
        self.decode.add(demand.decode_s_per_s, now_s)

    def target_prefills(self, state):
        """Engines that should prefill, as a fraction."""
        prefill = self.prefill.mean()
        decode = self.decode.mean()
        ready = sum(each.state in roles.READY for each in state.engines)
        if prefill + decode <= 0:
            return None
        return ready * prefill / (prefill + decode)


class Greedy(_DemandFollower):
    """Changes to the nearest split as soon as the demand does."""

    def plan(self, state, now_s):
        """Change towards the nearest split at once."""
        target_prefills = self.target_prefills(state)
        if target_prefills is None:
            return None
        return _change_towards(state, round(target_prefills))


class Hysteresis(_DemandFollower):
    """Changes when the demand has asked for it clearly and for a while."""

    def __init__(self):
        super().__init__()
        self.outside_band_since_s = None
        self.changed_at_s = float('-inf')

    def plan(self, state, now_s):
        """Change once the demand has been outside the band for long."""
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
    """From `at_s` on, `prefills` engines should prefill."""

    at_s: float
    prefills: int


class Schedule:
    """Carries out a list of :class:`Change`."""

    def __init__(self, changes):
        self.changes = list(changes)

    def observe(self, demand, now_s):
        """Heed no demand; the changes are known."""

    def plan(self, state, now_s):
        """Change towards the split that is due."""
        started = [each for each in self.changes if each.at_s <= now_s]
        if not started:
            return None
        return _change_towards(state, started[-1].prefills)


def fluid_demand(requests, cells):
    """Demand of each cell, smoothed, as (prefill, decode) pairs.

    A prompt counts where it arrives; an output is spread over the time that
    its tokens take.
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
    """The optimal changes of the relaxed problem.

    :param settings: a :class:`magnoliadyke.core.roles.PlannerSettings`
    :param first: prefill engines at the start; None to choose them too
    :returns: (first number of prefill engines, list of :class:`Change`,
        tokens a second of the relaxed optimum)
    """
    cells = max(1, int(length_s / CELL_S))
    demand = fluid_demand(requests, cells)
    values = [_served_tokens(settings, engines, each) for each in demand]
    downtime_cells = max(1, round(settings.role_change_downtime_s / CELL_S))
    splits = range(1, engines)
    # best[cell][split]: tokens from the cell on, and what to do in it.
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
    """Fixed numbers of prefill engines, by the relaxed model, best first."""
    cells = max(1, int(length_s / CELL_S))
    demand = fluid_demand(requests, cells)
    values = [_served_tokens(settings, engines, each) for each in demand]
    return sorted(
        range(1, engines),
        key=lambda split: -sum(v[split, engines - split] for v in values),
    )


def _served_tokens(settings, engines, demand):
    """Tokens of a cell for each split, one engine away or none."""
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
