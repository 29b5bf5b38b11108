"""Answers of the engine stand-in."""

import json
import unittest

from magnoliadyke.lab import enginerun


class RunTest(unittest.TestCase):
    def test_an_event_begins_with_its_offset(self):
        run = enginerun.Run('id@1', 'both', 'lease file', 'm', 5, 0)
        frame = run.frame(2, 4)
        self.assertTrue(frame.startswith(b'data: {"offset":2,"end":'))
        event = json.loads(frame[len(b'data: ') :])
        mark = enginerun.digest('lease file')
        self.assertEqual(f'{mark}-2 {mark}-3 ', event['choices'][0]['text'])
        self.assertEqual('id@1', event['id'])

    def test_a_prompt_may_ask_for_a_short_answer(self):
        body = {'prompt': 'a answer-tokens:3 b', 'max_tokens': 9}
        self.assertEqual(3, enginerun.output_tokens(body))
        body['max_tokens'] = 2
        self.assertEqual(2, enginerun.output_tokens(body))
