"""Keeps the catalog, the hosts and the leader as the store has them."""

import abc
import collections
import random
from typing import Any
from typing import Callable

import gevent
from gevent import event

from magnoliadyke import app
from magnoliadyke import clock as clocks
from magnoliadyke.core import catalog
from magnoliadyke.core import lapses
from magnoliadyke.core import revisionlag
from magnoliadyke.core import routes
from magnoliadyke.gateway import news
from magnoliadyke.gateway import peerstate
from magnoliadyke.gateway import placing_codec
from magnoliadyke.gateway import store
from magnoliadyke import logs

__all__ = ['Decoder', 'Follower', 'Listener', 'Others']

LOG = logs.get('follower')

#: Longest wait of one watch.  The connection's own probes notice one that
#: went silent; the end of the wait notices a store that holds it open and
#: tells nothing.
WATCH_S = 3.0
#: Pause between two watches: changes that come together are told together,
#: which saves most of the calls while a fleet starts.  Well inside the
#: shortest time in which a change has to be in force (2 s).
GATHER_S = 0.4
#: Pause after a failure, spread by as much again; it doubles in a row, as
#: each call of each host is counted also while the store is away, up to a
#: pause after which a change is still in force inside the shortest time.
RETRY_S = 0.25
MAX_RETRY_S = 0.7
#: Longest wait of a watch while entries are doubted, in seconds.
DOUBT_WATCH_S = 0.2
#: Shares of the shortest time in which a change has to be in force: how long
#: the store may take to tell what other hosts know, and how long a new read
#: of it may take before another host is asked.  A change reaches the others
#: within GATHER_S and their word of it within a second, which leaves a tenth.
LAG_SHARE = 0.15
READ_SHARE = 0.1
#: How often this host compares itself with the others, in seconds.
LAG_TICK_S = 0.1
#: Hosts that are asked what they have seen, until one can tell.
ASKED = 3
#: More such shares: hosts that watch tell the others at least this often, and
#: one that has not heard of them twice watches by itself.
NEWS_SHARE = 0.15
NEWS_LOST_SHARE = 0.35
#: How often a host that does not watch looks what it has missed, in seconds.
LISTEN_TICK_S = 0.1
#: Hosts that have missed the same change read it spread over this time, in
#: seconds.
MISSED_SPREAD_S = 0.2
#: What a host that never lost the store says of how long it has had it.
MAX_IN_REACH_S = 3600.0


class Decoder:
    """What the store's keys and values mean; given by the platform."""

    configuration_key: str
    endpoint_prefix: str

    def configuration(
        self, value: bytes
    ) -> routes.Configuration | catalog.UnusableRecord:
        """Decode a configuration."""
        raise NotImplementedError

    def endpoint(
        self, key: str, value: bytes
    ) -> catalog.Endpoint | catalog.UnusableRecord:
        """Decode an endpoint's entry."""
        raise NotImplementedError


class Listener:
    """Who wants to hear of the project's own keys."""

    def changed(self, item: store.Item) -> None:
        """A key was written."""

    def removed(self, key: str) -> None:
        """A key is gone."""


class Others(abc.ABC):
    """The other hosts, which follow the same store."""

    @abc.abstractmethod
    def peers(self, first: str) -> list[str]:
        """Addresses of those that are thought to run.

        :param first: name of the host that comes first; the others come in
            any order
        """

    @abc.abstractmethod
    def tell_revision(self, revision: int) -> None:
        """Tell them up to where this host has seen the store's keys."""

    @abc.abstractmethod
    def watches(self) -> bool:
        """Whether this host is one of those that watch the store."""

    @abc.abstractmethod
    def tell_news(self, told: list[placing_codec.News]) -> None:
        """Tell changes to those that don't; a host that watches does so."""


class Follower(app.Component):
    """Reads everything once, then watches.

    One watch for all keys: each watch is a call that is counted.  In a large
    fleet a few hosts of each failure domain watch and tell the others, which
    read only what they have missed.

    What other hosts have seen earlier makes it read anew, and is taken from
    them where the store does not answer.

    :param host: name of this host
    :param gone: called with the id of each endpoint that is gone
    :param bound_s: shortest time in which a change has to be in force
    :ivar others: the other hosts, None for one that is alone
    :ivar unusable: records that were not used, by kind
    :ivar items: the store's keys, as of ``lag.own``
    :ivar eager: whether this host watches though others would tell it
    :ivar listening: it goes by what others tell
    :ivar news_s: when one that watches last told something
    :ivar caught_up: times that this host was behind, by what ended it
    """

    def __init__(
        self,
        host: str,
        kept: store.Store,
        decoder: Decoder,
        known: catalog.Catalog,
        listeners: dict[str, Listener],
        gone: Callable[[str], None],
        clock: clocks.Clock,
        rng: random.Random,
        bound_s: float,
        others: Others | None = None,
    ) -> None:
        self.host = host
        self.store = kept
        self.decoder = decoder
        self.catalog = known
        self.listeners = listeners
        self.gone = gone
        self.clock = clock
        self.rng = rng
        self.bound_s = bound_s
        self.others = others
        self.unusable: collections.Counter[str] = collections.Counter()
        self.caught_up: collections.Counter[str] = collections.Counter()
        self.failures = 0
        self.failing_since_s: float | None = None
        self.failed_since_s = 0.0
        self.regained_s = float('-inf')
        self.lapses = lapses.Lapses(known)
        self.lag = revisionlag.RevisionLag(bound_s * LAG_SHARE)
        self.items: dict[str, store.Item] = {}
        self.behind = event.Event()
        self.eager: Callable[[], bool] = lambda: False
        self.listening = False
        self.missed = False
        self.news_s = float('-inf')
        self.told_s = float('-inf')
        self.greenlets: list[gevent.Greenlet] = []
        self.watch_s = WATCH_S

    def start(self) -> None:
        """Begin to follow."""
        self.greenlets = [
            gevent.spawn(self._run),
            gevent.spawn(self._compare),
        ]

    def stop(self, deadline_s: float) -> None:
        """Stop following."""
        gevent.killall(self.greenlets)

    def cut_off_s(self) -> float:
        """For how long the store has been out of reach; 0 if it isn't."""
        if self.failing_since_s is None:
            return 0.0
        return self.clock.now_s() - self.failing_since_s

    def in_reach_s(self) -> float:
        """For how long the store has been in reach; 0 if it isn't."""
        if self.failing_since_s is not None:
            return 0.0
        return self.clock.now_s() - self.regained_s

    def state(self, known_revision: int) -> peerstate.PeerState:
        """What this host has seen, for one that asks.

        :param known_revision: items up to it are left out
        """
        in_reach = (
            self.failing_since_s is None
            and self.lag.own > 0
            and not self.listening
        )
        return peerstate.PeerState(
            tuple(
                item
                for item in self.items.values()
                if item.revision > known_revision
            ),
            {key: item.revision for key, item in self.items.items()},
            self.lag.own,
            min(self.in_reach_s(), MAX_IN_REACH_S) if in_reach else None,
            self.lapses.regained_ago_s(self.clock.now_s()),
        )

    # The store.

    def _run(self) -> None:
        while True:
            if self._read_all():
                while self._follow():
                    pass
                if self.behind.is_set():
                    continue
            pause_s = min(MAX_RETRY_S, RETRY_S * 2 ** min(self.failures, 4))
            self.clock.sleep(pause_s * (1 + self.rng.random()))

    def _read_all(self) -> bool:
        found = self.store.list_prefix('')
        if isinstance(found, store.Unavailable):
            self._failed(found.reason)
            return False
        self._answered()
        self._take_all({i.key: i for i in found.items}, found.revision)
        return True

    def _follow(self) -> bool:
        self.listening = self._may_listen()
        return self._listen() if self.listening else self._watch()

    def _may_listen(self) -> bool:
        """Whether this host hears of changes without a watch of its own."""
        if self.others is None or self.eager() or self.others.watches():
            return False
        return (
            self.clock.now_s() - self.news_s < self.bound_s * NEWS_LOST_SHARE
        )

    def _listen(self) -> bool:
        """Wait for word of others; False where all has to be read anew."""
        self.clock.sleep(LISTEN_TICK_S)
        self._drop_all(self.lapses.settle(self.clock.now_s()))
        if not self.missed and not self.behind.is_set():
            return True
        self.behind.clear()
        self.clock.sleep(MISSED_SPREAD_S * self.rng.random())
        return self._read_missed()

    def _read_missed(self) -> bool:
        """Read the changes that nobody has told, without waiting for more."""
        self.missed = False
        revision = self.lag.own
        match self.store.watch('', revision, 0.0):
            case store.Changes(changes, new_revision):
                self._answered()
                if revision == self.lag.own:
                    self._take(changes)
                    self._seen(new_revision)
                return True
            case store.Unavailable(reason):
                self._failed(reason)
        return False

    def _watch(self) -> bool:
        """Take the next changes; False where all has to be read anew."""
        self.lag.asks(self.clock.now_s() + GATHER_S)
        self.clock.sleep(GATHER_S)
        self._drop_all(self.lapses.settle(self.clock.now_s()))
        wait_s = self.watch_s
        if self.lapses.doubted:
            wait_s = min(wait_s, DOUBT_WATCH_S)
        revision = self.lag.own
        match self._watch_unless_behind(revision, wait_s):
            case store.Changes(changes, new_revision):
                self._answered()
                if revision == self.lag.own:
                    self._take(changes)
                    self._seen(new_revision)
                    self._tell(revision, changes)
                return True
            case store.Compacted():
                LOG.warning_event('watch_compacted', revision=revision)
            case store.Unavailable(reason):
                self._failed(reason)
            case None:
                LOG.warning_event('watch_given_up', revision=revision)
        return False

    def _watch_unless_behind(self, revision: int, wait_s: float) -> Any:
        """Watch, but no longer than until this host is found to be behind.

        A watch that the store holds open and that tells nothing would else
        be waited for to its end, longer than a change may take.

        :returns: the watch's outcome, None if it was given up
        """
        self.behind.clear()
        call = gevent.spawn(self.store.watch, '', revision, wait_s)
        try:
            gevent.wait([call, self.behind], count=1)
            return call.get() if call.ready() else None
        finally:
            call.kill()

    def _take_all(self, items: dict[str, store.Item], revision: int) -> None:
        """Take all keys as of a revision, unless newer ones are known.

        An answer of the store that was under way while another host told of
        later changes would take them back.
        """
        if revision < self.lag.own:
            return
        before, self.items = self.items, items
        for item in items.values():
            self._apply(item)
        endpoint_prefix = self.decoder.endpoint_prefix
        for key in before.keys() - items.keys():
            if not key.startswith(endpoint_prefix):
                self._remove_own(key)
        missing = [
            endpoint_id
            for name, endpoint_id in self.catalog.by_name.items()
            if endpoint_prefix + name not in items
        ]
        self._lose(missing)
        self._seen(revision)

    def _seen(self, revision: int) -> None:
        self.lag.seen(revision)
        if self.others is not None:
            self.others.tell_revision(self.lag.own)

    def _take(self, changes: tuple[store.Item | store.Removed, ...]) -> None:
        missing = []
        prefix = self.decoder.endpoint_prefix
        for change in changes:
            match change:
                case store.Item(key):
                    self.items[key] = change
                    self._apply(change)
                case store.Removed(key):
                    self.items.pop(key, None)
                    if not key.startswith(prefix):
                        self._remove_own(key)
                        continue
                    name = key.removeprefix(prefix)
                    if name in self.catalog.by_name:
                        missing.append(self.catalog.by_name[name])
        returned = {
            self.catalog.by_name.get(change.key.removeprefix(prefix))
            for change in changes
            if isinstance(change, store.Item)
        }
        self._lose([each for each in missing if each not in returned])

    # Other hosts.

    def heard(self, host: str, revision: int) -> None:
        """Another host has told up to where it has seen the keys.

        Those that tell this one what has changed may pause as long as any
        host that watches.
        """
        at_s = self.clock.now_s()
        if self.listening:
            at_s += GATHER_S
        self.lag.hear(host, revision, at_s)

    def heard_news(self, told: placing_codec.News) -> None:
        """A host that watches the store tells what it has seen."""
        now_s = self.clock.now_s()
        self.news_s = now_s
        if not self.listening:
            return
        self.lapses.regained_with(told.regained_s, now_s)
        if told.revision <= self.lag.own:
            return
        if told.base > self.lag.own or not told.complete:
            self.missed = True
            return
        self._take(tuple(c for c in told.changes if c.revision > self.lag.own))
        self._seen(told.revision)

    def _tell(
        self,
        base: int,
        changes: tuple[store.Item | store.Removed, ...] = (),
    ) -> None:
        """Tell the hosts that do not watch, if this one is to."""
        if self.others is None:
            return
        if not self.eager() and not self.others.watches():
            return
        now_s = self.clock.now_s()
        self.told_s = now_s
        regained_s = self.lapses.regained_ago_s(now_s)
        self.others.tell_news(
            news.cut(self.host, base, self.lag.own, changes, regained_s)
        )

    def _tell_on(self) -> None:
        """Tell that nothing has changed, as long as the store is there."""
        if self.listening or self.failing_since_s is not None:
            return
        if self.clock.now_s() - self.told_s >= self.bound_s * NEWS_SHARE:
            self._tell(self.lag.own)

    def _compare(self) -> None:
        """See to it that this host knows what the others know."""
        while True:
            self.clock.sleep(LAG_TICK_S)
            self._tell_on()
            in_reach = self.failing_since_s is None
            behind = self.lag.behind(self.clock.now_s(), in_reach)
            if behind is not None:
                self._catch_up(behind)
            if self.lapses.asks_others():
                self._explain_outage()

    def _catch_up(self, behind: revisionlag.Behind) -> None:
        """Have the store read anew, or else ask other hosts."""
        LOG.warning_event(
            'behind',
            revision=self.lag.own,
            told=behind.revision,
            by=behind.host,
            for_s=round(behind.for_s, 3),
        )
        if self.failing_since_s is None:
            self.behind.set()
            self.clock.sleep(self.bound_s * READ_SHARE)
        source = 'store'
        if self.lag.own < behind.revision:
            told = self._take_from_others(behind.host)
            source = 'host' if told else 'nobody'
        self.caught_up[source] += 1
        LOG.event('caught_up', source=source, revision=self.lag.own)
        if source == 'nobody':
            self.clock.sleep(self.bound_s * LAG_SHARE)

    def _asked(self, first: str) -> list[str]:
        if self.others is None:
            return []
        return self.others.peers(first)[:ASKED]

    def _take_from_others(self, host: str) -> bool:
        """Take what another host has seen; False if none can tell."""
        for address in self._asked(host):
            state = peerstate.fetch(address, self.lag.own)
            if state is None or state.revision <= self.lag.own:
                continue
            items = self.items | {item.key: item for item in state.items}
            if not state.revisions.keys() <= items.keys():
                LOG.warning_event('state_incomplete', told_by=address)
                continue
            items = {key: items[key] for key in state.revisions}
            self.lapses.regained_with(state.regained_s, self.clock.now_s())
            self._take_all(items, state.revision)
            return True
        return False

    def _explain_outage(self) -> None:
        """Ask other hosts whether they had the last outage too."""
        alone = False
        for address in self._asked(''):
            state = peerstate.fetch(address, self.lag.own)
            for_s = self.clock.now_s() - self.failed_since_s
            alone = state is not None and (state.in_reach_s or 0.0) > for_s
            if alone:
                break
        LOG.event('outage_explained', alone=alone)
        self._drop_all(self.lapses.explained(alone))

    # Single keys.

    def _apply(self, item: store.Item) -> None:
        if item.key == self.decoder.configuration_key:
            self._configure(item)
        elif item.key.startswith(self.decoder.endpoint_prefix):
            self._put_endpoint(item)
        else:
            self._put_own(item)

    def _configure(self, item: store.Item) -> None:
        configuration = self.decoder.configuration(item.value)
        if isinstance(configuration, catalog.UnusableRecord):
            self.unusable['configuration'] += 1
            LOG.warning_event(
                'configuration_ignored',
                reason=configuration.reason,
                revision=item.revision,
            )
            return
        if self.catalog.configure(configuration):
            LOG.event(
                'configuration',
                version=configuration.version,
                revision=item.revision,
                routes=len(configuration.routes),
            )

    def _put_endpoint(self, item: store.Item) -> None:
        endpoint = self.decoder.endpoint(item.key, item.value)
        if isinstance(endpoint, catalog.UnusableRecord):
            self._ignore_endpoint(item, endpoint.reason)
            return
        latest_ms = self.catalog.latest_born_ms(endpoint.name)
        if latest_ms and not endpoint.born_ms:
            self._ignore_endpoint(item, 'it does not say when it began')
            return
        if endpoint.born_ms < latest_ms:
            # Of a process that has been replaced.  Taken for the present
            # one, all that is known would go twice: now, and when the new
            # entry is seen again.
            self.unusable['former endpoint'] += 1
            LOG.repeated('endpoint_former', item.key, key=item.key)
            return
        self.lapses.listed(endpoint.id)
        before = self.catalog.endpoints.get(endpoint.id)
        if before == endpoint:
            return
        former = self.catalog.by_name.get(endpoint.name)
        if former is not None and former != endpoint.id:
            # It holds and knows nothing of before, and what is still to come
            # of its former process says nothing of it.
            self._forget(former)
        self.catalog.put(endpoint)
        LOG.event(
            'endpoint',
            endpoint=endpoint.id,
            address=endpoint.address,
            leaving=endpoint.leaving,
            stage=endpoint.stage.value or 'none',
            revision=item.revision,
        )

    def _ignore_endpoint(self, item: store.Item, reason: str) -> None:
        """An entry that names no endpoint to use; the others hold."""
        self.unusable['endpoint'] += 1
        LOG.repeated(
            'endpoint_ignored',
            item.key,
            key=item.key,
            reason=reason,
            revision=item.revision,
        )
        name = item.key.removeprefix(self.decoder.endpoint_prefix)
        if name in self.catalog.by_name:
            self._forget(self.catalog.by_name[name])

    def _forget(self, endpoint_id: str) -> None:
        self.lapses.listed(endpoint_id)
        self._drop(endpoint_id)

    def _put_own(self, item: store.Item) -> None:
        for prefix, listener in self.listeners.items():
            if item.key.startswith(prefix):
                listener.changed(item)

    def _remove_own(self, key: str) -> None:
        for prefix, listener in self.listeners.items():
            if key.startswith(prefix):
                listener.removed(key)

    # Endpoints that are no longer listed.

    def _lose(self, missing: list[str]) -> None:
        """Endpoints have vanished from the list, together."""
        gone = self.lapses.lost(missing, self.clock.now_s())
        for endpoint_id in missing:
            if endpoint_id in self.lapses.doubted:
                LOG.event('endpoint_doubted', endpoint=endpoint_id)
        self._drop_all(gone)

    def _drop_all(self, endpoint_ids: list[str]) -> None:
        for endpoint_id in endpoint_ids:
            self._drop(endpoint_id)

    def _drop(self, endpoint_id: str) -> None:
        if self.catalog.remove(endpoint_id) is not None:
            LOG.event('endpoint_gone', endpoint=endpoint_id)
            self.gone(endpoint_id)

    # Whether the store is there.

    def _answered(self) -> None:
        now_s = self.clock.now_s()
        self.catalog.checked_s = now_s
        self.failures = 0
        if self.failing_since_s is not None:
            LOG.event('store_regained', after_s=now_s - self.failing_since_s)
            self.failed_since_s = self.failing_since_s
            self.failing_since_s = None
            self.regained_s = now_s
            self.lapses.regained(now_s)

    def _failed(self, reason: str) -> None:
        self.failures += 1
        if self.failing_since_s is None:
            self.failing_since_s = self.clock.now_s()
            LOG.warning_event('store_lost', reason=reason)
