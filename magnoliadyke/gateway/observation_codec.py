"""Messages between hosts about what they observed of endpoints."""

from typing import NamedTuple

from magnoliadyke.core import observations
from magnoliadyke import errors
from magnoliadyke.wire.placement import ttypes

__all__ = [
    'MAX_ENDPOINTS',
    'MAX_OBSERVATIONS_BYTES',
    'Message',
    'ObservationReport',
    'decode',
    'encode',
    'encoded_bytes',
]

#: Maximum number of endpoints in a report.
MAX_ENDPOINTS = 24
#: Maximum size of a report's observations, so that with the host's name the
#: datagram does not exceed the 1,400 bytes of a network packet.
MAX_OBSERVATIONS_BYTES = 1200
#: Largest encoded size of an observation without its endpoint id.
OBSERVATION_BYTES = 32
#: Longest mean response time that is accepted, in microseconds: no request
#: to a plain service takes that long.
MAX_MEAN_US = 60_000_000
#: Largest number of requests that is accepted. No host makes so many in the
#: interval of its reports, and one such figure would outweigh all others.
MAX_REQUESTS = 10_000
#: Largest duration that fits a 32-bit field, in milliseconds.
MAX_MS = 2**31 - 1
MICROSECONDS_PER_S = 1_000_000
MILLI = 1000


class ObservationReport(NamedTuple):
    """What a host observed of endpoints since its last report.

    :param host: name of the host
    :param incarnation: number of its process, higher after each restart
    """

    host: str
    incarnation: int
    observations: tuple[observations.Observation, ...]


Message = ObservationReport


def encoded_bytes(observed: observations.Observation) -> int:
    """Return the largest encoded size of an observation, in bytes."""
    return OBSERVATION_BYTES + len(observed.endpoint.encode())


def encode(message: Message, datagram: ttypes.Datagram) -> None:
    """Set the field of a datagram that holds a message of this kind."""
    datagram.endpoint_observations = ttypes.EndpointObservations(
        message.host,
        message.incarnation,
        [_encode(each) for each in message.observations],
    )


def decode(datagram: ttypes.Datagram) -> Message | None:
    """Return the message in a datagram, None if it is of another kind.

    :raises errors.ProtocolError: the report holds a figure that can't be
    """
    report = datagram.endpoint_observations
    if report is None:
        return None
    if not report.host:
        raise _unusable('host', report.host, 'a name')
    if report.incarnation is None or report.incarnation < 0:
        raise _unusable('incarnation', report.incarnation, 'at least 0')
    count = None if report.endpoints is None else len(report.endpoints)
    if count is None or count > MAX_ENDPOINTS:
        raise _unusable(
            'number of endpoints', count, f'at most {MAX_ENDPOINTS}'
        )
    return ObservationReport(
        report.host,
        report.incarnation,
        tuple(_decode(report.host, each) for each in report.endpoints),
    )


def _encode(each: observations.Observation) -> ttypes.EndpointObservation:
    cooldown_ms = min(round(each.cooldown_s * MILLI), MAX_MS)
    return ttypes.EndpointObservation(
        each.endpoint,
        min(each.responses, MAX_REQUESTS),
        max(0, min(round(each.mean_s * MICROSECONDS_PER_S), MAX_MEAN_US)),
        min(each.failures, MAX_REQUESTS),
        min(each.in_flight, MAX_REQUESTS),
        cooldown_ms if cooldown_ms > 0 else None,
    )


def _decode(
    host: str, each: ttypes.EndpointObservation
) -> observations.Observation:
    of = f' of host {host}'
    if not each.endpoint:
        raise _unusable('endpoint', each.endpoint, 'an id', of)
    of += f' on endpoint {each.endpoint}'
    _check('responses', each.responses, MAX_REQUESTS, of)
    _check('mean_us', each.mean_us, MAX_MEAN_US, of)
    _check('failures', each.failures, each.responses, of)
    _check('in_flight', each.in_flight, MAX_REQUESTS, of)
    cooldown_ms = 0 if each.cooldown_ms is None else each.cooldown_ms
    _check('cooldown_ms', cooldown_ms, MAX_MS, of)
    return observations.Observation(
        each.endpoint,
        each.responses,
        each.mean_us / MICROSECONDS_PER_S,
        each.failures,
        each.in_flight,
        cooldown_ms / MILLI,
    )


def _check(field: str, value: int | None, most: int, of: str) -> None:
    if value is None or not 0 <= value <= most:
        raise _unusable(field, value, f'0 to {most}', of)


def _unusable(
    field: str, value: object, expected: str, of: str = ''
) -> errors.ProtocolError:
    return errors.ProtocolError(
        f'unusable observation report{of}: {field} is {value!r}, expected '
        f'{expected}'
    )
