"""Checks what callers and endpoints saw of a day on the platform.

Nothing here looks into the nodes: a promise is kept or broken by what
callers got and by what reached the endpoints.
"""

import collections
import dataclasses
import math
from typing import Iterable
from typing import NamedTuple

from magnoliadyke.lab import platformendpoint

__all__ = [
    'CALM_SHARE',
    'Disturbed',
    'Evidence',
    'Leaving',
    'Stop',
    'Try',
    'check',
    'late',
]

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
#: An endpoint that asked a host to back off gets so many requests of it at
#: most, from so much later to the end of that time.
MOST_IN_BACKOFF = 2
BACKOFF_HEARD_S = 0.5
#: A caller that left less than this after the endpoint's answer may have kept
#: its host from reading it, in seconds.
READ_S = 0.1
#: Kinds of requests: answered by one body, by a stream, run at most once.
PLAIN = ('safe', 'unsafe', 'slow')
STREAMS = ('once', 'chat', 'long')
UNREPEATABLE = ('unsafe', 'slow')
#: Status of a request that may have run and is given up.
GIVEN_UP = 504
#: Until so much later than SIGTERM callers may not know of other hosts, in
#: seconds.
UNHEARD_S = 3.0
#: At the end of a stop what has begun in that time may be given up, as a share
#: of the grace time.
LAST_SHARE = 1 / 6
#: A connection that has ended after less than this without an answer may have
#: been closed before the request came, in seconds.
CROSSING_S = 1.0
#: A host may take a request's time to be over so much early, in seconds.
EARLY_S = 0.1


@dataclasses.dataclass(slots=True)
class Try:
    """One request of a caller, and what became of it.

    :ivar kind: 'safe', 'unsafe', 'slow', 'once', 'chat' or 'long'
    :ivar status: 0 if no head came
    :ivar complete: the answer's end came in order
    :ivar wait_s: its own time
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
    wait_s: float = math.inf

    @property
    def timed_out(self) -> bool:
        """Its own time was over."""
        return self.ended_s - self.sent_s >= self.wait_s - EARLY_S


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


class Stop(NamedTuple):
    """A host that was told to stop.

    :param at_s: when
    :param gone_s: when its process had ended
    :param grace_s: the longest that there may be between the two
    """

    host: str
    at_s: float
    gone_s: float
    grace_s: float

    def met(self, one: Try) -> bool:
        """Whether a request was at the host meanwhile."""
        return (
            one.host == self.host
            and one.sent_s <= self.gone_s
            and one.ended_s >= self.at_s
        )

    def excuses(self, one: Try, runs: list[platformendpoint.Arrival]) -> bool:
        """Whether a request came early and was worked on to the end."""
        last_s = self.at_s + self.grace_s * (1 - LAST_SHARE)
        early = one.sent_s < self.at_s + UNHEARD_S
        return early and any(run.until_s >= last_s for run in runs)


class Evidence(NamedTuple):
    """All that was seen.

    :param calm_s: from here on nothing was disturbed any more
    :param events: of each stream
    :param ended: exit status of nodes that ended by themselves
    :param unstopped: hosts that did not stop in time when told to
    :param unready: hosts that did not become ready after a start
    :param stops: hosts that were told to stop
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
    stops: list[Stop]


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
        *_check_words(seen),
        *_check_stops(seen),
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
        if one.kind in PLAIN:
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
        if one.kind not in UNREPEATABLE:
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
    at_work = _runs_by_id(seen)
    for one in seen.tries:
        if one.complete:
            continue
        around = _around(seen, one)
        if any(e.what == one.host and not e.stopping for e in around):
            continue
        broke = any(e.what == 'endpoints' for e in around)
        if one.kind in STREAMS and broke:
            continue
        begun = one.kind in STREAMS and one.status == 200
        if begun and one.kind == 'long' and one.timed_out:
            continue
        if begun and any(
            stop.met(one) and stop.excuses(one, at_work[one.id])
            for stop in seen.stops
        ):
            continue
        stops = any(e.what == one.host for e in around)
        if stops and not runs[one.id]:
            # It crossed the close of its connection.
            continue
        yield _about(one, 'each request is answered', f'{one.status}')


def _around(seen: Evidence, one: Try) -> list[Disturbed]:
    """What was disturbed from shortly before a request to its end."""
    return [
        each
        for each in seen.disturbed
        if each.from_s <= one.ended_s and one.sent_s <= each.to_s + AFTERMATH_S
    ]


def _runs_by_id(
    seen: Evidence,
) -> dict[str, list[platformendpoint.Arrival]]:
    found = collections.defaultdict(list)
    for endpoint in seen.endpoints:
        for arrival in endpoint.runs:
            found[arrival.id.decode()].append(arrival)
    return found


def _check_stops(seen: Evidence) -> Iterable[Violation]:
    at_work = _runs_by_id(seen)
    for stop in seen.stops:
        for one in filter(stop.met, seen.tries):
            if one.complete and one.status != GIVEN_UP:
                continue
            runs = at_work[one.id]
            took_s = one.ended_s - one.sent_s
            if not (one.status or runs) and took_s < CROSSING_S:
                # It crossed the close of its connection.
                continue
            if one.timed_out or stop.excuses(one, runs):
                continue
            if any(run.broke for run in runs):
                continue
            if any(
                each.what == one.host and not each.stopping
                for each in _around(seen, one)
            ):
                continue
            after_s = one.sent_s - stop.at_s
            text = f'{one.status}, sent {after_s:.2f} s after the word'
            yield _about(one, 'stopping hosts end what they take', text)


def late(seen: Evidence) -> list[Try]:
    """Requests at stopping hosts whose callers could know of others."""
    return [
        one
        for stop in seen.stops
        for one in filter(stop.met, seen.tries)
        if one.sent_s >= stop.at_s + UNHEARD_S and one.status
    ]


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


def _check_words(seen: Evidence) -> Iterable[Violation]:
    """What endpoints said in answers to a host is kept by that host."""
    tries = {one.id: one for one in seen.tries}
    for endpoint in seen.endpoints:
        by_host = collections.defaultdict(list)
        for arrival in endpoint.arrivals:
            if (one := tries.get(arrival.id.decode())) is not None:
                by_host[one.host].append((one, arrival))
        for host, pairs in by_host.items():
            for one, said in pairs:
                if one.ended_s < said.at_s + READ_S:
                    continue
                yield from _check_word(seen, host, one, said, pairs)


def _check_word(
    seen: Evidence,
    host: str,
    told: Try,
    said: platformendpoint.Arrival,
    pairs: list[tuple[Try, platformendpoint.Arrival]],
) -> Iterable[Violation]:
    """What reached an endpoint in spite of one of its answers.

    :param pairs: all that the host sent it
    """
    if said.said_leaving and said.ended and told.complete:
        late = [
            one.id
            for one, arrival in pairs
            if one.sent_s > told.ended_s + LEAVING_S
            and not _was_disturbed(seen, host, said.at_s, arrival.at_s)
        ]
        if late:
            yield _about(told, 'hosts keep a leave they heard of', f'{late}')
    if said.backoff_s:
        until_s = said.at_s + said.backoff_s
        within = [
            arrival.id.decode()
            for _, arrival in pairs
            if said.at_s + BACKOFF_HEARD_S < arrival.at_s < until_s
        ]
        if len(within) <= MOST_IN_BACKOFF:
            return
        if not _was_disturbed(seen, host, said.at_s, until_s):
            yield _about(told, 'hosts back off when asked to', f'{within}')


def _was_disturbed(
    seen: Evidence, host: str, from_s: float, to_s: float
) -> bool:
    return any(
        each.what == host and each.from_s <= to_s and from_s <= each.to_s
        for each in seen.disturbed
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
