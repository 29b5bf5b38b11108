"""How many engines read prompts, and how many answer.

The load that this answers: the mix of long prompts and long answers shifts
within seconds, in waves of many seconds.  A change of stage takes an engine
away for seconds and is paid for, so it has to pay within the time in which it
can't be taken back, also for what is lost meanwhile.

The plan forecasts: it takes the last seconds' load for that of the next ones,
and compares what part of it the engines would serve in each split that the
changes allowed now can reach.
"""

import collections
import dataclasses
import math
from typing import NamedTuple

__all__ = ['Change', 'Fleet', 'Load', 'StagePlan', 'StagePlanSettings']


class StagePlanSettings(NamedTuple):
    """Constants of the plan.

    :param memory_s: the load of this long is taken for that of the next
        seconds; longer than a swing, so that a lull between two of them
        moves nothing
    :param gain: part of the load that has to be served more
    :param headroom: times the present load, with the power to spare, that
        can be served from which on nothing is prepared any more
    :param headroom_gain: factor by which a change that costs nothing now has
        to raise that
    :param pause_s: least time between two changes in opposite directions,
        within which a change has to pay
    :param most_changing: share of the engines that change at one time
    :param reading_margin: reading power to spare, in square roots of what
        is asked: what comes at random swings by so much, so few engines
        need a larger part to spare than many
    :param moving_share: part of their time in which engines can take over
        what others have read before prompts wait for each other
    :param slots_share: the same of the slots for long answers
    """

    memory_s: float = 6.0
    gain: float = 0.04
    headroom: float = 1.2
    headroom_gain: float = 1.1
    pause_s: float = 12.0
    max_changing_share: float = 0.2
    prefill_margin: float = 1.5
    transfer_share: float = 0.6
    slots_share: float = 0.88


class Load(NamedTuple):
    """What is asked of the engines of a service.

    :param reading: engines that reading the prompts would fill
    :param moving: engines that taking over what others read would fill
    :param slots: engines whose slots the long answers fill
    :param beside: engines' worth of reading that those that answer can do
    :param occupied: engines that give long answers, and read nothing beside
    """

    prefilling: float
    transferring: float
    slots: float
    prefill_on_decode: float = 0.0
    occupied: int = 0


class Fleet(NamedTuple):
    """The engines of a service by what they do.

    :param reading: engines that read
    :param answering: engines that answer
    :param changing: engines that are changing already
    :param to_answering: those of them that will answer
    :param change_s: how long a change takes an engine away
    """

    prefilling: int
    decoding: int
    changing: int = 0
    to_decode: int = 0
    change_s: float = 3.0

    @property
    def total(self) -> int:
        """All engines."""
        return self.prefilling + self.decoding + self.changing


class Change(NamedTuple):
    """Move engines; True to read prompts, False to answer."""

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
        """Take a measurement."""
        # Only what is read is answered: with more readers there would be
        # more answers, too.
        read = self._prefill_ratio(
            load, fleet.prefilling, load.prefill_on_decode
        )
        read = min(1.0, max(read, self.settings.gain))
        slots_demand = load.slots / read
        self.samples.append(_Sample(now_s, load, slots_demand))
        while now_s - self.samples[0].at_s > self.settings.memory_s:
            self.samples.popleft()

    def decide(self, fleet: Fleet, now_s: float) -> Change | None:
        """Whether engines should change their stage now, and how many."""
        change = self._choose_change(fleet)
        if change is None:
            return None
        # Below the least number that answers nobody waits for a reversal:
        # the only engine left would answer for all that the others read.
        least = min_decoding(fleet.total)
        decoding = fleet.decoding + fleet.to_decode
        short = decoding < least and not change.to_prefill
        if not short and self._is_reversal(change, now_s):
            return None
        self.last = change
        self.last_s = now_s
        return change

    def _choose_change(self, fleet: Fleet) -> Change | None:
        if fleet.decoding + fleet.to_decode < 1:
            # Engines that answer also read, those that read can't answer.
            # While none answers nothing is served, whatever the load: also
            # where a single engine is left, or the others are changing.
            return Change(False) if fleet.prefilling else None
        least = min_decoding(fleet.total)
        decoding = fleet.decoding + fleet.to_decode
        if decoding < least and fleet.prefilling > decoding:
            # Also beside an engine that changes to reading: the only one
            # left answers for all, and nobody does while it is down.
            return Change(False)
        most = max(1, int(fleet.total * self.settings.max_changing_share))
        most -= fleet.changing
        if most < 1:
            return None
        return self._best_change(fleet, most, least)

    def _best_change(
        self, fleet: Fleet, most: int, least: int
    ) -> Change | None:
        """The change that serves the most, if it gains enough."""
        if not self.samples:
            return None
        best = None
        best_served = self._served_with(fleet, 0) + self.settings.gain
        to_prefill = min(most, fleet.decoding - least)
        to_decode = min(most, fleet.prefilling - 1)
        for moved in _steps(-to_decode, to_prefill):
            expected = self._served_with(fleet, moved)
            if expected > best_served:
                best_served = expected
                best = Change(moved > 0, abs(moved))
        return best or self._prepare_for_burst(fleet, to_decode, to_prefill)

    def _prepare_for_burst(
        self, fleet: Fleet, to_decode: int, to_prefill: int
    ) -> Change | None:
        """The change that leaves most room for a rush, while it costs nothing.

        A rush is over before a change that it calls for has paid.  In the
        calm before it engines are spared for some seconds.
        """
        served = self._served_with(fleet, 0)
        present = self._headroom(fleet, 0)
        enough = self.settings.headroom
        if present >= enough:
            return None
        best = None
        most = present * self.settings.headroom_gain
        for moved in _steps(-to_decode, to_prefill):
            if self._served_with(fleet, moved) < served:
                continue
            headroom = min(self._headroom(fleet, moved), enough)
            if headroom > most:
                most = headroom
                best = Change(moved > 0, abs(moved))
        return best

    def _headroom(self, fleet: Fleet, moved: int) -> float:
        """Times the load that could be served at the worst moment.

        Engines that answer don't count for what they read beside: in a rush
        the answers keep them from it.
        """
        prefilling, decoding = self._split_after(fleet, moved)
        alone = fleet._replace(decoding=0)
        return min(
            min(self._ratios(sample, alone, prefilling, decoding))
            for sample in self.samples
        )

    def _served_with(self, fleet: Fleet, moved: int) -> float:
        """Part of the load that is served until a change may be reversed.

        :param moved: engines that would come to read; below 0, to answer
        """
        away = self._served(
            fleet,
            fleet.prefilling + min(moved, 0),
            fleet.decoding - max(moved, 0),
        )
        after = self._served(fleet, *self._split_after(fleet, moved))
        lost = min(1.0, fleet.change_s / self.settings.pause_s)
        return lost * away + (1 - lost) * after

    def _split_after(self, fleet: Fleet, moved: int) -> tuple[int, int]:
        """Engines that read and that answer once all changes are over."""
        coming = fleet.changing - fleet.to_decode
        return (
            fleet.prefilling + coming + moved,
            fleet.decoding + fleet.to_decode - moved,
        )

    def _served(self, fleet: Fleet, prefilling: int, decoding: int) -> float:
        """Part of the load that is served by a split, over the samples.

        Taken moment by moment: prompts and answers have their peaks at
        different times, and engines enough for both never happen at once.
        """
        shares = [
            min(1.0, *self._ratios(sample, fleet, prefilling, decoding))
            for sample in self.samples
        ]
        return sum(shares) / len(shares)

    def _ratios(
        self, sample: _Sample, fleet: Fleet, prefilling: int, decoding: int
    ) -> tuple[float, float, float]:
        """What could be read, taken over and answered, over what is asked."""
        load = sample.load
        free = max(0, fleet.decoding - load.occupied)
        left = max(0, decoding - load.occupied)
        prefill_on_decode = (
            load.prefill_on_decode * left / free if free else 0.0
        )
        settings = self.settings
        return (
            self._prefill_ratio(load, prefilling, prefill_on_decode),
            _ratio(decoding * settings.transfer_share, load.transferring),
            _ratio(decoding * settings.slots_share, sample.slots_demand),
        )

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
    """Engines that always answer.

    Two where there are enough: nobody could answer while the only one is
    down.
    """
    return 2 if total >= 4 else 1


def _ratio(power: float, asked: float) -> float:
    return power / asked if asked > 0 else math.inf


def _steps(least: int, most: int) -> list[int]:
    """Numbers of engines to compare, few in a large fleet.

    Each engine up to some, then in growing steps; the ends are among them.
    """
    found = []
    for bound, sign in ((most, 1), (-least, -1)):
        moved = 1
        while moved < bound:
            found.append(sign * moved)
            moved += math.ceil(moved / 8)
        if bound > 0:
            found.append(sign * bound)
    return found
