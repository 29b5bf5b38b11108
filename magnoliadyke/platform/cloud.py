"""Client of the platform's API for usage reports and scaling."""

import json
from typing import Any

import gevent

from magnoliadyke.core import autoscaler
from magnoliadyke.gateway import connection
from magnoliadyke.gateway import http
from magnoliadyke.gateway import operatorcalls

__all__ = ['PlatformCalls']

#: Timeout of a call, in seconds: enough for a platform that responds fifty
#: times slower than usual.
CALL_TIMEOUT_S = 3.0
CONNECT_TIMEOUT_S = 1.0
STATUS_OK = 200
STATUS_CONFLICT = 409
STATUS_RATE_LIMITED = 429
SERVER_ERRORS = range(500, 600)


class PlatformCalls(operatorcalls.OperatorCalls):
    """Calls the platform, each time on a new connection, as calls are rare.

    :param address: numeric ``ip:port`` of the platform's API
    """

    def __init__(self, address: str) -> None:
        self.address = address

    def report_usage(
        self, caller: operatorcalls.Caller, window: int, counts: dict[str, int]
    ) -> (
        operatorcalls.Done | operatorcalls.Rejected | operatorcalls.Unreachable
    ):
        """Report how many requests started in a window, by workspace."""
        body = {'window_id': window, 'counts': counts}
        return self._call(caller, b'/usage', body)

    def order_endpoints(
        self, caller: operatorcalls.Caller, order: autoscaler.ScaleOrder
    ) -> (
        operatorcalls.Done | operatorcalls.Rejected | operatorcalls.Unreachable
    ):
        """Set the number of a service's endpoints in a failure domain."""
        body: dict[str, Any] = {
            'service': order.service,
            'zone': order.failure_domain,
            'desired_count': order.count,
        }
        if order.reclaimable:
            body['spot'] = True
        return self._call(caller, b'/scale', body)

    def _call(
        self, caller: operatorcalls.Caller, target: bytes, body: dict[str, Any]
    ) -> (
        operatorcalls.Done | operatorcalls.Rejected | operatorcalls.Unreachable
    ):
        headers = [
            (b'Host', self.address.encode()),
            (b'Content-Type', b'application/json'),
            (b'X-Duty-Holder', caller.host.encode()),
            (b'X-Fence-Token', b'%d' % caller.fencing),
        ]
        conn = None
        try:
            with gevent.Timeout(
                CALL_TIMEOUT_S,
                http.OutOfTime('platform did not respond in time'),
            ):
                conn = connection.Connection(self.address, CONNECT_TIMEOUT_S)
                answer = conn.call(
                    b'POST', target, headers, json.dumps(body).encode()
                )
        except (
            OSError,
            http.BrokenMessage,
            http.OutOfTime,
            http.PeerClosed,
        ) as error:
            return operatorcalls.Unreachable(str(error))
        finally:
            if conn is not None:
                conn.close()
        return _outcome(answer.head.status, answer.body)


def _outcome(
    status: int, body: bytes
) -> operatorcalls.Done | operatorcalls.Rejected:
    if status == STATUS_OK:
        return operatorcalls.Done()
    reason = f'status {status}: {body[:120].decode(errors="replace")}'
    scarce = status == STATUS_CONFLICT
    retryable = (
        scarce or status == STATUS_RATE_LIMITED or status in SERVER_ERRORS
    )
    return operatorcalls.Rejected(reason, scarce, retryable)
