"""Calls between nodes, in framed compact thrift over TCP."""

import errno

import gevent
from gevent import pool
from gevent import server
from gevent import socket
from thrift.protocol import TCompactProtocol
from thrift.protocol import TProtocol
from thrift import Thrift
from thrift.transport import TSocket
from thrift.transport import TTransport

from magnoliadyke import app
from magnoliadyke import errors
from magnoliadyke import logs
from magnoliadyke.wire import constants
from magnoliadyke.wire import Peer
from magnoliadyke.wire import ttypes

__all__ = ['PeerClients', 'PeerServer']

#: Largest message that either side accepts; a table is below 1 MB.
MAX_FRAME_BYTES = 4_000_000
MAX_CONNECTIONS = 1024
#: The server closes connections that were idle for this time.
SERVER_IDLE_TIMEOUT_S = 60.0
CONNECT_TIMEOUT_S = 0.5
CALL_TIMEOUT_S = 2.0
PROBE_TIMEOUT_S = 0.3
#: Shorter than other calls, since an operator waits for the status.
STATUS_TIMEOUT_S = 0.5
#: A connection that was idle for longer is probed before it is used.
PROBE_AFTER_IDLE_S = 2.0

#: Errors of a connection or of a call on it, as opposed to programming errors.
FAILURES = (OSError, EOFError, Thrift.TException, TProtocol.TProtocolException)

LOG = logs.get('peer')


def protocol_on(handle):
    """Return a framed compact protocol over a connected socket.

    :param handle: the socket
    """
    transport = TSocket.TSocket()
    transport.setHandle(handle)
    framed = TTransport.TFramedTransport(transport, MAX_FRAME_BYTES)
    return TCompactProtocol.TCompactProtocolAccelerated(
        framed,
        fallback=True,
        string_length_limit=MAX_FRAME_BYTES,
        container_length_limit=MAX_FRAME_BYTES,
    )


def connect(address):
    """Return a socket connected to ``ip:port``.

    :raises OSError: if the address is no ``ip:port``, or the connection fails
        or exceeds ``CONNECT_TIMEOUT_S``
    """
    ip, _, port = address.rpartition(':')
    handle = socket.socket()
    try:
        handle.settimeout(CONNECT_TIMEOUT_S)
        handle.connect((ip, int(port)))
    except OSError:
        handle.close()
        raise
    except (OverflowError, TypeError, ValueError) as error:
        handle.close()
        raise OSError(
            errno.EINVAL, f'expected ip:port, got {address!r:.80}: {error}'
        ) from error
    handle.settimeout(CALL_TIMEOUT_S)
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return handle


class PeerServer(app.Component):
    """Answers the calls of other nodes on this host's peer port.

    :param settings: the deployment's settings
    :param host: name of this host
    :param incarnation: number of this process
    :param clock: a :class:`magnoliadyke.clock.Clock`

    The node sets the functions that handle the calls:
    ``fetch_table(known_revision)`` returns (revision, text), with None as text
    if the table is not newer; ``receive_records(host, incarnation, records,
    last)`` returns the number of records accepted, or None to refuse them;
    ``pool_status(pool)`` returns JSON text, or None if another node plans the
    pool.
    """

    def __init__(self, settings, host, incarnation, clock):
        self.host = host
        self.incarnation = incarnation
        self.clock = clock
        self.fetch_table = None
        self.receive_records = None
        self.pool_status = None
        own = next(each for each in settings.hosts if each.name == host)
        self.listener = server.StreamServer(
            (own.address, own.peer_port),
            self.serve,
            spawn=pool.Pool(MAX_CONNECTIONS),
        )

    def start(self):
        """Start to accept connections."""
        self.listener.start()

    def stop(self, deadline_s):
        """Stop accepting connections, and close the open ones."""
        self.listener.stop(min(deadline_s, CALL_TIMEOUT_S))

    def serve(self, handle, address):
        """Answer calls on one connection until it is closed or idle."""
        handle.settimeout(SERVER_IDLE_TIMEOUT_S)
        protocol = protocol_on(handle)
        processor = Peer.Processor(PeerHandler(self))
        try:
            while True:
                processor.process(protocol, protocol)
        except FAILURES:
            pass
        finally:
            handle.close()


class PeerHandler(Peer.Iface):
    """Handles the calls of the thrift service with the server's functions.

    :param owner: the :class:`PeerServer`
    """

    def __init__(self, owner):
        self.owner = owner

    def probe(self, version):
        """Return this host and its incarnation, to prove that it is alive."""
        return ttypes.ProbeReply(
            constants.VERSION, self.owner.host, self.owner.incarnation
        )

    def fetch_table(self, version, known_revision):
        """Return the table if it is newer than the caller's revision."""
        if self.owner.fetch_table is None:
            return ttypes.TableReply(constants.VERSION, 0)
        revision, text = self.owner.fetch_table(known_revision)
        return ttypes.TableReply(constants.VERSION, revision, text)

    def handover(self, batch):
        """Accept request records from a node that leaves."""
        taken = None
        if self.owner.receive_records is not None:
            taken = self.owner.receive_records(
                batch.host, batch.incarnation, batch.records, batch.last
            )
        return ttypes.HandoverReply(
            constants.VERSION, taken or 0, taken is None
        )

    def pool_status(self, version, pool):
        """Return the status of a pool that this node plans."""
        status = None
        if self.owner.pool_status is not None:
            status = self.owner.pool_status(pool)
        return ttypes.PoolStatusReply(constants.VERSION, status)


class PeerConnection:
    """One connection to one node, used by one call at a time.

    :param address: ``ip:port``, numeric
    :param clock: a :class:`magnoliadyke.clock.Clock`
    :ivar last_used_s: monotonic time of the last completed call
    :raises OSError: if the connection fails
    """

    def __init__(self, address, clock):
        self.clock = clock
        self.handle = connect(address)
        self.client = Peer.Client(protocol_on(self.handle))
        self.last_used_s = clock.now_s()

    def call(self, name, *arguments, timeout_s=CALL_TIMEOUT_S):
        """Call the peer; the connection is closed if the call fails.

        :param name: method of the thrift service
        :param timeout_s: limit for the whole call, in seconds
        """
        try:
            with gevent.Timeout(timeout_s, TimeoutError('no answer in time')):
                reply = getattr(self.client, name)(*arguments)
        except (TypeError, ValueError) as error:
            # The library raises these for a reply that it can't decode.
            self.handle.close()
            raise TProtocol.TProtocolException(
                TProtocol.TProtocolException.INVALID_DATA,
                f'{name}: expected a reply, got invalid data: {error}',
            ) from error
        except BaseException:
            self.handle.close()
            raise
        self.last_used_s = self.clock.now_s()
        return reply

    def is_usable(self):
        """Whether the connection still reaches the peer.

        An idle connection may be half-open, and a call on it would take its
        whole timeout. A probe with a shorter timeout detects a half-open
        connection, so that the call can be made on a new connection.
        """
        if self.clock.now_s() - self.last_used_s < PROBE_AFTER_IDLE_S:
            return True
        try:
            self.call('probe', constants.VERSION, timeout_s=PROBE_TIMEOUT_S)
        except FAILURES:
            return False
        return True


class PeerClients:
    """Client for the calls to other nodes, with one idle connection to each.

    All calls are idempotent, so a call that fails on an idle connection is
    retried once on a new one.

    :param settings: the deployment's settings
    :param host: name of this host
    :param clock: a :class:`magnoliadyke.clock.Clock`
    """

    def __init__(self, settings, host, clock):
        self.host = host
        self.clock = clock
        self.idle = {}

    def fetch_table(self, address, known_revision):
        """:return: (revision, text), or None if the peer has no newer table

        :raises magnoliadyke.errors.HostUnreachable: if it does not answer
        """
        reply = self.call(
            address, 'fetch_table', constants.VERSION, known_revision
        )
        if reply.document is None:
            return None
        return reply.revision, reply.document

    def handover(self, address, incarnation, records, last):
        """:return: number of records accepted, None if they were refused

        :param incarnation: incarnation of this host, whose records they are
        :param last: whether this is the last batch
        :raises magnoliadyke.errors.HostUnreachable: if it does not answer
        """
        batch = ttypes.RecordBatch(
            constants.VERSION, self.host, incarnation, records, last
        )
        reply = self.call(address, 'handover', batch)
        return None if reply.refused else reply.accepted

    def pool_status(self, address, name):
        """:return: JSON text, None if the host does not plan that pool

        :raises magnoliadyke.errors.HostUnreachable: if it does not answer
        """
        return self.call(
            address,
            'pool_status',
            constants.VERSION,
            name,
            timeout_s=STATUS_TIMEOUT_S,
        ).status

    def call(self, address, name, *arguments, timeout_s=CALL_TIMEOUT_S):
        """Call on an idle connection that is still usable, or on a new one.

        :raises magnoliadyke.errors.HostUnreachable: if it does not answer
        """
        connection = self.idle.pop(address, None)
        if connection is not None and connection.is_usable():
            try:
                return self.call_on(
                    connection, address, name, arguments, timeout_s
                )
            except FAILURES as error:
                LOG.throttled_warning(
                    'peer_call_failed', address, call=name, error=str(error)
                )
        try:
            connection = PeerConnection(address, self.clock)
            return self.call_on(
                connection, address, name, arguments, timeout_s
            )
        except FAILURES as error:
            raise errors.HostUnreachable(
                f'{address} did not answer {name}: {error}',
                'check that the host is up and reachable',
            ) from error

    def call_on(self, connection, address, name, arguments, timeout_s):
        """Call on a connection, then keep it idle for the next call."""
        reply = connection.call(name, *arguments, timeout_s=timeout_s)
        idle_connection = self.idle.pop(address, None)
        if idle_connection is not None:
            idle_connection.handle.close()
        self.idle[address] = connection
        return reply

    def close(self):
        """Close the idle connections."""
        while self.idle:
            _, connection = self.idle.popitem()
            connection.handle.close()
