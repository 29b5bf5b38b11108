"""The share of engines that read and that answer."""

import math

import pytest

from magnoliadyke.core import catalog
from magnoliadyke.core import stageplan


def decide(
    prefilling, decoding, load, changing=0, plan=None, now_s=0.0, coming=0
):
    plan = plan or stageplan.StagePlan()
    fleet = stageplan.Fleet(prefilling, decoding, changing, coming)
    plan.record_load(stageplan.Load(*load), fleet, now_s)
    return plan.decide(fleet, now_s)


def test_reading_gets_an_engine_when_it_is_the_busier_stage():
    assert decide(2, 3, (2.5, 0.4, 0.8)) == stageplan.Change(True)


def test_answering_gets_an_engine_when_it_is_the_busier_stage():
    assert decide(4, 2, (0.5, 0.3, 2.2)) == stageplan.Change(False)


def test_calm_fleet_changes_nothing():
    assert decide(2, 3, (0.3, 0.1, 0.2)) is None


def test_two_engines_always_answer_where_there_are_enough():
    """While the only engine that answers is down, nobody could answer."""
    assert decide(3, 2, (9.0, 0.1, 0.1)) is None


def test_slots_that_are_free_are_no_reason():
    """Fifteen of sixteen chats fit; a prompt waits at half that load."""
    assert decide(3, 2, (1.0, 0.3, 1.8)) is None
    assert decide(3, 2, (1.0, 0.3, 2.4)) == stageplan.Change(False)


def test_fleet_that_has_lost_engines_that_answer_gets_another():
    """Two of three engines that answer have left; prompts press as before.

    The one that is left has no slot for the answers, so nothing that was
    read could be used.
    """
    assert decide(3, 1, (4.0, 0.5, 1.6)) == stageplan.Change(False)
    assert decide(4, 1, (4.0, 0.5, 0.5)) == stageplan.Change(False)


def test_change_has_to_gain():
    assert decide(2, 2, (1.0, 1.0, 1.0)) is None


def test_one_change_at_a_time_in_a_small_fleet():
    assert decide(1, 3, (3.0, 0.2, 0.2), changing=1) is None


def test_swings_inside_a_wave_do_not_move_engines_to_and_fro():
    """Reading and answering take turns every 2.8 s.

    A plan that followed each swing would change an engine each time, and
    lose it for 3 s of 2.8 s.
    """
    plan = stageplan.StagePlan()
    prefilling, decoding = 2, 3
    changes = 0
    for tick in range(120):
        now_s = tick * 0.5
        high = int(now_s / 2.8) % 2 == 0
        load = (2.2, 0.7, 0.5) if high else (0.8, 0.3, 1.8)
        change = decide(prefilling, decoding, load, 0, plan, now_s)
        if change is not None:
            changes += 1
            step = 1 if change.to_prefill else -1
            prefilling, decoding = prefilling + step, decoding - step
    assert changes <= 1


def test_reversal_waits():
    plan = stageplan.StagePlan()
    assert decide(2, 3, (2.5, 0.4, 0.8), 0, plan, 0.0) is not None
    assert decide(3, 2, (0.1, 0.1, 2.5), 0, plan, 7.0) is None
    assert decide(3, 2, (0.1, 0.1, 2.5), 0, plan, 13.0) is not None


def test_no_engine_answers_at_all():
    assert decide(3, 0, (1.0, 0.0, 0.0)) == stageplan.Change(False)


def test_engine_that_is_alone_answers():
    """Engines that answer also read; one that reads serves nobody."""
    assert decide(1, 0, (0.0, 0.0, 0.0)) == stageplan.Change(False)
    assert decide(0, 1, (9.0, 0.0, 0.0)) is None
    assert decide(0, 0, (9.0, 0.0, 0.0), changing=1) is None


def test_change_to_reading_keeps_no_other_from_answering():
    """One of two that answer is changing to reading; the other one dies.

    The change takes seconds, and nobody answers meanwhile.
    """
    load = (1.0, 0.0, 0.0)
    assert decide(1, 0, load, changing=1) == stageplan.Change(False)
    assert decide(1, 0, load, changing=1, coming=1) is None


def test_least_number_that_answers_waits_for_no_other_change():
    """One engine changes to reading as another that answers leaves.

    Put off until the change is over, the only one left answers for all that
    three read, and nobody answers while it is down.
    """
    load = (2.0, 0.1, 0.1)
    assert decide(3, 1, load, changing=1) == stageplan.Change(False)
    assert decide(3, 1, load, changing=1, coming=1) is None


def test_least_number_that_answers_is_restored_at_once():
    """An engine was turned to reading; then all but one that answer go.

    A change back would wait for twelve seconds, in which one engine answers
    all that four read, and most callers run out of time.
    """
    plan = stageplan.StagePlan()
    load = (3.5, 0.0, 0.1)
    assert decide(3, 3, load, 0, plan, 0.0) == stageplan.Change(True)
    assert decide(4, 1, load, 0, plan, 4.0) == stageplan.Change(False)


@pytest.mark.parametrize('total', [13, 70, 500])
def test_large_fleet_gets_as_many_readers_as_it_needs(total):
    """A third of the engines read, all of them full; the others idle.

    One engine more takes little off the readers' load, however many there
    are: judged one at a time, none would ever change.
    """
    asked = total * 0.6
    fleet, ordered = settled(total // 3, total - total // 3, asked)
    assert fleet.prefilling >= asked
    enough = 1.2 * (asked + 1.5 * math.sqrt(asked))
    # Numbers that are compared grow by an eighth.
    assert fleet.prefilling <= enough + 1 + ordered / 8
    assert ordered == fleet.prefilling - total // 3


@pytest.mark.parametrize('total', [13, 70, 500])
def test_only_some_engines_change_at_one_time(total):
    change = decide(total // 3, total - total // 3, (total * 0.6, 0.1, 0.1))
    assert change.to_prefill
    assert 1 <= change.count <= max(1, total * 0.2)


def test_engine_is_prepared_in_the_calm():
    """Two engines read and are half busy; four answer, and read beside.

    A rush of two seconds comes later.  It is over before a change that it
    calls for has paid, and nobody misses an engine now.
    """
    assert decide(2, 4, (1.0, 0.4, 0.9, 1.5, 1)) == stageplan.Change(True)
    assert decide(3, 3, (1.0, 0.4, 0.9, 1.0, 1)) is None


def test_engines_that_come_are_counted():
    """Ten engines are on their way to reading, and will be enough.

    Ordered anew at each look, twice as many would change as are needed.
    """
    load = (20.0, 0.1, 0.1)
    assert decide(25, 45, load).to_prefill
    assert decide(25, 35, load, changing=10) is None


def test_engines_that_read_beside_are_no_loss():
    """Those that answer read as much as they would if they only read."""
    load = (8.0, 0.1, 0.1, 8.0, 0)
    assert decide(3, 8, load) is None


def test_answers_that_would_come_are_planned_for():
    """Half of the prompts are read; the slots are three quarters full.

    With all of them read the answers need half as much again as there is.
    """
    change = decide(10, 10, (20.0, 0.1, 7.5))
    assert change is None or not change.to_prefill


def test_links_are_left_room_for_transfers():
    """Each prompt that is read comes over a link of an engine that answers.

    Half of what is asked can be read, and half of it can be carried: with
    fewer to carry it, more would be read for nothing.
    """
    assert decide(8, 5, (12.0, 6.0, 0.1)) is None


def settled(prefilling, decoding, asked):
    """Let the plan have its way; returns the fleet and the orders."""
    plan = stageplan.StagePlan()
    fleet = stageplan.Fleet(prefilling, decoding)
    ordered = 0
    for tick in range(40):
        now_s = tick * 4.0
        change = decide(
            fleet.prefilling, fleet.decoding, (asked, 0.1, 0.1), 0, plan, now_s
        )
        if change is None:
            continue
        ordered += change.count
        moved = change.count if change.to_prefill else -change.count
        fleet = stageplan.Fleet(
            fleet.prefilling + moved, fleet.decoding - moved
        )
    return fleet, ordered


#: 80 prompts a second keep one engine reading, and half of one answering.
LIMITED_LOAD = stageplan.Load(1.0, 0.2, 0.4, requests_s=80.0, prompt_s=0.0125)


def decide_with_limits(prefilling, decoding, prefill=(), decode=()):
    plan = stageplan.StagePlan()
    fleet = stageplan.Fleet(
        prefilling,
        decoding,
        prefill_limits_s=prefill,
        decode_limits_s=decode,
    )
    plan.record_load(LIMITED_LOAD, fleet, 0.0)
    return plan.decide(fleet, 0.0)


def test_engine_without_a_limit_answers_where_all_others_are_limited():
    """Limits of the engines that answer refused most of the prompts."""
    assert decide_with_limits(3, 2) is None
    change = decide_with_limits(3, 2, decode=(13.0, 18.0))
    assert change == stageplan.Change(False)


def test_one_limited_engine_among_those_that_answer_changes_nothing():
    assert decide_with_limits(3, 2, decode=(13.0,)) is None


def test_limits_of_engines_that_read_count_as_less_reading():
    change = decide_with_limits(2, 3, prefill=(1.0, 2.0))
    assert change == stageplan.Change(True)


def test_engines_with_the_lowest_limits_change_to_prefill_first():
    fleet = stageplan.Fleet(
        2, 3, prefill_limits_s=(7.0,), decode_limits_s=(9.0, 5.0)
    )
    done = fleet.with_limits_of(1, True)
    assert done.prefill_limits_s == (7.0, 5.0)
    assert done.decode_limits_s == (9.0,)
    assert fleet.with_limits_of(1, False).prefill_limits_s == (7.0,)
    assert fleet.with_limits_of(-1, True).prefill_limits_s == (7.0,)
    assert fleet.with_limits_of(-2, True).decode_limits_s == (5.0, 9.0, 7.0)


def _engine(name, version):
    return catalog.Endpoint(
        name,
        'model',
        '',
        'z1',
        16,
        False,
        catalog.Stage.DECODE,
        version=version,
    )


def test_each_version_keeps_an_engine_that_decodes():
    """Streams of a version could go on nowhere after a change of stages."""
    old = [_engine('a1', 'v1'), _engine('a2', 'v1')]
    new = [_engine('b1', 'v2')]
    chosen = stageplan.prefer_by_version(new + old, new + old, True)
    assert [each.id for each in chosen] == ['a1']
    only = stageplan.prefer_by_version(new, new, True)
    assert only == new
    chosen = stageplan.prefer_by_version(old + new, old, False)
    assert chosen == new
    assert stageplan.prefer_by_version(old, old, False) == old
