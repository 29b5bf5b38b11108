"""Exchange for requests without a prompt, or to services without engines."""

from magnoliadyke.core import catalog
from magnoliadyke.core import routes
from magnoliadyke.gateway import caller as callers
from magnoliadyke.gateway import codec as codecs
from magnoliadyke.gateway import exchange
from magnoliadyke.gateway import http
from magnoliadyke.gateway import outcomes
from magnoliadyke.gateway import upstream
from magnoliadyke.gateway import waitlimit

__all__ = ['PlainExchange']

#: Share of the remaining time that an attempt may take if a retry may follow.
FIRST_TRY_SHARE = 0.45


class PlainExchange(exchange.Exchange):
    """Sends a request to the endpoint that the balancer chooses.

    Failed attempts are retried at other endpoints where the route allows it.
    """

    def _serve(self) -> outcomes.Outcome:
        failure: outcomes.Failed | None = None
        reason = ''
        while True:
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

    def _unavailable_reason(self) -> str:
        if self.parts.catalog.usable(self.service):
            return exchange.BACKOFF_REASON
        return 'no endpoint is known'

    def _refused(self, reason: str) -> outcomes.Refused:
        return outcomes.Refused(reason, self._retry_after_s())

    def _choose(self) -> catalog.Endpoint | None:
        now_s = self.parts.clock.now_s()
        endpoints = self.parts.backoffs.available(
            self.parts.catalog.usable(self.service), now_s
        )
        return self.parts.balancer.choose(endpoints, self.tried, now_s)

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
                balancer.record_answer(endpoint.id, now_s - started_s, failed)
            case outcomes.NotRun(was_received=True):
                balancer.record_answer(endpoint.id, now_s - started_s, True)
            case _:
                balancer.record_failure(endpoint.id, now_s)
        return result

    def _attempt_timeout_s(self) -> float:
        """Return the timeout of an attempt, leaving time for a retry."""
        if self.route.kind is routes.Kind.SAFE:
            if self.runs + 1 < self.route.max_attempts:
                share_s = self.left_s * FIRST_TRY_SHARE
                return max(share_s, min(self.left_s, self.route.objective_s))
        return self.left_s

    def _send_buffered(
        self, endpoint: catalog.Endpoint, timeout_s: float
    ) -> outcomes.Whole | outcomes.NotRun | outcomes.Lost:
        """Make one attempt and buffer the complete answer.

        If the answer were relayed in parts, one that breaks off could not be
        replaced by the answer of another endpoint.
        """
        if timeout_s <= 0:
            return outcomes.NotRun('no time is left', was_received=False)
        options = codecs.RunOptions(endpoint.name, self.left_s)
        headers = self.parts.codec.run_headers(self.request, options)
        try:
            used = self._acquire_connection(endpoint, self.route.repeatable)
        except upstream.NoConnection as error:
            return outcomes.NotRun(str(error), was_received=False)
        if not self._may_send():
            self.parts.upstream.release(endpoint, used)
            return outcomes.NotRun('the retry budget is spent', False)
        self.runs += 1
        try:
            limit = waitlimit.WaitLimit(timeout_s, http.OutOfTime)
            result = self._send_request(endpoint, used, headers, limit)
        finally:
            self.parts.upstream.release(endpoint, used)
        match result:
            case outcomes.NotRun():
                self.runs -= 1
            case outcomes.Whole(facts=facts):
                # A success status counts only with the endpoint's signature.
                if facts.status < 300 and not facts.sealed:
                    return outcomes.Lost('the answer is not signed', False)
        return result
