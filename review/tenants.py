"""Nodes with tenants and the usage duty, beside a store that is restored."""

import collections
import random
import signal
import time

import gevent
from gevent import socket

from magnoliadyke.lab import platformcloud

import harness2

SERVICE = 'tenant-portal'
KEYS = {'tenant-a': 'key-of-a', 'tenant-b': 'key-of-b'}
#: ``report_window_s``, ``usage_late_s`` and ``revoke_ms`` of the pages, in
#: seconds.
WINDOW_S = 5
LATE_S = 10
REVOKE_S = 5.0
#: Time for which the store is away, and time after which the platform starts a
#: killed process again, in seconds.
AWAY_S = 0.1
RESTART_S = 0.1
COPY_INTERVAL_S = 0.1
REQUEST_INTERVAL_S = 0.05


class DutyFleet(harness2.Fleet):
    """Nodes that check keys and report usage.

    :ivar cloud: the platform's interface for reports
    :ivar servers: servers of the only service
    :ivar sent: tenant and time of each request, by id
    """

    def __init__(self, record, nodes=3):
        super().__init__(record, nodes)
        self.cloud = platformcloud.PlatformCloudStandIn(f'{self.net}.3:8141')
        self.servers = [Server(self, n, SERVICE) for n in range(1, 4)]
        self.sent = {}
        self.copies = collections.deque(maxlen=100)
        self.tasks = []

    def settings(self, name):
        """Return a node's settings, with the duty and the bound for keys."""
        return super().settings(name) | {
            'revoke_s': REVOKE_S,
            'duties': {
                'address': self.cloud.address,
                'names': ['usage_report'],
                'usage_window_s': WINDOW_S,
                'usage_due_s': LATE_S,
            },
        }

    def start(self, settle_s=4.0):
        """Start all processes, clients, and copies of the store."""
        self.cloud.start()
        for server in self.servers:
            server.start()
        self.tasks.append(gevent.spawn(self._keep_copies))
        super().start(settle_s)
        self.tasks.append(gevent.spawn(self._send_all))

    def stop_clients(self):
        """Stop what the case has started in this process."""
        gevent.killall(self.tasks)

    def _keep_copies(self):
        while True:
            self.copies.append((time.monotonic(), self.store.snapshot()))
            gevent.sleep(COPY_INTERVAL_S)

    def restore_and_kill(self, age_s, rewrite_s, written):
        """Restore the store from a copy, and kill all processes meanwhile.

        :param age_s: age of the copy, in seconds
        :param rewrite_s: time until the operator and the servers have written
            again, in seconds
        :param written: configuration that the operator writes again
        """
        until_s = time.monotonic() - age_s
        copy = [found for at_s, found in self.copies if at_s <= until_s][-1]
        self.store.mode = 'reset'
        self.store.cut()
        self.record.line('the store is away')
        for name in self.names:
            self.send_signal(name, signal.SIGKILL)
            self.processes[name].wait()
        gevent.sleep(AWAY_S)
        self.store.restore(copy)
        self.store.mode = 'up'
        self.record.line(f'the store is back from a copy, {age_s} s old')
        back_s = time.monotonic()
        gevent.sleep(max(0.0, RESTART_S - AWAY_S))
        for name in self.names:
            self.start_node(name)
        gevent.sleep(max(0.0, back_s + rewrite_s - time.monotonic()))
        self.store.put('op/config', written)
        for server in self.servers:
            server.write()
        self.record.line('the operator and the servers have written again')

    def _send_all(self):
        while True:
            gevent.sleep(REQUEST_INTERVAL_S)
            gevent.spawn(self._send)

    def _send(self):
        tenant, key = random.choice(list(KEYS.items()))
        node = random.choice(self.names)
        request_id = harness2.new_id()
        self.sent[request_id] = tenant, time.monotonic()
        status = 'no channel'
        try:
            sock = socket.create_connection(self.address(node), 1.0)
            sock.settimeout(2.0)
            sock.sendall(
                harness2.request_bytes(
                    'POST',
                    '/notice/',
                    request_id,
                    {'X-Deadline-Ms': '1000', 'Api-Key': key},
                    b'y' * 600,
                )
            )
            head = harness2.read_head(sock.makefile('rb'))
            status = head[0] if head else 'closed'
            sock.close()
        except OSError as error:
            status = repr(error)
        self.record.line(f'{node} answers {request_id} of {tenant}: {status}')


class Server(harness2.Server):
    """A sound server."""

    def answer(self, sock, stream, start, headers, address):
        """Run a request."""
        stream.read(int(headers.get('content-length', '0')))
        if self.is_other(sock, headers):
            return
        self.run(headers)
        gevent.sleep(0.02)
        harness2.send_answer(sock, '200 OK', self.seal(headers), b'x' * 800)


def configuration(version, tenants=tuple(KEYS)):
    """Return a configuration.

    :param tenants: names of the tenants that have their key
    """
    route = harness2.route('notice', 'unsafe', SERVICE, timeout_ms=1000)
    services = [{'name': SERVICE, 'health_path': '/health', 'max_conns': 110}]
    listed = [
        {'name': name, 'api_keys': [key] if name in tenants else []}
        for name, key in KEYS.items()
    ]
    return harness2.configuration(version, [route], services) | {
        'tenants': listed
    }
