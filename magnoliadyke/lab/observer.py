"""Samples the hosts of a run over HTTP, and edits their table."""

import http.client
import itertools
import time
import typing

import gevent

from magnoliadyke.lab import checker
from magnoliadyke.lab import cluster

__all__ = ['EditOutcome', 'Editors', 'HostListing', 'Observer']

SAMPLE_INTERVAL_S = 0.3
SAMPLE_TIMEOUT_S = 1.0
EDIT_INTERVAL_S = 2.0
#: One of this many edits changes the numbers of prefill and decode engines.
SPLIT_EVERY = 3
EDIT_TIMEOUT_S = 20.0
EDIT_WAIT_S = 8.0
MAX_TRIES = 4


class HostListing(typing.NamedTuple):
    """The hosts that a host listed to its callers.

    :param at_s: wall time at which the request was sent
    :param host: the host that returned the list
    """

    at_s: float
    host: str
    hosts: frozenset[str]


class EditOutcome(typing.NamedTuple):
    """The outcome of an edit.

    :param at_s: wall time of the request to the host that answered it
    :param state: 'in_force', 'accepted', 'pending', 'conflict', 'unknown'
    :param revision: of the table with the edit, 0 without one
    :param took_s: from that request to its response
    :param laggards: hosts on which the edit was not yet in force
    """

    at_s: float
    state: str
    revision: int
    took_s: float
    laggards: tuple[str, ...] = ()


class Observer:
    """Polls every host for its table's revision and its list of hosts.

    :param deployment: the :class:`magnoliadyke.lab.cluster.Cluster`
    :ivar samples: list of :class:`checker.HostSample`
    :ivar listings: list of :class:`HostListing`
    """

    def __init__(self, deployment):
        self.deployment = deployment
        self.samples = []
        self.listings = []
        self.tasks = []

    def start(self):
        """Start to poll all hosts."""
        self.tasks = [
            gevent.spawn(self.sample_forever, host)
            for host in self.deployment.hosts
        ]

    def stop(self):
        """Stop polling."""
        gevent.killall(self.tasks)

    def sample_forever(self, host):
        """Poll one host at intervals; without an answer there is no sample."""
        while True:
            try:
                self.sample(host)
            except (OSError, http.client.HTTPException, ValueError):
                pass
            gevent.sleep(SAMPLE_INTERVAL_S)

    def sample(self, host):
        """Take one sample of a host."""
        at_s = time.time()
        status, body = self.deployment.admin(
            host, 'GET', '/admin/table?sheet=hosts', timeout_s=SAMPLE_TIMEOUT_S
        )
        if status != 200:
            return
        address = self.deployment.caller_address(host)
        _, listed = cluster.call_json(
            address, 'GET', '/v1/hosts', timeout_s=SAMPLE_TIMEOUT_S
        )
        hosts = frozenset(row['host'] for row in listed['hosts'])
        # The list is requested after the table.  A host that stopped in
        # between counts as not accepting requests: that can hide a violation
        # but not make one up.
        accepts_requests = host in hosts
        revision = body['in_force'][host]
        self.samples.append(
            checker.HostSample(at_s, host, revision, accepts_requests)
        )
        self.listings.append(HostListing(at_s, host, hosts))


class Editors:
    """Operators who edit cells of the table throughout the run.

    :param deployment: the :class:`magnoliadyke.lab.cluster.Cluster`
    :param customer: whose row they edit
    :param rng: random number generator
    :ivar edits: :class:`EditOutcome` of each edit
    """

    def __init__(self, deployment, customer, rng):
        self.deployment = deployment
        self.customer = customer
        self.rng = rng
        self.numbers = itertools.count(1)
        self.edits = []
        self.splits = itertools.cycle(role_split_cells(deployment.settings))
        self.task = None

    def start(self):
        """Start to edit."""
        self.task = gevent.spawn(self.edit_forever)

    def stop(self):
        """Stop editing."""
        self.task.kill()

    def edit_forever(self):
        """Make edits one by one, at random intervals."""
        while True:
            gevent.sleep(EDIT_INTERVAL_S * (0.5 + self.rng.random()))
            number = next(self.numbers)
            if number % SPLIT_EVERY:
                cell = f'customers/{self.customer}/queue_limit'
                self.edit({cell: 1000 + number})
            else:
                self.edit(next(self.splits))

    def edit_concurrently(self):
        """Edit the same cell from two operators at once."""
        cell = f'customers/{self.customer}/concurrency'
        values = [900 + next(self.numbers) for _ in range(2)]
        gevent.joinall([gevent.spawn(self.edit, {cell: v}) for v in values])

    def edit(self, cells):
        """Make one edit.

        All attempts carry the same id, so that an edit whose response was
        lost is not applied twice.

        :param cells: new value by the path of each cell
        """
        number = next(self.numbers)
        body = {
            'cells': cells,
            'operator': 'lab',
            'edit': f'lab-{number}',
            'wait_s': EDIT_WAIT_S,
        }
        self.post('/admin/table', body)

    def post(self, path, body):
        """Send an edit to hosts in random order until one answers.

        Its duration counts from the request to that host, since a host that
        is paused or cut off from the store can't accept an edit.

        :returns: :class:`EditOutcome`, with state 'unknown' if none of
            :data:`MAX_TRIES` hosts answered
        """
        hosts = list(self.deployment.hosts)
        self.rng.shuffle(hosts)
        seen = EditOutcome(time.time(), 'unknown', 0, 0.0)
        for host in hosts[:MAX_TRIES]:
            at_s = time.time()
            try:
                status, answer = self.deployment.admin(
                    host, 'POST', path, body, timeout_s=EDIT_TIMEOUT_S
                )
            except (OSError, http.client.HTTPException, ValueError):
                continue
            if status in (200, 202, 409):
                seen = parse_edit_outcome(at_s, status, answer)
                break
        self.edits.append(seen)
        return seen

    def accepted(self):
        """The edits that were reported to operators as accepted."""
        return [
            checker.Edit(
                f'edit {number}', edit.revision, edit.at_s + edit.took_s
            )
            for number, edit in enumerate(self.edits)
            if edit.state in ('in_force', 'accepted')
        ]


def role_split_cells(settings):
    """Two edits that have the planner change roles back and forth.

    Their minimums of prefill and decode engines leave out one engine, so that
    an operator can drain it.
    """
    pool = next(p for p in settings['pools'] if p['kind'] == 'model')
    bound = len(pool['endpoints']) - 1
    return [
        {
            f'pools/{pool["name"]}/min_prefill': prefills,
            f'pools/{pool["name"]}/min_decode': bound - prefills,
        }
        for prefills in (1, bound - 1)
    ]


def parse_edit_outcome(at_s, status, answer):
    """Parse the response to an edit.

    :param at_s: wall time at which the edit was sent
    :param status: of the response: 200, 202 or 409
    :param answer: its decoded body
    :returns: :class:`EditOutcome`
    """
    took_s = time.time() - at_s
    if status == 409:
        return EditOutcome(at_s, 'conflict', 0, took_s)
    return EditOutcome(
        at_s,
        answer['state'],
        answer.get('revision', 0),
        took_s,
        tuple(answer.get('laggards', ())),
    )
