"""Checks what callers and endpoints saw of a day on the platform.

Nothing here looks into the nodes: a promise is kept or broken by what
callers got and by what reached the endpoints.
"""

import collections
import dataclasses
from typing import Iterable
from typing import NamedTuple

from magnoliadyke.lab import platformendpoint

__all__ = ['CALM_SHARE', 'Disturbed', 'Evidence', 'Leaving', 'Try', 'check']

#: Statuses that say that a request has not run and will not.
NOT_RUN = frozenset((429, 503))
#: Statuses that no proper request may get.
REJECTED = frozenset((400, 401, 403, 404, 413, 431))
#: What has to be answered once every fault is over, as a share of the tries.
CALM_SHARE = 0.95
#: What a fault may still do after its end, in seconds: connections that it
#: cut are noticed, hosts that were paused catch up.
AFTERMATH_S = 3.0
#: A leaving endpoint gets no new request later than this after the word, in
#: seconds: the settings' drain time and a way through the lab's proxy.
LEAVING_S = 2.3


@dataclasses.dataclass(slots=True)
class Try:
    """One request of a caller, and what became of it.

    :ivar kind: 'safe', 'unsafe', 'once' or 'chat'
    :ivar status: 0 if no head came
    :ivar complete: the answer's end came in order
    """

    id: str
    kind: str
    host: str
    sent_s: float
    ended_s: float = 0.0
    status: int = 0
    sealed: bool = False
    body: bytes = b''
    complete: bool = False


class Disturbed(NamedTuple):
    """A time in which something may fail.

    :param what: a host, 'endpoints', or 'store'
    :param stopping: the host was told to stop; it may not lose requests
    """

    what: str
    from_s: float
    to_s: float
    stopping: bool = False


class Leaving(NamedTuple):
    """An endpoint that said that it leaves."""

    endpoint: str
    at_s: float


class Evidence(NamedTuple):
    """All that was seen.

    :param calm_s: from here on nothing was disturbed any more
    :param events: of each stream
    :param ended: exit status of nodes that ended by themselves
    :param unstopped: hosts that did not stop in time when told to
    :param unready: hosts that did not become ready after a start
    """

    tries: list[Try]
    endpoints: list[platformendpoint.EndpointStandIn]
    disturbed: list[Disturbed]
    leaving: list[Leaving]
    calm_s: float
    events: int
    ended: dict[str, int]
    unstopped: list[tuple[str, float]]
    unready: list[tuple[str, float]]


class Violation(NamedTuple):
    """A promise that was broken.

    :param ids: requests, or what else it is about
    """

    promise: str
    at_s: float
    ids: tuple[str, ...]
    text: str


def check(seen: Evidence) -> list[Violation]:
    """Find all broken promises, in order of time."""
    runs = collections.Counter(
        arrival.id.decode()
        for endpoint in seen.endpoints
        for arrival in endpoint.runs
    )
    found = [
        *_check_answers(seen),
        *_check_runs(seen, runs),
        *_check_unanswered(seen, runs),
        *_check_leaving(seen),
        *_check_calm(seen),
        *_check_processes(seen),
    ]
    return sorted(found, key=lambda violation: violation.at_s)


def _check_answers(seen: Evidence) -> Iterable[Violation]:
    whole = stream(seen.events)
    for one in seen.tries:
        if one.status in REJECTED:
            yield _about(one, 'proper requests pass', f'{one.status}')
        if one.status != 200:
            continue
        if not one.sealed:
            yield _about(one, 'own answers are no success', 'no signature')
        if one.kind in ('safe', 'unsafe'):
            own = f'answer to {one.id}'.encode()
            if one.complete and one.body != own:
                yield _about(one, 'answers are whole', repr(one.body[:80]))
        elif one.complete and one.body != whole:
            yield _about(one, 'streams are whole', repr(one.body[-80:]))
        elif not whole.startswith(one.body):
            yield _about(one, 'events come once', repr(one.body[-80:]))


def _check_runs(
    seen: Evidence, runs: collections.Counter[str]
) -> Iterable[Violation]:
    known = {one.id for one in seen.tries}
    for one in seen.tries:
        if one.kind != 'unsafe':
            continue
        if runs[one.id] > 1:
            yield _about(one, 'at most once', f'{runs[one.id]} runs')
        if one.status in NOT_RUN and runs[one.id]:
            yield _about(one, '"not run" is true', f'{one.status}, but ran')
    for request in runs.keys() - known:
        text = 'ran, and nobody asked'
        yield Violation('only what was asked', 0.0, (request,), text)


def _check_unanswered(
    seen: Evidence, runs: collections.Counter[str]
) -> Iterable[Violation]:
    for one in seen.tries:
        if one.complete:
            continue
        around = [
            each
            for each in seen.disturbed
            if each.from_s <= one.ended_s
            and one.sent_s <= each.to_s + AFTERMATH_S
        ]
        if any(e.what == one.host and not e.stopping for e in around):
            continue
        broke = any(e.what == 'endpoints' for e in around)
        if one.kind in ('once', 'chat') and broke:
            continue
        stops = any(e.what == one.host for e in around)
        if stops and not runs[one.id]:
            # It crossed the close of its connection.
            continue
        yield _about(one, 'each request is answered', f'{one.status}')


def _check_leaving(seen: Evidence) -> Iterable[Violation]:
    endpoints = {each.name: each for each in seen.endpoints}
    for endpoint, at_s in seen.leaving:
        late_s = at_s + LEAVING_S
        if any(
            each.what != 'endpoints'
            and each.from_s <= late_s
            and at_s <= each.to_s + AFTERMATH_S
            for each in seen.disturbed
        ):
            continue
        late = [
            arrival.id.decode()
            for arrival in endpoints[endpoint].runs
            if arrival.at_s > late_s
        ]
        if late:
            yield Violation(
                'leaving endpoints get nothing', late_s, tuple(late), endpoint
            )


def _check_calm(seen: Evidence) -> Iterable[Violation]:
    calm = [one for one in seen.tries if one.sent_s >= seen.calm_s]
    failed = [one for one in calm if one.status != 200 or not one.complete]
    if not calm:
        yield Violation('it recovers', seen.calm_s, (), 'nobody asked')
    elif len(failed) > (1 - CALM_SHARE) * len(calm):
        ids = tuple(one.id for one in failed)
        text = f'{len(failed)} of {len(calm)} failed after the last fault'
        yield Violation('it recovers', seen.calm_s, ids, text)


def _check_processes(seen: Evidence) -> Iterable[Violation]:
    for host, status in seen.ended.items():
        text = f'exit status {status}'
        yield Violation('no exits of its own', 0.0, (host,), text)
    for host, at_s in seen.unstopped:
        yield Violation('it stops in time', at_s, (host,), 'had to be killed')
    for host, at_s in seen.unready:
        yield Violation('it comes back', at_s, (host,), 'not ready in time')


def stream(events: int) -> bytes:
    """What a whole stream of the stand-in carries."""
    return b''.join(
        b'id: %d\ndata: piece %d\n\n' % (number, number)
        for number in range(1, events + 1)
    )


def _about(one: Try, promise: str, text: str) -> Violation:
    at = f'{one.kind} at {one.host}'
    return Violation(promise, one.sent_s, (one.id,), f'{at}: {text}')
