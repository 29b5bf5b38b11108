"""Places requests on engines: as the placement leader or as its client.

One host, the leader, places the requests of all hosts, so that it accounts
for all work at the engines.  Its decisions are soft state: when the leader
does not answer, each host places its own requests, without a record of what
the other hosts send to the same engines.
"""

import collections
from collections.abc import Iterable
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
from magnoliadyke.core import endpointlimits
from magnoliadyke.core import enginepace
from magnoliadyke.core import medianestimator
from magnoliadyke.core import placement
from magnoliadyke.core import position
from magnoliadyke.core import prefillcost
from magnoliadyke.core import promptjobs
from magnoliadyke.core import refusals
from magnoliadyke.core import sizeclasses
from magnoliadyke import errors
from magnoliadyke.gateway import inflightjobs
from magnoliadyke.gateway import placement_codec
from magnoliadyke.gateway import waitlimit
from magnoliadyke import logs

__all__ = ['SHORT_TOKENS', 'Demand', 'PlacementService']

LOG = logs.get('placing')

#: Prompts up to this length, in tokens, take precedence at an engine.
SHORT_TOKENS = placement.PlacementSettings().short_tokens
#: An unanswered request is sent again after this time, in seconds.  It is
#: several round-trip times, so that only a lost datagram or a busy leader
#: exceeds it.
REQUEST_TIMEOUT_S = 0.02
#: Bytes that may be queued on this host's link ahead of a placement request
#: or its answer: the body of a long request.  On a narrow link they take
#: longer to send than the leader takes to answer; without this allowance each
#: long request would make the leader look dead.
QUEUED_BODY_BYTES = 64 * 1024
#: Consecutive unanswered requests after which this host places a job itself.
MAX_UNANSWERED_REQUESTS = 2
#: Time for which a leader that did not answer gets no requests, in seconds.
LEADER_COOLDOWN_S = 0.6
#: Interval at which the request for a job that is queued at the leader is
#: repeated, in seconds.
RESEND_INTERVAL_S = 0.2
#: Maximum number of prompts in a datagram, so that it does not exceed the
#: 1,400 bytes of a network packet.
MAX_PROMPTS_PER_DATAGRAM = 16
#: Maximum number of decisions kept to answer duplicate requests.
MAX_CACHED_DECISIONS = 4096
MAX_DATAGRAM_BYTES = 65535
#: Maximum number of routes whose prompts are counted by name.
MAX_COUNTED_ROUTES = 32
#: Name under which the prompts of further routes are counted.
OTHER_ROUTES = 'other'
#: Errors of a handler whose message lacks a field or holds one of no use.
UNFIT = (ArithmeticError, AttributeError, LookupError, TypeError, ValueError)
#: Initial estimate of the time from the end of a prefill to the first event,
#: in seconds: a KV transfer of some milliseconds and one or two decode steps.
INITIAL_TRANSFER_S = 0.015
#: One of this many KV transfers is reported to the leader.
TRANSFER_SAMPLE_INTERVAL = 3
#: The leader sends the fitted prefill costs to all hosts this often, in
#: seconds.  A message has about 40 bytes, and a new leader starts with costs
#: of the last second.
COST_SEND_INTERVAL_S = 1.0
#: Time for which the paces of engines that the leader told of are kept, in
#: seconds: one of its rounds over 450 engines.
PACE_RETENTION_S = 20.0
#: The leader checks for stalled engines this often, in seconds: a fifth of
#: the time after which an engine counts as stalled.
STALL_CHECK_INTERVAL_S = 0.1
#: Time for which the demand that the leader has sent counts, in seconds.  It
#: outlasts some lost messages and a change of leader.
DEMAND_TTL_S = 10.0
#: Time after which a new leader goes by the demand that it measures, in
#: seconds: twice the time constant of its moving average, which starts at 0.
DEMAND_WARM_UP_S = 2 * placement.DEMAND_TIME_CONSTANT_S


class Demand(NamedTuple):
    """Requests that all hosts send to be placed.

    :param requests_s: number per second, of all services
    :param measured_s: when this host measured or received it, in seconds
    """

    requests_s: float
    measured_s: float


class _WaitingJob(NamedTuple):
    """A job of this host that waits for a decision.

    :ivar acknowledged: set when the leader has answered the latest request
    """

    decided: event.AsyncResult
    acknowledged: event.Event


class _ServicePlacement:
    """Placement of one service, with a timer for its next available engine.

    :ivar generation: catalog generation of the engines that it places on
    """

    def __init__(self, service_placement: placement.Placement) -> None:
        self.placement = service_placement
        self.generation = -1
        self.timer = None


class PlacementService(app.Component):
    """Places the prompts of this host's callers.

    :param address: address of this host at which it receives datagrams
    :param port: UDP port, the same on all hosts
    :param link_mbps: bandwidth of this host's link, in Mbit/s
    :param pacers: limits of endpoints, kept by the placement
    :ivar leader: address of the leader, None before the first one
    :ivar term: term of the leader; each later leader has a larger one
    :ivar leading: whether this host is the leader
    :ivar hosts: number of live hosts
    :ivar leader_retry_at_s: when the leader, if it did not answer, gets
        requests again
    :ivar silent_since_s: since when the leader leaves requests unanswered,
        None if it answers
    :ivar served: placement of all hosts' jobs by service, used as the leader
    :ivar local: placement of this host's jobs by service, used without an
        answering leader
    :ivar placed_by: address of the leader that placed a job, by job id; None
        for jobs that this host placed
    :ivar requesters: address of the host that waits for a decision, by job id
    :ivar decided: the latest decisions sent to other hosts, by job id
    :ivar counts: number of jobs by how they were placed, for the metrics
    :ivar refusals: number of refused jobs by reason, rank and size class, for
        the metrics
    :ivar outcomes: number of requests with a prompt by route, size class and
        outcome, for the metrics
    :ivar counted_routes: routes counted by their names
    :ivar listeners: handlers of the messages that do not concern placement,
        by message type; a handler's result is sent back as the reply
    :ivar prefill_waits: wait limits of the prefills in flight, by engine
    :ivar learned_costs: prefill costs fitted by the leader, by service; a new
        leader without them would have to learn the costs again, and would
        admit too many or too few requests for seconds
    :ivar learned_output_s: average decode time of an output token that the
        leader has learned, in seconds, by service
    :ivar learned_paces: intervals between events that the leader has learned,
        and when it told of them, by service and engine
    :ivar leading_since_s: when this host became the leader, in seconds
    :ivar received_demand: demand that the leader has sent last
    :ivar broadcast: sends a message to all other hosts
    :ivar transfer_s: estimated time from the end of a prefill to the first
        event, in seconds, which placement has to leave within the latency
        objective
    """

    def __init__(
        self,
        address: str,
        port: int,
        endpoint_catalog: catalog.Catalog,
        clock: clocks.Clock,
        rng: random.Random,
        link_mbps: float,
        pacers: endpointlimits.Pacers | None = None,
    ) -> None:
        self.address = address
        self.port = port
        self.catalog = endpoint_catalog
        self.clock = clock
        self.rng = rng
        self.request_timeout_s = request_timeout_s(link_mbps)
        self.pacers = pacers or endpointlimits.new_pacers(rng)
        self.leader: str | None = None
        self.term = position.START
        self.leading = False
        self.leading_since_s = 0.0
        self.received_demand: Demand | None = None
        self.transfer_s = medianestimator.MedianEstimator(INITIAL_TRANSFER_S)
        self.hosts = 1
        self.leader_retry_at_s = 0.0
        self.silent_since_s: float | None = None
        self.served: dict[str, _ServicePlacement] = {}
        self.local: dict[str, _ServicePlacement] = {}
        self.waiting: dict[int, _WaitingJob] = {}
        self.placed_by: dict[int, str | None] = {}
        self.requesters: dict[int, str] = {}
        self.decided: collections.OrderedDict[int, promptjobs.Decision] = (
            collections.OrderedDict()
        )
        self.counts: collections.Counter[str] = collections.Counter()
        self.refusals: collections.Counter[tuple[str, str, str]] = (
            collections.Counter()
        )
        self.outcomes: collections.Counter[tuple[str, str, str]] = (
            collections.Counter()
        )
        self.counted_routes: set[str] = set()
        self.in_flight_jobs = inflightjobs.InFlightJobs()
        self.listeners: dict[
            type, Callable[[Any], placement_codec.Message | None]
        ] = {}
        self.prefill_waits: collections.defaultdict[
            str, set[waitlimit.WaitLimit]
        ] = collections.defaultdict(set)
        self.learned_costs: dict[str, prefillcost.CostCoefficients] = {}
        self.learned_output_s: dict[str, float] = {}
        self.learned_paces: dict[
            str, dict[str, tuple[enginepace.PaceSample, float]]
        ] = {}
        self.broadcast: Callable[[placement_codec.Message], None] | None = None
        self.socket: socket.socket | None = None
        self.greenlets: list[gevent.Greenlet] = []

    # Life cycle.

    def start(self) -> None:
        """Receive datagrams from other hosts, and start the periodic tasks."""
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind((self.address, self.port))
        self.greenlets = [
            gevent.spawn(self._receive_all),
            gevent.spawn(self._run_stall_checks),
            gevent.spawn(self._run_cost_updates),
        ]

    def stop(self, deadline_s: float) -> None:
        """Stop receiving datagrams and end the periodic tasks."""
        gevent.killall(self.greenlets)
        if self.socket is not None:
            self.socket.close()

    # Calls from exchanges.

    def place(self, service: str, job: promptjobs.Job) -> promptjobs.Decision:
        """Wait until a job is placed or refused."""
        waiting = _WaitingJob(event.AsyncResult(), event.Event())
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
                    snapshot = placement_codec.CacheSnapshot(
                        service, (contents,)
                    )
                    self.send(self.leader, snapshot)
            return decision
        except BaseException:
            # The caller has left: the slot is released for other jobs.
            self._report(service, job.id, placement_codec.Event.WITHDRAWN, '')
            self.placed_by.pop(job.id, None)
            raise
        finally:
            del self.waiting[job.id]

    def refuse(self, service: str, refused: promptjobs.Refused) -> None:
        """Refuse a job of this host that waits to be placed."""
        waiting = self.waiting.get(refused.job)
        if waiting is None or waiting.decided.ready():
            return
        waiting.decided.set(refused)
        self._report(service, refused.job, placement_codec.Event.WITHDRAWN, '')

    def _is_local_fallback(self, job_id: int) -> bool:
        """Whether a job was placed here although another host leads.

        The leader may still answer other hosts, or answer again at any
        moment.  Work that is not reported to it delays the engines, so that
        it would estimate them as slow, or as stalled and fail their prefills.
        """
        return (
            not self.leading
            and self.leader is not None
            and self.placed_by.get(job_id) is None
        )

    def follow(self, leader: str, term: position.Position) -> None:
        """Follow another host as the leader, and send it this host's jobs.

        Later events of the jobs in flight are reported to it as well.

        :param leader: address of the leader
        :param term: term of the leader, which grows with each new leader,
            also if that is a later process of the same host
        """
        if (leader, term) == (self.leader, self.term) and not self.leading:
            return
        self.term = term
        self.leading = False
        self.leader = leader
        self.leader_retry_at_s = 0.0
        self.silent_since_s = None
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
        """Become the leader."""
        now_s = self.clock.now_s()
        if not self.leading:
            # The state of an earlier term of this host is out of date.
            self.served = {}
            self.pacers.granted.reset()
            self.leading_since_s = now_s
        self.leading = True
        self._hand_over(None, now_s)
        for service, cache_contents in self.in_flight_jobs.cache_contents(
            now_s
        ).items():
            self._restore_snapshot(
                placement_codec.CacheSnapshot(service, cache_contents)
            )

    def _hand_over(self, leader: str | None, now_s: float) -> None:
        """Have further events of this host's jobs reported to another leader.

        Jobs that this host placed itself are removed from its local
        placement.  They would otherwise occupy the engines there, and the
        local placement is used again when no leader answers.

        :param leader: address of the leader, None if this host leads
        """
        for job_id in self.in_flight_jobs.in_flight:
            if self.placed_by.get(job_id) is None:
                for pool in self.local.values():
                    self._publish(
                        pool, pool.placement.release_job(job_id, now_s)
                    )
            self.placed_by[job_id] = leader

    def _run_stall_checks(self) -> None:
        """Check for stalled engines, and notify all hosts of them.

        Only the leader checks.  A host that places only its own jobs sees no
        other prompts, and a former leader gets no more prefill reports.  To
        both an engine that prefills for other hosts looks stalled, and its
        prefills would be aborted one after the other.
        """
        while True:
            self.clock.sleep(STALL_CHECK_INTERVAL_S)
            if not self.leading:
                continue
            now_s = self.clock.now_s()
            for pool in list(self.served.values()):
                for engine in pool.placement.find_stalled(now_s):
                    self._abort_prefill_waits(engine)
                    if self.broadcast is not None:
                        self.broadcast(placement_codec.EngineStalled(engine))

    def _run_cost_updates(self) -> None:
        """Send the fitted prefill costs to the other hosts as the leader."""
        while True:
            self.clock.sleep(COST_SEND_INTERVAL_S)
            if not self.leading:
                continue
            demand = self.demand()
            requests_s = None if demand is None else demand.requests_s
            for service, pool in list(self.served.items()):
                costs = pool.placement.pool.learned_costs()
                if costs is None:
                    continue
                self.learned_costs[service] = costs
                output_s = pool.placement.answers.output_s
                self.learned_output_s[service] = output_s
                if self.broadcast is not None:
                    self.broadcast(
                        placement_codec.CostUpdate(
                            service, costs, output_s, requests_s
                        )
                    )

    def demand(self) -> Demand | None:
        """Return the demand as measured here or received; None if unknown.

        A new leader goes by what the former one has sent until its own
        average has settled.
        """
        now_s = self.clock.now_s()
        if self.leading and now_s - self.leading_since_s >= DEMAND_WARM_UP_S:
            return Demand(
                sum(
                    pool.placement.request_demand.now(now_s)
                    for pool in self.served.values()
                ),
                now_s,
            )
        received = self.received_demand
        if received is None or now_s - received.measured_s > DEMAND_TTL_S:
            return None
        return received

    def _abort_prefill_waits(self, engine: str) -> None:
        """Abort this host's waits for prefills of a stalled engine."""
        waits = self.prefill_waits.get(engine, ())
        LOG.event('engine_silent', endpoint=engine, waits=len(waits))
        for limit in waits:
            limit.abort('the engine reads nothing')

    def _restore_snapshot(
        self, snapshot: placement_codec.CacheSnapshot
    ) -> None:
        if not self.is_model_service(snapshot.service):
            return
        service_placement = self._pool(self.served, snapshot.service).placement
        now_s = self.clock.now_s()
        for (
            engine,
            parts,
            job,
            prefill_tokens,
            answers,
        ) in snapshot.cache_contents:
            service_placement.restore_cache(engine, parts)
            if job is not None:
                service_placement.adopt(
                    job, engine, prefill_tokens, answers, now_s
                )

    def _place(
        self, service: str, job: promptjobs.Job, waiting: _WaitingJob
    ) -> promptjobs.Decision:
        if self.leading:
            self.counts['own'] += 1
            return self._place_at(self.served, service, job, waiting)
        leader = self.answering_leader()
        if leader is not None:
            self.placed_by[job.id] = leader
            decision = self._place_remotely(leader, service, job, waiting)
            if decision is not None:
                self.counts['remote'] += 1
                return decision
        self.counts['alone'] += 1
        return self._place_at(self.local, service, job, waiting)

    def _place_at(
        self,
        pools: dict[str, _ServicePlacement],
        service: str,
        job: promptjobs.Job,
        waiting: _WaitingJob,
    ) -> promptjobs.Decision:
        self.placed_by[job.id] = None
        if not self.is_model_service(service):
            # The configuration has changed since the request was read.
            return promptjobs.Refused(
                job.id, refusals.NO_ENGINE_S, refusals.NO_ENGINE_REASON
            )
        pool = self._pool(pools, service)
        now_s = self.clock.now_s()
        self._publish(pool, pool.placement.submit(job, now_s))
        return waiting.decided.get()

    def _place_remotely(
        self,
        leader: str,
        service: str,
        job: promptjobs.Job,
        waiting: _WaitingJob,
    ) -> promptjobs.Decision | None:
        """Request a decision from the leader; None if it does not answer."""
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
            self.record_answer()
            with gevent.Timeout(RESEND_INTERVAL_S, False):
                return waiting.decided.get()
        self.record_silence(leader)
        return None

    def answering_leader(self) -> str | None:
        """Return the leader's address; None if there is none that answers."""
        if self.clock.now_s() < self.leader_retry_at_s:
            return None
        return self.leader

    def record_answer(self) -> None:
        """Record that the leader answered."""
        self.silent_since_s = None

    def record_silence(self, leader: str) -> None:
        """Record that the leader left requests unanswered."""
        now_s = self.clock.now_s()
        self.leader_retry_at_s = now_s + LEADER_COOLDOWN_S
        if self.silent_since_s is None:
            self.silent_since_s = now_s
            self.pacers.record_silence(now_s)
            for service, pool in self.local.items():
                pool.placement.record_paces(self._recent_paces(service), now_s)
        self.counts['silent'] += 1
        LOG.throttled_warning('placing_host_silent', leader, leader=leader)

    def _with_relative_times(self, job: promptjobs.Job) -> promptjobs.Job:
        """Return a copy of a job with times relative to the current time."""
        now_s = self.clock.now_s()
        return promptjobs.Job(
            job.id,
            job.parts,
            job.output_tokens,
            job.objective_s - now_s,
            job.deadline_s - now_s,
            job.failure_domain,
            job.is_retry,
            job.resumed,
            job.avoid,
            job.version,
            pause_s=job.pause_s,
            backed_up=job.backed_up,
            priority=job.priority,
            workspace=job.workspace,
        )

    def decided_by(self, job_id: int) -> str:
        """Return who decided on a job, for the log.

        :returns: the leader's address, ``self`` if this host leads, ``alone``
            if it placed the job without a leader
        """
        leader = self.placed_by.get(job_id)
        if leader is not None:
            return leader
        return 'self' if self.leading else 'alone'

    def record_prefill_done(
        self, service: str, job_id: int, endpoint: str
    ) -> None:
        """Record that an engine has prefilled a job's prompt."""
        self.in_flight_jobs.record_prefill_done(job_id)
        self._report(service, job_id, placement_codec.Event.READ, endpoint)

    def record_failure(self, service: str, job_id: int, endpoint: str) -> None:
        """Record that an engine failed a job."""
        self.in_flight_jobs.record_prefill_done(job_id)
        self._report(service, job_id, placement_codec.Event.FAILED, endpoint)

    def record_continuation(
        self, service: str, job: promptjobs.Job, endpoint: str
    ) -> None:
        """Record that a job's answer goes on at another engine.

        The slot at the engine that failed has to be released before.
        """
        contents = self.in_flight_jobs.record_continuation(job, endpoint)
        snapshot = placement_codec.CacheSnapshot(service, (contents,))
        leader = self.placed_by.get(job.id)
        if self.leading:
            self._restore_snapshot(snapshot)
        elif leader is not None:
            self.send(leader, snapshot)

    @contextlib.contextmanager
    def track_prefill(
        self, endpoint: str, limit: waitlimit.WaitLimit
    ) -> Iterator[None]:
        """Abort a wait for an engine's prefill if the engine is stalled.

        :param limit: the wait; it is tracked inside the ``with`` block
        """
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
        """Record that a decode engine rejected a prefilled request."""
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
        """Record the KV transfer of a job that has its first event.

        One in :data:`TRANSFER_SAMPLE_INTERVAL` is reported: that shows engines
        with slow transfers within a second or two, at a tenth of the
        messages.

        :param took_s: time from the end of the prefill to the first event, in
            seconds
        """
        self.transfer_s.add(took_s)
        if job_id % TRANSFER_SAMPLE_INTERVAL == 0:
            moved = placement_codec.Event.MOVED
            self._report(service, job_id, moved, endpoint, took_s)

    def record_refusal(
        self, job: promptjobs.Job, refused: promptjobs.Refused
    ) -> None:
        """Record that a job was refused, so that none of it is left."""
        self.placed_by.pop(job.id, None)
        reason = refused.reason
        if reason not in placement.REASONS:
            reason = 'other'
        rank = 'urgent' if job.priority == 0 else 'other'
        self.refusals[reason, rank, _size_label(job.tokens)] += 1

    def record_outcome(self, route: str, tokens: int, outcome: str) -> None:
        """Count the outcome of a request with a prompt.

        :param route: name of its route
        :param tokens: size of its prompt
        """
        if route not in self.counted_routes:
            if len(self.counted_routes) >= MAX_COUNTED_ROUTES:
                route = OTHER_ROUTES
            self.counted_routes.add(route)
        self.outcomes[route, _size_label(tokens), outcome] += 1

    def record_end(self, service: str, job_id: int, must_report: bool) -> None:
        """Record that a job holds no decode slot any longer.

        :param must_report: whether the end is to be reported to whoever
            placed the job
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

    # Calls from other hosts, and the placement itself.

    def _pool(
        self, pools: dict[str, _ServicePlacement], service: str
    ) -> _ServicePlacement:
        pool = pools.get(service)
        if pool is None:
            traits = self.catalog.configuration.services[service].engine
            pacers = self.pacers
            pacer = pacers.granted if pools is self.served else pacers.alone
            service_placement = placement.Placement(
                traits, self.rng, pacer=pacer
            )
            if service in self.learned_costs:
                service_placement.pool.restore_costs(
                    self.learned_costs[service]
                )
            if service in self.learned_output_s:
                answers = service_placement.answers
                answers.output_s = self.learned_output_s[service]
            pool = pools[service] = _ServicePlacement(service_placement)
        pool.placement.placing_hosts = (
            1 if pools is self.served else self.hosts
        )
        if pool.generation != self.catalog.generation:
            pool.generation = self.catalog.generation
            engines = self.catalog.usable(service)
            is_new = not pool.placement.pool.engines
            if pools is self.local:
                # Of equal engines the first one is chosen: without a leader
                # all hosts would send their jobs to the same one.
                self.rng.shuffle(engines)
            pool.placement.set_engines(engines)
            if is_new:
                pool.placement.record_paces(
                    self._recent_paces(service), self.clock.now_s()
                )
        return pool

    def record_paces(
        self, service: str, samples: Iterable[enginepace.PaceSample]
    ) -> None:
        """Record intervals between events, here or reported by a host."""
        now_s = self.clock.now_s()
        for pools in (self.served, self.local):
            if service in pools:
                pool = self._pool(pools, service)
                pool.placement.record_paces(samples, now_s)

    def restore_paces(
        self, service: str, samples: Iterable[enginepace.PaceSample]
    ) -> None:
        """Keep what the leader has learned of engines."""
        if not self.is_model_service(service):
            return
        now_s = self.clock.now_s()
        learned = self.learned_paces.setdefault(service, {})
        for sample in samples:
            learned[sample.engine] = (sample, now_s)
        for engine in [
            engine
            for engine, (_, at_s) in learned.items()
            if now_s - at_s > PACE_RETENTION_S
        ]:
            del learned[engine]

    def _recent_paces(self, service: str) -> list[enginepace.PaceSample]:
        since_s = self.clock.now_s() - PACE_RETENTION_S
        return [
            sample
            for sample, at_s in self.learned_paces.get(service, {}).values()
            if at_s >= since_s
        ]

    def _receive_all(self) -> None:
        while True:
            data, sender = self.socket.recvfrom(MAX_DATAGRAM_BYTES)
            try:
                message = placement_codec.decode(data)
            except errors.ProtocolError as error:
                LOG.throttled_warning(
                    'datagram_ignored', sender[0], reason=str(error)
                )
                continue
            try:
                self._receive(message, sender[0])
            except UNFIT as error:
                LOG.throttled_warning(
                    'message_not_handled',
                    sender[0],
                    kind=type(message).__name__,
                    reason=f'{type(error).__name__}: {error}',
                )

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
            case placement_codec.CostUpdate():
                self._handle_cost_update(message)
                self._record_demand(message.requests_s, sender)
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
                self._call_listener(message, sender)

    def _call_listener(
        self, message: placement_codec.Message, sender: str
    ) -> None:
        listener = self.listeners.get(type(message))
        reply = listener(message) if listener is not None else None
        if reply is not None:
            self.send(sender, reply)

    def _handle_cost_update(self, update: placement_codec.CostUpdate) -> None:
        if self.leading:
            return
        service, costs, output_s, _ = update
        self.learned_costs[service] = costs
        if service in self.local:
            self.local[service].placement.pool.restore_costs(costs)
        if output_s is None:
            return
        self.learned_output_s[service] = output_s
        if service in self.local:
            self.local[service].placement.answers.output_s = output_s

    def _record_demand(self, requests_s: float | None, sender: str) -> None:
        if self.leading or requests_s is None:
            return
        if requests_s < 0:
            LOG.throttled_warning(
                'demand_ignored',
                sender,
                requests_s=requests_s,
                reason='expected 0 or more requests per second',
            )
            return
        self.received_demand = Demand(requests_s, self.clock.now_s())

    def _handle_request(
        self, service: str, job: promptjobs.Job, sender: str
    ) -> None:
        if not self.leading or not self.is_model_service(service):
            # Without an answer the requesting host places the job itself.
            return
        decided = self.decided.get(job.id)
        if decided is not None:
            self.send(sender, placement_codec.PlacementDecision(decided))
            return
        pool = self._pool(self.served, service)
        waits = placement_codec.PlacementQueued(job.id)
        if pool.placement.is_waiting(job.id):
            self.send(sender, waits)
            return
        now_s = self.clock.now_s()
        job.objective_s += now_s
        job.deadline_s += now_s
        self.requesters[job.id] = sender
        self._publish(pool, pool.placement.submit(job, now_s))
        if job.id not in self.decided:
            self.send(sender, waits)

    def is_model_service(self, service: str) -> bool:
        """Return whether a service has engines by the configuration."""
        configuration = self.catalog.configuration
        if configuration is None:
            return False
        known = configuration.services.get(service)
        return known is not None and known.engine is not None

    def _apply_report(
        self, pool: _ServicePlacement, report: placement_codec.Report
    ) -> None:
        now_s = self.clock.now_s()
        service_placement = pool.placement
        match report.event:
            case placement_codec.Event.READ:
                decisions = service_placement.record_prefill_done(
                    report.job, report.endpoint, now_s
                )
            case placement_codec.Event.ENDED:
                decisions = service_placement.record_end(report.job, now_s)
            case placement_codec.Event.FAILED:
                decisions = service_placement.record_failure(
                    report.job, report.endpoint, now_s
                )
            case placement_codec.Event.LAPSED:
                decisions = service_placement.record_rejection(
                    report.job, report.endpoint, report.decode_engine, now_s
                )
            case placement_codec.Event.MOVED:
                decisions = service_placement.record_kv_transfer(
                    report.endpoint, report.took_s, now_s
                )
            case placement_codec.Event.WITHDRAWN:
                decisions = service_placement.withdraw(report.job, now_s)
        self._publish(pool, decisions)

    def _publish(
        self, pool: _ServicePlacement, decisions: list[promptjobs.Decision]
    ) -> None:
        for decision in decisions:
            if isinstance(decision, promptjobs.Refused):
                _log_refusal(decision)
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
        self._start_timer(pool)

    def _start_timer(self, pool: _ServicePlacement) -> None:
        """Start a timer for when an engine is expected to be available."""
        if pool.timer is not None:
            return
        now_s = self.clock.now_s()
        wake_s = pool.placement.wake_s(now_s)
        if wake_s is None:
            return
        timer = gevent.get_hub().loop.timer(wake_s - now_s)
        pool.timer = timer

        def on_timer() -> None:
            pool.timer = None
            timer.close()
            self._publish(
                pool, pool.placement.place_queued(self.clock.now_s())
            )

        timer.start(on_timer)

    def send(self, address: str, message: placement_codec.Message) -> None:
        """Send a datagram without blocking.

        It is also called from the event loop, where nothing may block.
        """
        data = placement_codec.encode(message)
        try:
            self.socket._sock.sendto(data, (address, self.port))
        except OSError as error:
            LOG.throttled_warning('send_failed', address, error=str(error))


def _size_label(tokens: int) -> str:
    """Return the metrics label of a prompt's size class."""
    size_class = sizeclasses.size_class(tokens)
    return str(sizeclasses.largest_tokens(size_class))


def _log_refusal(refused: promptjobs.Refused) -> None:
    """Log the times that decided a refusal of this host."""
    if refused.times is None:
        return
    wait_s, need_s, left_s = refused.times
    LOG.event(
        'prompt_refused',
        job=refused.job,
        reason=refused.reason,
        wait_ms=round(wait_s * 1000),
        need_ms=round(need_s * 1000),
        left_ms=round(left_s * 1000),
        retry_after_ms=round(refused.retry_after_s * 1000),
    )


def request_timeout_s(link_mbps: float) -> float:
    """Return the timeout of a placement request, in seconds."""
    return REQUEST_TIMEOUT_S + QUEUED_BODY_BYTES * 8 / (link_mbps * 1e6)
