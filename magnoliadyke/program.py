"""Command line that starts this program, from a checkout or a binary."""

import os
import sys

__all__ = ['BINARY_VARIABLE', 'command']

#: Environment variable in which the launcher of the single-file binary passes
#: the path of that binary.
BINARY_VARIABLE = 'MAGNOLIADYKE_BINARY'


def command(*args: str) -> list[str]:
    """Return the command line that starts this program with arguments.

    Used by the lab only: a node starts no processes.

    :param args: arguments of the program.
    """
    binary = os.environ.get(BINARY_VARIABLE)
    if binary:
        return [binary, *args]
    return [sys.executable, '-m', 'magnoliadyke', *args]
