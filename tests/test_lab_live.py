"""Options and fault files of the live experiment."""

import io
import unittest

from magnoliadyke import errors
from magnoliadyke.lab import live
from magnoliadyke.lab import traces

DALA = traces.DEPLOYMENTS['dala']
HOSTS = ['entry-1', 'entry-2']


def read(text):
    return live.read_faults(io.StringIO(text), 'faults', DALA, HOSTS)


class LiveTest(unittest.TestCase):
    def test_node_losses_stand_beside_the_faults_of_lab_policy(self):
        faults = read(
            '{"at_s": 1, "kind": "node_loss", "target": "entry-2"}\n'
            '{"at_s": 2, "kind": "no_authority", "for_s": 5}\n'
        )
        kinds = [fault.kind for fault in faults]
        self.assertEqual(['node_loss', 'no_authority'], kinds)

    def test_a_bad_line_is_named(self):
        lines = {
            '{"at_s": 1, "kind": "node_loss", "target": "x"}': 'line 1',
            '\n{"at_s": 1, "kind": "explode"}': 'line 2',
        }
        for text, where in lines.items():
            with self.assertRaisesRegex(traces.TraceError, where):
                read(text)

    def test_policies_that_nodes_lack_are_refused(self):
        live.check_policies(['fixed', 'ours'])
        with self.assertRaisesRegex(errors.UsageError, 'lab policy'):
            live.check_policies(['hindsight'])
