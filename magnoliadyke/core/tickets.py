"""Session tickets, which bind request keys to a home node."""

import hashlib
import hmac
import re
import typing

__all__ = ['KEY_PATTERN', 'Key', 'TicketIssuer', 'home_name', 'parse_key']

MAC_DIGITS = 16
MAX_KEY_LENGTH = 200
#: A key is ``HOST.INCARNATION.ISSUED-COUNTER-MAC/NUMBER``.
KEY_PATTERN = re.compile(
    r'(?P<ticket>(?P<host>[A-Za-z0-9_.-]+)\.(?P<incarnation>\d{1,19})'
    r'\.(?P<issued>[0-9a-f]{1,12})-(?P<counter>[0-9a-f]{1,12})'
    r'-(?P<mac>[0-9a-f]{16}))/(?P<number>\d{1,18})'
)


class Key(typing.NamedTuple):
    """A request key derived from a ticket.

    :param raw: the complete key, as the caller sent it
    :param ticket: the ticket that it was derived from
    :param home: ``HOST.INCARNATION`` of the only node that may run the key
    :param issued_s: when the ticket was issued, in monotonic seconds of
        its home
    :param counter: number of the ticket among those of its home
    :param mac: message authentication code of the ticket, in hex
    """

    raw: str
    ticket: str
    home: str
    host: str
    incarnation: int
    issued_s: int
    counter: int
    mac: str


def home_name(host, incarnation):
    """Return the name of one incarnation of a host."""
    return f'{host}.{incarnation}'


def parse_key(raw):
    """Parse a key derived from a ticket.

    :param raw: an idempotency key
    :return: :class:`Key`, or None for a foreign key (one that a caller
        chose without a ticket)
    """
    if len(raw) > MAX_KEY_LENGTH:
        return None
    match = KEY_PATTERN.fullmatch(raw)
    if match is None:
        return None
    host = match['host']
    incarnation = int(match['incarnation'])
    return Key(
        raw,
        match['ticket'],
        home_name(host, incarnation),
        host,
        incarnation,
        int(match['issued'], 16),
        int(match['counter'], 16),
        match['mac'],
    )


class TicketIssuer:
    """Issues and verifies the tickets of one home.

    A ticket ends with an HMAC of the rest, so that the home verifies tickets
    without storing them and no caller can forge one.

    :param host: host name of the home
    :param incarnation: incarnation number of the home
    :param secret: random bytes, new for each incarnation
    """

    def __init__(self, host, incarnation, secret):
        self.home = home_name(host, incarnation)
        self.secret = secret
        self.counter = 0

    def issue(self, now_s):
        """Return a new ticket.

        :param now_s: monotonic seconds of the home
        """
        self.counter += 1
        serial = f'{int(now_s):x}-{self.counter:x}'
        return f'{self.home}.{serial}-{self.mac(serial)}'

    def mac(self, serial):
        """Return the truncated HMAC of a serial, in hex.

        :param serial: ``ISSUED-COUNTER`` of a ticket
        """
        serial_bytes = f'{self.home}.{serial}'.encode()
        digest = hmac.new(self.secret, serial_bytes, hashlib.sha256)
        return digest.hexdigest()[:MAC_DIGITS]

    def accepts(self, key):
        """Return whether this home issued the ticket of ``key``.

        :param key: :class:`Key`
        """
        if key.home != self.home:
            return False
        expected = self.mac(f'{key.issued_s:x}-{key.counter:x}')
        return hmac.compare_digest(expected, key.mac)
