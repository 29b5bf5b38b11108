"""Entries of a restored store that are older than the hosts' records.

A store restored from a backup lists endpoints as they were some seconds ago,
until they write their entries again: one that is leaving is listed as ready,
and one that has left is listed again.
"""

import collections
from typing import NamedTuple

from magnoliadyke.core import catalog
from magnoliadyke.core import expiredentries
from magnoliadyke.core import position

__all__ = ['StaleEntries', 'StaleEntry']

#: How long removed endpoints are kept, in seconds: well above the age of a
#: backup, which is some seconds.
REMOVAL_RETENTION_S = 60.0
MAX_REMOVALS = 4096
#: The store removes an entry that is not renewed within this time, in seconds;
#: an entry that is there afterwards belongs to a running endpoint.
UNRENEWED_ENTRY_TTL_S = 5.0
#: A running endpoint has written its entry again within this time after a
#: restore, in seconds.
REWRITE_TIMEOUT_S = expiredentries.ENTRY_GRACE_S


class StaleEntry(NamedTuple):
    """An entry that a host ignores, as sent to a host that has just started.

    :param name: name of the endpoint
    :param written: position of the entry in the store
    :param gone: True if the endpoint had been removed, False if it had
        announced that it leaves
    :param for_s: how long the entry is ignored, in seconds; None until it is
        written again
    """

    name: str
    written: position.Position
    gone: bool
    for_s: float | None


class _Stale(NamedTuple):
    """An entry that this host ignores.

    :param written: position of the entry in the store
    :param until_s: when the entry is no longer ignored
    :param gone: whether the endpoint had been removed
    """

    written: position.Position
    until_s: float
    gone: bool


class StaleEntries:
    """The entries that this host ignores, and until when.

    :param endpoint_catalog: the catalog of this host
    :ivar entries: by name of the endpoint
    :ivar removed_s: when endpoints were removed, by id
    """

    def __init__(self, endpoint_catalog: catalog.Catalog) -> None:
        self.catalog = endpoint_catalog
        self.entries: dict[str, _Stale] = {}
        self.removed_s: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    def record_removal(self, endpoint_id: str, now_s: float) -> None:
        """Record that an endpoint was removed."""
        self.removed_s[endpoint_id] = now_s
        self.removed_s.move_to_end(endpoint_id)
        if len(self.removed_s) > MAX_REMOVALS:
            self.removed_s.popitem(last=False)

    def record_restored(
        self,
        endpoint: catalog.Endpoint,
        written: position.Position,
        now_s: float,
    ) -> None:
        """Record an entry of a restored store, which may be stale.

        :param endpoint: the endpoint as the entry describes it
        :param written: position of the entry in the restored store
        """
        until_s = self._stale_until_s(endpoint, now_s)
        if until_s is None:
            self.entries.pop(endpoint.name, None)
        else:
            gone = endpoint.id not in self.catalog.endpoints
            self.entries[endpoint.name] = _Stale(written, until_s, gone)

    def _stale_until_s(
        self, endpoint: catalog.Endpoint, now_s: float
    ) -> float | None:
        known = self.catalog.endpoints.get(endpoint.id)
        if known is None:
            removed_s = self.removed_s.get(endpoint.id)
            if removed_s is None or now_s - removed_s > REMOVAL_RETENTION_S:
                return None
            return now_s + UNRENEWED_ENTRY_TTL_S
        if known == endpoint or endpoint.leaving:
            return None
        # An announced leave is final: the entry is ignored without limit.
        return float('inf') if known.leaving else now_s + REWRITE_TIMEOUT_S

    def is_stale(
        self, name: str, written: position.Position, now_s: float
    ) -> bool:
        """Return whether to ignore an entry; one written since is used."""
        entry = self.entries.get(name)
        if entry is None:
            return False
        if entry.written == written and now_s < entry.until_s:
            return True
        del self.entries[name]
        return False

    def export(self, now_s: float) -> tuple[StaleEntry, ...]:
        """Return the leaving and removed endpoints that entries contradict."""
        return tuple(
            StaleEntry(
                name,
                entry.written,
                entry.gone,
                entry.until_s - now_s if entry.gone else None,
            )
            for name, entry in self.entries.items()
            if entry.gone or entry.until_s == float('inf')
        )

    def merge_peer_entry(self, peer_entry: StaleEntry, now_s: float) -> None:
        """Ignore an entry that another host ignores."""
        until_s = (
            float('inf')
            if peer_entry.for_s is None
            else now_s + peer_entry.for_s
        )
        self.entries[peer_entry.name] = _Stale(
            peer_entry.written, until_s, peer_entry.gone
        )

    def expired_names(self, now_s: float) -> list[str]:
        """Return names of endpoints whose entries are no longer ignored.

        They have not been written again in time.
        """
        return [
            n for n, entry in self.entries.items() if now_s >= entry.until_s
        ]
