"""What the platform's list of hosts is worth: hints, since it lags.

The list names addresses to knock at, so that a host is found that is in
nobody's settings, and a fleet of which every host was replaced still joins.
It calls no host alive or dead: only probes do. A host that it calls leaving
is no longer named to callers, until a process answers that was started after
the list was made.
"""

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
#: While a node sees nobody, the list is all that it has.
ISOLATED_POLL_INTERVAL_S = 2.0


class ListedHost(NamedTuple):
    """A row of the list.

    :param address: numeric address
    """

    host: str
    address: str
    leaving: bool


class HostList(NamedTuple):
    """The list.

    :param at_s: wall time at which it was true
    """

    at_s: float
    hosts: tuple[ListedHost, ...] = ()


def parse_host_list(document: Any) -> HostList:
    """Read the list as the platform publishes it.

    :raises ValueError: when it is not one
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
        raise ValueError(f'no list of hosts: {error!r}') from error


def hosts_to_probe(
    listed: HostList, known: Iterable[str], own: membership.Member
) -> list[membership.Member]:
    """Return hosts to knock at.

    The list has no ports; the hosts of a deployment use the same ones.

    :param known: hosts that are knocked at anyway
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
    members: Mapping[str, membership.Member], listed: HostList, own: str
) -> dict[str, membership.Member]:
    """Return the members; those that are leaving take no work.

    Should the list call all of them leaving, it is not believed: callers
    would be left without any host on the word of a list that lags.

    :param own: this host; its own word on itself counts
    """
    leaving = {row.host for row in listed.hosts if row.leaving} - {own}
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

    The fleet as a whole reads about once a second, up to 60 hosts; beyond
    that each reads once a minute.

    :param alive: members that are alive, oneself among them
    """
    if alive <= 1:
        return ISOLATED_POLL_INTERVAL_S
    return min(MAX_POLL_INTERVAL_S, max(MIN_POLL_INTERVAL_S, float(alive)))
