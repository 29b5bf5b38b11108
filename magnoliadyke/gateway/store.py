"""What a gateway needs of a store: prefix watches, leases, transactions."""

import abc
from typing import Callable
from typing import NamedTuple

from magnoliadyke.core import position

__all__ = [
    'Absent',
    'Changes',
    'Compacted',
    'Conflict',
    'Granted',
    'Item',
    'Items',
    'NoLease',
    'Put',
    'Removed',
    'Restored',
    'Store',
    'Unavailable',
    'Written',
]


class Item(NamedTuple):
    """A key as it was written."""

    key: str
    value: bytes
    position: position.Position


class Removed(NamedTuple):
    """A key that is gone."""

    key: str
    position: position.Position


class Absent(NamedTuple):
    """There is no such key."""


class Items(NamedTuple):
    """All keys under a prefix; changes after ``position`` are not in it."""

    items: tuple[Item, ...]
    position: position.Position


class Changes(NamedTuple):
    """What has changed, possibly nothing, up to ``position``."""

    changes: tuple[Item | Removed, ...]
    position: position.Position


class Compacted(NamedTuple):
    """The history asked for is no longer there: read everything again."""


class Restored(NamedTuple):
    """The store came back from an older copy; the question was of before.

    Whatever it did or told concerns another history than the one asked for.

    :param era: of the store now
    """

    era: int


class Put(NamedTuple):
    """A key to write.

    :param lease: the key is removed when this lease ends; 0 for none
    """

    key: str
    value: bytes
    lease: int = 0


class Written(NamedTuple):
    """The transaction took effect."""

    position: position.Position


class Conflict(NamedTuple):
    """Nothing was written; the expected keys as they are now."""

    items: tuple[Item, ...]


class NoLease(NamedTuple):
    """The lease has ended."""


class Granted(NamedTuple):
    """A lease was granted or renewed."""

    lease: int
    ttl_s: float


class Unavailable(NamedTuple):
    """The store did not do what was asked, as far as is known.

    :param maybe_applied: it may have been done, or be done seconds later
    """

    reason: str
    maybe_applied: bool


class Store(abc.ABC):
    """The store; methods return outcomes and raise nothing.

    :ivar era_changed: called when the store answers in a later era
    """

    era_changed: Callable[[], None] | None = None

    @abc.abstractmethod
    def list_prefix(self, prefix: str) -> Items | Unavailable:
        """Read all keys under a prefix."""

    @abc.abstractmethod
    def read(self, key: str) -> Item | Absent | Unavailable:
        """Read one key as it is at some moment of this call."""

    @abc.abstractmethod
    def watch(
        self, prefix: str, after: position.Position, wait_s: float
    ) -> Changes | Compacted | Restored | Unavailable:
        """Wait for changes after a position, at most ``wait_s`` seconds."""

    @abc.abstractmethod
    def commit(
        self,
        expected: dict[str, position.Position],
        puts: tuple[Put, ...] = (),
        removals: tuple[str, ...] = (),
    ) -> Written | Conflict | NoLease | Restored | Unavailable:
        """Write if the keys are at the positions expected.

        :param expected: with revision 0 for keys that are absent
        """

    @abc.abstractmethod
    def grant(self, ttl_s: float) -> Granted | Unavailable:
        """Ask for a lease."""

    @abc.abstractmethod
    def renew(self, lease: int) -> Granted | NoLease | Restored | Unavailable:
        """Renew a lease that was granted in the era known."""

    @abc.abstractmethod
    def revoke(self, lease: int) -> None:
        """End a lease, removing its keys; a failure leaves it to lapse."""

    @abc.abstractmethod
    def close(self) -> None:
        """Drop all connections."""
