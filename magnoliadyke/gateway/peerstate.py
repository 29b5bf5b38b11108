"""Transfer of the store's keys, as one host has read them, to another.

A host whose watch reports nothing, or that cannot reach the store, fetches
from another host which endpoints have left and which configuration is in
force.
"""

from typing import Callable
from typing import NamedTuple

import gevent
from gevent import pool
from gevent import server
from gevent import socket
from thrift.transport import TTransport

from magnoliadyke import app
from magnoliadyke.core import expiredentries
from magnoliadyke.core import position
from magnoliadyke.core import staleentries
from magnoliadyke import errors
from magnoliadyke.gateway import store
from magnoliadyke import logs
from magnoliadyke import peer
from magnoliadyke.wire.state import constants
from magnoliadyke.wire.state import State
from magnoliadyke.wire.state import ttypes

__all__ = ['PeerState', 'StateServer', 'fetch']

LOG = logs.get('peerstate')

#: Time limit of a fetch, in seconds: enough to transfer a configuration of one
#: megabyte over a link of 20 Mbit/s.
FETCH_TIMEOUT_S = 0.5
#: Maximum number of connections served at a time; further ones wait.
MAX_CONNECTIONS = 64
#: Longest wait for data on a connection, in seconds.  A connection carries one
#: call and is then closed.
CONNECTION_TIMEOUT_S = 2.0


#: Errors of a connection, and of a message on it that is malformed or lacks
#: a field.
UNREADABLE = (
    *peer.FAILURES,
    errors.ProtocolError,
    AttributeError,
    OverflowError,
    TypeError,
    ValueError,
)


class PeerState(NamedTuple):
    """All keys of the store that a host has read.

    :param items: keys with their values, of those written after the requested
        position
    :param positions: positions of all keys, including those without an item
    :param position: position up to which the host has read the store
    :param store_contact: the host's contact with the store, None if it has
        none at present
    :param regained_s: how long ago, in seconds, the store came back for this
        host or for the one that relays to it; None if the grace period after
        that outage is over
    :param stale_entries: stale entries of a restored store that it ignores
    """

    items: tuple[store.Item, ...]
    positions: dict[str, position.Position]
    position: position.Position
    store_contact: expiredentries.StoreContact | None
    regained_s: float | None
    stale_entries: tuple[staleentries.StaleEntry, ...] = ()


class StateServer(app.Component):
    """Serves the store keys that this host has read to other hosts.

    :param address: numeric ``ip:port`` to listen at
    :param get_state: returns the state, with the items written after a
        position
    """

    def __init__(
        self, address: str, get_state: Callable[[position.Position], PeerState]
    ) -> None:
        self.address = address
        self.get_state = get_state
        self.server: server.StreamServer | None = None

    def start(self) -> None:
        """Start to accept connections."""
        host, _, port = self.address.rpartition(':')
        self.server = server.StreamServer(
            (host, int(port)), self._serve, spawn=pool.Pool(MAX_CONNECTIONS)
        )
        self.server.start()

    def stop(self, deadline_s: float) -> None:
        """Stop accepting; wait briefly for the calls in flight."""
        if self.server is not None:
            self.server.stop(min(deadline_s, FETCH_TIMEOUT_S))

    def _serve(self, sock: socket.socket, address: tuple[str, int]) -> None:
        sock.settimeout(CONNECTION_TIMEOUT_S)
        protocol = peer.protocol_on(sock)
        try:
            State.Processor(_Handler(self.get_state)).process(
                protocol, protocol
            )
        except UNREADABLE as error:
            LOG.throttled_warning(
                'state_not_told', address[0], error=str(error)
            )
        finally:
            sock.close()


class _Handler(State.Iface):
    """Handles the thrift calls of one connection."""

    def __init__(
        self, get_state: Callable[[position.Position], PeerState]
    ) -> None:
        self.get_state = get_state

    def fetch(
        self, version: int, known_revision: int, known_era: int | None
    ) -> ttypes.StateReply:
        """Return all keys, with the values written after a position.

        :param version: version of the caller's protocol; not checked
        :param known_revision: store revision up to which the caller has the
            values
        :param known_era: era of that revision, None if the caller sent none
        :raises TTransportException: the request has no era
        """
        if known_era is None:
            raise TTransport.TTransportException(
                message='state request has no era'
            )
        known = position.Position(known_era, known_revision)
        state = self.get_state(known)
        values = {item.key: item.value for item in state.items}
        entries = [
            ttypes.Entry(key, written.revision, values.get(key))
            for key, written in state.positions.items()
        ]
        return ttypes.StateReply(
            constants.VERSION,
            state.position.revision,
            entries,
            _milliseconds(state.store_contact and state.store_contact.for_s),
            _milliseconds(state.regained_s),
            _milliseconds(state.store_contact and state.store_contact.age_s),
            state.position.era,
            [
                ttypes.PassedOver(
                    each.name,
                    each.written.revision,
                    each.gone,
                    _milliseconds(each.for_s),
                )
                for each in state.stale_entries
            ]
            or None,
        )


def fetch(address: str, known: position.Position) -> PeerState | None:
    """Fetch the store keys that another host has read.

    :param address: numeric ``ip:port``
    :param known: position up to which values need not be sent
    :returns: None if the host does not answer in time or the reply is
        malformed
    """
    sock = None
    try:
        with gevent.Timeout(
            FETCH_TIMEOUT_S, TimeoutError('state not fetched in time')
        ):
            sock = peer.connect(address)
            client = State.Client(peer.protocol_on(sock))
            reply = client.fetch(constants.VERSION, known.revision, known.era)
            return _decode(reply)
    except UNREADABLE as error:
        LOG.throttled_warning(
            'state_not_fetched',
            address,
            error=f'{type(error).__name__}: {error}',
        )
        return None
    finally:
        if sock is not None:
            sock.close()


def _decode(reply: ttypes.StateReply) -> PeerState:
    if reply.era is None:
        raise errors.ProtocolError('state reply has no era')
    if reply.revision is None or reply.entries is None:
        raise errors.ProtocolError('state reply has no revision or entries')
    for entry in reply.entries:
        if entry.key is None or entry.revision is None:
            raise errors.ProtocolError(
                f'state reply, key {entry.key!r:.80}: expected a key and a '
                f'revision, got revision {entry.revision}'
            )
    store_contact = None
    if reply.in_reach_ms is not None and reply.word_age_ms is not None:
        store_contact = expiredentries.StoreContact(
            reply.in_reach_ms / 1000, reply.word_age_ms / 1000
        )
    for each in reply.passed_over or ():
        if each.name is None or each.revision is None:
            raise errors.ProtocolError(
                'state reply: stale entry without a name or a revision'
            )
    return PeerState(
        tuple(
            store.Item(
                entry.key,
                entry.value,
                position.Position(reply.era, entry.revision),
            )
            for entry in reply.entries
            if entry.value is not None
        ),
        {
            entry.key: position.Position(reply.era, entry.revision)
            for entry in reply.entries
        },
        position.Position(reply.era, reply.revision),
        store_contact,
        _seconds(reply.regained_ms),
        tuple(
            staleentries.StaleEntry(
                each.name,
                position.Position(reply.era, each.revision),
                each.gone,
                _seconds(each.for_ms),
            )
            for each in reply.passed_over or ()
        ),
    )


def _milliseconds(seconds: float | None) -> int | None:
    return None if seconds is None else round(seconds * 1000)


def _seconds(milliseconds: int | None) -> float | None:
    return None if milliseconds is None else milliseconds / 1000
