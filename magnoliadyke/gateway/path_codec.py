"""Messages between hosts about the endpoints that each reaches."""

from typing import NamedTuple

from magnoliadyke import errors
from magnoliadyke.gateway import fields
from magnoliadyke.wire.placement import ttypes

__all__ = ['Message', 'PathQuery', 'PathReply', 'decode', 'encode']


class PathQuery(NamedTuple):
    """Asks a host which endpoints it reaches.

    :param address: IP address of the host that asks
    :param endpoints: ids of the endpoints
    """

    address: str
    endpoints: tuple[str, ...]


class PathReply(NamedTuple):
    """The endpoints that a host reaches.

    :param address: IP address of the host that replies
    :param endpoints: ids of the endpoints, of those it was asked about
    :param relayed: number of requests of other hosts that it is serving
    """

    address: str
    endpoints: tuple[str, ...]
    relayed: int


Message = PathQuery | PathReply


def encode(message: Message, datagram: ttypes.Datagram) -> None:
    """Set the field of a datagram that holds a message of this kind."""
    match message:
        case PathQuery(address, endpoints):
            datagram.path_query = ttypes.PathQuery(address, list(endpoints))
        case PathReply(address, endpoints, relayed):
            datagram.path_reply = ttypes.PathReply(
                address, list(endpoints), relayed
            )


def decode(datagram: ttypes.Datagram) -> Message | None:
    """Return the message in a datagram, None if it is of another kind."""
    if datagram.path_query is not None:
        query = datagram.path_query
        return PathQuery(_ip(query.address), tuple(query.endpoints))
    if datagram.path_reply is not None:
        reply = datagram.path_reply
        return PathReply(
            _ip(reply.address), tuple(reply.endpoints), reply.relayed
        )
    return None


def _ip(address: str) -> str:
    if not fields.is_ip(address):
        raise errors.ProtocolError(
            f'paths: expected an IP address, got {address!r:.80}'
        )
    return address
