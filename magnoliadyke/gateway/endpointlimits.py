"""Rate limits of endpoints, as their responses name them."""

import collections

from magnoliadyke import clock as clocks
from magnoliadyke.core import endpointlimits
from magnoliadyke import logs

__all__ = ['EndpointLimits']

LOG = logs.get('endpointlimits')


class EndpointLimits:
    """The rate limits of endpoints that this host knows.

    :ivar named: the limits that responses named
    :ivar sends: number of requests that this host sent to endpoints while
        they had a limit, by endpoint id
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self.clock = clock
        self.named = endpointlimits.NamedLimits()
        self.sends: collections.Counter[str] = collections.Counter()

    def record_send(self, endpoint_id: str) -> None:
        """Count a request that is sent to an endpoint."""
        if self.named.rate_s(endpoint_id) is not None:
            self.sends[endpoint_id] += 1

    def record_response(
        self,
        endpoint_id: str,
        rate_s: float | None,
        sent_s: float,
        request_id: bytes,
    ) -> None:
        """Record the limit that a response names.

        :param rate_s: requests per second, None if it names no limit
        :param sent_s: when the request was sent, in monotonic seconds
        """
        before = self.named.rate_s(endpoint_id)
        statement = endpointlimits.Statement(
            rate_s, sent_s, self.clock.now_s()
        )
        if self.named.record(endpoint_id, statement):
            LOG.event(
                'endpoint_limit',
                id=request_id.decode('latin-1'),
                endpoint=endpoint_id,
                rate_s='none' if rate_s is None else rate_s,
                before='none' if before is None else before,
                source='response',
                age_ms=round((statement.received_s - sent_s) * 1000),
            )

    def record_malformed(
        self, endpoint_id: str, error: str, request_id: bytes
    ) -> None:
        """Log that a response names a limit that can't be decoded."""
        LOG.throttled_warning(
            'endpoint_limit_malformed',
            endpoint_id,
            id=request_id.decode('latin-1'),
            endpoint=endpoint_id,
            error=error,
        )

    def remove_unlisted(self, listed: set[str]) -> None:
        """Forget the limits of endpoints that are no longer listed."""
        for endpoint_id in [e for e in self.named.latest if e not in listed]:
            self.named.drop(endpoint_id)
            self.sends.pop(endpoint_id, None)
