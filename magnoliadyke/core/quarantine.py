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
needs the word of the first crash to be everywhere before the resend is: the
answer to a blamed request is held back for ``settle_s``, and a suspect does
not run until that long after the crash.
"""

import hashlib
import zlib
from typing import NamedTuple

__all__ = [
    'CLEAR',
    'CONVICTED',
    'SUSPECT',
    'Blame',
    'Entry',
    'Quarantine',
    'QuarantineSettings',
    'fingerprint_of',
    'short',
]

CLEAR = 'clear'
SUSPECT = 'suspect'
CONVICTED = 'convicted'

CRASHES_TO_CONVICT = 2
MOST_RANK = 255
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

    settle_s: float = 3.0
    same_crash_s: float = 5.0
    suspect_s: float = 300.0
    convicted_s: float = 1800.0
    waiting_s: float = 8.0
    most_entries: int = 512


DEFAULT_SETTINGS = QuarantineSettings()


class Blame(NamedTuple):
    """One crash that a request was part of."""

    crash: int
    at_s: float


class Entry:
    """What is known of one fingerprint.

    :ivar rank: output tokens it had when the engine died, at most 255; the
        fewer, the more suspicious
    :ivar pool: checksum of its pool's name
    :ivar waiting_s: when it was last known to wait on some node
    """

    __slots__ = ('blames', 'cleared', 'pool', 'rank', 'seen_s', 'waiting_s')

    def __init__(self, rank, pool, now_s):
        self.blames = []
        self.rank = rank
        self.pool = pool
        self.seen_s = now_s
        self.waiting_s = float('-inf')
        self.cleared = False

    def verdict(self):
        if len(self.blames) >= CRASHES_TO_CONVICT:
            return CONVICTED
        if self.cleared or not self.blames:
            return CLEAR
        return SUSPECT


def fingerprint_of(text):
    """Six bytes that stand for a request's customer and content."""
    digest = hashlib.blake2b(text.encode(), digest_size=FINGERPRINT_BYTES)
    return digest.digest()


def short(name):
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
        crash = short(endpoint)
        for fingerprint, tokens in batch:
            rank = min(int(tokens), MOST_RANK)
            entry = self._entry(fingerprint, rank, short(pool), now_s)
            self._add(entry, Blame(crash, now_s))
        self._explain(now_s)
        self._trim()

    def verdict(self, fingerprint, now_s):
        entry = self.entries.get(fingerprint)
        if entry is None or self._forgotten(entry, now_s):
            return CLEAR
        return entry.verdict()

    def seen(self, fingerprint, now_s):
        """A known request came again: remember it for longer."""
        entry = self.entries.get(fingerprint)
        if entry is not None:
            entry.seen_s = now_s

    def ran_whole(self, fingerprint, now_s):
        """It ran to its end and the engine lives."""
        entry = self.entries.get(fingerprint)
        if entry is not None and entry.verdict() == SUSPECT:
            entry.cleared = True
            entry.seen_s = now_s

    def turn(self, fingerprint, now_s):
        """Whether it is this suspect's turn to run.

        All nodes order the suspects of a pool alike, so that two of them
        don't meet on the trial engine, where a crash would convict both.
        Only those that wait on some node count: a suspect whose caller has
        gone away must not keep the others waiting.
        """
        entry = self.entries[fingerprint]
        settled_s = entry.blames[-1].at_s + self.settings.settle_s
        if now_s < settled_s:
            return False
        fresh_s = now_s - self.settings.waiting_s
        return not any(
            known.pool == entry.pool
            and known.waiting_s >= fresh_s
            and known.verdict() == SUSPECT
            and (known.rank, other) < (entry.rank, fingerprint)
            for other, known in self.entries.items()
        )

    def waits(self, fingerprint, now_s):
        """A suspect waits or runs on some node."""
        entry = self.entries.get(fingerprint)
        if entry is not None:
            entry.waiting_s = now_s

    def merge(self, fingerprint, pool, rank, cleared, blames, now_s):
        """Take a peer's word.

        :param blames: of :class:`Blame`, in this node's time
        """
        entry = self._entry(fingerprint, rank, pool, now_s)
        for blame in blames:
            self._add(entry, blame)
        if cleared and entry.verdict() == SUSPECT:
            entry.cleared = True
        self._explain(now_s)
        self._trim()

    def newest(self, count, now_s):
        """(fingerprint, entry) of the last changes, for the digest."""
        known = [
            item
            for item in self.entries.items()
            if not self._forgotten(item[1], now_s)
        ]
        known.sort(key=_news_order)
        return known[:count]

    def tick(self, now_s):
        for fingerprint, entry in list(self.entries.items()):
            if self._forgotten(entry, now_s):
                del self.entries[fingerprint]

    def _entry(self, fingerprint, rank, pool, now_s):
        entry = self.entries.get(fingerprint)
        if entry is None or self._forgotten(entry, now_s):
            entry = Entry(rank, pool, now_s)
            self.entries[fingerprint] = entry
        entry.rank = min(entry.rank, rank)
        return entry

    def _add(self, entry, blame):
        for index, known in enumerate(entry.blames):
            apart_s = abs(known.at_s - blame.at_s)
            same = apart_s < self.settings.same_crash_s
            if known.crash == blame.crash and same:
                earlier = min(known.at_s, blame.at_s)
                entry.blames[index] = Blame(known.crash, earlier)
                return
        entry.blames.append(blame)
        entry.blames.sort(key=lambda known: known.at_s)
        del entry.blames[CRASHES_TO_CONVICT:]
        entry.seen_s = max(entry.seen_s, blame.at_s)
        entry.cleared = False

    def _explain(self, now_s):
        """Clear whoever was blamed for what a convict did."""
        explained = [
            blame
            for entry in self.entries.values()
            if entry.verdict() == CONVICTED
            for blame in entry.blames
        ]
        if not explained:
            return
        for entry in self.entries.values():
            if entry.verdict() == SUSPECT and self._within(
                entry.blames[0], explained
            ):
                entry.cleared = True
                entry.seen_s = now_s

    def _within(self, blame, explained):
        limit_s = self.settings.same_crash_s
        return any(
            blame.crash == known.crash
            and abs(blame.at_s - known.at_s) < limit_s
            for known in explained
        )

    def _forgotten(self, entry, now_s):
        keep_s = self.settings.suspect_s
        if entry.verdict() == CONVICTED:
            keep_s = self.settings.convicted_s
        return now_s - entry.seen_s > keep_s

    def _trim(self):
        excess = len(self.entries) - self.settings.most_entries
        if excess <= 0:
            return
        order = sorted(self.entries.items(), key=_news_order)
        for fingerprint, _ in order[-excess:]:
            del self.entries[fingerprint]


def _news_order(item):
    """Convicts first, then suspects, the newest and likeliest first."""
    fingerprint, entry = item
    standing = (CONVICTED, SUSPECT, CLEAR).index(entry.verdict())
    return standing, -entry.seen_s, entry.rank, fingerprint
