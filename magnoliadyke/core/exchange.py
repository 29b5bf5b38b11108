"""What a node tells its peers and makes of what they tell."""

from typing import NamedTuple

from magnoliadyke.core import digests
from magnoliadyke.core import quarantine

__all__ = ['Demand', 'Exchange']

SUSPECTS_TOLD = 24
#: How long a digest may be on its way: it is encoded once a second and rides
#: on the datagrams of that second. Word of suspects is taken to be so much
#: older than it says. Else word that goes round from node to node hardly
#: ages, a run that ended long ago seems to go on, and no suspect gets its
#: turn. Enough, as word then never seems younger than it is.
ON_ITS_WAY_S = 1.5
#: A peer that was not heard for so long is forgotten.
SILENT_S = 60.0
#: Totals remembered of one peer. Customers that it serves much are told in
#: each digest and stay; of the others only a first figure is lost.
MOST_TOTALS = 64


class Demand(NamedTuple):
    """Work that a pool is asked for by all nodes, for the planner of roles.

    Counts what fair sharing will serve; the rest of a flood is refused.

    :param prefill_s_per_s: engine-seconds of prefill arriving a second
    :param decode_s_per_s: engine-seconds of decode arriving a second
    :param queued: jobs that wait
    :param queued_prefill_s: engine-seconds of prefill that wait
    :param queued_decode_s: engine-seconds of decode that wait
    :param running: jobs dispatched and not finished
    """

    prefill_s_per_s: float
    decode_s_per_s: float
    queued: int
    queued_prefill_s: float
    queued_decode_s: float
    running: int


class Exchange:
    """Digests out and in.

    :param epoch: differs at each start of a node
    :param pools: :class:`magnoliadyke.core.pools.PoolQueue` by name
    :param bounds: :class:`magnoliadyke.core.limits.Limits`
    :param judge: :class:`magnoliadyke.core.quarantine.Quarantine`
    """

    def __init__(self, epoch, pools, bounds, judge):
        self.epoch = epoch
        self.pools = pools
        self.limits = bounds
        self.shares = bounds.shares
        self.quarantine = judge
        self.peers = {}
        self.told = {}
        self.names = {}
        self.turn = 0

    def digest(self, runs, now_s):
        """This node's news, for all peers.

        :param runs: the node's jobs
        """
        self._forget_silent(now_s)
        pools = tuple(pool.news(now_s) for pool in self.pools.values())
        for news in pools:
            key = ('pool', news.pool)
            self.shares.tell(key, news.asked_s_per_s, now_s)
        suspects = self._suspect_news(runs, now_s)
        customers = self._customer_news(now_s)
        return digests.Digest(self.epoch, pools, customers, suspects)

    def hear(self, host, digest, now_s):
        """A peer's news."""
        known = self.peers.get(host)
        if known is None or known.epoch != digest.epoch:
            known = self.peers[host] = _Peer(digest.epoch)
        known.heard_s = now_s
        demands = {}
        for news in digest.pools:
            known.pools[news.pool] = news
            demands['pool', news.pool] = news.asked_s_per_s
        for news in digest.customers:
            self._hear_customer(known, news, demands)
        self.shares.hear(host, demands, now_s)
        for news in digest.suspects:
            self._hear_suspect(news, now_s)

    def demand(self, pool_name, now_s):
        """What the pool is asked for by all nodes.

        In a big fleet a node hears some of its peers only; the rest are
        taken to be like these.
        """
        pool = self.pools[pool_name]
        own = pool.news(now_s)[2:]
        heard = self._heard(pool.number, now_s)
        others = max(0, self.shares.nodes - 1)
        scale = others / len(heard) if heard else 0.0
        sums = [sum(values) for values in zip(*heard, strict=True)]
        sums = sums or [0.0] * len(own)
        total = [a + b * scale for a, b in zip(own, sums, strict=True)]
        prefill, decode, queued_prefill, queued_decode, queued, running = total
        return Demand(
            prefill,
            decode,
            round(queued),
            queued_prefill,
            queued_decode,
            round(running),
        )

    def _forget_silent(self, now_s):
        """Hosts are replaced all the time; what they told goes with them."""
        oldest_s = now_s - SILENT_S
        for host, peer in list(self.peers.items()):
            if peer.heard_s < oldest_s:
                del self.peers[host]

    def _heard(self, number, now_s):
        """Figures of a pool from the peers heard of late."""
        oldest_s = now_s - self.shares.settings.fresh_s
        return [
            peer.pools[number][2:]
            for peer in self.peers.values()
            if peer.heard_s >= oldest_s and number in peer.pools
        ]

    def _suspect_news(self, runs, now_s):
        if not self.quarantine.entries:
            return ()
        held = set()
        for run in runs:
            held.add(run.fingerprint)
            if run.dispatched_s is not None:
                self.quarantine.record_running(run.fingerprint, now_s)
        return tuple(
            digests.suspect_news(item, now_s)
            for item in self.quarantine.entries_to_send(
                SUSPECTS_TOLD, now_s, held
            )
        )

    def _customer_news(self, now_s):
        """The customers whose figures moved most, and some of the rest."""
        news = {}
        for pool in self.pools.values():
            for customer, served_s in pool.queue.served.items():
                number = self.know(customer, pool.name)
                usage = self.limits.usage(customer, now_s)
                news[number] = digests.CustomerNews(
                    number,
                    digests.served_ms(served_s),
                    usage.token_rate.now(now_s),
                    max(0, usage.running + usage.waiting),
                )
        chosen = self._moved_most(news)
        for each in chosen:
            self.told[each.customer] = each
            self.limits.tell(self.names[each.customer][0], now_s)
        return tuple(chosen)

    def _moved_most(self, news):
        most = digests.MOST_CUSTOMERS
        if len(news) <= most:
            return list(news.values())
        ranked = sorted(news.values(), key=self._movement, reverse=True)
        chosen = {each.customer: each for each in ranked[: most * 3 // 4]}
        rest = sorted(number for number in news if number not in chosen)
        while len(chosen) < most:
            self.turn += 1
            number = rest[self.turn % len(rest)]
            chosen[number] = news[number]
        return list(chosen.values())

    def _movement(self, news):
        told = self.told.get(news.customer)
        if told is None:
            return float('inf')
        served_s = digests.served_since_s(told.served_ms, news.served_ms)
        wanted = abs(news.wanted - told.wanted)
        return abs(served_s) + wanted * 0.1

    def know(self, customer, pool_name):
        """Learn a name that peers tell as a checksum."""
        number = quarantine.name_checksum(f'{customer}/{pool_name}')
        self.names[number] = (customer, pool_name)
        return number

    def _hear_customer(self, known, news, demands):
        name = self.names.get(news.customer)
        if name is None:
            return
        customer, pool_name = name
        row = self.limits.rows.get(customer)
        if row is not None and (row.requests_s or row.tokens_s):
            demands[customer, 'rate'] = news.tokens_s
        demands[customer, 'concurrency'] = news.wanted
        before = known.served.pop(news.customer, None)
        known.served[news.customer] = news.served_ms
        if len(known.served) > MOST_TOTALS:
            del known.served[next(iter(known.served))]
        if before is not None:
            served_s = digests.served_since_s(before, news.served_ms)
            self.pools[pool_name].queue.charge_remote(customer, served_s)

    def _hear_suspect(self, news, now_s):
        self.quarantine.merge(
            news.fingerprint,
            news.pool,
            news.rank,
            news.cleared,
            digests.blames_of(news, now_s),
            now_s,
        )
        encoded_s = now_s - ON_ITS_WAY_S
        waiting_s = encoded_s - news.waiting_age_s
        running_s = encoded_s - news.running_age_s
        self.quarantine.record_waiting(news.fingerprint, waiting_s)
        self.quarantine.record_running(news.fingerprint, running_s)


class _Peer:
    """What a peer last told."""

    def __init__(self, epoch):
        self.epoch = epoch
        self.heard_s = float('-inf')
        self.pools = {}
        self.served = {}
