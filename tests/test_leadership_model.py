"""Leadership, positions and fencing over restores, in any order of events."""

import json
import random
from unittest import mock
from urllib import parse

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from magnoliadyke.core import catalog
from magnoliadyke.core import membership
from magnoliadyke.core import position
from magnoliadyke.gateway import follower
from magnoliadyke.gateway import http
from magnoliadyke.gateway import keymirror
from magnoliadyke.gateway import leadership
from magnoliadyke.gateway import members
from magnoliadyke.gateway import peerstate
from magnoliadyke.gateway import store
from magnoliadyke.lab import platformstore
from magnoliadyke.platform import store as platform_store

HOSTS = 3
ORDER_GAP_S = 3.0
#: Longest time between a check at the store and the order that follows it.
CALL_S = platform_store.CALL_TIMEOUT_S
NEVER = store.Unavailable('no answer', True)


class Clock:
    """Time that passes only when told to."""

    def __init__(self):
        self.at_s = 1000.0

    def now_s(self):
        return self.at_s

    def wall_s(self):
        return self.at_s

    monotonic = now_s
    boot_s = now_s

    def sleep(self, seconds):
        pass


class Client(platform_store.PlatformStore):
    """The store's client, with calls that may be lost on either way."""

    def __init__(self, standin, clock):
        super().__init__('127.0.0.1:1', clock)
        self.standin = standin
        self.reaches = True
        self.hears = True

    def _exchange(self, kind, held, method, path, body, timeout_s):
        if not self.reaches:
            return NEVER, None
        url = parse.urlsplit(path)
        query = {
            k: v[0]
            for k, v in parse.parse_qs(
                url.query, keep_blank_values=True
            ).items()
        }
        status, fields = self.standin._dispatch(
            method, url.path, query, json.loads(body or b'{}')
        )
        if not self.hears:
            return NEVER, None
        headers = [(b'Store-Era', b'%d' % self.standin.era)]
        head = http.Head(b'', b'', status, headers, None, False, True)
        return self._check_era(head, fields), None


class Decoder(keymirror.Decoder):
    configuration_key = 'op/config'
    endpoint_prefix = 'servers/'


class Placer:
    """Takes note of who leads."""

    def __init__(self):
        self.leading = False
        self.leader_retry_at_s = 0.0

    def follow(self, leader, term):
        self.leading = False

    def lead(self):
        self.leading = True


class View:
    """What gossip tells a host of the others, which may be wrong."""

    def __init__(self):
        self.members = {}

    def view(self):
        return self


class Members:
    """Hosts as one of them sees them."""

    def __init__(self, own):
        self.own = own
        self.leaving = False
        self.listed = {own.host}
        self.records = {own.host: own}
        self.membership = View()


class Others(follower.Others):
    """Nobody is told anything but by the machine."""

    def __init__(self, addresses):
        self.addresses = addresses

    def peer_addresses(self, first):
        return self.addresses

    def broadcast_position(self, seen):
        pass

    def is_watcher(self):
        return True

    def max_relay_bytes(self):
        return 0.0

    def relay(self, told):
        pass


class Host:
    """One process of a host: the parts that decide, without tasks."""

    def __init__(self, number, incarnation, standin, clock, tell):
        self.name = f'host-{number}'
        ip = f'10.0.0.{number + 1}'
        own = members.HostRecord(
            self.name, incarnation, ip, f'{ip}:1', 1, 'd', 1.0
        )
        self.client = Client(standin, clock)
        self.placement_service = Placer()
        self.members = Members(own)
        self.asked = None
        self.checked = None
        self.leadership = leadership.Leadership(
            own,
            self.members,
            self.placement_service,
            self.client,
            0.5,
            ORDER_GAP_S,
            tell,
            clock,
            random.Random(number),
        )
        self.leadership.gathered_s = 0.0
        mirror = keymirror.KeyMirror(
            Decoder(),
            catalog.Catalog(),
            {leadership.LEADER_KEY: self.leadership},
            lambda endpoint_id: None,
            clock,
        )
        others = Others([f'host-{n}' for n in range(HOSTS) if n != number])
        self.follower = follower.Follower(
            self.name,
            self.client,
            mirror,
            clock,
            random.Random(number),
            2.0,
            others,
        )
        self.leadership.contact = self.follower
        self.seen = position.START

    @property
    def position(self):
        return self.follower.lag.own_position


picks = strategies.integers(0, HOSTS - 1)
some_s = strategies.sampled_from((0.1, 0.5, 1.0, 1.4, 3.0, 5.0, 13.0))


class Machine(stateful.RuleBasedStateMachine):
    """Three hosts, a store that is restored, and engines that take orders."""

    def __init__(self):
        super().__init__()
        self.clock = Clock()
        self.patches = [
            mock.patch.object(platformstore, 'time', self.clock),
            mock.patch.object(peerstate, 'fetch', self.fetch),
        ]
        for each in self.patches:
            each.start()
        self.standin = platformstore.PlatformStoreStandIn()
        self.copies = [self.standin.snapshot()]
        self.told = []
        self.orders = []
        self.incarnations = 0
        self.hosts = [self.process(number) for number in range(HOSTS)]

    def teardown(self):
        for each in self.patches:
            each.stop()

    def process(self, number):
        self.incarnations += 1
        return Host(
            number,
            self.incarnations,
            self.standin,
            self.clock,
            self.told.append,
        )

    def fetch(self, address, known):
        (host,) = [h for h in self.hosts if h.name == address]
        return host.follower.state(known)

    # Time, faults and restores.

    @stateful.rule(seconds=some_s)
    def pass_time(self, seconds):
        self.clock.at_s += seconds
        for lease, (_, until_s) in list(self.standin.leases.items()):
            if self.clock.at_s > until_s:
                self.standin._remove_lease(lease)

    @stateful.rule()
    def copy_store(self):
        self.copies.append(self.standin.snapshot())

    @stateful.rule(data=strategies.data())
    def restore(self, data):
        copies = strategies.sampled_from(self.copies[-4:])
        self.standin.restore(data.draw(copies))

    @stateful.rule()
    def restore_latest(self):
        self.standin.restore(self.copies[-1])

    @stateful.rule()
    def others_write(self):
        self.standin.put('magnoliadyke/other', b'x')

    @stateful.rule(
        pick=picks, reaches=strategies.booleans(), hears=strategies.booleans()
    )
    def disturb(self, pick, reaches, hears):
        client = self.hosts[pick].client
        client.reaches, client.hears = reaches, hears

    @stateful.rule(pick=picks)
    def heal(self, pick):
        client = self.hosts[pick].client
        client.reaches = client.hears = True

    @stateful.rule(pick=picks)
    def restart(self, pick):
        self.hosts[pick] = self.process(pick)

    @stateful.rule(pick=picks, of=picks, dead=strategies.booleans())
    def gossip(self, pick, of, dead):
        member = membership.Member(f'host-{of}', 0, '', 0, 0, 'd')
        state = membership.DEAD if dead else membership.ALIVE
        view = self.hosts[pick].members.membership
        view.members[f'host-{of}'] = member._replace(state=state)

    # What hosts do.

    @stateful.rule(pick=picks)
    def read(self, pick):
        host = self.hosts[pick]
        if host.follower._read_all():
            assert host.position == position.Position(
                self.standin.era, self.standin.revision
            )

    @stateful.rule(pick=picks)
    def ask_for_all(self, pick):
        found = self.hosts[pick].client.list_prefix('')
        if isinstance(found, store.Items):
            self.hosts[pick].asked = found

    @stateful.rule(pick=picks)
    def hear_all_late(self, pick):
        host = self.hosts[pick]
        found, host.asked = host.asked, None
        if found is not None:
            items = {item.key: item for item in found.items}
            host.follower.take_all(items, found.position)

    @stateful.rule(pick=picks)
    def watch(self, pick):
        host = self.hosts[pick]
        if host.position != position.START:
            host.follower._read_missed()

    @stateful.rule(pick=picks, other=picks)
    def ask_host(self, pick, other):
        self.hosts[pick].follower.catch_up.fetch_from_peers(f'host-{other}')

    @stateful.rule(pick=picks)
    def contend(self, pick):
        host = self.hosts[pick].leadership
        if host.lease is None:
            host._contend()

    @stateful.rule(pick=picks)
    def renew(self, pick):
        host = self.hosts[pick].leadership
        if host.lease is not None:
            host._renew()

    @stateful.rule(pick=picks, data=strategies.data())
    def hear(self, pick, data):
        if not self.told:
            return
        host = self.hosts[pick]
        before = host.leadership.holder
        message = data.draw(strategies.sampled_from(self.told))
        host.leadership.handle_announcement(message)
        if message.position.era < host.position.era:
            assert host.leadership.holder == before

    @stateful.rule(pick=picks)
    def check(self, pick):
        host = self.hosts[pick]
        if host.leadership.may_order():
            host.checked = self.clock.at_s, host.leadership.confirm()

    @stateful.rule(pick=picks)
    def order(self, pick):
        host = self.hosts[pick]
        checked, host.checked = host.checked, None
        if checked is None or self.clock.at_s - checked[0] > CALL_S:
            return
        if not isinstance(checked[1], store.Written):
            return
        if not host.leadership.may_order():
            return
        fencing = host.leadership.fencing
        for at_s, name, token in self.orders:
            assert token <= fencing, 'the token fell'
            assert name == host.name or token != fencing, 'one token for two'
            assert name == host.name or (
                self.clock.at_s - at_s >= ORDER_GAP_S
            ), 'two holders in turns'
        self.orders.append((self.clock.at_s, host.name, fencing))

    @stateful.rule(pick=picks)
    def check_and_order(self, pick):
        self.check(pick)
        self.order(pick)

    @stateful.rule(pick=picks, other=picks)
    def take_over(self, pick, other):
        """A host takes another one for dead, rightly or not."""
        if pick != other:
            self.gossip(pick, other, True)
            self.lead_and_order(pick)

    @stateful.rule(pick=picks)
    def lead_and_order(self, pick):
        """One host does what leads to an order, undisturbed."""
        self.heal(pick)
        self.read(pick)
        self.contend(pick)
        self.pass_time(3.0)
        self.contend(pick)
        for _ in range(5):
            self.pass_time(1.0)
            self.renew(pick)
        self.check(pick)
        self.order(pick)

    @stateful.invariant()
    def positions_never_fall(self):
        for host in self.hosts:
            assert host.position >= host.seen
            host.seen = host.position


TestMachine = Machine.TestCase
TestMachine.settings = hypothesis.settings(
    max_examples=150,
    stateful_step_count=50,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)


@pytest.fixture
def machine():
    made = Machine()
    yield made
    made.teardown()


def ordered(machine):
    return [name for _, name, _ in machine.orders]


def test_holder_of_a_copy_waits_out_the_orders_of_its_successor(machine):
    """Engines would get orders of two holders in turns."""
    machine.lead_and_order(0)
    machine.copy_store()
    machine.take_over(1, 0)
    machine.restore_latest()
    machine.read(0)
    machine.renew(0)
    machine.check_and_order(0)
    assert ordered(machine) == ['host-0', 'host-1']


def test_holder_that_was_replaced_orders_nothing_more(machine):
    """It has not heard of the other one, and its lease still runs."""
    machine.lead_and_order(0)
    machine.take_over(1, 0)
    assert machine.hosts[0].leadership.may_order()
    machine.check_and_order(0)
    assert ordered(machine) == ['host-0', 'host-1']


def test_revision_given_out_twice_confirms_no_holder(machine):
    """Another host's key has the revision of the holder's in a later era."""
    machine.read(1)
    machine.lead_and_order(0)
    machine.restore_latest()
    machine.lead_and_order(1)
    first, second = (host.leadership for host in machine.hosts[:2])
    assert first.may_order()
    assert first.held_position.revision == second.held_position.revision
    machine.check_and_order(0)
    assert ordered(machine) == ['host-0', 'host-1']


def test_late_answer_of_an_earlier_era_brings_no_holder_back(machine):
    machine.lead_and_order(0)
    machine.read(1)
    machine.ask_for_all(1)
    machine.restore_latest()
    machine.lead_and_order(2)
    machine.read(1)
    assert machine.hosts[1].leadership.holder == 'host-2'
    machine.hear_all_late(1)
    assert machine.hosts[1].leadership.holder == 'host-2'
