"""Keeps the proof that this host's configuration is the newest one."""

import math
import random

import gevent

from magnoliadyke import app
from magnoliadyke import clock as clocks
from magnoliadyke.core import catalog
from magnoliadyke.core import confirmation
from magnoliadyke.gateway import duty_codec
from magnoliadyke.gateway import follower
from magnoliadyke.gateway import keymirror
from magnoliadyke.gateway import members
from magnoliadyke.gateway import placing
from magnoliadyke.gateway import store
from magnoliadyke import logs

__all__ = ['ConfigurationConfirmer']

LOG = logs.get('confirming')

TICK_S = 0.25
#: Hosts that are asked at one time where the one that leads does not answer,
#: beside those that watch the store.
PEERS_ASKED = 1
#: How long a host that starts on a copy of the store waits for the others'
#: word, in seconds.
PEER_REPLY_WAIT_S = 1.0
#: Pause after the store gave no proof, spread by as much again, in seconds.
RETRY_S = 0.3


class ConfigurationConfirmer(app.Component):
    """Asks the store, or other hosts, by the age of the proof.

    Only where routes need the key of a workspace, and keys have to end in
    time.  One host asks the store for all as long as it is reached.

    :param bound_s: see :class:`confirmation.Confirmation`
    :ivar proof: of this host
    :ivar was_held: whether the proof held when last looked at, for the log
    """

    def __init__(
        self,
        bound_s: float | None,
        known: catalog.Catalog,
        decoder: keymirror.Decoder,
        kv_store: store.Store,
        followed: follower.Follower,
        others: members.Members,
        placer: placing.Placer,
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        self.proof = confirmation.Confirmation(bound_s)
        self.catalog = known
        self.decoder = decoder
        self.store = kv_store
        self.follower = followed
        self.members = others
        self.placer = placer
        self.clock = clock
        self.rng = rng
        self.was_held = True
        self.started_s = clock.boot_s()
        self.greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Begin to ask."""
        self.greenlet = gevent.spawn(self._run)

    def stop(self, deadline_s: float) -> None:
        """Ask nobody from now on."""
        if self.greenlet is not None:
            self.greenlet.kill()

    def holds(self) -> bool:
        """Whether this host may let keys be used now."""
        return self.proof.holds(self.clock.boot_s())

    def serves(self) -> bool:
        """Whether this host takes the requests of all routes."""
        return not self.needed() or self.holds()

    def needed(self) -> bool:
        """Whether requests need a proof of this host."""
        configuration = self.catalog.configuration
        return (
            self.proof.bound_s is not None
            and configuration is not None
            and configuration.workspaces is not None
        )

    def _run(self) -> None:
        while True:
            self.clock.sleep(TICK_S)
            if self.needed():
                self._renew()
                self._log_change()

    def _renew(self) -> None:
        now_s = self.clock.boot_s()
        match self.proof.source(now_s, self.placer.leading):
            case confirmation.Source.STORE:
                self._ask_peers(self._sample_peers())
                if self._may_ask_store() and not self._ask_store():
                    self.clock.sleep(RETRY_S * (1 + self.rng.random()))
            case confirmation.Source.PEERS:
                self._ask_peers(self._sample_peers())
            case confirmation.Source.LEADER:
                leader = self.placer.leader
                self._ask_peers([leader] if leader else self._sample_peers())

    def _sample_peers(self) -> list[str]:
        listening = self.members.listening()
        asked = self.rng.sample(listening, min(PEERS_ASKED, len(listening)))
        return list({*asked, *self.members.watchers()})

    def _may_ask_store(self) -> bool:
        """Whether this host has the store in reach, or has to find out.

        While it is away it is looked for by those that follow it, and what
        they read first is a proof.
        """
        if self.placer.leading:
            return True
        return not self.follower.listening and not self.follower.cut_off_s()

    def record_full_read(self, asked_s: float) -> None:
        """All keys were read, and the configuration with them."""
        if not self.needed():
            return
        item = self.follower.mirror.items.get(self.decoder.configuration_key)
        if item is not None:
            self._prove(item, asked_s)

    def _log_change(self) -> None:
        held = self.holds()
        if held is self.was_held:
            return
        self.was_held = held
        age_s = self.clock.boot_s() - self.proof.proved_s
        LOG.event(
            'confirmation',
            holds=held,
            version=self.catalog.configuration.version,
            age_ms=round(age_s * 1000) if math.isfinite(age_s) else 'none',
        )

    # The store.

    def _ask_store(self) -> bool:
        """Read the configuration; False if that proved nothing."""
        asked_s = self.clock.boot_s()
        match self.store.read(self.decoder.configuration_key):
            case store.Item() as item:
                return self._prove(item, asked_s)
        return False

    def _prove(self, item: store.Item, asked_s: float) -> bool:
        """Take the store's configuration for a proof, if it is one."""
        newest = self.decoder.configuration(item.value)
        if isinstance(newest, catalog.UnusableRecord):
            return False
        own_version = self.catalog.configuration.version
        if newest.version > own_version:
            self.follower.behind.set()
            return False
        if item.position.era and not self._has_peer_reply():
            return False
        self.proof.record_proof(asked_s, own_version)
        return True

    def _has_peer_reply(self) -> bool:
        """Whether a host that starts on a copy of the store may trust it.

        The others may go by a newer configuration than the copy has.
        """
        if self.proof.newest_peer_version >= 0 or not self.members.listening():
            return True
        return self.clock.boot_s() - self.started_s >= PEER_REPLY_WAIT_S

    # Other hosts.

    def _ask_peers(self, addresses: list[str]) -> None:
        for address in addresses:
            nonce = self.rng.getrandbits(62)
            self.proof.record_query(nonce, self.clock.boot_s())
            self.placer.send(address, duty_codec.ConfirmationRequest(nonce))

    def handle_request(
        self, request: duty_codec.ConfirmationRequest
    ) -> duty_codec.ConfirmationReply | None:
        """Another host asks for a proof; None if this one can tell nothing.

        One that has no proof tells its version all the same.
        """
        if not self.needed():
            return None
        return duty_codec.ConfirmationReply(
            request.nonce,
            self.catalog.configuration.version,
            self.clock.boot_s() - self.proof.proved_s,
        )

    def handle_reply(self, reply: duty_codec.ConfirmationReply) -> None:
        """Another host has told its proof."""
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
            self.follower.behind.set()
