"""Calls between nodes: framed compact thrift over TCP."""

from magnoliadyke import app

__all__ = ['PeerClients', 'PeerServer']


class PeerServer(app.Component):
    """Answers the calls of other nodes on this host's peer port.

    :param settings: the deployment's settings
    :param host: name of this host
    :param incarnation: number of this process
    :param clock: a :class:`magnoliadyke.clock.Clock`

    The node sets what answers: ``fetch_table(known_revision)`` returns
    (revision, text or None); ``take_records(host, incarnation, records,
    last)`` returns the number taken, None to refuse;
    ``exchange_digest(host, data)`` returns this node's digest.
    """

    def __init__(self, settings, host, incarnation, clock):
        self.settings = settings
        self.host = host
        self.incarnation = incarnation
        self.clock = clock
        self.fetch_table = None
        self.take_records = None
        self.exchange_digest = None

    def start(self):
        """Listen."""

    def stop(self, deadline_s):
        """Stop listening and end the connections."""


class PeerClients:
    """Connections to other nodes, made when needed.

    :param settings: the deployment's settings
    :param host: name of this host
    :param clock: a :class:`magnoliadyke.clock.Clock`
    """

    def __init__(self, settings, host, clock):
        self.settings = settings
        self.host = host
        self.clock = clock

    def fetch_table(self, address, known_revision):
        """:return: (revision, text), or None if the peer has none newer

        :raises magnoliadyke.errors.HostUnreachable: when it doesn't answer
        """

    def handover(self, address, incarnation, records, last):
        """:return: number of records taken, None if refused

        :raises magnoliadyke.errors.HostUnreachable: when it doesn't answer
        """

    def close(self):
        """Drop all connections."""
