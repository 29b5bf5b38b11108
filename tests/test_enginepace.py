"""Tests of the placement of streams by the pace of engines."""

import random
import types

from hypothesis import given
from hypothesis import strategies
import pytest

from magnoliadyke import clock as clocks
from magnoliadyke.core import catalog
from magnoliadyke.core import enginepace
from magnoliadyke.core import placement
from magnoliadyke.core import position
from magnoliadyke.core import prefillcost
from magnoliadyke.core import promptcache
from magnoliadyke.core import promptjobs
from magnoliadyke.core import routes
from magnoliadyke import errors
from magnoliadyke.gateway import pace_codec
from magnoliadyke.gateway import pacereports
from magnoliadyke.gateway import placement_codec
from magnoliadyke.gateway import placementservice
from magnoliadyke.gateway import promptexchange
from magnoliadyke.wire.placement import ttypes

PAUSE_S = 0.15
TRAITS = routes.EngineTraits(8, 500_000, 1e5, 1e12, 5.0, 3.0)


def new_placement(count=4):
    placer = placement.Placement(TRAITS, random.Random(1))
    placer.set_engines(
        [
            catalog.Endpoint(
                f'd{n}',
                'm',
                f'10.0.0.{n}:1',
                'a',
                8,
                False,
                catalog.Stage.DECODE,
            )
            for n in range(count)
        ]
    )
    return placer


def report(placer, intervals_ms, now_s, longest=1.0):
    placer.record_paces(
        [
            enginepace.PaceSample(engine, 60, ms / 1000, ms * longest / 1000)
            for engine, ms in intervals_ms.items()
        ],
        now_s,
    )


def place(placer, job_id, now_s):
    job = promptjobs.Job(
        job_id,
        (promptcache.PromptPart(job_id, 200),),
        14_000,
        now_s + 0.1,
        now_s + 15,
        'a',
        pause_s=PAUSE_S,
    )
    (decision,) = placer.submit(job, now_s)
    return decision.decode_engine


def test_streams_go_to_engines_that_keep_the_pause():
    """Streams were packed onto an engine that is twice as slow as others."""
    placer = new_placement()
    assert place(placer, 1, 0.0) == 'd0'
    report(placer, {'d0': 62, 'd1': 62, 'd2': 29, 'd3': 30}, 0.1, 2.5)
    chosen = [place(placer, n, 1.0) for n in range(2, 14)]
    assert set(chosen) == {'d2', 'd3'}


def test_streams_stay_packed_on_engines_that_are_alike():
    placer = new_placement()
    report(placer, {'d0': 50, 'd1': 52, 'd2': 48, 'd3': 55}, 0.0)
    chosen = [place(placer, n, 1.0) for n in range(6)]
    assert chosen == ['d0'] * 6


def test_short_answers_of_long_prompts_go_to_slow_engines_too():
    """They queued for the links of the fast engines only."""
    placer = new_placement(2)
    prefill = catalog.Endpoint(
        'p0', 'm', '10.0.1.0:1', 'a', 8, False, catalog.Stage.PREFILL
    )
    engines = placer.pool.engines.values()
    placer.set_engines([prefill, *(e.endpoint for e in engines)])
    report(placer, {'d0': 300, 'd1': 30}, 0.0)
    for number, engine in enumerate(('d0', 'd1')):
        placer.answers.reserve_slot(number, engine, 0, 0.0)
    placer.pool.engines['d1'].transfer_until_s = 1.4
    for tokens, chosen in ((14_000, 'd1'), (2, 'd0')):
        job = promptjobs.Job(
            tokens,
            (promptcache.PromptPart(tokens, 4000),),
            tokens,
            6.0,
            16.0,
            'a',
            pause_s=PAUSE_S,
        )
        (decision,) = placer.submit(job, 1.0)
        assert decision.prefill_engine == 'p0'
        assert decision.decode_engine == chosen
        placer.record_prefill_done(tokens, 'p0', 1.2)


def test_slow_engine_does_not_keep_the_stream_of_its_own_prefill():
    """An idle decode engine that prefilled a prompt also sent the stream."""
    placer = new_placement(2)
    report(placer, {'d0': 300, 'd1': 30}, 0.0)
    parts = (promptcache.PromptPart(1, 4000),)
    placer.pool.caches.use('d0', parts)
    for pause_s, chosen in ((0.0, 'd0'), (PAUSE_S, 'd1')):
        placer.pool.refresh(1.0)
        option = placer.pool.best_option(parts, (), 1.0, pause_s)
        assert option.decode_engine.endpoint.id == chosen


def test_stream_is_not_sent_again_to_the_engine_that_failed_it():
    """The cooldown looked at was that of an engine that was not chosen."""
    placer = new_placement(2)
    report(placer, {'d0': 300, 'd1': 30}, 0.0)
    placer.pool.cool_down('d0', 1.5)
    placer.pool.cool_down('d1', 1.5)
    job = promptjobs.Job(
        1,
        (promptcache.PromptPart(1, 200),),
        14_000,
        1.1,
        16.0,
        'a',
        avoid=('d1',),
        pause_s=PAUSE_S,
    )
    assert placer.submit(job, 1.0) == []


def test_engine_is_used_again_after_a_slow_spell():
    """An engine that is slow by turns was used while it was slow."""
    placer = new_placement(2)
    report(placer, {'d0': 30, 'd1': 50}, 0.0)
    assert place(placer, 1, 0.2) == 'd0'
    report(placer, {'d0': 30}, 0.5, longest=6.0)
    assert place(placer, 2, 0.7) == 'd1'
    report(placer, {'d0': 30, 'd1': 50}, 2.6)
    assert place(placer, 3, 2.9) == 'd0'


def test_slowest_engine_serves_if_no_other_has_room():
    placer = new_placement(2)
    report(placer, {'d0': 300, 'd1': 30}, 0.0)
    chosen = [place(placer, n, 1.0) for n in range(12)]
    assert chosen.count('d1') == 6
    assert chosen.count('d0') == 6


def test_engine_without_reports_is_tried_again():
    """An engine that was slow once would never be used again."""
    paces = enginepace.EnginePaces()
    paces.record(enginepace.PaceSample('slow', 60, 0.3, 0.3), 0.0)
    for at_s in (0.0, 5.5):
        for engine in ('d1', 'd2'):
            paces.record(enginepace.PaceSample(engine, 60, 0.03, 0.03), at_s)
    assert paces.rank('slow', PAUSE_S, 1.0) > enginepace.KEEPS_PAUSE
    assert paces.rank('slow', PAUSE_S, 5.6) <= enginepace.KEEPS_PAUSE


def test_slow_engines_change_to_prefill_first():
    placer = new_placement()
    report(placer, {'d0': 62, 'd1': 29, 'd2': 29, 'd3': 29}, 0.0)
    keys = [placer.pace_sort_key(f'd{n}', 0.2) for n in range(4)]
    assert keys[0] > max(keys[1:])


@given(
    strategies.dictionaries(
        strategies.sampled_from([f'd{n}' for n in range(6)]),
        strategies.floats(0.001, 1.0),
        min_size=1,
    ),
    strategies.floats(0.01, 0.5),
)
def test_best_rank_is_kept_by_some_engine(means_s, pause_s):
    """Ranks never exclude all engines, and a slower engine ranks no better."""
    paces = enginepace.EnginePaces()
    for engine, mean_s in means_s.items():
        paces.record(enginepace.PaceSample(engine, 60, mean_s, mean_s), 0.0)
    ranks = [
        paces.rank(engine, pause_s, 0.2)
        for engine in sorted(means_s, key=means_s.get)
    ]
    assert ranks == sorted(ranks)


@given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(0, 8), strategies.integers(1, 9)
        ),
        min_size=1,
    ),
    strategies.integers(0, 20),
)
def test_longest_interval_is_that_of_the_last_seconds(steps, later):
    paces = enginepace.EnginePaces()
    now, added = 0, []
    for wait, tenths in steps:
        now += wait
        added.append((now, tenths / 10))
        sample = enginepace.PaceSample('d0', 60, 0.1, tenths / 10)
        paces.record(sample, now / 4)
    now += later
    recent = [s for at, s in added if (now - at) / 4 <= 2]
    pace = paces.pace('d0', now / 4)
    assert pace.longest_s == pytest.approx(max([0.1, *recent]))


def test_reports_of_many_hosts_are_not_kept():
    """With 300 hosts, each choice went through all reports of 2 s."""
    paces = enginepace.EnginePaces()
    for number in range(1200):
        sample = enginepace.PaceSample('d0', 9, 0.03, 0.06 + number * 1e-6)
        paces.record(sample, number / 600)
    assert len(paces.estimates['d0'].longest) == 1


@pytest.mark.parametrize('interval_s', [0.001, 0.2])
def test_one_interval_says_nothing_of_an_engine(interval_s):
    """All streams went to an engine that sent two events at once."""
    paces = enginepace.EnginePaces()
    for engine in ('d1', 'd2', 'd3'):
        paces.record(enginepace.PaceSample(engine, 60, 0.05, 0.06), 0.0)
    paces.record(enginepace.PaceSample('d0', 1, interval_s, interval_s), 0.0)
    assert not paces.is_uneven(0.2)
    for engine in ('d4', 'd5'):
        paces.record(enginepace.PaceSample(engine, 60, 0.1, 0.11), 0.3)
    assert paces.is_uneven(0.5)
    assert paces.rank('d1', PAUSE_S, 0.5) == 0
    keeps_pause = paces.rank('d0', PAUSE_S, 0.5) <= enginepace.KEEPS_PAUSE
    assert keeps_pause == (interval_s < PAUSE_S)


def test_mean_of_few_events_is_that_of_all_of_them():
    """A new engine would long be judged by its first interval."""
    paces = enginepace.EnginePaces()
    for number in range(24):
        interval_s = 0.4 if number == 0 else 0.05
        sample = enginepace.PaceSample('d0', 1, interval_s, interval_s)
        paces.record(sample, number / 10)
    mean_s = (0.4 + 23 * 0.05) / 24
    assert paces.pace('d0', 2.4).mean_s == pytest.approx(mean_s)


def test_counter_reports_each_interval_once():
    counter = enginepace.PaceCounter()
    for interval_s in (0.1, 0.2, 0.6):
        counter.add('d0', interval_s)
    (sample,) = counter.take()
    assert sample.events == 3
    assert sample.mean_s == pytest.approx(0.3)
    assert sample.longest_s == 0.6
    assert counter.take() == []


def test_events_at_one_moment_leave_engines_comparable():
    """The choice of engines for a stage change raised ValueError."""
    counter = enginepace.PaceCounter()
    for _ in range(60):
        counter.add('d0', 0.0)
        counter.add('d1', 0.0005025)
    sent = pace_codec.PaceReport('m', tuple(counter.take()))
    received = placement_codec.decode(placement_codec.encode(sent))
    placer = new_placement()
    report(placer, {'d2': 50, 'd3': 50}, 0.0)
    for samples in (counter.take(), received.samples):
        placer.record_paces(samples, 0.0)
    keys = [placer.pace_sort_key(f'd{n}', 0.2) for n in range(4)]
    assert keys[0] < keys[1] < keys[2] == keys[3]


def test_reports_survive_the_wire():
    sent = pace_codec.PaceReport(
        'm', (enginepace.PaceSample('d0', 7, 0.05, 0.2),)
    )
    assert placement_codec.decode(placement_codec.encode(sent)) == sent


@pytest.mark.parametrize(
    'pace',
    [
        ttypes.EnginePace('', 1, 1, 1),
        ttypes.EnginePace('d0', 0, 1, 1),
        ttypes.EnginePace('d0', 1, -1, 1),
        ttypes.EnginePace('d0', 1, 5, 4),
        ttypes.EnginePace('d0', 1, None, 4),
        ttypes.EnginePace('d0', 1, 0, 4),
        ttypes.EnginePace('d0', 1, 5, 20_000_000),
    ],
)
def test_unusable_report_is_refused(pace):
    datagram = ttypes.Datagram(pace_report=ttypes.PaceReport('m', [pace]))
    with pytest.raises(errors.ProtocolError):
        pace_codec.decode(datagram)


def new_service(clock, engines=4):
    known = catalog.Catalog()
    service = routes.Service('m', '/', 8, TRAITS)
    known.configuration = routes.Configuration(
        1, (), {'m': service}, routes.CallerLimits()
    )
    for engine in new_placement(engines).pool.engines.values():
        known.put(engine.endpoint)
    return placementservice.PlacementService(
        '10.1.0.0', 10, known, clock, random.Random(1), 5
    )


def learned(intervals_ms):
    return pace_codec.LearnedPaces(
        'm',
        tuple(
            enginepace.PaceSample(engine, 60, ms / 1000, ms / 1000)
            for engine, ms in intervals_ms.items()
        ),
    )


def follower(clock):
    service = new_service(clock)
    reporter = pacereports.PaceReporter(service, clock)
    service.listeners[pace_codec.LearnedPaces] = reporter.handle_learned
    service.send = lambda address, message: None
    service.follow('10.1.0.1', position.Position(1, 1))
    return service


def test_next_leader_starts_from_what_the_former_one_told():
    """It held all answers for long ones and all engines for equal."""
    clock = clocks.ManualClock()
    service = follower(clock)
    costs = prefillcost.CostCoefficients(0.04, 0.009, 0.0002, 2.5)
    for message in (
        placement_codec.CostUpdate('m', costs, 0.0002),
        learned({'d0': 300, 'd1': 30, 'd2': 30, 'd3': 30}),
        learned({'d1': 30})._replace(service='unknown'),
    ):
        sent = placement_codec.decode(placement_codec.encode(message))
        service._receive(sent, '10.1.0.1')
    clock.advance(3.0)
    service.lead()
    placer = service._pool(service.served, 'm').placement
    assert placer.answers.output_s == pytest.approx(0.0002)
    assert place(placer, 1, clock.now_s()) == 'd1'
    assert list(service.learned_paces) == ['m']


def test_host_that_places_alone_again_uses_what_the_leader_told():
    """Only its first time without a leader began with these paces."""
    clock = clocks.ManualClock()
    service = follower(clock)
    placer = service._pool(service.local, 'm').placement
    clock.advance(60.0)
    *slow, fast = placer.pool.engines
    service._receive(
        learned({fast: 30, **dict.fromkeys(slow, 300)}), '10.1.0.1'
    )
    clock.advance(8.0)
    service.record_silence('10.1.0.1')
    assert place(placer, 1, clock.now_s()) == fast


def test_leader_tells_of_each_engine_while_it_is_remembered():
    """Of 450 engines a new leader knew the paces of half."""
    clock = clocks.ManualClock()
    service = new_service(clock, 450)
    service.lead()
    paces = service._pool(service.served, 'm').placement.pool.paces
    told = set()
    reporter = pacereports.PaceReporter(service, clock)
    reporter.broadcast = lambda m: told.update(e.engine for e in m.samples)
    round_s = pacereports.REPORT_INTERVAL_S * pacereports.TELL_INTERVALS
    for _ in range(int(placementservice.PACE_RETENTION_S / round_s)):
        clock.advance(round_s)
        for n in range(450):
            sample = enginepace.PaceSample(f'd{n}', 60, 0.03 + n / 1e4, 1.0)
            paces.record(sample, clock.now_s())
        reporter._tell()
    assert len(told) == 450


class StopRounds(Exception):
    pass


def test_host_that_was_suspended_reports_no_intervals_of_that_time():
    """All engines that it used looked slow to the leader for 2 s."""
    clock = clocks.ManualClock()
    delays_s = [0.5, 4.0]

    def sleep(_):
        if not delays_s:
            raise StopRounds
        reporter.add('m', 'd0', delays_s[0])
        clock.advance(delays_s.pop(0))

    service = follower(clock)
    sent = []
    service.send = lambda address, message: sent.append(message)
    reporter = pacereports.PaceReporter(service, clock)
    clock.sleep = sleep
    with pytest.raises(StopRounds):
        reporter._run()
    assert [e.longest_s for m in sent for e in m.samples] == [0.5]
    assert reporter.counts == {'sent': 1, 'dropped': 1}


@pytest.mark.parametrize('send_s', [0.0, 0.3])
def test_slow_caller_does_not_make_its_engine_look_slow(send_s):
    """The time for which the caller read nothing counted as the engine's."""
    clock = clocks.ManualClock()
    counter = enginepace.PaceCounter()
    paces = types.SimpleNamespace(add=lambda _, *args: counter.add(*args))
    caller = types.SimpleNamespace(chunk=lambda data: clock.advance(send_s))
    relay = object.__new__(promptexchange.PromptExchange)
    relay.parts = types.SimpleNamespace(clock=clock, paces=paces)
    relay.caller, relay.service = caller, 'm'
    engine = new_placement(1).pool.engines['d0'].endpoint
    event_s = None
    for _ in range(2):
        clock.advance(0.05)
        event_s = relay._count_interval(engine, event_s)
        event_s = relay._pass_on(b'data: x', event_s)
    assert len(counter.take()) == (0 if send_s else 1)
