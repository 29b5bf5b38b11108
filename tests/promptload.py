"""Plays prompts to the placement on a paused clock, with engines that read
one prompt after another at a fixed rate."""

import heapq
import itertools
import random
from typing import NamedTuple

from magnoliadyke.core import catalog
from magnoliadyke.core import endpointlimits
from magnoliadyke.core import placement
from magnoliadyke.core import promptcache
from magnoliadyke.core import promptjobs
from magnoliadyke.core import routes

TRAITS = routes.EngineTraits(
    slots=16,
    cache_tokens=1_000_000,
    bytes_per_token=160_000.0,
    link_bits_s=1e13,
    handle_ttl_s=5.0,
    stage_change_s=3.0,
)
TOKENS_S = 400_000.0
LATENCY_S = 0.006
HOP_S = 0.001


class Result(NamedTuple):
    """What callers got.

    :param in_time: prompts read by their objective
    :param late: read later
    :param refused: told to come back
    :param held_s: longest time before a refusal
    :param retry_s: what refused callers were told
    """

    in_time: int
    late: int
    refused: int
    held_s: float
    retry_s: list

    @property
    def asked(self):
        return self.in_time + self.late + self.refused


def engine(name, stage=catalog.Stage.PREFILL, domain='z1', slots=16):
    return catalog.Endpoint(
        name, 'model', f'{name}:1', domain, slots, False, stage
    )


def fleet(prefill=2, decode=2):
    reading = [engine(f'p{n}') for n in range(prefill)]
    answering = [engine(f'd{n}', catalog.Stage.DECODE) for n in range(decode)]
    return reading + answering


class Play:
    """One run of a load.

    :param rates: prompts a second, by second
    :param speed: share of the usual rate, by engine
    :param limits: rate limits that engines have named, by engine
    """

    def __init__(
        self,
        rates,
        engines=None,
        speed=None,
        subjects=200,
        settings=None,
        objective_s=0.15,
        deadline_s=2.0,
        seed=1,
        limits=None,
    ):
        self.rng = random.Random(seed)
        named = endpointlimits.NamedLimits()
        for name, rate_s in (limits or {}).items():
            said = endpointlimits.Statement(rate_s, 0.0, 0.0)
            named.record(name, said)
        pacer = endpointlimits.Pacer(named, endpointlimits.TOLERANCE_S)
        self.core = placement.Placement(
            TRAITS, self.rng, settings, pacer=pacer
        )
        self.core.set_engines(engines or fleet())
        self.rates = rates
        self.speed = speed or {}
        self.subjects = subjects
        self.objective_s = objective_s
        self.deadline_s = deadline_s
        self.events = []
        self.order = itertools.count()
        self.free_s = {}
        self.jobs = {}
        self.done = {}
        self.refused = {}
        self.placed = {}
        self.now_s = 0.0
        self.waking = False

    def at(self, when_s, what, *details):
        heapq.heappush(self.events, (when_s, next(self.order), what, details))

    def job(self, number, now_s):
        subject = self.rng.randrange(self.subjects)
        parts = (
            promptcache.PromptPart(subject % 4, 2500),
            promptcache.PromptPart(1000 + subject, 3800),
            promptcache.PromptPart(100_000 + number, 2900),
        )
        return promptjobs.Job(
            number,
            parts,
            2,
            now_s + self.objective_s,
            now_s + self.deadline_s,
            'z1',
        )

    def run(self):
        number = 0
        for second, rate in enumerate(self.rates):
            for _ in range(rate):
                number += 1
                self.at(second + self.rng.random(), 'arrive', number)
        while self.events:
            self.now_s, _, what, details = heapq.heappop(self.events)
            getattr(self, what)(*details)
        return self.result()

    def arrive(self, number):
        job = self.jobs[number] = self.job(number, self.now_s)
        self.take(self.core.submit(job, self.now_s))

    def wake(self):
        self.waking = False
        self.take(self.core.place_queued(self.now_s))

    def read(self, number, engine_id):
        self.done.setdefault(number, self.now_s)
        self.take(self.core.record_prefill_done(number, engine_id, self.now_s))

    def take(self, decisions):
        for decision in decisions:
            match decision:
                case promptjobs.Refused(job):
                    self.refused[job] = (self.now_s, decision)
                case promptjobs.Placed(job):
                    self.send(job, decision)
        wake_s = self.core.wake_s(self.now_s)
        if wake_s is not None and not self.waking:
            self.waking = True
            self.at(wake_s, 'wake')

    def send(self, number, placed):
        self.placed[number] = placed
        reader = placed.prefill_engine or placed.decode_engine
        rate = TOKENS_S * self.speed.get(reader, 1.0)
        if placed.prefill_engine is None:
            rate /= 2
        start_s = max(self.free_s.get(reader, 0.0), self.now_s + HOP_S)
        ends_s = start_s + placed.prefill_tokens / rate
        self.free_s[reader] = ends_s
        self.at(ends_s + LATENCY_S + 2 * HOP_S, 'read', number, reader)

    def result(self):
        in_time = late = 0
        for number, done_s in self.done.items():
            if done_s <= self.jobs[number].objective_s:
                in_time += 1
            else:
                late += 1
        held_s = 0.0
        retry_s = []
        for number, (when_s, refused) in self.refused.items():
            came_s = self.jobs[number].objective_s - self.objective_s
            held_s = max(held_s, when_s - came_s)
            retry_s.append(refused.retry_after_s)
        return Result(in_time, late, len(self.refused), held_s, retry_s)
