"""Plan which engines of a pool prefill and which decode.

The planner forecasts the demand for prefill and decode, rates each split of
the pool by the tokens that it is expected to serve over a horizon, and
changes one engine at a time.  A change is made when its expected gain
exceeds its cost: the seconds in which the engine serves nothing, the prefix
cache that it loses, and the price of a change in the operators' table.

A role here is what :mod:`magnoliadyke.core.stageplan` calls a stage; the
two belong to different engine protocols.
"""

import dataclasses
import math
from typing import NamedTuple

from magnoliadyke.core import forecast

__all__ = [
    'DECODE',
    'EngineView',
    'PREFILL',
    'Planner',
    'PlannerSettings',
    'PoolState',
    'RoleChange',
    'served_tokens_s',
]

PREFILL = 'prefill'
DECODE = 'decode'
AUTO = 'auto'
READY = ('in', 'up')
#: Cells of the horizon whose forecasts are later compared with the demand.
ERROR_CELLS = (0, 2, 5, 9, 14)
#: Largest distance, in role changes, between the present split and any split
#: that a change plan considers.
MAX_STEPS = 3

#: Sigma points of the forecast error, in standard deviations of prefill and
#: decode, and their weights.  The two errors have opposite signs: when the
#: mix shifts, one demand rises and the other falls.
SIGMA_DISTANCE = math.sqrt(3.0)
SIGMA_POINTS = (
    (0, 0),
    (SIGMA_DISTANCE, -SIGMA_DISTANCE),
    (-SIGMA_DISTANCE, SIGMA_DISTANCE),
)
SIGMA_WEIGHTS = (2 / 3, 1 / 6, 1 / 6)


@dataclasses.dataclass(frozen=True, slots=True)
class RoleChange:
    """Order to give an engine another role.

    :param gain_tokens: additional tokens that the pool is expected to serve
        because of the change, less the change's cost in tokens
    """

    endpoint: str
    role: str
    gain_tokens: float = 0.0


class EngineView(NamedTuple):
    """The planner's view of an engine.

    :param state: 'in' or 'up' when the engine accepts work; 'changing'
        during a role change; any other value when it is unavailable
    :param load: work in flight, in any unit; the engine with the smallest
        load changes its role
    :param reported_at_s: time of measurement of its newest load report
    :param cached_tokens: prompt tokens in its prefix cache; 0 if unknown
    """

    name: str
    role: str
    state: str = 'in'
    load: float = 0.0
    reported_at_s: float = 0.0
    cached_tokens: float = 0.0


class PoolState(NamedTuple):
    """A pool's engines and the cells of its row in the operators' table.

    :param engines: an :class:`EngineView` for each engine
    :param price_tokens: cell `role_change_price`
    :param dwell_s: shortest time between two role changes of an engine, in
        seconds
    :param planning: 'auto' if the planner may change roles
    """

    engines: tuple
    price_tokens: float = 500.0
    min_prefill: int = 1
    min_decode: int = 1
    dwell_s: float = 10.0
    planning: str = AUTO


class PlannerSettings(NamedTuple):
    """Constants of a planner.

    :param sample_s: shortest time between two samples of the demand, in
        seconds
    :param time_constant_s: time constant with which the weight of samples
        decays, in seconds
    :param overlap: number of consecutive samples that count the same
        arrivals, since the demand is a mean over several seconds
    :param trend_s: time constant with which a forecast trend decays, in
        seconds
    :param horizon_s: time over which the gain of a change is summed, in
        seconds
    :param cell_s: time step of the horizon, in seconds
    :param role_change_downtime_s: time for which a change makes an engine
        unavailable, drain included, in seconds
    :param max_report_age_s: no change is made on reports older than this, in
        seconds
    :param max_prefill_utilization: utilization of a prefill engine above
        which queueing violates the objectives, in terms of the fitted costs;
        it may exceed 1
    :param max_decode_utilization: the same for a decode engine
    :param seasonal_share: largest weight of the seasonal forecast in the
        combined forecast
    :param seasonal_carry: part of the present deviation from the seasonal
        forecast that is assumed to persist
    :param prefill_on_decode: prefill rate in the idle time of a decode
        engine, relative to a prefill engine
    :param prompt_loss_exponent: a served decode share s leaves the fraction
        s ** exponent of the prefill demand
    :param prefill_tokens_s: prompt tokens prefilled in an engine-second
    :param decode_tokens_s: output tokens decoded in an engine-second
    :param error_time_constant_s: time constant with which the weight of past
        forecast errors decays, in seconds
    :param ramp_s: time after the first sample, in seconds, in which samples
        are discarded
    :param warm_up_s: time after the ramp, in seconds, in which samples are
        recorded but no change is made
    :param error_share: factor applied to the observed forecast errors
    :param backlog_s: time within which the backlog is to be served, in
        seconds
    :param cache_reread_share: share of the tokens in a lost prefix cache
        that have to be prefilled again
    """

    sample_s: float = 1.0
    time_constant_s: float = 12.0
    overlap: float = 4.0
    trend_s: float = 20.0
    horizon_s: float = 60.0
    cell_s: float = 4.0
    role_change_downtime_s: float = 7.0
    max_report_age_s: float = 15.0
    max_prefill_utilization: float = 0.87
    max_decode_utilization: float = 1.02
    seasonal_share: float = 0.9
    seasonal_carry: float = 0.3
    prefill_on_decode: float = 0.15
    prompt_loss_exponent: float = 1.6
    prefill_tokens_s: float = 5000.0
    decode_tokens_s: float = 1400.0
    backlog_s: float = 10.0
    error_time_constant_s: float = 60.0
    error_share: float = 0.8
    ramp_s: float = 6.0
    warm_up_s: float = 8.0
    cache_reread_share: float = 0.1


DEFAULT_SETTINGS = PlannerSettings()


def served_tokens_s(settings, prefills, decodes, prefill, decode):
    """Return the tokens per second that a split is expected to serve.

    Every request needs a stream, so with too few decode engines requests of
    all kinds are refused, long prompts first, since their first tokens are
    the first to miss the objective.  With too few prefill engines only
    prompts are refused.

    :param prefills: number of prefill engines
    :param decodes: number of decode engines
    :param prefill: prefill demand in engine-seconds per second
    :param decode: decode demand in engine-seconds per second
    """
    decode_room = decodes * settings.max_decode_utilization
    idle = max(0.0, decode_room - decode)
    if decode > decode_room:
        prefill *= (decode_room / decode) ** settings.prompt_loss_exponent
        decode = decode_room
    prefill_room = prefills * settings.max_prefill_utilization
    prefill_room += idle * settings.prefill_on_decode
    served = min(prefill, prefill_room) * settings.prefill_tokens_s
    return served + decode * settings.decode_tokens_s


class Planner:
    """Decides on role changes of one pool.

    :meth:`observe` and :meth:`plan` are each to be called about once a
    second.  The planner checks no lease: the caller of :meth:`plan` must
    hold the pool's lease, and carries the change out.

    :ivar reason: why the latest :meth:`plan` returned a change or None
    """

    def __init__(self, settings=DEFAULT_SETTINGS):
        self.settings = settings
        self.prefill = forecast.Series(
            settings.time_constant_s, settings.overlap
        )
        self.decode = forecast.Series(
            settings.time_constant_s, settings.overlap
        )
        self.demand = None
        self.changed_at_s = {}
        self.roles = {}
        self.reason = 'no demand sample yet'
        self.seasonal = forecast.SeasonalForecast()
        self.forecast_errors = forecast.ForecastErrors(
            settings.error_time_constant_s
        )
        self.forecast_recorded_s = -math.inf
        self.first_sample_s = None

    def observe(self, demand, now_s):
        """Add a sample of the pool's demand.

        :param demand: object with the attributes `prefill_s_per_s`,
            `decode_s_per_s`, `queued_prefill_s` and `queued_decode_s`
        """
        self.demand = demand
        if self.first_sample_s is None:
            self.first_sample_s = now_s
        if now_s < self.first_sample_s + self.settings.ramp_s:
            # A node that has just started measures a demand that rises from
            # zero.  Forecast as a trend, that rise would cause needless
            # changes; counted as a forecast error, it would suppress changes
            # for a minute.
            return
        last_s = self.prefill.at_s
        if last_s is not None and now_s - last_s < self.settings.sample_s:
            return
        self.prefill.add(demand.prefill_s_per_s, now_s)
        self.decode.add(demand.decode_s_per_s, now_s)
        self.seasonal.add(demand.prefill_s_per_s, demand.decode_s_per_s, now_s)
        self._record_errors(now_s)

    def _is_warming_up(self, now_s):
        settings = self.settings
        warmed_up_s = (
            self.first_sample_s + settings.ramp_s + settings.warm_up_s
        )
        return now_s < warmed_up_s

    def plan(self, state, now_s):
        """Choose the role change to make now, if any.

        :param state: the pool as a :class:`PoolState`
        :returns: a :class:`RoleChange` or None; sets `reason`
        """
        self._record_roles(state, now_s)
        self.reason = self._blocked_reason(state, now_s)
        if self.reason:
            return None
        engines = {
            role: self._candidate(state, role, now_s)
            for role in (PREFILL, DECODE)
        }
        if not any(engines.values()):
            self.reason = 'no engine may change: role minimum or dwell time'
            return None
        missing = _role_under_minimum(state)
        if engines.get(missing):
            # Engines of this role crashed or left.  A pool without any
            # engine in a role can't serve part of its requests, so the
            # change is made whatever gain the forecast gives.
            self.reason = f'fewer {missing} engines than the minimum'
            return RoleChange(engines[missing].name, missing)
        best = None
        for role, gain in self._gains(state).items():
            engine = engines[role]
            if engine is None:
                continue
            net = (
                gain - engine.cached_tokens * self.settings.cache_reread_share
            )
            if best is None or net > best.gain_tokens:
                best = RoleChange(engine.name, role, net)
        if best.gain_tokens <= 0:
            self.reason = 'no change pays for itself'
            return None
        self.reason = f'gain of {best.gain_tokens:.0f} tokens'
        return best

    def _record_roles(self, state, now_s):
        for engine in state.engines:
            known = self.roles.get(engine.name)
            if known is not None and known != engine.role:
                self.changed_at_s[engine.name] = now_s
            self.roles[engine.name] = engine.role

    def _blocked_reason(self, state, now_s):
        """Return why no change may be made now, or ''."""
        if state.planning != AUTO:
            return 'planning is off in the table'
        if self.demand is None:
            return 'no demand sample yet'
        if self._is_warming_up(now_s):
            return 'the demand has been sampled for too short a time'
        if now_s - self.prefill.at_s > self.settings.max_report_age_s:
            return 'there is no recent demand sample'
        if any(engine.state == 'changing' for engine in state.engines):
            return 'an engine is changing its role'
        ready = [each for each in state.engines if each.state in READY]
        oldest_s = min((each.reported_at_s for each in ready), default=-1e9)
        if now_s - oldest_s > self.settings.max_report_age_s:
            # An engine without a recent report may have crashed or changed
            # its role, so the split may be miscounted and change after
            # change would be made on stale reports.  Waiting is safe, since
            # routing adapts without role changes.
            return 'an engine has not reported recently'
        return ''

    def _candidate(self, state, role, now_s):
        """Return the least loaded engine that may change to `role`, or None.

        None if the other role would fall below its minimum, or if all its
        engines changed within the dwell time.
        """
        minimum = state.min_prefill if role == DECODE else state.min_decode
        others = [
            engine
            for engine in state.engines
            if engine.state in READY and engine.role != role
        ]
        if len(others) <= minimum:
            return None
        free = [
            engine
            for engine in others
            if now_s - self.changed_at_s.get(engine.name, -math.inf)
            >= state.dwell_s
        ]
        return min(free, key=lambda engine: engine.load, default=None)

    def _gains(self, state):
        """Return the tokens gained if a role changes now rather than later.

        :returns: by role to change to, the gain in tokens, as the weighted
            mean over the sigma points of the forecast error
        """
        before = _split(state)
        cells = self._forecast()
        errors = self._errors(len(cells))
        needs = self._add_backlog(cells)
        found = {PREFILL: [], DECODE: []}
        for shift in SIGMA_POINTS:
            shifted = [
                (
                    max(0.0, need[0] + shift[0] * error[0]),
                    max(0.0, need[1] + shift[1] * error[1]),
                )
                for need, error in zip(needs, errors, strict=True)
            ]
            change_plan = _ChangePlan(self.settings, before, shifted, state)
            for role, gains in found.items():
                gains.append(change_plan.gain(role))
            if max(gains[0] for gains in found.values()) <= 0:
                # A change without a gain under the plain forecast is never
                # made, so the other sigma points, which are most of the
                # computation, are skipped.
                return {role: gains[0] for role, gains in found.items()}
        return {role: _weighted_mean(gains) for role, gains in found.items()}

    def _forecast(self):
        """Return the forecast (prefill, decode) demand for each time step."""
        settings = self.settings
        prefill = self.prefill.forecast()
        decode = self.decode.forecast()
        levels = prefill.level, decode.level
        now = self.seasonal.expected_at(0.0)
        cells = []
        for number in range(round(settings.horizon_s / settings.cell_s)):
            ahead_s = (number + 0.5) * settings.cell_s
            plain = (
                prefill.at(ahead_s, settings.trend_s),
                decode.at(ahead_s, settings.trend_s),
            )
            cells.append(self._seasonal(plain, levels, now, ahead_s))
        return cells

    def _errors(self, count):
        """Return the standard errors of the forecast for each time step."""
        least = self.prefill.forecast().error, self.decode.forecast().error
        cell_s = self.settings.cell_s
        share = self.settings.error_share
        return [
            [
                share * each
                for each in self.forecast_errors.errors(ahead_s, least)
            ]
            for ahead_s in ((n + 0.5) * cell_s for n in range(count))
        ]

    def _add_backlog(self, cells):
        """Return the demand by time step, with the queued demand added.

        The queued demand is spread over the first ``backlog_s`` seconds.
        """
        backlog_s = self.settings.backlog_s
        first = math.ceil(backlog_s / self.settings.cell_s)
        prefill = self.demand.queued_prefill_s / backlog_s
        decode = self.demand.queued_decode_s / backlog_s
        return [
            (cell[0] + prefill, cell[1] + decode) if number < first else cell
            for number, cell in enumerate(cells)
        ]

    def _record_errors(self, now_s):
        """Update the forecast errors and record the present forecast."""
        levels = self.prefill.forecast().level, self.decode.forecast().level
        self.forecast_errors.observe(levels, now_s)
        if self._is_warming_up(now_s):
            return
        if now_s < self.forecast_recorded_s + self.settings.cell_s:
            return
        self.forecast_recorded_s = now_s
        cells = self._forecast()
        for number in ERROR_CELLS:
            if number < len(cells):
                lead_s = (number + 0.5) * self.settings.cell_s
                self.forecast_errors.record_forecast(
                    lead_s, now_s + lead_s, cells[number]
                )

    def _seasonal(self, plain, levels, now, ahead_s):
        """Return the forecast blended with the mean of past cycles.

        :param plain: (prefill, decode) demand by extrapolated trend
        :param levels: present (prefill, decode) demand
        :param now: seasonal forecast for the present, or None
        :param ahead_s: time from now to the moment forecast, in seconds
        """
        then = self.seasonal.expected_at(ahead_s)
        if now is None or then is None:
            return plain
        weight = self.seasonal.weight * self.settings.seasonal_share
        carried = self.settings.seasonal_carry
        return tuple(
            (1 - weight) * plain[i]
            + weight * (then[i] + carried * (levels[i] - now[i]))
            for i in (0, 1)
        )


class _ChangePlan:
    """The best sequence of role changes over a forecast.

    It is found by dynamic programming.  As the sequence may hold further
    changes, a change that would soon have to be undone does not gain its
    price, and a change that gains more later is postponed.

    :param before: numbers of (prefill, decode) engines now
    :param cells: (prefill, decode) demand in each time step of the horizon
    """

    def __init__(self, settings, before, cells, state):
        self.settings = settings
        self.before = before
        self.total = sum(before)
        self.cells = cells
        self.price = state.price_tokens
        self.outage_cells = max(
            1, round(settings.role_change_downtime_s / settings.cell_s)
        )
        low = max(state.min_prefill, before[0] - MAX_STEPS)
        high = min(self.total - state.min_decode, before[0] + MAX_STEPS)
        self.splits = range(low, high + 1)
        self._served = [{} for _ in cells]
        self._best = self._solve()

    def gain(self, role):
        """Return the tokens gained if a role changes now rather than later.

        The gain is relative to the best sequence of changes that has none in
        the first time step.

        :param role: role that one engine would change to
        """
        start = self.before[0]
        after = start + (1 if role == PREFILL else -1)
        if start not in self.splits or after not in self.splits:
            return 0.0
        tokens_without_change = self._tokens(0, start, self.total - start)
        tokens_without_change += self._best[1][start]
        return self._change(0, start, after) - tokens_without_change

    def _tokens(self, cell, prefills, decodes):
        key = prefills, decodes
        known = self._served[cell].get(key)
        if known is None:
            known = self.settings.cell_s * served_tokens_s(
                self.settings, prefills, decodes, *self.cells[cell]
            )
            self._served[cell][key] = known
        return known

    def _change(self, cell, start, after):
        """Return the tokens served from a time step to the end of the horizon.

        The role change begins in that time step.

        :param start: prefill engines before the change
        :param after: prefill engines after the change
        """
        end = min(cell + self.outage_cells, len(self.cells))
        prefills = min(start, after)
        decodes = self.total - max(start, after)
        total = self._best[end][after] - self.price
        for later_cell in range(cell, end):
            total += self._tokens(later_cell, prefills, decodes)
        return total

    def _solve(self):
        count = len(self.cells)
        self._best = [dict.fromkeys(self.splits, 0.0)] * (count + 1)
        for cell in range(count - 1, 0, -1):
            best = {}
            for start in self.splits:
                tokens_without_change = self._tokens(
                    cell, start, self.total - start
                )
                options = [tokens_without_change + self._best[cell + 1][start]]
                for after in (start - 1, start + 1):
                    if after in self.splits:
                        options.append(self._change(cell, start, after))
                best[start] = max(options)
            self._best[cell] = best
        return self._best


def _split(state):
    ready = [each for each in state.engines if each.state in READY]
    prefills = sum(each.role == PREFILL for each in ready)
    return prefills, len(ready) - prefills


def _role_under_minimum(state):
    """Return the role with fewer engines than its minimum, or None."""
    prefills, decodes = _split(state)
    if prefills < state.min_prefill:
        return PREFILL
    return DECODE if decodes < state.min_decode else None


def _weighted_mean(gains):
    """Return the weighted mean over the sigma points."""
    pairs = zip(SIGMA_WEIGHTS, gains, strict=True)
    return sum(weight * gain for weight, gain in pairs)
