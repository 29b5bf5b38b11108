"""Decide where a request's key belongs, and run what belongs here."""

import hashlib
import json
import typing

import gevent
from gevent import event

from magnoliadyke import claiming
from magnoliadyke.core import claims
from magnoliadyke.core import jobs
from magnoliadyke.core import outcomes
from magnoliadyke.core import prefixes
from magnoliadyke.core import records
from magnoliadyke.core import tickets
from magnoliadyke import endpoint as endpoints
from magnoliadyke import errors
from magnoliadyke import forms
from magnoliadyke import relay
from magnoliadyke import streams

__all__ = ['Homes', 'Told']

SECRET_BYTES = 16
DIGEST_DIGITS = 24
LINGER_S = 5.0
SEAL_TIMEOUT_S = 5.0
HANDOVER_BATCH_BYTES = 256 << 10
HOME_LINE = b'{"home"'
FOREIGN = 'foreign:'
MAX_SUCCESSORS = 10_000
#: Stands for an age without bound, which JSON can't express.
LONGEST_AGE_S = 1e9
REACHABLE = ('alive', 'suspect')

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


class Told(typing.NamedTuple):
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


class Adopted(typing.NamedTuple):
    """A home whose records this node took over.

    :param office: checks its tickets
    :param shift_s: this clock's seconds minus the old home's
    :param floor_s: issue time, by this clock, up to which the old home had
        forgotten keys
    """

    office: tickets.TicketOffice
    shift_s: float
    floor_s: float


class Homes:
    """The request records of this node and the ways to those of others.

    :param settings: :class:`magnoliadyke.settings.Settings`
    :param door: called with the customer's name; returns ``NotRun`` when no
        new work is taken, or None
    :param streams_: :class:`magnoliadyke.streams.Streams`
    """

    def __init__(
        self,
        settings,
        host,
        incarnation,
        clock,
        rng,
        members,
        table,
        store,
        peers,
        streams_,
        door,
    ):
        self.settings = settings
        self.host = host
        self.incarnation = incarnation
        self.name = tickets.home_name(host, incarnation)
        self.clock = clock
        self.rng = rng
        self.members = members
        self.table = table
        self.peers = peers
        self.streams = streams_
        self.door = door
        secret = rng.getrandbits(8 * SECRET_BYTES).to_bytes(SECRET_BYTES)
        self.office = tickets.TicketOffice(host, incarnation, secret)
        self.records = records.RecordTable(record_settings(settings.limits))
        self.claiming = claiming.Claiming(
            self.name, store, settings.keyvalue.prefix, clock
        )
        self.adopted = {}
        self.arriving = {}
        self.sealed = None
        self.successor = ''
        self.successors = {}
        self.links = {}
        self.relays = set()
        self.runs = {}

    # Where a key belongs.

    def place(self, request, hops):
        """Return :class:`Following`, :class:`Kept` or :class:`Told`.

        :param hops: hosts that relayed the request here, in order
        """
        if not request.key:
            return self.place_own(request)
        key = tickets.parse_key(request.key)
        if key is None:
            return self.place_foreign(request, hops)
        if key.home == self.name:
            if not self.office.accepts(key):
                return Told(BAD_TICKET)
            return self.open(request, key.text, key.issued_s)
        adopted = self.adopted.get(key.home)
        if adopted is not None:
            if not adopted.office.accepts(key):
                return Told(BAD_TICKET)
            issued_s = key.issued_s + adopted.shift_s
            return self.open(request, key.text, issued_s, adopted.floor_s)
        return self.place_elsewhere(request, key.text, key.home, hops)

    def place_own(self, request):
        """Run a request that came without a key; nobody can resend it."""
        now_s = self.clock.now_s()
        key = f'{self.office.issue(now_s)}/0'
        return self.open(request, key, now_s)

    def place_foreign(self, request, hops):
        """Claim a key that the caller made up, or find who has it."""
        digest = claims.claim_digest(request.customer, request.key)
        key = FOREIGN + digest
        if key in self.records.records:
            return self.open(request, key, self.clock.now_s())
        match self.claim(digest):
            case claims.Won():
                return self.open(request, key, self.clock.now_s())
            case claims.Lost(owner=owner) if owner == self.name:
                if key in self.records.records:
                    return self.open(request, key, self.clock.now_s())
                return Told(records.GONE)
            case claims.Lost(owner=owner) if owner in self.adopted:
                return Told(self.records.find(key, request.customer).outcome)
            case claims.Lost(owner=owner):
                return self.place_elsewhere(request, request.key, owner, hops)
            case claims.Refused(reason=reason):
                return Told(
                    outcomes.NotRun(reason, 'use a key of a ticket', 1.0)
                )

    def claim(self, digest):
        """Ask the store for a claim."""
        message = claiming.AskClaim(digest)
        return self.claiming.ask(message, None)

    def place_elsewhere(self, request, key, home, hops):
        """Relay to the home of a key, or say that it is gone."""
        if len(hops) >= relay.MAX_HOPS:
            return Told(TOO_MANY_HOPS)
        if self.locate(home) is None:
            return self.home_gone(request, key)
        return self.relay(request, key, home, hops)

    def home_gone(self, request, key):
        """Answer for a home that ended without a successor.

        Only a request that may be repeated is run again, here.
        """
        if not request.repeatable:
            return Told(HOME_GONE)
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
            case _:
                return self.known(found, key)

    def known(self, found, key):
        """Return the place of a key that is in the records."""
        match found:
            case records.Attach(record):
                return Following(record.run, key)
            case records.Replay(answer):
                return Kept(answer)
            case records.Tell(outcome):
                return Told(outcome)

    def admit(self, request, record):
        """Run a new request, unless this node takes no new work."""
        if self.sealed is not None:
            return self.pass_on(request, record)
        refusal = self.door(request.customer)
        if refusal is not None:
            self.close_refused(request, record, refusal)
            return Told(refusal)
        run = self.build(request, record)
        if isinstance(run, outcomes.Rejected):
            self.close_refused(request, record, run)
            return Told(run)
        record.run = run
        self.runs[record.key] = run
        run.record = record
        run.request = request
        run.start()
        return Following(run, record.key)

    def pass_on(self, request, record):
        """Send a new key after the records, to the successor.

        Refusing it here would be untrue as soon as an older copy of the
        request, which the caller has given up, reached the successor.
        """
        self.records.forget(record)
        self.sealed.wait(SEAL_TIMEOUT_S)
        if not self.successor:
            return Told(NO_SUCCESSOR)
        home = self.full_name(self.successor)
        return self.relay(request, record.key, home, ())

    def close_refused(self, request, record, outcome):
        """End the record of a request that does not run."""
        if request.key:
            self.records.tell(record, outcome)
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
        text = f'{self.name} {key}'.encode()
        return hashlib.sha256(text).hexdigest()[:DIGEST_DIGITS]

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
                self.records.tell(record, run.outcome)

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

    def relay(self, request, key, home, hops, offset=0, resume_only=False):
        """Follow a request at its home."""

        def locate():
            return self.locate(home)

        hops = (*hops, self.host)
        arguments = (key, request, locate, hops, self.streams, self.relay_end)
        match request:
            case forms.ServiceRequest():
                run = relay.ServiceRelay(*arguments)
            case _:
                run = relay.ModelRelay(*arguments, offset, resume_only)
        self.relays.add(run)
        run.start()
        return Following(run, key)

    def relay_end(self, run):
        """A relay ended."""
        self.relays.discard(run)

    def locate(self, home):
        """Return the connections to the node that has a home's records.

        :param home: ``HOST.INCARNATION``
        :return: :class:`magnoliadyke.endpoint.Connections`, or None when
            the home is gone without a successor
        """
        self.learn_successors()
        seen = set()
        while home not in seen:
            seen.add(home)
            member = self.member_of(home)
            if member is not None:
                return self.link(member)
            home = self.successors.get(home, home)
        return None

    def member_of(self, home):
        """Return the member that is this home and can be reached, or None."""
        view = self.members.last
        if view is None:
            return None
        host, _, incarnation = home.rpartition('.')
        member = view.members.get(host)
        if member is None or str(member.incarnation) != incarnation:
            return None
        return member if member.state in REACHABLE else None

    def learn_successors(self):
        """Remember who took over from the members that have left."""
        view = self.members.last
        if view is None:
            return
        for member in view.members.values():
            if member.successor:
                home = tickets.home_name(member.host, member.incarnation)
                self.successors[home] = self.full_name(member.successor)
        while len(self.successors) > MAX_SUCCESSORS:
            self.successors.pop(next(iter(self.successors)))

    def full_name(self, successor):
        """Return ``HOST.INCARNATION`` of a successor named by its host."""
        member = self.members.last.members.get(successor)
        if member is None:
            return successor
        return tickets.home_name(member.host, member.incarnation)

    def link(self, member):
        """Return the connections to another node's caller listener."""
        address = f'{member.address}:{member.caller_port}'
        if address not in self.links:
            self.links[address] = endpoints.Connections(
                address, self.clock, endpoints.EndpointSettings()
            )
        return self.links[address]

    def find(self, text, customer, credential, offset, hops):
        """Return the place of an answer that a caller wants to go on with.

        :param text: key
        :param offset: output tokens the caller has already
        """
        key = tickets.parse_key(text)
        if key is None:
            return self.find_foreign(text, customer, credential, offset, hops)
        if key.home == self.name or key.home in self.adopted:
            return self.known(self.records.find(text, customer), text)
        if text in self.records.records:
            return self.known(self.records.find(text, customer), text)
        return self.find_elsewhere(
            text, key.home, customer, credential, offset, hops
        )

    def find_foreign(self, text, customer, credential, offset, hops):
        """Return the place of an answer under a key without a ticket."""
        digest = claims.claim_digest(customer, text)
        key = FOREIGN + digest
        if key in self.records.records:
            return self.known(self.records.find(key, customer), key)
        match self.claim(digest):
            case claims.Lost(owner=owner) if owner != self.name:
                return self.find_elsewhere(
                    text, owner, customer, credential, offset, hops
                )
        return Told(records.GONE)

    def find_elsewhere(self, text, home, customer, credential, offset, hops):
        """Relay a resume to the home of the key."""
        if len(hops) >= relay.MAX_HOPS:
            return Told(TOO_MANY_HOPS)
        if self.locate(home) is None:
            return Told(HOME_GONE)
        request = forms.ModelRequest(
            text, customer, credential, {}, 0, False, ''
        )
        return self.relay(request, text, home, hops, offset, True)

    # Taking over and handing over.

    def start(self):
        """Start the task that settles claims."""
        self.claiming.start()

    def stop(self):
        """Stop the tasks and close connections."""
        self.claiming.stop()
        for link in self.links.values():
            link.close()

    def take_records(self, host, incarnation, lines, last):
        """Take over records of a host that is leaving.

        :param lines: JSON lines (bytes); the first of a hand-over describes
            the homes
        :param last: whether the hand-over is complete
        :return: number of records taken, None to refuse
        """
        if self.sealed is not None or self.door('') is not None:
            return None
        arriving = self.arriving.setdefault((host, incarnation), [])
        arriving += lines
        if last:
            # Nothing is adopted before all is here: a half of the records
            # would let a key run again whose record is in the other half.
            del self.arriving[host, incarnation]
            self.take_all(arriving, self.clock.now_s())
        return len(lines)

    def take_all(self, lines, now_s):
        """Enter records and homes that have arrived completely."""
        for line in lines:
            if not line.startswith(HOME_LINE):
                self.records.import_line(line, now_s)
        for line in lines:
            if line.startswith(HOME_LINE):
                self.adopt(json.loads(line), now_s)

    def adopt(self, description, now_s):
        """Become the home of another home's keys."""
        home = description['home']
        host, _, incarnation = home.rpartition('.')
        secret = bytes.fromhex(description['secret'])
        office = tickets.TicketOffice(host, int(incarnation), secret)
        shift_s = now_s - description['now_s']
        floor_s = now_s - description['floor_age_s']
        self.adopted[home] = Adopted(office, shift_s, floor_s)

    def describe_homes(self, now_s):
        """Yield a line of JSON for each home that lives here."""
        own = Adopted(self.office, 0.0, records.NO_FLOOR)
        for each in (own, *self.adopted.values()):
            floor_s = max(each.floor_s, self.records.floor_s)
            description = {
                'home': each.office.home,
                'secret': each.office.secret.hex(),
                'now_s': now_s - each.shift_s,
                'floor_age_s': min(now_s - floor_s, LONGEST_AGE_S),
            }
            yield json.dumps(description, separators=(',', ':')).encode()

    def hand_over(self):
        """Give all records to a successor.

        :return: the successor's host name, or ``''`` if nobody took them
        """
        self.sealed = event.Event()
        for member in self.candidates():
            if self.hand_to(member):
                self.successor = member.host
                break
        self.sealed.set()
        return self.successor

    def candidates(self):
        """Return members that may take records over, in random order."""
        view = self.members.last
        if view is None:
            return []
        chosen = [
            member
            for member in view.members.values()
            if member.host != self.host
            and member.state == 'alive'
            and member.takes_work
        ]
        self.rng.shuffle(chosen)
        return chosen

    def hand_to(self, member):
        """Send all records to one member; return whether it is successor.

        A member whose last answer was lost may have adopted the records. No
        other may then be asked, or two nodes would run this home's keys: it
        stays the successor, and if it has not adopted them its answer to
        their keys is ``Unknown``.
        """
        address = f'{member.address}:{member.peer_port}'
        *batches, final = self.batches(self.clock.now_s())
        try:
            for batch in batches:
                if not self.send(address, batch, False):
                    return False
        except errors.HostUnreachable:
            return False
        try:
            return self.send(address, final, True)
        except errors.HostUnreachable:
            return True

    def batches(self, now_s):
        """Return the lines to hand over as a list of lists, none huge."""
        batches = [list(self.describe_homes(now_s))]
        size = 0
        for line in self.records.export(now_s):
            if size >= HANDOVER_BATCH_BYTES:
                batches.append([])
                size = 0
            batches[-1].append(line)
            size += len(line)
        return batches

    def send(self, address, batch, last):
        """Send one batch; return whether it was taken."""
        taken = self.peers.handover(address, self.incarnation, batch, last)
        return taken is not None


def abandon_unfollowed(run):
    """End a run if nobody has come back to it."""
    if not run.followers:
        run.abandon()


def record_settings(limits):
    """Return the bounds of the records by the deployment's settings."""
    return records.RecordSettings(
        answer_bytes=limits.answer_bytes, answer_keep_s=limits.answer_keep_s
    )
