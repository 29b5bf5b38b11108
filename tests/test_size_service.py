"""The share of prompts that are served under overload, by prompt size."""

import pytest

from magnoliadyke.core import promptcache
from magnoliadyke.core import promptjobs
from tests import promptload

#: Mean size of the part of a prompt that no other prompt shares, and the
#: largest size, in tokens.
MEAN_TOKENS = 20_000
MAX_TOKENS = 280_000
SIZE_SPREAD = 1.1
#: Least share of a size class that is served, relative to all prompts.
MIN_SHARE = 0.5


class SizedPlay(promptload.Play):
    """Prompts of very different sizes, whose callers return once if refused.

    :ivar attempts: number of the second attempt of refused prompts
    """

    def __init__(self, rates, **fields):
        super().__init__(rates, objective_s=0.5, deadline_s=5.0, **fields)
        self.attempts = {}
        self.first = set()

    def job(self, number, now_s):
        subject = self.rng.randrange(self.subjects)
        mu = -(SIZE_SPREAD**2) / 2
        tokens = MEAN_TOKENS * self.rng.lognormvariate(mu, SIZE_SPREAD)
        parts = (
            promptcache.PromptPart(1000 + subject, 3800),
            promptcache.PromptPart(
                100_000 + number, 1 + int(min(tokens, MAX_TOKENS))
            ),
        )
        self.first.add(number)
        return promptjobs.Job(
            number,
            parts,
            2,
            now_s + self.objective_s,
            now_s + self.deadline_s,
            'z1',
        )

    def take(self, decisions):
        for decision in decisions:
            number = decision.job
            if (
                isinstance(decision, promptjobs.Refused)
                and number in self.first
            ):
                self.attempts[number] = 1_000_000 + number
                after_s = decision.retry_after_s
                self.at(self.now_s + after_s, 'come_back', number)
        super().take(decisions)

    def come_back(self, number):
        before = self.jobs[number]
        if self.now_s >= before.deadline_s:
            return
        again = promptjobs.Job(
            self.attempts[number],
            before.parts,
            2,
            before.objective_s,
            before.deadline_s,
            'z1',
            is_retry=True,
        )
        self.jobs[again.id] = again
        self.take(self.core.submit(again, self.now_s))

    def is_served(self, number):
        for each in (number, self.attempts.get(number)):
            done_s = self.done.get(each)
            if done_s is not None and done_s <= self.jobs[each].deadline_s:
                return True
        return False

    def served_shares(self):
        """Return the shares of all, the largest tenth, the fifth below it."""
        self.run()
        numbers = sorted(self.first, key=lambda each: self.jobs[each].tokens)
        count = len(numbers)
        tenth = numbers[count - count // 10 :]
        fifth = numbers[count - 3 * count // 10 : count - count // 10]
        return tuple(
            sum(map(self.is_served, some)) / len(some)
            for some in (numbers, tenth, fifth)
        )


@pytest.mark.parametrize('rate', [60, 90, 140])
@pytest.mark.parametrize('seed', [1, 2, 3])
def test_large_prompts_are_served_in_a_long_burst(rate, seed):
    """Large prompts were refused for their size as long as a burst lasted."""
    play = SizedPlay([rate] * 12, seed=seed)
    all_share, tenth, fifth = play.served_shares()

    assert tenth >= MIN_SHARE * all_share
    assert fifth >= MIN_SHARE * all_share
