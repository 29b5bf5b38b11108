"""Exchange for prompts: placement, prefill, decode and resumption."""

import gevent

from magnoliadyke.core import answerend
from magnoliadyke.core import catalog
from magnoliadyke.core import crashcauses
from magnoliadyke.core import promptcache
from magnoliadyke.core import promptjobs
from magnoliadyke.core import routes
from magnoliadyke.core import streambackup
from magnoliadyke.core import streamposition
from magnoliadyke.gateway import caller as callers
from magnoliadyke.gateway import codec as codecs
from magnoliadyke.gateway import connection
from magnoliadyke.gateway import events
from magnoliadyke.gateway import exchange
from magnoliadyke.gateway import http
from magnoliadyke.gateway import outcomes
from magnoliadyke.gateway import placementservice
from magnoliadyke.gateway import relaying
from magnoliadyke.gateway import remoteprefill
from magnoliadyke.gateway import streambackups
from magnoliadyke.gateway import upstream
from magnoliadyke import logs

__all__ = ['PromptExchange']

LOG = logs.get('promptexchange')

#: Silence after which a resumable stream is resumed at another engine, as a
#: multiple of the pause between events that the route allows.
STALL_FACTOR = 5.0
#: Minimum of the stall timeout between events, in seconds.
MIN_STALL_S = 0.5
#: Time to send events to the caller from which on the interval to the next
#: ones is not counted as the engine's, in seconds: a fifth of an interval.
MAX_SEND_S = 0.01
#: Minimum of the stall timeout before the first event, in seconds: the request
#: may have to wait for a decode slot.
FIRST_STALL_S = 1.2
#: Number of rejections by engines that a request tolerates; after one more it
#: is refused with a Retry-After. An engine that is down refuses a connection
#: within a millisecond; if it is the only one left, a request would otherwise
#: try it thousands of times.
MAX_ENGINE_REJECTIONS = 3
#: Maximum number of unavailable engines that a job excludes, besides those
#: that failed the request.
MAX_EXCLUDED_ENGINES = 32


class PromptExchange(remoteprefill.RemotePrefill):
    """Runs a request on the engines that the placement leader assigns.

    :ivar position: position of the caller in the stream
    :ivar rejections: number of times that an engine did not accept the
        request
    :ivar placing: id of the job that waits to be placed, None if none does
    :ivar backup: the engine that runs the request, and the one that keeps a
        backup of its KV cache; None without a backup
    :ivar possibly_run_failure: failure of the last attempt that may have run
        the request, None if there is none
    """

    def __init__(self, *args) -> None:
        super().__init__(*args)
        self.position = streamposition.StreamPosition()
        self.possibly_run_failure: outcomes.Failed | None = None
        self.rejections = 0
        self.backup: tuple[catalog.Endpoint, catalog.Endpoint] | None = None
        self.placing: int | None = None

    def refuse_if_barred(self) -> None:
        """Refuse a request that waits to be placed and may not run."""
        if self.placing is None:
            return
        match self._verdict():
            case crashcauses.Barred(retry_after_s) as barred:
                self.parts.crashreports.log_barred(self.request, barred)
                self.parts.placement_service.refuse(
                    self.service,
                    promptjobs.Refused(
                        self.placing, retry_after_s, exchange.CRASH_REASON
                    ),
                )

    def _serve(self) -> outcomes.Outcome:
        avoid: tuple[str, ...] = ()
        resume_after = self.request.resume_after
        while True:
            if self._is_cut_off():
                return self._refused(
                    relaying.UNREACHABLE, relaying.RETRY_AFTER_S
                )
            refused = self._find_version()
            if refused is not None:
                return refused
            backoff_s = self._decode_engines_backoff_s()
            if backoff_s:
                return self._refused(exchange.BACKOFF_REASON, backoff_s)
            resumed = resume_after is not None or self.caller.answer_started
            job = self._job(avoid, resumed)
            self.placing = job.id
            decision = self.parts.placement_service.place(self.service, job)
            self.placing = None
            self._log_decision(job, decision)
            if isinstance(decision, promptjobs.Refused):
                self.parts.placement_service.record_refusal(job, decision)
                return self._refused(decision.reason, decision.retry_after_s)
            excluded = self._engine_in_backoff(decision)
            if excluded is not None:
                self.parts.placement_service.record_end(
                    self.service, job.id, True
                )
                self.rejections += 1
                if (
                    excluded in job.avoid
                    or self.rejections > MAX_ENGINE_REJECTIONS
                ):
                    backoff_s = self._backoff_s(excluded)
                    return self._refused(exchange.BACKOFF_REASON, backoff_s)
                continue
            report_end = True
            self.permits = {decision.decode_engine}
            if decision.prefill_engine is not None:
                self.permits.add(decision.prefill_engine)
            try:
                result = self._run_placed(job, decision, resume_after)
                if isinstance(result, outcomes.Lost) and self.backup:
                    result = self._continue_from_backup(job, decision, result)
                if isinstance(result, outcomes.Answered):
                    report_end = decision.report_end
                elif (
                    isinstance(result, outcomes.NotRun | outcomes.Lost)
                    and not self.budget_spent
                    and not _was_held_back(result)
                ):
                    self.parts.placement_service.record_failure(
                        self.service, job.id, self.endpoint
                    )
            finally:
                self.parts.placement_service.record_end(
                    self.service, job.id, report_end
                )
            match result:
                case outcomes.Answered() | outcomes.Failed():
                    return result
                case outcomes.Whole(facts=facts) if self.caller.answer_started:
                    # An error answer can't be sent in the middle of a stream.
                    reason = f'status {facts.status} on resume'
                    return self._mark_incomplete(outcomes.Failed(502, reason))
                case outcomes.Whole():
                    return self._deliver(result)
                case outcomes.NotRun(reason):
                    self._log_attempt(reason, 'not run')
                    self.rejections += 1
                    if (
                        self.rejections > MAX_ENGINE_REJECTIONS
                        or not self._may_retry()
                    ):
                        retry_after_s = self._retry_after_s()
                        if _was_held_back(result):
                            retry_after_s = result.held_back_s
                        return self._refused(reason, retry_after_s)
                case outcomes.Lost(reason, timed_out):
                    self._log_attempt(reason, 'unknown')
                    status = 504 if timed_out else 502
                    failure = self.possibly_run_failure = outcomes.Failed(
                        status, reason
                    )
                    if not (
                        self.route.repeatable
                        and self.position.can_resume
                        and self._may_retry()
                    ):
                        return self._mark_incomplete(failure)
                    if self.position.last_id is not None:
                        resume_after = self.position.last_id
            avoid = (*avoid, self.endpoint)

    def _log_decision(
        self, job: promptjobs.Job, decision: promptjobs.Decision
    ) -> None:
        fields = {
            'id': self.request.id.decode('latin-1'),
            'by': self.parts.placement_service.decided_by(job.id),
            'catalog': self.parts.catalog.generation,
            'tokens': job.tokens,
            'output_tokens': job.output_tokens,
            'due_ms': round((job.objective_s - self.arrived_s) * 1000),
            'left_ms': round(self.left_s * 1000),
            'workspace': job.workspace or 'none',
            'rank': job.priority,
        }
        match decision:
            case promptjobs.Placed():
                engine = self.parts.catalog.endpoints.get(
                    decision.decode_engine
                )
                LOG.event(
                    'placed',
                    **fields,
                    resumed=job.resumed,
                    software=engine.version if engine else 'none',
                    reads=decision.prefill_engine or decision.decode_engine,
                    endpoint=decision.decode_engine,
                    fetch_from=decision.fetch_from or 'none',
                    backup=decision.backup or 'none',
                    read_tokens=decision.prefill_tokens,
                    expected_ms=round(decision.expected_s * 1000),
                )
            case promptjobs.Refused(_, retry_after_s, reason):
                LOG.event(
                    'not_placed',
                    **fields,
                    reason=reason,
                    retry_after_ms=round(retry_after_s * 1000),
                )

    def _engine_in_backoff(self, placed: promptjobs.Placed) -> str | None:
        """Return an assigned engine in backoff on this host, None if none."""
        for engine in (placed.prefill_engine, placed.decode_engine):
            if engine is not None and self._backoff_s(engine):
                return engine
        return None

    def _decode_engines_backoff_s(self) -> float:
        """Return the shortest backoff of the decode engines, in seconds.

        0 if one is available now, or if there is none.
        """
        listed = self.parts.catalog.by_service.get(self.service, {})
        decode_engines = (
            each
            for each in listed.values()
            if each.stage is catalog.Stage.DECODE and not each.leaving
        )
        now_s = self.parts.clock.now_s()
        return self.parts.backoffs.shortest_remaining_s(decode_engines, now_s)

    def _unavailable_engines(self) -> list[str]:
        """Return ids of engines that the leader may still list as available.

        Backoffs and connections that fail concern this host alone, and an
        engine may have announced its planned stop only to this host so far.
        """
        known = self.parts.catalog
        listed = known.by_service.get(self.service, {})
        backing_off = self.parts.backoffs.active(self.parts.clock.now_s())
        ids = [
            each
            for each in (
                *backing_off,
                *self.parts.paths.unreachable(self.service),
                *known.leaving_ids,
            )
            if each in listed
        ]
        return ids[:MAX_EXCLUDED_ENGINES]

    def _refused(
        self, reason: str, retry_after_s: float
    ) -> outcomes.Refused | outcomes.Failed:
        """Return the outcome of a request that no engine accepts.

        A refusal states that the request has not run. After an attempt that
        may have run, the outcome is the failure of that attempt instead; in
        the middle of a stream, a refusal could not be sent.
        """
        if self.possibly_run_failure is not None:
            return self._mark_incomplete(self.possibly_run_failure)
        return outcomes.Refused(reason, retry_after_s)

    def _mark_incomplete(self, failure: outcomes.Failed) -> outcomes.Failed:
        """Mark a started stream to end without its last chunk."""
        if self.caller.answer_started:
            self.caller.broken = True
        return failure

    def _job(self, avoid: tuple[str, ...], resumed: bool) -> promptjobs.Job:
        """Return the placement job for this request.

        The objective of a retry is earlier by the time already lost, so that
        it is placed first.
        """
        now_s = self.parts.clock.now_s()
        prompt = self.request.prompt
        wait_s = self.request.wait_s
        is_retry = self.is_callers_retry
        workspace = self.request.workspace
        objective_s = self.arrived_s + self.route.objective_s
        if is_retry:
            objective_s -= self.route.timeout_s - wait_s
        objective_s -= self.parts.placement_service.transfer_s.high_s
        return promptjobs.Job(
            id=self.parts.rng.getrandbits(62),
            parts=prompt.parts,
            output_tokens=prompt.output_tokens,
            objective_s=max(objective_s, now_s),
            deadline_s=self.deadline_s,
            failure_domain=self.parts.balancer.failure_domain,
            is_retry=is_retry or self.prefills > 0,
            resumed=resumed,
            avoid=(*avoid, *self._unavailable_engines()),
            version=self.version or self._sound_version(),
            pause_s=self.route.pause_s,
            backed_up=self._is_backed_up(),
            priority=self._priority(),
            workspace=workspace.name if workspace is not None else '',
        )

    def _is_backed_up(self) -> bool:
        service = self._service()
        return (
            service is not None
            # The id names the backup in a header.
            and self.request.id.isascii()
            and streambackup.is_backed_up(
                service.engine,
                self.route,
                promptcache.total_tokens(self.request.prompt.parts),
            )
        )

    def _priority(self) -> int:
        """Return the rank of the request; its workspace's has precedence."""
        workspace = self.request.workspace
        if workspace is not None and workspace.priority is not None:
            return workspace.priority
        return self.route.priority

    def _sound_version(self) -> str | None:
        """Return the version to place at if the request crashes others."""
        if not self.parts.crashreports.has_bars:
            return None
        versions = [
            each.version
            for each in self._usable()
            if each.stage is catalog.Stage.DECODE
        ]
        sound = [each for each in versions if not self._is_barred(each)]
        if not sound or len(sound) == len(versions):
            return None
        return max(set(sound), key=sound.count)

    def _run_placed(
        self,
        job: promptjobs.Job,
        placed: promptjobs.Placed,
        resume_after: bytes | None,
    ) -> (
        outcomes.Answered
        | outcomes.Failed
        | outcomes.Whole
        | outcomes.NotRun
        | outcomes.Lost
    ):
        self.endpoint = placed.decode_engine
        kv_source = None
        if placed.prefill_engine is not None:
            kv_source = self._prefill(job, placed)
            if isinstance(kv_source, outcomes.NotRun):
                self.endpoint = placed.prefill_engine
                return kv_source
        # The engine is looked up after the prefill: one that has announced its
        # stop in the meantime accepts no more work.
        engine = self.parts.catalog.find_staying(placed.decode_engine)
        if engine is None and kv_source is not None:
            engine = self._alternative_engine(placed.decode_engine)
        if engine is None:
            if kv_source is not None:
                self._release_kv_cache(kv_source)
            return outcomes.NotRun(
                remoteprefill.ENGINE_LEFT, was_received=False
            )
        self.endpoint = engine.id
        if not self._may_answer(engine):
            if kv_source is not None:
                self._release_kv_cache(kv_source)
            return outcomes.NotRun(exchange.VERSION_GONE, was_received=False)
        backup = self.parts.streambackups.find_backup(placed, engine)
        self.backup = (engine, backup) if backup is not None else None
        if backup is not None:
            self.parts.streambackups.counts['requested'] += 1
        options = codecs.RunOptions(
            endpoint=engine.name,
            left_s=self.left_s,
            urgent=job.tokens <= placementservice.SHORT_TOKENS,
            kv_source=kv_source,
            fetch_from=placed.fetch_from if kv_source is None else None,
            resume_after=resume_after,
            backup_to=backup.address if backup is not None else None,
        )
        started = False
        try:
            result = self._stream(engine, options, job)
            started = not isinstance(result, outcomes.NotRun)
            if not started and kv_source is not None:
                # The decode engine is full, or the prefilled KV cache is
                # gone. An engine that prefills the prompt itself can still
                # answer.
                self._report_rejection(job, placed, result)
                other = self._alternative_engine(engine.id)
                if other is not None:
                    self.endpoint = other.id
                    options = options._replace(
                        endpoint=other.name, kv_source=None
                    )
                    result = self._stream(other, options, job)
        finally:
            if kv_source is not None and not started:
                self._release_kv_cache(kv_source)
        return result

    def _continue_from_backup(
        self,
        job: promptjobs.Job,
        placed: promptjobs.Placed,
        lost: outcomes.Lost,
    ) -> outcomes.Answered | outcomes.Failed | outcomes.Lost:
        """Continue a broken stream at the engine that keeps its backup.

        :returns: ``lost`` if nothing was sent to that engine
        """
        engine, backup = self.backup
        self.backup = None
        went_on = self.parts.streambackups.stop_run(
            streambackups.Broken(
                self.request,
                engine,
                backup,
                self.position,
                self._budget(),
                self.deadline_s,
            )
        )
        if went_on is None:
            return lost
        self._log_attempt(lost.reason, 'unknown')
        placement_service = self.parts.placement_service
        placement_service.record_failure(self.service, job.id, engine.id)
        if placed.report_end:
            placement_service.record_continuation(self.service, job, backup.id)
        self.endpoint = backup.id
        options = codecs.RunOptions(
            endpoint=backup.name,
            left_s=self.left_s,
            urgent=True,
            kv_source=went_on.kv_source,
            resume_after=self.position.last_id,
        )
        result = None
        try:
            result = self._stream(backup, options, job)
        finally:
            if went_on.is_moved and (
                result is None or isinstance(result, outcomes.NotRun)
            ):
                self._release_kv_cache(went_on.kv_source)
        self.parts.streambackups.record_result(result)
        has_failed = False
        match result:
            case outcomes.Answered():
                return result
            case outcomes.Whole(facts=facts):
                reason = f'status {facts.status} on resume'
            case outcomes.NotRun(reason, was_received):
                self._log_attempt(reason, 'not run')
                # An engine without the backup refuses, and works.
                has_failed = not (
                    was_received or self.budget_spent or _was_held_back(result)
                )
            case outcomes.Lost(reason):
                self._log_attempt(reason, 'unknown')
                has_failed = True
        if has_failed:
            placement_service.record_failure(self.service, job.id, backup.id)
        return self._mark_incomplete(outcomes.Failed(502, reason))

    def _report_rejection(
        self,
        job: promptjobs.Job,
        placed: promptjobs.Placed,
        result: outcomes.NotRun,
    ) -> None:
        """Report that a decode engine did not accept a prefilled prompt.

        A rejection is reported with both engines of the placement, since
        either may be at fault. A decode engine that can't be reached is
        reported alone: its failure says nothing about the prefill engine.
        """
        placement_service = self.parts.placement_service
        if _was_held_back(result):
            self._log_attempt(result.reason, 'not run')
        elif result.was_received:
            placement_service.record_rejection(
                self.service,
                job.id,
                placed.prefill_engine,
                placed.decode_engine,
            )
            self._log_attempt('turned away after reading', 'not run')
        else:
            placement_service.record_failure(
                self.service, job.id, placed.decode_engine
            )
            self._log_attempt(result.reason, 'not run')

    def _alternative_engine(self, failed: str) -> catalog.Endpoint | None:
        """Return a decode engine for a retry.

        None if no engine is available or too little time is left. The failed
        engine is returned only if no other is available.

        :param failed: id of the engine that did not accept the request
        """
        if self.left_s < exchange.RESPONSE_MARGIN_S:
            return None
        decode_engines = self._usable_decode_engines()
        now_s = self.parts.clock.now_s()
        reachable = self.parts.paths.reachable(decode_engines)
        available = self.parts.backoffs.available(reachable, now_s)
        others = [each for each in available if each.id != failed]
        if not others:
            return next(iter(available), None)
        return self.parts.rng.choice(others)

    def _usable_decode_engines(self) -> list[catalog.Endpoint]:
        """Return the engines that may generate the rest of the answer."""
        return [
            each
            for each in self._usable()
            if each.stage is catalog.Stage.DECODE and self._may_answer(each)
        ]

    def _stream(
        self,
        engine: catalog.Endpoint,
        options: codecs.RunOptions,
        job: promptjobs.Job,
    ) -> outcomes.Answered | outcomes.Whole | outcomes.NotRun | outcomes.Lost:
        """Have the engine run the request, and relay its events."""
        try:
            used = self._acquire_connection(engine, self.route.repeatable)
        except upstream.NoConnection as error:
            return self._not_sent(error)
        if not self._may_send():
            self.parts.upstream.release(engine, used)
            return outcomes.NotRun(remoteprefill.BUDGET_SPENT, False)
        self.runs += 1
        headers = self.parts.codec.run_headers(self.request, options)
        request = self.request
        try:
            with gevent.Timeout(self.left_s, http.OutOfTime('out of time')):
                self._record_send(engine, used)
                used.send(
                    request.method, request.target, headers, request.body
                )
                head = self._wait_for_engine(used.head, FIRST_STALL_S)
                result = self._classify_stream(
                    used, head, job, engine, options
                )
        except exchange.LOST_ERRORS as error:
            result = self._lost(used, error)
        except callers.Interrupted:
            used.close()
            raise
        finally:
            self.parts.upstream.release(engine, used)
        if isinstance(result, outcomes.NotRun):
            self.runs -= 1
        self._record_crash(result, engine.id)
        return result

    def _wait_for_engine(self, wait, min_stall_timeout_s):
        """Wait for the next part of an answer.

        The wait has a stall timeout if another engine could resume the
        stream, or continue it from a backup. A stream that has started and
        can go on nowhere else has none: only its engine can still complete
        the answer.

        :param wait: waits for the part and returns it
        :param min_stall_timeout_s: minimum stall timeout in seconds
        :raises http.OutOfTime: the engine has stalled
        """
        if not self.route.resumable and not self._can_continue():
            return wait()
        if (
            self.route.resumable
            and self.caller.answer_started
            and not self._can_resume()
        ):
            return wait()
        stall_s = max(min_stall_timeout_s, self.route.pause_s * STALL_FACTOR)
        with gevent.Timeout(stall_s, http.OutOfTime('the engine is silent')):
            return wait()

    def _can_continue(self) -> bool:
        """Return whether a backup allows the stream to go on elsewhere."""
        return (
            self.backup is not None
            and self.position.last_id is not None
            and self.position.can_resume
            and self._budget().has_left(self.parts.clock.now_s())
        )

    def _can_resume(self) -> bool:
        now_s = self.parts.clock.now_s()
        return (
            self.position.can_resume
            and self._may_retry()
            and self._budget().has_left(now_s)
            and self._has_other_engine()
        )

    def _has_other_engine(self) -> bool:
        """Return whether another engine may generate the rest of the answer.

        Called for each event, so it looks no further than the first one.
        """
        listed = self.parts.catalog.by_service.get(self.service, {})
        return any(
            each.id != self.endpoint
            and not each.leaving
            and each.stage is catalog.Stage.DECODE
            and self._may_answer(each)
            for each in listed.values()
        )

    def _classify_stream(
        self,
        used: connection.Connection,
        head: http.Head,
        job: promptjobs.Job,
        engine: catalog.Endpoint,
        options: codecs.RunOptions,
    ) -> outcomes.Answered | outcomes.Whole | outcomes.NotRun | outcomes.Lost:
        facts = self._read_facts(engine, used, head)
        if facts.status != 200:
            body = self._read_body(engine, used, head, facts)
            return self._classify(used, head, facts, body)
        if facts.request_id != self.request.id:
            return outcomes.Lost('answer to another request', False)
        if not facts.sealed or facts.has_content_encoding:
            return outcomes.Lost("not the endpoint's own answer", False)
        if not self._is_stream(head):
            body = self._read_body(engine, used, head, facts)
            return self._classify(used, head, facts, body)
        if facts.idle_limit_s is not None:
            used.idle_limit_s = facts.idle_limit_s
        return self._relay(used, head, job, engine, options)

    def _is_stream(self, head: http.Head) -> bool:
        """Return whether an answer is a stream of events."""
        if head.value(b'content-type') is None:
            return self.route.kind is routes.Kind.STREAM
        return events.is_stream(head)

    def _report_prefill_done(
        self, job: promptjobs.Job, engine: catalog.Endpoint
    ) -> None:
        """Report, at the first event, that the engine finished the prefill."""
        if job.tokens > placementservice.SHORT_TOKENS:
            self.parts.placement_service.record_prefill_done(
                self.service, job.id, engine.id
            )

    def _relay(
        self,
        used: connection.Connection,
        head: http.Head,
        job: promptjobs.Job,
        engine: catalog.Endpoint,
        options: codecs.RunOptions,
    ) -> outcomes.Answered | outcomes.Lost:
        splitter = events.EventSplitter()
        first = True
        event_s: float | None = None
        while True:
            min_stall_timeout_s = FIRST_STALL_S if first else MIN_STALL_S
            part = self._wait_for_engine(used.part, min_stall_timeout_s)
            if isinstance(part, http.MessageEnd):
                break
            complete = splitter.feed(part.data)
            if not complete:
                continue
            if first:
                self._record_start()
                self._record_version(engine)
            if first and options.kv_source is None:
                self._report_prefill_done(job, engine)
            elif first and self.prefill_done_s is not None:
                took_s = self.parts.clock.now_s() - self.prefill_done_s
                self.parts.placement_service.record_kv_transfer(
                    self.service, job.id, engine.id, took_s
                )
            first = False
            event_s = self._count_interval(engine, event_s)
            self._begin(head)
            data = b''.join(event.data for event in complete)
            event_s = self._pass_on(data, event_s)
            for event in complete:
                has_data = event.id is None and event.has_data
                self.position.advance(event.id, has_data)
        ended = self._record_whole(engine, used, splitter.left_over)
        reason = answerend.break_reason(ended)
        if reason is not None:
            used.close()
            return outcomes.Lost(reason, False, broke_off=True)
        self._begin(head)
        if splitter.incomplete:
            self.caller.chunk(splitter.incomplete)
        self.caller.end_stream()
        return outcomes.Answered(200, self.endpoint)

    def _count_interval(
        self, engine: catalog.Endpoint, previous_s: float | None
    ) -> float:
        """Count the time since the previous event; return that of this one.

        :param previous_s: when the previous event came, None if none did
        """
        now_s = self.parts.clock.now_s()
        if previous_s is not None:
            self.parts.paces.add(self.service, engine.id, now_s - previous_s)
        return now_s

    def _pass_on(self, data: bytes, event_s: float) -> float | None:
        """Send events to the caller; return when they came.

        :returns: None if the caller read so slowly that the next event may
            have waited here, and its interval is not that of the engine
        """
        self.caller.chunk(data)
        if self.parts.clock.now_s() - event_s > MAX_SEND_S:
            return None
        return event_s

    def _begin(self, head: http.Head) -> None:
        if not self.caller.answer_started:
            headers = self.parts.codec.answer_headers(head)
            self.caller.start_stream(head.status, headers)


def _was_held_back(result: outcomes.NotRun | outcomes.Lost) -> bool:
    """Whether a rate limit held an attempt back; the engine did not fail."""
    return (
        isinstance(result, outcomes.NotRun) and result.held_back_s is not None
    )
