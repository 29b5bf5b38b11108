"""Tests of the scheduler as a whole."""

import random

import hypothesis
import hypothesis.stateful as stateful
import hypothesis.strategies as st

from magnoliadyke.core import jobs
from magnoliadyke.core import outcomes
from magnoliadyke.core import quarantine
from magnoliadyke.core import scheduler
from magnoliadyke.core import table

SETTLE_S = quarantine.DEFAULT_SETTINGS.settle_s
ENGINES = {'p1': 'prefill', 'p2': 'prefill', 'd1': 'decode', 'd2': 'decode'}


def make_scheduler(seed=1, engines=ENGINES, **rows):
    infos = [
        jobs.EndpointInfo(name, 'lease-model', 'model', '', role=role)
        for name, role in engines.items()
    ]
    infos.append(jobs.EndpointInfo('s1', 'portal', 'service', ''))
    plan = scheduler.Scheduler(infos, random.Random(seed))
    rows = {'lease': table.CustomerRow(), **rows}
    plan.set_table(table.View(1, rows, {}, {}, {}), 0.0)
    return plan


def make_job(job_id, customer='lease', **fields):
    fields = {'prompt_tokens': 200, 'output_tokens': 50, **fields}
    return jobs.Job(
        job_id, customer, 'lease-model', 'model', 'lease-model', **fields
    )


def make_call(job_id, **fields):
    return jobs.Job(job_id, 'lease', 'portal', 'service', **fields)


def test_a_job_is_dispatched_and_forgotten():
    plan = make_scheduler()
    (action,) = plan.submit(make_job('j1', prompt_tokens=3000), 0.0)
    assert action.prefill_endpoint in ('p1', 'p2')
    assert action.endpoint in ('d1', 'd2')
    plan.record_prefill_done('j1', 0.6)
    plan.record_first_token('j1', 0.7)
    assert plan.record_result('j1', jobs.Finished(3000, 50, 0), 2.0) == []
    assert not plan.runs
    assert not any(plan.in_flight(name) for name in ENGINES)


def test_a_failed_run_that_may_not_repeat_is_unknown():
    plan = make_scheduler()
    plan.submit(make_call('j1', repeatable=False), 0.0)
    failed = jobs.Failed('s1', 'decode', ran=True)
    (refusal,) = plan.record_result('j1', failed, 0.1)
    assert isinstance(refusal.outcome, outcomes.Unknown)


def test_a_run_that_never_began_is_tried_again():
    plan = make_scheduler()
    plan.submit(make_call('j1', repeatable=False), 0.0)
    failed = jobs.Failed('s1', 'connect', ran=False)
    (again,) = plan.record_result('j1', failed, 0.1)
    assert again == scheduler.Dispatch('j1', 's1')


def test_the_next_attempt_goes_elsewhere():
    # An engine has begun to change and refuses what comes; no report says
    # so yet. It has nothing to do, so it is the first choice each time, and
    # the job would be refused there until its attempts are used up.
    plan = make_scheduler()
    (action,) = plan.submit(make_job('j1', first_token_s=9.0), 0.0)
    failed = jobs.Failed(action.endpoint, 'decode', ran=False)
    (again,) = plan.record_result('j1', failed, 0.01)
    assert again.endpoint != action.endpoint


def test_not_run_is_never_told_of_a_job_that_ran():
    # The first attempt of a repeatable job dies half-way and the second is
    # refused before it runs. "Not run" would be true of the second only.
    plan = make_scheduler()
    plan.submit(make_call('j1'), 0.0)
    plan.record_result('j1', jobs.Failed('s1', 'decode', ran=True), 0.1)
    failed = jobs.Failed('s1', 'connect', ran=False, retryable=False)
    (refusal,) = plan.record_result('j1', failed, 0.2)
    assert isinstance(refusal.outcome, outcomes.Unknown)


def test_what_can_not_be_in_time_is_refused_at_once():
    plan = make_scheduler()
    refused = []
    for number in range(400):
        for action in plan.submit(make_job(f'j{number}', **LONG), 0.0):
            if isinstance(action, scheduler.Refuse):
                refused.append(action)
    assert len(refused) > 300
    assert {each.outcome.reason for each in refused} == {'overloaded'}
    assert min(each.outcome.retry_after_s for each in refused) >= 0.5
    left = len(plan.runs)
    late = [each for each in plan.tick(2.1) if each.job_id in plan.runs]
    assert late == []
    assert len(plan.runs) < left


LONG = {'prompt_tokens': 4000, 'output_tokens': 60}


def test_queue_limit_and_concurrency_of_the_row():
    row = table.CustomerRow(concurrency=2, queue_limit=3)
    plan = make_scheduler(floor=row)
    actions = []
    for number in range(10):
        actions += plan.submit(make_job(f'j{number}', 'floor'), 0.0)
    kinds = [type(action).__name__ for action in actions]
    assert kinds == ['Dispatch'] * 2 + ['Refuse'] * 5
    assert actions[-1].outcome.reason == 'queue_full'


def test_a_drained_endpoint_of_the_table_gets_nothing_new():
    plan = make_scheduler()
    drained = {'d1': table.EndpointRow('drain')}
    rows = {'lease': table.CustomerRow()}
    plan.set_table(table.View(2, rows, {}, drained, {}), 0.0)
    for number in range(20):
        for action in plan.submit(make_job(f'j{number}'), 0.0):
            assert action.endpoint != 'd1'


def test_an_engine_is_used_again_once_its_report_says_so():
    # A change ends and we are told so; a report from before still says
    # "changing", and the next one that it is in. No other event follows.
    plan = make_scheduler(engines={'p1': 'prefill', 'd1': 'decode'})
    changing = jobs.LoadReport(1.0, 'decode', 'changing')
    plan.handle_load_report('d1', changing, 1.0)
    plan.set_endpoint_state('d1', 'changing', 1.1)
    plan.set_endpoint_state('d1', 'up', 7.0)
    plan.handle_load_report('d1', jobs.LoadReport(7.1, 'decode', 'in'), 7.2)
    job = make_job('j1', prompt_tokens=3000, arrived_s=7.3)
    (action,) = plan.submit(job, 7.3)
    assert (action.prefill_endpoint, action.endpoint) == ('p1', 'd1')


def test_a_large_prompt_of_a_peer_raises_the_load_of_its_engine():
    # A peer's notification that fails here would leave the engine looking
    # idle until its next report.
    plan = make_scheduler()
    plan.record_peer_prompt('p1', 0.4, 10.0)
    assert plan.endpoints['p1'].load.peers.wait_s(10.0, False) == 0.4
    assert plan.endpoints['p2'].load.peers.wait_s(10.0, False) == 0.0


def test_engines_that_left_make_a_typed_refusal():
    plan = make_scheduler()
    for name in ENGINES:
        plan.set_endpoint_state(name, 'left', 0.0)
    (refusal,) = plan.submit(make_job('j1'), 0.0)
    assert refusal.outcome.reason == 'no_endpoint'


def run_whole(plan, job_id, now_s):
    run = plan.runs[job_id]
    plan.record_prefill_done(job_id, now_s)
    plan.record_first_token(job_id, now_s)
    job = run.job
    result = jobs.Finished(job.prompt_tokens, job.output_tokens, 0)
    return plan.record_result(job_id, result, now_s)


class Fleet:
    """Schedulers that share engines; each engine dies of one request.

    :param period_s: how often nodes hear of one another
    """

    def __init__(self, nodes, period_s=1.0):
        self.plans = [make_scheduler(seed) for seed in range(nodes)]
        for plan in self.plans:
            plan.set_node_count(nodes, 0.0)
        self.period_s = period_s
        self.now_s = 0.0
        self.told_s = 0.0
        self.crashes = 0
        self.answers = {}
        self.running = []
        self.down = {}

    def job(self, job_id, fingerprint):
        return make_job(job_id, fingerprint=fingerprint, arrived_s=self.now_s)

    def submit(self, node, job):
        self.act(node, self.plans[node].submit(job, self.now_s))

    def act(self, node, actions):
        for action in actions:
            if isinstance(action, scheduler.Refuse):
                self.answers[action.job_id] = action.outcome
            else:
                end_s = self.now_s + 1.0
                self.running.append((end_s, node, action))
                plan = self.plans[node]
                done = plan.record_prefill_done(action.job_id, self.now_s)
                self.act(node, done)

    def step(self, step_s=0.25):
        self.now_s += step_s
        for name, until_s in list(self.down.items()):
            if until_s <= self.now_s:
                del self.down[name]
                self.tell_all(name, 'up')
        for item in list(self.running):
            if item in self.running and item[0] <= self.now_s:
                self.running.remove(item)
                self.end(item[1], item[2])
        for node, plan in enumerate(self.plans):
            self.act(node, plan.tick(self.now_s))
        if self.now_s - self.told_s >= self.period_s:
            self.told_s = self.now_s
            self.exchange()

    def end(self, node, action):
        run = self.plans[node].runs.get(action.job_id)
        if run is None:
            return
        if run.job.fingerprint == 'culprit':
            self.crash(action.endpoint)
            return
        self.answers[action.job_id] = 'whole'
        self.act(node, run_whole(self.plans[node], action.job_id, self.now_s))

    def crash(self, name):
        self.crashes += 1
        self.down[name] = self.now_s + 5.0
        dead = [each for each in self.running if each[2].endpoint == name]
        self.running = [each for each in self.running if each not in dead]
        self.tell_all(name, 'crashed')
        decided = []
        for node, plan in enumerate(self.plans):
            for job_id in list(plan.endpoints[name].load.jobs):
                failed = jobs.Failed(name, 'decode', True, crashed=True)
                actions = plan.record_result(job_id, failed, self.now_s)
                decided.append((node, actions))
        # As the shell does it: peers hear before any caller is answered.
        self.exchange()
        for node, actions in decided:
            self.act(node, actions)

    def tell_all(self, name, state):
        for node, plan in enumerate(self.plans):
            actions = plan.set_endpoint_state(name, state, self.now_s)
            self.act(node, actions)

    def exchange(self):
        for sender, plan in enumerate(self.plans):
            digest = plan.digest(self.now_s)
            for receiver, other in enumerate(self.plans):
                if receiver != sender:
                    other.merge_peer_digest(f'h{sender}', digest, self.now_s)


def test_a_request_takes_down_at_most_two_engines_of_the_fleet():
    # A request kills every engine that runs it, and its caller sends it
    # again to the next of four hosts as soon as it has an answer, for good.
    # It has company on every engine. Two engines go down; from then on it
    # is rejected everywhere, and nobody else ever is.
    fleet = Fleet(4)
    sent = 0
    number = 0
    for step in range(400):
        if sent == 0 or f'bad{sent}' in fleet.answers:
            sent += 1
            job = fleet.job(f'bad{sent}', 'culprit')
            fleet.submit(sent % 4, job)
        if step % 2:
            number += 1
            job = fleet.job(f'good{number}', f'good{number}')
            fleet.submit(number % 4, job)
        fleet.step()
    assert fleet.crashes == 2
    assert isinstance(fleet.answers[f'bad{sent - 1}'], outcomes.Rejected)
    good = [fleet.answers.get(f'good{each}') for each in range(1, number - 9)]
    whole = good.count('whole')
    # For a second both decode engines are down; what comes then is shed.
    shed = sum(isinstance(each, outcomes.NotRun) for each in good)
    assert whole + shed == len(good)
    assert shed <= 4


def test_a_blamed_request_is_answered_at_once_and_known_already():
    # A crash leaves a request that may not be repeated. Its caller is told
    # at once and may send it again to any host, so the digest that goes out
    # before the answer has to name it.
    plan, other = make_scheduler(1), make_scheduler(2)
    job = make_job('j1', fingerprint='f', repeatable=False)
    plan.submit(job, 0.0)
    plan.record_prefill_done('j1', 0.1)
    endpoint = plan.runs['j1'].stream_at.name
    failed = jobs.Failed(endpoint, 'decode', ran=True, crashed=True)
    (refusal,) = plan.record_result('j1', failed, 1.0)
    assert isinstance(refusal.outcome, outcomes.Unknown)
    other.merge_peer_digest('h1', plan.digest(1.0), 1.0)
    resend = job._replace(id='j2', repeatable=True, arrived_s=1.0)
    assert other.submit(resend, 1.0) == []
    assert other.tick(1.0 + SETTLE_S - 0.1) == []
    (action,) = other.tick(1.0 + SETTLE_S)
    assert action.is_only_job


class Life(stateful.RuleBasedStateMachine):
    """Jobs, endpoints and time in any order."""

    LIMIT = 5

    def __init__(self):
        super().__init__()
        row = table.CustomerRow(concurrency=self.LIMIT)
        self.plan = make_scheduler(floor=row)
        self.now_s = 0.0
        self.states = dict.fromkeys(ENGINES, 'up')
        self.waiting = {}
        self.running = {}
        self.ended = set()
        self.count = 0

    def act(self, actions):
        for action in actions:
            assert action.job_id not in self.ended
            job = self.waiting.pop(action.job_id)
            if isinstance(action, scheduler.Refuse):
                self.ended.add(job.id)
                continue
            self.running[job.id] = job, action
            for name in (action.endpoint, action.prefill_endpoint):
                assert name is None or self.states[name] == 'up'

    @stateful.rule(
        customer=st.sampled_from(('lease', 'floor')),
        prompt=st.integers(1, 6000),
        priority=st.sampled_from((0, 5, 9)),
        repeatable=st.booleans(),
        fingerprint=st.sampled_from(('', 'a', 'b')),
    )
    def submit(self, customer, prompt, priority, repeatable, fingerprint):
        self.count += 1
        job = make_job(
            f'j{self.count}',
            customer,
            prompt_tokens=prompt,
            priority=priority,
            repeatable=repeatable,
            fingerprint=fingerprint,
            arrived_s=self.now_s,
        )
        self.waiting[job.id] = job
        self.act(self.plan.submit(job, self.now_s))

    def some_running(self, index):
        ids = sorted(self.running)
        return ids[index % len(ids)] if ids else None

    @stateful.rule(index=st.integers(0, 100), part=st.integers(0, 2))
    def proceed(self, index, part):
        job_id = self.some_running(index)
        if job_id is None:
            return
        self.act(self.plan.record_prefill_done(job_id, self.now_s))
        if part:
            self.act(self.plan.record_first_token(job_id, self.now_s))
        if part == 2:
            job, _ = self.running.pop(job_id)
            self.ended.add(job_id)
            result = jobs.Finished(job.prompt_tokens, job.output_tokens)
            self.act(self.plan.record_result(job_id, result, self.now_s))

    @stateful.rule(
        index=st.integers(0, 100),
        ran=st.booleans(),
        crashed=st.booleans(),
        retryable=st.booleans(),
    )
    def fail(self, index, ran, crashed, retryable):
        job_id = self.some_running(index)
        if job_id is None:
            return
        job, action = self.running.pop(job_id)
        self.waiting[job_id] = job
        failed = jobs.Failed(
            action.endpoint, 'decode', ran or crashed, crashed, retryable
        )
        self.act(self.plan.record_result(job_id, failed, self.now_s))

    @stateful.rule(index=st.integers(0, 100))
    def cancel(self, index):
        ids = sorted(self.plan.runs)
        if ids:
            job_id = ids[index % len(ids)]
            self.waiting.pop(job_id, None)
            self.running.pop(job_id, None)
            self.ended.add(job_id)
            self.act(self.plan.cancel(job_id, self.now_s))

    @stateful.rule(
        name=st.sampled_from(sorted(ENGINES)),
        state=st.sampled_from(('up', 'up', 'leaving', 'left', 'changing')),
    )
    def change_state(self, name, state):
        self.states[name] = state
        self.act(self.plan.set_endpoint_state(name, state, self.now_s))

    @stateful.rule(
        name=st.sampled_from(sorted(ENGINES)),
        role=st.sampled_from(('prefill', 'decode')),
        running=st.integers(0, 80),
    )
    def report(self, name, role, running):
        state = {'up': 'in'}.get(self.states[name], self.states[name])
        report = jobs.LoadReport(self.now_s, role, state, 0, running)
        self.act(self.plan.handle_load_report(name, report, self.now_s))

    @stateful.rule(step_s=st.floats(0.01, 3.0))
    def wait(self, step_s):
        self.now_s += step_s
        self.act(self.plan.tick(self.now_s))

    @stateful.invariant()
    def concurrency_is_kept(self):
        floor = [
            job for job, _ in self.running.values() if job.customer == 'floor'
        ]
        assert len(floor) <= self.LIMIT

    @stateful.invariant()
    def nothing_waits_without_end(self):
        assert set(self.plan.runs) == set(self.waiting) | set(self.running)

    @stateful.invariant()
    def beliefs_match_what_runs(self):
        running = set(self.running)
        for endpoint in self.plan.endpoints.values():
            load = endpoint.load
            assert load.jobs <= running
            assert load.reserved >= 0
            assert load.streams.local >= 0
            if not load.jobs:
                assert load.reserved == 0
                assert load.streams.local == 0
                assert load.kv_tokens.local == 0
                assert not load.prompts

    def teardown(self):
        for job_id in sorted(self.running):
            self.ended.add(job_id)
            del self.running[job_id]
            self.act(self.plan.cancel(job_id, self.now_s))
        for _ in range(60):
            for job_id in sorted(self.running):
                self.ended.add(job_id)
                del self.running[job_id]
                self.act(self.plan.cancel(job_id, self.now_s))
            self.now_s += 1.0
            self.act(self.plan.tick(self.now_s))
        assert not self.waiting
        assert not self.plan.runs


TestLife = Life.TestCase
TestLife.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=40
)


@hypothesis.given(
    st.lists(
        st.tuples(st.sampled_from(('lease', 'floor')), st.integers(1, 4000)),
        min_size=1,
        max_size=40,
    )
)
def test_work_conserving(script):
    # While anything waits, no engine of a role that it needs is idle.
    plan = make_scheduler(floor=table.CustomerRow(weight=3))
    for number, (customer, prompt) in enumerate(script):
        job = make_job(f'j{number}', customer, prompt_tokens=prompt)
        plan.submit(job, 0.0)
    if len(plan.pools['lease-model'].queue):
        for name in ('p1', 'p2'):
            assert plan.endpoints[name].load.prompts
