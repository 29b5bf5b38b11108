"""Runs a command with its connections routed through the fault proxy.

The program is the one that runs in production.  Only ``connect``,
``sendto`` and ``recvfrom`` are patched, in this process, and redirect the
traffic as a rule of a packet filter would.  Traffic to targets that are not
in the routes is sent directly.
"""

import json
import os
import sys
import typing

from gevent import monkey
from gevent import socket

from magnoliadyke.lab import proxy
from magnoliadyke.lab import standin

__all__ = ['Routes', 'install', 'main']

ENVIRONMENT_VARIABLE = 'MAGNOLIADYKE_LAB_LINKS'
SOCKET = socket.socket


class Routes(typing.NamedTuple):
    """The targets that a process reaches through the proxy.

    :param name: name by which the proxy identifies this process
    :param proxy: ``ip:port`` of the proxy
    :param targets: ``ip:port`` of each target reached through it, or ``ip``
        for all ports of an address
    """

    name: str
    proxy: str
    targets: frozenset[str]

    def redirects(self, target):
        """Whether a target is reached through the proxy."""
        ip = target.rpartition(':')[0]
        return target in self.targets or ip in self.targets


def install(routes):
    """Patch the sockets of this process to use the proxy.

    :param routes: targets to redirect
    """
    proxy_address = standin.split_address(routes.proxy)
    connect, sendto, recvfrom = SOCKET.connect, SOCKET.sendto, SOCKET.recvfrom

    def connect_through(self, address):
        target = format_address(address)
        if not routes.redirects(target):
            return connect(self, address)
        connect(self, proxy_address)
        self.sendall(f'{routes.name} {target}\n'.encode('ascii'))
        if self.recv(1) != proxy.CONNECTED:
            raise ConnectionRefusedError(111, 'Connection refused')
        return None

    def sendto_through(self, data, *arguments):
        target = format_address(arguments[-1])
        if not routes.redirects(target):
            return sendto(self, data, *arguments)
        origin = format_address(self.getsockname())
        packet = proxy.datagram(routes.name, origin, target, bytes(data))
        sendto(self, packet, proxy_address)
        return len(data)

    def recvfrom_through(self, *arguments):
        data, address = recvfrom(self, *arguments)
        parts = proxy.split_datagram(data)
        if parts is None:
            return data, address
        return parts[3], standin.split_address(parts[1])

    SOCKET.connect = connect_through
    SOCKET.sendto = sendto_through
    SOCKET.recvfrom = recvfrom_through


def format_address(address):
    """Return an address pair as ``ip:port``; empty for other addresses."""
    return '%s:%d' % address[:2] if isinstance(address, tuple) else ''


def main(argv):
    """Run the program's command line behind the proxy.

    :param argv: arguments of the command line
    :returns: exit status
    """
    from magnoliadyke import cli

    spec = json.loads(os.environ[ENVIRONMENT_VARIABLE])
    targets = frozenset(spec['targets'])
    install(Routes(spec['name'], spec['proxy'], targets))
    return cli.main(argv)


if __name__ == '__main__':
    monkey.patch_all()
    sys.exit(main(sys.argv[1:]))
