"""Requests that crash the engines which run them.

A crash blames every request in the engine's batch; at most one of them did
it. The blamed become suspects, known by fingerprint (customer and content,
since the caller resends under a new key) and spread to all nodes by digest.

* A suspect runs alone among suspects, last in line, most suspicious first:
  one whose run had only begun when the engine died.
* A suspect that is blamed for a second crash is convicted and rejected. As
  no other suspect was in that batch, the verdict is not bad luck.
* A suspect that runs to its end is cleared. A conviction explains its
  crashes, which clears everybody else who was blamed for them.

So a request takes down at most two engines: once unknown, once alone. That
needs the word of the first crash to be everywhere before the resend is. The
shell sends it to all peers before it answers anybody; should a peer miss it,
one that has heard of either crash makes the request wait as a suspect for
``settle_s``, and by then knows of both.
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
MAX_RANK = 255
MAX_CLEARED_BLAMES = 4
FINGERPRINT_BYTES = 6


class QuarantineSettings(NamedTuple):
    """Constants of quarantine.

    :param settle_s: by then all nodes have heard of a crash
    :param same_crash_s: word of a crash of one endpoint within this time
        of another is of the same crash
    :param suspect_s: a suspect that isn't seen again is forgotten
    :param convicted_s: so is a convict; each resend starts it anew
    :param waiting_s: how long word that a suspect waits to run is good
    :param most_entries: entries kept
    """

    settle_s: float = 5.0
    same_crash_s: float = 5.0
    suspect_s: float = 300.0
    convicted_s: float = 1800.0
    waiting_s: float = 8.0
    max_entries: int = 512


DEFAULT_SETTINGS = QuarantineSettings()


class Blame(NamedTuple):
    """One crash that a request was part of."""

    crash: int
    at_s: float


class Entry:
    """What is known of one fingerprint.

    :ivar blames: crashes that it may have caused
    :ivar void: crashes that it did not cause, as is known by now; kept, as
        peers that have not heard go on telling of them
    :ivar rank: output tokens it had when the engine died, at most 255; the
        fewer, the more suspicious
    :ivar pool: checksum of its pool's name
    :ivar waiting_s: when it was last known to wait on some node
    :ivar running_s: when it was last known to run on some node
    """

    __slots__ = (
        'blames',
        'pool',
        'rank',
        'running_s',
        'seen_s',
        'cleared_blames',
        'waiting_s',
    )

    def __init__(self, rank, pool, now_s):
        self.blames = []
        self.cleared_blames = []
        self.rank = rank
        self.pool = pool
        self.seen_s = now_s
        self.waiting_s = float('-inf')
        self.running_s = float('-inf')

    def verdict(self):
        """Judge by the crashes that it is blamed for."""
        if len(self.blames) >= CRASHES_TO_CONVICT:
            return CONVICTED
        return SUSPECT if self.blames else CLEAR

    def clear(self, now_s):
        """It did not cause the crash that it was blamed for."""
        self.cleared_blames = [*self.cleared_blames, *self.blames][
            -MAX_CLEARED_BLAMES:
        ]
        self.blames = []
        self.seen_s = now_s


def fingerprint_of(text):
    """Six bytes that stand for a request's customer and content."""
    digest = hashlib.blake2b(text.encode(), digest_size=FINGERPRINT_BYTES)
    return digest.digest()


def name_checksum(name):
    """Four bytes that stand for a name in digests."""
    return zlib.crc32(name.encode())


class Quarantine:
    """Suspects and convicts, as far as this node knows."""

    def __init__(self, settings=DEFAULT_SETTINGS):
        self.settings = settings
        self.entries = {}

    def blame(self, endpoint, pool, batch, now_s):
        """An engine crashed.

        :param batch: (fingerprint, output tokens so far) of what ran on it
        """
        crash = name_checksum(endpoint)
        for fingerprint, tokens in batch:
            rank = min(int(tokens), MAX_RANK)
            entry = self._entry(fingerprint, rank, name_checksum(pool), now_s)
            self._add_blame(entry, Blame(crash, now_s))
        self._clear_bystanders(now_s)
        self._trim()

    def verdict(self, fingerprint, now_s):
        """Judge a request by its fingerprint: clear, suspect, convicted."""
        entry = self.entries.get(fingerprint)
        if entry is None or self._is_expired(entry, now_s):
            return CLEAR
        return entry.verdict()

    def record_sighting(self, fingerprint, now_s):
        """A known request came again: remember it for longer."""
        entry = self.entries.get(fingerprint)
        if entry is not None:
            entry.seen_s = now_s

    def record_success(self, fingerprint, now_s):
        """It ran to its end and the engine lives."""
        entry = self.entries.get(fingerprint)
        if entry is not None and entry.verdict() == SUSPECT:
            entry.clear(now_s)

    def is_trial_due(self, fingerprint, since_s, now_s):
        """Whether it is this suspect's turn to run.

        All nodes order the suspects of a pool alike, so that two of them
        don't meet on the trial engine, where a crash would convict both. It
        waits until all have heard that it does, lets go those before it in
        the order, and keeps away while another runs. Only what is known to
        wait or run of late counts: a suspect whose caller has gone away must
        not keep the others waiting.

        :param since_s: when this node took it in
        """
        entry = self.entries[fingerprint]
        settled_s = since_s + self.settings.settle_s
        if now_s < max(settled_s, self._earliest_s(entry)):
            return False
        fresh_s = now_s - self.settings.waiting_s
        for other, known in self.entries.items():
            if other == fingerprint or known.pool != entry.pool:
                continue
            if known.verdict() != SUSPECT:
                continue
            before = (known.rank, other) < (entry.rank, fingerprint)
            if known.running_s >= max(fresh_s, self._earliest_s(known)):
                return False
            if before and known.waiting_s >= fresh_s:
                return False
        return True

    def _earliest_s(self, entry):
        """When a suspect may run; before, its run was the one that died."""
        return entry.blames[-1].at_s + self.settings.settle_s

    def record_waiting(self, fingerprint, now_s):
        """A suspect waits on some node."""
        entry = self.entries.get(fingerprint)
        if entry is not None:
            entry.waiting_s = max(entry.waiting_s, now_s)

    def record_running(self, fingerprint, now_s):
        """A suspect runs on some node."""
        entry = self.entries.get(fingerprint)
        if entry is not None:
            entry.running_s = max(entry.running_s, now_s)

    def merge(self, fingerprint, pool, rank, cleared, blames, now_s):
        """Take a peer's word.

        :param cleared: it did not cause these crashes
        :param blames: of :class:`Blame`, in this node's time
        """
        entry = self._entry(fingerprint, rank, pool, now_s)
        for blame in blames:
            if cleared:
                self._merge_cleared(entry, blame, now_s)
            else:
                self._add_blame(entry, blame)
        self._clear_bystanders(now_s)
        self._trim()

    def newest(self, count, now_s, held=()):
        """(fingerprint, entry) for the digest, what matters most first.

        A digest has room for some. If those of a big batch took it, no node
        would hear that a suspect ran whole, and all would wait for it.

        :param held: fingerprints of this node's jobs; no other node knows
            how they are
        """
        known = [
            item
            for item in self.entries.items()
            if not self._is_expired(item[1], now_s)
        ]
        fresh_s = now_s - self.settings.waiting_s
        known.sort(key=lambda item: _send_order(item, held, fresh_s))
        return known[:count]

    def tick(self, now_s):
        """Drop what has been forgotten."""
        for fingerprint, entry in list(self.entries.items()):
            if self._is_expired(entry, now_s):
                del self.entries[fingerprint]

    def _entry(self, fingerprint, rank, pool, now_s):
        entry = self.entries.get(fingerprint)
        if entry is None or self._is_expired(entry, now_s):
            entry = Entry(rank, pool, now_s)
            self.entries[fingerprint] = entry
        entry.rank = min(entry.rank, rank)
        return entry

    def _add_blame(self, entry, blame):
        if self._contains(blame, entry.cleared_blames):
            return
        for index, known in enumerate(entry.blames):
            if self._is_same_crash(known, blame):
                earlier = min(known.at_s, blame.at_s)
                entry.blames[index] = Blame(known.crash, earlier)
                return
        entry.blames.append(blame)
        entry.blames.sort(key=lambda known: known.at_s)
        del entry.blames[CRASHES_TO_CONVICT:]
        entry.seen_s = max(entry.seen_s, blame.at_s)

    def _merge_cleared(self, entry, blame, now_s):
        """A peer knows that this crash was none of its doing."""
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
        """Clear whoever was blamed for what a convict did."""
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
        """Whether two nodes tell of the same crash."""
        apart_s = abs(one.at_s - other.at_s)
        limit_s = self.settings.same_crash_s
        return one.crash == other.crash and apart_s < limit_s

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
    """Convicts first, then suspects, the newest and likeliest first."""
    fingerprint, entry = item
    group = (CONVICTED, SUSPECT, CLEAR).index(entry.verdict())
    return group, -entry.seen_s, entry.rank, fingerprint


def _send_order(item, held, fresh_s):
    """Convicts, this node's own, those cleared of late, and the rest."""
    fingerprint, entry = item
    verdict = entry.verdict()
    cleared = verdict == CLEAR and entry.seen_s >= fresh_s
    group = (verdict == CONVICTED, fingerprint in held, cleared, True)
    return group.index(True), _importance_order(item)
