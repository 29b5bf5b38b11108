"""A customer's limits, split between the nodes by demand.

No node asks another before it admits a request.  Each takes a share of the
fleet's limit::

    limit * (BASE / nodes + (1 - BASE) * heard / nodes * own / demand)

where ``heard`` counts this node and the peers whose digest is fresh, ``own``
is this node's demand and ``demand`` that of all the heard.  The base lets a
node serve a customer that has just come to it.  The shares of a group that
hears only itself add up to its part of the limit, so a partition by itself
overshoots nothing.

Worst overshoot, for nodes that agree on how many they are:

* rates: one second's burst, and one request a node, since a request is
  admitted whole while its bucket isn't empty;
* concurrency: one request for each node whose share is less than one, as
  no node is kept from serving a customer at all;
* while a peer's digests are lost one way, its share counts twice for at
  most the time until its last digest is stale.

When a group takes the others for dead and has dropped them from its number
of nodes (:meth:`Shares.set_nodes` waits before it follows a fall), each of
`k` groups grants the whole limit: `k` times the limit at the worst.
"""

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

#: Part of a limit that is split evenly, whatever the demand.
BASE_SHARE = 0.25
#: Least retry-after that an exceeded limit tells, in seconds.
MIN_RETRY_S = 0.05


class LimitSettings(NamedTuple):
    """Constants of the split.

    :param fresh_s: how long a peer's digest counts
    :param settle_s: a rise of the own demand counts from then on, when the
        peers have heard of it
    :param node_hold_s: how long dead nodes keep their share
    :param burst_s: seconds of its rate that a bucket holds
    :param rate_memory_s: time constant of measured demand
    """

    fresh_s: float = 15.0
    settle_s: float = 2.0
    node_hold_s: float = 30.0
    burst_s: float = 1.0
    rate_memory_s: float = 5.0


DEFAULT_SETTINGS = LimitSettings()


class Exceeded(NamedTuple):
    """A limit that a request would break."""

    reason: str
    retry_after_s: float


class Rate:
    """Exponentially weighted rate of something, per second."""

    __slots__ = ('at_s', 'memory_s', 'per_s')

    def __init__(self, memory_s, now_s):
        self.memory_s = memory_s
        self.at_s = now_s
        self.per_s = 0.0

    def add(self, amount, now_s):
        """Account an amount that came now."""
        self.per_s = self.now(now_s) + amount / self.memory_s

    def now(self, now_s):
        """Return the rate per second, faded to this moment."""
        passed_s = now_s - self.at_s
        if passed_s > 0:
            self.per_s *= math.exp(-passed_s / self.memory_s)
            self.at_s = now_s
        return self.per_s


class Bucket:
    """Token bucket that admits whole requests while it isn't empty."""

    __slots__ = ('at_s', 'level')

    def __init__(self, level, now_s):
        self.level = level
        self.at_s = now_s

    def refill(self, rate_s, burst, now_s):
        """Fill up what has come in since the last refill.

        :param rate_s: tokens a second
        :param burst: tokens that the bucket holds
        """
        passed_s = max(0.0, now_s - self.at_s)
        self.level = min(burst, self.level + rate_s * passed_s)
        self.at_s = now_s

    def wait_s(self, rate_s):
        """Seconds until the bucket isn't empty."""
        if self.level > 0:
            return 0.0
        return (1e-9 - self.level) / max(rate_s, 1e-9)


class _Peer(NamedTuple):
    received_s: float
    demands: dict


class Shares:
    """This node's part of fleet-wide limits, from peers' demand."""

    def __init__(self, settings=DEFAULT_SETTINGS):
        self.settings = settings
        self.nodes = 1
        self.lower_nodes = 1
        self.lower_since_s = 0.0
        self.peers = {}
        self.sent_demands = {}

    def set_nodes(self, count, now_s):
        """Follow a rise at once, and a fall after a while.

        Nodes that vanish may be on the far side of a partition, serving on.
        Their share is kept for them for ``node_hold_s``; by then they are
        dead, or the partition outlasts what can be bridged.
        """
        if count >= self.nodes:
            self.nodes = self.lower_nodes = max(1, count)
        elif count != self.lower_nodes:
            self.lower_nodes = max(1, count)
            self.lower_since_s = now_s

    def tick(self, now_s):
        """Follow nodes that stay away, and forget silent peers."""
        held_s = now_s - self.lower_since_s
        if self.lower_nodes < self.nodes:
            if held_s >= self.settings.node_hold_s:
                self.nodes = self.lower_nodes
        for host, peer in list(self.peers.items()):
            if now_s - peer.received_s > self.settings.fresh_s:
                del self.peers[host]

    def record_peer_demand(self, host, demands, now_s):
        """Take a peer's demand by key; keys left out keep their figure."""
        known = self.peers.get(host)
        merged = known.demands if known else {}
        for key, demand in demands.items():
            if demand:
                merged[key] = demand
            else:
                merged.pop(key, None)
        self.peers[host] = _Peer(now_s, merged)

    def record_sent_demand(self, key, demand, now_s):
        """The peers are being told this own demand."""
        sent = self.sent_demands.setdefault(key, [])
        sent.append((now_s, demand))
        due_s = now_s - self.settings.settle_s
        while len(sent) > 1 and sent[1][0] <= due_s:
            sent.pop(0)

    def settled_demand(self, key, demand, now_s):
        """Own demand as the peers know it.

        A fall counts at once, a rise only ``settle_s`` after it was told.
        Would a rise count at once, all nodes that see a customer's burst
        begin would each take the whole limit until they had heard of one
        another.
        """
        sent = self.sent_demands.get(key)
        due_s = now_s - self.settings.settle_s
        if not sent or sent[0][0] > due_s:
            return 0.0
        known = [(at_s, value) for at_s, value in sent if at_s > due_s]
        last = sent[len(sent) - len(known) - 1][1]
        return min(demand, last, *[value for _, value in known])

    def fraction(self, key, demand, now_s):
        """This node's part of the limit, 0 to 1."""
        if self.nodes == 1:
            return 1.0
        own = self.settled_demand(key, demand, now_s)
        demands = [
            peer.demands.get(key, 0.0) for peer in self._fresh_peers(now_s)
        ]
        reporting = min(1 + len(demands), self.nodes)
        total = own + sum(demands)
        part = own / total if total > 0 else 1.0 / (1 + len(demands))
        split = (1.0 - BASE_SHARE) * reporting / self.nodes * part
        return BASE_SHARE / self.nodes + split

    def _fresh_peers(self, now_s):
        oldest_s = now_s - self.settings.fresh_s
        return [p for p in self.peers.values() if p.received_s >= oldest_s]


class _Usage:
    """What one customer uses here."""

    __slots__ = ('requests', 'running', 'token_rate', 'tokens', 'waiting')

    def __init__(self, settings, now_s):
        self.running = 0
        self.waiting = 0
        self.token_rate = Rate(settings.rate_memory_s, now_s)
        self.requests = Bucket(math.inf, now_s)
        self.tokens = Bucket(math.inf, now_s)


class Limits:
    """Limits of all customers on this node.

    :param shares: how fleet-wide limits are split
    """

    def __init__(self, shares, settings=DEFAULT_SETTINGS):
        self.settings = settings
        self.shares = shares
        self.rows = {}
        self.usages = {}

    def set_rows(self, rows):
        """Take the customers' rows of a new table.

        :param rows: customer to :class:`magnoliadyke.core.schema.CustomerRow`
        """
        self.rows = rows

    def usage(self, customer, now_s=0.0):
        """Return what a customer uses here, made when missing."""
        usage = self.usages.get(customer)
        if usage is None:
            usage = _Usage(self.settings, now_s)
            self.usages[customer] = usage
        return usage

    def admit(self, customer, tokens, now_s):
        """Account a new request.

        :param tokens: prompt and expected output
        :returns: None, or :class:`Exceeded` and nothing is accounted
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
        """Account what a job used beyond the estimate, or give back."""
        row = self.rows.get(customer)
        if row is not None and row.tokens_s:
            self.usage(customer).tokens.level -= tokens

    def concurrency(self, customer, now_s):
        """Requests of the customer that this node may run at once."""
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
        """Whether a job of the customer may go to an endpoint now."""
        row = self.rows.get(customer)
        if row is None:
            return True
        running = self.usage(customer, now_s).running
        if running == 0:
            return True
        return running < self.concurrency(customer, now_s)

    def export_demand(self, customer, now_s):
        """What peers are told now: tokens a second, and jobs wanted."""
        usage = self.usage(customer, now_s)
        rate = usage.token_rate.now(now_s)
        wanted = max(0, usage.running + usage.waiting)
        self.shares.record_sent_demand((customer, 'rate'), rate, now_s)
        self.shares.record_sent_demand(
            (customer, 'concurrency'), wanted, now_s
        )
        return rate, wanted
