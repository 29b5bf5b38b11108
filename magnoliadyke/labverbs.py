"""Imports and runs the programs of the lab; each is imported on first use."""

import importlib
import ipaddress
import json
import types
from typing import Sequence

from magnoliadyke import errors

__all__ = ['STAND_IN_PROGRAMS', 'VERBS', 'import_program', 'run']

#: Stand-ins: servers that are started with an address and a JSON object.
STAND_IN_PROGRAMS = {
    'engine': 'stand-in for a model engine',
    'hostlist': "stand-in for the platform's host list",
    'keyvalue': "stand-in for the platform's key-value service",
    'proxy': 'TCP and UDP proxy that injects faults',
    'service': 'stand-in for a plain service',
    'weights': "stand-in for the platform's weight store",
}

#: Load generators and experiments, each with a help text of its own.
EXPERIMENT_PROGRAMS = {
    'capacity': 'measure the growth of state and load for docs/CAPACITY.md',
    'demo': 'run the small Dala deployment and check every answer',
    'faults': 'inject faults into real processes and check their guarantees',
    'live': 'replay a trace against real processes in real time',
    'platform-day': 'run nodes on the platform with faults, check guarantees',
    'policy': 'compare role policies on traces of a shifting token mix',
    'soak': 'inject random faults into real nodes on the platform',
}

#: Started only by other programs of the lab.
INTERNAL_PROGRAMS = {
    'worker': "worker process of 'lab policy' (internal)",
}

VERBS = STAND_IN_PROGRAMS | EXPERIMENT_PROGRAMS | INTERNAL_PROGRAMS

HELP_FLAGS = frozenset(('-h', '--help'))


def run(argv: Sequence[str]) -> int:
    """Run a program of the lab.

    :param argv: name of the program, then its arguments.
    :returns: the exit status of the program.
    :raises UsageError: there is no such program, it needs a package that is
        not installed, or the arguments of a stand-in are invalid.
    """
    verb, *rest = argv
    module = import_program(verb)
    if verb in STAND_IN_PROGRAMS:
        if HELP_FLAGS.intersection(rest):
            print(_stand_in_help(verb, module))
            return 0
        _check_stand_in_args(verb, rest, module)
    return module.main(rest) or 0


def import_program(verb: str) -> types.ModuleType:
    """Import a program of the lab.

    :param verb: name of the program.
    :returns: its module, whose ``main`` takes the list of arguments.
    :raises UsageError: there is no such program, or it needs a package that
        is not installed.
    """
    if verb not in VERBS:
        raise errors.UsageError(
            f'no lab program is called {verb!r}',
            'use one of ' + ', '.join(VERBS),
        )
    try:
        name = verb.replace('-', '')
        return importlib.import_module(f'magnoliadyke.lab.{name}')
    except ModuleNotFoundError as error:
        raise errors.UsageError(
            str(error),
            f'install {error.name}, which the single-file binary leaves out',
        ) from error


def _stand_in_help(verb: str, module: types.ModuleType) -> str:
    text = f'Usage:\n  magnoliadyke lab {verb} IP:PORT [JSON]\n\n'
    text += (module.__doc__ or '').strip()
    spec = getattr(module, 'Spec', None)
    if spec is None:
        return text
    defaults = spec._field_defaults
    shown = [
        f'  {name}: {defaults.get(name, "(required)")!r}'
        for name in spec._fields
    ]
    return text + '\n\nKeys of JSON, with defaults:\n' + '\n'.join(shown)


def _check_stand_in_args(
    verb: str, rest: Sequence[str], module: types.ModuleType
) -> None:
    remedy = f"use 'magnoliadyke lab {verb} IP:PORT [JSON]'"
    if not 1 <= len(rest) <= 2:
        raise errors.UsageError(
            'expected an address and at most one JSON object, got '
            f'{len(rest)} argument(s)',
            remedy,
        )
    ip, _, port = rest[0].rpartition(':')
    try:
        ipaddress.IPv4Address(ip)
        int(port)
    except ValueError:
        raise errors.UsageError(
            f'{rest[0]!r} is not an IPv4 address with a port', remedy
        ) from None
    try:
        fields = json.loads(rest[1]) if len(rest) > 1 else {}
    except ValueError:
        fields = None
    if not isinstance(fields, dict):
        raise errors.UsageError(f'{rest[1]!r} is not a JSON object', remedy)
    spec = getattr(module, 'Spec', None)
    unknown = set(fields).difference(spec._fields) if spec else ()
    if unknown:
        raise errors.UsageError(
            'JSON has unknown keys: ' + ', '.join(sorted(unknown)),
            'use keys among ' + ', '.join(spec._fields),
        )
