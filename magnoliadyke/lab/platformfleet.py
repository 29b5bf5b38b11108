"""Real nodes of the platform as processes, beside stand-ins in this one."""

import contextlib
import json
import os
import pathlib
import signal
import subprocess
import sys
import time
from typing import Any
from typing import NamedTuple

import gevent
from gevent import socket

from magnoliadyke.lab import cluster
from magnoliadyke.lab import links
from magnoliadyke.lab import platformendpoint
from magnoliadyke.lab import platformrecords
from magnoliadyke.lab import platformstore
from magnoliadyke.lab import proxy

__all__ = [
    'EVENTS',
    'LONG_S',
    'LONG_TIMEOUT_MS',
    'STOP_S',
    'TIMEOUT_MS',
    'Fleet',
    'Shape',
]

PROXY_PORT = 8199
STORE_PORT = 8180
#: Longest time until a node is expected to be ready, in seconds.
READY_S = 20.0
#: What a node is given to stop, in seconds, before it is killed: so much that
#: it listens for a second after callers can have heard of it.
STOP_S = 6.0
#: What is run as a node.
MODULE = 'magnoliadyke.lab.links'
#: Streams of the endpoints: events, and seconds between two.
EVENTS = 5
PAUSE_S = 0.02
#: Time of long work: more than is left of a stop when callers can have heard
#: of it, and less than a stop.
LONG_S = 2.5
LONG_PREFIXES = (b'/long/', b'/slow/')
#: Of the routes of long work, and of all others: longer than a host that was
#: killed takes to be back.
LONG_TIMEOUT_MS = 5000
TIMEOUT_MS = 3000


class Shape(NamedTuple):
    """How many there are of each."""

    hosts: int = 4
    plain: int = 3
    prefill: int = 2
    decode: int = 2


class _Node(NamedTuple):
    """One run of a node's process."""

    popen: subprocess.Popen
    began_s: float


class Fleet:
    """Nodes, endpoints, a store, and the proxy between them.

    Use it as a context manager: whatever happens inside, all processes end.

    :param directory: for settings and logs
    :ivar ended: exit status of nodes that ended by themselves, by name
    """

    def __init__(self, shape: Shape, directory: pathlib.Path) -> None:
        self.shape = shape
        self.directory = directory
        self.lock, self.run = cluster.claim_run(0)
        self.store = platformstore.PlatformStoreStandIn(
            f'127.{self.run}.0.2:{STORE_PORT}'
        )
        self.endpoints: dict[str, platformendpoint.EndpointStandIn] = {}
        self.gone: list[platformendpoint.EndpointStandIn] = []
        self.nodes: dict[str, _Node] = {}
        self.ended: dict[str, int] = {}
        self.starts = 0
        self.proxy: proxy.Proxy | None = None

    def __enter__(self) -> 'Fleet':
        return self

    def __exit__(self, *_: Any) -> None:
        for name in list(self.nodes):
            self.kill(name)
        for endpoint in self.endpoints.values():
            endpoint.stop()
        if self.proxy is not None:
            self.proxy.stop()
            self.store.stop()
        self.lock.close()

    # Starting.

    def start(self, configuration: dict[str, Any]) -> None:
        """Start all, and wait until every node is ready."""
        self.store.start()
        self.store.put('op/config', configuration)
        for service, stage, count in (
            ('plain', '', self.shape.plain),
            ('model', 'prefill', self.shape.prefill),
            ('model', 'decode', self.shape.decode),
        ):
            for _ in range(count):
                self.add_endpoint(service, stage)
        names = {self.store.address: 'store'}
        for host in self.hosts():
            ip = self.ip(host)
            for port in (platformrecords.CALLERS_PORT, 7660, 7661):
                names[f'{ip}:{port}'] = host
        self.proxy = proxy.Proxy(f'127.{self.run}.0.3:{PROXY_PORT}', names)
        self.proxy.start()
        for host in self.hosts():
            self.start_node(host)
        for host in self.hosts():
            self.wait_ready(host)

    def hosts(self) -> list[str]:
        """Names of the hosts."""
        return [f'host-{n}' for n in range(1, self.shape.hosts + 1)]

    def ip(self, host: str) -> str:
        """Address of a host."""
        return f'127.{self.run}.1.{host.rpartition("-")[2]}'

    def callers_address(self, host: str) -> tuple[str, int]:
        """Where a host takes callers' connections."""
        return self.ip(host), platformrecords.CALLERS_PORT

    def directory_address(self, host: str) -> tuple[str, int]:
        """Where a host tells callers of hosts."""
        return self.ip(host), platformrecords.DIRECTORY_PORT

    def add_endpoint(self, service: str, stage: str) -> str:
        """Start an endpoint and list it; returns its id."""
        self.starts += 1
        name = f'{service}-{stage or "plain"}-{self.starts}'
        self._start_endpoint(name, service, stage)
        return name

    def restart_endpoint(self, name: str) -> None:
        """An endpoint dies, and starts again under the name that it had."""
        gone = self.endpoints[name]
        self.crash_endpoint(name)
        self._start_endpoint(name, gone.service, gone.stage)

    def _start_endpoint(self, name: str, service: str, stage: str) -> None:
        made = platformendpoint.EndpointStandIn(
            name, service, stage, address=f'127.{self.run}.2.1:0'
        )
        made.start()
        made.pause_s = PAUSE_S
        made.events = EVENTS
        made.takes_s = dict.fromkeys(LONG_PREFIXES, LONG_S)
        made.started_ms = round(time.time() * 1000)
        self.endpoints[name] = made
        self.store.put(f'servers/{name}', made.entry())

    def crash_endpoint(self, name: str) -> None:
        """End an endpoint at once; its entry lapses later."""
        endpoint = self.endpoints.pop(name)
        self.gone.append(endpoint)
        endpoint.crash()

    def unlist(self, name: str) -> None:
        """Remove an endpoint's entry."""
        self.store.remove(f'servers/{name}')

    def list_all(self) -> None:
        """All endpoints that run write their entries."""
        for name, endpoint in self.endpoints.items():
            self.store.put(f'servers/{name}', endpoint.entry())

    def unlist_unknown(self) -> None:
        """Remove the entries of endpoints that do not run."""
        for key in list(self.store.items):
            prefix, _, name = key.partition('/')
            if prefix == 'servers' and name not in self.endpoints:
                self.store.remove(key)

    def all_endpoints(self) -> list[platformendpoint.EndpointStandIn]:
        """All that ever ran."""
        return [*self.endpoints.values(), *self.gone]

    # Nodes.

    def start_node(self, host: str) -> None:
        """Start a node's process."""
        path = self.directory / f'{host}.json'
        path.write_text(json.dumps(self._settings(host)))
        targets = [name for name in self.proxy.names]
        spec = {
            'name': host,
            'proxy': f'127.{self.run}.0.3:{PROXY_PORT}',
            'targets': targets,
        }
        with open(self.directory / f'{host}.log', 'ab') as log:
            popen = subprocess.Popen(
                [
                    sys.executable,
                    '-m',
                    MODULE,
                    'platform',
                    str(path),
                ],
                env=os.environ
                | {links.ENVIRONMENT_VARIABLE: json.dumps(spec)},
                stdout=log,
                stderr=subprocess.STDOUT,
                preexec_fn=cluster.die_with_parent,
            )
        self.nodes[host] = _Node(popen, time.monotonic())

    def _settings(self, host: str) -> dict[str, Any]:
        return platformrecords.node_settings(
            host, self.ip(host), self.store.address, stop_s=STOP_S
        )

    def wait_ready(self, host: str) -> None:
        """Wait until a node takes requests.

        :raises cluster.NotReady: it does not within :data:`READY_S`
        """
        until_s = time.monotonic() + READY_S
        while time.monotonic() < until_s:
            if self.is_ready(host):
                return
            gevent.sleep(0.05)
        raise cluster.NotReady(f'{host} is not ready after {READY_S} s')

    def is_ready(self, host: str) -> bool:
        """Whether a node says that it takes requests."""
        address = (self.ip(host), platformrecords.READINESS_PORT)
        with contextlib.suppress(OSError):
            with socket.create_connection(address, 1.0) as sock:
                sock.sendall(b'GET /api/readiness HTTP/1.1\r\nHost: x\r\n\r\n')
                return b' 200 ' in sock.recv(64)
        return False

    def look_for_ends(self) -> None:
        """Note nodes that ended without being told to."""
        for host, node in list(self.nodes.items()):
            status = node.popen.poll()
            if status is not None:
                self.ended[host] = status
                del self.nodes[host]

    def kill(self, host: str) -> None:
        """End a node's process at once."""
        node = self.nodes.pop(host, None)
        if node is not None:
            node.popen.kill()
            node.popen.wait()

    def stop(self, host: str) -> bool:
        """Tell a node to stop; kills it after its time.

        :returns: whether it stopped by itself in time
        """
        node = self.nodes.pop(host)
        node.popen.send_signal(signal.SIGTERM)
        until_s = time.monotonic() + STOP_S
        while time.monotonic() < until_s:
            if node.popen.poll() is not None:
                return True
            gevent.sleep(0.02)
        node.popen.kill()
        node.popen.wait()
        return False

    def signal(self, host: str, number: int) -> None:
        """Send a signal to a node's process, if it runs."""
        node = self.nodes.get(host)
        if node is not None:
            node.popen.send_signal(number)
