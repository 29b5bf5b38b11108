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
    """Whether requests of a route may run more than once.

    SAFE requests may; UNSAFE ones run at most once; STREAM ones run at most
    once unless their route is resumable.
    """

    SAFE = 'safe'
    UNSAFE = 'unsafe'
    STREAM = 'stream'


class Target(NamedTuple):
    """A service that gets a share of a route's requests.

    :param weight: its share, relative to the other targets of the route
    """

    service: str
    weight: float


class Route(NamedTuple):
    """Targets and limits of the requests for a host name and path prefix.

    :param host: host name in the request
    :param timeout_s: longest time until a caller gets a response, in seconds
    :param objective_s: target time of a response, in seconds
    :param pause_s: longest pause between two events of a stream that still
        counts as on time, in seconds
    :param priority: 0 is the most urgent
    :param max_attempts: maximum number of endpoints that may run one request
    :param carries_prompt: whether requests describe their prompt
    :param resumable: whether a stream may be run again to resume it
    :param public: whether requests need no key of a workspace
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
        """Whether a request may run again if its last result is unknown."""
        return self.kind is Kind.SAFE or self.resumable

    def draw_service(self, rng: Any) -> str:
        """Return the service of one request, drawn by the weights.

        :param rng: source of randomness, with ``choices()``
        """
        if len(self.targets) == 1:
            return self.targets[0].service
        weights = [target.weight for target in self.targets]
        return rng.choices(self.targets, weights)[0].service

    def has_target(self, service: str) -> bool:
        """Return whether requests may go to a service."""
        return any(target.service == service for target in self.targets)


class EngineTraits(NamedTuple):
    """Properties shared by the engines of a model service.

    :param slots: maximum number of requests that an engine runs at once
    :param cache_tokens: KV cache of an engine for running and cached prompts,
        in tokens
    :param bytes_per_token: KV cache transferred per token, in bytes
    :param link_bits_s: bandwidth of an engine's transfers, in bits per second
    :param handle_ttl_s: how long an engine keeps the KV cache of a prefilled
        prompt until it is fetched, in seconds
    :param stage_change_s: how long an engine is unavailable during a change
        of stage, in seconds
    :param backups: whether engines keep backup copies of the KV cache of
        streams that may not run a second time
    """

    slots: int
    cache_tokens: int
    bytes_per_token: float
    link_bits_s: float
    handle_ttl_s: float
    stage_change_s: float
    backups: bool = False


class Service(NamedTuple):
    """A group of interchangeable endpoints.

    :param max_connections: maximum number of connections to one endpoint,
        from all hosts together
    :param engine: properties of its engines, None for a plain service
    :param scaling: limits of the number of endpoints that may be ordered, a
        :class:`magnoliadyke.core.autoscaler.ScalingLimits`; None if none may
    """

    name: str
    health_path: str
    max_connections: int
    engine: EngineTraits | None
    scaling: Any | None = None


class CallerLimits(NamedTuple):
    """Limits of a caller's requests.

    :param header_bytes: maximum size of a request's head, in bytes
    :param body_bytes: maximum size of a request's body, in bytes
    :param header_timeout_s: longest time to send a request's head, in seconds
    :param idle_timeout_s: longest wait for the next request on a connection,
        and longest time to send a request's body, in seconds
    """

    header_bytes: int = 16384
    body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Configuration:
    """One version of the routes, services and limits.

    :param version: increases with each configuration, by one or more
    :param workspaces: the workspaces that may use routes that are not
        public, a :class:`magnoliadyke.core.workspaces.Workspaces`; None
        where routes need no key
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
        """Return the route with the longest matching prefix, or None.

        Prefixes end with a slash, so only the parts of the path up to a
        slash are looked up: the cost depends on the depth of the path, not
        on the number of routes.
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
