"""The settings of a node on the platform, as filled into our template."""

import json
import os
from typing import Any
from typing import NamedTuple

from magnoliadyke import errors

__all__ = ['DutySettings', 'NodeSettings', 'Problem', 'load', 'parse']

#: Names the settings file; set by the platform.
VARIABLE = 'MAGNOLIADYKE_SETTINGS'


class Problem(NamedTuple):
    """One thing that is wrong with the settings."""

    path: str
    text: str

    def __str__(self) -> str:
        return f'{self.path}: {self.text}'


class DutySettings(NamedTuple):
    """Calls to the platform that one host makes for all.

    :param address: of the platform's own interface
    :param names: of the calls that are asked for
    :param usage_window_s: length of a window of usage
    :param usage_due_s: from its end to when its report is due
    """

    address: str
    names: tuple[str, ...]
    usage_window_s: float
    usage_due_s: float


class NodeSettings(NamedTuple):
    """What a node is told at its start.

    :param name: name of this host
    :param failure_domain: of this host
    :param callers: address for callers' requests
    :param readiness: address that the platform asks for readiness
    :param directory: address at which callers ask for hosts
    :param peer_ports: first and last port between hosts
    :param metrics_port: port of the metrics
    :param store: address of the platform's store
    :param drain_s: a leaving endpoint gets no request later than this
    :param configuration_s: a configuration is in force by then
    :param stop_s: time between SIGTERM and SIGKILL
    :param retry_ratio: repeats allowed for each request of a service
    :param retry_window_s: time over which repeats are counted
    :param retry_extra: repeats allowed beside the ratio, in each window
    :param order_gap_s: orders of two holders are this far apart
    :param directory_ttl_s: longest time that callers keep an answer
    :param revoke_s: a key that was taken away is used no later than this at
        any host; None where only hosts in touch with the store are held to it
    :param duties: None if no host has to call the platform
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


def load(path: str | None = None) -> NodeSettings:
    """Read the settings file.

    :param path: the file; that of the environment if None
    :raises errors.SettingsError: it can't be read, or is not complete
    """
    path = path or os.environ.get(VARIABLE)
    if not path:
        raise errors.SettingsError([Problem(VARIABLE, 'name a file in it')])
    try:
        with open(path, encoding='utf-8') as file:
            fields = json.load(file)
    except (OSError, ValueError) as error:
        raise errors.SettingsError([Problem(path, str(error))]) from error
    return parse(fields)


def parse(fields: dict[str, Any]) -> NodeSettings:
    """Check the fields and type them.

    :raises errors.SettingsError: lists all that is missing or wrong
    """
    problems = []
    for name in NodeSettings._fields:
        required = name not in NodeSettings._field_defaults
        if required and fields.get(name) is None:
            problems.append(Problem(name, 'is missing; add it'))
    problems += _duty_problems(fields.get('duties'))
    for name in ('callers', 'readiness', 'directory', 'control', 'store'):
        text = fields.get(name)
        if text and not str(text).rpartition(':')[2].isdigit():
            problems.append(Problem(name, f'{text!r} is no ip:port'))
    ports = fields.get('peer_ports')
    if ports and (len(ports) != 2 or ports[1] - ports[0] < 2):
        problems.append(Problem('peer_ports', 'name a range of three ports'))
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


def _duty_problems(duties: Any) -> list[Problem]:
    if duties is None:
        return []
    if not isinstance(duties, dict):
        return [Problem('duties', 'is no object')]
    problems = [
        Problem(f'duties.{name}', 'is missing; add it')
        for name in DutySettings._fields
        if duties.get(name) is None
    ]
    window_s = duties.get('usage_window_s')
    if window_s is not None and not window_s > 0:
        problems.append(Problem('duties.usage_window_s', 'is not above 0'))
    return problems
