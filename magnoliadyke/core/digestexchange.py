"""Builds a node's gossip digest and merges the digests of its peers."""

from typing import NamedTuple

from magnoliadyke.core import digests
from magnoliadyke.core import quarantine

__all__ = ['Demand', 'DigestExchange']

MAX_SUSPECTS_SENT = 24
#: Upper bound of the age of a digest when it arrives: it is encoded once a
#: second and sent with all datagrams of that second. The bound is added to
#: the ages in suspect reports. Otherwise reports that nodes forward to each
#: other would hardly age: a run that ended long ago would seem to go on, and
#: no other suspect would be retried.
MAX_DIGEST_DELAY_S = 1.5
#: The state of a peer is dropped after this time without a digest, in seconds.
PEER_RETENTION_S = 60.0
#: Customers whose totals are kept per peer. Those with much usage are in
#: every digest and stay. For another customer whose total was dropped, the
#: usage up to its next report is not counted.
MAX_TOTALS_PER_PEER = 64


class Demand(NamedTuple):
    """Demand of all nodes on a pool, used to plan the roles of its engines.

    It covers only work that fair sharing admits; excess load is rejected.

    :param prefill_s_per_s: engine-seconds of prefill that arrive per second
    :param decode_s_per_s: engine-seconds of decode that arrive per second
    :param queued: jobs in the queues
    :param queued_prefill_s: engine-seconds of prefill in the queues
    :param queued_decode_s: engine-seconds of decode in the queues
    :param running: jobs dispatched and not finished
    """

    prefill_s_per_s: float
    decode_s_per_s: float
    queued: int
    queued_prefill_s: float
    queued_decode_s: float
    running: int


class DigestExchange:
    """Builds and merges digests for one node.

    :param epoch: number that differs at each start of the node
    :param pools: :class:`magnoliadyke.core.pools.PoolQueue` by name
    :param limits: :class:`magnoliadyke.core.limits.Limits`
    :param request_quarantine:
        :class:`magnoliadyke.core.quarantine.Quarantine`
    """

    def __init__(self, epoch, pools, limits, request_quarantine):
        self.epoch = epoch
        self.pools = pools
        self.limits = limits
        self.shares = limits.shares
        self.quarantine = request_quarantine
        self.peers = {}
        self.last_sent = {}
        self.names = {}
        self.rotation = 0

    def digest(self, runs, now_s):
        """Build this node's digest, which is the same for all peers.

        :param runs: jobs of the node, waiting or dispatched
        """
        self._expire_peers(now_s)
        pools = tuple(
            pool.demand_report(now_s) for pool in self.pools.values()
        )
        for report in pools:
            key = ('pool', report.pool)
            self.shares.record_sent_demand(key, report.arriving_s_per_s, now_s)
        suspects = self._suspect_reports(runs, now_s)
        customers = self._customer_usages(now_s)
        return digests.Digest(self.epoch, pools, customers, suspects)

    def receive_digest(self, host, digest, now_s):
        """Merge a peer's digest.

        :param host: the peer
        """
        peer_state = self.peers.get(host)
        if peer_state is None or peer_state.epoch != digest.epoch:
            peer_state = self.peers[host] = _Peer(digest.epoch)
        peer_state.received_s = now_s
        demands = {}
        for report in digest.pools:
            peer_state.pools[report.pool] = report
            demands['pool', report.pool] = report.arriving_s_per_s
        for report in digest.customers:
            self._merge_customer(peer_state, report, demands)
        self.shares.record_peer_demand(host, demands, now_s)
        for report in digest.suspects:
            self._merge_suspect(report, now_s)

    def demand(self, pool_name, now_s):
        """Estimate the demand of all nodes on a pool.

        In a large fleet a node has recent digests of only some peers; the
        mean demand of these is assumed for the others.
        """
        pool = self.pools[pool_name]
        local = pool.demand_report(now_s)[2:]
        peer_demands = self._recent_pool_demands(pool.name_checksum, now_s)
        peer_count = max(0, self.shares.nodes - 1)
        scale = peer_count / len(peer_demands) if peer_demands else 0.0
        sums = [sum(values) for values in zip(*peer_demands, strict=True)]
        sums = sums or [0.0] * len(local)
        total = [a + b * scale for a, b in zip(local, sums, strict=True)]
        prefill, decode, queued_prefill, queued_decode, queued, running = total
        return Demand(
            prefill,
            decode,
            round(queued),
            queued_prefill,
            queued_decode,
            round(running),
        )

    def _expire_peers(self, now_s):
        """Drop the state of peers that no longer send digests.

        Hosts are replaced often, so the state would otherwise grow.
        """
        oldest_s = now_s - PEER_RETENTION_S
        for host, peer in list(self.peers.items()):
            if peer.received_s < oldest_s:
                del self.peers[host]

    def _recent_pool_demands(self, number, now_s):
        """Demand on a pool from each peer with a recent digest.

        :param number: checksum of the pool's name
        """
        oldest_s = now_s - self.shares.settings.fresh_s
        return [
            peer.pools[number][2:]
            for peer in self.peers.values()
            if peer.received_s >= oldest_s and number in peer.pools
        ]

    def _suspect_reports(self, runs, now_s):
        if not self.quarantine.entries:
            return ()
        held = set()
        for run in runs:
            held.add(run.fingerprint)
            if run.dispatched_s is not None:
                self.quarantine.record_running(run.fingerprint, now_s)
        return tuple(
            digests.suspect_report(item, now_s)
            for item in self.quarantine.entries_to_send(
                MAX_SUSPECTS_SENT, now_s, held
            )
        )

    def _customer_usages(self, now_s):
        """Usage of the customers to send in the next digest."""
        usages = {}
        for pool in self.pools.values():
            for customer, served_s in pool.queue.served.items():
                number = self.register_name(customer, pool.name)
                usage = self.limits.usage(customer, now_s)
                usages[number] = digests.CustomerUsage(
                    number,
                    digests.served_ms(served_s),
                    usage.token_rate.now(now_s),
                    max(0, usage.running + usage.waiting),
                )
        chosen = self._select_customers(usages)
        for each in chosen:
            self.last_sent[each.customer] = each
            self.limits.export_demand(self.names[each.customer][0], now_s)
        return tuple(chosen)

    def _select_customers(self, usages):
        max_customers = digests.MAX_CUSTOMERS
        if len(usages) <= max_customers:
            return list(usages.values())
        ranked = sorted(
            usages.values(), key=self._change_since_sent, reverse=True
        )
        chosen = {
            each.customer: each for each in ranked[: max_customers * 3 // 4]
        }
        remaining = sorted(number for number in usages if number not in chosen)
        while len(chosen) < max_customers:
            self.rotation += 1
            number = remaining[self.rotation % len(remaining)]
            chosen[number] = usages[number]
        return list(chosen.values())

    def _change_since_sent(self, usage):
        last_sent = self.last_sent.get(usage.customer)
        if last_sent is None:
            return float('inf')
        served_s = digests.served_since_s(last_sent.served_ms, usage.served_ms)
        active_requests = abs(
            usage.active_requests - last_sent.active_requests
        )
        return abs(served_s) + active_requests * 0.1

    def register_name(self, customer, pool_name):
        """Register the checksum by which digests name a customer and pool.

        :returns: the checksum
        """
        number = quarantine.name_checksum(f'{customer}/{pool_name}')
        self.names[number] = (customer, pool_name)
        return number

    def _merge_customer(self, peer_state, report, demands):
        name = self.names.get(report.customer)
        if name is None:
            return
        customer, pool_name = name
        row = self.limits.rows.get(customer)
        if row is not None and (row.requests_s or row.tokens_s):
            demands[customer, 'rate'] = report.tokens_s
        demands[customer, 'concurrency'] = report.active_requests
        previous_ms = peer_state.served.pop(report.customer, None)
        peer_state.served[report.customer] = report.served_ms
        if len(peer_state.served) > MAX_TOTALS_PER_PEER:
            del peer_state.served[next(iter(peer_state.served))]
        if previous_ms is not None:
            served_s = digests.served_since_s(previous_ms, report.served_ms)
            self.pools[pool_name].queue.charge_remote(customer, served_s)

    def _merge_suspect(self, report, now_s):
        self.quarantine.merge(
            report.fingerprint,
            report.pool,
            report.tokens_at_crash,
            report.cleared,
            digests.blames_of(report, now_s),
            now_s,
        )
        encoded_s = now_s - MAX_DIGEST_DELAY_S
        waiting_s = encoded_s - report.waiting_age_s
        running_s = encoded_s - report.running_age_s
        self.quarantine.record_waiting(report.fingerprint, waiting_s)
        self.quarantine.record_running(report.fingerprint, running_s)


class _Peer:
    """State from the digests of one peer.

    :ivar pools: last :class:`digests.PoolDemand` by pool checksum
    :ivar served: last total in ms by customer checksum
    """

    def __init__(self, epoch):
        self.epoch = epoch
        self.received_s = float('-inf')
        self.pools = {}
        self.served = {}
