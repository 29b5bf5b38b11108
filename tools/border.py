"""Checks that the core has no input, output, clock or randomness of its own.

Usage: ``python tools/border.py DIRECTORY``.  Prints one line for each breach
and exits with 1 if there is any, with 0 otherwise.
"""

import ast
import pathlib
import sys
from typing import Iterator
from typing import NamedTuple

__all__ = ['Breach', 'check_source', 'check_tree', 'main']

PACKAGE = 'magnoliadyke'
CORE = 'magnoliadyke.core'

#: Modules that bring sockets, files, timers, processes or randomness.
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

#: Names that reach files, the terminal or modules behind the check's back.
FORBIDDEN_CALLS = frozenset(
    ('open', 'print', 'input', 'exec', 'eval', '__import__')
)

#: Methods that read the wall clock, whatever they are called on.
FORBIDDEN_METHODS = frozenset(('now', 'utcnow', 'today'))

#: Modules whose clock-reading methods are meant by FORBIDDEN_METHODS.
CLOCK_OWNERS = frozenset(('datetime', 'date'))


class Breach(NamedTuple):
    """One place where the core reaches over the border.

    :param path: file in which it stands.
    :param line: its line, from 1.
    :param what: what is reached, and what to do in its place.
    """

    path: str
    line: int
    what: str


def check_tree(root: pathlib.Path) -> list[Breach]:
    """Check all modules below a directory.

    :param root: directory of the core.
    :returns: the breaches, in the order of the files.
    """
    breaches = []
    for path in sorted(root.rglob('*.py')):
        breaches.extend(check_source(path.read_text(), str(path)))
    return breaches


def check_source(source: str, path: str) -> Iterator[Breach]:
    """Check the text of one module.

    :param source: the module's text.
    :param path: name to report it by.
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
            yield 'relative import: name the module from the top'
        case ast.ImportFrom(module=module, names=names):
            for alias in names:
                yield from _module(f'{module}.{alias.name}')
        case ast.Call(func=ast.Name(id=name)) if name in FORBIDDEN_CALLS:
            yield f'calls {name}(): leave it to the shell'
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
        yield f'imports {top}: pass its product in as an argument'
    elif top == PACKAGE and not (name + '.').startswith(CORE + '.'):
        yield f'imports {name}: the core knows nothing of the shell'


def main(argv: list[str]) -> int:
    """Check the directories named.

    :param argv: directories; at least one.
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
        print(f'no module found below {" ".join(argv)}', file=sys.stderr)
        return 2
    print(f'border: {files} modules, {len(breaches)} breaches')
    return 1 if breaches else 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
