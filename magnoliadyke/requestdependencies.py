"""Components of a node that its request path depends on."""

import random
import typing

from magnoliadyke import clock as clocks
from magnoliadyke import keyvalue
from magnoliadyke import mailbox
from magnoliadyke import peer
from magnoliadyke import settings as settings_module

__all__ = ['RequestDependencies']


class RequestDependencies(typing.NamedTuple):
    """Identity of a node and the components that serve its requests.

    :param settings: the deployment's settings
    :param host: name of the host
    :param incarnation: number of this process, larger than those before it
    :param clock: clock of the node
    :param rng: source of randomness (``random.SystemRandom`` outside tests)
    :param table: Topic of :class:`magnoliadyke.core.table.View`
    :param members: Topic of :class:`magnoliadyke.core.membership.MembersView`
    :param store: key-value store, for the claims of foreign keys (made
        without a ticket)
    :param peers: clients of the peers; ``handover`` delivers request records
        to the ``receive_records`` of the successor's ``Callers``
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
