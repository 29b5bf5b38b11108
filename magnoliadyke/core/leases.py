"""Lease on a duty, kept in one value of the store by compare-and-swap.

A duty is a singleton task that one host carries out.  The holder renews the
lease by writing a higher serial.  A host that contends for the duty polls the
value and claims the lease once the value has not changed for its time to
live, by the contender's own clock.  The store's clock is not used and the
value stays when the lease expires, so its fencing token only increases.

The holder stops acting ``margin_share`` of the time to live before a
contender can claim the lease, counted from *before* the renewal was sent.
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
    """Timing of a lease.

    :param ttl_s: time to live after a renewal, in seconds.
    :param renew_s: interval between renewals, in seconds.
    :param watch_s: interval at which a contender reads the value, in seconds.
    :param retry_s: shortest time between two attempts after a failure, in
        seconds.
    :param margin_share: share of the time to live by which the holder
        stops early and a contender waits longer, for clocks that run at
        different rates.
    """

    ttl_s: float = 4.0
    renew_s: float = 1.2
    watch_s: float = 1.0
    retry_s: float = 0.4
    margin_share: float = 0.1


class LeaseValue(NamedTuple):
    """The value in the store.

    :param incarnation: incarnation of the holder's process.
    :param serial: counts renewals; with holder, incarnation and fencing
        token it identifies one write.
    :param released: whether the holder has released the lease, which it
        does only with no command in progress.
    """

    holder: str
    incarnation: int
    fencing: int
    serial: int
    ttl_s: float
    released: bool = False

    def dump(self) -> str:
        """Return the value as JSON text for the store."""
        return json.dumps(self._asdict(), separators=(',', ':'))

    @classmethod
    def parse(cls, text: str) -> 'LeaseValue':
        """Return the lease value in a text of the store."""
        fields = json.loads(text)
        return cls(**{name: fields[name] for name in cls._fields})


class Authority(NamedTuple):
    """The right to act as the lease holder, by this host's monotonic clock.

    :param since_s: when the lease was acquired.
    :param until_s: when the holder has to stop unless it renews.
    """

    fencing: int
    since_s: float
    until_s: float


@dataclasses.dataclass(frozen=True)
class ReadLease:
    """Read the value.

    Then call ``record_read`` or ``record_read_failure``.
    """


@dataclasses.dataclass(frozen=True)
class WriteLease:
    """Write the value if the key still has the revision ``if_revision``.

    Then call ``record_written``, ``record_write_refusal`` or
    ``record_write_unknown``.
    """

    value: LeaseValue
    if_revision: int


Action = ReadLease | WriteLease


@dataclasses.dataclass(frozen=True)
class _Pending:
    value: LeaseValue
    sent_s: float


class Lease:
    """State machine of one host's lease on one duty.

    At most one call to the store is outstanding at a time.

    :ivar changed_s: when this host last saw the stored value change, None
        before the first read
    """

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
        """Return the authority, or None if the host may not act.

        It ends ``margin_share`` of the time to live before a contender can
        claim the lease.
        """
        if self.authority is None or self._releasing:
            return None
        if now_s >= self.authority.until_s:
            return None
        return self.authority

    def holder(self) -> str | None:
        """Return the holder in the value last read, None if released."""
        if self.value is None or self.value.released:
            return None
        return self.value.holder

    def drop(self) -> None:
        """Drop the authority at once, as after a pause of unknown length."""
        self.authority = None

    def release(self) -> None:
        """Release the lease.

        No operation that relies on the lease may be in progress.
        """
        self._releasing = True
        self._next_s = 0.0

    def tick(
        self, now_s: float, contending: bool, fencing_floor: int
    ) -> list[Action]:
        """Return the actions to take now.

        :param contending: whether the host contends for the duty.
        :param fencing_floor: smallest fencing token to claim the lease
            with: the larger of the wall-clock time in milliseconds and the
            highest token on record plus one.  Without it, a store restored
            from an older backup would assign the same token twice.
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
        """Return when no host can still be acting on the value last read.

        A value of this host's own is waited out like any other: a store
        restored from an older backup may hold it while another host holds
        the lease.
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

    def record_read(
        self, now_s: float, revision: int, text: str | None
    ) -> None:
        """Handle the store's answer to a read.

        :param revision: revision of the key, 0 if it is absent.
        :param text: value of the key, None if it is absent.
        """
        self._busy = False
        value = LeaseValue.parse(text) if text is not None else None
        pending = self._pending
        self._pending = None
        if pending is not None and value == pending.value:
            self._settle(pending, now_s, revision)
            return
        self._record_value(now_s, revision, value)
        self._next_s = self._next_read_s(now_s)

    def record_written(self, now_s: float, revision: int) -> None:
        """Handle a successful write."""
        self._busy = False
        pending = self._pending
        self._pending = None
        self._settle(pending, now_s, revision)

    def record_write_refusal(
        self, now_s: float, revision: int, text: str | None
    ) -> None:
        """Handle a write refused because the key had another revision.

        :param revision: present revision of the key, 0 if it is absent.
        :param text: present value of the key, None if it is absent.
        """
        self.record_read(now_s, revision, text)

    def record_write_unknown(self, now_s: float) -> None:
        """Handle a write of unknown outcome; a later read determines it."""
        self._busy = False
        self._next_s = now_s + self.settings.retry_s

    def record_read_failure(self, now_s: float) -> None:
        """Handle a failed read; it is retried after ``retry_s``."""
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
