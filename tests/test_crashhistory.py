"""Tests of the crash history: which requests are barred."""

from magnoliadyke.core import crashhistory


def record(*broken):
    made = crashhistory.CrashHistory()
    for request, endpoint, at_s in broken:
        made.record_crash(request, (endpoint,), at_s)
    return made


def test_request_is_barred_after_three_endpoints():
    made = record((b'r', 'e1', 0.0), (b'r', 'e2', 1.0))
    assert not made.blocked_s(b'r', 1.0)
    made.record_crash(b'r', ('e3',), 2.0)
    assert made.blocked_s(b'r', 2.0)
    assert not made.blocked_s(b'other', 2.0)


def test_one_endpoint_counts_once():
    """One endpoint breaks connections for a while; it has not crashed."""
    made = record(*((b'r', 'e1', n * 0.1) for n in range(10)))
    assert not made.blocked_s(b'r', 1.0)


def test_only_new_crashes_are_reported():
    made = record((b'r', 'e1', 0.0))
    assert made.record_crash(b'r', ('e1', 'e2'), 0.1)
    assert not made.record_crash(b'r', ('e2',), 0.2)


def test_request_that_is_answered_elsewhere_is_not_to_blame():
    """Many callers send the same content, and three endpoints die.

    All of them broke it off, but others answer it: it crashes nothing, and
    barring it would refuse all these callers.
    """
    made = record(*((b'r', f'e{n}', 0.1 * n) for n in range(3)))
    assert made.blocked_s(b'r', 0.5)
    made.record_success(b'r', 0.5)
    assert not made.blocked_s(b'r', 0.6)
    made.record_crash(b'r', ('e9',), 0.7)
    assert not made.blocked_s(b'r', 0.8)


def test_barred_request_that_keeps_coming_stays_barred():
    made = record(*((b'r', f'e{n}', 0.0) for n in range(3)))
    for second in range(0, 1000, 50):
        assert made.blocked_s(b'r', float(second))
    assert not made.blocked_s(b'r', 1000.0 + crashhistory.RETENTION_S)


def test_old_crashes_do_not_add_up():
    made = record((b'r', 'e1', 0.0), (b'r', 'e2', 1.0))
    made.record_crash(b'r', ('e3',), 2.0 + crashhistory.RETENTION_S)
    assert not made.blocked_s(b'r', 2.0 + crashhistory.RETENTION_S)


def test_memory_is_bounded():
    many = crashhistory.MAX_REQUESTS + 100
    made = record(*((b'%d' % n, 'e1', n * 1e-4) for n in range(many)))
    assert len(made) == crashhistory.MAX_REQUESTS
    assert b'%d' % (many - 1) in made.requests
    made.record_crash(b'last', ('e1',), 1000.0)
    assert list(made.requests) == [b'last']
