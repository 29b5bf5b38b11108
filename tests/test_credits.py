"""Tests of what is believed to be at work on an endpoint."""

import hypothesis
import hypothesis.strategies as st
import pytest

from magnoliadyke.core import credits


def test_a_lagging_report_is_corrected_by_what_was_sent_since():
    # The report says 10 streams, 4 of them ours, but is 3 s old; we have
    # sent 5 more since. Taken as it is, it would hide these.
    streams = credits.LaggedLoad()
    streams.add(4, 1.0)
    streams.add(5, 3.0)
    streams.report(10, 2.0)
    assert streams.total() == 15


def test_others_are_never_negative():
    streams = credits.LaggedLoad()
    streams.add(5, 1.0)
    streams.report(2, 2.0)
    assert streams.total() == 5


@hypothesis.given(
    st.lists(st.integers(0, 64), min_size=8, max_size=8),
    st.lists(st.floats(0.01, 1), min_size=8, max_size=8),
)
def test_nodes_with_one_view_do_not_herd(own, demand):
    # Eight nodes see the same report of one engine at the same moment, and
    # each sends as much as it may. One engine's worth may be borrowed on
    # top of the guaranteed parts, and one stream a node.
    limit = 64
    total = sum(own)
    fractions = [each / sum(demand) for each in demand]
    allowed = [
        credits.allowed_streams(limit, fraction, mine, total)
        for fraction, mine in zip(fractions, own, strict=True)
    ]
    assert sum(allowed) <= max(total, limit) + limit + len(own)


def test_idle_credits_are_lent():
    assert credits.allowed_streams(64, 0.125, 0, 0) == pytest.approx(8)
    assert credits.allowed_streams(64, 0.125, 30, 32) == pytest.approx(34)


def test_an_urgent_prompt_waits_for_none_that_it_overtakes():
    load = credits.EndpointLoad()
    load.add_prompt('long', 5, 0.6, 0.0)
    load.add_prompt('urgent', 2, 0.1, 0.0)
    assert load.local_wait_s(2, 0.0) == pytest.approx(0.1)
    assert load.local_wait_s(5, 0.0) == pytest.approx(0.7)
    assert load.local_wait_s(5, 0.05) == pytest.approx(0.65)


def test_a_late_prompt_does_not_make_the_next_seem_read():
    # The first prompt takes longer than predicted. The second can't have
    # begun, so all of it is still to come.
    load = credits.EndpointLoad()
    load.add_prompt('first', 5, 0.2, 0.0)
    load.add_prompt('second', 5, 0.3, 0.0)
    assert load.local_wait_s(5, 10.0) == pytest.approx(0.3)
    load.remove_prompt('first', 10.0)
    load.remove_prompt('second', 10.0)
    assert load.local_wait_s(5, 10.0) == 0
    assert load.backlog.local == pytest.approx(0)


def test_an_old_report_fades_into_the_mean():
    load = credits.EndpointLoad()
    for number in range(400):
        load.record_prefill_backlog(
            0.5 * (number % 2), float(number), number + 0.1
        )
    assert load.peers_wait_s(399.0) == pytest.approx(0.5, abs=0.01)
    assert load.peers_wait_s(410.0) == pytest.approx(0.25, abs=0.02)
    assert not load.has_only_local_prompts()


def test_our_own_prompts_are_not_taken_for_others():
    load = credits.EndpointLoad()
    load.add_prompt('ours', 5, 0.5, 1.0)
    load.record_prefill_backlog(2.0, 1.0, 1.2)
    assert load.peers.reported_s == pytest.approx(1.5)
    load.record_prefill_backlog(0.3, 1.2, 1.3)
    assert load.peers.reported_s == pytest.approx(0.0)
