"""The task that settles claims of foreign keys with the store."""

import typing

import gevent

from magnoliadyke.core import claims
from magnoliadyke import keyvalue
from magnoliadyke import mailbox

__all__ = ['AskClaim', 'Claiming']

KEY_PREFIX = 'claims/'
GATHER_S = 0.005
LONGEST_POSTPONED_S = 3.0


class AskClaim(mailbox.Ask):
    """Claim a key; answered with ``Won``, ``Lost`` or ``Refused``.

    :param digest: :func:`magnoliadyke.core.claims.claim_digest`
    """

    def __init__(self, digest):
        super().__init__()
        self.digest = digest


class Flush:
    """Time to write the claims that have gathered."""


class Again(typing.NamedTuple):
    """Time to make a postponed call."""

    bucket: str


class StoreSaid:
    """The store's answer to a call for a bucket.

    :param action: the :class:`claims.Read` or :class:`claims.Write`
    :param answer: tagged outcome of :mod:`magnoliadyke.keyvalue`
    """

    def __init__(self, action, answer):
        self.action = action
        self.answer = answer


class Claiming(mailbox.Task):
    """Owns the node's :class:`claims.ClaimBook`.

    :param owner: ``HOST.INCARNATION`` of this node
    :param store: :class:`magnoliadyke.keyvalue.KeyValue`
    :param prefix: start of every store key of the deployment
    """

    def __init__(self, owner, store, prefix, clock):
        super().__init__('claiming', clock)
        self.book = claims.ClaimBook(owner)
        self.store = store
        self.prefix = prefix
        self.waiting = {}
        self.flush_due = False
        self.postponed_s = {}

    def handle(self, message):
        """Act on a wish or on the store's answer."""
        wall_s = self.clock.wall_s()
        match message:
            case AskClaim(digest=digest):
                self.waiting.setdefault(digest, []).append(message)
                self.apply(self.book.add(digest))
                self.flush_soon()
            case Flush():
                self.flush_due = False
                self.apply(self.book.flush(wall_s))
            case Again(bucket):
                self.apply(self.book.again(bucket, wall_s))
            case StoreSaid(action=action, answer=answer):
                if not isinstance(answer, keyvalue.RateLimited):
                    self.postponed_s.pop(action.bucket, None)
                self.apply(self.heard(action, answer, wall_s))

    def flush_soon(self):
        """Gather claims for a few milliseconds, then write them."""
        if not self.flush_due:
            self.flush_due = True
            gevent.spawn_later(GATHER_S, self.post, Flush())

    def heard(self, action, answer, wall_s):
        """Return what follows from an answer of the store."""
        book, name = self.book, action.bucket
        match answer:
            case keyvalue.Found(value=value, revision=revision):
                return book.was_read(name, value, revision, wall_s)
            case keyvalue.Absent():
                return book.was_read(name, None, 0, wall_s)
            case keyvalue.Stored(revision=revision):
                return book.was_written(name, revision, wall_s)
            case keyvalue.Conflict(revision=revision, value=value):
                return book.was_refused(name, value, revision, wall_s)
            case keyvalue.Unavailable(maybe_applied=maybe_applied):
                return book.failed(name, maybe_applied)
            case keyvalue.RateLimited(retry_after_s=retry_after_s):
                return self.postpone(name, retry_after_s)
            case _:
                return book.failed(name, False)

    def postpone(self, name, retry_after_s):
        """Try a bucket's call again a little later, not for long."""
        waited_s = self.postponed_s.get(name, 0.0) + retry_after_s
        if waited_s > LONGEST_POSTPONED_S:
            self.postponed_s.pop(name, None)
            return self.book.failed(name, False)
        self.postponed_s[name] = waited_s
        gevent.spawn_later(retry_after_s, self.post, Again(name))
        return self.book.postponed(name)

    def apply(self, actions):
        """Carry out actions; calls to the store run beside the task."""
        for action in actions:
            match action:
                case claims.Read() | claims.Write():
                    gevent.spawn(self.call, action)
                case _:
                    self.answer(action)

    def answer(self, settled):
        """Answer all who asked for a claim."""
        for message in self.waiting.pop(settled.claim.digest, ()):
            message.reply(settled)

    def owner_of(self, digest):
        """Return who holds a claim, by the store; ``''`` if not known.

        Unlike a claim it leaves no trace, so that asking for an answer does
        not take the key from the request that may still come.
        """
        found = self.store.get(self.store_key(self.book.name_of(digest)))
        if not isinstance(found, keyvalue.Found):
            return ''
        entry = claims.decode(found.value).get(digest)
        return entry.owner if entry is not None else ''

    def store_key(self, bucket):
        """Return the store's key of a bucket."""
        return f'{self.prefix}{KEY_PREFIX}{bucket}'

    def call(self, action):
        """Make one call to the store."""
        key = self.store_key(action.bucket)
        match action:
            case claims.Read():
                answer = self.store.get(key)
            case claims.Write(value=value, if_revision=revision):
                answer = self.store.put(key, value, revision)
        self.post(StoreSaid(action, answer))
