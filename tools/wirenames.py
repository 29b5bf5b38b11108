"""Checks that only the platform's adapter uses names of its protocol.

Usage: ``python tools/wirenames.py PACKAGE``.  The adapter is the folder
``platform`` of the package; the stand-ins in ``lab`` implement the same
protocol.  All other modules may neither import the adapter nor contain paths,
headers or fields of the protocol.  Prints one line for each violation; the
exit status is 1 if there is any, else 0.
"""

import ast
import pathlib
import re
import sys
from typing import Iterator

__all__ = ['check_source', 'check_tree', 'main']

ADAPTER = 'magnoliadyke.platform'
#: Folders that may use names of the platform's protocol.
SPEAKERS = ('platform', 'lab')
#: Modules that may import the adapter, as their commands start it.
STARTERS = ('porcelain.py',)
NAMES = re.compile(
    r'/api/(kv-|resolve|readiness|order|report|hold-)|'
    r'\bx-(kv|stage|pin|deadline|expect|prompt|token|length|server'
    r'|not-executed|instance|weight|tenant|duty|fence)\b|'
    r'\bapi[-_]key(s|)\b',
    re.IGNORECASE,
)


def check_tree(root: pathlib.Path) -> list[str]:
    """Check all modules of a package.

    :param root: directory of the package
    :returns: the violations
    """
    breaches = []
    for path in sorted(root.rglob('*.py')):
        if path.relative_to(root).parts[0] not in SPEAKERS:
            starts = path.name in STARTERS
            breaches += check_source(path.read_text(), str(path), starts)
    return breaches


def check_source(
    source: str, path: str, may_import: bool = False
) -> Iterator[str]:
    """Check the source of one module.

    :param source: source text of the module
    :param path: path to report it by
    :param may_import: whether the module may import the adapter
    """
    for node in ast.walk(ast.parse(source, path)):
        match node:
            case ast.Constant(value=str() | bytes() as value):
                text = value if isinstance(value, str) else repr(value)
                found = NAMES.search(text)
                if found is not None:
                    yield f'{path}:{node.lineno}: spells {found[0]!r}'
            case ast.ImportFrom(module=module, names=names):
                full = [f'{module}.{alias.name}' for alias in names]
                if not may_import and any(map(_is_adapter, full)):
                    yield f'{path}:{node.lineno}: imports the adapter'
            case ast.Import(names=names):
                if not may_import and any(_is_adapter(a.name) for a in names):
                    yield f'{path}:{node.lineno}: imports the adapter'


def _is_adapter(name: str) -> bool:
    return (name + '.').startswith(ADAPTER + '.')


def main(argv: list[str]) -> int:
    """Check a package and print the violations.

    :param argv: directory of the package
    :returns: the exit status
    """
    if len(argv) != 1 or not pathlib.Path(argv[0]).is_dir():
        print('usage: wirenames.py PACKAGE', file=sys.stderr)
        return 2
    breaches = check_tree(pathlib.Path(argv[0]))
    for breach in breaches:
        print(breach)
    print(f'wire names: {len(breaches)} breaches')
    return 1 if breaches else 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
