"""Keeps the rate limits of endpoints, for all hosts together.

The placement leader grants the requests to limited endpoints: a prompt that
it places needs nothing else, and for any other request a host asks it for a
permit.  While no leader answers, each host sends its part of the limit.
"""

import collections
import random
from typing import Callable
from typing import NamedTuple

import gevent
from gevent import event

from magnoliadyke import app
from magnoliadyke import clock as clocks
from magnoliadyke.core import endpointlimits
from magnoliadyke.core import position
from magnoliadyke.gateway import limit_codec
from magnoliadyke.gateway import members
from magnoliadyke.gateway import placementservice
from magnoliadyke import logs

__all__ = ['Denied', 'EndpointLimits', 'Granted']

LOG = logs.get('endpointlimits')

#: Interval at which known limits are sent again, and divided among the hosts
#: that run, in seconds: a datagram may be lost, and hosts start.
REPEAT_INTERVAL_S = 1.0
#: Time for which the limit of an endpoint that is not listed is kept, in
#: seconds: its entry may be missing for a moment.
UNLISTED_S = 5.0
#: Time after which the leader no longer counts as knowing a limit that it has
#: not sent again, in seconds.
TOLD_S = 2.5
#: Minimum time between two messages about changed limits, in seconds.
MIN_UPDATE_INTERVAL_S = 0.1
#: Time for which the end of a limit is sent again, in seconds.
END_REPEAT_S = 5.0
#: Time that a message between hosts may take, in seconds.  A statement of
#: another host counts as that much older than its message says.
MESSAGE_DELAY_S = 0.1
#: Maximum number of limits in a datagram, so that it does not exceed the
#: 1,400 bytes of a network packet.
MAX_LIMITS_PER_DATAGRAM = 24
#: Maximum number of endpoints in a request for a permit.
MAX_PERMIT_ENDPOINTS = 24
#: Number of requests for one permit; after the last one the leader counts as
#: silent.
MAX_PERMIT_REQUESTS = 2
#: Maximum number of replies kept to answer duplicate requests.
MAX_CACHED_REPLIES = 4096
#: Time during which a host that asked for a permit counts as one that will
#: ask again, in seconds.
DEMAND_WINDOW_S = 2.0
#: Longest time for which a host that got no permit asks for no other one for
#: the same endpoints, in seconds: a limit may end, or a leader answer again.
MAX_DENIAL_S = 1.0


class Granted(NamedTuple):
    """A permit to send one request.

    :param endpoint: id of the endpoint
    :param wait_s: time until the request may be sent, in seconds
    """

    endpoint: str
    wait_s: float


class Denied(NamedTuple):
    """No permit; none of the endpoints accepts the request in time.

    :param wait_s: time until there may be a permit, in seconds
    """

    wait_s: float


class _Told(NamedTuple):
    """A limit that the leader sent.

    :param rate_s: requests per second, None for no limit
    :param at_s: when this host received it, in monotonic seconds
    """

    rate_s: float | None
    at_s: float


class _Denial(NamedTuple):
    """Times that follow from a denied permit, in monotonic seconds.

    :param room_s: when there may be a permit
    :param ask_s: when another one may be asked for
    """

    room_s: float
    ask_s: float


class EndpointLimits(app.Component):
    """The rate limits of endpoints, and the permits to send them requests.

    :param pacers: the limits that this host knows, and its pacers; shared
        with the placement
    :ivar broadcast: sends a message to all other hosts
    :ivar sends: number of requests that this host sent to endpoints while
        they had a limit, by endpoint id
    :ivar counts: number of requests for permits by outcome
    :ivar leader_limits: limits that the leader last sent, by endpoint id
    :ivar told_leader: address and term of that leader
    :ivar denials: the latest denial of a permit, by endpoint id
    :ivar unlisted_s: since when endpoints are not listed, by endpoint id
    :ivar asked_s: when each host last asked for a permit, used by the leader
    """

    def __init__(
        self,
        pacers: endpointlimits.Pacers,
        host_members: members.Members,
        placement_service: placementservice.PlacementService,
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        self.members = host_members
        self.pacers = pacers
        self.named = pacers.named
        self.placement_service = placement_service
        self.clock = clock
        self.rng = rng
        self.broadcast: Callable[[limit_codec.Message], None] | None = None
        self.sends: collections.Counter[str] = collections.Counter()
        self.counts: collections.Counter[str] = collections.Counter()
        self.leader_limits: dict[str, _Told] = {}
        self.told_leader: tuple[str | None, position.Position] = (
            None,
            position.START,
        )
        self.denials: dict[str, _Denial] = {}
        self.unlisted_s: dict[str, float] = {}
        self.asked_s: dict[str, float] = {}
        self.waiting: dict[int, event.AsyncResult] = {}
        self.replies: collections.OrderedDict[int, limit_codec.PermitReply] = (
            collections.OrderedDict()
        )
        self.updating: gevent.Greenlet | None = None
        self.updated_s = float('-inf')
        self.greenlet: gevent.Greenlet | None = None

    # Life cycle.

    def start(self) -> None:
        """Start to send the known limits to other hosts."""
        self.greenlet = gevent.spawn(self._run)

    def stop(self, deadline_s: float) -> None:
        """Stop sending limits."""
        for greenlet in (self.greenlet, self.updating):
            if greenlet is not None:
                greenlet.kill()

    def _run(self) -> None:
        while True:
            self.clock.sleep(REPEAT_INTERVAL_S)
            self.pacers.set_hosts(
                self.members.count(), self.members.unheard_count()
            )
            self._send_limits()

    # Limits that responses name.

    def record_send(self, endpoint_id: str) -> None:
        """Count a request that is sent to an endpoint."""
        if self.named.rate_s(endpoint_id) is not None:
            self.sends[endpoint_id] += 1

    def record_response(
        self,
        endpoint_id: str,
        rate_s: float | None,
        sent_s: float,
        request_id: bytes,
    ) -> None:
        """Record the limit that a response names.

        :param rate_s: requests per second, None if it names no limit
        :param sent_s: when the request was sent, in monotonic seconds
        """
        statement = endpointlimits.Statement(
            rate_s, sent_s, self.clock.now_s()
        )
        source = request_id.decode('latin-1')
        if self._record(endpoint_id, statement, 'response', id=source):
            self._schedule_update()

    def record_malformed(
        self, endpoint_id: str, error: str, request_id: bytes
    ) -> None:
        """Log that a response names a limit that can't be decoded."""
        LOG.throttled_warning(
            'endpoint_limit_malformed',
            endpoint_id,
            id=request_id.decode('latin-1'),
            endpoint=endpoint_id,
            error=error,
        )

    def _record(
        self,
        endpoint_id: str,
        statement: endpointlimits.Statement,
        source: str,
        **fields: str,
    ) -> bool:
        before = self.named.rate_s(endpoint_id)
        if not self.named.record(endpoint_id, statement):
            return False
        if statement.rate_s is None:
            self.denials.pop(endpoint_id, None)
        LOG.event(
            'endpoint_limit',
            endpoint=endpoint_id,
            rate_s=_rate_text(statement.rate_s),
            before=_rate_text(before),
            source=source,
            age_ms=round((self.clock.now_s() - statement.sent_s) * 1000),
            **fields,
        )
        return True

    def remove_unlisted(self, listed: set[str]) -> None:
        """Forget the limits of endpoints that are no longer listed.

        They are kept for :data:`UNLISTED_S`.
        """
        now_s = self.clock.now_s()
        unlisted = [e for e in self.named.latest if e not in listed]
        self.unlisted_s = {
            each: self.unlisted_s.get(each, now_s) for each in unlisted
        }
        for endpoint_id in unlisted:
            if now_s - self.unlisted_s[endpoint_id] < UNLISTED_S:
                continue
            self.named.drop(endpoint_id)
            self.pacers.granted.drop(endpoint_id)
            self.pacers.alone.drop(endpoint_id)
            self.sends.pop(endpoint_id, None)
            self.denials.pop(endpoint_id, None)
            self.leader_limits.pop(endpoint_id, None)

    # Messages about limits.

    def handle_update(self, message: limit_codec.LimitUpdate) -> None:
        """Record the limits that another host sent."""
        now_s = self.clock.now_s()
        leading = self.placement_service.leading
        if message.leads and leading:
            return
        changed = False
        listed = self.placement_service.catalog.endpoints
        for each in message.limits:
            if each.endpoint not in listed:
                continue
            statement = endpointlimits.Statement(
                each.rate_s,
                now_s - each.sent_ago_s - MESSAGE_DELAY_S,
                now_s - each.received_ago_s,
            )
            source = 'leader' if message.leads else 'host'
            if self._record(each.endpoint, statement, source):
                changed = True
            if message.leads:
                self.leader_limits[each.endpoint] = _Told(each.rate_s, now_s)
        if changed and leading:
            self._schedule_update()

    def _schedule_update(self) -> None:
        """Send changed limits now, or once the last message is old enough."""
        if self.updating is not None and not self.updating.dead:
            return
        due_s = self.updated_s + MIN_UPDATE_INTERVAL_S
        self.updating = gevent.spawn(
            self._update_after, due_s - self.clock.now_s()
        )

    def _update_after(self, wait_s: float) -> None:
        if wait_s > 0:
            self.clock.sleep(wait_s)
        self._send_limits()

    def _send_limits(self) -> None:
        """Send the limits to all hosts as the leader, or news to the leader.

        A host that does not lead sends what the leader has not sent itself.
        """
        service = self.placement_service
        self.updated_s = now_s = self.clock.now_s()
        leader = None if service.leading else service.leader
        if (leader, service.term) != self.told_leader:
            # A new leader, or a later process of the same host, may know of
            # no limit yet.
            self.told_leader = leader, service.term
            self.leader_limits = {}
        limits = [
            limit_codec.NamedLimit(
                endpoint_id,
                statement.rate_s,
                now_s - statement.sent_s,
                now_s - statement.received_s,
            )
            for endpoint_id, statement in self.named.latest.items()
            if statement.rate_s is not None
            or now_s - statement.received_s < END_REPEAT_S
        ]
        if not service.leading:
            limits = [each for each in limits if not self._is_told(each)]
        for start in range(0, len(limits), MAX_LIMITS_PER_DATAGRAM):
            chunk = limits[start : start + MAX_LIMITS_PER_DATAGRAM]
            message = limit_codec.LimitUpdate(tuple(chunk), service.leading)
            if service.leading:
                self.broadcast(message)
            elif leader is not None:
                service.send(leader, message)

    def _is_told(self, limit: limit_codec.NamedLimit) -> bool:
        """Whether the leader has sent the same limit a short time ago.

        It may have forgotten a limit that it does not repeat, such as that of
        an endpoint whose entry was missing for a moment.
        """
        told = self.leader_limits.get(limit.endpoint)
        return (
            told is not None
            and told.rate_s == limit.rate_s
            and self.clock.now_s() - told.at_s <= TOLD_S
        )

    # Permits.

    def is_limited(self, endpoint_id: str) -> bool:
        """Whether an endpoint has a limit."""
        return self.named.rate_s(endpoint_id) is not None

    def is_denied(self, endpoint_id: str) -> bool:
        """Whether no permit for an endpoint is to be asked for now."""
        denial = self.denials.get(endpoint_id)
        return denial is not None and denial.ask_s > self.clock.now_s()

    def room_in_s(self, endpoint_id: str) -> float:
        """Return when there may be a permit, in seconds; 0 if unknown."""
        denial = self.denials.get(endpoint_id)
        if denial is None:
            return 0.0
        return max(0.0, denial.room_s - self.clock.now_s())

    def acquire(
        self, endpoint_ids: list[str], max_wait_s: float
    ) -> Granted | Denied:
        """Get a permit to send one request to one of some endpoints.

        :param endpoint_ids: ids of endpoints with a limit, the preferred one
            first
        :param max_wait_s: time for which the request can wait, in seconds
        """
        endpoint_ids = endpoint_ids[:MAX_PERMIT_ENDPOINTS]
        reply = None
        if not self.placement_service.leading:
            reply = self._ask_leader(endpoint_ids, max_wait_s)
        if reply is None:
            leading = self.placement_service.leading
            by = 'own' if leading else 'alone'
            pacers = self.pacers
            pacer = pacers.granted if leading else pacers.alone
            outcome = self._reserve(pacer, endpoint_ids, max_wait_s)
        else:
            by = 'leader'
            outcome = Denied(reply.wait_s)
            if reply.endpoint is not None:
                outcome = Granted(reply.endpoint, reply.wait_s)
        self.counts[f'{by}_{type(outcome).__name__.lower()}'] += 1
        if isinstance(outcome, Denied):
            now_s = self.clock.now_s()
            denial = _Denial(
                now_s + outcome.wait_s,
                now_s + min(outcome.wait_s, MAX_DENIAL_S),
            )
            for endpoint_id in endpoint_ids:
                self.denials[endpoint_id] = denial
        return outcome

    def _reserve(
        self,
        pacer: endpointlimits.Pacer,
        endpoint_ids: list[str],
        max_wait_s: float,
    ) -> Granted | Denied:
        now_s = self.clock.now_s()
        # Of endpoints with the same wait, min() returns the preferred one.
        first = min(endpoint_ids, key=lambda e: pacer.wait_s(e, now_s))
        wait_s = pacer.reserve(first, max_wait_s, now_s)
        if wait_s is not None:
            return Granted(first, wait_s)
        return Denied(pacer.wait_s(first, now_s))

    def _ask_leader(
        self, endpoint_ids: list[str], max_wait_s: float
    ) -> limit_codec.PermitReply | None:
        """Ask the leader for a permit.

        :returns: None if it does not answer, or knows of none of the limits
        """
        service = self.placement_service
        leader = service.answering_leader()
        if leader is None:
            return None
        request = limit_codec.PermitRequest(
            self.rng.getrandbits(62),
            tuple(endpoint_ids),
            max_wait_s,
            self.members.own.host,
        )
        reply = self.waiting[request.nonce] = event.AsyncResult()
        try:
            for _ in range(MAX_PERMIT_REQUESTS):
                service.send(leader, request)
                with gevent.Timeout(service.request_timeout_s, False):
                    return self._check_known(reply.get(), endpoint_ids)
        finally:
            del self.waiting[request.nonce]
        service.record_silence(leader)
        return None

    def _check_known(
        self, reply: limit_codec.PermitReply, endpoint_ids: list[str]
    ) -> limit_codec.PermitReply | None:
        """Return a reply of the leader; None if it knows of no limit.

        It is then told of the limits.
        """
        if reply.endpoint is not None or reply.wait_s > 0:
            return reply
        for endpoint_id in endpoint_ids:
            self.leader_limits.pop(endpoint_id, None)
        self._schedule_update()
        return None

    def handle_reply(self, message: limit_codec.PermitReply) -> None:
        """Pass the leader's reply to the request that waits for it."""
        waiting = self.waiting.get(message.nonce)
        if waiting is not None:
            self.placement_service.record_answer()
            waiting.set(message)

    def handle_request(
        self, message: limit_codec.PermitRequest
    ) -> limit_codec.PermitReply | None:
        """Grant or deny a permit as the leader; None if another host leads."""
        if not self.placement_service.leading or not message.endpoints:
            return None
        reply = self.replies.get(message.nonce)
        if reply is None:
            reply = self._grant(message)
            self.replies[message.nonce] = reply
            if len(self.replies) > MAX_CACHED_REPLIES:
                self.replies.popitem(last=False)
        return reply

    def _grant(
        self, message: limit_codec.PermitRequest
    ) -> limit_codec.PermitReply:
        known = [e for e in message.endpoints if e in self.named.latest]
        if not known:
            # Without a limit all permits would be granted.
            return limit_codec.PermitReply(message.nonce, None, 0.0)
        now_s = self.clock.now_s()
        self.asked_s[message.host] = now_s
        pacer = self.pacers.granted
        match self._reserve(pacer, known, message.max_wait_s):
            case Granted(endpoint, wait_s):
                return limit_codec.PermitReply(message.nonce, endpoint, wait_s)
            case Denied(wait_s):
                wait_s = self._denial_s(known, wait_s)
                return limit_codec.PermitReply(message.nonce, None, wait_s)

    def _denial_s(self, endpoints: list[str], wait_s: float) -> float:
        """Return after which time a host without a permit may ask again.

        Hosts that share a limit ask in turn.  If each asked at the next free
        slot, the messages would grow with the number of hosts.

        :param wait_s: time until the next free slot, in seconds
        """
        now_s = self.clock.now_s()
        for host, at_s in list(self.asked_s.items()):
            if now_s - at_s > DEMAND_WINDOW_S:
                del self.asked_s[host]
        rate_s = sum(self.pacers.granted.rate_s(e) for e in endpoints)
        turn_s = len(self.asked_s) / rate_s * self.rng.random()
        return wait_s + turn_s


def _rate_text(rate_s: float | None) -> str:
    return 'none' if rate_s is None else f'{rate_s:g}'
