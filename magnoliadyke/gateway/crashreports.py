"""Shares crash reports between hosts; bars requests that crash endpoints.

See :mod:`magnoliadyke.core.crashcauses` for the decisions.
"""

import collections
from collections.abc import Collection
from collections.abc import Iterable
import hashlib
import random
from typing import Callable
from typing import NamedTuple

import gevent

from magnoliadyke import app
from magnoliadyke import clock as clocks
from magnoliadyke.core import catalog
from magnoliadyke.core import crashcauses
from magnoliadyke.core import expiredentries
from magnoliadyke.gateway import codec as codecs
from magnoliadyke.gateway import crash_codec
from magnoliadyke.gateway import members
from magnoliadyke.gateway import placementservice
from magnoliadyke import logs

__all__ = ['Causes', 'CrashReporter', 'causes_of', 'software_of']

LOG = logs.get('suspects')

CAUSE_BYTES = 8
#: Maximum number of parts of a prompt that are counted, without the last one.
MAX_PARTS = 64
#: Maximum number of parts that a log line names.
MAX_LOGGED_PARTS = 8
#: Time for which broken runs of one endpoint are gathered into one report, in
#: seconds.
GATHER_S = 0.005
#: Maximum number of causes in a report, so that it does not exceed the 1,400
#: bytes of a network packet, and of reports on one crash.
MAX_CAUSES_PER_DATAGRAM = 72
MAX_DATAGRAMS_PER_CRASH = 4
#: Maximum number of crashes reported per second.  One request crashes one
#: endpoint at a time, and more reports would take bandwidth from small links.
MAX_REPORTS_PER_S = 24
#: Longest delay before other hosts are told of an answer that clears a cause,
#: in seconds.  The first host that tells it spares the others the message.
MAX_TELL_DELAY_S = 0.04
#: Interval at which each host repeats what it knows to some others, in
#: seconds: a datagram may be lost, and a host may have been cut off or have
#: started since.
REPEAT_INTERVAL_S = 0.5
HOSTS_TOLD = 2
#: Maximum number of causes that are repeated, and of those in a datagram.
MAX_STATES = 16
MAX_STATES_PER_DATAGRAM = 3


class Causes(NamedTuple):
    """What a request consists of, by digests.

    :param content: digest of its host, method, target and body: a caller's
        retry has another id, but the same content
    :param parts: digests of the parts of its prompt, without the last one,
        which no other request shares
    """

    content: crashcauses.Cause
    parts: tuple[crashcauses.Cause, ...]

    @property
    def all(self) -> frozenset[crashcauses.Cause]:
        """All of them."""
        return frozenset((self.content, *self.parts))


class _Gathered(NamedTuple):
    """Runs that an endpoint broke off, to be reported together.

    :param sent_s: when the last run with a cause was sent, by cause
    """

    at_s: float
    software: str
    sent_s: dict[crashcauses.Cause, float]


class CrashReporter(app.Component):
    """Records requests that endpoints failed, and notifies the other hosts.

    A caller may retry a failed request at any host, and other requests with
    the same part in their prompts come to any host, so all hosts need the
    same evidence.

    :param store_contact: returns this host's contact with the store, None
        without one
    :ivar on_barred: called when requests have been barred
    :ivar gathered: what is to be reported, by id of the endpoint
    :ivar answered: number of complete answers since the last report, by
        software
    :ivar window_start_s: start of the current one-second window of
        :data:`MAX_REPORTS_PER_S`
    :ivar sent_in_window: reports due in that window, including those over the
        limit, which are not sent
    :ivar broken_off: number of attempts that endpoints broke off
    :ivar counts: number of requests that were not run for their causes, and of
        those that were let through to try
    """

    def __init__(
        self,
        endpoint_catalog: catalog.Catalog,
        others: members.Members,
        placement_service: placementservice.PlacementService,
        store_contact: Callable[[], expiredentries.StoreContact | None],
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        self.catalog = endpoint_catalog
        self.members = others
        self.placement_service = placement_service
        self.store_contact = store_contact
        self.clock = clock
        self.rng = rng
        self.causes = crashcauses.CrashCauses()
        self.on_barred: Callable[[], None] = _do_nothing
        self.gathered: dict[str, _Gathered] = {}
        self.answered: collections.Counter[str] = collections.Counter()
        self.window_start_s = float('-inf')
        self.sent_in_window = 0
        self.broken_off = 0
        self.counts: collections.Counter[str] = collections.Counter()
        self.logged_bars: set[frozenset[crashcauses.Cause]] = set()
        self.greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start to repeat what this host knows."""
        self.greenlet = gevent.spawn(self._run)

    def stop(self, deadline_s: float) -> None:
        """Stop repeating it."""
        if self.greenlet is not None:
            self.greenlet.kill()

    def _run(self) -> None:
        while True:
            self.clock.sleep(REPEAT_INTERVAL_S)
            if not len(self.causes):
                continue
            self.causes.serving = {
                service: frozenset(
                    software_of(service, each.version)
                    for each in listed.values()
                )
                for service, listed in self.catalog.by_service.items()
            }
            states = self.causes.states(MAX_STATES)
            addresses = self.members.reachable_addresses()
            chosen = self.rng.sample(
                addresses, min(HOSTS_TOLD, len(addresses))
            )
            self._send_states(states, chosen)

    # Evidence.

    def record_crash(
        self,
        request: codecs.Request,
        causes: Causes,
        service: str,
        endpoint: str,
        sent_s: float,
    ) -> None:
        """Record that an endpoint failed a request without an answer.

        One that is leaving may end with requests that it has not finished.

        :param sent_s: when the request was sent, in monotonic seconds
        """
        now_s = self.clock.now_s()
        listed = self.catalog.endpoints.get(endpoint)
        self._log_broken_off(request, causes, endpoint, listed)
        if listed is not None and listed.leaving:
            return
        software = software_of(service, listed.version if listed else '')
        if not self.causes.record_broken_run(
            causes.all, endpoint, software, sent_s, now_s
        ):
            return
        gathered = self.gathered.get(endpoint)
        if gathered is None:
            # Told at once: the caller may ask another host right away.
            sent = dict.fromkeys(causes.all, sent_s)
            self._report(endpoint, software, now_s, sent)
            self.gathered[endpoint] = _Gathered(now_s, software, {})
            gevent.spawn(self._report_gathered, endpoint)
        else:
            for cause in causes.all:
                gathered.sent_s[cause] = max(
                    sent_s, gathered.sent_s.get(cause, sent_s)
                )
        self._log_changes()

    def _report_gathered(self, endpoint: str) -> None:
        """Report the runs that broke off after the first one."""
        self.clock.sleep(GATHER_S)
        at_s, software, sent_s = self.gathered.pop(endpoint)
        self._report(endpoint, software, at_s, sent_s)

    def _report(
        self,
        endpoint: str,
        software: str,
        at_s: float,
        sent_s: dict[crashcauses.Cause, float],
    ) -> None:
        """Report a crash to the other hosts.

        :param sent_s: when the last run with a cause was sent, by cause
        """
        suspected = [
            (cause, at_s - sent_s[cause])
            for cause in self.causes.uncleared(sent_s, software, at_s)
        ]
        if not suspected or not self._may_report(endpoint):
            return
        now_s = self.clock.now_s()
        answered = min(
            self.answered.pop(software, 0),
            self.causes.answers_since(
                software,
                now_s - crashcauses.ANSWER_COVERS_S,
                self.causes.own_answered,
            ),
        )
        ago_s = now_s - at_s
        for start in range(0, len(suspected), MAX_CAUSES_PER_DATAGRAM)[
            :MAX_DATAGRAMS_PER_CRASH
        ]:
            chunk = suspected[start : start + MAX_CAUSES_PER_DATAGRAM]
            self._broadcast(
                crash_codec.CrashReport(
                    software, endpoint, ago_s, answered, tuple(chunk)
                )
            )
            answered = 0

    def _may_report(self, endpoint: str) -> bool:
        now_s = self.clock.now_s()
        if now_s - self.window_start_s >= 1.0:
            self.window_start_s = now_s
            self.sent_in_window = 0
        self.sent_in_window += 1
        if self.sent_in_window <= MAX_REPORTS_PER_S:
            return True
        LOG.throttled_warning(
            'crash_not_reported', endpoint, reports=self.sent_in_window
        )
        return False

    def handle_report(self, message: crash_codec.CrashReport) -> None:
        """Record a crash that another host reports."""
        now_s = self.clock.now_s()
        software, endpoint, ago_s, answered, causes = message
        self.causes.record_answers(software, answered, now_s)
        at_s = now_s - ago_s
        crashes = {
            cause: crashcauses.Crash(at_s, software, at_s - ran_s)
            for cause, ran_s in causes
        }
        self.causes.record_crashes(crashes, endpoint, now_s)
        self._tell_later(crashes)
        self._log_changes()

    def handle_states(self, message: crash_codec.CauseStates) -> None:
        """Record what another host knows of causes."""
        now_s = self.clock.now_s()
        for state in message.states:
            self.causes.merge(state.shifted(now_s), now_s)
        self._tell_later([each.cause for each in message.states])
        self._log_changes()

    def record_success(
        self,
        request: codecs.Request,
        causes: Callable[[], Causes],
        service: str,
        endpoint: str,
    ) -> None:
        """Record that a request got a complete answer.

        Its content is not hashed while no crash is on record.

        :param causes: returns what the request consists of
        """
        listed = self.catalog.endpoints.get(endpoint)
        if listed is None:
            return
        software = software_of(service, listed.version)
        self.answered[software] += 1
        if len(self.causes):
            found: Collection[crashcauses.Cause] = causes().all
        else:
            found = _parts_of(request, service)
        self.causes.record_answer(found, software, self.clock.now_s())
        if len(self.causes):
            self._tell(self.causes.untold_answers(found))
            self._log_changes()

    def record_answer(
        self, endpoint: str, opened_s: float, sent_s: float
    ) -> None:
        """Record that an endpoint answered a request on a connection.

        Its process has run from the opening of the connection on: a crash
        closes the connections, so what broke off meanwhile was no crash.

        :param opened_s: when the connection was opened
        :param sent_s: when the request was sent on it
        """
        cleared = self.causes.record_alive(endpoint, opened_s, sent_s)
        self._log_withdrawn(cleared, endpoint, 'answered since')

    # Decisions.

    @property
    def has_bars(self) -> bool:
        """Whether anything is barred; a request need not be hashed if not."""
        return bool(self.causes.bars)

    def verdict(
        self, causes: Causes, softwares: Collection[str]
    ) -> crashcauses.Verdict:
        """Return whether a request may run at endpoints of some software.

        :param softwares: that of the endpoints that may run it, empty if none
            is known
        :returns: the most favourable verdict
        """
        now_s = self.clock.now_s()
        found = [
            self.causes.verdict(causes.all, software, now_s)
            for software in softwares or (None,)
        ]
        for kind in (crashcauses.Clear, crashcauses.Settling):
            for each in found:
                if isinstance(each, kind):
                    return each
        return found[0]

    def wait_for_verdict(
        self, causes: Causes, softwares: Collection[str]
    ) -> crashcauses.Clear | crashcauses.Barred:
        """Return the same, after a short wait if it is not decided yet."""
        while True:
            match self.verdict(causes, softwares):
                case crashcauses.Settling(wait_s):
                    self.clock.sleep(wait_s)
                case crashcauses.Barred(causes=barred) if (
                    self._withdraw_listed(barred)
                ):
                    continue
                case decided:
                    return decided

    def start_trial(self, request: codecs.Request, causes: Causes) -> bool:
        """Return whether a barred request may run, to see if it still crashes.

        The other hosts are told before it does.
        """
        states = self.causes.start_trial(causes.all, self.clock.now_s())
        if not states:
            return False
        self.counts['tried'] += 1
        self._send_states(states, self.members.reachable_addresses())
        LOG.warning_event(
            'barred_request_tried',
            id=request.id.decode('latin-1'),
            causes=_names(state.cause for state in states),
            trials=max(state.trials for state in states),
        )
        return True

    def log_barred(
        self,
        request: codecs.Request,
        barred: crashcauses.Barred,
        endpoint: str = 'none',
    ) -> None:
        """Log that a request is not run.

        :param endpoint: the endpoint to which it was to be sent, if any
        """
        self.counts['barred'] += 1
        records = [self.causes.records[cause] for cause in barred.causes]
        LOG.event(
            'request_barred',
            id=request.id.decode('latin-1'),
            endpoint=endpoint,
            causes=_names(barred.causes),
            crashes=min(len(each.crashes) for each in records),
            retry_after_ms=round(barred.retry_after_s * 1000),
        )

    def _withdraw_listed(self, causes: Iterable[crashcauses.Cause]) -> bool:
        """Withdraw crashes of endpoints that are still listed.

        :returns: whether there were any
        """
        contact = self.store_contact()
        if contact is None:
            return False
        now_s = self.clock.now_s()
        failed = {e for c in causes for e in self.causes.records[c].crashes}
        withdrawn = False
        for endpoint in failed:
            if endpoint not in self.catalog.endpoints:
                continue
            cleared = self.causes.record_listed(
                endpoint, now_s - contact.for_s, now_s - contact.age_s
            )
            withdrawn = withdrawn or bool(cleared)
            self._log_withdrawn(cleared, endpoint, 'still listed')
        return withdrawn

    # Other hosts.

    def _tell_later(self, causes: Collection[crashcauses.Cause]) -> None:
        """Tell other hosts of answers, unless another host does so first."""
        if self.causes.untold_answers(causes):
            gevent.spawn(self._tell_after_delay, causes)

    def _tell_after_delay(self, causes: Collection[crashcauses.Cause]) -> None:
        self.clock.sleep(self.rng.random() * MAX_TELL_DELAY_S)
        self._tell(self.causes.untold_answers(causes))

    def _tell(self, states: list[crashcauses.CauseState]) -> None:
        if states:
            self.causes.record_told(states)
            self._send_states(states, self.members.reachable_addresses())

    def _send_states(
        self, states: list[crashcauses.CauseState], addresses: list[str]
    ) -> None:
        now_s = self.clock.now_s()
        for start in range(0, len(states), MAX_STATES_PER_DATAGRAM):
            chunk = states[start : start + MAX_STATES_PER_DATAGRAM]
            message = crash_codec.CauseStates(
                tuple(each.shifted(-now_s) for each in chunk)
            )
            for address in addresses:
                self.placement_service.send(address, message)

    def _broadcast(self, message: crash_codec.Message) -> None:
        for address in self.members.reachable_addresses():
            self.placement_service.send(address, message)

    # Log.

    def _log_changes(self) -> None:
        """Log what is barred anew, and what no longer is."""
        bars = set(self.causes.bars)
        for bar in bars - self.logged_bars:
            records = [self.causes.records[cause] for cause in bar]
            crashed = set.intersection(*(set(r.crashes) for r in records))
            LOG.warning_event(
                'cause_barred',
                causes=_names(bar),
                endpoints=','.join(sorted(crashed)),
            )
        for bar in self.logged_bars - bars:
            LOG.warning_event('cause_released', causes=_names(bar))
        if bars - self.logged_bars:
            gevent.spawn(self._settle)
        self.logged_bars = bars

    def _settle(self) -> None:
        self.clock.sleep(crashcauses.SETTLE_S)
        self.on_barred()

    def _log_broken_off(
        self,
        request: codecs.Request,
        causes: Causes,
        endpoint: str,
        listed: catalog.Endpoint | None,
    ) -> None:
        """Log what a request that broke off has in common with others."""
        self.broken_off += 1
        parts = []
        if request.prompt is not None:
            parts = request.prompt.parts[:-1][:MAX_LOGGED_PARTS]
        LOG.event(
            'broken_off',
            id=request.id.decode('latin-1'),
            endpoint=endpoint,
            software=listed.version if listed else 'none',
            leaving=listed.leaving if listed else 'none',
            content=causes.content.digest.hex(),
            parts=','.join(f'{part.id:x}' for part in parts) or 'none',
            causes=_names(causes.parts[:MAX_LOGGED_PARTS]) or 'none',
        )

    def _log_withdrawn(
        self, causes: list[crashcauses.Cause], endpoint: str, reason: str
    ) -> None:
        if causes:
            LOG.throttled_warning(
                'crash_withdrawn',
                endpoint,
                endpoint=endpoint,
                causes=len(causes),
                reason=reason,
            )
            self._log_changes()


def software_of(service: str, version: str) -> str:
    """Return the name of an endpoint's software: its service and version."""
    return f'{service} {version}'


def causes_of(request: codecs.Request, service: str) -> Causes:
    """Return what a request consists of.

    Parts are those of a workspace: what callers of one name bars no others.
    """
    digest = hashlib.blake2b(digest_size=CAUSE_BYTES)
    for piece in (
        request.host.encode(),
        request.method,
        request.target,
        request.body,
    ):
        digest.update(len(piece).to_bytes(4, 'big'))
        digest.update(piece)
    content = crashcauses.Cause(False, digest.digest())
    return Causes(content, _parts_of(request, service))


def _parts_of(
    request: codecs.Request, service: str
) -> tuple[crashcauses.Cause, ...]:
    if request.prompt is None:
        return ()
    workspace = request.workspace.name if request.workspace else ''
    scope = f'{service}\0{workspace}\0'.encode()
    return tuple(
        crashcauses.Cause(
            True,
            hashlib.blake2b(
                scope + part.id.to_bytes(8, 'big'), digest_size=CAUSE_BYTES
            ).digest(),
        )
        for part in request.prompt.parts[:-1][:MAX_PARTS]
    )


def _names(causes: Iterable[crashcauses.Cause]) -> str:
    return ','.join(sorted(str(each) for each in causes))


def _do_nothing() -> None:
    return None
