"""Who plans a pool, through deaths, stops, pauses and outages."""

import json
import types

import gevent
import pytest

from magnoliadyke.core import commands
from magnoliadyke.core import membership
from magnoliadyke.core import notices
from magnoliadyke.core import scheduler
from magnoliadyke import duties
from magnoliadyke import endpoint
from magnoliadyke import enginecontrol
from magnoliadyke import errors
from tests import fleet as fleets

POOL = 'lease-model'
CHANGE_S = 2.0


class FakeEngine(enginecontrol.EngineControl):
    """An engine that changes its role within :data:`CHANGE_S`."""

    def __init__(self, clock, role, checks_fencing):
        self.clock = clock
        self.role = self.target = role
        self.checks_fencing = checks_fencing
        self.until_s = 0.0
        self.generation = 0
        self.highest = 0
        self.active = 0
        self.lost_replies = 0
        self.away = False
        self.models = [POOL]
        self.taken = []

    def read(self):
        if self.away:
            raise errors.EndpointUnreachable('away')
        changing = self.clock.now_s() < self.until_s
        if not changing:
            self.role = self.target
        state = commands.EngineState(
            self.role, changing, self.generation, tuple(self.models)
        )
        return enginecontrol.EngineReading(state, True, self.active)

    def send(self, command, left_s, may_send):
        if not may_send():
            raise errors.EndpointUnreachable('authority ended')
        if self.checks_fencing and command.fencing < self.highest:
            return enginecontrol.CommandReply('stale_fencing', self.highest)
        self.highest = max(self.highest, command.fencing)
        self.generation = command.generation
        self.taken.append(command)
        if command.change.kind == 'load':
            self.models.append(command.change.target)
            return enginecontrol.CommandReply('')
        if command.change.target != self.target:
            self.until_s = self.clock.now_s() + CHANGE_S
        self.target = command.change.target
        if self.lost_replies:
            self.lost_replies -= 1
            raise errors.EndpointUnreachable('reply lost', sent=True)
        return enginecontrol.CommandReply('')

    def close(self):
        pass


class FakeWeights:
    """A weight store that first asks to come back later."""

    def __init__(self, clock, retry_after_s):
        self.clock = clock
        self.answers = [
            endpoint.Reply(
                429, '', json.dumps({'retry_after_s': retry_after_s}).encode()
            )
        ]
        self.asked = []

    def call(self, method, path, body, headers, timeout_s):
        self.asked.append((self.clock.now_s(), json.loads(body)))
        if self.answers:
            return self.answers.pop()
        return endpoint.Reply(200, '', b'{}')

    def close(self):
        pass


@pytest.fixture
def fleet(monkeypatch):
    roles = ['prefill', 'prefill', 'decode', 'decode']
    engines = [
        types.SimpleNamespace(
            name=f'e{index}',
            address=f'e{index}',
            role=role,
            checks_fencing=bool(index % 2),
        )
        for index, role in enumerate(roles)
    ]
    pool = types.SimpleNamespace(
        name=POOL,
        kind='model',
        model=POOL,
        endpoints=engines,
        model_bytes=8e9,
    )
    made = fleets.Fleet(monkeypatch, pools=[pool])
    made.controls.update(
        {
            each.name: FakeEngine(made.clock, each.role, each.checks_fencing)
            for each in engines
        }
    )
    made.start()
    made.run_until(lambda: holders(made), 15.0)
    made.run(3.0)
    yield made
    made.stop()


def holders(fleet):
    now_s = fleet.clock.now_s()
    return [
        name
        for name, node in fleet.nodes.items()
        if node.duties.pools[POOL].lease.held(now_s) is not None
    ]


def duty(fleet, host):
    return fleet.nodes[host].duties.pools[POOL]


def press(fleet, seconds, prefill, decode):
    """Let time pass under a demand in engine-seconds a second."""
    demand = scheduler.Demand(prefill, decode, 0, 0.0, 0.0, 0)
    for _ in range(seconds):
        for node in fleet.nodes.values():
            node.duties.post(duties.Demands({POOL: demand}))
        fleet.run(1.0)


def roles_of(fleet):
    return [engine.read().state.role for engine in fleet.controls.values()]


def test_one_node_holds_the_duty_and_a_death_passes_it_on(fleet):
    (first,) = holders(fleet)
    fencing = duty(fleet, first).lease.authority.fencing
    fleet.kill(first)
    passed_s = fleet.run_until(lambda: holders(fleet), 10.0)
    (second,) = holders(fleet)
    assert duty(fleet, second).lease.authority.fencing > fencing
    assert passed_s < 7.0


def test_a_planned_stop_passes_the_duty_on_at_once(fleet):
    (first,) = holders(fleet)
    stopping = gevent.spawn(fleet.nodes[first].duties.stop, 5.0)
    fleet.run_until(stopping.ready, 2.0)
    fleet.kill(first)
    fleet.run_until(lambda: holders(fleet), 2.0)


def test_roles_follow_the_demand_on_both_kinds_of_engines(fleet):
    press(fleet, 40, prefill=0.3, decode=2.6)
    assert roles_of(fleet).count('decode') == 3
    press(fleet, 60, prefill=2.6, decode=0.3)
    assert roles_of(fleet).count('prefill') == 3
    (holder,) = holders(fleet)
    assert {c.fencing for e in fleet.controls.values() for c in e.taken} == {
        duty(fleet, holder).lease.authority.fencing
    }


def test_a_role_below_its_least_number_gets_an_engine(fleet):
    # Prompts would wait for one engine although two are the least that the
    # table allows: the other one has died, and the planner only keeps from
    # going below that number. It holds with planning off as well.
    fleet.edit('h0', {'pools/lease-model/planning': 'fixed'}, 'off')
    fleet.edit('h0', {'pools/lease-model/min_prefill': 2}, 'least')
    fleet.run(5.0)
    assert roles_of(fleet) == ['prefill', 'prefill', 'decode', 'decode']
    fleet.controls['e0'].away = True
    fleet.run(15.0)
    working = list(fleet.controls.values())[1:]
    roles = [engine.read().state.role for engine in working]
    assert sorted(roles) == ['decode', 'prefill', 'prefill']


def test_an_engine_is_out_of_use_and_empty_before_its_change(fleet):
    # A stream would stand still for the seconds of a role change. All nodes
    # stop placing work on the engine first; the command goes out when what
    # runs there has ended.
    prefills = [fleet.controls['e0'], fleet.controls['e1']]
    for engine in prefills:
        engine.active = 1
    sent = [len(engine.taken) for engine in prefills]
    while not any(
        node.gossip.engine_uses.last for node in fleet.nodes.values()
    ):
        press(fleet, 1, prefill=0.3, decode=2.6)
    press(fleet, 3, prefill=0.3, decode=2.6)
    uses = {node.gossip.engine_uses.last for node in fleet.nodes.values()}
    assert [use.state for use in uses] == [notices.CHANGING]
    assert [len(engine.taken) for engine in prefills] == sent
    for engine in prefills:
        engine.active = 0
    press(fleet, 5, prefill=0.3, decode=2.6)
    assert roles_of(fleet).count('decode') == 3
    uses = {node.gossip.engine_uses.last for node in fleet.nodes.values()}
    assert [use.state for use in uses] == [notices.UP]


def test_a_lost_reply_is_settled_by_reading_the_engine_back(fleet):
    for engine in fleet.controls.values():
        engine.lost_replies = 1
        engine.taken.clear()
    press(fleet, 40, prefill=0.3, decode=2.6)
    changed = [e for e in fleet.controls.values() if e.taken]
    assert [len(engine.taken) for engine in changed] == [1]
    assert roles_of(fleet).count('decode') == 3


def test_a_holder_that_was_paused_acts_no_more(fleet):
    (holder,) = holders(fleet)
    fleet.nodes[holder].gossip.pauses.publish(membership.Paused(9.0))
    fleet.run(0.1)
    assert holder not in holders(fleet)


def test_nobody_commands_in_a_store_outage(fleet):
    fleet.separate(fleet.names, [fleets.STORE])
    fleet.run(5.0)
    assert holders(fleet) == []
    sent = sum(len(engine.taken) for engine in fleet.controls.values())
    press(fleet, 20, prefill=0.3, decode=2.6)
    after = sum(len(engine.taken) for engine in fleet.controls.values())
    assert after == sent


def test_a_stray_command_is_undone(fleet):
    # Requests would meet an engine in a role that nobody planned: a former
    # holder was stopped right before the system call that sends, and its
    # command arrives when it goes on. The engine ignores fencing tokens,
    # so the present holder compares it with the last intent and commands
    # again.
    press(fleet, 40, prefill=0.3, decode=2.6)
    engine = next(
        each
        for each in fleet.controls.values()
        if not each.checks_fencing and each.taken
    )
    wanted = engine.target
    engine.target = 'prefill' if wanted == 'decode' else 'decode'
    fleet.run(15.0)
    assert engine.read().state.role == wanted


def test_a_stray_role_costs_the_pool_no_other_engine(fleet):
    # Prompts would find no prefilling engine at all: a stray command puts a
    # decoding engine into the prefill role, the planner sees two of them and
    # gives the other one away, and then the stray one is told to go back.
    press(fleet, 40, prefill=0.3, decode=2.6)
    stray = next(e for e in fleet.controls.values() if e.taken)
    kept = next(e for e in fleet.controls.values() if e.target == 'prefill')
    stray.target = 'prefill'
    press(fleet, 15, prefill=0.3, decode=2.6)
    assert roles_of(fleet).count('decode') == 3
    assert kept.read().state.role == 'prefill'


def test_a_model_is_loaded_when_the_weight_store_allows(fleet):
    (holder,) = holders(fleet)
    weights = FakeWeights(fleet.clock, 7.0)
    duty(fleet, holder).weight_store = weights
    engine = fleet.controls['e2']
    engine.taken.clear()
    engine.models.clear()
    fleet.run(20.0)
    assert engine.models == [POOL]
    assert [c.change for c in engine.taken] == [commands.Change('load', POOL)]
    (first_s, body), (second_s, _) = weights.asked
    assert body == {'bytes': 8e9}
    assert second_s - first_s >= 7.0


def test_any_node_tells_who_plans(fleet):
    press(fleet, 40, prefill=0.3, decode=2.6)
    (holder,) = holders(fleet)
    for name, node in fleet.nodes.items():
        ask = duties.ShowPoolStatuses()
        node.duties.post(ask)
        fleet.run(0.1)
        status = ask.result.get()[POOL]
        assert status.holder == holder, name
        assert len(status.engines) == 4
        assert len(status.changes) == 1


def test_few_stand_for_election_and_a_loss_moves_one_place():
    hosts = {f'h{index}' for index in range(420)}
    chosen = duties.candidates('p', hosts)
    assert len(chosen) == duties.MAX_CANDIDATES
    after = duties.candidates('p', hosts - {chosen[0]})
    assert after[:2] == chosen[1:]
