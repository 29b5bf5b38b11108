"""Fleet-wide limits of customers, split between the nodes by demand."""

import math
from typing import NamedTuple

__all__ = [
    'BASE_SHARE',
    'Bucket',
    'Exceeded',
    'Limits',
    'LimitSettings',
    'Rate',
    'Shares',
]

#: Share of a limit that is split evenly between the nodes.
BASE_SHARE = 0.25
#: Minimum retry-after of a request that exceeds a limit, in seconds.
MIN_RETRY_S = 0.05


class LimitSettings(NamedTuple):
    """Constants of the split of limits between the nodes.

    :param fresh_s: age up to which a peer's digest counts, in seconds
    :param settle_s: delay, in seconds, after which a rise of this node's
        demand counts; by then the peers have received it
    :param node_hold_s: how long the share of vanished nodes is kept, in
        seconds
    :param burst_s: capacity of a token bucket, in seconds of its rate
    :param rate_time_constant_s: time constant of the moving average of
        demand, in seconds
    """

    fresh_s: float = 15.0
    settle_s: float = 2.0
    node_hold_s: float = 30.0
    burst_s: float = 1.0
    rate_time_constant_s: float = 5.0


DEFAULT_SETTINGS = LimitSettings()


class Exceeded(NamedTuple):
    """The limit that a request would exceed, and when to retry it."""

    reason: str
    retry_after_s: float


class Rate:
    """Exponentially weighted moving rate per second.

    :param time_constant_s: time constant of the decay, in seconds
    """

    __slots__ = ('at_s', 'per_s', 'time_constant_s')

    def __init__(self, time_constant_s, now_s):
        self.time_constant_s = time_constant_s
        self.at_s = now_s
        self.per_s = 0.0

    def add(self, amount, now_s):
        """Add an amount that arrived now."""
        self.per_s = self.now(now_s) + amount / self.time_constant_s

    def now(self, now_s):
        """Return the rate per second, decayed to this time."""
        passed_s = now_s - self.at_s
        if passed_s > 0:
            self.per_s *= math.exp(-passed_s / self.time_constant_s)
            self.at_s = now_s
        return self.per_s


class Bucket:
    """Token bucket whose level a request may take below 0.

    A request of any size is admitted while the level is above 0.
    """

    __slots__ = ('at_s', 'level')

    def __init__(self, level, now_s):
        self.level = level
        self.at_s = now_s

    def refill(self, rate_s, burst, now_s):
        """Add the tokens for the time since the last refill.

        :param rate_s: tokens per second
        :param burst: capacity of the bucket in tokens
        """
        passed_s = max(0.0, now_s - self.at_s)
        self.level = min(burst, self.level + rate_s * passed_s)
        self.at_s = now_s

    def wait_s(self, rate_s):
        """Return the seconds until the level is above 0.

        :param rate_s: tokens per second
        """
        if self.level > 0:
            return 0.0
        return (1e-9 - self.level) / max(rate_s, 1e-9)


class _Peer(NamedTuple):
    received_s: float
    demands: dict


class Shares:
    """This node's share of fleet-wide limits.

    No node asks another before it admits a request. Each node takes this
    share of the limit::

        BASE_SHARE / nodes
        + (1 - BASE_SHARE) * reporting / nodes * own / total

    where ``reporting`` counts this node and the peers with a fresh digest,
    ``own`` is this node's demand and ``total`` the demand of all reporting
    nodes. The base share lets a node serve a customer whose first requests
    have just arrived there. The shares of nodes that receive digests from
    one another only add up to their part of the limit, so a partition by
    itself causes no overshoot.

    Worst overshoot, for nodes that agree on the number of nodes:

    * rates: the burst of one second, and one request for each node, since a
      request is admitted whole while its bucket is not empty;
    * concurrency: one request for each node whose share is less than one,
      as each node may serve at least one request of a customer;
    * while a peer's digests are lost in one direction, its share counts
      twice until its last digest is stale.

    When each of `k` partitioned groups has dropped the nodes of the others
    from its number of nodes, each grants the whole limit: `k` times the
    limit at worst. :meth:`set_nodes` delays this.
    """

    def __init__(self, settings=DEFAULT_SETTINGS):
        self.settings = settings
        self.nodes = 1
        self.lower_nodes = 1
        self.lower_since_s = 0.0
        self.peers = {}
        self.sent_demands = {}

    def set_nodes(self, count, now_s):
        """Set the number of live nodes; a fall takes effect later.

        Nodes that vanish may be serving on the other side of a partition,
        so their share is kept for ``node_hold_s``. After that they count as
        dead, also if a partition lasts longer.
        """
        if count >= self.nodes:
            self.nodes = self.lower_nodes = max(1, count)
        elif count != self.lower_nodes:
            self.lower_nodes = max(1, count)
            self.lower_since_s = now_s

    def tick(self, now_s):
        """Lower the node count after ``node_hold_s``; drop stale digests."""
        held_s = now_s - self.lower_since_s
        if self.lower_nodes < self.nodes:
            if held_s >= self.settings.node_hold_s:
                self.nodes = self.lower_nodes
        for host, peer in list(self.peers.items()):
            if now_s - peer.received_s > self.settings.fresh_s:
                del self.peers[host]

    def record_peer_demand(self, host, demands, now_s):
        """Merge a peer's demand by key.

        :param demands: changed demands; 0 removes a key, and keys that are
            left out keep their last value
        """
        known = self.peers.get(host)
        merged = known.demands if known else {}
        for key, demand in demands.items():
            if demand:
                merged[key] = demand
            else:
                merged.pop(key, None)
        self.peers[host] = _Peer(now_s, merged)

    def record_sent_demand(self, key, demand, now_s):
        """Record a demand of this node that is being sent to the peers."""
        sent = self.sent_demands.setdefault(key, [])
        sent.append((now_s, demand))
        due_s = now_s - self.settings.settle_s
        while len(sent) > 1 and sent[1][0] <= due_s:
            sent.pop(0)

    def settled_demand(self, key, demand, now_s):
        """This node's demand as far as the peers have received it.

        A fall counts at once, a rise only ``settle_s`` after it was sent.
        If a rise counted at once, all nodes at which a customer's burst
        begins would each take the whole limit until they had received one
        another's demand.
        """
        sent = self.sent_demands.get(key)
        due_s = now_s - self.settings.settle_s
        if not sent or sent[0][0] > due_s:
            return 0.0
        known = [(at_s, value) for at_s, value in sent if at_s > due_s]
        last = sent[len(sent) - len(known) - 1][1]
        return min(demand, last, *[value for _, value in known])

    def fraction(self, key, demand, now_s):
        """This node's share of the limit, 0 to 1.

        :param demand: this node's present demand, in any unit that is the
            same on all nodes
        """
        if self.nodes == 1:
            return 1.0
        own = self.settled_demand(key, demand, now_s)
        demands = [
            peer.demands.get(key, 0.0) for peer in self._fresh_peers(now_s)
        ]
        reporting = min(1 + len(demands), self.nodes)
        total = own + sum(demands)
        part = own / total if total > 0 else 1.0 / (1 + len(demands))
        demand_based_share = (1.0 - BASE_SHARE) * reporting / self.nodes * part
        return BASE_SHARE / self.nodes + demand_based_share

    def _fresh_peers(self, now_s):
        oldest_s = now_s - self.settings.fresh_s
        return [p for p in self.peers.values() if p.received_s >= oldest_s]


class _Usage:
    """Requests, rates and token buckets of one customer on this node."""

    __slots__ = ('requests', 'running', 'token_rate', 'tokens', 'waiting')

    def __init__(self, settings, now_s):
        self.running = 0
        self.waiting = 0
        self.token_rate = Rate(settings.rate_time_constant_s, now_s)
        self.requests = Bucket(math.inf, now_s)
        self.tokens = Bucket(math.inf, now_s)


class Limits:
    """Limits of all customers on this node.

    :param shares: :class:`Shares`
    """

    def __init__(self, shares, settings=DEFAULT_SETTINGS):
        self.settings = settings
        self.shares = shares
        self.rows = {}
        self.usages = {}

    def set_rows(self, rows):
        """Apply the customers' rows of a new table revision.

        :param rows: customer to :class:`magnoliadyke.core.schema.CustomerRow`
        """
        self.rows = rows

    def usage(self, customer, now_s=0.0):
        """Return a customer's usage on this node, created if missing."""
        usage = self.usages.get(customer)
        if usage is None:
            usage = _Usage(self.settings, now_s)
            self.usages[customer] = usage
        return usage

    def admit(self, customer, tokens, now_s):
        """Charge a new request to the customer's token buckets.

        A refused request leaves the buckets unchanged, but counts as demand.

        :param tokens: estimated tokens of prompt and output
        :returns: None, or :class:`Exceeded` if the request is refused
        """
        usage = self.usage(customer, now_s)
        usage.token_rate.add(tokens, now_s)
        row = self.rows.get(customer)
        if row is None or not (row.requests_s or row.tokens_s):
            return None
        demand = usage.token_rate.now(now_s)
        fraction = self.shares.fraction((customer, 'rate'), demand, now_s)
        exceeded = self._exceeded_rate(usage, row, fraction, now_s)
        if exceeded is None:
            usage.requests.level -= 1.0 if row.requests_s else 0.0
            usage.tokens.level -= tokens if row.tokens_s else 0.0
        return exceeded

    def _exceeded_rate(self, usage, row, fraction, now_s):
        buckets = (
            ('request_rate_limit', usage.requests, row.requests_s),
            ('token_rate_limit', usage.tokens, row.tokens_s),
        )
        for reason, bucket, limit in buckets:
            if not limit:
                continue
            rate_s = limit * fraction
            burst = max(1.0, rate_s * self.settings.burst_s)
            bucket.refill(rate_s, burst, now_s)
            wait_s = bucket.wait_s(rate_s)
            if wait_s > 0:
                return Exceeded(reason, max(wait_s, MIN_RETRY_S))
        return None

    def correct_tokens(self, customer, tokens):
        """Charge the tokens that a job used beyond its estimate.

        :param tokens: tokens used beyond the estimate; negative to refund
        """
        row = self.rows.get(customer)
        if row is not None and row.tokens_s:
            self.usage(customer).tokens.level -= tokens

    def concurrency(self, customer, now_s):
        """Return the maximum of the customer's concurrent requests here."""
        row = self.rows.get(customer)
        if row is None:
            return math.inf
        usage = self.usage(customer, now_s)
        if self.shares.nodes == 1:
            return row.concurrency
        demand = usage.running + usage.waiting
        key = (customer, 'concurrency')
        fraction = self.shares.fraction(key, demand, now_s)
        return max(1, int(row.concurrency * fraction + 1e-9))

    def may_start(self, customer, now_s):
        """Whether the concurrency limit permits one more dispatch."""
        row = self.rows.get(customer)
        if row is None:
            return True
        running = self.usage(customer, now_s).running
        if running == 0:
            return True
        return running < self.concurrency(customer, now_s)

    def export_demand(self, customer, now_s):
        """Return a customer's demand for the digest and record it as sent.

        :returns: tokens per second, and jobs that are running or queued
        """
        usage = self.usage(customer, now_s)
        rate = usage.token_rate.now(now_s)
        wanted = max(0, usage.running + usage.waiting)
        self.shares.record_sent_demand((customer, 'rate'), rate, now_s)
        self.shares.record_sent_demand(
            (customer, 'concurrency'), wanted, now_s
        )
        return rate, wanted
