"""The weight store grants bytes at its rate."""

import json
import unittest

from magnoliadyke.lab import standin
from magnoliadyke.lab import weights


class WeightStoreTest(unittest.TestCase):
    def test_over_the_rate_it_says_when_to_come_back(self):
        store = weights.WeightStoreStandIn(weights.Spec(10.0, 100.0))
        body = json.dumps({'bytes': 100}).encode()
        request = standin.Request('POST', '/tokens', {}, {}, body)
        self.assertEqual(200, store.handle(request).status)
        refused = store.handle(request)
        self.assertEqual(429, refused.status)
        self.assertAlmostEqual(
            10.0, json.loads(refused.body)['retry_after_s'], delta=1.0
        )
