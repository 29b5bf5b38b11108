"""The duty of planning one pool: lease, engines and their commands."""

import collections
import json
import typing

from magnoliadyke.core import commands
from magnoliadyke.core import leases
from magnoliadyke.core import notices
from magnoliadyke.core import roles
from magnoliadyke import endpoint
from magnoliadyke import enginecontrol
from magnoliadyke import errors
from magnoliadyke import gossip
from magnoliadyke import keyvalue
from magnoliadyke import logs
from magnoliadyke import poolstatus

__all__ = ['PoolDuty']

#: Longest wait for what runs on an engine to end before its change.
DRAIN_TIMEOUT_S = 8.0
#: Requests that were on their way when the notice went out arrive meanwhile.
LEAST_DRAIN_S = 0.5
DRAIN_POLL_S = 0.25
#: A notice lapses after this long unless it is repeated.
NOTICE_S = 5.0
NOTICE_INTERVAL_S = 1.0
PLAN_INTERVAL_S = 1.0
#: A role is short for this long before an engine is moved to it; an engine
#: that crashed may be back by then.
SHORT_FOR_S = 3.0
CHANGES_KEPT = 50
WEIGHTS_TIMEOUT_S = 2.0
WEIGHTS_RETRY_S = 2.0

LOG = logs.get('duties')


class LeaseAnswered(typing.NamedTuple):
    """The store's answer to a call for the lease of a pool."""

    pool: str
    action: object
    outcome: object


class IntentAnswered(typing.NamedTuple):
    """The store's answer to a call for the intent of an engine."""

    pool: str
    engine: str
    outcome: object


class StateAnswered(typing.NamedTuple):
    """An engine's reading, None when it is away."""

    pool: str
    engine: str
    reading: object


class CommandAnswered(typing.NamedTuple):
    """An engine's verdict, None when it is not known."""

    pool: str
    engine: str
    verdict: object


class WeightsAnswered(typing.NamedTuple):
    """Whether the weight store lets a load begin, or when to come back."""

    pool: str
    engine: str
    granted: bool
    retry_after_s: float


class Engine:
    """One engine of the pool and what is under way with it.

    :param settings: its :class:`magnoliadyke.settings.EndpointSettings`
    :param control: an :class:`magnoliadyke.enginecontrol.EngineControl`
    """

    def __init__(self, settings, control):
        self.name = settings.name
        self.role = settings.role
        self.control = control
        self.commands = commands.EngineCommands(
            settings.name, settings.checks_fencing, commands.CommandSettings()
        )
        self.reading = None
        self.read_s = None
        self.draining_since_s = None
        self.out_of_use = False
        self.next_drain_poll_s = 0.0
        self.next_notice_s = 0.0
        self.next_load_s = 0.0

    def take_reading(self, reading, now_s):
        """Keep what the engine said of itself."""
        self.reading = reading
        if reading is not None:
            self.read_s = now_s
            self.role = reading.state.role

    def astray(self):
        """Whether the engine is in another role than was last intended.

        It will be told to go back. A planner that took its role for real
        would move another engine in its stead, and the pool would be left
        with none in one of the roles when both are done.
        """
        intended = self.commands.role
        return intended is not None and self.role != intended.target


class PoolDuty:
    """Takes part in the election for one pool and plans it when elected.

    All calls that wait run in greenlets of their own and come back to the
    owning task as messages.

    :param pool: :class:`magnoliadyke.settings.PoolSettings`
    :param task: the :class:`magnoliadyke.duties.Duties` that owns this
    :param controls: engine name to
        :class:`magnoliadyke.enginecontrol.EngineControl`
    """

    def __init__(self, pool, task, controls):
        self.pool = pool
        self.name = pool.name
        self.task = task
        self.key = f'lease/{pool.name}'
        settings = task.settings
        self.lease = leases.Lease(
            task.host,
            task.incarnation,
            leases.LeaseSettings(ttl_s=settings.timing.lease_ttl_s),
        )
        self.planner = roles.Planner()
        self.engines = {
            each.name: Engine(each, controls[each.name])
            for each in pool.endpoints
        }
        self.weights = endpoint.Connections(
            settings.weight_store.address, task.clock, endpoint.DEFAULTS
        )
        self.changes = collections.deque(maxlen=CHANGES_KEPT)
        self.highest_fencing = 0
        self.next_plan_s = 0.0
        self.short_since_s = None
        self.holding = False

    # Time.

    def tick(self, now_s, contending):
        """Do what is due.

        :param contending: whether this node wants the duty
        """
        floor = max(
            int(self.task.clock.wall_s() * 1000), self.highest_fencing + 1
        )
        for action in self.lease.tick(now_s, contending, floor):
            self.call_store_for_lease(action)
        authority = self.lease.held(now_s)
        self.note_holding(authority)
        for engine in self.engines.values():
            self.tick_engine(engine, now_s, authority)
        if authority is not None and now_s >= self.next_plan_s:
            self.next_plan_s = now_s + PLAN_INTERVAL_S
            self.plan(now_s)

    def note_holding(self, authority):
        """Log when the duty is taken or lost."""
        holding = authority is not None
        if holding != self.holding:
            self.holding = holding
            LOG.event(
                'duty_taken' if holding else 'duty_lost',
                pool=self.name,
                fencing=authority.fencing if holding else 0,
            )

    def tick_engine(self, engine, now_s, authority):
        """Drive the commands of one engine."""
        if self.row_state(engine) == 'withdrawn':
            return
        for action in engine.commands.tick(now_s, authority):
            self.act(engine, action, now_s)
        if authority is None:
            engine.draining_since_s = None
            engine.out_of_use = False
            return
        if engine.out_of_use and now_s >= engine.next_notice_s:
            engine.next_notice_s = now_s + NOTICE_INTERVAL_S
            self.announce(engine, changing=True)
        if engine.draining_since_s is not None:
            self.drain(engine, now_s)
        if engine.commands.is_superseded:
            heard = engine.commands.highest_fencing
            self.highest_fencing = max(self.highest_fencing, heard)
            self.lease.release()

    def row_state(self, engine):
        """State of the engine in the operators' table."""
        view = self.task.view
        return view.endpoint(engine.name).state if view is not None else 'in'

    # Planning.

    def observe(self, demand, now_s):
        """Feed the planner; every node does, so that each could take over."""
        self.planner.observe(demand, now_s)

    def plan(self, now_s):
        """Ask the planner; begin the change that it wants."""
        view = self.task.view
        if view is None:
            return
        row = view.pool(self.name)
        state = roles.PoolState(
            tuple(self.engine_view(each) for each in self.engines.values()),
            row.role_change_price,
            row.min_prefill,
            row.min_decode,
            row.dwell_s,
            row.planning,
        )
        change = self.planner.plan(state, now_s)
        change = self.shortage(state, now_s) or change
        if change is not None:
            self.begin(change)
        else:
            self.load_models(now_s)

    def shortage(self, state, now_s):
        """Return the change that ends a lack of engines in a role.

        The planner never goes below the least numbers of the table, but an
        engine that dies, or an operator who raises a number, does. This
        holds with planning off as well: it is how operators ask for roles.
        """
        change = change_for_minimum(state)
        if change is None:
            self.short_since_s = None
            return None
        if self.short_since_s is None:
            self.short_since_s = now_s
        if now_s - self.short_since_s < SHORT_FOR_S:
            return None
        self.planner.reason = f'too few engines in role {change.role}'
        return change

    def engine_view(self, engine):
        """The engine as the planner wants to know it."""
        reading = engine.reading
        active = reading.active if reading is not None else 0
        read_s = engine.read_s if engine.read_s is not None else -1e9
        return roles.EngineView(
            engine.name, engine.role, self.state_of(engine), active, read_s
        )

    def state_of(self, engine):
        """Whether the planner may count on the engine."""
        reading = engine.reading
        if engine.commands.under_way:
            # Also while it is away: it may have crashed half-way, and comes
            # back to go on. Another change meanwhile would be one too many.
            return 'changing'
        if reading is None:
            return 'away'
        if reading.state.changing or engine.astray():
            return 'changing'
        if self.row_state(engine) != 'in' or not reading.takes_work:
            return 'leaving'
        return 'in'

    def begin(self, change):
        """Begin a role change, unless the pool would fall short."""
        row = self.task.view.pool(self.name)
        engine = self.engines[change.endpoint]
        working = [
            each.role
            for each in self.engines.values()
            if self.state_of(each) == 'in'
        ]
        kept = commands.keeps_minimum(
            working, engine.role, row.min_prefill, row.min_decode
        )
        wanted = commands.Change('role', change.role)
        if kept and engine.commands.request_change(wanted):
            LOG.event(
                'role_change_wanted',
                pool=self.name,
                engine=engine.name,
                role=change.role,
                reason=self.planner.reason,
            )

    # Models.

    def load_models(self, now_s):
        """Load the pool's model where it is missing, one at a time.

        The weight store is shared by all pools, so it is asked first.
        """
        for engine in self.engines.values():
            missing = (
                self.state_of(engine) == 'in'
                and self.pool.model not in engine.reading.state.models
            )
            if missing and now_s >= engine.next_load_s:
                engine.next_load_s = now_s + 2 * WEIGHTS_TIMEOUT_S
                self.task.spawn(lambda e=engine: self.ask_weight_store(e))
                return

    def ask_weight_store(self, engine):
        """Ask the weight store for the bytes of one load."""
        body = json.dumps({'bytes': self.pool.model_bytes}).encode()
        granted, retry_after_s = False, WEIGHTS_RETRY_S
        try:
            reply = self.weights.call(
                'POST', '/tokens', body, (), WEIGHTS_TIMEOUT_S
            )
            granted = reply.status == enginecontrol.STATUS_OK
            if not granted:
                retry_after_s = float(reply.json()['retry_after_s'])
        except (errors.EndpointUnreachable, ValueError, KeyError) as error:
            LOG.repeated('weight_store_failed', self.name, error=str(error))
        self.task.post(
            WeightsAnswered(self.name, engine.name, granted, retry_after_s)
        )

    def take_weights(self, answer, now_s):
        """Begin the load, or wait."""
        engine = self.engines[answer.engine]
        engine.next_load_s = now_s + answer.retry_after_s
        if answer.granted and self.lease.held(now_s) is not None:
            engine.commands.request_change(
                commands.Change('load', self.pool.model)
            )
            LOG.event('load_wanted', engine=engine.name, model=self.pool.model)

    # Actions of the core.

    def act(self, engine, action, now_s):
        """Carry out one action for an engine."""
        match action:
            case commands.ReadState():
                self.task.spawn(lambda: self.read_state(engine))
            case commands.ReadIntent():
                self.task.spawn(lambda: self.read_intent(engine))
            case commands.WriteIntent(intent, if_revision):
                self.task.spawn(
                    lambda: self.write_intent(engine, intent, if_revision)
                )
            case commands.SendCommand(command, deadline_s):
                self.task.spawn(
                    lambda: self.send_command(engine, command, deadline_s)
                )
            case commands.Prepare(change):
                self.prepare(engine, change, now_s)
            case commands.Settled(change, generation, corrected):
                self.settled(engine, change, generation, corrected)
            case commands.ChangeFailed(change, reason):
                self.gave_up(engine, change, reason)

    def settled(self, engine, change, generation, corrected):
        """A change is done; give the engine back to use."""
        self.give_back(engine)
        LOG.event(
            'engine_settled',
            engine=engine.name,
            kind=change.kind,
            target=change.target,
            generation=generation,
            corrected=corrected,
        )
        if change.kind == 'role':
            at_s = self.task.clock.wall_s()
            self.changes.append((at_s, engine.name, change.target))
            if self.task.metrics is not None:
                self.task.metrics.role_change(
                    self.name, engine.name, change.target
                )

    def gave_up(self, engine, change, reason):
        """A change failed; give the engine back to use."""
        self.give_back(engine)
        LOG.warning_event(
            'engine_change_failed',
            engine=engine.name,
            kind=change.kind,
            target=change.target,
            reason=reason,
        )

    def give_back(self, engine):
        """Let all nodes place work on the engine again."""
        engine.draining_since_s = None
        engine.out_of_use = False
        self.announce(engine, changing=False)

    def announce(self, engine, changing):
        """Tell all nodes whether to place work on the engine."""
        authority = self.lease.authority
        if authority is not None:
            notice = notices.EngineNotice(
                engine.name, authority.fencing, changing, NOTICE_S
            )
            self.task.gossip.post(gossip.Announce(notice))

    # Draining.

    def prepare(self, engine, change, now_s):
        """Take the engine out of use before a role change."""
        if change.kind != 'role':
            for action in engine.commands.record_engine_drained(now_s):
                self.act(engine, action, now_s)
            return
        engine.draining_since_s = now_s
        engine.out_of_use = True
        engine.next_notice_s = now_s
        engine.next_drain_poll_s = now_s + LEAST_DRAIN_S

    def drain(self, engine, now_s):
        """Wait until nothing runs on the engine, then go on.

        What still runs at the end of the wait is frozen during the change
        and goes on after it; nothing is cut.
        """
        waited_s = now_s - engine.draining_since_s
        if now_s >= engine.next_drain_poll_s:
            engine.next_drain_poll_s = now_s + DRAIN_POLL_S
            self.task.spawn(lambda: self.read_state(engine, polled=True))
        reading = engine.reading
        read_since = (
            engine.read_s is not None
            and engine.read_s - engine.draining_since_s > LEAST_DRAIN_S
        )
        empty = read_since and reading is not None and reading.active == 0
        if empty or waited_s > DRAIN_TIMEOUT_S:
            engine.draining_since_s = None
            for action in engine.commands.record_engine_drained(now_s):
                self.act(engine, action, now_s)

    # Calls that wait; each runs in a greenlet of its own.

    def call_store_for_lease(self, action):
        """Make the lease's next call to the store."""
        self.task.spawn(lambda: self.lease_call(action))

    def lease_call(self, action):
        """Call the store for the lease."""
        store = self.task.lease_store
        match action:
            case leases.ReadLease():
                outcome = store.get(self.key)
            case leases.WriteLease(value, if_revision):
                outcome = store.put(self.key, value.dump(), if_revision)
        self.task.post(LeaseAnswered(self.name, action, outcome))

    def read_intent(self, engine):
        """Read the engine's intent from the store."""
        outcome = self.task.intent_store.get(f'intent/{engine.name}')
        self.task.post(IntentAnswered(self.name, engine.name, outcome))

    def write_intent(self, engine, intent, if_revision):
        """Write the engine's intent to the store."""
        outcome = self.task.intent_store.put(
            f'intent/{engine.name}', intent.dump(), if_revision
        )
        self.task.post(IntentAnswered(self.name, engine.name, outcome))

    def read_state(self, engine, polled=False):
        """Read the engine's state; a poll of the drain is for us alone."""
        try:
            reading = engine.control.read()
        except (errors.EndpointUnreachable, ValueError) as error:
            LOG.repeated('engine_away', engine.name, error=str(error))
            reading = None
        if polled:
            engine.take_reading(reading, self.task.clock.now_s())
            return
        self.task.post(StateAnswered(self.name, engine.name, reading))

    def send_command(self, engine, command, deadline_s):
        """Send one command, if the authority still stands."""

        def may_send():
            now_s = self.task.clock.now_s()
            return engine.commands.may_send(now_s, self.lease.held(now_s))

        left_s = deadline_s - self.task.clock.now_s()
        verdict = None
        try:
            if left_s > 0:
                verdict = engine.control.send(command, left_s, may_send)
        except errors.EndpointUnreachable as error:
            LOG.repeated('command_unknown', engine.name, error=str(error))
        self.task.post(CommandAnswered(self.name, engine.name, verdict))

    # Answers.

    def take_lease_answer(self, answer, now_s):
        """Tell the lease what the store answered."""
        match answer.outcome:
            case keyvalue.Stored(revision):
                self.lease.record_written(now_s, revision)
            case keyvalue.Found(value=text, revision=revision):
                self.lease.record_read(now_s, revision, text)
            case keyvalue.Absent():
                self.lease.record_read(now_s, 0, None)
            case keyvalue.Conflict(revision, value):
                self.lease.record_write_refusal(now_s, revision, value)
            case _ if isinstance(answer.action, leases.ReadLease):
                self.lease.record_read_failure(now_s)
            case _:
                self.lease.record_write_unknown(now_s)

    def take_intent_answer(self, answer, now_s):
        """Tell the engine's commands what the store answered."""
        engine = self.engines[answer.engine]
        match answer.outcome:
            case keyvalue.Stored(revision):
                actions = engine.commands.record_intent_written(
                    now_s, revision
                )
            case keyvalue.Found(value=text, revision=revision):
                actions = engine.commands.record_intent_read(
                    now_s, revision, text
                )
            case keyvalue.Conflict(revision, value):
                actions = engine.commands.record_intent_read(
                    now_s, revision, value
                )
            case keyvalue.Absent():
                actions = engine.commands.record_intent_read(now_s, 0, None)
            case _:
                actions = engine.commands.record_intent_failure(now_s)
        self.act_all(engine, actions, now_s)

    def take_state_answer(self, answer, now_s):
        """Tell the engine's commands what the engine said."""
        engine = self.engines[answer.engine]
        engine.take_reading(answer.reading, now_s)
        if answer.reading is None:
            actions = engine.commands.record_state_failure(now_s)
        else:
            actions = engine.commands.record_state(now_s, answer.reading.state)
        self.act_all(engine, actions, now_s)

    def take_command_answer(self, answer, now_s):
        """Tell the engine's commands what became of a command."""
        engine = self.engines[answer.engine]
        match answer.verdict:
            case enginecontrol.Verdict(code, highest):
                actions = engine.commands.record_command_answer(
                    now_s, code, highest
                )
            case _:
                actions = engine.commands.record_command_unknown(now_s)
        self.act_all(engine, actions, now_s)

    def act_all(self, engine, actions, now_s):
        """Carry out several actions for an engine."""
        for action in actions:
            self.act(engine, action, now_s)

    # Ending and telling.

    def under_way(self):
        """Whether a command relies on the lease at this moment."""
        return any(each.commands.under_way for each in self.engines.values())

    def release(self, in_time):
        """Give the duty up.

        :param in_time: False when a change is still under way and can't be
            waited for: the lease then lapses by itself, and the successor
            waits for what may be on its way
        """
        if not in_time:
            self.lease.drop()
        elif not self.under_way():
            self.lease.release()

    def status(self, now_s):
        """Return what this node knows of the pool's planning."""
        value = self.lease.value
        return poolstatus.PoolStatus(
            self.name,
            self.lease.holder() or '',
            value.fencing if value is not None else 0,
            tuple(self.engine_status(e, now_s) for e in self.engines.values()),
            tuple(self.changes),
            self.planner.reason,
        )

    def engine_status(self, engine, now_s):
        """Return how one engine does."""
        reading = engine.reading
        intended = engine.commands.role
        target = intended.target if intended is not None else engine.role
        return poolstatus.EngineStatus(
            engine.name,
            engine.role,
            target,
            reading.state.generation if reading is not None else 0,
            reading is not None and reading.state.changing,
            now_s - engine.read_s if engine.read_s is not None else -1.0,
        )

    def close(self):
        """Drop idle connections."""
        self.weights.close()
        for engine in self.engines.values():
            engine.control.close()


def change_for_minimum(state):
    """Return the role change that a pool below its least numbers needs.

    :param state: :class:`magnoliadyke.core.roles.PoolState`
    :return: :class:`magnoliadyke.core.roles.RoleChange`, or None
    """
    if any(engine.state == 'changing' for engine in state.engines):
        return None
    least = {roles.PREFILL: state.min_prefill, roles.DECODE: state.min_decode}
    working = {
        role: [e for e in state.engines if (e.role, e.state) == (role, 'in')]
        for role in least
    }
    pairs = (
        (roles.PREFILL, roles.DECODE),
        (roles.DECODE, roles.PREFILL),
    )
    for short, other in pairs:
        spare = len(working[other]) - least[other]
        if len(working[short]) < least[short] and spare > 0:
            chosen = min(working[other], key=lambda e: (e.load, e.name))
            return roles.RoleChange(chosen.name, short)
    return None
