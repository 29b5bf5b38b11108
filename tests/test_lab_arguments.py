"""Bad arguments of lab programs name their remedy."""

import pathlib
import tempfile
import unittest

from magnoliadyke import errors
from magnoliadyke.lab import arguments


class ArgumentsTest(unittest.TestCase):
    def test_a_word_is_no_number(self):
        self.assertEqual(
            3, arguments.parse_whole_number({'--seed': '3'}, '--seed')
        )
        with self.assertRaisesRegex(errors.UsageError, '--seed is .x.'):
            arguments.parse_whole_number({'--seed': 'x'}, '--seed')

    def test_files_that_cannot_be_read_are_named(self):
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory) / 'settings.json'
            with self.assertRaisesRegex(errors.UsageError, 'settings.json'):
                arguments.read_json(path)
            path.write_text('{')
            with self.assertRaisesRegex(errors.UsageError, 'correct'):
                arguments.read_json(path)
