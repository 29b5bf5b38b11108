"""Tests of magnoliadyke.core.claims."""

from hypothesis import given
from hypothesis import stateful
from hypothesis import strategies

from magnoliadyke.core import claims

NODES = ('a.1', 'b.1', 'c.1')
KEYS = [claims.claim_digest('lease', f'key {n}') for n in range(4)]
SETTINGS = claims.ClaimSettings(buckets=1, cached_entries=2)


class OneWinner(stateful.RuleBasedStateMachine):
    """Nodes claim the same keys from a store that may lose answers.

    A key has one winner at most, over all nodes; a lost answer or an outage
    may leave it without one, never with two.
    """

    def __init__(self):
        super().__init__()
        self.tables = {
            name: claims.ClaimTable(name, SETTINGS) for name in NODES
        }
        self.value = None
        self.revision = 0
        self.calls = []
        self.winners = {}

    def apply(self, name, actions):
        for action in actions:
            match action:
                case claims.Won(claim):
                    assert claim.digest not in self.winners
                    self.winners[claim.digest] = name
                case claims.Lost(claim, owner):
                    winner = self.winners.get(claim.digest, owner)
                    assert winner == owner
                case claims.Read() | claims.Write():
                    self.calls.append((name, action))

    @stateful.rule(
        name=strategies.sampled_from(NODES), key=strategies.sampled_from(KEYS)
    )
    def ask(self, name, key):
        self.apply(name, self.tables[name].add(key))

    @stateful.rule(name=strategies.sampled_from(NODES))
    def flush(self, name):
        self.apply(name, self.tables[name].flush(100.0))

    @stateful.precondition(lambda self: self.calls)
    @stateful.rule(
        data=strategies.data(),
        fate=strategies.sampled_from(('ok', 'ok', 'later', 'down', 'lost')),
    )
    def store_answers(self, data, fate):
        number = data.draw(strategies.integers(0, len(self.calls) - 1))
        name, action = self.calls.pop(number)
        table = self.tables[name]
        if fate == 'later':
            self.apply(name, table.record_postponed(action.bucket))
            self.apply(name, table.retry_call(action.bucket, 100.0))
            return
        if fate == 'down':
            self.apply(name, table.record_failure(action.bucket, False))
            return
        applied = self.carry_out(action)
        if fate == 'lost':
            maybe = isinstance(action, claims.Write)
            self.apply(name, table.record_failure(action.bucket, maybe))
        elif isinstance(action, claims.Read):
            self.answer(name, table.record_read, action)
        elif applied:
            self.apply(
                name, table.record_written(action.bucket, self.revision, 100.0)
            )
        else:
            self.answer(name, table.record_conflict, action)

    def answer(self, name, report, action):
        self.apply(
            name, report(action.bucket, self.value, self.revision, 100.0)
        )

    def carry_out(self, action):
        if not isinstance(action, claims.Write):
            return False
        if action.if_revision != self.revision:
            return False
        self.value = action.value
        self.revision += 1
        return True


TestOneWinner = OneWinner.TestCase


def test_claims_that_come_together_share_one_write():
    table = claims.ClaimTable('a.1', SETTINGS)
    assert table.add(KEYS[0]) == []
    assert table.add(KEYS[1]) == []
    assert table.flush(1.0) == [claims.Read('000')]
    (write,) = table.record_read('000', None, 0, 1.0)
    assert KEYS[0] in write.value and KEYS[1] in write.value
    won = table.record_written('000', 9, 1.0)
    assert [type(each) for each in won] == [claims.Won, claims.Won]


@given(
    strategies.dictionaries(
        strategies.sampled_from(KEYS),
        strategies.builds(
            claims.Entry,
            strategies.sampled_from(NODES),
            strategies.integers(0, 3),
        ),
    )
)
def test_a_bucket_is_read_as_it_was_written(entries):
    assert claims.decode(claims.encode(entries)) == entries


def test_a_full_bucket_refuses():
    small = SETTINGS._replace(bucket_bytes=10)
    table = claims.ClaimTable('a.1', small)
    table.add(KEYS[0])
    table.flush(1.0)
    (refused,) = table.record_read('000', None, 0, 1.0)
    assert refused.reason == 'claims_full'
