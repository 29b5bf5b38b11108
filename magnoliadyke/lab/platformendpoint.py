"""Stand-ins for the platform's endpoints, over HTTP on loopback."""

import contextlib
import dataclasses
import json
import math
import time
from typing import Callable
from typing import Iterable

import gevent
from gevent import socket

from magnoliadyke.core import answerend
from magnoliadyke.gateway import caller as callers
from magnoliadyke.gateway import http
from magnoliadyke.lab import endlessanswer
from magnoliadyke.lab import framedanswer
from magnoliadyke.lab import httpstandin
from magnoliadyke.lab import oddanswer
from magnoliadyke.lab import proxy

__all__ = ['Arrival', 'EndpointStandIn']

SEAL = b'x-server-seal'
#: Size of a body from which a request is an upload, in bytes.
UPLOAD_BYTES = 100_000
#: Time after the end of a run in which its connection is surely kept by the
#: host, in seconds.
KEPT_S = 1.0


class _RunStopped(Exception):
    """A call has stopped the run; its answer ends without its end."""


@dataclasses.dataclass(slots=True)
class Arrival:
    """One request that reached an endpoint.

    :ivar at_s: monotonic seconds at which the endpoint began to process it
    :ivar run: the endpoint began to execute it; not set for prefills
    :ivar ended: the endpoint sent the complete answer
    :ivar cancelled: the host closed the connection during the execution
    :ivar aborted: the endpoint broke off or failed the request
    :ivar until_s: monotonic seconds at which the execution ended, infinite
        until then
    :ivar leaving_announced: the answer announced that the endpoint leaves
    :ivar backoff_s: backoff that the answer asked for, in seconds, 0 for none
    :ivar rate_limit: rate limit that the answer named, None for none
    :ivar sender: IP address that it came from
    :ivar peer: IP address and port of its connection
    :ivar framing: framing of the answer, None as long as there is none
    :ivar closed_alone: the living endpoint closed its connection in order
        between two pieces of an answer without a frame, and no other one of
        the host that would tell it from the end of an answer
    :ivar crashed: it made the endpoint crash
    :ivar killed: the endpoint crashed during the execution
    :ivar silence_s: time from its arrival to its processing, in seconds
    :ivar misdirected: it was refused with 421, as meant for another endpoint
    """

    at_s: float
    method: bytes
    target: bytes
    headers: dict[bytes, bytes]
    body: bytes
    run: bool = False
    ended: bool = False
    cancelled: bool = False
    aborted: bool = False
    until_s: float = math.inf
    leaving_announced: bool = False
    backoff_s: float = 0.0
    rate_limit: bytes | None = None
    sender: str = ''
    peer: tuple[str, int] = ('', 0)
    framing: answerend.Framing | None = None
    closed_alone: bool = False
    crashed: bool = False
    killed: bool = False
    silence_s: float = 0.0
    misdirected: bool = False

    @property
    def reached_s(self) -> float:
        """Monotonic seconds of its arrival."""
        return self.at_s - self.silence_s

    @property
    def shared_parts(self) -> list[int]:
        """Ids of the parts of its prompt, without the last one."""
        value = self.headers.get(b'x-prompt-prefix', b'')
        entries = value.split(b',')[:-1]
        return [int(each.strip().partition(b':')[0], 16) for each in entries]

    @property
    def id(self) -> bytes:
        """The request's id, empty if it has none."""
        return self.headers.get(b'x-request-id', b'')


class EndpointStandIn(httpstandin.HttpStandIn):
    """One process of an endpoint.

    :param stage: 'prefill' or 'decode' for an engine, '' for a plain one
    :param domain: failure domain
    :param version: version of its software
    :ivar mode: how requests are served: 'ok', 'error' (500), 'shed' (503, not
        executed), 'reset' (the connection is reset after the execution),
        'silent' (no answer for 60 s), 'cut' (the connection is reset or
        closed in the middle of the answer), 'stall' (a stream pauses for 60 s
        after ``cut_after`` events), 'extra' (a second answer follows),
        'unframed' (no Content-Length; the answer ends with the connection),
        'foreign' (the answer has the id of another request)
    :ivar work_s: execution time of a request, in seconds
    :ivar work_s_by_prefix: execution time that is added for targets with a
        prefix, in seconds; in a stream it is spread over the events, in place
        of ``pause_s``
    :ivar pause_s: pause between two events of a stream, in seconds
    :ivar pace: factor of the pauses between the events of a stream
    :ivar events: number of events of a stream
    :ivar cut_after: number of events before a stream is cut or stalls
    :ivar framing: framing of answers, None for the usual one
    :ivar early: how uploads are answered before they are read, None if they
        are read first
    :ivar odd_head: begin of the heads of answers, None for a usual one
    :ivar endless: the part of answers that does not end, None if all do
    :ivar endless_every: one of so many answers does not end
    :ivar endless_pause_s: time between two bytes of that part in seconds, None
        to send as fast as the host reads
    :ivar endless_bytes: number of bytes of that part after which nothing more
        is sent, None without end
    :ivar ends_with_break: it stops listening as it breaks an answer off
    :ivar content_type: content type of streams
    :ivar marks_version: each event names the version of the endpoint's
        software in a comment
    :ivar from_s: when it started, in monotonic seconds
    :ivar to_s: when it ended or announced its leave
    :ivar gone_s: when it crashed, infinite until then
    :ivar without_id: numbers of the events of a stream that have no id
    :ivar broken: where and how answers are broken off, None if they are not
    :ivar refuses_resumed: resumed streams are refused with 503
    :ivar fails_resumed: resumed streams end with 500
    :ivar crash_on_body: body of a request that makes the endpoint crash
    :ivar crash_on_parts: parts of a prompt, of which any but the last one of
        a request makes the endpoint crash as it begins to answer
    :ivar crash_at: where the answer breaks off then, None for before its head
    :ivar on_crash: called after the endpoint has crashed by a request
    :ivar started_ms: start time in the endpoint's entry and reports, in
        milliseconds since the epoch; 0 if they have none
    :ivar refusals: number of requests that are refused with 503 before others
        are served
    :ivar names_requests: refusals have the id of their request
    :ivar copies: how often each answer is sent again, if copies are sent
    :ivar copied_bytes: number of bytes of an answer that are sent again, None
        for all
    :ivar copied_answers: number of the latest answers that are sent again
        when a request has arrived
    :ivar max_runs: number of executions after which requests are refused
        with 503, None for no limit
    :ivar change_s: time until an ordered change of stage takes effect, in
        seconds; None if orders are only recorded
    :ivar on_change: called after the endpoint's entry has changed
    :ivar announces_leaving: answers announce that the endpoint leaves
    :ivar backoff_s: backoff asked for in refusals with 503, in seconds, None
        to ask for none
    :ivar rate_limit: value of the rate limit that answers name, None if they
        name none
    :ivar runs_on: a run goes on after its answer was broken off
    :ivar has_backups: it has the backups that requests name
    :ivar move_status: status of the answer to calls that stop a run, None for
        the usual one
    :ivar move_s: time until that answer, in seconds
    :ivar keeps_moved: these calls stop the run and fail to move it: they are
        answered with 503 and the handle under which the engine keeps it
    :ivar moves: bodies of these calls, in order
    :ivar arrivals: requests that reached the endpoint, in order
    :ivar orders: orders for a stage, in order
    :ivar handles: handles of KV caches that are held
    :ivar released_handles: handles that were released, in order
    """

    def __init__(
        self,
        name: str,
        service: str,
        stage: str = '',
        domain: str = 'z1',
        address: str = '127.0.0.1:0',
        slots: int = 16,
        version: str = 'v1',
    ) -> None:
        super().__init__(address)
        self.name = name
        self.service = service
        self.stage = stage
        self.domain = domain
        self.slots = slots
        self.version = version
        self.state = 'ready'
        self.mode = 'ok'
        self.work_s = 0.0
        self.work_s_by_prefix: dict[bytes, float] = {}
        self.pause_s = 0.0
        self.pace = 1.0
        self.events = 3
        self.cut_after = 1
        self.framing: answerend.Framing | None = None
        self.broken: framedanswer.Break | None = None
        self.early: oddanswer.Early | None = None
        self.odd_head: bytes | None = None
        self.endless: endlessanswer.Endless | None = None
        self.endless_every = 1
        self.endless_pause_s: float | None = None
        self.endless_bytes: int | None = None
        self.ends_with_break = False
        self.content_type = b'text/event-stream'
        self.marks_version = False
        self.from_s = time.monotonic()
        self.to_s = math.inf
        self.gone_s = math.inf
        self.without_id: frozenset[int] = frozenset()
        self.crash_on_body: bytes | None = None
        self.crash_on_parts: frozenset[int] = frozenset()
        self.crash_at: framedanswer.Break | None = None
        self.on_crash: Callable[[], None] | None = None
        self.refuses_resumed = False
        self.fails_resumed = False
        self.started_ms = 0
        self.refusals = 0
        self.names_requests = True
        self.copies = 1
        self.copied_bytes: int | None = None
        self.copied_answers = 1
        self.max_runs: int | None = None
        self.announces_leaving = False
        self.backoff_s: float | None = None
        self.rate_limit: bytes | None = None
        self.change_s: float | None = None
        self.on_change: Callable[[], None] | None = None
        self.runs_on = False
        self.has_backups = True
        self.move_status: int | None = None
        self.move_s = 0.0
        self.keeps_moved = False
        self.moves: list[dict] = []
        self.arrivals: list[Arrival] = []
        self.orders: list[dict] = []
        self.handles: set[str] = set()
        self.released_handles: list[str] = []
        self.next_handle = 0

    def crash(self) -> None:
        """Exit without notice and abort all requests in execution."""
        for arrival in self.runs:
            if arrival.until_s == math.inf:
                arrival.aborted = arrival.killed = True
        self.gone_s = min(self.gone_s, time.monotonic())
        self.server.close()
        self.cut()

    def end_connections(
        self,
        by: framedanswer.BreakBy,
        is_single: bool,
        is_inside: bool,
        links: Iterable[proxy.Link] | None = None,
    ) -> None:
        """End connections at one moment, and serve on.

        :param by: by a close or a reset
        :param is_single: one only, with a request if there is one
        :param is_inside: a part of a head or an event is sent before
        :param links: connections of the proxy, which ends them in place of
            the endpoint; None if the endpoint does
        """
        runs = {e.peer: e for e in self.runs if e.until_s == math.inf}
        ended = list(self.peers.items())
        if is_single:
            ended.sort(key=lambda each: each[1] not in runs)
            del ended[1:]
        peers = {peer for _, peer in ended}
        for caller, peer in ended:
            if (arrival := runs.get(peer)) is not None:
                arrival.aborted = True
                part = b''
                if is_inside and arrival.framing is None:
                    part = b'HTTP/'
                elif is_inside and b'x-prompt-prefix' in arrival.headers:
                    part = b'id: 9\nda'
                arrival.closed_alone = (
                    by is framedanswer.BreakBy.CLOSE
                    and not part
                    and not self._tells_break(arrival, peers)
                )
                with contextlib.suppress(OSError):
                    caller.sock._sock.send(part)
            if links is None:
                with contextlib.suppress(OSError):
                    framedanswer.end_broken(caller, by)
                http.drop(caller.sock)
        for link in links or ():
            if not link.closed and link.upstream.getsockname() in peers:
                link.close(reset=by is framedanswer.BreakBy.RESET)

    def _tells_break(
        self, arrival: Arrival, peers: set[tuple[str, int]]
    ) -> bool:
        """Whether the host of a request loses a connection besides its own.

        Those with other answers without a frame tell nothing.
        """
        since_s = time.monotonic() - KEPT_S
        last = {each.peer: each for each in self.runs}
        return any(
            peer[0] == arrival.sender
            and peer != arrival.peer
            and each.until_s > since_s
            and each.framing not in (None, answerend.Framing.CLOSE)
            for peer, each in last.items()
            if peer in peers
        )

    def entry(self) -> dict:
        """The endpoint's entry in the store."""
        entry = {
            'service': self.service,
            'address': self.address,
            'zone': self.domain,
            'version': self.version,
            'slots': self.slots,
            'state': self.state,
            'cold_left_ms': 0,
            'sequence': 1,
        }
        if self.stage:
            entry['stage'] = self.stage
        if self.started_ms:
            entry['born'] = self.started_ms
        return entry

    @property
    def runs(self) -> list[Arrival]:
        """Requests whose execution has begun, without prefills."""
        return [each for each in self.arrivals if each.run]

    @property
    def open_runs(self) -> int:
        """Number of executions that have not ended."""
        return sum(each.until_s == math.inf for each in self.runs)

    # Connections.

    def _serve_one(
        self, caller: callers.Caller, reader: http.RequestReader
    ) -> bool:
        head = reader.next_part()
        headers = {k.lower(): v for k, v in head.headers}
        early = self.early if _is_upload(headers) else None
        body = b''
        if early is None:
            body = httpstandin.read_body(reader)
        caller.answer_started = False
        if self.sends_copies and caller.last_answer:
            caller.earlier_answers.append(bytes(caller.last_answer))
            for each in caller.earlier_answers[-self.copied_answers :]:
                caller._send(each[: self.copied_bytes] * self.copies)
        caller.last_answer.clear()
        reached_s = time.monotonic()
        self.wait_while_silent()
        if time.monotonic() >= self.gone_s or caller.sock.fileno() < 0:
            return False
        if head.target.startswith(b'/api/'):
            return self._serve_control(caller, head, body)
        arrival = Arrival(
            time.monotonic(), head.method, head.target, headers, body
        )
        arrival.peer = self.peers[caller]
        arrival.sender = arrival.peer[0]
        arrival.silence_s = arrival.at_s - reached_s
        self.arrivals.append(arrival)
        refusal = self._refusal_status(headers)
        arrival.misdirected = refusal == 421
        if refusal is not None:
            if early is not None:
                httpstandin.read_body(reader)
            extra = [(b'X-Not-Executed', b'1')]
            if refusal == 503 and self.backoff_s is not None:
                arrival.backoff_s = self.backoff_s
                extra.append((b'Retry-After', b'%g' % self.backoff_s))
            return self._refuse(caller, arrival, refusal, extra)
        if headers.get(b'x-stage') == b'prefill':
            return self._prefill(caller, arrival)
        arrival.run = True
        if early is not None:
            return self._answer_early(caller, reader, arrival, early)
        try:
            with caller.watch_disconnect():
                return self._run(caller, arrival)
        except callers.CallerLeft:
            arrival.cancelled = True
            return False
        except _RunStopped:
            return False
        finally:
            is_stopped = arrival.until_s < math.inf
            if not is_stopped and not (self.runs_on and arrival.aborted):
                arrival.until_s = time.monotonic()

    def _answer_early(
        self,
        caller: callers.Caller,
        reader: http.RequestReader,
        arrival: Arrival,
        early: oddanswer.Early,
    ) -> bool:
        """Answer an upload of which only the head has been read."""
        pieces = [b'answer to ', arrival.id]
        if b'x-prompt-prefix' in arrival.headers:
            pieces = self._remaining_events(arrival)
        if not early.has_all:
            del pieces[1:]
        arrival.framing = early.framing
        # A close before the end of a request ends no answer.
        arrival.aborted = early.by is not None or (
            early.closes and early.framing is answerend.Framing.CLOSE
        )
        try:
            framedanswer.send(
                caller, self._run_headers(arrival), pieces, early.framing
            )
            if early.by is not None:
                gevent.sleep(early.after_s)
                if early.by is framedanswer.BreakBy.CLOSE:
                    # Unread bytes make the close a reset.
                    socket.wait_read(caller.sock.fileno(), 5.0)
                return framedanswer.end_broken(caller, early.by)
            arrival.ended = not arrival.aborted
            if early.closes:
                caller.sock.shutdown(socket.SHUT_WR)
            httpstandin.read_body(reader)
            return not early.closes
        except (OSError, ValueError):
            # The connection was ended meanwhile.
            return False
        finally:
            arrival.until_s = time.monotonic()

    def _remaining_events(self, arrival: Arrival) -> list[bytes]:
        first = int(arrival.headers.get(b'last-event-id', b'0')) + 1
        return [self._event(n) for n in range(first, self.events + 1)]

    def _run_headers(self, arrival: Arrival) -> http.Headers:
        return [
            (b'X-Request-Id', arrival.id),
            (b'Content-Type', self.content_type),
            *self._signal_headers(arrival),
            (b'X-Server-Seal', b'seal-' + self.name.encode()),
        ]

    def _refuse(
        self,
        caller: callers.Caller,
        arrival: Arrival,
        status: int,
        extra: http.Headers,
    ) -> bool:
        if self.framing is None and self.broken is None:
            self._answer(caller, arrival, status, extra)
            return True
        return framedanswer.send(
            caller,
            [
                (b'X-Request-Id', arrival.id),
                *self._signal_headers(arrival),
                *extra,
            ],
            [b'not ', b'now'],
            self.framing or answerend.Framing.LENGTH,
            self.broken,
            status=status,
        )

    def _refusal_status(self, headers: dict[bytes, bytes]) -> int | None:
        expected = headers.get(b'x-expect-instance')
        if expected is not None and expected != self.name.encode():
            return 421
        if self.mode == 'shed':
            return 503
        if self.refusals:
            self.refusals -= 1
            return 503
        if self.refuses_resumed and b'last-event-id' in headers:
            return 503
        if self.max_runs is not None:
            if len(self.runs) >= self.max_runs:
                return 503
        source = headers.get(b'x-kv-source', b'').partition(b'/')[0]
        if source == self.address.encode() and not self.has_backups:
            return 503
        is_prefill = headers.get(b'x-stage') == b'prefill'
        if self.stage and is_prefill != (self.stage == 'prefill'):
            return 421
        return None

    def _prefill(self, caller: callers.Caller, arrival: Arrival) -> bool:
        gevent.sleep(self.work_s)
        if self.mode == 'silent':
            gevent.sleep(60)
        self.next_handle += 1
        handle = f'{self.name}-{self.next_handle}'
        self.handles.add(handle)
        body = json.dumps({'kv_handle': handle, 'tokens': 1, 'version': 1})
        self._answer(caller, arrival, 200, [], body.encode())
        return True

    def _serve_control(
        self, caller: callers.Caller, head: http.Head, body: bytes
    ) -> bool:
        path = head.target.decode()
        if path == '/api/report':
            state = {
                'stage': self.stage,
                'busy': False,
                'sequence': len(self.orders),
            }
            if self.started_ms:
                state['born'] = self.started_ms
            caller.answer(200, [], json.dumps(state).encode())
        elif path == '/api/order':
            order = json.loads(body)
            self.orders.append(order)
            if self.change_s is not None:
                gevent.spawn_later(self.change_s, self._change_stage, order)
            caller.answer(202, [], b'{}')
        elif path == '/api/kv-move':
            self._move(caller, head, json.loads(body))
        elif path.startswith('/api/kv-handle/'):
            handle = path.rsplit('/', 1)[1]
            self.handles.discard(handle)
            self.released_handles.append(handle)
            caller.answer(200, [], b'{}')
        else:
            caller.answer(404, [], b'{}')
        return True

    def _move(
        self, caller: callers.Caller, head: http.Head, order: dict
    ) -> None:
        """Stop a run, and move its KV cache to another engine."""
        self.moves.append(order)
        gevent.sleep(self.move_s)
        status = self.move_status or 404
        answer = {}
        if head.value(b'x-expect-instance') != self.name.encode():
            status = 421
        elif self.move_status is None:
            for arrival in self.runs:
                is_run = arrival.id.decode() == order['id']
                if is_run and arrival.until_s == math.inf:
                    arrival.until_s = time.monotonic()
                    status = 503 if self.keeps_moved else 200
                    answer = {'kv_handle': 'moved-1'}
        caller.answer(status, [], json.dumps(answer).encode())

    def _change_stage(self, order: dict) -> None:
        self.stage = order['stage']
        if self.on_change is not None:
            self.on_change()

    # Answers.

    def _answer(
        self,
        caller: callers.Caller,
        arrival: Arrival,
        status: int,
        extra: http.Headers,
        body: bytes = b'',
    ) -> None:
        headers = [*self._signal_headers(arrival), *extra]
        if self.names_requests:
            headers.insert(0, (b'X-Request-Id', arrival.id))
        caller.answer(status, headers, body)

    def _signal_headers(self, arrival: Arrival) -> http.Headers:
        """Headers by which the endpoint says that it leaves, or its limit."""
        arrival.leaving_announced = self.announces_leaving
        arrival.rate_limit = self.rate_limit
        headers = []
        if self.announces_leaving:
            headers.append((b'Server-Leaving', b'1'))
        if self.rate_limit is not None:
            headers.append((b'Server-Limit', self.rate_limit))
        return headers

    def _run(self, caller: callers.Caller, arrival: Arrival) -> bool:
        streams = b'x-prompt-prefix' in arrival.headers
        prefix_work_s = self._prefix_work_s(arrival)
        gevent.sleep(self.work_s if streams else self.work_s + prefix_work_s)
        if self.mode == 'silent':
            gevent.sleep(60)
        arrival.aborted = arrival.aborted or self.mode in ('reset', 'error')
        crashes = self._is_crashed_by(arrival)
        if crashes and self.crash_at is not None:
            return self._crash_in_answer(caller, arrival)
        if crashes:
            self._crash_by(arrival)
            return False
        if self.mode == 'reset':
            caller.sock.setsockopt(
                socket.SOL_SOCKET,
                socket.SO_LINGER,
                framedanswer.LINGER_RESET,
            )
            return False
        seal = [(b'X-Server-Seal', b'seal-' + self.name.encode())]
        if self.odd_head is not None:
            arrival.aborted = True
            head = [b'%s: %s\r\n' % e for e in self._run_headers(arrival)]
            head.append(b'Content-Length: 11\r\n\r\ndata: odd\n\n')
            caller._send(self.odd_head + b''.join(head))
            return False
        floods = len(self.arrivals) % self.endless_every == 0
        if self.endless is not None and floods:
            arrival.aborted = True
            headers = [(b'X-Request-Id', arrival.id), *seal]
            endlessanswer.send(
                caller,
                self.endless,
                headers,
                self.endless_pause_s,
                self.endless_bytes,
            )
        resumed = b'last-event-id' in arrival.headers
        if self.mode == 'error' or (self.fails_resumed and resumed):
            self._answer(caller, arrival, 500, seal, b'failed')
            return True
        if streams:
            pause_s = prefix_work_s / self.events or self.pause_s
            return self._stream(caller, arrival, seal, self.pace * pause_s)
        return self._answer_with_body(caller, arrival, seal)

    def _is_crashed_by(self, arrival: Arrival) -> bool:
        return arrival.body == self.crash_on_body or not (
            self.crash_on_parts.isdisjoint(arrival.shared_parts)
        )

    def _crash_by(self, arrival: Arrival) -> None:
        arrival.crashed = arrival.aborted = True
        self.crash()
        if self.on_crash is not None:
            self.on_crash()

    def _crash_in_answer(
        self, caller: callers.Caller, arrival: Arrival
    ) -> bool:
        """Crash after a part of the answer has been sent."""
        headers = self._run_headers(arrival)
        first = int(arrival.headers.get(b'last-event-id', b'0')) + 1
        events = [self._event(n) for n in range(first, first + self.events)]
        framedanswer.send(
            caller,
            headers,
            events,
            self.framing or answerend.Framing.CHUNKED,
            self.crash_at,
        )
        self._crash_by(arrival)
        return False

    def _prefix_work_s(self, arrival: Arrival) -> float:
        for prefix, prefix_work_s in self.work_s_by_prefix.items():
            if arrival.target.startswith(prefix):
                return prefix_work_s
        return 0.0

    def _answer_with_body(
        self, caller: callers.Caller, arrival: Arrival, seal: http.Headers
    ) -> bool:
        body = b'answer to ' + arrival.id
        if self.mode == 'foreign':
            other = dataclasses.replace(arrival)
            other.headers = {b'x-request-id': b'another'}
            self._answer(caller, other, 200, seal, b'not yours')
            return True
        half = len(body) // 2
        reusable = self._send_whole_or_broken(
            caller,
            arrival,
            [
                (b'X-Request-Id', arrival.id),
                *self._signal_headers(arrival),
                *seal,
            ],
            [body[:half], body[half:]],
            answerend.Framing.LENGTH,
        )
        if self.mode == 'extra':
            self._answer(caller, arrival, 200, seal, b'again')
        return reusable

    def _send_whole_or_broken(
        self,
        caller: callers.Caller,
        arrival: Arrival,
        headers: http.Headers,
        pieces: list[bytes],
        usual_framing: answerend.Framing,
        pause: Callable[[], None] = lambda: None,
        skipped: int = 0,
    ) -> bool:
        """Send an answer as the endpoint's mode says.

        :param skipped: number of events that are left out, as the caller of a
            resumed stream has them
        """
        framing = self.framing or usual_framing
        if self.mode == 'unframed':
            framing = answerend.Framing.CLOSE
        broken = self.broken
        if self.mode == 'cut':
            by = framedanswer.BreakBy.RESET
            if (
                usual_framing is answerend.Framing.LENGTH
                and framing is not answerend.Framing.CLOSE
            ):
                by = framedanswer.BreakBy.CLOSE
            broken = framedanswer.Break(
                framedanswer.BreakAt.INSIDE,
                by,
                max(0, self.cut_after - skipped),
            )
        if broken is not None and broken.after >= len(pieces):
            broken = None
        arrival.framing = broken and broken.framing or framing
        arrival.aborted = arrival.aborted or broken is not None
        if broken is not None and self.ends_with_break:
            self.server.close()
        reusable = framedanswer.send(
            caller, headers, pieces, framing, broken, pause
        )
        arrival.ended = broken is None
        return reusable

    def _stream(
        self,
        caller: callers.Caller,
        arrival: Arrival,
        seal: http.Headers,
        pause_s: float,
    ) -> bool:
        first = int(arrival.headers.get(b'last-event-id', b'0')) + 1
        headers = [
            (b'X-Request-Id', arrival.id),
            (b'Content-Type', self.content_type),
            *self._signal_headers(arrival),
            *seal,
        ]
        numbers = iter(range(first, self.events + 1))

        def pause() -> None:
            gevent.sleep(pause_s)
            self.wait_while_silent()
            if arrival.until_s < math.inf and not arrival.aborted:
                raise _RunStopped
            number = next(numbers)
            if self.mode == 'stall' and self.cut_after <= number < self.events:
                gevent.sleep(framedanswer.SILENCE_S)

        return self._send_whole_or_broken(
            caller,
            arrival,
            headers,
            [self._event(n) for n in range(first, self.events + 1)],
            answerend.Framing.CHUNKED,
            pause,
            skipped=first - 1,
        )

    def _event(self, number: int) -> bytes:
        data = b'data: piece %d\n' % number
        if self.marks_version:
            data += b': %s\n' % self.version.encode()
        data += b'\n'
        if number in self.without_id:
            return data
        return b'id: %d\n' % number + data


def _is_upload(headers: dict[bytes, bytes]) -> bool:
    is_prefill = headers.get(b'x-stage') == b'prefill'
    length = int(headers.get(b'content-length', b'0'))
    return length >= UPLOAD_BYTES and not is_prefill
