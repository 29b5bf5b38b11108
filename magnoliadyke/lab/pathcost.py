"""Measure the latency and CPU time that a node adds to a request."""

import json
import pathlib
import sys
import tempfile
import time
import typing

import docopt
import gevent
from gevent import socket

from magnoliadyke.lab import cluster

__all__ = ['main', 'measure']

USAGE = """Cost of the path through one node, compared with direct calls.

Usage:
  pathcost [--seconds=S] [--streams=LIST] [--requests=N] [--run=N]

Options:
  --seconds=S      length of each measurement [default: 6]
  --streams=LIST   numbers of parallel streams [default: 1,50,500]
  --requests=N     number of short requests in each measurement of the
                   cost of a request [default: 400]
  --run=N          second octet of the 127.x addresses [default: 201]
"""
EXAMPLE = pathlib.Path(__file__).parents[2] / 'examples' / 'dala.json'
TOKEN_INTERVAL_S = 0.05
ENGINE_SPEEDS = {
    'prefill_s_per_token': 1e-6,
    'decode_base_s': TOKEN_INTERVAL_S,
    'decode_s_per_stream': 0.0,
    'max_batch': 1024,
    'kv_capacity_tokens': 100_000_000,
}
EVENT_PREFIX = b'data: {"offset"'
HEAD_END = b'\r\n\r\n'
CUSTOMER = 'lease'
MODEL = 'lease-model'
SERVICE = 'portal'
WARM_UP_S = 1.5
CONCURRENT_REQUESTS = 8
ENGINES = 10


class StreamSample(typing.NamedTuple):
    """Latency of one stream at the caller.

    :param time_to_first_token_s: time from the request to its first token
    :param gaps_s: times between consecutive reads that returned tokens
    """

    time_to_first_token_s: float
    gaps_s: list


def request_bytes(path, body, headers):
    """Return the bytes of an HTTP POST request.

    :param headers: mapping of additional headers
    """
    lines = [f'POST {path} HTTP/1.1', 'Host: lab', 'Connection: close']
    lines += [f'{name}: {value}' for name, value in headers.items()]
    lines.append(f'Content-Length: {len(body)}')
    return ('\r\n'.join(lines) + '\r\n\r\n').encode() + body


class Reader:
    """Reads streams with little CPU load, to leave the CPU to the node.

    :ivar tokens: tokens of all streams so far
    :ivar samples: :class:`StreamSample` of each stream that had a token
    """

    def __init__(self):
        self.tokens = 0
        self.samples = []

    def read_stream(self, address, data, end_s):
        """Send one request and count its tokens until it or the time ends.

        :param data: bytes of the request
        :param end_s: monotonic time at which to close the connection
        """
        host, _, port = address.rpartition(':')
        start_s = time.monotonic()
        connection = socket.create_connection((host, int(port)))
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection.sendall(data)
        time_to_first_token_s, last_s, gaps_s = None, None, []
        while time.monotonic() < end_s:
            received = connection.recv(65536)
            if not received:
                break
            tokens = received.count(EVENT_PREFIX)
            if not tokens:
                continue
            now_s = time.monotonic()
            self.tokens += tokens
            if time_to_first_token_s is None:
                time_to_first_token_s = now_s - start_s
            else:
                gaps_s.append(now_s - last_s)
            last_s = now_s
        connection.close()
        if time_to_first_token_s is not None:
            self.samples.append(StreamSample(time_to_first_token_s, gaps_s))


class Bench:
    """Load generator for one node and the engines behind it.

    :param running: started :class:`cluster.Cluster` of one host
    """

    def __init__(self, running):
        self.cluster = running
        (self.host,) = running.hosts
        self.node = running.caller_address(self.host)
        self.engines = [
            running.address(name)
            for name in running.endpoints
            if running.pool_of(name)['kind'] == 'model'
        ]
        self.number = 0
        self.ticket = ''

    def cpu_s(self):
        """Return the CPU seconds that the node has used so far."""
        return self.cluster.process_usage(self.host)['cpu_s']

    def idle_cpu_share(self, seconds):
        """Return the share of a core that the idle node uses."""
        before_s = self.cpu_s()
        gevent.sleep(seconds)
        return (self.cpu_s() - before_s) / seconds

    def completion_body(self, tokens):
        """Return the body of a completion request with ``tokens`` tokens."""
        self.number += 1
        return {
            'id': f'cost-{self.number}',
            'model': MODEL,
            'prompt': f'request {self.number} answer-tokens:{tokens}',
            'max_tokens': tokens,
            'stream': True,
        }

    def direct_request(self, tokens):
        """Return address and bytes of a completion request to an engine."""
        body = json.dumps(self.completion_body(tokens)).encode()
        engine = self.engines[self.number % len(self.engines)]
        return engine, request_bytes('/v1/completions', body, {})

    def node_request(self, tokens, key=''):
        """Return address and bytes of a completion request to the node.

        :param tokens: number of output tokens
        :param key: idempotency key, or '' for none
        """
        body = json.dumps(self.completion_body(tokens)).encode()
        headers = {'Authorization': f'Bearer {cluster.caller_key(CUSTOMER)}'}
        if key:
            headers['Idempotency-Key'] = key
        return self.node, request_bytes('/v1/completions', body, headers)

    def read_streams(self, make_request, count, seconds):
        """Read ``count`` parallel streams for ``seconds``.

        :param make_request: method that returns address and bytes of a
            request, by its number of tokens
        :return: the :class:`Reader`
        """
        reader = Reader()
        end_s = time.monotonic() + seconds
        greenlets = []
        for number in range(count):
            address, data = make_request(tokens_lasting(seconds))
            greenlets.append(
                gevent.spawn(reader.read_stream, address, data, end_s)
            )
            if number % 20 == 19:
                gevent.sleep(0.01)
        gevent.joinall(greenlets)
        return reader

    def stream_cost(self, count, seconds):
        """Measure ``count`` parallel streams, directly and through the node.

        :return: mapping for JSON
        """
        direct = self.read_streams(self.direct_request, count, seconds)
        gevent.sleep(0.5)
        reader = Reader()
        end_s = time.monotonic() + WARM_UP_S + seconds
        for _ in range(count):
            tokens = tokens_lasting(WARM_UP_S + seconds)
            address, data = self.node_request(tokens)
            gevent.spawn(reader.read_stream, address, data, end_s)
        gevent.sleep(WARM_UP_S)
        cpu_s, tokens, start_s = self.cpu_s(), reader.tokens, time.monotonic()
        gevent.sleep(end_s - 0.1 - time.monotonic())
        elapsed_s = time.monotonic() - start_s
        cpu_s, tokens = self.cpu_s() - cpu_s, reader.tokens - tokens
        gevent.sleep(1.0)
        return {
            'streams': count,
            'tokens_per_s': round(tokens / elapsed_s, 1),
            'node_core_share': round(cpu_s / elapsed_s, 4),
            'node_cpu_us_per_token': round(1e6 * cpu_s / max(1, tokens), 1),
            'node': summary(reader.samples),
            'direct': summary(direct.samples),
        }

    def store_cost(self, make_request, count, concurrent):
        """Measure short requests and the store calls that they cause.

        :param make_request: see :meth:`read_streams`
        :param count: number of requests
        :param concurrent: number of requests in flight
        :return: mapping for JSON
        """
        before = self.store_calls()
        figures = self.request_cost(make_request, count, concurrent)
        after = self.store_calls()
        made = {
            kind: after.get(kind, 0) - before.get(kind, 0)
            for kind in ('get', 'put')
        }
        figures['concurrent'] = concurrent
        figures['store_calls'] = made
        figures['store_calls_per_request'] = round(
            sum(made.values()) / figures['requests'], 3
        )
        return figures

    def store_calls(self):
        """Return the number of calls to the store so far, by kind."""
        address = self.cluster.address('keyvalue')
        return cluster.call_json(address, 'GET', '/ledger')[1]['calls']

    def foreign_request(self, tokens):
        """Return a request with a foreign key, which the node claims first."""
        return self.node_request(tokens, f'order {self.number}')

    def ticket_request(self, tokens):
        """Return a request with a key made from a ticket."""
        if not self.ticket:
            answer = cluster.call_json(self.node, 'GET', '/v1/hosts')[1]
            self.ticket = answer['ticket']
        return self.node_request(tokens, f'{self.ticket}/{self.number}')

    def request_cost(
        self, make_request, count, concurrent=CONCURRENT_REQUESTS
    ):
        """Measure short requests, ``concurrent`` of them in flight.

        :param make_request: see :meth:`read_streams`
        :param count: number of requests
        :return: mapping for JSON
        """
        durations_s = []

        def send_some(number):
            for _ in range(number):
                address, data = make_request(1)
                start_s = time.monotonic()
                send_and_read(address, data)
                durations_s.append(time.monotonic() - start_s)

        cpu_s, start_s = self.cpu_s(), time.monotonic()
        each = count // concurrent
        gevent.joinall(
            [gevent.spawn(send_some, each) for _ in range(concurrent)],
            raise_error=True,
        )
        elapsed_s = time.monotonic() - start_s
        return {
            'requests': len(durations_s),
            'requests_per_s': round(len(durations_s) / elapsed_s, 1),
            'node_cpu_us': round(
                1e6 * (self.cpu_s() - cpu_s) / len(durations_s), 1
            ),
            'ms_p50': milliseconds(durations_s, 0.5),
            'ms_p99': milliseconds(durations_s, 0.99),
        }

    def measure(self, seconds, streams, requests):
        """Measure the idle node, then short requests, then streams.

        :param seconds: length of each measurement of streams
        :param streams: numbers of parallel streams
        :param requests: number of short requests
        :return: mapping for JSON
        """
        return {
            'idle_core_share': round(self.idle_cpu_share(3.0), 4),
            'completion_direct': self.request_cost(
                self.direct_request, requests
            ),
            'completion': self.request_cost(self.node_request, requests),
            'service': self.request_cost(self.service_request, requests),
            'ticket_keys': self.store_cost(
                self.ticket_request, requests, CONCURRENT_REQUESTS
            ),
            'foreign_keys': [
                self.store_cost(self.foreign_request, requests, concurrent)
                for concurrent in (
                    1,
                    CONCURRENT_REQUESTS,
                    8 * CONCURRENT_REQUESTS,
                )
            ],
            'streams': [self.stream_cost(count, seconds) for count in streams],
        }

    def service_request(self, _):
        """Return address and bytes of a request to a plain service."""
        headers = {'Authorization': f'Bearer {cluster.caller_key(CUSTOMER)}'}
        path = f'/v1/services/{SERVICE}/balance'
        return self.node, request_bytes(path, b'{}', headers)


def tokens_lasting(seconds):
    """Return the number of tokens of a stream that outlasts ``seconds``."""
    return int((seconds + 1.0) / TOKEN_INTERVAL_S)


def send_and_read(address, data):
    """Send a request and read its response until the connection closes.

    :raises RuntimeError: if the status is not 200
    """
    host, _, port = address.rpartition(':')
    connection = socket.create_connection((host, int(port)))
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    connection.sendall(data)
    answer = b''
    while True:
        received = connection.recv(65536)
        if not received:
            break
        answer += received
    connection.close()
    if b' 200 ' not in answer[:16]:
        raise RuntimeError(answer[:300].decode('latin-1'))


def percentile(values, quantile):
    """Return a quantile (0 to 1) of the values, 0 if there are none."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(quantile * len(ordered)))]


def milliseconds(values_s, quantile):
    """Return a quantile of seconds, in milliseconds."""
    return round(1000 * percentile(values_s, quantile), 2)


def summary(samples):
    """Return percentiles of the latency of streams, as a mapping for JSON.

    The first 20 gaps of a stream are left out.
    """
    times_to_first_token_s = [
        sample.time_to_first_token_s for sample in samples
    ]
    gaps_s = [gap_s for sample in samples for gap_s in sample.gaps_s[20:]]
    return {
        'streams': len(samples),
        'first_token_ms_p50': milliseconds(times_to_first_token_s, 0.5),
        'first_token_ms_p99': milliseconds(times_to_first_token_s, 0.99),
        'gap_ms_p50': milliseconds(gaps_s, 0.5),
        'gap_ms_p99': milliseconds(gaps_s, 0.99),
    }


def prepare_for_streams(document):
    """Remove the limits that would restrict the streams.

    Every pool of engines gets decode engines only, and the customer gets high
    limits of concurrent and queued requests.

    :param document: settings of the sample deployment, as read from JSON;
        changed in place
    :return: the document
    """
    rows = document['initial_table']
    rows['customers'][CUSTOMER].update(
        concurrency=100_000, queue_limit=10_000, first_token_s=60.0
    )
    rows['pools'] = {MODEL: {'planning': 'fixed', 'min_prefill': 0}}
    for pool in document['pools']:
        if pool['kind'] == 'model':
            first = pool['endpoints'][0]
            pool['endpoints'] = [
                {
                    **first,
                    'name': f'engine-{number}',
                    'address': f'127.0.2.{number}:7100',
                    'role': 'decode',
                }
                for number in range(1, ENGINES + 1)
            ]
    return document


def measure(seconds, streams, requests, run):
    """Start a deployment of one host and run all measurements.

    :param seconds: length of each measurement of streams
    :param streams: numbers of parallel streams
    :param requests: number of short requests
    :param run: second octet of the loopback addresses
    :return: mapping for JSON
    """
    document = prepare_for_streams(json.loads(EXAMPLE.read_text()))
    with tempfile.TemporaryDirectory() as directory:
        options = cluster.Options(
            run=run,
            directory=directory,
            engine={'speeds': ENGINE_SPEEDS, 'queue_limit': 10_000},
            hosts=1,
        )
        with cluster.Cluster(document, options) as running:
            running.start()
            bench = Bench(running)
            return bench.measure(seconds, streams, requests)


def main(argv):
    """Run all measurements and print their figures as JSON.

    :param argv: arguments without the program's name
    :return: exit status
    """
    arguments = docopt.docopt(USAGE, argv)
    figures = measure(
        float(arguments['--seconds']),
        [int(each) for each in arguments['--streams'].split(',')],
        int(arguments['--requests']),
        int(arguments['--run']),
    )
    print(json.dumps(figures, indent=1))
    return 0


if __name__ == '__main__':
    from gevent import monkey

    monkey.patch_all()
    sys.exit(main(sys.argv[1:]))
