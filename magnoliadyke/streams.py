"""Run requests on endpoints and hand their output to those who follow."""

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
from magnoliadyke import moves
from magnoliadyke import pumps

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
#: Resumes in a row that brought no token before the attempt is given up.
MAX_RESUMES = 3
MAX_RESUMES_ONLY_WAY = 12
#: Ticks of 0.25 s between reports of progress to the scheduler.
PROGRESS_TICKS = 4
#: Ticks between tries to move an answer.
MOVE_TICKS = 4
RESUME_PAUSE_S = 0.1
COMPRESSION_LEVEL = 1
COMPRESSED_FROM_BYTES = 4096

LOST = outcomes.Unknown(
    'endpoint_lost',
    'the request was sent and its end is not known; look up the effect '
    'before asking again',
)
ABANDONED = outcomes.Unknown(
    'abandoned', 'the caller went away before the end; ask with a new key'
)


class Abandoned(gevent.GreenletExit):
    """Nobody wants the answer any more."""


class Run:
    """One request on its way; the followers read its output.

    :param key: idempotency key
    :param on_end: called once with the run, when its outcome is known
    :ivar pieces: output so far, as bytes; only ever appended to
    :ivar outcome: :class:`records.Answer` or a tagged outcome, at the end
    """

    def __init__(self, key, on_end):
        self.key = key
        self.on_end = on_end
        self.pieces = []
        self.followers = []
        self.outcome = None
        self.ended = event.Event()
        self.greenlet = None

    def start(self):
        """Begin to run."""
        self.greenlet = gevent.spawn(self.main)
        # A greenlet that is killed before its first step never runs main:
        # its key would count as running for good.
        self.greenlet.link(self.on_dead)

    def on_dead(self, greenlet):
        """End the run if its greenlet ended without doing so."""
        self.end(ABANDONED)

    def main(self):
        """Run until there is an outcome."""
        outcome = ABANDONED
        try:
            outcome = self.run()
        except Abandoned:
            self.give_up()
        except Exception:
            # Whatever went wrong, the caller gets a typed end and the
            # scheduler gets its slot back; the error itself is printed.
            outcome = LOST
            self.give_up()
            raise
        finally:
            self.end(outcome)

    def run(self):
        """Return the outcome."""
        raise NotImplementedError

    def give_up(self):
        """Clean up after a run that did not end by itself."""

    def append(self, block, framed=None):
        """Add output and pass it to the followers; runs in the hub.

        :param framed: the same bytes as a chunk of HTTP, if at hand
        """
        if not self.pieces:
            self.begin_output()
        self.pieces.append(block)
        for follower in self.followers:
            follower.pass_on(block, framed)

    def begin_output(self):
        """Hook before the first output."""

    def end(self, outcome):
        """Set the outcome and tell the followers; only the first counts."""
        if self.outcome is not None:
            return
        self.outcome = outcome
        try:
            self.on_end(self)
        finally:
            self.ended.set()
            for follower in list(self.followers):
                follower.notify()

    def abandon(self):
        """Stop: nobody wants the answer."""
        if self.greenlet is not None and self.outcome is None:
            self.greenlet.kill(Abandoned, block=False)


class EndpointRun(Run):
    """A run that the dispatcher places on endpoints.

    :param job: :class:`magnoliadyke.core.jobs.Job`
    :param streams: :class:`Streams` of the node
    :ivar sent: whether a byte of the request may be at an endpoint
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
        """Attempt until an outcome stands; the scheduler decides how often.

        A request that may not be repeated gets no further attempt once a
        byte of it may be at an endpoint, whatever the scheduler says.
        """
        action = self.ask(dispatch.SubmitJob(self.job))
        while True:
            if isinstance(action, scheduler.Refuse):
                return self.refused(action.outcome)
            self.dispatched_s = self.dispatched_s or self.clock.now_s()
            result = self.attempt(action)
            if not isinstance(result, jobs.Failed):
                return result
            if self.sent and not self.job.repeatable:
                final = dispatch.JobFinished(self.job.id, final_of(result))
                self.dispatcher.post(final)
                return LOST
            action = self.ask(dispatch.JobFailed(self.job.id, result))

    def refused(self, outcome):
        """Return what to tell after the scheduler's refusal.

        ``NotRun`` would be untrue after an attempt that may have run.
        """
        if self.sent and isinstance(outcome, outcomes.NotRun):
            return LOST
        return outcome

    def ask(self, message):
        """Ask the dispatcher; wait as long as it takes."""
        return self.dispatcher.ask(message, None)

    def attempt(self, action):
        """Make one attempt; return Failed, an answer or an outcome."""
        raise NotImplementedError

    def give_up(self):
        """Take the job back from the scheduler."""
        self.dispatcher.post(dispatch.CancelJob(self.job.id))

    def finished(self, finished):
        """Tell the scheduler that the job ended well."""
        self.dispatcher.post(dispatch.JobFinished(self.job.id, finished))

    def failed(self, name, stage, ran, crashed=False):
        """Return the failure of an attempt.

        :param ran: whether a byte of it may have reached the endpoint
        """
        self.failures += 1
        if ran:
            self.sent = True
        return jobs.Failed(name, stage, ran, crashed)

    def headers(self):
        """Return the headers that name the request in endpoint ledgers."""
        return (
            ('Content-Type', 'application/json'),
            ('X-Request-Key', self.key),
            ('X-Sender', self.dispatcher.host),
        )


def final_of(failed):
    """Return a failure after which nothing is placed again."""
    return jobs.Failed(
        failed.endpoint, failed.stage, failed.ran, failed.crashed, False
    )


class ModelRun(EndpointRun):
    """A completion on a model engine.

    :param work: body for the engine without id, as a dict
    :param digest: short digest of the key, start of the attempts' ids
    """

    def __init__(self, key, job, work, digest, streams, on_end):
        super().__init__(key, job, streams, on_end)
        self.work = work
        self.digest = digest
        self.number = 0
        self.begun = False
        self.attempt_id = ''
        self.engine = None
        self.connection = None
        self.moving = None
        self.assembly = attempts.Assembly()

    def go_on_from(self, other):
        """Continue the answer of another run, for the same followers.

        :param other: run with ``assembly``, ``pieces`` and ``followers``
        """
        self.assembly = attempts.Assembly(other.assembly.offset)
        self.pieces = other.pieces
        self.followers = other.followers

    def attempt(self, action):
        """Prefill if asked to, then decode."""
        self.number += 1
        self.begun = False
        self.attempt_id = attempts.attempt_id(self.digest, self.number)
        work = {**self.work, 'id': self.attempt_id}
        if action.prefill_endpoint:
            kv = self.prefill(action.prefill_endpoint, work)
            if isinstance(kv, jobs.Failed):
                return kv
            work['kv'] = kv
        return self.decode(action.endpoint, work)

    def prefill(self, name, work):
        """Run the prompt on another engine; return the handle of its KV."""
        self.engine = self.dispatcher.endpoints[name]
        try:
            reply = self.engine.prefill(work, self.headers())
        except errors.EndpointUnreachable as error:
            crashed = error.sent and self.engine.refuses_connections()
            return self.failed(name, 'prefill', error.sent, crashed)
        if reply.error_code() == NOT_RUN_CODE:
            return self.failed(name, 'prefill', False)
        self.sent = True
        try:
            kv_id = reply.json()['kv_id']
        except (ValueError, KeyError, TypeError):
            return self.failed(name, 'prefill', True)
        now_s = self.clock.now_s()
        self.dispatcher.post(dispatch.PrefillDone(self.job.id, now_s))
        return {'address': self.engine.info.address, 'kv_id': kv_id}

    def decode(self, name, work):
        """Start the answer on an engine and read it to its end."""
        self.engine = self.dispatcher.endpoints[name]
        if self.assembly.offset:
            # The text so far is part of what the engine continues.
            work['offset'] = self.assembly.offset
            work['generated'] = attempts.text_of(b''.join(self.pieces))
        try:
            fresh = not self.job.repeatable
            reply = self.engine.complete(work, self.headers(), fresh)
        except errors.EndpointUnreachable as error:
            if not error.sent:
                return self.failed(name, 'connect', False)
            self.sent = True
            return self.read_on(name)
        return self.judge(name, reply)

    def judge(self, name, reply):
        """Act on the head of the answer to a new attempt."""
        if reply.status == STATUS_OK:
            self.sent = self.begun = True
            if self.read(reply):
                return self.answered()
            return self.read_on(name)
        try:
            whole = reply.whole()
        except errors.EndpointUnreachable:
            return self.failed(name, 'decode', True)
        code = whole.error_code()
        if code == DUPLICATE_CODE:
            self.sent = True
            return self.read_on(name)
        if code == NOT_RUN_CODE:
            return self.failed(name, 'decode', False)
        if whole.status < STATUS_SERVER_ERROR:
            return self.refused_by_engine(name, code)
        return self.failed(name, 'decode', True)

    @property
    def connections(self):
        """Connections to the present engine."""
        return self.engine.connections

    def refused_by_engine(self, name, code):
        """The engine calls the request itself wrong."""
        failed = final_of(self.failed(name, 'decode', False))
        self.dispatcher.post(dispatch.JobFinished(self.job.id, failed))
        return outcomes.Rejected(
            code or 'bad_request', 'correct the request as the engine asks'
        )

    def read(self, reply):
        """Read a stream; return whether it came to its finish mark."""
        self.connection = reply.connection
        label = (self.attempt_id, id(reply.connection))
        self.assembly.start_attempt(label)
        pump = pumps.Pump(self, reply.connection, label)
        whole = False
        try:
            whole = pump.run(reply.first)
        finally:
            if whole:
                self.connections.give_back(reply.connection)
            else:
                reply.connection.close()
        return whole

    def read_on(self, name):
        """Resume the same attempt on new connections; judge if that fails.

        Reading the stream that runs already is no second attempt.
        """
        if self.moving is not None:
            move, self.moving = self.moving, None
            if move.done():
                return self.go_on_at(move)
        failures = 0
        while failures < self.patience():
            offset = self.assembly.offset
            try:
                reply = self.engine.resume(self.attempt_id, offset)
            except errors.EndpointUnreachable:
                if self.engine.refuses_connections():
                    return self.failed(name, 'decode', True, crashed=True)
                if self.job.repeatable:
                    # Not even a new connection is answered: the engine hangs
                    # or is cut off, and another one can take over now.
                    break
                failures += 1
                self.clock.sleep(RESUME_PAUSE_S * failures)
                continue
            if reply.status != STATUS_OK:
                reply.connection.close()
                # An engine that has forgotten a stream it had begun was
                # started anew: it crashed, even if it is back already.
                return self.failed(name, 'decode', True, self.begun)
            self.begun = True
            if self.read(reply):
                return self.answered()
            moved = self.assembly.offset > offset
            failures = 0 if moved else failures + 1
            self.clock.sleep(RESUME_PAUSE_S * failures)
        self.cancel_attempt()
        return self.failed(name, 'decode', True)

    def move(self, again=False):
        """Take the answer elsewhere, once it has begun.

        :param again: whether a move that failed is tried anew
        """
        if again and self.moving is not None and self.moving.failed():
            self.moving = None
        if self.moving is None and self.assembly.offset:
            self.moving = moves.Move(self)

    def go_on_at(self, move):
        """Continue the answer on another engine, from its KV cache.

        One that refuses has not run it: the cache stays where it was made,
        and a further engine is asked.
        """
        name = move.target
        while True:
            self.number += 1
            self.begun = False
            self.attempt_id = attempts.attempt_id(self.digest, self.number)
            work = {**self.work, 'id': self.attempt_id, 'kv': move.kv}
            result = self.decode(name, work)
            if not isinstance(result, jobs.Failed) or result.ran:
                return result
            name = move.next_place()
            if not name:
                return result

    def patience(self):
        """Return how many resumes in a row may bring nothing.

        A request that may be repeated is better off on another engine. One
        that may not has no other way to an answer than this stream.
        """
        return MAX_RESUMES if self.job.repeatable else MAX_RESUMES_ONLY_WAY

    def answered(self):
        """Return the whole answer; tell the scheduler."""
        usage = attempts.read_usage(self.assembly.finished)
        finished = jobs.Finished(
            int(usage.get('prompt_tokens', 0)),
            self.assembly.offset,
            int(usage.get('cached_tokens', 0)),
        )
        self.finished(finished)
        return records.Answer(
            'model',
            STATUS_OK,
            'text/event-stream',
            pack_events(self.pieces),
            finished.prompt_tokens,
            finished.output_tokens,
        )

    def give_up(self):
        """Cancel on the engine, then take the job back."""
        if self.connection is not None:
            self.connection.close()
        self.cancel_attempt()
        super().give_up()

    def cancel_attempt(self):
        """Ask the engine to stop, without waiting for it."""
        if self.engine is not None:
            gevent.spawn(cancel, self.engine, self.attempt_id)

    def begin_output(self):
        """Tell the scheduler that the first token came."""
        self.first_output_s = self.clock.now_s()
        self.dispatcher.post(
            dispatch.FirstToken(self.job.id, self.first_output_s)
        )


def cancel(engine, attempt):
    """Cancel an attempt; an engine that is gone needs no cancel."""
    try:
        engine.cancel(attempt)
    except errors.EndpointUnreachable:
        return


def pack_events(pieces):
    """Return events as they are kept: long ones compressed."""
    events = b''.join(pieces)
    if len(events) < COMPRESSED_FROM_BYTES:
        return events
    return zlib.compress(events, COMPRESSION_LEVEL)


def model_events(answer):
    """Return the events of a kept model answer as bytes."""
    if answer.body.startswith(attempts.OFFSET_START):
        return answer.body
    return zlib.decompress(answer.body)


class ServiceCall(typing.NamedTuple):
    """What goes to a plain service.

    :param path: raw path and query
    :param headers: pairs of text
    """

    method: str
    path: str
    headers: tuple
    body: bytes


class ServiceRun(EndpointRun):
    """A call of a plain service.

    :param call: :class:`ServiceCall`
    :param digest: short digest of the key, start of the attempts' ids
    """

    def __init__(self, key, job, call, digest, streams, on_end):
        super().__init__(key, job, streams, on_end)
        self.call = call
        self.digest = digest
        self.number = 0

    def attempt(self, action):
        """Make the call once."""
        name = action.endpoint
        server = self.dispatcher.endpoints[name]
        call = self.call
        self.number += 1
        attempt = attempts.attempt_id(self.digest, self.number)
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
            return self.failed(name, stage, error.sent)
        refused = reply.status == STATUS_UNAVAILABLE
        if refused and reply.error_code() == NOT_RUN_CODE:
            return self.failed(name, 'decode', False)
        self.first_output_s = self.clock.now_s()
        self.finished(jobs.Finished())
        return records.Answer(
            'service', reply.status, reply.content_type, reply.body
        )


class Streams(mailbox.Task):
    """What all runs of a node share; watches over their connections.

    One ticker looks after all streams, so that none has a timer of its own.

    :param dispatcher: :class:`magnoliadyke.dispatch.Dispatcher`
    """

    tick_interval_s = 0.25

    def __init__(self, dispatcher, clock):
        super().__init__('streams', clock)
        self.dispatcher = dispatcher
        self.pumps = set()
        self.ticks = 0

    def handle(self, message):
        """Streams get no messages."""

    def cancel_everywhere(self, pool, digest):
        """Cancel the first attempt of a request whose home is gone.

        The engine that runs it is not known here. Left alone it would go on
        to the end for nobody.

        :param digest: start of the ids of its attempts
        """
        attempt = attempts.attempt_id(digest, 1)
        for engine in self.dispatcher.endpoints.values():
            if engine.info.pool == pool:
                gevent.spawn(cancel, engine, attempt)

    def tick(self):
        """Look for silent connections, and report progress."""
        self.ticks += 1
        now_s = self.clock.now_s()
        for pump in list(self.pumps):
            connections = pump.connections
            if pump.check(now_s, connections.suspect()):
                connections.went_silent()
        self.move_away(now_s)
        if self.ticks % PROGRESS_TICKS == 0:
            self.report_progress()

    def move_away(self, now_s):
        """Move the answers whose engines are to change soon."""
        changing = self.dispatcher.changing
        for pump in list(self.pumps) if changing else ():
            run = pump.run_
            if run.job is None:
                continue  # a relay: the answer's home moves it
            since_s = changing.get(run.engine.name, math.inf)
            if now_s - since_s >= moves.AFTER_S:
                run.move(again=self.ticks % MOVE_TICKS == 0)

    def report_progress(self):
        """Tell the scheduler how far the streams are."""
        moved = [pump.progress() for pump in self.pumps]
        moved = tuple(each for each in moved if each is not None)
        if moved:
            self.dispatcher.post(dispatch.Progress(moved))
