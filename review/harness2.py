"""Starts nodes of the platform beside stand-ins, for the scripted cases.

The nodes are started with the command of the deploy file.  The store is the
project's own stand-in; servers and clients are small ones of this file.
"""

import json
import os
import pathlib
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import time

import gevent
from gevent import server
from gevent import socket

from magnoliadyke.lab import platformstore

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = 'site.example'
CALLERS_PORT = 8144
READINESS_PORT = 8140
DIRECTORY_PORT = 8143


class CouldNotRun(Exception):
    """The case could not be played."""


class Record:
    """Lines of ``record.txt``: what was sent, answered and run, and when."""

    def __init__(self, case):
        self.begun_s = time.monotonic()
        self.file = open(pathlib.Path(case).parent / 'record.txt', 'w')

    def line(self, text):
        """Write a line with the time since the start."""
        at_s = time.monotonic() - self.begun_s
        self.file.write(f'{at_s:8.3f} s  {text}\n')
        self.file.flush()


def trouble():
    """Return whether the disruption is to happen."""
    return os.environ.get('TROUBLE', '1') != '0'


def route(name, kind, service, **fields):
    """Return a route of the configuration."""
    values = {
        'name': name,
        'hostname': HOST,
        'path_prefix': f'/{name}/',
        'kind': kind,
        'service': service,
        'timeout_ms': 15000,
        'target_latency_ms': 1000,
        'priority': 0,
        'max_attempts': 1,
        'sticky': False,
        'resumable': False,
        'gap_aim_ms': 150,
    }
    return values | fields


def configuration(version, routes, services):
    """Return a configuration as the operator writes it."""
    return {
        'version': version,
        'routes': routes,
        'services': services,
        'limits': {
            'max_header_bytes': 8192,
            'max_body_bytes': 4194304,
            'header_timeout_ms': 2000,
            'idle_timeout_ms': 20000,
        },
    }


class Fleet:
    """A store, and nodes of a small deployment; ends them on exit."""

    def __init__(self, record, nodes=2):
        self.record = record
        self.net = f'127.{random.randint(30, 90)}.{random.randint(1, 250)}'
        self.names = [f'front-{n}' for n in range(1, nodes + 1)]
        self.store = platformstore.PlatformStoreStandIn(f'{self.net}.2:8142')
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.processes = {}

    def __enter__(self):
        self.store.start()
        return self

    def __exit__(self, *_):
        for process in self.processes.values():
            process.kill()
            process.wait()
        self.store.stop()
        shutil.rmtree(self.directory, ignore_errors=True)

    def ip(self, name):
        """Return the IP address of a node."""
        return f'{self.net}.{10 + self.names.index(name)}'

    def settings(self, name):
        """Return a node's settings, as the template of the deploy file."""
        ip = self.ip(name)
        return {
            'name': name,
            'ip': ip,
            'failure_domain': 'zone-1',
            'callers': f'{ip}:{CALLERS_PORT}',
            'readiness': f'{ip}:{READINESS_PORT}',
            'directory': f'{ip}:{DIRECTORY_PORT}',
            'control': f'{ip}:8146',
            'peer_ports': [7660, 7675],
            'metrics_port': 9464,
            'store': self.store.address,
            'min_lease_s': 1.0,
            'cores': 0.537,
            'core_speed': 2,
            'memory_mb': 300,
            'link_mbps': 1000.0,
            'drain_s': 2.0,
            'configuration_s': 2.0,
            'stop_s': 8,
            'retry_ratio': 0.2,
            'retry_window_s': 10,
            'retry_extra': 56,
            'order_gap_s': 3.0,
            'directory_ttl_s': 5,
        }

    def start_node(self, name):
        """Start a node with the command of the deploy file."""
        path = self.directory / f'{name}.json'
        settings = self.settings(name)
        if name not in self.processes:
            settings['first_start'] = True
        path.write_text(json.dumps(settings))
        paths = [str(ROOT / 'target' / 'deps')]
        environment = {
            'PATH': os.environ['PATH'],
            'HOME': os.environ.get('HOME', '/'),
            'LANG': os.environ.get('LANG', 'C.UTF-8'),
            'PYTHONPATH': os.pathsep.join(paths),
            'PYTHONDONTWRITEBYTECODE': '1',
            'MAGNOLIADYKE_SETTINGS': str(path),
        }
        with open(self.directory / f'{name}.log', 'ab') as log:
            self.processes[name] = subprocess.Popen(
                ['python3', '-m', 'magnoliadyke.platform'],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.record.line(f'{name} started')

    def start(self, settle_s=4.0):
        """Start all nodes, and wait until they have been ready for a time."""
        for name in self.names:
            self.start_node(name)
        for name in self.names:
            self.wait_ready(name)
        gevent.sleep(settle_s)

    def wait_ready(self, name, limit_s=20.0):
        """Wait until a node says that it is ready."""
        until_s = time.monotonic() + limit_s
        while time.monotonic() < until_s:
            try:
                sock = socket.create_connection(
                    (self.ip(name), READINESS_PORT), 1.0
                )
                sock.sendall(b'GET /api/readiness HTTP/1.1\r\nHost: x\r\n\r\n')
                if b' 200 ' in sock.recv(64):
                    sock.close()
                    self.record.line(f'{name} is ready')
                    return
                sock.close()
            except OSError:
                pass
            gevent.sleep(0.1)
        raise CouldNotRun(f'{name} is not ready')

    def send_signal(self, name, number):
        """Send a signal to a node's process."""
        self.record.line(f'{name} gets {signal.Signals(number).name}')
        self.processes[name].send_signal(number)

    def address(self, name):
        """Return where a node takes clients' requests."""
        return self.ip(name), CALLERS_PORT


class Server:
    """A server of a service; subclasses answer its requests.

    :ivar runs: ids of the requests that it ran, in order
    """

    def __init__(self, fleet, number, service, **entry):
        self.fleet = fleet
        self.record = fleet.record
        self.id = f'i-{random.getrandbits(40):010x}'
        self.address = f'{fleet.net}.{100 + number}:8080'
        self.runs = []
        self.entry = {
            'service': service,
            'address': self.address,
            'zone': 'zone-1',
            'version': 'v1',
            'slots': 16,
            'state': 'ready',
            'cold_left_ms': 0,
            'sequence': 1,
        } | entry
        ip, _, port = self.address.rpartition(':')
        self.listener = server.StreamServer(
            (ip, int(port)), self.serve, backlog=512
        )
        self.sockets = set()

    def start(self):
        """Listen, and write the entry."""
        self.listener.start()
        self.write()
        gevent.spawn(self._beat)

    def write(self):
        """Write the entry into the store."""
        self.entry['sequence'] += 1
        self.fleet.store.put(f'servers/{self.id}', self.entry)

    def _beat(self):
        while True:
            gevent.sleep(1.2)
            if self.entry is None:
                return
            self.write()

    def serve(self, sock, address):
        """Serve the requests of one connection."""
        self.sockets.add(sock)
        stream = sock.makefile('rb')
        try:
            while True:
                head = read_head(stream)
                if head is None:
                    return
                start, headers = head
                self.answer(sock, stream, start, headers, address)
        except OSError:
            return
        finally:
            self.sockets.discard(sock)
            sock.close()

    def answer(self, sock, stream, start, headers, address):
        """Answer one request."""
        raise NotImplementedError

    def is_other(self, sock, headers):
        """Refuse a request for another instance, as the pages say."""
        expected = headers.get('x-expect-instance', self.id)
        if expected == self.id:
            return False
        send_answer(
            sock,
            '421 Misdirected Request',
            {
                'X-Request-Id': headers.get('x-request-id', ''),
                'X-Not-Executed': '1',
            },
            b'',
        )
        return True

    def run(self, headers):
        """Record that a request runs."""
        request_id = headers.get('x-request-id', '')
        self.runs.append(request_id)
        self.record.line(f'server {self.id} runs {request_id}')

    def seal(self, headers):
        """Return the headers of an answer of this server."""
        return {
            'X-Request-Id': headers.get('x-request-id', ''),
            'X-Server-Seal': f'seal-{self.id}',
        }


def read_head(stream):
    """Return start line and headers of a message, None at the end."""
    start = stream.readline()
    if not start:
        return None
    headers = {}
    while True:
        line = stream.readline()
        if line in (b'\r\n', b''):
            break
        name, _, value = line.decode('latin-1').partition(':')
        headers[name.strip().lower()] = value.strip()
    return start.decode('latin-1').strip(), headers


def send_answer(sock, status, headers, body):
    """Send an answer with a length."""
    lines = [f'HTTP/1.1 {status}']
    lines += [f'{k}: {v}' for k, v in headers.items()]
    lines.append(f'Content-Length: {len(body)}')
    sock.sendall('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)


def request_bytes(method, path, request_id, headers=None, body=b''):
    """Return the bytes of a client's request."""
    fields = {
        'Host': HOST,
        'X-Request-Id': request_id,
        'X-Deadline-Ms': '15000',
    } | (headers or {})
    if body or method == 'POST':
        fields['Content-Length'] = str(len(body))
    lines = [f'{method} {path} HTTP/1.1']
    lines += [f'{k}: {v}' for k, v in fields.items()]
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


def new_id():
    """Return the id of a new request."""
    return f'{random.getrandbits(64):016x}'


def finish(record, case):
    """Run a case; exit with 1 if the rule was broken, 2 if it couldn't run.

    :param case: returns whether the rule held
    """
    gevent.signal_handler(signal.SIGTERM, sys.exit, 2)
    try:
        held = case()
    except (CouldNotRun, OSError, subprocess.SubprocessError) as error:
        record.line(f'the case could not run: {error!r}')
        print(f'could not run: {error!r}')
        sys.exit(2)
    record.line('the rule held' if held else 'the rule was broken')
    print('held' if held else 'broken')
    sys.exit(0 if held else 1)
