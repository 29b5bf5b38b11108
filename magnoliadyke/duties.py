"""Duties that one node at a time performs: role planning of each pool."""

import typing

from magnoliadyke import mailbox

__all__ = ['Demands', 'Duties', 'EngineStatus', 'PoolStatus', 'RoleStatus']


class Demands(typing.NamedTuple):
    """Demand of the pools as this node's scheduler sees the fleet's.

    :param pools: pool name to ``core.scheduler.Demand``
    """

    pools: dict


class RoleStatus(mailbox.Ask):
    """Ask for the duties; the answer maps pool to :class:`PoolStatus`."""


class EngineStatus(typing.NamedTuple):
    """An engine as the holder of its pool last read it back.

    :param target: role it was last told to take
    """

    name: str
    role: str
    target: str
    generation: int
    changing: bool
    seen_s: float


class PoolStatus(typing.NamedTuple):
    """Who plans a pool and what was done.

    :param holder: host, '' if nobody is known to
    :param fencing: fencing number of the holder's lease
    :param changes: last role changes, newest last: (wall_s, engine, role)
    """

    pool: str
    holder: str
    fencing: int
    engines: tuple[EngineStatus, ...]
    changes: tuple


class Duties(mailbox.Task):
    """Takes part in the election of each pool's planner; plans if elected.

    Answers :class:`RoleStatus`. Subscribes to ``gossip.pauses`` and
    ``configuration.views``; wants :class:`Demands` every second.

    :param settings: the deployment's settings
    :param host: name of this host
    :param clock: a :class:`magnoliadyke.clock.Clock`
    :param rng: source of randomness
    :param keyvalue: a :class:`magnoliadyke.keyvalue.KeyValue`
    :param gossip: the :class:`magnoliadyke.gossip.Gossip` of this node
    :param configuration: :class:`magnoliadyke.configuration.Configuration`
    """

    def __init__(
        self, settings, host, clock, rng, keyvalue, gossip, configuration
    ):
        super().__init__('duties', clock)
        self.settings = settings
        self.host = host
        self.rng = rng
        self.keyvalue = keyvalue
        self.gossip = gossip
        self.configuration = configuration
