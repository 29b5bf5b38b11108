"""Whatever bytes come from outside, decoders answer with their typed error.

A decoder that raised anything else would end the task that reads a socket,
or a request with a traceback, at the wish of whoever sent the bytes.
"""

import json

from hypothesis import given
from hypothesis import strategies as st

from magnoliadyke.core import attempts
from magnoliadyke.core import digests
from magnoliadyke.core import membership
from magnoliadyke.core import table
from magnoliadyke.core import tickets
from magnoliadyke import errors
from magnoliadyke import gossip_codec

DEPLOYMENT = 'dala'
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
