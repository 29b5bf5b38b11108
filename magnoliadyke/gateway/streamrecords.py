"""Finds the software version at which a stream may go on.

See :mod:`magnoliadyke.core.streamversions`.
"""

import collections
import math
import random
from typing import NamedTuple

import gevent
from gevent import event
from gevent import lock

from magnoliadyke import app
from magnoliadyke import clock as clocks
from magnoliadyke.core import catalog
from magnoliadyke.core import routes
from magnoliadyke.core import streamversions
from magnoliadyke.gateway import callerwaits
from magnoliadyke.gateway import codec as codecs
from magnoliadyke.gateway import members
from magnoliadyke.gateway import placementservice
from magnoliadyke.gateway import stream_codec
from magnoliadyke import logs

__all__ = ['StreamRecords']

LOG = logs.get('streamrecords')

TICK_S = 0.1
#: Number of hosts that are told of a stream, and that are asked about one:
#: more are asked, as hosts differ in which others they take to be running.
HOSTS_TOLD = 3
HOSTS_ASKED = 7
#: Time limit for the replies, and time after which hosts that have not
#: replied are asked again, as a datagram may be lost, in seconds.
REPLY_TIMEOUT_S = 0.1
REPEAT_S = 0.04
#: Shortest time for which a version counts after its last entry, in seconds.
#: It counts for the longest timeout that a route whose streams may be resumed
#: has ever had, as callers of before a change may wait for as long.
MIN_WINDOW_S = 10.0
#: Interval at which a host asks others what was listed before it started, in
#: seconds.
INHERIT_INTERVAL_S = 0.5
#: Time added to a caller's deadline, in seconds.
DEADLINE_MARGIN_S = 2.0
#: Interval between two removals of expired records, in seconds.
EXPIRY_INTERVAL_S = 1.0
#: Maximum number of streams in a datagram, so that it does not exceed the
#: 1,400 bytes of a network packet.
MAX_STREAMS_PER_DATAGRAM = 24


class _Read(NamedTuple):
    """A read of the latest changes.

    :param started_s: when it began, in monotonic seconds
    :param is_done: whether the store told them
    """

    started_s: float
    is_done: bool


class _Query:
    """A query of this host that waits for replies.

    :ivar waiting: hosts that have not replied, by the nonce sent to each
    """

    def __init__(self, waiting: dict[int, str]) -> None:
        self.waiting = waiting
        self.reports: list[streamversions.Report] = []
        self.done = event.Event()

    def add(self, nonce: int, report: streamversions.Report) -> None:
        """Add a reply; a second one of the same host is ignored."""
        if self.waiting.pop(nonce, None) is None:
            return
        self.reports.append(report)
        if report.is_recorded or not self.waiting:
            self.done.set()


class StreamRecords(app.Component):
    """Records the versions that began streams, here and at other hosts.

    :ivar versions: streams on record at this host
    :ivar history: versions that the entries of endpoints named
    :ivar list_age_s: returns the age of the list of endpoints, in seconds
    :ivar read_latest: applies the changes of the store up to this moment;
        returns whether it told them
    :ivar last_read: the last such read
    :ivar queries: queries that wait for replies, by nonce
    :ivar waits: how long callers may wait, also those of earlier routes
    :ivar generation: generation of the list of endpoints that the history has
    :ivar has_list: whether the list of endpoints was ever known
    :ivar gaps: number of gaps in that list that the history knows of
    :ivar updated_boot_s: when the history was last updated, by the clock that
        also runs during a suspension
    :ivar certain: version of the streams that no other host was told of, by
        service
    :ivar counts: number of streams that callers took up, by what was known
    """

    def __init__(
        self,
        endpoint_catalog: catalog.Catalog,
        others: members.Members,
        placement_service: placementservice.PlacementService,
        waits: callerwaits.CallerWaits,
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        self.waits = waits
        self.catalog = endpoint_catalog
        self.members = others
        self.placement_service = placement_service
        self.clock = clock
        self.rng = rng
        self.versions = streamversions.StreamVersions()
        self.history = streamversions.VersionHistory()
        self.list_age_s = _list_age_unknown
        self.read_latest = _read_nothing
        self.reading = lock.BoundedSemaphore(1)
        self.last_read = _Read(-math.inf, False)
        self.queries: dict[int, _Query] = {}
        self.counts: collections.Counter[str] = collections.Counter()
        self.inherit_s = 0.0
        self.generation = -1
        self.gaps = 0
        self.has_list = False
        self.updated_boot_s = clock.boot_s()
        self.certain: dict[str, str] = {}
        self.expired_s = 0.0
        self.greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start to follow the versions that endpoints have."""
        self.greenlet = gevent.spawn(self._run)

    def stop(self, deadline_s: float) -> None:
        """Stop following them."""
        if self.greenlet is not None:
            self.greenlet.kill()
        self.waits.stop()

    def _run(self) -> None:
        while True:
            self.clock.sleep(TICK_S)
            self._update()
            self._window_s()
            self.waits.write_if_due()
            now_s = self.clock.now_s()
            self.history.note_absences(self.members.unheard_s(now_s), now_s)
            if now_s - self.expired_s >= EXPIRY_INTERVAL_S:
                self.expired_s = now_s
                self.versions.expire(now_s)
            for service in list(self.certain):
                if self._only_version(service) is None:
                    self._tell_all(service)
            if now_s - self.inherit_s >= INHERIT_INTERVAL_S:
                self.inherit_s = now_s
                self._inherit()

    def _inherit(self) -> None:
        """Ask others what was listed before this host knew the endpoints."""
        configuration = self.catalog.configuration
        if configuration is None or self.history.since_s is None:
            return
        window_s = self._window_s()
        if self.history.covers(window_s, self.clock.now_s()):
            return
        services = {
            target.service
            for route in configuration.routes
            if route.resumable
            for target in route.targets
        }
        for service in services - self.history.inherited:
            reports = self._ask(service, b'')
            if self.history.inherit(
                service, reports, window_s, self.clock.now_s()
            ):
                LOG.event('versions_inherited', service=service)

    def _update(self) -> None:
        """Record the versions in the list of endpoints, if it has changed."""
        boot_s = self.clock.boot_s()
        stalled_s = boot_s - self.updated_boot_s
        self.updated_boot_s = boot_s
        age_s = self.list_age_s()
        if age_s == math.inf:
            return
        now_s = self.clock.now_s()
        if not self.has_list:
            self.has_list = True
            self._check_first_start(now_s)
        if (
            age_s > streamversions.MAX_LIST_AGE_S
            or stalled_s > streamversions.MAX_STALL_S
            or self.catalog.gaps != self.gaps
            or self.history.since_s is None
        ):
            self.gaps = self.catalog.gaps
            self.history.restart(now_s)
        if self.catalog.generation == self.generation:
            return
        self.generation = self.catalog.generation
        for service, version in self.catalog.take_noted_versions():
            self.history.note(service, version, now_s)
        for service, listed in self.catalog.by_service.items():
            self.history.update(
                service, {each.version for each in listed.values()}, now_s
            )

    def _check_first_start(self, now_s: float) -> None:
        """Forget that no host ran before if one has left a key."""
        is_first = self.history.since_s == -math.inf
        if is_first and self.waits.position is not None:
            LOG.warning_event(
                'not_the_first_start', position=self.waits.position
            )
            self.history.restart(now_s)

    def _window_s(self) -> float:
        configuration = self.catalog.configuration
        timeouts_s = [
            route.timeout_s
            for route in (configuration.routes if configuration else ())
            if route.resumable
        ]
        if timeouts_s:
            self.waits.record(max(timeouts_s) + DEADLINE_MARGIN_S)
        return max(MIN_WINDOW_S, self.waits.longest_s)

    def _only_version(self, service: str) -> str | None:
        """Return the only version that can have begun a stream, if certain."""
        self._update()
        if self.list_age_s() > streamversions.MAX_LIST_AGE_S:
            return None
        now_s = self.clock.now_s()
        return self.history.only_version(service, self._window_s(), now_s)

    # Streams that begin.

    def record(
        self,
        request: codecs.Request,
        service: str,
        version: str,
        until_s: float,
        is_split: bool = False,
    ) -> None:
        """Record the version of a stream, before its first event is passed on.

        :param request: the request that began it, or that takes it up
        :param until_s: until when its caller may take it up, in monotonic
            seconds
        :param is_split: whether another service may have begun it
        """
        key = _key(request, service)
        if key is None:
            return
        now_s = self.clock.now_s()
        until_s += DEADLINE_MARGIN_S
        self.versions.record(key, service, version, until_s, now_s)
        if not is_split and self._only_version(service) is not None:
            self.certain[service] = version
            return
        told = stream_codec.StreamRecord(key, version, until_s - now_s)
        self._tell(service, {key: told})

    def _tell_all(self, service: str) -> None:
        """Tell of all streams, as a second version may serve from now on."""
        del self.certain[service]
        now_s = self.clock.now_s()
        streams = {
            key: stream_codec.StreamRecord(key, version, for_s)
            for key, version, for_s in self.versions.of_service(service, now_s)
        }
        LOG.event(
            'stream_versions_told', service=service, streams=len(streams)
        )
        self._tell(service, streams)

    def _tell(
        self, service: str, streams: dict[bytes, stream_codec.StreamRecord]
    ) -> None:
        by_host = collections.defaultdict(list)
        others = self.members.reachable_addresses()
        for key, told in streams.items():
            for address in streamversions.rank_hosts(key, others)[:HOSTS_TOLD]:
                by_host[address].append(told)
        for address, found in by_host.items():
            for start in range(0, len(found), MAX_STREAMS_PER_DATAGRAM):
                chunk = found[start : start + MAX_STREAMS_PER_DATAGRAM]
                message = stream_codec.StreamRecords(service, tuple(chunk))
                self.placement_service.send(address, message)

    def handle_records(self, message: stream_codec.StreamRecords) -> None:
        """Record streams that another host has begun."""
        now_s = self.clock.now_s()
        for key, version, for_s in message.streams:
            self.versions.record(
                key, message.service, version, now_s + for_s, now_s
            )

    # Streams that callers take up.

    def find_service(
        self, request: codecs.Request, route: routes.Route
    ) -> str | None:
        """Find the service that began a stream of a route of several.

        :returns: None if that is not on record of one of them alone
        """
        if len(route.targets) < 2 or _key(request, '') is None:
            return None
        searches = {
            target.service: gevent.spawn(
                self._is_on_record, request, target.service
            )
            for target in route.targets
        }
        try:
            gevent.joinall(searches.values(), raise_error=True)
        finally:
            gevent.killall(searches.values())
        found = [each for each, search in searches.items() if search.value]
        return found[0] if len(found) == 1 else None

    def _is_on_record(self, request: codecs.Request, service: str) -> bool:
        """Return whether a service is on record to have begun a stream."""
        key = _key(request, service)
        if self.versions.find(key, self.clock.now_s()) is not None:
            return True
        return any(each.is_recorded for each in self._ask(service, key))

    def resolve(
        self, request: codecs.Request, service: str
    ) -> streamversions.Known | streamversions.Unknown:
        """Find the version at which a stream that its caller takes up goes on.

        Waits for other hosts, unless the stream is on record here.
        """
        known = self._resolve(request, service)
        match known:
            case streamversions.Known(_, is_recorded):
                self.counts['recorded' if is_recorded else 'only'] += 1
            case streamversions.Unknown():
                self.counts['unknown'] += 1
        return known

    def _resolve(
        self, request: codecs.Request, service: str
    ) -> streamversions.Known | streamversions.Unknown:
        # Without a key other hosts still know which versions have served.
        key = _key(request, service) or b''
        now_s = self.clock.now_s()
        own = self.versions.find(key, now_s)
        if self.versions.is_ambiguous(key, now_s):
            # Another host may have one of the two streams on record.
            reports = [streamversions.Report(None, False, has_several=True)]
        elif own is not None:
            reports = []
        else:
            reports = self._ask(service, key)
        only = None
        recent: frozenset[str] = frozenset()
        known = streamversions.resolve(own, reports, only, recent)
        if isinstance(known, streamversions.Unknown) and self._may_be_certain(
            service, reports
        ):
            asked_s = self.clock.now_s()
            if self._read_latest():
                only = self._only_version(service)
                recent = self.history.recent(
                    service, self._window_s(), self.clock.now_s()
                )
            known = streamversions.resolve(
                own, self.history.complete(reports, asked_s), only, recent
            )
        LOG.event(
            'stream_taken_up',
            id=request.id.decode('latin-1'),
            resumes=(request.resumes or b'none').decode('latin-1'),
            known=type(known).__name__.lower(),
            software=getattr(known, 'version', 'none'),
            own=own or 'none',
            replies=len(reports),
            recorded=sum(each.is_recorded for each in reports),
            several=sum(each.has_several for each in reports),
            only=only or 'none',
            recent=','.join(sorted(recent)) or 'none',
        )
        return known

    def _may_be_certain(
        self, service: str, reports: list[streamversions.Report]
    ) -> bool:
        """Return whether one version may prove to be the only possible one."""
        if any(each.has_several for each in reports):
            return False
        return self._only_version(service) is not None or any(
            each.version is not None for each in reports
        )

    def _read_latest(self) -> bool:
        """Read the latest changes; return whether the store told them.

        Requests that wait for a read share the next one.
        """
        asked_s = self.clock.now_s()
        with self.reading:
            if self.last_read.started_s < asked_s:
                started_s = self.clock.now_s()
                self.last_read = _Read(started_s, self.read_latest())
            return self.last_read.is_done

    def _ask(self, service: str, key: bytes) -> list[streamversions.Report]:
        """Ask other hosts which version began a stream."""
        ranked = streamversions.rank_hosts(
            key, self.members.reachable_addresses()
        )
        waiting = {
            self.rng.getrandbits(62): each for each in ranked[:HOSTS_ASKED]
        }
        if not waiting:
            return []
        query = _Query(waiting)
        nonces = list(waiting)
        self.queries.update(dict.fromkeys(nonces, query))
        try:
            for wait_s in (REPEAT_S, REPLY_TIMEOUT_S - REPEAT_S):
                for nonce, address in list(query.waiting.items()):
                    message = stream_codec.StreamQuery(nonce, service, key)
                    self.placement_service.send(address, message)
                if query.done.wait(wait_s):
                    break
        finally:
            for nonce in nonces:
                del self.queries[nonce]
        return query.reports

    def handle_query(
        self, query: stream_codec.StreamQuery
    ) -> stream_codec.StreamReply:
        """Reply what this host knows of a stream."""
        now_s = self.clock.now_s()
        found = self.versions.find(query.key, now_s)
        if found is not None:
            report = streamversions.Report(found, True)
        elif self.versions.is_ambiguous(query.key, now_s):
            report = streamversions.Report(None, False, has_several=True)
        else:
            only = self._only_version(query.service)
            report = streamversions.Report(
                only,
                False,
                self.history.has_several(
                    query.service, self._window_s(), now_s
                ),
                min(self.list_age_s(), streamversions.MAX_LIST_AGE_S),
            )
        return stream_codec.StreamReply(query.nonce, report)

    def handle_reply(self, reply: stream_codec.StreamReply) -> None:
        """Pass a reply on to the request that waits for it."""
        query = self.queries.get(reply.nonce)
        if query is not None:
            query.add(reply.nonce, reply.report)


def _list_age_unknown() -> float:
    return math.inf


def _read_nothing() -> bool:
    return False


def _key(request: codecs.Request, service: str) -> bytes | None:
    """Return the key of a request's stream, None if it names none."""
    began = request.id
    if request.resume_after is not None:
        if request.resumes is None:
            return None
        began = request.resumes
    workspace = request.workspace.name if request.workspace else ''
    return streamversions.stream_key(service, workspace, began)
