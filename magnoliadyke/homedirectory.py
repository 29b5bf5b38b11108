"""Lookup of the node that holds the request records of a home."""

import json
from urllib import parse

from magnoliadyke.core import tickets
from magnoliadyke import endpoint as endpoints
from magnoliadyke import errors

__all__ = ['HOMES_PATH', 'HomeDirectory']

HOMES_PATH = '/v1/homes/'
REACHABLE = ('alive', 'suspect')
MAX_SUCCESSORS = 10_000
#: Number of nodes queried about a home that this node has no record of.
MAX_NODES_ASKED = 4
QUERY_TIMEOUT_S = 0.5
#: Time for which a home that was not found is not queried again.
NOT_FOUND_CACHE_S = 1.0
MAX_NOT_FOUND_ENTRIES = 1000


class HomeDirectory:
    """Directory of homes and their successors, with connections to the nodes.

    A home is ``HOST.INCARNATION``. A node that stops announces its successor,
    the host that takes over its records; the chain of successors leads to the
    node that holds the records now.

    :param home: home of this node
    :param host: name of this host
    :param members: Topic of :class:`magnoliadyke.core.membership.MembersView`
    :ivar successors: home of the successor, by home; only its host name if
        its incarnation is not recorded
    :ivar not_found_s: monotonic time of the last query that found no
        successor, by home
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
        """Return the connections to the node that holds a home's records.

        :return: :class:`magnoliadyke.endpoint.Connections`, or None if this
            node holds them, or if neither the home nor a successor is
            reachable
        """
        member = self.current_holder(home)
        if member is None and self.query_other_nodes(home):
            member = self.current_holder(home)
        return self.connections_to(member) if member is not None else None

    def current_holder(self, home):
        """Return the first reachable member in a home's chain of successors.

        :returns: None if there is none, or if it is this host
        """
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
        """Return the member with this host and incarnation, if reachable.

        :returns: None if the host is not reachable or has another incarnation
        """
        host, _, incarnation = home.rpartition('.')
        member = self.members_by_host().get(host)
        if member is None or str(member.incarnation) != incarnation:
            return None
        return member if member.state in REACHABLE else None

    def members_by_host(self):
        """Return the members by host; empty before gossip has started."""
        view = self.members.last
        return view.members if view is not None else {}

    def record_successors(self):
        """Record the successors of the members that have left."""
        for member in self.members_by_host().values():
            if member.successor:
                home = tickets.home_name(member.host, member.incarnation)
                if home not in self.successors:
                    self.successors[home] = self.home_of_host(member.successor)
        while len(self.successors) > MAX_SUCCESSORS:
            self.successors.pop(next(iter(self.successors)))

    def home_of_host(self, host):
        """Return the home of a host's present incarnation.

        :returns: ``HOST.INCARNATION``, or only the host name if it is not a
            member
        """
        member = self.members_by_host().get(host)
        if member is None:
            return host
        return tickets.home_name(member.host, member.incarnation)

    def connections_to(self, member):
        """Return the connections to the caller port of another node."""
        address = f'{member.address}:{member.caller_port}'
        if address not in self.connections_by_address:
            self.connections_by_address[address] = endpoints.Connections(
                address, self.clock, endpoints.EndpointSettings()
            )
        return self.connections_by_address[address]

    def query_other_nodes(self, home):
        """Query some other nodes for the successor of a home, and record it.

        A node that started after the home had left may have no record of the
        successor: members are stored by host, and the host may have a new
        incarnation.

        :return: whether a successor was found
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
        """Query one node for the successor of a home.

        :returns: home of the successor, ``''`` if the node has no record of it
            or does not answer
        """
        path = HOMES_PATH + parse.quote(home)
        try:
            reply = self.connections_to(member).call(
                'GET', path, b'', (), QUERY_TIMEOUT_S
            )
            return json.loads(reply.body).get('successor', '')
        except (errors.EndpointUnreachable, ValueError, AttributeError):
            return ''

    def close(self):
        """Close all connections."""
        for link in self.connections_by_address.values():
            link.close()
