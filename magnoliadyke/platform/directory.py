"""Handlers of the host directory and of the readiness probe."""

import json
from typing import Callable

from magnoliadyke.gateway import smallserver

__all__ = ['Directory']

RESOLVE = b'/api/resolve'
READINESS = b'/api/readiness'
JSON = b'application/json'


class Directory:
    """Serves the directory of hosts and this host's readiness.

    :param addresses: returns the addresses that callers are to be told, as
        many as a response may have
    :param ready: returns whether this host accepts requests
    :param ttl_s: how long callers may cache a response, in seconds
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
        """Return the addresses to connect to; status 503 without any."""
        if target.split(b'?', 1)[0] != RESOLVE:
            return smallserver.Reply(404)
        addresses = self.addresses()
        if not addresses:
            return smallserver.Reply(503)
        body = {'addresses': addresses, 'ttl_s': self.ttl_s}
        return smallserver.Reply(200, JSON, json.dumps(body).encode())

    def readiness(self, method: bytes, target: bytes) -> smallserver.Reply:
        """Return status 200 if this host accepts requests, else 503."""
        if target.split(b'?', 1)[0] != READINESS:
            return smallserver.Reply(404)
        return smallserver.Reply(200 if self.ready() else 503)
