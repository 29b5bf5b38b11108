"""Tests of the placement of streams by the pace of engines."""

import random

from hypothesis import given
from hypothesis import strategies
import pytest

from magnoliadyke.core import catalog
from magnoliadyke.core import enginepace
from magnoliadyke.core import placement
from magnoliadyke.core import promptcache
from magnoliadyke.core import promptjobs
from magnoliadyke.core import routes
from magnoliadyke import errors
from magnoliadyke.gateway import pace_codec
from magnoliadyke.gateway import placement_codec
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
            strategies.sampled_from([0.0, 0.1, 0.5, 1.5, 2.5]),
            strategies.floats(0.0, 1.0),
        ),
        min_size=1,
    ),
    strategies.sampled_from([0.0, 0.1, 1.0, 2.0, 3.0]),
)
def test_longest_interval_is_that_of_all_recent_samples(samples, age_s):
    """A long interval was dropped while it was still to count."""
    paces = enginepace.EnginePaces()
    now_s = 0.0
    recorded = []
    for gap_s, longest_s in samples:
        now_s += gap_s
        paces.record(enginepace.PaceSample('d0', 1, 0.0, longest_s), now_s)
        recorded.append((now_s, longest_s))
    now_s += age_s
    recent = [
        each_s
        for at_s, each_s in recorded
        if now_s - at_s <= enginepace.LONGEST_WINDOW_S
    ]
    expected_s = max(recent, default=0.0)
    assert paces.pace('d0', now_s).longest_s == expected_s


def test_counter_reports_each_interval_once():
    counter = enginepace.PaceCounter()
    for interval_s in (0.1, 0.2, 0.6):
        counter.add('d0', interval_s)
    (sample,) = counter.take()
    assert sample.events == 3
    assert sample.mean_s == pytest.approx(0.3)
    assert sample.longest_s == 0.6
    assert counter.take() == []


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
    ],
)
def test_unusable_report_is_refused(pace):
    datagram = ttypes.Datagram(pace_report=ttypes.PaceReport('m', [pace]))
    with pytest.raises(errors.ProtocolError):
        pace_codec.decode(datagram)
