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
    freshness.HostState,
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
    membership.Ack,
    sequence=COUNTS,
    source=MEMBERS,
    target=NAMES,
    updates=strategies.lists(MEMBERS, max_size=3).map(tuple),
    host_states=strategies.lists(SIGHTINGS, max_size=3).map(tuple),
    digest=strategies.just(b''),
)


@hypothesis.given(MESSAGES)
def test_a_message_survives_the_wire(message):
    found = gossip_codec.decode('d', gossip_codec.encode('d', message))
    assert found._replace(host_states=()) == message._replace(host_states=())
    for seen, told in zip(found.host_states, message.host_states, strict=True):
        # Ages are rounded up: evidence never looks younger than it is.
        assert 0 <= seen.age_s - told.age_s + 1e-9 < 0.002
        ages = {'age_s': 0.0, 'store_age_s': 0.0}
        assert seen._replace(**ages) == told._replace(**ages)


def test_only_pings_carry_digests():
    source = membership.Member('h1', 1, '10.0.0.1', 1, 2, 'd1')
    ping = membership.Ping(1, source, 'h2', (), (), b'digest')
    found = gossip_codec.decode('d', gossip_codec.encode('d', ping))
    assert found.digest == b'digest'


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


@hypothesis.given(
    MEMBERS, strategies.lists(strategies.tuples(NAMES, MILLISECONDS))
)
def test_word_of_prompts_passes_unchanged(source, told):
    prompts = tuple(notices.PromptNotice(*each) for each in told)
    message = gossip_codec.Prompts(source, prompts)
    data = gossip_codec.encode_prompts('dala', message)
    assert gossip_codec.decode('dala', data) == message
