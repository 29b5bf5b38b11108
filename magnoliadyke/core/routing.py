"""Which endpoints should run a job now, if any."""

from typing import NamedTuple
import zlib

from magnoliadyke.core import costs
from magnoliadyke.core import credits
from magnoliadyke.core import health

__all__ = [
    'Candidate',
    'Endpoint',
    'Placement',
    'Pool',
    'Router',
    'RoutingSettings',
    'Terms',
    'subset',
]

PREFILL = 'prefill'
DECODE = 'decode'
ROLES = (PREFILL, DECODE)
FULL = 1.0
LAST_PRIORITY = 9
BIAS_STEP = 0.02


class RoutingSettings(NamedTuple):
    """Constants of routing.

    :param engine_queue_s: most seconds of this node's prompts that wait in
        an engine
    :param sample: endpoints looked at for a job, besides prefix holders
    :param subset: endpoints of a pool that one node uses
    :param slack_s: predicted starts this close to the best are as good
    :param blind_slack: more of it for each second of other nodes' prompts
        that an engine has on average
    :param slack_streams: likewise fill levels, as a share of the limit
    :param pace_share: part of the objective between tokens that is used
    :param mixed_fill: a decode engine fuller than this gets no prompts
    :param mixed_cost: seconds of waiting that an engine-second lost by
        reading a prompt on a decode engine is worth
    :param mixed_sure_share: part of the time left within which a decode
        engine has to be predicted to read a prompt
    :param step_s: step of an engine that reads a long prompt
    :param service_slots: calls at one plain service at once
    """

    engine_queue_s: float = 0.2
    sample: int = 6
    subset: int = 64
    slack_s: float = 0.02
    blind_slack: float = 4.0
    slack_streams: float = 0.05
    pace_share: float = 0.93
    mixed_fill: float = 0.8
    mixed_cost: float = 0.1
    mixed_sure_share: float = 0.6
    step_s: float = 0.2
    service_slots: int = 32


DEFAULT_SETTINGS = RoutingSettings()


class Placement(NamedTuple):
    """Where a job should run.

    :param endpoint: :class:`Endpoint` that decodes or serves it
    :param prefill: :class:`Endpoint` that reads the prompt, may be the same
    :param first_token_s: predicted time to the first token, from now
    :param prompt_s: engine-seconds that reading the prompt takes there
    :param cached_tokens: prompt tokens believed to be cached there
    """

    endpoint: object
    prefill: object
    first_token_s: float
    prompt_s: float
    cached_tokens: float

    def mixed(self):
        """Whether one endpoint both reads the prompt and decodes."""
        return self.prefill is self.endpoint


class Terms(NamedTuple):
    """Under what terms a job is placed.

    :param fraction: this node's part of the pool's credits
    :param spare_s: time left until the first token is due
    :param ahead_s: seconds of prompts that go before it once engines free
    :param others_share: part of other nodes' prompts that an engine reads
        before it
    :param avoid: names of endpoints where it failed before
    :param first: whether its customer is the least served of those waiting
    """

    fraction: float = 1.0
    spare_s: float = float('inf')
    ahead_s: float = 0.0
    first: bool = True
    others_share: float = 1.0
    avoid: frozenset = frozenset()


class Candidate(NamedTuple):
    """An endpoint that could read the prompt.

    :param score_s: predicted time to the first token, and what it costs
    :param blocked: enough waits there: the job has to wait in the node
    """

    endpoint: object
    score_s: float
    first_token_s: float
    prompt_s: float
    cached_tokens: float
    blocked: bool = False


class ReadingSample:
    """How long an engine took to read the prompts of one step.

    Prompts that are read in one step end together: the first after the
    whole step, the others after no time at all. Only as one sample they
    tell what a token takes.
    """

    __slots__ = ('clean', 'seconds', 'streams', 'tokens')

    SAME_STEP_S = 0.002

    def __init__(self):
        self.seconds = 0.0
        self.tokens = 0.0
        self.streams = 0.0
        self.clean = False

    def joins(self, seconds):
        """Whether a prompt that ends so soon after was in the same step."""
        return seconds < self.SAME_STEP_S

    def begin(self, tokens, seconds, streams, clean):
        """Start a sample with the first prompt of a step.

        :param clean: nothing that this node knows of disturbed it
        """
        self.seconds = seconds
        self.tokens = tokens
        self.streams = streams
        self.clean = clean


class Endpoint:
    """One endpoint as a node sees it.

    :ivar slowness: its time for work, relative to the fitted costs
    :ivar alone: id of the suspect that has it to itself
    :ivar kept: it is being freed for a suspect
    :ivar pace: its times against the predicted ones
    """

    def __init__(self, info, health_settings=health.DEFAULT_SETTINGS):
        self.info = info
        self.name = info.name
        self.role = info.role if info.kind == 'model' else ''
        self.health = health.EndpointHealth(health_settings)
        self.load = credits.EndpointLoad()
        self.reported_streams = 0
        self.reported_at_s = float('-inf')
        self.slowness = 1.0
        self.pace = costs.RatioFit(1.0, 10.0, 120.0)
        self.reading = ReadingSample()
        self.alone = None
        self.kept = False

    def takes_work(self, now_s):
        """Whether new jobs may go there."""
        if self.alone is not None or self.kept:
            return False
        return self.health.takes_work(now_s, len(self.load.jobs))


class Pool:
    """The endpoints of a pool that this node uses, by role.

    :param members: those endpoints, as :class:`Endpoint`
    :param total: endpoints that the pool has
    """

    def __init__(self, name, kind, members, total):
        self.name = name
        self.kind = kind
        self.total = total
        self.members = members
        self.by_role = {}
        self.sort()

    def sort(self):
        """Group anew, after a role or a state has changed."""
        self.by_role = {PREFILL: [], DECODE: [], '': []}
        for endpoint in self.members:
            if not endpoint.health.is_out():
                self.by_role[endpoint.role].append(endpoint)

    def present(self):
        """Number of endpoints that are not out."""
        return sum(len(each) for each in self.by_role.values())


def _besides(members, names):
    """The members but for these, unless there are no others."""
    if not names:
        return members
    return [each for each in members if each.name not in names] or members


def subset(infos, size, salt):
    """A part of a big pool, by rendezvous hashing.

    Nodes choose by their own salt, so each endpoint has about the same
    number of nodes, and one that comes or goes moves no other.

    :param infos: with a ``name``
    :param salt: differs from node to node
    """
    if len(infos) <= size:
        return list(infos)
    ranked = sorted(
        infos,
        key=lambda info: zlib.crc32(f'{salt}/{info.name}'.encode()),
    )
    return ranked[:size]


class Router:
    """Places the jobs of one node.

    :param models: :class:`magnoliadyke.core.costs.CostModels`
    :param beliefs: :class:`magnoliadyke.core.prefixes.PrefixBeliefs`
    :param rng: source of randomness
    :param failure_domain: of this node; near endpoints win ties
    """

    def __init__(
        self,
        models,
        beliefs,
        rng,
        settings=DEFAULT_SETTINGS,
        failure_domain='',
    ):
        self.models = models
        self.beliefs = beliefs
        self.rng = rng
        self.settings = settings
        self.failure_domain = failure_domain
        self.bias_s = {}

    def observe(self, role, priority, error_s):
        """Learn how far first tokens come after their prediction.

        Mostly it is what other nodes sent meanwhile, and urgent prompts
        that overtook. Without it, engines of both roles look sooner than
        they are, the more crowded of them most.
        """
        key = (role, priority)
        known_s = self.bias_s.get(key, 0.0)
        self.bias_s[key] = known_s + BIAS_STEP * (error_s - known_s)

    def place(self, job, pool, terms, now_s, among=None):
        """Choose endpoints for a job.

        :param terms: :class:`Terms`
        :param among: take none but this endpoint, for a suspect
        :returns: :class:`Placement`, or None when all are full
        """
        if pool.kind == 'service':
            return self._place_service(pool, terms, among, now_s)
        decodes = self._usable(pool, DECODE, job, terms, among, now_s)
        prefills = self._usable(pool, PREFILL, job, terms, among, now_s)
        if among is not None or not pool.by_role[DECODE]:
            return self._place_whole(job, prefills or decodes, terms, now_s)
        open_decodes = self._open(job, decodes, terms.fraction, now_s)
        if not open_decodes:
            return None
        if not pool.by_role[PREFILL]:
            members = [endpoint for _, endpoint in open_decodes]
            return self._place_whole(job, members, terms, now_s)
        split = self._best_split(job, prefills, terms, now_s)
        mixed = None
        if split is None or self._mixed_may_win(job, split):
            mixed = self._best_mixed(job, open_decodes, terms, now_s)
        chosen = self._cheaper(split, mixed, terms)
        if chosen is None or chosen.blocked:
            return None
        target = chosen.endpoint
        if chosen is split:
            target = self._roomiest(open_decodes)
        return Placement(target, chosen.endpoint, *chosen[2:5])

    def idle_service_s(self, job):
        """Time to the first token of a job on idle engines."""
        model = self.models.of_job(job)
        if job.kind == 'service':
            return model.service.ratio
        tokens = job.prompt_tokens * model.uncached.ratio
        read_s = model.prefill_s(PREFILL, tokens)
        moved_s = job.prompt_tokens * model.transfer.ratio
        return read_s + moved_s + model.pace.at(1)

    def stream_limit(self, job):
        """Streams of an engine that keep the job's objective."""
        usable_s = job.per_token_s * self.settings.pace_share
        return self.models.of_job(job).streams_within(usable_s)

    def _usable(self, pool, role, job, terms, among, now_s):
        members = pool.by_role[role]
        if among is not None:
            members = [each for each in members if each is among]
        elif len(members) > 2 * self.settings.sample:
            members = self._sample(members, job)
        if among is not None:
            # It is kept from all other work, but not from this.
            return members
        usable = [each for each in members if each.takes_work(now_s)]
        return _besides(usable, terms.avoid)

    def _sample(self, members, job):
        """A few at random, and those that may hold the prefix."""
        chosen = {}
        for _ in range(self.settings.sample):
            endpoint = self.rng.choice(members)
            chosen[endpoint.name] = endpoint
        holders = self.beliefs.likely_holders(job.prefix_blocks)
        if holders:
            for endpoint in members:
                if endpoint.name in holders:
                    chosen[endpoint.name] = endpoint
        return list(chosen.values())

    def _place_service(self, pool, terms, among, now_s):
        slots = self.settings.service_slots
        best = None
        members = pool.by_role['']
        if among is not None:
            members = [among]
        else:
            members = [each for each in members if each.takes_work(now_s)]
        for endpoint in _besides(members, terms.avoid):
            busy = len(endpoint.load.jobs)
            if busy >= slots:
                continue
            far = endpoint.info.failure_domain != self.failure_domain
            key = (busy * endpoint.slowness, far, self.rng.random())
            if best is None or key < best[0]:
                best = key, endpoint
        if best is None:
            return None
        wait_s = self.models.of(pool.name).service.ratio
        return Placement(best[1], best[1], wait_s, 0.0, 0.0)

    def _place_whole(self, job, members, terms, now_s):
        """Both phases on one engine, whatever its role."""
        found = [
            self._reading(job, each, terms, now_s)
            for each in members
            if self._gate_s(each, job, terms, now_s)
            <= self.settings.engine_queue_s
        ]
        best = self._pick(found, now_s)
        if best is None:
            return None
        return Placement(best.endpoint, best.endpoint, *best[2:5])

    def _open(self, job, members, fraction, now_s):
        """Decode engines with a free stream and memory: (fill, engine)."""
        limit = self.stream_limit(job)
        needed = job.prompt_tokens + job.output_tokens
        found = []
        for endpoint in members:
            load = endpoint.load
            room = self._room(endpoint, limit, fraction)
            if load.streams.local + load.reserved >= room:
                continue
            kv_capacity = load.kv_capacity
            if kv_capacity and load.kv_tokens.total() + needed > kv_capacity:
                if load.streams.total() + load.reserved >= 1:
                    continue
            streams = load.streams.total() + load.reserved
            found.append((streams / limit * endpoint.slowness, endpoint))
        return found

    def _room(self, endpoint, limit, fraction):
        """Streams that this node may have there."""
        streams = endpoint.load.streams
        if fraction >= FULL:
            return limit - streams.peers
        own = streams.local_at(endpoint.reported_at_s)
        return credits.allowed_streams(
            limit, fraction, own, endpoint.reported_streams
        )

    def _roomiest(self, found):
        """Of two random engines about as empty as the emptiest, the emptier.

        Always taking the emptiest sends all nodes that have the same
        reports to one engine, which is then the fullest.
        """
        least = min(item[0] for item in found)
        good = [
            item
            for item in found
            if item[0] <= least + self.settings.slack_streams
        ]
        return self._two(good)[1]

    def _two(self, good):
        if len(good) == 1:
            return good[0]
        first = self.rng.choice(good)
        second = self.rng.choice(good)
        return first if first[0] <= second[0] else second

    def _reading(self, job, endpoint, terms, now_s):
        """Predict reading the prompt there."""
        model = self.models.of_job(job)
        load = endpoint.load
        cached = self.beliefs.cached_tokens(endpoint.name, job.prefix_blocks)
        tokens = max(1.0, job.prompt_tokens - cached)
        streams = load.streams.total()
        prompt_s = model.prefill_s(endpoint.role, tokens, streams)
        prompt_s *= endpoint.slowness
        wait_s = load.local_wait_s(job.priority, now_s)
        others_s = load.peers_wait_s(now_s)
        wait_s += others_s * terms.others_share
        read_s = prompt_s
        if load.prompts and endpoint.role == PREFILL:
            # The engine finishes its step, and reads ours in a shared one.
            read_s = max(prompt_s, self.settings.step_s)
        bias_s = self.bias_s.get((endpoint.role, job.priority), 0.0)
        first_s = max(prompt_s, wait_s + read_s + bias_s)
        return Candidate(endpoint, first_s, first_s, prompt_s, cached)

    def _gate_s(self, endpoint, job, terms, now_s):
        """Seconds of prompts that count against the engine's queue.

        Urgent prompts overtake others in the engine, so only more urgent
        ones count; but not for a customer that is ahead of its fair share:
        its urgent prompts would go on overtaking those of the customer
        whose turn it is, which then never finds the engine free.
        """
        priority = job.priority if terms.first else LAST_PRIORITY
        return endpoint.load.local_wait_s(priority, now_s)

    def _best_split(self, job, members, terms, now_s):
        """The best engine in the prefill role, if only after a wait."""
        found = []
        for endpoint in members:
            gate_s = self._gate_s(endpoint, job, terms, now_s)
            each = self._reading(job, endpoint, terms, now_s)
            if gate_s > self.settings.engine_queue_s:
                later_s = each.score_s + terms.ahead_s
                each = each._replace(
                    score_s=later_s, first_token_s=later_s, blocked=True
                )
            found.append(each)
        free = [each for each in found if not each.blocked]
        best = self._pick(free or found, now_s)
        if best is None:
            return None
        model = self.models.of_job(job)
        moved_s = job.prompt_tokens * model.transfer.ratio + model.pace.base
        return best._replace(
            score_s=best.score_s + moved_s,
            first_token_s=best.first_token_s + moved_s,
        )

    def _mixed_may_win(self, job, split):
        """Whether a decode engine could be sooner, at its very best."""
        base_s = self.models.of_job(job).mixed_prefill.base
        return split.blocked or job.prompt_tokens * base_s < split.score_s

    def _best_mixed(self, job, found, terms, now_s):
        """The best engine in the decode role that could read as well."""
        model = self.models.of_job(job)
        lost = model.mixed_prefill.base / model.prefill.ratio - 1.0
        candidates = []
        for fill, endpoint in found:
            if fill > self.settings.mixed_fill:
                continue
            gate_s = self._gate_s(endpoint, job, terms, now_s)
            if gate_s > self.settings.engine_queue_s:
                continue
            each = self._reading(job, endpoint, terms, now_s)
            extra_s = each.prompt_s * max(0.0, lost) * fill
            cost_s = self.settings.mixed_cost * extra_s
            pace_s = model.pace.at(endpoint.load.streams.total())
            candidates.append(
                each._replace(
                    score_s=each.score_s + pace_s + cost_s,
                    first_token_s=each.first_token_s + pace_s,
                )
            )
        return self._pick(candidates, now_s)

    def _cheaper(self, split, mixed, terms):
        """Two engines, or one for both phases where that is sooner.

        Reading on a decode engine takes longer and slows its streams. It is
        worth it when that engine has time to spare; where it would make the
        first token late, the job had better wait for a prefill engine. A
        long prompt is read in small pieces there, and whatever comes
        meanwhile makes it longer still, so part of the time is kept back.
        """
        sure_s = terms.spare_s * self.settings.mixed_sure_share
        if mixed is not None and mixed.first_token_s > sure_s:
            mixed = None
        if split is None or mixed is None:
            return split or mixed
        return split if split.score_s <= mixed.score_s else mixed

    def _pick(self, candidates, now_s):
        """Of two random ones among the good, the better.

        The more other nodes have on the engines, the less a predicted wait
        is worth: they have the same reports, and all would choose the
        engine that was idle then. What has to be read is certain.
        """
        if not candidates:
            return None
        best = min(candidates, key=_score_s)
        settings = self.settings
        blind_s = max(
            each.endpoint.load.peers.unseen_s(now_s) for each in candidates
        )
        slack_s = settings.slack_s + settings.blind_slack * blind_s
        good = [
            (each.score_s, each)
            for each in candidates
            if each.score_s <= best.score_s + slack_s
            and each.prompt_s <= best.prompt_s + settings.slack_s
        ]
        return self._two(good)[1]


def _score_s(candidate):
    return candidate.score_s
