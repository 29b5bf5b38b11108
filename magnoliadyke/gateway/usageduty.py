"""Counts requests by workspace, and reports them while this host leads."""

from typing import Callable
from typing import NamedTuple

import gevent

from magnoliadyke import app
from magnoliadyke import clock as clocks
from magnoliadyke.core import position
from magnoliadyke.core import reporthistory
from magnoliadyke.core import usage
from magnoliadyke.core import walltime
from magnoliadyke.gateway import duty_codec
from magnoliadyke.gateway import keymirror
from magnoliadyke.gateway import leadership
from magnoliadyke.gateway import members
from magnoliadyke.gateway import operatorcalls
from magnoliadyke.gateway import placementservice
from magnoliadyke.gateway import store
from magnoliadyke import logs

__all__ = ['ERA_KEY', 'REPORTS_KEY', 'UsageDuty', 'UsageSettings']

LOG = logs.get('usage')

REPORTS_KEY = 'magnoliadyke/usage'
#: Key of the record of the era in which the store has all reports.
ERA_KEY = 'magnoliadyke/usage-era'
#: Interval between messages that report request counts, in seconds.
SEND_INTERVAL_S = 1.0
#: Number of hosts that keep a copy of the leader's own counts.  The leader
#: sends these to no other host, so without copies they would be lost with it.
COPY_HOSTS = 2
#: Limit on the counts in one datagram, so that it is not fragmented on
#: networks with an MTU of 1,400 bytes.
SEND_BATCH = 40
#: Longest delay between sending the counts and receiving a corrected time of
#: day, in seconds.  A later correction is out of date: it was queued while
#: this host was suspended.
MAX_CORRECTION_DELAY_S = 0.5
#: Interval between checks for windows to report, in seconds.
TICK_S = 0.5
#: Time from the end of a window until its report is made final, in seconds:
#: by then the hosts have sent their counts for the window twice.
SETTLE_S = 2.5
#: Largest difference between the clocks of two hosts, in seconds, once those
#: that are off have been corrected.
CLOCK_MARGIN_S = 0.5
#: The same for a process that has just started: it may have read a clock that
#: has not been corrected yet.
START_CLOCK_MARGIN_S = 2.5
#: Number of clocks from which the leader corrects those that are off, unless
#: there are fewer hosts.
MIN_CLOCKS = 3
#: Pause after a failed write or a call that was not accepted, in seconds.
RETRY_PAUSE_S = 1.0


class UsageSettings(NamedTuple):
    """Windows and due times of the reports that the platform requires.

    :param window_s: length of a window, in seconds
    :param due_s: time from the end of a window until its report is due, in
        seconds
    """

    window_s: float
    due_s: float


class UsageDuty(app.Component, keymirror.Listener):
    """Counts this host's requests, and as the leader reports all hosts'.

    :param own: host name and incarnation of this process
    :param calls: sends the reports to the platform; None if it requires none
    :ivar reports: final reports that this host has read or written
    :ivar key: store item with the final reports, as last read or written
    :ivar history: since when all final reports are known to this host
    :ivar read_term: position of this host's leader key when it last read the
        reports
    :ivar known_term: position at which this host acquired leadership, once it
        has read the reports of the leaders before it
    :ivar must_restore: whether this host has to write the reports again that
        a restored store may have lost
    :ivar skipped: number of windows not reported, as an unknown process may
        have reported them
    :ivar skipped_until: first window that is not among them
    :ivar retained_windows: number of windows whose counts are kept
    :ivar sent: windows that this host has reported as the leader
    :ivar copies: counts received while another host leads, such as the
        leader's own
    :ivar last_sent_s: when this host last sent its counts to the leader
    """

    def __init__(
        self,
        own: tuple[str, int],
        settings: UsageSettings,
        leader: leadership.Leadership,
        others: members.Members,
        placement_service: placementservice.PlacementService,
        kv_store: store.Store,
        calls: operatorcalls.OperatorCalls | None,
        clock: clocks.Clock,
    ) -> None:
        self.host, self.incarnation = own
        self.members = others
        self.settings = settings
        self.leadership = leader
        self.placement_service = placement_service
        self.store = kv_store
        self.calls = calls
        self.clock = clock
        self.wall = walltime.AdjustedClock(clock.wall_s(), clock.boot_s())
        self.median_clock = walltime.MedianClock(self.wall)
        self.retained_windows = usage.retained_window_count(
            settings.window_s, settings.due_s
        )
        self.own_counts = usage.ProcessCounts(
            settings.window_s, self.retained_windows
        )
        self.ledger = usage.Ledger(self.retained_windows)
        self.reports = usage.Reports(self.retained_windows)
        self.key: store.Item | None = None
        self.history = reporthistory.ReportHistory()
        self.read_term = position.START
        self.known_term = position.START
        self.must_restore = False
        self.skipped = 0
        self.skipped_until = 0
        self.sent: set[int] = set()
        self.copies = usage.Ledger(self.retained_windows)
        self.last_sent_s = float('-inf')
        self.greenlets: list[gevent.Greenlet] = []

    def start(self) -> None:
        """Start to send counts and reports, if reports are required."""
        if self.calls is not None:
            self.greenlets = [
                gevent.spawn(self._run_send_loop),
                gevent.spawn(self._run_report_loop),
            ]

    def stop(self, deadline_s: float) -> None:
        """Stop both loops, and send the counts a last time."""
        gevent.killall(self.greenlets)
        if self.calls is not None:
            self._send_usage()

    def wall_s(self) -> float:
        """Return the time of day, unaffected by steps of the wall clock."""
        return self.wall.at(self.clock.boot_s())

    # This host's counts.

    def record_start(self, workspace: str, ago_s: float = 0.0) -> None:
        """Count a request of a workspace that began to run.

        :param ago_s: time since it began, in seconds
        """
        if self.calls is not None:
            self.own_counts.record_start(workspace, self.wall_s() - ago_s)

    def _run_send_loop(self) -> None:
        while True:
            self.clock.sleep(SEND_INTERVAL_S)
            self._send_usage()

    def _send_usage(self) -> None:
        wall_s = self.wall_s()
        own = (self.host, self.incarnation)
        counted = self._messages(own, self.own_counts.recent(wall_s), wall_s)
        since = self._window(0.0) - self.retained_windows + 1
        copied = [
            message
            for process, windows in self.copies.by_process(since).items()
            for message in self._messages(process, windows, None)
        ]
        if self.placement_service.leading:
            for message in counted + copied:
                self.handle_usage(message)
            for address in self._copy_holders():
                for message in counted:
                    self.placement_service.send(address, message)
        elif self.placement_service.leader is not None:
            self.last_sent_s = self.clock.boot_s()
            for message in counted + copied:
                self.placement_service.send(
                    self.placement_service.leader, message
                )

    def _messages(
        self,
        process: tuple[str, int],
        windows: dict[int, dict[str, int]],
        wall_s: float | None,
    ) -> list[duty_codec.Usage]:
        # Reports that this host still has to write again are not in the store.
        is_known = wall_s is not None and not self.must_restore
        era, known_s = None, 0.0
        if is_known and self.history.era:
            era = self.history.era
            known_s = self.clock.boot_s() - self.history.since_s
        return [
            duty_codec.Usage(*process, part, wall_s, era, known_s)
            for part in usage.split(windows, SEND_BATCH)
        ]

    def _copy_holders(self) -> list[str]:
        """Return the addresses of the hosts that copy the leader's counts.

        They stay the same as long as these hosts run.
        """
        return sorted(self.members.reachable_addresses())[:COPY_HOSTS]

    # Messages from other hosts.

    def handle_usage(
        self, message: duty_codec.Usage
    ) -> duty_codec.WallTime | None:
        """Merge the counts of a process; as the leader, check its clock.

        :returns: the corrected time of day to send to the host if its clock
            is off, else None
        """
        ledger = self.ledger if self.placement_service.leading else self.copies
        present = self._window(0.0)
        for window, begun in message.windows.items():
            # Windows of a clock far off would displace other hosts' windows.
            if present - self.retained_windows < window <= present + 1:
                ledger.record_counts(
                    message.host, message.incarnation, window, begun
                )
        if not self.placement_service.leading:
            return None
        if message.host == self.host or message.wall_s is None:
            return None
        now_s = self.clock.boot_s()
        if message.era is not None:
            self.history.merge(message.era, now_s - message.reports_known_s)
        before_s = self.wall_s()
        self.median_clock.min_clocks = min(MIN_CLOCKS, self.members.count())
        corrected_s = self.median_clock.record_peer_time(
            message.host, message.wall_s, now_s
        )
        self._shift_counts(self.wall_s() - before_s)
        return (
            None if corrected_s is None else duty_codec.WallTime(corrected_s)
        )

    def handle_wall_time(self, message: duty_codec.WallTime) -> None:
        """Set this host's time of day to the median that the leader sent."""
        if self.clock.boot_s() - self.last_sent_s > MAX_CORRECTION_DELAY_S:
            return
        off_s = message.wall_s - self.wall_s()
        self.wall.set(message.wall_s, self.clock.boot_s())
        self._shift_counts(off_s)

    def _shift_counts(self, by_s: float) -> None:
        """Shift the tally's windows after a correction of the time of day.

        A correction below the tolerance is ignored.

        :param by_s: seconds by which the time of day was moved
        """
        if abs(by_s) < walltime.MAX_OFFSET_S:
            return
        LOG.event('wall_time_corrected', by_ms=round(by_s * 1000))
        self.own_counts.shift(by_s)

    # Final reports read from the store.

    def changed(self, item: store.Item) -> None:
        """Merge final reports, or take the record of an era, as written."""
        if item.key == ERA_KEY:
            self._record_era(item)
            return
        try:
            read = self.reports.parse(item.value)
        except ValueError as error:
            LOG.throttled_warning(
                'reports_ignored',
                item.key,
                key=item.key,
                error=str(error),
                position=item.position,
            )
            read = None
        if self.key is None or item.position > self.key.position:
            # The next report also replaces a value that can't be read.
            self.key = item
        if read is not None:
            self.reports.merge(read)

    def _record_era(self, item: store.Item) -> None:
        try:
            self.history.record = reporthistory.EraRecord.parse(item.value)
        except ValueError as error:
            LOG.throttled_warning(
                'usage_era_ignored',
                item.key,
                key=item.key,
                error=str(error),
                position=item.position,
            )

    def restored(
        self, items: dict[str, store.Item], at: position.Position
    ) -> None:
        """Merge the reports of a store that was restored from an older copy.

        Final reports that the copy lacks stay in memory.  The host that knows
        all of them writes them again.
        """
        self._enter_era(at.era)
        self.read_term = position.START
        for item in items.values():
            self.changed(item)

    def record_read(self) -> None:
        """Record that this host has read all keys of the store."""
        self._enter_era(self.leadership.era())

    def _enter_era(self, era: int) -> None:
        """Record in which era the store answers.

        The only host that can have reported since it last held the leader key
        knows what a restored store has lost.
        """
        if self.calls is None:
            return
        is_complete = (
            self.known_term != position.START
            and self.known_term == self.leadership.acquired_position
            and self.leadership.is_only_caller()
        )
        has_started = self.history.era is None
        margin_s = START_CLOCK_MARGIN_S if has_started else CLOCK_MARGIN_S
        if not self.history.enter_era(
            era,
            self.clock.boot_s() + margin_s,
            is_complete,
            self.wall.offset_s,
        ):
            return
        self.must_restore = is_complete
        LOG.event(
            'usage_era',
            era=era,
            complete=is_complete,
            first_window=self._first_unreported(),
            known=sorted(self.reports.fixed),
        )

    # Reports to the store and the platform.

    def _run_report_loop(self) -> None:
        while True:
            self.clock.sleep(TICK_S)
            if not self.placement_service.leading:
                self.sent.clear()
            if not self._step():
                self.clock.sleep(RETRY_PAUSE_S)

    def _step(self) -> bool:
        """Store the reports of past windows, and send them to the platform.

        :returns: False if a read, write or call failed and must be retried
        """
        leads = self.placement_service.leading and self.leadership.may_order()
        if not leads and not self._may_read():
            return True
        done = self.read_term == self.leadership.held_position or self._read()
        # The clock of a host that has just started may be corrected until
        # then, and the record holds a time of day.
        may_record = leads and not self.history.is_recorded()
        if done and (self.must_restore or may_record):
            done = self._restore()
        if not leads or not self.leadership.may_order():
            return done
        while done and (window := self._next_due_window()) is not None:
            done = self._finalize(window)
        for each in sorted(self.reports.fixed):
            if each not in self.sent and not self._is_overdue(each):
                done &= self._report_window(self.reports.fixed[each])
        return done

    def _may_read(self) -> bool:
        """Whether to read the reports, and write those that were lost, now.

        Neither is an order, so a new leader does not wait until it may order.
        """
        contact = self.leadership.contact
        if contact is None or contact.unreachable_s():
            return False
        if self.must_restore:
            return True
        return (
            self.leadership.lease is not None
            and not self.leadership.yielding
            and self.read_term != self.leadership.held_position
        )

    def _restore(self) -> bool:
        """Write the known reports, and since when they are all there are.

        :returns: whether they were written
        """
        era = self.history.era
        since_s = self.history.known_since_s(self.wall.offset_s)
        record = reporthistory.EraRecord(era, since_s)
        written = self._write(self.reports, record)
        LOG.event(
            'usage_restored' if written else 'usage_not_restored',
            era=era,
            known=sorted(self.reports.fixed),
            first_window=self._first_unreported(),
        )
        if written:
            self.history.record = record
            self.must_restore = False
        return written

    def _read(self) -> bool:
        """Read the reports that previous leaders made final.

        :returns: False if the store is unavailable
        """
        held = self.leadership.held_position
        acquired = self.leadership.acquired_position
        match self.store.read(REPORTS_KEY):
            case store.Item() as item:
                self.changed(item)
            case store.Absent():
                self.key = None
            case store.Unavailable(reason):
                LOG.event('usage_not_read', reason=reason)
                return False
        self.read_term = held
        self.known_term = acquired
        return True

    def _next_due_window(self) -> int | None:
        """Return the next window to report, None if it is not over yet."""
        over = self._window(SETTLE_S) - 1
        last = self.reports.last
        if last is None:
            first = min(self.ledger.windows, default=over)
        else:
            first = max(last + 1, over - self.retained_windows + 1)
        unreported = self._first_unreported()
        if first > over or unreported is None:
            return None
        if first < unreported:
            self._record_skipped(range(first, min(unreported, over + 1)))
            first = unreported
        return first if first <= over else None

    def _record_skipped(self, windows: range) -> None:
        """Log windows that an unknown process may have reported."""
        windows = range(max(windows.start, self.skipped_until), windows.stop)
        if not windows:
            return
        self.skipped += len(windows)
        self.skipped_until = windows.stop
        LOG.event(
            'usage_skipped',
            first=windows.start,
            last=windows.stop - 1,
            era=self.history.era,
            counted=sum(bool(self.ledger.counts(w)) for w in windows),
        )

    def _first_unreported(self) -> int | None:
        return self.history.first_unreported(
            self.wall.offset_s, self.settings.window_s, SETTLE_S
        )

    def _window(self, ago_s: float) -> int:
        return usage.window_of(self.wall_s() - ago_s, self.settings.window_s)

    def _is_overdue(self, window: int) -> bool:
        end_s = (window + 1) * self.settings.window_s
        return self.wall_s() > end_s + self.settings.due_s

    def _finalize(self, window: int) -> bool:
        """Make a window's report final by a conditional write to the store.

        The write fails if another host has written reports since they were
        last read, so a window never gets two different reports.

        :returns: whether the report was written
        """
        made = self.reports.fix(
            usage.Report(window, self.ledger.counts(window))
        )
        if not self._write(made):
            LOG.event('usage_not_fixed', window=window)
            return False
        LOG.event(
            'usage_fixed',
            window=window,
            requests=sum(made.fixed[window].counts.values()),
            workspaces=len(made.fixed[window].counts),
            position=self.key.position,
        )
        return True

    def _write(
        self,
        reports: usage.Reports,
        record: reporthistory.EraRecord | None = None,
    ) -> bool:
        """Write reports, unless another host has written since the last read.

        :param record: written with the reports, if given
        :returns: whether they were written
        """
        expected = self.leadership.absent()
        if self.key is not None:
            expected = self.key.position
        put = store.Put(REPORTS_KEY, reports.dump())
        puts = (put,)
        if record is not None:
            # The position that the store returns is that of its last write.
            puts = (store.Put(ERA_KEY, record.dump()), put)
        match self.store.commit({REPORTS_KEY: expected}, puts):
            case store.Written(written):
                self.changed(store.Item(REPORTS_KEY, put.value, written))
                return True
            case store.Conflict(items):
                self.key = None
                for item in items:
                    self.changed(item)
            case failure:
                LOG.event('usage_not_written', cause=failure)
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


#: Records a request by its workspace name and the seconds since it began.
StartRecorder = Callable[[str, float], None]
