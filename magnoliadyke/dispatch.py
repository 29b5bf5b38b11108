"""The task that owns the scheduler and feeds it what endpoints report."""

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
    'CrashSeen',
    'Demands',
    'Dispatcher',
    'FirstToken',
    'JobFailed',
    'JobFinished',
    'MoveStream',
    'PeerDigest',
    'PrefillDone',
    'PromptsHeard',
    'PromptsPlaced',
    'Progress',
    'SubmitJob',
    'TakeSnapshot',
    'build_endpoints',
]

LOAD_INTERVAL_S = 0.5
HEALTH_INTERVAL_S = 1.0
PUBLISH_INTERVAL_S = 1.0
CACHE_WAIT_S = 10.0
RETRY_S = 1.0
CHANGES_KEPT = 20
#: A prompt that is read in less is no news to other nodes, in seconds.
LEAST_TOLD_S = 0.03
#: One lost answer is no proof; a second one in a row is.
FAILURES_UNTIL_CRASHED = 2


NOT_PLACED = outcomes.NotRun(
    'internal_error', 'ask another host and report the error in the log'
)
NOT_KNOWN = outcomes.Unknown(
    'internal_error', 'look up the effect before asking again'
)


class SubmitJob(mailbox.Ask):
    """Place a job; answered with a ``Dispatch`` or a ``Refuse``.

    :param job: the :class:`magnoliadyke.core.jobs.Job` to place
    """

    def __init__(self, job):
        super().__init__()
        self.job_id = job.id
        self.job = job


class JobFailed(mailbox.Ask):
    """An attempt failed; answered with the next ``Dispatch`` or ``Refuse``.

    :param failed: :class:`magnoliadyke.core.jobs.Failed`
    """

    def __init__(self, job_id, failed):
        super().__init__()
        self.job_id = job_id
        self.failed = failed


class MoveStream(mailbox.Ask):
    """Find another engine for a running answer; answered with its name.

    The answer is ``''`` when no other engine takes work.
    """

    def __init__(self, job_id):
        super().__init__()
        self.job_id = job_id


class JobFinished(typing.NamedTuple):
    """A job is over.

    :param result: :class:`magnoliadyke.core.jobs.Finished`, or ``Failed``
        of a job that gets no further attempt
    """

    job_id: str
    result: object


class CancelJob(typing.NamedTuple):
    """Forget a job that still waits or runs."""

    job_id: str


class PrefillDone(typing.NamedTuple):
    """The prefill endpoint has run the prompt."""

    job_id: str
    at_s: float


class FirstToken(typing.NamedTuple):
    """The first output token came."""

    job_id: str
    at_s: float


class Progress(typing.NamedTuple):
    """How far jobs are: pairs of job id and output tokens so far."""

    tokens: tuple[tuple[str, int], ...]


class TakeSnapshot(mailbox.Ask):
    """Ask for :class:`magnoliadyke.core.snapshot.Snapshot`, to show it."""


class CrashSeen(typing.NamedTuple):
    """An endpoint died under a job; peers should hear of it at once.

    Published on the topic ``digest`` between the periodic digests.
    """

    digest: object


class PromptsPlaced(typing.NamedTuple):
    """Prompts that this node has just given to engines.

    :param prompts: :class:`magnoliadyke.core.notices.PromptNotice` each
    """

    prompts: tuple


class Demands(typing.NamedTuple):
    """Demand of the pools, published each second.

    :param pools: pool name to ``core.scheduler.Demand``
    """

    pools: dict


class PromptsHeard(typing.NamedTuple):
    """Prompts that another node has given to engines.

    :param prompts: :class:`magnoliadyke.core.notices.PromptNotice` each
    """

    prompts: tuple


class PeerDigest(typing.NamedTuple):
    """The scheduler digest of another node, as gossip brought it."""

    host: str
    digest: object


class LoadSeen(typing.NamedTuple):
    """A load report came."""

    endpoint: str
    report: jobs.LoadReport


class StateSeen(typing.NamedTuple):
    """An endpoint's state became known."""

    endpoint: str
    state: str


class CacheSeen(typing.NamedTuple):
    """Cache events came; ``gap`` when some were lost before them."""

    endpoint: str
    events: tuple
    gap: bool


def endpoint_infos(settings):
    """Return the :class:`EndpointInfo` of all endpoints of the settings."""
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
    """Return the HTTP endpoints by name."""
    kinds = {
        'model': endpoints.HttpModelEndpoint,
        'service': endpoints.HttpServiceEndpoint,
    }
    return {info.name: kinds[info.kind](info, clock) for info in infos}


class Dispatcher(mailbox.Task):
    """Own the scheduler; poll endpoints; answer :class:`SubmitJob`.

    Post it :class:`PeerDigest` and :class:`PromptsHeard` messages. It
    publishes two topics each second: ``digest`` (the node's own scheduler
    digest, for gossip) and ``demand`` (:class:`Demands`, for planning), and
    ``prompts`` (:class:`PromptsPlaced`) as this node sends them.

    :param settings: :class:`magnoliadyke.settings.Settings`
    :param clock: a :class:`magnoliadyke.clock.Clock`
    :param rng: source of randomness (``random.Random``)
    :param table: Topic of :class:`magnoliadyke.core.table.View`
    :param members: Topic of :class:`magnoliadyke.core.membership.MembersView`
    :param host: this node's host name
    :ivar endpoints: the endpoints by name; streams talk to them
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
            lambda: collections.deque(maxlen=CHANGES_KEPT)
        )
        self.pollers = []
        self.published_s = 0.0

    def on_start(self):
        """Subscribe and start to poll."""
        self.table.subscribe(self)
        self.members.subscribe(self)
        for endpoint in self.used_endpoints():
            for loop in self.loops_of(endpoint):
                self.pollers.append(gevent.spawn(loop, endpoint))

    def used_endpoints(self):
        """Return the endpoints that this node may place work on.

        The others of a big pool need no polling: reports of all of them
        would cost each node more than all its requests.
        """
        return [
            self.endpoints[name]
            for pool in self.settings.pools
            for name in self.scheduler.subset_names(pool.name)
        ]

    def loops_of(self, endpoint):
        """Return the polling loops of an endpoint."""
        if endpoint.info.kind == 'model':
            return (self.poll_load, self.poll_cache)
        return (self.poll_health,)

    def on_stop(self):
        """Stop to poll and close idle connections."""
        gevent.killall(self.pollers)
        for endpoint in self.endpoints.values():
            endpoint.close()

    def handle(self, message):
        """Pass one message to the scheduler and carry out its actions."""
        now_s = self.clock.now_s()
        try:
            actions = self.decide(message, now_s)
            if tells_of_crash(message):
                # Before anybody is answered: a caller that sends the request
                # again at once must find it known as a suspect everywhere.
                self.digest.publish(CrashSeen(self.scheduler.digest(now_s)))
            self.apply(actions)
        except Exception:
            self.answer_failed(message)
            raise

    def answer_failed(self, message):
        """Answer a run whose message the scheduler could not handle.

        The run would wait for good, and its caller with it, while keep-alive
        comments say that all is well.
        """
        match message:
            case SubmitJob(job_id=job_id):
                outcome = NOT_PLACED
            case JobFailed(job_id=job_id, failed=failed):
                outcome = NOT_PLACED if not failed.ran else NOT_KNOWN
            case _:
                return
        self.pending.pop(job_id, None)
        message.reply(scheduler.Refuse(job_id, outcome))

    def decide(self, message, now_s):
        """Return the scheduler's actions for one message."""
        core = self.scheduler
        match message:
            case SubmitJob(job=job):
                self.pending[job.id] = message
                return core.submit(job, now_s)
            case JobFailed(job_id=job_id, failed=failed):
                self.pending[job_id] = message
                return core.record_result(job_id, failed, now_s)
            case MoveStream():
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
                return self.learn(message, now_s)

    def move_stream(self, message, now_s):
        """Give an answer its place on another engine."""
        core = self.scheduler
        name = migrationtarget.choose_target(
            core.runs, core.pools, message.job_id, now_s
        )
        message.reply(name)
        return core.record_migration(message.job_id, name, now_s)

    def learn(self, message, now_s):
        """Return the actions for news of the fleet."""
        core = self.scheduler
        match message:
            case LoadSeen(endpoint, report):
                return core.handle_load_report(endpoint, report, now_s)
            case StateSeen(endpoint, state):
                self.note_change(endpoint, state, now_s)
                return core.set_endpoint_state(endpoint, state, now_s)
            case CacheSeen(endpoint, events, gap):
                return core.handle_cache_events(endpoint, events, gap, now_s)
            case PeerDigest(host, digest):
                return core.merge_peer_digest(host, digest, now_s)
            case PromptsHeard(prompts):
                for told in prompts:
                    core.record_peer_prompt(told.engine, told.read_s, now_s)
                return []
            case table.View():
                return core.set_table(message, now_s)
            case membership.MembersView(members=members):
                return core.set_node_count(count_alive(members), now_s)

    def note_change(self, name, state, now_s):
        """Remember when an endpoint was away for a change."""
        pool = self.endpoints[name].info.pool
        began_s = self.changing.pop(name, None)
        if state == 'changing':
            self.changing[name] = now_s if began_s is None else began_s
        elif began_s is not None:
            self.changes[pool].append((began_s, now_s))

    def changing_s(self, pool, since_s, until_s):
        """Return for how long an endpoint of a pool was away for a change.

        :param since_s: start of the time looked at, in monotonic seconds
        :param until_s: its end
        """
        under_way = [
            (began_s, until_s)
            for name, began_s in self.changing.items()
            if self.endpoints[name].info.pool == pool
        ]
        intervals = [*self.changes[pool], *under_way]
        return burn.covered_s(intervals, since_s, until_s)

    def progress(self, tokens, now_s):
        """Report how far several jobs are."""
        actions = []
        for job_id, count in tokens:
            actions += self.scheduler.record_progress(job_id, count, now_s)
        return actions

    def tick(self):
        """Let time pass for the scheduler; publish now and then."""
        now_s = self.clock.now_s()
        self.apply(self.scheduler.tick(now_s))
        if now_s - self.published_s >= PUBLISH_INTERVAL_S:
            self.published_s = now_s
            self.publish(now_s)

    def publish(self, now_s):
        """Publish the node's digest and the demand of each pool."""
        self.digest.publish(self.scheduler.digest(now_s))
        demands = {
            pool.name: self.scheduler.demand(pool.name, now_s)
            for pool in self.settings.pools
        }
        self.demand.publish(Demands(demands))

    def tell_prompts(self, actions):
        """Publish which engines were given how much to read."""
        told = tuple(
            notices.PromptNotice(
                action.prefill_endpoint or action.endpoint, action.prompt_s
            )
            for action in actions or ()
            if isinstance(action, scheduler.Dispatch)
            and action.prompt_s >= LEAST_TOLD_S
        )
        if told:
            self.prompts.publish(PromptsPlaced(told))

    def apply(self, actions):
        """Answer the runs that wait for these actions."""
        self.tell_prompts(actions)
        for action in actions or ():
            waiting = self.pending.pop(action.job_id, None)
            if waiting is not None:
                waiting.reply(action)
            elif isinstance(action, scheduler.Dispatch):
                # The run gave up while the decision was made; without this
                # its slot would stay taken for good.
                self.post(CancelJob(action.job_id))

    def poll_load(self, endpoint):
        """Read load reports for good."""
        health = Health(self, endpoint.name)
        self.clock.sleep(self.rng.random() * LOAD_INTERVAL_S)
        while True:
            try:
                document = endpoint.load()
                self.post(LoadSeen(endpoint.name, self.read_load(document)))
                health.seen(document.get('state', 'in'))
            except (errors.EndpointUnreachable, TypeError, ValueError):
                health.missed()
            self.clock.sleep(LOAD_INTERVAL_S * (0.75 + self.rng.random() / 2))

    def read_load(self, document):
        """Return a report whose time is by this node's own clock."""
        fields = jobs.LoadReport._fields
        known = {name: document[name] for name in fields if name in document}
        known['at_s'] = self.clock.now_s() - float(document.get('age_s', 0))
        return jobs.LoadReport(**known)

    def poll_cache(self, endpoint):
        """Read cache events for good."""
        after = 0
        while True:
            try:
                document = endpoint.cache_events(after, CACHE_WAIT_S)
                events = tuple(document['events'])
                # Numbers begin anew when the engine has been started anew.
                gap = bool(document.get('gap')) or document['next'] < after
                after = document['next']
                if events or gap:
                    self.post(CacheSeen(endpoint.name, events, gap))
            except (errors.EndpointUnreachable, KeyError, TypeError):
                self.clock.sleep(RETRY_S)

    def poll_health(self, endpoint):
        """Ask a plain service for its health for good."""
        health = Health(self, endpoint.name)
        while True:
            state = endpoint.healthy()
            if state == 'crashed':
                health.missed()
            else:
                health.seen(state)
            interval_s = HEALTH_INTERVAL_S * (0.75 + self.rng.random() / 2)
            self.clock.sleep(interval_s)


class Health:
    """Turns poll results into :class:`StateSeen` when they change."""

    STATES = {'in': 'up'}

    def __init__(self, dispatcher, name):
        self.dispatcher = dispatcher
        self.name = name
        self.state = 'up'
        self.failures = 0

    def seen(self, state):
        """The endpoint answered and named its state."""
        self.failures = 0
        self.become(self.STATES.get(state, state))

    def missed(self):
        """The endpoint did not answer."""
        self.failures += 1
        if self.failures >= FAILURES_UNTIL_CRASHED:
            self.become('crashed')

    def become(self, state):
        """Tell the dispatcher when the state is another one."""
        if state != self.state:
            self.state = state
            self.dispatcher.post(StateSeen(self.name, state))


def tells_of_crash(message):
    """Tell whether a message is of an endpoint that died under a job."""
    match message:
        case JobFailed(failed=failed):
            return failed.crashed
        case JobFinished(result=jobs.Failed(crashed=crashed)):
            return crashed
        case _:
            return False


def count_alive(members):
    """Return how many nodes share the work, this one included."""
    alive = sum(member.state == 'alive' for member in members.values())
    return max(1, alive)
