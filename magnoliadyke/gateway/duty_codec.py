"""Messages between hosts on confirmations, usage and the time of day."""

from typing import NamedTuple

from magnoliadyke.wire.placement import ttypes

__all__ = [
    'ConfirmationReply',
    'ConfirmationRequest',
    'Message',
    'Usage',
    'WallTime',
    'decode',
    'encode',
]

MILLI = 1000
#: Largest age that fits the field, in milliseconds.
MAX_AGE_MS = 2**31 - 1


class ConfirmationRequest(NamedTuple):
    """Asks for a proof that the configuration is the newest."""

    nonce: int


class ConfirmationReply(NamedTuple):
    """The version that a host goes by, and the age of its proof."""

    nonce: int
    version: int
    age_s: float


class Usage(NamedTuple):
    """Requests that began to run, as one process has counted so far.

    :param windows: totals by workspace, by window
    :param wall_s: what the host takes for the time of day, since the epoch;
        None where another host tells its counts
    """

    host: str
    incarnation: int
    windows: dict[int, dict[str, int]]
    wall_s: float | None


class WallTime(NamedTuple):
    """The time of day that most hosts have, in seconds since the epoch."""

    wall_s: float


Message = ConfirmationRequest | ConfirmationReply | Usage | WallTime


def encode(message: Message, datagram: ttypes.Datagram) -> None:
    """Put a message into a datagram."""
    match message:
        case ConfirmationRequest(nonce):
            datagram.confirmation_request = ttypes.ConfirmationRequest(nonce)
        case ConfirmationReply(nonce, version, age_s):
            datagram.confirmation_reply = ttypes.ConfirmationReply(
                nonce, version, round(min(age_s * MILLI, MAX_AGE_MS))
            )
        case Usage(host, incarnation, windows, wall_s):
            datagram.usage = ttypes.Usage(
                host,
                incarnation,
                [ttypes.WindowUsage(*each) for each in windows.items()],
                None if wall_s is None else round(wall_s * MILLI),
            )
        case WallTime(wall_s):
            datagram.wall_time = ttypes.WallTime(round(wall_s * MILLI))


def decode(datagram: ttypes.Datagram) -> Message | None:
    """Read a message; None if the datagram holds none of these."""
    if datagram.confirmation_request is not None:
        return ConfirmationRequest(datagram.confirmation_request.nonce)
    if datagram.confirmation_reply is not None:
        reply = datagram.confirmation_reply
        return ConfirmationReply(
            reply.nonce, reply.version, reply.age_ms / MILLI
        )
    if datagram.usage is not None:
        usage = datagram.usage
        return Usage(
            usage.host,
            usage.incarnation,
            {each.window: each.begun for each in usage.windows},
            None if usage.wall_ms is None else usage.wall_ms / MILLI,
        )
    if datagram.wall_time is not None:
        return WallTime(datagram.wall_time.wall_ms / MILLI)
    return None
