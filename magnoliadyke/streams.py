"""Run requests on endpoints and pass their output to subscribers."""

import math
import typing
import zlib

import gevent
from gevent import event

from magnoliadyke.core import attempts
from magnoliadyke.core import jobs
from magnoliadyke.core import outcomes
from magnoliadyke.core import records
from magnoliadyke.core import scheduler
from magnoliadyke import dispatch
from magnoliadyke import errors
from magnoliadyke import mailbox
from magnoliadyke import pumps
from magnoliadyke import streammigration

__all__ = [
    'ABANDONED',
    'ModelRun',
    'Run',
    'ServiceCall',
    'ServiceRun',
    'Streams',
    'model_events',
    'pack_events',
]

STATUS_OK = 200
STATUS_SERVER_ERROR = 500
STATUS_UNAVAILABLE = 503
NOT_RUN_CODE = 'not_run'
DUPLICATE_CODE = 'duplicate_id'
#: Consecutive resumes without a new token after which an attempt has failed.
MAX_RESUMES = 3
MAX_RESUMES_UNREPEATABLE = 12
#: Ticks of 0.25 s between reports of progress to the scheduler.
PROGRESS_TICKS = 4
#: Ticks of 0.25 s between retries of a failed migration of a stream.
MIGRATION_RETRY_TICKS = 4
RESUME_PAUSE_S = 0.1
COMPRESSION_LEVEL = 1
COMPRESSED_FROM_BYTES = 4096

ENDPOINT_LOST = outcomes.Unknown(
    'endpoint_lost',
    'the request was sent and its end is not known; look up the effect '
    'before asking again',
)
ABANDONED = outcomes.Unknown(
    'abandoned', 'the caller went away before the end; ask with a new key'
)


class Abandoned(gevent.GreenletExit):
    """Raised in the greenlet of a run that :meth:`Run.abandon` ends."""


class Run:
    """Base of requests in flight; subscribers send the output to callers.

    :param key: idempotency key
    :param on_end: called once with the run, when its outcome is set
    :ivar pieces: output so far, a list of bytes that is only appended to
    :ivar subscribers: :class:`magnoliadyke.responsestream.OutcomeWaiter` of
        each caller
    :ivar outcome: :class:`records.Answer` or a tagged outcome; None while
        the request is in flight
    """

    def __init__(self, key, on_end):
        self.key = key
        self.on_end = on_end
        self.pieces = []
        self.subscribers = []
        self.outcome = None
        self.ended = event.Event()
        self.greenlet = None

    def start(self):
        """Start the greenlet of the run."""
        self.greenlet = gevent.spawn(self.main)
        # A greenlet that is killed before its first step never enters main;
        # without the link its key would count as running forever.
        self.greenlet.link(self.on_dead)

    def on_dead(self, greenlet):
        """End the run if its greenlet died before it set an outcome."""
        self.end(ABANDONED)

    def main(self):
        """Run until there is an outcome."""
        outcome = ABANDONED
        try:
            outcome = self.run()
        except Abandoned:
            self.clean_up()
        except Exception:
            # After any error the caller gets a typed outcome and the slot
            # is released in the scheduler; gevent prints the error.
            outcome = ENDPOINT_LOST
            self.clean_up()
            raise
        finally:
            self.end(outcome)

    def run(self):
        """Execute the request; return the answer or a tagged outcome."""
        raise NotImplementedError

    def clean_up(self):
        """Release resources of a run that was abandoned or has failed."""

    def append(self, block, framed=None):
        """Append output and pass it to the subscribers; runs in the hub.

        :param block: output bytes
        :param framed: the same bytes framed as an HTTP chunk, or None
        """
        if not self.pieces:
            self.begin_output()
        self.pieces.append(block)
        for follower in self.subscribers:
            follower.deliver(block, framed)

    def begin_output(self):
        """Hook that is called before the first output is appended."""

    def end(self, outcome):
        """Set the outcome and notify subscribers; only the first counts."""
        if self.outcome is not None:
            return
        self.outcome = outcome
        try:
            self.on_end(self)
        finally:
            self.ended.set()
            for follower in list(self.subscribers):
                follower.handle_end()

    def abandon(self):
        """Kill a run that is in flight; its outcome becomes ``ABANDONED``."""
        if self.greenlet is not None and self.outcome is None:
            self.greenlet.kill(Abandoned, block=False)


class EndpointRun(Run):
    """Base of runs whose attempts the dispatcher places on endpoints.

    :param job: :class:`magnoliadyke.core.jobs.Job`
    :param streams: :class:`Streams` of the node
    :ivar sent: whether a byte of the request may have reached an endpoint
    :ivar dispatched_s: time of the first placement in monotonic seconds, or
        None
    :ivar first_output_s: time of the first output in monotonic seconds, or
        None
    :ivar failures: number of failed attempts
    """

    def __init__(self, key, job, streams, on_end):
        super().__init__(key, on_end)
        self.job = job
        self.streams = streams
        self.dispatcher = streams.dispatcher
        self.clock = streams.clock
        self.sent = False
        self.dispatched_s = None
        self.first_output_s = None
        self.failures = 0

    def run(self):
        """Make attempts until one has an outcome or the scheduler refuses.

        A request that may not be repeated gets no further attempt once a
        byte of it may have reached an endpoint; the scheduler is only
        notified of the failure.
        """
        action = self.ask(dispatch.SubmitJob(self.job))
        while True:
            if isinstance(action, scheduler.Refuse):
                return self.outcome_of_refusal(action.outcome)
            self.dispatched_s = self.dispatched_s or self.clock.now_s()
            result = self.attempt(action)
            if not isinstance(result, jobs.Failed):
                return result
            if self.sent and not self.job.repeatable:
                final = dispatch.JobFinished(
                    self.job.id, without_retry(result)
                )
                self.dispatcher.post(final)
                return ENDPOINT_LOST
            action = self.ask(dispatch.JobFailed(self.job.id, result))

    def outcome_of_refusal(self, outcome):
        """Return the caller's outcome after the scheduler has refused.

        ``NotRun`` becomes ``Unknown`` after an attempt that may have run.
        """
        if self.sent and isinstance(outcome, outcomes.NotRun):
            return ENDPOINT_LOST
        return outcome

    def ask(self, message):
        """Send a message to the dispatcher; wait for the reply, without limit.

        :return: ``Dispatch`` or ``Refuse`` of ``core.scheduler``
        """
        return self.dispatcher.ask(message, None)

    def attempt(self, action):
        """Make one attempt where the scheduler has placed it.

        :param action: ``Dispatch`` of ``core.scheduler``
        :return: ``jobs.Failed``, an answer or a tagged outcome
        """
        raise NotImplementedError

    def clean_up(self):
        """Cancel the job in the scheduler, which releases its slot."""
        self.dispatcher.post(dispatch.CancelJob(self.job.id))

    def record_finished(self, finished):
        """Report to the scheduler that the job was completed."""
        self.dispatcher.post(dispatch.JobFinished(self.job.id, finished))

    def record_failure(self, endpoint_name, stage, ran, crashed=False):
        """Count a failed attempt; return its :class:`jobs.Failed`.

        :param endpoint_name: name of the endpoint
        :param stage: ``connect``, ``prefill`` or ``decode``
        :param ran: whether a byte of it may have reached the endpoint
        :param crashed: whether the endpoint has crashed
        """
        self.failures += 1
        if ran:
            self.sent = True
        return jobs.Failed(endpoint_name, stage, ran, crashed)

    def headers(self):
        """Return headers by which endpoints identify request and sender."""
        return (
            ('Content-Type', 'application/json'),
            ('X-Request-Key', self.key),
            ('X-Sender', self.dispatcher.host),
        )


def without_retry(failed):
    """Return a failure like this one that allows no further attempt."""
    return jobs.Failed(
        failed.endpoint, failed.stage, failed.ran, failed.crashed, False
    )


class ModelRun(EndpointRun):
    """A completion on a model engine.

    :param work: the engine's request body without the id, as a dict
    :param digest: short digest of the key, the prefix of attempt ids
    :ivar attempt_number: number of the current attempt
    :ivar stream_started: whether the engine has begun to stream its answer
    :ivar engine: client of the engine of the current attempt
    :ivar migration: :class:`magnoliadyke.streammigration.StreamMigration` in
        progress, or None
    :ivar assembly: :class:`attempts.Assembly` of the answer so far
    """

    def __init__(self, key, job, work, digest, streams, on_end):
        super().__init__(key, job, streams, on_end)
        self.work = work
        self.digest = digest
        self.attempt_number = 0
        self.stream_started = False
        self.attempt_id = ''
        self.engine = None
        self.connection = None
        self.migration = None
        self.assembly = attempts.Assembly()

    def continue_from(self, other):
        """Take over the output and the subscribers of another run.

        :param other: run with ``assembly``, ``pieces`` and ``subscribers``,
            whose answer this run continues
        """
        self.assembly = attempts.Assembly(other.assembly.offset)
        self.pieces = other.pieces
        self.subscribers = other.subscribers

    def attempt(self, action):
        """Prefill on a separate engine if the scheduler chose one; decode."""
        self.attempt_number += 1
        self.stream_started = False
        self.attempt_id = attempts.attempt_id(self.digest, self.attempt_number)
        work = {**self.work, 'id': self.attempt_id}
        if action.prefill_endpoint:
            kv = self.prefill(action.prefill_endpoint, work)
            if isinstance(kv, jobs.Failed):
                return kv
            work['kv'] = kv
        return self.decode(action.endpoint, work)

    def prefill(self, endpoint_name, work):
        """Compute the KV cache of the prompt on a prefill engine.

        :param endpoint_name: name of the prefill engine
        :param work: request body
        :return: handle of the KV cache as a dict, or ``jobs.Failed``
        """
        self.engine = self.dispatcher.endpoints[endpoint_name]
        try:
            reply = self.engine.prefill(work, self.headers())
        except errors.EndpointUnreachable as error:
            crashed = error.sent and self.engine.refuses_connections()
            return self.record_failure(
                endpoint_name, 'prefill', error.sent, crashed
            )
        if reply.error_code() == NOT_RUN_CODE:
            return self.record_failure(endpoint_name, 'prefill', False)
        self.sent = True
        try:
            kv_id = reply.json()['kv_id']
        except (ValueError, KeyError, TypeError):
            return self.record_failure(endpoint_name, 'prefill', True)
        now_s = self.clock.now_s()
        self.dispatcher.post(dispatch.PrefillDone(self.job.id, now_s))
        return {'address': self.engine.info.address, 'kv_id': kv_id}

    def decode(self, endpoint_name, work):
        """Start or continue the answer on a decode engine; read it to its end.

        :param endpoint_name: name of the decode engine
        :param work: request body
        :return: the answer, ``Rejected`` or ``jobs.Failed``
        """
        self.engine = self.dispatcher.endpoints[endpoint_name]
        if self.assembly.offset:
            # The engine continues the text that callers already have.
            work['offset'] = self.assembly.offset
            work['generated'] = attempts.text_of(b''.join(self.pieces))
        try:
            fresh = not self.job.repeatable
            reply = self.engine.complete(work, self.headers(), fresh)
        except errors.EndpointUnreachable as error:
            if not error.sent:
                return self.record_failure(endpoint_name, 'connect', False)
            self.sent = True
            return self.resume_attempt(endpoint_name)
        return self.handle_response(endpoint_name, reply)

    def handle_response(self, endpoint_name, reply):
        """Read the answer to a new attempt, as its status requires.

        :param reply: :class:`magnoliadyke.endpoint.StreamReply`
        :return: the answer, ``Rejected`` or ``jobs.Failed``
        """
        if reply.status == STATUS_OK:
            self.sent = self.stream_started = True
            if self.read(reply):
                return self.complete_answer()
            return self.resume_attempt(endpoint_name)
        try:
            response = reply.read_whole()
        except errors.EndpointUnreachable:
            return self.record_failure(endpoint_name, 'decode', True)
        code = response.error_code()
        if code == DUPLICATE_CODE:
            self.sent = True
            return self.resume_attempt(endpoint_name)
        if code == NOT_RUN_CODE:
            return self.record_failure(endpoint_name, 'decode', False)
        if response.status < STATUS_SERVER_ERROR:
            return self.reject_request(endpoint_name, code)
        return self.record_failure(endpoint_name, 'decode', True)

    @property
    def connections(self):
        """Return the connections to the engine of the current attempt."""
        return self.engine.connections

    def reject_request(self, endpoint_name, code):
        """Report a request that the engine rejects as invalid.

        :param code: error code of the engine, or ``''``
        :return: ``Rejected``
        """
        failed = without_retry(
            self.record_failure(endpoint_name, 'decode', False)
        )
        self.dispatcher.post(dispatch.JobFinished(self.job.id, failed))
        return outcomes.Rejected(
            code or 'bad_request', 'correct the request as the engine asks'
        )

    def read(self, reply):
        """Read a stream; return whether its final event was received."""
        self.connection = reply.connection
        label = (self.attempt_id, id(reply.connection))
        self.assembly.start_attempt(label)
        pump = pumps.Pump(self, reply.connection, label)
        is_complete = False
        try:
            is_complete = pump.run(reply.first)
        finally:
            if is_complete:
                self.connections.give_back(reply.connection)
            else:
                reply.connection.close()
        return is_complete

    def resume_attempt(self, endpoint_name):
        """Resume reading the running attempt, on new connections.

        This starts nothing on the engine, so it is no second attempt. A
        stream that has been migrated is continued on its new engine.

        :param endpoint_name: name of the engine
        :return: the answer, or ``jobs.Failed`` after too many resumes
            without a new token
        """
        if self.migration is not None:
            migration, self.migration = self.migration, None
            if migration.wait_for_export():
                return self.continue_at(migration)
        failures = 0
        while failures < self.max_resumes():
            offset = self.assembly.offset
            try:
                reply = self.engine.resume(self.attempt_id, offset)
            except errors.EndpointUnreachable:
                if self.engine.refuses_connections():
                    return self.record_failure(
                        endpoint_name, 'decode', True, crashed=True
                    )
                if self.job.repeatable:
                    # The engine doesn't respond on a new connection either:
                    # it hangs or is unreachable. Another one can take over.
                    break
                failures += 1
                self.clock.sleep(RESUME_PAUSE_S * failures)
                continue
            if reply.status != STATUS_OK:
                reply.connection.close()
                # An engine that has no record of a stream it had started
                # has been restarted: it crashed, even if it is up again.
                return self.record_failure(
                    endpoint_name, 'decode', True, self.stream_started
                )
            self.stream_started = True
            if self.read(reply):
                return self.complete_answer()
            has_progress = self.assembly.offset > offset
            failures = 0 if has_progress else failures + 1
            self.clock.sleep(RESUME_PAUSE_S * failures)
        self.cancel_attempt()
        return self.record_failure(endpoint_name, 'decode', True)

    def start_migration(self, again=False):
        """Start to migrate the stream to another engine, if it has tokens.

        :param again: whether to retry a migration that has failed
        """
        if (
            again
            and self.migration is not None
            and self.migration.has_failed()
        ):
            self.migration = None
        if self.migration is None and self.assembly.offset:
            self.migration = streammigration.StreamMigration(self)

    def continue_at(self, migration):
        """Continue the answer on another engine, from the exported KV cache.

        An engine that refuses has not started the stream: the cache stays on
        the engine that computed it, and another target is tried.

        :param migration: completed
            :class:`magnoliadyke.streammigration.StreamMigration`
        """
        endpoint_name = migration.target
        while True:
            self.attempt_number += 1
            self.stream_started = False
            self.attempt_id = attempts.attempt_id(
                self.digest, self.attempt_number
            )
            work = {**self.work, 'id': self.attempt_id, 'kv': migration.kv}
            result = self.decode(endpoint_name, work)
            if not isinstance(result, jobs.Failed) or result.ran:
                return result
            endpoint_name = migration.request_next_target()
            if not endpoint_name:
                return result

    def max_resumes(self):
        """Return how many consecutive resumes may bring no new token.

        A repeatable request is soon retried on another engine. For any other
        this stream is the only way to an answer.
        """
        return MAX_RESUMES if self.job.repeatable else MAX_RESUMES_UNREPEATABLE

    def complete_answer(self):
        """Report completion to the scheduler; return the complete answer."""
        usage = attempts.read_usage(self.assembly.finished)
        finished = jobs.Finished(
            int(usage.get('prompt_tokens', 0)),
            self.assembly.offset,
            int(usage.get('cached_tokens', 0)),
        )
        self.record_finished(finished)
        return records.Answer(
            'model',
            STATUS_OK,
            'text/event-stream',
            pack_events(self.pieces),
            finished.prompt_tokens,
            finished.output_tokens,
        )

    def clean_up(self):
        """Cancel the attempt on the engine and the job in the scheduler."""
        if self.connection is not None:
            self.connection.close()
        self.cancel_attempt()
        super().clean_up()

    def cancel_attempt(self):
        """Cancel the attempt on the engine, without waiting for a reply."""
        if self.engine is not None:
            gevent.spawn(cancel, self.engine, self.attempt_id)

    def begin_output(self):
        """Report the first token to the scheduler."""
        self.first_output_s = self.clock.now_s()
        self.dispatcher.post(
            dispatch.FirstToken(self.job.id, self.first_output_s)
        )


def cancel(engine, attempt):
    """Cancel an attempt; an engine that can't be reached is ignored."""
    try:
        engine.cancel(attempt)
    except errors.EndpointUnreachable:
        return


def pack_events(pieces):
    """Return events as one bytes object for the records.

    From ``COMPRESSED_FROM_BYTES`` on they are compressed.
    """
    events = b''.join(pieces)
    if len(events) < COMPRESSED_FROM_BYTES:
        return events
    return zlib.compress(events, COMPRESSION_LEVEL)


def model_events(answer):
    """Return the events of a recorded model answer as bytes."""
    if answer.body.startswith(attempts.OFFSET_FIELD):
        return answer.body
    return zlib.decompress(answer.body)


class ServiceCall(typing.NamedTuple):
    """The HTTP request that is sent to a plain service.

    :param path: raw path and query
    :param headers: pairs of name and value
    """

    method: str
    path: str
    headers: tuple
    body: bytes


class ServiceRun(EndpointRun):
    """A call of a plain service.

    :param call: :class:`ServiceCall`
    :param digest: short digest of the key, the prefix of attempt ids
    :ivar attempt_number: number of the current attempt
    """

    def __init__(self, key, job, call, digest, streams, on_end):
        super().__init__(key, job, streams, on_end)
        self.call = call
        self.digest = digest
        self.attempt_number = 0

    def attempt(self, action):
        """Make the call once, on the endpoint that was chosen."""
        endpoint_name = action.endpoint
        server = self.dispatcher.endpoints[endpoint_name]
        call = self.call
        self.attempt_number += 1
        attempt = attempts.attempt_id(self.digest, self.attempt_number)
        headers = (
            *call.headers,
            ('X-Request-Id', attempt),
            ('X-Request-Key', self.key),
            ('X-Sender', self.dispatcher.host),
        )
        fresh = not self.job.repeatable
        try:
            reply = server.call(
                call.method, call.path, call.body, headers, fresh
            )
        except errors.EndpointUnreachable as error:
            stage = 'decode' if error.sent else 'connect'
            return self.record_failure(endpoint_name, stage, error.sent)
        refused = reply.status == STATUS_UNAVAILABLE
        if refused and reply.error_code() == NOT_RUN_CODE:
            return self.record_failure(endpoint_name, 'decode', False)
        self.first_output_s = self.clock.now_s()
        self.record_finished(jobs.Finished())
        return records.Answer(
            'service', reply.status, reply.content_type, reply.body
        )


class Streams(mailbox.Task):
    """Checks the streams of all runs of a node at each tick.

    A single ticker closes silent connections, migrates streams away from
    engines that change their role and reports progress, so that no stream
    needs a timer of its own.

    :param dispatcher: :class:`magnoliadyke.dispatch.Dispatcher`
    :ivar pumps: :class:`magnoliadyke.pumps.Pump` of each open stream
    :ivar ticks: number of ticks so far
    """

    tick_interval_s = 0.25

    def __init__(self, dispatcher, clock):
        super().__init__('streams', clock)
        self.dispatcher = dispatcher
        self.pumps = set()
        self.ticks = 0

    def handle(self, message):
        """Ignore a message; none is sent to this task."""

    def cancel_everywhere(self, pool, digest):
        """Cancel the first attempt of a request whose home was lost.

        Otherwise its engine would generate the answer to the end, with no
        reader. All engines of the pool get the cancellation, since this node
        has no record of which one runs the attempt.

        :param pool: name of the pool
        :param digest: prefix of the ids of its attempts
        """
        attempt = attempts.attempt_id(digest, 1)
        for engine in self.dispatcher.endpoints.values():
            if engine.info.pool == pool:
                gevent.spawn(cancel, engine, attempt)

    def tick(self):
        """Close silent connections, migrate streams and report progress."""
        self.ticks += 1
        now_s = self.clock.now_s()
        for pump in list(self.pumps):
            connections = pump.connections
            if pump.check(now_s, connections.is_suspect()):
                connections.mark_suspect()
        self.migrate_streams(now_s)
        if self.ticks % PROGRESS_TICKS == 0:
            self.report_progress()

    def migrate_streams(self, now_s):
        """Migrate streams away from engines that are about to change roles."""
        changing = self.dispatcher.changing
        for pump in list(self.pumps) if changing else ():
            run = pump.target_run
            if run.job is None:
                continue  # a relay: its home migrates the stream
            since_s = changing.get(run.engine.name, math.inf)
            if now_s - since_s >= streammigration.MIGRATE_AFTER_S:
                run.start_migration(
                    again=self.ticks % MIGRATION_RETRY_TICKS == 0
                )

    def report_progress(self):
        """Report the output tokens of the streams to the scheduler."""
        progress = [pump.progress() for pump in self.pumps]
        progress = tuple(each for each in progress if each is not None)
        if progress:
            self.dispatcher.post(dispatch.Progress(progress))
