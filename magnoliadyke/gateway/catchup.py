"""What a host asks other hosts for, of the store that all of them follow."""

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

#: How often this host compares itself with the others, in seconds.
TICK_S = 0.1
#: Shares of the shortest time in which a change has to be in force: how long
#: a new read of the store may take before another host is asked, and the pause
#: after hosts could not tell.
READ_SHARE = 0.1
PAUSE_SHARE = 0.15
#: Hosts that are asked what they have seen, until one can tell.
MAX_PEERS_QUERIED = 3
#: A host that starts asks another one which entries of a restored store are
#: not gone by, until one tells or for this long, in seconds: by then endpoints
#: that live have written theirs again.
STALE_QUERY_TIMEOUT_S = 5.0


class CatchUp:
    """Sees to it that a host knows what the others know.

    :param follower: of this host; reads the store
    :ivar caught_up: times that this host was behind, by what ended it
    :ivar introduced_s: until when others are asked what is old in a restored
        store
    """

    def __init__(self, follower: 'followers.Follower') -> None:
        self.follower = follower
        self.caught_up: collections.Counter[str] = collections.Counter()
        self.stale_query_until_s = float('-inf')

    def begin(self) -> None:
        """The host has read the store for the first time."""
        self.stale_query_until_s = (
            self.follower.clock.now_s() + STALE_QUERY_TIMEOUT_S
        )

    def run(self) -> None:
        """Compare this host with the others, for ever."""
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
        """Have the store read anew, or else ask other hosts."""
        LOG.warning_event(
            'behind',
            position=self.follower.lag.own_position,
            told=behind.position,
            by=behind.host,
            for_s=round(behind.for_s, 3),
        )
        if self.follower.failing_since_s is None:
            self.follower.behind.set()
            self.follower.clock.sleep(self.follower.bound_s * READ_SHARE)
        source = 'store'
        if self.follower.lag.own_position < behind.position:
            told = self.fetch_from_peers(behind.host)
            source = 'host' if told else 'nobody'
        self.caught_up[source] += 1
        LOG.event(
            'caught_up', source=source, position=self.follower.lag.own_position
        )
        if source == 'nobody':
            self.follower.clock.sleep(self.follower.bound_s * PAUSE_SHARE)

    def _peer_addresses(self, first: str) -> list[str]:
        if self.follower.others is None:
            return []
        return self.follower.others.peers(first)[:MAX_PEERS_QUERIED]

    def fetch_from_peers(self, host: str) -> bool:
        """Take what another host has seen; False if none can tell."""
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
            self.follower.mirror.merge_stale_entries(state.passed_over)
            return True
        return False

    def _fetch_stale_entries(self) -> None:
        """Learn which entries of a restored store others do not go by."""
        for address in self._peer_addresses(''):
            state = peerstate.fetch(address, self.follower.lag.own_position)
            if (
                state is None
                or state.position.era != self.follower.lag.own_position.era
            ):
                continue
            self.follower.mirror.merge_stale_entries(state.passed_over)
            self.stale_query_until_s = float('-inf')
            return
        self.follower.clock.sleep(self.follower.bound_s * PAUSE_SHARE)

    def _resolve_outage(self) -> None:
        """Ask other hosts whether they had the last outage too.

        Those that were cut off with this one, or that it has not met again,
        can't tell yet; it asks until one can, while entries are doubted.
        """
        known = self.follower.mirror.expired_entries
        told: list[expiredentries.StoreContact | None] = []
        alone = None
        for address in self._peer_addresses(''):
            state = peerstate.fetch(address, self.follower.lag.own_position)
            told.append(state and state.reach)
            alone = known.is_local_outage(told, self.follower.clock.now_s())
            if alone:
                listed = self.follower.mirror.listed_in(state.positions)
                self.follower.mirror.drop_all(known.resolve_outage(listed))
                break
        if alone is False:
            known.record_shared_outage()
        if known.outage_unresolved:
            self.follower.clock.sleep(self.follower.bound_s * PAUSE_SHARE)
        else:
            LOG.event('outage_explained', alone=alone, asked=len(told))
