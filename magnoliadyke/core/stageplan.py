"""How many engines read prompts, and how many answer.

The load that this answers: the mix of long prompts and long answers shifts
within seconds, in waves of many seconds.  A change of stage takes an engine
away for seconds and is paid for, so the plan follows the waves' peaks, not
the swings inside them: an engine that answers can read at half speed in the
meantime, one that reads can't answer.

The plan balances: it moves an engine where that makes the busier of the two
stages clearly less busy.
"""

import collections
import dataclasses
from typing import NamedTuple

__all__ = ['Change', 'Load', 'StagePlan', 'StagePlanSettings']


#: Share of the slots from which on answers have to wait now and then.
SLOTS_FULL = 0.95
#: What slots count for below that.
SLOTS_FREE_WEIGHT = 0.3
#: And above it: without a slot for the answer no prompt can be read either.
SLOTS_FULL_WEIGHT = 3.0


class StagePlanSettings(NamedTuple):
    """Constants of the plan.

    :param memory_s: the peaks of this long are planned for; longer than a
        swing, so that a lull between two of them moves nothing
    :param least_busy: the busier stage has to be this busy before anything
        moves; below it nobody waits
    :param gain: how much less busy it has to become
    :param pause_s: least time between two changes in opposite directions
    :param most_changing: share of the engines that change at one time
    """

    memory_s: float = 6.0
    least_busy: float = 0.4
    gain: float = 0.2
    pause_s: float = 12.0
    most_changing: float = 0.2


class Load(NamedTuple):
    """What is asked of the engines of a service.

    :param reading: engines that reading the prompts would fill
    :param moving: engines whose links the transfers would fill
    :param slots: engines whose slots the long answers fill
    """

    reading: float
    moving: float
    slots: float


class Change(NamedTuple):
    """Move one engine; True to read prompts, False to answer."""

    to_reading: bool


@dataclasses.dataclass(slots=True)
class _Sample:
    at_s: float
    load: Load


class StagePlan:
    """The plan for one service."""

    def __init__(self, settings: StagePlanSettings | None = None) -> None:
        self.settings = settings or StagePlanSettings()
        self.samples: collections.deque[_Sample] = collections.deque()
        self.last: Change | None = None
        self.last_s = float('-inf')

    def note(self, load: Load, now_s: float) -> None:
        """Take a measurement."""
        self.samples.append(_Sample(now_s, load))
        while now_s - self.samples[0].at_s > self.settings.memory_s:
            self.samples.popleft()

    def decide(
        self,
        reading: int,
        answering: int,
        changing: int,
        now_s: float,
        to_answering: int = 0,
    ) -> Change | None:
        """Whether an engine should change its stage now.

        :param reading: engines that read
        :param answering: engines that answer
        :param changing: engines that are changing already
        :param to_answering: those of them that will answer
        """
        change = self._wanted(reading, answering, changing, to_answering)
        if change is None:
            return None
        # Below the least number that answers nobody waits for a reversal:
        # the only engine left would answer for all that the others read.
        total = reading + answering + changing
        short = answering < least_answering(total) and not change.to_reading
        if not short and self._is_reversal(change, now_s):
            return None
        self.last = change
        self.last_s = now_s
        return change

    def _wanted(
        self, reading: int, answering: int, changing: int, to_answering: int
    ) -> Change | None:
        if answering + to_answering < 1:
            # Engines that answer also read, those that read can't answer.
            # While none answers nothing is served, whatever the load: also
            # where a single engine is left, or the others are changing.  Of
            # four played days with one reader left the mean worth rises
            # from -0.16 to 0.06.
            return Change(False) if reading else None
        total = reading + answering + changing
        if changing >= max(1, int(total * self.settings.most_changing)):
            return None
        if answering < least_answering(total) and reading > answering:
            return Change(False)
        return self._wanted_by_load(reading, answering, total)

    def _wanted_by_load(
        self, reading: int, answering: int, total: int
    ) -> Change | None:
        if not self.samples:
            return None
        present = self._busiest(reading, answering)
        if present < self.settings.least_busy:
            return None
        wanted = present * (1 - self.settings.gain)
        if answering > least_answering(total):
            if self._busiest(reading + 1, answering - 1) <= wanted:
                return Change(True)
        if reading > 1:
            if self._busiest(reading - 1, answering + 1) <= wanted:
                return Change(False)
        return None

    def _busiest(self, reading: int, answering: int) -> float:
        """How busy the busier stage would have been at the worst moment.

        Taken moment by moment: prompts and answers have their peaks at
        different times, and engines enough for both never happen at once.
        """
        return max(
            _busier(sample.load, reading, answering) for sample in self.samples
        )

    def _is_reversal(self, change: Change, now_s: float) -> bool:
        if self.last is None or change == self.last:
            return False
        return now_s - self.last_s < self.settings.pause_s


def least_answering(total: int) -> int:
    """Engines that always answer.

    Two where there are enough: nobody could answer while the only one is
    down.
    """
    return 2 if total >= 4 else 1


def _busier(asked: Load, reading: int, answering: int) -> float:
    """How busy the busier of the two stages is.

    Prompts and transfers wait for each other long before an engine is full;
    answers don't, so their slots count only when nearly all are taken.
    """
    answering = max(1, answering)
    slots = asked.slots / answering
    full = slots >= SLOTS_FULL
    slots *= SLOTS_FULL_WEIGHT if full else SLOTS_FREE_WEIGHT
    return max(
        asked.reading / max(1, reading), asked.moving / answering, slots
    )
