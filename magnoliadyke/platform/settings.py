"""Settings of a host, read from the JSON file that the platform writes."""

import json
import os
from typing import Any
from typing import Callable
from typing import NamedTuple

from magnoliadyke import errors
from magnoliadyke.gateway import fields as typed

__all__ = ['DutySettings', 'NodeSettings', 'Problem', 'load', 'parse']

#: Environment variable with the path of the settings file.
VARIABLE = 'MAGNOLIADYKE_SETTINGS'


#: Names of settings, and what reads those of a type.
READERS: tuple[tuple[tuple[str, ...], Callable[[dict, str], Any]], ...] = (
    (('name', 'failure_domain', 'path'), typed.read_string),
    (('ip',), typed.read_ip),
    (
        ('callers', 'readiness', 'directory', 'control', 'store', 'address'),
        typed.read_address,
    ),
    (('metrics_port',), typed.read_port),
    (('first_start',), typed.read_bool),
    (
        (
            'min_lease_s',
            'cores',
            'memory_mb',
            'link_mbps',
            'drain_s',
            'configuration_s',
            'stop_s',
            'retry_ratio',
            'retry_window_s',
            'retry_extra',
            'order_gap_s',
            'directory_ttl_s',
            'revoke_s',
            'core_speed',
            'usage_window_s',
            'usage_due_s',
        ),
        lambda found, name: typed.read_number(found, name, 0.0),
    ),
)


class Problem(NamedTuple):
    """An error in the settings.

    :param path: the setting, or the file, that has the error
    :param text: what is wrong, or how to correct it
    """

    path: str
    text: str

    def __str__(self) -> str:
        return f'{self.path}: {self.text}'


class DutySettings(NamedTuple):
    """Singleton tasks, each run by one host under a lease.

    :param address: numeric ``ip:port`` of the platform's API
    :param names: names of the enabled tasks
    :param usage_window_s: length of a usage window, in seconds
    :param usage_due_s: time from the end of a window until its usage report
        is due, in seconds
    """

    address: str
    names: tuple[str, ...]
    usage_window_s: float
    usage_due_s: float


class NodeSettings(NamedTuple):
    """Settings of one host; addresses are ``ip:port``, times in seconds.

    :param name: name of this host
    :param ip: address of this host
    :param failure_domain: failure domain of this host
    :param callers: address on which callers' requests are served
    :param readiness: address on which the platform's readiness probe is served
    :param directory: address on which callers look up hosts
    :param peer_ports: first and last port for traffic between hosts
    :param metrics_port: port on which metrics are served
    :param store: address of the platform's store
    :param min_lease_s: shortest lease that the store grants
    :param link_mbps: bandwidth of this host's network link, in Mbit/s
    :param core_speed: speed of its processor, relative to an ordinary core
    :param drain_s: maximum time until a draining endpoint gets no more
        requests
    :param configuration_s: maximum time until a new configuration is in force
    :param stop_s: time between SIGTERM and SIGKILL
    :param retry_ratio: retries allowed per request of a service
    :param retry_window_s: time over which requests and retries are counted
    :param retry_extra: retries allowed beyond the ratio, in each window
    :param order_gap_s: minimum time between the orders of two successive
        leaders
    :param directory_ttl_s: maximum time that callers cache a directory
        response
    :param revoke_s: maximum time for which any host accepts an API key after
        its removal; None if the limit holds only for hosts that can reach the
        store
    :param duties: singleton tasks that the hosts carry out, None if there are
        none
    :param first_start: whether the whole system starts for the first time, so
        that no request was served before
    :param path: path of the file that they were read from, empty if none
    """

    name: str
    ip: str
    failure_domain: str
    callers: str
    readiness: str
    directory: str
    control: str
    peer_ports: tuple[int, int]
    metrics_port: int
    store: str
    min_lease_s: float
    cores: float
    memory_mb: int
    link_mbps: float
    drain_s: float
    configuration_s: float
    stop_s: float
    retry_ratio: float
    retry_window_s: float
    retry_extra: float
    order_gap_s: float
    directory_ttl_s: float
    revoke_s: float | None = None
    duties: DutySettings | None = None
    first_start: bool = False
    core_speed: float = 1.0
    path: str = ''


def load(path: str | None = None) -> NodeSettings:
    """Read and check the settings file.

    :param path: path of the file; if None, taken from the environment variable
        :data:`VARIABLE`
    :raises errors.SettingsError: the file can't be read, or a setting is
        missing or invalid
    """
    path = path or os.environ.get(VARIABLE)
    if not path:
        raise errors.SettingsError(
            [
                Problem(
                    VARIABLE,
                    'not set; set it to the path of the settings file',
                )
            ]
        )
    try:
        with open(path, encoding='utf-8') as file:
            fields = json.load(file)
    except (OSError, ValueError, RecursionError) as error:
        raise errors.SettingsError(
            [Problem(path, f'expected a readable JSON file: {error}')]
        ) from error
    return parse(fields)._replace(path=path)


def parse(fields: dict[str, Any]) -> NodeSettings:
    """Check the fields of the settings file and convert them.

    :raises errors.SettingsError: lists each missing or invalid setting
    """
    if not isinstance(fields, dict):
        raise errors.SettingsError(
            [
                Problem(
                    'settings',
                    f'expected a JSON object, got {type(fields).__name__}',
                )
            ]
        )
    problems = []
    for name in NodeSettings._fields:
        required = name not in NodeSettings._field_defaults
        if required and fields.get(name) is None:
            problems.append(Problem(name, 'required key is missing; add it'))
    problems += _type_problems(fields)
    problems += _duty_problems(fields.get('duties'))
    ports = fields.get('peer_ports')
    if ports is not None and not _are_peer_ports(ports):
        problems.append(
            Problem(
                'peer_ports',
                'expected a list of the first and the last of 3 or more '
                f'ports, got {ports!r:.80}',
            )
        )
    if problems:
        raise errors.SettingsError(problems)
    values = {
        name: fields[name] for name in NodeSettings._fields if name in fields
    }
    values['peer_ports'] = (ports[0], ports[1])
    if values.get('duties') is not None:
        duties = values['duties']
        values['duties'] = DutySettings(
            duties['address'],
            tuple(duties['names']),
            duties['usage_window_s'],
            duties['usage_due_s'],
        )
    return NodeSettings(**values)


def _type_problems(found: dict[str, Any], path: str = '') -> list[Problem]:
    """Return the problems of the settings that are present."""
    problems = []
    for names, read in READERS:
        for name in names:
            if found.get(name) is None:
                continue
            try:
                read(found, name)
            except typed.BadField as error:
                reason = str(error).removeprefix(f'{name}: ')
                problems.append(Problem(f'{path}{name}', reason))
    return problems


def _are_peer_ports(ports: Any) -> bool:
    match ports:
        case [int(first), int(last)]:
            return 0 < first and first + 2 <= last <= typed.MAX_PORT
    return False


def _duty_problems(duties: Any) -> list[Problem]:
    if duties is None:
        return []
    if not isinstance(duties, dict):
        return [
            Problem(
                'duties',
                f'expected a JSON object or null, got {duties!r:.80}',
            )
        ]
    problems = [
        Problem(f'duties.{name}', 'required key is missing; add it')
        for name in DutySettings._fields
        if duties.get(name) is None
    ]
    problems += _type_problems(duties, 'duties.')
    names = duties.get('names')
    if names is not None and not (
        isinstance(names, list) and all(isinstance(n, str) for n in names)
    ):
        problems.append(Problem('duties.names', 'expected a list of strings'))
    window_s = duties.get('usage_window_s')
    if not problems and not window_s > 0:
        problems.append(
            Problem(
                'duties.usage_window_s',
                f'expected more than 0 seconds, got {window_s!r}',
            )
        )
    return problems
