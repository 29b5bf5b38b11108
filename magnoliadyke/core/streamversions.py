"""The software versions that began streams, and at which they may go on.

What endpoints of two software versions write into one stream does not fit
together.  A host that begins a stream records its version and, unless one
version alone can have served, tells a few other hosts, chosen by rendezvous
hashing.  A host at which a caller takes a stream up asks these.
"""

import collections
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Set as AbstractSet
import hashlib
import math
from typing import NamedTuple

__all__ = [
    'Known',
    'Report',
    'StreamVersions',
    'Unknown',
    'VersionHistory',
    'rank_hosts',
    'resolve',
    'stream_key',
]

KEY_BYTES = 8
#: Maximum number of streams on record; the oldest ones give way.
MAX_RECORDS = 20_000
#: Longest time for which a stream is on record, in seconds, whatever its
#: caller says of its deadline.
MAX_RECORD_S = 120.0
#: Age from which on the list of endpoints is too old to tell that one version
#: alone serves, in seconds: above the longest wait of a watch.
MAX_LIST_AGE_S = 5.0
#: Longest time for which a process stands still unnoticed, in seconds.  What
#: it then knows is older by as much than it reckons.
MAX_STALL_S = 1.5
#: Longest time for which a host that is behind, and certain of one version,
#: begins streams at one that has gone, in seconds.
MAX_BEHIND_S = MAX_LIST_AGE_S + MAX_STALL_S


class Known(NamedTuple):
    """The version that began a stream.

    :param is_recorded: whether it is on record; else it is the only version
        that can have served
    """

    version: str
    is_recorded: bool


class Unknown(NamedTuple):
    """The version that began a stream can't be told."""

    reason: str


class Report(NamedTuple):
    """What another host knows of a stream.

    :param version: None if it knows nothing
    :param is_recorded: whether that is on record there
    :param has_several: whether several versions can have served
    :param list_age_s: age of the list of endpoints by which it tells that, in
        seconds
    """

    version: str | None
    is_recorded: bool
    has_several: bool = False
    list_age_s: float = MAX_LIST_AGE_S


def stream_key(service: str, workspace: str, request_id: bytes) -> bytes:
    """Return the key of a stream, by the request that began it.

    Callers choose request ids, of any length; a workspace finds its own
    streams only.
    """
    digest = hashlib.blake2b(digest_size=KEY_BYTES)
    for part in (service.encode(), workspace.encode(), request_id):
        digest.update(len(part).to_bytes(4, 'big'))
        digest.update(part)
    return digest.digest()


def rank_hosts(key: bytes, addresses: Iterable[str]) -> list[str]:
    """Return hosts in the order in which they keep the record of a stream.

    Rendezvous hashing: hosts that come or go change the order of no others.
    """

    def weight(address: str) -> bytes:
        return hashlib.blake2b(
            address.encode(), digest_size=KEY_BYTES, key=key
        ).digest()

    return sorted(addresses, key=weight)


class _Record(NamedTuple):
    """A stream on record; None is the version of one that is ambiguous."""

    service: str
    version: str | None
    until_s: float


class StreamVersions:
    """Versions that began streams, while their callers may come back.

    :ivar records: by the streams' keys, the oldest first
    """

    def __init__(self) -> None:
        self.records: collections.OrderedDict[bytes, _Record] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self.records)

    def record(
        self,
        key: bytes,
        service: str,
        version: str,
        until_s: float,
        now_s: float,
    ) -> None:
        """Record the version that began a stream.

        Two versions under one key are streams of a caller that used an id
        twice; neither can be told from the other then.
        """
        until_s = min(until_s, now_s + MAX_RECORD_S)
        before = self.records.get(key)
        known: str | None = version
        if before is not None and before.until_s > now_s:
            until_s = max(until_s, before.until_s)
            known = version if before.version == version else None
        self.records[key] = _Record(service, known, until_s)
        if len(self.records) > MAX_RECORDS:
            self.records.popitem(last=False)

    def find(self, key: bytes, now_s: float) -> str | None:
        """Return the version that began a stream, None if not on record."""
        found = self.records.get(key)
        if found is None or found.until_s <= now_s:
            return None
        return found.version

    def is_ambiguous(self, key: bytes, now_s: float) -> bool:
        """Return whether streams of several versions have this key."""
        found = self.records.get(key)
        return (
            found is not None
            and found.until_s > now_s
            and found.version is None
        )

    def of_service(
        self, service: str, now_s: float
    ) -> list[tuple[bytes, str, float]]:
        """Return key, version and remaining time of a service's streams."""
        return [
            (key, each.version, each.until_s - now_s)
            for key, each in self.records.items()
            if each.service == service
            and each.version is not None
            and each.until_s > now_s
        ]

    def expire(self, now_s: float) -> None:
        """Drop the records of streams that no caller takes up any more."""
        expired = [k for k, e in self.records.items() if e.until_s <= now_s]
        for key in expired:
            del self.records[key]


class VersionHistory:
    """Which versions of a service were listed, and until when.

    :ivar since_s: from when on all entries are known, None before that
    :ivar inherited: services of which another host knows what was listed
        before
    :ivar absences: until when hosts that may run were not heard, by host and
        time from which on
    """

    def __init__(self) -> None:
        self.since_s: float | None = None
        self.inherited: set[str] = set()
        self.absences: dict[tuple[str, float], float] = {}
        self.last_listed_s: dict[str, dict[str, float]] = {}

    def restart(self, now_s: float) -> None:
        """Record that versions may have come and gone unseen until now.

        :param now_s: negative infinity if none has ever served before
        """
        self.since_s = now_s
        self.inherited.clear()

    def covers(self, window_s: float, now_s: float) -> bool:
        """Return whether all versions are known that may have begun a stream.

        :param window_s: time for which callers may take up a stream, in
            seconds
        """
        if self.since_s is None:
            return False
        return self.since_s <= self._possible_from_s(window_s, now_s)

    def note_absences(
        self, unheard_s: Mapping[str, float], now_s: float
    ) -> None:
        """Record which hosts that may run are not heard at present.

        One that is cut off from all begins streams at the versions that it
        knew, and can't tell anyone.

        :param unheard_s: from when on each of them was not heard
        """
        self.absences.update(dict.fromkeys(unheard_s.items(), now_s))
        for absence, until_s in list(self.absences.items()):
            if now_s - until_s > MAX_RECORD_S:
                del self.absences[absence]

    def _possible_from_s(self, window_s: float, now_s: float) -> float:
        """Return the last entry of a version that may have begun a stream."""
        known_s = [now_s - window_s]
        for (_, since_s), until_s in self.absences.items():
            if now_s - until_s <= window_s:
                known_s.append(since_s)
        return min(known_s) - MAX_BEHIND_S

    def has_all_since(self, age_s: float, now_s: float) -> bool:
        """Return whether all entries since another host's list are known.

        :param age_s: age of that list as that host reckons it, in seconds
        """
        if self.since_s is None:
            return False
        return now_s - self.since_s > age_s + MAX_STALL_S

    def complete(self, reports: list[Report], now_s: float) -> list[Report]:
        """Return reports without the versions that they can't vouch for.

        A host whose list is behind does not know the versions listed since.
        It can vouch for one only together with a history that begins before.
        """
        return [
            each
            if each.is_recorded or self.has_all_since(each.list_age_s, now_s)
            else each._replace(version=None)
            for each in reports
        ]

    def inherit(
        self,
        service: str,
        reports: list[Report],
        window_s: float,
        now_s: float,
    ) -> bool:
        """Adopt what other hosts know of the time before this one started.

        :param reports: what they can tell of any stream of the service
        :returns: whether one of them knows that only the version that is
            listed here has served, and none knows better
        """
        if any(each.has_several for each in reports):
            return False
        completed = self.complete(reports, now_s)
        possible = {e.version for e in completed if e.version is not None}
        if not possible or self.recent(service, window_s, now_s) != possible:
            return False
        self.inherited.add(service)
        return True

    def update(
        self, service: str, versions: Iterable[str], now_s: float
    ) -> None:
        """Record the versions that a service's entries name at present."""
        listed = set(versions)
        times = self.last_listed_s.setdefault(service, {})
        for version, last_s in times.items():
            if last_s == math.inf and version not in listed:
                times[version] = now_s
        times.update(dict.fromkeys(listed, math.inf))

    def note(self, service: str, version: str, now_s: float) -> None:
        """Record a version that an entry named, and that may be gone again."""
        times = self.last_listed_s.setdefault(service, {})
        times[version] = max(now_s, times.get(version, now_s))

    def only_version(
        self, service: str, window_s: float, now_s: float
    ) -> str | None:
        """Return the only version listed within a time, None if not certain.

        :param window_s: time for which callers may take up a stream, in
            seconds
        """
        if self.since_s is None:
            return None
        if service not in self.inherited and not self.covers(window_s, now_s):
            return None
        recent = self.recent(service, window_s, now_s)
        return min(recent) if len(recent) == 1 else None

    def has_several(self, service: str, window_s: float, now_s: float) -> bool:
        """Return whether several versions were listed within a time."""
        return len(self.recent(service, window_s, now_s)) > 1

    def recent(
        self, service: str, window_s: float, now_s: float
    ) -> frozenset[str]:
        """Return the versions listed within a time.

        A host whose list is behind may have begun a stream at a version after
        its last entry had gone.
        """
        times = self.last_listed_s.get(service, {})
        since_s = self._possible_from_s(window_s, now_s)
        return frozenset(v for v, last in times.items() if last > since_s)


def resolve(
    own: str | None,
    reports: list[Report],
    only: str | None,
    recent: AbstractSet[str],
) -> Known | Unknown:
    """Decide at which version a stream that its caller takes up goes on.

    The only version that can have served counts where no host has seen
    several.  This host has to have seen the same up to this moment: the lists
    of hosts may be behind.

    :param own: version on record at this host
    :param reports: reports of other hosts
    :param only: the only version that can have served, as this host knows
    :param recent: versions that this host knows to have been listed, up to
        this moment; empty if the store can't be asked
    """
    recorded = {each.version for each in reports if each.is_recorded}
    if own is not None:
        recorded.add(own)
    if len(recorded) > 1:
        return Unknown('streams of two versions have this id')
    if recorded:
        return Known(recorded.pop(), True)
    if len(recent) > 1 or any(each.has_several for each in reports):
        return Unknown('several versions serve, and no host has it on record')
    possible = {each.version for each in reports if each.version is not None}
    if only is not None:
        possible.add(only)
    if len(possible) != 1 or recent != possible:
        return Unknown('no host knows what began the stream')
    return Known(possible.pop(), False)
