"""Entry point: sets gevent up, then hands over to the command line."""

import os

# gevent reads these when its hub is first made, so they come before any
# import that might make one.  epoll is named so that no build of libev picks
# io_uring or a weaker back end on its own.
os.environ.setdefault('GEVENT_LOOP', 'libev-cext')
os.environ.setdefault('GEVENT_BACKEND', 'epoll')
# Addresses are numeric everywhere: no resolver thread pool is needed.
os.environ.setdefault('GEVENT_RESOLVER', 'block')

from gevent import monkey  # noqa: E402

monkey.patch_all()

import sys  # noqa: E402

from magnoliadyke import cli  # noqa: E402

__all__ = ['main']


def main() -> int:
    """Run the command line of this process.

    :returns: the exit status.
    """
    return cli.main(sys.argv[1:])


if __name__ == '__main__':
    sys.exit(main())
