"""Ledgers tell what ran, and how often."""

import unittest

from magnoliadyke.core import jobs
from magnoliadyke.lab import runs


class FakeCluster:
    def __init__(self, ledgers):
        self.endpoints = ledgers

    def ledger(self, name):
        return self.endpoints[name]


def run(key, kind, at_s, offset=0):
    return {
        'what': 'run',
        'key': key,
        'content': key,
        'kind': kind,
        'at_s': at_s,
        'offset': offset,
    }


class FakeRecord:
    def __init__(self, key, repeatable):
        self.key = key
        self.job = jobs.Job(key, 'portal', 'portal', repeatable=repeatable)

    def content_digest(self):
        return self.key


class RunsTest(unittest.TestCase):
    def test_a_prefill_and_a_moved_stream_are_no_second_run(self):
        cluster = FakeCluster(
            {
                'a': [run('k', 'prefill', 1.0)],
                'b': [run('k', 'decode', 2.0)],
                'c': [run('k', 'decode', 3.0, offset=9)],
            }
        )
        self.assertEqual(
            [],
            runs.find_duplicate_executions(cluster, [FakeRecord('k', False)]),
        )
        self.assertEqual({'k': 1.0}, runs.first_run_times_s(cluster))

    def test_a_second_run_shows_unless_it_may_be(self):
        cluster = FakeCluster(
            {'a': [run('k', 'both', 1.0)], 'b': [run('k', 'both', 2.0)]}
        )
        record = FakeRecord('k', False)
        self.assertEqual(
            [record], runs.find_duplicate_executions(cluster, [record])
        )
        self.assertEqual(
            [],
            runs.find_duplicate_executions(cluster, [FakeRecord('k', True)]),
        )
