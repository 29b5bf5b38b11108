"""Asks the placing host where requests go; is that host if it leads.

One host places for all, so that what engines have been given is known in
one place.  Its decisions are soft state: when it doesn't answer, each host
places by itself, as one of several that share the engines unseen.
"""

import collections
from collections.abc import Iterator
import contextlib
import random
from typing import Any
from typing import Callable
from typing import NamedTuple

import gevent
from gevent import event
from gevent import socket

from magnoliadyke import app
from magnoliadyke import clock as clocks
from magnoliadyke.core import catalog
from magnoliadyke.core import medianestimator
from magnoliadyke.core import placement
from magnoliadyke.core import position
from magnoliadyke.core import prefillcost
from magnoliadyke.core import promptjobs
from magnoliadyke import errors
from magnoliadyke.gateway import inflightjobs
from magnoliadyke.gateway import placement_codec
from magnoliadyke.gateway import waitlimit
from magnoliadyke import logs

__all__ = ['SHORT_TOKENS', 'PlacementService']

LOG = logs.get('placing')

#: Prompts up to this size go before others at an engine.
SHORT_TOKENS = placement.PlacementSettings().short_tokens
#: An ask without answer is sent again after this time: several times the
#: way there and back, so that only a lost datagram or a busy host is late.
REQUEST_TIMEOUT_S = 0.02
#: An ask, or its answer, may wait behind so many bytes on this host's own
#: link: the body of a long request.  On a narrow link that takes longer than
#: the answer; without it each long request would look like a dead host.
QUEUED_BODY_BYTES = 64 * 1024
#: Asks without any answer before the host places by itself.
MAX_UNANSWERED_REQUESTS = 2
#: A placing host that did not answer is not asked for this long.
LEADER_COOLDOWN_S = 0.6
#: A job that waits in the queue is asked for again this often.
RESEND_INTERVAL_S = 0.2
#: Prompts told of in one datagram, which stays under a network's 1,400 B.
MAX_PROMPTS_PER_DATAGRAM = 16
#: How long decisions are remembered for asks that come twice.
MAX_CACHED_DECISIONS = 4096
MAX_DATAGRAM_BYTES = 65535
#: From a read prompt to the first event before any was measured, in
#: seconds: a transfer of some milliseconds and a step or two.
INITIAL_TRANSFER_S = 0.015
#: One transfer in so many is reported.
TRANSFER_SAMPLE_INTERVAL = 3
#: What prompts take is told to all hosts this often, in seconds: some 40 bytes
#: each, and a host that takes over begins with figures of the last second.
COST_SEND_INTERVAL_S = 1.0
#: Engines that read nothing are looked for this often, in seconds; a fifth
#: of the time after which one counts as such.
STALL_CHECK_INTERVAL_S = 0.1


class _Waiting(NamedTuple):
    """A job of this host that waits for a decision."""

    decided: event.AsyncResult
    acknowledged: event.Event


class _Pool:
    """The placement of one service, with its timer."""

    def __init__(self, core: placement.Placement) -> None:
        self.core = core
        self.generation = -1
        self.timer = None


class PlacementService(app.Component):
    """Places the prompts of this host's callers.

    :param address: of this host, for other hosts
    :param port: of this host, the same on all hosts
    :param link_mbps: of this host's link
    :ivar leader: address of the placing host, None if none is known
    :ivar term: of the placing host; a later one has a larger one
    :ivar leading: this host is the placing host
    :ivar hosts: live hosts
    :ivar listeners: take the messages of other hosts that are not about
        placing, by their kind; what one returns is sent back
    :ivar reads: the waits for prompts that engines read, by engine
    :ivar learned: what prompts take, as the placing host has found, by
        service; a host that begins to place would else learn it anew, and
        let in too many or too few for seconds
    :ivar tell: sends a message to all other hosts
    :ivar after_reading_s: time from a prompt that has been read to the
        first event, which the place has to leave free
    """

    def __init__(
        self,
        address: str,
        port: int,
        known: catalog.Catalog,
        clock: clocks.Clock,
        rng: random.Random,
        link_mbps: float,
    ) -> None:
        self.address = address
        self.port = port
        self.catalog = known
        self.clock = clock
        self.rng = rng
        self.request_timeout_s = request_timeout_s(link_mbps)
        self.leader: str | None = None
        self.term = position.START
        self.leading = False
        self.transfer_s = medianestimator.MedianEstimator(INITIAL_TRANSFER_S)
        self.hosts = 1
        self.leader_retry_at_s = 0.0
        self.served: dict[str, _Pool] = {}
        self.local: dict[str, _Pool] = {}
        self.waiting: dict[int, _Waiting] = {}
        self.placed_by: dict[int, str | None] = {}
        self.requesters: dict[int, str] = {}
        self.decided: collections.OrderedDict[int, promptjobs.Decision] = (
            collections.OrderedDict()
        )
        self.counts: collections.Counter[str] = collections.Counter()
        self.in_flight_jobs = inflightjobs.InFlightJobs()
        self.listeners: dict[
            type, Callable[[Any], placement_codec.Message | None]
        ] = {}
        self.prefill_waits: collections.defaultdict[
            str, set[waitlimit.WaitLimit]
        ] = collections.defaultdict(set)
        self.learned_costs: dict[str, prefillcost.CostCoefficients] = {}
        self.broadcast: Callable[[placement_codec.Message], None] | None = None
        self.socket: socket.socket | None = None
        self.greenlets: list[gevent.Greenlet] = []

    # Life cycle.

    def start(self) -> None:
        """Listen for other hosts."""
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind((self.address, self.port))
        self.greenlets = [
            gevent.spawn(self._receive_all),
            gevent.spawn(self._run_stall_checks),
            gevent.spawn(self._run_cost_updates),
        ]

    def stop(self, deadline_s: float) -> None:
        """Answer nobody from now on."""
        gevent.killall(self.greenlets)
        if self.socket is not None:
            self.socket.close()

    # What exchanges ask and tell.

    def place(self, service: str, job: promptjobs.Job) -> promptjobs.Decision:
        """Wait until a job is placed or refused."""
        waiting = _Waiting(event.AsyncResult(), event.Event())
        self.waiting[job.id] = waiting
        try:
            decision = self._place(service, job, waiting)
            if isinstance(decision, promptjobs.Placed):
                short = job.resumed or job.tokens <= SHORT_TOKENS
                now_s = self.clock.now_s()
                self.in_flight_jobs.record_placement(
                    service, job, decision, short, now_s
                )
                if self._is_local_fallback(job.id) and not short:
                    contents = self.in_flight_jobs.prefill_cache_contents(job)
                    recall = placement_codec.CacheSnapshot(
                        service, (contents,)
                    )
                    self.send(self.leader, recall)
            return decision
        except BaseException:
            # The caller has left: the place goes to somebody else.
            self._report(service, job.id, placement_codec.Event.WITHDRAWN, '')
            self.placed_by.pop(job.id, None)
            raise
        finally:
            del self.waiting[job.id]

    def _is_local_fallback(self, job_id: int) -> bool:
        """Whether a job was placed here although another host leads.

        That host may be there for others, or be back at any moment.  What it
        does not hear of holds its engines up, which it then takes for slow,
        or for silent, and takes their prompts away.
        """
        return (
            not self.leading
            and self.leader is not None
            and self.placed_by.get(job_id) is None
        )

    def follow(self, leader: str, term: position.Position) -> None:
        """Another host places from now on; tell it what engines do.

        What becomes of the jobs under way is reported to it as well.

        :param term: grows with each host that begins to place, also where
            that is a later process of the same one
        """
        if (leader, term) == (self.leader, self.term) and not self.leading:
            return
        self.term = term
        self.leading = False
        self.leader = leader
        self.leader_retry_at_s = 0.0
        now_s = self.clock.now_s()
        self._hand_over(leader, now_s)
        for service, cache_contents in self.in_flight_jobs.cache_contents(
            now_s
        ).items():
            for start in range(
                0, len(cache_contents), MAX_PROMPTS_PER_DATAGRAM
            ):
                chunk = cache_contents[
                    start : start + MAX_PROMPTS_PER_DATAGRAM
                ]
                self.send(
                    leader, placement_codec.CacheSnapshot(service, chunk)
                )

    def lead(self) -> None:
        """This host places from now on."""
        now_s = self.clock.now_s()
        if not self.leading:
            # What it knew when it led before is long out of date.
            self.served = {}
        self.leading = True
        self._hand_over(None, now_s)
        for service, cache_contents in self.in_flight_jobs.cache_contents(
            now_s
        ).items():
            self._restore_snapshot(
                placement_codec.CacheSnapshot(service, cache_contents)
            )

    def _hand_over(self, leader: str | None, now_s: float) -> None:
        """What becomes of this host's jobs is reported elsewhere from now on.

        Those that it placed alone would else hold the engines in its own
        view, which is used again when nobody leads.
        """
        for job_id in self.in_flight_jobs.in_flight:
            if self.placed_by.get(job_id) is None:
                for pool in self.local.values():
                    self._publish(pool, pool.core.hand_over(job_id, now_s))
            self.placed_by[job_id] = leader

    def _run_stall_checks(self) -> None:
        """Look for engines that read nothing, for all hosts.

        Only while this host places for all.  One that places alone sees its
        own prompts only, and one that did before hears no longer what is
        read: to both an engine that reads for others looks as if it read
        nothing, and its prompts would be given up one after the other.
        """
        while True:
            self.clock.sleep(STALL_CHECK_INTERVAL_S)
            if not self.leading:
                continue
            now_s = self.clock.now_s()
            for pool in list(self.served.values()):
                for engine in pool.core.find_stalled(now_s):
                    self._abort_prefill_waits(engine)
                    if self.broadcast is not None:
                        self.broadcast(placement_codec.EngineStalled(engine))

    def _run_cost_updates(self) -> None:
        """Tell the other hosts what prompts take, while this one places."""
        while True:
            self.clock.sleep(COST_SEND_INTERVAL_S)
            if not self.leading:
                continue
            for service, pool in list(self.served.items()):
                costs = pool.core.pool.learned_costs()
                if costs is None:
                    continue
                self.learned_costs[service] = costs
                if self.broadcast is not None:
                    self.broadcast(placement_codec.CostUpdate(service, costs))

    def _abort_prefill_waits(self, engine: str) -> None:
        """Nobody waits any longer for prompts that an engine should read."""
        waits = self.prefill_waits.get(engine, ())
        LOG.event('engine_silent', endpoint=engine, waits=len(waits))
        for limit in waits:
            limit.end('the engine reads nothing')

    def _restore_snapshot(self, recall: placement_codec.CacheSnapshot) -> None:
        if not self._is_model_service(recall.service):
            return
        core = self._pool(self.served, recall.service).core
        now_s = self.clock.now_s()
        for engine, parts, job, read_tokens, answers in recall.cache_contents:
            core.restore_cache(engine, parts)
            if job is not None:
                core.adopt(job, engine, read_tokens, answers, now_s)

    def _place(
        self, service: str, job: promptjobs.Job, waiting: _Waiting
    ) -> promptjobs.Decision:
        if self.leading:
            self.counts['own'] += 1
            return self._place_at(self.served, service, job, waiting)
        leader = self.leader
        if leader is not None and self.clock.now_s() >= self.leader_retry_at_s:
            self.placed_by[job.id] = leader
            decision = self._place_remotely(leader, service, job, waiting)
            if decision is not None:
                self.counts['remote'] += 1
                return decision
        self.counts['alone'] += 1
        return self._place_at(self.local, service, job, waiting)

    def _place_at(
        self,
        pools: dict[str, _Pool],
        service: str,
        job: promptjobs.Job,
        waiting: _Waiting,
    ) -> promptjobs.Decision:
        self.placed_by[job.id] = None
        pool = self._pool(pools, service)
        now_s = self.clock.now_s()
        self._publish(pool, pool.core.submit(job, now_s))
        return waiting.decided.get()

    def _place_remotely(
        self,
        leader: str,
        service: str,
        job: promptjobs.Job,
        waiting: _Waiting,
    ) -> promptjobs.Decision | None:
        """Ask the placing host; None if it doesn't answer."""
        unanswered = 0
        while unanswered < MAX_UNANSWERED_REQUESTS:
            waiting.acknowledged.clear()
            self.send(
                leader,
                placement_codec.PlacementRequest(
                    service, self._with_relative_times(job)
                ),
            )
            if not waiting.acknowledged.wait(self.request_timeout_s):
                unanswered += 1
                continue
            unanswered = 0
            with gevent.Timeout(RESEND_INTERVAL_S, False):
                return waiting.decided.get()
        self.leader_retry_at_s = self.clock.now_s() + LEADER_COOLDOWN_S
        self.counts['silent'] += 1
        LOG.repeated('placing_host_silent', leader, leader=leader)
        return None

    def _with_relative_times(self, job: promptjobs.Job) -> promptjobs.Job:
        """The job with times relative to now."""
        now_s = self.clock.now_s()
        return promptjobs.Job(
            job.id,
            job.parts,
            job.output_tokens,
            job.objective_s - now_s,
            job.deadline_s - now_s,
            job.failure_domain,
            job.returning,
            job.resumed,
            job.avoid,
        )

    def decided_by(self, job_id: int) -> str:
        """Who decided on a job, for the log: a host, 'self' or 'alone'."""
        leader = self.placed_by.get(job_id)
        if leader is not None:
            return leader
        return 'self' if self.leading else 'alone'

    def record_prefill_done(
        self, service: str, job_id: int, endpoint: str
    ) -> None:
        """An engine has read a job's prompt."""
        self.in_flight_jobs.record_prefill_done(job_id)
        self._report(service, job_id, placement_codec.Event.READ, endpoint)

    def record_failure(self, service: str, job_id: int, endpoint: str) -> None:
        """An engine failed a job."""
        self.in_flight_jobs.record_prefill_done(job_id)
        self._report(service, job_id, placement_codec.Event.FAILED, endpoint)

    @contextlib.contextmanager
    def track_prefill(
        self, endpoint: str, limit: waitlimit.WaitLimit
    ) -> Iterator[None]:
        """An engine reads a prompt; the wait ends if it reads nothing."""
        self.prefill_waits[endpoint].add(limit)
        try:
            yield
        finally:
            waits = self.prefill_waits[endpoint]
            waits.discard(limit)
            if not waits:
                del self.prefill_waits[endpoint]

    def record_rejection(
        self,
        service: str,
        job_id: int,
        prefill_engine: str,
        decode_engine: str,
    ) -> None:
        """An engine turned away a request whose prompt another had read."""
        lapsed = placement_codec.Event.LAPSED
        self._report(
            service,
            job_id,
            lapsed,
            prefill_engine,
            decode_engine=decode_engine,
        )

    def record_kv_transfer(
        self, service: str, job_id: int, endpoint: str, took_s: float
    ) -> None:
        """A prompt that was read elsewhere has given its first event.

        One in several is told: that shows engines whose transfers are slow
        within a second or two, at a tenth of the messages.
        """
        self.transfer_s.add(took_s)
        if job_id % TRANSFER_SAMPLE_INTERVAL == 0:
            moved = placement_codec.Event.MOVED
            self._report(service, job_id, moved, endpoint, took_s)

    def record_end(self, service: str, job_id: int, must_report: bool) -> None:
        """A job holds no slot any longer.

        :param tell: whether the place was to be told
        """
        self.in_flight_jobs.record_end(job_id)
        if must_report:
            self._report(service, job_id, placement_codec.Event.ENDED, '')
        self.placed_by.pop(job_id, None)

    def _report(
        self,
        service: str,
        job_id: int,
        what: placement_codec.Event,
        endpoint: str,
        took_s: float = 0.0,
        decode_engine: str = '',
    ) -> None:
        report = placement_codec.Report(
            service, job_id, what, endpoint, took_s, decode_engine
        )
        leader = self.placed_by.get(job_id)
        if leader is not None and not self.leading:
            self.send(leader, report)
            return
        if self._is_local_fallback(job_id):
            self.send(self.leader, report)
        for pools in (self.served, self.local):
            if service in pools:
                self._apply_report(self._pool(pools, service), report)

    # The placing host.

    def _pool(self, pools: dict[str, _Pool], service: str) -> _Pool:
        pool = pools.get(service)
        if pool is None:
            traits = self.catalog.configuration.services[service].engine
            core = placement.Placement(traits, self.rng)
            if service in self.learned_costs:
                core.pool.restore_costs(self.learned_costs[service])
            pool = pools[service] = _Pool(core)
        pool.core.sharers = 1 if pools is self.served else self.hosts
        if pool.generation != self.catalog.generation:
            pool.generation = self.catalog.generation
            engines = self.catalog.usable(service)
            if pools is self.local:
                # Of engines that look alike the first one is taken: hosts
                # that place alone would all send to the same one.
                self.rng.shuffle(engines)
            pool.core.set_engines(engines)
        return pool

    def _receive_all(self) -> None:
        while True:
            data, sender = self.socket.recvfrom(MAX_DATAGRAM_BYTES)
            try:
                message = placement_codec.decode(data)
            except errors.ProtocolError as error:
                LOG.repeated('datagram_ignored', sender[0], reason=str(error))
                continue
            self._receive(message, sender[0])

    def _receive(self, message: placement_codec.Message, sender: str) -> None:
        match message:
            case placement_codec.PlacementRequest(service, job):
                self._handle_request(service, job, sender)
            case placement_codec.Report(service=service):
                if self.leading and service in self.served:
                    pool = self._pool(self.served, service)
                    self._apply_report(pool, message)
            case placement_codec.CacheSnapshot():
                if self.leading:
                    self._restore_snapshot(message)
            case placement_codec.EngineStalled(engine):
                self._abort_prefill_waits(engine)
            case placement_codec.CostUpdate(service, costs):
                self._handle_cost_update(service, costs)
            case placement_codec.PlacementQueued(job):
                waiting = self.waiting.get(job)
                if waiting is not None:
                    waiting.acknowledged.set()
            case placement_codec.PlacementDecision(decision):
                waiting = self.waiting.get(decision.job)
                if waiting is not None:
                    waiting.acknowledged.set()
                    waiting.decided.set(decision)
            case _:
                self._pass_on(message, sender)

    def _pass_on(self, message: placement_codec.Message, sender: str) -> None:
        listener = self.listeners.get(type(message))
        reply = listener(message) if listener is not None else None
        if reply is not None:
            self.send(sender, reply)

    def _handle_cost_update(
        self, service: str, costs: prefillcost.CostCoefficients
    ) -> None:
        if self.leading:
            return
        self.learned_costs[service] = costs
        if service in self.local:
            self.local[service].core.pool.restore_costs(costs)

    def _handle_request(
        self, service: str, job: promptjobs.Job, sender: str
    ) -> None:
        if not self.leading or not self._is_model_service(service):
            # No answer: the host that asks will place by itself.
            return
        decided = self.decided.get(job.id)
        if decided is not None:
            self.send(sender, placement_codec.PlacementDecision(decided))
            return
        pool = self._pool(self.served, service)
        waits = placement_codec.PlacementQueued(job.id)
        if pool.core.is_waiting(job.id):
            self.send(sender, waits)
            return
        now_s = self.clock.now_s()
        job.objective_s += now_s
        job.deadline_s += now_s
        self.requesters[job.id] = sender
        self._publish(pool, pool.core.submit(job, now_s))
        if job.id not in self.decided:
            self.send(sender, waits)

    def _is_model_service(self, service: str) -> bool:
        configuration = self.catalog.configuration
        if configuration is None:
            return False
        known = configuration.services.get(service)
        return known is not None and known.engine is not None

    def _apply_report(
        self, pool: _Pool, report: placement_codec.Report
    ) -> None:
        now_s = self.clock.now_s()
        core = pool.core
        match report.event:
            case placement_codec.Event.READ:
                decisions = core.record_prefill_done(
                    report.job, report.endpoint, now_s
                )
            case placement_codec.Event.ENDED:
                decisions = core.record_end(report.job, now_s)
            case placement_codec.Event.FAILED:
                decisions = core.record_failure(
                    report.job, report.endpoint, now_s
                )
            case placement_codec.Event.LAPSED:
                decisions = core.record_rejection(
                    report.job, report.endpoint, report.decode_engine, now_s
                )
            case placement_codec.Event.MOVED:
                decisions = core.record_kv_transfer(
                    report.endpoint, report.took_s, now_s
                )
            case placement_codec.Event.WITHDRAWN:
                decisions = core.withdraw(report.job, now_s)
        self._publish(pool, decisions)

    def _publish(
        self, pool: _Pool, decisions: list[promptjobs.Decision]
    ) -> None:
        for decision in decisions:
            waiting = self.waiting.get(decision.job)
            if waiting is not None:
                waiting.decided.set(decision)
            requester = self.requesters.pop(decision.job, None)
            if requester is None:
                continue
            self.decided[decision.job] = decision
            if len(self.decided) > MAX_CACHED_DECISIONS:
                self.decided.popitem(last=False)
            self.send(requester, placement_codec.PlacementDecision(decision))
        self._arm(pool)

    def _arm(self, pool: _Pool) -> None:
        """Look again when an engine is expected to be free."""
        if pool.timer is not None:
            return
        now_s = self.clock.now_s()
        wake_s = pool.core.wake_s(now_s)
        if wake_s is None:
            return
        timer = gevent.get_hub().loop.timer(wake_s - now_s)
        pool.timer = timer

        def fire() -> None:
            pool.timer = None
            timer.close()
            self._publish(pool, pool.core.pump(self.clock.now_s()))

        timer.start(fire)

    def send(self, address: str, message: placement_codec.Message) -> None:
        """Send a datagram; never waits, since the event loop sends too."""
        data = placement_codec.encode(message)
        try:
            self.socket._sock.sendto(data, (address, self.port))
        except OSError as error:
            LOG.repeated('send_failed', address, error=str(error))


def request_timeout_s(link_mbps: float) -> float:
    """How long an answer of the placing host is waited for, in seconds."""
    return REQUEST_TIMEOUT_S + QUEUED_BODY_BYTES * 8 / (link_mbps * 1e6)
