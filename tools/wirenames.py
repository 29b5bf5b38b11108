"""Checks that only the platform's adapter knows the platform's names.

Usage: ``python tools/wirenames.py PACKAGE``.  The adapter is the package's
``platform`` folder; the stand-ins in ``lab`` speak the same protocol.  All
other modules may neither import the adapter nor spell its names.  Prints one
line for each breach and exits with 1 if there is any.
"""

import ast
import pathlib
import re
import sys
from typing import Iterator

__all__ = ['check_source', 'check_tree', 'main']

ADAPTER = 'magnoliadyke.platform'
#: Folders that may speak the platform's protocol.
SPEAKERS = ('platform', 'lab')
#: Commands that start the adapter import it when they are asked to.
STARTERS = ('porcelain.py',)
NAMES = re.compile(
    r'/api/(kv-|resolve|readiness|order|report|hold-)|'
    r'\bx-(kv|stage|pin|deadline|expect|prompt|token|length|server'
    r'|not-executed|instance|weight|tenant|duty|fence)\b|'
    r'\bapi[-_]key(s|)\b',
    re.IGNORECASE,
)


def check_tree(root: pathlib.Path) -> list[str]:
    """Check a package.

    :param root: its directory
    :returns: the breaches
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
    """Check the text of one module.

    :param may_import: it starts the adapter
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
    """Check the package named.

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
