"""Cache events are published late, and gaps are marked."""

import unittest

from magnoliadyke.lab import cacheevents


class EventLogTest(unittest.TestCase):
    def test_events_are_late(self):
        log = cacheevents.EventLog(1.0, 0.0)
        log.add('stored', ('a',), 10.0, 0.0)
        self.assertEqual([], log.ready_entries(0, 10.9))
        self.assertEqual(1, len(log.ready_entries(0, 11.0)))

    def test_lost_and_forgotten_events_are_gaps(self):
        log = cacheevents.EventLog(0.0, 0.0)
        log.add('stored', ('a',), 0.0, 0.0)
        log.add('stored', ('b',), 0.0, 1.0)
        read = log.read(0, 0.0)
        self.assertEqual((2, True), (read['next'], read['gap']))
        self.assertEqual([1], [e['seq'] for e in read['events']])
        self.assertFalse(log.read(2, 0.0)['gap'])

    def test_a_reader_ahead_of_a_new_log_starts_over(self):
        log = cacheevents.EventLog(0.0, 0.0)
        read = log.read(7, 0.0)
        self.assertEqual((0, True), (read['next'], read['gap']))
