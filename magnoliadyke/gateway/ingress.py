"""Takes callers' connections and their requests."""

import random
from typing import Callable

import gevent
from gevent import server
from gevent import socket

from magnoliadyke import app
from magnoliadyke import clock as clocks
from magnoliadyke.core import routes
from magnoliadyke.core import shutdown
from magnoliadyke.core import workspaces
from magnoliadyke.gateway import caller as callers
from magnoliadyke.gateway import codec as codecs
from magnoliadyke.gateway import exchange
from magnoliadyke.gateway import http
from magnoliadyke.gateway import outcomes
from magnoliadyke.gateway import plainexchange
from magnoliadyke.gateway import promptexchange
from magnoliadyke import logs

__all__ = ['Ingress']

LOG = logs.get('ingress')

BACKLOG = 1024
#: When a caller is told to come back that is refused before any
#: configuration is known, or while it is not confirmed, in seconds.
UNCONFIGURED_RETRY_S = 0.5
UNCONFIRMED_RETRY_S = 0.3
#: After an answer that ends a connection, unread bytes of the caller are
#: taken for this long, in seconds: closing at once would reset the
#: connection, and the caller could lose the answer.
LINGER_S = 0.3


class TooLarge(Exception):
    """A request is over a limit.

    :param status: that the caller gets
    """

    def __init__(self, status: int) -> None:
        self.status = status
        super().__init__(f'status {status}')


class Ingress(app.Component):
    """The callers' listener.

    :param address: numeric ``ip:port``
    :param parts: what exchanges work with
    :param record: called with each request's outcome and seconds
    :param record_early: called with the status of a request that is answered
        before it is looked at
    :param confirmed: whether the configuration is known to be the newest
    :param behind: whether other hosts know of changes that this one has missed
    :ivar running: requests under way
    :ivar shutdown: set once this host has been told to stop
    """

    def __init__(
        self,
        address: str,
        parts: exchange.Parts,
        record: Callable[[outcomes.Outcome, routes.Route, float], None],
        record_early: Callable[[int], None],
        confirmed: Callable[[], bool],
        behind: Callable[[], bool],
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        self.address = address
        self.parts = parts
        self.record = record
        self.record_early = record_early
        self.confirmed = confirmed
        self.behind = behind
        self.clock = clock
        self.rng = rng
        self.shutdown: shutdown.Shutdown | None = None
        self.open_requests = 0
        self.connections: dict[callers.Caller, bool] = {}
        self.running: dict[callers.Caller, exchange.Exchange] = {}
        self.server: server.StreamServer | None = None

    # Life cycle.

    def start(self) -> None:
        """Listen."""
        host, _, port = self.address.rpartition(':')
        self.server = server.StreamServer(
            (host, int(port)), self._serve, backlog=BACKLOG
        )
        self.server.start()

    def drain(self, course: shutdown.Shutdown) -> None:
        """Each answer from now on ends its connection."""
        self.shutdown = course
        for caller in self.connections:
            caller.closing = True

    def close_idle(self) -> None:
        """Stop listening and close the connections without a request."""
        if self.server is not None:
            self.server.close()
        for caller, busy in list(self.connections.items()):
            if not busy:
                http.drop(caller.sock)

    def refuse_waiting(self) -> None:
        """Refuse what waits and is not certain to end in time."""
        for caller, one in self.running.items():
            if one.waits and not self._ends_in_time(one):
                caller.interrupt()

    def give_up(self) -> None:
        """Tell the callers whose requests are under way that they are over."""
        for caller in self.running:
            caller.interrupt()

    def log_running(self) -> None:
        """Name the requests that the end of this process cuts."""
        now_s = self.clock.now_s()
        for one in self.running.values():
            LOG.warning_event(
                'request_cut',
                id=one.request.id.decode('latin-1'),
                route=one.route.name,
                age_ms=round((now_s - one.arrived_s) * 1000),
                left_ms=round(one.left_s * 1000),
                endpoint=one.endpoint or 'none',
                sends=one.sends,
                begun=one.caller.begun,
            )

    def stop(self, deadline_s: float) -> None:
        """Stop listening; requests under way are the process's to wait."""
        self.close_idle()

    # One connection.

    def _serve(self, sock: socket.socket, address: tuple[str, int]) -> None:
        http.set_socket_options(sock)
        caller = callers.Caller(sock)
        self.connections[caller] = False
        try:
            self._serve_requests(caller, http.RequestReader(sock))
        except callers.CallerLeft:
            caller.broken = True
        finally:
            # Busy until it is closed: its last answer may be on the way.
            self.connections[caller] = True
            self._close(caller)
            del self.connections[caller]

    def _close(self, caller: callers.Caller) -> None:
        """Close a connection.

        A stream that broke off lacks its last chunk, and that shows.  It is
        closed in order all the same: a reset would also take back bytes
        that are still on their way, and cut the answer in any place.
        A connection that ends without an answer is closed at once: a request
        that comes just then is to stay unread.
        """
        if caller.begun and not (caller.broken or caller.streaming):
            self._linger(caller.sock)
        http.drop(caller.sock)

    def _linger(self, sock: socket.socket) -> None:
        try:
            sock.shutdown(socket.SHUT_WR)
            with gevent.Timeout(LINGER_S, False):
                while sock.recv(http.READ_BYTES):
                    pass
        except OSError:
            # The caller has closed, or the connection was reset.
            return

    def _serve_requests(
        self, caller: callers.Caller, reader: http.RequestReader
    ) -> None:
        while True:
            caller.begun = False
            caller.closing = caller.closing or self.shutdown is not None
            try:
                head = self._read_head(reader)
                if head is None:
                    return
                self.connections[caller] = True
                self.open_requests += 1
                try:
                    self._serve_one(caller, reader, head)
                finally:
                    self.open_requests -= 1
                    self.connections[caller] = False
            except http.PeerClosed:
                return
            except http.BrokenMessage as error:
                self._refuse_bytes(caller, 400, str(error))
                return
            except TooLarge as error:
                self._refuse_bytes(caller, error.status, 'over a limit')
                return
            except http.OutOfTime:
                if reader.message_started:
                    self._refuse_bytes(caller, 408, 'the request is late')
                return
            if caller.broken or (caller.closing and self._may_end(caller)):
                return

    def _may_end(self, caller: callers.Caller) -> bool:
        """Whether a connection may end now that its request is answered.

        The head of a stream may have left before this host was told to
        stop; its caller may be sending the next request already.
        """
        if caller.told or self.shutdown is None:
            return True
        return self.clock.now_s() >= self.shutdown.closes_s

    def _limits(self) -> routes.CallerLimits:
        configuration = self.parts.catalog.configuration
        if configuration is None:
            return routes.CallerLimits()
        return configuration.limits

    def _read_head(self, reader: http.RequestReader) -> http.Head | None:
        """Wait for a request's head; None if the connection idled out."""
        limits = self._limits()
        if not reader.message_started and not reader.parts:
            with gevent.Timeout(limits.idle_s, False):
                reader.wait_for_bytes()
            if not reader.message_started and not reader.parts:
                return None
        with gevent.Timeout(limits.header_s, http.OutOfTime('header')):
            while not reader.parts:
                reader.check()
                if reader.header_bytes > limits.header_bytes:
                    raise TooLarge(431)
                reader.wait_for_bytes()
        head = reader.next_part()
        if _size(head) > limits.header_bytes:
            raise TooLarge(431)
        return head

    def _read_body(
        self, caller: callers.Caller, reader: http.RequestReader, head
    ) -> bytes:
        limits = self._limits()
        if head.length is not None and head.length > limits.body_bytes:
            raise TooLarge(413)
        if (head.value(b'expect') or b'').lower() == b'100-continue':
            caller.sock.sendall(b'HTTP/1.1 100 Continue\r\n\r\n')
        pieces = []
        size = 0
        with gevent.Timeout(limits.idle_s, http.OutOfTime('body')):
            while True:
                match reader.next_part():
                    case http.Body(data):
                        size += len(data)
                        if size > limits.body_bytes:
                            raise TooLarge(413)
                        pieces.append(data)
                    case http.End():
                        return b''.join(pieces)

    def _refuse_bytes(
        self, caller: callers.Caller, status: int, reason: str
    ) -> None:
        """Answer what can't be read on, then close."""
        LOG.event('request_unreadable', status=status, reason=reason)
        caller.closing = True
        if not caller.begun:
            caller.answer(status, [], b'')

    # One request.

    def _serve_one(
        self,
        caller: callers.Caller,
        reader: http.RequestReader,
        head: http.Head,
    ) -> None:
        arrived_s = self.clock.now_s()
        if not head.reusable:
            caller.closing = True
        request = self.parts.codec.decode(head)
        body = self._read_body(caller, reader, head)
        if isinstance(request, codecs.Malformed):
            self._refuse_bytes(caller, 400, request.reason)
            return
        request.body = body
        configuration = self.parts.catalog.configuration
        if configuration is None:
            self._answer_early(
                caller,
                request,
                503,
                'not configured yet',
                UNCONFIGURED_RETRY_S,
            )
            return
        route = configuration.match(request.host, request.path)
        if route is None:
            self._deny(caller, request, 404, 'no route')
            return
        if not self._admit(caller, request, configuration, route):
            return
        one = self._exchange(request, route, caller, arrived_s)
        if not self._ends_in_time(one):
            self._answer_early(caller, request, 503, exchange.STOPPING, 0.0)
            return
        self.running[caller] = one
        try:
            outcome = one.run()
        except Exception as error:
            # A fault of this program must not end a connection without an
            # answer: nobody could tell whether the request has run.
            LOG.error_event(
                'request_error', error, id=request.id.decode('latin-1')
            )
            outcome = self._fail(caller, request)
        finally:
            del self.running[caller]
        took_s = self.clock.now_s() - arrived_s
        self.record(outcome, route, took_s)
        self._log(one, outcome, took_s, configuration.version)

    def _ends_in_time(self, one: exchange.Exchange) -> bool:
        """Whether a request is over before this host is."""
        if self.shutdown is None:
            return True
        # Its body may have come long after its head.
        return self.shutdown.accepts(self.clock.now_s(), one.deadline_s)

    def _admit(
        self,
        caller: callers.Caller,
        request: codecs.Request,
        configuration: routes.Configuration,
        route: routes.Route,
    ) -> bool:
        """Whether the request may run; who may not is answered."""
        admitted = workspaces.admit(
            configuration, route, request.key_digest, self.confirmed()
        )
        match admitted:
            case workspaces.Allowed(workspace):
                request.workspace = workspace
                return True
            case workspaces.UnknownKey(remedy):
                self._deny(caller, request, 401, remedy)
            case workspaces.Unconfirmed(reason):
                self._answer_early(
                    caller, request, 503, reason, UNCONFIRMED_RETRY_S
                )
        return False

    def _deny(
        self,
        caller: callers.Caller,
        request: codecs.Request,
        status: int,
        reason: str,
    ) -> None:
        """Answer who may not be served under the configuration in force.

        A host that has missed changes can't tell whether it still is.
        """
        if self.behind():
            reason = 'changes of the configuration may have been missed'
            self._answer_early(
                caller, request, 503, reason, UNCONFIRMED_RETRY_S
            )
        else:
            self._answer_early(caller, request, status, reason)

    def _exchange(
        self,
        request: codecs.Request,
        route: routes.Route,
        caller: callers.Caller,
        arrived_s: float,
    ) -> exchange.Exchange:
        """What serves a request, by whether engines are to read a prompt."""
        services = self.parts.catalog.configuration.services
        has_engines = any(
            target.service in services
            and services[target.service].engine is not None
            for target in route.targets
        )
        kind = plainexchange.PlainExchange
        if has_engines and request.prompt is not None:
            kind = promptexchange.PromptExchange
        return kind(self.parts, request, route, caller, arrived_s)

    def _fail(
        self, caller: callers.Caller, request: codecs.Request
    ) -> outcomes.Failed:
        if caller.begun:
            caller.broken = True
        else:
            caller.closing = True
            headers = self.parts.codec.local_response_headers(request)
            caller.answer(500, headers, b'')
        return outcomes.Failed(500, 'an error of this program')

    def _answer_early(
        self,
        caller: callers.Caller,
        request: codecs.Request,
        status: int,
        reason: str,
        retry_after_s: float | None = None,
    ) -> None:
        headers = self.parts.codec.local_response_headers(request)
        if retry_after_s is not None:
            headers.append((b'Retry-After', b'%.2f' % retry_after_s))
        configuration = self.parts.catalog.configuration
        self.record_early(status)
        LOG.event(
            'request_ended',
            id=request.id.decode('latin-1'),
            outcome='rejected',
            status=status,
            reason=reason,
            host=request.host,
            path=request.path,
            version=configuration.version if configuration else 0,
        )
        caller.answer(status, headers, reason.encode())

    def _log(
        self,
        one: exchange.Exchange,
        outcome: outcomes.Outcome,
        took_s: float,
        version: int,
    ) -> None:
        fields = {
            'id': one.request.id.decode('latin-1'),
            'route': one.route.name,
            'version': version,
            'outcome': type(outcome).__name__.lower(),
            'took_ms': round(took_s * 1000, 1),
            'endpoint': one.endpoint or 'none',
            'sends': one.sends,
        }
        if one.request.workspace is not None:
            fields['workspace'] = one.request.workspace.name
        match outcome:
            case outcomes.Answered(status):
                fields['status'] = status
            case outcomes.Refused(reason, retry_after_s):
                fields['reason'] = reason
                fields['retry_after_ms'] = round(retry_after_s * 1000)
            case outcomes.Failed(status, reason):
                fields['status'] = status
                fields['reason'] = reason
            case outcomes.Left(reason):
                fields['reason'] = reason
        LOG.event('request_ended', **fields)


def _size(head: http.Head) -> int:
    """Bytes of a head, line ends and separators included."""
    size = len(head.method) + len(head.target) + len(' HTTP/1.1') + 5
    return size + sum(len(n) + len(v) + 4 for n, v in head.headers)
