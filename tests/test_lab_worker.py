"""Tests of the worker process."""

import io
import math

from magnoliadyke.lab import worker


def test_messages_pass_a_pipe():
    pipe = io.BytesIO()
    worker.write(pipe, (math.factorial, 5))
    pipe.seek(0)
    function, task = worker.read(pipe)
    assert function(task) == 120


def test_an_error_is_a_result():
    assert isinstance(worker.run_task(math.factorial, -1), ValueError)
