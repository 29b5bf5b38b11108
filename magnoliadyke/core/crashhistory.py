"""Crash counts by request, to find requests that crash endpoints.

A request may crash each endpoint that begins to run it, while its caller
resends it to any host.  Unchecked it crashes one endpoint after the other,
with all requests that run there.  A crash fails every request of its
endpoint, so a single crash shows little about one of them; but only the
request at fault is present at several crashes in a row.
"""

import dataclasses
from typing import Iterable

__all__ = ['CrashHistory']

#: Crashed endpoints after which a request counts as the cause.  Two also
#: happen to an innocent request that is retried on another endpoint, if that
#: one crashes as well.
MAX_CRASHES = 3
#: How long a request is kept after its last attempt, in seconds.  Callers
#: retry, and crashed endpoints restart, within a few seconds.
RETENTION_S = 120.0
#: Maximum number of requests kept: all that run on dozens of endpoints.
MAX_REQUESTS = 4096


@dataclasses.dataclass(slots=True)
class _RequestCrashes:
    """The crashes of one request.

    :ivar endpoints: ids of the endpoint processes at which the request failed
    :ivar seen_s: when the request last failed or was last refused
    :ivar succeeded_s: when the request was last answered completely, minus
        infinity if never
    """

    endpoints: set[str]
    seen_s: float
    succeeded_s: float = float('-inf')


class CrashHistory:
    """The endpoints at which requests failed, by digest of the request."""

    def __init__(self) -> None:
        self.requests: dict[bytes, _RequestCrashes] = {}

    def __len__(self) -> int:
        return len(self.requests)

    def record_crash(
        self, request: bytes, endpoints: Iterable[str], now_s: float
    ) -> bool:
        """Record that a request failed at endpoints without an answer.

        :param endpoints: ids of the endpoint processes; a restarted one has
            another id
        :returns: whether one of them had not been recorded
        """
        entry = self.requests.pop(request, None)
        if entry is None or self._is_expired(entry, now_s):
            entry = _RequestCrashes(set(), now_s)
        # Inserted anew at the end: requests are dropped from the front.
        self.requests[request] = entry
        entry.seen_s = now_s
        known = len(entry.endpoints)
        entry.endpoints.update(endpoints)
        self._trim(now_s)
        return len(entry.endpoints) > known

    def record_success(self, request: bytes, now_s: float) -> None:
        """Record that a request was answered completely."""
        entry = self.requests.get(request)
        if entry is not None:
            entry.succeeded_s = now_s

    def blocked_s(self, request: bytes, now_s: float) -> float:
        """Return how long to refuse a request, in seconds; 0 if it may run."""
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
