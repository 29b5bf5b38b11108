"""Membership of hosts: discovery by the store, liveness by gossip."""

import functools
import hashlib
import json
import random
from typing import Any
from typing import Callable
from typing import NamedTuple

import gevent
from gevent import socket

from magnoliadyke import app
from magnoliadyke import clock as clocks
from magnoliadyke.core import hostselection
from magnoliadyke.core import membership
from magnoliadyke.core import position
from magnoliadyke import errors
from magnoliadyke.gateway import fields
from magnoliadyke.gateway import follower
from magnoliadyke.gateway import keymirror
from magnoliadyke.gateway import placement_codec
from magnoliadyke.gateway import placementservice
from magnoliadyke.gateway import store
from magnoliadyke import gossip_codec
from magnoliadyke import logs
from magnoliadyke.wire import constants

__all__ = ['HOST_PREFIX', 'HostListener', 'HostRecord', 'Members']

LOG = logs.get('members')

#: Prefix of the hosts' keys in the store.
HOST_PREFIX = 'magnoliadyke/hosts/'
#: Name in each datagram.  Datagrams under another name are ignored: those of
#: other programs, and of hosts whose positions do not carry an era.
DEPLOYMENT = 'gateway/eras'
TICK_S = 0.1
#: Time to live of a host's key, in seconds.  Gossip detects a dead host
#: sooner; the key only lists hosts for those that have just started, so few
#: renewals are enough.
LEASE_S = 10.0
RENEW_S = 4.0
#: Number of hosts in each failure domain that watch the store for the others.
#: One of them may crash, or lose the store, between two changes.
WATCHERS = 2
#: Up to this number of hosts every host watches the store: the calls are few,
#: and no host waits for relayed changes.
MAX_ALL_WATCH_HOSTS = 16
#: Longest time for which the changes of one relay may occupy this host's link,
#: in seconds: half of the pause between two watches.  The next watch, proofs
#: that the configuration is current, and requests queue behind them.
RELAY_LINK_S = 0.2
#: Share of the time to live for which this host counts itself as listed,
#: from before the renewal was sent; the rest is for the drift of clocks.
LISTED_TTL_SHARE = 0.8
#: Pause after a failed call to the store, in seconds, with as much random
#: jitter on top.
RETRY_S = 0.8
#: After a restore of the store all hosts renew or rewrite their keys, each
#: after a random delay up to this, in seconds.
RESTORED_SPREAD_S = 1.0
#: Time for which a host that gossip declared dead still counts as one that
#: may run behind a cut, in seconds.
UNHEARD_HOLD_S = 10.0
#: Longest time from the last sign of a host until gossip suspects it, and time
#: for which one that is not heard may begin streams behind a cut, in seconds.
SUSPICION_DELAY_S = 2.0
ABSENCE_HOLD_S = 60.0
#: Minimum time between two log lines on the hosts selected for callers, in
#: seconds.
SELECTION_LOG_INTERVAL_S = 5.0
#: Maximum capacity of a host that is believed, in prompts per second.
MAX_CAPACITY_S = 1e9
MAX_DATAGRAM_BYTES = 65535


class HostRecord(NamedTuple):
    """A host's entry in the store.

    :param host: name of the host
    :param incarnation: number of the process, higher after each restart
    :param address: IP address for gossip and for other hosts' calls
    :param callers: ``ip:port`` at which the host serves callers
    :param gossip_port: UDP port for gossip
    :param capacity: prompts per second that the host can place as the leader
    :param prompts_s: prompts per second that the host can serve; 0 if unknown
    :param relay_token: secret that a request which another host passes on has
        to name; empty if the host takes none
    """

    host: str
    incarnation: int
    address: str
    callers: str
    gossip_port: int
    failure_domain: str
    capacity: float
    relay_token: str = ''
    prompts_s: float = 0.0

    def dump(self) -> bytes:
        """Encode the record as JSON, as stored."""
        return json.dumps(self._asdict(), separators=(',', ':')).encode()

    @classmethod
    def parse(cls, value: bytes) -> 'HostRecord':
        """Decode a stored record.

        :raises fields.BadField: not a JSON object, or a field is missing or
            has a wrong type or value
        """
        found = fields.parse_object(value)
        host = fields.read_string(found, 'host')
        if not host:
            raise fields.BadField("host: expected a name, got ''")
        return cls(
            host=host,
            incarnation=fields.read_integer(found, 'incarnation', 0),
            address=fields.read_ip(found, 'address'),
            callers=fields.read_address(found, 'callers'),
            gossip_port=fields.read_port(found, 'gossip_port'),
            failure_domain=fields.read_string(found, 'failure_domain'),
            capacity=fields.read_number(
                found, 'capacity', 0.0, maximum=MAX_CAPACITY_S
            ),
            relay_token=fields.read_string(found, 'relay_token', ''),
            prompts_s=fields.read_number(
                found, 'prompts_s', 0.0, 0.0, MAX_CAPACITY_S
            ),
        )

    @property
    def key(self) -> str:
        """Key of the host in the store."""
        return HOST_PREFIX + self.host


class Members(app.Component, follower.Others):
    """The hosts of the system and the state of each.

    :param own: record of this host
    :param kv_store: client of the store
    :param link_mbps: bandwidth of this host's link, in Mbit/s
    :ivar on_peer_position: called with another host's name and the position
        up to which it has read the store
    :ivar demand: returns the rate of the requests of all hosts
    :ivar accepts_requests: returns whether callers may be told this host
    :ivar send_updates: sends an update of the store's keys to an address
    :ivar records: every host listed by the store since this one started
    :ivar listed: names of the hosts that the store lists now
    :ivar lease: lease of this host's key, None until the key is written
    :ivar listed_until_s: until when the store lists this host for certain, in
        seconds of the boot clock
    :ivar states: state of each host as last logged
    :ivar dead_s: when gossip declared a host dead, by host
    :ivar unheard_from_s: from when on a host that has not left was not heard
    :ivar logged_selection: number of hosts and basis of the selection for
        callers as last logged, None before the first line
    :ivar selection_logged_s: when that line was logged, in seconds
    """

    def __init__(
        self,
        own: HostRecord,
        kv_store: store.Store,
        clock: clocks.Clock,
        rng: random.Random,
        link_mbps: float,
    ) -> None:
        self.own = own
        self.store = kv_store
        self.link_bytes_s = link_mbps * 1e6 / 8
        self.clock = clock
        self.rng = rng
        self.records: dict[str, HostRecord] = {own.host: own}
        self.listed: set[str] = set()
        self.lease: int | None = None
        self.listed_until_s = float('-inf')
        self.leaving = False
        self.sent_bytes = 0
        self.socket: socket.socket | None = None
        self.greenlets: list[gevent.Greenlet] = []
        self.registering: gevent.Greenlet | None = None
        self.membership = membership.Membership(
            _member(own),
            membership.MembershipSettings(),
            rng,
            (),
            clock.now_s(),
        )
        self.states: dict[str, str] = {}
        self.dead_s: dict[str, float] = {}
        self.unheard_from_s: dict[str, float] = {}
        self.on_peer_position: (
            Callable[[str, position.Position], None] | None
        ) = None
        self.demand: Callable[[], placementservice.Demand | None] = lambda: (
            None
        )
        self.accepts_requests: Callable[[], bool] = lambda: True
        self.logged_selection: tuple[int, hostselection.Basis] | None = None
        self.selection_logged_s = float('-inf')
        self.send_updates: (
            Callable[[str, placement_codec.KeyUpdates], None] | None
        ) = None

    # Life cycle.

    def start(self) -> None:
        """Open the gossip socket, probe other hosts, write the own key."""
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind((self.own.address, self.own.gossip_port))
        self.greenlets = [
            gevent.spawn(self._receive_all),
            gevent.spawn(self._tick_all),
        ]
        self.registering = gevent.spawn(self._register, 0.0)

    def leave(self) -> None:
        """Announce by gossip that this host leaves, and remove its key."""
        self.leaving = True
        self._act(self.membership.leave('', self.clock.now_s()))
        gevent.spawn(self._deregister)

    def stop(self, deadline_s: float) -> None:
        """Stop gossip and key renewal, and close the socket."""
        gevent.killall(self.greenlets)
        if self.registering is not None:
            self.registering.kill()
        if self.socket is not None:
            self.socket.close()

    # Queries.

    def addresses(self) -> list[str]:
        """Return the ``ip:port`` addresses that callers are to be told."""
        hosts = self._caller_hosts()
        demand = self.demand()
        selection = hostselection.select(
            hosts, None if demand is None else demand.requests_s
        )
        self._log_selection(len(hosts), demand, selection)
        return [host.address for host in selection.hosts]

    def _caller_hosts(self) -> list[hostselection.Host]:
        """Return the hosts alive that serve callers.

        A host whose record is unknown counts with the lowest known capacity.
        """
        found = [
            member
            for member in self.membership.view().alive()
            if member.caller_port
            and (member.host != self.own.host or self.accepts_requests())
        ]
        known = {
            member.host: self.records[member.host].prompts_s
            for member in found
            if member.host in self.records
            and self.records[member.host].prompts_s
        }
        lowest = min(known.values(), default=self.own.prompts_s)
        return [
            hostselection.Host(
                f'{member.address}:{member.caller_port}',
                member.failure_domain,
                known.get(member.host, lowest),
            )
            for member in found
        ]

    def _log_selection(
        self,
        alive: int,
        demand: placementservice.Demand | None,
        selection: hostselection.Selection,
    ) -> None:
        state = (len(selection.hosts), selection.basis)
        now_s = self.clock.now_s()
        if (
            state == self.logged_selection
            or now_s - self.selection_logged_s < SELECTION_LOG_INTERVAL_S
        ):
            return
        self.logged_selection, self.selection_logged_s = state, now_s
        fields: dict[str, Any] = {'demand_s': 'unknown'}
        if demand is not None:
            fields = {
                'demand_s': round(demand.requests_s, 1),
                'demand_age_s': round(now_s - demand.measured_s, 1),
            }
        LOG.event(
            'hosts_listed',
            alive=alive,
            listed=len(selection.hosts),
            basis=selection.basis.value,
            capacity_s=round(selection.capacity),
            **fields,
        )

    def peer_addresses(self, first: str) -> list[str]:
        """Return the other hosts' addresses; see :class:`follower.Others`."""
        others = [
            member
            for member in self.membership.view().alive()
            if member.host != self.own.host
        ]
        self.rng.shuffle(others)
        others.sort(key=lambda member: member.host != first)
        return [f'{each.address}:{each.peer_port}' for each in others]

    def reachable_addresses(self) -> list[str]:
        """Return the addresses of all other hosts that may run.

        Includes hosts that the store lists and of which gossip has no state
        yet: a host that has just started has the state of few others, but
        its messages concern all.
        """
        members = self.membership.view().members
        found = [m.address for m in members.values() if _may_run(m)]
        found += [
            self.records[host].address
            for host in self.listed
            if host not in members
        ]
        return [each for each in found if each != self.own.address]

    def peers_by_domain(self) -> tuple[list[str], list[str]]:
        """Return the addresses of the other hosts that gossip lists as alive.

        :returns: those in this failure domain, and all others
        """
        near, far = [], []
        for member in self.membership.view().alive():
            if member.host == self.own.host:
                continue
            is_near = member.failure_domain == self.own.failure_domain
            (near if is_near else far).append(member.address)
        return near, far

    def is_near(self, address: str) -> bool:
        """Return whether a host is in the failure domain of this one."""
        return address in self.peers_by_domain()[0]

    def relay_token(self, address: str) -> str:
        """Return the secret for requests passed on to a host, '' if none."""
        for record in self.records.values():
            if record.address == address:
                return record.relay_token
        return ''

    def is_watcher(self) -> bool:
        """Return whether this host watches the store for its domain."""
        domain = self._domain()
        return not domain or self.own in domain[:WATCHERS]

    def watcher_addresses(self) -> list[str]:
        """Return the addresses of this failure domain's other watching hosts.

        Empty in a small fleet, where every host watches the store.
        """
        watching = self._domain()[:WATCHERS]
        return [each.address for each in watching if each != self.own]

    def max_relay_bytes(self) -> float:
        """Return how many bytes one :meth:`relay` may send to each host."""
        receivers = max(1, len(self._non_watchers()))
        return self.link_bytes_s * RELAY_LINK_S / receivers

    def relay(self, updates: list[placement_codec.KeyUpdates]) -> None:
        """Send updates to the hosts of this domain that do not watch."""
        for record in self._non_watchers():
            for message in updates:
                self.send_updates(record.address, message)

    def _non_watchers(self) -> list[HostRecord]:
        return [r for r in self._domain()[WATCHERS:] if r != self.own]

    def _domain(self) -> list[HostRecord]:
        """Return the hosts of this failure domain, first the store watchers.

        Empty in a small fleet.  While hosts disagree on the order, more hosts
        than necessary watch, or a host gets no updates and starts to watch.
        """
        members = self.membership.view().members
        running = [self.own]
        for host in self.listed:
            member = members.get(host)
            if host != self.own.host and (member is None or _may_run(member)):
                running.append(self.records[host])
        if len(running) <= MAX_ALL_WATCH_HOSTS:
            return []
        domain = self.own.failure_domain
        return sorted(
            (each for each in running if each.failure_domain == domain),
            key=lambda record: _digest(record.host),
        )

    def broadcast_position(self, upto: position.Position) -> None:
        """Send the position up to which this host has read the store.

        It is added to the gossip datagrams, at no message of its own.
        """
        self.membership.set_table(upto.packed, 0)

    def count(self) -> int:
        """Return the number of hosts that gossip lists as alive."""
        return max(1, len(self.membership.view().alive()))

    def listed_count(self) -> int:
        """Return the number of hosts that the store lists, with this one."""
        return len(self.listed | {self.own.host})

    def is_listed(self) -> bool:
        """Return whether the store lists this host for certain."""
        return (
            not self.leaving
            and self.lease is not None
            and self.clock.boot_s() < self.listed_until_s
        )

    def unheard_count(self) -> int:
        """Return the number of hosts that may run but are not heard of.

        Those are the suspects of gossip, and the hosts that it declared dead
        within the last :data:`UNHEARD_HOLD_S`.
        """
        since_s = self.clock.now_s() - UNHEARD_HOLD_S
        return sum(
            1
            for host, member in self.membership.view().members.items()
            if member.state == membership.SUSPECT
            or (
                member.state == membership.DEAD
                and self.dead_s.get(host, since_s) > since_s
            )
        )

    def unheard_s(self, now_s: float) -> dict[str, float]:
        """Return from when on hosts that may run were not heard, by host."""
        return {
            host: from_s
            for host, from_s in self.unheard_from_s.items()
            if now_s - from_s < ABSENCE_HOLD_S
        }

    # Changes of the hosts' keys in the store.

    def add_listed_host(self, item: store.Item) -> None:
        """Add a host whose key was read; a malformed record is ignored."""
        try:
            record = HostRecord.parse(item.value)
            if record.key != item.key:
                raise fields.BadField(
                    f'host: expected the name in the key, got {record.host!r}'
                )
        except fields.BadField as error:
            LOG.throttled_warning(
                'host_record_ignored',
                item.key,
                key=item.key,
                error=str(error),
                position=item.position,
            )
            return
        self.records[record.host] = record
        self.listed.add(record.host)
        self.membership.add_seed(_member(record))

    def remove_listed_host(self, host: str) -> None:
        """Remove a host from those that the store lists.

        Gossip decides whether it runs: after an outage the store may remove
        the keys of hosts that do.
        """
        self.listed.discard(host)
        if host == self.own.host and not self.leaving:
            # This host runs: have _register write its key again.
            self.lease = None

    def restored(self, items: list[store.Item]) -> None:
        """Handle a restore of the store from a backup.

        Gossip keeps its state.  The own lease is still valid only if the
        backup holds the own key as this process wrote it.

        :param items: keys of the hosts that the backup lists
        """
        self.listed.clear()
        for item in items:
            self.add_listed_host(item)
        if self.leaving or self.registering is None:
            return
        if self.own.dump() not in [item.value for item in items]:
            self.lease = None
        self.registering.kill(block=False)
        self.registering = gevent.spawn(
            self._register, RESTORED_SPREAD_S * self.rng.random()
        )

    # Writing and renewing this host's key in the store.

    def _register(self, after_s: float) -> None:
        self.clock.sleep(after_s)
        while not self.leaving:
            if self.lease is None:
                done = self._write_key()
            else:
                done = self._renew()
            if done:
                self.clock.sleep(RENEW_S * (0.9 + 0.2 * self.rng.random()))
            else:
                self.clock.sleep(RETRY_S * (1 + self.rng.random()))

    def _write_key(self) -> bool:
        asked_s = self.clock.boot_s()
        granted = self.store.grant(LEASE_S)
        if not isinstance(granted, store.Granted):
            return False
        put = store.Put(self.own.key, self.own.dump(), granted.lease)
        match self.store.commit({}, (put,)):
            case store.Written():
                self.lease = granted.lease
                self._record_lease(asked_s, granted.ttl_s)
                LOG.event('host_registered', lease=granted.lease)
                return True
        return False

    def _record_lease(self, asked_s: float, ttl_s: float) -> None:
        self.listed_until_s = asked_s + ttl_s * LISTED_TTL_SHARE

    def _renew(self) -> bool:
        asked_s = self.clock.boot_s()
        match self.store.renew(self.lease):
            case store.Granted(_, ttl_s):
                self._record_lease(asked_s, ttl_s)
                return True
            case store.NoLease():
                LOG.warning_event('host_key_lapsed', lease=self.lease)
                self.lease = None
        return False

    def _deregister(self) -> None:
        if self.lease is not None:
            self.store.revoke(self.lease)

    # Gossip.

    def _receive_all(self) -> None:
        while True:
            data, _ = self.socket.recvfrom(MAX_DATAGRAM_BYTES)
            try:
                message = gossip_codec.decode(DEPLOYMENT, data)
                if not isinstance(message, membership.Message):
                    raise errors.ProtocolError(
                        'expected a message of the membership protocol, got '
                        f'{type(message).__name__}'
                    )
                _check_addresses(message)
            except errors.ProtocolError as error:
                LOG.throttled_warning(
                    'datagram_ignored', 'gossip', reason=str(error)
                )
                continue
            self._act(self.membership.receive(message, self.clock.now_s()))
            self._log_changes()
            if self.on_peer_position is not None:
                for seen in message.host_states:
                    self.on_peer_position(
                        seen.host,
                        position.Position.unpack(seen.table_revision),
                    )

    def _tick_all(self) -> None:
        while True:
            self.clock.sleep(TICK_S)
            self._act(self.membership.tick(self.clock.now_s()))
            self._log_changes()

    def _act(self, actions: list[Any]) -> None:
        for action in actions:
            match action:
                case membership.SendDatagram(address, message):
                    self._send(address, message)
                case membership.Paused(for_s):
                    LOG.warning_event('paused', for_s=for_s)

    def _send(
        self, address: tuple[str, int], message: membership.Message
    ) -> None:
        data = gossip_codec.encode(DEPLOYMENT, message)
        while len(data) > constants.MAX_DATAGRAM_BYTES and message.updates:
            message = message._replace(updates=message.updates[:-1])
            data = gossip_codec.encode(DEPLOYMENT, message)
        try:
            self.socket.sendto(data, address)
        except OSError as error:
            LOG.throttled_warning('send_failed', address[0], error=str(error))
            return
        self.sent_bytes += len(data)

    def _log_changes(self) -> None:
        members = self.membership.view().members
        for host, member in members.items():
            if self.states.get(host) != member.state:
                LOG.event(
                    'member',
                    host_name=host,
                    state=member.state,
                    before=self.states.get(host, 'unknown'),
                    incarnation=member.incarnation,
                )
                self.states[host] = member.state
                if member.state in (membership.SUSPECT, membership.DEAD):
                    self.unheard_from_s.setdefault(
                        host, self.clock.now_s() - SUSPICION_DELAY_S
                    )
                else:
                    self.unheard_from_s.pop(host, None)
                if member.state == membership.DEAD:
                    self.dead_s[host] = self.clock.now_s()
                else:
                    self.dead_s.pop(host, None)


class HostListener(keymirror.Listener):
    """Passes changes of the hosts' keys to the membership."""

    def __init__(self, host_members: Members) -> None:
        self.members = host_members

    def changed(self, item: store.Item) -> None:
        """Add the host whose key was written."""
        self.members.add_listed_host(item)

    def removed(self, key: str) -> None:
        """Remove the host whose key was removed."""
        self.members.remove_listed_host(key.removeprefix(HOST_PREFIX))

    def restored(
        self, items: dict[str, store.Item], at: position.Position
    ) -> None:
        """Replace the listed hosts by those of a restored store."""
        self.members.restored(list(items.values()))


def _check_addresses(message: membership.Message) -> None:
    """Check the addresses to which this host may send after a message.

    :raises errors.ProtocolError: one is no IP address
    """
    addresses = [message.source.address]
    addresses += [each.address for each in message.updates]
    if isinstance(message, membership.PingRequest):
        addresses.append(message.target_address)
    for each in addresses:
        if not fields.is_ip(each):
            raise errors.ProtocolError(
                f'datagram of host {message.source.host!r}: expected an IP '
                f'address, got {each!r:.80}'
            )


@functools.cache
def _digest(host: str) -> bytes:
    return hashlib.blake2b(host.encode(), digest_size=8).digest()


def _may_run(member: membership.Member) -> bool:
    return member.state in (membership.ALIVE, membership.SUSPECT)


def _member(record: HostRecord) -> membership.Member:
    return membership.Member(
        host=record.host,
        incarnation=record.incarnation,
        address=record.address,
        caller_port=int(record.callers.rpartition(':')[2]),
        peer_port=record.gossip_port,
        failure_domain=record.failure_domain,
    )
