"""A lease on a duty, kept in one value of the store by compare-and-swap.

The holder renews by writing a higher serial; whoever wants the duty watches
the value and takes it when it has not changed for its time to live, counted
on the watcher's own clock.  No clock of the store takes part, the value
stays when the lease lapses, and so the fencing number in it only grows.

The holder stops ``margin_share`` of the time to live before the watchers
can take over, counted from *before* the renewal was sent.
"""

import dataclasses
import json
from typing import NamedTuple

__all__ = [
    'Authority',
    'Lease',
    'LeaseSettings',
    'LeaseValue',
    'ReadLease',
    'WriteLease',
]


class LeaseSettings(NamedTuple):
    """Times of a lease.

    :param margin_share: share of the time to live that the holder gives
        up, and that a watcher adds, for clocks that run apart.
    :param retry_s: least time between two tries after a failure.
    """

    ttl_s: float = 4.0
    renew_s: float = 1.2
    watch_s: float = 1.0
    retry_s: float = 0.4
    margin_share: float = 0.1


class LeaseValue(NamedTuple):
    """The value in the store.

    :param serial: counts renewals; with the holder it names one write.
    :param released: the holder is done and has no command under way.
    """

    holder: str
    incarnation: int
    fencing: int
    serial: int
    ttl_s: float
    released: bool = False

    def dump(self) -> str:
        """Write the value as the store keeps it."""
        return json.dumps(self._asdict(), separators=(',', ':'))

    @classmethod
    def parse(cls, text: str) -> 'LeaseValue':
        """Read a value of the store."""
        fields = json.loads(text)
        return cls(**{name: fields[name] for name in cls._fields})


class Authority(NamedTuple):
    """The right to act, until a moment of the own monotonic clock.

    :param since_s: when the lease was taken.
    """

    fencing: int
    since_s: float
    until_s: float


@dataclasses.dataclass(frozen=True)
class ReadLease:
    """Read the value, then call ``read`` or ``read_failed``."""


@dataclasses.dataclass(frozen=True)
class WriteLease:
    """Write the value if the key still has this revision.

    Then call ``written``, ``write_refused`` or ``write_unknown``.
    """

    value: LeaseValue
    if_revision: int


Action = ReadLease | WriteLease


@dataclasses.dataclass(frozen=True)
class _Pending:
    value: LeaseValue
    sent_s: float


class Lease:
    """One duty, as one node sees it; one call to the store at a time."""

    def __init__(
        self, host: str, incarnation: int, settings: LeaseSettings
    ) -> None:
        self.host = host
        self.incarnation = incarnation
        self.settings = settings
        self.authority: Authority | None = None
        self.revision = 0
        self.value: LeaseValue | None = None
        self.changed_s: float | None = None
        self._busy = False
        self._next_s = 0.0
        self._pending: _Pending | None = None
        self._releasing = False

    def held(self, now_s: float) -> Authority | None:
        """The authority, None from a safe time before others may take it."""
        if self.authority is None or self._releasing:
            return None
        if now_s >= self.authority.until_s:
            return None
        return self.authority

    def holder(self) -> str | None:
        """Who held the lease when the value was last seen."""
        if self.value is None or self.value.released:
            return None
        return self.value.holder

    def drop(self) -> None:
        """Stop acting at once, as after a pause of unknown length."""
        self.authority = None

    def release(self) -> None:
        """Give the lease up; nothing that relies on it may be under way."""
        self._releasing = True
        self._next_s = 0.0

    def tick(
        self, now_s: float, contending: bool, fencing_floor: int
    ) -> list[Action]:
        """What to do now.

        :param contending: the node wants the duty.
        :param fencing_floor: least fencing number to take; the highest one
            heard anywhere plus one, or the wall clock in milliseconds.  A
            store restored to an older copy would else give numbers twice.
        """
        if self._busy or now_s < self._next_s:
            return []
        wanted = contending or self.authority is not None
        if not wanted and not self._releasing:
            return []
        self._busy = True
        if self._pending is not None or self.changed_s is None:
            return [ReadLease()]
        if self._releasing:
            return self._write_release(now_s)
        if self.held(now_s) is not None:
            return [self._write(now_s, self._renewal())]
        if now_s >= self._expires_s():
            return [self._write(now_s, self._claim(fencing_floor))]
        return [ReadLease()]

    def _write(self, now_s: float, value: LeaseValue) -> WriteLease:
        self._pending = _Pending(value, now_s)
        return WriteLease(value, self.revision)

    def _write_release(self, now_s: float) -> list[Action]:
        if self.authority is None or not self._is_own(self.value):
            self.authority = None
            self._releasing = False
            self._busy = False
            return []
        return [self._write(now_s, self._renewal()._replace(released=True))]

    def _renewal(self) -> LeaseValue:
        return self.value._replace(
            serial=self.value.serial + 1, ttl_s=self.settings.ttl_s
        )

    def _claim(self, floor: int) -> LeaseValue:
        stored = self.value.fencing if self.value is not None else 0
        return LeaseValue(
            self.host,
            self.incarnation,
            max(stored + 1, floor),
            1,
            self.settings.ttl_s,
        )

    def _expires_s(self) -> float:
        """When nobody can be acting on the value seen any longer.

        A value of our own is waited out like any other one: an older copy
        of the store may show it while someone else holds the lease.
        """
        ttl_s = self.settings.ttl_s
        if self.value is not None:
            if self.value.released:
                return self.changed_s
            ttl_s = max(ttl_s, self.value.ttl_s)
        return self.changed_s + ttl_s * (1 + self.settings.margin_share)

    def _is_own(self, value: LeaseValue | None) -> bool:
        return (
            value is not None
            and value.holder == self.host
            and value.incarnation == self.incarnation
        )

    def read(self, now_s: float, revision: int, text: str | None) -> None:
        """The store answered a read; revision 0 for an absent key."""
        self._busy = False
        value = LeaseValue.parse(text) if text is not None else None
        pending = self._pending
        self._pending = None
        if pending is not None and value == pending.value:
            self._settle(pending, now_s, revision)
            return
        self._record_value(now_s, revision, value)
        self._next_s = self._next_read_s(now_s)

    def written(self, now_s: float, revision: int) -> None:
        """The store took the write."""
        self._busy = False
        pending = self._pending
        self._pending = None
        self._settle(pending, now_s, revision)

    def write_refused(
        self, now_s: float, revision: int, text: str | None
    ) -> None:
        """The key had another revision; the store shows what it holds."""
        self.read(now_s, revision, text)

    def write_unknown(self, now_s: float) -> None:
        """The write may or may not have been taken; a read settles it."""
        self._busy = False
        self._next_s = now_s + self.settings.retry_s

    def read_failed(self, now_s: float) -> None:
        """The store could not be read; try again later."""
        self._busy = False
        self._next_s = now_s + self.settings.retry_s

    def _settle(self, pending: _Pending, now_s: float, revision: int) -> None:
        self._record_value(now_s, revision, pending.value)
        if pending.value.released:
            self.authority = None
            self._releasing = False
            return
        share = 1 - self.settings.margin_share
        until_s = pending.sent_s + pending.value.ttl_s * share
        since_s = now_s
        before = self.authority
        if before is not None and before.fencing == pending.value.fencing:
            since_s = before.since_s
        self.authority = Authority(pending.value.fencing, since_s, until_s)
        self._next_s = now_s + self.settings.renew_s

    def _record_value(
        self, now_s: float, revision: int, value: LeaseValue | None
    ) -> None:
        if (
            self.changed_s is None
            or revision != self.revision
            or value != self.value
        ):
            self.changed_s = now_s
        self.revision = revision
        self.value = value
        held = self.authority
        if held is not None and (
            not self._is_own(value) or value.fencing != held.fencing
        ):
            self.authority = None

    def _next_read_s(self, now_s: float) -> float:
        if self.authority is not None or self._releasing:
            return now_s
        return min(now_s + self.settings.watch_s, self._expires_s())
