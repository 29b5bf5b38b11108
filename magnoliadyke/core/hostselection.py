"""Selects the hosts that callers are told to connect to.

It handles large request bodies on hosts with narrow links, behind which other
answers queue, and peaks that arrive before callers ask for the list again.
"""

import collections
from collections.abc import Iterable
from collections.abc import Sequence
import enum
from typing import Any
from typing import NamedTuple

__all__ = [
    'MAX_LISTED_HOSTS',
    'MIN_HOSTS_PER_DOMAIN',
    'MIN_LISTED_HOSTS',
    'Basis',
    'Host',
    'Selection',
    'select',
]

#: Maximum number of addresses in a response; callers pick one at random.
MAX_LISTED_HOSTS = 64
#: Minimum number of hosts listed where capacities differ.  Callers keep a
#: list for seconds, in which some of its hosts may fail.
MIN_LISTED_HOSTS = 8
#: Minimum number of hosts listed of each failure domain that has as many, so
#: that one may stop.
MIN_HOSTS_PER_DOMAIN = 2
#: Ratio of the highest to the lowest capacity from which hosts are left out.
UNEQUAL_RATIO = 2.0
#: Ratio of the listed capacity to the demand: a peak of twice the measured
#: demand, while callers that choose at random load some hosts twice as much
#: as the average.
CAPACITY_MARGIN = 4.0
#: Share of the highest capacity from which a host is listed while the demand
#: is unknown.
UNKNOWN_DEMAND_SHARE = 1 / 3


class Basis(enum.Enum):
    """What the selection was based on."""

    EQUAL_HOSTS = 'equal_hosts'
    DEMAND = 'demand'
    UNKNOWN_DEMAND = 'unknown_demand'


class Host(NamedTuple):
    """A host that accepts requests.

    :param address: ``ip:port`` at which it serves callers, unique
    :param capacity: prompts per second that it can place, 0 or more
    """

    address: str
    failure_domain: str
    capacity: float


class Selection(NamedTuple):
    """The hosts that callers are told, in the order of the hosts given."""

    hosts: tuple[Host, ...]
    basis: Basis

    @property
    def capacity(self) -> float:
        """Total capacity of the listed hosts, in prompts per second."""
        return sum(host.capacity for host in self.hosts)


def select(
    hosts: Sequence[Host], demand_s: float | None, rng: Any
) -> Selection:
    """Select the hosts for one response.

    :param hosts: the hosts alive
    :param demand_s: prompts per second of all callers, None if unknown
    :param rng: source of randomness, with ``sample()``
    """
    ranked = _rank(hosts)
    if not ranked or _are_equal(ranked):
        return Selection(_limit(hosts, rng), Basis.EQUAL_HOSTS)
    # A set of capacities, so that equal hosts are listed or left out together.
    capacities = {host.capacity for host in _needed(ranked, demand_s)}
    capacities.update(host.capacity for host in _domain_minimum(ranked))
    listed = [host for host in hosts if host.capacity in capacities]
    basis = Basis.UNKNOWN_DEMAND if demand_s is None else Basis.DEMAND
    return Selection(_limit(listed, rng), basis)


def _rank(hosts: Iterable[Host]) -> list[Host]:
    return sorted(hosts, key=lambda host: -host.capacity)


def _are_equal(ranked: list[Host]) -> bool:
    highest, lowest = ranked[0].capacity, ranked[-1].capacity
    return highest == lowest or highest < UNEQUAL_RATIO * lowest


def _needed(ranked: list[Host], demand_s: float | None) -> list[Host]:
    """Return the hosts of highest capacity that the demand requires."""
    capacity = 0.0
    for count, host in enumerate(ranked):
        if demand_s is None:
            least = ranked[0].capacity * UNKNOWN_DEMAND_SHARE
            enough = host.capacity < least
        else:
            enough = capacity >= CAPACITY_MARGIN * demand_s
        if enough and count >= MIN_LISTED_HOSTS:
            return ranked[:count]
        capacity += host.capacity
    return ranked


def _domain_minimum(ranked: list[Host]) -> list[Host]:
    """Return the hosts of highest capacity of each domain that has enough."""
    domains = collections.defaultdict(list)
    for host in ranked:
        domains[host.failure_domain].append(host)
    return [
        host
        for members in domains.values()
        if len(members) >= MIN_HOSTS_PER_DOMAIN
        for host in members[:MIN_HOSTS_PER_DOMAIN]
    ]


def _limit(hosts: Sequence[Host], rng: Any) -> tuple[Host, ...]:
    """Reduce the hosts to those that fit into a response."""
    if len(hosts) <= MAX_LISTED_HOSTS:
        return tuple(hosts)
    # Ranking is stable: hosts of equal capacity stay in random order.
    shuffled = rng.sample(hosts, len(hosts))
    kept = dict.fromkeys(_domain_minimum(_rank(shuffled)))
    kept.update(dict.fromkeys(shuffled))
    listed = set(list(kept)[:MAX_LISTED_HOSTS])
    return tuple(host for host in hosts if host in listed)
