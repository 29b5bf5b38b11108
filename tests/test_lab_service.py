"""The plain service stand-in writes down every call that ran."""

import json
import unittest

from magnoliadyke.lab import service
from magnoliadyke.lab import standin


class ServiceStandInTest(unittest.TestCase):
    def setUp(self):
        self.service = service.ServiceStandIn(service.Spec(work_s=0.0))

    def call(self, path, body=None):
        environ = {'HTTP_X_REQUEST_ID': 'r1'}
        data = b'' if body is None else json.dumps(body).encode()
        return self.service.handle(
            standin.Request('POST', path, {}, environ, data)
        )

    def runs(self):
        return [
            r['id'] for r in self.service.ledger.rows if r['what'] == 'run'
        ]

    def test_a_call_is_echoed_and_written_down(self):
        answer = json.loads(self.call('/balance', {'lease': 7}).body)
        self.assertEqual(('/balance', 'r1'), (answer['path'], answer['id']))
        self.assertEqual(['r1'], self.runs())

    def test_a_lost_reply_is_a_run(self):
        self.call('/faults', {'kind': 'lose_reply'})
        with self.assertRaises(standin.DropConnection):
            self.call('/balance')
        self.assertEqual(['r1'], self.runs())

    def test_a_refused_call_is_no_run(self):
        self.call('/faults', {'kind': 'left'})
        self.assertEqual(503, self.call('/balance').status)
        self.assertEqual([], self.runs())
