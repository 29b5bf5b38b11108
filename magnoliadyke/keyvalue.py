"""Client of the platform's key-value store, with typed outcomes."""

import abc
import collections
import copy
import dataclasses
import json
import random
import typing
from urllib import parse

import gevent

from magnoliadyke.core import budget as budgets
from magnoliadyke import endpoint
from magnoliadyke import errors

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
#: A watch without an answer for this time after its own timeout is taken to be
#: on a half-open connection.
WATCH_GRACE_S = 1.5
MAX_IDLE_CONNECTIONS = 4
MAX_ANSWER_BYTES = 16 << 20
#: Connections that were idle for longer are not reused. A device on the path
#: may have dropped their state: a new connection costs one round trip, a call
#: on a half-open one its whole timeout.
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

    :param revision: revision of the key after the write
    """

    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Found:
    """A key with its value and its revision in the store."""

    key: str
    value: str
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Absent:
    """The key or the lease does not exist."""


@dataclasses.dataclass(frozen=True, slots=True)
class Unchanged:
    """The watch reached its timeout and the key has not changed."""


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """The key did not have the expected revision; nothing was written.

    :param revision: present revision of the key, 0 if it is absent
    :param value: present value of the key, None if it is absent
    """

    revision: int
    value: str | None


@dataclasses.dataclass(frozen=True, slots=True)
class Items:
    """All keys under a prefix."""

    items: tuple[Found, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Granted:
    """A lease was granted or renewed.

    :param lease: id of the lease
    """

    lease: str
    ttl_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Unavailable:
    """The store did not answer, or answered with an unexpected status.

    :param maybe_applied: whether a write may have taken effect nevertheless;
        only a read can determine it
    """

    reason: str
    maybe_applied: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class RateLimited:
    """The call was refused by the store or by this node's own budget.

    It had no effect.

    :param retry_after_s: when to call again, in seconds from now
    """

    retry_after_s: float = DEFAULT_RETRY_AFTER_S


class KeyValue(abc.ABC):
    """A store with compare-and-swap, leases and watches.

    Calls are never retried. Every method returns a tagged outcome; none
    raises an error for a store that is unreachable, slow or over its rate
    limit.
    """

    def with_call_kind(self, kind):
        """Return the same store for calls of another kind.

        :param kind: a :class:`magnoliadyke.core.budget.CallKind`
        """
        return self

    def abort_watches(self):
        """Make the watches in progress fail, so that they are restarted.

        Does nothing for stores whose watches can't be on a half-open
        connection.
        """
        return None

    @abc.abstractmethod
    def get(self, key):
        """:return: Found, Absent, Unavailable or RateLimited"""

    @abc.abstractmethod
    def put(self, key, value, if_revision=None, lease=None):
        """Write a key.

        :param if_revision: revision that the key must have, 0 if it must be
            absent, None for any
        :param lease: id of a lease; the key is removed when it ends
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
        """Wait until the key has a revision higher than ``after``.

        The watch uses a connection of its own.

        :param wait_s: longest wait, in seconds
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
        """Close all connections."""


class HttpReply(typing.NamedTuple):
    """Status and decoded body of one HTTP exchange."""

    status: int
    body: dict


class Connection:
    """A connection to the store, opened by its first call.

    It never sends a request twice: a compare-and-swap that had already taken
    effect would report a conflict with itself.

    :param address: ``ip:port``, numeric
    :ivar http: the open :class:`magnoliadyke.endpoint.Connection`, or None
    :ivar last_used_s: monotonic time of the last complete exchange
    """

    def __init__(self, address):
        self.address = address
        self.http = None
        self.last_used_s = 0.0

    def exchange(self, method, path, body, headers, timeout_s):
        """Send one request and read the complete response.

        :param timeout_s: limit for the whole exchange, in seconds
        :return: :class:`HttpReply`
        :raises EndpointUnreachable: ``sent`` says whether a byte may have
            arrived; the connection is then closed
        :raises ValueError: when the response is not JSON; likewise
        """
        data = endpoint.request_bytes(
            method, path, self.address, headers, body
        )
        try:
            with gevent.Timeout(timeout_s, TimeoutError('no answer in time')):
                if self.http is None or not self.http.is_reusable():
                    self.abandon()
                    self.http = endpoint.Connection(
                        self.address, min(timeout_s, CONNECT_TIMEOUT_S)
                    )
                self.http.send(method, data)
                self.http.read_head(timeout_s)
                text = self.http.read_body(MAX_ANSWER_BYTES, timeout_s)
            return HttpReply(
                self.http.parser.status_code, json.loads(text) if text else {}
            )
        except BaseException:
            self.abandon()
            raise

    def abandon(self):
        """Close the connection, even while a request is using it."""
        if self.http is not None:
            self.http.close()


class StoreHealth:
    """Availability of the store, shared by all kinds of calls.

    :ivar last_answer_s: monotonic time of the store's last answer, or None
    :ivar failing_since_s: monotonic time of the first call without an answer
        since then, or None
    """

    def __init__(self):
        self.last_answer_s = None
        self.failing_since_s = None


class HttpKeyValue(KeyValue):
    """Client for the HTTP protocol of the platform's key-value service.

    :param settings: has ``keyvalue.address`` and ``keyvalue.prefix``
    :param host: name of this host, sent in ``X-Sender`` to identify the caller
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
        self.health = StoreHealth()
        self.headers = (
            ('X-Sender', host),
            ('Content-Type', 'application/json'),
        )
        self.idle = []
        self.idle_watches = {}
        self.active_watches = set()
        self.counts = collections.Counter()
        self.failures = collections.Counter()

    def with_call_kind(self, kind):
        """Return a copy for calls of another kind.

        It shares connections, counters and budget with this one.
        """
        other = copy.copy(self)
        other.kind = kind
        return other

    @property
    def last_answer_s(self):
        """Monotonic time of the store's last answer, None before the first."""
        return self.health.last_answer_s

    @property
    def failing_since_s(self):
        """Monotonic time of the first failure since an answer, or None."""
        return self.health.failing_since_s

    def get(self, key):
        """Read one key."""
        outcome = self.call('get', 'GET', self.path('kv', key))
        return self.item_outcome(outcome)

    def put(self, key, value, if_revision=None, lease=None):
        """Write one key, if it has the expected revision."""
        body = {'value': value, 'if_revision': if_revision, 'lease': lease}
        outcome = self.call('put', 'PUT', self.path('kv', key), body)
        return self.write_outcome(outcome)

    def delete(self, key, if_revision=None):
        """Remove one key, if it has the expected revision."""
        path = self.path('kv', key)
        if if_revision is not None:
            path += f'?if_revision={if_revision}'
        return self.write_outcome(self.call('delete', 'DELETE', path))

    def list_prefix(self, prefix):
        """Read all keys with a prefix, within the keys of this deployment."""
        query = parse.quote(self.prefix + prefix, safe='')
        outcome = self.call('list', 'GET', f'/kv?prefix={query}')
        match outcome:
            case HttpReply(status, body) if status == STATUS_OK:
                return Items(tuple(self.item(each) for each in body['items']))
        return self.item_outcome(outcome)

    def watch(self, key, after, wait_s):
        """Wait until the key has a revision higher than ``after``."""
        path = f'{self.path("watch", key)}?after={after}&wait_s={wait_s:g}'
        connection = self.idle_watches.pop(key, None)
        timeout_s = wait_s + WATCH_GRACE_S
        if connection is None:
            connection = Connection(self.address)
        self.active_watches.add(connection)
        outcome = self.call_on(
            connection, 'watch', 'GET', path, timeout_s=timeout_s
        )
        self.active_watches.discard(connection)
        match outcome:
            case HttpReply():
                self.idle_watches[key] = connection
        match outcome:
            case HttpReply(status) if status == STATUS_UNCHANGED:
                return Unchanged()
        return self.item_outcome(outcome)

    def grant_lease(self, ttl_s):
        """Request a new lease."""
        outcome = self.call('lease', 'POST', '/leases', {'ttl_s': ttl_s})
        return self.lease_outcome(outcome)

    def keep_alive(self, lease):
        """Renew a lease."""
        path = f'/leases/{parse.quote(lease, safe="")}/keepalive'
        return self.lease_outcome(self.call('keepalive', 'POST', path, {}))

    def revoke(self, lease):
        """Revoke a lease, which removes its keys."""
        path = f'/leases/{parse.quote(lease, safe="")}'
        outcome = self.call('revoke', 'DELETE', path)
        match outcome:
            case HttpReply(status) if status == STATUS_OK:
                return Stored(0)
        return self.write_outcome(outcome)

    def close(self):
        """Close all connections."""
        self.close_idle_connections()
        while self.idle_watches:
            _, connection = self.idle_watches.popitem()
            connection.abandon()

    def path(self, root, key):
        """Return the URL path of a key of this deployment."""
        return f'/{root}/{parse.quote(self.prefix + key, safe="/")}'

    def item(self, body):
        """Return an item, its key without the prefix of the deployment."""
        key = body['key'].removeprefix(self.prefix)
        return Found(key, body['value'], body['revision'])

    def item_outcome(self, outcome):
        """Return the typed outcome of a read."""
        match outcome:
            case HttpReply(status, body) if status == STATUS_OK:
                return self.item(body)
            case HttpReply(status) if status == STATUS_NOT_FOUND:
                return Absent()
            case HttpReply(status):
                return Unavailable(f'status {status}')
        return outcome

    def write_outcome(self, outcome):
        """Return the typed outcome of a write."""
        match outcome:
            case HttpReply(status, body) if status == STATUS_OK:
                return Stored(body['revision'])
            case HttpReply(status) if status == STATUS_NOT_FOUND:
                return Absent()
            case HttpReply(status, body) if status == STATUS_CONFLICT:
                return Conflict(body['revision'], body.get('value'))
            case HttpReply(status) if status == STATUS_TOO_LARGE:
                return Unavailable('value too large; remove rows')
            case HttpReply(status):
                return Unavailable(f'status {status}', maybe_applied=True)
        return outcome

    def lease_outcome(self, outcome):
        """Return the typed outcome of a call that grants or renews a lease."""
        match outcome:
            case HttpReply(status, body) if status == STATUS_OK:
                return Granted(body['lease'], float(body['ttl_s']))
            case HttpReply(status) if status == STATUS_NOT_FOUND:
                return Absent()
            case HttpReply(status):
                return Unavailable(f'status {status}', maybe_applied=True)
        return outcome

    def call(self, kind, method, path, body=None):
        """Make one call on an idle connection, or on a new one.

        :param kind: name under which the call is counted
        """
        connection = self.pop_idle_connection() or Connection(self.address)
        outcome = self.call_on(connection, kind, method, path, body)
        match outcome:
            case HttpReply() if len(self.idle) < MAX_IDLE_CONNECTIONS:
                connection.last_used_s = self.clock.now_s()
                self.idle.append(connection)
            case _:
                connection.abandon()
        return outcome

    def pop_idle_connection(self):
        """Return a connection idle for at most ``MAX_IDLE_S``, or None."""
        oldest_s = self.clock.now_s() - MAX_IDLE_S
        while self.idle:
            connection = self.idle.pop()
            if connection.last_used_s >= oldest_s:
                return connection
            connection.abandon()
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
        """Make one call on a connection, if the budget permits it.

        :param kind: name under which the call is counted
        :return: :class:`HttpReply`, Unavailable or RateLimited
        """
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
        except errors.EndpointUnreachable as error:
            cause = error.__cause__ or error
            return self.record_failure(kind, method, cause, error.sent)
        except (OSError, ValueError) as error:
            return self.record_failure(kind, method, error, sent=True)
        return self.record_reply(kind, answer)

    def record_reply(self, kind, answer):
        """Record an answer of the store, including one over its rate limit."""
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

    def record_failure(self, kind, method, error, sent):
        """Record a failed call and close the connections that may be affected.

        When a device on the path drops the state of one connection, it has
        often dropped that of the others too, and the next calls would each
        wait for the whole timeout. So all idle connections are closed, and
        after a timeout the watches in progress as well.

        :param sent: whether a byte of the call may have arrived
        """
        now_s = self.clock.now_s()
        self.failures[kind] += 1
        if self.health.failing_since_s is None:
            self.health.failing_since_s = now_s
        self.budget.record_failure(self.kind, now_s)
        self.close_idle_connections()
        if isinstance(error, TimeoutError):
            self.abort_watches()
        reason = f'{type(error).__name__}: {error}'
        return Unavailable(reason, maybe_applied=sent and method != 'GET')

    def abort_watches(self):
        """Close the connections of the watches in progress."""
        for connection in self.active_watches:
            connection.abandon()

    def close_idle_connections(self):
        """Close the idle connections."""
        while self.idle:
            self.idle.pop().abandon()
