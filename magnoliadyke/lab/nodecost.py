"""What idle real nodes cost for control, at several sizes of deployment."""

import copy
import json
import pathlib
import tempfile
import time
import urllib.request

import gevent

from magnoliadyke.lab import cluster
from magnoliadyke.lab import slopes

__all__ = ['deployment', 'probe']

EXAMPLE = (
    pathlib.Path(__file__).parent.parent.parent / 'examples' / 'dala.json'
)
SETTLE_S = 5.0
CALL_TIMEOUT_S = 10.0
PEER_BYTES_METRIC = 'magnoliadyke_peer_bytes'


def deployment(hosts):
    """Settings of a deployment with so many hosts, as read from JSON."""
    document = json.loads(EXAMPLE.read_text())
    template = document['hosts'][0]
    domains = document['failure_domains']
    document['hosts'] = [
        host_settings(template, number, domains) for number in range(hosts)
    ]
    return document


def host_settings(template, number, domains):
    """One host, on an address of its own."""
    host = copy.deepcopy(template)
    address = f'127.0.1.{number + 1}'
    host['name'] = f'entry-{number + 1}'
    host['address'] = host['admin_address'] = address
    host['failure_domain'] = domains[number % len(domains)]
    return host


def probe(sizes, seconds, target):
    """Start deployments of several sizes and watch them while idle.

    :param sizes: numbers of nodes
    :param seconds: how long each is watched
    :param target: number of nodes to work the cost out for
    :return: list of :class:`magnoliadyke.lab.slopes.Series`
    """
    points_by_name = {}
    for size in sizes:
        with tempfile.TemporaryDirectory() as directory:
            for name, value in measure_idle(size, seconds, directory).items():
                points_by_name.setdefault(name, []).append((size, value))
    units = {
        'processor': ('% of a core', 'one probe a period, one watch'),
        'resident': ('MB', 'gevent, libraries and the code itself'),
        'peer bytes sent': ('bytes/s', 'bounded datagrams'),
        'store calls': ('calls/s of all nodes', 'one watch a node'),
    }
    return [
        slopes.Series(
            'node',
            f'idle: {name}',
            unit,
            'nodes',
            points_by_name[name],
            target,
            mechanism,
        )
        for name, (unit, mechanism) in units.items()
    ]


def measure_idle(size, seconds, directory):
    """Start one deployment; figures per node, and of the store as a whole."""
    options = cluster.Options(directory=directory)
    with cluster.Cluster(deployment(size), options) as running:
        running.start()
        gevent.sleep(SETTLE_S)
        before = read_counters(running)
        gevent.sleep(seconds)
        after = read_counters(running)
    elapsed_s = after['at_s'] - before['at_s']
    rate = {
        name: (after[name] - before[name]) / elapsed_s
        for name in ('cpu_s', 'sent_bytes', 'store_calls')
    }
    return {
        'processor': 100 * rate['cpu_s'] / size,
        'resident': after['resident_bytes'] / size / 1e6,
        'peer bytes sent': rate['sent_bytes'] / size,
        'store calls': rate['store_calls'],
    }


def read_counters(running):
    """Sums over all nodes now."""
    usage = [running.usage(name) for name in running.hosts]
    return {
        'at_s': time.monotonic(),
        'cpu_s': sum(each['cpu_s'] for each in usage),
        'resident_bytes': sum(each['resident_bytes'] for each in usage),
        'sent_bytes': sum(sent_bytes(running, name) for name in running.hosts),
        'store_calls': store_calls(running),
    }


def sent_bytes(running, name):
    """Bytes that a node has sent to its peers, by its own metrics."""
    for line in fetch_metrics(running, name).splitlines():
        if line.startswith(PEER_BYTES_METRIC) and 'direction="sent"' in line:
            return float(line.rpartition(' ')[2])
    raise LookupError(f'{name} does not report {PEER_BYTES_METRIC}')


def fetch_metrics(running, name):
    """The metrics page of a node."""
    address = running.admin_address(name)
    headers = {'Authorization': f'Bearer {cluster.ADMIN_TOKEN}'}
    request = urllib.request.Request(
        f'http://{address}/metrics', None, headers
    )
    with urllib.request.urlopen(request, timeout=CALL_TIMEOUT_S) as answer:
        return answer.read().decode()


def store_calls(running):
    """Calls that the key-value stand-in has counted."""
    status, body = cluster.call_json(
        running.address('keyvalue'), 'GET', '/ledger'
    )
    return sum(body['calls'].values())
