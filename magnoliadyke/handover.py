"""Transfer request records to a successor, and adopt those of others."""

import json
import typing

from gevent import event

from magnoliadyke.core import records
from magnoliadyke.core import tickets
from magnoliadyke import errors

__all__ = ['Adopted', 'Handover']

HOME_LINE = b'{"home"'
FIRST_TRANSFER_TIMEOUT_S = 5.0
BATCH_BYTES = 256 << 10
MAX_FINISH_ATTEMPTS = 3
#: Stands for an infinite age, which JSON can't express.
UNBOUNDED_AGE_S = 1e9


class Adopted(typing.NamedTuple):
    """A home whose records this node has taken over.

    :param issuer: checks the tickets of that home
    :param shift_s: this node's monotonic clock minus that of the home, in
        seconds
    :param floor_s: issue time, by this node's clock, up to which the home
        may have dropped the records of keys
    """

    issuer: tickets.TicketIssuer
    shift_s: float
    floor_s: float


class Handover:
    """Sends the records of a stopping node, and receives those of others.

    A stopping node transfers its records twice. The first transfer is made
    at once; requests that still run are marked as running elsewhere. From
    then on, requests with new keys from its tickets run at the successor. The
    second transfer is made when those requests have ended or the stop's
    deadline has passed, and has their outcomes.

    :param issuer: :class:`tickets.TicketIssuer` of this node
    :param incarnation: incarnation of this node
    :param table: :class:`records.RecordTable` of this node
    :param peers: :class:`magnoliadyke.peer.PeerClients`
    :param directory: :class:`magnoliadyke.homedirectory.HomeDirectory`
    :ivar adopted: :class:`Adopted` by home
    :ivar incoming_lines: lines of handovers that are incomplete, by host and
        incarnation
    :ivar first_transfer_ended: event that is set when the first transfer has
        succeeded or failed; None while this node runs new keys itself
    :ivar member: successor as a gossip member, or None
    :ivar successor: host name, ``''`` if no member took the records
    """

    def __init__(self, issuer, incarnation, table, peers, directory, clock):
        self.issuer = issuer
        self.incarnation = incarnation
        self.table = table
        self.peers = peers
        self.home_directory = directory
        self.clock = clock
        self.adopted = {}
        self.incoming_lines = {}
        self.first_transfer_ended = None
        self.member = None
        self.successor = ''

    # Receiving.

    def receive_batch(self, host, incarnation, lines, last):
        """Receive a batch of records of a host that is stopping.

        :param lines: JSON lines, each as bytes
        :param last: whether this batch completes the handover
        :return: number of lines received
        """
        incoming_lines = self.incoming_lines.setdefault(
            (host, incarnation), []
        )
        incoming_lines += lines
        if last:
            # No home is adopted before its records are complete: a key whose
            # record has not arrived yet would run a second time.
            del self.incoming_lines[host, incarnation]
            self.import_all(incoming_lines, self.clock.now_s())
        return len(lines)

    def import_all(self, lines, now_s):
        """Import the records of a complete handover, then adopt its homes."""
        for line in lines:
            if not line.startswith(HOME_LINE):
                self.table.import_line(line, now_s)
        for line in lines:
            if line.startswith(HOME_LINE):
                self.adopt(json.loads(line), now_s)

    def adopt(self, description, now_s):
        """Take over the keys of another home.

        :param description: dict as :meth:`describe_homes` writes it
        """
        home = description['home']
        host, _, incarnation = home.rpartition('.')
        secret = bytes.fromhex(description['secret'])
        issuer = tickets.TicketIssuer(host, int(incarnation), secret)
        shift_s = now_s - description['now_s']
        floor_s = now_s - description['floor_age_s']
        self.adopted[home] = Adopted(issuer, shift_s, floor_s)

    # Sending.

    def start_transfer(self, members):
        """Make the first transfer; new keys run at the successor from now.

        :param members: gossip members to try, in order
        """
        self.first_transfer_ended = event.Event()
        try:
            for member in members:
                if self.transfer_to(member, self.issuer.home):
                    self.member = member
                    self.successor = member.host
                    break
        finally:
            self.first_transfer_ended.set()

    def finish_transfer(self):
        """Make the second transfer, with the outcomes of requests that ran."""
        member = self.member
        for _ in range(MAX_FINISH_ATTEMPTS):
            if member is None or self.transfer_to(member, ''):
                return
            # The successor is stopping as well: try its own successor.
            home = tickets.home_name(member.host, member.incarnation)
            member = self.home_directory.current_holder(home)

    def wait_for_transfer(self):
        """Wait for the end of the first transfer.

        :return: host name of the successor, or ``''``
        """
        self.first_transfer_ended.wait(FIRST_TRANSFER_TIMEOUT_S)
        return self.successor

    def transfer_to(self, member, running_at):
        """Send all records to one member; return whether it is successor.

        If the reply to the last batch is lost, the member may have adopted
        the records. It then stays the successor, since a second one would
        run this home's keys as well. If it has not adopted them, its outcome
        for their keys is ``Unknown``.

        :param running_at: home at which running requests can be followed
        """
        address = f'{member.address}:{member.peer_port}'
        now_s = self.clock.now_s()
        *batches, last_batch = self.batches(now_s, running_at)
        try:
            for batch in batches:
                if not self.send(address, batch, False):
                    return False
        except errors.HostUnreachable:
            return False
        try:
            return self.send(address, last_batch, True)
        except errors.HostUnreachable:
            return True

    def batches(self, now_s, running_at):
        """Return the lines to hand over, in batches.

        The first batch begins with the homes. Each ends with the line that
        brings its records to ``BATCH_BYTES`` or more.

        :param running_at: home at which running requests can be followed
        :return: lists of JSON lines
        """
        batches = [list(self.describe_homes(now_s))]
        size = 0
        for line in self.table.export(now_s, running_at):
            if size >= BATCH_BYTES:
                batches.append([])
                size = 0
            batches[-1].append(line)
            size += len(line)
        return batches

    def describe_homes(self, now_s):
        """Yield a JSON line for this home and each adopted one."""
        own = Adopted(self.issuer, 0.0, records.NO_FLOOR)
        for each in (own, *self.adopted.values()):
            floor_s = max(each.floor_s, self.table.floor_s)
            description = {
                'home': each.issuer.home,
                'secret': each.issuer.secret.hex(),
                'now_s': now_s - each.shift_s,
                'floor_age_s': min(now_s - floor_s, UNBOUNDED_AGE_S),
            }
            yield json.dumps(description, separators=(',', ':')).encode()

    def send(self, address, batch, last):
        """Send one batch; return whether the peer accepted it.

        :param address: ``ip:port`` of the peer
        :param batch: list of JSON lines
        :param last: whether this batch completes the handover
        :raises HostUnreachable: when the peer did not reply
        """
        accepted_count = self.peers.handover(
            address, self.incarnation, batch, last
        )
        return accepted_count is not None
