"""Plan which engines of a pool prefill and which decode.

The planner forecasts the demand for prefill and for decode, values each
split of the pool by the tokens that it is expected to serve over a horizon,
and changes one engine at a time, when the gain pays for the seconds that the
engine is away, the prefix cache that it loses and the price that the table
puts on a change.
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
#: Cells of the horizon whose forecasts are compared with what came.
ERROR_CELLS = (0, 2, 5, 9, 14)
#: Changes that a course may be away from the present split.
MAX_STEPS = 3

#: Sigma points of the error in the mix, in standard deviations of prefill
#: and decode, and their weights.  When the mix turns out otherwise, one
#: demand is higher and the other lower.
SIGMA_DISTANCE = math.sqrt(3.0)
SIGMA_POINTS = (
    (0, 0),
    (SIGMA_DISTANCE, -SIGMA_DISTANCE),
    (-SIGMA_DISTANCE, SIGMA_DISTANCE),
)
SIGMA_WEIGHTS = (2 / 3, 1 / 6, 1 / 6)


@dataclasses.dataclass(frozen=True, slots=True)
class RoleChange:
    """Give an engine another role.

    :param gain_tokens: what the change is expected to bring, net
    """

    endpoint: str
    role: str
    gain_tokens: float = 0.0


class EngineView(NamedTuple):
    """What is believed of an engine.

    :param state: 'in' (or 'up') when it takes work, else it is away
    :param load: work in flight, in any unit; the least loaded is changed
    :param reported_at_s: when its newest load report was true
    :param cached_tokens: prompt tokens in its prefix cache, if known
    """

    name: str
    role: str
    state: str = 'in'
    load: float = 0.0
    reported_at_s: float = 0.0
    cached_tokens: float = 0.0


class PoolState(NamedTuple):
    """A pool and the cells of its row in the table.

    :param price_tokens: cell `role_change_price`
    """

    engines: tuple
    price_tokens: float = 500.0
    min_prefill: int = 1
    min_decode: int = 1
    dwell_s: float = 10.0
    planning: str = AUTO


class PlannerSettings(NamedTuple):
    """Constants of a planner.

    :param sample_s: least time between two samples of the demand
    :param memory_s: time constant with which samples are forgotten
    :param overlap: samples that share arrivals, as the demand is a mean
        over some seconds
    :param trend_s: time constant with which a trend is taken to fade
    :param horizon_s: how far the gain of a change is counted
    :param cell_s: step in which the horizon is planned
    :param outage_s: time that a change takes an engine away, drain included
    :param fresh_s: reports older than this are no ground for a change
    :param usable_prefill: share of a prefill engine's time that can be sold
        before queueing breaks the objectives, by the costs that are fitted
    :param usable_decode: likewise of a decode engine's
    :param rhythm_share: most weight of a rhythm in the forecast
    :param rhythm_carry: part of the present deviation from the rhythm that
        is taken to last
    :param prefill_on_decode: prefill rate of a decode engine's idle time
    :param prompt_loss: power of the served share of decode by which prompts
        are lost
    :param prefill_tokens_s: prompt tokens of an engine-second
    :param decode_tokens_s: output tokens of an engine-second
    :param band_memory_s: time constant with which the forecast's errors
        are forgotten
    :param ramp_s: time at first whose samples are left out
    :param warm_up_s: time after it that samples are only gathered
    :param band_share: part of the measured errors that is reckoned with
    :param backlog_s: time in which a backlog is wanted gone
    :param cache_worth: share of a lost cache that has to be read again
    """

    sample_s: float = 1.0
    memory_s: float = 12.0
    overlap: float = 4.0
    trend_s: float = 20.0
    horizon_s: float = 60.0
    cell_s: float = 4.0
    outage_s: float = 7.0
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
    error_memory_s: float = 60.0
    error_share: float = 0.8
    ramp_s: float = 6.0
    warm_up_s: float = 8.0
    cache_reread_share: float = 0.1


DEFAULT_SETTINGS = PlannerSettings()


def served_tokens_s(settings, prefills, decodes, prefill, decode):
    """Tokens a second that a split is expected to serve.

    Every request needs a stream, so too few decoding engines turn away all
    kinds of requests, and long prompts first, since their first tokens are
    the first to be late; too few prefilling engines turn away prompts only.

    :param prefills: engines that prefill
    :param decodes: engines that decode
    :param prefill: demand in engine-seconds a second
    :param decode: likewise
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

    Feed it with :meth:`observe` about every second and ask it with
    :meth:`plan` as often.  It holds no authority: whoever asks has to own
    the pool's lease, and carries the change out.
    """

    def __init__(self, settings=DEFAULT_SETTINGS):
        self.settings = settings
        self.prefill = forecast.Series(settings.memory_s, settings.overlap)
        self.decode = forecast.Series(settings.memory_s, settings.overlap)
        self.demand = None
        self.changed_at_s = {}
        self.roles = {}
        self.reason = 'no demand seen yet'
        self.seasonal = forecast.SeasonalForecast()
        self.forecast_errors = forecast.ForecastErrors(settings.error_memory_s)
        self.forecast_recorded_s = -math.inf
        self.first_sample_s = None

    def observe(self, demand, now_s):
        """Take a sample of the pool's demand.

        :param demand: with `prefill_s_per_s`, `decode_s_per_s`,
            `queued_prefill_s` and `queued_decode_s`
        """
        self.demand = demand
        if self.first_sample_s is None:
            self.first_sample_s = now_s
        if now_s < self.first_sample_s + self.settings.ramp_s:
            # A node that has just started measures a demand that rises from
            # nothing; taken for a trend it leads to changes and, as an
            # error of the forecast, keeps later ones away for a minute.
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
        """Choose a change, or none.

        :param state: the pool as a :class:`PoolState`
        :returns: a :class:`RoleChange` or None; `reason` says why
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
            self.reason = 'no engine may change: minimum or dwell'
            return None
        missing = _role_under_minimum(state)
        if engines.get(missing):
            # Its engines crashed or left: without any of the role, part of
            # the work stands still, whatever the forecast says of prices.
            self.reason = f'fewer than the least number of {missing} engines'
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
        """Why no change may be made now, or ''."""
        if state.planning != AUTO:
            return 'planning is off in the table'
        if self.demand is None:
            return 'no demand seen yet'
        if self._is_warming_up(now_s):
            return 'the demand is not known for long enough'
        if now_s - self.prefill.at_s > self.settings.max_report_age_s:
            return 'the demand is not known of late'
        if any(engine.state == 'changing' for engine in state.engines):
            return 'an engine is changing'
        ready = [each for each in state.engines if each.state in READY]
        oldest_s = min((each.reported_at_s for each in ready), default=-1e9)
        if now_s - oldest_s > self.settings.max_report_age_s:
            # Planning in the blind: an engine that is silent may have
            # crashed or changed, so a split counted with it is wrong, and
            # one change after the other would be made on old news.  Waiting
            # is safe, since routing adapts without role changes.
            return 'an engine has not reported of late'
        return ''

    def _candidate(self, state, role, now_s):
        """The engine that would take `role`, the cheapest first."""
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
        """Tokens that each change now gains over waiting a cell.

        :returns: by role, the mean over the errors that the forecast may have
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
                # What does not pay if the forecast holds is not made, so
                # the errors, most of the work, need no look.
                return {role: gains[0] for role, gains in found.items()}
        return {role: _mean(gains) for role, gains in found.items()}

    def _forecast(self):
        """Demand in each cell of the horizon."""
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
        """Standard errors of the forecast in each cell."""
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
        """Add what waits now to the demand of the first cells."""
        backlog_s = self.settings.backlog_s
        first = math.ceil(backlog_s / self.settings.cell_s)
        prefill = self.demand.queued_prefill_s / backlog_s
        decode = self.demand.queued_decode_s / backlog_s
        return [
            (cell[0] + prefill, cell[1] + decode) if number < first else cell
            for number, cell in enumerate(cells)
        ]

    def _record_errors(self, now_s):
        """Compare forecasts with what came, and note new ones."""
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
        """Mix the plain forecast with what past cycles brought."""
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
    """The best course of changes over a forecast, by dynamic programming.

    As it may change again later, a change that would have to be undone soon
    is not worth its price, and one that is better made later waits.

    :param before: (prefilling, decoding) engines now
    :param cells: (prefill, decode) demand in each cell
    """

    def __init__(self, settings, before, cells, state):
        self.settings = settings
        self.before = before
        self.total = sum(before)
        self.cells = cells
        self.price = state.price_tokens
        self.away = max(1, round(settings.outage_s / settings.cell_s))
        low = max(state.min_prefill, before[0] - MAX_STEPS)
        high = min(self.total - state.min_decode, before[0] + MAX_STEPS)
        self.splits = range(low, high + 1)
        self._served = [{} for _ in cells]
        self._best = self._solve()

    def gain(self, role):
        """Tokens gained by changing now rather than in a cell or later."""
        start = self.before[0]
        after = start + (1 if role == PREFILL else -1)
        if start not in self.splits or after not in self.splits:
            return 0.0
        stay = self._tokens(0, start, self.total - start)
        stay += self._best[1][start]
        return self._change(0, start, after) - stay

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
        """Tokens from a cell on if a change begins in it."""
        end = min(cell + self.away, len(self.cells))
        prefills = min(start, after)
        decodes = self.total - max(start, after)
        total = self._best[end][after] - self.price
        for away in range(cell, end):
            total += self._tokens(away, prefills, decodes)
        return total

    def _solve(self):
        count = len(self.cells)
        self._best = [dict.fromkeys(self.splits, 0.0)] * (count + 1)
        for cell in range(count - 1, 0, -1):
            best = {}
            for start in self.splits:
                stay = self._tokens(cell, start, self.total - start)
                options = [stay + self._best[cell + 1][start]]
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
    """The role that has too few engines, or None."""
    prefills, decodes = _split(state)
    if prefills < state.min_prefill:
        return PREFILL
    return DECODE if decodes < state.min_decode else None


def _mean(gains):
    """The mean over the sigma points."""
    pairs = zip(SIGMA_WEIGHTS, gains, strict=True)
    return sum(weight * gain for weight, gain in pairs)
