"""A node as `lab/links.py` runs it that heeds no word of an endpoint."""

import sys

from gevent import monkey

from magnoliadyke.core import backoffs
from magnoliadyke.core import catalog
from magnoliadyke.core import endpointlimits
from magnoliadyke.lab import links

if __name__ == '__main__':
    monkey.patch_all()
    catalog.Catalog.mark_leaving = lambda self, endpoint_id: False
    asked = backoffs.Backoffs
    asked.record_backoff = lambda self, endpoint_id, for_s, now_s: None
    named = endpointlimits.NamedLimits
    named.record = lambda self, endpoint_id, statement: False
    sys.exit(links.main(sys.argv[1:]))
