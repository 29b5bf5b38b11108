"""Datagrams of the membership protocol as compact thrift."""

import math
import typing

from thrift.protocol import TCompactProtocol
from thrift import TSerialization

from magnoliadyke.core import freshness
from magnoliadyke.core import membership
from magnoliadyke.core import notices
from magnoliadyke import errors
from magnoliadyke.wire import constants
from magnoliadyke.wire import ttypes

__all__ = [
    'Notice',
    'Prompts',
    'decode',
    'encode',
    'encode_notice',
    'encode_prompts',
]

#: An age above this is as good as never; it keeps the field small.
MAX_AGE_S = 3600.0
MAX_STRING_BYTES = 64 * 1024
MAX_ITEMS = 1024

FACTORY = TCompactProtocol.TCompactProtocolAcceleratedFactory(
    string_length_limit=MAX_STRING_BYTES,
    container_length_limit=MAX_ITEMS,
    fallback=True,
)

STATES = {
    membership.ALIVE: ttypes.MemberState.ALIVE,
    membership.SUSPECT: ttypes.MemberState.SUSPECT,
    membership.DEAD: ttypes.MemberState.DEAD,
    membership.LEFT: ttypes.MemberState.LEFT,
}
STATE_NAMES = {number: name for name, number in STATES.items()}


class Notice(typing.NamedTuple):
    """A datagram that tells of one engine."""

    source: membership.Member
    notice: notices.EngineNotice


class Prompts(typing.NamedTuple):
    """Prompts that the source has given to engines.

    :param prompts: :class:`magnoliadyke.core.notices.PromptNotice` each
    """

    source: membership.Member
    prompts: tuple


def encode_prompts(deployment, message):
    """Return the bytes of :class:`Prompts`."""
    datagram = ttypes.Datagram(
        version=constants.VERSION,
        kind=ttypes.MessageKind.PROMPTS,
        deployment=deployment,
        sequence=0,
        source=encode_member(message.source),
        prompts=[
            ttypes.PromptNotice(each.engine, milliseconds(each.read_s))
            for each in message.prompts
        ],
    )
    return TSerialization.serialize(datagram, FACTORY)


def decode_prompts(datagram):
    """Message of a datagram of kind PROMPTS."""
    told = tuple(
        notices.PromptNotice(each.engine, each.read_ms / 1000)
        for each in datagram.prompts or ()
    )
    return Prompts(decode_member(datagram.source), told)


def encode_notice(deployment, message):
    """Return the bytes of a :class:`Notice`."""
    notice = message.notice
    datagram = ttypes.Datagram(
        version=constants.VERSION,
        deployment=deployment,
        kind=ttypes.MessageKind.NOTICE,
        sequence=0,
        source=encode_member(message.source),
        target='',
        notice=ttypes.EngineNotice(
            notice.engine,
            notice.fencing,
            notice.changing,
            milliseconds(notice.for_s),
        ),
    )
    return TSerialization.serialize(datagram, FACTORY)


def decode_notice(datagram):
    """Message of a datagram of kind NOTICE."""
    notice = datagram.notice
    return Notice(
        decode_member(datagram.source),
        notices.EngineNotice(
            notice.engine,
            notice.fencing,
            notice.changing,
            notice.for_ms / 1000,
        ),
    )


def encode(deployment, message):
    """Return the bytes of one datagram.

    :param deployment: name of the deployment; others ignore the datagram
    :param message: a message of :mod:`magnoliadyke.core.membership`
    """
    datagram = ttypes.Datagram(
        version=constants.VERSION,
        deployment=deployment,
        sequence=message.sequence,
        source=encode_member(message.source),
        target=message.target,
        updates=[encode_member(each) for each in message.updates] or None,
    )
    sightings = message.host_states
    match message:
        case membership.Ping():
            datagram.kind = ttypes.MessageKind.PING
            # A digest on every answer as well would double its cost.
            datagram.digest = message.digest or None
            sightings = sightings[:1]  # of others, only answers are evidence
        case membership.Ack():
            datagram.kind = ttypes.MessageKind.ACK
        case membership.PingRequest():
            datagram.kind = ttypes.MessageKind.PING_REQUEST
            datagram.target_address = message.target_address
            datagram.target_port = message.target_port
            sightings = sightings[:1]
    datagram.sightings = [
        encode_sighting(each, message.source) for each in sightings
    ] or None
    return TSerialization.serialize(datagram, FACTORY)


def decode(deployment, data):
    """Return the message in a datagram.

    :raises magnoliadyke.errors.ProtocolError: when it is malformed, of
        another deployment or of a kind that this version doesn't know
    """
    try:
        datagram = TSerialization.deserialize(ttypes.Datagram(), data, FACTORY)
    except Exception as error:
        # The C codec raises half a dozen unrelated kinds for bad bytes.
        raise malformed(f'{type(error).__name__}: {error}') from error
    if datagram.deployment != deployment:
        raise malformed(f'it is of deployment {datagram.deployment!r}')
    try:
        return decode_message(datagram)
    except (AttributeError, KeyError, TypeError) as error:
        raise malformed(f'a field is absent: {error}') from error


def malformed(reason):
    """Error for a datagram that can't be used."""
    return errors.ProtocolError(
        f'datagram ignored: {reason}',
        'check that only nodes of this deployment use its peer ports',
    )


def decode_message(datagram):
    """Message of a datagram whose bytes were whole."""
    if datagram.kind == ttypes.MessageKind.NOTICE:
        return decode_notice(datagram)
    if datagram.kind == ttypes.MessageKind.PROMPTS:
        return decode_prompts(datagram)
    sequence = datagram.sequence
    source = decode_member(datagram.source)
    sightings = datagram.sightings or ()
    riders = (
        tuple(decode_member(each) for each in datagram.updates or ()),
        tuple(decode_sighting(each, source) for each in sightings),
        datagram.digest or b'',
    )
    match datagram.kind:
        case ttypes.MessageKind.PING:
            return membership.Ping(sequence, source, datagram.target, *riders)
        case ttypes.MessageKind.ACK:
            return membership.Ack(sequence, source, datagram.target, *riders)
        case ttypes.MessageKind.PING_REQUEST:
            return membership.PingRequest(
                sequence,
                source,
                datagram.target,
                datagram.target_address,
                datagram.target_port,
                *riders,
            )
    raise malformed(f'kind {datagram.kind} is unknown')


def encode_member(member):
    """A member as it travels."""
    return ttypes.Member(
        host=member.host,
        incarnation=member.incarnation,
        address=member.address,
        caller_port=member.caller_port,
        peer_port=member.peer_port,
        failure_domain=member.failure_domain,
        state=STATES[member.state],
        refutations=member.refutations,
        table_revision=member.table_revision,
        staged_revision=member.staged_revision,
        spare_percent=percent(member.spare),
        takes_work=member.takes_work,
        successor=member.successor or None,
    )


def decode_member(member):
    """A member as the core knows it."""
    return membership.Member(
        host=member.host,
        incarnation=member.incarnation,
        address=member.address,
        caller_port=member.caller_port,
        peer_port=member.peer_port,
        failure_domain=member.failure_domain,
        state=STATE_NAMES[member.state],
        refutations=member.refutations,
        table_revision=member.table_revision,
        staged_revision=member.staged_revision,
        spare=member.spare_percent / 100,
        takes_work=member.takes_work,
        successor=member.successor or '',
    )


def encode_sighting(sighting, source):
    """A sighting as it travels, relative to the datagram's source."""
    store_age_ms = None
    if sighting.store_age_s < MAX_AGE_S:
        store_age_ms = milliseconds(sighting.store_age_s)
    rooted = constants.FLAG_ROOTED if sighting.rooted else 0
    takes_work = constants.FLAG_TAKES_WORK if sighting.takes_work else 0
    table_revision = sighting.table_revision
    return ttypes.Sighting(
        host=sighting.host,
        incarnation_ahead=ahead(sighting.incarnation, source.incarnation),
        age_ms=milliseconds(min(sighting.age_s, MAX_AGE_S)),
        table_ahead=ahead(table_revision, source.table_revision),
        staged_ahead=ahead(sighting.staged_revision, table_revision),
        store_age_ms=store_age_ms,
        flags=rooted | takes_work,
        spare_percent=percent(sighting.spare),
    )


def decode_sighting(sighting, source):
    """A sighting as the core knows it."""
    store_age_s = math.inf
    if sighting.store_age_ms is not None:
        store_age_s = sighting.store_age_ms / 1000
    table_revision = source.table_revision + (sighting.table_ahead or 0)
    return freshness.HostState(
        host=sighting.host,
        incarnation=source.incarnation + (sighting.incarnation_ahead or 0),
        age_s=sighting.age_ms / 1000,
        table_revision=table_revision,
        staged_revision=table_revision + (sighting.staged_ahead or 0),
        store_age_s=store_age_s,
        rooted=bool(sighting.flags & constants.FLAG_ROOTED),
        takes_work=bool(sighting.flags & constants.FLAG_TAKES_WORK),
        spare=sighting.spare_percent / 100,
    )


def ahead(number, base):
    """How far a number is ahead; None, which takes no room, if it is equal."""
    return number - base or None


def milliseconds(seconds):
    """Whole milliseconds, rounded up: evidence never looks younger."""
    return math.ceil(seconds * 1000)


def percent(share):
    """A share as a small whole number."""
    return round(100 * share)
