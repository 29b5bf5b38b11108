"""What a gateway needs of a store: prefix watches, leases, transactions."""

import abc
from typing import NamedTuple

__all__ = [
    'Changes',
    'Compacted',
    'Conflict',
    'Granted',
    'Item',
    'Items',
    'NoLease',
    'Put',
    'Removed',
    'Store',
    'Unavailable',
    'Written',
]


class Item(NamedTuple):
    """A key as it was written."""

    key: str
    value: bytes
    revision: int


class Removed(NamedTuple):
    """A key that is gone."""

    key: str
    revision: int


class Items(NamedTuple):
    """All keys under a prefix; changes after ``revision`` are not in it."""

    items: tuple[Item, ...]
    revision: int


class Changes(NamedTuple):
    """What has changed, possibly nothing, up to ``revision``."""

    changes: tuple[Item | Removed, ...]
    revision: int


class Compacted(NamedTuple):
    """The history asked for is no longer there: read everything again."""


class Put(NamedTuple):
    """A key to write.

    :param lease: the key is removed when this lease ends; 0 for none
    """

    key: str
    value: bytes
    lease: int = 0


class Written(NamedTuple):
    """The transaction took effect."""

    revision: int


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
    """The store; methods return outcomes and raise nothing."""

    @abc.abstractmethod
    def list_prefix(self, prefix: str) -> Items | Unavailable:
        """Read all keys under a prefix."""

    @abc.abstractmethod
    def watch(
        self, prefix: str, after: int, wait_s: float
    ) -> Changes | Compacted | Unavailable:
        """Wait for changes after a revision, at most ``wait_s`` seconds."""

    @abc.abstractmethod
    def commit(
        self,
        expected: dict[str, int],
        puts: tuple[Put, ...] = (),
        removals: tuple[str, ...] = (),
    ) -> Written | Conflict | NoLease | Unavailable:
        """Write if the keys have the revisions expected; 0 for absent."""

    @abc.abstractmethod
    def grant(self, ttl_s: float) -> Granted | Unavailable:
        """Ask for a lease."""

    @abc.abstractmethod
    def renew(self, lease: int) -> Granted | NoLease | Unavailable:
        """Renew a lease."""

    @abc.abstractmethod
    def revoke(self, lease: int) -> None:
        """End a lease, removing its keys; a failure leaves it to lapse."""

    @abc.abstractmethod
    def close(self) -> None:
        """Drop all connections."""
