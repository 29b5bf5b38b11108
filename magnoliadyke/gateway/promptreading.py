"""Has a request's prompt read by another engine than the one that answers."""

import gevent

from magnoliadyke.core import catalog
from magnoliadyke.core import promptjobs
from magnoliadyke.gateway import codec as codecs
from magnoliadyke.gateway import exchange
from magnoliadyke.gateway import http
from magnoliadyke.gateway import outcomes
from magnoliadyke.gateway import upstream
from magnoliadyke.gateway import waitlimit
from magnoliadyke import logs

__all__ = ['BUDGET_SPENT', 'LEFT', 'PromptReading']

LOG = logs.get('promptreading')

#: Part of a caller's time in which one engine may read its prompt, if that is
#: expected to be enough; the rest is for another try.  An engine that is
#: down is found sooner, by its connections or by all hosts together: one
#: that is only busy reads on, and what was read there would be read again.
READ_SHARE = 0.5
#: Never given up before so many times the expected time.
PREFILL_FACTOR = 3.0
#: Reason told for a request whose engine is gone, or leaves.
LEFT = 'the engine has left'
#: Reason told for a request that would be one repeat too many.
BUDGET_SPENT = 'the retry budget is spent'


class PromptReading(exchange.Exchange):
    """The part of an exchange in which a prompt is read.

    :ivar prefills: times that the prompt was given to an engine to read
    :ivar read_s: when it had been read
    :ivar budget_spent: the retry budget allows no further try
    """

    def __init__(self, *args) -> None:
        super().__init__(*args)
        self.prefills = 0
        self.read_s: float | None = None
        self.budget_spent = False

    @property
    def waits(self) -> bool:
        """Whether no engine has been asked for anything yet."""
        return not self.prefills and super().waits

    def _may_prefill(self) -> bool:
        """Count a prompt that is to be read.

        The first one that an engine takes is free; one that it turns away
        counts as the request's first send.
        """
        self.prefills += 1
        if self.prefills == 1:
            return True
        self.budget_spent = not self._budget().try_acquire(
            self.parts.clock.now_s()
        )
        return not self.budget_spent

    def _may_send(self) -> bool:
        self.budget_spent = not super()._may_send()
        return not self.budget_spent

    def _may_go_on(self) -> bool:
        return not self.budget_spent and super()._may_go_on()

    def _present(self, endpoint_id: str) -> catalog.Endpoint | None:
        """An engine, unless it has left or is about to."""
        endpoint = self.parts.catalog.endpoints.get(endpoint_id)
        return None if endpoint is None or endpoint.leaving else endpoint

    def _prefill(
        self, job: promptjobs.Job, placed: promptjobs.Placed
    ) -> str | outcomes.NotRun:
        """Have the prompt read; returns where it waits to be fetched.

        A prompt that is not read goes back to the placement: the engine that
        was to answer it would read all of it at half the speed, between the
        tokens of others.
        """
        reader = self._present(placed.prefill)
        if reader is None:
            return self._not_read(placed.prefill, LEFT, False)
        sent_s = self.parts.clock.now_s()
        options = codecs.RunOptions(
            reader.name, self.left_s, fetch_from=placed.fetch_from
        )
        headers = self.parts.codec.prefill_headers(self.request, options)
        try:
            used = self._take(reader, repeatable=True)
        except upstream.NoConnection as error:
            return self._not_read(reader.id, str(error), False)
        if not self._may_prefill():
            self.parts.upstream.give(reader, used)
            return self._not_read(reader.id, BUDGET_SPENT, False)
        wait_s = placed.expected_s * PREFILL_FACTOR
        wait_s = min(self.left_s, max(wait_s, self.left_s * READ_SHARE))
        limit = waitlimit.WaitLimit(wait_s, http.OutOfTime)
        try:
            with self.parts.placer.reading(reader.id, limit):
                result = self._converse(reader, used, headers, limit)
        finally:
            self.parts.upstream.give(reader, used)
        self._note_try(result, reader.id)
        match result:
            case outcomes.NotRun(reason) | outcomes.Lost(reason):
                self.sends += 1
                return self._not_read(reader.id, reason, True)
        read = self.parts.codec.parse_prefilled(result.body)
        if read is None or result.facts.status != 200:
            reason = f'status {result.facts.status}'
            return self._not_read(reader.id, reason, True)
        if reader.id not in self.parts.catalog.endpoints:
            # What it has read went with it, and the process after it may
            # give another request the same handle.
            return self._not_read(reader.id, LEFT, True)
        self.parts.placer.has_read(self.service, job.id, reader.id)
        self.read_s = self.parts.clock.now_s()
        LOG.event(
            'prompt_read',
            id=self.request.id.decode('latin-1'),
            endpoint=reader.id,
            tokens=placed.read_tokens,
            took_ms=round((self.read_s - sent_s) * 1000),
            expected_ms=round(placed.expected_s * 1000),
        )
        return f'{reader.address}/{read.handle}'

    def _not_read(
        self, reader: str, reason: str, arrived: bool
    ) -> outcomes.NotRun:
        LOG.event(
            'prefill_failed',
            id=self.request.id.decode('latin-1'),
            endpoint=reader,
            cause=reason,
            left_ms=round(self.left_s * 1000),
        )
        return outcomes.NotRun(reason, arrived)

    def _free(self, source: str) -> None:
        """Free what was read for a caller that left or was refused."""
        address, _, handle = source.partition('/')
        gevent.spawn(self._free_now, address, handle)

    def _free_now(self, address: str, handle: str) -> None:
        for endpoint in self.parts.catalog.endpoints.values():
            if endpoint.address == address:
                break
        else:
            return
        if self._backoff_s(endpoint.id):
            # What it keeps lapses by itself.
            return
        method, target = self.parts.codec.drop_target(handle)
        try:
            used = self.parts.upstream.take(endpoint, 0, repeatable=True)
        except upstream.NoConnection as error:
            LOG.repeated('handle_kept', endpoint.id, cause=str(error))
            return
        try:
            with gevent.Timeout(1.0, http.OutOfTime('no answer in time')):
                used.call(method, target, [(b'Host', address.encode())])
        except (
            OSError,
            http.BrokenMessage,
            http.OutOfTime,
            http.PeerClosed,
        ) as error:
            used.close()
            LOG.repeated('handle_kept', endpoint.id, cause=str(error))
        self.parts.upstream.give(endpoint, used)
