"""Interface of the store: prefix watches, leases, transactions."""

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
    """A key with its value and the position of its last write."""

    key: str
    value: bytes
    position: position.Position


class Removed(NamedTuple):
    """A key that was removed, and the position of its removal."""

    key: str
    position: position.Position


class Absent(NamedTuple):
    """The key does not exist."""


class Items(NamedTuple):
    """All keys under a prefix; later changes follow from ``position``."""

    items: tuple[Item, ...]
    position: position.Position


class Changes(NamedTuple):
    """The changes up to ``position``; none if a watch ended without any."""

    changes: tuple[Item | Removed, ...]
    position: position.Position


class Compacted(NamedTuple):
    """The watched history was compacted; all keys must be read again."""


class Restored(NamedTuple):
    """The store was restored from a backup; the request named an older era.

    Positions and leases of the older era mean nothing in the restored store.

    :param era: present era of the store
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
    """A key was not at its expected position; nothing was written.

    :param items: the expected keys as they are now
    """

    items: tuple[Item, ...]


class NoLease(NamedTuple):
    """The lease has expired or was revoked."""


class Granted(NamedTuple):
    """A lease was granted or renewed, for ``ttl_s`` seconds."""

    lease: int
    ttl_s: float


class Unavailable(NamedTuple):
    """The store did not confirm the request.

    :param reason: what failed, for the log
    :param maybe_applied: whether the request may have been applied, or may
        still be, some seconds later
    :param was_cut: whether the store closed the connection in place of an
        answer; it may do so with a watch that waits, and be available
    """

    reason: str
    maybe_applied: bool
    was_cut: bool = False


class Store(abc.ABC):
    """A store; its methods report failures as outcomes and raise nothing.

    :ivar era_changed: called when the store answers in a later era
    """

    era_changed: Callable[[], None] | None = None

    @abc.abstractmethod
    def list_prefix(self, prefix: str) -> Items | Unavailable:
        """Read all keys under a prefix."""

    @abc.abstractmethod
    def read(self, key: str) -> Item | Absent | Unavailable:
        """Read one key, as it is at some moment during the call."""

    @abc.abstractmethod
    def watch(
        self, prefix: str, after: position.Position, wait_s: float
    ) -> Changes | Compacted | Restored | Unavailable:
        """Wait up to ``wait_s`` seconds for changes after a position."""

    @abc.abstractmethod
    def commit(
        self,
        expected: dict[str, position.Position],
        puts: tuple[Put, ...] = (),
        removals: tuple[str, ...] = (),
    ) -> Written | Conflict | NoLease | Restored | Unavailable:
        """Write and remove keys atomically if ``expected`` positions match.

        :param expected: positions at which keys must be, by key; revision 0
            for a key that must not exist
        :param puts: keys to write
        :param removals: keys to remove
        """

    @abc.abstractmethod
    def grant(self, ttl_s: float) -> Granted | Unavailable:
        """Request a new lease."""

    @abc.abstractmethod
    def renew(self, lease: int) -> Granted | NoLease | Restored | Unavailable:
        """Renew a lease granted in the latest era of the store."""

    @abc.abstractmethod
    def revoke(self, lease: int) -> None:
        """Revoke a lease, which removes its keys.

        If the call fails, the lease expires at the end of its time to live.
        """

    @abc.abstractmethod
    def close(self) -> None:
        """Close all connections."""
