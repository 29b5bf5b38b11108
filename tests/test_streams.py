"""Tests of magnoliadyke.streams: runs on endpoints that fail."""

import gevent

from magnoliadyke import streams
from tests import requestpath

SLOW = {'prefill_s_per_token': 1e-5, 'decode_base_s': 0.02}
OVERSEEN = {'X_Repeatable': 'false'}


def test_a_silent_connection_is_replaced_and_the_answer_is_whole():
    """Between node and engine something forgets the open connections.

    They stay open and say nothing more; the engine goes on. The node
    notices the silence, resumes the stream by its id on a new connection,
    and the caller gets each token once.
    """
    with requestpath.Bench(speeds=SLOW) as bench:
        caller = gevent.spawn(bench.complete, 100, **OVERSEEN)
        gevent.sleep(0.5)
        bench.engine.silence_count += 1
        reply = caller.get(timeout=15)
        assert reply.text() == requestpath.answer_of(100)
        assert len(bench.runs()) == 1


def test_an_engine_that_refuses_has_not_run_the_request():
    """The engine says ``not_run``; the request waits for better times."""
    with requestpath.Bench() as bench:
        bench.engine.faults.set('refuse', {'for_s': 0.3})
        reply = bench.complete(5, **OVERSEEN)
        assert reply.status in (200, 503)
        ran = len(bench.runs())
        assert ran == (1 if reply.status == 200 else 0)


def test_a_cut_stream_without_finish_mark_is_not_passed_on_as_complete():
    """The engine ends a stream early, without a word.

    To the caller a short answer would look like a whole one. Whatever the
    node does about it, the caller gets the whole answer or an error.
    """
    with requestpath.Bench(speeds=SLOW) as bench:
        caller = gevent.spawn(bench.complete, 60, **OVERSEEN)
        gevent.sleep(0.4)
        (attempt,) = bench.runs()
        bench.engine.finish_run(bench.engine.runs[attempt], 'moved')
        reply = caller.get(timeout=15)
        assert b'[DONE]' not in reply.body
        assert b'event: error' in reply.body
        assert len(bench.runs()) == 1


def test_a_lost_stream_of_a_repeatable_request_goes_on_elsewhere():
    """The engine drops the stream half-way; a second attempt finishes it.

    It begins at the offset that the caller has, so that the caller sees one
    answer without a seam.
    """
    with requestpath.Bench(speeds=SLOW) as bench:
        caller = gevent.spawn(bench.complete, 60)
        gevent.sleep(0.4)
        (attempt,) = bench.runs()
        bench.engine.finish_run(bench.engine.runs[attempt], 'moved')
        reply = caller.get(timeout=15)
        assert reply.text() == requestpath.answer_of(60)
        assert len(bench.runs()) == 2


def test_the_caller_that_leaves_ends_the_run_at_the_engine():
    """A caller without a key closes its connection in mid-answer.

    Nobody can ask for the answer any more. The engine is told to stop, so
    that the work does not crowd out that of others.
    """
    with requestpath.Bench(speeds=SLOW) as bench:
        caller = gevent.spawn(bench.complete, 500)
        gevent.sleep(0.4)
        caller.kill()
        gevent.sleep(0.5)
        rows = bench.engine.ledger.rows
        ends = [row['end'] for row in rows if row['what'] == 'end']
        assert ends == ['cancelled']
        assert not bench.nodes['host-1'].callers.homes.runs


def test_an_engine_that_is_gone_before_a_byte_left_leaves_not_run():
    """No connection to the engine comes about: the call did not run."""
    with requestpath.Bench() as bench:
        bench.servers[0].wsgi.stop(timeout=0.01)
        reply = bench.complete(5, **OVERSEEN)
        assert reply.status in (429, 503)
        assert reply.error()[0] == 'not_run'


def test_a_run_that_is_given_up_before_it_begins_ends_all_the_same():
    """The caller leaves in the instant in which its request came in.

    The run's greenlet dies before its first step. The key must not count as
    running for good, or each copy of it would wait without end.
    """
    ended = []
    run = streams.Run('k', ended.append)
    run.start()
    run.abandon()
    run.ended.wait(1.0)
    assert ended == [run]
    assert run.outcome == streams.ABANDONED
