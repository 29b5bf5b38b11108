"""Duty of planning one pool: its lease and the commands to its engines."""

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

#: Longest wait for the requests of an engine to end before its role change.
DRAIN_TIMEOUT_S = 8.0
#: Shortest drain: requests that other nodes sent before they received the
#: notice arrive within this time.
MIN_DRAIN_S = 0.5
DRAIN_POLL_S = 0.25
#: A notice expires after this time unless it is repeated.
NOTICE_TTL_S = 5.0
NOTICE_INTERVAL_S = 1.0
PLAN_INTERVAL_S = 1.0
#: A role has too few engines for this time before an engine of the other role
#: is switched to it; an engine that crashed may have restarted by then.
SHORTAGE_DELAY_S = 3.0
MAX_RECENT_CHANGES = 50
WEIGHT_STORE_TIMEOUT_S = 2.0
WEIGHT_STORE_RETRY_S = 2.0

LOG = logs.get('duties')


class LeaseAnswered(typing.NamedTuple):
    """Outcome of a store call for the lease of a pool.

    :param action: ``leases.ReadLease`` or ``leases.WriteLease``
    :param outcome: an outcome of :mod:`magnoliadyke.keyvalue`
    """

    pool: str
    action: object
    outcome: object


class IntentAnswered(typing.NamedTuple):
    """Outcome of a store call for the intent of an engine.

    :param outcome: an outcome of :mod:`magnoliadyke.keyvalue`
    """

    pool: str
    engine: str
    outcome: object


class StateAnswered(typing.NamedTuple):
    """State and load of an engine.

    :param reading: :class:`magnoliadyke.enginecontrol.EngineReading`, or None
        if the engine could not be read
    """

    pool: str
    engine: str
    reading: object


class CommandAnswered(typing.NamedTuple):
    """An engine's answer to a command.

    :param verdict: :class:`magnoliadyke.enginecontrol.CommandReply`, or None
        if the outcome of the command is unknown
    """

    pool: str
    engine: str
    verdict: object


class WeightsAnswered(typing.NamedTuple):
    """The weight store's answer to a request to load a model.

    :param granted: whether the load may start now
    :param retry_after_s: seconds until the next request if it may not
    """

    pool: str
    engine: str
    granted: bool
    retry_after_s: float


class Engine:
    """One engine of the pool, and its change in progress if there is one.

    :param settings: its :class:`magnoliadyke.settings.EndpointSettings`
    :param control: an :class:`magnoliadyke.enginecontrol.EngineControl`
    :ivar reading: last :class:`magnoliadyke.enginecontrol.EngineReading`, None
        before the first one and after a failed one
    :ivar read_s: monotonic time of the last successful reading, or None
    :ivar draining_since_s: monotonic time at which the drain started, None
        if the engine is not being drained
    :ivar is_out_of_use: whether notices are repeated by which all nodes send
        the engine no new requests
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
        self.is_out_of_use = False
        self.next_drain_poll_s = 0.0
        self.next_notice_s = 0.0
        self.next_load_s = 0.0

    def record_reading(self, reading, now_s):
        """Record the engine's state and load, or None if it did not answer."""
        self.reading = reading
        if reading is not None:
            self.read_s = now_s
            self.role = reading.state.role

    def is_in_unintended_role(self):
        """Whether the engine has another role than the last command requested.

        It will be commanded to switch back. If the planner counted it in its
        present role, it would switch another engine to replace it, and after
        both changes the pool could have no engine in one of the roles.
        """
        intended = self.commands.role
        return intended is not None and self.role != intended.target


class PoolDuty:
    """Contends for the lease of one pool and plans the pool while it holds it.

    Blocking calls run in greenlets of their own, which post the results to
    the owning task as messages.

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
        self.weight_store = endpoint.Connections(
            settings.weight_store.address, task.clock, endpoint.DEFAULTS
        )
        self.changes = collections.deque(maxlen=MAX_RECENT_CHANGES)
        self.highest_fencing = 0
        self.next_plan_s = 0.0
        self.short_since_s = None
        self.holds_lease = False

    # Timers.

    def tick(self, now_s, contending):
        """Renew or claim the lease, advance the engines' commands, and plan.

        :param contending: whether this node stands for election
        """
        floor = max(
            int(self.task.clock.wall_s() * 1000), self.highest_fencing + 1
        )
        for action in self.lease.tick(now_s, contending, floor):
            self.spawn_lease_call(action)
        authority = self.lease.held(now_s)
        self.log_lease_change(authority)
        for engine in self.engines.values():
            self.tick_engine(engine, now_s, authority)
        if authority is not None and now_s >= self.next_plan_s:
            self.next_plan_s = now_s + PLAN_INTERVAL_S
            self.plan(now_s)

    def log_lease_change(self, authority):
        """Log that the lease was acquired or lost."""
        holds_lease = authority is not None
        if holds_lease != self.holds_lease:
            self.holds_lease = holds_lease
            LOG.event(
                'duty_taken' if holds_lease else 'duty_lost',
                pool=self.name,
                fencing=authority.fencing if holds_lease else 0,
            )

    def tick_engine(self, engine, now_s, authority):
        """Advance the commands, notices and drain of one engine.

        The lease is released if the engine has accepted a higher fencing
        token than this node's.
        """
        if self.table_state(engine) == 'withdrawn':
            return
        for action in engine.commands.tick(now_s, authority):
            self.execute(engine, action, now_s)
        if authority is None:
            engine.draining_since_s = None
            engine.is_out_of_use = False
            return
        if engine.is_out_of_use and now_s >= engine.next_notice_s:
            engine.next_notice_s = now_s + NOTICE_INTERVAL_S
            self.send_notice(engine, changing=True)
        if engine.draining_since_s is not None:
            self.drain(engine, now_s)
        if engine.commands.is_superseded:
            accepted = engine.commands.highest_fencing
            self.highest_fencing = max(self.highest_fencing, accepted)
            self.lease.release()

    def table_state(self, engine):
        """Return the engine's state in the operators' table.

        It is 'in' as long as this node has no table.
        """
        view = self.task.view
        return view.endpoint(engine.name).state if view is not None else 'in'

    # Planning.

    def observe(self, demand, now_s):
        """Record the pool's demand in the planner.

        All nodes record it, so that any of them can take over the planning.
        """
        self.planner.observe(demand, now_s)

    def plan(self, now_s):
        """Start the role change that the planner proposes, or a model load.

        A change that ends a shortage of engines in a role takes precedence.
        """
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
        change = self.change_for_shortage(state, now_s) or change
        if change is not None:
            self.start_role_change(change)
        else:
            self.load_models(now_s)

    def change_for_shortage(self, state, now_s):
        """Return the role change that ends a shortage of engines in a role.

        The planner never takes a role below its minimum in the table, but an
        engine that fails or an operator who raises a minimum does. Shortages
        are also corrected while planning is off: this is how operators then
        request roles.
        """
        change = change_to_minimum(state)
        if change is None:
            self.short_since_s = None
            return None
        if self.short_since_s is None:
            self.short_since_s = now_s
        if now_s - self.short_since_s < SHORTAGE_DELAY_S:
            return None
        self.planner.reason = f'too few engines in role {change.role}'
        return change

    def engine_view(self, engine):
        """Return the planner's view of an engine."""
        reading = engine.reading
        active = reading.active if reading is not None else 0
        read_s = engine.read_s if engine.read_s is not None else -1e9
        return roles.EngineView(
            engine.name,
            engine.role,
            self.planner_state(engine),
            active,
            read_s,
        )

    def planner_state(self, engine):
        """Return the engine's state for the planner.

        :returns: 'in', 'changing', 'leaving' or 'away'; the planner counts
            only on engines that are 'in'
        """
        reading = engine.reading
        if engine.commands.under_way:
            # Also if the engine can't be read: it may have crashed during
            # the change and continue it after its restart. A second change
            # started meanwhile would take one engine too many out of use.
            return 'changing'
        if reading is None:
            return 'away'
        if reading.state.changing or engine.is_in_unintended_role():
            return 'changing'
        if self.table_state(engine) != 'in' or not reading.takes_work:
            return 'leaving'
        return 'in'

    def start_role_change(self, change):
        """Request a role change, unless its role would lose its minimum."""
        row = self.task.view.pool(self.name)
        engine = self.engines[change.endpoint]
        working = [
            each.role
            for each in self.engines.values()
            if self.planner_state(each) == 'in'
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

    # Loading of models.

    def load_models(self, now_s):
        """Load the pool's model on one engine that lacks it.

        The weight store is shared by all pools, so its permission for the
        bytes of the load is requested first.
        """
        for engine in self.engines.values():
            missing = (
                self.planner_state(engine) == 'in'
                and self.pool.model not in engine.reading.state.models
            )
            if missing and now_s >= engine.next_load_s:
                engine.next_load_s = now_s + 2 * WEIGHT_STORE_TIMEOUT_S
                self.task.spawn(lambda e=engine: self.request_load_permit(e))
                return

    def request_load_permit(self, engine):
        """Request permission from the weight store to load the model once."""
        body = json.dumps({'bytes': self.pool.model_bytes}).encode()
        granted, retry_after_s = False, WEIGHT_STORE_RETRY_S
        try:
            reply = self.weight_store.call(
                'POST', '/tokens', body, (), WEIGHT_STORE_TIMEOUT_S
            )
            granted = reply.status == enginecontrol.STATUS_OK
            if not granted:
                retry_after_s = float(reply.json()['retry_after_s'])
        except (errors.EndpointUnreachable, ValueError, KeyError) as error:
            LOG.throttled_warning(
                'weight_store_failed', self.name, error=str(error)
            )
        self.task.post(
            WeightsAnswered(self.name, engine.name, granted, retry_after_s)
        )

    def handle_weights_answer(self, answer, now_s):
        """Request the load if the weight store permits it.

        Nothing is requested if this node no longer holds the lease.
        """
        engine = self.engines[answer.engine]
        engine.next_load_s = now_s + answer.retry_after_s
        if answer.granted and self.lease.held(now_s) is not None:
            engine.commands.request_change(
                commands.Change('load', self.pool.model)
            )
            LOG.event('load_wanted', engine=engine.name, model=self.pool.model)

    # Actions of core.commands.

    def execute(self, engine, action, now_s):
        """Execute one action that ``core.commands`` returned for an engine."""
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
                self.take_out_of_use(engine, change, now_s)
            case commands.Settled(change, generation, corrected):
                self.handle_settled(engine, change, generation, corrected)
            case commands.ChangeFailed(change, reason):
                self.handle_change_failed(engine, change, reason)

    def handle_settled(self, engine, change, generation, corrected):
        """Return an engine to use after its change; record the change."""
        self.return_to_use(engine)
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
                self.task.metrics.record_role_change(
                    self.name, engine.name, change.target
                )

    def handle_change_failed(self, engine, change, reason):
        """Return an engine to use after its change has failed."""
        self.return_to_use(engine)
        LOG.warning_event(
            'engine_change_failed',
            engine=engine.name,
            kind=change.kind,
            target=change.target,
            reason=reason,
        )

    def return_to_use(self, engine):
        """End the drain and notify all nodes that the engine is in use."""
        engine.draining_since_s = None
        engine.is_out_of_use = False
        self.send_notice(engine, changing=False)

    def send_notice(self, engine, changing):
        """Notify all nodes whether they may send requests to the engine.

        :param changing: whether the engine is out of use for a change
        """
        authority = self.lease.authority
        if authority is not None:
            notice = notices.EngineNotice(
                engine.name, authority.fencing, changing, NOTICE_TTL_S
            )
            self.task.gossip.post(gossip.SendEngineNotice(notice))

    # Draining.

    def take_out_of_use(self, engine, change, now_s):
        """Start to drain the engine before a role change.

        A model load needs no drain and continues at once.
        """
        if change.kind != 'role':
            for action in engine.commands.record_engine_drained(now_s):
                self.execute(engine, action, now_s)
            return
        engine.draining_since_s = now_s
        engine.is_out_of_use = True
        engine.next_notice_s = now_s
        engine.next_drain_poll_s = now_s + MIN_DRAIN_S

    def drain(self, engine, now_s):
        """Continue the change once the engine is idle or has timed out.

        Requests that still run after ``DRAIN_TIMEOUT_S`` are suspended during
        the change and resumed after it; none is cancelled.
        """
        waited_s = now_s - engine.draining_since_s
        if now_s >= engine.next_drain_poll_s:
            engine.next_drain_poll_s = now_s + DRAIN_POLL_S
            self.task.spawn(lambda: self.read_state(engine, polled=True))
        reading = engine.reading
        read_since = (
            engine.read_s is not None
            and engine.read_s - engine.draining_since_s > MIN_DRAIN_S
        )
        empty = read_since and reading is not None and reading.active == 0
        if empty or waited_s > DRAIN_TIMEOUT_S:
            engine.draining_since_s = None
            for action in engine.commands.record_engine_drained(now_s):
                self.execute(engine, action, now_s)

    # Blocking calls; each runs in a greenlet of its own.

    def spawn_lease_call(self, action):
        """Start the lease's next call to the store in a new greenlet."""
        self.task.spawn(lambda: self.make_lease_call(action))

    def make_lease_call(self, action):
        """Read or write the lease in the store, and post the outcome."""
        store = self.task.lease_store
        match action:
            case leases.ReadLease():
                outcome = store.get(self.key)
            case leases.WriteLease(value, if_revision):
                outcome = store.put(self.key, value.dump(), if_revision)
        self.task.post(LeaseAnswered(self.name, action, outcome))

    def read_intent(self, engine):
        """Read the engine's intent from the store, and post the outcome."""
        outcome = self.task.intent_store.get(f'intent/{engine.name}')
        self.task.post(IntentAnswered(self.name, engine.name, outcome))

    def write_intent(self, engine, intent, if_revision):
        """Write the engine's intent to the store, and post the outcome."""
        outcome = self.task.intent_store.put(
            f'intent/{engine.name}', intent.dump(), if_revision
        )
        self.task.post(IntentAnswered(self.name, engine.name, outcome))

    def read_state(self, engine, polled=False):
        """Read the engine's state and load.

        :param polled: whether the drain polls the engine; the reading is then
            only recorded, and not posted to the engine's commands
        """
        try:
            reading = engine.control.read()
        except (errors.EndpointUnreachable, ValueError) as error:
            LOG.throttled_warning('engine_away', engine.name, error=str(error))
            reading = None
        if polled:
            engine.record_reading(reading, self.task.clock.now_s())
            return
        self.task.post(StateAnswered(self.name, engine.name, reading))

    def send_command(self, engine, command, deadline_s):
        """Send one command if the lease outlives it, and post the verdict.

        :param deadline_s: monotonic time at which the connection is closed
        """

        def may_send():
            now_s = self.task.clock.now_s()
            return engine.commands.may_send(now_s, self.lease.held(now_s))

        left_s = deadline_s - self.task.clock.now_s()
        verdict = None
        try:
            if left_s > 0:
                verdict = engine.control.send(command, left_s, may_send)
        except errors.EndpointUnreachable as error:
            LOG.throttled_warning(
                'command_unknown', engine.name, error=str(error)
            )
        self.task.post(CommandAnswered(self.name, engine.name, verdict))

    # Outcomes of calls to the store and to engines.

    def handle_lease_answer(self, answer, now_s):
        """Pass the outcome of a store call to the lease."""
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

    def handle_intent_answer(self, answer, now_s):
        """Pass the outcome of a store call to the engine's commands."""
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
        self.execute_all(engine, actions, now_s)

    def handle_state_answer(self, answer, now_s):
        """Pass the state that was read to the engine's commands."""
        engine = self.engines[answer.engine]
        engine.record_reading(answer.reading, now_s)
        if answer.reading is None:
            actions = engine.commands.record_state_failure(now_s)
        else:
            actions = engine.commands.record_state(now_s, answer.reading.state)
        self.execute_all(engine, actions, now_s)

    def handle_command_answer(self, answer, now_s):
        """Pass the engine's verdict on a command to its commands."""
        engine = self.engines[answer.engine]
        match answer.verdict:
            case enginecontrol.CommandReply(code, highest):
                actions = engine.commands.record_command_answer(
                    now_s, code, highest
                )
            case _:
                actions = engine.commands.record_command_unknown(now_s)
        self.execute_all(engine, actions, now_s)

    def execute_all(self, engine, actions, now_s):
        """Execute several actions for an engine."""
        for action in actions:
            self.execute(engine, action, now_s)

    # Release and status.

    def has_change_in_progress(self):
        """Whether a change that relies on the lease is in progress."""
        return any(each.commands.under_way for each in self.engines.values())

    def release(self, can_wait):
        """Release the lease once no change is in progress.

        :param can_wait: whether there is time to wait for a change in
            progress. If not, the authority is dropped and the lease expires;
            the next holder waits for commands that may still be in flight.
        """
        if not can_wait:
            self.lease.drop()
        elif not self.has_change_in_progress():
            self.lease.release()

    def status(self, now_s):
        """Return the pool's status, from the records of this node."""
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
        """Return the role, target role and generation of one engine."""
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
        """Close idle connections."""
        self.weight_store.close()
        for engine in self.engines.values():
            engine.control.close()


def change_to_minimum(state):
    """Return the role change for a pool with a role below its minimum.

    No change is returned while an engine is changing, or if the other role
    has no engine beyond its own minimum.

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
