"""Tasks (actors) that own their state and communicate by messages."""

import gevent
from gevent import event
from gevent import queue

from magnoliadyke import logs

__all__ = ['Ask', 'Task', 'Tick', 'Topic']

STOP = object()
LOG = logs.get('mailbox')


class Tick:
    """Message that a task's ticker posts at each tick interval."""


class Ask:
    """Base of messages to which the receiving task replies."""

    def __init__(self):
        self.result = event.AsyncResult()

    def reply(self, value):
        """Set the result that the sender waits for; only the first counts.

        :param value: the reply, usually a tagged dataclass
        """
        if not self.result.ready():
            self.result.set(value)


class Topic:
    """A value that one task publishes, with the tasks that subscribe to it.

    :param initial: value before the first publication
    :ivar last: the value published last
    """

    def __init__(self, initial=None):
        self.last = initial
        self.subscribers = []
        self.changed = event.Event()

    def publish(self, value):
        """Set ``value`` as the latest one and post it to subscribers."""
        self.last = value
        for task in self.subscribers:
            task.post(value)
        # Wakes wait_for(), which checks its condition at each publication.
        changed, self.changed = self.changed, event.Event()
        changed.set()

    def subscribe(self, task):
        """Post the latest value, if any, and each later one to ``task``."""
        self.subscribers.append(task)
        if self.last is not None:
            task.post(self.last)

    def wait_for(self, condition, timeout_s):
        """Block until ``condition(last)`` is true.

        :param timeout_s: longest wait in seconds
        :return: whether the condition became true in time
        """
        with gevent.Timeout(timeout_s, False):
            while not condition(self.last):
                self.changed.wait()
            return True
        return condition(self.last)


class Task:
    """A greenlet with an inbox; subclasses implement :meth:`handle`.

    :param name: name of the task in the log
    :param clock: a :class:`magnoliadyke.clock.Clock`
    :cvar tick_interval_s: seconds between calls of :meth:`tick`; None for a
        task without periodic work
    :ivar tick_pending: whether a tick is in the inbox
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
        """Post an :class:`Ask` and wait for the reply.

        :param timeout_s: longest wait in seconds, None to wait forever
        :return: the reply
        :raises gevent.Timeout: when there is no reply within the timeout
        """
        self.post(message)
        return message.result.get(timeout=timeout_s)

    def handle(self, message):
        """Process one message; subclasses ``match`` on its class."""
        raise NotImplementedError

    def tick(self):
        """Do periodic work; runs in the task's own greenlet."""

    def on_start(self):
        """Hook that runs before the first message."""

    def on_stop(self):
        """Hook that runs after the last message."""

    def start(self):
        """Start the task's greenlet and its ticker."""
        self.greenlet = gevent.spawn(self.run)
        if self.tick_interval_s:
            self.ticker = gevent.spawn(self.run_ticker)

    def stop(self, deadline_s=5.0):
        """End the task after the messages that are in its inbox now.

        :param deadline_s: seconds after which the greenlet is killed
        """
        if self.ticker is not None:
            self.ticker.kill()
        if self.greenlet is None:
            return
        self.post(STOP)
        self.greenlet.join(deadline_s)
        self.greenlet.kill()

    def run(self):
        """Process messages until the stop message."""
        self.on_start()
        while True:
            message = self.inbox.get()
            if message is STOP:
                break
            self.process_message(message)
        self.on_stop()

    def process_message(self, message):
        """Process one message; log an exception instead of raising it.

        An exception would end the task, while its node would continue to
        serve requests without it. The log has the traceback.
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
        """Post a tick each interval, unless one is still in the inbox."""
        while True:
            self.clock.sleep(self.tick_interval_s)
            if not self.tick_pending:
                self.tick_pending = True
                self.post(Tick())
