"""The platform's key-value service behind typed outcomes."""

import abc
import collections
import copy
import dataclasses
import json
import random
import typing
from urllib import parse

import gevent
from geventhttpclient import client
from geventhttpclient import connectionpool
from geventhttpclient import response as responses

from magnoliadyke.core import budget as budgets

__all__ = [
    'Absent',
    'Conflict',
    'Found',
    'Granted',
    'HttpKeyValue',
    'Items',
    'KeyValue',
    'RateLimited',
    'Stored',
    'Unavailable',
    'Unchanged',
]

CALL_TIMEOUT_S = 1.5
CONNECT_TIMEOUT_S = 1.0
#: A watch that stays silent this long past its own time is on a connection
#: that something between the two ends has lost track of.
WATCH_GRACE_S = 1.5
MAX_IDLE_CONNECTIONS = 4
#: What lies between the ends may forget a connection that idles; a new one
#: costs a round trip, a forgotten one a whole timeout.
MAX_IDLE_S = 2.0
DEFAULT_RETRY_AFTER_S = 1.0

STATUS_OK = 200
STATUS_UNCHANGED = 204
STATUS_NOT_FOUND = 404
STATUS_CONFLICT = 409
STATUS_TOO_LARGE = 413
STATUS_RATE_LIMITED = 429


@dataclasses.dataclass(frozen=True, slots=True)
class Stored:
    """The write took effect.

    :param revision: the store's revision of the key
    """

    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Found:
    """The key's value and the store's revision of it."""

    key: str
    value: str
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Absent:
    """There is no such key, or no such lease."""


@dataclasses.dataclass(frozen=True, slots=True)
class Unchanged:
    """The watch ended without a change; the store answered."""


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """The key did not have the expected revision; nothing was written.

    :param value: the present value, None if the key is absent
    """

    revision: int
    value: str | None


@dataclasses.dataclass(frozen=True, slots=True)
class Items:
    """All keys under a prefix."""

    items: tuple[Found, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Granted:
    """A lease was granted or renewed."""

    lease: str
    ttl_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Unavailable:
    """The store did not answer.

    :param maybe_applied: whether a write may have taken effect all the same;
        settle it by reading back
    """

    reason: str
    maybe_applied: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class RateLimited:
    """The store, or this node's own budget, refused the call; not applied."""

    retry_after_s: float = DEFAULT_RETRY_AFTER_S


class KeyValue(abc.ABC):
    """Compare-and-swap, leases and watches; no call is ever repeated.

    Every method returns a tagged outcome and raises nothing for a store
    that is down, slow or over its rate.
    """

    def of_kind(self, kind):
        """Return the same store for calls of another urgency.

        :param kind: a :class:`magnoliadyke.core.budget.CallKind`
        """
        return self

    def end_watches(self):
        """Make the waiting watches fail, so that they are begun anew.

        For stores whose watches can't go silent there is nothing to do.
        """
        return None

    @abc.abstractmethod
    def get(self, key):
        """:return: Found, Absent, Unavailable or RateLimited"""

    @abc.abstractmethod
    def put(self, key, value, if_revision=None, lease=None):
        """Write a key.

        :param if_revision: expected revision, 0 for absent, None for any
        :param lease: lease whose end removes the key
        :return: Stored, Conflict, Absent (no such lease), Unavailable or
            RateLimited
        """

    @abc.abstractmethod
    def delete(self, key, if_revision=None):
        """:return: Stored, Absent, Conflict, Unavailable or RateLimited"""

    @abc.abstractmethod
    def list_prefix(self, prefix):
        """:return: Items, Unavailable or RateLimited"""

    @abc.abstractmethod
    def watch(self, key, after, wait_s):
        """Wait on a connection of its own for a revision above ``after``.

        :return: Found, Unchanged, Unavailable or RateLimited
        """

    @abc.abstractmethod
    def grant_lease(self, ttl_s):
        """:return: Granted, Unavailable or RateLimited"""

    @abc.abstractmethod
    def keep_alive(self, lease):
        """:return: Granted, Absent, Unavailable or RateLimited"""

    @abc.abstractmethod
    def revoke(self, lease):
        """:return: Stored, Absent, Unavailable or RateLimited"""

    @abc.abstractmethod
    def close(self):
        """Drop all connections."""


class Answer(typing.NamedTuple):
    """Status and decoded body of one HTTP exchange."""

    status: int
    body: dict


class SingleAttemptPool(connectionpool.ConnectionPool):
    """Gives out one connection per request and remembers it.

    The library sends a PUT again by itself when its connection ends early;
    a compare-and-swap that had taken effect would then report a conflict
    with itself. With one connection to a request there is no second try.
    """

    def __init__(self, host, port, timeout_s):
        super().__init__(
            host,
            port,
            host,
            port,
            size=1,
            connection_timeout=min(timeout_s, CONNECT_TIMEOUT_S),
            network_timeout=timeout_s,
        )
        self.permits = 0
        self.connected = False
        self.socket = None

    def get_socket(self):
        """Connect, or reuse the idle connection, once per request.

        :raises ConnectionError: at the second try
        """
        if not self.permits:
            raise ConnectionError('connection ended before the answer')
        self.permits -= 1
        self.socket = super().get_socket()
        self.connected = True
        return self.socket

    def abandon(self):
        """Close the connection whatever it is doing."""
        self.close()
        if self.socket is not None:
            self.socket.close()


class Connection(client.HTTPClient):
    """One connection to one HTTP server, never used for a silent retry.

    :param address: ``ip:port``, numeric
    :param timeout_s: longest silence of the socket, in seconds
    """

    def __init__(self, address, timeout_s=CALL_TIMEOUT_S):
        host, _, port = address.rpartition(':')
        super().__init__(host, port=int(port))
        self.pool = SingleAttemptPool(host, int(port), timeout_s)
        self.used_s = 0.0
        self._connection_pool = self.pool

    def exchange(self, method, path, body, headers, timeout_s):
        """Send one request and read its whole answer.

        :param timeout_s: for all of it, in seconds
        :return: :class:`Answer`
        :raises Exception: of any kind; the connection is then closed and
            ``pool.connected`` tells whether a byte may have been sent
        """
        self.pool.permits = 1
        self.pool.connected = False
        try:
            with gevent.Timeout(timeout_s, TimeoutError('no answer in time')):
                response = self.request(method, path, body, headers)
                data = response.read()
        except BaseException:
            self.pool.abandon()
            raise
        return Answer(response.status_code, json.loads(data) if data else {})


class Health:
    """Whether the store answers, shared by all kinds of calls."""

    def __init__(self):
        self.last_answer_s = None
        self.failing_since_s = None


class HttpKeyValue(KeyValue):
    """The published HTTP protocol of the platform's key-value service.

    :param settings: has ``keyvalue.address`` and ``keyvalue.prefix``
    :param host: name of this host, sent along so that the platform can see
        who calls
    :param clock: a :class:`magnoliadyke.clock.Clock`
    :param budget: a :class:`magnoliadyke.core.budget.StoreBudget`, made
        with its defaults if None
    """

    def __init__(self, settings, host, clock, budget=None):
        self.address = settings.keyvalue.address
        self.prefix = settings.keyvalue.prefix
        self.clock = clock
        self.budget = budget or budgets.StoreBudget(
            budgets.BudgetSettings(), random.SystemRandom(), clock.now_s()
        )
        self.kind = budgets.CallKind.CLAIMS
        self.health = Health()
        self.headers = {
            'X-Sender': host,
            'Content-Type': 'application/json',
        }
        self.idle = []
        self.watches = {}
        self.watching = set()
        self.counts = collections.Counter()
        self.failures = collections.Counter()

    def of_kind(self, kind):
        """Share connections, counts and budget under another urgency."""
        other = copy.copy(self)
        other.kind = kind
        return other

    @property
    def last_answer_s(self):
        """When the store last answered anything, None if never."""
        return self.health.last_answer_s

    @property
    def failing_since_s(self):
        """Since when no call has been answered, None while all is well."""
        return self.health.failing_since_s

    def get(self, key):
        """Read one key."""
        outcome = self.call('get', 'GET', self.path('kv', key))
        return self.read_item(outcome)

    def put(self, key, value, if_revision=None, lease=None):
        """Write one key, if it has the expected revision."""
        body = {'value': value, 'if_revision': if_revision, 'lease': lease}
        outcome = self.call('put', 'PUT', self.path('kv', key), body)
        return self.read_write(outcome)

    def delete(self, key, if_revision=None):
        """Remove one key, if it has the expected revision."""
        path = self.path('kv', key)
        if if_revision is not None:
            path += f'?if_revision={if_revision}'
        return self.read_write(self.call('delete', 'DELETE', path))

    def list_prefix(self, prefix):
        """Read all keys under a prefix of this deployment."""
        query = parse.quote(self.prefix + prefix, safe='')
        outcome = self.call('list', 'GET', f'/kv?prefix={query}')
        match outcome:
            case Answer(status, body) if status == STATUS_OK:
                return Items(tuple(self.item(each) for each in body['items']))
        return self.read_item(outcome)

    def watch(self, key, after, wait_s):
        """Wait for the key's revision to pass ``after``."""
        path = f'{self.path("watch", key)}?after={after}&wait_s={wait_s:g}'
        connection = self.watches.pop(key, None)
        timeout_s = wait_s + WATCH_GRACE_S
        if connection is None:
            connection = Connection(self.address, timeout_s)
        self.watching.add(connection)
        outcome = self.call_on(
            connection, 'watch', 'GET', path, timeout_s=timeout_s
        )
        self.watching.discard(connection)
        match outcome:
            case Answer():
                self.watches[key] = connection
        match outcome:
            case Answer(status) if status == STATUS_UNCHANGED:
                return Unchanged()
        return self.read_item(outcome)

    def grant_lease(self, ttl_s):
        """Ask for a new lease."""
        outcome = self.call('lease', 'POST', '/leases', {'ttl_s': ttl_s})
        return self.read_lease(outcome)

    def keep_alive(self, lease):
        """Renew a lease."""
        path = f'/leases/{parse.quote(lease, safe="")}/keepalive'
        return self.read_lease(self.call('keepalive', 'POST', path, {}))

    def revoke(self, lease):
        """End a lease and remove its keys."""
        path = f'/leases/{parse.quote(lease, safe="")}'
        outcome = self.call('revoke', 'DELETE', path)
        match outcome:
            case Answer(status) if status == STATUS_OK:
                return Stored(0)
        return self.read_write(outcome)

    def close(self):
        """Drop all connections."""
        self.drop_idle()
        while self.watches:
            _, connection = self.watches.popitem()
            connection.pool.abandon()

    def path(self, root, key):
        """Path of a key of this deployment."""
        return f'/{root}/{parse.quote(self.prefix + key, safe="/")}'

    def item(self, body):
        """Item of this deployment, its key without the prefix."""
        key = body['key'].removeprefix(self.prefix)
        return Found(key, body['value'], body['revision'])

    def read_item(self, outcome):
        """Typed outcome of a read."""
        match outcome:
            case Answer(status, body) if status == STATUS_OK:
                return self.item(body)
            case Answer(status) if status == STATUS_NOT_FOUND:
                return Absent()
            case Answer(status):
                return Unavailable(f'status {status}')
        return outcome

    def read_write(self, outcome):
        """Typed outcome of a write."""
        match outcome:
            case Answer(status, body) if status == STATUS_OK:
                return Stored(body['revision'])
            case Answer(status) if status == STATUS_NOT_FOUND:
                return Absent()
            case Answer(status, body) if status == STATUS_CONFLICT:
                return Conflict(body['revision'], body.get('value'))
            case Answer(status) if status == STATUS_TOO_LARGE:
                return Unavailable('value too large; remove rows')
            case Answer(status):
                return Unavailable(f'status {status}', maybe_applied=True)
        return outcome

    def read_lease(self, outcome):
        """Typed outcome of a lease call."""
        match outcome:
            case Answer(status, body) if status == STATUS_OK:
                return Granted(body['lease'], float(body['ttl_s']))
            case Answer(status) if status == STATUS_NOT_FOUND:
                return Absent()
            case Answer(status):
                return Unavailable(f'status {status}', maybe_applied=True)
        return outcome

    def call(self, kind, method, path, body=None):
        """Exchange on an idle connection, or on a new one."""
        connection = self.take_idle() or Connection(self.address)
        outcome = self.call_on(connection, kind, method, path, body)
        match outcome:
            case Answer() if len(self.idle) < MAX_IDLE_CONNECTIONS:
                connection.used_s = self.clock.now_s()
                self.idle.append(connection)
            case _:
                connection.pool.abandon()
        return outcome

    def take_idle(self):
        """Return an idle connection that was used lately, or None."""
        oldest_s = self.clock.now_s() - MAX_IDLE_S
        while self.idle:
            connection = self.idle.pop()
            if connection.used_s >= oldest_s:
                return connection
            connection.pool.abandon()
        return None

    def call_on(
        self,
        connection,
        kind,
        method,
        path,
        body=None,
        timeout_s=CALL_TIMEOUT_S,
    ):
        """Count and make one exchange; errors become typed outcomes."""
        match self.budget.try_acquire(self.kind, self.clock.now_s()):
            case budgets.RetryLater(after_s):
                self.failures['held_back'] += 1
                return RateLimited(after_s)
        self.counts[kind] += 1
        data = json.dumps(body).encode() if body is not None else b''
        try:
            answer = connection.exchange(
                method, path, data, self.headers, timeout_s
            )
        except (OSError, ValueError, responses.HTTPParseError) as error:
            return self.failed(connection, kind, method, error)
        return self.answered(kind, answer)

    def answered(self, kind, answer):
        """Note that the store answered, if only to refuse."""
        now_s = self.clock.now_s()
        self.health.last_answer_s = now_s
        self.health.failing_since_s = None
        if answer.status == STATUS_RATE_LIMITED:
            self.failures['rate_limited'] += 1
            self.budget.record_throttling(
                self.kind, now_s, DEFAULT_RETRY_AFTER_S
            )
            return RateLimited()
        self.budget.record_success(self.kind, now_s)
        return answer

    def failed(self, connection, kind, method, error):
        """Count a failure and suspect the sibling connections.

        When something between the two ends forgets one connection it has
        often forgotten them all: the next calls would each wait out the
        timeout. Dropping the idle ones makes the next call connect anew.
        """
        now_s = self.clock.now_s()
        self.failures[kind] += 1
        if self.health.failing_since_s is None:
            self.health.failing_since_s = now_s
        self.budget.record_failure(self.kind, now_s)
        self.drop_idle()
        if isinstance(error, TimeoutError):
            self.end_watches()
        sent = connection.pool.connected
        reason = f'{type(error).__name__}: {error}'
        return Unavailable(reason, maybe_applied=sent and method != 'GET')

    def end_watches(self):
        """Close the connections of the waiting watches."""
        for connection in self.watching:
            connection.pool.abandon()

    def drop_idle(self):
        """Close the idle connections."""
        while self.idle:
            self.idle.pop().pool.abandon()
