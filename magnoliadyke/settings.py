"""Settings of a deployment: one JSON file, read once at the start."""

import json
import pathlib
from typing import Any
from typing import Mapping
from typing import NamedTuple

from magnoliadyke import errors
from magnoliadyke import settings_checks
from magnoliadyke import settings_schema

__all__ = [
    'EndpointSettings',
    'HostListSettings',
    'HostSettings',
    'KeyValueSettings',
    'LimitSettings',
    'LoggingSettings',
    'MetricsSettings',
    'PoolSettings',
    'Problem',
    'RouteSettings',
    'Settings',
    'TimingSettings',
    'WeightStoreSettings',
    'check',
    'load',
    'parse',
]


Problem = settings_checks.Problem


class HostSettings(NamedTuple):
    """One host of the system.

    :param name: name that ``--host`` chooses it by.
    :param failure_domain: where it stands.
    :param address: IP number for callers and peers.
    :param caller_port: TCP port for callers.
    :param admin_address: IP number for operators.
    :param admin_port: TCP port for operators.
    :param peer_port: TCP and UDP port for the other hosts.
    """

    name: str
    failure_domain: str
    address: str
    caller_port: int
    admin_address: str
    admin_port: int
    peer_port: int


class KeyValueSettings(NamedTuple):
    """The platform's key-value service.

    :param address: ``IP:PORT``.
    :param prefix: start of every key of this deployment.
    """

    address: str
    prefix: str


class WeightStoreSettings(NamedTuple):
    """The platform's weight store.

    :param address: ``IP:PORT``.
    """

    address: str


class HostListSettings(NamedTuple):
    """The platform's list of hosts.

    :param address: ``IP:PORT``.
    """

    address: str


class EndpointSettings(NamedTuple):
    """One model engine or one server of a plain service.

    :param name: unique in the deployment.
    :param address: ``IP:PORT``.
    :param failure_domain: where it stands.
    :param checks_fencing: whether it refuses an old fencing number.
    :param role: role at the start, ``''`` for a plain service.
    """

    name: str
    address: str
    failure_domain: str
    checks_fencing: bool
    role: str = ''


class RouteSettings(NamedTuple):
    """One route of a plain service; a call to any other is not repeatable.

    :param method: HTTP method.
    :param path: exact path, or a prefix when it ends with ``*``.
    :param repeatable: whether a call may run a second time.
    """

    method: str
    path: str
    repeatable: bool


class PoolSettings(NamedTuple):
    """Endpoints that serve the same model or the same plain service.

    :param name: unique in the deployment.
    :param kind: ``model`` or ``service``.
    :param model: model that callers name, ``''`` for a service.
    :param routes: routes of a service.
    :param endpoints: its endpoints.
    :param model_bytes: what a load of the model takes from the weight store.
    """

    name: str
    kind: str
    model: str
    routes: tuple[RouteSettings, ...]
    endpoints: tuple[EndpointSettings, ...]
    model_bytes: float = settings_schema.DEFAULT_MODEL_BYTES


class LimitSettings(NamedTuple):
    """Bounds towards callers.

    :param body_bytes: largest request body.
    :param read_s: longest time for a caller to send a request.
    :param write_stall_s: longest time without progress of a caller's reading.
    :param idle_s: longest idle time of an open connection.
    :param connections: most open caller connections.
    :param answer_bytes: memory for answers kept for callers that resend.
    :param answer_keep_s: time for which they are kept.
    """

    body_bytes: int
    read_s: float
    write_stall_s: float
    idle_s: float
    connections: int
    answer_bytes: int
    answer_keep_s: float


class TimingSettings(NamedTuple):
    """Times that the hosts of a deployment share.

    :param stop_s: longest graceful stop.
    :param hosts_keep_s: time for which callers keep the list of hosts.
    :param stale_after_s: time without any proof that the table is fresh,
        after which a host takes no new work.
    :param lease_ttl_s: lease life in the key-value service.
    """

    stop_s: float
    hosts_keep_s: float
    stale_after_s: float
    lease_ttl_s: float


class LoggingSettings(NamedTuple):
    """What is logged.

    :param level: lowest level that is written.
    """

    level: str = 'INFO'


class MetricsSettings(NamedTuple):
    """Where metrics go, beside the scrape on the admin listener.

    :param otlp_endpoint: URL that metrics are pushed to, ``''`` for none.
    :param export_s: time between pushes.
    """

    otlp_endpoint: str = ''
    export_s: float = 10.0


class Settings(NamedTuple):
    """All settings of a deployment.

    :param deployment: its name.
    :param failure_domains: names of its failure domains.
    :param hosts: hosts that it starts from.
    :param keyvalue: the platform's key-value service.
    :param weight_store: the platform's weight store.
    :param host_list: the platform's list of hosts.
    :param pools: models and plain services.
    :param admin_token: ``sha256:HEX`` of the operators' token.
    :param limits: bounds towards callers.
    :param timing: shared times.
    :param logging: what is logged.
    :param metrics: where metrics go.
    :param initial_table: sheet, row, column and value of the cells that are
        written when the store holds no table yet.
    """

    deployment: str
    failure_domains: tuple[str, ...]
    hosts: tuple[HostSettings, ...]
    keyvalue: KeyValueSettings
    weight_store: WeightStoreSettings
    host_list: HostListSettings
    pools: tuple[PoolSettings, ...]
    admin_token: str
    limits: LimitSettings
    timing: TimingSettings
    logging: LoggingSettings
    metrics: MetricsSettings
    initial_table: Mapping[str, Mapping[str, Mapping[str, Any]]]

    def host(self, name: str) -> HostSettings:
        """Find a host.

        :param name: its name.
        :raises UsageError: if the settings name no such host.
        """
        for host in self.hosts:
            if host.name == name:
                return host
        raise errors.UsageError(
            f'the settings name no host {name!r}',
            'use one of ' + ', '.join(host.name for host in self.hosts),
        )


def load(path: str | pathlib.Path) -> Settings:
    """Read and check a settings file.

    :param path: the file.
    :raises SettingsError: with all problems, if there is any.
    """
    document, problems = _read(path)
    if not problems:
        problems = settings_checks.find_problems(document)
    if problems:
        raise errors.SettingsError(problems)
    return _build(document)


def check(path: str | pathlib.Path) -> list[Problem]:
    """Find all problems of a settings file; start nothing.

    :param path: the file.
    """
    document, problems = _read(path)
    return problems or settings_checks.find_problems(document)


def parse(document: Mapping[str, Any]) -> Settings:
    """Check settings that are in memory already.

    :param document: the settings as read from JSON.
    :raises SettingsError: with all problems, if there is any.
    """
    problems = settings_checks.find_problems(document)
    if problems:
        raise errors.SettingsError(problems)
    return _build(document)


def _read(path: str | pathlib.Path) -> tuple[Any, list[Problem]]:
    repeated: list[Problem] = []

    def pairs(items: list[tuple[str, Any]]) -> dict[str, Any]:
        # A key that stands twice is legal JSON and the last one wins in
        # silence: a host would start with half of what its file says.
        found: dict[str, Any] = {}
        for key, value in items:
            if key in found:
                repeated.append(
                    Problem(key, '', 'key stands twice', 'keep one of them')
                )
            found[key] = value
        return found

    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
        return json.loads(text, object_pairs_hook=pairs), repeated
    except OSError as error:
        what, remedy = error.strerror, 'name a file that can be read'
    except UnicodeDecodeError:
        what, remedy = 'not UTF-8', 'save the file as UTF-8'
    except json.JSONDecodeError as error:
        what = f'not JSON: {error.msg}'
        remedy = f'correct line {error.lineno}, column {error.colno}'
    return None, [Problem('$', str(path), what, remedy)]


def _build(document: Mapping[str, Any]) -> Settings:
    limits = settings_schema.DEFAULT_LIMITS | document.get('limits', {})
    timing = settings_schema.DEFAULT_TIMING | document.get('timing', {})
    return Settings(
        deployment=document['deployment'],
        failure_domains=tuple(document['failure_domains']),
        hosts=tuple(HostSettings(**host) for host in document['hosts']),
        keyvalue=KeyValueSettings(**document['keyvalue']),
        weight_store=WeightStoreSettings(**document['weight_store']),
        host_list=HostListSettings(**document['host_list']),
        pools=tuple(_build_pool(pool) for pool in document['pools']),
        admin_token=document['admin_token'],
        limits=LimitSettings(**limits),
        timing=TimingSettings(**timing),
        logging=LoggingSettings(**document.get('logging', {})),
        metrics=MetricsSettings(**document.get('metrics', {})),
        initial_table=document.get('initial_table', {}),
    )


def _build_pool(pool: Mapping[str, Any]) -> PoolSettings:
    return PoolSettings(
        name=pool['name'],
        kind=pool['kind'],
        model=pool.get('model', ''),
        routes=tuple(
            RouteSettings(**route) for route in pool.get('routes', ())
        ),
        endpoints=tuple(
            EndpointSettings(**endpoint) for endpoint in pool['endpoints']
        ),
        model_bytes=pool.get(
            'model_bytes', settings_schema.DEFAULT_MODEL_BYTES
        ),
    )
