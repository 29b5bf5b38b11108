"""Until when a host may go by the configuration that it has.

A key that was taken away may not be used for longer than a bound, also at a
host that hears of nothing any more.  So a host serves keys only while it has
proof that its configuration was the newest one not longer ago than that.

Proof dates from when a question was sent: to the store, or to another host,
which tells the age of its own proof.  What waited in a socket while a host
stood still is then no news.
"""

import dataclasses
import enum

__all__ = ['Confirmation', 'Source']

#: Shares of the bound: the age of a proof from which the host that leads, and
#: the others by its word, get a new one; from which any other host is asked;
#: and from which the store is.
RENEW_SHARE = 0.2
ASK_PEERS_SHARE = 0.4
ASK_STORE_SHARE = 0.55
#: Kept free of the bound, in seconds, for clocks that run apart.
MARGIN_S = 0.1
#: Questions without answer that are remembered.
MAX_PENDING_QUERIES = 64
NEVER = float('-inf')


class Source(enum.Enum):
    """Who is to be asked for a proof."""

    NOBODY = 'nobody'
    LEADER = 'leader'
    PEERS = 'others'
    STORE = 'store'


@dataclasses.dataclass(slots=True)
class Confirmation:
    """The proof that one host has.

    All times are of a clock that goes on while the machine is suspended.

    :param bound_s: longest time that a key may be used after it was taken
        away; None if there is no bound
    :ivar proved_s: when the configuration was last known to be the newest
    :ivar questions: when questions to other hosts were sent
    :ivar newest_told: latest version that another host goes by
    """

    bound_s: float | None
    proved_s: float = NEVER
    queries: dict[int, float] = dataclasses.field(default_factory=dict)
    newest_peer_version: int = -1

    def holds(self, now_s: float) -> bool:
        """Whether keys may be used."""
        if self.bound_s is None:
            return True
        return now_s - self.proved_s <= self.bound_s - MARGIN_S

    def source(self, now_s: float, leading: bool) -> Source:
        """Who is to be asked now.

        :param leading: this host asks the store for the others
        """
        if self.bound_s is None:
            return Source.NOBODY
        age = (now_s - self.proved_s) / self.bound_s
        if age < RENEW_SHARE:
            return Source.NOBODY
        if leading or age >= ASK_STORE_SHARE:
            return Source.STORE
        return Source.LEADER if age < ASK_PEERS_SHARE else Source.PEERS

    def record_query(self, nonce: int, now_s: float) -> None:
        """A question is sent to other hosts."""
        self.queries[nonce] = now_s
        while len(self.queries) > MAX_PENDING_QUERIES:
            del self.queries[next(iter(self.queries))]

    def record_reply(
        self, nonce: int, version: int, age_s: float, own_version: int
    ) -> bool:
        """Another host has told its version and the age of its proof.

        :returns: whether it goes by a newer version than this host
        """
        queried_s = self.queries.get(nonce)
        self.newest_peer_version = max(self.newest_peer_version, version)
        if queried_s is not None and age_s >= 0:
            self.record_proof(queried_s - age_s, own_version)
        return version > own_version

    def record_proof(self, at_s: float, own_version: int) -> None:
        """Nobody who was asked knew a newer version at a moment.

        A store that came back from an older copy does not know what other
        hosts go by.
        """
        if own_version >= self.newest_peer_version:
            self.proved_s = max(self.proved_s, at_s)
