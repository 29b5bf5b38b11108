"""Checks the promises of the system on the evidence of a run.

The state of the nodes is not used: the promises are about the answers that
callers received and the requests that reached the endpoints.
"""

import collections
import dataclasses
import itertools
import math
import re
from typing import Iterable
from typing import NamedTuple

from magnoliadyke.core import answerend
from magnoliadyke.lab import dutycheck
from magnoliadyke.lab import platformcloud
from magnoliadyke.lab import platformendpoint
from magnoliadyke.lab import platformfleet
from magnoliadyke.lab import platformmix

__all__ = [
    'MIN_SUCCESS_SHARE',
    'CallerRequest',
    'Disturbance',
    'Evidence',
    'Leaving',
    'Limit',
    'Stop',
    'check',
    'engines_crashed',
    'late_requests',
    'limit_use',
]

#: Statuses that promise that a request was not and will not be executed.
NOT_RUN = frozenset((429, 503))
#: Statuses that no valid request may get.
UNEXPECTED_STATUSES = frozenset((400, 401, 403, 404, 413, 431))
#: Least share of the requests of the final check that has to succeed.
MIN_SUCCESS_SHARE = 0.95
#: Time after the end of a fault in which it may still have effects, in
#: seconds: hosts detect that connections were cut, and suspended hosts
#: process what has arrived meanwhile.
RECOVERY_S = 3.0
#: Time after the announcement that an endpoint leaves, from which it may get
#: no new request, in seconds: the drain time of the settings, and the delay
#: of the lab's proxy.
LEAVING_DEADLINE_S = 2.3
#: Most requests that a host may send an endpoint during a backoff that it
#: asked for, not counting those that arrive within the following time of the
#: answer that asked for it, in seconds.
MAX_REQUESTS_IN_BACKOFF = 2
BACKOFF_REACTION_S = 0.5
#: Time from an endpoint's first answer with a rate limit until the limit has
#: to be kept, in seconds, and the window in which requests are counted.
LIMIT_REACTION_S = 3.0
LIMIT_WINDOW_S = 4.0
#: Requests allowed in a window: as a multiple of the limit, and besides that.
LIMIT_FACTOR = 1.5
LIMIT_EXTRA = 5
#: If a request ended less than this time after it reached the endpoint, its
#: host may not have read the endpoint's answer, in seconds.
ANSWER_READ_S = 0.1
#: Time from the start of a host's cut from endpoints until its callers have to
#: be served like those of others, in seconds; the share of the others' rate
#: of success that they get at least; and the number of their requests from
#: which that is judged.
PATH_REACTION_S = 3.0
PATH_SERVED_SHARE = 2 / 3
PATH_REQUESTS = 10
#: Engines that a part of prompts may crash, and requests with it that may then
#: reach engines later than :data:`RECOVERY_S`.
CRASHES_ALLOWED = 5
LATE_ARRIVALS_ALLOWED = 3
#: Kinds of requests: answered by a body, by a stream, executed at most once.
SINGLE_BODY_KINDS = ('safe', 'unsafe', 'slow')
STREAM_KINDS = (
    'once',
    'chat',
    'long',
    platformmix.BACKED_KIND,
    platformmix.SPLIT_KIND,
)
RESUMABLE_KINDS = ('chat', 'long')
EVENT_END = b'\n\n'
#: Line of an event that names the software version that wrote it.
VERSION_LINE = re.compile(rb'^: (\w+)\n', re.MULTILINE)
#: Such a line that was cut off at the end of what a caller received.
VERSION_CUT = re.compile(rb'(?<=\n):[^\n]*\Z')
#: Number of streams that callers take up from which it is judged whether they
#: go on, and their share of success relative to that of new streams.
TAKEN_UP_STREAMS = 12
TAKEN_UP_SHARE = 0.5
#: Number of streams with backups that lose their engine from which it is
#: judged whether they go on, and the share of them that has to.
BROKEN_BACKED_STREAMS = 8
BROKEN_BACKED_SHARE = 0.5
#: Requests of a workspace after the last fault from which it is judged whether
#: it is served, and the least share served, relative to that of all requests.
WORKSPACE_REQUESTS = 10
WORKSPACE_SHARE = 0.25
#: Least share of the largest tenth of the prompts of a kind that is served,
#: and of the fifth below it, relative to that of the whole kind; and how many
#: of them would have to be served, were all sizes alike, to be judged.
SIZE_SHARE = 0.5
SIZE_EXPECTED = 20
UNREPEATABLE_KINDS = ('unsafe', 'slow')
#: Kinds of streams that may not run at two engines at once.
SINGLE_RUN_STREAMS = (
    'once',
    platformmix.BACKED_KIND,
    platformmix.SPLIT_KIND,
)
#: Status of a request that timed out and may have been executed.
GATEWAY_TIMEOUT = 504
#: Time after SIGTERM until which callers may still have an answer of the
#: directory from before it, in seconds.
DIRECTORY_LAG_S = 3.0
#: Share of the grace period of a stop, at its end, in which a host may abort
#: requests that it still executes.
ABORT_WINDOW_SHARE = 1 / 6
#: A host may have closed a connection before a request on it arrived if the
#: request ended without an answer in less than this time, in seconds.
CLOSE_RACE_S = 1.0
#: Time in which connections are ended that end at one moment, in seconds: a
#: host takes ten milliseconds, and the proxy comes before it.
SAME_MOMENT_S = 0.03
#: Most memory of a node's process, in KiB.
MAX_MEMORY_KIB = 300 * 1024
#: Time by which a host may end a request before its deadline, in seconds.
TIMEOUT_TOLERANCE_S = 0.1


@dataclasses.dataclass(slots=True)
class CallerRequest:
    """One request of a caller, and its answer.

    :ivar kind: 'safe', 'unsafe', 'slow', 'once', 'chat', 'long', 'backed' or
        'split'
    :ivar host: host that it was sent to
    :ivar sent_s: monotonic seconds at which it was sent
    :ivar ended_s: monotonic seconds at which the answer or the connection
        ended
    :ivar status: 0 if no head of an answer was received
    :ivar sealed: the answer has the signature of an endpoint
    :ivar body: received bytes of the answer's body
    :ivar complete: the answer was received up to its proper end
    :ivar wait_s: time until its deadline, in seconds
    :ivar prompt: headers of its prompt, empty until it was sent
    :ivar resumes: id of the request that began the stream that this one takes
        up, empty if it takes none up
    :ivar after: number of the events of that stream that were received before
    :ivar is_crashing: it has a part that crashes engines, and is not judged by
        its answer
    :ivar workspace: workspace whose key it has, empty for none
    :ivar upload_bytes: least size of its body
    :ivar invalid: why what came is no HTTP, empty if it is
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
    prompt: tuple[str, ...] = ()
    resumes: str = ''
    after: int = 0
    is_crashing: bool = False
    workspace: str = ''
    upload_bytes: int = 0
    invalid: str = ''

    @property
    def prompt_tokens(self) -> int:
        """Length of its prompt in tokens, 0 without one."""
        for line in self.prompt:
            name, _, value = line.partition(': ')
            if name == 'X-Token-Counts':
                return int(value.partition(',')[0])
        return 0

    @property
    def timed_out(self) -> bool:
        """Whether it ended at its deadline or later."""
        return self.ended_s - self.sent_s >= self.wait_s - TIMEOUT_TOLERANCE_S


class Disturbance(NamedTuple):
    """A time in which requests may fail because of a fault.

    :param what: the disturbed host, 'endpoints', or 'store'
    :param from_s: begin, in monotonic seconds
    :param to_s: end, in monotonic seconds; infinite while it lasts
    :param stopping: the host is stopped gracefully; it may not lose requests
    """

    what: str
    from_s: float
    to_s: float
    stopping: bool = False


class Leaving(NamedTuple):
    """Announcement in an endpoint's entry that the endpoint leaves.

    :param endpoint: name of the endpoint
    :param at_s: monotonic seconds of the announcement
    """

    endpoint: str
    at_s: float


class Limit(NamedTuple):
    """A rate limit that an endpoint named in its answers.

    :param endpoint: name of the endpoint
    :param rate_s: requests per second from all hosts
    :param from_s: when it began to name it, in monotonic seconds
    :param to_s: when it ceased to
    """

    endpoint: str
    rate_s: float
    from_s: float
    to_s: float


class PathCut(NamedTuple):
    """A time in which a host could not reach endpoints that others reached.

    :param from_s: begin, in monotonic seconds
    :param to_s: end, in monotonic seconds
    """

    host: str
    from_s: float
    to_s: float


class Stop(NamedTuple):
    """Graceful stop of a host.

    :param at_s: monotonic seconds of the SIGTERM
    :param exited_s: monotonic seconds at which the process had ended
    :param grace_s: grace period, after which the process is killed
    """

    host: str
    at_s: float
    exited_s: float
    grace_s: float

    def overlaps(self, request: CallerRequest) -> bool:
        """Whether a request to the host was open during the stop."""
        return (
            request.host == self.host
            and request.sent_s <= self.exited_s
            and request.ended_s >= self.at_s
        )

    def allows_abort(
        self, request: CallerRequest, runs: list[platformendpoint.Arrival]
    ) -> bool:
        """Whether the host may abort a request at the end of the stop.

        It may if callers may not have learned of the stop when the request
        was sent, and if the request was still executed near the end of the
        grace period.

        :param runs: executions of the request
        """
        last_s = self.at_s + self.grace_s * (1 - ABORT_WINDOW_SHARE)
        early = request.sent_s < self.at_s + DIRECTORY_LAG_S
        return early and any(run.until_s >= last_s for run in runs)


class Evidence(NamedTuple):
    """Records of a run, on which the promises are checked.

    :param requests: requests of all callers
    :param endpoints: endpoints of the whole run, with what reached them
    :param disturbed: times in which requests may fail
    :param leaving: announcements of endpoints in their entries
    :param calm_s: start of the final check, in monotonic seconds
    :param events: number of events of each stream
    :param ended: exit status of nodes that ended by themselves, by host
    :param unstopped: hosts that had to be killed, and when their stop began
    :param unready: hosts that did not become ready, and when they started
    :param stops: graceful stops of hosts
    :param limits: rate limits of endpoints
    :param path_cuts: cuts between hosts and endpoints
    :param hosts: names of the hosts by IP address
    :param crashing_parts: parts of prompts that crash engines
    :param errors: log lines of hosts' own errors, each with its host
    :param memory_kib: most memory of a process of each host, in KiB
    :param calls: calls that the platform accepted, in order
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
    limits: list[Limit]
    path_cuts: list[PathCut] = []
    hosts: dict[str, str] = {}
    crashing_parts: list[int] = []
    errors: list[tuple[str, str]] = []
    memory_kib: dict[str, int] = {}
    calls: list[platformcloud.Call] = []


class Violation(NamedTuple):
    """A broken promise.

    :param at_s: monotonic seconds, 0 if unknown
    :param ids: ids of the requests, or names of the hosts, in question
    :param text: details
    """

    promise: str
    at_s: float
    ids: tuple[str, ...]
    text: str


def check(evidence: Evidence) -> list[Violation]:
    """All violations, in order of time."""
    runs = collections.Counter(
        arrival.id.decode()
        for endpoint in evidence.endpoints
        for arrival in endpoint.runs
    )
    found = [
        *_check_runs(evidence, runs),
        *_check_overlaps(evidence),
        *_check_crashing_parts(evidence),
    ]
    evidence = evidence._replace(
        requests=[each for each in evidence.requests if not each.is_crashing]
    )
    found += [
        *_check_answers(evidence),
        *_check_unanswered(evidence, runs),
        *_check_leaving(evidence),
        *_check_announcements(evidence),
        *_check_limits(evidence),
        *_check_path_cuts(evidence),
        *_check_stops(evidence),
        *_check_versions(evidence),
        *_check_taken_up(evidence),
        *_check_broken_backed(evidence),
        *_check_workspaces(evidence),
        *_check_sizes(evidence),
        *_check_calm(evidence),
        *_check_processes(evidence),
        *_check_calls(evidence),
    ]
    return sorted(found, key=lambda violation: violation.at_s)


def _check_answers(evidence: Evidence) -> Iterable[Violation]:
    runs_by_id = _runs_by_id(evidence)
    for request in evidence.requests:
        runs = runs_by_id[request.id]
        expected = expected_stream(evidence.events, request.after)
        body = VERSION_LINE.sub(b'', request.body)
        if request.status in UNEXPECTED_STATUSES:
            yield _violation(
                request, 'valid requests are accepted', f'{request.status}'
            )
        if request.invalid or not _has_meaning(request.status):
            yield _violation(
                request,
                'hosts answer in HTTP',
                f'{request.status} {request.invalid}',
            )
        if request.status != 200:
            continue
        if not request.sealed:
            yield _violation(
                request, 'only endpoints answer with success', 'no signature'
            )
        if request.kind in SINGLE_BODY_KINDS:
            expected_body = f'answer to {request.id}'.encode()
            may_end = request.body and any(e.closed_alone for e in runs)
            if may_end and expected_body.startswith(request.body):
                continue
            if request.complete and request.body != expected_body:
                yield _violation(
                    request, 'answers are whole', repr(request.body[:80])
                )
            if request.complete and runs and all(e.aborted for e in runs):
                yield _violation(
                    request, 'successes are given whole', 'none was'
                )
        elif request.complete and body != expected:
            if expected.startswith(body) and _may_end_early(
                evidence, request, runs
            ):
                continue
            yield _violation(
                request, 'streams are whole', repr(request.body[-80:])
            )
        elif not expected.startswith(VERSION_CUT.sub(b'', body)):
            yield _violation(
                request,
                'each event is delivered once',
                repr(request.body[-80:]),
            )


def _has_meaning(status: int) -> bool:
    """Whether a status, 0 for none, may come with an answer here."""
    return not status or (200 <= status <= 599 and status != 204)


def _may_end_early(
    evidence: Evidence,
    request: CallerRequest,
    runs: list[platformendpoint.Arrival],
) -> bool:
    """Whether nothing tells that a stream was broken off.

    One that may be resumed is asked for at another engine, once, if two
    engines serve.
    """
    may_not_ask = (
        request.kind in SINGLE_RUN_STREAMS
        or len(runs) > 1
        or not _serve(evidence, _versions(request), request.ended_s)
    )
    return (
        may_not_ask
        and any(run.closed_alone for run in runs)
        and request.body.endswith(EVENT_END)
    )


def _check_runs(
    evidence: Evidence, runs: collections.Counter[str]
) -> Iterable[Violation]:
    sent_ids = {request.id for request in evidence.requests}
    for request in evidence.requests:
        if request.kind not in UNREPEATABLE_KINDS + SINGLE_RUN_STREAMS:
            continue
        if request.kind in UNREPEATABLE_KINDS and runs[request.id] > 1:
            yield _violation(
                request, 'at most once', f'{runs[request.id]} runs'
            )
        if request.status in NOT_RUN and runs[request.id]:
            yield _violation(
                request, '"not run" is true', f'{request.status}, but ran'
            )
    for unsent_id in runs.keys() - sent_ids:
        text = 'executed, but no caller sent it'
        yield Violation(
            'only requests of callers are executed', 0.0, (unsent_id,), text
        )


def _check_crashing_parts(evidence: Evidence) -> Iterable[Violation]:
    """Check that requests that crash engines are stopped in time.

    Hosts that were disturbed lately need not know of the crashes.
    """
    for part in evidence.crashing_parts:
        arrivals = _arrivals_with_part(evidence, part)
        crashed_s = [each.at_s for each in arrivals if each.crashed]
        if len(crashed_s) < CRASHES_ALLOWED:
            continue
        since_s = crashed_s[CRASHES_ALLOWED - 1] + RECOVERY_S
        late = [
            each
            for each in arrivals
            if each.reached_s > since_s
            and not _was_disturbed(
                evidence,
                evidence.hosts.get(each.sender, ''),
                each.reached_s - RECOVERY_S,
                each.reached_s,
            )
        ]
        if len(late) > LATE_ARRIVALS_ALLOWED:
            yield Violation(
                'a part that crashes engines is stopped',
                since_s,
                tuple(each.id.decode() for each in late),
                f'{len(late)} requests with part {part:x} reached engines '
                f'after {CRASHES_ALLOWED} had crashed, '
                f'{LATE_ARRIVALS_ALLOWED} are allowed',
            )


def engines_crashed(evidence: Evidence) -> dict[int, int]:
    """Number of engines that each part of prompts has crashed."""
    return {
        part: sum(each.crashed for each in _arrivals_with_part(evidence, part))
        for part in evidence.crashing_parts
    }


def _arrivals_with_part(
    evidence: Evidence, part: int
) -> list[platformendpoint.Arrival]:
    """Requests with a part that reached engines, in order of time."""
    found = [
        arrival
        for endpoint in evidence.endpoints
        for arrival in endpoint.arrivals
        if part in arrival.shared_parts
    ]
    return sorted(found, key=lambda arrival: arrival.at_s)


def _check_unanswered(
    evidence: Evidence, runs: collections.Counter[str]
) -> Iterable[Violation]:
    runs_by_id = _runs_by_id(evidence)
    for request in evidence.requests:
        if request.complete:
            continue
        disturbances = _overlapping_disturbances(evidence, request)
        if any(_disturbs_host(evidence, request, e) for e in disturbances):
            continue
        broke = any(e.what == 'endpoints' for e in disturbances)
        own_runs = runs_by_id[request.id]
        if (
            request.kind in STREAM_KINDS
            and broke
            and not _endpoints_were_sound(evidence, request, own_runs)
        ):
            continue
        begun = request.kind in STREAM_KINDS and request.status == 200
        if begun and request.kind == 'long' and request.timed_out:
            continue
        if begun and any(
            stop.overlaps(request) and stop.allows_abort(request, own_runs)
            for stop in evidence.stops
        ):
            continue
        stops = any(e.what == request.host for e in disturbances)
        if stops and not runs[request.id]:
            # The host closed the connection before the request arrived.
            continue
        yield _violation(
            request, 'each request is answered', f'{request.status}'
        )


def _endpoints_were_sound(
    evidence: Evidence,
    request: CallerRequest,
    runs: list[platformendpoint.Arrival],
) -> bool:
    """Whether only hosts in touch can have ended an answer too early.

    An endpoint that is silent for a time is sound.

    :param runs: executions of the request
    """
    senders = {evidence.hosts.get(run.sender, '') for run in runs}
    return (
        bool(runs)
        and not any(run.aborted or run.killed for run in runs)
        and not _ended_beside_breaks(evidence, request, runs)
        and not request.timed_out
        and not _lost_touch(evidence, request, senders | {request.host})
    )


def _ended_beside_breaks(
    evidence: Evidence,
    request: CallerRequest,
    runs: list[platformendpoint.Arrival],
) -> bool:
    """Whether nothing tells the end of a stream that runs once from a break.

    It has no frame, and its endpoint has ended other answers to the host at
    that moment.
    """
    ends = [
        (run.sender, run.until_s)
        for run in runs
        if run.framing is answerend.Framing.CLOSE
    ]
    return request.kind in SINGLE_RUN_STREAMS and any(
        other.aborted
        and other.sender == sender
        and abs(other.until_s - until_s) < SAME_MOMENT_S
        for sender, until_s in ends
        for endpoint in evidence.endpoints
        if any(run in endpoint.arrivals for run in runs)
        for other in endpoint.runs
    )


def _lost_touch(
    evidence: Evidence, request: CallerRequest, hosts: set[str]
) -> bool:
    """Whether a host was disturbed, other than by a stop, or cut off."""
    return any(
        each.what in hosts and not each.stopping
        for each in _overlapping_disturbances(evidence, request)
    ) or any(
        cut.host in hosts
        and cut.from_s <= request.ended_s
        and request.sent_s <= cut.to_s + RECOVERY_S
        for cut in evidence.path_cuts
    )


def _overlapping_disturbances(
    evidence: Evidence, request: CallerRequest
) -> list[Disturbance]:
    """Disturbances whose effects may reach into the time of a request."""
    return [
        each
        for each in evidence.disturbed
        if each.from_s <= request.ended_s
        and request.sent_s <= each.to_s + RECOVERY_S
    ]


def _disturbs_host(
    evidence: Evidence, request: CallerRequest, disturbance: Disturbance
) -> bool:
    """Whether a host that served the request was disturbed, not stopped.

    A host that was cut off from endpoints may have passed it on to any other.
    """
    if disturbance.stopping or disturbance.what in ('endpoints', 'store'):
        return False
    return disturbance.what == request.host or any(
        cut.host == request.host
        and cut.from_s <= request.ended_s
        and request.sent_s <= cut.to_s + RECOVERY_S
        for cut in evidence.path_cuts
    )


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
                # The host closed the connection before the request arrived.
                continue
            if request.timed_out or stop.allows_abort(request, runs):
                continue
            if any(run.aborted for run in runs):
                continue
            if any(
                _disturbs_host(evidence, request, each)
                for each in _overlapping_disturbances(evidence, request)
            ):
                continue
            after_s = request.sent_s - stop.at_s
            text = f'{request.status}, sent {after_s:.2f} s after SIGTERM'
            yield _violation(
                request, 'stopping hosts end what they take', text
            )


def late_requests(evidence: Evidence) -> list[CallerRequest]:
    """Requests that stopping hosts answered, sent after the directory's lag.

    Their callers could have learned from the directory that the host stops.
    """
    return [
        request
        for stop in evidence.stops
        for request in filter(stop.overlaps, evidence.requests)
        if request.sent_s >= stop.at_s + DIRECTORY_LAG_S and request.status
    ]


def _check_leaving(evidence: Evidence) -> Iterable[Violation]:
    """Endpoints that leave get no late request from a host in touch.

    Nor from another one if no host was disturbed as the endpoint left.
    """
    for name, at_s in evidence.leaving:
        late_s = at_s + LEAVING_DEADLINE_S
        all_in_touch = not any(
            each.what != 'endpoints'
            and each.from_s <= late_s
            and at_s <= each.to_s + RECOVERY_S
            for each in evidence.disturbed
        )
        store_was_stable = not _was_disturbed(
            evidence, 'store', at_s - RECOVERY_S, at_s
        )
        late = [
            arrival
            for arrival in _arrivals_at(evidence, name, at_s)
            if arrival.reached_s > late_s
            and (
                all_in_touch
                or store_was_stable
                and _came_from_hosts_in_touch(evidence, arrival)
            )
        ]
        if late:
            after_s = max(each.reached_s for each in late) - at_s
            yield Violation(
                'leaving endpoints get no new requests',
                late_s,
                tuple(each.id.decode() for each in late),
                f'{name}, the last one {after_s:.2f} s after it left',
            )


def _arrivals_at(
    evidence: Evidence, name: str, at_s: float
) -> list[platformendpoint.Arrival]:
    """Requests that reached the process that had a name at a moment.

    Probes and requests that were meant for another endpoint are left out.
    """
    return [
        arrival
        for endpoint in evidence.endpoints
        if endpoint.name == name and endpoint.from_s <= at_s < endpoint.gone_s
        for arrival in endpoint.arrivals
        if arrival.id and not arrival.misdirected
    ]


def _came_from_hosts_in_touch(
    evidence: Evidence, arrival: platformendpoint.Arrival
) -> bool:
    """Whether neither its hosts nor the store were disturbed lately."""
    asked = {request.id: request.host for request in evidence.requests}
    sender = evidence.hosts.get(arrival.sender, '')
    return not any(
        _was_disturbed(
            evidence, what, arrival.reached_s - RECOVERY_S, arrival.reached_s
        )
        for what in (asked.get(arrival.id.decode(), ''), sender, 'store')
    )


def _check_announcements(evidence: Evidence) -> Iterable[Violation]:
    """Violations by hosts of what endpoints announced in answers to them.

    A request that its host passed on came to the endpoint from another one.
    """
    requests = {request.id: request for request in evidence.requests}
    for endpoint in evidence.endpoints:
        by_host = collections.defaultdict(list)
        for arrival in endpoint.arrivals:
            if (request := requests.get(arrival.id.decode())) is not None:
                host = evidence.hosts.get(arrival.sender, request.host)
                by_host[host].append((request, arrival))
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
    """Violations by a host of what one answer of an endpoint announced.

    :param informed: request whose answer had the announcement
    :param announcing: its arrival at the endpoint
    :param pairs: all requests of the host that reached the endpoint
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
                informed, 'hosts heed an announced departure', f'{late}'
            )
    if announcing.backoff_s:
        since_s = announcing.at_s + BACKOFF_REACTION_S
        until_s = announcing.at_s + announcing.backoff_s
        within = [
            arrival.id.decode()
            for _, arrival in pairs
            if since_s < arrival.reached_s < until_s
        ]
        if len(within) <= MAX_REQUESTS_IN_BACKOFF:
            return
        if not _was_disturbed(evidence, host, announcing.at_s, until_s):
            yield _violation(
                informed, 'hosts back off when asked to', f'{within}'
            )


def _check_limits(evidence: Evidence) -> Iterable[Violation]:
    endpoints = {each.name: each for each in evidence.endpoints}
    for limit in evidence.limits:
        arrivals = _arrivals_under(limit, endpoints[limit.endpoint])
        allowed = LIMIT_FACTOR * limit.rate_s * LIMIT_WINDOW_S + LIMIT_EXTRA
        for number, first in enumerate(arrivals):
            until_s = first.reached_s + LIMIT_WINDOW_S
            window = [a for a in arrivals[number:] if a.reached_s < until_s]
            if len(window) > allowed:
                yield Violation(
                    'hosts together keep the limits of endpoints',
                    first.reached_s,
                    tuple(each.id.decode() for each in window),
                    f'{limit.endpoint} named {limit.rate_s:g} a second and '
                    f'got {len(window)} in {LIMIT_WINDOW_S:g} s',
                )
                break


def _check_path_cuts(evidence: Evidence) -> Iterable[Violation]:
    """Callers of a host without endpoints are served like those of others.

    A time in which the host or the store is disturbed as well is not judged.
    """
    for cut in evidence.path_cuts:
        from_s = cut.from_s + PATH_REACTION_S
        if any(
            each.what in (cut.host, 'store')
            and each.from_s < cut.to_s
            and each.to_s + RECOVERY_S > from_s
            for each in evidence.disturbed
        ):
            continue
        served: dict[bool, list[bool]] = {True: [], False: []}
        failed = []
        for request in evidence.requests:
            if not from_s <= request.sent_s < cut.to_s:
                continue
            succeeded = request.status == 200 and request.complete
            is_cut = request.host == cut.host
            served[is_cut].append(succeeded)
            if is_cut and not succeeded:
                failed.append(request.id)
        if len(served[True]) < PATH_REQUESTS or not served[False]:
            continue
        own = sum(served[True]) / len(served[True])
        others = sum(served[False]) / len(served[False])
        if own < others * PATH_SERVED_SHARE:
            yield Violation(
                'callers of hosts without endpoints are served',
                from_s,
                tuple(failed),
                f'{cut.host}: {sum(served[True])} of {len(served[True])} '
                f'served, at the others {sum(served[False])} of '
                f'{len(served[False])}',
            )


def _arrivals_under(
    limit: Limit, endpoint: platformendpoint.EndpointStandIn
) -> list[platformendpoint.Arrival]:
    """Requests that came after hosts had time to learn of a limit."""
    named_s = [
        each.at_s
        for each in endpoint.arrivals
        if each.rate_limit is not None and each.at_s >= limit.from_s
    ]
    if not named_s:
        return []
    from_s = named_s[0] + LIMIT_REACTION_S
    arrivals = sorted(endpoint.arrivals, key=lambda each: each.reached_s)
    return [a for a in arrivals if from_s <= a.reached_s <= limit.to_s]


def limit_use(evidence: Evidence) -> list[float]:
    """Shares of the endpoints' limits that the hosts used, limit by limit."""
    endpoints = {each.name: each for each in evidence.endpoints}
    shares = []
    for limit in evidence.limits:
        arrivals = _arrivals_under(limit, endpoints[limit.endpoint])
        if arrivals:
            for_s = limit.to_s - arrivals[0].reached_s
            shares.append(len(arrivals) / max(1.0, limit.rate_s * for_s))
    return shares


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
        yield Violation(
            'requests succeed after the last fault',
            evidence.calm_s,
            (),
            'no requests were sent',
        )
    elif len(failed) > (1 - MIN_SUCCESS_SHARE) * len(calm):
        ids = tuple(request.id for request in failed)
        text = f'{len(failed)} of {len(calm)} failed after the last fault'
        yield Violation(
            'requests succeed after the last fault', evidence.calm_s, ids, text
        )


def _check_processes(evidence: Evidence) -> Iterable[Violation]:
    for host, used_kib in evidence.memory_kib.items():
        if used_kib > MAX_MEMORY_KIB:
            text = f'{used_kib} KiB, {MAX_MEMORY_KIB} are allowed'
            yield Violation('nodes keep to their memory', 0.0, (host,), text)
    for host, line in evidence.errors:
        yield Violation('nodes log no errors of their own', 0.0, (host,), line)
    for host, status in evidence.ended.items():
        text = f'exit status {status}'
        yield Violation('nodes do not exit by themselves', 0.0, (host,), text)
    for host, at_s in evidence.unstopped:
        yield Violation(
            'nodes stop in time', at_s, (host,), 'had to be killed'
        )
    for host, at_s in evidence.unready:
        yield Violation(
            'nodes are ready in time after a start',
            at_s,
            (host,),
            'not ready in time',
        )


def _check_calls(evidence: Evidence) -> Iterable[Violation]:
    disturbed = [
        dutycheck.Interval(each.what, each.from_s, each.to_s)
        for each in evidence.disturbed
    ]
    for rule, call, text in dutycheck.breaches(
        evidence.calls, disturbed, platformfleet.ORDER_GAP_S
    ):
        yield Violation(rule, call.at_s, (call.holder,), text)


def expected_stream(events: int, after: int = 0) -> bytes:
    """Body of a complete stream of the endpoints' stand-in.

    :param after: number of events that the caller has already
    """
    return b''.join(
        b'id: %d\ndata: piece %d\n\n' % (number, number)
        for number in range(after + 1, events + 1)
    )


def _versions(request: CallerRequest) -> set[bytes]:
    return set(VERSION_LINE.findall(request.body))


def _check_versions(evidence: Evidence) -> Iterable[Violation]:
    """Each stream holds events of one version, over its caller's tries."""
    found: dict[str, set[bytes]] = collections.defaultdict(set)
    for request in evidence.requests:
        root = request.resumes or request.id
        found[root] |= _versions(request)
        if len(found[root]) > 1:
            yield _violation(
                request,
                'streams hold one software version',
                b', '.join(sorted(found[root])).decode(),
            )


def _check_taken_up(evidence: Evidence) -> Iterable[Violation]:
    """Streams that callers take up go on like new streams begin.

    Counted are those at times without a disturbance of the store or of the
    host, while two engines of their version serve.
    """
    began = {
        request.id: _versions(request)
        for request in evidence.requests
        if not request.resumes
    }
    judged: dict[bool, list[bool]] = {True: [], False: []}
    failed = []
    for request in evidence.requests:
        if request.kind not in RESUMABLE_KINDS or any(
            each.what in (request.host, 'store')
            for each in _overlapping_disturbances(evidence, request)
        ):
            continue
        versions = began.get(request.resumes, set())
        if request.resumes and not _serve(evidence, versions, request.sent_s):
            continue
        succeeded = request.status == 200
        judged[bool(request.resumes)].append(succeeded)
        if request.resumes and not succeeded:
            failed.append(request.id)
    taken_up, new = judged[True], judged[False]
    if len(taken_up) < TAKEN_UP_STREAMS:
        return
    share = sum(taken_up) / len(taken_up)
    if share < TAKEN_UP_SHARE * sum(new) / len(new):
        yield Violation(
            'streams that are taken up go on',
            0.0,
            tuple(failed),
            f'{sum(taken_up)} of {len(taken_up)} went on, '
            f'{sum(new)} of {len(new)} new ones began',
        )


def _check_overlaps(evidence: Evidence) -> Iterable[Violation]:
    """A stream goes on after its last run ended, or its engine was gone."""
    runs = collections.defaultdict(list)
    for endpoint in evidence.endpoints:
        for run in endpoint.runs:
            until_s = min(run.until_s, endpoint.gone_s)
            runs[run.id.decode()].append((run.at_s, until_s, endpoint.name))
    for request in evidence.requests:
        if request.kind not in SINGLE_RUN_STREAMS:
            continue
        pairs = itertools.pairwise(sorted(runs[request.id]))
        for (_, until_s, first), (at_s, _, second) in pairs:
            if at_s < until_s:
                text = f'{until_s - at_s:.3f} s at {first} and {second}'
                yield _violation(request, 'streams run at one engine', text)


def broken_backed(evidence: Evidence) -> dict[str, bool]:
    """Whether streams with a backup went on whose engine was killed, by id.

    Counted are those of which callers had events, while another engine of
    their version served, at times without a disturbance of their host.
    """
    lost = {
        run.id.decode(): endpoint
        for endpoint in evidence.endpoints
        for run in endpoint.runs
        if run.killed and b'last-event-id' not in run.headers
    }
    return {
        request.id: request.complete
        for request in evidence.requests
        if request.kind == platformmix.BACKED_KIND
        and (engine := lost.get(request.id)) is not None
        and EVENT_END in request.body
        and any(
            other is not engine
            and other.stage == 'decode'
            and other.version == engine.version
            and other.from_s <= engine.gone_s < other.to_s
            for other in evidence.endpoints
        )
        and not any(
            _disturbs_host(evidence, request, each)
            for each in _overlapping_disturbances(evidence, request)
        )
    }


def _check_broken_backed(evidence: Evidence) -> Iterable[Violation]:
    found = broken_backed(evidence)
    least = BROKEN_BACKED_SHARE * len(found)
    if len(found) >= BROKEN_BACKED_STREAMS and sum(found.values()) < least:
        text = f'{sum(found.values())} of {len(found)} went on'
        ended = tuple(each for each in found if not found[each])
        yield Violation('streams with a backup go on', 0.0, ended, text)


def describe_served(evidence: Evidence) -> Iterable[str]:
    """Lines on what of both is seen, and whether it is enough to judge."""
    found = list(broken_backed(evidence).values())
    counts = {'streams that lost an engine with a backup': found}
    for workspace, served in calm_shares(evidence).items():
        counts[f'requests of {workspace} after the last fault'] = served
    for what, each in counts.items():
        least = BROKEN_BACKED_STREAMS if each is found else WORKSPACE_REQUESTS
        judged = 'judged' if len(each) >= least else 'not judged, too few'
        yield f'{what}: {sum(each)} of {len(each)} served, {judged}'
    for kind, sizes in served_by_size(evidence).items():
        judged = 'judged' if sizes.is_judged() else 'not judged, too few'
        yield (
            f'{kind} prompts: {sum(sizes.all)} of {len(sizes.all)} served, '
            f'{sum(sizes.fifth)} of {len(sizes.fifth)} of the fifth below the '
            f'largest tenth, {sum(sizes.tenth)} of {len(sizes.tenth)} of '
            f'that, {judged}'
        )


class ServedBySize(NamedTuple):
    """Which prompts of a kind were served.

    :param all: all of them, the smallest first
    :param fifth: the fifth below the largest tenth
    :param tenth: the largest tenth
    """

    all: list[bool]
    fifth: list[bool]
    tenth: list[bool]

    def is_judged(self) -> bool:
        """Whether chance alone would hardly break the promise."""
        expected = len(self.tenth) * sum(self.all) / max(1, len(self.all))
        return expected >= SIZE_EXPECTED


def served_by_size(evidence: Evidence) -> dict[str, ServedBySize]:
    """Which prompts were served, by kind.

    Answers that broke off are left to other promises.
    """
    found = collections.defaultdict(list)
    for request in evidence.requests:
        broke_off = not request.status or (
            request.status == 200 and not request.complete
        )
        if request.prompt_tokens and not (request.resumes or broke_off):
            served = request.status == 200
            found[request.kind].append((request.prompt_tokens, served))
    sizes = {}
    for kind, each in sorted(found.items()):
        each.sort(key=lambda one: one[0])
        served = [one for _, one in each]
        tenth = len(served) - len(served) // 10
        fifth = tenth - len(served) // 5
        sizes[kind] = ServedBySize(served, served[fifth:tenth], served[tenth:])
    return sizes


def _check_sizes(evidence: Evidence) -> Iterable[Violation]:
    for kind, sizes in served_by_size(evidence).items():
        if not sizes.is_judged():
            continue
        least = SIZE_SHARE * sum(sizes.all) / len(sizes.all)
        for name, part in (
            ('largest tenth', sizes.tenth),
            ('fifth below it', sizes.fifth),
        ):
            if sum(part) < least * len(part):
                text = (
                    f'{kind}: {sum(part)} of {len(part)} of the {name}, '
                    f'{sum(sizes.all)} of {len(sizes.all)} of all'
                )
                yield Violation('each size is served', 0.0, (), text)


def calm_shares(evidence: Evidence) -> dict[str, list[bool]]:
    """Which requests after the last fault were served, by workspace."""
    served = collections.defaultdict(list)
    for request in evidence.requests:
        if request.workspace and request.sent_s >= evidence.calm_s:
            served[request.workspace].append(
                request.status == 200 and request.complete
            )
    return dict(sorted(served.items()))


def _check_workspaces(evidence: Evidence) -> Iterable[Violation]:
    served = calm_shares(evidence)
    everything = [each for found in served.values() for each in found]
    for workspace, found in served.items():
        share = sum(found) / len(found)
        least = WORKSPACE_SHARE * sum(everything) / len(everything)
        if len(found) >= WORKSPACE_REQUESTS and share < least:
            text = f'{workspace}: {sum(found)} of {len(found)} requests'
            yield Violation(
                'each workspace is served', evidence.calm_s, (), text
            )


def _serve(evidence: Evidence, versions: set[bytes], at_s: float) -> bool:
    """Whether two engines of a version serve at a moment."""
    engines = [
        each
        for each in evidence.endpoints
        if each.stage == 'decode'
        and each.version.encode() in versions
        and each.from_s <= at_s < each.to_s
    ]
    return len(engines) >= 2


def taken_up(evidence: Evidence) -> tuple[int, int]:
    """Numbers of streams that callers took up, and of those that went on."""
    found = [each for each in evidence.requests if each.resumes]
    return len(found), sum(each.status == 200 for each in found)


def _violation(request: CallerRequest, promise: str, text: str) -> Violation:
    at = f'{request.kind} at {request.host}'
    return Violation(promise, request.sent_s, (request.id,), f'{at}: {text}')
