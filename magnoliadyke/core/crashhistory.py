"""Requests after which endpoints die.

A request may crash each endpoint that begins to run it, and its caller
sends it again, to any host.  Unchecked it takes down one endpoint after the
other, with all that runs there.  A crash breaks off everything that an
endpoint runs, so one says little of a request; but only the one at fault is
there at several crashes in a row.
"""

import dataclasses
from typing import Iterable

__all__ = ['CrashHistory']

#: Endpoints at which a request broke off before it is taken for the cause.
#: Two happen to others by bad luck: a request that is sent on from one
#: endpoint that dies to another that dies as well.
MAX_CRASHES = 3
#: How long a request is remembered after its last try, in seconds; callers
#: try again within seconds, and an endpoint is back after some.
RETENTION_S = 120.0
#: Requests remembered: all that dozens of endpoints run when they crash.
MAX_REQUESTS = 4096


@dataclasses.dataclass(slots=True)
class _RequestCrashes:
    """What is known of one request.

    :ivar endpoints: processes at which it broke off
    :ivar served_s: when it was answered whole, minus infinity if never
    """

    endpoints: set[str]
    seen_s: float
    succeeded_s: float = float('-inf')


class CrashHistory:
    """At which endpoints requests broke off, by digest of the request."""

    def __init__(self) -> None:
        self.requests: dict[bytes, _RequestCrashes] = {}

    def __len__(self) -> int:
        return len(self.requests)

    def record_crash(
        self, request: bytes, endpoints: Iterable[str], now_s: float
    ) -> bool:
        """A request broke off at these endpoints.

        :param endpoints: ids of their processes; another start has another
        :returns: whether that was news
        """
        entry = self.requests.pop(request, None)
        if entry is None or self._is_expired(entry, now_s):
            entry = _RequestCrashes(set(), now_s)
        # The last one seen is the last one dropped.
        self.requests[request] = entry
        entry.seen_s = now_s
        known = len(entry.endpoints)
        entry.endpoints.update(endpoints)
        self._trim(now_s)
        return len(entry.endpoints) > known

    def record_success(self, request: bytes, now_s: float) -> None:
        """A request was answered whole: it crashes nothing."""
        entry = self.requests.get(request)
        if entry is not None:
            entry.succeeded_s = now_s

    def barred_s(self, request: bytes, now_s: float) -> float:
        """How long a request is not to be run, in seconds; 0 if it may."""
        entry = self.requests.get(request)
        if entry is None or len(entry.endpoints) < MAX_CRASHES:
            return 0.0
        if self._is_expired(entry, now_s):
            del self.requests[request]
            return 0.0
        if now_s - entry.succeeded_s < RETENTION_S:
            return 0.0
        entry.seen_s = now_s
        return RETENTION_S

    def _is_expired(self, entry: _RequestCrashes, now_s: float) -> bool:
        return now_s - entry.seen_s > RETENTION_S

    def _trim(self, now_s: float) -> None:
        while self.requests:
            request, oldest = next(iter(self.requests.items()))
            full = len(self.requests) > MAX_REQUESTS
            if not full and not self._is_expired(oldest, now_s):
                return
            del self.requests[request]
