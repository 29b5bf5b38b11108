"""A small platform on loopback with real gateway nodes, for tests."""

import contextlib
import functools
import itertools
import json
import os
import random
import time

import gevent
from gevent import socket

from magnoliadyke import clock as clocks
from magnoliadyke.gateway import http
from magnoliadyke.lab import platformendpoint
from magnoliadyke.lab import platformrecords
from magnoliadyke.lab import platformstore
from magnoliadyke.platform import node as nodes
from magnoliadyke.platform import settings as node_settings

HOST = platformrecords.SITE
WAIT_S = 10.0
HOSTS = itertools.count(1)
#: Addresses of this process's nodes: two runs of the tests side by side
#: would else meet at the same ports.
NET = f'127.{os.getpid() % 190 + 50}'
SUBNET = os.getpid() // 190
HOSTS_PER_SUBNET = 250


route = platformrecords.route


def configuration(version=1, routes=None, **fields):
    """A configuration as the operator writes it."""
    return platformrecords.configuration(
        version, routes or platformrecords.usual_routes(), **fields
    )


def wait_for(condition, what, wait_s=WAIT_S):
    """Wait until a condition holds; fail the test if it never does."""
    until_s = time.monotonic() + wait_s
    while not condition():
        assert time.monotonic() < until_s, f'never came: {what}'
        gevent.sleep(0.01)


class World:
    """The store, endpoints and nodes of one test.

    :ivar gathers: hosts that start wait for others before one of them leads
    :ivar settled: hosts that start may retry, and trust a store that was not
        restored in this world, as if they had run for long
    """

    def __init__(self):
        self.gathers = False
        self.settled = True
        self.store = platformstore.PlatformStoreStandIn()
        self.store.start()
        self.endpoints = {}
        self.nodes = []

    def configure(self, **fields):
        """Write a configuration."""
        self.store.put('op/config', configuration(**fields))

    def endpoint(self, name, service='plain', stage='', **fields):
        """Start an endpoint and list it."""
        made = platformendpoint.EndpointStandIn(name, service, stage, **fields)
        made.start()
        self.endpoints[name] = made
        self.list(made)
        return made

    def join(self, name, service='plain', stage='', **fields):
        """Start an endpoint and wait until all nodes have it listed."""
        made = self.endpoint(name, service, stage, **fields)

        def listed():
            return all(name in each.catalog.endpoints for each in self.nodes)

        wait_for(listed, f'the entry of {name}')
        return made

    def engine(self, name, stage):
        """Start an engine that carries orders out, and list it."""
        made = self.endpoint(name, 'model', stage)
        made.change_s = 0.2
        made.on_change = functools.partial(self.list, made)
        return made

    def ask(
        self,
        path,
        method='POST',
        request_id='r1',
        body=b'x',
        node=0,
        **headers,
    ):
        """Ask a node on a connection of its own; the answer's head."""
        client = Client(self.nodes[node])
        try:
            return client.call(method, path, request_id, body, **headers)[0]
        finally:
            client.close()

    def list(self, endpoint):
        """Write an endpoint's entry."""
        self.store.put(f'servers/{endpoint.name}', endpoint.entry())

    def node(self, wait=True, clock=None, **fields):
        """Start a node; waits until it is ready."""
        subnet, host = divmod(next(HOSTS), HOSTS_PER_SUBNET)
        ip = f'{NET}.{(SUBNET + subnet) % 250 + 1}.{host + 1}'
        values = platformrecords.node_settings(
            f'front-{ip}', ip, self.store.address, **fields
        )
        clock = clock or clocks.SystemClock()
        return self._start(node_settings.parse(values), clock, wait)

    def _start(self, settings, clock, wait):
        made = nodes.Node(settings, clock, random.Random(len(self.nodes) + 1))
        if not self.gathers:
            made.leadership.gathered_s = float('-inf')
        if self.settled:
            made.budgets.unlisted_s = float('-inf')
            made.budgets.set_hosts(1, True, clock.now_s())
            if self.store.era == platformstore.FIRST_ERA:
                made.confirming.is_first_start = True
        made.application.start()
        self.nodes.append(made)
        if wait:
            wait_for(made._is_ready, 'a ready node')
        return made

    def kill(self, node):
        """End a node without a farewell: its lease and its key stay."""
        node.leadership.lease = None
        node.application.stop(0.1)
        self.nodes.remove(node)

    def start_again(self, node, wait=True):
        """Start a node that was killed anew, under its name and address."""
        return self._start(node.settings, node.clock, wait)

    def close(self):
        """Stop all of it."""
        for each in self.nodes:
            each.application.stop(0.2)
        for endpoint in self.endpoints.values():
            endpoint.stop()
        self.store.stop()


@contextlib.contextmanager
def world():
    """Run a test's world and clean up after it."""
    made = World()
    try:
        yield made
    finally:
        made.close()


class Client:
    """A caller's connection, byte by byte."""

    def __init__(self, node, address=None):
        host, _, port = (address or node.settings.callers).rpartition(':')
        self.sock = socket.create_connection((host, int(port)), 2.0)
        self.sock.settimeout(WAIT_S)
        self.reader = http.AnswerReader(self.sock)

    def send(self, data):
        """Send bytes."""
        self.sock.sendall(data)

    def request(self, method, path, request_id, body=b'', **headers):
        """Send a request."""
        lines = [f'{method} {path} HTTP/1.1', f'Host: {HOST}']
        lines.append(f'X-Request-Id: {request_id}')
        for name, value in headers.items():
            lines.append(f'{name.replace("_", "-")}: {value}')
        if body:
            lines.append(f'Content-Length: {len(body)}')
        self.send('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)

    def answer(self):
        """Read a whole answer: its head and body."""
        head = self.reader.next_part()
        pieces = []
        while isinstance(part := self.reader.next_part(), http.Body):
            pieces.append(part.data)
        return head, b''.join(pieces)

    def call(self, method, path, request_id, body=b'', **headers):
        """Send a request and read its answer."""
        self.request(method, path, request_id, body, **headers)
        return self.answer()

    def close(self):
        """Close the connection."""
        self.sock.close()


def prompt(*parts, output=3):
    """Headers of a request with a prompt."""
    text = ','.join(f'{name:x}:{tokens}' for name, tokens in parts)
    total = sum(tokens for _, tokens in parts)
    return {
        'X_Model': 'm',
        'X_Token_Counts': f'{total},{output}',
        'X_Prompt_Prefix': text,
    }


def as_bytes(record):
    """A record as the store keeps it."""
    return json.dumps(record).encode()
