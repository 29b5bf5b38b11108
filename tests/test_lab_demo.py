"""When the demo calls itself good."""

import unittest

from magnoliadyke.lab import demo

GOOD = demo.Summary(
    requests=2,
    answered=2,
    not_run=0,
    unknown=0,
    rejected=0,
    unfinished=0,
    told_not_run=1,
    told_unknown=0,
    wrong=0,
    doubled=0,
    goodput_tokens_s={'lease': 1.0},
    role_changes=0,
    edit_in_force_s=0.5,
    stopped_badly=0,
    killed='entry-3',
    seconds=20.0,
)


class SummaryTest(unittest.TestCase):
    def test_all_answered_whole_and_once_is_good(self):
        self.assertTrue(GOOD.succeeded())
        self.assertIn(
            'every caller received its complete answer', demo.render(GOOD)
        )

    def test_anything_less_is_not(self):
        worse = [
            {'answered': 1, 'unknown': 1},
            {'wrong': 1},
            {'doubled': 1},
            {'stopped_badly': 1},
            {'edit_in_force_s': None},
        ]
        for fields in worse:
            summary = GOOD._replace(**fields)
            self.assertFalse(summary.succeeded(), fields)
            self.assertIn('FAILED', demo.render(summary))
