"""Messages between hosts about what endpoints name in their responses."""

from typing import NamedTuple

from magnoliadyke.wire.placement import ttypes

__all__ = [
    'Leaving',
    'LimitUpdate',
    'Message',
    'NamedLimit',
    'PermitReply',
    'PermitRequest',
    'decode',
    'encode',
]

MILLI = 1000
#: Largest duration that fits a 32-bit field, in milliseconds.
MAX_MS = 2**31 - 1


class NamedLimit(NamedTuple):
    """The rate limit that an endpoint named in a response.

    :param rate_s: requests per second from all hosts, None for no limit
    :param sent_ago_s: time since the request was sent, in seconds
    :param received_ago_s: time since the response was received, in seconds
    """

    endpoint: str
    rate_s: float | None
    sent_ago_s: float
    received_ago_s: float


class LimitUpdate(NamedTuple):
    """Limits that the leader sends to all hosts, or a host to the leader.

    :param leads: whether the leader sends them
    """

    limits: tuple[NamedLimit, ...]
    leads: bool


class PermitRequest(NamedTuple):
    """Asks the leader for a permit to send one request.

    :param endpoints: ids of the endpoints to which it may be sent
    :param max_wait_s: time for which the request can wait, in seconds
    :param host: name of the host that asks
    """

    nonce: int
    endpoints: tuple[str, ...]
    max_wait_s: float
    host: str


class PermitReply(NamedTuple):
    """The leader's answer to a request for a permit.

    :param endpoint: id of the endpoint, None if there is no permit
    :param wait_s: time until the request may be sent, or until another
        permit may be asked for, in seconds; 0 without a permit if the leader
        knows of no limit of the endpoints
    """

    nonce: int
    endpoint: str | None
    wait_s: float


class Leaving(NamedTuple):
    """Endpoints that announced in a response that they leave.

    :param endpoints: their ids
    :param leads: whether the leader sends the message
    """

    endpoints: tuple[str, ...]
    leads: bool


Message = LimitUpdate | Leaving | PermitRequest | PermitReply


def encode(message: Message, datagram: ttypes.Datagram) -> None:
    """Set the field of a datagram that holds a message of this kind."""
    match message:
        case LimitUpdate(limits, leads):
            datagram.endpoint_limits = ttypes.EndpointLimits(
                [
                    ttypes.EndpointLimit(
                        each.endpoint,
                        each.rate_s,
                        _to_ms(each.sent_ago_s),
                        _to_ms(each.received_ago_s),
                    )
                    for each in limits
                ],
                leads,
            )
        case Leaving(endpoints, leads):
            datagram.endpoints_leaving = ttypes.EndpointsLeaving(
                list(endpoints), leads
            )
        case PermitRequest(nonce, endpoints, max_wait_s, host):
            datagram.permit_request = ttypes.PermitRequest(
                nonce, list(endpoints), _to_ms(max_wait_s), host
            )
        case PermitReply(nonce, endpoint, wait_s):
            datagram.permit_reply = ttypes.PermitReply(
                nonce, endpoint, _to_ms(wait_s)
            )


def decode(datagram: ttypes.Datagram) -> Message | None:
    """Return the message in a datagram, None if it is of another kind."""
    if datagram.endpoint_limits is not None:
        update = datagram.endpoint_limits
        return LimitUpdate(
            tuple(
                NamedLimit(
                    each.endpoint,
                    each.rate_s,
                    each.sent_ms / MILLI,
                    each.received_ms / MILLI,
                )
                for each in update.limits
            ),
            update.leads,
        )
    if datagram.endpoints_leaving is not None:
        leaving = datagram.endpoints_leaving
        return Leaving(tuple(leaving.endpoints), leaving.leads)
    if datagram.permit_request is not None:
        request = datagram.permit_request
        return PermitRequest(
            request.nonce,
            tuple(request.endpoints),
            request.max_wait_ms / MILLI,
            request.host,
        )
    if datagram.permit_reply is not None:
        reply = datagram.permit_reply
        return PermitReply(reply.nonce, reply.endpoint, reply.wait_ms / MILLI)
    return None


def _to_ms(seconds: float) -> int:
    return max(0, min(MAX_MS, round(seconds * MILLI)))
