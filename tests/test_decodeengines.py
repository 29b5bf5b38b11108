"""Tests of the choice of a decode engine, against the order it is to have."""

import types

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from magnoliadyke.core import catalog
from magnoliadyke.core import decodeengines
from magnoliadyke.core import endpointlimits
from magnoliadyke.core import enginemodel
from magnoliadyke.core import enginepace
from magnoliadyke.core import prefillcost

NOW_S = 10.0
PAUSE_S = 0.15

ENGINES = strategies.lists(
    strategies.fixed_dictionaries(
        {
            'stage': strategies.sampled_from(
                [catalog.Stage.DECODE] * 3 + [catalog.Stage.PREFILL]
            ),
            'version': strategies.sampled_from(['a', 'a', 'b']),
            'runs': strategies.integers(0, 4),
            'slots': strategies.sampled_from([1, 3, 5]),
            'slowness': strategies.sampled_from([1.0, 1.9, 1.9, 3.0]),
            'failures': strategies.integers(0, 2),
            'cooldown_until_s': strategies.sampled_from([0.0, 0.0, 11.0]),
            'probe_until_s': strategies.sampled_from([0.0, 11.0]),
            'interval_s': strategies.sampled_from(
                [None, 0.03, 0.05, 0.05, 0.2]
            ),
            'reported_s': strategies.sampled_from([1.0, 9.0, 9.0, 9.0]),
            'limit_s': strategies.sampled_from([None] * 7 + [5.0]),
        }
    ),
    max_size=8,
)


def build(drawn):
    """Return decode engines in the states that were drawn."""
    named = endpointlimits.NamedLimits()
    pacer = endpointlimits.Pacer(named, endpointlimits.TOLERANCE_S)
    paces = enginepace.EnginePaces()
    engines = {}
    for number, state in enumerate(drawn):
        name = f'd{number}'
        engine = enginemodel.EngineModel(
            catalog.Endpoint(
                name, 'm', f'10.0.0.{number}:1', 'a', state['slots'], False,
                state['stage'], version=state['version'],
            ),
            prefillcost.FittedCost(),
        )  # fmt: skip
        engine.runs = set(range(state['runs']))
        engine.slowness_fit = types.SimpleNamespace(ratio=state['slowness'])
        engine.failures = state['failures']
        engine.cooldown_until_s = state['cooldown_until_s']
        engine.probe_until_s = state['probe_until_s']
        engines[name] = engine
        if state['limit_s'] is not None:
            statement = endpointlimits.Statement(state['limit_s'], 1.0, 1.0)
            named.record(name, statement)
    for name, state in sorted(
        zip(engines, drawn, strict=True), key=lambda e: e[1]['reported_s']
    ):
        if state['interval_s'] is not None:
            each_s = state['interval_s']
            paces.record(
                enginepace.PaceSample(name, 60, each_s, each_s),
                state['reported_s'],
            )
    found = decodeengines.DecodeEngines(engines, pacer, paces)
    found.refresh()
    return found


def expected_order(found, engine, pause_s):
    rank = 0
    if pause_s:
        rank = expected_rank(found.paces, engine.endpoint.id, pause_s)
    slow = engine.slowness > decodeengines.SLOW_FACTOR
    runs = len(engine.runs)
    if not decodeengines.has_long_slot(engine):
        return (True, rank, slow, runs)
    return (False, rank, slow, -runs)


def expected_rank(paces, engine, pause_s):
    if not paces.is_uneven(NOW_S):
        return 0
    pace = paces.pace(engine, NOW_S)
    limit_s = pause_s * enginepace.PAUSE_SHARE
    if pace.longest_s > limit_s:
        excess = int(pace.mean_s / limit_s * 4)
        return enginepace.KEEPS_PAUSE + 1 + excess
    fastest_s = min(
        known.mean_s
        for known in paces.estimates.values()
        if NOW_S - known.updated_s <= enginepace.MAX_AGE_S
    )
    return int(pace.mean_s > fastest_s * (1 + enginepace.TOLERANCE))


def expected_class(engine, avoid):
    cooling_down = engine.cooldown_until_s > NOW_S
    down = engine.failures >= decodeengines.DOWN_FAILURES
    if down and (cooling_down or engine.probe_until_s > NOW_S):
        return 3
    if cooling_down:
        return 2
    return 1 if engine.endpoint.id in avoid else 0


@settings(max_examples=400)
@given(
    ENGINES,
    strategies.sampled_from([(), ('d0',), ('d0', 'd1')]),
    strategies.sampled_from([None, 'a']),
    strategies.sampled_from([0.0, PAUSE_S, PAUSE_S]),
)
def test_first_engine_of_the_least_order_is_chosen(
    drawn, avoid, version, pause_s
):
    """A faster choice took an engine other than the first of the order."""
    found = build(drawn)
    usable = [
        engine
        for engine in found.engines.values()
        if engine.endpoint.stage is catalog.Stage.DECODE
        and (version is None or engine.endpoint.version == version)
    ]
    classes = [expected_class(each, avoid) for each in usable]
    available = [
        engine
        for engine, each in zip(usable, classes, strict=True)
        if each == min(classes)
        and not found.pacer.wait_s(engine.endpoint.id, NOW_S)
    ]
    assert found.available(avoid, NOW_S, version) == available
    assert found.choose_for_short_prompt(
        avoid, NOW_S, version, pause_s
    ) is min(
        available,
        key=lambda engine: expected_order(found, engine, pause_s),
        default=None,
    )
