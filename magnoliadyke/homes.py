"""Decide where a request's key belongs, and run what belongs here."""

import hashlib
import typing

import gevent

from magnoliadyke import claiming
from magnoliadyke.core import claims
from magnoliadyke.core import jobs
from magnoliadyke.core import outcomes
from magnoliadyke.core import prefixes
from magnoliadyke.core import records
from magnoliadyke.core import tickets
from magnoliadyke import directory
from magnoliadyke import forms
from magnoliadyke import handover
from magnoliadyke import relay
from magnoliadyke import streams

__all__ = ['Homes', 'Settled']

SECRET_BYTES = 16
DIGEST_DIGITS = 24
LINGER_S = 5.0
FOREIGN = 'foreign:'

BAD_TICKET = outcomes.Rejected(
    'bad_ticket', 'ask /v1/hosts for a ticket and make keys from it'
)
HOME_GONE = outcomes.Unknown(
    'home_gone',
    'the host that may have run the request is gone; look up the effect '
    'before asking again',
)
NO_SUCCESSOR = outcomes.NotRun(
    'stopping', 'ask /v1/hosts of another host and send it again', 0.1
)
TOO_MANY_HOPS = outcomes.Unknown(
    'home_not_found', 'look up the effect before asking again'
)


class Settled(typing.NamedTuple):
    """Nothing runs; the caller is told an outcome."""

    outcome: object


class Kept(typing.NamedTuple):
    """The whole answer is kept here."""

    answer: records.Answer


class Following(typing.NamedTuple):
    """The request runs; ``run`` can be followed.

    :param key: the key it runs under
    """

    run: streams.Run
    key: str


class Homes:
    """The request records of this node and the ways to those of others.

    :param parts: :class:`magnoliadyke.nodeparts.NodeParts`
    :param runner: :class:`magnoliadyke.streams.Streams`
    :param closed: called with the customer's name; returns ``NotRun`` when no
        new work is taken, or None
    :param reports: :class:`magnoliadyke.reports.Reports`
    """

    def __init__(self, parts, runner, closed, reports):
        host, incarnation = parts.host, parts.incarnation
        self.settings = parts.settings
        self.host = host
        self.incarnation = incarnation
        self.name = tickets.home_name(host, incarnation)
        self.clock = parts.clock
        self.rng = parts.rng
        self.table = parts.table
        self.streams = runner
        self.closed = closed
        self.reports = reports
        secret = self.rng.getrandbits(8 * SECRET_BYTES).to_bytes(SECRET_BYTES)
        self.issuer = tickets.TicketIssuer(host, incarnation, secret)
        self.records = records.RecordTable(
            record_settings(self.settings.limits)
        )
        self.claiming = claiming.Claiming(
            self.name, parts.store, self.settings.keyvalue.prefix, self.clock
        )
        self.directory = directory.Directory(
            self.name, host, parts.members, self.clock, self.rng
        )
        self.handover = handover.Handover(
            self.issuer,
            incarnation,
            self.records,
            parts.peers,
            self.directory,
            self.clock,
        )
        self.relays = set()
        self.runs = {}

    # Where a key belongs.

    def place(self, request):
        """Return :class:`Following`, :class:`Kept` or :class:`Settled`."""
        if not request.key:
            return self.place_own(request)
        key = tickets.parse_key(request.key)
        if key is None:
            return self.place_foreign(request)
        if key.home == self.name:
            if not self.issuer.accepts(key):
                return Settled(BAD_TICKET)
            return self.open(request, key.raw, key.issued_s)
        adopted = self.handover.adopted.get(key.home)
        if adopted is not None:
            if not adopted.issuer.accepts(key):
                return Settled(BAD_TICKET)
            issued_s = key.issued_s + adopted.shift_s
            return self.open(request, key.raw, issued_s, adopted.floor_s)
        return self.place_elsewhere(request, key.raw, key.home)

    def place_own(self, request):
        """Run a request that came without a key; nobody can resend it."""
        now_s = self.clock.now_s()
        key = f'{self.issuer.issue(now_s)}/0'
        return self.open(request, key, now_s)

    def place_foreign(self, request):
        """Claim a key that the caller made up, or find who has it."""
        digest = claims.claim_digest(request.customer, request.key)
        key = FOREIGN + digest
        if key in self.records.records:
            return self.open(request, key, self.clock.now_s())
        if self.handover.sealed is not None and self.handover.wait():
            # A claim made now would name a home that is about to end.
            return self.relay_to_successor(request, request.key)
        match self.claim(digest):
            case claims.Won():
                return self.open_claimed(request, key)
            case claims.Lost(owner=owner) if self.lives_here(owner):
                return self.place_adopted(request, key, owner)
            case claims.Lost(owner=owner):
                return self.place_elsewhere(request, key, owner)
            case claims.Refused(reason=reason):
                return Settled(
                    outcomes.NotRun(reason, 'use a key of a ticket', 1.0)
                )

    def open_claimed(self, request, key):
        """Run a foreign key that this node has just claimed.

        Also when the node has begun to stop meanwhile: the claim names this
        home, and no other node would run the key.
        """
        now_s = self.clock.now_s()
        found = self.records.open(
            key, request.customer, request.digest, now_s, now_s
        )
        if not isinstance(found, records.New):
            return self.known(found, key)
        if self.handover.sealed is not None:
            return self.run_here(request, found.record)
        return self.admit(request, found.record)

    def lives_here(self, home):
        """Tell whether the records of a home are on this node."""
        return home == self.name or home in self.handover.adopted

    def claim(self, digest):
        """Ask the store for a claim."""
        message = claiming.AskClaim(digest)
        return self.claiming.ask(message, None)

    def place_adopted(self, request, key, owner):
        """Place a foreign key that a home which lives here has claimed.

        A home that is still stopping may run it, and tell at its end.
        """
        if key in self.records.records:
            return self.open(request, key, self.clock.now_s())
        if owner != self.name and self.directory.member_of(owner):
            return self.relay(request, request.key, owner)
        return Settled(records.ANSWER_GONE)

    def place_elsewhere(self, request, key, home):
        """Relay to the home of a key, or say that it is gone.

        :param key: name of the record, should the request run here after all
        """
        if key in self.records.records:
            return self.open(request, key, self.clock.now_s())
        if self.directory.locate(home) is None:
            return self.home_gone(request, key)
        return self.relay(request, key, home)

    def home_gone(self, request, key):
        """Answer for a home that ended without a successor.

        Only a request that may be repeated is run again, here.
        """
        if not request.repeatable:
            return Settled(HOME_GONE)
        return self.open(request, key, self.clock.now_s())

    # What runs here.

    def open(self, request, key, issued_s, floor_s=records.NO_FLOOR):
        """Look a key up in this node's records; run it when it is new."""
        found = self.records.open(
            key,
            request.customer,
            request.digest,
            issued_s,
            self.clock.now_s(),
            floor_s,
        )
        match found:
            case records.New(record):
                return self.admit(request, record)
            case records.RunningElsewhere(home):
                return self.follow_away(request, key, home)
            case _:
                return self.known(found, key)

    def follow_away(self, request, key, home):
        """Follow a request that still runs at a home that is stopping."""
        if self.directory.member_of(home) is None:
            return Settled(records.HOME_STOPPED)
        return self.relay(request, key, home)

    def known(self, found, key):
        """Return the place of a key that is in the records."""
        match found:
            case records.Attach(record):
                return Following(record.run, key)
            case records.Replay(answer):
                return Kept(answer)
            case records.Resolved(outcome):
                return Settled(outcome)

    def admit(self, request, record):
        """Run a new request, unless this node takes no new work."""
        if self.handover.sealed is not None:
            return self.pass_on(request, record)
        refusal = self.closed(request.customer)
        if refusal is not None:
            self.close_refused(request, record, refusal)
            return Settled(refusal)
        return self.run_here(request, record)

    def run_here(self, request, record):
        """Start the run of a new record."""
        try:
            run = self.build(request, record)
        except Exception:
            # A record without a run would keep each copy waiting for good.
            self.records.forget(record)
            raise
        if isinstance(run, outcomes.Rejected):
            self.close_refused(request, record, run)
            return Settled(run)
        self.enter(request, record, run)
        run.start()
        return Following(run, record.key)

    def enter(self, request, record, run):
        """Join a run with its record."""
        record.run = run
        run.record = record
        run.request = request
        self.runs[record.key] = run

    def pass_on(self, request, record):
        """Send a new key after the records, to the successor.

        Refusing it here would be untrue as soon as an older copy of the
        request, which the caller has given up, reached the successor.
        """
        self.records.forget(record)
        successor = self.handover.wait()
        if not successor:
            self.records.insert(record)
            self.close_refused(request, record, NO_SUCCESSOR)
            return Settled(NO_SUCCESSOR)
        return self.relay_to_successor(request, record.key)

    def relay_to_successor(self, request, key):
        """Relay a request to the node that took the records over."""
        home = self.directory.full_name(self.handover.successor)
        return self.relay(request, key, home)

    def close_refused(self, request, record, outcome):
        """End the record of a request that does not run."""
        self.reports.refused(request.customer, outcome)
        if request.key:
            self.records.settle(record, outcome)
        else:
            self.records.forget(record)

    def build(self, request, record):
        """Return the run of a request, or ``Rejected``."""
        match request:
            case forms.ModelRequest():
                return self.build_model(request, record.key)
            case forms.ServiceRequest():
                return self.build_service(request, record.key)

    def build_model(self, request, key):
        """Return a :class:`streams.ModelRun`."""
        model = request.work['model']
        pool = self.pool_of_model(model)
        if pool is None:
            return outcomes.Rejected(
                'unknown_model', 'use a model of this deployment', 404
            )
        words = request.work['prompt'].split()
        job = self.job(request, key, pool.name)._replace(
            kind='model',
            model=model,
            prompt_tokens=len(words),
            output_tokens=request.work['max_tokens'],
            prefix_blocks=prefixes.block_ids(words, request.customer),
        )
        work = {
            **request.work,
            'stream': True,
            'priority': request.priority,
            'cache_salt': request.customer,
        }
        return streams.ModelRun(
            key, job, work, self.engine_id(key), self.streams, self.on_end
        )

    def build_service(self, request, key):
        """Return a :class:`streams.ServiceRun`."""
        pool = self.pool_of_service(request.service)
        if pool is None:
            return outcomes.Rejected(
                'unknown_service', 'use a service of this deployment', 404
            )
        job = self.job(request, key, pool.name)._replace(kind='service')
        call = streams.ServiceCall(
            request.method, request.path, request.headers, request.body
        )
        return streams.ServiceRun(
            key, job, call, self.engine_id(key), self.streams, self.on_end
        )

    def job(self, request, key, pool):
        """Return the fields of a job that both kinds share."""
        row = self.table.last.customers[request.customer]
        return jobs.Job(
            id=key,
            customer=request.customer,
            pool=pool,
            priority=request.priority,
            repeatable=request.repeatable,
            first_token_s=row.first_token_s,
            per_token_s=row.per_token_s,
            fingerprint=f'{request.customer}:{request.digest}',
            arrived_s=self.clock.now_s(),
        )

    def engine_id(self, key):
        """Return the start of the ids under which engines know a key.

        The node is part of it: a request that may be repeated and is run
        again here must not meet the attempt of the home that died.
        """
        return engine_id(self.name, key)

    def pool_of_model(self, model):
        """Return the settings of the pool that serves a model, or None."""
        for pool in self.settings.pools:
            if pool.kind == 'model' and pool.model == model:
                return pool
        return None

    def pool_of_service(self, name):
        """Return the settings of a service's pool, or None."""
        for pool in self.settings.pools:
            if pool.kind == 'service' and pool.name == name:
                return pool
        return None

    def on_end(self, run):
        """Keep the outcome of a run that ended."""
        self.runs.pop(run.key, None)
        self.reports.ended(run)
        record = run.record
        match run.outcome:
            case records.Answer():
                now_s = self.clock.now_s()
                self.records.finish(record, run.outcome, now_s)
            case outcomes.NotRun() if not run.request.key:
                self.records.forget(record)
            case streams.ABANDONED if run.job.repeatable:
                self.records.forget(record)
            case _:
                self.records.settle(record, run.outcome)

    def left(self, run, has_key):
        """A follower left; end a run that nobody wants any more.

        A request that may not be repeated runs to its end, so that its
        caller can still ask what became of it.

        :param has_key: whether the caller can ask again
        """
        if run.followers or run.outcome is not None:
            return
        if run.job is not None and not run.job.repeatable:
            return
        if has_key:
            gevent.spawn_later(LINGER_S, abandon_unfollowed, run)
        else:
            run.abandon()

    # Other homes.

    def relay(self, request, key, home, offset=0, resume_only=False):
        """Follow a request at its home.

        :param key: name of the request here; foreign keys are sent as the
            caller made them
        """
        if len(request.hops) >= relay.MAX_HOPS:
            return Settled(TOO_MANY_HOPS)
        sent_key = request.key or key

        def locate():
            return self.directory.locate(home)

        hops = (*request.hops, self.host)
        arguments = (
            sent_key,
            request,
            locate,
            hops,
            self.streams,
            self.relay_end,
        )
        match request:
            case forms.ServiceRequest():
                run = relay.ServiceRelay(*arguments)
            case _:
                run = relay.ModelRelay(*arguments, offset, resume_only)
        run.go_on_here = self.go_on_here
        run.settled_here = self.settled_here
        run.home = home
        self.relays.add(run)
        run.start()
        return Following(run, sent_key)

    def relay_end(self, run):
        """A relay ended."""
        self.relays.discard(run)

    def settled_here(self, lost):
        """Return what the records say of a request that a relay followed.

        Its home may have stopped and told its end to this node, its
        successor.

        :return: answer or outcome, or None
        """
        name = record_name(lost.key, lost.request.customer)
        found = self.records.find(name, lost.request.customer)
        match found:
            case records.Replay(answer):
                return answer
            case records.Resolved(outcome) if name in self.records.records:
                return outcome
            case _:
                return None

    def go_on_here(self, lost):
        """Run here what a relay followed at a home that is gone.

        Only a request that may be repeated. Its attempt begins at the offset
        that the caller has, so that the caller sees one answer.

        :param lost: :class:`relay.Relay` whose output the run continues
        :return: the run's outcome, or None when it may not run here
        """
        request = lost.request
        if not request.repeatable or self.closed(request.customer) is not None:
            return None
        key = record_name(lost.key, request.customer)
        now_s = self.clock.now_s()
        found = self.records.open(
            key, request.customer, request.digest, now_s, now_s
        )
        if not isinstance(found, records.New):
            return None
        run = self.build(request, found.record)
        if isinstance(run, streams.ModelRun):
            run.go_on_from(lost)
            digest = engine_id(lost.home, key)
            self.streams.cancel_everywhere(run.job.pool, digest)
        self.enter(request, found.record, run)
        run.main()
        return run.outcome

    def find(self, request, offset):
        """Return the place of an answer that a caller wants to go on with.

        :param request: :class:`forms.ModelRequest` that has a key, and no
            work
        :param offset: output tokens the caller has already
        """
        key = tickets.parse_key(request.key)
        if key is None:
            return self.find_foreign(request, offset)
        found = self.records.find(request.key, request.customer)
        if isinstance(found, records.RunningElsewhere):
            return self.find_elsewhere(request, found.home, offset)
        known = request.key in self.records.records
        if known or self.lives_here(key.home):
            return self.known(found, request.key)
        return self.find_elsewhere(request, key.home, offset)

    def find_foreign(self, request, offset):
        """Return the place of an answer under a key without a ticket."""
        digest = claims.claim_digest(request.customer, request.key)
        key = FOREIGN + digest
        if key in self.records.records:
            found = self.records.find(key, request.customer)
            if isinstance(found, records.RunningElsewhere):
                return self.find_elsewhere(request, found.home, offset)
            return self.known(found, key)
        owner = self.claiming.owner_of(digest)
        if not owner or owner == self.name:
            return Settled(records.ANSWER_GONE)
        return self.find_elsewhere(request, owner, offset)

    def find_elsewhere(self, request, home, offset):
        """Relay a resume to the home of the key."""
        if self.directory.locate(home) is None:
            return Settled(HOME_GONE)
        return self.relay(request, request.key, home, offset, True)

    # Life cycle and hand-over.

    def start(self):
        """Start the task that settles claims."""
        self.claiming.start()

    def stop(self):
        """Stop the tasks and close connections."""
        self.claiming.stop()
        self.directory.close()

    def take_records(self, host, incarnation, lines, last):
        """Take over records of a host that is leaving.

        :param lines: JSON lines (bytes)
        :param last: whether the hand-over is complete
        :return: number of lines taken, None to refuse
        """
        if self.handover.sealed is not None or self.closed('') is not None:
            return None
        return self.handover.take(host, incarnation, lines, last)

    def hand_over(self):
        """Give all records to a successor; new keys run there from now on.

        :return: the successor's host name, or ``''`` if nobody took them
        """
        able = [
            member
            for member in self.directory.all_members().values()
            if member.host != self.host
            and member.state == 'alive'
            and member.takes_work
        ]
        self.rng.shuffle(able)
        self.handover.begin(able)
        return self.handover.successor

    def successor_of(self, home):
        """Return ``HOST.INCARNATION`` that has a home's records, or ``''``."""
        if home == self.name or home in self.handover.adopted:
            return self.name
        self.directory.learn_successors()
        return self.directory.successors.get(home, '')


def record_name(key, customer):
    """Return the name of a key's record.

    :param key: key as the caller sent it
    """
    if tickets.parse_key(key) is not None:
        return key
    return FOREIGN + claims.claim_digest(customer, key)


def engine_id(home, key):
    """Return the start of the ids under which engines know a home's key."""
    text = f'{home} {key}'.encode()
    return hashlib.sha256(text).hexdigest()[:DIGEST_DIGITS]


def abandon_unfollowed(run):
    """End a run if nobody has come back to it."""
    if not run.followers:
        run.abandon()


def record_settings(limits):
    """Return the bounds of the records by the deployment's settings."""
    return records.RecordSettings(
        answer_bytes=limits.answer_bytes, answer_keep_s=limits.answer_keep_s
    )
