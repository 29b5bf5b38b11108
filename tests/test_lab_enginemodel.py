"""Tests of the engine's step model."""

from magnoliadyke.lab import enginemodel

SPEC = enginemodel.EngineSpec()


def run(engine, until_s):
    """Advance event by event and return all events."""
    events = []
    while (
        engine.next_event_s() is not None and engine.next_event_s() <= until_s
    ):
        events += engine.advance(engine.next_event_s())
    return events + engine.advance(until_s)


def of_kind(events, kind):
    return [event for event in events if isinstance(event, kind)]


def work(name, kind='both', prompt=1000, output=10, **fields):
    return enginemodel.Work(name, kind, prompt, output, **fields)


def test_both_reads_then_decodes():
    engine = enginemodel.EngineModel(SPEC, 'decode', report_tokens=True)
    engine.submit(work('a'), 0.0)
    events = run(engine, 10.0)
    indexes = [e.index for e in of_kind(events, enginemodel.Token)]
    assert indexes == list(range(10))
    assert isinstance(events[0], enginemodel.PrefillDone)
    assert isinstance(events[-1], enginemodel.Finished)
    assert engine.kv_used_tokens == 0
    assert engine.waiting_prompt_tokens == 0


def test_spans_end_when_single_steps_do():
    ends = []
    for report_tokens in (True, False):
        engine = enginemodel.EngineModel(SPEC, 'decode', report_tokens)
        for number in range(20):
            run(engine, number * 0.13)
            item = work(f'j{number}', prompt=50 * number, output=5 + number)
            engine.submit(item, number * 0.13)
        events = run(engine, 60.0)
        finished = of_kind(events, enginemodel.Finished)
        ends.append({e.id: round(e.at_s, 6) for e in finished})
    assert ends[0] == ends[1]


def test_roles_differ_in_speed():
    ends = {}
    for role in ('prefill', 'decode'):
        for kind in ('prefill', 'decode'):
            engine = enginemodel.EngineModel(SPEC, role)
            engine.submit(work('a', kind, 5000, 100), 0.0)
            ends[role, kind] = run(engine, 60.0)[-1].at_s
    assert ends['prefill', 'prefill'] < ends['decode', 'prefill']
    assert ends['decode', 'decode'] < ends['prefill', 'decode']


def test_role_change_freezes_and_goes_on():
    engine = enginemodel.EngineModel(SPEC, 'decode')
    engine.submit(work('a', output=50), 0.0)
    run(engine, 1.0)
    engine.set_role('prefill', 1.0)
    assert engine.report(1.0).state == 'changing'
    events = run(engine, 30.0)
    assert isinstance(events[0], enginemodel.RoleChanged)
    assert isinstance(events[-1], enginemodel.Finished)


def test_prefix_cache_is_bounded_by_memory():
    spec = SPEC._replace(kv_capacity_tokens=4096)
    engine = enginemodel.EngineModel(spec, 'prefill')
    blocks = tuple(f'p{n}' for n in range(16))
    engine.submit(work('a', 'prefill', 1200, prefix_blocks=blocks), 0.0)
    run(engine, 5.0)
    engine.submit(work('b', 'prefill', 1200, prefix_blocks=blocks), 5.0)
    events = run(engine, 10.0)
    assert events[0].cached_tokens == 16 * enginemodel.BLOCK_TOKENS
    engine.submit(work('c', 'prefill', 4000), 10.0)
    events = run(engine, 20.0)
    assert of_kind(events, enginemodel.CacheEvicted)


def test_urgent_prompt_overtakes_between_chunks():
    engine = enginemodel.EngineModel(SPEC, 'prefill')
    engine.submit(work('long', 'prefill', 20000), 0.0)
    run(engine, 0.5)
    engine.submit(work('urgent', 'prefill', 100, priority=0), 0.5)
    done = of_kind(run(engine, 30.0), enginemodel.PrefillDone)
    assert [event.id for event in done] == ['urgent', 'long']


def test_full_memory_blocks_no_opened_prompt():
    spec = SPEC._replace(kv_capacity_tokens=6000)
    engine = enginemodel.EngineModel(spec, 'prefill')
    engine.submit(work('a', 'prefill', 5000), 0.0)
    run(engine, 0.1)
    engine.submit(work('b', 'prefill', 5000, priority=0), 0.1)
    done = of_kind(run(engine, 30.0), enginemodel.PrefillDone)
    assert [event.id for event in done] == ['a', 'b']


def test_crash_loses_work_and_cancel_frees_memory():
    engine = enginemodel.EngineModel(SPEC, 'decode')
    engine.submit(work('a', output=500), 0.0)
    engine.submit(work('b', output=500), 0.0)
    run(engine, 3.0)
    assert 0 < engine.cancel('a', 3.0) < 500
    assert engine.kv_used_tokens == 1500
    assert engine.crash(4.0) == ['b']
    assert run(engine, 9.0) == []
    assert engine.report(9.0).running == 0
