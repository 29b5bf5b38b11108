"""The software versions that began streams, and at which they may go on.

What endpoints of two software versions write into one stream does not fit
together.  A host that begins a stream records its version and, unless one
version alone can have served, tells a few other hosts, chosen by rendezvous
hashing.  A host at which a caller takes a stream up asks these.
"""

import collections
from collections.abc import Iterable
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
    """

    version: str | None
    is_recorded: bool
    has_several: bool = False


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
    """

    def __init__(self) -> None:
        self.since_s: float | None = None
        self.inherited: set[str] = set()
        self.last_listed_s: dict[str, dict[str, float]] = {}

    def restart(self, now_s: float) -> None:
        """Record that versions may have come and gone unseen until now.

        :param now_s: negative infinity if none has ever served before
        """
        self.since_s = now_s
        self.inherited.clear()

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
        recent = self._recent(service, window_s, now_s)
        possible = {e.version for e in reports if e.version is not None}
        if any(each.has_several for each in reports):
            return False
        if not possible or set(recent) != possible:
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

    def only_version(
        self, service: str, window_s: float, now_s: float
    ) -> str | None:
        """Return the only version listed within a time, None if not certain.

        :param window_s: time for which callers may take up a stream, in
            seconds
        """
        if self.since_s is None:
            return None
        if service not in self.inherited and now_s - self.since_s < window_s:
            return None
        recent = self._recent(service, window_s, now_s)
        return recent[0] if len(recent) == 1 else None

    def has_several(self, service: str, window_s: float, now_s: float) -> bool:
        """Return whether several versions were listed within a time."""
        return len(self._recent(service, window_s, now_s)) > 1

    def _recent(
        self, service: str, window_s: float, now_s: float
    ) -> list[str]:
        times = self.last_listed_s.get(service, {})
        return [v for v, last in times.items() if last > now_s - window_s]


def resolve(
    own: str | None,
    reports: list[Report],
    only: str | None,
    listed: Iterable[str],
) -> Known | Unknown:
    """Decide at which version a stream that its caller takes up goes on.

    The only version that can have served counts where no host has seen
    several, and the endpoints that the store lists now have no other: the
    lists of hosts may be behind.

    :param own: version on record at this host
    :param reports: reports of other hosts
    :param only: the only version that can have served, as this host knows
    :param listed: versions of the endpoints that the store lists now, empty
        if it can't be asked
    """
    recorded = {each.version for each in reports if each.is_recorded}
    if own is not None:
        recorded.add(own)
    if len(recorded) > 1:
        return Unknown('streams of two versions have this id')
    if recorded:
        return Known(recorded.pop(), True)
    if any(each.has_several for each in reports):
        return Unknown('several versions serve, and no host has it on record')
    possible = {each.version for each in reports if each.version is not None}
    if only is not None:
        possible.add(only)
    if len(possible) != 1 or set(listed) != possible:
        return Unknown('no host knows what began the stream')
    return Known(possible.pop(), False)
