"""What operators ask of the table and what they are answered."""

import dataclasses
import typing

from magnoliadyke import mailbox

__all__ = [
    'Accepted',
    'CellState',
    'Conflict',
    'EditCells',
    'History',
    'Invalid',
    'Pending',
    'ShowTable',
    'StoreUnavailable',
    'TableShown',
]


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

    Without cells but with ``override`` it accepts the staged edit with this
    id and those before it, or all staged ones when the id is empty.

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

    :param pending: whether a staged edit changes it
    :param staged: its value in that edit
    """

    value: object
    pending: bool = False
    staged: object = None


class TableShown(typing.NamedTuple):
    """The table with the state of each cell.

    :param in_force: live host to the revision it has in force
    """

    revision: int
    staged_revision: int
    cells: dict[str, CellState]
    in_force: dict[str, int]
