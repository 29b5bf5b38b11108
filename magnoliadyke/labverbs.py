"""Finds and starts the programs of the lab, each imported only when asked."""

import importlib
import ipaddress
import json
import types
from typing import Sequence

from magnoliadyke import errors

__all__ = ['STAND_IN_PROGRAMS', 'VERBS', 'find', 'run']

#: Stand-ins: small servers whose arguments are an address and a JSON object.
STAND_IN_PROGRAMS = {
    'engine': 'stand-in for a model engine',
    'hostlist': "stand-in for the platform's host list",
    'keyvalue': "stand-in for the platform's key-value service",
    'proxy': 'TCP proxy that injects faults',
    'service': 'stand-in for a plain service',
    'weights': "stand-in for the platform's weight store",
}

#: Load and experiments, which describe their own arguments.
EXPERIMENT_PROGRAMS = {
    'capacity': 'measure the slopes behind docs/CAPACITY.md',
    'demo': 'run the small Dala deployment and check every answer',
    'faults': 'faults with real processes behind the faulty proxy',
    'live': 'a trace against real processes, in real time',
    'platform-day': 'a day on the platform with faults, and checked promises',
    'policy': 'compare policies on traces of a shifting token mix',
    'soak': 'drawn faults against real nodes on the platform',
}

#: Started by other programs of the lab only.
INTERNAL_PROGRAMS = {
    'worker': 'a process that works for lab policy',
}

VERBS = STAND_IN_PROGRAMS | EXPERIMENT_PROGRAMS | INTERNAL_PROGRAMS

HELP_FLAGS = frozenset(('-h', '--help'))


def run(argv: Sequence[str]) -> int:
    """Run a program of the lab.

    :param argv: its name and its arguments.
    :returns: its exit status.
    """
    verb, *rest = argv
    module = find(verb)
    if verb in STAND_IN_PROGRAMS:
        if HELP_FLAGS.intersection(rest):
            print(_stand_in_help(verb, module))
            return 0
        _check_stand_in_args(verb, rest, module)
    return module.main(rest) or 0


def find(verb: str) -> types.ModuleType:
    """Import a program of the lab; its ``main`` takes the arguments.

    :param verb: its name.
    :raises UsageError: if there is none, or a package that it needs is not
        installed.
    """
    if verb not in VERBS:
        raise errors.UsageError(
            f'there is no lab program {verb!r}',
            'use one of ' + ', '.join(VERBS),
        )
    try:
        name = verb.replace('-', '')
        return importlib.import_module(f'magnoliadyke.lab.{name}')
    except ModuleNotFoundError as error:
        raise errors.UsageError(
            str(error),
            f'install {error.name}, which the one binary leaves out',
        ) from error


def _stand_in_help(verb: str, module: types.ModuleType) -> str:
    text = f'Usage:\n  magnoliadyke lab {verb} IP:PORT [JSON]\n\n'
    text += (module.__doc__ or '').strip()
    spec = getattr(module, 'Spec', None)
    if spec is None:
        return text
    defaults = spec._field_defaults
    shown = [
        f'  {name}: {defaults.get(name, "(must be given)")!r}'
        for name in spec._fields
    ]
    return text + '\n\nFields of JSON, with defaults:\n' + '\n'.join(shown)


def _check_stand_in_args(
    verb: str, rest: Sequence[str], module: types.ModuleType
) -> None:
    remedy = f"use 'magnoliadyke lab {verb} IP:PORT [JSON]'"
    if not 1 <= len(rest) <= 2:
        raise errors.UsageError('an address is needed', remedy)
    ip, _, port = rest[0].rpartition(':')
    try:
        ipaddress.IPv4Address(ip)
        int(port)
    except ValueError:
        raise errors.UsageError(f'{rest[0]!r} is no address', remedy) from None
    try:
        fields = json.loads(rest[1]) if len(rest) > 1 else {}
    except ValueError:
        fields = None
    if not isinstance(fields, dict):
        raise errors.UsageError(f'{rest[1]!r} is no JSON object', remedy)
    spec = getattr(module, 'Spec', None)
    unknown = set(fields).difference(spec._fields) if spec else ()
    if unknown:
        raise errors.UsageError(
            'JSON has unknown fields: ' + ', '.join(sorted(unknown)),
            'use some of ' + ', '.join(spec._fields),
        )
