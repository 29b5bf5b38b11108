"""Prefills a prompt on another engine than the one that decodes."""

import gevent

from magnoliadyke.core import promptjobs
from magnoliadyke.gateway import codec as codecs
from magnoliadyke.gateway import exchange
from magnoliadyke.gateway import http
from magnoliadyke.gateway import outcomes
from magnoliadyke.gateway import upstream
from magnoliadyke.gateway import waitlimit
from magnoliadyke import logs

__all__ = ['BUDGET_SPENT', 'ENGINE_LEFT', 'RemotePrefill']

LOG = logs.get('promptreading')

#: Timeout of one prefill as a share of the time left until the caller's
#: deadline, unless the expected prefill time requires more; the rest is for a
#: retry.  The timeout is long because an engine that is down is found sooner,
#: by failing connections or by the leader's stall checks.  An engine that is
#: only busy goes on with the prefill, which a retry would repeat elsewhere.
PREFILL_TIMEOUT_SHARE = 0.5
#: Lower limit of the timeout of one prefill, as a multiple of the expected
#: prefill time.
MIN_PREFILL_TIMEOUT_FACTOR = 3.0
#: Failure reason of a request whose engine has left or is leaving.
ENGINE_LEFT = 'the engine has left'
#: Failure reason of a request that the retry budget does not let retry.
BUDGET_SPENT = 'the retry budget is spent'


class RemotePrefill(exchange.Exchange):
    """The part of an exchange that prefills the prompt on a prefill engine.

    :ivar prefills: number of prefill attempts that got a connection
    :ivar prefill_done_s: when the prefill was done, None before
    :ivar budget_spent: whether the retry budget allows no further attempt
    """

    def __init__(self, *args) -> None:
        super().__init__(*args)
        self.prefills = 0
        self.prefill_done_s: float | None = None
        self.budget_spent = False

    @property
    def is_waiting(self) -> bool:
        """Whether nothing has been sent to an engine yet."""
        return not self.prefills and super().is_waiting

    def _may_prefill(self) -> bool:
        """Count a prefill attempt; return whether the retry budget allows it.

        The first attempt needs no budget.  If it fails it counts as the
        request's first send.
        """
        self.prefills += 1
        if self.prefills == 1:
            return True
        self.budget_spent = not self._acquire_retry()
        return not self.budget_spent

    def _may_send(self) -> bool:
        self.budget_spent = not super()._may_send()
        return not self.budget_spent

    def _may_retry(self) -> bool:
        return not self.budget_spent and super()._may_retry()

    def _prefill(
        self, job: promptjobs.Job, placed: promptjobs.Placed
    ) -> str | outcomes.NotRun:
        """Prefill the prompt; return where its KV cache can be fetched.

        A prompt whose prefill fails has to be placed again.  The decode
        engine that it was placed on would prefill all of it at half the
        speed, between the decode steps of other requests.

        :returns: address of the engine and handle of the KV cache, as
            ``ADDRESS/HANDLE``; the outcome if the prefill failed
        """
        prefill_engine = self.parts.catalog.find_staying(placed.prefill_engine)
        if prefill_engine is None:
            return self._record_prefill_failure(
                placed.prefill_engine, ENGINE_LEFT, False
            )
        sent_s = self.parts.clock.now_s()
        options = codecs.RunOptions(
            prefill_engine.name, self.left_s, fetch_from=placed.fetch_from
        )
        headers = self.parts.codec.prefill_headers(self.request, options)
        try:
            used = self._acquire_connection(prefill_engine, repeatable=True)
        except upstream.NoConnection as error:
            self._record_prefill_failure(prefill_engine.id, str(error), False)
            return self._not_sent(error)
        if not self._may_prefill():
            self.parts.upstream.release(prefill_engine, used)
            return self._record_prefill_failure(
                prefill_engine.id, BUDGET_SPENT, False
            )
        wait_s = placed.expected_s * MIN_PREFILL_TIMEOUT_FACTOR
        wait_s = min(
            self.left_s, max(wait_s, self.left_s * PREFILL_TIMEOUT_SHARE)
        )
        limit = waitlimit.WaitLimit(wait_s, http.OutOfTime)
        try:
            with self.parts.placement_service.track_prefill(
                prefill_engine.id, limit
            ):
                result = self._send_request(
                    prefill_engine, used, headers, limit
                )
        finally:
            self.parts.upstream.release(prefill_engine, used)
        self._record_crash(result, prefill_engine.id)
        match result:
            case outcomes.NotRun(reason) | outcomes.Lost(reason):
                self.send_count += 1
                return self._record_prefill_failure(
                    prefill_engine.id, reason, True
                )
        read = self.parts.codec.parse_prefilled(result.body)
        if read is None or result.facts.status != 200:
            reason = f'status {result.facts.status}'
            return self._record_prefill_failure(
                prefill_engine.id, reason, True
            )
        if prefill_engine.id not in self.parts.catalog.endpoints:
            # The KV cache is gone with the engine's process, and the next
            # process may give the same handle to another request.
            return self._record_prefill_failure(
                prefill_engine.id, ENGINE_LEFT, True
            )
        self.parts.placement_service.record_prefill_done(
            self.service, job.id, prefill_engine.id
        )
        self.prefill_done_s = self.parts.clock.now_s()
        LOG.event(
            'prompt_read',
            id=self.request.id.decode('latin-1'),
            endpoint=prefill_engine.id,
            tokens=placed.prefill_tokens,
            took_ms=round((self.prefill_done_s - sent_s) * 1000),
            expected_ms=round(placed.expected_s * 1000),
        )
        return f'{prefill_engine.address}/{read.handle}'

    def _record_prefill_failure(
        self, prefill_engine: str, reason: str, was_received: bool
    ) -> outcomes.NotRun:
        LOG.event(
            'prefill_failed',
            id=self.request.id.decode('latin-1'),
            endpoint=prefill_engine,
            connection=self.sent_on,
            cause=reason,
            left_ms=round(self.left_s * 1000),
        )
        return outcomes.NotRun(reason, was_received)

    def _release_kv_cache(self, kv_source: str) -> None:
        """Release the KV cache of a request that will not be decoded.

        :param kv_source: the KV cache, as :meth:`_prefill` returned it
        """
        address, _, handle = kv_source.partition('/')
        gevent.spawn(self._send_kv_cache_release, address, handle)

    def _send_kv_cache_release(self, address: str, handle: str) -> None:
        for endpoint in self.parts.catalog.endpoints.values():
            if endpoint.address == address:
                break
        else:
            return
        limited = self.parts.limits.is_limited(endpoint.id)
        if limited or self._backoff_s(endpoint.id):
            # The engine drops the KV cache when its lifetime ends.
            return
        method, target = self.parts.codec.drop_target(handle)
        try:
            used = self.parts.upstream.acquire(endpoint, 0, repeatable=True)
        except upstream.NoConnection as error:
            LOG.throttled_warning('handle_kept', endpoint.id, cause=str(error))
            return
        try:
            with gevent.Timeout(
                1.0, http.OutOfTime('engine did not answer within 1 s')
            ):
                used.call(method, target, [(b'Host', address.encode())])
        except (
            OSError,
            http.BrokenMessage,
            http.OutOfTime,
            http.PeerClosed,
        ) as error:
            LOG.throttled_warning('handle_kept', endpoint.id, cause=str(error))
        # Nothing tells the answer from a late one to an earlier request, so
        # that the answer itself may follow yet.
        self.parts.upstream.discard(endpoint, used)
