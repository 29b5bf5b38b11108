"""Checks the recorded evidence of a run against the system's promises.

A pure function over the ledgers of the stand-ins, the outcomes that callers
received and the samples taken from the hosts.  It does not depend on how the
nodes are implemented.
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
#: Kinds of run that start a request.  A decode with an offset resumes a run
#: that was migrated from another engine.
FIRST_STAGE_KINDS = ('prefill', 'both')


class ReportedOutcome(typing.NamedTuple):
    """The outcome that a caller received for one idempotency key."""

    at_s: float
    key: str
    outcome: str
    reason: str = ''


class Call(typing.NamedTuple):
    """One call, including all retries of its caller.

    :param content_digest: identifies the call in the ledgers
    :param outcome: the last one, '' if there was none
    :param ended_s: wall time of the last outcome, None if there was none
    :param is_correct: the answer is complete and belongs to this call
    :param poisoned: the request crashes engines, and may be rejected for it
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
    """The start of a request's execution on an endpoint.

    :param content_digest: identifies the call that was executed
    :param offset: tokens that another engine generated before the request
        was migrated to this one
    :param kind: 'prefill', 'decode' or 'both'; 'service' for a service
    """

    at_s: float
    endpoint: str
    key: str
    content_digest: str
    kind: str
    offset: int = 0


class Command(typing.NamedTuple):
    """A command that reached an engine.

    :param target: the role or model that it requests
    :param accepted: the engine did not refuse it
    :param checks_fencing: the engine compares fencing tokens
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
    """The state that a host reported about itself.

    :param at_s: when the request was sent; the reported state is no older
    :param revision: of the table that is in force on the host
    :param accepts_requests: the host lists itself to callers
    """

    at_s: float
    host: str
    revision: int
    accepts_requests: bool


class Edit(typing.NamedTuple):
    """An edit of the table that was reported to its operator as accepted.

    :param revision: of the table from this edit on
    :param accepted_s: when the operator received the response
    """

    name: str
    revision: int
    accepted_s: float


class Departure(typing.NamedTuple):
    """A period in which an endpoint is leaving or drained.

    :param at_s: when the endpoint announced it or the drain was accepted
    :param returned_s: when the endpoint may be used again
    """

    endpoint: str
    at_s: float
    returned_s: float


class Fault(typing.NamedTuple):
    """A fault that was injected.

    :param until_s: when it ended, infinite while it lasts
    :param planned: an operator's planned change, not a failure
    """

    kind: str
    target: str
    at_s: float
    until_s: float
    planned: bool


class Evidence(typing.NamedTuple):
    """Everything recorded in a run; times are wall clock seconds."""

    calls: abc.Sequence[Call] = ()
    reported_outcomes: abc.Sequence[ReportedOutcome] = ()
    runs: abc.Sequence[Run] = ()
    commands: abc.Sequence[Command] = ()
    samples: abc.Sequence[HostSample] = ()
    edits: abc.Sequence[Edit] = ()
    departures: abc.Sequence[Departure] = ()
    faults: abc.Sequence[Fault] = ()


class Limits(typing.NamedTuple):
    """Time limits of the promises, in seconds.

    :param config_propagation_s: from the acceptance of an edit until it is
        in force on all hosts
    :param leaving_grace_s: from the notice that an endpoint leaves until it
        gets no new requests
    :param settle_s: how long after its end a fault may still affect calls
    """

    config_propagation_s: float = 6.0
    leaving_grace_s: float = 3.0
    settle_s: float = 10.0


class Violation(typing.NamedTuple):
    """A broken promise.

    :param promise: key of :data:`PROMISES`
    :param at_s: wall time of the event that broke it
    :param what: description for people
    """

    promise: str
    at_s: float
    what: str


class Verdict(typing.NamedTuple):
    """The checker's findings.

    :param unpreventable: stale commands of a process that was paused between
        its last check of the lease and the send, accepted by an engine that
        ignores fencing tokens
    """

    violations: list[Violation]
    unpreventable: list[Violation]


def check(evidence, limits=None):
    """Check a run against all promises.

    :param evidence: :class:`Evidence`
    :param limits: :class:`Limits`, the defaults if None
    :returns: :class:`Verdict`
    """
    limits = limits or Limits()
    found = []
    for promise, find in PROMISES.items():
        for at_s, what in find(evidence, limits):
            found.append(Violation(promise, at_s, what))
    unpreventable = {v: is_unpreventable(v, evidence) for v in found}
    return Verdict(
        [v for v in found if not unpreventable[v]],
        [v for v in found if unpreventable[v]],
    )


def find_lost_calls(evidence, limits):
    """Calls without an outcome, or with a failure that is not allowed.

    Only a poisoned call may end rejected.  A repeatable call must be answered
    in the end.  A non-repeatable one may end as not run, and as unknown if a
    failure may have affected it.
    """
    for call in evidence.calls:
        if not call.outcome:
            yield (
                call.sent_s,
                f'{call.name} received no outcome; {call.reason}',
            )
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
                f'{call.name} ended unknown ({call.reason}) without a failure',
            )


def may_be_affected(call, evidence, limits):
    """Whether an unplanned fault may have affected a call.

    It may from its start until ``settle_s`` after its end.
    """
    return any(
        fault.at_s <= call.ended_s
        and call.sent_s <= fault.until_s + limits.settle_s
        for fault in evidence.faults
        if not fault.planned
    )


def find_duplicate_executions(evidence, _limits):
    """Non-repeatable calls that were executed more than once."""
    once = {c.content_digest: c for c in evidence.calls if not c.repeatable}
    executions = collections.defaultdict(list)
    for run in evidence.runs:
        if run.content_digest in once and not run.offset:
            executions[run.content_digest, execution_stage(run)].append(run)
    for (content, _), runs in executions.items():
        if len(runs) > 1:
            where = ', '.join(run.endpoint for run in runs)
            yield runs[1].at_s, f'{once[content].name} was run on {where}'


def execution_stage(run):
    """The stage of a run: one request may run once in each stage.

    Its prefill and its decode may be on two engines.
    """
    return 'first' if run.kind in FIRST_STAGE_KINDS else run.kind


def find_wrong_answers(evidence, _limits):
    """Answers that are truncated or belong to another call."""
    for call in evidence.calls:
        if call.outcome == ANSWERED and not call.is_correct:
            yield (
                call.ended_s,
                f'{call.name} received a wrong answer: {call.reason}',
            )


def find_false_not_run(evidence, _limits):
    """Keys that were reported as not run although an endpoint ran them."""
    ran = {run.key: run for run in evidence.runs if run.key}
    for reported in evidence.reported_outcomes:
        if reported.outcome == NOT_RUN and reported.key in ran:
            run = ran[reported.key]
            yield reported.at_s, f'{reported.key} ran on {run.endpoint}'


def accepted_commands(evidence):
    """Commands that engines accepted, each once, in order of time."""
    seen = set()
    for command in sorted(evidence.commands, key=lambda each: each.at_s):
        if command.accepted and (command.engine, command.id) not in seen:
            seen.add((command.engine, command.id))
            yield command


def find_conflicting_commands(evidence, _limits):
    """Different commands to an engine with the same token and generation.

    Fencing token and generation determine the order of an engine's commands.
    """
    places = {}
    for command in accepted_commands(evidence):
        place = (command.engine, command.fencing_token, command.generation)
        before = places.setdefault(place, command)
        if before.target != command.target:
            yield (
                command.at_s,
                f'{command.engine} accepted {before.target} and '
                f'{command.target} with generation {command.generation}',
            )


def find_stale_commands(evidence, _limits):
    """Commands accepted after one of a later lease holder."""
    highest = {}
    for command in accepted_commands(evidence):
        before = highest.get(command.engine)
        if before is not None and command.fencing_token < before.fencing_token:
            yield (
                command.at_s,
                f'{command.engine} accepted {command.id} of {command.sender} '
                f'after {before.id} of {before.sender}',
            )
        else:
            highest[command.engine] = command


def is_unpreventable(violation, evidence):
    """Whether a violation is the one kind that no sender can prevent.

    That is a stale command of a process that was paused after its last check
    of the lease, just before the system call that sends the command.  The
    process sends it when it resumes, and an engine that ignores fencing tokens
    accepts it.
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
    """Requests sent to an endpoint after the grace period of its departure."""
    for departure in evidence.departures:
        deadline_s = departure.at_s + limits.leaving_grace_s
        for run in evidence.runs:
            if run.endpoint != departure.endpoint or run.offset:
                continue
            if deadline_s < run.at_s < departure.returned_s:
                after_s = run.at_s - departure.at_s
                yield (
                    run.at_s,
                    f'{run.endpoint} received {run.key} {after_s:.1f} s '
                    'after its departure began',
                )


def find_planned_change_failures(evidence, limits):
    """Calls that failed while only planned changes were in effect."""
    planned = [fault for fault in evidence.faults if fault.planned]
    for call in evidence.calls:
        failed = call.outcome == UNKNOWN or (
            call.outcome == ANSWERED and not call.is_correct
        )
        if not failed or may_be_affected(call, evidence, limits):
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
    """Hosts that accept requests with an older table than before."""
    highest = {}
    for sample in sorted(evidence.samples, key=lambda each: each.at_s):
        if not sample.accepts_requests:
            continue
        before = highest.get(sample.host, 0)
        if sample.revision < before:
            yield (
                sample.at_s,
                f'{sample.host} went back from revision {before} to '
                f'{sample.revision}',
            )
        highest[sample.host] = max(before, sample.revision)


def find_late_config(evidence, limits):
    """Hosts that accept requests without an edit past its deadline."""
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
                    f'{sample.host} is at revision {sample.revision}, without '
                    f'{edit.name} (revision {edit.revision})',
                )


#: Names of the promises, as in results, and what finds their violations.
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
