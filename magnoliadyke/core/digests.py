"""What a node tells its peers about its work, in a few hundred bytes.

The size depends neither on the endpoints nor on the customers: each digest
carries the customers whose figures moved most since they were last told and
goes round the rest. All figures are totals or levels, so a lost digest is
made good by the next.

A digest has at most :data:`MOST_BYTES` bytes: 8 for the head, 4 pools of
28, 16 customers of 14, and suspects in 240.
"""

import struct
from typing import NamedTuple

from magnoliadyke.core import quarantine

__all__ = [
    'MOST_BYTES',
    'MOST_CUSTOMERS',
    'MOST_POOLS',
    'CustomerNews',
    'Digest',
    'PoolNews',
    'SuspectNews',
    'blames_of',
    'served_ms',
    'served_since_s',
    'suspect_news',
]

VERSION = 1
HEAD = struct.Struct('!BBBBI')
POOL = struct.Struct('!IfffffHH')
CUSTOMER = struct.Struct('!IIfH')
SUSPECT = struct.Struct('!6sIBBBB')
BLAME = struct.Struct('!IH')

MOST_POOLS = 4
MOST_CUSTOMERS = 16
SUSPECT_BYTES = 240
MOST_BYTES = (
    HEAD.size
    + MOST_POOLS * POOL.size
    + MOST_CUSTOMERS * CUSTOMER.size
    + SUSPECT_BYTES
)

CLEARED_BIT = 0x80
COUNT_BITS = 0x0F
AGE_UNIT_S = 0.1
MOST_COUNT = 0xFFFF
MOST_BLAMES = 2
LONG_AGO = 0xFF
SERVED_MODULUS = 1 << 32
SERVED_UNIT_S = 0.001


class PoolNews(NamedTuple):
    """A node's demand on one pool.

    :param pool: checksum of the pool's name
    :param asked_s_per_s: engine-seconds that arrive a second
    :param prefill_s_per_s: those of prefill, as far as fair sharing will
        serve them
    :param queued_prefill_s: engine-seconds that wait
    """

    pool: int
    asked_s_per_s: float
    prefill_s_per_s: float
    decode_s_per_s: float
    queued_prefill_s: float
    queued_decode_s: float
    queued: int
    running: int


class CustomerNews(NamedTuple):
    """What a node served a customer in one pool.

    :param customer: checksum of 'customer/pool'
    :param served_ms: engine-milliseconds served, modulo 2**32
    :param tokens_s: tokens a second that the customer asks of the node
    :param wanted: its requests there, running and waiting
    """

    customer: int
    served_ms: int
    tokens_s: float
    wanted: int


class SuspectNews(NamedTuple):
    """A request that may crash engines.

    :param fingerprint: six bytes
    :param waiting_age_s: since it was last known to wait on some node, as
        the sender heard; word of it travels on from node to node
    :param running_age_s: likewise, to run
    :param blames: (checksum of the endpoint, age in seconds) of its crashes
    """

    fingerprint: bytes
    pool: int
    rank: int
    cleared: bool
    waiting_age_s: float
    running_age_s: float
    blames: tuple

    def size(self):
        """Bytes that the news takes in a digest."""
        return SUSPECT.size + len(self.blames) * BLAME.size


class Digest(NamedTuple):
    """All of one node's news.

    :param epoch: changes when the node starts anew, and its totals with it
    """

    epoch: int
    pools: tuple = ()
    customers: tuple = ()
    suspects: tuple = ()

    def to_bytes(self):
        """Encode, within :data:`MOST_BYTES`."""
        pools = self.pools[:MOST_POOLS]
        customers = self.customers[:MOST_CUSTOMERS]
        suspects = _fitting(self.suspects)
        parts = [
            HEAD.pack(
                VERSION, len(pools), len(customers), len(suspects), self.epoch
            )
        ]
        parts.extend(POOL.pack(*_capped(news)) for news in pools)
        for news in customers:
            wanted = min(news.wanted, MOST_COUNT)
            parts.append(CUSTOMER.pack(*news[:3], wanted))
        for news in suspects:
            parts.append(_suspect_bytes(news))
        return b''.join(parts)

    @classmethod
    def from_bytes(cls, data):
        """Decode; what a later version adds behind is left alone.

        :raises ValueError: the bytes are no digest
        """
        try:
            return cls._decode(data)
        except struct.error as error:
            raise ValueError(
                f'digest of {len(data)} bytes is cut short ({error}); '
                'see that all nodes run compatible versions'
            ) from error

    @classmethod
    def _decode(cls, data):
        _, pools, customers, suspects, epoch = HEAD.unpack_from(data)
        at = HEAD.size
        pool_news = []
        for _ in range(pools):
            pool_news.append(PoolNews(*POOL.unpack_from(data, at)))
            at += POOL.size
        customer_news = []
        for _ in range(customers):
            customer_news.append(CustomerNews(*CUSTOMER.unpack_from(data, at)))
            at += CUSTOMER.size
        suspect_news = []
        for _ in range(suspects):
            news = _read_suspect(data, at)
            suspect_news.append(news)
            at += news.size()
        return cls(
            epoch, tuple(pool_news), tuple(customer_news), tuple(suspect_news)
        )


def served_ms(served_s):
    """A running total as it travels."""
    return round(served_s / SERVED_UNIT_S) % SERVED_MODULUS


def served_since_s(before_ms, after_ms):
    """Engine-seconds between two totals; corrections may be negative."""
    passed = (after_ms - before_ms) % SERVED_MODULUS
    if passed >= SERVED_MODULUS // 2:
        passed -= SERVED_MODULUS
    return passed * SERVED_UNIT_S


def _capped(news):
    queued = min(news.queued, MOST_COUNT)
    return (*news[:6], queued, min(news.running, MOST_COUNT))


def _fitting(suspects):
    fitting = []
    left = SUSPECT_BYTES
    for news in suspects:
        left -= news.size()
        if left < 0:
            break
        fitting.append(news)
    return fitting


def _suspect_bytes(news):
    flags = len(news.blames)
    flags |= CLEARED_BIT if news.cleared else 0
    fields = (news.fingerprint, news.pool, news.rank, flags)
    ages = (_age(news.waiting_age_s), _age(news.running_age_s))
    parts = [SUSPECT.pack(*fields, *ages)]
    for crash, age_s in news.blames:
        age = min(max(0, round(age_s / AGE_UNIT_S)), MOST_COUNT)
        parts.append(BLAME.pack(crash, age))
    return b''.join(parts)


def _age(age_s):
    if age_s >= LONG_AGO * AGE_UNIT_S:
        return LONG_AGO
    return max(0, round(age_s / AGE_UNIT_S))


def _age_s(age):
    return float('inf') if age == LONG_AGO else age * AGE_UNIT_S


def _read_suspect(data, at):
    fields = SUSPECT.unpack_from(data, at)
    fingerprint, pool, rank, flags, waiting, running = fields
    at += SUSPECT.size
    blames = []
    for _ in range(flags & COUNT_BITS):
        crash, age = BLAME.unpack_from(data, at)
        blames.append((crash, age * AGE_UNIT_S))
        at += BLAME.size
    return SuspectNews(
        fingerprint,
        pool,
        rank,
        bool(flags & CLEARED_BIT),
        _age_s(waiting),
        _age_s(running),
        tuple(blames),
    )


def suspect_news(item, now_s):
    """News of a (fingerprint, entry) of the quarantine."""
    fingerprint, entry = item
    cleared = not entry.blames
    told = entry.cleared_blames[-MOST_BLAMES:] if cleared else entry.blames
    blames = tuple((blame.crash, now_s - blame.at_s) for blame in told)
    return SuspectNews(
        fingerprint,
        entry.pool,
        entry.rank,
        cleared,
        now_s - entry.waiting_s,
        now_s - entry.running_s,
        blames,
    )


def blames_of(news, now_s):
    """Blames in this node's time."""
    return [
        quarantine.Blame(crash, now_s - age_s) for crash, age_s in news.blames
    ]
