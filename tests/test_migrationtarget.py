"""Tests of the choice of a migration target, with reduced pools and runs."""

import types

from magnoliadyke.core import migrationtarget


def engine(name, role, streams, takes_work=True):
    total = types.SimpleNamespace(total=lambda: streams)
    return types.SimpleNamespace(
        name=name,
        role=role,
        load=types.SimpleNamespace(streams=total),
        takes_work=lambda now_s: takes_work,
    )


def chosen(here, *others):
    members = [here, *others]
    endpoints = types.SimpleNamespace(members=members)
    pools = {'p': types.SimpleNamespace(endpoints=endpoints)}
    run = types.SimpleNamespace(
        stream_at=here, job=types.SimpleNamespace(pool='p')
    )
    return migrationtarget.choose_target({'j': run}, pools, 'j', 0.0)


HERE = engine('e0', 'decode', 0)


def test_the_engine_that_decodes_least_is_chosen():
    full, free = engine('e1', 'decode', 9), engine('e2', 'decode', 3)
    reader = engine('e3', 'prefill', 0)
    away = engine('e4', 'decode', 0, takes_work=False)
    assert chosen(HERE, full, free, reader, away) == 'e2'


def test_an_engine_that_prefills_is_better_than_none():
    assert chosen(HERE, engine('e3', 'prefill', 0)) == 'e3'
    assert chosen(HERE) == ''


def test_a_job_that_has_ended_needs_no_target():
    assert migrationtarget.choose_target({}, {}, 'j', 0.0) == ''
