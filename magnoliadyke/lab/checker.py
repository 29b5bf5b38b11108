"""Judges a run from outside: ledgers and callers against the promises.

A pure function over what the stand-ins wrote down, what the callers were
told and what the hosts showed of themselves.  It knows nothing of how the
nodes work.
"""

import collections
from collections import abc
import typing

__all__ = [
    'PROMISES',
    'Call',
    'Command',
    'Departure',
    'Edit',
    'Evidence',
    'Fault',
    'Limits',
    'Run',
    'HostSample',
    'ReportedOutcome',
    'Verdict',
    'Violation',
    'check',
]

ANSWERED = 'answered'
NOT_RUN = 'not_run'
UNKNOWN = 'unknown'
REJECTED = 'rejected'
PAUSE = 'pause_host'
#: A decode with an offset goes on with a run that was moved.
FIRST_STAGE_KINDS = ('prefill', 'both')


class ReportedOutcome(typing.NamedTuple):
    """What a caller was told of one key."""

    at_s: float
    key: str
    outcome: str
    reason: str = ''


class Call(typing.NamedTuple):
    """One call, through all visits of its caller.

    :param content: what marks it in the ledgers
    :param ended_s: wall time of the last outcome, None if there was none
    :param whole: the answer is complete and this call's own
    :param poisoned: it kills engines, and may be rejected for that
    """

    name: str
    content_digest: str
    repeatable: bool
    sent_s: float
    ended_s: float | None
    outcome: str
    reason: str = ''
    is_correct: bool = False
    poisoned: bool = False


class Run(typing.NamedTuple):
    """An endpoint began to run something.

    :param kind: 'prefill', 'decode' or 'both'; 'service' for a service
    """

    at_s: float
    endpoint: str
    key: str
    content_digest: str
    kind: str
    offset: int = 0


class Command(typing.NamedTuple):
    """A command reached an engine.

    :param taken: it was not refused
    """

    at_s: float
    engine: str
    id: str
    target: str
    generation: int
    fencing_token: int
    sender: str
    accepted: bool
    checks_fencing: bool


class HostSample(typing.NamedTuple):
    """What a host showed of itself.

    :param at_s: when it was asked; what it showed is no older
    """

    at_s: float
    host: str
    revision: int
    accepts_requests: bool


class Edit(typing.NamedTuple):
    """An edit that an operator was told is accepted."""

    name: str
    revision: int
    accepted_s: float


class Departure(typing.NamedTuple):
    """An endpoint that leaves, by its own word or the operators' table."""

    endpoint: str
    at_s: float
    back_s: float


class Fault(typing.NamedTuple):
    """A fault that was injected.

    :param planned: an operator's planned change, not a failure
    """

    kind: str
    target: str
    at_s: float
    until_s: float
    planned: bool


class Evidence(typing.NamedTuple):
    """All that a run left behind; times are wall clock seconds."""

    calls: abc.Sequence[Call] = ()
    reported_outcomes: abc.Sequence[ReportedOutcome] = ()
    runs: abc.Sequence[Run] = ()
    commands: abc.Sequence[Command] = ()
    samples: abc.Sequence[HostSample] = ()
    edits: abc.Sequence[Edit] = ()
    departures: abc.Sequence[Departure] = ()
    faults: abc.Sequence[Fault] = ()


class Limits(typing.NamedTuple):
    """What counts as too late.

    :param config_s: from acceptance until in force everywhere
    :param leaving_s: from the notice until nothing new is sent
    :param settle_s: how long a fault may be felt after its end
    """

    config_propagation_s: float = 6.0
    leaving_grace_s: float = 3.0
    settle_s: float = 10.0


class Violation(typing.NamedTuple):
    """A promise that was broken."""

    promise: str
    at_s: float
    what: str


class Verdict(typing.NamedTuple):
    """What the checker found.

    :param windows: commands of a process that was stopped between its last
        check and the sending, taken by an engine that ignores numbers
    """

    violations: list[Violation]
    unpreventable: list[Violation]


def check(evidence, limits=None):
    """Judge a run.

    :param evidence: :class:`Evidence`
    :returns: :class:`Verdict`
    """
    limits = limits or Limits()
    found = []
    for promise, judge in PROMISES.items():
        for at_s, what in judge(evidence, limits):
            found.append(Violation(promise, at_s, what))
    is_window = {v: is_unpreventable(v, evidence) for v in found}
    return Verdict(
        [v for v in found if not is_window[v]],
        [v for v in found if is_window[v]],
    )


def find_lost_calls(evidence, limits):
    """Callers that wait for ever, or give up what could be repeated."""
    for call in evidence.calls:
        if not call.outcome:
            yield call.sent_s, f'{call.name} has no outcome; {call.reason}'
        elif call.outcome == ANSWERED:
            continue
        elif call.poisoned and call.outcome == REJECTED:
            continue
        elif call.repeatable or call.outcome == REJECTED:
            yield (
                call.ended_s,
                f'{call.name} ended {call.outcome}: {call.reason}',
            )
        elif call.outcome == UNKNOWN and not may_be_affected(
            call, evidence, limits
        ):
            yield (
                call.ended_s,
                f'{call.name} is unknown ({call.reason}), and nothing failed',
            )


def may_be_affected(call, evidence, limits):
    """Whether a failure may have touched a call."""
    return any(
        fault.at_s <= call.ended_s
        and call.sent_s <= fault.until_s + limits.settle_s
        for fault in evidence.faults
        if not fault.planned
    )


def find_duplicate_executions(evidence, _limits):
    """Calls that may not be repeated and ran twice."""
    once = {c.content_digest: c for c in evidence.calls if not c.repeatable}
    begun = collections.defaultdict(list)
    for run in evidence.runs:
        if run.content_digest in once and not run.offset:
            begun[run.content_digest, execution_stage(run)].append(run)
    for (content, _), runs in begun.items():
        if len(runs) > 1:
            where = ', '.join(run.endpoint for run in runs)
            yield runs[1].at_s, f'{once[content].name} ran on {where}'


def execution_stage(run):
    """Prompt and output of one run may be on two engines."""
    return 'first' if run.kind in FIRST_STAGE_KINDS else run.kind


def find_wrong_answers(evidence, _limits):
    """Answers that are cut short, or of another call."""
    for call in evidence.calls:
        if call.outcome == ANSWERED and not call.is_correct:
            yield (
                call.ended_s,
                f'{call.name} got a wrong answer: {call.reason}',
            )


def find_false_not_run(evidence, _limits):
    """Callers that were told "not run" of something that ran."""
    ran = {run.key: run for run in evidence.runs if run.key}
    for told in evidence.reported_outcomes:
        if told.outcome == NOT_RUN and told.key in ran:
            run = ran[told.key]
            yield told.at_s, f'{told.key} ran on {run.endpoint}'


def accepted_commands(evidence):
    """Commands that an engine took, without repeats of the same."""
    seen = set()
    for command in sorted(evidence.commands, key=lambda each: each.at_s):
        if command.accepted and (command.engine, command.id) not in seen:
            seen.add((command.engine, command.id))
            yield command


def find_conflicting_commands(evidence, _limits):
    """Two commands that each claim the same place in an engine's order."""
    places = {}
    for command in accepted_commands(evidence):
        place = (command.engine, command.fencing_token, command.generation)
        before = places.setdefault(place, command)
        if before.target != command.target:
            yield (
                command.at_s,
                f'{command.engine} was told {before.target} and '
                f'{command.target} with generation {command.generation}',
            )


def find_stale_commands(evidence, _limits):
    """Commands taken after one of a later holder."""
    highest = {}
    for command in accepted_commands(evidence):
        before = highest.get(command.engine)
        if before is not None and command.fencing_token < before.fencing_token:
            yield (
                command.at_s,
                f'{command.engine} took {command.id} of {command.sender} '
                f'after {before.id} of {before.sender}',
            )
        else:
            highest[command.engine] = command


def is_unpreventable(violation, evidence):
    """Whether a stale command is the one kind that cannot be prevented.

    A process stopped between its last check and the system call that sends
    goes on to send when it runs again; an engine that ignores numbers obeys.
    """
    if violation.promise != 'stale_command_effective':
        return False
    for command in accepted_commands(evidence):
        if command.at_s == violation.at_s and not command.checks_fencing:
            return any(
                fault.kind == PAUSE
                and fault.target == command.sender
                and fault.at_s <= command.at_s <= fault.until_s + 1.0
                for fault in evidence.faults
            )
    return False


def find_work_after_departure(evidence, limits):
    """New work at an endpoint that left a while ago."""
    for departure in evidence.departures:
        deadline_s = departure.at_s + limits.leaving_grace_s
        for run in evidence.runs:
            if run.endpoint != departure.endpoint or run.offset:
                continue
            if deadline_s < run.at_s < departure.back_s:
                after_s = run.at_s - departure.at_s
                yield (
                    run.at_s,
                    f'{run.endpoint} was given {run.key} {after_s:.1f} s '
                    'after it began to leave',
                )


def find_planned_change_failures(evidence, limits):
    """Calls that suffered although only planned changes went on."""
    planned = [fault for fault in evidence.faults if fault.planned]
    for call in evidence.calls:
        hurt = call.outcome == UNKNOWN or (
            call.outcome == ANSWERED and not call.is_correct
        )
        if not hurt or may_be_affected(call, evidence, limits):
            continue
        for fault in planned:
            if fault.at_s <= call.ended_s and call.sent_s <= fault.until_s:
                yield (
                    call.ended_s,
                    f'{call.name} ended {call.outcome} during {fault.kind} '
                    f'of {fault.target}',
                )
                break


def find_reverted_config(evidence, _limits):
    """Hosts that take work with an older table than they had."""
    highest = {}
    for sample in sorted(evidence.samples, key=lambda each: each.at_s):
        if not sample.accepts_requests:
            continue
        before = highest.get(sample.host, 0)
        if sample.revision < before:
            yield (
                sample.at_s,
                f'{sample.host} went from {before} to {sample.revision}',
            )
        highest[sample.host] = max(before, sample.revision)


def find_late_config(evidence, limits):
    """Hosts that take work without an edit accepted long ago."""
    for edit in evidence.edits:
        deadline_s = edit.accepted_s + limits.config_propagation_s
        hosts = set()
        for sample in evidence.samples:
            behind = (
                sample.revision < edit.revision and sample.accepts_requests
            )
            if (
                behind
                and sample.at_s > deadline_s
                and sample.host not in hosts
            ):
                hosts.add(sample.host)
                yield (
                    sample.at_s,
                    f'{sample.host} has {sample.revision}, not {edit.name} '
                    f'({edit.revision})',
                )


#: What each promise is called, and who judges it.
PROMISES = {
    'lost': find_lost_calls,
    'doubled': find_duplicate_executions,
    'truncated_or_crossed': find_wrong_answers,
    'not_run_but_ran': find_false_not_run,
    'conflicting_commands': find_conflicting_commands,
    'stale_command_effective': find_stale_commands,
    'work_to_left_endpoint': find_work_after_departure,
    'cut_by_planned_change': find_planned_change_failures,
    'config_reverted': find_reverted_config,
    'config_late': find_late_config,
}
