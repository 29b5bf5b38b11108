"""Arguments of lab programs, with errors that name the remedy."""

import json

from magnoliadyke import errors

__all__ = ['read_json', 'read_text', 'parse_whole_number']


def parse_whole_number(arguments, option):
    """The whole number that an option has.

    :param arguments: the command's arguments
    :raises UsageError: if it has another value
    """
    try:
        return int(arguments[option])
    except ValueError:
        raise errors.UsageError(
            f'{option} is {arguments[option]!r}', 'give a whole number'
        ) from None


def read_text(path):
    """The text of a file.

    :raises UsageError: if it can't be read
    """
    try:
        with open(path, encoding='utf-8') as file:
            return file.read()
    except (OSError, UnicodeDecodeError) as error:
        raise errors.UsageError(
            f'{path}: {error}', 'name a text file that can be read'
        ) from error


def read_json(path):
    """The value in a JSON file.

    :raises UsageError: if it can't be read or is no JSON
    """
    try:
        return json.loads(read_text(path))
    except ValueError as error:
        raise errors.UsageError(
            f'{path}: {error}', 'correct the file'
        ) from error
