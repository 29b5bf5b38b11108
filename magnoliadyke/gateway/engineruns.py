"""Runs of a request at engines, and those whose engine is silent.

An engine that is silent may be gone, or respond again after a second.  Its
run is kept until another engine has begun to answer in its place.
"""

import dataclasses

import gevent

from magnoliadyke.core import catalog
from magnoliadyke.core import promptjobs
from magnoliadyke.gateway import caller as callers
from magnoliadyke.gateway import codec as codecs
from magnoliadyke.gateway import connection
from magnoliadyke.gateway import events
from magnoliadyke.gateway import http

__all__ = [
    'EndUnconfirmed',
    'EngineResponds',
    'EngineRun',
    'EngineSilent',
    'ResponseWatch',
]


class EngineSilent(Exception):
    """The engine of a run has sent nothing for some time."""


class EngineResponds(callers.Interrupted):
    """The engine of a silent run has sent bytes again."""


class EndUnconfirmed(callers.Interrupted):
    """No engine has said in time whether a stream goes on."""


@dataclasses.dataclass(slots=True)
class EngineRun:
    """A request that was sent to an engine, and the answer read so far.

    :ivar head: head of the answer, None before it
    :ivar has_events: whether an event of the answer was passed on
    :ivar event_s: when the last event came, in monotonic seconds; None if the
        interval to the next one is not the engine's
    :ivar silences: how often the engine was silent
    :ivar is_over: whether the engine has said that it has no such run, though
        the answer has not ended
    """

    engine: catalog.Endpoint
    used: connection.Connection
    job: promptjobs.Job
    placed: promptjobs.Placed
    options: codecs.RunOptions
    splitter: events.EventSplitter
    head: http.Head | None = None
    has_events: bool = False
    event_s: float | None = None
    silences: int = 0
    is_over: bool = False


class ResponseWatch:
    """Interrupts this greenlet when a silent engine sends bytes again.

    :meth:`stop` has to be called by the greenlet that made it.

    :param run: the run of the silent engine
    """

    def __init__(self, run: EngineRun) -> None:
        self.run = run
        self.greenlet = gevent.getcurrent()
        loop = gevent.get_hub().loop
        self.watcher = loop.io(run.used.sock.fileno(), callers.READ)
        self.watcher.start(self._readable)

    def _readable(self) -> None:
        self.watcher.stop()
        # A connection that has ended is not worth an interrupt: the attempt
        # at another engine goes on.
        if self.run.used.has_unread_bytes():
            self.greenlet.throw(EngineResponds())

    def stop(self) -> None:
        """Stop watching."""
        self.watcher.stop()
        self.watcher.close()
