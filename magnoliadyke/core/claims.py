"""Batched claims, in the store, of keys that callers made up themselves."""

import dataclasses
import hashlib
import json
import typing

__all__ = [
    'Claim',
    'ClaimTable',
    'ClaimSettings',
    'Lost',
    'Read',
    'Refused',
    'Won',
    'Write',
    'claim_digest',
]

# 64 bits: should two keys ever share a digest, the second is sent to the
# owner of the first and gets no answer there; it does not run twice.
DIGEST_DIGITS = 16
MINUTE_S = 60
BUCKET_DIGITS = 4


class ClaimSettings(typing.NamedTuple):
    """Bounds of the claims.

    :param buckets: values in the store that the claims are spread over
    :param keep_s: how long a claim is kept, in seconds
    :param bucket_bytes: longest value of a bucket, in bytes
    :param cached_entries: a bucket with more entries is read again for each
        batch instead of being kept in memory
    """

    buckets: int = 16
    keep_s: float = 86400.0
    bucket_bytes: int = 900_000
    cached_entries: int = 500


DEFAULTS = ClaimSettings()


class Entry(typing.NamedTuple):
    """A claim as a bucket holds it.

    :param minute: when it was made, in minutes since the epoch
    """

    owner: str
    minute: int


def encode(entries):
    """Return a bucket's value: digests by owner and minute, end to end.

    :param entries: :class:`Entry` by digest
    """
    grouped = {}
    for digest, entry in entries.items():
        minutes = grouped.setdefault(entry.owner, {})
        minutes.setdefault(entry.minute, []).append(digest)
    document = {
        owner: {minute: ''.join(each) for minute, each in minutes.items()}
        for owner, minutes in grouped.items()
    }
    return json.dumps(document, separators=(',', ':'))


def decode(value):
    """Return what :func:`encode` wrote.

    :param value: text, or None when the bucket is absent
    """
    entries = {}
    for owner, minutes in json.loads(value or '{}').items():
        for minute, digests in minutes.items():
            entry = Entry(owner, int(minute))
            for start in range(0, len(digests), DIGEST_DIGITS):
                entries[digests[start : start + DIGEST_DIGITS]] = entry
    return entries


class Claim(typing.NamedTuple):
    """A wish to be the one home of a foreign key.

    :param digest: of customer and key
    :param owner: ``HOST.INCARNATION`` of the claiming node
    """

    digest: str
    owner: str

    @property
    def mark(self):
        """Return the text that stands for the claim in the store."""
        return self.owner


@dataclasses.dataclass(frozen=True, slots=True)
class Read:
    """Read a bucket, then report :meth:`ClaimTable.was_read`."""

    bucket: str


@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """Compare-and-swap a bucket, then report the outcome.

    :param if_revision: revision that must be there, 0 for none
    """

    bucket: str
    value: str
    if_revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Won:
    """The claimer is the home of the key."""

    claim: Claim


@dataclasses.dataclass(frozen=True, slots=True)
class Lost:
    """Another node is the home, or this one since an earlier claim.

    :param owner: ``HOST.INCARNATION`` that holds the key
    """

    claim: Claim
    owner: str


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The claim could not be settled and is not in force for certain.

    :param reason: ``claims_unavailable`` or ``claims_full``
    """

    claim: Claim
    reason: str


def claim_digest(customer, key):
    """Return the digest of a customer's foreign key."""
    text = f'{customer}\0{key}'.encode()
    return hashlib.sha256(text).hexdigest()[:DIGEST_DIGITS]


@dataclasses.dataclass(slots=True)
class Bucket:
    """What this node knows of one value in the store.

    ``written`` are the claims of a write under way. ``doubtful`` are claims
    whose write had no answer: they may stand in the store already.
    """

    name: str
    revision: int = 0
    entries: dict = dataclasses.field(default_factory=dict)
    known: bool = False
    busy: bool = False
    waiting: dict = dataclasses.field(default_factory=dict)
    written: dict = dataclasses.field(default_factory=dict)
    doubtful: dict = dataclasses.field(default_factory=dict)


class ClaimTable:
    """Settle many claims with few calls to the store.

    Claims gather until :meth:`flush`. One call at a time is under way for
    each bucket; claims that come meanwhile share the next one. Every method
    returns a list of actions.

    :param owner: ``HOST.INCARNATION`` of this node
    :param settings: :class:`ClaimSettings`
    """

    def __init__(self, owner, settings=DEFAULTS):
        self.owner = owner
        self.settings = settings
        self.buckets = {}
        self.pending = {}

    def name_of(self, digest):
        """Return the name of the bucket that a claim belongs to."""
        number = int(digest[:BUCKET_DIGITS], 16) % self.settings.buckets
        return f'{number:03x}'

    def bucket_of(self, digest):
        """Return the bucket that a claim belongs to."""
        name = self.name_of(digest)
        return self.buckets.setdefault(name, Bucket(name))

    def add(self, digest):
        """Ask for a claim, to be made with the next flush.

        :param digest: :func:`claim_digest` of the key
        """
        claim = Claim(digest, self.owner)
        bucket = self.bucket_of(digest)
        held = bucket.entries.get(digest)
        if bucket.known and held and digest not in bucket.doubtful:
            return [Lost(claim, held.owner)]
        bucket.waiting[digest] = claim
        self.pending[bucket.name] = bucket
        return []

    def flush(self, wall_s):
        """Start the calls for the claims that have gathered.

        :param wall_s: seconds since the epoch
        """
        pending, self.pending = self.pending, {}
        actions = []
        for bucket in pending.values():
            actions += self.advance(bucket, wall_s)
        return actions

    def advance(self, bucket, wall_s):
        """Start the next call of a bucket, when one is due."""
        if bucket.busy or not bucket.waiting:
            return []
        bucket.busy = True
        if not bucket.known:
            return [Read(bucket.name)]
        return self.write(bucket, wall_s)

    def write(self, bucket, wall_s):
        """Settle the waiting claims that are known, write the others."""
        actions = self.settle(bucket)
        if not bucket.waiting:
            bucket.busy = False
            return actions
        entries = self.fresh_entries(bucket, wall_s)
        for digest, claim in bucket.waiting.items():
            entries[digest] = Entry(claim.owner, int(wall_s // MINUTE_S))
        value = encode(entries)
        if len(value) > self.settings.bucket_bytes:
            return actions + self.refuse(bucket, 'claims_full')
        bucket.written, bucket.waiting = bucket.waiting, {}
        return [*actions, Write(bucket.name, value, bucket.revision)]

    def fresh_entries(self, bucket, wall_s):
        """Return the entries that have not outlived their time."""
        oldest = (wall_s - self.settings.keep_s) // MINUTE_S
        return {
            digest: entry
            for digest, entry in bucket.entries.items()
            if entry.minute >= oldest
        }

    def settle(self, bucket):
        """Answer the waiting claims whose keys have an owner already.

        An entry of our own that a lost answer left in doubt is a win: no
        request has run under it yet.
        """
        actions = []
        for digest, claim in list(bucket.waiting.items()):
            entry = bucket.entries.get(digest)
            if entry is None:
                continue
            del bucket.waiting[digest]
            doubtful = bucket.doubtful.pop(digest, None)
            if doubtful and entry.owner == self.owner:
                actions.append(Won(claim))
            else:
                actions.append(Lost(claim, entry.owner))
        return actions

    def refuse(self, bucket, reason):
        """Give up on the waiting claims."""
        actions = [Refused(claim, reason) for claim in bucket.waiting.values()]
        bucket.waiting = {}
        bucket.busy = False
        return actions

    def record_read(self, name, value, revision, wall_s):
        """Report what a bucket holds.

        :param value: text, or None when the bucket is absent
        :param revision: its revision, 0 when absent
        """
        bucket = self.buckets[name]
        self.learn(bucket, value, revision)
        return self.write(bucket, wall_s)

    def record_written(self, name, revision, wall_s):
        """Report that a write took effect."""
        bucket = self.buckets[name]
        actions = []
        for digest, claim in bucket.written.items():
            minute = int(wall_s // MINUTE_S)
            bucket.entries[digest] = Entry(claim.owner, minute)
            bucket.doubtful.pop(digest, None)
            actions.append(Won(claim))
        bucket.revision = revision
        bucket.written = {}
        bucket.busy = False
        if len(bucket.entries) > self.settings.cached_entries:
            bucket.entries = {}
            bucket.known = False
        return actions + self.advance(bucket, wall_s)

    def record_conflict(self, name, value, revision, wall_s):
        """Report that another node wrote first, and what it wrote."""
        bucket = self.buckets[name]
        bucket.waiting = {**bucket.written, **bucket.waiting}
        bucket.written = {}
        self.learn(bucket, value, revision)
        return self.write(bucket, wall_s)

    def record_postponed(self, name):
        """Report that a call was not made, and will be tried again.

        Claims that come until then share the call.
        """
        bucket = self.buckets[name]
        bucket.waiting = {**bucket.written, **bucket.waiting}
        bucket.written = {}
        return []

    def retry_call(self, name, wall_s):
        """Start a postponed call."""
        bucket = self.buckets[name]
        if not bucket.known:
            return [Read(name)]
        return self.write(bucket, wall_s)

    def record_failure(self, name, maybe_applied):
        """Report that the store did not answer.

        The claims are refused: nothing runs under them. A write that may
        have taken effect is remembered, so that the next try of the same
        key on this node finds its own claim and may run.

        :param maybe_applied: whether the write may have taken effect
        """
        bucket = self.buckets[name]
        if maybe_applied:
            bucket.doubtful.update(bucket.written)
        bucket.waiting = {**bucket.written, **bucket.waiting}
        bucket.written = {}
        bucket.known = False
        return self.refuse(bucket, 'claims_unavailable')

    def learn(self, bucket, value, revision):
        """Take over what the store holds."""
        bucket.entries = decode(value)
        bucket.revision = revision
        bucket.known = True
