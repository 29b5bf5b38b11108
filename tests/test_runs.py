"""Tests of what a job takes up on endpoints."""

from magnoliadyke.core import admission
from magnoliadyke.core import jobs
from magnoliadyke.core import routing
from magnoliadyke.core import runs


def make_endpoint(name):
    return routing.Endpoint(jobs.EndpointInfo(name, 'p', 'model', ''))


def make_run():
    job = jobs.Job('j', 'lease', 'p', 'model', 'm', 1000, 100)
    return runs.Run(job, admission.Timing(2.0, 1.0), (0.2, 0.1))


def test_only_where_it_had_arrived_can_it_be_blamed():
    reader, writer = make_endpoint('p1'), make_endpoint('d1')
    run = make_run()
    run.join_stream(writer, 0.0)
    run.join_prompt(reader, 0.2, 0.0)
    assert (run.has_reached(reader), run.has_reached(writer)) == (True, False)
    run.leave_prompt(0.2)
    run.start_stream(0.2)
    assert (run.has_reached(reader), run.has_reached(writer)) == (False, True)


def test_what_was_used_grows_with_progress():
    run = make_run()
    assert run.used_s() == 0
    run.prefill_done_s = 0.2
    run.tokens = 50
    assert run.used_s() == 0.2 + 0.05
