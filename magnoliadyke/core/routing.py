"""Choice of the endpoints that run a job now, if any has capacity."""

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
    'PlacementContext',
    'select_subset',
]

PREFILL = 'prefill'
DECODE = 'decode'
ROLES = (PREFILL, DECODE)
FULL_CREDIT_SHARE = 1.0
LOWEST_PRIORITY = 9
#: Weight of one first token in the moving average of prediction errors.
BIAS_STEP = 0.02


class RoutingSettings(NamedTuple):
    """Constants of routing.

    :param engine_queue_s: an engine gets another prompt while the prefill of
        this node's prompts queued there takes at most this long, in seconds
    :param sample: random endpoints that are compared for a job, besides
        the likely holders of its prefix
    :param subset_size: maximum number of endpoints of a pool that one node
        uses
    :param slack_s: predicted times to the first token that exceed the best
        by no more than this, in seconds, count as equal
    :param peer_load_slack: added to ``slack_s`` for each second of
        unreported prompts that peers are estimated to have on an engine
    :param slack_streams: fill levels, as a share of the stream limit, that
        exceed the lowest by no more than this count as equal
    :param decode_step_share: share of the job's time between tokens that the
        predicted decode step may take
    :param mixed_fill: a decode engine above this share of its stream limit
        gets no prompts
    :param mixed_cost: seconds of waiting that are worth one engine-second
        lost by prefill on a decode engine
    :param mixed_time_share: share of the remaining time to the first token
        within which prefill on a decode engine must be predicted to end
    :param step_s: step time of an engine that prefills a long prompt, in
        seconds
    :param service_slots: maximum number of concurrent calls to one endpoint
        of a plain service
    """

    engine_queue_s: float = 0.2
    sample: int = 6
    subset_size: int = 64
    slack_s: float = 0.02
    peer_load_slack: float = 4.0
    slack_streams: float = 0.05
    decode_step_share: float = 0.93
    mixed_fill: float = 0.8
    mixed_cost: float = 0.1
    mixed_time_share: float = 0.6
    step_s: float = 0.2
    service_slots: int = 32


DEFAULT_SETTINGS = RoutingSettings()


class Placement(NamedTuple):
    """Endpoints chosen for a job, and the predictions for it there.

    :param endpoint: :class:`Endpoint` that decodes or serves it
    :param prefill: :class:`Endpoint` that prefills it, may be the same
    :param first_token_s: predicted time from now to the first token, in
        seconds
    :param prompt_s: predicted engine-seconds of the prefill
    :param cached_tokens: prompt tokens estimated to be in the cache of
        ``prefill``
    """

    endpoint: object
    prefill: object
    first_token_s: float
    prompt_s: float
    cached_tokens: float

    def mixed(self):
        """Whether one endpoint does both prefill and decode."""
        return self.prefill is self.endpoint


class PlacementContext(NamedTuple):
    """State of the queue and the job that a placement depends on.

    :param credit_share: this node's share of the streams that the pool's
        engines may serve, 0 to 1
    :param spare_s: time left until the first token is due, in seconds
    :param backlog_s: time that the prefill engines need for the prompts
        queued before the job, in seconds
    :param peers_share: share of the peers' prompts on an engine that are
        prefilled before the job
    :param avoid: names of endpoints at which the job failed before
    :param first: whether the job's customer has the lowest fair-queueing
        counter of those whose jobs may start
    """

    credit_share: float = 1.0
    spare_s: float = float('inf')
    backlog_s: float = 0.0
    first: bool = True
    peers_share: float = 1.0
    avoid: frozenset = frozenset()


class Candidate(NamedTuple):
    """Predictions for the prefill of a job on one endpoint.

    :param score_s: predicted time to the first token, plus a penalty for
        engine time lost by it, in seconds
    :param first_token_s: predicted time from now to the first token, in
        seconds
    :param prompt_s: predicted engine-seconds of the prefill
    :param cached_tokens: prompt tokens estimated to be cached there
    :param blocked: the endpoint's queue is at its limit, so the job has to
        stay queued in the node
    """

    endpoint: object
    score_s: float
    first_token_s: float
    prompt_s: float
    cached_tokens: float
    blocked: bool = False


class PrefillSample:
    """Prefill time and prompt tokens of one engine step.

    Prompts that are prefilled in one step end together: the time since the
    previous end is the whole step for the first of them, and almost 0 for
    the others. Only their sum gives the time per token.

    :ivar seconds: time of the step, in seconds
    :ivar tokens: uncached prompt tokens of all its prompts
    :ivar streams: streams on the engine at the end of the step
    :ivar undisturbed: whether no load report showed prompts of other nodes
        on the engine
    """

    __slots__ = ('seconds', 'streams', 'tokens', 'undisturbed')

    SAME_STEP_S = 0.002

    def __init__(self):
        self.seconds = 0.0
        self.tokens = 0.0
        self.streams = 0.0
        self.undisturbed = False

    def is_same_step(self, seconds):
        """Whether two consecutive prefills ended in the same engine step.

        :param seconds: time between the ends of the two prefills
        """
        return seconds < self.SAME_STEP_S

    def restart(self, tokens, seconds, streams, undisturbed):
        """Start a sample with the first prompt of a step.

        :param undisturbed: whether no load report showed prompts of other
            nodes on the engine
        """
        self.seconds = seconds
        self.tokens = tokens
        self.streams = streams
        self.undisturbed = undisturbed


class Endpoint:
    """A node's view of one endpoint: its health, load and speed.

    :ivar slowness: its decode time relative to the fitted costs
    :ivar exclusive_job_id: id of the suspect job that runs there without
        other jobs of this node, or None
    :ivar is_reserved_for_trial: whether it takes no new jobs, so that a
        suspect can run there without others
    :ivar slowness_fit: fit of the ratio of observed to predicted decode time
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
        self.slowness_fit = costs.RatioFit(1.0, 10.0, 120.0)
        self.prefill_sample = PrefillSample()
        self.exclusive_job_id = None
        self.is_reserved_for_trial = False

    def takes_work(self, now_s):
        """Whether new jobs may be sent to the endpoint."""
        if self.exclusive_job_id is not None or self.is_reserved_for_trial:
            return False
        return self.health.takes_work(now_s, len(self.load.jobs))


class Pool:
    """The endpoints of a pool that this node uses, by role.

    :param members: those endpoints, as :class:`Endpoint`
    :param total: number of all endpoints of the pool
    """

    def __init__(self, name, kind, members, total):
        self.name = name
        self.kind = kind
        self.total = total
        self.members = members
        self.by_role = {}
        self.rebuild_by_role()

    def rebuild_by_role(self):
        """Rebuild ``by_role`` after a change of a role or a state."""
        self.by_role = {PREFILL: [], DECODE: [], '': []}
        for endpoint in self.members:
            if not endpoint.health.is_out():
                self.by_role[endpoint.role].append(endpoint)

    def available_count(self):
        """Number of endpoints that are not leaving, changing or crashed."""
        return sum(len(each) for each in self.by_role.values())


def _excluding(members, names):
    """The members without the named ones; all if no other is left."""
    if not names:
        return members
    return [each for each in members if each.name not in names] or members


def select_subset(infos, size, salt):
    """Select a node's endpoints of a large pool by rendezvous hashing.

    Each node uses its own salt, so each endpoint is used by about the same
    number of nodes, and adding or removing one endpoint replaces no other
    member of a subset.

    :param infos: objects with a ``name``
    :param size: maximum number of endpoints to select
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
    :param cache_estimate:
        :class:`magnoliadyke.core.prefixes.PrefixCacheEstimate`
    :param rng: source of randomness
    :param failure_domain: failure domain of this node; of equally loaded
        services, one in the same domain is preferred
    :ivar bias_s: mean error of predicted first tokens in seconds, by role
        of the prefill endpoint and priority
    """

    def __init__(
        self,
        models,
        cache_estimate,
        rng,
        settings=DEFAULT_SETTINGS,
        failure_domain='',
    ):
        self.models = models
        self.cache_estimate = cache_estimate
        self.rng = rng
        self.settings = settings
        self.failure_domain = failure_domain
        self.bias_s = {}

    def record_prediction_error(self, role, priority, error_s):
        """Update the mean delay of first tokens against their prediction.

        The delay comes mostly from prompts that other nodes sent meanwhile
        and from urgent prompts that overtook. Without this correction,
        predictions for both roles are too early, most so for the role that
        is more loaded.

        :param error_s: actual minus predicted time, in seconds
        """
        key = (role, priority)
        mean_s = self.bias_s.get(key, 0.0)
        self.bias_s[key] = mean_s + BIAS_STEP * (error_s - mean_s)

    def place(self, job, pool, context, now_s, only_endpoint=None):
        """Choose endpoints for a job.

        :param context: :class:`PlacementContext`
        :param only_endpoint: consider no other endpoint than this one, for
            the trial of a suspect
        :returns: :class:`Placement`, or None if the job has to stay queued
        """
        if pool.kind == 'service':
            return self._place_service(pool, context, only_endpoint, now_s)
        decodes = self._usable(
            pool, DECODE, job, context, only_endpoint, now_s
        )
        prefills = self._usable(
            pool, PREFILL, job, context, only_endpoint, now_s
        )
        if only_endpoint is not None or not pool.by_role[DECODE]:
            return self._place_on_one_engine(
                job, prefills or decodes, context, now_s
            )
        open_decodes = self._decode_engines_with_room(
            job, decodes, context.credit_share, now_s
        )
        if not open_decodes:
            return None
        if not pool.by_role[PREFILL]:
            members = [endpoint for _, endpoint in open_decodes]
            return self._place_on_one_engine(job, members, context, now_s)
        split = self._best_split(job, prefills, context, now_s)
        mixed = None
        if split is None or self._mixed_can_win(job, split):
            mixed = self._best_mixed(job, open_decodes, context, now_s)
        chosen = self._choose_split_or_mixed(split, mixed, context)
        if chosen is None or chosen.blocked:
            return None
        target = chosen.endpoint
        if chosen is split:
            target = self._choose_decode_engine(open_decodes)
        return Placement(target, chosen.endpoint, *chosen[2:5])

    def idle_service_s(self, job):
        """Predict the time to the first token on idle engines."""
        model = self.models.job_cost_model(job)
        if job.kind == 'service':
            return model.service.ratio
        tokens = job.prompt_tokens * model.uncached.ratio
        read_s = model.prefill_s(PREFILL, tokens)
        moved_s = job.prompt_tokens * model.transfer.ratio
        return read_s + moved_s + model.decode_step.at(1)

    def stream_limit(self, job):
        """Return the maximum streams on an engine within ``per_token_s``."""
        usable_s = job.per_token_s * self.settings.decode_step_share
        return self.models.job_cost_model(job).streams_within(usable_s)

    def _usable(self, pool, role, job, context, only_endpoint, now_s):
        members = pool.by_role[role]
        if only_endpoint is not None:
            members = [each for each in members if each is only_endpoint]
        elif len(members) > 2 * self.settings.sample:
            members = self._sample(members, job)
        if only_endpoint is not None:
            # The trial endpoint takes no other work, so takes_work() does
            # not apply to it.
            return members
        usable = [each for each in members if each.takes_work(now_s)]
        return _excluding(usable, context.avoid)

    def _sample(self, members, job):
        """Some random endpoints, and the likely holders of the prefix."""
        chosen = {}
        for _ in range(self.settings.sample):
            endpoint = self.rng.choice(members)
            chosen[endpoint.name] = endpoint
        holders = self.cache_estimate.likely_holders(job.prefix_blocks)
        if holders:
            for endpoint in members:
                if endpoint.name in holders:
                    chosen[endpoint.name] = endpoint
        return list(chosen.values())

    def _place_service(self, pool, context, only_endpoint, now_s):
        slots = self.settings.service_slots
        best = None
        members = pool.by_role['']
        if only_endpoint is not None:
            members = [only_endpoint]
        else:
            members = [each for each in members if each.takes_work(now_s)]
        for endpoint in _excluding(members, context.avoid):
            job_count = len(endpoint.load.jobs)
            if job_count >= slots:
                continue
            is_remote = endpoint.info.failure_domain != self.failure_domain
            key = (job_count * endpoint.slowness, is_remote, self.rng.random())
            if best is None or key < best[0]:
                best = key, endpoint
        if best is None:
            return None
        wait_s = self.models.cost_model(pool.name).service.ratio
        return Placement(best[1], best[1], wait_s, 0.0, 0.0)

    def _place_on_one_engine(self, job, members, context, now_s):
        """Choose one engine, of any role, for both prefill and decode."""
        found = [
            self._predict_prefill(job, each, context, now_s)
            for each in members
            if self._queue_ahead_s(each, job, context, now_s)
            <= self.settings.engine_queue_s
        ]
        best = self._choose_candidate(found, now_s)
        if best is None:
            return None
        return Placement(best.endpoint, best.endpoint, *best[2:5])

    def _decode_engines_with_room(self, job, members, credit_share, now_s):
        """Decode engines with a free stream and KV cache memory.

        :returns: list of (fill level, endpoint)
        """
        limit = self.stream_limit(job)
        needed = job.prompt_tokens + job.output_tokens
        found = []
        for endpoint in members:
            load = endpoint.load
            room = self._max_local_streams(endpoint, limit, credit_share)
            if load.streams.local + load.reserved >= room:
                continue
            kv_capacity = load.kv_capacity
            if kv_capacity and load.kv_tokens.total() + needed > kv_capacity:
                if load.streams.total() + load.reserved >= 1:
                    continue
            streams = load.streams.total() + load.reserved
            found.append((streams / limit * endpoint.slowness, endpoint))
        return found

    def _max_local_streams(self, endpoint, limit, credit_share):
        """Return the maximum streams of this node on the endpoint."""
        streams = endpoint.load.streams
        if credit_share >= FULL_CREDIT_SHARE:
            return limit - streams.peers
        own = streams.local_at(endpoint.reported_at_s)
        return credits.allowed_streams(
            limit, credit_share, own, endpoint.reported_streams
        )

    def _choose_decode_engine(self, open_decodes):
        """The emptier of two random engines among the emptiest.

        If all nodes took the emptiest engine, those that have the same load
        reports would all choose the same one and overload it.

        :param open_decodes: list of (fill level, endpoint)
        """
        least = min(item[0] for item in open_decodes)
        good = [
            item
            for item in open_decodes
            if item[0] <= least + self.settings.slack_streams
        ]
        return self._better_of_two(good)[1]

    def _better_of_two(self, good):
        if len(good) == 1:
            return good[0]
        first = self.rng.choice(good)
        second = self.rng.choice(good)
        return first if first[0] <= second[0] else second

    def _predict_prefill(self, job, endpoint, context, now_s):
        """Predict the prefill of the job on the endpoint."""
        model = self.models.job_cost_model(job)
        load = endpoint.load
        cached = self.cache_estimate.cached_tokens(
            endpoint.name, job.prefix_blocks
        )
        tokens = max(1.0, job.prompt_tokens - cached)
        streams = load.streams.total()
        prompt_s = model.prefill_s(endpoint.role, tokens, streams)
        prompt_s *= endpoint.slowness
        wait_s = load.local_wait_s(job.priority, now_s)
        peers_s = load.peers_wait_s(now_s)
        wait_s += peers_s * context.peers_share
        read_s = prompt_s
        if load.prompts and endpoint.role == PREFILL:
            # The engine first ends its present step, then prefills this
            # prompt in a step shared with others.
            read_s = max(prompt_s, self.settings.step_s)
        bias_s = self.bias_s.get((endpoint.role, job.priority), 0.0)
        first_s = max(prompt_s, wait_s + read_s + bias_s)
        return Candidate(endpoint, first_s, first_s, prompt_s, cached)

    def _queue_ahead_s(self, endpoint, job, context, now_s):
        """Seconds of queued prompts to compare with ``engine_queue_s``.

        Engines prefill by priority, so for the least served customer only
        prompts of the same or a more urgent priority count. For the others
        all prompts count: otherwise their urgent prompts would keep
        overtaking those of the customer whose turn it is, which would never
        find the engine free.
        """
        priority = job.priority if context.first else LOWEST_PRIORITY
        return endpoint.load.local_wait_s(priority, now_s)

    def _best_split(self, job, members, context, now_s):
        """The best prefill engine, marked blocked if none has capacity.

        The predictions include the KV cache transfer to a decode engine.
        """
        found = []
        for endpoint in members:
            queue_ahead_s = self._queue_ahead_s(endpoint, job, context, now_s)
            each = self._predict_prefill(job, endpoint, context, now_s)
            if queue_ahead_s > self.settings.engine_queue_s:
                later_s = each.score_s + context.backlog_s
                each = each._replace(
                    score_s=later_s, first_token_s=later_s, blocked=True
                )
            found.append(each)
        free = [each for each in found if not each.blocked]
        best = self._choose_candidate(free or found, now_s)
        if best is None:
            return None
        model = self.models.job_cost_model(job)
        moved_s = (
            job.prompt_tokens * model.transfer.ratio + model.decode_step.base
        )
        return best._replace(
            score_s=best.score_s + moved_s,
            first_token_s=best.first_token_s + moved_s,
        )

    def _mixed_can_win(self, job, split):
        """Whether prefill on an idle decode engine could be sooner."""
        base_s = self.models.job_cost_model(job).mixed_prefill.base
        return split.blocked or job.prompt_tokens * base_s < split.score_s

    def _best_mixed(self, job, open_decodes, context, now_s):
        """The best decode engine for both prefill and decode, or None."""
        model = self.models.job_cost_model(job)
        lost = model.mixed_prefill.base / model.prefill.ratio - 1.0
        candidates = []
        for fill, endpoint in open_decodes:
            if fill > self.settings.mixed_fill:
                continue
            queue_ahead_s = self._queue_ahead_s(endpoint, job, context, now_s)
            if queue_ahead_s > self.settings.engine_queue_s:
                continue
            each = self._predict_prefill(job, endpoint, context, now_s)
            extra_s = each.prompt_s * max(0.0, lost) * fill
            cost_s = self.settings.mixed_cost * extra_s
            pace_s = model.decode_step.at(endpoint.load.streams.total())
            candidates.append(
                each._replace(
                    score_s=each.score_s + pace_s + cost_s,
                    first_token_s=each.first_token_s + pace_s,
                )
            )
        return self._choose_candidate(candidates, now_s)

    def _choose_split_or_mixed(self, split, mixed, context):
        """Choose split or mixed placement, whichever is sooner.

        Prefill on a decode engine takes longer and slows its streams, so it
        is used only if the first token is predicted well before it is due;
        otherwise the job waits for a prefill engine. A decode engine
        prefills a long prompt in small chunks, and work that arrives
        meanwhile delays it further, so ``mixed_time_share`` keeps part of
        the remaining time in reserve.

        :param split: :class:`Candidate` in the prefill role, or None
        :param mixed: :class:`Candidate` in the decode role, or None
        """
        limit_s = context.spare_s * self.settings.mixed_time_share
        if mixed is not None and mixed.first_token_s > limit_s:
            mixed = None
        if split is None or mixed is None:
            return split or mixed
        return split if split.score_s <= mixed.score_s else mixed

    def _choose_candidate(self, candidates, now_s):
        """The better of two random candidates among those near the best.

        The more unreported prompts peers are estimated to have on the
        engines, the less reliable a predicted wait is: peers have the same
        load reports, and all would choose the engine that was idle at that
        time. So the tolerance grows with the peers' load. The time of the
        prefill itself is certain, and its tolerance stays.
        """
        if not candidates:
            return None
        best = min(candidates, key=_score_s)
        settings = self.settings
        unreported_s = max(
            each.endpoint.load.peers.unreported_s(now_s) for each in candidates
        )
        slack_s = settings.slack_s + settings.peer_load_slack * unreported_s
        good = [
            (each.score_s, each)
            for each in candidates
            if each.score_s <= best.score_s + slack_s
            and each.prompt_s <= best.prompt_s + settings.slack_s
        ]
        return self._better_of_two(good)[1]


def _score_s(candidate):
    return candidate.score_s
