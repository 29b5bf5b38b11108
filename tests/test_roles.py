"""Tests of the planner of roles."""

from hypothesis import given
from hypothesis import strategies

from magnoliadyke.core import roles
from magnoliadyke.core import scheduler


def demand(prefill, decode):
    return scheduler.Demand(prefill, decode, 0, 0.0, 0.0, 0)


def pool(prefills, decodes, now_s, **fields):
    engines = [
        roles.EngineView(
            f'e{number}',
            roles.PREFILL if number < prefills else roles.DECODE,
            load=number,
            reported_at_s=now_s,
        )
        for number in range(prefills + decodes)
    ]
    return roles.PoolState(tuple(engines), **fields)


def planner_after(prefill, decode, seconds=60):
    planner = roles.Planner()
    for now_s in range(seconds):
        planner.observe(demand(prefill, decode), float(now_s))
    return planner


def test_shortage_of_prefill_gives_it_the_least_loaded_engine():
    planner = planner_after(3.2, 0.7)
    change = planner.plan(pool(2, 3, 60.0), 60.0)
    assert (change.endpoint, change.role) == ('e2', roles.PREFILL)


def test_shortage_of_decode_gives_it_one():
    planner = planner_after(0.7, 3.2)
    assert planner.plan(pool(3, 2, 60.0), 60.0).role == roles.DECODE


def test_a_split_that_fits_is_kept():
    planner = planner_after(1.6, 2.4)
    assert planner.plan(pool(2, 3, 60.0), 60.0) is None
    assert planner.reason == 'no change pays for itself'


def test_a_high_price_keeps_the_split():
    planner = planner_after(3.2, 0.7)
    state = pool(2, 3, 60.0, price_tokens=1e9)
    assert planner.plan(state, 60.0) is None


def test_nothing_is_planned_on_old_reports():
    """Reports stop while the demand asks for a change.

    The planner would count engines that may have crashed or changed since,
    and go on changing roles on the strength of old news.  It stops, names
    the reason, and goes on with the first fresh report.
    """
    planner = planner_after(3.2, 0.7)
    assert planner.plan(pool(2, 3, 10.0), 60.0) is None
    assert 'not reported' in planner.reason
    assert planner.plan(pool(2, 3, 60.0), 60.0) is not None


def test_nothing_is_planned_during_a_change_or_by_hand():
    planner = planner_after(3.2, 0.7)
    state = pool(2, 3, 60.0)
    changing = state.engines[4]._replace(state='changing')
    state = state._replace(engines=(*state.engines[:4], changing))
    assert planner.plan(state, 60.0) is None
    assert planner.plan(pool(2, 3, 60.0, planning='fixed'), 60.0) is None


def test_an_engine_that_changed_rests():
    planner = planner_after(3.2, 0.7)
    planner.plan(pool(1, 3, 60.0), 60.0)
    state = pool(4, 0, 60.0, dwell_s=100.0, min_decode=0)
    for now_s in range(61, 100):
        planner.observe(demand(0.0, 3.0), float(now_s))
    change = planner.plan(state, 99.0)
    assert change is None or change.endpoint == 'e0'


def test_a_role_whose_engines_are_lost_is_given_one():
    """The only prefill engine crashes while decode has three.

    Prompts wait, though the demand was planned for one prefill engine.  The
    planner gives the role another engine at once, at any price.
    """
    planner = planner_after(0.5, 2.5)
    state = pool(1, 3, 60.0, price_tokens=1e9)
    lost = state.engines[0]._replace(state='crashed')
    state = state._replace(engines=(lost, *state.engines[1:]))
    change = planner.plan(state, 60.0)
    assert (change.endpoint, change.role) == ('e1', roles.PREFILL)


@given(
    prefill=strategies.floats(0, 8),
    decode=strategies.floats(0, 8),
    prefills=strategies.integers(0, 5),
    decodes=strategies.integers(0, 5),
    min_prefill=strategies.integers(0, 3),
    min_decode=strategies.integers(0, 3),
)
def test_no_role_falls_under_its_minimum(
    prefill, decode, prefills, decodes, min_prefill, min_decode
):
    planner = planner_after(prefill, decode, 20)
    minima = {'min_prefill': min_prefill, 'min_decode': min_decode}
    state = pool(prefills, decodes, 20.0, **minima)
    change = planner.plan(state, 20.0)
    if change is not None and change.role == roles.PREFILL:
        assert decodes - 1 >= min_decode
    if change is not None and change.role == roles.DECODE:
        assert prefills - 1 >= min_prefill
