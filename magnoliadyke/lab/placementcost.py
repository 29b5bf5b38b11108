"""CPU cost of the placement of one request at several numbers of engines."""

import collections
import random
import time
from typing import NamedTuple

from magnoliadyke.core import catalog
from magnoliadyke.core import placement
from magnoliadyke.core import promptcache
from magnoliadyke.core import promptjobs
from magnoliadyke.core import routes

__all__ = ['PROMPT', 'STREAM', 'Load', 'engine_id', 'mean_us']

TRAITS = routes.EngineTraits(24, 500_000, 1.6e5, 1e10, 5.0, 3.0)
#: Requests that are measured at each size, after as many as are in progress
#: at a time.
MEASURED = 400
#: Interval at which the engines' paces are recorded, in seconds.
PACE_INTERVAL_S = 0.5


class Load(NamedTuple):
    """Requests of one kind; their rate is proportional to the engines.

    :param parts: lengths of a prompt's parts, in tokens
    :param output_tokens: length of the answer
    :param took_s: time from placement to the end, of the prefill too where
        another engine does it, in seconds
    :param per_engine: requests in progress, for each engine
    """

    parts: tuple[int, ...]
    output_tokens: int
    took_s: float
    per_engine: float


PROMPT = Load((2500, 3800, 2900), 2, 0.1, 0.25)
STREAM = Load((220,), 6000, 3.0, 2.0)


def engine_id(number):
    """Return an engine's id; every second engine decodes."""
    return f'engine-{number:05}'


def new_placement(size):
    """Return the placement of a service with ``size`` engines."""
    placer = placement.Placement(TRAITS, random.Random(1))
    placer.set_engines(
        [
            catalog.Endpoint(
                engine_id(number),
                'model',
                f'10.1.{number // 250}.{number % 250 + 1}:8000',
                f'domain-{number // 2 % 5}',
                TRAITS.slots,
                False,
                catalog.Stage.DECODE if number % 2 else catalog.Stage.PREFILL,
            )
            for number in range(size)
        ]
    )
    return placer


def mean_us(size, load, record_paces=None, **job_fields):
    """Return the mean CPU time of placing and ending a request.

    :param size: number of engines
    :param load: :class:`Load`
    :param record_paces: called at intervals with the placement and the time,
        not measured; None to record no paces
    :param job_fields: further fields of each job
    :return: microseconds
    """
    placer = new_placement(size)
    in_progress = int(load.per_engine * size) + 1
    step_s = load.took_s / in_progress
    ends = collections.deque()
    spent_s = paces_s = 0.0
    for number in range(in_progress + MEASURED):
        now_s = number * step_s
        if record_paces is not None and now_s >= paces_s:
            paces_s = now_s + PACE_INTERVAL_S
            record_paces(placer, now_s)
        job = make_job(number, load, now_s, job_fields)
        start_s = time.process_time()
        run_request(placer, job, load, ends, now_s)
        if number >= in_progress:
            spent_s += time.process_time() - start_s
    return 1e6 * spent_s / MEASURED


def make_job(number, load, now_s, fields):
    """Return a job whose prompt starts with parts that others have too."""
    names = (number % 4, 100 + number % 40, 1000 + number)
    parts = zip(names[-len(load.parts) :], load.parts, strict=True)
    return promptjobs.Job(
        number,
        tuple(promptcache.PromptPart(*each) for each in parts),
        load.output_tokens,
        now_s + 0.4,
        now_s + 15.0,
        'domain-0',
        **fields,
    )


def run_request(placer, job, load, ends, now_s):
    """Submit a job, and record the events that are due by now.

    :param ends: events to come: time, job id, and the prefill engine if it
        is the end of a prefill
    """
    while ends and ends[0][0] <= now_s:
        at_s, job_id, prefill_engine = ends.popleft()
        if prefill_engine is not None:
            handle(
                placer.record_prefill_done(job_id, prefill_engine, at_s),
                load, ends, at_s,
            )  # fmt: skip
        handle(placer.record_end(job_id, at_s), load, ends, at_s)
    handle(placer.submit(job, now_s), load, ends, now_s)


def handle(decisions, load, ends, now_s):
    """Schedule the end of each job that is placed."""
    for decision in decisions:
        if isinstance(decision, promptjobs.Placed):
            ends.append(
                (now_s + load.took_s, decision.job, decision.prefill_engine)
            )
