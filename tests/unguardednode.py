"""A node as `lab/links.py` runs it that takes whatever comes during a stop."""

import sys

from gevent import monkey

from magnoliadyke.core import shutdown
from magnoliadyke.lab import links

if __name__ == '__main__':
    monkey.patch_all()
    shutdown.Shutdown.accepts = lambda self, now_s, deadline_s: True
    sys.exit(links.main(sys.argv[1:]))
