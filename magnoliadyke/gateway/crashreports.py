"""Requests that may crash endpoints, as far as all hosts know."""

import hashlib
from typing import Callable

from magnoliadyke import clock as clocks
from magnoliadyke.core import crashhistory
from magnoliadyke.gateway import codec as codecs
from magnoliadyke.gateway import placement_codec
from magnoliadyke import logs

__all__ = ['CrashReporter']

LOG = logs.get('suspects')

FINGERPRINT_BYTES = 8
#: Requests that other hosts are told of in one second; a crash of a full
#: engine breaks off a dozen at a host.  More at a time are no single
#: request's doing, and small links have better use.
MAX_NOTIFICATIONS_PER_S = 24


class CrashReporter:
    """Notes requests that broke off, and tells the other hosts.

    Callers send a request that failed again, to any host: what one host
    has seen of it has to be known at all of them before that.

    :param tell: sends a message to all other hosts
    """

    def __init__(
        self,
        clock: clocks.Clock,
        broadcast: Callable[[placement_codec.Message], None],
    ) -> None:
        self.clock = clock
        self.broadcast = broadcast
        self.history = crashhistory.CrashHistory()
        self.window_start_s = float('-inf')
        self.sent_in_window = 0

    def record_crash(self, request: codecs.Request, endpoint: str) -> None:
        """An endpoint broke a request off without an answer."""
        now_s = self.clock.now_s()
        fingerprint = _fingerprint(request)
        if not self.history.record_crash(fingerprint, (endpoint,), now_s):
            return
        self._log_barred(fingerprint, now_s)
        if now_s - self.window_start_s >= 1.0:
            self.window_start_s = now_s
            self.sent_in_window = 0
        self.sent_in_window += 1
        if self.sent_in_window > MAX_NOTIFICATIONS_PER_S:
            LOG.repeated(
                'broken_request_untold', endpoint, told=self.sent_in_window
            )
            return
        known = tuple(self.history.requests[fingerprint].endpoints)
        self.broadcast(placement_codec.CrashNotification(fingerprint, known))

    def handle_report(
        self, message: placement_codec.CrashNotification
    ) -> None:
        """Another host tells of a request that broke off there."""
        now_s = self.clock.now_s()
        fingerprint, endpoints = message
        if self.history.record_crash(fingerprint, endpoints, now_s):
            self._log_barred(fingerprint, now_s)

    def record_success(self, request: codecs.Request) -> None:
        """A request was answered whole."""
        if len(self.history):
            now_s = self.clock.now_s()
            self.history.record_success(_fingerprint(request), now_s)

    def barred_s(self, request: codecs.Request) -> float:
        """How long a request is not to be run, in seconds; 0 if it may.

        Nothing is computed while no request is under suspicion.
        """
        if not len(self.history):
            return 0.0
        now_s = self.clock.now_s()
        return self.history.barred_s(_fingerprint(request), now_s)

    def _log_barred(self, fingerprint: bytes, now_s: float) -> None:
        if self.history.barred_s(fingerprint, now_s):
            endpoints = self.history.requests[fingerprint].endpoints
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
