"""Engines out of use for a change."""

from magnoliadyke.core import notices


def test_a_notice_counts_once_and_until_it_is_taken_back():
    known = notices.EngineNotices()
    begin = notices.EngineNotice('e1', 5, True, 3.0)
    end = notices.EngineNotice('e1', 5, False, 3.0)
    assert known.apply(begin, 0.0) == [notices.EngineUse('e1', 'changing')]
    assert known.apply(begin, 2.0) == []
    assert known.expire(4.0) == []
    assert known.apply(end, 4.5) == [notices.EngineUse('e1', 'up')]
    assert known.apply(end, 4.6) == []


def test_a_planner_that_lost_its_authority_is_not_heeded():
    # A stream would start on an engine in the middle of its change: the
    # former planner wakes from a pause and gives the engine back. Its lower
    # fencing token shows that a successor has taken over.
    known = notices.EngineNotices()
    known.apply(notices.EngineNotice('e1', 6, True, 3.0), 0.0)
    assert known.apply(notices.EngineNotice('e1', 5, False, 3.0), 1.0) == []
    assert known.expire(3.5) == [notices.EngineUse('e1', 'up')]
