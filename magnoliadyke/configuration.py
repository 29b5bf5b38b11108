"""The task that owns the table document."""

import dataclasses
import typing

from magnoliadyke import mailbox

__all__ = [
    'Accepted',
    'CellState',
    'Configuration',
    'Conflict',
    'EditCells',
    'History',
    'Invalid',
    'Pending',
    'ShowTable',
    'StoreUnavailable',
    'TableShown',
    'WorkPermit',
]


class WorkPermit(typing.NamedTuple):
    """Whether this node may take new work, and why not.

    :param reason: '' when it may; 'no_table', 'isolated'
    """

    allowed: bool
    reason: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The edit is accepted.

    :param in_force_s: seconds from the request until every live node had
        it in force, or until the wait for the laggards ended
    :param laggards: live hosts that have not confirmed it yet
    """

    revision: int
    in_force_s: float
    laggards: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Pending:
    """The edit is staged and waits for hosts that may be taking work.

    :param missing: hosts that must first come back or be ruled out
    """

    revision: int
    missing: tuple[str, ...]
    remedy: str = 'wait for these hosts, or repeat the edit with override'


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """The same cells were changed since the base revision.

    :param cells: cell to (their value, your value)
    """

    cells: dict[str, tuple]
    revision: int = 0
    operators: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Invalid:
    """The edit breaks rules; nothing was written.

    :param problems: :class:`magnoliadyke.core.table.Problem` each
    """

    problems: tuple


@dataclasses.dataclass(frozen=True, slots=True)
class StoreUnavailable:
    """The store did not answer.

    :param maybe_applied: whether the edit may have been staged all the
        same; repeat it with the same edit id to find out
    """

    maybe_applied: bool


class EditCells(mailbox.Ask):
    """Change cells.

    :param edits: cell to its new value, None for the default
    :param base_revision: revision the operator looked at, None for 'now'
    :param edit_id: made by the editor; a resend carries the same one
    :param override: accept even if hosts are missing
    """

    def __init__(self, edits, base_revision, author, edit_id, override=False):
        super().__init__()
        self.edits = edits
        self.base_revision = base_revision
        self.author = author
        self.edit_id = edit_id
        self.override = override


class ShowTable(mailbox.Ask):
    """Ask for the table; the answer is :class:`TableShown`."""


class History(mailbox.Ask):
    """Ask for past edits; the answer is a list of ``core.table.Change``."""


class CellState(typing.NamedTuple):
    """One cell as operators see it.

    :param staged: value of a staged edit that is not accepted yet
    :param pending: whether there is such an edit
    """

    value: object
    pending: bool = False
    staged: object = None


class TableShown(typing.NamedTuple):
    """The table with the state of each cell.

    :param in_force: host to the revision it has in force
    """

    revision: int
    staged_revision: int
    cells: dict[str, CellState]
    in_force: dict[str, int]


class Configuration(mailbox.Task):
    """Owns this node's copy of the table document.

    Topics: ``views`` (:class:`magnoliadyke.core.table.View`, each newer one)
    and ``permits`` (:class:`WorkPermit`). Answers :class:`EditCells`,
    :class:`ShowTable` and :class:`History`.

    :param settings: the deployment's settings
    :param host: name of this host
    :param clock: a :class:`magnoliadyke.clock.Clock`
    :param rng: source of randomness
    :param keyvalue: a :class:`magnoliadyke.keyvalue.KeyValue`
    :param gossip: the :class:`magnoliadyke.gossip.Gossip` of this node
    :param peers: a :class:`magnoliadyke.peer.PeerClients`
    """

    def __init__(self, settings, host, clock, rng, keyvalue, gossip, peers):
        super().__init__('configuration', clock)
        self.settings = settings
        self.host = host
        self.rng = rng
        self.keyvalue = keyvalue
        self.gossip = gossip
        self.peers = peers
        self.views = mailbox.Topic()
        self.permits = mailbox.Topic(WorkPermit(False, 'no_table'))

    def fetch_table(self, known_revision):
        """Answer a peer; see :class:`magnoliadyke.peer.PeerServer`."""
