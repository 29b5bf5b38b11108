"""Weighted fair queueing between the customers of one pool."""

import heapq
import itertools

__all__ = ['FairQueue']

#: Lower bound of weights: a cost divided by a weight near 0 would raise the
#: counter without bound.
MIN_WEIGHT = 1e-3


class FairQueue:
    """Queued jobs of one pool, in weighted fair order.

    Each customer has a virtual counter: the engine-seconds that it was
    served, divided by its weight. The customer with queued jobs and the
    lowest counter is served next.

    :param max_lead_s: engine-seconds, for a weight of 1, by which service
        on other nodes may raise a customer's counter above the lowest
        counter on this node
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
        """Set a customer's weight and keep its counter.

        So a change of weight alone does not reorder the queue.
        """
        self.weights[customer] = max(weight, MIN_WEIGHT)

    def weight(self, customer):
        """Return a customer's weight, 1 when none was set."""
        return self.weights.get(customer, 1.0)

    def push(self, job_id, customer, key):
        """Queue a job.

        :param key: order among the customer's own jobs, lowest first
        """
        heap = self.heaps.get(customer)
        if heap is None:
            self._raise_to_floor(customer)
            heap = self.heaps[customer] = []
        entry = [key, next(self.serials), job_id, customer]
        self.entries[job_id] = entry
        heapq.heappush(heap, entry)

    def remove(self, job_id):
        """Remove a job that was dispatched or refused.

        :returns: whether it was queued
        """
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

    def customers_by_counter(self):
        """Customers with queued jobs, the lowest counter first."""
        return sorted(self.heaps, key=self.counters.__getitem__)

    def next_job(self, customer):
        """Id of the customer's next job, or None."""
        heap = self.heaps.get(customer)
        return heap[0][2] if heap else None

    def next_jobs(self, customer, count):
        """Ids of up to ``count`` next jobs of the customer, in order."""
        heap = self.heaps.get(customer, ())
        if len(heap) == 1 or count == 1:
            return [heap[0][2]] if heap else []
        entries = heapq.nsmallest(2 * count, heap)
        ids = [entry[2] for entry in entries if entry[2] is not None]
        return ids[:count]

    def waiting(self, customer):
        """Ids of all queued jobs of the customer, unordered."""
        heap = self.heaps.get(customer, ())
        return [entry[2] for entry in heap if entry[2] is not None]

    def charge(self, customer, cost_s):
        """Charge a customer for service by this node.

        :param cost_s: engine-seconds; negative to refund a prediction that
            was too high
        """
        counter = self.counters.get(customer, self.virtual_s)
        if cost_s > 0:
            self.virtual_s = max(self.virtual_s, counter)
        self.counters[customer] = counter + cost_s / self.weight(customer)
        self.served[customer] = self.served.get(customer, 0.0) + cost_s

    def charge_remote(self, customer, cost_s):
        """Charge a customer for service by another node.

        The rise is capped. A digest that reports much service elsewhere,
        late and at once, would otherwise starve the customer here until the
        counters of the others reach its own, though they may have no such
        work queued.

        :param cost_s: engine-seconds
        """
        floor = self._floor()
        counter = self.counters.get(customer, floor)
        ceiling = max(counter, floor + self._max_counter_lead())
        risen = counter + cost_s / self.weight(customer)
        self.counters[customer] = min(risen, ceiling)

    def share(self, customer):
        """The customer's weight as a share of all with queued jobs.

        A customer without queued jobs is counted as if it had some.
        """
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
        """Raise a newly queueing customer's counter to the lowest one.

        Otherwise a customer that was idle for an hour would return with an
        hour of credit and starve all others until that was used up.
        """
        floor = self._floor()
        counter = self.counters.get(customer, floor)
        if counter < floor:
            rise = (floor - counter) * self.weight(customer)
            self.raised_s[customer] = self.raised_s.get(customer, 0.0) + rise
        self.counters[customer] = max(counter, floor)
