"""Tests of magnoliadyke.claiming."""

import gevent
import pytest

from magnoliadyke import claiming
from magnoliadyke import clock as clocks
from magnoliadyke.core import claims
from tests import requestpath

DIGEST = claims.claim_digest('lease', 'order 17')


@pytest.fixture
def store():
    return requestpath.MemoryStore()


def make(store, owner):
    task = claiming.ClaimTask(owner, store, 'dala/', clocks.SystemClock())
    task.start()
    return task


def ask(task, digest=DIGEST):
    return task.ask(claiming.ClaimKey(digest), 2.0)


def test_the_second_node_learns_the_owner(store):
    first, second = make(store, 'a.1'), make(store, 'b.1')
    assert isinstance(ask(first), claims.Won)
    assert ask(second).owner == 'a.1'


def test_a_lost_answer_leaves_a_claim_that_its_owner_may_use(store):
    """The claim is written, but the store's answer is lost.

    The caller is told that the request did not run. When the key comes
    again, this node finds its own claim and may run it; another node must
    send it here.
    """
    first, second = make(store, 'a.1'), make(store, 'b.1')
    store.lose_reply = True
    assert ask(first).reason == 'claims_unavailable'
    assert ask(second).owner == 'a.1'
    assert isinstance(ask(first), claims.Won)
    assert ask(first).owner == 'a.1'


def test_a_store_over_its_rate_is_asked_again(store):
    task = make(store, 'a.1')
    store.busy = 2
    assert isinstance(ask(task), claims.Won)


def test_claims_that_come_together_cost_few_calls(store):
    task = make(store, 'a.1')
    digests = [claims.claim_digest('lease', f'{n}') for n in range(256)]
    waiting = [gevent.spawn(ask, task, digest) for digest in digests]
    results = {type(each.get(timeout=5)) for each in waiting}
    assert results == {claims.Won}
    assert store.calls <= 2 * task.claims.settings.buckets
