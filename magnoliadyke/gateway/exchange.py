"""One caller's request, from its arrival to exactly one outcome."""

import abc
import random
from typing import NamedTuple

from magnoliadyke import clock as clocks
from magnoliadyke.core import backoffs
from magnoliadyke.core import balance
from magnoliadyke.core import catalog
from magnoliadyke.core import retrybudget
from magnoliadyke.core import routes
from magnoliadyke.gateway import caller as callers
from magnoliadyke.gateway import codec as codecs
from magnoliadyke.gateway import connection
from magnoliadyke.gateway import http
from magnoliadyke.gateway import outcomes
from magnoliadyke.gateway import placing
from magnoliadyke.gateway import suspects
from magnoliadyke.gateway import upstream
from magnoliadyke.gateway import usageduty
from magnoliadyke.gateway import waitlimit
from magnoliadyke import logs

__all__ = [
    'BACKOFF',
    'RETRY_AFTER_S',
    'RETURN_S',
    'STOPPING',
    'Exchange',
    'Parts',
]

LOG = logs.get('exchange')

#: What a refused caller is told when nothing better is known, in seconds.
RETRY_AFTER_S = 0.4
#: Kept of a caller's time for the answer's way back, in seconds: below it a
#: further try could not be answered in time.
RETURN_S = 0.02
#: Reason told for a request that no endpoint wants at present.
BACKOFF = 'the endpoint asked to back off'
#: Reason told for a request that may outlast this host, or did.
STOPPING = 'this host is stopping'
#: Reason told for a request that is not run any more.
CRASHES = 'endpoints crash when they run it'


class Parts(NamedTuple):
    """What an exchange works with.

    :param begun: counts a request of a workspace that has begun to run
    """

    clock: clocks.Clock
    codec: codecs.Codec
    catalog: catalog.Catalog
    upstream: upstream.Upstream
    balancer: balance.Balancer
    budgets: dict[str, retrybudget.RetryBudget]
    placer: placing.Placer
    suspects: suspects.Suspects
    backoffs: backoffs.Backoffs
    rng: random.Random
    begun: usageduty.Begun


class Exchange(abc.ABC):
    """One request under way.

    :param arrived_s: when its head had been read
    """

    def __init__(
        self,
        parts: Parts,
        request: codecs.Request,
        route: routes.Route,
        caller: callers.Caller,
        arrived_s: float,
    ) -> None:
        self.parts = parts
        self.request = request
        self.route = route
        self.caller = caller
        self.arrived_s = arrived_s
        wait_s = route.timeout_s
        if request.wait_s is not None:
            wait_s = min(wait_s, request.wait_s)
        self.deadline_s = arrived_s + wait_s
        self.service = self._pick_service()
        self.runs = 0
        self.sends = 0
        self.tried: set[str] = set()
        self.endpoint = ''
        self.counted = False

    def _pick_service(self) -> str:
        targets = self.route.targets
        if len(targets) == 1:
            return targets[0].service
        weights = [target.weight for target in targets]
        chosen = self.parts.rng.choices(targets, weights)[0]
        return chosen.service

    @property
    def waits(self) -> bool:
        """Whether no endpoint has been asked for anything yet."""
        return not self.sends

    @property
    def left_s(self) -> float:
        """Time until the caller gives up."""
        return self.deadline_s - self.parts.clock.now_s()

    def run(self) -> outcomes.Outcome:
        """Serve the request; the caller has its answer afterwards."""
        self._budget().record_request(self.parts.clock.now_s())
        try:
            return self._run()
        except callers.CallerLeft:
            self.caller.broken = True
            return outcomes.Left('the caller closed its connection')

    def _run(self) -> outcomes.Outcome:
        try:
            with self.caller.watched():
                barred_s = self.parts.suspects.barred_s(self.request)
                if barred_s:
                    refused = outcomes.Refused(CRASHES, barred_s)
                    return self._tell(refused)
                outcome = self._serve()
                if isinstance(outcome, outcomes.Answered):
                    self.parts.suspects.served(self.request)
                return self._tell(outcome)
        except callers.HostStops:
            return self._tell(self._give_up())

    def _give_up(self) -> outcomes.Refused | outcomes.Failed:
        """How a request ends that this process can't finish."""
        self.caller.broken = self.caller.begun
        if not (self.runs or self.caller.begun):
            return outcomes.Refused(STOPPING, 0.0)
        return outcomes.Failed(504, STOPPING)

    @abc.abstractmethod
    def _serve(self) -> outcomes.Outcome:
        """Have an endpoint run the request."""

    def _tell(self, outcome: outcomes.Outcome) -> outcomes.Outcome:
        """Give the caller what it doesn't have yet."""
        match outcome:
            case outcomes.Refused(reason, retry_after_s):
                retry_after = b'%.3f' % max(0.0, retry_after_s)
                headers = self.parts.codec.local_response_headers(self.request)
                headers.append((b'Retry-After', retry_after))
                self.caller.answer(503, headers, reason.encode())
            case outcomes.Failed(status, reason) if not self.caller.begun:
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

    def _take(
        self, endpoint: catalog.Endpoint, repeatable: bool
    ) -> connection.Connection:
        """Get a connection to an endpoint, unless it asked to back off.

        :param repeatable: what it is for may be sent again
        :raises upstream.NoConnection: there is none; nothing has been sent
        """
        if self._backoff_s(endpoint.id):
            raise upstream.NoConnection(BACKOFF)
        return self.parts.upstream.take(
            endpoint, self._max_connections(), repeatable
        )

    def _backoff_s(self, endpoint_id: str) -> float:
        """How much longer an endpoint wants nothing from this host."""
        now_s = self.parts.clock.now_s()
        return self.parts.backoffs.remaining_s(endpoint_id, now_s)

    def _retry_after_s(self) -> float:
        """When a request that none takes may come back."""
        usable = self.parts.catalog.usable(self.service)
        now_s = self.parts.clock.now_s()
        return (
            self.parts.backoffs.shortest_remaining_s(usable, now_s)
            or RETRY_AFTER_S
        )

    def _may_send(self) -> bool:
        """Count a send that is to run; all but the first are repeats."""
        self.sends += 1
        return self.sends == 1 or self._budget().try_acquire(
            self.parts.clock.now_s()
        )

    def _may_go_on(self) -> bool:
        if self.runs >= self.route.max_attempts:
            return False
        if self.sends > self.route.max_attempts:
            return False
        if self.parts.suspects.barred_s(self.request):
            return False
        return self.left_s >= RETURN_S

    def _note_begun(self, ago_s: float = 0.0) -> None:
        """An endpoint has begun to run the request; counted once."""
        workspace = self.request.workspace
        if workspace is not None and not self.counted:
            self.counted = True
            self.parts.begun(workspace.name, ago_s)

    def _note_try(
        self,
        result: outcomes.Whole
        | outcomes.NotRun
        | outcomes.Lost
        | outcomes.Answered,
        endpoint: str,
    ) -> None:
        """A try that broke off may have crashed its endpoint."""
        if isinstance(result, outcomes.Lost) and result.broke_off:
            self.parts.suspects.broke(self.request, endpoint)

    def _facts(
        self, endpoint: catalog.Endpoint, head: http.Head
    ) -> codecs.AnswerFacts:
        """Read an answer's head, and what it tells of its endpoint.

        An answer to another request, or of another process at the same
        address, tells nothing of the one that was asked.
        """
        facts = self.parts.codec.facts(head)
        own = facts.request_id in (None, self.request.id)
        if own and not facts.wrong_endpoint:
            if facts.leaving:
                self._heard_leaving(endpoint)
            if facts.backoff_s:
                self._heard_backoff(endpoint, facts.backoff_s)
        return facts

    def _heard_backoff(self, endpoint: catalog.Endpoint, for_s: float) -> None:
        now_s = self.parts.clock.now_s()
        self.parts.backoffs.record_backoff(endpoint.id, for_s, now_s)
        LOG.event(
            'endpoint_asked_to_back_off',
            id=self.request.id.decode('latin-1'),
            endpoint=endpoint.id,
            for_ms=round(for_s * 1000),
        )

    def _heard_leaving(self, endpoint: catalog.Endpoint) -> None:
        if self.parts.catalog.mark_leaving(endpoint.id):
            LOG.event(
                'endpoint_said_leaving',
                id=self.request.id.decode('latin-1'),
                endpoint=endpoint.id,
            )

    def _converse(
        self,
        endpoint: catalog.Endpoint,
        used: connection.Connection,
        headers: http.Headers,
        limit: waitlimit.WaitLimit,
    ) -> outcomes.Whole | outcomes.NotRun | outcomes.Lost:
        request = self.request
        try:
            with limit:
                used.send(
                    request.method, request.target, headers, request.body
                )
                head = used.head()
                body = used.body()
        except http.OutOfTime as error:
            used.close()
            return outcomes.Lost(str(error), timed_out=True)
        except (OSError, http.PeerClosed) as error:
            used.close()
            return outcomes.Lost(str(error), False, broke_off=True)
        except http.BrokenMessage as error:
            used.close()
            return outcomes.Lost(str(error), timed_out=False)
        except callers.Interrupted:
            used.close()
            raise
        return self._judge(endpoint, used, head, body)

    def _judge(
        self,
        endpoint: catalog.Endpoint,
        used: connection.Connection,
        head: http.Head,
        body: bytes,
    ) -> outcomes.Whole | outcomes.NotRun | outcomes.Lost:
        """Whether an answer is that of this request.

        A second answer to an earlier request may wait on a kept
        connection; the id tells them apart.  Such a connection is closed:
        what comes next on it belongs to no one.
        """
        facts = self._facts(endpoint, head)
        if facts.idle_limit_s is not None:
            used.idle_limit_s = facts.idle_limit_s
        if facts.not_run and facts.request_id in (None, self.request.id):
            return outcomes.NotRun(f'status {facts.status}', arrived=True)
        if facts.request_id != self.request.id:
            used.close()
            return outcomes.Lost('answer to another request', False)
        if facts.encoded:
            used.close()
            return outcomes.Lost("not the endpoint's own answer", False)
        return outcomes.Whole(head, facts, body)

    def _deliver(self, whole: outcomes.Whole) -> outcomes.Answered:
        headers = self.parts.codec.answer_headers(whole.head)
        self.caller.answer(whole.facts.status, headers, whole.body)
        return outcomes.Answered(whole.facts.status, self.endpoint)

    def _log_try(self, cause: object, meaning: str) -> None:
        LOG.event(
            'try_ended',
            id=self.request.id.decode('latin-1'),
            endpoint=self.endpoint,
            meaning=meaning,
            cause=cause,
            left_ms=round(self.left_s * 1000),
        )
