"""Encoding of the membership protocol's datagrams in compact thrift."""

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

#: Higher ages are sent as this one, or as absent, to keep the field small;
#: evidence of this age has expired long since.
MAX_AGE_S = 3600.0
MAX_STRING_BYTES = 64 * 1024
MAX_ITEMS = 1024
MAX_PORT = 65535
#: Largest incarnation or revision that is accepted: sums and differences of
#: two still fit a 64-bit field.
MAX_NUMBER = 2**62
#: Largest accepted value of each number of a member.
MEMBER_LIMITS = {
    'incarnation': MAX_NUMBER,
    'caller_port': MAX_PORT,
    'peer_port': MAX_PORT,
    'refutations': 2**30,
    'table_revision': MAX_NUMBER,
    'staged_revision': MAX_NUMBER,
    'spare_percent': 100,
}

PROTOCOL_FACTORY = TCompactProtocol.TCompactProtocolAcceleratedFactory(
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
    """A datagram with a notice on one engine.

    :param source: state of the sender
    """

    source: membership.Member
    notice: notices.EngineNotice


class Prompts(typing.NamedTuple):
    """A datagram with prompts that the sender has assigned to engines.

    :param source: state of the sender
    :param prompts: tuple of :class:`magnoliadyke.core.notices.PromptNotice`
    """

    source: membership.Member
    prompts: tuple


def encode_prompts(deployment, message):
    """Return the datagram for :class:`Prompts`, as bytes."""
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
    return TSerialization.serialize(datagram, PROTOCOL_FACTORY)


def decode_prompts(datagram):
    """Return the :class:`Prompts` in a datagram of kind PROMPTS."""
    prompts = tuple(
        notices.PromptNotice(each.engine, each.read_ms / 1000)
        for each in datagram.prompts or ()
    )
    return Prompts(decode_member(datagram.source), prompts)


def encode_notice(deployment, message):
    """Return the datagram for a :class:`Notice`, as bytes."""
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
    return TSerialization.serialize(datagram, PROTOCOL_FACTORY)


def decode_notice(datagram):
    """Return the :class:`Notice` in a datagram of kind NOTICE."""
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
    """Return the datagram for a message, as bytes.

    :param deployment: name of the deployment; nodes of other deployments
        ignore the datagram
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
    host_states = message.host_states
    match message:
        case membership.Ping():
            datagram.kind = ttypes.MessageKind.PING
            # Sending the digest with answers too would double its cost.
            datagram.digest = message.digest or None
            # Sightings of other hosts are evidence only in answers.
            host_states = host_states[:1]
        case membership.Ack():
            datagram.kind = ttypes.MessageKind.ACK
        case membership.PingRequest():
            datagram.kind = ttypes.MessageKind.PING_REQUEST
            datagram.target_address = message.target_address
            datagram.target_port = message.target_port
            host_states = host_states[:1]
    datagram.sightings = [
        encode_host_state(each, message.source) for each in host_states
    ] or None
    return TSerialization.serialize(datagram, PROTOCOL_FACTORY)


def decode(deployment, data):
    """Return the message in a datagram.

    :param deployment: name of the deployment
    :param data: bytes of the datagram
    :raises magnoliadyke.errors.ProtocolError: if it is malformed, of another
        deployment or of a kind that this version does not support
    """
    try:
        datagram = TSerialization.deserialize(
            ttypes.Datagram(), data, PROTOCOL_FACTORY
        )
    except Exception as error:
        # The C codec raises many unrelated exceptions for malformed bytes.
        raise malformed(f'{type(error).__name__}: {error}') from error
    if datagram.deployment != deployment:
        raise malformed(f'sent by deployment {datagram.deployment!r}')
    try:
        return decode_message(datagram)
    except (AttributeError, KeyError, TypeError) as error:
        raise malformed(f'missing field: {error}') from error


def malformed(reason):
    """Return the error for a datagram that can't be decoded."""
    return errors.ProtocolError(
        f'datagram ignored: {reason}',
        'check that only nodes of this deployment use its peer ports',
    )


def decode_message(datagram):
    """Return the message of a datagram that was deserialized.

    :raises magnoliadyke.errors.ProtocolError: if its kind is not supported
    """
    if datagram.kind == ttypes.MessageKind.NOTICE:
        return decode_notice(datagram)
    if datagram.kind == ttypes.MessageKind.PROMPTS:
        return decode_prompts(datagram)
    sequence = datagram.sequence
    source = decode_member(datagram.source)
    sightings = datagram.sightings or ()
    piggybacked = (
        tuple(decode_member(each) for each in datagram.updates or ()),
        tuple(decode_host_state(each, source) for each in sightings),
        datagram.digest or b'',
    )
    match datagram.kind:
        case ttypes.MessageKind.PING:
            return membership.Ping(
                sequence, source, datagram.target, *piggybacked
            )
        case ttypes.MessageKind.ACK:
            return membership.Ack(
                sequence, source, datagram.target, *piggybacked
            )
        case ttypes.MessageKind.PING_REQUEST:
            check_number(
                datagram.target, 'target_port', datagram.target_port, MAX_PORT
            )
            if datagram.target_address is None:
                raise malformed('ping request: expected target_address')
            return membership.PingRequest(
                sequence,
                source,
                datagram.target,
                datagram.target_address,
                datagram.target_port,
                *piggybacked,
            )
    raise malformed(f'unsupported kind {datagram.kind}')


def encode_member(member):
    """Return the thrift structure of a member."""
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
    """Return the member in a thrift structure.

    :raises magnoliadyke.errors.ProtocolError: if a field is missing or has a
        value that no host can have
    """
    for name in ('host', 'address', 'failure_domain'):
        if getattr(member, name) is None:
            raise malformed(f'host {member.host!r}: expected {name}, got none')
    for name, most in MEMBER_LIMITS.items():
        check_number(member.host, name, getattr(member, name), most)
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


def check_number(host, name, value, most):
    """Check a number in a datagram.

    :raises magnoliadyke.errors.ProtocolError: if it is missing or not from 0
        to ``most``
    """
    if value is None or not 0 <= value <= most:
        raise malformed(
            f'host {host!r}: expected {name} from 0 to {most}, got {value!r}'
        )


def encode_host_state(host_state, source):
    """Return the thrift structure of a host state.

    Incarnation and table revision are encoded as differences from those of
    the datagram's sender, the staged revision as one from the table revision.
    """
    store_age_ms = None
    if host_state.store_age_s < MAX_AGE_S:
        store_age_ms = milliseconds(host_state.store_age_s)
    rooted = constants.FLAG_ROOTED if host_state.rooted else 0
    takes_work = constants.FLAG_TAKES_WORK if host_state.takes_work else 0
    table_revision = host_state.table_revision
    return ttypes.Sighting(
        host=host_state.host,
        incarnation_ahead=nonzero_difference(
            host_state.incarnation, source.incarnation
        ),
        age_ms=milliseconds(min(host_state.age_s, MAX_AGE_S)),
        table_ahead=nonzero_difference(table_revision, source.table_revision),
        staged_ahead=nonzero_difference(
            host_state.staged_revision, table_revision
        ),
        store_age_ms=store_age_ms,
        flags=rooted | takes_work,
        spare_percent=percent(host_state.spare),
    )


def decode_host_state(sighting, source):
    """Return the host state in a thrift structure.

    :param source: the datagram's sender, to whose numbers the differences are
        added
    """
    store_age_s = math.inf
    if sighting.store_age_ms is not None:
        store_age_s = sighting.store_age_ms / 1000
    incarnation = source.incarnation + (sighting.incarnation_ahead or 0)
    table_revision = source.table_revision + (sighting.table_ahead or 0)
    staged_revision = table_revision + (sighting.staged_ahead or 0)
    if sighting.host is None:
        raise malformed('host state: expected host, got none')
    for name, value in (
        ('incarnation', incarnation),
        ('table_revision', table_revision),
        ('staged_revision', staged_revision),
    ):
        check_number(sighting.host, name, value, MAX_NUMBER)
    return freshness.HostState(
        host=sighting.host,
        incarnation=incarnation,
        age_s=sighting.age_ms / 1000,
        table_revision=table_revision,
        staged_revision=staged_revision,
        store_age_s=store_age_s,
        rooted=bool(sighting.flags & constants.FLAG_ROOTED),
        takes_work=bool(sighting.flags & constants.FLAG_TAKES_WORK),
        spare=sighting.spare_percent / 100,
    )


def nonzero_difference(number, base):
    """Return the difference of a number to a base.

    It is None instead of 0, since an absent field takes no space.
    """
    return number - base or None


def milliseconds(seconds):
    """Return whole milliseconds, rounded up so that no age gets smaller."""
    return math.ceil(seconds * 1000)


def percent(share):
    """Return a share as a percentage, rounded to an integer."""
    return round(100 * share)
