"""How this program is started again, from a checkout or as one binary."""

import os
import sys

__all__ = ['BINARY_VARIABLE', 'command']

#: Set by the launcher of the one binary to the path of that binary.
BINARY_VARIABLE = 'MAGNOLIADYKE_BINARY'


def command(*args: str) -> list[str]:
    """Give the command line that starts this program with arguments.

    Only the lab starts processes; a node never does.

    :param args: arguments of the program.
    """
    binary = os.environ.get(BINARY_VARIABLE)
    if binary:
        return [binary, *args]
    return [sys.executable, '-m', 'magnoliadyke', *args]
