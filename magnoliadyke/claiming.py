"""Task that claims foreign idempotency keys in the store."""

import collections

import gevent

from magnoliadyke.core import claims
from magnoliadyke import keyvalue
from magnoliadyke import mailbox

__all__ = ['ClaimKey', 'ClaimTask']

KEY_PREFIX = 'claims/'
BATCH_DELAY_S = 0.005
#: Maximum number of concurrent calls to the store.
MAX_CONCURRENT_CALLS = 4
#: Longest wait of a bucket for its call; after it, its claims are refused.
MAX_WAIT_S = 5.0
MAX_PAUSE_S = 1.0


class ClaimKey(mailbox.Ask):
    """Request to claim a key for this node.

    The answer is a ``Won``, ``Lost`` or ``Refused`` of
    :mod:`magnoliadyke.core.claims`.

    :param digest: :func:`magnoliadyke.core.claims.claim_digest` of the key
    """

    def __init__(self, digest):
        super().__init__()
        self.digest = digest


class Flush:
    """Write the batched claims; posted ``BATCH_DELAY_S`` after the first."""


class ResumeCalls:
    """Make the postponed calls; posted at the end of a pause."""


class StoreAnswered:
    """The outcome of a store call for a bucket.

    :param action: the :class:`claims.Read` or :class:`claims.Write` called for
    :param answer: an outcome of :mod:`magnoliadyke.keyvalue`
    """

    def __init__(self, action, answer):
        self.action = action
        self.answer = answer


class ClaimTask(mailbox.Task):
    """Owns the node's :class:`claims.ClaimTable`.

    Buckets are queued for their store calls. When the store or the node's own
    budget rejects a call as over the rate limit, the bucket returns to the
    head of the queue and the whole queue pauses, so that other buckets do not
    overtake it before ``MAX_WAIT_S``. Claims that arrive meanwhile share the
    bucket's call.

    :param owner: ``HOST.INCARNATION`` of this node
    :param store: :class:`magnoliadyke.keyvalue.KeyValue`
    :param prefix: start of every store key of the deployment
    :ivar waiting: :class:`ClaimKey` messages without a reply, by digest
    :ivar queue: names of the buckets that need a store call, in order
    :ivar queued_s: monotonic time at which a bucket was queued, by name; kept
        until its call has an outcome
    """

    def __init__(self, owner, store, prefix, clock):
        super().__init__('claiming', clock)
        self.claims = claims.ClaimTable(owner)
        self.store = store
        self.prefix = prefix
        self.waiting = {}
        self.is_flush_scheduled = False
        self.queue = collections.deque()
        self.queued_s = {}
        self.in_flight = 0
        self.paused = False

    def handle(self, message):
        """Handle one message, then start the store calls that it allows."""
        match message:
            case ClaimKey(digest=digest):
                self.waiting.setdefault(digest, []).append(message)
                self.carry_out(self.claims.add(digest))
                self.schedule_flush()
            case Flush():
                self.is_flush_scheduled = False
                self.carry_out(self.claims.flush(self.clock.wall_s()))
            case ResumeCalls():
                self.paused = False
            case StoreAnswered(action=action, answer=answer):
                self.in_flight -= 1
                self.handle_store_answer(action.bucket, answer)
        self.advance()

    def schedule_flush(self):
        """Schedule the write of the claims batched until ``BATCH_DELAY_S``."""
        if not self.is_flush_scheduled:
            self.is_flush_scheduled = True
            gevent.spawn_later(BATCH_DELAY_S, self.post, Flush())

    def handle_store_answer(self, bucket, answer):
        """Handle the outcome of a bucket's store call."""
        match answer:
            case keyvalue.RateLimited(retry_after_s=retry_after_s):
                self.postpone(bucket, retry_after_s)
            case _:
                del self.queued_s[bucket]
                self.carry_out(self.record_outcome(bucket, answer))

    def record_outcome(self, name, answer):
        """Record the outcome of a store call, and return the next actions.

        :param name: name of the bucket
        """
        table, wall_s = self.claims, self.clock.wall_s()
        match answer:
            case keyvalue.Found(value=value, revision=revision):
                return table.record_read(name, value, revision, wall_s)
            case keyvalue.Absent():
                return table.record_read(name, None, 0, wall_s)
            case keyvalue.Stored(revision=revision):
                return table.record_written(name, revision, wall_s)
            case keyvalue.Conflict(revision=revision, value=value):
                return table.record_conflict(name, value, revision, wall_s)
            case keyvalue.Unavailable(maybe_applied=maybe_applied):
                return table.record_failure(name, maybe_applied)
            case _:
                return table.record_failure(name, False)

    def postpone(self, bucket, retry_after_s):
        """Repeat a bucket's call after a pause, or refuse its claims.

        They are refused if the bucket was queued more than ``MAX_WAIT_S`` ago.

        :param retry_after_s: delay that the store or the budget requires, in
            seconds; the pause is at most ``MAX_PAUSE_S``
        """
        if self.clock.now_s() - self.queued_s[bucket] > MAX_WAIT_S:
            del self.queued_s[bucket]
            self.carry_out(self.claims.record_failure(bucket, False))
            return
        self.claims.record_postponed(bucket)
        self.queue.appendleft(bucket)
        if not self.paused:
            self.paused = True
            pause_s = min(retry_after_s, MAX_PAUSE_S)
            gevent.spawn_later(pause_s, self.post, ResumeCalls())

    def carry_out(self, actions):
        """Reply to settled claims, and queue the buckets that need a call."""
        for action in actions:
            match action:
                case claims.Read(bucket) | claims.Write(bucket):
                    self.queue.append(bucket)
                    self.queued_s[bucket] = self.clock.now_s()
                case _:
                    self.answer(action)

    def advance(self):
        """Start calls for the buckets at the head of the queue."""
        while (
            self.queue
            and not self.paused
            and self.in_flight < MAX_CONCURRENT_CALLS
        ):
            self.spawn_call(self.queue.popleft())

    def spawn_call(self, bucket):
        """Start a bucket's call with all claims that wait for it now.

        No call is made if the bucket's cached entries settle all of them.
        """
        self.claims.record_postponed(bucket)
        called = False
        for action in self.claims.retry_call(bucket, self.clock.wall_s()):
            match action:
                case claims.Read() | claims.Write():
                    called = True
                    self.in_flight += 1
                    gevent.spawn(self.call_store, action)
                case _:
                    self.answer(action)
        if not called:
            del self.queued_s[bucket]

    def answer(self, settled):
        """Reply to all messages that requested a claim."""
        for message in self.waiting.pop(settled.claim.digest, ()):
            message.reply(settled)

    def fetch_owner(self, digest):
        """Read the owner of a key from the store; ``''`` if it has no record.

        Unlike a claim, this writes nothing: a lookup of an answer does not
        take the key from a request that may still arrive.
        """
        found = self.store.get(self.store_key(self.claims.bucket_name(digest)))
        if not isinstance(found, keyvalue.Found):
            return ''
        entry = claims.decode(found.value).get(digest)
        return entry.owner if entry is not None else ''

    def store_key(self, bucket):
        """Return the store's key of a bucket."""
        return f'{self.prefix}{KEY_PREFIX}{bucket}'

    def call_store(self, action):
        """Make one call to the store and post its outcome."""
        key = self.store_key(action.bucket)
        match action:
            case claims.Read():
                answer = self.store.get(key)
            case claims.Write(value=value, if_revision=revision):
                answer = self.store.put(key, value, revision)
        self.post(StoreAnswered(action, answer))
