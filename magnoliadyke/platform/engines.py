"""HTTP client for the engines' state reports, stage orders and stops."""

import json
from typing import Any

import gevent

from magnoliadyke.core import catalog
from magnoliadyke.core import streambackup
from magnoliadyke.gateway import connection
from magnoliadyke.gateway import enginecontrol
from magnoliadyke.gateway import fields as report
from magnoliadyke.gateway import http
from magnoliadyke.platform import records

__all__ = ['PlatformEngines']

CALL_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 0.4
STATUS_OK = 200
STATUS_ACCEPTED = 202
STATUS_NOT_FOUND = 404
STATUS_CONFLICT = 409
STATUS_UNAVAILABLE = 503
#: Pause before a stop is repeated that found an earlier one under way, in
#: seconds: a small share of the time in which a run has to be stopped.
STOP_RETRY_S = 0.05
#: Errors of calls about a run.
STOP_ERRORS = (
    OSError,
    http.BrokenMessage,
    http.OutOfTime,
    http.PeerClosed,
    ValueError,
)


class PlatformEngines(enginecontrol.EngineControl):
    """Calls engines, each time on a new connection."""

    def state(
        self, endpoint: catalog.Endpoint
    ) -> enginecontrol.EngineState | enginecontrol.Unreachable:
        """Return the state that an engine reports."""
        reply = self._call(endpoint, b'GET', b'/api/report', None)
        if isinstance(reply, enginecontrol.Unreachable):
            return reply
        status, fields = reply
        if status != STATUS_OK:
            return enginecontrol.Unreachable(f'status {status}')
        if endpoint.started_ms and fields.get('born') != endpoint.started_ms:
            # The engine has restarted, but its store entry still describes
            # the former process.  The count of accepted orders in this report
            # does not apply to that process.
            return enginecontrol.Unreachable(
                'another process responded; expected the one started at '
                f'{endpoint.started_ms} ms'
            )
        try:
            return enginecontrol.EngineState(
                records.STAGES.get(
                    report.read_string(fields, 'stage', ''), catalog.Stage.NONE
                ),
                # In a report this field counts accepted orders.  The field of
                # the same name in the store's entries counts heartbeats.
                report.read_integer(fields, 'sequence', 0, 0),
                report.read_bool(fields, 'busy'),
            )
        except report.BadField as error:
            return enginecontrol.Unreachable(f'unusable report: {error}')

    def order_stage(
        self,
        endpoint: catalog.Endpoint,
        stage: catalog.Stage,
        holder: str,
        fencing: int,
        orders: int,
    ) -> enginecontrol.Ordered | enginecontrol.Unreachable:
        """Order an engine to change its stage."""
        body = {
            'op': 'stage',
            'stage': stage.value,
            'holder': holder,
            'fence': fencing,
            'precondition': orders,
        }
        reply = self._call(endpoint, b'POST', b'/api/order', body)
        if isinstance(reply, enginecontrol.Unreachable):
            return reply
        status, fields = reply
        accepted = status in (STATUS_OK, STATUS_ACCEPTED)
        reason = f'status {status}'
        if fields.get('error'):
            reason += f': {fields["error"]}'
        return enginecontrol.Ordered(accepted, reason)

    def stop_run(
        self,
        endpoint: catalog.Endpoint,
        request_id: bytes,
        target: str,
    ) -> streambackup.Stopped:
        """Stop a run at an engine, and move its KV cache to another one."""
        body = {
            'id': request_id.decode('latin-1'),
            'target': target,
            'last': True,
        }
        data = json.dumps(body).encode()
        reached = False
        try:
            with gevent.Timeout(
                streambackup.STOP_LIMIT_S,
                http.OutOfTime('engine did not respond in time'),
            ):
                while True:
                    conn = self._connect_to_stop(endpoint)
                    reached = True
                    answer = self._ask(
                        conn, endpoint, b'POST', b'/api/kv-move', data
                    )
                    if answer.head.status != STATUS_CONFLICT:
                        break
                    # The engine is carrying out an earlier stop, of which no
                    # answer came in time.
                    gevent.sleep(STOP_RETRY_S)
            status = answer.head.status
            if status == STATUS_NOT_FOUND:
                return streambackup.NoSuchRun()
            if status not in (STATUS_OK, STATUS_UNAVAILABLE):
                return streambackup.Uncertain(f'status {status}')
            fields = report.parse_object(answer.body or b'{}')
            handle = report.read_string(fields, 'kv_handle', '')
            if not handle:
                return streambackup.Uncertain(
                    f'status {status} without kv_handle'
                )
            if status == STATUS_UNAVAILABLE:
                return streambackup.Kept(handle)
            return streambackup.Moved(handle)
        except STOP_ERRORS as error:
            return _unstopped(error, reached)

    def check_responds(
        self, endpoint: catalog.Endpoint
    ) -> streambackup.EngineGone | streambackup.Uncertain | None:
        """Check that an engine answers a call at once."""
        reached = False
        try:
            with gevent.Timeout(
                streambackup.RESPONSE_LIMIT_S,
                http.OutOfTime('engine did not respond at once'),
            ):
                conn = self._connect_to_stop(endpoint)
                reached = True
                self._ask(conn, endpoint, b'GET', b'/api/report', b'')
        except STOP_ERRORS as error:
            return _unstopped(error, reached)
        return None

    def _connect_to_stop(
        self, endpoint: catalog.Endpoint
    ) -> connection.Connection:
        return connection.Connection(
            endpoint.address, streambackup.STOP_LIMIT_S
        )

    def _ask(
        self,
        conn: connection.Connection,
        endpoint: catalog.Endpoint,
        method: bytes,
        target: bytes,
        body: bytes,
    ) -> connection.Answer:
        """Make a call, and wait for its answer; close the connection."""
        try:
            return conn.call(method, target, _headers(endpoint), body)
        finally:
            conn.close()

    def _call(
        self,
        endpoint: catalog.Endpoint,
        method: bytes,
        target: bytes,
        body: dict[str, Any] | None,
    ) -> tuple[int, dict[str, Any]] | enginecontrol.Unreachable:
        data = b'' if body is None else json.dumps(body).encode()
        conn = None
        try:
            with gevent.Timeout(
                CALL_TIMEOUT_S,
                http.OutOfTime('engine did not respond in time'),
            ):
                conn = connection.Connection(
                    endpoint.address, CONNECT_TIMEOUT_S
                )
                answer = conn.call(method, target, _headers(endpoint), data)
            fields = report.parse_object(answer.body or b'{}')
        except (
            OSError,
            http.BrokenMessage,
            http.OutOfTime,
            http.PeerClosed,
            ValueError,
        ) as error:
            return enginecontrol.Unreachable(str(error))
        finally:
            if conn is not None:
                conn.close()
        return answer.head.status, fields


def _unstopped(
    error: Exception, reached: bool
) -> streambackup.EngineGone | streambackup.Uncertain:
    """Return what one of :data:`STOP_ERRORS` says about a run.

    :param reached: whether a connection was opened
    """
    if isinstance(error, ConnectionRefusedError):
        return streambackup.EngineGone(was_refused=True)
    if not reached and isinstance(error, TimeoutError | http.OutOfTime):
        return streambackup.EngineGone(was_refused=False)
    return streambackup.Uncertain(str(error) or type(error).__name__)


def _headers(endpoint: catalog.Endpoint) -> http.Headers:
    return [
        (b'Host', endpoint.address.encode()),
        (b'Content-Type', b'application/json'),
        (b'X-Expect-Instance', endpoint.name.encode()),
    ]
