"""Routes, services and limits of one version of the configuration."""

import enum
from typing import Any
from typing import NamedTuple

__all__ = [
    'CallerLimits',
    'Configuration',
    'EngineTraits',
    'Kind',
    'Route',
    'Service',
    'Target',
]


class Kind(enum.Enum):
    """What may be done with a request more than once.

    SAFE may run again; UNSAFE runs at most once; a STREAM runs at most once
    unless its route says that it may be resumed.
    """

    SAFE = 'safe'
    UNSAFE = 'unsafe'
    STREAM = 'stream'


class Target(NamedTuple):
    """A service that takes part of a route's requests."""

    service: str
    weight: float


class Route(NamedTuple):
    """Where requests of a host name and path prefix go, and how.

    :param timeout_s: longest time that a caller is kept waiting
    :param objective_s: time within which an answer has its full worth
    :param pause_s: longest pause between events of a stream in time
    :param priority: 0 is the most urgent
    :param max_attempts: most endpoints that may run one request
    :param carries_prompt: requests tell of their prompt
    :param public: requests need no key of a workspace
    """

    name: str
    host: str
    prefix: str
    kind: Kind
    targets: tuple[Target, ...]
    timeout_s: float
    objective_s: float
    pause_s: float
    priority: int
    max_attempts: int
    carries_prompt: bool
    resumable: bool
    public: bool = False

    @property
    def repeatable(self) -> bool:
        """A run may follow one whose end is not known."""
        return self.kind is Kind.SAFE or self.resumable


class EngineTraits(NamedTuple):
    """What the engines of a model service have in common.

    :param slots: requests run at once
    :param cache_tokens: tokens of memory for running and cached prompts
    :param bytes_per_token: KV cache moved for each token
    :param link_bits_s: bandwidth of an engine's transfers
    :param handle_s: how long a prefilled prompt waits to be fetched
    :param stage_change_s: how long a change of stage takes an engine away
    """

    slots: int
    cache_tokens: int
    bytes_per_token: float
    link_bits_s: float
    handle_s: float
    stage_change_s: float


class Service(NamedTuple):
    """A group of endpoints that serve the same.

    :param max_connections: to one endpoint, from all hosts together
    :param engine: None for a plain service
    :param scaling: how many of its endpoints may be ordered, a
        :class:`magnoliadyke.core.fleetplan.Limits`; None if none may
    """

    name: str
    health_path: str
    max_connections: int
    engine: EngineTraits | None
    scaling: Any | None = None


class CallerLimits(NamedTuple):
    """What a caller may send, and how long it may take."""

    header_bytes: int = 16384
    body_bytes: int = 4 * 1024 * 1024
    header_s: float = 3.0
    idle_s: float = 15.0


class Configuration:
    """One version of the routes, services and limits.

    :param version: grows with each configuration, by uneven steps
    :param workspaces: who may use the routes that are not public, a
        :class:`magnoliadyke.core.workspaces.Workspaces`; None where routes
        need no key
    """

    def __init__(
        self,
        version: int,
        routes: tuple[Route, ...],
        services: dict[str, Service],
        limits: CallerLimits,
        workspaces: Any | None = None,
    ) -> None:
        self.version = version
        self.routes = routes
        self.services = services
        self.limits = limits
        self.workspaces = workspaces
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            self._by_host.setdefault(route.host, {})[route.prefix] = route

    def match(self, host: str, path: str) -> Route | None:
        """The route of the longest prefix that begins the path.

        Prefixes end with a slash, so only these positions are looked up:
        the cost follows the depth of the path, not the number of routes.
        """
        prefixes = self._by_host.get(host)
        if prefixes is None:
            return None
        end = len(path)
        while (end := path.rfind('/', 0, end)) >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
        return None
