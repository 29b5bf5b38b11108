"""Datagrams as bytes."""

import math

import hypothesis
from hypothesis import strategies
import pytest

from magnoliadyke.core import freshness
from magnoliadyke.core import membership
from magnoliadyke.core import notices
from magnoliadyke import errors
from magnoliadyke import gossip_codec

COUNTS = strategies.integers(0, 2**53)
PERCENTS = strategies.integers(0, 100).map(lambda count: count / 100)
NAMES = strategies.text(max_size=20)
MILLISECONDS = strategies.integers(0, 3_000_000).map(lambda ms: ms / 1000)
MEMBERS = strategies.builds(
    membership.Member,
    host=NAMES,
    incarnation=COUNTS,
    address=NAMES,
    caller_port=strategies.integers(0, 65535),
    peer_port=strategies.integers(0, 65535),
    failure_domain=NAMES,
    state=strategies.sampled_from(sorted(gossip_codec.STATES)),
    refutations=strategies.integers(0, 1000),
    table_revision=COUNTS,
    staged_revision=COUNTS,
    spare=PERCENTS,
    takes_work=strategies.booleans(),
    successor=NAMES,
)
SIGHTINGS = strategies.builds(
    freshness.Sighting,
    host=NAMES,
    incarnation=COUNTS,
    age_s=MILLISECONDS,
    table_revision=COUNTS,
    staged_revision=COUNTS,
    store_age_s=MILLISECONDS | strategies.just(math.inf),
    rooted=strategies.booleans(),
    takes_work=strategies.booleans(),
    spare=PERCENTS,
)
MESSAGES = strategies.builds(
    membership.Ping,
    sequence=COUNTS,
    source=MEMBERS,
    target=NAMES,
    updates=strategies.lists(MEMBERS, max_size=3).map(tuple),
    sightings=strategies.lists(SIGHTINGS, max_size=3).map(tuple),
    digest=strategies.binary(max_size=50),
)


@hypothesis.given(MESSAGES)
def test_a_message_survives_the_wire(message):
    found = gossip_codec.decode('d', gossip_codec.encode('d', message))
    ages = [each.age_s for each in message.sightings]
    assert [each.age_s for each in found.sightings] == pytest.approx(
        ages, abs=0.0011
    )
    assert all(
        seen.age_s >= age_s - 1e-9
        for seen, age_s in zip(found.sightings, ages, strict=True)
    )
    assert found.source == message.source
    assert found.updates == message.updates
    assert found.digest == message.digest


def test_a_notice_survives_the_wire():
    source = membership.Member('h1', 1, '10.0.0.1', 1, 2, 'd1')
    notice = notices.EngineNotice('e1', 2**50, True, 5.0)
    sent = gossip_codec.Notice(source, notice)
    data = gossip_codec.encode_notice('d', sent)
    assert gossip_codec.decode('d', data) == sent


@hypothesis.given(strategies.binary(max_size=200))
def test_any_bytes_are_a_message_or_a_typed_error(data):
    with pytest.raises(errors.ProtocolError):
        gossip_codec.decode('d', data)


def test_another_deployments_datagram_is_refused():
    source = membership.Member('h1', 1, '10.0.0.1', 1, 2, 'd1')
    ping = membership.Ping(1, source, 'h2', (), (), b'')
    with pytest.raises(errors.ProtocolError, match='other'):
        gossip_codec.decode('d', gossip_codec.encode('other', ping))
