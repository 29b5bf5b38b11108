"""Requests that may crash endpoints, as far as all hosts know."""

import hashlib
from typing import Callable

from magnoliadyke import clock as clocks
from magnoliadyke.core import crashhistory
from magnoliadyke.gateway import codec as codecs
from magnoliadyke.gateway import placement_codec
from magnoliadyke import logs

__all__ = ['Suspects']

LOG = logs.get('suspects')

FINGERPRINT_BYTES = 8
#: Requests that other hosts are told of in one second; a crash of a full
#: engine breaks off a dozen at a host.  More at a time are no single
#: request's doing, and small links have better use.
MOST_TOLD_A_SECOND = 24


class Suspects:
    """Notes requests that broke off, and tells the other hosts.

    Callers send a request that failed again, to any host: what one host
    has seen of it has to be known at all of them before that.

    :param tell: sends a message to all other hosts
    """

    def __init__(
        self,
        clock: clocks.Clock,
        tell: Callable[[placement_codec.Message], None],
    ) -> None:
        self.clock = clock
        self.tell = tell
        self.record = crashhistory.CrashHistory()
        self.told_since_s = float('-inf')
        self.told = 0

    def broke(self, request: codecs.Request, endpoint: str) -> None:
        """An endpoint broke a request off without an answer."""
        now_s = self.clock.now_s()
        fingerprint = _fingerprint(request)
        if not self.record.record_crash(fingerprint, (endpoint,), now_s):
            return
        self._log_barred(fingerprint, now_s)
        if now_s - self.told_since_s >= 1.0:
            self.told_since_s = now_s
            self.told = 0
        self.told += 1
        if self.told > MOST_TOLD_A_SECOND:
            LOG.repeated('broken_request_untold', endpoint, told=self.told)
            return
        known = tuple(self.record.requests[fingerprint].endpoints)
        self.tell(placement_codec.Broken(fingerprint, known))

    def heard(self, message: placement_codec.Broken) -> None:
        """Another host tells of a request that broke off there."""
        now_s = self.clock.now_s()
        fingerprint, endpoints = message
        if self.record.record_crash(fingerprint, endpoints, now_s):
            self._log_barred(fingerprint, now_s)

    def served(self, request: codecs.Request) -> None:
        """A request was answered whole."""
        if len(self.record):
            now_s = self.clock.now_s()
            self.record.record_success(_fingerprint(request), now_s)

    def barred_s(self, request: codecs.Request) -> float:
        """How long a request is not to be run, in seconds; 0 if it may.

        Nothing is computed while no request is under suspicion.
        """
        if not len(self.record):
            return 0.0
        now_s = self.clock.now_s()
        return self.record.barred_s(_fingerprint(request), now_s)

    def _log_barred(self, fingerprint: bytes, now_s: float) -> None:
        if self.record.barred_s(fingerprint, now_s):
            endpoints = self.record.requests[fingerprint].endpoints
            LOG.warning_event(
                'request_barred',
                fingerprint=fingerprint.hex(),
                endpoints=','.join(sorted(endpoints)),
            )


def _fingerprint(request: codecs.Request) -> bytes:
    """A caller's further tries have other ids, but the same content."""
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (
        request.host.encode(),
        request.method,
        request.target,
        request.body,
    ):
        digest.update(len(part).to_bytes(4, 'big'))
        digest.update(part)
    return digest.digest()
