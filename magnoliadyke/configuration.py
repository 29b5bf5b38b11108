"""Task that holds this node's copy of the table and accepts its edits."""

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
#: A starting node waits this long for a peer that has a table before it
#: writes the initial one.
JOIN_WAIT_S = 1.0
#: The watch delivers a newer table within milliseconds; after this delay the
#: node fetches it from a peer instead.
FETCH_DELAY_S = 0.25
FETCH_INTERVAL_S = 0.5
READ_INTERVAL_S = 0.5
#: The node that staged an edit also accepts it. In case that node has
#: failed, the others accept it after one to two times this delay.
ACCEPT_FOR_OTHERS_DELAY_S = 2.0
#: Nodes that find an older table in the store write theirs after a random
#: delay up to this, so that mostly one of them writes.
MAX_RESTORE_DELAY_S = 1.0
DOCUMENT_TIMEOUT_S = 2.0

INITIAL_EDIT = 'initial'
INITIAL_OPERATOR = 'settings'

LOG = logs.get('configuration')


class WorkPermit(typing.NamedTuple):
    """Whether this node may accept new requests.

    :param reason: '' if allowed; otherwise 'no_table' or 'isolated'
    """

    allowed: bool
    reason: str = ''


class PeerRead(typing.NamedTuple):
    """A peer's reply to a fetch of the table.

    :param text: the serialized document, None if the peer's is not newer
    """

    text: str | None


class Configuration(mailbox.Task):
    """Holds this node's copy of the table document and keeps it current.

    Publishes the topics ``views`` (:class:`magnoliadyke.core.table.View`, one
    for each newer revision), ``permits`` (:class:`WorkPermit`) and
    ``documents`` (:class:`magnoliadyke.edits.HeldDocument`). Replies to
    ``EditCells``, ``ShowTable`` and ``History`` of
    :mod:`magnoliadyke.tablemessages`.

    :param settings: the deployment's settings
    :param host: name of this host
    :param clock: a :class:`magnoliadyke.clock.Clock`
    :param rng: source of randomness
    :param keyvalue: a :class:`magnoliadyke.keyvalue.KeyValue`
    :param gossip: the :class:`magnoliadyke.gossip.Gossip` of this node
    :param peers: a :class:`magnoliadyke.peer.PeerClients`
    :ivar own_revisions: staged revisions of edits that this node processes
    :ivar overrides: operator who overrides missing hosts, by staged revision
    :ivar background_work: names of the work running in the background
    :ivar behind_since_s: when a peer first reported a newer table, None if
        none does
    :ivar watch_behind_since_s: since when the watch is behind a revision
        that a read returned, None if it is not
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
        self.configured_names = configured_names_of(settings)
        self.views = mailbox.Topic()
        self.permits = mailbox.Topic(WorkPermit(False, 'no_table'))
        self.documents = mailbox.Topic(edits.HeldDocument())
        self.standing = gossips.Standing(clock.now_s())
        self.members = membership.MembersView({})
        self.watch = tablewatch.TableWatch(self, keyvalue, clock, rng)
        self.writer = edits.DocumentWriter(self, keyvalue, clock)
        self.own_revisions = set()
        self.overrides = {}
        self.background_work = set()
        self.started_s = clock.now_s()
        self.behind_since_s = None
        self.watch_behind_since_s = None
        self.next_fetch_s = 0.0
        self.next_read_s = 0.0

    def start(self):
        """Start the watch of the store and subscribe to gossip."""
        super().start()
        self.gossip.standings.subscribe(self)
        self.gossip.members.subscribe(self)
        self.watch.start()

    def stop(self, deadline_s=5.0):
        """Stop the watch of the store, then the task."""
        self.watch.stop(deadline_s)
        super().stop(deadline_s)

    # Messages.

    def handle(self, message):
        """Process one message of the mailbox."""
        match message:
            case tablewatch.StoreRead(outcome, sent_s):
                self.handle_store_read(outcome, sent_s)
            case PeerRead(text):
                self.handle_peer_document(text, self.clock.now_s())
            case gossips.Standing():
                self.standing = message
                self.accept_staged_if_allowed()
                self.publish_permit()
            case membership.MembersView():
                self.handle_members(message)
            case tablemessages.EditCells():
                gevent.spawn(edits.EditTask(message, self).run)
            case edits.Override(revision, operator):
                self.overrides[revision] = operator
                self.accept_staged_if_allowed()
            case tablemessages.ShowTable():
                message.reply(self.show())
            case tablemessages.History():
                message.reply(self.history())

    def tick(self):
        """Run the periodic checks of the table and its staged edits."""
        self.fetch_if_due()
        self.read_if_due()
        self.check_watch()
        self.initialise_if_due()
        self.accept_staged_if_allowed()
        self.apply_staged_if_unconfirmed()
        self.publish_permit()

    def handle_members(self, view):
        """Store the members; the nodes alive share the store's rate limit."""
        self.members = view
        budget = getattr(self.keyvalue, 'budget', None)
        if budget is not None:
            budget.set_nodes(len(view.alive()))

    # Documents received from the store and from peers.

    def handle_store_read(self, outcome, sent_s):
        """Process the outcome of a read of the table key.

        :param sent_s: monotonic time at which the read was sent
        """
        match outcome:
            case keyvalues.Found(value=text, revision=revision):
                document = self.parse(text)
                if document is not None:
                    self.handle_stored_document(document, revision, sent_s)
            case keyvalues.Absent():
                self.handle_absent_document(sent_s)

    def handle_stored_document(self, document, store_revision, sent_s):
        """Adopt the store's document if newer; restore it if older.

        :param store_revision: the store's revision of the key
        :param sent_s: monotonic time at which the read was sent
        """
        held = self.documents.last
        if self.is_newer(document):
            self.adopt(document, store_revision)
        elif held.document == document:
            self.documents.publish(
                held._replace(store_revision=store_revision)
            )
        elif sent_s > held.adopted_s:
            # The next edit, based on the held table, may replace this one.
            self.documents.publish(
                held._replace(store_revision=store_revision)
            )
            self.restore('older')
            return
        else:
            return  # the read was sent before the held table was adopted
        self.gossip.post(
            gossips.StoreConfirmed(
                sent_s, document['revision'], table.staged_revision(document)
            )
        )

    def handle_absent_document(self, sent_s):
        """Process an absent key: the store is new, or lost its data.

        :param sent_s: monotonic time at which the read was sent
        """
        held = self.documents.last
        if held.document is None:
            self.documents.publish(held._replace(store_revision=0))
        elif sent_s > held.adopted_s:
            self.documents.publish(held._replace(store_revision=0))
            self.restore('absent')

    def handle_peer_document(self, text, now_s):
        """Adopt a newer document of a peer and restart the watch.

        The watch should have delivered it before.

        :param text: the serialized document, or None
        :param now_s: monotonic time (not used)
        """
        document = self.parse(text) if text is not None else None
        if document is not None and self.is_newer(document):
            self.adopt(document, self.documents.last.store_revision)
            self.keyvalue.abort_watches()

    def parse(self, text):
        """Parse a document; log it and return None if it is malformed."""
        try:
            return table.parse(text)
        except ValueError as error:
            LOG.error_event('table_unreadable', error)
            return None

    def is_newer(self, document):
        """Whether the document is newer than the one held."""
        held = self.documents.last.document
        return held is None or table.newest(held, document) is document

    def adopt(self, document, store_revision):
        """Replace the held document; publish it and announce it to peers.

        :param store_revision: the store's revision of the key, None if not
            yet read
        """
        now_s = self.clock.now_s()
        staged = table.staged_revision(document)
        self.documents.publish(
            edits.HeldDocument(document, store_revision, now_s)
        )
        self.gossip.post(gossips.TableAdopted(document['revision'], staged))
        LOG.event('table', revision=document['revision'], staged=staged)
        self.publish_view(table.view(document))
        self.overrides = {
            revision: operator
            for revision, operator in self.overrides.items()
            if revision > document['revision']
        }

    def publish_view(self, view):
        """Publish a view if its revision is higher than the last one's."""
        last = self.views.last
        if view.revision and (last is None or view.revision > last.revision):
            self.views.publish(view)

    def publish_permit(self):
        """Publish whether this node may accept new requests, on change."""
        allowed = self.standing.takes_work
        reason = '' if allowed else 'isolated'
        if self.documents.last.document is None:
            allowed, reason = False, 'no_table'
        permit = WorkPermit(allowed, reason)
        if permit != self.permits.last:
            self.permits.publish(permit)

    # Periodic work.

    def spawn_unless_running(self, name, work):
        """Run ``work`` in a greenlet unless one of that name is running."""
        if name in self.background_work:
            return
        self.background_work.add(name)

        def run():
            try:
                work()
            finally:
                self.background_work.discard(name)

        gevent.spawn(run)

    def fetch_if_due(self):
        """Fetch the newer table that a peer reports, after a delay."""
        now_s = self.clock.now_s()
        address = self.standing.newer_table_address
        if not address:
            self.behind_since_s = None
            return
        if self.behind_since_s is None:
            self.behind_since_s = now_s
        waited_s = now_s - self.behind_since_s
        if waited_s >= FETCH_DELAY_S and now_s >= self.next_fetch_s:
            self.next_fetch_s = now_s + FETCH_INTERVAL_S
            self.spawn_unless_running('fetch', lambda: self.fetch(address))

    def fetch(self, address):
        """Fetch the table from one peer.

        :param address: address of the peer's server
        """
        held = self.documents.last.document
        held_revision = held['revision'] if held is not None else 0
        try:
            reply = self.peers.fetch_table(address, held_revision)
        except errors.HostUnreachable as error:
            LOG.throttled_warning('fetch_failed', address, error=str(error))
            return
        self.post(PeerRead(reply[1] if reply is not None else None))

    def read_if_due(self):
        """Read the store if peers cannot confirm that the table is current.

        While a quorum of peers reports no newer table, and no edit is
        staged, no read is needed: the store then serves only one pending
        watch per node.
        """
        now_s = self.clock.now_s()
        staged = self.standing.acceptance is not None
        needed = staged or not self.standing.has_quorum
        if (
            needed
            and self.standing.is_store_read_due
            and now_s > self.next_read_s
        ):
            self.next_read_s = now_s + READ_INTERVAL_S
            self.watch.reader.read_in_background()

    def check_watch(self):
        """Restart the watch if it missed a revision that a read returned.

        Its connection may be half open: each later table would then be
        delayed until the watch times out.
        """
        now_s = self.clock.now_s()
        after = self.watch.watched_after_revision
        seen = self.documents.last.store_revision
        if after is None or seen is None or seen <= after:
            self.watch_behind_since_s = None
        elif self.watch_behind_since_s is None:
            self.watch_behind_since_s = now_s
        elif now_s - self.watch_behind_since_s > FETCH_DELAY_S:
            self.watch_behind_since_s = None
            self.keyvalue.abort_watches()

    def initialise_if_due(self):
        """Write the initial table if neither store nor peers have one."""
        held = self.documents.last
        waited_s = self.clock.now_s() - self.started_s
        if held.document is not None or held.store_revision != 0:
            return
        if self.standing.newest_revision == 0 and waited_s >= JOIN_WAIT_S:
            self.spawn_unless_running('initialise', self.initialise)

    def initialise(self):
        """Write the table of the settings if there is still no other."""
        cells = {
            f'{sheet}/{row}/{column}': value
            for sheet, rows in self.settings.initial_table.items()
            for row, columns in rows.items()
            for column, value in columns.items()
        }
        edit = table.Edit(
            INITIAL_EDIT, INITIAL_OPERATOR, 0, cells, self.clock.wall_s()
        )
        match table.stage(table.empty(), edit, self.configured_names):
            case table.Staged(document, revision):
                self.clock.sleep(self.rng.random() * JOIN_WAIT_S / 4)
                if self.documents.last.document is None:
                    self.writer.write(table.accept(document, revision), 0)
            case table.Invalid(problems):
                for problem in problems:
                    LOG.throttled_warning(
                        'initial_table', problem.cell, problem=str(problem)
                    )

    def restore(self, found):
        """Replace an older table in the store by the held one.

        A store restored from a backup would otherwise undo an accepted edit
        on nodes that start later. All nodes keep the newest table that they
        have received; the compare-and-swap lets only one of them write it.

        :param found: 'older' or 'absent', for the log
        """
        self.spawn_unless_running(
            'restore', lambda: self.restore_if_still_older(found)
        )

    def restore_if_still_older(self, found):
        """Read again after a random delay; write if still older or absent.

        :param found: 'older' or 'absent', for the log
        """
        LOG.warning_event('store_has_older_table', found=found)
        self.clock.sleep(self.rng.random() * MAX_RESTORE_DELAY_S)
        held = self.documents.last
        match self.watch.reader.read():
            case keyvalues.Found(value=text, revision=revision):
                stored = self.parse(text)
                older = stored is not None and not self.is_newer(stored)
                if older and stored != held.document:
                    self.writer.write(held.document, revision)
            case keyvalues.Absent():
                self.writer.write(held.document, 0)

    def apply_staged_if_unconfirmed(self):
        """Apply staged edits while this node is cut off from the store.

        This node has acknowledged them, so other nodes may have accepted
        them without its being able to receive that; see ``core.freshness``.
        """
        held = self.documents.last
        held_s = self.clock.now_s() - held.adopted_s
        stale_s = self.settings.timing.stale_after_s
        if held.document is None or not held.document['staged']:
            return
        if self.standing.acts_on_staged and held_s > stale_s:
            self.publish_view(table.view(held.document, with_staged=True))

    # Acceptance.

    def accept_staged_if_allowed(self):
        """Accept staged edits if freshness or an override allows it."""
        document = self.documents.last.document
        if document is None or not document['staged']:
            return
        match self.standing.acceptance:
            case freshness.Accept(revision=revision) if self.is_acceptor():
                self.spawn_unless_running(
                    'accept', lambda: self.accept(revision, '')
                )
            case freshness.Blocked(revision=revision):
                operator = self.overriding_operator(revision)
                if operator:
                    self.spawn_unless_running(
                        'accept', lambda: self.accept(revision, operator)
                    )

    def is_acceptor(self):
        """Whether this node is to accept the staged edits.

        It is if it runs one of them, or if they have been staged for so long
        that the node that runs them has probably failed.
        """
        if self.own_revisions:
            return True
        held_s = self.clock.now_s() - self.documents.last.adopted_s
        wait_s = ACCEPT_FOR_OTHERS_DELAY_S * (1 + self.rng.random())
        return held_s > wait_s

    def overriding_operator(self, revision):
        """Return the operator who overrides for a revision, '' if none."""
        for overridden, operator in self.overrides.items():
            if overridden >= revision:
                return operator
        return ''

    def accept(self, revision, overriding_operator):
        """Write the document with the edits up to ``revision`` accepted.

        :param overriding_operator: operator who accepts although hosts are
            missing, or ''
        """
        held = self.documents.last
        if held.store_revision is None:
            self.watch.reader.read()
            return
        document = table.accept(held.document, revision, overriding_operator)
        if document is not held.document:
            self.writer.write(document, held.store_revision)

    # Calls of edits, operators and peers.

    def can_stage(self):
        """Whether an edit can be staged on the held table.

        The compare-and-swap needs the store's revision of the key, and no
        member may report a newer table.
        """
        held = self.documents.last
        if held.document is None or held.store_revision is None:
            return False
        return self.standing.newest_revision <= table.staged_revision(
            held.document
        )

    def stage(self, document, edit):
        """Stage an edit under a revision that was never assigned before.

        After the store is restored from a backup, a node that has received
        no newer table could otherwise assign a revision twice; nodes that
        hold the first edit of that revision would never adopt the second.

        :return: outcome of :func:`magnoliadyke.core.table.stage`
        """
        wall_ms = int(self.clock.wall_s() * 1000)
        floor = max(self.standing.newest_revision + 1, wall_ms)
        return table.stage(document, edit, self.configured_names, floor)

    def await_document(self, revision):
        """Wait until the held document has a staged revision."""
        self.documents.wait_for(
            lambda held: table.staged_revision(held.document) >= revision,
            DOCUMENT_TIMEOUT_S,
        )

    def in_force(self):
        """Return the revision in force on each live host."""
        revisions = {
            member.host: member.table_revision
            for member in self.members.alive()
        }
        view = self.views.last
        revisions[self.host] = view.revision if view is not None else 0
        return revisions

    def laggards(self, revision):
        """Return the live hosts that have not confirmed a revision yet."""
        return tuple(
            host
            for host, host_revision in sorted(self.in_force().items())
            if host_revision < revision
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
        """Serve a peer's fetch; see :class:`magnoliadyke.peer.PeerServer`.

        :param known_revision: newest accepted revision that the peer has
        :return: (revision, serialized document or None if not newer)
        """
        document = self.documents.last.document
        if document is None:
            return 0, None
        revision = document['revision']
        if revision <= known_revision and not document['staged']:
            return revision, None
        return revision, table.dump(document)


def configured_names_of(settings):
    """Return the names in the settings that the table's checks need."""
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
