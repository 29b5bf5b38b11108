"""Cost of the control traffic of idle nodes, by size of the deployment."""

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
    """Return settings of a deployment with ``hosts`` hosts, as from JSON."""
    document = json.loads(EXAMPLE.read_text())
    template = document['hosts'][0]
    domains = document['failure_domains']
    document['hosts'] = [
        host_settings(template, number, domains) for number in range(hosts)
    ]
    return document


def host_settings(template, number, domains):
    """Return the settings of a host with a loopback address of its own.

    :param template: settings of another host
    :param number: index of the host
    :param domains: names of the failure domains
    """
    host = copy.deepcopy(template)
    address = f'127.0.1.{number + 1}'
    host['name'] = f'entry-{number + 1}'
    host['address'] = host['admin_address'] = address
    host['failure_domain'] = domains[number % len(domains)]
    return host


def probe(sizes, seconds, target):
    """Start deployments of several sizes and measure them while idle.

    :param sizes: numbers of nodes
    :param seconds: length of each measurement
    :param target: number of nodes to extrapolate the cost to
    :return: list of :class:`magnoliadyke.lab.slopes.Series`
    """
    points_by_name = {}
    for size in sizes:
        with tempfile.TemporaryDirectory() as directory:
            for name, value in measure_idle(size, seconds, directory).items():
                points_by_name.setdefault(name, []).append((size, value))
    units = {
        'processor': (
            '% of a core',
            'one probe per period, one watch on the store',
        ),
        'resident': ('MB', 'gevent, libraries and the code'),
        'peer bytes sent': ('bytes/s', 'bounded datagrams'),
        'store calls': ('calls/s of all nodes', 'one watch per node'),
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
    """Start one deployment and measure it.

    :return: means per node by name; `store calls` is the sum of all nodes
    """
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
    """Return the time and the present counters, summed over all nodes."""
    usage = [running.process_usage(name) for name in running.hosts]
    return {
        'at_s': time.monotonic(),
        'cpu_s': sum(each['cpu_s'] for each in usage),
        'resident_bytes': sum(each['resident_bytes'] for each in usage),
        'sent_bytes': sum(sent_bytes(running, name) for name in running.hosts),
        'store_calls': store_calls(running),
    }


def sent_bytes(running, name):
    """Return the bytes that a node sent to its peers, from its metrics.

    :raises LookupError: if the node does not report the metric
    """
    for line in fetch_metrics(running, name).splitlines():
        if line.startswith(PEER_BYTES_METRIC) and 'direction="sent"' in line:
            return float(line.rpartition(' ')[2])
    raise LookupError(f'{name} does not report {PEER_BYTES_METRIC}')


def fetch_metrics(running, name):
    """Return the text of a node's metrics page."""
    address = running.admin_address(name)
    headers = {'Authorization': f'Bearer {cluster.ADMIN_TOKEN}'}
    request = urllib.request.Request(
        f'http://{address}/metrics', None, headers
    )
    with urllib.request.urlopen(request, timeout=CALL_TIMEOUT_S) as answer:
        return answer.read().decode()


def store_calls(running):
    """Return the number of calls to the key-value stand-in."""
    status, body = cluster.call_json(
        running.address('keyvalue'), 'GET', '/ledger'
    )
    return sum(body['calls'].values())
