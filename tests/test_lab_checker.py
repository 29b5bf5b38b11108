"""Tests for the checker: a run that breaks a promise is always reported."""

import pytest

from magnoliadyke.lab import checker

CALL = checker.Call('call 1', 'c1', False, 10.0, 11.0, 'answered', '', True)
RUN = checker.Run(10.5, 'e1', 'k1', 'c1', 'both')
COMMAND = checker.Command(
    20.0, 'e1', 'e1-5-1', 'prefill', 1, 5, 'h1', True, False
)
PAUSE = checker.Fault('pause_host', 'h1', 15.0, 22.0, False)
LEAVING = checker.Fault('endpoint_leaves', 'e1', 8.0, 14.0, True)
TOLD = checker.ReportedOutcome(11.0, 'k1', 'not_run', 'shed')
CLEAN = checker.Evidence(
    calls=[CALL],
    runs=[RUN],
    commands=[
        COMMAND,
        COMMAND._replace(at_s=21.0),
        COMMAND._replace(
            at_s=25.0, id='e1-6-2', fencing_token=6, generation=2
        ),
    ],
    samples=[
        checker.HostSample(1.0, 'h1', 3, True),
        checker.HostSample(8.0, 'h1', 4, True),
    ],
    edits=[checker.Edit('edit 1', 4, 2.0)],
    departures=[checker.Departure('e1', 8.0, 14.0)],
    faults=[LEAVING],
)


def promises(**changes):
    """Promises that are broken when evidence is replaced."""
    verdict = checker.check(CLEAN._replace(**changes))
    return {violation.promise for violation in verdict.violations}


def test_clean_run_breaks_nothing():
    assert promises() == set()


@pytest.mark.parametrize(
    'call',
    [
        CALL._replace(outcome='', ended_s=None),
        CALL._replace(outcome='unknown', repeatable=True),
        CALL._replace(outcome='not_run', repeatable=True),
        CALL._replace(outcome='rejected', poisoned=False),
        CALL._replace(outcome='unknown', sent_s=50.0, ended_s=51.0),
    ],
)
def test_lost(call):
    assert promises(calls=[call]) - {'cut_by_planned_change'} == {'lost'}


@pytest.mark.parametrize(
    'call',
    [
        CALL._replace(outcome='not_run'),
        CALL._replace(outcome='rejected', poisoned=True),
        CALL._replace(outcome='unknown'),
    ],
)
def test_honest_outcomes_are_not_lost(call):
    failure = LEAVING._replace(planned=False)
    assert promises(calls=[call], faults=[failure]) == set()


@pytest.mark.parametrize('kind', ['both', 'prefill', 'decode', 'service'])
def test_doubled(kind):
    twice = [RUN._replace(kind=kind), RUN._replace(kind=kind, key='k2')]
    assert promises(runs=twice) == {'doubled'}
    repeatable = [CALL._replace(repeatable=True)]
    assert promises(runs=twice, calls=repeatable) == set()


def test_prompt_and_output_on_two_engines_are_one_run():
    runs = [
        RUN._replace(kind='prefill', endpoint='e2'),
        RUN._replace(kind='decode'),
        RUN._replace(kind='decode', endpoint='e3', offset=12),
    ]
    assert promises(runs=runs) == set()


def test_truncated_or_crossed():
    wrong = [CALL._replace(is_correct=False, sent_s=50.0, ended_s=51.0)]
    assert promises(calls=wrong) == {'truncated_or_crossed'}


def test_not_run_but_ran():
    assert promises(reported_outcomes=[TOLD]) == {'not_run_but_ran'}
    assert promises(reported_outcomes=[TOLD._replace(key='k2')]) == set()
    assert (
        promises(reported_outcomes=[TOLD._replace(outcome='unknown')]) == set()
    )


def test_conflicting_commands():
    other = COMMAND._replace(at_s=20.5, id='x', target='decode')
    assert promises(commands=[COMMAND, other]) == {'conflicting_commands'}
    refused = other._replace(accepted=False)
    assert promises(commands=[COMMAND, refused]) == set()


def test_stale_command_effective():
    later = COMMAND._replace(at_s=19.0, id='l', sender='h2', fencing_token=6)
    commands = [later, COMMAND]
    assert promises(commands=commands) == {'stale_command_effective'}


def test_stop_at_the_worst_spot_is_counted_apart():
    """The one window that no sender can close, and only that one."""
    later = COMMAND._replace(at_s=19.0, id='l', sender='h2', fencing_token=6)
    evidence = CLEAN._replace(commands=[later, COMMAND], faults=[PAUSE])
    verdict = checker.check(evidence)
    assert not verdict.violations
    assert len(verdict.unpreventable) == 1
    for commands, faults in (
        ([later, COMMAND._replace(checks_fencing=True)], [PAUSE]),
        ([later, COMMAND], [PAUSE._replace(target='h3')]),
        ([later, COMMAND], [PAUSE._replace(until_s=16.0)]),
    ):
        assert promises(commands=commands, faults=faults) == {
            'stale_command_effective'
        }


def test_work_to_left_endpoint():
    late = RUN._replace(at_s=11.1)
    assert promises(runs=[late]) == {'work_to_left_endpoint'}
    assert promises(runs=[late._replace(at_s=14.5)]) == set()
    assert promises(runs=[late._replace(offset=3)]) == set()


def test_cut_by_planned_change():
    cut = [CALL._replace(outcome='unknown')]
    assert 'cut_by_planned_change' in promises(calls=cut)
    failure = checker.Fault('kill_host', 'h1', 1.0, 2.0, False)
    assert promises(calls=cut, faults=[LEAVING, failure]) == set()


def test_config_reverted():
    samples = [
        *CLEAN.samples,
        checker.HostSample(9.0, 'h1', 3, False),
    ]
    assert promises(samples=samples, edits=[]) == set()
    samples.append(checker.HostSample(9.5, 'h1', 3, True))
    assert promises(samples=samples, edits=[]) == {'config_reverted'}


def test_config_late():
    late = [checker.HostSample(8.1, 'h2', 3, True)]
    assert promises(samples=late) == {'config_late'}
    idle = [late[0]._replace(accepts_requests=False)]
    assert promises(samples=idle) == set()
