"""HTTP client of the platform's metadata store."""

import base64
import collections
import json
from typing import Any
from typing import NamedTuple
from urllib import parse

import gevent

from magnoliadyke import clock as clocks
from magnoliadyke.core import heldbodies
from magnoliadyke.core import position
from magnoliadyke.gateway import connection
from magnoliadyke.gateway import http
from magnoliadyke.gateway import store
from magnoliadyke import logs

__all__ = ['PlatformStore']

LOG = logs.get('store')

CALL_TIMEOUT_S = 1.5
CONNECT_TIMEOUT_S = 1.0
#: Added to a watch's wait time to give its time limit, in seconds.  A watch
#: that gets no response by then waits on a connection whose state a middlebox
#: has dropped.
WATCH_GRACE_S = 0.7
#: Time limits for the next part of a response's body and for the whole body,
#: in seconds.  Many keys take seconds over a slow link, and after a time-out
#: all of them are read again.
READ_TIMEOUT_S = 0.7
RESPONSE_TIMEOUT_S = 3.0
#: A connection that has been idle for longer, in seconds, is replaced.  A new
#: one costs one round trip; a call on one that was silently dropped runs into
#: its time-out.
MAX_IDLE_S = 4.0
#: Maximum size of the bodies of a call and of a watch together, in bytes: a
#: page of keys has some 1 MB, but changes come at once, with values of up to
#: 1 MiB in base64.
MAX_HELD_BYTES = 32 << 20
JSON_HEADERS = [(b'Content-Type', b'application/json')]
#: The store's epoch, raised by one at each restore from a backup.
ERA_HEADER = b'store-era'

STATUS_OK = 200
STATUS_NOT_FOUND = 404
STATUS_GONE = 410
STATUS_CONFLICT = 412
STATUS_RATE_LIMITED = 429
STATUS_UNAVAILABLE = 503


class _Reply(NamedTuple):
    status: int
    fields: dict[str, Any]
    era: int


class PlatformStore(store.Store):
    """Client of the store; it never retries a call by itself.

    :param address: numeric ``ip:port`` of the store
    :ivar era: latest era in a response of the store, None before the first
        response
    :ivar restores: number of era changes that this client has seen
    :ivar calls: number of calls by kind
    :ivar bodies: bodies of responses that are being received
    :ivar idle_connection: open connection for the next call, if any
    :ivar watch_connection: open connection for the next watch, if any
    """

    def __init__(self, address: str, clock: clocks.Clock) -> None:
        self.address = address
        self.clock = clock
        self.era: int | None = None
        self.restores = 0
        self.calls: collections.Counter[str] = collections.Counter()
        self.bodies = heldbodies.HeldBodies(MAX_HELD_BYTES)
        self.idle_connection: connection.Connection | None = None
        self.watch_connection: connection.Connection | None = None

    def list_prefix(self, prefix: str) -> store.Items | store.Unavailable:
        """Read all keys under a prefix, in pages."""
        items: list[store.Item] = []
        after = ''
        start: position.Position | None = None
        while True:
            path = f'/api/kv-range?path_prefix={_quoted(prefix)}'
            if after:
                path += f'&after={_quoted(after)}'
            reply = self._call('list', b'GET', path)
            if isinstance(reply, store.Unavailable):
                return reply
            if reply.status != STATUS_OK:
                return _unavailable(reply)
            if start is None:
                # The pages are not one snapshot.  A watch from the first
                # page's position delivers the changes made in between.
                start = position.Position(
                    reply.era, reply.fields['store_revision']
                )
            if reply.era != start.era:
                return store.Unavailable(
                    f'restored between two pages: expected era {start.era}, '
                    f'got {reply.era}',
                    False,
                )
            items += [
                _decode_item(each, reply.era) for each in reply.fields['items']
            ]
            if not reply.fields['more_pages']:
                return store.Items(tuple(items), start)
            after = items[-1].key

    def read(self, key: str) -> store.Item | store.Absent | store.Unavailable:
        """Read one key, as of some moment during this call."""
        path = f'/api/kv-key?key={_quoted(key)}'
        reply = self._call('read', b'GET', path)
        if isinstance(reply, store.Unavailable):
            return reply
        match reply.status:
            case status if status == STATUS_OK:
                return _decode_item(reply.fields, reply.era)
            case status if status == STATUS_NOT_FOUND:
                return store.Absent()
        return _unavailable(reply)

    def watch(
        self, prefix: str, after: position.Position, wait_s: float
    ) -> store.Changes | store.Compacted | store.Restored | store.Unavailable:
        """Wait for changes under a prefix, on a separate connection.

        A watch that does not wait shares the connection of the other calls.
        """
        if self.era is not None and self.era > after.era:
            return store.Restored(self.era)
        path = (
            f'/api/kv-watch?path_prefix={_quoted(prefix)}'
            f'&after={after.revision}&wait_ms={round(wait_s * 1000)}'
        )
        if wait_s:
            reply = self._wait_for_changes(path, wait_s)
        else:
            reply = self._call('watch', b'GET', path)
        if isinstance(reply, store.Unavailable):
            return reply
        if reply.era > after.era:
            return store.Restored(reply.era)
        if reply.era < after.era:
            return store.Unavailable(
                _earlier_era_reason(reply.era, after.era), False
            )
        if reply.status == STATUS_GONE:
            return store.Compacted()
        if reply.status != STATUS_OK:
            return _unavailable(reply)
        changes = tuple(
            _decode_change(each, reply.era) for each in reply.fields['events']
        )
        return store.Changes(
            changes,
            position.Position(reply.era, reply.fields['store_revision']),
        )

    def _wait_for_changes(
        self, path: str, wait_s: float
    ) -> _Reply | store.Unavailable:
        conn, self.watch_connection = self.watch_connection, None
        if conn is not None and not conn.is_quiet():
            conn.close()
            conn = None
        reply, self.watch_connection = self._exchange(
            'watch', conn, b'GET', path, b'', wait_s + WATCH_GRACE_S
        )
        return reply

    def commit(
        self,
        expected: dict[str, position.Position],
        puts: tuple[store.Put, ...] = (),
        removals: tuple[str, ...] = (),
    ) -> (
        store.Written
        | store.Conflict
        | store.NoLease
        | store.Restored
        | store.Unavailable
    ):
        """Write and remove keys atomically if ``expected`` positions match."""
        eras = {each.era for each in expected.values()}
        if self.era is not None and any(era < self.era for era in eras):
            return store.Restored(self.era)
        body = {
            'precondition': [
                {'key': key, 'revision': each.revision}
                for key, each in expected.items()
            ],
            'set_keys': [_encode_put(each) for each in puts],
            'remove': list(removals),
        }
        reply = self._call('commit', b'POST', '/api/kv-txn', body)
        if isinstance(reply, store.Unavailable):
            return reply
        if any(era < reply.era for era in eras):
            # Even if the transaction was applied: the restored store has
            # another history, in which the keys matched the expected
            # revisions by chance.
            return store.Restored(reply.era)
        if any(era > reply.era for era in eras):
            return store.Unavailable(
                _earlier_era_reason(reply.era, max(eras)), True
            )
        match reply.status:
            case status if status == STATUS_OK:
                return store.Written(
                    position.Position(reply.era, reply.fields['revision'])
                )
            case status if status == STATUS_CONFLICT:
                items = reply.fields.get('items', ())
                return store.Conflict(
                    tuple(_decode_item(each, reply.era) for each in items)
                )
            case status if status == STATUS_NOT_FOUND:
                return store.NoLease()
        return _unavailable(reply)

    def grant(self, ttl_s: float) -> store.Granted | store.Unavailable:
        """Request a lease."""
        body = {'ttl_ms': round(ttl_s * 1000)}
        reply = self._call('grant', b'POST', '/api/kv-lease', body)
        if isinstance(reply, store.Unavailable):
            return reply
        if reply.status != STATUS_OK:
            return _unavailable(reply)
        fields = reply.fields
        return store.Granted(fields['lease'], fields['ttl_ms'] / 1000)

    def renew(
        self, lease: int
    ) -> store.Granted | store.NoLease | store.Restored | store.Unavailable:
        """Renew a lease that was granted in the current era."""
        era = self.era
        reply = self._call('renew', b'POST', f'/api/kv-keep/{lease}', {})
        if isinstance(reply, store.Unavailable):
            return reply
        if era is not None and reply.era > era:
            return store.Restored(reply.era)
        if reply.status == STATUS_NOT_FOUND:
            return store.NoLease()
        if reply.status != STATUS_OK:
            return _unavailable(reply)
        return store.Granted(lease, reply.fields['ttl_ms'] / 1000)

    def revoke(self, lease: int) -> None:
        """End a lease, which removes its keys."""
        self._call('revoke', b'DELETE', f'/api/kv-lease-end/{lease}')

    def close(self) -> None:
        """Close all connections."""
        for conn in (self.idle_connection, self.watch_connection):
            if conn is not None:
                conn.close()
        self.idle_connection = None
        self.watch_connection = None

    def _call(
        self,
        kind: str,
        method: bytes,
        path: str,
        body: dict[str, Any] | None = None,
    ) -> _Reply | store.Unavailable:
        conn, self.idle_connection = self.idle_connection, None
        if conn is not None and not self._is_usable(conn):
            conn.close()
            conn = None
        data = b'' if body is None else json.dumps(body).encode()
        reply, conn = self._exchange(
            kind, conn, method, path, data, CALL_TIMEOUT_S
        )
        if conn is not None:
            if self.idle_connection is not None:
                self.idle_connection.close()
            self.idle_connection = conn
        return reply

    def _is_usable(self, conn: connection.Connection) -> bool:
        idle_s = self.clock.now_s() - conn.last_used_s
        return idle_s < MAX_IDLE_S and conn.is_quiet()

    def _exchange(
        self,
        kind: str,
        conn: connection.Connection | None,
        method: bytes,
        path: str,
        body: bytes,
        timeout_s: float,
    ) -> tuple[_Reply | store.Unavailable, connection.Connection | None]:
        self.calls[kind] += 1
        sent = False
        try:
            with gevent.Timeout(
                timeout_s, http.OutOfTime('store did not respond in time')
            ):
                if conn is None:
                    conn = connection.Connection(
                        self.address, CONNECT_TIMEOUT_S
                    )
                sent = True
                headers = [(b'Host', self.address.encode()), *JSON_HEADERS]
                conn.send(method, path.encode(), headers, body)
                head = conn.head()
            answer = _body(conn, self.bodies)
            fields = json.loads(answer) if answer else {}
        except (
            OSError,
            http.BrokenMessage,
            http.OutOfTime,
            http.PeerClosed,
        ) as error:
            if conn is not None:
                conn.close()
            was_cut = isinstance(error, http.PeerClosed)
            return store.Unavailable(str(error), sent, was_cut), None
        except ValueError as error:
            conn.close()
            return store.Unavailable(
                f'response is not JSON: {error}', sent
            ), None
        except gevent.GreenletExit:
            # The call was killed.  The next call on this connection would
            # read the response to this one.
            if conn is not None:
                conn.close()
            raise
        if not conn.reusable:
            conn.close()
            conn = None
        else:
            conn.last_used_s = self.clock.now_s()
        return self._check_era(head, fields), conn

    def _check_era(
        self, head: http.Head, fields: dict[str, Any]
    ) -> _Reply | store.Unavailable:
        """Record the era of a response; reject one of an earlier era."""
        try:
            era = int(head.value(ERA_HEADER) or 0)
        except ValueError:
            return store.Unavailable(
                f'header {ERA_HEADER.decode()}: expected an integer, '
                f'got {head.value(ERA_HEADER)!r:.40}',
                True,
            )
        if self.era is not None and era < self.era:
            reason = _earlier_era_reason(era, self.era)
            LOG.throttled_warning(
                'answer_of_earlier_era', 'store', reason=reason
            )
            return store.Unavailable(reason, True)
        before, self.era = self.era, era
        if before is not None and era > before:
            self.restores += 1
            LOG.warning_event('store_restored', era=era, before=before)
            if self.era_changed is not None:
                self.era_changed()
        return _Reply(head.status, fields, era)


def _body(conn: connection.Connection, bodies: heldbodies.HeldBodies) -> bytes:
    """Wait for the body of a response.

    :raises http.BrokenMessage: the body is too large
    :raises http.OutOfTime: a part or the whole body took too long
    """

    def next_part() -> http.Part:
        with gevent.Timeout(
            READ_TIMEOUT_S, http.OutOfTime('response body stalled')
        ):
            return conn.part()

    held = bodies.begin()
    with gevent.Timeout(
        RESPONSE_TIMEOUT_S, http.OutOfTime('response body incomplete in time')
    ):
        body = conn.body(held, next_part)
    held.release()
    return body


def _unavailable(reply: _Reply) -> store.Unavailable:
    # Calls with status 429 or 503 were not applied.  After any other status
    # the call may have been applied.
    was_not_applied = reply.status in (STATUS_RATE_LIMITED, STATUS_UNAVAILABLE)
    return store.Unavailable(
        f'status {reply.status}', maybe_applied=not was_not_applied
    )


def _earlier_era_reason(era: int, known: int) -> str:
    return f'response of era {era}, expected era {known} or later'


def _quoted(text: str) -> str:
    return parse.quote(text, safe='')


def _decode_item(fields: dict[str, Any], era: int) -> store.Item:
    value = base64.b64decode(fields.get('value') or '')
    written = position.Position(era, fields['revision'])
    return store.Item(fields['key'], value, written)


def _decode_change(
    fields: dict[str, Any], era: int
) -> store.Item | store.Removed:
    if fields.get('tombstone'):
        removed = position.Position(era, fields['revision'])
        return store.Removed(fields['key'], removed)
    return _decode_item(fields, era)


def _encode_put(put: store.Put) -> dict[str, Any]:
    return {
        'key': put.key,
        'value': base64.b64encode(put.value).decode(),
        'lease': put.lease,
    }
