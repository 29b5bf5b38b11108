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
        # Not a fixed one, which another run of the tests may have claimed.
        claim, run = cluster.claim_run(0)
        claim.close()
        self.options = cluster.Options(run, directory.name, hosts=3)

    def make(self):
        made = cluster.Cluster(self.document, self.options)
        self.addCleanup(made.kill_all)
        return made

    def test_addresses_are_claimed(self):
        """Two clusters of one run would talk to each other's processes."""
        self.make()
        with self.assertRaises(cluster.NotReady):
            self.make()

    def test_a_process_that_ends_too_early_is_named(self):
        with cluster.Cluster(self.document, self.options) as made:
            made.launch('entry-1', ['/bin/sh', '-c', 'echo broken'], {})
            with self.assertRaisesRegex(cluster.NotReady, 'entry-1 exited'):
                made.wait_for('entry-1', lambda: False)
