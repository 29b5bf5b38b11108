"""Splits changes of the store's keys into datagrams for other hosts."""

from collections.abc import Iterable
import itertools

from magnoliadyke.core import position
from magnoliadyke.gateway import placement_codec
from magnoliadyke.gateway import store

__all__ = ['split']

#: Maximum size of the changes in a datagram, in bytes.  Networks that carry
#: packets of 1,400 bytes do not fragment it.
MAX_CHANGES_BYTES = 1200
#: Encoded size of a change without its key and its value, in bytes.
CHANGE_OVERHEAD_BYTES = 16

Change = store.Item | store.Removed


def split(
    host: str,
    base: position.Position,
    upto: position.Position,
    changes: tuple[Change, ...],
    regained_s: float | None,
    max_bytes: float,
) -> list[placement_codec.KeyUpdates]:
    """Pack changes into as few updates, one per datagram, as possible.

    Each update begins at the position where the previous one ends, so a host
    that misses one detects the gap by the next.  Changes of one position are
    never split: a host that got only some of them would record the position
    as reached.

    :param host: name of this host
    :param base: position that precedes the changes
    :param upto: position up to which they reach, in the same era
    :param regained_s: how long ago the store came back, in seconds; None if
        the grace period after that outage is over
    :param max_bytes: maximum size of the changes, in bytes.  Above it one
        update without changes is sent, and the receivers read the store
    """
    if _size(changes) > max_bytes:
        return [
            placement_codec.KeyUpdates(host, base, upto, (), False, regained_s)
        ]
    updates = []
    for group, complete in _groups(changes):
        until = group[-1].position
        updates.append(
            placement_codec.KeyUpdates(
                host, base, until, group, complete, regained_s
            )
        )
        base = until
    if updates and updates[-1].complete:
        updates[-1] = updates[-1]._replace(position=upto)
    elif upto > base or not updates:
        updates.append(
            placement_codec.KeyUpdates(host, base, upto, (), True, regained_s)
        )
    return updates


def _groups(
    changes: tuple[Change, ...],
) -> Iterable[tuple[tuple[Change, ...], bool]]:
    """Group changes by datagram; with False, a group that exceeds one."""
    ordered = sorted(changes, key=lambda change: change.position)
    group: list[Change] = []
    for _, same_position in itertools.groupby(
        ordered, lambda change: change.position
    ):
        written = list(same_position)
        if group and _size(group) + _size(written) > MAX_CHANGES_BYTES:
            yield tuple(group), True
            group = []
        if _size(written) > MAX_CHANGES_BYTES:
            yield tuple(written), False
        else:
            group += written
    if group:
        yield tuple(group), True


def _size(changes: Iterable[Change]) -> int:
    return sum(
        len(change.key)
        + CHANGE_OVERHEAD_BYTES
        + len(getattr(change, 'value', b''))
        for change in changes
    )
