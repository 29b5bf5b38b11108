"""What the ledgers of a lab run say."""

import collections

__all__ = [
    'find_duplicate_executions',
    'first_run_times_s',
    'role_changes',
    'runs_by_content',
]

#: Prefill alone gives the caller nothing; a run is what makes an answer.
ANSWERING_KINDS = ('decode', 'both', None)


def ledger_rows(cluster, what):
    """Rows of one kind from the ledgers of all endpoints.

    :param cluster: the :class:`magnoliadyke.lab.cluster.Cluster`
    """
    for name in cluster.endpoints:
        for row in cluster.ledger(name):
            if row['what'] == what:
                yield row


def runs_by_content(cluster):
    """How often each content began to run from its start.

    Counting by content and not by key also finds a request that ran
    although its caller was told "not run" and came back with a new key.

    A decode with an offset goes on with a run that was moved.
    """
    counts = collections.Counter()
    for row in ledger_rows(cluster, 'run'):
        if row.get('kind') in ANSWERING_KINDS and not row.get('offset'):
            counts[row['content']] += 1
    return counts


def find_duplicate_executions(cluster, records):
    """Non-repeatable requests that ran more than once.

    :param records: :class:`magnoliadyke.lab.workload.Record` of the run
    """
    counts = runs_by_content(cluster)
    return [
        record
        for record in records
        if not record.job.repeatable and counts[record.content()] > 1
    ]


def first_run_times_s(cluster):
    """Wall time at which each content first ran."""
    first = {}
    for row in ledger_rows(cluster, 'run'):
        content = row['content']
        first[content] = min(first.get(content, row['at_s']), row['at_s'])
    return first


def role_changes(cluster):
    """Role changes that were begun."""
    return sum(1 for _ in ledger_rows(cluster, 'change_begun'))
