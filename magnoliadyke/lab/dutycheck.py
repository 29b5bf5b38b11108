"""Checks calls to the platform that only one host at a time may make."""

from collections.abc import Iterable
from typing import NamedTuple

from magnoliadyke.lab import platformcloud

__all__ = ['THAW_S', 'Breach', 'Interval', 'breaches', 'unreported']

#: A call that arrives within this time after its sender was disturbed may be
#: late, in seconds.
THAW_S = 0.3


class Interval(NamedTuple):
    """A time in which a host was suspended, cut off or killed.

    :param from_s: begin, in monotonic seconds
    :param to_s: end, in monotonic seconds
    """

    host: str
    from_s: float
    to_s: float


class Breach(NamedTuple):
    """A call that breaks a rule, or contradicts an earlier one."""

    rule: str
    call: platformcloud.Call
    text: str


def breaches(
    calls: Iterable[platformcloud.Call],
    disturbed: list[Interval],
    lease_s: float,
) -> Iterable[Breach]:
    """Judge calls in the order in which the platform accepted them.

    :param lease_s: time in which orders of two holders may not alternate, in
        seconds
    """
    reported: dict[int, dict[str, int]] = {}
    latest: dict[str, platformcloud.Call] = {}
    ended: dict[tuple[str, str], float] = {}
    for call in calls:
        if call.path == '/usage':
            window, counts = call.body['window_id'], call.body['counts']
            if reported.setdefault(window, counts) != counts:
                text = f'{window}: {reported[window]}, then {counts}'
                yield Breach('a window has one report', call, text)
        if _is_late(call, disturbed):
            continue
        before = latest.get(call.subject, call)
        if call.fencing < before.fencing:
            text = f'{call.fencing} after {before.fencing}'
            yield Breach('fencing tokens do not fall', call, text)
        elif before.holder != call.holder:
            if call.fencing == before.fencing:
                text = f'{before.holder} and {call.holder}'
                yield Breach('a token has one holder', call, text)
            ended[call.subject, before.holder] = before.at_s
            since_s = call.at_s - ended.get(
                (call.subject, call.holder), float('-inf')
            )
            if since_s < lease_s:
                text = f'{call.holder} again after {since_s:.3f} s'
                yield Breach('holders do not alternate', call, text)
        latest[call.subject] = call


def unreported(calls: Iterable[platformcloud.Call]) -> list[int]:
    """Windows without a report, between the first and the last that have."""
    windows = {
        call.body['window_id'] for call in calls if call.path == '/usage'
    }
    if not windows:
        return []
    return sorted({*range(min(windows), max(windows))} - windows)


def _is_late(call: platformcloud.Call, disturbed: list[Interval]) -> bool:
    return any(
        each.host == call.holder
        and each.from_s <= call.at_s <= each.to_s + THAW_S
        for each in disturbed
    )
