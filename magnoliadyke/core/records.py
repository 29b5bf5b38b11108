"""Idempotency records that the home node of a request key keeps."""

import base64
import collections
import dataclasses
import heapq
import json
import typing

from magnoliadyke.core import outcomes

__all__ = [
    'NO_FLOOR',
    'Answer',
    'Attach',
    'RunningElsewhere',
    'New',
    'Record',
    'RecordSettings',
    'RecordTable',
    'Replay',
    'Resolved',
]

RECORD_OVERHEAD_BYTES = 400
NO_FLOOR = float('-inf')
ANSWER_GONE = outcomes.Unknown(
    'answer_gone',
    'the answer is no longer kept; look up the effect before asking again',
)
KEY_EXPIRED = outcomes.Unknown(
    'key_expired',
    'the ticket of this key is too old to tell; look up the effect, then '
    'use a key of a new ticket',
)
KEY_REUSED = outcomes.Rejected(
    'key_reused',
    'this key came with another request before; use a new number',
    409,
)
KEY_OF_ANOTHER_CUSTOMER = outcomes.Rejected(
    'key_of_another_customer', 'use a key of your own ticket', 403
)
HOME_STOPPED = outcomes.Unknown(
    'home_stopped',
    'the host stopped before the request ended; look up the effect before '
    'asking again',
)


class Answer(typing.NamedTuple):
    """A complete answer, kept to be replayed when its key is sent again.

    :param kind: ``model`` (body: compressed events) or ``service``
    :param status: HTTP status
    :param content_type: content type of a service's answer
    :param body: the answer's body, in bytes
    :param prompt_tokens: prompt length in tokens
    :param output_tokens: answer length in tokens
    """

    kind: str
    status: int
    content_type: str
    body: bytes
    prompt_tokens: int = 0
    output_tokens: int = 0


@dataclasses.dataclass(slots=True)
class Record:
    """The record of one key.

    :param digest: digest of the customer's request; a key is accepted again
        only with the same digest
    :param expires_s: monotonic seconds until which the key must be kept
    :param state: ``running``, ``away``, ``answered`` or ``settled``
    :param run: the caller's handle of the running request, None if it does
        not run
    :param answer: the answer to replay in state ``answered``
    :param outcome: the outcome returned to a resend in state ``settled``
    :param home: name of the home where the request runs in state ``away``
    :param size_bytes: memory charged for the answer, in bytes
    """

    key: str
    customer: str
    digest: str
    expires_s: float
    state: str = 'running'
    run: typing.Any = None
    answer: Answer | None = None
    outcome: typing.Any = None
    home: str = ''
    size_bytes: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class New:
    """The key is new: the caller runs the request, then ends the record."""

    record: Record


@dataclasses.dataclass(frozen=True, slots=True)
class Attach:
    """The key's request is running: the caller follows that run."""

    record: Record


@dataclasses.dataclass(frozen=True, slots=True)
class RunningElsewhere:
    """The request still runs at the home that handed this record over.

    :param home: ``HOST.INCARNATION``
    """

    home: str


@dataclasses.dataclass(frozen=True, slots=True)
class Replay:
    """The key was answered: the caller replays the same answer."""

    answer: Answer


@dataclasses.dataclass(frozen=True, slots=True)
class Resolved:
    """The key's outcome is already decided; nothing runs."""

    outcome: typing.Any


class RecordSettings(typing.NamedTuple):
    """Memory and retention limits of a :class:`RecordTable`.

    :param answer_bytes: memory for answers, in bytes
    :param answer_keep_s: how long an answer is kept, in seconds
    :param accept_s: how long after its issue new keys of a ticket are
        accepted, in seconds; a record is kept at least that long
    :param max_keys: maximum number of records
    """

    answer_bytes: int = 64 << 20
    answer_keep_s: float = 300.0
    accept_s: float = 300.0
    max_keys: int = 200_000


DEFAULTS = RecordSettings()


class RecordTable:
    """Records of keys, so that no request runs twice.

    A key without a record is new only while its ticket still accepts new
    keys, since a record is kept at least that long. When the table is full,
    it drops the records of the oldest tickets and raises ``floor_s`` to the
    issue time of the newest of them: keys of tickets up to ``floor_s`` get
    ``Unknown``, never a second run.

    :param settings: :class:`RecordSettings`
    :ivar records: :class:`Record` by key
    :ivar expiry: heap of (expiry in monotonic seconds, key)
    :ivar answered: when each kept answer was complete, by key, oldest first
    """

    def __init__(self, settings=DEFAULTS):
        self.settings = settings
        self.records = {}
        self.expiry = []
        self.answered = collections.OrderedDict()
        self.bytes_used = 0
        self.floor_s = NO_FLOOR

    def open(self, key, customer, digest, issued_s, now_s, floor_s=NO_FLOOR):
        """Look up the key of a request, and add a record if the key is new.

        :param key: idempotency key
        :param customer: name of the customer that sent it
        :param digest: digest of the request
        :param issued_s: issue time of the key's ticket on this node's
            clock; ``now_s`` for a key that was claimed just now
        :param now_s: monotonic seconds
        :param floor_s: ``floor_s`` of the home whose records this table took
            over; it had dropped keys issued up to that time
        :return: :class:`New`, :class:`Attach`, :class:`RunningElsewhere`,
            :class:`Replay` or :class:`Resolved`
        """
        record = self.records.get(key)
        if record is not None:
            return self.resolve_known(record, customer, digest)
        forgotten = issued_s <= max(self.floor_s, floor_s)
        if forgotten or self.is_too_old(issued_s, now_s):
            return Resolved(KEY_EXPIRED)
        record = Record(key, customer, digest, self.expiry_of(issued_s))
        self.insert(record)
        self.evict(now_s)
        return New(record)

    def find(self, key, customer):
        """Look up a key without adding a record, to read an answer again.

        :return: as :meth:`open`; :class:`Resolved` with ``Unknown`` if the
            key has no record
        """
        record = self.records.get(key)
        if record is None:
            return Resolved(ANSWER_GONE)
        return self.resolve_known(record, customer, record.digest)

    def resolve_known(self, record, customer, digest):
        """Return what to do with a request whose key has a record."""
        if record.customer != customer:
            return Resolved(KEY_OF_ANOTHER_CUSTOMER)
        if record.digest != digest:
            return Resolved(KEY_REUSED)
        match record.state:
            case 'running':
                return Attach(record)
            case 'away':
                return RunningElsewhere(record.home)
            case 'answered':
                return Replay(record.answer)
            case _:
                return Resolved(record.outcome)

    def is_too_old(self, issued_s, now_s):
        """Return whether new keys of a ticket are no longer accepted."""
        return now_s - issued_s >= self.settings.accept_s

    def expiry_of(self, issued_s):
        """Return until when the record of a key must be kept."""
        return issued_s + self.settings.accept_s

    def insert(self, record):
        """Add a record to the table."""
        self.records[record.key] = record
        heapq.heappush(self.expiry, (record.expires_s, record.key))
        self.bytes_used += record.size_bytes

    def finish(self, record, answer, now_s):
        """Store the complete answer of a record.

        :param answer: :class:`Answer`
        """
        record.state = 'answered'
        record.run = None
        record.answer = answer
        record.size_bytes = len(answer.body) + RECORD_OVERHEAD_BYTES
        self.bytes_used += record.size_bytes
        self.answered[record.key] = now_s
        self.evict(now_s)

    def settle(self, record, outcome):
        """End a record with an outcome that every resend gets as well.

        The outcome ``NotRun`` is final too: an earlier copy of the request
        may still be in flight on a slow connection, and would otherwise run
        after the caller received the answer that it had not run.
        """
        record.state = 'settled'
        record.run = None
        record.outcome = outcome

    def forget(self, record):
        """Remove a record whose key no caller can send again."""
        self.records.pop(record.key, None)

    def evict(self, now_s):
        """Evict answers and records beyond the limits of the settings."""
        self.evict_answers(now_s)
        self.evict_keys(now_s)

    def evict_answers(self, now_s):
        """Replace expired answers, or the oldest if full, by tombstones."""
        oldest_s = now_s - self.settings.answer_keep_s
        while self.answered:
            key, finished_s = next(iter(self.answered.items()))
            full = self.bytes_used > self.settings.answer_bytes
            if not full and finished_s > oldest_s:
                break
            del self.answered[key]
            self.drop_answer(key)

    def drop_answer(self, key):
        """Replace a record's answer by a tombstone."""
        record = self.records.get(key)
        if record is None or record.state != 'answered':
            return
        self.bytes_used -= record.size_bytes
        record.size_bytes = 0
        record.answer = None
        self.settle(record, ANSWER_GONE)

    def evict_keys(self, now_s):
        """Remove expired records, and raise ``floor_s`` accordingly.

        If there are more than ``max_keys``, also the oldest unexpired ones.
        """
        kept = []
        while self.expiry:
            expires_s, key = self.expiry[0]
            crowded = len(self.records) > self.settings.max_keys
            if not crowded and expires_s > now_s:
                break
            heapq.heappop(self.expiry)
            record = self.records.get(key)
            if record is None:
                continue
            needed_s = self.needed_until_s(record, now_s)
            if needed_s > now_s and not (crowded and record.answer):
                kept.append((needed_s, key))
                continue
            issued_s = record.expires_s - self.settings.accept_s
            self.floor_s = max(self.floor_s, issued_s)
            self.remove(record)
        for entry in kept:
            heapq.heappush(self.expiry, entry)

    def needed_until_s(self, record, now_s):
        """Return until when a record has to be kept even if it has expired."""
        if record.state in ('running', 'away'):
            return now_s + self.settings.accept_s
        finished_s = self.answered.get(record.key)
        if finished_s is None:
            return now_s
        return finished_s + self.settings.answer_keep_s

    def remove(self, record):
        """Remove a record and its answer."""
        self.answered.pop(record.key, None)
        self.bytes_used -= record.size_bytes
        del self.records[record.key]

    def running(self):
        """Return the records whose requests still run."""
        return [
            record
            for record in self.records.values()
            if record.state == 'running'
        ]

    def export(self, now_s, home=''):
        """Yield each record as a line of JSON, for the host that takes over.

        :param now_s: monotonic seconds
        :param home: ``HOST.INCARNATION`` where requests that run here can
            still be followed; ``''`` if they will have no answer, so that a
            resend of their keys gets ``Unknown``
        :return: iterator of bytes
        """
        for record in list(self.records.values()):
            yield export_record(record, now_s, home)

    def import_line(self, line, now_s):
        """Add a record of a host that is leaving.

        :param line: one line of :meth:`export`, in bytes
        """
        record = import_record(line, now_s)
        known = self.records.get(record.key)
        if known is not None:
            if known.state != 'away':
                return
            self.remove(known)
        self.insert(record)
        if record.state == 'answered':
            self.answered[record.key] = now_s
        self.evict(now_s)


class ExportedRecord(typing.TypedDict):
    """A record as sent to the host that takes over.

    Times are relative, as the monotonic clocks of two hosts differ.
    """

    key: str
    customer: str
    digest: str
    expires_in_s: float
    outcome: list
    answer: list
    home: str


def export_record(record, now_s, home):
    """Return a record as a line of JSON, in bytes."""
    outcome = record.outcome
    if record.state == 'running':
        outcome = HOME_STOPPED
    else:
        home = record.home
    answer = record.answer
    document = ExportedRecord(
        key=record.key,
        customer=record.customer,
        digest=record.digest,
        expires_in_s=record.expires_s - now_s,
        outcome=export_outcome(outcome) if outcome else [],
        answer=export_answer(answer) if answer else [],
        home=home,
    )
    return json.dumps(document, separators=(',', ':')).encode()


def export_outcome(outcome):
    """Return an outcome as a list: its tag, then its fields."""
    return [type(outcome).__name__, *dataclasses.astuple(outcome)]


def export_answer(answer):
    """Return an answer as a list of JSON scalars."""
    body = base64.b64encode(answer.body).decode()
    return list(answer._replace(body=body))


def import_record(line, now_s):
    """Return the record that :func:`export_record` encoded."""
    document = json.loads(line)
    record = Record(
        document['key'],
        document['customer'],
        document['digest'],
        now_s + document['expires_in_s'],
    )
    if document['answer']:
        answer = Answer(*document['answer'])
        record.answer = answer._replace(body=base64.b64decode(answer.body))
        record.state = 'answered'
        record.size_bytes = len(record.answer.body) + RECORD_OVERHEAD_BYTES
    else:
        record.outcome = import_outcome(document['outcome'])
        record.home = document['home']
        record.state = 'away' if record.home else 'settled'
    return record


def import_outcome(fields):
    """Return an exported outcome.

    A kind that this release does not have gives :data:`ANSWER_GONE`.
    """
    kinds = {
        kind.__name__: kind
        for kind in (outcomes.NotRun, outcomes.Unknown, outcomes.Rejected)
    }
    tag, *values = fields
    return kinds[tag](*values) if tag in kinds else ANSWER_GONE
