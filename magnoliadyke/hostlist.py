"""The task that reads the platform's list of hosts now and then."""

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
#: Nodes that start together do not read together.
JITTER_SHARE = 0.5

LOG = logs.get('hostlist')


class HostListReader(app.Component):
    """Reads the list and tells :class:`magnoliadyke.gossip.Gossip` of it.

    A list that can't be read changes nothing: the last one stays.

    :param settings: the deployment's settings
    :param clock: a :class:`magnoliadyke.clock.Clock`
    :param rng: source of randomness
    :param gossip: where lists are posted
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
        """Begin to read."""
        self.greenlet = gevent.spawn(self.read_forever)

    def stop(self, deadline_s):
        """End."""
        if self.greenlet is not None:
            self.greenlet.kill()
        self.connections.close()

    def read_forever(self):
        """Read, then wait, for good."""
        while True:
            self.read()
            alive = len(self.gossip.members.last.alive())
            share = 1 + JITTER_SHARE * (self.rng.random() - 0.5)
            self.clock.sleep(hostdiscovery.poll_interval_s(alive) * share)

    def read(self):
        """Read the list once."""
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
        self.gossip.post(gossips.Listed(listed))
