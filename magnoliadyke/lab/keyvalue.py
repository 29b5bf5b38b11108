"""Stand-in for the platform's key-value service."""

import collections
import secrets
import time
import typing

import gevent
from gevent import event

from magnoliadyke.lab import standin

__all__ = ['KeyValueStandIn', 'Store', 'main']

MAX_VALUE_BYTES = 1_000_000
MAX_HISTORY_CHANGES = 4_000
MAX_WATCH_S = 60.0
BUCKET_CAPACITY_S = 1.0
EXPIRY_INTERVAL_S = 0.05


class Spec(typing.NamedTuple):
    """Settings of the stand-in.

    :param reads_s: limit of reads a second; a watch is one read
    :param writes_s: limit of writes a second; a keep-alive is one write
    :param delay_s: delay of each call, in seconds
    :param ledger: path of the ledger file; in memory only if empty
    """

    reads_s: float = 2000.0
    writes_s: float = 400.0
    delay_s: float = 0.001
    ledger: str = ''


class Item(typing.NamedTuple):
    """One key's value; ``lease`` is empty if it does not expire."""

    value: str
    revision: int
    lease: str = ''


class Change(typing.NamedTuple):
    """One write at a monotonic time; ``item`` is None for a removal."""

    at_s: float
    revision: int
    key: str
    item: Item | None


class Conflict(typing.NamedTuple):
    """The key does not have the revision that a write requires.

    :param revision: present revision; 0 if the key is absent
    :param value: present value; None if the key is absent
    """

    revision: int
    value: str | None


class Store:
    """Values, leases and one global revision; callers pass in the time."""

    def __init__(self):
        self.revision = 0
        self.items = {}
        self.leases = {}
        self.history = collections.deque(maxlen=MAX_HISTORY_CHANGES)

    def put(
        self,
        key,
        value,
        if_revision,
        lease,
        now_s,
    ):
        """Write a key if its revision matches; an absent key has 0.

        :param if_revision: required revision; None to write anyway
        :returns: the :class:`Item`, or a :class:`Conflict`
        """
        conflict = self.conflict(key, if_revision)
        if conflict is not None:
            return conflict
        item = Item(value, self.revision + 1, lease)
        self.record(key, item, now_s)
        return item

    def delete(self, key, if_revision, now_s):
        """Remove a key if its revision matches.

        :returns: the removed :class:`Item`, None if there was none, or a
            :class:`Conflict`
        """
        conflict = self.conflict(key, if_revision)
        if conflict is not None:
            return conflict
        item = self.items.get(key)
        if item is not None:
            self.record(key, None, now_s)
        return item

    def conflict(self, key, if_revision):
        """Return the :class:`Conflict` that prevents a write, or None."""
        present = self.items.get(key)
        revision = present.revision if present else 0
        if if_revision is None or if_revision == revision:
            return None
        return Conflict(revision, present.value if present else None)

    def record(self, key, item, now_s):
        """Apply one change and append it to the history."""
        self.revision += 1
        if item is None:
            self.items.pop(key, None)
        else:
            self.items[key] = item
        self.history.append(Change(now_s, self.revision, key, item))

    def grant(self, ttl_s, now_s):
        """Grant a lease.

        :returns: its id
        """
        lease = secrets.token_hex(8)
        self.leases[lease] = (ttl_s, now_s + ttl_s)
        return lease

    def keep_alive(self, lease, now_s):
        """Renew a lease.

        :returns: its time to live in seconds; None if it has expired
        """
        if lease not in self.leases:
            return None
        ttl_s, _ = self.leases[lease]
        self.leases[lease] = (ttl_s, now_s + ttl_s)
        return ttl_s

    def revoke(self, lease, now_s):
        """End a lease and remove its keys.

        :returns: the removed keys
        """
        self.leases.pop(lease, None)
        keys = [k for k, i in self.items.items() if i.lease == lease]
        for key in keys:
            self.record(key, None, now_s)
        return keys

    def expire(self, now_s):
        """End all expired leases.

        :returns: the removed keys
        """
        expired_leases = [
            k for k, (_, until) in self.leases.items() if until <= now_s
        ]
        return [
            key
            for lease in expired_leases
            for key in self.revoke(lease, now_s)
        ]

    def restore(self, until_s):
        """Restore the state at ``until_s``, as from an old backup.

        The revision counter is restored too, so that later writes reuse
        revisions of the lost ones.

        :returns: the keys whose items changed
        """
        before = dict(self.items)
        self.items.clear()
        self.revision = 0
        kept = [c for c in self.history if c.at_s <= until_s]
        for change in kept:
            self.revision = change.revision
            if change.item is None:
                self.items.pop(change.key, None)
            else:
                self.items[change.key] = change.item
        self.history = collections.deque(kept, maxlen=MAX_HISTORY_CHANGES)
        self.drop_orphans()
        keys = before.keys() | self.items.keys()
        return [k for k in keys if before.get(k) != self.items.get(k)]

    def drop_orphans(self):
        """Remove keys whose lease no longer exists."""
        for key, item in list(self.items.items()):
            if item.lease and item.lease not in self.leases:
                del self.items[key]


class TokenBucket:
    """Token bucket whose capacity is one second of calls."""

    def __init__(self, per_s, now_s):
        self.per_s = per_s
        self.available_calls = per_s * BUCKET_CAPACITY_S
        self.at_s = now_s

    def take(self, now_s):
        """Consume one call.

        :returns: False if the rate limit is exceeded
        """
        refilled_calls = (
            self.available_calls + (now_s - self.at_s) * self.per_s
        )
        self.available_calls = min(
            self.per_s * BUCKET_CAPACITY_S, refilled_calls
        )
        self.at_s = now_s
        if self.available_calls < 1.0:
            return False
        self.available_calls -= 1.0
        return True


class KeyValueStandIn:
    """The store with its published HTTP protocol and faults.

    Faults, by ``POST /faults {"kind", ...}``: ``outage`` (``for_s``;
    ``mode`` ``refuse`` or ``hang``), ``slow`` (``for_s``, ``delay_s``),
    ``lose_reply`` (``count``, ``prefix``; the write takes effect, the
    connection closes without a response), ``restore_old`` (``age_s``), and
    ``clear``.
    """

    def __init__(self, spec):
        self.spec = spec
        self.store = Store()
        self.faults = standin.Faults()
        self.ledger = standin.Ledger(spec.ledger)
        self.calls = collections.Counter()
        self.senders = {}
        self.waiters_by_key = {}
        now_s = time.monotonic()
        self.reads = TokenBucket(spec.reads_s, now_s)
        self.writes = TokenBucket(spec.writes_s, now_s)

    def handle(self, request):
        """Answer one request within the rate limits, unless a fault is on."""
        match request.path.split('/')[1:]:
            case ['health']:
                return standin.json_answer(200, {'state': 'up'})
            case ['ledger']:
                return self.read_ledger()
            case ['faults']:
                return self.set_fault(request.json())
        kind, handler, key = self.route(request)
        if handler is None:
            return standin.error_answer(404, 'no_such_path', request.path)
        self.record_call(kind, request)
        self.apply_faults(request)
        rate = self.reads if kind in READ_KINDS else self.writes
        if not rate.take(time.monotonic()):
            self.record_call('refused', request)
            return standin.error_answer(
                429, 'over_rate', 'wait and call less often'
            )
        return handler(key, request)

    def route(self, request):
        """Return the kind of a call, its handler and its key or lease."""
        parts = request.path.split('/', 2)
        key = parts[2] if len(parts) > 2 else ''
        match (request.method, parts[1]):
            case ('GET', 'kv') if key:
                return 'get', self.get, key
            case ('GET', 'kv'):
                return 'list', self.list_items, key
            case ('PUT', 'kv'):
                return 'put', self.put, key
            case ('DELETE', 'kv'):
                return 'delete', self.delete, key
            case ('GET', 'watch'):
                return 'watch', self.watch, key
            case ('POST', 'leases') if key.endswith('/keepalive'):
                return 'keepalive', self.keep_alive, key.split('/')[0]
            case ('POST', 'leases'):
                return 'lease', self.grant, key
            case ('DELETE', 'leases'):
                return 'revoke', self.revoke, key
        return '', None, ''

    def record_call(self, kind, request):
        """Count one call, in total and for its sender."""
        self.calls[kind] += 1
        sender = request.header('X-Sender', request.environ['REMOTE_ADDR'])
        self.senders.setdefault(sender, collections.Counter())[kind] += 1

    def apply_faults(self, request):
        """Delay a call, and fail or hang it during an outage.

        :raises standin.DropConnection: an outage is on
        """
        outage = self.faults.get('outage')
        if outage is not None:
            if outage.get('mode') == 'hang':
                while self.faults.get('outage') is not None:
                    gevent.sleep(0.1)
            raise standin.DropConnection
        slow = self.faults.get('slow')
        delay_s = self.spec.delay_s
        if slow is not None:
            delay_s += float(slow.get('delay_s', 1.0))
        if delay_s:
            gevent.sleep(delay_s)

    def get(self, key, request):
        """Return the item of one key."""
        item = self.store.items.get(key)
        if item is None:
            return standin.error_answer(404, 'no_such_key', key)
        return standin.json_answer(200, item_json(key, item))

    def list_items(self, key, request):
        """Return all items whose keys have a prefix."""
        prefix = request.query.get('prefix', '')
        items = [
            item_json(key, item)
            for key, item in sorted(self.store.items.items())
            if key.startswith(prefix)
        ]
        return standin.json_answer(200, {'items': items})

    def put(self, key, request):
        """Write one key."""
        body = request.json()
        value = body.get('value')
        if not isinstance(value, str):
            raise ValueError('value must be a string')
        if len(value) > MAX_VALUE_BYTES:
            return standin.error_answer(
                413, 'too_large', f'keep it under {MAX_VALUE_BYTES} bytes'
            )
        lease = body.get('lease') or ''
        if lease and lease not in self.store.leases:
            return standin.error_answer(404, 'no_such_lease', lease)
        result = self.store.put(
            key, value, body.get('if_revision'), lease, time.monotonic()
        )
        if isinstance(result, Conflict):
            return self.conflict(key, request, result)
        self.complete_write('put', key, request, revision=result.revision)
        return standin.json_answer(200, {'revision': result.revision})

    def delete(self, key, request):
        """Remove one key."""
        required_revision = request.query.get('if_revision')
        result = self.store.delete(
            key,
            int(required_revision) if required_revision else None,
            time.monotonic(),
        )
        if isinstance(result, Conflict):
            return self.conflict(key, request, result)
        if result is None:
            return standin.error_answer(404, 'no_such_key', key)
        self.complete_write(
            'delete', key, request, revision=self.store.revision
        )
        return standin.json_answer(200, {'revision': self.store.revision})

    def conflict(self, key, request, conflict):
        """Return the response to a write with an outdated revision."""
        self.record_call('conflict', request)
        return standin.json_answer(
            409, {'revision': conflict.revision, 'value': conflict.value}
        )

    def complete_write(self, what, key, request, revision):
        """Record a write and notify its watches.

        :raises standin.DropConnection: the fault ``lose_reply`` is on
        """
        self.ledger.write(
            what,
            key=key,
            revision=revision,
            sender=request.header('X-Sender'),
        )
        self.notify_watches([key])
        fault = self.faults.get('lose_reply')
        if fault is not None and key.startswith(fault.get('prefix', '')):
            self.faults.consume('lose_reply')
            self.ledger.write('reply_lost', key=key, revision=revision)
            raise standin.DropConnection

    def watch(self, key, request):
        """Wait until the key's revision is larger than ``after``."""
        after = int(request.query.get('after', '0'))
        wait_s = min(float(request.query.get('wait_s', '30')), MAX_WATCH_S)
        end_s = time.monotonic() + wait_s
        while True:
            item = self.store.items.get(key)
            if item is not None and item.revision > after:
                return standin.json_answer(200, item_json(key, item))
            left_s = end_s - time.monotonic()
            if left_s <= 0:
                return standin.Answer(204)
            self.wait_for_change(key, left_s)
            if self.faults.get('outage') is not None:
                raise standin.DropConnection

    def wait_for_change(self, key, timeout_s):
        """Wait for a change of the key, or for the timeout."""
        changed = event.Event()
        waiters = self.waiters_by_key.setdefault(key, set())
        waiters.add(changed)
        try:
            changed.wait(timeout_s)
        finally:
            waiters.discard(changed)

    def notify_watches(self, keys):
        """Wake the watches of the keys."""
        for key in keys:
            for changed in self.waiters_by_key.get(key, ()):
                changed.set()

    def grant(self, key, request):
        """Grant a lease."""
        ttl_s = float(request.json()['ttl_s'])
        lease = self.store.grant(ttl_s, time.monotonic())
        return standin.json_answer(200, {'lease': lease, 'ttl_s': ttl_s})

    def keep_alive(self, lease, request):
        """Renew a lease."""
        ttl_s = self.store.keep_alive(lease, time.monotonic())
        if ttl_s is None:
            return standin.error_answer(404, 'no_such_lease', lease)
        return standin.json_answer(200, {'lease': lease, 'ttl_s': ttl_s})

    def revoke(self, lease, request):
        """End a lease."""
        self.notify_watches(self.store.revoke(lease, time.monotonic()))
        return standin.json_answer(200, {})

    def set_fault(self, fault):
        """Turn a fault on or off."""
        kind = fault.get('kind', '')
        match kind:
            case 'clear':
                self.faults.clear()
            case 'restore_old':
                age_s = float(fault.get('age_s', 5.0))
                self.notify_watches(
                    self.store.restore(time.monotonic() - age_s)
                )
            case 'outage':
                self.faults.set(kind, fault)
                self.notify_watches(list(self.waiters_by_key))
            case 'slow' | 'lose_reply':
                self.faults.set(kind, fault)
            case _:
                raise ValueError(f'unknown fault kind {kind!r}')
        self.ledger.write('fault', fault=dict(fault))
        return standin.json_answer(200, {})

    def read_ledger(self):
        """Return the counts of calls, by kind and sender, and the ledger."""
        return standin.json_answer(
            200,
            {
                'revision': self.store.revision,
                'calls': self.calls,
                'senders': self.senders,
                'rows': list(self.ledger.rows),
            },
        )

    def expire_forever(self):
        """End leases as they expire, and record the removed keys."""
        while True:
            gevent.sleep(EXPIRY_INTERVAL_S)
            gone = self.store.expire(time.monotonic())
            for key in gone:
                self.ledger.write('expired', key=key)
            self.notify_watches(gone)


READ_KINDS = frozenset(['get', 'list', 'watch'])


def item_json(key, item):
    """Return an item in the format of the protocol."""
    return {'key': key, 'value': item.value, 'revision': item.revision}


def main(argv):
    """Serve at ``ADDRESS`` with the settings in ``JSON``.

    :param argv: address, then optionally a JSON object of :class:`Spec`
    :returns: exit status
    """
    spec = standin.read_spec(Spec, argv)
    stand_in = KeyValueStandIn(spec)
    gevent.spawn(stand_in.expire_forever)
    return standin.run(standin.Server(argv[0], stand_in.handle))
