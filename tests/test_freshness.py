"""Tests for the rule of freshness and acceptance.

The state machine runs the rule of eight hosts against a store and a network
that it cuts as it likes.  The hosts read, stage and accept as nodes do.
"""

import itertools
import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from magnoliadyke.core import freshness

SETTINGS = freshness.FreshnessSettings()
HOSTS = tuple(f'h{number}' for number in range(8))
DALA = {host: f'd{number // 2}' for number, host in enumerate(HOSTS)}
ZARQA = {host: f'd{number // 3}' for number, host in enumerate(HOSTS)}
STEP_S = 0.25
#: Reading the store or a peer's table, and hearing of it.
SPREAD_S = 4 * STEP_S


class Node:
    """A host: the table it holds is two revisions, accepted and staged."""

    def __init__(self, host, domains, incarnation, now_s):
        self.host = host
        self.rule = freshness.Freshness(
            host, incarnation, domains, SETTINGS, now_s
        )
        self.in_force = 0

    def hold(self, table, staged):
        rule = self.rule
        table = max(table, rule.table_revision)
        staged = max(staged, rule.staged_revision)
        rule.set_held_revisions(table, staged)
        self.in_force = max(self.in_force, table)

    def act(self, now_s):
        self.rule.tick(now_s)
        if self.rule.acts_on_staged(now_s):
            self.in_force = max(self.in_force, self.rule.staged_revision)


class Fleet:
    """Eight nodes, the store's table, and who reaches whom."""

    def __init__(self, domains=DALA):
        self.domains = domains
        self.now_s = 0.0
        self.table = 1
        self.staged = 1
        self.accepted = [(0.0, 1)]
        self.incarnations = itertools.count(1)
        self.nodes = {}
        self.stopped = set()
        self.group = dict.fromkeys(HOSTS, 0)
        self.reaches_store = set(HOSTS)
        for host in HOSTS:
            self.start(host)
        self.run(3.0)

    def start(self, host):
        self.stopped.discard(host)
        self.nodes[host] = Node(
            host, self.domains, next(self.incarnations), self.now_s
        )

    def run(self, for_s):
        for _ in range(round(for_s / STEP_S)):
            self.step()

    def step(self):
        self.now_s += STEP_S
        up = [host for host in HOSTS if host not in self.stopped]
        for host in up:
            if host in self.reaches_store:
                node = self.nodes[host]
                node.hold(self.table, self.staged)
                node.rule.record_store_confirmation(
                    self.now_s, self.table, self.staged
                )
        for host, peer in itertools.permutations(up, 2):
            if self.group[host] == self.group[peer]:
                self.answer(self.nodes[host], self.nodes[peer])
        for host in up:
            self.nodes[host].act(self.now_s)
        self.try_to_accept()
        self.check()

    def answer(self, node, peer):
        told = [peer.rule.own_host_state(self.now_s)]
        told += peer.rule.relayed_host_states(
            self.now_s, len(HOSTS), random.Random(0)
        )
        if peer.rule.has_table:
            node.hold(told[0].table_revision, told[0].staged_revision)
        node.rule.handle_probe_answer(self.now_s, self.now_s, told)

    def try_to_accept(self):
        for host in sorted(self.reaches_store - self.stopped):
            rule = self.nodes[host].rule
            if self.staged == self.table or not rule.is_fresh(self.now_s):
                continue
            if rule.staged_revision != self.staged:
                continue
            outcome = rule.acceptance(self.now_s)
            if isinstance(outcome, freshness.Accept):
                self.table = outcome.revision
                self.accepted.append((self.now_s, self.table))
                for taker in self.taking_work():
                    held = self.nodes[taker].rule.staged_revision
                    assert held >= self.table, taker

    def outcome(self, host):
        return self.nodes[host].rule.acceptance(self.now_s)

    def taking_work(self):
        return {
            host
            for host in set(HOSTS) - self.stopped
            if self.nodes[host].rule.takes_work(self.now_s)
        }

    def check(self):
        """Whoever takes work acts on all that was accepted long enough."""
        late_s = self.now_s - SETTINGS.stale_s - SPREAD_S
        due = max(r for at_s, r in self.accepted if at_s <= max(late_s, 0))
        for host in self.taking_work():
            assert self.nodes[host].in_force >= due, host


@pytest.mark.parametrize(
    ('domains', 'quorum'),
    [
        (DALA, 3),
        (ZARQA, 4),
        (dict.fromkeys(HOSTS, 'd'), 4),
        ({'h0': 'd'}, 1),
        ({'h0': 'd', 'h1': 'e'}, 1),
        ({str(n): str(n % 5) for n in range(420)}, 85),
    ],
)
def test_quorum_is_more_than_a_domain_at_most_half(domains, quorum):
    assert freshness.quorum_of(domains) == quorum


@pytest.mark.parametrize('domains', [DALA, ZARQA])
@pytest.mark.parametrize('size', range(1, 8))
@pytest.mark.parametrize('store_with', ['split', 'rest'])
def test_every_size_of_split(domains, size, store_with):
    """One part of the hosts loses the other; one of them has the store.

    An edit is made where the store is.  It is accepted if the others are
    so few that they stop by themselves, else it waits for them; and then
    they go on serving.
    """
    fleet = Fleet(domains)
    split = set(HOSTS[:size])
    for host in split:
        fleet.group[host] = 1
    with_store = split if store_with == 'split' else set(HOSTS) - split
    without = set(HOSTS) - with_store
    fleet.reaches_store = with_store
    fleet.staged = 2
    fleet.run(6.0)
    quorum = freshness.quorum_of(domains)
    if len(without) < quorum:
        assert fleet.table == 2
        assert fleet.taking_work() == with_store
    else:
        assert fleet.table == 1
        assert fleet.taking_work() == set(HOSTS)
        host = min(with_store)
        assert fleet.outcome(host) == freshness.Blocked(
            2, tuple(sorted(without))
        )
    fleet.group = dict.fromkeys(HOSTS, 0)
    fleet.run(1.0)
    assert fleet.table == 2
    assert fleet.taking_work() == set(HOSTS)


def test_acknowledged_edit_is_acted_on_by_those_cut_off():
    """Half of the hosts lose touch between acknowledgement and acceptance.

    They cannot tell whether the edit was accepted, and go on serving since
    they are many.  They act on the edit all the same.
    """
    fleet = Fleet()
    lagging = fleet.nodes['h7']
    hold = lagging.hold
    lagging.hold = lambda table, staged: None
    fleet.staged = 2
    fleet.run(1.0)
    assert fleet.table == 1
    lagging.hold = hold
    fleet.group.update(h0=1, h1=1, h2=1, h3=1)
    fleet.reaches_store = {'h4', 'h5', 'h6', 'h7'}
    fleet.run(10.0)
    assert fleet.table == 2
    assert fleet.taking_work() == set(HOSTS)


def test_restarted_host_makes_no_quorum():
    """Two hosts too few to go on meet one that has forgotten the edit.

    The edit was accepted without the two.  A third host, which had
    acknowledged it, is replaced and learns its table from them.
    """
    fleet = Fleet()
    fleet.group.update(h0=1, h1=1)
    fleet.reaches_store = set(HOSTS) - {'h0', 'h1'}
    fleet.staged = 2
    fleet.run(6.0)
    assert fleet.table == 2
    fleet.group['h2'] = 1
    fleet.reaches_store.remove('h2')
    fleet.start('h2')
    fleet.run(20.0)
    assert fleet.taking_work() == set(HOSTS) - {'h0', 'h1', 'h2'}


def test_acceptance_gives_time_to_stop():
    """A host that had only the store loses it right before an edit.

    Its peers have not heard from it for long; it goes on for a while on
    the store's last word.  The edit is not accepted before that ends.
    """
    fleet = Fleet()
    fleet.group['h7'] = 1
    fleet.run(10.0)
    assert 'h7' in fleet.taking_work()
    fleet.reaches_store.remove('h7')
    fleet.staged = 2
    fleet.run(2.0)
    assert fleet.table == 1
    fleet.run(2.0)
    assert fleet.table == 2


def test_hosts_replaced_during_an_outage_count_in_the_end():
    """The store is down for long and every host is replaced meanwhile."""
    fleet = Fleet()
    fleet.reaches_store = set()
    for host in HOSTS:
        fleet.start(host)
        fleet.run(8.0)
    assert fleet.taking_work() == set(HOSTS)


def test_all_go_on_without_the_store():
    fleet = Fleet()
    fleet.reaches_store = set()
    fleet.run(60.0)
    assert fleet.taking_work() == set(HOSTS)


def test_edit_waits_for_a_live_host_that_lags():
    """A host that answers but cannot get the table holds the edit up.

    It stops taking work when it has known of the newer table for long
    enough; then the edit no longer waits.
    """
    fleet = Fleet()
    lagging = fleet.nodes['h7']
    lagging.hold = lambda table, staged: None
    fleet.staged = 2
    fleet.run(1.0)
    assert fleet.outcome('h0') == freshness.Wait(2, ('h7',))
    fleet.run(4.0)
    assert fleet.taking_work() == set(HOSTS) - {'h7'}
    assert fleet.table == 2


def test_stopped_process_believes_no_old_answer():
    """Datagrams wait in the socket of a process that was stopped.

    What they say was true when their probes went out, and that long ago
    the evidence dates from.
    """
    fleet = Fleet()
    rule = fleet.nodes['h0'].rule
    told = [fleet.nodes['h1'].rule.own_host_state(fleet.now_s)]
    later_s = fleet.now_s + 10.0
    rule.handle_probe_answer(fleet.now_s, later_s, told)
    assert not rule.is_fresh(later_s)


def test_start_waits_for_peers_that_know_better():
    """A restored store would start a node with a table long replaced."""
    rule = freshness.Freshness('h0', 1, DALA, SETTINGS, 0.0)
    rule.set_held_revisions(3, 3)
    rule.record_store_confirmation(0.1, 3, 3)
    assert rule.is_fresh(0.2)
    assert not rule.takes_work(0.2)
    assert rule.takes_work(1.0)
    told = freshness.HostState('h1', 1, 0.0, 8, 8, 0.0, True, True, 1.0)
    rule.handle_probe_answer(0.2, 0.3, [told])
    assert rule.host_with_newer_table() == 'h1'


def test_no_acceptance_below_a_table_in_force():
    """An edit on a restored store must not replace what nodes hold."""
    fleet = Fleet()
    told = freshness.HostState('h1', 99, 0.0, 8, 8, 0.0, True, True, 1.0)
    rule = fleet.nodes['h0'].rule
    rule.handle_probe_answer(fleet.now_s, fleet.now_s, [told])
    rule.set_held_revisions(1, 2)
    assert rule.acceptance(fleet.now_s) == freshness.Wait(2, ('h1',))


def told_by(rule, at_s, hosts, staged, takes_work=True):
    """Evidence of hosts that hold table 1 and a staged revision."""
    for host in hosts:
        told = freshness.HostState(
            host, 1, 0.0, 1, staged, 0.0, True, takes_work, 1.0
        )
        rule.handle_probe_answer(at_s, at_s, [told])


def test_a_host_idle_before_the_edit_is_waited_for():
    """Two limits in force at once: a host just started and was cut off.

    It was seen idle, then began to take work with the old table, then the
    edit was staged. What was seen before that says nothing of it now.
    """
    rule = freshness.Freshness('h0', 1, DALA, SETTINGS, 0.0)
    told_by(rule, 0.0, ['h7'], 1, takes_work=False)
    rule.set_held_revisions(1, 2)
    others = HOSTS[1:7]
    rule.acceptance(0.1)
    told_by(rule, 0.2, others, 2)
    assert rule.acceptance(0.3) == freshness.Wait(2, ('h7',))
    later_s = 0.3 + SETTINGS.stale_s * 1.2
    told_by(rule, later_s, others, 2)
    assert rule.acceptance(later_s) == freshness.Accept(2, ('h7',))


def test_a_host_idle_after_the_edit_is_not_waited_for():
    rule = freshness.Freshness('h0', 1, DALA, SETTINGS, 0.0)
    rule.set_held_revisions(1, 2)
    rule.acceptance(0.1)
    told_by(rule, 0.2, HOSTS[1:7], 2)
    told_by(rule, 0.2, ['h7'], 1, takes_work=False)
    assert rule.acceptance(0.3) == freshness.Accept(2, ('h7',))


def test_a_host_that_said_farewell_holds_no_edit_up():
    """An edit comes seconds late after every planned stop.

    The last answer of a host that has left says that it takes work and
    lacks the edit; the farewell came after it.
    """
    rule = freshness.Freshness('h0', 1, DALA, SETTINGS, 0.0)
    told_by(rule, 0.0, ['h7'], 1)
    rule.set_held_revisions(1, 2)
    rule.acceptance(0.1)
    told_by(rule, 0.2, HOSTS[1:7], 2)
    assert rule.acceptance(0.3) == freshness.Wait(2, ('h7',))
    assert rule.acceptance(0.3, ['h7']) == freshness.Accept(2, ('h7',))


class Partitions(stateful.RuleBasedStateMachine):
    """Any split, any hosts with the store, stops, starts and edits."""

    domains = DALA

    def __init__(self):
        super().__init__()
        self.fleet = Fleet(self.domains)

    @stateful.rule(groups=strategies.tuples(*[strategies.integers(0, 2)] * 8))
    def split(self, groups):
        self.fleet.group = dict(zip(HOSTS, groups, strict=True))

    @stateful.rule(hosts=strategies.sets(strategies.sampled_from(HOSTS)))
    def store_for(self, hosts):
        self.fleet.reaches_store = hosts

    @stateful.rule()
    def heal(self):
        self.fleet.group = dict.fromkeys(HOSTS, 0)
        self.fleet.reaches_store = set(HOSTS)

    @stateful.rule(host=strategies.sampled_from(HOSTS))
    def pause(self, host):
        self.fleet.stopped.add(host)

    @stateful.rule()
    def resume(self):
        self.fleet.stopped.clear()

    @stateful.rule(host=strategies.sampled_from(HOSTS))
    def restart(self, host):
        self.fleet.start(host)

    @stateful.precondition(lambda self: self.fleet.reaches_store)
    @stateful.rule()
    def edit(self):
        self.fleet.staged += 1

    @stateful.rule(for_s=strategies.sampled_from([0.25, 1.0, 4.0, 8.0]))
    def run_on(self, for_s):
        self.fleet.run(for_s)

    def teardown(self):
        self.fleet.stopped.clear()
        self.heal()
        self.fleet.run(5.0)
        assert self.fleet.taking_work() == set(HOSTS)
        assert self.fleet.table == self.fleet.staged


class ZarqaPartitions(Partitions):
    """The same with three failure domains."""

    domains = ZARQA


TestPartitions = Partitions.TestCase
TestZarqaPartitions = ZarqaPartitions.TestCase
TestPartitions.settings = TestZarqaPartitions.settings = hypothesis.settings(
    max_examples=25, stateful_step_count=20
)
