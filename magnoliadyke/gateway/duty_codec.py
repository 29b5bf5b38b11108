"""Messages between hosts for confirmations, usage and the time of day."""

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
#: Largest age that fits the 32-bit field of a reply, in milliseconds.
MAX_AGE_MS = 2**31 - 1


class ConfirmationRequest(NamedTuple):
    """Query for a proof that the configuration is current."""

    nonce: int


class ConfirmationReply(NamedTuple):
    """A host's configuration version, and the age of its proof."""

    nonce: int
    version: int
    age_s: float


class Usage(NamedTuple):
    """Totals of the requests of one process that began to run.

    :param windows: request counts by window and workspace
    :param wall_s: the host's time of day, in seconds since the Unix epoch;
        None if another host forwards the counts
    :param era: era of the store that has all reports made final since
        ``reports_known_s`` ago; None if the host knows of none
    :param reports_known_s: that time, in seconds; negative for one to come
    """

    host: str
    incarnation: int
    windows: dict[int, dict[str, int]]
    wall_s: float | None
    era: int | None = None
    reports_known_s: float = 0.0


class WallTime(NamedTuple):
    """The hosts' median time of day, in seconds since the Unix epoch."""

    wall_s: float


Message = ConfirmationRequest | ConfirmationReply | Usage | WallTime


def encode(message: Message, datagram: ttypes.Datagram) -> None:
    """Set the field of a datagram that holds a message of this kind."""
    match message:
        case ConfirmationRequest(nonce):
            datagram.confirmation_request = ttypes.ConfirmationRequest(nonce)
        case ConfirmationReply(nonce, version, age_s):
            datagram.confirmation_reply = ttypes.ConfirmationReply(
                nonce, version, round(min(age_s * MILLI, MAX_AGE_MS))
            )
        case Usage(host, incarnation, windows, wall_s, era, known_s):
            datagram.usage = ttypes.Usage(
                host,
                incarnation,
                [ttypes.WindowUsage(*each) for each in windows.items()],
                None if wall_s is None else round(wall_s * MILLI),
                era,
                round(min(known_s * MILLI, MAX_AGE_MS)),
            )
        case WallTime(wall_s):
            datagram.wall_time = ttypes.WallTime(round(wall_s * MILLI))


def decode(datagram: ttypes.Datagram) -> Message | None:
    """Return the message in a datagram, None if it is of another kind."""
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
            usage.era,
            (usage.reports_known_ms or 0) / MILLI,
        )
    if datagram.wall_time is not None:
        return WallTime(datagram.wall_time.wall_ms / MILLI)
    return None
