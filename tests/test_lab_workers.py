"""Tests of mapping over forked processes."""

import os

import pytest

from magnoliadyke.lab import workers


def test_results_come_in_order_from_other_processes():
    def work(task):
        return task * task, os.getpid()

    results = workers.map_tasks(work, list(range(20)), 3)
    assert [square for square, _ in results] == [n * n for n in range(20)]
    assert os.getpid() not in {pid for _, pid in results}


def test_error_of_a_task_is_raised():
    with pytest.raises(ZeroDivisionError):
        workers.map_tasks(lambda task: 1 // task, [1, 0, 2], 2)
