"""Addresses, names and settings of the processes of a lab run."""

import copy
import hashlib
import json
import typing

__all__ = [
    'ADMIN_TOKEN',
    'Layout',
    'Options',
    'PLATFORM',
    'caller_key',
    'derive_settings',
]

ADMIN_TOKEN = 'lab-admin-token'
PLATFORM = ('keyvalue', 'weight_store', 'host_list')
PROXY_PORT = 7900
PROXY_CONTROL_PORT = 7901


class Options(typing.NamedTuple):
    """Options of a cluster.

    :param run: second number of its addresses 127.x.y.z, 1 to 254, different
        for clusters that run at the same time; 0 for any free one
    :param directory: for logs, ledgers and the settings file; a new temporary
        one when empty
    :param proxied: whether traffic of the nodes passes the fault proxy
    :param engine: settings of the engine stand-ins, besides their role
    :param service: settings of the service stand-ins
    :param keyvalue: settings of the key-value stand-in
    :param host_list: settings of the stand-in of the host list
    :param hosts: number of the deployment's hosts to start; 0 for all
    """

    run: int = 0
    directory: str = ''
    proxied: bool = False
    engine: typing.Mapping[str, typing.Any] = {}
    service: typing.Mapping[str, typing.Any] = {}
    keyvalue: typing.Mapping[str, typing.Any] = {}
    host_list: typing.Mapping[str, typing.Any] = {}
    hosts: int = 0


class Layout:
    """Names and addresses of a deployment's processes.

    :param settings: result of :func:`derive_settings`
    :param options: :class:`Options`
    :param directory: path for the ledgers
    """

    def __init__(self, settings, options, directory):
        self.settings = settings
        self.options = options
        self.directory = directory
        self.hosts = {host['name']: host for host in settings['hosts']}
        self.endpoints = {
            endpoint['name']: endpoint
            for pool in settings['pools']
            for endpoint in pool['endpoints']
        }
        self.names = self.names_by_address()

    def names_by_address(self):
        """Map ``ip:port`` to the name of the process that listens there."""
        names = {e['address']: e['name'] for e in self.endpoints.values()}
        for name in PLATFORM:
            names[self.settings[name]['address']] = name
        for host in self.hosts.values():
            for port in ('caller_port', 'peer_port'):
                names[f'{host["address"]}:{host[port]}'] = host['name']
        return names

    def caller_address(self, host):
        """``ip:port`` of a host's listener for callers."""
        row = self.hosts[host]
        return f'{row["address"]}:{row["caller_port"]}'

    def admin_address(self, host):
        """``ip:port`` of a host's admin listener."""
        row = self.hosts[host]
        return f'{row["admin_address"]}:{row["admin_port"]}'

    def address(self, name):
        """``ip:port`` of a stand-in."""
        if name in PLATFORM:
            return self.settings[name]['address']
        return self.endpoints[name]['address']

    def proxy_address(self):
        """``ip:port`` of the fault proxy."""
        return f'127.{self.options.run}.250.1:{PROXY_PORT}'

    def control_address(self):
        """``ip:port`` of the fault proxy's control port."""
        return f'127.{self.options.run}.250.1:{PROXY_CONTROL_PORT}'

    def stand_in_spec(self, name):
        """Lab verb that runs a stand-in, and the settings of the stand-in."""
        ledger = str(self.directory / f'{name}.ledger')
        if name == 'keyvalue':
            return name, {'ledger': ledger, **self.options.keyvalue}
        if name == 'host_list':
            rows = [host_row(host) for host in self.hosts.values()]
            return 'hostlist', {'hosts': rows, **self.options.host_list}
        if name == 'weight_store':
            return 'weights', {}
        pool = self.pool_of(name)
        spec = {'name': name, 'ledger': ledger}
        if pool['kind'] == 'service':
            return 'service', {**spec, **self.options.service}
        endpoint = self.endpoints[name]
        spec.update(
            role=endpoint['role'],
            checks_fencing=endpoint['checks_fencing'],
            models=[pool['model']],
        )
        return 'engine', {**spec, **self.options.engine}

    def pool_of(self, endpoint):
        """Settings of the pool of an endpoint.

        :raises KeyError: for an unknown endpoint
        """
        for pool in self.settings['pools']:
            for row in pool['endpoints']:
                if row['name'] == endpoint:
                    return pool
        raise KeyError(endpoint)


def derive_settings(document, options):
    """Derive a run's settings, with its own addresses and the lab's secrets.

    :param document: settings of the deployment
    :param options: :class:`Options`
    """
    text = json.dumps(document).replace('"127.0.', f'"127.{options.run}.')
    settings = copy.deepcopy(json.loads(text))
    if options.hosts:
        settings['hosts'] = settings['hosts'][: options.hosts]
    settings['admin_token'] = hash_secret(ADMIN_TOKEN)
    customers = settings['initial_table']['customers']
    for name, row in customers.items():
        row['keys'] = [hash_secret(caller_key(name))]
    return settings


def caller_key(customer):
    """API key of a customer in lab runs."""
    return f'lab-key-{customer}'


def hash_secret(secret):
    """Digest of a secret, as settings and table hold it."""
    return 'sha256:' + hashlib.sha256(secret.encode()).hexdigest()


def host_row(host):
    """A host's row in the platform's host list."""
    return {
        'host': host['name'],
        'state': 'live',
        'address': host['address'],
    }
