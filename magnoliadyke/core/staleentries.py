"""Entries of an older copy of the store that say less than is known.

A store that came back from a copy lists endpoints as they were some seconds
ago, until they write their entries again: one that has said that it leaves is
listed as ready, one that has gone is listed again.
"""

import collections
from typing import NamedTuple

from magnoliadyke.core import catalog
from magnoliadyke.core import expiredentries
from magnoliadyke.core import position

__all__ = ['OldEntries', 'PassedOver']

#: How long endpoints that have gone are remembered, in seconds: copies are
#: some seconds old.
REMEMBERED_S = 60.0
MOST_REMEMBERED = 4096
#: An entry that nobody renews is removed within this time, in seconds; one
#: that is still there is of an endpoint that lives.
GONE_S = 5.0
#: An endpoint that lives has written its entry again by then, in seconds.
WRITTEN_S = expiredentries.LAPSE_S


class PassedOver(NamedTuple):
    """An entry that a host does not go by, for one that has just started.

    :param gone: the endpoint had gone; else it had said that it leaves
    :param for_s: for how long, None until the entry is written again
    """

    name: str
    written: position.Position
    gone: bool
    for_s: float | None


class _Old(NamedTuple):
    """An entry that is passed over.

    :param gone: the endpoint had gone
    """

    written: position.Position
    until_s: float
    gone: bool


class OldEntries:
    """Which entries are passed over, and until when.

    :ivar old: by name of the endpoint
    """

    def __init__(self, known: catalog.Catalog) -> None:
        self.catalog = known
        self.old: dict[str, _Old] = {}
        self.gone_s: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    def gone(self, endpoint_id: str, now_s: float) -> None:
        """An endpoint is gone."""
        self.gone_s[endpoint_id] = now_s
        self.gone_s.move_to_end(endpoint_id)
        if len(self.gone_s) > MOST_REMEMBERED:
            self.gone_s.popitem(last=False)

    def copied(
        self,
        endpoint: catalog.Endpoint,
        written: position.Position,
        now_s: float,
    ) -> None:
        """An entry is in a copy of the store; it may be old.

        :param written: where the copy has it
        """
        until_s = self._old_until_s(endpoint, now_s)
        if until_s is None:
            self.old.pop(endpoint.name, None)
        else:
            gone = endpoint.id not in self.catalog.endpoints
            self.old[endpoint.name] = _Old(written, until_s, gone)

    def _old_until_s(
        self, endpoint: catalog.Endpoint, now_s: float
    ) -> float | None:
        known = self.catalog.endpoints.get(endpoint.id)
        if known is None:
            gone_s = self.gone_s.get(endpoint.id)
            if gone_s is None or now_s - gone_s > REMEMBERED_S:
                return None
            return now_s + GONE_S
        if known == endpoint or endpoint.leaving:
            return None
        # A leave is never taken back, so it waits for no time to pass.
        return float('inf') if known.leaving else now_s + WRITTEN_S

    def is_old(
        self, name: str, written: position.Position, now_s: float
    ) -> bool:
        """Whether an entry is passed over; one written since is not."""
        old = self.old.get(name)
        if old is None:
            return False
        if old.written == written and now_s < old.until_s:
            return True
        del self.old[name]
        return False

    def told(self, now_s: float) -> tuple[PassedOver, ...]:
        """Leaves and ends that the entries do not show."""
        return tuple(
            PassedOver(
                name,
                old.written,
                old.gone,
                old.until_s - now_s if old.gone else None,
            )
            for name, old in self.old.items()
            if old.gone or old.until_s == float('inf')
        )

    def learn(self, told: PassedOver, now_s: float) -> None:
        """Another host passes an entry over."""
        until_s = float('inf') if told.for_s is None else now_s + told.for_s
        self.old[told.name] = _Old(told.written, until_s, told.gone)

    def outlasted(self, now_s: float) -> list[str]:
        """Names of endpoints that have not written their entries again."""
        return [n for n, old in self.old.items() if now_s >= old.until_s]
