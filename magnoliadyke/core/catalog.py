"""What a host believes of the configuration and the endpoints."""

import collections
from collections.abc import Iterable
import enum
from typing import NamedTuple

from magnoliadyke.core import routes

__all__ = ['Catalog', 'Endpoint', 'Stage', 'UnusableRecord']


#: Names of endpoints whose latest start is remembered, beyond those of the
#: largest fleet that is planned for.
MAX_NAMES = 8192


class Stage(enum.Enum):
    """What an engine does at present; NONE for a plain endpoint."""

    NONE = ''
    PREFILL = 'prefill'
    DECODE = 'decode'


class UnusableRecord(NamedTuple):
    """A record that is not in the form expected, and why."""

    reason: str


class Endpoint(NamedTuple):
    """One run of an endpoint's process; a later run has another id.

    :param slots: requests that it runs at once
    :param leaving: it takes no new work
    :param published: the name that it goes by, which a later run may have
        too; empty if that is its id
    :param born_ms: when the process began, in milliseconds of its own clock,
        0 if it does not say
    :param reclaimable: it may be taken away at short notice, together with
        the others of its kind in its failure domain
    """

    id: str
    service: str
    address: str
    failure_domain: str
    slots: int
    leaving: bool
    stage: Stage
    published: str = ''
    started_ms: int = 0
    reclaimable: bool = False

    @property
    def name(self) -> str:
        """What it is called where others name it."""
        return self.published or self.id


class Catalog:
    """The newest configuration and the endpoints that are listed.

    :ivar said_leaving: ids of endpoints that have said themselves that they
        leave; no entry takes that back
    :ivar leavers: ids of those of them that are listed
    :ivar by_name: ids of the endpoints, by the name that they go by
    :ivar checked_s: when the store last confirmed all of it
    :ivar generation: counts the changes of endpoints and services
    """

    def __init__(self) -> None:
        self.configuration: routes.Configuration | None = None
        self.endpoints: dict[str, Endpoint] = {}
        self.by_service: dict[str, dict[str, Endpoint]] = {}
        self.by_name: dict[str, str] = {}
        self._started_ms: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self.announced_leaving: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self.leaving_ids: set[str] = set()
        self.checked_s: float | None = None
        self.generation = 0

    def configure(self, configuration: routes.Configuration) -> bool:
        """Take a configuration unless a newer one is in force.

        A read that lags, or an old copy of the store, would else bring
        back routes that were dropped: callers would see a configuration
        that has been replaced.

        :returns: whether it is in force now
        """
        present = self.configuration
        if present is not None and configuration.version <= present.version:
            return False
        self.configuration = configuration
        self.generation += 1
        return True

    def latest_started_ms(self, name: str) -> int:
        """When the latest known process of a name began; 0 if unknown."""
        return self._started_ms.get(name, 0)

    def _remember_start(self, endpoint: Endpoint) -> None:
        if not endpoint.started_ms:
            return
        self._started_ms[endpoint.name] = endpoint.started_ms
        self._started_ms.move_to_end(endpoint.name)
        if len(self._started_ms) > MAX_NAMES:
            self._started_ms.popitem(last=False)

    def put(self, endpoint: Endpoint) -> None:
        """An endpoint is listed, or its entry has changed."""
        if endpoint.id in self.announced_leaving:
            self.leaving_ids.add(endpoint.id)
            endpoint = endpoint._replace(leaving=True)
        before = self.endpoints.get(endpoint.id)
        if before is not None and before.service != endpoint.service:
            del self.by_service[before.service][endpoint.id]
        self.endpoints[endpoint.id] = endpoint
        self.by_name[endpoint.name] = endpoint.id
        self._remember_start(endpoint)
        of_service = self.by_service.setdefault(endpoint.service, {})
        of_service[endpoint.id] = endpoint
        self.generation += 1

    def mark_leaving(self, endpoint_id: str) -> bool:
        """An endpoint has said itself that it leaves.

        :returns: whether it was not known to leave
        """
        self.announced_leaving[endpoint_id] = None
        self.announced_leaving.move_to_end(endpoint_id)
        if len(self.announced_leaving) > MAX_NAMES:
            self.announced_leaving.popitem(last=False)
        endpoint = self.endpoints.get(endpoint_id)
        if endpoint is None or endpoint.leaving:
            return False
        self.put(endpoint)
        return True

    def remove(self, endpoint_id: str) -> Endpoint | None:
        """An endpoint is no longer listed."""
        endpoint = self.endpoints.pop(endpoint_id, None)
        self.leaving_ids.discard(endpoint_id)
        if endpoint is not None:
            if self.by_name.get(endpoint.name) == endpoint_id:
                del self.by_name[endpoint.name]
            del self.by_service[endpoint.service][endpoint_id]
            self.generation += 1
        return endpoint

    def replace(self, endpoints: Iterable[Endpoint]) -> list[Endpoint]:
        """Take a complete list.

        :returns: the endpoints that are gone
        """
        listed = {each.id: each for each in endpoints}
        gone = [e for e in self.endpoints.values() if e.id not in listed]
        for endpoint in gone:
            self.remove(endpoint.id)
        for endpoint in listed.values():
            self.put(endpoint)
        return gone

    def usable(self, service: str) -> list[Endpoint]:
        """Endpoints of a service that may be given new work."""
        listed = self.by_service.get(service, {})
        return [e for e in listed.values() if not e.leaving]
