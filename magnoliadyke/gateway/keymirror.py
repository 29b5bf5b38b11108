"""The store's keys as this host has taken them."""

import collections
from typing import Callable

from magnoliadyke import clock as clocks
from magnoliadyke.core import catalog
from magnoliadyke.core import lapses
from magnoliadyke.core import routes
from magnoliadyke.gateway import store
from magnoliadyke import logs

__all__ = ['Decoder', 'KeyMirror', 'Listener']

LOG = logs.get('keymirror')


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


class KeyMirror:
    """Takes keys to the catalog and to those that listen to their own.

    :param known: takes the configuration and the endpoints
    :param listeners: take the project's own keys, by prefix
    :param gone: called with the id of each endpoint that is gone
    :ivar items: the keys as they were last taken
    :ivar unusable: records that were not used, by kind
    """

    def __init__(
        self,
        decoder: Decoder,
        known: catalog.Catalog,
        listeners: dict[str, Listener],
        gone: Callable[[str], None],
        clock: clocks.Clock,
    ) -> None:
        self.decoder = decoder
        self.catalog = known
        self.listeners = listeners
        self.gone = gone
        self.clock = clock
        self.items: dict[str, store.Item] = {}
        self.lapses = lapses.Lapses(known)
        self.unusable: collections.Counter[str] = collections.Counter()

    def replace(self, items: dict[str, store.Item]) -> None:
        """Take all keys; those that are not among them are gone."""
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

    def change(self, changes: tuple[store.Item | store.Removed, ...]) -> None:
        """Take changes, all of them at once."""
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
        self.drop_all(gone)

    def settle(self) -> None:
        """Drop the endpoints that did not come back in time."""
        self.drop_all(self.lapses.settle(self.clock.now_s()))

    def drop_all(self, endpoint_ids: list[str]) -> None:
        """These endpoints are gone."""
        for endpoint_id in endpoint_ids:
            self._drop(endpoint_id)

    def _drop(self, endpoint_id: str) -> None:
        if self.catalog.remove(endpoint_id) is not None:
            LOG.event('endpoint_gone', endpoint=endpoint_id)
            self.gone(endpoint_id)
