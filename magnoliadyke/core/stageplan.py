"""Plan how many engines of a service prefill and how many decode.

The mix of long prompts and long answers shifts within seconds, in waves of
many seconds.  A change of stage makes an engine unavailable for seconds, so
its gain has to exceed that loss within the time in which the change can't be
reversed.

The plan takes the load of the last seconds as the forecast for the next ones
and compares the share of it that the engines would serve in each split
within reach of the changes allowed now.
"""

import collections
import dataclasses
import math
from typing import NamedTuple

from magnoliadyke.core import catalog

__all__ = [
    'Change',
    'Fleet',
    'Load',
    'StagePlan',
    'StagePlanSettings',
    'prefer_by_version',
]


class StagePlanSettings(NamedTuple):
    """Constants of the plan.

    :param forecast_window_s: length, in seconds, of the window of past load
        that serves as the forecast; longer than one swing of the load, so that
        a lull between two swings causes no change
    :param gain: smallest increase of the served share of the load that
        justifies a change
    :param headroom: multiple of the present load, prefill margin included,
        from which on no spare capacity is prepared
    :param headroom_gain: factor by which a change that reduces no service
        now has to raise that multiple
    :param pause_s: shortest time between two changes in opposite directions,
        in seconds, within which a change has to gain more than it costs
    :param max_changing_share: share of the engines that may change at one
        time
    :param prefill_margin: spare prefill capacity, in square roots of the
        prefill demand: random arrivals vary by that much, so few engines
        need a larger spare share than many
    :param transfer_share: utilization by KV cache transfers up to which
        prompts don't queue for a decode engine
    :param slots_share: utilization of the slots for long answers up to
        which answers don't queue
    """

    forecast_window_s: float = 6.0
    gain: float = 0.04
    headroom: float = 1.2
    headroom_gain: float = 1.1
    pause_s: float = 12.0
    max_changing_share: float = 0.2
    prefill_margin: float = 1.5
    transfer_share: float = 0.6
    slots_share: float = 0.88


class Load(NamedTuple):
    """The demand on the engines of a service, in engines.

    :param prefilling: prefill engines that the prompts would keep busy
    :param transferring: decode engines that the KV cache transfers from
        prefill engines would keep busy
    :param slots: decode engines whose slots the long answers fill
    :param prefill_on_decode: prefill capacity of the decode engines, in
        prefill engines
    :param occupied: decode engines that run long answers and so do no
        prefill
    :param requests_s: requests for decode engines per second
    :param prompt_s: prefill time of a prompt, in seconds
    """

    prefilling: float
    transferring: float
    slots: float
    prefill_on_decode: float = 0.0
    occupied: int = 0
    requests_s: float = 0.0
    prompt_s: float = 0.0


class Fleet(NamedTuple):
    """Numbers of engines of a service, by stage.

    :param prefilling: engines in the prefill stage
    :param decoding: engines in the decode stage
    :param changing: engines that are changing their stage
    :param to_decode: those of the changing engines that change to decode
    :param change_s: time for which a change makes an engine unavailable, in
        seconds
    :param prefill_limits_s: rate limits of those of the prefill engines that
        have one, in requests per second
    :param decode_limits_s: the same of the decode engines
    """

    prefilling: int
    decoding: int
    changing: int = 0
    to_decode: int = 0
    change_s: float = 3.0
    prefill_limits_s: tuple[float, ...] = ()
    decode_limits_s: tuple[float, ...] = ()

    def with_limits_of(self, moved: int, is_done: bool) -> 'Fleet':
        """Return the fleet with the limits that are left by a change.

        Each prompt is a request to a decode engine, so the decode engines
        with the lowest limits change to prefill first, and the prefill
        engines without a limit to decode.

        :param moved: engines that change to prefill; negative, to decode
        :param is_done: whether the change is over; until then the engines
            serve neither stage
        """
        prefill = sorted(self.prefill_limits_s)
        decode = sorted(self.decode_limits_s)
        if moved >= 0:
            changed, decode = decode[:moved], decode[moved:]
            prefill += changed if is_done else []
        else:
            unlimited = self.prefilling - len(prefill)
            kept = len(prefill) - max(0, -moved - unlimited)
            prefill, changed = prefill[:kept], prefill[kept:]
            decode += changed if is_done else []
        return self._replace(
            prefill_limits_s=tuple(prefill), decode_limits_s=tuple(decode)
        )

    @property
    def total(self) -> int:
        """The number of all engines."""
        return self.prefilling + self.decoding + self.changing


class Change(NamedTuple):
    """Order to change the stage of some engines.

    :param to_prefill: True to change to prefill, False to decode
    :param count: number of engines
    """

    to_prefill: bool
    count: int = 1


@dataclasses.dataclass(slots=True)
class _Sample:
    at_s: float
    load: Load
    slots_demand: float


class StagePlan:
    """The plan for one service."""

    def __init__(self, settings: StagePlanSettings | None = None) -> None:
        self.settings = settings or StagePlanSettings()
        self.samples: collections.deque[_Sample] = collections.deque()
        self.last: Change | None = None
        self.last_s = float('-inf')

    def record_load(self, load: Load, fleet: Fleet, now_s: float) -> None:
        """Add a sample of the load.

        :param fleet: engines at the time of the sample
        """
        # Prompts that still wait for prefill occupy no decode slot yet.
        # Dividing by the share of the prefill demand that is served gives
        # the slot demand as if all of it were served.
        prefill_ratio = self._prefill_ratio(
            load, fleet.prefilling, load.prefill_on_decode
        )
        prefill_ratio = min(1.0, max(prefill_ratio, self.settings.gain))
        slots_demand = load.slots / prefill_ratio
        self.samples.append(_Sample(now_s, load, slots_demand))
        while now_s - self.samples[0].at_s > self.settings.forecast_window_s:
            self.samples.popleft()

    def decide(self, fleet: Fleet, now_s: float) -> Change | None:
        """Return the change of stage to make now, or None."""
        change = self._choose_change(fleet)
        if change is None:
            return None
        # Below the minimum of decode engines the pause before a reversal
        # does not apply: a single decode engine would have to serve the
        # prompts of all prefill engines.
        minimum = min_decoding(fleet.total)
        decoding = fleet.decoding + fleet.to_decode
        short = decoding < minimum and not change.to_prefill
        if not short and self._is_reversal(change, now_s):
            return None
        self.last = change
        self.last_s = now_s
        return change

    def _choose_change(self, fleet: Fleet) -> Change | None:
        if fleet.decoding + fleet.to_decode < 1:
            # Decode engines can prefill, but prefill engines can't decode.
            # Without a decode engine no request is served, so an engine
            # changes whatever the load, even if it is the only one left or
            # all others are changing.
            return Change(False) if fleet.prefilling else None
        minimum = min_decoding(fleet.total)
        decoding = fleet.decoding + fleet.to_decode
        if decoding < minimum and fleet.prefilling > decoding:
            # Applies even while another engine changes to prefill: with one
            # decode engine no request is served while that engine is down.
            return Change(False)
        maximum = max(1, int(fleet.total * self.settings.max_changing_share))
        maximum -= fleet.changing
        if maximum < 1:
            return None
        return self._best_change(fleet, maximum, minimum)

    def _best_change(
        self, fleet: Fleet, maximum: int, minimum: int
    ) -> Change | None:
        """Return the change that serves the largest share of the load.

        None if no change gains enough.

        :param maximum: largest number of engines to change
        :param minimum: smallest number of decode engines to keep
        """
        if not self.samples:
            return None
        best = None
        best_served = self._served_with(fleet, 0) + self.settings.gain
        to_prefill = min(maximum, fleet.decoding - minimum)
        to_decode = min(maximum, fleet.prefilling - 1)
        for moved in _steps(-to_decode, to_prefill):
            expected = self._served_with(fleet, moved)
            if expected > best_served:
                best_served = expected
                best = Change(moved > 0, abs(moved))
        return best or self._prepare_for_burst(fleet, to_decode, to_prefill)

    def _prepare_for_burst(
        self, fleet: Fleet, to_decode: int, to_prefill: int
    ) -> Change | None:
        """Return the change that leaves the most headroom for a burst.

        Only changes that reduce no service now are considered.  A burst is
        over before a change made in response to it has gained its cost, so
        capacity is moved in the lull before, when engines can be missed for
        some seconds.

        :param to_decode: largest number of engines to change to decode
        :param to_prefill: largest number of engines to change to prefill
        """
        served = self._served_with(fleet, 0)
        present = self._headroom(fleet, 0)
        enough = self.settings.headroom
        if present >= enough:
            return None
        best = None
        maximum = present * self.settings.headroom_gain
        for moved in _steps(-to_decode, to_prefill):
            if self._served_with(fleet, moved) < served:
                continue
            headroom = min(self._headroom(fleet, moved), enough)
            if headroom > maximum:
                maximum = headroom
                best = Change(moved > 0, abs(moved))
        return best

    def _headroom(self, fleet: Fleet, moved: int) -> float:
        """Return the smallest ratio of capacity to demand in the samples.

        Prefill on decode engines is not counted, since in a burst the
        answers take all their time.

        :param moved: engines that change to prefill; negative, to decode
        """
        prefilling, decoding = self._split_after(fleet, moved)
        prefill_only = fleet.with_limits_of(moved, True)._replace(decoding=0)
        return min(
            min(self._ratios(sample, prefill_only, prefilling, decoding))
            for sample in self.samples
        )

    def _served_with(self, fleet: Fleet, moved: int) -> float:
        """Return the share of the load served until a reversal is allowed.

        :param moved: engines that change to prefill; negative, to decode
        """
        during_change = self._served(
            fleet.with_limits_of(moved, False),
            fleet.prefilling + min(moved, 0),
            fleet.decoding - max(moved, 0),
        )
        after = self._served(
            fleet.with_limits_of(moved, True), *self._split_after(fleet, moved)
        )
        lost = min(1.0, fleet.change_s / self.settings.pause_s)
        return lost * during_change + (1 - lost) * after

    def _split_after(self, fleet: Fleet, moved: int) -> tuple[int, int]:
        """Return the prefill and decode engines after all changes."""
        coming = fleet.changing - fleet.to_decode
        return (
            fleet.prefilling + coming + moved,
            fleet.decoding + fleet.to_decode - moved,
        )

    def _served(self, fleet: Fleet, prefilling: int, decoding: int) -> float:
        """Return the mean share of the load that a split serves.

        The share is computed for each sample, not for the mean load: prompts
        and answers peak at different times, and a split that suits the sum
        of both peaks would be planned for a load that never occurs.
        """
        shares = [
            min(1.0, *self._ratios(sample, fleet, prefilling, decoding))
            for sample in self.samples
        ]
        return sum(shares) / len(shares)

    def _ratios(
        self, sample: _Sample, fleet: Fleet, prefilling: int, decoding: int
    ) -> tuple[float, float, float, float]:
        """Return capacity over demand.

        :returns: the ratios for prefill, transfers, slots and requests
        """
        load = sample.load
        free = max(0, fleet.decoding - load.occupied)
        left = max(0, decoding - load.occupied)
        prefill_on_decode = (
            load.prefill_on_decode * left / free if free else 0.0
        )
        settings = self.settings
        prefilled = prefilling - sum(
            max(0.0, 1 - limit_s * load.prompt_s)
            for limit_s in fleet.prefill_limits_s
        )
        decoded, requests_ratio = self._decoding_within_limits(
            sample, fleet, decoding
        )
        return (
            self._prefill_ratio(load, prefilled, prefill_on_decode),
            _ratio(decoded * settings.transfer_share, load.transferring),
            _ratio(decoded * settings.slots_share, sample.slots_demand),
            requests_ratio,
        )

    def _decoding_within_limits(
        self, sample: _Sample, fleet: Fleet, decoding: int
    ) -> tuple[float, float]:
        """Return what rate limits leave of the decode engines.

        :returns: the engines that do as much as these without limits, and
            the requests that all of them accept over those demanded
        """
        limits_s = fleet.decode_limits_s
        requests_s = sample.load.requests_s
        if not limits_s or requests_s <= 0:
            return decoding, math.inf
        settings = self.settings
        needed = max(
            sample.load.transferring / settings.transfer_share,
            sample.slots_demand / settings.slots_share,
        )
        decoded = decoding - sum(
            max(0.0, 1 - limit_s * needed / requests_s) for limit_s in limits_s
        )
        if decoding > len(limits_s):
            return decoded, math.inf
        return decoded, sum(limits_s) / requests_s

    def _prefill_ratio(
        self, load: Load, prefilling: int, prefill_on_decode: float
    ) -> float:
        margin = self.settings.prefill_margin * math.sqrt(load.prefilling)
        return _ratio(prefilling + prefill_on_decode, load.prefilling + margin)

    def _is_reversal(self, change: Change, now_s: float) -> bool:
        if self.last is None or change.to_prefill is self.last.to_prefill:
            return False
        return now_s - self.last_s < self.settings.pause_s


def min_decoding(total: int) -> int:
    """Return the minimum number of decode engines of a service.

    Two from four engines on: with one, no request is served while it is
    down.

    :param total: number of all engines
    """
    return 2 if total >= 4 else 1


def _ratio(capacity: float, demand: float) -> float:
    return capacity / demand if demand > 0 else math.inf


def _steps(minimum: int, maximum: int) -> list[int]:
    """Return the candidate numbers of engines to move, without 0.

    Small numbers are all included, larger ones in steps that grow with the
    number, so that a large fleet has few candidates.  Both bounds are
    included.
    """
    found = []
    for bound, sign in ((maximum, 1), (-minimum, -1)):
        moved = 1
        while moved < bound:
            found.append(sign * moved)
            moved += math.ceil(moved / 8)
        if bound > 0:
            found.append(sign * bound)
    return found


def prefer_by_version(
    candidates: list[catalog.Endpoint],
    decoding: list[catalog.Endpoint],
    to_prefill: bool,
) -> list[catalog.Endpoint]:
    """Return the engines to change so that each version can be decoded.

    A stream goes on only at an engine of the software version that began it.

    :param candidates: engines that may be ordered to change their stage, the
        preferred ones first
    :param decoding: engines in the decode stage
    :param to_prefill: whether the change is from decode to prefill
    :returns: those whose change serves that best; all, if none does
    """
    decoding_by_version = collections.Counter(e.version for e in decoding)
    if len({each.version for each in (*candidates, *decoding)}) < 2:
        return candidates
    if not to_prefill:
        return [
            each
            for each in candidates
            if not decoding_by_version[each.version]
        ] or candidates
    spared = []
    for each in candidates:
        if decoding_by_version[each.version] > 1:
            decoding_by_version[each.version] -= 1
            spared.append(each)
    return spared or candidates
