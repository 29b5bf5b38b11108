"""The listener that callers talk to."""

__all__ = ['Callers', 'NodeStatus']


class NodeStatus:
    """What gossip tells other nodes about this one; plain attributes.

    :ivar fresh: whether the table is confirmed fresh enough to take new
        work (written by the configuration task, read by the callers)
    :ivar takes_work: whether new requests are accepted here (written by the
        callers; advertised to the others)
    :ivar spare: share of capacity left, 0 to 1 (written by the callers)
    :ivar leaving: whether a planned stop has begun
    :ivar successor: ``HOST`` that got this node's records, or ``''``
    """

    def __init__(self):
        self.fresh = False
        self.takes_work = False
        self.spare = 1.0
        self.leaving = False
        self.successor = ''


class Callers:
    """Serve the caller routes; own the request records of this node.

    ``stop`` refuses new work at once (other hosts are named), lets running
    requests end until the deadline, hands the records to a successor and
    only then closes the listener.

    :param settings: :class:`magnoliadyke.settings.Settings`
    :param host: this node's host name
    :param incarnation: this node's incarnation number
    :param clock: a :class:`magnoliadyke.clock.Clock`
    :param rng: source of randomness (``random.SystemRandom`` outside tests)
    :param table: Topic of :class:`magnoliadyke.core.table.View`
    :param members: Topic of :class:`magnoliadyke.core.membership.MembersView`
    :param dispatcher: :class:`magnoliadyke.dispatch.Dispatcher`
    :param store: :class:`magnoliadyke.keyvalue.KeyValue`, for claims of keys
        that callers made themselves
    :param peers: :class:`magnoliadyke.peer.PeerClient`; its
        ``handover(address, records)`` delivers records (bytes) to a
        successor, which passes them to :meth:`import_records`
    :param status: :class:`NodeStatus` shared with gossip
    """

    def __init__(
        self,
        settings,
        host,
        incarnation,
        clock,
        rng,
        table,
        members,
        dispatcher,
        store,
        peers,
        status,
    ):
        self.settings = settings
        self.host = host
        self.incarnation = incarnation
        self.clock = clock
        self.rng = rng
        self.table = table
        self.members = members
        self.dispatcher = dispatcher
        self.store = store
        self.peers = peers
        self.status = status

    def start(self):
        """Open the listener."""

    def stop(self, deadline_s=30.0):
        """Stop without cutting a running request.

        :param deadline_s: longest wait for running requests, in seconds
        """

    def import_records(self, payload):
        """Take over the records of a host that is leaving.

        :param payload: bytes as its ``handover`` sent them
        :return: number of records taken
        """
