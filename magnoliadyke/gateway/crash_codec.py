"""Messages between hosts about crashes and what they have in common."""

from typing import NamedTuple

from magnoliadyke.core import crashcauses
from magnoliadyke import errors
from magnoliadyke.wire.placement import ttypes

__all__ = ['CauseStates', 'CrashReport', 'Message', 'decode', 'encode']

MICRO = 1_000_000
#: Largest duration that fits a 32-bit field, in microseconds.
MAX_US = 2**31 - 1

#: First byte of an encoded cause.
PART = b'p'
CONTENT = b'c'


class CrashReport(NamedTuple):
    """Runs of a host that an endpoint broke off, as in a crash.

    :param software: service and software version of the endpoint
    :param endpoint: id of the endpoint process
    :param ago_s: time since then, in seconds
    :param answered: number of requests that endpoints of this software have
        answered this host completely since its last report
    :param causes: digests of what the requests consist of, each with the time
        from when the last run with it was sent until then, in seconds
    """

    software: str
    endpoint: str
    ago_s: float
    answered: int
    causes: tuple[tuple[crashcauses.Cause, float], ...]


class CauseStates(NamedTuple):
    """What a host knows of causes.

    :param states: all moments in them are relative to when the message was
        sent, in seconds; those before are negative
    """

    states: tuple[crashcauses.CauseState, ...]


Message = CrashReport | CauseStates


def encode(message: Message, datagram: ttypes.Datagram) -> None:
    """Set the field of a datagram that holds a message of this kind."""
    match message:
        case CrashReport(software, endpoint, ago_s, answered, causes):
            datagram.crash_report = ttypes.CrashReport(
                software,
                endpoint,
                _to_us(ago_s),
                answered,
                [
                    ttypes.BrokenCause(_encode_cause(cause), _to_us(ran_s))
                    for cause, ran_s in causes
                ],
            )
        case CauseStates(states):
            datagram.cause_states = ttypes.CauseStates(
                [_encode_state(each) for each in states]
            )


def decode(datagram: ttypes.Datagram) -> Message | None:
    """Return the message in a datagram, None if it is of another kind."""
    if datagram.crash_report is not None:
        report = datagram.crash_report
        return CrashReport(
            report.software,
            report.endpoint,
            report.ago_us / MICRO,
            max(0, report.answered),
            tuple(
                (_decode_cause(each.cause), each.ran_us / MICRO)
                for each in report.causes
            ),
        )
    if datagram.cause_states is not None:
        return CauseStates(
            tuple(_decode_state(each) for each in datagram.cause_states.causes)
        )
    return None


def _encode_state(state: crashcauses.CauseState) -> ttypes.CauseState:
    return ttypes.CauseState(
        _encode_cause(state.cause),
        [
            ttypes.Crash(
                endpoint,
                crash.software,
                _to_us(-crash.at_s),
                _to_us(crash.at_s - crash.sent_s),
            )
            for endpoint, crash in state.crashes.items()
        ],
        [
            ttypes.CauseAnswered(software, _to_us(-at_s))
            for software, at_s in state.answers.items()
        ],
        state.trials or None,
        _to_us(-state.tried_s) if state.trials else None,
        state.is_barred or None,
    )


def _decode_state(state: ttypes.CauseState) -> crashcauses.CauseState:
    crashes = {
        each.endpoint: crashcauses.Crash(
            -each.ago_us / MICRO,
            each.software,
            -(each.ago_us + each.ran_us) / MICRO,
        )
        for each in state.crashes
    }
    answers = {each.software: -each.ago_us / MICRO for each in state.answers}
    tried_s = crashcauses.NEVER_S
    if state.tried_us is not None:
        tried_s = -state.tried_us / MICRO
    return crashcauses.CauseState(
        _decode_cause(state.cause),
        crashes,
        answers,
        max(0, state.trials or 0),
        tried_s,
        bool(state.barred),
    )


def _encode_cause(cause: crashcauses.Cause) -> bytes:
    return (PART if cause.is_part else CONTENT) + cause.digest


def _decode_cause(data: bytes) -> crashcauses.Cause:
    if data[:1] not in (PART, CONTENT):
        raise errors.ProtocolError(
            f'cause: expected a digest of a part or a content, got {data!r}'
        )
    return crashcauses.Cause(data[:1] == PART, data[1:])


def _to_us(seconds: float) -> int:
    return max(0, min(MAX_US, round(seconds * MICRO)))
