"""Where a stream goes on when its engine is to change its role."""

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
    """Return the engine that decodes least, '' if no other takes work.

    Credits are not asked for: a stream that waited for them would stand
    still, which is what moving it is to prevent.

    :param runs: job id to :class:`magnoliadyke.core.runs.Run`
    :param pools: pool name to :class:`magnoliadyke.core.pools.PoolQueue`
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
