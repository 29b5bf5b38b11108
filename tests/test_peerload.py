"""Tests of the estimated load of peers' prompts on an engine."""

import pytest

from magnoliadyke.core import peerload


def test_a_report_alone_decays_to_the_mean():
    others = peerload.PeerPrompts()
    others.report(2.0, 0.0)
    assert others.wait_s(0.0, False) == pytest.approx(2.0)
    assert others.wait_s(30.0, False) == pytest.approx(others.mean_s)
    assert others.unreported_s(30.0) == others.mean_s


def test_peer_prompts_after_a_report_are_added_and_prefilled_in_time():
    # Eight nodes see an idle engine in one report, and all but the first
    # would queue behind one another there while another engine idles. Each
    # now hears of the others' prompts before it places its own.
    others = peerload.PeerPrompts()
    others.report(0.0, 10.0)
    others.record_peer_prompt(0.4, 10.1)
    others.record_peer_prompt(0.4, 10.2)
    assert others.wait_s(10.2, False) == pytest.approx(0.7)
    assert others.wait_s(10.6, False) == pytest.approx(0.3)
    assert others.wait_s(11.0, False) == 0.0
    assert others.unreported_s(11.0) == 0.0


def test_a_later_report_replaces_earlier_peer_prompts():
    others = peerload.PeerPrompts()
    others.record_peer_prompt(0.4, 10.1)
    others.record_peer_prompt(0.4, 10.6)
    others.report(0.2, 10.5)
    assert others.wait_s(10.6, False) == pytest.approx(0.5)


def test_an_engine_that_prefills_ours_too_prefills_theirs_more_slowly():
    others = peerload.PeerPrompts()
    others.report(0.0, 10.0)
    others.record_peer_prompt(1.0, 10.0)
    assert others.wait_s(10.4, True) == pytest.approx(0.8)


def test_peer_notifications_that_stop_are_not_relied_on():
    others = peerload.PeerPrompts()
    others.record_peer_prompt(1.0, 10.0)
    others.report(0.5, 20.5)
    late_s = 10.0 + peerload.NOTICE_TIMEOUT_S + 1.0
    assert others.wait_s(late_s, False) == others.decayed_s(late_s)
