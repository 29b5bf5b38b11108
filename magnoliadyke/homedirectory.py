"""Find the node that has the records of a home."""

import json
from urllib import parse

from magnoliadyke.core import tickets
from magnoliadyke import endpoint as endpoints
from magnoliadyke import errors

__all__ = ['HOMES_PATH', 'HomeDirectory']

HOMES_PATH = '/v1/homes/'
REACHABLE = ('alive', 'suspect')
MAX_SUCCESSORS = 10_000
#: Nodes asked about a home that this one has never heard of.
MAX_NODES_ASKED = 4
ASK_TIMEOUT_S = 0.5
#: How long "nobody knows it" is believed, in seconds.
NOT_FOUND_CACHE_S = 1.0
MAX_NOT_FOUND_ENTRIES = 1000


class HomeDirectory:
    """Homes, their successors, and connections to the nodes.

    A home is ``HOST.INCARNATION``. A node that stopped named the host that
    took its records over; a chain of such names leads to the present one.

    :param home: of this node
    :param members: Topic of :class:`magnoliadyke.core.membership.MembersView`
    """

    def __init__(self, home, host, members, clock, rng):
        self.home = home
        self.host = host
        self.members = members
        self.clock = clock
        self.rng = rng
        self.successors = {}
        self.connections_by_address = {}
        self.not_found_s = {}

    def locate(self, home):
        """Return the connections to the node that has a home's records.

        :return: :class:`magnoliadyke.endpoint.Connections`, or None when
            the home is gone without a successor
        """
        member = self.current_holder(home)
        if member is None and self.query_other_nodes(home):
            member = self.current_holder(home)
        return self.connections_to(member) if member is not None else None

    def current_holder(self, home):
        """Return the member at the end of a home's chain, or None."""
        self.record_successors()
        seen = set()
        while home not in seen:
            seen.add(home)
            member = self.reachable_member(home)
            if member is not None:
                return member if member.host != self.host else None
            home = self.successors.get(home, home)
        return None

    def reachable_member(self, home):
        """Return the member that is this home and can be reached, or None."""
        host, _, incarnation = home.rpartition('.')
        member = self.members_by_host().get(host)
        if member is None or str(member.incarnation) != incarnation:
            return None
        return member if member.state in REACHABLE else None

    def members_by_host(self):
        """Return the members by host; none before gossip has begun."""
        view = self.members.last
        return view.members if view is not None else {}

    def record_successors(self):
        """Remember who took over from the members that have left."""
        for member in self.members_by_host().values():
            if member.successor:
                home = tickets.home_name(member.host, member.incarnation)
                if home not in self.successors:
                    self.successors[home] = self.home_of_host(member.successor)
        while len(self.successors) > MAX_SUCCESSORS:
            self.successors.pop(next(iter(self.successors)))

    def home_of_host(self, host):
        """Return ``HOST.INCARNATION`` of a member named by its host."""
        member = self.members_by_host().get(host)
        if member is None:
            return host
        return tickets.home_name(member.host, member.incarnation)

    def connections_to(self, member):
        """Return the connections to another node's caller listener."""
        address = f'{member.address}:{member.caller_port}'
        if address not in self.connections_by_address:
            self.connections_by_address[address] = endpoints.Connections(
                address, self.clock, endpoints.EndpointSettings()
            )
        return self.connections_by_address[address]

    def query_other_nodes(self, home):
        """Ask some other nodes who has a home's records.

        A node that started after the home had left never heard of its
        successor: members are remembered by host, and the host may have a
        new incarnation.

        :return: whether something new was learned
        """
        now_s = self.clock.now_s()
        if (
            now_s - self.not_found_s.get(home, -NOT_FOUND_CACHE_S)
            < NOT_FOUND_CACHE_S
        ):
            return False
        others = [
            member
            for member in self.members_by_host().values()
            if member.host != self.host and member.state == 'alive'
        ]
        for member in self.rng.sample(
            others, min(MAX_NODES_ASKED, len(others))
        ):
            successor = self.query_successor(member, home)
            if successor:
                self.successors[home] = successor
                return True
        if len(self.not_found_s) >= MAX_NOT_FOUND_ENTRIES:
            self.not_found_s.clear()
        self.not_found_s[home] = now_s
        return False

    def query_successor(self, member, home):
        """Ask one node for a home's successor; return it or ``''``."""
        path = HOMES_PATH + parse.quote(home)
        try:
            reply = self.connections_to(member).call(
                'GET', path, b'', (), ASK_TIMEOUT_S
            )
            return json.loads(reply.body).get('successor', '')
        except (errors.EndpointUnreachable, ValueError, AttributeError):
            return ''

    def close(self):
        """Close all connections."""
        for link in self.connections_by_address.values():
            link.close()
