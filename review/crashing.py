"""Servers that some requests crash, and clients that send these again."""

import collections
import itertools
import random
import time

import gevent
from gevent import socket

import harness2

#: Time that a request takes, and time after which it crashes its server, in
#: seconds.
WORK_S = 0.02
CRASH_AFTER_S = 0.2
#: Time that a server is down after a crash, in seconds.
DOWN_S = 2.5
#: Time after which the store drops the entry of a silent server: three
#: heartbeats.
EXPIRY_S = 3.6
#: ``stable_ms`` of the pages, in seconds.
STABLE_S = 3.0
#: Retries that the rule allows after that time.
ALLOWED = 3
CRASHING = b'crashing'
SERVICE = 'tenant-portal'


class CrashingServer(harness2.Server):
    """A server that ends as it begins to run some requests.

    :param world: shared by all servers of a case
    """

    def __init__(self, world):
        super().__init__(world.fleet, next(world.numbers), SERVICE)
        self.world = world

    def answer(self, sock, stream, start, headers, address):
        """Run a request, and crash if it is of that kind."""
        body = stream.read(int(headers.get('content-length', '0')))
        if self.is_other(sock, headers):
            return
        self.run(headers)
        content = body.split(b' ')[0].decode()
        self.world.arrivals[content].append(time.monotonic())
        is_crashing = content.startswith(CRASHING.decode())
        gevent.sleep(CRASH_AFTER_S if is_crashing else WORK_S)
        if is_crashing and harness2.trouble():
            self.crash(content)
            raise OSError('the server has crashed')
        harness2.send_answer(sock, '200 OK', self.seal(headers), b'x' * 800)

    def crash(self, content):
        """End the process: its sockets close, and it says nothing more."""
        if self.entry is None:
            return
        self.record.line(f'server {self.id} crashes by {content}')
        self.world.crashes[content].append(time.monotonic())
        self.entry = None
        self.listener.close()
        for sock in list(self.sockets):
            sock.close()
        gevent.spawn_later(
            EXPIRY_S, self.fleet.store.remove, f'servers/{self.id}'
        )
        gevent.spawn_later(DOWN_S, self.world.add_server)


class World:
    """Servers and clients of one case.

    :ivar arrivals: when requests began to run, by their content
    :ivar crashes: when servers crashed, by the content that they ran
    """

    def __init__(self, fleet, record):
        self.fleet = fleet
        self.record = record
        self.numbers = itertools.count(1)
        self.arrivals = collections.defaultdict(list)
        self.crashes = collections.defaultdict(list)
        self.answers = collections.Counter()

    def add_server(self):
        """Start a server, which is a new process with a new id."""
        CrashingServer(self).start()

    def start(self, servers):
        """Write the configuration, and start servers and nodes."""
        route = harness2.route('notice', 'unsafe', SERVICE, timeout_ms=1000)
        services = [
            {'name': SERVICE, 'health_path': '/health', 'max_conns': 110}
        ]
        self.fleet.store.put(
            'op/config', harness2.configuration(3, [route], services)
        )
        for _ in range(servers):
            self.add_server()
        self.fleet.start()

    def send(self, node, content):
        """Send a request on a channel of its own, and wait for its answer."""
        request_id = harness2.new_id()
        status = 'no channel'
        try:
            sock = socket.create_connection(self.fleet.address(node), 1.0)
            sock.settimeout(5.0)
            sock.sendall(
                harness2.request_bytes(
                    'POST',
                    '/notice/',
                    request_id,
                    {'X-Deadline-Ms': '1000'},
                    content + b' ' + b'y' * 600,
                )
            )
            head = harness2.read_head(sock.makefile('rb'))
            status = head[0] if head else 'closed'
            sock.close()
        except OSError as error:
            status = repr(error)
        self.answers[content, status] += 1
        self.record.line(
            f'{node} answers {request_id} ({content.decode()}): {status}'
        )

    def send_often(self, content, every_s):
        """Send requests of one content again and again, to nodes in turn."""
        nodes = itertools.cycle(random.sample(self.fleet.names, 3))
        while True:
            gevent.sleep(every_s * random.uniform(0.9, 1.1))
            gevent.spawn(self.send, next(nodes), content)

    def is_kept(self):
        """Return whether no request came too often after its third crash."""
        for (content, status), count in sorted(self.answers.items()):
            self.record.line(f'{content.decode()}: {count} times {status}')
        kept = True
        for content, crashed_s in sorted(self.crashes.items()):
            late = 0
            if len(crashed_s) >= 3:
                from_s = crashed_s[2] + STABLE_S
                late = sum(s > from_s for s in self.arrivals[content])
            line = (
                f'{content}: {len(crashed_s)} crashes, {late} arrivals later '
                f'than {STABLE_S} s after the third; {ALLOWED} are allowed'
            )
            self.record.line(line)
            print(line)
            kept = kept and late <= ALLOWED
        return kept
