"""The caller library: finds hosts, resumes answers, repeats what may be."""

import json
import random
import typing
from urllib import parse

from geventhttpclient import response as responses

from magnoliadyke import clock as clocks
from magnoliadyke.core import attempts
from magnoliadyke.core import outcomes
from magnoliadyke.core import retries
from magnoliadyke import endpoint as endpoints
from magnoliadyke import errors
from magnoliadyke import forms

__all__ = ['Client', 'ClientSettings', 'HostSeen']

HOSTS_PATH = '/v1/hosts'
#: Reasons of NotRun that another host cures at once; retries for them don't
#: add load and so need no budget.
ELSEWHERE = frozenset(
    {'stopping', 'no_table', 'stale_table', 'home_unreachable'}
)
#: Given before the home of the key was asked: after an earlier copy may
#: have been received, it says nothing about that copy.
NOT_FROM_HOME = frozenset({'no_table', 'claims_unavailable'})
BUDGET = 'client'
RETRY_SHARE = 0.1
PAUSE_S = 0.1
LONGEST_PAUSE_S = 2.0
#: A host's word on when to come back is a forecast. After a fault it can be
#: a minute, and the engines are idle long before.
LONGEST_RETRY_S = 10.0
NOBODY = outcomes.NotRun(
    'no_host', 'check the network and the list of hosts', 1.0
)
LOST = outcomes.Unknown(
    'no_answer_in_time',
    'ask again with the same key, or look up the effect',
)


class ClientSettings(typing.NamedTuple):
    """Times of the client, in seconds.

    :param silence_s: a stream without even a comment for so long has lost
        its host; nodes send a comment each second
    :param service_s: longest wait for one call of a plain service, after
        which it is asked for again under the same key
    :param remember_s: how long hosts that were seen are remembered
    """

    connect_s: float = 1.0
    head_s: float = 3.0
    silence_s: float = 2.5
    service_s: float = 15.0
    deadline_s: float = 120.0
    remember_s: float = 3600.0
    idle_s: float = 5.0


class HostSeen(typing.NamedTuple):
    """A host as a hosts answer named it.

    :param address: ``ip:port``
    """

    host: str
    address: str
    failure_domain: str


class Session:
    """One host and the ticket it gave; makes keys.

    :param until_s: monotonic seconds until which it may be kept
    """

    def __init__(self, address, ticket, until_s):
        self.address = address
        self.ticket = ticket
        self.until_s = until_s
        self.number = 0

    def new_key(self):
        """Return a key that was never used."""
        self.number += 1
        return f'{self.ticket}/{self.number}'


class Request(typing.NamedTuple):
    """What a client sends, whatever the attempt.

    :param stream: whether the answer is an event stream
    """

    method: str
    path: str
    body: bytes
    headers: tuple
    repeatable: bool
    stream: bool
    on_text: typing.Any = None


class Progress:
    """How far one key is.

    :ivar sent: whether a copy of the request may have been received
    """

    def __init__(self, key):
        self.key = key
        self.sent = False
        self.copies = 0
        self.assembly = attempts.Assembly()
        self.pieces = []


DEFAULTS = ClientSettings()


class Client:
    """Calls a deployment on behalf of one customer.

    It asks any known host which host to use, keeps the answer as long as
    that says, and connects there. Its methods return tagged outcomes and
    raise nothing for hosts that are gone.

    :param hosts: addresses ``ip:port`` to start from
    :param credential: the customer's key
    """

    def __init__(
        self, hosts, credential, clock=None, rng=None, settings=DEFAULTS
    ):
        self.clock = clock or clocks.SystemClock()
        self.rng = rng or random.Random()
        self.credential = credential
        self.settings = settings
        self.seeds = list(hosts)
        self.seen = {}
        self.session = None
        self.links = {}
        self.budget = retries.RetryBudgets()

    # Public calls.

    def complete(
        self,
        model,
        prompt,
        max_tokens=forms.DEFAULT_MAX_TOKENS,
        priority='normal',
        repeatable=True,
        on_text=None,
        deadline_s=None,
    ):
        """Ask a model to complete a prompt.

        :param priority: ``urgent``, ``normal`` or ``background``
        :param on_text: called with each piece of text and its offset in
            output tokens; offset 0 again means: forget what came before
        :param deadline_s: longest time in seconds
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

        :param path: path and query below the service's name
        :param body: bytes
        :param repeatable: False when the call must not run twice; a route
            that the settings call not repeatable never does
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
        """Return the hosts to use, best first (:class:`HostSeen`).

        :raises HostUnreachable: when no known host answers
        """
        document = self.ask_any_host()
        return [HostSeen(**each) for each in document['hosts']]

    # One request.

    def headers(self, priority, repeatable):
        """Return the headers that all attempts share."""
        return (
            ('Authorization', f'Bearer {self.credential}'),
            ('Content-Type', 'application/json'),
            ('X-Priority', priority),
            ('X-Repeatable', 'true' if repeatable else 'false'),
        )

    def run(self, request, deadline_s):
        """Attempt until there is an outcome to tell.

        A new key is a new run: it is taken only after ``NotRun``, or for a
        request that may be repeated, and within the budget.
        """
        longest_s = deadline_s or self.settings.deadline_s
        end_s = self.clock.now_s() + longest_s
        self.budget.deposit(BUDGET, RETRY_SHARE)
        tries = 1
        while True:
            outcome = self.run_key(request, end_s)
            match outcome:
                case outcomes.NotRun(reason, _, retry_after_s):
                    pause_s = min(retry_after_s, LONGEST_RETRY_S)
                    free = reason in ELSEWHERE
                case outcomes.Unknown() if request.repeatable:
                    pause_s, free = PAUSE_S, False
                case _:
                    return outcome
            if self.clock.now_s() + pause_s >= end_s:
                return outcome
            if not free and not self.budget.withdraw(BUDGET, tries):
                return outcome
            tries += 0 if free else 1
            self.leave_host(free)
            self.clock.sleep(pause_s * (0.75 + self.rng.random() / 2))

    def leave_host(self, leave):
        """Choose a host anew for the next attempt."""
        if leave:
            self.session = None

    def run_key(self, request, end_s):
        """Send one key, to as many hosts as it takes, until it has an end.

        Every copy has the same key, so the request runs once at most.
        """
        progress = None
        pause_s = PAUSE_S
        while self.clock.now_s() < end_s:
            session = self.open_session()
            if session is None:
                self.clock.sleep(pause_s)
                pause_s = min(2 * pause_s, LONGEST_PAUSE_S)
                continue
            if progress is None:
                progress = Progress(session.new_key())
            outcome = self.try_host(session.address, request, progress)
            if outcome is not None and not inconclusive(outcome, progress):
                return outcome
            self.session = None
            self.clock.sleep(pause_s * self.rng.random())
            pause_s = min(2 * pause_s, LONGEST_PAUSE_S)
        if progress is None or not progress.sent:
            return NOBODY
        return LOST

    def try_host(self, address, request, progress):
        """Send one copy; return the outcome, or None if there is none.

        :param progress: :class:`Progress` of the key
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
        """Return the headers of one copy."""
        first = 'false' if progress.sent else 'true'
        return (
            *request.headers,
            ('Idempotency-Key', progress.key),
            ('X-First-Attempt', first),
        )

    def exchange(self, address, request, progress):
        """Make one whole call."""
        reply = self.link(address).call(
            request.method,
            request.path,
            request.body,
            self.key_headers(request, progress),
            self.settings.service_s,
        )
        progress.sent = True
        outcome = forms.outcome_from(reply)
        if outcome is not None:
            return outcome
        if not reply.request_key:
            # Not the service's answer but an HTTP server's own, such as a
            # plain 500: what became of the call is not known yet.
            return None
        text = reply.body.decode('utf-8', 'replace')
        return outcomes.Answered(progress.key, text, str(reply.status))

    def stream(self, address, request, progress):
        """Read a stream, from where an earlier one ended."""
        link = self.link(address)
        reply = self.open_stream(link, request, progress)
        progress.sent = True
        if reply.status != 200:
            whole = reply.whole()
            return forms.outcome_from(whole) or LOST
        connection = reply.connection
        label = id(connection)
        progress.assembly.start_attempt(label)
        try:
            self.read(reply, request, progress, label)
        except (OSError, responses.HTTPParseError) as error:
            connection.fail(error)
        finally:
            link.give_back(connection)
        return self.judge(progress)

    def open_stream(self, link, request, progress):
        """Send the request, or resume its answer by key and offset."""
        headers = self.key_headers(request, progress)
        offset = progress.assembly.offset
        if not offset:
            return link.stream(
                request.method,
                request.path,
                request.body,
                headers,
                self.settings.head_s,
                fresh=False,
            )
        key = parse.quote(progress.key, safe='')
        path = f'/v1/answers/{key}?offset={offset}'
        return link.stream(
            'GET', path, b'', headers, self.settings.head_s, fresh=False
        )

    def read(self, reply, request, progress, label):
        """Read events to the end of the stream."""
        connection = reply.connection
        connection.socket.settimeout(self.settings.silence_s)
        data = reply.first
        while True:
            self.take(data, request, progress, label)
            if connection.parser.message_complete:
                return
            connection.feed(connection.socket.recv(endpoints.RECEIVE_BYTES))
            data = connection.parser.take_body()

    def take(self, data, request, progress, label):
        """Add bytes of the stream to the answer."""
        offset = progress.assembly.offset
        events = progress.assembly.feed(label, data)
        if not events:
            return
        text = attempts.text_of(events)
        progress.pieces.append(text)
        if request.on_text is not None and text:
            request.on_text(text, offset)

    def judge(self, progress):
        """Return the outcome of a stream that ended, None if it was cut."""
        assembly = progress.assembly
        if assembly.finished is not None:
            return self.answered(progress)
        if assembly.error is not None:
            return forms.error_outcome(assembly.error)
        return None

    def answered(self, progress):
        """Return the whole answer."""
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

    def link(self, address):
        """Return the connections to a host."""
        if address not in self.links:
            times = endpoints.EndpointSettings(
                connect_s=self.settings.connect_s,
                idle_s=self.settings.idle_s,
                head_s=self.settings.head_s,
            )
            self.links[address] = endpoints.Connections(
                address, self.clock, times
            )
        return self.links[address]

    def open_session(self):
        """Return the present session, or a new one; None if nobody answers.

        The ticket comes from the host that will be used: it is the home of
        the keys, and other hosts would have to relay to it.
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
        """Ask one host for a ticket; return whether it gave one."""
        document = self.ask_host(address)
        if document is None:
            return False
        until_s = self.clock.now_s() + document['keep_s']
        self.session = Session(address, document['ticket'], until_s)
        return True

    def ask_any_host(self):
        """Ask hosts in random order until one names hosts to use."""
        for address in self.known_addresses():
            document = self.ask_host(address)
            if document is not None and document['hosts']:
                return document
        raise errors.HostUnreachable(
            'no host of the deployment answered',
            'check the network and the addresses of the hosts',
        )

    def known_addresses(self):
        """Return addresses to ask: those seen lately first, then seeds."""
        oldest_s = self.clock.now_s() - self.settings.remember_s
        seen = [a for a, at_s in self.seen.items() if at_s >= oldest_s]
        rest = [address for address in self.seeds if address not in seen]
        self.rng.shuffle(seen)
        self.rng.shuffle(rest)
        return seen + rest

    def ask_host(self, address):
        """Return one host's answer, or None; remember whom it names."""
        try:
            reply = self.link(address).call(
                'GET', HOSTS_PATH, b'', (), self.settings.head_s
            )
            document = reply.json()
            listed = [each['address'] for each in document['hosts']]
        except (errors.EndpointUnreachable, ValueError, KeyError, TypeError):
            self.forget_host(address)
            return None
        now_s = self.clock.now_s()
        for each in listed:
            self.seen[each] = now_s
        return document

    def forget_host(self, address):
        """A host did not answer: ask it last."""
        self.seen.pop(address, None)
        if self.session is not None and self.session.address == address:
            self.session = None

    def close(self):
        """Close all connections."""
        for link in self.links.values():
            link.close()


def inconclusive(outcome, progress):
    """Tell whether an outcome leaves open what became of earlier copies."""
    if not isinstance(outcome, outcomes.NotRun) or progress.copies == 1:
        return False
    return outcome.reason in NOT_FROM_HOME and progress.sent
