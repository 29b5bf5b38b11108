"""Tracks this host's jobs at engines, to inform a new placement leader.

A new leader has no record of the engines' cache contents and load.  For
seconds it would send prompts to engines that do not cache them, to engines
that are still busy with prefills of the previous leader, and into decode slots
that are in use.  So each host sends its own jobs to a new leader.
"""

import collections
import dataclasses
from typing import NamedTuple

from magnoliadyke.core import promptjobs
from magnoliadyke.gateway import placement_codec

__all__ = ['InFlightJobs']

#: Prompts placed within this time, in seconds, are sent to a new leader:
#: engines are likely to still cache them.
IN_FLIGHT_RETENTION_S = 6.0
#: Maximum number of placed prompts kept for a new leader.
MAX_IN_FLIGHT = 400


@dataclasses.dataclass(slots=True)
class _InFlightJob:
    """A job that engines still work on.

    :ivar is_prefilling: whether the prompt is long enough to be tracked and
        the end of its prefill was not recorded
    """

    service: str
    placed: promptjobs.Placed
    is_prefilling: bool

    @property
    def prefill_engine_id(self) -> str:
        """Id of the engine that prefills the prompt."""
        return self.placed.prefill_engine or self.placed.decode_engine


class _SentPrompt(NamedTuple):
    """A prompt that was sent to an engine."""

    at_s: float
    service: str
    job: promptjobs.Job
    engine: str


class InFlightJobs:
    """The jobs of this host that were placed recently.

    :ivar in_flight: jobs that engines still work on, by job id
    :ivar sent_prompts: the latest prompts that were sent to engines
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
        """Record that a job was placed.

        :param short: whether its prompt is too short to be tracked
        """
        self.in_flight[job.id] = _InFlightJob(service, placed, not short)
        for engine in {
            placed.prefill_engine or placed.decode_engine,
            placed.decode_engine,
        }:
            self.sent_prompts.append(_SentPrompt(now_s, service, job, engine))

    def record_prefill_done(self, job_id: int) -> None:
        """Record that a job's prefill is done, or was abandoned."""
        in_flight_job = self.in_flight.get(job_id)
        if in_flight_job is not None:
            in_flight_job.is_prefilling = False

    def record_continuation(
        self, job: promptjobs.Job, engine: str
    ) -> placement_codec.CacheContents:
        """Record that a job's answer goes on at another engine.

        :returns: the cache contents of that engine
        """
        in_flight_job = self.in_flight[job.id]
        in_flight_job.is_prefilling = False
        in_flight_job.placed = in_flight_job.placed._replace(
            decode_engine=engine
        )
        return self._cache_contents(job.id, engine, job.parts)

    def record_end(self, job_id: int) -> None:
        """Record that no engine works on a job any longer."""
        self.in_flight.pop(job_id, None)

    def cache_contents(
        self, now_s: float
    ) -> dict[str, tuple[placement_codec.CacheContents, ...]]:
        """Return the cache contents to send to a new leader, by service."""
        found_contents: dict[str, list[placement_codec.CacheContents]] = {}
        recent = set()
        for at_s, service, job, engine in self.sent_prompts:
            if at_s < now_s - IN_FLIGHT_RETENTION_S:
                continue
            recent.add((job.id, engine))
            contents = self._cache_contents(job.id, engine, job.parts)
            found_contents.setdefault(service, []).append(contents)
        for job_id, in_flight_job in self.in_flight.items():
            engine = in_flight_job.placed.decode_engine
            if (
                in_flight_job.placed.report_end
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
        """Return the cache contents that a job adds at its prefill engine."""
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
            in_flight_job.placed.prefill_tokens if reads else None,
            in_flight_job.placed.report_end
            and engine == in_flight_job.placed.decode_engine,
        )
