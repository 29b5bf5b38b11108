"""Collects the evidence of a fault run, for the checker and for figures."""

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

#: Faults of the store, during which edits are slow or can't be accepted.
STORE_FAULTS = frozenset({'store_down', 'store_slow'})
#: How long after its end a fault may still slow down an edit.
FAULT_EFFECT_S = 5.0
#: One of this many clients makes foreign keys.
FOREIGN_KEY_EVERY = 4
#: Longest excerpt of a wrong answer in a violation.
MAX_EXCERPT_CHARS = 120
OUTCOMES = {
    outcomes.Answered: checker.ANSWERED,
    outcomes.NotRun: checker.NOT_RUN,
    outcomes.Unknown: checker.UNKNOWN,
    outcomes.Rejected: checker.REJECTED,
}


class RecordingClient(caller.Client):
    """A caller that records the outcome reported for each key.

    :param reported: list to which a :class:`checker.ReportedOutcome` is
        appended for each key
    :param foreign: whether it makes its own keys, without a ticket
    """

    def __init__(self, hosts, credential, reported, foreign):
        super().__init__(hosts, credential)
        self.reported = reported
        self.foreign = foreign
        self.keys = {}

    def start_session(self, address):
        """Start a session, with foreign keys if the client makes them.

        :returns: whether it was started
        """
        started = super().start_session(address)
        if started and self.foreign:
            self.session.new_key = foreign_key
        return started

    def try_host(self, address, request, progress):
        """Send a request to a host and record its key."""
        self.keys[id(request)] = progress.key
        return super().try_host(address, request, progress)

    def run_key(self, request, end_s):
        """Send a request under one key and record the outcome of that key."""
        outcome = super().run_key(request, end_s)
        key = self.keys.pop(id(request), '')
        if key:
            reason = getattr(outcome, 'reason', '')
            name = OUTCOMES[type(outcome)]
            self.reported.append(
                checker.ReportedOutcome(time.time(), key, name, reason)
            )
        return outcome


class RecordingLoad(loads.Load):
    """A load that records when each call ended, with any outcome."""

    def __init__(self, clients, calls, max_retries=0):
        super().__init__(clients, calls, max_retries)
        self.ended_s = {}

    def send(self, record):
        """Send one call and record when it ended."""
        super().send(record)
        self.ended_s[record] = self.now_s()


def foreign_key():
    """Return an idempotency key as made by callers without a ticket."""
    return f'lab-{uuid.uuid4().hex}'


def recording_clients(deployment, customers, count, reported):
    """Create clients of each customer, each with its own session.

    :param count: number of clients of each customer
    :param reported: list to which the clients append the outcomes of keys
    :returns: lists of clients by customer
    """
    hosts = [deployment.caller_address(name) for name in deployment.hosts]
    return {
        customer: [
            RecordingClient(
                hosts,
                cluster.caller_key(customer),
                reported,
                number % FOREIGN_KEY_EVERY == 0,
            )
            for number in range(count)
        ]
        for customer in customers
    }


def collect(deployment, load, reported, observer, editors, injector):
    """Collect the evidence of a run.

    :param load: :class:`RecordingLoad`
    :param reported: list of :class:`checker.ReportedOutcome`
    :param observer: :class:`magnoliadyke.lab.observer.Observer`
    :param editors: :class:`magnoliadyke.lab.observer.Editors`
    :param injector: :class:`magnoliadyke.lab.injector.Injector`
    :returns: :class:`checker.Evidence`
    """
    return checker.Evidence(
        [to_call(record, load) for record in load.records],
        list(reported),
        [to_run(name, row) for name, row in rows(deployment, 'run')],
        [to_command(name, row) for name, row in rows(deployment, 'command')],
        observer.samples,
        editors.accepted(),
        injector.departures,
        injector.faults,
    )


def rows(deployment, what):
    """Rows of one kind from the ledgers of all endpoints.

    :returns: pairs of the endpoint's name and the row
    """
    for name in deployment.endpoints:
        for row in deployment.ledger(name):
            if row['what'] == what:
                yield name, row


def to_call(record, load):
    """Convert the record of a call to a :class:`checker.Call`."""
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
    """The reason of an outcome, or an excerpt of the answer."""
    outcome = record.outcome
    if outcome is None and record.retried_outcomes:
        last = record.retried_outcomes[-1].reason
        return f'{len(record.retried_outcomes)} retries, last reason {last}'
    if isinstance(outcome, outcomes.Answered):
        return f'{outcome.finish_reason}: {outcome.text[:MAX_EXCERPT_CHARS]}'
    return getattr(outcome, 'reason', '')


def to_run(name, row):
    """Convert a ledger's row to a :class:`checker.Run`."""
    return checker.Run(
        row['at_s'],
        name,
        row.get('key') or '',
        row['content'],
        row.get('kind') or 'service',
        row.get('offset') or 0,
    )


def to_command(name, row):
    """Convert a ledger's row to a :class:`checker.Command`."""
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


def figures(
    deployment, load, observer, editors, injector, evidence, store_calls
):
    """Compute the figures of a run for its JSON result.

    :param evidence: :class:`checker.Evidence` of the run
    :param store_calls: of :func:`store_call_rates`
    """
    by_outcome = collections.Counter(call.outcome for call in evidence.calls)
    once = [call for call in evidence.calls if not call.repeatable]
    unknown_unrepeatable_calls = sum(
        call.outcome == checker.UNKNOWN for call in once
    )
    services = sum(
        isinstance(record.call, workload.ServiceCall)
        for record in load.records
    )
    return {
        'calls': dict(by_outcome),
        'service_calls': services,
        'once': {'sent': len(once), 'unknown': unknown_unrepeatable_calls},
        'role_changes': runs.role_changes(deployment),
        'commands': len(evidence.commands),
        'edits': dict(collections.Counter(e.state for e in editors.edits)),
        'in_force_s': in_force_times(editors.edits, injector.faults),
        'dead_listed_s': [
            listed_for_s(observer, at_s, host) for at_s, host in injector.kills
        ],
        'last_work_s': [
            last_run_after_notice_s(evidence, departure)
            for departure in evidence.departures
        ],
        'takeover_s': takeover_times(deployment, injector),
        'store_calls': store_calls,
        'poisoned': [str(outcome) for outcome in injector.poisoned],
    }


def in_force_times(edits, faults):
    """Return how long edits took to come into force, by concurrent faults.

    :returns: lists of seconds under 'store_away' for edits during faults of
        the store, 'fault' for those during others, 'quiet' for the rest
    """
    took = {'quiet': [], 'fault': [], 'store_away': []}
    for edit in edits:
        if edit.state != 'in_force':
            continue
        overlapping = {
            fault.kind
            for fault in faults
            if fault.at_s <= edit.at_s + edit.took_s
            and edit.at_s <= fault.until_s + FAULT_EFFECT_S
        }
        what = 'fault' if overlapping else 'quiet'
        if overlapping & STORE_FAULTS:
            what = 'store_away'
        took[what].append(round(edit.took_s, 3))
    return took


def listed_for_s(observer, killed_s, host):
    """How long after it was killed a host was still listed to callers.

    The longest time of all other hosts, each up to its first list without the
    killed host: after that, a list may hold its restarted node.
    """
    longest_s = 0.0
    for other in {listing.host for listing in observer.listings} - {host}:
        for listing in observer.listings:
            if listing.host != other or listing.at_s < killed_s:
                continue
            if host not in listing.hosts:
                break
            longest_s = max(longest_s, listing.at_s - killed_s)
    return round(longest_s, 2)


def last_run_after_notice_s(evidence, departure):
    """How long after its notice a leaving endpoint got its last request."""
    late = [
        run.at_s - departure.at_s
        for run in evidence.runs
        if run.endpoint == departure.endpoint
        and not run.offset
        and departure.at_s <= run.at_s < departure.returned_s
    ]
    return round(max(late, default=0.0), 2)


def takeover_times(deployment, injector):
    """Return how long each lease of a killed host had no new holder.

    :returns: seconds from the kill until another host wrote the lease
    """
    writes = collections.defaultdict(list)
    for row in deployment.ledger('keyvalue'):
        if row.get('sender') and '/lease' in row.get('key', ''):
            writes[row['key']].append((row['at_s'], row['sender']))
    gaps = []
    for killed_s, host in injector.kills:
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


def store_call_rates(deployment, started_s):
    """Calls per second to the store since the start of the run, by kind.

    :param started_s: monotonic time of the start
    :returns: nothing if the store does not answer
    """
    address = deployment.address('keyvalue')
    try:
        _, ledger = cluster.call_json(address, 'GET', '/ledger')
    except OSError:
        return {}
    length_s = time.monotonic() - started_s
    return {
        kind: round(count / length_s, 2)
        for kind, count in ledger['calls'].items()
    }


def quantile(values, share):
    """The nearest-rank quantile of sorted values, None without any."""
    if not values:
        return None
    return values[min(len(values) - 1, math.ceil(share * len(values)) - 1)]
