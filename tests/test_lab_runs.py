"""Ledgers tell what ran, and how often."""

import unittest

from magnoliadyke.core import jobs
from magnoliadyke.lab import runs
from magnoliadyke.lab import workload


class FakeCluster:
    def __init__(self, ledgers):
        self.endpoints = ledgers

    def ledger(self, name):
        return self.endpoints[name]


def run(key, kind, at_s, offset=0):
    return {
        'what': 'run',
        'key': key,
        'kind': kind,
        'at_s': at_s,
        'offset': offset,
    }


def record(key, repeatable):
    job = jobs.Job(key, 'portal', 'portal', repeatable=repeatable)
    call = workload.ServiceCall(0.0, job, 'portal', 'POST', '/notices', '')
    made = workload.Record(call)
    made.key = key
    return made


class RunsTest(unittest.TestCase):
    def test_a_prefill_and_a_moved_stream_are_no_second_run(self):
        cluster = FakeCluster(
            {
                'a': [run('k', 'prefill', 1.0)],
                'b': [run('k', 'decode', 2.0)],
                'c': [run('k', 'decode', 3.0, offset=9)],
            }
        )
        self.assertEqual([], runs.doubled(cluster, [record('k', False)]))
        self.assertEqual({'k': 1.0}, runs.first_run_s(cluster))

    def test_a_second_run_shows_unless_it_may_be(self):
        cluster = FakeCluster(
            {'a': [run('k', 'both', 1.0)], 'b': [run('k', 'both', 2.0)]}
        )
        self.assertEqual(['k'], runs.doubled(cluster, [record('k', False)]))
        self.assertEqual([], runs.doubled(cluster, [record('k', True)]))


if __name__ == '__main__':
    unittest.main()
