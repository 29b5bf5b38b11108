"""Detects that a host's copy of the store is behind, and updates it."""

import collections
import typing

from magnoliadyke.core import expiredentries
from magnoliadyke.core import revisionlag
from magnoliadyke.gateway import peerstate
from magnoliadyke import logs

if typing.TYPE_CHECKING:
    from magnoliadyke.gateway import follower as followers

__all__ = ['CatchUp']

LOG = logs.get('catchup')

#: Interval between comparisons with the other hosts' positions, in seconds.
TICK_S = 0.1
#: Shares of the follower's ``bound_s``, the shortest limit for a change to
#: take effect: how long a new read of the store may take before another host
#: is asked, and the pause after no host could answer.
READ_SHARE = 0.1
RETRY_DELAY_SHARE = 0.15
#: Maximum number of hosts whose state is requested in one attempt.
MAX_PEERS_QUERIED = 3
#: A host that starts after a restore of the store asks others which entries
#: are stale, until one answers or for this long, in seconds.  By then running
#: endpoints have written their entries again.
STALE_QUERY_TIMEOUT_S = 5.0


class CatchUp:
    """Brings this host's copy of the store up to the other hosts' position.

    :param follower: this host's follower of the store
    :ivar caught_up: how often this host lagged, by the source that ended it:
        ``store``, ``host``, or ``nobody`` if it still lags
    :ivar stale_query_until_s: until when to ask other hosts which entries of a
        restored store are stale
    """

    def __init__(self, follower: 'followers.Follower') -> None:
        self.follower = follower
        self.caught_up: collections.Counter[str] = collections.Counter()
        self.stale_query_until_s = float('-inf')

    def start_stale_query(self) -> None:
        """Start to ask other hosts which entries of the store are stale.

        Called after the first read of the store.
        """
        self.stale_query_until_s = (
            self.follower.clock.now_s() + STALE_QUERY_TIMEOUT_S
        )

    def run(self) -> None:
        """Check for lag, unresolved outages and stale entries, for ever."""
        follower = self.follower
        while True:
            follower.clock.sleep(TICK_S)
            in_reach = follower.failing_since_s is None
            behind = follower.lag.behind(follower.clock.now_s(), in_reach)
            if behind is not None:
                self._read_or_ask(behind)
            if follower.mirror.expired_entries.needs_peer_reports():
                self._resolve_outage()
            if follower.clock.now_s() < self.stale_query_until_s:
                self._fetch_stale_entries()

    def _read_or_ask(self, behind: revisionlag.Behind) -> None:
        """Have the store read again; if that is too slow, ask other hosts."""
        LOG.warning_event(
            'behind',
            position=self.follower.lag.own_position,
            told=behind.position,
            by=behind.host,
            for_s=round(behind.for_s, 3),
        )
        if self.follower.failing_since_s is None:
            self.follower.reread_needed.set()
            self.follower.clock.sleep(self.follower.bound_s * READ_SHARE)
        source = 'store'
        if self.follower.lag.own_position < behind.position:
            is_fetched = self.fetch_from_peers(behind.host)
            source = 'host' if is_fetched else 'nobody'
        self.caught_up[source] += 1
        LOG.event(
            'caught_up', source=source, position=self.follower.lag.own_position
        )
        if source == 'nobody':
            self.follower.clock.sleep(
                self.follower.bound_s * RETRY_DELAY_SHARE
            )

    def _peer_addresses(self, first: str) -> list[str]:
        if self.follower.others is None:
            return []
        return self.follower.others.peer_addresses(first)[:MAX_PEERS_QUERIED]

    def fetch_from_peers(self, host: str) -> bool:
        """Apply the store keys of a host that has read later changes.

        :param host: name of the host to ask first
        :returns: False if none of those asked is ahead and sent all keys
        """
        for address in self._peer_addresses(host):
            state = peerstate.fetch(address, self.follower.lag.own_position)
            if (
                state is None
                or state.position <= self.follower.lag.own_position
            ):
                continue
            items = {item.key: item for item in state.items}
            if state.position.era == self.follower.lag.own_position.era:
                items = self.follower.mirror.items | items
            if not state.positions.keys() <= items.keys():
                LOG.warning_event('state_incomplete', told_by=address)
                continue
            items = {key: items[key] for key in state.positions}
            self.follower.mirror.expired_entries.record_peer_regained(
                state.regained_s, self.follower.clock.now_s()
            )
            self.follower.take_all(items, state.position)
            self.follower.mirror.merge_stale_entries(state.stale_entries)
            return True
        return False

    def _fetch_stale_entries(self) -> None:
        """Ask other hosts which entries of the restored store are stale."""
        for address in self._peer_addresses(''):
            state = peerstate.fetch(address, self.follower.lag.own_position)
            if (
                state is None
                or state.position.era != self.follower.lag.own_position.era
            ):
                continue
            self.follower.mirror.merge_stale_entries(state.stale_entries)
            self.stale_query_until_s = float('-inf')
            return
        self.follower.clock.sleep(self.follower.bound_s * RETRY_DELAY_SHARE)

    def _resolve_outage(self) -> None:
        """Ask other hosts whether they had the last outage too.

        Hosts that lost the store at the same time, or that are not reachable
        again yet, cannot answer.  The question is repeated until one can, as
        long as endpoints are in their grace period.
        """
        known = self.follower.mirror.expired_entries
        reports: list[expiredentries.StoreContact | None] = []
        is_local = None
        for address in self._peer_addresses(''):
            state = peerstate.fetch(address, self.follower.lag.own_position)
            reports.append(state and state.store_contact)
            is_local = known.is_local_outage(
                reports, self.follower.clock.now_s()
            )
            if is_local:
                listed = self.follower.mirror.listed_in(state.positions)
                self.follower.mirror.drop_all(known.resolve_outage(listed))
                break
        if is_local is False:
            known.record_shared_outage()
        if known.outage_unresolved:
            self.follower.clock.sleep(
                self.follower.bound_s * RETRY_DELAY_SHARE
            )
        else:
            LOG.event('outage_explained', alone=is_local, asked=len(reports))
