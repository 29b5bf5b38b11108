"""A worker process that reads pickled tasks and writes pickled results."""

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
    """Run tasks until the parent closes the pipe.

    Standard output of tasks is redirected to standard error: in the pipe it
    would be read as a result.

    :returns: exit status
    """
    results = os.fdopen(os.dup(STANDARD_OUTPUT), 'wb')
    os.dup2(STANDARD_ERROR, STANDARD_OUTPUT)
    while True:
        try:
            function, task = read(sys.stdin.buffer)
        except EOFError:
            return 0
        write(results, run_task(function, task))


def run_task(function, task):
    """Run a task.

    :returns: its result, or the exception that it raised
    """
    try:
        return function(task)
    except Exception as error:
        return error
