"""Task that reads the platform's host list periodically."""

import gevent

from magnoliadyke import app
from magnoliadyke.core import hostdiscovery
from magnoliadyke import endpoint
from magnoliadyke import errors
from magnoliadyke import gossip as gossips
from magnoliadyke import logs

__all__ = ['HostListReader']

TIMEOUT_S = 2.0
STATUS_OK = 200
#: Nodes that start at the same time spread their reads by this share of the
#: interval.
JITTER_SHARE = 0.5

LOG = logs.get('hostlist')


class HostListReader(app.Component):
    """Reads the host list and posts it to the gossip task.

    If it can't be read, the last list stays in use.

    :param settings: the deployment's settings
    :param clock: a :class:`magnoliadyke.clock.Clock`
    :param rng: source of randomness
    :param gossip: the :class:`magnoliadyke.gossip.Gossip` of this node
    """

    def __init__(self, settings, clock, rng, gossip):
        self.clock = clock
        self.rng = rng
        self.gossip = gossip
        self.connections = endpoint.Connections(
            settings.host_list.address, clock, endpoint.DEFAULTS
        )
        self.greenlet = None

    def start(self):
        """Start to read in a new greenlet."""
        self.greenlet = gevent.spawn(self.read_forever)

    def stop(self, deadline_s):
        """Stop reading and close the connections."""
        if self.greenlet is not None:
            self.greenlet.kill()
        self.connections.close()

    def read_forever(self):
        """Read the list at intervals that grow with the number of hosts."""
        while True:
            self.read()
            alive = len(self.gossip.members.last.alive())
            share = 1 + JITTER_SHARE * (self.rng.random() - 0.5)
            self.clock.sleep(hostdiscovery.poll_interval_s(alive) * share)

    def read(self):
        """Read the list once and post it; a failure is logged."""
        try:
            reply = self.connections.call('GET', '/hosts', b'', (), TIMEOUT_S)
            if reply.status != STATUS_OK:
                raise ValueError(f'status {reply.status}')
            listed = hostdiscovery.parse_host_list(reply.json())
        except (errors.EndpointUnreachable, ValueError) as error:
            LOG.throttled_warning(
                'host_list_unread', 'host_list', error=str(error)
            )
            return
        self.gossip.post(gossips.HostsListed(listed))
