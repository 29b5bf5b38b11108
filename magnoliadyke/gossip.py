"""The UDP task that keeps this node's view of the others."""

import typing

from magnoliadyke import mailbox

__all__ = ['Gossip', 'Leave', 'OwnDigest', 'OwnState', 'PeerDigest']


class OwnState(typing.NamedTuple):
    """What this node tells the others of itself; None leaves a field alone.

    :param spare: share of its capacity that is free, 0 to 1
    :param takes_work: whether it accepts new requests
    """

    table_revision: int | None = None
    staged_revision: int | None = None
    spare: float | None = None
    takes_work: bool | None = None


class OwnDigest(typing.NamedTuple):
    """This node's digest for the others, already encoded."""

    data: bytes


class PeerDigest(typing.NamedTuple):
    """Another node's digest."""

    host: str
    data: bytes


class Leave(mailbox.Ask):
    """Announce that this node leaves; answers when it has been sent.

    :param successor: host that got this node's records, or ''
    """

    def __init__(self, successor=''):
        super().__init__()
        self.successor = successor


class Gossip(mailbox.Task):
    """Owns the UDP socket on this host's peer port and its membership.

    Topics: ``members`` (:class:`magnoliadyke.core.membership.MembersView`),
    ``digests`` (:class:`PeerDigest`, each as it comes) and ``pauses``
    (seconds this process had stood still). Takes :class:`OwnState`,
    :class:`OwnDigest` and :class:`Leave`.

    :param settings: the deployment's settings
    :param host: name of this host
    :param clock: a :class:`magnoliadyke.clock.Clock`
    :param rng: source of randomness
    :param incarnation: number of this process, larger than those before it
    """

    def __init__(self, settings, host, clock, rng, incarnation):
        super().__init__('gossip', clock)
        self.settings = settings
        self.host = host
        self.rng = rng
        self.incarnation = incarnation
        self.members = mailbox.Topic()
        self.digests = mailbox.Topic()
        self.pauses = mailbox.Topic()
