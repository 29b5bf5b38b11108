"""Observations of the endpoints of plain services, shared between hosts."""

import dataclasses
from typing import Iterable
from typing import NamedTuple

__all__ = [
    'Cooldown',
    'Observation',
    'OwnCounts',
    'SharedObservations',
    'Summary',
]

#: Time for which a report counts, in seconds. Its weight falls linearly to 0.
WINDOW_S = 3.0
#: Maximum number of hosts whose reports of one endpoint are kept.
MAX_HOSTS_PER_ENDPOINT = 64
#: Time for which the incarnation of a host that no longer reports is kept, in
#: seconds, and the maximum number of such hosts.
INCARNATION_S = 30.0
MAX_INCARNATIONS = 512
#: Share of the remaining cooldown of another host that counts here, and the
#: longest time for which it does, in seconds: that host alone may be cut off.
COOLDOWN_SHARE = 1 / 3
MAX_SHARED_COOLDOWN_S = 1.0


class Observation(NamedTuple):
    """What a host observed of an endpoint since its last report.

    :param endpoint: id of the endpoint
    :param responses: finished requests, with those that failed
    :param mean_s: mean response time of the requests that did not fail, in
        seconds
    :param failures: requests that failed
    :param in_flight: requests in flight when the report was made
    :param cooldown_s: remaining cooldown of the endpoint, in seconds
    """

    endpoint: str
    responses: int
    mean_s: float
    failures: int
    in_flight: int
    cooldown_s: float = 0.0


class Summary(NamedTuple):
    """What other hosts observed of an endpoint in the last 3 s.

    :param successes: number of successful responses, weighted by age
    :param mean_s: their mean response time, in seconds
    :param responses: number of responses, weighted by age
    :param failure_rate: share of them that failed, 0 to 1
    :param in_flight: reported requests in flight
    """

    successes: float
    mean_s: float
    responses: float
    failure_rate: float
    in_flight: int


class Cooldown(NamedTuple):
    """A cooldown that other hosts reported.

    :param until_s: when it ends for this host, in monotonic seconds
    :param received_s: when the report was received, in monotonic seconds, by
        host that sent it
    """

    until_s: float
    received_s: dict[str, float]


class _Report(NamedTuple):
    received_s: float
    observation: Observation

    @property
    def cooldown_until_s(self) -> float:
        cooldown_s = self.observation.cooldown_s * COOLDOWN_SHARE
        return self.received_s + min(cooldown_s, MAX_SHARED_COOLDOWN_S)


class SharedObservations:
    """The latest report of each other host on each endpoint.

    :ivar reports: the reports by endpoint id and host, the oldest first
    :ivar last_s: when the last report was recorded, in monotonic seconds
    :ivar incarnations: incarnation of each host, and when it last reported
    """

    def __init__(self) -> None:
        self.reports: dict[str, dict[str, _Report]] = {}
        self.last_s = float('-inf')
        self.incarnations: dict[str, tuple[int, float]] = {}

    def record(
        self,
        host: str,
        incarnation: int,
        observed: Iterable[Observation],
        now_s: float,
    ) -> bool:
        """Record a report; it replaces the former one of the same host.

        :param incarnation: number of the host's process
        :returns: False if the report is of an older process and is not used
        """
        self._expire(now_s)
        known = self.incarnations.pop(host, (incarnation, now_s))
        if incarnation < known[0]:
            self.incarnations[host] = known
            return False
        self.incarnations[host] = incarnation, now_s
        if len(self.incarnations) > MAX_INCARNATIONS:
            del self.incarnations[next(iter(self.incarnations))]
        for each in observed:
            self.last_s = now_s
            by_host = self.reports.setdefault(each.endpoint, {})
            by_host.pop(host, None)
            by_host[host] = _Report(now_s, each)
            if len(by_host) > MAX_HOSTS_PER_ENDPOINT:
                del by_host[next(iter(by_host))]
        return True

    def _expire(self, now_s: float) -> None:
        for endpoint, by_host in list(self.reports.items()):
            for host, report in list(by_host.items()):
                if now_s - report.received_s < WINDOW_S:
                    break
                del by_host[host]
            if not by_host:
                del self.reports[endpoint]
        for host, (_, last_s) in list(self.incarnations.items()):
            if now_s - last_s >= INCARNATION_S:
                del self.incarnations[host]

    def is_recent(self, now_s: float) -> bool:
        """Return whether there is a report that counts."""
        return bool(self.reports) and now_s - self.last_s < WINDOW_S

    def summary(self, endpoint: str, now_s: float) -> Summary | None:
        """Return the recent reports on an endpoint; None without any."""
        successes = total_s = responses = failures = 0.0
        in_flight = count = 0
        for received_s, observed in self.reports.get(endpoint, {}).values():
            weight = 1 - (now_s - received_s) / WINDOW_S
            if weight <= 0:
                continue
            count += 1
            answered = weight * (observed.responses - observed.failures)
            successes += answered
            total_s += answered * observed.mean_s
            responses += weight * observed.responses
            failures += weight * observed.failures
            in_flight += observed.in_flight
        if not count:
            return None
        return Summary(
            successes,
            total_s / successes if successes else 0.0,
            responses,
            failures / responses if responses else 0.0,
            in_flight,
        )

    def cooldown(self, endpoint: str, now_s: float) -> Cooldown | None:
        """Return the cooldown that other hosts reported; None without one."""
        found = {
            host: report
            for host, report in self.reports.get(endpoint, {}).items()
            if report.cooldown_until_s > now_s
        }
        if not found:
            return None
        return Cooldown(
            max(report.cooldown_until_s for report in found.values()),
            {host: each.received_s for host, each in found.items()},
        )

    def drop_unlisted(self, listed: set[str]) -> None:
        """Drop the reports on endpoints that are no longer listed.

        :param listed: ids of the listed endpoints
        """
        for endpoint in [e for e in self.reports if e not in listed]:
            del self.reports[endpoint]


@dataclasses.dataclass(slots=True)
class _Count:
    responses: int = 0
    failures: int = 0
    total_s: float = 0.0


class OwnCounts:
    """What this host observed of endpoints since its last report.

    :ivar by_id: the counts by endpoint id
    """

    def __init__(self) -> None:
        self.by_id: dict[str, _Count] = {}

    def record_use(self, endpoint: str) -> None:
        """Record that a request was sent to an endpoint."""
        self.by_id.setdefault(endpoint, _Count())

    def record_result(
        self, endpoint: str, took_s: float, failed: bool
    ) -> None:
        """Record the end of a request.

        :param took_s: response time, in seconds; not used if it failed
        """
        count = self.by_id.setdefault(endpoint, _Count())
        count.responses += 1
        if failed:
            count.failures += 1
        else:
            count.total_s += took_s

    def take(self, endpoint: str) -> Observation:
        """Return the counts of an endpoint, and start them anew."""
        count = self.by_id.pop(endpoint, None) or _Count()
        successes = count.responses - count.failures
        return Observation(
            endpoint,
            count.responses,
            count.total_s / successes if successes else 0.0,
            count.failures,
            0,
        )

    def drop_unlisted(self, listed: set[str]) -> None:
        """Drop the counts of endpoints that are no longer listed."""
        for endpoint in [e for e in self.by_id if e not in listed]:
            del self.by_id[endpoint]
