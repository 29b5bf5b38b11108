"""Runs a node on the platform: ``python3 -m magnoliadyke.platform``."""

import os

# gevent reads these when its hub is first made, so they come before any
# import that might make one.
os.environ.setdefault('GEVENT_LOOP', 'libev-cext')
os.environ.setdefault('GEVENT_BACKEND', 'epoll')
os.environ.setdefault('GEVENT_RESOLVER', 'block')

import random  # noqa: E402
import sys  # noqa: E402
from typing import NoReturn  # noqa: E402

from magnoliadyke import clock as clocks  # noqa: E402
from magnoliadyke import errors  # noqa: E402
from magnoliadyke import logs  # noqa: E402
from magnoliadyke.platform import node  # noqa: E402
from magnoliadyke.platform import settings  # noqa: E402

__all__ = ['main', 'run']


def run(loaded: settings.NodeSettings) -> NoReturn:
    """Run a node until a signal says to stop; the process ends here."""
    clock = clocks.SystemClock()
    logs.setup_stream(sys.stdout, clock, loaded.name)
    node.Node(loaded, clock, random.Random()).run()
    # All is logged and closed.  The interpreter would go through each of its
    # objects once more: beside busy processes that outlasts the grace time.
    os._exit(0)


def main() -> int:
    """Run the node that the environment's settings describe.

    :returns: the exit status
    """
    try:
        loaded = settings.load()
    except errors.SettingsError as error:
        print(error, file=sys.stderr)
        return 1
    run(loaded)
    return 0


if __name__ == '__main__':
    sys.exit(main())
