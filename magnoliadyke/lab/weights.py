"""Stand-in for the platform's weight store, which limits its byte rate."""

import time
import typing

from magnoliadyke.lab import standin

__all__ = ['Spec', 'WeightStoreStandIn', 'main']


class Spec(typing.NamedTuple):
    """Settings of the stand-in.

    :param bytes_s: refill rate of the token bucket, in bytes per second
    :param burst_bytes: capacity of the bucket
    """

    bytes_s: float = 2e9
    burst_bytes: float = 20e9


class WeightStoreStandIn:
    """Serves a token bucket of bytes over HTTP."""

    def __init__(self, spec):
        self.spec = spec
        self.available_bytes = spec.burst_bytes
        self.refilled_at_s = time.monotonic()
        self.granted = 0
        self.refused = 0

    def handle(self, request):
        """Return the response to one request."""
        match (request.method, request.path):
            case ('POST', '/tokens'):
                return self.take_bytes(float(request.json()['bytes']))
            case ('GET', '/health'):
                return standin.json_answer(200, {'state': 'up'})
            case ('GET', '/ledger'):
                return standin.json_answer(
                    200, {'granted': self.granted, 'refused': self.refused}
                )
        return standin.error_answer(404, 'no_such_path', request.path)

    def take_bytes(self, wanted_bytes):
        """Take bytes from the bucket, or refuse with 429 and ``Retry-After``.

        A request for more than the bucket's capacity is granted when the
        bucket is full; the bucket's level is then negative.

        :param wanted_bytes: bytes that the caller wants to read
        :returns: the response
        """
        now_s = time.monotonic()
        refill_bytes = (now_s - self.refilled_at_s) * self.spec.bytes_s
        self.available_bytes = min(
            self.spec.burst_bytes, self.available_bytes + refill_bytes
        )
        self.refilled_at_s = now_s
        missing_bytes = (
            min(wanted_bytes, self.spec.burst_bytes) - self.available_bytes
        )
        if missing_bytes > 0:
            self.refused += 1
            wait_s = missing_bytes / self.spec.bytes_s
            return standin.json_answer(
                429,
                {'retry_after_s': round(wait_s, 3)},
                (('Retry-After', str(int(wait_s) + 1)),),
            )
        self.available_bytes -= wanted_bytes
        self.granted += 1
        return standin.json_answer(200, {})


def main(argv):
    """Serve the weight store until stopped.

    :param argv: address, then optionally the :class:`Spec` as JSON object
    :returns: exit status
    """
    spec = standin.read_spec(Spec, argv)
    store = WeightStoreStandIn(spec)
    return standin.run(standin.Server(argv[0], store.handle))
