"""Which waiting prompts give way under overload."""

import heapq

import hypothesis
from hypothesis import strategies
import pytest

from magnoliadyke.core import fairshare
from magnoliadyke.core import placement
from magnoliadyke.core import promptjobs
from magnoliadyke.core import workspaces
from magnoliadyke import errors
from magnoliadyke.gateway import placement_codec
from magnoliadyke.platform import records
from magnoliadyke.wire.placement import ttypes
from tests import gatewayworld
from tests import promptload

SETTINGS = hypothesis.settings(derandomize=True, deadline=None)
LARGE = 'large'
SMALL = [f'small{n}' for n in range(8)]


def waiting(number, rank=0, workspace='', need_s=0.02, due_s=0.1):
    job = promptjobs.Job(
        number, (), 2, 0.15, 2.0, 'z1', priority=rank, workspace=workspace
    )
    job.need_s, job.latest_start_s = need_s, due_s
    return job


@strategies.composite
def queues(draw, ranks=3, workspaces=4):
    rows = draw(
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, ranks - 1),
                strategies.integers(0, workspaces - 1),
                strategies.integers(1, 60),
                strategies.integers(0, 250),
            ),
            max_size=40,
        )
    )
    jobs = [
        waiting(number, rank, f'w{name}', need_ms / 1000, due_ms / 1000)
        for number, (rank, name, need_ms, due_ms) in enumerate(rows)
    ]
    return sorted(jobs, key=lambda job: job.latest_start_s)


def start_s(work_s):
    return max(0.0, work_s) / 2


def choose(jobs, given=None):
    served = fairshare.ServedTime()
    for name, engine_s in (given or {}).items():
        served.charge(name, engine_s, 0.0)
    usage = fairshare.usage_s(jobs, served, 0.0)
    return usage, fairshare.give_way(jobs, start_s, usage)


@SETTINGS
@hypothesis.given(queues(ranks=1, workspaces=1))
@hypothesis.example(
    [
        waiting(0, workspace='w0', need_s=0.015, due_s=0.0),
        waiting(1, workspace='w0', need_s=0.001, due_s=0.0),
    ]
)
def test_one_rank_and_workspace_choose_as_before(jobs):
    """Guards earlier deployments against another choice than the longest."""
    longest, expected, work_s = [], [], 0.0
    for job in jobs:
        heapq.heappush(longest, (-job.need_s, job.id))
        late = start_s(work_s) > job.latest_start_s
        work_s += job.need_s
        if late:
            need_s, job_id = heapq.heappop(longest)
            work_s += need_s
            expected.append(job_id)
    assert [each.job.id for each in choose(jobs)[1]] == expected
    # Another workspace that waits last and fits must not change the choice.
    jobs.append(waiting(99, workspace='w9', need_s=0.0, due_s=9.0))
    assert [each.job.id for each in choose(jobs)[1]] == expected


@SETTINGS
@hypothesis.given(
    queues(),
    strategies.dictionaries(
        strategies.sampled_from(['w0', 'w1', 'w2', 'w3']),
        strategies.floats(0.0, 1.0),
    ),
)
def test_invariants_of_sharing(jobs, given):
    """Guards against lost jobs, unfair choices and jobs kept in vain."""
    usage, chosen = choose(jobs, given)
    ids = [each.job.id for each in chosen]
    assert len(set(ids)) == len(ids)
    work_s = 0.0
    for job in jobs:
        if job.id not in ids:
            assert start_s(work_s) <= job.latest_start_s + 1e-9
            work_s += job.need_s
    # Replays the choices: each is made among the jobs up to one that is late.
    left = dict(usage)
    gone = set()
    for job, _ in chosen:
        # Each earlier job could have given way instead.
        others = [e for e in jobs[: jobs.index(job)] if e.id not in gone]
        assert all(each.priority <= job.priority for each in others)
        names = {e.workspace for e in jobs if e.priority == job.priority}
        share_s = sum(left[name] for name in names) / len(names)
        for each in others:
            above = left[each.workspace] > share_s + 1e-9
            if each.priority == job.priority and above:
                assert left[job.workspace] > share_s - 1e-9
                assert each.need_s <= job.need_s
        gone.add(job.id)
        left[job.workspace] -= job.need_s


@SETTINGS
@hypothesis.given(queues())
def test_nobody_gives_way_where_all_fit(jobs):
    """Guards against idle engines: shares bind under overload only."""
    work_s = 0.0
    for job in jobs:
        job.latest_start_s = max(job.latest_start_s, start_s(work_s))
        work_s += job.need_s
    jobs.sort(key=lambda job: job.latest_start_s)
    assert not choose(jobs)[1]


def test_counters_decay_and_are_dropped():
    """Guards the state against growth with every workspace ever seen."""
    served = fairshare.ServedTime()
    for number in range(100):
        served.charge(f'w{number}', 0.01, 0.0)
    served.charge('last', 1.0, 30.0)
    assert list(served.rates) == ['last']
    assert served.served_s('last', 35.0) < 0.4


def test_more_urgent_goes_first_only_if_it_would_be_late():
    """Guards urgent jobs against a wait behind a long, less urgent one."""
    queue = promptjobs.SlackQueue()
    queue.put(waiting(1, rank=1, need_s=0.05, due_s=0.01))
    queue.put(waiting(2, rank=0, due_s=0.04))
    assert queue.next_by_rank(0.0).id == 2
    assert queue.next_by_rank(-0.02).id == 1


def test_least_urgent_rank_gets_a_turn():
    """Guards the least urgent rank against starvation in a long burst."""
    made = placement.Placement(promptload.TRAITS, None)
    made.on_time.put(waiting(1, due_s=0.01))
    made.on_time.put(waiting(2, rank=3, due_s=9.0))
    first = []
    for made.placements in range(24):
        first.append(made._next_job(0.0)[1].id)
    assert first.count(2) == 2


class SharedPlay(promptload.Play):
    """One large workspace sends nine times as much as each small one.

    :param named: whether the placement is told the workspaces
    """

    named = True

    def job(self, number, now_s):
        job = super().job(number, now_s)
        if self.named:
            job.workspace = name_of(number)
        return job

    def in_time_by(self, names):
        done = [
            number
            for number, done_s in self.done.items()
            if done_s <= self.jobs[number].objective_s
        ]
        asked = [n for n in self.jobs if name_of(n) in names]
        return len([n for n in done if name_of(n) in names]) / len(asked)


def name_of(number):
    return SMALL[number % 17] if number % 17 < len(SMALL) else LARGE


def test_small_workspaces_are_served_in_a_burst_of_a_large_one():
    """Twice the capacity, half of it from one of nine workspaces.

    Each small workspace asks for a seventeenth of the load, which is just
    over its share of a ninth of the capacity.
    """
    plays = []
    for named in (False, True):
        play = SharedPlay([100, 800, 800, 800, 800, 50])
        play.named = named
        play.outcome = play.run()
        plays.append(play)
    before, shared = plays
    assert shared.outcome.in_time >= 0.95 * before.outcome.in_time
    assert shared.in_time_by(SMALL) > 1.3 * before.in_time_by(SMALL)
    assert shared.in_time_by([LARGE]) < before.in_time_by([LARGE])
    assert shared.outcome.asked == len(shared.jobs)
    assert not shared.placed.keys() & shared.refused.keys()


@pytest.mark.parametrize(
    'sent, got', [(None, 0), (-4, 0), (3, 3), (2**31, 2**31 - 1)]
)
def test_rank_and_workspace_reach_the_placing_host(sent, got):
    """Guards a rollout: a host of the version before sends neither."""
    request = placement_codec.PlacementRequest(
        'model', waiting(1, rank=sent or 0, workspace='w' * 300)
    )
    job = placement_codec.decode(placement_codec.encode(request)).job
    assert (job.priority, job.workspace) == (got, 'w' * 200)
    ask = placement_codec._encode_request(request)
    ask.priority = ask.workspace = None
    job = placement_codec._decode_request(ask).job
    assert (job.priority, job.workspace) == (0, '')


def test_too_long_workspace_is_refused():
    """Guards the counters of the placing host against names of any size."""
    ask = ttypes.Ask(workspace='w' * 201)
    with pytest.raises(errors.ProtocolError, match='at most 200'):
        placement_codec._workspace(ask.workspace)


@pytest.mark.parametrize('priority, usable', [(2, True), ('x', False)])
def test_priority_of_a_workspace_is_read(priority, usable):
    """Guards relayed requests, which name their workspace only."""
    tenant = {'name': 'a', 'api_keys': ['k'], 'priority': priority}
    made = gatewayworld.configuration(1, []) | {'tenants': [tenant]}
    found = records.decode_configuration(gatewayworld.as_bytes(made))
    assert hasattr(found, 'workspaces') is usable
    if usable:
        named = workspaces.Workspace('a')
        assert found.workspaces.listed(named).priority == priority
        other = workspaces.Workspace('b')
        assert found.workspaces.listed(other) == other
