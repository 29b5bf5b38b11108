"""Stand-in for the platform's metadata store, over HTTP on loopback."""

import base64
import json
import time
from typing import Any
from typing import NamedTuple
from urllib import parse

import gevent
from gevent import event

from magnoliadyke.gateway import caller as callers
from magnoliadyke.gateway import http
from magnoliadyke.lab import httpstandin

__all__ = ['Entry', 'PlatformStoreStandIn']

#: Longest time that one watch is held open, in seconds.
MAX_WATCH_S = 30.0
#: How often expired leases are removed, in seconds.
LEASE_CHECK_INTERVAL_S = 0.05
#: Prefixes of the keys of the operator and the endpoints, which clients of
#: the store may not write.
PROTECTED_PREFIXES = ('op/', 'servers/')
PAGE_SIZE = 500
FIRST_ERA = 1


class Entry(NamedTuple):
    """An item of the store.

    :param revision: of the store when the item was last written
    :param created: revision of the store when the item was created
    :param lease: id of the lease that the item depends on, 0 for none
    """

    key: str
    value: bytes
    revision: int
    created: int
    lease: int


class Snapshot(NamedTuple):
    """State of the store, from which it can be restored.

    :param leases: time to live of each lease, in seconds
    """

    items: dict[str, Entry]
    history: list[tuple[int, str, Entry | None]]
    revision: int
    compacted: int
    leases: dict[int, float]
    next_lease: int


class PlatformStoreStandIn(httpstandin.HttpStandIn):
    """Key-value store with leases and watches, and faults to be switched on.

    :ivar items: present items by key
    :ivar history: revision, key and item of each write since the last
        compaction; a removal has None for the item
    :ivar era: grows by one each time the store is restored from a snapshot
    :ivar compacted: revision up to which the history was discarded
    :ivar leases: time to live and expiry of each lease, in seconds, by id
    :ivar changed: set on the next write, and replaced
    :ivar mode: how requests are served: 'up', 'busy' (503), 'reset' (the
        connection is closed) or 'silent' (the answer comes only after
        :data:`MAX_WATCH_S`)
    :ivar lose_answers: transactions are committed, and the connection is
        closed in place of an answer
    :ivar delay_s: added to the time of each request, in seconds
    :ivar calls: paths of the requests that were served, in order
    """

    def __init__(self, address: str = '127.0.0.1:0') -> None:
        super().__init__(address)
        self.items: dict[str, Entry] = {}
        self.history: list[tuple[int, str, Entry | None]] = []
        self.era = FIRST_ERA
        self.revision = 1
        self.compacted = 0
        self.leases: dict[int, tuple[float, float]] = {}
        self.next_lease = 100
        self.changed = event.Event()
        self.mode = 'up'
        self.lose_answers = False
        self.delay_s = 0.0
        self.calls: list[str] = []
        self.greenlet: gevent.Greenlet | None = None

    # Life cycle.

    def start(self) -> str:
        """Start to listen.

        :returns: the address
        """
        self.greenlet = gevent.spawn(self._expire_leases)
        return super().start()

    def stop(self) -> None:
        """Stop listening and reset all connections."""
        self.greenlet.kill()
        super().stop()
        self.cut()

    # Direct access, without HTTP.

    def put(self, key: str, value: bytes | dict, lease: int = 0) -> int:
        """Write an item as the operator or an endpoint does.

        :param value: a dictionary is written as JSON
        :param lease: id of the lease that the item depends on, 0 for none
        :returns: the revision of the store after the write
        """
        if isinstance(value, dict):
            value = json.dumps(value).encode()
        self.revision += 1
        before = self.items.get(key)
        created = before.created if before else self.revision
        entry = Entry(key, value, self.revision, created, lease)
        self.items[key] = entry
        self.history.append((self.revision, key, entry))
        self._notify_watches()
        return self.revision

    def remove(self, key: str) -> None:
        """Remove an item, if it exists."""
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self.history.append((self.revision, key, None))
        self._notify_watches()

    def compact(self) -> None:
        """Discard the history; watches from older revisions get a 410."""
        self.compacted = self.revision
        self.history.clear()
        self._notify_watches()

    def snapshot(self) -> Snapshot:
        """Copy the state of the store."""
        return Snapshot(
            dict(self.items),
            list(self.history),
            self.revision,
            self.compacted,
            {lease: ttl_s for lease, (ttl_s, _) in self.leases.items()},
            self.next_lease,
        )

    def restore(self, snapshot: Snapshot) -> None:
        """Go back to a snapshot, begin a new era and reset all connections.

        Revisions and ids of leases that were assigned since the snapshot are
        assigned again.  The leases of the snapshot are renewed.
        """
        now_s = time.monotonic()
        self.items = dict(snapshot.items)
        self.history = list(snapshot.history)
        self.revision = snapshot.revision
        self.compacted = snapshot.compacted
        self.leases = {
            lease: (ttl_s, now_s + ttl_s)
            for lease, ttl_s in snapshot.leases.items()
        }
        self.next_lease = snapshot.next_lease
        self.era += 1
        self.cut()
        self._notify_watches()

    def _notify_watches(self) -> None:
        changed, self.changed = self.changed, event.Event()
        changed.set()

    def _expire_leases(self) -> None:
        while True:
            gevent.sleep(LEASE_CHECK_INTERVAL_S)
            now_s = time.monotonic()
            for lease, (_, until_s) in list(self.leases.items()):
                if now_s > until_s:
                    self._remove_lease(lease)

    def _remove_lease(self, lease: int) -> None:
        self.leases.pop(lease, None)
        for entry in list(self.items.values()):
            if entry.lease == lease:
                self.remove(entry.key)

    # Requests.

    def _serve_one(
        self, caller: callers.Caller, reader: http.RequestReader
    ) -> bool:
        head, data = httpstandin.read_request(reader)
        if self.mode == 'reset':
            return False
        if self.mode == 'silent':
            gevent.sleep(MAX_WATCH_S)
        if self.mode == 'busy':
            caller.answer(503, self._headers(), b'{}')
            return True
        if self.delay_s:
            gevent.sleep(self.delay_s)
        url = parse.urlsplit(head.target.decode())
        query = {k: v[0] for k, v in parse.parse_qs(url.query).items()}
        body = json.loads(data or b'{}')
        self.calls.append(url.path)
        status, answer = self._dispatch(head.method, url.path, query, body)
        if self.lose_answers and url.path == '/api/kv-txn':
            return False
        caller.answer(status, self._headers(), json.dumps(answer).encode())
        return True

    def _headers(self) -> http.Headers:
        return [
            (b'Content-Type', b'application/json'),
            (b'Store-Era', b'%d' % self.era),
        ]

    def _dispatch(
        self,
        method: bytes,
        path: str,
        query: dict[str, str],
        body: dict[str, Any],
    ) -> tuple[int, dict[str, Any]]:
        match path.rsplit('/', 1)[0], path:
            case _, '/api/kv-key':
                return self._read(query)
            case _, '/api/kv-range':
                return self._range(query)
            case _, '/api/kv-watch':
                return self._watch(query)
            case _, '/api/kv-txn':
                return self._commit(body)
            case _, '/api/kv-lease':
                return self._grant_lease(body)
            case '/api/kv-keep', _:
                return self._renew_lease(int(path.rsplit('/', 1)[1]))
            case '/api/kv-lease-end', _:
                self._remove_lease(int(path.rsplit('/', 1)[1]))
                return 200, {}
        return 404, {'error': f'no operation {method.decode()} {path}'}

    def _read(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        entry = self.items.get(query.get('key', ''))
        if entry is None:
            return 404, {}
        return 200, _encode(entry) | {'store_revision': self.revision}

    def _range(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        prefix = query.get('path_prefix', '')
        after = query.get('after', '')
        keys = sorted(k for k in self.items if k.startswith(prefix))
        keys = [k for k in keys if k > after]
        return 200, {
            'items': [_encode(self.items[k]) for k in keys[:PAGE_SIZE]],
            'more_pages': len(keys) > PAGE_SIZE,
            'store_revision': self.revision,
        }

    def _watch(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        prefix = query.get('path_prefix', '')
        after = int(query['after'])
        wait_s = min(MAX_WATCH_S, int(query['wait_ms']) / 1000)
        until_s = time.monotonic() + wait_s
        while True:
            if after < self.compacted or after > self.revision:
                return 410, {}
            events = [
                _encode(entry)
                if entry is not None
                else {'key': key, 'revision': revision, 'tombstone': True}
                for revision, key, entry in self.history
                if revision > after and key.startswith(prefix)
            ]
            left_s = until_s - time.monotonic()
            if events or left_s <= 0:
                return 200, {
                    'events': events,
                    'store_revision': self.revision,
                }
            self.changed.wait(left_s)

    def _commit(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        puts = body.get('set_keys') or []
        for put in puts:
            if put['key'].startswith(PROTECTED_PREFIXES):
                return 403, {'error': 'clients may not write this key'}
            if put.get('lease') and put['lease'] not in self.leases:
                return 404, {'error': 'no such lease'}
        expected = body.get('precondition') or []
        for row in expected:
            entry = self.items.get(row['key'])
            if (entry.revision if entry else 0) != row['revision']:
                present = [self.items.get(r['key']) for r in expected]
                return 412, {'items': [_encode(e) for e in present if e]}
        for put in puts:
            value = base64.b64decode(put['value'])
            self.put(put['key'], value, put.get('lease') or 0)
        for key in body.get('remove') or []:
            self.remove(key)
        return 200, {'revision': self.revision}

    def _grant_lease(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        self.next_lease += 1
        ttl_s = body['ttl_ms'] / 1000
        self.leases[self.next_lease] = (ttl_s, time.monotonic() + ttl_s)
        return 200, {'lease': self.next_lease, 'ttl_ms': body['ttl_ms']}

    def _renew_lease(self, lease: int) -> tuple[int, dict[str, Any]]:
        if lease not in self.leases:
            return 404, {}
        ttl_s, _ = self.leases[lease]
        self.leases[lease] = (ttl_s, time.monotonic() + ttl_s)
        return 200, {'ttl_ms': round(ttl_s * 1000)}


def _encode(entry: Entry) -> dict[str, Any]:
    return {
        'key': entry.key,
        'value': base64.b64encode(entry.value).decode(),
        'revision': entry.revision,
        'create_revision': entry.created,
        'lease': entry.lease,
    }
