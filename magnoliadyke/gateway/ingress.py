"""Listener for callers: reads, admits and serves their requests."""

import hmac
import random
from typing import Callable
from typing import NamedTuple

import gevent
from gevent import server
from gevent import socket

from magnoliadyke import app
from magnoliadyke import clock as clocks
from magnoliadyke.core import heldbodies
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
from magnoliadyke.gateway import relaying
from magnoliadyke import logs

__all__ = ['Ingress']

LOG = logs.get('ingress')

BACKLOG = 1024
#: Retry-After of requests that arrive before this host has a configuration,
#: in seconds.
UNCONFIGURED_RETRY_S = 0.5
#: Retry-After of requests that can't be decided because the configuration is
#: not confirmed to be current, in seconds.
UNCONFIRMED_RETRY_S = 0.3
#: Retry-After of requests that an error of this program kept from being sent
#: to an endpoint, in seconds.
ERROR_RETRY_S = 0.4
#: Reason of an answer to a request that an error of this program ended.
ERROR_REASON = 'unhandled exception'
#: Maximum time to read and discard the caller's bytes after the last answer of
#: a connection, in seconds. Closing with unread bytes would reset the
#: connection, and the caller could lose the answer.
LINGER_S = 0.3
#: Maximum number of requests of other hosts in flight, which leaves memory and
#: descriptors for those of this host's own callers.
MAX_RELAYED = 256


#: Maximum size of all bodies of requests that this host holds, in bytes: with
#: those of answers, less than half of the 300 MB of a process.
MAX_HELD_BYTES = 64 << 20
#: Retry-After of requests whose bodies have no room, in seconds.
NO_ROOM_RETRY_S = 0.5


class NoRoom(Exception):
    """The body of a request is not held, as others take the room."""


class TooLarge(Exception):
    """The head or body of a request exceeds its size limit.

    :param status: HTTP status of the answer
    """

    def __init__(self, status: int) -> None:
        self.status = status
        super().__init__(f'status {status}')


class _Found(NamedTuple):
    """What a configuration says of a request.

    :param route: route of the request, None without one
    :param admitted: whether the route admits the request's key, None without
        a route
    """

    configuration: routes.Configuration
    route: routes.Route | None
    admitted: (
        workspaces.Allowed
        | workspaces.UnknownKey
        | workspaces.Unconfirmed
        | None
    )

    @property
    def is_denied(self) -> bool:
        """Whether the configuration does not allow the request."""
        return self.route is None or isinstance(
            self.admitted, workspaces.UnknownKey
        )


class Ingress(app.Component):
    """Listener for callers' requests, and for those that hosts pass on.

    :param address: numeric ``ip:port`` for callers
    :param peer_address: numeric ``ip:port`` for other hosts
    :param relay_token: secret that requests of other hosts have to name
    :param parts: components that exchanges use
    :param record: called with each request's outcome, its route and the time
        that it took in seconds
    :param record_early: called with the status of a request that is answered
        without an exchange
    :param confirmed: returns whether the configuration is confirmed to be
        current
    :param prove_for_denial: proves that the configuration is current, which
        may apply a newer one; returns whether there is a proof
    :param is_behind: returns whether other hosts have changes that this host
        has missed
    :ivar open_requests: number of requests of which the head has been read and
        that are not answered yet
    :ivar bodies: bodies of these requests
    :ivar connections: open connections, and whether each has a request or is
        being closed
    :ivar running: exchanges in flight, by connection
    :ivar shutdown: schedule of this host's shutdown, None until it begins
    """

    def __init__(
        self,
        address: str,
        peer_address: str,
        relay_token: str,
        parts: exchange.Parts,
        record: Callable[[outcomes.Outcome, routes.Route, float], None],
        record_early: Callable[[int], None],
        confirmed: Callable[[], bool],
        prove_for_denial: Callable[[], bool],
        is_behind: Callable[[], bool],
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        self.address = address
        self.peer_address = peer_address
        self.relay_token = relay_token
        self.parts = parts
        self.record = record
        self.record_early = record_early
        self.confirmed = confirmed
        self.prove_for_denial = prove_for_denial
        self.is_behind = is_behind
        self.clock = clock
        self.rng = rng
        self.shutdown: shutdown.Shutdown | None = None
        self.open_requests = 0
        self.bodies = heldbodies.HeldBodies(MAX_HELD_BYTES)
        self.connections: dict[callers.Caller, bool] = {}
        self.running: dict[callers.Caller, exchange.Exchange] = {}
        self.servers: list[server.StreamServer] = []

    # Start and shutdown.

    def start(self) -> None:
        """Start to listen on both addresses."""
        for address, serve in (
            (self.address, self._serve),
            (self.peer_address, self._serve_peer),
        ):
            host, _, port = address.rpartition(':')
            started = server.StreamServer(
                (host, int(port)), serve, backlog=BACKLOG
            )
            started.start()
            self.servers.append(started)

    def drain(self, course: shutdown.Shutdown) -> None:
        """Close each connection after its next answer from now on.

        :param course: schedule of the shutdown
        """
        self.shutdown = course
        for caller in self.connections:
            caller.closing = True
        for active in self.running.values():
            active.aborted_s = course.ends_s

    def close_idle(self) -> None:
        """Stop listening and close the connections without a request."""
        for each in self.servers:
            each.close()
        for caller, busy in list(self.connections.items()):
            if not busy:
                http.drop(caller.sock)

    def refuse_waiting(self) -> None:
        """Refuse requests that may not complete before this host stops.

        Only those are refused that have not been sent to an endpoint yet.
        """
        for caller, active in self.running.items():
            if active.is_waiting and not self._can_finish(active):
                caller.interrupt(lambda active=active: active.is_waiting)

    def refuse_barred(self) -> None:
        """Refuse requests that wait, though they crash endpoints."""
        for active in list(self.running.values()):
            if isinstance(active, promptexchange.PromptExchange):
                active.refuse_if_barred()

    def interrupt_all(self) -> None:
        """Abort all requests in flight.

        Their callers get an error status or, in mid-stream, a broken answer.
        """
        for caller in self.running:
            caller.interrupt()

    def log_running(self) -> None:
        """Log the requests that are in flight when this process exits."""
        now_s = self.clock.now_s()
        for active in self.running.values():
            LOG.warning_event(
                'request_cut',
                id=active.request.id.decode('latin-1'),
                route=active.route.name,
                age_ms=round((now_s - active.arrived_s) * 1000),
                left_ms=round(active.left_s * 1000),
                endpoint=active.endpoint or 'none',
                sends=active.send_count,
                begun=active.caller.answer_started,
            )

    def stop(self, deadline_s: float) -> None:
        """Stop listening; the process itself waits for requests in flight."""
        self.close_idle()

    # One connection.

    def relayed(self) -> int:
        """Return how many requests of other hosts are in flight."""
        return sum(1 for caller in self.running if caller.is_peer)

    def _serve_peer(
        self, sock: socket.socket, address: tuple[str, int]
    ) -> None:
        self._serve(sock, address, is_peer=True)

    def _serve(
        self,
        sock: socket.socket,
        address: tuple[str, int],
        is_peer: bool = False,
    ) -> None:
        http.set_socket_options(sock)
        caller = callers.Caller(sock, is_peer)
        self.connections[caller] = False
        try:
            self._serve_requests(caller, http.RequestReader(sock))
        except callers.CallerLeft:
            caller.broken = True
        finally:
            # The connection is marked as busy, so that close_idle does not
            # drop it while its last answer is still being delivered.
            self.connections[caller] = True
            self._close(caller)
            del self.connections[caller]

    def _close(self, caller: callers.Caller) -> None:
        """Close a connection; linger first if its last answer is complete.

        A stream that broke off is recognized by its missing last chunk. It
        is closed without a reset, which would also discard bytes in transit
        and cut the answer at an arbitrary place. A connection that ends
        without an answer is closed at once, so that a request that arrives
        at this moment stays unread.
        """
        if caller.answer_started and not (caller.broken or caller.streaming):
            self._linger(caller.sock)
        http.drop(caller.sock)

    def _linger(self, sock: socket.socket) -> None:
        try:
            sock.shutdown(socket.SHUT_WR)
            with gevent.Timeout(LINGER_S, False):
                while sock.recv(http.READ_BYTES):
                    gevent.sleep(0)
        except OSError:
            # The caller has closed or reset the connection.
            return

    def _serve_requests(
        self, caller: callers.Caller, reader: http.RequestReader
    ) -> None:
        while True:
            caller.answer_started = False
            caller.closing = caller.closing or self.shutdown is not None
            try:
                head = self._read_head(caller, reader)
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
                self._reject_unreadable(caller, 400, str(error))
                return
            except TooLarge as error:
                self._reject_unreadable(
                    caller, error.status, 'over the size limit'
                )
                return
            except http.OutOfTime:
                if reader.message_started:
                    self._reject_unreadable(caller, 408, 'request timed out')
                return
            if caller.broken or (caller.closing and self._may_close(caller)):
                return

    def _may_close(self, caller: callers.Caller) -> bool:
        """Return whether a connection may be closed after an answer.

        If the head of a stream was sent before the shutdown began, it does
        not announce the close, and the caller may already be sending its
        next request. Such a connection stays open until the listener closes.
        """
        if caller.close_announced or self.shutdown is None:
            return True
        return self.clock.now_s() >= self.shutdown.closes_s

    def _limits(self) -> routes.CallerLimits:
        configuration = self.parts.catalog.configuration
        if configuration is None:
            return routes.CallerLimits()
        return configuration.limits

    def _read_head(
        self, caller: callers.Caller, reader: http.RequestReader
    ) -> http.Head | None:
        """Wait for a request's head; None if the connection was idle too long.

        :raises TooLarge: the head exceeds its limit
        """
        if not reader.message_started and not reader.parts:
            self._wait_for_request(reader)
            if not reader.message_started and not reader.parts:
                return None
        limits = self._limits()
        max_bytes = limits.header_bytes
        if caller.is_peer:
            max_bytes += relaying.MAX_HEADER_BYTES
        # The limit below is to be met first: its status says more.
        reader.max_framing_bytes = max_bytes + http.READ_BYTES
        with gevent.Timeout(limits.header_timeout_s, http.OutOfTime('header')):
            while not reader.parts:
                reader.check()
                if reader.header_bytes > max_bytes:
                    raise TooLarge(431)
                reader.wait_for_bytes()
        head = reader.next_part()
        if _size(head) > max_bytes:
            raise TooLarge(431)
        return head

    def _wait_for_request(self, reader: http.RequestReader) -> None:
        """Wait for the first bytes of a request, up to the idle limit.

        Callers rely on a limit that was raised also on open connections.
        """
        waited_s = 0.0
        while (left_s := self._limits().idle_timeout_s - waited_s) > 0:
            with gevent.Timeout(left_s, False):
                reader.wait_for_bytes()
                return
            waited_s += left_s

    def _read_body(
        self,
        caller: callers.Caller,
        reader: http.RequestReader,
        head: http.Head,
        held: heldbodies.HeldBody,
    ) -> bytes:
        """Wait for a request's body.

        :param held: where it is held
        :raises NoRoom: the bodies of all requests are too large together
        :raises TooLarge: the body exceeds its limit
        """
        limits = self._limits()
        if head.length is not None and head.length > limits.body_bytes:
            raise TooLarge(413)
        if (head.value(b'expect') or b'').lower() == b'100-continue':
            caller.sock.sendall(b'HTTP/1.1 100 Continue\r\n\r\n')
        with gevent.Timeout(limits.idle_timeout_s, http.OutOfTime('body')):
            while not held.given_up:
                match reader.next_part():
                    case http.Body(data):
                        held.add(data)
                        if held.size > limits.body_bytes:
                            raise TooLarge(413)
                    case http.MessageEnd() if not held.given_up:
                        return held.complete()
        raise NoRoom(held.given_up)

    def _refuse_body(
        self,
        caller: callers.Caller,
        request: codecs.Request | codecs.Malformed,
        reason: str,
    ) -> None:
        """Refuse a request whose body is not read to its end, then close."""
        if caller.is_peer or isinstance(request, codecs.Malformed):
            self._reject_unreadable(caller, 503, reason)
            return
        caller.closing = True
        self._answer_early(caller, request, 503, reason, NO_ROOM_RETRY_S)

    def _reject_unreadable(
        self, caller: callers.Caller, status: int, reason: str
    ) -> None:
        """Answer a request that can't be parsed or read, then close.

        The host that passed on such a request has admitted it, and offers it
        to another host.
        """
        LOG.event('request_unreadable', status=status, reason=reason)
        caller.closing = True
        if caller.answer_started:
            return
        if caller.is_peer:
            headers = [(relaying.DECLINED, b'1')]
            caller.answer(status, headers, reason.encode())
        else:
            caller.answer(status, [], reason.encode())

    # One request.

    def _serve_one(
        self,
        caller: callers.Caller,
        reader: http.RequestReader,
        head: http.Head,
    ) -> None:
        held = self.bodies.begin()
        try:
            self._serve_held(caller, reader, head, held)
        finally:
            held.release()

    def _serve_held(
        self,
        caller: callers.Caller,
        reader: http.RequestReader,
        head: http.Head,
        held: heldbodies.HeldBody,
    ) -> None:
        """Serve one request, whose body is held until it ends."""
        arrived_s = self.clock.now_s()
        if not head.reusable:
            caller.closing = True
        relayed = None
        if caller.is_peer:
            relayed = relaying.pop_header(head)
            if not hmac.compare_digest(
                relayed.token.encode(), self.relay_token.encode()
            ):
                raise http.BrokenMessage('relayed request: wrong token')
        body = b''
        no_room = ''
        try:
            body = self._read_body(caller, reader, head, held)
        except NoRoom as error:
            no_room = str(error)
        request = None
        try:
            request = self.parts.codec.decode(head)
            if no_room:
                self._refuse_body(caller, request, no_room)
                return
            if isinstance(request, codecs.Malformed):
                self._reject_unreadable(caller, 400, request.reason)
                return
            request.body = body
            self._serve_read(caller, request, relayed, arrived_s)
        except callers.Interrupted:
            raise
        except Exception as error:
            # A bug must not end a connection without an answer.
            self._answer_not_run(caller, request, error)

    def _serve_read(
        self,
        caller: callers.Caller,
        request: codecs.Request,
        relayed: relaying.Relayed | None,
        arrived_s: float,
    ) -> None:
        """Serve a request that was read whole."""
        if self.parts.catalog.configuration is None:
            self._answer_early(
                caller,
                request,
                503,
                'not configured yet',
                UNCONFIGURED_RETRY_S,
            )
            return
        if relayed is not None:
            self._serve_relayed(caller, request, relayed, arrived_s)
            return
        found = self._look_up(request)
        is_proven = False
        if found.is_denied:
            is_proven = self.prove_for_denial()
            # The proof may have brought a configuration that allows it.
            found = self._look_up(request)
        configuration, route, _ = found
        if not self._admit(caller, request, found, is_proven):
            return
        service = self._service(request, route)
        active = self._exchange(request, route, service, caller, arrived_s)
        if not self._can_finish(active):
            self._answer_early(caller, request, 503, exchange.STOPPING, 0.0)
            return
        self._run(caller, request, active, configuration.version)

    def _service(self, request: codecs.Request, route: routes.Route) -> str:
        """Return the service of a request: that which began its stream."""
        began = None
        if route.resumable and request.resume_after is not None:
            began = self.parts.streams.find_service(request, route)
        return began or route.draw_service(self.parts.rng)

    def _run(
        self,
        caller: callers.Caller,
        request: codecs.Request,
        active: exchange.Exchange,
        version: int,
    ) -> None:
        self.running[caller] = active
        if self.shutdown is not None:
            active.aborted_s = self.shutdown.ends_s
        try:
            outcome = active.run()
        except Exception as error:
            # A bug must not end a connection without an answer: the caller
            # would have no information on whether the request has run.
            LOG.error_event(
                'request_error', error, id=request.id.decode('latin-1')
            )
            outcome = self._answer_internal_error(caller, request, active)
        finally:
            del self.running[caller]
        took_s = self.clock.now_s() - active.arrived_s
        self.record(outcome, active.route, took_s)
        if isinstance(active, promptexchange.PromptExchange):
            active.record_outcome(outcome)
        self._log(active, outcome, took_s, version)

    def _serve_relayed(
        self,
        caller: callers.Caller,
        request: codecs.Request,
        relayed: relaying.Relayed,
        arrived_s: float,
    ) -> None:
        """Serve a request that another host has admitted and passes on."""
        configuration = self.parts.catalog.configuration
        route = configuration.match(request.host, request.path)
        if configuration.version != relayed.version or route is None:
            if configuration.version < relayed.version:
                self.prove_for_denial()
            reason = (
                f'configuration: expected version {relayed.version}, '
                f'got {configuration.version}'
            )
            self._decline(caller, request, relayed, reason)
            return
        service = relayed.service
        if service is None:
            # Software before this one does not name it.
            service = route.draw_service(self.parts.rng)
        elif not route.has_target(service):
            reason = f'service {service:.80}: not one of route {route.name}'
            self._decline(caller, request, relayed, reason)
            return
        request.workspace = _listed(configuration, relayed.workspace)
        active = self._exchange(
            request, route, service, caller, arrived_s - relayed.waited_s
        )
        if not self._can_finish(active):
            self._decline(caller, request, relayed, exchange.STOPPING)
        elif self.parts.paths.is_cut_off(active.service):
            self._decline(caller, request, relayed, relaying.UNREACHABLE)
        elif self.relayed() >= MAX_RELAYED:
            self._decline(caller, request, relayed, 'too many relayed')
        else:
            self._run(caller, request, active, configuration.version)

    def _decline(
        self,
        caller: callers.Caller,
        request: codecs.Request,
        relayed: relaying.Relayed,
        reason: str,
    ) -> None:
        """Tell another host that this one does not take its request."""
        LOG.event(
            'relayed_request_declined',
            id=request.id.decode('latin-1'),
            host_name=relayed.host,
            reason=reason,
        )
        headers = self.parts.codec.local_response_headers(request)
        headers.append((relaying.DECLINED, b'1'))
        caller.answer(503, headers, reason.encode())

    def _can_finish(self, active: exchange.Exchange) -> bool:
        """Return whether a request will end before this host stops."""
        if self.shutdown is None:
            return True
        if active.is_relayed:
            # The host that passes it on can offer it to another one.
            return self.shutdown.completes(active.deadline_s)
        # The deadline is checked against the current time, since the body may
        # have arrived long after the head.
        return self.shutdown.accepts(self.clock.now_s(), active.deadline_s)

    def _look_up(self, request: codecs.Request) -> _Found:
        """Return what the present configuration says of a request."""
        configuration = self.parts.catalog.configuration
        route = configuration.match(request.host, request.path)
        if route is None:
            return _Found(configuration, None, None)
        admitted = workspaces.admit(
            configuration, route, request.key_digest, self.confirmed()
        )
        return _Found(configuration, route, admitted)

    def _admit(
        self,
        caller: callers.Caller,
        request: codecs.Request,
        found: _Found,
        is_proven: bool,
    ) -> bool:
        """Return whether the request may run; if not, answer it.

        :param is_proven: whether the configuration is proven to be current
        """
        match found.admitted:
            case workspaces.Allowed(workspace):
                request.workspace = workspace
                return True
            case None:
                self._deny(caller, request, 404, 'no route', is_proven)
            case workspaces.UnknownKey(remedy):
                self._deny(caller, request, 401, remedy, is_proven)
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
        is_proven: bool,
    ) -> None:
        """Reject a request that the current configuration does not allow.

        While this host may have missed configuration changes, which may allow
        the request, the answer is a 503 with Retry-After instead.
        """
        if self.is_behind() or not is_proven:
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
        service: str,
        caller: callers.Caller,
        arrived_s: float,
    ) -> exchange.Exchange:
        """Return the exchange for a request.

        It is a prompt exchange if the request has a prompt and its service
        has engines, whatever the other services of the route have.

        :param service: service that was drawn for the request
        """
        known = self.parts.catalog.configuration.services.get(service)
        kind = plainexchange.PlainExchange
        if (
            request.prompt is not None
            and known is not None
            and known.engine is not None
        ):
            kind = promptexchange.PromptExchange
        return kind(self.parts, request, route, service, caller, arrived_s)

    def _answer_internal_error(
        self,
        caller: callers.Caller,
        request: codecs.Request,
        active: exchange.Exchange,
    ) -> outcomes.Failed | outcomes.Refused:
        """Answer a request whose exchange an error of this program ended."""
        if caller.answer_started:
            caller.broken = True
            return outcomes.Failed(500, ERROR_REASON)
        caller.closing = True
        headers = self.parts.codec.local_response_headers(request)
        if active.is_waiting:
            headers.append((b'Retry-After', b'%.2f' % ERROR_RETRY_S))
            caller.answer(503, headers, ERROR_REASON.encode())
            return outcomes.Refused(ERROR_REASON, ERROR_RETRY_S)
        caller.answer(500, headers, b'')
        return outcomes.Failed(500, ERROR_REASON)

    def _answer_not_run(
        self,
        caller: callers.Caller,
        request: codecs.Request | codecs.Malformed | None,
        error: Exception,
    ) -> None:
        """Answer a request that an error of this program kept from running.

        :param request: None if its head could not be decoded
        """
        request_id = 'none'
        headers = []
        if isinstance(request, codecs.Request):
            request_id = request.id.decode('latin-1')
            headers = self.parts.codec.local_response_headers(request)
        LOG.error_event('request_error', error, id=request_id)
        if caller.answer_started:
            caller.broken = caller.broken or caller.streaming
            return
        caller.closing = True
        headers.append((b'Retry-After', b'%.2f' % ERROR_RETRY_S))
        if caller.is_peer:
            headers.append((relaying.DECLINED, b'1'))
        caller.answer(503, headers, ERROR_REASON.encode())
        self.record_early(503)

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
        known = self.parts.catalog
        configuration = known.configuration
        store_age_ms: int | str = 'none'
        if known.confirmed_s is not None:
            age_s = self.clock.now_s() - known.confirmed_s
            store_age_ms = round(age_s * 1000)
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
            position=known.position,
            store_age_ms=store_age_ms,
        )
        caller.answer(status, headers, reason.encode())

    def _log(
        self,
        active: exchange.Exchange,
        outcome: outcomes.Outcome,
        took_s: float,
        version: int,
    ) -> None:
        fields = {
            'id': active.request.id.decode('latin-1'),
            'route': active.route.name,
            'version': version,
            'outcome': type(outcome).__name__.lower(),
            'took_ms': round(took_s * 1000, 1),
            'endpoint': active.endpoint or 'none',
            'sends': active.send_count,
            'connection': active.sent_on,
            'relayed': active.is_relayed,
        }
        if active.refused_by:
            fields['refused_by'] = ','.join(sorted(active.refused_by))
        if active.request.workspace is not None:
            fields['workspace'] = active.request.workspace.name
        if active.request.resume_after is not None:
            fields['resumes'] = (active.request.resumes or b'none').decode(
                'latin-1'
            )
        if active.answer_end is not None:
            ended = active.answer_end
            fields['framing'] = (
                ended.framing.value if ended.framing else 'none'
            )
            fields['end'] = ended.end.value
            fields['left_over'] = ended.left_over
        match outcome:
            case outcomes.Answered(status):
                fields['status'] = status
            case outcomes.Refused(reason, retry_after_s):
                fields['reason'] = reason
                fields['retry_after_ms'] = round(retry_after_s * 1000)
            case outcomes.Failed(status, reason):
                fields['status'] = status
                fields['reason'] = reason
                fields['begun'] = active.caller.streaming
            case outcomes.Left(reason):
                fields['reason'] = reason
        LOG.event('request_ended', **fields)


def _size(head: http.Head) -> int:
    """Return the bytes of a head with line ends and separators."""
    size = len(head.method) + len(head.target) + len(' HTTP/1.1') + 5
    return size + sum(len(n) + len(v) + 4 for n, v in head.headers)


def _listed(
    configuration: routes.Configuration,
    relayed: workspaces.Workspace | None,
) -> workspaces.Workspace | None:
    """Return a relayed request's workspace as the configuration lists it."""
    known = configuration.workspaces
    if relayed is None or known is None:
        return relayed
    return known.listed(relayed)
