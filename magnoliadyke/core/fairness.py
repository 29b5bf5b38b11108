"""Weighted fair queueing between the customers of one pool.

Each customer has a virtual counter: the engine-seconds it was served,
divided by its weight.  The waiting customer with the least counter is next.
"""

import heapq
import itertools

__all__ = ['FairQueue']

#: Least weight that divides a cost, so that no counter runs off.
MIN_WEIGHT = 1e-3


class FairQueue:
    """Jobs that wait for one pool, in fair order.

    :param max_lead_s: engine-seconds, for a weight of 1, by which service
        on other nodes may put a customer behind the others here
    """

    def __init__(self, max_lead_s=10.0):
        self.max_lead_s = max_lead_s
        self.weights = {}
        self.counters = {}
        self.served = {}
        self.raised_s = {}
        self.heaps = {}
        self.entries = {}
        self.virtual_s = 0.0
        self.serials = itertools.count()

    def __len__(self):
        return len(self.entries)

    def set_weight(self, customer, weight):
        """Change a weight; the counter stays, so nobody jumps the line."""
        self.weights[customer] = max(weight, MIN_WEIGHT)

    def weight(self, customer):
        """Weight of a customer, 1 when none was set."""
        return self.weights.get(customer, 1.0)

    def push(self, job_id, customer, key):
        """Queue a job.

        :param key: order among the customer's own jobs, least first
        """
        heap = self.heaps.get(customer)
        if heap is None:
            self._raise_to_floor(customer)
            heap = self.heaps[customer] = []
        entry = [key, next(self.serials), job_id, customer]
        self.entries[job_id] = entry
        heapq.heappush(heap, entry)

    def remove(self, job_id):
        """Take a job out, whether it runs now or was given up."""
        entry = self.entries.pop(job_id, None)
        if entry is None:
            return False
        customer = entry[3]
        entry[2] = None
        heap = self.heaps[customer]
        while heap and heap[0][2] is None:
            heapq.heappop(heap)
        if not heap:
            del self.heaps[customer]
        return True

    def customers_by_service(self):
        """Customers with waiting jobs, the least served first."""
        return sorted(self.heaps, key=self.counters.__getitem__)

    def next_job(self, customer):
        """The customer's next job, or None."""
        heap = self.heaps.get(customer)
        return heap[0][2] if heap else None

    def next_jobs(self, customer, count):
        """The customer's next jobs, in order."""
        heap = self.heaps.get(customer, ())
        if len(heap) == 1 or count == 1:
            return [heap[0][2]] if heap else []
        entries = heapq.nsmallest(2 * count, heap)
        ids = [entry[2] for entry in entries if entry[2] is not None]
        return ids[:count]

    def waiting(self, customer):
        """Ids of all the customer's jobs, in no order."""
        heap = self.heaps.get(customer, ())
        return [entry[2] for entry in heap if entry[2] is not None]

    def charge(self, customer, cost_s):
        """Account service by this node; negative corrects a prediction."""
        counter = self.counters.get(customer, self.virtual_s)
        if cost_s > 0:
            self.virtual_s = max(self.virtual_s, counter)
        self.counters[customer] = counter + cost_s / self.weight(customer)
        self.served[customer] = self.served.get(customer, 0.0) + cost_s

    def charge_remote(self, customer, cost_s):
        """Account service by another node.

        Capped: word of much service elsewhere, late and all at once, would
        otherwise shut a customer out here for as long as it takes the
        others to catch up, though they may have no such work to do.
        """
        floor = self._floor()
        counter = self.counters.get(customer, floor)
        ceiling = max(counter, floor + self._max_counter_lead())
        risen = counter + cost_s / self.weight(customer)
        self.counters[customer] = min(risen, ceiling)

    def share(self, customer):
        """The customer's part of the pool among those that wait."""
        total = sum(self.weight(name) for name in self.heaps)
        own = self.weight(customer)
        if customer not in self.heaps:
            total += own
        return own / total

    def _max_counter_lead(self):
        return self.max_lead_s / self._mean_weight()

    def _mean_weight(self):
        if not self.heaps:
            return 1.0
        total = sum(self.weight(name) for name in self.heaps)
        return total / len(self.heaps)

    def _floor(self):
        if not self.heaps:
            return self.virtual_s
        return min(self.counters[name] for name in self.heaps)

    def _raise_to_floor(self, customer):
        """Let a customer that had nothing waiting join at the others' level.

        Without it, a customer idle for an hour would come with an hour of
        credit and keep everybody else out until it had used it up.
        """
        floor = self._floor()
        counter = self.counters.get(customer, floor)
        if counter < floor:
            rise = (floor - counter) * self.weight(customer)
            self.raised_s[customer] = self.raised_s.get(customer, 0.0) + rise
        self.counters[customer] = max(counter, floor)
