"""Endpoints whose store entries are missing, and their grace periods.

An entry also expires during an outage of the store, although its endpoint
runs.  Requests sent to an endpoint that has left are lost; the load of one
that is dropped too early falls on the others.
"""

from collections.abc import Container
from collections.abc import Iterable
import math
from typing import NamedTuple

from magnoliadyke.core import catalog

__all__ = ['ExpiredEntries', 'StoreContact']

#: Grace period after a store outage, in seconds: a running endpoint has
#: written its expired entry again by then, and is used until then.
ENTRY_GRACE_S = 2.0
#: Grace period, in seconds, if most entries of a service disappear together,
#: which may be an outage that this host did not notice.  The endpoints may
#: also be leaving: with the pauses between watches the period ends within the
#: 2 s after which a leaving endpoint must get no more work.
MASS_EXPIRY_GRACE_S = 0.8
#: Share of a service's entries from which a joint disappearance counts as a
#: possible outage: a share this large does not leave at one moment.
MASS_EXPIRY_SHARE = 0.5
#: Longest grace period of an entry whose removal was read as a change, as a
#: share of the time in which a leaving endpoint must get no more work; the
#: rest is for the pauses between reads.
MAX_GRACE_SHARE = 0.4


class StoreContact(NamedTuple):
    """Another host's report of its contact with the store.

    :param for_s: how long it has had the store without an outage, in seconds
    :param age_s: age of its newest information from the store, in seconds
    """

    for_s: float
    age_s: float


class ExpiredEntries:
    """Endpoints that are used although their entries are missing.

    :param endpoint_catalog: the catalog of this host
    :param bound_s: time in which a leaving endpoint must get no more work, in
        seconds
    :ivar grace_until_s: when the grace period of an endpoint without an entry
        ends, by endpoint id
    :ivar outage_began_s: when this host's last outage of the store began
    :ivar regained_s: when the store was last restored from a backup, or was
        last reached again after an outage by this host or by one that relays
        changes to it
    :ivar outage_unresolved: whether this host's last outage may have been
        local to it, and no other host has settled that yet
    """

    def __init__(
        self, endpoint_catalog: catalog.Catalog, bound_s: float = math.inf
    ) -> None:
        self.catalog = endpoint_catalog
        self.max_grace_s = bound_s * MAX_GRACE_SHARE
        self.grace_until_s: dict[str, float] = {}
        self.outage_began_s = float('-inf')
        self.regained_s = float('-inf')
        self.outage_unresolved = False

    def record_store_regained(
        self, now_s: float, outage_began_s: float
    ) -> None:
        """Record that the store answers this host again after an outage.

        :param outage_began_s: when the outage began
        """
        self.outage_began_s = outage_began_s
        self.regained_s = now_s
        self.outage_unresolved = True

    def restored(self, now_s: float) -> None:
        """Record that the store was restored from a backup, for all hosts.

        Endpoints whose entries the backup lacks write them again.
        """
        self.regained_s = now_s
        self.outage_unresolved = False

    def since_regained_s(self, now_s: float) -> float | None:
        """Return the time since the store recovered or was restored.

        None if the grace period after that outage is over.
        """
        ago_s = now_s - self.regained_s
        return ago_s if ago_s < ENTRY_GRACE_S else None

    def record_peer_regained(self, ago_s: float | None, now_s: float) -> None:
        """Record a store outage of a host that relays changes to this one.

        :param ago_s: how long ago that host reached the store again or the
            store was restored, in seconds; None if neither was recent
        """
        if ago_s is not None:
            self.regained_s = max(self.regained_s, now_s - ago_s)

    def record_missing(
        self, missing: list[str], now_s: float, was_listed: bool = False
    ) -> list[str]:
        """Record endpoints whose entries disappeared at the same time.

        :param was_listed: whether the entries were listed until just now, so
            that an endpoint that leaves has only begun to
        :returns: ids of those that are gone; the others get a grace period
        """
        gone = []
        for endpoint_id in missing:
            endpoint = self.catalog.endpoints.get(endpoint_id)
            if endpoint is None:
                continue
            until_s = self._used_until_s(endpoint, missing, now_s)
            if was_listed:
                until_s = min(until_s, now_s + self.max_grace_s)
            if until_s > now_s:
                self.grace_until_s.setdefault(endpoint_id, until_s)
            else:
                gone.append(endpoint_id)
        return gone

    def _used_until_s(
        self, endpoint: catalog.Endpoint, missing: list[str], now_s: float
    ) -> float:
        if endpoint.leaving:
            return now_s
        until_s = self.regained_s + ENTRY_GRACE_S
        of_service = self.catalog.by_service[endpoint.service]
        missing_of_service = sum(1 for each in missing if each in of_service)
        if (
            missing_of_service > 1
            and missing_of_service >= len(of_service) * MASS_EXPIRY_SHARE
        ):
            until_s = max(until_s, now_s + MASS_EXPIRY_GRACE_S)
        return until_s

    def record_entry(self, endpoint_id: str) -> None:
        """End an endpoint's grace period: its entry is back or replaced."""
        self.grace_until_s.pop(endpoint_id, None)

    def needs_peer_reports(self) -> bool:
        """Return whether to query other hosts about the store outage."""
        return self.outage_unresolved and bool(self.grace_until_s)

    def is_local_outage(
        self, reports: Iterable[StoreContact | None], now_s: float
    ) -> bool | None:
        """Return whether the last outage affected only this host.

        A host that has had the store for longer than endpoints take to write
        their entries again has a correct list, whatever outages it had
        before.

        :param reports: reports of the queried hosts, None if a host has none
        :returns: None if the reports do not decide it
        """
        enough_s = min(now_s - self.outage_began_s, ENTRY_GRACE_S)
        since_return_s = now_s - self.regained_s
        can_tell = []
        for reach in reports:
            fresh = reach is not None and reach.age_s <= since_return_s
            if fresh and reach.for_s > enough_s:
                return True
            can_tell.append(fresh)
        return False if can_tell and all(can_tell) else None

    def record_shared_outage(self) -> None:
        """Record that other hosts had the outage too.

        Entries may have expired because of it, so grace periods stay.
        """
        self.outage_unresolved = False

    def resolve_outage(self, listed: Container[str]) -> list[str]:
        """End the grace periods after an outage that only this host had.

        No entry expired because of it: an endpoint that is missing has left,
        and the other hosts no longer use it.  One that the other host still
        lists keeps its grace period, since its entry may have expired in an
        outage that the other host did not notice.

        :param listed: ids of endpoints listed by a host without the outage
        :returns: ids of endpoints that are gone
        """
        gone = self._remove([e for e in self.grace_until_s if e not in listed])
        if not self.grace_until_s:
            self.outage_unresolved = False
            self.regained_s = float('-inf')
        return gone

    def pop_expired(self, now_s: float) -> list[str]:
        """Remove and return the endpoints whose grace period is over."""
        return self._remove(
            [e for e, s in self.grace_until_s.items() if now_s >= s]
        )

    def _remove(self, endpoint_ids: list[str]) -> list[str]:
        for endpoint_id in endpoint_ids:
            del self.grace_until_s[endpoint_id]
        return endpoint_ids
