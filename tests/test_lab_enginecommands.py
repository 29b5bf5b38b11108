"""Commands to the engine stand-in: fencing, one change at a time."""

import json
import unittest

import gevent

from magnoliadyke.lab import engine
from magnoliadyke.lab import standin

SPEEDS = {'role_change_s': 0.05}


class CommandsTest(unittest.TestCase):
    def setUp(self):
        self.engine = self.make()

    def make(self, **fields):
        made = engine.EngineStandIn(engine.Spec(speeds=SPEEDS, **fields))
        made.start()
        return made

    def call(self, method, path, body=None):
        data = b'' if body is None else json.dumps(body).encode()
        return self.engine.handle(standin.Request(method, path, {}, {}, data))

    def settle(self):
        while self.engine.commands.is_changing():
            gevent.sleep(0.005)

    def test_fencing_is_checked_where_the_settings_say_so(self):
        command = {'id': '1', 'kind': 'load', 'model': 'm', 'fencing': 9}
        late = {'id': '2', 'kind': 'unload', 'model': 'm', 'fencing': 8}
        for checks, status in ((True, 409), (False, 202)):
            self.engine = self.make(checks_fencing=checks, load_s=0.0)
            taken = self.call('POST', '/v1/commands', command)
            self.assertEqual(202, taken.status)
            self.settle()
            answer = self.call('POST', '/v1/commands', late)
            self.assertEqual(status, answer.status, checks)

    def test_one_change_at_a_time(self):
        role = {'kind': 'role', 'role': 'prefill', 'generation': 1}
        first = self.call('POST', '/v1/commands', {'id': '1', **role})
        same = self.call('POST', '/v1/commands', {'id': '1', **role})
        other = self.call('POST', '/v1/commands', {'id': '2', **role})
        statuses = (first.status, same.status, other.status)
        self.assertEqual((202, 202, 409), statuses)
        self.settle()
        state = json.loads(self.call('GET', '/v1/state').body)
        self.assertEqual('prefill', state['role'])
        self.assertEqual(1, state['generation'])

    def test_a_change_may_fail_half_way(self):
        """The engine took the command and ends in its old role.

        Only reading its state back shows it: the command was accepted and
        the generation is the new one.
        """
        self.call('POST', '/faults', {'kind': 'fail_change'})
        role = {'id': '1', 'kind': 'role', 'role': 'prefill', 'generation': 2}
        self.assertEqual(202, self.call('POST', '/v1/commands', role).status)
        self.settle()
        state = json.loads(self.call('GET', '/v1/state').body)
        self.assertEqual(('decode', 2), (state['role'], state['generation']))

    def test_a_lost_reply_leaves_the_command_in_effect(self):
        self.call('POST', '/faults', {'kind': 'lose_reply'})
        command = {'id': '1', 'kind': 'unload', 'model': 'lease-model'}
        with self.assertRaises(standin.DropConnection):
            self.call('POST', '/v1/commands', command)
        state = json.loads(self.call('GET', '/v1/state').body)
        self.assertEqual([], state['models'])
