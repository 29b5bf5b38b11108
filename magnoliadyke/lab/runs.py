"""Executions and role changes in the ledgers of the stand-ins of a run."""

import collections

__all__ = [
    'find_duplicate_executions',
    'first_run_times_s',
    'role_changes',
    'runs_by_content',
]

#: Kinds of work that generate an answer.  A prefill alone returns nothing to
#: the caller and is not counted as an execution.
ANSWERING_KINDS = ('decode', 'both', None)


def ledger_rows(cluster, what):
    """Yield the rows of one kind from the ledgers of all endpoints.

    :param cluster: the :class:`magnoliadyke.lab.cluster.Cluster`
    :param what: the kind, such as ``run``
    """
    for name in cluster.endpoints:
        for row in cluster.ledger(name):
            if row['what'] == what:
                yield row


def runs_by_content(cluster):
    """Count the executions of each request, by digest of its content.

    Counting by content rather than by idempotency key also finds a request
    that ran although its caller received "not run" and resubmitted it under
    a new key.  A decode with an offset is not counted: it resumes a stream
    that migrated from another engine.
    """
    counts = collections.Counter()
    for row in ledger_rows(cluster, 'run'):
        if row.get('kind') in ANSWERING_KINDS and not row.get('offset'):
            counts[row['content']] += 1
    return counts


def find_duplicate_executions(cluster, records):
    """Return the records of non-repeatable requests that ran twice or more.

    :param records: :class:`magnoliadyke.lab.workload.Record` of the run
    """
    counts = runs_by_content(cluster)
    return [
        record
        for record in records
        if not record.job.repeatable and counts[record.content_digest()] > 1
    ]


def first_run_times_s(cluster):
    """Return the wall time of the first execution of each content."""
    first = {}
    for row in ledger_rows(cluster, 'run'):
        content = row['content']
        first[content] = min(first.get(content, row['at_s']), row['at_s'])
    return first


def role_changes(cluster):
    """Return the number of role changes that engines started."""
    return sum(1 for _ in ledger_rows(cluster, 'change_begun'))
