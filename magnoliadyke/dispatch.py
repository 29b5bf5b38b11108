"""The task that owns the scheduler and passes it the endpoints' reports."""

import collections
import typing

import gevent

from magnoliadyke.core import burn
from magnoliadyke.core import jobs
from magnoliadyke.core import membership
from magnoliadyke.core import migrationtarget
from magnoliadyke.core import notices
from magnoliadyke.core import outcomes
from magnoliadyke.core import scheduler
from magnoliadyke.core import snapshot
from magnoliadyke.core import table
from magnoliadyke import endpoint as endpoints
from magnoliadyke import errors
from magnoliadyke import mailbox

__all__ = [
    'CancelJob',
    'CrashReported',
    'Demands',
    'Dispatcher',
    'FirstToken',
    'JobFailed',
    'JobFinished',
    'RequestMigrationTarget',
    'PeerDigest',
    'PeerPromptsPlaced',
    'PrefillDone',
    'Progress',
    'PromptsPlaced',
    'SubmitJob',
    'TakeSnapshot',
    'build_endpoints',
]

LOAD_INTERVAL_S = 0.5
HEALTH_INTERVAL_S = 1.0
PUBLISH_INTERVAL_S = 1.0
CACHE_WAIT_S = 10.0
CACHE_RETRY_INTERVAL_S = 1.0
MAX_CHANGES_KEPT = 20
#: Predicted prefill time from which a prompt is announced to other nodes, in
#: seconds; an announcement of a shorter one would cost more than it saves.
MIN_ANNOUNCED_PREFILL_S = 0.03
#: Consecutive polls without a response after which an endpoint counts as
#: crashed; a single response may be lost in the network.
FAILURES_UNTIL_CRASHED = 2


NOT_PLACED = outcomes.NotRun(
    'internal_error', 'ask another host and report the error in the log'
)
OUTCOME_UNKNOWN = outcomes.Unknown(
    'internal_error', 'look up the effect before asking again'
)


class SubmitJob(mailbox.Ask):
    """Request to place a job; the reply is ``Dispatch`` or ``Refuse``.

    :param job: the :class:`magnoliadyke.core.jobs.Job` to place
    """

    def __init__(self, job):
        super().__init__()
        self.job_id = job.id
        self.job = job


class JobFailed(mailbox.Ask):
    """Reports a failed attempt; the reply is ``Dispatch`` or ``Refuse``.

    ``Dispatch`` means one more attempt, on the endpoint that it names.

    :param failed: :class:`magnoliadyke.core.jobs.Failed`
    """

    def __init__(self, job_id, failed):
        super().__init__()
        self.job_id = job_id
        self.failed = failed


class RequestMigrationTarget(mailbox.Ask):
    """Request for another engine for a running stream; the reply is its name.

    The reply is ``''`` when no other engine accepts requests.
    """

    def __init__(self, job_id):
        super().__init__()
        self.job_id = job_id


class JobFinished(typing.NamedTuple):
    """Reports the end of a job.

    :param result: :class:`magnoliadyke.core.jobs.Finished`, or ``Failed``
        when the job gets no further attempt
    """

    job_id: str
    result: object


class CancelJob(typing.NamedTuple):
    """Request to drop a job that is queued or running."""

    job_id: str


class PrefillDone(typing.NamedTuple):
    """Reports that the prefill engine has computed the KV cache.

    :param at_s: when, in monotonic seconds
    """

    job_id: str
    at_s: float


class FirstToken(typing.NamedTuple):
    """Reports that the first output token of a job was received.

    :param at_s: when, in monotonic seconds
    """

    job_id: str
    at_s: float


class Progress(typing.NamedTuple):
    """Reports how many output tokens running jobs have produced.

    :param tokens: pairs of job id and number of output tokens so far
    """

    tokens: tuple[tuple[str, int], ...]


class TakeSnapshot(mailbox.Ask):
    """Request for a :class:`magnoliadyke.core.snapshot.Snapshot`."""


class CrashReported(typing.NamedTuple):
    """Announces that an endpoint crashed while it ran a job.

    Published on the topic ``digest`` between the periodic digests, so that
    peers learn of the suspect request at once.

    :param digest: :class:`magnoliadyke.core.scheduler.Digest` that includes
        the crash
    """

    digest: object


class PromptsPlaced(typing.NamedTuple):
    """Announces prompts that this node has just assigned to engines.

    :param prompts: :class:`magnoliadyke.core.notices.PromptNotice` each
    """

    prompts: tuple


class Demands(typing.NamedTuple):
    """Announces the demand of each pool; published each second.

    :param pools: pool name to ``core.scheduler.Demand``
    """

    pools: dict


class PeerPromptsPlaced(typing.NamedTuple):
    """Passes on prompts that another node has assigned to engines.

    :param prompts: :class:`magnoliadyke.core.notices.PromptNotice` each
    """

    prompts: tuple


class PeerDigest(typing.NamedTuple):
    """Passes on the scheduler digest of another node, received by gossip.

    :param host: host name of that node
    :param digest: :class:`magnoliadyke.core.scheduler.Digest`
    """

    host: str
    digest: object


class LoadReported(typing.NamedTuple):
    """Passes on the load report of an engine."""

    endpoint: str
    report: jobs.LoadReport


class EndpointStateChanged(typing.NamedTuple):
    """Reports a new state of an endpoint, polled or announced by a planner.

    :param state: ``up``, ``leaving``, ``left``, ``crashed`` or ``changing``
        (its role)
    """

    endpoint: str
    state: str


class CacheEventsReceived(typing.NamedTuple):
    """Passes on events of an engine's prefix cache.

    :param gap: whether events before these were lost
    """

    endpoint: str
    events: tuple
    gap: bool


def endpoint_infos(settings):
    """Return the :class:`jobs.EndpointInfo` of each configured endpoint."""
    return [
        jobs.EndpointInfo(
            each.name,
            pool.name,
            pool.kind,
            each.address,
            each.failure_domain,
            each.checks_fencing,
            each.role or 'decode',
        )
        for pool in settings.pools
        for each in pool.endpoints
    ]


def build_endpoints(infos, clock):
    """Return the HTTP clients of the endpoints, by endpoint name."""
    kinds = {
        'model': endpoints.HttpModelEndpoint,
        'service': endpoints.HttpServiceEndpoint,
    }
    return {info.name: kinds[info.kind](info, clock) for info in infos}


class Dispatcher(mailbox.Task):
    """Owns the scheduler, polls endpoints and places jobs on them.

    Runs send it :class:`SubmitJob` and :class:`JobFailed`; the node
    posts it the :class:`PeerDigest` and :class:`PeerPromptsPlaced` messages
    of its peers. It publishes two topics each second: ``digest`` (the node's
    own scheduler digest, for gossip) and ``demand`` (:class:`Demands`, for
    planning). The topic ``prompts`` (:class:`PromptsPlaced`) is published
    whenever this node assigns prompts to engines.

    :param settings: :class:`magnoliadyke.settings.Settings`
    :param clock: a :class:`magnoliadyke.clock.Clock`
    :param rng: source of randomness (``random.Random``)
    :param table: Topic of :class:`magnoliadyke.core.table.View`
    :param members: Topic of :class:`magnoliadyke.core.membership.MembersView`
    :param host: this node's host name
    :ivar endpoints: clients of the endpoints by name; runs call them
    :ivar pending: message of each run that waits for a decision, by job id
    :ivar changing: monotonic seconds at which the role change of an engine
        began, by engine name
    :ivar changes: start and end of past role changes, by pool name
    """

    tick_interval_s = 0.05

    def __init__(self, settings, clock, rng, table, members, host):
        super().__init__('dispatcher', clock)
        self.settings = settings
        self.rng = rng
        self.table = table
        self.members = members
        self.host = host
        self.digest = mailbox.Topic()
        self.prompts = mailbox.Topic()
        self.demand = mailbox.Topic()
        infos = endpoint_infos(settings)
        self.endpoints = build_endpoints(infos, clock)
        self.scheduler = scheduler.Scheduler(
            infos,
            rng,
            self_failure_domain=settings.host(host).failure_domain,
        )
        self.pending = {}
        self.changing = {}
        self.changes = collections.defaultdict(
            lambda: collections.deque(maxlen=MAX_CHANGES_KEPT)
        )
        self.pollers = []
        self.published_s = 0.0

    def on_start(self):
        """Subscribe to table and members, and start the polling loops."""
        self.table.subscribe(self)
        self.members.subscribe(self)
        for endpoint in self.used_endpoints():
            for loop in self.polling_loops(endpoint):
                self.pollers.append(gevent.spawn(loop, endpoint))

    def used_endpoints(self):
        """Return the endpoints on which this node may place jobs.

        In a large pool that is a subset. The others are not polled: to read
        the reports of all endpoints would cost a node more than to serve
        its requests.
        """
        return [
            self.endpoints[name]
            for pool in self.settings.pools
            for name in self.scheduler.subset_names(pool.name)
        ]

    def polling_loops(self, endpoint):
        """Return the methods that poll an endpoint of this kind forever."""
        if endpoint.info.kind == 'model':
            return (self.poll_load, self.poll_cache)
        return (self.poll_health,)

    def on_stop(self):
        """Stop the polling loops and close idle connections."""
        gevent.killall(self.pollers)
        for endpoint in self.endpoints.values():
            endpoint.close()

    def handle(self, message):
        """Pass one message to the scheduler and carry out its actions."""
        now_s = self.clock.now_s()
        try:
            actions = self.decide(message, now_s)
            if reports_crash(message):
                # Published before any run gets its reply: a caller that
                # resends the request at once must not reach a node that
                # does not yet hold it as a suspect.
                self.digest.publish(
                    CrashReported(self.scheduler.digest(now_s))
                )
            self.apply(actions)
        except Exception:
            self.reply_failed(message)
            raise

    def reply_failed(self, message):
        """Reply to a run whose message made the scheduler raise.

        Without a reply the run would wait forever, and its caller, who gets
        keep-alive comments, would not notice.
        """
        match message:
            case SubmitJob(job_id=job_id):
                outcome = NOT_PLACED
            case JobFailed(job_id=job_id, failed=failed):
                outcome = NOT_PLACED if not failed.ran else OUTCOME_UNKNOWN
            case _:
                return
        self.pending.pop(job_id, None)
        message.reply(scheduler.Refuse(job_id, outcome))

    def decide(self, message, now_s):
        """Pass one message to the scheduler; return its actions."""
        core = self.scheduler
        match message:
            case SubmitJob(job=job):
                self.pending[job.id] = message
                return core.submit(job, now_s)
            case JobFailed(job_id=job_id, failed=failed):
                self.pending[job_id] = message
                return core.record_result(job_id, failed, now_s)
            case RequestMigrationTarget():
                return self.move_stream(message, now_s)
            case JobFinished(job_id, result):
                return core.record_result(job_id, result, now_s)
            case TakeSnapshot():
                message.reply(snapshot.take(core, now_s))
                return []
            case CancelJob(job_id):
                self.pending.pop(job_id, None)
                return core.cancel(job_id, now_s)
            case PrefillDone(job_id, at_s):
                return core.record_prefill_done(job_id, at_s)
            case FirstToken(job_id, at_s):
                return core.record_first_token(job_id, at_s)
            case Progress(tokens):
                return self.progress(tokens, now_s)
            case _:
                return self.apply_fleet_update(message, now_s)

    def move_stream(self, message, now_s):
        """Reply with a target engine for a stream; record the migration."""
        core = self.scheduler
        name = migrationtarget.choose_target(
            core.runs, core.pools, message.job_id, now_s
        )
        message.reply(name)
        return core.record_migration(message.job_id, name, now_s)

    def apply_fleet_update(self, message, now_s):
        """Pass an update of the fleet's state on; return the actions."""
        core = self.scheduler
        match message:
            case LoadReported(endpoint, report):
                return core.handle_load_report(endpoint, report, now_s)
            case EndpointStateChanged(endpoint, state):
                self.record_role_change(endpoint, state, now_s)
                return core.set_endpoint_state(endpoint, state, now_s)
            case CacheEventsReceived(endpoint, events, gap):
                return core.handle_cache_events(endpoint, events, gap, now_s)
            case PeerDigest(host, digest):
                return core.merge_peer_digest(host, digest, now_s)
            case PeerPromptsPlaced(prompts):
                for notice in prompts:
                    core.record_peer_prompt(
                        notice.engine, notice.read_s, now_s
                    )
                return []
            case table.View():
                return core.set_table(message, now_s)
            case membership.MembersView(members=members):
                return core.set_node_count(count_alive(members), now_s)

    def record_role_change(self, name, state, now_s):
        """Record when an engine's role change began or ended.

        :param name: name of the endpoint
        :param state: its new state; ``changing`` starts a role change, any
            other ends it
        """
        pool = self.endpoints[name].info.pool
        began_s = self.changing.pop(name, None)
        if state == 'changing':
            self.changing[name] = now_s if began_s is None else began_s
        elif began_s is not None:
            self.changes[pool].append((began_s, now_s))

    def changing_s(self, pool, since_s, until_s):
        """Return how long some engine of a pool was changing its role.

        :param since_s: start of the interval, in monotonic seconds
        :param until_s: end of the interval, in monotonic seconds
        :return: seconds of the interval that role changes cover
        """
        open_intervals = [
            (began_s, until_s)
            for name, began_s in self.changing.items()
            if self.endpoints[name].info.pool == pool
        ]
        intervals = [*self.changes[pool], *open_intervals]
        return burn.covered_s(intervals, since_s, until_s)

    def progress(self, tokens, now_s):
        """Pass the output token counts of several jobs to the scheduler.

        :param tokens: pairs of job id and number of output tokens so far
        :return: the scheduler's actions
        """
        actions = []
        for job_id, count in tokens:
            actions += self.scheduler.record_progress(job_id, count, now_s)
        return actions

    def tick(self):
        """Run the scheduler's timers; publish each ``PUBLISH_INTERVAL_S``."""
        now_s = self.clock.now_s()
        self.apply(self.scheduler.tick(now_s))
        if now_s - self.published_s >= PUBLISH_INTERVAL_S:
            self.published_s = now_s
            self.publish(now_s)

    def publish(self, now_s):
        """Publish this node's gossip digest and the demand of each pool.

        The digest summarizes the demand, the usage and the suspect requests.
        """
        self.digest.publish(self.scheduler.digest(now_s))
        demands = {
            pool.name: self.scheduler.demand(pool.name, now_s)
            for pool in self.settings.pools
        }
        self.demand.publish(Demands(demands))

    def publish_prompts(self, actions):
        """Announce the prompts that were assigned to engines.

        The announcement names the engine that prefills a prompt and the
        predicted prefill time.
        """
        announced = tuple(
            notices.PromptNotice(
                action.prefill_endpoint or action.endpoint, action.prompt_s
            )
            for action in actions or ()
            if isinstance(action, scheduler.Dispatch)
            and action.prompt_s >= MIN_ANNOUNCED_PREFILL_S
        )
        if announced:
            self.prompts.publish(PromptsPlaced(announced))

    def apply(self, actions):
        """Reply to the runs that wait for these actions."""
        self.publish_prompts(actions)
        for action in actions or ():
            waiting = self.pending.pop(action.job_id, None)
            if waiting is not None:
                waiting.reply(action)
            elif isinstance(action, scheduler.Dispatch):
                # The run was cancelled before the decision; without this
                # its slot would never be released.
                self.post(CancelJob(action.job_id))

    def poll_load(self, endpoint):
        """Poll the load reports of an engine until killed."""
        health = HealthTracker(self, endpoint.name)
        self.clock.sleep(self.rng.random() * LOAD_INTERVAL_S)
        while True:
            try:
                document = endpoint.load()
                self.post(
                    LoadReported(endpoint.name, self.read_load(document))
                )
                health.record_response(document.get('state', 'in'))
            except (errors.EndpointUnreachable, TypeError, ValueError):
                health.record_no_response()
            self.clock.sleep(LOAD_INTERVAL_S * (0.75 + self.rng.random() / 2))

    def read_load(self, document):
        """Return a load report with its time by this node's own clock.

        :param document: the engine's report as a dict; unknown fields are
            ignored
        :raises TypeError: when a required field is missing
        :raises ValueError: when the report's age is not a number
        """
        fields = jobs.LoadReport._fields
        report_fields = {
            name: document[name] for name in fields if name in document
        }
        report_fields['at_s'] = self.clock.now_s() - float(
            document.get('age_s', 0)
        )
        return jobs.LoadReport(**report_fields)

    def poll_cache(self, endpoint):
        """Read the prefix cache events of an engine until killed."""
        after = 0
        while True:
            try:
                document = endpoint.cache_events(after, CACHE_WAIT_S)
                events = tuple(document['events'])
                # A restarted engine numbers its events from the start.
                gap = bool(document.get('gap')) or document['next'] < after
                after = document['next']
                if events or gap:
                    self.post(CacheEventsReceived(endpoint.name, events, gap))
            except (errors.EndpointUnreachable, KeyError, TypeError):
                self.clock.sleep(CACHE_RETRY_INTERVAL_S)

    def poll_health(self, endpoint):
        """Poll the health of a plain service until killed."""
        health = HealthTracker(self, endpoint.name)
        while True:
            state = endpoint.poll_state()
            if state == 'crashed':
                health.record_no_response()
            else:
                health.record_response(state)
            interval_s = HEALTH_INTERVAL_S * (0.75 + self.rng.random() / 2)
            self.clock.sleep(interval_s)


class HealthTracker:
    """Posts :class:`EndpointStateChanged` when polls show another state.

    :param dispatcher: the :class:`Dispatcher` to post to
    :param name: name of the polled endpoint
    """

    STATES = {'in': 'up'}

    def __init__(self, dispatcher, name):
        self.dispatcher = dispatcher
        self.name = name
        self.state = 'up'
        self.failures = 0

    def record_response(self, state):
        """Record a poll that the endpoint answered.

        :param state: the state that it reported
        """
        self.failures = 0
        self.set_state(self.STATES.get(state, state))

    def record_no_response(self):
        """Record a poll without a response."""
        self.failures += 1
        if self.failures >= FAILURES_UNTIL_CRASHED:
            self.set_state('crashed')

    def set_state(self, state):
        """Set the state, and post it to the dispatcher if it differs."""
        if state != self.state:
            self.state = state
            self.dispatcher.post(EndpointStateChanged(self.name, state))


def reports_crash(message):
    """Return whether a message reports a crash while a job was running."""
    match message:
        case JobFailed(failed=failed):
            return failed.crashed
        case JobFinished(result=jobs.Failed(crashed=crashed)):
            return crashed
        case _:
            return False


def count_alive(members):
    """Return the number of members that are alive, at least 1."""
    alive = sum(member.state == 'alive' for member in members.values())
    return max(1, alive)
