"""Quarantine of requests that crash the engines which run them.

A crash is attributed to every request in the engine's batch, though at most
one of them caused it. They become suspects, identified by a fingerprint of
customer and content (a caller may resend under a new key); gossip digests
carry them to all nodes.

* A suspect runs in a batch without other suspects, and after other jobs. The
  most suspicious runs first: the one that had produced the fewest tokens
  when its engine died.
* A suspect that is blamed for a second crash is convicted and rejected. No
  other suspect was in that batch, so it was not there by chance.
* A suspect that completes is cleared. A conviction accounts for the crashes
  of the convicted request, which clears all others blamed for them.

So a request crashes at most two engines: once while unknown, once as the
only suspect. That requires every node to have the report of the first crash
before the request is resent. A node sends the report to all peers before it
answers any caller. A peer that misses one of the two reports but has the
other makes the request wait as a suspect for ``settle_s``, and has both by
then.
"""

import hashlib
from typing import NamedTuple
import zlib

__all__ = [
    'CLEAR',
    'CONVICTED',
    'SUSPECT',
    'Blame',
    'Entry',
    'Quarantine',
    'QuarantineSettings',
    'fingerprint_of',
    'name_checksum',
]

CLEAR = 'clear'
SUSPECT = 'suspect'
CONVICTED = 'convicted'

CRASHES_TO_CONVICT = 2
MAX_TOKENS_AT_CRASH = 255
MAX_CLEARED_BLAMES = 4
FINGERPRINT_BYTES = 6


class QuarantineSettings(NamedTuple):
    """Limits of the quarantine, all times in seconds.

    :param settle_s: time after which all nodes have the report of a crash
    :param same_crash_s: reports of crashes of one endpoint less than this
        apart are of the same crash
    :param suspect_s: retention of a suspect after its latest resend or crash
    :param convicted_s: the same for a convicted request
    :param activity_report_ttl_s: how long a report that a suspect waits or
        runs is valid
    :param max_entries: maximum number of entries kept
    """

    settle_s: float = 5.0
    same_crash_s: float = 5.0
    suspect_s: float = 300.0
    convicted_s: float = 1800.0
    activity_report_ttl_s: float = 8.0
    max_entries: int = 512


DEFAULT_SETTINGS = QuarantineSettings()


class Blame(NamedTuple):
    """A crash during which a request ran on the engine.

    :param endpoint_checksum: checksum of the endpoint's name
    :param at_s: time of the crash, in this node's monotonic seconds
    """

    endpoint_checksum: int
    at_s: float


class Entry:
    """Crash attribution of one fingerprint.

    :ivar blames: crashes that the request may have caused
    :ivar cleared_blames: crashes of which it was cleared; kept because peers
        that have no report of that still send these crashes
    :ivar tokens_at_crash: output tokens that it had when the engine died, at
        most 255; fewer is more suspicious
    :ivar pool: checksum of the name of its pool
    :ivar seen_s: when it was last received or last blamed
    :ivar waiting_s: time of the latest report that it waits on some node
    :ivar running_s: time of the latest report that it runs on some node
    """

    __slots__ = (
        'blames',
        'pool',
        'tokens_at_crash',
        'running_s',
        'seen_s',
        'cleared_blames',
        'waiting_s',
    )

    def __init__(self, tokens_at_crash, pool, now_s):
        self.blames = []
        self.cleared_blames = []
        self.tokens_at_crash = tokens_at_crash
        self.pool = pool
        self.seen_s = now_s
        self.waiting_s = float('-inf')
        self.running_s = float('-inf')

    def verdict(self):
        """Return the verdict: clear, suspect or convicted."""
        if len(self.blames) >= CRASHES_TO_CONVICT:
            return CONVICTED
        return SUSPECT if self.blames else CLEAR

    def clear(self, now_s):
        """Mark the crashes blamed on this request as not caused by it."""
        self.cleared_blames = [*self.cleared_blames, *self.blames][
            -MAX_CLEARED_BLAMES:
        ]
        self.blames = []
        self.seen_s = now_s


def fingerprint_of(text):
    """Return a six-byte digest of a request's customer and content."""
    digest = hashlib.blake2b(text.encode(), digest_size=FINGERPRINT_BYTES)
    return digest.digest()


def name_checksum(name):
    """Return the CRC-32 that represents a name in gossip digests."""
    return zlib.crc32(name.encode())


class Quarantine:
    """The suspected and convicted requests of which this node has a record.

    :ivar entries: :class:`Entry` by fingerprint
    """

    def __init__(self, settings=DEFAULT_SETTINGS):
        self.settings = settings
        self.entries = {}

    def blame(self, endpoint, pool, batch, now_s):
        """Record a crash of an engine against the requests in its batch.

        :param endpoint: name of the engine
        :param pool: name of its pool
        :param batch: (fingerprint, output tokens so far) of each request
        """
        endpoint_checksum = name_checksum(endpoint)
        for fingerprint, tokens in batch:
            tokens_at_crash = min(int(tokens), MAX_TOKENS_AT_CRASH)
            entry = self._entry(
                fingerprint, tokens_at_crash, name_checksum(pool), now_s
            )
            self._add_blame(entry, Blame(endpoint_checksum, now_s))
        self._clear_bystanders(now_s)
        self._trim()

    def verdict(self, fingerprint, now_s):
        """Return the verdict of a request: clear, suspect or convicted."""
        entry = self.entries.get(fingerprint)
        if entry is None or self._is_expired(entry, now_s):
            return CLEAR
        return entry.verdict()

    def extend_retention(self, fingerprint, now_s):
        """Extend the retention of an entry whose request was sent again."""
        entry = self.entries.get(fingerprint)
        if entry is not None:
            entry.seen_s = now_s

    def record_success(self, fingerprint, now_s):
        """Clear a suspect that completed without a crash of its engine."""
        entry = self.entries.get(fingerprint)
        if entry is not None and entry.verdict() == SUSPECT:
            entry.clear(now_s)

    def is_trial_due(self, fingerprint, since_s, now_s):
        """Return whether a suspect may run on the trial engine now.

        All nodes order the suspects of a pool alike, so that no two of them
        run on the trial engine together, where a crash would convict both. A
        suspect waits until all nodes have a report of it, until those before
        it in the order have run, and while another one runs. Only suspects
        reported as waiting or running within ``activity_report_ttl_s``
        count: one whose caller has gone away must not block the others.

        :param since_s: when this node queued the suspect
        """
        entry = self.entries[fingerprint]
        settled_s = since_s + self.settings.settle_s
        if now_s < max(settled_s, self._earliest_s(entry)):
            return False
        recent_since_s = now_s - self.settings.activity_report_ttl_s
        for other, known in self.entries.items():
            if other == fingerprint or known.pool != entry.pool:
                continue
            if known.verdict() != SUSPECT:
                continue
            precedes = (known.tokens_at_crash, other) < (
                entry.tokens_at_crash,
                fingerprint,
            )
            if known.running_s >= max(recent_since_s, self._earliest_s(known)):
                return False
            if precedes and known.waiting_s >= recent_since_s:
                return False
        return True

    def _earliest_s(self, entry):
        """Return the earliest time of a suspect's trial.

        A report of it running before that is of the run that crashed.
        """
        return entry.blames[-1].at_s + self.settings.settle_s

    def record_waiting(self, fingerprint, now_s):
        """Record that a suspect waits to run on some node."""
        entry = self.entries.get(fingerprint)
        if entry is not None:
            entry.waiting_s = max(entry.waiting_s, now_s)

    def record_running(self, fingerprint, now_s):
        """Record that a suspect runs on some node."""
        entry = self.entries.get(fingerprint)
        if entry is not None:
            entry.running_s = max(entry.running_s, now_s)

    def merge(
        self, fingerprint, pool, tokens_at_crash, cleared, blames, now_s
    ):
        """Merge a peer's report of one fingerprint.

        :param cleared: whether the request did not cause these crashes
        :param blames: list of :class:`Blame`, in this node's time
        """
        entry = self._entry(fingerprint, tokens_at_crash, pool, now_s)
        for blame in blames:
            if cleared:
                self._merge_cleared(entry, blame, now_s)
            else:
                self._add_blame(entry, blame)
        self._clear_bystanders(now_s)
        self._trim()

    def entries_to_send(self, count, now_s, held=()):
        """Return (fingerprint, entry) pairs to send, the most important first.

        A digest holds a limited number. If the suspects of a large batch
        filled it, no peer would be notified that one completed, and all
        would wait for it.

        :param count: maximum number of pairs
        :param held: fingerprints of this node's jobs, whose state only this
            node can report
        """
        known = [
            item
            for item in self.entries.items()
            if not self._is_expired(item[1], now_s)
        ]
        recent_since_s = now_s - self.settings.activity_report_ttl_s
        known.sort(key=lambda item: _send_order(item, held, recent_since_s))
        return known[:count]

    def tick(self, now_s):
        """Remove the expired entries."""
        for fingerprint, entry in list(self.entries.items()):
            if self._is_expired(entry, now_s):
                del self.entries[fingerprint]

    def _entry(self, fingerprint, tokens_at_crash, pool, now_s):
        entry = self.entries.get(fingerprint)
        if entry is None or self._is_expired(entry, now_s):
            entry = Entry(tokens_at_crash, pool, now_s)
            self.entries[fingerprint] = entry
        entry.tokens_at_crash = min(entry.tokens_at_crash, tokens_at_crash)
        return entry

    def _add_blame(self, entry, blame):
        if self._contains(blame, entry.cleared_blames):
            return
        for index, known in enumerate(entry.blames):
            if self._is_same_crash(known, blame):
                earlier = min(known.at_s, blame.at_s)
                entry.blames[index] = Blame(known.endpoint_checksum, earlier)
                return
        entry.blames.append(blame)
        entry.blames.sort(key=lambda known: known.at_s)
        del entry.blames[CRASHES_TO_CONVICT:]
        entry.seen_s = max(entry.seen_s, blame.at_s)

    def _merge_cleared(self, entry, blame, now_s):
        """Record a peer's report that a request did not cause a crash."""
        if entry.verdict() == CONVICTED or self._contains(
            blame, entry.cleared_blames
        ):
            return
        if self._contains(blame, entry.blames):
            entry.clear(now_s)
        else:
            entry.cleared_blames = [*entry.cleared_blames, blame][
                -MAX_CLEARED_BLAMES:
            ]

    def _clear_bystanders(self, now_s):
        """Clear the suspects blamed for crashes of a convicted request."""
        attributed = [
            blame
            for entry in self.entries.values()
            if entry.verdict() == CONVICTED
            for blame in entry.blames
        ]
        if not attributed:
            return
        for entry in self.entries.values():
            if entry.verdict() == SUSPECT and self._contains(
                entry.blames[0], attributed
            ):
                entry.clear(now_s)

    def _contains(self, blame, others):
        return any(self._is_same_crash(blame, known) for known in others)

    def _is_same_crash(self, one, other):
        """Return whether two reports are of the same crash."""
        apart_s = abs(one.at_s - other.at_s)
        limit_s = self.settings.same_crash_s
        return (
            one.endpoint_checksum == other.endpoint_checksum
            and apart_s < limit_s
        )

    def _is_expired(self, entry, now_s):
        keep_s = self.settings.suspect_s
        if entry.verdict() == CONVICTED:
            keep_s = self.settings.convicted_s
        return now_s - entry.seen_s > keep_s

    def _trim(self):
        excess = len(self.entries) - self.settings.max_entries
        if excess <= 0:
            return
        order = sorted(self.entries.items(), key=_importance_order)
        for fingerprint, _ in order[-excess:]:
            del self.entries[fingerprint]


def _importance_order(item):
    """Sort key: convicted before suspect before clear, then recent first."""
    fingerprint, entry = item
    group = (CONVICTED, SUSPECT, CLEAR).index(entry.verdict())
    return group, -entry.seen_s, entry.tokens_at_crash, fingerprint


def _send_order(item, held, recent_since_s):
    """Sort key: convicted, held by this node, recently cleared, the rest."""
    fingerprint, entry = item
    verdict = entry.verdict()
    cleared = verdict == CLEAR and entry.seen_s >= recent_since_s
    group = (verdict == CONVICTED, fingerprint in held, cleared, True)
    return group.index(True), _importance_order(item)
