"""Messages between hosts about the versions that began streams."""

from typing import NamedTuple

from magnoliadyke.core import streamversions
from magnoliadyke.wire.placement import ttypes

__all__ = [
    'Message',
    'StreamQuery',
    'StreamRecord',
    'StreamRecords',
    'StreamReply',
    'decode',
    'encode',
]


class StreamRecord(NamedTuple):
    """The version that began a stream.

    :param key: see :func:`streamversions.stream_key`
    :param for_s: how long its caller may still come back, in seconds
    """

    key: bytes
    version: str
    for_s: float


class StreamRecords(NamedTuple):
    """Streams of a service that a host has begun."""

    service: str
    streams: tuple[StreamRecord, ...]


class StreamQuery(NamedTuple):
    """Asks a host which version began a stream."""

    nonce: int
    service: str
    key: bytes


class StreamReply(NamedTuple):
    """What a host knows of a stream that it was asked about."""

    nonce: int
    report: streamversions.Report


Message = StreamRecords | StreamQuery | StreamReply


def encode(message: Message, datagram: ttypes.Datagram) -> None:
    """Set the field of a datagram that holds a message of this kind."""
    match message:
        case StreamRecords(service, streams):
            datagram.stream_versions = ttypes.StreamVersions(
                service,
                [
                    ttypes.StreamVersion(
                        each.key, each.version, round(each.for_s * 1000)
                    )
                    for each in streams
                ],
            )
        case StreamQuery(nonce, service, key):
            datagram.stream_query = ttypes.StreamQuery(nonce, service, key)
        case StreamReply(nonce, report):
            datagram.stream_reply = ttypes.StreamReply(
                nonce,
                report.version,
                report.is_recorded,
                report.has_several or None,
                round(report.list_age_s * 1000),
            )


def decode(datagram: ttypes.Datagram) -> Message | None:
    """Return the message in a datagram, None if it is of another kind."""
    if datagram.stream_versions is not None:
        told = datagram.stream_versions
        return StreamRecords(
            told.pool,
            tuple(
                StreamRecord(each.key, each.version, each.for_ms / 1000)
                for each in told.streams
            ),
        )
    if datagram.stream_query is not None:
        query = datagram.stream_query
        return StreamQuery(query.nonce, query.pool, query.key)
    if datagram.stream_reply is not None:
        reply = datagram.stream_reply
        age_ms = reply.list_age_ms
        return StreamReply(
            reply.nonce,
            streamversions.Report(
                reply.version,
                bool(reply.recorded),
                bool(reply.several),
                streamversions.MAX_LIST_AGE_S
                if age_ms is None
                else age_ms / 1000,
            ),
        )
    return None
