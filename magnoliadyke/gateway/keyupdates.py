"""Changes of the store's keys, cut into datagrams for other hosts."""

from collections.abc import Iterable
import itertools

from magnoliadyke.core import position
from magnoliadyke.gateway import placing_codec
from magnoliadyke.gateway import store

__all__ = ['split']

#: Most bytes of keys and values in a datagram: it stays whole on networks
#: that carry 1,400.
MAX_CHANGES_BYTES = 1200
#: What a change takes beside its key and its value, in bytes.
CHANGE_OVERHEAD_BYTES = 16

Change = store.Item | store.Removed


def split(
    host: str,
    base: position.Position,
    upto: position.Position,
    changes: tuple[Change, ...],
    regained_s: float | None,
    max_bytes: float,
) -> list[placing_codec.KeyUpdates]:
    """Tell changes in as few datagrams as they fit.

    Each begins where the one before it ends, so a host that misses one sees
    it by the next.  Changes of one position are never parted: a host that
    had a part of them would take itself for having all.

    :param base: position after which the changes are
    :param upto: up to which they are, in the same era
    :param room: most bytes of changes; more are named, and read by the others
    """
    if _size(changes) > max_bytes:
        return [
            placing_codec.KeyUpdates(host, base, upto, (), False, regained_s)
        ]
    updates = []
    for group, complete in _groups(changes):
        until = group[-1].position
        updates.append(
            placing_codec.KeyUpdates(
                host, base, until, group, complete, regained_s
            )
        )
        base = until
    if updates and updates[-1].complete:
        updates[-1] = updates[-1]._replace(position=upto)
    elif upto > base or not updates:
        updates.append(
            placing_codec.KeyUpdates(host, base, upto, (), True, regained_s)
        )
    return updates


def _groups(
    changes: tuple[Change, ...],
) -> Iterable[tuple[tuple[Change, ...], bool]]:
    """Changes that go together, and whether they fit a datagram."""
    ordered = sorted(changes, key=lambda change: change.position)
    group: list[Change] = []
    for _, same in itertools.groupby(ordered, lambda change: change.position):
        written = list(same)
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
