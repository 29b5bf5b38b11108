"""Route each request to the home of its key; run those of this node."""

import hashlib
import typing

import gevent

from magnoliadyke import caller_codec
from magnoliadyke import claiming
from magnoliadyke.core import claims
from magnoliadyke.core import jobs
from magnoliadyke.core import outcomes
from magnoliadyke.core import prefixes
from magnoliadyke.core import records
from magnoliadyke.core import tickets
from magnoliadyke import handover
from magnoliadyke import homedirectory
from magnoliadyke import relay
from magnoliadyke import streams

__all__ = ['Homes', 'Settled']

SECRET_BYTES = 16
DIGEST_DIGITS = 24
#: How long a run without subscribers is kept for its caller to resume.
LINGER_S = 5.0
#: Prefix of record names of foreign keys.
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
    """The request does not run; the caller gets this outcome."""

    outcome: object


class KeptAnswer(typing.NamedTuple):
    """The complete answer is in this node's records."""

    answer: records.Answer


class Following(typing.NamedTuple):
    """The request runs, here or at its home.

    :param run: the run or relay whose output can be followed
    :param key: the key it runs under
    """

    run: streams.Run
    key: str


class Homes:
    """Owns the request records of this node; relays to other homes.

    The home of a key is the node (``HOST.INCARNATION``) that keeps its
    record and is the only one to run it. Other nodes relay to it. A node
    that stops hands its records to a successor, which adopts that home.

    :param dependencies:
        :class:`magnoliadyke.requestdependencies.RequestDependencies`
    :param runner: :class:`magnoliadyke.streams.Streams`
    :param refusal_for: called with the customer's name; returns ``NotRun``
        when this node accepts no new requests, or None
    :param reports: :class:`magnoliadyke.reports.Reports`
    :ivar relays: relays to other homes that have not ended
    :ivar runs: runs of this node that have not ended, by key
    """

    def __init__(self, dependencies, runner, refusal_for, reports):
        host, incarnation = dependencies.host, dependencies.incarnation
        self.settings = dependencies.settings
        self.host = host
        self.incarnation = incarnation
        self.name = tickets.home_name(host, incarnation)
        self.clock = dependencies.clock
        self.rng = dependencies.rng
        self.table = dependencies.table
        self.streams = runner
        self.refusal_for = refusal_for
        self.reports = reports
        secret = self.rng.getrandbits(8 * SECRET_BYTES).to_bytes(SECRET_BYTES)
        self.issuer = tickets.TicketIssuer(host, incarnation, secret)
        self.records = records.RecordTable(
            record_settings(self.settings.limits)
        )
        self.claiming = claiming.ClaimTask(
            self.name,
            dependencies.store,
            self.settings.keyvalue.prefix,
            self.clock,
        )
        self.home_directory = homedirectory.HomeDirectory(
            self.name, host, dependencies.members, self.clock, self.rng
        )
        self.handover = handover.Handover(
            self.issuer,
            incarnation,
            self.records,
            dependencies.peers,
            self.home_directory,
            self.clock,
        )
        self.relays = set()
        self.runs = {}

    # Routing by key.

    def route_request(self, request):
        """Run, relay or replay a request, depending on its key.

        A request whose key has a record gets the recorded run, answer or
        outcome.

        :return: :class:`Following`, :class:`KeptAnswer` or :class:`Settled`
        """
        if not request.key:
            return self.run_without_key(request)
        key = tickets.parse_key(request.key)
        if key is None:
            return self.route_foreign(request)
        if key.home == self.name:
            if not self.issuer.accepts(key):
                return Settled(BAD_TICKET)
            return self.run_or_follow(request, key.raw, key.issued_s)
        adopted = self.handover.adopted.get(key.home)
        if adopted is not None:
            if not adopted.issuer.accepts(key):
                return Settled(BAD_TICKET)
            issued_s = key.issued_s + adopted.shift_s
            return self.run_or_follow(
                request, key.raw, issued_s, adopted.floor_s
            )
        return self.route_elsewhere(request, key.raw, key.home)

    def run_without_key(self, request):
        """Run a request that has no key, and so can't be resent."""
        now_s = self.clock.now_s()
        key = f'{self.issuer.issue(now_s)}/0'
        return self.run_or_follow(request, key, now_s)

    def route_foreign(self, request):
        """Claim a foreign key in the store, or route it to its owner."""
        digest = claims.claim_digest(request.customer, request.key)
        key = FOREIGN + digest
        if key in self.records.records:
            return self.run_or_follow(request, key, self.clock.now_s())
        if (
            self.handover.first_transfer_ended is not None
            and self.handover.wait_for_transfer()
        ):
            # A claim made now would name this home, which is stopping.
            return self.relay_to_successor(request, request.key)
        match self.claim(digest):
            case claims.Won():
                return self.open_claimed(request, key)
            case claims.Lost(owner=owner) if self.has_records_of(owner):
                return self.route_adopted(request, key, owner)
            case claims.Lost(owner=owner):
                return self.route_elsewhere(request, key, owner)
            case claims.Refused(reason=reason):
                return Settled(
                    outcomes.NotRun(reason, 'use a key of a ticket', 1.0)
                )

    def open_claimed(self, request, key):
        """Run a foreign key that this node has just claimed.

        The request also runs if the node has begun to stop meanwhile: the
        claim names this home, so no other node would run the key.
        """
        now_s = self.clock.now_s()
        found = self.records.open(
            key, request.customer, request.digest, now_s, now_s
        )
        if not isinstance(found, records.New):
            return self.route_recorded(found, key)
        if self.handover.first_transfer_ended is not None:
            return self.run_here(request, found.record)
        return self.admit(request, found.record)

    def has_records_of(self, home):
        """Return whether this node holds the records of a home."""
        return home == self.name or home in self.handover.adopted

    def claim(self, digest):
        """Claim a foreign key in the store; wait for the result.

        :param digest: :func:`magnoliadyke.core.claims.claim_digest`
        :return: ``Won``, ``Lost`` or ``Refused`` of ``core.claims``
        """
        message = claiming.ClaimKey(digest)
        return self.claiming.ask(message, None)

    def route_adopted(self, request, key, owner):
        """Route a foreign key claimed by a home whose records are here.

        An adopted home that is still stopping may run the request, and sends
        its outcome only when it ends.

        :param owner: home that the claim names
        """
        if key in self.records.records:
            return self.run_or_follow(request, key, self.clock.now_s())
        if owner != self.name and self.home_directory.reachable_member(owner):
            return self.relay(request, request.key, owner)
        return Settled(records.ANSWER_GONE)

    def route_elsewhere(self, request, key, home):
        """Relay to the home of a key, if a node still holds its records.

        :param key: name of the record if the request runs here after all
        :param home: ``HOST.INCARNATION`` of the key's home
        """
        if key in self.records.records:
            return self.run_or_follow(request, key, self.clock.now_s())
        if self.home_directory.locate(home) is None:
            return self.handle_home_gone(request, key)
        return self.relay(request, key, home)

    def handle_home_gone(self, request, key):
        """Handle a request whose home ended without a successor.

        A repeatable request runs here; the outcome of any other is unknown.
        """
        if not request.repeatable:
            return Settled(HOME_GONE)
        return self.run_or_follow(request, key, self.clock.now_s())

    # Runs of this node.

    def run_or_follow(self, request, key, issued_s, floor_s=records.NO_FLOOR):
        """Look a key up in this node's records; run it when it is new.

        :param key: name of the record
        :param issued_s: issue time of the key's ticket, in monotonic seconds
        :param floor_s: issue time up to which records may be missing
        """
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
                return self.follow_at_stopping_home(request, key, home)
            case _:
                return self.route_recorded(found, key)

    def follow_at_stopping_home(self, request, key, home):
        """Relay to a stopping home that still runs the request."""
        if self.home_directory.reachable_member(home) is None:
            return Settled(records.HOME_STOPPED)
        return self.relay(request, key, home)

    def route_recorded(self, found, key):
        """Return the run, answer or outcome of a recorded key.

        :param found: ``Attach``, ``Replay`` or ``Resolved`` of
            ``core.records``
        """
        match found:
            case records.Attach(record):
                return Following(record.run, key)
            case records.Replay(answer):
                return KeptAnswer(answer)
            case records.Resolved(outcome):
                return Settled(outcome)

    def admit(self, request, record):
        """Run a new request, unless this node accepts no new requests."""
        if self.handover.first_transfer_ended is not None:
            return self.pass_on(request, record)
        refusal = self.refusal_for(request.customer)
        if refusal is not None:
            self.record_refusal(request, record, refusal)
            return Settled(refusal)
        return self.run_here(request, record)

    def run_here(self, request, record):
        """Start the run of a new record."""
        try:
            run = self.build(request, record)
        except Exception:
            # A resend would follow a record without a run forever.
            self.records.forget(record)
            raise
        if isinstance(run, outcomes.Rejected):
            self.record_refusal(request, record, run)
            return Settled(run)
        self.register_run(request, record, run)
        run.start()
        return Following(run, record.key)

    def register_run(self, request, record, run):
        """Link a run with its record, and list it as running."""
        record.run = run
        run.record = record
        run.request = request
        self.runs[record.key] = run

    def pass_on(self, request, record):
        """Relay a new key to the successor, which has the records now.

        ``NotRun`` from here could turn out untrue: an older copy of the
        request, on which the caller has timed out, may still reach the
        successor and run there.
        """
        self.records.forget(record)
        successor = self.handover.wait_for_transfer()
        if not successor:
            self.records.insert(record)
            self.record_refusal(request, record, NO_SUCCESSOR)
            return Settled(NO_SUCCESSOR)
        return self.relay_to_successor(request, record.key)

    def relay_to_successor(self, request, key):
        """Relay a request to the node that took over the records."""
        home = self.home_directory.home_of_host(self.handover.successor)
        return self.relay(request, key, home)

    def record_refusal(self, request, record, outcome):
        """Count a refused request, and end its record."""
        self.reports.record_refusal(request.customer, outcome)
        if request.key:
            self.records.settle(record, outcome)
        else:
            self.records.forget(record)

    def build(self, request, record):
        """Return the run of a request, or ``Rejected``."""
        match request:
            case caller_codec.ModelRequest():
                return self.build_model(request, record.key)
            case caller_codec.ServiceRequest():
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
        """Return a job with the fields that both kinds share.

        :param pool: name of the pool that serves the request
        """
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
        """Return the prefix of the attempt ids that engines get for a key.

        It depends on the node: a repeatable request that runs here again
        must not be taken for an attempt of the home that crashed.
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
        """Record the outcome of a run that ended."""
        self.runs.pop(run.key, None)
        self.reports.record_run_end(run)
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

    def on_follower_left(self, run, has_key):
        """Abandon a run whose last subscriber has left.

        With a key the caller can resume, so the run is kept for
        ``LINGER_S``. A request that may not be repeated runs to its end, so
        that its caller can still query the outcome.

        :param has_key: whether the caller sent a key
        """
        if run.subscribers or run.outcome is not None:
            return
        if run.job is not None and not run.job.repeatable:
            return
        if has_key:
            gevent.spawn_later(LINGER_S, abandon_unfollowed, run)
        else:
            run.abandon()

    # Requests at other homes.

    def relay(self, request, key, home, offset=0, resume_only=False):
        """Relay a request to its home, and receive its output from there.

        :param key: key to send if the request has none; a foreign key is
            sent as the caller made it
        :param home: ``HOST.INCARNATION``
        :param offset: output tokens that the caller has already
        :param resume_only: whether only an existing answer may be read
        """
        if len(request.hops) >= relay.MAX_HOPS:
            return Settled(TOO_MANY_HOPS)
        sent_key = request.key or key

        def locate():
            return self.home_directory.locate(home)

        hops = (*request.hops, self.host)
        arguments = (
            sent_key,
            request,
            locate,
            hops,
            self.streams,
            self.on_relay_end,
        )
        match request:
            case caller_codec.ServiceRequest():
                run = relay.ServiceRelay(*arguments)
            case _:
                run = relay.ModelRelay(*arguments, offset, resume_only)
        run.continue_here = self.continue_here
        run.recorded_outcome = self.recorded_outcome
        run.home = home
        self.relays.add(run)
        run.start()
        return Following(run, sent_key)

    def on_relay_end(self, run):
        """Remove a relay that has ended."""
        self.relays.discard(run)

    def recorded_outcome(self, lost_relay):
        """Return the recorded outcome of a request that a relay had sent.

        Its home may have stopped and sent the outcome to this node, its
        successor.

        :param lost_relay: :class:`relay.Relay` whose home is gone
        :return: answer or outcome, or None when the records have none
        """
        name = record_name(lost_relay.key, lost_relay.request.customer)
        found = self.records.find(name, lost_relay.request.customer)
        match found:
            case records.Replay(answer):
                return answer
            case records.Resolved(outcome) if name in self.records.records:
                return outcome
            case _:
                return None

    def continue_here(self, lost_relay):
        """Run a relayed request here after its home was lost.

        Only a repeatable request is run. The run starts at the offset that
        the caller has, so that the caller gets one continuous answer.

        :param lost_relay: :class:`relay.Relay` whose output the run continues
        :return: the run's outcome, or None when it may not run here
        """
        request = lost_relay.request
        if (
            not request.repeatable
            or self.refusal_for(request.customer) is not None
        ):
            return None
        key = record_name(lost_relay.key, request.customer)
        now_s = self.clock.now_s()
        found = self.records.open(
            key, request.customer, request.digest, now_s, now_s
        )
        if not isinstance(found, records.New):
            return None
        run = self.build(request, found.record)
        if isinstance(run, streams.ModelRun):
            run.continue_from(lost_relay)
            digest = engine_id(lost_relay.home, key)
            self.streams.cancel_everywhere(run.job.pool, digest)
        self.register_run(request, found.record, run)
        run.main()
        return run.outcome

    def find_answer(self, request, offset):
        """Find the answer that a caller wants to resume.

        :param request: :class:`caller_codec.ModelRequest` with a key and empty
            ``work``
        :param offset: output tokens that the caller has already
        :return: :class:`Following`, :class:`KeptAnswer` or :class:`Settled`
        """
        key = tickets.parse_key(request.key)
        if key is None:
            return self.find_foreign(request, offset)
        found = self.records.find(request.key, request.customer)
        if isinstance(found, records.RunningElsewhere):
            return self.find_elsewhere(request, found.home, offset)
        is_recorded = request.key in self.records.records
        if is_recorded or self.has_records_of(key.home):
            return self.route_recorded(found, request.key)
        return self.find_elsewhere(request, key.home, offset)

    def find_foreign(self, request, offset):
        """Find the answer to resume under a foreign key."""
        digest = claims.claim_digest(request.customer, request.key)
        key = FOREIGN + digest
        if key in self.records.records:
            found = self.records.find(key, request.customer)
            if isinstance(found, records.RunningElsewhere):
                return self.find_elsewhere(request, found.home, offset)
            return self.route_recorded(found, key)
        owner = self.claiming.fetch_owner(digest)
        if not owner or owner == self.name:
            return Settled(records.ANSWER_GONE)
        return self.find_elsewhere(request, owner, offset)

    def find_elsewhere(self, request, home, offset):
        """Relay the resume of an answer to the home of its key."""
        if self.home_directory.locate(home) is None:
            return Settled(HOME_GONE)
        return self.relay(request, request.key, home, offset, True)

    # Life cycle and handover of records.

    def start(self):
        """Start the task that claims foreign keys in the store."""
        self.claiming.start()

    def stop(self):
        """Stop the claim task and close the connections to other nodes."""
        self.claiming.stop()
        self.home_directory.close()

    def receive_records(self, host, incarnation, lines, last):
        """Take over records of a host that is stopping.

        :param lines: JSON lines, each as bytes
        :param last: whether this batch completes the handover
        :return: number of lines accepted, or None when this node refuses,
            since it is stopping or accepts no new requests
        """
        if (
            self.handover.first_transfer_ended is not None
            or self.refusal_for('') is not None
        ):
            return None
        return self.handover.receive_batch(host, incarnation, lines, last)

    def hand_over(self):
        """Send all records to a successor; new keys run there from then on.

        :return: the successor's host name, or ``''`` if no member took them
        """
        candidates = [
            member
            for member in self.home_directory.members_by_host().values()
            if member.host != self.host
            and member.state == 'alive'
            and member.takes_work
        ]
        self.rng.shuffle(candidates)
        self.handover.start_transfer(candidates)
        return self.handover.successor

    def successor_of(self, home):
        """Return the home that took over another home's records.

        :param home: ``HOST.INCARNATION``
        :return: ``HOST.INCARNATION``, or ``''`` when this node has no record
            of a successor
        """
        if home == self.name or home in self.handover.adopted:
            return self.name
        self.home_directory.record_successors()
        return self.home_directory.successors.get(home, '')


def record_name(key, customer):
    """Return the name under which a key's record is kept.

    :param key: key as the caller sent it
    :param customer: name of the customer that sent it
    """
    if tickets.parse_key(key) is not None:
        return key
    return FOREIGN + claims.claim_digest(customer, key)


def engine_id(home, key):
    """Return the prefix of the attempt ids for a key that a home runs."""
    text = f'{home} {key}'.encode()
    return hashlib.sha256(text).hexdigest()[:DIGEST_DIGITS]


def abandon_unfollowed(run):
    """Abandon a run that still has no subscriber."""
    if not run.subscribers:
        run.abandon()


def record_settings(limits):
    """Return the record limits that the deployment's settings give."""
    return records.RecordSettings(
        answer_bytes=limits.answer_bytes, answer_keep_s=limits.answer_keep_s
    )
