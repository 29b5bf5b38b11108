"""Sends the calls of a lab run through the caller library."""

import collections
import itertools
import time

import gevent

from magnoliadyke import client as caller
from magnoliadyke.core import outcomes
from magnoliadyke.lab import cluster
from magnoliadyke.lab import measures
from magnoliadyke.lab import workload

__all__ = ['Load', 'make_clients']

LOOK_INTERVAL_S = 0.5


def make_clients(deployment, counts, settings=caller.DEFAULTS):
    """Clients of each customer, each with a session of its own.

    :param deployment: the :class:`cluster.Cluster`
    :param counts: how many clients, by customer
    :returns: lists of clients by customer
    """
    hosts = [deployment.caller_address(name) for name in deployment.hosts]
    return {
        customer: [
            caller.Client(
                hosts, cluster.caller_key(customer), settings=settings
            )
            for _ in range(count)
        ]
        for customer, count in counts.items()
    }


class Load:
    """Calls sent at their times, and what became of them.

    :param clients: lists of clients by customer, used in turn
    :param calls: :class:`workload.ModelCall` and :class:`workload.ServiceCall`
    :param visits: how often a caller comes back after ``NotRun``, when it
        is told to, and after ``Unknown`` if the call may be repeated
    """

    def __init__(self, clients, calls, visits=0):
        self.visits = visits
        calls = sorted(calls, key=lambda call: call.at_s)
        self.records = [workload.Record(call) for call in calls]
        self.clients = {
            name: itertools.cycle(each) for name, each in clients.items()
        }
        self.backlog = measures.Backlog()
        self.sender = None
        self.watcher = None
        self.start_s = 0.0
        self.start_wall_s = 0.0

    def now_s(self):
        """Seconds since the start of the run."""
        return time.monotonic() - self.start_s

    def start(self):
        """Begin to send."""
        self.start_s = time.monotonic()
        self.start_wall_s = time.time()
        self.sender = gevent.spawn(self.send_all)
        self.watcher = gevent.spawn(self.look_forever)

    def send_all(self):
        """Send each call at its time, each in a greenlet of its own."""
        sent = []
        for record in self.records:
            gevent.sleep(max(0.0, record.call.at_s - self.now_s()))
            sent.append(gevent.spawn(self.send, record))
        gevent.joinall(sent)

    def join(self, timeout_s):
        """Wait for all calls.

        :returns: whether all have ended
        """
        self.sender.join(timeout_s)
        self.watcher.kill()
        return self.sender.ready()

    def send(self, record):
        """Send one call and note what became of it."""
        record.job = record.job._replace(arrived_s=self.now_s())
        outcome = self.visit(record)
        while len(record.told) < self.visits:
            match outcome:
                case outcomes.NotRun(_, _, retry_after_s):
                    pause_s = retry_after_s
                case outcomes.Unknown() if record.job.repeatable:
                    pause_s = 0.0
                case _:
                    break
            record.told.append(outcome)
            gevent.sleep(pause_s)
            outcome = self.visit(record)
        record.outcome = outcome
        if isinstance(outcome, outcomes.Answered):
            record.key = outcome.key
            record.text = outcome.text
            record.finished_s = self.now_s()

    def visit(self, record):
        """Send a call once; the caller library may repeat it within."""
        client = next(self.clients[record.job.customer])
        match record.call:
            case workload.ModelCall():
                return self.complete(client, record)
            case workload.ServiceCall():
                return self.call_service(client, record)

    def complete(self, client, record):
        """Ask for a completion."""
        call, job = record.call, record.job

        def on_text(_text, _offset):
            if record.first_token_s is None:
                record.first_token_s = self.now_s()

        return client.complete(
            job.model,
            call.prompt,
            job.output_tokens,
            priority=call.priority,
            repeatable=job.repeatable,
            on_text=on_text,
        )

    def call_service(self, client, record):
        """Call a plain service."""
        call = record.call
        return client.call(
            call.service,
            call.method,
            call.path,
            call.body.encode(),
            repeatable=record.job.repeatable,
        )

    def look_forever(self):
        """Note who waits for a first token, for the figure of fairness."""
        while True:
            gevent.sleep(LOOK_INTERVAL_S)
            now_s = self.now_s()
            waiting = collections.Counter(
                record.job.customer
                for record in self.records
                if waits(record, now_s)
            )
            for name in self.clients:
                waiting.setdefault(name, 0)
            self.backlog.record_sample(waiting, now_s)


def waits(record, now_s):
    """Whether a completion was asked for and has no token yet."""
    return (
        record.job.kind == 'model'
        and record.call.at_s <= now_s
        and record.outcome is None
        and record.first_token_s is None
    )
