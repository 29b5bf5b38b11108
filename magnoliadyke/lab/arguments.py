"""Parses arguments and files of lab programs; errors name the remedy."""

import json

from magnoliadyke import errors

__all__ = ['parse_whole_number', 'read_json', 'read_text']


def parse_whole_number(arguments, option):
    """Parse the value of an option as a whole number.

    :param arguments: the command's arguments, as docopt returns them
    :param option: its name, such as ``--seed``
    :raises UsageError: if the value is not a whole number
    """
    try:
        return int(arguments[option])
    except ValueError:
        raise errors.UsageError(
            f'{option} is {arguments[option]!r}', 'give a whole number'
        ) from None


def read_text(path):
    """Read a UTF-8 text file.

    :raises UsageError: if it can't be read
    """
    try:
        with open(path, encoding='utf-8') as file:
            return file.read()
    except (OSError, UnicodeDecodeError) as error:
        raise errors.UsageError(
            f'{path}: {error}', 'name a readable UTF-8 text file'
        ) from error


def read_json(path):
    """Read a JSON file.

    :raises UsageError: if it can't be read or is not valid JSON
    """
    try:
        return json.loads(read_text(path))
    except ValueError as error:
        raise errors.UsageError(
            f'{path}: {error}', 'correct the JSON in the file'
        ) from error
