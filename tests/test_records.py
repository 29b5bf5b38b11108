"""Tests of magnoliadyke.core.records."""

from hypothesis import stateful
from hypothesis import strategies

from magnoliadyke.core import outcomes
from magnoliadyke.core import records

SETTINGS = records.RecordSettings(
    answer_bytes=5_000, answer_keep_s=20.0, accept_s=60.0, max_keys=12
)


def answer(text, size=10):
    return records.Answer('model', 200, '', text.encode() * size, 1, 2)


class RunsOnce(stateful.RuleBasedStateMachine):
    """Two homes in a row; no key may be new twice.

    Keys are (issue time, number); the model remembers all that ever ran and
    what its answer was.
    """

    def __init__(self):
        super().__init__()
        self.now_s = 1000.0
        self.table = records.RecordTable(SETTINGS)
        self.floor_s = records.NO_FLOOR
        self.running = {}
        self.ran = {}

    @stateful.rule(seconds=strategies.floats(0.1, 30.0))
    def pass_time(self, seconds):
        self.now_s += seconds

    @stateful.rule(
        age=strategies.integers(0, 90), number=strategies.integers(1, 3)
    )
    def send(self, age, number):
        issued_s = int(self.now_s) - age
        key = f'{issued_s}/{number}'
        found = self.table.open(
            key, 'lease', 'd', issued_s, self.now_s, self.floor_s
        )
        match found:
            case records.New(record):
                assert key not in self.ran
                self.ran[key] = None
                self.running[key] = record
            case records.Attach(record):
                assert record is self.running[key]
            case records.Replay(kept):
                assert kept == self.ran[key]
            case records.Resolved(outcome):
                assert isinstance(outcome, outcomes.Unknown)

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(size=strategies.integers(1, 400), data=strategies.data())
    def finish(self, size, data):
        key = data.draw(strategies.sampled_from(sorted(self.running)))
        self.ran[key] = answer(key, size)
        record = self.running.pop(key)
        self.table.finish(record, self.ran[key], self.now_s)

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(data=strategies.data())
    def lose(self, data):
        key = data.draw(strategies.sampled_from(sorted(self.running)))
        self.table.settle(self.running.pop(key), records.HOME_STOPPED)

    @stateful.rule()
    def hand_over(self):
        successor = records.RecordTable(SETTINGS)
        self.floor_s = max(self.floor_s, self.table.floor_s)
        for line in self.table.export(self.now_s):
            successor.import_line(line, self.now_s)
        self.table = successor
        self.running.clear()

    @stateful.invariant()
    def keeps_within_its_bounds(self):
        limit = SETTINGS.max_keys + len(self.running) + 1
        assert len(self.table.records) <= limit
        held = sum(r.size_bytes for r in self.table.records.values())
        assert held == self.table.bytes_used


TestRunsOnce = RunsOnce.TestCase


def test_a_told_outcome_survives_the_hand_over():
    table = records.RecordTable()
    found = table.open('k', 'lease', 'd', 1.0, 1.0)
    told = outcomes.NotRun('queue_full', 'later', 2.0)
    table.settle(found.record, told)
    successor = records.RecordTable()
    for line in table.export(1.0):
        successor.import_line(line, 500.0)
    assert successor.open('k', 'lease', 'd', 500.0, 500.0).outcome == told
