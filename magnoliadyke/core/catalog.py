"""The newest configuration received and the listed endpoints."""

import collections
from collections.abc import Iterable
import enum
from typing import NamedTuple

from magnoliadyke.core import position
from magnoliadyke.core import routes

__all__ = ['Catalog', 'Endpoint', 'Stage', 'UnusableRecord']


#: Maximum number of endpoints whose latest start, or announced leave, is kept;
#: more than the largest supported fleet has.
MAX_NAMES = 8192


class Stage(enum.Enum):
    """The stage that an engine serves; NONE for a plain endpoint."""

    NONE = ''
    PREFILL = 'prefill'
    DECODE = 'decode'


class UnusableRecord(NamedTuple):
    """A record that could not be decoded, and why."""

    reason: str


class Endpoint(NamedTuple):
    """One process of an endpoint; after a restart it has another id.

    :param slots: maximum number of requests that it runs at once
    :param leaving: whether it is draining and accepts no new requests
    :param published_name: its published name, which it keeps after a
        restart; empty if the name is its id
    :param started_ms: when the process started, in milliseconds of its own
        clock; 0 if unknown
    :param reclaimable: whether the provider may reclaim it at short notice,
        together with the other reclaimable ones in its failure domain
    :param version: version of its software, empty if its entry names none
    """

    id: str
    service: str
    address: str
    failure_domain: str
    slots: int
    leaving: bool
    stage: Stage
    published_name: str = ''
    started_ms: int = 0
    reclaimable: bool = False
    version: str = ''

    @property
    def name(self) -> str:
        """The published name, or the id if it has none."""
        return self.published_name or self.id


class Catalog:
    """The newest configuration received and the listed endpoints.

    :ivar announced_leaving: ids of endpoints that announced in a response
        that they leave; no store entry reverts that
    :ivar leaving_ids: ids of those of them that are listed
    :ivar by_name: ids of the endpoints, by published name
    :ivar confirmed_s: when the store last confirmed the catalog
    :ivar position: position in the store up to which its keys are applied
    :ivar generation: number of changes of endpoints and of the configuration
    :ivar gaps: number of times that all entries were read anew, so that some
        may have come and gone unseen
    :ivar noted_versions: service and software version of each entry since
        they were last taken, also of those that are gone
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
        self.confirmed_s: float | None = None
        self.position = position.START
        self.generation = 0
        self.gaps = 0
        self.noted_versions: set[tuple[str, str]] = set()

    def configure(self, configuration: routes.Configuration) -> bool:
        """Apply a configuration if it is newer than the present one.

        A stale read, or a store restored from a backup, would otherwise
        bring back routes that were removed.

        :returns: whether it was applied
        """
        present = self.configuration
        if present is not None and configuration.version <= present.version:
            return False
        self.configuration = configuration
        self.generation += 1
        return True

    def latest_started_ms(self, name: str) -> int:
        """Return the start of the latest recorded process of a name, in ms.

        0 if unknown.
        """
        return self._started_ms.get(name, 0)

    def _remember_start(self, endpoint: Endpoint) -> None:
        if not endpoint.started_ms:
            return
        self._started_ms[endpoint.name] = endpoint.started_ms
        self._started_ms.move_to_end(endpoint.name)
        if len(self._started_ms) > MAX_NAMES:
            self._started_ms.popitem(last=False)

    def put(self, endpoint: Endpoint) -> None:
        """Add an endpoint, or replace it by its changed entry."""
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
        self.noted_versions.add((endpoint.service, endpoint.version))
        self.generation += 1

    def take_noted_versions(self) -> set[tuple[str, str]]:
        """Return the noted versions, and begin to note anew."""
        noted, self.noted_versions = self.noted_versions, set()
        return noted

    def mark_leaving(self, endpoint_id: str) -> bool:
        """Record that an endpoint announced in a response that it leaves.

        :returns: whether the endpoint is listed and was not leaving before
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
        """Remove an endpoint.

        :returns: the endpoint, None if it was not listed
        """
        endpoint = self.endpoints.pop(endpoint_id, None)
        self.leaving_ids.discard(endpoint_id)
        if endpoint is not None:
            if self.by_name.get(endpoint.name) == endpoint_id:
                del self.by_name[endpoint.name]
            del self.by_service[endpoint.service][endpoint_id]
            self.generation += 1
        return endpoint

    def replace(self, endpoints: Iterable[Endpoint]) -> list[Endpoint]:
        """Replace all endpoints by a complete list.

        :returns: the endpoints that are no longer listed
        """
        listed = {each.id: each for each in endpoints}
        gone = [e for e in self.endpoints.values() if e.id not in listed]
        for endpoint in gone:
            self.remove(endpoint.id)
        for endpoint in listed.values():
            self.put(endpoint)
        return gone

    def find_staying(self, endpoint_id: str) -> Endpoint | None:
        """Return an endpoint by id, None if it has left or is leaving."""
        endpoint = self.endpoints.get(endpoint_id)
        return None if endpoint is None or endpoint.leaving else endpoint

    def usable(self, service: str) -> list[Endpoint]:
        """Return the endpoints of a service that accept new work."""
        listed = self.by_service.get(service, {})
        return [e for e in listed.values() if not e.leaving]
