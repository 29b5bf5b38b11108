"""Stand-ins of the platform, its servers and clients, for the review.

They use only the standard library.  All addresses are loopback addresses.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import secrets
import signal
import socket
import subprocess
import sys
import tempfile
import time
from urllib import parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
SITE = 'site.example'
FRONT_PORT = 8144
READY_PORT = 8140
#: The bounds of the sheet of dalabat-route, as the platform hands them out.
BOUNDS = {
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
HEARTBEAT_S = 1.2
#: A silent server's entry is removed after this many heartbeats.
SILENT_HEARTBEATS = 3


class Record:
    """Writes what was sent, answered and run, one line an event."""

    def __init__(self, path):
        self.file = open(path, 'w', encoding='utf-8')
        self.start_s = time.monotonic()

    def now_s(self):
        """Return the seconds since the start of the test."""
        return time.monotonic() - self.start_s

    def add(self, what, **fields):
        """Write one event."""
        text = ' '.join(f'{name}={value}' for name, value in fields.items())
        self.file.write(f'{self.now_s():9.3f} {what} {text}\n')
        self.file.flush()

    def close(self):
        """Close the file."""
        self.file.close()


# HTTP.


async def read_message(reader):
    """Read one message; return its first line, headers and body.

    None stands for the end of the connection.
    """
    try:
        return await _read_message(reader)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None


async def _read_message(reader):
    head = await reader.readuntil(b'\r\n\r\n')
    lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(':')
        if name:
            headers[name.strip().lower()] = value.strip()
    body = b''
    if 'chunked' in headers.get('transfer-encoding', ''):
        while True:
            size = int(await reader.readline(), 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if not size:
                break
    elif headers.get('content-length'):
        body = await reader.readexactly(int(headers['content-length']))
    return lines[0], headers, body


def message(status, headers, body):
    """Encode an answer with a length; only its head if the body is None."""
    lines = [f'HTTP/1.1 {status} Status']
    lines += [f'{name}: {value}' for name, value in headers.items()]
    if body is not None:
        lines.append(f'Content-Length: {len(body)}')
    head = ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1')
    return head + (body or b'')


async def call(address, method, target, headers, body=b'', timeout_s=5.0):
    """Send a request on a new connection; return status, headers, body.

    The status is 0 if the connection was not opened, or ended or stayed
    silent before the end of the answer.
    """
    host, _, port = address.rpartition(':')
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            lines = [f'{method} {target} HTTP/1.1']
            lines += [f'{name}: {value}' for name, value in headers.items()]
            if body or method != 'GET':
                lines.append(f'Content-Length: {len(body)}')
            writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)
            answer = await read_message(reader)
    except (OSError, ValueError, TimeoutError, asyncio.IncompleteReadError):
        answer = None
    finally:
        if writer is not None:
            writer.close()
    if answer is None:
        return 0, {}, b''
    line, headers, body = answer
    return int(line.split()[1]), headers, body


# The platform's store.


class Store:
    """The platform's metadata store."""

    def __init__(self, address):
        self.address = address
        self.items = {}
        self.history = []
        self.revision = 10
        self.leases = {}
        self.next_lease = 1
        self.changed = asyncio.Event()
        self.server = None
        self.tasks = []

    async def start(self):
        """Start to listen."""
        host, _, port = self.address.rpartition(':')
        self.server = await asyncio.start_server(self._serve, host, int(port))
        self.tasks = [asyncio.create_task(self._expire())]

    async def stop(self):
        """Stop listening."""
        for task in self.tasks:
            task.cancel()
        self.server.close()

    def put(self, key, value, lease=0):
        """Write an item."""
        if isinstance(value, dict):
            value = json.dumps(value).encode()
        self.revision += 1
        created = self.revision
        if key in self.items:
            created = self.items[key]['create_revision']
        item = {
            'key': key,
            'value': base64.b64encode(value).decode(),
            'revision': self.revision,
            'create_revision': created,
            'lease': lease,
        }
        self.items[key] = item
        self._notify(item)

    def remove(self, key):
        """Remove an item, if there is one."""
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self._notify(
            {'key': key, 'revision': self.revision, 'tombstone': True}
        )

    def _notify(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def _expire(self):
        while True:
            await asyncio.sleep(0.05)
            now_s = time.monotonic()
            for lease, (_, until_s) in list(self.leases.items()):
                if now_s > until_s:
                    self._end_lease(lease)

    def _end_lease(self, lease):
        self.leases.pop(lease, None)
        for item in list(self.items.values()):
            if item['lease'] == lease:
                self.remove(item['key'])

    async def _serve(self, reader, writer):
        with contextlib.suppress(OSError, asyncio.CancelledError):
            while True:
                got = await read_message(reader)
                if got is None:
                    break
                line, _, body = got
                method, target, _ = line.split()
                await asyncio.sleep(0.004)
                status, answer = await self._dispatch(method, target, body)
                data = json.dumps(answer).encode()
                kind = {'Content-Type': 'application/json'}
                writer.write(message(status, kind, data))
                await writer.drain()
        writer.close()

    async def _dispatch(self, method, target, data):
        url = parse.urlsplit(target)
        query = {k: v[0] for k, v in parse.parse_qs(url.query).items()}
        body = json.loads(data or b'{}')
        parts = url.path.split('/')
        match parts[2]:
            case 'kv-key':
                item = self.items.get(query['key'])
                if item is None:
                    return 404, {'store_revision': self.revision}
                return 200, item | {'store_revision': self.revision}
            case 'kv-range':
                prefix = query.get('path_prefix', '')
                keys = [k for k in sorted(self.items) if k.startswith(prefix)]
                return 200, {
                    'items': [self.items[k] for k in keys],
                    'more_pages': False,
                    'store_revision': self.revision,
                }
            case 'kv-watch':
                return await self._watch(query)
            case 'kv-txn':
                return self._commit(body)
            case 'kv-lease':
                return self._grant(body)
            case 'kv-keep':
                lease = int(parts[3])
                if lease not in self.leases:
                    return 404, {}
                ttl_s, _ = self.leases[lease]
                self.leases[lease] = (ttl_s, time.monotonic() + ttl_s)
                return 200, {'lease': lease, 'ttl_ms': round(ttl_s * 1000)}
            case 'kv-lease-end':
                self._end_lease(int(parts[3]))
                return 200, {}
        return 404, {}

    async def _watch(self, query):
        prefix = query.get('path_prefix', '')
        after = int(query['after'])
        until_s = time.monotonic() + int(query['wait_ms']) / 1000
        while True:
            events = [
                event
                for event in self.history
                if event['revision'] > after
                and event['key'].startswith(prefix)
            ]
            left_s = until_s - time.monotonic()
            if events or left_s <= 0:
                return 200, {
                    'events': events,
                    'store_revision': self.revision,
                }
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await self.changed.wait()

    def _commit(self, body):
        puts = body.get('set_keys') or []
        if any(p['key'].startswith(('op/', 'servers/')) for p in puts):
            return 403, {}
        for put in puts:
            if put.get('lease') and put['lease'] not in self.leases:
                return 404, {}
        rows = body.get('precondition') or []
        for row in rows:
            item = self.items.get(row['key'])
            if (item['revision'] if item else 0) != row['revision']:
                present = [self.items.get(each['key']) for each in rows]
                return 412, {'items': [each for each in present if each]}
        for put in puts:
            value = base64.b64decode(put['value'])
            self.put(put['key'], value, put.get('lease') or 0)
        for key in body.get('remove') or []:
            self.remove(key)
        return 200, {'revision': self.revision}

    def _grant(self, body):
        lease, self.next_lease = self.next_lease, self.next_lease + 1
        ttl_s = body['ttl_ms'] / 1000
        self.leases[lease] = (ttl_s, time.monotonic() + ttl_s)
        return 200, {'lease': lease, 'ttl_ms': body['ttl_ms']}


# Servers.


class Server:
    """One process of a plain server; a restart has another id."""

    def __init__(self, store, record, service, address, zone):
        self.store = store
        self.record = record
        self.service = service
        self.address = address
        self.zone = zone
        self.id = ''
        self.slots = 6
        self.sequence = 0
        self.state = 'ready'
        self.listener = None
        self.writers = set()
        self.tasks = set()
        self.beat = None
        self.running = 0

    async def start(self):
        """Start a new process, and register it."""
        self.id = 'i-' + secrets.token_hex(4)
        self.sequence = 0
        host, _, port = self.address.rpartition(':')
        self.listener = await asyncio.start_server(
            self._accept, host, int(port)
        )
        self.beat = asyncio.create_task(self._report())
        self.record.add('server_starts', server=self.id, at=self.address)

    async def _report(self):
        while True:
            self.sequence += 1
            self.store.put(f'servers/{self.id}', self.entry())
            await asyncio.sleep(HEARTBEAT_S)

    def entry(self):
        """Return its entry in the store."""
        return {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': self.slots,
            'state': self.state,
            'cold_left_ms': 0,
            'sequence': self.sequence,
        }

    def crash(self):
        """End the process without notice: all its connections are reset."""
        self.record.add('server_crashes', server=self.id)
        self.beat.cancel()
        self.listener.close()
        for writer in list(self.writers):
            writer.transport.abort()
        own = asyncio.current_task()
        for task in list(self.tasks):
            if task is not own:
                task.cancel()
        asyncio.get_running_loop().call_later(
            HEARTBEAT_S * SILENT_HEARTBEATS,
            self.store.remove,
            f'servers/{self.id}',
        )

    def drain(self):
        """Report that it leaves."""
        self.record.add('server_drains', server=self.id)
        self.state = 'draining'
        self.store.put(f'servers/{self.id}', self.entry())

    def leave(self):
        """End the process: the kernel closes its connections in order."""
        self.record.add('server_exits', server=self.id)
        self.beat.cancel()
        self.listener.close()
        for task in list(self.tasks):
            task.cancel()
        self.store.remove(f'servers/{self.id}')

    def stop(self):
        """End without a record."""
        self.beat.cancel()
        self.listener.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _accept(self, reader, writer):
        task = asyncio.current_task()
        self.writers.add(writer)
        self.tasks.add(task)
        try:
            while True:
                got = await read_message(reader)
                if got is None:
                    break
                line, headers, body = got
                answer = await self._answer(line, headers, body, writer)
                if answer is None:
                    return
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, OSError, asyncio.CancelledError):
            return
        finally:
            self.writers.discard(writer)
            self.tasks.discard(task)
            writer.close()

    async def _answer(self, line, headers, body, writer):
        target = line.split()[1]
        request_id = headers.get('x-request-id', '')
        echo = {'X-Request-Id': request_id}
        if headers.get('x-expect-instance', self.id) != self.id:
            return message(421, echo | {'X-Instance-Id': self.id}, b'')
        if self.running >= self.slots:
            return message(503, echo | {'X-Not-Executed': '1'}, b'full')
        self.running += 1
        try:
            self.record.add(
                'runs', id=request_id, target=target, server=self.id
            )
            body = await self.run(target, request_id, body)
        finally:
            self.running -= 1
        if body is None:
            return None
        seal = {'X-Server-Seal': secrets.token_hex(8)}
        return message(200, echo | seal | self.answer_headers(), body)

    def answer_headers(self):
        """Return further headers of its answers."""
        return {}

    async def run(self, target, request_id, body):
        """Run a request; return the body of its answer.

        None stands for a process that has ended.
        """
        await asyncio.sleep(0.02)
        return b'done ' + request_id.encode()


class Engine(Server):
    """One process of a model server, in one of the two stages.

    :ivar handles: what it has prefilled, by the handle
    :ivar lapses: whether its handles lapse at once
    :ivar peers: all engines by address
    :ivar twice_share: largest share of its answers that it sends twice;
        all of these are refusals
    :ivar events: number of events of a stream
    :ivar token_s: time between two of them, in seconds
    :ivar is_framed: whether streams are sent in chunks; else they end with
        the connection
    :ivar answers: number of its answers since that share was set
    :ivar twice: number of those of them that it sent twice
    """

    PREFILL_S = 0.02
    FETCH_S = 0.004
    EXTRA_LATE_S = 0.015

    def __init__(self, store, record, service, address, zone, stage, peers):
        super().__init__(store, record, service, address, zone)
        self.stage = stage
        self.slots = 16
        self.handles = set()
        self.lapses = False
        self.peers = peers
        self.events = 2
        self.token_s = 0.005
        self.is_framed = True
        self.twice_share = 0.0
        self.answers = 0
        self.twice = 0
        self.extras = set()
        self.orders = 0
        self.busy = False
        self.reading = asyncio.Lock()
        peers[address] = self

    def send_twice(self, share):
        """Send refusals twice from now on, up to a share of all answers."""
        self.twice_share = share
        self.answers = self.twice = 0

    def entry(self):
        """Return its entry in the store."""
        models = [{'name': 'm', 'version': 1, 'adapters': []}]
        return super().entry() | {'stage': self.stage, 'models': models}

    async def _answer(self, line, headers, body, writer):
        method, target, _ = line.split()
        request_id = headers.get('x-request-id', '')
        echo = {'X-Request-Id': request_id} if request_id else {}
        if headers.get('x-expect-instance', self.id) != self.id:
            return message(421, echo | {'X-Instance-Id': self.id}, b'')
        if target.startswith('/api/'):
            return message(*self._control(method, target, body))
        self.answers += 1
        is_prefill = headers.get('x-stage') == 'prefill'
        if is_prefill != (self.stage == 'prefill'):
            return message(421, echo, b'')
        if self.busy or self.running >= self.slots:
            return self._refuse(request_id, echo, 'full', writer)
        self.running += 1
        try:
            if is_prefill:
                return await self._prefill(headers, echo)
            return await self._generate(headers, echo, target, writer)
        finally:
            self.running -= 1

    def _control(self, method, target, body):
        kind = {'Content-Type': 'application/json'}
        if target == '/api/report':
            state = {
                'stage': self.stage,
                'models': [{'name': 'm', 'version': 1, 'adapters': []}],
                'busy': self.busy,
                'sequence': self.orders,
                'queued': 0,
                'active': self.running,
                'kv_used': 0,
                'kv_total': 1531691,
                'kv_handles': len(self.handles),
            }
            return 200, kind, json.dumps(state).encode()
        if target == '/api/order':
            order = json.loads(body)
            self.record.add('order', server=self.id, stage=order.get('stage'))
            if order.get('stage') == self.stage:
                return 200, kind, b'{}'
            if self.busy or order.get('precondition') != self.orders:
                return 409, kind, b'{}'
            self.orders += 1
            self.busy = True
            self.changing = asyncio.create_task(self._change(order['stage']))
            return 202, kind, b'{}'
        if target.startswith('/api/kv-handle/'):
            self.handles.discard(target.rpartition('/')[2])
            return 200, kind, b'{}'
        return 404, kind, b'{}'

    async def _change(self, stage):
        await asyncio.sleep(3.0)
        self.stage = stage
        self.busy = False

    async def _prefill(self, headers, echo):
        async with self.reading:
            await asyncio.sleep(self.PREFILL_S)
        handle = secrets.token_hex(6)
        if not self.lapses:
            self.handles.add(handle)
        parts = headers.get('x-prompt-prefix', '').split(',')
        tokens = sum(int(each.partition(':')[2]) for each in parts)
        answer = {'kv_handle': handle, 'tokens': tokens, 'version': 1}
        kind = {'Content-Type': 'application/json'}
        return message(200, echo | kind, json.dumps(answer).encode())

    async def _generate(self, headers, echo, target, writer):
        request_id = headers.get('x-request-id', '')
        source = headers.get('x-kv-source')
        if source is None:
            # Prefilled here, at half the speed.
            await asyncio.sleep(2 * self.PREFILL_S)
        else:
            await asyncio.sleep(self.FETCH_S)
            address, _, handle = source.partition('/')
            held = self.peers[address].handles
            if handle not in held:
                return self._refuse(request_id, echo, 'no_handle', writer)
            held.discard(handle)
        self.record.add('runs', id=request_id, target=target, server=self.id)
        return await self._stream(headers, echo, writer)

    async def _stream(self, headers, echo, writer):
        """Send a stream of events; return what is left to be sent."""
        kind = {'Content-Type': 'text/event-stream'}
        kind['X-Server-Seal'] = secrets.token_hex(8)
        kind |= (
            {'Transfer-Encoding': 'chunked'}
            if self.is_framed
            else {'Connection': 'close'}
        )
        writer.write(message(200, echo | kind, None))
        first = int(headers.get('last-event-id', '0')) + 1
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.token_s)
            event = f'id: {number}\ndata: token {number}\n\n'.encode()
            if self.is_framed:
                event = b'%x\r\n%s\r\n' % (len(event), event)
            writer.write(event)
        self.record.add(
            'ran', id=headers.get('x-request-id', ''), server=self.id
        )
        return b'0\r\n\r\n' if self.is_framed else None

    def _refuse(self, request_id, echo, why, writer):
        """Return a refusal; a faulty server sends some of them twice."""
        self.record.add('refuses', id=request_id, why=why, server=self.id)
        answer = message(503, echo | {'X-Not-Executed': '1'}, why.encode())
        if self.twice + 1 <= self.answers * self.twice_share:
            self.twice += 1
            self.record.add('sends_twice', id=request_id, server=self.id)
            task = asyncio.create_task(self._repeat(writer, answer))
            self.extras.add(task)
            task.add_done_callback(self.extras.discard)
        return answer

    async def _repeat(self, writer, answer):
        await asyncio.sleep(self.EXTRA_LATE_S)
        with contextlib.suppress(OSError):
            writer.write(answer)


# The project's own processes.


class Hosts:
    """Processes of the deploy file, one a host."""

    def __init__(self, count, store_address, net):
        self.folder = tempfile.TemporaryDirectory()
        self.net = net
        self.store_address = store_address
        self.processes = {}
        self.names = [f'host-{n}' for n in range(1, count + 1)]
        self.first_start = True

    def ip(self, name):
        """Return the address of a host."""
        return f'{self.net}.1.{name.rpartition("-")[2]}'

    def front(self, name):
        """Return the address at which a host serves clients."""
        return f'{self.ip(name)}:{FRONT_PORT}'

    def start(self, name):
        """Start the process of a host, as the deploy file says."""
        ip = self.ip(name)
        number = int(name.rpartition('-')[2])
        settings = BOUNDS | {
            'name': name,
            'ip': ip,
            'failure_domain': f'zone-{number % 2}',
            'callers': f'{ip}:{FRONT_PORT}',
            'readiness': f'{ip}:{READY_PORT}',
            'directory': f'{ip}:8143',
            'control': f'{ip}:8146',
            'peer_ports': [7660, 7675],
            'metrics_port': 9464,
            'store': self.store_address,
        }
        if self.first_start:
            settings['first_start'] = True
        path = pathlib.Path(self.folder.name) / f'{name}.json'
        path.write_text(json.dumps(settings))
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        environment['MAGNOLIADYKE_SETTINGS'] = str(path)
        log = open(pathlib.Path(self.folder.name) / f'{name}.log', 'ab')
        with log:
            self.processes[name] = subprocess.Popen(
                ['python3', '-m', 'magnoliadyke.platform'],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    async def wait_ready(self, timeout_s=20.0):
        """Wait until all hosts are ready; return whether they are."""
        until_s = time.monotonic() + timeout_s
        for name in self.names:
            while True:
                address = f'{self.ip(name)}:{READY_PORT}'
                status, _, _ = await call(
                    address, 'GET', '/api/readiness', {'Host': 'x'}, b'', 1.0
                )
                if status == 200:
                    break
                if time.monotonic() > until_s:
                    return False
                await asyncio.sleep(0.1)
        return True

    def log(self, name):
        """Return what a host has written."""
        path = pathlib.Path(self.folder.name) / f'{name}.log'
        return path.read_text(errors='replace')

    def end(self):
        """Kill all processes, and remove their files."""
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()
        keep = os.environ.get('KEEP_LOGS')
        if keep:
            for name in self.names:
                text = self.log(name)
                (pathlib.Path(keep) / f'{name}.log').write_text(text)
        self.folder.cleanup()


def free_net():
    """Return the first two numbers of loopback addresses without a user."""
    for _ in range(50):
        net = f'127.{random.randrange(20, 250)}'
        with socket.socket() as probe:
            try:
                probe.bind((f'{net}.1.1', FRONT_PORT))
            except OSError:
                continue
        return net
    raise OSError('no free loopback addresses')


def route(name, kind, service, **fields):
    """Return a route as the operator writes it."""
    return {
        'name': name,
        'hostname': SITE,
        'path_prefix': f'/{name}/',
        'kind': kind,
        'service': service,
        'timeout_ms': 1000,
        'target_latency_ms': 125,
        'priority': 0,
        'max_attempts': 1,
        'sticky': False,
        'resumable': False,
    } | fields


def configuration(version, routes, services):
    """Return a configuration as the operator writes it."""
    return {
        'version': version,
        'routes': routes,
        'services': services,
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 4194304,
            'header_timeout_ms': 2000,
            'idle_timeout_ms': 10000,
        },
    }


def request_headers(request_id, deadline_ms=1000):
    """Return the headers of a client's request."""
    return {
        'Host': SITE,
        'X-Request-Id': request_id,
        'X-Deadline-Ms': str(deadline_ms),
    }


def new_id():
    """Return a new id of a request."""
    return secrets.token_hex(8)


def main(play, folder, trouble):
    """Run a test; exit with 0 if the rule held, 1 if not, 2 if not run.

    :param trouble: whether the disruption comes
    """
    record = Record(pathlib.Path(folder) / 'record.txt')
    status = 2

    async def run():
        # So that a time limit ends the processes that were started, too.
        task = asyncio.current_task()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
        return await play(record, trouble)

    try:
        status = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:
        record.add('not_run', error=repr(error))
        print(f'not run: {error!r}', file=sys.stderr)
    finally:
        record.close()
    sys.exit(status)
