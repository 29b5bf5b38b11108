"""Runs a host on the platform: ``python3 -m magnoliadyke.platform``."""

import os

# gevent reads these when its hub is created, so they are set before any
# import that might create one.
os.environ.setdefault('GEVENT_LOOP', 'libev-cext')
os.environ.setdefault('GEVENT_BACKEND', 'epoll')
os.environ.setdefault('GEVENT_RESOLVER', 'block')

import random  # noqa: E402
import sys  # noqa: E402
from typing import NoReturn  # noqa: E402

from magnoliadyke import allocator  # noqa: E402
from magnoliadyke import clock as clocks  # noqa: E402
from magnoliadyke import errors  # noqa: E402
from magnoliadyke import logs  # noqa: E402
from magnoliadyke.platform import node  # noqa: E402
from magnoliadyke.platform import settings  # noqa: E402

__all__ = ['main', 'run']


def run(loaded: settings.NodeSettings) -> NoReturn:
    """Run a host until a signal to stop, then exit the process."""
    allocator.return_freed_memory()
    clock = clocks.SystemClock()
    logs.setup_stream(sys.stdout, clock, loaded.name)
    node.Node(loaded, clock, random.Random()).run()
    # Logs are written and connections closed.  A normal exit would also free
    # every object, which on a busy machine takes longer than the time between
    # SIGTERM and SIGKILL.
    os._exit(0)


def main() -> int:
    """Run a host with the settings that the environment names.

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
