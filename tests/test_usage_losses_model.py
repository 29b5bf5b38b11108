"""Drawn orders of restores, ends, freezes and changes of the leader."""

import itertools
import types

import hypothesis
from hypothesis import strategies

from magnoliadyke import clock as clocks
from magnoliadyke.core import position
from magnoliadyke.gateway import leadership
from magnoliadyke.gateway import operatorcalls
from magnoliadyke.gateway import store
from magnoliadyke.gateway import usageduty

WINDOW_S = 5.0
DUE_S = 20.0
STEP_S = 0.5
HOSTS = 3
GAP_S = 3.0 + leadership.GAP_MARGIN_S
START_S = 1_000_000.0
#: All hosts but the first one read the reports only when they lead.
READ_KEYS = (usageduty.ERA_KEY, usageduty.REPORTS_KEY)


class Store:
    """A store that goes back to earlier copies of itself."""

    def __init__(self):
        self.era = 1
        self.revision = 1
        self.items = {}
        self.copies = []

    def read(self, key):
        return self.items.get(key, store.Absent())

    def commit(self, expected, puts=()):
        if any(at.era < self.era for at in expected.values()):
            return store.Restored(self.era)
        for key, at in expected.items():
            item = self.items.get(key)
            if (item.position.revision if item else 0) != at.revision:
                return store.Conflict((item,) if item else ())
        for put in puts:
            self.revision += 1
            at = position.Position(self.era, self.revision)
            self.items[put.key] = store.Item(put.key, put.value, at)
        return store.Written(position.Position(self.era, self.revision))

    def restore(self, age_steps):
        self.items, self.revision = self.copies[
            -min(age_steps, len(self.copies))
        ]
        self.era += 1
        self.items = {
            key: item._replace(position=item.position._replace(era=self.era))
            for key, item in self.items.items()
        }


class Lease(leadership.Leadership):
    """The lease of one host, without gossip and without a loop."""

    def __init__(self, fleet, number, clock):
        self.fleet = fleet
        self.number = number
        self.clock = clock
        self.own = types.SimpleNamespace(host=f'h{number}', incarnation=1)
        self.order_gap_s = GAP_S - leadership.GAP_MARGIN_S
        self.contact = types.SimpleNamespace(
            unreachable_s=lambda: 0.0,
            read_s=float('-inf'),
            lag=types.SimpleNamespace(own_position=position.START),
        )
        self.yielding = False
        self.lease = None
        self.held_position = self.acquired_position = position.START
        self.held_s = float('-inf')
        self.order_from_s = 0.0
        self.order_until_s = float('inf')
        self.holder = None
        self.holder_incarnation = 1

    def confirm(self):
        if self.fleet.leader != (self.number, self.held_position):
            return store.Conflict(())
        self.held_s = self.clock.boot_s()
        return store.Written(self.held_position)


class Fleet:
    """Hosts with the duty, and the platform that takes their reports."""

    def __init__(self):
        self.clock = clocks.ManualClock()
        self.store = Store()
        self.leader = None
        self.hosts = [None] * HOSTS
        self.frozen_until_s = [0.0] * HOSTS
        self.accepted = {}
        self.incarnations = itertools.count(1)
        for number in range(HOSTS):
            self.start(number)
        self.lead(0)

    def start(self, number, off_s=0.0):
        """Start a process of a host that knows nothing.

        :param off_s: by how much its time of day is off
        """
        lease = Lease(self, number, self.clock)
        duty = usageduty.UsageDuty(
            (f'h{number}', next(self.incarnations)),
            usageduty.UsageSettings(WINDOW_S, DUE_S),
            lease,
            types.SimpleNamespace(
                reachable_addresses=list, count=lambda: HOSTS
            ),
            types.SimpleNamespace(leading=False, leader=None),
            self.store,
            types.SimpleNamespace(report_usage=self.accept),
            self.clock,
        )
        now_s = self.clock.boot_s()
        duty.wall.set(START_S + now_s + off_s, now_s)
        self.hosts[number] = duty
        if self.leader is not None and self.leader[0] == number:
            self.leader = None

    def accept(self, caller, window, counts):
        self.accepted.setdefault(window, []).append(counts)
        return operatorcalls.Done()

    def lead(self, number):
        """Have a host take the key, whoever holds it."""
        lease = self.hosts[number].leadership
        self.read(number)
        self.store.revision += 1
        lease.held_position = lease.acquired_position = position.Position(
            self.store.era, self.store.revision
        )
        self.leader = number, lease.held_position
        lease.lease = 1
        lease.holder = lease.own.host
        lease.held_s = self.clock.boot_s()
        lease.order_from_s = self.clock.now_s() + GAP_S
        self.hosts[number].placement_service.leading = True

    def read(self, number):
        """Have a host read the store; only the first one hears of reports."""
        duty = self.hosts[number]
        lease = duty.leadership
        at = position.Position(self.store.era, self.store.revision)
        known = lease.contact.lag.own_position
        if self.leader is None or self.leader[0] != number:
            lease.lease = None
            duty.placement_service.leading = False
        if known.era and at.era > known.era:
            lease._record_held()
            if lease.lease is not None:
                lease.held_position = lease.held_position._replace(era=at.era)
                lease.order_from_s = self.clock.now_s() + GAP_S
                self.leader = number, lease.held_position
            duty.restored({}, at)
        lease.contact.lag.own_position = at
        for key in READ_KEYS[: 1 if number else 2]:
            if key in self.store.items:
                duty.changed(self.store.items[key])
        lease.contact.read_s = self.clock.boot_s()
        duty.record_read()

    def step(self):
        """Let all hosts that are not frozen do their work."""
        self.store.copies.append((dict(self.store.items), self.store.revision))
        self.clock.advance(STEP_S)
        now_s = self.clock.now_s()
        for number, duty in enumerate(self.hosts):
            if now_s < self.frozen_until_s[number]:
                continue
            self.read(number)
            # Reports of two processes always differ.
            name = f'{number}-{duty.incarnation}'
            duty.ledger.record_counts(name, 1, duty._window(0.0), {name: 1})
            self.tell_leader(number)
            duty._step()

    def tell_leader(self, number):
        """Send the leader since when a host knows of all reports."""
        duty = self.hosts[number]
        if self.leader is None or self.leader[0] == number:
            return
        leader = self.hosts[self.leader[0]]
        if self.clock.now_s() >= self.frozen_until_s[self.leader[0]]:
            process = duty.host, duty.incarnation
            for message in duty._messages(process, {}, duty.wall_s()):
                duty.last_sent_s = self.clock.boot_s()
                corrected = leader.handle_usage(message)
                if corrected is not None:
                    duty.handle_wall_time(corrected)


HOST = strategies.integers(0, HOSTS - 1)
#: By how much the clocks of processes that start may be off, in seconds.
OFFSETS = strategies.sampled_from([-0.2, -0.1, 0.0, 0.1, 0.2])


@strategies.composite
def losses(draw):
    """Draw losses that come close together, as events of a fleet."""
    restore = ('restore', draw(strategies.integers(1, 16)))
    kill = ('kill', draw(strategies.dictionaries(HOST, OFFSETS)))
    between = ('steps', draw(strategies.integers(0, 4)))
    events = [restore, between, kill]
    if draw(strategies.booleans()):
        events.reverse()
    if draw(strategies.booleans()):
        events[:0] = [
            ('freeze', (draw(HOST), draw(strategies.integers(1, 8)))),
            ('lead', draw(HOST)),
            ('steps', draw(strategies.integers(0, 16))),
        ]
    if draw(strategies.booleans()):
        events.append(('lead', draw(HOST)))
    return [*events, ('steps', draw(strategies.integers(0, 30)))]


def play(events):
    fleet = Fleet()
    for kind, what in events:
        match kind:
            case 'steps':
                for _ in range(what):
                    fleet.step()
            case 'restore' if fleet.store.copies:
                fleet.store.restore(what)
            case 'kill':
                for number, off_s in what.items():
                    fleet.start(number, off_s)
            case 'lead':
                fleet.lead(what)
            case 'freeze':
                number, for_s = what
                fleet.frozen_until_s[number] = fleet.clock.now_s() + for_s
        if fleet.leader is None:
            fleet.lead(0)
    return fleet


@hypothesis.settings(derandomize=True, max_examples=1500, deadline=None)
@hypothesis.given(strategies.lists(losses(), min_size=1, max_size=3))
def test_no_window_is_reported_with_different_counts(drawn):
    """Losses close together, of the store, of hosts and of their time."""
    events = [event for each in drawn for event in each]
    fleet = play([('steps', 20), *events, ('steps', 40)])
    for window, reports in fleet.accepted.items():
        assert all(each == reports[0] for each in reports), window


@hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(20, 40),
            strategies.sampled_from(['restore', 'kill', 'lead']),
        ),
        max_size=4,
    )
)
def test_single_losses_leave_no_window_out(drawn):
    """A restore, the end of all hosts, a restore as another host leads."""
    single = {
        'restore': [('restore', 6)],
        'kill': [('kill', dict.fromkeys(range(HOSTS), 0.0))],
        'lead': [('lead', 0), ('steps', 12), ('restore', 6), ('lead', 1)],
    }
    events = [('steps', 30)]
    for steps, loss in drawn:
        events += [*single[loss], ('steps', steps)]
    fleet = play([*events, ('steps', 40)])
    windows = sorted(fleet.accepted)
    assert windows == list(range(windows[0], windows[-1] + 1))


def test_leader_that_has_not_read_the_last_report_makes_no_other():
    """It held the key until the restore, and reads nothing before that."""
    fleet = play([('steps', 30)])
    known = len(fleet.accepted)
    while len(fleet.accepted) == known:
        fleet.step()
    fleet.frozen_until_s[1] = fleet.clock.now_s() + 2.0
    fleet.lead(1)
    fleet.store.restore(3)
    for number in (0, 2):
        fleet.start(number)
    for _ in range(40):
        fleet.step()
    assert len(fleet.accepted) > known + 2
    for window, reports in fleet.accepted.items():
        assert all(each == reports[0] for each in reports), window


def test_leader_that_stood_still_goes_by_those_who_read_the_store_before():
    """It left out windows that nobody can have reported."""
    fleet = play([('steps', 30)])
    known = len(fleet.accepted)
    while len(fleet.accepted) == known:
        fleet.step()
    fleet.frozen_until_s[0] = fleet.clock.now_s() + 6.0
    fleet.store.restore(3)
    for number in (1, 2):
        fleet.start(number)
    for _ in range(40):
        fleet.step()
    windows = sorted(fleet.accepted)
    assert windows == list(range(windows[0], windows[-1] + 1))
    assert all(len(set(map(str, r))) == 1 for r in fleet.accepted.values())


def test_time_of_a_clock_that_is_corrected_later_is_not_recorded():
    """The store told that reports were known since long before the restore."""
    fleet = play([('steps', 24)])
    known = len(fleet.accepted)
    while len(fleet.accepted) == known:
        fleet.step()
    fleet.store.restore(3)
    fleet.start(0)
    fleet.start(1, off_s=-7.0)
    fleet.lead(1)
    for _ in range(40):
        fleet.step()
    for window, reports in fleet.accepted.items():
        assert all(each == reports[0] for each in reports), window
