"""Follow a request at another node, its home."""

from urllib import parse

from magnoliadyke.core import attempts
from magnoliadyke.core import outcomes
from magnoliadyke.core import records
from magnoliadyke import endpoint as endpoints
from magnoliadyke import errors
from magnoliadyke import forms
from magnoliadyke import pumps
from magnoliadyke import streams

__all__ = ['MAX_HOPS', 'ModelRelay', 'ServiceRelay']

MAX_HOPS = 3
RETRY_PAUSE_S = 0.2
#: How long a home that is called alive may stay without an answer. What may
#: be repeated is soon better off here; what may not has no other way.
PATIENCE_S = 4.0
PATIENCE_ONLY_WAY_S = 15.0
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

    Sending it to its home again is safe: the home runs a key once.

    :param request: :class:`forms.ModelRequest` or
        :class:`forms.ServiceRequest`
    :param key: the key to send
    :param locate: called with no argument; returns the home's
        :class:`magnoliadyke.endpoint.Connections`, or None when it is gone
    :param hops: hosts that have relayed the request, this one included
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
        self.go_on_here = None
        self.settled_here = None
        self.home = ''

    def run(self):
        """Ask the home until it answers or is known to be gone.

        A home that others call alive may be cut off from this node alone,
        so there is a limit to how long it is asked without an answer.
        """
        heard_s = self.clock.now_s()
        while self.clock.now_s() - heard_s < self.patience_s():
            home = self.locate()
            if home is None:
                return self.lost()
            before = self.progress()
            outcome = self.try_home(home)
            if outcome is not None:
                return outcome
            if self.progress() != before:
                heard_s = self.clock.now_s()
            self.clock.sleep(RETRY_PAUSE_S)
        return self.lost()

    def patience_s(self):
        """Return how long to ask without an answer, in seconds."""
        if self.sent and not self.request.repeatable:
            return PATIENCE_ONLY_WAY_S
        return PATIENCE_S

    def progress(self):
        """Return something that changes as the answer goes on."""
        return len(self.pieces)

    def try_home(self, home):
        """Return the outcome, or None when the home did not tell it."""
        try:
            return self.ask(home)
        except errors.EndpointUnreachable as error:
            self.sent = self.sent or error.sent
            return None

    def ask(self, home):
        """Make one call to the home."""
        raise NotImplementedError

    def lost(self):
        """Return what to say when the home is gone for good."""
        outcome = self.settled_here(self) if self.settled_here else None
        if outcome is not None:
            return self.settle(outcome)
        outcome = self.go_on()
        if outcome is not None:
            return outcome
        if not self.sent and self.request.first:
            return HOME_UNREACHED
        return HOME_LOST

    def settle(self, outcome):
        """Return an end that this node's records know."""
        return outcome

    def go_on(self):
        """Run on this node what was lost with its home, if that may be."""
        return self.go_on_here(self) if self.go_on_here else None

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
    """A completion at its home; passes events on and resumes by offset.

    :param offset: output tokens the caller has already
    :param resume_only: whether the request itself is not known here, so
        that only an answer that exists can be read
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

    def settle(self, outcome):
        """Pass the rest of a kept answer on."""
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

    def go_on(self):
        """Continue the answer on this node."""
        return None if self.resume_only else super().go_on()

    def ask(self, home):
        """Send the request, or resume the answer that has begun."""
        reply = self.open(home)
        if reply.status != streams.STATUS_OK:
            return self.refused(reply)
        self.sent = True
        if self.read(home, reply):
            return self.answered()
        if self.assembly.error is not None:
            return forms.error_outcome(self.assembly.error)
        return None

    def open(self, home):
        """Open a stream at the home."""
        if self.resume_only or self.assembly.offset:
            key = parse.quote(self.key, safe='')
            path = f'/v1/answers/{key}?offset={self.assembly.offset}'
            return self.stream(home, 'GET', path, b'')
        work = {**self.request.work, 'stream': True}
        body = endpoints.json_bytes(work)
        return self.stream(home, 'POST', '/v1/completions', body)

    def stream(self, home, method, path, body):
        """Make one streaming call."""
        timeout_s = home.settings.head_s
        return home.stream(method, path, body, self.headers(), timeout_s)

    def refused(self, reply):
        """Return the outcome that the home answered instead of a stream."""
        whole = reply.whole()
        return forms.outcome_from(whole) or outcomes.Unknown(
            'home_error', 'look up the effect before asking again'
        )

    def read(self, home, reply):
        """Pass events on; return whether the finish mark came."""
        self.connections = home
        label = (self.key, id(reply.connection))
        self.assembly.start_attempt(label)
        try:
            pump = pumps.Pump(self, reply.connection, label)
            return pump.run(reply.first)
        finally:
            reply.connection.close()

    def answered(self):
        """Return the whole answer."""
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
    """A service call at its home."""

    def ask(self, home):
        """Make the call; the home answers when it has ended."""
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
        outcome = forms.outcome_from(reply)
        if outcome is not None:
            return outcome
        if not reply.request_key:
            self.sent = True
            return None
        return records.Answer(
            'service', reply.status, reply.content_type, reply.body
        )
