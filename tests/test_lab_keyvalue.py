"""The key-value stand-in: compare-and-swap, leases, restore, faults."""

import json
import unittest

from magnoliadyke.lab import keyvalue
from magnoliadyke.lab import standin


class StoreTest(unittest.TestCase):
    def setUp(self):
        self.store = keyvalue.Store()

    def test_compare_and_swap(self):
        first = self.store.put('k', 'a', 0, '', 1.0)
        self.assertEqual(1, first.revision)
        late = self.store.put('k', 'b', 0, '', 1.0)
        self.assertEqual(keyvalue.Conflict(1, 'a'), late)
        second = self.store.put('k', 'b', 1, '', 1.0)
        self.assertEqual(2, second.revision)

    def test_keys_go_with_their_lease(self):
        lease = self.store.grant(2.0, 0.0)
        self.store.put('k', 'a', 0, lease, 0.0)
        self.assertEqual(2.0, self.store.keep_alive(lease, 1.5))
        self.assertEqual([], self.store.expire(3.0))
        self.assertEqual(['k'], self.store.expire(3.6))
        self.assertIsNone(self.store.keep_alive(lease, 3.7))

    def test_a_restored_store_repeats_revisions(self):
        self.store.put('k', 'a', 0, '', 1.0)
        self.store.put('k', 'b', None, '', 2.0)
        self.assertEqual(['k'], self.store.restore(1.5))
        self.assertEqual('a', self.store.items['k'].value)
        again = self.store.put('k', 'c', 1, '', 3.0)
        self.assertEqual(2, again.revision)


class KeyValueStandInTest(unittest.TestCase):
    def setUp(self):
        self.stand_in = keyvalue.KeyValueStandIn(
            keyvalue.Spec(delay_s=0.0, writes_s=3.0)
        )

    def call(self, method, path, body=None, query=None):
        data = b'' if body is None else json.dumps(body).encode()
        environ = {'REMOTE_ADDR': '127.0.0.1', 'HTTP_X_SENDER': 'alm-1'}
        return self.stand_in.handle(
            standin.Request(method, path, query or {}, environ, data)
        )

    def test_a_lost_reply_leaves_the_write(self):
        """The node sees its connection end and can't know the outcome.

        The write has taken effect all the same: only reading back tells.
        """
        self.call('POST', '/faults', {'kind': 'lose_reply'})
        with self.assertRaises(standin.DropConnection):
            self.call('PUT', '/kv/a/b', {'value': 'x', 'if_revision': 0})
        answer = json.loads(self.call('GET', '/kv/a/b').body)
        self.assertEqual('x', answer['value'])

    def test_calls_over_the_rate_are_refused_and_counted(self):
        statuses = [
            self.call('PUT', '/kv/a', {'value': 'x'}).status for _ in range(4)
        ]
        self.assertEqual([200, 200, 200, 429], statuses)
        senders = json.loads(self.call('GET', '/ledger').body)['senders']
        self.assertEqual({'put': 4, 'refused': 1}, senders['alm-1'])

    def test_a_watch_ends_with_the_next_revision(self):
        self.call('PUT', '/kv/a', {'value': 'x'})
        query = {'after': '1', 'wait_s': '0.01'}
        self.assertEqual(204, self.call('GET', '/watch/a', None, query).status)
        query['after'] = '0'
        answer = self.call('GET', '/watch/a', None, query)
        self.assertEqual(1, json.loads(answer.body)['revision'])

    def test_an_outage_ends_every_call(self):
        self.call('POST', '/faults', {'kind': 'outage', 'for_s': 60})
        with self.assertRaises(standin.DropConnection):
            self.call('GET', '/kv/a')
        self.call('POST', '/faults', {'kind': 'clear'})
        self.assertEqual(404, self.call('GET', '/kv/a').status)
