"""Calls of a lab run, and what counts as a whole answer."""

import json
import unittest

from magnoliadyke.core import outcomes
from magnoliadyke.lab import engine
from magnoliadyke.lab import traces
from magnoliadyke.lab import workload

ROW = traces.Request(
    1.0, 'lease', 'lease-model', 100, 3, 'file-1', 64, 0.8, 0.07, True
)
POOL = {
    'name': 'portal',
    'routes': [
        {'method': 'GET', 'path': '/balance/*', 'repeatable': True},
        {'method': 'POST', 'path': '/notices', 'repeatable': False},
    ],
}


class WorkloadTest(unittest.TestCase):
    def test_prompts_share_their_prefix_only(self):
        first = workload.prompt(1, ROW).split()
        second = workload.prompt(2, ROW).split()
        self.assertEqual(100, len(first))
        self.assertEqual(first[:64], second[:64])
        self.assertNotEqual(first[64], second[64])

    def test_only_the_callers_own_whole_answer_counts(self):
        call = workload.model_call(1, ROW)
        record = workload.Record(call)
        mark = engine.digest(call.prompt)
        texts = {
            engine.answer_text(mark, 0, 3): True,
            engine.answer_text(mark, 0, 2): False,
            engine.answer_text('another', 0, 3): False,
        }
        for text, whole in texts.items():
            record.outcome = outcomes.Answered('key', text)
            record.text = text
            self.assertEqual(whole, record.is_correct(), text)

    def test_service_calls_take_the_routes_in_turn(self):
        calls = workload.service_calls('portal', POOL, 2.0, 2.0)
        self.assertEqual(
            ['/balance/0', '/notices', '/balance/2', '/notices'],
            [call.path for call in calls],
        )
        self.assertFalse(calls[1].job.repeatable)
        record = workload.Record(calls[1])
        record.outcome = outcomes.Answered('key', '')
        record.text = json.dumps({'path': '/notices', 'body': calls[1].body})
        self.assertTrue(record.is_correct())
        record.text = json.dumps({'path': '/notices', 'body': 'other'})
        self.assertFalse(record.is_correct())
