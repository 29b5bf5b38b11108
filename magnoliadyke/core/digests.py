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
    'MAX_BYTES',
    'MAX_CUSTOMERS',
    'MAX_POOLS',
    'CustomerUsage',
    'Digest',
    'PoolDemand',
    'SuspectReport',
    'blames_of',
    'served_ms',
    'served_since_s',
    'suspect_report',
]

VERSION = 1
HEAD = struct.Struct('!BBBBI')
POOL = struct.Struct('!IfffffHH')
CUSTOMER = struct.Struct('!IIfH')
SUSPECT = struct.Struct('!6sIBBBB')
BLAME = struct.Struct('!IH')

MAX_POOLS = 4
MAX_CUSTOMERS = 16
MAX_SUSPECTS_BYTES = 240
MAX_BYTES = (
    HEAD.size
    + MAX_POOLS * POOL.size
    + MAX_CUSTOMERS * CUSTOMER.size
    + MAX_SUSPECTS_BYTES
)

CLEARED_BIT = 0x80
COUNT_BITS = 0x0F
AGE_UNIT_S = 0.1
MAX_UINT16 = 0xFFFF
MAX_BLAMES = 2
AGE_UNBOUNDED = 0xFF
SERVED_MODULUS = 1 << 32
SERVED_UNIT_S = 0.001


class PoolDemand(NamedTuple):
    """A node's demand on one pool.

    :param pool: checksum of the pool's name
    :param asked_s_per_s: engine-seconds that arrive a second
    :param prefill_s_per_s: those of prefill, as far as fair sharing will
        serve them
    :param queued_prefill_s: engine-seconds that wait
    """

    pool: int
    arriving_s_per_s: float
    prefill_s_per_s: float
    decode_s_per_s: float
    queued_prefill_s: float
    queued_decode_s: float
    queued: int
    running: int


class CustomerUsage(NamedTuple):
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


class SuspectReport(NamedTuple):
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
        pools = self.pools[:MAX_POOLS]
        customers = self.customers[:MAX_CUSTOMERS]
        suspects = _fitting_suspects(self.suspects)
        parts = [
            HEAD.pack(
                VERSION, len(pools), len(customers), len(suspects), self.epoch
            )
        ]
        parts.extend(
            POOL.pack(*_with_capped_counts(report)) for report in pools
        )
        for report in customers:
            wanted = min(report.wanted, MAX_UINT16)
            parts.append(CUSTOMER.pack(*report[:3], wanted))
        for report in suspects:
            parts.append(_encode_suspect(report))
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
        offset = HEAD.size
        pool_demands = []
        for _ in range(pools):
            pool_demands.append(PoolDemand(*POOL.unpack_from(data, offset)))
            offset += POOL.size
        customer_usages = []
        for _ in range(customers):
            customer_usages.append(
                CustomerUsage(*CUSTOMER.unpack_from(data, offset))
            )
            offset += CUSTOMER.size
        suspect_reports = []
        for _ in range(suspects):
            report = _decode_suspect(data, offset)
            suspect_reports.append(report)
            offset += report.size()
        return cls(
            epoch,
            tuple(pool_demands),
            tuple(customer_usages),
            tuple(suspect_reports),
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


def _with_capped_counts(report):
    queued = min(report.queued, MAX_UINT16)
    return (*report[:6], queued, min(report.running, MAX_UINT16))


def _fitting_suspects(suspects):
    fitting = []
    left = MAX_SUSPECTS_BYTES
    for report in suspects:
        left -= report.size()
        if left < 0:
            break
        fitting.append(report)
    return fitting


def _encode_suspect(report):
    flags = len(report.blames)
    flags |= CLEARED_BIT if report.cleared else 0
    fields = (report.fingerprint, report.pool, report.rank, flags)
    ages = (
        _encode_age(report.waiting_age_s),
        _encode_age(report.running_age_s),
    )
    parts = [SUSPECT.pack(*fields, *ages)]
    for crash, age_s in report.blames:
        age = min(max(0, round(age_s / AGE_UNIT_S)), MAX_UINT16)
        parts.append(BLAME.pack(crash, age))
    return b''.join(parts)


def _encode_age(age_s):
    if age_s >= AGE_UNBOUNDED * AGE_UNIT_S:
        return AGE_UNBOUNDED
    return max(0, round(age_s / AGE_UNIT_S))


def _decode_age_s(age):
    return float('inf') if age == AGE_UNBOUNDED else age * AGE_UNIT_S


def _decode_suspect(data, offset):
    fields = SUSPECT.unpack_from(data, offset)
    fingerprint, pool, rank, flags, waiting, running = fields
    offset += SUSPECT.size
    blames = []
    for _ in range(flags & COUNT_BITS):
        crash, age = BLAME.unpack_from(data, offset)
        blames.append((crash, age * AGE_UNIT_S))
        offset += BLAME.size
    return SuspectReport(
        fingerprint,
        pool,
        rank,
        bool(flags & CLEARED_BIT),
        _decode_age_s(waiting),
        _decode_age_s(running),
        tuple(blames),
    )


def suspect_report(item, now_s):
    """News of a (fingerprint, entry) of the quarantine."""
    fingerprint, entry = item
    cleared = not entry.blames
    blames_to_send = entry.void[-MAX_BLAMES:] if cleared else entry.blames
    blames = tuple(
        (blame.crash, now_s - blame.at_s) for blame in blames_to_send
    )
    return SuspectReport(
        fingerprint,
        entry.pool,
        entry.rank,
        cleared,
        now_s - entry.waiting_s,
        now_s - entry.running_s,
        blames,
    )


def blames_of(report, now_s):
    """Blames in this node's time."""
    return [
        quarantine.Blame(crash, now_s - age_s)
        for crash, age_s in report.blames
    ]
