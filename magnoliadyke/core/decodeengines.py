"""The engines that answer: who may, who has a slot, who is quickest."""

import collections

from magnoliadyke.core import catalog
from magnoliadyke.core import enginemodel

__all__ = ['SHORT_SLOTS', 'DecodeEngines']

#: Slots that long answers leave to short ones: without any, no prompt that
#: was read elsewhere could be answered there.
SHORT_SLOTS = 2
#: Engines that answer which are slower than this are used last.
SLOW_FACTOR = 2.0
#: Weight of a new measurement of what follows reading.
TRANSFER_WEIGHT = 0.15
#: From this many failures in a row on, an engine is taken for down.
DOWN_FAILURES = 2
#: One that is taken for down is given one request in this time, in seconds,
#: until it has served one: that is how long a connection to nobody takes to
#: fail, and how long its caller loses.
PROBE_S = 1.0

#: Engines that are compared for one prompt.  The least busy of a dozen is
#: as good as that of all: more of them take longer to compare.
CANDIDATES_COMPARED = 12

# How readily an engine is used; only the best class that there is, is.
READY = 0
REJECTED_BEFORE = 1
COOLING_DOWN = 2
DOWN = 3


class DecodeEngines:
    """The engines of a service in their part of answering.

    :param engines: all engines, by id; belongs to the pool
    :ivar after_s: what the quickest takes from a prompt that was read
        elsewhere to its first event
    """

    def __init__(self, engines: dict[str, enginemodel.EngineModel]) -> None:
        self.engines = engines
        self.first_event_s = 0.0
        self.rotation: collections.deque[str] = collections.deque()

    def refresh(self) -> None:
        """The list of engines, or the stage of one, has changed."""
        self.rotation = collections.deque(
            engine_id
            for engine_id, engine in self.engines.items()
            if engine.endpoint.stage is catalog.Stage.DECODE
        )

    def has_any(self) -> bool:
        """Whether any engine of the answering stage is listed."""
        return bool(self.rotation)

    def available(
        self, avoid: tuple[str, ...], now_s: float
    ) -> list[enginemodel.EngineModel]:
        """Engines that may answer; those that rest only if none else.

        One that is down comes last: a request that finds nobody there has
        lost a second, one that is turned away has lost a moment.
        """
        classes = collections.defaultdict(list)
        for engine in self.engines.values():
            if engine.endpoint.stage is catalog.Stage.DECODE:
                classes[_readiness(engine, avoid, now_s)].append(engine)
        return classes[min(classes)] if classes else []

    def for_prefilled(
        self, avoid: tuple[str, ...], now_s: float
    ) -> enginemodel.EngineModel | None:
        """The engine to answer what another one has read."""
        return min(
            self._some_ready(avoid, now_s) or self.available(avoid, now_s),
            key=lambda e: (
                len(e.runs) >= e.endpoint.slots,
                max(e.transfer_until_s - now_s, 0.0)
                + (e.free_s(now_s) - now_s)
                + self.delay_s(e),
                len(e.runs),
            ),
            default=None,
        )

    def _some_ready(
        self, avoid: tuple[str, ...], now_s: float
    ) -> list[enginemodel.EngineModel]:
        """A few of the engines that can answer one more at once.

        In a large fleet each has its turn, so the cost of a placement does
        not follow the number of engines while most of them have slots.
        """
        found = []
        for engine_id in self.rotation:
            engine = self.engines[engine_id]
            if _readiness(engine, avoid, now_s) == READY and has_slot(
                engine, now_s, now_s
            ):
                found.append(engine)
                if len(found) >= CANDIDATES_COMPARED:
                    break
        if len(self.rotation) > CANDIDATES_COMPARED:
            self.rotation.rotate(-CANDIDATES_COMPARED)
        return found

    def for_short_prompt(
        self, avoid: tuple[str, ...], now_s: float
    ) -> enginemodel.EngineModel | None:
        """The engine for a short prompt.

        Long answers share few engines, so that the others can read.
        """
        return min(
            self.available(avoid, now_s),
            key=lambda e: _short_order(e, now_s),
            default=None,
        )

    def record_assignment(
        self, engine: enginemodel.EngineModel, now_s: float
    ) -> None:
        """An engine is to answer a request."""
        if engine.failures >= DOWN_FAILURES:
            engine.probe_until_s = now_s + PROBE_S

    def record_success(self, engine_id: str, now_s: float) -> None:
        """An engine has shown that it works."""
        engine = self.engines.get(engine_id)
        if engine is not None:
            engine.failures = 0
            engine.last_success_s = now_s

    def record_kv_transfer(
        self, engine_id: str, took_s: float, now_s: float
    ) -> None:
        """A prompt that was read elsewhere gave its first event.

        :param took_s: from when it had been read
        """
        engine = self.engines.get(engine_id)
        if engine is None:
            return
        engine.last_accepted_s = now_s
        self.record_success(engine_id, now_s)
        engine.first_event_s += TRANSFER_WEIGHT * (
            took_s - engine.first_event_s
        )
        answering = self.engines.values()
        self.first_event_s = min(
            (e.first_event_s for e in answering if e.first_event_s > 0),
            default=0.0,
        )

    def delay_s(self, engine: enginemodel.EngineModel) -> float:
        """How much later prompts come to an engine than to the quickest."""
        return max(0.0, engine.first_event_s - self.first_event_s)


def has_slot(
    engine: enginemodel.EngineModel, at_s: float, now_s: float
) -> bool:
    """Whether an engine that answers has a slot for one more then.

    Without one it would turn the request away, and the prompt would have
    been read for nothing.
    """
    return engine.slots_in_use(at_s, now_s) < engine.endpoint.slots


def long_slots(slots: int) -> int:
    """How many of an engine's slots long answers may hold."""
    return slots - min(SHORT_SLOTS, slots // 2)


def has_long_slot(engine: enginemodel.EngineModel) -> bool:
    """Whether an engine has a slot that short answers don't need."""
    return len(engine.runs) < long_slots(engine.endpoint.slots)


def _readiness(
    engine: enginemodel.EngineModel, avoid: tuple[str, ...], now_s: float
) -> int:
    cooling_down = engine.cooldown_until_s > now_s
    if engine.failures >= DOWN_FAILURES:
        if cooling_down or engine.probe_until_s > now_s:
            return DOWN
    if cooling_down:
        return COOLING_DOWN
    return REJECTED_BEFORE if engine.endpoint.id in avoid else READY


def _short_order(
    engine: enginemodel.EngineModel, now_s: float
) -> tuple[bool, bool, float]:
    if not has_long_slot(engine):
        return (True, engine.slowness > SLOW_FACTOR, len(engine.runs))
    return (False, engine.slowness > SLOW_FACTOR, -len(engine.runs))
