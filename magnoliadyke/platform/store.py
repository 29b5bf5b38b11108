"""HTTP client of the platform's metadata store."""

import base64
import collections
import json
import re
from typing import Any
from typing import Callable
from typing import NamedTuple
from typing import TypeVar
from urllib import parse

import gevent

from magnoliadyke import clock as clocks
from magnoliadyke.core import heldbodies
from magnoliadyke.core import position
from magnoliadyke.gateway import connection
from magnoliadyke.gateway import fields as typed
from magnoliadyke.gateway import http
from magnoliadyke.gateway import store
from magnoliadyke import logs

__all__ = ['PlatformStore']

LOG = logs.get('store')

_Decoded = TypeVar('_Decoded', bound=store.Item | store.Removed)

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
DECIMAL = re.compile(b'[0-9]{1,18}')
#: Largest era and revision: a packed position fits a 64-bit field.
MAX_ERA = (1 << 63 - position.REVISION_BITS) - 1
MAX_REVISION = (1 << position.REVISION_BITS) - 1
MAX_LEASE = 2**64

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


class _Page(NamedTuple):
    items: list[store.Item]
    has_more: bool
    position: position.Position


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
            try:
                page = _decode_page(reply)
            except typed.BadField as error:
                return _malformed(error)
            if start is None:
                # The pages are not one snapshot.  A watch from the first
                # page's position delivers the changes made in between.
                start = page.position
            if reply.era != start.era:
                return store.Unavailable(
                    f'restored between two pages: expected era {start.era}, '
                    f'got {reply.era}',
                    False,
                )
            items += page.items
            if not page.has_more:
                return store.Items(tuple(items), start)
            if not page.items or not _is_later(page.items[-1].key, after):
                return store.Unavailable(
                    f'page after key {after!r}: no later key',
                    False,
                )
            after = page.items[-1].key

    def read(self, key: str) -> store.Item | store.Absent | store.Unavailable:
        """Read one key, as of some moment during this call."""
        path = f'/api/kv-key?key={_quoted(key)}'
        reply = self._call('read', b'GET', path)
        if isinstance(reply, store.Unavailable):
            return reply
        match reply.status:
            case status if status == STATUS_OK:
                try:
                    return _decode_item(reply.fields, reply.era)
                except typed.BadField as error:
                    return _malformed(error)
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
        try:
            return store.Changes(
                tuple(_decode_all(reply, 'events', _decode_change)),
                _position(reply, 'store_revision'),
            )
        except typed.BadField as error:
            return _malformed(error)

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
                try:
                    return store.Written(_position(reply, 'revision'))
                except typed.BadField as error:
                    return _malformed(error)
            case status if status == STATUS_CONFLICT:
                try:
                    reply.fields.setdefault('items', [])
                    items = _decode_all(reply, 'items', _decode_item)
                except typed.BadField as error:
                    return _malformed(error)
                return store.Conflict(tuple(items))
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
        try:
            lease = typed.read_integer(
                reply.fields, 'lease', 1, maximum=MAX_LEASE
            )
            return store.Granted(lease, _ttl_s(reply))
        except typed.BadField as error:
            return _malformed(error)

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
        try:
            return store.Granted(lease, _ttl_s(reply))
        except typed.BadField as error:
            return _malformed(error)

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
            fields = typed.parse_object(answer) if answer else {}
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
        except typed.BadField as error:
            conn.close()
            return _malformed(error), None
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
        found = head.value(ERA_HEADER) or b'0'
        era = int(found) if DECIMAL.fullmatch(found) else None
        if era is None or era > MAX_ERA:
            return store.Unavailable(
                f'header {ERA_HEADER.decode()}: expected 0 to {MAX_ERA}, '
                f'got {found!r:.40}',
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


def _malformed(error: typed.BadField) -> store.Unavailable:
    """Return the outcome of a call whose response can't be decoded."""
    return store.Unavailable(f'malformed response: {error}', True)


def _is_later(key: str, after: str) -> bool:
    return key.encode() > after.encode()


def _position(reply: _Reply, name: str) -> position.Position:
    revision = typed.read_integer(reply.fields, name, 0, maximum=MAX_REVISION)
    return position.Position(reply.era, revision)


def _ttl_s(reply: _Reply) -> float:
    return typed.read_number(reply.fields, 'ttl_ms', 0) / 1000


def _decode_page(reply: _Reply) -> _Page:
    return _Page(
        _decode_all(reply, 'items', _decode_item),
        typed.read_bool(reply.fields, 'more_pages'),
        _position(reply, 'store_revision'),
    )


def _decode_all(
    reply: _Reply, name: str, decode: Callable[[Any, int], _Decoded]
) -> list[_Decoded]:
    """Decode a list of items or events; malformed ones are left out."""
    if name not in reply.fields:
        raise typed.BadField(f'{name}: expected a list, got none')
    found = reply.fields[name]
    if found is None:
        return []
    if not isinstance(found, list):
        raise typed.BadField(
            f'{name}: expected a list, got {type(found).__name__}'
        )
    decoded = []
    for each in found:
        try:
            decoded.append(decode(each, reply.era))
        except typed.BadField as error:
            key = each.get('key') if isinstance(each, dict) else None
            LOG.throttled_warning(
                'store_item_ignored',
                name,
                key=repr(key)[:80] if isinstance(key, str) else 'none',
                error=str(error),
            )
    return decoded


def _decode_item(found: Any, era: int) -> store.Item:
    key = _key(found)
    try:
        value = base64.b64decode(found.get('value') or '', validate=True)
    except (TypeError, ValueError) as error:
        # The entry exists, but names nothing; decoders refuse it as they do
        # any other unusable value.
        LOG.throttled_warning(
            'store_value_unreadable', key, key=key, error=str(error)
        )
        value = b''
    return store.Item(key, value, _written(found, era))


def _decode_change(found: Any, era: int) -> store.Item | store.Removed:
    key = _key(found)
    if typed.read_bool(found, 'tombstone'):
        return store.Removed(key, _written(found, era))
    return _decode_item(found, era)


def _key(found: Any) -> str:
    if not isinstance(found, dict):
        raise typed.BadField(f'expected an item, got {type(found).__name__}')
    key = found.get('key')
    if not isinstance(key, str) or not key:
        raise typed.BadField(
            f'key: expected a string that is not empty, got a '
            f'{type(key).__name__}'
        )
    try:
        key.encode()
    except UnicodeEncodeError as error:
        raise typed.BadField(f'key: {error}') from error
    return key


def _written(found: dict[str, Any], era: int) -> position.Position:
    return position.Position(
        era, typed.read_integer(found, 'revision', 0, maximum=MAX_REVISION)
    )


def _encode_put(put: store.Put) -> dict[str, Any]:
    return {
        'key': put.key,
        'value': base64.b64encode(put.value).decode(),
        'lease': put.lease,
    }
