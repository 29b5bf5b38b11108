"""Proof that a host's configuration is current.

A workspace key that was revoked may not be used for longer than a bound, even
at a host that is cut off.  So a host accepts keys only while it has proof
that its configuration was the newest one within that bound.

A request whose route or key the configuration lacks is denied only with such a
proof as well: another host may know a configuration that allows it.

A proof dates from when the query for it was sent: to the store, or to another
host, which replies with the age of its own proof.  A reply that waited in a
socket while the host was suspended therefore counts with its full age.
"""

import dataclasses
import enum

__all__ = ['Confirmation', 'Source']

#: Ages of a proof, as shares of ``bound_s``: from the first one the leader
#: queries the store and the other hosts query the leader, from the second one
#: a host queries any other host, from the third one the store.
RENEW_SHARE = 0.2
QUERY_PEERS_SHARE = 0.4
QUERY_STORE_SHARE = 0.55
#: Interval between checks of a proof's age, as a share of ``bound_s``, and its
#: maximum in seconds.  A host that takes a proof just before the leader renews
#: it checks at least twice before it may query other hosts.
CHECK_SHARE = 0.05
MAX_CHECK_INTERVAL_S = 0.25
#: Longest age of a proof with which a request is denied, as a share of the
#: time that a configuration may take to be in force.
DENIAL_SHARE = 0.25
#: Margin for clock drift, subtracted from ``bound_s``, in seconds.
MARGIN_S = 0.1
#: Longest age of the proof of another host that knows the configuration, in
#: seconds, if there is no bound.  The reply of a host without one has a larger
#: age.
MAX_PEER_PROOF_AGE_S = 1e6
#: Maximum number of queries kept while they wait for a reply.
MAX_PENDING_QUERIES = 64
NEVER = float('-inf')


class Source(enum.Enum):
    """Whom to query for a proof."""

    NOBODY = 'nobody'
    LEADER = 'leader'
    PEERS = 'others'
    STORE = 'store'


@dataclasses.dataclass(slots=True)
class Confirmation:
    """The proof of one host that its configuration is current.

    All times are of a clock that advances while the machine is suspended.

    :param bound_s: longest time that a key may be used after it was revoked,
        in seconds; None if there is no bound
    :param apply_s: longest time that a configuration may take to be in force,
        in seconds
    :ivar proved_s: when the query of the latest proof was sent
    :ivar queries: when queries to other hosts were sent, by nonce
    :ivar newest_peer_version: newest version reported by another host
    :ivar is_vouched_for: whether another host with a proof has replied
    """

    bound_s: float | None
    apply_s: float
    proved_s: float = NEVER
    queries: dict[int, float] = dataclasses.field(default_factory=dict)
    newest_peer_version: int = -1
    is_vouched_for: bool = False

    def holds(self, now_s: float) -> bool:
        """Return whether the proof is recent enough to accept keys."""
        if self.bound_s is None:
            return True
        return now_s - self.proved_s <= self.bound_s - MARGIN_S

    def allows_denial(self, now_s: float) -> bool:
        """Return whether the proof is recent enough to deny a request."""
        return now_s - self.proved_s <= self.apply_s * DENIAL_SHARE

    @property
    def check_interval_s(self) -> float:
        """Interval between checks of the proof's age, in seconds."""
        if self.bound_s is None:
            return MAX_CHECK_INTERVAL_S
        return min(MAX_CHECK_INTERVAL_S, self.bound_s * CHECK_SHARE)

    def source(self, now_s: float, leading: bool) -> Source:
        """Return whom to query now.

        :param leading: whether this host is the leader, which queries the
            store on behalf of the others
        """
        if self.bound_s is None:
            return Source.NOBODY
        age = (now_s - self.proved_s) / self.bound_s
        if age < RENEW_SHARE:
            return Source.NOBODY
        if leading or age >= QUERY_STORE_SHARE:
            return Source.STORE
        return Source.LEADER if age < QUERY_PEERS_SHARE else Source.PEERS

    def record_query(self, nonce: int, now_s: float) -> None:
        """Record that a query is sent to another host."""
        self.queries[nonce] = now_s
        while len(self.queries) > MAX_PENDING_QUERIES:
            del self.queries[next(iter(self.queries))]

    def record_reply(
        self, nonce: int, version: int, age_s: float, own_version: int
    ) -> bool:
        """Record a reply of another host: its version and its proof's age.

        :returns: whether it has a newer version than this host
        """
        queried_s = self.queries.get(nonce)
        self.newest_peer_version = max(self.newest_peer_version, version)
        if queried_s is not None and age_s >= 0:
            self.record_proof(queried_s - age_s, own_version)
            if age_s <= (self.bound_s or MAX_PEER_PROOF_AGE_S):
                self.is_vouched_for = True
        return version > own_version

    def record_proof(self, at_s: float, own_version: int) -> None:
        """Record that a query found no newer version of the configuration.

        Without effect if another host has reported a newer version: a store
        restored from a backup may not have it.

        :param at_s: when the query was sent, or an earlier time if another
            host sent it
        :param own_version: version that this host uses
        """
        if own_version >= self.newest_peer_version:
            self.proved_s = max(self.proved_s, at_s)
