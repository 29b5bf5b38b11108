"""Fault-injecting proxy for TCP and UDP between the processes of a lab.

A process whose links are to be disturbed is started through
:mod:`magnoliadyke.lab.links`, which sends its connections here.  Each
begins with a line ``SOURCE IP:PORT`` and goes on when the proxy has answered
with one byte, after it has reached the target: so a refused or dropped
connection looks to the process as it would without a proxy between.
Datagrams carry the same line in front.
"""

import json
import random
import socket as stdlib_socket
import sys

import gevent
from gevent import server
from gevent import socket

from magnoliadyke.lab import rules as rules_module
from magnoliadyke.lab import standin

__all__ = [
    'CONNECTED',
    'DATAGRAM_MARK',
    'REFUSED',
    'Proxy',
    'datagram',
    'main',
    'split_datagram',
]

CONNECTED = b'+'
REFUSED = b'-'
DATAGRAM_MARK = b'magnoliadyke-lab '
PIECE_BYTES = 65_536
LINE_BYTES = 200
CONNECT_TIMEOUT_S = 5.0
POLL_S = 0.02
RESET = b'\x01\x00\x00\x00\x00\x00\x00\x00'


class Link:
    """One connection through the proxy.

    :param source: name of the process that connected
    :param target: name of the process it connected to
    """

    def __init__(self, source, target, near, far):
        self.source = source
        self.target = target
        self.near = near
        self.far = far
        self.silent = set()
        self.asked = False
        self.closed = False

    def close(self, reset=False):
        """End both connections."""
        if self.closed:
            return
        self.closed = True
        for end in (self.near, self.far):
            if reset:
                # With no time to linger, close() sends a reset.
                end.setsockopt(
                    stdlib_socket.SOL_SOCKET, stdlib_socket.SO_LINGER, RESET
                )
            end.close()


class Proxy:
    """Forwards TCP and UDP and applies the rules.

    :param address: ``ip:port`` for connections, and for datagrams
    :param names: process name of each ``ip:port`` that may be reached
    """

    def __init__(self, address, names):
        self.names = names
        self.rules = rules_module.Rules()
        self.links = set()
        self.rng = random.Random(0)
        where = standin.split_address(address)
        self.streams = server.StreamServer(where, self.connected)
        self.datagrams = server.DatagramServer(where, self.received)

    def start(self):
        """Start to accept connections and datagrams."""
        self.streams.start()
        self.datagrams.start()

    def stop(self):
        """Stop, and end what is open."""
        self.streams.stop(timeout=0.1)
        self.datagrams.stop(timeout=0.1)
        for link in list(self.links):
            link.close()

    # TCP.

    def connected(self, near, _):
        """Serve one connection from a process."""
        near.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        line = read_line(near)
        if line is None:
            near.close()
            return
        source, _, address = line.partition(' ')
        target = self.names.get(address, address)
        far = self.reach(source, target, address)
        if far is None:
            refuse(near)
            return
        link = Link(source, target, near, far)
        self.links.add(link)
        try:
            near.sendall(CONNECTED)
            back = gevent.spawn(self.pump, link, far, near, False)
            self.pump(link, near, far, True)
            back.join()
        except OSError:
            pass
        finally:
            self.links.discard(link)
            link.close()

    def reach(self, source, target, address):
        """Connect to the target as far as the rules allow.

        :returns: the connection, or ``None`` if it was refused
        """
        while self.dropped(source, target) or self.dropped(target, source):
            gevent.sleep(POLL_S)
        if self.rules.find('cut', source, target) is not None:
            return None
        self.delay(source, target)
        try:
            far = socket.create_connection(
                standin.split_address(address), CONNECT_TIMEOUT_S
            )
        except OSError:
            return None
        far.settimeout(None)
        far.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.delay(target, source)
        return far

    def pump(self, link, reader, writer, forward):
        """Pass bytes on in one direction until its end."""
        source, target = link.source, link.target
        if not forward:
            source, target = target, source
        try:
            while True:
                data = reader.recv(PIECE_BYTES)
                self.hold(link, source, target, forward)
                if not data:
                    writer.shutdown(socket.SHUT_WR)
                    return
                if self.loses_reply(link, forward):
                    link.close(reset=True)
                    return
                writer.sendall(data)
        except OSError:
            link.close(reset=True)

    def hold(self, link, source, target, forward):
        """Hold bytes back for as long as the rules say."""
        self.delay(source, target)
        while forward in link.silent or self.dropped(source, target):
            gevent.sleep(POLL_S)

    def loses_reply(self, link, forward):
        """Whether the connection has to end in place of an answer."""
        if forward:
            link.asked = True
            return False
        return link.asked and self.rules.consume_lost_reply(
            link.source, link.target
        )

    def dropped(self, source, target):
        """Whether packets of this direction are dropped now."""
        return self.rules.find('drop', source, target) is not None

    def delay(self, source, target):
        """Wait as long as packets of this direction are delayed.

        What comes meanwhile is read at once afterwards, so that a delay
        longer than the gaps of a stream does not add up.
        """
        rule = self.rules.find('delay', source, target)
        if rule is not None:
            gevent.sleep(rule.delay_s)

    def apply(self, rule):
        """Do to the open connections what a new rule asks for."""
        for link in list(self.links):
            forward = rule.applies_to(link.source, link.target)
            back = rule.applies_to(link.target, link.source)
            if rule.kind == 'cut' and (forward or back):
                link.close(reset=True)
            if rule.kind == 'silence':
                link.silent.update([True] if forward else [])
                link.silent.update([False] if back else [])

    # UDP.

    def received(self, data, address):
        """Pass one datagram on, with its true source in front."""
        parts = split_datagram(data)
        if parts is None:
            return
        source, origin, target_address, payload = parts
        target = self.names.get(target_address, target_address)
        if self.loses_datagram(source, target):
            return
        packet = datagram(target, origin, origin, payload)
        where = standin.split_address(target_address)
        rule = self.rules.find('delay', source, target)
        if rule is None:
            self.datagrams.sendto(packet, where)
        else:
            gevent.spawn_later(
                rule.delay_s, self.datagrams.sendto, packet, where
            )

    def loses_datagram(self, source, target):
        """Whether a datagram gets lost."""
        for kind in ('drop', 'cut'):
            if self.rules.find(kind, source, target) is not None:
                return True
        rule = self.rules.find('loss', source, target)
        return rule is not None and self.rng.random() < rule.share

    # Control.

    def handle(self, request):
        """Answer one request on the control port."""
        match [request.method, *request.path.split('/')[1:]]:
            case ['POST', 'rules']:
                rule = self.rules.add(request.json())
                self.apply(rule)
                if rule.kind == 'silence':
                    self.rules.remove(rule.id)
                return standin.json_answer(200, {'rule': rule.id})
            case ['DELETE', 'rules']:
                self.rules.clear()
                return standin.json_answer(200, {})
            case ['DELETE', 'rules', rule_id]:
                self.rules.remove(int(rule_id))
                return standin.json_answer(200, {})
            case ['GET', 'health']:
                return standin.json_answer(200, {'links': len(self.links)})
        return standin.error_answer(404, 'no_such_path', request.path)


def read_line(connection):
    """The line in front of a connection; ``None`` when there is none."""
    line = b''
    while not line.endswith(b'\n') and len(line) < LINE_BYTES:
        try:
            byte = connection.recv(1)
        except OSError:
            return None
        if not byte:
            return None
        line += byte
    return line.decode('ascii', 'replace').rstrip('\n')


def refuse(near):
    """Tell the process that the target refused."""
    try:
        near.sendall(REFUSED)
    except OSError:
        pass
    near.close()


def datagram(name, origin, target, payload):
    """A datagram in its envelope.

    :param name: name of the sender
    :param origin: ``ip:port`` it was sent from
    :param target: ``ip:port`` it goes to
    """
    line = f'{name} {origin} {target}\n'.encode('ascii')
    return DATAGRAM_MARK + line + payload


def split_datagram(data):
    """Name, origin, target and payload; ``None`` without an envelope."""
    if not data.startswith(DATAGRAM_MARK):
        return None
    line, _, payload = data[len(DATAGRAM_MARK) :].partition(b'\n')
    name, origin, target = line.decode('ascii').split(' ')
    return name, origin, target, payload


def main(argv):
    """Serve at ``ADDRESS`` with the settings in ``JSON``.

    :param argv: address, then a JSON object with ``control`` (``ip:port`` of
        the control port) and ``names`` (process name of each ``ip:port``)
    :returns: exit status
    """
    spec = json.loads(argv[1])
    proxy = Proxy(argv[0], spec['names'])
    proxy.start()
    control = standin.Server(spec['control'], proxy.handle)
    return standin.run(control, at_stop=proxy.stop)


if __name__ == '__main__':
    from gevent import monkey

    monkey.patch_all()
    sys.exit(main(sys.argv[1:]))
