"""Exchange for prompts: placement, prefill, decode and resumption."""

from typing import Callable

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
from magnoliadyke.gateway import engineruns
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

#: Silence after which a place is sought at another engine, as a multiple of
#: the pause between events that the route allows.  It doubles each time that
#: none was found.
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
#: Pauses before a run that was stopped is offered again to the engine with
#: its backup, in seconds: slots are freed within that time.
BACKUP_RETRY_PAUSES_S = (0.1, 0.2, 0.4)
#: Pause before the retry budget is asked again for the rest of a stream, in
#: seconds.
BUDGET_PAUSE_S = 0.5
#: Reason of an attempt that waits for a silent engine.
SILENT_REASON = 'the engine is silent'
#: Reason of an attempt whose stream ended with its connection.
UNMARKED_REASON = 'the end of the stream is not marked'
#: Time limit for another engine to say whether such a stream goes on, in
#: seconds: the caller waits for its end meanwhile.
CONFIRMATION_LIMIT_S = 1.0
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
    :ivar silent_run: run whose engine is silent, kept until another engine
        has begun to answer; None if there is none
    :ivar confirmation: limits the time until another engine says whether a
        stream without a marked end goes on; None if none is asked, or it does
    :ivar first_event_s: when the first event was passed to the caller, in
        monotonic seconds; None before
    :ivar response_watch: watches for bytes of that engine, None if nothing
        else is tried meanwhile
    """

    def __init__(self, *args) -> None:
        super().__init__(*args)
        self.position = streamposition.StreamPosition()
        self.possibly_run_failure: outcomes.Failed | None = None
        self.rejections = 0
        self.backup: tuple[catalog.Endpoint, catalog.Endpoint] | None = None
        self.placing: int | None = None
        self.first_event_s: float | None = None
        self.silent_run: engineruns.EngineRun | None = None
        self.response_watch: engineruns.ResponseWatch | None = None
        self.confirmation: gevent.Timeout | None = None

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
        """Try engines, and wait for a silent one where no other answers."""
        result = None
        try:
            while True:
                try:
                    outcome = self._try_engines(result)
                except engineruns.EngineResponds:
                    self.placing = None
                    outcome = None
                if self.silent_run is None or isinstance(
                    outcome, outcomes.Answered
                ):
                    return outcome
                result = self._wait_for_silent_run()
        finally:
            self._drop_silent_run('ended')

    def _try_engines(
        self, result: outcomes.Lost | outcomes.Silent | None
    ) -> outcomes.Outcome | None:
        """Try engines until one answers, or none may be tried any more.

        :param result: result of an attempt that is over, None before the
            first one
        :returns: the outcome of the request unless there is a silent run; None
            if there is one, and only it may answer
        """
        avoid: tuple[str, ...] = ()
        resume_after = self.request.resume_after
        if self.position.last_id is not None:
            resume_after = self.position.last_id
        while True:
            if result is None:
                result = self._place_and_run(avoid, resume_after)
            match result:
                case outcomes.Answered() | outcomes.Failed():
                    return result
                case outcomes.Refused():
                    return result
                case outcomes.Whole(facts=facts) if (
                    self.silent_run is not None and facts.status >= 400
                ):
                    return None
                case outcomes.Whole(facts=facts) if self.caller.answer_started:
                    # An error answer can't be sent in the middle of a stream.
                    reason = f'status {facts.status} on resume'
                    return self._mark_incomplete(outcomes.Failed(502, reason))
                case outcomes.Whole():
                    # Its engine must not interrupt the sending.
                    self._drop_silent_run('replaced')
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
                case outcomes.Silent(reason):
                    self._log_attempt(reason, 'unknown')
                    if not self._may_resume():
                        return None
                    self.response_watch = engineruns.ResponseWatch(
                        self.silent_run
                    )
                case outcomes.Unmarked(reason):
                    self._log_attempt(reason, 'unmarked')
                    avoid = (*avoid, self.endpoint)
                    result = self._confirm_end(avoid)
                    continue
                case outcomes.Lost(reason, timed_out):
                    self._log_attempt(reason, 'unknown')
                    status = 504 if timed_out else 502
                    failure = self.possibly_run_failure = outcomes.Failed(
                        status, reason
                    )
                    if not self._may_resume():
                        return self._mark_incomplete(failure)
            if self.position.last_id is not None:
                resume_after = self.position.last_id
            avoid = (*avoid, self.endpoint)
            result = None

    def _confirm_end(self, avoid: tuple[str, ...]) -> outcomes.Result:
        """Ask another engine whether a stream without a marked end goes on.

        If none answers, the stream has ended: its connection was closed in
        order.  One that begins to answer and breaks off tells nothing.

        :param avoid: ids of engines that the request was tried at
        """
        engine_id, last_id = self.endpoint, self.position.last_id
        self.possibly_run_failure = None
        result = None
        try:
            with gevent.Timeout(
                min(
                    CONFIRMATION_LIMIT_S,
                    max(0.0, self.left_s - exchange.RESPONSE_MARGIN_S),
                ),
                engineruns.EndUnconfirmed(),
            ) as self.confirmation:
                result = self._place_and_run(avoid, last_id)
        except engineruns.EndUnconfirmed:
            self.placing = None
        finally:
            has_gone_on = self.confirmation is None
            self.confirmation = None
        if has_gone_on or isinstance(
            result, outcomes.Answered | outcomes.Lost
        ):
            return result
        self.caller.end_stream()
        return outcomes.Answered(200, engine_id)

    def _may_resume(self) -> bool:
        """Return whether another run may go on where the last one ended."""
        return (
            self.route.repeatable
            and self.position.can_resume
            and self._may_retry()
        )

    def _place_and_run(
        self, avoid: tuple[str, ...], resume_after: bytes | None
    ) -> outcomes.Outcome | outcomes.Result:
        """Have the request placed, and run it where it was placed.

        :param avoid: ids of engines that it was tried at
        :returns: the result of the attempt, or the outcome of a request that
            is not placed
        """
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
            if self._is_silent(decision.decode_engine):
                self.parts.placement_service.record_end(
                    self.service, job.id, True
                )
                return self._refused(SILENT_REASON, exchange.RETRY_AFTER_S)
            excluded = self._engine_in_backoff(decision)
            if excluded is None:
                return self._run_and_report(job, decision, resume_after)
            self.parts.placement_service.record_end(self.service, job.id, True)
            self.rejections += 1
            if (
                excluded in job.avoid
                or self.rejections > MAX_ENGINE_REJECTIONS
            ):
                backoff_s = self._backoff_s(excluded)
                return self._refused(exchange.BACKOFF_REASON, backoff_s)

    def _run_and_report(
        self,
        job: promptjobs.Job,
        placed: promptjobs.Placed,
        resume_after: bytes | None,
    ) -> outcomes.Result:
        """Run a placed request; report how it ended to the placing host."""
        self.permits = {placed.decode_engine}
        if placed.prefill_engine is not None:
            self.permits.add(placed.prefill_engine)
        result = None
        try:
            result = self._run_placed(job, placed, resume_after)
            result = self._continue_if_broken(job, placed, result)
        finally:
            self._report_end(job, placed, result)
        return result

    def _report_end(
        self,
        job: promptjobs.Job,
        placed: promptjobs.Placed,
        result: outcomes.Result | None,
    ) -> None:
        """Report the end of an attempt; one that is silent has not ended.

        :param result: result of the attempt, None if it was interrupted
        """
        if self.silent_run is not None and self.silent_run.job is job:
            return
        placement_service = self.parts.placement_service
        if (
            isinstance(result, outcomes.NotRun | outcomes.Lost)
            and not self.budget_spent
            and not _was_held_back(result)
        ):
            placement_service.record_failure(
                self.service, job.id, self.endpoint
            )
        report_end = True
        if isinstance(result, outcomes.Answered):
            report_end = placed.report_end
        placement_service.record_end(self.service, job.id, report_end)

    def _continue_if_broken(
        self,
        job: promptjobs.Job,
        placed: promptjobs.Placed,
        result: outcomes.Result,
    ) -> outcomes.Result:
        """Continue a stream with a backup whose engine broke off or is silent.

        :returns: the result of that, or ``result`` if it can't go on
        """
        if self.backup is None:
            return result
        if isinstance(result, outcomes.Silent) and self._is_host_stopping():
            return result
        if isinstance(result, outcomes.Lost | outcomes.Silent):
            return self._continue_from_backup(job, placed, result)
        return result

    # Runs whose engine is silent.

    def _wait_for_silent_run(self) -> outcomes.Result:
        """Wait for the engine of the silent run, as no other one answers."""
        self._stop_response_watch()
        run, self.silent_run = self.silent_run, None
        self.endpoint = run.engine.id
        self._log_silence(run, 'waits')
        run.event_s = None
        result = None
        try:
            result = self._receive(run)
            result = self._continue_if_broken(run.job, run.placed, result)
        finally:
            self._report_end(run.job, run.placed, result)
        return result

    def _is_silent(self, engine_id: str) -> bool:
        """Return whether the silent run is at this engine."""
        run = self.silent_run
        return run is not None and run.engine.id == engine_id

    def _drop_silent_run(self, outcome: str) -> None:
        """Give the silent run up, if there is one, and report its end.

        :param outcome: what ended the silence, for the log
        """
        run = self._close_silent_run(outcome)
        if run is None:
            return
        placement_service = self.parts.placement_service
        if outcome == 'replaced':
            placement_service.record_failure(
                self.service, run.job.id, run.engine.id
            )
        placement_service.record_end(self.service, run.job.id, True)

    def _close_silent_run(self, outcome: str) -> engineruns.EngineRun | None:
        """Close the connection of the silent run; return the run, if any."""
        self._stop_response_watch()
        run, self.silent_run = self.silent_run, None
        if run is not None:
            self._log_silence(run, outcome)
            run.splitter.held.release()
            run.used.close()
            self.parts.upstream.release(run.engine, run.used)
        return run

    def _stop_response_watch(self) -> None:
        if self.response_watch is not None:
            self.response_watch.stop()
            self.response_watch = None

    def _log_silence(self, run: engineruns.EngineRun, outcome: str) -> None:
        self.parts.upstream.silences[outcome] += 1
        LOG.event(
            'engine_run_silent',
            id=self.request.id.decode('latin-1'),
            endpoint=run.engine.id,
            outcome=outcome,
            begun=self.caller.answer_started,
            times=run.silences,
            left_ms=round(self.left_s * 1000),
        )

    def _log_decision(
        self, job: promptjobs.Job, decision: promptjobs.Decision
    ) -> None:
        fields = {
            'id': self.request.id.decode('latin-1'),
            'job': job.id,
            'route': self.route.name,
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
        """Mark a started stream to end without its last chunk.

        A silent run may still complete it.
        """
        if self.caller.answer_started and self.silent_run is None:
            self.caller.broken = True
        return failure

    def _job(self, avoid: tuple[str, ...], resumed: bool) -> promptjobs.Job:
        """Return the placement job for this request.

        The objective of a retry is earlier by the time already lost, so that
        it is placed first.
        """
        now_s = self.parts.clock.now_s()
        prompt = self.request.prompt
        workspace = self.request.workspace
        transfer_s = self.parts.placement_service.transfer_s.high_s
        objective_s = self._due_s() - transfer_s
        return promptjobs.Job(
            id=self.parts.rng.getrandbits(62),
            parts=prompt.parts,
            output_tokens=prompt.output_tokens,
            objective_s=max(objective_s, now_s),
            deadline_s=self.deadline_s,
            failure_domain=self.parts.balancer.failure_domain,
            is_retry=self.is_callers_retry or self.prefills > 0,
            resumed=resumed,
            avoid=(*avoid, *self._unavailable_engines()),
            version=self.version or self._sound_version(),
            pause_s=self.route.pause_s,
            backed_up=self._is_backed_up(),
            priority=self._priority(),
            workspace=workspace.name if workspace is not None else '',
        )

    def _due_s(self) -> float:
        """Return when the first event is due, in monotonic seconds.

        It counts from the caller's first attempt.
        """
        due_s = self.arrived_s + self.route.objective_s
        if self.is_callers_retry:
            due_s -= self.route.timeout_s - self.request.wait_s
        return due_s

    def record_outcome(self, outcome: outcomes.Outcome) -> None:
        """Count the outcome of the request by its route and prompt size."""
        name = type(outcome).__name__.lower()
        if isinstance(outcome, outcomes.Answered) and outcome.status == 200:
            is_late = (
                self.first_event_s is not None
                and self.first_event_s > self._due_s()
            )
            name = 'late' if is_late else 'in time'
        self.parts.placement_service.record_outcome(
            self.route.name,
            promptcache.total_tokens(self.request.prompt.parts),
            name,
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
    ) -> outcomes.Result:
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
            result = self._stream(engine, options, job, placed)
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
                    result = self._stream(other, options, job, placed)
        finally:
            if kv_source is not None and not started:
                self._release_kv_cache(kv_source)
        return result

    def _continue_from_backup(
        self,
        job: promptjobs.Job,
        placed: promptjobs.Placed,
        lost: outcomes.Lost | outcomes.Silent,
    ) -> outcomes.Answered | outcomes.Failed | outcomes.Lost | outcomes.Silent:
        """Continue a stream with a backup, usually at the engine that has it.

        :returns: ``lost`` if nothing was sent to an engine
        """
        engine, backup = self.backup
        is_silent = isinstance(lost, outcomes.Silent)
        went_on = self.parts.streambackups.stop_run(
            streambackups.Broken(
                self.request,
                engine,
                backup,
                self.position,
                self._is_retry_left(),
                lambda: self._reserve_permit(backup),
                self._reserve_retry,
                self.deadline_s,
                self.silent_run if is_silent else None,
            )
        )
        if went_on is None:
            if not is_silent:
                self.backup = None
            return lost
        self.backup = None
        self._close_silent_run('stopped')
        self._log_attempt(lost.reason, 'unknown')
        placement_service = self.parts.placement_service
        if went_on.engine is not engine:
            placement_service.record_failure(self.service, job.id, engine.id)
            if placed.report_end:
                placement_service.record_continuation(
                    self.service, job, backup.id
                )
        result = None
        try:
            result = self._run_rest(went_on, job, placed)
            if (
                isinstance(result, outcomes.NotRun)
                and went_on.is_moved
                and went_on.engine is not engine
                and result.reason != remoteprefill.BUDGET_SPENT
            ):
                # The engine that has stopped the run still keeps all of it.
                self._log_attempt(result.reason, 'not run')
                went_on = went_on._replace(engine=engine)
                result = self._run_rest(went_on, job, placed)
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
            placement_service.record_failure(
                self.service, job.id, went_on.engine.id
            )
        return self._mark_incomplete(outcomes.Failed(502, reason))

    def _run_rest(
        self,
        went_on: streambackups.Continuation,
        job: promptjobs.Job,
        placed: promptjobs.Placed,
    ) -> outcomes.Result:
        """Run the rest of a stream at the engine that goes on with it.

        A run that this host has stopped is lost if that engine is full, so it
        is offered again.  The end of a backoff, a permit, and a retry from the
        budget are waited for.
        """
        engine = went_on.engine
        self.endpoint = engine.id
        pauses_s = iter(BACKUP_RETRY_PAUSES_S if went_on.is_moved else ())
        while True:
            options = codecs.RunOptions(
                endpoint=engine.name,
                left_s=self.left_s,
                urgent=True,
                kv_source=went_on.kv_source,
                resume_after=self.position.last_id,
            )
            result = self._stream(engine, options, job, placed)
            if not isinstance(result, outcomes.NotRun):
                return result
            pause_s = self._available_in_s(engine, result)
            if result.was_received:
                offer_in_s = next(pauses_s, None)
                if offer_in_s is None:
                    return result
                pause_s = max(pause_s, offer_in_s)
            if (
                not pause_s
                or self.left_s < pause_s + exchange.RESPONSE_MARGIN_S
            ):
                return result
            self._log_attempt(result.reason, 'not run')
            self.parts.clock.sleep(pause_s)

    def _available_in_s(
        self, engine: catalog.Endpoint, refused: outcomes.NotRun
    ) -> float:
        """Return when an engine may be asked again, in seconds.

        :returns: 0 if no backoff, rate limit or budget holds the request back
        """
        if refused.reason == remoteprefill.BUDGET_SPENT:
            return BUDGET_PAUSE_S
        if refused.reason == exchange.LIMIT_REASON:
            return refused.held_back_s
        return self._backoff_s(engine.id)

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
            if each.stage is catalog.Stage.DECODE
            and not self._is_silent(each.id)
            and self._may_answer(each)
        ]

    def _stream(
        self,
        engine: catalog.Endpoint,
        options: codecs.RunOptions,
        job: promptjobs.Job,
        placed: promptjobs.Placed,
    ) -> outcomes.Result:
        """Have the engine run the request, and relay its events."""
        try:
            used = self._acquire_connection(engine, self.route.repeatable)
        except upstream.NoConnection as error:
            return self._not_sent(error)
        if not self._may_send():
            self.parts.upstream.release(engine, used)
            return outcomes.NotRun(remoteprefill.BUDGET_SPENT, False)
        self.runs += 1
        splitter = events.EventSplitter(self.parts.upstream.bodies.begin())
        run = engineruns.EngineRun(
            engine, used, job, placed, options, splitter
        )
        return self._receive(run, is_new=True)

    def _receive(
        self, run: engineruns.EngineRun, is_new: bool = False
    ) -> outcomes.Result:
        """Receive the answer of a run, or the rest of it.

        :param is_new: whether the request has to be sent first
        """
        try:
            with gevent.Timeout(self.left_s, http.OutOfTime('out of time')):
                if is_new:
                    self._send_run(run)
                result = self._receive_answer(run)
        except engineruns.EngineSilent:
            result = self._keep_silent_run(run)
        except exchange.LOST_ERRORS as error:
            if self._has_nothing_more(run, error):
                result = self._end_confirmed(run)
            else:
                result = self._lost(run.used, error)
        except callers.Interrupted:
            run.used.close()
            raise
        finally:
            if self.silent_run is not run:
                run.splitter.held.release()
                self.parts.upstream.release(run.engine, run.used)
        if isinstance(result, outcomes.NotRun):
            self.runs -= 1
        self._record_crash(result, run.engine.id)
        return result

    def _has_nothing_more(
        self, run: engineruns.EngineRun, error: Exception
    ) -> bool:
        """Whether an engine confirms the end of a stream by an empty answer.

        Without a frame, an empty answer is one that is closed after its head.
        """
        match error:
            case http.PeerClosed(orderly=True):
                return (
                    self.confirmation is not None
                    and run.used.framing is answerend.Framing.CLOSE
                    and not run.has_events
                    and not run.splitter.left_over
                )
        return False

    def _end_confirmed(self, run: engineruns.EngineRun) -> outcomes.Answered:
        """End a stream of which an engine has nothing more."""
        self._record_end(run.used, answerend.End.CLOSED)
        self.caller.end_stream()
        return outcomes.Answered(200, run.engine.id)

    def _send_run(self, run: engineruns.EngineRun) -> None:
        request = self.request
        headers = self.parts.codec.run_headers(request, run.options)
        self._record_send(run.engine, run.used)
        run.used.send(request.method, request.target, headers, request.body)

    def _keep_silent_run(
        self, run: engineruns.EngineRun
    ) -> outcomes.Silent | outcomes.Lost:
        """Keep a run whose engine is silent, unless there is another one."""
        if self.silent_run is not None:
            return self._lost(run.used, http.OutOfTime(SILENT_REASON))
        run.silences += 1
        self.silent_run = run
        self._log_silence(run, 'begins')
        return outcomes.Silent(SILENT_REASON)

    def _wait_for_engine(
        self, run: engineruns.EngineRun, wait: Callable[[], http.Part]
    ) -> http.Part:
        """Wait for the next part of an answer.

        The wait is limited only if another engine may serve the request in
        place of this one.

        :param wait: waits for the part and returns it
        :raises engineruns.EngineSilent: the engine has sent nothing for so
            long that another one is to be tried
        """
        is_replaceable = (
            self._can_resume()
            if self.route.resumable
            else self._can_continue()
        )
        if not is_replaceable:
            return wait()
        stall_s = max(
            MIN_STALL_S if run.has_events else FIRST_STALL_S,
            self.route.pause_s * STALL_FACTOR,
        )
        stall_s *= 2**run.silences
        with gevent.Timeout(stall_s, engineruns.EngineSilent()):
            return wait()

    def _is_host_stopping(self) -> bool:
        """Return whether this host stops.

        It may end before the rest of a run that it has stopped is taken.
        """
        return self.parts.paths.is_stopping()

    def _can_continue(self) -> bool:
        """Return whether a backup allows the stream to go on elsewhere."""
        return (
            self.backup is not None
            and not self._is_host_stopping()
            and self.position.last_id is not None
            and self.position.can_resume
            and self._is_retry_left()
        )

    def _can_resume(self) -> bool:
        now_s = self.parts.clock.now_s()
        return (
            self.position.can_resume
            and self._may_retry()
            and self._budget().has_left(now_s)
            and self._has_other_engine()
        )

    def _can_confirm(self) -> bool:
        """Return whether another engine can tell that a stream has ended.

        Half of the retries are left for streams that have broken off.
        """
        budget = self._budget()
        now_s = self.parts.clock.now_s()
        reserved = int(budget.allowance(now_s) / 2)
        return (
            self.route.resumable
            and self.position.last_id is not None
            and not self._is_host_stopping()
            and self._can_resume()
            and budget.has_left(now_s, 1 + reserved)
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

    def _receive_answer(self, run: engineruns.EngineRun) -> outcomes.Result:
        used = run.used
        if run.head is not None:
            return self._relay(run)
        head, facts = self._read_head(
            run.engine, used, lambda: self._wait_for_engine(run, used.head)
        )
        run.head = head
        if 200 <= facts.status < 300:
            if facts.request_id != self.request.id:
                return outcomes.Lost('answer to another request', False)
            if not facts.sealed or facts.has_content_encoding:
                return outcomes.Lost("not the endpoint's own answer", False)
        if facts.status != 200 or not self._is_stream(head):
            body = self._read_body(run.engine, used, head, facts)
            return self._classify(used, head, facts, body)
        if facts.idle_limit_s is not None:
            used.idle_limit_s = facts.idle_limit_s
        return self._relay(run)

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
        self, run: engineruns.EngineRun
    ) -> outcomes.Answered | outcomes.Lost | outcomes.Unmarked:
        used, engine = run.used, run.engine
        while True:
            part = self._wait_for_engine(run, used.part)
            if isinstance(part, http.MessageEnd):
                break
            if used.framing is answerend.Framing.CLOSE:
                self.parts.upstream.drop_ended(engine.id)
            complete = run.splitter.feed(part.data)
            data = complete.data
            if not data:
                continue
            self._check_one_answer(data)
            if self.confirmation is not None:
                if not (complete.have_ids or complete.have_data):
                    # A comment does not say that the stream goes on.
                    continue
                self.confirmation.cancel()
                self.confirmation = None
            if not run.has_events:
                self._record_first_event(run)
            run.event_s = self._count_interval(engine, run.event_s)
            self._begin(run.head)
            run.event_s = self._pass_on(data, run.event_s)
            self._advance(complete)
        ended = self._record_whole(engine, used, run.splitter.left_over)
        reason = answerend.break_reason(ended)
        if reason is not None:
            used.close()
            return outcomes.Lost(reason, False, broke_off=True)
        self._drop_silent_run('replaced')
        self._begin(run.head)
        if run.splitter.incomplete:
            self.caller.chunk(run.splitter.incomplete)
        if used.ended_by_close and self._can_confirm():
            return outcomes.Unmarked(UNMARKED_REASON)
        self.caller.end_stream()
        return outcomes.Answered(200, self.endpoint)

    def _advance(self, passed_on: events.Events) -> None:
        """Record events that were passed on to the caller."""
        if not passed_on.have_ids:
            self.position.advance(None, passed_on.have_data)
            return
        for event in passed_on.split():
            has_data = event.id is None and event.has_data
            self.position.advance(event.id, has_data)

    def _record_first_event(self, run: engineruns.EngineRun) -> None:
        """Record that an engine has begun to answer, in place of any other."""
        self._drop_silent_run('replaced')
        run.has_events = True
        self._record_start()
        self._record_version(run.engine)
        if run.options.kv_source is None:
            self._report_prefill_done(run.job, run.engine)
        elif self.prefill_done_s is not None:
            took_s = self.parts.clock.now_s() - self.prefill_done_s
            self.parts.placement_service.record_kv_transfer(
                self.service, run.job.id, run.engine.id, took_s
            )

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
            self.first_event_s = self.parts.clock.now_s()
            headers = self.parts.codec.answer_headers(head)
            self.caller.start_stream(head.status, headers)


def _was_held_back(result: outcomes.NotRun | outcomes.Lost) -> bool:
    """Whether a rate limit held an attempt back; the engine did not fail."""
    return (
        isinstance(result, outcomes.NotRun) and result.held_back_s is not None
    )
