"""Tests for leases."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from magnoliadyke.core import leases
from tests import onekey

SETTINGS = leases.LeaseSettings()
HOSTS = ('h1', 'h2', 'h3')
#: Clocks that run apart by less than the margin.
RATES = {'h1': 0.97, 'h2': 1.0, 'h3': 1.03}


def run(lease, store, start_s, until_s, contending=True, floor=0):
    """Tick a lease against a store that answers."""
    now_s = start_s
    while now_s < until_s:
        for action in lease.tick(now_s, contending, floor):
            onekey.perform(lease, store, action, now_s)
        now_s = round(now_s + 0.1, 3)


def a_lease(host='h1', incarnation=1):
    return leases.Lease(host, incarnation, SETTINGS)


def test_taken_after_watching_for_the_time_to_live():
    lease = a_lease()
    store = onekey.Key()
    run(lease, store, 0.0, 4.3)
    assert lease.held(4.3) is None
    run(lease, store, 4.3, 4.6, floor=70)
    assert lease.held(4.6).fencing == 70
    assert lease.holder() == 'h1'
    run(lease, store, 4.6, 30.0)
    assert lease.held(30.0).fencing == 70
    assert lease.held(30.0).since_s < 5


def taken_over_s(two, store, start_s):
    """When a watcher that starts now gets a lease that is not renewed."""
    now_s = start_s
    while two.held(now_s) is None:
        for action in two.tick(now_s, True, 0):
            onekey.perform(two, store, action, now_s)
        now_s += 0.01
    return now_s


@pytest.mark.parametrize('reply_after_s', [0.0, 1.5, 3.0])
def test_stops_before_a_watcher_can_take_it(reply_after_s):
    """No duty has two holders when the first is cut off from the store.

    h1 sends a renewal; h2 sees the new value at once and begins to wait.
    The reply to h1 takes its time, and nothing gets through after it.
    Counted from the reply, h1 would act for longer than h2 waits.
    """
    one = a_lease()
    two = a_lease('h2')
    store = onekey.Key()
    run(one, store, 0.0, 5.5)
    (renewal,) = one.tick(5.7, True, 0)
    store.write(renewal.value.dump(), renewal.if_revision)
    one.record_written(5.7 + reply_after_s, store.revision)
    assert one.held(5.7 + reply_after_s) is not None
    slowest = 1 - 0.08
    takeover_s = taken_over_s(two, store, 5.7)
    assert takeover_s < 5.7 + 5.0
    assert one.held(5.7 + (takeover_s - 5.7) * slowest) is None
    assert two.held(takeover_s).fencing == 2


def test_lost_reply_to_a_claim_is_settled_by_reading():
    lease = a_lease()
    store = onekey.Key()
    run(lease, store, 0.0, 4.4)
    (action,) = lease.tick(4.4, True, 0)
    assert isinstance(action, leases.WriteLease)
    onekey.perform(lease, store, action, 4.6, 'reply')
    assert lease.held(4.6) is None
    run(lease, store, 4.6, 5.3)
    assert lease.held(5.3).fencing == 1


def test_release_lets_the_next_one_in_at_once():
    one = a_lease()
    two = a_lease('h2')
    store = onekey.Key()
    run(one, store, 0.0, 6.0)
    one.release()
    assert one.held(6.0) is None
    run(one, store, 6.0, 6.5, contending=False)
    run(two, store, 6.5, 8.0)
    assert two.held(8.0).fencing == 2


def test_drop_after_a_pause():
    lease = a_lease()
    store = onekey.Key()
    run(lease, store, 0.0, 6.0)
    lease.drop()
    assert lease.held(6.0) is None


def test_own_value_in_a_restored_store_is_waited_out():
    """A former holder must not take its old value for its right.

    h1 held the lease, lost it to h2, and the store is restored to the
    copy that names h1.  h2 may act until its authority ends, so h1 has
    to wait as long as anybody else.
    """
    one = a_lease()
    store = onekey.Key()
    run(one, store, 0.0, 6.0)
    old = (store.revision, store.text)
    two = leases.LeaseValue('h2', 1, 2, 1, SETTINGS.ttl_s)
    store.write(two.dump(), store.revision)
    run(one, store, 6.0, 8.0)
    assert one.held(8.0) is None
    store.revision, store.text = old
    run(one, store, 8.0, 11.9)
    assert one.held(11.9) is None
    run(one, store, 11.9, 14.0, floor=9)
    assert one.held(14.0).fencing == 9


class Holders(stateful.RuleBasedStateMachine):
    """Three contenders; pauses, outages, lost requests and replies.

    A pause falls between any call and its reply.  Clocks run apart by
    less than the margin.  Never do two hosts hold the lease.
    """

    def __init__(self):
        super().__init__()
        self.now_s = 0.0
        self.store = onekey.Key()
        self.leases = {host: a_lease(host) for host in HOSTS}
        self.calls = {}
        self.numbers = [0]

    def clock(self, host):
        return 100 + self.now_s * RATES[host]

    @stateful.rule(dt=strategies.sampled_from([0.05, 0.3, 1.0, 2.0, 5.0]))
    def advance(self, dt):
        self.now_s += dt

    @stateful.rule(host=strategies.sampled_from(HOSTS))
    def tick(self, host):
        for action in self.leases[host].tick(self.clock(host), True, 0):
            assert host not in self.calls
            self.calls[host] = action

    @stateful.rule(
        host=strategies.sampled_from(HOSTS),
        lost=strategies.sampled_from(['', '', '', 'request', 'reply']),
    )
    def call(self, host, lost):
        action = self.calls.pop(host, None)
        if action is not None:
            lease = self.leases[host]
            onekey.perform(lease, self.store, action, self.clock(host), lost)

    @stateful.rule(
        rounds=strategies.integers(1, 60),
        hosts=strategies.sets(strategies.sampled_from(HOSTS), min_size=1),
    )
    def work_undisturbed(self, rounds, hosts):
        for _ in range(rounds):
            self.now_s += 0.1
            for host in sorted(hosts):
                self.tick(host)
                self.call(host, '')
                self.one_holder()

    @stateful.rule(host=strategies.sampled_from(HOSTS))
    def release(self, host):
        self.leases[host].release()

    @stateful.rule(host=strategies.sampled_from(HOSTS))
    def restart(self, host):
        incarnation = self.leases[host].incarnation + 1
        self.leases[host] = a_lease(host, incarnation)
        self.calls.pop(host, None)

    @stateful.invariant()
    def one_holder(self):
        held = [
            lease.held(self.clock(host)) for host, lease in self.leases.items()
        ]
        numbers = [a.fencing for a in held if a is not None]
        assert len(numbers) <= 1
        if numbers:
            assert numbers[0] >= self.numbers[-1]
            self.numbers.append(numbers[0])


TestHolders = Holders.TestCase
TestHolders.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=30
)
