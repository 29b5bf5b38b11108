"""Tasks that own their state and talk by messages."""

import gevent
from gevent import event
from gevent import queue

from magnoliadyke import logs

__all__ = ['Ask', 'Task', 'Tick', 'Topic']

STOP = object()
LOG = logs.get('mailbox')


class Tick:
    """A message a task sends itself at its tick interval."""


class Ask:
    """Base of messages that want an answer."""

    def __init__(self):
        self.result = event.AsyncResult()

    def reply(self, value):
        """Answer the asker; only the first answer counts.

        :param value: the answer, usually a tagged dataclass
        """
        if not self.result.ready():
            self.result.set(value)


class Topic:
    """The latest value of something one task publishes for others.

    :param initial: value before the first publication
    """

    def __init__(self, initial=None):
        self.last = initial
        self.subscribers = []
        self.changed = event.Event()

    def publish(self, value):
        """Keep ``value`` as the latest one and post it to subscribers."""
        self.last = value
        for task in self.subscribers:
            task.post(value)
        # Waiters of wait_for() poll the condition after each publication.
        changed, self.changed = self.changed, event.Event()
        changed.set()

    def subscribe(self, task):
        """Post each later value, and the present one, to ``task``."""
        self.subscribers.append(task)
        if self.last is not None:
            task.post(self.last)

    def wait_for(self, condition, timeout_s):
        """Block until ``condition(last)`` holds.

        :param timeout_s: longest wait in seconds
        :return: whether it holds
        """
        with gevent.Timeout(timeout_s, False):
            while not condition(self.last):
                self.changed.wait()
            return True
        return condition(self.last)


class Task:
    """A greenlet with an inbox; subclasses implement :meth:`handle`.

    :param name: for logs and for the greenlet
    :param clock: a :class:`magnoliadyke.clock.Clock`
    """

    tick_interval_s = None

    def __init__(self, name, clock):
        self.name = name
        self.clock = clock
        self.inbox = queue.Queue()
        self.greenlet = None
        self.ticker = None
        self.tick_pending = False

    def post(self, message):
        """Put a message into the inbox without waiting."""
        self.inbox.put(message)

    def ask(self, message, timeout_s):
        """Post an :class:`Ask` and wait for its answer.

        :param timeout_s: longest wait in seconds
        :raises gevent.Timeout: when no answer came in time
        """
        self.post(message)
        return message.result.get(timeout=timeout_s)

    def handle(self, message):
        """Act on one message; subclasses ``match`` on its class."""
        raise NotImplementedError

    def tick(self):
        """Do periodic work; runs in the task's own greenlet."""

    def on_start(self):
        """Hook before the first message."""

    def on_stop(self):
        """Hook after the last message."""

    def start(self):
        """Start the task's greenlet and its ticker."""
        self.greenlet = gevent.spawn(self.run)
        if self.tick_interval_s:
            self.ticker = gevent.spawn(self.run_ticker)

    def stop(self, deadline_s=5.0):
        """Let the task finish its inbox, then end it.

        :param deadline_s: longest wait in seconds before it is killed
        """
        if self.ticker is not None:
            self.ticker.kill()
        if self.greenlet is None:
            return
        self.post(STOP)
        self.greenlet.join(deadline_s)
        self.greenlet.kill()

    def run(self):
        """Handle messages until the stop message."""
        self.on_start()
        while True:
            message = self.inbox.get()
            if message is STOP:
                break
            self.run_one(message)
        self.on_stop()

    def run_one(self, message):
        """Handle one message; an error ends the message, not the task.

        One message that raises would otherwise end the task, and its node
        would go on answering with a part of it dead. The error is logged
        with the lines that led to it, so that it is not lost.
        """
        try:
            if isinstance(message, Tick):
                self.tick_pending = False
                self.tick()
            else:
                self.handle(message)
        except Exception as error:
            LOG.error_event('task_error', error, task=self.name)

    def run_ticker(self):
        """Post a tick each interval, at most one waiting at a time."""
        while True:
            self.clock.sleep(self.tick_interval_s)
            if not self.tick_pending:
                self.tick_pending = True
                self.post(Tick())
