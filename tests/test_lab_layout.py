"""Addresses, names and settings of a lab run."""

import json
import pathlib
import unittest

from magnoliadyke.lab import layout

EXAMPLE = pathlib.Path(__file__).parents[1] / 'examples' / 'dala.json'


class LayoutTest(unittest.TestCase):
    def setUp(self):
        self.document = json.loads(EXAMPLE.read_text())
        self.options = layout.Options(67, hosts=3)

    def make(self):
        settings = layout.derive_settings(self.document, self.options)
        return layout.Layout(settings, self.options, pathlib.Path('.'))

    def test_clusters_side_by_side_share_no_address(self):
        derived = layout.derive_settings(self.document, self.options)
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
