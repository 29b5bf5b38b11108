"""A worker process: reads pickled tasks, writes pickled results."""

import os
import pickle
import sys

__all__ = ['main', 'read', 'write']

STANDARD_OUTPUT = 1
STANDARD_ERROR = 2


def write(file, message):
    """Write one message to a pipe."""
    pickle.dump(message, file)
    file.flush()


def read(file):
    """Read one message from a pipe.

    :raises EOFError: at its end
    """
    return pickle.load(file)


def main(argv):
    """Work until the parent closes the pipe.

    Whatever a task prints goes to the error output: in the pipe it would
    be taken for a result.

    :return: exit status
    """
    answers = os.fdopen(os.dup(STANDARD_OUTPUT), 'wb')
    os.dup2(STANDARD_ERROR, STANDARD_OUTPUT)
    while True:
        try:
            function, task = read(sys.stdin.buffer)
        except EOFError:
            return 0
        write(answers, run_task(function, task))


def run_task(function, task):
    """Return a task's result, or the exception that it raised."""
    try:
        return function(task)
    except Exception as error:
        return error
