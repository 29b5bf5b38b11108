"""Entries of other writers that no node can use."""

import contextlib
import json

import gevent
from gevent import socket
import pytest
from thrift import Thrift
from thrift import TSerialization

from magnoliadyke.core import membership
from magnoliadyke.gateway import members
from magnoliadyke.gateway import placement_codec
from magnoliadyke import gossip_codec
from magnoliadyke.wire.placement import ttypes
from tests import gatewayworld

HUGE = 10**400
ENTRY = {
    'service': 'plain',
    'address': '127.0.0.1:9',
    'zone': 'z1',
    'slots': 1,
    'state': 'ready',
}
HOST = {
    'host': 'x',
    'incarnation': 1,
    'address': '127.0.0.1',
    'callers': '127.0.0.1:9',
    'gossip_port': 9,
    'failure_domain': 'z1',
    'capacity': 1.0,
    'prompts_s': 1.0,
}
LEADER = {'host': 'x', 'address': '127.0.0.1', 'incarnation': 1}
ODD = (
    b'[' * 100_000,
    b'{"slots":' * 100_000,
    b'9' * 400,
    b'9' * 5000,
    b'',
    b'null',
    b'true',
    b'[]',
    b'[[]]',
    b'[[1,null]]',
    b'[[1,{"x":null}]]',
    b'[[1e999,{}]]',
    b'{}',
    b'"text"',
    b'NaN',
    b'-1',
    b'\xff\xfe',
    b'x' * 70_000,
)


def changed(entry, names=None, **odd):
    """The entry with each of its fields odd in turn."""
    values = (None, True, -1, HUGE, float('nan'), float('inf'), [], {}, '\n')
    for name in entry if names is None else names:
        yield from ({**entry, name: value} for value in values)
    for name, values in odd.items():
        yield from ({**entry, name: value} for value in values)


ADDRESSES = ('127.0.0.1', 'x:1', 'a..b:1') + tuple(
    f'127.0.0.1:{port}' for port in (-1, 0, 65536, 70_000, 99_999, '9' * 400)
)
PORTS = (-1, 0, 65536, 70_000, '9', 1.5)
KEYS = {
    'servers/odd': changed(ENTRY, address=ADDRESSES),
    'magnoliadyke/hosts/x': changed(
        HOST,
        callers=ADDRESSES,
        gossip_port=PORTS,
        address=('x', 'a..b', '1.2.3.4\0'),
    ),
    'magnoliadyke/hosts/other': [HOST],
    'magnoliadyke/leader': changed(LEADER, address=('x', 'a..b')),
    'magnoliadyke/leader2': [LEADER],
    'magnoliadyke/fleet/plain': [],
    'magnoliadyke/caller-waits': [],
    'magnoliadyke/usage': [],
    'magnoliadyke/other': [],
    'op/config': [
        *(
            gatewayworld.configuration(version=9) | {name: value}
            for name in ('version', 'routes', 'services', 'limits', 'tenants')
            for value in (True, -1, 1.5, HUGE, float('nan'), [1], 'x')
        ),
        *(
            gatewayworld.configuration(version=9) | {'routes': [each]}
            for each in changed(
                gatewayworld.route('odd', '/odd/', 'safe', 'plain'),
                (),
                hostname=(7, '\n', None),
                kind=([], None),
                timeout_ms=(-1, 0, HUGE, '9', True, None),
                priority=(-1, 1.5, HUGE, '9', True),
                traffic_split=(7, [{'service': 'plain', 'weight': HUGE}]),
            )
        ),
    ],
    'k' * 200: [],
    '\u00e9/\u2028': [],
}
KEYS = {key: list(entries) for key, entries in KEYS.items()}


@pytest.fixture
def world():
    with gatewayworld.world() as made:
        made.configure()
        made.endpoint('p1')
        yield made


def odd_values(key):
    yield from ODD
    for each in KEYS[key]:
        yield json.dumps(each).encode()


@contextlib.contextmanager
def no_task_ends(world):
    """Fail the test if a task of a node ends, or any by an exception."""
    failed = []
    hub = gevent.get_hub()
    hub.handle_error, handle_error = (
        lambda *found: failed.append(found),
        hub.handle_error,
    )
    try:
        yield
        # Time in which hosts that are new are probed and answered.
        gevent.sleep(0.5)
        for node in world.nodes:
            running = [
                *node.follower.greenlets,
                *node.members.greenlets,
                *node.placement_service.greenlets,
            ]
            assert not any(each.ready() for each in running)
    finally:
        hub.handle_error = handle_error
    assert not failed


@pytest.mark.parametrize('key', KEYS)
def test_odd_entry_ends_nothing(world, key):
    """A node ended, or no longer followed the store, by one odd entry."""
    first = world.node()
    with no_task_ends(world):
        for number, value in enumerate(odd_values(key)):
            at = world.store.put(key, value)
            if key == 'servers/odd':
                # These stay, so that the second node lists them.
                world.store.put(f'{key}-{number}', value)
        gatewayworld.wait_for(
            lambda: first.catalog.position.revision >= at, 'the odd entry'
        )
        assert first.catalog.configuration.version == 1
        if key == 'op/config':
            world.configure(version=10)
        world.join('p2')
        world.node()
        world.join('p3')
        for node in (0, 1):
            head = world.ask('/safe/x', request_id=f'r{node}', node=node)
            assert head.status == 200
        gatewayworld.wait_for(
            lambda: any(each.leadership.lease for each in world.nodes),
            'a leader',
        )


def test_odd_entry_that_replaces_a_good_one(world):
    """It is out of use until its own entry is back."""
    node = world.node()
    world.join('p2')
    with no_task_ends(world):
        for value in (b'[' * 100_000, b'{"slots":%s}' % (b'9' * 400), b''):
            world.store.put('servers/p1', value)
            gatewayworld.wait_for(
                lambda: 'p1' not in node.catalog.endpoints, 'the odd entry'
            )
            assert 'p2' in node.catalog.endpoints
            world.list(world.endpoints['p1'])
            gatewayworld.wait_for(
                lambda: 'p1' in node.catalog.endpoints, 'its own entry'
            )


def gossip_datagrams():
    usual = membership.Member('x', 1, '127.0.0.1', 9, 9, 'z1')
    members_of_others = [usual]
    for address in ('x', 'a..b', '', '127.0.0.1\0', '\u00e9' * 80):
        members_of_others.append(usual._replace(address=address))
    for port in (-1, 0, 65536, 70_000):
        members_of_others.append(usual._replace(peer_port=port))
    for target in (HOST['host'], '*'):
        for each in members_of_others:
            yield membership.Ping(7, each, target, (each,), (), b'')
            yield membership.Ack(7, usual, target, (each,), (), b'')
            yield membership.PingRequest(
                7, usual, target, each.address, each.peer_port, (), (), b''
            )


def placement_datagrams():
    """Messages without a field, and ones that name no address."""
    for spec in filter(None, ttypes.Datagram.thrift_spec):
        if spec[1] == Thrift.TType.STRUCT:
            yield ttypes.Datagram(version=1, **{spec[2]: spec[3][0]()})
    for address in ('x', 'a..b', '', '127.0.0.1\0', '\u00e9' * 80):
        yield ttypes.Datagram(
            1, leader=ttypes.Leader('x', address, 1, 9, era=1)
        )
        yield ttypes.Datagram(1, path_query=ttypes.PathQuery(address, ['p1']))


def test_odd_datagram_ends_nothing(world):
    """One odd datagram ended the task that receives all others."""
    node, other = world.node(), world.node()
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    source = membership.Member('x', 1, '127.0.0.1', 9, 9, 'z1')
    notice = gossip_codec.Prompts(source, ())
    with no_task_ends(world):
        datagrams = [gossip_codec.encode_prompts(members.DEPLOYMENT, notice)]
        for message in gossip_datagrams():
            if message.target == '*':
                message = message._replace(target=node.settings.name)
            datagrams.append(gossip_codec.encode(members.DEPLOYMENT, message))
        for data in (*datagrams, b'', b'\xff' * 1000):
            sock.sendto(data, (node.settings.ip, node.own_record.gossip_port))
            gevent.sleep(0.005)
        for datagram in placement_datagrams():
            data = TSerialization.serialize(
                datagram, placement_codec.PROTOCOL_FACTORY
            )
            port = node.placement_service.port
            sock.sendto(data, (node.settings.ip, port))
            gevent.sleep(0.005)
    sock.close()
    assert node.members.count() >= 2 and other.members.count() >= 2
