"""Tests for membership, eight nodes and a network that loses what it likes."""

import random
import statistics

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from magnoliadyke.core import freshness
from magnoliadyke.core import membership

SIZE = 8
STEP_S = 0.1
DELAY_S = 0.004


def member(index, incarnation=1):
    return membership.Member(
        f'h{index}',
        incarnation,
        f'10.0.0.{index}',
        80,
        90,
        f'd{index % 4}',
    )


class Network:
    """The nodes and what is under way between them."""

    def __init__(self, seed=1):
        self.seed = seed
        self.now_s = 0.0
        self.nodes = {}
        self.stopped = set()
        self.cut = set()
        self.under_way = []
        self.heard = []
        self.sent = 0
        for index in range(SIZE):
            self.start(index)

    def start(self, index, incarnation=1):
        self.stopped.discard(index)
        node = membership.Membership(
            member(index, incarnation),
            membership.MembershipSettings(),
            random.Random(self.seed * 100 + index),
            [member(peer, 0) for peer in range(SIZE)],
            self.now_s,
        )
        node.set_table(1, 1)
        self.nodes[index] = node

    def take(self, index, actions):
        for action in actions:
            match action:
                case membership.SendDatagram(address, message):
                    self.sent += 1
                    peer = int(address[0].rpartition('.')[2])
                    if (index, peer) not in self.cut:
                        arrives_s = self.now_s + DELAY_S
                        self.under_way.append((arrives_s, peer, message))
                case _:
                    self.heard.append((index, action))

    def run(self, for_s):
        until_s = self.now_s + for_s
        while self.now_s < until_s:
            self.now_s += STEP_S
            self.deliver()
            for index in self.up():
                self.take(index, self.nodes[index].tick(self.now_s))

    def deliver(self):
        """Deliver what is due, and the answers to it, within the step."""
        while True:
            due = [
                each
                for each in self.under_way
                if each[0] <= self.now_s + STEP_S / 2
                and each[1] not in self.stopped
            ]
            if not due:
                return
            for each in due:
                self.under_way.remove(each)
                _, peer, message = each
                actions = self.nodes[peer].receive(message, self.now_s)
                self.take(peer, actions)

    def up(self):
        return [i for i in range(SIZE) if i not in self.stopped]

    def split(self, group, one_way=False):
        others = set(range(SIZE)) - set(group)
        self.cut = {(a, b) for a in group for b in others}
        if not one_way:
            self.cut |= {(b, a) for a, b in self.cut}

    def states(self, index):
        """State of a host as the others that are up see it."""
        return {
            self.nodes[peer].view().members[f'h{index}'].state
            for peer in self.up()
            if peer != index
        }

    def agreed(self):
        return all(self.states(index) == {'alive'} for index in range(SIZE))


def test_all_find_each_other_and_stay_alive():
    network = Network()
    network.run(4.0)
    assert network.agreed()
    network.sent = 0
    network.run(20.0)
    assert network.agreed()
    assert network.sent / SIZE / 20.0 < 4.5


def test_dead_host_is_noticed():
    """A killed host is left out of answers to callers within three seconds."""
    took_s = []
    for seed in range(30):
        network = Network(seed)
        network.run(6.0)
        network.stopped.add(0)
        killed_s = network.now_s
        while 'alive' in network.states(0):
            network.run(0.1)
        took_s.append(network.now_s - killed_s)
    assert max(took_s) < 3.0
    assert statistics.median(took_s) < 1.6


def test_stopped_process_is_doubted_and_comes_back():
    """A process is stopped beyond its death and runs on.

    It notices the jump and says so, so that leases are dropped; it does
    not declare the others dead; and they take it back.
    """
    network = Network()
    network.run(4.0)
    network.stopped.add(3)
    network.run(10.0)
    assert network.states(3) == {'dead'}
    network.stopped.clear()
    network.heard.clear()
    network.run(4.0)
    assert any(isinstance(a, membership.Paused) for _, a in network.heard)
    assert network.agreed()


def test_lost_domain_is_seen_as_that():
    """Two hosts are cut off: each side names the domains it lost.

    The two find six hosts dead one after the other; probes that fail make
    them doubt themselves and wait longer.
    """
    for seed in range(5):
        network = Network(seed)
        network.run(4.0)
        network.split([1, 5])
        network.run(12.0)
        assert network.nodes[0].view().lost_domains == {'d1'}
        assert network.nodes[1].view().lost_domains == {'d0', 'd2', 'd3'}
        network.cut = set()
        network.run(12.0)
        assert network.agreed()


def test_one_blocked_path_kills_nobody():
    """Two hosts cannot reach each other, but all others reach both.

    Probes go round by helpers, so neither is declared dead.
    """
    network = Network()
    network.run(4.0)
    network.cut = {(0, 1), (1, 0)}
    network.run(20.0)
    assert network.agreed()


def test_new_process_supersedes_the_old_one():
    """A host is replaced while its old process is stopped.

    The old one runs on later, hears of the new one and is told to stop.
    """
    network = Network()
    network.run(4.0)
    old = network.nodes[2]
    network.start(2, incarnation=7)
    network.run(4.0)
    assert network.nodes[0].view().members['h2'].incarnation == 7
    (send,) = network.nodes[0].survey(network.now_s)[:1]
    actions = old.receive(
        send.message._replace(source=network.nodes[2].own), network.now_s
    )
    assert membership.Superseded(7) in actions


def test_farewell_names_the_successor():
    network = Network()
    network.run(4.0)
    network.take(4, network.nodes[4].leave('h5', network.now_s))
    network.run(1.0)
    network.stopped.add(4)
    network.run(6.0)
    assert network.states(4) == {'left'}
    assert network.nodes[0].view().members['h4'].successor == 'h5'


def test_declining_host_is_seen_to_take_no_work():
    network = Network()
    network.run(6.0)
    assert network.nodes[0].view().members['h4'].takes_work is False
    for node in network.nodes.values():
        node.freshness.record_store_confirmation(network.now_s, 1, 1)
    network.run(0.5)
    network.nodes[0].survey(network.now_s)
    assert network.nodes[4].own.takes_work
    network.nodes[4].stop_taking_work()
    network.run(4.0)
    assert not network.nodes[0].view().members['h4'].takes_work


def test_revisions_and_digests_ride_on_datagrams():
    network = Network()
    network.run(4.0)
    network.nodes[6].set_table(4, 5)
    network.nodes[6].digest = b'load'
    network.run(4.0)
    seen = network.nodes[1].view().members['h6']
    assert (seen.table_revision, seen.staged_revision) == (4, 5)
    assert (1, membership.DigestReceived('h6', b'load')) in network.heard
    assert network.nodes[1].freshness.host_with_newer_table() == 'h6'


def test_survey_brings_evidence_of_all_at_once():
    network = Network()
    network.run(4.0)
    network.nodes[0].freshness.evidence.clear()
    network.take(0, network.nodes[0].survey(network.now_s))
    network.run(0.2)
    assert len(network.nodes[0].freshness.evidence) == SIZE - 1


def test_datagrams_are_bounded_in_a_large_fleet():
    own = member(0)
    peers = [
        own._replace(host=f'n{n}', address=f'10.1.{n // 200}.{n % 200}')
        for n in range(420)
    ]
    node = membership.Membership(
        own, membership.MembershipSettings(), random.Random(1), peers
    )
    for peer in peers:
        host_state = freshness.HostState(
            peer.host, 1, 0.0, 1, 1, 0.0, True, True, 1.0
        )
        ack = membership.Ack(0, peer, 'h0', (), (host_state,), b'')
        node.receive(ack, 0.1)
        node.freshness.handle_probe_answer(0.0, 0.1, [host_state])
    (send, *_) = node.tick(0.5)
    settings = membership.MembershipSettings()
    assert len(send.message.updates) <= settings.max_updates
    assert len(send.message.host_states) == settings.max_host_states


class Weather(stateful.RuleBasedStateMachine):
    """Splits, one-way losses, stops and replacements in any order.

    Afterwards all hosts take each other for alive again; and no host that
    is neither stopped nor cut off from anyone is ever declared dead.
    """

    def __init__(self):
        super().__init__()
        self.network = Network()
        self.network.run(4.0)
        self.incarnation = 1

    @stateful.rule(
        group=strategies.sets(strategies.integers(0, SIZE - 1)),
        one_way=strategies.booleans(),
    )
    def split(self, group, one_way):
        self.network.split(group, one_way)

    @stateful.rule(index=strategies.integers(0, SIZE - 1))
    def stop(self, index):
        self.network.stopped.add(index)

    @stateful.rule(index=strategies.integers(0, SIZE - 1))
    def resume(self, index):
        self.network.stopped.discard(index)

    @stateful.rule(index=strategies.integers(0, SIZE - 1))
    def replace(self, index):
        self.incarnation += 1
        self.network.start(index, self.incarnation)

    @stateful.rule(for_s=strategies.sampled_from([0.3, 2.0, 6.0]))
    def run_on(self, for_s):
        self.network.run(for_s)

    def teardown(self):
        self.network.stopped.clear()
        self.network.cut = set()
        self.network.run(20.0)
        assert self.network.agreed()


TestWeather = Weather.TestCase
TestWeather.settings = hypothesis.settings(
    max_examples=12, stateful_step_count=12
)
