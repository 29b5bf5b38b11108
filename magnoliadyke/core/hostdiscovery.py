"""Finds hosts to probe, and leaving hosts, in the platform's host list."""

from collections.abc import Iterable
from collections.abc import Mapping
from typing import Any
from typing import NamedTuple

from magnoliadyke.core import membership

__all__ = [
    'HostList',
    'ListedHost',
    'hosts_to_probe',
    'poll_interval_s',
    'parse_host_list',
    'without_leaving',
]

LEAVING = 'leaving'
LIVE = 'live'
MIN_POLL_INTERVAL_S = 10.0
MAX_POLL_INTERVAL_S = 60.0
#: Poll interval while no peer is alive, in seconds: the list is then the only
#: source of hosts.
ISOLATED_POLL_INTERVAL_S = 2.0


class ListedHost(NamedTuple):
    """An entry of the platform's host list.

    :param address: numeric address
    """

    host: str
    address: str
    leaving: bool


class HostList(NamedTuple):
    """The platform's host list.

    The list lags, so it never makes a host alive or dead; only probes do.
    It gives the addresses of hosts that are in no node's settings, so that a
    fleet in which every host was replaced still finds its members. A host
    that the list marks as leaving is not announced to callers, unless its
    process was started after the list was made.

    :param at_s: time for which the list is valid, in seconds since the epoch
    """

    at_s: float
    hosts: tuple[ListedHost, ...] = ()


def parse_host_list(document: Any) -> HostList:
    """Parse a decoded host list of the platform.

    :raises ValueError: a field is missing or has the wrong type
    """
    try:
        rows = tuple(
            ListedHost(
                str(row['host']), str(row['address']), row['state'] == LEAVING
            )
            for row in document['hosts']
            if row['state'] in (LIVE, LEAVING)
        )
        return HostList(float(document['at_s']), rows)
    except (KeyError, TypeError) as error:
        raise ValueError(f'malformed host list: {error!r}') from error


def hosts_to_probe(
    listed: HostList, known: Iterable[str], own: membership.Member
) -> list[membership.Member]:
    """Return listed hosts that are not yet probed and are not leaving.

    The list has no ports; the hosts of a deployment use the same ones.

    :param known: hosts that are probed already
    :param own: this host
    """
    known = frozenset(known)
    return [
        membership.Member(
            host=row.host,
            incarnation=0,
            address=row.address,
            caller_port=own.caller_port,
            peer_port=own.peer_port,
            failure_domain='',
        )
        for row in listed.hosts
        if row.host not in known and not row.leaving
    ]


def without_leaving(
    members: Mapping[str, membership.Member], listed: HostList, own_host: str
) -> dict[str, membership.Member]:
    """Return the members, with leaving ones marked as accepting no requests.

    If no member would accept requests, the list is ignored: it lags, and
    callers would be left without any host.

    :param own_host: name of this host, whose entry in the list is ignored
    """
    leaving = {row.host for row in listed.hosts if row.leaving} - {own_host}
    without_work = {
        host: member._replace(takes_work=False)
        for host, member in members.items()
        if host in leaving and member.incarnation / 1000 <= listed.at_s
    }
    adjusted = {**members, **without_work}
    if any(_accepts_work(member) for member in adjusted.values()):
        return adjusted
    return dict(members)


def _accepts_work(member: membership.Member) -> bool:
    return member.state == membership.ALIVE and member.takes_work


def poll_interval_s(alive: int) -> float:
    """Return the time between two reads of the list by one node.

    From 10 to 60 hosts the fleet as a whole reads about once a second; in a
    larger fleet each host reads once a minute.

    :param alive: members that are alive, including this host
    """
    if alive <= 1:
        return ISOLATED_POLL_INTERVAL_S
    return min(MAX_POLL_INTERVAL_S, max(MIN_POLL_INTERVAL_S, float(alive)))
