"""Relay a request to its home, another node, and read its output."""

from urllib import parse

from magnoliadyke import caller_codec
from magnoliadyke.core import attempts
from magnoliadyke.core import outcomes
from magnoliadyke.core import records
from magnoliadyke import endpoint as endpoints
from magnoliadyke import errors
from magnoliadyke import pumps
from magnoliadyke import streams

__all__ = ['MAX_HOPS', 'ModelRelay', 'ServiceRelay']

MAX_HOPS = 3
RETRY_PAUSE_S = 0.2
#: How long a home that gossip reports alive is retried without progress. A
#: repeatable request can soon run on this node instead; one that may not be
#: repeated can be answered by its home only.
PROGRESS_TIMEOUT_S = 4.0
UNREPEATABLE_PROGRESS_TIMEOUT_S = 15.0
HOME_LOST = outcomes.Unknown(
    'home_lost',
    'the host that ran the request is gone; look up the effect before '
    'asking again',
)
HOME_UNREACHED = outcomes.NotRun(
    'home_unreachable', 'ask a host for a new ticket and send it again', 0.2
)


class Relay(streams.Run):
    """A request that runs at its home, on another node.

    It is safe to send it to its home again: the home runs a key only once.

    :param request: :class:`caller_codec.ModelRequest` or
        :class:`caller_codec.ServiceRequest`
    :param key: the key to send
    :param locate: called without arguments; returns the
        :class:`magnoliadyke.endpoint.Connections` to the home, or None when
        no node has its records
    :param hops: hosts that have relayed the request, this one included
    :ivar sent: whether a byte of the request may have reached the home
    :ivar continue_here: called with the relay when its home is lost; see
        :meth:`magnoliadyke.homes.Homes.continue_here`
    :ivar recorded_outcome: called with the relay when its home is lost; see
        :meth:`magnoliadyke.homes.Homes.recorded_outcome`
    :ivar home: ``HOST.INCARNATION``
    """

    job = None
    connections = None

    def __init__(self, key, request, locate, hops, streams_, on_end):
        super().__init__(key, on_end)
        self.request = request
        self.locate = locate
        self.hops = hops
        self.streams = streams_
        self.clock = streams_.clock
        self.sent = False
        self.continue_here = None
        self.recorded_outcome = None
        self.home = ''

    def run(self):
        """Call the home until it returns an outcome or counts as lost.

        A home that other nodes can reach may be unreachable from this node,
        so the calls end after ``progress_timeout_s`` without progress.
        """
        last_progress_s = self.clock.now_s()
        while self.clock.now_s() - last_progress_s < self.progress_timeout_s():
            home = self.locate()
            if home is None:
                return self.on_home_lost()
            before = self.progress()
            outcome = self.call_home(home)
            if outcome is not None:
                return outcome
            if self.progress() != before:
                last_progress_s = self.clock.now_s()
            self.clock.sleep(RETRY_PAUSE_S)
        return self.on_home_lost()

    def progress_timeout_s(self):
        """Return how long to call the home without progress, in seconds."""
        if self.sent and not self.request.repeatable:
            return UNREPEATABLE_PROGRESS_TIMEOUT_S
        return PROGRESS_TIMEOUT_S

    def progress(self):
        """Return a value that changes whenever output was received."""
        return len(self.pieces)

    def call_home(self, home):
        """Call the home once.

        :return: the outcome, or None when the call has failed
        """
        try:
            return self.ask(home)
        except errors.EndpointUnreachable as error:
            self.sent = self.sent or error.sent
            return None

    def ask(self, home):
        """Make one call to the home.

        :param home: :class:`magnoliadyke.endpoint.Connections`
        :return: the outcome, or None when the home returned none
        :raises EndpointUnreachable: when the call failed
        """
        raise NotImplementedError

    def on_home_lost(self):
        """Return the outcome of a request whose home was lost.

        It is the recorded one if there is one, else that of a run on this
        node if that is allowed. The request counts as not run only if it was
        the first copy and no byte of it was sent.
        """
        outcome = (
            self.recorded_outcome(self) if self.recorded_outcome else None
        )
        if outcome is not None:
            return self.deliver_recorded(outcome)
        outcome = self.continue_locally()
        if outcome is not None:
            return outcome
        if not self.sent and self.request.first:
            return HOME_UNREACHED
        return HOME_LOST

    def deliver_recorded(self, outcome):
        """Return a recorded outcome, after output that is still missing."""
        return outcome

    def continue_locally(self):
        """Run the request on this node, if that is allowed.

        :return: the outcome, or None when it may not run here
        """
        return self.continue_here(self) if self.continue_here else None

    def headers(self):
        """Return the headers of the call to the home."""
        request = self.request
        return (
            ('Authorization', request.credential),
            ('Idempotency-Key', self.key),
            ('X-Relayed-By', ','.join(self.hops)),
            ('X-Repeatable', 'true' if request.repeatable else 'false'),
            ('X-Priority-Number', str(request.priority)),
        )


class ModelRelay(Relay):
    """Relay of a completion; passes on its events and resumes by offset.

    :param offset: output tokens that the caller has already
    :param resume_only: whether this node does not have the request itself,
        so that only an existing answer can be read
    """

    def __init__(
        self,
        key,
        request,
        locate,
        hops,
        streams_,
        on_end,
        offset=0,
        resume_only=False,
    ):
        super().__init__(key, request, locate, hops, streams_, on_end)
        self.assembly = attempts.Assembly(offset)
        self.resume_only = resume_only
        self.started = False
        self.connections = None
        self.connection = None

    def deliver_recorded(self, outcome):
        """Append the missing rest of a recorded answer; return the outcome."""
        if not isinstance(outcome, records.Answer):
            return outcome
        if outcome.kind != 'model':
            return records.KEY_REUSED
        events = streams.model_events(outcome)
        label = (self.key, 'kept')
        self.assembly.start_attempt(label)
        rest = attempts.events_from(events, self.assembly.offset)
        self.append(self.assembly.feed(label, rest))
        return outcome

    def continue_locally(self):
        """Continue the answer on this node, if it has the request."""
        return None if self.resume_only else super().continue_locally()

    def ask(self, home):
        """Send the request, or resume an answer that has started."""
        reply = self.open_stream(home)
        if reply.status != streams.STATUS_OK:
            return self.outcome_of_refusal(reply)
        self.sent = True
        if self.read(home, reply):
            return self.complete_answer()
        if self.assembly.error is not None:
            return caller_codec.error_outcome(self.assembly.error)
        return None

    def open_stream(self, home):
        """Start the completion at the home, or resume it at the offset.

        :return: :class:`magnoliadyke.endpoint.StreamReply`
        """
        if self.resume_only or self.assembly.offset:
            key = parse.quote(self.key, safe='')
            path = f'/v1/answers/{key}?offset={self.assembly.offset}'
            return self.stream(home, 'GET', path, b'')
        work = {**self.request.work, 'stream': True}
        body = endpoints.json_bytes(work)
        return self.stream(home, 'POST', '/v1/completions', body)

    def stream(self, home, method, path, body):
        """Make one call whose response is a stream."""
        timeout_s = home.settings.head_s
        return home.stream(method, path, body, self.headers(), timeout_s)

    def outcome_of_refusal(self, reply):
        """Return the outcome that the home sent instead of a stream."""
        response = reply.read_whole()
        return caller_codec.outcome_from(response) or outcomes.Unknown(
            'home_error', 'look up the effect before asking again'
        )

    def read(self, home, reply):
        """Pass events on; return whether the final event was received."""
        self.connections = home
        label = (self.key, id(reply.connection))
        self.assembly.start_attempt(label)
        try:
            pump = pumps.Pump(self, reply.connection, label)
            return pump.run(reply.first)
        finally:
            reply.connection.close()

    def complete_answer(self):
        """Return the complete answer."""
        usage = attempts.read_usage(self.assembly.finished)
        return records.Answer(
            'model',
            streams.STATUS_OK,
            'text/event-stream',
            streams.pack_events(self.pieces),
            int(usage.get('prompt_tokens', 0)),
            self.assembly.offset,
        )


class ServiceRelay(Relay):
    """Relay of a call of a plain service."""

    def ask(self, home):
        """Make the call; the home responds when the call has ended.

        A response without an outcome or a request key was not made by the
        home's routes but by its HTTP server, and is not passed on.
        """
        request = self.request
        path = f'/v1/services/{request.service}{request.path}'
        reply = home.call(
            request.method,
            path,
            request.body,
            (*self.headers(), *request.headers),
            home.settings.service_s,
            fresh=True,
        )
        outcome = caller_codec.outcome_from(reply)
        if outcome is not None:
            return outcome
        if not reply.request_key:
            self.sent = True
            return None
        return records.Answer(
            'service', reply.status, reply.content_type, reply.body
        )
