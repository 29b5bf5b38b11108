"""Client library of callers: host selection, retries, resumed streams."""

import json
import random
import typing
from urllib import parse

from geventhttpclient import response as responses

from magnoliadyke import caller_codec
from magnoliadyke import clock as clocks
from magnoliadyke.core import attempts
from magnoliadyke.core import outcomes
from magnoliadyke.core import retries
from magnoliadyke import endpoint as endpoints
from magnoliadyke import errors

__all__ = ['Client', 'ClientSettings', 'CallerHost']

HOSTS_PATH = '/v1/hosts'
#: Reasons of NotRun that concern one host only. A retry at another host
#: succeeds at once and adds no load, so it is not charged to the retry budget.
OTHER_HOST_REASONS = frozenset(
    {'stopping', 'no_table', 'stale_table', 'home_unreachable'}
)
#: Reasons of NotRun given by a host without a query of the key's home: they
#: do not show whether an earlier copy of the request was executed.
REASONS_WITHOUT_HOME = frozenset({'no_table', 'claims_unavailable'})
BUDGET_NAME = 'client'
RETRY_SHARE = 0.1
INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 2.0
#: The retry delay that a host gives is a forecast. After a fault it can be a
#: minute, although the engines are idle long before.
MAX_RETRY_AFTER_S = 10.0
NO_HOST = outcomes.NotRun(
    'no_host', 'check the network and the list of hosts', 1.0
)
NO_ANSWER = outcomes.Unknown(
    'no_answer_in_time',
    'retry with the same key, or look up the effect',
)


class ClientSettings(typing.NamedTuple):
    """Time limits of the client, in seconds.

    :param connect_s: to open a connection
    :param head_s: to receive the head of a response
    :param silence_s: between two reads of a stream; nodes send at least a
        comment each second, so the host is unreachable after this time
    :param service_s: for one call of a plain service, after which it is
        sent again under the same key
    :param deadline_s: to complete a request, all retries included
    :param remember_s: how long an address from a list of hosts is preferred
        to the initial ones
    :param idle_s: how long an idle connection is kept
    """

    connect_s: float = 1.0
    head_s: float = 3.0
    silence_s: float = 2.5
    service_s: float = 15.0
    deadline_s: float = 120.0
    remember_s: float = 3600.0
    idle_s: float = 5.0


class CallerHost(typing.NamedTuple):
    """A host in the answer of ``/v1/hosts``.

    :param host: name of the host
    :param address: ``ip:port``
    :param failure_domain: failure domain of the host
    """

    host: str
    address: str
    failure_domain: str


class Session:
    """A host and its ticket, from which idempotency keys are made.

    :param address: ``ip:port`` of the host
    :param ticket: ticket that the host issued
    :param until_s: monotonic time until which the ticket may be used
    """

    def __init__(self, address, ticket, until_s):
        self.address = address
        self.ticket = ticket
        self.until_s = until_s
        self.last_key_number = 0

    def new_key(self):
        """Return a new idempotency key."""
        self.last_key_number += 1
        return f'{self.ticket}/{self.last_key_number}'


class Request(typing.NamedTuple):
    """The parts of a request that are the same in all attempts.

    :param headers: headers as pairs
    :param repeatable: whether it may be executed more than once
    :param stream: whether the answer is an event stream
    :param on_text: called with each piece of text and its offset, or None
    """

    method: str
    path: str
    body: bytes
    headers: tuple
    repeatable: bool
    stream: bool
    on_text: typing.Any = None


class Progress:
    """Progress of a request under one idempotency key.

    :param key: the idempotency key
    :ivar sent: whether a copy of the request may have been received
    :ivar copies: number of copies that were sent
    :ivar assembly: the answer so far
    :ivar pieces: the texts of the answer so far
    """

    def __init__(self, key):
        self.key = key
        self.sent = False
        self.copies = 0
        self.assembly = attempts.Assembly()
        self.pieces = []


DEFAULTS = ClientSettings()


class Client:
    """Sends requests to a deployment on behalf of one customer.

    It queries any host for the list of hosts, and sends its requests to the
    best of them while the ticket is valid. ``complete`` and ``call`` return
    outcomes and do not raise if hosts are unreachable.

    :param hosts: addresses ``ip:port`` to start from
    :param credential: the customer's key
    :param clock: a :class:`magnoliadyke.clock.Clock`
    :param rng: source of randomness
    :param settings: :class:`ClientSettings`
    """

    def __init__(
        self, hosts, credential, clock=None, rng=None, settings=DEFAULTS
    ):
        self.clock = clock or clocks.SystemClock()
        self.rng = rng or random.Random()
        self.credential = credential
        self.settings = settings
        self.seeds = list(hosts)
        self.last_seen_s = {}
        self.session = None
        self.connections_by_address = {}
        self.budget = retries.RetryBudgets()

    # Public calls.

    def complete(
        self,
        model,
        prompt,
        max_tokens=caller_codec.DEFAULT_MAX_TOKENS,
        priority='normal',
        repeatable=True,
        on_text=None,
        deadline_s=None,
    ):
        """Send a prompt to a model.

        :param model: name of the model
        :param prompt: the prompt
        :param max_tokens: maximum length of the answer
        :param priority: ``urgent``, ``normal`` or ``background``
        :param repeatable: False if the request must not be executed twice
        :param on_text: called with each piece of text and its offset in
            output tokens; a second offset 0 means that the answer starts
            again and the earlier text is to be discarded
        :param deadline_s: time limit with all retries, in seconds
        :return: ``Answered``, ``NotRun``, ``Unknown`` or ``Rejected``
        """
        work = {
            'model': model,
            'prompt': prompt,
            'max_tokens': max_tokens,
            'stream': True,
        }
        request = Request(
            'POST',
            '/v1/completions',
            endpoints.json_bytes(work),
            self.headers(priority, repeatable),
            repeatable,
            True,
            on_text,
        )
        return self.run(request, deadline_s)

    def call(
        self,
        service,
        method,
        path,
        body=b'',
        priority='normal',
        repeatable=True,
        deadline_s=None,
    ):
        """Call a plain service.

        :param service: name of the service
        :param method: HTTP method
        :param path: path and query below the service's name
        :param body: bytes
        :param priority: ``urgent``, ``normal`` or ``background``
        :param repeatable: False if the call must not be executed twice; a
            route that is not repeatable in the settings never is
        :param deadline_s: time limit with all retries, in seconds
        :return: ``Answered`` (its text is the body, its finish reason the
            HTTP status), ``NotRun``, ``Unknown`` or ``Rejected``
        """
        request = Request(
            method,
            f'/v1/services/{parse.quote(service)}{path}',
            body,
            self.headers(priority, repeatable),
            repeatable,
            False,
        )
        return self.run(request, deadline_s)

    def hosts(self):
        """Return the hosts to send requests to, best first.

        :return: list of :class:`CallerHost`
        :raises HostUnreachable: if no host answers
        """
        document = self.query_any_host()
        return [CallerHost(**each) for each in document['hosts']]

    # One request.

    def headers(self, priority, repeatable):
        """Return the headers that are the same in all attempts."""
        return (
            ('Authorization', f'Bearer {self.credential}'),
            ('Content-Type', 'application/json'),
            ('X-Priority', priority),
            ('X-Repeatable', 'true' if repeatable else 'false'),
        )

    def run(self, request, deadline_s):
        """Send a request until it has a final outcome.

        A retry under a new key may execute the request again. It is made
        only after ``NotRun``, or for a repeatable request, and within the
        retry budget.

        :param deadline_s: time limit in seconds, None for that of the
            settings
        """
        timeout_s = deadline_s or self.settings.deadline_s
        end_s = self.clock.now_s() + timeout_s
        self.budget.deposit(BUDGET_NAME, RETRY_SHARE)
        tries = 1
        while True:
            outcome = self.run_key(request, end_s)
            match outcome:
                case outcomes.NotRun(reason, _, retry_after_s):
                    pause_s = min(retry_after_s, MAX_RETRY_AFTER_S)
                    switch_host = reason in OTHER_HOST_REASONS
                case outcomes.Unknown() if request.repeatable:
                    pause_s, switch_host = INITIAL_BACKOFF_S, False
                case _:
                    return outcome
            if self.clock.now_s() + pause_s >= end_s:
                return outcome
            if not switch_host and not self.budget.withdraw(
                BUDGET_NAME, tries
            ):
                return outcome
            tries += 0 if switch_host else 1
            self.leave_host(switch_host)
            self.clock.sleep(pause_s * (0.75 + self.rng.random() / 2))

    def leave_host(self, leave):
        """Drop the session if the next attempt is to use another host.

        :param leave: whether the next attempt is to use another host
        """
        if leave:
            self.session = None

    def run_key(self, request, end_s):
        """Send a request under one key, to several hosts if needed.

        All copies have the same idempotency key, so the request is executed
        at most once.

        :param end_s: monotonic time of the deadline
        :return: the outcome
        """
        progress = None
        pause_s = INITIAL_BACKOFF_S
        while self.clock.now_s() < end_s:
            session = self.open_session()
            if session is None:
                self.clock.sleep(pause_s)
                pause_s = min(2 * pause_s, MAX_BACKOFF_S)
                continue
            if progress is None:
                progress = Progress(session.new_key())
            outcome = self.try_host(session.address, request, progress)
            if outcome is not None and not is_inconclusive(outcome, progress):
                return outcome
            self.session = None
            self.clock.sleep(pause_s * self.rng.random())
            pause_s = min(2 * pause_s, MAX_BACKOFF_S)
        if progress is None or not progress.sent:
            return NO_HOST
        return NO_ANSWER

    def try_host(self, address, request, progress):
        """Send one copy of a request to a host.

        :param address: ``ip:port`` of the host
        :param progress: :class:`Progress` of the key
        :return: the outcome, or None while it is unknown
        """
        progress.copies += 1
        try:
            if request.stream:
                return self.stream(address, request, progress)
            return self.exchange(address, request, progress)
        except errors.EndpointUnreachable as error:
            progress.sent = progress.sent or error.sent
            self.forget_host(address)
            return None

    def key_headers(self, request, progress):
        """Return the headers of one copy of a request."""
        first = 'false' if progress.sent else 'true'
        return (
            *request.headers,
            ('Idempotency-Key', progress.key),
            ('X-First-Attempt', first),
        )

    def exchange(self, address, request, progress):
        """Send one copy of a service call and wait for its response.

        :return: the outcome, or None while it is unknown
        """
        reply = self.connections_to(address).call(
            request.method,
            request.path,
            request.body,
            self.key_headers(request, progress),
            self.settings.service_s,
        )
        progress.sent = True
        outcome = caller_codec.outcome_from(reply)
        if outcome is not None:
            return outcome
        if not reply.request_key:
            # An error of the HTTP server itself, such as a plain 500, not
            # the service's response: the outcome is still unknown.
            return None
        text = reply.body.decode('utf-8', 'replace')
        return outcomes.Answered(progress.key, text, str(reply.status))

    def stream(self, address, request, progress):
        """Read an event stream, from the offset at which the last one failed.

        :return: the outcome, or None if the stream ended early
        """
        connections = self.connections_to(address)
        reply = self.open_stream(connections, request, progress)
        progress.sent = True
        if reply.status != 200:
            complete_reply = reply.read_whole()
            return caller_codec.outcome_from(complete_reply) or NO_ANSWER
        connection = reply.connection
        label = id(connection)
        progress.assembly.start_attempt(label)
        try:
            self.read(reply, request, progress, label)
        except (OSError, responses.HTTPParseError) as error:
            connection.fail(error)
        finally:
            connections.give_back(connection)
        return self.stream_outcome(progress)

    def open_stream(self, connections, request, progress):
        """Send the request, or resume its answer by key and offset.

        :param connections: the connections to the host
        :return: the response, with its head read
        """
        headers = self.key_headers(request, progress)
        offset = progress.assembly.offset
        if not offset:
            return connections.stream(
                request.method,
                request.path,
                request.body,
                headers,
                self.settings.head_s,
                fresh=False,
            )
        key = parse.quote(progress.key, safe='')
        path = f'/v1/answers/{key}?offset={offset}'
        return connections.stream(
            'GET', path, b'', headers, self.settings.head_s, fresh=False
        )

    def read(self, reply, request, progress, label):
        """Read events up to the last one or the end of the stream.

        :param reply: the response
        :param label: id of the stream in the assembly
        """
        connection = reply.connection
        connection.socket.settimeout(self.settings.silence_s)
        data = reply.first
        while True:
            self.add_data(data, request, progress, label)
            assembly = progress.assembly
            if assembly.error is not None or assembly.gap:
                connection.close()
                return
            if assembly.finished is not None:
                return
            if connection.parser.message_complete:
                return
            connection.feed(connection.socket.recv(endpoints.RECEIVE_BYTES))
            data = connection.parser.take_body()

    def add_data(self, data, request, progress, label):
        """Add data of the stream to the answer; pass new text to the caller.

        :param data: bytes
        :raises ConnectionAbortedError: if an event is invalid
        """
        offset = progress.assembly.offset
        try:
            events = progress.assembly.feed(label, data)
        except ValueError as error:
            raise ConnectionAbortedError(str(error)) from error
        if not events:
            return
        text = attempts.text_of(events)
        progress.pieces.append(text)
        if request.on_text is not None and text:
            request.on_text(text, offset)

    def stream_outcome(self, progress):
        """Return the outcome of a stream, None if it broke off."""
        assembly = progress.assembly
        if assembly.finished is not None:
            return self.complete_answer(progress)
        if assembly.error is not None:
            return caller_codec.error_outcome(assembly.error)
        return None

    def complete_answer(self, progress):
        """Return ``Answered`` with the complete answer."""
        final = json.loads(progress.assembly.finished[len(b'data: ') :])
        usage = final.get('usage') or {}
        return outcomes.Answered(
            progress.key,
            ''.join(progress.pieces),
            final['choices'][0]['finish_reason'],
            int(usage.get('prompt_tokens', 0)),
            progress.assembly.offset,
        )

    # Finding a host.

    def connections_to(self, address):
        """Return the connections to a host."""
        if address not in self.connections_by_address:
            times = endpoints.EndpointSettings(
                connect_s=self.settings.connect_s,
                idle_s=self.settings.idle_s,
                head_s=self.settings.head_s,
            )
            self.connections_by_address[address] = endpoints.Connections(
                address, self.clock, times
            )
        return self.connections_by_address[address]

    def open_session(self):
        """Return the session, a new one if needed; None if no host answers.

        The ticket is issued by the host that gets the requests: that host is
        the home of the keys, and other hosts would have to relay to it.
        """
        if self.session is not None:
            if self.clock.now_s() < self.session.until_s:
                return self.session
        self.session = None
        try:
            listed = self.hosts()
            for each in listed:
                if self.start_session(each.address):
                    break
        except errors.HostUnreachable:
            return None
        return self.session

    def start_session(self, address):
        """Start a session with a host; return whether it answered."""
        document = self.query_host(address)
        if document is None:
            return False
        until_s = self.clock.now_s() + document['keep_s']
        self.session = Session(address, document['ticket'], until_s)
        return True

    def query_any_host(self):
        """Query hosts in random order until one returns a list of hosts.

        :raises HostUnreachable: if none does
        """
        for address in self.known_addresses():
            document = self.query_host(address)
            if document is not None and document['hosts']:
                return document
        raise errors.HostUnreachable(
            'no host of the deployment answered',
            'check the network and the addresses of the hosts',
        )

    def known_addresses(self):
        """Return the addresses to query: recently listed ones, then seeds."""
        oldest_s = self.clock.now_s() - self.settings.remember_s
        seen = [a for a, at_s in self.last_seen_s.items() if at_s >= oldest_s]
        rest = [address for address in self.seeds if address not in seen]
        self.rng.shuffle(seen)
        self.rng.shuffle(rest)
        return seen + rest

    def query_host(self, address):
        """Return a host's answer to ``/v1/hosts``, None if it gives none.

        The addresses in it are recorded.
        """
        try:
            reply = self.connections_to(address).call(
                'GET', HOSTS_PATH, b'', (), self.settings.head_s
            )
            document = reply.json()
            listed = [each['address'] for each in document['hosts']]
        except (errors.EndpointUnreachable, ValueError, KeyError, TypeError):
            self.forget_host(address)
            return None
        now_s = self.clock.now_s()
        for each in listed:
            self.last_seen_s[each] = now_s
        return document

    def forget_host(self, address):
        """Remove a host that did not answer from the recently listed ones."""
        self.last_seen_s.pop(address, None)
        if self.session is not None and self.session.address == address:
            self.session = None

    def close(self):
        """Close all connections."""
        for connections in self.connections_by_address.values():
            connections.close()


def is_inconclusive(outcome, progress):
    """Whether an earlier copy may have been executed despite the outcome."""
    if not isinstance(outcome, outcomes.NotRun) or progress.copies == 1:
        return False
    return outcome.reason in REASONS_WITHOUT_HOME and progress.sent
