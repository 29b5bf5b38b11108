"""The other hosts: found through the store, checked by gossip."""

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
from magnoliadyke.core import membership
from magnoliadyke.core import position
from magnoliadyke import errors
from magnoliadyke.gateway import follower
from magnoliadyke.gateway import keymirror
from magnoliadyke.gateway import placing_codec
from magnoliadyke.gateway import store
from magnoliadyke import gossip_codec
from magnoliadyke import logs
from magnoliadyke.wire import constants

__all__ = ['HOST_PREFIX', 'HostListener', 'HostRecord', 'Members']

LOG = logs.get('members')

#: Keys of hosts in the store.
HOST_PREFIX = 'magnoliadyke/hosts/'
#: Name that keeps datagrams of other programs out, and of hosts that do not
#: tell the era of a position.
DEPLOYMENT = 'gateway/eras'
TICK_S = 0.1
#: Time to live of a host's key.  Gossip notices a dead host sooner; the key
#: is for hosts that have just come, so few renewals do.
LEASE_S = 10.0
RENEW_S = 4.0
#: Hosts of each failure domain that watch the store for the others: one may
#: die, or be cut off, between two changes.
WATCHERS = 2
#: Up to so many hosts all of them watch: few calls, and no word to wait for.
MAX_ALL_WATCH_HOSTS = 16
#: For how long changes that are told at once may fill this host's own link,
#: in seconds: half of the pause between two watches.  The next watch, proofs
#: and requests wait behind them.
RELAY_LINK_S = 0.2
#: Pause after a call to the store that failed, spread by as much again.
RETRY_S = 0.8
#: After a restore of the store all hosts renew their keys, or write them
#: again, spread over this time, in seconds.
RESTORED_SPREAD_S = 1.0
MAX_DATAGRAM_BYTES = 65535


class HostRecord(NamedTuple):
    """What a host writes of itself into the store.

    :param capacity: prompts a second that it can place for all hosts
    """

    host: str
    incarnation: int
    address: str
    callers: str
    gossip_port: int
    failure_domain: str
    capacity: float

    def dump(self) -> bytes:
        """Write the record as the store keeps it."""
        return json.dumps(self._asdict(), separators=(',', ':')).encode()

    @classmethod
    def parse(cls, value: bytes) -> 'HostRecord':
        """Read a record of the store.

        :raises ValueError, KeyError: it is none
        """
        fields: dict[str, Any] = json.loads(value)
        return cls(**{name: fields[name] for name in cls._fields})

    @property
    def key(self) -> str:
        """The host's key in the store."""
        return HOST_PREFIX + self.host


class Members(app.Component, follower.Others):
    """Who is there.

    :param own: this host
    :param kept: the store
    :param link_mbps: of this host's link
    :ivar position_heard: takes a host's name and the position of the store's
        keys that it has seen
    :ivar send_updates: sends word of the store to an address
    :ivar records: hosts that the store has named since this one started
    """

    def __init__(
        self,
        own: HostRecord,
        kept: store.Store,
        clock: clocks.Clock,
        rng: random.Random,
        link_mbps: float,
    ) -> None:
        self.own = own
        self.store = kept
        self.link_bytes_s = link_mbps * 1e6 / 8
        self.clock = clock
        self.rng = rng
        self.records: dict[str, HostRecord] = {own.host: own}
        self.listed: set[str] = set()
        self.lease: int | None = None
        self.leaving = False
        self.sent_bytes = 0
        self.socket: socket.socket | None = None
        self.greenlets: list[gevent.Greenlet] = []
        self.registering: gevent.Greenlet | None = None
        self.core = membership.Membership(
            _member(own),
            membership.MembershipSettings(),
            rng,
            (),
            clock.now_s(),
        )
        self.states: dict[str, str] = {}
        self.on_peer_position: (
            Callable[[str, position.Position], None] | None
        ) = None
        self.send_updates: (
            Callable[[str, placing_codec.KeyUpdates], None] | None
        ) = None

    # Life cycle.

    def start(self) -> None:
        """Listen, probe others, and write the own key."""
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind((self.own.address, self.own.gossip_port))
        self.greenlets = [
            gevent.spawn(self._receive_all),
            gevent.spawn(self._tick_all),
        ]
        self.registering = gevent.spawn(self._register, 0.0)

    def leave(self) -> None:
        """Tell the others and the store that this host takes no new work."""
        self.leaving = True
        self._act(self.core.leave('', self.clock.now_s()))
        gevent.spawn(self._deregister)

    def stop(self, deadline_s: float) -> None:
        """Answer nobody from now on."""
        gevent.killall(self.greenlets)
        if self.registering is not None:
            self.registering.kill()
        if self.socket is not None:
            self.socket.close()

    # What others ask.

    def addresses(self) -> list[str]:
        """Where callers can connect."""
        found = []
        for member in self.core.view().alive():
            if member.caller_port:
                found.append(f'{member.address}:{member.caller_port}')
        return found

    def peers(self, first: str) -> list[str]:
        """Addresses of the other hosts; see :class:`follower.Others`."""
        others = [
            member
            for member in self.core.view().alive()
            if member.host != self.own.host
        ]
        self.rng.shuffle(others)
        others.sort(key=lambda member: member.host != first)
        return [f'{each.address}:{each.peer_port}' for each in others]

    def listening(self) -> list[str]:
        """Addresses of all other hosts that may run.

        Those too that the store lists and gossip has not met: a host that
        has just started has met few, and what it tells concerns all.
        """
        members = self.core.view().members
        found = [m.address for m in members.values() if _may_run(m)]
        found += [
            self.records[host].address
            for host in self.listed
            if host not in members
        ]
        return [each for each in found if each != self.own.address]

    def watches(self) -> bool:
        """Whether this host watches the store for its failure domain."""
        domain = self._domain()
        return not domain or self.own in domain[:WATCHERS]

    def watchers(self) -> list[str]:
        """Addresses of the others that watch for this failure domain.

        Empty in a small fleet, where all hosts watch.
        """
        watching = self._domain()[:WATCHERS]
        return [each.address for each in watching if each != self.own]

    def room(self) -> float:
        """What this host's link carries to each; see :meth:`relay`."""
        told = max(1, len(self._non_watchers()))
        return self.link_bytes_s * RELAY_LINK_S / told

    def relay(self, told: list[placing_codec.KeyUpdates]) -> None:
        """Tell the hosts of this failure domain that do not watch."""
        for record in self._non_watchers():
            for message in told:
                self.send_updates(record.address, message)

    def _non_watchers(self) -> list[HostRecord]:
        return [r for r in self._domain()[WATCHERS:] if r != self.own]

    def _domain(self) -> list[HostRecord]:
        """Hosts of this failure domain, first those that watch.

        Empty in a small fleet.  Hosts that see this differently for a moment
        watch once too often, or hear nothing and watch by themselves.
        """
        members = self.core.view().members
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
        """Tell the others up to where this host has seen the store.

        It rides on the datagrams that are sent anyway.
        """
        self.core.set_table(upto.packed, 0)

    def count(self) -> int:
        """Hosts that are thought to run."""
        return max(1, len(self.core.view().alive()))

    # What the store says.

    def add_listed_host(self, value: bytes) -> None:
        """A host's key was read."""
        try:
            record = HostRecord.parse(value)
        except (ValueError, KeyError, TypeError) as error:
            LOG.repeated('host_record_ignored', 'record', error=str(error))
            return
        self.records[record.host] = record
        self.listed.add(record.host)
        self.core.add_seed(_member(record))

    def remove_listed_host(self, host: str) -> None:
        """A host's key is gone; gossip says whether the host is.

        A store that was away may drop the keys of hosts that live.
        """
        self.listed.discard(host)
        if host == self.own.host and not self.leaving:
            # The key was taken away from a live host: write it again.
            self.lease = None

    def restored(self, values: list[bytes]) -> None:
        """The store came back from an older copy, with these hosts.

        Gossip goes on by what it knows.  The own lease is that of the copy
        only if the copy has the own key as this process wrote it.

        :param values: as in :meth:`listed_host`
        """
        self.listed.clear()
        for value in values:
            self.add_listed_host(value)
        if self.leaving or self.registering is None:
            return
        if self.own.dump() not in values:
            self.lease = None
        self.registering.kill(block=False)
        self.registering = gevent.spawn(
            self._register, RESTORED_SPREAD_S * self.rng.random()
        )

    # Own key.

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
        granted = self.store.grant(LEASE_S)
        if not isinstance(granted, store.Granted):
            return False
        put = store.Put(self.own.key, self.own.dump(), granted.lease)
        match self.store.commit({}, (put,)):
            case store.Written():
                self.lease = granted.lease
                LOG.event('host_registered', lease=granted.lease)
                return True
        return False

    def _renew(self) -> bool:
        match self.store.renew(self.lease):
            case store.Granted():
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
            except errors.ProtocolError as error:
                LOG.repeated('datagram_ignored', 'gossip', reason=str(error))
                continue
            self._act(self.core.receive(message, self.clock.now_s()))
            self._log_changes()
            if self.on_peer_position is not None:
                for seen in message.sightings:
                    self.on_peer_position(
                        seen.host,
                        position.Position.unpack(seen.table_revision),
                    )

    def _tick_all(self) -> None:
        while True:
            self.clock.sleep(TICK_S)
            self._act(self.core.tick(self.clock.now_s()))
            self._log_changes()

    def _act(self, actions: list[Any]) -> None:
        for action in actions:
            match action:
                case membership.Send(address, message):
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
            LOG.repeated('send_failed', address[0], error=str(error))
            return
        self.sent_bytes += len(data)

    def _log_changes(self) -> None:
        members = self.core.view().members
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


class HostListener(keymirror.Listener):
    """Takes the keys of hosts to the members."""

    def __init__(self, joined: Members) -> None:
        self.members = joined

    def changed(self, item: store.Item) -> None:
        """A host's key was written."""
        self.members.add_listed_host(item.value)

    def removed(self, key: str) -> None:
        """A host's key is gone."""
        self.members.remove_listed_host(key.removeprefix(HOST_PREFIX))

    def restored(
        self, items: dict[str, store.Item], at: position.Position
    ) -> None:
        """The store came back from an older copy."""
        self.members.restored([item.value for item in items.values()])


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
