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
    'MIN_SUCCESS_SHARE',
    'Disturbance',
    'Evidence',
    'Leaving',
    'Stop',
    'CallerRequest',
    'check',
    'late_requests',
]

#: Statuses that say that a request has not run and will not.
NOT_RUN = frozenset((429, 503))
#: Statuses that no proper request may get.
UNEXPECTED_STATUSES = frozenset((400, 401, 403, 404, 413, 431))
#: What has to be answered once every fault is over, as a share of the tries.
MIN_SUCCESS_SHARE = 0.95
#: What a fault may still do after its end, in seconds: connections that it
#: cut are noticed, hosts that were paused catch up.
RECOVERY_S = 3.0
#: A leaving endpoint gets no new request later than this after the word, in
#: seconds: the settings' drain time and a way through the lab's proxy.
LEAVING_DEADLINE_S = 2.3
#: An endpoint that asked a host to back off gets so many requests of it at
#: most, from so much later to the end of that time.
MAX_REQUESTS_IN_BACKOFF = 2
BACKOFF_REACTION_S = 0.5
#: A caller that left less than this after the endpoint's answer may have kept
#: its host from reading it, in seconds.
ANSWER_READ_S = 0.1
#: Kinds of requests: answered by one body, by a stream, run at most once.
SINGLE_BODY_KINDS = ('safe', 'unsafe', 'slow')
STREAM_KINDS = ('once', 'chat', 'long')
UNREPEATABLE_KINDS = ('unsafe', 'slow')
#: Status of a request that may have run and is given up.
GATEWAY_TIMEOUT = 504
#: Until so much later than SIGTERM callers may not know of other hosts, in
#: seconds.
DIRECTORY_LAG_S = 3.0
#: At the end of a stop what has begun in that time may be given up, as a share
#: of the grace time.
ABORT_WINDOW_SHARE = 1 / 6
#: A connection that has ended after less than this without an answer may have
#: been closed before the request came, in seconds.
CLOSE_RACE_S = 1.0
#: A host may take a request's time to be over so much early, in seconds.
TIMEOUT_TOLERANCE_S = 0.1


@dataclasses.dataclass(slots=True)
class CallerRequest:
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
        return self.ended_s - self.sent_s >= self.wait_s - TIMEOUT_TOLERANCE_S


class Disturbance(NamedTuple):
    """A time in which something may fail.

    :param what: a host, 'endpoints', or 'store'
    :param stopping: the host was informed to stop; it may not lose requests
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
    """A host that was informed to stop.

    :param at_s: when
    :param gone_s: when its process had ended
    :param grace_s: the longest that there may be between the two
    """

    host: str
    at_s: float
    exited_s: float
    grace_s: float

    def overlaps(self, request: CallerRequest) -> bool:
        """Whether a request was at the host meanwhile."""
        return (
            request.host == self.host
            and request.sent_s <= self.exited_s
            and request.ended_s >= self.at_s
        )

    def allows_abort(
        self, request: CallerRequest, runs: list[platformendpoint.Arrival]
    ) -> bool:
        """Whether a request came early and was worked on to the end."""
        last_s = self.at_s + self.grace_s * (1 - ABORT_WINDOW_SHARE)
        early = request.sent_s < self.at_s + DIRECTORY_LAG_S
        return early and any(run.until_s >= last_s for run in runs)


class Evidence(NamedTuple):
    """All that was seen.

    :param calm_s: from here on nothing was disturbed any more
    :param events: of each stream
    :param ended: exit status of nodes that ended by themselves
    :param unstopped: hosts that did not stop in time when informed to
    :param unready: hosts that did not become ready after a start
    :param stops: hosts that were informed to stop
    """

    requests: list[CallerRequest]
    endpoints: list[platformendpoint.EndpointStandIn]
    disturbed: list[Disturbance]
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


def check(evidence: Evidence) -> list[Violation]:
    """Find all broken promises, in order of time."""
    runs = collections.Counter(
        arrival.id.decode()
        for endpoint in evidence.endpoints
        for arrival in endpoint.runs
    )
    found = [
        *_check_answers(evidence),
        *_check_runs(evidence, runs),
        *_check_unanswered(evidence, runs),
        *_check_leaving(evidence),
        *_check_announcements(evidence),
        *_check_stops(evidence),
        *_check_calm(evidence),
        *_check_processes(evidence),
    ]
    return sorted(found, key=lambda violation: violation.at_s)


def _check_answers(evidence: Evidence) -> Iterable[Violation]:
    expected = expected_stream(evidence.events)
    for request in evidence.requests:
        if request.status in UNEXPECTED_STATUSES:
            yield _violation(
                request, 'proper requests pass', f'{request.status}'
            )
        if request.status != 200:
            continue
        if not request.sealed:
            yield _violation(
                request, 'own answers are no success', 'no signature'
            )
        if request.kind in SINGLE_BODY_KINDS:
            expected_body = f'answer to {request.id}'.encode()
            if request.complete and request.body != expected_body:
                yield _violation(
                    request, 'answers are whole', repr(request.body[:80])
                )
        elif request.complete and request.body != expected:
            yield _violation(
                request, 'streams are whole', repr(request.body[-80:])
            )
        elif not expected.startswith(request.body):
            yield _violation(
                request, 'events come once', repr(request.body[-80:])
            )


def _check_runs(
    evidence: Evidence, runs: collections.Counter[str]
) -> Iterable[Violation]:
    sent_ids = {request.id for request in evidence.requests}
    for request in evidence.requests:
        if request.kind not in UNREPEATABLE_KINDS:
            continue
        if runs[request.id] > 1:
            yield _violation(
                request, 'at most once', f'{runs[request.id]} runs'
            )
        if request.status in NOT_RUN and runs[request.id]:
            yield _violation(
                request, '"not run" is true', f'{request.status}, but ran'
            )
    for unsent_id in runs.keys() - sent_ids:
        text = 'ran, and nobody asked'
        yield Violation('only what was asked', 0.0, (unsent_id,), text)


def _check_unanswered(
    evidence: Evidence, runs: collections.Counter[str]
) -> Iterable[Violation]:
    runs_by_id = _runs_by_id(evidence)
    for request in evidence.requests:
        if request.complete:
            continue
        disturbances = _overlapping_disturbances(evidence, request)
        if any(
            e.what == request.host and not e.stopping for e in disturbances
        ):
            continue
        broke = any(e.what == 'endpoints' for e in disturbances)
        if request.kind in STREAM_KINDS and broke:
            continue
        begun = request.kind in STREAM_KINDS and request.status == 200
        if begun and request.kind == 'long' and request.timed_out:
            continue
        if begun and any(
            stop.overlaps(request)
            and stop.allows_abort(request, runs_by_id[request.id])
            for stop in evidence.stops
        ):
            continue
        stops = any(e.what == request.host for e in disturbances)
        if stops and not runs[request.id]:
            # It crossed the close of its connection.
            continue
        yield _violation(
            request, 'each request is answered', f'{request.status}'
        )


def _overlapping_disturbances(
    evidence: Evidence, request: CallerRequest
) -> list[Disturbance]:
    """What was disturbed from shortly before a request to its end."""
    return [
        each
        for each in evidence.disturbed
        if each.from_s <= request.ended_s
        and request.sent_s <= each.to_s + RECOVERY_S
    ]


def _runs_by_id(
    evidence: Evidence,
) -> dict[str, list[platformendpoint.Arrival]]:
    found = collections.defaultdict(list)
    for endpoint in evidence.endpoints:
        for arrival in endpoint.runs:
            found[arrival.id.decode()].append(arrival)
    return found


def _check_stops(evidence: Evidence) -> Iterable[Violation]:
    runs_by_id = _runs_by_id(evidence)
    for stop in evidence.stops:
        for request in filter(stop.overlaps, evidence.requests):
            if request.complete and request.status != GATEWAY_TIMEOUT:
                continue
            runs = runs_by_id[request.id]
            took_s = request.ended_s - request.sent_s
            if not (request.status or runs) and took_s < CLOSE_RACE_S:
                # It crossed the close of its connection.
                continue
            if request.timed_out or stop.allows_abort(request, runs):
                continue
            if any(run.aborted for run in runs):
                continue
            if any(
                each.what == request.host and not each.stopping
                for each in _overlapping_disturbances(evidence, request)
            ):
                continue
            after_s = request.sent_s - stop.at_s
            text = f'{request.status}, sent {after_s:.2f} s after the word'
            yield _violation(
                request, 'stopping hosts end what they take', text
            )


def late_requests(evidence: Evidence) -> list[CallerRequest]:
    """Requests at stopping hosts whose callers could know of others."""
    return [
        request
        for stop in evidence.stops
        for request in filter(stop.overlaps, evidence.requests)
        if request.sent_s >= stop.at_s + DIRECTORY_LAG_S and request.status
    ]


def _check_leaving(evidence: Evidence) -> Iterable[Violation]:
    endpoints = {each.name: each for each in evidence.endpoints}
    for endpoint, at_s in evidence.leaving:
        late_s = at_s + LEAVING_DEADLINE_S
        if any(
            each.what != 'endpoints'
            and each.from_s <= late_s
            and at_s <= each.to_s + RECOVERY_S
            for each in evidence.disturbed
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


def _check_announcements(evidence: Evidence) -> Iterable[Violation]:
    """What endpoints said in answers to a host is kept by that host."""
    requests = {request.id: request for request in evidence.requests}
    for endpoint in evidence.endpoints:
        by_host = collections.defaultdict(list)
        for arrival in endpoint.arrivals:
            if (request := requests.get(arrival.id.decode())) is not None:
                by_host[request.host].append((request, arrival))
        for host, pairs in by_host.items():
            for request, announcing in pairs:
                if request.ended_s < announcing.at_s + ANSWER_READ_S:
                    continue
                yield from _check_announcement(
                    evidence, host, request, announcing, pairs
                )


def _check_announcement(
    evidence: Evidence,
    host: str,
    informed: CallerRequest,
    announcing: platformendpoint.Arrival,
    pairs: list[tuple[CallerRequest, platformendpoint.Arrival]],
) -> Iterable[Violation]:
    """What reached an endpoint in spite of one of its answers.

    :param pairs: all that the host sent it
    """
    if announcing.leaving_announced and announcing.ended and informed.complete:
        late = [
            request.id
            for request, arrival in pairs
            if request.sent_s > informed.ended_s + LEAVING_DEADLINE_S
            and not _was_disturbed(
                evidence, host, announcing.at_s, arrival.at_s
            )
        ]
        if late:
            yield _violation(
                informed, 'hosts keep a leave they heard of', f'{late}'
            )
    if announcing.backoff_s:
        until_s = announcing.at_s + announcing.backoff_s
        within = [
            arrival.id.decode()
            for _, arrival in pairs
            if announcing.at_s + BACKOFF_REACTION_S < arrival.at_s < until_s
        ]
        if len(within) <= MAX_REQUESTS_IN_BACKOFF:
            return
        if not _was_disturbed(evidence, host, announcing.at_s, until_s):
            yield _violation(
                informed, 'hosts back off when asked to', f'{within}'
            )


def _was_disturbed(
    evidence: Evidence, host: str, from_s: float, to_s: float
) -> bool:
    return any(
        each.what == host and each.from_s <= to_s and from_s <= each.to_s
        for each in evidence.disturbed
    )


def _check_calm(evidence: Evidence) -> Iterable[Violation]:
    calm = [
        request
        for request in evidence.requests
        if request.sent_s >= evidence.calm_s
    ]
    failed = [
        request
        for request in calm
        if request.status != 200 or not request.complete
    ]
    if not calm:
        yield Violation('it recovers', evidence.calm_s, (), 'nobody asked')
    elif len(failed) > (1 - MIN_SUCCESS_SHARE) * len(calm):
        ids = tuple(request.id for request in failed)
        text = f'{len(failed)} of {len(calm)} failed after the last fault'
        yield Violation('it recovers', evidence.calm_s, ids, text)


def _check_processes(evidence: Evidence) -> Iterable[Violation]:
    for host, status in evidence.ended.items():
        text = f'exit status {status}'
        yield Violation('no exits of its own', 0.0, (host,), text)
    for host, at_s in evidence.unstopped:
        yield Violation('it stops in time', at_s, (host,), 'had to be killed')
    for host, at_s in evidence.unready:
        yield Violation('it comes back', at_s, (host,), 'not ready in time')


def expected_stream(events: int) -> bytes:
    """What a whole stream of the stand-in carries."""
    return b''.join(
        b'id: %d\ndata: piece %d\n\n' % (number, number)
        for number in range(1, events + 1)
    )


def _violation(request: CallerRequest, promise: str, text: str) -> Violation:
    at = f'{request.kind} at {request.host}'
    return Violation(promise, request.sent_s, (request.id,), f'{at}: {text}')
