"""Base of exchanges: serves one request, from arrival to its outcome."""

import abc
import functools
import math
import random
from typing import Callable
from typing import NamedTuple

import gevent

from magnoliadyke import clock as clocks
from magnoliadyke.core import answerend
from magnoliadyke.core import backoffs
from magnoliadyke.core import balance
from magnoliadyke.core import catalog
from magnoliadyke.core import crashcauses
from magnoliadyke.core import heldbodies
from magnoliadyke.core import retrybudget
from magnoliadyke.core import routes
from magnoliadyke.core import streamversions
from magnoliadyke.gateway import caller as callers
from magnoliadyke.gateway import codec as codecs
from magnoliadyke.gateway import connection
from magnoliadyke.gateway import crashreports
from magnoliadyke.gateway import departures
from magnoliadyke.gateway import endpointlimits
from magnoliadyke.gateway import events
from magnoliadyke.gateway import http
from magnoliadyke.gateway import outcomes
from magnoliadyke.gateway import pacereports
from magnoliadyke.gateway import paths
from magnoliadyke.gateway import placementservice
from magnoliadyke.gateway import relaying
from magnoliadyke.gateway import streambackups
from magnoliadyke.gateway import streamrecords
from magnoliadyke.gateway import upstream
from magnoliadyke.gateway import usageduty
from magnoliadyke.gateway import waitlimit
from magnoliadyke import logs

__all__ = [
    'BACKOFF_REASON',
    'ENDPOINT_LEFT',
    'LIMIT_REASON',
    'LOST_ERRORS',
    'RETRY_AFTER_S',
    'RESPONSE_MARGIN_S',
    'STOPPING',
    'Exchange',
    'Parts',
]

LOG = logs.get('exchange')

#: Retry-After of a refused request if no endpoint's backoff gives one, in
#: seconds.
RETRY_AFTER_S = 0.4
#: Part of a caller's remaining time that is reserved for sending the answer
#: back, in seconds: with less left, another attempt could not be answered in
#: time.
RESPONSE_MARGIN_S = 0.02
#: A request is a caller's retry if its remaining time is shorter than the
#: route's timeout by more than this, in seconds: callers send the time left
#: since their first attempt.
RETRY_DETECTION_S = 0.1
#: Reason of a refusal when all usable endpoints asked this host to back off.
BACKOFF_REASON = 'the endpoint asked to back off'
#: Reason of an attempt at an endpoint that has left or is leaving.
ENDPOINT_LEFT = 'the endpoint has left'
#: Reason of a refusal when the rate limits of the usable endpoints leave no
#: room for the request in time.
LIMIT_REASON = 'the limits of the endpoints leave no room'
#: Share of the time until a caller's deadline for which a request may wait
#: for a permit at an endpoint that it has to go to.
MAX_PERMIT_WAIT_SHARE = 0.1
#: Reason of a refusal or failure when a request may not complete, or did not,
#: before this host stops.
STOPPING = 'this host is stopping'
#: Reasons of a refusal when a stream can't be taken up, as the software
#: version that began it is not known or serves no more.
VERSION_UNKNOWN = 'the software version that began the stream is unknown'
VERSION_GONE = 'no endpoint of the version that began the stream serves'
#: Retry-After of the latter, in seconds: an endpoint that crashed starts again
#: at its version within seconds.
VERSION_GONE_RETRY_S = 1.0
#: Reason of a refusal when endpoints crashed that ran the request, or others
#: that have a part of its prompt.
CRASH_REASON = 'endpoints crash when they run it or a part of its prompt'
#: Time limit for the body of an answer that says that the request was not
#: run, in seconds; the body is read only to use the connection again.
REFUSAL_BODY_TIMEOUT_S = 0.05
#: Errors that end an attempt after the request may have been sent.
LOST_ERRORS = (OSError, http.BrokenMessage, http.OutOfTime, http.PeerClosed)


class HeldBack(upstream.NoConnection):
    """The request may not be sent to the endpoint in time.

    :ivar wait_s: time until it may, in seconds
    """

    def __init__(self, wait_s: float, reason: str = LIMIT_REASON) -> None:
        super().__init__(reason)
        self.wait_s = wait_s


class Parts(NamedTuple):
    """Shared components that an exchange uses.

    :param budgets: retry budgets by service
    :param record_start: records that a request of a workspace began to run
    """

    clock: clocks.Clock
    codec: codecs.Codec
    catalog: catalog.Catalog
    upstream: upstream.Upstream
    balancer: balance.Balancer
    budgets: dict[str, retrybudget.RetryBudget]
    placement_service: placementservice.PlacementService
    crashreports: crashreports.CrashReporter
    backoffs: backoffs.Backoffs
    limits: endpointlimits.EndpointLimits
    departures: departures.Departures
    rng: random.Random
    record_start: usageduty.StartRecorder
    paths: paths.PathMonitor
    relayer: relaying.Relayer
    streams: streamrecords.StreamRecords
    paces: pacereports.PaceReporter
    streambackups: streambackups.StreamBackups


class Exchange(abc.ABC):
    """One request in flight.

    :param service: service that was drawn for the request
    :param arrived_s: when the head of the request was complete, in monotonic
        seconds
    :ivar deadline_s: when the caller's timeout ends, in monotonic seconds
    :ivar aborted_s: when the shutdown of this host aborts it, in monotonic
        seconds; infinite while none has begun
    :ivar runs: number of attempts that ran the request, or may have
    :ivar send_count: number of attempts, including those that endpoints
        rejected
    :ivar tried: ids of endpoints that the request was sent to
    :ivar refused_by: ids of endpoints that answered it with an error
    :ivar endpoint: id of the last endpoint tried, empty if none
    :ivar sent_s: when the request was last sent, in monotonic seconds
    :ivar sent_on: connection on which the request was last sent, as
        ``NUMBER.REQUEST`` where ``REQUEST`` counts the requests sent on it;
        'none' before, and if the last attempt was not sent
    :ivar has_retry: whether a retry was taken from the budget for the next
        attempt
    :ivar start_recorded: whether the request was recorded as usage
    :ivar permits: ids of endpoints to which it may be sent once, whatever
        their rate limits
    :ivar answer_end: how the last answer of an endpoint ended, None without
        one
    :ivar held_body: body of the last answer, None without one
    :ivar version: software version that began the stream, at which alone it
        may go on; None while any may serve it
    :ivar is_relayed: whether another host passed the request on to this one
    :ivar is_trial: whether it may run once although its causes are barred
    """

    def __init__(
        self,
        parts: Parts,
        request: codecs.Request,
        route: routes.Route,
        service: str,
        caller: callers.Caller,
        arrived_s: float,
    ) -> None:
        self.parts = parts
        self.request = request
        self.route = route
        self.service = service
        self.caller = caller
        self.arrived_s = arrived_s
        wait_s = route.timeout_s
        if request.wait_s is not None:
            wait_s = min(wait_s, request.wait_s)
        self.deadline_s = arrived_s + wait_s
        self.aborted_s = math.inf
        self.runs = 0
        self.send_count = 0
        self.tried: set[str] = set()
        self.refused_by: set[str] = set()
        self.endpoint = ''
        self.sent_s = arrived_s
        self.sent_on = 'none'
        self.has_retry = False
        self.start_recorded = False
        self.permits: set[str] = set()
        self.answer_end: answerend.AnswerEnd | None = None
        self.held_body: heldbodies.HeldBody | None = None
        self.version: str | None = None
        self.is_relayed = caller.is_peer
        self.is_trial = False

    @property
    def is_waiting(self) -> bool:
        """Whether the request has not been sent to any endpoint yet."""
        return not self.send_count

    @property
    def is_callers_retry(self) -> bool:
        """Whether the caller was refused before; it seldom retries again."""
        wait_s = self.request.wait_s
        return (
            wait_s is not None
            and wait_s < self.route.timeout_s - RETRY_DETECTION_S
        )

    @property
    def left_s(self) -> float:
        """Time until the caller's timeout ends, in seconds."""
        return self.deadline_s - self.parts.clock.now_s()

    def run(self) -> outcomes.Outcome:
        """Serve the request and send the caller its answer."""
        if not self.is_relayed:
            # The host that passed it on has counted it.
            self._budget().record_request(self.parts.clock.now_s())
        try:
            return self._run()
        except callers.CallerLeft:
            self.caller.broken = True
            return outcomes.Left('the caller closed its connection')
        finally:
            self._release_body()

    def hold_body(self) -> heldbodies.HeldBody:
        """Return where to hold the next answer, in place of the last one."""
        self._release_body()
        self.held_body = self.parts.upstream.bodies.begin()
        return self.held_body

    def _release_body(self) -> None:
        if self.held_body is not None:
            self.held_body.release()
            self.held_body = None

    def _run(self) -> outcomes.Outcome:
        try:
            with self.caller.watch_disconnect():
                refused = self._refuse_barred()
                if refused is not None:
                    return self._respond(refused)
                outcome = self._serve_or_relay()
                if isinstance(outcome, outcomes.Answered):
                    self.parts.crashreports.record_success(
                        self.request,
                        lambda: self.causes,
                        self.service,
                        outcome.endpoint,
                    )
                return self._respond(outcome)
        except callers.HostStops:
            return self._respond(self._end_interrupted())

    @functools.cached_property
    def causes(self) -> crashreports.Causes:
        """What the request consists of, by which crashes are counted."""
        return crashreports.causes_of(self.request, self.service)

    def _refuse_barred(self) -> outcomes.Refused | None:
        """Return the refusal of a request that crashes endpoints, or None.

        A host that is cut off can't tell whether an endpoint has crashed; the
        one to which it passes the request on decides.
        """
        reporter = self.parts.crashreports
        if not reporter.has_bars or self._is_cut_off():
            return None
        match reporter.wait_for_verdict(self.causes, self._softwares()):
            case crashcauses.Barred(retry_after_s) as barred:
                if reporter.start_trial(self.request, self.causes):
                    self.is_trial = True
                    return None
                reporter.log_barred(self.request, barred)
                return outcomes.Refused(CRASH_REASON, retry_after_s)
        return None

    def _softwares(self) -> set[str]:
        """Return the software of the endpoints that may run the request."""
        return {
            crashreports.software_of(self.service, each.version)
            for each in self._usable()
            if self.version in (None, each.version)
        }

    def _verdict(self, version: str | None = None) -> crashcauses.Verdict:
        """Return whether the request may run, without waiting.

        :param version: software version of the endpoint, None for any of those
            that may run it
        """
        reporter = self.parts.crashreports
        if not reporter.has_bars or (self.is_trial and not self.runs):
            return crashcauses.Clear()
        softwares = (
            self._softwares()
            if version is None
            else {crashreports.software_of(self.service, version)}
        )
        return reporter.verdict(self.causes, softwares)

    def _is_barred(self, version: str | None = None) -> bool:
        """Return whether the request may not run; see :meth:`_verdict`."""
        return isinstance(self._verdict(version), crashcauses.Barred)

    def _check_barred(self, endpoint: catalog.Endpoint) -> None:
        """Check, right before it is sent, that the request may run.

        :raises HeldBack: it crashes endpoints
        """
        reporter = self.parts.crashreports
        if not reporter.has_bars or (self.is_trial and not self.runs):
            return
        software = crashreports.software_of(self.service, endpoint.version)
        match reporter.wait_for_verdict(self.causes, {software}):
            case crashcauses.Barred(retry_after_s) as barred:
                reporter.log_barred(self.request, barred, endpoint.id)
                raise HeldBack(retry_after_s, CRASH_REASON)

    def _serve_or_relay(self) -> outcomes.Outcome:
        """Have this host's endpoints or another host serve the request."""
        if self._is_cut_off():
            return self.parts.relayer.relay(self)
        outcome = self._serve()
        if (
            isinstance(outcome, outcomes.Refused)
            and not self.is_relayed
            and self.parts.paths.do_others_reach(self.service)
            and self._may_relay_after_refusal()
        ):
            relayed = self.parts.relayer.relay(self)
            if not isinstance(relayed, outcomes.Refused):
                return relayed
        return outcome

    def _is_cut_off(self) -> bool:
        """Return whether another host has to serve the request."""
        return not self.is_relayed and self.parts.paths.is_cut_off(
            self.service
        )

    def _may_relay_after_refusal(self) -> bool:
        """Return whether a request that no endpoint took may be passed on.

        One that an endpoint has turned away arrives a second time then.
        """
        return not self.send_count or self._acquire_retry()

    def _find_version(self) -> outcomes.Refused | None:
        """Find the version of a stream that its caller takes up.

        :returns: the refusal if it can't go on, None if it may
        """
        if (
            self.route.kind is not routes.Kind.STREAM
            or self.request.resume_after is None
            or self.version is not None
        ):
            return None
        known = self.parts.streams.resolve(self.request, self.service)
        match known:
            case streamversions.Unknown():
                return outcomes.Refused(VERSION_UNKNOWN, RETRY_AFTER_S)
            case streamversions.Known(version):
                self.version = version
        if not any(map(self._may_answer, self._usable())):
            return outcomes.Refused(VERSION_GONE, VERSION_GONE_RETRY_S)
        return None

    def _usable(self) -> list[catalog.Endpoint]:
        return self.parts.catalog.usable(self.service)

    def _may_answer(self, endpoint: catalog.Endpoint) -> bool:
        """Return whether an endpoint has a version that may answer.

        A stream needs that which began it, and a request may crash some.
        """
        if self.version not in (None, endpoint.version):
            return False
        return not self._is_barred(endpoint.version)

    def _record_version(self, endpoint: catalog.Endpoint) -> None:
        """Record the version of a stream before its first event is sent."""
        if self.route.kind is not routes.Kind.STREAM:
            return
        self.version = endpoint.version
        if self.route.resumable:
            wait_s = max(self.route.timeout_s, self.request.wait_s or 0.0)
            self.parts.streams.record(
                self.request,
                self.service,
                endpoint.version,
                self.arrived_s + wait_s,
                is_split=len(self.route.targets) > 1,
            )

    def _end_interrupted(self) -> outcomes.Refused | outcomes.Failed:
        """Return the outcome of a request that this host's stop aborts."""
        self.caller.broken = self.caller.answer_started
        if not (self.runs or self.caller.answer_started):
            return outcomes.Refused(STOPPING, 0.0)
        return outcomes.Failed(504, STOPPING)

    @abc.abstractmethod
    def _serve(self) -> outcomes.Outcome:
        """Have an endpoint run the request, and return the outcome."""

    def _respond(self, outcome: outcomes.Outcome) -> outcomes.Outcome:
        """Send the answer of a refused or failed request, unless one began."""
        match outcome:
            case outcomes.Refused(reason, retry_after_s):
                retry_after = b'%.3f' % max(0.0, retry_after_s)
                headers = self.parts.codec.local_response_headers(self.request)
                headers.append((b'Retry-After', retry_after))
                self.caller.answer(503, headers, reason.encode())
            case outcomes.Failed(status, reason) if (
                not self.caller.answer_started
            ):
                headers = self.parts.codec.local_response_headers(self.request)
                self.caller.answer(status, headers, reason.encode())
        return outcome

    def _service(self) -> routes.Service | None:
        configuration = self.parts.catalog.configuration
        return configuration.services.get(self.service)

    def _max_connections(self) -> int:
        service = self._service()
        return service.max_connections if service is not None else 0

    def _budget(self) -> retrybudget.RetryBudget:
        return self.parts.budgets[self.service]

    def _acquire_connection(
        self, endpoint: catalog.Endpoint, repeatable: bool
    ) -> connection.Connection:
        """Acquire a connection to an endpoint, if it accepts the request now.

        :param repeatable: whether the request may be sent again
        :raises upstream.NoConnection: the endpoint asked to back off or has
            left, its rate limit is used up, the request crashes endpoints, or
            no connection is available; nothing has been sent
        """
        self.sent_on = 'none'
        self._check_barred(endpoint)
        if self._backoff_s(endpoint.id):
            raise upstream.NoConnection(BACKOFF_REASON)
        self._use_permit(endpoint)
        used = self.parts.upstream.acquire(
            endpoint, self._max_connections(), repeatable, self.request.id
        )
        # The waits for a verdict, a permit and a connection may be long.
        if self.parts.catalog.find_staying(endpoint.id) is None:
            self.parts.upstream.release(endpoint, used)
            raise upstream.NoConnection(ENDPOINT_LEFT)
        return used

    def _use_permit(self, endpoint: catalog.Endpoint) -> None:
        """Use a permit for an endpoint with a rate limit, or get one.

        :raises HeldBack: there is no permit in time
        """
        if endpoint.id in self.permits:
            self.permits.discard(endpoint.id)
            return
        if not self.parts.limits.is_limited(endpoint.id):
            return
        max_wait_s = max(0.0, self.left_s * MAX_PERMIT_WAIT_SHARE)
        match self.parts.limits.acquire([endpoint.id], max_wait_s):
            case endpointlimits.Granted(wait_s=wait_s):
                self.parts.clock.sleep(wait_s)
            case endpointlimits.Denied(wait_s):
                self._log_held_back([endpoint.id], wait_s)
                raise HeldBack(wait_s)

    def _reserve_permit(self, endpoint: catalog.Endpoint) -> bool:
        """Get a permit for an endpoint that the request may go to.

        :returns: whether it may be sent there now
        """
        if self._backoff_s(endpoint.id):
            return False
        limits = self.parts.limits
        if endpoint.id in self.permits or not limits.is_limited(endpoint.id):
            return True
        if isinstance(
            limits.acquire([endpoint.id], 0.0), endpointlimits.Denied
        ):
            return False
        self.permits.add(endpoint.id)
        return True

    def _backoff_s(self, endpoint_id: str) -> float:
        """Return the rest of an endpoint's backoff in seconds, 0 if none."""
        now_s = self.parts.clock.now_s()
        return self.parts.backoffs.remaining_s(endpoint_id, now_s)

    def _retry_after_s(self) -> float:
        """Return the Retry-After in seconds if all endpoints reject."""
        usable = self.parts.catalog.usable(self.service)
        now_s = self.parts.clock.now_s()
        return (
            self.parts.backoffs.shortest_remaining_s(usable, now_s)
            or RETRY_AFTER_S
        )

    def _may_send(self) -> bool:
        """Count an attempt and return whether the retry budget allows it.

        The first attempt of a request is not a retry and always allowed.
        """
        self.send_count += 1
        if self.send_count == 1:
            return True
        allowed = self._reserve_retry()
        self.has_retry = False
        return allowed

    def _reserve_retry(self) -> bool:
        """Take a retry from the budget for the next attempt, if it has one.

        :returns: whether the next attempt has a retry
        """
        self.has_retry = self.has_retry or self._acquire_retry()
        return self.has_retry

    def _is_retry_left(self) -> bool:
        """Return whether the next attempt may have a retry."""
        return self.has_retry or self._budget().has_left(
            self.parts.clock.now_s()
        )

    def _acquire_retry(self) -> bool:
        """Take a retry from the budget, and log whether it allows one."""
        now_s = self.parts.clock.now_s()
        budget = self._budget()
        allowed = budget.try_acquire(now_s)
        LOG.event(
            'retry',
            id=self.request.id.decode('latin-1'),
            service=self.service,
            allowed=allowed,
            taken=budget.taken(now_s),
            allowance=round(budget.allowance(now_s), 1),
            hosts=budget.hosts,
        )
        return allowed

    def _may_retry(self) -> bool:
        if self.runs >= self.route.max_attempts:
            return False
        if self.send_count > self.route.max_attempts:
            return False
        if self._is_barred():
            return False
        return self.left_s >= RESPONSE_MARGIN_S

    def _log_held_back(self, endpoint_ids: list[str], wait_s: float) -> None:
        LOG.event(
            'request_held_back',
            id=self.request.id.decode('latin-1'),
            endpoints=','.join(endpoint_ids),
            wait_ms=round(wait_s * 1000),
            left_ms=round(self.left_s * 1000),
        )

    def _not_sent(self, error: upstream.NoConnection) -> outcomes.NotRun:
        """Return the result of an attempt that got no connection."""
        wait_s = error.wait_s if isinstance(error, HeldBack) else None
        return outcomes.NotRun(str(error), False, wait_s)

    def _record_start(self, ago_s: float = 0.0) -> None:
        """Record, once per request, that it began to run, as usage.

        :param ago_s: time since it began to run, in seconds
        """
        workspace = self.request.workspace
        if workspace is not None and not self.start_recorded:
            self.start_recorded = True
            self.parts.record_start(workspace.name, ago_s)

    def _record_crash(
        self,
        result: outcomes.Whole
        | outcomes.NotRun
        | outcomes.Lost
        | outcomes.Answered,
        endpoint: str,
    ) -> None:
        """Record a possible crash if the endpoint broke off the attempt."""
        if isinstance(result, outcomes.Lost) and result.broke_off:
            # What other ends suggest is no proof for further ones.
            if not self.answer_end.have_others_ended:
                self.parts.upstream.record_broken(endpoint)
            self.parts.crashreports.record_crash(
                self.request,
                self.causes,
                self.service,
                endpoint,
                self.sent_s,
            )

    def _read_head(
        self,
        endpoint: catalog.Endpoint,
        used: connection.Connection,
        wait: Callable[[], http.Head],
    ) -> tuple[http.Head, codecs.ResponseFacts]:
        """Wait for the head of an answer, and read its facts.

        Late copies of answers to earlier requests on the connection are
        dropped: the answer to this request follows them.

        :param wait: waits for a head and returns it
        """
        while True:
            head = wait()
            if head.framing is answerend.Framing.CLOSE:
                # Those that end from now on tell of the end of this answer.
                self.parts.upstream.drop_ended(endpoint.id)
            facts = self._read_facts(endpoint, used, head)
            if facts.request_id in (None, self.request.id) or (
                not used.has_carried(facts.request_id)
            ):
                return head, facts
            self.parts.upstream.late_copies += 1
            LOG.event(
                'late_copy_dropped',
                id=self.request.id.decode('latin-1'),
                copy_of=facts.request_id.decode('latin-1'),
                status=facts.status,
                endpoint=endpoint.id,
                connection=self.sent_on,
            )
            used.drop_answer()

    def _read_facts(
        self,
        endpoint: catalog.Endpoint,
        used: connection.Connection,
        head: http.Head,
    ) -> codecs.ResponseFacts:
        """Parse an answer's head, and record the endpoint's signals in it.

        The signals are a backoff, a planned stop and a rate limit. They are
        ignored in an answer to another request and in one from another
        process at the same address, which say nothing about this endpoint.
        """
        facts = self.parts.codec.facts(head)
        self.parts.upstream.reachability.record_answer(
            endpoint.id, self.parts.clock.now_s()
        )
        is_own = self._is_own(used, facts)
        if is_own and facts.status >= 400:
            self.refused_by.add(endpoint.id)
        if is_own and not facts.wrong_endpoint:
            self.parts.crashreports.record_answer(
                endpoint.id, used.opened_s, used.sent_s
            )
            self._record_limit(endpoint, used, facts)
            if facts.leaving:
                self.parts.departures.record(endpoint.id, self.request.id)
            if facts.backoff_s:
                self._record_backoff(endpoint, facts.backoff_s)
        return facts

    def _is_own(
        self, used: connection.Connection, facts: codecs.ResponseFacts
    ) -> bool:
        """Return whether an answer is to this request.

        One without an id is, if no other request was sent on its connection.
        """
        if facts.request_id is None:
            return used.sends == 1
        return facts.request_id == self.request.id

    def _record_limit(
        self,
        endpoint: catalog.Endpoint,
        used: connection.Connection,
        facts: codecs.ResponseFacts,
    ) -> None:
        limits = self.parts.limits
        if facts.rate_limit_error:
            limits.record_malformed(
                endpoint.id, facts.rate_limit_error, self.request.id
            )
        named = facts.rate_limit_s is not None
        if named or (
            not facts.rate_limit_error and facts.request_id == self.request.id
        ):
            limits.record_response(
                endpoint.id, facts.rate_limit_s, used.sent_s, self.request.id
            )

    def _record_backoff(
        self, endpoint: catalog.Endpoint, for_s: float
    ) -> None:
        now_s = self.parts.clock.now_s()
        self.parts.backoffs.record_backoff(endpoint.id, for_s, now_s)
        LOG.event(
            'endpoint_asked_to_back_off',
            id=self.request.id.decode('latin-1'),
            endpoint=endpoint.id,
            for_ms=round(for_s * 1000),
        )

    def _record_send(
        self, endpoint: catalog.Endpoint, used: connection.Connection
    ) -> None:
        used.sent_s = self.sent_s = self.parts.clock.now_s()
        self.sent_on = f'{used.number}.{used.sends + 1}'
        self.parts.upstream.reachability.record_sent(endpoint.id, used.sent_s)
        self.parts.limits.record_send(endpoint.id)

    def _send_request(
        self,
        endpoint: catalog.Endpoint,
        used: connection.Connection,
        headers: http.Headers,
        limit: waitlimit.WaitLimit,
    ) -> outcomes.Whole | outcomes.NotRun | outcomes.Lost:
        request = self.request
        try:
            with limit:
                self._record_send(endpoint, used)
                used.send(
                    request.method, request.target, headers, request.body
                )
                # Before the body, which may be broken off.
                head, facts = self._read_head(endpoint, used, used.head)
                body = self._read_body(endpoint, used, head, facts)
        except LOST_ERRORS as error:
            return self._lost(used, error)
        except callers.Interrupted:
            used.close()
            raise
        return self._classify(used, head, facts, body)

    def _read_body(
        self,
        endpoint: catalog.Endpoint,
        used: connection.Connection,
        head: http.Head,
        facts: codecs.ResponseFacts,
    ) -> bytes:
        """Wait for the body of an answer, and record how the answer ended.

        A refusal that says that the request was not run holds without its
        body, which may be broken off or late.

        :returns: the body, empty for such a refusal
        """
        if not facts.not_run:
            body = used.body(self.hold_body())
            self._check_one_answer(body)
            left_over = (
                events.ends_inside(body) if events.is_stream(head) else 0
            )
            self._record_whole(endpoint, used, left_over)
            return body
        try:
            with gevent.Timeout(
                REFUSAL_BODY_TIMEOUT_S, http.OutOfTime('refusal without body')
            ):
                body = used.body(self.hold_body())
        except LOST_ERRORS as error:
            self._lost(used, error)
            return b''
        self._record_end(used, answerend.End.MARKED)
        return body

    def _check_one_answer(self, body: bytes) -> None:
        """Check that no second answer to this request is inside a body.

        An endpoint that breaks an answer off and sends another one leaves the
        rest of the first one's length to it.

        :raises http.BrokenMessage: one is
        """
        if http.holds_answer(body, self.request.id):
            raise http.BrokenMessage('body: broken off, another answer in it')

    def _lost(
        self, used: connection.Connection, error: Exception
    ) -> outcomes.Lost:
        """Close a connection that failed; return the attempt's outcome.

        :param error: one of :data:`LOST_ERRORS`
        """
        used.close()
        match error:
            case http.OutOfTime():
                self._record_end(used, answerend.End.TIMED_OUT)
                return outcomes.Lost(str(error), timed_out=True)
            case http.BrokenMessage():
                self._record_end(used, answerend.End.INVALID)
                return outcomes.Lost(str(error), timed_out=False)
            case http.PeerClosed(orderly=True):
                self._record_end(used, answerend.End.CLOSED)
            case _:
                self._record_end(used, answerend.End.RESET)
        return outcomes.Lost(str(error), False, broke_off=True)

    def _record_whole(
        self,
        endpoint: catalog.Endpoint,
        used: connection.Connection,
        left_over: int,
    ) -> answerend.AnswerEnd:
        """Record and return the end of an answer that was read to its end.

        A process that ends closes its connections in order, like the end of
        an answer without a frame, but accepts no other one.  Whether it has
        announced its leave says nothing about this answer.

        :param left_over: bytes after the last whole event of a stream
        """
        if not used.ended_by_close:
            return self._record_end(used, answerend.End.MARKED, left_over)
        is_staying = self.parts.catalog.find_staying(endpoint.id) is not None
        known = self.parts.upstream
        is_unreachable = not known.accepts(endpoint, is_staying)
        have_others_ended = known.have_others_ended(endpoint, used)
        return self._record_end(
            used,
            answerend.End.CLOSED,
            left_over,
            is_unreachable,
            have_others_ended,
        )

    def _record_end(
        self,
        used: connection.Connection,
        end: answerend.End,
        left_over: int = 0,
        is_unreachable: bool = False,
        have_others_ended: bool = False,
    ) -> answerend.AnswerEnd:
        """Record and return how an endpoint's answer ended."""
        ended = answerend.AnswerEnd(
            used.framing,
            end,
            left_over,
            is_unreachable=is_unreachable,
            have_others_ended=have_others_ended,
        )
        self.answer_end = ended
        self.parts.upstream.record_end(ended)
        if end in (answerend.End.CLOSED, answerend.End.RESET):
            self._log_connection_end(used, ended)
        return ended

    def _log_connection_end(
        self, used: connection.Connection, ended: answerend.AnswerEnd
    ) -> None:
        """Log what ended a connection before, or in place of, its answer."""
        failure = used.sock.failure
        LOG.event(
            'connection_ended',
            id=self.request.id.decode('latin-1'),
            endpoint=self.endpoint,
            connection=f'{used.number}.{used.sends}',
            framing=ended.framing.value if ended.framing else 'none',
            end=ended.end.value,
            met_by=failure.call if failure else 'none',
            error=failure.error.errno if failure else 'none',
            queued=used.sock.queued,
            undelivered=used.undelivered,
            listens=not ended.is_unreachable,
            others_ended=ended.have_others_ended,
        )

    def _classify(
        self,
        used: connection.Connection,
        head: http.Head,
        facts: codecs.ResponseFacts,
        body: bytes,
    ) -> outcomes.Whole | outcomes.NotRun | outcomes.Lost:
        """Check an answer against the request, and return the result.

        A reused connection may hold a duplicate answer to an earlier
        request, which has another request id. That connection is closed:
        further bytes on it can't be assigned to a request.
        """
        if facts.idle_limit_s is not None:
            used.idle_limit_s = facts.idle_limit_s
        if facts.not_run and self._is_own(used, facts):
            return outcomes.NotRun(f'status {facts.status}', was_received=True)
        if facts.request_id != self.request.id:
            used.close()
            return outcomes.Lost('answer to another request', False)
        if facts.has_content_encoding:
            used.close()
            return outcomes.Lost("not the endpoint's own answer", False)
        reason = answerend.break_reason(self.answer_end)
        if reason is not None:
            used.close()
            return outcomes.Lost(reason, False, broke_off=True)
        return outcomes.Whole(head, facts, body)

    def _deliver(self, whole: outcomes.Whole) -> outcomes.Answered:
        headers = self.parts.codec.answer_headers(whole.head)
        self.caller.answer(whole.facts.status, headers, whole.body)
        return outcomes.Answered(whole.facts.status, self.endpoint)

    def _log_attempt(self, cause: object, meaning: str) -> None:
        LOG.event(
            'try_ended',
            id=self.request.id.decode('latin-1'),
            endpoint=self.endpoint,
            connection=self.sent_on,
            meaning=meaning,
            cause=cause,
            left_ms=round(self.left_s * 1000),
        )
