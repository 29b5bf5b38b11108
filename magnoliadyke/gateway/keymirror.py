"""Local copy of the store's keys, applied to the endpoint catalog."""

import collections
from collections.abc import Container
import math
from typing import Callable

from magnoliadyke import clock as clocks
from magnoliadyke.core import catalog
from magnoliadyke.core import expiredentries
from magnoliadyke.core import position
from magnoliadyke.core import routes
from magnoliadyke.core import staleentries
from magnoliadyke.gateway import store
from magnoliadyke import logs

__all__ = ['Decoder', 'KeyMirror', 'Listener']

LOG = logs.get('keymirror')


class Decoder:
    """Decodes the store's keys and values; implemented by the platform.

    :ivar configuration_key: key of the configuration
    :ivar endpoint_prefix: prefix of the endpoints' keys
    """

    configuration_key: str
    endpoint_prefix: str

    def configuration(
        self, value: bytes
    ) -> routes.Configuration | catalog.UnusableRecord:
        """Decode a configuration, or return why it is not usable."""
        raise NotImplementedError

    def endpoint(
        self, key: str, value: bytes
    ) -> catalog.Endpoint | catalog.UnusableRecord:
        """Decode an endpoint's entry, or return why it is not usable."""
        raise NotImplementedError


class Listener:
    """Receives changes of the gateways' own keys under one prefix."""

    def changed(self, item: store.Item) -> None:
        """Handle a key that was written."""

    def removed(self, key: str) -> None:
        """Handle a key that was removed."""

    def restored(
        self, items: dict[str, store.Item], at: position.Position
    ) -> None:
        """Handle a restore of the store from a backup.

        :param items: keys under the listener's prefix that the backup holds or
            that were written since the restore
        :param at: position as of which the items were read
        """


class KeyMirror:
    """Applies the store's keys to the catalog and to listeners.

    :param endpoint_catalog: catalog that receives the configuration and the
        endpoints
    :param listeners: receive the gateways' own keys, by key, or by a prefix
        of keys that ends with a slash
    :param gone: called with the id of each endpoint that is removed
    :param bound_s: time in which a leaving endpoint must get no more work, in
        seconds
    :ivar items: the store's keys as last applied
    :ivar unusable: number of records that were ignored, by kind
    """

    def __init__(
        self,
        decoder: Decoder,
        endpoint_catalog: catalog.Catalog,
        listeners: dict[str, Listener],
        gone: Callable[[str], None],
        clock: clocks.Clock,
        bound_s: float = math.inf,
    ) -> None:
        self.decoder = decoder
        self.catalog = endpoint_catalog
        self.listeners = listeners
        self.gone = gone
        self.clock = clock
        self.items: dict[str, store.Item] = {}
        self.expired_entries = expiredentries.ExpiredEntries(
            endpoint_catalog, bound_s
        )
        self.stale_entries = staleentries.StaleEntries(endpoint_catalog)
        self.unusable: collections.Counter[str] = collections.Counter()

    def replace(self, items: dict[str, store.Item]) -> None:
        """Apply a complete list of keys; keys that it lacks were removed."""
        before, self.items = self.items, items
        for item in items.values():
            self._apply(item)
        for key in before.keys() - items.keys():
            if not key.startswith(self.decoder.endpoint_prefix):
                self._notify_removed(key)
        self._record_missing(self._unlisted())

    def restored(
        self, items: dict[str, store.Item], at: position.Position
    ) -> None:
        """Apply all keys of a store that was restored from a backup.

        Endpoints that the backup lacks, or holds in an older state, stay as
        this host last recorded them for a grace period, in which they write
        their entries again.

        :param at: position as of which the items were read
        """
        self.items = items
        now_s = self.clock.now_s()
        self.expired_entries.restored(now_s)
        for item in items.values():
            if item.key.startswith(self.decoder.endpoint_prefix):
                self._record_restored(item, now_s)
                self._apply(item)
            elif item.key == self.decoder.configuration_key:
                self._apply(item)
        for prefix, listener in self.listeners.items():
            own = {k: i for k, i in items.items() if _is_under(k, prefix)}
            listener.restored(own, at)
        missing = self._unlisted()
        self._record_missing(missing)
        LOG.event(
            'copy_taken',
            position=at,
            items=len(items),
            unlisted=len(missing),
            passed_over=len(self.stale_entries.entries),
        )

    def listed_in(self, keys: Container[str]) -> set[str]:
        """Return ids of the endpoints whose entries are among the keys."""
        prefix = self.decoder.endpoint_prefix
        return {
            endpoint_id
            for name, endpoint_id in self.catalog.by_name.items()
            if prefix + name in keys
        }

    def _unlisted(self) -> list[str]:
        listed = self.listed_in(self.items)
        return [e for e in self.catalog.by_name.values() if e not in listed]

    def merge_stale_entries(
        self, peer_entries: tuple[staleentries.StaleEntry, ...]
    ) -> None:
        """Ignore the stale entries that another host ignores.

        Only entries that this host holds at the same position are affected.
        """
        for each in peer_entries:
            item = self.items.get(self.decoder.endpoint_prefix + each.name)
            endpoint_id = self.catalog.by_name.get(each.name)
            if item is None or item.position != each.written:
                continue
            if endpoint_id is None:
                continue
            self.stale_entries.merge_peer_entry(each, self.clock.now_s())
            LOG.event(
                'endpoint_passed_over', endpoint=endpoint_id, gone=each.gone
            )
            if each.gone:
                self._drop(endpoint_id)
            else:
                endpoint = self.catalog.endpoints[endpoint_id]
                self.catalog.put(endpoint._replace(leaving=True))

    def _record_restored(self, item: store.Item, now_s: float) -> None:
        endpoint = self.decoder.endpoint(item.key, item.value)
        if isinstance(endpoint, catalog.UnusableRecord):
            return
        self.stale_entries.record_restored(endpoint, item.position, now_s)
        if self.stale_entries.is_stale(endpoint.name, item.position, now_s):
            LOG.event(
                'endpoint_of_copy',
                endpoint=endpoint.id,
                leaving=endpoint.leaving,
                known=endpoint.id in self.catalog.endpoints,
                position=item.position,
            )

    def apply_changes(
        self, changes: tuple[store.Item | store.Removed, ...]
    ) -> None:
        """Apply changes, and start grace periods for removed endpoint entries.

        All entries that the changes remove are judged as one group.  An entry
        that is written after its removal is not missing.

        :param changes: in ascending order of their positions
        """
        missing: dict[str, str] = {}
        for change in changes:
            match change:
                case store.Item(key):
                    self.items[key] = change
                    self._apply(change)
                    missing.pop(key, None)
                case store.Removed(key):
                    self._remove(change, missing)
        self._record_missing(list(missing.values()), was_listed=True)

    def _remove(self, removed: store.Removed, missing: dict[str, str]) -> None:
        """Remove a key.

        :param missing: ids of endpoints whose entries are missing, by key; an
            endpoint of this key is added
        """
        former = self.items.pop(removed.key, None)
        prefix = self.decoder.endpoint_prefix
        if not removed.key.startswith(prefix):
            self._notify_removed(removed.key)
            return
        endpoint_id = self.catalog.by_name.get(
            removed.key.removeprefix(prefix)
        )
        LOG.event(
            'endpoint_entry_removed',
            key=removed.key,
            endpoint=endpoint_id or 'none',
            position=removed.position,
            written=former.position if former else 'none',
        )
        if endpoint_id is not None:
            missing[removed.key] = endpoint_id

    def _apply(self, item: store.Item) -> None:
        if item.key == self.decoder.configuration_key:
            self.configure(item)
        elif item.key.startswith(self.decoder.endpoint_prefix):
            self._put_endpoint(item)
        else:
            self._notify_changed(item)

    def configure(self, item: store.Item) -> None:
        """Apply the configuration key, if it is usable and newer."""
        configuration = self.decoder.configuration(item.value)
        if isinstance(configuration, catalog.UnusableRecord):
            self.unusable['configuration'] += 1
            LOG.throttled_warning(
                'configuration_ignored',
                item.key,
                key=item.key,
                reason=configuration.reason,
                position=item.position,
            )
            return
        if self.catalog.configure(configuration):
            LOG.event(
                'configuration',
                version=configuration.version,
                position=item.position,
                routes=len(configuration.routes),
            )

    def _put_endpoint(self, item: store.Item) -> None:
        endpoint = self.decoder.endpoint(item.key, item.value)
        if isinstance(endpoint, catalog.UnusableRecord):
            self._ignore_endpoint(item, endpoint.reason)
            return
        latest_ms = self.catalog.latest_started_ms(endpoint.name)
        if latest_ms and not endpoint.started_ms:
            self._ignore_endpoint(
                item, 'no start time, unlike an earlier entry'
            )
            return
        if endpoint.started_ms < latest_ms:
            # The entry is of a process that has been replaced.  If it were
            # applied, the state kept for the endpoint would be dropped twice:
            # now, and when the entry of the new process is read again.
            self.unusable['former endpoint'] += 1
            LOG.throttled_warning('endpoint_former', item.key, key=item.key)
            return
        if self.stale_entries.is_stale(
            endpoint.name, item.position, self.clock.now_s()
        ):
            return
        self.expired_entries.record_entry(endpoint.id)
        before = self.catalog.endpoints.get(endpoint.id)
        if before == endpoint:
            return
        former = self.catalog.by_name.get(endpoint.name)
        if former is not None and former != endpoint.id:
            # The new process has none of the former one's cache and requests,
            # and late responses of the former process do not describe it.
            self._forget(former)
        self.catalog.put(endpoint)
        LOG.event(
            'endpoint',
            endpoint=endpoint.id,
            address=endpoint.address,
            leaving=endpoint.leaving,
            stage=endpoint.stage.value or 'none',
            software=endpoint.version or 'none',
            position=item.position,
        )

    def _ignore_endpoint(self, item: store.Item, reason: str) -> None:
        """Ignore an entry that is not usable, and drop its endpoint."""
        self.unusable['endpoint'] += 1
        LOG.throttled_warning(
            'endpoint_ignored',
            item.key,
            key=item.key,
            reason=reason,
            position=item.position,
        )
        name = item.key.removeprefix(self.decoder.endpoint_prefix)
        if name in self.catalog.by_name:
            self._forget(self.catalog.by_name[name])

    def _forget(self, endpoint_id: str) -> None:
        self.expired_entries.record_entry(endpoint_id)
        self._drop(endpoint_id)

    def _notify_changed(self, item: store.Item) -> None:
        for prefix, listener in self.listeners.items():
            if _is_under(item.key, prefix):
                listener.changed(item)

    def _notify_removed(self, key: str) -> None:
        for prefix, listener in self.listeners.items():
            if _is_under(key, prefix):
                listener.removed(key)

    # Endpoints whose entries are missing.

    def _record_missing(
        self, missing: list[str], was_listed: bool = False
    ) -> None:
        """Start grace periods for endpoints whose entries disappeared.

        Endpoints without a grace period are dropped at once.

        :param missing: ids of endpoints whose entries disappeared together
        :param was_listed: whether they were listed until just now
        """
        gone = self.expired_entries.record_missing(
            missing, self.clock.now_s(), was_listed
        )
        for endpoint_id in missing:
            if endpoint_id in self.expired_entries.grace_until_s:
                LOG.event('endpoint_doubted', endpoint=endpoint_id)
        self.drop_all(gone)

    def drop_expired(self) -> None:
        """Drop the endpoints whose grace period is over.

        Entries of a restored store that were ignored as stale, and were not
        written again in time, are applied.
        """
        now_s = self.clock.now_s()
        self.drop_all(self.expired_entries.pop_expired(now_s))
        for name in self.stale_entries.expired_names(now_s):
            item = self.items.get(self.decoder.endpoint_prefix + name)
            if item is None:
                del self.stale_entries.entries[name]
            else:
                self._apply(item)

    def drop_all(self, endpoint_ids: list[str]) -> None:
        """Remove endpoints from the catalog."""
        for endpoint_id in endpoint_ids:
            self._drop(endpoint_id)

    def _drop(self, endpoint_id: str) -> None:
        if self.catalog.remove(endpoint_id) is not None:
            LOG.event('endpoint_gone', endpoint=endpoint_id)
            self.stale_entries.record_removal(endpoint_id, self.clock.now_s())
            self.gone(endpoint_id)


def _is_under(key: str, prefix: str) -> bool:
    return key == prefix or prefix.endswith('/') and key.startswith(prefix)
