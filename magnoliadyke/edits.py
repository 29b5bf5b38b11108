"""One edit of the table on its way: staged, accepted, in force."""

import typing

from magnoliadyke.core import budget
from magnoliadyke.core import freshness
from magnoliadyke.core import table
from magnoliadyke import gossip
from magnoliadyke import keyvalue
from magnoliadyke import logs
from magnoliadyke import tablemessages as messages
from magnoliadyke import tablewatch

__all__ = ['EditTask', 'HeldDocument', 'DocumentWriter']

#: Time for writing the staged edit.
STAGE_TIMEOUT_S = 5.0
#: Time for its acceptance; afterwards the answer is that it is pending.
ACCEPT_TIMEOUT_S = 9.0
#: An edit known to be blocked for this long is reported as pending at once.
BLOCKED_REPORT_S = 2.0
#: Time for all live nodes to confirm that it is in force.
IN_FORCE_TIMEOUT_S = 5.0
POLL_S = 0.01
#: Times between surveys of the members grow up to this.
INITIAL_PROBE_INTERVAL_S = 0.02
MAX_PROBE_INTERVAL_S = 0.5
#: Pause after losing a compare-and-swap to another editor.
CONFLICT_PAUSE_S = 0.03

LOG = logs.get('edits')


class HeldDocument(typing.NamedTuple):
    """The document that this node holds.

    :param document: a ``core.table.Document``, None before the first
    :param store_revision: the store's revision of its key when last seen;
        0 if absent, None if never seen
    :param adopted_s: monotonic time at which the document was taken up
    """

    document: dict | None = None
    store_revision: int | None = None
    adopted_s: float = 0.0


class DocumentWriter:
    """Writes the table's key and posts what the store then holds.

    :param owner: task that gets :class:`magnoliadyke.tablewatch.StoreRead`
    :param store: a :class:`magnoliadyke.keyvalue.KeyValue`
    """

    def __init__(self, owner, store, clock):
        self.owner = owner
        self.store = store.of_kind(budget.CallKind.TABLE_WRITE)
        self.clock = clock

    def write(self, document, store_revision):
        """Compare and swap; settle a lost answer by reading back.

        :return: outcome of the write itself
        """
        sent_s = self.clock.now_s()
        text = table.dump(document)
        outcome = self.store.put(tablewatch.KEY, text, store_revision)
        match outcome:
            case keyvalue.Stored(revision):
                found = keyvalue.Found(tablewatch.KEY, text, revision)
                self.post(found, sent_s)
            case keyvalue.Conflict(revision, value) if value is not None:
                found = keyvalue.Found(tablewatch.KEY, value, revision)
                self.post(found, sent_s)
            case keyvalue.Conflict():
                self.post(keyvalue.Absent(), sent_s)
            case keyvalue.Unavailable(maybe_applied=True):
                sent_s = self.clock.now_s()
                self.post(self.store.get(tablewatch.KEY), sent_s)
        return outcome

    def post(self, outcome, sent_s):
        """Tell the owner."""
        self.owner.post(tablewatch.StoreRead(outcome, sent_s))


class EditTask:
    """Carries one edit through; runs in a greenlet of its own.

    :param ask: the :class:`magnoliadyke.tablemessages.EditCells`
    :param task: the :class:`magnoliadyke.configuration.Configuration`
    """

    def __init__(self, request, configuration):
        self.request = request
        self.configuration = configuration
        self.clock = configuration.clock
        self.started_s = configuration.clock.now_s()
        self.maybe_applied = False
        self.probe_interval_s = INITIAL_PROBE_INTERVAL_S
        self.next_probe_s = self.started_s
        self.blocked_since_s = None

    def run(self):
        """Carry the edit through and answer the operator."""
        reply = self.stage()
        if isinstance(reply, int):
            reply = self.await_acceptance(reply)
        LOG.event(
            'edit',
            edit=self.request.edit_id,
            operator=self.request.author,
            result=type(reply).__name__.lower(),
            revision=getattr(reply, 'revision', 0),
            took_s=self.clock.now_s() - self.started_s,
        )
        self.request.reply(reply)

    @property
    def document(self):
        """The document held at this moment."""
        return self.configuration.documents.last.document

    # Staging.

    def stage(self):
        """Write the edit as staged.

        :return: its revision, or the answer if it was not staged
        """
        end_s = self.started_s + STAGE_TIMEOUT_S
        while self.clock.now_s() < end_s:
            held = self.configuration.documents.last
            if not self.configuration.can_stage():
                self.clock.sleep(POLL_S)
                continue
            reply = self.stage_once(held)
            if reply is not None:
                return reply
        return messages.StoreUnavailable(self.maybe_applied)

    def stage_once(self, held):
        """Try once; None means try again."""
        if not self.request.edits:
            return self.overridden_revision(held.document)
        match self.configuration.stage(
            held.document, self.build_edit(held.document)
        ):
            case table.Conflict(cells, revision, operators):
                return messages.Conflict(dict(cells), revision, operators)
            case table.Invalid(problems):
                return messages.Invalid(problems)
            case table.AlreadyApplied(revision):
                return revision
            case table.Staged(document, revision):
                return self.write_staged(held, document, revision)

    def overridden_revision(self, document):
        """Revision of the staged edit that an override names."""
        known = table.edit_revision(document, self.request.edit_id or '')
        if known is not None:
            return known.revision
        return table.staged_revision(document)

    def build_edit(self, document):
        """The edit, against the base that the operator looked at."""
        base = self.request.base_revision
        if base is None:
            base = table.staged_revision(document)
        return table.Edit(
            self.request.edit_id,
            self.request.author,
            base,
            self.request.edits,
            self.clock.wall_s(),
        )

    def write_staged(self, held, document, revision):
        """Write; return the revision once it is known to be staged."""
        match self.configuration.writer.write(document, held.store_revision):
            case keyvalue.Stored():
                self.configuration.await_document(revision)
                return revision
            case keyvalue.Unavailable(maybe_applied=maybe):
                self.maybe_applied = self.maybe_applied or maybe
                self.pause(CONFLICT_PAUSE_S)
            case keyvalue.RateLimited(after_s):
                self.pause(after_s)
            case _:
                self.pause(CONFLICT_PAUSE_S)
        return None

    def pause(self, seconds):
        """Wait between half and one and a half of that long."""
        self.clock.sleep(seconds * (0.5 + self.configuration.rng.random()))

    # Acceptance.

    def await_acceptance(self, revision):
        """Wait until the staged edit is accepted, then until in force."""
        if self.request.override:
            self.configuration.post(Override(revision, self.request.author))
        self.configuration.own_revisions.add(revision)
        end_s = self.clock.now_s() + ACCEPT_TIMEOUT_S
        try:
            while self.document['revision'] < revision:
                if self.clock.now_s() > end_s or self.is_blocked_too_long():
                    return messages.Pending(revision, self.awaited_hosts())
                self.probe_members_if_due()
                self.clock.sleep(POLL_S)
        finally:
            self.configuration.own_revisions.discard(revision)
        return self.await_in_force(revision)

    def is_blocked_too_long(self):
        """Whether the edit has been blocked for a while."""
        now_s = self.clock.now_s()
        acceptance = self.configuration.standing.acceptance
        if not isinstance(acceptance, freshness.Blocked):
            self.blocked_since_s = None
            return False
        if self.blocked_since_s is None:
            self.blocked_since_s = now_s
        return now_s - self.blocked_since_s > BLOCKED_REPORT_S

    def awaited_hosts(self):
        """Hosts that the acceptance waits for."""
        match self.configuration.standing.acceptance:
            case freshness.Blocked(missing=missing):
                return missing
            case freshness.Wait(laggards=laggards):
                return laggards
        return ()

    def await_in_force(self, revision):
        """Wait until all live nodes confirm, or name the laggards."""
        end_s = self.clock.now_s() + IN_FORCE_TIMEOUT_S
        self.probe_interval_s = INITIAL_PROBE_INTERVAL_S
        self.next_probe_s = self.clock.now_s()
        laggards = self.configuration.laggards(revision)
        while laggards and self.clock.now_s() < end_s:
            self.probe_members_if_due()
            self.clock.sleep(POLL_S)
            laggards = self.configuration.laggards(revision)
        took_s = self.clock.now_s() - self.started_s
        return messages.Accepted(revision, took_s, laggards)

    def probe_members_if_due(self):
        """Probe all members at growing intervals while waiting."""
        now_s = self.clock.now_s()
        if now_s >= self.next_probe_s:
            self.configuration.gossip.post(gossip.Survey())
            self.next_probe_s = now_s + self.probe_interval_s
            self.probe_interval_s = min(
                MAX_PROBE_INTERVAL_S, 2 * self.probe_interval_s
            )


class Override(typing.NamedTuple):
    """An operator accepts staged edits although hosts are missing."""

    revision: int
    author: str
