"""What the ledgers of a lab run say."""

import collections

__all__ = ['doubled', 'first_run_s', 'role_changes', 'runs_by_content']

#: Prefill alone gives the caller nothing; a run is what makes an answer.
ANSWERING = ('decode', 'both', None)


def rows(cluster, what):
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
    for row in rows(cluster, 'run'):
        if row.get('kind') in ANSWERING and not row.get('offset'):
            counts[row['content']] += 1
    return counts


def doubled(cluster, records):
    """Non-repeatable requests that ran more than once.

    :param records: :class:`magnoliadyke.lab.workload.Record` of the run
    """
    counts = runs_by_content(cluster)
    return [
        record
        for record in records
        if not record.job.repeatable and counts[record.content_digest()] > 1
    ]


def first_run_s(cluster):
    """Wall time at which each content first ran."""
    first = {}
    for row in rows(cluster, 'run'):
        content = row['content']
        first[content] = min(first.get(content, row['at_s']), row['at_s'])
    return first


def role_changes(cluster):
    """Role changes that were begun."""
    return sum(1 for _ in rows(cluster, 'change_begun'))
