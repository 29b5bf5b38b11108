"""Entries of an older copy of the store that say less than is known.

A store that came back from a copy lists endpoints as they were some seconds
ago, until they write their entries again: one that has said that it leaves is
listed as ready, one that has gone is listed again.
"""

import collections
from typing import NamedTuple

from magnoliadyke.core import catalog
from magnoliadyke.core import expiredentries
from magnoliadyke.core import position

__all__ = ['StaleEntries', 'StaleEntry']

#: How long endpoints that have gone are remembered, in seconds: copies are
#: some seconds old.
REMOVAL_RETENTION_S = 60.0
MAX_REMOVALS = 4096
#: An entry that nobody renews is removed within this time, in seconds; one
#: that is still there is of an endpoint that lives.
UNRENEWED_ENTRY_TTL_S = 5.0
#: An endpoint that lives has written its entry again by then, in seconds.
REWRITE_TIMEOUT_S = expiredentries.ENTRY_GRACE_S


class StaleEntry(NamedTuple):
    """An entry that a host does not go by, for one that has just started.

    :param gone: the endpoint had gone; else it had said that it leaves
    :param for_s: for how long, None until the entry is written again
    """

    name: str
    written: position.Position
    gone: bool
    for_s: float | None


class _Stale(NamedTuple):
    """An entry that is passed over.

    :param gone: the endpoint had gone
    """

    written: position.Position
    until_s: float
    gone: bool


class StaleEntries:
    """Which entries are passed over, and until when.

    :ivar old: by name of the endpoint
    """

    def __init__(self, known: catalog.Catalog) -> None:
        self.catalog = known
        self.entries: dict[str, _Stale] = {}
        self.removed_s: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    def record_removal(self, endpoint_id: str, now_s: float) -> None:
        """An endpoint is gone."""
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
        """An entry is in a copy of the store; it may be old.

        :param written: where the copy has it
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
        # A leave is never taken back, so it waits for no time to pass.
        return float('inf') if known.leaving else now_s + REWRITE_TIMEOUT_S

    def is_stale(
        self, name: str, written: position.Position, now_s: float
    ) -> bool:
        """Whether an entry is passed over; one written since is not."""
        entry = self.entries.get(name)
        if entry is None:
            return False
        if entry.written == written and now_s < entry.until_s:
            return True
        del self.entries[name]
        return False

    def export(self, now_s: float) -> tuple[StaleEntry, ...]:
        """Leaves and ends that the entries do not show."""
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
        """Another host passes an entry over."""
        until_s = (
            float('inf')
            if peer_entry.for_s is None
            else now_s + peer_entry.for_s
        )
        self.entries[peer_entry.name] = _Stale(
            peer_entry.written, until_s, peer_entry.gone
        )

    def expired_names(self, now_s: float) -> list[str]:
        """Names of endpoints that have not written their entries again."""
        return [
            n for n, entry in self.entries.items() if now_s >= entry.until_s
        ]
