"""Batched claims, in the store, of keys that callers chose themselves."""

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

# 64 bits: if two keys share a digest, requests for the second are sent to the
# home of the first and get no answer there; no request runs twice.
DIGEST_DIGITS = 16
MINUTE_S = 60
BUCKET_DIGITS = 4


class ClaimSettings(typing.NamedTuple):
    """Limits of the claims.

    :param buckets: number of values in the store that hold the claims
    :param keep_s: how long a claim is kept, in seconds
    :param bucket_bytes: maximum size of a bucket's value, in bytes
    :param cached_entries: a bucket with more entries is read again for each
        batch instead of being kept in memory
    """

    buckets: int = 16
    keep_s: float = 86400.0
    bucket_bytes: int = 900_000
    cached_entries: int = 500


DEFAULTS = ClaimSettings()


class Entry(typing.NamedTuple):
    """A claim as stored in a bucket.

    :param owner: ``HOST.INCARNATION`` of the node that holds the key
    :param minute: when the claim was made, in minutes since the epoch
    """

    owner: str
    minute: int


def encode(entries):
    """Return a bucket's value: by owner and minute, the joined digests.

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
    """Return the entries that :func:`encode` wrote, by digest.

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
    """A node's request to become the home of a foreign key.

    :param digest: :func:`claim_digest` of customer and key
    :param owner: ``HOST.INCARNATION`` of the claiming node
    """

    digest: str
    owner: str

    @property
    def mark(self):
        """Return the text that represents the claim in the store."""
        return self.owner


@dataclasses.dataclass(frozen=True, slots=True)
class Read:
    """Read a bucket, then call :meth:`ClaimTable.record_read`."""

    bucket: str


@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """Compare-and-swap a bucket, then report the outcome.

    :param if_revision: revision that the bucket must have, 0 if it must be
        absent
    """

    bucket: str
    value: str
    if_revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Won:
    """The claiming node is the home of the key."""

    claim: Claim


@dataclasses.dataclass(frozen=True, slots=True)
class Lost:
    """The key was claimed before, by another node or by this one.

    :param owner: ``HOST.INCARNATION`` of the node that holds the key
    """

    claim: Claim
    owner: str


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The claim failed: no request with the key may run.

    :param reason: ``claims_unavailable`` or ``claims_full``
    """

    claim: Claim
    reason: str


def claim_digest(customer, key):
    """Return the digest of a customer's foreign key, in hex."""
    text = f'{customer}\0{key}'.encode()
    return hashlib.sha256(text).hexdigest()[:DIGEST_DIGITS]


@dataclasses.dataclass(slots=True)
class Bucket:
    """State of one bucket on this node.

    :ivar revision: revision of ``entries``
    :ivar entries: cached :class:`Entry` by digest
    :ivar known: whether ``entries`` were read from the store
    :ivar busy: whether a call for the bucket is in flight or postponed
    :ivar waiting: claims for the next call, by digest
    :ivar written: claims of the write in flight, by digest
    :ivar doubtful: claims whose write got no answer, by digest; the store
        may hold them
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
    """Batches claims, so that many claims need few calls to the store.

    Claims are batched until :meth:`flush`. At most one call per bucket is in
    flight; claims that are added meanwhile share the next one. Methods that
    change the state return a list of actions.

    :param owner: ``HOST.INCARNATION`` of this node
    :param settings: :class:`ClaimSettings`
    """

    def __init__(self, owner, settings=DEFAULTS):
        self.owner = owner
        self.settings = settings
        self.buckets = {}
        self.pending = {}

    def bucket_name(self, digest):
        """Return the name of the bucket that a claim belongs to."""
        number = int(digest[:BUCKET_DIGITS], 16) % self.settings.buckets
        return f'{number:03x}'

    def bucket_of(self, digest):
        """Return the bucket that a claim belongs to."""
        name = self.bucket_name(digest)
        return self.buckets.setdefault(name, Bucket(name))

    def add(self, digest):
        """Add a claim to the next flush.

        :param digest: :func:`claim_digest` of the key
        :return: actions: :class:`Lost` if the cached bucket shows an owner
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
        """Return the store calls for the claims added since the last flush.

        :param wall_s: seconds since the epoch
        """
        pending, self.pending = self.pending, {}
        actions = []
        for bucket in pending.values():
            actions += self.advance(bucket, wall_s)
        return actions

    def advance(self, bucket, wall_s):
        """Return the next store call of a bucket if claims wait for one."""
        if bucket.busy or not bucket.waiting:
            return []
        bucket.busy = True
        if not bucket.known:
            return [Read(bucket.name)]
        return self.write(bucket, wall_s)

    def write(self, bucket, wall_s):
        """Settle the claims whose keys have an owner, and write the others."""
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
        """Return the entries that have not expired."""
        oldest = (wall_s - self.settings.keep_s) // MINUTE_S
        return {
            digest: entry
            for digest, entry in bucket.entries.items()
            if entry.minute >= oldest
        }

    def settle(self, bucket):
        """Settle the waiting claims whose keys already have an owner.

        A claim whose entry is of this node, but whose write got no answer,
        succeeds: no request with the key has run yet.
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
        """Refuse all waiting claims of a bucket."""
        actions = [Refused(claim, reason) for claim in bucket.waiting.values()]
        bucket.waiting = {}
        bucket.busy = False
        return actions

    def record_read(self, name, value, revision, wall_s):
        """Process the value that a read of a bucket returned.

        :param value: text, or None when the bucket is absent
        :param revision: the bucket's revision, 0 when absent
        """
        bucket = self.buckets[name]
        self.learn(bucket, value, revision)
        return self.write(bucket, wall_s)

    def record_written(self, name, revision, wall_s):
        """Settle the claims of a write that succeeded."""
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
        """Retry after a write failed because another node wrote first.

        :param value: the bucket's present value
        :param revision: the bucket's present revision
        """
        bucket = self.buckets[name]
        bucket.waiting = {**bucket.written, **bucket.waiting}
        bucket.written = {}
        self.learn(bucket, value, revision)
        return self.write(bucket, wall_s)

    def record_postponed(self, name):
        """Add the claims of a postponed store call to the waiting ones.

        Claims that are added before :meth:`retry_call` share the call.
        """
        bucket = self.buckets[name]
        bucket.waiting = {**bucket.written, **bucket.waiting}
        bucket.written = {}
        return []

    def retry_call(self, name, wall_s):
        """Return the actions of a postponed store call."""
        bucket = self.buckets[name]
        if not bucket.known:
            return [Read(name)]
        return self.write(bucket, wall_s)

    def record_failure(self, name, maybe_applied):
        """Refuse the claims of a call that the store did not answer.

        No request runs under them. Claims of a write that may have taken
        effect are kept in ``doubtful``, so that the next attempt for the
        same key on this node recognises its own entry and may run.

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
        """Replace the cached entries of a bucket by the store's value."""
        bucket.entries = decode(value)
        bucket.revision = revision
        bucket.known = True
