"""Chooses decode engines by availability, free slots and latency."""

import collections

from magnoliadyke.core import catalog
from magnoliadyke.core import endpointlimits
from magnoliadyke.core import enginemodel
from magnoliadyke.core import enginepace

__all__ = ['SHORT_SLOTS', 'DecodeEngines']

#: Slots of an engine reserved for short answers: without any, prompts from
#: prefill engines could not be answered there.
SHORT_SLOTS = 2
#: Slowness above which a decode engine is used last for short prompts.
SLOW_FACTOR = 2.0
#: Weight of a new sample in the average time from the end of prefill to the
#: first event.
TRANSFER_WEIGHT = 0.15
#: Consecutive failures from which on an engine is regarded as down.
DOWN_FAILURES = 2
#: Interval in which an engine that is regarded as down is probed with one
#: request, in seconds, until it serves one.  It equals the connect time-out,
#: which is the time that the probing request loses.
PROBE_INTERVAL_S = 1.0

#: Engines that are compared for one prompt.  The least busy of a dozen is
#: about as good as the least busy of all, and quicker to find.
CANDIDATES_COMPARED = 12

# Readiness classes of an engine; only engines of the lowest class are used.
READY = 0
REJECTED_BEFORE = 1
COOLING_DOWN = 2
DOWN = 3


class DecodeEngines:
    """The decode engines of a model service.

    :param engines: all engines, by id; maintained by the pool
    :param pacer: paces the requests to engines with a rate limit
    :param paces: intervals between the events of each engine
    :ivar first_event_s: average time from the end of a prefill on another
        engine to the first event, on the fastest decode engine, in seconds
    :ivar rotation: ids of the decode engines, in the order in which they are
        considered
    :ivar decoding: the decode engines, in the order of ``engines``
    """

    def __init__(
        self,
        engines: dict[str, enginemodel.EngineModel],
        pacer: endpointlimits.Pacer,
        paces: enginepace.EnginePaces | None = None,
    ) -> None:
        self.engines = engines
        self.pacer = pacer
        self.paces = paces or enginepace.EnginePaces()
        self.first_event_s = 0.0
        self.rotation: collections.deque[str] = collections.deque()
        self.decoding: tuple[enginemodel.EngineModel, ...] = ()

    def refresh(self) -> None:
        """Rebuild the rotation after a change of engines or their stages."""
        self.decoding = tuple(
            engine
            for engine in self.engines.values()
            if engine.endpoint.stage is catalog.Stage.DECODE
        )
        self.rotation = collections.deque(
            engine.endpoint.id for engine in self.decoding
        )

    def has_any(self) -> bool:
        """Whether any engine of the decode stage is listed."""
        return bool(self.rotation)

    def has_version(self, version: str) -> bool:
        """Whether a decode engine of a software version is listed."""
        return any(
            self.engines[each].endpoint.version == version
            for each in self.rotation
        )

    def available(
        self,
        avoid: tuple[str, ...],
        now_s: float,
        version: str | None = None,
    ) -> list[enginemodel.EngineModel]:
        """Return the decode engines of the best readiness class.

        Engines in a cooldown are returned only if there are no others, and
        engines that are down come last: a request to an engine that is down
        loses a second, one that is rejected only a moment.  Engines whose
        rate limit allows no request now are left out, and no worse class
        replaces them.

        :param avoid: ids of engines that have rejected the request
        :param version: software version of the engines, None for any
        """
        best = self._best_class(avoid, now_s, version)
        if not self.pacer.has_limits and not self.pacer.slots:
            return best
        return [e for e in best if not self._limit_wait_s(e, now_s)]

    def _best_class(
        self,
        avoid: tuple[str, ...],
        now_s: float,
        version: str | None = None,
    ) -> list[enginemodel.EngineModel]:
        best: list[enginemodel.EngineModel] = []
        best_class = DOWN
        for engine in self.decoding:
            if version is not None and engine.endpoint.version != version:
                continue
            readiness = _readiness(engine, avoid, now_s)
            if readiness < best_class:
                best, best_class = [], readiness
            if readiness == best_class:
                best.append(engine)
        return best

    def _limit_wait_s(
        self, engine: enginemodel.EngineModel, now_s: float
    ) -> float:
        return self.pacer.wait_s(engine.endpoint.id, now_s)

    def limit_wait_s(
        self,
        avoid: tuple[str, ...],
        now_s: float,
        version: str | None = None,
    ) -> float:
        """Return the time until the rate limits allow a request, in seconds.

        0 if an engine accepts one now, or if there is none.
        """
        if not self.pacer.has_limits:
            return 0.0
        return min(
            (
                self._limit_wait_s(each, now_s)
                for each in self._best_class(avoid, now_s, version)
            ),
            default=0.0,
        )

    def rate_s(self, now_s: float) -> float:
        """Return how many requests per second the rate limits allow.

        Engines in a cooldown count only if there are no others.
        """
        return sum(
            self.pacer.rate_s(each.endpoint.id)
            for each in self._best_class((), now_s)
        )

    def choose_for_prefilled(
        self, avoid: tuple[str, ...], now_s: float, pause_s: float = 0.0
    ) -> enginemodel.EngineModel | None:
        """Choose the decode engine for a prompt prefilled on another one.

        :param pause_s: longest pause between two events for which the answer
            is on time, in seconds; 0 if any is
        """
        return min(
            self._some_ready(avoid, now_s) or self.available(avoid, now_s),
            key=lambda e: (
                len(e.runs) >= e.endpoint.slots,
                self._exceeds_pause(e, pause_s, now_s),
                max(e.transfer_until_s - now_s, 0.0)
                + (e.free_s(now_s) - now_s)
                + self.delay_s(e),
                len(e.runs),
            ),
            default=None,
        )

    def _exceeds_pause(
        self, engine: enginemodel.EngineModel, pause_s: float, now_s: float
    ) -> bool:
        return self._pace_rank(engine, pause_s, now_s) > enginepace.KEEPS_PAUSE

    def _pace_rank(
        self, engine: enginemodel.EngineModel, pause_s: float, now_s: float
    ) -> int:
        if not pause_s:
            return 0
        return self.paces.rank(engine.endpoint.id, pause_s, now_s)

    def _some_ready(
        self, avoid: tuple[str, ...], now_s: float
    ) -> list[enginemodel.EngineModel]:
        """Return some of the decode engines that are ready and have a slot.

        In a large fleet the engines are considered in rotation, so that the
        cost of a placement does not grow with the number of engines while
        most of them have free slots.
        """
        found = []
        for engine_id in self.rotation:
            engine = self.engines[engine_id]
            if (
                _readiness(engine, avoid, now_s) == READY
                and has_slot(engine, now_s, now_s)
                and not self._limit_wait_s(engine, now_s)
            ):
                found.append(engine)
                if len(found) >= CANDIDATES_COMPARED:
                    break
        if len(self.rotation) > CANDIDATES_COMPARED:
            self.rotation.rotate(-CANDIDATES_COMPARED)
        return found

    def choose_for_short_prompt(
        self,
        avoid: tuple[str, ...],
        now_s: float,
        version: str | None = None,
        pause_s: float = 0.0,
    ) -> enginemodel.EngineModel | None:
        """Choose the decode engine for a short prompt, or a resumed job.

        Requests are packed onto engines that generate long answers already,
        so that the other decode engines can prefill.  Where engines differ in
        pace, those come first that keep the pauses of a stream.

        :param pause_s: longest pause between two events for which the answer
            is on time, in seconds; 0 if any is
        """
        engines = self.available(avoid, now_s, version)
        with_slot = [e for e in engines if has_long_slot(e)]
        best = with_slot or engines
        if pause_s:
            ids = [e.endpoint.id for e in best]
            ranks = self.paces.ranks(ids, pause_s, now_s)
            least = min(ranks, default=0)
            best = [
                e for e, rank in zip(best, ranks, strict=True) if rank == least
            ]
        # Sorting keeps the order of engines with equally many answers.
        best = sorted(best, key=lambda e: len(e.runs), reverse=bool(with_slot))
        usual = (e for e in best if not e.slowness > SLOW_FACTOR)
        return next(usual, best[0] if best else None)

    def record_assignment(
        self, engine: enginemodel.EngineModel, now_s: float
    ) -> None:
        """Record that a request is sent to an engine.

        For an engine that is regarded as down, the request is the probe.
        """
        if engine.failures >= DOWN_FAILURES:
            engine.probe_until_s = now_s + PROBE_INTERVAL_S

    def record_success(self, engine_id: str, now_s: float) -> None:
        """Record that an engine works, and reset its failure count."""
        engine = self.engines.get(engine_id)
        if engine is not None:
            engine.failures = 0
            engine.last_success_s = now_s

    def record_kv_transfer(
        self, engine_id: str, took_s: float, now_s: float
    ) -> None:
        """Record the first event of an answer after a KV transfer.

        :param took_s: seconds from the end of prefill to the first event
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
        """Return the time to first event in excess of the fastest engine's."""
        return max(0.0, engine.first_event_s - self.first_event_s)


def has_slot(
    engine: enginemodel.EngineModel, at_s: float, now_s: float
) -> bool:
    """Whether a decode engine has a free slot at a moment.

    Without a free slot it would reject the request, and the prefill would be
    wasted.

    :param at_s: the moment, in monotonic seconds
    """
    return engine.slots_in_use(at_s, now_s) < engine.endpoint.slots


def long_slots(slots: int) -> int:
    """Return how many of an engine's slots long answers may hold."""
    return slots - min(SHORT_SLOTS, slots // 2)


def has_long_slot(engine: enginemodel.EngineModel) -> bool:
    """Whether an engine has a free slot for a long answer."""
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
