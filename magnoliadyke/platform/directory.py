"""What callers and the platform ask a host: where to connect, and is it
ready."""

import json
from typing import Callable

from magnoliadyke.gateway import smallserver

__all__ = ['Directory']

RESOLVE = b'/api/resolve'
READINESS = b'/api/readiness'
JSON = b'application/json'
#: Most addresses in an answer; callers pick among them at random.
MAX_ADDRESSES = 64


class Directory:
    """Handlers of the two calls.

    :param addresses: gives the hosts that take requests
    :param ready: whether this host takes requests
    :param ttl_s: how long callers keep an answer
    """

    def __init__(
        self,
        addresses: Callable[[], list[str]],
        ready: Callable[[], bool],
        ttl_s: float,
    ) -> None:
        self.addresses = addresses
        self.ready = ready
        self.ttl_s = ttl_s

    def resolve(self, method: bytes, target: bytes) -> smallserver.Reply:
        """Tell where to connect."""
        if target.split(b'?', 1)[0] != RESOLVE:
            return smallserver.Reply(404)
        addresses = self.addresses()[:MAX_ADDRESSES]
        if not addresses:
            return smallserver.Reply(503)
        body = {'addresses': addresses, 'ttl_s': self.ttl_s}
        return smallserver.Reply(200, JSON, json.dumps(body).encode())

    def readiness(self, method: bytes, target: bytes) -> smallserver.Reply:
        """Tell whether this host takes requests."""
        if target.split(b'?', 1)[0] != READINESS:
            return smallserver.Reply(404)
        return smallserver.Reply(200 if self.ready() else 503)
