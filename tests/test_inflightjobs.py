"""Tests of the in-flight jobs that a new leader receives."""

import random

from magnoliadyke import clock as clocks
from magnoliadyke.core import catalog
from magnoliadyke.core import placement
from magnoliadyke.core import position
from magnoliadyke.core import promptcache
from magnoliadyke.core import promptjobs
from magnoliadyke.gateway import inflightjobs
from magnoliadyke.gateway import placement_codec
from magnoliadyke.gateway import placementservice as gatewayplacing
from tests import promptload

PARTS = (promptcache.PromptPart(1, 4000), promptcache.PromptPart(2, 400))


def job(number, **fields):
    return promptjobs.Job(number, PARTS, 200, 1.0, 3.0, 'z1', **fields)


def placed(number, prefill='p0', run='d0', tell_end=False):
    return promptjobs.Placed(number, prefill, run, None, 3000, 0.1, tell_end)


def cache_contents(given, now_s=1.0):
    return set(given.cache_contents(now_s).get('model', ()))


def test_prompt_in_prefill_is_reported_as_such():
    given = inflightjobs.InFlightJobs()
    given.record_placement('model', job(7), placed(7), False, 0.5)
    assert cache_contents(given) == {
        placement_codec.CacheContents('p0', PARTS, 7, 3000, False),
        placement_codec.CacheContents('d0', PARTS, 7, None, False),
    }


def test_job_that_has_ended_leaves_only_what_engines_keep():
    given = inflightjobs.InFlightJobs()
    given.record_placement('model', job(7), placed(7), False, 0.5)
    given.record_prefill_done(7)
    given.record_end(7)
    assert cache_contents(given) == {
        placement_codec.CacheContents('p0', PARTS),
        placement_codec.CacheContents('d0', PARTS),
    }


def test_long_answer_is_reported_however_old_it_is():
    """A stream has held a slot for a minute when the placing host changes.

    Unknown to the next one, the slot would be given away again, and the
    engine would turn away requests whose prompts have just been read.
    """
    given = inflightjobs.InFlightJobs()
    given.record_placement(
        'model', job(7), placed(7, tell_end=True), False, 0.0
    )
    given.record_prefill_done(7)
    assert cache_contents(given, 60.0) == {
        placement_codec.CacheContents('d0', (), 7, None, True)
    }


def test_short_prompt_is_not_counted_as_prefill():
    given = inflightjobs.InFlightJobs()
    given.record_placement('model', job(7), placed(7, prefill=None), True, 0.5)
    assert cache_contents(given) == {
        placement_codec.CacheContents('d0', PARTS, 7, None, False)
    }


def test_new_place_waits_for_what_engines_still_read():
    """The place changes while each engine has half a second to read.

    The next one knows of it from the hosts: it does not put prompts behind
    those, but refuses or holds those that would be late.
    """
    core = placement.Placement(promptload.TRAITS, random.Random(1))
    core.set_engines(promptload.fleet())
    for number in range(40):
        core.adopt(number, f'p{number % 2}', 8000, False, 10.0)
        core.adopt(100 + number, f'd{number % 2}', 4000, False, 10.0)
    fresh = job(500)
    fresh.objective_s, fresh.deadline_s = 10.15, 12.0
    decisions = core.submit(fresh, 10.0)
    assert not any(isinstance(each, promptjobs.Placed) for each in decisions)
    for number in range(40):
        core.record_prefill_done(number, f'p{number % 2}', 10.1)
        core.record_prefill_done(100 + number, f'd{number % 2}', 10.1)
    assert 500 in core.prefills


def test_adopted_answer_holds_its_slot_until_it_ends():
    core = placement.Placement(promptload.TRAITS, random.Random(1))
    engines = [
        promptload.engine('p0'),
        promptload.engine('d0', catalog.Stage.DECODE, slots=4),
    ]
    core.set_engines(engines)
    for number in range(4):
        core.adopt(number, 'd0', None, True, 10.0)
    engine = core.pool.engines['d0']
    assert engine.slots_in_use(10.0, 10.0) == 4
    before_s = core.answers.output_s
    core.record_end(0, 15.0)
    assert engine.slots_in_use(10.0, 10.0) == 3
    assert core.answers.output_s == before_s


def test_job_that_is_handed_over_holds_nothing_here():
    """A host placed alone, then another one leads and hears of the jobs.

    No word of their end comes here any more.  Still accounted, they would
    hold the engines for seconds in this host's own view, and its callers
    would wait to the end when it places alone again.
    """
    core = placement.Placement(promptload.TRAITS, random.Random(1))
    core.set_engines(promptload.fleet(1, 1))
    first = job(7)
    first.objective_s, first.deadline_s = 10.5, 12.0
    (decision,) = core.submit(first, 10.0)
    core.answers.reserve_slot(7, decision.decode_engine, 200, 10.0)
    before_s = core.answers.output_s
    core.release_job(7, 10.1)
    engines = core.pool.engines.values()
    assert not any(engine.pending_prefills for engine in engines)
    assert not any(engine.runs for engine in engines)
    assert core.answers.output_s == before_s


def test_host_that_leads_again_begins_anew():
    """It led, another host did, and it leads again.

    Of the jobs that the other one placed meanwhile it knows by the hosts'
    word only; what it had accounted before has long ended.
    """
    placement_service = gatewayplacing.PlacementService(
        '127.0.0.1',
        1,
        catalog.Catalog(),
        clocks.SystemClock(),
        None,
        1000.0,
    )
    placement_service.lead()
    placement_service.served['model'] = before = object()
    placement_service.lead()
    assert placement_service.served['model'] is before
    placement_service.follow('127.0.0.2', position.Position(1, 1))
    placement_service.lead()
    assert not placement_service.served
