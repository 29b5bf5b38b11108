"""Tests for commands to engines."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from magnoliadyke.core import commands
from magnoliadyke.core import leases
from tests import onekey

SETTINGS = commands.CommandSettings()
PREFILL = commands.Change('role', 'prefill')
DECODE = commands.Change('role', 'decode')
CHANGE_S = 1.0


class Engine:
    """An engine as the platform describes it."""

    def __init__(self, checks_fencing):
        self.checks_fencing = checks_fencing
        self.taken = []
        self.begin()

    def begin(self):
        self.role = 'decode'
        self.generation = 0
        self.highest = 0
        self.seen = set()
        self.done_s = 0.0
        self.target = 'decode'
        self.models = ()

    def state(self, now_s):
        if now_s >= self.done_s:
            self.role = self.target
        changing = now_s < self.done_s
        return commands.EngineState(
            self.role, changing, self.generation, self.models
        )

    def command(self, command, now_s):
        """The code of the answer: '' when taken."""
        if command.id in self.seen:
            return ''
        if self.checks_fencing and command.fencing < self.highest:
            return 'stale_fencing'
        if self.state(now_s).changing:
            return 'changing'
        self.seen.add(command.id)
        self.highest = max(self.highest, command.fencing)
        self.taken.append(command)
        self.generation = command.generation
        if command.change.kind == 'load':
            self.models += (command.change.target,)
            return ''
        self.target = command.change.target
        self.done_s = now_s + CHANGE_S
        return ''


class Holder:
    """A host that takes the lease and commands the engine."""

    def __init__(self, host, world):
        self.world = world
        self.lease = leases.Lease(host, 1, leases.LeaseSettings())
        self.commands = commands.EngineCommands(
            'e1', world.engine.checks_fencing, SETTINGS
        )
        self.told = []
        self.calls = []

    def tick(self, now_s):
        self.calls += self.lease.tick(now_s, True, 0)
        authority = self.lease.held(now_s)
        self.take(self.commands.tick(now_s, authority), now_s)

    def take(self, actions, now_s):
        for action in actions:
            match action:
                case commands.Settled() | commands.ChangeFailed():
                    self.told.append(action)
                case commands.Prepare():
                    self.take(
                        self.commands.record_engine_drained(now_s), now_s
                    )
                case _:
                    self.calls.append(action)

    def call(self, now_s, lost=''):
        """Carry out the oldest call."""
        if not self.calls:
            return
        action = self.calls.pop(0)
        match action:
            case leases.ReadLease() | leases.WriteLease():
                self.call_lease(action, now_s, lost)
            case commands.ReadIntent() | commands.WriteIntent():
                self.call_intent(action, now_s, lost)
            case commands.ReadState():
                self.read_state(now_s, lost)
            case commands.SendCommand():
                if self.may_send(action, now_s) and lost != 'request':
                    self.deliver(action.command, now_s, lost)
                else:
                    self.commands.record_command_unknown(now_s)

    def call_lease(self, action, now_s, lost):
        if self.world.outage:
            lost = 'request'
        key = self.world.lease_key
        onekey.perform(self.lease, key, action, now_s, lost)

    def call_intent(self, action, now_s, lost):
        key = self.world.intent_key
        if lost == 'request' or self.world.outage:
            self.commands.record_intent_failure(now_s)
            return
        taken = False
        if isinstance(action, commands.WriteIntent):
            taken = key.write(action.intent.dump(), action.if_revision)
        if lost:
            self.commands.record_intent_failure(now_s)
        elif taken:
            self.commands.record_intent_written(now_s, key.revision)
        else:
            actions = self.commands.record_intent_read(
                now_s, key.revision, key.text
            )
            self.take(actions, now_s)

    def read_state(self, now_s, lost):
        if lost:
            self.commands.record_state_failure(now_s)
        else:
            state = self.world.engine.state(now_s)
            self.take(self.commands.record_state(now_s, state), now_s)

    def may_send(self, action, now_s):
        return now_s < action.deadline_s and self.commands.may_send(
            now_s, self.lease.held(now_s)
        )

    def deliver(self, command, now_s, lost=''):
        code = self.world.engine.command(command, now_s)
        highest = self.world.engine.highest
        if lost:
            self.commands.record_command_unknown(now_s)
        else:
            actions = self.commands.record_command_answer(now_s, code, highest)
            self.take(actions, now_s)


class World:
    """Two hosts, an engine and the store."""

    def __init__(self, checks_fencing=False):
        self.now_s = 0.0
        self.outage = False
        self.engine = Engine(checks_fencing)
        self.lease_key = onekey.Key()
        self.intent_key = onekey.Key()
        self.holders = [Holder(host, self) for host in ('h1', 'h2')]

    def run(self, for_s, hosts=(0, 1)):
        until_s = self.now_s + for_s
        while self.now_s < until_s:
            self.now_s += 0.1
            for index in hosts:
                holder = self.holders[index]
                holder.tick(self.now_s)
                while holder.calls:
                    holder.call(self.now_s)

    def run_until_sending(self, index):
        """Stop a host with a command ready to go out."""
        holder = self.holders[index]
        while True:
            self.now_s += 0.1
            holder.tick(self.now_s)
            while holder.calls:
                if isinstance(holder.calls[0], commands.SendCommand):
                    return holder.calls[0]
                holder.call(self.now_s)


@pytest.mark.parametrize('checks_fencing', [False, True])
def test_change_is_commanded_and_read_back(checks_fencing):
    world = World(checks_fencing)
    world.run(7.0)
    holder = world.holders[0]
    assert holder.commands.request_change(PREFILL)
    assert not holder.commands.request_change(DECODE)
    world.run(3.0)
    targets = [command.change.target for command in world.engine.taken]
    first = ['decode'] if checks_fencing else []
    assert targets == [*first, 'prefill']
    assert holder.told == [commands.Settled(PREFILL, len(targets))]
    assert (world.intent_key.text is None) == checks_fencing


def test_lost_replies_lead_to_no_second_command():
    """The engine changes once although nobody hears that it did.

    The reply to the intent and the reply to the command get lost; both
    are settled by reading back.
    """
    world = World()
    world.run(7.0)
    holder = world.holders[0]
    holder.commands.request_change(PREFILL)
    for _ in range(60):
        world.now_s += 0.1
        holder.tick(world.now_s)
        while holder.calls:
            call = holder.calls[0]
            lost = isinstance(
                call, commands.WriteIntent | commands.SendCommand
            )
            holder.call(world.now_s, 'reply' if lost else '')
    assert holder.told == [commands.Settled(PREFILL, 1)]
    assert [c.generation for c in world.engine.taken] == [1]


def test_crash_in_mid_change_is_commanded_again():
    """The engine dies while it changes and comes back in its old role."""
    world = World()
    world.run(7.0)
    world.holders[0].commands.request_change(PREFILL)
    while not world.engine.taken:
        world.run(0.1)
    world.engine.begin()
    world.run(6.0)
    assert world.engine.state(world.now_s).role == 'prefill'
    assert commands.Settled(PREFILL, 1) in world.holders[0].told


def test_engine_that_falls_back_gets_a_new_generation():
    """The engine ends its change in the old role; a repeat does nothing.

    It knows the command's id already, so only a new command helps.
    """
    world = World()
    world.run(7.0)
    world.holders[0].commands.request_change(PREFILL)
    while not world.engine.taken:
        world.run(0.1)
    world.engine.target = 'decode'
    world.run(8.0)
    assert world.engine.state(world.now_s).role == 'prefill'
    assert world.engine.generation == 2


def test_successor_waits_out_the_last_command():
    """A command sent in the last moment arrives before the successor acts.

    The holder sends, is cut off, and its command is under way for its
    whole life.  The successor has the lease but reads nothing yet.
    """
    world = World()
    world.run(7.0)
    world.run(7.0, hosts=[1])
    taken_s = world.holders[1].lease.authority.since_s
    assert world.holders[1].commands.state is not None
    early_s = taken_s + SETTINGS.command_lifetime_s
    fresh = commands.EngineCommands('e1', False, SETTINGS)
    authority = world.holders[1].lease.authority
    assert fresh.tick(early_s, authority) == []
    assert fresh.tick(early_s + 0.2, authority) == [commands.ReadIntent()]


def test_last_question_before_the_last_byte():
    """No command outlives the authority that it was begun with."""
    world = World()
    world.run(7.0)
    holder = world.holders[0]
    holder.commands.request_change(PREFILL)
    world.run_until_sending(0)
    now_s = world.now_s
    held = holder.lease.held(now_s)
    assert holder.commands.may_send(now_s, held)
    assert not holder.commands.may_send(now_s, None)
    later = held._replace(fencing=held.fencing + 1)
    assert not holder.commands.may_send(now_s, later)
    end_s = held.until_s - SETTINGS.command_lifetime_s
    assert not holder.commands.may_send(end_s, held)


def test_reply_from_a_former_tenure_is_dropped():
    """A host that lost the lease and got it back reads anew.

    Its read of the intent was under way all the time; the answer shows
    what the store held before another holder wrote.
    """
    engine = commands.EngineCommands('e1', False, SETTINGS)
    before = leases.Authority(1, 0.0, 5.0)
    after = leases.Authority(3, 20.0, 25.0)
    assert engine.tick(2.0, before) == [commands.ReadIntent()]
    assert engine.tick(22.0, after) == []
    engine.record_intent_read(22.0, 1, commands.Intent(1, 1, PREFILL).dump())
    assert engine.tick(22.1, after) == [commands.ReadIntent()]


@pytest.mark.parametrize('checks_fencing', [False, True])
def test_stop_at_the_worst_spot(checks_fencing):
    """A command of a stopped process arrives after its successor's.

    The first holder is stopped between its last check and the system call
    that sends.  The second takes over and commands the opposite.  Then the
    first runs on and its bytes go out.  An engine that checks numbers
    refuses them; one that does not obeys, and is put right again.
    """
    world = World(checks_fencing)
    world.run(7.0)
    first, second = world.holders
    first.commands.request_change(PREFILL)
    stray = world.run_until_sending(0)
    assert first.may_send(stray, world.now_s)
    world.run(8.0, hosts=[1])
    second.commands.request_change(DECODE)
    world.run(4.0, hosts=[1])
    code = world.engine.command(stray.command, world.now_s)
    assert code == ('stale_fencing' if checks_fencing else '')
    first.calls.clear()
    first.lease.drop()
    world.run(8.0, hosts=[1])
    assert world.engine.state(world.now_s).role == 'decode'
    # The first intent, which never arrived, and the stray command.
    assert second.commands.corrections == (0 if checks_fencing else 2)


def test_stray_role_is_undone_after_a_load_too():
    """The engine stays in a role that nobody planned, for good.

    A model was loaded since the last role change, and with the load as the
    last intent nothing told which role the engine should have.
    """
    world = World()
    world.run(7.0)
    holder = world.holders[0]
    holder.commands.request_change(PREFILL)
    world.run(4.0)
    holder.commands.request_change(commands.Change('load', 'm'))
    world.run(4.0)
    assert holder.commands.intent.change.kind == 'load'
    world.engine.target = 'decode'
    world.run(6.0)
    assert world.engine.state(world.now_s).role == 'prefill'


def test_model_lost_in_a_crash_is_no_stray_command():
    """Loads of other pools come late: one goes beyond the store's rate.

    An engine comes back empty from a crash.  Its load has to ask the weight
    store again, so the comparison must not command it by itself.
    """
    world = World()
    world.run(7.0)
    world.holders[0].commands.request_change(commands.Change('load', 'm'))
    world.run(4.0)
    assert world.engine.models == ('m',)
    world.engine.models = ()
    world.run(6.0)
    assert world.engine.models == ()


def test_stray_command_before_the_reading_back():
    """The engine stays in a role that nobody planned for 16 s.

    The stray command arrives when the successor's has just taken effect and
    before that has been read back.  The successor takes its own for lost and
    repeats it, and the engine drops repeats of what it has carried out.
    """
    world = World()
    world.run(7.0)
    first, second = world.holders
    first.commands.request_change(PREFILL)
    stray = world.run_until_sending(0)
    world.run(8.0, hosts=[1])
    second.commands.request_change(DECODE)
    world.run_until_sending(1)
    second.call(world.now_s)
    world.now_s += CHANGE_S + 0.01
    assert world.engine.state(world.now_s).role == 'decode'
    assert world.engine.command(stray.command, world.now_s) == ''
    world.run(6.0, hosts=[1])
    assert world.engine.state(world.now_s).role == 'decode'


def test_number_of_a_new_holder_is_made_known():
    """The stopped holder's command comes before its successor's first.

    The successor finds the engine as it wants it and has nothing to
    command.  Had it kept still, the engine would take the old number.
    """
    world = World(checks_fencing=True)
    world.run(7.0)
    world.holders[0].commands.request_change(PREFILL)
    stray = world.run_until_sending(0)
    world.run(8.0, hosts=[1])
    code = world.engine.command(stray.command, world.now_s)
    assert code == 'stale_fencing'


def test_outranked_holder_says_so():
    world = World(checks_fencing=True)
    world.engine.highest = 40
    world.run(8.0)
    assert world.holders[0].commands.is_superseded
    assert not world.engine.taken


def test_no_answer_from_the_store_means_no_command():
    world = World()
    world.run(7.0)
    world.outage = True
    world.holders[0].commands.request_change(PREFILL)
    world.run(6.0)
    assert not world.engine.taken
    assert world.holders[0].told == [
        commands.ChangeFailed(PREFILL, 'authority lost')
    ]


def test_keeps_minimum():
    roles = ['prefill', 'decode', 'decode']
    assert commands.keeps_minimum(roles, 'decode', 1, 1)
    assert not commands.keeps_minimum(roles, 'prefill', 1, 1)


class Coordination(stateful.RuleBasedStateMachine):
    """Two hosts under pauses, outages, lost messages and engine crashes.

    Commands that pass the last check arrive in order of their holders;
    no generation stands for two targets; and in the end the engine is
    what the store says it was told to be.
    """

    def __init__(self):
        super().__init__()
        self.world = World(self.checks_fencing)

    checks_fencing = False

    @stateful.rule(
        for_s=strategies.sampled_from([0.2, 1.0, 3.0]),
        hosts=strategies.sampled_from([[0], [1], [0, 1]]),
    )
    def run_some(self, for_s, hosts):
        self.world.run(for_s, hosts)

    @stateful.rule(for_s=strategies.sampled_from([0.1, 0.9, 2.0, 5.0]))
    def pass_time(self, for_s):
        self.world.now_s += for_s

    @stateful.rule(
        index=strategies.integers(0, 1),
        lost=strategies.sampled_from(['', 'request', 'reply']),
    )
    def step(self, index, lost):
        holder = self.world.holders[index]
        holder.tick(self.world.now_s)
        holder.call(self.world.now_s, lost)

    @stateful.rule(
        index=strategies.integers(0, 1),
        change=strategies.sampled_from([PREFILL, DECODE]),
    )
    def want(self, index, change):
        self.world.holders[index].commands.request_change(change)

    @stateful.rule(outage=strategies.booleans())
    def store(self, outage):
        self.world.outage = outage

    @stateful.rule()
    def crash_engine(self):
        self.world.engine.begin()

    @stateful.rule()
    def end_well(self):
        world = self.world
        world.outage = False
        world.run(30.0)
        held = [h for h in world.holders if h.lease.held(world.now_s)]
        assert len(held) == 1
        state = world.engine.state(world.now_s)
        assert not state.changing
        if world.intent_key.text is not None:
            intent = commands.Intent.parse(world.intent_key.text)
            assert state.role == intent.change.target

    @stateful.invariant()
    def holders_in_order(self):
        numbers = [command.fencing for command in self.world.engine.taken]
        assert numbers == sorted(numbers)

    @stateful.invariant()
    def one_target_a_generation(self):
        targets = {}
        for command in self.world.engine.taken:
            name = (command.fencing, command.generation)
            target = targets.setdefault(name, command.change)
            assert target == command.change


class CheckedCoordination(Coordination):
    """The same with an engine that checks numbers."""

    checks_fencing = True


TestCoordination = Coordination.TestCase
TestCheckedCoordination = CheckedCoordination.TestCase
TestCoordination.settings = TestCheckedCoordination.settings = (
    hypothesis.settings(max_examples=40, stateful_step_count=25)
)
