"""Entry point: configures gevent, then runs the command line."""

import os

# gevent reads these when its hub is created, so they are set before any
# import that might create one.  epoll is named explicitly, so that no build
# of libev selects io_uring or a slower back end.
os.environ.setdefault('GEVENT_LOOP', 'libev-cext')
os.environ.setdefault('GEVENT_BACKEND', 'epoll')
# All addresses are numeric, so no resolver thread pool is needed.
os.environ.setdefault('GEVENT_RESOLVER', 'block')

from gevent import monkey  # noqa: E402

monkey.patch_all()

import sys  # noqa: E402

from magnoliadyke import cli  # noqa: E402

__all__ = ['main']


def main() -> int:
    """Run the command that the arguments of this process name.

    :returns: the exit status.
    """
    return cli.main(sys.argv[1:])


if __name__ == '__main__':
    sys.exit(main())
