"""Nodes of the platform as processes, with stand-ins for all around them."""

import contextlib
import json
import os
import pathlib
import re
import signal
import subprocess
import sys
import time
from typing import Any
from typing import Callable
from typing import NamedTuple

import gevent
from gevent import socket

from magnoliadyke.lab import cluster
from magnoliadyke.lab import framedanswer
from magnoliadyke.lab import links
from magnoliadyke.lab import platformcloud
from magnoliadyke.lab import platformendpoint
from magnoliadyke.lab import platformmix
from magnoliadyke.lab import platformrecords
from magnoliadyke.lab import platformstore
from magnoliadyke.lab import proxy

__all__ = [
    'STREAM_EVENTS',
    'LONG_WORK_S',
    'LONG_ROUTE_TIMEOUT_MS',
    'STOP_GRACE_S',
    'ROUTE_TIMEOUT_MS',
    'Fleet',
    'Shape',
]

PROXY_PORT = 8199
STORE_PORT = 8180
CLOUD_PORT = 8181
#: Length of a window of usage, and time in which its report is due, in
#: seconds.
USAGE_WINDOW_S = 2.0
USAGE_DUE_S = 20.0
#: Time between the orders of two holders, in seconds.
ORDER_GAP_S = 0.2
#: Time in which a started node has to become ready, in seconds.
READY_TIMEOUT_S = 20.0
#: Grace period of a stop, in seconds, after which a node is killed.  It is so
#: long that a node still listens for a second after callers can have learned
#: of the stop from the directory.
STOP_GRACE_S = 6.0
#: Module that is run as a node.
MODULE = 'magnoliadyke.lab.links'
#: Number of events of a stream, and seconds between two of them.
STREAM_EVENTS = 5
EVENT_INTERVAL_S = 0.02
#: Execution time of long requests, in seconds: longer than what is left of
#: the grace period of a stop when callers can have learned of the stop, and
#: shorter than the whole period.
LONG_WORK_S = 2.5
LONG_PREFIXES = (b'/long/', b'/slow/')
#: Execution time of streams with backups, in seconds: so long that an engine
#: that crashes has some of them.
BACKED_WORK_S = 1.5
BACKED_PREFIX = b'/%s/' % platformmix.BACKED_KIND.encode()
FIRST_VERSION = 'v1'
#: Timeouts of the routes for long requests, and of all others: longer than a
#: killed host takes to be ready again.
LONG_ROUTE_TIMEOUT_MS = 5000
ROUTE_TIMEOUT_MS = 3000


#: Part of a log line that reports an error of a node's own.
ERROR_LINE = ' level=error '
#: Line of a process's status with the most memory it has had.
PEAK_MEMORY = re.compile(r'^VmHWM:\s*(\d+) kB$', re.MULTILINE)


class Shape(NamedTuple):
    """Numbers of hosts, plain endpoints, and engines of each stage.

    :param mix: what differs between them
    """

    hosts: int = 4
    plain: int = 3
    prefill: int = 2
    decode: int = 2
    mix: platformmix.Mix = platformmix.UNIFORM


class _Node(NamedTuple):
    """Process of a node, and when it was started, in monotonic seconds."""

    popen: subprocess.Popen
    started_s: float


class Fleet:
    """Nodes, endpoints, a store, and the proxy between them.

    It is a context manager; all processes are ended on exit.

    :param directory: for the settings and logs of the nodes
    :ivar cloud: the platform's interface for usage reports
    :ivar endpoints: running endpoints by name
    :ivar crashed: endpoints that were crashed, or are no longer listed
    :ivar endpoint_names: names that the proxy uses, by address
    :ivar nodes: running nodes by host
    :ivar crashing_parts: parts of prompts that crash the engines that decode
        them, and where the answer breaks off then
    :ivar on_engine_crash: called with the name of an engine that such a part
        has crashed
    :ivar exit_statuses: by host, of nodes that ended by themselves
    :ivar memory_kib: most memory that a process of each host had, in KiB
    """

    def __init__(self, shape: Shape, directory: pathlib.Path) -> None:
        self.shape = shape
        self.directory = directory
        self.lock, self.run = cluster.claim_run(0)
        self.store = platformstore.PlatformStoreStandIn(
            f'127.{self.run}.0.2:{STORE_PORT}'
        )
        self.cloud = platformcloud.PlatformCloudStandIn(
            f'127.{self.run}.0.4:{CLOUD_PORT}'
        )
        self.endpoints: dict[str, platformendpoint.EndpointStandIn] = {}
        self.crashed: list[platformendpoint.EndpointStandIn] = []
        self.nodes: dict[str, _Node] = {}
        self.exit_statuses: dict[str, int] = {}
        self.memory_kib: dict[str, int] = {}
        self.endpoint_count = 0
        self.endpoint_names: dict[str, str] = {}
        self.proxy: proxy.Proxy | None = None
        self.crashing_parts: dict[int, framedanswer.Break | None] = {}
        self.on_engine_crash: Callable[[str], None] = self._forget_crashed

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
            self.cloud.stop()
        self.lock.close()

    # Starting, addresses and endpoints.

    def start(self, configuration: dict[str, Any]) -> None:
        """Start everything, and wait until every node is ready.

        :param configuration: as the operator writes it into the store
        :raises cluster.NotReady: a node is not ready in time
        """
        self.store.start()
        self.cloud.start()
        self.store.put('op/config', configuration)
        for service, stage, count in (
            ('plain', '', self.shape.plain),
            ('model', 'prefill', self.shape.prefill),
            ('model', 'decode', self.shape.decode),
        ):
            for _ in range(count):
                self.add_endpoint(service, stage)
        names = self.endpoint_names
        names[self.store.address] = 'store'
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
        """IP address of a host."""
        return f'127.{self.run}.1.{host.rpartition("-")[2]}'

    @property
    def endpoint_ip(self) -> str:
        """IP address of the endpoints."""
        return f'127.{self.run}.2.1'

    def callers_address(self, host: str) -> tuple[str, int]:
        """Address at which a host accepts callers' connections."""
        return self.ip(host), platformrecords.CALLERS_PORT

    def directory_address(self, host: str) -> tuple[str, int]:
        """Address of the directory of hosts that a host serves."""
        return self.ip(host), platformrecords.DIRECTORY_PORT

    def add_endpoint(
        self, service: str, stage: str, version: str = FIRST_VERSION
    ) -> str:
        """Start an endpoint and write its entry.

        :param stage: 'prefill' or 'decode' for an engine, '' for a plain one
        :param version: version of its software
        :returns: its name
        """
        self.endpoint_count += 1
        name = f'{service}-{stage or "plain"}-{self.endpoint_count}'
        self._start_endpoint(name, service, stage, version)
        return name

    def restart_endpoint(self, name: str) -> None:
        """Crash an endpoint, and start it again under the same name."""
        endpoint = self.endpoints[name]
        self.crash_endpoint(name)
        self._start_endpoint(
            name, endpoint.service, endpoint.stage, endpoint.version
        )

    def _start_endpoint(
        self, name: str, service: str, stage: str, version: str
    ) -> None:
        endpoint = platformendpoint.EndpointStandIn(
            name,
            service,
            stage,
            address=f'{self.endpoint_ip}:0',
            version=version,
        )
        endpoint.marks_version = True
        endpoint.start()
        endpoint.pause_s = EVENT_INTERVAL_S
        endpoint.events = STREAM_EVENTS
        endpoint.work_s_by_prefix = dict.fromkeys(LONG_PREFIXES, LONG_WORK_S)
        endpoint.work_s_by_prefix[BACKED_PREFIX] = BACKED_WORK_S
        endpoint.pace = self.shape.mix.pace(int(name.rpartition('-')[2]))
        endpoint.started_ms = round(time.time() * 1000)
        endpoint.on_crash = lambda: self.on_engine_crash(name)
        self.endpoints[name] = endpoint
        self._set_crashing_parts(endpoint)
        self.endpoint_names[endpoint.address] = name
        self.store.put(f'servers/{name}', endpoint.entry())

    def add_crashing_part(
        self, part: int, crash_at: framedanswer.Break | None
    ) -> None:
        """Have a part of prompts crash each engine that decodes it.

        :param crash_at: where the answer breaks off then, None for before its
            head
        """
        self.crashing_parts[part] = crash_at
        for endpoint in self.endpoints.values():
            self._set_crashing_parts(endpoint)

    def _set_crashing_parts(
        self, endpoint: platformendpoint.EndpointStandIn
    ) -> None:
        endpoint.crash_on_parts = frozenset(self.crashing_parts)
        for crash_at in self.crashing_parts.values():
            endpoint.crash_at = crash_at

    def _forget_crashed(self, name: str) -> None:
        """Keep the evidence of an engine that has crashed."""
        endpoint = self.endpoints.pop(name, None)
        if endpoint is not None:
            endpoint.to_s = min(endpoint.to_s, time.monotonic())
            self.crashed.append(endpoint)

    def crash_endpoint(self, name: str) -> None:
        """Crash an endpoint without notice; its entry stays in the store."""
        endpoint = self.endpoints.pop(name)
        endpoint.to_s = min(endpoint.to_s, time.monotonic())
        self.crashed.append(endpoint)
        endpoint.crash()

    def unlist_endpoint(self, name: str) -> platformendpoint.EndpointStandIn:
        """Remove the entry of an endpoint, which serves on.

        :returns: the endpoint, which the caller has to end
        """
        endpoint = self.endpoints.pop(name)
        endpoint.to_s = min(endpoint.to_s, time.monotonic())
        self.crashed.append(endpoint)
        self.remove_entry(name)
        return endpoint

    def remove_entry(self, name: str) -> None:
        """Remove an endpoint's entry."""
        self.store.remove(f'servers/{name}')

    def write_entries(self) -> None:
        """Write the entries of all running endpoints."""
        for name, endpoint in self.endpoints.items():
            self.store.put(f'servers/{name}', endpoint.entry())

    def remove_stale_entries(self) -> None:
        """Remove the entries of endpoints that are not running."""
        for key in list(self.store.items):
            prefix, _, name = key.partition('/')
            if prefix == 'servers' and name not in self.endpoints:
                self.store.remove(key)

    def all_endpoints(self) -> list[platformendpoint.EndpointStandIn]:
        """Endpoints that are running or were crashed."""
        return [*self.endpoints.values(), *self.crashed]

    # Nodes.

    def start_node(self, host: str) -> None:
        """Start a node's process."""
        path = self.directory / f'{host}.json'
        path.write_text(json.dumps(self._settings(host)))
        targets = [*self.proxy.names, self.endpoint_ip]
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
            host,
            self.ip(host),
            self.store.address,
            stop_s=STOP_GRACE_S,
            order_gap_s=ORDER_GAP_S,
            duties={
                'address': self.cloud.address,
                'names': ['usage_report'],
                'usage_window_s': USAGE_WINDOW_S,
                'usage_due_s': USAGE_DUE_S,
            },
        )

    def wait_ready(self, host: str) -> None:
        """Wait until a node accepts requests.

        :raises cluster.NotReady: it does not within
            :data:`READY_TIMEOUT_S`
        """
        until_s = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < until_s:
            if self.is_ready(host):
                return
            gevent.sleep(0.05)
        raise cluster.NotReady(
            f'{host} is not ready after {READY_TIMEOUT_S} s'
        )

    def is_ready(self, host: str) -> bool:
        """Whether a node reports that it accepts requests."""
        address = (self.ip(host), platformrecords.READINESS_PORT)
        with contextlib.suppress(OSError):
            with socket.create_connection(address, 1.0) as sock:
                sock.sendall(b'GET /api/readiness HTTP/1.1\r\nHost: x\r\n\r\n')
                return b' 200 ' in sock.recv(64)
        return False

    def collect_exits(self) -> None:
        """Record the exit status of nodes that ended by themselves."""
        for host, node in list(self.nodes.items()):
            status = node.popen.poll()
            if status is not None:
                self.exit_statuses[host] = status
                del self.nodes[host]

    def read_errors(self) -> list[tuple[str, str]]:
        """Return the hosts' log lines of errors, each with its host."""
        found = []
        for host in self.hosts():
            path = self.directory / f'{host}.log'
            for line in path.read_text(errors='replace').splitlines():
                if ERROR_LINE in line:
                    found.append((host, line))
        return found

    def sample_memory(self) -> None:
        """Record the most memory that each process of a node has had."""
        for host, node in self.nodes.items():
            with contextlib.suppress(OSError):
                path = pathlib.Path(f'/proc/{node.popen.pid}/status')
                found = PEAK_MEMORY.search(path.read_text())
                used_kib = int(found[1]) if found else 0
                known_kib = self.memory_kib.get(host, 0)
                self.memory_kib[host] = max(known_kib, used_kib)

    def kill(self, host: str) -> None:
        """Kill a node's process, if it runs."""
        self.sample_memory()
        node = self.nodes.pop(host, None)
        if node is not None:
            node.popen.kill()
            node.popen.wait()

    def stop(self, host: str) -> bool:
        """Send SIGTERM to a node; kill it after :data:`STOP_GRACE_S`.

        :returns: whether it ended within the grace period
        """
        self.sample_memory()
        node = self.nodes.pop(host)
        node.popen.send_signal(signal.SIGTERM)
        until_s = time.monotonic() + STOP_GRACE_S
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
