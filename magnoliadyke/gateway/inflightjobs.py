"""What this host's jobs do at the engines, for the next placing host.

A host that begins to place knows nothing of what engines have been given:
for seconds it would send prompts where they have to be read anew, to
engines that still read those of the host before, and into slots that are
taken.  So each host tells it of its own jobs.
"""

import collections
import dataclasses
from typing import NamedTuple

from magnoliadyke.core import promptjobs
from magnoliadyke.gateway import placement_codec

__all__ = ['GivenJobs']

#: Prompts that a new placing host is told of: the last seconds of this host,
#: as far as engines still keep them, and so many at most.
GIVEN_S = 6.0
MAX_GIVEN = 400


@dataclasses.dataclass(slots=True)
class _Open:
    """A job that engines still work on.

    :ivar reading: its prompt is long and not known to be read
    """

    service: str
    placed: promptjobs.Placed
    reading: bool

    @property
    def reader(self) -> str:
        """The engine that reads the prompt."""
        return self.placed.prefill or self.placed.run


class _Given(NamedTuple):
    """A prompt that an engine was given."""

    at_s: float
    service: str
    job: promptjobs.Job
    engine: str


class GivenJobs:
    """The jobs of this host that were placed lately.

    :ivar open: those that engines still work on, by job
    """

    def __init__(self) -> None:
        self.open: dict[int, _Open] = {}
        self.given: collections.deque[_Given] = collections.deque(
            maxlen=MAX_GIVEN
        )

    def placed(
        self,
        service: str,
        job: promptjobs.Job,
        placed: promptjobs.Placed,
        short: bool,
        now_s: float,
    ) -> None:
        """A job was placed.

        :param short: its prompt is too short to be accounted
        """
        self.open[job.id] = _Open(service, placed, not short)
        for engine in {placed.prefill or placed.run, placed.run}:
            self.given.append(_Given(now_s, service, job, engine))

    def has_read(self, job_id: int) -> None:
        """A job's prompt was read, or will not be read there."""
        opened = self.open.get(job_id)
        if opened is not None:
            opened.reading = False

    def ended(self, job_id: int) -> None:
        """No engine works on a job any longer."""
        self.open.pop(job_id, None)

    def memories(
        self, now_s: float
    ) -> dict[str, tuple[placement_codec.Memory, ...]]:
        """What to tell a host that begins to place, by service."""
        told: dict[str, list[placement_codec.Memory]] = {}
        recent = set()
        for at_s, service, job, engine in self.given:
            if at_s < now_s - GIVEN_S:
                continue
            recent.add((job.id, engine))
            memory = self._memory(job.id, engine, job.parts)
            told.setdefault(service, []).append(memory)
        for job_id, opened in self.open.items():
            engine = opened.placed.run
            if opened.placed.tell_end and (job_id, engine) not in recent:
                memory = self._memory(job_id, engine, ())
                told.setdefault(opened.service, []).append(memory)
        return {service: tuple(found) for service, found in told.items()}

    def memory(self, job: promptjobs.Job) -> placement_codec.Memory:
        """What the engine that reads a job's prompt has been given."""
        return self._memory(job.id, self.open[job.id].reader, job.parts)

    def _memory(
        self, job_id: int, engine: str, parts
    ) -> placement_codec.Memory:
        opened = self.open.get(job_id)
        if opened is None:
            return placement_codec.Memory(engine, parts)
        reads = opened.reading and engine == opened.reader
        return placement_codec.Memory(
            engine,
            parts,
            job_id,
            opened.placed.read_tokens if reads else None,
            opened.placed.tell_end and engine == opened.placed.run,
        )
