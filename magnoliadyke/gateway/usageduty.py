"""Counts what workspaces use, and reports it where this host leads."""

from typing import Callable
from typing import NamedTuple

import gevent

from magnoliadyke import app
from magnoliadyke import clock as clocks
from magnoliadyke.core import position
from magnoliadyke.core import usage
from magnoliadyke.core import walltime
from magnoliadyke.gateway import duty_codec
from magnoliadyke.gateway import keymirror
from magnoliadyke.gateway import leadership
from magnoliadyke.gateway import members
from magnoliadyke.gateway import operatorcalls
from magnoliadyke.gateway import placing
from magnoliadyke.gateway import store
from magnoliadyke import logs

__all__ = ['REPORTS_KEY', 'UsageDuty', 'UsageSettings']

LOG = logs.get('usage')

REPORTS_KEY = 'magnoliadyke/usage'
#: How often counts are told, in seconds.
SEND_INTERVAL_S = 1.0
#: Hosts that keep a copy of what the host that leads has counted itself: it
#: is told to nobody else, and would go with that host.
COPY_HOSTS = 2
#: Counts in a datagram: it stays whole on networks that carry 1,400 bytes.
SEND_BATCH = 40
#: From telling the counts until the answer with the time of day, at most, in
#: seconds: a later one has waited while this host stood still.
MAX_CORRECTION_DELAY_S = 0.5
TICK_S = 0.5
#: From the end of a window until its report is fixed, in seconds: what began
#: in it has been counted and told twice by then.
SETTLE_S = 2.5
#: Pause after a call that was not accepted, in seconds.
RETRY_S = 1.0


class UsageSettings(NamedTuple):
    """What the platform asks for.

    :param window_s: length of a window
    :param due_s: from its end to when its report is due
    """

    window_s: float
    due_s: float


class UsageDuty(app.Component, keymirror.Listener):
    """The counts of this host, and the reports of all.

    :param own: host name and incarnation of this process
    :param calls: takes the reports; None where none are asked for
    :ivar reports: that have been fixed, as far as is known here
    :ivar key: the key that they are in, as it was last read
    :ivar read_for: this host's term for which the key was read
    :ivar kept: windows there is still something to be done about
    :ivar sent: windows that this host has reported
    :ivar copies: what hosts that led have counted themselves
    :ivar told_s: when this host last told its counts
    """

    def __init__(
        self,
        own: tuple[str, int],
        settings: UsageSettings,
        leader: leadership.Leadership,
        others: members.Members,
        placer: placing.Placer,
        kv_store: store.Store,
        calls: operatorcalls.OperatorCalls | None,
        clock: clocks.Clock,
    ) -> None:
        self.host, self.incarnation = own
        self.members = others
        self.settings = settings
        self.leadership = leader
        self.placer = placer
        self.store = kv_store
        self.calls = calls
        self.clock = clock
        self.wall = walltime.AdjustedClock(clock.wall_s(), clock.boot_s())
        self.median_clock = walltime.MedianClock(self.wall)
        self.retained_windows = usage.kept_windows(
            settings.window_s, settings.due_s
        )
        self.tally = usage.Tally(settings.window_s, self.retained_windows)
        self.ledger = usage.Ledger(self.retained_windows)
        self.reports = usage.Reports(self.retained_windows)
        self.key: store.Item | None = None
        self.read_term = position.START
        self.sent: set[int] = set()
        self.copies = usage.Ledger(self.retained_windows)
        self.last_sent_s = float('-inf')
        self.greenlets: list[gevent.Greenlet] = []

    def start(self) -> None:
        """Begin to tell and to report."""
        if self.calls is not None:
            self.greenlets = [
                gevent.spawn(self._run_send_loop),
                gevent.spawn(self._run_report_loop),
            ]

    def stop(self, deadline_s: float) -> None:
        """Tell the counts once more, and nothing from now on."""
        gevent.killall(self.greenlets)
        if self.calls is not None:
            self._send_usage()

    def wall_s(self) -> float:
        """The time of day, though this machine's clock may be set."""
        return self.wall.at(self.clock.boot_s())

    # What this host has seen.

    def record_start(self, workspace: str, ago_s: float = 0.0) -> None:
        """A request of a workspace has begun to run."""
        if self.calls is not None:
            self.tally.record_start(workspace, self.wall_s() - ago_s)

    def _run_send_loop(self) -> None:
        while True:
            self.clock.sleep(SEND_INTERVAL_S)
            self._send_usage()

    def _send_usage(self) -> None:
        wall_s = self.wall_s()
        own = (self.host, self.incarnation)
        counted = self._messages(own, self.tally.recent(wall_s), wall_s)
        since = self._window(0.0) - self.retained_windows + 1
        copied = [
            message
            for process, windows in self.copies.by_process(since).items()
            for message in self._messages(process, windows, None)
        ]
        if self.placer.leading:
            for message in counted + copied:
                self.handle_usage(message)
            for address in self._copy_holders():
                for message in counted:
                    self.placer.send(address, message)
        elif self.placer.leader is not None:
            self.last_sent_s = self.clock.boot_s()
            for message in counted + copied:
                self.placer.send(self.placer.leader, message)

    def _messages(
        self,
        process: tuple[str, int],
        windows: dict[int, dict[str, int]],
        wall_s: float | None,
    ) -> list[duty_codec.Usage]:
        return [
            duty_codec.Usage(*process, part, wall_s)
            for part in usage.split(windows, SEND_BATCH)
        ]

    def _copy_holders(self) -> list[str]:
        """The hosts that keep a copy; the same ones as long as they run."""
        return sorted(self.members.listening())[:COPY_HOSTS]

    # What other hosts tell.

    def handle_usage(
        self, message: duty_codec.Usage
    ) -> duty_codec.WallTime | None:
        """A host tells its counts; one whose clock is off hears the time."""
        ledger = self.ledger if self.placer.leading else self.copies
        present = self._window(0.0)
        for window, begun in message.windows.items():
            # A host whose clock is far off would push the others' out.
            if present - self.retained_windows < window <= present + 1:
                ledger.record_tally(
                    message.host, message.incarnation, window, begun
                )
        if not self.placer.leading:
            return None
        if message.host == self.host or message.wall_s is None:
            return None
        now_s = self.clock.boot_s()
        before_s = self.wall_s()
        corrected_s = self.median_clock.record_peer_time(
            message.host, message.wall_s, now_s
        )
        self._shift_tally(self.wall_s() - before_s)
        return (
            None if corrected_s is None else duty_codec.WallTime(corrected_s)
        )

    def handle_wall_time(self, message: duty_codec.WallTime) -> None:
        """The host that leads tells the time that most hosts have."""
        if self.clock.boot_s() - self.last_sent_s > MAX_CORRECTION_DELAY_S:
            return
        off_s = message.wall_s - self.wall_s()
        self.wall.set(message.wall_s, self.clock.boot_s())
        self._shift_tally(off_s)

    def _shift_tally(self, by_s: float) -> None:
        """This host goes by another time of day from now on."""
        if abs(by_s) < walltime.MAX_OFFSET_S:
            return
        LOG.event('wall_time_corrected', by_ms=round(by_s * 1000))
        self.tally.shift(by_s)

    # The store.

    def changed(self, item: store.Item) -> None:
        """Reports were fixed."""
        try:
            read = self.reports.parse(item.value)
        except (ValueError, TypeError) as error:
            LOG.repeated('reports_ignored', item.key, error=str(error))
            return
        if self.key is None or item.position > self.key.position:
            self.key = item
        self.reports.merge(read)

    def restored(self, items: dict[str, store.Item], at) -> None:
        """The store came back from an older copy.

        What is known of the reports outlives it, and is written again with
        the next one.
        """
        self.read_term = position.START
        for item in items.values():
            self.changed(item)

    # Reporting.

    def _run_report_loop(self) -> None:
        while True:
            self.clock.sleep(TICK_S)
            if not self.placer.leading:
                self.sent.clear()
            elif self.leadership.may_order() and not self._step():
                self.clock.sleep(RETRY_S)

    def _step(self) -> bool:
        """Fix what is due, and report it; False if some of it has to wait."""
        done = self.read_term == self.leadership.held or self._read()
        while done and (window := self._due()) is not None:
            done = self._fix(window)
        for each in sorted(self.reports.fixed):
            if each not in self.sent and not self._is_overdue(each):
                done &= self._report_window(self.reports.fixed[each])
        return done

    def _read(self) -> bool:
        """Read what holders before this one have fixed."""
        held = self.leadership.held
        match self.store.read(REPORTS_KEY):
            case store.Item() as item:
                self.changed(item)
            case store.Absent():
                self.key = None
            case store.Unavailable(reason):
                LOG.event('usage_not_read', reason=reason)
                return False
        self.read_term = held
        return True

    def _due(self) -> int | None:
        """The next window to be fixed, if it is over."""
        over = self._window(SETTLE_S) - 1
        last = self.reports.last
        if last is None:
            first = min(self.ledger.windows, default=over)
            return first if first <= over else None
        if last >= over:
            return None
        return max(last + 1, over - self.retained_windows + 1)

    def _window(self, ago_s: float) -> int:
        return usage.window_of(self.wall_s() - ago_s, self.settings.window_s)

    def _is_overdue(self, window: int) -> bool:
        end_s = (window + 1) * self.settings.window_s
        return self.wall_s() > end_s + self.settings.due_s

    def _fix(self, window: int) -> bool:
        """Write a window's report where no other host can write another."""
        made = self.reports.fix(
            usage.Report(window, self.ledger.counts(window))
        )
        expected = self.leadership.absent()
        if self.key is not None:
            expected = self.key.position
        put = store.Put(REPORTS_KEY, made.dump())
        match self.store.commit({REPORTS_KEY: expected}, (put,)):
            case store.Written(written):
                self.changed(store.Item(REPORTS_KEY, put.value, written))
                LOG.event(
                    'usage_fixed',
                    window=window,
                    requests=sum(made.fixed[window].counts.values()),
                    workspaces=len(made.fixed[window].counts),
                    position=written,
                )
                return True
            case store.Conflict(items):
                for item in items:
                    self.changed(item)
            case failure:
                LOG.event('usage_not_fixed', window=window, cause=failure)
        return False

    def _report_window(self, report: usage.Report) -> bool:
        outcome = self.leadership.call(
            lambda caller: self.calls.report_usage(
                caller, report.window, report.counts
            )
        )
        LOG.event(
            'usage_reported',
            window=report.window,
            outcome=type(outcome).__name__.lower(),
            reason=getattr(outcome, 'reason', 'none'),
            fencing=self.leadership.fencing,
        )
        match outcome:
            case (
                operatorcalls.Done() | operatorcalls.Rejected(retryable=False)
            ):
                self.sent.add(report.window)
                return True
        return False


#: Takes the name of a workspace, and how long ago its request began.
StartRecorder = Callable[[str, float], None]
