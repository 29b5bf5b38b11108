"""Tests of mapping over worker processes."""

import math
import os
import threading

import pytest

from magnoliadyke.lab import workers


def test_results_come_in_order():
    found = workers.map_tasks(math.factorial, list(range(20)), 3)
    assert found == [math.factorial(number) for number in range(20)]


def test_work_is_done_elsewhere_also_when_this_process_has_threads():
    # The operator sees lab policy stand still for good. Workers used to be
    # forks; a process that had started threads gave them locks that were
    # held at the time of the fork and that nobody would ever release.
    stop = threading.Event()
    thread = threading.Thread(target=stop.wait)
    thread.start()
    tasks = ['/proc/self'] * 4
    found = workers.map_tasks(os.path.realpath, tasks, 2)
    stop.set()
    thread.join()
    assert len(set(found)) == 2
    assert f'/proc/{os.getpid()}' not in found


def test_error_of_a_task_is_raised():
    with pytest.raises(ValueError):
        workers.map_tasks(math.factorial, [1, -1, 2], 2)


def test_a_worker_that_dies_is_reported():
    with pytest.raises(workers.WorkerDied):
        workers.map_tasks(os._exit, [3, 4], 2)
