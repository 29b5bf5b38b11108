"""Whatever bytes come from outside, decoders answer with their typed error.

A decoder that raised anything else would end the task that reads a socket,
or a request with a traceback, at the wish of whoever sent the bytes.
"""

import json
import math
import socket
from unittest import mock

from hypothesis import given
from hypothesis import strategies as st
import pytest
from thrift import Thrift
from thrift import TSerialization

from magnoliadyke.core import attempts
from magnoliadyke.core import catalog
from magnoliadyke.core import digests
from magnoliadyke.core import membership
from magnoliadyke.core import table
from magnoliadyke.core import tickets
from magnoliadyke.core import usage
from magnoliadyke import errors
from magnoliadyke.gateway import connection
from magnoliadyke.gateway import fields
from magnoliadyke.gateway import http
from magnoliadyke.gateway import members
from magnoliadyke.gateway import outcomes
from magnoliadyke.gateway import peerstate
from magnoliadyke.gateway import placement_codec
from magnoliadyke.gateway import relaying
from magnoliadyke import gossip_codec
from magnoliadyke.lab import platformrecords
from magnoliadyke import peer
from magnoliadyke.platform import cloud
from magnoliadyke.platform import codec
from magnoliadyke.platform import engines
from magnoliadyke.platform import settings
from magnoliadyke.wire.placement import ttypes as placement
from magnoliadyke.wire.state import ttypes as state
from magnoliadyke.wire import ttypes as wire

DEPLOYMENT = 'dala'
ENGINE = catalog.Endpoint(
    'd1', 'm', '127.0.0.1:1', 'z1', 16, False, catalog.Stage.DECODE
)
MEMBER = membership.Member('a', 1, '127.0.0.1', 1, 2, 'domain')
PING = gossip_codec.encode(
    DEPLOYMENT, membership.Ping(7, MEMBER, 'b', (MEMBER,), (), b'digest')
)

JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(['revision', 'cells', 'staged', 'history'])
            | st.text(max_size=4),
            inner,
            max_size=4,
        )
    ),
    max_leaves=8,
)


@st.composite
def damaged(draw, whole):
    """Bytes of a whole message with some of them changed or cut off."""
    data = bytearray(whole)
    for _ in range(draw(st.integers(0, 6))):
        data[draw(st.integers(0, len(data) - 1))] = draw(st.integers(0, 255))
    return bytes(data[: draw(st.integers(0, len(data)))])


@given(st.binary(max_size=200) | damaged(PING))
def test_datagrams(data):
    try:
        message = gossip_codec.decode(DEPLOYMENT, data)
    except errors.ProtocolError:
        return
    assert message is not None


@given(st.binary(max_size=400))
def test_digests(data):
    try:
        digests.Digest.from_bytes(data)
    except ValueError as error:
        assert str(error)


@given(st.text() | JSON.map(json.dumps))
def test_tables(text):
    try:
        document = table.parse(text)
    except ValueError:
        return
    assert table.parse(table.dump(document)) == document


@given(st.text() | st.from_regex(tickets.KEY_PATTERN, fullmatch=True))
def test_keys(text):
    key = tickets.parse_key(text)
    if key is not None:
        issuer = tickets.TicketIssuer(key.host, key.incarnation, b'secret')
        assert not issuer.accepts(key)


@given(st.lists(st.binary(max_size=40), max_size=10))
def test_event_streams_that_are_none(pieces):
    assembly = attempts.Assembly()
    assembly.start_attempt('attempt')
    for piece in pieces:
        try:
            assembly.feed('attempt', piece)
        except ValueError:
            return
    assert assembly.finished is None


# Decoders of the gateway: what other hosts, engines and operators send.

HUGE = 10**400
ODD_JSON = [
    b'[' * 100_000,
    b'{"a":' * 100_000,
    b'9' * 400,
    b'9' * 5000,
    b'',
    b'null',
    b'true',
    b'[]',
    b'[[]]',
    b'{}',
    b'"text"',
    b'NaN',
    b'-Infinity',
    b'\xff\xfe',
    b'{"a":1,"a":2}',
]
ODD = [None, True, -1, 1.5, HUGE, math.nan, math.inf, '\n', 'x' * 2000]
ODD += [[], {}, [[]], {'a': None}]
ADDRESSES = ['127.0.0.1', 'x:1', 'a..b:1', '127.0.0.1:', 'fe80::1%\u00e9:1']
ADDRESSES += [f'127.0.0.1:{port}' for port in (-1, 0, 65536, 65537, 99_999)]


def fields_of(whole, **odd):
    """Documents in which each field is missing or odd in turn."""
    for name in whole:
        rest = {k: v for k, v in whole.items() if k != name}
        yield json.dumps(rest).encode()
        for value in (*ODD, *odd.get(name, ())):
            yield json.dumps(rest | {name: value}).encode()


HOST = members.HostRecord('a', 1, '127.0.0.1', '127.0.0.1:1', 2, 'domain', 1.0)
HOST_FIELDS = HOST._asdict()
PREFILLED = {'kv_handle': 'h', 'tokens': 3}
STATE = {'stage': 'decode', 'sequence': 3, 'busy': False}


@pytest.mark.parametrize(
    'value',
    [
        *ODD_JSON,
        *fields_of(
            HOST_FIELDS,
            callers=ADDRESSES,
            address=['a..b', 'x', '127.0.0.1\0'],
            gossip_port=[0, 65536],
        ),
    ],
    ids=lambda value: repr(value[-60:]),
)
def test_host_records(value):
    """A port out of range ended the task that probes the hosts."""
    try:
        found = members.HostRecord.parse(value)
    except fields.BadField as error:
        assert str(error)
        return
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    member = members._member(found)
    sock.sendto(b'', (member.address, member.peer_port))
    sock.close()
    data = gossip_codec.encode('d', ping_of(member))
    assert gossip_codec.decode('d', data).source == member


def ping_of(member):
    return membership.Ping(7, member, 'b', (member,), (), b'')


@pytest.mark.parametrize(
    'value',
    [
        *ODD_JSON,
        *fields_of(PREFILLED, kv_handle=['a b', 'a/b', '\u00e9', '']),
    ],
    ids=lambda value: repr(value[-60:]),
)
def test_prefill_answers(value):
    """A nested answer was an internal error, not a failed prefill."""
    found = codec.PlatformCodec().parse_prefilled(value)
    assert found is None or found.handle == 'h'


@pytest.mark.parametrize(
    'value',
    [*ODD_JSON, *fields_of(STATE)],
    ids=lambda value: repr(value[-60:]),
)
@pytest.mark.parametrize('status', [200, 202, 400, 503])
def test_engine_answers(value, status):
    """A number too large ended the leader's orders of stages."""
    head = http.Head(b'', b'', status, [], None, False, True)
    opened = mock.Mock()
    opened.call.return_value = connection.Answer(head, value)
    calls = engines.PlatformEngines()
    with mock.patch.object(connection, 'Connection', return_value=opened):
        calls.state(ENGINE)
        calls.order_stage(ENGINE, catalog.Stage.DECODE, 'h', 1, 2)
        calls.stop_run(ENGINE, b'r1', '127.0.0.1:1')


@pytest.mark.parametrize('value', ODD_JSON, ids=lambda v: repr(v[:40]))
def test_platform_answers(value):
    for status in (200, 409, 429, 500, 404):
        cloud._outcome(status, value)


@pytest.mark.parametrize(
    'value',
    [
        *ODD_JSON,
        b'[[1,null]]',
        b'[[1,{"x":null}]]',
        b'[[1e999,{}]]',
        b'[[1,{"x":-1}]]',
        b'[[true,{}]]',
        b'[["1",{}]]',
    ],
    ids=lambda value: repr(value[:40]),
)
def test_usage_reports(value):
    try:
        found = usage.Reports(5).parse(value)
    except ValueError as error:
        assert str(error)
        return
    assert found.fixed == {}


@pytest.mark.parametrize('value', ODD_JSON, ids=lambda v: repr(v[:40]))
def test_settings_files(tmp_path, value):
    path = tmp_path / 'settings.json'
    path.write_bytes(value)
    with pytest.raises(errors.SettingsError):
        settings.load(str(path))


SETTINGS = platformrecords.node_settings('n', '127.0.0.1', '127.0.0.1:1') | {
    'duties': {
        'address': '127.0.0.1:1',
        'names': ['usage_report'],
        'usage_window_s': 10,
        'usage_due_s': 5,
    },
    'revoke_s': 5.0,
    'core_speed': 1.0,
    'first_start': False,
}


@pytest.mark.parametrize('name', SETTINGS)
def test_settings_with_one_value_odd(name):
    """They were taken over by a reload, and failed when the host stopped."""
    optional = name in settings.NodeSettings._field_defaults
    assert settings.parse(SETTINGS).name == 'n'
    values = [*ODD, *(ADDRESSES if ':' in str(SETTINGS[name]) else ())]
    for odd in values:
        if odd is None and optional:
            continue
        try:
            found = settings.parse(SETTINGS | {name: odd})
        except errors.SettingsError as error:
            assert name in str(error)
            continue
        usual = getattr(settings.parse(SETTINGS), name)
        both = (type(getattr(found, name)), type(usual))
        assert len(set(both)) == 1 or set(both) == {int, float}


@pytest.mark.parametrize('name', SETTINGS['duties'])
def test_duties_with_one_value_odd(name):
    for odd in (None, True, -1, HUGE, math.nan, '\n', {}, [[]], [1]):
        duties = SETTINGS['duties'] | {name: odd}
        with pytest.raises(errors.SettingsError):
            settings.parse(SETTINGS | {'duties': duties})


@pytest.mark.parametrize('address', [*ADDRESSES, '127.0.0.1\0:1', '', ':'])
@pytest.mark.parametrize(
    'connect', [lambda address: http.connect(address, 0.3), peer.connect]
)
def test_addresses_that_no_connection_can_be_opened_to(address, connect):
    """Port 65537 became port 1, and other addresses were no OSError."""
    with pytest.raises(OSError):
        connect(address)


@pytest.mark.parametrize(
    'value',
    [b'', b'%ff', b'host=a&version=1&token=x']
    + [
        b'host=a&version=%s&waited_ms=%s&token=x' % (version, waited)
        for version, waited in [
            (b'1', b'9' * 400),
            (b'9' * 5000, b'1'),
            (b'1', b'-1'),
            (b'1', b'nan'),
            (b'1_0', b'1'),
            (b'1', b''),
        ]
    ],
    ids=lambda value: repr(value[:40]),
)
def test_relay_headers(value):
    """A number too large ended the connection of the host that relays."""
    head = mock.Mock(headers=[(relaying.HEADER, value)])
    with pytest.raises(http.BrokenMessage):
        relaying.pop_header(head)


@pytest.mark.parametrize(
    'value', [b'soon', b'nan', b'-1', b'1e999', b'9' * 5000, b'\xff']
)
def test_relayed_retry_after(value):
    """A date was an internal error, not a refusal."""
    head = http.Head(
        b'', b'', 503, [(b'Retry-After', value)], None, False, True
    )
    found = relaying.Relayer._read_unsealed(None, head, b'busy')
    assert found == outcomes.Refused('busy', relaying.RETRY_AFTER_S)


@pytest.mark.parametrize(
    'odd',
    [
        {name: None}
        for name in (
            'host',
            'address',
            'failure_domain',
            'incarnation',
            'caller_port',
            'peer_port',
            'refutations',
            'table_revision',
            'staged_revision',
            'spare_percent',
        )
    ]
    + [{'incarnation': -1}, {'incarnation': 2**63 - 1}]
    + [{'peer_port': -1}, {'peer_port': 70_000}, {'refutations': 2**31 - 1}],
    ids=str,
)
def test_members_in_datagrams(odd):
    """A port out of range ended the task that answers probes."""
    datagram = TSerialization.deserialize(
        wire.Datagram(), PING, gossip_codec.PROTOCOL_FACTORY
    )
    for member in (datagram.source, datagram.updates[0]):
        before = {name: getattr(member, name) for name in odd}
        for name, value in odd.items():
            setattr(member, name, value)
        data = TSerialization.serialize(
            datagram, gossip_codec.PROTOCOL_FACTORY
        )
        with pytest.raises(errors.ProtocolError):
            gossip_codec.decode(DEPLOYMENT, data)
        for name, value in before.items():
            setattr(member, name, value)


@given(st.binary(max_size=200))
def test_placement_datagrams(data):
    try:
        placement_codec.decode(data)
    except errors.ProtocolError as error:
        assert str(error)


def structs(spec):
    """Structures with no field, for each field of a datagram."""
    for each in filter(None, spec):
        if each[1] == Thrift.TType.STRUCT:
            yield each[2], each[3][0]


@pytest.mark.parametrize(
    'name, struct', list(structs(placement.Datagram.thrift_spec))
)
def test_placement_messages_without_fields(name, struct):
    datagram = placement.Datagram(version=1)
    setattr(datagram, name, struct())
    data = TSerialization.serialize(datagram, gossip_codec.PROTOCOL_FACTORY)
    try:
        assert placement_codec.decode(data) is not None
    except errors.ProtocolError as error:
        assert str(error)


@pytest.mark.parametrize(
    'reply',
    [
        state.StateReply(),
        state.StateReply(1, 7, None, era=1),
        state.StateReply(1, None, [], era=1),
        state.StateReply(1, 7, [state.Entry()], era=1),
        state.StateReply(1, 7, [state.Entry(None, 3, b'')], era=1),
        state.StateReply(1, 7, [state.Entry('a', None, b'')], era=1),
        state.StateReply(1, 7, [], era=1, passed_over=[state.PassedOver()]),
    ],
    ids=str,
)
def test_states_of_other_hosts(reply):
    """One without a field ended the task that catches up."""
    with pytest.raises(errors.ProtocolError):
        peerstate._decode(reply)
