"""Hand a home's records to a successor, and take over those of others."""

import json
import typing

from gevent import event

from magnoliadyke.core import records
from magnoliadyke.core import tickets
from magnoliadyke import errors

__all__ = ['Adopted', 'Handover']

HOME_LINE = b'{"home"'
SEAL_TIMEOUT_S = 5.0
BATCH_BYTES = 256 << 10
FINISH_TRIES = 3
#: Stands for an age without bound, which JSON can't express.
LONGEST_AGE_S = 1e9


class Adopted(typing.NamedTuple):
    """A home whose keys live on this node.

    :param issuer: checks its tickets
    :param shift_s: this clock's seconds minus the home's own
    :param floor_s: issue time, by this clock, up to which the home had
        forgotten keys
    """

    issuer: tickets.TicketIssuer
    shift_s: float
    floor_s: float


class Handover:
    """The records of this node on their way out, and of others coming in.

    A stopping node hands over twice. First, at once: all its records, with
    requests that still run marked as being away. From then on new keys of
    its tickets run at the successor. At the end: what became of the
    requests that were running.

    :param issuer: :class:`tickets.TicketIssuer` of this node
    :param table: :class:`records.RecordTable` of this node
    :param peers: :class:`magnoliadyke.peer.PeerClients`
    :param directory: :class:`magnoliadyke.homedirectory.Directory`
    :ivar adopted: :class:`Adopted` by home
    :ivar sealed: set once the first hand-over has been tried; None before
    :ivar successor: host name, ``''`` if nobody took the records
    """

    def __init__(self, issuer, incarnation, table, peers, directory, clock):
        self.issuer = issuer
        self.incarnation = incarnation
        self.table = table
        self.peers = peers
        self.home_directory = directory
        self.clock = clock
        self.adopted = {}
        self.arriving = {}
        self.sealed = None
        self.member = None
        self.successor = ''

    # Coming in.

    def take(self, host, incarnation, lines, last):
        """Take over records of a host that is leaving.

        :param lines: JSON lines (bytes)
        :param last: whether the hand-over is complete
        :return: number of lines taken
        """
        arriving = self.arriving.setdefault((host, incarnation), [])
        arriving += lines
        if last:
            # Nothing is adopted before all is here: a half of the records
            # would let a key run again whose record is in the other half.
            del self.arriving[host, incarnation]
            self.take_all(arriving, self.clock.now_s())
        return len(lines)

    def take_all(self, lines, now_s):
        """Enter records and homes that have arrived completely."""
        for line in lines:
            if not line.startswith(HOME_LINE):
                self.table.import_line(line, now_s)
        for line in lines:
            if line.startswith(HOME_LINE):
                self.adopt(json.loads(line), now_s)

    def adopt(self, description, now_s):
        """Become the home of another home's keys."""
        home = description['home']
        host, _, incarnation = home.rpartition('.')
        secret = bytes.fromhex(description['secret'])
        issuer = tickets.TicketIssuer(host, int(incarnation), secret)
        shift_s = now_s - description['now_s']
        floor_s = now_s - description['floor_age_s']
        self.adopted[home] = Adopted(issuer, shift_s, floor_s)

    # Going out.

    def begin(self, members):
        """Give all records to a successor; new keys are its own from now.

        :param members: members to try, in order
        """
        self.sealed = event.Event()
        try:
            for member in members:
                if self.hand_to(member, self.issuer.home):
                    self.member = member
                    self.successor = member.host
                    break
        finally:
            self.sealed.set()

    def finish(self):
        """Tell the successor what became of the requests that ran."""
        member = self.member
        for _ in range(FINISH_TRIES):
            if member is None or self.hand_to(member, ''):
                return
            # The successor is stopping as well: follow its own successor.
            home = tickets.home_name(member.host, member.incarnation)
            member = self.home_directory.current_holder(home)

    def wait(self):
        """Wait until the first hand-over is done; return the successor."""
        self.sealed.wait(SEAL_TIMEOUT_S)
        return self.successor

    def hand_to(self, member, running_at):
        """Send all records to one member; return whether it is successor.

        A member whose last answer was lost may have adopted the records. No
        other may then be asked, or two nodes would run this home's keys: it
        stays the successor, and if it has not adopted them its answer to
        their keys is ``Unknown``.

        :param running_at: home at which running requests can be followed
        """
        address = f'{member.address}:{member.peer_port}'
        now_s = self.clock.now_s()
        *batches, final = self.batches(now_s, running_at)
        try:
            for batch in batches:
                if not self.send(address, batch, False):
                    return False
        except errors.HostUnreachable:
            return False
        try:
            return self.send(address, final, True)
        except errors.HostUnreachable:
            return True

    def batches(self, now_s, running_at):
        """Return the lines to hand over as a list of lists, none huge."""
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
        """Yield a line of JSON for each home that lives here."""
        own = Adopted(self.issuer, 0.0, records.NO_FLOOR)
        for each in (own, *self.adopted.values()):
            floor_s = max(each.floor_s, self.table.floor_s)
            description = {
                'home': each.issuer.home,
                'secret': each.issuer.secret.hex(),
                'now_s': now_s - each.shift_s,
                'floor_age_s': min(now_s - floor_s, LONGEST_AGE_S),
            }
            yield json.dumps(description, separators=(',', ':')).encode()

    def send(self, address, batch, last):
        """Send one batch; return whether it was taken."""
        taken = self.peers.handover(address, self.incarnation, batch, last)
        return taken is not None
