"""Decides on backups of streams that may not run a second time.

Designed for chat streams of some 300 tokens and 3 to 4 s, whose engine fails
in the middle: a crash of several engines at once cuts dozens of them.  An
engine keeps a backup copy of the KV cache at a second one, where the same run
goes on after a break.
"""

from collections.abc import Iterable
import dataclasses

from magnoliadyke.core import catalog
from magnoliadyke.core import enginemodel
from magnoliadyke.core import promptjobs
from magnoliadyke.core import routes

__all__ = [
    'MAX_TOKENS',
    'RESPONSE_LIMIT_S',
    'RESUME_LIMIT_S',
    'STOP_LIMIT_S',
    'Break',
    'Continue',
    'ContinueKept',
    'ContinueMoved',
    'End',
    'EngineGone',
    'Kept',
    'Moved',
    'NoSuchRun',
    'StopRun',
    'Uncertain',
    'check_break',
    'choose',
    'decide',
    'is_backed_up',
]

#: Longest prompt of a stream with a backup, in tokens: at 160 kB a token a
#: longer one would take the links that prefilled prompts need.
MAX_TOKENS = 1200
#: Time limit for stopping the old run, in seconds.  A run that may go on
#: elsewhere must not be worked on 0.4 s later at the old engine.
STOP_LIMIT_S = 0.3
#: Time limit for a call to a silent engine, in seconds: one that takes longer
#: was silent itself.
RESPONSE_LIMIT_S = 0.1
#: Time in which an engine that has just gone on sends the next event of a run,
#: in seconds.
RESUME_LIMIT_S = 0.1
#: Time beyond :data:`STOP_LIMIT_S`, in seconds, after which a connection that
#: was not opened tells nothing: this host itself was held up.
MAX_DELAY_S = 0.2
#: Least time until the caller's deadline for which a stream is continued, in
#: seconds: the time of two events.
MIN_LEFT_S = 0.1


def is_backed_up(
    traits: routes.EngineTraits | None, route: routes.Route, tokens: int
) -> bool:
    """Return whether a stream is to have a backup.

    :param traits: properties of the service's engines, None for a plain
        service
    :param tokens: length of the prompt, in tokens
    """
    return (
        traits is not None
        and traits.backups
        and route.kind is routes.Kind.STREAM
        and not route.resumable
        and tokens <= MAX_TOKENS
    )


def choose(
    engines: Iterable[enginemodel.EngineModel],
    chosen: enginemodel.EngineModel,
    job: promptjobs.Job,
    now_s: float,
) -> enginemodel.EngineModel | None:
    """Choose the engine that keeps the backup of a job's answer.

    Of engines that are equal the job's id selects one: otherwise one engine
    would receive the copies of all streams.

    :param chosen: the engine that generates the answer
    :returns: None if there is no other engine
    """
    origin = chosen.endpoint
    best: list[enginemodel.EngineModel] = []
    best_order = None
    for engine in engines:
        endpoint = engine.endpoint
        if (
            endpoint.id == origin.id
            or endpoint.id in job.avoid
            or endpoint.version != origin.version
            or endpoint.stage is not catalog.Stage.DECODE
            or endpoint.leaving
            or engine.cooldown_until_s > now_s
        ):
            continue
        order = (
            endpoint.failure_domain == origin.failure_domain,
            len(engine.runs),
        )
        if best_order is None or order < best_order:
            best, best_order = [], order
        if order == best_order:
            best.append(engine)
    return best[job.id % len(best)] if best else None


@dataclasses.dataclass(frozen=True, slots=True)
class Break:
    """A break of a stream that has a backup.

    :param last_id: id of the last event passed on, None before the first
    :param can_resume: whether no event would come twice
    :param is_listed: whether the backup engine is listed, not leaving, and of
        the same stage and software version
    :param has_retry: whether the retry budget allows another attempt
    :param left_s: time until the caller's deadline, in seconds
    """

    last_id: bytes | None
    can_resume: bool
    is_listed: bool
    has_retry: bool
    left_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Moved:
    """The old run is stopped; its KV cache is at the backup engine."""

    handle: str


@dataclasses.dataclass(frozen=True, slots=True)
class Kept:
    """The old run is stopped; its KV cache is still at the old engine."""

    handle: str


@dataclasses.dataclass(frozen=True, slots=True)
class NoSuchRun:
    """The old engine has no such run."""


@dataclasses.dataclass(frozen=True, slots=True)
class EngineGone:
    """No connection to the old engine was opened.

    :param was_refused: whether it was refused, rather than not opened in time
    """

    was_refused: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Uncertain:
    """The old engine may still work on the run."""

    reason: str


Stopped = Moved | Kept | NoSuchRun | EngineGone | Uncertain


@dataclasses.dataclass(frozen=True, slots=True)
class StopRun:
    """Stop the old run."""


@dataclasses.dataclass(frozen=True, slots=True)
class Continue:
    """Continue from the backup."""


@dataclasses.dataclass(frozen=True, slots=True)
class ContinueMoved:
    """Continue from the KV cache that the old engine has moved."""

    handle: str


@dataclasses.dataclass(frozen=True, slots=True)
class ContinueKept:
    """Continue at the old engine from the KV cache that it keeps."""

    handle: str


@dataclasses.dataclass(frozen=True, slots=True)
class End:
    """End the stream, incomplete."""

    reason: str


def check_break(broken: Break) -> StopRun | End:
    """Decide whether a broken stream may be continued at all."""
    if broken.last_id is None:
        return End('no event with an id was passed on')
    if not broken.can_resume:
        return End('an event would come twice')
    if not broken.is_listed:
        return End('the backup engine has left')
    if not broken.has_retry:
        return End('the retry budget is spent')
    if broken.left_s < MIN_LEFT_S:
        return End('too little time is left')
    return StopRun()


def decide(
    stopped: Stopped,
    took_s: float,
    left_s: float,
    is_silent: bool = False,
    was_over: bool = False,
) -> Continue | ContinueMoved | ContinueKept | End:
    """Decide how a stream goes on after an attempt to stop its old run.

    :param took_s: duration of that attempt, in seconds
    :param left_s: time until the caller's deadline, in seconds
    :param is_silent: whether the old run's connection is open, so that its
        engine may only be silent
    :param was_over: whether the engine of a silent run had no such run before
    """
    if left_s < MIN_LEFT_S:
        return End('too little time is left')
    match stopped:
        case Moved(handle):
            return ContinueMoved(handle)
        case Kept(handle):
            return ContinueKept(handle)
        case NoSuchRun() if is_silent and not was_over:
            # A backup is kept only until its run has ended.
            return End('the end of the answer may be on its way')
        case NoSuchRun() | EngineGone(was_refused=True):
            return Continue()
        case EngineGone() if is_silent:
            return End('the engine may only be silent')
        case EngineGone():
            if took_s > STOP_LIMIT_S + MAX_DELAY_S:
                return End('this host was held up')
            return Continue()
        case Uncertain(reason):
            return End(f'the old run may go on: {reason}')
