"""Rules of the fault proxy."""

import unittest

from magnoliadyke.lab import rules


class RulesTest(unittest.TestCase):
    def setUp(self):
        self.rules = rules.Rules()

    def test_a_rule_is_about_one_direction_unless_it_says_both(self):
        self.rules.add({'kind': 'drop', 'from': 'entry-*', 'to': 'store'})
        self.assertTrue(self.rules.find('drop', 'entry-1', 'store'))
        self.assertIsNone(self.rules.find('drop', 'store', 'entry-1'))
        fault = {'kind': 'cut', 'from': 'a', 'to': 'b', 'both': True}
        self.rules.add(fault)
        self.assertTrue(self.rules.find('cut', 'b', 'a'))

    def test_a_rule_ends(self):
        self.rules.add({'kind': 'drop', 'for_s': 0})
        self.assertIsNone(self.rules.find('drop', 'a', 'b'))

    def test_replies_are_lost_by_count(self):
        self.rules.add({'kind': 'lose_reply', 'count': 2})
        taken = [self.rules.consume_lost_reply('a', 'b') for _ in range(3)]
        self.assertEqual([True, True, False], taken)

    def test_an_unknown_kind_is_refused(self):
        with self.assertRaises(ValueError):
            self.rules.add({'kind': 'explode'})
