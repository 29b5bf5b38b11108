"""Tests of tasks and topics."""

import gevent
import logbook

from magnoliadyke import clock
from magnoliadyke import mailbox


class Add(mailbox.Ask):
    def __init__(self, number):
        super().__init__()
        self.number = number


class Adder(mailbox.Task):
    tick_interval_s = 1.0

    def __init__(self, manual):
        super().__init__('adder', manual)
        self.total = 0
        self.ticks = 0
        self.seen = []

    def handle(self, message):
        match message:
            case Add(number=number):
                self.total += number
                message.reply(self.total)
            case str():
                self.seen.append(message)
            case _:
                raise ValueError(message)

    def tick(self):
        self.ticks += 1


def test_ask_is_answered_and_stop_drains_the_inbox():
    adder = Adder(clock.ManualClock())
    adder.start()
    assert adder.ask(Add(2), 5) == 2
    adder.post(Add(3))
    adder.stop(5)
    assert adder.total == 5


def test_a_message_that_raises_does_not_end_the_task():
    # What is seen: one message makes handle() raise; without the guard the
    # greenlet would end and every later ask would time out.
    adder = Adder(clock.ManualClock())
    logged = logbook.TestHandler()
    with logged.applicationbound():
        adder.start()
        adder.post(object())
        assert adder.ask(Add(1), 5) == 1
        adder.stop(5)
    (line,) = logged.formatted_records
    assert 'task_error' in line
    assert 'task=adder' in line


def test_ticks_follow_the_clock():
    manual = clock.ManualClock()
    adder = Adder(manual)
    adder.start()
    for _ in range(3):
        manual.advance(1.0)
        gevent.sleep(0)
    adder.stop(5)
    assert adder.ticks == 3


def test_topic_posts_the_latest_value_to_a_late_subscriber():
    adder = Adder(clock.ManualClock())
    topic = mailbox.Topic()
    topic.publish('first')
    topic.subscribe(adder)
    topic.publish('second')
    adder.start()
    adder.stop(5)
    assert adder.seen == ['first', 'second']
    assert topic.wait_for(lambda last: last == 'second', 1)
    assert not topic.wait_for(lambda last: last == 'third', 0.01)
