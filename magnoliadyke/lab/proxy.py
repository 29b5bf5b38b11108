"""Fault-injecting proxy for TCP and UDP between the processes of a lab.

A process whose links are to be disturbed is started through
:mod:`magnoliadyke.lab.links`, which redirects its connections to the proxy.
Each connection begins with a line ``SOURCE IP:PORT``.  The proxy answers with
one byte once it has connected to the target, or the target has refused: so
the process sees a refused or dropped connection as it would without a proxy.
Datagrams begin with :data:`DATAGRAM_MARK` and a line ``SOURCE IP:PORT
IP:PORT``, with the addresses of the sender and the target.
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
CHUNK_BYTES = 65_536
LINE_BYTES = 200
CONNECT_TIMEOUT_S = 5.0
POLL_S = 0.02
LINGER_RESET = b'\x01\x00\x00\x00\x00\x00\x00\x00'


class Link:
    """One connection through the proxy.

    :param source: name of the process that connected
    :param target: name of the process it connected to
    :param client: connection of the source to the proxy
    :param upstream: connection of the proxy to the target
    :ivar silenced: directions in which nothing is forwarded any more; True
        for that from source to target
    :ivar request_forwarded: the source has sent something
    """

    def __init__(self, source, target, client, upstream):
        self.source = source
        self.target = target
        self.client = client
        self.upstream = upstream
        self.silenced = set()
        self.request_forwarded = False
        self.closed = False

    def close(self, reset=False):
        """Close both connections.

        :param reset: close them with a reset
        """
        if self.closed:
            return
        self.closed = True
        for end in (self.client, self.upstream):
            if reset:
                # With a linger time of zero, close() sends a reset.
                end.setsockopt(
                    stdlib_socket.SOL_SOCKET,
                    stdlib_socket.SO_LINGER,
                    LINGER_RESET,
                )
            end.close()


class Proxy:
    """Forwards TCP connections and UDP datagrams, and applies rules to them.

    :param address: ``ip:port`` at which connections and datagrams arrive
    :param names: process name of each ``ip:port``; an address without one is
        its own name in rules
    :ivar rules: rules in force
    :ivar links: open connections
    """

    def __init__(self, address, names):
        self.names = names
        self.rules = rules_module.Rules()
        self.links = set()
        self.rng = random.Random(0)
        where = standin.split_address(address)
        self.streams = server.StreamServer(where, self.serve_connection)
        self.datagrams = server.DatagramServer(where, self.forward_datagram)

    def start(self):
        """Start to accept connections and datagrams."""
        self.streams.start()
        self.datagrams.start()

    def stop(self):
        """Stop accepting, and close the open connections."""
        self.streams.stop(timeout=0.1)
        self.datagrams.stop(timeout=0.1)
        for link in list(self.links):
            link.close()

    # TCP.

    def serve_connection(self, client, _):
        """Forward one connection of a process until both ends have closed."""
        client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        line = read_preamble(client)
        if line is None:
            client.close()
            return
        source, _, address = line.partition(' ')
        target = self.names.get(address, address)
        upstream = self.connect_target(source, target, address)
        if upstream is None:
            refuse(client)
            return
        link = Link(source, target, client, upstream)
        self.links.add(link)
        try:
            client.sendall(CONNECTED)
            back = gevent.spawn(self.pump, link, upstream, client, False)
            self.pump(link, client, upstream, True)
            back.join()
        except OSError:
            pass
        finally:
            self.links.discard(link)
            link.close()

    def connect_target(self, source, target, address):
        """Connect to the target, subject to the rules for both directions.

        Waits while packets are dropped.

        :returns: the connection, or ``None`` if it was refused
        """
        while self.is_dropped(source, target) or self.is_dropped(
            target, source
        ):
            gevent.sleep(POLL_S)
        for kind in ('cut', 'refuse'):
            if self.rules.find(kind, source, target) is not None:
                return None
        self.delay(source, target)
        try:
            upstream = socket.create_connection(
                standin.split_address(address),
                CONNECT_TIMEOUT_S,
                self.find_origin(source),
            )
        except OSError:
            return None
        upstream.settimeout(None)
        upstream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.delay(target, source)
        return upstream

    def find_origin(self, source):
        """Return the address from which a process connects, None if unknown.

        The target sees the connection come from that process's host.
        """
        for address, name in self.names.items():
            if name == source:
                return address.rpartition(':')[0], 0
        return None

    def pump(self, link, reader, writer, forward):
        """Forward bytes in one direction until the reader's end of file.

        :param forward: whether the direction is from source to target
        """
        source, target = link.source, link.target
        if not forward:
            source, target = target, source
        try:
            while True:
                data = reader.recv(CHUNK_BYTES)
                self.wait_until_passed(link, source, target, forward)
                if not data:
                    writer.shutdown(socket.SHUT_WR)
                    return
                if self.takes_lost_reply(link, forward):
                    link.close(reset=True)
                    return
                writer.sendall(data)
        except OSError:
            link.close(reset=True)

    def wait_until_passed(self, link, source, target, forward):
        """Wait as long as the rules hold back the bytes of a direction."""
        self.delay(source, target)
        while forward in link.silenced or self.is_dropped(source, target):
            gevent.sleep(POLL_S)

    def takes_lost_reply(self, link, forward):
        """Return whether a rule drops the reply, and count it down if so."""
        if forward:
            link.request_forwarded = True
            return False
        return link.request_forwarded and self.rules.consume_lost_reply(
            link.source, link.target
        )

    def is_dropped(self, source, target):
        """Whether packets of this direction are dropped now."""
        return self.rules.find('drop', source, target) is not None

    def delay(self, source, target):
        """Wait for the time by which packets of this direction are delayed.

        Bytes that arrive meanwhile are read together afterwards, so that the
        delays of a stream with shorter gaps do not add up.
        """
        rule = self.rules.find('delay', source, target)
        if rule is not None:
            gevent.sleep(rule.delay_s)

    def apply(self, rule):
        """Apply a new rule to the open connections."""
        for link in list(self.links):
            forward = rule.applies_to(link.source, link.target)
            back = rule.applies_to(link.target, link.source)
            if rule.kind == 'cut' and (forward or back):
                link.close(reset=True)
            if rule.kind == 'silence':
                link.silenced.update([True] if forward else [])
                link.silenced.update([False] if back else [])

    # UDP.

    def forward_datagram(self, data, address):
        """Forward one datagram, with its original source in the header."""
        parts = split_datagram(data)
        if parts is None:
            return
        source, origin, target_address, payload = parts
        target = self.names.get(target_address, target_address)
        if self.is_datagram_lost(source, target):
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

    def is_datagram_lost(self, source, target):
        """Whether a datagram is dropped, by a rule or at random."""
        for kind in ('drop', 'cut'):
            if self.rules.find(kind, source, target) is not None:
                return True
        rule = self.rules.find('loss', source, target)
        return rule is not None and self.rng.random() < rule.share

    # Control.

    def handle(self, request):
        """Serve one request on the control port."""
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


def read_preamble(connection):
    """Read the first line of a connection, ``None`` if it has none."""
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


def refuse(client):
    """Report to the process that the target refused, and close."""
    try:
        client.sendall(REFUSED)
    except OSError:
        pass
    client.close()


def datagram(name, origin, target, payload):
    """A datagram with the header that the proxy expects.

    :param name: name of the sender
    :param origin: ``ip:port`` of the sender
    :param target: ``ip:port`` of the receiver
    """
    line = f'{name} {origin} {target}\n'.encode('ascii')
    return DATAGRAM_MARK + line + payload


def split_datagram(data):
    """Name, origin, target and payload; ``None`` without a header."""
    if not data.startswith(DATAGRAM_MARK):
        return None
    line, _, payload = data[len(DATAGRAM_MARK) :].partition(b'\n')
    name, origin, target = line.decode('ascii').split(' ')
    return name, origin, target, payload


def main(argv):
    """Run the proxy and its control port until the process is stopped.

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
