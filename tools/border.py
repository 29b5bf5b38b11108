"""Checks that the core uses no I/O, clock or randomness of its own.

Usage: ``python tools/border.py DIRECTORY...``.  Prints one line for each
violation; the exit status is 1 if there is any, else 0.
"""

import ast
import pathlib
import sys
from typing import Iterator
from typing import NamedTuple

__all__ = ['Breach', 'check_source', 'check_tree', 'main']

PACKAGE = 'magnoliadyke'
CORE = 'magnoliadyke.core'

#: Modules for sockets, files, timers, processes or randomness.
FORBIDDEN_MODULES = frozenset(
    (
        'asyncio',
        'concurrent',
        'falcon',
        'fcntl',
        'gevent',
        'geventhttpclient',
        'glob',
        'http',
        'io',
        'logbook',
        'logging',
        'multiprocessing',
        'opentelemetry',
        'os',
        'pathlib',
        'queue',
        'random',
        'requests',
        'sched',
        'secrets',
        'select',
        'selectors',
        'shutil',
        'signal',
        'socket',
        'socketserver',
        'ssl',
        'subprocess',
        'sys',
        'tempfile',
        'thread',
        'threading',
        'thrift',
        'time',
        'urllib',
        'uuid',
    )
)

#: Built-in functions that access files or the terminal, or run code that this
#: check does not see.
FORBIDDEN_CALLS = frozenset(
    ('open', 'print', 'input', 'exec', 'eval', '__import__')
)

#: Methods that read the wall clock, if called on one of CLOCK_OWNERS.
FORBIDDEN_METHODS = frozenset(('now', 'utcnow', 'today'))

#: Names of modules and classes whose FORBIDDEN_METHODS read the wall clock.
CLOCK_OWNERS = frozenset(('datetime', 'date'))


class Breach(NamedTuple):
    """One violation.

    :param path: file with the violation.
    :param line: line number, from 1.
    :param what: what is used, and what to do in its place.
    """

    path: str
    line: int
    what: str


def check_tree(root: pathlib.Path) -> list[Breach]:
    """Check all modules below a directory.

    :param root: directory of the core.
    :returns: the violations, in the order of the files.
    """
    breaches = []
    for path in sorted(root.rglob('*.py')):
        breaches.extend(check_source(path.read_text(), str(path)))
    return breaches


def check_source(source: str, path: str) -> Iterator[Breach]:
    """Check the source of one module.

    :param source: source text of the module.
    :param path: path to report it by.
    """
    for node in ast.walk(ast.parse(source, path)):
        for what in _reaches(node):
            yield Breach(path, node.lineno, what)


def _reaches(node: ast.AST) -> Iterator[str]:
    match node:
        case ast.Import(names=names):
            for alias in names:
                yield from _module(alias.name)
        case ast.ImportFrom(level=level) if level > 0:
            yield 'relative import: use the full name of the module'
        case ast.ImportFrom(module=module, names=names):
            for alias in names:
                yield from _module(f'{module}.{alias.name}')
        case ast.Call(func=ast.Name(id=name)) if name in FORBIDDEN_CALLS:
            yield f'calls {name}(): call it in a module outside the core'
        case ast.Call(
            func=ast.Attribute(value=ast.Name(id=owner), attr=attr)
        ) if owner in CLOCK_OWNERS and attr in FORBIDDEN_METHODS:
            yield f'calls {owner}.{attr}(): take the time as an argument'
        case ast.Call(
            func=ast.Attribute(value=ast.Attribute(attr=owner), attr=attr)
        ) if owner in CLOCK_OWNERS and attr in FORBIDDEN_METHODS:
            yield f'calls {owner}.{attr}(): take the time as an argument'


def _module(name: str) -> Iterator[str]:
    top = name.partition('.')[0]
    if top in FORBIDDEN_MODULES:
        yield f'imports {top}: take what it returns as an argument'
    elif top == PACKAGE and not (name + '.').startswith(CORE + '.'):
        yield f'imports {name}: the core may import only {CORE}'


def main(argv: list[str]) -> int:
    """Check directories and print the violations.

    :param argv: one or more directories.
    :returns: the exit status.
    """
    if not argv:
        print('usage: border.py DIRECTORY...', file=sys.stderr)
        return 2
    breaches = []
    files = 0
    for name in argv:
        root = pathlib.Path(name)
        files += sum(1 for _ in root.rglob('*.py'))
        breaches.extend(check_tree(root))
    for breach in breaches:
        print(f'{breach.path}:{breach.line}: {breach.what}')
    if not files:
        print(f'no Python file found below {" ".join(argv)}', file=sys.stderr)
        return 2
    print(f'border: {files} modules, {len(breaches)} breaches')
    return 1 if breaches else 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
