"""Settings of a deployment: one JSON file, read once at start-up."""

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

    :param name: name that is passed to ``magnoliadyke node --host``.
    :param failure_domain: failure domain of the host.
    :param address: IPv4 address of the listeners for callers and peers.
    :param caller_port: TCP port for callers' requests.
    :param admin_address: IPv4 address of the admin listener.
    :param admin_port: TCP port of the admin listener.
    :param peer_port: TCP and UDP port for traffic between hosts.
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
    :param prefix: prefix of all keys of this deployment.
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
    :param failure_domain: failure domain of the endpoint.
    :param checks_fencing: whether it rejects commands that carry an outdated
        fencing token.
    :param role: initial role, ``prefill`` or ``decode``; ``''`` for a plain
        service.
    """

    name: str
    address: str
    failure_domain: str
    checks_fencing: bool
    role: str = ''


class RouteSettings(NamedTuple):
    """One route of a plain service.

    Calls that match no route are treated as not repeatable.

    :param method: HTTP method.
    :param path: exact path, or a prefix when it ends with ``*``.
    :param repeatable: whether a call is idempotent, so that it may be run a
        second time.
    """

    method: str
    path: str
    repeatable: bool


class PoolSettings(NamedTuple):
    """Endpoints that serve the same model or the same plain service.

    :param name: unique in the deployment.
    :param kind: ``model`` or ``service``.
    :param model: model name in callers' requests, ``''`` for a service.
    :param routes: routes of a service, empty for a model.
    :param endpoints: endpoints of the pool.
    :param model_bytes: size of the model's weights, which an engine fetches
        from the weight store to load the model.
    """

    name: str
    kind: str
    model: str
    routes: tuple[RouteSettings, ...]
    endpoints: tuple[EndpointSettings, ...]
    model_bytes: float = settings_schema.DEFAULT_MODEL_BYTES


class LimitSettings(NamedTuple):
    """Limits on callers' requests and connections.

    :param body_bytes: maximum size of a request body.
    :param read_s: maximum time for a caller to send a request, in seconds.
    :param write_stall_s: maximum time in which a caller reads none of its
        response, in seconds.
    :param idle_s: maximum idle time of an open connection, in seconds.
    :param connections: maximum number of open caller connections.
    :param answer_bytes: memory for responses retained for callers that send
        a request again.
    :param answer_keep_s: time for which responses are retained, in seconds.
    """

    body_bytes: int
    read_s: float
    write_stall_s: float
    idle_s: float
    connections: int
    answer_bytes: int
    answer_keep_s: float


class TimingSettings(NamedTuple):
    """Times that apply to all hosts of a deployment, in seconds.

    :param stop_s: maximum duration of a graceful shutdown.
    :param hosts_keep_s: time for which callers cache the list of hosts.
    :param stale_after_s: time without proof that its table is the newest
        revision, after which a host accepts no new requests.
    :param lease_ttl_s: time to live of a lease in the key-value service.
    """

    stop_s: float
    hosts_keep_s: float
    stale_after_s: float
    lease_ttl_s: float


class LoggingSettings(NamedTuple):
    """Settings of the log.

    :param level: minimum level of the events that are written.
    """

    level: str = 'INFO'


class MetricsSettings(NamedTuple):
    """Push export of metrics, in addition to the scrape on the admin listener.

    :param otlp_endpoint: URL that metrics are pushed to over OTLP, ``''`` to
        push none.
    :param export_s: interval between pushes, in seconds.
    """

    otlp_endpoint: str = ''
    export_s: float = 10.0


class Settings(NamedTuple):
    """All settings of a deployment.

    :param deployment: name of the deployment.
    :param failure_domains: names of all failure domains.
    :param hosts: hosts that the deployment starts with.
    :param keyvalue: the platform's key-value service.
    :param weight_store: the platform's weight store.
    :param host_list: the platform's list of hosts.
    :param pools: pools of model engines and of plain services.
    :param admin_token: ``sha256:HEX`` digest of the operators' token.
    :param limits: limits on callers' requests and connections.
    :param timing: times that apply to all hosts.
    :param logging: settings of the log.
    :param metrics: push export of metrics.
    :param initial_table: cells by sheet, row and column that are written when
        the store holds no table yet.
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
        """Return the settings of a host.

        :param name: name of the host.
        :raises UsageError: if the settings have no host of this name.
        """
        for host in self.hosts:
            if host.name == name:
                return host
        raise errors.UsageError(
            f'the settings have no host {name!r}',
            'use one of ' + ', '.join(host.name for host in self.hosts),
        )


def load(path: str | pathlib.Path) -> Settings:
    """Read and check a settings file.

    :param path: path of the file.
    :raises SettingsError: lists all problems of the file.
    """
    document, problems = _read(path)
    if not problems:
        problems = settings_checks.find_problems(document)
    if problems:
        raise errors.SettingsError(problems)
    return _build(document)


def check(path: str | pathlib.Path) -> list[Problem]:
    """Return all problems of a settings file.

    :param path: path of the file.
    """
    document, problems = _read(path)
    return problems or settings_checks.find_problems(document)


def parse(document: Mapping[str, Any]) -> Settings:
    """Check a decoded settings document and convert it.

    :param document: the settings as decoded from JSON.
    :raises SettingsError: lists all problems of the document.
    """
    problems = settings_checks.find_problems(document)
    if problems:
        raise errors.SettingsError(problems)
    return _build(document)


def _read(path: str | pathlib.Path) -> tuple[Any, list[Problem]]:
    repeated: list[Problem] = []

    def pairs(items: list[tuple[str, Any]]) -> dict[str, Any]:
        # The JSON decoder accepts a repeated key and keeps only its last
        # value, so a host would start without a part of its settings.
        found: dict[str, Any] = {}
        for key, value in items:
            if key in found:
                repeated.append(
                    Problem(key, '', 'key occurs twice', 'keep one of them')
                )
            found[key] = value
        return found

    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
        return json.loads(text, object_pairs_hook=pairs), repeated
    except OSError as error:
        what = f'cannot be read: {error.strerror}'
        remedy = 'give the path of a readable JSON file'
    except UnicodeDecodeError:
        what, remedy = 'is not UTF-8', 'save the file as UTF-8'
    except json.JSONDecodeError as error:
        what = f'is not JSON: {error.msg}'
        remedy = f'correct line {error.lineno}, column {error.colno}'
        if not error.doc.strip():
            what = 'is empty'
            remedy = 'write a JSON object with the settings'
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
