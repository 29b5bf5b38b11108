"""The task that owns the scheduler and feeds it what endpoints report."""

import typing

from magnoliadyke import mailbox

__all__ = [
    'CancelJob',
    'Dispatcher',
    'PeerDigest',
    'RoleSeen',
    'SubmitJob',
]


class SubmitJob(mailbox.Ask):
    """Place a job; answered with a ``Dispatch`` or a ``Refuse``.

    :param job: the :class:`magnoliadyke.core.jobs.Job` to place
    """

    def __init__(self, job):
        super().__init__()
        self.job = job


class CancelJob(typing.NamedTuple):
    """Forget a job that still waits or runs."""

    job_id: str


class PeerDigest(typing.NamedTuple):
    """The scheduler digest of another node, as gossip brought it."""

    host: str
    digest: object


class RoleSeen(typing.NamedTuple):
    """An endpoint's role, as the holder of the pool's duty saw it."""

    endpoint: str
    role: str


class Dispatcher(mailbox.Task):
    """Own the scheduler; poll endpoints; answer :class:`SubmitJob`.

    Post it :class:`PeerDigest` and :class:`RoleSeen` messages. It publishes
    two topics each second: ``digest`` (the node's own scheduler digest, for
    gossip) and ``demand`` (mapping of pool name to the scheduler's Demand,
    for planning).

    :param settings: :class:`magnoliadyke.settings.Settings`
    :param clock: a :class:`magnoliadyke.clock.Clock`
    :param rng: source of randomness (``random.Random``)
    :param table: Topic of :class:`magnoliadyke.core.table.View`
    :param members: Topic of :class:`magnoliadyke.core.membership.MembersView`
    :param host: this node's host name
    """

    tick_interval_s = 0.05

    def __init__(self, settings, clock, rng, table, members, host):
        super().__init__('dispatcher', clock)
        self.settings = settings
        self.rng = rng
        self.table = table
        self.members = members
        self.host = host
        self.digest = mailbox.Topic()
        self.demand = mailbox.Topic()
