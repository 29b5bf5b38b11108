"""Gossip digests: load and suspect requests of a node in a bounded size."""

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
#: Crashes in the report of a cleared request; the latest are sent.
MAX_BLAMES = 2
#: Encodes every age from AGE_UNBOUNDED * AGE_UNIT_S up; decoded as infinity.
AGE_UNBOUNDED = 0xFF
SERVED_MODULUS = 1 << 32
SERVED_UNIT_S = 0.001


class PoolDemand(NamedTuple):
    """A node's demand on one pool.

    :param pool: checksum of the pool's name
    :param arriving_s_per_s: engine-seconds of work that arrive per second
    :param prefill_s_per_s: engine-seconds of prefill that arrive per second
        and that fair sharing admits
    :param decode_s_per_s: the same for decode
    :param queued_prefill_s: engine-seconds of prefill that wait in the queue
        and that fair sharing admits
    :param queued_decode_s: the same for decode
    :param queued: jobs in the queue
    :param running: jobs dispatched and not finished
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
    """A customer's usage of one pool through one node.

    :param customer: checksum of 'customer/pool'
    :param served_ms: engine-milliseconds served, modulo 2**32
    :param tokens_s: tokens per second that the customer requests of the node
    :param active_requests: its running and waiting requests at the node
    """

    customer: int
    served_ms: int
    tokens_s: float
    active_requests: int


class SuspectReport(NamedTuple):
    """A request that may crash engines.

    :param fingerprint: digest of the request, six bytes
    :param pool: checksum of the pool's name
    :param tokens_at_crash: output tokens before the crash, at most 255; a
        request with fewer is more suspect
    :param cleared: whether it was found that the request did not cause the
        crashes in ``blames``
    :param waiting_age_s: seconds since the latest report that the request
        waits on any node; nodes forward the reports of other nodes
    :param running_age_s: seconds since the latest report that it runs on
        any node
    :param blames: crashes attributed to the request, each as (checksum of
        the endpoint, age in seconds)
    """

    fingerprint: bytes
    pool: int
    tokens_at_crash: int
    cleared: bool
    waiting_age_s: float
    running_age_s: float
    blames: tuple

    def size(self):
        """Encoded size of the report in bytes."""
        return SUSPECT.size + len(self.blames) * BLAME.size


class Digest(NamedTuple):
    """Demand, customer usage and suspect requests of one node.

    The size depends neither on the number of endpoints nor on that of
    customers: a digest carries the customers whose figures have changed most
    since they were last sent, and the others in turn.  All figures are totals
    or levels, so the next digest makes up for a lost one.

    A digest takes at most :data:`MAX_BYTES` bytes: 8 for the header, 4 pools
    of 28 bytes, 16 customers of 14 bytes, and 240 bytes for suspects.

    :param epoch: changes at a restart of the node, which resets its totals
    """

    epoch: int
    pools: tuple = ()
    customers: tuple = ()
    suspects: tuple = ()

    def to_bytes(self):
        """Encode in at most :data:`MAX_BYTES` bytes.

        Entries beyond the limits are left out.
        """
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
            active_requests = min(report.active_requests, MAX_UINT16)
            parts.append(CUSTOMER.pack(*report[:3], active_requests))
        for report in suspects:
            parts.append(_encode_suspect(report))
        return b''.join(parts)

    @classmethod
    def from_bytes(cls, data):
        """Decode; fields that a later version appends are ignored.

        :raises ValueError: the bytes end before the digest does
        """
        try:
            return cls._decode(data)
        except struct.error as error:
            raise ValueError(
                f'gossip digest of {len(data)} bytes is truncated ({error}); '
                'check that all nodes run compatible versions'
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
    """Encode a running total of engine-seconds, modulo 2**32 ms."""
    return round(served_s / SERVED_UNIT_S) % SERVED_MODULUS


def served_since_s(before_ms, after_ms):
    """Engine-seconds between two totals.

    The result is negative if the total was corrected downwards.
    """
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
    fields = (report.fingerprint, report.pool, report.tokens_at_crash, flags)
    ages = (
        _encode_age(report.waiting_age_s),
        _encode_age(report.running_age_s),
    )
    parts = [SUSPECT.pack(*fields, *ages)]
    for endpoint_checksum, age_s in report.blames:
        age = min(max(0, round(age_s / AGE_UNIT_S)), MAX_UINT16)
        parts.append(BLAME.pack(endpoint_checksum, age))
    return b''.join(parts)


def _encode_age(age_s):
    if age_s >= AGE_UNBOUNDED * AGE_UNIT_S:
        return AGE_UNBOUNDED
    return max(0, round(age_s / AGE_UNIT_S))


def _decode_age_s(age):
    return float('inf') if age == AGE_UNBOUNDED else age * AGE_UNIT_S


def _decode_suspect(data, offset):
    fields = SUSPECT.unpack_from(data, offset)
    fingerprint, pool, tokens_at_crash, flags, waiting, running = fields
    offset += SUSPECT.size
    blames = []
    for _ in range(flags & COUNT_BITS):
        endpoint_checksum, age = BLAME.unpack_from(data, offset)
        blames.append((endpoint_checksum, age * AGE_UNIT_S))
        offset += BLAME.size
    return SuspectReport(
        fingerprint,
        pool,
        tokens_at_crash,
        bool(flags & CLEARED_BIT),
        _decode_age_s(waiting),
        _decode_age_s(running),
        tuple(blames),
    )


def suspect_report(item, now_s):
    """Build the report of a quarantine entry.

    :param item: (fingerprint, entry)
    """
    fingerprint, entry = item
    cleared = not entry.blames
    blames_to_send = (
        entry.cleared_blames[-MAX_BLAMES:] if cleared else entry.blames
    )
    blames = tuple(
        (blame.endpoint_checksum, now_s - blame.at_s)
        for blame in blames_to_send
    )
    return SuspectReport(
        fingerprint,
        entry.pool,
        entry.tokens_at_crash,
        cleared,
        now_s - entry.waiting_s,
        now_s - entry.running_s,
        blames,
    )


def blames_of(report, now_s):
    """The crashes of a report, with times of this node's clock."""
    return [
        quarantine.Blame(endpoint_checksum, now_s - age_s)
        for endpoint_checksum, age_s in report.blames
    ]
