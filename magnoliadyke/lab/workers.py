"""Map a function over tasks in a few forked processes."""

import os
import pickle
import struct

from gevent import monkey

__all__ = ['map_tasks']

INDEX = struct.Struct('!I')

# The plain calls: the children use no event loop, and gevent's fork hands
# them one that waits for signals which nobody sends.
fork = monkey.get_original('os', 'fork')
waitpid = monkey.get_original('os', 'waitpid')


def map_tasks(function, tasks, processes):
    """Apply a function to each task, in forked processes.

    The standard library's pools hang once gevent has patched threads, and
    spawned children would run the program's main module again; so children
    are plain forks, which take task numbers from one pipe and write their
    results to one each.

    :param processes: most processes
    :returns: the results in the order of the tasks
    :raises Exception: the first that a task raised
    """
    count = min(processes, len(tasks))
    if count <= 1:
        return [function(task) for task in tasks]
    numbers = _numbers_pipe(len(tasks))
    children = [_fork(function, tasks, numbers) for _ in range(count)]
    os.close(numbers)
    results = {}
    for pid, answers in children:
        results.update(_collect(answers))
        waitpid(pid, 0)
    for result in results.values():
        if isinstance(result, Exception):
            raise result
    return [results[number] for number in range(len(tasks))]


def _numbers_pipe(count):
    """A pipe from which each task number can be read once."""
    reading, writing = os.pipe()
    os.write(writing, b''.join(INDEX.pack(n) for n in range(count)))
    os.close(writing)
    return reading


def _fork(function, tasks, numbers):
    reading, writing = os.pipe()
    pid = fork()
    if pid:
        os.close(writing)
        return pid, reading
    try:
        results = _work(function, tasks, numbers)
        with os.fdopen(writing, 'wb') as file:
            pickle.dump(results, file)
    finally:
        # Not sys.exit(): the parent's clean-up is not the child's to do.
        os._exit(0)


def _work(function, tasks, numbers):
    results = {}
    while True:
        packed = os.read(numbers, INDEX.size)
        if not packed:
            return results
        (number,) = INDEX.unpack(packed)
        try:
            results[number] = function(tasks[number])
        except Exception as error:
            results[number] = error


def _collect(reading):
    with os.fdopen(reading, 'rb') as file:
        return pickle.load(file)
