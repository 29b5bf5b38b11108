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
METRIC = 'magnoliadyke_peer_bytes'


def deployment(hosts):
    """Settings of a deployment with so many hosts, as read from JSON."""
    document = json.loads(EXAMPLE.read_text())
    model = document['hosts'][0]
    domains = document['failure_domains']
    document['hosts'] = [
        host_of(model, number, domains) for number in range(hosts)
    ]
    return document


def host_of(model, number, domains):
    """One host, on an address of its own."""
    host = copy.deepcopy(model)
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
    taken = {}
    for size in sizes:
        with tempfile.TemporaryDirectory() as directory:
            for name, value in watch(size, seconds, directory).items():
                taken.setdefault(name, []).append((size, value))
    units = {
        'processor': ('% of a core', 'one probe a period, one watch'),
        'resident': ('MB', 'gevent, libraries and the code itself'),
        'peer bytes sent': ('bytes/s', 'bounded datagrams'),
        'store calls': ('calls/s of all nodes', 'one watch a node'),
    }
    return [
        slopes.Series(
            'node', f'idle: {name}', unit, 'nodes', taken[name], target, how
        )
        for name, (unit, how) in units.items()
    ]


def watch(size, seconds, directory):
    """Start one deployment; figures per node, and of the store as a whole."""
    options = cluster.Options(directory=directory)
    with cluster.Cluster(deployment(size), options) as running:
        running.start()
        gevent.sleep(SETTLE_S)
        before = reading(running)
        gevent.sleep(seconds)
        after = reading(running)
    passed_s = after['at_s'] - before['at_s']
    rate = {
        name: (after[name] - before[name]) / passed_s
        for name in ('cpu_s', 'sent_bytes', 'store_calls')
    }
    return {
        'processor': 100 * rate['cpu_s'] / size,
        'resident': after['resident_bytes'] / size / 1e6,
        'peer bytes sent': rate['sent_bytes'] / size,
        'store calls': rate['store_calls'],
    }


def reading(running):
    """Sums over all nodes now."""
    usage = [running.process_usage(name) for name in running.hosts]
    return {
        'at_s': time.monotonic(),
        'cpu_s': sum(each['cpu_s'] for each in usage),
        'resident_bytes': sum(each['resident_bytes'] for each in usage),
        'sent_bytes': sum(sent_bytes(running, name) for name in running.hosts),
        'store_calls': store_calls(running),
    }


def sent_bytes(running, name):
    """Bytes that a node has sent to its peers, by its own metrics."""
    for line in metrics_of(running, name).splitlines():
        if line.startswith(METRIC) and 'direction="sent"' in line:
            return float(line.rpartition(' ')[2])
    raise LookupError(f'{name} does not report {METRIC}')


def metrics_of(running, name):
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
