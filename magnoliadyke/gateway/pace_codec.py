"""Messages between hosts about the pace of engines."""

from typing import NamedTuple

from magnoliadyke.core import enginepace
from magnoliadyke import errors
from magnoliadyke.wire.placement import ttypes

__all__ = [
    'MAX_ENGINES',
    'LearnedPaces',
    'Message',
    'PaceReport',
    'decode',
    'encode',
]

#: Maximum number of engines in a datagram, so that it does not exceed the
#: 1,400 bytes of a network packet.
MAX_ENGINES = 24
#: Largest number that fits a 32-bit field.
MAX_EVENTS = 2**31 - 1
MICROSECONDS_PER_S = 1_000_000
#: Longest interval that a counter records, in microseconds.
MAX_US = int(enginepace.MAX_INTERVAL_S * MICROSECONDS_PER_S)


class PaceReport(NamedTuple):
    """Events that a host received from engines since its last report."""

    service: str
    samples: tuple[enginepace.PaceSample, ...]


class LearnedPaces(NamedTuple):
    """What the leader has learned of some engines."""

    service: str
    samples: tuple[enginepace.PaceSample, ...]


Message = PaceReport | LearnedPaces


def encode(message: Message, datagram: ttypes.Datagram) -> None:
    """Add a message to a datagram."""
    engines = [_encode_sample(each) for each in message.samples]
    match message:
        case PaceReport(service):
            datagram.pace_report = ttypes.PaceReport(service, engines)
        case LearnedPaces(service):
            datagram.learned_paces = ttypes.LearnedPaces(service, engines)


def decode(datagram: ttypes.Datagram) -> Message | None:
    """Return the message of a datagram, None if it has none of this module.

    :raises errors.ProtocolError: a figure is missing or out of range
    """
    if datagram.pace_report is not None:
        found = datagram.pace_report
        return PaceReport(found.pool, _decode_samples(found.engines))
    if datagram.learned_paces is not None:
        found = datagram.learned_paces
        return LearnedPaces(found.pool, _decode_samples(found.engines))
    return None


def _encode_sample(sample: enginepace.PaceSample) -> ttypes.EnginePace:
    mean_us = _to_microseconds(sample.mean_s)
    # The mean of equal intervals can exceed them by a rounding error.
    longest_us = max(mean_us, _to_microseconds(sample.longest_s))
    return ttypes.EnginePace(sample.engine, sample.events, mean_us, longest_us)


def _decode_samples(
    engines: list[ttypes.EnginePace] | None,
) -> tuple[enginepace.PaceSample, ...]:
    if engines is None or len(engines) > MAX_ENGINES:
        count = 'none' if engines is None else len(engines)
        raise errors.ProtocolError(
            f'pace of engines: expected up to {MAX_ENGINES} engines, '
            f'got {count}'
        )
    return tuple(_decode_sample(each) for each in engines)


def _decode_sample(pace: ttypes.EnginePace) -> enginepace.PaceSample:
    if not pace.engine:
        raise errors.ProtocolError('pace of an engine: no engine id')
    for name, value, least, most in (
        ('events', pace.events, 1, MAX_EVENTS),
        ('mean_us', pace.mean_us, 1, MAX_US),
        ('longest_us', pace.longest_us, pace.mean_us or 1, MAX_US),
    ):
        if value is None or not least <= value <= most:
            raise errors.ProtocolError(
                f'pace of engine {pace.engine:.80}: expected {name} from '
                f'{least} to {most}, got {value}'
            )
    return enginepace.PaceSample(
        pace.engine,
        pace.events,
        pace.mean_us / MICROSECONDS_PER_S,
        pace.longest_us / MICROSECONDS_PER_S,
    )


def _to_microseconds(seconds: float) -> int:
    return max(1, min(MAX_US, round(seconds * MICROSECONDS_PER_S)))
