"""Finds what requests have in common that crash the endpoints that run them.

A crash breaks off every run of an endpoint, so each crash is evidence against
all that these requests consist of: their content and the parts of their
prompts.  Such a thing is called a cause here, and is known by a digest.

* A complete answer to a request clears its causes of the crashes at endpoints
  of that software, of those shortly after the answer too.
* A cause with :data:`MIN_CRASHES` crashes left is barred, unless its runs were
  all under way at one moment, as if endpoints had failed together, or so many
  other runs break off that it may be by chance.
* Crashes that one barred cause explains do not count for others.  Causes that
  were present at the same crashes can't be told apart: only requests with all
  of them are barred, until a crash or an answer tells which one it is, or the
  crashes become too many.
* After a while one request may run, so that a cause comes back once its
  endpoints have been repaired; soon, if hardly any other request is answered
  either.

The rule is that of consecutive failures; see docs/design/crash-causes.md for
the alternatives.
"""

import collections
from collections.abc import Collection
from collections.abc import Iterable
import dataclasses
import itertools
import math
from typing import NamedTuple

__all__ = [
    'ANSWER_COVERS_S',
    'Bar',
    'Barred',
    'Cause',
    'CauseState',
    'Clear',
    'Crash',
    'CrashCauses',
    'MIN_CRASHES',
    'NEVER_S',
    'SETTLE_S',
    'Settling',
    'Verdict',
]

#: Crashes from which on a cause is barred.  Two also happen to a request that
#: is retried after the first one and meets a second one by chance.
MIN_CRASHES = 3
#: Crashes from which on each of the causes that can't be told apart bars a
#: request, and no longer only all together.
MAX_CRASHES_TOGETHER = 5
#: Crashes from which on other hosts are told of complete answers.
SUSPECT_CRASHES = 2
#: Time for which the complete answer to a request clears its causes of crashes
#: that follow, in seconds.
ANSWER_COVERS_S = 1.0
#: Time for which other hosts may report complete answers before a cause is
#: barred, in seconds.
SETTLE_S = 0.1
#: Complete answers that show that not all requests crash the endpoints.
MIN_ANSWERS = 3
#: Probability below which all runs with a cause broke off by chance, going by
#: the share of other runs that did.
MAX_CHANCE = 1e-3
#: Time for which software that answered may still be given the cause while it
#: is barred at other software, in seconds.
ANSWERED_RECENTLY_S = 30.0
#: Time in which the hosts see one crash, in seconds.
SAME_CRASH_S = 0.1
#: Time after a crash in which a host may still send on connections that it
#: kept, in seconds.
STALE_CONNECTION_S = 1.0
#: Time from the last crash until one request may run, in seconds.  It doubles
#: with each one that crashes its endpoint too.
FIRST_TRIAL_S = 60.0
MAX_TRIAL_INTERVAL_S = 1800.0
MAX_DOUBLINGS = 10
#: The same while hardly any other request is answered either, in seconds.
UNCERTAIN_TRIAL_S = 2.0
#: How long crashes are kept, in seconds: callers retry, and crashed endpoints
#: restart, within a few seconds.
RETENTION_S = 120.0
#: The same for a barred cause after the last request with it.
BARRED_RETENTION_S = 1800.0
#: Time after its crash by which an endpoint is no longer listed, if the store
#: answers meanwhile, in seconds: three of its heartbeats, and a watch of the
#: store that tells nothing.
LISTED_S = 10.0
#: Limits of what is kept.
MAX_CAUSES = 4096
MAX_CRASHES_PER_CAUSE = 8
MAX_ANSWERS = 4096
MAX_ANSWERED_SECONDS = 256
MAX_ENDPOINTS = 1024
MAX_BROKEN_RUNS = 256
#: Number of the oldest causes of which the one with the fewest crashes is
#: dropped when there are too many.
DROP_CHOICE = 64

NEVER_S = float('-inf')


class Cause(NamedTuple):
    """Something that requests may share.

    :param is_part: whether it is a part of prompts, else the whole content of
        a request
    """

    is_part: bool
    digest: bytes

    def __str__(self) -> str:
        kind = 'part' if self.is_part else 'content'
        return f'{kind}-{self.digest.hex()}'


class Crash(NamedTuple):
    """A crash of an endpoint under a run with a cause.

    :param at_s: when the run broke off, in monotonic seconds
    :param software: service and software version of the endpoint
    :param sent_s: when the run was sent, the last one if there were several
    """

    at_s: float
    software: str
    sent_s: float

    def shifted(self, by_s: float) -> 'Crash':
        """Return the same with its moments moved, by a time in seconds."""
        return Crash(self.at_s + by_s, self.software, self.sent_s + by_s)


class Clear(NamedTuple):
    """A request may run."""


class Settling(NamedTuple):
    """Whether a request may run is decided shortly.

    :param wait_s: time until then, in seconds
    """

    wait_s: float


class Barred(NamedTuple):
    """A request may not run.

    :param retry_after_s: time until a request with its causes may run again,
        in seconds
    :param causes: the causes that are barred together
    """

    retry_after_s: float
    causes: frozenset[Cause]


Verdict = Clear | Settling | Barred


class CauseState(NamedTuple):
    """What one host knows of a cause, for the others.

    :param crashes: crashes by id of the endpoint process
    :param answers: when a request with it was last answered completely, by
        software
    :param trials: number of requests that were let through while it was
        barred
    :param tried_s: when the last one was, in monotonic seconds
    :param is_barred: whether the host bars it
    """

    cause: Cause
    crashes: dict[str, Crash]
    answers: dict[str, float]
    trials: int = 0
    tried_s: float = NEVER_S
    is_barred: bool = False

    def shifted(self, by_s: float) -> 'CauseState':
        """Return the same with all moments moved, by a time in seconds."""
        crashes = {
            endpoint: crash.shifted(by_s)
            for endpoint, crash in self.crashes.items()
        }
        answers = {name: at_s + by_s for name, at_s in self.answers.items()}
        return CauseState(
            self.cause,
            crashes,
            answers,
            self.trials,
            self.tried_s + by_s,
            self.is_barred,
        )


@dataclasses.dataclass(slots=True)
class _Record:
    """Crashes of one cause, by id of the endpoint process.

    :param is_barred: whether this host or another one bars it; a host that
        has just started can't tell what is chance
    """

    crashes: dict[str, Crash]
    seen_s: float
    trials: int = 0
    tried_s: float = NEVER_S
    is_barred: bool = False


@dataclasses.dataclass(slots=True)
class Bar:
    """Causes that are barred together, as they can't be told apart.

    :param since_s: since when, in monotonic seconds
    :param is_any: whether each of them alone bars a request, else all together
    :param lapses_s: until when it is kept although other causes explain its
        crashes as well, as reports of these may still be on their way
    """

    causes: frozenset[Cause]
    since_s: float
    is_any: bool
    lapses_s: float = math.inf

    def applies(self, causes: Collection[Cause], now_s: float) -> bool:
        """Return whether a request with some causes is barred."""
        if now_s >= self.lapses_s:
            return False
        if self.is_any:
            return not self.causes.isdisjoint(causes)
        return self.causes.issubset(causes)


class _BrokenRun(NamedTuple):
    at_s: float
    software: str
    causes: frozenset[Cause]


class CrashCauses:
    """Crashes and complete answers by cause, of all hosts.

    :ivar records: crashes by cause, the latest recorded last
    :ivar by_endpoint: causes on record for an endpoint, by its id
    :ivar answers: when a request with a cause was last answered completely, by
        cause and software
    :ivar told: the same, as far as other hosts know of it
    :ivar alive_s: until when an endpoint is known to have run, by its id, for
        those at which a run was broken off
    :ivar crashed_s: when the first run broke off at an endpoint, by its id
    :ivar broken_runs: this host's own runs that were broken off lately
    :ivar hosts: number of hosts
    :ivar serving: software of the endpoints that are listed, by service
    :ivar own_answered: number of complete answers of this host by software and
        second
    :ivar answered: the same with those of other hosts, as far as known
    :ivar bars: what is barred, by its causes
    """

    def __init__(self) -> None:
        self.records: collections.OrderedDict[Cause, _Record] = (
            collections.OrderedDict()
        )
        self.by_endpoint: dict[str, set[Cause]] = {}
        self.answers: collections.OrderedDict[tuple[Cause, str], float] = (
            collections.OrderedDict()
        )
        self.told: collections.OrderedDict[tuple[Cause, str], float] = (
            collections.OrderedDict()
        )
        self.alive_s: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self.crashed_s: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self.broken_runs: collections.deque[_BrokenRun] = collections.deque(
            maxlen=MAX_BROKEN_RUNS
        )
        self.hosts = 1
        self.serving: dict[str, frozenset[str]] = {}
        self.own_answered: collections.Counter[tuple[str, int]] = (
            collections.Counter()
        )
        self.answered: collections.Counter[tuple[str, int]] = (
            collections.Counter()
        )
        self.bars: dict[frozenset[Cause], Bar] = {}

    def __len__(self) -> int:
        return len(self.records)

    # Evidence.

    def record_broken_run(
        self,
        causes: Collection[Cause],
        endpoint: str,
        software: str,
        sent_s: float,
        now_s: float,
    ) -> bool:
        """Record that an endpoint broke off a run of this host.

        :param sent_s: when the run was sent, in monotonic seconds
        :returns: False if the endpoint had just ended, as far as known; it is
            no evidence then
        """
        crashed_s = self.crashed_s.get(endpoint, math.inf)
        if crashed_s <= sent_s < crashed_s + STALE_CONNECTION_S:
            return False
        run = _BrokenRun(now_s, software, frozenset(causes))
        self.broken_runs.append(run)
        crash = Crash(now_s, software, sent_s)
        self.record_crashes(dict.fromkeys(causes, crash), endpoint, now_s)
        return True

    def record_crashes(
        self, crashes: dict[Cause, Crash], endpoint: str, now_s: float
    ) -> None:
        """Record that runs with causes were broken off at an endpoint.

        :param crashes: its crash under the runs with each cause
        :param endpoint: id of the endpoint process; a restarted one has
            another id
        """
        for cause, crash in crashes.items():
            self._add_crash(cause, endpoint, crash, now_s)
        self._trim()
        self._update(now_s)

    def _add_crash(
        self, cause: Cause, endpoint: str, crash: Crash, now_s: float
    ) -> None:
        """Record a crash, unless the endpoint lived on."""
        if crash.at_s <= self.alive_s.get(endpoint, NEVER_S):
            return
        crashed_s = self.crashed_s.get(endpoint, math.inf)
        if crash.at_s < crashed_s:
            self.crashed_s[endpoint] = crash.at_s
            if len(self.crashed_s) > MAX_ENDPOINTS:
                self.crashed_s.popitem(last=False)
        record = self.records.get(cause)
        if record is not None and self._is_expired(cause, record, now_s):
            self._remove(cause)
            record = None
        if record is None:
            record = _Record({}, now_s)
        # Inserted anew at the end: causes are dropped from the front.
        self.records[cause] = record
        self.records.move_to_end(cause)
        record.seen_s = now_s
        known = record.crashes.get(endpoint)
        if known is not None:
            if crash.at_s < known.at_s:
                record.crashes[endpoint] = crash
            return
        record.crashes[endpoint] = crash
        self.by_endpoint.setdefault(endpoint, set()).add(cause)
        if len(record.crashes) > MAX_CRASHES_PER_CAUSE:
            oldest = min(record.crashes, key=lambda e: record.crashes[e].at_s)
            self._withdraw(cause, oldest)

    def record_answer(
        self, causes: Collection[Cause], software: str, now_s: float
    ) -> None:
        """Record that a request of this host was answered completely."""
        self._count(self.own_answered, software, 1, now_s)
        self.record_answers(software, 1, now_s)
        changed = False
        for cause in causes:
            self._set_latest(self.answers, (cause, software), now_s)
            changed = changed or cause in self.records
        if changed:
            self._update(now_s)

    def record_answers(self, software: str, count: int, now_s: float) -> None:
        """Record complete answers to requests, whatever their causes."""
        self._count(self.answered, software, count, now_s)

    def _count(
        self,
        counts: collections.Counter[tuple[str, int]],
        software: str,
        count: int,
        now_s: float,
    ) -> None:
        if not count:
            return
        counts[software, int(now_s)] += count
        if len(counts) > MAX_ANSWERED_SECONDS:
            del counts[next(iter(counts))]

    def answers_since(
        self,
        software: str,
        since_s: float,
        counts: dict[tuple[str, int], int] | None = None,
    ) -> int:
        """Return the number of complete answers since a moment.

        :param counts: the answers counted, :attr:`answered` if None
        """
        counts = self.answered if counts is None else counts
        return sum(
            count
            for (name, second), count in counts.items()
            if name == software and second >= int(since_s)
        )

    def record_alive(
        self, endpoint: str, from_s: float, to_s: float
    ) -> list[Cause]:
        """Record that an endpoint's process ran through a span of time.

        What broke off meanwhile was no crash.

        :param from_s: begin of the span, in monotonic seconds
        :returns: causes that have one crash less
        """
        cleared = [
            cause
            for cause in self.by_endpoint.get(endpoint, ())
            if from_s < self.records[cause].crashes[endpoint].at_s < to_s
        ]
        if cleared:
            self.crashed_s.pop(endpoint, None)
            self._set_latest(self.alive_s, endpoint, to_s, MAX_ENDPOINTS)
            for cause in cleared:
                self._withdraw(cause, endpoint)
            self._update(to_s)
        return cleared

    def record_listed(
        self, endpoint: str, since_s: float, to_s: float
    ) -> list[Cause]:
        """Record that a store that would drop an endpoint lists it.

        :param since_s: since when the store has answered
        :param to_s: up to when the list is known
        :returns: causes that have one crash less
        """
        causes = self.by_endpoint.get(endpoint)
        if not causes:
            return []
        at_s = min(self.records[c].crashes[endpoint].at_s for c in causes)
        if max(at_s, since_s) + LISTED_S > to_s:
            return []
        return self.record_alive(endpoint, NEVER_S, to_s)

    def merge(self, state: CauseState, now_s: float) -> None:
        """Record what another host knows of a cause."""
        for software, at_s in state.answers.items():
            for known in (self.answers, self.told):
                self._set_latest(known, (state.cause, software), at_s)
        for endpoint, crash in state.crashes.items():
            self._add_crash(state.cause, endpoint, crash, now_s)
        record = self.records.get(state.cause)
        if record is not None:
            record.trials = max(record.trials, state.trials)
            record.tried_s = max(record.tried_s, state.tried_s)
            record.is_barred = record.is_barred or state.is_barred
        self._trim()
        self._update(now_s)

    # What other hosts are told.

    def uncleared(
        self, causes: Iterable[Cause], software: str, at_s: float
    ) -> list[Cause]:
        """Return causes that this host has not cleared of a crash.

        Those with the most crashes come first.
        """
        crash = Crash(at_s, software, at_s)
        found = [c for c in causes if self._counts(c, crash, self.answers)]
        found.sort(
            key=lambda c: len(
                self.records[c].crashes if c in self.records else ()
            ),
            reverse=True,
        )
        return found

    def untold_answers(self, causes: Iterable[Cause]) -> list[CauseState]:
        """Return complete answers that clear suspected causes elsewhere."""
        found = []
        for cause in causes:
            record = self.records.get(cause)
            if record is None:
                continue
            suspected = self._counted(cause, record, self.told)
            if len(suspected) < SUSPECT_CRASHES:
                continue
            answers = {
                software: self.answers[cause, software]
                for crash in suspected.values()
                if not self._counts(cause, crash, self.answers)
                for software in self._clearing_softwares(crash)
                if (cause, software) in self.answers
            }
            if answers:
                found.append(CauseState(cause, {}, answers))
        return found

    def record_told(self, states: Iterable[CauseState]) -> None:
        """Record that other hosts were told of answers."""
        for state in states:
            for software, at_s in state.answers.items():
                self._set_latest(self.told, (state.cause, software), at_s)

    def states(self, count: int) -> list[CauseState]:
        """Return what to tell hosts that may have missed it.

        :param count: maximum number of causes; the barred ones come first,
            then those suspected last
        """
        barred = dict.fromkeys(itertools.chain.from_iterable(self.bars))
        suspected = (
            cause
            for cause in reversed(self.records)
            if cause not in barred
            and len(self.records[cause].crashes) >= SUSPECT_CRASHES
        )
        found = itertools.chain(barred, suspected)
        return [self.state(c) for c in itertools.islice(found, count)]

    def state(self, cause: Cause) -> CauseState:
        """Return what this host knows of a cause on record."""
        record = self.records[cause]
        used = {crash.software for crash in record.crashes.values()}
        answers = {
            software: self.answers[cause, software]
            for software in used
            if (cause, software) in self.answers
        }
        return CauseState(
            cause,
            dict(record.crashes),
            answers,
            record.trials,
            record.tried_s,
            record.is_barred,
        )

    # Decisions.

    def verdict(
        self, causes: Collection[Cause], software: str | None, now_s: float
    ) -> Verdict:
        """Return whether a request may run.

        :param causes: all causes of the request
        :param software: service and version of the endpoint that is to run
            it, None if it is not chosen yet
        """
        found: Verdict = Clear()
        for bar in self._applying(causes, now_s):
            for cause in bar.causes:
                self.records[cause].seen_s = now_s
            if software is not None and self._may_run_at(
                bar.causes, software, now_s
            ):
                continue
            wait_s = bar.since_s + SETTLE_S - now_s
            if wait_s > 0:
                if isinstance(found, Clear):
                    found = Settling(wait_s)
                continue
            after_s = max(0.0, self._trial_due_s(bar.causes) - now_s)
            if not isinstance(found, Barred) or (
                after_s > found.retry_after_s
            ):
                found = Barred(after_s, bar.causes)
        return found

    def start_trial(
        self, causes: Collection[Cause], now_s: float
    ) -> list[CauseState]:
        """Let one request run although its causes are barred, if it is time.

        :returns: what other hosts have to be told before it runs, empty if it
            may not run
        """
        barred = [bar.causes for bar in self._applying(causes, now_s)]
        if any(self._trial_due_s(bar) > now_s for bar in barred):
            return []
        tried = set(itertools.chain.from_iterable(barred))
        for cause in tried:
            self.records[cause].trials += 1
            self.records[cause].tried_s = now_s
        return [self.state(cause) for cause in tried]

    def _applying(self, causes: Collection[Cause], now_s: float) -> list[Bar]:
        return [b for b in self.bars.values() if b.applies(causes, now_s)]

    def _trial_due_s(self, bar: frozenset[Cause]) -> float:
        records = [self.records[cause] for cause in bar]
        latest_s = max(
            max(
                (crash.at_s for crash in record.crashes.values()),
                default=NEVER_S,
            )
            for record in records
        )
        latest_s = max(latest_s, max(record.tried_s for record in records))
        trials = max(record.trials for record in records)
        first_s = UNCERTAIN_TRIAL_S
        if self._is_certain(bar):
            first_s = FIRST_TRIAL_S
        interval_s = first_s * 2 ** min(trials, MAX_DOUBLINGS)
        return latest_s + min(interval_s, MAX_TRIAL_INTERVAL_S)

    def _may_run_at(
        self, bar: frozenset[Cause], software: str, now_s: float
    ) -> bool:
        """Return whether a barred set of causes crashes only other software.

        That is so if this software answered each of them lately and crashed
        under none of them since.
        """
        since_s = now_s - ANSWERED_RECENTLY_S
        return all(
            self.answers.get((cause, software), NEVER_S) >= since_s
            and not any(
                crash.software == software
                for crash in self._counted(
                    cause, self.records[cause], self.answers
                ).values()
            )
            for cause in bar
        )

    def _counts(
        self,
        cause: Cause,
        crash: Crash,
        answers: dict[tuple[Cause, str], float],
    ) -> bool:
        """Return whether no answer clears a cause of a crash."""
        answered_s = max(
            answers.get((cause, software), NEVER_S)
            for software in self._clearing_softwares(crash)
        )
        return answered_s < crash.at_s - ANSWER_COVERS_S

    def _clearing_softwares(self, crash: Crash) -> set[str]:
        """Return the software whose answers clear a cause of a crash."""
        softwares = {crash.software}
        serving = self.serving.get(_service(crash.software), frozenset())
        if crash.software not in serving:
            # It serves no more, so that nothing could clear the cause there.
            softwares |= serving
        return softwares

    def _counted(
        self,
        cause: Cause,
        record: _Record,
        answers: dict[tuple[Cause, str], float],
    ) -> dict[str, Crash]:
        return {
            endpoint: crash
            for endpoint, crash in record.crashes.items()
            if self._counts(cause, crash, answers)
        }

    def _update(self, now_s: float) -> None:
        """Decide anew what is barred, after the evidence has changed."""
        self._expire(now_s)
        left = {}
        for cause, record in self.records.items():
            if len(record.crashes) < MIN_CRASHES:
                continue
            counted = self._counted(cause, record, self.answers)
            if len(counted) < MIN_CRASHES:
                record.is_barred = False
            elif record.is_barred or not self._is_by_chance(counted, now_s):
                left[cause] = counted
        remaining = set(left)
        bars: dict[frozenset[Cause], Bar] = {}
        while left:
            # The cause that explains the most crashes, and those that can't
            # be told apart from it.
            first = max(left, key=lambda each: (len(left[each]), each))
            explained = left[first]
            if len(explained) < MIN_CRASHES:
                break
            bar = frozenset(
                c for c in left if left[c].keys() == explained.keys()
            )
            for cause in bar:
                del left[cause]
            is_known = any(self.records[cause].is_barred for cause in bar)
            if not is_known and _moments(explained.values()) < MIN_CRASHES:
                continue
            known = self.bars.get(bar)
            since_s = known.since_s if known else now_s
            is_any = len(explained) >= MAX_CRASHES_TOGETHER
            bars[bar] = Bar(bar, since_s, is_any)
            for counted in left.values():
                for endpoint in explained:
                    counted.pop(endpoint, None)
        for causes, bar in self.bars.items():
            if causes not in bars and causes <= remaining:
                bar.lapses_s = min(bar.lapses_s, now_s + SETTLE_S)
                if now_s < bar.lapses_s:
                    bars[causes] = bar
        self.bars = bars
        barred = set(itertools.chain.from_iterable(bars))
        for cause in remaining:
            self.records[cause].is_barred = cause in barred

    def _is_by_chance(self, crashes: dict[str, Crash], now_s: float) -> bool:
        """Return whether runs with a cause may have broken off by chance.

        The chance of one run is the share of those without the cause that
        broke off meanwhile, at other endpoints than those that crashed with
        it on board.
        """
        since_s = min(crash.at_s for crash in crashes.values())
        since_s -= ANSWER_COVERS_S
        softwares = {crash.software for crash in crashes.values()}
        broken = sum(
            self._count_broken(endpoint, softwares)
            for endpoint, at_s in self.crashed_s.items()
            if at_s >= since_s and endpoint not in crashes
        )
        if not broken:
            return False
        answered = max(
            sum(self.answers_since(each, since_s) for each in softwares),
            self.hosts
            * sum(
                self.answers_since(each, since_s, self.own_answered)
                for each in softwares
            ),
        )
        chance = broken / (broken + answered)
        return chance ** _moments(crashes.values()) > MAX_CHANCE

    def _count_broken(self, endpoint: str, softwares: set[str]) -> int:
        """Return the number of runs that an endpoint's crash broke off.

        What it breaks off later, if it has not crashed, counts no more.
        """
        until_s = self.crashed_s[endpoint] + SAME_CRASH_S
        crashes = (
            self.records[cause].crashes[endpoint]
            for cause in self.by_endpoint.get(endpoint, ())
            if not cause.is_part
        )
        return sum(
            crash.at_s <= until_s and crash.software in softwares
            for crash in crashes
        )

    def _is_certain(self, bar: frozenset[Cause]) -> bool:
        """Return whether requests without barred causes fare better.

        Where all requests crash the endpoints, what they share need not be at
        fault.  A request may be the only one that comes, though.
        """
        crashes = [
            crash
            for cause in bar
            for crash in self.records[cause].crashes.values()
        ]
        for service in {_service(crash.software) for crash in crashes}:
            since_s = min(
                crash.at_s
                for crash in crashes
                if _service(crash.software) == service
            )
            answered = sum(
                count
                for (software, second), count in self.answered.items()
                if _service(software) == service
                and second >= int(since_s - ANSWER_COVERS_S)
            )
            if answered >= MIN_ANSWERS:
                continue
            if all(cause.is_part for cause in bar) or any(
                _service(run.software) == service
                and run.at_s >= since_s
                and not bar.issubset(run.causes)
                for run in self.broken_runs
            ):
                return False
        return True

    # Bounds.

    def _withdraw(self, cause: Cause, endpoint: str) -> None:
        del self.records[cause].crashes[endpoint]
        self._remove_from_index(cause, endpoint)
        if not self.records[cause].crashes:
            del self.records[cause]

    def _remove(self, cause: Cause) -> None:
        for endpoint in self.records.pop(cause).crashes:
            self._remove_from_index(cause, endpoint)

    def _remove_from_index(self, cause: Cause, endpoint: str) -> None:
        causes = self.by_endpoint[endpoint]
        causes.discard(cause)
        if not causes:
            del self.by_endpoint[endpoint]

    def _expire(self, now_s: float) -> None:
        barred = set(itertools.chain.from_iterable(self.bars))
        for cause in barred:
            record = self.records.get(cause)
            if record and self._is_expired(cause, record, now_s):
                self._remove(cause)
        for cause, record in list(self.records.items()):
            if cause in barred:
                continue
            if not self._is_expired(cause, record, now_s):
                break
            self._remove(cause)

    def _is_expired(self, cause: Cause, record: _Record, now_s: float) -> bool:
        is_barred = any(cause in bar for bar in self.bars)
        retention_s = BARRED_RETENTION_S if is_barred else RETENTION_S
        return now_s - record.seen_s > retention_s

    def _trim(self) -> None:
        while len(self.records) > MAX_CAUSES:
            oldest = itertools.islice(self.records, DROP_CHOICE)
            self._remove(
                min(oldest, key=lambda each: len(self.records[each].crashes))
            )

    def _set_latest(
        self,
        known: collections.OrderedDict,
        key: object,
        at_s: float,
        limit: int = MAX_ANSWERS,
    ) -> None:
        """Set a moment unless a later one is known."""
        known[key] = max(at_s, known.get(key, NEVER_S))
        known.move_to_end(key)
        if len(known) > limit:
            known.popitem(last=False)


def _service(software: str) -> str:
    """Return the service of an endpoint's software."""
    return software.partition(' ')[0]


def _moments(crashes: Iterable[Crash]) -> int:
    """Return the number of crashes that can't have been one event.

    Each is of a run that was sent after the one before it.
    """
    count = 0
    latest_s = NEVER_S
    for crash in sorted(crashes, key=lambda each: each.at_s):
        if crash.sent_s > latest_s:
            count += 1
            latest_s = crash.at_s
    return count
