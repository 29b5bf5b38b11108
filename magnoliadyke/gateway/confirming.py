"""Renews the proof that this host's configuration is current."""

import json
import math
import random

import gevent

from magnoliadyke import app
from magnoliadyke import clock as clocks
from magnoliadyke.core import catalog
from magnoliadyke.core import confirmation
from magnoliadyke.core import position
from magnoliadyke.gateway import duty_codec
from magnoliadyke.gateway import fields
from magnoliadyke.gateway import follower
from magnoliadyke.gateway import keymirror
from magnoliadyke.gateway import members
from magnoliadyke.gateway import placementservice
from magnoliadyke.gateway import store
from magnoliadyke import logs

__all__ = ['ERA_KEY', 'ConfigurationConfirmer']

LOG = logs.get('confirming')

#: Key that names the era in which the store has the newest configuration.
ERA_KEY = 'magnoliadyke/configuration-era'
#: Number of random peers to query at once when the leader does not reply, in
#: addition to the hosts that watch the store.
PEERS_ASKED = 1
#: How long a host that starts on a restored store waits for a peer that knows
#: the configuration, or for the operator to write it again, in seconds.  Hosts
#: register again within a second of the restore, and a busy machine takes a
#: second or two to answer.
RESTORED_WAIT_S = 3.0
#: Longest wait for the store's answer before a request is refused rather than
#: denied, in seconds.
DENIAL_PROOF_WAIT_S = 0.4
#: Shortest pause after a query to the store gave no proof, in seconds; jitter
#: adds up to as much again.
RETRY_S = 0.3


class ConfigurationConfirmer(app.Component, keymirror.Listener):
    """Queries the store or other hosts, depending on the age of the proof.

    It does so only if routes require a workspace key and a revoked key must
    stop working within a bound.  The leader queries the store on behalf of
    all hosts that can reach it.

    :param bound_s: longest time that a key may be used after it was revoked,
        in seconds; None if there is no bound
    :param apply_s: longest time that a configuration may take to be in force,
        in seconds
    :ivar proof: this host's proof that its configuration is current
    :ivar is_first_start: whether the whole deployment starts for the first
        time, so that no process knew another configuration
    :ivar trusted_era: era of the store that is known to have the newest
        configuration, None before one is
    :ivar recorded_era: era that the store says has it
    :ivar restored_at: position of the first read in an era not trusted yet
    :ivar restored_s: time of that read, in seconds of the boot clock; infinite
        before
    :ivar denial_read: latest read of the store for the denial of a request
    :ivar was_valid: whether the proof was valid at the last check, to log
        changes only
    """

    def __init__(
        self,
        bound_s: float | None,
        apply_s: float,
        endpoint_catalog: catalog.Catalog,
        decoder: keymirror.Decoder,
        kv_store: store.Store,
        followed: follower.Follower,
        others: members.Members,
        placement_service: placementservice.PlacementService,
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        self.proof = confirmation.Confirmation(bound_s, apply_s)
        self.catalog = endpoint_catalog
        self.decoder = decoder
        self.store = kv_store
        self.follower = followed
        self.members = others
        self.placement_service = placement_service
        self.clock = clock
        self.rng = rng
        self.denial_read: gevent.Greenlet | None = None
        self.was_valid = True
        self.is_first_start = False
        self.trusted_era: int | None = None
        self.recorded_era: int | None = None
        self.restored_at = position.START
        self.restored_s = math.inf
        self.greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start to renew the proof that the configuration is current."""
        self.greenlet = gevent.spawn(self._run)

    def stop(self, deadline_s: float) -> None:
        """Stop renewing the proof that the configuration is current."""
        if self.greenlet is not None:
            self.greenlet.kill()

    def is_proof_valid(self) -> bool:
        """Whether this host's configuration is proven to be current.

        Workspace keys are accepted only with a proof that is recent enough.
        """
        return self.proof.holds(self.clock.boot_s())

    def can_serve_all_routes(self) -> bool:
        """Whether this host can serve the requests of all routes."""
        return not self.is_proof_required() or self.is_proof_valid()

    def prove_for_denial(self) -> bool:
        """Prove that the configuration is current, to deny a request by it.

        Reads the store if the proof is not recent; requests that come
        meanwhile share the read.  A newer configuration is applied.

        :returns: whether there is a proof
        """
        if self.proof.allows_denial(self.clock.boot_s()):
            return True
        if self.denial_read is None or self.denial_read.ready():
            if self.proof.newest_peer_version < 0 or not self._is_trusted():
                self._ask_peers(self._sample_peers())
            self.denial_read = gevent.spawn(self._ask_store)
        self.denial_read.join(DENIAL_PROOF_WAIT_S)
        return self.proof.allows_denial(self.clock.boot_s())

    def is_proof_required(self) -> bool:
        """Whether requests with workspace keys require a valid proof."""
        configuration = self.catalog.configuration
        return (
            self.proof.bound_s is not None
            and configuration is not None
            and configuration.workspaces is not None
        )

    def _run(self) -> None:
        while True:
            self.clock.sleep(self.proof.check_interval_s)
            if self.is_proof_required():
                self._renew()
                self._log_change()
            if self.placement_service.leading:
                self._record_era()

    def _renew(self) -> None:
        now_s = self.clock.boot_s()
        match self.proof.source(now_s, self.placement_service.leading):
            case confirmation.Source.STORE:
                self._ask_peers(self._sample_peers())
                if self._may_ask_store() and not self._ask_store():
                    self.clock.sleep(RETRY_S * (1 + self.rng.random()))
            case confirmation.Source.PEERS:
                self._ask_peers(self._sample_peers())
            case confirmation.Source.LEADER:
                leader = self.placement_service.leader
                self._ask_peers([leader] if leader else self._sample_peers())

    def _sample_peers(self) -> list[str]:
        addresses = self.members.reachable_addresses()
        asked = self.rng.sample(addresses, min(PEERS_ASKED, len(addresses)))
        return list({*asked, *self.members.watcher_addresses()})

    def _may_ask_store(self) -> bool:
        """Whether this host should query the store for a proof.

        The leader always does.  Another host does only if it watches the
        store itself and reaches it.  During an outage its follower retries
        the store anyway, and the first successful read is a proof.
        """
        if self.placement_service.leading:
            return True
        return (
            not self.follower.is_following_peers
            and not self.follower.unreachable_s()
        )

    def record_full_read(self, asked_s: float) -> None:
        """Take a full read of the store as a proof.

        :param asked_s: when the read was sent, in seconds of the boot clock
        """
        item = self.follower.mirror.items.get(self.decoder.configuration_key)
        if item is not None:
            self._prove(item, asked_s)

    def _log_change(self) -> None:
        is_valid = self.is_proof_valid()
        if is_valid is self.was_valid:
            return
        self.was_valid = is_valid
        age_s = self.clock.boot_s() - self.proof.proved_s
        LOG.event(
            'confirmation',
            holds=is_valid,
            version=self.catalog.configuration.version,
            age_ms=round(age_s * 1000) if math.isfinite(age_s) else 'none',
        )

    # Queries to the store.

    def _ask_store(self) -> bool:
        """Read the configuration from the store.

        :returns: whether the read renewed the proof
        """
        asked_s = self.clock.boot_s()
        match self.store.read(self.decoder.configuration_key):
            case store.Item() as item:
                return self._prove(item, asked_s)
        return False

    def _prove(self, item: store.Item, asked_s: float) -> bool:
        """Renew the proof; apply the store's configuration if it is newer.

        The follower then reads the other keys that it has missed.

        :param asked_s: when the read was sent, in seconds of the boot clock
        :returns: whether the proof was renewed
        """
        newest = self.decoder.configuration(item.value)
        if isinstance(newest, catalog.UnusableRecord):
            return False
        if newest.version > self.catalog.configuration.version:
            self.follower.mirror.configure(item)
            self.follower.reread_needed.set()
        if not self._trusts(item):
            return False
        self.proof.record_proof(asked_s, self.catalog.configuration.version)
        return True

    # Restores of the store.

    def _trusts(self, item: store.Item) -> bool:
        """Whether the store has a configuration as new as any process knew.

        A restored store may not, until the operator has written again.  A
        process that has just started knows of no newer one either.

        :param item: configuration as the store has it
        """
        era = item.position.era
        if not era or era == self.trusted_era:
            return True
        read = self.follower.lag.own_position
        if read.era != era:
            return False
        if self.restored_at.era != era:
            self.restored_at = read
            self.restored_s = self.clock.boot_s()
            self.proof.is_vouched_for = False
        reason = self._reason_to_trust(item)
        if reason is None:
            return False
        self.trusted_era = era
        LOG.event('configuration_era', era=era, by=reason)
        return True

    def _reason_to_trust(self, item: store.Item) -> str | None:
        has_just_started = self.trusted_era is None
        if self.recorded_era == item.position.era:
            return 'record'
        if self.proof.is_vouched_for:
            return 'another host'
        if not has_just_started and self.is_proof_valid():
            return 'own proof'
        if has_just_started and self.is_first_start:
            return 'first start'
        if item.position > self.restored_at:
            return 'written again'
        if self.clock.boot_s() - self.restored_s >= RESTORED_WAIT_S:
            return 'waited'
        return None

    def _is_trusted(self) -> bool:
        """Whether the store is trusted in the era that this host has read."""
        era = self.follower.lag.own_position.era
        return not era or era == self.trusted_era

    def _record_era(self) -> None:
        """Tell processes that start later in the era to trust the store.

        The operator has written again by then what the store had lost.
        """
        era = self.follower.lag.own_position.era
        item = self.follower.mirror.items.get(self.decoder.configuration_key)
        if (
            not era
            or era != self.trusted_era
            or era == self.recorded_era
            or self.follower.unreachable_s()
            or self.clock.boot_s() - self.restored_s < RESTORED_WAIT_S
            or item is None
        ):
            return
        stored = self.decoder.configuration(item.value)
        if (
            isinstance(stored, catalog.UnusableRecord)
            or stored.version < self.catalog.configuration.version
        ):
            return
        put = store.Put(ERA_KEY, json.dumps({'era': era}).encode())
        match self.store.commit({}, (put,)):
            case store.Written():
                self.recorded_era = era
                LOG.event('configuration_era_recorded', era=era)
            case _:
                self.clock.sleep(RETRY_S * (1 + self.rng.random()))

    def changed(self, item: store.Item) -> None:
        """Take the era in which the store has the newest configuration."""
        try:
            found = fields.parse_object(item.value)
            self.recorded_era = fields.read_integer(found, 'era', 0)
        except fields.BadField as error:
            LOG.throttled_warning(
                'configuration_era_ignored',
                item.key,
                key=item.key,
                error=str(error),
                position=item.position,
            )

    def restored(
        self, items: dict[str, store.Item], at: position.Position
    ) -> None:
        """Take what the store names after a restore, an earlier era."""
        for item in items.values():
            self.changed(item)

    # Queries between hosts.

    def _ask_peers(self, addresses: list[str]) -> None:
        for address in addresses:
            nonce = self.rng.getrandbits(62)
            self.proof.record_query(nonce, self.clock.boot_s())
            self.placement_service.send(
                address, duty_codec.ConfirmationRequest(nonce)
            )

    def handle_request(
        self, request: duty_codec.ConfirmationRequest
    ) -> duty_codec.ConfirmationReply | None:
        """Return the reply to a query for a proof, None if not configured yet.

        A host without a proof still replies, with its version.
        """
        if self.catalog.configuration is None:
            return None
        return duty_codec.ConfirmationReply(
            request.nonce,
            self.catalog.configuration.version,
            self.clock.boot_s() - self.proof.proved_s,
        )

    def handle_reply(self, reply: duty_codec.ConfirmationReply) -> None:
        """Record the version and the proof's age that a peer replied with."""
        configuration = self.catalog.configuration
        if configuration is None:
            return
        nonce, version, age_s = reply
        if self.proof.record_reply(
            nonce, version, age_s, configuration.version
        ):
            LOG.event(
                'configuration_behind',
                version=configuration.version,
                told=version,
            )
            self.follower.reread_needed.set()
