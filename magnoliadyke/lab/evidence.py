"""Gathers what a fault run left behind, for the checker and for figures."""

import collections
import math
import time
import uuid

from magnoliadyke import client as caller
from magnoliadyke.core import outcomes
from magnoliadyke.lab import checker
from magnoliadyke.lab import cluster
from magnoliadyke.lab import load as loads
from magnoliadyke.lab import runs
from magnoliadyke.lab import workload

__all__ = [
    'RecordingLoad',
    'collect',
    'figures',
    'quantile',
    'recording_clients',
]

#: Faults during which no edit can be accepted.
STORE_FAULTS = frozenset({'store_down', 'store_slow'})
#: How long after its end a fault may slow an edit.
FAULT_EFFECT_S = 5.0
#: Every such client makes foreign keys.
FOREIGN_KEY_EVERY = 4
#: Characters of an answer that are shown when it is wrong.
MAX_EXCERPT_CHARS = 120
OUTCOMES = {
    outcomes.Answered: checker.ANSWERED,
    outcomes.NotRun: checker.NOT_RUN,
    outcomes.Unknown: checker.UNKNOWN,
    outcomes.Rejected: checker.REJECTED,
}


class RecordingClient(caller.Client):
    """The caller library, with a note of what each key was told.

    :param told: list that takes a :class:`checker.ReportedOutcome` for each
        key
    :param foreign: whether it makes keys of its own, without a ticket
    """

    def __init__(self, hosts, credential, told, foreign):
        super().__init__(hosts, credential)
        self.told = told
        self.foreign = foreign
        self.keys = {}

    def start_session(self, address):
        """Begin a session; its keys may be foreign ones."""
        begun = super().start_session(address)
        if begun and self.foreign:
            self.session.new_key = foreign_key
        return begun

    def try_host(self, address, request, progress):
        """Remember the key of the request that is being sent."""
        self.keys[id(request)] = progress.key
        return super().try_host(address, request, progress)

    def run_key(self, request, end_s):
        """Note what the key was told in the end."""
        outcome = super().run_key(request, end_s)
        key = self.keys.pop(id(request), '')
        if key:
            reason = getattr(outcome, 'reason', '')
            name = OUTCOMES[type(outcome)]
            self.told.append(
                checker.ReportedOutcome(time.time(), key, name, reason)
            )
        return outcome


class RecordingLoad(loads.Load):
    """A load that notes when each call ended, whatever its outcome."""

    def __init__(self, clients, calls, max_retries=0):
        super().__init__(clients, calls, max_retries)
        self.ended_s = {}

    def send(self, record):
        """Send one call and note when it ended."""
        super().send(record)
        self.ended_s[record] = self.now_s()


def foreign_key():
    """A key as callers make it that know nothing of tickets."""
    return f'lab-{uuid.uuid4().hex}'


def recording_clients(deployment, customers, count, told):
    """Clients of each customer, each with a session of its own."""
    hosts = [deployment.caller_address(name) for name in deployment.hosts]
    return {
        customer: [
            RecordingClient(
                hosts,
                cluster.caller_key(customer),
                told,
                number % FOREIGN_KEY_EVERY == 0,
            )
            for number in range(count)
        ]
        for customer in customers
    }


def collect(deployment, load, told, watcher, editors, faults):
    """The :class:`checker.Evidence` of a run."""
    return checker.Evidence(
        [to_call(record, load) for record in load.records],
        list(told),
        [to_run(name, row) for name, row in rows(deployment, 'run')],
        [to_command(name, row) for name, row in rows(deployment, 'command')],
        watcher.samples,
        editors.accepted(),
        faults.departures,
        faults.faults,
    )


def rows(deployment, what):
    """Rows of one kind from the ledgers of all endpoints."""
    for name in deployment.endpoints:
        for row in deployment.ledger(name):
            if row['what'] == what:
                yield name, row


def to_call(record, load):
    """A call as the checker wants it."""
    outcome = OUTCOMES.get(type(record.outcome), '')
    ended_s = load.ended_s.get(record)
    return checker.Call(
        f'{record.job.customer} {record.job.kind} call {record.job.id}',
        record.content_digest(),
        record.job.repeatable,
        load.start_wall_s + record.call.at_s,
        None if ended_s is None else load.start_wall_s + ended_s,
        outcome,
        reason_of(record),
        record.is_correct(),
    )


def reason_of(record):
    """The word for an outcome; what an answer begins with."""
    outcome = record.outcome
    if outcome is None and record.retried_outcomes:
        last = record.retried_outcomes[-1].reason
        return f'told {len(record.retried_outcomes)} times, last {last}'
    if isinstance(outcome, outcomes.Answered):
        return f'{outcome.finish_reason}: {outcome.text[:MAX_EXCERPT_CHARS]}'
    return getattr(outcome, 'reason', '')


def to_run(name, row):
    """A run from a ledger's row."""
    return checker.Run(
        row['at_s'],
        name,
        row.get('key') or '',
        row['content'],
        row.get('kind') or 'service',
        row.get('offset') or 0,
    )


def to_command(name, row):
    """A command from a ledger's row."""
    return checker.Command(
        row['at_s'],
        name,
        row['id'],
        row.get('role') or row.get('model') or '',
        row.get('generation') or 0,
        row.get('fencing') or 0,
        row.get('sender') or '',
        row['status'] == 202,
        row['checks_fencing'],
    )


def figures(deployment, load, watcher, editors, faults, seen, store_calls):
    """What the run took and how it ended, for people and pages."""
    by_outcome = collections.Counter(call.outcome for call in seen.calls)
    once = [call for call in seen.calls if not call.repeatable]
    unknown = sum(call.outcome == checker.UNKNOWN for call in once)
    services = sum(
        isinstance(record.call, workload.ServiceCall)
        for record in load.records
    )
    return {
        'calls': dict(by_outcome),
        'service_calls': services,
        'once': {'sent': len(once), 'unknown': unknown},
        'role_changes': runs.role_changes(deployment),
        'commands': len(seen.commands),
        'edits': dict(collections.Counter(e.state for e in editors.edits)),
        'in_force_s': in_force_times(editors.edits, faults.faults),
        'dead_listed_s': [
            listed_for_s(watcher, at_s, host) for at_s, host in faults.kills
        ],
        'last_work_s': [
            last_run_after_notice_s(seen, departure)
            for departure in seen.departures
        ],
        'takeover_s': takeover_times(deployment, faults),
        'store_calls': store_calls,
        'poisoned': [str(outcome) for outcome in faults.poisoned],
    }


def in_force_times(edits, faults):
    """How long edits took until in force, by what went on meanwhile."""
    took = {'quiet': [], 'fault': [], 'store_away': []}
    for edit in edits:
        if edit.state != 'in_force':
            continue
        met = {
            fault.kind
            for fault in faults
            if fault.at_s <= edit.at_s + edit.took_s
            and edit.at_s <= fault.until_s + FAULT_EFFECT_S
        }
        what = 'fault' if met else 'quiet'
        if met & STORE_FAULTS:
            what = 'store_away'
        took[what].append(round(edit.took_s, 3))
    return took


def listed_for_s(watcher, killed_s, host):
    """How long after its death a host was still named to callers.

    A host that comes back is named again; that is another life.
    """
    longest_s = 0.0
    for other in {listing.host for listing in watcher.listings} - {host}:
        for listing in watcher.listings:
            if listing.host != other or listing.at_s < killed_s:
                continue
            if host not in listing.hosts:
                break
            longest_s = max(longest_s, listing.at_s - killed_s)
    return round(longest_s, 2)


def last_run_after_notice_s(seen, departure):
    """How long after its notice an endpoint was still given work."""
    late = [
        run.at_s - departure.at_s
        for run in seen.runs
        if run.endpoint == departure.endpoint
        and not run.offset
        and departure.at_s <= run.at_s < departure.returned_s
    ]
    return round(max(late, default=0.0), 2)


def takeover_times(deployment, faults):
    """How long each duty of a killed host had no holder."""
    writes = collections.defaultdict(list)
    for row in deployment.ledger('keyvalue'):
        if row.get('sender') and '/lease' in row.get('key', ''):
            writes[row['key']].append((row['at_s'], row['sender']))
    gaps = []
    for killed_s, host in faults.kills:
        for each in writes.values():
            before = [sender for at_s, sender in each if at_s < killed_s]
            after = [
                at_s
                for at_s, sender in each
                if at_s > killed_s and sender != host
            ]
            if before and before[-1] == host and after:
                gaps.append(round(after[0] - killed_s, 2))
    return gaps


def store_call_rates(deployment, begun_s):
    """Calls a second that the store has had since the start, by kind."""
    address = deployment.address('keyvalue')
    try:
        _, ledger = cluster.call_json(address, 'GET', '/ledger')
    except OSError:
        return {}
    length_s = time.monotonic() - begun_s
    return {
        kind: round(count / length_s, 2)
        for kind, count in ledger['calls'].items()
    }


def quantile(values, share):
    """The value that so large a share of the sorted values reaches."""
    if not values:
        return None
    return values[min(len(values) - 1, math.ceil(share * len(values)) - 1)]
