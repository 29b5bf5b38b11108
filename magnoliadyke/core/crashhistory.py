"""Requests after which endpoints die.

A request may crash each endpoint that begins to run it, and its caller
sends it again, to any host.  Unchecked it takes down one endpoint after the
other, with all that runs there.  A crash breaks off everything that an
endpoint runs, so one says little of a request; but only the one at fault is
there at several crashes in a row.
"""

import dataclasses
from typing import Iterable

__all__ = ['CrashRecord']

#: Endpoints at which a request broke off before it is taken for the cause.
#: Two happen to others by bad luck: a request that is sent on from one
#: endpoint that dies to another that dies as well.
MOST_CRASHES = 3
#: How long a request is remembered after its last try, in seconds; callers
#: try again within seconds, and an endpoint is back after some.
FORGET_S = 120.0
#: Requests remembered: all that dozens of endpoints run when they crash.
MOST_REQUESTS = 4096


@dataclasses.dataclass(slots=True)
class _Suspect:
    """What is known of one request.

    :ivar endpoints: processes at which it broke off
    :ivar served_s: when it was answered whole, minus infinity if never
    """

    endpoints: set[str]
    seen_s: float
    served_s: float = float('-inf')


class CrashRecord:
    """At which endpoints requests broke off, by digest of the request."""

    def __init__(self) -> None:
        self.suspects: dict[bytes, _Suspect] = {}

    def __len__(self) -> int:
        return len(self.suspects)

    def broke(
        self, request: bytes, endpoints: Iterable[str], now_s: float
    ) -> bool:
        """A request broke off at these endpoints.

        :param endpoints: ids of their processes; another start has another
        :returns: whether that was news
        """
        suspect = self.suspects.pop(request, None)
        if suspect is None or self._is_old(suspect, now_s):
            suspect = _Suspect(set(), now_s)
        # The last one seen is the last one dropped.
        self.suspects[request] = suspect
        suspect.seen_s = now_s
        known = len(suspect.endpoints)
        suspect.endpoints.update(endpoints)
        self._trim(now_s)
        return len(suspect.endpoints) > known

    def served(self, request: bytes, now_s: float) -> None:
        """A request was answered whole: it crashes nothing."""
        suspect = self.suspects.get(request)
        if suspect is not None:
            suspect.served_s = now_s

    def barred_s(self, request: bytes, now_s: float) -> float:
        """How long a request is not to be run, in seconds; 0 if it may."""
        suspect = self.suspects.get(request)
        if suspect is None or len(suspect.endpoints) < MOST_CRASHES:
            return 0.0
        if self._is_old(suspect, now_s):
            del self.suspects[request]
            return 0.0
        if now_s - suspect.served_s < FORGET_S:
            return 0.0
        suspect.seen_s = now_s
        return FORGET_S

    def _is_old(self, suspect: _Suspect, now_s: float) -> bool:
        return now_s - suspect.seen_s > FORGET_S

    def _trim(self, now_s: float) -> None:
        while self.suspects:
            request, oldest = next(iter(self.suspects.items()))
            full = len(self.suspects) > MOST_REQUESTS
            if not full and not self._is_old(oldest, now_s):
                return
            del self.suspects[request]
