"""Position in the store's history: its epoch (era) and a revision."""

from typing import NamedTuple

__all__ = ['START', 'Position']

#: Bits of a packed position that hold the revision.  With eras up to 8,191 a
#: packed position stays below 2^53, the largest integer that all JSON parsers
#: keep exact.
REVISION_BITS = 40


class Position(NamedTuple):
    """A revision of the store within an era; later positions are larger.

    The era is the store's epoch, raised at each restore from a backup.  After
    a restore, the store uses the lost revision numbers again, in the new era.
    """

    era: int
    revision: int

    @property
    def packed(self) -> int:
        """The position as one integer that sorts the same way."""
        return self.era << REVISION_BITS | self.revision

    @classmethod
    def unpack(cls, packed: int) -> 'Position':
        """Return the position that :attr:`packed` encoded."""
        return cls(packed >> REVISION_BITS, packed % (1 << REVISION_BITS))

    def __str__(self) -> str:
        return f'{self.era}/{self.revision}'


#: Precedes every position of a store.
START = Position(0, 0)
