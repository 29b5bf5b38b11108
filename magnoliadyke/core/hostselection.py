"""Selects the hosts that callers are told to connect to.

It handles large request bodies on hosts with narrow links, behind which other
answers queue, and peaks that arrive before callers ask for the list again.
"""

import collections
from collections.abc import Sequence
import enum
from typing import NamedTuple

__all__ = [
    'MAX_LISTED_HOSTS',
    'MIN_HOSTS_PER_DOMAIN',
    'MIN_LISTED_HOSTS',
    'Basis',
    'Host',
    'Selection',
    'select',
    'serving_capacity',
]

#: Maximum number of addresses in a response; callers pick one at random.
MAX_LISTED_HOSTS = 64
#: Minimum number of hosts listed where capacities differ.  Callers keep a
#: list for seconds, in which some of its hosts may fail.
MIN_LISTED_HOSTS = 4
#: Minimum number of hosts listed of each failure domain that has as many.  A
#: second one would bring in all weak hosts while a strong one restarts.
MIN_HOSTS_PER_DOMAIN = 1
#: Ratio of the highest to the lowest capacity from which hosts are left out.
UNEQUAL_RATIO = 2.0
#: Ratio of the listed capacity to the demand: a peak of twice the measured
#: demand, while callers that choose at random load some hosts twice as much
#: as the average.
CAPACITY_MARGIN = 4.0
#: Cost of a prompt to the host that serves it: CPU seconds, and bits on its
#: network link for three times a body of some 9 kB, which is received from
#: the caller and sent to two engines.
PROMPT_CORE_S = 0.0025
PROMPT_LINK_BITS = 220_000


class Basis(enum.Enum):
    """What the selection was based on."""

    EQUAL_HOSTS = 'equal_hosts'
    DEMAND = 'demand'
    UNKNOWN_DEMAND = 'unknown_demand'


class Host(NamedTuple):
    """A host that accepts requests.

    :param address: ``ip:port`` at which it serves callers, unique
    :param capacity: prompts per second that it can serve, 0 or more
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


def serving_capacity(
    cores: float, core_speed: float, link_mbps: float
) -> float:
    """Return how many prompts per second a host can serve.

    :param cores: processor time per second
    :param core_speed: speed of its processor, relative to an ordinary core
    :param link_mbps: bandwidth of the host's link, in Mbit/s
    """
    cores *= core_speed
    return min(cores / PROMPT_CORE_S, link_mbps * 1e6 / PROMPT_LINK_BITS)


def select(hosts: Sequence[Host], demand_s: float | None) -> Selection:
    """Select the hosts for one response.

    Callers choose among the addresses at random, so each listed host gets the
    same share, and the weakest one bounds what the list can bear.

    :param hosts: the hosts alive
    :param demand_s: prompts per second of all callers, None if unknown
    """
    ranked = sorted(hosts, key=lambda host: -host.capacity)
    if not ranked or _are_equal(ranked):
        return Selection(_limit(hosts), Basis.EQUAL_HOSTS)
    least = _least_capacity(ranked, demand_s)
    listed = [host for host in hosts if host.capacity >= least]
    basis = Basis.UNKNOWN_DEMAND if demand_s is None else Basis.DEMAND
    return Selection(_limit(listed), basis)


def _are_equal(ranked: list[Host]) -> bool:
    highest, lowest = ranked[0].capacity, ranked[-1].capacity
    return highest == lowest or highest < UNEQUAL_RATIO * lowest


def _least_capacity(ranked: list[Host], demand_s: float | None) -> float:
    """Return the capacity from which on hosts are listed.

    Hosts of equal capacity are listed or left out together.  The fewest hosts
    are listed that bear the demand, else those that bear the most.
    """
    best = ranked[-1].capacity
    best_total = 0.0
    domains = collections.Counter(host.failure_domain for host in ranked)
    listed: collections.Counter[str] = collections.Counter()
    for count, host in enumerate(ranked, 1):
        listed[host.failure_domain] += 1
        if count < len(ranked) and ranked[count].capacity == host.capacity:
            continue
        if count < MIN_LISTED_HOSTS or any(
            listed[domain] < min(total, MIN_HOSTS_PER_DOMAIN)
            for domain, total in domains.items()
        ):
            continue
        total = count * host.capacity
        if demand_s is not None and total >= CAPACITY_MARGIN * demand_s:
            return host.capacity
        if total > best_total:
            best, best_total = host.capacity, total
    return best


def _domain_minimum(ranked: list[Host]) -> list[Host]:
    """Return the first hosts of each domain, as many as it has to keep."""
    taken: collections.Counter[str] = collections.Counter()
    found = []
    for host in ranked:
        taken[host.failure_domain] += 1
        if taken[host.failure_domain] <= MIN_HOSTS_PER_DOMAIN:
            found.append(host)
    return found


def _limit(hosts: Sequence[Host]) -> tuple[Host, ...]:
    """Reduce the hosts to those that fit into a response.

    Callers close connections to hosts that a new response does not list, so
    the same hosts are kept as long as they are alive.
    """
    if len(hosts) <= MAX_LISTED_HOSTS:
        return tuple(hosts)
    ranked = sorted(hosts, key=lambda host: -host.capacity)
    kept = dict.fromkeys((*_domain_minimum(ranked), *ranked))
    listed = set(list(kept)[:MAX_LISTED_HOSTS])
    return tuple(host for host in hosts if host in listed)
