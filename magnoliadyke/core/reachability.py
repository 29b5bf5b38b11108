"""Which endpoints this host reaches, and which others reach in its place.

An endpoint to which the latest connection could not be opened is unreachable
from this host, whatever still arrives on connections that were opened before.
That alone does not tell an endpoint that is down from a host that is cut off:
the host is cut off if another one reaches the endpoint at the same time.
"""

from collections.abc import Collection
from collections.abc import Iterable
import dataclasses

__all__ = ['PeerPaths', 'Reachability', 'is_cut_off']

NEVER = float('-inf')
#: How long a report of another host counts, in seconds.  Hosts are asked again
#: well within this time while an endpoint is unreachable.
REPORT_TTL_S = 1.5
#: Number of requests in flight at a host of the same failure domain, beyond
#: which one in another domain is preferred.
NEAR_ADVANTAGE = 4


@dataclasses.dataclass(slots=True)
class _Path:
    """What was last seen of one endpoint.

    :ivar reached_s: when a connection was last opened or an answer arrived
    :ivar tried_s: when the last attempt to open a connection ended
    :ivar waiting_since_s: when the first request was sent since the last
        answer, None if no request waits
    """

    reached_s: float = NEVER
    tried_s: float = NEVER
    waiting_since_s: float | None = None


class Reachability:
    """The paths from this host to the endpoints, by endpoint id.

    :ivar failing_since_s: since when each unreachable endpoint is so
    """

    def __init__(self) -> None:
        self.paths: dict[str, _Path] = {}
        self.failing_since_s: dict[str, float] = {}

    def _path(self, endpoint_id: str) -> _Path:
        return self.paths.setdefault(endpoint_id, _Path())

    def record_connected(self, endpoint_id: str, now_s: float) -> bool:
        """Record that a connection was opened.

        :returns: whether the endpoint was unreachable before
        """
        path = self._path(endpoint_id)
        path.reached_s = path.tried_s = now_s
        return self.failing_since_s.pop(endpoint_id, None) is not None

    def record_failed(
        self, endpoint_id: str, tried_s: float, now_s: float
    ) -> bool:
        """Record that a connection could not be opened.

        A later attempt may have succeeded before this one timed out.

        :param tried_s: when the attempt began
        :returns: whether the endpoint was reachable before
        """
        path = self._path(endpoint_id)
        is_outdated = path.tried_s > tried_s
        path.tried_s = now_s
        if is_outdated or endpoint_id in self.failing_since_s:
            return False
        self.failing_since_s[endpoint_id] = now_s
        return True

    def record_sent(self, endpoint_id: str, now_s: float) -> None:
        """Record that a request was sent on a connection."""
        path = self._path(endpoint_id)
        if path.waiting_since_s is None:
            path.waiting_since_s = now_s

    def record_answer(self, endpoint_id: str, now_s: float) -> None:
        """Record that the head of an answer arrived."""
        path = self._path(endpoint_id)
        path.reached_s = now_s
        path.waiting_since_s = None

    def is_unreachable(self, endpoint_id: str) -> bool:
        """Return whether the latest connection could not be opened."""
        return endpoint_id in self.failing_since_s

    def failing_s(self, endpoint_id: str, now_s: float) -> float:
        """Return for how long an endpoint has been unreachable, in seconds."""
        return now_s - self.failing_since_s.get(endpoint_id, now_s)

    def silent_s(self, endpoint_id: str, now_s: float) -> float:
        """Return for how long a request has waited for any answer, in seconds.

        An attempt to open a connection counts as an answer.
        """
        path = self.paths.get(endpoint_id)
        if path is None or path.waiting_since_s is None:
            return 0.0
        return now_s - max(path.waiting_since_s, path.tried_s)

    def reached_ago_s(self, endpoint_id: str, now_s: float) -> float:
        """Return when the endpoint was last reached, in seconds before now."""
        path = self.paths.get(endpoint_id)
        return now_s - (NEVER if path is None else path.reached_s)

    def tried_ago_s(self, endpoint_id: str, now_s: float) -> float:
        """Return when a connection was last tried, in seconds before now."""
        path = self.paths.get(endpoint_id)
        return now_s - (NEVER if path is None else path.tried_s)

    def remove_unlisted(self, listed: set[str]) -> None:
        """Forget the endpoints that are not listed."""
        for endpoint_id in [e for e in self.paths if e not in listed]:
            del self.paths[endpoint_id]
            self.failing_since_s.pop(endpoint_id, None)


@dataclasses.dataclass(slots=True)
class _Report:
    """What another host reported.

    :ivar reached_s: when it reported that it reaches an endpoint, by id
    :ivar near: whether it is in the failure domain of this host
    :ivar relayed: requests of other hosts that it was serving
    """

    reached_s: dict[str, float]
    near: bool
    relayed: int


class PeerPaths:
    """The endpoints that other hosts reach, by address of the host.

    :ivar open: requests of this host in flight through another one
    """

    def __init__(self) -> None:
        self.reports: dict[str, _Report] = {}
        self.open: dict[str, int] = {}

    def record_report(
        self,
        address: str,
        endpoints: Iterable[str],
        near: bool,
        relayed: int,
        now_s: float,
    ) -> None:
        """Record which of some endpoints another host reaches.

        A host is asked about each service apart, so what it reported of other
        endpoints stays.
        """
        report = self.reports.setdefault(address, _Report({}, near, relayed))
        report.relayed = relayed
        report.reached_s.update(dict.fromkeys(endpoints, now_s))
        for host, known in list(self.reports.items()):
            known.reached_s = {
                each: at_s
                for each, at_s in known.reached_s.items()
                if now_s - at_s <= REPORT_TTL_S
            }
            if not known.reached_s:
                del self.reports[host]

    def drop(self, address: str) -> None:
        """Forget a host that did not take a request."""
        self.reports.pop(address, None)

    def hosts(self, endpoints: Collection[str], now_s: float) -> list[str]:
        """Return the hosts that reach one of some endpoints, best first.

        Hosts with fewer requests in flight come first, and of these the near
        ones.
        """
        found = [
            (self._load(address, report), address)
            for address, report in self.reports.items()
            if any(
                now_s - report.reached_s.get(each, NEVER) <= REPORT_TTL_S
                for each in endpoints
            )
        ]
        return [address for _, address in sorted(found)]

    def _load(self, address: str, report: _Report) -> int:
        load = self.open.get(address, 0) + report.relayed
        return load if report.near else load + NEAR_ADVANTAGE

    def record_begin(self, address: str) -> None:
        """Record that a request of this host goes through another one."""
        self.open[address] = self.open.get(address, 0) + 1

    def record_end(self, address: str) -> None:
        """Record the end of such a request."""
        self.open[address] -= 1
        if not self.open[address]:
            del self.open[address]


def is_cut_off(
    groups: Iterable[Collection[str]],
    own: Reachability,
    peers: PeerPaths,
    now_s: float,
) -> bool:
    """Return whether this host alone can't reach a group of endpoints.

    One endpoint to which a connection fails is no proof, and neither are all
    if no other host reaches them.

    :param groups: ids of the endpoints that can stand in for each other
    """
    return any(
        group
        and all(own.is_unreachable(each) for each in group)
        and peers.hosts(group, now_s)
        for group in groups
    )
