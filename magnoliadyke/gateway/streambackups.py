"""Continues broken streams at the engines that keep their backups.

See :mod:`magnoliadyke.core.streambackup`.
"""

import collections
from typing import Callable
from typing import NamedTuple

from magnoliadyke import clock as clocks
from magnoliadyke.core import catalog
from magnoliadyke.core import promptjobs
from magnoliadyke.core import streambackup
from magnoliadyke.core import streamposition
from magnoliadyke.gateway import codec as codecs
from magnoliadyke.gateway import enginecontrol
from magnoliadyke.gateway import engineruns
from magnoliadyke.gateway import outcomes
from magnoliadyke import logs

__all__ = ['Broken', 'Continuation', 'StreamBackups']

LOG = logs.get('streambackups')


class Broken(NamedTuple):
    """A stream with a backup that is broken or whose engine is silent.

    :param engine: the engine whose answer broke off
    :param backup: the engine that keeps the backup
    :param has_retry: whether the retry budget allows another attempt
    :param reserve_backup: gets a permit for the engine with the backup if it
        has a rate limit, and returns whether it may be asked now
    :param reserve_retry: takes a retry for it, and returns whether there is
        one
    :param deadline_s: when the caller's timeout ends, in monotonic seconds
    :param silent_run: the run if its engine is silent and its connection open
    """

    request: codecs.Request
    engine: catalog.Endpoint
    backup: catalog.Endpoint
    position: streamposition.StreamPosition
    has_retry: bool
    reserve_backup: Callable[[], bool]
    reserve_retry: Callable[[], bool]
    deadline_s: float
    silent_run: engineruns.EngineRun | None = None

    @property
    def is_silent(self) -> bool:
        """Whether the engine may only be silent."""
        return self.silent_run is not None


class Continuation(NamedTuple):
    """Where a stream goes on.

    :param engine: the engine that goes on with it
    :param kv_source: where the KV cache is held, as ``ADDRESS/ID``
    :param is_moved: whether it is what a stopped run has left, and is to be
        released if the stream does not go on
    """

    engine: catalog.Endpoint
    kv_source: str
    is_moved: bool


class StreamBackups:
    """Chooses where streams with a backup go on after a break.

    :ivar counts: number of events by kind: ``requested`` backups, breaks by
        the outcome of stopping the old run (``not_tried``, ``moved``,
        ``kept``, ``no_run``, ``engine_gone``, ``uncertain``), and
        continuations by outcome (``completed``, ``not_run``, ``broken_again``)
    """

    def __init__(
        self,
        known: catalog.Catalog,
        control: enginecontrol.EngineControl,
        clock: clocks.Clock,
    ) -> None:
        self.catalog = known
        self.control = control
        self.clock = clock
        self.counts: collections.Counter[str] = collections.Counter()

    def find_backup(
        self, placed: promptjobs.Placed, engine: catalog.Endpoint
    ) -> catalog.Endpoint | None:
        """Return the engine that is to keep a backup, None without one.

        :param engine: the engine that generates the answer
        """
        if placed.backup is None or placed.backup == engine.id:
            return None
        backup = self.catalog.find_staying(placed.backup)
        if backup is None or not _is_alike(backup, engine):
            return None
        return backup

    def stop_run(self, broken: Broken) -> Continuation | None:
        """Stop the old run of a broken stream, if it may be continued.

        :returns: where the stream goes on, None if it ends
        """
        decision = streambackup.check_break(self._break(broken))
        stopped = None
        took_s = 0.0
        if isinstance(decision, streambackup.StopRun):
            began_s = self.clock.now_s()
            stopped = self._stop(broken)
            now_s = self.clock.now_s()
            took_s = now_s - began_s
            decision = streambackup.decide(
                stopped,
                took_s,
                broken.deadline_s - now_s,
                broken.is_silent,
                broken.is_silent and broken.silent_run.is_over,
            )
            if broken.is_silent and isinstance(
                stopped, streambackup.NoSuchRun
            ):
                broken.silent_run.is_over = True
        outcome = _outcome(stopped)
        self.counts[outcome] += 1
        self._log(broken, outcome, took_s, decision)
        backup = broken.backup
        match decision:
            case streambackup.Continue():
                run_id = broken.request.id.decode('latin-1')
                source = f'{backup.address}/{run_id}'
                return Continuation(backup, source, is_moved=False)
            case streambackup.ContinueMoved(handle):
                source = f'{broken.engine.address}/{handle}'
                return Continuation(backup, source, is_moved=True)
            case streambackup.ContinueKept(handle):
                source = f'{broken.engine.address}/{handle}'
                return Continuation(broken.engine, source, is_moved=True)
        return None

    def record_result(
        self,
        result: outcomes.Answered
        | outcomes.Whole
        | outcomes.NotRun
        | outcomes.Lost,
    ) -> None:
        """Count the result of a continuation."""
        match result:
            case outcomes.Answered():
                self.counts['completed'] += 1
            case outcomes.NotRun():
                self.counts['not_run'] += 1
            case _:
                self.counts['broken_again'] += 1

    def _stop(self, broken: Broken) -> streambackup.Stopped:
        """Stop the old run, unless its engine may only be silent.

        One that is silent would carry the stop out when it goes on, and one
        that has just gone on finishes the run.  So may one that is silent
        until the engine with the backup can be asked.
        """
        engine = broken.engine
        if broken.silent_run is not None:
            hindrance = self.control.check_responds(engine)
            if hindrance is not None:
                return hindrance
            if not broken.reserve_backup():
                return streambackup.Uncertain('the backup is held back')
            used = broken.silent_run.used
            if used.sends_within(streambackup.RESUME_LIMIT_S):
                return streambackup.Uncertain('it sends events again')
        if not broken.reserve_retry():
            return streambackup.Uncertain('the retry budget is spent')
        return self.control.stop_run(
            engine, broken.request.id, broken.backup.address
        )

    def _break(self, broken: Broken) -> streambackup.Break:
        now_s = self.clock.now_s()
        listed = self.catalog.find_staying(broken.backup.id)
        return streambackup.Break(
            last_id=broken.position.last_id,
            can_resume=broken.position.can_resume,
            is_listed=listed is not None and _is_alike(listed, broken.engine),
            has_retry=broken.has_retry,
            left_s=broken.deadline_s - now_s,
        )

    def _log(
        self,
        broken: Broken,
        outcome: str,
        took_s: float,
        decision: streambackup.Continue
        | streambackup.ContinueMoved
        | streambackup.ContinueKept
        | streambackup.End,
    ) -> None:
        reason = 'none'
        if isinstance(decision, streambackup.End):
            reason = decision.reason
        last_id = broken.position.last_id or b'none'
        left_s = broken.deadline_s - self.clock.now_s()
        LOG.event(
            'stream_broke',
            id=broken.request.id.decode('latin-1'),
            endpoint=broken.engine.id,
            backup=broken.backup.id,
            software=broken.engine.version,
            stop=outcome,
            took_ms=round(took_s * 1000),
            last_event=last_id.decode('latin-1'),
            left_ms=round(left_s * 1000),
            goes_on=not isinstance(decision, streambackup.End),
            reason=reason,
        )


def _is_alike(backup: catalog.Endpoint, engine: catalog.Endpoint) -> bool:
    """Whether an engine may go on with the answer of another one."""
    return (
        backup.version == engine.version
        and backup.stage is catalog.Stage.DECODE
    )


def _outcome(stopped: streambackup.Stopped | None) -> str:
    match stopped:
        case None:
            return 'not_tried'
        case streambackup.Moved():
            return 'moved'
        case streambackup.Kept():
            return 'kept'
        case streambackup.NoSuchRun():
            return 'no_run'
        case streambackup.EngineGone():
            return 'engine_gone'
        case streambackup.Uncertain():
            return 'uncertain'
