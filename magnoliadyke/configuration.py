"""The task that owns this node's copy of the table document."""

import typing

import gevent

from magnoliadyke.core import freshness
from magnoliadyke.core import membership
from magnoliadyke.core import table
from magnoliadyke import edits
from magnoliadyke import errors
from magnoliadyke import gossip as gossips
from magnoliadyke import keyvalue as keyvalues
from magnoliadyke import logs
from magnoliadyke import mailbox
from magnoliadyke import tablemessages
from magnoliadyke import tablewatch

__all__ = ['Configuration', 'WorkPermit']

TICK_INTERVAL_S = 0.1
#: A starting node listens this long for peers that have a table.
JOIN_S = 1.0
#: The watch brings a newer table within milliseconds; a peer is asked when
#: it has not come after this long.
FETCH_AFTER_S = 0.25
FETCH_INTERVAL_S = 0.5
READ_INTERVAL_S = 0.5
#: The node that took an edit accepts it. When that node is gone another one
#: does, after this long and a random part of it.
ACCEPT_FOR_OTHERS_S = 2.0
#: Nodes that find an older table in the store spread out over this long;
#: the first one mends it for all.
RESTORE_SPREAD_S = 1.0
DOCUMENT_TIMEOUT_S = 2.0

INITIAL_EDIT = 'initial'
INITIAL_AUTHOR = 'settings'

LOG = logs.get('configuration')


class WorkPermit(typing.NamedTuple):
    """Whether this node may take new work, and why not.

    :param reason: '' when it may; 'no_table', 'isolated'
    """

    allowed: bool
    reason: str = ''


class PeerRead(typing.NamedTuple):
    """What a peer answered; ``text`` is None when it had nothing newer."""

    text: str | None


class Configuration(mailbox.Task):
    """Owns this node's copy of the table document.

    Topics: ``views`` (:class:`magnoliadyke.core.table.View`, each newer one),
    ``permits`` (:class:`WorkPermit`) and ``documents``
    (:class:`magnoliadyke.edits.Held`). Answers ``EditCells``,
    ``ShowTable`` and ``History`` of :mod:`magnoliadyke.tablemessages`.

    :param settings: the deployment's settings
    :param host: name of this host
    :param clock: a :class:`magnoliadyke.clock.Clock`
    :param rng: source of randomness
    :param keyvalue: a :class:`magnoliadyke.keyvalue.KeyValue`
    :param gossip: the :class:`magnoliadyke.gossip.Gossip` of this node
    :param peers: a :class:`magnoliadyke.peer.PeerClients`
    """

    tick_interval_s = TICK_INTERVAL_S

    def __init__(self, settings, host, clock, rng, keyvalue, gossip, peers):
        super().__init__('configuration', clock)
        self.settings = settings
        self.host = host
        self.rng = rng
        self.keyvalue = keyvalue
        self.gossip = gossip
        self.peers = peers
        self.inventory = inventory_of(settings)
        self.views = mailbox.Topic()
        self.permits = mailbox.Topic(WorkPermit(False, 'no_table'))
        self.documents = mailbox.Topic(edits.Held())
        self.standing = gossips.Standing(clock.now_s())
        self.members = membership.MembersView({})
        self.watch = tablewatch.TableWatch(self, keyvalue, clock, rng)
        self.writer = edits.Writer(self, keyvalue, clock)
        self.own_revisions = set()
        self.overrides = {}
        self.busy = set()
        self.started_s = clock.now_s()
        self.newer_since_s = None
        self.missed_since_s = None
        self.next_fetch_s = 0.0
        self.next_read_s = 0.0

    def start(self):
        """Follow the store and the peers."""
        super().start()
        self.gossip.standings.subscribe(self)
        self.gossip.members.subscribe(self)
        self.watch.start()

    def stop(self, deadline_s=5.0):
        """Stop following the store, then end."""
        self.watch.stop(deadline_s)
        super().stop(deadline_s)

    # Messages.

    def handle(self, message):
        """Act on one message."""
        match message:
            case tablewatch.StoreRead(outcome, sent_s):
                self.take_store_read(outcome, sent_s)
            case PeerRead(text):
                self.take_text(text, self.clock.now_s())
            case gossips.Standing():
                self.standing = message
                self.consider_acceptance()
                self.publish_permit()
            case membership.MembersView():
                self.take_members(message)
            case tablemessages.EditCells():
                gevent.spawn(edits.EditRun(message, self).run)
            case edits.Override(revision, author):
                self.overrides[revision] = author
                self.consider_acceptance()
            case tablemessages.ShowTable():
                message.reply(self.show())
            case tablemessages.History():
                message.reply(self.history())

    def tick(self):
        """Do what is due."""
        self.fetch_if_due()
        self.read_if_due()
        self.check_watch()
        self.initialise_if_due()
        self.consider_acceptance()
        self.act_on_staged_if_due()
        self.publish_permit()

    def take_members(self, view):
        """Note who is there; the store's rate is shared by them."""
        self.members = view
        budget = getattr(self.keyvalue, 'budget', None)
        if budget is not None:
            budget.set_nodes(len(view.alive()))

    # Documents that come in.

    def take_store_read(self, outcome, sent_s):
        """Take in what the store showed."""
        match outcome:
            case keyvalues.Found(value=text, revision=revision):
                document = self.parse(text)
                if document is not None:
                    self.take_stored(document, revision, sent_s)
            case keyvalues.Absent():
                self.take_absent(sent_s)

    def take_stored(self, document, store_revision, sent_s):
        """Take in the store's document: newer, the same or older."""
        held = self.documents.last
        if self.is_newer(document):
            self.adopt(document, store_revision)
        elif held.document == document:
            self.documents.publish(
                held._replace(store_revision=store_revision)
            )
        elif sent_s > held.adopted_s:
            # An edit may now be written over it, the held table with it.
            self.documents.publish(
                held._replace(store_revision=store_revision)
            )
            self.restore('older')
            return
        else:
            return  # the read began before a newer table came
        self.gossip.post(
            gossips.StoreConfirmed(
                sent_s, document['revision'], table.staged_revision(document)
            )
        )

    def take_absent(self, sent_s):
        """The store has no table: it is new, or lost what it had."""
        held = self.documents.last
        if held.document is None:
            self.documents.publish(held._replace(store_revision=0))
        elif sent_s > held.adopted_s:
            self.documents.publish(held._replace(store_revision=0))
            self.restore('absent')

    def take_text(self, text, now_s):
        """Take in a document from a peer; the watch should have brought it."""
        document = self.parse(text) if text is not None else None
        if document is not None and self.is_newer(document):
            self.adopt(document, self.documents.last.store_revision)
            self.keyvalue.end_watches()

    def parse(self, text):
        """Return the document, or None if it is not one."""
        try:
            return table.parse(text)
        except ValueError as error:
            LOG.error_event('table_unreadable', error)
            return None

    def is_newer(self, document):
        """Whether the document takes the place of the one held."""
        held = self.documents.last.document
        return held is None or table.newest(held, document) is document

    def adopt(self, document, store_revision):
        """Hold a newer document and tell everybody."""
        now_s = self.clock.now_s()
        staged = table.staged_revision(document)
        self.documents.publish(edits.Held(document, store_revision, now_s))
        self.gossip.post(gossips.HoldTable(document['revision'], staged))
        LOG.event('table', revision=document['revision'], staged=staged)
        self.publish_view(table.view(document))
        self.overrides = {
            revision: author
            for revision, author in self.overrides.items()
            if revision > document['revision']
        }

    def publish_view(self, view):
        """Put a view in force unless a newer one is."""
        last = self.views.last
        if view.revision and (last is None or view.revision > last.revision):
            self.views.publish(view)

    def publish_permit(self):
        """Tell whether this node may take new work."""
        allowed = self.standing.takes_work
        reason = '' if allowed else 'isolated'
        if self.documents.last.document is None:
            allowed, reason = False, 'no_table'
        permit = WorkPermit(allowed, reason)
        if permit != self.permits.last:
            self.permits.publish(permit)

    # What is due.

    def spawn_once(self, name, work):
        """Run ``work`` in the background unless it is running already."""
        if name in self.busy:
            return
        self.busy.add(name)

        def run():
            try:
                work()
            finally:
                self.busy.discard(name)

        gevent.spawn(run)

    def fetch_if_due(self):
        """Fetch a newer table from the peer that showed it."""
        now_s = self.clock.now_s()
        address = self.standing.newer_at
        if not address:
            self.newer_since_s = None
            return
        if self.newer_since_s is None:
            self.newer_since_s = now_s
        waited_s = now_s - self.newer_since_s
        if waited_s >= FETCH_AFTER_S and now_s >= self.next_fetch_s:
            self.next_fetch_s = now_s + FETCH_INTERVAL_S
            self.spawn_once('fetch', lambda: self.fetch(address))

    def fetch(self, address):
        """Fetch the table from one peer."""
        held = self.documents.last.document
        known = held['revision'] if held is not None else 0
        try:
            reply = self.peers.fetch_table(address, known)
        except errors.HostUnreachable as error:
            LOG.throttled_warning('fetch_failed', address, error=str(error))
            return
        self.post(PeerRead(reply[1] if reply is not None else None))

    def read_if_due(self):
        """Read the store when the evidence of its word grows old.

        As long as enough peers are seen that know no newer table this is
        not needed; then one waiting watch a node is all that the store has
        to bear.
        """
        now_s = self.clock.now_s()
        staged = self.standing.acceptance is not None
        needed = staged or not self.standing.quorate
        if needed and self.standing.wants_store and now_s > self.next_read_s:
            self.next_read_s = now_s + READ_INTERVAL_S
            self.watch.reader.read_later()

    def check_watch(self):
        """Begin the watch anew when it missed what a read has shown.

        Its connection may have gone silent for good: every later table
        would come late by the time of a whole watch.
        """
        now_s = self.clock.now_s()
        after = self.watch.after
        seen = self.documents.last.store_revision
        if after is None or seen is None or seen <= after:
            self.missed_since_s = None
        elif self.missed_since_s is None:
            self.missed_since_s = now_s
        elif now_s - self.missed_since_s > FETCH_AFTER_S:
            self.missed_since_s = None
            self.keyvalue.end_watches()

    def initialise_if_due(self):
        """Write the table of the settings when nobody has any."""
        held = self.documents.last
        waited_s = self.clock.now_s() - self.started_s
        if held.document is not None or held.store_revision != 0:
            return
        if self.standing.newest == 0 and waited_s >= JOIN_S:
            self.spawn_once('initialise', self.initialise)

    def initialise(self):
        """Write the first table, if it is still the first."""
        cells = {
            f'{sheet}/{row}/{column}': value
            for sheet, rows in self.settings.initial_table.items()
            for row, columns in rows.items()
            for column, value in columns.items()
        }
        edit = table.Edit(
            INITIAL_EDIT, INITIAL_AUTHOR, 0, cells, self.clock.wall_s()
        )
        match table.stage(table.empty(), edit, self.inventory):
            case table.Staged(document, revision):
                self.clock.sleep(self.rng.random() * JOIN_S / 4)
                if self.documents.last.document is None:
                    self.writer.write(table.accept(document, revision), 0)
            case table.Invalid(problems):
                for problem in problems:
                    LOG.throttled_warning(
                        'initial_table', problem.cell, problem=str(problem)
                    )

    def restore(self, found):
        """Write the held table over an older one, as from a backup.

        Operators would see an accepted edit undone, and a starting node
        would take the older table: the store was restored. The nodes keep
        the newest table they know, and the compare-and-swap lets just one
        of them put it back.
        """
        self.spawn_once('restore', lambda: self.put_back(found))

    def put_back(self, found):
        """Read again after a random wait; write if it is still older."""
        LOG.warning_event('store_has_older_table', found=found)
        self.clock.sleep(self.rng.random() * RESTORE_SPREAD_S)
        held = self.documents.last
        match self.watch.reader.read():
            case keyvalues.Found(value=text, revision=revision):
                stored = self.parse(text)
                older = stored is not None and not self.is_newer(stored)
                if older and stored != held.document:
                    self.writer.write(held.document, revision)
            case keyvalues.Absent():
                self.writer.write(held.document, 0)

    def act_on_staged_if_due(self):
        """Put staged edits in force when cut off from the store.

        Others may have accepted them on the acknowledgement of this node
        while it can't learn of that; see ``core.freshness``.
        """
        held = self.documents.last
        held_s = self.clock.now_s() - held.adopted_s
        stale_s = self.settings.timing.stale_after_s
        if held.document is None or not held.document['staged']:
            return
        if self.standing.unconfirmed and held_s > stale_s:
            self.publish_view(table.view(held.document, with_staged=True))

    # Acceptance.

    def consider_acceptance(self):
        """Accept staged edits when the rule allows and it is our turn."""
        document = self.documents.last.document
        if document is None or not document['staged']:
            return
        match self.standing.acceptance:
            case freshness.Accept(revision=revision) if self.is_our_turn():
                self.spawn_once('accept', lambda: self.accept(revision, ''))
            case freshness.Blocked(revision=revision):
                author = self.override_of(revision)
                if author:
                    self.spawn_once(
                        'accept', lambda: self.accept(revision, author)
                    )

    def is_our_turn(self):
        """Whether this node took the edit, or whoever did seems gone."""
        if self.own_revisions:
            return True
        held_s = self.clock.now_s() - self.documents.last.adopted_s
        wait_s = ACCEPT_FOR_OTHERS_S * (1 + self.rng.random())
        return held_s > wait_s

    def override_of(self, revision):
        """Operator who overrides for this revision, '' if none."""
        for overridden, author in self.overrides.items():
            if overridden >= revision:
                return author
        return ''

    def accept(self, revision, override):
        """Make the staged edits up to ``revision`` accepted ones."""
        held = self.documents.last
        if held.store_revision is None:
            self.watch.reader.read()
            return
        document = table.accept(held.document, revision, override)
        if document is not held.document:
            self.writer.write(document, held.store_revision)

    # What edits and pages ask.

    def may_edit(self):
        """Whether this node knows enough to base an edit on its table."""
        held = self.documents.last
        if held.document is None or held.store_revision is None:
            return False
        return self.standing.newest <= table.staged_revision(held.document)

    def stage(self, document, edit):
        """Stage an edit with a revision that was never given before.

        A store that was restored to an older copy, and a node that knows
        nothing newer, would else give a number to another edit for a second
        time; nodes that hold the first would never take the second.
        """
        wall_ms = int(self.clock.wall_s() * 1000)
        floor = max(self.standing.newest + 1, wall_ms)
        return table.stage(document, edit, self.inventory, floor)

    def await_document(self, revision):
        """Wait until the held document reaches a staged revision."""
        self.documents.wait_for(
            lambda held: table.staged_revision(held.document) >= revision,
            DOCUMENT_TIMEOUT_S,
        )

    def in_force(self):
        """Revision in force on each live host."""
        revisions = {
            member.host: member.table_revision
            for member in self.members.alive()
        }
        view = self.views.last
        revisions[self.host] = view.revision if view is not None else 0
        return revisions

    def laggards(self, revision):
        """Live hosts that have not confirmed a revision yet."""
        return tuple(
            host
            for host, known in sorted(self.in_force().items())
            if known < revision
        )

    def show(self):
        """Return the table with the state of each cell."""
        document = self.documents.last.document or table.empty()
        now = document['cells']
        then = table.cells_with_staged(document)
        cells = {}
        for cell in sorted(now.keys() | then.keys()):
            pending = now.get(cell) != then.get(cell)
            staged = then.get(cell) if pending else None
            cells[cell] = tablemessages.CellState(
                now.get(cell), pending, staged
            )
        return tablemessages.TableShown(
            document['revision'],
            table.staged_revision(document),
            cells,
            self.in_force(),
        )

    def history(self):
        """Return past edits, oldest first, the staged ones last."""
        document = self.documents.last.document or table.empty()
        return [*document['history'], *document['staged']]

    def fetch_table(self, known_revision):
        """Answer a peer; see :class:`magnoliadyke.peer.PeerServer`."""
        document = self.documents.last.document
        if document is None:
            return 0, None
        revision = document['revision']
        if revision <= known_revision and not document['staged']:
            return revision, None
        return revision, table.dump(document)


def inventory_of(settings):
    """Names that cross-row checks of the table need."""
    return table.ConfiguredNames(
        pools={
            pool.name: tuple(each.name for each in pool.endpoints)
            for pool in settings.pools
            if pool.kind == 'model'
        },
        endpoints=frozenset(
            each.name for pool in settings.pools for each in pool.endpoints
        ),
        hosts=frozenset(each.name for each in settings.hosts),
    )
