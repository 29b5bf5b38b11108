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

__all__ = ['InFlightJobs']

#: Prompts that a new placing host is told of: the last seconds of this host,
#: as far as engines still keep them, and so many at most.
IN_FLIGHT_RETENTION_S = 6.0
MAX_IN_FLIGHT = 400


@dataclasses.dataclass(slots=True)
class _InFlightJob:
    """A job that engines still work on.

    :ivar reading: its prompt is long and not known to be read
    """

    service: str
    placed: promptjobs.Placed
    is_prefilling: bool

    @property
    def prefill_engine_id(self) -> str:
        """The engine that reads the prompt."""
        return self.placed.prefill or self.placed.run


class _SentPrompt(NamedTuple):
    """A prompt that an engine was given."""

    at_s: float
    service: str
    job: promptjobs.Job
    engine: str


class InFlightJobs:
    """The jobs of this host that were placed lately.

    :ivar open: those that engines still work on, by job
    """

    def __init__(self) -> None:
        self.in_flight: dict[int, _InFlightJob] = {}
        self.sent_prompts: collections.deque[_SentPrompt] = collections.deque(
            maxlen=MAX_IN_FLIGHT
        )

    def record_placement(
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
        self.in_flight[job.id] = _InFlightJob(service, placed, not short)
        for engine in {placed.prefill or placed.run, placed.run}:
            self.sent_prompts.append(_SentPrompt(now_s, service, job, engine))

    def record_prefill_done(self, job_id: int) -> None:
        """A job's prompt was read, or will not be read there."""
        in_flight_job = self.in_flight.get(job_id)
        if in_flight_job is not None:
            in_flight_job.is_prefilling = False

    def record_end(self, job_id: int) -> None:
        """No engine works on a job any longer."""
        self.in_flight.pop(job_id, None)

    def cache_contents(
        self, now_s: float
    ) -> dict[str, tuple[placement_codec.CacheContents, ...]]:
        """What to tell a host that begins to place, by service."""
        found_contents: dict[str, list[placement_codec.CacheContents]] = {}
        recent = set()
        for at_s, service, job, engine in self.sent_prompts:
            if at_s < now_s - IN_FLIGHT_RETENTION_S:
                continue
            recent.add((job.id, engine))
            contents = self._cache_contents(job.id, engine, job.parts)
            found_contents.setdefault(service, []).append(contents)
        for job_id, in_flight_job in self.in_flight.items():
            engine = in_flight_job.placed.run
            if (
                in_flight_job.placed.tell_end
                and (job_id, engine) not in recent
            ):
                contents = self._cache_contents(job_id, engine, ())
                found_contents.setdefault(in_flight_job.service, []).append(
                    contents
                )
        return {
            service: tuple(found) for service, found in found_contents.items()
        }

    def prefill_cache_contents(
        self, job: promptjobs.Job
    ) -> placement_codec.CacheContents:
        """What the engine that reads a job's prompt has been given."""
        return self._cache_contents(
            job.id, self.in_flight[job.id].prefill_engine_id, job.parts
        )

    def _cache_contents(
        self, job_id: int, engine: str, parts
    ) -> placement_codec.CacheContents:
        in_flight_job = self.in_flight.get(job_id)
        if in_flight_job is None:
            return placement_codec.CacheContents(engine, parts)
        reads = (
            in_flight_job.is_prefilling
            and engine == in_flight_job.prefill_engine_id
        )
        return placement_codec.CacheContents(
            engine,
            parts,
            job_id,
            in_flight_job.placed.read_tokens if reads else None,
            in_flight_job.placed.tell_end
            and engine == in_flight_job.placed.run,
        )
