"""Tests of the policies to compare with."""

from magnoliadyke.core import roles
from magnoliadyke.core import scheduler
from magnoliadyke.lab import baselines
from magnoliadyke.lab import traces
from magnoliadyke.lab import trial

DALA = traces.DEPLOYMENTS['dala']
SETTINGS = trial.planner_settings()


def pool(prefills, decodes):
    engines = [
        roles.EngineView(
            f'e{number}',
            roles.PREFILL if number < prefills else roles.DECODE,
        )
        for number in range(prefills + decodes)
    ]
    return roles.PoolState(tuple(engines))


def demand(prefill, decode):
    return scheduler.Demand(prefill, decode, 0, 0.0, 0.0, 0)


def plan(requests, price_tokens):
    return baselines.hindsight_plan(
        requests, requests[-1].at_s, DALA.engines, price_tokens, SETTINGS
    )


def test_hindsight_changes_with_the_step_and_not_at_any_price():
    shape = traces.Shape('step', period_s=120.0, duration_s=240.0)
    requests = traces.generate(DALA, shape, 1)
    _, changes, dear = plan(requests, 1e9)
    assert changes == []
    _, changes, cheap = plan(requests, 500.0)
    assert changes
    assert cheap > dear


def test_greedy_follows_at_once_and_hysteresis_waits():
    greedy = baselines.Greedy()
    hysteresis = baselines.Hysteresis()
    for now_s in range(20):
        greedy.observe(demand(3.0, 1.0), float(now_s))
        hysteresis.observe(demand(3.0, 1.0), float(now_s))
    assert greedy.plan(pool(2, 3), 20.0).role == roles.PREFILL
    assert hysteresis.plan(pool(2, 3), 20.0) is None
    assert hysteresis.plan(pool(2, 3), 31.0).role == roles.PREFILL


def test_schedule_goes_one_engine_at_a_time():
    schedule = baselines.Schedule([baselines.Change(10.0, 4)])
    assert schedule.plan(pool(2, 3), 5.0) is None
    assert schedule.plan(pool(2, 3), 10.0).role == roles.PREFILL
    assert schedule.plan(pool(4, 1), 10.0) is None
