"""The watch of the table's key."""

import random
import types

import gevent

from magnoliadyke import clock as clocks
from magnoliadyke import keyvalue
from magnoliadyke import tablewatch


class ScriptedStore:
    """Answers from a script; ends the test's greenlet after it."""

    def __init__(self, script):
        self.script = list(script)
        self.calls = []

    def with_call_kind(self, kind):
        return self

    def get(self, key):
        return self.answer('get')

    def watch(self, key, after, wait_s):
        return self.answer(('watch', after))

    def answer(self, call):
        self.calls.append(call)
        if not self.script:
            raise gevent.GreenletExit
        return self.script.pop(0)


def follow(*script):
    clock = clocks.ManualClock()
    store = ScriptedStore(script)
    posted = []
    owner = types.SimpleNamespace(post=posted.append)
    watch = tablewatch.TableWatch(owner, store, clock, random.Random(1))
    watch.start()
    clock.advance(60.0)
    return store.calls, posted


def test_follows_from_the_revision_that_was_seen():
    calls, posted = follow(
        keyvalue.Absent(),
        keyvalue.Found('table', 'a', 3),
        keyvalue.Found('table', 'b', 5),
    )
    assert calls == ['get', ('watch', 0), ('watch', 3), ('watch', 5)]
    assert [read.outcome.value for read in posted[1:]] == ['a', 'b']


def test_reads_after_a_quiet_watch():
    # Nodes would wait for ever on a store that was restored to an older
    # copy: it counts on from a lower revision, and a watch for a higher one
    # stays quiet. The read after it starts from what the store has now.
    calls, _ = follow(
        keyvalue.Found('table', 'a', 9),
        keyvalue.Unchanged(),
        keyvalue.Found('table', 'old', 4),
    )
    assert calls == ['get', ('watch', 9), 'get', ('watch', 4)]


def test_reads_again_after_the_store_was_away():
    calls, _ = follow(
        keyvalue.Found('table', 'a', 9),
        keyvalue.Unavailable('down'),
        keyvalue.RateLimited(0.5),
        keyvalue.Found('table', 'b', 12),
    )
    assert calls == ['get', ('watch', 9), 'get', 'get', ('watch', 12)]
