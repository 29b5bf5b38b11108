"""Queue and demand of one pool, by customer and priority."""

from magnoliadyke.core import admission
from magnoliadyke.core import digests
from magnoliadyke.core import fairness
from magnoliadyke.core import limits
from magnoliadyke.core import quarantine

__all__ = ['PoolQueue']

#: Time constant of the average demand that is reported, in seconds.
DEMAND_MEMORY_S = 2.0
#: Time constant of the average demand by which the pool is shared, in seconds;
#: long enough that a few simultaneous arrivals don't count as a flood.
FLOOD_MEMORY_S = 10.0
#: Customers with a lower demand than this, in engine-seconds per second, are
#: dropped.
MIN_DEMAND = 1e-6
#: Factor by which the weight of earlier prompts decays with each prompt.
MIX_DECAY = 0.99


class Arrivals:
    """One customer's demand on the pool, in engine-seconds per second."""

    __slots__ = ('decode', 'prefill', 'sustained')

    def __init__(self, now_s):
        self.prefill = limits.Rate(DEMAND_MEMORY_S, now_s)
        self.decode = limits.Rate(DEMAND_MEMORY_S, now_s)
        self.sustained = limits.Rate(FLOOD_MEMORY_S, now_s)

    def add(self, prefill_s, decode_s, now_s):
        """Add the work of a job that arrived, in engine-seconds."""
        self.prefill.add(prefill_s, now_s)
        self.decode.add(decode_s, now_s)
        self.sustained.add(prefill_s + decode_s, now_s)


class PoolQueue:
    """Queue, demand and endpoints of one pool.

    :param pool: the pool's endpoints
    :param settings: the admission settings
    """

    def __init__(self, pool, settings):
        self.name = pool.name
        self.endpoints = pool
        self.name_checksum = quarantine.name_checksum(pool.name)
        self.queue = fairness.FairQueue()
        self.arrivals = {}
        self.lateness = admission.ErrorQuantile(
            1.0 - settings.late_share, settings.error_step_s
        )
        self.refusals = admission.RefusalShares()
        self.waiting = {}
        self.suspects = []
        self.trial = None
        self.running = 0
        self.credit_share = 1.0
        self.credit_share_due_s = float('-inf')
        self.mix = {}

    def record_prompt_priority(self, priority, prefill_s):
        """Add a prompt to the distribution of prefill work by priority."""
        for level in self.mix:
            self.mix[level] *= MIX_DECAY
        self.mix[priority] = self.mix.get(priority, 0.0) + prefill_s

    def priority_share(self, priority):
        """Return the share of prefill work of this or a higher priority.

        Lower numbers are higher priorities.  For the prompts of other nodes
        only the total is reported; they are assumed to have the distribution
        of this node's prompts.
        """
        total = sum(self.mix.values())
        if not total:
            return 1.0
        before = sum(
            part for level, part in self.mix.items() if level <= priority
        )
        return before / total

    def update_waiting(self, run, sign):
        """Update the sums of queued work, by customer and priority.

        :param sign: 1 when the run joins the queue, -1 when it leaves
        """
        customer = self.waiting.setdefault(run.job.customer, {})
        sums = customer.setdefault(run.job.priority, [0, 0.0, 0.0])
        sums[0] += sign
        sums[1] += sign * run.prefill_s
        sums[2] += sign * run.decode_s
        if not sums[0]:
            del customer[run.job.priority]

    def waiting_count(self, customer):
        """Return the number of queued jobs of the customer."""
        sums = self.waiting.get(customer, {})
        return sum(each[0] for each in sums.values())

    def waiting_ahead(self, customer, priority):
        """Return the customer's queued work ahead of a new job.

        :returns: prefill and decode engine-seconds
        """
        prefill_s = decode_s = 0.0
        for level, sums in self.waiting.get(customer, {}).items():
            if level <= priority:
                prefill_s += sums[1]
                decode_s += sums[2]
        return prefill_s, decode_s

    def backlog(self):
        """Return the queued work of all customers.

        :returns: number of jobs, prefill and decode engine-seconds
        """
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

    def record_arrival(self, run, now_s):
        """Add a new job to the demand, whether or not it is admitted."""
        customer = run.job.customer
        if customer not in self.arrivals:
            self.arrivals[customer] = Arrivals(now_s)
        self.arrivals[customer].add(run.prefill_s, run.decode_s, now_s)

    def demand_s(self, now_s):
        """Return the demand in engine-seconds per second."""
        return sum(
            each.prefill.now(now_s) + each.decode.now(now_s)
            for each in self.arrivals.values()
        )

    def fair_shares(self, capacity, now_s):
        """Return, by customer, the share of its demand that may be served.

        It is 1 while the total demand is within the capacity.  Beyond that
        the capacity is shared by weight, and what some customers leave
        unused goes to the others.

        :param capacity: engine-seconds per second
        """
        demands = {}
        for customer, each in list(self.arrivals.items()):
            demands[customer] = each.sustained.now(now_s)
            if demands[customer] < MIN_DEMAND:
                del self.arrivals[customer], demands[customer]
        weights = {name: self.queue.weight(name) for name in demands}
        shares = {}
        remaining = capacity
        remaining_weight = sum(weights.values())
        for name in sorted(demands, key=lambda n: demands[n] / weights[n]):
            share = max(0.0, remaining) * weights[name] / remaining_weight
            shares[name] = min(1.0, share / demands[name])
            remaining -= shares[name] * demands[name]
            remaining_weight -= weights[name]
        return shares

    def demand_report(self, now_s):
        """Return the pool's demand, for peers and for the role planner.

        Prefill and decode demand are capped at what fair sharing serves.
        Otherwise, during a flood by one customer, the planner would change
        engines to the role that this customer needs, although most of its
        requests are refused, and leave the other customers short of the
        role that they need.
        """
        capacity = len(self.endpoints.members) * self.credit_share
        shares = self.fair_shares(capacity, now_s)
        prefill = decode = prefill_s = decode_s = 0.0
        for name, part in shares.items():
            each = self.arrivals[name]
            prefill += part * each.prefill.now(now_s)
            decode += part * each.decode.now(now_s)
            for sums in self.waiting.get(name, {}).values():
                prefill_s += part * sums[1]
                decode_s += part * sums[2]
        return digests.PoolDemand(
            self.name_checksum,
            self.demand_s(now_s),
            prefill,
            decode,
            prefill_s,
            decode_s,
            self.backlog()[0],
            self.running,
        )
