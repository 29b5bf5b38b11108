"""Maps a function over tasks in several processes of this program."""

import pickle
import subprocess

import gevent
from gevent import queue

from magnoliadyke.lab import worker
from magnoliadyke import program

__all__ = ['WorkerDied', 'map_tasks']


class WorkerDied(Exception):
    """A worker process exited before it returned the result of its task."""


def map_tasks(function, tasks, processes):
    """Apply a function to each task in worker processes.

    The standard library's pools hang once gevent has patched threads, and a
    child forked from a process that has started threads may block for ever
    on a lock that one of them held.  So workers are new processes of this
    program that receive tasks and return results over pipes.

    :param function: importable by its name
    :param processes: maximum number of processes; with one, or one task,
        tasks run in this process
    :returns: the results in the order of the tasks
    :raises Exception: that of the first task in order which raised one
    :raises WorkerDied: if a process exited during a task
    """
    count = min(processes, len(tasks))
    if count <= 1:
        return [function(task) for task in tasks]
    numbers = queue.SimpleQueue()
    for number in range(len(tasks)):
        numbers.put(number)
    results = {}
    greenlets = [
        gevent.spawn(run_worker, function, tasks, numbers, results)
        for _ in range(count)
    ]
    gevent.joinall(greenlets, raise_error=True)
    for number in range(len(tasks)):
        if isinstance(results[number], Exception):
            raise results[number]
    return [results[number] for number in range(len(tasks))]


def run_worker(function, tasks, numbers, results):
    """Start a worker process and send it tasks until none is left."""
    process = subprocess.Popen(
        program.command('lab', 'worker'),
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    )
    try:
        while not numbers.empty():
            number = numbers.get()
            worker.write(process.stdin, (function, tasks[number]))
            results[number] = read_result(process, tasks[number])
    finally:
        process.stdin.close()
        process.stdout.close()
        process.wait()


def read_result(process, task):
    """Read the result of a task from a worker."""
    try:
        return worker.read(process.stdout)
    except (EOFError, pickle.UnpicklingError) as error:
        raise WorkerDied(
            f'the worker of task {task!r} exited; see its error output above'
        ) from error
