"""Sends the calls of a lab run with the caller library."""

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

BACKLOG_SAMPLE_INTERVAL_S = 0.5


def make_clients(deployment, counts, settings=caller.DEFAULTS):
    """Create clients of each customer, each with its own session.

    :param deployment: the :class:`cluster.Cluster`
    :param counts: number of clients by customer
    :param settings: of the caller library
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
    """Sends calls at their scheduled times and records their outcomes.

    :param clients: lists of clients by customer, used round-robin
    :param calls: :class:`workload.ModelCall` and :class:`workload.ServiceCall`
    :param max_retries: how often a call is sent again after ``NotRun``, when
        its retry delay has passed, and after ``Unknown`` if it is repeatable
    :ivar records: :class:`workload.Record` of each call, in order of time
    """

    def __init__(self, clients, calls, max_retries=0):
        self.max_retries = max_retries
        calls = sorted(calls, key=lambda call: call.at_s)
        self.records = [workload.Record(call) for call in calls]
        self.clients = {
            name: itertools.cycle(each) for name, each in clients.items()
        }
        self.backlog = measures.Backlog()
        self.sender = None
        self.sampler = None
        self.start_s = 0.0
        self.start_wall_s = 0.0

    def now_s(self):
        """Seconds since the start of the run."""
        return time.monotonic() - self.start_s

    def start(self):
        """Start to send calls."""
        self.start_s = time.monotonic()
        self.start_wall_s = time.time()
        self.sender = gevent.spawn(self.send_all)
        self.sampler = gevent.spawn(self.sample_backlog_forever)

    def send_all(self):
        """Send each call at its time in its own greenlet; wait for all."""
        sent = []
        for record in self.records:
            gevent.sleep(max(0.0, record.call.at_s - self.now_s()))
            sent.append(gevent.spawn(self.send, record))
        gevent.joinall(sent)

    def join(self, timeout_s):
        """Wait until all calls have completed.

        :returns: whether they have within ``timeout_s``
        """
        self.sender.join(timeout_s)
        self.sampler.kill()
        return self.sender.ready()

    def send(self, record):
        """Send one call, with retries, and record its last outcome."""
        record.job = record.job._replace(arrived_s=self.now_s())
        outcome = self.send_once(record)
        while len(record.retried_outcomes) < self.max_retries:
            match outcome:
                case outcomes.NotRun(_, _, retry_after_s):
                    pause_s = retry_after_s
                case outcomes.Unknown() if record.job.repeatable:
                    pause_s = 0.0
                case _:
                    break
            record.retried_outcomes.append(outcome)
            gevent.sleep(pause_s)
            outcome = self.send_once(record)
        record.outcome = outcome
        if isinstance(outcome, outcomes.Answered):
            record.key = outcome.key
            record.text = outcome.text
            record.finished_s = self.now_s()

    def send_once(self, record):
        """Pass a call to the caller library once.

        The library itself may send it more than once.
        """
        client = next(self.clients[record.job.customer])
        match record.call:
            case workload.ModelCall():
                return self.complete(client, record)
            case workload.ServiceCall():
                return self.call_service(client, record)

    def complete(self, client, record):
        """Request a completion and record the time of its first token."""
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

    def sample_backlog_forever(self):
        """Sample the backlog at intervals, for the fairness figure.

        The backlog is the number of completions per customer that have no
        token yet.
        """
        while True:
            gevent.sleep(BACKLOG_SAMPLE_INTERVAL_S)
            now_s = self.now_s()
            waiting = collections.Counter(
                record.job.customer
                for record in self.records
                if is_waiting(record, now_s)
            )
            for name in self.clients:
                waiting.setdefault(name, 0)
            self.backlog.record_sample(waiting, now_s)


def is_waiting(record, now_s):
    """Whether a completion was scheduled and has no token or outcome yet."""
    return (
        record.job.kind == 'model'
        and record.call.at_s <= now_s
        and record.outcome is None
        and record.first_token_s is None
    )
