"""The queue of one pool: who waits, for how much, and what is asked for."""

from magnoliadyke.core import admission
from magnoliadyke.core import digests
from magnoliadyke.core import fairness
from magnoliadyke.core import limits
from magnoliadyke.core import quarantine

__all__ = ['PoolQueue']

DEMAND_MEMORY_S = 2.0
MIX_KEPT = 0.99


class PoolQueue:
    """Queue, demand and endpoints of one pool."""

    def __init__(self, endpoints, patience, now_s=0.0):
        self.name = endpoints.name
        self.endpoints = endpoints
        self.number = quarantine.short(endpoints.name)
        self.queue = fairness.FairQueue()
        self.prefill_rate = limits.Rate(DEMAND_MEMORY_S, now_s)
        self.decode_rate = limits.Rate(DEMAND_MEMORY_S, now_s)
        self.lateness = admission.ErrorQuantile(
            1.0 - patience.late_share, patience.error_step_s
        )
        self.refusals = admission.RefusalShares()
        self.waiting = {}
        self.suspects = []
        self.trial = None
        self.running = 0
        self.fraction = 1.0
        self.fraction_due_s = float('-inf')
        self.mix = {}

    def note_mix(self, priority, prefill_s):
        """Remember what part of the prompts has which priority."""
        for level in self.mix:
            self.mix[level] *= MIX_KEPT
        self.mix[priority] = self.mix.get(priority, 0.0) + prefill_s

    def mix_before(self, priority):
        """Part of all prompts that an engine reads before this priority.

        Other nodes' prompts are known as a sum only; they are taken to be
        like our own.
        """
        total = sum(self.mix.values())
        if not total:
            return 1.0
        before = sum(
            part for level, part in self.mix.items() if level <= priority
        )
        return before / total

    def count(self, run, sign):
        """Keep the sums of what waits, by customer and priority."""
        customer = self.waiting.setdefault(run.job.customer, {})
        sums = customer.setdefault(run.job.priority, [0, 0.0, 0.0])
        sums[0] += sign
        sums[1] += sign * run.prefill_s
        sums[2] += sign * run.decode_s
        if not sums[0]:
            del customer[run.job.priority]

    def waiting_count(self, customer):
        sums = self.waiting.get(customer, {})
        return sum(each[0] for each in sums.values())

    def ahead(self, customer, priority):
        """Engine-seconds that go before a new job of the customer."""
        prefill_s = decode_s = 0.0
        for level, sums in self.waiting.get(customer, {}).items():
            if level <= priority:
                prefill_s += sums[1]
                decode_s += sums[2]
        return prefill_s, decode_s

    def backlog(self):
        """Jobs and engine-seconds that wait, of all customers."""
        levels = [
            sums
            for customer in self.waiting.values()
            for sums in customer.values()
        ]
        return (
            sum(sums[0] for sums in levels),
            sum(sums[1] for sums in levels),
            sum(sums[2] for sums in levels),
        )

    def demand_s(self, now_s):
        """Engine-seconds that arrive a second."""
        return self.prefill_rate.now(now_s) + self.decode_rate.now(now_s)

    def news(self, now_s):
        """Its demand, for peers and for the planner."""
        queued, prefill_s, decode_s = self.backlog()
        return digests.PoolNews(
            self.number,
            self.prefill_rate.now(now_s),
            self.decode_rate.now(now_s),
            prefill_s,
            decode_s,
            queued,
            self.running,
        )
