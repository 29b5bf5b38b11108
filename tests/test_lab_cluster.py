"""Settings of a lab run, derived from those of a deployment."""

import json
import pathlib
import tempfile
import unittest

from magnoliadyke.lab import cluster

EXAMPLE = pathlib.Path(__file__).parents[1] / 'examples' / 'dala.json'


class ClusterTest(unittest.TestCase):
    def setUp(self):
        self.document = json.loads(EXAMPLE.read_text())
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.options = cluster.Options(67, directory.name, hosts=3)

    def make(self):
        made = cluster.Cluster(self.document, self.options)
        self.addCleanup(made.kill_all)
        return made

    def test_addresses_are_claimed(self):
        """Two clusters of one run would talk to each other's processes."""
        self.make()
        with self.assertRaises(cluster.NotReady):
            self.make()

    def test_clusters_side_by_side_share_no_address(self):
        derived = cluster.derive(self.document, self.options)
        self.assertNotIn('"127.0.', json.dumps(derived))
        self.assertEqual('127.67.4.1:7300', derived['keyvalue']['address'])
        self.assertEqual(3, len(derived['hosts']))

    def test_every_target_of_a_node_has_a_name(self):
        made = self.make()
        self.assertEqual('keyvalue', made.names['127.67.4.1:7300'])
        self.assertEqual('entry-2', made.names['127.67.1.2:7082'])
        self.assertEqual('entry-2', made.names['127.67.1.2:7080'])
        self.assertEqual('portal-4', made.names['127.67.3.4:7200'])

    def test_stand_ins_get_what_the_settings_say(self):
        made = self.make()
        program, spec = made.stand_in_spec('lease-model-4')
        self.assertEqual('engine', program)
        self.assertFalse(spec['checks_fencing'])
        self.assertEqual(['lease-model'], spec['models'])
        self.assertEqual('service', made.stand_in_spec('portal-1')[0])

    def test_a_process_that_ends_too_early_is_named(self):
        with cluster.Cluster(self.document, self.options) as made:
            made.launch('entry-1', ['/bin/sh', '-c', 'echo broken'], {})
            with self.assertRaisesRegex(cluster.NotReady, 'entry-1 ended'):
                made.wait_for('entry-1', lambda: False)


if __name__ == '__main__':
    unittest.main()
