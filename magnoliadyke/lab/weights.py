"""Stand-in for the platform's weight store: bytes at a limited rate."""

import time
import typing

from magnoliadyke.lab import standin

__all__ = ['Spec', 'WeightStoreStandIn', 'main']


class Spec(typing.NamedTuple):
    """Settings of the stand-in.

    :param bytes_s: rate of the store, in bytes a second
    :param burst_bytes: bytes that may be taken at once
    """

    bytes_s: float = 2e9
    burst_bytes: float = 20e9


class WeightStoreStandIn:
    """A token bucket of bytes behind HTTP."""

    def __init__(self, spec):
        self.spec = spec
        self.available_bytes = spec.burst_bytes
        self.refilled_at_s = time.monotonic()
        self.granted = 0
        self.refused = 0

    def handle(self, request):
        """Answer one request."""
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
        """Grant the bytes, or say when to come back."""
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
    """Serve at ``ADDRESS`` with the settings in ``JSON``.

    :param argv: address, then optionally a JSON object of :class:`Spec`
    :returns: exit status
    """
    spec = standin.read_spec(Spec, argv)
    store = WeightStoreStandIn(spec)
    return standin.run(standin.Server(argv[0], store.handle))
