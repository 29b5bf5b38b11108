"""Choice of the engine that a stream migrates to on a role change."""

from collections.abc import Mapping
from typing import Any

from magnoliadyke.core import routing

__all__ = ['choose_target']


def choose_target(
    runs: Mapping[str, Any],
    pools: Mapping[str, Any],
    job_id: str,
    now_s: float,
) -> str:
    """Return the name of the engine with the smallest decode load.

    Engines with the decode role come first; ``''`` if no other engine
    accepts requests. Credits are not required: a stream that waited for
    credits would pause, which the migration is meant to avoid.

    :param runs: :class:`magnoliadyke.core.runs.Run` by job id
    :param pools: :class:`magnoliadyke.core.pools.PoolQueue` by pool name
    :param job_id: id of the job whose stream migrates
    """
    run = runs.get(job_id)
    if run is None or run.stream_at is None:
        return ''
    members = pools[run.job.pool].endpoints.members
    able = [
        each
        for each in members
        if each is not run.stream_at and each.takes_work(now_s)
    ]
    decoding = [each for each in able if each.role == routing.DECODE]
    best = min(
        decoding or able,
        key=lambda each: (each.load.streams.total(), each.name),
        default=None,
    )
    return best.name if best is not None else ''
