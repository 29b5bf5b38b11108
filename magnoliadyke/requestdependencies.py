"""What the request path takes from the rest of its node."""

import random
import typing

from magnoliadyke import clock as clocks
from magnoliadyke import keyvalue
from magnoliadyke import mailbox
from magnoliadyke import peer
from magnoliadyke import settings as settings_module

__all__ = ['RequestDependencies']


class RequestDependencies(typing.NamedTuple):
    """One node's identity and the parts that its requests need.

    :param host: name of the host
    :param incarnation: number of this process, larger than those before it
    :param rng: source of randomness (``random.SystemRandom`` outside tests)
    :param table: Topic of :class:`magnoliadyke.core.table.View`
    :param members: Topic of :class:`magnoliadyke.core.membership.MembersView`
    :param store: for claims of keys that callers made themselves
    :param peers: its ``handover`` delivers records to a successor, whose
        ``take_records`` should be that of its ``Callers``
    """

    settings: settings_module.Settings
    host: str
    incarnation: int
    clock: clocks.Clock
    rng: random.Random
    table: mailbox.Topic
    members: mailbox.Topic
    store: keyvalue.KeyValue
    peers: peer.PeerClients
