"""Nodes, an engine and a service in one process, for tests of the path."""

import hashlib
import http.client
import json
import os
import random
import typing

import gevent
from gevent import socket

from magnoliadyke import callers
from magnoliadyke import clock as clocks
from magnoliadyke.core import membership
from magnoliadyke.core import table
from magnoliadyke import dispatch
from magnoliadyke import errors
from magnoliadyke import keyvalue
from magnoliadyke.lab import engine
from magnoliadyke.lab import service
from magnoliadyke.lab import standin
from magnoliadyke import mailbox
from magnoliadyke import requestdependencies
from magnoliadyke import settings as settings_module

KEY = 'lease-key'
OTHER_KEY = 'portal-key'
MODEL = 'lease-model'
FAST = {'prefill_s_per_token': 1e-5, 'decode_base_s': 0.002}
ROUTES = (
    settings_module.RouteSettings('POST', '/notice', True),
    settings_module.RouteSettings('POST', '/charge', False),
)


#: Address of this process's servers.  On the usual one a port that was found
#: free may be taken by a connection of another process before it is bound.
LOOPBACK = f'127.{os.getpid() % 190 + 50}.{os.getpid() // 190 % 250 + 1}.254'


def free_port():
    """Return a TCP port of the own loopback address that nobody uses."""
    with socket.socket() as probe:
        probe.bind((LOOPBACK, 0))
        return probe.getsockname()[1]


def hashed(key):
    """Return a caller's key as the table holds it."""
    return 'sha256:' + hashlib.sha256(key.encode()).hexdigest()


class MemoryStore(keyvalue.KeyValue):
    """A store in memory that can be made to fail.

    :ivar lose_reply: the next write takes effect without an answer
    :ivar down: nothing answers
    """

    def __init__(self):
        self.values = {}
        self.revision = 0
        self.down = False
        self.busy = 0
        self.lose_reply = False
        self.calls = 0

    def get(self, key):
        self.calls += 1
        if self.busy:
            self.busy -= 1
            return keyvalue.RateLimited(0.01)
        if self.down:
            return keyvalue.Unavailable('down')
        return self.values.get(key, keyvalue.Absent())

    def put(self, key, value, if_revision=None, lease=None):
        self.calls += 1
        gevent.sleep(0.001)
        if self.down:
            return keyvalue.Unavailable('down')
        present = self.values.get(key)
        revision = present.revision if present else 0
        if if_revision is not None and revision != if_revision:
            return keyvalue.Conflict(revision, present and present.value)
        self.revision += 1
        self.values[key] = keyvalue.Found(key, value, self.revision)
        if self.lose_reply:
            self.lose_reply = False
            return keyvalue.Unavailable('reply lost', maybe_applied=True)
        return keyvalue.Stored(self.revision)

    def delete(self, key, if_revision=None):
        raise NotImplementedError

    list_prefix = watch = grant_lease = keep_alive = revoke = close = delete


class Peers:
    """Hands records over by plain calls.

    :ivar lose_last_reply: the last batch arrives, its answer does not
    """

    def __init__(self, bench, host):
        self.bench = bench
        self.host = host
        self.lose_last_reply = False

    def handover(self, address, incarnation, records, last):
        for node in self.bench.nodes.values():
            own = node.callers.host_settings
            if f'{own.address}:{own.peer_port}' == address:
                taken = node.callers.receive_records(
                    self.host, incarnation, records, last
                )
                if last and self.lose_last_reply:
                    raise errors.HostUnreachable('reply lost')
                return taken
        raise errors.HostUnreachable(address)


class TestNode(typing.NamedTuple):
    """The tasks of the request path of one host."""

    callers: callers.Callers
    dispatcher: dispatch.Dispatcher
    status: callers.NodeStatus
    peers: Peers


class Reply(typing.NamedTuple):
    """An HTTP answer."""

    status: int
    headers: dict
    body: bytes

    def json(self):
        return json.loads(self.body)

    def error(self):
        """Return type and code of an error body."""
        error = self.json()['error']
        return error['type'], error['code']

    def text(self):
        """Return the answer's text, streamed or whole."""
        if b'data: ' not in self.body:
            return self.json()['choices'][0]['text']
        lines = self.body.decode().splitlines()
        events = [line[6:] for line in lines if line.startswith('data: {')]
        return ''.join(json.loads(e)['choices'][0]['text'] for e in events)


class Bench:
    """A small deployment; a context manager.

    :param hosts: number of nodes
    """

    def __init__(self, hosts=1, speeds=FAST):
        self.clock = clocks.SystemClock()
        self.engine_address = f'{LOOPBACK}:{free_port()}'
        self.service_address = f'{LOOPBACK}:{free_port()}'
        self.engine = engine.EngineStandIn(engine.Spec(speeds=speeds))
        self.service = service.ServiceStandIn(service.Spec())
        self.servers = [
            standin.Server(self.engine_address, self.engine.handle),
            standin.Server(self.service_address, self.service.handle),
        ]
        self.settings = self.make_settings(hosts)
        self.store = MemoryStore()
        self.table = mailbox.Topic(self.make_view())
        self.members = mailbox.Topic(self.make_members())
        self.nodes = {}
        self.successor = ''

    def make_settings(self, hosts):
        """Return the settings of the deployment."""
        rows = tuple(
            settings_module.HostSettings(
                f'host-{number}',
                'alm-medeu',
                LOOPBACK,
                free_port(),
                LOOPBACK,
                free_port(),
                free_port(),
            )
            for number in range(1, hosts + 1)
        )
        example = settings_module.load('examples/dala.json')
        model, plain = example.pools
        engines = (
            model.endpoints[0]._replace(
                name='engine-1', address=self.engine_address, role='decode'
            ),
        )
        servers = (
            plain.endpoints[0]._replace(
                name='portal-1', address=self.service_address
            ),
        )
        pools = (
            model._replace(endpoints=engines),
            plain._replace(endpoints=servers, routes=ROUTES),
        )
        return example._replace(hosts=rows, pools=pools)

    def make_view(self):
        """Return the table: two customers."""
        rows = {
            'lease': table.CustomerRow(keys=(hashed(KEY),)),
            'portal': table.CustomerRow(keys=(hashed(OTHER_KEY),)),
        }
        return table.View(1, rows, {}, {}, {})

    def make_members(self, **states):
        """Return the members; ``states`` are fields by host."""
        members = {}
        for row in self.settings.hosts:
            fields = states.get(row.name.replace('-', '_'), {})
            members[row.name] = membership.Member(
                row.name,
                7,
                row.address,
                row.caller_port,
                row.peer_port,
                row.failure_domain,
                takes_work=True,
            )._replace(**fields)
        return membership.MembersView(members)

    def __enter__(self):
        self.engine.start()
        for server in self.servers:
            server.start()
        for row in self.settings.hosts:
            self.start_node(row.name)
        return self

    def __exit__(self, *_):
        for node in list(self.nodes.values()):
            node.callers.stop(0.0)
            node.dispatcher.stop()
        for server in self.servers:
            server.wsgi.stop(timeout=0.01)

    def start_node(self, name):
        """Start one node."""
        rng = random.Random(name)
        status = callers.NodeStatus()
        status.fresh = True
        dispatcher = dispatch.Dispatcher(
            self.settings, self.clock, rng, self.table, self.members, name
        )
        peers = Peers(self, name)
        parts = requestdependencies.RequestDependencies(
            settings=self.settings,
            host=name,
            incarnation=7,
            clock=self.clock,
            rng=rng,
            table=self.table,
            members=self.members,
            store=self.store,
            peers=peers,
        )
        front = callers.Callers(parts, dispatcher, status)
        dispatcher.start()
        front.start()
        self.nodes[name] = TestNode(front, dispatcher, status, peers)

    def stop_node(self, name, deadline_s=5.0):
        """Stop a node gracefully; the others hear that it left."""
        node = self.nodes.pop(name)
        node.callers.stop(deadline_s)
        node.dispatcher.stop()
        self.successor = node.status.successor
        fields = {'state': 'left', 'successor': self.successor}
        self.members.publish(
            self.make_members(**{name.replace('-', '_'): fields})
        )

    def kill_node(self, name):
        """End a node at once; the others hear that it is dead."""
        node = self.nodes.pop(name)
        front = node.callers
        front.server.stop(timeout=0.0)
        front.server.pool.kill()
        for run in list(front.homes.runs.values()):
            run.greenlet.kill()
        front.ticker.kill()
        node.dispatcher.stop()
        fields = {name.replace('-', '_'): {'state': 'dead'}}
        self.members.publish(self.make_members(**fields))

    def address(self, name='host-1'):
        """Return a host's address for callers."""
        row = self.settings.host(name)
        return row.address, row.caller_port

    def call(self, method, path, body=None, host='host-1', **headers):
        """Make one HTTP call; header names are written with _ for -."""
        connection = http.client.HTTPConnection(*self.address(host), 20)
        fields = {'Authorization': f'Bearer {KEY}'}
        fields.update({k.replace('_', '-'): v for k, v in headers.items()})
        data = None if body is None else json.dumps(body)
        try:
            connection.request(method, path, data, fields)
            answer = connection.getresponse()
            return Reply(
                answer.status, dict(answer.getheaders()), answer.read()
            )
        finally:
            connection.close()

    def complete(self, tokens, host='host-1', prompt='p', stream=True, **more):
        """Ask for a completion of ``tokens`` tokens."""
        work = {
            'model': MODEL,
            'prompt': f'{prompt} answer-tokens:{tokens}',
            'max_tokens': 1000,
            'stream': stream,
        }
        return self.call('POST', '/v1/completions', work, host, **more)

    def ticket(self, host='host-1'):
        """Return a new ticket of a host."""
        return self.call('GET', '/v1/hosts', host=host).json()['ticket']

    def runs(self):
        """Return the ids of the requests that the engine has run."""
        rows = self.engine.ledger.rows
        return [row['id'] for row in rows if row['what'] == 'run']

    def service_runs(self):
        """Return the ids of the calls that the service has run."""
        rows = self.service.ledger.rows
        return [row['id'] for row in rows if row['what'] == 'run']


def answer_of(tokens, prompt='p'):
    """Return the whole answer that an engine gives."""
    text = f'{prompt} answer-tokens:{tokens}'
    return engine.answer_text(engine.digest(text), 0, tokens)
