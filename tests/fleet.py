"""A few nodes' coordination tasks on a paused clock, without sockets.

The tasks are the real ones. Datagrams, calls between nodes, the store and
the engines are small fakes; links between any two hosts, and from a host to
the store, can be cut.
"""

import random
import types

import gevent
from gevent import queue

from magnoliadyke import clock as clocks
from magnoliadyke import configuration
from magnoliadyke import duties
from magnoliadyke import errors
from magnoliadyke import gossip
from magnoliadyke import keyvalue
from magnoliadyke.lab import keyvalue as lab
from magnoliadyke import tablemessages

STEP_S = 0.05
STALE_S = 3.0
STORE = 'store'


class FakeStore(keyvalue.KeyValue):
    """The stand-in's values behind the abstract interface.

    ``lost_replies`` writes take effect without an answer.
    """

    def __init__(self, fleet, host, values):
        self.fleet = fleet
        self.host = host
        self.values = values
        self.lost_replies = 0

    def cut(self):
        return self.fleet.cut(self.host, STORE)

    def get(self, key):
        if self.cut():
            return keyvalue.Unavailable('cut')
        item = self.values.items.get(key)
        if item is None:
            return keyvalue.Absent()
        return keyvalue.Found(key, item.value, item.revision)

    def put(self, key, value, if_revision=None, lease=None):
        if self.cut():
            return keyvalue.Unavailable('cut')
        result = self.values.put(key, value, if_revision, '', 0.0)
        if isinstance(result, lab.Conflict):
            return keyvalue.Conflict(result.revision, result.value)
        if self.lost_replies:
            self.lost_replies -= 1
            return keyvalue.Unavailable('reply lost', maybe_applied=True)
        return keyvalue.Stored(result.revision)

    def watch(self, key, after, wait_s):
        end_s = self.fleet.clock.now_s() + wait_s
        while self.fleet.clock.now_s() < end_s and not self.cut():
            item = self.values.items.get(key)
            if item is not None and item.revision > after:
                return keyvalue.Found(key, item.value, item.revision)
            self.fleet.clock.sleep(STEP_S)
        if self.cut():
            return keyvalue.Unavailable('cut')
        return keyvalue.Unchanged()

    def delete(self, key, if_revision=None):
        raise NotImplementedError

    list_prefix = grant_lease = keep_alive = revoke = delete

    def close(self):
        pass


class FakeSocket:
    """A UDP socket on the fleet's own network."""

    def __init__(self, fleet, address):
        self.fleet = fleet
        self.address = address
        self.arrived = queue.Queue()
        fleet.sockets[address] = self

    def sendto(self, data, address):
        there = self.fleet.sockets.get(address[0])
        if there and not self.fleet.cut(self.address, address[0]):
            there.arrived.put((data, (self.address, 0)))

    def recvfrom(self, size):
        return self.arrived.get()

    def close(self):
        self.fleet.sockets.pop(self.address, None)


class FakePeers:
    """Calls between nodes as plain calls."""

    def __init__(self, fleet, host):
        self.fleet = fleet
        self.host = host

    def task(self, address):
        host = address.rpartition(':')[0]
        node = self.fleet.nodes.get(host)
        if node is None or self.fleet.cut(self.host, host):
            raise errors.HostUnreachable('cut')
        return node

    def fetch_table(self, address, known_revision):
        node = self.task(address)
        revision, text = node.configuration.fetch_table(known_revision)
        return (revision, text) if text is not None else None

    def pool_status(self, address, name):
        return self.task(address).duties.pool_status(name)


class Fleet:
    """Nodes named by their addresses, each in a domain of two.

    :param hosts: how many
    :param pools: pools of the settings
    :param controls: engine name to a fake engine control
    """

    def __init__(self, monkeypatch, hosts=4, pools=(), controls=None):
        self.clock = clocks.ManualClock()
        self.sockets = {}
        self.nodes = {}
        self.cuts = set()
        self.values = lab.Store()
        self.controls = controls or {}
        self.names = [f'h{i}' for i in range(hosts)]
        self.settings = settings_of(self.names, pools)
        monkeypatch.setattr(
            gossip, 'bind_udp', lambda address, port: FakeSocket(self, address)
        )

    def cut(self, one, other):
        return frozenset((one, other)) in self.cuts

    def separate(self, group, others):
        """Cut all links between two groups, the store among either."""
        self.cuts |= {frozenset((a, b)) for a in group for b in others}

    def start(self, *names):
        """Start nodes; all if none is named."""
        for name in names or self.names:
            self.nodes[name] = self.make(name)

    def make(self, name):
        rng = random.Random(name)
        store = FakeStore(self, name, self.values)
        incarnation = int(self.clock.wall_s() * 1000)
        members = gossip.Gossip(
            self.settings, name, self.clock, rng, incarnation
        )
        parts = (self.settings, name, self.clock, rng, store, members)
        table = configuration.Configuration(*parts, FakePeers(self, name))
        planning = duties.Duties(
            *parts, table, lambda engine: self.controls[engine.name]
        )
        for task in (members, table, planning):
            task.start()
        return types.SimpleNamespace(
            store=store, gossip=members, configuration=table, duties=planning
        )

    def kill(self, name):
        """End a node at once, as kill -9 does."""
        node = self.nodes.pop(name)
        node.configuration.watch.stop(0)
        node.gossip.reader.kill()
        node.gossip.socket.close()
        for task in (node.gossip, node.configuration, node.duties):
            task.ticker.kill()
            task.greenlet.kill()

    def stop(self):
        for name in list(self.nodes):
            self.kill(name)

    def run(self, seconds):
        """Let time pass."""
        for _ in range(round(seconds / STEP_S)):
            self.clock.advance(STEP_S)
            for _ in range(12):
                gevent.sleep(0)

    def run_until(self, condition, most_s):
        """Let time pass until the condition holds; return how long."""
        passed_s = 0.0
        while not condition() and passed_s < most_s:
            self.run(STEP_S)
            passed_s += STEP_S
        assert condition(), f'not within {most_s} s'
        return passed_s

    def edit(self, host, cells, edit_id, most_s=20.0, **options):
        """Edit at one host; return the answer and how long it took."""
        base = options.pop('base', None)
        ask = tablemessages.EditCells(cells, base, 'ann', edit_id, **options)
        self.nodes[host].configuration.post(ask)
        passed_s = self.run_until(ask.result.ready, most_s)
        return ask.result.get(), passed_s

    def weights(self):
        """Weight of the customer 'lease' in force on each node."""
        return {
            name: node.configuration.views.last.customers['lease'].weight
            for name, node in self.nodes.items()
        }

    def working(self):
        """Hosts that take work."""
        return {
            name
            for name, node in self.nodes.items()
            if node.configuration.permits.last.allowed
        }


def settings_of(names, pools):
    """The few settings that these tasks read."""
    return types.SimpleNamespace(
        deployment='test',
        hosts=[
            types.SimpleNamespace(
                name=name,
                failure_domain=f'd{index // 2}',
                address=name,
                caller_port=1,
                peer_port=2,
            )
            for index, name in enumerate(names)
        ],
        pools=pools,
        weight_store=types.SimpleNamespace(address='192.0.2.1:1'),
        timing=types.SimpleNamespace(stale_after_s=STALE_S, lease_ttl_s=4.0),
        initial_table={'customers': {'lease': {'weight': 4}}},
    )
