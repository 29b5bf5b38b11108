"""The queue of one pool: who waits, for how much, and what is asked for."""

from magnoliadyke.core import admission
from magnoliadyke.core import digests
from magnoliadyke.core import fairness
from magnoliadyke.core import limits
from magnoliadyke.core import quarantine

__all__ = ['PoolQueue']

#: Time constant of the demand that is told.
DEMAND_MEMORY_S = 2.0
#: Time constant of what tells a flood from a few arrivals at once.
FLOOD_MEMORY_S = 10.0
#: Customers that asked for less than this a second are forgotten.
LEAST_DEMAND_S = 1e-6
MIX_KEPT = 0.99


class Arrivals:
    """What one customer asks of the pool, in engine-seconds a second."""

    __slots__ = ('decode', 'lasting', 'prefill')

    def __init__(self, now_s):
        self.prefill = limits.Rate(DEMAND_MEMORY_S, now_s)
        self.decode = limits.Rate(DEMAND_MEMORY_S, now_s)
        self.lasting = limits.Rate(FLOOD_MEMORY_S, now_s)

    def add(self, prefill_s, decode_s, now_s):
        """Account a job that came, in engine-seconds."""
        self.prefill.add(prefill_s, now_s)
        self.decode.add(decode_s, now_s)
        self.lasting.add(prefill_s + decode_s, now_s)


class PoolQueue:
    """Queue, demand and endpoints of one pool."""

    def __init__(self, endpoints, patience):
        self.name = endpoints.name
        self.endpoints = endpoints
        self.number = quarantine.name_checksum(endpoints.name)
        self.queue = fairness.FairQueue()
        self.arrivals = {}
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
        """Jobs of the customer that wait."""
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

    def arrived(self, run, now_s):
        """Account a new job's demand, whether or not it is taken."""
        customer = run.job.customer
        if customer not in self.arrivals:
            self.arrivals[customer] = Arrivals(now_s)
        self.arrivals[customer].add(run.prefill_s, run.decode_s, now_s)

    def demand_s(self, now_s):
        """Engine-seconds that arrive a second."""
        return sum(
            each.prefill.now(now_s) + each.decode.now(now_s)
            for each in self.arrivals.values()
        )

    def fair_parts(self, capacity, now_s):
        """What part of its demand each customer can be served at most.

        All of it, unless they ask for more than the capacity. Then it is
        shared by weight, and what some don't use goes to the others.
        """
        demands = {}
        for customer, each in list(self.arrivals.items()):
            demands[customer] = each.lasting.now(now_s)
            if demands[customer] < LEAST_DEMAND_S:
                del self.arrivals[customer], demands[customer]
        weights = {name: self.queue.weight(name) for name in demands}
        parts = {}
        left = capacity
        left_weight = sum(weights.values())
        for name in sorted(demands, key=lambda n: demands[n] / weights[n]):
            share = max(0.0, left) * weights[name] / left_weight
            parts[name] = min(1.0, share / demands[name])
            left -= parts[name] * demands[name]
            left_weight -= weights[name]
        return parts

    def news(self, now_s):
        """Its demand, for peers and for the planner of roles.

        Capped at what fair sharing will serve: in a flood, the planner
        would otherwise turn the pool to the work of the customer that
        floods, most of which is refused, and starve the others of the role
        that they need.
        """
        capacity = len(self.endpoints.members) * self.fraction
        parts = self.fair_parts(capacity, now_s)
        prefill = decode = prefill_s = decode_s = 0.0
        for name, part in parts.items():
            each = self.arrivals[name]
            prefill += part * each.prefill.now(now_s)
            decode += part * each.decode.now(now_s)
            for sums in self.waiting.get(name, {}).values():
                prefill_s += part * sums[1]
                decode_s += part * sums[2]
        return digests.PoolNews(
            self.number,
            self.demand_s(now_s),
            prefill,
            decode,
            prefill_s,
            decode_s,
            self.backlog()[0],
            self.running,
        )
