"""Stages one edit of the table and waits until it is in force."""

import typing

from magnoliadyke.core import budget
from magnoliadyke.core import freshness
from magnoliadyke.core import table
from magnoliadyke import gossip
from magnoliadyke import keyvalue
from magnoliadyke import logs
from magnoliadyke import tablemessages as messages
from magnoliadyke import tablewatch

__all__ = ['DocumentWriter', 'EditTask', 'HeldDocument']

#: Time limit for writing the staged edit to the store.
STAGE_TIMEOUT_S = 5.0
#: Time limit for the acceptance of a staged edit; after it, the reply is
#: ``Pending``.
ACCEPT_TIMEOUT_S = 9.0
#: An edit that missing hosts block for this long is reported as pending
#: before the time limit.
BLOCKED_REPORT_S = 2.0
#: Time limit for all live nodes to confirm that an edit is in force.
IN_FORCE_TIMEOUT_S = 5.0
POLL_INTERVAL_S = 0.01
#: While it waits, an edit probes all members; the interval doubles each time.
INITIAL_PROBE_INTERVAL_S = 0.02
MAX_PROBE_INTERVAL_S = 0.5
#: Mean pause after another editor won the compare-and-swap.
CONFLICT_PAUSE_S = 0.03

LOG = logs.get('edits')


class HeldDocument(typing.NamedTuple):
    """The table document that this node holds.

    :param document: a ``core.table.Document``, None before the first
    :param store_revision: the store's revision of the key when last read or
        written; 0 if the key was absent, None if it was never read
    :param adopted_s: monotonic time at which the document was adopted
    """

    document: dict | None = None
    store_revision: int | None = None
    adopted_s: float = 0.0


class DocumentWriter:
    """Writes the table's key and posts the value that the store then holds.

    :param owner: task that receives
        :class:`magnoliadyke.tablewatch.StoreRead`
    :param store: a :class:`magnoliadyke.keyvalue.KeyValue`
    """

    def __init__(self, owner, store, clock):
        self.owner = owner
        self.store = store.with_call_kind(budget.CallKind.TABLE_WRITE)
        self.clock = clock

    def write(self, document, store_revision):
        """Write by compare-and-swap; read back if the reply was lost.

        :param store_revision: the store's revision that is to be replaced
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
        """Send the value found in the store to the owner.

        :param sent_s: monotonic time at which the call was sent
        """
        self.owner.post(tablewatch.StoreRead(outcome, sent_s))


class EditTask:
    """Stages one edit and replies once it is in force; runs in a greenlet.

    :param request: the :class:`magnoliadyke.tablemessages.EditCells`
    :param configuration: the
        :class:`magnoliadyke.configuration.Configuration`
    :ivar maybe_applied: whether a write without a reply may have staged the
        edit
    :ivar blocked_since_s: since when missing hosts block the acceptance,
        None if they do not
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
        """Stage the edit, wait until it is in force, and send the reply."""
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
        """The document that the node holds now."""
        return self.configuration.documents.last.document

    # Staging.

    def stage(self):
        """Stage the edit, with retries until the time limit.

        :return: its revision, or the reply if it was not staged
        """
        end_s = self.started_s + STAGE_TIMEOUT_S
        while self.clock.now_s() < end_s:
            held = self.configuration.documents.last
            if not self.configuration.can_stage():
                self.clock.sleep(POLL_INTERVAL_S)
                continue
            reply = self.stage_once(held)
            if reply is not None:
                return reply
        return messages.StoreUnavailable(self.maybe_applied)

    def stage_once(self, held):
        """Stage the edit on the held document.

        :param held: the :class:`HeldDocument`
        :return: its revision, the reply if it is refused, or None to retry
        """
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
        """Return the newest revision whose staged edits an override accepts.

        The staged edits up to this revision are accepted although hosts are
        missing.  The revision is that of the edit with the id of the
        override, or the newest staged one if there is no such edit.
        """
        earlier = table.edit_revision(document, self.request.edit_id or '')
        if earlier is not None:
            return earlier.revision
        return table.staged_revision(document)

    def build_edit(self, document):
        """Return the edit with its base revision, by default the newest."""
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
        """Write the document to the store.

        :return: the revision once this node holds it as staged, or None
            after a pause if the write failed
        """
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
        """Sleep for 0.5 to 1.5 times ``seconds``, at random."""
        self.clock.sleep(seconds * (0.5 + self.configuration.rng.random()))

    # Acceptance.

    def await_acceptance(self, revision):
        """Wait until the staged edit is accepted, then until it is in force.

        :return: ``Accepted``, or ``Pending`` if it was not accepted in time
        """
        if self.request.override:
            self.configuration.post(Override(revision, self.request.author))
        self.configuration.own_revisions.add(revision)
        end_s = self.clock.now_s() + ACCEPT_TIMEOUT_S
        try:
            while self.document['revision'] < revision:
                if self.clock.now_s() > end_s or self.is_blocked_too_long():
                    return messages.Pending(revision, self.awaited_hosts())
                self.probe_members_if_due()
                self.clock.sleep(POLL_INTERVAL_S)
        finally:
            self.configuration.own_revisions.discard(revision)
        return self.await_in_force(revision)

    def is_blocked_too_long(self):
        """Whether hosts have blocked the edit for ``BLOCKED_REPORT_S``."""
        now_s = self.clock.now_s()
        acceptance = self.configuration.standing.acceptance
        if not isinstance(acceptance, freshness.Blocked):
            self.blocked_since_s = None
            return False
        if self.blocked_since_s is None:
            self.blocked_since_s = now_s
        return now_s - self.blocked_since_s > BLOCKED_REPORT_S

    def awaited_hosts(self):
        """Return the hosts whose acknowledgement is still missing."""
        match self.configuration.standing.acceptance:
            case freshness.Blocked(missing=missing):
                return missing
            case freshness.Wait(laggards=laggards):
                return laggards
        return ()

    def await_in_force(self, revision):
        """Wait until all live nodes have confirmed the revision.

        :return: ``Accepted``, with the hosts that did not confirm in time
        """
        end_s = self.clock.now_s() + IN_FORCE_TIMEOUT_S
        self.probe_interval_s = INITIAL_PROBE_INTERVAL_S
        self.next_probe_s = self.clock.now_s()
        laggards = self.configuration.laggards(revision)
        while laggards and self.clock.now_s() < end_s:
            self.probe_members_if_due()
            self.clock.sleep(POLL_INTERVAL_S)
            laggards = self.configuration.laggards(revision)
        took_s = self.clock.now_s() - self.started_s
        return messages.Accepted(revision, took_s, laggards)

    def probe_members_if_due(self):
        """Probe all members if the interval since the last probe is over."""
        now_s = self.clock.now_s()
        if now_s >= self.next_probe_s:
            self.configuration.gossip.post(gossip.Survey())
            self.next_probe_s = now_s + self.probe_interval_s
            self.probe_interval_s = min(
                MAX_PROBE_INTERVAL_S, 2 * self.probe_interval_s
            )


class Override(typing.NamedTuple):
    """An operator's override: accept staged edits although hosts are missing.

    :param revision: the edits staged up to this revision are accepted
    :param author: the operator
    """

    revision: int
    author: str
