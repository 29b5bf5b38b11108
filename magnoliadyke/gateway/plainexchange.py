"""Exchange for requests without a prompt, or to services without engines."""

import gevent

from magnoliadyke.core import catalog
from magnoliadyke.core import routes
from magnoliadyke.core import shutdown
from magnoliadyke.gateway import caller as callers
from magnoliadyke.gateway import codec as codecs
from magnoliadyke.gateway import endpointlimits
from magnoliadyke.gateway import exchange
from magnoliadyke.gateway import http
from magnoliadyke.gateway import outcomes
from magnoliadyke.gateway import relaying
from magnoliadyke.gateway import upstream
from magnoliadyke.gateway import waitlimit

__all__ = ['PlainExchange']

#: Share of the remaining time that an attempt may take if a retry may follow.
FIRST_TRY_SHARE = 0.45
#: Share of a route's latency objective for which a request may wait for an
#: endpoint's rate limit, so that its answer is on time.
LIMIT_WAIT_SHARE = 0.5
#: The same for a caller's retry, as a share of the time until its deadline: a
#: late answer is better than none, and the caller seldom retries again.
RETRY_LIMIT_WAIT_SHARE = 0.35
#: Time after which an attempt that could not give way tries to again, in
#: seconds.
GIVE_UP_INTERVAL_S = 0.25


class PlainExchange(exchange.Exchange):
    """Sends a request to the endpoint that the balancer chooses.

    Failed attempts are retried at other endpoints where the route allows it.

    :ivar limit_wait_s: time until the limits of the endpoints may leave room
        for the request, in seconds; 0 if they did at the last choice
    """

    def __init__(self, *args) -> None:
        super().__init__(*args)
        self.limit_wait_s = 0.0

    def _serve(self) -> outcomes.Outcome:
        failure: outcomes.Failed | None = None
        reason = ''
        refused = self._find_version()
        if refused is not None:
            return refused
        while True:
            if failure is None and self._is_cut_off():
                return self._refused(relaying.UNREACHABLE)
            endpoint = self._choose()
            if endpoint is None:
                return failure or self._refused(
                    reason or self._unavailable_reason()
                )
            tried = self._attempt(endpoint)
            match tried:
                case outcomes.Answered():
                    return tried
                case outcomes.Whole():
                    if not self._should_retry(tried):
                        self._record_version(endpoint)
                        return self._deliver(tried)
                    failure = outcomes.Failed(502, 'the endpoint failed')
                    self._log_attempt(tried.facts.status, 'failed')
                    if not self._may_retry():
                        return self._deliver(tried)
                case outcomes.NotRun(reason):
                    self._log_attempt(reason, 'not run')
                    if not self._may_retry():
                        return failure or self._refused(reason)
                case outcomes.Lost(reason, timed_out):
                    self._log_attempt(reason, 'unknown')
                    status = 504 if timed_out else 502
                    failure = outcomes.Failed(status, reason)
                    if self.caller.answer_started or not self.route.repeatable:
                        return failure
                    if not self._may_retry():
                        return failure
                case outcomes.Failed():
                    return tried

    def _usable(self) -> list[catalog.Endpoint]:
        """Return the endpoints that run requests: engines that prefill don't.

        A request without a prompt may go to a service with engines.
        """
        return [
            each
            for each in super()._usable()
            if each.stage is not catalog.Stage.PREFILL
        ]

    def _unavailable_reason(self) -> str:
        if self.limit_wait_s:
            return exchange.LIMIT_REASON
        if self._usable():
            return exchange.BACKOFF_REASON
        return 'no endpoint is known'

    def _refused(self, reason: str) -> outcomes.Refused:
        wait_s = self.limit_wait_s or self._retry_after_s()
        return outcomes.Refused(reason, wait_s)

    def _choose(self) -> catalog.Endpoint | None:
        """Choose an endpoint, and get a permit if it has a rate limit.

        If there is no permit, an endpoint without a limit is chosen, if any.
        """
        self.limit_wait_s = 0.0
        now_s = self.parts.clock.now_s()
        limits = self.parts.limits
        reachable = self.parts.paths.reachable(
            [each for each in self._usable() if self._may_answer(each)]
        )
        available = self.parts.backoffs.available(reachable, now_s)
        for each in available:
            if each.id in self.permits and each.id not in self.tried:
                return each
        permitted = [e for e in available if not limits.is_denied(e.id)]
        chosen = self.parts.balancer.choose(permitted, self.tried, now_s)
        if chosen is not None and not limits.is_limited(chosen.id):
            return chosen
        limited = [
            e
            for e in available
            if e.id not in self.tried and limits.is_limited(e.id)
        ]
        unlimited = [e for e in available if not limits.is_limited(e.id)]
        if chosen is not None:
            limited.sort(key=lambda each: each.id != chosen.id)
            ready = self.parts.balancer.ready(limited, now_s)
            granted = self._get_permit(ready, not unlimited)
            if granted is not None:
                return granted
        chosen = self.parts.balancer.choose(unlimited, self.tried, now_s)
        if chosen is None and limited:
            self.limit_wait_s = min(limits.room_in_s(e.id) for e in limited)
        return chosen

    def _get_permit(
        self, limited: list[catalog.Endpoint], may_wait: bool
    ) -> catalog.Endpoint | None:
        """Get a permit for one of some endpoints, and wait for its time.

        :param limited: endpoints with a rate limit, the preferred one first
        :param may_wait: whether to wait, as no other endpoint can serve it
        """
        max_wait_s = 0.0
        if may_wait:
            max_wait_s = min(self.left_s, self.route.objective_s)
            max_wait_s *= LIMIT_WAIT_SHARE
            if self.is_callers_retry:
                max_wait_s = max(
                    max_wait_s, self.left_s * RETRY_LIMIT_WAIT_SHARE
                )
        limits = self.parts.limits
        match limits.acquire([each.id for each in limited], max_wait_s):
            case endpointlimits.Granted(endpoint_id, wait_s):
                self.parts.clock.sleep(wait_s)
                self.permits.add(endpoint_id)
                return self.parts.catalog.find_staying(endpoint_id)
            case endpointlimits.Denied(wait_s):
                self._log_held_back([each.id for each in limited], wait_s)
        return None

    def _should_retry(self, whole: outcomes.Whole) -> bool:
        """Return whether to retry a server error at another endpoint."""
        if whole.facts.status < 500:
            return False
        return (
            self.route.kind is routes.Kind.SAFE
            and self.runs < self.route.max_attempts
        )

    def _attempt(
        self, endpoint: catalog.Endpoint
    ) -> (
        outcomes.Whole
        | outcomes.NotRun
        | outcomes.Lost
        | outcomes.Answered
        | outcomes.Failed
    ):
        """Send the request to one endpoint, and record the result."""
        balancer = self.parts.balancer
        self.tried.add(endpoint.id)
        self.endpoint = endpoint.id
        started_s = self.parts.clock.now_s()
        balancer.record_sent(endpoint.id)
        try:
            result = self._send_buffered(endpoint, self._attempt_timeout_s())
        except callers.Interrupted:
            balancer.record_cancel(endpoint.id)
            raise
        self._record_crash(result, endpoint.id)
        now_s = self.parts.clock.now_s()
        if not isinstance(result, outcomes.NotRun):
            self._record_start(now_s - started_s)
        match result:
            case outcomes.Whole(facts=facts):
                failed = facts.status >= 500
                balancer.record_answer(
                    endpoint.id, now_s - started_s, failed, now_s
                )
            case outcomes.NotRun(held_back_s=held_back_s) if (
                held_back_s is not None
            ):
                balancer.record_cancel(endpoint.id)
            case outcomes.NotRun(was_received=True):
                balancer.record_answer(
                    endpoint.id, now_s - started_s, True, now_s
                )
            case _:
                balancer.record_failure(endpoint.id, now_s)
        return result

    def _attempt_timeout_s(self) -> float | None:
        """Return after which time an attempt may give way to a retry.

        None if it may not.

        An endpoint that is silent may go on, so it is waited for where no
        other one can answer in its place.
        """
        # A retry takes one from the budget itself.
        retries = 2 if self.send_count else 1
        if (
            self.route.kind is routes.Kind.SAFE
            and self.runs + 1 < self.route.max_attempts
            and self._has_other_endpoint()
            and self._budget().has_left(self.parts.clock.now_s(), retries)
        ):
            share_s = self.left_s * FIRST_TRY_SHARE
            return max(share_s, min(self.left_s, self.route.objective_s))
        return None

    def _give_up(self, limit: waitlimit.WaitLimit) -> None:
        """End an attempt as soon as the retry that replaces it can be had.

        Others may have spent the budget since the attempt began.
        """
        while self._may_retry_end():
            if self._is_other_ready():
                if self._reserve_retry():
                    limit.abort('no answer in time')
                return
            self.parts.clock.sleep(GIVE_UP_INTERVAL_S)

    def _may_retry_end(self) -> bool:
        """Return whether a retry may end before this host does.

        It may take as long as the attempt in its place has taken so far.
        """
        now_s = self.parts.clock.now_s()
        took_s = now_s - self.sent_s
        last_s = self.aborted_s - shutdown.ANSWER_TRANSIT_S
        return self.deadline_s <= last_s or now_s + took_s <= last_s

    def _is_other_ready(self) -> bool:
        """Return whether a retry can be sent to another endpoint now.

        Opens a connection and gets a permit, if need be.
        """
        connections = self.parts.upstream
        return any(
            (connections.has_idle(each.id) or connections.probe(each))
            and self._reserve_permit(each)
            for each in self._other_endpoints()
        )

    def _has_other_endpoint(self) -> bool:
        """Return whether the request may be retried at another endpoint."""
        return bool(self._other_endpoints())

    def _other_endpoints(self) -> list[catalog.Endpoint]:
        """Return the endpoints at which the request may be retried."""
        reachability = self.parts.upstream.reachability
        return [
            each
            for each in self._usable()
            if each.id not in self.tried
            and not reachability.is_unreachable(each.id)
            and not self._backoff_s(each.id)
            and self._may_answer(each)
        ]

    def _send_buffered(
        self, endpoint: catalog.Endpoint, timeout_s: float | None
    ) -> outcomes.Whole | outcomes.NotRun | outcomes.Lost:
        """Make one attempt and buffer the complete answer.

        If the answer were relayed in parts, one that breaks off could not be
        replaced by the answer of another endpoint.

        :param timeout_s: time after which it may give way to a retry, None
            if it may not
        """
        if self.left_s <= 0:
            return outcomes.NotRun('no time is left', was_received=False)
        options = codecs.RunOptions(endpoint.name, self.left_s)
        headers = self.parts.codec.run_headers(self.request, options)
        try:
            used = self._acquire_connection(endpoint, self.route.repeatable)
        except upstream.NoConnection as error:
            return self._not_sent(error)
        if not self._may_send():
            self.parts.upstream.release(endpoint, used)
            return outcomes.NotRun('the retry budget is spent', False)
        self.runs += 1
        limit = waitlimit.WaitLimit(self.left_s, http.OutOfTime)
        giving_up = None
        if timeout_s is not None:
            giving_up = gevent.spawn_later(timeout_s, self._give_up, limit)
        try:
            result = self._send_request(endpoint, used, headers, limit)
        finally:
            if giving_up is not None:
                giving_up.kill(block=False)
            self.parts.upstream.release(endpoint, used)
        match result:
            case outcomes.NotRun():
                self.runs -= 1
            case outcomes.Whole(facts=facts):
                # A success status counts only with the endpoint's signature.
                if facts.status < 300 and not facts.sealed:
                    return outcomes.Lost('the answer is not signed', False)
        return result
