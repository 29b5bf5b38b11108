"""Which size classes are placed less often than others."""

import hypothesis
from hypothesis import strategies
import pytest

from magnoliadyke.core import fairshare
from magnoliadyke.core import promptcache
from magnoliadyke.core import promptjobs
from magnoliadyke.core import sizeshares

SETTINGS = hypothesis.settings(derandomize=True, deadline=None)
SMALL, LARGE = 2_000, 60_000


def job(number, tokens, rank=0, is_retry=False):
    return promptjobs.Job(
        number,
        (promptcache.PromptPart(number, tokens),),
        2,
        0.15,
        2.0,
        'z1',
        is_retry=is_retry,
        priority=rank,
    )


def counted(small, large, rank=0, at_s=0.0):
    """Return counts of prompts as (arrived, placed) of both sizes."""
    made = sizeshares.SizeShares()
    for tokens, (arrived, placed) in ((SMALL, small), (LARGE, large)):
        for number in range(arrived):
            made.record_arrival(job(number, tokens, rank), at_s)
        for number in range(placed):
            made.record_placement(job(number, tokens, rank), at_s)
    made.update(at_s)
    return made


@pytest.mark.parametrize(
    'small, large, found',
    [
        ((100, 100), (20, 20), False),
        ((100, 50), (20, 10), False),
        ((100, 50), (20, 2), True),
        ((100, 0), (20, 0), False),
        # One prompt that has just come tells nothing.
        ((100, 50), (1, 0), False),
    ],
)
def test_class_is_underserved_by_its_share_and_not_its_count(
    small, large, found
):
    made = counted(small, large)
    assert made.is_underserved(job(1, LARGE)) is found
    assert not made.is_underserved(job(1, SMALL))


def test_less_urgent_rank_is_not_underserved_for_its_rank():
    """Guards the order of ranks against the shares of sizes."""
    made = counted((100, 100), (20, 20), rank=0)
    for number in range(100):
        made.record_arrival(job(number, LARGE, rank=1), 0.0)
    made.update(0.0)
    assert not made.is_underserved(job(1, LARGE, rank=1))


def test_returning_prompt_counts_once():
    made = counted((100, 50), (20, 10))
    for number in range(100):
        made.record_arrival(job(number, LARGE, is_retry=True), 0.0)
    made.update(0.0)
    assert not made.is_underserved(job(1, LARGE))


def test_counts_of_sizes_are_dropped():
    """Guards the state against growth with every rank ever seen."""
    made = sizeshares.SizeShares()
    for rank in range(100):
        made.record_arrival(job(rank, SMALL, rank), 0.0)
    made.record_arrival(job(1, LARGE), 60.0)
    made.update(60.0)
    assert len(made.counts) == 1


@SETTINGS
@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.booleans(),
            strategies.integers(1, 60),
            strategies.integers(0, 250),
        ),
        max_size=40,
    )
)
def test_underserved_size_gives_way_after_all_others(rows):
    """Large prompts gave way to small ones as long as a burst lasted."""
    jobs = []
    for number, (underserved, need_ms, due_ms) in enumerate(rows):
        made = job(number, LARGE if underserved else SMALL)
        made.underserved = underserved
        made.need_s, made.latest_start_s = need_ms / 1000, due_ms / 1000
        jobs.append(made)
    jobs.sort(key=lambda each: each.latest_start_s)
    usage = fairshare.usage_s(jobs, fairshare.ServedTime(), 0.0)

    def start_s(work_s):
        return 0.02 + max(0.0, work_s) / 2

    chosen = [each.job for each in fairshare.give_way(jobs, start_s, usage)]
    gone = set()
    for made in chosen:
        if made.underserved and made.latest_start_s >= start_s(0.0):
            earlier = jobs[: jobs.index(made) + 1]
            kept = [each for each in earlier if each.id not in gone]
            assert all(each.underserved for each in kept)
        gone.add(made.id)
    work_s = 0.0
    for made in jobs:
        if made.id not in gone:
            assert start_s(work_s) <= made.latest_start_s + 1e-9
            work_s += made.need_s


def test_prompt_that_can_not_be_on_time_makes_no_other_give_way():
    """Guards small prompts against a large one that is late in any case."""
    large = job(1, LARGE)
    large.underserved = True
    large.need_s, large.latest_start_s = 1.0, -0.5
    small = job(2, SMALL)
    small.need_s, small.latest_start_s = 0.01, 0.1
    usage = fairshare.usage_s([large, small], fairshare.ServedTime(), 0.0)
    chosen = fairshare.give_way([large, small], lambda work_s: work_s, usage)
    assert [each.job for each in chosen] == [large]
