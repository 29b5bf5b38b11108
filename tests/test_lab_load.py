"""Callers of a lab run: who comes back, and what is noted."""

import unittest

from magnoliadyke.core import jobs
from magnoliadyke.core import outcomes
from magnoliadyke.lab import load
from magnoliadyke.lab import workload

NOT_RUN = outcomes.NotRun('overloaded', 'come back', 0.0)
UNKNOWN = outcomes.Unknown('home_gone', 'look it up')
ANSWERED = outcomes.Answered('key', 'text')


class FakeClient:
    def __init__(self, told):
        self.told = list(told)

    def call(self, service, method, path, body, repeatable):
        return self.told.pop(0)


def run(told, repeatable, max_retries):
    """The record of one call to which a client was told these."""
    job = jobs.Job('1', 'portal', 'portal', repeatable=repeatable)
    call = workload.ServiceCall(0.0, job, 'portal', 'POST', '/notices', '')
    made = load.Load({'portal': [FakeClient(told)]}, [call], max_retries)
    made.start()
    made.join(10.0)
    return made.records[0]


class LoadTest(unittest.TestCase):
    def test_a_caller_comes_back_after_not_run(self):
        record = run([NOT_RUN, ANSWERED], repeatable=False, max_retries=3)
        self.assertEqual(ANSWERED, record.outcome)
        self.assertEqual([NOT_RUN], record.retried_outcomes)
        self.assertIsNotNone(record.finished_s)

    def test_after_unknown_only_what_may_be_repeated_comes_back(self):
        again = run([UNKNOWN, ANSWERED], repeatable=True, max_retries=3)
        self.assertEqual(ANSWERED, again.outcome)
        once = run([UNKNOWN, ANSWERED], repeatable=False, max_retries=3)
        self.assertEqual(UNKNOWN, once.outcome)

    def test_a_trace_is_sent_once(self):
        record = run([NOT_RUN, ANSWERED], repeatable=True, max_retries=0)
        self.assertEqual(NOT_RUN, record.outcome)
