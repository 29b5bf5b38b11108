"""Watches the hosts of a run from outside, and edits their table."""

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
#: Every so many edits, one moves the split of the pool's roles.
SPLIT_EVERY = 3
EDIT_TIMEOUT_S = 20.0
EDIT_WAIT_S = 8.0
MAX_TRIES = 4


class HostListing(typing.NamedTuple):
    """The hosts that a host named to its callers."""

    at_s: float
    host: str
    hosts: frozenset[str]


class EditOutcome(typing.NamedTuple):
    """What became of an edit.

    :param state: 'in_force', 'accepted', 'pending', 'conflict', 'unknown'
    :param at_s: when the host was called that took it
    :param took_s: from then to its answer
    """

    at_s: float
    state: str
    revision: int
    took_s: float
    laggards: tuple[str, ...] = ()


class Observer:
    """Asks every host again and again for its table and its list.

    :param deployment: the :class:`magnoliadyke.lab.cluster.Cluster`
    """

    def __init__(self, deployment):
        self.deployment = deployment
        self.samples = []
        self.listings = []
        self.tasks = []

    def start(self):
        """Begin to ask."""
        self.tasks = [
            gevent.spawn(self.sample_forever, host)
            for host in self.deployment.hosts
        ]

    def stop(self):
        """Ask no more."""
        gevent.killall(self.tasks)

    def sample_forever(self, host):
        """Ask one host; one that does not answer shows nothing."""
        while True:
            try:
                self.sample(host)
            except (OSError, http.client.HTTPException, ValueError):
                pass
            gevent.sleep(SAMPLE_INTERVAL_S)

    def sample(self, host):
        """Ask one host once."""
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
        # The list is younger than the table; who stopped in between counts
        # as one that took no work, which only excuses.
        accepts_requests = host in hosts
        revision = body['in_force'][host]
        self.samples.append(
            checker.HostSample(at_s, host, revision, accepts_requests)
        )
        self.listings.append(HostListing(at_s, host, hosts))


class Editors:
    """Operators who change cells all the time.

    :param customer: whose row they change
    :param rng: source of randomness
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
        """Begin to edit."""
        self.task = gevent.spawn(self.edit_forever)

    def stop(self):
        """Edit no more."""
        self.task.kill()

    def edit_forever(self):
        """Make one edit after the other."""
        while True:
            gevent.sleep(EDIT_INTERVAL_S * (0.5 + self.rng.random()))
            number = next(self.numbers)
            if number % SPLIT_EVERY:
                cell = f'customers/{self.customer}/queue_limit'
                self.edit({cell: 1000 + number})
            else:
                self.edit(next(self.splits))

    def edit_concurrently(self):
        """Two operators change the same cell at once."""
        cell = f'customers/{self.customer}/concurrency'
        values = [900 + next(self.numbers) for _ in range(2)]
        gevent.joinall([gevent.spawn(self.edit, {cell: v}) for v in values])

    def edit(self, cells):
        """Make one edit; a lost answer is settled with the same id."""
        number = next(self.numbers)
        body = {
            'cells': cells,
            'operator': 'lab',
            'edit': f'lab-{number}',
            'wait_s': EDIT_WAIT_S,
        }
        self.post('/admin/table', body)

    def post(self, path, body):
        """Send an edit to one host after the other until one answers.

        Its time counts from the call to that host: one that is stopped, or
        cut off from the store, cannot take an edit.
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
        """The edits that operators were told are accepted."""
        return [
            checker.Edit(
                f'edit {number}', edit.revision, edit.at_s + edit.took_s
            )
            for number, edit in enumerate(self.edits)
            if edit.state in ('in_force', 'accepted')
        ]


def role_split_cells(settings):
    """Cells that have the planner change roles, this way and back.

    One engine is left over, so that an operator can drain it.
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
    """What an answer says."""
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
